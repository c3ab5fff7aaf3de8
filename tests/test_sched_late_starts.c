/*
 * Tests of starts that a worker may carry out late, after it has restarted
 * under its id while it was absent, and of ends that are heard of late.
 */
#include "lib_sched_sim.h"

/* Longer than the lease of a worker; shorter than a late start can take. */
#define ABSENT_MS 9000
#define TICK_MS 100
/* A start without a response is carried out within this time. */
#define LATE_START_MS 12000
/* The longest lease of a worker, on its own clock. */
#define LEASE_LIMIT_MS 10000
#define CLOCK_SLOW_FACTOR 1.02
/* Time in which a task that may start is started. */
#define WAIT_MARGIN_MS 4000

/* Loses all polls for some time; returns the start that is sent meanwhile. */
static nm_sched_action_t
lose_polls(sched_sim_t *sim, const char *worker, nm_ms_t duration_ms)
{
    nm_sched_action_t started = {0};
    for (nm_ms_t passed_ms = 0; passed_ms < duration_ms; passed_ms += TICK_MS)
    {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_save_all(sim); /* the starts of suspects are stored first */
        for (guint i = 0; i < sim->actions->len; i++) {
            nm_sched_action_t action =
                g_array_index(sim->actions, nm_sched_action_t, i);
            bool absent = g_strcmp0(action.worker, worker) == 0;
            if (action.type == NM_ACTION_POLL && absent) {
                sched_sim_lose_poll(sim, worker);
            }
            else if (action.type == NM_ACTION_START) {
                nm_sched_on_start(sim->sched, &action,
                                  absent ? NM_ORDER_UNKNOWN : NM_ORDER_DONE,
                                  sim->now_ms);
                started = absent ? started : action;
            }
            else if (action.type == NM_ACTION_STOP && absent) {
                nm_sched_on_stop(sim->sched, &action, NM_ORDER_UNKNOWN,
                                 sim->now_ms);
            }
        }
    }
    return started;
}

/* Sends a start to worker "a", which gets no answer. */
static nm_sched_action_t
begin_unanswered_start(sched_sim_t *sim)
{
    sched_sim_init(sim, 1);
    sched_sim_add_worker(sim, "a");
    sched_sim_add_job(sim, JOB, false, 1, 1000, false);
    sched_sim_advance(sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_action_t sent = *start;
    sched_sim_add_worker(sim, "b");
    sched_sim_lose_poll(sim, "a");
    nm_sched_on_start(sim->sched, &sent, NM_ORDER_UNKNOWN, sim->now_ms);
    return sent;
}

/*
 * A worker crashes with an unanswered start, its entry goes, and it comes back
 * under its id within the time of a late start: it must be sent the stop.
 */
static void
test_removed_worker_comes_back(void)
{
    sched_sim_t sim;
    nm_sched_action_t sent = begin_unanswered_start(&sim);
    nm_ms_t sent_ms = sim.now_ms;
    nm_sched_deregister_worker(sim.sched, "a");
    nm_sched_action_t elsewhere = lose_polls(&sim, "a", ABSENT_MS);
    g_assert_cmpstr(elsewhere.worker, ==, "");
    sched_sim_announce(&sim, "a", 2);
    sched_sim_advance(&sim, 10);
    sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
    sched_sim_advance(&sim, TICK_MS);
    const nm_sched_action_t *stop =
        sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
    g_assert_nonnull(stop);
    g_assert_cmpstr(stop->task, ==, TASK);
    g_assert_cmpint(stop->run, ==, sent.run);
    g_assert_cmpint(stop->incarnation, ==, 2);
    nm_sched_on_stop(sim.sched, stop, NM_ORDER_DONE, sim.now_ms);
    sched_sim_advance(&sim, TICK_MS);
    sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
    elsewhere = lose_polls(&sim, "a", sent_ms + LATE_START_MS - sim.now_ms);
    g_assert_cmpstr(elsewhere.worker, ==, "");
    /* It is silent again, and may have restarted and begun it. */
    elsewhere =
        lose_polls(&sim, "a", (nm_ms_t)(LEASE_LIMIT_MS * CLOCK_SLOW_FACTOR));
    g_assert_cmpstr(elsewhere.worker, ==, "");
    elsewhere = lose_polls(&sim, "a", WAIT_MARGIN_MS);
    g_assert_cmpstr(elsewhere.worker, ==, "b");
    sched_sim_finish(&sim);
}

/* Loses the polls of "a", which runs TASK, until its lease has lapsed. */
static nm_sched_action_t
lapse_run(sched_sim_t *sim)
{
    sched_sim_init(sim, 1);
    sched_sim_add_worker(sim, "a");
    sched_sim_add_job(sim, JOB, false, 1, 1000, false);
    sched_sim_advance(sim, 30);
    nm_sched_action_t started = sched_sim_confirm_starts(sim);
    g_assert_cmpint(started.type, ==, NM_ACTION_START);
    sched_sim_lose_poll(sim, "a");
    lose_polls(sim, "a", ABSENT_MS);
    return started;
}

/* "a" is heard of again, and lists the end of the run. */
static void
check_late_end_counts(sched_sim_t *sim, const nm_sched_action_t *started)
{
    nm_worker_end_t end =
        sched_sim_make_end(1, TASK, started->run, NM_END_DONE);
    sched_sim_report(sim, "a", 1, NULL, 0, &end, 1);
    for (nm_ms_t passed_ms = 0; passed_ms < WAIT_MARGIN_MS;
         passed_ms += TICK_MS) {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_save_all(sim);
        g_assert_null(sched_sim_find_action(sim, NM_ACTION_START, NULL));
    }
    g_assert_cmpint(nm_sched_query_job(sim->sched, JOB), ==, NM_JOB_COMPLETED);
    sched_sim_finish(sim);
}

/*
 * The end of a run is heard of after its lease has lapsed and while the task
 * still waits for a worker: it must not start again.
 */
static void
test_late_end_of_a_waiting_task(void)
{
    sched_sim_t sim;
    nm_sched_action_t started = lapse_run(&sim);
    check_late_end_counts(&sim, &started);
}

/* The same after a further start, which was refused. */
static void
test_late_end_after_a_refused_start(void)
{
    sched_sim_t sim;
    nm_sched_action_t started = lapse_run(&sim);
    sched_sim_add_worker(&sim, "b");
    sched_sim_save_all(&sim);
    sched_sim_advance(&sim, TICK_MS);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "b");
    g_assert_nonnull(start);
    nm_sched_on_start(sim.sched, start, NM_ORDER_NO_CAPACITY, sim.now_ms);
    check_late_end_counts(&sim, &started);
}

