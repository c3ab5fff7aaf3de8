/* Entry hosts against an in-process store, on a manual clock. */
#include <string.h>
#include <unistd.h>

#include <glib.h>

#include "../platform/codec.h"
#include "../src/entry_state.h"
#include "lib_kv.h"
#include "lib_kv_proxy.h"

#define CONFIG_KEY "op/config"
#define JOB "5c0e7a21d94b36f8"
#define JOB_KEY "nutmegdeck/jobs/" JOB
#define ROSTER_KEY "nutmegdeck/owned/roster"
#define OWNER_KEY "nutmegdeck/control/owner"
#define EPOCH_KEY "nutmegdeck/control/epoch"
#define CONFIG(version, prefix)                                               \
    "{\"version\":" version ",\"routes\":[{\"name\":\"q\",\"host\":\"h\","    \
    "\"pathPrefix\":\"" prefix "\",\"service\":\"s\",\"maxAttempts\":2,"      \
    "\"slackFactor\":2,\"targetLatencyMs\":600,\"timeoutMs\":3000}],"         \
    "\"services\":[{\"name\":\"s\"}],\"limits\":{}}"
#define WORKER                                                                \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","          \
    "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"memMb\":1000},"        \
    "\"labels\":[\"a\",\"r1\"],\"sequence\":1,\"born\":1}"
#define RECORD                                                                \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":2,\"cpu_milli\":500}]}"
#define BODY "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500}]}"

/* Ended jobs are known at least this long (the platform's status_s). */
#define RETENTION_MS 120000
/* ...and gone this much later. */
#define REMOVAL_DELAY_MAX_MS 40000

typedef struct {
    nm_api_listener_t base;
    GQueue waiting;
    GPtrArray *responses;
    bool ready;
} fake_listener_t;

/* Workers that carry out everything at once and run nothing for long. */
typedef struct {
    nm_order_port_t base;
    uint32_t starts;
} fake_orders_t;

typedef struct {
    nm_clock_t clock;
    fake_kv_t *kv;
    fake_listener_t listener;
    fake_orders_t orders;
    nm_peer_rpc_t *peers;
    nm_entry_t *entry;
    char address[64];
} host_t;

static nm_api_request_t *
listener_next(nm_api_listener_t *base)
{
    return g_queue_pop_head(&((fake_listener_t *)base)->waiting);
}

static void
listener_reply(nm_api_listener_t *base, nm_api_request_t *call)
{
    g_ptr_array_add(((fake_listener_t *)base)->responses, call);
}

static int
listener_fd(const nm_api_listener_t *base)
{
    (void)base;
    return -1;
}

static void
listener_set_ready(nm_api_listener_t *base, bool ready)
{
    ((fake_listener_t *)base)->ready = ready;
}

static const nm_api_listener_vtable_t listener_vtable = {
    listener_next, listener_reply, listener_fd, listener_set_ready};

static void
orders_send(nm_order_port_t *port, const nm_sched_action_t *action,
            int64_t epoch, nm_order_done_fn done, void *user)
{
    (void)epoch;
    nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                 .incarnation = 1,
                                 .clock_ms = 1000,
                                 .complete = false};
    ((fake_orders_t *)port)->starts += action->type == NM_ACTION_START;
    done(user, action, NM_ORDER_DONE,
         action->type == NM_ACTION_POLL ? &report : NULL);
}

static const nm_order_port_vtable_t orders_vtable = {orders_send};

static void
free_call(gpointer data)
{
    nm_api_request_t *call = data;
    g_free(call->host_header);
    g_free(call->path);
    g_free(call->response);
    g_byte_array_free(call->body, TRUE);
    g_free(call);
}

/* A store with a configuration of one queue. */
static fake_kv_t *
configured_store(void)
{
    fake_kv_t *kv = fake_kv_new();
    fake_kv_put(kv, CONFIG_KEY, CONFIG("4", "/a/"));
    return kv;
}

