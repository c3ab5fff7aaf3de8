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

/* Adds a short task that takes a quarter of a worker. */
static void
add_short_task(sched_fleet_t *fleet)
{
    static uint32_t number;
    sched_fleet_add_numbered_job(fleet, "cccc", ++number, "batch",
                                 (nm_step_t){.task_count = 1,
                                             .cpu_milli = CPU_MILLI / 4,
                                             .memory_mb = 1000,
                                             .estimate_ms = 1000});
}

/*
 * Short tasks refill each gap that is too small for the task, which is
 * interrupted after 3 s.  Returns for how long it then has no run.
 */
static nm_ms_t
time_interrupted(sched_fleet_t *fleet)
{
    sched_fleet_add_rule(fleet, (sched_fleet_rule_t){.prefix = JOB,
                                                     .duration_ms = 3000,
                                                     .end = NM_END_FAILED});
    sched_fleet_add_job(fleet, JOB, "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = CPU_MILLI / 4 * 3,
                                    .memory_mb = 1000,
                                    .long_running = true});
    sched_fleet_time_to_start(fleet, JOB, 1, IDLE_MS_MAX, NULL);
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
    g_assert_cmpint(time_interrupted(&fleet), <=, INTERRUPTED_MS_MAX);
    sched_fleet_finish(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/interrupted-task-among-short-ones",
                    test_interrupted_task_starts_among_short_ones);
    return g_test_run();
}
