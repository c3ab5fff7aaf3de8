/*
 * Two owners: once an owner takes the former ones to be over, no other host
 * may start a task or renew a lease with a lower epoch.
 *
 * Load: entry hosts that are cut off from the store, from workers and from
 * each other, paused, suspended, restarted, stopped, and whose name is used
 * again at another address; owner keys that the store takes away; workers that
 * restart, leave for good, and come under other ids.  All of it is drawn from
 * a seed.  Hosts exchange messages in process, so that a seed gives the same
 * run each time.
 */
#include <string.h>

#include <glib.h>

#include "../src/peer_rpc.h"
#include "lib_entry_host.h"

#define HOSTS 3
/* With former processes whose name is used again. */
#define PROCESSES_MAX 6
/* Workers at first, and with those that join later. */
#define MACHINES_FIRST 5
#define MACHINES 8
/* Machines' addresses: a worker may leave one and come back at another. */
#define PLACES (3 * MACHINES)

#define SEEDS 80
#define PLAY_MS 120000
#define STEP_MS 20
#define EVENT_INTERVAL_MIN_MS 500
#define EVENT_INTERVAL_MAX_MS 20000
#define SERIES_MAX_MS 6000
/* Probability of a step of a series that the owner key is revoked. */
#define SERIES_REVOKE 0.03
#define JOB_INTERVAL_MS 10000
/* No event before this time: an owner is elected and starts tasks. */
#define CALM_MS 3000
#define MESSAGE_DELAY_MAX_MS 60
/* A notice is discarded if it cannot be delivered within this time. */
#define NOTICE_LIFETIME_MS 1000
/* After this time a call to a store that is out of reach fails. */
#define STORE_TIMEOUT_MS 300
#define STORE_DELAY_MAX_MS 900
#define CANDIDATE_DELAY_MAX_MS 500
#define REVOKE_DELAY_MAX_MS 500
#define ANNOUNCE_DELAY_MAX_MS 1500
#define SHORT_MAX_MS 3000
#define LONG_MAX_MS 30000
/* Longer than an owner has authority without the store. */
#define LONGEST_MS 70000
#define RESTART_DELAY_MAX_MS 2000
#define JOB_RECORD                                                            \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":10,\"cpu_milli\":6000}]}"

/* --- messages between hosts; takes the place of src/peer_rpc.c --- */

typedef struct {
    uint64_t from;    /* port that sent it */
    uint64_t to;      /* of a response: port that it is for; else 0 */
    char address[64]; /* of a request: that of its receiver */
    GBytes *body;
    nm_ms_t due_ms;
    nm_ms_t lost_ms; /* 0: it waits for a connection */
} message_t;

struct nm_peer_rpc {
    uint64_t id;
    uint64_t number;
    char address[64];
    nm_ms_t cut_until_ms;    /* from all other hosts */
    nm_ms_t paused_until_ms; /* it accepts no connection */
    GQueue inbox;            /* of message_t */
};

static struct {
    nm_ms_t now_ms;
    nm_rng_t rng;
    uint64_t newest_id;
    GPtrArray *ports;
    GQueue in_flight; /* of message_t */
} network;

static void
free_message(gpointer data)
{
    message_t *message = data;
    g_bytes_unref(message->body);
    g_free(message);
}

static nm_peer_rpc_t *
find_port(const char *address, uint64_t id)
{
    for (guint i = 0; i < network.ports->len; i++) {
        nm_peer_rpc_t *port = network.ports->pdata[i];
        if (address ? strcmp(port->address, address) == 0 : port->id == id) {
            return port;
        }
    }
    return NULL;
}

static message_t *
post(const nm_peer_rpc_t *from, const char *address, uint8_t *data,
     size_t bytes)
{
    message_t *message = g_new0(message_t, 1);
    message->from = from->id;
    nm_strcopy(message->address, sizeof(message->address), address);
    message->body = g_bytes_new_take(data, bytes);
    message->due_ms =
        network.now_ms + nm_rng_below(&network.rng, MESSAGE_DELAY_MAX_MS);
    g_queue_push_tail(&network.in_flight, message);
    return message;
}

/* Messages that cannot be delivered wait; those of ended hosts are lost. */
static void
network_run(nm_ms_t now_ms)
{
    network.now_ms = now_ms;
    for (guint remaining = network.in_flight.length; remaining > 0;
         remaining--) {
        message_t *message = g_queue_pop_head(&network.in_flight);
        const nm_peer_rpc_t *sender = find_port(NULL, message->from);
        nm_peer_rpc_t *receiver = message->to > 0
                                      ? find_port(NULL, message->to)
                                      : find_port(message->address, 0);
        bool ended = message->to > 0 ? !receiver : !sender;
        bool cut = (receiver && now_ms < receiver->cut_until_ms) ||
                   (sender && now_ms < sender->cut_until_ms);
        /* A notice has a connection of its own. */
        cut = cut || (message->lost_ms > 0 && receiver &&
                      now_ms < receiver->paused_until_ms);
        bool due = now_ms >= message->due_ms;
        if (due && receiver && !cut && !ended) {
            g_queue_push_tail(&receiver->inbox, message);
        }
        else if ((due && ended) ||
                 (message->lost_ms > 0 && now_ms >= message->lost_ms))
        {
            free_message(message);
        }
        else {
            g_queue_push_tail(&network.in_flight, message);
        }
    }
}

nm_peer_rpc_t *
nm_peer_rpc_new(const char *address)
{
    g_assert_null(find_port(address, 0));
    nm_peer_rpc_t *peers = g_new0(nm_peer_rpc_t, 1);
    peers->id = ++network.newest_id;
    peers->number = peers->id << 32;
    nm_strcopy(peers->address, sizeof(peers->address), address);
    g_queue_init(&peers->inbox);
    g_ptr_array_add(network.ports, peers);
    return peers;
}

