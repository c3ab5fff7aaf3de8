/*
 * Authority of the owner: an owner that is cut off from the store must not
 * renew leases while the next owner starts the same tasks elsewhere.
 */
#include <string.h>

#include <glib.h>

#include "../src/order_limiter.h"
#include "../src/quorum.h"
#include "lib_entry_host.h"
#include "lib_kv_proxy.h"

#define WORKERS 5
#define FULL_RECORD                                                           \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":10,\"cpu_milli\":8000}]}"
/* An ended job, and its record by an owner that saw workers restart. */
#define ENDED_JOB "5c0e7a21d94b36f9"
#define ENDED_PROGRESS                                                        \
    "{\"version\":1,\"state\":\"cancelled\",\"ids_reused\":true}"
#define SMALL_RECORD                                                          \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":10,\"cpu_milli\":100}]}"
#define MAJORITY 3
#define MINORITY 2
/* Time within which an owner must have lost its authority. */
#define AUTHORITY_END_MS 1100

static void
add_workers(fake_kv_t *kv)
{
    for (int i = 0; i < WORKERS; i++) {
        char key[32];
        g_snprintf(key, sizeof(key), "servers/w%d", i);
        fake_kv_put(kv, key, WORKER);
    }
}

/* Leaves a number of the workers in reach. */
static void
cut_workers(host_t *host, int reachable)
{
    host->orders.out_of_reach =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = reachable; i < WORKERS; i++) {
        g_hash_table_add(host->orders.out_of_reach, g_strdup_printf("w%d", i));
    }
}

static void
finish_host(host_t *host)
{
    g_hash_table_destroy(host->orders.out_of_reach);
    host_finish(host);
}

