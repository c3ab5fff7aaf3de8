/*
 * Tests of runs without progress: a worker on which tasks stand still is found
 * in seconds, and a task that only takes longer than estimated ends.
 *
 * They guard against LOST: each run of such a task was stopped after the same
 * time, so that it never ended, with pauses beside the only worker for it.
 */
#include <string.h>

#include "lib_sched_sim.h"

#define TICK_MS 100
#define PAUSE_MAX_MS 3000
#define SERVICE "press"

typedef struct {
    sched_sim_t sim;
    uint32_t workers;
    nm_ms_t work_ms;       /* of a task; away from its data: the whole of it */
    nm_ms_t checkpoint_ms; /* 0: it saves no progress */
    bool grey;             /* nothing works on the worker "a" */
    /* The one run. */
    char worker[NM_NAME_MAX]; /* "": there is none */
    int64_t run;
    nm_ms_t worked_ms;
    nm_ms_t saved_ms;
    nm_ms_t ended_ms; /* its task was reported as done; 0: not yet */
    nm_ms_t pause_ms; /* longest time without a run after the first */
    nm_ms_t idle_since_ms;
    uint32_t stops;
    int64_t ends;
} line_t;

static void
announce(line_t *line, const char *id, const char *label)
{
    nm_sched_worker_t worker = {.incarnation = 1,
                                .cpu_milli = CPU_MILLI,
                                .memory_mb = MEMORY_MB,
                                .label_count = 1};
    nm_strcopy(worker.id, sizeof(worker.id), id);
    nm_strcopy(worker.service, sizeof(worker.service), SERVICE);
    nm_strcopy(worker.rack, sizeof(worker.rack), "r1");
    nm_strcopy(worker.labels[0], sizeof(worker.labels[0]), label);
    g_snprintf(worker.address, sizeof(worker.address), "%s:80", id);
    nm_sched_set_worker(line->sim.sched, &worker, line->sim.now_ms);
    nm_sched_admit_worker(line->sim.sched, id);
}

static void
end_run(line_t *line, const char *id, nm_end_t kind)
{
    char checkpoint[20];
    nm_worker_end_t end =
        sched_sim_make_end(++line->ends, TASK, line->run, kind);
    if (line->checkpoint_ms > 0) {
        g_snprintf(checkpoint, sizeof(checkpoint), "%d", (int)line->saved_ms);
        end.checkpoint = checkpoint;
    }
    sched_sim_report(&line->sim, id, 1, NULL, 0, &end, 1);
    line->worker[0] = '\0';
    line->idle_since_ms = line->sim.now_ms;
    if (kind == NM_END_DONE) {
        line->ended_ms = line->sim.now_ms;
    }
}

/* Reports the run, or its end. */
static void
report(line_t *line, const char *id)
{
    if (strcmp(line->worker, id) != 0) {
        sched_sim_report(&line->sim, id, 1, NULL, 0, NULL, 0);
        return;
    }
    if (!line->grey || strcmp(id, "a") != 0) {
        line->worked_ms += TICK_MS;
    }
    if (line->worked_ms >= line->work_ms) {
        end_run(line, id, NM_END_DONE);
        return;
    }
    char checkpoint[20];
    nm_worker_run_t run = sched_sim_make_run(TASK, line->run);
    if (line->checkpoint_ms > 0) {
        line->saved_ms =
            line->worked_ms / line->checkpoint_ms * line->checkpoint_ms;
        g_snprintf(checkpoint, sizeof(checkpoint), "%d", (int)line->saved_ms);
        run.checkpoint = checkpoint;
    }
    sched_sim_report(&line->sim, id, 1, &run, 1, NULL, 0);
}

static void
begin_run(line_t *line, const nm_sched_action_t *start)
{
    nm_strcopy(line->worker, sizeof(line->worker), start->worker);
    line->run = start->run;
    line->saved_ms = g_ascii_strtoll(start->checkpoint, NULL, 10);
    line->worked_ms = line->saved_ms;
    if (line->idle_since_ms > 0) {
        line->pause_ms =
            MAX(line->pause_ms, line->sim.now_ms - line->idle_since_ms);
    }
}

