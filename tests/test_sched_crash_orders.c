/*
 * Workers that crash around an order or a report that is lost or late: what
 * counts against the task.
 */
#include <string.h>

#include "lib_sched_sim.h"

/* The rules: the third start after three crashes is one too many. */
#define STARTS_MAX 5
#define WORKERS 12
#define TICK_MS 50
#define PLAY_MS 120000
#define DEREGISTERED_MS 1800

typedef struct {
    sched_sim_t sim;
    int64_t incarnations[WORKERS];
    nm_ms_t crashed_ms[WORKERS]; /* 0: up */
    nm_ms_t restart_ms;          /* 0: crashed workers are gone for good */
    nm_sched_action_t start;     /* newest one */
    nm_ms_t start_ms;            /* when it was first sent; 0: none */
    bool at_work;
    bool orders_late; /* no stop is carried out before the start */
    uint32_t crashes;
} order_sim_t;

static void
order_sim_init(order_sim_t *order, nm_ms_t restart_ms)
{
    *order = (order_sim_t){.restart_ms = restart_ms};
    sched_sim_init(&order->sim, 1);
    for (int w = 0; w < WORKERS; w++) {
        order->incarnations[w] = 1;
        sched_sim_add_worker(&order->sim, (char[]){(char)('a' + w), '\0'});
    }
    sched_sim_add_job(&order->sim, JOB, false, 1, 1000, false);
}

static int
started_worker(const order_sim_t *order)
{
    return order->start.worker[0] - 'a';
}

/* Crashes the worker of the newest start. */
static void
crash_started_worker(order_sim_t *order)
{
    order->at_work = false;
    order->crashes++;
    order->crashed_ms[started_worker(order)] = order->sim.now_ms;
}

static void
report_up(order_sim_t *order, int worker)
{
    nm_worker_run_t row =
        sched_sim_make_run(order->start.task, order->start.run);
    bool listed = order->at_work && worker == started_worker(order);
    sched_sim_report(&order->sim, (char[]){(char)('a' + worker), '\0'},
                     order->incarnations[worker], &row, listed, NULL, 0);
}

static void
report_workers(order_sim_t *order)
{
    for (int w = 0; w < WORKERS; w++) {
        const char id[] = {(char)('a' + w), '\0'};
        nm_ms_t down_ms = order->sim.now_ms - order->crashed_ms[w];
        if (order->crashed_ms[w] == 0) {
            report_up(order, w);
        }
        else if (order->restart_ms > 0 && down_ms >= order->restart_ms) {
            order->crashed_ms[w] = 0;
            sched_sim_announce(&order->sim, id, ++order->incarnations[w]);
        }
        else {
            sched_sim_lose_poll(&order->sim, id);
            if (down_ms >= DEREGISTERED_MS) {
                nm_sched_deregister_worker(order->sim.sched, id);
            }
        }
    }
    sched_sim_save_all(&order->sim);
}

/* Responds to stops; returns the start of this round, or NULL. */
static const nm_sched_action_t *
take_orders(order_sim_t *order)
{
    for (guint i = 0; i < order->sim.actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(order->sim.actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_STOP) {
            bool up = order->crashed_ms[action->worker[0] - 'a'] == 0 &&
                      !(order->orders_late && order->start_ms > 0);
            nm_sched_on_stop(order->sim.sched, action,
                             up ? NM_ORDER_DONE : NM_ORDER_UNKNOWN,
                             order->sim.now_ms);
        }
    }
    const nm_sched_action_t *start =
        sched_sim_find_action(&order->sim, NM_ACTION_START, NULL);
    if (start && start->run != order->start.run) {
        order->start = *start;
        order->start_ms = order->sim.now_ms;
    }
    return start;
}

