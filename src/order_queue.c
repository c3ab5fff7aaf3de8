#include "order_queue.h"

#include <assert.h>

#include <nutmegdeck/reason.h>

#include "order_overdue.h"

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

void
nm_order_queue_send(GPtrArray *queue, nm_peer_rpc_t *peers,
                    const char *address, int64_t epoch, nm_ms_t now_ms)
{
    assert(queue && peers && address);
    reduce_valid_times(queue, now_ms);
    NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
    request.type = NM_PB__ENTRY_ASK__TYPE__ORDERS;
    request.epoch = epoch;
    request.n_orders = queue->len;
    request.orders = (NmPb__Order **)queue->pdata;
    /* Orders that could not be sent end by their timeout. */
    if (nm_peer_rpc_send(peers, address, &request) < 0) {
        nm_count_reason(NM_REASON_PEER_LOST);
    }
    g_ptr_array_set_size(queue, 0);
}