static void
host_init_on(host_t *host, const char *name, const char *address,
             fake_kv_t *kv, nm_kv_t *path)
{
    *host = (host_t){.kv = kv,
                     .listener = {.base = {&listener_vtable}},
                     .orders = {.base = {&orders_vtable}}};
    nm_clock_init_manual(&host->clock, 1000);
    g_queue_init(&host->listener.waiting);
    host->listener.responses = g_ptr_array_new_with_free_func(free_call);
    nm_strcopy(host->address, sizeof(host->address), address);
    host->peers = nm_peer_rpc_new(host->address);
    host->entry = nm_entry_new(&(nm_entry_desc_t){
        .name = name,
        .zone = "z",
        .peer_address = host->address,
        .cpu_share = 0.1,
        .grace_ms = 6000,
        .clock = &host->clock,
        .kv = path,
        .orders = &host->orders.base,
        .listener = &host->listener.base,
        .peers = host->peers,
        .codec = &nm_platform_codec,
    });
}

static void
host_init_at(host_t *host, const char *name, const char *address,
             fake_kv_t *kv)
{
    host_init_on(host, name, address, kv, fake_kv_port(kv));
}

static void
host_init(host_t *host, const char *name, fake_kv_t *kv)
{
    char address[64];
    g_snprintf(address, sizeof(address), "inproc://%s", name);
    host_init_at(host, name, address, kv);
}

static void
host_finish(host_t *host)
{
    fake_kv_end_calls(host->kv);
    nm_entry_free(host->entry);
    nm_peer_rpc_free(host->peers);
    g_ptr_array_free(host->listener.responses, TRUE);
}

static void
run(host_t *host, nm_ms_t duration_ms)
{
    for (nm_ms_t t = 0; t < duration_ms; t += 10) {
        host->clock.manual_ms += 10;
        nm_entry_run(host->entry);
        fake_kv_run(host->kv);
    }
}

static void
call(host_t *host, nm_method_t method, const char *target, const char *body)
{
    nm_api_request_t *request = g_new0(nm_api_request_t, 1);
    request->method = method;
    request->host_header = g_strdup("h");
    request->path = g_strdup(target);
    request->body = g_byte_array_new();
    request->deadline_ms = 3000;
    g_byte_array_append(request->body, (const guint8 *)body,
                        (guint)strlen(body));
    g_queue_push_tail(&host->listener.waiting, request);
}

/* Status of the newest answer; 0 if there is none. */
static int
last_status(const host_t *host)
{
    guint count = host->listener.responses->len;
    return count == 0 ? 0
                      : ((nm_api_request_t *)
                             host->listener.responses->pdata[count - 1])
                            ->status;
}

static const char *
last_response(const host_t *host)
{
    guint count = host->listener.responses->len;
    return ((nm_api_request_t *)host->listener.responses->pdata[count - 1])
        ->response;
}

static void
test_submit_and_query(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run(&host, 1000);
    g_assert_true(host.listener.ready);
    g_assert_nonnull(fake_kv_value(kv, OWNER_KEY));
    static const struct {
        nm_method_t method;
        const char *target;
        const char *body;
        int status;
        const char *answer;
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
        call(&host, cases[i].method, cases[i].target, cases[i].body);
        run(&host, 200);
        g_assert_cmpint(last_status(&host), ==, cases[i].status);
        if (cases[i].answer) {
            g_assert_cmpstr(last_response(&host), ==, cases[i].answer);
        }
    }
    host_finish(&host);
    fake_kv_free(kv);
}

