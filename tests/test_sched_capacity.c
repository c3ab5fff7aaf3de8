/* Tests of a worker whose capacity changes while it runs tasks. */
#include <string.h>

#include "lib_sched_sim.h"

#define OTHER_JOB "0123456789abcdef"

/* The incarnation announces itself with another capacity. */
static void
announce_capacity(sched_sim_t *sim, int64_t cpu_milli, int64_t memory_mb)
{
    nm_sched_worker_t worker = {
        .incarnation = 1, .cpu_milli = cpu_milli, .memory_mb = memory_mb};
    nm_strcopy(worker.id, sizeof(worker.id), "a");
    nm_strcopy(worker.service, sizeof(worker.service), "press");
    nm_strcopy(worker.address, sizeof(worker.address), "10.0.0.1:80");
    nm_sched_set_worker(sim->sched, &worker, sim->now_ms);
}

/* Returns true if a task has started within some rounds. */
static bool
starts_any(sched_sim_t *sim)
{
    nm_worker_run_t runs[12];
    for (uint32_t i = 0; i < G_N_ELEMENTS(runs); i++) {
        char name[NM_TASK_NAME_MAX];
        g_snprintf(name, sizeof(name), JOB ".0.0.%u", i);
        runs[i] = sched_sim_make_run(name, 1);
    }
    for (int i = 0; i < 5; i++) {
        sched_sim_report(sim, "a", 1, runs, G_N_ELEMENTS(runs), NULL, 0);
        sched_sim_advance(sim, 30);
        if (sched_sim_find_action(sim, NM_ACTION_START, "a")) {
            return true;
        }
    }
    return false;
}

static void
add_filler(sched_sim_t *sim)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, OTHER_JOB, "batch", "press");
    *nm_job_spec_add_step(&spec) = (nm_step_t){.task_count = 1,
                                               .cpu_milli = 1000,
                                               .memory_mb = 100,
                                               .estimate_ms = 1000,
                                               .is_filler = true,
                                               .image = "press"};
    g_assert_cmpint(nm_sched_add_job(sim->sched, &spec, false, sim->now_ms),
                    ==, NM_OK);
    nm_job_spec_finish(&spec);
}

/*
 * A worker runs 12 tasks of 1000 and 100 MB and shrinks below that: nothing
 * starts until it has grown again.
 */
static void
check_shrunken(bool filler, int64_t cpu_milli, int64_t memory_mb)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, true, 12, 1000, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    announce_capacity(&sim, cpu_milli, memory_mb);
    if (filler) {
        add_filler(&sim);
    }
    else {
        sched_sim_add_job(&sim, OTHER_JOB, false, 1, 1000, false);
    }
    g_assert_false(starts_any(&sim));
    announce_capacity(&sim, CPU_MILLI, MEMORY_MB);
    g_assert_true(starts_any(&sim));
    sched_sim_finish(&sim);
}

static void
test_no_start_on_shrunken_cpu(void)
{
    check_shrunken(false, 12900, MEMORY_MB);
    check_shrunken(false, 8000, MEMORY_MB);
    check_shrunken(false, 0, MEMORY_MB);
}

static void
test_no_start_on_shrunken_memory(void)
{
    check_shrunken(false, CPU_MILLI, 1250);
    check_shrunken(false, CPU_MILLI, 500);
}

static void
test_no_filler_on_shrunken_worker(void)
{
    check_shrunken(true, 12900, MEMORY_MB);
    check_shrunken(true, 8000, MEMORY_MB);
    check_shrunken(true, CPU_MILLI, 500);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/sched/no-start-on-shrunken-cpu",
                    test_no_start_on_shrunken_cpu);
    g_test_add_func("/sched/no-start-on-shrunken-memory",
                    test_no_start_on_shrunken_memory);
    g_test_add_func("/sched/no-filler-on-shrunken-worker",
                    test_no_filler_on_shrunken_worker);
    return g_test_run();
}
