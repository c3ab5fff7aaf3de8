/*
 * Placement: decides on which worker a waiting task starts.
 *
 * The scheduler calls nm_sched_place when jobs, workers or free capacity have
 * changed.  One call is one round over all waiting tasks, in the order of
 * sched_order.c.
 *
 * Load: tasks of all sizes on workers that are nearly full.  A large task
 * finds a gap only if smaller ones do not take each gap first.
 */
#include "sched_round.h"

#include <math.h>
#include <string.h>

/* Share of the workers reserved at a time; short tasks run on the others. */
#define RESERVED_SHARE 0.05
/* A worker is held if a task is expected to fit on it within this time. */
#define HELD_MS_MAX 10000
/*
 * A filler that has been slowed for this long moves to a worker that takes it
 * at full speed; what it loses is a fraction of a second's work.
 */
#define SLOWED_MOVE_MS 5000
/* To one worker, as a stop takes up to 400 ms, and only then is room used. */
#define SLOWED_MOVE_INTERVAL_MS 500
/* Searches for such workers in a round, each of which may visit all. */
#define SLOWED_SEARCHES_MAX 8
/*
 * Share of the starts that go to idle jobs while most of a service's capacity
 * is reserved, and the limit of such starts that are saved up.
 */
#define IDLE_START_SHARE 0.1
#define IDLE_START_CREDIT_MAX 4
/*
 * One such start is also earned in each interval of this length, as there may
 * be no others.
 */
#define IDLE_START_INTERVAL_MS 10000

static int
compare_free_cpu(gconstpointer a, gconstpointer b)
{
    const nm_sched_node_t *left = *(const nm_sched_node_t *const *)a;
    const nm_sched_node_t *right = *(const nm_sched_node_t *const *)b;
    int64_t left_milli = left->desc.cpu_milli - left->cpu_used_milli;
    int64_t right_milli = right->desc.cpu_milli - right->cpu_used_milli;
    return left_milli < right_milli ? 1 : left_milli > right_milli ? -1 : 0;
}

/*
 * Keeps short tasks off the workers with the most free CPU for the rest of
 * this round.  Returns their number, count at most.
 */
static uint32_t
reserve_nodes(nm_sched_t *sched, const nm_candidate_t *candidate,
              uint32_t count, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    GPtrArray *nodes = g_ptr_array_new();
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        bool has_cpu = step->is_filler ||
                       node->long_running_cpu_milli + step->cpu_milli <=
                           node->desc.cpu_milli;
        if (has_cpu && node->reserved_placement != sched->placement_number &&
            nm_choice_is_eligible(node, candidate, nm_job_service(job),
                                  now_ms) &&
            nm_room_by(node, step, NM_MS_NEVER) > 0)
        {
            g_ptr_array_add(nodes, node);
        }
    }
    g_ptr_array_sort(nodes, compare_free_cpu);
    count = MIN(count, nodes->len);
    for (guint i = 0; i < count; i++) {
        nm_sched_node_t *node = nodes->pdata[i];
        node->reserved_placement = sched->placement_number;
    }
    g_ptr_array_free(nodes, TRUE);
    return count;
}

/* Returns the worker that is held for a step, NULL if there is none. */
static nm_sched_node_t *
find_held_node(const nm_sched_t *sched, const nm_candidate_t *candidate,
               nm_ms_t now_ms)
{
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        if (now_ms < node->hold.until_ms &&
            node->hold.reason == NM_HOLD_IDLE &&
            !nm_choice_is_held_for_other(node, candidate, now_ms))
        {
            return node;
        }
    }
    return NULL;
}

/*
 * True if holding a worker may help a step: a worker that has room for a task
 * refuses it for another reason.
 */
static bool
may_gain_room(nm_sched_t *sched, const nm_candidate_t *candidate,
              nm_sched_node_t *node, nm_ms_t now_ms)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    double share = nm_room_free_share(node, step, now_ms + HELD_MS_MAX);
    return share >= 0 && !(share >= 1 && nm_choice_fits(node, step)) &&
           nm_room_may_hold(sched, candidate, node, now_ms);
}

/*
 * Stops fillers whose memory a long-running task needs.  Returns true if a
 * worker has enough memory, or will have once the stopped fillers have ended;
 * the worker is held for the step, and counts for one task in a round.
 * position: the worker to begin with; those before it are of no use to the
 * step in this round.
 */
