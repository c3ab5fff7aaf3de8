/*
 * Terms of former owners: how long jobs of which a worker that is gone for
 * good may run tasks stand still after elections.
 */
#include <string.h>

#include <glib.h>

#include "lib_entry_host.h"
#include "lib_kv_proxy.h"

#define WORKERS 5
/* Of these one responds to the next owner: no majority does. */
#define WORKERS_GONE 4
#define FULL_RECORD                                                           \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":10,\"cpu_milli\":8000}]}"
/* Between two elections of a series: a lease of the owner key, three times. */
#define ELECTION_INTERVAL_MS 4500
#define LEASE_MS 7000
/* The same by a clock that is 2% slow, and the scheduler's margin. */
#define LEASE_LAPSE_MS 7400
/* Authority of a former owner, election and reading. */
#define TAKEOVER_MAX_MS 2000
/* Longest time for which an owner has authority without the store. */
#define AUTHORITY_MAX_MS 60000

/* Below the ephemeral ports of the system, above those of the soak. */
#define PORT_MIN 30600
#define PORTS 2000

#define HOSTS_MAX 3

/* Addresses of hosts that can send each other messages. */
typedef struct {
    char of[HOSTS_MAX][64];
} addresses_t;

typedef enum {
    FORMER_LIVES,     /* it responds to other hosts */
    FORMER_RESTARTED, /* another process has its name and address */
    FORMER_MOVED,     /* another process has its name, elsewhere */
    FORMER_PAUSED,    /* its process does not run */
} former_state_t;

static addresses_t
choose_addresses(void)
{
    addresses_t addresses;
    int port = PORT_MIN + (int)(g_random_int() % PORTS);
    for (int i = 0; i < HOSTS_MAX; i++) {
        g_snprintf(addresses.of[i], sizeof(addresses.of[i]),
                   "tcp://127.0.0.1:%d", port + i);
    }
    return addresses;
}

static void
add_worker(fake_kv_t *kv, const char *prefix, int machine)
{
    char key[32];
    char value[256];
    g_snprintf(key, sizeof(key), "servers/%s%d", prefix, machine);
    g_snprintf(value, sizeof(value),
               "{\"service\":\"s\",\"address\":\"10.0.0.%d:80\","
               "\"zone\":\"z\",\"state\":\"ready\","
               "\"capacity\":{\"cpu\":16000,\"memMb\":1000},"
               "\"labels\":[\"a\",\"r1\"],\"sequence\":1,\"born\":1}",
               machine);
    fake_kv_put(kv, key, value);
}

static GHashTable *
new_gone_set(void)
{
    GHashTable *gone =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (int i = 0; i < WORKERS_GONE; i++) {
        g_hash_table_add(gone, g_strdup_printf("w%d", i));
    }
    return gone;
}

/* Most workers leave for good; others come under other ids elsewhere. */
static void
replace_workers(fake_kv_t *kv)
{
    for (int i = 0; i < WORKERS_GONE; i++) {
        char key[32];
        g_snprintf(key, sizeof(key), "servers/w%d", i);
        fake_kv_put(kv, key, NULL);
        add_worker(kv, "n", WORKERS + i);
    }
}

/* Runs hosts side by side; ZeroMQ delivers between them in real time. */
static void
run_hosts(host_t **hosts, size_t count, nm_ms_t duration_ms)
{
    enum { STEP_MS = 10, DELIVERY_US = 200 };
    for (nm_ms_t t = 0; t < duration_ms; t += STEP_MS) {
        for (size_t i = 0; i < count; i++) {
            run_host(hosts[i], STEP_MS);
        }
        if (count > 1) {
            g_usleep(DELIVERY_US);
        }
    }
}

static void
start_job(host_t *host)
{
    for (int i = 0; i < WORKERS; i++) {
        add_worker(host->kv, "w", i);
    }
    run_host(host, 1000);
    fake_kv_put(host->kv, JOB_KEY, FULL_RECORD);
    run_host(host, 3000);
    g_assert_cmpuint(host->orders.starts, ==, 2 * WORKERS);
}

/* Returns after how long the tasks of gone workers start, at most max_ms. */
static nm_ms_t
wait_for_starts(host_t **hosts, size_t count, nm_ms_t max_ms)
{
    uint32_t starts = hosts[0]->orders.starts;
    nm_ms_t waited_ms = 0;
    while (waited_ms < max_ms && hosts[0]->orders.starts == starts) {
        run_hosts(hosts, count, 100);
        waited_ms += 100;
    }
    return waited_ms;
}

