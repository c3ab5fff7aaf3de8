/* Tests of the scheduler with a manual clock: jobs, workers and orders. */
#include <string.h>

#include "lib_sched_sim.h"

/* A start without a response is carried out within this time. */
#define LATE_START_MS 12000
/* Once it can no longer arrive, the task starts within this time. */
#define LATE_START_MAX_MS 16000

/*
 * The end of a job must be neither visible nor acknowledged to the worker
 * before it is stored: a crash of the owner in between would lose it.
 */
static void
test_job_runs_to_its_end(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_announce(&sim, "a", 7);
    sched_sim_advance(&sim, 10);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_POLL, "a"));
    sched_sim_report(&sim, "a", 7, NULL, 0, NULL, 0);
    sched_sim_add_job(&sim, JOB, false, 2, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_action_t start = sched_sim_confirm_starts(&sim);
    g_assert_cmpint(start.run, ==, 1);
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_RUNNING);
    sim.now_ms += 1000;
    nm_worker_end_t ends[] = {
        sched_sim_make_end(1, JOB ".0.0.0", 1, NM_END_DONE),
        sched_sim_make_end(2, JOB ".0.0.1", 1, NM_END_DONE),
    };
    sched_sim_report(&sim, "a", 7, NULL, 0, ends, 2);
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_RUNNING);
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_POLL, "a"));
    sched_sim_save_all(&sim);
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_COMPLETED);
    sched_sim_advance(&sim, 100);
    const nm_sched_action_t *poll =
        sched_sim_find_action(&sim, NM_ACTION_POLL, "a");
    g_assert_nonnull(poll);
    g_assert_cmpint(poll->acked, ==, 2);
    sched_sim_finish(&sim);
}

/*
 * A task of an unresponsive worker may run there until its lease has lapsed.
 * Starting it elsewhere before would run it twice.
 */
static void
test_unresponsive_worker_lease_lapses(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_announce(&sim, "a", 7);
    sched_sim_advance(&sim, 10);
    sched_sim_report(&sim, "a", 7, NULL, 0, NULL, 0);
    sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_POLL, "a"));
    sched_sim_lose_poll(&sim, "a");
    sched_sim_add_worker(&sim, "b");
    nm_ms_t begin_ms = sim.now_ms;
    bool moved = false;
    while (!moved && sim.now_ms - begin_ms < 12000) {
        sched_sim_advance(&sim, 100);
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_lose_poll(&sim, "a");
        }
        moved = sched_sim_find_action(&sim, NM_ACTION_START, "b") != NULL;
    }
    g_assert_true(moved);
    /* Not before the lease of 7 s has lapsed on a clock that is 2% slow. */
    g_assert_cmpint(sim.now_ms - begin_ms, >=, 7000);
    sched_sim_finish(&sim);
}

/*
 * Workers "a", in its second incarnation, and "b" run nothing: a task with an
 * unanswered start to "a" is started only once that can no longer arrive.
 */
static void
check_start_can_no_longer_arrive(sched_sim_t *sim)
{
    nm_ms_t begun_ms = sim->now_ms;
    do {
        sched_sim_advance(sim, 100);
        sched_sim_save_all(sim); /* the starts of suspects are stored first */
        if (sched_sim_find_action(sim, NM_ACTION_POLL, "a")) {
            sched_sim_report(sim, "a", 2, NULL, 0, NULL, 0);
        }
        if (sched_sim_find_action(sim, NM_ACTION_POLL, "b")) {
            sched_sim_report(sim, "b", 1, NULL, 0, NULL, 0);
        }
    } while (!sched_sim_find_action(sim, NM_ACTION_START, NULL) &&
             sim->now_ms - begun_ms < 2 * LATE_START_MS);
    g_assert_cmpint(sim->now_ms - begun_ms, >=, LATE_START_MS);
    g_assert_cmpint(sim->now_ms - begun_ms, <=, LATE_START_MAX_MS);
}

/*
 * A start without a response may still reach the next incarnation of the
 * worker, or the one after that.  The task must not start elsewhere before
 * that incarnation has confirmed a stop and reported what it runs, nor before
 * the start can no longer arrive.
 */
