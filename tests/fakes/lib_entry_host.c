#include "lib_entry_host.h"

#include <string.h>

#include "../../platform/codec.h"

static nm_api_request_t *
listener_next(nm_api_listener_t *base)
{
    return g_queue_pop_head(&((fake_listener_t *)base)->waiting);
}

static void
listener_reply(nm_api_listener_t *base, nm_api_request_t *request)
{
    g_ptr_array_add(((fake_listener_t *)base)->responses, request);
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

static void
listener_refuse(nm_api_listener_t *base)
{
    ((fake_listener_t *)base)->refuses = true;
}

static void
listener_set_routes(nm_api_listener_t *base,
                    const nm_queue_config_t *queue_config)
{
    (void)base;
    (void)queue_config;
}

static uint32_t
listener_open_requests(const nm_api_listener_t *base)
{
    const fake_listener_t *listener = (const fake_listener_t *)base;
    return listener->sent - listener->responses->len;
}

static const nm_api_listener_vtable_t listener_vtable = {
    listener_next,         listener_reply,  listener_fd,
    listener_set_ready,    listener_refuse, listener_set_routes,
    listener_open_requests};

typedef struct {
    nm_sched_action_t action;
    nm_order_done_fn done;
    void *user;
} held_start_t;

/* Later ones may be sent as the held ones end. */
static void
end_held_starts(fake_orders_t *orders, nm_order_result_t result)
{
    held_start_t *start;
    while ((start = g_queue_pop_head(&orders->held_starts))) {
        orders->starts += result == NM_ORDER_DONE;
        start->done(start->user, &start->action, result, NULL);
        g_free(start);
    }
}

void
fake_orders_release_starts(fake_orders_t *orders)
{
    end_held_starts(orders, NM_ORDER_DONE);
}

static bool
contains(GHashTable *ids, const char *id)
{
    return ids && g_hash_table_contains(ids, id);
}

static void
add_run(fake_orders_t *orders, const nm_sched_action_t *action)
{
    fake_run_t *run = g_new0(fake_run_t, 1);
    nm_strcopy(run->worker, sizeof(run->worker), action->worker);
    nm_strcopy(run->run.task, sizeof(run->run.task), action->task);
    run->run.run = action->run;
    g_ptr_array_add(orders->runs, run);
}

static GArray *
list_runs(const fake_orders_t *orders, const char *worker)
{
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(nm_worker_run_t));
    for (guint i = 0; orders->runs && i < orders->runs->len; i++) {
        const fake_run_t *run = orders->runs->pdata[i];
        if (strcmp(run->worker, worker) == 0) {
            g_array_append_val(runs, run->run);
        }
    }
    return runs;
}

static void
orders_send(nm_order_port_t *port, const nm_sched_action_t *action,
            int64_t epoch, nm_order_done_fn done, void *user)
{
    (void)epoch;
    fake_orders_t *orders = (fake_orders_t *)port;
    nm_order_result_t failure = NM_ORDER_DONE;
    if (contains(orders->out_of_reach, action->worker)) {
        failure = NM_ORDER_UNKNOWN;
    }
    else if (contains(orders->replaced, action->worker)) {
        failure = NM_ORDER_WRONG_INCARNATION;
    }
    if (failure != NM_ORDER_DONE) {
        nm_worker_report_t lost = {.result = failure};
        done(user, action, failure,
             action->type == NM_ACTION_POLL ? &lost : NULL);
        return;
    }
    if (orders->holds_starts && action->type == NM_ACTION_START) {
        held_start_t *start = g_new(held_start_t, 1);
        *start = (held_start_t){*action, done, user};
        g_queue_push_tail(&orders->held_starts, start);
        return;
    }
    GArray *runs = list_runs(orders, action->worker);
    nm_worker_report_t report = {
        .result = NM_ORDER_DONE,
        .sent_ms = nm_clock_now(orders->clock),
        .incarnation = 1,
        .clock_ms = 1000,
        .complete = orders->runs || orders->starts == 0,
        .running = (const nm_worker_run_t *)runs->data,
        .running_count = runs->len};
    orders->starts += action->type == NM_ACTION_START;
    if (orders->runs && action->type == NM_ACTION_START) {
        add_run(orders, action);
    }
    orders->renewals +=
        action->type == NM_ACTION_POLL && action->expiry_ms > 0;
    done(user, action, NM_ORDER_DONE,
         action->type == NM_ACTION_POLL ? &report : NULL);
    g_array_free(runs, TRUE);
}