static bool
evict_fillers(nm_sched_t *sched, const nm_candidate_t *candidate,
              guint *position, nm_ms_t now_ms)
{
    while (*position < sched->node_list->len) {
        nm_sched_node_t *node = sched->node_list->pdata[(*position)++];
        if (node->filler_count > 0 &&
            node->reserved_placement != sched->placement_number &&
            nm_room_may_hold(sched, candidate, node, now_ms) &&
            nm_room_evict_fillers(sched, candidate, node, 1, now_ms))
        {
            return true;
        }
    }
    return false;
}

static nm_unplaced_t
make_unplaced(const nm_sched_job_t *job, const nm_step_t *step)
{
    return (nm_unplaced_t){.service = nm_job_service(job),
                           .image = step->is_filler ? step->image : NULL,
                           .cpu_milli = step->cpu_milli,
                           .memory_mb = step->memory_mb};
}

/*
 * True if a task that needs at least as much as another, of the same service
 * and image, finds no worker if the other finds none.
 */
static bool
needs_as_much(const nm_unplaced_t *task, const nm_unplaced_t *other)
{
    return task->service == other->service &&
           (task->image == other->image ||
            (task->image && other->image &&
             strcmp(task->image, other->image) == 0)) &&
           task->cpu_milli >= other->cpu_milli &&
           task->memory_mb >= other->memory_mb;
}

static bool
is_unplaced(const nm_unplaced_list_t *list, const nm_sched_job_t *job,
            const nm_step_t *step)
{
    nm_unplaced_t task = make_unplaced(job, step);
    for (uint32_t i = 0; i < list->count; i++) {
        if (needs_as_much(&task, &list->entries[i])) {
            return true;
        }
    }
    return false;
}

/*
 * Records a task that found no worker.  A label, a limit per worker or an
 * accelerator says nothing about tasks without.
 */
static void
record_unplaced(nm_unplaced_list_t *list, const nm_sched_job_t *job,
                const nm_step_t *step)
{
    if (step->label[0] != '\0' || step->per_worker_max > 0 ||
        step->accelerators > 0)
    {
        return;
    }
    nm_unplaced_t task = make_unplaced(job, step);
    uint32_t kept = 0;
    for (uint32_t i = 0; i < list->count; i++) {
        if (!needs_as_much(&list->entries[i], &task)) {
            list->entries[kept++] = list->entries[i];
        }
    }
    list->count = kept;
    if (kept < NM_ROUND_UNPLACED_MAX) {
        list->entries[list->count++] = task;
    }
}

/*
 * Keeps what becomes free on one worker for a job whose tasks need more than
 * is free anywhere: the worker it has, or else the one with the most free.
 * Holds outlast a round, so that the limit is for those of earlier ones too.
 */
static void
hold_node(nm_sched_t *sched, const nm_candidate_t *candidate,
          nm_round_t *round, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    if (now_ms < job->held_until_ms) {
        nm_sched_node_t *held = find_held_node(sched, candidate, now_ms);
        if (held && may_gain_room(sched, candidate, held, now_ms)) {
            nm_room_hold(held, candidate, NM_HOLD_IDLE, now_ms);
        }
        return;
    }
    if (round->held_nodes + round->reserved_nodes >=
            ceil(RESERVED_SHARE * sched->node_list->len) ||
        is_unplaced(&round->without_room, job, step))
    {
        return;
    }
    nm_sched_node_t *best = NULL;
    double best_share = -1;
    bool any_room = false;
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        double share = nm_room_free_share(node, step, now_ms + HELD_MS_MAX);
        any_room =
            any_room ||
            (share >= 0 && nm_choice_is_eligible(node, candidate,
                                                 nm_job_service(job), now_ms));
        if (share > best_share &&
            may_gain_room(sched, candidate, node, now_ms)) {
            best = node;
            best_share = share;
        }
    }
    if (best) {
        nm_room_hold(best, candidate, NM_HOLD_IDLE, now_ms);
        round->held_nodes++;
    }
    else if (!any_room) {
        record_unplaced(&round->without_room, job, step);
    }
}

/* True if workers may refuse a task for what became of its earlier runs. */
static bool
has_crashed(const nm_task_t *task)
{
    return task->crashes > 0 || task->silence_count > 0;
}

