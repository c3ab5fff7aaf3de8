/*
 * Queue of the orders that wait for one carrier.
 *
 *     GPtrArray *queue = nm_order_queue_new();
 *     nm_order_queue_add(queue, &action, number, base_number, now_ms);
 *     nm_order_queue_remove_overdue(queue, now_ms, numbers);
 *     nm_order_queue_send(queue, peers, address, epoch, now_ms, form, NULL);
 *     g_ptr_array_free(queue, TRUE);
 */
#ifndef NM_ORDER_QUEUE_H
#define NM_ORDER_QUEUE_H

#include <glib.h>

#include <nutmegdeck/sched.h>

#include "payload_table.h"
#include "peer_rpc.h"

/* How a carrier reads the payloads of starts, by what it has announced. */
typedef enum {
    NM_PAYLOADS_INLINE, /* one in each start */
    NM_PAYLOADS_ONCE,   /* each once a message */
    NM_PAYLOADS_KEPT_BY_ID,
} nm_payload_form_t;

GPtrArray *nm_order_queue_new(void);
/* base_number: of a poll, the newest report that the owner has. */
void nm_order_queue_add(GPtrArray *queue, const nm_sched_action_t *action,
                        uint64_t number, uint64_t base_number, nm_ms_t now_ms);
/* Removes starts whose time is over; appends their numbers (uint64_t). */
void nm_order_queue_remove_overdue(GPtrArray *queue, nm_ms_t now_ms,
                                   GArray *numbers);
/*
 * Sends polls first, then stops, throttles and starts, each in the order of
 * their numbers, in one or more messages.  Empties the queue; orders that
 * cannot be sent are lost.  table: of the payloads that are kept; NULL if the
 * form is another.
 */
void nm_order_queue_send(GPtrArray *queue, nm_peer_rpc_t *peers,
                         const char *address, int64_t epoch, nm_ms_t now_ms,
                         nm_payload_form_t form, nm_payload_table_t *table);

#endif
