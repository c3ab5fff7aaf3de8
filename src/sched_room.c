/*
 * Room for a step that fits nowhere now: what a worker will have free once its
 * fillers are stopped, or its short tasks have ended, and the hold that keeps
 * it for the step until then.
 *
 * Load: smaller tasks, which would refill each gap.
 */
#include "sched_round.h"

/* How long a worker is held for a step; each round that needs it renews it. */
#define HOLD_MS 500
/* The same where fillers are evicted: a stop and its report take longest. */
#define EVICTION_HOLD_MS 1000

typedef struct {
    double cpu_milli;
    int64_t memory_mb;
    int32_t accelerators;
} room_t;

/* Number of a step's tasks that fit; a worker may run them at most. */
static uint32_t
count_tasks(const room_t *room, const nm_step_t *step)
{
    if (room->cpu_milli < 0 || room->memory_mb < 0 || room->accelerators < 0) {
        return 0;
    }
    int64_t count =
        step->per_worker_max > 0 ? step->per_worker_max : step->task_count;
    if (step->cpu_milli > 0) {
        count =
            MIN(count, (int64_t)(room->cpu_milli / (double)step->cpu_milli));
    }
    if (step->memory_mb > 0) {
        count = MIN(count, room->memory_mb / step->memory_mb);
    }
    if (step->accelerators > 0) {
        count = MIN(count, room->accelerators / step->accelerators);
    }
    return (uint32_t)count;
}

/* True if a task has ended by a time, if it takes as long as expected. */
static bool
ends_by(const nm_task_t *task, nm_ms_t end_ms)
{
    return task->state == NM_RUN_STOPPING ||
           (!nm_task_step(task)->long_running &&
            nm_estimate_ends_by(task, end_ms));
}

uint32_t
nm_room_by(const nm_sched_node_t *node, const nm_step_t *step, nm_ms_t end_ms)
{
    room_t room = {(double)node->desc.cpu_milli, node->desc.memory_mb,
                   node->desc.accelerators};
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *other = nm_task_step(task);
        if (!ends_by(task, end_ms)) {
            room.cpu_milli -= (double)other->cpu_milli;
            room.memory_mb -= other->memory_mb;
            room.accelerators -= other->accelerators;
        }
    }
    if (step->is_filler) {
        room.cpu_milli = nm_sched_filler_cpu_milli(node);
    }
    return count_tasks(&room, step);
}

uint32_t
nm_room_after_fillers(const nm_sched_node_t *node, const nm_step_t *step)
{
    room_t room = {(double)(node->desc.cpu_milli - node->cpu_used_milli),
                   node->desc.memory_mb - node->memory_used_mb,
                   node->desc.accelerators - node->accelerators_used};
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_step(task)->is_filler &&
            (task->state == NM_RUN_RUNNING || task->state == NM_RUN_STOPPING))
        {
            room.memory_mb += nm_task_step(task)->memory_mb;
        }
    }
    if (step->is_filler) {
        room.cpu_milli = nm_sched_filler_cpu_milli(node);
    }
    return count_tasks(&room, step);
}

double
nm_room_free_share(const nm_sched_node_t *node, const nm_step_t *step,
                   nm_ms_t end_ms)
{
    if (nm_room_by(node, step, end_ms) == 0) {
        return -1;
    }
    double free_cpu_milli =
        step->is_filler
            ? nm_sched_filler_unused_cpu_milli(node)
            : (double)(node->desc.cpu_milli - node->cpu_used_milli);
    double free_memory_mb =
        (double)(node->desc.memory_mb - node->memory_used_mb);
    double share = MIN(free_cpu_milli / (double)MAX(step->cpu_milli, 1),
                       free_memory_mb / (double)MAX(step->memory_mb, 1));
    return MAX(share, 0);
}

/* The predicted cost is that beside the fillers that it has now. */
static bool
disturbs(nm_sched_t *sched, const nm_candidate_t *candidate,
         nm_sched_node_t *node, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    if (!step->is_filler || node->serving_count == 0) {
        return false;
    }
    double cost = nm_sched_filler_cost(sched, node, step->cpu_milli,
                                       job->images[candidate->step], now_ms);
    return !node->has_headroom || !nm_sched_filler_cost_is_acceptable(cost);
}

bool
nm_room_may_hold(nm_sched_t *sched, const nm_candidate_t *candidate,
                 nm_sched_node_t *node, nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    bool taken = candidate->order_class != NM_CLASS_OVERDUE &&
                 nm_choice_is_held_for_other(node, candidate, now_ms);
    return !taken &&
           nm_choice_is_eligible(node, candidate, nm_job_service(job),
                                 now_ms) &&
           !disturbs(sched, candidate, node, now_ms);
}

void
nm_room_hold(nm_sched_node_t *node, const nm_candidate_t *candidate,
             nm_hold_reason_t reason, nm_ms_t now_ms)
{
    nm_sched_job_t *job = candidate->occurrence->job;
    bool evicts = reason == NM_HOLD_EVICTION;
    node->hold = (nm_hold_t){
        .occurrence = candidate->occurrence,
        .step = candidate->step,
        .until_ms = now_ms + (evicts ? EVICTION_HOLD_MS : HOLD_MS),
        .reason = reason,
        .job = job,
    };
    if (evicts) {
        job->evicting_until_ms = node->hold.until_ms;
    }
    else {
        job->held_until_ms = node->hold.until_ms;
    }
}

uint32_t
nm_room_count_held(const nm_sched_t *sched, nm_hold_reason_t reason,
                   nm_ms_t now_ms)
{
    uint32_t count = 0;
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        count += now_ms < node->hold.until_ms && node->hold.reason == reason;
    }
    return count;
}

bool
nm_room_evict_fillers(nm_sched_t *sched, const nm_candidate_t *candidate,
                      nm_sched_node_t *node, uint32_t count, nm_ms_t now_ms)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    if (nm_room_after_fillers(node, step) < count) {
        return false;
    }
    int64_t needed_mb = (int64_t)count * step->memory_mb;
    int64_t free_mb = node->desc.memory_mb - node->memory_used_mb;
    for (guint i = 0; i < node->tasks->len && free_mb < needed_mb; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (!nm_task_step(task)->is_filler ||
            (task->state != NM_RUN_RUNNING && task->state != NM_RUN_STOPPING))
        {
            continue;
        }
        free_mb += nm_task_step(task)->memory_mb;
        if (task->state == NM_RUN_RUNNING) {
            nm_count_reason(NM_REASON_EVICT_URGENT);
            nm_sched_stop_task(sched, task, now_ms);
        }
    }
    nm_room_hold(node, candidate, NM_HOLD_EVICTION, now_ms);
    node->reserved_placement = sched->placement_number;
    return true;
}
