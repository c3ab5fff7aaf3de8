/*
 * Checker of recorded histories.
 *
 * Reads JSON lines of what callers were told (kind "call"), what executors
 * ran ("run"), what workers did ("task") and what the operators did
 * ("mark"), and reports every broken promise.
 */
#ifndef FAKE_HISTORY_H
#define FAKE_HISTORY_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#define HISTORY_INVARIANT_LIST(X)                                             \
    X(SLOTS, "no executor runs more requests than it has slots")              \
    X(CONNECTIONS, "no executor has more connections than it accepts")        \
    X(WHOLE_ANSWER, "every caller gets the whole answer to its own request")  \
    X(NOT_RUN, "what a caller is told was not run, was not run")              \
    X(AT_MOST_ONCE, "a non-idempotent request runs at most once")             \
    X(LEAVING, "a leaving executor receives no new work after 3 s")           \
    X(ONE_PLACE, "no task runs in two places at once")                        \
    X(RESUME_ONCE, "an evicted task resumes exactly once")                    \
    X(DONE_ONCE, "no task runs again after its outcome could be known")       \
    X(ANSWERED, "every request ends with an answer")                          \
    X(READABLE, "the history can be read")

typedef enum {
#define X(name, text) HISTORY_##name,
    HISTORY_INVARIANT_LIST(X)
#undef X
        HISTORY_INVARIANT_COUNT,
} history_invariant_t;

typedef struct {
    uint32_t slots;
    uint32_t connections;
    uint32_t violations[HISTORY_INVARIANT_COUNT];
    uint32_t calls;
    uint32_t runs;
    uint32_t tasks_started;
    uint32_t tasks_done;
    uint32_t evictions;
    char example[HISTORY_INVARIANT_COUNT][160]; /* of a broken promise */
    void *state;
} history_t;

const char *history_invariant_text(history_invariant_t promise);
void history_init(history_t *history);
void history_finish(history_t *history);
/* Takes in one line; lines may come in any order. */
void history_add(history_t *history, const char *line);
bool history_add_file(history_t *history, const char *path);
/* Judges everything added; returns the number of broken promises. */
uint32_t history_check(history_t *history);

/* Text that an executor answers; free it with g_free. */
char *history_response_text(const char *id, const char *key);

#endif
