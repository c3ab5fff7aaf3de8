/*
 * Duplicates: unanswered starts that a worker may still carry out.
 *
 * Load: workers that leave orders unanswered and carry them out 2 to 12 s
 * later, and that crash in between and restart under the same id.  The
 * incarnation that a start was sent to refuses a late duplicate, since it has
 * expired or its run is known there.  The next incarnation has another clock
 * and does not know the run, so it gets a stop for each run that may still
 * arrive, and then refuses it.  Until the stop is confirmed, the task starts
 * nowhere else: the late start may be carried out first.  If nothing is heard
 * of that incarnation any more, the task waits until the lease of a run that
 * it may have started has lapsed, also when its entry is gone.
 */
#include "sched_state.h"

#include <string.h>

/* The platform carries out orders up to 12 s late; 2 s for transmission. */
#define DUPLICATE_LIFETIME_MS 14000
/*
 * A late start has an expiry by the clock of the former incarnation, which may
 * give the run the longest lease that workers allow.
 */
#define DUPLICATE_LEASE_MS                                                    \
    ((nm_ms_t)(NM_SCHED_LEASE_LIMIT_MS * NM_SCHED_CLOCK_SLOW_FACTOR) +        \
     NM_SCHED_LAPSE_MARGIN_MS)

typedef struct {
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    nm_ms_t recorded_ms;
    bool needs_stop; /* not yet stopped on this incarnation */
    bool stop_pending;
    nm_ms_t due_ms; /* next stop */
} duplicate_t;

/* Counts for its task whether a duplicate needs a stop. */
static void
set_needs_stop(nm_sched_t *sched, const nm_sched_node_t *node,
               duplicate_t *duplicate, bool needs_stop)
{
    nm_task_t *task = nm_sched_find_task(sched, duplicate->task);
    if (task && needs_stop && !duplicate->needs_stop) {
        nm_sched_add_orphan_event(sched, node, duplicate->task,
                                  duplicate->run);
    }
    if (task && needs_stop != duplicate->needs_stop) {
        task->late_starts += needs_stop ? 1 : -1;
        sched->needs_placement = true;
    }
    duplicate->needs_stop = needs_stop;
}

void
nm_duplicates_add(nm_sched_t *sched, nm_sched_node_t *node,
                  const nm_sched_action_t *action, nm_ms_t now_ms)
{
    if (!node->duplicates) {
        node->duplicates = g_array_new(FALSE, FALSE, sizeof(duplicate_t));
    }
    /* The start may time out after a newer incarnation was noticed. */
    duplicate_t duplicate = {.run = action->run, .recorded_ms = now_ms};
    nm_strcopy(duplicate.task, sizeof(duplicate.task), action->task);
    set_needs_stop(sched, node, &duplicate,
                   action->incarnation != node->desc.incarnation);
    g_array_append_val(node->duplicates, duplicate);
}

bool
nm_duplicates_any(const nm_sched_node_t *node)
{
    return node->duplicates && node->duplicates->len > 0;
}

void
nm_duplicates_free(nm_sched_node_t *node)
{
    if (node->duplicates) {
        g_array_free(node->duplicates, TRUE);
        node->duplicates = NULL;
    }
}

void
nm_duplicates_clear(nm_sched_t *sched, nm_sched_node_t *node)
{
    for (guint i = 0; node->duplicates && i < node->duplicates->len; i++) {
        set_needs_stop(sched, node,
                       &g_array_index(node->duplicates, duplicate_t, i),
                       false);
    }
    nm_duplicates_free(node);
}

void
nm_duplicates_on_incarnation(nm_sched_t *sched, nm_sched_node_t *node,
                             nm_ms_t now_ms)
{
    for (guint i = 0; node->duplicates && i < node->duplicates->len; i++) {
        duplicate_t *duplicate =
            &g_array_index(node->duplicates, duplicate_t, i);
        set_needs_stop(sched, node, duplicate, true);
        duplicate->stop_pending = false;
        duplicate->due_ms = now_ms;
    }
}

void
nm_duplicates_on_stop(nm_sched_t *sched, nm_sched_node_t *node,
                      const nm_sched_action_t *action,
                      nm_order_result_t result, nm_ms_t now_ms)
{
    if (action->incarnation != node->desc.incarnation) {
        return;
    }
    for (guint i = 0; node->duplicates && i < node->duplicates->len; i++) {
        duplicate_t *duplicate =
            &g_array_index(node->duplicates, duplicate_t, i);
        if (duplicate->run != action->run ||
            strcmp(duplicate->task, action->task) != 0)
        {
            continue;
        }
        duplicate->stop_pending = false;
        duplicate->due_ms = now_ms + NM_SCHED_FIRST_RETRY_MS;
        if (result == NM_ORDER_DONE || result == NM_ORDER_SUPERSEDED) {
            set_needs_stop(sched, node, duplicate, false);
        }
    }
}

void
nm_duplicates_send_stops(nm_sched_t *sched, nm_sched_node_t *node,
                         nm_ms_t now_ms)
{
    for (guint i = node->duplicates ? node->duplicates->len : 0; i > 0; i--) {
        duplicate_t *duplicate =
            &g_array_index(node->duplicates, duplicate_t, i - 1);
        nm_ms_t lifetime_ms = DUPLICATE_LIFETIME_MS +
                              (duplicate->needs_stop ? DUPLICATE_LEASE_MS : 0);
        if (now_ms - duplicate->recorded_ms > lifetime_ms) {
            set_needs_stop(sched, node, duplicate, false);
            g_array_remove_index_fast(node->duplicates, i - 1);
            continue;
        }
        if (node->epoch_confirmed && duplicate->needs_stop &&
            !duplicate->stop_pending && now_ms >= duplicate->due_ms)
        {
            nm_sched_action_t *action =
                nm_sched_add_action(sched, node, NM_ACTION_STOP);
            nm_strcopy(action->task, sizeof(action->task), duplicate->task);
            action->run = duplicate->run;
            duplicate->stop_pending = true;
        }
    }
}
