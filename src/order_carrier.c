#include "order_carrier.h"

#include <assert.h>
#include <string.h>

#include "order_relay.h"

/* Returned by flush if no results wait. */
#define IDLE_WAIT_MS 1000

/* Results that wait to be sent to one owner. */
typedef struct {
    GBytes *route;
    GPtrArray *results; /* of NmPb__OrderResult */
} result_batch_t;

/* An order that was sent to its worker. */
typedef struct {
    nm_order_carrier_t *carrier;
    GBytes *route;
    uint64_t number;
    nm_report_base_t base;       /* of a poll */
    uint64_t missing_payload_id; /* of a start; 0: none */
} order_t;

static void
free_result(gpointer data)
{
    NmPb__OrderResult *result = data;
    nm_report_message_free(result->report);
    g_free(result);
}

static void
free_batch(gpointer data)
{
    result_batch_t *batch = data;
    g_ptr_array_free(batch->results, TRUE);
    g_bytes_unref(batch->route);
    g_free(batch);
}

void
nm_order_carrier_init(nm_order_carrier_t *carrier, nm_order_port_t *direct,
                      nm_peer_rpc_t *peers)
{
    assert(carrier && direct && peers);
    *carrier = (nm_order_carrier_t){.direct = direct, .peers = peers};
    carrier->batches =
        g_hash_table_new_full(g_bytes_hash, g_bytes_equal, NULL, free_batch);
    nm_report_encoder_init(&carrier->encoder);
    carrier->payloads = nm_payload_store_new();
}

void
nm_order_carrier_finish(nm_order_carrier_t *carrier)
{
    assert(carrier);
    g_hash_table_destroy(carrier->batches);
    nm_report_encoder_finish(&carrier->encoder);
    nm_payload_store_free(carrier->payloads);
}

static result_batch_t *
get_batch(nm_order_carrier_t *carrier, GBytes *route)
{
    result_batch_t *batch = g_hash_table_lookup(carrier->batches, route);
    if (!batch) {
        batch = g_new0(result_batch_t, 1);
        batch->route = g_bytes_ref(route);
        batch->results = g_ptr_array_new_with_free_func(free_result);
        g_hash_table_insert(carrier->batches, batch->route, batch);
    }
    return batch;
}

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    order_t *order = user;
    result_batch_t *batch = get_batch(order->carrier, order->route);
    NmPb__OrderResult *message = g_new(NmPb__OrderResult, 1);
    nm_pb__order_result__init(message);
    message->number = order->number;
    message->result = result;
    message->missing_payload_id = order->missing_payload_id;
    message->report =
        report && result == NM_ORDER_DONE
            ? nm_report_encode(&order->carrier->encoder, action->worker,
                               report, &order->base,
                               order->carrier->flush_called_ms)
            : NULL;
    g_ptr_array_add(batch->results, message);
    order->carrier->queued_count++;
    g_bytes_unref(order->route);
    g_free(order);
}

/* payload: NULL if the message does not have it. */
static void
handle_order(nm_order_carrier_t *carrier, const NmPb__Order *row,
             const char *payload, order_t *order, int64_t epoch,
             int64_t newest_epoch)
{
    nm_sched_action_t action = {
        .type = (nm_sched_action_type_t)MIN(row->type, NM_ACTION_THROTTLE),
        .incarnation = row->incarnation,
        .fence_seq = CLAMP(row->fence_seq, 0, NM_FENCE_SEQ_MAX),
        .run = row->run,
        .expiry_ms = row->expiry_ms,
        .acked = row->acked,
        .wait_ms = row->wait_ms,
        .timeout_ms = row->timeout_ms,
        .valid_ms = row->valid_ms,
        .payload = payload,
        .checkpoint = row->checkpoint,
        .percent = row->percent,
    };
    nm_strcopy(action.worker, sizeof(action.worker), row->worker);
    nm_strcopy(action.address, sizeof(action.address), row->address);
    nm_strcopy(action.task, sizeof(action.task), row->task);
    if (epoch < newest_epoch) {
        on_order(order, &action, NM_ORDER_FENCED, NULL);
    }
    else if (!payload && row->payload_id != 0) {
        order->missing_payload_id = row->payload_id;
        nm_refusals_log(&carrier->refusals, NM_LOG_ITEM_ORDER_REFUSED,
                        "worker", row->worker, "its payload is not kept here",
                        carrier->flush_called_ms);
        on_order(order, &action, NM_ORDER_NOT_SENT, NULL);
    }
    else if (!payload) {
        nm_count_reason(NM_REASON_PEER_MALFORMED);
        nm_refusals_log(&carrier->refusals, NM_LOG_ITEM_ORDER_REFUSED,
                        "worker", row->worker, "its payload is missing",
                        carrier->flush_called_ms);
        on_order(order, &action, NM_ORDER_INVALID, NULL);
    }
    else {
        nm_order_port_send(carrier->direct, &action, epoch, on_order, order);
    }
}

