/*
 * Tests of workers that are held for an idle job: a hold must lead to a start
 * in bounded time, or leave the worker and the limit of holds to others.
 */
#include "lib_sched_fleet.h"

/* The rules: an accepted job may have nothing at work for this long. */
#define IDLE_MS_MAX 3000
#define WAIT_LIMIT_MS 60000
/* Fillers of this prefix outlast the test. */
#define LASTING "bbbb"
#define LASTING_MS 120000
#define WORKERS 4
#define WARMUP_TICKS 100

/* Label that the small fillers need; empty: none. */
static const char *small_label;

/* Four small fillers in five ticks; a few more fit. */
static void
add_small_filler(sched_fleet_t *fleet)
{
    static uint32_t ticks;
    if (ticks++ % 5 == 0) {
        return;
    }
    nm_step_t step = {.task_count = 1,
                      .cpu_milli = 500,
                      .memory_mb = 10000,
                      .estimate_ms = 1000,
                      .is_filler = true,
                      .image = "press"};
    nm_strcopy(step.label, sizeof(step.label), small_label);
    sched_fleet_add_numbered_job(fleet, "cccc", ticks, "batch", step);
}

/* Sets up workers of which the first has another label than the others. */
static void
begin_fleet(sched_fleet_t *fleet)
{
    sched_fleet_init(fleet, 1);
    for (int w = 0; w < WORKERS; w++) {
        sched_fleet_add_worker(fleet, "press");
        nm_sched_worker_t *desc = &fleet->workers[w].desc;
        nm_strcopy(desc->labels[0], NM_NAME_MAX, w == 0 ? "slow" : "fast");
        desc->label_count = 1;
    }
    sched_fleet_begin(fleet);
    sched_fleet_add_rule(fleet, (sched_fleet_rule_t){.prefix = LASTING,
                                                     .duration_ms = LASTING_MS,
                                                     .end = NM_END_DONE});
}

static void
add_lasting_filler(sched_fleet_t *fleet, uint32_t number, int64_t memory_mb)
{
    sched_fleet_add_numbered_job(fleet, LASTING, number, "batch",
                                 (nm_step_t){.task_count = 1,
                                             .cpu_milli = 500,
                                             .memory_mb = memory_mb,
                                             .estimate_ms = LASTING_MS,
                                             .label = "slow",
                                             .is_filler = true,
                                             .image = "press"});
}

/* Returns the time until a large filler starts among small ones. */
static nm_ms_t
time_large_filler(sched_fleet_t *fleet, int64_t memory_mb)
{
    for (int i = 0; i < WARMUP_TICKS; i++) {
        add_small_filler(fleet);
        sched_fleet_tick(fleet);
    }
    sched_fleet_add_job(fleet, JOB, "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = 500,
                                    .memory_mb = memory_mb,
                                    .estimate_ms = 1000,
                                    .is_filler = true,
                                    .image = "press"});
    return sched_fleet_time_to_start(fleet, JOB, 1, WAIT_LIMIT_MS,
                                     add_small_filler);
}

/* The worker with the most free memory has a filler that does not end soon. */
static void
test_worker_with_lasting_filler_is_not_held(void)
{
    sched_fleet_t fleet;
    begin_fleet(&fleet);
    small_label = "fast";
    add_lasting_filler(&fleet, 1, 36000);
    sched_fleet_time_to_start(&fleet, LASTING, 1, IDLE_MS_MAX, NULL);
    g_assert_cmpint(time_large_filler(&fleet, 60000), <=, IDLE_MS_MAX);
    sched_fleet_finish(&fleet);
}

/* The oldest job waits for the only worker with its label. */
static void
test_job_that_waits_for_a_label_leaves_holds_to_others(void)
{
    sched_fleet_t fleet;
    begin_fleet(&fleet);
    small_label = "";
    add_lasting_filler(&fleet, 1, 60000);
    sched_fleet_time_to_start(&fleet, LASTING, 1, IDLE_MS_MAX, NULL);
    add_lasting_filler(&fleet, 2, 60000);
    g_assert_cmpint(time_large_filler(&fleet, 40000), <=, IDLE_MS_MAX);
    sched_fleet_finish(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/sched/worker-with-lasting-filler-is-not-held",
                    test_worker_with_lasting_filler_is_not_held);
    g_test_add_func("/sched/job-that-waits-for-a-label-leaves-holds-to-others",
                    test_job_that_waits_for_a_label_leaves_holds_to_others);
    return g_test_run();
}
