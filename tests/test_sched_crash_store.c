/*
 * Workers that crash while the store is unavailable, so that their entries
 * stay and no record is stored: starts of a deadly task are bounded
 * nevertheless, and other tasks run on.
 */
#include <string.h>

#include "lib_sched_sim.h"

/* The rules: the third start after three crashes is one too many. */
#define STARTS_MAX 5
#define WORKERS 24
#define TICK_MS 50
#define PLAY_MS 600000
/* Shorter than jobs are retained after their end. */
#define AFTER_MS 20000
/* After a crash, or after the store is back. */
#define EXPIRY_MS 2400
/* Outage of the store that begins with a start. */
#define START_OUTAGE_MS 3000
/* Crashed workers that are back, are so after this time. */
#define RESTART_MS 5000
/* In this time no silent worker is taken for lost. */
#define GONE_PLAY_MS 100000

typedef struct {
    sched_sim_t sim;
    nm_ms_t crashed_ms[WORKERS]; /* 0: up */
    int64_t incarnations[WORKERS];
    bool gone;             /* crashed workers are not back */
    bool cut_off[WORKERS]; /* up, but does not respond */
    nm_ms_t store_down_from_ms;
    nm_ms_t store_down_until_ms;
    nm_ms_t entries_age_ms;  /* entries are known so late */
    nm_sched_action_t start; /* newest one; the task is there */
    bool at_work;
    bool store_fails_at_start;
    bool unanswered; /* starts get no response */
    uint32_t starts;
    char *record; /* newest one that is stored, or NULL */
} store_sim_t;

static const char *
worker_id(int worker)
{
    static char id[2];
    id[0] = (char)('a' + worker);
    return id;
}

static void
store_sim_init(store_sim_t *store)
{
    *store = (store_sim_t){0};
    sched_sim_init(&store->sim, 1);
    for (int w = 0; w < WORKERS; w++) {
        store->incarnations[w] = 1;
        sched_sim_add_worker(&store->sim, worker_id(w));
    }
    sched_sim_add_job(&store->sim, JOB, false, 1, 1000, false);
}

static void
store_sim_finish(store_sim_t *store)
{
    g_free(store->record);
    sched_sim_finish(&store->sim);
}

static bool
store_is_down(const store_sim_t *store)
{
    return store->sim.now_ms >= store->store_down_from_ms &&
           store->sim.now_ms < store->store_down_until_ms;
}

static void
fail_store(store_sim_t *store, nm_ms_t duration_ms)
{
    store->store_down_from_ms = store->sim.now_ms;
    store->store_down_until_ms = store->sim.now_ms + duration_ms;
}

static void
save_records(store_sim_t *store)
{
    nm_sched_save_t save;
    bool stored = !store_is_down(store);
    for (int i = 0; i < 8 && nm_sched_next_save(store->sim.sched, &save); i++)
    {
        nm_sched_confirm_save(store->sim.sched, &save, stored);
        if (stored) {
            g_free(store->record);
            store->record = save.record;
        }
        else {
            g_free(save.record);
        }
    }
}

/* A worker registers when it is back and reaches the store. */
static void
restart_worker(store_sim_t *store, int worker)
{
    store->crashed_ms[worker] = 0;
    sched_sim_announce(&store->sim, worker_id(worker),
                       ++store->incarnations[worker]);
}

static void
report_workers(store_sim_t *store)
{
    for (int w = 0; w < WORKERS; w++) {
        if (store->crashed_ms[w] > 0 && !store->gone &&
            !store_is_down(store) &&
            store->sim.now_ms - store->crashed_ms[w] >=
                RESTART_MS + store->entries_age_ms)
        {
            restart_worker(store, w);
        }
        nm_ms_t gone_ms =
            MAX(store->crashed_ms[w], store->store_down_until_ms) + EXPIRY_MS +
            store->entries_age_ms;
        if (store->crashed_ms[w] > 0 && !store_is_down(store) &&
            store->sim.now_ms >= gone_ms)
        {
            nm_sched_deregister_worker(store->sim.sched, worker_id(w));
        }
        if (store->crashed_ms[w] > 0 || store->cut_off[w]) {
            sched_sim_lose_poll(&store->sim, worker_id(w));
            continue;
        }
        nm_worker_run_t row =
            sched_sim_make_run(store->start.task, store->start.run);
        bool listed =
            store->at_work && strcmp(store->start.worker, worker_id(w)) == 0;
        sched_sim_report(&store->sim, worker_id(w), store->incarnations[w],
                         &row, listed, NULL, 0);
    }
}

