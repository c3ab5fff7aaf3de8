/*
 * HTTP listener for callers.
 *
 *     nm_listener_t *listener = nm_listener_new(&desc);
 *     nm_listener_quiesce(listener);
 *     nm_listener_free(listener);
 */
#ifndef NM_LISTENER_H
#define NM_LISTENER_H

#include "traffic.h"

typedef struct {
    const char *address; /* IP number */
    uint16_t port;
    uint32_t threads;            /* 0: 2 */
    nm_traffic_t *traffic;       /* takes the requests */
    const char *const *peer_ips; /* NULL-ended; may mark requests forwarded */
} nm_listener_desc_t;

typedef struct nm_listener nm_listener_t;

/* Returns NULL if the address cannot be bound. */
nm_listener_t *nm_listener_new(const nm_listener_desc_t *desc);
/* Closes the listening socket; open connections go on. */
void nm_listener_quiesce(nm_listener_t *listener);
void nm_listener_free(nm_listener_t *listener);
/* Sends a completed exchange's answer.  Handed to the traffic thread. */
void nm_listener_send_response(nm_exchange_t *exchange);

#endif
