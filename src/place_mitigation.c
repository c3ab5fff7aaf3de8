/*
 * Mitigation in placement: throttling and eviction, by what late measurements
 * show of the services and of memory, and room for urgent tasks.
 */
#include "place_state.h"

#include <assert.h>
#include <math.h>

/* Mitigation begins at this multiple of the allowed slowdown, plus a part. */
#define MITIGATION_SLOWDOWN_FACTOR 1.5f
#define MITIGATION_SLOWDOWN_OFFSET 0.05f
#define HIGH_SAMPLES_TO_THROTTLE 2
#define UNTHROTTLE_DELAY_MS 60000
#define LOAD_PEAK_DECAY 0.98f
#define THROTTLE_FIRST_PCT 50
#define THROTTLE_SECOND_PCT 25
/* The baseline policy REACTIVE evicts over this slowdown. */
#define REACTIVE_SLOWDOWN_MAX 1.10f

/* Mitigation */

static void
push_action(nm_place_state_t *state, nm_place_action_type_t type,
            int32_t worker, const nm_allocation_t *hold, nm_reason_t reason,
            uint8_t throttle_pct)
{
    nm_place_action_t *reaction = g_new0(nm_place_action_t, 1);
    *reaction = (nm_place_action_t){
        .type = type,
        .worker = worker,
        .task = hold->task,
        .reason = reason,
        .throttle_pct = throttle_pct,
    };
    g_queue_push_tail(&state->actions, reaction);
}

static void
evict(nm_place_state_t *state, int32_t index, nm_allocation_t *hold,
      nm_reason_t reason, nm_ms_t now_ms)
{
    hold->evicting = true;
    state->workers[index].last_action_ms = now_ms;
    push_action(state, NM_PLACE_ACTION_EVICT, index, hold, reason, 0);
}

bool
nm_place_preempt(nm_place_t *place, const nm_place_task_spec_t *need,
                 nm_ms_t now_ms)
{
    assert(place && need);
    nm_place_state_t *state = place->state;
    nm_class_t *class_ = nm_place_ensure_class(state, need->class_id);
    uint32_t count = state->worker_count;
    for (uint32_t i = 0; i < count && i < NM_PLACE_PROBES_MAX; i++) {
        uint32_t index = nm_rng_below(&state->rng, count);
        nm_worker_t *worker = &state->workers[index];
        nm_resources_t room = nm_worker_allocatable(worker);
        nm_resources_t amount =
            nm_place_task_reservation(state, class_, need, &room);
        nm_resources_t freed = {0};
        uint32_t wanted = 0;
        if (worker->desc.closed) {
            continue;
        }
        bool enough = false;
        for (; wanted < worker->allocation_count && !enough; wanted++) {
            const nm_allocation_t *hold = &worker->allocations[wanted];
            if (hold->priority >= need->priority) {
                continue;
            }
            freed.cpu_milli += hold->reserved.cpu_milli;
            freed.memory_mb += hold->reserved.memory_mb;
            freed.accelerators += hold->reserved.accelerators;
            nm_resources_t rest = {
                .cpu_milli = amount.cpu_milli - freed.cpu_milli,
                .memory_mb = amount.memory_mb - freed.memory_mb,
                .accelerators = amount.accelerators - freed.accelerators,
            };
            enough = nm_worker_fits(worker, &rest);
        }
        for (uint32_t j = 0; enough && j < wanted; j++) {
            nm_allocation_t *hold = &worker->allocations[j];
            if (hold->priority < need->priority && !hold->evicting) {
                evict(state, (int32_t)index, hold, NM_REASON_EVICT_URGENT,
                      now_ms);
            }
        }
        if (enough) {
            return true;
        }
    }
    return false;
}

/* What an allocation's task uses as far as reports show, without a margin. */
static int64_t
estimated_memory_mb(const nm_allocation_t *hold)
{
    return hold->class_->usage_count > 0 ? hold->class_->memory_estimate
                                         : hold->reserved.memory_mb;
}

/* Least priority first, then the one that lost least by starting last. */
static bool
is_better_victim(const nm_allocation_t *hold, const nm_allocation_t *other)
{
    if (hold->priority != other->priority) {
        return hold->priority < other->priority;
    }
    return hold->since_ms > other->since_ms;
}

void
nm_place_check_memory(nm_place_t *place, int32_t index, nm_ms_t now_ms)
{
    assert(place && index >= 0 &&
           (uint32_t)index < place->state->worker_count);
    nm_place_state_t *state = place->state;
    nm_worker_t *worker = &state->workers[index];
    if (state->policy != NM_PLACE_POLICY_LEARNED) {
        return;
    }
    nm_worker_refresh_reservations(worker, now_ms);
    int64_t seen_mb = 0;
    nm_allocation_t *chosen = NULL;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *hold = &worker->allocations[i];
        if (hold->evicting) {
            /* Its room comes free soon. */
            continue;
        }
        seen_mb += estimated_memory_mb(hold);
        if (!chosen || is_better_victim(hold, chosen)) {
            chosen = hold;
        }
    }
    if (chosen && seen_mb > nm_worker_allocatable(worker).memory_mb) {
        evict(state, index, chosen, NM_REASON_EVICT_MEMORY, now_ms);
    }
}

/* The allocation that contributes most to the slowdown and is not evicting. */
static nm_allocation_t *
find_worst_interferer(nm_worker_t *worker, float load,
                      uint8_t above_throttle_pct)
{
    int band = nm_model_band(load);
    nm_allocation_t *worst = NULL;
    float worst_part = 0;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *hold = &worker->allocations[i];
        if (hold->evicting || hold->throttle_pct <= above_throttle_pct) {
            continue;
        }
        const nm_coefficient_t *coefficient =
            nm_class_coefficient(hold->class_, worker->desc.service, band);
        float part = coefficient->mean * (float)hold->reserved.cpu_milli *
                     hold->throttle_pct;
        if (!worst || part > worst_part) {
            worst = hold;
            worst_part = part;
        }
    }
    return worst;
}

