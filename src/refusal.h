/*
 * Log of records that are refused, bounded however often they come back.
 *
 * Each refusal is counted as record-refused.  A line names the record, the
 * reason, and how many refusals had no line since the one before.  The same
 * refusal has no second line within NM_REFUSAL_REPEAT_MS, and there are at
 * most NM_REFUSAL_LINES_PER_S lines.
 *
 *     static nm_refusals_t refusals;
 *     nm_refusals_log(&refusals, NM_LOG_ITEM_WORKER_REFUSED, "worker", id,
 *                     "its port is not from 1 to 65535", now_ms);
 */
#ifndef NM_REFUSAL_H
#define NM_REFUSAL_H

#include <nutmegdeck/log.h>

#define NM_REFUSAL_LINES_PER_S 10
#define NM_REFUSAL_REPEAT_MS 60000
/* Refusals that are remembered; those of equal slots replace each other. */
#define NM_REFUSAL_SLOTS 256

/* Zero-initialised; not thread-safe. */
typedef struct {
    struct {
        uint64_t hash; /* of record and reason; 0: none */
        nm_ms_t logged_ms;
    } slots[NM_REFUSAL_SLOTS];
    nm_ms_t window_start_ms;
    uint32_t lines; /* in the window of one second */
    uint64_t unlogged;
} nm_refusals_t;

/* Returns true if a line was written; field names the kind of record. */
bool nm_refusals_log(nm_refusals_t *refusals, nm_log_item_t item,
                     const char *field, const char *name, const char *reason,
                     nm_ms_t now_ms);

#endif