/* Three workers in a row crash by themselves before a start arrives there. */
static void
test_starts_to_crashed_workers(void)
{
    order_sim_t order;
    order_sim_init(&order, 0);
    for (nm_ms_t t = 0; t < PLAY_MS / 2; t += TICK_MS) {
        sched_sim_advance(&order.sim, TICK_MS);
        const nm_sched_action_t *start = take_orders(&order);
        if (start) {
            if (order.crashes < 3 &&
                order.crashed_ms[started_worker(&order)] == 0) {
                crash_started_worker(&order);
            }
            order.at_work = order.crashed_ms[started_worker(&order)] == 0;
            nm_sched_on_start(order.sim.sched, start,
                              order.at_work ? NM_ORDER_DONE : NM_ORDER_UNKNOWN,
                              order.sim.now_ms);
        }
        report_workers(&order);
    }
    g_assert_cmpuint(order.crashes, ==, 3);
    g_assert_cmpint(nm_sched_query_job(order.sim.sched, JOB), ==,
                    NM_JOB_RUNNING);
    sched_sim_finish(&order.sim);
}

/*
 * Orders get no response; starts are carried out, and deadly, after 1.2 s, and
 * stops later than that.
 */
static void
test_late_starts_are_counted(void)
{
    enum { DELAY_MS = 1200, TIMEOUT_MS = 450, RESTART_MS = 4000 };
    order_sim_t order;
    order_sim_init(&order, RESTART_MS);
    order.orders_late = true;
    nm_sched_action_t unanswered = {0};
    nm_ms_t timeout_ms = 0;
    for (nm_ms_t t = 0; t < PLAY_MS; t += TICK_MS) {
        sched_sim_advance(&order.sim, TICK_MS);
        const nm_sched_action_t *start = take_orders(&order);
        if (start) {
            unanswered = *start;
            timeout_ms = order.sim.now_ms + TIMEOUT_MS;
        }
        if (timeout_ms > 0 && order.sim.now_ms >= timeout_ms) {
            timeout_ms = 0;
            nm_sched_on_start(order.sim.sched, &unanswered, NM_ORDER_UNKNOWN,
                              order.sim.now_ms);
        }
        if (order.start_ms > 0 &&
            order.sim.now_ms - order.start_ms >= DELAY_MS) {
            order.start_ms = 0;
            crash_started_worker(&order);
        }
        report_workers(&order);
    }
    g_test_message("%u starts", order.crashes);
    g_assert_cmpuint(order.crashes, >=, 2);
    g_assert_cmpuint(order.crashes, <=, STARTS_MAX);
    sched_sim_finish(&order.sim);
}

/* The deadly task is in a report that was sent at once, but comes late. */
static void
test_late_reports_do_not_clear(void)
{
    enum { LATE_MS = 1100, RESTART_MS = 4000 };
    order_sim_t order;
    order_sim_init(&order, RESTART_MS);
    for (nm_ms_t t = 0; t < PLAY_MS; t += TICK_MS) {
        sched_sim_advance(&order.sim, TICK_MS);
        const nm_sched_action_t *start = take_orders(&order);
        if (start && order.crashed_ms[started_worker(&order)] == 0) {
            nm_sched_on_start(order.sim.sched, start, NM_ORDER_DONE,
                              order.sim.now_ms);
            crash_started_worker(&order);
        }
        if (order.start_ms > 0 && order.sim.now_ms - order.start_ms >= LATE_MS)
        {
            nm_worker_run_t row =
                sched_sim_make_run(order.start.task, order.start.run);
            nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                         .incarnation =
                                             order.start.incarnation,
                                         .clock_ms = order.start_ms + 5,
                                         .sent_ms = order.start_ms + 5,
                                         .complete = true,
                                         .running = &row,
                                         .running_count = 1};
            nm_sched_on_late_report(order.sim.sched, order.start.worker,
                                    &report, order.sim.now_ms);
            order.start_ms = 0;
        }
        report_workers(&order);
    }
    g_test_message("%u starts", order.crashes);
    g_assert_cmpuint(order.crashes, >=, 2);
    g_assert_cmpuint(order.crashes, <=, STARTS_MAX);
    sched_sim_finish(&order.sim);
}
int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/starts-to-crashed-workers-do-not-fail-job",
                    test_starts_to_crashed_workers);
    g_test_add_func("/sched/late-deadly-starts-are-counted",
                    test_late_starts_are_counted);
    g_test_add_func("/sched/late-reports-do-not-clear-suspects",
                    test_late_reports_do_not_clear);
    return g_test_run();
}