/* A refusal says that the job never runs, so it must not be in doubt. */
static void
test_refusal_is_certain(void)
{
    static const struct {
        const char *name;
        fake_kv_mode_t mode;
        int status;
        nm_ms_t within_ms;
    } cases[] = {
        {"refused at once", FAKE_KV_REJECTS_CALLS, 503, 900},
        {"in flight at the deadline", FAKE_KV_UNRESPONSIVE, 504, 3000},
        {"answers lost", FAKE_KV_LOSES_COMMIT_RESULTS, 504, 3000},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init(&host, "a", kv);
        run(&host, 1000);
        fake_kv_set_mode(kv, cases[i].mode);
        call(&host, NM_METHOD_POST, "/a/" JOB, BODY);
        run(&host, cases[i].within_ms);
        g_assert_cmpint(last_status(&host), ==, cases[i].status);
        fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
        run(&host, 100);
        bool refused = cases[i].status == 503;
        g_assert_true(!refused || !fake_kv_value(kv, JOB_KEY));
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * Load: the store refuses all calls under full traffic.  A host that asks the
 * owner must be able to refuse with certainty, and once the outage is known,
 * at once: the caller may then try another host.  The hosts' clock stands
 * still while messages are on their way, so that the machine's load does not
 * matter.
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
        run(&hosts[i], 1000);
    }
    fake_kv_set_mode(kv, FAKE_KV_REJECTS_CALLS);
    for (uint32_t round = 0; round < 3; round++) {
        guint answered = hosts[1].listener.responses->len;
        call(&hosts[1], NM_METHOD_POST, "/a/" JOB, BODY);
        for (uint32_t i = 0;
             i < 5000 && hosts[1].listener.responses->len == answered; i++)
        {
            nm_entry_run(hosts[1].entry);
            nm_entry_run(hosts[0].entry);
            fake_kv_run(kv);
            g_usleep(1000);
        }
        g_assert_cmpuint(hosts[1].listener.responses->len, ==, answered + 1);
        g_assert_cmpint(last_status(&hosts[1]), ==, 503);
        for (uint32_t i = 0; i < NM_COUNT_OF(hosts); i++) {
            run(&hosts[i], 500);
        }
    }
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    run(&hosts[0], 1000);
    run(&hosts[1], 1000);
    g_assert_null(fake_kv_value(kv, JOB_KEY));
    for (uint32_t i = 0; i < NM_COUNT_OF(hosts); i++) {
        host_finish(&hosts[i]);
        unlink(hosts[i].address + strlen("ipc://"));
    }
    fake_kv_free(kv);
}

/* The store never shows an older version, and neither does the host. */
static void
test_configuration_never_goes_back(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run(&host, 500);
    fake_kv_put(kv, CONFIG_KEY, CONFIG("9", "/b/"));
    run(&host, 200);
    fake_kv_put(kv, CONFIG_KEY, CONFIG("5", "/a/"));
    fake_kv_compact(kv);
    run(&host, 200);
    fake_kv_put(kv, CONFIG_KEY, "{not a configuration");
    run(&host, 200);
    call(&host, NM_METHOD_GET, "/b/", "");
    run(&host, 200);
    g_assert_cmpint(last_status(&host), ==, 200);
    call(&host, NM_METHOD_GET, "/a/", "");
    run(&host, 200);
    g_assert_cmpint(last_status(&host), ==, 404);
    host_finish(&host);
    fake_kv_free(kv);
}

/* Whenever a rival is elected, it stays the owner. */
static void
test_election_replaces_no_rival(void)
{
    static const char rival[] = "{\"name\":\"b\",\"address\":\"inproc://b\","
                                "\"token\":\"t\",\"epoch\":1}";
    uint32_t met = 0;
    for (int at = 0; at < 40; at++) {
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init(&host, "a", kv);
        for (int i = 0; i < at; i++) {
            host.clock.manual_ms += 10;
            nm_entry_run(host.entry);
            fake_kv_run(kv);
        }
        bool vacant = !fake_kv_value(kv, OWNER_KEY);
        if (vacant) {
            fake_kv_put(kv, OWNER_KEY, rival);
            met++;
        }
        run(&host, 1000);
        g_assert_true(!vacant ||
                      strcmp(fake_kv_value(kv, OWNER_KEY), rival) == 0);
        host_finish(&host);
        fake_kv_free(kv);
    }
    g_assert_cmpuint(met, >, 5);
}

