/*
 * Tests of workers that restart under their ids, receive orders by the clock
 * of their former incarnation, and then fall silent: the lease that such an
 * order gives is the longest one that workers allow.
 */
#include "lib_sched_sim.h"

#define TICK_MS 100
/* The longest lease of a worker, on its own clock. */
#define LEASE_LIMIT_MS 10000
#define CLOCK_SLOW_FACTOR 1.02
#define LEASE_LIMIT_SLOW_MS ((nm_ms_t)(LEASE_LIMIT_MS * CLOCK_SLOW_FACTOR))
/* The lease that owners give; a next owner waits little longer for it. */
#define LEASE_MS 7000
#define WAIT_MAX_MS 30000
#define MARGIN_MS 1000

static int64_t
unix_ms(const sched_sim_t *sim)
{
    return sim->unix_offset_ms + sim->now_ms;
}

/*
 * Loses the polls of "a" until a start is sent to "b"; returns that time, or
 * NM_MS_NEVER after WAIT_MAX_MS.
 */
static nm_ms_t
lose_polls_until_start(sched_sim_t *sim)
{
    nm_ms_t begun_ms = sim->now_ms;
    while (sim->now_ms - begun_ms < WAIT_MAX_MS) {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_save_all(sim);
        if (sched_sim_find_action(sim, NM_ACTION_POLL, "a")) {
            sched_sim_lose_poll(sim, "a");
        }
        if (sched_sim_find_action(sim, NM_ACTION_POLL, "b")) {
            sched_sim_report(sim, "b", 1, NULL, 0, NULL, 0);
        }
        if (sched_sim_find_action(sim, NM_ACTION_START, "b")) {
            return sim->now_ms;
        }
    }
    return NM_MS_NEVER;
}

/*
 * A next owner does not hear from "a", which a former owner may have sent
 * orders by the clock of a life before: a task starts elsewhere only after
 * the longest lease.  Of a worker that has lived for long it waits for the
 * usual lease, as LOST holds for its tasks.
 */
static void
test_next_owner_waits_for_a_lease_by_a_former_clock(void)
{
    static const struct {
        const char *name;
        nm_ms_t age_ms;        /* of its life as the former term ends */
        int64_t announcements; /* until then; 0: not known */
        nm_ms_t restarts_ms;   /* announced so much later; 0: it does not */
        bool roster;           /* the former owner has used it */
        nm_ms_t start_ms_min;
        nm_ms_t start_ms_max;
    } cases[] = {
        {"restarted before", 2000, 0, 0, true, LEASE_LIMIT_SLOW_MS,
         LEASE_LIMIT_SLOW_MS + MARGIN_MS},
        {"clock ahead", -3000, 0, 0, true, LEASE_LIMIT_SLOW_MS,
         LEASE_LIMIT_SLOW_MS + MARGIN_MS},
        {"restarts after the election", 600000, 0, 500, true,
         LEASE_LIMIT_SLOW_MS, LEASE_LIMIT_SLOW_MS + MARGIN_MS},
        {"restarts as its lease lapses", 600000, 0, 6500, true,
         LEASE_LIMIT_SLOW_MS, LEASE_LIMIT_SLOW_MS + MARGIN_MS},
        {"lives on", 600000, 0, 0, true, LEASE_MS, LEASE_MS + MARGIN_MS},
        {"restarted before, clock behind", 600000, 2, 0, true,
         LEASE_LIMIT_SLOW_MS, LEASE_LIMIT_SLOW_MS + MARGIN_MS},
        {"restarted long ago, clock ahead", 2000, 100, 0, true,
         LEASE_LIMIT_SLOW_MS, LEASE_LIMIT_SLOW_MS + MARGIN_MS},
        {"lives on, many announcements", 600000, INT64_C(1) << 53, 0, true,
         LEASE_MS, LEASE_MS + MARGIN_MS},
        {"was not in the roster", 2000, 0, 0, false, LEASE_LIMIT_SLOW_MS,
         LEASE_LIMIT_SLOW_MS + MARGIN_MS},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("%s", cases[c].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        sim.unix_offset_ms = 1700000000000;
        sched_sim_advance(&sim, 0);
        if (cases[c].roster) {
            nm_sched_expect_worker(sim.sched, "a", sim.now_ms);
        }
        int64_t born_ms = unix_ms(&sim) - cases[c].age_ms;
        sched_sim_announce_again(&sim, "a", born_ms, cases[c].announcements);
        sched_sim_announce(&sim, "b", 1);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        nm_ms_t until_ms = sim.now_ms;
        nm_sched_activate(sim.sched, until_ms);
        nm_ms_t restart_ms = until_ms + cases[c].restarts_ms;
        while (sim.now_ms < restart_ms) {
            sched_sim_advance(&sim, TICK_MS);
            if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
                sched_sim_lose_poll(&sim, "a");
            }
            if (sched_sim_find_action(&sim, NM_ACTION_POLL, "b")) {
                sched_sim_report(&sim, "b", 1, NULL, 0, NULL, 0);
            }
        }
        if (cases[c].restarts_ms > 0) {
            sched_sim_announce(&sim, "a", unix_ms(&sim));
        }
        nm_ms_t start_ms = lose_polls_until_start(&sim) - until_ms;
        g_assert_cmpint(start_ms, >=, cases[c].start_ms_min);
        g_assert_cmpint(start_ms, <=, cases[c].start_ms_max);
        sched_sim_finish(&sim);
    }
}