/* Reserves workers for an interrupted step once it is overdue. */
static void
reserve_if_overdue(nm_sched_t *sched, nm_round_t *round,
                   const nm_candidate_t *candidate, nm_ms_t now_ms)
{
    const nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_sched_job_t *job = occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    uint32_t reserved_max =
        (uint32_t)ceil(RESERVED_SHARE * sched->node_list->len);
    if (round->reserved_nodes >= reserved_max ||
        !nm_step_is_overdue(occurrence, candidate->step, now_ms) ||
        is_unplaced(&round->unreserved, job, step))
    {
        return;
    }
    uint32_t wanted =
        MIN(nm_occurrence_count_interrupted(occurrence, candidate->step),
            reserved_max - round->reserved_nodes);
    uint32_t count = reserve_nodes(sched, candidate, wanted, now_ms);
    if (count < wanted) {
        record_unplaced(&round->unreserved, job, step);
    }
    round->reserved_nodes += count;
}

/* False if no worker of its service has the CPU for a task of the step. */
static bool
fits_cpu(const nm_sched_t *sched, const nm_candidate_t *candidate,
         nm_round_t *round, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    return step->is_filler ||
           step->cpu_milli <=
               nm_order_service(sched, round, nm_job_service(job), now_ms)
                   ->free_cpu_milli_max;
}

/*
 * True if a step needs as much as one that found no worker.  A long-running
 * step may have a worker held that the other one was not allowed to use.
 */
static bool
is_skipped(const nm_sched_t *sched, const nm_candidate_t *candidate,
           nm_round_t *round, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    bool unconstrained = step->label[0] == '\0' && step->per_worker_max == 0;
    if (candidate->order_class == NM_CLASS_OVERDUE) {
        return !fits_cpu(sched, candidate, round, now_ms) ||
               (unconstrained &&
                is_unplaced(&round->unplaced_overdue, job, step));
    }
    if (step->long_running) {
        return unconstrained && candidate->order_class == NM_CLASS_ORDINARY &&
               now_ms >= MAX(job->held_until_ms, job->evicting_until_ms) &&
               is_unplaced(&round->unplaced_long_running, job, step);
    }
    return (step->is_filler || unconstrained) &&
           is_unplaced(&round->unplaced, job, step);
}

/* True if a filler that no worker takes at full speed is to start slowed. */
static bool
may_start_slowed(const nm_candidate_t *candidate)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    return step->is_filler && !step->long_running &&
           candidate->order_class == NM_CLASS_IDLE &&
           !candidate->takes_credit && job->has_waited;
}

/* Starts all members of such a gang slowed. */
static bool
start_slowed_gang(nm_sched_t *sched, const nm_candidate_t *candidate,
                  const nm_round_t *round, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    if (!may_start_slowed(candidate) ||
        is_unplaced(&round->unplaced_slowed, job,
                    &job->spec.steps[candidate->step]))
    {
        return false;
    }
    nm_candidate_t slowed = *candidate;
    slowed.slowed = true;
    return nm_gang_start(sched, &slowed, now_ms);
}

/* Places a gang, or makes room for it on all the workers that it needs. */
static void
place_gang(nm_sched_t *sched, const nm_candidate_t *candidate,
           nm_round_t *round, nm_ms_t now_ms)
{
    nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_step_t *step = &occurrence->job->spec.steps[candidate->step];
    if (occurrence->waiting[candidate->step] < step->task_count) {
        return; /* some members of an earlier run have not ended */
    }
    if (nm_gang_start(sched, candidate, now_ms)) {
        sched->idle_start_credit -= candidate->takes_credit;
        return;
    }
    if (start_slowed_gang(sched, candidate, round, now_ms)) {
        return;
    }
    nm_gang_make_room(sched, candidate, round, now_ms);
    nm_lookahead_reserve(sched, candidate, round, now_ms);
}

static void
add_idle_start_credit(nm_sched_t *sched, double credit)
{
    sched->idle_start_credit =
        MIN(sched->idle_start_credit + credit, IDLE_START_CREDIT_MAX);
}

/*
 * Makes room for a step that found no worker.  Returns false if nothing can be
 * done for further tasks of it in this round.  evict_position: see
 * evict_fillers.
 */
static bool
make_room(nm_sched_t *sched, const nm_candidate_t *candidate,
          nm_round_t *round, guint *evict_position, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    if (!step->long_running) {
        record_unplaced(&round->unplaced, job, step);
        nm_lookahead_reserve(sched, candidate, round, now_ms);
        return false;
    }
    if (evict_fillers(sched, candidate, evict_position, now_ms)) {
        return true;
    }
    if (candidate->order_class == NM_CLASS_ORDINARY) {
        record_unplaced(&round->unplaced_long_running, job, step);
    }
    reserve_if_overdue(sched, round, candidate, now_ms);
    return false;
}

