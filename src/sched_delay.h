/*
 * Delay of responses: whether the owner is behind, and its starts in flight.
 *
 *     nm_delay_init(sched, now_ms);
 *     nm_delay_on_response(sched, node, delay_ms, now_ms);
 *     nm_delay_check(sched, now_ms);   (in each round)
 *     if (nm_delay_is_behind(sched, now_ms)) { ... }
 */
#ifndef NM_SCHED_DELAY_H
#define NM_SCHED_DELAY_H

#include <nutmegdeck/sched.h>

struct nm_sched_node;

typedef struct {
    nm_ms_t checked_ms;
    uint32_t calls;        /* since the last sample was complete */
    uint32_t late;         /* part of calls: with a late response */
    uint32_t lost;         /* part of calls: without a response in time */
    double starting_max;   /* bound of starts in flight */
    bool starting_reached; /* since its last change */
    nm_ms_t starting_changed_ms;
    nm_ms_t behind_until_ms;
    bool behind; /* as last reported by an event */
} nm_delay_t;

void nm_delay_init(nm_sched_t *sched, nm_ms_t now_ms);
/* A response came, delay_ms after its call or the end of its wait. */
void nm_delay_on_response(nm_sched_t *sched, struct nm_sched_node *node,
                          nm_ms_t delay_ms, nm_ms_t now_ms);
/* A call got no response in time. */
void nm_delay_on_loss(nm_sched_t *sched, struct nm_sched_node *node,
                      nm_ms_t now_ms);
/* To be called in each round. */
void nm_delay_check(nm_sched_t *sched, nm_ms_t now_ms);
/* True while the owner or its links are behind: silence proves nothing. */
bool nm_delay_is_behind(const nm_sched_t *sched, nm_ms_t now_ms);

#endif
