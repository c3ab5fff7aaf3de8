/*
 * The soak's stand-in of the platform: what callers see in each mode of its
 * store, when the entries of executors expire and return, and how executors
 * that are cut off live on.
 *
 * Guards against a stand-in that answers a call whose response it should lose:
 * the soak would then not show how hosts treat the loss.
 */
#include <glib.h>

#include <string.h>

#include <unistd.h>

#include <curl/curl.h>

#include "../soak/lib_entries.h"

/* By process id, as tests of several builds may run at once. */
#define PORT ((uint16_t)(18000 + getpid() % 900))
#define TIMEOUT_MS 400L

static size_t
ignore_body(char *data, size_t size, size_t count, void *user)
{
    (void)data;
    (void)user;
    return size * count;
}

/* Returns the status of a GET, or 0 without a response in time. */
static long
get_status(const char *path)
{
    char url[128];
    g_snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", PORT, path);
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ignore_body);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    long status = 0;
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(easy);
    return status;
}

static const struct {
    store_mode_t mode;
    const char *path;
    long status; /* 0: no response */
} cases[] = {
    {STORE_UP, "/kv-range?pathPrefix=a/&after=", 200},
    {STORE_UP, "/kv-key?key=a/b", 200},
    {STORE_REFUSES, "/kv-range?pathPrefix=a/&after=", 503},
    {STORE_LOSES_RESPONSES, "/kv-range?pathPrefix=a/&after=", 0},
    {STORE_LOSES_RESPONSES, "/kv-key?key=a/b", 200},
    {STORE_UP, "/kv-range?pathPrefix=a/&after=", 200},
};

static void
test_modes(void)
{
    platform_t *platform = platform_new(&(platform_desc_t){.port = PORT});
    platform_lock(platform);
    platform_put(platform, "a/b", "1");
    platform_unlock(platform);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("case %zu", i);
        platform_lock(platform);
        platform_set_store(platform, cases[i].mode);
        platform_unlock(platform);
        g_assert_cmpint(get_status(cases[i].path), ==, cases[i].status);
    }
    platform_free(platform);
}

#define HEARTBEAT_TEST_MS 50
#define ENTRY_TEST_MS (ENTRY_HEARTBEATS * HEARTBEAT_TEST_MS)
#define LEASE_TEST_MS 300
#define SLACK_MS 300 /* of the test's waits, on a busy machine */

static platform_t *
new_platform(uint32_t executors)
{
    return platform_new(&(platform_desc_t){
        .port = PORT,
        .heartbeat_ms = HEARTBEAT_TEST_MS,
        .fleet = {.executors = executors, .cpu_milli = 1000}});
}

static bool
has_entry(platform_t *platform, uint32_t index)
{
    char key[32];
    g_snprintf(key, sizeof(key), "servers/x%u", index);
    platform_lock(platform);
    char *value = platform_get(platform, key);
    platform_unlock(platform);
    g_free(value);
    return value != NULL;
}

static void
sleep_ms(nm_ms_t ms)
{
    g_usleep((gulong)ms * 1000);
}

/* Returns how long an entry took to come or go, or to time_limit_ms. */
static nm_ms_t
wait_for_entry(platform_t *platform, uint32_t index, bool present,
               nm_ms_t time_limit_ms)
{
    nm_ms_t begin_ms = platform_now(platform);
    while (has_entry(platform, index) != present &&
           platform_now(platform) - begin_ms < time_limit_ms)
    {
        sleep_ms(5);
    }
    g_assert_true(has_entry(platform, index) == present);
    return platform_now(platform) - begin_ms;
}

static void
set_store(platform_t *platform, store_mode_t mode)
{
    platform_lock(platform);
    platform_set_store(platform, mode);
    platform_unlock(platform);
}

static void
test_entries_stay_in_outage(void)
{
    platform_t *platform = new_platform(1);
    wait_for_entry(platform, 0, true, SLACK_MS);
    set_store(platform, STORE_REFUSES);
    sleep_ms(ENTRY_TEST_MS + SLACK_MS);
    g_assert_true(has_entry(platform, 0));
    platform_free(platform);
}

