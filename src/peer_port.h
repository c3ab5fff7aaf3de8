/*
 * Adapter for messages to the other entry hosts, over ZeroMQ.  A peer is named
 * by its position in peer_addresses.
 *
 * Messages are datagrams: they may be lost, and the periodic rounds of their
 * senders repeat them.  Queues are short, so that a peer that recovers does
 * not receive outdated messages.
 *
 *     nm_peer_port_t *port = nm_peer_port_zmq_new(&desc);
 *     nm_peer_port_send(port, peer, data, bytes);
 *     while (nm_peer_port_next(port, &data, &bytes)) { ... g_free(data); }
 *     nm_peer_port_free(port);
 */
#ifndef NM_PEER_PORT_H
#define NM_PEER_PORT_H

#include <nutmegdeck/base.h>

typedef struct nm_peer_port nm_peer_port_t;

typedef struct {
    int (*send)(nm_peer_port_t *port, uint32_t peer, const void *data,
                uint32_t bytes);
    bool (*next)(nm_peer_port_t *port, uint8_t **data, uint32_t *bytes);
    int (*fd)(const nm_peer_port_t *port);
    void (*free)(nm_peer_port_t *port);
} nm_peer_port_vtable_t;

struct nm_peer_port {
    const nm_peer_port_vtable_t *vtable;
};

typedef struct {
    const char *bind_address; /* such as tcp://10.0.0.1:7000 */
    const char *const *peer_addresses;
    uint32_t peer_count;
    const char *public_key; /* CURVE key pair of all entry hosts, or NULL */
    const char *secret_key;
} nm_peer_port_desc_t;

/*
 * Returns NULL if the address cannot be bound or the address of a peer is
 * malformed.
 */
nm_peer_port_t *nm_peer_port_zmq_new(const nm_peer_port_desc_t *desc);

/* Returns NM_ERR_FULL if the peer is not connected or its queue is full. */
static inline int
nm_peer_port_send(nm_peer_port_t *port, uint32_t peer, const void *data,
                  uint32_t bytes)
{
    return port->vtable->send(port, peer, data, bytes);
}

/* Returns true and a received message, which the caller frees (g_free). */
static inline bool
nm_peer_port_next(nm_peer_port_t *port, uint8_t **data, uint32_t *bytes)
{
    return port->vtable->next(port, data, bytes);
}

/* Descriptor that becomes readable when messages may have arrived. */
static inline int
nm_peer_port_fd(const nm_peer_port_t *port)
{
    return port->vtable->fd(port);
}

static inline void
nm_peer_port_free(nm_peer_port_t *port)
{
    port->vtable->free(port);
}

#endif
