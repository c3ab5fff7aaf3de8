/*
 * Worker of the place module: its allocations, the recent changes of
 * processor shares, and the predicted slowdown of its service.
 *
 * Internal to the place module.
 */
#ifndef NM_PLACE_WORKER_H
#define NM_PLACE_WORKER_H

#include "place_model.h"

/*
 * Changes of processor shares kept per worker, to attribute delayed
 * measurements to the classes that ran at that time.
 */
#define NM_SHARE_CHANGES_MAX 128
/* Maximum number of classes considered on a worker. */
#define NM_CLASS_SHARES_MAX 32

/* Resources reserved for one task on a worker. */
typedef struct {
    uint64_t task;
    uint64_t job;
    nm_class_t *class_;
    nm_resources_t declared;
    nm_resources_t reserved;
    uint8_t priority;
    uint8_t throttle_pct; /* 100: not throttled */
    bool evicting;
    bool at_risk;      /* its deadline is near: more slowdown is accepted */
    bool is_exploring; /* above the slowdown bound, to learn its effect */
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
    uint32_t history_count; /* changes recorded in total */
    float load;
    float load_peak;
    uint32_t consecutive_high_samples; /* see HIGH_SAMPLES_TO_THROTTLE */
    nm_ms_t last_action_ms;            /* last throttle or eviction */
    nm_ms_t below_threshold_since_ms;  /* no high sample since then */
    nm_ms_t refreshed_ms;              /* reservations last refreshed */
    bool throttled;                    /* at least one task is */
    uint32_t exploring_count;          /* allocations that explore */
} nm_worker_t;

void nm_worker_finish(nm_worker_t *worker);
/* Returns the capacity less what is reserved for the executor. */
nm_resources_t nm_worker_allocatable(const nm_worker_t *worker);
bool nm_worker_fits(const nm_worker_t *worker, const nm_resources_t *amount);
nm_allocation_t *nm_worker_find_allocation(nm_worker_t *worker, uint64_t task);
nm_allocation_t *nm_worker_add_allocation(nm_worker_t *worker,
                                          const nm_allocation_t *allocation,
                                          nm_ms_t now_ms);
void nm_worker_remove_allocation(nm_worker_t *worker,
                                 nm_allocation_t *allocation, nm_ms_t now_ms);
void nm_worker_set_throttle(nm_worker_t *worker, nm_allocation_t *allocation,
                            uint8_t throttle_pct, nm_ms_t now_ms);
/* Updates reservations to the current estimates, at most once a second. */
void nm_worker_refresh_reservations(nm_worker_t *worker, nm_ms_t now_ms);
/*
 * Reconstructs the shares of the classes that ran at a time.  Returns their
 * number, or -1 if the history does not reach back that far.
 */
int nm_worker_class_shares_at(const nm_worker_t *worker, nm_ms_t at_ms,
                              nm_class_share_t *shares);
/*
 * Predicts the slowdown of the service under the current allocations and a
 * share of one more class (added may be NULL).
 */
nm_estimate_t nm_worker_predict(nm_worker_t *worker, float load,
                                nm_class_t *added, float added_share);

#endif
