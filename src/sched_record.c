/*
 * Progress records: encodes the state of a job for the store, and restores it
 * at a takeover.
 */
#include "sched_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "json_get.h"

#define PROGRESS_VERSION 1
/* By which the wall clocks of two owners may differ (the users' sheets). */
#define CLOCK_SKEW_MAX_MS 6000
/* A row of one task begins with its occurrence, step and index. */
#define ROW_POSITION_COUNT 3

/* Encodes each task as one character: '.' not done, 'D' done. */
static json_t *
encode_occurrences(const nm_sched_job_t *job)
{
    json_t *occurrences = json_array();
    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        json_t *steps = json_array();
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            uint32_t count = job->spec.steps[s].task_count;
            char *states = g_malloc(count + 1);
            for (uint32_t i = 0; i < count; i++) {
                const nm_task_t *task = &job->occurrences[o].tasks[s][i];
                states[i] = nm_task_is_done(task) ? 'D' : '.';
            }
            states[count] = '\0';
            json_array_append_new(steps, json_string(states));
            g_free(states);
        }
        json_array_append_new(occurrences, steps);
    }
    return occurrences;
}

/* Encodes occurrence, step and index of a task, then its failed runs. */
static json_t *
encode_failed_task(const nm_task_t *task, uint32_t o, uint32_t s, uint32_t i)
{
    json_t *row = json_pack("[i,i,i]", o, s, i);
    uint32_t count = MIN(task->failures, NM_SCHED_FAILED_RUNS_MAX);
    for (uint32_t f = 0; f < count; f++) {
        json_array_append_new(row, json_integer(task->failed_runs[f]));
    }
    return row;
}

static json_t *
encode_failures(const nm_sched_job_t *job)
{
    json_t *failures = json_array();
    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                const nm_task_t *task = &job->occurrences[o].tasks[s][i];
                if (task->failures > 0) {
                    json_array_append_new(failures,
                                          encode_failed_task(task, o, s, i));
                }
            }
        }
    }
    return failures;
}

/*
 * Encodes occurrence, step and index of a task, and how often it has failed,
 * where that is more than its row of failed runs holds.
 */
static json_t *
encode_failure_counts(const nm_sched_job_t *job)
{
    json_t *counts = json_array();
    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                const nm_task_t *task = &job->occurrences[o].tasks[s][i];
                if (task->failures > NM_SCHED_FAILED_RUNS_MAX) {
                    json_array_append_new(
                        counts, json_pack("[i,i,i,I]", o, s, i,
                                          (json_int_t)task->failures));
                }
            }
        }
    }
    return counts;
}

/*
 * Encodes occurrence, step and index of a task, its crashes, and the worker of
 * all of them.
 */
static json_t *
encode_crashes(const nm_sched_job_t *job)
{
    json_t *crashes = json_array();
    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                const nm_task_t *task = &job->occurrences[o].tasks[s][i];
                if (task->crashes > 0 && !nm_task_is_done(task)) {
                    json_array_append_new(
                        crashes,
                        json_pack("[i,i,i,I,I]", o, s, i,
                                  (json_int_t)task->crashes,
                                  (json_int_t)task->crash_worker_hash));
                }
            }
        }
    }
    return crashes;
}

/* Encodes occurrence, step and index of a task, and the silence. */
static json_t *
encode_silence(const nm_silence_t *silence, uint32_t o, uint32_t s, uint32_t i)
{
    return json_pack(
        "[i,i,i,I,I,b,I,I]", o, s, i, (json_int_t)silence->worker_hash,
        (json_int_t)silence->incarnation, silence->certain,
        (json_int_t)silence->address_hash, (json_int_t)silence->since_unix_ms);
}

/* Appends each silence of a task, and its intent. */
static void
append_silences(json_t *rows, const nm_task_t *task, uint32_t o, uint32_t s,
                uint32_t i)
{
    for (uint32_t n = 0; n < task->silence_count; n++) {
        json_array_append_new(rows,
                              encode_silence(&task->silences[n], o, s, i));
    }
    if (task->intent.worker_hash != 0) {
        json_array_append_new(rows, encode_silence(&task->intent, o, s, i));
    }
}

static json_t *
encode_silences(const nm_sched_job_t *job)
{
    json_t *silences = json_array();
    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                const nm_task_t *task = &job->occurrences[o].tasks[s][i];
                if (!nm_task_is_done(task)) {
                    append_silences(silences, task, o, s, i);
                }
            }
        }
    }
    return silences;
}

/*
 * Encodes occurrence, step and index of a task, the run of its unanswered
 * start, and until when that may be carried out.
 */
