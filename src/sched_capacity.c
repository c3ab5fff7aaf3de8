/*
 * Picture of the capacity: what the workers are used for, and why work waits.
 *
 * Load: a full fleet.  Whether its processors are busy, kept for serving
 * tasks, or free but forbidden to fillers decides what to change.
 */
#include "sched_state.h"

#include <assert.h>

const char *
nm_filler_refusal_name(nm_filler_refusal_t refusal)
{
    static const char *const names[] = {
#define X(name, label) label,
        NM_FILLER_REFUSAL_LIST(X)
#undef X
    };
    return names[refusal];
}

static void
add_node(const nm_sched_node_t *node, nm_ms_t now_ms,
         nm_sched_capacity_t *capacity)
{
    capacity->workers++;
    capacity->workers_held += now_ms < node->hold.until_ms;
    capacity->cpu_milli += node->desc.cpu_milli;
    capacity->reserved_cpu_milli += node->cpu_used_milli;
    capacity->serving_cpu_milli += node->serving_cpu_milli;
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        capacity->serving_over_target += task->over_since_ms > 0;
        if (step->is_filler && task->wanted_percent == 0) {
            capacity->fillers_paused++;
        }
        else if (step->is_filler) {
            capacity->filler_cpu_milli += step->cpu_milli;
        }
    }
}

static void
add_interrupted(const nm_occurrence_t *occurrence, uint32_t step,
                nm_ms_t now_ms, nm_sched_capacity_t *capacity)
{
    uint32_t count = occurrence->job->spec.steps[step].task_count;
    for (uint32_t i = 0; i < count; i++) {
        const nm_task_t *task = &occurrence->tasks[step][i];
        capacity->interrupted_waiting +=
            task->state == NM_RUN_WAITING && task->run > 0;
    }
    nm_ms_t since_ms = occurrence->interrupted_since_ms[step];
    if (since_ms > 0) {
        capacity->interrupted_wait_ms =
            MAX(capacity->interrupted_wait_ms, now_ms - since_ms);
    }
}

static void
add_waiting_job(const nm_sched_t *sched, const nm_sched_job_t *job,
                nm_ms_t now_ms, nm_sched_capacity_t *capacity)
{
    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        const nm_occurrence_t *occurrence = &job->occurrences[o];
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            const nm_step_t *step = &job->spec.steps[s];
            uint32_t waiting = occurrence->waiting[s];
            if (waiting == 0 || occurrence->due_unix_ms > sched->unix_ms ||
                !nm_occurrence_step_is_ready(occurrence, s))
            {
                continue;
            }
            if (step->is_filler) {
                capacity->fillers_waiting += waiting;
            }
            else if (step->long_running) {
                capacity->long_running_waiting += waiting;
                add_interrupted(occurrence, s, now_ms, capacity);
            }
            else {
                capacity->short_waiting += waiting;
            }
            capacity->oldest_waiting_ms =
                MAX(capacity->oldest_waiting_ms, now_ms - job->arrived_ms);
        }
    }
}

nm_sched_capacity_t
nm_sched_query_capacity(const nm_sched_t *sched, nm_ms_t now_ms)
{
    assert(sched);
    nm_sched_capacity_t capacity = {0};
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (nm_node_is_usable(node, now_ms)) {
            add_node(node, now_ms, &capacity);
        }
    }
    for (guint i = 0; i < sched->active->len; i++) {
        const nm_sched_job_t *job = sched->active->pdata[i];
        if (job->state < NM_JOB_COMPLETED) {
            add_waiting_job(sched, job, now_ms, &capacity);
            capacity.jobs_behind += job->takes_share && !job->admitted;
            capacity.jobs_pending += job->state == NM_JOB_QUEUED;
        }
    }
    capacity.idle_jobs = sched->idle_jobs;
    capacity.longest_idle = sched->longest_idle;
    for (uint32_t r = 0; r < NM_FILLER_REFUSAL_COUNT; r++) {
        capacity.filler_refusals[r] = sched->filler_refusals[r];
    }
    return capacity;
}
