/*
 * HTTP listener for operators: health, counters and status.
 *
 * An internal thread serves GET requests for /-/live, /-/ready,
 * /-/counters, /-/status and /-/jobs.  nm_ops_set_page() sets the text of
 * the last two, from any thread.
 *
 * Load: readers that stop reading.  All readers of a page share one copy of
 * it; the guard limits their connections.
 *
 *     nm_ops_t *ops = nm_ops_new("10.0.0.1", 9090, guard);
 *     nm_ops_set_ready(ops, true);
 *     nm_ops_set_page(ops, NM_OPS_PAGE_STATUS, json_text);
 *     nm_ops_free(ops);
 */
#ifndef NM_OPS_H
#define NM_OPS_H

#include <nutmegdeck/base.h>

#include "client_guard.h"

typedef enum {
    NM_OPS_PAGE_STATUS, /* /-/status */
    NM_OPS_PAGE_JOBS,   /* /-/jobs */
    NM_OPS_PAGE_COUNT,
} nm_ops_page_t;

typedef struct nm_ops nm_ops_t;

/*
 * Returns NULL if the address is malformed or cannot be bound.  guard may be
 * NULL, for no limits; it is freed after this.
 */
nm_ops_t *nm_ops_new(const char *address, uint16_t port,
                     nm_client_guard_t *guard);
/* Like nm_ops_new(), for an address of the form IP:PORT. */
nm_ops_t *nm_ops_new_at(const char *address_and_port,
                        nm_client_guard_t *guard);
void nm_ops_free(nm_ops_t *ops);
void nm_ops_set_ready(nm_ops_t *ops, bool ready);
/* Takes over text, which was allocated with malloc. */
void nm_ops_set_page(nm_ops_t *ops, nm_ops_page_t page, char *text);

#endif
