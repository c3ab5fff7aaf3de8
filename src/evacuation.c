#include "evacuation.h"

#include <assert.h>
#include <string.h>

/* Part of the bound for the round that decides and for clocks. */
#define MARGIN_MS 300
/*
 * The store has to answer for this long before an old copy holds starts: the
 * watch, too, needs a moment after an outage.  A host counts as in contact
 * only some seconds after the outage has ended.
 */
#define CONTACT_MIN_MS 1500
/*
 * Without an answer for this long, a lost call ends the contact.  Calls are
 * sent each 0.4 s and may time out after later ones were answered: a single
 * loss says nothing.  It is less than the 1.5 s after which calls time out, so
 * that the first loss of an outage counts.
 */
#define SILENT_MIN_MS 1000

void
nm_evacuation_init(nm_evacuation_t *evacuation, nm_ms_t bound_ms,
                   nm_ms_t start_valid_ms)
{
    assert(evacuation);
    *evacuation = (nm_evacuation_t){
        .zones = g_array_new(FALSE, FALSE, sizeof(nm_evacuated_zone_t))};
    if (bound_ms > 0) {
        evacuation->copy_age_max_ms =
            MAX(bound_ms - start_valid_ms - MARGIN_MS, 1);
    }
}

void
nm_evacuation_finish(nm_evacuation_t *evacuation)
{
    assert(evacuation);
    g_array_free(evacuation->zones, TRUE);
}

bool
nm_evacuation_name_is_valid(const char *zone)
{
    assert(zone);
    size_t length = 0;
    while (zone[length] > ' ' && zone[length] < '\x7f' && zone[length] != '/')
    {
        length++;
    }
    return length > 0 && length < NM_NAME_MAX && zone[length] == '\0';
}

int
nm_evacuation_set(nm_evacuation_t *evacuation, const char *zone,
                  bool evacuated, nm_ms_t now_ms)
{
    assert(evacuation && zone);
    if (!nm_evacuation_name_is_valid(zone)) {
        return NM_ERR_INVAL;
    }
    GArray *zones = evacuation->zones;
    guint found = 0;
    while (found < zones->len &&
           strcmp(g_array_index(zones, nm_evacuated_zone_t, found).zone,
                  zone) != 0)
    {
        found++;
    }
    bool known = found < zones->len;
    if (known == evacuated) {
        return NM_ERR_CONFLICT;
    }
    if (known) {
        g_array_remove_index(zones, found);
        return NM_OK;
    }
    if (zones->len >= NM_EVACUATION_ZONES_MAX) {
        return NM_ERR_FULL;
    }
    nm_evacuated_zone_t entry = {.since_ms = now_ms};
    nm_strcopy(entry.zone, sizeof(entry.zone), zone);
    g_array_append_val(zones, entry);
    return NM_OK;
}

void
nm_evacuation_on_store_result(nm_evacuation_t *evacuation, bool answered,
                              nm_ms_t now_ms)
{
    assert(evacuation);
    if (answered) {
        evacuation->answered_ms = now_ms;
        if (evacuation->answered_since_ms == 0) {
            evacuation->answered_since_ms = now_ms;
        }
    }
    else if (now_ms - evacuation->answered_ms >= SILENT_MIN_MS) {
        evacuation->answered_since_ms = 0;
    }
}

bool
nm_evacuation_holds_starts(const nm_evacuation_t *evacuation,
                           nm_ms_t copy_age_ms, nm_ms_t now_ms)
{
    assert(evacuation);
    if (evacuation->copy_age_max_ms == 0 ||
        copy_age_ms <= evacuation->copy_age_max_ms)
    {
        return false;
    }
    /* A new owner has no last list to continue with. */
    return copy_age_ms == NM_MS_NEVER ||
           (evacuation->answered_since_ms > 0 &&
            now_ms - evacuation->answered_since_ms >= CONTACT_MIN_MS);
}