/* Starts the waiting tasks of a step that is not a gang. */
static void
place_tasks(nm_sched_t *sched, const nm_candidate_t *candidate,
            nm_search_t *search, nm_round_t *round, nm_ms_t now_ms)
{
    nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_step_t *step = &occurrence->job->spec.steps[candidate->step];
    guint evict_position = 0;
    for (uint32_t i = 0; i < step->task_count; i++) {
        nm_task_t *task = &occurrence->tasks[candidate->step][i];
        if (task->state != NM_RUN_WAITING ||
            (candidate->order_class == NM_CLASS_OVERDUE &&
             !nm_task_is_interrupted(task)))
        {
            continue;
        }
        if (sched->starting_count >= round->starting_max) {
            sched->needs_placement = true;
            return;
        }
        nm_sched_node_t *node = nm_search_find_node(search, task, now_ms);
        if (node) {
            nm_choice_start(sched, candidate, task, node, 0, now_ms);
            if (!step->long_running) {
                add_idle_start_credit(sched, IDLE_START_SHARE);
            }
        }
        else if (!nm_choice_waits_for_trial(sched, candidate, task, false,
                                            now_ms) &&
                 !make_room(sched, candidate, round, &evict_position, now_ms))
        {
            if (candidate->order_class == NM_CLASS_OVERDUE &&
                !has_crashed(task)) {
                record_unplaced(&round->unplaced_overdue, occurrence->job,
                                step);
            }
            return;
        }
    }
}

/*
 * Starts the steps that workers are reserved for, with one task for each
 * reservation: those before them in the order would take the room that they
 * find on other workers.
 */
static void
place_reserving(nm_sched_t *sched, const nm_round_t *round, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < round->ahead_count; i++) {
        const nm_candidate_t *candidate = &round->ahead[i].candidate;
        const nm_occurrence_t *occurrence = candidate->occurrence;
        const nm_step_t *step = &occurrence->job->spec.steps[candidate->step];
        uint32_t left = round->ahead[i].tasks;
        if (left > 0 && step->is_gang) {
            nm_gang_start(sched, candidate, now_ms);
            continue;
        }
        nm_task_t *tasks = occurrence->tasks[candidate->step];
        for (uint32_t t = 0; t < step->task_count && left > 0; t++) {
            if (tasks[t].state != NM_RUN_WAITING) {
                continue;
            }
            nm_sched_node_t *node =
                sched->starting_count < round->starting_max
                    ? nm_choice_find_node(sched, candidate, &tasks[t], now_ms)
                    : NULL;
            if (!node) {
                break;
            }
            nm_choice_start(sched, candidate, &tasks[t], node, 0, now_ms);
            add_idle_start_credit(sched, IDLE_START_SHARE);
            left--;
        }
    }
}

/* Returns false if it did not look for a worker. */
static bool
place_step(nm_sched_t *sched, const nm_candidate_t *candidate,
           nm_round_t *round, nm_ms_t now_ms)
{
    const nm_occurrence_t *occurrence = candidate->occurrence;
    if (is_skipped(sched, candidate, round, now_ms)) {
        if (candidate->order_class == NM_CLASS_OVERDUE) {
            reserve_if_overdue(sched, round, candidate, now_ms);
        }
        else {
            nm_lookahead_reserve(sched, candidate, round, now_ms);
        }
        return false;
    }
    if (occurrence->job->spec.steps[candidate->step].is_gang) {
        place_gang(sched, candidate, round, now_ms);
        return true;
    }
    nm_search_t search;
    nm_search_init(&search, sched, candidate);
    place_tasks(sched, candidate, &search, round, now_ms);
    nm_search_finish(&search);
    return true;
}

/* Returns the first waiting task of a step, of those that may start now. */
static nm_task_t *
first_startable(const nm_sched_t *sched, const nm_candidate_t *candidate,
                nm_ms_t now_ms)
{
    const nm_occurrence_t *occurrence = candidate->occurrence;
    nm_task_t *tasks = occurrence->tasks[candidate->step];
    nm_task_t *first = NULL;
    for (uint32_t i = 0;
         i < occurrence->job->spec.steps[candidate->step].task_count; i++)
    {
        if (tasks[i].state != NM_RUN_WAITING) {
            continue;
        }
        if (!nm_task_must_wait(sched, &tasks[i], now_ms)) {
            return &tasks[i];
        }
        first = first ? first : &tasks[i];
    }
    return first;
}