static void
test_unanswered_start_on_new_incarnation(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_on_start(sim.sched, start, NM_ORDER_UNKNOWN, sim.now_ms);
    sched_sim_announce(&sim, "a", 2);
    sched_sim_announce(&sim, "b", 1);
    sched_sim_advance(&sim, 10);
    const nm_sched_action_t *stop =
        sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
    g_assert_nonnull(stop);
    g_assert_cmpint(stop->incarnation, ==, 2);
    nm_sched_action_t stopped = *stop;
    sched_sim_report(&sim, "b", 1, NULL, 0, NULL, 0);
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    nm_sched_on_stop(sim.sched, &stopped, NM_ORDER_DONE, sim.now_ms);
    sim.now_ms += 10;
    sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
    check_start_can_no_longer_arrive(&sim);
    sched_sim_finish(&sim);
}

/*
 * A start of a long-running task whose response was lost is sent again, and
 * may be carried out after the task is done and the worker has restarted.  The
 * new incarnation must get a stop of that run, repeated until it is confirmed.
 */
static void
test_lost_duplicate_is_refused_by_new_incarnation(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_on_start(sim.sched, start, NM_ORDER_UNKNOWN, sim.now_ms);
    sched_sim_advance(&sim, 100);
    nm_sched_action_t started = sched_sim_confirm_starts(&sim);
    g_assert_cmpint(started.type, ==, NM_ACTION_START);
    nm_worker_end_t end =
        sched_sim_make_end(1, TASK, started.run, NM_END_DONE);
    sched_sim_report(&sim, "a", 1, NULL, 0, &end, 1);
    sched_sim_save_all(&sim);
    sched_sim_announce(&sim, "a", 2);
    sched_sim_advance(&sim, 10);
    sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
    /* The run has ended in time: only its late start is an event. */
    nm_sched_event_t event;
    g_assert_true(nm_sched_next_event(sim.sched, &event));
    g_assert_cmpint(event.type, ==, NM_SCHED_EVENT_START_UNANSWERED);
    g_assert_cmpint(event.incarnation, ==, 1);
    g_assert_cmpint(event.value, ==, 1);
    g_assert_true(nm_sched_next_event(sim.sched, &event));
    g_assert_cmpint(event.type, ==, NM_SCHED_EVENT_START_RESENT);
    g_assert_cmpint(event.value, ==, 2);
    g_assert_true(nm_sched_next_event(sim.sched, &event));
    g_assert_cmpint(event.type, ==, NM_SCHED_EVENT_ORPHAN_RUN);
    g_assert_cmpint(event.run, ==, started.run);
    g_assert_false(nm_sched_next_event(sim.sched, &event));
    for (uint32_t lost = 0; lost < 3; lost++) {
        sched_sim_advance(&sim, 100);
        const nm_sched_action_t *stop =
            sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
        g_assert_nonnull(stop);
        g_assert_cmpstr(stop->task, ==, TASK);
        g_assert_cmpint(stop->run, ==, started.run);
        g_assert_cmpint(stop->incarnation, ==, 2);
        nm_sched_on_stop(sim.sched, stop,
                         lost < 2 ? NM_ORDER_UNKNOWN : NM_ORDER_DONE,
                         sim.now_ms);
    }
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_STOP, "a"));
    sched_sim_finish(&sim);
}

/*
 * A long-running task runs after a start whose first try got no response, and
 * its worker restarts.  The first try may still reach the new incarnation, so
 * the task must not start elsewhere before a stop there is confirmed, nor
 * before that try can no longer arrive.
 */
static void
test_task_waits_for_the_stop_of_a_late_start(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    nm_sched_on_start(sim.sched, start, NM_ORDER_UNKNOWN, sim.now_ms);
    sched_sim_advance(&sim, 100);
    nm_sched_action_t started = sched_sim_confirm_starts(&sim);
    g_assert_cmpint(started.type, ==, NM_ACTION_START);
    nm_worker_run_t running = sched_sim_make_run(TASK, started.run);
    sim.now_ms += 10;
    sched_sim_report(&sim, "a", 1, &running, 1, NULL, 0);
    sched_sim_add_worker(&sim, "b");
    sched_sim_announce(&sim, "a", 2);
    sched_sim_advance(&sim, 10);
    sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
    for (uint32_t lost = 0; lost < 5; lost++) {
        sched_sim_advance(&sim, 100);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
        const nm_sched_action_t *stop =
            sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
        g_assert_nonnull(stop);
        g_assert_cmpint(stop->run, ==, started.run);
        nm_sched_on_stop(sim.sched, stop,
                         lost < 4 ? NM_ORDER_UNKNOWN : NM_ORDER_DONE,
                         sim.now_ms);
    }
    /* The late start may have come before the stop, and be ending. */
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
    check_start_can_no_longer_arrive(&sim);
    sched_sim_finish(&sim);
}