void
nm_peer_rpc_free(nm_peer_rpc_t *peers)
{
    g_queue_clear_full(&peers->inbox, free_message);
    g_ptr_array_remove(network.ports, peers);
    g_free(peers);
}

/* All hosts of this test have the same configuration. */
void
nm_peer_rpc_set_config_version(nm_peer_rpc_t *peers, int64_t version)
{
    (void)peers;
    (void)version;
}

int
nm_peer_rpc_send(nm_peer_rpc_t *peers, const char *address,
                 NmPb__EntryAsk *request)
{
    request->number = ++peers->number;
    size_t bytes = nm_pb__entry_ask__get_packed_size(request);
    uint8_t *data = g_malloc(bytes + 1);
    nm_pb__entry_ask__pack(request, data);
    post(peers, address, data, bytes);
    return NM_OK;
}

void
nm_peer_rpc_notify(nm_peer_rpc_t *peers, const char *address,
                   NmPb__EntryAsk *request)
{
    request->number = ++peers->number;
    size_t bytes = nm_pb__entry_ask__get_packed_size(request);
    uint8_t *data = g_malloc(bytes + 1);
    nm_pb__entry_ask__pack(request, data);
    post(peers, address, data, bytes)->lost_ms =
        network.now_ms + NOTICE_LIFETIME_MS;
}

void
nm_peer_rpc_respond(nm_peer_rpc_t *peers, const uint8_t *route,
                    uint32_t route_bytes, const NmPb__EntryAnswer *response)
{
    uint64_t requester;
    g_assert_cmpuint(route_bytes, ==, sizeof(requester));
    memcpy(&requester, route, sizeof(requester));
    size_t bytes = nm_pb__entry_answer__get_packed_size(response);
    uint8_t *data = g_malloc(bytes + 1);
    nm_pb__entry_answer__pack(response, data);
    post(peers, "", data, bytes)->to = requester;
}

bool
nm_peer_rpc_next(nm_peer_rpc_t *peers, nm_peer_message_t *message)
{
    *message = (nm_peer_message_t){0};
    message_t *received = g_queue_pop_head(&peers->inbox);
    if (!received) {
        return false;
    }
    size_t bytes;
    const uint8_t *data = g_bytes_get_data(received->body, &bytes);
    if (received->to > 0) {
        message->response = nm_pb__entry_answer__unpack(NULL, bytes, data);
    }
    else {
        message->request = nm_pb__entry_ask__unpack(NULL, bytes, data);
        message->sender_route_bytes = sizeof(received->from);
        memcpy(message->sender_route, &received->from, sizeof(received->from));
    }
    free_message(received);
    return true;
}

void
nm_peer_message_finish(nm_peer_message_t *message)
{
    if (message->request) {
        nm_pb__entry_ask__free_unpacked(message->request, NULL);
    }
    if (message->response) {
        nm_pb__entry_answer__free_unpacked(message->response, NULL);
    }
}

uint32_t
nm_peer_rpc_fds(nm_peer_rpc_t *peers, int *fds, uint32_t fds_max)
{
    (void)peers;
    (void)fds;
    (void)fds_max;
    return 0;
}

/* --- world --- */

/* A worker's machine; the worker of a life is gone once id is empty. */
typedef struct {
    char id[16];
    int place; /* its address */
    int64_t incarnation;
    int64_t epoch;       /* highest seen by this life */
    nm_ms_t announce_ms; /* 0: this life is announced */
    nm_ms_t lapse_ms;    /* of the runs' lease */
    GPtrArray *runs;     /* of nm_worker_run_t */
} machine_t;

typedef struct world world_t;

typedef struct {
    host_t host;
    nm_kv_t kv;
    world_t *world;
    bool live;
    int slot;     /* of its name */
    bool former;  /* its name is used again elsewhere */
    GQueue calls; /* to the store, of store_call_t */
    nm_ms_t store_cut_until_ms;
    nm_ms_t watches_held_until_ms;
    nm_ms_t store_delay_ms;
    nm_ms_t paused_until_ms;
    bool suspended; /* while paused: its machine is, too */
    bool resumed;   /* its next pass is the first one after a pause */
    bool cut[PLACES];
    nm_ms_t workers_cut_until_ms;
    int64_t counted_epoch; /* newest epoch whose proofs are counted */
} process_t;

struct world {
    uint64_t seed;
    nm_rng_t rng;
    nm_ms_t now_ms;
    fake_kv_t *kv;
    GHashTable *leases; /* lease of the store -> nm_ms_t of its end */
    process_t processes[PROCESSES_MAX];
    nm_ms_t restart_ms[HOSTS];        /* 0: the process of a name runs */
    char address[HOSTS][NM_NAME_MAX]; /* of the next process of a name */
    int addresses;                    /* used so far */
    machine_t machines[MACHINES];
    int workers; /* ids used so far */
    uint32_t jobs;
    nm_ms_t interval_max_ms; /* between events */
    bool delays_candidate;   /* the next one */
    nm_ms_t revoke_ms;       /* the owner key is revoked then; 0: never */
    nm_ms_t series_until_ms; /* the owner key is revoked again and again */
    int64_t sole_epoch; /* newest epoch that takes former ones to be over */
    int64_t newest_epoch;
    bool failed;
};

/* What was reached, over all seeds. */
typedef struct {
    int elections; /* other than the first of a seed */
    int over;      /* of these: the owner takes former ones to be over */
    int proofs[NM_TERM_PROOF_COUNT];
    int orders;        /* starts and renewals */
    int former_orders; /* of these: while a newer owner was elected */
} coverage_t;

