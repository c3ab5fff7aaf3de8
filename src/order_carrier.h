/*
 * Carrier: sends orders to workers on behalf of the owner, which cannot call
 * hundreds of workers itself, and returns their results in batches.
 *
 *     nm_order_carrier_t carrier;
 *     nm_order_carrier_init(&carrier, direct, peers);
 *     nm_order_carrier_handle_request(&carrier, &message, newest_epoch);
 *     nm_order_carrier_flush(&carrier, now_ms);   (at the end of each round)
 *     nm_order_carrier_finish(&carrier);
 */
#ifndef NM_ORDER_CARRIER_H
#define NM_ORDER_CARRIER_H

#include <glib.h>

#include "order_port.h"
#include "payload_table.h"
#include "peer_rpc.h"
#include "refusal.h"
#include "report_delta.h"

typedef struct {
    nm_order_port_t *direct;
    nm_peer_rpc_t *peers;
    nm_report_encoder_t encoder;
    nm_payload_store_t *payloads;
    nm_refusals_t refusals;
    nm_ms_t flush_called_ms; /* last call of flush, whether it sent or not */
    nm_ms_t flushed_ms;      /* last flush that sent results */
    uint32_t queued_count;   /* results that wait for the next flush */
    GHashTable *batches; /* route -> results that wait for the next flush */
} nm_order_carrier_t;

void nm_order_carrier_init(nm_order_carrier_t *carrier,
                           nm_order_port_t *direct, nm_peer_rpc_t *peers);
void nm_order_carrier_finish(nm_order_carrier_t *carrier);
/*
 * Sends the orders of a message to their workers.  Orders of an epoch before
 * newest_epoch, the newest that this host knows, are reported as fenced: their
 * sender is no longer the owner.
 */
void nm_order_carrier_handle_request(nm_order_carrier_t *carrier,
                                     const nm_peer_message_t *message,
                                     int64_t newest_epoch);
/* Sends queued results; returns the time until the next call. */
nm_ms_t nm_order_carrier_flush(nm_order_carrier_t *carrier, nm_ms_t now_ms);

#endif