/*
 * A start may time out only after the next incarnation of its worker has
 * reported.  That incarnation must get a stop of the run, too, unless a report
 * has shown that the former one had begun it.
 */
static void
test_duplicate_timed_out_after_crash(void)
{
    static const bool shown[] = {false, true};
    for (size_t c = 0; c < NM_COUNT_OF(shown); c++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_worker(&sim, "a");
        sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
        sched_sim_advance(&sim, 30);
        const nm_sched_action_t *sent =
            sched_sim_find_action(&sim, NM_ACTION_START, "a");
        g_assert_nonnull(sent);
        nm_sched_action_t start = *sent;
        sim.now_ms += 10;
        nm_worker_end_t end =
            sched_sim_make_end(1, TASK, start.run, NM_END_DONE);
        sched_sim_report(&sim, "a", 1, NULL, 0, &end, shown[c] ? 1 : 0);
        sched_sim_save_all(&sim);
        sched_sim_announce(&sim, "a", 2);
        sched_sim_report(&sim, "a", 2, NULL, 0, NULL, 0);
        nm_sched_on_start(sim.sched, &start, NM_ORDER_UNKNOWN, sim.now_ms);
        sched_sim_advance(&sim, 100);
        const nm_sched_action_t *stop =
            sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
        g_assert_cmpint(stop != NULL, ==, !shown[c]);
        g_assert_cmpint(stop ? stop->run : start.run, ==, start.run);
        g_assert_cmpint(stop ? stop->incarnation : 2, ==, 2);
        sched_sim_finish(&sim);
    }
}

/*
 * A confirmed start may have run on the next incarnation of the worker.  The
 * task must not restart before that incarnation has reported what it runs, and
 * only if the run is not listed.
 */
static void
test_start_reached_new_incarnation(void)
{
    static const struct {
        const char *name;
        bool listed;
    } cases[] = {{"run is listed", true}, {"run is not listed", false}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_worker(&sim, "a");
        sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
        sched_sim_advance(&sim, 30);
        nm_sched_action_t started = sched_sim_confirm_starts(&sim);
        g_assert_cmpint(started.type, ==, NM_ACTION_START);
        sched_sim_add_worker(&sim, "b");
        sched_sim_advance(&sim, 100);
        sched_sim_announce(&sim, "a", 2);
        sched_sim_advance(&sim, 100);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
        nm_worker_run_t run = sched_sim_make_run(TASK, started.run);
        sched_sim_report(&sim, "a", 2, &run, cases[i].listed ? 1 : 0, NULL, 0);
        sched_sim_advance(&sim, 100);
        g_assert_true((sched_sim_find_action(&sim, NM_ACTION_START, NULL) ==
                       NULL) == cases[i].listed);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_STOP, NULL));
        sched_sim_finish(&sim);
    }
}

/*
 * There must be one event when a worker becomes unresponsive and one when it
 * recovers, not one for each poll.
 */
static void
test_worker_events_are_reported(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    for (uint32_t i = 0; i < 3; i++) {
        sched_sim_advance(&sim, 1000);
        sched_sim_lose_poll(&sim, "a");
    }
    nm_sched_event_t event;
    g_assert_true(nm_sched_next_event(sim.sched, &event));
    g_assert_cmpint(event.type, ==, NM_SCHED_EVENT_WORKER_UNRESPONSIVE);
    g_assert_cmpstr(event.worker, ==, "a");
    g_assert_cmpint(event.value, ==, 2);
    g_assert_false(nm_sched_next_event(sim.sched, &event));
    nm_worker_run_t run = sched_sim_make_run(TASK, 1);
    sched_sim_report(&sim, "a", 1, &run, 1, NULL, 0);
    g_assert_true(nm_sched_next_event(sim.sched, &event));
    g_assert_cmpint(event.type, ==, NM_SCHED_EVENT_WORKER_RECOVERED);
    g_assert_cmpint(event.value, ==, 3);
    g_assert_false(nm_sched_next_event(sim.sched, &event));
    sched_sim_finish(&sim);
}