/* A new process of the owner takes over without waiting for its lease. */
static void
test_restarted_owner_takes_over(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run(&host, 1000);
    call(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run(&host, 200);
    host_finish(&host);
    host_init(&host, "a", kv);
    run(&host, 300);
    g_assert_cmpstr(fake_kv_value(kv, "nutmegdeck/control/epoch"), ==, "2");
    call(&host, NM_METHOD_GET, "/a/" JOB, "");
    run(&host, 200);
    g_assert_cmpstr(last_response(&host), ==, "{\"state\":\"queued\"}");
    host_finish(&host);
    fake_kv_free(kv);
}

/* A planned stop leaves no gap: another host owns the workers at once. */
static void
test_stopping_owner_hands_over(void)
{
    fake_kv_t *kv = configured_store();
    host_t first;
    host_t second;
    host_init(&first, "a", kv);
    run(&first, 1000);
    host_init(&second, "b", kv);
    run(&second, 500);
    nm_entry_stop(first.entry);
    for (int i = 0; i < 60; i++) {
        run(&first, 10);
        run(&second, 10);
    }
    g_assert_nonnull(strstr(fake_kv_value(kv, OWNER_KEY), "\"name\":\"b\""));
    host_finish(&first);
    host_finish(&second);
    fake_kv_free(kv);
}

/*
 * A host that does not know yet that it lost ownership must start nothing
 * of a job that was written since: the new owner may have started it.
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
        run(&host, 1500);
        if (cases[i].replaced) {
            fake_kv_suppress_watches(kv, "nutmegdeck/control/");
            fake_kv_put(kv, OWNER_KEY, rival);
        }
        fake_kv_put(kv, JOB_KEY, RECORD);
        run(&host, 500);
        g_assert_cmpuint(host.orders.starts, ==, cases[i].starts);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * Load: watches' connections go silent without a reset while callers submit.
 * Cancels must reach workers within 3 s of their acknowledgement, a second of
 * it is for the order to stop, so the owner must hear of changes in 2 s.
 */
static void
test_stalled_watch_hides_no_job(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, "servers/w1", WORKER);
    host_t host;
    host_init(&host, "a", kv);
    run(&host, 1500);
    fake_kv_stall_watches(kv, "nutmegdeck/jobs/", &host.clock);
    fake_kv_put(kv, JOB_KEY, RECORD);
    run(&host, 2000);
    g_assert_cmpuint(host.orders.starts, ==, 2);
    host_finish(&host);
    fake_kv_free(kv);
}

/*
 * Load: a takeover with hundreds of cancelled jobs behind it.  What the last
 * owner stored of them must not be written again, in front of what callers
 * wait for.
 */
static void
test_takeover_writes_no_end_again(void)
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
    run(&host, 3000);
    g_assert_cmpstr(fake_kv_value(kv, "nutmegdeck/progress/" JOB), ==,
                    progress);
    call(&host, NM_METHOD_GET, "/a/" JOB, "");
    run(&host, 200);
    g_assert_nonnull(strstr(last_response(&host), "cancelled"));
    g_assert_cmpuint(host.orders.starts, ==, 0);
    host_finish(&host);
    fake_kv_free(kv);
}

/* A commit that is carried out late must not undo a later one. */
static void
test_late_commit_undoes_nothing(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run(&host, 1000);
    fake_kv_set_mode(kv, FAKE_KV_DELAYS_COMMITS);
    fake_kv_put(kv, "servers/w1", WORKER);
    run(&host, 500);
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    fake_kv_put(kv, "servers/w2", WORKER);
    run(&host, 1500);
    g_assert_nonnull(strstr(fake_kv_value(kv, ROSTER_KEY), "w2"));
    fake_kv_apply_delayed(kv);
    run(&host, 500);
    g_assert_nonnull(strstr(fake_kv_value(kv, ROSTER_KEY), "w2"));
    host_finish(&host);
    fake_kv_free(kv);
}

