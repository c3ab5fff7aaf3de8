/*
 * Fake of the platform's list of machines.
 *
 *     fake_machines_t machines;
 *     fake_machines_init(&machines);
 *     fake_machines_add(&machines, "w0");
 *     ... desc.machines = &machines.base ...
 *     fake_machines_finish(&machines);
 */
#ifndef LIB_MACHINES_H
#define LIB_MACHINES_H

#include <glib.h>

#include "../../src/machine_port.h"

typedef struct {
    nm_machine_port_t base;
    GPtrArray *living; /* ids of workers, each on a machine of its own */
    int rc;
    uint32_t pages;
    uint32_t calls; /* listings */
    bool holds;     /* listings get no response until fake_machines_respond */
    nm_machines_done_fn done; /* of the one that is held; NULL: none */
    void *user;
} fake_machines_t;

void fake_machines_init(fake_machines_t *machines);
void fake_machines_finish(fake_machines_t *machines);
void fake_machines_add(fake_machines_t *machines, const char *worker);
/* The worker has ended. */
void fake_machines_remove(fake_machines_t *machines, const char *worker);
/* Ends the listing that is held, with the workers that live now. */
void fake_machines_respond(fake_machines_t *machines);

#endif