/* Starts a filler of an idle job that no worker takes at full speed. */
static bool
start_slowed(nm_sched_t *sched, const nm_candidate_t *candidate,
             nm_task_t *task, nm_round_t *round, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    if (!may_start_slowed(candidate) ||
        is_unplaced(&round->unplaced_slowed, job, step))
    {
        return false;
    }
    nm_candidate_t slowed = *candidate;
    slowed.slowed = true;
    nm_sched_node_t *node = nm_choice_find_node(sched, &slowed, task, now_ms);
    if (!node) {
        record_unplaced(&round->unplaced_slowed, job, step);
        return false;
    }
    nm_choice_start(sched, &slowed, task, node, 0, now_ms);
    return true;
}

/*
 * Places one task of a job that has been idle for long, or holds a worker for
 * it.  Returns false if it did not look for a worker.
 */
static bool
place_idle_step(nm_sched_t *sched, const nm_candidate_t *candidate,
                nm_round_t *round, nm_ms_t now_ms)
{
    nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_step_t *step = &occurrence->job->spec.steps[candidate->step];
    if (occurrence->job->working_count > 0 ||
        (candidate->takes_credit && sched->idle_start_credit < 1))
    {
        return false;
    }
    if (step->is_gang) {
        place_gang(sched, candidate, round, now_ms);
        return true;
    }
    nm_task_t *task = first_startable(sched, candidate, now_ms);
    if (candidate->slowed ||
        (step->is_filler &&
         is_unplaced(&round->unplaced_idle, occurrence->job, step)))
    {
        return start_slowed(sched, candidate, task, round, now_ms);
    }
    nm_sched_node_t *node =
        nm_choice_find_node(sched, candidate, task, now_ms);
    if (node) {
        nm_choice_start(sched, candidate, task, node, 0, now_ms);
        sched->idle_start_credit -= candidate->takes_credit;
    }
    else if (!nm_choice_waits_for_trial(sched, candidate, task, false,
                                        now_ms) &&
             !start_slowed(sched, candidate, task, round, now_ms))
    {
        if (step->is_filler) {
            record_unplaced(&round->unplaced_idle, occurrence->job, step);
        }
        hold_node(sched, candidate, round, now_ms);
    }
    return true;
}

static bool
place_candidate(nm_sched_t *sched, const nm_candidate_t *candidate,
                nm_round_t *round, nm_ms_t now_ms)
{
    return candidate->order_class == NM_CLASS_IDLE
               ? place_idle_step(sched, candidate, round, now_ms)
               : place_step(sched, candidate, round, now_ms);
}

/* Places the step, and records why it waits if no task of it is placed. */
static void
place_longest_idle(nm_sched_t *sched, const nm_candidate_t *candidate,
                   nm_round_t *round, uint32_t ahead, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    uint64_t refusals_before[NM_FILLER_REFUSAL_COUNT];
    memcpy(refusals_before, sched->filler_refusals, sizeof(refusals_before));
    nm_sched_idle_job_t *idle = &sched->longest_idle;
    *idle = (nm_sched_idle_job_t){.step = candidate->step,
                                  .idle_ms = now_ms - job->idle_since_ms,
                                  .ahead = ahead};
    nm_strcopy(idle->job, sizeof(idle->job), job->spec.id);
    idle->tried = place_candidate(sched, candidate, round, now_ms);
    for (uint32_t r = 0; r < NM_FILLER_REFUSAL_COUNT; r++) {
        idle->refusals[r] = sched->filler_refusals[r] - refusals_before[r];
    }
}

/* Starts whose response is not expected while the worker is silent. */
static uint32_t
count_silent_starts(const nm_sched_t *sched)
{
    uint32_t count = 0;
    for (guint n = 0; n < sched->node_list->len; n++) {
        const nm_sched_node_t *node = sched->node_list->pdata[n];
        for (guint i = 0; !node->reachable && i < node->tasks->len; i++) {
            const nm_task_t *task = node->tasks->pdata[i];
            count += task->state == NM_RUN_STARTING && !task->awaits_report;
        }
    }
    return count;
}

