/*
 * Checks recorded histories of a run against the system's invariants.
 *
 * A history consists of JSON lines, one for each event, with its time in ms as
 * "t" and one of these values as "kind":
 *   call  the response that a caller received
 *   run   a request that an executor ran
 *   task  an event of a task on a worker: start, checkpointed, done, acked, or
 *         one that interrupts the task; the events cut-off and in-reach
 * concern all tasks of the worker mark  an operator's action, such as marking
 * an executor as leaving
 *
 *     history_t history;
 *     history_init(&history);
 *     history_add_file(&history, path);
 *     uint32_t violated = history_check(&history);
 *     history_finish(&history);
 */
#ifndef FAKE_HISTORY_H
#define FAKE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#define HISTORY_INVARIANT_LIST(X)                                             \
    X(SLOTS, "no executor runs more requests than it has slots")              \
    X(CONNECTIONS, "no executor has more connections than it accepts")        \
    X(COMPLETE_RESPONSE,                                                      \
      "every caller receives the complete response to its own request")       \
    X(NOT_RUN, "a request reported as not run did not run")                   \
    X(AT_MOST_ONCE, "a non-idempotent request runs at most once")             \
    X(LEAVING, "a leaving executor receives no new requests after 3 s")       \
    X(ONE_WORKER, "no task runs on two workers at once")                      \
    X(RESUME_ONCE, "an evicted task resumes exactly once")                    \
    X(DONE_ONCE, "no task runs again after its outcome could be known")       \
    X(RESPONSE_RECEIVED, "every request ends with a response")                \
    X(READABLE, "the history can be read")

typedef enum {
#define X(name, text) HISTORY_##name,
    HISTORY_INVARIANT_LIST(X)
#undef X
        HISTORY_INVARIANT_COUNT,
} history_invariant_t;

typedef struct {
    uint32_t slots;       /* of each executor */
    uint32_t connections; /* that each executor accepts */
    uint32_t violations[HISTORY_INVARIANT_COUNT];
    uint32_t calls;
    uint32_t runs;
    uint32_t tasks_started;
    uint32_t tasks_done;
    uint32_t evictions;
    char example[HISTORY_INVARIANT_COUNT][160]; /* of the first violation */
    void *lines;
} history_t;

const char *history_invariant_text(history_invariant_t invariant);
void history_init(history_t *history);
void history_finish(history_t *history);
/* Adds one line; lines may be added in any order. */
void history_add(history_t *history, const char *line);
/* Returns false if the file cannot be read. */
bool history_add_file(history_t *history, const char *path);
/* Checks all added lines; returns the number of violated invariants. */
uint32_t history_check(history_t *history);

/* Body that an executor responds with; free it with g_free. */
char *history_response_text(const char *id, const char *key);

#endif