static void
test_entries_expire_in_outage(void)
{
    platform_t *platform = new_platform(2);
    wait_for_entry(platform, 0, true, SLACK_MS);
    platform_lock(platform);
    platform_expire_entries(platform);
    executor_cut(platform_fleet(platform), 1, platform_now(platform) + 60000,
                 platform_now(platform));
    platform_set_store(platform, STORE_REFUSES);
    platform_unlock(platform);
    g_assert_true(has_entry(platform, 0));
    wait_for_entry(platform, 0, false, ENTRY_TEST_MS + SLACK_MS);
    sleep_ms(SLACK_MS);
    g_assert_false(has_entry(platform, 0));
    set_store(platform, STORE_UP);
    wait_for_entry(platform, 0, true, ENTRY_RETURN_MAX_MS + SLACK_MS);
    g_assert_false(has_entry(platform, 1));
    /* Only one outage was to remove entries. */
    set_store(platform, STORE_REFUSES);
    sleep_ms(ENTRY_TEST_MS + SLACK_MS);
    g_assert_true(has_entry(platform, 0));
    platform_free(platform);
}

static void
test_cut_executor_lives_on(void)
{
    platform_t *platform = new_platform(2);
    wait_for_entry(platform, 0, true, SLACK_MS);
    platform_lock(platform);
    executor_fleet_t *fleet = platform_fleet(platform);
    executor_t *executor = executor_at(fleet, 0);
    int64_t incarnation = executor->incarnation;
    nm_ms_t now_ms = platform_now(platform);
    executor_job_submitted(fleet, "a", 1, 100, 0, true, false);
    const char *reason = NULL;
    executor_order_t order = {.task = "a.0.0.0",
                              .run = 1,
                              .epoch = 1,
                              .expiry_ms = executor_clock(executor, now_ms) +
                                           LEASE_TEST_MS,
                              .checkpoint = ""};
    g_assert_cmpint(executor_start(fleet, executor, &order, now_ms, &reason),
                    ==, EXECUTOR_STATUS_OK);
    executor_cut(fleet, 0, now_ms + 60000, now_ms);
    g_assert_true(executor_is_silent(executor, now_ms));
    g_assert_false(executor_is_silent(executor_at(fleet, 1), now_ms));
    platform_unlock(platform);
    wait_for_entry(platform, 0, false, ENTRY_TEST_MS + SLACK_MS);
    g_assert_true(has_entry(platform, 1));
    sleep_ms(LEASE_TEST_MS + SLACK_MS);
    platform_lock(platform);
    executor->cut_until_ms = 0;
    g_assert_cmpint(executor->incarnation, ==, incarnation);
    g_assert_cmpuint(executor->runs->len, ==, 0);
    g_assert_cmpuint(executor->ends->len, ==, 1);
    g_assert_cmpstr(g_array_index(executor->ends, executor_end_t, 0).result,
                    ==, "lapsed");
    g_assert_false(executor_job_may_fail(fleet, "a"));
    platform_unlock(platform);
    wait_for_entry(platform, 0, true, HEARTBEAT_TEST_MS + SLACK_MS);
    platform_free(platform);
}

/* Only a run at work when its executor crashed counts, not one that lapsed. */
static void
test_crashes_under_a_task(void)
{
    executor_fleet_t *fleet = executor_fleet_new(
        &(executor_fleet_desc_t){.executors = 4, .cpu_milli = 1000});
    executor_job_submitted(fleet, "a", 1, 100, 0, true, false);
    nm_ms_t now_ms = 1000;
    for (uint32_t i = 0; i < 4; i++) {
        executor_t *executor = executor_at(fleet, i);
        const char *reason = NULL;
        executor_order_t order = {
            .task = "a.0.0.0",
            .run = i + 1,
            .epoch = 1,
            .expiry_ms = executor_clock(executor, now_ms) + LEASE_TEST_MS,
            .checkpoint = ""};
        g_assert_cmpint(
            executor_start(fleet, executor, &order, now_ms, &reason), ==,
            EXECUTOR_STATUS_OK);
        if (i < 2) {
            now_ms += 2 * LEASE_TEST_MS;
            executor_fleet_update(fleet, now_ms);
        }
        g_assert_false(executor_job_may_fail(fleet, "a"));
        executor_crash(fleet, i, now_ms);
    }
    g_assert_true(executor_job_may_fail(fleet, "a"));
    executor_fleet_free(fleet);
}

