/* Tests of the scheduler of a new owner: runs and records it inherits. */
#include <stdlib.h>
#include <string.h>

#include "lib_sched_sim.h"

#define OTHER_JOB "0123456789abcdef"
#define RESTART_MS 4000
/* Time for which the former owner may go on, as sim.now_ms counts it. */
#define GRACE_MS 500

/*
 * A run of the former owner whose failure is listed after the takeover must
 * count as an attempt, although a later run of the task is listed before it.
 */
static void
test_failure_counts_after_takeover(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    sched_sim_announce(&sim, "a", 1);
    sched_sim_announce(&sim, "b", 1);
    sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
    sched_sim_advance(&sim, 10);
    nm_worker_run_t running = sched_sim_make_run(TASK, 2);
    sched_sim_report(&sim, "b", 1, &running, 1, NULL, 0);
    nm_worker_end_t failed = sched_sim_make_end(1, TASK, 1, NM_END_FAILED);
    sched_sim_report(&sim, "a", 1, NULL, 0, &failed, 1);
    sched_sim_advance(&sim, 100);
    g_assert_cmpint(nm_sched_query_info(sim.sched).jobs_active, ==, 1);
    nm_worker_end_t failed_again =
        sched_sim_make_end(1, TASK, 2, NM_END_FAILED);
    sched_sim_report(&sim, "b", 1, NULL, 0, &failed_again, 1);
    sched_sim_advance(&sim, 100);
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    sched_sim_save_all(&sim);
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_FAILED);
    sched_sim_finish(&sim);
}

/*
 * A failure that the former owner stored is listed again after the takeover.
 * Counting it twice would use up the attempts of the task.
 */
static void
test_failure_counts_once(void)
{
    sched_sim_t former;
    sched_sim_init(&former, 1);
    sched_sim_add_worker(&former, "a");
    sched_sim_add_job(&former, JOB, false, 1, 1000, false);
    sched_sim_advance(&former, 30);
    sched_sim_confirm_starts(&former);
    nm_worker_end_t failed = sched_sim_make_end(1, TASK, 1, NM_END_FAILED);
    sched_sim_report(&former, "a", 1, NULL, 0, &failed, 1);
    nm_sched_save_t save;
    g_assert_true(nm_sched_next_save(former.sched, &save));

    sched_sim_t successor;
    sched_sim_init(&successor, 2);
    sched_sim_announce(&successor, "a", 1);
    sched_sim_add_job(&successor, JOB, false, 1, 1000, true);
    g_assert_cmpint(nm_sched_restore(successor.sched, JOB, save.record,
                                     (uint32_t)strlen(save.record)),
                    ==, NM_OK);
    sched_sim_advance(&successor, 10);
    sched_sim_report(&successor, "a", 1, NULL, 0, &failed, 1);
    sched_sim_advance(&successor, 100);
    g_assert_nonnull(sched_sim_find_action(&successor, NM_ACTION_START, "a"));
    g_free(save.record);
    sched_sim_finish(&former);
    sched_sim_finish(&successor);
}

/*
 * A run of the former owner fails under the new one, before the worker of an
 * earlier run has reported.  That run may have failed too, so that the task
 * must wait for the report, and no longer.
 */
static void
test_failed_task_waits_for_all_workers(void)
{
    for (int failed_before = 0; failed_before <= 1; failed_before++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        sched_sim_announce(&sim, "a", 1);
        sched_sim_announce(&sim, "b", 1);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        sched_sim_advance(&sim, 10);
        nm_worker_run_t running = sched_sim_make_run(TASK, 2);
        sched_sim_report(&sim, "b", 1, &running, 1, NULL, 0);
        sched_sim_advance(&sim, 100);
        nm_worker_end_t failed = sched_sim_make_end(1, TASK, 2, NM_END_FAILED);
        sched_sim_report(&sim, "b", 1, NULL, 0, &failed, 1);
        for (int i = 0; i < 5; i++) {
            sched_sim_advance(&sim, 100);
            g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
        }
        nm_worker_end_t first = sched_sim_make_end(1, TASK, 1, NM_END_FAILED);
        sched_sim_report(&sim, "a", 1, NULL, 0, &first,
                         (uint32_t)failed_before);
        sched_sim_advance(&sim, 100);
        bool starts = sched_sim_find_action(&sim, NM_ACTION_START, NULL);
        g_assert_cmpint(starts, ==, !failed_before);
        sched_sim_save_all(&sim);
        g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==,
                        failed_before ? NM_JOB_FAILED : NM_JOB_RUNNING);
        sched_sim_finish(&sim);
    }
}