/*
 * Load: the owner key is taken away again and again, and the same host is
 * elected each time, while most of the witnesses have left for good.
 */
static void
test_same_host_holds_no_jobs(void)
{
    static const struct {
        const char *name;
        int elections;
    } cases[] = {{"one election", 1}, {"three elections", 3}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init(&host, "a", kv);
        GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
        host.orders.runs = runs;
        start_job(&host);
        host.orders.out_of_reach = new_gone_set();
        replace_workers(kv);
        host_t *hosts[] = {&host};
        uint32_t starts = host.orders.starts;
        nm_ms_t gone_ms = nm_clock_now(&host.clock);
        for (int e = 0; e < cases[i].elections; e++) {
            fake_kv_put(kv, OWNER_KEY, NULL);
            run_host(&host,
                     e + 1 < cases[i].elections ? ELECTION_INTERVAL_MS : 100);
        }
        if (host.orders.starts == starts) {
            wait_for_starts(hosts, 1, AUTHORITY_MAX_MS);
        }
        nm_ms_t idle_ms = nm_clock_now(&host.clock) - gone_ms;
        g_assert_cmpint(host.entry->owned_epoch, ==, cases[i].elections + 1);
        g_assert_cmpuint(host.orders.starts, >, starts);
        g_assert_cmpint(idle_ms, <=, LEASE_LAPSE_MS + TAKEOVER_MAX_MS);
        g_hash_table_destroy(host.orders.out_of_reach);
        host_finish(&host);
        g_ptr_array_free(runs, TRUE);
        fake_kv_free(kv);
    }
}

/*
 * Load: as above, and another host is elected.  It must wait only if the
 * process of the former owner may go on to give orders.
 */
static void
test_former_host_is_asked(void)
{
    static const struct {
        const char *name;
        former_state_t former;
        nm_ms_t from_ms;
        nm_ms_t to_ms;
    } cases[] = {
        {"lives", FORMER_LIVES, LEASE_MS, LEASE_LAPSE_MS + TAKEOVER_MAX_MS},
        {"restarted", FORMER_RESTARTED, LEASE_MS,
         LEASE_LAPSE_MS + TAKEOVER_MAX_MS},
        {"name used elsewhere", FORMER_MOVED, AUTHORITY_MAX_MS,
         AUTHORITY_MAX_MS + LEASE_LAPSE_MS + TAKEOVER_MAX_MS},
        {"paused", FORMER_PAUSED, AUTHORITY_MAX_MS,
         AUTHORITY_MAX_MS + LEASE_LAPSE_MS + TAKEOVER_MAX_MS},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        addresses_t addresses = choose_addresses();
        fake_kv_t *kv = configured_store();
        host_t former;
        host_init_at(&former, "a", addresses.of[0], kv);
        GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
        former.orders.runs = runs;
        start_job(&former);
        fake_kv_end_calls(kv);
        host_t next;
        host_init_at(&next, "b", addresses.of[1], kv);
        next.orders.runs = runs;
        run_host(&next, 100);
        host_t other;
        bool ended = cases[i].former == FORMER_RESTARTED;
        bool has_other = ended || cases[i].former == FORMER_MOVED;
        if (ended) {
            host_finish(&former);
        }
        if (has_other) {
            host_init_at(&other, "a",
                         ended ? addresses.of[0] : addresses.of[2], kv);
        }
        next.orders.out_of_reach = new_gone_set();
        replace_workers(kv);
        fake_kv_put(kv, OWNER_KEY, NULL);
        /* The next owner wins, as no other candidate runs until then. */
        for (int t = 0; t < 100 && next.entry->role != NM_ROLE_OWNER; t++) {
            run_host(&next, 10);
        }
        g_assert_cmpint(next.entry->owned_epoch, ==, 2);
        host_t *hosts[] = {&next, has_other ? &other : &former};
        size_t count = cases[i].former == FORMER_PAUSED ? 1 : 2;
        nm_ms_t idle_ms = wait_for_starts(hosts, count, 2 * AUTHORITY_MAX_MS);
        g_assert_cmpint(idle_ms, >=, cases[i].from_ms);
        g_assert_cmpint(idle_ms, <=, cases[i].to_ms);
        g_hash_table_destroy(next.orders.out_of_reach);
        if (has_other) {
            host_finish(&other);
        }
        if (!ended) {
            host_finish(&former);
        }
        host_finish(&next);
        g_ptr_array_free(runs, TRUE);
        fake_kv_free(kv);
    }
}

