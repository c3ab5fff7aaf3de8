/*
 * Tests of waiting work while the number of starts in flight is at its limit,
 * so that no placement reaches the end of the order.
 */
#include "lib_sched_fleet.h"

/* Wall clock of a simulation at its time 0. */
#define UNIX_OFFSET_MS 1000000
/* The rules: an accepted job may have nothing at work for this long. */
#define IDLE_MS_MAX 3000
/* The rules: a long-running task may be without a run for this long. */
#define INTERRUPTED_MS_MAX 9000
/* So long the tests wait for a start. */
#define WAIT_LIMIT_MS 20000
/* A worker that does not respond is noticed in this time. */
#define SILENCE_MS 1000
#define WORKERS 16
/* Tasks of a job that arrives in each tick, more than may start in one. */
#define BURST_TASKS 500
#define OCCURRENCE_INTERVAL_MS 4000
#define OCCURRENCE_MS 1000
/* So long the waits of a case are measured. */
#define CASE_MS 30000

/* A job beside the bursts, and for how long fewer than its tasks may run. */
typedef struct {
    const char *name;
    uint32_t tasks; /* of each step; a step starts after the one before */
    uint32_t steps; /* 0: one */
    uint32_t occurrences;
    bool is_gang;
    bool is_filler;
    bool long_running;
    nm_ms_t duration_ms; /* of a run; 0: it does not end */
    nm_end_t end;
    nm_ms_t first_start_ms_max; /* the bursts begin then; 0: they go first */
    nm_ms_t wait_ms_max;
} limit_case_t;

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

static void
tick_with_bursts(sched_fleet_t *fleet, nm_ms_t duration_ms)
{
    for (nm_ms_t ms = 0; ms < duration_ms; ms += SCHED_FLEET_TICK_MS) {
        add_burst(fleet);
        sched_fleet_tick(fleet);
    }
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
    tick_with_bursts(&fleet, IDLE_MS_MAX);
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

static const limit_case_t LIMIT_CASES[] = {
    {.name = "idle-gang",
     .tasks = 4,
     .is_gang = true,
     .wait_ms_max = IDLE_MS_MAX},
    {.name = "idle-filler",
     .tasks = 1,
     .is_filler = true,
     .wait_ms_max = IDLE_MS_MAX},
    {.name = "idle-long-running-job",
     .tasks = 1,
     .long_running = true,
     .wait_ms_max = IDLE_MS_MAX},
    {.name = "idle-long-running-gang",
     .tasks = 4,
     .is_gang = true,
     .long_running = true,
     .wait_ms_max = IDLE_MS_MAX},
    {.name = "next-step",
     .tasks = 1,
     .steps = 4,
     .duration_ms = 5000,
     .wait_ms_max = IDLE_MS_MAX},
    {.name = "failed-task",
     .tasks = 1,
     .duration_ms = 4000,
     .end = NM_END_FAILED,
     .wait_ms_max = IDLE_MS_MAX},
    {.name = "due-occurrence",
     .tasks = 1,
     .occurrences = 4,
     .duration_ms = OCCURRENCE_MS,
     .wait_ms_max = OCCURRENCE_INTERVAL_MS - OCCURRENCE_MS + IDLE_MS_MAX},
    {.name = "interrupted-job",
     .tasks = 4,
     .long_running = true,
     .duration_ms = 3000,
     .end = NM_END_FAILED,
     .first_start_ms_max = WAIT_LIMIT_MS,
     .wait_ms_max = INTERRUPTED_MS_MAX},
    {.name = "interrupted-gang",
     .tasks = 4,
     .is_gang = true,
     .long_running = true,
     .duration_ms = 3000,
     .end = NM_END_FAILED,
     .first_start_ms_max = WAIT_LIMIT_MS,
     .wait_ms_max = INTERRUPTED_MS_MAX},
};

/* Adds the job of a case; its first occurrence is due in some seconds. */
static void
add_case_job(sched_fleet_t *fleet, const limit_case_t *limit)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "batch", "press");
    for (uint32_t s = 0; s < MAX(limit->steps, 1); s++) {
        nm_step_t *step = nm_job_spec_add_step(&spec);
        *step = (nm_step_t){.task_count = limit->tasks,
                            .cpu_milli = CPU_MILLI / 4,
                            .memory_mb = 1000,
                            .estimate_ms = 60000,
                            .is_gang = limit->is_gang,
                            .is_filler = limit->is_filler,
                            .long_running = limit->long_running};
        nm_strcopy(step->image, sizeof(step->image), "sieve");
        if (s > 0) {
            step->after = g_new(uint32_t, 1);
            step->after[0] = s - 1;
            step->after_count = 1;
        }
    }
    if (limit->occurrences > 0) {
        spec.occurrences = limit->occurrences;
        spec.interval_ms = OCCURRENCE_INTERVAL_MS;
        spec.first_unix_ms =
            UNIX_OFFSET_MS + fleet->sim.now_ms + OCCURRENCE_INTERVAL_MS;
    }
    g_assert_cmpint(
        nm_sched_add_job(fleet->sim.sched, &spec, false, fleet->sim.now_ms),
        ==, NM_OK);
    nm_job_spec_finish(&spec);
}

