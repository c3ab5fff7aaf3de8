/*
 * Tests of long-running tasks that need more than the workers have: those that
 * have run before take what is free, and the log tells why the others wait.
 */
#include <string.h>

#include "lib_sched_fleet.h"

#define OTHER_JOB "0123456789abcdef"
/*
 * The rules: so long there may be room for two such tasks, from 6 s after the
 * last run of the task on.
 */
#define ROOM_MS_MAX 3000
#define WORKERS 40
#define LONG_RUNNING_PREFIX "bbbb"
/* The remaining workers have room for 320 of them, or 304 at the limit. */
#define LONG_RUNNING_TASKS 576
#define LONG_RUNNING_MAX 304
#define LONG_RUNNING_CPU_MILLI 1000
#define SHORT_MS 1000
/* Between two short jobs; more arrive than can run. */
#define SHORT_INTERVAL_MS 100
#define LARGE_INTERVAL_MS 1000
#define LARGE_MS 8000
#define FIRST_PREFIX "eeee"
#define LARGE_PREFIX "dddd"
/* Until lost workers are known to be gone. */
#define LOSS_MS 30000
#define OBSERVED_MS 60000

typedef struct {
    const char *name;
    bool long_running; /* the tasks at work */
    uint32_t tasks;
    int64_t cpu_milli;
    nm_interrupted_cause_t cause;
} cause_case_t;

/* A worker has 16 processors; an interrupted task waits. */
static const cause_case_t cause_cases[] = {
    {"/sched/interrupted-cause-no-room", true, 16, 1000,
     NM_INTERRUPTED_NO_ROOM},
    {"/sched/interrupted-cause-busy", false, 16, 1000, NM_INTERRUPTED_BUSY},
};

static void
report_all(sched_sim_t *sim, uint32_t tasks)
{
    nm_worker_run_t *runs = g_new0(nm_worker_run_t, tasks);
    for (uint32_t i = 0; i < tasks; i++) {
        char name[NM_TASK_NAME_MAX];
        g_snprintf(name, sizeof(name), JOB ".0.0.%u", i);
        runs[i] = sched_sim_make_run(name, 1);
    }
    sched_sim_report(sim, "a", 1, runs, tasks, NULL, 0);
    g_free(runs);
}

static void
test_cause(gconstpointer data)
{
    const cause_case_t *test = data;
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, test->long_running, test->tasks,
                      test->cpu_milli, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    sched_sim_add_job(&sim, OTHER_JOB, true, 1, 1000, true);
    static const char record[] = "{\"version\":1,\"state\":\"running\"}";
    g_assert_cmpint(nm_sched_restore(sim.sched, OTHER_JOB, record,
                                     (uint32_t)strlen(record)),
                    ==, NM_OK);
    report_all(&sim, test->tasks);
    sched_sim_advance(&sim, 30);
    nm_sched_capacity_t capacity =
        nm_sched_query_capacity(sim.sched, sim.now_ms);
    for (uint32_t c = 0; c < NM_INTERRUPTED_CAUSE_COUNT; c++) {
        g_assert_cmpuint(capacity.interrupted[c], ==, c == test->cause);
    }
    g_assert_cmpuint(capacity.interrupted_fit_twice, ==, 0);
    g_assert_cmpint(capacity.long_running_cpu_milli, ==,
                    test->long_running ? test->tasks * test->cpu_milli : 0);
    sched_sim_finish(&sim);
}

typedef struct {
    const char *name;
    bool short_tasks;        /* more small ones than can run */
    int64_t large_cpu_milli; /* of each large short task; 0: there are none */
    nm_ms_t room_ms_max;     /* longest time with room that nobody uses */
    uint32_t at_work_max;    /* long-running tasks at work */
} scarcity_t;

/* Interrupted tasks need more than the half of the workers that is left. */
static const scarcity_t scarcities[] = {
    {"/sched/interrupted-tasks-take-unused-room", false, 0, ROOM_MS_MAX, 320},
    {"/sched/interrupted-tasks-take-room-held-for-large-tasks", true,
     CPU_MILLI / 4 * 3, ROOM_MS_MAX, 320},
    {"/sched/interrupted-tasks-leave-room-that-short-tasks-use", true, 0,
     ROOM_MS_MAX, LONG_RUNNING_MAX},
};

static void
add_short_jobs(sched_fleet_t *fleet, const scarcity_t *test, uint32_t tick)
{
    nm_step_t step = {.task_count = 4,
                      .cpu_milli = LONG_RUNNING_CPU_MILLI,
                      .memory_mb = 100,
                      .estimate_ms = SHORT_MS};
    if (test->short_tasks &&
        tick % (SHORT_INTERVAL_MS / SCHED_FLEET_TICK_MS) == 0) {
        sched_fleet_add_numbered_job(fleet, "cccc", tick, "batch", step);
    }
    if (test->large_cpu_milli > 0 &&
        tick % (LARGE_INTERVAL_MS / SCHED_FLEET_TICK_MS) == 0)
    {
        step.task_count = 1;
        step.cpu_milli = test->large_cpu_milli;
        step.estimate_ms = LARGE_MS;
        sched_fleet_add_numbered_job(fleet, LARGE_PREFIX, tick, "batch", step);
    }
}