/* Lets a host win the next election; the others try none until then. */
static void
elect(host_t *host)
{
    fake_kv_put(host->kv, OWNER_KEY, NULL);
    for (int t = 0; t < 200 && host->entry->role != NM_ROLE_OWNER; t++) {
        run_host(host, 10);
    }
    g_assert_cmpint(host->entry->role, ==, NM_ROLE_OWNER);
}

/*
 * Load: the host of the first owner never responds.  Its longest time counts
 * from the election after it, however many others follow.
 */
static void
test_wait_begins_once(void)
{
    static const struct {
        const char *name;
        int elections;
        nm_ms_t interval_ms;
    } cases[] = {
        {"one election", 1, ELECTION_INTERVAL_MS},
        {"eight elections", 8, ELECTION_INTERVAL_MS},
        {"elections in quick series", 20, 1500},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        addresses_t addresses = choose_addresses();
        fake_kv_t *kv = configured_store();
        GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
        host_t former;
        host_init_at(&former, "a", addresses.of[0], kv);
        former.orders.runs = runs;
        start_job(&former);
        fake_kv_end_calls(kv);
        host_t next;
        host_init_at(&next, "b", addresses.of[1], kv);
        next.orders.runs = runs;
        next.orders.out_of_reach = new_gone_set();
        run_host(&next, 100);
        replace_workers(kv);
        elect(&next);
        nm_ms_t elected_ms = nm_clock_now(&next.clock);
        for (int e = 1; e < cases[i].elections; e++) {
            run_host(&next, cases[i].interval_ms);
            elect(&next);
        }
        host_t *hosts[] = {&next};
        wait_for_starts(hosts, 1, 2 * AUTHORITY_MAX_MS);
        nm_ms_t idle_ms = nm_clock_now(&next.clock) - elected_ms;
        g_assert_cmpint(idle_ms, >=, AUTHORITY_MAX_MS);
        g_assert_cmpint(idle_ms, <=,
                        AUTHORITY_MAX_MS + LEASE_LAPSE_MS + TAKEOVER_MAX_MS);
        g_hash_table_destroy(next.orders.out_of_reach);
        host_finish(&former);
        host_finish(&next);
        g_ptr_array_free(runs, TRUE);
        fake_kv_free(kv);
    }
}

/*
 * Load: an owner stops as planned while the term of another one, whose host
 * does not respond, is not proved over.  Its own is over.
 */
static void
test_planned_stop_leaves_no_open_term(void)
{
    enum { OWNED_MS = 20000, STOP_MS = 6000 };
    addresses_t addresses = choose_addresses();
    fake_kv_t *kv = configured_store();
    GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
    host_t hosts[HOSTS_MAX];
    static const char *const names[HOSTS_MAX] = {"a", "b", "c"};
    for (int i = 0; i < HOSTS_MAX; i++) {
        host_init_at(&hosts[i], names[i], addresses.of[i], kv);
        hosts[i].orders.runs = runs;
    }
    start_job(&hosts[0]);
    fake_kv_end_calls(kv);
    replace_workers(kv);
    hosts[1].orders.out_of_reach = new_gone_set();
    hosts[2].orders.out_of_reach = new_gone_set();
    run_host(&hosts[1], 100);
    elect(&hosts[1]);
    host_t *running[] = {&hosts[1], &hosts[2]};
    run_hosts(running, 2, OWNED_MS);
    nm_entry_stop(hosts[1].entry);
    run_hosts(running, 2, STOP_MS);
    g_assert_true(nm_entry_is_stopped(hosts[1].entry));
    host_t *last[] = {&hosts[2]};
    nm_ms_t idle_ms =
        OWNED_MS + STOP_MS + wait_for_starts(last, 1, 2 * AUTHORITY_MAX_MS);
    g_assert_cmpint(idle_ms, >=, AUTHORITY_MAX_MS);
    g_assert_cmpint(idle_ms, <=,
                    AUTHORITY_MAX_MS + LEASE_LAPSE_MS + TAKEOVER_MAX_MS);
    for (int i = 0; i < HOSTS_MAX; i++) {
        if (hosts[i].orders.out_of_reach) {
            g_hash_table_destroy(hosts[i].orders.out_of_reach);
        }
        host_finish(&hosts[i]);
    }
    g_ptr_array_free(runs, TRUE);
    fake_kv_free(kv);
}

/*
 * Load: two hosts win in turn, and the witnesses respond before the other
 * host.  Its knowledge of a silent worker must not get lost.
 */
