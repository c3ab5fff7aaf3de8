/*
 * The history checker on short histories.
 *
 * Guards against a checker that overlooks a violated invariant, or reports a
 * violation in a history that is valid.
 */

#include <glib.h>

#include "lib_history.h"

#define RUN(id, key, method, in_flight, connections, t, executor)             \
    "{\"kind\":\"run\",\"t\":" #t ",\"executor\":" #executor ",\"id\":\"" id  \
    "\",\"key\":\"" key "\",\"method\":\"" method                             \
    "\",\"in_flight\":" #in_flight ",\"connections\":" #connections "}"
#define CALL(id, status, verdict, whole, died)                                \
    "{\"kind\":\"call\",\"t\":1,\"id\":\"" id                                 \
    "\",\"key\":\"\",\"status\":" #status ",\"verdict\":\"" verdict           \
    "\",\"whole\":" #whole ",\"host_died\":" #died "}"
#define TASK(t, worker, event, checkpoint)                                    \
    "{\"kind\":\"task\",\"t\":" #t ",\"worker\":\"" worker                    \
    "\",\"task\":\"a:0\",\"attempt\":1,\"event\":\"" event                    \
    "\",\"checkpoint\":\"" checkpoint "\"}"

typedef struct {
    const char *name;
    int violated; /* invariant, or -1 */
    const char *lines[8];
} history_case_t;

static const history_case_t cases[] = {
    {"valid requests",
     -1,
     {RUN("r1", "k1", "POST", 8, 64, 5, 1), RUN("r2", "", "GET", 1, 1, 5, 1),
      RUN("r2", "", "GET", 1, 1, 6, 2), CALL("r1", 200, "ran", true, false),
      CALL("r3", 503, "not-run", false, false),
      CALL("r4", 0, "", false, true)}},
    {"nine in flight", HISTORY_SLOTS, {RUN("r", "", "GET", 9, 1, 5, 1)}},
    {"too many connections",
     HISTORY_CONNECTIONS,
     {RUN("r", "", "GET", 1, 65, 5, 1)}},
    {"truncated response",
     HISTORY_COMPLETE_RESPONSE,
     {CALL("r", 200, "ran", false, false)}},
    {"ran although reported as not run",
     HISTORY_NOT_RUN,
     {RUN("r", "", "GET", 1, 1, 5, 1),
      CALL("r", 503, "not-run", false, false)}},
    {"non-idempotent request twice",
     HISTORY_AT_MOST_ONCE,
     {RUN("r1", "k", "POST", 1, 1, 5, 1), RUN("r2", "k", "POST", 1, 1, 9, 2)}},
    {"non-idempotent request without key twice",
     HISTORY_AT_MOST_ONCE,
     {RUN("r1", "", "POST", 1, 1, 5, 1), RUN("r1", "", "POST", 1, 1, 9, 2)}},
    {"request to a leaving executor",
     HISTORY_LEAVING,
     {"{\"kind\":\"mark\",\"event\":\"leaving\",\"t\":10,\"executor\":1}",
      RUN("r", "", "GET", 1, 1, 3011, 1)}},
    {"request within the grace period",
     -1,
     {"{\"kind\":\"mark\",\"event\":\"leaving\",\"t\":10,\"executor\":1}",
      RUN("r", "", "GET", 1, 1, 3010, 1), RUN("s", "", "GET", 1, 1, 9000, 2)}},
    {"no response from a live host",
     HISTORY_RESPONSE_RECEIVED,
     {CALL("r", 0, "", false, false)}},
    {"two workers",
     HISTORY_ONE_WORKER,
     {TASK(1, "w1", "start", "0"), TASK(2, "w2", "start", "0")}},
    {"restarted after its lease lapsed",
     -1,
     {TASK(1, "w1", "start", "0"), TASK(2, "w1", "lapsed", "0"),
      TASK(3, "w2", "start", "0"), TASK(4, "w2", "done", "0")}},
    {"done twice",
     HISTORY_DONE_ONCE,
     {TASK(1, "w1", "start", "0"), TASK(2, "w1", "done", "0"),
      TASK(3, "w2", "start", "0")}},
    {"done on a worker that is cut off",
     -1,
     {TASK(1, "w1", "start", "0"), TASK(2, "w1", "cut-off", "0"),
      TASK(3, "w1", "done", "0"), TASK(4, "w2", "start", "0")}},
    {"runs again after its outcome was acknowledged",
     HISTORY_DONE_ONCE,
     {TASK(1, "w1", "start", "0"), TASK(2, "w1", "done", "0"),
      TASK(3, "w1", "acked", "0"), TASK(4, "w1", "cut-off", "0"),
      TASK(5, "w2", "start", "0")}},
    {"runs again after the worker came back",
     HISTORY_DONE_ONCE,
     {TASK(1, "w1", "start", "0"), TASK(2, "w1", "cut-off", "0"),
      TASK(3, "w1", "done", "0"), TASK(4, "w1", "in-reach", "0"),
      TASK(5, "w2", "start", "0")}},
    {"resumes once",
     -1,
     {TASK(1, "w1", "start", "0"), TASK(2, "w1", "checkpointed", "c1"),
      TASK(3, "w2", "start", "c1"), TASK(4, "w2", "done", "c1")}},
    {"resumes from the beginning",
     HISTORY_RESUME_ONCE,
     {TASK(1, "w1", "start", "0"), TASK(2, "w1", "checkpointed", "c1"),
      TASK(3, "w2", "start", "0")}},
    {"unreadable", HISTORY_READABLE, {"{\"kind\":"}},
};

static void
test_case(const void *data)
{
    const history_case_t *test = data;
    history_t history;
    history_init(&history);
    for (int i = 0; i < 8 && test->lines[i]; i++) {
        history_add(&history, test->lines[i]);
    }
    g_assert_cmpuint(history_check(&history), ==, test->violated >= 0);
    if (test->violated >= 0) {
        g_assert_cmpuint(history.violations[test->violated], >, 0);
    }
    history_finish(&history);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/history/%s", cases[i].name);
        g_test_add_data_func(path, &cases[i], test_case);
        g_free(path);
    }
    return g_test_run();
}
