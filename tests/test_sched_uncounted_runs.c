/*
 * Tests of runs that a worker has, or may start late, and that are not the
 * current ones of their tasks there: they take room and count against limits
 * until their end is known.
 */
#include "lib_sched_sim.h"

#define OTHER_JOB "6d1f8b32ea5c47a9"
#define OTHER_TASK OTHER_JOB ".0.0.0"
#define TASK_1 JOB ".0.0.1"
#define TICK_MS 100
/* Time in which a task that may start is started. */
#define WAIT_MARGIN_MS 2000
/* More than half of a worker. */
#define LARGE_CPU_MILLI 10000
#define LARGE_MEMORY_MB 40000
#define ACCELERATORS 1
/* A start without a response is carried out within this time. */
#define LATE_START_MS 12000
/* An idle worker is polled within this time. */
#define CLOCK_REFRESH_MS 21000
/* The longest lease of a worker, on its own clock. */
#define LEASE_LIMIT_MS 10000
#define CLOCK_SLOW_FACTOR 1.02
/* After a lease has lapsed, a worker counts as lapsed within this time. */
#define MARGIN_MS 4000
/* A task whose late start can no longer arrive starts within this time. */
#define RELEASE_MS 18000
/* A silent worker that is not announced any more is removed within this. */
#define REMOVAL_MS 10000

typedef struct {
    uint32_t tasks;
    uint32_t per_worker_max;
    int64_t cpu_milli;
    int64_t memory_mb;
    int32_t accelerators;
    const char *label; /* NULL: none */
    bool long_running; /* an unanswered start is sent again */
} step_desc_t;

static void
add_job(sched_sim_t *sim, const char *id, const step_desc_t *desc)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    nm_step_t *step = nm_job_spec_add_step(&spec);
    step->task_count = desc->tasks;
    step->per_worker_max = desc->per_worker_max;
    step->cpu_milli = desc->cpu_milli;
    step->memory_mb = desc->memory_mb;
    step->accelerators = desc->accelerators;
    step->estimate_ms = 1000;
    step->long_running = desc->long_running;
    if (desc->label) {
        nm_strcopy(step->label, sizeof(step->label), desc->label);
    }
    g_assert_cmpint(nm_sched_add_job(sim->sched, &spec, false, sim->now_ms),
                    ==, NM_OK);
    nm_job_spec_finish(&spec);
}

/* Announces a worker with an accelerator, of a service and with a label. */
static void
announce(sched_sim_t *sim, const char *id, int64_t incarnation,
         const char *service, const char *label)
{
    nm_sched_worker_t worker = {.incarnation = incarnation,
                                .cpu_milli = CPU_MILLI,
                                .memory_mb = MEMORY_MB,
                                .accelerators = ACCELERATORS,
                                .label_count = 1};
    nm_strcopy(worker.id, sizeof(worker.id), id);
    nm_strcopy(worker.service, sizeof(worker.service), service);
    nm_strcopy(worker.labels[0], sizeof(worker.labels[0]), label);
    g_snprintf(worker.address, sizeof(worker.address), "%s:80", id);
    nm_sched_set_worker(sim->sched, &worker, sim->now_ms);
    nm_sched_admit_worker(sim->sched, id);
}

static void
add_worker(sched_sim_t *sim, const char *id)
{
    announce(sim, id, 1, "press", "kind-a");
    sched_sim_advance(sim, 10);
    sched_sim_report(sim, id, 1, NULL, 0, NULL, 0);
}

/*
 * Starts the first task of JOB on "a"; the first call gets no response, and
 * the second one begins the run.
 */
