/*
 * Events: changes in the estimated state of workers, runs and calls, which the
 * owner logs.
 */
#include "sched_state.h"

#include <assert.h>

/* Events kept until they are fetched. */
#define EVENTS_MAX 64

static void
append_event(nm_sched_t *sched, const nm_sched_event_t *event)
{
    if (sched->events->len < EVENTS_MAX) {
        g_array_append_vals(sched->events, event, 1);
    }
    else {
        sched->events_dropped++;
    }
}

void
nm_sched_add_event(nm_sched_t *sched, nm_sched_event_type_t type,
                   const char *worker, int64_t value)
{
    nm_sched_event_t event = {.type = type, .value = value};
    nm_strcopy(event.worker, sizeof(event.worker), worker);
    append_event(sched, &event);
}

void
nm_sched_add_run_event(nm_sched_t *sched, nm_sched_event_type_t type,
                       const nm_task_t *task, int64_t value)
{
    nm_sched_add_crash_event(
        sched, task, task->node,
        &(nm_sched_event_t){.type = type, .value = value, .run = task->run});
}

void
nm_sched_add_crash_event(nm_sched_t *sched, const nm_task_t *task,
                         const nm_sched_node_t *node,
                         const nm_sched_event_t *details)
{
    nm_sched_event_t event = *details;
    nm_sched_task_name(task, event.task, sizeof(event.task));
    if (node) {
        nm_strcopy(event.worker, sizeof(event.worker), node->desc.id);
    }
    append_event(sched, &event);
}

void
nm_sched_add_orphan_event(nm_sched_t *sched, const nm_sched_node_t *node,
                          const char *task, int64_t run)
{
    const nm_task_t *known = nm_sched_find_task(sched, task);
    nm_sched_event_t event = {.type = NM_SCHED_EVENT_ORPHAN_RUN,
                              .value = known && known->node ? known->run : 0,
                              .run = run};
    nm_strcopy(event.worker, sizeof(event.worker), node->desc.id);
    nm_strcopy(event.task, sizeof(event.task), task);
    append_event(sched, &event);
}

void
nm_sched_add_start_event(nm_sched_t *sched, nm_sched_event_type_t type,
                         const nm_sched_action_t *start)
{
    const nm_task_t *task = nm_sched_find_task(sched, start->task);
    bool is_current = task && task->run == start->run;
    nm_sched_event_t event = {.type = type,
                              .value = is_current ? task->tries : 0,
                              .run = start->run,
                              .incarnation = start->incarnation};
    nm_strcopy(event.worker, sizeof(event.worker), start->worker);
    nm_strcopy(event.task, sizeof(event.task), start->task);
    append_event(sched, &event);
}

bool
nm_sched_next_event(nm_sched_t *sched, nm_sched_event_t *event)
{
    assert(sched && event);
    if (sched->events->len == 0 && sched->events_dropped > 0) {
        *event = (nm_sched_event_t){.type = NM_SCHED_EVENT_EVENTS_DROPPED,
                                    .value = sched->events_dropped};
        sched->events_dropped = 0;
        return true;
    }
    if (sched->events->len == 0) {
        return false;
    }
    *event = g_array_index(sched->events, nm_sched_event_t, 0);
    g_array_remove_index(sched->events, 0);
    return true;
}
