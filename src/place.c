#include "place_state.h"

#include <assert.h>
#include <math.h>

/* Maximum number of suitable workers compared for one decision. */
#define CANDIDATES_MAX 24
/* Weights of the terms of a candidate's cost. */
#define COST_WEIGHT_SLOWDOWN 2.0f
#define COST_WEIGHT_FIT 0.3f
#define COST_WEIGHT_RACK 0.15f
/* B in the slowdown allowed for a latency weight w: 1 + B / (w * w + B). */
#define SLOWDOWN_BOUND_SCALE 0.05f
/*
 * Standard deviations added to a prediction, for a latency weight w:
 * MIN + w * RANGE.
 */
#define CONFIDENCE_DEVIATIONS_MIN 0.2f
#define CONFIDENCE_DEVIATIONS_RANGE 1.3f
/* Share of the workers, at least one, on which tasks may explore at a time. */
#define EXPLORE_WORKER_SHARE 0.04f
/* Samples after which a class counts as known in a load band. */
#define EXPLORE_SAMPLES_MIN 6
/* Tasks may explore on a worker up to this predicted slowdown. */
#define EXPLORE_SLOWDOWN_MAX 1.5f
/*
 * Added to the cost of an exploring candidate.  It exceeds all other terms, so
 * a task explores only if no compared worker is within the bound.
 */
#define EXPLORATION_COST 10.0f
/* Factor on (allowed slowdown - 1) for tasks whose deadline is near. */
#define AT_RISK_SLOWDOWN_FACTOR 4.0f

static void
free_class(void *data)
{
    nm_class_finish(data);
    g_free(data);
}

void
nm_place_init(nm_place_t *place, const nm_place_desc_t *desc)
{
    assert(place && desc && desc->weight_latency_pct <= 100);
    nm_place_state_t *state = g_new0(nm_place_state_t, 1);
    state->policy = desc->policy;
    uint32_t weight = desc->weight_latency_pct;
    state->weight_latency = (weight ? (float)weight : 50.0f) / 100;
    nm_rng_init(&state->rng, desc->seed);
    state->worker_indices = g_hash_table_new(g_direct_hash, g_direct_equal);
    state->classes =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, free_class);
    state->rack_tasks = g_hash_table_new(g_direct_hash, g_direct_equal);
    g_queue_init(&state->actions);
    place->state = state;
}

void
nm_place_finish(nm_place_t *place)
{
    assert(place && place->state);
    nm_place_state_t *state = place->state;
    for (uint32_t i = 0; i < state->worker_count; i++) {
        nm_worker_finish(&state->workers[i]);
    }
    g_free(state->workers);
    g_hash_table_unref(state->worker_indices);
    g_hash_table_unref(state->classes);
    g_hash_table_unref(state->rack_tasks);
    g_queue_clear_full(&state->actions, g_free);
    g_free(state);
    place->state = NULL;
}

void
nm_place_set_weight(nm_place_t *place, uint32_t weight_latency_pct)
{
    assert(place && weight_latency_pct <= 100);
    place->state->weight_latency = (float)weight_latency_pct / 100;
}

nm_class_t *
nm_place_ensure_class(nm_place_state_t *state, uint64_t id)
{
    void *key = (void *)(uintptr_t)id;
    nm_class_t *class_ = g_hash_table_lookup(state->classes, key);
    if (!class_) {
        class_ = g_new0(nm_class_t, 1);
        class_->id = id;
        g_hash_table_insert(state->classes, key, class_);
    }
    return class_;
}

static void *
rack_key(uint64_t job, uint32_t rack)
{
    uint64_t pair[2] = {job, rack};
    return (void *)(uintptr_t)nm_hash(pair, sizeof(pair));
}

static uint32_t
tasks_in_rack(const nm_place_state_t *state, uint64_t job, uint32_t rack)
{
    return GPOINTER_TO_UINT(
        g_hash_table_lookup(state->rack_tasks, rack_key(job, rack)));
}