static void
throttle_task(nm_place_state_t *state, int32_t index, nm_allocation_t *hold,
              uint8_t percent, nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[index];
    nm_worker_set_throttle(worker, hold, percent, now_ms);
    worker->throttled = true;
    worker->last_action_ms = now_ms;
    push_action(state, NM_PLACE_ACTION_THROTTLE, index, hold,
                NM_REASON_EVICT_LATENCY, percent);
}

/*
 * Throttles until the predicted slowdown is allowed again, first all tasks
 * by half, then to a quarter; only then evicts, one task at a time.
 */
static void
mitigate_slowdown(nm_place_state_t *state, int32_t index, float load,
                  nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[index];
    float bound = nm_place_slowdown_bound(state, worker);
    static const uint8_t steps[] = {THROTTLE_FIRST_PCT, THROTTLE_SECOND_PCT};
    bool acted = false;
    for (size_t i = 0; i < NM_COUNT_OF(steps); i++) {
        nm_allocation_t *hold;
        while ((!acted ||
                nm_worker_predict(worker, load, NULL, 0).mean > bound) &&
               (hold = find_worst_interferer(worker, load, steps[i])))
        {
            throttle_task(state, index, hold, steps[i], now_ms);
            acted = true;
        }
    }
    nm_allocation_t *worst =
        acted ? NULL : find_worst_interferer(worker, load, 0);
    if (worst) {
        evict(state, index, worst, NM_REASON_EVICT_LATENCY, now_ms);
    }
}

static void
release_throttles(nm_place_state_t *state, int32_t index, nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[index];
    bool left = false;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *hold = &worker->allocations[i];
        if (hold->throttle_pct == 100) {
            continue;
        }
        uint8_t before = hold->throttle_pct;
        nm_worker_set_throttle(worker, hold, 100, now_ms);
        nm_estimate_t estimate = nm_worker_predict(
            worker, nm_place_planning_load(state, worker), NULL, 0);
        if (estimate.mean > nm_place_slowdown_bound(state, worker)) {
            nm_worker_set_throttle(worker, hold, before, now_ms);
            left = true;
            continue;
        }
        push_action(state, NM_PLACE_ACTION_UNTHROTTLE, index, hold,
                    NM_REASON_NONE, 100);
    }
    worker->throttled = left;
    worker->within_bound_since_ms = now_ms;
}

static void
evict_over_threshold(nm_place_state_t *state, int32_t index, float slowdown,
                     nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[index];
    if (slowdown <= REACTIVE_SLOWDOWN_MAX) {
        return;
    }
    nm_allocation_t *largest = NULL;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *hold = &worker->allocations[i];
        if (!hold->evicting && (!largest || hold->reserved.cpu_milli >
                                                largest->reserved.cpu_milli))
        {
            largest = hold;
        }
    }
    if (largest) {
        evict(state, index, largest, NM_REASON_EVICT_LATENCY, now_ms);
    }
}

void
nm_place_observe_service(nm_place_t *place, int32_t index,
                         const nm_place_sample_t *sample, nm_ms_t now_ms)
{
    assert(place && sample && index >= 0 &&
           (uint32_t)index < place->state->worker_count);
    nm_place_state_t *state = place->state;
    nm_worker_t *worker = &state->workers[index];
    if (worker->desc.service == NM_PLACE_NO_SERVICE) {
        return;
    }
    worker->load = sample->load;
    worker->load_peak *= LOAD_PEAK_DECAY;
    if (sample->load > worker->load_peak) {
        worker->load_peak = sample->load;
    }
    if (state->policy == NM_PLACE_POLICY_REACTIVE) {
        evict_over_threshold(state, index, sample->slowdown, now_ms);
        return;
    }
    if (state->policy != NM_PLACE_POLICY_LEARNED) {
        return;
    }
    nm_class_share_t mix[NM_CLASS_SHARES_MAX];
    int count = nm_worker_class_shares_at(worker, sample->measured_ms, mix);
    if (count > 0) {
        nm_model_observe(mix, (uint32_t)count, worker->desc.service, sample);
        nm_place_end_exploring(state, worker);
    }
    float bound = nm_place_slowdown_bound(state, worker);
    float react = 1 + (bound - 1) * MITIGATION_SLOWDOWN_FACTOR +
                  MITIGATION_SLOWDOWN_OFFSET;
    /* A sample from before the last action says nothing about its effect. */
    if (sample->measured_ms <= worker->last_action_ms) {
        return;
    }
    float predicted = nm_worker_predict(worker, sample->load, NULL, 0).mean;
    bool high = sample->slowdown > react || predicted > react;
    worker->consecutive_high_samples =
        high ? worker->consecutive_high_samples + 1 : 0;
    if (high) {
        worker->within_bound_since_ms = now_ms;
    }
    if (worker->consecutive_high_samples >= HIGH_SAMPLES_TO_THROTTLE) {
        worker->consecutive_high_samples = 0;
        mitigate_slowdown(state, index, sample->load, now_ms);
    }
    else if (worker->throttled &&
             now_ms - worker->within_bound_since_ms >= UNTHROTTLE_DELAY_MS)
    {
        release_throttles(state, index, now_ms);
    }
}

bool
nm_place_next_action(nm_place_t *place, nm_place_action_t *reaction)
{
    assert(place && reaction);
    nm_place_action_t *next = g_queue_pop_head(&place->state->actions);
    if (!next) {
        return false;
    }
    *reaction = *next;
    g_free(next);
    return true;
}
