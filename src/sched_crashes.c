/*
 * Runs that are lost soon after their start, because the incarnation of their
 * worker ended: by a crash, or out of reach of this owner.
 *
 * sched_node.c calls nm_crashes_on_incarnation_end before it requeues the
 * tasks of a worker.
 *
 * Load: workers that crash with tens of tasks each, many of them at a time.
 */
#include "sched_state.h"

/* A run at work for longer on a worker that responds survived its start. */
#define SURVIVAL_MS 1000

/* True if the worker was not heard of SURVIVAL_MS after the task's start. */
static bool
is_starting_up(const nm_task_t *task)
{
    return task->begun_ms > 0 &&
           task->node->alive_ms - task->begun_ms < SURVIVAL_MS;
}

void
nm_crashes_on_incarnation_end(nm_sched_t *sched, nm_sched_node_t *node,
                              nm_ms_t now_ms)
{
    (void)now_ms;
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (is_starting_up(task) && node->desc.state != NM_WORKER_DRAINING) {
            nm_sched_add_run_event(sched, NM_SCHED_EVENT_RUN_LOST, task,
                                   MAX(node->alive_ms - task->begun_ms, 0));
        }
        task->begun_ms = 0; /* each run is recorded once */
    }
}