/* True if a filler has been slowed for long enough to run elsewhere. */
static bool
may_move(const nm_task_t *task, const nm_round_t *round, nm_ms_t now_ms)
{
    const nm_step_t *step = nm_task_step(task);
    return task->state == NM_RUN_RUNNING && !task->order_pending &&
           nm_task_is_slowed(task) && !step->is_gang && !has_crashed(task) &&
           now_ms - task->started_ms >= SLOWED_MOVE_MS &&
           now_ms - task->throttled_ms >= SLOWED_MOVE_MS &&
           !is_unplaced(&round->unplaced, task->occurrence->job, step);
}

/* Stops a slowed filler if another worker takes it at full speed. */
static bool
move_slowed(nm_sched_t *sched, nm_task_t *task, nm_round_t *round,
            nm_ms_t now_ms)
{
    nm_candidate_t candidate = {.occurrence = task->occurrence,
                                .step = task->step,
                                .order_class = NM_CLASS_ORDINARY};
    nm_sched_node_t *node =
        nm_choice_find_node(sched, &candidate, task, now_ms);
    if (!node) {
        record_unplaced(&round->unplaced, task->occurrence->job,
                        nm_task_step(task));
        return false;
    }
    if (node == task->node ||
        now_ms - node->moved_to_ms < SLOWED_MOVE_INTERVAL_MS) {
        return false;
    }
    node->moved_to_ms = now_ms;
    task->avoided_node = task->node;
    nm_sched_stop_task(sched, task, now_ms);
    return true;
}

/*
 * Lets a filler that has been slowed for long run where all that waited have
 * left room for it.  One in a round, so that it is in the next one.
 */
static void
move_first_slowed(nm_sched_t *sched, nm_round_t *round, nm_ms_t now_ms)
{
    uint32_t searches = 0;
    guint count = sched->node_list->len;
    for (guint n = 0; n < count; n++) {
        nm_sched_node_t *node =
            sched->node_list->pdata[(sched->placement_number + n) % count];
        if (node->slowed_cpu_milli == 0 || !node->reachable) {
            continue;
        }
        for (guint i = 0; i < node->tasks->len; i++) {
            nm_task_t *task = node->tasks->pdata[i];
            if (!may_move(task, round, now_ms)) {
                continue;
            }
            if (move_slowed(sched, task, round, now_ms) ||
                ++searches >= SLOWED_SEARCHES_MAX)
            {
                return;
            }
        }
    }
}

void
nm_sched_place(nm_sched_t *sched, nm_ms_t now_ms)
{
    nm_round_t round = {
        .services = g_array_new(FALSE, FALSE, sizeof(nm_round_service_t))};
    nm_ms_t credited_ms = MAX(sched->placed_ms, sched->began_ms);
    add_idle_start_credit(sched, (double)(now_ms - credited_ms) /
                                     IDLE_START_INTERVAL_MS);
    sched->placed_ms = now_ms;
    round.held_nodes = nm_room_count_held(sched, NM_HOLD_IDLE, now_ms);
    round.starting_max = (uint32_t)sched->delay.starting_max;
    if (!nm_delay_is_behind(sched, now_ms)) {
        round.starting_max +=
            sched->awaiting_count + count_silent_starts(sched);
    }
    nm_sched_resume_slowed(sched, now_ms);
    GArray *candidates = nm_order_candidates(sched, &round, now_ms);
    sched->placement_number++;
    sched->idle_jobs = round.idle_jobs;
    sched->longest_idle = (nm_sched_idle_job_t){0};
    nm_lookahead_begin(sched, candidates, &round, now_ms);
    place_reserving(sched, &round, now_ms);
    for (guint i = 0;
         i < candidates->len && sched->starting_count < round.starting_max;
         i++)
    {
        const nm_candidate_t *candidate =
            &g_array_index(candidates, nm_candidate_t, i);
        if (candidate->occurrence->job == round.longest_idle &&
            sched->longest_idle.job[0] == '\0')
        {
            place_longest_idle(sched, candidate, &round, i, now_ms);
        }
        else {
            place_candidate(sched, candidate, &round, now_ms);
        }
    }
    sched->placement_cut = sched->starting_count >= round.starting_max;
    if (!sched->placement_cut) {
        move_first_slowed(sched, &round, now_ms);
    }
    sched->delay.starting_reached |= sched->placement_cut;
    sched->needs_placement = sched->needs_placement || sched->placement_cut;
    sched->cut_placements += sched->placement_cut;
    g_array_free(candidates, TRUE);
    g_array_free(round.services, TRUE);
}
