/*
 * Why jobs are idle: what keeps each from having a task at work.
 *
 * Load: thousands of waiting jobs, of which a few wait for something else than
 * a worker.
 */
#include "sched_round.h"

#include <assert.h>
#include <string.h>

/* A task of an idle job, and why it is not at work. */
typedef struct {
    nm_candidate_t candidate;
    nm_task_t *task; /* NULL: none is in turn */
    nm_wait_cause_t cause;
} waiting_task_t;

const char *
nm_exclusion_name(nm_exclusion_t exclusion)
{
    static const char *const names[] = {
#define X(name, label) label,
        NM_EXCLUSION_LIST(X)
#undef X
    };
    return names[exclusion];
}

const char *
nm_wait_cause_name(nm_wait_cause_t cause)
{
    static const char *const names[] = {
#define X(name, label) label,
        NM_WAIT_CAUSE_LIST(X)
#undef X
    };
    return names[cause];
}

/* The cause without regard to workers. */
static nm_wait_cause_t
find_cause(const nm_sched_t *sched, const nm_task_t *task, nm_ms_t now_ms)
{
    if (!nm_task_must_wait(sched, task, now_ms)) {
        return NM_WAIT_PLACEMENT;
    }
    if (task->orphans > 0) {
        return NM_WAIT_RUN_ELSEWHERE;
    }
    if (!nm_crashes_must_wait(sched, task, now_ms)) {
        return NM_WAIT_OPEN_START;
    }
    return nm_crashes_waits_for_workers(sched, task, now_ms)
               ? NM_WAIT_SILENT_WORKERS
               : NM_WAIT_INTENT;
}

/* Prefers a task that waits for nothing but a worker. */
static void
examine_step(const nm_sched_t *sched, nm_occurrence_t *occurrence,
             uint32_t step, waiting_task_t *waiting, nm_ms_t now_ms)
{
    uint32_t count = occurrence->job->spec.steps[step].task_count;
    for (uint32_t i = 0; i < count; i++) {
        nm_task_t *task = &occurrence->tasks[step][i];
        if (waiting->task && waiting->cause == NM_WAIT_PLACEMENT) {
            return;
        }
        if (task->state != NM_RUN_WAITING) {
            continue;
        }
        nm_wait_cause_t cause = find_cause(sched, task, now_ms);
        if (!waiting->task || cause == NM_WAIT_PLACEMENT) {
            const nm_step_t *desc = nm_task_step(task);
            *waiting =
                (waiting_task_t){.candidate = {.occurrence = occurrence,
                                               .step = step,
                                               .order_class = NM_CLASS_IDLE,
                                               .slowed = desc->is_filler &&
                                                         !desc->long_running},
                                 .task = task,
                                 .cause = cause};
        }
    }
}

static waiting_task_t
find_waiting_task(const nm_sched_t *sched, const nm_sched_job_t *job,
                  nm_ms_t now_ms)
{
    waiting_task_t waiting = {0};
    for (guint o = 0; o < job->occurrences->len; o++) {
        nm_occurrence_t *occurrence = job->occurrences->pdata[o];
        bool due =
            !occurrence->finished && occurrence->due_unix_ms <= sched->unix_ms;
        for (uint32_t s = 0; due && s < job->spec.step_count; s++) {
            if (occurrence->waiting[s] > 0 &&
                nm_occurrence_step_is_ready(occurrence, s)) {
                examine_step(sched, occurrence, s, &waiting, now_ms);
            }
        }
    }
    return waiting;
}

static void
describe_task(const nm_task_t *task, nm_ms_t now_ms, nm_sched_wait_t *wait)
{
    nm_sched_task_name(task, wait->task, sizeof(wait->task));
    wait->crashes = task->crashes;
    wait->silences = task->silence_count;
    wait->silent_ms = 0;
    for (uint32_t i = 0; i < task->silence_count; i++) {
        wait->silent_ms =
            MAX(wait->silent_ms, now_ms - task->silences[i].since_ms);
    }
    wait->open_start_ms = MAX(task->open_until_ms - now_ms, 0);
}

static void
count_workers(nm_sched_t *sched, const waiting_task_t *waiting, nm_ms_t now_ms,
              nm_sched_wait_t *wait)
{
    for (guint i = 0; i < sched->node_list->len; i++) {
        double score;
        wait->workers[nm_choice_score_node(
            sched, &waiting->candidate, waiting->task,
            sched->node_list->pdata[i], now_ms, &score)]++;
    }
}

void
nm_sched_query_waits(nm_sched_t *sched, nm_ms_t idle_min_ms, nm_ms_t now_ms,
                     nm_sched_wait_t waits[NM_WAIT_CAUSE_COUNT])
{
    assert(sched && waits);
    memset(waits, 0, NM_WAIT_CAUSE_COUNT * sizeof(*waits));
    waiting_task_t for_placement = {0};
    for (guint i = 0; i < sched->active->len; i++) {
        const nm_sched_job_t *job = sched->active->pdata[i];
        nm_ms_t idle_ms = now_ms - job->idle_since_ms;
        if (job->state >= NM_JOB_COMPLETED || job->working_count > 0 ||
            job->idle_since_ms == 0 || idle_ms < idle_min_ms)
        {
            continue;
        }
        waiting_task_t waiting = find_waiting_task(sched, job, now_ms);
        nm_sched_wait_t *wait = &waits[waiting.cause];
        if (!waiting.task) {
            continue;
        }
        wait->jobs++;
        if (wait->task[0] != '\0' && idle_ms <= wait->idle_ms) {
            continue;
        }
        wait->idle_ms = idle_ms;
        describe_task(waiting.task, now_ms, wait);
        if (waiting.cause == NM_WAIT_PLACEMENT) {
            for_placement = waiting;
        }
    }
    if (for_placement.task) {
        count_workers(sched, &for_placement, now_ms,
                      &waits[NM_WAIT_PLACEMENT]);
    }
}
