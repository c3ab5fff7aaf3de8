/* Tests of evacuated zones and of cold workers. */
#include <string.h>

#include "../src/evacuation.h"
#include "lib_entry_host.h"
#include "lib_sched_sim.h"

#define OTHER_JOB "0123456789abcdef"
#define BOUND_MS 5000
#define ZONE_KEY "op/evacuate/z"

/* --- the list and its age --- */

static void
test_list_keeps_valid_zones(void)
{
    static const struct {
        const char *zone;
        bool evacuated;
        int rc;
        uint32_t zones; /* on the list after it */
    } steps[] = {
        {"z1", true, NM_OK, 1},
        {"z1", true, NM_ERR_CONFLICT, 1}, /* named twice */
        {"", true, NM_ERR_INVAL, 1},
        {"z1/z2", true, NM_ERR_INVAL, 1},
        {"z 2", true, NM_ERR_INVAL, 1},
        {"aaaaaaaaaabbbbbbbbbbccccccccccddddddddddeeeeeeeeeeffffffffffgggg",
         true, NM_ERR_INVAL, 1},
        {"z2", true, NM_OK, 2},
        {"z1", false, NM_OK, 1},
        {"z1", false, NM_ERR_CONFLICT, 1},
        {"z1", true, NM_OK, 2}, /* evacuated again */
        {"z2", false, NM_OK, 1},
    };
    nm_evacuation_t evacuation;
    nm_evacuation_init(&evacuation, BOUND_MS, NM_SCHED_START_VALID_MS);
    for (size_t i = 0; i < NM_COUNT_OF(steps); i++) {
        g_assert_cmpint(nm_evacuation_set(&evacuation, steps[i].zone,
                                          steps[i].evacuated, (nm_ms_t)i),
                        ==, steps[i].rc);
        g_assert_cmpuint(evacuation.zones->len, ==, steps[i].zones);
    }
    nm_evacuation_finish(&evacuation);
}

/* With 5 s, a start that is valid for 1.7 s and a margin, a copy is 3 s old.
 */
static void
test_old_copy_holds_starts(void)
{
    static const struct {
        const char *name;
        nm_ms_t bound_ms;
        nm_ms_t age_ms;
        nm_ms_t answered_for_ms; /* -1: the store does not answer */
        bool held;
    } cases[] = {
        {"recent copy", BOUND_MS, 3000, 60000, false},
        {"old copy, in contact", BOUND_MS, 3001, 60000, true},
        {"old copy, the store does not answer", BOUND_MS, 60000, -1, false},
        {"old copy, the store is back", BOUND_MS, 60000, 1000, false},
        {"old copy, the store has been back", BOUND_MS, 60000, 1500, true},
        {"no copy, in contact", BOUND_MS, NM_MS_NEVER, 60000, true},
        {"no copy, the store does not answer", BOUND_MS, NM_MS_NEVER, -1,
         true},
        {"no bound", 0, 60000, 60000, false},
        {"no bound and no copy", 0, NM_MS_NEVER, 60000, false},
        {"least bound", 2500, 501, 60000, true},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_ms_t now_ms = 100000;
        nm_evacuation_t evacuation;
        nm_evacuation_init(&evacuation, cases[i].bound_ms,
                           NM_SCHED_START_VALID_MS);
        nm_evacuation_on_store_result(&evacuation, true, 1);
        nm_evacuation_on_store_result(&evacuation, false, 1001);
        if (cases[i].answered_for_ms >= 0) {
            nm_evacuation_on_store_result(&evacuation, true,
                                          now_ms - cases[i].answered_for_ms);
        }
        g_assert_cmpint(
            nm_evacuation_holds_starts(&evacuation, cases[i].age_ms, now_ms),
            ==, cases[i].held);
        nm_evacuation_finish(&evacuation);
    }
}

/*
 * One lost call ended the hold for 1.5 s while the watch was silent, although
 * the calls before and after it were answered.
 */
