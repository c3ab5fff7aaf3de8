/* Jobs, workers and orders against the scheduler, with a manual clock. */
#include <string.h>

#include <glib.h>

#include <nutmegdeck/sched.h>

#define CPU_MILLI 16000
#define MEMORY_MB 64000

typedef struct {
    nm_sched_t *sched;
    nm_ms_t now_ms;
    GArray *actions; /* of the newest step */
} world_t;

static void
collect(world_t *world)
{
    g_array_set_size(world->actions, 0);
    nm_sched_action_t action;
    while (nm_sched_next_action(world->sched, &action)) {
        g_array_append_val(world->actions, action);
    }
}

static void
step(world_t *world, nm_ms_t elapsed_ms)
{
    world->now_ms += elapsed_ms;
    nm_sched_run(world->sched, world->now_ms, 1000000 + world->now_ms);
    collect(world);
}

static void
world_init(world_t *world, int64_t epoch)
{
    *world = (world_t){.now_ms = 1000};
    world->actions = g_array_new(FALSE, FALSE, sizeof(nm_sched_action_t));
    world->sched = nm_sched_new(
        &(nm_sched_desc_t){.epoch = epoch, .lease_max_ms = epoch > 1 ? 0 : 1},
        world->now_ms);
    nm_queue_t queue = {.name = "batch",
                        .service = "press",
                        .attempts_max = 2,
                        .slack_factor = 2,
                        .objective_ms = 600};
    nm_sched_set_queue(world->sched, &queue);
}

static void
world_finish(world_t *world)
{
    g_array_free(world->actions, TRUE);
    nm_sched_free(world->sched);
}

static void
announce(world_t *world, const char *id, int64_t incarnation)
{
    nm_sched_worker_t worker = {.incarnation = incarnation,
                                .cpu_milli = CPU_MILLI,
                                .memory_mb = MEMORY_MB};
    nm_strcopy(worker.id, sizeof(worker.id), id);
    nm_strcopy(worker.service, sizeof(worker.service), "press");
    nm_strcopy(worker.address, sizeof(worker.address), "10.0.0.1:80");
    nm_sched_set_worker(world->sched, &worker, world->now_ms);
    nm_sched_admit_worker(world->sched, id);
}

/* A worker's answer to a poll. */
static void
report(world_t *world, const char *id, int64_t incarnation,
       const nm_worker_run_t *running, uint32_t running_count,
       const nm_worker_end_t *ends, uint32_t end_count)
{
    nm_worker_report_t answer = {
        .result = NM_ORDER_DONE,
        .incarnation = incarnation,
        .clock_ms = world->now_ms,
        .sent_ms = world->now_ms,
        .complete = true,
        .running = running,
        .running_count = running_count,
        .ends = ends,
        .end_count = end_count,
    };
    nm_sched_on_report(world->sched, id, &answer, world->now_ms);
}

static void
lose_poll(world_t *world, const char *id)
{
    nm_worker_report_t answer = {.result = NM_ORDER_UNKNOWN,
                                 .sent_ms = world->now_ms};
    nm_sched_on_report(world->sched, id, &answer, world->now_ms);
}

/* Announces a worker that runs nothing, and answers the first poll. */
static void
join_worker(world_t *world, const char *id)
{
    announce(world, id, 1);
    step(world, 10);
    report(world, id, 1, NULL, 0, NULL, 0);
}

static const nm_sched_action_t *
find(const world_t *world, nm_sched_action_type_t type, const char *worker)
{
    for (guint i = 0; i < world->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(world->actions, nm_sched_action_t, i);
        if (action->type == type &&
            (!worker || strcmp(action->worker, worker) == 0)) {
            return action;
        }
    }
    return NULL;
}

static void
add_job(world_t *world, const char *id, bool long_running, uint32_t tasks,
        int64_t cpu_milli, bool recovered)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    nm_step_t *step_desc = nm_job_spec_add_step(&spec);
    step_desc->task_count = tasks;
    step_desc->cpu_milli = cpu_milli;
    step_desc->memory_mb = 100;
    step_desc->estimate_ms = 1000;
    step_desc->long_running = long_running;
    g_assert_cmpint(
        nm_sched_add_job(world->sched, &spec, recovered, world->now_ms), ==,
        NM_OK);
    nm_job_spec_finish(&spec);
}

