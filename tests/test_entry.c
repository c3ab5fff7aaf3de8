/*
 * Entry hosts for jobs: calls, election and takeover of ownership, outages of
 * the store.  The hosts use an in-process store and a manual clock.
 */
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "lib_entry_host.h"
#include "lib_kv_proxy.h"

/* Ended jobs can be queried at least this long (the platform's status_s). */
#define RETENTION_MS 120000
/* Time after the retention by which the removal of an ended job is due. */
#define REMOVAL_DELAY_MAX_MS 40000

/* Each call must return the status and text that the platform specifies. */
static void
test_submit_and_query(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1000);
    g_assert_true(host.listener.ready);
    g_assert_nonnull(fake_kv_value(kv, OWNER_KEY));
    static const struct {
        nm_method_t method;
        const char *target;
        const char *body;
        int status;
        const char *response;
    } cases[] = {
        {NM_METHOD_POST, "/a/" JOB, BODY, 200, "{\"state\":\"queued\"}"},
        {NM_METHOD_POST, "/a/" JOB, BODY, 200, "{\"state\":\"queued\"}"},
        {NM_METHOD_GET, "/a/" JOB, "", 200, "{\"state\":\"queued\"}"},
        {NM_METHOD_GET, "/a/", "", 200, "{\"pending\":1}"},
        {NM_METHOD_DELETE, "/a/" JOB, "", 200, "{\"state\":\"cancelled\"}"},
        {NM_METHOD_GET, "/a/" JOB, "", 200, "{\"state\":\"cancelled\"}"},
        {NM_METHOD_GET, "/a/0000000000000000", "", 410, NULL},
        {NM_METHOD_DELETE, "/a/0000000000000000", "", 410, NULL},
        {NM_METHOD_POST, "/b/" JOB, BODY, 404, NULL},
        {NM_METHOD_POST, "/a/0123", BODY, 400, NULL},
        {NM_METHOD_POST, "/a/0000000000000001", "{", 400, NULL},
        {NM_METHOD_POST, "/a/0000000000000001", "{\"steps\":[]}", 400, NULL},
        {NM_METHOD_POST, "/a/0000000000000001",
         "{\"steps\":[{\"count\":1,\"after\":[3]}]}", 400, NULL},
        {NM_METHOD_OTHER, "/a/" JOB, "", 405, NULL},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("case %zu", i);
        send_request(&host, cases[i].method, cases[i].target, cases[i].body);
        run_host(&host, 200);
        g_assert_cmpint(last_status(&host), ==, cases[i].status);
        if (cases[i].response) {
            g_assert_cmpstr(last_response(&host), ==, cases[i].response);
        }
    }
    /* Known to a next owner also once the queue is removed. */
    g_assert_nonnull(strstr(fake_kv_value(kv, JOB_KEY), "\"attempts_max\":2"));
    host_finish(&host);
    fake_kv_free(kv);
}

