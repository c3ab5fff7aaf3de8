/*
 * Which host becomes the owner: hosts of different size and distance from the
 * store, after the owner was lost.
 */
#include <string.h>

#include <glib.h>

#include "lib_entry_host.h"

typedef struct {
    double cpu_share;
    nm_ms_t store_latency_ms;
} member_t;

static void
run_hosts(host_t *hosts, uint32_t count, nm_ms_t duration_ms)
{
    for (nm_ms_t t = 0; t < duration_ms; t += 10) {
        for (uint32_t i = 0; i < count; i++) {
            run_host(&hosts[i], 10);
        }
    }
}

static void
init_member(host_t *host, const char *name, const member_t *member,
            fake_kv_t *kv)
{
    host_init(host, name, kv);
    host->entry->desc.cpu_share = member->cpu_share;
}

/*
 * A small host near the store must not win against a remote one that can bear
 * the fleet; among hosts of about the same size the nearer one must.
 */
static void
test_small_host_does_not_win(void)
{
    static const struct {
        const char *name;
        member_t near;
        member_t far;
        const char *owner;
    } cases[] = {
        {"far one is larger", {0.069, 4}, {0.5, 64}, "\"name\":\"far\""},
        {"same size", {0.1, 4}, {0.1, 64}, "\"name\":\"near\""},
        {"near one is larger", {0.5, 4}, {0.069, 64}, "\"name\":\"near\""},
        {"a bit smaller", {0.4, 4}, {0.5, 64}, "\"name\":\"near\""},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t first;
        host_t hosts[2];
        member_t largest = {
            MAX(cases[i].near.cpu_share, cases[i].far.cpu_share), 4};
        init_member(&first, "first", &largest, kv);
        run_host(&first, 1000);
        init_member(&hosts[0], "near", &cases[i].near, kv);
        init_member(&hosts[1], "far", &cases[i].far, kv);
        for (int round = 0; round < 100; round++) {
            run_host(&first, 10);
            run_hosts(hosts, 2, 10);
        }
        g_assert_nonnull(
            strstr(fake_kv_value(kv, OWNER_KEY), "\"name\":\"first\""));
        hosts[0].entry->control_feed.min_list_latency_ms =
            cases[i].near.store_latency_ms;
        hosts[1].entry->control_feed.min_list_latency_ms =
            cases[i].far.store_latency_ms;
        fake_kv_end_calls(kv);
        host_finish(&first);
        fake_kv_put(kv, OWNER_KEY, NULL);
        run_hosts(hosts, 2, 1000);
        g_assert_nonnull(fake_kv_value(kv, OWNER_KEY));
        g_assert_nonnull(strstr(fake_kv_value(kv, OWNER_KEY), cases[i].owner));
        host_finish(&hosts[0]);
        host_finish(&hosts[1]);
        fake_kv_free(kv);
    }
}

static void
add_workers(fake_kv_t *kv, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        char key[32];
        g_snprintf(key, sizeof(key), "servers/w%u", i);
        fake_kv_put(kv, key, WORKER);
    }
}

/*
 * A small host became the owner while the large one was away, and lags.  It
 * must step down for one with clearly more CPU, and only for such a one; not
 * if the hand-over before brought it in; and be no candidate for a while.
 */
static void
test_lagging_owner_yields(void)
{
    enum { LATE = 5, IN_TIME = 0 };
    static const struct {
        const char *name;
        double other_cpu_share;
        uint32_t late_lines;
        const char *yielded_epoch;
        bool yields;
    } cases[] = {
        {"larger host", 0.5, LATE, NULL, true},
        {"in time", 0.5, IN_TIME, NULL, false},
        {"no larger host", 0.1, LATE, NULL, false},
        {"by a hand-over", 0.5, LATE, "1", false},
        {"long after one", 0.5, LATE, "-3", true},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, EPOCH_KEY, "1");
        add_workers(kv, 101);
        host_t hosts[2];
        const member_t small = {0.069, 4};
        const member_t other = {cases[i].other_cpu_share, 4};
        init_member(&hosts[0], "small", &small, kv);
        run_host(&hosts[0], 700);
        init_member(&hosts[1], "other", &other, kv);
        if (cases[i].yielded_epoch) {
            fake_kv_put(kv, NM_KEY_YIELDED, cases[i].yielded_epoch);
        }
        run_hosts(hosts, 2, 300);
        /* Its tasks' orders go through a carrier. */
        fake_kv_put(kv, JOB_KEY, RECORD);
        run_hosts(hosts, 2, 100);
        g_assert_cmpint(hosts[0].entry->owned_epoch, ==, 2);
        g_assert_cmpint(hosts[0].entry->role, ==, NM_ROLE_OWNER);
        hosts[0].entry->load.late_lines = cases[i].late_lines;
        run_hosts(hosts, 2, 500);
        const char *owner =
            cases[i].yields ? "\"name\":\"other\"" : "\"name\":\"small\"";
        g_assert_nonnull(fake_kv_value(kv, OWNER_KEY));
        g_assert_nonnull(strstr(fake_kv_value(kv, OWNER_KEY), owner));
        if (cases[i].yields) {
            g_assert_cmpint(hosts[1].entry->role, ==, NM_ROLE_OWNER);
            g_assert_cmpint(nm_sched_query_job(hosts[1].entry->sched, JOB), !=,
                            NM_JOB_UNKNOWN);
            g_assert_cmpstr(fake_kv_value(kv, NM_KEY_YIELDED), ==, "2");
        }
        host_finish(&hosts[0]);
        host_finish(&hosts[1]);
        fake_kv_free(kv);
    }
}

/*
 * The owner is lost while the connection of the other host's watch has gone
 * silent for good.  With the lease of the owner key, tasks must not wait for
 * longer than the 6 s that the rules allow.
 */
static void
test_silent_watch_delays_no_election(void)
{
    enum { LEASE_MS = 1500, IDLE_MAX_MS = 6000, LIMIT_MS = 20000 };
    fake_kv_t *kv = configured_store();
    host_t hosts[2];
    const member_t member = {0.5, 4};
    init_member(&hosts[0], "first", &member, kv);
    run_host(&hosts[0], 1000);
    init_member(&hosts[1], "second", &member, kv);
    run_hosts(hosts, 2, 1000);
    g_assert_cmpint(hosts[0].entry->role, ==, NM_ROLE_OWNER);
    fake_kv_stall_watches(kv, NM_KEY_CONTROL, &hosts[1].clock);
    fake_kv_put(kv, OWNER_KEY, NULL);
    nm_ms_t vacant_ms = 0;
    while (hosts[1].entry->role != NM_ROLE_OWNER && vacant_ms < LIMIT_MS) {
        run_host(&hosts[1], 10);
        vacant_ms += 10;
    }
    g_test_message("owner after %d ms", (int)vacant_ms);
    g_assert_cmpint(vacant_ms, <=, IDLE_MAX_MS - LEASE_MS);
    host_finish(&hosts[0]);
    host_finish(&hosts[1]);
    fake_kv_free(kv);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/entry/small-host-does-not-win",
                    test_small_host_does_not_win);
    g_test_add_func("/entry/lagging-owner-yields", test_lagging_owner_yields);
    g_test_add_func("/entry/silent-watch-delays-no-election",
                    test_silent_watch_delays_no_election);
    return g_test_run();
}
