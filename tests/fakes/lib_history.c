#include "lib_history.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* A leaving executor may receive requests for this long. */
#define LEAVING_GRACE_MS 3000
#define RESPONSE_LINES 40

static const char *const invariant_texts[HISTORY_INVARIANT_COUNT] = {
#define X(name, text) text,
    HISTORY_INVARIANT_LIST(X)
#undef X
};

typedef struct {
    GPtrArray *calls;
    GPtrArray *runs;
    GPtrArray *tasks;
    GPtrArray *operator_events;
} recorded_lines_t;

const char *
history_invariant_text(history_invariant_t invariant)
{
    return invariant_texts[invariant];
}

char *
history_response_text(const char *id, const char *key)
{
    GString *text = g_string_new(NULL);
    /* With a key, the body depends on the key only, so that replays match. */
    const char *name = *key ? key : id;
    for (int i = 0; i < RESPONSE_LINES; i++) {
        g_string_append_printf(text, "%d %s\n", i, name);
    }
    return g_string_free(text, FALSE);
}

static void
free_json(void *data)
{
    json_decref(data);
}

void
history_init(history_t *history)
{
    *history = (history_t){.slots = 8, .connections = 64};
    recorded_lines_t *lines = g_new0(recorded_lines_t, 1);
    lines->calls = g_ptr_array_new_with_free_func(free_json);
    lines->runs = g_ptr_array_new_with_free_func(free_json);
    lines->tasks = g_ptr_array_new_with_free_func(free_json);
    lines->operator_events = g_ptr_array_new_with_free_func(free_json);
    history->lines = lines;
}

void
history_finish(history_t *history)
{
    recorded_lines_t *lines = history->lines;
    g_ptr_array_free(lines->calls, TRUE);
    g_ptr_array_free(lines->runs, TRUE);
    g_ptr_array_free(lines->tasks, TRUE);
    g_ptr_array_free(lines->operator_events, TRUE);
    g_free(lines);
}

static void
report_violation(history_t *history, history_invariant_t invariant,
                 const char *example)
{
    if (history->violations[invariant]++ == 0) {
        g_strlcpy(history->example[invariant], example,
                  sizeof(history->example[invariant]));
    }
}

static const char *
string_field(const json_t *line, const char *key)
{
    const char *text = json_string_value(json_object_get(line, key));
    return text ? text : "";
}

static int64_t
int_field(const json_t *line, const char *key)
{
    return json_integer_value(json_object_get(line, key));
}

void
history_add(history_t *history, const char *line)
{
    recorded_lines_t *lines = history->lines;
    json_t *json = json_loads(line, 0, NULL);
    const char *kind = string_field(json, "kind");
    GPtrArray *list = strcmp(kind, "call") == 0   ? lines->calls
                      : strcmp(kind, "run") == 0  ? lines->runs
                      : strcmp(kind, "task") == 0 ? lines->tasks
                      : strcmp(kind, "mark") == 0 ? lines->operator_events
                                                  : NULL;
    if (!list) {
        report_violation(history, HISTORY_READABLE, line);
        json_decref(json);
        return;
    }
    g_ptr_array_add(list, json);
}

bool
history_add_file(history_t *history, const char *path)
{
    char *text = NULL;
    if (!g_file_get_contents(path, &text, NULL, NULL)) {
        return false;
    }
    char **lines = g_strsplit(text, "\n", 0);
    for (char **line = lines; *line; line++) {
        if (**line) {
            history_add(history, *line);
        }
    }
    g_strfreev(lines);
    g_free(text);
    return true;
}

/* Requests */

static void
check_runs(history_t *history, GHashTable *ids)
{
    recorded_lines_t *lines = history->lines;
    GHashTable *keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
    for (uint32_t i = 0; i < lines->runs->len; i++) {
        const json_t *run = lines->runs->pdata[i];
        const char *id = string_field(run, "id");
        const char *key = string_field(run, "key");
        g_hash_table_add(ids, (void *)id);
        if (int_field(run, "in_flight") > history->slots) {
            report_violation(history, HISTORY_SLOTS, id);
        }
        if (int_field(run, "connections") > history->connections) {
            report_violation(history, HISTORY_CONNECTIONS, id);
        }
        bool non_idempotent = strcmp(string_field(run, "method"), "POST") == 0;
        const char *identity = *key ? key : id;
        if (non_idempotent && !g_hash_table_add(keys, (void *)identity)) {
            report_violation(history, HISTORY_AT_MOST_ONCE, identity);
        }
    }
    history->runs = lines->runs->len;
    g_hash_table_unref(keys);
}

static void
check_calls(history_t *history, GHashTable *ids)
{
    recorded_lines_t *lines = history->lines;
    for (uint32_t i = 0; i < lines->calls->len; i++) {
        const json_t *call = lines->calls->pdata[i];
        const char *id = string_field(call, "id");
        const char *verdict = string_field(call, "verdict");
        if (strcmp(verdict, "not-run") == 0 && g_hash_table_contains(ids, id))
        {
            report_violation(history, HISTORY_NOT_RUN, id);
        }
        if (int_field(call, "status") == 200 &&
            !json_is_true(json_object_get(call, "whole")))
        {
            report_violation(history, HISTORY_COMPLETE_RESPONSE, id);
        }
        /* Status 0: no response, allowed only if the entry host died. */
        if (int_field(call, "status") == 0 &&
            !json_is_true(json_object_get(call, "host_died")))
        {
            report_violation(history, HISTORY_RESPONSE_RECEIVED, id);
        }
    }
    history->calls = lines->calls->len;
}

