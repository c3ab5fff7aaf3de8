/*
 * Tests of waiting work while the number of starts in flight is at its limit,
 * so that no placement reaches the end of the order.
 */
#include "lib_sched_fleet.h"

/* The rules: an accepted job may have nothing at work for this long. */
#define IDLE_MS_MAX 3000
/* The rules: a long-running task may be without a run for this long. */
#define INTERRUPTED_MS_MAX 9000
/* So long the tests wait for a start. */
#define WAIT_LIMIT_MS 20000
#define WORKERS 16
/* Tasks of a job that arrives in each tick, more than may start in one. */
#define BURST_TASKS 500

/* Adds a job of short tasks that take next to nothing of the workers. */
static void
add_burst(sched_fleet_t *fleet)
{
    static uint32_t number;
    sched_fleet_add_numbered_job(fleet, "cccc", ++number, "batch",
                                 (nm_step_t){.task_count = BURST_TASKS,
                                             .cpu_milli = 1,
                                             .memory_mb = 1,
                                             .estimate_ms = 1000});
}

static void
begin_fleet(sched_fleet_t *fleet)
{
    sched_fleet_init(fleet, 1);
    for (int w = 0; w < WORKERS; w++) {
        sched_fleet_add_worker(fleet, "press");
    }
    sched_fleet_begin(fleet);
    sched_fleet_add_rule(fleet, (sched_fleet_rule_t){.prefix = "cccc",
                                                     .duration_ms = 100,
                                                     .end = NM_END_DONE});
}

/* Its wait began only once a placement had found no worker for it. */
static void
test_starts_in_flight_delay_no_interrupted_task(void)
{
    sched_fleet_t fleet;
    begin_fleet(&fleet);
    sched_fleet_add_rule(&fleet, (sched_fleet_rule_t){.prefix = JOB,
                                                      .duration_ms = 3000,
                                                      .end = NM_END_FAILED});
    sched_fleet_add_job(&fleet, JOB, "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = CPU_MILLI / 4,
                                    .memory_mb = 1000,
                                    .long_running = true});
    sched_fleet_time_to_start(&fleet, JOB, 1, IDLE_MS_MAX, NULL);
    while (sched_fleet_count_running(&fleet, JOB) > 0) {
        add_burst(&fleet);
        sched_fleet_tick(&fleet);
    }
    nm_ms_t took_ms =
        sched_fleet_time_to_start(&fleet, JOB, 1, WAIT_LIMIT_MS, add_burst);
    g_assert_cmpint(took_ms, <=, INTERRUPTED_MS_MAX);
    sched_fleet_finish(&fleet);
}

/* A job of one large task that comes after all others, as it is late. */
static void
test_starts_in_flight_delay_no_idle_job(void)
{
    sched_fleet_t fleet;
    begin_fleet(&fleet);
    for (nm_ms_t ms = 0; ms < IDLE_MS_MAX; ms += SCHED_FLEET_TICK_MS) {
        add_burst(&fleet);
        sched_fleet_tick(&fleet);
    }
    sched_fleet_add_job(&fleet, JOB, "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = CPU_MILLI / 4,
                                    .memory_mb = 1000,
                                    .estimate_ms = 60000});
    nm_ms_t took_ms =
        sched_fleet_time_to_start(&fleet, JOB, 1, WAIT_LIMIT_MS, add_burst);
    g_assert_cmpint(took_ms, <=, IDLE_MS_MAX);
    sched_fleet_finish(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/starts-in-flight-delay-no-interrupted-task",
                    test_starts_in_flight_delay_no_interrupted_task);
    g_test_add_func("/sched/starts-in-flight-delay-no-idle-job",
                    test_starts_in_flight_delay_no_idle_job);
    return g_test_run();
}