static void
test_lost_call_keeps_hold(void)
{
    static const struct {
        nm_ms_t at_ms;
        bool answered;
        bool held; /* after it, with a copy that is too old */
    } steps[] = {
        {1000, true, false}, {2600, true, true},  {3000, true, true},
        {3100, false, true}, /* sent before the last answered one */
        {3400, true, true},  {4399, false, true}, {4400, false, false},
        {4800, true, false}, {6299, true, false}, {6300, true, true},
    };
    nm_evacuation_t evacuation;
    nm_evacuation_init(&evacuation, BOUND_MS, NM_SCHED_START_VALID_MS);
    for (size_t i = 0; i < NM_COUNT_OF(steps); i++) {
        nm_ms_t now_ms = steps[i].at_ms;
        nm_evacuation_on_store_result(&evacuation, steps[i].answered, now_ms);
        g_assert_cmpint(nm_evacuation_holds_starts(&evacuation, 9000, now_ms),
                        ==, steps[i].held);
    }
    nm_evacuation_finish(&evacuation);
}

/* --- the scheduler --- */

static void
announce_in(sched_sim_t *sim, const char *id, const char *zone,
            nm_ms_t cold_ms)
{
    nm_sched_worker_t worker = {.incarnation = 1,
                                .cpu_milli = CPU_MILLI,
                                .memory_mb = MEMORY_MB,
                                .cold_ms = cold_ms};
    nm_strcopy(worker.id, sizeof(worker.id), id);
    nm_strcopy(worker.zone, sizeof(worker.zone), zone);
    nm_strcopy(worker.service, sizeof(worker.service), "press");
    nm_strcopy(worker.address, sizeof(worker.address), "10.0.0.1:80");
    nm_sched_set_worker(sim->sched, &worker, sim->now_ms);
    nm_sched_admit_worker(sim->sched, id);
}

static void
add_worker_in(sched_sim_t *sim, const char *id, const char *zone,
              nm_ms_t cold_ms)
{
    announce_in(sim, id, zone, cold_ms);
    sched_sim_advance(sim, 10);
    sched_sim_report(sim, id, 1, NULL, 0, NULL, 0);
}

static uint32_t
count_starts(const sched_sim_t *sim, const char *worker)
{
    uint32_t count = 0;
    for (guint i = 0; i < sim->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(sim->actions, nm_sched_action_t, i);
        count += action->type == NM_ACTION_START &&
                 strcmp(action->worker, worker) == 0;
    }
    return count;
}

/* Starts in an evacuated zone, by what the job asks for. */
static void
test_evacuated_zone_gets_no_start(void)
{
    static const struct {
        const char *name;
        nm_step_t step;
        uint32_t starts_elsewhere;
    } cases[] = {
        {"short tasks", {.task_count = 20, .cpu_milli = 1000}, 16},
        {"long-running tasks",
         {.task_count = 4, .cpu_milli = 1000, .long_running = true},
         4},
        {"data in the zone",
         {.task_count = 2, .cpu_milli = 1000, .data_rack = "rack-a"},
         2},
        {"limit per worker",
         {.task_count = 2, .cpu_milli = 1000, .per_worker_max = 1},
         1},
        {"a gang that fits",
         {.task_count = 4, .is_gang = true, .cpu_milli = 1},
         4},
        {"a gang that needs both zones",
         {.task_count = 2, .is_gang = true, .cpu_milli = CPU_MILLI},
         0},
        {"fillers",
         {.task_count = 4, .cpu_milli = 1000, .is_filler = true},
         4},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        add_worker_in(&sim, "a", "z1", 0);
        add_worker_in(&sim, "b", "z2", 0);
        g_assert_cmpuint(nm_sched_set_evacuated(sim.sched, "z1", true), ==, 1);
        add_worker_in(&sim, "late", "z1", 0);
        nm_job_spec_t spec;
        nm_job_spec_init(&spec, JOB, "batch", "press");
        *nm_job_spec_add_step(&spec) = cases[i].step;
        spec.steps[0].estimate_ms = 1000;
        g_assert_cmpint(nm_sched_add_job(sim.sched, &spec, false, sim.now_ms),
                        ==, NM_OK);
        nm_job_spec_finish(&spec);
        uint32_t elsewhere = 0;
        for (int round = 0; round < 20; round++) {
            sched_sim_advance(&sim, 30);
            elsewhere += count_starts(&sim, "b");
            g_assert_cmpuint(count_starts(&sim, "a"), ==, 0);
            g_assert_cmpuint(count_starts(&sim, "late"), ==, 0);
            sched_sim_confirm_starts(&sim);
        }
        g_assert_cmpuint(elsewhere, ==, cases[i].starts_elsewhere);
        sched_sim_finish(&sim);
    }
}