/*
 * A short task takes one worker until the other ones are full, so that the
 * remainder for short tasks is all on that worker.  Returns its number.
 */
static int
occupy_worker(sched_fleet_t *fleet)
{
    sched_fleet_add_rule(fleet, (sched_fleet_rule_t){.prefix = FIRST_PREFIX,
                                                     .duration_ms = LOSS_MS,
                                                     .end = NM_END_DONE});
    sched_fleet_add_numbered_job(fleet, FIRST_PREFIX, 0, "batch",
                                 (nm_step_t){.task_count = 1,
                                             .cpu_milli = CPU_MILLI,
                                             .memory_mb = 100,
                                             .estimate_ms = LOSS_MS});
    sched_fleet_time_to_start(fleet, FIRST_PREFIX, 1, LOSS_MS, NULL);
    g_assert_cmpuint(fleet->runs->len, ==, 1);
    return g_array_index(fleet->runs, sched_fleet_run_t, 0).worker;
}

static void
lose_half(sched_fleet_t *fleet)
{
    int kept = occupy_worker(fleet);
    sched_fleet_add_rule(fleet,
                         (sched_fleet_rule_t){.prefix = LONG_RUNNING_PREFIX});
    sched_fleet_add_rule(fleet, (sched_fleet_rule_t){.prefix = LARGE_PREFIX,
                                                     .duration_ms = LARGE_MS,
                                                     .end = NM_END_DONE});
    for (uint32_t i = 0; i < LONG_RUNNING_TASKS / 8; i++) {
        sched_fleet_add_numbered_job(
            fleet, LONG_RUNNING_PREFIX, i, "batch",
            (nm_step_t){.task_count = 8,
                        .cpu_milli = LONG_RUNNING_CPU_MILLI,
                        .memory_mb = 100,
                        .long_running = true});
    }
    sched_fleet_time_to_start(fleet, LONG_RUNNING_PREFIX, LONG_RUNNING_TASKS,
                              LOSS_MS, NULL);
    g_assert_cmpuint(sched_fleet_count_running(fleet, LONG_RUNNING_PREFIX), ==,
                     LONG_RUNNING_TASKS);
    int lost = 0;
    for (int w = 0; lost < WORKERS / 2; w++) {
        if (w != kept) {
            sched_fleet_crash(fleet, w);
            lost++;
        }
    }
}

/* True if a worker that is left has room for two long-running tasks. */
static bool
has_room_twice(const sched_fleet_t *fleet)
{
    nm_sched_capacity_t capacity =
        nm_sched_query_capacity(fleet->sim.sched, fleet->sim.now_ms);
    return capacity.interrupted_fit_twice > 0;
}

static void
test_scarcity(gconstpointer data)
{
    const scarcity_t *test = data;
    sched_fleet_t fleet;
    sched_fleet_init(&fleet, 1);
    fleet.restart_ms = NM_MS_NEVER / 2;
    fleet.lost_ms = 1000;
    for (int w = 0; w < WORKERS; w++) {
        sched_fleet_add_worker(&fleet, "press");
    }
    sched_fleet_begin(&fleet);
    lose_half(&fleet);
    nm_ms_t begin_ms = fleet.sim.now_ms;
    nm_ms_t room_ms = 0;
    nm_ms_t room_ms_max = 0;
    uint32_t at_work_max = 0;
    for (uint32_t tick = 0;
         fleet.sim.now_ms < begin_ms + LOSS_MS + OBSERVED_MS; tick++)
    {
        add_short_jobs(&fleet, test, tick);
        sched_fleet_tick(&fleet);
        room_ms = has_room_twice(&fleet) ? room_ms + SCHED_FLEET_TICK_MS : 0;
        if (fleet.sim.now_ms >= begin_ms + LOSS_MS) {
            room_ms_max = MAX(room_ms_max, room_ms);
            at_work_max =
                MAX(at_work_max,
                    sched_fleet_count_running(&fleet, LONG_RUNNING_PREFIX));
        }
    }
    g_test_message("room for %d ms, %u at work", (int)room_ms_max,
                   at_work_max);
    g_assert_cmpint(room_ms_max, <=, test->room_ms_max);
    g_assert_cmpuint(at_work_max, <=, test->at_work_max);
    g_assert_cmpuint(at_work_max, >=, LONG_RUNNING_MAX);
    sched_fleet_finish(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    for (guint i = 0; i < G_N_ELEMENTS(cause_cases); i++) {
        g_test_add_data_func(cause_cases[i].name, &cause_cases[i], test_cause);
    }
    for (guint i = 0; i < G_N_ELEMENTS(scarcities); i++) {
        g_test_add_data_func(scarcities[i].name, &scarcities[i],
                             test_scarcity);
    }
    return g_test_run();
}
