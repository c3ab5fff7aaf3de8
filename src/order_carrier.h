/*
 * Carrier: makes calls to workers for the owner, and batches the answers.
 *
 *     nm_order_carrier_t carrier;
 *     nm_order_carrier_init(&carrier, direct, peers);
 *     nm_order_carrier_handle_request(&carrier, &message);
 *     nm_order_carrier_flush(&carrier, now_ms);   (at the end of each round)
 *     nm_order_carrier_finish(&carrier);
 */
#ifndef NM_ORDER_CARRIER_H
#define NM_ORDER_CARRIER_H

#include <glib.h>

#include "order_port.h"
#include "peer_rpc.h"
#include "report_delta.h"

typedef struct {
    nm_order_port_t *direct;
    nm_peer_rpc_t *peers;
    nm_report_encoder_t encoder;
    nm_ms_t flush_called_ms; /* last flush, whether it sent or not */
    nm_ms_t flushed_ms;
    uint32_t queued_count;
    GHashTable *batches; /* route -> answers that wait for the next flush */
} nm_order_carrier_t;

void nm_order_carrier_init(nm_order_carrier_t *carrier,
                           nm_order_port_t *direct, nm_peer_rpc_t *peers);
void nm_order_carrier_finish(nm_order_carrier_t *carrier);
/*
 * Sends the orders of a message to their workers.  Those of an epoch before
 * the newest that this host knows are refused: their sender is owner no more.
 */
void nm_order_carrier_handle_request(nm_order_carrier_t *carrier,
                                     const nm_peer_message_t *message,
                                     int64_t newest_epoch);
/* Sends what is queued; returns the time until it is to be called again. */
nm_ms_t nm_order_carrier_flush(nm_order_carrier_t *carrier, nm_ms_t now_ms);

#endif
