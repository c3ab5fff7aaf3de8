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
/* Lease of a worker by a clock that is 2% slow, and the scheduler's margin. */
#define LEASE_LAPSE_MS 7400
/* Authority of a former owner, election and reading. */
#define TAKEOVER_MAX_MS 2000
/* Longest time for which an owner has authority without the store. */
#define AUTHORITY_MAX_MS 60000

/* Below the ephemeral ports of the system, above those of the soak. */
#define PORT_MIN 30600
#define PORTS 2000

typedef enum {
    FORMER_LIVES,     /* it responds to other hosts */
    FORMER_RESTARTED, /* another process has its name and address */
    FORMER_MOVED,     /* another process has its name, elsewhere */
    FORMER_PAUSED,    /* its process does not run */
} former_state_t;

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
        {"lives", FORMER_LIVES, 0, LEASE_LAPSE_MS + TAKEOVER_MAX_MS},
        {"restarted", FORMER_RESTARTED, 0, LEASE_LAPSE_MS + TAKEOVER_MAX_MS},
        {"name used elsewhere", FORMER_MOVED, AUTHORITY_MAX_MS,
         AUTHORITY_MAX_MS + LEASE_LAPSE_MS + TAKEOVER_MAX_MS},
        {"paused", FORMER_PAUSED, AUTHORITY_MAX_MS,
         AUTHORITY_MAX_MS + LEASE_LAPSE_MS + TAKEOVER_MAX_MS},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        char former_address[64];
        char next_address[64];
        char other_address[64];
        int port = PORT_MIN + (int)(g_random_int() % PORTS);
        g_snprintf(former_address, sizeof(former_address),
                   "tcp://127.0.0.1:%d", port);
        g_snprintf(next_address, sizeof(next_address), "tcp://127.0.0.1:%d",
                   port + 1);
        g_snprintf(other_address, sizeof(other_address), "tcp://127.0.0.1:%d",
                   port + 2);
        fake_kv_t *kv = configured_store();
        host_t former;
        host_init_at(&former, "a", former_address, kv);
        GPtrArray *runs = g_ptr_array_new_with_free_func(g_free);
        former.orders.runs = runs;
        start_job(&former);
        fake_kv_end_calls(kv);
        host_t next;
        host_init_at(&next, "b", next_address, kv);
        next.orders.runs = runs;
        run_host(&next, 100);
        host_t other;
        bool ended = cases[i].former == FORMER_RESTARTED;
        bool has_other = ended || cases[i].former == FORMER_MOVED;
        if (ended) {
            host_finish(&former);
        }
        if (has_other) {
            host_init_at(&other, "a", ended ? former_address : other_address,
                         kv);
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

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/terms/same-host-holds-no-jobs",
                    test_same_host_holds_no_jobs);
    g_test_add_func("/terms/former-host-is-asked", test_former_host_is_asked);
    return g_test_run();
}
