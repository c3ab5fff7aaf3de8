/*
 * Choice of a worker for a waiting task: which workers a task fits on, and
 * which of these suits it best.
 *
 * Load: tasks of all sizes on workers that are nearly full.  A task goes where
 * the least is free, so that large tasks still find room; a filler goes where
 * it disturbs least.
 */
#include "sched_round.h"

#include <math.h>
#include <string.h>

/* Score penalty of a task's avoided_node. */
#define AVOIDED_NODE_PENALTY 5
/* Score penalty for each failed start or run in a row on a worker. */
#define FAILURE_PENALTY 0.5
/*
 * Score penalty of a worker where a filler would stay slowed until others than
 * fillers end: outweighs the limit of slowed fillers, in multiples of its CPU,
 * and the predicted cost, but not an avoided worker.
 */
#define STAYS_SLOWED_PENALTY 4.75
/* Score of a worker in the rack of a task's data: outweighs CPU and image. */
#define DATA_RACK_SCORE 20
/* Scores of a worker for a serving task. */
#define NO_SERVING_TASK_SCORE 1
#define SAME_IMAGE_SCORE 2
/* Limit of fitting workers that are compared for one task. */
#define FITTING_NODES_MAX 80
/* Workers compared for a step besides those, for each waiting task. */
#define FITTING_NODES_PER_TASK 2

bool
nm_node_is_usable(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    return node->described && node->admitted && node->announced &&
           !node->evacuated &&
           node->announced_incarnation == node->desc.incarnation &&
           node->unknown_orphans == 0 && node->epoch_confirmed &&
           !nm_node_may_run_unknown(node) && node->reachable &&
           node->clock_known && node->desc.state == NM_WORKER_READY &&
           now_ms >= node->avoid_until_ms;
}

static uint32_t
count_step_tasks(const nm_sched_node_t *node,
                 const nm_occurrence_t *occurrence, uint32_t step)
{
    uint32_t count = nm_orphans_count_step(node, occurrence, step);
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        count += task->occurrence == occurrence && task->step == step;
    }
    return count;
}

static bool
has_label(const nm_sched_node_t *node, const char *label)
{
    for (uint32_t i = 0; i < node->desc.label_count; i++) {
        if (strcmp(node->desc.labels[i], label) == 0) {
            return true;
        }
    }
    return false;
}

bool
nm_choice_fits(const nm_sched_node_t *node, const nm_step_t *step)
{
    bool cpu_fits =
        step->is_filler ||
        node->cpu_used_milli + step->cpu_milli <= node->desc.cpu_milli;
    return cpu_fits &&
           node->memory_used_mb + step->memory_mb <= node->desc.memory_mb &&
           node->accelerators_used + step->accelerators <=
               node->desc.accelerators;
}

/* True if all serving tasks on a worker have this image. */
static bool
serves_only_image(const nm_sched_node_t *node, const char *image)
{
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_step_t *step = nm_task_step(node->tasks->pdata[i]);
        if (step->target_ms > 0 && strcmp(step->image, image) != 0) {
            return false;
        }
    }
    return true;
}

/*
 * Scores a worker that a task fits on; higher is better.  Tasks go where the
 * least CPU is free, so that other workers keep room for large tasks.  Serving
 * tasks are grouped by image, so that each worker suits some fillers.
 */
static double
node_score(const nm_sched_node_t *node, const nm_step_t *step)
{
    double free_share = (double)(node->desc.cpu_milli - node->cpu_used_milli) /
                        (double)MAX(node->desc.cpu_milli, 1);
    double score = -free_share;
    if (step->target_ms > 0) {
        bool same_image = serves_only_image(node, step->image);
        score += node->serving_count == 0 ? NO_SERVING_TASK_SCORE
                 : same_image             ? SAME_IMAGE_SCORE
                                          : 0;
    }
    if (step->data_rack[0] != '\0' &&
        strcmp(step->data_rack, node->desc.rack) == 0)
    {
        score += DATA_RACK_SCORE;
    }
    return score - FAILURE_PENALTY * node->consecutive_failures;
}

/* True if a worker has the label of a step, and not too many of its tasks. */
static bool
meets_constraints(const nm_sched_node_t *node, const nm_candidate_t *candidate)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    return (step->label[0] == '\0' || has_label(node, step->label)) &&
           (step->per_worker_max == 0 ||
            count_step_tasks(node, candidate->occurrence, candidate->step) <
                step->per_worker_max);
}

