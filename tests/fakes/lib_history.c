#include "lib_history.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define LEAVING_GRACE_MS 3000
#define RESPONSE_LINES 40

static const char *const invariant_texts[HISTORY_INVARIANT_COUNT] = {
#define X(name, text) text,
    HISTORY_INVARIANT_LIST(X)
#undef X
};

/* All lines, by kind. */
typedef struct {
    GPtrArray *calls;
    GPtrArray *runs;
    GPtrArray *tasks;
    GPtrArray *operator_events;
} state_t;

const char *
history_invariant_text(history_invariant_t promise)
{
    return invariant_texts[promise];
}

char *
history_response_text(const char *id, const char *key)
{
    GString *text = g_string_new(NULL);
    /* An order's answer depends on its key only, so that replays match. */
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
    state_t *state = g_new0(state_t, 1);
    state->calls = g_ptr_array_new_with_free_func(free_json);
    state->runs = g_ptr_array_new_with_free_func(free_json);
    state->tasks = g_ptr_array_new_with_free_func(free_json);
    state->operator_events = g_ptr_array_new_with_free_func(free_json);
    history->state = state;
}

void
history_finish(history_t *history)
{
    state_t *state = history->state;
    g_ptr_array_free(state->calls, TRUE);
    g_ptr_array_free(state->runs, TRUE);
    g_ptr_array_free(state->tasks, TRUE);
    g_ptr_array_free(state->operator_events, TRUE);
    g_free(state);
}

static void
report_violation(history_t *history, history_invariant_t promise,
                 const char *example)
{
    if (history->violations[promise]++ == 0) {
        g_strlcpy(history->example[promise], example,
                  sizeof(history->example[promise]));
    }
}

static const char *
text_of(const json_t *line, const char *key)
{
    const char *text = json_string_value(json_object_get(line, key));
    return text ? text : "";
}

static int64_t
int_of(const json_t *line, const char *key)
{
    return json_integer_value(json_object_get(line, key));
}

void
history_add(history_t *history, const char *line)
{
    state_t *state = history->state;
    json_t *json = json_loads(line, 0, NULL);
    const char *kind = text_of(json, "kind");
    GPtrArray *list = strcmp(kind, "call") == 0   ? state->calls
                      : strcmp(kind, "run") == 0  ? state->runs
                      : strcmp(kind, "task") == 0 ? state->tasks
                      : strcmp(kind, "mark") == 0 ? state->operator_events
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
    state_t *state = history->state;
    GHashTable *keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, NULL);
    for (uint32_t i = 0; i < state->runs->len; i++) {
        const json_t *run = state->runs->pdata[i];
        const char *id = text_of(run, "id");
        const char *key = text_of(run, "key");
        g_hash_table_add(ids, (void *)id);
        if (int_of(run, "in_flight") > history->slots) {
            report_violation(history, HISTORY_SLOTS, id);
        }
        if (int_of(run, "connections") > history->connections) {
            report_violation(history, HISTORY_CONNECTIONS, id);
        }
        bool order = strcmp(text_of(run, "method"), "POST") == 0;
        const char *identity = *key ? key : id;
        if (order && !g_hash_table_add(keys, (void *)identity)) {
            report_violation(history, HISTORY_AT_MOST_ONCE, identity);
        }
    }
    history->runs = state->runs->len;
    g_hash_table_unref(keys);
}

static void
check_calls(history_t *history, GHashTable *ids)
{
    state_t *state = history->state;
    for (uint32_t i = 0; i < state->calls->len; i++) {
        const json_t *call = state->calls->pdata[i];
        const char *id = text_of(call, "id");
        const char *verdict = text_of(call, "verdict");
        if (strcmp(verdict, "not-run") == 0 && g_hash_table_contains(ids, id))
        {
            report_violation(history, HISTORY_NOT_RUN, id);
        }
        if (int_of(call, "status") == 200 &&
            !json_is_true(json_object_get(call, "whole")))
        {
            report_violation(history, HISTORY_WHOLE_ANSWER, id);
        }
        /* A dead entry host breaks connections; a live one must answer. */
        if (int_of(call, "status") == 0 &&
            !json_is_true(json_object_get(call, "host_died")))
        {
            report_violation(history, HISTORY_ANSWERED, id);
        }
    }
    history->calls = state->calls->len;
}

