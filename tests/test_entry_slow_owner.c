/*
 * An owner whose links are behind: what it sends, and what it reads, takes up
 * to seconds.  The rules allow no start of a job later than 3 s after its
 * cancel was acknowledged.
 */
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "lib_entry_host.h"
#include "lib_kv_proxy.h"

#define JOBS_PREFIX "nutmegdeck/jobs/"

static void
init_at_ipc(host_t *host, const char *name, fake_kv_t *kv)
{
    char address[64];
    g_snprintf(address, sizeof(address), "ipc:///tmp/nutmeg-cancel-%d-%s",
               (int)getpid(), name);
    host_init_at(host, name, address, kv);
}

static void
finish_at_ipc(host_t *host)
{
    host_finish(host);
    unlink(host->address + strlen("ipc://"));
}

/* Delivers messages between hosts; their clocks stand still. */
static void
exchange(host_t *owner, host_t *other, const host_t *caller)
{
    for (int i = 0; i < 5000 && caller->listener.responses->len == 0; i++) {
        nm_entry_run(owner->entry);
        nm_entry_run(other->entry);
        fake_kv_run(owner->kv);
        g_usleep(1000);
    }
}

static nm_job_state_t
state_at(const host_t *owner)
{
    g_assert_cmpint(owner->entry->role, ==, NM_ROLE_OWNER);
    return nm_sched_query_job(owner->entry->sched, JOB);
}

/* The owner must not depend on its watch of the jobs. */
static void
test_cancel_reaches_owner_with_late_watch(void)
{
    static const struct {
        const char *name;
        bool by_owner;
    } cases[] = {{"acknowledged by the owner", true},
                 {"acknowledged by another host", false}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t owner;
        host_t other;
        init_at_ipc(&owner, "a", kv);
        run_host(&owner, 1000);
        init_at_ipc(&other, "b", kv);
        run_host(&other, 1000);
        fake_kv_put(kv, JOB_KEY, RECORD);
        run_host(&owner, 500);
        g_assert_cmpint(state_at(&owner), ==, NM_JOB_QUEUED);
        fake_kv_suppress_watches(kv, JOBS_PREFIX);
        host_t *caller = cases[i].by_owner ? &owner : &other;
        send_request(caller, NM_METHOD_DELETE, "/a/" JOB, "");
        exchange(&owner, &other, caller);
        g_assert_cmpint(last_status(caller), ==, 200);
        for (int r = 0; r < 5000 && state_at(&owner) == NM_JOB_QUEUED; r++) {
            nm_entry_run(owner.entry);
            g_usleep(1000);
        }
        g_assert_cmpint(state_at(&owner), ==, NM_JOB_CANCELLED);
        finish_at_ipc(&other);
        finish_at_ipc(&owner);
        fake_kv_free(kv);
    }
}

/* A cancel must not wait for a read that confirms the ownership. */
static void
test_cancel_waits_for_no_read(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1000);
    fake_kv_put(kv, JOB_KEY, RECORD);
    run_host(&host, 500);
    g_assert_cmpint(state_at(&host), ==, NM_JOB_QUEUED);
    fake_kv_put(kv, JOB_KEY ".cancel", "1");
    fake_kv_run(kv);
    fake_kv_set_mode(kv, FAKE_KV_UNRESPONSIVE);
    run_host(&host, 500);
    g_assert_cmpint(state_at(&host), ==, NM_JOB_CANCELLED);
    host_finish(&host);
    fake_kv_free(kv);
}

/* A cancel that the owner hears of before the job must prevent each start. */
static void
test_cancel_overtakes_its_job(void)
{
    static const struct {
        const char *name;
        bool job_is_read; /* it waits for the read of the owner key */
        bool loading;     /* the owner has not listed the jobs yet */
    } cases[] = {{"job not read", false, false},
                 {"job not confirmed", true, false},
                 {"owner still loads", false, true}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "servers/w1", WORKER);
        if (cases[i].loading) {
            fake_kv_put(kv, JOB_KEY, RECORD);
        }
        host_t host;
        init_at_ipc(&host, "a", kv);
        while (host.entry->role != NM_ROLE_LOADING) {
            run_host(&host, 10);
        }
        if (!cases[i].loading) {
            run_host(&host, 1500);
        }
        if (cases[i].job_is_read) {
            fake_kv_put(kv, JOB_KEY, RECORD);
            fake_kv_run(kv);
        }
        fake_kv_set_mode(kv, FAKE_KV_UNRESPONSIVE);
        nm_peer_rpc_t *other = nm_peer_rpc_new("inproc://other");
        char job[] = JOB;
        NmPb__EntryAsk notice = NM_PB__ENTRY_ASK__INIT;
        notice.type = NM_PB__ENTRY_ASK__TYPE__CANCEL;
        notice.job = job;
        notice.epoch = 1;
        nm_peer_rpc_notify(other, host.address, &notice);
        const nm_entry_t *entry = host.entry;
        for (int r = 0; r < 5000 && entry->cancels->len == 0 &&
                        g_hash_table_size(entry->cancels_ahead) == 0;
             r++)
        {
            nm_entry_run(host.entry);
            g_usleep(1000);
        }
        fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
        if (!cases[i].job_is_read && !cases[i].loading) {
            fake_kv_put(kv, JOB_KEY, RECORD);
        }
        run_host(&host, 1500);
        g_assert_cmpuint(host.orders.starts, ==, 0);
        g_assert_cmpint(state_at(&host), ==, NM_JOB_CANCELLED);
        nm_peer_rpc_free(other);
        finish_at_ipc(&host);
        fake_kv_free(kv);
    }
}

