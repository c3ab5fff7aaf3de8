/*
 * Tests of starts that get no response: the call may still be carried out for
 * some seconds, also by a later incarnation of its worker, which knows neither
 * the run nor a stop of it.
 */
#include "lib_sched_sim.h"

#include <string.h>

#define TICK_MS 50
/* A start without a response is carried out within this time. */
#define LATE_START_MS 12000
/* The task starts within this time once no call of it can arrive any more. */
#define START_MARGIN_MS 4000
/* The run is reported, or has ended, so much later. */
#define REPORT_MS 1000

typedef struct {
    sched_sim_t sim;
    int64_t incarnation; /* of "a" */
    bool stops_answered;
    const nm_worker_run_t *running; /* on "a"; NULL: nothing */
    uint32_t starts;                /* of TASK, since begin() */
    uint32_t resent;                /* of these, to "a" with the first run */
    nm_sched_action_t first;
} open_sim_t;

/* Two workers respond to polls and stops; starts get no response. */
static void
step(open_sim_t *open)
{
    sched_sim_advance(&open->sim, TICK_MS);
    sched_sim_save_all(&open->sim);
    for (guint i = 0; i < open->sim.actions->len; i++) {
        nm_sched_action_t action =
            g_array_index(open->sim.actions, nm_sched_action_t, i);
        bool is_a = strcmp(action.worker, "a") == 0;
        if (action.type == NM_ACTION_POLL) {
            sched_sim_report(&open->sim, action.worker,
                             is_a ? open->incarnation : 1, open->running,
                             is_a && open->running ? 1 : 0, NULL, 0);
        }
        else if (action.type == NM_ACTION_STOP && open->stops_answered) {
            nm_sched_on_stop(open->sim.sched, &action, NM_ORDER_DONE,
                             open->sim.now_ms);
        }
        else if (action.type == NM_ACTION_START) {
            open->starts++;
            open->resent += is_a && action.run == open->first.run;
        }
    }
}

/* Returns the time until a start of TASK is sent, or limit_ms. */
static nm_ms_t
time_to_start(open_sim_t *open, nm_ms_t limit_ms)
{
    nm_ms_t begun_ms = open->sim.now_ms;
    uint32_t before = open->starts;
    while (open->starts == before && open->sim.now_ms - begun_ms < limit_ms) {
        step(open);
    }
    return open->sim.now_ms - begun_ms;
}

