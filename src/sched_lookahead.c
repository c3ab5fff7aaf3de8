/*
 * Placement that looks ahead: workers reserved for steps that fit nowhere now,
 * and the smaller tasks that may start on them until then.
 *
 * Load: tasks of mixed sizes on a fleet that is nearly full.  Smaller tasks
 * refill each gap, so that a task of two thirds of a worker, or a gang, waits
 * until its job counts as idle for long.  Estimates may be wrong by 0.9 of the
 * value, and some runs take seven times as long: a reservation that does not
 * begin in time is given up.
 *
 * A reservation is a hold with reason NM_HOLD_AHEAD; docs/design/lookahead.md
 * describes the rule.
 */
#include "sched_round.h"

#include <assert.h>
#include <math.h>

/* Share of the workers that are reserved at a time. */
#define RESERVED_SHARE 0.03
/* Share of the workers that one gang may reserve; others get none meanwhile.
 */
#define GANG_RESERVED_SHARE 0.15
/* Limit of steps that look for workers in one round. */
#define STEPS_MAX 8
/* A step qualifies if it needs this multiple of the smallest one. */
#define LARGE_FACTOR 2
/* How long the smallest step counts after it last waited. */
#define SMALL_MEMORY_MS 2000
/*
 * Jobs are pressed once they have waited for this part of the time that they
 * can wait and still meet their objective; nothing is reserved meanwhile.
 */
#define PRESSED_SHARE 0.4
/* A worker is reserved if the step fits there within this time. */
#define HORIZON_MS 3000
/* How long a reservation lasts without renewal. */
#define RESERVATION_MS 500
/* A step looks for further workers this often. */
#define SEARCH_INTERVAL_MS 100
/* Limit of workers that are compared in one search. */
#define SEARCHED_NODES_MAX 1000
/*
 * A reservation is given up this long after it should have begun, and that
 * part of its length.
 */
#define MARGIN_MS 300
#define MARGIN_SHARE 0.5
/* How long a worker is not reserved after that. */
#define MISSED_AVOID_MS 1000
/* A task that has outlived its estimate takes this part of its age longer. */
#define OVERRUN_SHARE 0.5
#define OVERRUN_MIN_MS 50
/* From a stop to the report of its end. */
#define STOP_MS 200
/* Limit of tasks on a worker whose ends are compared. */
#define ENDS_MAX 64
/*
 * Milliseconds of a whole free worker that outweigh one millisecond of delay:
 * of workers that are ready at about the same time, the emptier one is taken.
 */
#define FREE_WEIGHT 0.5

/* What is left of a worker; memory and accelerators may be overcommitted. */
typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
    int64_t accelerators;
} room_t;

typedef struct {
    nm_ms_t end_ms;
    room_t room; /* that becomes free then */
} task_end_t;

/* A place for one task of a step. */
typedef struct {
    nm_sched_node_t *node;
    nm_ms_t begin_ms;
    double rank_ms; /* lower is better */
} slot_t;

static room_t
task_room(const nm_task_t *task)
{
    const nm_step_t *step = nm_task_step(task);
    return (room_t){step->is_filler ? 0 : step->cpu_milli, step->memory_mb,
                    step->accelerators};
}

static void
add_room(room_t *room, const room_t *other, int64_t sign)
{
    room->cpu_milli += sign * other->cpu_milli;
    room->memory_mb += sign * other->memory_mb;
    room->accelerators += sign * other->accelerators;
}

static bool
has_room(const room_t *room, const nm_step_t *step, int64_t count)
{
    int64_t cpu_milli = step->is_filler ? 0 : step->cpu_milli;
    return room->cpu_milli >= count * cpu_milli &&
           room->memory_mb >= count * step->memory_mb &&
           room->accelerators >= count * step->accelerators;
}

/* When a task is expected to end; NM_MS_NEVER for long-running ones. */
static nm_ms_t
expected_end_ms(const nm_task_t *task, nm_ms_t now_ms)
{
    const nm_step_t *step = nm_task_step(task);
    nm_ms_t begin_ms = task->started_ms > 0 ? task->started_ms : task->sent_ms;
    if (task->state == NM_RUN_STOPPING) {
        return now_ms + STOP_MS;
    }
    if (step->long_running) {
        return NM_MS_NEVER;
    }
    nm_ms_t age_ms = now_ms - begin_ms;
    if (age_ms < step->estimate_ms) {
        return begin_ms + step->estimate_ms;
    }
    nm_ms_t longer_ms = (nm_ms_t)(OVERRUN_SHARE * (double)age_ms);
    return now_ms + MAX(longer_ms, OVERRUN_MIN_MS);
}

