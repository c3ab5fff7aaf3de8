/*
 * Tests of accepted work that could run: other work, failures of other work
 * and refused starts must not keep it from starting in bounded time.
 */
#include "lib_sched_fleet.h"

/* The rules: an accepted job may have nothing at work for this long. */
#define IDLE_MS_MAX 3000
/* The rules: a long-running task may be without a run for this long. */
#define INTERRUPTED_MS_MAX 9000
/* So long the tests wait for a start. */
#define WAIT_LIMIT_MS 60000

static void
begin_fleet(sched_fleet_t *fleet, int workers)
{
    sched_fleet_init(fleet, 1);
    for (int w = 0; w < workers; w++) {
        sched_fleet_add_worker(fleet, "press");
    }
    sched_fleet_begin(fleet);
}

/* Sets how the runs of tasks with a prefix end. */
static void
end_runs(sched_fleet_t *fleet, const char *prefix, nm_ms_t duration_ms,
         nm_end_t end)
{
    sched_fleet_rule_t rule = {.duration_ms = duration_ms, .end = end};
    nm_strcopy(rule.prefix, sizeof(rule.prefix), prefix);
    sched_fleet_add_rule(fleet, rule);
}

/* Adds a queue the jobs of which come after others that are in time. */
static void
add_other_queue(sched_fleet_t *fleet, const char *service)
{
    nm_queue_t queue = {.name = "other",
                        .priority = 2,
                        .slack_factor = 2,
                        .objective_ms = 1000};
    nm_strcopy(queue.service, sizeof(queue.service), service);
    nm_sched_set_queue(fleet->sim.sched, &queue);
}

/* Queue of the interrupted task and of the short tasks beside it. */
static const char *interrupted_queue = "batch";

/* Adds a short task that takes a quarter of a worker. */
static void
add_short_task(sched_fleet_t *fleet)
{
    static uint32_t number;
    sched_fleet_add_numbered_job(fleet, "cccc", ++number, interrupted_queue,
                                 (nm_step_t){.task_count = 1,
                                             .cpu_milli = CPU_MILLI / 4,
                                             .memory_mb = 1000,
                                             .estimate_ms = 1000});
}

/* Starts a long-running task, which is interrupted after 3 s. */
static void
start_interrupted(sched_fleet_t *fleet)
{
    end_runs(fleet, JOB, 3000, NM_END_FAILED);
    sched_fleet_add_job(fleet, JOB, interrupted_queue,
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = CPU_MILLI / 4 * 3,
                                    .memory_mb = 1000,
                                    .long_running = true});
    sched_fleet_time_to_start(fleet, JOB, 1, IDLE_MS_MAX, NULL);
}

/*
 * Short tasks refill each gap that is too small for the task.  Returns for how
 * long it has no run once it is interrupted.
 */
static nm_ms_t
time_interrupted(sched_fleet_t *fleet)
{
    while (sched_fleet_count_running(fleet, JOB) > 0) {
        add_short_task(fleet);
        sched_fleet_tick(fleet);
    }
    return sched_fleet_time_to_start(fleet, JOB, 1, WAIT_LIMIT_MS,
                                     add_short_task);
}

static void
test_interrupted_task_starts_among_short_ones(void)
{
    sched_fleet_t fleet;
    begin_fleet(&fleet, 4);
    start_interrupted(&fleet);
    g_assert_cmpint(time_interrupted(&fleet), <=, INTERRUPTED_MS_MAX);
    sched_fleet_finish(&fleet);
}

static int refusals_left;

static bool
refuses_interrupted(const nm_sched_action_t *action)
{
    return g_str_has_prefix(action->task, JOB) && refusals_left-- > 0;
}

/* Each refused start began a new wait. */
static void
test_refused_starts_delay_no_interrupted_task(void)
{
    enum { REFUSALS = 3 };
    sched_fleet_t fleet;
    begin_fleet(&fleet, 4);
    start_interrupted(&fleet);
    refusals_left = REFUSALS;
    fleet.refuses_start = refuses_interrupted;
    g_assert_cmpint(time_interrupted(&fleet), <=, INTERRUPTED_MS_MAX);
    sched_fleet_finish(&fleet);
}

