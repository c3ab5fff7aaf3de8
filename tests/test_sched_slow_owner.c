/*
 * What an owner that is behind has not heard yet is no sign that a worker, or
 * the end of a run, is lost: silent workers, and ends that are heard of late.
 */
#include "lib_sched_sim.h"

#define WORKERS 24
#define TICK_MS 50

/* Delivers the response to a poll that has timed out. */
static void
report_late(sched_sim_t *sim, const char *worker)
{
    nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                 .incarnation = 1,
                                 .clock_ms = sim->now_ms - 1000,
                                 .sent_ms = sim->now_ms - 1000,
                                 .complete = true};
    nm_sched_on_late_report(sim->sched, worker, &report, sim->now_ms);
}

/*
 * A worker that is silent with an unanswered start may have restarted, and
 * have begun the late start: its lease is not renewed for as long as that of
 * others, although the owner is behind.
 */
static void
test_unanswered_start_ends_renewal(void)
{
    enum { RENEWED_MS = 4000 };
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_on_start(sim.sched, start, NM_ORDER_UNKNOWN, sim.now_ms);
    for (int i = 0; i < WORKERS; i++) {
        sched_sim_add_worker(&sim, (char[]){'b', (char)('a' + i), '\0'});
    }
    sched_sim_lose_poll(&sim, "a");
    nm_ms_t silent_ms = sim.now_ms;
    uint32_t polls = 0;
    for (nm_ms_t passed_ms = 0; passed_ms < 9000; passed_ms += TICK_MS) {
        for (int i = 0; i < WORKERS; i++) {
            report_late(&sim, (char[]){'b', (char)('a' + i), '\0'});
        }
        sched_sim_advance(&sim, TICK_MS);
        const nm_sched_action_t *poll =
            sched_sim_find_action(&sim, NM_ACTION_POLL, "a");
        if (poll) {
            polls++;
            g_assert_true(poll->expiry_ms == 0 ||
                          sim.now_ms - silent_ms <= RENEWED_MS);
            sched_sim_lose_poll(&sim, "a");
        }
    }
    g_assert_cmpuint(polls, >, 3);
    sched_sim_finish(&sim);
}

static const struct {
    const char *name;
    bool behind;          /* the other workers' reports come late */
    nm_ms_t start_ms_min; /* from the last word of the task's worker */
    nm_ms_t start_ms_max;
} silences[] = {
    {"/sched/lapsed-task-waits-for-a-late-report", true, 12000, 28000},
    {"/sched/lapsed-task-of-a-silent-worker-starts", false, 7000, 9000},
};

/*
 * A worker falls silent.  If the owner is behind, the end of its run may be on
 * its way when the lease has lapsed; if others are heard of in time, not.
 */
static void
test_silent_worker(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    for (int i = 0; i < WORKERS; i++) {
        sched_sim_add_worker(&sim, (char[]){'b', (char)('a' + i), '\0'});
    }
    sched_sim_lose_poll(&sim, "a");
    nm_ms_t heard_ms = sim.now_ms;
    nm_ms_t started_ms = 0;
    while (started_ms == 0 && sim.now_ms - heard_ms < 30000) {
        sched_sim_advance(&sim, TICK_MS);
        sched_sim_save_all(&sim);
        if (sched_sim_find_action(&sim, NM_ACTION_START, NULL)) {
            started_ms = sim.now_ms - heard_ms;
        }
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_lose_poll(&sim, "a");
        }
        for (int i = 0; i < WORKERS; i++) {
            const char id[] = {'b', (char)('a' + i), '\0'};
            if (silences[index].behind) {
                report_late(&sim, id);
            }
            else {
                sched_sim_report(&sim, id, 1, NULL, 0, NULL, 0);
            }
        }
    }
    g_assert_cmpint(started_ms, >=, silences[index].start_ms_min);
    g_assert_cmpint(started_ms, <=, silences[index].start_ms_max);
    sched_sim_finish(&sim);
}