/* Lets time pass; true if the task has been started on a worker. */
static bool
store_sim_tick(store_sim_t *store, bool deadly)
{
    bool started = false;
    if (store_is_down(store)) {
        nm_sched_on_watch_gap(store->sim.sched, store->sim.now_ms);
    }
    nm_sched_set_entries_age(store->sim.sched, store->entries_age_ms);
    sched_sim_advance(&store->sim, TICK_MS);
    for (guint i = 0; i < store->sim.actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(store->sim.actions, nm_sched_action_t, i);
        int w = action->worker[0] - 'a';
        bool responds = store->crashed_ms[w] == 0 && !store->cut_off[w];
        nm_order_result_t result = responds ? NM_ORDER_DONE : NM_ORDER_UNKNOWN;
        if (action->type == NM_ACTION_STOP) {
            nm_sched_on_stop(store->sim.sched, action, result,
                             store->sim.now_ms);
        }
        if (action->type == NM_ACTION_START) {
            nm_sched_on_start(store->sim.sched, action,
                              store->unanswered ? NM_ORDER_UNKNOWN : result,
                              store->sim.now_ms);
            store->start = *action;
            store->at_work = responds && !deadly;
            store->starts += responds;
            started = started || responds;
            if (responds && store->store_fails_at_start) {
                fail_store(store, START_OUTAGE_MS);
            }
            store->crashed_ms[w] =
                responds && deadly ? store->sim.now_ms : store->crashed_ms[w];
        }
    }
    report_workers(store);
    save_records(store);
    return started;
}

static bool
job_has_failed(const store_sim_t *store)
{
    return nm_sched_query_job(store->sim.sched, JOB) == NM_JOB_FAILED;
}

static nm_ms_t
play_ms(const store_sim_t *store)
{
    return store->gone ? GONE_PLAY_MS : PLAY_MS;
}

/*
 * The job has failed in time, and its task does not start any more.  Workers
 * that are gone prove nothing: it fails once they are back.
 */
static void
check_bounded(store_sim_t *store)
{
    if (store->gone) {
        g_assert_false(job_has_failed(store));
        g_assert_cmpuint(store->starts, <=, STARTS_MAX);
        store->gone = false;
        store->store_down_until_ms = store->sim.now_ms;
        for (nm_ms_t t = 0; t < 2 * AFTER_MS; t += TICK_MS) {
            store_sim_tick(store, true);
        }
    }
    g_assert_true(job_has_failed(store));
    for (nm_ms_t t = 0; t < AFTER_MS; t += TICK_MS) {
        store_sim_tick(store, true);
    }
    g_assert_cmpuint(store->starts, >=, 2);
    g_assert_cmpuint(store->starts, <=, STARTS_MAX);
}

/* The next owner knows what is stored, and each worker that was up. */
static void
replace_owner(store_sim_t *store, int64_t epoch)
{
    sched_sim_finish(&store->sim);
    sched_sim_init(&store->sim, epoch);
    sched_sim_add_job(&store->sim, JOB, false, 1, 1000, true);
    if (store->record) {
        g_assert_cmpint(nm_sched_restore(store->sim.sched, JOB, store->record,
                                         (uint32_t)strlen(store->record)),
                        ==, NM_OK);
    }
    store->store_down_from_ms = 0;
    store->store_down_until_ms = 0;
    for (int w = 0; w < WORKERS; w++) {
        nm_sched_expect_worker(store->sim.sched, worker_id(w),
                               store->sim.now_ms);
        if (store->crashed_ms[w] == 0) {
            sched_sim_announce(&store->sim, worker_id(w),
                               store->incarnations[w]);
        }
        else {
            store->crashed_ms[w] = store->sim.now_ms;
        }
    }
}

/* The store fails soon after each start, or each start but the first. */
static void
test_starts_are_bounded_in_outages(void)
{
    static const nm_ms_t outages_ms[] = {5000, 8000, 15000, 60000};
    for (size_t o = 0; o < NM_COUNT_OF(outages_ms); o++) {
        for (uint32_t n = 0; n < 6; n++) {
            uint32_t first = 1 + n / 2;
            store_sim_t store;
            store_sim_init(&store);
            store.gone = n % 2 == 0;
            while (store.sim.now_ms < play_ms(&store) &&
                   !job_has_failed(&store)) {
                if (store_sim_tick(&store, true) && store.starts >= first) {
                    fail_store(&store, outages_ms[o]);
                }
            }
            g_test_message("outages of %d ms from start %u, gone %d: %u "
                           "starts",
                           (int)outages_ms[o], first, store.gone,
                           store.starts);
            check_bounded(&store);
            store_sim_finish(&store);
        }
    }
}