static nm_sched_action_t
start_on_a(sched_sim_t *sim, const step_desc_t *desc)
{
    add_worker(sim, "a");
    step_desc_t sent_twice = *desc;
    sent_twice.long_running = true;
    add_job(sim, JOB, &sent_twice);
    sched_sim_advance(sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_action_t sent = *start;
    nm_sched_on_start(sim->sched, &sent, NM_ORDER_UNKNOWN, sim->now_ms);
    sched_sim_advance(sim, 30);
    const nm_sched_action_t *again =
        sched_sim_find_action(sim, NM_ACTION_START, "a");
    g_assert_nonnull(again);
    nm_sched_on_start(sim->sched, again, NM_ORDER_DONE, sim->now_ms);
    nm_worker_run_t row = sched_sim_make_run(sent.task, sent.run);
    sched_sim_report(sim, "a", 1, &row, 1, NULL, 0);
    return sent;
}

/* Advances in steps; returns true if a start of one of the tasks is sent. */
static bool
is_started(sched_sim_t *sim, const char *task, const char *other_task,
           nm_ms_t duration_ms)
{
    bool started = false;
    for (nm_ms_t ms = 0; ms < duration_ms && !started; ms += TICK_MS) {
        sched_sim_advance(sim, TICK_MS);
        for (guint i = 0; i < sim->actions->len; i++) {
            const nm_sched_action_t *action =
                &g_array_index(sim->actions, nm_sched_action_t, i);
            started = started || (action->type == NM_ACTION_START &&
                                  (g_strcmp0(action->task, task) == 0 ||
                                   g_strcmp0(action->task, other_task) == 0));
        }
    }
    return started;
}

/* Confirms the stop of a run on "a", if it was sent just now. */
static bool
confirm_stop(sched_sim_t *sim, const char *task)
{
    for (guint i = 0; i < sim->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(sim->actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_STOP &&
            g_strcmp0(action->task, task) == 0) {
            nm_sched_on_stop(sim->sched, action, NM_ORDER_DONE, sim->now_ms);
            return true;
        }
    }
    return false;
}

/*
 * What a run takes from its worker, and a task that must not start beside it:
 * another one of its step, or of another job.
 */
static const struct {
    const char *name;
    step_desc_t first;
    step_desc_t second; /* of OTHER_JOB; no tasks: the second of JOB */
} resources[] = {
    {"limit", {2, 1, 1000, 100, 0, NULL, false}, {0}},
    {"cpu",
     {1, 0, LARGE_CPU_MILLI, 100, 0, NULL, false},
     {1, 0, LARGE_CPU_MILLI, 100, 0, NULL, false}},
    {"memory",
     {1, 0, 1000, LARGE_MEMORY_MB, 0, NULL, false},
     {1, 0, 1000, LARGE_MEMORY_MB, 0, NULL, false}},
    {"accelerators",
     {1, 0, 1000, 100, ACCELERATORS, NULL, false},
     {1, 0, 1000, 100, ACCELERATORS, NULL, false}},
};

/* Adds the task that must wait, if it is not one of JOB; returns its name. */
static const char *
add_second(sched_sim_t *sim, size_t i)
{
    if (resources[i].second.tasks == 0) {
        return TASK_1;
    }
    add_job(sim, OTHER_JOB, &resources[i].second);
    return OTHER_TASK;
}

/* "a" restarts under its id, and is heard of before any late start. */
static void
restart_a(sched_sim_t *sim)
{
    announce(sim, "a", 2, "press", "kind-a");
    sched_sim_advance(sim, 10);
    sched_sim_report(sim, "a", 2, NULL, 0, NULL, 0);
}

/*
 * The late start of a restarted worker takes room there from the restart on,
 * while it is at work, and while it stops; then the room is free.
 */
static void
test_late_start_takes_room(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(resources); i++) {
        g_test_message("%s", resources[i].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        nm_sched_action_t late = start_on_a(&sim, &resources[i].first);
        const char *second = add_second(&sim, i);
        restart_a(&sim);
        g_assert_false(is_started(&sim, second, late.task, TICK_MS));
        nm_worker_run_t row = sched_sim_make_run(late.task, late.run);
        g_assert_true(confirm_stop(&sim, late.task));
        sched_sim_advance(&sim, 10);
        sched_sim_report(&sim, "a", 2, &row, 1, NULL, 0);
        g_assert_false(is_started(&sim, second, late.task, TICK_MS));
        nm_worker_end_t end =
            sched_sim_make_end(1, late.task, late.run, NM_END_STOPPED);
        sched_sim_report(&sim, "a", 2, NULL, 0, &end, 1);
        g_assert_true(is_started(&sim, second, late.task, WAIT_MARGIN_MS));
        sched_sim_finish(&sim);
    }
}

/*
 * A worker lists a run that is not the one of its task there, as a former
 * owner's second one: it takes room until it has ended.
 */
static void
test_listed_run_takes_room(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(resources); i++) {
        g_test_message("%s", resources[i].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        add_worker(&sim, "b");
        add_job(&sim, JOB, &resources[i].first);
        sched_sim_advance(&sim, 30);
        nm_sched_action_t started = sched_sim_confirm_starts(&sim);
        g_assert_cmpstr(started.worker, ==, "b");
        announce(&sim, "a", 1, "press", "kind-a");
        sched_sim_advance(&sim, 10);
        nm_worker_run_t row =
            sched_sim_make_run(started.task, started.run + 1);
        sched_sim_report(&sim, "a", 1, &row, 1, NULL, 0);
        const char *second = add_second(&sim, i);
        g_assert_false(is_started(&sim, second, started.task, TICK_MS));
        g_assert_true(confirm_stop(&sim, started.task));
        sched_sim_report(&sim, "a", 1, &row, 1, NULL, 0);
        g_assert_false(is_started(&sim, second, started.task, TICK_MS));
        sched_sim_report(&sim, "a", 1, NULL, 0, NULL, 0);
        g_assert_true(is_started(&sim, second, NULL, WAIT_MARGIN_MS));
        sched_sim_finish(&sim);
    }
}

/* The worker of a run reports it for some time. */
static void
report_run(sched_sim_t *sim, const nm_sched_action_t *started,
           nm_ms_t duration_ms)
{
    nm_worker_run_t row = sched_sim_make_run(started->task, started->run);
    for (nm_ms_t ms = 0; ms < duration_ms; ms += TICK_MS) {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_report(sim, started->worker, started->incarnation, &row, 1,
                         NULL, 0);
    }
}

/*
 * The stop of a late start is confirmed while its run is at work: the task
 * must not start elsewhere before the run has ended; also if it had been at
 * work for so long that nobody suspects it of the crash.
 */
static void
test_task_waits_for_the_end_of_its_late_start(void)
{
    static const nm_ms_t worked_ms[] = {0, 8000};
    for (size_t i = 0; i < NM_COUNT_OF(worked_ms); i++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        nm_sched_action_t late = start_on_a(
            &sim,
            &(step_desc_t){.tasks = 1, .cpu_milli = 1000, .memory_mb = 100});
        nm_ms_t lost_ms = sim.now_ms;
        report_run(&sim, &late, worked_ms[i]);
        add_worker(&sim, "b");
        restart_a(&sim);
        g_assert_false(is_started(&sim, late.task, NULL, TICK_MS));
        g_assert_true(confirm_stop(&sim, late.task));
        g_assert_false(is_started(&sim, late.task, NULL, TICK_MS));
        nm_worker_run_t row = sched_sim_make_run(late.task, late.run);
        sched_sim_report(&sim, "a", 2, &row, 1, NULL, 0);
        g_assert_false(is_started(&sim, late.task, NULL, TICK_MS));
        bool started = false;
        while (!started && sim.now_ms < lost_ms + RELEASE_MS) {
            sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
            started = is_started(&sim, late.task, NULL, TICK_MS);
            sched_sim_save_all(&sim);
        }
        g_assert_true(started);
        /* A further call of a start that is sent twice may arrive until then.
         */
        g_assert_cmpint(sim.now_ms, >, lost_ms + LATE_START_MS);
        sched_sim_finish(&sim);
    }
}

/* The same of a run that is listed after it was taken for lapsed. */
static void
test_task_waits_for_the_end_of_a_listed_run(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    add_worker(&sim, "a");
    nm_worker_run_t row = sched_sim_make_run(TASK, 1);
    sched_sim_report(&sim, "a", 1, &row, 1, NULL, 0);
    add_job(&sim, JOB,
            &(step_desc_t){.tasks = 1, .cpu_milli = 1000, .memory_mb = 100});
    sched_sim_report(&sim, "a", 1, &row, 1, NULL, 0);
    add_worker(&sim, "b");
    g_assert_false(is_started(&sim, TASK, NULL, TICK_MS));
    sched_sim_report(&sim, "a", 1, NULL, 0, NULL, 0);
    g_assert_true(is_started(&sim, TASK, NULL, WAIT_MARGIN_MS));
    sched_sim_finish(&sim);
}

/* What a run of a job that is not known requests cannot be counted. */
static void
test_worker_with_a_run_of_an_unknown_job_waits(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    add_worker(&sim, "a");
    nm_worker_run_t row = sched_sim_make_run(OTHER_TASK, 1);
    sched_sim_report(&sim, "a", 1, &row, 1, NULL, 0);
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    g_assert_false(is_started(&sim, TASK, NULL, TICK_MS));
    sched_sim_report(&sim, "a", 1, NULL, 0, NULL, 0);
    g_assert_true(is_started(&sim, TASK, NULL, WAIT_MARGIN_MS));
    sched_sim_finish(&sim);
}

/*
 * A report shows a new incarnation before its announcement, which may be of
 * another kind: label and service of the former one must not count.
 */
static void
test_restarted_worker_waits_for_its_announcement(void)
{
    static const struct {
        const char *service;
        const char *label;
        bool starts;
    } cases[] = {
        {"press", "kind-a", true},
        {"press", "kind-b", false},
        {"forge", "kind-a", false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        add_worker(&sim, "a");
        sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
        add_job(&sim, JOB,
                &(step_desc_t){.tasks = 1,
                               .cpu_milli = 1000,
                               .memory_mb = 100,
                               .label = "kind-a"});
        g_assert_false(is_started(&sim, TASK, NULL, WAIT_MARGIN_MS));
        announce(&sim, "a", 2, cases[i].service, cases[i].label);
        g_assert_cmpint(is_started(&sim, TASK, NULL, WAIT_MARGIN_MS), ==,
                        cases[i].starts);
        sched_sim_finish(&sim);
    }
}

/*
 * A start is in flight, and its run listed, as the worker restarts: the new
 * incarnation is sent a stop, and until then the task starts nowhere else.
 */
static void
test_start_in_flight_at_a_restart_is_stopped(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_worker_run_t row = sched_sim_make_run(TASK, start->run);
    sched_sim_report(&sim, "a", 1, &row, 1, NULL, 0);
    announce(&sim, "a", 2, "press", "kind-a");
    sched_sim_advance(&sim, 10);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_STOP, "a"));
    sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
    add_worker(&sim, "b");
    g_assert_false(is_started(&sim, TASK, NULL, TICK_MS));
    sched_sim_finish(&sim);
}

