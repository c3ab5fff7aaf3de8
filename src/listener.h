/*
 * HTTP listener for callers and for other entry hosts.
 *
 * Reads each request completely, submits it to the traffic thread and
 * suspends the connection until the response is ready.
 *
 * Load: up to 8192 connections at the same time, and request bodies up to
 * NM_REQUEST_BODY_MAX_BYTES.  The guard limits what they hold; a body for
 * which no service is known is discarded as it arrives.
 *
 *     nm_listener_t *listener = nm_listener_new(&desc);
 *     nm_listener_quiesce(listener);
 *     nm_listener_free(listener);
 */
#ifndef NM_LISTENER_H
#define NM_LISTENER_H

#include "client_guard.h"
#include "traffic.h"

#define NM_LISTENER_IDLE_S 75
/* Pool of a connection of libmicrohttpd, and what belongs to it. */
#define NM_LISTENER_CONNECTION_BYTES (52 * 1024)

typedef struct {
    const char *address; /* IPv4 address */
    uint16_t port;
    uint32_t threads;            /* 0: 2 */
    nm_traffic_t *traffic;       /* receives the requests */
    const char *const *peer_ips; /* hosts that may forward; ends with NULL */
    nm_client_guard_t *guard;    /* NULL: no limits */
} nm_listener_desc_t;

typedef struct nm_listener nm_listener_t;

/* Returns NULL if the address is invalid or cannot be bound. */
nm_listener_t *nm_listener_new(const nm_listener_desc_t *desc);
/* Closes the listening socket; open connections stay usable. */
void nm_listener_quiesce(nm_listener_t *listener);
void nm_listener_free(nm_listener_t *listener);
/* Sends a completed exchange's response.  For nm_traffic_desc_t.on_done. */
void nm_listener_send_response(nm_exchange_t *exchange);

#endif