static nm_worker_run_t
run_of(const char *task, int64_t run)
{
    nm_worker_run_t row = {.run = run, .percent = 100};
    nm_strcopy(row.task, sizeof(row.task), task);
    return row;
}

static nm_worker_end_t
end_of(int64_t number, const char *task, int64_t run, nm_end_t end)
{
    nm_worker_end_t row = {.number = number, .run = run, .end = end};
    nm_strcopy(row.task, sizeof(row.task), task);
    return row;
}

#define JOB "5c0e7a21d94b36f8"
#define TASK JOB ".0.0.0"

/* Confirms all starts, and returns the last one. */
static nm_sched_action_t
confirm_starts(world_t *world)
{
    nm_sched_action_t last = {.type = NM_ACTION_POLL};
    for (guint i = 0; i < world->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(world->actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_START) {
            nm_sched_on_start(world->sched, action, NM_ORDER_DONE,
                              world->now_ms);
            last = *action;
        }
    }
    return last;
}

static void
save_all(world_t *world)
{
    nm_sched_save_t save;
    while (nm_sched_next_save(world->sched, &save)) {
        nm_sched_saved(world->sched, &save, true);
        g_free(save.record);
    }
}

static void
test_job_runs_to_its_end(void)
{
    world_t world;
    world_init(&world, 1);
    announce(&world, "a", 7);
    step(&world, 10);
    g_assert_nonnull(find(&world, NM_ACTION_POLL, "a"));
    report(&world, "a", 7, NULL, 0, NULL, 0);
    add_job(&world, JOB, false, 2, 1000, false);
    step(&world, 30);
    nm_sched_action_t start = confirm_starts(&world);
    g_assert_cmpint(start.run, ==, 1);
    g_assert_cmpint(nm_sched_query_job(world.sched, JOB), ==, NM_JOB_RUNNING);
    world.now_ms += 1000;
    nm_worker_end_t ends[] = {
        end_of(1, JOB ".0.0.0", 1, NM_END_DONE),
        end_of(2, JOB ".0.0.1", 1, NM_END_DONE),
    };
    report(&world, "a", 7, NULL, 0, ends, 2);
    /* Neither shown nor acknowledged before it is stored. */
    g_assert_cmpint(nm_sched_query_job(world.sched, JOB), ==, NM_JOB_RUNNING);
    step(&world, 100);
    g_assert_null(find(&world, NM_ACTION_POLL, "a"));
    save_all(&world);
    g_assert_cmpint(nm_sched_query_job(world.sched, JOB), ==,
                    NM_JOB_COMPLETED);
    step(&world, 100);
    const nm_sched_action_t *hold = find(&world, NM_ACTION_POLL, "a");
    g_assert_nonnull(hold);
    g_assert_cmpint(hold->acked, ==, 2);
    world_finish(&world);
}

/* Holds that are repeated in vain must not extend the lease for ever. */
static void
test_silent_worker_lapses(void)
{
    world_t world;
    world_init(&world, 1);
    announce(&world, "a", 7);
    step(&world, 10);
    report(&world, "a", 7, NULL, 0, NULL, 0);
    add_job(&world, JOB, true, 1, 1000, false);
    step(&world, 30);
    confirm_starts(&world);
    g_assert_nonnull(find(&world, NM_ACTION_POLL, "a"));
    lose_poll(&world, "a");
    join_worker(&world, "b");
    nm_ms_t begin_ms = world.now_ms;
    bool moved = false;
    while (!moved && world.now_ms - begin_ms < 12000) {
        step(&world, 100);
        if (find(&world, NM_ACTION_POLL, "a")) {
            lose_poll(&world, "a");
        }
        moved = find(&world, NM_ACTION_START, "b") != NULL;
    }
    g_assert_true(moved);
    /* Not before the lease of 7 s has lapsed on a clock that is 2% slow. */
    g_assert_cmpint(world.now_ms - begin_ms, >=, 7000);
    world_finish(&world);
}

