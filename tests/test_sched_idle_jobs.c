/*
 * Jobs that are idle: why the owner says they are, and for how long they may
 * be beside others that share too few places.
 */
#include <string.h>

#include "lib_sched_crash.h"
#include "lib_sched_fleet.h"

/* The rules: an accepted job may have nothing at work for this long. */
#define IDLE_MS_MAX 3000
#define JOBS_MAX 64
/*
 * Who looks at jobs now and then may take turns for idle time; our own bound,
 * as runs begin and end at any time.
 */
#define SEEN_IDLE_SHARE_MAX 0.05
#define LABEL "disk=ssd"

/* A task that waits, and how the owner is to explain it. */
typedef struct {
    const char *name;
    uint32_t workers_lost;  /* each in the first second of a run */
    const char *open_start; /* a former owner's, as stored; "": none */
    int64_t cpu_milli;
    nm_wait_cause_t cause;
    nm_exclusion_t exclusion; /* of all workers, if it waits for one */
} wait_case_t;

static const wait_case_t wait_cases[] = {
    {"/idle-jobs/explained/no-room", 0, "", CPU_MILLI + 1, NM_WAIT_PLACEMENT,
     NM_EXCLUSION_ROOM},
    {"/idle-jobs/explained/silent-workers", 5, "", 1000,
     NM_WAIT_SILENT_WORKERS, NM_EXCLUSION_NONE},
    {"/idle-jobs/explained/open-start", 0, "[0,0,0,7,%lld]", 1000,
     NM_WAIT_OPEN_START, NM_EXCLUSION_NONE},
};

/* Adds the job, with what a former owner has stored of it. */
static void
add_waiting_job(crash_sim_t *crash, const wait_case_t *wait)
{
    bool recovered = wait->open_start[0] != '\0';
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "batch", "press");
    *nm_job_spec_add_step(&spec) =
        (nm_step_t){.task_count = 1,
                    .cpu_milli = wait->cpu_milli,
                    .memory_mb = 1000,
                    .estimate_ms = 1000,
                    .long_running = wait->workers_lost > 0};
    g_assert_cmpint(nm_sched_add_job(crash->sim.sched, &spec, recovered,
                                     crash->sim.now_ms),
                    ==, NM_OK);
    nm_job_spec_finish(&spec);
    if (!recovered) {
        return;
    }
    char row[64];
    g_snprintf(
        row, sizeof(row), wait->open_start,
        (long long)(crash->sim.unix_offset_ms + crash->sim.now_ms + 9000));
    char *record = g_strdup_printf(
        "{\"version\":1,\"state\":\"running\",\"done\":[[\".\"]],"
        "\"attempts_max\":2,\"failures\":[],\"silences\":[],"
        "\"ids_reused\":true,\"open_starts\":[%s]}",
        row);
    g_assert_cmpint(nm_sched_restore(crash->sim.sched, JOB, record,
                                     (uint32_t)strlen(record)),
                    ==, NM_OK);
    g_free(record);
}

static void
test_explained(gconstpointer data)
{
    const wait_case_t *wait = data;
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    add_waiting_job(&crash, wait);
    uint32_t lost = 0;
    for (nm_ms_t t = 0; t < 60000 && lost < wait->workers_lost;
         t += CRASH_SIM_STEP_MS)
    {
        crash_sim_run(&crash, "", CRASH_SIM_STEP_MS);
        if (crash.running->len > 0) {
            nm_sched_action_t run =
                g_array_index(crash.running, nm_sched_action_t, 0);
            crash_sim_crash(&crash, run.worker);
            lost++;
        }
    }
    crash_sim_run(&crash, "", wait->workers_lost > 0 ? 20000 : 4000);
    nm_sched_wait_t waits[NM_WAIT_CAUSE_COUNT];
    nm_sched_query_waits(crash.sim.sched, IDLE_MS_MAX, crash.sim.now_ms,
                         waits);
    for (nm_wait_cause_t c = 0; c < NM_WAIT_CAUSE_COUNT; c++) {
        g_assert_cmpuint(waits[c].jobs, ==, c == wait->cause);
    }
    const nm_sched_wait_t *found = &waits[wait->cause];
    g_assert_cmpstr(found->task, ==, TASK);
    g_assert_cmpint(found->idle_ms, >=, IDLE_MS_MAX);
    g_assert_cmpuint(found->silences, ==, wait->workers_lost);
    g_assert_cmpint(found->open_start_ms > 0, ==,
                    wait->cause == NM_WAIT_OPEN_START);
    g_assert_cmpuint(found->workers[wait->exclusion], ==,
                     wait->cause == NM_WAIT_PLACEMENT ? CRASH_SIM_WORKERS : 0);
    crash_sim_finish(&crash);
}