/* Without the store, only a majority of the workers lets an owner go on. */
static void
test_cut_off_owner_renews_no_lease(void)
{
    static const struct {
        const char *name;
        int reachable;
        bool store_cut;
        nm_ms_t suspended_ms;
        nm_ms_t after_ms;
        bool renews;
    } cases[] = {
        {"minority, no store", MINORITY, true, 0, AUTHORITY_END_MS, false},
        {"minority, store", MINORITY, false, 0, AUTHORITY_END_MS, true},
        {"majority, no store", MAJORITY, true, 0, AUTHORITY_END_MS, true},
        {"majority, no store for 50 s", MAJORITY, true, 0, 50000, true},
        {"majority, no store for 61 s", MAJORITY, true, 0, 61000, false},
        {"suspended, minority, no store", MINORITY, true, 2000, 0, false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        add_workers(kv);
        host_t host;
        fake_kv_proxy_t proxy;
        host_init_with_kv(&host, "a", "inproc://a", kv,
                          fake_kv_proxy_init(&proxy, fake_kv_port(kv)));
        run_host(&host, 1000);
        fake_kv_put(kv, JOB_KEY, FULL_RECORD);
        run_host(&host, 3000);
        g_assert_cmpuint(host.orders.starts, ==, 2 * WORKERS);
        proxy.disconnected = cases[i].store_cut;
        cut_workers(&host, cases[i].reachable);
        host.clock.manual_suspended_ms += cases[i].suspended_ms;
        run_host(&host, cases[i].after_ms);
        uint32_t renewals = host.orders.renewals;
        run_host(&host, 3000);
        g_assert_cmpint(host.orders.renewals > renewals, ==, cases[i].renews);
        finish_host(&host);
        fake_kv_free(kv);
    }
}

/*
 * Load: the store is back after an outage in which all entries of workers have
 * expired, and is away again before they are back.  The workers respond to the
 * owner all the while, so that it must go on renewing their leases.
 */
static void
test_expired_entries_end_no_authority(void)
{
    enum { BACK_MS = 500, AWAY_MS = 8000, LEASE_MS = 7000 };
    fake_kv_t *kv = configured_store();
    add_workers(kv);
    host_t host;
    fake_kv_proxy_t proxy;
    host_init_with_kv(&host, "a", "inproc://a", kv,
                      fake_kv_proxy_init(&proxy, fake_kv_port(kv)));
    run_host(&host, 1000);
    fake_kv_put(kv, JOB_KEY, FULL_RECORD);
    run_host(&host, 3000);
    g_assert_cmpuint(host.orders.starts, ==, 2 * WORKERS);
    for (int i = 0; i < WORKERS; i++) {
        char key[32];
        g_snprintf(key, sizeof(key), "servers/w%d", i);
        fake_kv_put(kv, key, NULL);
    }
    run_host(&host, BACK_MS);
    proxy.disconnected = true;
    run_host(&host, AWAY_MS - LEASE_MS);
    uint32_t renewals = host.orders.renewals;
    run_host(&host, LEASE_MS);
    g_assert_cmpuint(host.orders.renewals, >, renewals);
    g_assert_true(host.entry->authority.held);
    host_finish(&host);
    fake_kv_free(kv);
}

/*
 * The next owner must wait for the authority of the former one to end: shortly
 * after a majority has responded, else for as long as a majority may give it.
 */
static void
test_successor_waits_for_a_majority(void)
{
    static const struct {
        const char *name;
        int reachable;
        nm_ms_t from_ms;
        nm_ms_t to_ms;
    } cases[] = {
        {"all", WORKERS, 1000, 1500},
        {"majority", MAJORITY, 1000, 1500},
        {"minority", MINORITY, 60000, 60000},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        add_workers(kv);
        host_t former;
        host_init(&former, "a", kv);
        run_host(&former, 4000);
        g_assert_nonnull(fake_kv_value(kv, NM_KEY_WITNESSES));
        fake_kv_end_calls(kv);
        host_finish(&former);
        fake_kv_put(kv, OWNER_KEY, NULL);
        host_t next;
        host_init(&next, "b", kv);
        cut_workers(&next, cases[i].reachable);
        run_host(&next, 2000);
        g_assert_cmpint(next.entry->role, ==, NM_ROLE_OWNER);
        const nm_authority_t *authority = &next.entry->authority;
        nm_ms_t wait_ms = authority->former_until_ms - authority->elected_ms;
        g_assert_cmpint(wait_ms, >=, cases[i].from_ms);
        g_assert_cmpint(wait_ms, <=, cases[i].to_ms);
        finish_host(&next);
        fake_kv_free(kv);
    }
}

/* Announces a worker at an address of its own. */
static void
add_worker_at(fake_kv_t *kv, const char *id, int machine)
{
    char key[32];
    char value[256];
    g_snprintf(key, sizeof(key), "servers/%s", id);
    g_snprintf(value, sizeof(value),
               "{\"service\":\"s\",\"address\":\"10.0.0.%d:80\","
               "\"zone\":\"z\",\"state\":\"ready\","
               "\"capacity\":{\"cpu\":16000,\"memMb\":1000},"
               "\"labels\":[\"a\",\"r1\"],\"sequence\":100000,\"born\":1}",
               machine);
    fake_kv_put(kv, key, value);
}

/*
 * Load: more than half of the workers have crashed around the loss of the
 * owner.  One whose address another worker has can confirm no former owner;
 * one that is silent may.
 */
static void
test_ended_witnesses_delay_no_successor(void)
{
    static const struct {
        const char *name;
        int replaced;
        int silent; /* besides, without an entry */
        bool shared_address;
        nm_ms_t from_ms;
        nm_ms_t to_ms;
    } cases[] = {
        {"three replaced", 3, 0, false, 1000, 1500},
        {"all replaced", WORKERS, 0, false, 1000, 1500},
        {"one replaced, two silent", 1, 2, false, 1000, 1500},
        {"three silent", 0, 3, false, 60000, 60000},
        {"two replaced, three silent", 2, 3, false, 60000, 60000},
        {"three replaced at one address", 3, 0, true, 60000, 60000},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        GHashTable *replaced =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
        for (int w = 0; w < WORKERS; w++) {
            char id[8];
            g_snprintf(id, sizeof(id), "w%d", w);
            add_worker_at(kv, id, cases[i].shared_address ? 0 : w);
        }
        host_t former;
        host_init(&former, "a", kv);
        run_host(&former, 4000);
        fake_kv_end_calls(kv);
        host_finish(&former);
        fake_kv_put(kv, OWNER_KEY, NULL);
        for (int n = 0; n < cases[i].replaced + cases[i].silent; n++) {
            int w = WORKERS - 1 - n;
            char key[32];
            g_snprintf(key, sizeof(key), "servers/w%d", w);
            fake_kv_put(kv, key, NULL);
            if (n >= cases[i].silent) {
                char id[8];
                g_snprintf(id, sizeof(id), "n%d", w);
                add_worker_at(kv, id, cases[i].shared_address ? 0 : w);
                g_hash_table_add(replaced, g_strdup_printf("w%d", w));
            }
        }
        host_t next;
        host_init(&next, "b", kv);
        next.orders.replaced = replaced;
        cut_workers(&next, WORKERS - cases[i].silent);
        run_host(&next, 2000);
        g_assert_cmpint(next.entry->role, ==, NM_ROLE_OWNER);
        const nm_authority_t *authority = &next.entry->authority;
        nm_ms_t wait_ms = authority->former_until_ms - authority->elected_ms;
        g_assert_cmpint(wait_ms, >=, cases[i].from_ms);
        g_assert_cmpint(wait_ms, <=, cases[i].to_ms);
        finish_host(&next);
        g_hash_table_destroy(replaced);
        fake_kv_free(kv);
    }
}

/*
 * Load: more than half of the workers are gone for good around the loss of the
 * owner, and nothing has their addresses.  The list of machines shows which of
 * them have ended.
 */
static void
test_list_of_machines_ends_the_wait(void)
{
    static const struct {
        const char *name;
        int silent;
        int listed; /* of these; they may still confirm the former owner */
        int rc;
        uint32_t pages;
        nm_ms_t from_ms;
        nm_ms_t to_ms;
    } cases[] = {
        {"three gone", 3, 0, NM_OK, 1, 1000, 3500},
        {"four gone", 4, 0, NM_OK, 1, 1000, 3500},
        {"three gone, several pages", 3, 0, NM_OK, 2, 1000, 5500},
        {"four silent, one gone", 4, 3, NM_OK, 1, 60000, 60000},
        {"three silent, all listed", 3, 3, NM_OK, 1, 60000, 60000},
        {"three gone, no list", 3, 0, NM_ERR_UNAVAILABLE, 1, 60000, 60000},
        {"three gone, malformed list", 3, 0, NM_ERR_CORRUPT, 1, 60000, 60000},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        fake_machines_t machines;
        fake_machines_init(&machines);
        machines.rc = cases[i].rc;
        machines.pages = cases[i].pages;
        for (int w = 0; w < WORKERS; w++) {
            char id[8];
            g_snprintf(id, sizeof(id), "w%d", w);
            add_worker_at(kv, id, w);
            if (w < WORKERS - cases[i].silent + cases[i].listed) {
                fake_machines_add(&machines, id);
            }
        }
        host_t former;
        host_init(&former, "a", kv);
        run_host(&former, 4000);
        fake_kv_end_calls(kv);
        host_finish(&former);
        fake_kv_put(kv, OWNER_KEY, NULL);
        for (int n = 0; n < cases[i].silent; n++) {
            char key[32];
            g_snprintf(key, sizeof(key), "servers/w%d", WORKERS - 1 - n);
            fake_kv_put(kv, key, NULL);
        }
        host_t next;
        host_init_with_machines(&next, "b", kv, &machines);
        cut_workers(&next, WORKERS - cases[i].silent);
        run_host(&next, 6000);
        g_assert_cmpint(next.entry->role, ==, NM_ROLE_OWNER);
        const nm_authority_t *authority = &next.entry->authority;
        nm_ms_t wait_ms = authority->former_until_ms - authority->elected_ms;
        g_assert_cmpint(wait_ms, >=, cases[i].from_ms);
        g_assert_cmpint(wait_ms, <=, cases[i].to_ms);
        finish_host(&next);
        fake_machines_finish(&machines);
        fake_kv_free(kv);
    }
}

/*
 * Load: a new owner reads stored records for 3 s.  Until the workers have
 * responded to it, a majority of them gives the former owner authority, so
 * that the wait must count from there and not from the election.
 */
static void
test_slow_reading_does_not_shorten_the_wait(void)
{
    enum { READING_MS = 3000, AUTHORITY_MS = 1000 };
    fake_kv_t *kv = configured_store();
    add_workers(kv);
    host_t former;
    host_init(&former, "a", kv);
    run_host(&former, 4000);
    fake_kv_end_calls(kv);
    host_finish(&former);
    fake_kv_put(kv, OWNER_KEY, NULL);
    host_t next;
    host_init(&next, "b", kv);
    for (int i = 0; i < 200 && next.entry->role != NM_ROLE_LOADING; i++) {
        run_host(&next, 10);
    }
    g_assert_cmpint(next.entry->role, ==, NM_ROLE_LOADING);
    fake_kv_set_mode(kv, FAKE_KV_UNRESPONSIVE);
    run_host(&next, READING_MS);
    g_assert_cmpint(next.entry->role, ==, NM_ROLE_LOADING);
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    run_host(&next, 1000);
    g_assert_cmpint(next.entry->role, ==, NM_ROLE_OWNER);
    const nm_authority_t *authority = &next.entry->authority;
    g_assert_true(authority->former_over);
    g_assert_cmpint(authority->former_until_ms - authority->elected_ms, >=,
                    READING_MS + AUTHORITY_MS);
    host_finish(&next);
    fake_kv_free(kv);
}

/*
 * A worker has been silent for some time when its owner is told to stop.  The
 * next owner must not wait for longer than the former one would have, and no
 * less.
 */
static void
test_hand_over_passes_on_leases(void)
{
    enum { SILENT_MS = 5000, LEASE_MS = 7000, WAIT_MAX_MS = 4000 };
    fake_kv_t *kv = configured_store();
    add_workers(kv);
    host_t former;
    host_init(&former, "a", kv);
    run_host(&former, 1000);
    fake_kv_put(kv, JOB_KEY, FULL_RECORD);
    run_host(&former, 3000);
    g_assert_cmpuint(former.orders.starts, ==, 2 * WORKERS);
    cut_workers(&former, WORKERS - 1);
    run_host(&former, SILENT_MS);
    host_t next;
    host_init(&next, "b", kv);
    cut_workers(&next, WORKERS - 1);
    run_host(&next, 200);
    nm_entry_stop(former.entry);
    nm_ms_t waited_ms = 0;
    for (; waited_ms < 2 * LEASE_MS && next.orders.starts == 0;
         waited_ms += 10) {
        run_host(&former, 10);
        run_host(&next, 10);
    }
    g_assert_cmpint(waited_ms, <, WAIT_MAX_MS);
    g_assert_cmpint(waited_ms, >=, LEASE_MS - SILENT_MS - 1000);
    finish_host(&next);
    finish_host(&former);
    fake_kv_free(kv);
}

/*
 * A start is on its way as its owner is told to stop.  Workers come back under
 * their ids, so that the call may be carried out by a later incarnation, which
 * has seen no newer epoch: the next owner must not start the task elsewhere.
 */
static void
test_hand_over_passes_on_starts_in_flight(void)
{
    enum { IN_FLIGHT_MS = 100, LATE_START_MS = 12000, WAIT_MAX_MS = 16000 };
    static const struct {
        const char *name;
        bool ids_reused;
        bool answered;
        nm_ms_t wait_ms_min;
    } cases[] = {
        {"no worker has restarted", false, false, 0},
        {"start answered", true, true, 0},
        {"start in flight", true, false, LATE_START_MS - IN_FLIGHT_MS},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "servers/w0", WORKER);
        if (cases[i].ids_reused) {
            fake_kv_put(kv, "nutmegdeck/jobs/" ENDED_JOB, RECORD);
            fake_kv_put(kv, NM_KEY_PROGRESS ENDED_JOB, ENDED_PROGRESS);
        }
        host_t former;
        host_init(&former, "a", kv);
        run_host(&former, 1000);
        host_t next;
        host_init(&next, "b", kv);
        run_host(&next, 200);
        former.orders.holds_starts = !cases[i].answered;
        fake_kv_put(kv, JOB_KEY, RECORD);
        run_host(&former, IN_FLIGHT_MS);
        g_assert_cmpuint(
            former.orders.starts + former.orders.held_starts.length, ==, 2);
        nm_entry_stop(former.entry);
        nm_ms_t waited_ms = 0;
        for (; waited_ms < WAIT_MAX_MS && next.orders.starts == 0;
             waited_ms += 10) {
            run_host(&former, 10);
            run_host(&next, 10);
        }
        g_assert_cmpint(waited_ms, >=, cases[i].wait_ms_min);
        g_assert_cmpint(waited_ms, <, WAIT_MAX_MS);
        host_finish(&next);
        host_finish(&former);
        fake_kv_free(kv);
    }
}

