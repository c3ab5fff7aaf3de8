/*
 * Ends of workers' incarnations that the list of machines shows: what starts
 * again at once, and what still waits for the lease to lapse.
 */
#include <string.h>

#include "lib_sched_crash.h"

/* An unreachable worker has not responded for this long. */
#define SILENT_MS 1500
/* Between polls that get no response. */
#define POLL_INTERVAL_MS 100
/* Long enough for a round, shorter than any lease. */
#define AT_ONCE_MS 500

/* Returns the start of a task on another worker within a time, or NULL. */
static const nm_sched_action_t *
find_restart(sched_sim_t *sim, const char *worker, nm_ms_t duration_ms)
{
    for (nm_ms_t t = 0; t < duration_ms; t += 10) {
        sched_sim_advance(sim, 10);
        sched_sim_save_all(sim);
        const nm_sched_action_t *start =
            sched_sim_find_action(sim, NM_ACTION_START, NULL);
        if (start && strcmp(start->worker, worker) != 0) {
            return start;
        }
        if (t % POLL_INTERVAL_MS == 0) {
            sched_sim_lose_poll(sim, worker);
        }
    }
    return NULL;
}

static void
lose_polls(sched_sim_t *sim, const char *worker, nm_ms_t duration_ms)
{
    find_restart(sim, worker, duration_ms);
}

typedef enum {
    START_CONFIRMED,
    START_UNANSWERED,      /* its order is open */
    START_LOST,            /* its order got no response */
    START_LOST_AND_LISTED, /* the same, and a report lists the run */
    START_RESENT,          /* the same, begun by a second order */
} start_t;

/*
 * An unanswered start may reach a later incarnation under the same id, unless
 * it is the only one of its run, and a report has shown that.
 */