/*
 * A poll sent in the same millisecond in which a start was confirmed may have
 * been processed before the start.  Its report must not make the task restart;
 * the report of a later poll that does not list the run must.
 */
static void
test_poll_of_the_same_millisecond(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_worker(&sim, "b");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_action_t started = sched_sim_confirm_starts(&sim);
    g_assert_cmpint(started.type, ==, NM_ACTION_START);
    sched_sim_report(&sim, started.worker, 1, NULL, 0, NULL, 0);
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    sched_sim_report(&sim, started.worker, 1, NULL, 0, NULL, 0);
    sched_sim_advance(&sim, 100);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    sched_sim_finish(&sim);
}

/*
 * A task that is being stopped holds its capacity until its end is listed.
 * Another start before would put the worker over its capacity.
 */
static void
test_capacity_counts_stopping_tasks(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, CPU_MILLI, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    sched_sim_add_job(&sim, "1111111111111111", false, 1, CPU_MILLI, false);
    nm_sched_cancel_job(sim.sched, JOB, sim.now_ms);
    sched_sim_advance(&sim, 30);
    const nm_sched_action_t *stop =
        sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
    g_assert_nonnull(stop);
    nm_sched_action_t stopped = *stop;
    nm_sched_on_stop(sim.sched, &stopped, NM_ORDER_DONE, sim.now_ms);
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, "a"));
    nm_worker_end_t end = sched_sim_make_end(1, TASK, 1, NM_END_STOPPED);
    sched_sim_report(&sim, "a", 1, NULL, 0, &end, 1);
    sched_sim_advance(&sim, 100);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_START, "a"));
    sched_sim_finish(&sim);
}

/*
 * A task that makes no progress, while its worker keeps reporting it, must be
 * stopped and restarted on another worker.
 */
static void
test_stalled_task_moves(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    nm_worker_run_t running = sched_sim_make_run(TASK, 1);
    sched_sim_report(&sim, "a", 1, &running, 1, NULL, 0);
    sched_sim_add_worker(&sim, "b");
    nm_ms_t begin_ms = sim.now_ms;
    while (!sched_sim_find_action(&sim, NM_ACTION_STOP, "a")) {
        sched_sim_advance(&sim, 100);
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_report(&sim, "a", 1, &running, 1, NULL, 0);
        }
        g_assert_cmpint(sim.now_ms - begin_ms, <, 10000);
    }
    /* Longer than any run that progresses: estimates are off by up to 1.9. */
    g_assert_cmpint(sim.now_ms - begin_ms, >, 1900);
    nm_sched_action_t stop = *sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
    nm_sched_on_stop(sim.sched, &stop, NM_ORDER_DONE, sim.now_ms);
    nm_worker_end_t end = sched_sim_make_end(1, TASK, 1, NM_END_STOPPED);
    sched_sim_report(&sim, "a", 1, NULL, 0, &end, 1);
    sched_sim_advance(&sim, 100);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_START, "b"));
    sched_sim_finish(&sim);
}

/*
 * Short tasks refill each gap on the worker that is too small for a
 * long-running task, so that it would never start without a reservation.
 */
static void
test_long_running_gets_capacity(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    nm_worker_run_t running[2]; /* oldest first */
    uint32_t count = 0;
    bool started = false;
    int64_t ended = 0;
    for (uint32_t round = 0; round < 16 && !started; round++) {
        char id[NM_JOB_ID_MAX];
        g_snprintf(id, sizeof(id), "%016x", round + 1);
        sched_sim_add_job(&sim, id, false, 1, CPU_MILLI / 2, false);
        if (round == 2) {
            /* It has run under an earlier owner. */
            sched_sim_add_job(&sim, JOB, true, 1, CPU_MILLI * 3 / 4, true);
        }
        sched_sim_advance(&sim, 500);
        for (guint i = 0; i < sim.actions->len; i++) {
            const nm_sched_action_t *action =
                &g_array_index(sim.actions, nm_sched_action_t, i);
            if (action->type != NM_ACTION_START) {
                continue;
            }
            started = started || strcmp(action->task, TASK) == 0;
            g_assert_cmpuint(count, <, NM_COUNT_OF(running));
            running[count++] = sched_sim_make_run(action->task, action->run);
        }
        sched_sim_confirm_starts(&sim);
        if (round < 2 || count == 0) {
            continue;
        }
        nm_worker_end_t end = sched_sim_make_end(++ended, running[0].task,
                                                 running[0].run, NM_END_DONE);
        running[0] = running[1];
        count--;
        sched_sim_report(&sim, "a", 1, running, count, &end, 1);
        sched_sim_save_all(&sim);
    }
    g_assert_true(started);
    sched_sim_finish(&sim);
}

