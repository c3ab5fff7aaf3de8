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
    uint32_t refusals_left;        /* of starts of the job in question */
    nm_sched_action_t unconfirmed; /* its start, to be refused */
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

/* Refuses the start of the job in question that is not confirmed yet. */
static void
refuse_unconfirmed(wait_sim_t *wait)
{
    if (wait->unconfirmed.task[0] != '\0') {
        nm_sched_on_start(wait->sim.sched, &wait->unconfirmed,
                          NM_ORDER_NO_CAPACITY, wait->sim.now_ms);
        wait->unconfirmed.task[0] = '\0';
    }
}

/*
 * Confirms all starts, except for the first ones of the job if they are to be
 * refused; returns true if a task of the job is among them.
 */
static bool
confirm_starts(wait_sim_t *wait, const char *job)
{
    bool started = false;
    for (guint i = 0; i < wait->sim.actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(wait->sim.actions, nm_sched_action_t, i);
        if (action->type != NM_ACTION_START) {
            continue;
        }
        bool is_of_job = g_str_has_prefix(action->task, job);
        if (is_of_job && wait->refusals_left > 0) {
            wait->refusals_left--;
            wait->unconfirmed = *action;
            continue;
        }
        nm_worker_run_t run = sched_sim_make_run(action->task, action->run);
        g_array_append_val(wait->running, run);
        started = started || is_of_job;
        nm_sched_on_start(wait->sim.sched, action, NM_ORDER_DONE,
                          wait->sim.now_ms);
    }
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
        refuse_unconfirmed(wait);
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

/* A start that is refused must not set a late job back in the order. */
static void
test_refused_starts_do_not_begin_a_new_wait(void)
{
    wait_sim_t wait;
    wait_sim_init(&wait);
    fill_worker(&wait);
    add_fillers(&wait, JOB,
                (nm_step_t){.task_count = 1,
                            .cpu_milli = 4000,
                            .memory_mb = 10000,
                            .estimate_ms = 60000,
                            .is_filler = true,
                            .image = "press"});
    wait.refusals_left = 1;
    g_assert_cmpint(time_to_start(&wait, JOB, 60000), <=, IDLE_MS_MAX);
    wait_sim_finish(&wait);
}

/*
 * A filler for which no worker has the label must not keep those of the same
 * image from workers that are free.
 */
static void
test_unplaceable_filler_delays_no_others(void)
{
    enum { TASKS = 8 };
    wait_sim_t wait;
    wait_sim_init(&wait);
    nm_step_t step = {.task_count = 1,
                      .cpu_milli = 1000,
                      .memory_mb = 1000,
                      .estimate_ms = 1000,
                      .is_filler = true,
                      .image = "press",
                      .label = "fast"};
    add_fillers(&wait, "1111111111111111", step);
    step.task_count = TASKS;
    step.label[0] = '\0';
    add_fillers(&wait, JOB, step);
    for (nm_ms_t ms = 0; ms < IDLE_MS_MAX; ms += STEP_MS) {
        sched_sim_advance(&wait.sim, STEP_MS);
        confirm_starts(&wait, JOB);
    }
    g_assert_cmpuint(wait.running->len, ==, TASKS);
    wait_sim_finish(&wait);
}

/* Confirms all starts; returns the number of those of a job. */
static uint32_t
count_starts(sched_sim_t *sim, const char *job)
{
    uint32_t starts = 0;
    for (guint i = 0; i < sim->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(sim->actions, nm_sched_action_t, i);
        starts += action->type == NM_ACTION_START &&
                  g_str_has_prefix(action->task, job);
    }
    sched_sim_confirm_starts(sim);
    return starts;
}

/*
 * Load: one idle job after the other is the one that fits nowhere.  A hold
 * outlasts the round, so that half of the workers were held for jobs that did
 * not need them any more.
 */
static void
test_holds_leave_most_workers(void)
{
    enum { WORKERS = 20, IDLE_JOBS = 6, HELD_MAX = 1 };
    wait_sim_t wait;
    wait_sim_init(&wait);
    for (uint32_t w = 1; w < WORKERS; w++) {
        char worker[] = {(char)('a' + w), '\0'};
        sched_sim_add_worker(&wait.sim, worker);
    }
    nm_step_t step = {.task_count = WORKERS,
                      .cpu_milli = 12000,
                      .memory_mb = 1000,
                      .estimate_ms = 60000,
                      .is_filler = true,
                      .image = "press"};
    add_fillers(&wait, "1111111111111111", step);
    sched_sim_advance(&wait.sim, 30);
    g_assert_cmpuint(count_starts(&wait.sim, "1111111111111111"), ==, WORKERS);
    char ids[IDLE_JOBS][NM_JOB_ID_MAX];
    for (uint32_t i = 0; i < IDLE_JOBS; i++) {
        g_snprintf(ids[i], sizeof(ids[i]), "%016x", i + 1);
        step.task_count = 1;
        step.cpu_milli = 8000;
        g_snprintf(step.image, sizeof(step.image), "press-%u", i);
        add_fillers(&wait, ids[i], step);
    }
    for (nm_ms_t ms = 0; ms < IDLE_MS_MAX; ms += STEP_MS) {
        sched_sim_advance(&wait.sim, STEP_MS);
    }
    for (uint32_t i = 0; i < IDLE_JOBS - 1; i++) {
        nm_sched_cancel_job(wait.sim.sched, ids[i], wait.sim.now_ms);
        /* An arrival, so that a round follows at once. */
        g_snprintf(ids[i], sizeof(ids[i]), "%016x", IDLE_JOBS + i + 1);
        add_fillers(&wait, ids[i], step);
        sched_sim_advance(&wait.sim, 30);
    }
    step.task_count = WORKERS;
    step.cpu_milli = 4000;
    add_fillers(&wait, JOB, step);
    sched_sim_advance(&wait.sim, 30);
    g_assert_cmpuint(count_starts(&wait.sim, JOB), >=, WORKERS - HELD_MAX);
    wait_sim_finish(&wait);
}

/*
 * Load: the worker that is held for a job has little free yet when another
 * one becomes free, where the job starts.  The first is not needed any more.
 */
static void
test_start_elsewhere_ends_hold(void)
{
    enum { SMALL = 8 };
    wait_sim_t wait;
    wait_sim_init(&wait);
    sched_sim_add_worker(&wait.sim, "b");
    for (uint32_t i = 0; i < SMALL; i++) {
        add_small_filler(&wait);
    }
    sched_sim_advance(&wait.sim, 30);
    nm_worker_run_t runs[2][SMALL];
    uint32_t counts[2] = {0};
    for (guint i = 0; i < wait.sim.actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(wait.sim.actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_START) {
            uint32_t w = action->worker[0] == 'b';
            runs[w][counts[w]++] =
                sched_sim_make_run(action->task, action->run);
        }
    }
    sched_sim_confirm_starts(&wait.sim);
    g_assert_cmpuint(counts[0], ==, SMALL / 2);
    g_assert_cmpuint(counts[1], ==, SMALL / 2);
    add_fillers(&wait, JOB,
                (nm_step_t){.task_count = 1,
                            .cpu_milli = 12000,
                            .memory_mb = 10000,
                            .estimate_ms = 2000,
                            .is_filler = true,
                            .image = "press"});
    sched_sim_advance(&wait.sim, 30);
    /* Worker a has room for one small filler, and is held for the job. */
    nm_worker_end_t end =
        sched_sim_make_end(1, runs[0][0].task, runs[0][0].run, NM_END_DONE);
    sched_sim_report(&wait.sim, "a", 1, &runs[0][1], counts[0] - 1, &end, 1);
    for (nm_ms_t ms = 0; ms < IDLE_MS_MAX / 2; ms += STEP_MS) {
        sched_sim_advance(&wait.sim, STEP_MS);
    }
    nm_worker_end_t ends[SMALL];
    for (uint32_t i = 0; i < counts[1]; i++) {
        ends[i] = sched_sim_make_end(i + 1, runs[1][i].task, runs[1][i].run,
                                     NM_END_DONE);
    }
    sched_sim_report(&wait.sim, "b", 1, NULL, 0, ends, counts[1]);
    sched_sim_save_all(&wait.sim);
    sched_sim_advance(&wait.sim, 30);
    g_assert_cmpuint(count_starts(&wait.sim, JOB), ==, 1);
    add_small_filler(&wait);
    add_small_filler(&wait);
    sched_sim_advance(&wait.sim, 30);
    g_assert_nonnull(sched_sim_find_action(&wait.sim, NM_ACTION_START, "a"));
    g_assert_nonnull(sched_sim_find_action(&wait.sim, NM_ACTION_START, "b"));
    wait_sim_finish(&wait);
}

/* Nothing else happens: no worker reports, no job arrives. */
static void
test_due_occurrence_starts_without_events(void)
{
    /* sched_sim_advance adds the offset to its clock. */
    enum { DUE_MS = 2000, UNIX_OFFSET_MS = 1000000 };
    wait_sim_t wait;
    wait_sim_init(&wait);
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "batch", "press");
    *nm_job_spec_add_step(&spec) = (nm_step_t){.task_count = 1,
                                               .cpu_milli = 1000,
                                               .memory_mb = 1000,
                                               .estimate_ms = 1000};
    spec.occurrences = 1;
    spec.interval_ms = 1000;
    spec.first_unix_ms = UNIX_OFFSET_MS + wait.sim.now_ms + DUE_MS;
    nm_sched_add_job(wait.sim.sched, &spec, false, wait.sim.now_ms);
    nm_job_spec_finish(&spec);
    bool started = false;
    for (nm_ms_t ms = 0; ms < DUE_MS + IDLE_MS_MAX && !started; ms += STEP_MS)
    {
        sched_sim_advance(&wait.sim, STEP_MS);
        started = confirm_starts(&wait, JOB);
    }
    g_assert_true(started);
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
        {"/sched/refused-starts-do-not-begin-a-new-wait",
         test_refused_starts_do_not_begin_a_new_wait},
        {"/sched/due-occurrence-starts-without-events",
         test_due_occurrence_starts_without_events},
        {"/sched/unplaceable-filler-delays-no-others",
         test_unplaceable_filler_delays_no_others},
        {"/sched/holds-leave-most-workers", test_holds_leave_most_workers},
        {"/sched/start-elsewhere-ends-hold", test_start_elsewhere_ends_hold},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