static void
adjust_rack_count(nm_place_state_t *state, uint64_t job, uint32_t rack,
                  int change)
{
    void *key = rack_key(job, rack);
    int count =
        GPOINTER_TO_INT(g_hash_table_lookup(state->rack_tasks, key)) + change;
    if (count > 0) {
        g_hash_table_insert(state->rack_tasks, key, GINT_TO_POINTER(count));
    }
    else {
        g_hash_table_remove(state->rack_tasks, key);
    }
}

int32_t
nm_place_find_worker(const nm_place_t *place, uint64_t id)
{
    assert(place);
    void *entry = g_hash_table_lookup(place->state->worker_indices,
                                      (void *)(uintptr_t)id);
    return GPOINTER_TO_INT(entry) - 1;
}

static void
update_max_allocatable(nm_place_state_t *state, const nm_worker_t *worker)
{
    nm_resources_t allocatable = nm_worker_allocatable(worker);
    if (allocatable.cpu_milli > state->max_allocatable.cpu_milli) {
        state->max_allocatable.cpu_milli = allocatable.cpu_milli;
    }
    if (allocatable.memory_mb > state->max_allocatable.memory_mb) {
        state->max_allocatable.memory_mb = allocatable.memory_mb;
    }
    if (allocatable.accelerators > state->max_allocatable.accelerators) {
        state->max_allocatable.accelerators = allocatable.accelerators;
    }
}

int32_t
nm_place_set_worker(nm_place_t *place, const nm_place_worker_t *desc)
{
    assert(place && desc && desc->id != 0);
    assert(desc->service == NM_PLACE_NO_SERVICE ||
           desc->service < NM_PLACE_SERVICES_MAX);
    nm_place_state_t *state = place->state;
    int32_t index = nm_place_find_worker(place, desc->id);
    if (index < 0) {
        if (state->worker_count == state->worker_capacity) {
            state->worker_capacity =
                state->worker_capacity ? state->worker_capacity * 2 : 64;
            state->workers =
                g_renew(nm_worker_t, state->workers, state->worker_capacity);
        }
        index = (int32_t)state->worker_count++;
        state->workers[index] = (nm_worker_t){0};
        g_hash_table_insert(state->worker_indices, (void *)(uintptr_t)desc->id,
                            GINT_TO_POINTER(index + 1));
    }
    state->workers[index].desc = *desc;
    update_max_allocatable(state, &state->workers[index]);
    return index;
}

void
nm_place_close_worker(nm_place_t *place, int32_t worker_index, bool closed)
{
    assert(place && worker_index >= 0 &&
           (uint32_t)worker_index < place->state->worker_count);
    place->state->workers[worker_index].desc.closed = closed;
}

static float
default_slowdown_bound(const nm_place_state_t *state)
{
    float weight = state->weight_latency;
    return 1 + SLOWDOWN_BOUND_SCALE / (weight * weight + SLOWDOWN_BOUND_SCALE);
}

float
nm_place_slowdown_bound(const nm_place_state_t *state,
                        const nm_worker_t *worker)
{
    float bound = default_slowdown_bound(state);
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        if (worker->allocations[i].at_risk) {
            return 1 + (bound - 1) * AT_RISK_SLOWDOWN_FACTOR;
        }
    }
    return bound;
}

static float
confidence_deviations(const nm_place_state_t *state)
{
    return CONFIDENCE_DEVIATIONS_MIN +
           CONFIDENCE_DEVIATIONS_RANGE * state->weight_latency;
}

float
nm_place_planning_load(const nm_place_state_t *state,
                       const nm_worker_t *worker)
{
    return worker->load +
           state->weight_latency * (worker->load_peak - worker->load);
}

nm_resources_t
nm_place_task_reservation(const nm_place_state_t *state, nm_class_t *class_,
                          const nm_place_task_spec_t *spec,
                          const nm_resources_t *limit)
{
    switch (state->policy) {
    case NM_PLACE_POLICY_LEARNED:
    case NM_PLACE_POLICY_ORACLE:
        return nm_class_reservation(class_, &spec->declared, limit);
    default:
        return spec->declared;
    }
}