/*
 * Loses the polls of "a" until it is taken for lapsed; returns when that was,
 * 0 if it was not by a time.
 */
static nm_ms_t
lose_polls_until_lapse(sched_sim_t *sim, nm_ms_t until_ms)
{
    while (sim->now_ms < until_ms) {
        sched_sim_lose_poll(sim, "a");
        sched_sim_advance(sim, TICK_MS);
        nm_sched_event_t event;
        while (nm_sched_next_event(sim->sched, &event)) {
            if (event.type == NM_SCHED_EVENT_WORKER_LAPSED) {
                return sim->now_ms;
            }
        }
    }
    return 0;
}

/*
 * A late start gives a restarted worker a long lease, also if it is refused
 * after its stop: tasks there that fall silent must not be taken for lapsed.
 */
static void
test_late_start_extends_the_lease_of_a_restarted_worker(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    nm_sched_action_t late = start_on_a(
        &sim, &(step_desc_t){.tasks = 1, .cpu_milli = 1000, .memory_mb = 100});
    nm_ms_t sent_ms = sim.now_ms;
    restart_a(&sim);
    sched_sim_advance(&sim, 10);
    g_assert_true(confirm_stop(&sim, late.task));
    sched_sim_advance(&sim, 10);
    sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
    add_job(&sim, OTHER_JOB,
            &(step_desc_t){.tasks = 1, .cpu_milli = 1000, .memory_mb = 100});
    sched_sim_advance(&sim, 30);
    nm_sched_action_t other = sched_sim_confirm_starts(&sim);
    g_assert_cmpstr(other.worker, ==, "a");
    add_worker(&sim, "b");
    nm_ms_t lapse_ms = sent_ms + LATE_START_MS +
                       (nm_ms_t)(LEASE_LIMIT_MS * CLOCK_SLOW_FACTOR);
    g_assert_cmpint(lose_polls_until_lapse(&sim, lapse_ms + MARGIN_MS), >=,
                    lapse_ms);
    sched_sim_finish(&sim);
}