/*
 * The former term proves to have ended earlier: that shortens the wait for
 * the lease by a former clock by as much, and no more.
 */
static void
test_proved_end_keeps_the_longest_lease(void)
{
    enum { LATEST_MS = 5000 };
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    sim.unix_offset_ms = 1700000000000;
    sched_sim_advance(&sim, 0);
    nm_sched_expect_worker(sim.sched, "a", sim.now_ms);
    sched_sim_announce(&sim, "a", unix_ms(&sim) - 2000);
    sched_sim_announce(&sim, "b", 1);
    sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
    nm_ms_t until_ms = sim.now_ms;
    nm_sched_activate(sim.sched, until_ms + LATEST_MS);
    nm_sched_set_former_until(sim.sched, until_ms);
    nm_ms_t start_ms = lose_polls_until_start(&sim) - until_ms;
    g_assert_cmpint(start_ms, >=, LEASE_LIMIT_SLOW_MS);
    g_assert_cmpint(start_ms, <=, LEASE_LIMIT_SLOW_MS + MARGIN_MS);
    sched_sim_finish(&sim);
}

/* Loses the polls of "a" until its lease counts as lapsed; returns that time.
 */
static nm_ms_t
lose_polls_until_lapse(sched_sim_t *sim)
{
    nm_ms_t begun_ms = sim->now_ms;
    while (sim->now_ms - begun_ms < WAIT_MAX_MS) {
        sched_sim_lose_poll(sim, "a");
        sched_sim_advance(sim, TICK_MS);
        nm_sched_event_t event;
        while (nm_sched_next_event(sim->sched, &event)) {
            if (event.type == NM_SCHED_EVENT_WORKER_LAPSED) {
                return sim->now_ms;
            }
        }
    }
    return NM_MS_NEVER;
}

/*
 * A worker that restarted shortly before an election tells the next owner of a
 * run, before the former term is proved over, and falls silent: its lease may
 * be the longest one.  That of a worker that has lived for long is not.
 */