/* Each owner but the first is replaced after a crash that it cannot store. */
static void
check_owners_replaced_in_outages(bool gone)
{
    enum { FIRST_MS = 2000, OUTAGE_MS = 3000 };
    store_sim_t store;
    store_sim_init(&store);
    store.gone = gone;
    int64_t epoch = 1;
    while (store.starts == 0) {
        store_sim_tick(&store, true);
    }
    for (nm_ms_t t = 0; t < FIRST_MS; t += TICK_MS) {
        store_sim_tick(&store, true);
    }
    for (nm_ms_t t = 0; t < play_ms(&store) && !job_has_failed(&store);
         t += TICK_MS)
    {
        if (!store_sim_tick(&store, true)) {
            continue;
        }
        fail_store(&store, OUTAGE_MS);
        for (nm_ms_t d = TICK_MS; d < OUTAGE_MS; d += TICK_MS) {
            store_sim_tick(&store, true);
        }
        replace_owner(&store, ++epoch);
    }
    g_test_message("%u starts, %d owners", store.starts, (int)epoch);
    check_bounded(&store);
    store_sim_finish(&store);
}

static void
test_starts_are_bounded_with_owners_replaced_in_outages(void)
{
    check_owners_replaced_in_outages(false);
    check_owners_replaced_in_outages(true);
}

/*
 * Each worker is back at once, and the store stores nothing, which is not
 * noticed yet: no more than one start of a suspect may be ahead of the record.
 */
static void
test_one_start_is_ahead_of_record(void)
{
    enum { WATCHED_MS = 900 };
    int64_t incarnations[WORKERS];
    store_sim_t store;
    store_sim_init(&store);
    for (int w = 0; w < WORKERS; w++) {
        incarnations[w] = 1;
    }
    for (nm_ms_t t = 0; t < WATCHED_MS; t += TICK_MS) {
        sched_sim_advance(&store.sim, TICK_MS);
        const nm_sched_action_t *start =
            sched_sim_find_action(&store.sim, NM_ACTION_START, NULL);
        if (start) {
            int w = start->worker[0] - 'a';
            store.starts++;
            nm_sched_on_start(store.sim.sched, start, NM_ORDER_DONE,
                              store.sim.now_ms);
            sched_sim_announce(&store.sim, worker_id(w), ++incarnations[w]);
        }
        for (int w = 0; w < WORKERS; w++) {
            sched_sim_report(&store.sim, worker_id(w), incarnations[w], NULL,
                             0, NULL, 0);
        }
    }
    g_assert_cmpuint(store.starts, ==, 2);
    store_sim_finish(&store);
}

/*
 * The store fails with one of the starts, which nothing is known of for sure,
 * and the owner is replaced when the store is back.
 */
static void
test_starts_are_bounded_with_owner_replaced_once(void)
{
    for (uint32_t n = 0; n < 2 * STARTS_MAX; n++) {
        uint32_t lost = 1 + n / 2;
        store_sim_t store;
        store_sim_init(&store);
        store.unanswered = true;
        store.gone = n % 2 == 0;
        bool replaced = false;
        nm_ms_t begin_ms = store.sim.now_ms;
        while (store.sim.now_ms - begin_ms < play_ms(&store) &&
               !job_has_failed(&store))
        {
            uint32_t starts = store.starts;
            bool fails = !replaced && starts + 1 == lost;
            store.store_fails_at_start = fails;
            store_sim_tick(&store, true);
            if (!fails || store.starts == starts) {
                continue;
            }
            for (nm_ms_t d = TICK_MS; d < START_OUTAGE_MS; d += TICK_MS) {
                store_sim_tick(&store, true);
            }
            replace_owner(&store, 2);
            begin_ms = store.sim.now_ms;
            replaced = true;
        }
        g_test_message("start %u is lost, gone %d: %u starts", lost,
                       store.gone, store.starts);
        check_bounded(&store);
        store_sim_finish(&store);
    }
}

/*
 * The store fails with a start under each of two owners, which are replaced
 * when it is back: a next owner knows of all starts but one.
 */
