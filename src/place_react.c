/*
 * Reactions of placement: throttling and eviction, by what late measurements
 * show of the services and of memory, and room for urgent tasks.
 */
#include "place_state.h"

#include <assert.h>
#include <math.h>

/* Reactions begin at this multiple of the allowed slowdown, plus a part. */
#define REACT_FACTOR 1.5f
#define REACT_OFFSET 0.05f
#define HIGH_SAMPLES_TO_THROTTLE 2
#define CALM_TO_RELEASE_MS 60000
#define PEAK_DECAY 0.98f
#define THROTTLE_FIRST_PCT 50
#define THROTTLE_SECOND_PCT 25
/* The baseline policy REACTIVE evicts over this slowdown. */
#define REACTIVE_THRESHOLD 1.10f

/* Reactions */

static void
push_reaction(nm_place_state_t *state, nm_reaction_type_t type, int32_t worker,
              const nm_hold_t *hold, nm_reason_t reason, uint8_t throttle_pct)
{
    nm_reaction_t *reaction = g_new0(nm_reaction_t, 1);
    *reaction = (nm_reaction_t){
        .type = type,
        .worker = worker,
        .task = hold->task,
        .reason = reason,
        .throttle_pct = throttle_pct,
    };
    g_queue_push_tail(&state->reactions, reaction);
}

static void
evict(nm_place_state_t *state, int32_t index, nm_hold_t *hold,
      nm_reason_t reason, nm_ms_t now_ms)
{
    hold->evicting = true;
    state->workers[index].acted_ms = now_ms;
    push_reaction(state, NM_REACTION_EVICT, index, hold, reason, 0);
}