/*
 * Workers that restart after the takeover, with tasks of the new owner, have
 * no runs of the former one.  A task of a recovered job must not wait for
 * them, whether it fails under the new owner or no worker runs it.
 */
static void
test_recovered_task_does_not_wait_for_restarted_workers(void)
{
    for (int runs = 0; runs <= 1; runs++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        nm_sched_expect_worker(sim.sched, "gone", sim.now_ms);
        sched_sim_announce(&sim, "a", 1);
        sched_sim_announce(&sim, "b", 1);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        nm_sched_activate(sim.sched, sim.now_ms + GRACE_MS);
        sched_sim_advance(&sim, 10);
        nm_worker_run_t running = sched_sim_make_run(TASK, 1);
        sched_sim_report(&sim, "a", 1, &running, (uint32_t)runs, NULL, 0);
        sched_sim_report(&sim, "b", 1, NULL, 0, NULL, 0);
        sched_sim_add_job(&sim, OTHER_JOB, true, 2, CPU_MILLI - 1000, false);
        bool starts = false;
        for (int64_t i = 2; i <= 6 && !starts; i++) {
            for (nm_ms_t t = 0; t < RESTART_MS; t += 100) {
                sched_sim_advance(&sim, 100);
                for (guint k = 0; k < sim.actions->len; k++) {
                    const nm_sched_action_t *action =
                        &g_array_index(sim.actions, nm_sched_action_t, k);
                    starts = starts || (action->type == NM_ACTION_START &&
                                        strcmp(action->task, TASK) == 0);
                }
                sched_sim_confirm_starts(&sim);
                sched_sim_save_all(&sim);
            }
            nm_worker_end_t failed =
                sched_sim_make_end(1, TASK, 1, NM_END_FAILED);
            sched_sim_report(&sim, "a", 1, NULL, 0, &failed, (uint32_t)runs);
            sched_sim_announce(&sim, "b", i);
        }
        g_assert_true(starts);
        sched_sim_finish(&sim);
    }
}

/* Fails the task's run, and returns true if it starts again. */
static bool
fail_run(sched_sim_t *sim, int64_t number)
{
    nm_sched_action_t start = sched_sim_confirm_starts(sim);
    nm_worker_end_t failed =
        sched_sim_make_end(number, TASK, start.run, NM_END_FAILED);
    sched_sim_report(sim, "a", 1, NULL, 0, &failed, 1);
    for (int step = 0; step < 200; step++) {
        sched_sim_advance(sim, 100);
        sched_sim_save_all(sim);
        if (sched_sim_find_action(sim, NM_ACTION_START, NULL)) {
            return true;
        }
        if (sched_sim_find_action(sim, NM_ACTION_POLL, "a")) {
            sched_sim_report(sim, "a", 1, NULL, 0, NULL, 0);
        }
    }
    return false;
}

static void
set_limit(sched_sim_t *sim, uint32_t attempts_max)
{
    nm_queue_t queue = {
        .name = "removed", .service = "press", .attempts_max = attempts_max};
    nm_sched_set_queue(sim->sched, &queue);
}

/*
 * The queue of a job is removed from the configuration, and the owner is lost.
 * The next one must keep the limit of attempts: that of the acceptance, or a
 * later one that the former owner knew.
 */
