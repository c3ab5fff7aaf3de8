/*
 * HTTP listener for callers.
 *
 *     nm_front_t *front = nm_front_new(&desc);
 *     nm_front_quiesce(front);
 *     nm_front_free(front);
 */
#ifndef NM_FRONT_H
#define NM_FRONT_H

#include "traffic.h"

typedef struct {
    const char *address; /* IP number */
    uint16_t port;
    uint32_t threads;            /* 0: 2 */
    nm_traffic_t *traffic;       /* takes the requests */
    const char *const *peer_ips; /* NULL-ended; may mark requests forwarded */
} nm_front_desc_t;

typedef struct nm_front nm_front_t;

/* Returns NULL if the address cannot be bound. */
nm_front_t *nm_front_new(const nm_front_desc_t *desc);
/* Closes the listening socket; open connections go on. */
void nm_front_quiesce(nm_front_t *front);
void nm_front_free(nm_front_t *front);
/* Sends a completed exchange's answer.  Handed to the traffic thread. */
void nm_front_done(nm_exchange_t *exchange);

#endif