/*
 * Starts wait for the responses of others to the same worker as their owner
 * loses its term.  The worker restarts, so that it has seen no newer epoch:
 * they must not be sent any more.
 */
static void
test_waiting_starts_end_with_the_term(void)
{
    enum { TASKS = 10 };
    static const struct {
        const char *name;
        bool replaced;
        uint32_t sent;
    } cases[] = {
        {"owner", false, TASKS},
        {"former owner", true, NM_WORKER_ORDERS_IN_FLIGHT_MAX},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "servers/w0", WORKER);
        host_t host;
        host_init(&host, "a", kv);
        nm_order_limiter_t limiter;
        host.entry->relay.desc.direct =
            nm_order_limiter_init(&limiter, &host.orders.base, &host.clock);
        run_host(&host, 1000);
        host.orders.holds_starts = true;
        fake_kv_put(kv, JOB_KEY, SMALL_RECORD);
        run_host(&host, 100);
        g_assert_cmpuint(host.orders.held_starts.length, ==,
                         NM_WORKER_ORDERS_IN_FLIGHT_MAX);
        if (cases[i].replaced) {
            nm_term_step_down(host.entry, "replaced");
        }
        host.orders.holds_starts = false;
        fake_orders_release_starts(&host.orders);
        g_assert_cmpuint(host.orders.starts, ==, cases[i].sent);
        host_finish(&host);
        nm_order_limiter_finish(&limiter);
        fake_kv_free(kv);
    }
}