/* Starts TASK on "a", without a response; "b" has room as well. */
static void
begin(open_sim_t *open, bool long_running, bool copies_allowed)
{
    *open = (open_sim_t){.incarnation = 1, .stops_answered = true};
    sched_sim_init(&open->sim, 1);
    sched_sim_add_worker(&open->sim, "a");
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "batch", "press");
    nm_step_t *desc = nm_job_spec_add_step(&spec);
    desc->task_count = 1;
    desc->cpu_milli = 1000;
    desc->memory_mb = 100;
    desc->estimate_ms = 1000;
    desc->long_running = long_running;
    desc->copies_allowed = copies_allowed;
    g_assert_cmpint(
        nm_sched_add_job(open->sim.sched, &spec, false, open->sim.now_ms), ==,
        NM_OK);
    nm_job_spec_finish(&spec);
    sched_sim_advance(&open->sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(&open->sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    open->first = *start;
    sched_sim_add_worker(&open->sim, "b");
    sched_sim_report(&open->sim, "a", 1, NULL, 0, NULL, 0); /* a poll waits */
    nm_sched_on_start(open->sim.sched, &open->first, NM_ORDER_UNKNOWN,
                      open->sim.now_ms);
}

/*
 * The run may end, and the call be carried out after that by the worker's next
 * incarnation.  Tasks that may run twice, and those that do not end by
 * themselves, are sent again at once, to the same worker.
 */
static void
test_unanswered_start_is_not_sent_again(void)
{
    static const struct {
        const char *name;
        bool long_running;
        bool copies_allowed;
        nm_ms_t start_ms_min;
        nm_ms_t start_ms_max;
        uint32_t resent;
    } cases[] = {
        {"ends by itself", false, false, LATE_START_MS,
         LATE_START_MS + START_MARGIN_MS, 0},
        {"may run twice", false, true, 0, 500, 1},
        {"long-running", true, false, 0, 500, 1},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("%s", cases[c].name);
        open_sim_t open;
        begin(&open, cases[c].long_running, cases[c].copies_allowed);
        nm_ms_t start_ms =
            time_to_start(&open, LATE_START_MS + 2 * START_MARGIN_MS);
        g_assert_cmpint(start_ms, >=, cases[c].start_ms_min);
        g_assert_cmpint(start_ms, <=, cases[c].start_ms_max);
        g_assert_cmpuint(open.resent, ==, cases[c].resent);
        sched_sim_finish(&open.sim);
    }
}

/* What a report shows was begun by the one call there is: no wait is left. */
static void
test_listed_run_closes_its_start(void)
{
    static const nm_end_t ends[] = {NM_END_FAILED, NM_END_LAPSED};
    for (size_t c = 0; c < NM_COUNT_OF(ends); c++) {
        open_sim_t open;
        begin(&open, false, false);
        nm_worker_run_t row = sched_sim_make_run(TASK, open.first.run);
        if (ends[c] == NM_END_LAPSED) { /* else only its end is reported */
            sched_sim_report(&open.sim, "a", 1, &row, 1, NULL, 0);
        }
        sched_sim_advance(&open.sim, REPORT_MS);
        nm_worker_end_t end =
            sched_sim_make_end(1, TASK, open.first.run, ends[c]);
        sched_sim_report(&open.sim, "a", 1, NULL, 0, &end, 1);
        g_assert_cmpint(time_to_start(&open, LATE_START_MS), <,
                        START_MARGIN_MS);
        sched_sim_finish(&open.sim);
    }
}

/*
 * A stop that an incarnation has confirmed holds for that one only: one more
 * restart, and the call is carried out.
 */
static void
test_confirmed_stop_does_not_close_a_start(void)
{
    static const bool long_running[] = {false, true};
    for (size_t c = 0; c < NM_COUNT_OF(long_running); c++) {
        open_sim_t open;
        begin(&open, long_running[c], false);
        open.incarnation = 2;
        sched_sim_announce(&open.sim, "a", 2);
        nm_ms_t start_ms =
            time_to_start(&open, LATE_START_MS + 2 * START_MARGIN_MS);
        g_assert_cmpint(start_ms, >=, LATE_START_MS);
        g_assert_cmpint(start_ms, <=, LATE_START_MS + START_MARGIN_MS);
        sched_sim_finish(&open.sim);
    }
}

/*
 * The worker does not respond any more and its lease lapses, which is earlier
 * than the call may be carried out by its next incarnation.
 */
static void
test_lapsed_lease_does_not_close_a_start(void)
{
    open_sim_t open;
    begin(&open, false, false);
    nm_ms_t begun_ms = open.sim.now_ms;
    bool started = false;
    while (!started) {
        sched_sim_advance(&open.sim, TICK_MS);
        sched_sim_save_all(&open.sim);
        if (sched_sim_find_action(&open.sim, NM_ACTION_POLL, "a")) {
            sched_sim_lose_poll(&open.sim, "a");
        }
        if (sched_sim_find_action(&open.sim, NM_ACTION_POLL, "b")) {
            sched_sim_report(&open.sim, "b", 1, NULL, 0, NULL, 0);
        }
        started = sched_sim_find_action(&open.sim, NM_ACTION_START, "b") ||
                  open.sim.now_ms - begun_ms > 3 * LATE_START_MS;
    }
    g_assert_cmpint(open.sim.now_ms - begun_ms, >=, LATE_START_MS);
    g_assert_cmpint(open.sim.now_ms - begun_ms, <=,
                    LATE_START_MS + START_MARGIN_MS);
    sched_sim_finish(&open.sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/unanswered-start-is-not-sent-again",
                    test_unanswered_start_is_not_sent_again);
    g_test_add_func("/sched/listed-run-closes-its-start",
                    test_listed_run_closes_its_start);
    g_test_add_func("/sched/confirmed-stop-does-not-close-a-start",
                    test_confirmed_stop_does_not_close_a_start);
    g_test_add_func("/sched/lapsed-lease-does-not-close-a-start",
                    test_lapsed_lease_does_not_close_a_start);
    return g_test_run();
}
