/*
 * A worker as placement sees it: its holds and their recent history.
 *
 * Internal to the place module.
 */
#ifndef NM_PLACE_WORKER_H
#define NM_PLACE_WORKER_H

#include "place_model.h"

/* Changes remembered, to attribute late measurements. */
#define NM_HISTORY_MAX 128
#define NM_MIX_MAX 32

/* Room that one task takes on a worker. */
typedef struct {
    uint64_t task;
    uint64_t job;
    nm_class_t *class_;
    nm_amount_t declared;
    nm_amount_t reserved;
    uint8_t priority;
    uint8_t throttle_pct; /* 100: not throttled */
    bool evicting;
    bool at_risk;  /* placed with a near deadline: more slowdown is accepted */
    bool explores; /* placed to learn, beyond what is known to be safe */
    nm_ms_t since_ms;
} nm_hold_t;

typedef struct {
    nm_ms_t at_ms;
    nm_class_t *class_;
    float delta; /* change of the class's processor share */
} nm_change_t;

typedef struct {
    nm_place_worker_t desc;
    nm_amount_t used;
    nm_hold_t *holds;
    uint32_t hold_count;
    uint32_t hold_capacity;
    nm_change_t history[NM_HISTORY_MAX];
    uint32_t history_count; /* changes ever recorded */
    float load;
    float load_peak;
    uint32_t high_samples; /* in a row over the bound */
    nm_ms_t acted_ms;      /* last throttle or eviction */
    nm_ms_t calm_since_ms;
    nm_ms_t refreshed_ms;
    bool throttled;
    uint32_t exploring; /* holds that explore */
} nm_worker_t;

void nm_worker_finish(nm_worker_t *worker);
/* What tasks may reserve on the worker when it is empty. */
nm_amount_t nm_worker_room(const nm_worker_t *worker);
bool nm_worker_fits(const nm_worker_t *worker, const nm_amount_t *amount);
nm_hold_t *nm_worker_find_hold(nm_worker_t *worker, uint64_t task);
nm_hold_t *nm_worker_add_hold(nm_worker_t *worker, const nm_hold_t *hold,
                              nm_ms_t now_ms);
void nm_worker_remove_hold(nm_worker_t *worker, nm_hold_t *hold,
                           nm_ms_t now_ms);
void nm_worker_set_throttle(nm_worker_t *worker, nm_hold_t *hold,
                            uint8_t throttle_pct, nm_ms_t now_ms);
/* Updates reservations from what has been learned since. */
void nm_worker_refresh(nm_worker_t *worker, nm_ms_t now_ms);
/*
 * Reconstructs which classes ran at a time; returns their number, or -1
 * if the history does not reach back that far.
 */
int nm_worker_mix_at(const nm_worker_t *worker, nm_ms_t at_ms,
                     nm_class_share_t *mix);
/* Predicted slowdown of the service by the current mix and an addition. */
nm_estimate_t nm_worker_predict(nm_worker_t *worker, float load,
                                nm_class_t *added, float added_share);

#endif