static bool
case_job_has_ended(const sched_fleet_t *fleet)
{
    return nm_sched_query_job(fleet->sim.sched, JOB) >= NM_JOB_COMPLETED;
}

/* Work in turn waited until the placements got to the end of the order. */
static void
test_starts_in_flight_delay(gconstpointer data)
{
    const limit_case_t *limit = data;
    sched_fleet_t fleet;
    begin_fleet(&fleet);
    sched_fleet_add_rule(
        &fleet, (sched_fleet_rule_t){.prefix = JOB,
                                     .duration_ms = limit->duration_ms,
                                     .end = limit->end});
    if (limit->first_start_ms_max == 0) {
        tick_with_bursts(&fleet, IDLE_MS_MAX);
    }
    add_case_job(&fleet, limit);
    sched_fleet_time_to_start(&fleet, JOB, limit->tasks,
                              limit->first_start_ms_max, NULL);
    nm_ms_t wait_ms = 0;
    nm_ms_t wait_ms_max = 0;
    for (nm_ms_t ms = 0; ms < CASE_MS && wait_ms_max <= limit->wait_ms_max &&
                         !case_job_has_ended(&fleet);
         ms += SCHED_FLEET_TICK_MS)
    {
        add_burst(&fleet);
        sched_fleet_tick(&fleet);
        bool waits = sched_fleet_count_running(&fleet, JOB) < limit->tasks;
        wait_ms = waits ? wait_ms + SCHED_FLEET_TICK_MS : 0;
        wait_ms_max = MAX(wait_ms_max, wait_ms);
    }
    g_assert_cmpint(wait_ms_max, <=, limit->wait_ms_max);
    sched_fleet_finish(&fleet);
}

/* Crashes the worker of the only run, where the least CPU is free. */
static void
crash_fullest_worker(sched_fleet_t *fleet)
{
    g_assert_cmpint(fleet->runs->len, ==, 1);
    sched_fleet_crash(fleet,
                      g_array_index(fleet->runs, sched_fleet_run_t, 0).worker);
}

/*
 * Starts sent to a worker that has fallen silent counted against the limit
 * until its lease had lapsed, and nothing started on the other workers.
 */
static void
test_unanswered_starts_delay_no_idle_job(void)
{
    sched_fleet_t fleet;
    begin_fleet(&fleet);
    fleet.restart_ms = WAIT_LIMIT_MS;
    fleet.lost_ms = WAIT_LIMIT_MS;
    sched_fleet_add_rule(&fleet, (sched_fleet_rule_t){.prefix = "dddd"});
    sched_fleet_add_numbered_job(&fleet, "dddd", 1, "batch",
                                 (nm_step_t){.task_count = 1,
                                             .cpu_milli = CPU_MILLI / 2,
                                             .memory_mb = 1000,
                                             .long_running = true});
    sched_fleet_time_to_start(&fleet, "dddd", 1, IDLE_MS_MAX, NULL);
    sched_fleet_tick(&fleet);
    crash_fullest_worker(&fleet);
    add_burst(&fleet);
    for (nm_ms_t ms = 0; ms < SILENCE_MS; ms += SCHED_FLEET_TICK_MS) {
        sched_fleet_tick(&fleet);
    }
    sched_fleet_add_job(&fleet, JOB, "batch",
                        (nm_step_t){.task_count = 1,
                                    .cpu_milli = CPU_MILLI / 4,
                                    .memory_mb = 1000,
                                    .estimate_ms = 1000});
    nm_ms_t took_ms =
        sched_fleet_time_to_start(&fleet, JOB, 1, WAIT_LIMIT_MS, NULL);
    g_assert_cmpint(took_ms, <=, IDLE_MS_MAX);
    sched_fleet_finish(&fleet);
}