/* What runs goes on; an end frees room that nothing takes. */
static void
test_running_tasks_stay_in_evacuated_zone(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    add_worker_in(&sim, "a", "z1", 0);
    sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    int64_t run = sched_sim_confirm_starts(&sim).run;
    nm_sched_set_evacuated(sim.sched, "z1", true);
    sched_sim_add_job(&sim, OTHER_JOB, false, 1, 1000, false);
    nm_worker_run_t running = sched_sim_make_run(TASK, run);
    for (int round = 0; round < 100; round++) {
        sched_sim_advance(&sim, 100);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_STOP, NULL));
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
        const nm_sched_action_t *poll =
            sched_sim_find_action(&sim, NM_ACTION_POLL, "a");
        if (poll) {
            g_assert_cmpint(poll->expiry_ms, >, 0);
            sched_sim_report(&sim, "a", 1, &running, 1, NULL, 0);
        }
    }
    nm_worker_end_t end = sched_sim_make_end(1, TASK, run, NM_END_FAILED);
    sched_sim_report(&sim, "a", 1, NULL, 0, &end, 1);
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    nm_sched_set_evacuated(sim.sched, "z1", false);
    sched_sim_advance(&sim, 100);
    g_assert_cmpuint(count_starts(&sim, "a"), ==, 2);
    sched_sim_finish(&sim);
}

/* A start that got no response was sent again, long after the evacuation. */
static void
test_unanswered_start_is_withdrawn(void)
{
    sched_sim_t sim;
    sched_sim_init_resending(&sim, 1);
    add_worker_in(&sim, "a", "z1", 0);
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_action_t start =
        *sched_sim_find_action(&sim, NM_ACTION_START, "a");
    nm_sched_set_evacuated(sim.sched, "z1", true);
    nm_sched_on_start(sim.sched, &start, NM_ORDER_UNKNOWN, sim.now_ms);
    bool stopped = false;
    for (int round = 0; round < 20; round++) {
        sched_sim_advance(&sim, 50);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
        stopped = stopped || sched_sim_find_action(&sim, NM_ACTION_STOP, "a");
    }
    g_assert_true(stopped);
    sched_sim_finish(&sim);
}

/* Leases go on while starts are held, unlike without authority. */
static void
test_held_starts_keep_leases(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    add_worker_in(&sim, "a", "z1", 0);
    sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    int64_t run = sched_sim_confirm_starts(&sim).run;
    nm_worker_run_t running = sched_sim_make_run(TASK, run);
    sched_sim_report(&sim, "a", 1, &running, 1, NULL, 0);
    nm_sched_set_starts_allowed(sim.sched, false);
    sched_sim_add_job(&sim, OTHER_JOB, false, 1, 1000, false);
    uint32_t renewals = 0;
    for (int round = 0; round < 50; round++) {
        sched_sim_advance(&sim, 100);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
        const nm_sched_action_t *poll =
            sched_sim_find_action(&sim, NM_ACTION_POLL, "a");
        if (poll) {
            renewals += poll->expiry_ms > 0;
            sched_sim_report(&sim, "a", 1, &running, 1, NULL, 0);
        }
    }
    g_assert_cmpuint(renewals, >, 0);
    nm_sched_set_starts_allowed(sim.sched, true);
    sched_sim_advance(&sim, 100);
    g_assert_cmpuint(count_starts(&sim, "a"), ==, 1);
    sched_sim_finish(&sim);
}