/* Lists the ends of a worker's tasks in order; returns their number. */
static uint32_t
list_ends(const nm_sched_node_t *node, task_end_t *ends, nm_ms_t now_ms)
{
    uint32_t count = 0;
    for (guint i = 0; i < node->tasks->len && count < ENDS_MAX; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        task_end_t end = {expected_end_ms(task, now_ms), task_room(task)};
        uint32_t position = count++;
        while (position > 0 && ends[position - 1].end_ms > end.end_ms) {
            ends[position] = ends[position - 1];
            position--;
        }
        ends[position] = end;
    }
    return count;
}

static room_t
room_now(const nm_sched_node_t *node)
{
    return (room_t){node->desc.cpu_milli - node->cpu_used_milli,
                    node->desc.memory_mb - node->memory_used_mb,
                    node->desc.accelerators - node->accelerators_used};
}

static double
rank_ms(const nm_sched_node_t *node, nm_ms_t begin_ms, nm_ms_t now_ms)
{
    double free_share = (double)room_now(node).cpu_milli /
                        (double)MAX(node->desc.cpu_milli, 1);
    return (double)begin_ms -
           FREE_WEIGHT * free_share * (double)(begin_ms - now_ms);
}

/*
 * Adds the places of a step on a worker that become free within the horizon,
 * slots_max at most.  A place that is free now is none: the worker refuses the
 * step for another reason.
 */
static void
add_slots(GArray *slots, nm_sched_node_t *node, const nm_step_t *step,
          uint32_t slots_max, nm_ms_t now_ms)
{
    room_t room = room_now(node);
    if (has_room(&room, step, 1) &&
        !(step->is_gang && step->per_worker_max == 0)) {
        return;
    }
    task_end_t ends[ENDS_MAX];
    uint32_t count = list_ends(node, ends, now_ms);
    uint32_t added = 0;
    nm_ms_t begin_ms = now_ms;
    for (uint32_t i = 0; added < slots_max; i++) {
        while (added < slots_max && has_room(&room, step, added + 1)) {
            slot_t slot = {node, begin_ms, rank_ms(node, begin_ms, now_ms)};
            g_array_append_val(slots, slot);
            added++;
        }
        if (i >= count || ends[i].end_ms > now_ms + HORIZON_MS) {
            return;
        }
        add_room(&room, &ends[i].room, 1);
        begin_ms = ends[i].end_ms;
    }
}

/* False for a worker on which only long-running tasks leave no room. */
static bool
may_ever_fit(const nm_sched_node_t *node, const nm_step_t *step)
{
    return node->long_running_cpu_milli + step->cpu_milli <=
               node->desc.cpu_milli &&
           step->memory_mb <= node->desc.memory_mb &&
           step->accelerators <= node->desc.accelerators;
}

static bool
may_reserve(const nm_sched_t *sched, const nm_sched_node_t *node,
            const nm_candidate_t *candidate, const nm_task_t *task,
            nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    return now_ms >= node->hold.until_ms &&
           now_ms >= node->ahead_avoid_until_ms &&
           now_ms >= node->cold_until_ms &&
           node->reserved_placement != sched->placement_number &&
           may_ever_fit(node, step) &&
           nm_choice_is_eligible(node, candidate, nm_job_service(job),
                                 now_ms) &&
           !nm_crashes_conflict(node, task);
}

static int
compare_slots(gconstpointer a, gconstpointer b)
{
    const slot_t *left = a;
    const slot_t *right = b;
    return (left->rank_ms > right->rank_ms) - (left->rank_ms < right->rank_ms);
}

