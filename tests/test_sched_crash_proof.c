/*
 * What proves a crash and what does not, and for how long a task waits for
 * workers that are silent.
 */
#include <string.h>

#include "lib_sched_crash.h"

/* The rules: the third start after three crashes is one too many. */
#define STARTS_MAX 5
#define CUT_MS 9000

static nm_sched_job_info_t
query_info(const crash_sim_t *crash)
{
    nm_sched_job_info_t info;
    g_assert_true(nm_sched_query_job_info(crash->sim.sched, JOB, &info));
    return info;
}

/* True if a crash was counted for a silence, since the last call. */
static bool
has_resolved_crash(crash_sim_t *crash)
{
    nm_sched_event_t event;
    bool resolved = false;
    while (nm_sched_next_event(crash->sim.sched, &event)) {
        resolved = resolved || event.type == NM_SCHED_EVENT_CRASH_RESOLVED;
    }
    return resolved;
}

/* Returns false if the task is not at work in time. */
static bool
wait_for_start(crash_sim_t *crash, nm_ms_t limit_ms)
{
    for (nm_ms_t t = 0; t < limit_ms && crash->running->len == 0;
         t += CRASH_SIM_STEP_MS)
    {
        crash_sim_run(crash, "", CRASH_SIM_STEP_MS);
    }
    return crash->running->len > 0;
}

static nm_sched_action_t
cut_worker(crash_sim_t *crash)
{
    nm_sched_action_t run =
        g_array_index(crash->running, nm_sched_action_t, 0);
    crash_sim_crash(crash, run.worker);
    return run;
}

/*
 * Two workers behind a proxy have one address.  One is cut off from the owner
 * and the store; the other, born later, was there all the time.
 */
static void
test_shared_address(void)
{
    for (int later = 0; later < 2; later++) {
        crash_sim_t crash;
        crash_sim_init(&crash, 1);
        for (char w = 'c'; w < 'a' + CRASH_SIM_WORKERS; w++) {
            crash_sim_crash(&crash, (char[]){w, '\0'});
        }
        crash.incarnations[later] = 2;
        for (char w = 'a'; w <= 'b'; w++) {
            sched_sim_announce_at(&crash.sim, (char[]){w, '\0'},
                                  crash.incarnations[w - 'a'], "proxy");
        }
        crash_sim_run(&crash, "", 300);
        sched_sim_add_job(&crash.sim, JOB, true, 1, 1000, false);
        g_assert_true(wait_for_start(&crash, CRASH_SIM_LAPSE_MS));
        cut_worker(&crash);
        crash_sim_run(&crash, "", CUT_MS);
        bool resolved = has_resolved_crash(&crash);
        g_test_message("later one %c: counted %d", 'a' + later, resolved);
        g_assert_false(resolved);
        crash_sim_finish(&crash);
    }
}

/*
 * Each worker is cut off right after the start; the lease lapses and the run
 * ends there.  Long after that the worker is restarted, for its own reasons.
 */
static void
test_restart_after_lapse(void)
{
    enum { CUTS = 3 };
    static const nm_ms_t restarts_ms[] = {11000, 13000, 15000, 30000};
    for (size_t r = 0; r < NM_COUNT_OF(restarts_ms); r++) {
        crash_sim_t crash;
        crash_sim_init(&crash, 1);
        crash.restart_ms = restarts_ms[r]; /* the lease: less than CUT_MS */
        sched_sim_add_job(&crash.sim, JOB, true, 1, 1000, false);
        for (int i = 0; i < CUTS; i++) {
            if (!wait_for_start(&crash, 4 * CRASH_SIM_LAPSE_MS)) {
                break;
            }
            cut_worker(&crash);
        }
        crash_sim_run(&crash, "", 6 * CRASH_SIM_LAPSE_MS);
        g_test_message("restart %d ms after the cut began: failure %s",
                       (int)restarts_ms[r],
                       nm_job_failure_name(query_info(&crash).failure));
        g_assert_cmpint(query_info(&crash).state, ==, NM_JOB_RUNNING);
        crash_sim_finish(&crash);
    }
}

/*
 * A worker is cut off from the owner only; it drains, leaves as planned, and
 * another one takes its address.
 */