/*
 * Callers wait for the record of an ended job.  It must be saved before the
 * records of jobs that only progressed.
 */
static void
test_ended_job_is_saved_first(void)
{
    enum { JOBS = 30 };
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    for (uint32_t i = 0; i < JOBS; i++) {
        char id[NM_JOB_ID_MAX];
        g_snprintf(id, sizeof(id), "%016x", i);
        sched_sim_add_job(&sim, id, false, i < JOBS - 1 ? 2 : 1, 100, false);
    }
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    nm_worker_end_t ends[JOBS];
    for (uint32_t i = 0; i < JOBS; i++) {
        char task[NM_TASK_NAME_MAX];
        g_snprintf(task, sizeof(task), "%016x.0.0.0", i);
        ends[i] = sched_sim_make_end(i + 1, task, 1, NM_END_DONE);
    }
    sched_sim_report(&sim, "a", 1, NULL, 0, ends, JOBS);
    nm_sched_save_t save;
    g_assert_true(nm_sched_save_is_urgent(sim.sched));
    g_assert_true(nm_sched_next_save(sim.sched, &save));
    g_assert_cmpstr(save.job, ==, "000000000000001d");
    nm_sched_confirm_save(sim.sched, &save, true);
    g_free(save.record);
    g_assert_false(nm_sched_save_is_urgent(sim.sched));
    sched_sim_save_all(&sim);
    g_assert_false(nm_sched_has_saves(sim.sched));
    sched_sim_finish(&sim);
}

/*
 * A start that was refused as expired may run nevertheless, as the HTTP client
 * may have sent it twice.  It must be stopped before the task starts
 * elsewhere.
 */
static void
test_late_start_is_withdrawn(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_action_t start =
        *sched_sim_find_action(&sim, NM_ACTION_START, "a");
    sched_sim_announce(&sim, "b", 1);
    nm_sched_on_start(sim.sched, &start, NM_ORDER_EXPIRED, sim.now_ms);
    sched_sim_advance(&sim, 30);
    g_assert_nonnull(sched_sim_find_action(&sim, NM_ACTION_STOP, "a"));
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    sched_sim_finish(&sim);
}

/*
 * Load: a new job every minute for a week.  The number of ended jobs that are
 * kept, in memory and in the store, must depend on the retention time only.
 */
static void
test_ended_jobs_are_removed(void)
{
    enum { WEEK_S = 7 * 24 * 3600, EVERY_S = 60, RETAIN_S = 150 };
    enum { KEPT_MAX = RETAIN_S / EVERY_S + 2 };
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    GHashTable *records =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    char id[NM_JOB_ID_MAX] = "";
    int64_t ended = 0;
    for (uint32_t second = 0; second < WEEK_S; second++) {
        if (second % EVERY_S == 0) {
            g_snprintf(id, sizeof(id), "%016x", second);
            sched_sim_add_job(&sim, id, false, 1, 1000, false);
        }
        sched_sim_advance(&sim, 1000);
        nm_sched_action_t start = sched_sim_confirm_starts(&sim);
        if (start.type == NM_ACTION_START && second % (2 * EVERY_S) == 0) {
            nm_sched_cancel_job(sim.sched, id, sim.now_ms);
        }
        if (start.type == NM_ACTION_START) {
            nm_worker_end_t end = sched_sim_make_end(++ended, start.task,
                                                     start.run, NM_END_DONE);
            sim.now_ms++;
            sched_sim_report(&sim, "a", 1, NULL, 0, &end, 1);
        }
        nm_sched_save_t save;
        while (nm_sched_next_save(sim.sched, &save)) {
            bool removed = !save.record;
            nm_sched_confirm_save(sim.sched, &save, true);
            g_free(save.record);
            if (removed) {
                g_assert_true(g_hash_table_remove(records, save.job));
                g_assert_cmpint(nm_sched_query_job(sim.sched, save.job), ==,
                                NM_JOB_UNKNOWN);
            }
            else {
                g_hash_table_add(records, g_strdup(save.job));
            }
        }
        g_assert_cmpuint(g_hash_table_size(records), <=, KEPT_MAX);
        bool kept = second < EVERY_S + RETAIN_S ||
                    g_hash_table_size(records) >= RETAIN_S / EVERY_S;
        g_assert_true(kept);
    }
    g_hash_table_destroy(records);
    sched_sim_finish(&sim);
}

