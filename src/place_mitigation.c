/*
 * Throttling and eviction: mitigates the slowdown of services and a lack of
 * memory that delayed reports show, and makes room for urgent tasks.
 */
#include "place_state.h"

#include <assert.h>
#include <math.h>

/*
 * Mitigation starts above 1 + (bound - 1) * FACTOR + OFFSET, where bound is
 * the allowed slowdown.
 */
#define MITIGATION_SLOWDOWN_FACTOR 1.5f
#define MITIGATION_SLOWDOWN_OFFSET 0.05f
/*
 * Mitigation starts after this many consecutive high samples: those whose
 * measured slowdown, or the prediction for their load, exceeds that threshold.
 */
#define HIGH_SAMPLES_TO_THROTTLE 2
/* The end of throttles is considered after this time without high samples. */
#define UNTHROTTLE_DELAY_MS 60000
/* Factor on the recent peak load for each sample. */
#define LOAD_PEAK_DECAY 0.98f
/* Processor shares that throttled tasks keep. */
#define THROTTLE_FIRST_PCT 50
#define THROTTLE_SECOND_PCT 25
/* The baseline policy REACTIVE evicts above this slowdown. */
#define REACTIVE_SLOWDOWN_MAX 1.10f

static void
push_action(nm_place_state_t *state, nm_place_action_type_t type,
            int32_t worker_index, const nm_allocation_t *allocation,
            nm_reason_t reason, uint8_t throttle_pct)
{
    nm_place_action_t *action = g_new0(nm_place_action_t, 1);
    *action = (nm_place_action_t){
        .type = type,
        .worker = worker_index,
        .task = allocation->task,
        .reason = reason,
        .throttle_pct = throttle_pct,
    };
    g_queue_push_tail(&state->actions, action);
}

static void
evict(nm_place_state_t *state, int32_t worker_index,
      nm_allocation_t *allocation, nm_reason_t reason, nm_ms_t now_ms)
{
    allocation->evicting = true;
    state->workers[worker_index].last_action_ms = now_ms;
    push_action(state, NM_PLACE_ACTION_EVICT, worker_index, allocation, reason,
                0);
}

bool
nm_place_preempt(nm_place_t *place, const nm_place_task_spec_t *spec,
                 nm_ms_t now_ms)
{
    assert(place && spec);
    nm_place_state_t *state = place->state;
    nm_class_t *class_ = nm_place_ensure_class(state, spec->class_id);
    uint32_t count = state->worker_count;
    for (uint32_t i = 0; i < count && i < NM_PLACE_PROBES_MAX; i++) {
        uint32_t index = nm_rng_below(&state->rng, count);
        nm_worker_t *worker = &state->workers[index];
        nm_resources_t allocatable = nm_worker_allocatable(worker);
        nm_resources_t amount =
            nm_place_task_reservation(state, class_, spec, &allocatable);
        nm_resources_t freed = {0};
        uint32_t checked = 0;
        if (worker->desc.closed) {
            continue;
        }
        bool enough = false;
        for (; checked < worker->allocation_count && !enough; checked++) {
            const nm_allocation_t *allocation = &worker->allocations[checked];
            if (allocation->priority >= spec->priority) {
                continue;
            }
            freed.cpu_milli += allocation->reserved.cpu_milli;
            freed.memory_mb += allocation->reserved.memory_mb;
            freed.accelerators += allocation->reserved.accelerators;
            nm_resources_t missing = {
                .cpu_milli = amount.cpu_milli - freed.cpu_milli,
                .memory_mb = amount.memory_mb - freed.memory_mb,
                .accelerators = amount.accelerators - freed.accelerators,
            };
            enough = nm_worker_fits(worker, &missing);
        }
        for (uint32_t j = 0; enough && j < checked; j++) {
            nm_allocation_t *allocation = &worker->allocations[j];
            if (allocation->priority < spec->priority && !allocation->evicting)
            {
                evict(state, (int32_t)index, allocation,
                      NM_REASON_EVICT_URGENT, now_ms);
            }
        }
        if (enough) {
            return true;
        }
    }
    return false;
}

/*
 * Returns the estimated memory use of a task, without a margin; before any
 * report, its reservation.
 */