/* Adds short tasks that take all CPU that is free. */
static void
add_filling_load(sched_fleet_t *fleet)
{
    static uint32_t number;
    for (int i = 0; i < WORKERS / 2; i++) {
        sched_fleet_add_numbered_job(fleet, "bbbb", ++number, "batch",
                                     (nm_step_t){.task_count = 1,
                                                 .cpu_milli = CPU_MILLI / 4,
                                                 .memory_mb = 100,
                                                 .estimate_ms = 1000});
    }
}

/* A step was overdue as a whole once one of its tasks was interrupted. */
static void
test_interrupted_task_lets_no_new_ones_go_first(void)
{
    enum { TASKS = 48, RUNNING = 4 };
    sched_fleet_t fleet;
    begin_fleet(&fleet);
    sched_fleet_add_rule(&fleet, (sched_fleet_rule_t){.prefix = JOB ".0.0.3",
                                                      .duration_ms = 12800,
                                                      .end = NM_END_FAILED});
    sched_fleet_add_rule(&fleet, (sched_fleet_rule_t){.prefix = JOB});
    sched_fleet_add_rule(&fleet, (sched_fleet_rule_t){.prefix = "dddd"});
    sched_fleet_add_numbered_job(
        &fleet, "dddd", 1, "batch",
        (nm_step_t){.task_count = 4 * WORKERS - RUNNING,
                    .cpu_milli = CPU_MILLI / 4,
                    .memory_mb = 100,
                    .long_running = true});
    sched_fleet_time_to_start(&fleet, "dddd", 4 * WORKERS - RUNNING,
                              IDLE_MS_MAX, NULL);
    sched_fleet_add_job(&fleet, JOB, "batch",
                        (nm_step_t){.task_count = TASKS,
                                    .cpu_milli = CPU_MILLI / 4,
                                    .memory_mb = 100,
                                    .long_running = true});
    sched_fleet_time_to_start(&fleet, JOB, RUNNING, IDLE_MS_MAX, NULL);
    /* The short tasks begin together, and end together from then on. */
    for (int i = 0; i < 8; i++) {
        add_filling_load(&fleet);
    }
    nm_sched_cancel_job(fleet.sim.sched, "dddd000000000001", fleet.sim.now_ms);
    for (nm_ms_t ms = 0; ms < WAIT_LIMIT_MS; ms += SCHED_FLEET_TICK_MS) {
        add_filling_load(&fleet);
        sched_fleet_tick(&fleet);
    }
    g_assert_cmpuint(sched_fleet_count_running(&fleet, JOB), <=, RUNNING);
    sched_fleet_finish(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/starts-in-flight-delay-no-interrupted-task",
                    test_starts_in_flight_delay_no_interrupted_task);
    g_test_add_func("/sched/starts-in-flight-delay-no-idle-job",
                    test_starts_in_flight_delay_no_idle_job);
    g_test_add_func("/sched/unanswered-starts-delay-no-idle-job",
                    test_unanswered_starts_delay_no_idle_job);
    g_test_add_func("/sched/interrupted-task-lets-no-new-ones-go-first",
                    test_interrupted_task_lets_no_new_ones_go_first);
    for (size_t i = 0; i < G_N_ELEMENTS(LIMIT_CASES); i++) {
        char *path = g_strdup_printf("/sched/starts-in-flight-delay-no/%s",
                                     LIMIT_CASES[i].name);
        g_test_add_data_func(path, &LIMIT_CASES[i],
                             test_starts_in_flight_delay);
        g_free(path);
    }
    return g_test_run();
}
