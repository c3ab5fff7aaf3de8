/*
 * Leases on workers whose clocks run slow: a lease must lapse on the worker's
 * clock before its tasks start elsewhere, however long the worker was idle.
 */
#include "lib_sched_sim.h"

#define STEP_MS 100
#define START_VALID_MS 1700
#define START_VALID_MIN_MS 1000
#define LEASE_MS 7000
#define RESTART_MAX_MS 12000

typedef struct {
    const char *name;
    double rate; /* of the worker's clock */
    nm_ms_t idle_ms;
} clock_case_t;

static const clock_case_t CASES[] = {
    {"exact, idle 5 s", 1, 5000},       {"slow, idle 5 s", 0.98, 5000},
    {"exact, idle 80 s", 1, 80000},     {"slow, idle 80 s", 0.98, 80000},
    {"exact, idle 30 min", 1, 1800000}, {"slow, idle 30 min", 0.98, 1800000},
};

static int64_t
worker_clock(const sched_sim_t *sim, double rate)
{
    return (int64_t)(rate * (double)sim->now_ms);
}

static void
report(sched_sim_t *sim, double rate)
{
    nm_worker_report_t idle = {.result = NM_ORDER_DONE,
                               .incarnation = 1,
                               .clock_ms = worker_clock(sim, rate),
                               .sent_ms = sim->now_ms,
                               .complete = true};
    nm_sched_on_report(sim->sched, "a", &idle, sim->now_ms);
}

/* Advances; the worker responds to polls, or to none. */
static void
step(sched_sim_t *sim, double rate, bool responds)
{
    sched_sim_advance(sim, STEP_MS);
    if (!sched_sim_find_action(sim, NM_ACTION_POLL, "a")) {
        return;
    }
    if (responds) {
        report(sim, rate);
    }
    else {
        sched_sim_lose_poll(sim, "a");
    }
}

/* Returns the latest expiry among the newest actions, or the one before. */
static int64_t
latest_expiry(const sched_sim_t *sim, int64_t before_ms)
{
    for (guint i = 0; i < sim->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(sim->actions, nm_sched_action_t, i);
        if (g_strcmp0(action->worker, "a") == 0) {
            before_ms = MAX(before_ms, action->expiry_ms);
        }
    }
    return before_ms;
}

static void
test_lease_lapses_before_restart(gconstpointer data)
{
    const clock_case_t *clock_case = data;
    double rate = clock_case->rate;
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_announce(&sim, "a", 1);
    step(&sim, rate, true);
    for (nm_ms_t t = 0; t < clock_case->idle_ms; t += STEP_MS) {
        step(&sim, rate, true);
    }
    sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
    sched_sim_advance(&sim, STEP_MS);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    int64_t valid_ms = start->expiry_ms - worker_clock(&sim, rate);
    g_assert_cmpint(valid_ms, >=, START_VALID_MIN_MS);
    g_assert_cmpint(valid_ms, <=, START_VALID_MS + 1);
    int64_t expiry_ms = latest_expiry(&sim, 0);
    g_assert_cmpint(expiry_ms, <=, worker_clock(&sim, rate) + LEASE_MS + 1);
    sched_sim_confirm_starts(&sim);
    /* From now on the worker is cut off, and another one is free. */
    if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
        sched_sim_lose_poll(&sim, "a");
    }
    sched_sim_announce(&sim, "b", 1);
    nm_worker_report_t other = {.result = NM_ORDER_DONE,
                                .incarnation = 1,
                                .sent_ms = sim.now_ms,
                                .clock_ms = sim.now_ms,
                                .complete = true};
    nm_sched_on_report(sim.sched, "b", &other, sim.now_ms);
    nm_ms_t cut_ms = sim.now_ms;
    while (!sched_sim_find_action(&sim, NM_ACTION_START, "b") &&
           sim.now_ms - cut_ms < RESTART_MAX_MS)
    {
        step(&sim, rate, false);
        expiry_ms = latest_expiry(&sim, expiry_ms);
    }
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_START, "b"));
    g_assert_cmpint(worker_clock(&sim, rate), >=, expiry_ms);
    sched_sim_finish(&sim);
}

/*
 * A worker restarts under its id while its time of day is set back, so that
 * its next incarnation is born earlier.  What it ran must not wait for the
 * former one for longer than for a worker that is lost, and it must be used.
 */
static void
test_next_incarnation_is_born_earlier(void)
{
    enum { BORN = 5000, SET_BACK_MS = 2000, AT_WORK_MS = 3000 };
    static const struct {
        const char *name;
        bool is_announced; /* its entry is seen as well as its reports */
        bool other_worker; /* is free */
    } cases[] = {{"reports only", false, true},
                 {"announced", true, true},
                 {"the only worker", true, false}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        uint32_t polls = 0;
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_announce(&sim, "a", BORN);
        sched_sim_advance(&sim, STEP_MS);
        sched_sim_report(&sim, "a", BORN, NULL, 0, NULL, 0);
        sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
        sched_sim_advance(&sim, STEP_MS);
        g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_START, "a"));
        nm_sched_action_t start = sched_sim_confirm_starts(&sim);
        nm_worker_run_t running = sched_sim_make_run(TASK, start.run);
        for (nm_ms_t t = 0; t < AT_WORK_MS; t += STEP_MS) {
            if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
                sched_sim_report(&sim, "a", BORN, &running, 1, NULL, 0);
                polls++;
            }
            sched_sim_advance(&sim, STEP_MS);
        }
        g_assert_cmpuint(polls, >, 1);
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_lose_poll(&sim, "a");
        }
        if (cases[i].other_worker) {
            sched_sim_add_worker(&sim, "b");
        }
        if (cases[i].is_announced) {
            sched_sim_announce(&sim, "a", BORN - SET_BACK_MS);
        }
        nm_ms_t restarted_ms = sim.now_ms;
        bool started = false;
        polls = 0;
        while (!started && sim.now_ms - restarted_ms < RESTART_MAX_MS) {
            sched_sim_advance(&sim, STEP_MS);
            started = sched_sim_find_action(&sim, NM_ACTION_START, NULL);
            if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
                sched_sim_report(&sim, "a", BORN - SET_BACK_MS, NULL, 0, NULL,
                                 0);
                polls++;
            }
            if (sched_sim_find_action(&sim, NM_ACTION_POLL, "b")) {
                sched_sim_report(&sim, "b", 1, NULL, 0, NULL, 0);
            }
        }
        g_test_message("%s after %d ms, %u polls",
                       started ? "started" : "none",
                       (int)(sim.now_ms - restarted_ms), polls);
        g_assert_cmpuint(polls, >, 0);
        g_assert_true(started);
        sched_sim_finish(&sim);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (size_t i = 0; i < NM_COUNT_OF(CASES); i++) {
        char *path = g_strdup_printf("/sched/lease-lapses-before-restart/%s",
                                     CASES[i].name);
        g_test_add_data_func(path, &CASES[i],
                             test_lease_lapses_before_restart);
        g_free(path);
    }
    g_test_add_func("/sched/next-incarnation-is-born-earlier",
                    test_next_incarnation_is_born_earlier);
    return g_test_run();
}