static void
test_limit_of_a_removed_queue(void)
{
    static const struct {
        const char *name;
        uint32_t accepted_max;
        uint32_t changed_max; /* 0: no change */
        uint32_t failed_before;
        uint32_t failed_after;
    } cases[] = {
        {"never started", 2, 0, 0, 2},  {"failed before", 2, 0, 1, 1},
        {"limit lowered", 4, 2, 0, 2},  {"limit raised", 2, 4, 1, 3},
        {"many attempts", 12, 0, 9, 3},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_job_spec_t accepted;
        nm_job_spec_init(&accepted, JOB, "removed", "press");
        accepted.attempts_max = cases[i].accepted_max;
        nm_step_t *step = nm_job_spec_add_step(&accepted);
        step->task_count = 1;
        step->cpu_milli = 1000;
        char *record = nm_job_record_encode(&accepted);
        nm_job_spec_finish(&accepted);

        sched_sim_t former;
        sched_sim_init(&former, 1);
        sched_sim_add_worker(&former, "a");
        set_limit(&former, cases[i].accepted_max);
        nm_job_spec_t spec;
        g_assert_cmpint(
            nm_job_record_decode(&spec, JOB, record, (uint32_t)strlen(record)),
            ==, NM_OK);
        nm_sched_add_job(former.sched, &spec, false, former.now_ms);
        sched_sim_advance(&former, 100);
        for (uint32_t f = 0; f < cases[i].failed_before; f++) {
            g_assert_true(fail_run(&former, f + 1));
        }
        if (cases[i].changed_max > 0) {
            set_limit(&former, cases[i].changed_max);
        }
        else if (cases[i].failed_before > 0) {
            /* Changes the job, so that its record is there to be taken. */
            set_limit(&former, cases[i].accepted_max + 1);
            sched_sim_save_all(&former);
            set_limit(&former, cases[i].accepted_max);
        }
        nm_sched_save_t save = {0};
        nm_sched_next_save(former.sched, &save);
        sched_sim_finish(&former);

        sched_sim_t next;
        sched_sim_init(&next, 2);
        sched_sim_announce(&next, "a", 1);
        nm_job_record_decode(&spec, JOB, record, (uint32_t)strlen(record));
        nm_sched_add_job(next.sched, &spec, true, next.now_ms);
        if (save.record) {
            nm_sched_restore(next.sched, JOB, save.record,
                             (uint32_t)strlen(save.record));
        }
        nm_sched_activate(next.sched, next.now_ms);
        sched_sim_advance(&next, 10);
        sched_sim_report(&next, "a", 1, NULL, 0, NULL, 0);
        sched_sim_advance(&next, 100);
        g_assert_nonnull(sched_sim_find_action(&next, NM_ACTION_START, "a"));
        for (uint32_t f = 1; f <= cases[i].failed_after; f++) {
            g_assert_cmpint(fail_run(&next, f), ==, f < cases[i].failed_after);
        }
        g_assert_cmpint(nm_sched_query_job(next.sched, JOB), ==,
                        NM_JOB_FAILED);
        sched_sim_finish(&next);
        g_free(save.record);
        free(record);
    }
}

/*
 * A start that was sent to the former incarnation may run on the next one,
 * under the longest lease that workers allow, as its expiry is on another
 * clock.  A report of that incarnation must not shorten the time until the
 * lease is taken for lapsed.
 */
static void
test_lease_of_a_new_incarnation(void)
{
    enum { LEASE_MAX_MS = 10000, RESTART_MAX_MS = 13000 };
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_action_t start = sched_sim_confirm_starts(&sim);
    g_assert_cmpint(start.type, ==, NM_ACTION_START);
    sched_sim_add_worker(&sim, "b");
    nm_ms_t begun_ms = sim.now_ms;
    sched_sim_announce(&sim, "a", 2);
    sched_sim_advance(&sim, 10);
    nm_worker_run_t running = sched_sim_make_run(TASK, start.run);
    sched_sim_report(&sim, "a", 2, &running, 1, NULL, 0);
    while (!sched_sim_find_action(&sim, NM_ACTION_START, "b") &&
           sim.now_ms - begun_ms < RESTART_MAX_MS)
    {
        sched_sim_advance(&sim, 100);
        sched_sim_save_all(&sim);
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_lose_poll(&sim, "a");
        }
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "b")) {
            sched_sim_report(&sim, "b", 1, NULL, 0, NULL, 0);
        }
    }
    g_assert_cmpint(sim.now_ms - begun_ms, >=, LEASE_MAX_MS);
    g_assert_cmpint(sim.now_ms - begun_ms, <, RESTART_MAX_MS);
    sched_sim_finish(&sim);
}

