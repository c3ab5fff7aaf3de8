/*
 * Tests of the count of pending jobs: a job has begun when a run of one of its
 * tasks is known to be, or to have been, on a worker; an order does not show
 * that.
 */
#include <string.h>

#include "lib_sched_sim.h"

#define QUEUE "batch"
#define RESPONSE_PENDING (-1)
#define LATER_MS 100

static void
check_pending(const sched_sim_t *sim, uint32_t pending)
{
    g_assert_cmpint(nm_sched_query_pending(sim->sched, QUEUE), ==, pending);
    g_assert_cmpint(nm_sched_query_job(sim->sched, JOB), ==,
                    pending > 0 ? NM_JOB_QUEUED : NM_JOB_RUNNING);
}

/* Adds workers "a" and "b" and a job; returns the start sent for it. */
static nm_sched_action_t
begin_start(sched_sim_t *sim)
{
    sched_sim_init(sim, 1);
    sched_sim_add_worker(sim, "a");
    sched_sim_add_worker(sim, "b");
    sched_sim_add_job(sim, JOB, false, 1, 1000, false);
    sched_sim_advance(sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(sim, NM_ACTION_START, NULL);
    g_assert_nonnull(start);
    return *start;
}

/* What a worker lists after the response to the start. */
typedef enum { LISTS_NOTHING, LISTS_RUN, LISTS_END } list_t;

static void
report_run(sched_sim_t *sim, const char *worker, int64_t run, list_t list)
{
    nm_worker_run_t running = sched_sim_make_run(TASK, run);
    nm_worker_end_t end = sched_sim_make_end(1, TASK, run, NM_END_STOPPED);
    sched_sim_report(sim, worker, 1, &running, list == LISTS_RUN, &end,
                     list == LISTS_END);
}

/*
 * A start that is late, lost, refused or not sent must leave the job pending;
 * a start that was carried out must not.
 */
static void
test_order_counts_as_begun(void)
{
    static const struct {
        const char *name;
        int response;
        list_t list;
        uint32_t pending;
    } cases[] = {
        {"no response yet", RESPONSE_PENDING, LISTS_NOTHING, 1},
        {"lost", NM_ORDER_UNKNOWN, LISTS_NOTHING, 1},
        {"not sent", NM_ORDER_NOT_SENT, LISTS_NOTHING, 1},
        {"no capacity", NM_ORDER_NO_CAPACITY, LISTS_NOTHING, 1},
        {"not run", NM_ORDER_NOT_RUN, LISTS_NOTHING, 1},
        {"expired", NM_ORDER_EXPIRED, LISTS_NOTHING, 1},
        {"superseded", NM_ORDER_SUPERSEDED, LISTS_NOTHING, 1},
        {"confirmed", NM_ORDER_DONE, LISTS_NOTHING, 0},
        {"no response yet, listed", RESPONSE_PENDING, LISTS_RUN, 0},
        {"lost, listed", NM_ORDER_UNKNOWN, LISTS_RUN, 0},
        {"lost, ended", NM_ORDER_UNKNOWN, LISTS_END, 0},
        {"expired, listed", NM_ORDER_EXPIRED, LISTS_RUN, 0},
        {"confirmed, stopped", NM_ORDER_DONE, LISTS_END, 0},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        nm_sched_action_t start = begin_start(&sim);
        check_pending(&sim, 1);
        if (cases[i].response != RESPONSE_PENDING) {
            nm_sched_on_start(sim.sched, &start,
                              (nm_order_result_t)cases[i].response,
                              sim.now_ms);
        }
        sim.now_ms += LATER_MS;
        if (cases[i].list != LISTS_NOTHING) {
            report_run(&sim, start.worker, start.run, cases[i].list);
        }
        check_pending(&sim, cases[i].pending);
        sched_sim_finish(&sim);
    }
}

/* The response to a start that was withdrawn meanwhile shows that it began. */
static void
test_confirmation_of_a_withdrawn_start(void)
{
    sched_sim_t sim;
    nm_sched_action_t start = begin_start(&sim);
    nm_sched_on_start(sim.sched, &start, NM_ORDER_EXPIRED, sim.now_ms);
    check_pending(&sim, 1);
    nm_sched_on_start(sim.sched, &start, NM_ORDER_DONE, sim.now_ms);
    check_pending(&sim, 0);
    sched_sim_finish(&sim);
}

/* A run that is not its task's current one shows that the job has begun. */
static void
test_unexpected_run_of_a_pending_job(void)
{
    sched_sim_t sim;
    nm_sched_action_t start = begin_start(&sim);
    nm_sched_on_start(sim.sched, &start, NM_ORDER_NO_CAPACITY, sim.now_ms);
    check_pending(&sim, 1);
    report_run(&sim, start.worker, start.run, LISTS_RUN);
    check_pending(&sim, 0);
    sched_sim_finish(&sim);
}

/* A start that is not carried out is no first start of the job. */
static void
test_first_start_of_an_unanswered_order(void)
{
    sched_sim_t sim;
    nm_sched_action_t start = begin_start(&sim);
    nm_sched_job_info_t info;
    nm_sched_on_start(sim.sched, &start, NM_ORDER_NO_CAPACITY, sim.now_ms);
    g_assert_true(nm_sched_query_job_info(sim.sched, JOB, &info));
    g_assert_cmpint(info.first_start_ms, ==, -1);
    sched_sim_advance(&sim, LATER_MS);
    nm_sched_action_t next = sched_sim_confirm_starts(&sim);
    g_assert_cmpint(next.type, ==, NM_ACTION_START);
    g_assert_true(nm_sched_query_job_info(sim.sched, JOB, &info));
    g_assert_cmpint(info.first_start_ms, >=, LATER_MS);
    sched_sim_finish(&sim);
}

/* The count of a new owner must agree with the stored progress. */
static void
test_count_after_a_takeover(void)
{
    static const struct {
        const char *record;
        uint32_t pending;
    } cases[] = {
        {NULL, 1},
        {"{\"version\":1,\"state\":\"queued\",\"done\":[[\".\"]]}", 1},
        {"{\"version\":1,\"state\":\"running\",\"done\":[[\".\"]]}", 0},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("case %zu", i);
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        if (cases[i].record) {
            g_assert_cmpint(
                nm_sched_restore(sim.sched, JOB, cases[i].record,
                                 (uint32_t)strlen(cases[i].record)),
                ==, NM_OK);
        }
        check_pending(&sim, cases[i].pending);
        sched_sim_finish(&sim);
    }
}

/* A run, or an end, that a former owner started is listed to the new one. */
static void
test_count_with_runs_of_a_former_owner(void)
{
    static const list_t lists[] = {LISTS_RUN, LISTS_END};
    for (size_t i = 0; i < NM_COUNT_OF(lists); i++) {
        g_test_message("case %zu", i);
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        sched_sim_announce(&sim, "a", 1);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        sched_sim_advance(&sim, 10);
        check_pending(&sim, 1);
        report_run(&sim, "a", 1, lists[i]);
        check_pending(&sim, 0);
        sched_sim_finish(&sim);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    static const struct {
        const char *name;
        void (*run)(void);
    } cases[] = {
        {"/pending/order-counts-as-begun", test_order_counts_as_begun},
        {"/pending/confirmation-of-a-withdrawn-start-is-missed",
         test_confirmation_of_a_withdrawn_start},
        {"/pending/unexpected-run-leaves-its-job-pending",
         test_unexpected_run_of_a_pending_job},
        {"/pending/first-start-of-an-unanswered-order",
         test_first_start_of_an_unanswered_order},
        {"/pending/takeover-forgets-what-has-begun",
         test_count_after_a_takeover},
        {"/pending/runs-of-a-former-owner-leave-their-job-pending",
         test_count_with_runs_of_a_former_owner},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