/* A run at work for long is no suspect: its crash ends the row of crashes. */
static void
test_crash_of_a_long_run(void)
{
    executor_fleet_t *fleet = executor_fleet_new(
        &(executor_fleet_desc_t){.executors = 4, .cpu_milli = 1000});
    executor_job_submitted(fleet, "a", 1, 100, 0, true, false);
    nm_ms_t now_ms = 1000;
    static const nm_ms_t work_ms[] = {100, 20000, 100, 100};
    for (uint32_t i = 0; i < G_N_ELEMENTS(work_ms); i++) {
        g_assert_false(executor_job_may_fail(fleet, "a"));
        executor_t *executor = executor_at(fleet, i);
        const char *reason = NULL;
        executor_order_t order = {
            .task = "a.0.0.0",
            .run = i + 1,
            .epoch = 1,
            .expiry_ms = executor_clock(executor, now_ms) + LEASE_TEST_MS,
            .checkpoint = ""};
        executor_start(fleet, executor, &order, now_ms, &reason);
        now_ms += work_ms[i];
        executor_crash(fleet, i, now_ms);
    }
    g_assert_true(executor_job_may_fail(fleet, "a"));
    executor_fleet_free(fleet);
}

/* The first three runs of jobs that fail often fail. */
#define SEED_OF_FAILURES 5

/* A job may be failed after attempts_max failed runs, and starts no more. */
static void
test_attempts_of_a_task(void)
{
    executor_fleet_t *fleet =
        executor_fleet_new(&(executor_fleet_desc_t){.executors = 1,
                                                    .cpu_milli = 1000,
                                                    .attempts_max = 3,
                                                    .seed = SEED_OF_FAILURES});
    executor_job_submitted(fleet, "a", 1, 100, 10, false, false);
    executor_job_fails_often(fleet, "a");
    executor_t *executor = executor_at(fleet, 0);
    nm_ms_t now_ms = 1000;
    const char *reason = NULL;
    executor_order_t order = {.task = "a.0.0.0", .epoch = 1, .checkpoint = ""};
    for (order.run = 1; order.run <= 3; order.run++) {
        g_assert_false(executor_job_may_fail(fleet, "a"));
        order.expiry_ms = executor_clock(executor, now_ms) + LEASE_TEST_MS;
        executor_start(fleet, executor, &order, now_ms, &reason);
        now_ms += 100;
        executor_fleet_update(fleet, now_ms);
        g_assert_cmpstr(
            g_array_index(executor->ends, executor_end_t, 0).result, ==,
            "failed");
        executor_hold(fleet, executor, &order, order.run, now_ms, &reason);
    }
    g_assert_true(executor_job_may_fail(fleet, "a"));
    g_assert_cmpuint(executor_fleet_query_info(fleet).violations, ==, 0);
    order.expiry_ms = executor_clock(executor, now_ms) + LEASE_TEST_MS;
    executor_start(fleet, executor, &order, now_ms, &reason);
    g_assert_cmpuint(executor_fleet_query_info(fleet).violations, ==, 1);
    executor_fleet_free(fleet);
}

/* An end counts as acknowledged only if its lease has not lapsed before. */
static void
test_ack_after_the_lease(void)
{
    for (int lapses = 0; lapses < 2; lapses++) {
        executor_fleet_t *fleet = executor_fleet_new(
            &(executor_fleet_desc_t){.executors = 2, .cpu_milli = 1000});
        executor_job_submitted(fleet, "a", 1, 100, 10, false, false);
        nm_ms_t now_ms = 1000;
        executor_order_t order = {.task = "a.0.0.0",
                                  .run = 1,
                                  .epoch = 1,
                                  .expiry_ms = 1000 + LEASE_TEST_MS,
                                  .checkpoint = ""};
        const char *reason = NULL;
        executor_t *executor = executor_at(fleet, 1);
        executor_start(fleet, executor, &order, now_ms, &reason);
        now_ms += 100;
        executor_fleet_update(fleet, now_ms);
        g_assert_cmpuint(executor->ends->len, ==, 1);
        now_ms += lapses ? LEASE_TEST_MS : 0;
        executor_fleet_update(fleet, now_ms);
        order.expiry_ms = 0;
        executor_hold(fleet, executor, &order, 1, now_ms, &reason);
        now_ms += 2000;
        order.run = 2;
        order.expiry_ms = now_ms + LEASE_TEST_MS;
        executor_start(fleet, executor_at(fleet, 0), &order, now_ms, &reason);
        g_assert_cmpuint(executor_fleet_query_info(fleet).violations, ==,
                         lapses ? 0 : 1);
        executor_fleet_free(fleet);
    }
}

