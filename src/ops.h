/*
 * HTTP listener for operators: health, counters and status.
 *
 * An internal thread serves GET requests for /-/live, /-/ready,
 * /-/counters, /-/status and /-/jobs.  nm_ops_set_page() sets the text of
 * the last two, from any thread.
 *
 *     nm_ops_t *ops = nm_ops_new("10.0.0.1", 9090);
 *     nm_ops_set_ready(ops, true);
 *     nm_ops_set_page(ops, NM_OPS_PAGE_STATUS, json_text);
 *     nm_ops_free(ops);
 */
#ifndef NM_OPS_H
#define NM_OPS_H

#include <nutmegdeck/base.h>

typedef enum {
    NM_OPS_PAGE_STATUS, /* /-/status */
    NM_OPS_PAGE_JOBS,   /* /-/jobs */
    NM_OPS_PAGE_COUNT,
} nm_ops_page_t;

typedef struct nm_ops nm_ops_t;

/* Returns NULL if the address is malformed or cannot be bound. */
nm_ops_t *nm_ops_new(const char *address, uint16_t port);
/* Like nm_ops_new(), for an address of the form IP:PORT. */
nm_ops_t *nm_ops_new_at(const char *address_and_port);
void nm_ops_free(nm_ops_t *ops);
void nm_ops_set_ready(nm_ops_t *ops, bool ready);
/* Takes over text, which was allocated with malloc. */
void nm_ops_set_page(nm_ops_t *ops, nm_ops_page_t page, char *text);

#endif
