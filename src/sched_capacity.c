/*
 * Picture of the capacity: what the workers are used for, and why work waits.
 *
 * Load: a full fleet.  Whether its processors are busy, kept for serving
 * tasks, or free but forbidden to fillers decides what to change.
 */
#include "sched_round.h"

#include <assert.h>

/* Limit of steps whose workers are compared for one picture. */
#define EXAMINED_STEPS_MAX 64

/* One picture being taken. */
typedef struct {
    const nm_sched_t *sched;
    uint32_t examined_steps;
    nm_sched_capacity_t capacity;
} picture_t;

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

const char *
nm_interrupted_cause_name(nm_interrupted_cause_t cause)
{
    static const char *const names[] = {
#define X(name, label) label,
        NM_INTERRUPTED_CAUSE_LIST(X)
#undef X
    };
    return names[cause];
}

static void
add_node(const nm_sched_node_t *node, nm_ms_t now_ms,
         nm_sched_capacity_t *capacity)
{
    capacity->workers++;
    capacity->workers_held += now_ms < node->hold.until_ms;
    capacity->workers_reserved +=
        now_ms < node->hold.until_ms && node->hold.reason == NM_HOLD_AHEAD;
    capacity->cpu_milli += node->desc.cpu_milli;
    capacity->reserved_cpu_milli += node->cpu_used_milli;
    capacity->serving_cpu_milli += node->serving_cpu_milli;
    capacity->long_running_cpu_milli += node->long_running_cpu_milli;
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        capacity->serving_over_target += task->over_since_ms > 0;
        if (step->is_filler && task->wanted_percent == 0) {
            capacity->fillers_paused++;
        }
        else if (step->is_filler) {
            capacity->filler_cpu_milli +=
                step->cpu_milli * task->wanted_percent / 100;
            capacity->fillers_slowed += nm_task_is_slowed(task);
        }
    }
}

/* How many tasks of an interrupted step fit on its workers. */
typedef struct {
    uint32_t now;               /* beside all tasks but fillers */
    uint32_t not_held;          /* part of it: not on held workers */
    uint32_t after_short_tasks; /* once all short tasks have ended */
} fitting_t;

static fitting_t
count_fitting(const nm_sched_t *sched, const nm_candidate_t *candidate,
              nm_ms_t now_ms)
{
    const nm_sched_job_t *job = candidate->occurrence->job;
    const nm_step_t *step = &job->spec.steps[candidate->step];
    fitting_t fitting = {0};
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (!nm_choice_is_eligible(node, candidate, nm_job_service(job),
                                   now_ms)) {
            continue;
        }
        uint32_t count = nm_room_after_fillers(node, step);
        bool held = nm_choice_is_held_for_other(node, candidate, now_ms);
        fitting.now += count;
        fitting.not_held += held ? 0 : count;
        fitting.after_short_tasks += nm_room_by(node, step, NM_MS_NEVER);
    }
    return fitting;
}

static nm_interrupted_cause_t
find_cause(const fitting_t *fitting)
{
    return fitting->after_short_tasks == 0 ? NM_INTERRUPTED_NO_ROOM
           : fitting->now == 0             ? NM_INTERRUPTED_BUSY
           : fitting->not_held == 0        ? NM_INTERRUPTED_HELD
                                           : NM_INTERRUPTED_PENDING;
}

/* Adds the interrupted tasks of a step by cause. */
static void
add_causes(picture_t *picture, const nm_candidate_t *candidate, nm_ms_t now_ms)
{
    nm_sched_capacity_t *capacity = &picture->capacity;
    const nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_step_t *step = &occurrence->job->spec.steps[candidate->step];
    uint32_t count =
        nm_occurrence_count_interrupted(occurrence, candidate->step);
    capacity->interrupted_cpu_milli += count * step->cpu_milli;
    if (count == 0) {
        return;
    }
    if (picture->examined_steps >= EXAMINED_STEPS_MAX) {
        capacity->interrupted[NM_INTERRUPTED_UNKNOWN] += count;
        return;
    }
    picture->examined_steps++;
    fitting_t fitting = count_fitting(picture->sched, candidate, now_ms);
    nm_interrupted_cause_t cause = find_cause(&fitting);
    for (uint32_t i = 0; i < step->task_count; i++) {
        const nm_task_t *task = &occurrence->tasks[candidate->step][i];
        if (!nm_task_is_interrupted(task)) {
            continue;
        }
        bool suspect = nm_choice_waits_for_trial(picture->sched, candidate,
                                                 task, false, now_ms);
        capacity->interrupted[suspect ? NM_INTERRUPTED_SUSPECT : cause]++;
        capacity->interrupted_fit_twice += fitting.now >= 2;
    }
}

static void
add_interrupted(picture_t *picture, const nm_candidate_t *candidate,
                nm_ms_t now_ms)
{
    nm_sched_capacity_t *capacity = &picture->capacity;
    const nm_occurrence_t *occurrence = candidate->occurrence;
    uint32_t step = candidate->step;
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
    add_causes(picture, candidate, now_ms);
}

static void
add_waiting_job(picture_t *picture, const nm_sched_job_t *job, nm_ms_t now_ms)
{
    const nm_sched_t *sched = picture->sched;
    nm_sched_capacity_t *capacity = &picture->capacity;
    for (guint o = 0; o < job->occurrences->len; o++) {
        nm_occurrence_t *occurrence = job->occurrences->pdata[o];
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
                add_interrupted(
                    picture,
                    &(nm_candidate_t){.occurrence = occurrence, .step = s},
                    now_ms);
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
    picture_t picture = {.sched = sched};
    nm_sched_capacity_t *capacity = &picture.capacity;
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (nm_node_is_usable(node, now_ms)) {
            add_node(node, now_ms, capacity);
        }
    }
    for (guint i = 0; i < sched->active->len; i++) {
        const nm_sched_job_t *job = sched->active->pdata[i];
        if (job->state < NM_JOB_COMPLETED) {
            add_waiting_job(&picture, job, now_ms);
            capacity->jobs_behind += job->takes_share && !job->admitted;
            capacity->jobs_pending += job->state == NM_JOB_QUEUED;
        }
    }
    capacity->idle_jobs = sched->idle_jobs;
    capacity->longest_idle = sched->longest_idle;
    for (uint32_t r = 0; r < NM_FILLER_REFUSAL_COUNT; r++) {
        capacity->filler_refusals[r] = sched->filler_refusals[r];
    }
    return picture.capacity;
}
