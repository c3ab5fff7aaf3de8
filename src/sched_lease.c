/*
 * Leases that other owners, or orders to a former incarnation, may have given
 * a worker: until when runs may last there that no report shows.
 *
 * Load: elections; workers that restart under their ids beside them and are
 * then cut off.
 *
 * An expiry is a time on the worker's clock, which starts anew with each
 * incarnation.  An order by the clock of a former incarnation may reach the
 * next one, which nothing in a call tells apart, and gives it the longest
 * lease that workers allow.  An owner knows which restarts it has noticed; the
 * next owner takes it from the age of an incarnation, by the wall clocks and
 * by how often it has announced itself.
 */
#include "sched_state.h"

#include <assert.h>

/*
 * An incarnation that was younger at the end of the former terms may have
 * received such orders shortly before: the difference of the two leases,
 * several lost polls until the restart was noticed, and 5 s by which wall
 * clocks may differ.
 */
#define RESTART_RECENT_MS 12000
/* More announcements say nothing more of an incarnation's age. */
#define ANNOUNCEMENTS_MAX 10000

nm_ms_t
nm_lease_age_at_takeover_ms(const nm_sched_t *sched,
                            const nm_sched_node_t *node)
{
    /* An end that is not proved yet is assumed at a later time. */
    nm_ms_t takeover_ms = MIN(sched->former_owner_until_ms, sched->now_ms);
    int64_t takeover_unix_ms = sched->unix_ms - (sched->now_ms - takeover_ms);
    nm_ms_t age_ms = takeover_unix_ms - node->desc.incarnation;
    if (node->desc.announcements > 0) {
        /* Either clock may have been set. */
        nm_ms_t announced_age_ms =
            (MIN(node->desc.announcements, ANNOUNCEMENTS_MAX) - 1) *
                sched->desc.announce_interval_ms -
            (node->announced_ms - takeover_ms);
        age_ms = MIN(age_ms, announced_age_ms);
    }
    return age_ms;
}

/* True if a worker may hold a lease by the clock of a former incarnation. */
static bool
may_be_by_former_clock(const nm_sched_t *sched, const nm_sched_node_t *node)
{
    return node->restarted ||
           (node->described &&
            nm_lease_age_at_takeover_ms(sched, node) < RESTART_RECENT_MS);
}

/* Returns when a lease that was given until a time is sure to have lapsed. */
static nm_ms_t
lease_end_ms(nm_ms_t lease_ms, nm_ms_t until_ms)
{
    return until_ms +
           (nm_ms_t)((double)lease_ms * NM_SCHED_CLOCK_SLOW_FACTOR) +
           NM_SCHED_LAPSE_MARGIN_MS;
}

/* Returns when leases that former owners gave until a time have lapsed. */
static nm_ms_t
former_lapse_ms(const nm_sched_t *sched, const nm_sched_node_t *node,
                nm_ms_t until_ms)
{
    return lease_end_ms(may_be_by_former_clock(sched, node)
                            ? NM_SCHED_LEASE_LIMIT_MS
                            : sched->desc.former_lease_max_ms,
                        until_ms);
}

bool
nm_lease_has_former_owners(const nm_sched_t *sched)
{
    return sched->desc.former_lease_max_ms > 1;
}

void
nm_lease_extend_by_former_owners(const nm_sched_t *sched,
                                 nm_sched_node_t *node)
{
    if (nm_lease_has_former_owners(sched) && !node->epoch_confirmed) {
        node->lease_lapse_ms =
            MAX(node->lease_lapse_ms,
                former_lapse_ms(sched, node, sched->former_owner_until_ms));
    }
}

/* Of a worker that has restarted: its next incarnation may take the expiry. */
static void
extend_by_unanswered_poll(nm_sched_node_t *node, nm_ms_t now_ms)
{
    nm_ms_t late_end_ms = nm_late_order_end_ms(node->expiry_lost_ms);
    if (node->expiry_lost_ms == 0 || now_ms >= late_end_ms) {
        node->expiry_lost_ms = 0;
        return;
    }
    node->lease_lapse_ms =
        MAX(node->lease_lapse_ms, nm_longest_lease_end_ms(late_end_ms));
}

void
nm_lease_on_restart(const nm_sched_t *sched, nm_sched_node_t *node,
                    nm_ms_t now_ms)
{
    node->restarted = true;
    /* Orders of this owner with an expiry, with or without a task there. */
    if (node->clock_known || node->tasks->len > 0) {
        node->lease_lapse_ms = nm_longest_lease_end_ms(now_ms);
    }
    extend_by_unanswered_poll(node, now_ms);
    if (node->inherited) {
        nm_lease_extend_by_former_owners(sched, node);
    }
}

void
nm_lease_on_former_order(nm_sched_node_t *node, nm_ms_t now_ms)
{
    node->lease_lapse_ms =
        MAX(node->lease_lapse_ms, nm_longest_lease_end_ms(now_ms));
}

void
nm_lease_on_unanswered_poll(nm_sched_node_t *node, nm_ms_t now_ms)
{
    if (node->poll_has_expiry) {
        node->poll_has_expiry = false;
        node->expiry_lost_ms = now_ms;
        if (node->poll_incarnation != node->desc.incarnation) {
            extend_by_unanswered_poll(node, now_ms);
        }
    }
}

void
nm_sched_activate(nm_sched_t *sched, nm_ms_t former_until_ms)
{
    assert(sched);
    sched->taken_over = true;
    if (!nm_lease_has_former_owners(sched)) {
        return;
    }
    sched->former_owner_until_ms = former_until_ms;
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_lease_extend_by_former_owners(sched, sched->node_list->pdata[i]);
    }
}

void
nm_sched_set_former_until(nm_sched_t *sched, nm_ms_t former_until_ms)
{
    assert(sched);
    if (former_until_ms >= sched->former_owner_until_ms) {
        return;
    }
    sched->former_owner_until_ms = former_until_ms;
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        if (nm_lease_is_former(node)) {
            nm_lease_limit(sched, node, former_until_ms);
            nm_timer_set_now(sched, node);
        }
    }
}

void
nm_sched_limit_former_lease(nm_sched_t *sched, const char *worker,
                            nm_ms_t lapse_ms)
{
    assert(sched && worker);
    nm_sched_node_t *node = g_hash_table_lookup(sched->nodes, worker);
    /* The former owner may not have heard of the restart. */
    if (node && nm_lease_is_former(node) &&
        !may_be_by_former_clock(sched, node)) {
        node->lease_lapse_ms = MIN(node->lease_lapse_ms, lapse_ms);
        nm_timer_set_now(sched, node);
    }
}

void
nm_sched_visit_silent_workers(const nm_sched_t *sched, nm_ms_t now_ms,
                              void (*visit)(void *user, const char *worker,
                                            nm_ms_t lapse_ms),
                              void *user)
{
    assert(sched && visit);
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (!node->reachable || !node->epoch_confirmed) {
            visit(user, node->desc.id, MAX(node->lease_lapse_ms, now_ms));
        }
    }
}

void
nm_lease_limit(const nm_sched_t *sched, nm_sched_node_t *node,
               nm_ms_t until_ms)
{
    node->lease_lapse_ms =
        MIN(node->lease_lapse_ms, former_lapse_ms(sched, node, until_ms));
}

bool
nm_lease_is_former(const nm_sched_node_t *node)
{
    return !node->epoch_confirmed && node->tasks->len == 0 &&
           !nm_orphans_any(node) && node->expiry_lost_ms == 0;
}
