/*
 * Gangs: steps whose tasks all start at once, or not at all.
 *
 * sched_place.c calls this module for each gang that waits in turn: to start
 * it, or else to make room for all of its tasks.
 *
 * Load: gangs beside smaller tasks, which refill each gap, and other gangs.
 * Workers are held for all tasks of a gang or for none, so that gangs do not
 * wait for each other's workers.
 */
#include "sched_round.h"

#include <math.h>

/*
 * Limit of the share of all workers that are held for gangs at a time; the
 * first gang of a round may hold more.
 */
#define GANG_HELD_SHARE 0.5

/* A worker that will have room for so many tasks of a gang. */
typedef struct {
    nm_sched_node_t *node;
    uint32_t count;
    double preference; /* higher is better */
} gang_node_t;

/* Returns how many tasks of the gang found a worker, listed in nodes. */
static uint32_t
find_nodes(nm_sched_t *sched, const nm_candidate_t *candidate,
           GPtrArray *nodes, nm_ms_t now_ms)
{
    const nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_step_t *step = &occurrence->job->spec.steps[candidate->step];
    nm_task_t *tasks = occurrence->tasks[candidate->step];
    nm_search_t search;
    nm_search_init(&search, sched, candidate);
    /* Attached for the time being, as one task takes the room of another. */
    while (nodes->len < step->task_count) {
        nm_task_t *task = &tasks[nodes->len];
        nm_sched_node_t *node = nm_search_find_node(&search, task, now_ms);
        if (!node) {
            break;
        }
        task->starts_slowed = candidate->slowed;
        nm_task_attach(task, node);
        nm_cold_on_start(node, occurrence->job, now_ms);
        g_ptr_array_add(nodes, node);
    }
    nm_search_finish(&search);
    for (guint i = 0; i < nodes->len; i++) {
        nm_task_detach(&tasks[i]);
        tasks[i].starts_slowed = false;
        nm_cold_undo_start(nodes->pdata[i], occurrence->job, now_ms);
    }
    return nodes->len;
}

/*
 * All members resume from the checkpoint of the first one; from none, if there
 * is no memory for that.
 */
static void
share_checkpoint(nm_sched_t *sched, nm_task_t *tasks, uint32_t count)
{
    bool is_shared = true;
    for (uint32_t i = 1; i < count; i++) {
        nm_task_set_checkpoint(sched, &tasks[i], tasks[0].checkpoint);
        is_shared = is_shared &&
                    g_strcmp0(tasks[i].checkpoint, tasks[0].checkpoint) == 0;
    }
    for (uint32_t i = 0; i < count && !is_shared; i++) {
        nm_task_set_checkpoint(sched, &tasks[i], NULL);
    }
}

static void
start_all(nm_sched_t *sched, const nm_candidate_t *candidate,
          const GPtrArray *nodes, nm_ms_t now_ms)
{
    nm_task_t *tasks = candidate->occurrence->tasks[candidate->step];
    int64_t run = 0;
    for (guint i = 0; i < nodes->len; i++) {
        run = MAX(run, tasks[i].run + 1);
    }
    share_checkpoint(sched, tasks, nodes->len);
    for (guint i = 0; i < nodes->len; i++) {
        nm_choice_start(sched, candidate, &tasks[i], nodes->pdata[i], run,
                        now_ms);
    }
}

bool
nm_gang_start(nm_sched_t *sched, const nm_candidate_t *candidate,
              nm_ms_t now_ms)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    GPtrArray *nodes = g_ptr_array_new();
    bool complete =
        find_nodes(sched, candidate, nodes, now_ms) == step->task_count;
    if (complete) {
        start_all(sched, candidate, nodes, now_ms);
    }
    g_ptr_array_free(nodes, TRUE);
    return complete;
}

static int
compare_gang_nodes(gconstpointer a, gconstpointer b)
{
    double left = ((const gang_node_t *)a)->preference;
    double right = ((const gang_node_t *)b)->preference;
    return left < right ? 1 : left > right ? -1 : 0;
}

