/*
 * Limits the orders in flight to each worker.
 *
 * Load: a wide step that starts on a few workers at once.  Each call in flight
 * needs a connection of its own, and opening one costs more than waiting for a
 * round trip, so further orders wait in a queue.  Polls are not limited: there
 * is only one in flight to a worker at a time, and one probe of a witness.
 * Starts that have waited for as long as they are valid are not sent, nor
 * those of a term that is over.
 *
 *     nm_order_limiter_t limiter;
 *     nm_order_port_t *port = nm_order_limiter_init(&limiter, inner, &clock);
 *     nm_order_limiter_finish(&limiter);
 */
#ifndef NM_ORDER_LIMITER_H
#define NM_ORDER_LIMITER_H

#include <glib.h>

#include "order_overdue.h"
#include "order_port.h"

/* Two, so that the worker already has the next order when one returns. */
#define NM_WORKER_ORDERS_IN_FLIGHT_MAX 2

typedef struct {
    nm_order_port_t base;
    nm_order_port_t *inner;
    const nm_clock_t *clock;
    nm_overdue_t overdue;
    GHashTable *queues; /* worker -> orders in flight and waiting */
} nm_order_limiter_t;

nm_order_port_t *nm_order_limiter_init(nm_order_limiter_t *limiter,
                                       nm_order_port_t *inner,
                                       const nm_clock_t *clock);
/* Discards waiting orders; their callbacks are not called. */
void nm_order_limiter_finish(nm_order_limiter_t *limiter);

#endif
