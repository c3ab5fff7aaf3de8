/*
 * Tests of waiting work: what is accepted starts in bounded time while most of
 * the workers' capacity is not reserved.
 */
#include <string.h>

#include "lib_sched_sim.h"

/* The rules: an accepted job may have nothing at work for this long. */
#define IDLE_MS_MAX 3000
#define STEP_MS 250

typedef struct {
    sched_sim_t sim;
    GArray *running; /* of nm_worker_run_t, oldest first */
    int64_t last_end;
    uint32_t jobs_added;
} wait_sim_t;

/* Sets up a scheduler with the worker "a", which runs nothing. */
static void
wait_sim_init(wait_sim_t *wait)
{
    *wait = (wait_sim_t){0};
    wait->running = g_array_new(FALSE, TRUE, sizeof(nm_worker_run_t));
    sched_sim_init(&wait->sim, 1);
    sched_sim_add_worker(&wait->sim, "a");
    nm_sched_set_queue(wait->sim.sched, &(nm_queue_t){.name = "batch",
                                                      .service = "press",
                                                      .slack_factor = 2,
                                                      .objective_ms = 1000});
}

static void
wait_sim_finish(wait_sim_t *wait)
{
    sched_sim_finish(&wait->sim);
    g_array_free(wait->running, TRUE);
}

static void
add_fillers(wait_sim_t *wait, const char *id, nm_step_t step)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    *nm_job_spec_add_step(&spec) = step;
    g_assert_cmpint(
        nm_sched_add_job(wait->sim.sched, &spec, false, wait->sim.now_ms), ==,
        NM_OK);
    nm_job_spec_finish(&spec);
}

/* Adds a job that arrives later and ranks above larger ones. */
static void
add_small_filler(wait_sim_t *wait)
{
    char id[NM_JOB_ID_MAX];
    g_snprintf(id, sizeof(id), "%016x", ++wait->jobs_added);
    add_fillers(wait, id,
                (nm_step_t){.task_count = 1,
                            .cpu_milli = 4000,
                            .memory_mb = 10000,
                            .estimate_ms = 1000,
                            .is_filler = true,
                            .image = "press"});
}

/* Confirms all starts; returns true if a task of the job is among them. */
static bool
confirm_starts(wait_sim_t *wait, const char *job)
{
    bool started = false;
    for (guint i = 0; i < wait->sim.actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(wait->sim.actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_START) {
            nm_worker_run_t run =
                sched_sim_make_run(action->task, action->run);
            g_array_append_val(wait->running, run);
            started = started || g_str_has_prefix(action->task, job);
        }
    }
    sched_sim_confirm_starts(&wait->sim);
    return started;
}

/* Reports the end of the run that is the oldest one, if there is one. */
static void
end_oldest(wait_sim_t *wait)
{
    if (wait->running->len == 0) {
        return;
    }
    const nm_worker_run_t *oldest =
        &g_array_index(wait->running, nm_worker_run_t, 0);
    nm_worker_end_t end = sched_sim_make_end(++wait->last_end, oldest->task,
                                             oldest->run, NM_END_DONE);
    g_array_remove_index(wait->running, 0);
    sched_sim_report(&wait->sim, "a", 1,
                     (const nm_worker_run_t *)wait->running->data,
                     wait->running->len, &end, 1);
    sched_sim_save_all(&wait->sim);
}

/*
 * Load: fillers arrive as fast as they end, so that the job in question only
 * starts if they are passed over for it.  Returns the time until it starts.
 */
static nm_ms_t
time_to_start(wait_sim_t *wait, const char *job, nm_ms_t limit_ms)
{
    nm_ms_t begin_ms = wait->sim.now_ms;
    while (wait->sim.now_ms - begin_ms <= limit_ms) {
        add_small_filler(wait);
        add_small_filler(wait);
        end_oldest(wait);
        sched_sim_advance(&wait->sim, STEP_MS);
        if (confirm_starts(wait, job)) {
            break;
        }
    }
    return wait->sim.now_ms - begin_ms;
}

static void
fill_worker(wait_sim_t *wait)
{
    for (uint32_t i = 0; i < 8; i++) {
        add_small_filler(wait);
    }
    sched_sim_advance(&wait->sim, 30);
    confirm_starts(wait, JOB);
}

/*
 * A large job earns least for the work left; once it was late, every later
 * arrival went ahead of it, and it never ran.
 */
static void
test_late_large_job_starts_among_small_ones(void)
{
    wait_sim_t wait;
    wait_sim_init(&wait);
    fill_worker(&wait);
    add_fillers(&wait, JOB,
                (nm_step_t){.task_count = 30,
                            .cpu_milli = 4000,
                            .memory_mb = 10000,
                            .estimate_ms = 2000,
                            .is_filler = true,
                            .image = "press"});
    g_assert_cmpint(time_to_start(&wait, JOB, 60000), <=, IDLE_MS_MAX);
    wait_sim_finish(&wait);
}

/*
 * A large task needs what several small ones free; each gap was refilled at
 * once.
 */
static void
test_large_task_starts_among_small_ones(void)
{
    wait_sim_t wait;
    wait_sim_init(&wait);
    fill_worker(&wait);
    add_fillers(&wait, JOB,
                (nm_step_t){.task_count = 1,
                            .cpu_milli = 12000,
                            .memory_mb = 10000,
                            .estimate_ms = 2000,
                            .is_filler = true,
                            .image = "press"});
    g_assert_cmpint(time_to_start(&wait, JOB, 60000), <=, IDLE_MS_MAX);
    wait_sim_finish(&wait);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    static const struct {
        const char *name;
        void (*run)(void);
    } cases[] = {
        {"/sched/late-large-job-starts-among-small-ones",
         test_late_large_job_starts_among_small_ones},
        {"/sched/large-task-starts-among-small-ones",
         test_large_task_starts_among_small_ones},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
