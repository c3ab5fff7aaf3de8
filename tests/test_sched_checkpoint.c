/*
 * Tests of checkpoints: a run whose checkpoint is not kept counts, ends and
 * starts again as any other, and an end that cannot be read hides no others.
 */
#include <string.h>

#include "lib_sched_sim.h"

#define TICK_MS 100
#define MEMORY_MAX_BYTES (UINT64_C(1024) * 1024)

/* Returns the checkpoint of the next start, or NULL if there is none. */
static const char *
next_start(sched_sim_t *sim)
{
    for (int i = 0; i < 20; i++) {
        sched_sim_advance(sim, TICK_MS);
        sched_sim_save_all(sim);
        const nm_sched_action_t *start =
            sched_sim_find_action(sim, NM_ACTION_START, NULL);
        if (start) {
            return start->checkpoint;
        }
    }
    return NULL;
}

/*
 * A task starts again from the newest checkpoint that is kept, after a run
 * that failed.
 */
static void
test_runs_resume_from_what_is_kept(void)
{
    static const struct {
        const char *name;
        const char *listed; /* while it runs; NULL: none */
        const char *ended;  /* at its end */
        uint64_t hash;      /* of a later one that is too long */
        const char *resumed;
    } cases[] = {
        {"none", NULL, NULL, 0, ""},
        {"listed", "a", NULL, 0, "a"},
        {"at the end", "a", "b", 0, "b"},
        {"too long from the beginning", NULL, NULL, 7, ""},
        {"too long later", "a", NULL, 7, "a"},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("%s", cases[c].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_worker(&sim, "a");
        sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
        g_assert_cmpstr(next_start(&sim), ==, "");
        int64_t number = sched_sim_confirm_starts(&sim).run;
        nm_worker_run_t run = sched_sim_make_run(TASK, number);
        run.checkpoint = cases[c].listed;
        sched_sim_report(&sim, "a", 1, &run, 1, NULL, 0);
        sched_sim_advance(&sim, TICK_MS);
        run.checkpoint = cases[c].hash > 0 ? NULL : cases[c].listed;
        run.checkpoint_hash = cases[c].hash;
        sched_sim_report(&sim, "a", 1, &run, 1, NULL, 0);
        nm_worker_end_t end =
            sched_sim_make_end(1, TASK, number, NM_END_FAILED);
        end.checkpoint = cases[c].ended;
        sched_sim_report(&sim, "a", 1, NULL, 0, &end, 1);
        g_assert_cmpstr(next_start(&sim), ==, cases[c].resumed);
        sched_sim_finish(&sim);
    }
}

/* A checkpoint that changes is progress, whether or not it is kept. */
static void
test_long_checkpoints_are_progress(void)
{
    enum { AT_WORK_MS = 20000 };
    for (int changes = 0; changes <= 1; changes++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_worker(&sim, "a");
        nm_job_spec_t spec;
        nm_job_spec_init(&spec, JOB, "batch", "press");
        nm_step_t *step = nm_job_spec_add_step(&spec);
        step->task_count = 1;
        step->cpu_milli = 1000;
        step->estimate_ms = 1000;
        step->saves_progress = true;
        nm_sched_add_job(sim.sched, &spec, false, sim.now_ms);
        nm_job_spec_finish(&spec);
        next_start(&sim);
        nm_worker_run_t run =
            sched_sim_make_run(TASK, sched_sim_confirm_starts(&sim).run);
        sched_sim_add_worker(&sim, "b");
        bool stopped = false;
        for (nm_ms_t ms = 0; ms < AT_WORK_MS && !stopped; ms += TICK_MS) {
            run.checkpoint_hash = (uint64_t)(changes ? 1 + ms / 1000 : 1);
            sched_sim_report(&sim, "a", 1, &run, 1, NULL, 0);
            sched_sim_advance(&sim, TICK_MS);
            sched_sim_report(&sim, "b", 1, NULL, 0, NULL, 0);
            stopped = sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
        }
        g_assert_true(stopped == !changes);
        sched_sim_finish(&sim);
    }
}

/* The memory for checkpoints is bounded; tasks run on without them. */
static void
test_memory_for_checkpoints(void)
{
    enum { TASKS = 200 };
    char *text = g_strnfill(NM_CHECKPOINT_BYTES_MAX, 'x');
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    nm_sched_free(sim.sched);
    sim.sched =
        nm_sched_new(&(nm_sched_desc_t){.epoch = 1,
                                        .former_lease_max_ms = 1,
                                        .memory_max_bytes = MEMORY_MAX_BYTES},
                     sim.now_ms);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, TASKS, 10, false);
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(nm_worker_run_t));
    for (int i = 0; i < 20; i++) {
        sched_sim_advance(&sim, TICK_MS);
        for (guint a = 0; a < sim.actions->len; a++) {
            const nm_sched_action_t *action =
                &g_array_index(sim.actions, nm_sched_action_t, a);
            if (action->type == NM_ACTION_START) {
                nm_worker_run_t run =
                    sched_sim_make_run(action->task, action->run);
                run.checkpoint = text;
                g_array_append_val(runs, run);
            }
        }
        sched_sim_confirm_starts(&sim);
        sched_sim_report(&sim, "a", 1, (const nm_worker_run_t *)runs->data,
                         runs->len, NULL, 0);
    }
    g_assert_cmpuint(runs->len, ==, TASKS);
    uint64_t bytes = nm_sched_query_memory(sim.sched).checkpoint_bytes;
    g_assert_cmpuint(bytes, >, MEMORY_MAX_BYTES / 8);
    g_assert_cmpuint(bytes, <=, MEMORY_MAX_BYTES / 4);
    GArray *ends = g_array_new(FALSE, FALSE, sizeof(nm_worker_end_t));
    for (guint i = 0; i < runs->len; i++) {
        const nm_worker_run_t *run = &g_array_index(runs, nm_worker_run_t, i);
        nm_worker_end_t end =
            sched_sim_make_end(i + 1, run->task, run->run, NM_END_DONE);
        g_array_append_val(ends, end);
    }
    sched_sim_report(&sim, "a", 1, NULL, 0,
                     (const nm_worker_end_t *)ends->data, ends->len);
    sched_sim_save_all(&sim);
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_COMPLETED);
    g_array_free(ends, TRUE);
    g_array_free(runs, TRUE);
    sched_sim_finish(&sim);
    g_free(text);
}

