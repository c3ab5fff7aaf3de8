/*
 * A worker as placement sees it: its allocations and their recent history.
 *
 * Internal to the place module.
 */
#ifndef NM_PLACE_WORKER_H
#define NM_PLACE_WORKER_H

#include "place_model.h"

/* Changes remembered, to attribute late measurements. */
#define NM_SHARE_CHANGES_MAX 128
#define NM_CLASS_SHARES_MAX 32

/* Room that one task takes on a worker. */
typedef struct {
    uint64_t task;
    uint64_t job;
    nm_class_t *class_;
    nm_resources_t declared;
    nm_resources_t reserved;
    uint8_t priority;
    uint8_t throttle_pct; /* 100: not throttled */
    bool evicting;
    bool at_risk; /* placed with a near deadline: more slowdown is accepted */
    bool is_exploring; /* placed to learn, beyond what is known to be safe */
    nm_ms_t since_ms;
} nm_allocation_t;

typedef struct {
    nm_ms_t at_ms;
    nm_class_t *class_;
    float delta; /* change of the class's processor share */
} nm_share_change_t;

typedef struct {
    nm_place_worker_t desc;
    nm_resources_t used;
    nm_allocation_t *allocations;
    uint32_t allocation_count;
    uint32_t allocation_capacity;
    nm_share_change_t history[NM_SHARE_CHANGES_MAX];
    uint32_t history_count; /* changes ever recorded */
    float load;
    float load_peak;
    uint32_t consecutive_high_samples; /* in a row over the bound */
    nm_ms_t last_action_ms;            /* last throttle or eviction */
    nm_ms_t within_bound_since_ms;
    nm_ms_t refreshed_ms;
    bool throttled;
    uint32_t exploring_count; /* allocations that explore */
} nm_worker_t;

void nm_worker_finish(nm_worker_t *worker);
/* What tasks may reserve on the worker when it is empty. */
nm_resources_t nm_worker_allocatable(const nm_worker_t *worker);
bool nm_worker_fits(const nm_worker_t *worker, const nm_resources_t *amount);
nm_allocation_t *nm_worker_find_allocation(nm_worker_t *worker, uint64_t task);
nm_allocation_t *nm_worker_add_allocation(nm_worker_t *worker,
                                          const nm_allocation_t *hold,
                                          nm_ms_t now_ms);
void nm_worker_remove_allocation(nm_worker_t *worker, nm_allocation_t *hold,
                                 nm_ms_t now_ms);
void nm_worker_set_throttle(nm_worker_t *worker, nm_allocation_t *hold,
                            uint8_t throttle_pct, nm_ms_t now_ms);
/* Updates reservations from what has been learned since. */
void nm_worker_refresh_reservations(nm_worker_t *worker, nm_ms_t now_ms);
/*
 * Reconstructs which classes ran at a time; returns their number, or -1
 * if the history does not reach back that far.
 */
int nm_worker_class_shares_at(const nm_worker_t *worker, nm_ms_t at_ms,
                              nm_class_share_t *mix);
/* Predicted slowdown of the service by the current class shares and an
 * addition. */
nm_estimate_t nm_worker_predict(nm_worker_t *worker, float load,
                                nm_class_t *added, float added_share);

#endif