/* --- an end that is heard of after its task has been started elsewhere --- */

#define LAPSE_MS 9000

static const struct {
    const char *name;
    bool confirmed; /* the start elsewhere, before the end is heard of */
    nm_end_t end;   /* of the second run */
} late_ends[] = {
    {"/sched/late-end-takes-back-a-start-on-its-way", false, NM_END_STOPPED},
    {"/sched/late-end-stops-a-second-run", true, NM_END_STOPPED},
    {"/sched/late-end-and-a-second-end", true, NM_END_DONE},
    {"/sched/late-end-and-a-failed-second-run", true, NM_END_FAILED},
};

/* Lets the lease of "a" lapse, and the task start on "b"; returns the start.
 */
static nm_sched_action_t
start_elsewhere(sched_sim_t *sim, bool confirmed)
{
    nm_sched_action_t elsewhere = {0};
    for (nm_ms_t passed_ms = 0; passed_ms < LAPSE_MS && elsewhere.run == 0;
         passed_ms += TICK_MS)
    {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_save_all(sim);
        if (sched_sim_find_action(sim, NM_ACTION_POLL, "a")) {
            sched_sim_lose_poll(sim, "a");
        }
        const nm_sched_action_t *start =
            sched_sim_find_action(sim, NM_ACTION_START, "b");
        elsewhere = start ? *start : elsewhere;
    }
    g_assert_cmpstr(elsewhere.worker, ==, "b");
    if (confirmed) {
        nm_sched_on_start(sim->sched, &elsewhere, NM_ORDER_DONE, sim->now_ms);
    }
    return elsewhere;
}

/*
 * The run has ended as done: the task is done, its second run is stopped, and
 * whatever its end, nothing starts any more.
 */
static void
test_late_end(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_action_t first = sched_sim_confirm_starts(&sim);
    sched_sim_lose_poll(&sim, "a");
    sched_sim_add_worker(&sim, "b");
    nm_sched_action_t second =
        start_elsewhere(&sim, late_ends[index].confirmed);
    nm_worker_end_t end = sched_sim_make_end(1, TASK, first.run, NM_END_DONE);
    sched_sim_report(&sim, "a", 1, NULL, 0, &end, 1);
    sched_sim_advance(&sim, TICK_MS);
    const nm_sched_action_t *found =
        sched_sim_find_action(&sim, NM_ACTION_STOP, "b");
    g_assert_nonnull(found);
    if (found) {
        nm_sched_action_t stop = *found;
        g_assert_cmpint(stop.run, ==, second.run);
        nm_sched_on_stop(sim.sched, &stop, NM_ORDER_DONE, sim.now_ms);
    }
    sched_sim_save_all(&sim);
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_COMPLETED);
    end = sched_sim_make_end(1, TASK, second.run, late_ends[index].end);
    sched_sim_report(&sim, "b", 1, NULL, 0, &end, 1);
    for (nm_ms_t passed_ms = 0; passed_ms < LAPSE_MS; passed_ms += TICK_MS) {
        sched_sim_advance(&sim, TICK_MS);
        sched_sim_save_all(&sim);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    }
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_COMPLETED);
    g_assert_cmpuint(nm_sched_query_info(sim.sched).tasks_running, ==, 0);
    sched_sim_finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    for (size_t i = 0; i < NM_COUNT_OF(silences); i++) {
        g_test_add_data_func(silences[i].name, GSIZE_TO_POINTER(i),
                             test_silent_worker);
    }
    g_test_add_func("/sched/unanswered-start-ends-renewal-of-a-silent-worker",
                    test_unanswered_start_ends_renewal);
    for (size_t i = 0; i < NM_COUNT_OF(late_ends); i++) {
        g_test_add_data_func(late_ends[i].name, GSIZE_TO_POINTER(i),
                             test_late_end);
    }
    return g_test_run();
}
