#include "traffic.h"

#include <assert.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>

#include <ck_pr.h>
#include <ck_ring.h>

#include "mailbox.h"

#define RING_ENTRIES 16384
/* Estimated size of the head of a request or response on a link. */
#define HTTP_HEAD_ESTIMATE_BYTES 512
/* Longest wait for events, with and without active exchanges. */
#define BUSY_WAIT_MS 2
#define IDLE_WAIT_MS 20
#define REPORT_INTERVAL_MS 100
/*
 * Before a send, the connection of a caller that waited longer is checked: a
 * request whose caller has disconnected is not sent.
 */
#define CALLER_CHECK_DELAY_MS 20

struct nm_traffic {
    nm_traffic_desc_t desc;
    pthread_t thread;
    ck_ring_t ring;
    ck_ring_buffer_t *ring_entries;
    nm_mailbox_t snapshots;
    nm_mailbox_t reports;
    uint32_t active;
    uint32_t stopping;
    uint32_t exit_requested;
    nm_traffic_snapshot_t *snapshot;
    nm_route_t route;
    /* Target id to nm_traffic_target_t in the snapshot. */
    GHashTable *targets_by_id;
    nm_ms_t last_report_ms;
    pthread_mutex_t prefixes_mutex;
    char **prefixes; /* of the services; NULL: not known yet */
};

static void
complete_exchange(nm_traffic_t *traffic, nm_exchange_t *exchange)
{
    exchange->complete = true;
    traffic->desc.on_done(exchange);
    ck_pr_dec_32(&traffic->active);
}

static void
refuse_exchange(nm_traffic_t *traffic, nm_exchange_t *exchange,
                nm_reason_t reason, nm_verdict_t verdict)
{
    exchange->reason = reason;
    exchange->response.verdict = verdict;
    complete_exchange(traffic, exchange);
}

/* Copies the parts of a response that are recorded. */
static void
copy_response(nm_response_t *target, const nm_response_t *source)
{
    nm_response_init(target);
    target->status = source->status;
    g_byte_array_append(target->body, source->body->data, source->body->len);
    for (uint32_t i = 0; i < source->headers->len; i++) {
        g_ptr_array_add(target->headers, g_strdup(source->headers->pdata[i]));
    }
}

/* Records or releases the exchange's claim. */
static void
resolve_claim(nm_traffic_t *traffic, nm_exchange_t *exchange,
              nm_verdict_t verdict)
{
    nm_claim_t *claim = exchange->claim;
    exchange->claim = NULL;
    if (!claim) {
        return;
    }
    if (!claim->held || verdict == NM_VERDICT_UNKNOWN) {
        /* The request may have run: the claim stays and blocks repeats. */
        nm_claim_free(claim);
    }
    else if (verdict == NM_VERDICT_NOT_RUN) {
        nm_claims_release(traffic->desc.claims, claim);
    }
    else {
        if (exchange->reason == NM_REASON_NONE) {
            copy_response(&claim->response, &exchange->response);
        }
        else {
            nm_response_init(&claim->response);
            claim->response.status = nm_reason_status(exchange->reason);
        }
        nm_claims_record(traffic->desc.claims, claim);
    }
}