static void
test_run_of_a_restarted_worker_is_taken_over(void)
{
    enum { UNPROVED_MS = 60000 };
    static const struct {
        nm_ms_t age_ms;
        nm_ms_t lapse_ms_min;
    } cases[] = {{2000, LEASE_LIMIT_SLOW_MS}, {600000, LEASE_MS}};
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        sim.unix_offset_ms = 1700000000000;
        sched_sim_advance(&sim, 0);
        nm_sched_expect_worker(sim.sched, "a", sim.now_ms);
        int64_t born_ms = unix_ms(&sim) - cases[c].age_ms;
        sched_sim_announce(&sim, "a", born_ms);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        nm_sched_activate(sim.sched, sim.now_ms + UNPROVED_MS);
        sched_sim_advance(&sim, 10);
        nm_worker_run_t run = sched_sim_make_run(TASK, 1);
        sched_sim_report(&sim, "a", born_ms, &run, 1, NULL, 0);
        nm_ms_t heard_ms = sim.now_ms;
        nm_sched_set_former_until(sim.sched, sim.now_ms);
        nm_ms_t lapse_ms = lose_polls_until_lapse(&sim) - heard_ms;
        g_assert_cmpint(lapse_ms, >=, cases[c].lapse_ms_min);
        g_assert_cmpint(lapse_ms, <=, cases[c].lapse_ms_min + MARGIN_MS);
        sched_sim_finish(&sim);
    }
}

/* Announces and polls the next incarnation of "a", which runs nothing. */
static void
restart_a(sched_sim_t *sim)
{
    sched_sim_announce(sim, "a", 2);
    sched_sim_advance(sim, 10);
    sched_sim_report(sim, "a", 2, NULL, 0, NULL, 0);
    sched_sim_advance(sim, 10);
}

/*
 * A worker without tasks restarts, and an order by its former clock reaches
 * the new incarnation before the owner has noticed, or is under way then: the
 * lease of tasks that start there must not count as lapsed before that one.
 */
static void
test_order_in_flight_at_a_restart_extends_the_lease(void)
{
    static const struct {
        const char *name;
        bool poll; /* else a start */
        nm_order_result_t result;
        nm_ms_t response_ms; /* after the restart was noticed */
    } cases[] = {
        {"before it is noticed", true, NM_ORDER_DONE, 0},
        {"poll", true, NM_ORDER_DONE, 900},
        {"start", false, NM_ORDER_DONE, 900},
        {"start that is refused", false, NM_ORDER_NO_CAPACITY, 900},
        {"start that is old", false, NM_ORDER_SUPERSEDED, 900},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("%s", cases[c].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_worker(&sim, "a");
        sched_sim_advance(&sim, 10);
        nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                     .incarnation = 2,
                                     .clock_ms = 100,
                                     .sent_ms = sim.now_ms,
                                     .complete = true};
        nm_sched_action_t start = {.incarnation = 1, .run = 1};
        nm_strcopy(start.worker, sizeof(start.worker), "a");
        nm_strcopy(start.task, sizeof(start.task), TASK);
        restart_a(&sim);
        for (nm_ms_t ms = 0; ms < cases[c].response_ms; ms += TICK_MS) {
            sched_sim_advance(&sim, TICK_MS);
        }
        nm_ms_t received_ms = sim.now_ms;
        if (cases[c].response_ms > 0 && cases[c].poll) {
            nm_sched_on_report(sim.sched, "a", &report, sim.now_ms);
        }
        else if (cases[c].response_ms > 0) {
            nm_sched_on_start(sim.sched, &start, cases[c].result, sim.now_ms);
        }
        sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
        sched_sim_advance(&sim, 30);
        nm_sched_action_t started = sched_sim_confirm_starts(&sim);
        g_assert_cmpstr(started.worker, ==, "a");
        nm_ms_t lapse_ms = lose_polls_until_lapse(&sim) - received_ms;
        g_assert_cmpint(lapse_ms, >=, LEASE_LIMIT_SLOW_MS);
        g_assert_cmpint(lapse_ms, <=, LEASE_LIMIT_SLOW_MS + MARGIN_MS);
        sched_sim_finish(&sim);
    }
}

/*
 * The response to a start shows that a later incarnation has begun it, and the
 * worker falls silent before any report: the lease may be the longest one, the
 * start is withdrawn, and the crash before it does not count against the task.
 */
