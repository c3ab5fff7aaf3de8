/*
 * Expected durations: how long the tasks of a job take by the learned model
 * and by those that have ended, when a run will end, and the objective of a
 * job by the longest chain of work that is known now.
 *
 * Load: estimates that are wrong by up to 0.9 of the value, and stragglers,
 * tasks that take several times as long as the rest of their step.  A job is
 * judged by the true longest chain of its tasks; one that waits for a
 * straggler is not late for that alone, so that its remaining steps must not
 * be put behind those of other jobs.
 */
#include <stdlib.h>
#include <string.h>

#include "sched_state.h"

/*
 * A run that takes this multiple of the known duration is a straggler, or its
 * estimate was wrong.  Durations seen by the owner vary by some tenths, as the
 * report of an end waits up to NM_SCHED_POLL_COALESCE_MS.
 */
#define OVERRUN_FACTOR 1.5
/* Such a run is expected to take this multiple of what it has taken so far. */
#define OVERRUN_TOTAL_FACTOR 2
/* Time after which the estimates of a job with runs are updated. */
#define UPDATE_INTERVAL_MS 100

static nm_duration_key_t
make_key(const nm_sched_job_t *job, uint32_t step)
{
    return (nm_duration_key_t){job->spec.queue, step,
                               job->spec.steps[step].image};
}

/* True if the estimates of a job are updated: it runs once, to an end. */
static bool
is_tracked(const nm_sched_job_t *job)
{
    return job->durations && !job->long_running && job->occurrence_count == 1;
}

void
nm_estimate_set_objective(nm_sched_job_t *job)
{
    double factor = job->queue ? job->queue->desc.slack_factor : 1.0;
    nm_ms_t fixed = job->queue ? job->queue->desc.objective_ms : 0;
    job->objective_ms =
        (nm_ms_t)(factor * (double)job->critical_path_ms) + fixed;
}

/* Longest sum along a chain of dependent steps; lengths by step. */
static nm_ms_t
longest_chain_ms(const nm_job_spec_t *spec, const nm_ms_t *lengths_ms)
{
    nm_ms_t sums_ms[NM_JOB_STEPS_MAX];
    nm_ms_t longest_ms = 0;
    for (uint32_t s = 0; s < spec->step_count; s++) {
        const nm_step_t *step = &spec->steps[s];
        nm_ms_t before_ms = 0;
        for (uint32_t i = 0; i < step->after_count; i++) {
            before_ms = MAX(before_ms, sums_ms[step->after[i]]);
        }
        sums_ms[s] = before_ms + lengths_ms[s];
        longest_ms = MAX(longest_ms, sums_ms[s]);
    }
    return longest_ms;
}

void
nm_estimate_init_job(const nm_sched_t *sched, nm_sched_job_t *job)
{
    nm_ms_t lengths_ms[NM_JOB_STEPS_MAX];
    job->durations = g_new0(nm_step_duration_t, job->spec.step_count);
    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        const nm_step_t *step = &job->spec.steps[s];
        nm_duration_key_t key = make_key(job, s);
        nm_ms_t expected_ms =
            step->long_running ? step->estimate_ms
                               : nm_durations_predict(&sched->durations, &key,
                                                      step->estimate_ms);
        job->durations[s].expected_ms = expected_ms;
        job->durations[s].known_ms = expected_ms;
        lengths_ms[s] = expected_ms;
    }
    job->critical_path_ms = longest_chain_ms(&job->spec, lengths_ms);
    job->path_left_ms = job->critical_path_ms;
    nm_estimate_set_objective(job);
}

static bool
is_overrun(const nm_step_duration_t *duration, nm_ms_t elapsed_ms)
{
    return (double)elapsed_ms > OVERRUN_FACTOR * (double)duration->known_ms;
}

/* Expected duration of a run from its start to its end. */
static nm_ms_t
run_total_ms(const nm_step_duration_t *duration, nm_ms_t elapsed_ms)
{
    return is_overrun(duration, elapsed_ms) ? OVERRUN_TOTAL_FACTOR * elapsed_ms
                                            : duration->known_ms;
}

static bool
is_at_work(const nm_task_t *task)
{
    return task->state == NM_RUN_RUNNING && task->begun_ms > 0;
}

/*
 * Sets the length of a step by what its tasks have taken and are expected to,
 * and the part of it that is left.
 */
static void
measure_step(const nm_sched_job_t *job, uint32_t s, nm_ms_t now_ms,
             nm_ms_t *length_ms, nm_ms_t *left_ms)
{
    const nm_occurrence_t *occurrence = nm_occurrences_find(job, 0);
    const nm_step_duration_t *duration = &job->durations[s];
    *length_ms = is_overrun(duration, duration->longest_ms)
                     ? duration->longest_ms
                     : duration->known_ms;
    if (!occurrence) {
        *left_ms = job->begun_count == 0 ? duration->known_ms : 0;
        return;
    }
    *left_ms = occurrence->unfinished[s] > 0 ? duration->known_ms : 0;
    uint32_t attached = occurrence->unfinished[s] - occurrence->waiting[s];
    if (occurrence->unfinished[s] == 0 || attached == 0) {
        return;
    }
    nm_ms_t runs_left_ms = 0;
    for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
        const nm_task_t *task = &occurrence->tasks[s][i];
        if (is_at_work(task)) {
            nm_ms_t elapsed_ms = now_ms - task->started_ms;
            nm_ms_t total_ms = run_total_ms(duration, elapsed_ms);
            *length_ms = MAX(*length_ms, total_ms);
            runs_left_ms = MAX(runs_left_ms, total_ms - elapsed_ms);
        }
    }
    if (occurrence->waiting[s] == 0) {
        *left_ms = runs_left_ms;
    }
    else {
        *left_ms = MAX(*left_ms, runs_left_ms);
    }
}