/* Long-running tasks hold all of another service. */
static void
test_full_service_delays_no_interrupted_task_of_other(void)
{
    enum { WORKERS = 24 };
    sched_fleet_t fleet;
    sched_fleet_init(&fleet, 1);
    for (int w = 0; w < WORKERS; w++) {
        sched_fleet_add_worker(&fleet, w == 0 ? "sheet" : "press");
    }
    sched_fleet_begin(&fleet);
    add_other_queue(&fleet, "sheet");
    end_runs(&fleet, "bbbb", 0, NM_END_DONE);
    sched_fleet_add_job(&fleet, "bbbb000000000000", "batch",
                        (nm_step_t){.task_count = WORKERS - 1,
                                    .cpu_milli = CPU_MILLI,
                                    .memory_mb = 1000,
                                    .long_running = true});
    sched_fleet_time_to_start(&fleet, "bbbb", WORKERS - 1, IDLE_MS_MAX, NULL);
    interrupted_queue = "other";
    start_interrupted(&fleet);
    g_assert_cmpint(time_interrupted(&fleet), <=, INTERRUPTED_MS_MAX);
    interrupted_queue = "batch";
    sched_fleet_finish(&fleet);
}

#define WAITING_TASKS 12
#define SHORT_TASK_MS 500
/* Number of the newest job that add_unplaced has added. */
static uint32_t unplaced_number;
static nm_step_t unplaced_step;

/* Adds a job that finds no worker each 500 ms. */
static void
add_unplaced(sched_fleet_t *fleet)
{
    if (unplaced_number++ % (500 / SCHED_FLEET_TICK_MS) == 0) {
        sched_fleet_add_numbered_job(fleet, "aaaa", unplaced_number, "batch",
                                     unplaced_step);
    }
}

static void
run_for(sched_fleet_t *fleet, nm_ms_t duration_ms,
        void (*before_tick)(sched_fleet_t *fleet))
{
    nm_ms_t end_ms = fleet->sim.now_ms + duration_ms;
    while (fleet->sim.now_ms < end_ms) {
        if (before_tick) {
            before_tick(fleet);
        }
        sched_fleet_tick(fleet);
    }
}

/* Adds a job for which there is room, and waits until all its tasks run. */
static void
expect_all_start(sched_fleet_t *fleet, const char *queue, nm_step_t step,
                 void (*before_tick)(sched_fleet_t *fleet))
{
    step.task_count = WAITING_TASKS;
    step.estimate_ms = WAIT_LIMIT_MS;
    end_runs(fleet, JOB, WAIT_LIMIT_MS, NM_END_DONE);
    sched_fleet_add_job(fleet, JOB, queue, step);
    g_assert_cmpint(sched_fleet_time_to_start(fleet, JOB, WAITING_TASKS,
                                              WAIT_LIMIT_MS, before_tick),
                    <=, IDLE_MS_MAX);
}

/*
 * All accelerators are taken, and a task waits for one; most of the CPU is
 * free.
 */
static void
wait_beside_accelerators(int64_t reserved_cpu_milli)
{
    enum { WORKERS = 4 };
    sched_fleet_t fleet;
    sched_fleet_init(&fleet, 1);
    for (int w = 0; w < WORKERS; w++) {
        sched_fleet_add_worker(&fleet, "press");
        fleet.workers[w].desc.accelerators = 1;
    }
    sched_fleet_begin(&fleet);
    end_runs(&fleet, "aaaa", WAIT_LIMIT_MS, NM_END_DONE);
    end_runs(&fleet, "bbbb", 0, NM_END_DONE);
    sched_fleet_add_job(&fleet, "bbbb000000000000", "batch",
                        (nm_step_t){.task_count = WORKERS,
                                    .cpu_milli = reserved_cpu_milli,
                                    .memory_mb = 1000,
                                    .long_running = true,
                                    .per_worker_max = 1});
    sched_fleet_time_to_start(&fleet, "bbbb", WORKERS, IDLE_MS_MAX, NULL);
    for (uint32_t i = 0; i <= WORKERS; i++) {
        sched_fleet_add_numbered_job(&fleet, "aaaa", i, "batch",
                                     (nm_step_t){.task_count = 1,
                                                 .cpu_milli = 1000,
                                                 .memory_mb = 1000,
                                                 .accelerators = 1,
                                                 .estimate_ms = 60000});
    }
    run_for(&fleet, IDLE_MS_MAX, NULL);
    g_assert_cmpuint(sched_fleet_count_running(&fleet, "aaaa"), ==, WORKERS);
    expect_all_start(&fleet, "batch",
                     (nm_step_t){.cpu_milli = 1000, .memory_mb = 1000}, NULL);
    sched_fleet_finish(&fleet);
}