/* 503 promises that the job never runs; if that is uncertain, 504 is due. */
static void
test_refusal_is_certain(void)
{
    static const struct {
        const char *name;
        fake_kv_mode_t mode;
        int status;
        nm_ms_t within_ms;
    } cases[] = {
        {"store rejects calls", FAKE_KV_REJECTS_CALLS, 503, 900},
        {"in flight at the deadline", FAKE_KV_UNRESPONSIVE, 504, 3000},
        {"commit results lost", FAKE_KV_LOSES_COMMIT_RESULTS, 504, 3000},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 1000);
        fake_kv_set_mode(kv, cases[i].mode);
        send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
        run_host(&host, cases[i].within_ms);
        g_assert_cmpint(last_status(&host), ==, cases[i].status);
        fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
        run_host(&host, 100);
        bool refused = cases[i].status == 503;
        g_assert_true(!refused || !fake_kv_value(kv, JOB_KEY));
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * A host that stops must answer each request that it has read before it exits,
 * also one that waits for a store without responses at the end of its grace
 * time.
 */
static void
test_stopping_host_answers_all(void)
{
    static const struct {
        const char *name;
        nm_method_t method;
        fake_kv_mode_t mode;
        nm_ms_t sent_after_ms; /* the stop signal */
        int status;
    } cases[] = {
        {"before the signal", NM_METHOD_POST, FAKE_KV_AVAILABLE, -10, 200},
        {"while it drains", NM_METHOD_POST, FAKE_KV_AVAILABLE, 1000, 200},
        {"no store, write", NM_METHOD_POST, FAKE_KV_UNRESPONSIVE, 4500, 504},
        {"no store, query", NM_METHOD_GET, FAKE_KV_UNRESPONSIVE, 4500, 503},
        {"store refuses", NM_METHOD_POST, FAKE_KV_REJECTS_CALLS, 1000, 503},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 1000);
        fake_kv_set_mode(kv, cases[i].mode);
        /* Keeps the host busy until the end of its grace time. */
        if (cases[i].sent_after_ms >= 0) {
            nm_entry_stop(host.entry);
        }
        for (nm_ms_t t = 0; t < cases[i].sent_after_ms; t += 500) {
            send_request(&host, NM_METHOD_POST, "/a/0000000000000001", BODY);
            run_host(&host, 500);
        }
        send_request(&host, cases[i].method, "/a/" JOB, BODY);
        nm_entry_stop(host.entry);
        for (nm_ms_t t = 0; t < 6000 && !nm_entry_is_stopped(host.entry);
             t += 10) {
            run_host(&host, 10);
        }
        g_assert_true(nm_entry_is_stopped(host.entry));
        g_assert_true(host.listener.refuses);
        g_assert_cmpuint(host.listener.responses->len, ==, host.listener.sent);
        g_assert_cmpint(last_status(&host), ==, cases[i].status);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * Load: the store rejects all calls under full traffic.  A host that forwards
 * submissions to the owner must respond with a definite refusal, and once the
 * outage is known, without delay, so that the caller may try another host.
 * The clock stops while messages are in transit, so machine load is no matter.
 */
static void
test_outage_is_refused_definitely(void)
{
    fake_kv_t *kv = configured_store();
    host_t hosts[2];
    for (uint32_t i = 0; i < NM_COUNT_OF(hosts); i++) {
        char address[64];
        g_snprintf(address, sizeof(address), "ipc:///tmp/nutmeg-test-%d-%u",
                   (int)getpid(), i);
        host_init_at(&hosts[i], i == 0 ? "a" : "b", address, kv);
        run_host(&hosts[i], 1000);
    }
    fake_kv_set_mode(kv, FAKE_KV_REJECTS_CALLS);
    for (uint32_t round = 0; round < 3; round++) {
        guint before = hosts[1].listener.responses->len;
        send_request(&hosts[1], NM_METHOD_POST, "/a/" JOB, BODY);
        for (uint32_t i = 0;
             i < 5000 && hosts[1].listener.responses->len == before; i++)
        {
            nm_entry_run(hosts[1].entry);
            nm_entry_run(hosts[0].entry);
            fake_kv_run(kv);
            g_usleep(1000);
        }
        g_assert_cmpuint(hosts[1].listener.responses->len, ==, before + 1);
        g_assert_cmpint(last_status(&hosts[1]), ==, 503);
        for (uint32_t i = 0; i < NM_COUNT_OF(hosts); i++) {
            run_host(&hosts[i], 500);
        }
    }
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    run_host(&hosts[0], 1000);
    run_host(&hosts[1], 1000);
    g_assert_null(fake_kv_value(kv, JOB_KEY));
    for (uint32_t i = 0; i < NM_COUNT_OF(hosts); i++) {
        host_finish(&hosts[i]);
        unlink(hosts[i].address + strlen("ipc://"));
    }
    fake_kv_free(kv);
}

/* A host must ignore configurations that are older or cannot be parsed. */
static void
test_configuration_never_goes_back(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 500);
    fake_kv_put(kv, CONFIG_KEY, CONFIG("9", "/b/"));
    run_host(&host, 200);
    fake_kv_put(kv, CONFIG_KEY, CONFIG("5", "/a/"));
    fake_kv_compact(kv);
    run_host(&host, 200);
    fake_kv_put(kv, CONFIG_KEY, "{not a configuration");
    run_host(&host, 200);
    send_request(&host, NM_METHOD_GET, "/b/", "");
    run_host(&host, 200);
    g_assert_cmpint(last_status(&host), ==, 200);
    send_request(&host, NM_METHOD_GET, "/a/", "");
    run_host(&host, 200);
    g_assert_cmpint(last_status(&host), ==, 404);
    host_finish(&host);
    fake_kv_free(kv);
}

/* A rival that is elected while a host campaigns must stay the owner. */
static void
test_election_replaces_no_rival(void)
{
    static const char rival[] = "{\"name\":\"b\",\"address\":\"inproc://b\","
                                "\"token\":\"t\",\"epoch\":1}";
    uint32_t rivals_elected = 0;
    for (int rounds = 0; rounds < 40; rounds++) {
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init(&host, "a", kv);
        for (int round = 0; round < rounds; round++) {
            host.clock.manual_ms += 10;
            nm_entry_run(host.entry);
            fake_kv_run(kv);
        }
        bool vacant = !fake_kv_value(kv, OWNER_KEY);
        if (vacant) {
            fake_kv_put(kv, OWNER_KEY, rival);
            rivals_elected++;
        }
        run_host(&host, 1000);
        g_assert_true(!vacant ||
                      strcmp(fake_kv_value(kv, OWNER_KEY), rival) == 0);
        host_finish(&host);
        fake_kv_free(kv);
    }
    g_assert_cmpuint(rivals_elected, >, 5);
}

/* A restarted owner must not wait for the end of its previous lease. */
static void
test_restarted_owner_takes_over(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1000);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run_host(&host, 200);
    host_finish(&host);
    host_init(&host, "a", kv);
    run_host(&host, 300);
    g_assert_cmpstr(fake_kv_value(kv, "nutmegdeck/control/epoch"), ==, "2");
    send_request(&host, NM_METHOD_GET, "/a/" JOB, "");
    run_host(&host, 200);
    g_assert_cmpstr(last_response(&host), ==, "{\"state\":\"queued\"}");
    host_finish(&host);
    fake_kv_free(kv);
}