/*
 * Returns true if a task may explore: be placed to learn how its class
 * interferes with the worker's service, although the prediction exceeds the
 * bound.  Allowed for one task of a class and one task on a worker at a time,
 * and on a small share of the workers.
 */
static bool
may_explore(const nm_place_state_t *state, nm_worker_t *worker,
            nm_class_t *class_, float mean)
{
    const nm_coefficient_t *coefficient = nm_class_coefficient(
        class_, worker->desc.service,
        nm_model_band(nm_place_planning_load(state, worker)));
    uint32_t worker_limit =
        (uint32_t)(EXPLORE_WORKER_SHARE * (float)state->worker_count);
    return state->policy == NM_PLACE_POLICY_LEARNED &&
           coefficient->samples < EXPLORE_SAMPLES_MIN &&
           worker->exploring_count == 0 && class_->exploring_count == 0 &&
           state->exploring_count < (worker_limit ? worker_limit : 1) &&
           mean < EXPLORE_SLOWDOWN_MAX;
}

/* Returns the cost of a task on a worker, or -1 if it must not run there. */
static float
candidate_cost(nm_place_state_t *state, nm_worker_t *worker,
               nm_class_t *class_, const nm_place_task_spec_t *spec,
               nm_ms_t now_ms)
{
    if (worker->desc.closed) {
        return -1;
    }
    nm_resources_t allocatable = nm_worker_allocatable(worker);
    nm_resources_t amount =
        nm_place_task_reservation(state, class_, spec, &allocatable);
    if (state->policy == NM_PLACE_POLICY_LEARNED) {
        nm_worker_refresh_reservations(worker, now_ms);
    }
    if (!nm_worker_fits(worker, &amount)) {
        return -1;
    }
    bool has_service = worker->desc.service != NM_PLACE_NO_SERVICE;
    if (state->policy == NM_PLACE_POLICY_SEPARATE && has_service) {
        return -1;
    }
    if (state->policy == NM_PLACE_POLICY_RANDOM) {
        return (float)nm_rng_unit(&state->rng);
    }
    int64_t cpu_left =
        allocatable.cpu_milli - worker->used.cpu_milli - amount.cpu_milli;
    float unused_share = (float)cpu_left / (float)(allocatable.cpu_milli + 1);
    if (state->policy == NM_PLACE_POLICY_BEST_FIT ||
        state->policy == NM_PLACE_POLICY_REACTIVE)
    {
        return unused_share;
    }
    float share =
        (float)amount.cpu_milli / (float)(worker->desc.capacity.cpu_milli + 1);
    nm_estimate_t estimate = nm_worker_predict(
        worker, nm_place_planning_load(state, worker), class_, share);
    float slowdown =
        estimate.mean + confidence_deviations(state) * estimate.deviation;
    float bound = default_slowdown_bound(state);
    if (spec->at_risk) {
        slowdown = estimate.mean;
        bound = 1 + (bound - 1) * AT_RISK_SLOWDOWN_FACTOR;
    }
    float exploration_cost = 0;
    if (has_service && !spec->urgent && slowdown > bound) {
        if (!may_explore(state, worker, class_, estimate.mean)) {
            return -1;
        }
        exploration_cost = EXPLORATION_COST;
    }
    uint32_t same_rack = tasks_in_rack(state, spec->job, worker->desc.rack);
    return exploration_cost +
           COST_WEIGHT_SLOWDOWN * state->weight_latency * (slowdown - 1) +
           COST_WEIGHT_FIT * unused_share +
           COST_WEIGHT_RACK * (float)same_rack / (float)(same_rack + 8);
}