static void
test_planned_shutdown_behind_cut(void)
{
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    sched_sim_add_job(&crash.sim, JOB, true, 1, 1000, false);
    g_assert_true(wait_for_start(&crash, CRASH_SIM_LAPSE_MS));
    nm_sched_action_t run = g_array_index(crash.running, nm_sched_action_t, 0);
    g_array_set_size(crash.running, 0);
    crash.silent[run.worker[0] - 'a'] = true;
    crash_sim_run(&crash, "", 1000);
    nm_sched_worker_t desc;
    g_assert_true(nm_sched_query_worker(crash.sim.sched, run.worker, &desc));
    desc.state = NM_WORKER_DRAINING;
    nm_sched_set_worker(crash.sim.sched, &desc, crash.sim.now_ms);
    crash_sim_run(&crash, "", 3500);
    nm_sched_deregister_worker(crash.sim.sched, run.worker);
    crash_sim_run(&crash, "", 2000);
    sched_sim_announce_at(&crash.sim, "z", 2, run.worker);
    crash_sim_run(&crash, "", CUT_MS);
    g_assert_false(has_resolved_crash(&crash));
    crash_sim_finish(&crash);
}

/* Deadly; workers are back soon or late, with the same owner or others. */
static void
test_late_restarts(void)
{
    static const nm_ms_t restarts_ms[] = {1000,  16000, 20000,  30000,
                                          45000, 60000, 100000, 130000};
    for (uint32_t n = 0; n < 6 * NM_COUNT_OF(restarts_ms); n++) {
        nm_ms_t replace_ms = n % 3 == 0 ? 0 : n % 3 == 1 ? 20000 : 50000;
        crash_sim_t crash;
        crash_sim_init(&crash, 1);
        crash.restart_ms = restarts_ms[n / 6];
        crash.new_ids = n % 6 >= 3;
        sched_sim_add_job(&crash.sim, JOB, false, 1, 1000, false);
        int64_t epoch = 1;
        nm_ms_t owned_ms = 0;
        nm_ms_t failed_ms = 0;
        for (nm_ms_t t = 0; t < 600000; t += CRASH_SIM_STEP_MS) {
            crash_sim_run(&crash, TASK, CRASH_SIM_STEP_MS);
            owned_ms += CRASH_SIM_STEP_MS;
            if (query_info(&crash).state == NM_JOB_FAILED) {
                failed_ms = t;
                break;
            }
            if (replace_ms > 0 && owned_ms >= replace_ms) {
                crash_sim_replace_owner(&crash, ++epoch);
                owned_ms = 0;
            }
        }
        g_test_message("back after %d ms, new ids %d, owner each %d ms: "
                       "%u starts, failed at %d ms",
                       (int)crash.restart_ms, crash.new_ids, (int)replace_ms,
                       crash.starts_of_deadly, (int)failed_ms);
        g_assert_cmpuint(crash.starts_of_deadly, <=, STARTS_MAX);
        crash_sim_finish(&crash);
    }
}

/* Crashed workers are lost for good; they stay silences. */
static void
test_starts_after_silences(void)
{
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    sched_sim_add_job(&crash.sim, JOB, false, 1, 1000, false);
    for (int i = 0; i < 6; i++) {
        crash_sim_run(&crash, TASK, 60000);
        g_test_message("after %d s: %u starts", (i + 1) * 60,
                       crash.starts_of_deadly);
    }
    g_assert_cmpuint(crash.starts_of_deadly, <=, STARTS_MAX);
    crash_sim_finish(&crash);
}

/*
 * The same with workers that are back after 3 s at their address, under
 * another id, each born earlier by its clock, which was set back.
 */