/* A failed run that was not acknowledged counts, wherever the task is now. */
static void
test_failure_counts_after_takeover(void)
{
    world_t world;
    world_init(&world, 2);
    announce(&world, "a", 1);
    announce(&world, "b", 1);
    add_job(&world, JOB, false, 1, 1000, true);
    step(&world, 10);
    nm_worker_run_t running = run_of(TASK, 2);
    report(&world, "b", 1, &running, 1, NULL, 0);
    nm_worker_end_t failed = end_of(1, TASK, 1, NM_END_FAILED);
    report(&world, "a", 1, NULL, 0, &failed, 1);
    step(&world, 100);
    g_assert_cmpint(nm_sched_query_info(world.sched).jobs_active, ==, 1);
    nm_worker_end_t again = end_of(1, TASK, 2, NM_END_FAILED);
    report(&world, "b", 1, NULL, 0, &again, 1);
    step(&world, 100);
    step(&world, 100);
    g_assert_null(find(&world, NM_ACTION_START, NULL));
    save_all(&world);
    g_assert_cmpint(nm_sched_query_job(world.sched, JOB), ==, NM_JOB_FAILED);
    world_finish(&world);
}

/* The same end, listed again after a takeover, counts once. */
static void
test_failure_counts_once(void)
{
    world_t first;
    world_init(&first, 1);
    join_worker(&first, "a");
    add_job(&first, JOB, false, 1, 1000, false);
    step(&first, 30);
    confirm_starts(&first);
    nm_worker_end_t failed = end_of(1, TASK, 1, NM_END_FAILED);
    report(&first, "a", 1, NULL, 0, &failed, 1);
    nm_sched_save_t save;
    g_assert_true(nm_sched_next_save(first.sched, &save));

    world_t second;
    world_init(&second, 2);
    announce(&second, "a", 1);
    add_job(&second, JOB, false, 1, 1000, true);
    g_assert_cmpint(nm_sched_restore(second.sched, JOB, save.record,
                                     (uint32_t)strlen(save.record)),
                    ==, NM_OK);
    step(&second, 10);
    report(&second, "a", 1, NULL, 0, &failed, 1);
    step(&second, 100);
    g_assert_nonnull(find(&second, NM_ACTION_START, "a"));
    g_free(save.record);
    world_finish(&first);
    world_finish(&second);
}