static void
test_waiting_for_accelerators_delays_no_others(void)
{
    wait_beside_accelerators(1000);
}

/* The same while most of the service is reserved. */
static void
test_waiting_for_accelerators_delays_no_others_reserved(void)
{
    wait_beside_accelerators(CPU_MILLI / 8 * 5);
}

/* One task lacks memory, and another one CPU; there is room for a third. */
static void
test_unplaced_requests_are_not_mixed(void)
{
    sched_fleet_t fleet;
    begin_fleet(&fleet, 2);
    end_runs(&fleet, "bbbb", 0, NM_END_DONE);
    sched_fleet_add_job(&fleet, "bbbb000000000000", "batch",
                        (nm_step_t){.task_count = 2,
                                    .cpu_milli = CPU_MILLI / 4,
                                    .memory_mb = MEMORY_MB / 4,
                                    .long_running = true,
                                    .per_worker_max = 1});
    sched_fleet_time_to_start(&fleet, "bbbb", 2, IDLE_MS_MAX, NULL);
    add_other_queue(&fleet, "press");
    nm_step_t step = {.task_count = 1, .estimate_ms = WAIT_LIMIT_MS};
    step.cpu_milli = 100;
    step.memory_mb = MEMORY_MB;
    sched_fleet_add_job(&fleet, "aaaa000000000001", "batch", step);
    step.cpu_milli = CPU_MILLI;
    step.memory_mb = 100;
    sched_fleet_add_job(&fleet, "aaaa000000000002", "batch", step);
    run_for(&fleet, IDLE_MS_MAX, NULL);
    expect_all_start(&fleet, "other",
                     (nm_step_t){.cpu_milli = 1000, .memory_mb = 1000}, NULL);
    sched_fleet_finish(&fleet);
}

/* One service is full, and jobs wait for it; another one has nothing to do. */
static void
wait_beside_full_service(bool fillers)
{
    sched_fleet_t fleet;
    sched_fleet_init(&fleet, 1);
    for (int w = 0; w < 2; w++) {
        sched_fleet_add_worker(&fleet, "press");
        sched_fleet_add_worker(&fleet, "sheet");
    }
    sched_fleet_begin(&fleet);
    add_other_queue(&fleet, "sheet");
    end_runs(&fleet, "bbbb", 2 * WAIT_LIMIT_MS, NM_END_DONE);
    sched_fleet_add_job(&fleet, "bbbb000000000000", "batch",
                        (nm_step_t){.task_count = 2,
                                    .cpu_milli = CPU_MILLI / 2,
                                    .memory_mb = MEMORY_MB,
                                    .estimate_ms = 2 * WAIT_LIMIT_MS,
                                    .long_running = !fillers,
                                    .is_filler = fillers,
                                    .image = "press"});
    sched_fleet_time_to_start(&fleet, "bbbb", 2, IDLE_MS_MAX, NULL);
    unplaced_number = 0;
    unplaced_step = (nm_step_t){.task_count = 1,
                                .cpu_milli = 1000,
                                .memory_mb = 1000,
                                .estimate_ms = SHORT_TASK_MS,
                                .is_filler = fillers,
                                .image = "press"};
    run_for(&fleet, IDLE_MS_MAX, add_unplaced);
    expect_all_start(&fleet, "other", unplaced_step, add_unplaced);
    sched_fleet_finish(&fleet);
}

static void
test_full_service_delays_no_other(void)
{
    wait_beside_full_service(false);
}

static void
test_full_service_delays_no_fillers_of_other(void)
{
    wait_beside_full_service(true);
}