/*
 * The store may fail to remove the record of an expired job.  The removal must
 * be repeated, or the record stays forever.
 */
static void
test_failed_removal_is_retried(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    nm_sched_cancel_job(sim.sched, JOB, sim.now_ms);
    sched_sim_save_all(&sim);
    sched_sim_advance(&sim, 100000);
    g_assert_false(nm_sched_has_saves(sim.sched));
    sched_sim_advance(&sim, 100000);
    for (uint32_t i = 0; i < 3; i++) {
        nm_sched_save_t save;
        g_assert_true(nm_sched_next_save(sim.sched, &save));
        g_assert_null(save.record);
        g_assert_true(save.has_cancel_key);
        g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==,
                        NM_JOB_CANCELLED);
        nm_sched_confirm_save(sim.sched, &save, i == 2);
        sched_sim_advance(&sim, 1000);
    }
    g_assert_false(nm_sched_has_saves(sim.sched));
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_UNKNOWN);
    sched_sim_finish(&sim);
}

/*
 * Load: a large fleet, of which one worker in a hundred becomes unresponsive
 * at once.  That must not count as loss of calls in general; one call in ten
 * that is lost, whichever worker is called, must.
 */
static void
test_unresponsive_workers_are_not_call_loss(void)
{
    enum { WORKERS = 1000, HEALTHY_ROUNDS = 3 };
    static const struct {
        const char *name;
        uint32_t one_in;   /* one worker of so many does not respond */
        bool same_workers; /* each round loses the same ones */
        bool lossy;
    } cases[] = {{"unresponsive workers", 100, true, false},
                 {"lost responses", 10, false, true}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        char ids[WORKERS][8];
        for (uint32_t w = 0; w < WORKERS; w++) {
            g_snprintf(ids[w], sizeof(ids[w]), "w%u", w);
            sched_sim_add_worker(&sim, ids[w]);
        }
        nm_sched_event_t event;
        while (nm_sched_next_event(sim.sched, &event)) {
        }
        uint32_t loss_events = 0;
        for (uint32_t round = 0; round < 20; round++) {
            for (uint32_t w = 0; w < WORKERS; w++) {
                /* Polls of unresponsive workers time out together. */
                bool lost = cases[i].same_workers
                                ? w < WORKERS / cases[i].one_in
                                : (w + round * 7) % cases[i].one_in == 0;
                if (lost && round >= HEALTHY_ROUNDS) {
                    sched_sim_lose_poll(&sim, ids[w]);
                }
                else {
                    sched_sim_report(&sim, ids[w], 1, NULL, 0, NULL, 0);
                }
                sim.now_ms += w % 5 == 0;
            }
            while (nm_sched_next_event(sim.sched, &event)) {
                loss_events += event.type == NM_SCHED_EVENT_CALL_LOSS_BEGAN;
            }
        }
        g_assert_cmpuint(loss_events, ==, cases[i].lossy ? 1 : 0);
        sched_sim_finish(&sim);
    }
}

/*
 * Load: over a busy link a worker's reports arrive after their polls have
 * timed out.  A listed end must count, or the task starts again when the lease
 * has lapsed.  A report older than the newest one must not change what runs.
 */
