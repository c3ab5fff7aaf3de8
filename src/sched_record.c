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
/*
 * Of a job that repeats: names the occurrences that are not finished.  Earlier
 * versions listed all occurrences in version 1, and start no task of this one.
 */
#define PROGRESS_VERSION_REPEATED 2
/* By which the wall clocks of two owners may differ (the users' sheets). */
#define CLOCK_SKEW_MAX_MS 6000
/* A row of one task begins with its occurrence, step and index. */
#define ROW_POSITION_COUNT 3

/* Encodes each task as one character: '.' not done, 'D' done. */
static json_t *
encode_occurrence(const nm_occurrence_t *occurrence)
{
    const nm_job_spec_t *spec = &occurrence->job->spec;
    json_t *steps = json_array();
    for (uint32_t s = 0; s < spec->step_count; s++) {
        uint32_t count = spec->steps[s].task_count;
        char *states = g_malloc(count + 1);
        for (uint32_t i = 0; i < count; i++) {
            states[i] = nm_task_is_done(&occurrence->tasks[s][i]) ? 'D' : '.';
        }
        states[count] = '\0';
        json_array_append_new(steps, json_string(states));
        g_free(states);
    }
    return steps;
}

/* Encodes the occurrences that are not finished: their numbers and tasks. */
static json_t *
encode_unfinished(const nm_sched_job_t *job)
{
    json_t *rows = json_array();
    for (guint o = 0; o < job->occurrences->len; o++) {
        const nm_occurrence_t *occurrence = job->occurrences->pdata[o];
        if (!occurrence->finished) {
            json_array_append_new(rows,
                                  json_pack("[i,o]", occurrence->number,
                                            encode_occurrence(occurrence)));
        }
    }
    return rows;
}

/* Calls visit for each task of a job that is in memory. */
static void
visit_tasks(const nm_sched_job_t *job, json_t *rows,
            void (*visit)(json_t *rows, const nm_task_t *task))
{
    for (guint o = 0; o < job->occurrences->len; o++) {
        const nm_occurrence_t *occurrence = job->occurrences->pdata[o];
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                visit(rows, &occurrence->tasks[s][i]);
            }
        }
    }
}

/* A row of a task: its position, to which further columns are added. */
static json_t *
add_row(json_t *rows, const nm_task_t *task)
{
    json_t *row = json_pack("[i,i,i]", task->occurrence->number, task->step,
                            task->index);
    json_array_append_new(rows, row);
    return row;
}

static void
add_number(json_t *row, int64_t number)
{
    json_array_append_new(row, json_integer(number));
}

/* The failed runs of a task. */
static void
add_failures(json_t *rows, const nm_task_t *task)
{
    if (task->failures == 0) {
        return;
    }
    json_t *row = add_row(rows, task);
    uint32_t count = MIN(task->failures, NM_SCHED_FAILED_RUNS_MAX);
    for (uint32_t f = 0; f < count; f++) {
        add_number(row, task->failed_runs[f]);
    }
}

/* How often a task failed, where its row of failed runs does not hold all. */
static void
add_failure_count(json_t *rows, const nm_task_t *task)
{
    if (task->failures > NM_SCHED_FAILED_RUNS_MAX) {
        add_number(add_row(rows, task), task->failures);
    }
}

/* How often runs of a task were stopped as stalled. */
static void
add_stalls(json_t *rows, const nm_task_t *task)
{
    if (task->stalls > 0 && !nm_task_is_done(task)) {
        add_number(add_row(rows, task), task->stalls);
    }
}

/* The crashes of a task, and the worker of all of them. */
static void
add_crashes(json_t *rows, const nm_task_t *task)
{
    if (task->crashes > 0 && !nm_task_is_done(task)) {
        json_t *row = add_row(rows, task);
        add_number(row, task->crashes);
        add_number(row, task->crash_worker_hash);
    }
}

static void
add_silence(json_t *rows, const nm_task_t *task, const nm_silence_t *silence)
{
    json_t *row = add_row(rows, task);
    add_number(row, silence->worker_hash);
    add_number(row, silence->incarnation);
    json_array_append_new(row, json_boolean(silence->certain));
    add_number(row, silence->address_hash);
    add_number(row, silence->since_unix_ms);
}