static void
check_leaving(history_t *history)
{
    recorded_lines_t *lines = history->lines;
    for (uint32_t m = 0; m < lines->operator_events->len; m++) {
        const json_t *operator_event = lines->operator_events->pdata[m];
        if (strcmp(string_field(operator_event, "event"), "leaving") != 0) {
            continue;
        }
        int64_t until_ms = int_field(operator_event, "until");
        for (uint32_t i = 0; i < lines->runs->len; i++) {
            const json_t *run = lines->runs->pdata[i];
            int64_t run_ms = int_field(run, "t");
            if (int_field(run, "executor") ==
                    int_field(operator_event, "executor") &&
                run_ms > int_field(operator_event, "t") + LEAVING_GRACE_MS &&
                (until_ms == 0 || run_ms < until_ms))
            {
                report_violation(history, HISTORY_LEAVING,
                                 string_field(run, "id"));
            }
        }
    }
}

/* Tasks */

static int
compare_times(const void *a, const void *b)
{
    const json_t *x = *(json_t *const *)a;
    const json_t *y = *(json_t *const *)b;
    int64_t difference = int_field(x, "t") - int_field(y, "t");
    return (difference > 0) - (difference < 0);
}

typedef struct {
    char *running_on;       /* worker, or NULL */
    char *checkpoint;       /* the last one written, or NULL */
    uint32_t resumes;       /* starts since the last checkpoint */
    uint32_t interruptions; /* ends without an outcome since then */
    char *done_on;          /* worker that finished it, or NULL */
    bool acked;             /* the done outcome was acknowledged */
} task_state_t;

static void
free_task(void *data)
{
    task_state_t *task = data;
    g_free(task->running_on);
    g_free(task->checkpoint);
    g_free(task->done_on);
    g_free(task);
}

static void
check_start(history_t *history, task_state_t *task, const json_t *line,
            GHashTable *cut_off)
{
    const char *name = string_field(line, "task");
    if (task->running_on) {
        report_violation(history, HISTORY_ONE_WORKER, name);
    }
    /*
     * A finished task may be treated as lost and started again only if its
     * outcome was not acknowledged and the worker that finished it is cut
     * off for longer than its lease.
     */
    if (task->acked ||
        (task->done_on && !g_hash_table_contains(cut_off, task->done_on)))
    {
        report_violation(history, HISTORY_DONE_ONCE, name);
    }
    if (task->checkpoint) {
        bool same_checkpoint =
            strcmp(task->checkpoint, string_field(line, "checkpoint")) == 0;
        /* More starts than interruptions: the task resumed twice. */
        if (!same_checkpoint || task->resumes > task->interruptions) {
            report_violation(history, HISTORY_RESUME_ONCE, name);
        }
    }
    task->resumes++;
    g_free(task->running_on);
    task->running_on = g_strdup(string_field(line, "worker"));
    history->tasks_started++;
}

static void
check_task_line(history_t *history, task_state_t *task, const json_t *line,
                GHashTable *cut_off)
{
    const char *event = string_field(line, "event");
    if (strcmp(event, "start") == 0) {
        check_start(history, task, line, cut_off);
        return;
    }
    if (strcmp(event, "acked") == 0) {
        task->acked = task->done_on != NULL;
        return;
    }
    g_free(task->running_on);
    task->running_on = NULL;
    if (strcmp(event, "done") == 0) {
        g_free(task->done_on);
        task->done_on = g_strdup(string_field(line, "worker"));
        history->tasks_done++;
    }
    else if (strcmp(event, "checkpointed") == 0) {
        history->evictions++;
        g_free(task->checkpoint);
        task->checkpoint = g_strdup(string_field(line, "checkpoint"));
        task->resumes = 0;
        task->interruptions = 0;
    }
    else {
        task->interruptions++;
    }
}

static void
check_tasks(history_t *history)
{
    recorded_lines_t *lines = history->lines;
    g_ptr_array_sort(lines->tasks, compare_times);
    GHashTable *tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_task);
    GHashTable *cut_off = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < lines->tasks->len; i++) {
        const json_t *line = lines->tasks->pdata[i];
        const char *name = string_field(line, "task");
        const char *event = string_field(line, "event");
        if (strcmp(event, "cut-off") == 0) {
            g_hash_table_add(cut_off, (void *)string_field(line, "worker"));
            continue;
        }
        if (strcmp(event, "in-reach") == 0) {
            g_hash_table_remove(cut_off, string_field(line, "worker"));
            continue;
        }
        task_state_t *task = g_hash_table_lookup(tasks, name);
        if (!task) {
            task = g_new0(task_state_t, 1);
            g_hash_table_insert(tasks, (void *)name, task);
        }
        check_task_line(history, task, line, cut_off);
    }
    g_hash_table_unref(tasks);
    g_hash_table_unref(cut_off);
}

uint32_t
history_check(history_t *history)
{
    GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
    check_runs(history, ids);
    check_calls(history, ids);
    check_leaving(history);
    check_tasks(history);
    g_hash_table_unref(ids);
    uint32_t violated = 0;
    for (int i = 0; i < HISTORY_INVARIANT_COUNT; i++) {
        violated += history->violations[i] > 0;
    }
    return violated;
}