/* A create that is carried out after the job's cancel creates nothing. */
static void
test_cancelled_job_is_not_created_late(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    run(&host, 1000);
    fake_kv_set_mode(kv, FAKE_KV_DELAYS_COMMITS);
    call(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run(&host, 3000);
    g_assert_cmpint(last_status(&host), ==, 504);
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    call(&host, NM_METHOD_DELETE, "/a/" JOB, "");
    run(&host, 500);
    g_assert_cmpint(last_status(&host), ==, 410);
    fake_kv_apply_delayed(kv);
    g_assert_null(fake_kv_value(kv, JOB_KEY));
    host_finish(&host);
    fake_kv_free(kv);
}

/* Without a roster that can be read, any worker may run a recovered task. */
static void
test_unreadable_roster_is_waited_out(void)
{
    static const struct {
        const char *roster;
        uint32_t starts_at_once;
    } cases[] = {{"[\"w1\"]", 2}, {"{broken", 0}, {"{\"w1\":1}", 0}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "nutmegdeck/control/epoch", "1");
        fake_kv_put(kv, ROSTER_KEY, cases[i].roster);
        fake_kv_put(kv, "servers/w1", WORKER);
        fake_kv_put(kv, JOB_KEY, RECORD);
        host_t host;
        host_init(&host, "a", kv);
        run(&host, 3000);
        g_assert_cmpuint(host.orders.starts, ==, cases[i].starts_at_once);
        run(&host, 6000);
        g_assert_cmpuint(host.orders.starts, ==, 2);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * Load: jobs that have ended, and cancels of jobs that never came, for longer
 * than their retention.  All their keys leave the store, in an outage too,
 * once it is over.
 */
static void
test_ended_jobs_leave_the_store(void)
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
    run(&host, 1000);
    call(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run(&host, 200);
    call(&host, NM_METHOD_DELETE, "/a/" JOB, "");
    call(&host, NM_METHOD_DELETE, "/a/00000000000000aa", "");
    run(&host, RETENTION_MS);
    for (size_t i = 0; i < NM_COUNT_OF(keys); i++) {
        g_assert_nonnull(fake_kv_value(kv, keys[i]));
    }
    call(&host, NM_METHOD_GET, "/a/" JOB, "");
    run(&host, 100);
    g_assert_cmpstr(last_response(&host), ==, "{\"state\":\"cancelled\"}");
    fake_kv_set_mode(kv, FAKE_KV_REJECTS_CALLS);
    run(&host, REMOVAL_DELAY_MAX_MS);
    fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
    run(&host, 5000);
    for (size_t i = 0; i < NM_COUNT_OF(keys); i++) {
        g_test_message("%s", keys[i]);
        g_assert_null(fake_kv_value(kv, keys[i]));
    }
    call(&host, NM_METHOD_GET, "/a/" JOB, "");
    run(&host, 100);
    g_assert_cmpint(last_status(&host), ==, 410);
    host_finish(&host);
    fake_kv_free(kv);
}

/*
 * Load: the store turns a host away, and the owner changes meanwhile.  The
 * host cannot read who the new owner is; its callers are served through it
 * all the same.
 */
static void
test_cut_off_host_finds_the_new_owner(void)
{
    enum { OLD_OWNER, NEW_OWNER, CUT_OFF, HOSTS };
    static const char *const names[HOSTS] = {"a", "b", "c"};
    fake_kv_t *kv = configured_store();
    fake_kv_proxy_t paths[HOSTS];
    host_t hosts[HOSTS];
    for (uint32_t i = 0; i < HOSTS; i++) {
        nm_kv_t *port = fake_kv_proxy_init(&paths[i], fake_kv_port(kv));
        char address[64];
        g_snprintf(address, sizeof(address), "ipc:///tmp/nutmeg-turned-%d-%u",
                   (int)getpid(), i);
        host_init_on(&hosts[i], names[i], address, kv, port);
        run(&hosts[i], 1000);
    }
    paths[CUT_OFF].disconnected = true;
    run(&hosts[CUT_OFF], 2000);
    nm_entry_stop(hosts[OLD_OWNER].entry);
    run(&hosts[OLD_OWNER], 3000);
    run(&hosts[NEW_OWNER], 3000);
    for (uint32_t i = 0; i < 200; i++) {
        run(&hosts[NEW_OWNER], 10);
        run(&hosts[CUT_OFF], 10);
        g_usleep(1000);
    }
    call(&hosts[CUT_OFF], NM_METHOD_POST, "/a/" JOB, BODY);
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
 * Load: an owner that the store turns away, or that was paused, while another
 * one was elected.  It hears of that from the other one, and gives no order
 * after it; an announcement that is late changes nothing.
 */
static void
test_announced_owner_ends_the_former(void)
{
    static const struct {
        const char *name;
        int64_t epoch;
        bool owner;
    } cases[] = {{"of an earlier epoch", 0, true}, {"newer", 2, false}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t host;
        char address[64];
        g_snprintf(address, sizeof(address), "ipc:///tmp/nutmeg-former-%d",
                   (int)getpid());
        host_init_at(&host, "a", address, kv);
        run(&host, 1000);
        g_assert_cmpint(host.entry->role, ==, NM_ROLE_OWNER);
        g_assert_cmpint(host.entry->owned_epoch, ==, 1);
        nm_peer_rpc_t *other = nm_peer_rpc_new("inproc://other");
        char name[] = "b";
        char where[] = "inproc://other";
        NmPb__EntryAsk ask = NM_PB__ENTRY_ASK__INIT;
        ask.type = NM_PB__ENTRY_ASK__TYPE__OWNER;
        ask.epoch = cases[i].epoch;
        ask.owner_name = name;
        ask.owner_address = where;
        nm_peer_rpc_notify(other, address, &ask);
        for (uint32_t r = 0; r < 200; r++) {
            nm_entry_run(host.entry);
            g_usleep(1000);
        }
        g_assert_true((host.entry->role == NM_ROLE_OWNER) == cases[i].owner);
        nm_peer_rpc_free(other);
        host_finish(&host);
        unlink(address + strlen("ipc://"));
        fake_kv_free(kv);
    }
}

/*
 * Load: the watch shows a new owner its own election before the answer to the
 * election comes.  Its epoch is the one that it wrote: one more would be that
 * of the next owner, too.
 */
static void
test_election_is_seen_before_its_answer(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_proxy_t path;
    nm_kv_t *port = fake_kv_proxy_init(&path, fake_kv_port(kv));
    path.holds_commit_results = true;
    host_t host;
    host_init_on(&host, "a", "inproc://a", kv, port);
    run(&host, 1000);
    g_assert_cmpint(host.entry->role, ==, NM_ROLE_CANDIDATE);
    g_assert_true(host.entry->owner.present);
    fake_kv_proxy_release_results(&path);
    run(&host, 1000);
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
    g_test_add_func("/entry/outage-is-refused-with-certainty",
                    test_outage_is_refused_definitely);
    g_test_add_func("/entry/configuration-never-goes-back",
                    test_configuration_never_goes_back);
    g_test_add_func("/entry/election-replaces-no-rival",
                    test_election_replaces_no_rival);
    g_test_add_func("/entry/restarted-owner-takes-over",
                    test_restarted_owner_takes_over);
    g_test_add_func("/entry/stopping-owner-hands-over",
                    test_stopping_owner_hands_over);
    g_test_add_func("/entry/former-owner-starts-no-new-job",
                    test_former_owner_starts_no_new_job);
    g_test_add_func("/entry/silent-watch-hides-no-job",
                    test_stalled_watch_hides_no_job);
    g_test_add_func("/entry/takeover-writes-no-end-again",
                    test_takeover_writes_no_end_again);
    g_test_add_func("/entry/late-commit-undoes-nothing",
                    test_late_commit_undoes_nothing);
    g_test_add_func("/entry/cancelled-job-is-not-created-late",
                    test_cancelled_job_is_not_created_late);
    g_test_add_func("/entry/unreadable-roster-is-waited-out",
                    test_unreadable_roster_is_waited_out);
    g_test_add_func("/entry/ended-jobs-leave-the-store",
                    test_ended_jobs_leave_the_store);
    g_test_add_func("/entry/turned-away-host-finds-the-new-owner",
                    test_cut_off_host_finds_the_new_owner);
    g_test_add_func("/entry/announced-owner-ends-the-former",
                    test_announced_owner_ends_the_former);
    g_test_add_func("/entry/election-is-seen-before-its-answer",
                    test_election_is_seen_before_its_answer);
    return g_test_run();
}
