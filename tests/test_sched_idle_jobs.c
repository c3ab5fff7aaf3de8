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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    for (size_t i = 0; i < NM_COUNT_OF(wait_cases); i++) {
        g_test_add_data_func(wait_cases[i].name, &wait_cases[i],
                             test_explained);
    }
    return g_test_run();
}