static void
test_slow_host_is_heard(void)
{
    enum { ELECTIONS = 3, HOST_DELAY_MS = 60 };
    addresses_t addresses = choose_addresses();
    fake_kv_t *kv = configured_store();
    GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
    GHashTable *gone =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    host_t a;
    host_t b;
    host_init_at(&a, "a", addresses.of[0], kv);
    host_init_at(&b, "b", addresses.of[1], kv);
    host_t *both[] = {&a, &b};
    a.orders.runs = runs;
    b.orders.runs = runs;
    start_job(&a);
    run_host(&b, nm_clock_now(&a.clock) - nm_clock_now(&b.clock));
    g_hash_table_add(gone, g_strdup("w0"));
    fake_kv_put(kv, "servers/w0", NULL);
    add_worker(kv, "n", WORKERS);
    a.orders.out_of_reach = gone;
    b.orders.out_of_reach = gone;
    uint32_t starts = a.orders.starts + b.orders.starts;
    nm_ms_t gone_ms = nm_clock_now(&a.clock);
    for (int e = 0; e < ELECTIONS; e++) {
        host_t *winner = both[(e + 1) % 2];
        host_t *loser = both[e % 2];
        loser->entry->candidate_after_ms = NM_MS_NEVER;
        winner->entry->candidate_after_ms = 0;
        elect(winner);
        run_host(winner, HOST_DELAY_MS);
        loser->clock.manual_ms = winner->clock.manual_ms;
        run_hosts(both, 2, ELECTION_INTERVAL_MS);
    }
    nm_ms_t idle_ms = nm_clock_now(&a.clock) - gone_ms;
    while (a.orders.starts + b.orders.starts == starts &&
           idle_ms < AUTHORITY_MAX_MS)
    {
        run_hosts(both, 2, 100);
        idle_ms += 100;
    }
    /* The last election is within the lease of the worker that is gone. */
    g_assert_cmpint(idle_ms, <=,
                    MAX(ELECTIONS * ELECTION_INTERVAL_MS,
                        LEASE_LAPSE_MS + ELECTION_INTERVAL_MS) +
                        TAKEOVER_MAX_MS);
    g_hash_table_destroy(gone);
    host_finish(&a);
    host_finish(&b);
    g_ptr_array_free(runs, TRUE);
    fake_kv_free(kv);
}

/*
 * Load: the result of an election is under way while the owner key is taken
 * away; the next owner takes that term for over once the host has responded.
 */
static void
test_late_election_begins_no_term(void)
{
    addresses_t addresses = choose_addresses();
    fake_kv_t *kv = configured_store();
    for (int i = 0; i < WORKERS; i++) {
        add_worker(kv, "w", i);
    }
    fake_kv_proxy_t proxy;
    host_t late;
    host_t next;
    host_init_with_kv(&late, "a", addresses.of[0], kv,
                      fake_kv_proxy_init(&proxy, fake_kv_port(kv)));
    proxy.holds_commit_results = true;
    run_host(&late, 1500);
    g_assert_nonnull(fake_kv_value(kv, OWNER_KEY));
    g_assert_cmpint(late.entry->owned_epoch, ==, 0);
    host_init_at(&next, "b", addresses.of[1], kv);
    run_host(&next, 100);
    elect(&next);
    host_t *both[] = {&next, &late};
    run_hosts(both, 2, 3000);
    g_assert_true(next.entry->authority.former_over);
    fake_kv_proxy_release_results(&proxy);
    for (int t = 0; t < 300; t++) {
        run_hosts(both, 2, 10);
        g_assert_cmpint(late.entry->owned_epoch, ==, 0);
    }
    host_finish(&late);
    host_finish(&next);
    fake_kv_free(kv);
}

/* A list without the term of the hand-over must not stop an election. */
static void
test_hand_over_without_its_term(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, EPOCH_KEY, "1");
    fake_kv_put(kv, NM_KEY_TERMS, "{\"over\":1,\"terms\":[]}");
    fake_kv_put(kv, NM_KEY_HAND_OVER, "{\"epoch\":1,\"silent\":{}}");
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1000);
    g_assert_cmpint(host.entry->role, ==, NM_ROLE_OWNER);
    g_assert_true(host.entry->authority.former_over);
    host_finish(&host);
    fake_kv_free(kv);
}

/*
 * Load: the owner's process is killed and back again and again.  What it knew
 * of silent workers is lost with it.
 */
