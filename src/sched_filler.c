/*
 * Fillers beside lasting tasks that have a latency target.
 *
 * Answers this load: serving tasks and fillers that meet on one worker,
 * where the tail rises within seconds.  Placement keeps them apart; where
 * they meet all the same, fillers are paced down before the target is
 * missed for long, and up again in steps once the tail is low.
 */
#include "sched_state.h"

/* Tail, as a share of the target, at which fillers are paused. */
#define TAIL_HIGH 0.8
/* Below this share they may work again. */
#define TAIL_LOW 0.5
/* Time without a high tail before fillers work again. */
#define CALM_MS 2500

static bool
tail_is_over(const nm_sched_node_t *node, double share)
{
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (step->target_ms > 0 && task->state == NM_TASK_RUNNING &&
            (double)task->figure > share * (double)step->target_ms)
        {
            return true;
        }
    }
    return false;
}

static void
pace(nm_sched_t *sched, nm_sched_node_t *node, uint32_t percent)
{
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (!nm_task_step(task)->is_filler || task->percent == percent ||
            task->state != NM_TASK_RUNNING || task->order_pending)
        {
            continue;
        }
        nm_sched_action_t *action = nm_sched_act(sched, node, NM_ACTION_PACE);
        nm_sched_task_name(task, action->task, sizeof(action->task));
        action->run = task->run;
        action->percent = percent;
        task->wanted_percent = percent;
        task->order_pending = true;
        nm_count(NM_COUNTER_THROTTLES, 1);
    }
}

void
nm_sched_check_fillers(nm_sched_t *sched, nm_ms_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sched->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        nm_sched_node_t *node = value;
        if (node->fillers == 0 || node->targets == 0) {
            continue;
        }
        if (tail_is_over(node, TAIL_HIGH)) {
            node->harmed_until_ms = now_ms + CALM_MS;
            pace(sched, node, 0);
        }
        else if (now_ms >= node->harmed_until_ms &&
                 !tail_is_over(node, TAIL_LOW))
        {
            pace(sched, node, 100);
        }
    }
}