static void
test_only_known_runs_start_again(void)
{
    static const struct {
        const char *name;
        start_t start;
        int64_t incarnation;    /* that has ended; the worker's is 1 */
        nm_ms_t listing_age_ms; /* of the listing */
        bool applies;
        bool restarts;
    } cases[] = {
        {"at work", START_CONFIRMED, 1, 100, true, true},
        {"unanswered start", START_UNANSWERED, 1, 100, true, false},
        {"lost start", START_LOST, 1, 100, true, false},
        {"lost start, listed", START_LOST_AND_LISTED, 1, 100, true, true},
        {"resent start, listed", START_RESENT, 1, 100, true, false},
        {"another incarnation", START_CONFIRMED, 2, 100, false, false},
        {"listing before its last response", START_CONFIRMED, 1, 2 * SILENT_MS,
         false, false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        sched_sim_add_worker(&sim, "a");
        bool resent = cases[i].start == START_RESENT;
        sched_sim_add_job(&sim, JOB, resent, 1, 1000, false);
        sched_sim_advance(&sim, 30);
        const nm_sched_action_t *sent =
            sched_sim_find_action(&sim, NM_ACTION_START, "a");
        g_assert_nonnull(sent);
        nm_sched_action_t start = *sent;
        if (cases[i].start == START_CONFIRMED) {
            sched_sim_confirm_starts(&sim);
        }
        else if (cases[i].start != START_UNANSWERED) {
            nm_sched_on_start(sim.sched, &start, NM_ORDER_UNKNOWN, sim.now_ms);
        }
        if (resent) {
            sched_sim_advance(&sim, 30);
            g_assert_cmpint(sched_sim_confirm_starts(&sim).run, ==, start.run);
        }
        if (cases[i].start == START_LOST_AND_LISTED || resent) {
            nm_worker_run_t run = sched_sim_make_run(TASK, start.run);
            sched_sim_report(&sim, "a", 1, &run, 1, NULL, 0);
        }
        sched_sim_add_worker(&sim, "b");
        lose_polls(&sim, "a", SILENT_MS);
        bool applied = nm_sched_on_worker_ended(
            sim.sched, "a", cases[i].incarnation,
            sim.now_ms - cases[i].listing_age_ms, sim.now_ms);
        g_assert_cmpint(applied, ==, cases[i].applies);
        g_assert_cmpint(find_restart(&sim, "a", AT_ONCE_MS) != NULL, ==,
                        cases[i].restarts);
        sched_sim_finish(&sim);
    }
}

/* What waits starts again once the lease has lapsed. */
static void
test_unanswered_start_waits_for_the_lapse(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_on_start(sim.sched,
                      sched_sim_find_action(&sim, NM_ACTION_START, "a"),
                      NM_ORDER_UNKNOWN, sim.now_ms);
    sched_sim_add_worker(&sim, "b");
    lose_polls(&sim, "a", SILENT_MS);
    g_assert_true(nm_sched_on_worker_ended(sim.sched, "a", 1, sim.now_ms - 100,
                                           sim.now_ms));
    g_assert_null(find_restart(&sim, "a", 3000));
    g_assert_nonnull(find_restart(&sim, "a", CRASH_SIM_LAPSE_MS));
    sched_sim_finish(&sim);
}

/* A worker that has not responded to this owner may hold a former one's. */
static void
test_unknown_runs_wait_for_the_lapse(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    sched_sim_announce(&sim, "a", 1);
    lose_polls(&sim, "a", SILENT_MS);
    g_assert_false(nm_sched_on_worker_ended(sim.sched, "a", 1,
                                            sim.now_ms - 100, sim.now_ms));
    g_assert_false(nm_sched_on_worker_ended(sim.sched, "unknown", 1,
                                            sim.now_ms - 100, sim.now_ms));
    sched_sim_finish(&sim);
}

static void
find_silent(void *user, const nm_sched_contact_t *contact)
{
    GString *found = user;
    if (contact->waits) {
        g_string_append(found, contact->id);
    }
}

/* The task waits for the silent worker only while its run is attached. */
static void
test_contacts(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    sched_sim_add_worker(&sim, "b");
    GString *found = g_string_new(NULL);
    nm_sched_visit_contacts(sim.sched, find_silent, found);
    g_assert_cmpstr(found->str, ==, "");
    lose_polls(&sim, "a", SILENT_MS);
    nm_sched_visit_contacts(sim.sched, find_silent, found);
    g_assert_cmpstr(found->str, ==, "a");
    g_string_truncate(found, 0);
    nm_sched_on_worker_ended(sim.sched, "a", 1, sim.now_ms - 100, sim.now_ms);
    nm_sched_visit_contacts(sim.sched, find_silent, found);
    g_assert_cmpstr(found->str, ==, "");
    g_string_free(found, TRUE);
    sched_sim_finish(&sim);
}

static uint32_t
count_crashes(crash_sim_t *crash, nm_crash_evidence_t evidence)
{
    uint32_t count = 0;
    nm_sched_event_t event;
    while (nm_sched_next_event(crash->sim.sched, &event)) {
        bool crashed = event.type == NM_SCHED_EVENT_RUN_LOST ||
                       event.type == NM_SCHED_EVENT_CRASH_RESOLVED;
        count += crashed && event.evidence == evidence;
    }
    return count;
}

/* The end is a crash, once, also if the worker starts again later. */
static void
test_end_counts_as_one_crash(void)
{
    static const bool new_ids[] = {false, true};
    for (size_t i = 0; i < NM_COUNT_OF(new_ids); i++) {
        crash_sim_t crash;
        crash_sim_init(&crash, 1);
        crash.new_ids = new_ids[i];
        sched_sim_add_job(&crash.sim, JOB, true, 1, 1000, false);
        crash_sim_run(&crash, "", CRASH_SIM_STEP_MS);
        g_assert_cmpuint(crash.running->len, ==, 1);
        nm_sched_action_t run =
            g_array_index(crash.running, nm_sched_action_t, 0);
        crash_sim_crash(&crash, run.worker);
        crash_sim_run(&crash, "", SILENT_MS);
        g_assert_true(nm_sched_on_worker_ended(
            crash.sim.sched, run.worker, 1,
            crash.sim.now_ms - CRASH_SIM_STEP_MS, crash.sim.now_ms));
        g_assert_cmpuint(count_crashes(&crash, NM_CRASH_EVIDENCE_MACHINES), ==,
                         1);
        crash_sim_restart(&crash);
        crash_sim_run(&crash, "", CRASH_SIM_LAPSE_MS);
        g_assert_cmpuint(count_crashes(&crash, NM_CRASH_EVIDENCE_INCARNATION),
                         ==, 0);
        g_assert_cmpuint(count_crashes(&crash, NM_CRASH_EVIDENCE_ADDRESS), ==,
                         0);
        crash_sim_finish(&crash);
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
        {"/sched-ended/only-known-runs-start-again",
         test_only_known_runs_start_again},
        {"/sched-ended/unanswered-start-waits-for-the-lapse",
         test_unanswered_start_waits_for_the_lapse},
        {"/sched-ended/unknown-runs-wait-for-the-lapse",
         test_unknown_runs_wait_for_the_lapse},
        {"/sched-ended/contacts", test_contacts},
        {"/sched-ended/end-counts-as-one-crash", test_end_counts_as_one_crash},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