/* After a planned stop, another host must become the owner within 600 ms. */
static void
test_stopping_owner_hands_over(void)
{
    fake_kv_t *kv = configured_store();
    host_t first;
    host_t second;
    host_init(&first, "a", kv);
    run_host(&first, 1000);
    host_init(&second, "b", kv);
    run_host(&second, 500);
    nm_entry_stop(first.entry);
    for (int round = 0; round < 60; round++) {
        run_host(&first, 10);
        run_host(&second, 10);
    }
    g_assert_nonnull(strstr(fake_kv_value(kv, OWNER_KEY), "\"name\":\"b\""));
    host_finish(&first);
    host_finish(&second);
    fake_kv_free(kv);
}

/*
 * A host that lost ownership, but does not know it yet, must start no task of
 * a job that was stored afterwards: the new owner may have started it already.
 */
static void
test_former_owner_starts_no_new_job(void)
{
    static const struct {
        bool replaced;
        uint32_t starts;
    } cases[] = {{false, 2}, {true, 0}};
    static const char rival[] = "{\"name\":\"b\",\"address\":\"inproc://b\","
                                "\"token\":\"t\",\"epoch\":9}";
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "servers/w1", WORKER);
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 1500);
        if (cases[i].replaced) {
            fake_kv_suppress_watches(kv, "nutmegdeck/control/");
            fake_kv_put(kv, OWNER_KEY, rival);
        }
        fake_kv_put(kv, JOB_KEY, RECORD);
        run_host(&host, 500);
        g_assert_cmpuint(host.orders.starts, ==, cases[i].starts);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * Load: connections of watches stall without a reset while callers submit.  A
 * cancel must reach the workers within 3 s of its acknowledgement, 1 s of
 * which is for the stop order, so the owner must learn of changes within 2 s.
 */
static void
test_stalled_watch_hides_no_job(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, "servers/w1", WORKER);
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1500);
    fake_kv_stall_watches(kv, "nutmegdeck/jobs/", &host.clock);
    fake_kv_put(kv, JOB_KEY, RECORD);
    run_host(&host, 2000);
    g_assert_cmpuint(host.orders.starts, ==, 2);
    host_finish(&host);
    fake_kv_free(kv);
}