/* Answers each stop that was sent just now with a result. */
static void
answer_stops(sched_sim_t *sim, nm_order_result_t result)
{
    for (guint i = 0; i < sim->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(sim->actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_STOP) {
            nm_sched_on_stop(sim->sched, action, result, sim->now_ms);
        }
    }
}

/*
 * A restarted worker confirms no stop of a late start: once the start can no
 * longer arrive, reports that do not list its run must release the task.
 */
static void
test_task_starts_though_no_stop_is_confirmed(void)
{
    static const nm_order_result_t results[] = {
        NM_ORDER_INVALID, NM_ORDER_NOT_RUN, NM_ORDER_UNKNOWN};
    for (size_t i = 0; i < NM_COUNT_OF(results); i++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        nm_sched_action_t late = start_on_a(
            &sim,
            &(step_desc_t){.tasks = 1, .cpu_milli = 1000, .memory_mb = 100});
        nm_ms_t lost_ms = sim.now_ms;
        add_worker(&sim, "b");
        restart_a(&sim);
        nm_ms_t started_ms = 0;
        while (started_ms == 0 && sim.now_ms < lost_ms + RELEASE_MS) {
            sched_sim_advance(&sim, TICK_MS);
            answer_stops(&sim, results[i]);
            sched_sim_save_all(&sim);
            const nm_sched_action_t *start =
                sched_sim_find_action(&sim, NM_ACTION_START, NULL);
            if (start && start->run > late.run) {
                started_ms = sim.now_ms;
            }
            if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
                sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
            }
        }
        g_assert_cmpint(started_ms, >, lost_ms + LATE_START_MS);
        sched_sim_finish(&sim);
    }
}