/* Returns places for a step, the first ones first, as an array of slot_t. */
static GArray *
find_slots(nm_sched_t *sched, const nm_candidate_t *candidate,
           const nm_task_t *task, nm_ms_t now_ms)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    uint32_t slots_max = !step->is_gang             ? 1
                         : step->per_worker_max > 0 ? step->per_worker_max
                                                    : step->task_count;
    GArray *slots = g_array_new(FALSE, FALSE, sizeof(slot_t));
    guint count = sched->node_list->len;
    guint visits = MIN(count, SEARCHED_NODES_MAX);
    for (guint i = 0; i < visits; i++) {
        nm_sched_node_t *node =
            sched->node_list->pdata[(sched->ahead_position + i) % count];
        if (may_reserve(sched, node, candidate, task, now_ms)) {
            add_slots(slots, node, step, slots_max, now_ms);
        }
    }
    sched->ahead_position =
        count > visits ? (sched->ahead_position + visits) % count : 0;
    g_array_sort(slots, compare_slots);
    return slots;
}

static void
reserve(nm_sched_t *sched, const nm_candidate_t *candidate,
        nm_sched_node_t *node, nm_ms_t begin_ms, nm_ms_t now_ms)
{
    nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    nm_hold_t *hold = &node->hold;
    bool again = now_ms < hold->until_ms && hold->begin_ms >= begin_ms;
    uint32_t tasks = now_ms < hold->until_ms ? hold->tasks + 1 : 1;
    nm_ms_t margin_ms =
        MARGIN_MS + (nm_ms_t)(MARGIN_SHARE * (double)(begin_ms - now_ms));
    *hold = (nm_hold_t){
        .occurrence = candidate->occurrence,
        .step = candidate->step,
        .until_ms = now_ms + RESERVATION_MS,
        .reason = NM_HOLD_AHEAD,
        .job = job,
        .begin_ms = again ? hold->begin_ms : begin_ms,
        .due_ms = begin_ms + margin_ms,
        .tasks = tasks,
        .cpu_milli = tasks * step->cpu_milli,
        .memory_mb = tasks * step->memory_mb,
        .accelerators = (int64_t)tasks * step->accelerators,
    };
    job->ahead_until_ms = hold->until_ms;
    sched->ahead_until_ms = hold->until_ms;
}

/* Reserves for all members of a gang or for none. */
static void
reserve_gang(nm_sched_t *sched, const nm_candidate_t *candidate,
             const GArray *slots, nm_round_t *round, nm_ms_t now_ms)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    guint nodes_max = (guint)ceil(GANG_RESERVED_SHARE * sched->node_list->len);
    if (round->ahead_gang || slots->len < step->task_count) {
        return;
    }
    GHashTable *nodes = g_hash_table_new(NULL, NULL);
    nm_ms_t begin_ms = now_ms;
    for (guint i = 0; i < step->task_count; i++) {
        const slot_t *slot = &g_array_index(slots, slot_t, i);
        g_hash_table_add(nodes, slot->node);
        begin_ms = MAX(begin_ms, slot->begin_ms);
    }
    if (g_hash_table_size(nodes) <= nodes_max) {
        for (guint i = 0; i < step->task_count; i++) {
            reserve(sched, candidate, g_array_index(slots, slot_t, i).node,
                    begin_ms, now_ms);
        }
        round->ahead_gang = true;
        nm_count_reason(NM_REASON_RESERVED_AHEAD);
    }
    g_hash_table_destroy(nodes);
}

/* Returns the smallest request of a service's short steps, lately. */
static nm_small_step_t *
find_small(nm_sched_t *sched, const char *service)
{
    for (guint i = 0; i < sched->small_steps->len; i++) {
        nm_small_step_t *small =
            &g_array_index(sched->small_steps, nm_small_step_t, i);
        if (small->service == service) {
            return small;
        }
    }
    return NULL;
}

static bool
is_short(const nm_step_t *step)
{
    return !step->long_running && !step->is_filler;
}

/* True if smaller tasks would take the gaps that a step waits for. */
static bool
is_large(nm_sched_t *sched, const nm_candidate_t *candidate)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    const nm_small_step_t *small = find_small(sched, nm_job_service(job));
    int64_t tasks = step->is_gang ? step->task_count : 1;
    return small && (tasks * step->cpu_milli >=
                         LARGE_FACTOR * MAX(small->cpu_milli, 1) ||
                     tasks * step->memory_mb >=
                         LARGE_FACTOR * MAX(small->memory_mb, 1));
}

