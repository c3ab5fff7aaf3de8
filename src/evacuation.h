/*
 * Evacuated zones: the data centres whose workers get no new tasks, and
 * whether the copy of that list is recent enough to start tasks at all.
 *
 * Load: an operator evacuates a zone while the watch that delivers the list is
 * silent, slow or behind a link that was cut.  Any zone may be on the list by
 * then, so that a host whose copy is too old holds all starts.  A host that
 * the store does not answer cannot know better; it continues with the last
 * list, as holding its starts would stop all work in an outage.
 *
 *     nm_evacuation_t evacuation;
 *     nm_evacuation_init(&evacuation, bound_ms, start_valid_ms);
 *     nm_evacuation_set(&evacuation, "graz-nord", true, now_ms);
 *     nm_evacuation_on_store_result(&evacuation, rc == NM_OK, now_ms);
 *     bool held = nm_evacuation_holds_starts(&evacuation, age_ms, now_ms);
 *     nm_evacuation_finish(&evacuation);
 */
#ifndef NM_EVACUATION_H
#define NM_EVACUATION_H

#include <glib.h>

#include <nutmegdeck/base.h>

/* Limit of zones on the list; the platform has some tens. */
#define NM_EVACUATION_ZONES_MAX 1024

/* An evacuated zone. */
typedef struct {
    char zone[NM_NAME_MAX];
    nm_ms_t since_ms; /* when this host heard of it */
} nm_evacuated_zone_t;

typedef struct {
    GArray *zones;             /* of nm_evacuated_zone_t */
    nm_ms_t copy_age_max_ms;   /* of the list, to start tasks; 0: any */
    nm_ms_t answered_since_ms; /* the store answers since then; 0: does not */
    nm_ms_t answered_ms;       /* its newest answer */
} nm_evacuation_t;

/*
 * bound_ms: time from the store's acknowledgement of an evacuation until the
 * last start in the zone; 0: starts are never held.  start_valid_ms: time for
 * which a start may be carried out after it was decided.
 */
void nm_evacuation_init(nm_evacuation_t *evacuation, nm_ms_t bound_ms,
                        nm_ms_t start_valid_ms);
void nm_evacuation_finish(nm_evacuation_t *evacuation);
/* True for 1 to NM_NAME_MAX - 1 printable ASCII characters but '/'. */
bool nm_evacuation_name_is_valid(const char *zone);
/*
 * Adds a zone to the list, or removes it.  Returns NM_OK if that changes the
 * list, NM_ERR_CONFLICT if it does not, NM_ERR_INVAL for an invalid name,
 * NM_ERR_FULL if the list has no room.
 */
int nm_evacuation_set(nm_evacuation_t *evacuation, const char *zone,
                      bool evacuated, nm_ms_t now_ms);
/*
 * A call to the store other than the watch of the list has ended: it tells
 * whether the host is in contact with the store.
 */
void nm_evacuation_on_store_result(nm_evacuation_t *evacuation, bool answered,
                                   nm_ms_t now_ms);
/*
 * True if a copy of the list that may be so old must not be acted upon, since
 * a start that is decided now may be carried out after the bound.
 * copy_age_ms: NM_MS_NEVER if there is none yet.
 */
bool nm_evacuation_holds_starts(const nm_evacuation_t *evacuation,
                                nm_ms_t copy_age_ms, nm_ms_t now_ms);

#endif