/*
 * The time in which the store can confirm an owner again must not be used up
 * by renewals that wait for each other.
 */
static void
test_slow_renewals_end_no_authority(void)
{
    static const nm_ms_t delays_ms[] = {10, 350, 550};
    for (size_t i = 0; i < NM_COUNT_OF(delays_ms); i++) {
        g_test_message("%d ms", (int)delays_ms[i]);
        fake_kv_t *kv = configured_store();
        fake_kv_proxy_t proxy;
        host_t host;
        host_init_with_kv(&host, "a", "inproc://a", kv,
                          fake_kv_proxy_init(&proxy, fake_kv_port(kv)));
        run_host(&host, 1000);
        proxy.clock = &host.clock;
        proxy.renewal_delay_ms = delays_ms[i];
        for (nm_ms_t t = 0; t < 5000; t += 10) {
            run_host(&host, 10);
            fake_kv_proxy_run(&proxy);
            if (!host.entry->authority.held) {
                g_test_message("lost after %d ms", (int)t);
                break;
            }
        }
        g_assert_true(host.entry->authority.held);
        host.clock.manual_ms += delays_ms[i];
        fake_kv_proxy_run(&proxy);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * Kept connections may go silent for good while new ones work.  Renewals on
 * them must not hold back the next ones until the lease of the owner key has
 * expired.
 */
static void
test_silent_connections_end_no_lease(void)
{
    enum { OWNER_LEASE_MS = 1500 };
    for (uint32_t silent = 1; silent <= 2; silent++) {
        g_test_message("%u connections", silent);
        fake_kv_t *kv = configured_store();
        fake_kv_proxy_t proxy;
        host_t host;
        host_init_with_kv(&host, "a", "inproc://a", kv,
                          fake_kv_proxy_init(&proxy, fake_kv_port(kv)));
        proxy.clock = &host.clock;
        run_host(&host, 2000);
        g_assert_cmpint(host.entry->role, ==, NM_ROLE_OWNER);
        g_assert_cmpint(proxy.renewed_ms, >, 0);
        proxy.silent_connections = silent;
        nm_ms_t longest_ms = 0;
        for (nm_ms_t t = 0; t < 4000; t += 10) {
            run_host(&host, 10);
            fake_kv_proxy_run(&proxy);
            longest_ms =
                MAX(longest_ms, nm_clock_now(&host.clock) - proxy.renewed_ms);
        }
        g_assert_cmpuint(proxy.silent_connections, ==, 0);
        g_assert_cmpint(longest_ms, <, OWNER_LEASE_MS);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/* Only the owner knows the count, so that its response is waited for. */
static void
test_late_count_is_no_refusal(void)
{
    static const struct {
        nm_ms_t late_ms;
        int status;
    } cases[] = {{100, 200}, {700, 200}, {1400, 200}, {3000, 503}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%d ms", (int)cases[i].late_ms);
        fake_kv_t *kv = configured_store();
        host_t owner;
        host_t other;
        init_at_ipc(&owner, "a", kv);
        run_host(&owner, 1000);
        init_at_ipc(&other, "b", kv);
        run_host(&other, 1000);
        fake_kv_put(kv, JOB_KEY, RECORD);
        run_host(&owner, 500);
        send_request(&other, NM_METHOD_GET, "/a/", "");
        run_host(&other, cases[i].late_ms);
        exchange(&owner, &other, &other);
        g_assert_cmpint(last_status(&other), ==, cases[i].status);
        if (cases[i].status == 200) {
            g_assert_cmpstr(last_response(&other), ==, "{\"pending\":1}");
        }
        finish_at_ipc(&other);
        finish_at_ipc(&owner);
        fake_kv_free(kv);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/entry/cancel-reaches-owner-with-late-watch",
                    test_cancel_reaches_owner_with_late_watch);
    g_test_add_func("/entry/cancel-waits-for-no-read",
                    test_cancel_waits_for_no_read);
    g_test_add_func("/entry/cancel-overtakes-its-job",
                    test_cancel_overtakes_its_job);
    g_test_add_func("/entry/slow-renewals-end-no-authority",
                    test_slow_renewals_end_no_authority);
    g_test_add_func("/entry/silent-connections-end-no-lease",
                    test_silent_connections_end_no_lease);
    g_test_add_func("/entry/late-count-is-no-refusal",
                    test_late_count_is_no_refusal);
    return g_test_run();
}