static nm_witness_life_t
make_life(char letter, int64_t incarnation, const char *address)
{
    nm_witness_life_t life = {.id = {letter}, .incarnation = incarnation};
    nm_strcopy(life.address, sizeof(life.address), address);
    return life;
}

static GPtrArray *
make_list(const char *letters)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    for (; *letters; letters++) {
        nm_witness_life_t life = make_life(*letters, 1, "m1");
        g_ptr_array_add(list, g_memdup2(&life, sizeof(life)));
    }
    return list;
}

/* The time of a majority, of the stored list and of one being stored. */
static void
test_majorities(void)
{
    static const struct {
        const char *stored;
        const char *pending;
        const char *accepted; /* the later, the larger its time */
        nm_ms_t accepted_ms;
    } cases[] = {
        {"", NULL, "", 0},         {"a", NULL, "a", 1},
        {"a", NULL, "", 0},        {"ab", NULL, "b", 0},
        {"ab", NULL, "a", 1},      {"abc", NULL, "a", 0},
        {"abc", NULL, "ab", 1},    {"abc", NULL, "cba", 2},
        {"abcd", NULL, "cd", 0},   {"abcd", NULL, "ad", 1},
        {"abcd", NULL, "bcd", 1},  {"abc", "cde", "ab", 0},
        {"abc", "cde", "abcd", 2},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("case %zu", i);
        nm_quorum_t quorum;
        nm_quorum_init(&quorum);
        nm_quorum_set_stored(&quorum, make_list(cases[i].stored));
        if (cases[i].pending) {
            nm_quorum_set_pending(&quorum, make_list(cases[i].pending));
        }
        nm_ms_t time_ms = 1;
        for (const char *c = cases[i].accepted; *c; c++) {
            nm_witness_life_t life = make_life(*c, 1, "m1");
            nm_quorum_set_worker(&quorum, &life, 0);
            nm_quorum_on_accepted(&quorum, &life, time_ms++, 0);
        }
        g_assert_cmpint(nm_quorum_accepted_ms(&quorum), ==,
                        cases[i].accepted_ms);
        nm_quorum_finish(&quorum);
    }
}