static void
keep_payloads(nm_order_carrier_t *carrier, const NmPb__EntryAsk *request)
{
    size_t count = MIN(request->n_payload_ids, request->n_payloads);
    for (size_t i = 0; i < count; i++) {
        nm_payload_store_put(carrier->payloads, request->epoch,
                             request->payload_ids[i], request->payloads[i]);
    }
}

/* Returns the payload of a start, or NULL. */
static const char *
find_payload(const nm_order_carrier_t *carrier, const NmPb__EntryAsk *request,
             const NmPb__Order *start)
{
    if (start->payload_id != 0) {
        return nm_payload_store_find(carrier->payloads, request->epoch,
                                     start->payload_id);
    }
    return start->payload_index < request->n_payloads
               ? request->payloads[start->payload_index]
               : NULL;
}

void
nm_order_carrier_handle_request(nm_order_carrier_t *carrier,
                                const nm_peer_message_t *message,
                                int64_t newest_epoch)
{
    assert(carrier && message && message->request);
    const NmPb__EntryAsk *request = message->request;
    if (request->epoch >= newest_epoch) {
        keep_payloads(carrier, request);
    }
    GBytes *route =
        g_bytes_new(message->sender_route, message->sender_route_bytes);
    for (size_t i = 0; i < request->n_orders + request->n_starts; i++) {
        bool in_table = i >= request->n_orders;
        const NmPb__Order *row = in_table
                                     ? request->starts[i - request->n_orders]
                                     : request->orders[i];
        const char *payload =
            in_table ? find_payload(carrier, request, row) : row->payload;
        order_t *order = g_new(order_t, 1);
        *order =
            (order_t){carrier,
                      g_bytes_ref(route),
                      row->number,
                      {row->base_number, row->incarnation, row->ends_known},
                      0};
        handle_order(carrier, row, payload, order, request->epoch,
                     newest_epoch);
    }
    g_bytes_unref(route);
}

nm_ms_t
nm_order_carrier_flush(nm_order_carrier_t *carrier, nm_ms_t now_ms)
{
    assert(carrier);
    carrier->flush_called_ms = now_ms;
    nm_ms_t remaining_ms = carrier->flushed_ms + NM_RELAY_BATCH_MS - now_ms;
    if (carrier->queued_count == 0 || remaining_ms > 0) {
        return carrier->queued_count > 0 ? remaining_ms : IDLE_WAIT_MS;
    }
    carrier->flushed_ms = now_ms;
    carrier->queued_count = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, carrier->batches);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        result_batch_t *batch = value;
        gsize bytes;
        const uint8_t *route = g_bytes_get_data(batch->route, &bytes);
        if (batch->results->len == 0) {
            continue;
        }
        NmPb__EntryAnswer response = NM_PB__ENTRY_ANSWER__INIT;
        response.n_results = batch->results->len;
        response.results = (NmPb__OrderResult **)batch->results->pdata;
        response.payload_table = true;
        response.keeps_payloads = true;
        nm_peer_rpc_respond(carrier->peers, route, (uint32_t)bytes, &response);
        g_hash_table_iter_remove(&iter);
    }
    return IDLE_WAIT_MS;
}
