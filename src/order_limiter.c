#include "order_limiter.h"

#include <assert.h>

typedef struct {
    char worker[NM_NAME_MAX];
    uint32_t in_flight;
    GQueue waiting; /* of order_t */
} worker_queue_t;

typedef struct {
    nm_order_limiter_t *limiter;
    worker_queue_t *queue;
    nm_sched_action_t action;
    char *payload; /* copies, made if the order has to wait */
    char *checkpoint;
    int64_t epoch;
    nm_ms_t queued_ms;
    nm_order_done_fn done;
    void *user;
} order_t;

static void
free_order(gpointer data)
{
    order_t *order = data;
    g_free(order->payload);
    g_free(order->checkpoint);
    g_free(order);
}

static void
free_queue(gpointer data)
{
    worker_queue_t *queue = data;
    g_queue_clear_full(&queue->waiting, free_order);
    g_free(queue);
}

static worker_queue_t *
get_queue(nm_order_limiter_t *limiter, const char *worker)
{
    worker_queue_t *queue = g_hash_table_lookup(limiter->queues, worker);
    if (!queue) {
        queue = g_new0(worker_queue_t, 1);
        nm_strcopy(queue->worker, sizeof(queue->worker), worker);
        g_queue_init(&queue->waiting);
        g_hash_table_insert(limiter->queues, queue->worker, queue);
    }
    return queue;
}

static void on_order(void *user, const nm_sched_action_t *action,
                     nm_order_result_t result,
                     const nm_worker_report_t *report);

static void
send_order(order_t *order)
{
    order->queue->in_flight++;
    nm_order_port_send(order->limiter->inner, &order->action, order->epoch,
                       on_order, order);
}

/* Ends an order that has waited for too long; returns false for others. */
static bool
drop_overdue(order_t *order, nm_ms_t now_ms)
{
    const nm_sched_action_t *action = &order->action;
    if (!nm_order_is_overdue(action->valid_ms, order->queued_ms, now_ms)) {
        return false;
    }
    nm_overdue_add(&order->limiter->overdue, action->worker, now_ms);
    order->done(order->user, action, NM_ORDER_NOT_SENT, NULL);
    free_order(order);
    return true;
}

static void
send_waiting(nm_order_limiter_t *limiter, worker_queue_t *queue)
{
    bool sent = false;
    while (!sent && queue->waiting.length > 0 &&
           queue->in_flight < NM_WORKER_ORDERS_IN_FLIGHT_MAX)
    {
        order_t *order = g_queue_pop_head(&queue->waiting);
        sent = !drop_overdue(order, nm_clock_now(limiter->clock));
        if (sent) {
            send_order(order);
        }
    }
}

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    order_t *order = user;
    nm_order_limiter_t *limiter = order->limiter;
    worker_queue_t *queue = order->queue;
    queue->in_flight--;
    order->done(order->user, action, result, report);
    free_order(order);
    send_waiting(limiter, queue);
}

static void
limiter_send(nm_order_port_t *port, const nm_sched_action_t *action,
             int64_t epoch, nm_order_done_fn done, void *user)
{
    nm_order_limiter_t *limiter = (nm_order_limiter_t *)port;
    if (action->type == NM_ACTION_POLL) {
        nm_order_port_send(limiter->inner, action, epoch, done, user);
        return;
    }
    order_t *order = g_new0(order_t, 1);
    order->limiter = limiter;
    order->queue = get_queue(limiter, action->worker);
    order->action = *action;
    order->epoch = epoch;
    order->done = done;
    order->user = user;
    if (order->queue->in_flight < NM_WORKER_ORDERS_IN_FLIGHT_MAX) {
        send_order(order);
        return;
    }
    /* The strings of the action are only valid during this call. */
    order->payload = g_strdup(action->payload);
    order->checkpoint = g_strdup(action->checkpoint);
    order->action.payload = order->payload;
    order->action.checkpoint = order->checkpoint;
    order->queued_ms = nm_clock_now(limiter->clock);
    g_queue_push_tail(&order->queue->waiting, order);
}

/* Ends waiting starts, after the queues have been searched. */
static void
limiter_end_terms(nm_order_port_t *port, int64_t epoch)
{
    nm_order_limiter_t *limiter = (nm_order_limiter_t *)port;
    GQueue ended = G_QUEUE_INIT;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, limiter->queues);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        worker_queue_t *queue = value;
        for (guint i = queue->waiting.length; i > 0; i--) {
            order_t *order = g_queue_pop_head(&queue->waiting);
            bool ends =
                order->action.type == NM_ACTION_START && order->epoch <= epoch;
            g_queue_push_tail(ends ? &ended : &queue->waiting, order);
        }
    }
    order_t *order;
    while ((order = g_queue_pop_head(&ended))) {
        order->done(order->user, &order->action, NM_ORDER_NOT_SENT, NULL);
        free_order(order);
    }
}

static const nm_order_port_vtable_t limiter_vtable = {
    .send = limiter_send,
    .end_terms = limiter_end_terms,
};

nm_order_port_t *
nm_order_limiter_init(nm_order_limiter_t *limiter, nm_order_port_t *inner,
                      const nm_clock_t *clock)
{
    assert(limiter && inner && clock);
    *limiter = (nm_order_limiter_t){
        .base = {&limiter_vtable}, .inner = inner, .clock = clock};
    limiter->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_queue);
    return &limiter->base;
}

void
nm_order_limiter_finish(nm_order_limiter_t *limiter)
{
    assert(limiter);
    g_hash_table_destroy(limiter->queues);
}