/* A worker that restarted while the owner was cut off knows no epochs. */
static void
test_restarted_witness_counts_for_nothing(void)
{
    static const struct {
        int64_t incarnation;
        nm_ms_t announced_ms;
        nm_ms_t accepted_ms;
    } cases[] = {
        {1, 50, 200}, /* announced, then confirmed by the store */
        {2, 50, 0},   /* restarted, not announced */
        {1, 150, 0},  /* announced after the store's last confirmation */
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("case %zu", i);
        nm_quorum_t quorum;
        nm_quorum_init(&quorum);
        nm_quorum_set_stored(&quorum, make_list("a"));
        nm_witness_life_t announced = make_life('a', 1, "m1");
        nm_quorum_set_worker(&quorum, &announced, cases[i].announced_ms);
        nm_witness_life_t accepted =
            make_life('a', cases[i].incarnation, "m1");
        nm_quorum_on_accepted(&quorum, &accepted, 200, 100);
        g_assert_cmpint(nm_quorum_accepted_ms(&quorum), ==,
                        cases[i].accepted_ms);
        nm_quorum_finish(&quorum);
    }
}

/*
 * A successor takes a listed witness for ended once another worker responds at
 * its address.  So an owner may count a later incarnation of it, or one at
 * another address, only once the list that names it is stored.
 */