static void
test_clock_set_back(void)
{
    /* Ended jobs are retained for 150 s. */
    enum { BACK_MS = 3000, PLAY_MS = 120000 };
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    crash.new_ids = true;
    sched_sim_add_job(&crash.sim, JOB, false, 1, 1000, false);
    for (nm_ms_t t = 0; t < PLAY_MS; t += CRASH_SIM_STEP_MS) {
        crash_sim_run(&crash, TASK, CRASH_SIM_STEP_MS);
        bool due = false;
        for (int w = 0; w < CRASH_SIM_WORKERS; w++) {
            due = due || (crash.silent[w] &&
                          crash.sim.now_ms - crash.crashed_ms[w] >= BACK_MS);
        }
        for (int w = 0; due && w < CRASH_SIM_WORKERS; w++) {
            crash.incarnations[w] -= crash.silent[w] ? 2 : 0;
        }
        if (due) {
            crash_sim_restart(&crash);
        }
    }
    g_test_message("%u starts, state %d", crash.starts_of_deadly,
                   (int)query_info(&crash).state);
    g_assert_cmpuint(crash.starts_of_deadly, <=, STARTS_MAX);
    g_assert_cmpint(query_info(&crash).state, ==, NM_JOB_FAILED);
    crash_sim_finish(&crash);
}

/*
 * A suspect whose silent worker is heard of, and which is at work for a
 * minute, leaves nothing in the record that a next owner could count.
 */
static void
test_intent_of_survivor(void)
{
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    sched_sim_add_job(&crash.sim, JOB, true, 1, 1000, false);
    g_assert_true(wait_for_start(&crash, CRASH_SIM_LAPSE_MS));
    nm_sched_action_t run = cut_worker(&crash);
    g_assert_true(wait_for_start(&crash, CRASH_SIM_LAPSE_MS));
    char id[] = {run.worker[0], '\0'};
    nm_worker_end_t end =
        sched_sim_make_end(1, run.task, run.run, NM_END_LAPSED);
    crash.silent[id[0] - 'a'] = false;
    sched_sim_announce(&crash.sim, id, 1);
    sched_sim_report(&crash.sim, id, 1, NULL, 0, &end, 1);
    crash_sim_run(&crash, "", 60000);
    g_assert_cmpuint(crash.running->len, ==, 1);
    g_test_message("%s", crash.record);
    g_assert_nonnull(strstr(crash.record, "\"silences\":[]"));
    /* Its worker is replaced as planned while there is no owner. */
    int w = g_array_index(crash.running, nm_sched_action_t, 0).worker[0] - 'a';
    g_array_set_size(crash.running, 0);
    crash.incarnations[w]++;
    crash_sim_replace_owner(&crash, 2);
    crash_sim_run(&crash, "", CRASH_SIM_LAPSE_MS);
    g_assert_false(has_resolved_crash(&crash));
    crash_sim_finish(&crash);
}

/* The log line of a crash or silence tells which worker it was. */
static void
test_events_name_worker(void)
{
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    crash.restart_ms = 3000;
    crash.new_ids = true;
    sched_sim_add_job(&crash.sim, JOB, false, 1, 1000, false);
    crash_sim_run(&crash, TASK, 9 * CRASH_SIM_LAPSE_MS);
    nm_sched_event_t event;
    int count = 0;
    while (nm_sched_next_event(crash.sim.sched, &event)) {
        if (event.type == NM_SCHED_EVENT_CRASH_RESOLVED) {
            count++;
            g_test_message("task %s run %d worker '%s'", event.task,
                           (int)event.run, event.worker);
            g_assert_cmpstr(event.worker, !=, "");
        }
    }
    g_assert_cmpint(count, >, 0);
    crash_sim_finish(&crash);
}

/*
 * A record of an earlier version, whose four crashes were absences: the next
 * owner fails the job at once, with no crash since.
 */
static void
test_counts_of_earlier_version(void)
{
    static const char record[] =
        "{\"version\":1,\"state\":\"running\",\"done\":[[\".\"]],"
        "\"attempts_max\":2,\"failures\":[],\"failure_counts\":[],"
        "\"crashes\":[[0,0,0,4,0]],\"silences\":[]}";
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    crash.record = g_strdup(record);
    crash_sim_replace_owner(&crash, 2);
    crash_sim_run(&crash, "", 3 * CRASH_SIM_LAPSE_MS);
    g_assert_cmpint(query_info(&crash).state, ==, NM_JOB_RUNNING);
    crash_sim_finish(&crash);
}

/*
 * Returns for how long the task was idle after so many workers were lost.
 * Intervals between watch gaps, and between elections; 0: none.
 */