/* True if the caller closed its connection. */
static bool
caller_disconnected(const nm_exchange_t *exchange)
{
    char byte;
    return exchange->socket >= 0 &&
           recv(exchange->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

static void
send_request(nm_traffic_t *traffic, const nm_route_action_t *action,
             nm_ms_t now_ms)
{
    nm_exchange_t *exchange = action->user;
    const nm_traffic_target_t *target = g_hash_table_lookup(
        traffic->targets_by_id, (void *)(uintptr_t)action->target_id);
    bool waited = now_ms - exchange->arrived_ms > CALLER_CHECK_DELAY_MS;
    if (waited && caller_disconnected(exchange)) {
        nm_route_cancel(&traffic->route, action->request, now_ms);
        nm_route_attempt_done(&traffic->route, action->attempt,
                              NM_OUTCOME_NOT_SENT, now_ms);
        return;
    }
    nm_ms_t send_ms = nm_clock_now(traffic->desc.clock);
    if (!target ||
        !nm_route_may_send(&traffic->route, action->attempt, send_ms)) {
        nm_route_attempt_done(&traffic->route, action->attempt,
                              NM_OUTCOME_NOT_SENT, now_ms);
        return;
    }
    nm_upstream_request_t request = {
        .attempt = action->attempt,
        .address = target->address,
        .to_peer = action->target_type != NM_TARGET_EXECUTOR,
        .fresh_connection = action->fresh_connection,
        .timeout_ms = action->timeout_ms,
        .exchange = exchange,
    };
    if (nm_upstream_send(traffic->desc.upstream, &request) < 0) {
        nm_route_attempt_done(&traffic->route, action->attempt,
                              NM_OUTCOME_NOT_SENT, now_ms);
    }
}

/* Carries out actions.  result is of the attempt that ended, or NULL. */
static void
run_actions(nm_traffic_t *traffic, nm_upstream_result_t *result,
            nm_ms_t now_ms)
{
    nm_route_action_t action;
    while (nm_route_next_action(&traffic->route, &action)) {
        nm_exchange_t *exchange = action.user;
        switch (action.type) {
        case NM_ROUTE_SEND:
            send_request(traffic, &action, now_ms);
            break;
        case NM_ROUTE_RESPOND:
            assert(result && result->attempt == action.attempt);
            nm_response_move(&exchange->response, &result->response);
            resolve_claim(traffic, exchange, exchange->response.verdict);
            complete_exchange(traffic, exchange);
            break;
        case NM_ROUTE_REFUSE:
            exchange->retry_after_ms = action.retry_after_ms;
            exchange->reason = action.reason;
            resolve_claim(traffic, exchange, action.verdict);
            refuse_exchange(traffic, exchange, action.reason, action.verdict);
            break;
        case NM_ROUTE_CLOSE:
            nm_upstream_close(traffic->desc.upstream, action.attempt);
            break;
        }
    }
}

/* True if a path is below a prefix. */
static bool
has_prefix(const char *target, const char *prefix)
{
    size_t length = strlen(prefix);
    if (strncmp(target, prefix, length) != 0) {
        return false;
    }
    char next = target[length];
    bool ends_with_slash = length > 0 && prefix[length - 1] == '/';
    return ends_with_slash || next == '\0' || next == '/' || next == '?';
}

/* Returns the service with the longest matching prefix, or -1. */
static int32_t
find_service(const nm_traffic_snapshot_t *snapshot, const char *target)
{
    int32_t best = -1;
    size_t best_length = 0;
    for (uint32_t i = 0; snapshot && i < snapshot->service_count; i++) {
        const char *prefix = snapshot->services[i].prefix;
        size_t length = strlen(prefix);
        if (length >= best_length && has_prefix(target, prefix)) {
            best = (int32_t)i;
            best_length = length;
        }
    }
    return best;
}

/* Keeps the prefixes of a snapshot for nm_traffic_has_service(). */
static void
set_prefixes(nm_traffic_t *traffic, const nm_traffic_snapshot_t *snapshot)
{
    GStrv prefixes = g_new0(char *, snapshot->service_count + 1);
    for (uint32_t i = 0; i < snapshot->service_count; i++) {
        prefixes[i] = g_strdup(snapshot->services[i].prefix);
    }
    pthread_mutex_lock(&traffic->prefixes_mutex);
    GStrv former = traffic->prefixes;
    traffic->prefixes = prefixes;
    pthread_mutex_unlock(&traffic->prefixes_mutex);
    g_strfreev(former);
}

bool
nm_traffic_has_service(nm_traffic_t *traffic, const char *target)
{
    assert(traffic && target);
    bool found = false;
    pthread_mutex_lock(&traffic->prefixes_mutex);
    for (char **prefix = traffic->prefixes; prefix && *prefix && !found;
         prefix++) {
        found = has_prefix(target, *prefix);
    }
    pthread_mutex_unlock(&traffic->prefixes_mutex);
    return found;
}

static void
route_exchange(nm_traffic_t *traffic, nm_exchange_t *exchange, nm_ms_t now_ms)
{
    nm_route_arrival_t arrival = {
        .service = exchange->service,
        .idempotent = nm_method_is_idempotent(exchange->method),
        .forwarded = exchange->forwarded,
        .deadline_ms = exchange->timeout_ms > 0
                           ? exchange->arrived_ms + exchange->timeout_ms
                           : 0,
        .request_bytes =
            (uint32_t)(exchange->body->len + strlen(exchange->target) +
                       HTTP_HEAD_ESTIMATE_BYTES),
        .user = exchange,
    };
    int rc =
        nm_route_submit(&traffic->route, &arrival, now_ms, &exchange->request);
    if (rc < 0) {
        resolve_claim(traffic, exchange, NM_VERDICT_NOT_RUN);
        refuse_exchange(traffic, exchange, NM_REASON_QUEUE_FULL,
                        NM_VERDICT_NOT_RUN);
    }
    run_actions(traffic, NULL, now_ms);
}

static uint64_t
compute_fingerprint(const nm_exchange_t *exchange)
{
    uint64_t hashes[3] = {
        nm_hash(exchange->method, strlen(exchange->method)),
        nm_hash(exchange->target, strlen(exchange->target)),
        nm_hash(exchange->body->data, exchange->body->len),
    };
    return nm_hash(hashes, sizeof(hashes));
}

static void
acquire_claim(nm_traffic_t *traffic, nm_exchange_t *exchange, nm_ms_t now_ms)
{
    const nm_traffic_service_t *service =
        &traffic->snapshot->services[exchange->service];
    uint64_t hashes[2] = {
        nm_hash(service->name, strlen(service->name)),
        nm_hash(exchange->idempotency_key, strlen(exchange->idempotency_key)),
    };
    nm_ms_t timeout_ms = service->limits.timeout_ms;
    if (exchange->timeout_ms > 0 && exchange->timeout_ms < timeout_ms) {
        timeout_ms = exchange->timeout_ms;
    }
    nm_claim_t *claim = nm_claim_new();
    claim->key = nm_hash(hashes, sizeof(hashes));
    claim->fingerprint = compute_fingerprint(exchange);
    /* Half of the time is left for the request itself. */
    claim->deadline_ms = now_ms + timeout_ms / 2;
    claim->user = exchange;
    nm_claims_acquire(traffic->desc.claims, claim);
}

static void
refuse_claimed_exchange(nm_traffic_t *traffic, nm_exchange_t *exchange,
                        nm_claim_t *claim, nm_reason_t reason,
                        nm_verdict_t verdict)
{
    nm_count_reason(reason);
    nm_claim_free(claim);
    refuse_exchange(traffic, exchange, reason, verdict);
}

static void
handle_claim_result(nm_traffic_t *traffic, nm_claim_t *claim, nm_ms_t now_ms)
{
    nm_exchange_t *exchange = claim->user;
    bool strict = traffic->snapshot->services[exchange->service].claim_strict;
    switch (claim->result) {
    case NM_CLAIM_FAILED:
        if (strict) {
            refuse_claimed_exchange(traffic, exchange, claim,
                                    NM_REASON_CLAIM_STORE, NM_VERDICT_NOT_RUN);
            break;
        }
        nm_claim_free(claim);
        route_exchange(traffic, exchange, now_ms);
        break;
    case NM_CLAIM_ACQUIRED:
        exchange->claim = claim;
        route_exchange(traffic, exchange, now_ms);
        break;
    case NM_CLAIM_RECORDED:
        nm_response_move(&exchange->response, &claim->response);
        nm_claim_free(claim);
        nm_count(NM_COUNTER_REPLAYS, 1);
        complete_exchange(traffic, exchange);
        break;
    case NM_CLAIM_MISMATCH:
        refuse_claimed_exchange(traffic, exchange, claim, NM_REASON_KEY_REUSED,
                                NM_VERDICT_NOT_RUN);
        break;
    case NM_CLAIM_IN_PROGRESS:
        refuse_claimed_exchange(traffic, exchange, claim,
                                NM_REASON_KEY_RUNNING, NM_VERDICT_UNKNOWN);
        break;
    }
}

static void
accept_exchange(nm_traffic_t *traffic, nm_exchange_t *exchange, nm_ms_t now_ms)
{
    exchange->arrived_ms = now_ms;
    nm_reason_t reason = NM_REASON_NONE;
    int32_t service = find_service(traffic->snapshot, exchange->target);
    if (exchange->too_large) {
        reason = NM_REASON_TOO_LARGE;
    }
    else if (ck_pr_load_32(&traffic->stopping)) {
        reason = NM_REASON_STOPPING;
    }
    else if (!traffic->snapshot || !traffic->snapshot->ready) {
        reason = NM_REASON_NOT_READY;
    }
    else if (service < 0) {
        reason = NM_REASON_NO_SERVICE;
    }
    else if (exchange->body_discarded) {
        reason = NM_REASON_SETTINGS_OLD;
    }
    if (reason != NM_REASON_NONE) {
        nm_count_reason(reason);
        refuse_exchange(traffic, exchange, reason, NM_VERDICT_NOT_RUN);
        return;
    }
    exchange->service = (uint32_t)service;
    bool needs_claim = exchange->idempotency_key && !exchange->forwarded &&
                       !nm_method_is_idempotent(exchange->method);
    if (needs_claim) {
        acquire_claim(traffic, exchange, now_ms);
    }
    else {
        route_exchange(traffic, exchange, now_ms);
    }
}

static void
apply_snapshot(nm_traffic_t *traffic, nm_traffic_snapshot_t *snapshot,
               nm_ms_t now_ms)
{
    g_hash_table_remove_all(traffic->targets_by_id);
    for (uint32_t i = 0; i < snapshot->service_count; i++) {
        nm_route_update_service(&traffic->route, i,
                                &snapshot->services[i].limits);
    }
    for (uint32_t i = 0; i < snapshot->target_count; i++) {
        nm_traffic_target_t *target = &snapshot->targets[i];
        g_hash_table_insert(traffic->targets_by_id,
                            (void *)(uintptr_t)target->target.id, target);
        nm_route_update_target(&traffic->route, &target->target, now_ms);
    }
    nm_route_sweep_targets(&traffic->route);
    nm_route_set_link_rate(&traffic->route, snapshot->link_bytes_per_s);
    nm_upstream_set_connection_limit(traffic->desc.upstream,
                                     snapshot->connections_per_host);
    nm_traffic_snapshot_free(traffic->snapshot);
    traffic->snapshot = snapshot;
    run_actions(traffic, NULL, now_ms);
}

static void
publish_report(nm_traffic_t *traffic)
{
    const nm_traffic_snapshot_t *snapshot = traffic->snapshot;
    if (!snapshot) {
        return;
    }
    nm_traffic_report_t *report = g_new0(nm_traffic_report_t, 1);
    report->grant_number = snapshot->grant_number;
    report->active = ck_pr_load_32(&traffic->active);
    report->slot_usage = g_new0(nm_traffic_usage_t, snapshot->target_count);
    for (uint32_t i = 0; i < snapshot->target_count; i++) {
        const nm_route_target_t *target = &snapshot->targets[i].target;
        if (target->type != NM_TARGET_EXECUTOR) {
            continue;
        }
        uint32_t in_flight =
            nm_route_query_in_flight(&traffic->route, target->id);
        uint32_t held = target->granted_slots;
        if (in_flight > held) {
            held = in_flight;
        }
        if (target->granted_slots > in_flight) {
            report->free_slots += target->granted_slots - in_flight;
        }
        report->slot_usage[report->slot_usage_count++] =
            (nm_traffic_usage_t){target->id, (uint16_t)held};
    }
    report->services = g_new0(nm_route_info_t, snapshot->service_count);
    report->service_count = snapshot->service_count;
    for (uint32_t i = 0; i < snapshot->service_count; i++) {
        report->services[i] = nm_route_query_service(&traffic->route, i);
        report->demand += report->services[i].demand;
    }
    nm_traffic_report_free(nm_mailbox_put(&traffic->reports, report));
}

static void
run_iteration(nm_traffic_t *traffic)
{
    nm_ms_t now_ms = nm_clock_now(traffic->desc.clock);
    nm_route_begin_round(&traffic->route, now_ms);
    nm_traffic_snapshot_t *snapshot = nm_mailbox_take(&traffic->snapshots);
    if (snapshot) {
        apply_snapshot(traffic, snapshot, now_ms);
        publish_report(traffic);
    }
    if (ck_pr_load_32(&traffic->stopping)) {
        nm_route_stop(&traffic->route);
    }
    void *item;
    while (ck_ring_dequeue_mpsc(&traffic->ring, traffic->ring_entries, &item))
    {
        accept_exchange(traffic, item, now_ms);
    }
    nm_claim_t *claim;
    while (traffic->desc.claims &&
           (claim = nm_claims_next(traffic->desc.claims))) {
        handle_claim_result(traffic, claim, now_ms);
    }
    nm_upstream_result_t result;
    while (nm_upstream_next(traffic->desc.upstream, &result)) {
        if (result.response.body) {
            nm_route_charge_response(&traffic->route, result.attempt,
                                     result.response.body->len +
                                         HTTP_HEAD_ESTIMATE_BYTES);
        }
        nm_route_attempt_done(&traffic->route, result.attempt, result.outcome,
                              now_ms);
        run_actions(traffic, &result, now_ms);
        nm_response_finish(&result.response);
    }
    nm_route_tick(&traffic->route, now_ms);
    run_actions(traffic, NULL, now_ms);
    if (now_ms - traffic->last_report_ms >= REPORT_INTERVAL_MS) {
        traffic->last_report_ms = now_ms;
        publish_report(traffic);
    }
}

static void *
run_traffic(void *user)
{
    nm_traffic_t *traffic = user;
    while (!ck_pr_load_32(&traffic->exit_requested)) {
        run_iteration(traffic);
        bool busy = ck_pr_load_32(&traffic->active) > 0;
        nm_upstream_wait(traffic->desc.upstream,
                         busy ? BUSY_WAIT_MS : IDLE_WAIT_MS);
    }
    return NULL;
}

nm_traffic_t *
nm_traffic_new(const nm_traffic_desc_t *desc)
{
    assert(desc && desc->clock && desc->upstream && desc->on_done);
    nm_traffic_t *traffic = g_new0(nm_traffic_t, 1);
    traffic->desc = *desc;
    pthread_mutex_init(&traffic->prefixes_mutex, NULL);
    ck_ring_init(&traffic->ring, RING_ENTRIES);
    traffic->ring_entries = g_new0(ck_ring_buffer_t, RING_ENTRIES);
    traffic->targets_by_id = g_hash_table_new(g_direct_hash, g_direct_equal);
    nm_route_init(&traffic->route, &(nm_route_desc_t){
                                       .seed = desc->seed,
                                       .policy = desc->policy,
                                   });
    pthread_create(&traffic->thread, NULL, run_traffic, traffic);
    return traffic;
}

void
nm_traffic_set_claims(nm_traffic_t *traffic, nm_claims_t *claims)
{
    assert(traffic);
    traffic->desc.claims = claims;
}

void
nm_traffic_free(nm_traffic_t *traffic)
{
    assert(traffic);
    ck_pr_store_32(&traffic->exit_requested, 1);
    nm_traffic_wake(traffic);
    pthread_join(traffic->thread, NULL);
    nm_traffic_snapshot_free(nm_mailbox_take(&traffic->snapshots));
    nm_traffic_report_free(nm_mailbox_take(&traffic->reports));
    nm_traffic_snapshot_free(traffic->snapshot);
    nm_route_finish(&traffic->route);
    g_hash_table_unref(traffic->targets_by_id);
    g_strfreev(traffic->prefixes);
    pthread_mutex_destroy(&traffic->prefixes_mutex);
    g_free(traffic->ring_entries);
    g_free(traffic);
}

void
nm_traffic_publish(nm_traffic_t *traffic, nm_traffic_snapshot_t *snapshot)
{
    assert(traffic && snapshot);
    set_prefixes(traffic, snapshot);
    nm_traffic_snapshot_free(nm_mailbox_put(&traffic->snapshots, snapshot));
    nm_traffic_wake(traffic);
}

nm_traffic_report_t *
nm_traffic_take_report(nm_traffic_t *traffic)
{
    assert(traffic);
    return nm_mailbox_take(&traffic->reports);
}

bool
nm_traffic_submit(nm_traffic_t *traffic, nm_exchange_t *exchange)
{
    assert(traffic && exchange);
    ck_pr_inc_32(&traffic->active);
    if (!ck_ring_enqueue_mpsc(&traffic->ring, traffic->ring_entries, exchange))
    {
        ck_pr_dec_32(&traffic->active);
        return false;
    }
    nm_traffic_wake(traffic);
    return true;
}

void
nm_traffic_stop(nm_traffic_t *traffic)
{
    assert(traffic);
    ck_pr_store_32(&traffic->stopping, 1);
    nm_traffic_wake(traffic);
}

uint32_t
nm_traffic_query_active(nm_traffic_t *traffic)
{
    assert(traffic);
    return ck_pr_load_32(&traffic->active);
}

void
nm_traffic_wake(void *user)
{
    nm_traffic_t *traffic = user;
    nm_upstream_wake(traffic->desc.upstream);
}
