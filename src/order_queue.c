#include "order_queue.h"

#include <assert.h>
#include <string.h>

#include <nutmegdeck/reason.h>

#include "order_overdue.h"

/* Orders in one message; more are sent in several. */
#define MESSAGE_ORDERS_MAX NM_PAYLOADS_ADDED_MAX

/* An order in the queue; message is first, as the queue is sent in place. */
typedef struct {
    NmPb__Order message;
    nm_ms_t queued_ms;
} queued_t;

static void
free_queued(gpointer data)
{
    queued_t *queued = data;
    g_free(queued->message.worker);
    g_free(queued->message.address);
    g_free(queued->message.task);
    g_free(queued->message.payload);
    g_free(queued->message.checkpoint);
    g_free(queued);
}

GPtrArray *
nm_order_queue_new(void)
{
    return g_ptr_array_new_with_free_func(free_queued);
}

void
nm_order_queue_add(GPtrArray *queue, const nm_sched_action_t *action,
                   uint64_t number, uint64_t base_number, nm_ms_t now_ms)
{
    assert(queue && action);
    queued_t *queued = g_new(queued_t, 1);
    NmPb__Order *order = &queued->message;
    nm_pb__order__init(order);
    order->number = number;
    order->type = action->type;
    order->worker = g_strdup(action->worker);
    order->address = g_strdup(action->address);
    order->incarnation = action->incarnation;
    order->fence_seq = action->fence_seq;
    order->task = g_strdup(action->task);
    order->run = action->run;
    order->expiry_ms = action->expiry_ms;
    order->acked = action->acked;
    order->wait_ms = action->wait_ms;
    order->timeout_ms = action->timeout_ms;
    order->payload = g_strdup(action->payload);
    order->checkpoint = g_strdup(action->checkpoint);
    order->percent = action->percent;
    order->base_number = base_number;
    order->valid_ms = action->valid_ms;
    order->ends_known = action->ends_known;
    queued->queued_ms = now_ms;
    g_ptr_array_add(queue, queued);
}

void
nm_order_queue_remove_overdue(GPtrArray *queue, nm_ms_t now_ms,
                              GArray *numbers)
{
    assert(queue && numbers);
    for (guint i = queue->len; i > 0; i--) {
        const queued_t *queued = queue->pdata[i - 1];
        if (nm_order_is_overdue(queued->message.valid_ms, queued->queued_ms,
                                now_ms)) {
            g_array_append_val(numbers, queued->message.number);
            g_ptr_array_remove_index(queue, i - 1);
        }
    }
}

/* Leaves in each message what is left of the time of a start. */
static void
reduce_valid_times(GPtrArray *queue, nm_ms_t now_ms)
{
    for (guint i = 0; i < queue->len; i++) {
        queued_t *queued = queue->pdata[i];
        if (queued->message.valid_ms > 0) {
            nm_ms_t waited_ms = MAX(now_ms - queued->queued_ms, 0);
            queued->message.valid_ms =
                MAX(queued->message.valid_ms - waited_ms, 1);
        }
    }
}

/* Polls renew leases, and stops free capacity; starts can wait. */
static int
precedence(const NmPb__Order *order)
{
    switch (order->type) {
    case NM_ACTION_POLL:
        return 0;
    case NM_ACTION_STOP:
        return 1;
    case NM_ACTION_START:
        return 3;
    default:
        return 2;
    }
}

static gint
compare_orders(gconstpointer a, gconstpointer b)
{
    const NmPb__Order *left = *(NmPb__Order *const *)a;
    const NmPb__Order *right = *(NmPb__Order *const *)b;
    int difference = precedence(left) - precedence(right);
    return difference != 0 ? difference
                           : (left->number > right->number) -
                                 (left->number < right->number);
}