static void
update_small(nm_sched_t *sched, const nm_candidate_t *candidate,
             nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    if (!is_short(step)) {
        return;
    }
    nm_small_step_t *small = find_small(sched, nm_job_service(job));
    if (!small) {
        nm_small_step_t entry = {.service = nm_job_service(job)};
        g_array_append_val(sched->small_steps, entry);
        small = find_small(sched, nm_job_service(job));
    }
    if (step->cpu_milli <= small->cpu_milli || now_ms >= small->cpu_until_ms) {
        small->cpu_milli = step->cpu_milli;
        small->cpu_until_ms = now_ms + SMALL_MEMORY_MS;
    }
    if (step->memory_mb <= small->memory_mb ||
        now_ms >= small->memory_until_ms) {
        small->memory_mb = step->memory_mb;
        small->memory_until_ms = now_ms + SMALL_MEMORY_MS;
    }
    nm_ms_t slack_ms = MAX(job->objective_ms - job->critical_path_ms, 0);
    nm_ms_t wait_ms = now_ms - job->arrived_ms;
    if (job->attached_count == 0 && job->idle_since_ms > 0 &&
        wait_ms <= slack_ms &&
        (double)wait_ms > PRESSED_SHARE * (double)slack_ms &&
        !is_large(sched, candidate))
    {
        small->pressed_ms = now_ms;
    }
}

static bool
is_pressed(nm_sched_t *sched, const nm_sched_job_t *job, nm_ms_t now_ms)
{
    const nm_small_step_t *small = find_small(sched, nm_job_service(job));
    return small && small->pressed_ms == now_ms;
}

/* True if a job can no longer meet its objective. */
static bool
is_too_late(const nm_sched_job_t *job, nm_ms_t now_ms)
{
    return now_ms - job->arrived_ms + job->critical_path_ms >
           job->objective_ms;
}

/* Returns the first waiting task, or NULL if it is a suspect. */
static const nm_task_t *
first_waiting(const nm_candidate_t *candidate)
{
    const nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_task_t *task = occurrence->tasks[candidate->step];
    while (task->state != NM_RUN_WAITING) {
        task++;
    }
    return task->crashes > 0 || task->silence_count > 0 ? NULL : task;
}

void
nm_lookahead_reserve(nm_sched_t *sched, const nm_candidate_t *candidate,
                     nm_round_t *round, nm_ms_t now_ms)
{
    nm_occurrence_t *occurrence = candidate->occurrence;
    nm_sched_job_t *job = occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    guint nodes_max = (guint)ceil(RESERVED_SHARE * sched->node_list->len);
    if (!sched->looks_ahead || candidate->order_class != NM_CLASS_ORDINARY ||
        !is_short(step) || round->ahead_steps >= STEPS_MAX ||
        round->ahead_nodes >= nodes_max || !is_large(sched, candidate) ||
        is_too_late(job, now_ms) || is_pressed(sched, job, now_ms))
    {
        return;
    }
    round->ahead_steps++;
    const nm_task_t *task = first_waiting(candidate);
    uint32_t waiting = occurrence->waiting[candidate->step];
    uint32_t reserved = nm_lookahead_count(round, candidate);
    if (!task || reserved >= waiting ||
        now_ms - job->ahead_searched_ms < SEARCH_INTERVAL_MS)
    {
        return;
    }
    job->ahead_searched_ms = now_ms;
    GArray *slots = find_slots(sched, candidate, task, now_ms);
    if (step->is_gang) {
        reserve_gang(sched, candidate, slots, round, now_ms);
    }
    else {
        guint count = MIN(slots->len, MIN(waiting - reserved,
                                          nodes_max - round->ahead_nodes));
        for (guint i = 0; i < count; i++) {
            const slot_t *slot = &g_array_index(slots, slot_t, i);
            reserve(sched, candidate, slot->node, slot->begin_ms, now_ms);
            nm_count_reason(NM_REASON_RESERVED_AHEAD);
        }
        round->ahead_nodes += count;
    }
    g_array_free(slots, TRUE);
}