/*
 * Ends after one that cannot be read count, but the worker keeps them: an
 * acknowledgement would drop the one that nobody has read.
 */
static void
test_unread_end_stays_with_the_worker(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 2, 1000, false);
    sched_sim_advance(&sim, TICK_MS);
    sched_sim_confirm_starts(&sim);
    nm_worker_end_t ends[] = {
        sched_sim_make_end(1, TASK, 1, NM_END_DONE),
        sched_sim_make_end(3, JOB ".0.0.1", 1, NM_END_DONE)};
    static const struct {
        int64_t unread;
        int64_t acked;
    } reports[] = {{2, 1}, {2, 1}, {0, 3}};
    int64_t acked = 0;
    for (size_t i = 0; i < NM_COUNT_OF(reports); i++) {
        nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                     .incarnation = 1,
                                     .clock_ms = sim.now_ms,
                                     .sent_ms = sim.now_ms,
                                     .complete = reports[i].unread == 0,
                                     .end_unread = reports[i].unread,
                                     .ends = ends,
                                     .end_count = NM_COUNT_OF(ends)};
        nm_sched_on_report(sim.sched, "a", &report, sim.now_ms);
        sched_sim_save_all(&sim);
        for (int t = 0; t < 10; t++) {
            sched_sim_advance(&sim, TICK_MS);
            const nm_sched_action_t *poll =
                sched_sim_find_action(&sim, NM_ACTION_POLL, "a");
            acked = poll ? poll->acked : acked;
        }
        g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==,
                        NM_JOB_COMPLETED);
        g_assert_cmpint(acked, ==, reports[i].acked);
    }
    sched_sim_finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/checkpoint/runs-resume-from-what-is-kept",
                    test_runs_resume_from_what_is_kept);
    g_test_add_func("/checkpoint/long-ones-are-progress",
                    test_long_checkpoints_are_progress);
    g_test_add_func("/checkpoint/memory-is-bounded",
                    test_memory_for_checkpoints);
    g_test_add_func("/checkpoint/unread-end-stays-with-the-worker",
                    test_unread_end_stays_with_the_worker);
    return g_test_run();
}