/*
 * Load: a takeover while the store holds hundreds of cancelled jobs.  The new
 * owner must not write again the ends that the previous owner stored: these
 * writes would delay the ones that callers wait for.
 */
static void
test_takeover_does_not_rewrite_ends(void)
{
    static const char progress[] =
        "{\"version\":1,\"state\":\"cancelled\",\"by\":\"another\"}";
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, "servers/w1", WORKER);
    fake_kv_put(kv, JOB_KEY, RECORD);
    fake_kv_put(kv, JOB_KEY ".cancel", "1");
    fake_kv_put(kv, "nutmegdeck/progress/" JOB, progress);
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 3000);
    g_assert_cmpstr(fake_kv_value(kv, "nutmegdeck/progress/" JOB), ==,
                    progress);
    send_request(&host, NM_METHOD_GET, "/a/" JOB, "");
    run_host(&host, 200);
    g_assert_nonnull(strstr(last_response(&host), "cancelled"));
    g_assert_cmpuint(host.orders.starts, ==, 0);
    host_finish(&host);
    fake_kv_free(kv);
}

/* A commit that the store applies late must not undo a newer commit. */
static void
test_late_commit_undoes_nothing(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1000);
    fake_kv_set_mode(kv, FAKE_KV_DELAYS_COMMITS);
    fake_kv_put(kv, "servers/w1", WORKER);
    run_host(&host, 500);
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    fake_kv_put(kv, "servers/w2", WORKER);
    run_host(&host, 1500);
    g_assert_nonnull(strstr(fake_kv_value(kv, ROSTER_KEY), "w2"));
    fake_kv_apply_delayed(kv);
    run_host(&host, 500);
    g_assert_nonnull(strstr(fake_kv_value(kv, ROSTER_KEY), "w2"));
    host_finish(&host);
    fake_kv_free(kv);
}

/* A create that the store applies after the job's cancel must fail. */
static void
test_cancelled_job_is_not_created_late(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1000);
    fake_kv_set_mode(kv, FAKE_KV_DELAYS_COMMITS);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run_host(&host, 3000);
    g_assert_cmpint(last_status(&host), ==, 504);
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    send_request(&host, NM_METHOD_DELETE, "/a/" JOB, "");
    run_host(&host, 500);
    g_assert_cmpint(last_status(&host), ==, 410);
    fake_kv_apply_delayed(kv);
    g_assert_null(fake_kv_value(kv, JOB_KEY));
    /* The caller's repetition must not be told that the job will run. */
    send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run_host(&host, 500);
    g_assert_cmpint(last_status(&host), ==, 200);
    g_assert_cmpstr(last_response(&host), ==, "{\"state\":\"cancelled\"}");
    g_assert_null(fake_kv_value(kv, JOB_KEY));
    host_finish(&host);
    fake_kv_free(kv);
}

/*
 * If the roster cannot be parsed, any worker may still run a recovered task:
 * the new owner must not start it again before the leases have lapsed.
 */
static void
test_unreadable_roster_is_waited_out(void)
{
    static const struct {
        const char *roster;
        uint32_t starts_within_3s;
    } cases[] = {{"[\"w1\"]", 2}, {"{broken", 0}, {"{\"w1\":1}", 0}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "nutmegdeck/control/epoch", "1");
        fake_kv_put(kv, ROSTER_KEY, cases[i].roster);
        fake_kv_put(kv, "servers/w1", WORKER);
        fake_kv_put(kv, JOB_KEY, RECORD);
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 3000);
        g_assert_cmpuint(host.orders.starts, ==, cases[i].starts_within_3s);
        run_host(&host, 6000);
        g_assert_cmpuint(host.orders.starts, ==, 2);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * Load: ended jobs, and cancels of jobs that were never submitted, past their
 * retention.  All their keys must be removed from the store; an outage at that
 * time may only delay the removal.
 */
