/*
 * Adapter for requests to executors and to other entry hosts.
 *
 * Sends attempts and reports their outcomes.  Not thread-safe, except
 * nm_upstream_wake().  The implementation speaks HTTP/1.1 and keeps
 * connections open for reuse.
 *
 * Load: targets that refuse connections, close them during a request or a
 * response, or send more than NM_RESPONSE_MAX_BYTES.
 *
 *     nm_upstream_t *upstream = nm_upstream_http_new(&desc);
 *     nm_upstream_send(upstream, &request);
 *     nm_upstream_wait(upstream, 5);
 *     while (nm_upstream_next(upstream, &result)) { ... }
 *     nm_upstream_free(upstream);
 */
#ifndef NM_UPSTREAM_H
#define NM_UPSTREAM_H

#include "exchange.h"

typedef struct {
    nm_attempt_t attempt;
    const char *address;   /* such as http://10.0.0.7:8080 */
    bool to_peer;          /* to an entry host; marked as forwarded */
    bool fresh_connection; /* a reused one could send the request twice */
    nm_ms_t timeout_ms;    /* sent as a header; no limit of this adapter */
    const nm_exchange_t *exchange; /* only body is used after send */
} nm_upstream_request_t;

typedef struct {
    nm_attempt_t attempt;
    nm_outcome_t outcome;
    nm_response_t response; /* valid if RESPONDED or UNAVAILABLE; finish it */
} nm_upstream_result_t;

typedef struct nm_upstream nm_upstream_t;

typedef struct {
    int (*send)(nm_upstream_t *upstream, const nm_upstream_request_t *request);
    void (*close)(nm_upstream_t *upstream, nm_attempt_t attempt);
    void (*wait)(nm_upstream_t *upstream, nm_ms_t wait_ms);
    void (*set_connection_limit)(nm_upstream_t *upstream,
                                 uint32_t connections);
    void (*wake)(nm_upstream_t *upstream); /* from any thread */
    bool (*next)(nm_upstream_t *upstream, nm_upstream_result_t *result);
    void (*free)(nm_upstream_t *upstream);
} nm_upstream_vtable_t;

struct nm_upstream {
    const nm_upstream_vtable_t *vtable;
};

typedef struct {
    uint32_t connections_per_host; /* open at the same time; 0: 16 */
} nm_upstream_http_desc_t;

nm_upstream_t *nm_upstream_http_new(const nm_upstream_http_desc_t *desc);

/* Starts an attempt.  Returns a negative code if nothing was sent. */
static inline int
nm_upstream_send(nm_upstream_t *upstream, const nm_upstream_request_t *request)
{
    return upstream->vtable->send(upstream, request);
}

/* Closes an attempt's connection; no outcome follows. */
static inline void
nm_upstream_close(nm_upstream_t *upstream, nm_attempt_t attempt)
{
    upstream->vtable->close(upstream, attempt);
}

/* Waits for input or output, or for a wake; at most wait_ms. */
static inline void
nm_upstream_wait(nm_upstream_t *upstream, nm_ms_t wait_ms)
{
    upstream->vtable->wait(upstream, wait_ms);
}

/* Sets the maximum number of open connections per host. */
static inline void
nm_upstream_set_connection_limit(nm_upstream_t *upstream, uint32_t connections)
{
    upstream->vtable->set_connection_limit(upstream, connections);
}

static inline void
nm_upstream_wake(nm_upstream_t *upstream)
{
    upstream->vtable->wake(upstream);
}

/* Gets the result of an attempt that ended; false: none. */
static inline bool
nm_upstream_next(nm_upstream_t *upstream, nm_upstream_result_t *result)
{
    return upstream->vtable->next(upstream, result);
}

static inline void
nm_upstream_free(nm_upstream_t *upstream)
{
    upstream->vtable->free(upstream);
}

#endif
