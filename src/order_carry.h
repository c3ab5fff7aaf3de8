/*
 * Carrier: makes calls to workers for the owner, and batches the answers.
 *
 *     nm_order_carry_t carry;
 *     nm_order_carry_init(&carry, direct, peers);
 *     nm_order_carry_take(&carry, &message);
 *     nm_order_carry_flush(&carry, now_ms);   (at the end of each round)
 *     nm_order_carry_finish(&carry);
 */
#ifndef NM_ORDER_CARRY_H
#define NM_ORDER_CARRY_H

#include <glib.h>

#include "order_port.h"
#include "peer_ask.h"
#include "report_delta.h"

typedef struct {
    nm_order_port_t *direct;
    nm_peer_ask_t *peers;
    nm_report_memory_t memory;
    nm_ms_t called_ms; /* last flush, whether it sent or not */
    nm_ms_t flushed_ms;
    uint32_t queued;
    GHashTable *owners; /* route -> answers that wait for the next flush */
} nm_order_carry_t;

void nm_order_carry_init(nm_order_carry_t *carry, nm_order_port_t *direct,
                         nm_peer_ask_t *peers);
void nm_order_carry_finish(nm_order_carry_t *carry);
/*
 * Sends the orders of a message to their workers.  Those of an epoch before
 * the newest that this host knows are refused: their sender is owner no more.
 */
void nm_order_carry_take(nm_order_carry_t *carry,
                         const nm_peer_message_t *message,
                         int64_t newest_epoch);
/* Sends what is queued; returns the time until it is to be called again. */
nm_ms_t nm_order_carry_flush(nm_order_carry_t *carry, nm_ms_t now_ms);

#endif
