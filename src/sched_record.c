/*
 * Progress of a job as a record for the store, and back.
 */
#include "sched_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define PROGRESS_VERSION 1

/* One character a task: '.' open, 'D' done. */
static json_t *
encode_occurrences(const nm_sched_job_t *job)
{
    json_t *works = json_array();
    for (uint32_t w = 0; w < job->occurrence_count; w++) {
        json_t *steps = json_array();
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            uint32_t count = job->spec.steps[s].task_count;
            char *marks = g_malloc(count + 1);
            for (uint32_t i = 0; i < count; i++) {
                nm_run_state_t state = job->occurrences[w].tasks[s][i].state;
                marks[i] = state == NM_RUN_DONE ? 'D' : '.';
            }
            marks[count] = '\0';
            json_array_append_new(steps, json_string(marks));
            g_free(marks);
        }
        json_array_append_new(works, steps);
    }
    return works;
}

/* Its place, then the runs that failed. */
static json_t *
encode_failed_task(const nm_task_t *task, uint32_t w, uint32_t s, uint32_t i)
{
    json_t *row = json_pack("[i,i,i]", w, s, i);
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
    for (uint32_t w = 0; w < job->occurrence_count; w++) {
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                const nm_task_t *task = &job->occurrences[w].tasks[s][i];
                if (task->failures > 0) {
                    json_array_append_new(failures,
                                          encode_failed_task(task, w, s, i));
                }
            }
        }
    }
    return failures;
}

char *
nm_sched_encode_progress(const nm_sched_job_t *job)
{
    json_t *record = json_object();
    json_object_set_new(record, "version", json_integer(PROGRESS_VERSION));
    json_object_set_new(record, "state",
                        json_string(nm_job_state_name(job->state)));
    if (job->state < NM_JOB_COMPLETED) {
        json_object_set_new(record, "done", encode_occurrences(job));
        json_object_set_new(record, "failures", encode_failures(job));
    }
    char *text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    char *copy = g_strdup(text);
    free(text);
    return copy;
}

static void
restore_done(nm_sched_job_t *job, uint32_t w, uint32_t s, const char *marks)
{
    nm_occurrence_t *work = &job->occurrences[w];
    const nm_step_t *step = &job->spec.steps[s];
    for (uint32_t i = 0; marks[i] != '\0' && i < step->task_count; i++) {
        nm_task_t *task = &work->tasks[s][i];
        if (marks[i] == 'D' && task->state != NM_RUN_DONE) {
            work->waiting[s] -= task->state == NM_RUN_WAITING;
            task->state = NM_RUN_DONE;
            work->unfinished[s]--;
            job->core_ms_left -= step->cpu_milli * step->estimate_ms / 1000;
        }
    }
}

static void
restore_failure(nm_sched_job_t *job, const json_t *row)
{
    json_int_t value[3];
    for (size_t i = 0; i < NM_COUNT_OF(value); i++) {
        value[i] = json_integer_value(json_array_get(row, i));
    }
    if (value[0] < 0 || value[0] >= job->occurrence_count || value[1] < 0 ||
        value[1] >= job->spec.step_count || value[2] < 0 ||
        value[2] >= job->spec.steps[value[1]].task_count)
    {
        return;
    }
    nm_task_t *task = &job->occurrences[value[0]].tasks[value[1]][value[2]];
    size_t runs = json_array_size(row) - NM_COUNT_OF(value);
    task->failures = (uint32_t)MIN(runs, NM_SCHED_FAILED_RUNS_MAX);
    for (uint32_t f = 0; f < task->failures; f++) {
        task->failed_runs[f] =
            json_integer_value(json_array_get(row, NM_COUNT_OF(value) + f));
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
    for (nm_job_state_t s = NM_JOB_COMPLETED; s <= NM_JOB_CANCELLED; s++) {
        if (strcmp(state, nm_job_state_name(s)) == 0) {
            job->state = s;
            job->visible_state = s;
            job->ended_ms = sched->began_ms;
            g_queue_push_tail(&sched->ended, job);
        }
    }
    size_t w;
    json_t *steps;
    json_array_foreach(json_object_get(record, "done"), w, steps)
    {
        size_t s;
        json_t *marks;
        json_array_foreach(steps, s, marks)
        {
            const char *text = json_string_value(marks);
            if (text && w < job->occurrence_count && s < job->spec.step_count)
            {
                restore_done(job, (uint32_t)w, (uint32_t)s, text);
            }
        }
    }
    size_t i;
    json_t *row;
    json_array_foreach(json_object_get(record, "failures"), i, row)
    {
        restore_failure(job, row);
    }
    json_decref(record);
    return NM_OK;
}