static void
test_start_begun_by_a_later_incarnation(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_on_start(sim.sched, start, NM_ORDER_LATER_INCARNATION,
                      sim.now_ms);
    nm_ms_t begun_ms = sim.now_ms;
    nm_sched_event_t event;
    g_assert_true(nm_sched_next_event(sim.sched, &event));
    g_assert_cmpint(event.type, ==, NM_SCHED_EVENT_START_MISDIRECTED);
    sched_sim_advance(&sim, 10);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_STOP, "a"));
    nm_ms_t lapse_ms = lose_polls_until_lapse(&sim) - begun_ms;
    g_assert_cmpint(lapse_ms, >=, LEASE_LIMIT_SLOW_MS);
    g_assert_cmpint(lapse_ms, <=, LEASE_LIMIT_SLOW_MS + MARGIN_MS);
    sched_sim_announce(&sim, "a", 2);
    while (nm_sched_next_event(sim.sched, &event)) {
        g_assert_cmpint(event.type, !=, NM_SCHED_EVENT_RUN_LOST);
        g_assert_cmpint(event.type, !=, NM_SCHED_EVENT_CRASH_RESOLVED);
    }
    sched_sim_finish(&sim);
}

/* Returns the ack of the next poll of "a". */
static int64_t
next_poll_acked(sched_sim_t *sim)
{
    for (nm_ms_t ms = 0; ms < WAIT_MAX_MS; ms += TICK_MS) {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_save_all(sim);
        const nm_sched_action_t *poll =
            sched_sim_find_action(sim, NM_ACTION_POLL, "a");
        if (poll) {
            return poll->acked;
        }
    }
    return -1;
}

/*
 * After a poll without a response the worker may have restarted, and ended a
 * run that a start in flight has begun there: the next poll must not make it
 * drop that end, which has a number of the new incarnation.
 */
static void
test_poll_after_a_lost_one_drops_no_ends(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 2, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_action_t started = sched_sim_confirm_starts(&sim);
    nm_worker_end_t end =
        sched_sim_make_end(7, started.task, started.run, NM_END_DONE);
    nm_worker_run_t run = sched_sim_make_run(TASK, started.run);
    sched_sim_report(&sim, "a", 1, &run, 1, &end, 1);
    g_assert_cmpint(next_poll_acked(&sim), ==, 7);
    sched_sim_lose_poll(&sim, "a");
    g_assert_cmpint(next_poll_acked(&sim), ==, 0);
    sched_sim_report(&sim, "a", 1, &run, 1, &end, 1);
    g_assert_cmpint(next_poll_acked(&sim), ==, 7);
    sched_sim_finish(&sim);
}

/* The same while "a" goes on announcing itself, each time as often. */
static nm_ms_t
lose_polls_beside_heartbeats(sched_sim_t *sim, int64_t incarnation)
{
    enum { HEARTBEAT_MS = 1500 };
    nm_ms_t begun_ms = sim->now_ms;
    for (int64_t count = 1; sim->now_ms - begun_ms < WAIT_MAX_MS; count++) {
        sched_sim_announce_again(sim, "a", incarnation, count);
        for (nm_ms_t ms = 0; ms < HEARTBEAT_MS; ms += TICK_MS) {
            sched_sim_lose_poll(sim, "a");
            sched_sim_advance(sim, TICK_MS);
            nm_sched_event_t event;
            while (nm_sched_next_event(sim->sched, &event)) {
                if (event.type == NM_SCHED_EVENT_WORKER_LAPSED) {
                    return sim->now_ms;
                }
            }
        }
    }
    return NM_MS_NEVER;
}

/*
 * A worker restarts while its time of day is set back, announces itself and
 * is cut off before it responds to a poll: a start in flight may have given
 * the new life the longest lease, whichever way its clock was set.
 */