static nm_ms_t
idle_after_losses(uint32_t losses, nm_ms_t gap_interval_ms,
                  nm_ms_t election_interval_ms)
{
    enum { LIMIT_MS = 600000 };
    int64_t epoch = 1;
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    sched_sim_add_job(&crash.sim, JOB, true, 1, 1000, false);
    for (uint32_t i = 0; i < losses; i++) {
        g_assert_true(wait_for_start(&crash, 4 * CRASH_SIM_LAPSE_MS));
        cut_worker(&crash);
    }
    nm_ms_t idle_ms = 0; /* the clock of the sim begins anew at elections */
    while (crash.running->len == 0 && idle_ms < LIMIT_MS) {
        if (gap_interval_ms > 0 && idle_ms > 0 &&
            idle_ms % gap_interval_ms == 0) {
            nm_sched_on_watch_gap(crash.sim.sched, crash.sim.now_ms);
        }
        if (election_interval_ms > 0 && idle_ms > 0 &&
            idle_ms % election_interval_ms == 0)
        {
            crash_sim_replace_owner(&crash, ++epoch);
        }
        nm_ms_t before_ms = crash.sim.now_ms;
        crash_sim_run(&crash, "", CRASH_SIM_STEP_MS);
        idle_ms += crash.sim.now_ms - before_ms;
    }
    crash_sim_finish(&crash);
    return idle_ms;
}

/* An innocent task that lasts; workers are lost for good in its first second.
 */
static void
test_idle_after_losses(void)
{
    for (uint32_t losses = 1; losses <= 5; losses++) {
        g_test_message("%u lost: idle for %d ms", losses,
                       (int)idle_after_losses(losses, 0, 0));
    }
    nm_ms_t idle_ms = idle_after_losses(3, 10000, 0);
    g_test_message("3 lost, watch gap each 10 s: %d ms", (int)idle_ms);
    g_assert_cmpint(idle_ms, <, 60000);
}

/*
 * The same with elections in series, each after the leases of former owners
 * have lapsed: the wait for workers that may be back must not begin anew.
 */
static void
test_idle_after_losses_and_elections(void)
{
    for (uint32_t losses = 1; losses <= 3; losses++) {
        nm_ms_t idle_ms = idle_after_losses(losses, 0, 9000);
        g_test_message("%u lost, election each 9 s: %d ms", losses,
                       (int)idle_ms);
        g_assert_cmpint(idle_ms, <, 60000);
    }
}

/* Real time of a round, with so many tasks that wait for silent workers. */
static double
measure_round_ms(uint32_t workers, uint32_t jobs, uint32_t silences)
{
    enum { ROUNDS = 10 };
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    char id[NM_NAME_MAX];
    for (uint32_t j = 0; j < jobs; j++) {
        g_snprintf(id, sizeof(id), "%016x", j + 1);
        sched_sim_add_job(&sim, id, true, 1, 1000, true);
        GString *rows = g_string_new(NULL);
        for (uint32_t s = 0; s < silences; s++) {
            g_string_append_printf(rows, "%s[0,0,0,%u,1,false,%u]",
                                   s > 0 ? "," : "", 7 + s + 10 * j,
                                   8 + s + 10 * j);
        }
        char *record = g_strdup_printf(
            "{\"version\":1,\"state\":\"running\",\"done\":[[\".\"]],"
            "\"attempts_max\":2,\"failures\":[],\"failure_counts\":[],"
            "\"crashes\":[],\"silences\":[%s]}",
            rows->str);
        g_assert_cmpint(
            nm_sched_restore(sim.sched, id, record, (uint32_t)strlen(record)),
            ==, NM_OK);
        g_free(record);
        g_string_free(rows, TRUE);
    }
    for (uint32_t w = 0; w < workers; w++) {
        g_snprintf(id, sizeof(id), "w%u", w);
        sched_sim_announce(&sim, id, 1);
    }
    sched_sim_advance(&sim, 10);
    for (uint32_t w = 0; w < workers; w++) {
        g_snprintf(id, sizeof(id), "w%u", w);
        sched_sim_report(&sim, id, 1, NULL, 0, NULL, 0);
    }
    sched_sim_advance(&sim, 300);
    sched_sim_advance(&sim, 300);
    double best_ms = 1e9;
    for (int i = 0; i < ROUNDS; i++) {
        gint64 begin_us = g_get_monotonic_time();
        sched_sim_advance(&sim, 300);
        best_ms =
            MIN(best_ms, (double)(g_get_monotonic_time() - begin_us) / 1000);
    }
    sched_sim_finish(&sim);
    return best_ms;
}

