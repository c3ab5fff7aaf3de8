/*
 * Requests for which a host knows no queue: whether it refuses them for good
 * depends on how old its configuration may be.
 */
#include <unistd.h>

#include <glib.h>

#include "lib_entry_host.h"

#define NEW_PATH "/b/" JOB
/* Longer than a configuration may be old, 3 s by default. */
#define SILENCE_MS 4000
/* A request that needs no confirmation has its response in two rounds. */
#define AT_ONCE_MS 20
/*
 * A request that waits for a confirmation has its response by then: a host may
 * serve an older version for 250 ms after a newer one, at most.
 */
#define CONFIRM_MAX_MS 250

/* The same queue and another one. */
#define TWO_QUEUES                                                            \
    "{\"version\":7,\"routes\":[{\"name\":\"q\",\"host\":\"h\","              \
    "\"pathPrefix\":\"/a/\",\"service\":\"s\"},{\"name\":\"r\","              \
    "\"host\":\"h\",\"pathPrefix\":\"/b/\",\"service\":\"s\"}],"              \
    "\"limits\":{}}"

typedef enum {
    QUIET,        /* the store responds to idle watches */
    WATCH_SILENT, /* it does not, though the configuration has changed */
    STORE_LOST,   /* the store refuses all calls */
} silence_t;

static nm_ms_t
wait_for_response(host_t *host, nm_ms_t max_ms)
{
    guint responses = host->listener.responses->len;
    nm_ms_t waited_ms = 0;
    while (host->listener.responses->len == responses && waited_ms < max_ms) {
        run_host(host, 10);
        waited_ms += 10;
    }
    return waited_ms;
}

/*
 * A queue has been added to the configuration, or not, and the host may not
 * have heard of it.
 */
