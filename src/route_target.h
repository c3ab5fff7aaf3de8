/*
 * Route targets: statistics, outlier ejection and choice.
 *
 * Internal to the route module.  A target is an executor with granted
 * slots, or an entry host of another data centre.
 */
#ifndef NM_ROUTE_TARGET_H
#define NM_ROUTE_TARGET_H

#include <glib.h>

#include <nutmegdeck/route.h>

typedef struct {
    nm_route_target_t desc;
    uint32_t in_flight;
    float latency_ms; /* smoothed */
    uint32_t consecutive_failures;
    uint32_t consecutive_ejections; /* each doubles the ejection time */
    nm_ms_t ejected_until_ms;
    bool probing;   /* the probe after an ejection is in flight */
    bool refreshed; /* updated since the last sweep */
} nm_target_t;

/* Executors of one service, or peers of one type. */
typedef struct {
    uint32_t *members; /* indexes into the target table */
    uint32_t count;
    uint32_t capacity;
    uint32_t cursor; /* of the round-robin policy */
} nm_target_group_t;

typedef struct {
    nm_target_t *targets;
    uint32_t count;
    uint32_t capacity;
    GHashTable *index; /* target id to index + 1 */
} nm_target_table_t;

void nm_target_table_finish(nm_target_table_t *table);
void nm_target_group_finish(nm_target_group_t *group);
/* Returns a target's index, or -1. */
int32_t nm_target_find(const nm_target_table_t *table, uint64_t id);
int32_t nm_target_add(nm_target_table_t *table, const nm_route_target_t *desc);
void nm_target_group_add(nm_target_group_t *group, uint32_t index);

/* True if the target may take one more attempt now. */
bool nm_target_is_available(const nm_target_t *target, nm_ms_t now_ms);
/* Chooses an available target, avoid only as a last resort; -1: none. */
int32_t nm_target_choose(const nm_target_table_t *table,
                         nm_target_group_t *group, nm_route_policy_t policy,
                         nm_rng_t *rng, int32_t avoid, nm_ms_t now_ms);
void nm_target_record_success(nm_target_t *target, nm_ms_t latency_ms);
/*
 * Records a failure.  eject_now ejects the target without regard to the number
 * of failures and of targets already ejected.
 */
void nm_target_record_failure(nm_target_table_t *table,
                              const nm_target_group_t *group,
                              nm_target_t *target, bool eject_now,
                              nm_ms_t now_ms);

#endif