static coverage_t coverage;

static uint32_t
below(world_t *world, uint32_t bound)
{
    return nm_rng_below(&world->rng, bound);
}

static bool
chance(world_t *world, double probability)
{
    return nm_rng_unit(&world->rng) < probability;
}

static nm_ms_t
draw_until(world_t *world)
{
    static const nm_ms_t longest_ms[] = {SHORT_MAX_MS, LONG_MAX_MS,
                                         LONGEST_MS};
    nm_ms_t max_ms = longest_ms[below(world, NM_COUNT_OF(longest_ms))];
    nm_ms_t min_ms = max_ms == LONGEST_MS ? LONGEST_MS - 1 : 0;
    return world->now_ms + 1 + min_ms +
           below(world, (uint32_t)(max_ms - min_ms));
}

static bool
is_paused(const process_t *process)
{
    return process->world->now_ms < process->paused_until_ms;
}

static bool
is_store_cut(const process_t *process)
{
    return process->world->now_ms < process->store_cut_until_ms;
}

static void
cut_workers(world_t *world, process_t *process, double share, nm_ms_t until_ms)
{
    process->workers_cut_until_ms = until_ms;
    for (int p = 0; p < PLACES; p++) {
        process->cut[p] = chance(world, share);
    }
}

/* --- store, as seen by one process --- */

typedef struct {
    process_t *process;
    nm_kv_done_fn done; /* NULL: the process has ended */
    void *user;
    bool is_commit;
    bool is_watch;
    nm_ms_t ttl_ms; /* of a lease that is granted */
    bool has_result;
    nm_ms_t due_ms; /* of the result */
    nm_kv_result_t result;
} store_call_t;

static store_call_t *
add_call(nm_kv_t *kv, nm_kv_done_fn done, void *user)
{
    process_t *process =
        (process_t *)((char *)kv - G_STRUCT_OFFSET(process_t, kv));
    store_call_t *call = g_new0(store_call_t, 1);
    call->process = process;
    call->done = done;
    call->user = user;
    g_queue_push_tail(&process->calls, call);
    return call;
}

static void
free_call(store_call_t *call)
{
    for (uint32_t i = 0; i < call->result.item_count; i++) {
        g_free(call->result.items[i].key);
        g_free(call->result.items[i].value);
    }
    g_free((gpointer)call->result.items);
    g_free(call);
}

static void
end_call(store_call_t *call)
{
    g_queue_remove(&call->process->calls, call);
    call->done(call->user, &call->result);
    free_call(call);
}

static void
hold_result(store_call_t *call, const nm_kv_result_t *result, nm_ms_t due_ms)
{
    call->has_result = true;
    call->due_ms = due_ms;
    call->result = *result;
    nm_store_kv_t *items = g_new0(nm_store_kv_t, result->item_count);
    for (uint32_t i = 0; i < result->item_count; i++) {
        items[i] = result->items[i];
        items[i].key = g_strdup(items[i].key);
        if (items[i].value) {
            items[i].value = g_malloc(items[i].value_bytes + 1);
            memcpy(items[i].value, result->items[i].value,
                   items[i].value_bytes);
            items[i].value[items[i].value_bytes] = '\0';
        }
    }
    call->result.items = items;
}

static void
hold_failure(store_call_t *call, int rc)
{
    hold_result(call, &(nm_kv_result_t){.rc = rc},
                call->process->world->now_ms + STORE_TIMEOUT_MS);
}

static void
on_store_result(void *user, const nm_kv_result_t *result)
{
    store_call_t *call = user;
    if (!call->done) {
        free_call(call);
        return;
    }
    process_t *process = call->process;
    world_t *world = process->world;
    if (call->ttl_ms > 0 && result->rc == NM_OK) {
        nm_ms_t end_ms = world->now_ms + call->ttl_ms;
        g_hash_table_insert(world->leases,
                            g_memdup2(&result->lease, sizeof(int64_t)),
                            g_memdup2(&end_ms, sizeof(end_ms)));
    }
    if (is_store_cut(process)) {
        hold_failure(call, call->is_commit ? NM_ERR_LOST : NM_ERR_UNAVAILABLE);
        return;
    }
    nm_ms_t due_ms = world->now_ms + process->store_delay_ms;
    if (call->is_watch) {
        due_ms = MAX(due_ms, process->watches_held_until_ms);
    }
    hold_result(call, result, due_ms);
}

/* Returns false if the process is cut off: the call will fail. */
static bool
reaches_store(store_call_t *call)
{
    if (is_store_cut(call->process)) {
        hold_failure(call, NM_ERR_UNAVAILABLE);
        return false;
    }
    return true;
}

static nm_kv_t *
store_port(const store_call_t *call)
{
    return fake_kv_port(call->process->world->kv);
}

static void
store_get(nm_kv_t *kv, const char *key, nm_kv_done_fn done, void *user)
{
    store_call_t *call = add_call(kv, done, user);
    if (reaches_store(call)) {
        nm_kv_get(store_port(call), key, on_store_result, call);
    }
}

static void
store_range(nm_kv_t *kv, const char *prefix, const char *after,
            nm_kv_done_fn done, void *user)
{
    store_call_t *call = add_call(kv, done, user);
    if (reaches_store(call)) {
        nm_kv_range(store_port(call), prefix, after, on_store_result, call);
    }
}

static void
store_watch(nm_kv_t *kv, const char *prefix, int64_t after_revision,
            nm_ms_t wait_ms, nm_kv_done_fn done, void *user)
{
    store_call_t *call = add_call(kv, done, user);
    call->is_watch = true;
    if (reaches_store(call)) {
        nm_kv_watch(store_port(call), prefix, after_revision, wait_ms,
                    on_store_result, call);
    }
}

