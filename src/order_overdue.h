/*
 * Starts that were late and not sent: counted, with one log line a second.
 *
 *     nm_overdue_t overdue = {0};
 *     if (nm_order_is_overdue(valid_ms, queued_ms, now_ms)) {
 *         nm_overdue_add(&overdue, action.worker, now_ms);
 *     }
 */
#ifndef NM_ORDER_OVERDUE_H
#define NM_ORDER_OVERDUE_H

#include <nutmegdeck/base.h>

/* Zero-initialised. */
typedef struct {
    nm_ms_t logged_ms;
    uint32_t unlogged;
} nm_overdue_t;

/* True if an order that has waited since queued_ms is not to be sent. */
static inline bool
nm_order_is_overdue(nm_ms_t valid_ms, nm_ms_t queued_ms, nm_ms_t now_ms)
{
    return valid_ms > 0 && now_ms - queued_ms >= valid_ms;
}

void nm_overdue_add(nm_overdue_t *overdue, const char *worker, nm_ms_t now_ms);

#endif