static int64_t
estimated_memory_mb(const nm_allocation_t *allocation)
{
    return allocation->class_->usage_count > 0
               ? allocation->class_->memory_estimate
               : allocation->reserved.memory_mb;
}

/*
 * Prefers the lowest priority, then the task that started last, because it
 * loses the least progress.
 */
static bool
is_better_victim(const nm_allocation_t *allocation,
                 const nm_allocation_t *other)
{
    if (allocation->priority != other->priority) {
        return allocation->priority < other->priority;
    }
    return allocation->since_ms > other->since_ms;
}

void
nm_place_check_memory(nm_place_t *place, int32_t worker_index, nm_ms_t now_ms)
{
    assert(place && worker_index >= 0 &&
           (uint32_t)worker_index < place->state->worker_count);
    nm_place_state_t *state = place->state;
    nm_worker_t *worker = &state->workers[worker_index];
    if (state->policy != NM_PLACE_POLICY_LEARNED) {
        return;
    }
    nm_worker_refresh_reservations(worker, now_ms);
    int64_t estimated_mb = 0;
    nm_allocation_t *victim = NULL;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *allocation = &worker->allocations[i];
        if (allocation->evicting) {
            /* Its memory is about to be released. */
            continue;
        }
        estimated_mb += estimated_memory_mb(allocation);
        if (!victim || is_better_victim(allocation, victim)) {
            victim = allocation;
        }
    }
    if (victim && estimated_mb > nm_worker_allocatable(worker).memory_mb) {
        evict(state, worker_index, victim, NM_REASON_EVICT_MEMORY, now_ms);
    }
}

/*
 * Returns the allocation that contributes most to the slowdown, among those
 * that are not being evicted and keep a larger processor share than
 * above_throttle_pct; NULL if there is none.
 */
static nm_allocation_t *
find_worst_interferer(nm_worker_t *worker, float load,
                      uint8_t above_throttle_pct)
{
    int band = nm_model_band(load);
    nm_allocation_t *worst = NULL;
    float worst_contribution = 0;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *allocation = &worker->allocations[i];
        if (allocation->evicting ||
            allocation->throttle_pct <= above_throttle_pct) {
            continue;
        }
        const nm_coefficient_t *coefficient = nm_class_coefficient(
            allocation->class_, worker->desc.service, band);
        float contribution = coefficient->mean *
                             (float)allocation->reserved.cpu_milli *
                             allocation->throttle_pct;
        if (!worst || contribution > worst_contribution) {
            worst = allocation;
            worst_contribution = contribution;
        }
    }
    return worst;
}

static void
throttle_task(nm_place_state_t *state, int32_t worker_index,
              nm_allocation_t *allocation, uint8_t throttle_pct,
              nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[worker_index];
    nm_worker_set_throttle(worker, allocation, throttle_pct, now_ms);
    worker->throttled = true;
    worker->last_action_ms = now_ms;
    push_action(state, NM_PLACE_ACTION_THROTTLE, worker_index, allocation,
                NM_REASON_EVICT_LATENCY, throttle_pct);
}

/*
 * Throttles at least one task, and more until the predicted slowdown is within
 * the bound: first all to a half, then to a quarter of their processor share.
 * Evicts one task only if none is left to throttle.
 */
static void
mitigate_slowdown(nm_place_state_t *state, int32_t worker_index, float load,
                  nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[worker_index];
    float bound = nm_place_slowdown_bound(state, worker);
    static const uint8_t steps[] = {THROTTLE_FIRST_PCT, THROTTLE_SECOND_PCT};
    bool acted = false;
    for (size_t i = 0; i < NM_COUNT_OF(steps); i++) {
        nm_allocation_t *allocation;
        while ((!acted ||
                nm_worker_predict(worker, load, NULL, 0).mean > bound) &&
               (allocation = find_worst_interferer(worker, load, steps[i])))
        {
            throttle_task(state, worker_index, allocation, steps[i], now_ms);
            acted = true;
        }
    }
    nm_allocation_t *worst =
        acted ? NULL : find_worst_interferer(worker, load, 0);
    if (worst) {
        evict(state, worker_index, worst, NM_REASON_EVICT_LATENCY, now_ms);
    }
}

/*
 * Ends the throttles that are not needed to keep the predicted slowdown within
 * the bound.
 */
