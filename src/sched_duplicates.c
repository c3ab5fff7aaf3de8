/*
 * Copies of starts whose answer was lost.
 *
 * Answers this load: workers that leave orders unanswered and carry them out
 * 2 to 12 s later, and that crash meanwhile and come back under their id.
 * The life that the order was meant for refuses a late copy, since it has
 * expired or its run is known there; the next life knows neither its clock
 * nor the run.  So it is told to refuse each run that may still arrive.
 */
#include "sched_state.h"

#include <string.h>

/* The platform carries orders out up to 12 s late; 2 s for their way. */
#define DUPLICATE_LIFETIME_MS 14000

typedef struct {
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    nm_ms_t recorded_ms;
    bool needs_stop; /* this life has not been told yet */
    bool stop_pending;
    nm_ms_t due_ms;
} duplicate_t;

void
nm_duplicates_add(nm_sched_node_t *node, const nm_sched_action_t *action,
                  nm_ms_t now_ms)
{
    if (!node->duplicates) {
        node->duplicates = g_array_new(FALSE, FALSE, sizeof(duplicate_t));
    }
    /* It may be given up only after another incarnation was noticed. */
    duplicate_t copy = {.run = action->run,
                        .recorded_ms = now_ms,
                        .needs_stop =
                            action->incarnation != node->desc.incarnation};
    nm_strcopy(copy.task, sizeof(copy.task), action->task);
    g_array_append_val(node->duplicates, copy);
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
nm_duplicates_on_incarnation(nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = 0; node->duplicates && i < node->duplicates->len; i++) {
        duplicate_t *copy = &g_array_index(node->duplicates, duplicate_t, i);
        copy->needs_stop = true;
        copy->stop_pending = false;
        copy->due_ms = now_ms;
    }
}

void
nm_duplicates_on_stop(nm_sched_node_t *node, const nm_sched_action_t *action,
                      nm_order_result_t result, nm_ms_t now_ms)
{
    if (action->incarnation != node->desc.incarnation) {
        return;
    }
    for (guint i = 0; node->duplicates && i < node->duplicates->len; i++) {
        duplicate_t *copy = &g_array_index(node->duplicates, duplicate_t, i);
        if (copy->run != action->run || strcmp(copy->task, action->task) != 0)
        {
            continue;
        }
        copy->stop_pending = false;
        copy->due_ms = now_ms + NM_SCHED_FIRST_RETRY_MS;
        if (result == NM_ORDER_DONE || result == NM_ORDER_SUPERSEDED) {
            copy->needs_stop = false;
        }
    }
}

void
nm_duplicates_send_stops(nm_sched_t *sched, nm_sched_node_t *node,
                         nm_ms_t now_ms)
{
    for (guint i = node->duplicates ? node->duplicates->len : 0; i > 0; i--) {
        duplicate_t *copy =
            &g_array_index(node->duplicates, duplicate_t, i - 1);
        if (now_ms - copy->recorded_ms > DUPLICATE_LIFETIME_MS) {
            g_array_remove_index_fast(node->duplicates, i - 1);
            continue;
        }
        if (copy->needs_stop && !copy->stop_pending && now_ms >= copy->due_ms)
        {
            nm_sched_action_t *action =
                nm_sched_add_action(sched, node, NM_ACTION_STOP);
            nm_strcopy(action->task, sizeof(action->task), copy->task);
            action->run = copy->run;
            copy->stop_pending = true;
        }
    }
}