#define LATE_ORDER_MS 2000
#define LEASE_MAX_TEST_MS 10000 /* maxHoldMs of the users' platform */

typedef enum {
    SENT_NOW,
    SENT_BEFORE_RESTART,     /* it arrived before the incarnation began */
    SENT_ON_THE_FORMER_CLOCK /* its lease lies beyond the incarnation's */
} sender_t;

typedef struct {
    const char *task;
    uint32_t executor; /* 0: service s, label a; 1: s, b; 2: t, a */
    sender_t sender;
    uint32_t violations; /* by this start */
} route_start_t;

static const struct {
    const char *name;
    const char *service;
    const char *label;
    uint32_t limit;
    nm_ms_t stop_ms; /* from the stop of the first run; 0: it is not stopped */
    route_start_t starts[3];
} route_cases[] = {
    {"any", NULL, NULL, 0, 0, {{"a.0.0.0", 2, SENT_NOW, 0}}},
    {"service", "t", NULL, 0, 0, {{"a.0.0.0", 2, SENT_NOW, 0}}},
    {"other service", "s", NULL, 0, 0, {{"a.0.0.0", 2, SENT_NOW, 1}}},
    {"label", "s", "b", 0, 0, {{"a.0.0.0", 1, SENT_NOW, 0}}},
    {"other label", "s", "b", 0, 0, {{"a.0.0.0", 0, SENT_NOW, 1}}},
    {"both", "s", "b", 0, 0, {{"a.0.0.0", 2, SENT_NOW, 2}}},
    {"late, other label",
     "s",
     "b",
     0,
     0,
     {{"a.0.0.0", 0, SENT_BEFORE_RESTART, 0}}},
    {"former clock, other service",
     "s",
     NULL,
     0,
     0,
     {{"a.0.0.0", 2, SENT_ON_THE_FORMER_CLOCK, 0}}},
    {"no limit",
     "s",
     NULL,
     0,
     0,
     {{"a.0.0.0", 0, SENT_NOW, 0}, {"a.0.0.1", 0, SENT_NOW, 0}}},
    {"limit of 2",
     "s",
     NULL,
     2,
     0,
     {{"a.0.0.0", 0, SENT_NOW, 0},
      {"a.0.0.1", 0, SENT_NOW, 0},
      {"a.0.0.2", 0, SENT_NOW, 1}}},
    {"limit on two executors",
     "s",
     NULL,
     1,
     0,
     {{"a.0.0.0", 0, SENT_NOW, 0}, {"a.0.0.1", 1, SENT_NOW, 0}}},
    {"limit, another step and occurrence",
     "s",
     NULL,
     1,
     0,
     {{"a.0.0.0", 0, SENT_NOW, 0},
      {"a.0.10.0", 0, SENT_NOW, 0},
      {"a.1.0.0", 0, SENT_NOW, 0}}},
    {"limit, the first is being stopped",
     "s",
     NULL,
     1,
     1,
     {{"a.0.0.0", 0, SENT_NOW, 0}, {"a.0.0.1", 0, SENT_NOW, 1}}},
    {"limit, the first has been stopped",
     "s",
     NULL,
     1,
     200,
     {{"a.0.0.0", 0, SENT_NOW, 0}, {"a.0.0.1", 0, SENT_NOW, 0}}},
    {"limit, the first is late",
     "s",
     NULL,
     1,
     0,
     {{"a.0.0.0", 0, SENT_BEFORE_RESTART, 0}, {"a.0.0.1", 0, SENT_NOW, 1}}},
    {"limit, the second is late",
     "s",
     NULL,
     1,
     0,
     {{"a.0.0.0", 0, SENT_NOW, 0},
      {"a.0.0.1", 0, SENT_ON_THE_FORMER_CLOCK, 0}}},
};