static void
test_ended_jobs_are_removed(void)
{
    static const char *const keys[] = {
        JOB_KEY,
        JOB_KEY ".cancel",
        "nutmegdeck/progress/" JOB,
        "nutmegdeck/jobs/00000000000000aa.cancel",
    };
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1000);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run_host(&host, 200);
    send_request(&host, NM_METHOD_DELETE, "/a/" JOB, "");
    send_request(&host, NM_METHOD_DELETE, "/a/00000000000000aa", "");
    run_host(&host, RETENTION_MS);
    for (size_t i = 0; i < NM_COUNT_OF(keys); i++) {
        g_assert_nonnull(fake_kv_value(kv, keys[i]));
    }
    send_request(&host, NM_METHOD_GET, "/a/" JOB, "");
    run_host(&host, 100);
    g_assert_cmpstr(last_response(&host), ==, "{\"state\":\"cancelled\"}");
    fake_kv_set_mode(kv, FAKE_KV_REJECTS_CALLS);
    run_host(&host, REMOVAL_DELAY_MAX_MS);
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    run_host(&host, 5000);
    for (size_t i = 0; i < NM_COUNT_OF(keys); i++) {
        g_test_message("%s", keys[i]);
        g_assert_null(fake_kv_value(kv, keys[i]));
    }
    send_request(&host, NM_METHOD_GET, "/a/" JOB, "");
    run_host(&host, 100);
    g_assert_cmpint(last_status(&host), ==, 410);
    host_finish(&host);
    fake_kv_free(kv);
}

/*
 * Load: the store rejects the calls of one host while the owner changes.  The
 * host cannot read who the new owner is; it must learn it from the owner's
 * announcement and forward its callers' requests to it.
 */
static void
test_cut_off_host_finds_the_new_owner(void)
{
    enum { OLD_OWNER, NEW_OWNER, CUT_OFF, HOSTS };
    static const char *const names[HOSTS] = {"a", "b", "c"};
    fake_kv_t *kv = configured_store();
    fake_kv_proxy_t proxies[HOSTS];
    host_t hosts[HOSTS];
    for (uint32_t i = 0; i < HOSTS; i++) {
        nm_kv_t *port = fake_kv_proxy_init(&proxies[i], fake_kv_port(kv));
        char address[64];
        g_snprintf(address, sizeof(address), "ipc:///tmp/nutmeg-cut-off-%d-%u",
                   (int)getpid(), i);
        host_init_with_kv(&hosts[i], names[i], address, kv, port);
        run_host(&hosts[i], 1000);
    }
    proxies[CUT_OFF].disconnected = true;
    run_host(&hosts[CUT_OFF], 2000);
    nm_entry_stop(hosts[OLD_OWNER].entry);
    run_host(&hosts[OLD_OWNER], 3000);
    run_host(&hosts[NEW_OWNER], 3000);
    for (uint32_t i = 0; i < 200; i++) {
        run_host(&hosts[NEW_OWNER], 10);
        run_host(&hosts[CUT_OFF], 10);
        g_usleep(1000);
    }
    send_request(&hosts[CUT_OFF], NM_METHOD_POST, "/a/" JOB, BODY);
    for (uint32_t i = 0;
         i < 5000 && hosts[CUT_OFF].listener.responses->len == 0; i++)
    {
        nm_entry_run(hosts[CUT_OFF].entry);
        nm_entry_run(hosts[NEW_OWNER].entry);
        fake_kv_run(kv);
        g_usleep(1000);
    }
    g_assert_cmpint(last_status(&hosts[CUT_OFF]), ==, 200);
    g_assert_nonnull(fake_kv_value(kv, JOB_KEY));
    for (uint32_t i = 0; i < HOSTS; i++) {
        host_finish(&hosts[i]);
        unlink(hosts[i].address + strlen("ipc://"));
    }
    fake_kv_free(kv);
}

/*
 * Load: an owner is cut off from the store, or paused, while another host is
 * elected.  The new owner's announcement must make it step down, so that it
 * gives no further orders; one of an earlier epoch must change nothing.
 */