/* What cannot be read may say that a task is done: it must not run again. */
static void
test_unreadable_progress_starts_nothing(void)
{
    static const struct {
        const char *record;
        bool starts;
    } cases[] = {
        {"{\"version\":1,\"state\":\"running\"}", true},
        {"{\"version\":2,\"state\":\"running\"}", false},
        {"{broken", false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        world_t world;
        world_init(&world, 2);
        announce(&world, "a", 1);
        add_job(&world, JOB, false, 1, 1000, true);
        nm_sched_restore(world.sched, JOB, cases[i].record,
                         (uint32_t)strlen(cases[i].record));
        step(&world, 10);
        report(&world, "a", 1, NULL, 0, NULL, 0);
        step(&world, 10000);
        bool started = find(&world, NM_ACTION_START, "a") != NULL;
        g_assert_cmpint(started, ==, cases[i].starts);
        world_finish(&world);
    }
}

/* A recovered task waits for every worker that may run it unseen. */
static void
test_recovered_task_waits_for_all_workers(void)
{
    world_t world;
    world_init(&world, 2);
    nm_sched_expect_worker(world.sched, "b", world.now_ms);
    announce(&world, "a", 1);
    add_job(&world, JOB, false, 1, 1000, true);
    step(&world, 10);
    report(&world, "a", 1, NULL, 0, NULL, 0);
    nm_ms_t begin_ms = world.now_ms;
    while (!find(&world, NM_ACTION_START, "a")) {
        step(&world, 100);
        if (find(&world, NM_ACTION_POLL, "a")) {
            report(&world, "a", 1, NULL, 0, NULL, 0);
        }
        g_assert_cmpint(world.now_ms - begin_ms, <, 12000);
    }
    g_assert_cmpint(world.now_ms - begin_ms, >=, 7000);
    world_finish(&world);
}

/* A start without an answer is withdrawn from the worker's next incarnation.
 */
static void
test_unanswered_start_on_a_new_life(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    add_job(&world, JOB, false, 1, 1000, false);
    step(&world, 30);
    const nm_sched_action_t *start = find(&world, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_on_start(world.sched, start, NM_ORDER_UNKNOWN, world.now_ms);
    announce(&world, "a", 2);
    announce(&world, "b", 1);
    step(&world, 10);
    const nm_sched_action_t *stop = find(&world, NM_ACTION_STOP, "a");
    g_assert_nonnull(stop);
    g_assert_cmpint(stop->incarnation, ==, 2);
    nm_sched_action_t stopped = *stop;
    report(&world, "b", 1, NULL, 0, NULL, 0);
    step(&world, 100);
    g_assert_null(find(&world, NM_ACTION_START, NULL));
    nm_sched_on_stop(world.sched, &stopped, NM_ORDER_DONE, world.now_ms);
    world.now_ms += 10;
    report(&world, "a", 2, NULL, 0, NULL, 0);
    step(&world, 100);
    g_assert_nonnull(find(&world, NM_ACTION_START, NULL));
    world_finish(&world);
}

/*
 * Load: a worker leaves a start unanswered, does the repeated one, crashes and
 * is back under its id; then it carries out the first copy, whose run has
 * ended.  The new incarnation must be told to refuse that run, until it says
 * that it does.
 */
static void
test_lost_copy_is_refused_by_a_new_life(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    add_job(&world, JOB, false, 1, 1000, false);
    step(&world, 30);
    const nm_sched_action_t *start = find(&world, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_on_start(world.sched, start, NM_ORDER_UNKNOWN, world.now_ms);
    step(&world, 100);
    nm_sched_action_t started = confirm_starts(&world);
    g_assert_cmpint(started.type, ==, NM_ACTION_START);
    nm_worker_end_t end = end_of(1, TASK, started.run, NM_END_DONE);
    report(&world, "a", 1, NULL, 0, &end, 1);
    save_all(&world);
    announce(&world, "a", 2);
    step(&world, 10);
    report(&world, "a", 2, NULL, 0, NULL, 0);
    nm_sched_note_t note;
    g_assert_false(nm_sched_next_note(world.sched, &note));
    for (uint32_t lost = 0; lost < 3; lost++) {
        step(&world, 100);
        const nm_sched_action_t *stop = find(&world, NM_ACTION_STOP, "a");
        g_assert_nonnull(stop);
        g_assert_cmpstr(stop->task, ==, TASK);
        g_assert_cmpint(stop->run, ==, started.run);
        g_assert_cmpint(stop->incarnation, ==, 2);
        nm_sched_on_stop(world.sched, stop,
                         lost < 2 ? NM_ORDER_UNKNOWN : NM_ORDER_DONE,
                         world.now_ms);
    }
    step(&world, 100);
    g_assert_null(find(&world, NM_ACTION_STOP, "a"));
    world_finish(&world);
}

/*
 * Load: the same, but the start's answer is only given up after the new
 * incarnation was noticed, while a poll had shown the run before.
 */
static void
test_copy_given_up_after_a_crash(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    add_job(&world, JOB, false, 1, 1000, false);
    step(&world, 30);
    const nm_sched_action_t *sent = find(&world, NM_ACTION_START, "a");
    g_assert_nonnull(sent);
    nm_sched_action_t start = *sent;
    world.now_ms += 10;
    nm_worker_end_t end = end_of(1, TASK, start.run, NM_END_DONE);
    report(&world, "a", 1, NULL, 0, &end, 1);
    save_all(&world);
    announce(&world, "a", 2);
    step(&world, 10);
    report(&world, "a", 2, NULL, 0, NULL, 0);
    nm_sched_on_start(world.sched, &start, NM_ORDER_UNKNOWN, world.now_ms);
    step(&world, 100);
    const nm_sched_action_t *stop = find(&world, NM_ACTION_STOP, "a");
    g_assert_nonnull(stop);
    g_assert_cmpint(stop->run, ==, start.run);
    g_assert_cmpint(stop->incarnation, ==, 2);
    world_finish(&world);
}

/*
 * Load: a worker crashes and is back at once under its id; a start reaches
 * the new incarnation before its announcement does.  Only the first report of
 * the new incarnation tells whether the run is there.
 */
static void
test_start_reached_a_new_life(void)
{
    static const struct {
        const char *name;
        bool listed;
    } cases[] = {{"it runs there", true}, {"it died with the old", false}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        world_t world;
        world_init(&world, 1);
        join_worker(&world, "a");
        add_job(&world, JOB, false, 1, 1000, false);
        step(&world, 30);
        nm_sched_action_t started = confirm_starts(&world);
        g_assert_cmpint(started.type, ==, NM_ACTION_START);
        join_worker(&world, "b");
        step(&world, 100);
        announce(&world, "a", 2);
        step(&world, 100);
        g_assert_null(find(&world, NM_ACTION_START, NULL));
        nm_worker_run_t run = run_of(TASK, started.run);
        report(&world, "a", 2, &run, cases[i].listed ? 1 : 0, NULL, 0);
        step(&world, 100);
        g_assert_true((find(&world, NM_ACTION_START, NULL) == NULL) ==
                      cases[i].listed);
        g_assert_null(find(&world, NM_ACTION_STOP, NULL));
        world_finish(&world);
    }
}

/*
 * Load: a burst of fillers whose image nobody has seen, beside serving tasks
 * on all workers.  Until the first figures few workers may try it, so that an
 * image that disturbs does not put all serving tasks over their targets.
 */
static void
test_unknown_image_is_tried_on_few(void)
{
    enum { WORKERS = 24, TRIED_MAX = WORKERS / 2 };
    world_t world;
    world_init(&world, 1);
    char ids[WORKERS][8];
    for (uint32_t w = 0; w < WORKERS; w++) {
        g_snprintf(ids[w], sizeof(ids[w]), "w%u", w);
        join_worker(&world, ids[w]);
    }
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "batch", "press");
    nm_step_t *serving = nm_job_spec_add_step(&spec);
    *serving = (nm_step_t){.task_count = WORKERS,
                           .cpu_milli = 2000,
                           .memory_mb = 100,
                           .long_running = true,
                           .per_worker_max = 1,
                           .target_ms = 20,
                           .image = "web"};
    nm_sched_add_job(world.sched, &spec, false, world.now_ms);
    nm_job_spec_finish(&spec);
    step(&world, 30);
    confirm_starts(&world);
    for (uint32_t i = 0; i < world.actions->len; i++) {
        nm_sched_action_t action =
            g_array_index(world.actions, nm_sched_action_t, i);
        if (action.type == NM_ACTION_START) {
            nm_worker_run_t run = run_of(action.task, action.run);
            run.figure = 8;
            world.now_ms += 1;
            report(&world, action.worker, 1, &run, 1, NULL, 0);
        }
    }
    nm_job_spec_init(&spec, "1111111111111111", "batch", "press");
    nm_step_t *filler = nm_job_spec_add_step(&spec);
    *filler = (nm_step_t){.task_count = 3 * WORKERS,
                          .cpu_milli = 500,
                          .memory_mb = 100,
                          .estimate_ms = 2000,
                          .is_filler = true,
                          .image = "new"};
    nm_sched_add_job(world.sched, &spec, false, world.now_ms);
    nm_job_spec_finish(&spec);
    uint32_t tried = 0;
    for (uint32_t round = 0; round < 5; round++) {
        step(&world, 100);
        for (uint32_t i = 0; i < world.actions->len; i++) {
            tried += g_array_index(world.actions, nm_sched_action_t, i).type ==
                     NM_ACTION_START;
        }
        confirm_starts(&world);
    }
    g_assert_cmpuint(tried, >, 0);
    g_assert_cmpuint(tried, <=, TRIED_MAX);
    world_finish(&world);
}

/* Each change of belief is told once, with what it rests on. */
static void
test_beliefs_are_told(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    add_job(&world, JOB, false, 1, 1000, false);
    step(&world, 30);
    confirm_starts(&world);
    for (uint32_t i = 0; i < 3; i++) {
        step(&world, 1000);
        lose_poll(&world, "a");
    }
    nm_sched_note_t note;
    g_assert_true(nm_sched_next_note(world.sched, &note));
    g_assert_cmpint(note.type, ==, NM_NOTE_WORKER_SILENT);
    g_assert_cmpstr(note.worker, ==, "a");
    g_assert_cmpint(note.value, ==, 2);
    g_assert_false(nm_sched_next_note(world.sched, &note));
    nm_worker_run_t run = run_of(TASK, 1);
    report(&world, "a", 1, &run, 1, NULL, 0);
    g_assert_true(nm_sched_next_note(world.sched, &note));
    g_assert_cmpint(note.type, ==, NM_NOTE_WORKER_BACK);
    g_assert_cmpint(note.value, ==, 3);
    g_assert_false(nm_sched_next_note(world.sched, &note));
    world_finish(&world);
}

/*
 * Load: a poll overtakes a start on another connection, all within one
 * millisecond.  Its answer does not list the run, which is there all the same.
 */
static void
test_poll_of_the_same_millisecond(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    join_worker(&world, "b");
    add_job(&world, JOB, false, 1, 1000, false);
    step(&world, 30);
    nm_sched_action_t started = confirm_starts(&world);
    g_assert_cmpint(started.type, ==, NM_ACTION_START);
    report(&world, started.worker, 1, NULL, 0, NULL, 0);
    step(&world, 100);
    g_assert_null(find(&world, NM_ACTION_START, NULL));
    report(&world, started.worker, 1, NULL, 0, NULL, 0);
    step(&world, 100);
    g_assert_nonnull(find(&world, NM_ACTION_START, NULL));
    world_finish(&world);
}

/* What is being stopped counts against the capacity until its end. */
static void
test_capacity_counts_what_is_stopped(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    add_job(&world, JOB, false, 1, CPU_MILLI, false);
    step(&world, 30);
    confirm_starts(&world);
    add_job(&world, "1111111111111111", false, 1, CPU_MILLI, false);
    nm_sched_cancel_job(world.sched, JOB, world.now_ms);
    step(&world, 30);
    const nm_sched_action_t *stop = find(&world, NM_ACTION_STOP, "a");
    g_assert_nonnull(stop);
    nm_sched_action_t stopped = *stop;
    nm_sched_on_stop(world.sched, &stopped, NM_ORDER_DONE, world.now_ms);
    step(&world, 100);
    g_assert_null(find(&world, NM_ACTION_START, "a"));
    nm_worker_end_t end = end_of(1, TASK, 1, NM_END_STOPPED);
    report(&world, "a", 1, NULL, 0, &end, 1);
    step(&world, 100);
    g_assert_nonnull(find(&world, NM_ACTION_START, "a"));
    world_finish(&world);
}

/* A worker that answers but lets its work stand must not keep it. */
static void
test_stalled_work_moves(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    add_job(&world, JOB, false, 1, 1000, false);
    step(&world, 30);
    confirm_starts(&world);
    nm_worker_run_t running = run_of(TASK, 1);
    report(&world, "a", 1, &running, 1, NULL, 0);
    join_worker(&world, "b");
    nm_ms_t begin_ms = world.now_ms;
    while (!find(&world, NM_ACTION_STOP, "a")) {
        step(&world, 100);
        if (find(&world, NM_ACTION_POLL, "a")) {
            report(&world, "a", 1, &running, 1, NULL, 0);
        }
        g_assert_cmpint(world.now_ms - begin_ms, <, 10000);
    }
    /* Longer than any honest run: estimates are off by up to 1.9. */
    g_assert_cmpint(world.now_ms - begin_ms, >, 1900);
    nm_sched_action_t stop = *find(&world, NM_ACTION_STOP, "a");
    nm_sched_on_stop(world.sched, &stop, NM_ORDER_DONE, world.now_ms);
    nm_worker_end_t end = end_of(1, TASK, 1, NM_END_STOPPED);
    report(&world, "a", 1, NULL, 0, &end, 1);
    step(&world, 100);
    g_assert_nonnull(find(&world, NM_ACTION_START, "b"));
    world_finish(&world);
}

/*
 * Load: short tasks without end that refill each gap; each ends half a second
 * after the one before.  A long-running task that needs most of the worker
 * must start within the 9 s that the rules allow, of which 2 are kept for a
 * change of the owner.
 */
static void
test_long_running_gets_room(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    nm_worker_run_t running[2]; /* oldest first */
    uint32_t count = 0;
    bool started = false;
    int64_t ended = 0;
    for (uint32_t round = 0; round < 16 && !started; round++) {
        char id[NM_JOB_ID_MAX];
        g_snprintf(id, sizeof(id), "%016x", round + 1);
        add_job(&world, id, false, 1, CPU_MILLI / 2, false);
        if (round == 2) {
            /* It was at work under an earlier owner. */
            add_job(&world, JOB, true, 1, CPU_MILLI * 3 / 4, true);
        }
        step(&world, 500);
        for (guint i = 0; i < world.actions->len; i++) {
            const nm_sched_action_t *action =
                &g_array_index(world.actions, nm_sched_action_t, i);
            if (action->type != NM_ACTION_START) {
                continue;
            }
            started = started || strcmp(action->task, TASK) == 0;
            g_assert_cmpuint(count, <, NM_COUNT_OF(running));
            running[count++] = run_of(action->task, action->run);
        }
        confirm_starts(&world);
        if (round < 2 || count == 0) {
            continue;
        }
        nm_worker_end_t end =
            end_of(++ended, running[0].task, running[0].run, NM_END_DONE);
        running[0] = running[1];
        count--;
        report(&world, "a", 1, running, count, &end, 1);
        save_all(&world);
    }
    g_assert_true(started);
    world_finish(&world);
}

/*
 * Load: hundreds of running jobs whose progress changes between two commits
 * of 26 records.  The end of one, which its caller waits for, must be in the
 * first commit.
 */
static void
test_ended_job_is_saved_first(void)
{
    enum { JOBS = 30 };
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    for (uint32_t i = 0; i < JOBS; i++) {
        char id[NM_JOB_ID_MAX];
        g_snprintf(id, sizeof(id), "%016x", i);
        add_job(&world, id, false, i < JOBS - 1 ? 2 : 1, 100, false);
    }
    step(&world, 30);
    confirm_starts(&world);
    nm_worker_end_t ends[JOBS];
    for (uint32_t i = 0; i < JOBS; i++) {
        char task[NM_TASK_NAME_MAX];
        g_snprintf(task, sizeof(task), "%016x.0.0.0", i);
        ends[i] = end_of(i + 1, task, 1, NM_END_DONE);
    }
    report(&world, "a", 1, NULL, 0, ends, JOBS);
    nm_sched_save_t save;
    g_assert_true(nm_sched_save_is_urgent(world.sched));
    g_assert_true(nm_sched_next_save(world.sched, &save));
    g_assert_cmpstr(save.job, ==, "000000000000001d");
    nm_sched_saved(world.sched, &save, true);
    g_free(save.record);
    g_assert_false(nm_sched_save_is_urgent(world.sched));
    save_all(&world);
    g_assert_false(nm_sched_has_saves(world.sched));
    world_finish(&world);
}

/* "Late" speaks of one copy of a start; another one may have run. */
static void
test_late_start_is_withdrawn(void)
{
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    add_job(&world, JOB, false, 1, 1000, false);
    step(&world, 30);
    nm_sched_action_t start = *find(&world, NM_ACTION_START, "a");
    announce(&world, "b", 1);
    nm_sched_on_start(world.sched, &start, NM_ORDER_LATE, world.now_ms);
    step(&world, 30);
    g_assert_nonnull(find(&world, NM_ACTION_STOP, "a"));
    g_assert_null(find(&world, NM_ACTION_START, NULL));
    world_finish(&world);
}

static void
add_colocated(world_t *world, const char *id, bool serving)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    nm_step_t *desc = nm_job_spec_add_step(&spec);
    desc->task_count = 1;
    desc->cpu_milli = 1000;
    desc->memory_mb = 100;
    desc->estimate_ms = serving ? 0 : 9000;
    desc->long_running = serving;
    desc->target_ms = serving ? 18 : 0;
    desc->is_filler = !serving;
    desc->saves_progress = !serving;
    nm_strcopy(desc->image, sizeof(desc->image), serving ? "api" : "press");
    nm_sched_add_job(world->sched, &spec, false, world->now_ms);
    nm_job_spec_finish(&spec);
}

/* Figures are rough: a task just over its target reads low now and then. */
static void
test_rough_tail_evicts_fillers(void)
{
    static const int64_t figures[] = {20, 15, 21, 15, 19, 14};
    world_t world;
    world_init(&world, 1);
    join_worker(&world, "a");
    add_colocated(&world, JOB, true);
    add_colocated(&world, "1111111111111111", false);
    step(&world, 30);
    confirm_starts(&world);
    nm_ms_t begin_ms = world.now_ms;
    nm_worker_run_t rows[] = {run_of(TASK, 1),
                              run_of("1111111111111111.0.0.0", 1)};
    for (uint32_t i = 0; !find(&world, NM_ACTION_STOP, "a"); i++) {
        rows[0].figure = figures[i % NM_COUNT_OF(figures)];
        world.now_ms += 250;
        report(&world, "a", 1, rows, 2, NULL, 0);
        step(&world, 250);
        /* The rule allows 4 s; a stop and the figures' lag need their part. */
        g_assert_cmpint(world.now_ms - begin_ms, <, 3000);
    }
    world_finish(&world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    static const struct {
        const char *name;
        void (*run)(void);
    } cases[] = {
        {"/sched/job-runs-to-its-end", test_job_runs_to_its_end},
        {"/sched/silent-worker-lapses", test_silent_worker_lapses},
        {"/sched/failure-counts-after-takeover",
         test_failure_counts_after_takeover},
        {"/sched/failure-counts-once", test_failure_counts_once},
        {"/sched/recovered-task-waits",
         test_recovered_task_waits_for_all_workers},
        {"/sched/unanswered-start-on-a-new-life",
         test_unanswered_start_on_a_new_life},
        {"/sched/lost-copy-is-refused-by-a-new-life",
         test_lost_copy_is_refused_by_a_new_life},
        {"/sched/copy-given-up-after-a-crash",
         test_copy_given_up_after_a_crash},
        {"/sched/start-reached-a-new-life", test_start_reached_a_new_life},
        {"/sched/unknown-image-is-tried-on-few",
         test_unknown_image_is_tried_on_few},
        {"/sched/beliefs-are-told", test_beliefs_are_told},
        {"/sched/poll-of-the-same-millisecond",
         test_poll_of_the_same_millisecond},
        {"/sched/capacity-counts-what-is-stopped",
         test_capacity_counts_what_is_stopped},
        {"/sched/unreadable-progress-starts-nothing",
         test_unreadable_progress_starts_nothing},
        {"/sched/stalled-work-moves", test_stalled_work_moves},
        {"/sched/long-running-gets-room", test_long_running_gets_room},
        {"/sched/ended-job-is-saved-first", test_ended_job_is_saved_first},
        {"/sched/late-start-is-withdrawn", test_late_start_is_withdrawn},
        {"/sched/rough-tail-evicts-fillers", test_rough_tail_evicts_fillers},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