static void
test_announcement_born_earlier_extends_the_lease(void)
{
    enum { BORN = 50000, AT_WORK_MS = 3000 };
    static const int64_t next_born[] = {BORN + 5000, BORN - 5000};
    for (size_t c = 0; c < NM_COUNT_OF(next_born); c++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_announce_again(&sim, "a", BORN, 1);
        sched_sim_advance(&sim, 10);
        sched_sim_report(&sim, "a", BORN, NULL, 0, NULL, 0);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
        sched_sim_advance(&sim, 30);
        nm_sched_action_t start = sched_sim_confirm_starts(&sim);
        nm_worker_run_t run = sched_sim_make_run(TASK, start.run);
        for (nm_ms_t ms = 0; ms < AT_WORK_MS; ms += TICK_MS) {
            sched_sim_advance(&sim, TICK_MS);
            /* No poll is in flight at the restart: it would extend it, too. */
            sched_sim_report(&sim, "a", BORN, &run, 1, NULL, 0);
        }
        nm_ms_t announced_ms = sim.now_ms;
        nm_ms_t lapse_ms =
            lose_polls_beside_heartbeats(&sim, next_born[c]) - announced_ms;
        g_test_message("born %lld: %lld ms", (long long)next_born[c],
                       (long long)lapse_ms);
        g_assert_cmpint(lapse_ms, >=, LEASE_LIMIT_SLOW_MS);
        g_assert_cmpint(lapse_ms, <=, LEASE_LIMIT_SLOW_MS + MARGIN_MS);
        sched_sim_finish(&sim);
    }
}

/* Confirms a start on "a", and reports its run for some time. */
static void
work_on(sched_sim_t *sim, int64_t incarnation, int64_t run)
{
    enum { AT_WORK_MS = 10000 };
    sched_sim_confirm_starts(sim);
    nm_worker_run_t row = sched_sim_make_run(TASK, run);
    for (nm_ms_t ms = 0; ms < AT_WORK_MS; ms += TICK_MS) {
        sched_sim_report(sim, "a", incarnation, &row, 1, NULL, 0);
        sched_sim_advance(sim, TICK_MS);
        sched_sim_save_all(sim);
    }
}

/*
 * Lets the job's task start on an incarnation of "a", which has nothing of
 * before.  Returns the fencing token of the start; -1: there is none.
 */
static int64_t
start_on(sched_sim_t *sim, int64_t incarnation)
{
    for (nm_ms_t ms = 0; ms < WAIT_MAX_MS; ms += TICK_MS) {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_save_all(sim);
        const nm_sched_action_t *start =
            sched_sim_find_action(sim, NM_ACTION_START, "a");
        if (start) {
            int64_t token = nm_sched_fencing_token(1, start);
            work_on(sim, incarnation, start->run);
            return token;
        }
        sched_sim_report(sim, "a", incarnation, NULL, 0, NULL, 0);
    }
    return -1;
}

/* Removes "a" with its lease; its orders stay unanswered. */
static void
forget_worker(sched_sim_t *sim)
{
    enum { FORGOTTEN_MS = 30000 };
    nm_sched_deregister_worker(sim->sched, "a");
    char *removed = NULL;
    for (nm_ms_t ms = 0; ms < FORGOTTEN_MS && !removed; ms += TICK_MS) {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_lose_poll(sim, "a");
        removed = nm_sched_next_removed(sim->sched);
    }
    g_assert_nonnull(removed);
    g_free(removed);
}

/*
 * Guards against TWICE: an order that a worker's former incarnation left
 * unanswered, e.g. a poll that acknowledges ends, is carried out by the next
 * one, which drops an end of its own.  The start of a task has a higher
 * fencing token than all orders to the former incarnation.
 */