static void
test_unlisted_incarnation_counts_for_nothing(void)
{
    static const struct {
        const char *name;
        int64_t incarnation;
        const char *address;
        bool listed; /* a list that names it is stored */
        nm_ms_t accepted_ms;
    } cases[] = {
        {"as listed", 1, "m1", false, 200},
        {"restarted", 2, "m1", false, 0},
        {"restarted, listed", 2, "m1", true, 200},
        {"at another address", 1, "m2", false, 0},
        {"at another address, listed", 1, "m2", true, 200},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_quorum_t quorum;
        nm_quorum_init(&quorum);
        nm_quorum_set_stored(&quorum, make_list("a"));
        nm_witness_life_t life =
            make_life('a', cases[i].incarnation, cases[i].address);
        nm_quorum_set_worker(&quorum, &life, 50);
        if (cases[i].listed) {
            GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
            g_ptr_array_add(list, g_memdup2(&life, sizeof(life)));
            nm_quorum_set_pending(&quorum, list);
            nm_quorum_confirm_pending(&quorum);
        }
        nm_quorum_on_accepted(&quorum, &life, 200, 100);
        g_assert_cmpint(nm_quorum_accepted_ms(&quorum), ==,
                        cases[i].accepted_ms);
        nm_quorum_finish(&quorum);
    }
}

/* Only a proof about the listed incarnation at its own address counts. */
static void
test_proof_of_another_incarnation_resolves_nothing(void)
{
    static const struct {
        const char *name;
        const char *stored; /* text of the list */
        int64_t announced;  /* incarnation; 0: none */
        int64_t replaced;   /* incarnation that was called */
        const char *address;
        bool resolved;
    } cases[] = {
        {"as listed", "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]",
         1, 1, "m1", true},
        {"without entry",
         "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]", 0, 1, "m1",
         true},
        {"restarted under its id",
         "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]", 2, 2, "m1",
         false},
        {"called elsewhere",
         "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]", 1, 1, "m2",
         false},
        {"list of an earlier version", "[\"a\"]", 1, 1, "m1", false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_quorum_t quorum;
        nm_quorum_init(&quorum);
        nm_quorum_set_stored(
            &quorum, nm_quorum_decode(cases[i].stored,
                                      (uint32_t)strlen(cases[i].stored)));
        if (cases[i].announced) {
            nm_witness_life_t life = make_life('a', cases[i].announced, "m1");
            nm_quorum_set_worker(&quorum, &life, 50);
        }
        nm_witness_life_t life =
            make_life('a', cases[i].replaced, cases[i].address);
        nm_quorum_on_replaced(&quorum, &life);
        g_assert_cmpint(nm_quorum_has_responded(&quorum), ==,
                        cases[i].resolved);
        nm_quorum_finish(&quorum);
    }
}

/* A list of machines shows the end of the incarnations asked for only. */
static void
test_ended_life_resolves_only_itself(void)
{
    static const struct {
        const char *name;
        const char *stored; /* text of the list */
        int64_t announced;  /* incarnation; 0: none */
        int64_t ended;      /* incarnation that was asked for */
        const char *address;
        bool resolved;
    } cases[] = {
        {"as listed", "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]",
         1, 1, "m1", true},
        {"without entry",
         "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]", 0, 1, "m1",
         true},
        {"a later one has ended",
         "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]", 2, 2, "m1",
         false},
        {"an earlier one has ended",
         "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":2}]", 2, 1, "m1",
         false},
        {"at another address",
         "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]", 1, 1, "m2",
         false},
        {"announced again since",
         "[{\"id\":\"a\",\"address\":\"m1\",\"incarnation\":1}]", 2, 1, "m1",
         true},
        {"list of an earlier version", "[\"a\"]", 0, 0, "", false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_quorum_t quorum;
        nm_quorum_init(&quorum);
        nm_quorum_set_stored(
            &quorum, nm_quorum_decode(cases[i].stored,
                                      (uint32_t)strlen(cases[i].stored)));
        if (cases[i].announced) {
            nm_witness_life_t life = make_life('a', cases[i].announced, "m1");
            nm_quorum_set_worker(&quorum, &life, 50);
        }
        nm_witness_life_t life =
            make_life('a', cases[i].ended, cases[i].address);
        nm_quorum_on_ended(&quorum, &life);
        g_assert_cmpint(nm_quorum_has_responded(&quorum), ==,
                        cases[i].resolved);
        /* One that begins later under the id may confirm a former owner. */
        life = make_life('a', 3, "m1");
        nm_quorum_set_worker(&quorum, &life, 60);
        GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
        g_ptr_array_add(list, g_memdup2(&life, sizeof(life)));
        nm_quorum_set_stored(&quorum, list);
        g_assert_false(nm_quorum_has_responded(&quorum));
        nm_quorum_finish(&quorum);
    }
}

#define MODEL_MACHINES 5
#define MODEL_IDS 12
#define FORMER_EPOCH 1

/* Machines, each with one worker at a time that knows an epoch. */
typedef struct {
    nm_rng_t rng;
    nm_witness_life_t workers[MODEL_MACHINES];
    int epochs[MODEL_MACHINES]; /* highest that the worker has seen */
    int64_t newest_incarnation;
} model_t;