/* Adds each worker that will have room for tasks of the gang. */
static void
collect_gang_nodes(nm_sched_t *sched, const nm_candidate_t *candidate,
                   bool after_short_tasks, GArray *nodes, nm_ms_t now_ms)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->reserved_placement == sched->placement_number ||
            !nm_room_may_hold(sched, candidate, node, now_ms))
        {
            continue;
        }
        gang_node_t entry = {.node = node};
        entry.count = after_short_tasks ? nm_room_by(node, step, NM_MS_NEVER)
                                        : nm_room_after_fillers(node, step);
        bool has_hold = now_ms < node->hold.until_ms &&
                        !nm_choice_is_held_for_other(node, candidate, now_ms);
        entry.preference =
            has_hold ? INFINITY : nm_room_free_share(node, step, NM_MS_NEVER);
        if (entry.count > 0) {
            g_array_append_val(nodes, entry);
        }
    }
}

/*
 * Returns workers that will have room for the whole gang, those held for it
 * first, as an array of gang_node_t to be freed; it is empty if there are
 * none.
 */
static GArray *
choose_gang_nodes(nm_sched_t *sched, const nm_candidate_t *candidate,
                  bool after_short_tasks, nm_ms_t now_ms)
{
    GArray *nodes = g_array_new(FALSE, FALSE, sizeof(gang_node_t));
    collect_gang_nodes(sched, candidate, after_short_tasks, nodes, now_ms);
    g_array_sort(nodes, compare_gang_nodes);
    uint32_t missing =
        candidate->occurrence->job->spec.steps[candidate->step].task_count;
    guint used = 0;
    while (used < nodes->len && missing > 0) {
        gang_node_t *entry = &g_array_index(nodes, gang_node_t, used++);
        entry->count = MIN(entry->count, missing);
        missing -= entry->count;
    }
    g_array_set_size(nodes, missing > 0 ? 0 : used);
    return nodes;
}

/* Returns false if the room that fillers take does not suffice. */
static bool
evict_for_gang(nm_sched_t *sched, const nm_candidate_t *candidate,
               nm_ms_t now_ms)
{
    GArray *nodes = choose_gang_nodes(sched, candidate, false, now_ms);
    bool found = nodes->len > 0;
    for (guint i = 0; i < nodes->len; i++) {
        const gang_node_t *entry = &g_array_index(nodes, gang_node_t, i);
        nm_room_evict_fillers(sched, candidate, entry->node, entry->count,
                              now_ms);
    }
    g_array_free(nodes, TRUE);
    return found;
}

static void
hold_for_gang(nm_sched_t *sched, const nm_candidate_t *candidate,
              nm_round_t *round, nm_ms_t now_ms)
{
    GArray *nodes = choose_gang_nodes(sched, candidate, true, now_ms);
    double held_max = GANG_HELD_SHARE * sched->node_list->len;
    if (round->gang_nodes == 0 || round->gang_nodes + nodes->len <= held_max) {
        round->gang_nodes += nodes->len;
        for (guint i = 0; i < nodes->len; i++) {
            nm_room_hold(g_array_index(nodes, gang_node_t, i).node, candidate,
                         NM_HOLD_GANG, now_ms);
        }
    }
    g_array_free(nodes, TRUE);
}

/* True if a member must not start yet, whatever room there is. */
static bool
must_wait(const nm_sched_t *sched, const nm_candidate_t *candidate,
          nm_ms_t now_ms)
{
    const nm_occurrence_t *occurrence = candidate->occurrence;
    const nm_step_t *step = &occurrence->job->spec.steps[candidate->step];
    for (uint32_t i = 0; i < step->task_count; i++) {
        if (nm_task_must_wait(sched, &occurrence->tasks[candidate->step][i],
                              now_ms)) {
            return true;
        }
    }
    return false;
}

void
nm_gang_make_room(nm_sched_t *sched, const nm_candidate_t *candidate,
                  nm_round_t *round, nm_ms_t now_ms)
{
    const nm_step_t *step =
        &candidate->occurrence->job->spec.steps[candidate->step];
    if (must_wait(sched, candidate, now_ms)) {
        return;
    }
    bool evicted =
        step->long_running && evict_for_gang(sched, candidate, now_ms);
    if (!evicted && candidate->order_class != NM_CLASS_ORDINARY) {
        hold_for_gang(sched, candidate, round, now_ms);
    }
}
