/*
 * Limit of orders under way to one worker.
 *
 * Answers this load: a wide step that starts on a few workers at once.  Each
 * call under way needs a connection of its own, and opening one costs more
 * than waiting for a round trip, so further orders wait for their turn.
 * Reports are not limited: one at a time is under way anyway.
 *
 *     nm_order_limiter_t limiter;
 *     nm_order_port_t *port = nm_order_limiter_init(&limiter, inner);
 *     nm_order_limiter_finish(&limiter);
 */
#ifndef NM_ORDER_LIMITER_H
#define NM_ORDER_LIMITER_H

#include <glib.h>

#include "order_port.h"

/* Orders under way to one worker: the next is ready when one returns. */
#define NM_WORKER_ORDERS_IN_FLIGHT_MAX 2

typedef struct {
    nm_order_port_t base;
    nm_order_port_t *inner;
    GHashTable *queues; /* worker -> orders under way and waiting */
} nm_order_limiter_t;

nm_order_port_t *nm_order_limiter_init(nm_order_limiter_t *limiter,
                                       nm_order_port_t *inner);
/* Waiting orders are forgotten without calling back. */
void nm_order_limiter_finish(nm_order_limiter_t *limiter);

#endif