bool
nm_choice_is_eligible(const nm_sched_node_t *node,
                      const nm_candidate_t *candidate, const char *service,
                      nm_ms_t now_ms)
{
    return nm_node_is_usable(node, now_ms) && node->service == service &&
           meets_constraints(node, candidate);
}

/* Counts the reasons for which workers take no further filler. */
static void
count_refusal(nm_sched_t *sched, nm_exclusion_t exclusion)
{
    switch (exclusion) {
    case NM_EXCLUSION_CAPACITY:
        sched->filler_refusals[NM_FILLER_REFUSAL_CAPACITY]++;
        break;
    case NM_EXCLUSION_HEADROOM:
        sched->filler_refusals[NM_FILLER_REFUSAL_HEADROOM]++;
        break;
    case NM_EXCLUSION_CANARY:
        sched->filler_refusals[NM_FILLER_REFUSAL_CANARY]++;
        break;
    case NM_EXCLUSION_COST:
        sched->filler_refusals[NM_FILLER_REFUSAL_COST]++;
        break;
    case NM_EXCLUSION_HELD:
        sched->filler_refusals[NM_FILLER_REFUSAL_HELD]++;
        break;
    default:
        break;
    }
}

/*
 * True if a filler may start although its predicted cost is too high; a gang
 * would disturb many workers at once.
 */
static bool
may_try(const nm_sched_t *sched, const nm_candidate_t *candidate,
        nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    return candidate->order_class == NM_CLASS_IDLE && !candidate->slowed &&
           !job->spec.steps[candidate->step].is_gang &&
           nm_sched_filler_may_be_tried(sched, now_ms - job->idle_since_ms,
                                        now_ms);
}

static nm_exclusion_t
score_filler_node(nm_sched_t *sched, const nm_candidate_t *candidate,
                  nm_sched_node_t *node, nm_ms_t now_ms, double *score)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    uint32_t image = job->images[candidate->step];
    int64_t cpu_milli = step->cpu_milli;
    if (candidate->slowed) {
        cpu_milli = cpu_milli * NM_SCHED_SLOWED_PERCENT / 100;
    }
    if (candidate->slowed ? !nm_sched_filler_may_be_slowed(node, step)
                          : !nm_sched_filler_has_capacity(node, step))
    {
        return NM_EXCLUSION_CAPACITY;
    }
    if (node->serving_count > 0 && !node->has_headroom) {
        return NM_EXCLUSION_HEADROOM;
    }
    if (nm_sched_filler_canary_limit_reached(sched, node, image, now_ms)) {
        return NM_EXCLUSION_CANARY;
    }
    double cost = nm_sched_filler_cost(sched, node, cpu_milli, image, now_ms);
    if (!nm_sched_filler_cost_is_acceptable(cost) &&
        !may_try(sched, candidate, now_ms))
    {
        return NM_EXCLUSION_COST;
    }
    *score = -cost;
    if (candidate->slowed) {
        *score -= (double)node->slowed_cpu_milli /
                  (double)MAX(node->desc.cpu_milli, 1);
        if (nm_sched_filler_cpu_milli(node) < (double)step->cpu_milli) {
            *score -= STAYS_SLOWED_PENALTY;
        }
    }
    return NM_EXCLUSION_NONE;
}

bool
nm_choice_is_held_for_other(const nm_sched_node_t *node,
                            const nm_candidate_t *candidate, nm_ms_t now_ms)
{
    /* Reservations give way to steps that are idle or overdue. */
    return now_ms < node->hold.until_ms &&
           !(node->hold.reason == NM_HOLD_AHEAD &&
             candidate->order_class != NM_CLASS_ORDINARY) &&
           (node->hold.occurrence != candidate->occurrence ||
            node->hold.step != candidate->step);
}