static json_t *
encode_open_starts(const nm_sched_t *sched, const nm_sched_job_t *job)
{
    json_t *rows = json_array();
    for (uint32_t o = 0; o < job->occurrence_count; o++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                const nm_task_t *task = &job->occurrences[o].tasks[s][i];
                nm_ms_t left_ms = task->open_until_ms - sched->now_ms;
                if (left_ms > 0 && !nm_task_is_done(task)) {
                    json_int_t until_unix_ms = sched->unix_ms + left_ms;
                    json_array_append_new(rows,
                                          json_pack("[i,i,i,I,I]", o, s, i,
                                                    (json_int_t)task->open_run,
                                                    until_unix_ms));
                }
            }
        }
    }
    return rows;
}

char *
nm_sched_encode_progress(const nm_sched_t *sched, const nm_sched_job_t *job)
{
    json_t *record = json_object();
    json_object_set_new(record, "version", json_integer(PROGRESS_VERSION));
    json_object_set_new(record, "state",
                        json_string(nm_job_state_name(job->state)));
    if (job->state < NM_JOB_COMPLETED) {
        json_object_set_new(record, "done", encode_occurrences(job));
        json_object_set_new(record, "attempts_max",
                            json_integer(nm_job_attempts_max(job)));
        json_object_set_new(record, "failures", encode_failures(job));
        json_object_set_new(record, "failure_counts",
                            encode_failure_counts(job));
        json_object_set_new(record, "proved_crashes", encode_crashes(job));
        json_object_set_new(record, "silences", encode_silences(job));
        json_object_set_new(record, "open_starts",
                            encode_open_starts(sched, job));
        json_object_set_new(record, "ids_reused",
                            json_boolean(sched->ids_reused));
    }
    char *text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    char *encoded = g_strdup(text);
    free(text);
    return encoded;
}

static void
restore_done(nm_sched_job_t *job, uint32_t o, uint32_t s, const char *states)
{
    nm_occurrence_t *occurrence = &job->occurrences[o];
    const nm_step_t *step = &job->spec.steps[s];
    for (uint32_t i = 0; states[i] != '\0' && i < step->task_count; i++) {
        nm_task_t *task = &occurrence->tasks[s][i];
        if (states[i] == 'D' && task->state != NM_RUN_DONE) {
            occurrence->waiting[s] -= task->state == NM_RUN_WAITING;
            task->state = NM_RUN_DONE;
            occurrence->unfinished[s]--;
            job->core_ms_left -= step->cpu_milli * step->estimate_ms / 1000;
            job->estimate_outdated = true;
        }
    }
}

/*
 * Returns the task that a row of a record begins with, or NULL if the row is
 * malformed or has less than `columns` further columns.
 */
static nm_task_t *
find_row_task(const nm_sched_job_t *job, const json_t *row, size_t columns)
{
    int64_t occurrence;
    int64_t step;
    int64_t index;
    if (json_array_size(row) < ROW_POSITION_COUNT + columns ||
        !nm_json_get_int(json_array_get(row, 0), NM_COUNT_MAX, &occurrence) ||
        !nm_json_get_int(json_array_get(row, 1), NM_COUNT_MAX, &step) ||
        !nm_json_get_int(json_array_get(row, 2), NM_COUNT_MAX, &index) ||
        occurrence >= job->occurrence_count || step >= job->spec.step_count ||
        index >= job->spec.steps[step].task_count)
    {
        return NULL;
    }
    return &job->occurrences[occurrence].tasks[step][index];
}

/* Reads a further column of a row. */
static bool
read_column(const json_t *row, size_t column, int64_t max, int64_t *number)
{
    return nm_json_get_int(json_array_get(row, ROW_POSITION_COUNT + column),
                           max, number);
}

static void
restore_failure(nm_sched_job_t *job, const json_t *row)
{
    nm_task_t *task = find_row_task(job, row, 1);
    if (!task) {
        return;
    }
    size_t runs = json_array_size(row) - ROW_POSITION_COUNT;
    uint32_t failures = 0;
    for (size_t f = 0; f < MIN(runs, NM_SCHED_FAILED_RUNS_MAX); f++) {
        if (read_column(row, f, NM_COUNT_MAX, &task->failed_runs[failures])) {
            failures++;
        }
    }
    task->failures = failures;
}

static void
restore_failure_count(nm_sched_job_t *job, const json_t *row)
{
    nm_task_t *task = find_row_task(job, row, 1);
    int64_t count;
    if (task && read_column(row, 0, UINT32_MAX, &count)) {
        task->failures = MAX(task->failures, (uint32_t)count);
    }
}

static void
restore_crashes(nm_sched_job_t *job, const json_t *row)
{
    nm_task_t *task = find_row_task(job, row, 2);
    int64_t crashes;
    int64_t worker_hash;
    if (task && read_column(row, 0, UINT32_MAX, &crashes) &&
        read_column(row, 1, UINT32_MAX, &worker_hash))
    {
        task->crashes = (uint32_t)crashes;
        task->crash_worker_hash = (uint32_t)worker_hash;
    }
}

/*
 * Waits for a silent worker go on under the next owner.  The worker of an
 * intent may have fallen silent at any time since.
 */