static const nm_order_port_vtable_t orders_vtable = {.send = orders_send};

static void
free_request(gpointer data)
{
    nm_api_request_t *request = data;
    g_free(request->host_header);
    g_free(request->path);
    g_free(request->response);
    g_byte_array_free(request->body, TRUE);
    g_free(request);
}

fake_kv_t *
configured_store(void)
{
    fake_kv_t *kv = fake_kv_new();
    fake_kv_put(kv, CONFIG_KEY, CONFIG("4", "/a/"));
    return kv;
}

static void
init(host_t *host, const char *name, const char *address, fake_kv_t *kv,
     nm_kv_t *kv_port, nm_machine_port_t *machines, nm_ms_t evacuation_ms)
{
    *host =
        (host_t){.kv = kv,
                 .listener = {.base = {&listener_vtable}},
                 .orders = {.base = {&orders_vtable}, .clock = &host->clock}};
    nm_clock_init_manual(&host->clock, 1000);
    g_queue_init(&host->listener.waiting);
    g_queue_init(&host->orders.held_starts);
    host->listener.responses = g_ptr_array_new_with_free_func(free_request);
    nm_strcopy(host->address, sizeof(host->address), address);
    host->peers = nm_peer_rpc_new(host->address);
    host->entry = nm_entry_new(&(nm_entry_desc_t){
        .name = name,
        .zone = "z",
        .peer_address = host->address,
        .cpu_share = 0.1,
        .grace_ms = 6000,
        .evacuation_ms = evacuation_ms,
        .clock = &host->clock,
        .kv = kv_port,
        .orders = &host->orders.base,
        .machines = machines,
        .listener = &host->listener.base,
        .peers = host->peers,
        .codec = &nm_platform_codec,
    });
}

void
host_init_with_kv(host_t *host, const char *name, const char *address,
                  fake_kv_t *kv, nm_kv_t *kv_port)
{
    init(host, name, address, kv, kv_port, NULL, 0);
}

void
host_init_at(host_t *host, const char *name, const char *address,
             fake_kv_t *kv)
{
    host_init_with_kv(host, name, address, kv, fake_kv_port(kv));
}

void
host_init(host_t *host, const char *name, fake_kv_t *kv)
{
    char address[64];
    g_snprintf(address, sizeof(address), "inproc://%s", name);
    host_init_at(host, name, address, kv);
}

void
host_init_with_machines(host_t *host, const char *name, fake_kv_t *kv,
                        fake_machines_t *machines)
{
    char address[64];
    g_snprintf(address, sizeof(address), "inproc://%s", name);
    init(host, name, address, kv, fake_kv_port(kv), &machines->base, 0);
}

void
host_init_evacuating(host_t *host, const char *name, fake_kv_t *kv,
                     nm_ms_t evacuation_ms)
{
    char address[64];
    g_snprintf(address, sizeof(address), "inproc://%s", name);
    init(host, name, address, kv, fake_kv_port(kv), NULL, evacuation_ms);
}

void
host_finish(host_t *host)
{
    end_held_starts(&host->orders, NM_ORDER_UNKNOWN);
    fake_kv_end_calls(host->kv);
    nm_entry_free(host->entry);
    nm_peer_rpc_free(host->peers);
    g_ptr_array_free(host->listener.responses, TRUE);
}

void
run_host(host_t *host, nm_ms_t duration_ms)
{
    for (nm_ms_t t = 0; t < duration_ms; t += 10) {
        host->clock.manual_ms += 10;
        nm_entry_run(host->entry);
        fake_kv_run(host->kv);
    }
}

void
send_request(host_t *host, nm_method_t method, const char *path,
             const char *body)
{
    nm_api_request_t *request = g_new0(nm_api_request_t, 1);
    request->method = method;
    request->host_header = g_strdup("h");
    request->path = g_strdup(path);
    request->body = g_byte_array_new();
    request->timeout_ms = 3000;
    g_byte_array_append(request->body, (const guint8 *)body,
                        (guint)strlen(body));
    host->listener.sent++;
    g_queue_push_tail(&host->listener.waiting, request);
}

int
last_status(const host_t *host)
{
    guint count = host->listener.responses->len;
    return count == 0 ? 0
                      : ((nm_api_request_t *)
                             host->listener.responses->pdata[count - 1])
                            ->status;
}

const char *
last_response(const host_t *host)
{
    guint count = host->listener.responses->len;
    return ((nm_api_request_t *)host->listener.responses->pdata[count - 1])
        ->response;
}