void
nm_estimate_update(nm_sched_job_t *job, nm_ms_t now_ms)
{
    bool is_due = job->attached_count > 0 &&
                  now_ms - job->estimated_ms >= UPDATE_INTERVAL_MS;
    if (!is_tracked(job) || (!is_due && !job->estimate_outdated)) {
        return;
    }
    job->estimate_outdated = false;
    job->estimated_ms = now_ms;
    nm_ms_t lengths_ms[NM_JOB_STEPS_MAX];
    nm_ms_t left_ms[NM_JOB_STEPS_MAX];
    bool has_overrun = false;
    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        measure_step(job, s, now_ms, &lengths_ms[s], &left_ms[s]);
        has_overrun =
            has_overrun || lengths_ms[s] != job->durations[s].expected_ms;
    }
    job->critical_path_ms = longest_chain_ms(&job->spec, lengths_ms);
    job->path_left_ms = longest_chain_ms(&job->spec, left_ms);
    job->has_overrun = has_overrun;
    nm_estimate_set_objective(job);
}

double
nm_estimate_finish_ms(const nm_sched_job_t *job, nm_ms_t now_ms)
{
    if (!job->has_overrun) {
        double left_share = (double)MAX(job->core_ms_left, 1) /
                            (double)MAX(job->core_ms_total, 1);
        return (double)(now_ms - job->arrived_ms) +
               (double)job->critical_path_ms * left_share;
    }
    return (double)(now_ms - job->arrived_ms + job->path_left_ms);
}

static int
compare_ms(const void *a, const void *b)
{
    nm_ms_t left = *(const nm_ms_t *)a;
    nm_ms_t right = *(const nm_ms_t *)b;
    return (left > right) - (left < right);
}

/*
 * Adds a duration to those of a step, and returns their median.  It replaces
 * the expected duration if that has shown to be wrong.
 */
static nm_ms_t
add_duration(nm_step_duration_t *duration, nm_ms_t took_ms)
{
    if (duration->end_count == NM_ESTIMATE_ENDS_MAX) {
        return duration->known_ms;
    }
    duration->ended_ms[duration->end_count++] = took_ms;
    nm_ms_t sorted_ms[NM_ESTIMATE_ENDS_MAX];
    memcpy(sorted_ms, duration->ended_ms, sizeof(sorted_ms));
    qsort(sorted_ms, duration->end_count, sizeof(nm_ms_t), compare_ms);
    /* The lower one of two: a straggler must not raise it. */
    nm_ms_t median_ms = sorted_ms[(duration->end_count - 1) / 2];
    double ratio = (double)median_ms / (double)MAX(duration->expected_ms, 1);
    bool is_right = ratio < OVERRUN_FACTOR && ratio > 1 / OVERRUN_FACTOR;
    duration->known_ms = is_right ? duration->expected_ms : median_ms;
    return median_ms;
}

/*
 * True if the duration of a task's run is that of the task: this owner has
 * started it, it has begun anew, and has worked at full speed since.
 */
static bool
is_measured(const nm_sched_t *sched, const nm_task_t *task, int64_t run,
            nm_ms_t now_ms)
{
    return task->state == NM_RUN_RUNNING && task->run == run &&
           task->begun_ms > 0 && task->started_ms > 0 && !task->is_resumed &&
           task->throttled_ms < task->begun_ms && task->percent == 100 &&
           !nm_delay_is_behind(sched, now_ms);
}

void
nm_estimate_on_done(nm_sched_t *sched, const nm_task_t *task, int64_t run,
                    nm_ms_t now_ms)
{
    nm_sched_job_t *job = task->occurrence->job;
    if (job->long_running || !job->durations) {
        return;
    }
    job->estimate_outdated = true;
    if (!is_measured(sched, task, run, now_ms)) {
        return;
    }
    const nm_step_t *step = nm_task_step(task);
    nm_step_duration_t *duration = &job->durations[task->step];
    nm_ms_t took_ms = MAX(now_ms - task->started_ms, 1);
    duration->longest_ms = MAX(duration->longest_ms, took_ms);
    nm_ms_t median_ms = add_duration(duration, took_ms);
    uint32_t median_count = MIN(NM_ESTIMATE_ENDS_MAX, step->task_count);
    if (!duration->is_learned && 2 * duration->end_count > median_count) {
        duration->is_learned = true;
        nm_duration_key_t key = make_key(job, task->step);
        nm_durations_observe(&sched->durations, &key, step->estimate_ms,
                             median_ms);
    }
}

bool
nm_estimate_ends_by(const nm_task_t *task, nm_ms_t end_ms)
{
    const nm_sched_job_t *job = task->occurrence->job;
    nm_ms_t begin_ms = task->started_ms > 0 ? task->started_ms : task->sent_ms;
    nm_ms_t elapsed_ms =
        is_at_work(task) ? MAX(job->estimated_ms - begin_ms, 0) : 0;
    return run_total_ms(&job->durations[task->step], elapsed_ms) <=
           end_ms - begin_ms;
}