static void
test_late_report_counts(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 2, 1000, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    nm_worker_end_t end = sched_sim_make_end(1, TASK, 1, NM_END_DONE);
    nm_worker_run_t other = sched_sim_make_run(JOB ".0.0.1", 1);
    nm_worker_report_t late = {.result = NM_ORDER_DONE,
                               .incarnation = 1,
                               .clock_ms = sim.now_ms,
                               .sent_ms = sim.now_ms + 100,
                               .complete = true,
                               .running = &other,
                               .running_count = 1,
                               .ends = &end,
                               .end_count = 1};
    for (uint32_t i = 0; i < 3; i++) {
        sched_sim_advance(&sim, 1000);
        sched_sim_lose_poll(&sim, "a");
    }
    g_assert_cmpuint(nm_sched_query_info(sim.sched).workers_usable, ==, 0);
    nm_sched_on_late_report(sim.sched, "a", &late, sim.now_ms);
    g_assert_cmpuint(nm_sched_query_info(sim.sched).workers_usable, ==, 1);
    g_assert_cmpint(nm_sched_query_last_end(sim.sched, "a"), ==, 1);
    g_assert_cmpuint(nm_sched_query_info(sim.sched).tasks_running, ==, 1);
    /* An older report that does not list the other run yet. */
    late.sent_ms -= 50;
    late.running_count = 0;
    nm_sched_on_late_report(sim.sched, "a", &late, sim.now_ms);
    g_assert_cmpuint(nm_sched_query_info(sim.sched).tasks_running, ==, 1);
    sched_sim_finish(&sim);
}

/*
 * Of a burst of events only the first 64 are kept.  The number of the others
 * must be reported, so that the loss is visible.
 */
static void
test_dropped_events_are_counted(void)
{
    enum { WORKERS = 100, KEPT = 64 };
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    for (uint32_t w = 0; w < WORKERS; w++) {
        char id[8];
        g_snprintf(id, sizeof(id), "w%u", w);
        sched_sim_add_worker(&sim, id);
        for (uint32_t i = 0; i < 3; i++) {
            sched_sim_lose_poll(&sim, id);
        }
    }
    nm_sched_event_t event;
    uint32_t unresponsive = 0;
    int64_t dropped = 0;
    while (nm_sched_next_event(sim.sched, &event)) {
        unresponsive += event.type == NM_SCHED_EVENT_WORKER_UNRESPONSIVE;
        dropped +=
            event.type == NM_SCHED_EVENT_EVENTS_DROPPED ? event.value : 0;
    }
    g_assert_cmpuint(unresponsive, >, 0);
    g_assert_cmpint(dropped, >=, WORKERS - KEPT);
    sched_sim_finish(&sim);
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
        {"/sched/unresponsive-worker-lease-lapses",
         test_unresponsive_worker_lease_lapses},
        {"/sched/unanswered-start-on-new-incarnation",
         test_unanswered_start_on_new_incarnation},
        {"/sched/lost-duplicate-is-refused-by-new-incarnation",
         test_lost_duplicate_is_refused_by_new_incarnation},
        {"/sched/task-waits-for-the-stop-of-a-late-start",
         test_task_waits_for_the_stop_of_a_late_start},
        {"/sched/duplicate-timed-out-after-crash",
         test_duplicate_timed_out_after_crash},
        {"/sched/start-reached-new-incarnation",
         test_start_reached_new_incarnation},
        {"/sched/worker-events-are-reported", test_worker_events_are_reported},
        {"/sched/dropped-events-are-counted", test_dropped_events_are_counted},
        {"/sched/poll-of-the-same-millisecond",
         test_poll_of_the_same_millisecond},
        {"/sched/capacity-counts-stopping-tasks",
         test_capacity_counts_stopping_tasks},
        {"/sched/stalled-task-moves", test_stalled_task_moves},
        {"/sched/long-running-gets-capacity", test_long_running_gets_capacity},
        {"/sched/ended-job-is-saved-first", test_ended_job_is_saved_first},
        {"/sched/ended-jobs-are-removed", test_ended_jobs_are_removed},
        {"/sched/failed-removal-is-retried", test_failed_removal_is_retried},
        {"/sched/unresponsive-workers-are-not-call-loss",
         test_unresponsive_workers_are_not_call_loss},
        {"/sched/late-report-counts", test_late_report_counts},
        {"/sched/late-start-is-withdrawn", test_late_start_is_withdrawn},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