static void
test_old_copy_refuses_nothing_for_good(void)
{
    static const struct {
        const char *name;
        silence_t silence;
        bool heals; /* while the request waits */
        const char *path;
        int status;
        nm_ms_t waits_min_ms;
        nm_ms_t waits_max_ms;
        bool body_discarded; /* as there was no route when it arrived */
    } cases[] = {
        {"no such queue, recent", QUIET, false, NEW_PATH, 404, 0, AT_ONCE_MS,
         false},
        {"known queue, recent", QUIET, false, "/a/" JOB, 200, 0, AT_ONCE_MS,
         false},
        {"new queue, the watch is back", WATCH_SILENT, true, NEW_PATH, 200, 0,
         CONFIRM_MAX_MS, false},
        {"no such queue, the watch is back", WATCH_SILENT, true, "/c/" JOB,
         404, 0, CONFIRM_MAX_MS, false},
        {"new queue, the watch stays silent", WATCH_SILENT, false, NEW_PATH,
         503, 100, CONFIRM_MAX_MS, false},
        {"known queue, the watch is silent", WATCH_SILENT, false, "/a/" JOB,
         200, 0, AT_ONCE_MS, false},
        {"new queue, the store is lost", STORE_LOST, false, NEW_PATH, 503, 0,
         AT_ONCE_MS, false},
        {"new queue, the watch is back, no body", WATCH_SILENT, true, NEW_PATH,
         503, 0, CONFIRM_MAX_MS, true},
        {"no such queue, no body", QUIET, false, NEW_PATH, 404, 0, AT_ONCE_MS,
         true},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init(&host, "a", kv);
        fake_kv_answer_idle_watches(kv, &host.clock);
        run_host(&host, 1000);
        if (cases[i].silence == WATCH_SILENT) {
            fake_kv_suppress_watches(kv, "op/");
            fake_kv_put(kv, CONFIG_KEY, TWO_QUEUES);
        }
        if (cases[i].silence == STORE_LOST) {
            fake_kv_set_mode(kv, FAKE_KV_REJECTS_CALLS);
        }
        run_host(&host, SILENCE_MS);
        send_request(&host, NM_METHOD_POST, cases[i].path, BODY);
        nm_api_request_t *request = g_queue_peek_tail(&host.listener.waiting);
        request->body_discarded = cases[i].body_discarded;
        if (cases[i].heals) {
            run_host(&host, 100);
            g_assert_cmpint(last_status(&host), ==, 0);
            fake_kv_suppress_watches(kv, NULL);
        }
        nm_ms_t waited_ms = wait_for_response(&host, CONFIRM_MAX_MS);
        g_assert_cmpint(last_status(&host), ==, cases[i].status);
        g_assert_cmpint(waited_ms, >=, cases[i].waits_min_ms);
        g_assert_cmpint(waited_ms, <=, cases[i].waits_max_ms);
        const GPtrArray *responses = host.listener.responses;
        if (cases[i].status == 503 && responses->len > 0) {
            const nm_api_request_t *response =
                responses->pdata[responses->len - 1];
            g_assert_cmpuint(response->retry_after_s, >, 0);
        }
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * A host carries orders of another one, or forwards requests to it, and has
 * not received its configuration: it does not refuse what the other one
 * accepts.
 */
static void
test_peer_with_newer_version_is_believed(void)
{
    enum { DELIVERY_US = 25000, TRIES = 40 };
    char address[64];
    fake_kv_t *kv = configured_store();
    host_t hosts[2];
    /* Names of the abstract namespace: no port that another run may hold. */
    g_snprintf(address, sizeof(address), "ipc://@nm-config-age-%d-a",
               (int)getpid());
    host_init_at(&hosts[0], "a", address, kv);
    fake_kv_answer_idle_watches(kv, &hosts[0].clock);
    run_host(&hosts[0], 6000);
    g_assert_cmpint(hosts[0].entry->role, ==, NM_ROLE_OWNER);
    fake_kv_suppress_watches(kv, "op/");
    fake_kv_put(kv, CONFIG_KEY, TWO_QUEUES);
    g_snprintf(address, sizeof(address), "ipc://@nm-config-age-%d-b",
               (int)getpid());
    host_init_at(&hosts[1], "b", address, kv);
    run_host(&hosts[1], 500);
    send_request(&hosts[1], NM_METHOD_GET, "/a/", "");
    run_host(&hosts[1], 20);
    /* ZeroMQ delivers in real time, the request and its response. */
    for (int i = 0; i < TRIES && hosts[0].entry->peer_config_version == 0; i++)
    {
        g_usleep(DELIVERY_US);
        run_host(&hosts[0], 10);
    }
    for (int i = 0; i < TRIES && last_status(&hosts[1]) == 0; i++) {
        g_usleep(DELIVERY_US);
        run_host(&hosts[1], 10);
    }
    g_assert_cmpint(last_status(&hosts[1]), ==, 200);
    /* The older version was shown to be the newest within config_apply_ms. */
    g_assert_cmpint(nm_feed_age_ms(&hosts[0].entry->config_feed), <, 3000);
    send_request(&hosts[0], NM_METHOD_POST, NEW_PATH, BODY);
    run_host(&hosts[0], 100);
    g_assert_cmpint(last_status(&hosts[0]), ==, 0);
    fake_kv_suppress_watches(kv, NULL);
    wait_for_response(&hosts[0], CONFIRM_MAX_MS);
    g_assert_cmpint(last_status(&hosts[0]), ==, 200);
    send_request(&hosts[0], NM_METHOD_POST, "/c/" JOB, BODY);
    wait_for_response(&hosts[0], CONFIRM_MAX_MS);
    g_assert_cmpint(last_status(&hosts[0]), ==, 404);
    host_finish(&hosts[0]);
    host_finish(&hosts[1]);
    fake_kv_free(kv);
}

/*
 * A request waits for its queue while later ones are served by the older
 * version: it is refused for a time rather than served much later by the newer
 * one, which would show that the host had it and went back.
 */
static void
test_waiting_request_is_not_overtaken(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    fake_kv_answer_idle_watches(kv, &host.clock);
    run_host(&host, 1000);
    fake_kv_suppress_watches(kv, "op/");
    fake_kv_put(kv, CONFIG_KEY, TWO_QUEUES);
    run_host(&host, SILENCE_MS);
    send_request(&host, NM_METHOD_POST, NEW_PATH, BODY);
    run_host(&host, CONFIRM_MAX_MS);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run_host(&host, AT_ONCE_MS);
    fake_kv_suppress_watches(kv, NULL);
    run_host(&host, 100);
    g_assert_cmpint(host.entry->queue_config->version, ==, 7);
    g_assert_cmpuint(host.listener.responses->len, ==, 2);
    const nm_api_request_t *first = host.listener.responses->pdata[0];
    g_assert_cmpstr(first->path, ==, NEW_PATH);
    g_assert_cmpint(first->status, ==, 503);
    host_finish(&host);
    fake_kv_free(kv);
}

/* A host that stops while requests wait for a confirmation answers them. */
static void
test_stopping_host_answers_unconfirmed(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1000);
    fake_kv_suppress_watches(kv, "op/");
    run_host(&host, SILENCE_MS);
    send_request(&host, NM_METHOD_POST, NEW_PATH, BODY);
    run_host(&host, 100);
    nm_entry_stop(host.entry);
    run_host(&host, 6000);
    g_assert_true(nm_entry_is_stopped(host.entry));
    g_assert_cmpint(last_status(&host), ==, 503);
    host_finish(&host);
    fake_kv_free(kv);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/config-age/old-copy-refuses-nothing-for-good",
                    test_old_copy_refuses_nothing_for_good);
    g_test_add_func("/config-age/peer-with-newer-version-is-believed",
                    test_peer_with_newer_version_is_believed);
    g_test_add_func("/config-age/waiting-request-is-not-overtaken",
                    test_waiting_request_is_not_overtaken);
    g_test_add_func("/config-age/stopping-host-answers-unconfirmed",
                    test_stopping_host_answers_unconfirmed);
    return g_test_run();
}