/* A zone that is back cold got all that waited at once. */
static void
test_cold_worker_gets_what_it_bears(void)
{
    static const struct {
        const char *name;
        double starts_per_s;
        nm_ms_t cold_ms;
        bool has_warm;        /* one more worker is warm */
        uint32_t least, most; /* starts on the cold worker in one second */
    } cases[] = {
        {"cold, limit", 4, 60000, false, 3, 4},
        {"cold, no limit", 0, 60000, false, 10, 10},
        {"not cold", 4, 0, false, 10, 10},
        {"warm workers go first", 4, 60000, true, 0, 0},
        {"cold for a tenth of the second", 4, 100, false, 10, 10},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        nm_queue_t queue = {.name = "batch",
                            .service = "press",
                            .slack_factor = 2,
                            .cold_starts_per_s = cases[i].starts_per_s};
        nm_sched_set_queue(sim.sched, &queue);
        add_worker_in(&sim, "a", "z1", cases[i].cold_ms);
        if (cases[i].has_warm) {
            add_worker_in(&sim, "b", "z2", 0);
        }
        sched_sim_add_job(&sim, JOB, false, 10, 1000, false);
        uint32_t starts = 0;
        for (nm_ms_t t = 0; t < 1000; t += 10) {
            sched_sim_advance(&sim, 10);
            starts += count_starts(&sim, "a");
            sched_sim_confirm_starts(&sim);
        }
        g_assert_cmpuint(starts, >=, cases[i].least);
        g_assert_cmpuint(starts, <=, cases[i].most);
        sched_sim_finish(&sim);
    }
}

/* All members of a gang went to one cold worker at once. */
static void
test_gang_spares_cold_workers(void)
{
    static const struct {
        const char *name;
        double starts_per_s;
        nm_ms_t cold_ms;
        uint32_t tasks;
        uint32_t starts; /* in the first second */
        uint32_t most;   /* of these on one worker */
    } cases[] = {
        {"two workers", 2, 60000, 8, 8, 4},
        {"more than the workers bear", 2, 60000, 9, 0, 0},
        {"they are warm soon", 2, 500, 9, 9, 9},
        {"rate near 0", 1e-300, 60000, 8, 8, 4},
        {"no limit", 0, 60000, 12, 12, 12},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_sim_t sim;
        sched_sim_init(&sim, 1);
        nm_queue_t queue = {.name = "batch",
                            .service = "press",
                            .slack_factor = 2,
                            .cold_starts_per_s = cases[i].starts_per_s};
        nm_sched_set_queue(sim.sched, &queue);
        add_worker_in(&sim, "a", "z1", cases[i].cold_ms);
        add_worker_in(&sim, "b", "z1", cases[i].cold_ms);
        nm_job_spec_t spec;
        nm_job_spec_init(&spec, JOB, "batch", "press");
        *nm_job_spec_add_step(&spec) =
            (nm_step_t){.task_count = cases[i].tasks,
                        .is_gang = true,
                        .cpu_milli = 1000,
                        .estimate_ms = 60000};
        g_assert_cmpint(nm_sched_add_job(sim.sched, &spec, false, sim.now_ms),
                        ==, NM_OK);
        nm_job_spec_finish(&spec);
        uint32_t starts_a = 0;
        uint32_t starts_b = 0;
        for (nm_ms_t t = 0; t < 1000; t += 10) {
            sched_sim_advance(&sim, 10);
            starts_a += count_starts(&sim, "a");
            starts_b += count_starts(&sim, "b");
            sched_sim_confirm_starts(&sim);
        }
        g_assert_cmpuint(starts_a + starts_b, ==, cases[i].starts);
        g_assert_cmpuint(MAX(starts_a, starts_b), <=, cases[i].most);
        sched_sim_finish(&sim);
    }
}

/* --- the owner --- */

typedef enum {
    STORE_ANSWERS,
    WATCH_SILENT,    /* no watch below op/ reports a change */
    HISTORY_DROPPED, /* at the time of the evacuation */
} trouble_t;

static const struct {
    const char *name;
    nm_ms_t bound_ms;
    trouble_t trouble;
    const char *key;
    const char *value;
    uint32_t starts; /* of a job that is accepted before, started after */
} owner_cases[] = {
    {"evacuated", BOUND_MS, STORE_ANSWERS, ZONE_KEY, "{}", 0},
    {"another zone", BOUND_MS, STORE_ANSWERS, "op/evacuate/y", "{}", 2},
    {"value that is no object", BOUND_MS, STORE_ANSWERS, ZONE_KEY, "[", 0},
    {"name with a slash", BOUND_MS, STORE_ANSWERS, ZONE_KEY "/z", "{}", 2},
    {"empty name", BOUND_MS, STORE_ANSWERS, "op/evacuate/", "{}", 2},
    {"no bound in the settings", 0, STORE_ANSWERS, ZONE_KEY, "{}", 2},
    {"the watch is silent", BOUND_MS, WATCH_SILENT, ZONE_KEY, "{}", 0},
    {"the history is gone", BOUND_MS, HISTORY_DROPPED, ZONE_KEY, "{}", 0},
};

