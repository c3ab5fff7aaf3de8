/*
 * Limit of orders under way to one worker.
 *
 * Answers this load: a wide step that starts on a few workers at once.  Each
 * call under way needs a connection of its own, and opening one costs more
 * than waiting for a round trip, so further orders wait for their turn.
 * Reports are not limited: one at a time is under way anyway.
 *
 *     nm_order_lanes_t lanes;
 *     nm_order_port_t *port = nm_order_lanes_init(&lanes, inner);
 *     nm_order_lanes_finish(&lanes);
 */
#ifndef NM_ORDER_LANES_H
#define NM_ORDER_LANES_H

#include <glib.h>

#include "order_port.h"

/* Orders under way to one worker: the next is ready when one returns. */
#define NM_ORDER_LANE_WIDTH 2

typedef struct {
    nm_order_port_t base;
    nm_order_port_t *inner;
    GHashTable *lanes; /* worker -> orders under way and waiting */
} nm_order_lanes_t;

nm_order_port_t *nm_order_lanes_init(nm_order_lanes_t *lanes,
                                     nm_order_port_t *inner);
/* Waiting orders are forgotten without calling back. */
void nm_order_lanes_finish(nm_order_lanes_t *lanes);

#endif