/* A start breaks ROUTE if its sender could know what the executor is. */
static void
test_route_of_starts(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(route_cases); i++) {
        g_test_message("%s", route_cases[i].name);
        executor_fleet_t *fleet = executor_fleet_new(&(executor_fleet_desc_t){
            .executors = EXECUTOR_KINDS, .cpu_milli = 1000});
        executor_job_submitted(fleet, "a", 3, 100, 60000, false, false);
        executor_job_routed(fleet, "a", route_cases[i].service,
                            route_cases[i].label, route_cases[i].limit);
        const nm_ms_t restart_ms = 20000;
        for (uint32_t index = 0; index < EXECUTOR_KINDS; index++) {
            executor_crash(fleet, index, restart_ms);
        }
        nm_ms_t now_ms = restart_ms + LATE_ORDER_MS / 2;
        for (size_t k = 0; k < G_N_ELEMENTS(route_cases[i].starts); k++) {
            const route_start_t *start = &route_cases[i].starts[k];
            if (!start->task) {
                break;
            }
            executor_t *executor = executor_at(fleet, start->executor);
            bool on_former_clock = start->sender == SENT_ON_THE_FORMER_CLOCK;
            executor_order_t order = {
                .task = start->task,
                .run = 1,
                .epoch = 1,
                .expiry_ms = executor_clock(executor, now_ms) +
                             LEASE_MAX_TEST_MS + (on_former_clock ? 1 : 0),
                .checkpoint = "",
                .arrived_ms = start->sender == SENT_BEFORE_RESTART
                                  ? now_ms - LATE_ORDER_MS
                                  : now_ms};
            const char *reason = NULL;
            uint32_t before = executor_fleet_query_info(fleet).violations;
            g_assert_cmpint(
                executor_start(fleet, executor, &order, now_ms, &reason), ==,
                EXECUTOR_STATUS_OK);
            executor_fleet_info_t info = executor_fleet_query_info(fleet);
            g_assert_cmpuint(info.violations - before, ==, start->violations);
            g_assert_true(before > 0 || start->violations == 0 ||
                          strstr(info.first_violation, "ROUTE"));
            if (k == 0 && route_cases[i].stop_ms > 0) {
                executor_stop(fleet, executor, &order, now_ms, &reason);
                now_ms += route_cases[i].stop_ms;
                executor_fleet_update(fleet, now_ms);
            }
        }
        executor_fleet_free(fleet);
    }
}