/*
 * Fillers of more jobs than may work at full speed at a time; there is memory
 * for all of them.
 */
typedef struct {
    const char *name;
    int workers;
    uint32_t jobs;
    nm_ms_t duration_ms; /* of a run at full speed */
    /* Workers with a serving task near its target, where no filler starts. */
    int without_headroom;
    uint32_t gang;           /* tasks of a gang; 0: 200 tasks, no gang */
    uint32_t per_worker_max; /* tasks of a job; 0: no limit */
    int labelled;            /* the first workers, which all jobs require */
    /* Of each worker: requested by lasting tasks without a target. */
    int64_t reserved_cpu_milli;
    int64_t reserved_memory_mb;
    /* A serving task is over its target from then on; 0: none. */
    nm_ms_t over_target_ms;
    int64_t memory_mb; /* of a filler; 0: 1000 */
} turns_case_t;

static const turns_case_t turns_cases[] = {
    {.name = "/idle-jobs/jobs-that-take-turns/short-runs",
     .workers = 4,
     .jobs = 60,
     .duration_ms = 1700},
    {.name = "/idle-jobs/jobs-that-take-turns/runs-of-1-s",
     .workers = 4,
     .jobs = 48,
     .duration_ms = 1000},
    {.name = "/idle-jobs/jobs-that-take-turns/long-runs",
     .workers = 4,
     .jobs = 48,
     .duration_ms = 12000},
    {.name = "/idle-jobs/jobs-that-take-turns/few-workers-with-headroom",
     .workers = 8,
     .jobs = 60,
     .duration_ms = 3000,
     .without_headroom = 4},
    {.name = "/idle-jobs/jobs-that-take-turns/gangs",
     .workers = 4,
     .jobs = 20,
     .duration_ms = 5000,
     .gang = 2},
    {.name = "/idle-jobs/jobs-that-take-turns/limit-per-worker",
     .workers = 4,
     .jobs = 40,
     .duration_ms = 5000,
     .per_worker_max = 1},
    {.name = "/idle-jobs/jobs-that-take-turns/label",
     .workers = 8,
     .jobs = 24,
     .duration_ms = 5000,
     .labelled = 2},
    {.name = "/idle-jobs/jobs-that-take-turns/label-and-limit",
     .workers = 8,
     .jobs = 24,
     .duration_ms = 5000,
     .per_worker_max = 1,
     .labelled = 2},
    {.name = "/idle-jobs/jobs-that-take-turns/half-of-cpu-reserved",
     .workers = 8,
     .jobs = 60,
     .duration_ms = 5000,
     .reserved_cpu_milli = CPU_MILLI / 2 - 100},
    {.name = "/idle-jobs/jobs-that-take-turns/paused-beside-serving-task",
     .workers = 4,
     .jobs = 16,
     .duration_ms = 60000,
     .without_headroom = 1,
     .over_target_ms = 20000},
};