static void
test_cost_of_silences(void)
{
    g_test_message("27000 workers: no jobs %.2f ms a round",
                   measure_round_ms(27000, 0, 0));
    g_test_message("10 tasks of 3 silences: %.2f ms",
                   measure_round_ms(27000, 10, 3));
    double round_ms = measure_round_ms(27000, 100, 3);
    g_test_message("100 tasks of 3 silences: %.2f ms", round_ms);
    g_test_message("100 tasks of 5 silences: %.2f ms",
                   measure_round_ms(27000, 100, 5));
    g_assert_cmpfloat(round_ms, <, 20); /* PLACEMENT_INTERVAL_MS */
}

/* What becomes of workers on which the task has just started. */
typedef enum {
    FATE_GONE,        /* they crash, and no machine has them any more */
    FATE_CUT_OFF,     /* silent, without an entry, but on their machines */
    FATE_DRAINED,     /* silent, seen draining, then gone as planned */
    FATE_RECONNECTED, /* silent, heard of after the list was requested */
} fate_t;

typedef struct {
    const char *name;
    fate_t fate;
    nm_ms_t replace_ms; /* the owner is replaced each time; 0: it stays */
    bool fails;         /* the job, once the list shows the crashes */
    uint32_t starts_min;
    nm_ms_t list_from_ms; /* the list is not available before */
} silences_case_t;

static const silences_case_t silences_cases[] = {
    {"/sched/silences/gone", FATE_GONE, 0, true, 3, 0},
    {"/sched/silences/gone-and-owners-replaced", FATE_GONE, 20000, true, 3, 0},
    {"/sched/silences/gone-and-listed-late", FATE_GONE, 0, true, 5, 100000},
    {"/sched/silences/gone-and-listed-to-next-owner", FATE_GONE, 60000, true,
     4, 100000},
    {"/sched/silences/cut-off", FATE_CUT_OFF, 0, false, 3, 0},
    {"/sched/silences/cut-off-and-owners-replaced", FATE_CUT_OFF, 20000, false,
     3, 0},
    {"/sched/silences/drained", FATE_DRAINED, 0, false, 6, 0},
    {"/sched/silences/reconnected", FATE_RECONNECTED, 0, false, 6, 0},
};

/* Between listings, and from one's request to its response. */
#define LISTING_INTERVAL_MS 1000
#define LISTING_MS 500
/* Younger silences are not asked for. */
#define SILENCE_KNOWN_MIN_MS 1000

static void
add_silence(void *user, const nm_sched_silence_t *silence)
{
    GArray *asked = user;
    g_array_append_val(asked, *silence);
}

/* Delivers what a list that was requested at a time shows. */
static void
apply_list(crash_sim_t *crash, const silences_case_t *test, GArray *asked,
           nm_ms_t sent_ms)
{
    for (guint i = 0; i < asked->len; i++) {
        nm_sched_silence_t silence =
            g_array_index(asked, nm_sched_silence_t, i);
        bool listed = test->fate == FATE_CUT_OFF;
        if (!listed && sent_ms - silence.known_ms >= SILENCE_KNOWN_MIN_MS) {
            nm_sched_on_silent_worker_ended(
                crash->sim.sched, silence.worker_hash, silence.incarnation,
                sent_ms, crash->sim.now_ms);
        }
    }
}

static void
strike(crash_sim_t *crash, fate_t fate, const char *worker)
{
    if (fate == FATE_DRAINED) {
        nm_sched_worker_t desc;
        crash->silent[worker[0] - 'a'] = true;
        crash_sim_run(crash, "", 1000);
        g_assert_true(nm_sched_query_worker(crash->sim.sched, worker, &desc));
        desc.state = NM_WORKER_DRAINING;
        nm_sched_set_worker(crash->sim.sched, &desc, crash->sim.now_ms);
        crash_sim_run(crash, "", 3000);
    }
    crash_sim_crash(crash, worker);
}