/* Restarts change kinds only where the check can tell late orders apart. */
static void
test_restarts_as_another_kind(void)
{
    static const struct {
        nm_ms_t life_ms;
        bool changes;
    } lives[] = {{1000, false}, {10000, false}, {20000, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(lives); i++) {
        executor_fleet_t *fleet = executor_fleet_new(&(executor_fleet_desc_t){
            .executors = EXECUTOR_KINDS_FIXED + 1, .cpu_milli = 1000});
        uint32_t changes = 0;
        for (int restart = 1; restart <= 20; restart++) {
            for (uint32_t index = 0; index <= EXECUTOR_KINDS_FIXED; index++) {
                const executor_t *executor = executor_at(fleet, index);
                uint32_t kind = executor->kind;
                executor_crash(fleet, index, restart * lives[i].life_ms);
                bool changed = executor->kind != kind;
                g_assert_cmpuint(executor->kind, <, EXECUTOR_KINDS);
                g_assert_false(changed && index < EXECUTOR_KINDS_FIXED);
                changes += changed;
            }
        }
        g_assert_true((changes > 0) == lives[i].changes);
        g_assert_cmpuint(executor_fleet_query_info(fleet).kind_changes, ==,
                         changes);
        executor_fleet_free(fleet);
    }
}

static bool
entry_names(platform_t *platform, const char *text)
{
    platform_lock(platform);
    char *value = platform_get(platform, "servers/x0");
    platform_unlock(platform);
    bool found = value && strstr(value, text);
    g_free(value);
    return found;
}

/* The entry of the former life stays until the next one is written. */
static void
test_entry_shows_the_kind(void)
{
    platform_t *platform = new_platform(1);
    wait_for_entry(platform, 0, true, SLACK_MS);
    g_assert_true(entry_names(platform, "\"service\":\"s\""));
    g_assert_true(entry_names(platform, "\"labels\":[\"a\""));
    platform_lock(platform);
    executor_at(platform_fleet(platform), 0)->kind = 1;
    executor_crash(platform_fleet(platform), 0, platform_now(platform));
    char *value = platform_get(platform, "servers/x0");
    g_assert_nonnull(strstr(value, "\"labels\":[\"a\""));
    g_free(value);
    platform_unlock(platform);
    sleep_ms(HEARTBEAT_TEST_MS + SLACK_MS);
    g_assert_true(entry_names(platform, "\"labels\":[\"b\""));
    platform_free(platform);
}

static void
put_entry(executor_fleet_t *fleet, uint32_t index)
{
    executor_at(fleet, index)->entry_ms = 1;
}

/*
 * With clocks_differ some wall clocks are set between two lives, forward or
 * back; entry and report show the same `born`.
 */
static void
test_clocks_differ(void)
{
    platform_t *platform =
        platform_new(&(platform_desc_t){.port = PORT,
                                        .heartbeat_ms = HEARTBEAT_TEST_MS,
                                        .fleet = {.executors = 1,
                                                  .cpu_milli = 1000,
                                                  .seed = 1,
                                                  .clocks_differ = true}});
    wait_for_entry(platform, 0, true, SLACK_MS);
    platform_lock(platform);
    const executor_t *executor = executor_at(platform_fleet(platform), 0);
    uint32_t same_count = 0, back_count = 0;
    int64_t start_ms = executor->incarnation_start_ms;
    int64_t offset_ms = executor->incarnation - start_ms;
    int64_t min_ms = offset_ms, max_ms = offset_ms;
    for (uint32_t i = 0; i < 200; i++) {
        int64_t before = executor->incarnation;
        executor_crash(platform_fleet(platform), 0, platform_now(platform));
        int64_t last_ms = offset_ms;
        offset_ms = executor->incarnation - executor->incarnation_start_ms;
        same_count += offset_ms == last_ms;
        back_count += executor->incarnation < before;
        min_ms = MIN(min_ms, offset_ms);
        max_ms = MAX(max_ms, offset_ms);
        g_assert_cmpuint(executor->sequence, ==, 0);
    }
    g_assert_cmpuint(same_count, >, 20);
    g_assert_cmpuint(back_count, >, 20);
    g_assert_cmpint(max_ms - min_ms, >, 12000);
    g_assert_cmpint(max_ms - min_ms, <=, 16000);
    char *born =
        g_strdup_printf("\"born\":%lld}", (long long)executor->incarnation);
    platform_unlock(platform);
    sleep_ms(HEARTBEAT_TEST_MS + SLACK_MS);
    g_assert_true(entry_names(platform, born));
    json_t *lists = entries_encode_lists(executor, platform_now(platform));
    g_assert_cmpint(json_integer_value(json_object_get(lists, "born")), ==,
                    executor->incarnation);
    json_decref(lists);
    g_free(born);
    platform_free(platform);
}

/* An executor that has left is replaced once it has no entry. */
static void
test_executor_leaves_for_good(void)
{
    executor_fleet_t *fleet = executor_fleet_new(
        &(executor_fleet_desc_t){.executors = 2, .cpu_milli = 1000});
    executor_job_submitted(fleet, "a", 1, 100, 60000, false, false);
    executor_t *executor = executor_at(fleet, 0);
    executor_order_t order = {.task = "a.0.0.0",
                              .run = 1,
                              .epoch = 7,
                              .expiry_ms = 1000 + LEASE_TEST_MS,
                              .checkpoint = ""};
    const char *reason = NULL;
    put_entry(fleet, 0);
    executor_start(fleet, executor, &order, 1000, &reason);
    executor_leave(fleet, 0, 1500, 1100);
    executor_leave(fleet, 0, 9000, 1200); /* has left already */
    g_assert_cmpuint(executor_fleet_query_info(fleet).departures, ==, 1);
    g_assert_cmpuint(executor->runs->len, ==, 0);
    g_assert_true(executor_has_left(fleet, "x0"));
    g_assert_true(executor_is_silent(executor, 1100));
    executor_fleet_update(fleet, 2000);
    g_assert_cmpstr(executor->id, ==, "x0");
    executor->entry_ms = 0;
    executor_fleet_update(fleet, 1499);
    g_assert_cmpstr(executor->id, ==, "x0");
    executor_fleet_update(fleet, 2100);
    g_assert_cmpstr(executor->id, ==, "x0-1");
    g_assert_null(executor_find(fleet, "x0"));
    g_assert_true(executor_find(fleet, "x0-1") == executor);
    g_assert_true(executor_has_left(fleet, "x0"));
    g_assert_false(executor_has_left(fleet, "x0-1"));
    g_assert_false(executor_has_left(fleet, "x1"));
    g_assert_false(executor_is_silent(executor, 2100));
    g_assert_cmpint(executor->epoch, ==, 0);
    g_assert_cmpint(executor->incarnation_start_ms, ==, 2100);
    executor_fleet_free(fleet);
}

/* Departures count as crashes under the tasks that were at work. */
static void
test_departures_under_a_task(void)
{
    executor_fleet_t *fleet = executor_fleet_new(
        &(executor_fleet_desc_t){.executors = 2, .cpu_milli = 1000});
    executor_job_submitted(fleet, "a", 1, 100, 60000, false, false);
    for (uint32_t i = 0; i < 2; i++) {
        g_assert_false(executor_job_may_fail(fleet, "a"));
        executor_order_t order = {.task = "a.0.0.0",
                                  .run = i + 1,
                                  .epoch = 1,
                                  .expiry_ms = 1000 + LEASE_TEST_MS,
                                  .checkpoint = ""};
        const char *reason = NULL;
        executor_start(fleet, executor_at(fleet, i), &order, 1000, &reason);
        executor_leave(fleet, i, 60000, 1100);
    }
    g_assert_true(executor_job_may_fail(fleet, "a"));
    executor_fleet_free(fleet);
}

/* Returns the status of a POST, or 0 without a response in time. */
static long
post(const char *path, const char *instance, const char *body)
{
    char url[128];
    g_snprintf(url, sizeof(url), "http://127.0.0.1:%d%s", PORT, path);
    char header[64];
    g_snprintf(header, sizeof(header), "Expected-Instance: %s", instance);
    struct curl_slist *headers = curl_slist_append(NULL, header);
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, ignore_body);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    long status = 0;
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_easy_cleanup(easy);
    curl_slist_free_all(headers);
    return status;
}