static void
check_leaving(history_t *history)
{
    state_t *state = history->state;
    for (uint32_t m = 0; m < state->operator_events->len; m++) {
        const json_t *mark = state->operator_events->pdata[m];
        if (strcmp(text_of(mark, "event"), "leaving") != 0) {
            continue;
        }
        int64_t until = int_of(mark, "until");
        for (uint32_t i = 0; i < state->runs->len; i++) {
            const json_t *run = state->runs->pdata[i];
            int64_t at = int_of(run, "t");
            if (int_of(run, "executor") == int_of(mark, "executor") &&
                at > int_of(mark, "t") + LEAVING_GRACE_MS &&
                (until == 0 || at < until))
            {
                report_violation(history, HISTORY_LEAVING, text_of(run, "id"));
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
    int64_t difference = int_of(x, "t") - int_of(y, "t");
    return (difference > 0) - (difference < 0);
}

typedef struct {
    char *running_on; /* worker, or NULL */
    char *checkpoint; /* the last one written, or NULL */
    uint32_t resumes; /* starts since that checkpoint */
    uint32_t lapses;  /* leases lost since then */
    char *done_on;    /* worker that reports it as done, or NULL */
    bool acked;       /* that outcome was acknowledged */
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
    const char *name = text_of(line, "task");
    if (task->running_on) {
        report_violation(history, HISTORY_ONE_PLACE, name);
    }
    /*
     * Only if the worker that finished it is out of reach, and its lease
     * over, may the task be taken for lost.
     */
    if (task->acked ||
        (task->done_on && !g_hash_table_contains(cut_off, task->done_on)))
    {
        report_violation(history, HISTORY_DONE_ONCE, name);
    }
    if (task->checkpoint) {
        bool same = strcmp(task->checkpoint, text_of(line, "checkpoint")) == 0;
        /* More starts than interruptions mean that it resumed twice. */
        if (!same || task->resumes > task->lapses) {
            report_violation(history, HISTORY_RESUME_ONCE, name);
        }
    }
    task->resumes++;
    g_free(task->running_on);
    task->running_on = g_strdup(text_of(line, "worker"));
    history->tasks_started++;
}

static void
check_task_line(history_t *history, task_state_t *task, const json_t *line,
                GHashTable *cut_off)
{
    const char *event = text_of(line, "event");
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
        task->done_on = g_strdup(text_of(line, "worker"));
        history->tasks_done++;
    }
    else if (strcmp(event, "checkpointed") == 0) {
        history->evictions++;
        g_free(task->checkpoint);
        task->checkpoint = g_strdup(text_of(line, "checkpoint"));
        task->resumes = 0;
        task->lapses = 0;
    }
    else {
        task->lapses++;
    }
}

static void
check_tasks(history_t *history)
{
    state_t *state = history->state;
    g_ptr_array_sort(state->tasks, compare_times);
    GHashTable *tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_task);
    GHashTable *cut_off = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < state->tasks->len; i++) {
        const json_t *line = state->tasks->pdata[i];
        const char *name = text_of(line, "task");
        const char *event = text_of(line, "event");
        if (strcmp(event, "cut-off") == 0) {
            g_hash_table_add(cut_off, (void *)text_of(line, "worker"));
            continue;
        }
        if (strcmp(event, "in-reach") == 0) {
            g_hash_table_remove(cut_off, text_of(line, "worker"));
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
    uint32_t broken = 0;
    for (int i = 0; i < HISTORY_INVARIANT_COUNT; i++) {
        broken += history->violations[i] > 0;
    }
    return broken;
}