/* Adds a gang that takes half of what is not reserved. */
static void
add_gang(sched_fleet_t *fleet)
{
    static uint32_t number;
    if (++number % 6 == 0) {
        sched_fleet_add_numbered_job(fleet, "cccc", number, "batch",
                                     (nm_step_t){.task_count = 2,
                                                 .cpu_milli = CPU_MILLI / 16,
                                                 .memory_mb = 1000,
                                                 .estimate_ms = SHORT_TASK_MS,
                                                 .is_gang = true});
    }
}

/*
 * Most of the service is reserved, and only gangs start.  The rules set no
 * bound then; the starts of idle jobs are limited, but not to none.
 */
static void
test_gangs_on_reserved_service_delay_idle_job(void)
{
    enum { RESERVED_IDLE_MS_MAX = 30000 };
    sched_fleet_t fleet;
    begin_fleet(&fleet, 1);
    end_runs(&fleet, "bbbb", 0, NM_END_DONE);
    end_runs(&fleet, "cccc", SHORT_TASK_MS, NM_END_DONE);
    sched_fleet_add_job(&fleet, "bbbb000000000000", "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = CPU_MILLI / 4 * 3,
                                    .memory_mb = 1000,
                                    .long_running = true});
    run_for(&fleet, IDLE_MS_MAX, add_gang);
    sched_fleet_add_job(&fleet, JOB, "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = CPU_MILLI / 4,
                                    .memory_mb = 1000,
                                    .estimate_ms = SHORT_TASK_MS});
    g_assert_cmpint(
        sched_fleet_time_to_start(&fleet, JOB, 1, WAIT_LIMIT_MS, add_gang), <=,
        RESERVED_IDLE_MS_MAX);
    sched_fleet_finish(&fleet);
}

/* A long-running task finds no room even where all fillers are stopped. */
static void
test_task_without_room_stops_no_fillers(void)
{
    enum { WORKERS = 4, FILLERS = 12, RUN_MS = 30000 };
    sched_fleet_t fleet;
    begin_fleet(&fleet, WORKERS);
    end_runs(&fleet, "bbbb", WAIT_LIMIT_MS, NM_END_DONE);
    sched_fleet_add_job(&fleet, "bbbb000000000000", "batch",
                        (nm_step_t){.task_count = WORKERS,
                                    .cpu_milli = CPU_MILLI / 4,
                                    .memory_mb = MEMORY_MB / 2,
                                    .estimate_ms = WAIT_LIMIT_MS,
                                    .per_worker_max = 1});
    sched_fleet_time_to_start(&fleet, "bbbb", WORKERS, IDLE_MS_MAX, NULL);
    for (uint32_t i = 0; i < FILLERS; i++) {
        sched_fleet_add_numbered_job(&fleet, "dddd", i, "batch",
                                     (nm_step_t){.task_count = 1,
                                                 .cpu_milli = 1000,
                                                 .memory_mb = 10000,
                                                 .estimate_ms = 1000,
                                                 .is_filler = true,
                                                 .image = "press"});
    }
    sched_fleet_add_job(&fleet, JOB, "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = 1000,
                                    .memory_mb = MEMORY_MB / 4 * 3,
                                    .long_running = true});
    run_for(&fleet, RUN_MS, NULL);
    g_assert_cmpuint(fleet.stops, ==, 0);
    g_assert_cmpuint(fleet.done, ==, FILLERS);
    sched_fleet_finish(&fleet);
}

/*
 * Jobs of long-running tasks fail soon, again and again; a job that arrives
 * then has to start on one of the workers, which have nothing else to do.
 */