/* Nothing responds for an executor that has left, also after its entry. */
static void
test_orders_to_one_that_has_left(void)
{
    platform_t *platform = new_platform(2);
    wait_for_entry(platform, 0, true, SLACK_MS);
    g_assert_cmpint(post("/hold", "x0", "{}"), ==, 200);
    platform_lock(platform);
    nm_ms_t now_ms = platform_now(platform);
    executor_leave(platform_fleet(platform), 0, now_ms, now_ms);
    platform_unlock(platform);
    g_assert_true(has_entry(platform, 0));
    g_assert_cmpint(post("/hold", "x0", "{}"), ==, 0);
    wait_for_entry(platform, 0, false, ENTRY_TEST_MS + SLACK_MS);
    sleep_ms(HEARTBEAT_TEST_MS + SLACK_MS);
    g_assert_false(has_entry(platform, 0));
    platform_lock(platform);
    char *value = platform_get(platform, "servers/x0-1");
    platform_unlock(platform);
    g_assert_nonnull(value);
    g_free(value);
    g_assert_cmpint(post("/hold", "x0", "{}"), ==, 0);
    g_assert_cmpint(post("/hold", "x0-1", "{}"), ==, 200);
    g_assert_cmpint(post("/hold", "x9", "{}"), ==,
                    EXECUTOR_STATUS_WRONG_INCARNATION);
    platform_free(platform);
}

static void
test_revoked_lease(void)
{
    platform_t *platform = new_platform(1);
    g_assert_cmpint(post("/kv-lease", "", "{\"ttlMs\":60000}"), ==, 200);
    g_assert_cmpint(post("/kv-txn", "",
                         "{\"puts\":[{\"key\":\"a/b\",\"value\":\"MQ==\","
                         "\"lease\":1},{\"key\":\"a/c\",\"value\":"
                         "\"MQ==\"}]}"),
                    ==, 200);
    g_assert_cmpint(post("/kv-keep/1", "", "{}"), ==, 200);
    platform_lock(platform);
    platform_revoke(platform, "a/c"); /* has no lease */
    platform_revoke(platform, "a/d"); /* does not exist */
    platform_unlock(platform);
    g_assert_cmpint(post("/kv-keep/1", "", "{}"), ==, 200);
    platform_lock(platform);
    platform_revoke(platform, "a/b");
    char *revoked = platform_get(platform, "a/b");
    char *other = platform_get(platform, "a/c");
    platform_unlock(platform);
    g_assert_null(revoked);
    g_assert_nonnull(other);
    g_free(other);
    g_assert_cmpint(post("/kv-keep/1", "", "{}"), ==, 404);
    platform_free(platform);
}

typedef struct {
    const char *name;
    const char *label;  /* that the job requires */
    int64_t used_milli; /* of each executor, by another job */
    bool entries;       /* executors are announced */
    bool at_work;       /* a task of the job runs */
    bool is_idle;
} idle_case_t;