static nm_ms_t *
find_lease(const world_t *world, int64_t lease)
{
    return g_hash_table_lookup(world->leases, &lease);
}

/*
 * A candidate that has won hears of it late, and of what follows later still,
 * while others have few workers.
 */
static void
delay_candidate(process_t *candidate)
{
    world_t *world = candidate->world;
    world->delays_candidate = false;
    world->revoke_ms = world->now_ms + 2 * STEP_MS;
    candidate->store_delay_ms = 1 + below(world, CANDIDATE_DELAY_MAX_MS);
    candidate->watches_held_until_ms = draw_until(world);
    candidate->workers_cut_until_ms = 0;
    for (int i = 0; i < PROCESSES_MAX; i++) {
        process_t *process = &world->processes[i];
        if (process != candidate) {
            cut_workers(world, process, 0.8, candidate->watches_held_until_ms);
        }
    }
}

static void
store_commit(nm_kv_t *kv, const nm_store_txn_t *txn, nm_kv_done_fn done,
             void *user)
{
    store_call_t *call = add_call(kv, done, user);
    call->is_commit = true;
    bool leased = true;
    for (uint32_t i = 0; i < txn->then_count; i++) {
        const nm_store_op_t *op = &txn->then_ops[i];
        leased = leased && (op->type != NM_STORE_OP_PUT || op->lease_id == 0 ||
                            find_lease(call->process->world, op->lease_id));
    }
    if (!reaches_store(call)) {
        return;
    }
    if (!leased) {
        hold_failure(call, NM_ERR_NOT_FOUND);
        return;
    }
    nm_kv_commit(store_port(call), txn, on_store_result, call);
    process_t *process = call->process;
    if (process->world->delays_candidate &&
        process->host.entry->role == NM_ROLE_CANDIDATE)
    {
        delay_candidate(process);
    }
}

static void
store_lease_grant(nm_kv_t *kv, nm_ms_t ttl_ms, nm_kv_done_fn done, void *user)
{
    store_call_t *call = add_call(kv, done, user);
    call->ttl_ms = ttl_ms;
    if (reaches_store(call)) {
        nm_kv_lease_grant(store_port(call), ttl_ms, on_store_result, call);
    }
}

static void
store_lease_keepalive(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done,
                      void *user)
{
    enum { OWNER_LEASE_MS = 1500 };
    store_call_t *call = add_call(kv, done, user);
    if (!reaches_store(call)) {
        return;
    }
    nm_ms_t *end_ms = find_lease(call->process->world, lease);
    if (end_ms) {
        *end_ms = call->process->world->now_ms + OWNER_LEASE_MS;
    }
    on_store_result(
        call, &(nm_kv_result_t){.rc = end_ms ? NM_OK : NM_ERR_NOT_FOUND});
}

static void
store_lease_revoke(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done, void *user)
{
    store_call_t *call = add_call(kv, done, user);
    if (reaches_store(call)) {
        g_hash_table_remove(call->process->world->leases, &lease);
        nm_kv_lease_revoke(store_port(call), lease, on_store_result, call);
    }
}

static const nm_kv_vtable_t store_vtable = {
    .get = store_get,
    .range = store_range,
    .watch = store_watch,
    .commit = store_commit,
    .lease_grant = store_lease_grant,
    .lease_keepalive = store_lease_keepalive,
    .lease_revoke = store_lease_revoke,
};

/* A callback may add calls, but ends no others. */
static void
deliver_results(process_t *process)
{
    GList *next;
    for (GList *l = process->calls.head; l; l = next) {
        store_call_t *call = l->data;
        next = l->next;
        if (call->has_result && process->world->now_ms >= call->due_ms) {
            end_call(call);
        }
    }
}

static void
ignore_result(void *user, const nm_kv_result_t *result)
{
    (void)user;
    (void)result;
}

static void
revoke_lease(world_t *world, int64_t lease)
{
    g_hash_table_remove(world->leases, &lease);
    nm_kv_lease_revoke(fake_kv_port(world->kv), lease, ignore_result, NULL);
}