/* Each silence of a task, and its intent. */
static void
add_silences(json_t *rows, const nm_task_t *task)
{
    if (nm_task_is_done(task)) {
        return;
    }
    for (uint32_t n = 0; n < task->silence_count; n++) {
        add_silence(rows, task, &task->silences[n]);
    }
    if (task->intent.worker_hash != 0) {
        add_silence(rows, task, &task->intent);
    }
}

/*
 * The run of a task's unanswered start, and until when that may be carried
 * out.
 */
static json_t *
encode_open_starts(const nm_sched_t *sched, const nm_sched_job_t *job)
{
    json_t *rows = json_array();
    for (guint o = 0; o < job->occurrences->len; o++) {
        const nm_occurrence_t *occurrence = job->occurrences->pdata[o];
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                const nm_task_t *task = &occurrence->tasks[s][i];
                nm_ms_t left_ms = task->open_until_ms - sched->now_ms;
                if (left_ms > 0 && !nm_task_is_done(task)) {
                    json_t *row = add_row(rows, task);
                    add_number(row, task->open_run);
                    add_number(row, sched->unix_ms + left_ms);
                }
            }
        }
    }
    return rows;
}

static void
put_rows(json_t *record, const char *name, const nm_sched_job_t *job,
         void (*visit)(json_t *rows, const nm_task_t *task))
{
    json_t *rows = json_array();
    visit_tasks(job, rows, visit);
    json_object_set_new(record, name, rows);
}

/* Earlier versions read the tasks of a job that runs once only. */
static void
put_done(json_t *record, const nm_sched_job_t *job)
{
    if (job->occurrence_count > 1) {
        json_object_set_new(record, "begun", json_integer(job->begun_count));
        json_object_set_new(record, "unfinished", encode_unfinished(job));
        return;
    }
    json_t *done = json_array();
    const nm_occurrence_t *occurrence = nm_occurrences_find(job, 0);
    if (occurrence) {
        json_array_append_new(done, encode_occurrence(occurrence));
    }
    json_object_set_new(record, "done", done);
}

