/*
 * Ends that the owner has processed and not stored yet: a worker lists them in
 * each report, and a carrier leaves out those that the poll names.
 */
#include "lib_sched_sim.h"

/* Within this time, a worker with a task is polled again. */
#define POLL_MAX_MS 3000

/* Returns the next poll of the worker "a". */
static nm_sched_action_t
next_poll(sched_sim_t *sim)
{
    for (nm_ms_t t = 0; t < POLL_MAX_MS; t += 10) {
        sched_sim_advance(sim, 10);
        const nm_sched_action_t *poll =
            sched_sim_find_action(sim, NM_ACTION_POLL, "a");
        if (poll) {
            return *poll;
        }
    }
    g_assert_not_reached();
}

/* A worker runs three tasks, the first two of which end as done. */
static void
init_with_ends(sched_sim_t *sim, nm_worker_end_t ends[2])
{
    sched_sim_init(sim, 1);
    sched_sim_add_worker(sim, "a");
    sched_sim_add_job(sim, JOB, false, 3, 1000, false);
    sched_sim_advance(sim, 30);
    sched_sim_confirm_starts(sim);
    ends[0] = sched_sim_make_end(1, JOB ".0.0.0", 1, NM_END_DONE);
    ends[1] = sched_sim_make_end(2, JOB ".0.0.1", 1, NM_END_DONE);
}

static void
test_polls_name_processed_ends(void)
{
    static const struct {
        const char *name;
        uint32_t ends; /* listed before */
        bool lost;     /* the report that lists them */
        bool stored;
        int64_t incarnation; /* of the worker, at the poll */
        int64_t ends_known;
        int64_t acked;
    } cases[] = {
        {"no ends", 0, false, false, 1, 0, 0},
        {"one end", 1, false, false, 1, 1, 0},
        {"two ends", 2, false, false, 1, 2, 0},
        {"lost report", 2, true, false, 1, 0, 0},
        {"stored", 2, false, true, 1, 2, 2},
        {"restarted worker", 2, false, false, 2, 0, 0},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        nm_worker_end_t ends[2];
        init_with_ends(&sim, ends);
        nm_worker_run_t run = sched_sim_make_run(JOB ".0.0.2", 1);
        sim.now_ms += 1000;
        if (cases[i].lost) {
            sched_sim_lose_poll(&sim, "a");
        }
        else {
            sched_sim_report(&sim, "a", 1, &run, 1, ends, cases[i].ends);
        }
        if (cases[i].stored) {
            sched_sim_advance(&sim, 10);
            sched_sim_save_all(&sim);
        }
        if (cases[i].incarnation > 1) {
            sched_sim_announce(&sim, "a", cases[i].incarnation);
        }
        nm_sched_action_t poll = next_poll(&sim);
        g_assert_cmpint(poll.incarnation, ==, cases[i].incarnation);
        g_assert_cmpint(poll.ends_known, ==, cases[i].ends_known);
        g_assert_cmpint(poll.acked, ==, cases[i].acked);
        sched_sim_finish(&sim);
    }
}

/*
 * A report that leaves out ends which the owner does not know, as a late one
 * for a worker that was forgotten meanwhile: acknowledging a later end would
 * drop those before it.
 */
static void
test_later_ends_wait_for_unknown_ones(void)
{
    static const struct {
        const char *name;
        int64_t ends_known; /* of the poll that the report responds to */
        uint32_t first;     /* end that it lists first */
        int64_t processed;  /* ends, after it */
    } cases[] = {
        {"all ends are listed", 0, 0, 2},
        {"the first end is left out, unknown", 1, 1, 0},
        {"all ends are left out, unknown", 2, 2, 0},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        nm_worker_end_t ends[2];
        init_with_ends(&sim, ends);
        nm_worker_run_t run = sched_sim_make_run(JOB ".0.0.2", 1);
        sim.now_ms += 1000;
        nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                     .incarnation = 1,
                                     .clock_ms = sim.now_ms,
                                     .sent_ms = sim.now_ms,
                                     .complete = true,
                                     .running = &run,
                                     .running_count = 1,
                                     .ends = ends + cases[i].first,
                                     .end_count = 2 - cases[i].first,
                                     .ends_known = cases[i].ends_known};
        nm_sched_on_report(sim.sched, "a", &report, sim.now_ms);
        nm_sched_action_t poll = next_poll(&sim);
        g_assert_cmpint(poll.ends_known, ==, cases[i].processed);
        g_assert_cmpint(poll.acked, ==, 0);
        sched_sim_report(&sim, "a", 1, &run, 1, ends, 2);
        sched_sim_advance(&sim, 10);
        sched_sim_save_all(&sim);
        poll = next_poll(&sim);
        g_assert_cmpint(poll.ends_known, ==, 2);
        g_assert_cmpint(poll.acked, ==, 2);
        sched_sim_finish(&sim);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/known-ends/polls-name-processed-ends",
                    test_polls_name_processed_ends);
    g_test_add_func("/known-ends/later-ends-wait-for-unknown-ones",
                    test_later_ends_wait_for_unknown_ones);
    return g_test_run();
}