/*
 * A worker is removed while a start is in flight, and returns under its id as
 * a new incarnation: it is sent a stop of the start.
 */
static void
test_start_in_flight_at_a_removal_is_stopped(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    add_worker(&sim, "a");
    add_job(&sim, JOB,
            &(step_desc_t){.tasks = 1, .cpu_milli = 1000, .memory_mb = 100});
    sched_sim_advance(&sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_action_t late = *start;
    nm_sched_deregister_worker(sim.sched, "a");
    for (nm_ms_t ms = 0; ms < REMOVAL_MS; ms += TICK_MS) {
        sched_sim_lose_poll(&sim, "a");
        sched_sim_advance(&sim, TICK_MS);
    }
    nm_sched_on_start(sim.sched, &late, NM_ORDER_UNKNOWN, sim.now_ms);
    restart_a(&sim);
    sched_sim_advance(&sim, TICK_MS);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_STOP, "a"));
    add_worker(&sim, "b");
    g_assert_false(is_started(&sim, late.task, NULL, TICK_MS));
    sched_sim_finish(&sim);
}

/*
 * A worker is taken for lapsed while a start is in flight, and restarts: the
 * new incarnation is sent a stop, and until then the task does not start.
 */
static void
test_start_in_flight_at_a_lapse_is_stopped(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_START, "a"));
    for (nm_ms_t ms = 0; ms < REMOVAL_MS; ms += TICK_MS) {
        sched_sim_lose_poll(&sim, "a");
        sched_sim_advance(&sim, TICK_MS);
        sched_sim_save_all(&sim);
    }
    restart_a(&sim);
    bool stopped = false;
    for (nm_ms_t ms = 0; ms < WAIT_MARGIN_MS; ms += TICK_MS) {
        sched_sim_advance(&sim, TICK_MS);
        sched_sim_save_all(&sim);
        stopped = stopped ||
                  sched_sim_find_action(&sim, NM_ACTION_STOP, "a") != NULL;
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
        }
    }
    g_assert_true(stopped);
    sched_sim_finish(&sim);
}