static void
report_part(sched_sim_t *sim, const nm_worker_run_t *running,
            uint32_t running_count, const nm_worker_end_t *ends,
            uint32_t end_count)
{
    nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                 .incarnation = 1,
                                 .clock_ms = sim->now_ms,
                                 .sent_ms = sim->now_ms,
                                 .running = running,
                                 .running_count = running_count,
                                 .ends = ends,
                                 .end_count = end_count};
    nm_sched_on_report(sim->sched, "a", &report, sim->now_ms);
}

static GArray *
make_done_ends(uint32_t first, uint32_t count)
{
    GArray *ends = g_array_new(FALSE, FALSE, sizeof(nm_worker_end_t));
    for (uint32_t i = first; i < first + count; i++) {
        char *task = g_strdup_printf(JOB ".0.0.%u", i);
        nm_worker_end_t end = sched_sim_make_end(i + 1, task, 1, NM_END_DONE);
        g_array_append_val(ends, end);
        g_free(task);
    }
    return ends;
}

/*
 * A worker lists 500 ends at a time.  Tasks whose ends come later must not
 * start again because they are in neither list yet, also if the store is slow
 * to take the first ones.
 */
static void
test_ends_beyond_the_first_list_count(void)
{
    enum { TASKS = 660, LISTED = NM_WORKER_ENDS_LISTED_MAX };
    static const nm_ms_t store_delays_ms[] = {0, 2000, 12000};
    for (size_t i = 0; i < NM_COUNT_OF(store_delays_ms); i++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        sched_sim_announce(&sim, "a", 1);
        sched_sim_add_job(&sim, JOB, false, TASKS, 20, true);
        nm_sched_activate(sim.sched, sim.now_ms + GRACE_MS);
        sched_sim_advance(&sim, 10);
        GArray *first = make_done_ends(0, LISTED);
        report_part(&sim, NULL, 0, (nm_worker_end_t *)first->data, LISTED);
        int64_t acked = 0;
        for (nm_ms_t t = 0; t < store_delays_ms[i] + 500; t += 100) {
            sched_sim_advance(&sim, 100);
            g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
            if (t >= store_delays_ms[i]) {
                sched_sim_save_all(&sim);
            }
            const nm_sched_action_t *poll =
                sched_sim_find_action(&sim, NM_ACTION_POLL, "a");
            acked = poll ? poll->acked : acked;
            if (poll && acked < LISTED) {
                report_part(&sim, NULL, 0, (nm_worker_end_t *)first->data,
                            LISTED);
            }
        }
        g_assert_cmpint(acked, ==, LISTED);
        GArray *rest = make_done_ends(LISTED, TASKS - LISTED);
        sched_sim_report(&sim, "a", 1, NULL, 0, (nm_worker_end_t *)rest->data,
                         rest->len);
        for (int step = 0; step < 10; step++) {
            sched_sim_advance(&sim, 100);
            g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
            sched_sim_save_all(&sim);
        }
        g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==,
                        NM_JOB_COMPLETED);
        g_array_free(first, TRUE);
        g_array_free(rest, TRUE);
        sched_sim_finish(&sim);
    }
}

/*
 * A list that cannot be read whole may leave out a run of the former owner.
 * Its worker's lease must not be renewed, and the task must not start
 * elsewhere before that has lapsed.  A late report that lists ends only says
 * as little about what runs.
 */