nm_exclusion_t
nm_choice_score_node(nm_sched_t *sched, const nm_candidate_t *candidate,
                     const nm_task_t *task, nm_sched_node_t *node,
                     nm_ms_t now_ms, double *score)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    bool reserved = node->reserved_placement == sched->placement_number &&
                    !step->long_running && !step->is_filler;
    bool held = candidate->order_class != NM_CLASS_OVERDUE &&
                nm_choice_is_held_for_other(node, candidate, now_ms);
    if (reserved) {
        return NM_EXCLUSION_HELD;
    }
    if (!nm_choice_fits(node, step)) {
        return NM_EXCLUSION_ROOM;
    }
    if (node->service != nm_job_service(job)) {
        return NM_EXCLUSION_SERVICE;
    }
    if (!nm_node_is_usable(node, now_ms)) {
        return NM_EXCLUSION_UNUSABLE;
    }
    if (!meets_constraints(node, candidate)) {
        return NM_EXCLUSION_CONSTRAINT;
    }
    if (nm_crashes_conflict(node, task)) {
        return NM_EXCLUSION_TRIAL;
    }
    if (!nm_cold_may_start(sched, node, candidate, now_ms)) {
        return NM_EXCLUSION_COLD;
    }
    if (held && !(node->hold.reason == NM_HOLD_AHEAD &&
                  nm_lookahead_admits(node, candidate, now_ms)))
    {
        return NM_EXCLUSION_HELD;
    }
    if (step->is_filler) {
        nm_exclusion_t exclusion =
            score_filler_node(sched, candidate, node, now_ms, score);
        if (exclusion != NM_EXCLUSION_NONE) {
            return exclusion;
        }
    }
    else {
        *score = node_score(node, step);
    }
    *score -= task->avoided_node == node ? AVOIDED_NODE_PENALTY : 0;
    *score -= nm_crashes_penalty(node, task, now_ms);
    *score -= nm_cold_penalty(node, step, now_ms);
    return NM_EXCLUSION_NONE;
}

/* Returns false if the worker cannot take the task. */
static bool
score_node(nm_sched_t *sched, const nm_candidate_t *candidate,
           const nm_task_t *task, nm_sched_node_t *node, nm_ms_t now_ms,
           double *score)
{
    nm_exclusion_t exclusion =
        nm_choice_score_node(sched, candidate, task, node, now_ms, score);
    if (candidate->occurrence->job->spec.steps[candidate->step].is_filler) {
        count_refusal(sched, exclusion);
    }
    return exclusion == NM_EXCLUSION_NONE;
}

bool
nm_choice_waits_for_trial(const nm_sched_t *sched,
                          const nm_candidate_t *candidate,
                          const nm_task_t *task, bool avoid_flapping,
                          nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    if (nm_task_must_wait(sched, task, now_ms)) {
        return true;
    }
    for (guint i = 0; task->crashes > 0 && i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (nm_choice_fits(node, step) && nm_crashes_conflict(node, task) &&
            !(avoid_flapping && nm_crashes_is_flapping(node, now_ms)) &&
            nm_choice_is_eligible(node, candidate, nm_job_service(job),
                                  now_ms))
        {
            return true;
        }
    }
    return false;
}

nm_sched_node_t *
nm_choice_find_node(nm_sched_t *sched, const nm_candidate_t *candidate,
                    nm_task_t *task, nm_ms_t now_ms)
{
    guint count = sched->node_list->len;
    nm_crashes_resolve(sched, task, now_ms);
    if (count == 0 || nm_task_must_wait(sched, task, now_ms)) {
        return NULL;
    }
    nm_sched_node_t *intended = nm_crashes_intended_node(sched, task);
    double score;
    if (intended &&
        score_node(sched, candidate, task, intended, now_ms, &score)) {
        return intended;
    }
    guint begin = nm_rng_below(&sched->rng, count);
    nm_sched_node_t *best = NULL;
    double best_score = -INFINITY;
    guint fitting = 0;
    for (guint i = 0; i < count && fitting < FITTING_NODES_MAX; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[(begin + i) % count];
        if (!score_node(sched, candidate, task, node, now_ms, &score)) {
            continue;
        }
        fitting++;
        if (score > best_score) {
            best = node;
            best_score = score;
        }
    }
    if (best && nm_crashes_is_flapping(best, now_ms) &&
        nm_choice_waits_for_trial(sched, candidate, task, true, now_ms))
    {
        return NULL;
    }
    return best && nm_crashes_may_start(sched, task, best, now_ms) ? best
                                                                   : NULL;
}

/* Of equal workers, the one with fewer starts of the step goes first. */
static bool
is_before(const nm_found_node_t *left, const nm_found_node_t *right)
{
    return left->score > right->score ||
           (left->score == right->score && left->starts < right->starts);
}

static int
compare_found(gconstpointer a, gconstpointer b)
{
    return is_before(a, b) ? -1 : is_before(b, a) ? 1 : 0;
}