static void
wait_beside_failing(int workers, uint32_t jobs, uint32_t tasks,
                    bool long_running)
{
    enum { FAILING_MS = 60000, ARRIVALS = 12, INTERVAL_MS = 1850 };
    sched_fleet_t fleet;
    begin_fleet(&fleet, workers);
    end_runs(&fleet, "bbbb", 100, NM_END_FAILED);
    end_runs(&fleet, "eeee", 0, NM_END_DONE);
    for (uint32_t i = 0; i < jobs; i++) {
        sched_fleet_add_numbered_job(&fleet, "bbbb", i, "batch",
                                     (nm_step_t){.task_count = tasks,
                                                 .cpu_milli = 1000,
                                                 .memory_mb = 1000,
                                                 .long_running = true});
    }
    nm_ms_t longest_ms = 0;
    for (uint32_t i = 0; i < ARRIVALS; i++) {
        run_for(&fleet, i == 0 ? FAILING_MS : INTERVAL_MS, NULL);
        char id[NM_JOB_ID_MAX];
        g_snprintf(id, sizeof(id), "eeee%012u", i);
        sched_fleet_add_job(&fleet, id, "batch",
                            (nm_step_t){.task_count = 1,
                                        .cpu_milli = 100,
                                        .memory_mb = 100,
                                        .estimate_ms = 1000,
                                        .long_running = long_running});
        nm_ms_t wait_ms =
            sched_fleet_time_to_start(&fleet, id, 1, WAIT_LIMIT_MS, NULL);
        longest_ms = MAX(longest_ms, wait_ms);
    }
    g_assert_cmpint(longest_ms, <=, IDLE_MS_MAX);
    sched_fleet_finish(&fleet);
}

static void
test_failing_task_delays_no_job_on_2_workers(void)
{
    wait_beside_failing(2, 1, 1, false);
}

static void
test_failing_task_delays_no_job_on_48_workers(void)
{
    wait_beside_failing(48, 1, 1, false);
}

static void
test_failing_task_delays_no_long_running_job(void)
{
    wait_beside_failing(8, 1, 1, true);
}

static void
test_failing_wide_job_delays_no_job(void)
{
    wait_beside_failing(4, 1, 40, false);
}

static void
test_failing_jobs_delay_no_job(void)
{
    wait_beside_failing(8, 64, 1, false);
}

/* Nothing else runs on the workers; no run of such tasks is ever done. */
static void
test_long_running_tasks_that_fail_now_and_then(void)
{
    enum { WORKERS = 4, TASKS = 40, LASTS_MS = 20000, RUN_MS = 300000 };
    sched_fleet_t fleet;
    begin_fleet(&fleet, WORKERS);
    char ids[TASKS][NM_JOB_ID_MAX];
    nm_ms_t ended_ms[TASKS] = {0};
    nm_ms_t longest_ms = 0;
    for (int i = 0; i < TASKS; i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "bbbb%012d", i);
        end_runs(&fleet, ids[i], LASTS_MS * 3 / 4 + LASTS_MS / 2 * i / TASKS,
                 NM_END_FAILED);
        sched_fleet_add_job(&fleet, ids[i], "batch",
                            (nm_step_t){.task_count = 1,
                                        .cpu_milli = CPU_MILLI / 20,
                                        .memory_mb = 100,
                                        .long_running = true});
    }
    while (fleet.sim.now_ms < RUN_MS) {
        sched_fleet_tick(&fleet);
        for (int i = 0; i < TASKS; i++) {
            if (sched_fleet_count_running(&fleet, ids[i]) > 0) {
                ended_ms[i] = fleet.sim.now_ms;
            }
            else if (ended_ms[i] > 0) {
                longest_ms = MAX(longest_ms, fleet.sim.now_ms - ended_ms[i]);
            }
        }
    }
    g_assert_cmpint(longest_ms, <=, INTERRUPTED_MS_MAX);
    sched_fleet_finish(&fleet);
}

/* Adds a job of 4 tasks each 200 ms: two thirds of 8 workers. */
static void
add_wide_job(sched_fleet_t *fleet)
{
    static uint32_t number;
    if (++number % 4 == 0) {
        sched_fleet_add_numbered_job(fleet, "cccc", number, "batch",
                                     (nm_step_t){.task_count = 4,
                                                 .cpu_milli = CPU_MILLI / 4,
                                                 .memory_mb = 1000,
                                                 .estimate_ms = 1000});
    }
}