static void
restore_silence(const nm_sched_t *sched, nm_sched_job_t *job,
                const json_t *row)
{
    nm_task_t *task = find_row_task(job, row, 2);
    int64_t worker_hash;
    int64_t incarnation;
    if (task && task->silence_count < NM_SCHED_SILENCES_MAX &&
        read_column(row, 0, UINT32_MAX, &worker_hash) &&
        read_column(row, 1, NM_COUNT_MAX, &incarnation))
    {
        json_t *certain = json_array_get(row, ROW_POSITION_COUNT + 2);
        int64_t address_hash = 0; /* absent in older records */
        if (!read_column(row, 3, UINT32_MAX, &address_hash)) {
            address_hash = 0;
        }
        int64_t since_unix_ms = 0;
        if (!read_column(row, 4, NM_UNIX_MAX_MS, &since_unix_ms) ||
            since_unix_ms <= 0 || since_unix_ms > sched->unix_ms)
        {
            since_unix_ms = sched->unix_ms;
        }
        task->silences[task->silence_count++] = (nm_silence_t){
            .worker_hash = (uint32_t)worker_hash,
            .address_hash = (uint32_t)address_hash,
            .incarnation = incarnation,
            .since_ms = sched->began_ms - (sched->unix_ms - since_unix_ms),
            .since_unix_ms = since_unix_ms,
            .certain = json_is_true(certain)};
    }
}

/*
 * A former owner's unanswered start may still be carried out.  Wall clocks may
 * differ, and show less or more time than is left.
 */
static void
restore_open_start(const nm_sched_t *sched, nm_sched_job_t *job,
                   const json_t *row)
{
    nm_task_t *task = find_row_task(job, row, 2);
    int64_t run;
    int64_t until_unix_ms;
    if (task && read_column(row, 0, NM_COUNT_MAX, &run) &&
        read_column(row, 1, NM_UNIX_MAX_MS, &until_unix_ms))
    {
        nm_ms_t left_ms = until_unix_ms - sched->unix_ms + CLOCK_SKEW_MAX_MS;
        task->opened_by_former = true;
        task->open_run = run;
        task->open_until_ms =
            sched->began_ms + CLAMP(left_ms, 0, NM_SCHED_LATE_ORDER_MAX_MS);
    }
}

int
nm_sched_restore(nm_sched_t *sched, const char *id, const void *data,
                 uint32_t bytes)
{
    assert(sched && id && data);
    nm_sched_job_t *job = g_hash_table_lookup(sched->jobs, id);
    json_t *record = json_loadb(data, bytes, 0, NULL);
    const char *state = json_string_value(json_object_get(record, "state"));
    if (!job || !state ||
        json_integer_value(json_object_get(record, "version")) !=
            PROGRESS_VERSION)
    {
        json_decref(record);
        if (!job) {
            return NM_ERR_NOT_FOUND;
        }
        job->progress_unreadable = true;
        return NM_ERR_CORRUPT;
    }
    if (job->state == NM_JOB_QUEUED &&
        strcmp(state, nm_job_state_name(NM_JOB_RUNNING)) == 0)
    {
        job->state = NM_JOB_RUNNING;
        job->visible_state = NM_JOB_RUNNING;
    }
    for (nm_job_state_t s = NM_JOB_COMPLETED; s <= NM_JOB_CANCELLED; s++) {
        if (strcmp(state, nm_job_state_name(s)) == 0) {
            job->state = s;
            job->visible_state = s;
            job->ended_ms = sched->began_ms;
            g_queue_push_tail(&sched->ended, job);
        }
    }
    int64_t attempts_max;
    if (nm_json_get_int(json_object_get(record, "attempts_max"), UINT32_MAX,
                        &attempts_max))
    {
        job->spec.attempts_max = (uint32_t)attempts_max;
    }
    size_t o;
    json_t *steps;
    json_array_foreach(json_object_get(record, "done"), o, steps)
    {
        size_t s;
        json_t *states;
        json_array_foreach(steps, s, states)
        {
            const char *text = json_string_value(states);
            if (text && o < job->occurrence_count && s < job->spec.step_count)
            {
                restore_done(job, (uint32_t)o, (uint32_t)s, text);
            }
        }
    }
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(record, "failures"), i, row)
    {
        restore_failure(job, row);
    }
    json_array_foreach(json_object_get(record, "failure_counts"), i, row)
    {
        restore_failure_count(job, row);
    }
    /* "crashes" of earlier versions counts absent workers as well. */
    json_array_foreach(json_object_get(record, "proved_crashes"), i, row)
    {
        restore_crashes(job, row);
    }
    json_array_foreach(json_object_get(record, "silences"), i, row)
    {
        restore_silence(sched, job, row);
    }
    sched->ids_reused = sched->ids_reused ||
                        json_is_true(json_object_get(record, "ids_reused"));
    json_array_foreach(json_object_get(record, "open_starts"), i, row)
    {
        restore_open_start(sched, job, row);
    }

    json_decref(record);
    return NM_OK;
}