/*
 * A worker is cut off and restarts behind the cut; the store announces the new
 * incarnation.  It may carry out the late start there, with the longest lease,
 * so that the task waits until that has lapsed.
 */
static void
test_restart_behind_a_cut(void)
{
    sched_sim_t sim;
    begin_unanswered_start(&sim);
    nm_ms_t sent_ms = sim.now_ms;
    lose_polls(&sim, "a", 1000);
    sched_sim_announce(&sim, "a", 2);
    nm_ms_t lapse_ms = sent_ms + LATE_START_MS +
                       (nm_ms_t)(LEASE_LIMIT_MS * CLOCK_SLOW_FACTOR);
    nm_sched_action_t elsewhere = lose_polls(&sim, "a", lapse_ms - sim.now_ms);
    g_assert_cmpstr(elsewhere.worker, ==, "");
    elsewhere = lose_polls(&sim, "a", WAIT_MARGIN_MS);
    g_assert_cmpstr(elsewhere.worker, ==, "b");
    sched_sim_finish(&sim);
}

/*
 * Starts that were late in the owner's queues were not sent: the worker is not
 * at fault, however often it happens, and no stop is needed.  If an earlier
 * try is unanswered, the run may be at work, and the start of a long-running
 * task is tried again; see test_sched_open_starts.c for others.
 */
static void
test_unsent_starts_do_not_count(void)
{
    static const struct {
        nm_order_result_t first_result;
        bool long_running;
        bool repeated;   /* the same run */
        uint32_t starts; /* without a stop */
    } cases[] = {
        {NM_ORDER_NOT_SENT, false, false, 6}, /* more than a worker may fail */
        {NM_ORDER_NOT_SENT, true, false, 6},
        {NM_ORDER_UNKNOWN, true, true, 3}, /* then the first is withdrawn */
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_worker(&sim, "a");
        sched_sim_add_job(&sim, JOB, cases[i].long_running, 1, 1000, false);
        int64_t first_run = 0;
        uint32_t starts = 0;
        for (nm_ms_t ms = 0; ms < WAIT_MARGIN_MS && starts < cases[i].starts;
             ms += TICK_MS)
        {
            sched_sim_advance(&sim, TICK_MS);
            g_assert_null(sched_sim_find_action(&sim, NM_ACTION_STOP, NULL));
            const nm_sched_action_t *start =
                sched_sim_find_action(&sim, NM_ACTION_START, "a");
            if (start) {
                first_run = starts == 0 ? start->run : first_run;
                g_assert_cmpint(start->run - first_run, ==,
                                cases[i].repeated ? 0 : starts);
                g_assert_cmpint(start->valid_ms, >, 0);
                nm_sched_on_start(sim.sched, start,
                                  starts == 0 ? cases[i].first_result
                                              : NM_ORDER_NOT_SENT,
                                  sim.now_ms);
                starts++;
            }
        }
        g_assert_cmpuint(starts, ==, cases[i].starts);
        sched_sim_finish(&sim);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/late-start-on-a-removed-worker-is-stopped",
                    test_removed_worker_comes_back);
    g_test_add_func("/sched/late-end-of-a-waiting-task",
                    test_late_end_of_a_waiting_task);
    g_test_add_func("/sched/late-end-after-a-refused-start",
                    test_late_end_after_a_refused_start);
    g_test_add_func("/sched/task-waits-for-a-late-start-behind-a-cut",
                    test_restart_behind_a_cut);
    g_test_add_func("/sched/unsent-starts-do-not-count",
                    test_unsent_starts_do_not_count);
    return g_test_run();
}