/* Moves the first entry to its place. */
static void
move_first_down(GArray *found)
{
    nm_found_node_t *entries = (nm_found_node_t *)(void *)found->data;
    for (guint i = 0; 2 * i + 1 < found->len;) {
        guint child = 2 * i + 1;
        if (child + 1 < found->len &&
            is_before(&entries[child + 1], &entries[child])) {
            child++;
        }
        if (!is_before(&entries[child], &entries[i])) {
            return;
        }
        nm_found_node_t moved = entries[i];
        entries[i] = entries[child];
        entries[child] = moved;
        i = child;
    }
}

static void
remove_first(GArray *found)
{
    g_array_remove_index_fast(found, 0);
    move_first_down(found);
}

void
nm_search_init(nm_search_t *search, nm_sched_t *sched,
               const nm_candidate_t *candidate)
{
    uint32_t waiting = candidate->occurrence->waiting[candidate->step];
    guint nodes = sched->node_list->len;
    *search = (nm_search_t){
        .sched = sched,
        .candidate = candidate,
        .found = g_array_new(FALSE, FALSE, sizeof(nm_found_node_t)),
        .found_max = FITTING_NODES_MAX + FITTING_NODES_PER_TASK * waiting,
        .unvisited = nodes,
        .position = nodes > 0 ? nm_rng_below(&sched->rng, nodes) : 0};
}

void
nm_search_finish(nm_search_t *search)
{
    g_array_free(search->found, TRUE);
}

/* Visits further workers until enough of them fit, or none is left. */
static void
visit_nodes(nm_search_t *search, const nm_task_t *task, nm_ms_t now_ms)
{
    const GPtrArray *nodes = search->sched->node_list;
    while (search->unvisited > 0 && search->found->len < search->found_max) {
        nm_found_node_t entry = {.node = nodes->pdata[search->position]};
        search->position = (search->position + 1) % nodes->len;
        search->unvisited--;
        if (score_node(search->sched, search->candidate, task, entry.node,
                       now_ms, &entry.score))
        {
            g_array_append_val(search->found, entry);
        }
    }
    g_array_sort(search->found, compare_found);
}

nm_sched_node_t *
nm_search_find_node(nm_search_t *search, nm_task_t *task, nm_ms_t now_ms)
{
    bool has_history = task->avoided_node || task->orphans > 0 ||
                       task->open_starts > 0 || task->starts_in_flight > 0 ||
                       task->opened_by_former || task->crashes > 0 ||
                       task->silence_count > 0 ||
                       task->intent.worker_hash != 0;
    if (has_history) {
        return nm_choice_find_node(search->sched, search->candidate, task,
                                   now_ms);
    }
    for (;;) {
        if (search->found->len == 0) {
            visit_nodes(search, task, now_ms);
        }
        if (search->found->len == 0) {
            return NULL;
        }
        nm_found_node_t *first =
            &g_array_index(search->found, nm_found_node_t, 0);
        double score;
        /* The starts since then may have changed it. */
        if (!score_node(search->sched, search->candidate, task, first->node,
                        now_ms, &score))
        {
            remove_first(search->found);
            continue;
        }
        nm_sched_node_t *node = first->node;
        first->score = score;
        move_first_down(search->found);
        if (first->node == node) {
            first->starts++;
            return node;
        }
    }
}

/* Ends the holds for a job that starts, except for those of evictions. */
static void
release_holds(nm_sched_t *sched, nm_sched_job_t *job, nm_ms_t now_ms)
{
    if (now_ms >= job->held_until_ms) {
        return;
    }
    job->held_until_ms = 0;
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->hold.job == job && node->hold.reason != NM_HOLD_EVICTION &&
            node->hold.reason != NM_HOLD_AHEAD)
        {
            node->hold = (nm_hold_t){0};
        }
    }
}

void
nm_choice_start(nm_sched_t *sched, const nm_candidate_t *candidate,
                nm_task_t *task, nm_sched_node_t *node, int64_t run,
                nm_ms_t now_ms)
{
    nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    if (step->is_filler) {
        uint32_t image = job->images[candidate->step];
        nm_sched_filler_count_canary(sched, node, image, now_ms);
        if (!candidate->slowed) {
            nm_sched_filler_count_trial(sched, node, step, image, now_ms);
        }
    }
    if (node->hold.occurrence == candidate->occurrence &&
        node->hold.step == candidate->step)
    {
        node->hold = (nm_hold_t){0};
    }
    release_holds(sched, job, now_ms);
    nm_cold_on_start(node, job, now_ms);
    task->starts_slowed = candidate->slowed;
    nm_sched_start_task(sched, task, node, run, now_ms);
}