static void
test_run_missing_from_a_list_is_not_restarted(void)
{
    enum { LEASE_MS = 7000, RESTART_MAX_MS = 9000 };
    for (int ends_only = 0; ends_only <= 1; ends_only++) {
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        sched_sim_announce(&sim, "a", 1);
        sched_sim_announce(&sim, "b", 1);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        nm_sched_activate(sim.sched, sim.now_ms);
        sched_sim_advance(&sim, 10);
        sched_sim_report(&sim, "b", 1, NULL, 0, NULL, 0);
        if (ends_only) {
            sched_sim_lose_poll(&sim, "a");
            nm_worker_report_t late = {.result = NM_ORDER_DONE,
                                       .incarnation = 1,
                                       .clock_ms = sim.now_ms,
                                       .sent_ms = sim.now_ms,
                                       .ends_only = true};
            nm_sched_on_late_report(sim.sched, "a", &late, sim.now_ms);
        }
        else {
            report_part(&sim, NULL, 0, NULL, 0);
        }
        nm_ms_t begin_ms = sim.now_ms;
        const nm_sched_action_t *start = NULL;
        while (!start && sim.now_ms - begin_ms < RESTART_MAX_MS) {
            sched_sim_advance(&sim, 100);
            const nm_sched_action_t *poll =
                sched_sim_find_action(&sim, NM_ACTION_POLL, "a");
            if (poll && ends_only) {
                sched_sim_lose_poll(&sim, "a");
            }
            else if (poll) {
                g_assert_cmpint(poll->expiry_ms, ==, 0);
                report_part(&sim, NULL, 0, NULL, 0);
            }
            start = sched_sim_find_action(&sim, NM_ACTION_START, NULL);
        }
        g_assert_nonnull(start);
        g_assert_cmpint(sim.now_ms - begin_ms, >=, LEASE_MS);
        sched_sim_finish(&sim);
    }
}

/*
 * Tasks of a job whose progress record cannot be read may be running or done.
 * None of them may start; a record of a newer version counts as unreadable.
 */
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
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        sched_sim_announce(&sim, "a", 1);
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        nm_sched_restore(sim.sched, JOB, cases[i].record,
                         (uint32_t)strlen(cases[i].record));
        sched_sim_advance(&sim, 10);
        sched_sim_report(&sim, "a", 1, NULL, 0, NULL, 0);
        sched_sim_advance(&sim, 10000);
        bool started =
            sched_sim_find_action(&sim, NM_ACTION_START, "a") != NULL;
        g_assert_cmpint(started, ==, cases[i].starts);
        sched_sim_finish(&sim);
    }
}

/*
 * A recovered task may run on a worker that is expected but does not report.
 * It must not start elsewhere until every lease there has lapsed.
 */
static void
test_recovered_task_waits_for_all_workers(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    nm_sched_expect_worker(sim.sched, "b", sim.now_ms);
    sched_sim_announce(&sim, "a", 1);
    sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
    sched_sim_advance(&sim, 10);
    sched_sim_report(&sim, "a", 1, NULL, 0, NULL, 0);
    nm_ms_t begin_ms = sim.now_ms;
    while (!sched_sim_find_action(&sim, NM_ACTION_START, "a")) {
        sched_sim_advance(&sim, 100);
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_report(&sim, "a", 1, NULL, 0, NULL, 0);
        }
        g_assert_cmpint(sim.now_ms - begin_ms, <, 12000);
    }
    g_assert_cmpint(sim.now_ms - begin_ms, >=, 7000);
    sched_sim_finish(&sim);
}

/*
 * Load: the store rejects the owner; another one is elected and reads stored
 * records for 3 s.  Until the new owner gives orders, the former one may renew
 * leases, so that these must count from the first orders of the new owner.
 */
static void
test_leases_count_from_the_first_orders(void)
{
    enum { READING_MS = 3000, LEASE_MS = 7000 };
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    nm_sched_expect_worker(sim.sched, "b", sim.now_ms);
    sim.now_ms += READING_MS;
    sched_sim_announce(&sim, "a", 1);
    sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
    nm_sched_activate(sim.sched, sim.now_ms + GRACE_MS);
    nm_ms_t active_ms = sim.now_ms;
    sched_sim_advance(&sim, 10);
    sched_sim_report(&sim, "a", 1, NULL, 0, NULL, 0);
    while (!sched_sim_find_action(&sim, NM_ACTION_START, "a")) {
        sched_sim_advance(&sim, 100);
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_report(&sim, "a", 1, NULL, 0, NULL, 0);
        }
        g_assert_cmpint(sim.now_ms - active_ms, <, 9000);
    }
    g_assert_cmpint(sim.now_ms - active_ms, >=, LEASE_MS);
    sched_sim_finish(&sim);
}

/* Reports of the other workers, which run nothing, in time or late. */
static void
report_others(sched_sim_t *sim, uint32_t others, bool late)
{
    for (uint32_t i = 0; i < others; i++) {
        const char id[] = {'b', (char)('a' + i), '\0'};
        nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                     .incarnation = 1,
                                     .clock_ms = sim->now_ms,
                                     .sent_ms = sim->now_ms - (late ? 900 : 0),
                                     .complete = true};
        if (late) {
            nm_sched_on_late_report(sim->sched, id, &report, sim->now_ms);
        }
        else {
            nm_sched_on_report(sim->sched, id, &report, sim->now_ms);
        }
    }
}

