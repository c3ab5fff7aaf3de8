/*
 * Port to the platform's list of machines.
 *
 * A listing is not a snapshot if it has several pages.  A port does not leave
 * out what it can't read: a listing is complete or an error.
 *
 *     nm_machine_port_list(port, on_machines, user);
 */
#ifndef NM_MACHINE_PORT_H
#define NM_MACHINE_PORT_H

#include <nutmegdeck/base.h>

typedef enum {
    NM_MACHINE_UP,
    NM_MACHINE_MOVING,
    NM_MACHINE_UPKEEP,
    NM_MACHINE_DOWN,
} nm_machine_state_t;

typedef struct {
    char machine[NM_NAME_MAX];
    nm_machine_state_t state;
    char worker[NM_NAME_MAX]; /* id of its living worker; empty: none */
} nm_machine_t;

typedef struct {
    /*
     * NM_OK, NM_ERR_UNAVAILABLE (refused, too many calls or no response) or
     * NM_ERR_CORRUPT.
     */
    int rc;
    const nm_machine_t *machines;
    uint32_t count;
    uint32_t pages; /* calls that were made */
} nm_machine_list_t;

/* list is valid during the call. */
typedef void (*nm_machines_done_fn)(void *user, const nm_machine_list_t *list);

typedef struct nm_machine_port nm_machine_port_t;

typedef struct {
    void (*list)(nm_machine_port_t *port, nm_machines_done_fn done,
                 void *user);
} nm_machine_port_vtable_t;

struct nm_machine_port {
    const nm_machine_port_vtable_t *vtable;
};

static inline void
nm_machine_port_list(nm_machine_port_t *port, nm_machines_done_fn done,
                     void *user)
{
    port->vtable->list(port, done, user);
}

#endif