/*
 * A poll that a crash left unanswered may give the next incarnation a lease
 * by the clock of the former one: its tasks must not be taken for lapsed.
 */
static void
test_late_poll_extends_the_lease_of_a_restarted_worker(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    add_worker(&sim, "a");
    sched_sim_advance(&sim, CLOCK_REFRESH_MS);
    const nm_sched_action_t *poll =
        sched_sim_find_action(&sim, NM_ACTION_POLL, "a");
    g_assert_nonnull(poll);
    g_assert_cmpint(poll->expiry_ms, >, 0);
    nm_ms_t sent_ms = sim.now_ms;
    sched_sim_lose_poll(&sim, "a");
    restart_a(&sim);
    add_job(&sim, JOB,
            &(step_desc_t){.tasks = 1, .cpu_milli = 1000, .memory_mb = 100});
    sched_sim_advance(&sim, 10);
    nm_sched_action_t started = sched_sim_confirm_starts(&sim);
    g_assert_cmpstr(started.worker, ==, "a");
    add_worker(&sim, "b");
    nm_ms_t lapse_ms = sent_ms + LATE_START_MS +
                       (nm_ms_t)(LEASE_LIMIT_MS * CLOCK_SLOW_FACTOR);
    g_assert_cmpint(lose_polls_until_lapse(&sim, lapse_ms + MARGIN_MS), >=,
                    lapse_ms);
    sched_sim_finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/late-start-takes-room-until-it-has-ended",
                    test_late_start_takes_room);
    g_test_add_func("/sched/unexpected-run-takes-room-until-it-has-ended",
                    test_listed_run_takes_room);
    g_test_add_func("/sched/task-waits-for-the-end-of-its-late-start",
                    test_task_waits_for_the_end_of_its_late_start);
    g_test_add_func("/sched/task-waits-for-the-end-of-an-unexpected-run",
                    test_task_waits_for_the_end_of_a_listed_run);
    g_test_add_func("/sched/worker-with-a-run-of-an-unknown-job-gets-none",
                    test_worker_with_a_run_of_an_unknown_job_waits);
    g_test_add_func("/sched/restarted-worker-waits-for-its-announcement",
                    test_restarted_worker_waits_for_its_announcement);
    g_test_add_func("/sched/start-in-flight-at-a-restart-is-stopped",
                    test_start_in_flight_at_a_restart_is_stopped);
    g_test_add_func("/sched/late-start-extends-the-lease-after-a-restart",
                    test_late_start_extends_the_lease_of_a_restarted_worker);
    g_test_add_func("/sched/task-starts-though-no-stop-is-confirmed",
                    test_task_starts_though_no_stop_is_confirmed);
    g_test_add_func("/sched/start-in-flight-at-a-removal-is-stopped",
                    test_start_in_flight_at_a_removal_is_stopped);
    g_test_add_func("/sched/start-in-flight-at-a-lapse-is-stopped",
                    test_start_in_flight_at_a_lapse_is_stopped);
    g_test_add_func("/sched/late-poll-extends-the-lease-after-a-restart",
                    test_late_poll_extends_the_lease_of_a_restarted_worker);
    return g_test_run();
}