static void
release_throttles(nm_place_state_t *state, int32_t worker_index,
                  nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[worker_index];
    bool still_throttled = false;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *allocation = &worker->allocations[i];
        if (allocation->throttle_pct == 100) {
            continue;
        }
        uint8_t old_pct = allocation->throttle_pct;
        nm_worker_set_throttle(worker, allocation, 100, now_ms);
        nm_estimate_t estimate = nm_worker_predict(
            worker, nm_place_planning_load(state, worker), NULL, 0);
        if (estimate.mean > nm_place_slowdown_bound(state, worker)) {
            nm_worker_set_throttle(worker, allocation, old_pct, now_ms);
            still_throttled = true;
            continue;
        }
        push_action(state, NM_PLACE_ACTION_UNTHROTTLE, worker_index,
                    allocation, NM_REASON_NONE, 100);
    }
    worker->throttled = still_throttled;
    worker->below_threshold_since_ms = now_ms;
}

/* For the policy REACTIVE: evicts the task that reserves most processors. */
static void
evict_reactively(nm_place_state_t *state, int32_t worker_index, float slowdown,
                 nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[worker_index];
    if (slowdown <= REACTIVE_SLOWDOWN_MAX) {
        return;
    }
    nm_allocation_t *largest = NULL;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *allocation = &worker->allocations[i];
        if (!allocation->evicting &&
            (!largest ||
             allocation->reserved.cpu_milli > largest->reserved.cpu_milli))
        {
            largest = allocation;
        }
    }
    if (largest) {
        evict(state, worker_index, largest, NM_REASON_EVICT_LATENCY, now_ms);
    }
}

void
nm_place_observe_service(nm_place_t *place, int32_t worker_index,
                         const nm_place_sample_t *sample, nm_ms_t now_ms)
{
    assert(place && sample && worker_index >= 0 &&
           (uint32_t)worker_index < place->state->worker_count);
    nm_place_state_t *state = place->state;
    nm_worker_t *worker = &state->workers[worker_index];
    if (worker->desc.service == NM_PLACE_NO_SERVICE) {
        return;
    }
    worker->load = sample->load;
    worker->load_peak *= LOAD_PEAK_DECAY;
    if (sample->load > worker->load_peak) {
        worker->load_peak = sample->load;
    }
    if (state->policy == NM_PLACE_POLICY_REACTIVE) {
        evict_reactively(state, worker_index, sample->slowdown, now_ms);
        return;
    }
    if (state->policy != NM_PLACE_POLICY_LEARNED) {
        return;
    }
    nm_class_share_t shares[NM_CLASS_SHARES_MAX];
    int count = nm_worker_class_shares_at(worker, sample->measured_ms, shares);
    if (count > 0) {
        nm_model_observe(shares, (uint32_t)count, worker->desc.service,
                         sample);
        nm_place_end_exploring(state, worker);
    }
    float bound = nm_place_slowdown_bound(state, worker);
    float threshold = 1 + (bound - 1) * MITIGATION_SLOWDOWN_FACTOR +
                      MITIGATION_SLOWDOWN_OFFSET;
    /* Samples measured before the last action do not show its effect. */
    if (sample->measured_ms <= worker->last_action_ms) {
        return;
    }
    float predicted = nm_worker_predict(worker, sample->load, NULL, 0).mean;
    bool high = sample->slowdown > threshold || predicted > threshold;
    worker->consecutive_high_samples =
        high ? worker->consecutive_high_samples + 1 : 0;
    if (high) {
        worker->below_threshold_since_ms = now_ms;
    }
    if (worker->consecutive_high_samples >= HIGH_SAMPLES_TO_THROTTLE) {
        worker->consecutive_high_samples = 0;
        mitigate_slowdown(state, worker_index, sample->load, now_ms);
    }
    else if (worker->throttled &&
             now_ms - worker->below_threshold_since_ms >= UNTHROTTLE_DELAY_MS)
    {
        release_throttles(state, worker_index, now_ms);
    }
}

bool
nm_place_next_action(nm_place_t *place, nm_place_action_t *action)
{
    assert(place && action);
    nm_place_action_t *next = g_queue_pop_head(&place->state->actions);
    if (!next) {
        return false;
    }
    *action = *next;
    g_free(next);
    return true;
}