/* A worker that fails all it starts takes few of many starts. */
static void
test_failing_worker_is_avoided(void)
{
    enum { WORKERS = 8, TASKS = 2000, RUN_MS = 60000 };
    for (int wide = 0; wide < 2; wide++) {
        sched_fleet_t fleet;
        begin_fleet(&fleet, WORKERS);
        fleet.workers[0].failing = true;
        if (wide) {
            sched_fleet_add_job(&fleet, JOB, "batch",
                                (nm_step_t){.task_count = TASKS,
                                            .cpu_milli = 1000,
                                            .memory_mb = 1000,
                                            .estimate_ms = 1000});
        }
        run_for(&fleet, RUN_MS, wide ? NULL : add_wide_job);
        g_test_message("%u of %u starts on the failing worker",
                       fleet.workers[0].starts, fleet.starts);
        g_assert_cmpuint(fleet.workers[0].starts, <=, fleet.starts / 20);
        sched_fleet_finish(&fleet);
    }
}

/* All tasks of a job that has worked for long begin to fail. */
static void
test_job_that_begins_to_fail_delays_no_job(void)
{
    enum { WORKERS = 4, TASKS = 40, WORK_MS = 20000 };
    sched_fleet_t fleet;
    begin_fleet(&fleet, WORKERS);
    end_runs(&fleet, "bbbb", WORK_MS, NM_END_FAILED);
    end_runs(&fleet, JOB, 0, NM_END_DONE);
    sched_fleet_add_job(&fleet, "bbbb000000000000", "batch",
                        (nm_step_t){.task_count = TASKS,
                                    .cpu_milli = 1000,
                                    .memory_mb = 1000,
                                    .long_running = true});
    run_for(&fleet, WORK_MS, NULL);
    g_array_index(fleet.rules, sched_fleet_rule_t, 0).duration_ms = 100;
    run_for(&fleet, IDLE_MS_MAX, NULL);
    sched_fleet_add_job(&fleet, JOB, "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = 1000,
                                    .memory_mb = 1000,
                                    .estimate_ms = 1000});
    g_assert_cmpint(
        sched_fleet_time_to_start(&fleet, JOB, 1, WAIT_LIMIT_MS, NULL), <=,
        IDLE_MS_MAX);
    sched_fleet_finish(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/sched/interrupted-task-among-short-ones",
                    test_interrupted_task_starts_among_short_ones);
    g_test_add_func("/sched/refused-starts-delay-no-interrupted-task",
                    test_refused_starts_delay_no_interrupted_task);
    g_test_add_func("/sched/waiting-for-accelerators-delays-no-others",
                    test_waiting_for_accelerators_delays_no_others);
    g_test_add_func(
        "/sched/waiting-for-accelerators-delays-no-others-reserved",
        test_waiting_for_accelerators_delays_no_others_reserved);
    g_test_add_func("/sched/unplaced-requests-are-not-mixed",
                    test_unplaced_requests_are_not_mixed);
    g_test_add_func("/sched/full-service-delays-no-other",
                    test_full_service_delays_no_other);
    g_test_add_func("/sched/full-service-delays-no-fillers-of-other",
                    test_full_service_delays_no_fillers_of_other);
    g_test_add_func("/sched/gangs-on-reserved-service-delay-idle-job",
                    test_gangs_on_reserved_service_delay_idle_job);
    g_test_add_func("/sched/full-service-delays-no-interrupted-task-of-other",
                    test_full_service_delays_no_interrupted_task_of_other);
    g_test_add_func("/sched/task-without-room-stops-no-fillers",
                    test_task_without_room_stops_no_fillers);
    g_test_add_func("/sched/failing-task-delays-no-job-on-2-workers",
                    test_failing_task_delays_no_job_on_2_workers);
    g_test_add_func("/sched/failing-task-delays-no-job-on-48-workers",
                    test_failing_task_delays_no_job_on_48_workers);
    g_test_add_func("/sched/failing-task-delays-no-long-running-job",
                    test_failing_task_delays_no_long_running_job);
    g_test_add_func("/sched/failing-wide-job-delays-no-job",
                    test_failing_wide_job_delays_no_job);
    g_test_add_func("/sched/failing-jobs-delay-no-job",
                    test_failing_jobs_delay_no_job);
    g_test_add_func("/sched/job-that-begins-to-fail-delays-no-job",
                    test_job_that_begins_to_fail_delays_no_job);
    g_test_add_func("/sched/long-running-tasks-that-fail-now-and-then",
                    test_long_running_tasks_that_fail_now_and_then);
    g_test_add_func("/sched/failing-worker-is-avoided",
                    test_failing_worker_is_avoided);
    return g_test_run();
}