static bool
chance(model_t *model, double share)
{
    return nm_rng_unit(&model->rng) < share;
}

/* Another worker begins there, in half of the cases under an id of before. */
static void
start_worker(model_t *model, int machine)
{
    char id = (char)('a' + nm_rng_below(&model->rng, MODEL_IDS));
    for (int m = 0; m < MODEL_MACHINES; m++) {
        if (m != machine && model->workers[m].id[0] == id) {
            return;
        }
    }
    char address[] = {'m', (char)('0' + machine), '\0'};
    model->workers[machine] =
        make_life(id, ++model->newest_incarnation, address);
    model->epochs[machine] = 0;
}

static void
announce_workers(model_t *model, nm_quorum_t *quorum, nm_ms_t now_ms)
{
    for (int m = 0; m < MODEL_MACHINES; m++) {
        if (chance(model, 0.3)) {
            nm_quorum_set_worker(quorum, &model->workers[m], now_ms);
        }
    }
}

static void
probe_workers(model_t *model, nm_quorum_t *quorum, int epoch, double share,
              nm_ms_t now_ms, nm_ms_t confirmed_ms)
{
    for (int i = 0; i < MODEL_IDS; i++) {
        const char name[] = {(char)('a' + i), '\0'};
        const nm_witness_t *witness = nm_quorum_find(quorum, name);
        if (!witness || !chance(model, share)) {
            continue;
        }
        nm_witness_life_t called = witness->life;
        int machine = called.address[1] - '0';
        const nm_witness_life_t *there = &model->workers[machine];
        if (strcmp(there->id, called.id) != 0) {
            nm_quorum_on_replaced(quorum, &called);
        }
        else if (epoch >= model->epochs[machine]) {
            model->epochs[machine] = epoch;
            called.incarnation = there->incarnation;
            nm_quorum_on_accepted(quorum, &called, now_ms, confirmed_ms);
        }
    }
}

/*
 * A list of machines that is read row by row while workers end and begin; the
 * response comes later.  One that is requested before the election decides on
 * no witness, as none was known.
 */
typedef struct {
    GPtrArray *asked; /* of nm_witness_life_t, known before; NULL: none */
    char shown[MODEL_MACHINES]; /* id on each machine; 0: not read yet */
    int unread;
} model_listing_t;

static void
run_listing(model_t *model, nm_quorum_t *quorum, model_listing_t *listing)
{
    if (!listing->asked) {
        if (!chance(model, 0.3)) {
            return;
        }
        *listing = (model_listing_t){.unread = MODEL_MACHINES};
        listing->asked = g_ptr_array_new_with_free_func(g_free);
        for (guint i = 0; i < quorum->stored->len; i++) {
            g_ptr_array_add(listing->asked,
                            g_memdup2(quorum->stored->pdata[i],
                                      sizeof(nm_witness_life_t)));
        }
    }
    for (int m = 0; m < MODEL_MACHINES; m++) {
        if (listing->shown[m] == 0 && chance(model, 0.2)) {
            listing->shown[m] = model->workers[m].id[0];
            listing->unread--;
        }
    }
    if (listing->unread > 0 || chance(model, 0.5)) {
        return;
    }
    for (guint i = 0; i < listing->asked->len; i++) {
        const nm_witness_life_t *life = listing->asked->pdata[i];
        if (!memchr(listing->shown, life->id[0], MODEL_MACHINES)) {
            nm_quorum_on_ended(quorum, life);
        }
    }
    g_ptr_array_free(listing->asked, TRUE);
    listing->asked = NULL;
}

static GPtrArray *
list_workers(const model_t *model)
{
    GPtrArray *list = g_ptr_array_new_with_free_func(g_free);
    for (int m = 0; m < MODEL_MACHINES; m++) {
        g_ptr_array_add(
            list, g_memdup2(&model->workers[m], sizeof(model->workers[m])));
    }
    return list;
}

/*
 * Workers end and others take their addresses, also under ids of before, while
 * two owners call those that they reach, and the successor, which then reaches
 * few, reads the list of machines.  Once the successor knows a majority, no
 * call of the former owner counts that was sent later.  Returns true if the
 * successor got there.
 */
