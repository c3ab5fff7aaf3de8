#include "order_queue.h"

#include <assert.h>

#include <nutmegdeck/reason.h>

#include "order_overdue.h"

/* Orders in one message; more are sent in several. */
#define MESSAGE_ORDERS_MAX 256

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

void
nm_order_queue_send(GPtrArray *queue, nm_peer_rpc_t *peers,
                    const char *address, int64_t epoch, nm_ms_t now_ms)
{
    assert(queue && peers && address);
    reduce_valid_times(queue, now_ms);
    NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
    request.type = NM_PB__ENTRY_ASK__TYPE__ORDERS;
    request.epoch = epoch;
    g_ptr_array_sort(queue, compare_orders);
    for (guint i = 0; i < queue->len; i += MESSAGE_ORDERS_MAX) {
        request.n_orders = MIN(queue->len - i, MESSAGE_ORDERS_MAX);
        request.orders = (NmPb__Order **)queue->pdata + i;
        /* Orders that could not be sent end by their timeout. */
        if (nm_peer_rpc_send(peers, address, &request) < 0) {
            nm_count_reason(NM_REASON_PEER_LOST);
        }
    }
    g_ptr_array_set_size(queue, 0);
}