static void
begin_turns_fleet(sched_fleet_t *fleet, const turns_case_t *turns)
{
    sched_fleet_init(fleet, 1);
    for (int w = 0; w < turns->workers; w++) {
        sched_fleet_add_worker(fleet, "press");
        if (w < turns->labelled) {
            nm_sched_worker_t *desc = &fleet->workers[w].desc;
            nm_strcopy(desc->labels[desc->label_count++],
                       sizeof(desc->labels[0]), LABEL);
        }
    }
    sched_fleet_begin(fleet);
    sched_fleet_add_rule(
        fleet,
        (sched_fleet_rule_t){.prefix = "5e12",
                             .metric = turns->over_target_ms > 0 ? 50 : 90});
    sched_fleet_add_rule(fleet, (sched_fleet_rule_t){.prefix = "1a57"});
    sched_fleet_add_rule(
        fleet, (sched_fleet_rule_t){.prefix = "f1",
                                    .duration_ms = turns->duration_ms,
                                    .end = NM_END_DONE,
                                    .metric = CPU_MILLI / 4});
    if (turns->without_headroom > 0) {
        nm_step_t serving = {.task_count = (uint32_t)turns->without_headroom,
                             .cpu_milli = CPU_MILLI / 2 + 1,
                             .memory_mb = 1000,
                             .estimate_ms = 1000,
                             .long_running = true,
                             .target_ms = 100,
                             .per_worker_max = 1,
                             .image = "serve"};
        sched_fleet_add_job(fleet, "5e120000000000aa", "batch", serving);
        sched_fleet_time_to_start(fleet, "5e12", serving.task_count, 9000,
                                  NULL);
    }
    if (turns->reserved_cpu_milli > 0) {
        nm_step_t lasting = {.task_count = (uint32_t)turns->workers,
                             .cpu_milli = turns->reserved_cpu_milli,
                             .memory_mb = MAX(turns->reserved_memory_mb, 1000),
                             .estimate_ms = 1000,
                             .long_running = true,
                             .per_worker_max = 1};
        sched_fleet_add_job(fleet, "1a570000000000aa", "batch", lasting);
        sched_fleet_time_to_start(fleet, "1a57", lasting.task_count, 9000,
                                  NULL);
    }
}

static nm_step_t
make_filler(const turns_case_t *turns)
{
    nm_step_t step = {.task_count = turns->gang > 0 ? turns->gang : 200,
                      .cpu_milli = CPU_MILLI / 4,
                      .memory_mb =
                          turns->memory_mb > 0 ? turns->memory_mb : 1000,
                      .estimate_ms = turns->duration_ms,
                      .is_filler = true,
                      .is_gang = turns->gang > 0,
                      .per_worker_max = turns->per_worker_max,
                      .image = "fill"};
    if (turns->labelled > 0) {
        nm_strcopy(step.label, sizeof(step.label), LABEL);
    }
    return step;
}

static bool
is_completed(const sched_fleet_t *fleet, const char *id)
{
    nm_sched_job_info_t info;
    return nm_sched_query_job_info(fleet->sim.sched, id, &info) &&
           info.state == NM_JOB_COMPLETED;
}

/* True if a run of a job is at work, or may be: it is not paused. */
static bool
is_at_work(const sched_fleet_t *fleet, const char *job)
{
    for (guint i = 0; i < fleet->runs->len; i++) {
        const sched_fleet_run_t *run =
            &g_array_index(fleet->runs, sched_fleet_run_t, i);
        if (run->percent > 0 && g_str_has_prefix(run->row.task, job)) {
            return true;
        }
    }
    return false;
}

/* Lets the tail of the serving task rise once it is time for it. */
static void
disturb_fleet(sched_fleet_t *fleet, const turns_case_t *turns, nm_ms_t time_ms)
{
    for (guint i = 0; time_ms == turns->over_target_ms && time_ms > 0 &&
                      i < fleet->runs->len;
         i++)
    {
        sched_fleet_run_t *run =
            &g_array_index(fleet->runs, sched_fleet_run_t, i);
        if (g_str_has_prefix(run->row.task, "5e12")) {
            run->row.metric = 150;
        }
    }
}

/*
 * Returns the share of jobs that are idle each time in three looks at them
 * within IDLE_MS_MAX, whenever these begin.
 */
static double
seen_idle_share(const bool *idle, uint32_t jobs, uint32_t ticks)
{
    uint32_t apart = IDLE_MS_MAX / 2 / SCHED_FLEET_TICK_MS;
    uint32_t count = 0;
    uint32_t looks = 0;
    for (uint32_t j = 0; j < jobs; j++) {
        const bool *of_job = &idle[j * ticks];
        for (uint32_t t = 0; t + 2 * apart < ticks; t++) {
            count += of_job[t] && of_job[t + apart] && of_job[t + 2 * apart];
            looks++;
        }
    }
    return (double)count / looks;
}

