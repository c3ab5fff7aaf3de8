/*
 * Test of the order in which progress is stored while more jobs end than are
 * stored at a time.
 */
#include <string.h>

#include "lib_sched_sim.h"

/* Jobs that end, and jobs that are stored, in each step. */
#define ENDING_JOBS 30
#define STORED_JOBS 26
#define STEPS 40

typedef struct {
    sched_sim_t sim;
    uint32_t jobs_added;
    int64_t last_end;
} save_sim_t;

/* Ends all runs that start, except that of the second task of JOB. */
static void
end_started_runs(save_sim_t *save)
{
    GArray *ends = g_array_new(FALSE, TRUE, sizeof(nm_worker_end_t));
    nm_worker_run_t kept = sched_sim_make_run(JOB ".0.0.1", 1);
    for (guint i = 0; i < save->sim.actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(save->sim.actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_START &&
            strcmp(action->task, kept.task) != 0) {
            nm_worker_end_t end = sched_sim_make_end(
                ++save->last_end, action->task, action->run, NM_END_DONE);
            g_array_append_val(ends, end);
        }
    }
    sched_sim_confirm_starts(&save->sim);
    sched_sim_report(&save->sim, "a", 1, &kept, 1,
                     (const nm_worker_end_t *)ends->data, ends->len);
    g_array_free(ends, TRUE);
}

/* Stores as many jobs as a commit may; returns true if JOB is one of them. */
static bool
store_some(save_sim_t *save)
{
    bool found = false;
    nm_sched_save_t record;
    for (uint32_t i = 0; i < STORED_JOBS; i++) {
        if (!nm_sched_next_save(save->sim.sched, &record)) {
            break;
        }
        found = found || strcmp(record.job, JOB) == 0;
        nm_sched_confirm_save(save->sim.sched, &record, true);
        g_free(record.record);
    }
    return found;
}

/* Progress that no caller waits for was stored only after all ended jobs. */
static void
test_ended_jobs_delay_no_other_progress(void)
{
    save_sim_t save = {0};
    sched_sim_init(&save.sim, 1);
    sched_sim_add_worker(&save.sim, "a");
    sched_sim_add_job(&save.sim, JOB, false, 2, 1, false);
    uint32_t steps = 0;
    for (bool stored = false; !stored && steps < STEPS; steps++) {
        for (int i = 0; i < ENDING_JOBS; i++) {
            char id[NM_JOB_ID_MAX];
            g_snprintf(id, sizeof(id), "cccc%012u", ++save.jobs_added);
            sched_sim_add_job(&save.sim, id, false, 1, 1, false);
        }
        sched_sim_advance(&save.sim, 50);
        end_started_runs(&save);
        stored = store_some(&save);
    }
    g_assert_cmpuint(steps, <, STEPS);
    sched_sim_finish(&save.sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/sched/ended-jobs-delay-no-other-progress",
                    test_ended_jobs_delay_no_other_progress);
    return g_test_run();
}