static void
tick(line_t *line)
{
    static const char *const ids[] = {"a", "b", "c"};
    sched_sim_advance(&line->sim, TICK_MS);
    sched_sim_save_all(&line->sim);
    const nm_sched_action_t *start =
        sched_sim_find_action(&line->sim, NM_ACTION_START, NULL);
    if (start) {
        begin_run(line, start);
        sched_sim_confirm_starts(&line->sim);
    }
    const nm_sched_action_t *stop =
        sched_sim_find_action(&line->sim, NM_ACTION_STOP, NULL);
    if (stop) {
        nm_sched_on_stop(line->sim.sched, stop, NM_ORDER_DONE,
                         line->sim.now_ms);
        line->stops++;
        end_run(line, line->worker, NM_END_STOPPED);
    }
    for (uint32_t i = 0; i < line->workers; i++) {
        report(line, ids[i]);
    }
}

static void
test_slow_tasks_end(void)
{
    static const struct {
        const char *name;
        nm_ms_t estimate_ms;
        nm_ms_t work_ms;
        nm_ms_t checkpoint_ms;
        const char *label;     /* that only "a" has */
        const char *data_rack; /* all workers are in r1 */
        uint32_t workers;
        bool grey;
        uint32_t stops_max;
        nm_ms_t end_max_ms;
    } cases[] = {
        {"as estimated", 9000, 9000, 0, "", "", 3, false, 0, 10000},
        {"away from its data", 9000, 27000, 0, "", "r2", 3, false, 0, 28000},
        {"the same, one worker", 9000, 27000, 0, "kiosk", "r2", 3, false, 0,
         28000},
        {"saves progress, away", 9000, 27000, 6000, "", "r2", 3, false, 0,
         28000},
        {"estimate too low", 2000, 9500, 0, "", "", 3, false, 1, 22000},
        {"the same, one worker", 2000, 9500, 0, "kiosk", "", 3, false, 0,
         11000},
        {"far too low", 1000, 60000, 0, "", "", 3, false, 4, 170000},
        {"far too low, one worker", 1000, 60000, 0, "kiosk", "", 3, false, 2,
         140000},
        {"no estimate", 0, 30000, 0, "", "", 3, false, 4, 90000},
        {"the only worker of all", 500, 40000, 0, "", "", 1, false, 2, 100000},
        {"slow checkpoints", 9000, 30000, 5000, "", "", 3, false, 1, 40000},
        {"one worker stands still", 1000, 5000, 0, "", "", 3, true, 2, 25000},
        {"the same, saves progress", 9000, 9000, 1000, "", "", 3, true, 1,
         15000},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("%zu %s", c, cases[c].name);
        line_t line = {.workers = cases[c].workers,
                       .work_ms = cases[c].work_ms,
                       .checkpoint_ms = cases[c].checkpoint_ms,
                       .grey = cases[c].grey};
        sched_sim_init(&line.sim, 1);
        announce(&line, "a", "kiosk");
        if (!cases[c].grey) {
            announce(&line, "b", "");
            announce(&line, "c", "");
        }
        nm_job_spec_t spec;
        nm_job_spec_init(&spec, JOB, "batch", SERVICE);
        nm_step_t *step = nm_job_spec_add_step(&spec);
        step->task_count = 1;
        step->cpu_milli = 1000;
        step->memory_mb = 100;
        step->estimate_ms = cases[c].estimate_ms;
        step->saves_progress = cases[c].checkpoint_ms > 0;
        nm_strcopy(step->label, sizeof(step->label), cases[c].label);
        nm_strcopy(step->data_rack, sizeof(step->data_rack),
                   cases[c].data_rack);
        nm_sched_add_job(line.sim.sched, &spec, false, line.sim.now_ms);
        nm_job_spec_finish(&spec);
        while (line.worker[0] == '\0' && line.sim.now_ms < 10000) {
            tick(&line);
        }
        if (cases[c].grey) { /* the others come once it has started there */
            announce(&line, "b", "");
            announce(&line, "c", "");
        }
        nm_ms_t begun_ms = line.sim.now_ms;
        while (line.ended_ms == 0 &&
               line.sim.now_ms - begun_ms <= cases[c].end_max_ms) {
            tick(&line);
        }
        g_test_message("ended after %d ms, %u stops, pause %d ms",
                       (int)(line.ended_ms - begun_ms), line.stops,
                       (int)line.pause_ms);
        g_assert_cmpint(line.ended_ms, >, 0);
        g_assert_cmpuint(line.stops, <=, cases[c].stops_max);
        g_assert_cmpint(line.pause_ms, <=, PAUSE_MAX_MS);
        sched_sim_finish(&line.sim);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/slow-tasks-end", test_slow_tasks_end);
    return g_test_run();
}