static void
test_announcement_ends_former_owner(void)
{
    static const struct {
        const char *name;
        int64_t epoch;
        bool owner;
    } cases[] = {{"earlier epoch", 0, true}, {"newer epoch", 2, false}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t host;
        char address[64];
        g_snprintf(address, sizeof(address), "ipc:///tmp/nutmeg-former-%d",
                   (int)getpid());
        host_init_at(&host, "a", address, kv);
        run_host(&host, 1000);
        g_assert_cmpint(host.entry->role, ==, NM_ROLE_OWNER);
        g_assert_cmpint(host.entry->owned_epoch, ==, 1);
        nm_peer_rpc_t *rival = nm_peer_rpc_new("inproc://other");
        char rival_name[] = "b";
        char rival_address[] = "inproc://other";
        NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
        request.type = NM_PB__ENTRY_ASK__TYPE__OWNER;
        request.epoch = cases[i].epoch;
        request.owner_name = rival_name;
        request.owner_address = rival_address;
        nm_peer_rpc_notify(rival, address, &request);
        for (uint32_t round = 0; round < 200; round++) {
            nm_entry_run(host.entry);
            g_usleep(1000);
        }
        g_assert_true((host.entry->role == NM_ROLE_OWNER) == cases[i].owner);
        nm_peer_rpc_free(rival);
        host_finish(&host);
        unlink(address + strlen("ipc://"));
        fake_kv_free(kv);
    }
}

/*
 * Load: the watch reports a host's own election before the result of the
 * election's commit arrives.  The epoch of the owner must be the one that it
 * wrote; the next higher one would also be the epoch of the next owner.
 */
static void
test_watch_reports_election_first(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_proxy_t proxy;
    nm_kv_t *port = fake_kv_proxy_init(&proxy, fake_kv_port(kv));
    proxy.holds_commit_results = true;
    host_t host;
    host_init_with_kv(&host, "a", "inproc://a", kv, port);
    run_host(&host, 1000);
    g_assert_cmpint(host.entry->role, ==, NM_ROLE_CANDIDATE);
    g_assert_true(host.entry->owner.present);
    fake_kv_proxy_release_results(&proxy);
    run_host(&host, 1000);
    g_assert_cmpint(host.entry->role, ==, NM_ROLE_OWNER);
    g_assert_cmpstr(fake_kv_value(kv, EPOCH_KEY), ==, "1");
    g_assert_cmpint(host.entry->owned_epoch, ==, 1);
    g_assert_cmpint(host.entry->epoch, ==, 1);
    host_finish(&host);
    fake_kv_free(kv);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/entry/submit-and-query", test_submit_and_query);
    g_test_add_func("/entry/refusal-is-certain", test_refusal_is_certain);
    g_test_add_func("/entry/outage-is-refused-definitely",
                    test_outage_is_refused_definitely);
    g_test_add_func("/entry/configuration-never-goes-back",
                    test_configuration_never_goes_back);
    g_test_add_func("/entry/election-replaces-no-rival",
                    test_election_replaces_no_rival);
    g_test_add_func("/entry/restarted-owner-takes-over",
                    test_restarted_owner_takes_over);
    g_test_add_func("/entry/stopping-host-answers-all",
                    test_stopping_host_answers_all);
    g_test_add_func("/entry/stopping-owner-hands-over",
                    test_stopping_owner_hands_over);
    g_test_add_func("/entry/former-owner-starts-no-new-job",
                    test_former_owner_starts_no_new_job);
    g_test_add_func("/entry/stalled-watch-hides-no-job",
                    test_stalled_watch_hides_no_job);
    g_test_add_func("/entry/takeover-does-not-rewrite-ends",
                    test_takeover_does_not_rewrite_ends);
    g_test_add_func("/entry/late-commit-undoes-nothing",
                    test_late_commit_undoes_nothing);
    g_test_add_func("/entry/cancelled-job-is-not-created-late",
                    test_cancelled_job_is_not_created_late);
    g_test_add_func("/entry/unreadable-roster-is-waited-out",
                    test_unreadable_roster_is_waited_out);
    g_test_add_func("/entry/ended-jobs-are-removed",
                    test_ended_jobs_are_removed);
    g_test_add_func("/entry/cut-off-host-finds-the-new-owner",
                    test_cut_off_host_finds_the_new_owner);
    g_test_add_func("/entry/announcement-ends-former-owner",
                    test_announcement_ends_former_owner);
    g_test_add_func("/entry/watch-reports-election-first",
                    test_watch_reports_election_first);
    return g_test_run();
}