int32_t
nm_place_choose(nm_place_t *place, const nm_place_task_spec_t *spec,
                nm_ms_t now_ms, nm_reason_t *reason)
{
    assert(place && spec && reason);
    nm_place_state_t *state = place->state;
    *reason = NM_REASON_NONE;
    if (!nm_place_can_ever_fit(place, spec)) {
        *reason = NM_REASON_NEVER_FITS;
        return -1;
    }
    nm_class_t *class_ = nm_place_ensure_class(state, spec->class_id);
    uint32_t count = state->worker_count;
    uint32_t start = nm_rng_below(&state->rng, count);
    /* A random odd stride spreads the examined workers over all. */
    uint32_t stride = 1;
    if (count > NM_PLACE_PROBES_MAX) {
        stride = nm_rng_below(&state->rng, count / 2) * 2 + 1;
    }
    uint32_t probes =
        count < NM_PLACE_PROBES_MAX ? count : NM_PLACE_PROBES_MAX;
    int32_t best = -1;
    float best_cost = 0;
    uint32_t compared = 0;
    for (uint32_t i = 0; i < probes && compared < CANDIDATES_MAX; i++) {
        uint32_t index = (uint32_t)((start + (uint64_t)i * stride) % count);
        float cost = candidate_cost(state, &state->workers[index], class_,
                                    spec, now_ms);
        if (cost < 0) {
            continue;
        }
        compared++;
        if (best < 0 || cost < best_cost) {
            best = (int32_t)index;
            best_cost = cost;
        }
    }
    if (best < 0) {
        *reason = NM_REASON_WAIT_NO_FIT;
    }
    return best;
}

bool
nm_place_can_ever_fit(const nm_place_t *place,
                      const nm_place_task_spec_t *spec)
{
    assert(place && spec);
    const nm_place_state_t *state = place->state;
    if (spec->declared.cpu_milli > state->max_allocatable.cpu_milli ||
        spec->declared.memory_mb > state->max_allocatable.memory_mb ||
        spec->declared.accelerators > state->max_allocatable.accelerators)
    {
        return false;
    }
    return state->worker_count > 0;
}

static bool
exceeds_slowdown_bound(const nm_place_state_t *state, nm_worker_t *worker,
                       const nm_allocation_t *allocation)
{
    if (worker->desc.service == NM_PLACE_NO_SERVICE) {
        return false;
    }
    float share = (float)allocation->reserved.cpu_milli /
                  (float)(worker->desc.capacity.cpu_milli + 1);
    nm_estimate_t estimate =
        nm_worker_predict(worker, nm_place_planning_load(state, worker),
                          allocation->class_, share);
    return estimate.mean + confidence_deviations(state) * estimate.deviation >
           default_slowdown_bound(state);
}

static void
adjust_exploring_counts(nm_place_state_t *state, nm_worker_t *worker,
                        nm_class_t *class_, int change)
{
    bool before = worker->exploring_count > 0;
    worker->exploring_count += (uint32_t)change;
    class_->exploring_count += (uint32_t)change;
    state->exploring_count +=
        (uint32_t)((worker->exploring_count > 0) - before);
}

void
nm_place_end_exploring(nm_place_state_t *state, nm_worker_t *worker)
{
    int band = nm_model_band(nm_place_planning_load(state, worker));
    for (uint32_t i = 0;
         i < worker->allocation_count && worker->exploring_count > 0; i++)
    {
        nm_allocation_t *allocation = &worker->allocations[i];
        if (allocation->is_exploring &&
            nm_class_coefficient(allocation->class_, worker->desc.service,
                                 band)
                    ->samples >= EXPLORE_SAMPLES_MIN)
        {
            allocation->is_exploring = false;
            adjust_exploring_counts(state, worker, allocation->class_, -1);
        }
    }
}