static void
test_turns(gconstpointer data)
{
    enum { PLAY_MS = 60000, TICKS = PLAY_MS / SCHED_FLEET_TICK_MS };
    const turns_case_t *turns = data;
    sched_fleet_t fleet;
    begin_turns_fleet(&fleet, turns);
    char ids[JOBS_MAX][NM_JOB_ID_MAX];
    nm_ms_t at_work_ms[JOBS_MAX];
    for (uint32_t j = 0; j < turns->jobs; j++) {
        g_snprintf(ids[j], sizeof(ids[j]), "f1%014u", j);
        sched_fleet_add_job(&fleet, ids[j], "batch", make_filler(turns));
        at_work_ms[j] = fleet.sim.now_ms;
    }
    nm_ms_t longest_ms = 0;
    bool *idle = g_new0(bool, (gsize)turns->jobs *TICKS);
    for (nm_ms_t t = 0; t < PLAY_MS; t += SCHED_FLEET_TICK_MS) {
        disturb_fleet(&fleet, turns, t);
        sched_fleet_tick(&fleet);
        for (uint32_t j = 0; j < turns->jobs; j++) {
            if (is_at_work(&fleet, ids[j]) || is_completed(&fleet, ids[j])) {
                at_work_ms[j] = fleet.sim.now_ms;
            }
            longest_ms = MAX(longest_ms, fleet.sim.now_ms - at_work_ms[j]);
            idle[j * TICKS + t / SCHED_FLEET_TICK_MS] =
                at_work_ms[j] < fleet.sim.now_ms;
        }
    }
    g_test_message("%u jobs: idle for %d ms at most, %u runs done",
                   turns->jobs, (int)longest_ms, fleet.done);
    g_assert_cmpint(longest_ms, <=, IDLE_MS_MAX);
    double seen_idle = seen_idle_share(idle, turns->jobs, TICKS);
    g_test_message("seen idle in three looks: %.4f", seen_idle);
    g_assert_cmpfloat(seen_idle, <=, SEEN_IDLE_SHARE_MAX);
    g_free(idle);
    sched_fleet_finish(&fleet);
}

/*
 * Jobs of one filler each.  All workers together end them in time, though some
 * of the workers can't bring a slowed one to full speed.
 */
typedef struct {
    const char *name;
    turns_case_t fleet;
    int full; /* workers whose CPU lasting tasks take */
    nm_ms_t end_ms_max;
} last_case_t;

static const last_case_t last_cases[] = {
    {"/idle-jobs/slowed-fillers-end/beside-full-workers",
     {.workers = 8, .jobs = 48, .duration_ms = 3000},
     4,
     18000},
    {"/idle-jobs/slowed-fillers-end/large-beside-full-workers",
     {.workers = 8, .jobs = 32, .duration_ms = 3000, .memory_mb = 14000},
     4,
     18000},
    {"/idle-jobs/slowed-fillers-end/beside-workers-without-headroom",
     {.workers = 8, .jobs = 48, .duration_ms = 3000, .without_headroom = 4},
     0,
     18000},
};

static void
test_last(gconstpointer data)
{
    enum { PLAY_MS = 120000 };
    const last_case_t *last = data;
    sched_fleet_t fleet;
    begin_turns_fleet(&fleet, &last->fleet);
    if (last->full > 0) {
        nm_step_t lasting = {.task_count = (uint32_t)last->full,
                             .cpu_milli = CPU_MILLI,
                             .memory_mb = 1000,
                             .estimate_ms = 1000,
                             .long_running = true};
        sched_fleet_add_job(&fleet, "1a570000000000aa", "batch", lasting);
        sched_fleet_time_to_start(&fleet, "1a57", lasting.task_count, 9000,
                                  NULL);
    }
    nm_step_t step = make_filler(&last->fleet);
    step.task_count = 1;
    char id[NM_JOB_ID_MAX];
    for (uint32_t j = 0; j < last->fleet.jobs; j++) {
        g_snprintf(id, sizeof(id), "f1%014u", j);
        sched_fleet_add_job(&fleet, id, "batch", step);
    }
    nm_ms_t end_ms = 0;
    while (fleet.done < last->fleet.jobs && end_ms < PLAY_MS) {
        sched_fleet_tick(&fleet);
        end_ms += SCHED_FLEET_TICK_MS;
    }
    g_test_message("%u of %u jobs done after %d ms, %u stops", fleet.done,
                   last->fleet.jobs, (int)end_ms, fleet.stops);
    g_assert_cmpint(end_ms, <=, last->end_ms_max);
    sched_fleet_finish(&fleet);
}

/* A filler that a former owner has slowed or paused, or left at full speed. */
typedef struct {
    const char *name;
    int64_t metric;          /* CPU that its worker reports, of 4000 */
    uint32_t wanted_percent; /* 0: it is sent no order */
} adopted_case_t;

