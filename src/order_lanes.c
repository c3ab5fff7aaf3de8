#include "order_lanes.h"

#include <assert.h>

typedef struct {
    char worker[NM_NAME_MAX];
    uint32_t under_way;
    GQueue waiting; /* of order_t */
} lane_t;

typedef struct {
    nm_order_lanes_t *lanes;
    lane_t *lane;
    nm_sched_action_t action;
    char *payload; /* copies, while it waits */
    char *checkpoint;
    int64_t epoch;
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
free_lane(gpointer data)
{
    lane_t *lane = data;
    g_queue_clear_full(&lane->waiting, free_order);
    g_free(lane);
}

static lane_t *
find_lane(nm_order_lanes_t *lanes, const char *worker)
{
    lane_t *lane = g_hash_table_lookup(lanes->lanes, worker);
    if (!lane) {
        lane = g_new0(lane_t, 1);
        nm_strcopy(lane->worker, sizeof(lane->worker), worker);
        g_queue_init(&lane->waiting);
        g_hash_table_insert(lanes->lanes, lane->worker, lane);
    }
    return lane;
}

static void on_order(void *user, const nm_sched_action_t *action,
                     nm_order_result_t result,
                     const nm_worker_report_t *report);

static void
send_order(order_t *order)
{
    order->lane->under_way++;
    nm_order_port_send(order->lanes->inner, &order->action, order->epoch,
                       on_order, order);
}

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    order_t *order = user;
    lane_t *lane = order->lane;
    lane->under_way--;
    order->done(order->user, action, result, report);
    free_order(order);
    if (lane->waiting.length > 0 && lane->under_way < NM_ORDER_LANE_WIDTH) {
        send_order(g_queue_pop_head(&lane->waiting));
    }
}

static void
lanes_send(nm_order_port_t *port, const nm_sched_action_t *action,
           int64_t epoch, nm_order_done_fn done, void *user)
{
    nm_order_lanes_t *lanes = (nm_order_lanes_t *)port;
    if (action->type == NM_ACTION_POLL) {
        nm_order_port_send(lanes->inner, action, epoch, done, user);
        return;
    }
    order_t *order = g_new0(order_t, 1);
    order->lanes = lanes;
    order->lane = find_lane(lanes, action->worker);
    order->action = *action;
    order->epoch = epoch;
    order->done = done;
    order->user = user;
    if (order->lane->under_way < NM_ORDER_LANE_WIDTH) {
        send_order(order);
        return;
    }
    /* The scheduler's texts are only valid during this call. */
    order->payload = g_strdup(action->payload);
    order->checkpoint = g_strdup(action->checkpoint);
    order->action.payload = order->payload;
    order->action.checkpoint = order->checkpoint;
    g_queue_push_tail(&order->lane->waiting, order);
}

static const nm_order_port_vtable_t lanes_vtable = {lanes_send};

nm_order_port_t *
nm_order_lanes_init(nm_order_lanes_t *lanes, nm_order_port_t *inner)
{
    assert(lanes && inner);
    *lanes = (nm_order_lanes_t){.base = {&lanes_vtable}, .inner = inner};
    lanes->lanes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_lane);
    return &lanes->base;
}

void
nm_order_lanes_finish(nm_order_lanes_t *lanes)
{
    assert(lanes);
    g_hash_table_destroy(lanes->lanes);
}