static void
expire_leases(world_t *world)
{
    GHashTableIter iter;
    gpointer lease;
    gpointer end_ms;
    g_hash_table_iter_init(&iter, world->leases);
    while (g_hash_table_iter_next(&iter, &lease, &end_ms)) {
        if (world->now_ms >= *(nm_ms_t *)end_ms) {
            nm_kv_lease_revoke(fake_kv_port(world->kv), *(int64_t *)lease,
                               ignore_result, NULL);
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* --- workers --- */

static void
announce(world_t *world, machine_t *machine)
{
    char key[32];
    char value[256];
    g_snprintf(key, sizeof(key), "servers/%s", machine->id);
    g_snprintf(value, sizeof(value),
               "{\"service\":\"s\",\"address\":\"10.0.0.%d:80\","
               "\"zone\":\"z\",\"state\":\"ready\","
               "\"capacity\":{\"cpu\":16000,\"memMb\":1000},"
               "\"labels\":[\"a\",\"r1\"],\"sequence\":1,\"born\":%lld}",
               machine->place, (long long)machine->incarnation);
    fake_kv_put(world->kv, key, value);
    machine->announce_ms = 0;
}

static void
start_worker(world_t *world, machine_t *machine, bool same_id)
{
    if (!same_id) {
        g_snprintf(machine->id, sizeof(machine->id), "w%d", world->workers++);
    }
    machine->incarnation = world->now_ms + 1;
    machine->epoch = 0;
    machine->lapse_ms = 0;
    g_ptr_array_set_size(machine->runs, 0);
    machine->announce_ms =
        world->now_ms + 1 + below(world, ANNOUNCE_DELAY_MAX_MS);
}

static bool
has_place(const world_t *world, int place)
{
    for (int i = 0; i < MACHINES; i++) {
        if (world->machines[i].place == place) {
            return true;
        }
    }
    return false;
}

static int
draw_free_place(world_t *world)
{
    int place;
    do {
        place = (int)below(world, PLACES);
    } while (has_place(world, place));
    return place;
}

static void
add_workers(world_t *world)
{
    for (int i = MACHINES_FIRST; i < MACHINES; i++) {
        machine_t *machine = &world->machines[i];
        if (machine->id[0] == '\0') {
            machine->place = draw_free_place(world);
            start_worker(world, machine, false);
        }
    }
}

static void
replace_worker(world_t *world, machine_t *machine)
{
    if (machine->id[0] == '\0') {
        return;
    }
    if (chance(world, 0.25)) {
        start_worker(world, machine, true);
        return;
    }
    char key[32];
    g_snprintf(key, sizeof(key), "servers/%s", machine->id);
    fake_kv_put(world->kv, key, NULL);
    if (chance(world, 0.6)) {
        machine->place = draw_free_place(world);
    }
    start_worker(world, machine, false);
}

static machine_t *
find_machine(world_t *world, const char *address)
{
    for (int i = 0; i < MACHINES; i++) {
        char text[32];
        g_snprintf(text, sizeof(text), "10.0.0.%d:80",
                   world->machines[i].place);
        if (strcmp(text, address) == 0) {
            return &world->machines[i];
        }
    }
    return NULL;
}

/* Counts an order that lets tasks run, and checks the rule. */
static void
check_order(process_t *process, const nm_sched_action_t *action, int64_t epoch)
{
    world_t *world = process->world;
    if (action->type != NM_ACTION_START &&
        (action->type != NM_ACTION_POLL || action->expiry_ms <= 0))
    {
        return;
    }
    coverage.orders++;
    coverage.former_orders += epoch < world->newest_epoch;
    if (epoch < world->sole_epoch && !world->failed) {
        world->failed = true;
        g_test_message("seed %llu: at %lld ms %s (%s) gives an order of epoch "
                       "%lld, while the owner of epoch %lld takes former ones "
                       "to be over",
                       (unsigned long long)world->seed,
                       (long long)world->now_ms,
                       process->host.entry->desc.name, process->host.address,
                       (long long)epoch, (long long)world->sole_epoch);
        g_test_fail();
    }
}

static nm_order_result_t
carry_out(machine_t *machine, const nm_sched_action_t *action, int64_t epoch)
{
    if (strcmp(machine->id, action->worker) != 0) {
        return NM_ORDER_WRONG_INCARNATION;
    }
    if (epoch < machine->epoch) {
        return NM_ORDER_FENCED;
    }
    machine->epoch = epoch;
    if (action->type == NM_ACTION_START) {
        nm_worker_run_t run = {.run = action->run};
        nm_strcopy(run.task, sizeof(run.task), action->task);
        g_ptr_array_add(machine->runs, g_memdup2(&run, sizeof(run)));
    }
    if (action->type == NM_ACTION_STOP) {
        for (guint i = machine->runs->len; i > 0; i--) {
            const nm_worker_run_t *run = machine->runs->pdata[i - 1];
            if (strcmp(run->task, action->task) == 0) {
                g_ptr_array_remove_index(machine->runs, i - 1);
            }
        }
    }
    machine->lapse_ms = MAX(machine->lapse_ms, action->expiry_ms);
    return NM_ORDER_DONE;
}

static void
orders_send(nm_order_port_t *port, const nm_sched_action_t *action,
            int64_t epoch, nm_order_done_fn done, void *user)
{
    process_t *process =
        (process_t *)((char *)port - G_STRUCT_OFFSET(process_t, host.orders));
    world_t *world = process->world;
    check_order(process, action, epoch);
    machine_t *machine = find_machine(world, action->address);
    bool cut = machine && world->now_ms < process->workers_cut_until_ms &&
               process->cut[machine->place];
    nm_order_result_t result =
        machine && !cut ? carry_out(machine, action, epoch) : NM_ORDER_UNKNOWN;
    nm_worker_report_t report = {.result = result,
                                 .sent_ms = nm_clock_now(&process->host.clock),
                                 .clock_ms = world->now_ms};
    GArray *runs = g_array_new(FALSE, FALSE, sizeof(nm_worker_run_t));
    if (result == NM_ORDER_DONE) {
        for (guint i = 0; i < machine->runs->len; i++) {
            g_array_append_vals(runs, machine->runs->pdata[i], 1);
        }
        report.incarnation = machine->incarnation;
        report.complete = true;
        report.running = (const nm_worker_run_t *)runs->data;
        report.running_count = runs->len;
    }
    done(user, action, result,
         action->type == NM_ACTION_POLL ? &report : NULL);
    g_array_free(runs, TRUE);
}

static const nm_order_port_vtable_t orders_vtable = {.send = orders_send};

static void
run_machines(world_t *world)
{
    for (int i = 0; i < MACHINES; i++) {
        machine_t *machine = &world->machines[i];
        if (machine->announce_ms > 0 && world->now_ms >= machine->announce_ms)
        {
            announce(world, machine);
        }
        if (world->now_ms >= machine->lapse_ms) {
            g_ptr_array_set_size(machine->runs, 0);
        }
    }
}

/* --- processes --- */

static void
start_process(world_t *world, int slot)
{
    process_t *process = NULL;
    for (int i = 0; i < PROCESSES_MAX && !process; i++) {
        process = world->processes[i].live ? NULL : &world->processes[i];
    }
    g_assert_nonnull(process);
    *process = (process_t){
        .kv = {&store_vtable}, .world = world, .live = true, .slot = slot};
    static const char *const names[HOSTS] = {"a", "b", "c"};
    g_queue_init(&process->calls);
    host_init_with_kv(&process->host, names[slot], world->address[slot],
                      world->kv, &process->kv);
    process->host.orders.base.vtable = &orders_vtable;
    nm_entry_t *entry = process->host.entry;
    entry->desc.cpu_share = chance(world, 0.7) ? 1 : 0.1;
    nm_rng_init(&entry->rng, nm_rng_next(&world->rng));
    g_snprintf(entry->process, sizeof(entry->process), "%016llx",
               (unsigned long long)nm_rng_next(&world->rng));
    world->restart_ms[slot] = 0;
}

/* What it does about calls that fail now has no effect on the store. */
static void
end_process(process_t *process)
{
    process->store_cut_until_ms = G_MAXINT64;
    nm_kv_result_t unavailable = {.rc = NM_ERR_UNAVAILABLE};
    for (guint remaining = process->calls.length; remaining > 0; remaining--) {
        store_call_t *call = g_queue_pop_head(&process->calls);
        call->done(call->user, &unavailable);
        if (call->has_result) {
            free_call(call);
        }
        else {
            call->done = NULL;
        }
    }
    nm_entry_free(process->host.entry);
    nm_peer_rpc_free(process->host.peers);
    g_ptr_array_free(process->host.listener.responses, TRUE);
    store_call_t *call;
    while ((call = g_queue_pop_head(&process->calls))) {
        free_call(call);
    }
    process->live = false;
}

static void
set_new_address(world_t *world, int slot)
{
    g_snprintf(world->address[slot], sizeof(world->address[slot]),
               "tcp://10.1.0.%d:7000", ++world->addresses);
}

static void
restart_later(world_t *world, process_t *process)
{
    int slot = process->slot;
    bool former = process->former;
    end_process(process);
    if (!former) {
        world->restart_ms[slot] =
            world->now_ms + 1 + below(world, RESTART_DELAY_MAX_MS);
    }
}

static int
count_former(const world_t *world)
{
    int count = 0;
    for (int i = 0; i < PROCESSES_MAX; i++) {
        count += world->processes[i].live && world->processes[i].former;
    }
    return count;
}

static void
pause_process(process_t *process, nm_ms_t until_ms, bool suspended)
{
    process->paused_until_ms = until_ms;
    process->suspended = suspended;
    process->host.peers->paused_until_ms = until_ms;
}

/* Its name is used again elsewhere, while it may still run. */
static void
move_name(world_t *world, process_t *process)
{
    if (process->former || count_former(world) >= PROCESSES_MAX - HOSTS) {
        return;
    }
    set_new_address(world, process->slot);
    process->store_cut_until_ms = G_MAXINT64;
    process->former = true;
    if (chance(world, 0.3)) {
        restart_later(world, process);
    }
    else if (chance(world, 0.6)) {
        pause_process(process, draw_until(world), chance(world, 0.5));
    }
    world->restart_ms[process->slot] =
        world->now_ms + 1 + below(world, RESTART_DELAY_MAX_MS);
}

static void
run_process(process_t *process)
{
    world_t *world = process->world;
    bool paused = is_paused(process);
    if (paused && process->suspended) {
        process->host.clock.manual_suspended_ms += STEP_MS;
    }
    else {
        process->host.clock.manual_ms += STEP_MS;
    }
    if (paused) {
        process->resumed = true;
        return;
    }
    /* What has waited may be handled after the first pass. */
    GQueue waiting = G_QUEUE_INIT;
    bool late = process->resumed && chance(world, 0.5);
    if (late) {
        waiting = process->host.peers->inbox;
        g_queue_init(&process->host.peers->inbox);
    }
    else {
        deliver_results(process);
    }
    process->resumed = false;
    nm_entry_run(process->host.entry);
    message_t *message;
    while ((message = g_queue_pop_tail(&waiting))) {
        g_queue_push_head(&process->host.peers->inbox, message);
    }
    if (nm_entry_is_stopped(process->host.entry)) {
        restart_later(world, process);
    }
    else if (process->former &&
             process->host.entry->role == NM_ROLE_FOLLOWER &&
             process->host.peers->inbox.length == 0 && chance(world, 0.01))
    {
        end_process(process);
    }
}

/* --- schedule --- */

static process_t *
draw_process(world_t *world)
{
    process_t *drawn = NULL;
    uint32_t count = 0;
    bool owner = chance(world, 0.6);
    for (int i = 0; i < PROCESSES_MAX; i++) {
        process_t *process = &world->processes[i];
        if (process->live &&
            (!owner || process->host.entry->role == NM_ROLE_OWNER) &&
            below(world, ++count) == 0)
        {
            drawn = process;
        }
    }
    return drawn;
}

static void
revoke_owner_key(world_t *world)
{
    for (int i = 0; i < PROCESSES_MAX; i++) {
        const process_t *process = &world->processes[i];
        if (process->live && process->host.entry->lease != 0) {
            revoke_lease(world, process->host.entry->lease);
        }
    }
}

/*
 * One host has some of the workers, and the others have the store and the rest
 * of the workers.
 */
static void
set_apart(world_t *world, process_t *apart, nm_ms_t until_ms)
{
    apart->store_cut_until_ms = MAX(apart->store_cut_until_ms, until_ms);
    if (chance(world, 0.7)) {
        apart->host.peers->cut_until_ms =
            chance(world, 0.5) ? until_ms : draw_until(world);
    }
    if (chance(world, 0.2)) {
        pause_process(apart, draw_until(world), chance(world, 0.5));
    }
    double share = 0.6 * nm_rng_unit(&world->rng);
    double shared = chance(world, 0.5) ? 0 : 0.2;
    bool cut_from_apart[PLACES];
    bool cut_from_others[PLACES];
    for (int p = 0; p < PLACES; p++) {
        bool both = chance(world, shared);
        bool others = chance(world, share);
        cut_from_apart[p] = others && !both;
        cut_from_others[p] = !others && !both;
    }
    for (int i = 0; i < PROCESSES_MAX; i++) {
        process_t *process = &world->processes[i];
        process->workers_cut_until_ms = until_ms;
        memcpy(process->cut,
               process == apart ? cut_from_apart : cut_from_others,
               sizeof(process->cut));
    }
}

/* The workers in reach are the other ones, shortly before an election. */
static void
swap_workers(world_t *world)
{
    world->revoke_ms = world->now_ms + 1 + below(world, REVOKE_DELAY_MAX_MS);
    for (int i = 0; i < PROCESSES_MAX; i++) {
        process_t *process = &world->processes[i];
        for (int p = 0; p < PLACES; p++) {
            process->cut[p] = !process->cut[p];
        }
    }
}

typedef enum {
    EVENT_STORE_CUT,
    EVENT_STORE_OUTAGE,
    EVENT_STORE_SLOW,
    EVENT_WATCHES_HELD,
    EVENT_WORKERS_CUT,
    EVENT_PEERS_CUT,
    EVENT_PAUSE,
    EVENT_SUSPEND,
    EVENT_RESTART,
    EVENT_STOP,
    EVENT_MOVE,
    EVENT_APART,
    EVENT_REVOKE,
    EVENT_REVOKE_SERIES,
    EVENT_SWAP,
    EVENT_LATE_CANDIDATE,
    EVENT_WORKER_JOINS,
    EVENT_WORKER_ENDS,
    EVENT_MOST_WORKERS_END,
    EVENT_COUNT,
} event_t;

static void
play_process_event(world_t *world, event_t event, process_t *process)
{
    nm_ms_t until_ms = draw_until(world);
    switch (event) {
    case EVENT_STORE_CUT:
        process->store_cut_until_ms =
            MAX(process->store_cut_until_ms, until_ms);
        break;
    case EVENT_STORE_SLOW:
        process->store_delay_ms =
            chance(world, 0.5) ? 0 : below(world, STORE_DELAY_MAX_MS);
        break;
    case EVENT_WATCHES_HELD:
        process->watches_held_until_ms = until_ms;
        break;
    case EVENT_WORKERS_CUT:
        cut_workers(world, process, nm_rng_unit(&world->rng), until_ms);
        break;
    case EVENT_PEERS_CUT:
        process->host.peers->cut_until_ms = until_ms;
        break;
    case EVENT_PAUSE:
    case EVENT_SUSPEND:
        pause_process(process, until_ms, event == EVENT_SUSPEND);
        break;
    case EVENT_RESTART:
        restart_later(world, process);
        break;
    case EVENT_STOP:
        nm_entry_stop(process->host.entry);
        break;
    case EVENT_APART:
        set_apart(world, process, until_ms);
        break;
    case EVENT_MOVE:
        move_name(world, process);
        break;
    default:
        break;
    }
}

static event_t
draw_event(world_t *world, bool after_apart)
{
    static const event_t events[] = {EVENT_SWAP, EVENT_STOP,
                                     EVENT_REVOKE_SERIES, EVENT_WORKER_JOINS};
    return after_apart ? events[below(world, NM_COUNT_OF(events))]
                       : (event_t)below(world, EVENT_COUNT);
}

static void
play_event(world_t *world, event_t event)
{
    process_t *process = draw_process(world);
    if (event == EVENT_REVOKE) {
        revoke_owner_key(world);
    }
    else if (event == EVENT_REVOKE_SERIES) {
        world->series_until_ms = world->now_ms + below(world, SERIES_MAX_MS);
    }
    else if (event == EVENT_SWAP) {
        swap_workers(world);
    }
    else if (event == EVENT_LATE_CANDIDATE) {
        world->delays_candidate = true;
        revoke_owner_key(world);
    }
    else if (event == EVENT_WORKER_JOINS) {
        add_workers(world);
    }
    else if (event == EVENT_WORKER_ENDS) {
        replace_worker(world, &world->machines[below(world, MACHINES)]);
    }
    else if (event == EVENT_MOST_WORKERS_END) {
        for (int i = 0; i < MACHINES; i++) {
            if (chance(world, 0.8)) {
                replace_worker(world, &world->machines[i]);
            }
        }
    }
    else if (event == EVENT_STORE_OUTAGE) {
        nm_ms_t until_ms = draw_until(world);
        for (int i = 0; i < PROCESSES_MAX; i++) {
            process_t *each = &world->processes[i];
            each->store_cut_until_ms = MAX(each->store_cut_until_ms, until_ms);
        }
    }
    else if (process) {
        play_process_event(world, event, process);
    }
}

/* In part of the seeds a former owner goes on for as long as it may. */
static void
play_first_event(world_t *world)
{
    for (int i = 0; i < PROCESSES_MAX; i++) {
        process_t *process = &world->processes[i];
        if (process->live && process->host.entry->role == NM_ROLE_OWNER) {
            set_apart(world, process, world->now_ms + LONGEST_MS);
            return;
        }
    }
}

static void
add_job(world_t *world)
{
    char key[64];
    g_snprintf(key, sizeof(key), "nutmegdeck/jobs/%016x", ++world->jobs);
    fake_kv_put(world->kv, key, JOB_RECORD);
}

static void
count_owner(world_t *world, process_t *process)
{
    const nm_entry_t *entry = process->host.entry;
    const nm_authority_t *authority = &entry->authority;
    world->newest_epoch = MAX(world->newest_epoch, entry->owned_epoch);
    if (entry->role != NM_ROLE_OWNER) {
        return;
    }
    if (nm_clock_now(&process->host.clock) >= authority->former_until_ms) {
        world->sole_epoch = MAX(world->sole_epoch, entry->owned_epoch);
    }
    if (authority->former_over && process->counted_epoch < entry->owned_epoch)
    {
        process->counted_epoch = entry->owned_epoch;
        const GPtrArray *terms = authority->former.terms;
        coverage.over += entry->owned_epoch > 1;
        for (guint i = 0; i < terms->len; i++) {
            const nm_former_term_t *term = terms->pdata[i];
            coverage.proofs[term->proof]++;
        }
    }
}

static void
run_step(world_t *world)
{
    world->now_ms += STEP_MS;
    expire_leases(world);
    network_run(world->now_ms);
    for (int slot = 0; slot < HOSTS; slot++) {
        if (world->restart_ms[slot] > 0 &&
            world->now_ms >= world->restart_ms[slot]) {
            start_process(world, slot);
        }
    }
    uint32_t first = below(world, PROCESSES_MAX);
    for (uint32_t i = 0; i < PROCESSES_MAX; i++) {
        process_t *process = &world->processes[(first + i) % PROCESSES_MAX];
        if (process->live) {
            run_process(process);
        }
        if (process->live) {
            count_owner(world, process);
        }
    }
    run_machines(world);
    fake_kv_run(world->kv);
}

static bool
play(uint64_t seed)
{
    world_t *world = g_new0(world_t, 1);
    world->seed = seed;
    nm_rng_init(&world->rng, seed);
    network.now_ms = 0;
    nm_rng_init(&network.rng, nm_rng_next(&world->rng));
    network.ports = g_ptr_array_new();
    g_queue_init(&network.in_flight);
    world->kv = configured_store();
    world->leases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    for (int i = 0; i < MACHINES; i++) {
        world->machines[i].place = i < MACHINES_FIRST ? i : PLACES;
        world->machines[i].runs = g_ptr_array_new_with_free_func(g_free);
        if (i < MACHINES_FIRST) {
            start_worker(world, &world->machines[i], false);
        }
    }
    for (int slot = 0; slot < HOSTS; slot++) {
        set_new_address(world, slot);
        start_process(world, slot);
    }
    world->interval_max_ms =
        EVENT_INTERVAL_MIN_MS +
        below(world, EVENT_INTERVAL_MAX_MS - EVENT_INTERVAL_MIN_MS);
    nm_ms_t event_ms = CALM_MS;
    nm_ms_t job_ms = 0;
    bool after_apart = false;
    while (world->now_ms < PLAY_MS && !world->failed) {
        run_step(world);
        if (world->now_ms >= job_ms) {
            add_job(world);
            job_ms = world->now_ms + JOB_INTERVAL_MS;
        }
        if (world->revoke_ms > 0 && world->now_ms >= world->revoke_ms) {
            world->revoke_ms = 0;
            revoke_owner_key(world);
        }
        if (world->now_ms < world->series_until_ms &&
            chance(world, SERIES_REVOKE)) {
            revoke_owner_key(world);
        }
        if (world->now_ms >= event_ms) {
            bool first = event_ms == CALM_MS;
            bool apart = first && chance(world, 0.6);
            bool quiet = apart && chance(world, 0.7);
            if (apart) {
                play_first_event(world);
            }
            else {
                play_event(world, draw_event(world, after_apart));
            }
            after_apart = apart || (after_apart && chance(world, 0.7));
            event_ms = world->now_ms + (quiet ? LONGEST_MS : 0) +
                       below(world, (uint32_t)world->interval_max_ms);
        }
    }
    coverage.elections += (int)MAX(world->newest_epoch - 1, 0);
    for (int i = 0; i < PROCESSES_MAX; i++) {
        if (world->processes[i].live) {
            end_process(&world->processes[i]);
        }
    }
    fake_kv_end_calls(world->kv);
    fake_kv_free(world->kv);
    for (int i = 0; i < MACHINES; i++) {
        g_ptr_array_free(world->machines[i].runs, TRUE);
    }
    g_queue_clear_full(&network.in_flight, free_message);
    g_ptr_array_free(network.ports, TRUE);
    g_hash_table_destroy(world->leases);
    bool failed = world->failed;
    g_free(world);
    return !failed;
}

/*
 * The seeds reach what they are to show: most owners come to take the former
 * ones to be over, by each kind of proof, and former owners go on beside newer
 * ones until then.
 */
static void
check_coverage(void)
{
    enum { PROOFS_MIN = SEEDS / 10, FORMER_ORDERS_MIN = 40 * SEEDS };
    g_test_message("%d elections, %d over, %d orders, %d of former owners",
                   coverage.elections, coverage.over, coverage.orders,
                   coverage.former_orders);
    g_assert_cmpint(coverage.over, >, coverage.elections / 2);
    g_assert_cmpint(coverage.former_orders, >, FORMER_ORDERS_MIN);
    for (int p = NM_TERM_PROOF_NONE + 1; p < NM_TERM_PROOF_COUNT; p++) {
        g_test_message("%s: %d", nm_term_proof_name((nm_term_proof_t)p),
                       coverage.proofs[p]);
        g_assert_cmpint(coverage.proofs[p], >=, PROOFS_MIN);
    }
}

static void
test_former_owners_give_no_orders(void)
{
    coverage = (coverage_t){0};
    bool kept = true;
    for (uint64_t seed = 1; seed <= SEEDS && kept; seed++) {
        kept = play(seed);
    }
    g_assert_true(kept);
    if (kept) {
        check_coverage();
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/two-owners/former-owners-give-no-orders",
                    test_former_owners_give_no_orders);
    return g_test_run();
}
