/*
 * Gangs: steps whose tasks all start at once, or not at all.
 *
 * sched_place.c calls this module for each gang that waits in turn.
 *
 * Load: gangs beside smaller tasks that refill each gap.
 */
#include "sched_round.h"

void
nm_gang_place(nm_sched_t *sched, const nm_candidate_t *candidate,
              nm_ms_t now_ms)
{
    nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_step_t *step = &occurrence->job->spec.steps[candidate->step];
    if (occurrence->waiting[candidate->step] < step->task_count) {
        return; /* some members of an earlier run have not ended */
    }
    GPtrArray *chosen = g_ptr_array_new();
    int64_t run = 0;
    for (uint32_t i = 0; i < step->task_count; i++) {
        nm_task_t *task = &occurrence->tasks[candidate->step][i];
        nm_sched_node_t *node =
            nm_choice_find_node(sched, candidate, task, now_ms);
        if (!node) {
            break;
        }
        nm_task_attach(task, node);
        g_ptr_array_add(chosen, node);
        run = MAX(run, task->run + 1);
    }
    for (guint i = 0; i < chosen->len; i++) {
        nm_task_detach(&occurrence->tasks[candidate->step][i]);
    }
    /* All members resume from the same checkpoint. */
    const char *checkpoint = occurrence->tasks[candidate->step][0].checkpoint;
    for (uint32_t i = 0;
         i < step->task_count && chosen->len == step->task_count; i++)
    {
        nm_task_t *task = &occurrence->tasks[candidate->step][i];
        if (i > 0) {
            nm_strcopy(task->checkpoint, sizeof(task->checkpoint), checkpoint);
        }
        nm_choice_start(sched, candidate, task, chosen->pdata[i], run, now_ms);
    }
    g_ptr_array_free(chosen, TRUE);
}
