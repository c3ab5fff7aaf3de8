/*
 * Workers in the order in which they need attention.
 *
 * Answers this load: thousands of workers of which a few hundred have news in
 * a second.  A round looks at those that are due, not at all: a binary heap
 * by time, and each event makes its worker due at once.
 */
#include "sched_state.h"

static nm_sched_node_t *
at(const nm_sched_t *sched, guint index)
{
    return sched->due->pdata[index];
}

static void
put(nm_sched_t *sched, nm_sched_node_t *node, guint index)
{
    sched->due->pdata[index] = node;
    node->due_index = index;
}

static void
sift_up(nm_sched_t *sched, nm_sched_node_t *node, guint index)
{
    while (index > 0 && at(sched, (index - 1) / 2)->due_ms > node->due_ms) {
        put(sched, at(sched, (index - 1) / 2), index);
        index = (index - 1) / 2;
    }
    put(sched, node, index);
}

static void
sift_down(nm_sched_t *sched, nm_sched_node_t *node, guint index)
{
    guint child;
    while ((child = 2 * index + 1) < sched->due->len) {
        if (child + 1 < sched->due->len &&
            at(sched, child + 1)->due_ms < at(sched, child)->due_ms)
        {
            child++;
        }
        if (at(sched, child)->due_ms >= node->due_ms) {
            break;
        }
        put(sched, at(sched, child), index);
        index = child;
    }
    put(sched, node, index);
}

void
nm_due_add(nm_sched_t *sched, nm_sched_node_t *node)
{
    node->due_ms = 0;
    g_ptr_array_add(sched->due, node);
    sift_up(sched, node, sched->due->len - 1);
}

void
nm_due_set(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t due_ms)
{
    bool earlier = due_ms < node->due_ms;
    node->due_ms = due_ms;
    if (earlier) {
        sift_up(sched, node, node->due_index);
    }
    else {
        sift_down(sched, node, node->due_index);
    }
}

void
nm_due_remove(nm_sched_t *sched, nm_sched_node_t *node)
{
    nm_sched_node_t *last = at(sched, sched->due->len - 1);
    g_ptr_array_set_size(sched->due, (gint)sched->due->len - 1);
    if (last != node) {
        sift_up(sched, last, node->due_index);
        sift_down(sched, last, last->due_index);
    }
}

nm_sched_node_t *
nm_due_first(const nm_sched_t *sched, nm_ms_t now_ms)
{
    return sched->due->len > 0 && at(sched, 0)->due_ms <= now_ms ? at(sched, 0)
                                                                 : NULL;
}
