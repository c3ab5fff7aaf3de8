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
#define COPY_MS 14000

typedef struct {
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    nm_ms_t noted_ms;
    bool withdraw; /* this life has not been told yet */
    bool pending;
    nm_ms_t due_ms;
} copy_t;

void
nm_copies_note(nm_sched_node_t *node, const nm_sched_action_t *action,
               nm_ms_t now_ms)
{
    if (!node->copies) {
        node->copies = g_array_new(FALSE, FALSE, sizeof(copy_t));
    }
    /* It may be given up only after another incarnation was noticed. */
    copy_t copy = {.run = action->run,
                   .noted_ms = now_ms,
                   .withdraw = action->incarnation != node->desc.incarnation};
    nm_strcopy(copy.task, sizeof(copy.task), action->task);
    g_array_append_val(node->copies, copy);
}

void
nm_copies_free(nm_sched_node_t *node)
{
    if (node->copies) {
        g_array_free(node->copies, TRUE);
        node->copies = NULL;
    }
}

void
nm_copies_withdraw(nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = 0; node->copies && i < node->copies->len; i++) {
        copy_t *copy = &g_array_index(node->copies, copy_t, i);
        copy->withdraw = true;
        copy->pending = false;
        copy->due_ms = now_ms;
    }
}

void
nm_copies_take_stop(nm_sched_node_t *node, const nm_sched_action_t *action,
                    nm_order_result_t result, nm_ms_t now_ms)
{
    if (action->incarnation != node->desc.incarnation) {
        return;
    }
    for (guint i = 0; node->copies && i < node->copies->len; i++) {
        copy_t *copy = &g_array_index(node->copies, copy_t, i);
        if (copy->run != action->run || strcmp(copy->task, action->task) != 0)
        {
            continue;
        }
        copy->pending = false;
        copy->due_ms = now_ms + NM_SCHED_FIRST_RETRY_MS;
        if (result == NM_ORDER_DONE || result == NM_ORDER_SUPERSEDED) {
            copy->withdraw = false;
        }
    }
}

void
nm_copies_run(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = node->copies ? node->copies->len : 0; i > 0; i--) {
        copy_t *copy = &g_array_index(node->copies, copy_t, i - 1);
        if (now_ms - copy->noted_ms > COPY_MS) {
            g_array_remove_index_fast(node->copies, i - 1);
            continue;
        }
        if (copy->withdraw && !copy->pending && now_ms >= copy->due_ms) {
            nm_sched_action_t *action =
                nm_sched_act(sched, node, NM_ACTION_STOP);
            nm_strcopy(action->task, sizeof(action->task), copy->task);
            action->run = copy->run;
            copy->pending = true;
        }
    }
}