static const adopted_case_t adopted_cases[] = {
    {"/idle-jobs/adopted-filler/full-speed", 3500, 0},
    {"/idle-jobs/adopted-filler/slowed", 200, 5},
    {"/idle-jobs/adopted-filler/paused", 0, 100},
};

static void
test_adopted(gconstpointer data)
{
    const adopted_case_t *adopted = data;
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "batch", "press");
    *nm_job_spec_add_step(&spec) = (nm_step_t){.task_count = 1,
                                               .cpu_milli = 4000,
                                               .memory_mb = 1000,
                                               .estimate_ms = 60000,
                                               .is_filler = true,
                                               .image = "fill"};
    g_assert_cmpint(nm_sched_add_job(sim.sched, &spec, true, sim.now_ms), ==,
                    NM_OK);
    nm_job_spec_finish(&spec);
    sched_sim_announce(&sim, "a", 1);
    sched_sim_advance(&sim, 10);
    nm_worker_run_t run = sched_sim_make_run(TASK, 7);
    run.metric = adopted->metric;
    sched_sim_report(&sim, "a", 1, &run, 1, NULL, 0);
    sched_sim_advance(&sim, 200);
    const nm_sched_action_t *order =
        sched_sim_find_action(&sim, NM_ACTION_THROTTLE, "a");
    g_assert_cmpuint(order ? order->percent : 0, ==, adopted->wanted_percent);
    sched_sim_finish(&sim);
}

/* Adds a job of fillers, each as large as a worker, and starts what fits. */
static void
add_large_fillers(sched_sim_t *sim, const char *id, uint32_t tasks)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    *nm_job_spec_add_step(&spec) = (nm_step_t){.task_count = tasks,
                                               .cpu_milli = CPU_MILLI,
                                               .memory_mb = 1000,
                                               .estimate_ms = 60000,
                                               .is_filler = true,
                                               .image = "fill"};
    nm_sched_add_job(sim->sched, &spec, false, sim->now_ms);
    nm_job_spec_finish(&spec);
    sched_sim_advance(sim, 30);
}

/*
 * The only run of a job is on a worker that falls silent; its lease lapses
 * after 7 s.  Another task of the job starts on the other worker.
 */
static void
test_silent_worker(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_worker(&sim, "b");
    add_large_fillers(&sim, "1111111111111111", 1);
    nm_sched_action_t other = sched_sim_confirm_starts(&sim);
    add_large_fillers(&sim, JOB, 2);
    nm_sched_action_t run = sched_sim_confirm_starts(&sim);
    g_assert_cmpstr(run.worker, !=, other.worker);
    nm_worker_run_t row = sched_sim_make_run(other.task, other.run);
    row.metric = CPU_MILLI;
    nm_ms_t silent_ms = sim.now_ms;
    nm_ms_t started_ms = 0;
    while (started_ms == 0 && sim.now_ms - silent_ms < 20000) {
        sched_sim_advance(&sim, 100);
        sched_sim_lose_poll(&sim, run.worker);
        sched_sim_report(&sim, other.worker, 1, &row, 1, NULL, 0);
        const nm_sched_action_t *start =
            sched_sim_find_action(&sim, NM_ACTION_START, other.worker);
        started_ms = start ? sim.now_ms : 0;
    }
    g_test_message("started %d ms after the last sign of the worker",
                   (int)(started_ms - silent_ms));
    g_assert_cmpint(started_ms, >, 0);
    g_assert_cmpint(started_ms - silent_ms, <=, IDLE_MS_MAX);
    sched_sim_finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    for (size_t i = 0; i < NM_COUNT_OF(wait_cases); i++) {
        g_test_add_data_func(wait_cases[i].name, &wait_cases[i],
                             test_explained);
    }
    for (size_t i = 0; i < NM_COUNT_OF(adopted_cases); i++) {
        g_test_add_data_func(adopted_cases[i].name, &adopted_cases[i],
                             test_adopted);
    }
    g_test_add_func("/idle-jobs/only-run-on-a-silent-worker",
                    test_silent_worker);
    for (size_t i = 0; i < NM_COUNT_OF(turns_cases); i++) {
        g_test_add_data_func(turns_cases[i].name, &turns_cases[i], test_turns);
    }
    for (size_t i = 0; i < NM_COUNT_OF(last_cases); i++) {
        g_test_add_data_func(last_cases[i].name, &last_cases[i], test_last);
    }
    return g_test_run();
}
