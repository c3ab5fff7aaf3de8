/*
 * Objective and remaining work of a job by what is known of its durations.
 *
 * Guards against remaining steps of a job being put behind those of other
 * jobs because one of its tasks is a straggler, or because its estimate was
 * wrong.
 */
#include <glib.h>

#include "fakes/lib_sched_sim.h"

#define ESTIMATE_MS 1000
#define TASKS 4
#define QUEUE "short"

typedef struct {
    const char *name;
    nm_ms_t ended_ms; /* when the tasks but the last one end; 0: not yet */
    nm_ms_t last_ended_ms; /* the same of the last one; 0: still runs */
    nm_ms_t until_ms;
    /* Objective: 1.5 times the longest chain of two steps, and 500 ms. */
    nm_ms_t objective_min_ms;
    nm_ms_t objective_max_ms;
} objective_case_t;

static const objective_case_t cases[] = {
    {"on-arrival", 0, 0, 100, 3500, 3500},
    {"as-estimated", 1000, 1000, 1200, 3400, 3600},
    {"estimate-was-nearly-right", 1400, 1400, 1600, 3500, 3500},
    {"estimate-was-too-short", 1800, 1800, 2000, 4600, 4800},
    {"estimate-was-too-long", 400, 400, 600, 2500, 2700},
    {"straggler-ends", 1000, 7000, 7200, 12400, 12700},
    /* After 4 s it is expected to take 8 s; the other step takes 1 s. */
    {"straggler-runs", 1000, 0, 4000, 13500, 14500},
    {"all-overrun", 0, 0, 4000, 13500, 14500},
};

static void
add_chain(sched_sim_t *sim)
{
    nm_sched_set_queue(sim->sched,
                       &(nm_queue_t){QUEUE, "press", 0, 4, 1.5, 500, 0});
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, QUEUE, "press");
    for (uint32_t s = 0; s < 2; s++) {
        nm_step_t *step = nm_job_spec_add_step(&spec);
        step->task_count = TASKS;
        step->cpu_milli = 1000;
        step->memory_mb = 100;
        step->estimate_ms = ESTIMATE_MS;
        if (s > 0) {
            nm_step_add_dependency(step, 0);
        }
    }
    g_assert_cmpint(nm_sched_add_job(sim->sched, &spec, false, sim->now_ms),
                    ==, NM_OK);
    nm_job_spec_finish(&spec);
}

/* Reports what runs of the first step, and ends those that are due. */
static void
report_runs(sched_sim_t *sim, const objective_case_t *test, nm_ms_t t)
{
    nm_worker_run_t runs[TASKS];
    nm_worker_end_t ends[TASKS];
    uint32_t run_count = 0;
    uint32_t end_count = 0;
    for (uint32_t i = 0; i < TASKS; i++) {
        nm_ms_t ended_ms =
            i + 1 < TASKS ? test->ended_ms : test->last_ended_ms;
        char task[NM_TASK_NAME_MAX];
        g_snprintf(task, sizeof(task), "%s.0.0.%u", JOB, i);
        if (ended_ms > 0 && t >= ended_ms) {
            ends[end_count] =
                sched_sim_make_end(end_count + 1, task, 1, NM_END_DONE);
            end_count++;
        }
        else {
            runs[run_count++] = sched_sim_make_run(task, 1);
        }
    }
    sched_sim_report(sim, "a", 1, runs, run_count, ends, end_count);
}

static void
test_objective(const void *data)
{
    const objective_case_t *test = data;
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    add_chain(&sim);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    for (nm_ms_t t = 100; t <= test->until_ms; t += 100) {
        sched_sim_advance(&sim, 100);
        report_runs(&sim, test, t);
        sched_sim_advance(&sim, 0);
        sched_sim_confirm_starts(&sim);
    }
    nm_sched_job_info_t info;
    g_assert_true(nm_sched_query_job_info(sim.sched, JOB, &info));
    g_test_message("objective %lld ms", (long long)info.objective_ms);
    g_assert_cmpint(info.objective_ms, >=, test->objective_min_ms);
    g_assert_cmpint(info.objective_ms, <=, test->objective_max_ms);
    sched_sim_finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        char *path =
            g_strdup_printf("/sched-estimate/objective/%s", cases[i].name);
        g_test_add_data_func(path, &cases[i], test_objective);
        g_free(path);
    }
    return g_test_run();
}