void
nm_place_allocate(nm_place_t *place, int32_t worker_index, uint64_t task,
                  const nm_place_task_spec_t *spec, nm_ms_t now_ms)
{
    assert(place && worker_index >= 0 &&
           (uint32_t)worker_index < place->state->worker_count);
    nm_place_state_t *state = place->state;
    nm_worker_t *worker = &state->workers[worker_index];
    if (nm_worker_find_allocation(worker, task)) {
        return;
    }
    nm_class_t *class_ = nm_place_ensure_class(state, spec->class_id);
    nm_resources_t allocatable = nm_worker_allocatable(worker);
    nm_allocation_t allocation = {
        .task = task,
        .job = spec->job,
        .class_ = class_,
        .declared = spec->declared,
        .reserved =
            nm_place_task_reservation(state, class_, spec, &allocatable),
        .priority = spec->priority,
        .at_risk = spec->at_risk,
        .throttle_pct = 100,
        .since_ms = now_ms,
    };
    allocation.reserved.accelerators = spec->declared.accelerators;
    if (state->policy == NM_PLACE_POLICY_LEARNED) {
        /*
         * All allocations above the bound explore, also tasks that are urgent,
         * at risk or were found running.
         */
        allocation.is_exploring =
            exceeds_slowdown_bound(state, worker, &allocation);
    }
    nm_worker_add_allocation(worker, &allocation, now_ms);
    adjust_exploring_counts(state, worker, class_,
                            allocation.is_exploring ? 1 : 0);
    adjust_rack_count(state, spec->job, worker->desc.rack, 1);
}

void
nm_place_release(nm_place_t *place, int32_t worker_index, uint64_t task,
                 nm_ms_t now_ms)
{
    assert(place && worker_index >= 0 &&
           (uint32_t)worker_index < place->state->worker_count);
    nm_worker_t *worker = &place->state->workers[worker_index];
    nm_allocation_t *allocation = nm_worker_find_allocation(worker, task);
    if (allocation) {
        adjust_rack_count(place->state, allocation->job, worker->desc.rack,
                          -1);
        adjust_exploring_counts(place->state, worker, allocation->class_,
                                allocation->is_exploring ? -1 : 0);
        nm_worker_remove_allocation(worker, allocation, now_ms);
    }
}

void
nm_place_observe_usage(nm_place_t *place, uint64_t class_id,
                       const nm_resources_t *usage)
{
    assert(place && usage);
    nm_class_observe_usage(nm_place_ensure_class(place->state, class_id),
                           usage);
}

void
nm_place_set_ground_truth(nm_place_t *place, uint64_t class_id,
                          const nm_resources_t *size, uint32_t service,
                          const float slowdowns[NM_PLACE_LOAD_BANDS])
{
    assert(place && size && service < NM_PLACE_SERVICES_MAX);
    nm_class_t *class_ = nm_place_ensure_class(place->state, class_id);
    class_->true_size = *size;
    class_->has_true_size = true;
    for (int i = 0; i < NM_PLACE_LOAD_BANDS; i++) {
        nm_class_coefficient(class_, service, i);
        class_->coefficients[service][i] =
            (nm_coefficient_t){.mean = slowdowns[i]};
    }
}

nm_place_info_t
nm_place_query_worker(const nm_place_t *place, int32_t worker_index)
{
    assert(place && worker_index >= 0 &&
           (uint32_t)worker_index < place->state->worker_count);
    nm_worker_t *worker = &place->state->workers[worker_index];
    nm_place_info_t info = {.used = worker->used,
                            .tasks = worker->allocation_count};
    info.used.cpu_milli += worker->desc.executor.cpu_milli;
    info.used.memory_mb += worker->desc.executor.memory_mb;
    info.used.accelerators += worker->desc.executor.accelerators;
    info.slowdown = nm_worker_predict(worker, worker->load, NULL, 0).mean;
    return info;
}

nm_resources_t
nm_place_query_reservation(const nm_place_t *place,
                           const nm_place_task_spec_t *spec)
{
    assert(place && spec);
    nm_class_t *class_ = nm_place_ensure_class(place->state, spec->class_id);
    return nm_place_task_reservation(place->state, class_, spec,
                                     &place->state->max_allocatable);
}

nm_estimate_t
nm_place_query_interference(const nm_place_t *place, uint64_t class_id,
                            uint32_t service, float load)
{
    assert(place);
    const nm_coefficient_t *coefficient =
        nm_class_coefficient(nm_place_ensure_class(place->state, class_id),
                             service, nm_model_band(load));
    return (nm_estimate_t){
        .mean = coefficient->mean,
        .deviation = sqrtf(coefficient->variance),
    };
}
