/*
 * Adapter to the platform's workers, by JSON over HTTP.
 *
 * Synchronisations with many workers run at once, each for at most the
 * timeout given, without stalls of this host itself.  One thread makes all
 * calls but nm_worker_port_wake().
 *
 *     nm_worker_port_t *port = nm_worker_port_http_new(1500);
 *     nm_worker_port_sync(port, sync);
 *     nm_worker_port_wait(port, 10, extra_fd);
 *     while (nm_worker_port_next(port, &event)) { ... }
 *     nm_worker_port_free(port);
 */
#ifndef NM_WORKER_PORT_H
#define NM_WORKER_PORT_H

#include <nutmegdeck/shard.h>

typedef struct {
    uint64_t worker;
    uint64_t sequence;
    bool succeeded;        /* false: no valid reply within the timeout */
    nm_sync_reply_t reply; /* valid until nm_worker_port_next() is called */
} nm_worker_event_t;

typedef struct nm_worker_port nm_worker_port_t;

typedef struct {
    int (*sync)(nm_worker_port_t *port, const nm_sync_t *sync);
    void (*wait)(nm_worker_port_t *port, nm_ms_t wait_ms, int extra_fd);
    void (*wake)(nm_worker_port_t *port); /* from any thread */
    bool (*next)(nm_worker_port_t *port, nm_worker_event_t *event);
    void (*free)(nm_worker_port_t *port);
} nm_worker_port_vtable_t;

struct nm_worker_port {
    const nm_worker_port_vtable_t *vtable;
};

nm_worker_port_t *nm_worker_port_http_new(nm_ms_t timeout_ms);

/* Starts a synchronisation; nm_worker_port_next() reports its outcome. */
static inline int
nm_worker_port_sync(nm_worker_port_t *port, const nm_sync_t *sync)
{
    return port->vtable->sync(port, sync);
}

/* Waits for an event, a wake or extra_fd (-1: none) to become readable. */
static inline void
nm_worker_port_wait(nm_worker_port_t *port, nm_ms_t wait_ms, int extra_fd)
{
    port->vtable->wait(port, wait_ms, extra_fd);
}

static inline void
nm_worker_port_wake(nm_worker_port_t *port)
{
    port->vtable->wake(port);
}

/* Returns false if no synchronisation has ended. */
static inline bool
nm_worker_port_next(nm_worker_port_t *port, nm_worker_event_t *event)
{
    return port->vtable->next(port, event);
}

/* Waits for the synchronisations in flight. */
static inline void
nm_worker_port_free(nm_worker_port_t *port)
{
    port->vtable->free(port);
}

#endif
