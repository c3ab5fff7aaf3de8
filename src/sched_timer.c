/*
 * Timers of workers: which worker a decision round has to check next.
 *
 * Load: thousands of workers, of which a few hundred have a report or a
 * response in a second.  A round checks only workers that are due, from a
 * binary heap by time; each event makes its worker due immediately.
 */
#include "sched_state.h"

static nm_sched_node_t *
heap_at(const nm_sched_t *sched, guint index)
{
    return sched->timers->pdata[index];
}

static void
heap_put(nm_sched_t *sched, nm_sched_node_t *node, guint index)
{
    sched->timers->pdata[index] = node;
    node->timer_index = index;
}

static void
sift_up(nm_sched_t *sched, nm_sched_node_t *node, guint index)
{
    while (index > 0 &&
           heap_at(sched, (index - 1) / 2)->wake_ms > node->wake_ms) {
        heap_put(sched, heap_at(sched, (index - 1) / 2), index);
        index = (index - 1) / 2;
    }
    heap_put(sched, node, index);
}

static void
sift_down(nm_sched_t *sched, nm_sched_node_t *node, guint index)
{
    guint child;
    while ((child = 2 * index + 1) < sched->timers->len) {
        if (child + 1 < sched->timers->len &&
            heap_at(sched, child + 1)->wake_ms <
                heap_at(sched, child)->wake_ms)
        {
            child++;
        }
        if (heap_at(sched, child)->wake_ms >= node->wake_ms) {
            break;
        }
        heap_put(sched, heap_at(sched, child), index);
        index = child;
    }
    heap_put(sched, node, index);
}

void
nm_timer_add(nm_sched_t *sched, nm_sched_node_t *node)
{
    node->wake_ms = 0;
    g_ptr_array_add(sched->timers, node);
    sift_up(sched, node, sched->timers->len - 1);
}

void
nm_timer_set(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t due_ms)
{
    bool earlier = due_ms < node->wake_ms;
    node->wake_ms = due_ms;
    if (earlier) {
        sift_up(sched, node, node->timer_index);
    }
    else {
        sift_down(sched, node, node->timer_index);
    }
}

void
nm_timer_remove(nm_sched_t *sched, nm_sched_node_t *node)
{
    nm_sched_node_t *last = heap_at(sched, sched->timers->len - 1);
    g_ptr_array_set_size(sched->timers, (gint)sched->timers->len - 1);
    if (last != node) {
        sift_up(sched, last, node->timer_index);
        sift_down(sched, last, last->timer_index);
    }
}

nm_sched_node_t *
nm_timer_first_due(const nm_sched_t *sched, nm_ms_t now_ms)
{
    return sched->timers->len > 0 && heap_at(sched, 0)->wake_ms <= now_ms
               ? heap_at(sched, 0)
               : NULL;
}