static bool
play_two_owners(uint64_t seed, bool use_listings)
{
    enum { ELECTION_MS = 20, END_MS = 60 };
    model_t model = {0};
    nm_rng_init(&model.rng, seed);
    for (int m = 0; m < MODEL_MACHINES; m++) {
        do {
            start_worker(&model, m);
        } while (model.workers[m].id[0] == '\0');
    }
    nm_quorum_t former;
    nm_quorum_t next;
    nm_quorum_init(&former);
    nm_quorum_init(&next);
    nm_quorum_set_stored(&former, list_workers(&model));
    char *stored = nm_quorum_encode(former.stored);
    nm_ms_t resolved_ms = 0;
    model_listing_t listing = {0};
    for (nm_ms_t now_ms = 1; now_ms <= END_MS; now_ms++) {
        nm_ms_t confirmed_ms = MIN(now_ms, ELECTION_MS);
        if (chance(&model, 0.3)) {
            start_worker(&model,
                         (int)nm_rng_below(&model.rng, MODEL_MACHINES));
        }
        announce_workers(&model, &former, now_ms);
        if (now_ms < ELECTION_MS && !former.pending &&
            chance(&model, use_listings ? 0.5 : 0.1))
        {
            nm_quorum_set_pending(&former, list_workers(&model));
            announce_workers(&model, &former, now_ms);
            bool responded = chance(&model, 0.5);
            if (responded || chance(&model, 0.5)) {
                free(stored);
                stored = nm_quorum_encode(former.pending);
            }
            if (responded) {
                nm_quorum_confirm_pending(&former);
            }
        }
        probe_workers(&model, &former, FORMER_EPOCH, 0.4, now_ms,
                      confirmed_ms);
        if (now_ms == ELECTION_MS) {
            nm_quorum_set_stored(
                &next, nm_quorum_decode(stored, (uint32_t)strlen(stored)));
        }
        if (now_ms >= ELECTION_MS) {
            announce_workers(&model, &next, now_ms);
            probe_workers(&model, &next, FORMER_EPOCH + 1,
                          use_listings ? 0.02 : 0.4, now_ms, now_ms);
        }
        if (use_listings) {
            run_listing(&model, &next, &listing);
        }
        if (resolved_ms == 0 && now_ms >= ELECTION_MS &&
            nm_quorum_has_responded(&next))
        {
            resolved_ms = now_ms;
        }
        if (resolved_ms > 0) {
            g_assert_cmpint(nm_quorum_accepted_ms(&former), <=, resolved_ms);
        }
    }
    if (listing.asked) {
        g_ptr_array_free(listing.asked, TRUE);
    }
    free(stored);
    nm_quorum_finish(&former);
    nm_quorum_finish(&next);
    return resolved_ms > 0;
}

static void
test_two_owners_have_no_majority_each(void)
{
    enum { SEEDS = 5000 };
    for (int use_listings = 0; use_listings < 2; use_listings++) {
        int resolved = 0;
        for (uint64_t seed = 1; seed <= SEEDS && !g_test_failed(); seed++) {
            resolved += play_two_owners(seed, use_listings);
        }
        g_test_message("list of machines %d: resolved in %d of %d",
                       use_listings, resolved, SEEDS);
        g_assert_cmpint(resolved, >, SEEDS / 2);
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
        {"/authority/cut-off-owner-renews-no-lease",
         test_cut_off_owner_renews_no_lease},
        {"/authority/expired-entries-end-no-authority",
         test_expired_entries_end_no_authority},
        {"/authority/successor-waits-for-a-majority",
         test_successor_waits_for_a_majority},
        {"/authority/ended-witnesses-delay-no-successor",
         test_ended_witnesses_delay_no_successor},
        {"/authority/list-of-machines-ends-the-wait",
         test_list_of_machines_ends_the_wait},
        {"/authority/slow-reading-does-not-shorten-the-wait",
         test_slow_reading_does_not_shorten_the_wait},
        {"/authority/hand-over-passes-on-leases",
         test_hand_over_passes_on_leases},
        {"/authority/hand-over-passes-on-starts-in-flight",
         test_hand_over_passes_on_starts_in_flight},
        {"/authority/waiting-starts-end-with-the-term",
         test_waiting_starts_end_with_the_term},
        {"/authority/majorities", test_majorities},
        {"/authority/restarted-witness-counts-for-nothing",
         test_restarted_witness_counts_for_nothing},
        {"/authority/unlisted-incarnation-counts-for-nothing",
         test_unlisted_incarnation_counts_for_nothing},
        {"/authority/proof-of-another-incarnation-resolves-nothing",
         test_proof_of_another_incarnation_resolves_nothing},
        {"/authority/ended-life-resolves-only-itself",
         test_ended_life_resolves_only_itself},
        {"/authority/two-owners-have-no-majority-each",
         test_two_owners_have_no_majority_each},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
