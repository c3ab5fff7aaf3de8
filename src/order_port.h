/*
 * Port to the workers: carries out the scheduler's actions.
 *
 *     nm_order_port_send(port, &action, epoch, on_order, user);
 */
#ifndef NM_ORDER_PORT_H
#define NM_ORDER_PORT_H

#include <nutmegdeck/sched.h>

/*
 * Reports the result of an order.  action and report are valid during the
 * call; report is set for a poll only.
 */
typedef void (*nm_order_done_fn)(void *user, const nm_sched_action_t *action,
                                 nm_order_result_t result,
                                 const nm_worker_report_t *report);

typedef struct nm_order_port nm_order_port_t;

typedef struct {
    void (*send)(nm_order_port_t *port, const nm_sched_action_t *action,
                 int64_t epoch, nm_order_done_fn done, void *user);
    void (*end_terms)(nm_order_port_t *port, int64_t epoch); /* or NULL */
} nm_order_port_vtable_t;

struct nm_order_port {
    const nm_order_port_vtable_t *vtable;
};

static inline void
nm_order_port_send(nm_order_port_t *port, const nm_sched_action_t *action,
                   int64_t epoch, nm_order_done_fn done, void *user)
{
    port->vtable->send(port, action, epoch, done, user);
}

/*
 * The terms up to an epoch are over: starts of them that wait are not sent,
 * and end with NM_ORDER_NOT_SENT.
 */
static inline void
nm_order_port_end_terms(nm_order_port_t *port, int64_t epoch)
{
    if (port->vtable->end_terms) {
        port->vtable->end_terms(port, epoch);
    }
}

#endif