bool
nm_lookahead_admits(const nm_sched_node_t *node,
                    const nm_candidate_t *candidate, nm_ms_t now_ms)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    const nm_hold_t *hold = &node->hold;
    if (!step->long_running && now_ms + step->estimate_ms <= hold->begin_ms) {
        return true;
    }
    room_t room = room_now(node);
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (expected_end_ms(task, now_ms) <= hold->begin_ms) {
            room_t freed = task_room(task);
            add_room(&room, &freed, 1);
        }
    }
    if (step->is_filler) {
        return room.memory_mb >= step->memory_mb + hold->memory_mb;
    }
    return room.cpu_milli >= step->cpu_milli + hold->cpu_milli &&
           room.memory_mb >= step->memory_mb + hold->memory_mb &&
           room.accelerators >= step->accelerators + hold->accelerators;
}

uint32_t
nm_lookahead_count(const nm_round_t *round, const nm_candidate_t *candidate)
{
    for (uint32_t i = 0; i < round->ahead_count; i++) {
        const nm_ahead_t *entry = &round->ahead[i];
        if (entry->candidate.occurrence == candidate->occurrence &&
            entry->candidate.step == candidate->step)
        {
            return entry->tasks;
        }
    }
    return 0;
}

/* Lists the steps that wait and have reservations. */
static void
list_reserving(nm_sched_t *sched, const GArray *candidates, nm_round_t *round,
               nm_ms_t now_ms)
{
    for (guint i = 0; i < candidates->len; i++) {
        const nm_candidate_t *candidate =
            &g_array_index(candidates, nm_candidate_t, i);
        update_small(sched, candidate, now_ms);
        const nm_sched_job_t *job = candidate->occurrence->job;
        if (now_ms < job->ahead_until_ms &&
            candidate->order_class == NM_CLASS_ORDINARY &&
            round->ahead_count < NM_ROUND_AHEAD_MAX)
        {
            round->ahead[round->ahead_count++] =
                (nm_ahead_t){.candidate = *candidate};
        }
    }
}

/* Returns the step that a worker is reserved for, if it waits; else NULL. */
static nm_ahead_t *
find_reserving(nm_round_t *round, const nm_hold_t *hold)
{
    for (uint32_t i = 0; i < round->ahead_count; i++) {
        nm_ahead_t *entry = &round->ahead[i];
        if (entry->candidate.occurrence == hold->occurrence &&
            entry->candidate.step == hold->step)
        {
            return entry;
        }
    }
    return NULL;
}

/* Renews a reservation, or ends it: it is of no use, or was not met. */
static void
check_reservation(nm_sched_t *sched, nm_sched_node_t *node, nm_round_t *round,
                  nm_ms_t now_ms)
{
    nm_ahead_t *entry = find_reserving(round, &node->hold);
    bool missed = now_ms >= node->hold.due_ms;
    if (!entry || missed || !nm_node_is_usable(node, now_ms) ||
        entry->tasks >=
            entry->candidate.occurrence->waiting[entry->candidate.step] ||
        is_pressed(sched, entry->candidate.occurrence->job, now_ms) ||
        is_too_late(entry->candidate.occurrence->job, now_ms))
    {
        if (entry && missed) {
            node->ahead_avoid_until_ms = now_ms + MISSED_AVOID_MS;
            nm_count_reason(NM_REASON_RESERVATION_MISSED);
        }
        node->hold = (nm_hold_t){0};
        return;
    }
    nm_sched_job_t *job = entry->candidate.occurrence->job;
    node->hold.until_ms = now_ms + RESERVATION_MS;
    job->ahead_until_ms = node->hold.until_ms;
    sched->ahead_until_ms = node->hold.until_ms;
    entry->tasks += node->hold.tasks;
    if (job->spec.steps[entry->candidate.step].is_gang) {
        round->ahead_gang = true;
    }
    else {
        round->ahead_nodes++;
    }
}

void
nm_lookahead_begin(nm_sched_t *sched, const GArray *candidates,
                   nm_round_t *round, nm_ms_t now_ms)
{
    if (!sched->looks_ahead) {
        return;
    }
    list_reserving(sched, candidates, round, now_ms);
    if (now_ms >= sched->ahead_until_ms) {
        return;
    }
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->hold.reason == NM_HOLD_AHEAD && node->hold.until_ms > 0) {
            check_reservation(sched, node, round, now_ms);
        }
    }
}

void
nm_sched_set_lookahead(nm_sched_t *sched, bool looks_ahead)
{
    assert(sched);
    sched->looks_ahead = looks_ahead;
}