/* The bound counts from the store's answer to the operator. */
static void
test_owner_starts_nothing_in_evacuated_zone(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(owner_cases); i++) {
        g_test_message("%s", owner_cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init_evacuating(&host, "a", kv, owner_cases[i].bound_ms);
        fake_kv_answer_idle_watches(kv, &host.clock);
        fake_kv_put(kv, "servers/i-1", WORKER);
        run_host(&host, 3000);
        if (owner_cases[i].trouble == WATCH_SILENT) {
            fake_kv_suppress_watches(kv, "op/");
        }
        fake_kv_put(kv, owner_cases[i].key, owner_cases[i].value);
        if (owner_cases[i].trouble == HISTORY_DROPPED) {
            fake_kv_compact(kv);
        }
        run_host(&host, BOUND_MS - NM_SCHED_START_VALID_MS);
        send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
        run_host(&host, 5000);
        g_assert_cmpint(last_status(&host), ==, 200);
        g_assert_cmpuint(host.orders.starts, ==, owner_cases[i].starts);
        fake_kv_suppress_watches(kv, NULL);
        fake_kv_put(kv, owner_cases[i].key, NULL);
        run_host(&host, 3000);
        g_assert_cmpuint(host.orders.starts, ==, 2);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/* The next owner read the list only after it had started tasks. */
static void
test_new_owner_knows_evacuated_zones(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    fake_kv_put(kv, "servers/i-1", WORKER);
    fake_kv_put(kv, ZONE_KEY, "{}");
    host_init_evacuating(&host, "a", kv, BOUND_MS);
    fake_kv_answer_idle_watches(kv, &host.clock);
    run_host(&host, 3000);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run_host(&host, 3000);
    g_assert_cmpuint(host.orders.starts, ==, 0);
    /* The lease of the owner key is revoked, and the host wins again. */
    fake_kv_put(kv, OWNER_KEY, NULL);
    run_host(&host, 15000);
    g_assert_cmpuint(host.orders.starts, ==, 0);
    char *status = nm_entry_encode_status(host.entry);
    g_assert_nonnull(strstr(status, "\"role\":\"owner\""));
    g_assert_nonnull(strstr(status, "\"zone\":\"z\",\"for_ms\":"));
    g_assert_nonnull(strstr(status, "\"workers_evacuated\":1"));
    free(status);
    fake_kv_put(kv, ZONE_KEY, NULL);
    run_host(&host, 3000);
    g_assert_cmpuint(host.orders.starts, ==, 2);
    host_finish(&host);
    fake_kv_free(kv);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/evacuation/list-keeps-valid-zones",
                    test_list_keeps_valid_zones);
    g_test_add_func("/evacuation/old-copy-holds-starts",
                    test_old_copy_holds_starts);
    g_test_add_func("/evacuation/lost-call-keeps-hold",
                    test_lost_call_keeps_hold);
    g_test_add_func("/evacuation/evacuated-zone-gets-no-start",
                    test_evacuated_zone_gets_no_start);
    g_test_add_func("/evacuation/running-tasks-stay",
                    test_running_tasks_stay_in_evacuated_zone);
    g_test_add_func("/evacuation/unanswered-start-is-withdrawn",
                    test_unanswered_start_is_withdrawn);
    g_test_add_func("/evacuation/held-starts-keep-leases",
                    test_held_starts_keep_leases);
    g_test_add_func("/evacuation/cold-worker-gets-what-it-bears",
                    test_cold_worker_gets_what_it_bears);
    g_test_add_func("/evacuation/gang-spares-cold-workers",
                    test_gang_spares_cold_workers);
    g_test_add_func("/evacuation/owner-starts-nothing-there",
                    test_owner_starts_nothing_in_evacuated_zone);
    g_test_add_func("/evacuation/new-owner-knows-the-zones",
                    test_new_owner_knows_evacuated_zones);
    return g_test_run();
}