bool
nm_place_make_room(nm_place_t *place, const nm_place_need_t *need,
                   nm_ms_t now_ms)
{
    assert(place && need);
    nm_place_state_t *state = place->state;
    nm_class_t *class_ = nm_place_class_of(state, need->class_id);
    uint32_t count = state->worker_count;
    for (uint32_t i = 0; i < count && i < NM_PLACE_PROBE_COUNT; i++) {
        uint32_t index = nm_rng_below(&state->rng, count);
        nm_worker_t *worker = &state->workers[index];
        nm_amount_t room = nm_worker_room(worker);
        nm_amount_t amount =
            nm_place_believed_amount(state, class_, need, &room);
        nm_amount_t freed = {0};
        uint32_t wanted = 0;
        if (worker->desc.closed) {
            continue;
        }
        bool enough = false;
        for (; wanted < worker->hold_count && !enough; wanted++) {
            const nm_hold_t *hold = &worker->holds[wanted];
            if (hold->priority >= need->priority) {
                continue;
            }
            freed.cpu_milli += hold->reserved.cpu_milli;
            freed.memory_mb += hold->reserved.memory_mb;
            freed.accelerators += hold->reserved.accelerators;
            nm_amount_t rest = {
                .cpu_milli = amount.cpu_milli - freed.cpu_milli,
                .memory_mb = amount.memory_mb - freed.memory_mb,
                .accelerators = amount.accelerators - freed.accelerators,
            };
            enough = nm_worker_fits(worker, &rest);
        }
        for (uint32_t j = 0; enough && j < wanted; j++) {
            nm_hold_t *hold = &worker->holds[j];
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

/* What a hold's task uses as far as reports show, without a margin. */
static int64_t
memory_seen(const nm_hold_t *hold)
{
    return hold->class_->use_count > 0 ? hold->class_->memory_estimate
                                       : hold->reserved.memory_mb;
}

/* Least priority first, then the one that lost least by starting last. */
static bool
loses_less(const nm_hold_t *hold, const nm_hold_t *other)
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
    nm_worker_refresh(worker, now_ms);
    int64_t seen_mb = 0;
    nm_hold_t *chosen = NULL;
    for (uint32_t i = 0; i < worker->hold_count; i++) {
        nm_hold_t *hold = &worker->holds[i];
        if (hold->evicting) {
            /* Its room comes free soon. */
            continue;
        }
        seen_mb += memory_seen(hold);
        if (!chosen || loses_less(hold, chosen)) {
            chosen = hold;
        }
    }
    if (chosen && seen_mb > nm_worker_room(worker).memory_mb) {
        evict(state, index, chosen, NM_REASON_EVICT_MEMORY, now_ms);
    }
}

/* The hold that contributes most to the slowdown and is not evicting. */
static nm_hold_t *
worst_hold(nm_worker_t *worker, float load, uint8_t above_throttle_pct)
{
    int band = nm_model_band(load);
    nm_hold_t *worst = NULL;
    float worst_part = 0;
    for (uint32_t i = 0; i < worker->hold_count; i++) {
        nm_hold_t *hold = &worker->holds[i];
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
throttle_hold(nm_place_state_t *state, int32_t index, nm_hold_t *hold,
              uint8_t percent, nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[index];
    nm_worker_set_throttle(worker, hold, percent, now_ms);
    worker->throttled = true;
    worker->acted_ms = now_ms;
    push_reaction(state, NM_REACTION_THROTTLE, index, hold,
                  NM_REASON_EVICT_LATENCY, percent);
}

/*
 * Throttles until the predicted slowdown is allowed again, first all tasks
 * by half, then to a quarter; only then evicts, one task at a time.
 */
static void
relieve(nm_place_state_t *state, int32_t index, float load, nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[index];
    float bound = nm_place_allowed_on(state, worker);
    static const uint8_t steps[] = {THROTTLE_FIRST_PCT, THROTTLE_SECOND_PCT};
    bool acted = false;
    for (size_t i = 0; i < NM_COUNT_OF(steps); i++) {
        nm_hold_t *hold;
        while ((!acted ||
                nm_worker_predict(worker, load, NULL, 0).mean > bound) &&
               (hold = worst_hold(worker, load, steps[i])))
        {
            throttle_hold(state, index, hold, steps[i], now_ms);
            acted = true;
        }
    }
    nm_hold_t *worst = acted ? NULL : worst_hold(worker, load, 0);
    if (worst) {
        evict(state, index, worst, NM_REASON_EVICT_LATENCY, now_ms);
    }
}

static void
release_throttles(nm_place_state_t *state, int32_t index, nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[index];
    bool left = false;
    for (uint32_t i = 0; i < worker->hold_count; i++) {
        nm_hold_t *hold = &worker->holds[i];
        if (hold->throttle_pct == 100) {
            continue;
        }
        uint8_t before = hold->throttle_pct;
        nm_worker_set_throttle(worker, hold, 100, now_ms);
        nm_estimate_t estimate = nm_worker_predict(
            worker, nm_place_planning_load(state, worker), NULL, 0);
        if (estimate.mean > nm_place_allowed_on(state, worker)) {
            nm_worker_set_throttle(worker, hold, before, now_ms);
            left = true;
            continue;
        }
        push_reaction(state, NM_REACTION_RELEASE, index, hold, NM_REASON_NONE,
                      100);
    }
    worker->throttled = left;
    worker->calm_since_ms = now_ms;
}

static void
react_by_threshold(nm_place_state_t *state, int32_t index, float slowdown,
                   nm_ms_t now_ms)
{
    nm_worker_t *worker = &state->workers[index];
    if (slowdown <= REACTIVE_THRESHOLD) {
        return;
    }
    nm_hold_t *largest = NULL;
    for (uint32_t i = 0; i < worker->hold_count; i++) {
        nm_hold_t *hold = &worker->holds[i];
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
    worker->load_peak *= PEAK_DECAY;
    if (sample->load > worker->load_peak) {
        worker->load_peak = sample->load;
    }
    if (state->policy == NM_PLACE_POLICY_REACTIVE) {
        react_by_threshold(state, index, sample->slowdown, now_ms);
        return;
    }
    if (state->policy != NM_PLACE_POLICY_LEARNED) {
        return;
    }
    nm_class_share_t mix[NM_MIX_MAX];
    int count = nm_worker_mix_at(worker, sample->measured_ms, mix);
    if (count > 0) {
        nm_model_observe(mix, (uint32_t)count, worker->desc.service, sample);
        nm_place_end_exploring(state, worker);
    }
    float bound = nm_place_allowed_on(state, worker);
    float react = 1 + (bound - 1) * REACT_FACTOR + REACT_OFFSET;
    /* A sample from before the last action says nothing about its effect. */
    if (sample->measured_ms <= worker->acted_ms) {
        return;
    }
    float predicted = nm_worker_predict(worker, sample->load, NULL, 0).mean;
    bool high = sample->slowdown > react || predicted > react;
    worker->high_samples = high ? worker->high_samples + 1 : 0;
    if (high) {
        worker->calm_since_ms = now_ms;
    }
    if (worker->high_samples >= HIGH_SAMPLES_TO_THROTTLE) {
        worker->high_samples = 0;
        relieve(state, index, sample->load, now_ms);
    }
    else if (worker->throttled &&
             now_ms - worker->calm_since_ms >= CALM_TO_RELEASE_MS)
    {
        release_throttles(state, index, now_ms);
    }
}

bool
nm_place_next_reaction(nm_place_t *place, nm_reaction_t *reaction)
{
    assert(place && reaction);
    nm_reaction_t *next = g_queue_pop_head(&place->state->reactions);
    if (!next) {
        return false;
    }
    *reaction = *next;
    g_free(next);
    return true;
}