/* Moves the payloads of starts to a table, in which each is once. */
static GPtrArray *
extract_payloads(NmPb__Order **starts, size_t count)
{
    GPtrArray *payloads = g_ptr_array_new_with_free_func(g_free);
    GHashTable *indices = g_hash_table_new(g_str_hash, g_str_equal);
    for (size_t i = 0; i < count; i++) {
        char *payload = starts[i]->payload;
        gpointer index;
        if (g_hash_table_lookup_extended(indices, payload, NULL, &index)) {
            g_free(payload);
        }
        else {
            index = GUINT_TO_POINTER(payloads->len);
            g_hash_table_insert(indices, payload, index);
            g_ptr_array_add(payloads, payload);
        }
        starts[i]->payload = g_strdup("");
        starts[i]->payload_index = GPOINTER_TO_UINT(index);
    }
    g_hash_table_destroy(indices);
    return payloads;
}

/*
 * Moves the payloads that the carrier may lack to a list; the starts get the
 * ids of theirs, which are appended for those in the list.
 */
static GPtrArray *
extract_new_payloads(NmPb__Order **starts, size_t count,
                     nm_payload_table_t *table, GArray *ids)
{
    GPtrArray *payloads = g_ptr_array_new_with_free_func(g_free);
    for (size_t i = 0; i < count; i++) {
        char *payload = starts[i]->payload;
        if (nm_payload_table_add(table, payload, &starts[i]->payload_id)) {
            g_array_append_val(ids, starts[i]->payload_id);
            g_ptr_array_add(payloads, payload);
        }
        else {
            g_free(payload);
        }
        starts[i]->payload = g_strdup("");
    }
    return payloads;
}

static void
count_payload_bytes(char *const *payloads, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        nm_count(NM_COUNTER_PAYLOAD_BYTES, strlen(payloads[i]));
    }
}

/* Orders that could not be sent end by their timeout. */
static void
send_message(nm_peer_rpc_t *peers, const char *address,
             NmPb__EntryAsk *request)
{
    if (nm_peer_rpc_send(peers, address, request) < 0) {
        nm_count_reason(NM_REASON_PEER_LOST);
    }
}

/*
 * Sends a message in which the starts, which are last, share payloads; table:
 * those that the carrier keeps, or NULL.
 */
static void
send_with_payloads(nm_peer_rpc_t *peers, const char *address,
                   NmPb__EntryAsk *request, nm_payload_table_t *table)
{
    size_t count = request->n_orders;
    while (request->n_orders > 0 &&
           request->orders[request->n_orders - 1]->type == NM_ACTION_START)
    {
        request->n_orders--;
    }
    request->starts = request->orders + request->n_orders;
    request->n_starts = count - request->n_orders;
    GArray *ids = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    GPtrArray *payloads =
        table ? extract_new_payloads(request->starts, request->n_starts, table,
                                     ids)
              : extract_payloads(request->starts, request->n_starts);
    request->payloads = (char **)payloads->pdata;
    request->n_payloads = payloads->len;
    count_payload_bytes(request->payloads, request->n_payloads);
    request->payload_ids = (uint64_t *)(void *)ids->data;
    request->n_payload_ids = ids->len;
    send_message(peers, address, request);
    g_ptr_array_free(payloads, TRUE);
    g_array_free(ids, TRUE);
}

void
nm_order_queue_send(GPtrArray *queue, nm_peer_rpc_t *peers,
                    const char *address, int64_t epoch, nm_ms_t now_ms,
                    nm_payload_form_t form, nm_payload_table_t *table)
{
    assert(queue && peers && address);
    assert((form == NM_PAYLOADS_KEPT_BY_ID) == (table != NULL));
    reduce_valid_times(queue, now_ms);
    g_ptr_array_sort(queue, compare_orders);
    for (guint i = 0; i < queue->len; i += MESSAGE_ORDERS_MAX) {
        NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
        request.type = NM_PB__ENTRY_ASK__TYPE__ORDERS;
        request.epoch = epoch;
        request.n_orders = MIN(queue->len - i, MESSAGE_ORDERS_MAX);
        request.orders = (NmPb__Order **)queue->pdata + i;
        if (form != NM_PAYLOADS_INLINE) {
            send_with_payloads(peers, address, &request, table);
        }
        else {
            for (size_t n = 0; n < request.n_orders; n++) {
                count_payload_bytes(&request.orders[n]->payload, 1);
            }
            send_message(peers, address, &request);
        }
    }
    g_ptr_array_set_size(queue, 0);
}