static void
test_silences(gconstpointer data)
{
    enum { PLAY_MS = 150000 };
    const silences_case_t *test = data;
    crash_sim_t crash;
    crash_sim_init(&crash, 1);
    sched_sim_add_job(&crash.sim, JOB, false, 1, 1000, false);
    int64_t epoch = 1;
    uint32_t starts = 0;
    nm_ms_t failed_ms = 0;
    for (nm_ms_t t = 0; t < PLAY_MS && failed_ms == 0;
         t += LISTING_INTERVAL_MS) {
        if (test->replace_ms > 0 && t > 0 && t % test->replace_ms == 0) {
            crash_sim_replace_owner(&crash, ++epoch);
        }
        if (crash.running->len > 0) {
            nm_sched_action_t run =
                g_array_index(crash.running, nm_sched_action_t, 0);
            starts++;
            strike(&crash, test->fate, run.worker);
        }
        GArray *asked = g_array_new(FALSE, TRUE, sizeof(nm_sched_silence_t));
        nm_ms_t sent_ms = crash.sim.now_ms;
        nm_sched_visit_silences(crash.sim.sched, sent_ms, add_silence, asked);
        if (test->fate == FATE_RECONNECTED && asked->len > 0) {
            crash_sim_reconnect(&crash);
        }
        for (nm_ms_t m = 0; m < LISTING_MS && crash.running->len == 0;
             m += CRASH_SIM_STEP_MS)
        {
            crash_sim_run(&crash, "", CRASH_SIM_STEP_MS);
        }
        if (t >= test->list_from_ms) {
            apply_list(&crash, test, asked, sent_ms);
        }
        g_array_free(asked, TRUE);
        for (nm_ms_t m = LISTING_MS;
             m < LISTING_INTERVAL_MS && crash.running->len == 0;
             m += CRASH_SIM_STEP_MS)
        {
            crash_sim_run(&crash, "", CRASH_SIM_STEP_MS);
        }
        failed_ms = query_info(&crash).state == NM_JOB_FAILED ? t : 0;
    }
    g_test_message("%u starts, failed at %d ms", starts, (int)failed_ms);
    g_assert_cmpint(query_info(&crash).state, ==,
                    test->fails ? NM_JOB_FAILED : NM_JOB_RUNNING);
    g_assert_cmpuint(starts, >=, test->starts_min);
    if (test->fate == FATE_GONE || test->fate == FATE_CUT_OFF) {
        g_assert_cmpuint(starts, <=, STARTS_MAX);
    }
    crash_sim_finish(&crash);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/shared-address-proves-nothing",
                    test_shared_address);
    g_test_add_func("/sched/restart-after-lapse-is-not-counted",
                    test_restart_after_lapse);
    g_test_add_func("/sched/planned-shutdown-behind-cut-is-no-crash",
                    test_planned_shutdown_behind_cut);
    g_test_add_func("/sched/deadly-starts-are-bounded-late-restarts",
                    test_late_restarts);
    g_test_add_func("/sched/deadly-starts-are-bounded-after-silences",
                    test_starts_after_silences);
    g_test_add_func("/sched/deadly-starts-are-bounded-clock-set-back",
                    test_clock_set_back);
    g_test_add_func("/sched/survivor-leaves-no-intent",
                    test_intent_of_survivor);
    g_test_add_func("/sched/counts-of-earlier-version-fail-no-job",
                    test_counts_of_earlier_version);
    g_test_add_func("/sched/losses-hold-no-task-for-ever",
                    test_idle_after_losses);
    g_test_add_func("/sched/losses-hold-no-task-through-elections",
                    test_idle_after_losses_and_elections);
    g_test_add_func("/sched/crash-events-name-the-worker",
                    test_events_name_worker);
    g_test_add_func("/sched/cost-of-silences-at-27000-workers",
                    test_cost_of_silences);
    for (size_t i = 0; i < NM_COUNT_OF(silences_cases); i++) {
        g_test_add_data_func(silences_cases[i].name, &silences_cases[i],
                             test_silences);
    }
    return g_test_run();
}