char *
nm_sched_encode_progress(const nm_sched_t *sched, const nm_sched_job_t *job)
{
    json_t *record = json_object();
    json_object_set_new(record, "version",
                        json_integer(job->occurrence_count > 1
                                         ? PROGRESS_VERSION_REPEATED
                                         : PROGRESS_VERSION));
    json_object_set_new(record, "state",
                        json_string(nm_job_state_name(job->state)));
    if (job->state < NM_JOB_COMPLETED) {
        put_done(record, job);
        json_object_set_new(record, "attempts_max",
                            json_integer(nm_job_attempts_max(job)));
        put_rows(record, "failures", job, add_failures);
        put_rows(record, "failure_counts", job, add_failure_count);
        put_rows(record, "stalls", job, add_stalls);
        put_rows(record, "proved_crashes", job, add_crashes);
        put_rows(record, "silences", job, add_silences);
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
restore_step(nm_occurrence_t *occurrence, uint32_t s, const char *states)
{
    nm_sched_job_t *job = occurrence->job;
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

static void
restore_occurrence(nm_occurrence_t *occurrence, const json_t *steps)
{
    size_t s;
    json_t *states;
    json_array_foreach(steps, s, states)
    {
        const char *text = json_string_value(states);
        if (text && s < occurrence->job->spec.step_count) {
            restore_step(occurrence, (uint32_t)s, text);
        }
    }
}

/* True if a row of version 1 shows each task of an occurrence as done. */
static bool
is_all_done(const nm_sched_job_t *job, const json_t *steps)
{
    if (json_array_size(steps) < job->spec.step_count) {
        return false;
    }
    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        const char *states = json_string_value(json_array_get(steps, s));
        if (!states || strspn(states, "D") < job->spec.steps[s].task_count) {
            return false;
        }
    }
    return true;
}

/* True if a row of version 1 shows a task of an occurrence as done. */
static bool
is_any_done(const json_t *steps)
{
    size_t s;
    json_t *states;
    json_array_foreach(steps, s, states)
    {
        const char *text = json_string_value(states);
        if (text && strchr(text, 'D')) {
            return true;
        }
    }
    return false;
}

/* Number of occurrences that a record of version 1 shows to have begun. */
static uint32_t
count_begun(const json_t *record, const nm_sched_job_t *job)
{
    static const char *const lists[] = {"failures", "failure_counts",
                                        "proved_crashes", "silences",
                                        "open_starts"};
    const json_t *done = json_object_get(record, "done");
    int64_t begun = (int64_t)json_array_size(done);
    while (begun > 0 && !is_any_done(json_array_get(done, (size_t)begun - 1)))
    {
        begun--;
    }
    for (size_t l = 0; l < NM_COUNT_OF(lists); l++) {
        size_t i;
        json_t *row;
        json_array_foreach(json_object_get(record, lists[l]), i, row)
        {
            int64_t number;
            if (nm_json_get_int(json_array_get(row, 0), NM_COUNT_MAX - 1,
                                &number)) {
                begun = MAX(begun, number + 1);
            }
        }
    }
    return (uint32_t)MIN(begun, job->occurrence_count);
}

static void
restore_listed(nm_sched_t *sched, nm_sched_job_t *job, const json_t *record)
{
    const json_t *done = json_object_get(record, "done");
    uint32_t begun = job->occurrence_count > 1 ? count_begun(record, job) : 1;
    for (uint32_t o = 0; o < begun; o++) {
        const json_t *steps = json_array_get(done, o);
        if (o < job->begun_count) {
            nm_occurrence_t *known = nm_occurrences_find(job, o);
            if (known) {
                restore_occurrence(known, steps);
            }
            continue;
        }
        if (job->occurrence_count > 1 && is_all_done(job, steps)) {
            nm_occurrences_skip_next(job);
            continue;
        }
        restore_occurrence(nm_occurrences_begin_next(sched, job, true), steps);
    }
}

/* Returns false if a row is malformed. */
static bool
restore_unfinished(nm_sched_t *sched, nm_sched_job_t *job,
                   const json_t *record)
{
    int64_t begun;
    const json_t *rows = json_object_get(record, "unfinished");
    if (!json_is_array(rows) ||
        !nm_json_get_int(json_object_get(record, "begun"),
                         job->occurrence_count, &begun))
    {
        return false;
    }
    size_t i;
    json_t *row;
    json_array_foreach(rows, i, row)
    {
        int64_t number;
        if (!nm_json_get_int(json_array_get(row, 0), begun - 1, &number) ||
            number < job->begun_count)
        {
            return false;
        }
        while (job->begun_count < number) {
            nm_occurrences_skip_next(job);
        }
        restore_occurrence(nm_occurrences_begin_next(sched, job, true),
                           json_array_get(row, 1));
    }
    while (job->begun_count < begun) {
        nm_occurrences_skip_next(job);
    }
    return true;
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
    const nm_occurrence_t *found =
        nm_occurrences_find(job, (uint32_t)occurrence);
    return found ? &found->tasks[step][index] : NULL;
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
restore_stalls(nm_sched_job_t *job, const json_t *row)
{
    nm_task_t *task = find_row_task(job, row, 1);
    int64_t count;
    if (task && read_column(row, 0, UINT32_MAX, &count)) {
        task->stalls = (uint32_t)count;
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
        nm_silence_t silence = {.worker_hash = (uint32_t)worker_hash,
                                .address_hash = (uint32_t)address_hash,
                                .incarnation = incarnation,
                                .since_ms = sched->began_ms -
                                            (sched->unix_ms - since_unix_ms),
                                .since_unix_ms = since_unix_ms,
                                .certain = json_is_true(certain)};
        nm_task_add_silence(task, &silence);
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
    json_int_t version =
        json_integer_value(json_object_get(record, "version"));
    if (!job || !state ||
        (version != PROGRESS_VERSION && version != PROGRESS_VERSION_REPEATED))
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
            nm_occurrences_on_job_end(sched, job);
        }
    }
    int64_t attempts_max;
    if (nm_json_get_int(json_object_get(record, "attempts_max"), UINT32_MAX,
                        &attempts_max))
    {
        job->spec.attempts_max = (uint32_t)attempts_max;
    }
    if (job->state < NM_JOB_COMPLETED && version == PROGRESS_VERSION) {
        restore_listed(sched, job, record);
    }
    else if (job->state < NM_JOB_COMPLETED &&
             !restore_unfinished(sched, job, record))
    {
        json_decref(record);
        job->progress_unreadable = true;
        return NM_ERR_CORRUPT;
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
    json_array_foreach(json_object_get(record, "stalls"), i, row)
    {
        restore_stalls(job, row);
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