/*
 * A new owner that is behind has not heard of a worker when the leases of the
 * former owner have lapsed: its run may have ended in time, with the report on
 * its way.  A worker that is gone sends none; nor does one that is silent
 * while others respond in time.
 */
static void
test_behind_successor_waits_for_late_report(void)
{
    enum {
        OTHERS = 24,
        LATE_MS = 12000,
        LAPSE_MS = 7000,
        LAPSE_MAX_MS = 9000
    };
    static const struct {
        const char *name;
        bool behind;
        bool gone;    /* the worker has no entry any more */
        bool reports; /* after LATE_MS, that the run has ended as done */
        nm_ms_t start_ms_min;
        nm_ms_t start_ms_max; /* 0: none */
    } cases[] = {
        {"in time", false, false, false, LAPSE_MS, LAPSE_MAX_MS},
        {"gone", true, true, false, LAPSE_MS, LAPSE_MAX_MS},
        {"behind", true, false, false, LATE_MS, LAPSE_MAX_MS + 10000},
        {"behind, reports late", true, false, true, 0, 0},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("%s", cases[c].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 2);
        nm_sched_expect_worker(sim.sched, "a", sim.now_ms);
        if (!cases[c].gone) {
            sched_sim_announce(&sim, "a", 1);
        }
        for (int i = 0; i < OTHERS; i++) {
            sched_sim_announce(&sim, (char[]){'b', (char)('a' + i), '\0'}, 1);
        }
        sched_sim_add_job(&sim, JOB, false, 1, 1000, true);
        nm_sched_activate(sim.sched, sim.now_ms);
        nm_ms_t begin_ms = sim.now_ms;
        nm_ms_t start_ms = 0;
        bool reported = false;
        for (nm_ms_t t = 0; t < 25000 && start_ms == 0; t += 100) {
            sched_sim_advance(&sim, 100);
            sched_sim_save_all(&sim);
            bool starts = sched_sim_find_action(&sim, NM_ACTION_START, NULL);
            start_ms = starts ? sim.now_ms - begin_ms : 0;
            if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
                sched_sim_lose_poll(&sim, "a");
            }
            report_others(&sim, OTHERS, cases[c].behind);
            if (cases[c].reports && !reported && t >= LATE_MS) {
                nm_worker_end_t end =
                    sched_sim_make_end(1, TASK, 1, NM_END_DONE);
                sched_sim_report(&sim, "a", 1, NULL, 0, &end, 1);
                reported = true;
            }
        }
        g_assert_cmpint(start_ms, >=, cases[c].start_ms_min);
        g_assert_cmpint(start_ms, <=, cases[c].start_ms_max);
        sched_sim_finish(&sim);
    }
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
        {"/sched/failure-counts-after-takeover",
         test_failure_counts_after_takeover},
        {"/sched/failure-counts-once", test_failure_counts_once},
        {"/sched/failed-task-waits-for-all-workers",
         test_failed_task_waits_for_all_workers},
        {"/sched/recovered-task-does-not-wait-for-restarted-workers",
         test_recovered_task_does_not_wait_for_restarted_workers},
        {"/sched/recovered-task-waits",
         test_recovered_task_waits_for_all_workers},
        {"/sched/lease-of-a-new-incarnation", test_lease_of_a_new_incarnation},
        {"/sched/limit-of-a-removed-queue", test_limit_of_a_removed_queue},
        {"/sched/ends-beyond-the-first-list-count",
         test_ends_beyond_the_first_list_count},
        {"/sched/run-missing-from-a-list-is-not-restarted",
         test_run_missing_from_a_list_is_not_restarted},
        {"/sched/unreadable-progress-starts-nothing",
         test_unreadable_progress_starts_nothing},
        {"/sched/leases-count-from-the-first-orders",
         test_leases_count_from_the_first_orders},
        {"/sched/behind-successor-waits-for-late-report",
         test_behind_successor_waits_for_late_report},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