static void
test_starts_are_bounded_with_owners_replaced_twice(void)
{
    enum { OWNERS = 3 };
    /* The starts that the first and the second owner cannot store. */
    static const uint32_t lost[][OWNERS - 1] = {
        {1, 3}, {1, 4}, {2, 3}, {2, 4}, {2, 5}, {3, 4}, {3, 5}, {4, 5}};
    for (size_t n = 0; n < 4 * NM_COUNT_OF(lost); n++) {
        const uint32_t *starts_lost = lost[n / 4];
        store_sim_t store;
        store_sim_init(&store);
        store.gone = n % 2 == 0;
        store.unanswered = n % 4 < 2;
        uint32_t owner = 0;
        nm_ms_t begin_ms = store.sim.now_ms;
        while (store.sim.now_ms - begin_ms < play_ms(&store) &&
               !job_has_failed(&store))
        {
            uint32_t starts = store.starts;
            bool fails =
                owner + 1 < OWNERS && starts + 1 == starts_lost[owner];
            store.store_fails_at_start = fails;
            store_sim_tick(&store, true);
            if (!fails || store.starts == starts) {
                continue;
            }
            for (nm_ms_t d = TICK_MS; d < START_OUTAGE_MS; d += TICK_MS) {
                store_sim_tick(&store, true);
            }
            owner++;
            replace_owner(&store, owner + 1);
            begin_ms = store.sim.now_ms;
        }
        g_test_message("starts %u and %u are lost, gone %d, unanswered %d: "
                       "%u starts",
                       starts_lost[0], starts_lost[1], store.gone,
                       store.unanswered, store.starts);
        check_bounded(&store);
        store_sim_finish(&store);
    }
}

/*
 * The owner reads the entries late, though the store responds: an entry that
 * is still known may have expired long ago, and is no sign of survival.
 */
static void
test_starts_are_bounded_with_late_entries(void)
{
    static const nm_ms_t ages_ms[] = {0, 1000, 5000, 10000, 20000};
    for (size_t n = 0; n < 2 * NM_COUNT_OF(ages_ms); n++) {
        store_sim_t store;
        store_sim_init(&store);
        store.entries_age_ms = ages_ms[n / 2];
        store.unanswered = n % 2 == 0;
        while (store.sim.now_ms < play_ms(&store) && !job_has_failed(&store)) {
            store_sim_tick(&store, true);
        }
        g_test_message("entries known after %d ms, unanswered %d: %u starts",
                       (int)store.entries_age_ms, store.unanswered,
                       store.starts);
        check_bounded(&store);
        store_sim_finish(&store);
    }
}

/*
 * Workers that are only cut off, in an outage or not, are no crashes: the task
 * is not given up, and waits no longer than the outage and some seconds.
 */
static void
test_cut_off_workers_in_outage_are_not_counted(void)
{
    enum { CUTS = 8, OUTAGE_MS = 30000, START_MS_MAX = 60000 };
    store_sim_t store;
    store_sim_init(&store);
    for (int i = 0; i < CUTS; i++) {
        nm_ms_t begin_ms = store.sim.now_ms;
        if (i % 4 == 0) {
            fail_store(&store, OUTAGE_MS);
        }
        while (!store_sim_tick(&store, false)) {
            g_assert_cmpint(store.sim.now_ms - begin_ms, <, START_MS_MAX);
        }
        store.cut_off[store.start.worker[0] - 'a'] = true;
        store.at_work = false;
    }
    g_assert_cmpint(nm_sched_query_job(store.sim.sched, JOB), ==,
                    NM_JOB_RUNNING);
    store_sim_finish(&store);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/sched/deadly-starts-are-bounded-in-store-outages",
                    test_starts_are_bounded_in_outages);
    g_test_add_func(
        "/sched/deadly-starts-are-bounded-with-owners-replaced-in-outages",
        test_starts_are_bounded_with_owners_replaced_in_outages);
    g_test_add_func(
        "/sched/deadly-starts-are-bounded-with-owner-replaced-once",
        test_starts_are_bounded_with_owner_replaced_once);
    g_test_add_func(
        "/sched/deadly-starts-are-bounded-with-owners-replaced-twice",
        test_starts_are_bounded_with_owners_replaced_twice);
    g_test_add_func("/sched/deadly-starts-are-bounded-with-late-entries",
                    test_starts_are_bounded_with_late_entries);
    g_test_add_func("/sched/one-deadly-start-is-ahead-of-record",
                    test_one_start_is_ahead_of_record);
    g_test_add_func("/sched/cut-off-workers-in-store-outage-are-not-counted",
                    test_cut_off_workers_in_outage_are_not_counted);
    return g_test_run();
}