static void
test_next_incarnation_refuses_orders_to_the_former_one(void)
{
    static const struct {
        const char *name;
        int64_t incarnations[3]; /* one after the other */
        bool is_forgotten;       /* before the last one */
    } cases[] = {
        {"restarts", {5, 6, 7}, false},
        {"restarts with its clock set back", {5, 4, 3}, false},
        {"is removed and comes back", {5, 6, 7}, true},
        {"is removed while it lives", {5, 6, 6}, true},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("%s", cases[c].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
        int64_t token_max = 0;
        for (size_t i = 0; i < NM_COUNT_OF(cases[c].incarnations); i++) {
            if (i == 2 && cases[c].is_forgotten) {
                forget_worker(&sim);
            }
            sched_sim_announce(&sim, "a", cases[c].incarnations[i]);
            int64_t token = start_on(&sim, cases[c].incarnations[i]);
            g_assert_cmpint(token, >, token_max);
            token_max = token;
        }
        sched_sim_finish(&sim);
    }
}

/*
 * The next incarnation answers an order to the former one with the refusal
 * that otherwise shows a newer owner; this owner goes on.
 */
static void
test_refusal_of_an_order_to_a_former_incarnation(void)
{
    static const struct {
        nm_sched_action_type_t type;
        bool restarts; /* between the order and its refusal */
        bool removed;  /* its id is not known any more */
    } cases[] = {
        {NM_ACTION_START, true, false},    {NM_ACTION_START, false, false},
        {NM_ACTION_STOP, true, false},     {NM_ACTION_STOP, false, false},
        {NM_ACTION_THROTTLE, true, false}, {NM_ACTION_THROTTLE, false, false},
        {NM_ACTION_POLL, true, false},     {NM_ACTION_POLL, false, false},
        {NM_ACTION_THROTTLE, false, true},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("type %d, restarts %d, removed %d", cases[c].type,
                       cases[c].restarts, cases[c].removed);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_worker(&sim, "a");
        nm_sched_worker_t desc;
        g_assert_true(nm_sched_query_worker(sim.sched, "a", &desc));
        nm_sched_action_t order = {.type = cases[c].type, .run = 1};
        nm_strcopy(order.worker, sizeof(order.worker),
                   cases[c].removed ? "gone" : "a");
        nm_strcopy(order.task, sizeof(order.task), TASK);
        order.incarnation = desc.incarnation;
        order.fence_seq = nm_sched_query_fence_seq(sim.sched, order.worker);
        if (cases[c].restarts) {
            sched_sim_announce(&sim, "a", desc.incarnation + 1);
        }
        nm_worker_report_t report = {.result = NM_ORDER_FENCED};
        switch (cases[c].type) {
        case NM_ACTION_START:
            nm_sched_on_start(sim.sched, &order, NM_ORDER_FENCED, sim.now_ms);
            break;
        case NM_ACTION_STOP:
            nm_sched_on_stop(sim.sched, &order, NM_ORDER_FENCED, sim.now_ms);
            break;
        case NM_ACTION_THROTTLE:
            nm_sched_on_throttle(sim.sched, &order, NM_ORDER_FENCED,
                                 sim.now_ms);
            break;
        default:
            nm_sched_on_report(sim.sched, "a", &report, sim.now_ms);
            break;
        }
        g_assert_true(nm_sched_query_fenced(sim.sched) == !cases[c].restarts);
        sched_sim_finish(&sim);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/next-owner-waits-for-a-lease-by-a-former-clock",
                    test_next_owner_waits_for_a_lease_by_a_former_clock);
    g_test_add_func("/sched/proved-end-keeps-the-longest-lease",
                    test_proved_end_keeps_the_longest_lease);
    g_test_add_func("/sched/run-of-a-restarted-worker-is-taken-over",
                    test_run_of_a_restarted_worker_is_taken_over);
    g_test_add_func("/sched/order-in-flight-at-a-restart-extends-the-lease",
                    test_order_in_flight_at_a_restart_extends_the_lease);
    g_test_add_func("/sched/announcement-born-earlier-extends-the-lease",
                    test_announcement_born_earlier_extends_the_lease);
    g_test_add_func("/sched/start-begun-by-a-later-incarnation",
                    test_start_begun_by_a_later_incarnation);
    g_test_add_func("/sched/poll-after-a-lost-one-drops-no-ends",
                    test_poll_after_a_lost_one_drops_no_ends);
    g_test_add_func("/sched/next-incarnation-refuses-orders-to-the-former-one",
                    test_next_incarnation_refuses_orders_to_the_former_one);
    g_test_add_func("/sched/refusal-of-an-order-to-a-former-incarnation",
                    test_refusal_of_an_order_to_a_former_incarnation);
    return g_test_run();
}