static const idle_case_t idle_cases[] = {
    {"room", NULL, 0, true, false, true},
    {"room at a label", "b", 0, true, false, true},
    {"at work", NULL, 0, true, true, false},
    {"no such label", "c", 0, true, false, false},
    {"almost half of the service in use", NULL, 499, true, false, true},
    {"half of the service in use", NULL, 500, true, false, false},
    {"no executor announced", NULL, 0, false, false, false},
};

/* Only notes in a row add up to the time for which a job is idle. */
static void
test_idle_jobs(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(idle_cases); i++) {
        const idle_case_t *c = &idle_cases[i];
        g_test_message("%s", c->name);
        executor_fleet_t *fleet = executor_fleet_new(&(executor_fleet_desc_t){
            .executors = EXECUTOR_KINDS, .cpu_milli = 1000});
        executor_job_submitted(fleet, "a", 2, 100, 60000, false, false);
        executor_job_routed(fleet, "a", "s", c->label, 0);
        executor_job_submitted(fleet, "b", 2, c->used_milli, 60000, false,
                               false);
        const char *reason = NULL;
        for (uint32_t k = 0; k < EXECUTOR_KINDS; k++) {
            char task[32];
            g_snprintf(task, sizeof(task), "b.0.0.%u", k);
            executor_order_t order = {.task = task,
                                      .run = 1,
                                      .epoch = 1,
                                      .expiry_ms = 10000,
                                      .checkpoint = ""};
            executor_start(fleet, executor_at(fleet, k), &order, 1000,
                           &reason);
            executor_at(fleet, k)->entry_ms = c->entries ? 1000 : 0;
        }
        if (c->at_work) {
            executor_order_t order = {.task = "a.0.0.0",
                                      .run = 1,
                                      .epoch = 1,
                                      .expiry_ms = 10000,
                                      .checkpoint = ""};
            executor_start(fleet, executor_at(fleet, 0), &order, 1000,
                           &reason);
        }
        executor_fleet_note_idle_jobs(fleet, 1000);
        g_assert_cmpint(executor_job_idle_ms(fleet, "a"), ==, 0);
        executor_fleet_note_idle_jobs(fleet, 3000);
        g_assert_cmpint(executor_job_idle_ms(fleet, "a"), ==,
                        c->is_idle ? 2000 : 0);
        for (uint32_t k = 0; k < EXECUTOR_KINDS; k++) {
            executor_leave(fleet, k, 60000, 3100);
        }
        executor_fleet_note_idle_jobs(fleet, 3200);
        g_assert_cmpint(executor_job_idle_ms(fleet, "a"), ==, 0);
        executor_fleet_free(fleet);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/soak-platform/modes", test_modes);
    g_test_add_func("/soak-platform/entries-stay-in-outage",
                    test_entries_stay_in_outage);
    g_test_add_func("/soak-platform/entries-expire-in-outage",
                    test_entries_expire_in_outage);
    g_test_add_func("/soak-platform/cut-executor-lives-on",
                    test_cut_executor_lives_on);
    g_test_add_func("/soak-platform/crashes-under-a-task",
                    test_crashes_under_a_task);
    g_test_add_func("/soak-platform/crash-of-a-long-run",
                    test_crash_of_a_long_run);
    g_test_add_func("/soak-platform/attempts-of-a-task",
                    test_attempts_of_a_task);
    g_test_add_func("/soak-platform/ack-after-the-lease",
                    test_ack_after_the_lease);
    g_test_add_func("/soak-platform/route-of-starts", test_route_of_starts);
    g_test_add_func("/soak-platform/restarts-as-another-kind",
                    test_restarts_as_another_kind);
    g_test_add_func("/soak-platform/entry-shows-the-kind",
                    test_entry_shows_the_kind);
    g_test_add_func("/soak-platform/clocks-differ", test_clocks_differ);
    g_test_add_func("/soak-platform/executor-leaves-for-good",
                    test_executor_leaves_for_good);
    g_test_add_func("/soak-platform/departures-under-a-task",
                    test_departures_under_a_task);
    g_test_add_func("/soak-platform/orders-to-one-that-has-left",
                    test_orders_to_one_that_has_left);
    g_test_add_func("/soak-platform/revoked-lease", test_revoked_lease);
    g_test_add_func("/soak-platform/idle-jobs", test_idle_jobs);
    return g_test_run();
}