static void
test_killed_owners_in_series(void)
{
    enum { ELECTIONS = 5 };
    addresses_t addresses = choose_addresses();
    fake_kv_t *kv = configured_store();
    GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
    GHashTable *gone = new_gone_set();
    host_t host;
    host_init_at(&host, "a", addresses.of[0], kv);
    host.orders.runs = runs;
    start_job(&host);
    replace_workers(kv);
    nm_ms_t gone_ms = nm_clock_now(&host.clock);
    nm_ms_t now_ms = gone_ms;
    uint32_t starts = 0;
    for (int e = 0; e < ELECTIONS && starts == 0; e++) {
        fake_kv_end_calls(kv);
        host_finish(&host);
        host_init_at(&host, "a", addresses.of[0], kv);
        host.clock.manual_ms = now_ms;
        host.orders.runs = runs;
        host.orders.out_of_reach = gone;
        run_host(&host, ELECTION_INTERVAL_MS);
        now_ms = nm_clock_now(&host.clock);
        starts = host.orders.starts;
    }
    host_t *hosts[] = {&host};
    if (starts == 0) {
        wait_for_starts(hosts, 1, AUTHORITY_MAX_MS);
    }
    g_assert_cmpint(nm_clock_now(&host.clock) - gone_ms, <=,
                    LEASE_LAPSE_MS + ELECTION_INTERVAL_MS + TAKEOVER_MAX_MS);
    host_finish(&host);
    g_hash_table_destroy(gone);
    g_ptr_array_free(runs, TRUE);
    fake_kv_free(kv);
}

/*
 * Load: the owner's watch of its key is silent, the key is taken away while
 * its lease lives on, and neither host reaches the other.  A renewed lease
 * shows no ownership: the former owner must renew no lease of a worker that
 * only it reaches once its term counts as over.
 */
static void
test_renewed_lease_is_no_ownership(void)
{
    enum { PLAY_MS = 14000, STEP_MS = 10 };
    addresses_t addresses = choose_addresses();
    fake_kv_t *kv = configured_store();
    GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
    host_t former;
    host_t next;
    host_init_at(&former, "a", addresses.of[0], kv);
    former.entry->desc.peer_address = addresses.of[2]; /* nobody is there */
    former.orders.runs = runs;
    start_job(&former);
    run_host(&former, 3000);
    fake_kv_stall_watches(kv, NM_KEY_CONTROL, &former.clock);
    host_init_at(&next, "b", addresses.of[1], kv);
    next.orders.runs = runs;
    next.clock.manual_ms = former.clock.manual_ms;
    run_host(&next, 100);
    former.clock.manual_ms = next.clock.manual_ms;
    former.orders.out_of_reach = new_gone_set();
    next.orders.out_of_reach =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_hash_table_add(next.orders.out_of_reach,
                     g_strdup_printf("w%d", WORKERS_GONE));
    fake_kv_put(kv, OWNER_KEY, NULL);
    uint32_t renewals = 0;
    nm_ms_t over_ms = 0;
    for (nm_ms_t t = 0; t < PLAY_MS; t += STEP_MS) {
        run_host(&next, STEP_MS);
        run_host(&former, STEP_MS);
        const nm_authority_t *authority = &next.entry->authority;
        nm_ms_t now_ms = nm_clock_now(&next.clock);
        if (over_ms == 0 && next.entry->role == NM_ROLE_OWNER &&
            authority->former_over && now_ms >= authority->former_until_ms)
        {
            over_ms = now_ms;
            renewals = former.orders.renewals;
        }
    }
    g_assert_cmpint(over_ms, >, 0);
    g_assert_cmpuint(former.orders.renewals, ==, renewals);
    g_hash_table_destroy(former.orders.out_of_reach);
    g_hash_table_destroy(next.orders.out_of_reach);
    host_finish(&former);
    host_finish(&next);
    g_ptr_array_free(runs, TRUE);
    fake_kv_free(kv);
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
        {"/terms/same-host-holds-no-jobs", test_same_host_holds_no_jobs},
        {"/terms/former-host-is-asked", test_former_host_is_asked},
        {"/terms/wait-begins-once", test_wait_begins_once},
        {"/terms/planned-stop-leaves-no-open-term",
         test_planned_stop_leaves_no_open_term},
        {"/terms/slow-host-is-heard", test_slow_host_is_heard},
        {"/terms/late-election-begins-no-term",
         test_late_election_begins_no_term},
        {"/terms/hand-over-without-its-term", test_hand_over_without_its_term},
        {"/terms/killed-owners-in-series", test_killed_owners_in_series},
        {"/terms/renewed-lease-is-no-ownership",
         test_renewed_lease_is_no_ownership},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
