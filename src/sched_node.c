/*
 * Workers: registration and removal, incarnations, admission.
 *
 * Load: workers that crash, restart under the same id, are cut off, or are
 * removed.  A task stays on its worker until its end is reported, the
 * incarnation has ended, or the lease is sure to have lapsed; until then it
 * starts on no other worker.
 */
#include "sched_state.h"

#include <assert.h>
#include <string.h>

bool
nm_sched_worker_id_is_valid(const char *id)
{
    assert(id);
    size_t length = 0;
    while (id[length] > ' ' && id[length] < '\x7f') {
        length++;
    }
    return length > 0 && length < NM_NAME_MAX && id[length] == '\0';
}

nm_sched_node_t *
nm_node_find(nm_sched_t *sched, const char *id)
{
    return g_hash_table_lookup(sched->nodes, id);
}

/* Removes a node from the index of addresses. */
static void
leave_address(nm_sched_t *sched, nm_sched_node_t *node)
{
    gpointer key = GUINT_TO_POINTER(node->address_hash);
    GPtrArray *at_address = g_hash_table_lookup(sched->nodes_by_address, key);
    if (!at_address) {
        return;
    }
    g_ptr_array_remove_fast(at_address, node);
    if (at_address->len == 0) {
        g_hash_table_remove(sched->nodes_by_address, key);
    }
}

static void
join_address(nm_sched_t *sched, nm_sched_node_t *node)
{
    node->address_hash = MAX(g_str_hash(node->desc.address), 1);
    gpointer key = GUINT_TO_POINTER(node->address_hash);
    GPtrArray *at_address = g_hash_table_lookup(sched->nodes_by_address, key);
    if (!at_address) {
        at_address = g_ptr_array_new();
        g_hash_table_insert(sched->nodes_by_address, key, at_address);
    }
    g_ptr_array_add(at_address, node);
}

/* Orders to workers that are noticed from now on have higher tokens. */
static void
advance_fence_seq(nm_sched_t *sched)
{
    sched->fence_seq = MIN(sched->fence_seq + 1, NM_FENCE_SEQ_MAX);
}

static nm_sched_node_t *
add_node(nm_sched_t *sched, const char *id, nm_ms_t now_ms)
{
    nm_sched_node_t *node = g_new0(nm_sched_node_t, 1);
    nm_strcopy(node->desc.id, sizeof(node->desc.id), id);
    node->id_hash = nm_sched_hash_worker(node->desc.id);
    node->tasks = g_ptr_array_new();
    node->tails = g_array_new(FALSE, FALSE, sizeof(nm_tail_t));
    g_queue_init(&node->pending_acks);
    nm_lease_extend_by_former_owners(sched, node);
    node->poll_due_ms = now_ms;
    node->reachable = true;
    node->fence_seq = sched->fence_seq;
    node->inherited = !sched->taken_over;
    g_hash_table_insert(sched->nodes, node->desc.id, node);
    g_hash_table_insert(sched->nodes_by_hash, GUINT_TO_POINTER(node->id_hash),
                        node);
    g_ptr_array_add(sched->node_list, node);
    nm_timer_add(sched, node);
    return node;
}

void
nm_node_requeue_tasks(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    nm_crashes_on_lapse(sched, node);
    nm_sched_add_event(sched, NM_SCHED_EVENT_WORKER_LAPSED, node->desc.id,
                       now_ms - node->alive_ms);
    while (node->tasks->len > 0) {
        nm_task_t *task = node->tasks->pdata[node->tasks->len - 1];
        nm_count_reason(NM_REASON_LEASE_LAPSED);
        if (task->starts_in_flight > 0 && task->shown_run != task->run) {
            nm_sched_action_t start = {.run = task->run,
                                       .incarnation = node->desc.incarnation};
            nm_sched_task_name(task, start.task, sizeof(start.task));
            nm_orphans_add_unanswered(sched, node, &start, now_ms);
        }
        /* Detached first, as the worker was not heard of. */
        nm_task_detach(task);
        nm_task_requeue(sched, task);
    }
}

/*
 * True if the run has ended with the incarnation of its worker.  A start
 * without a response may still reach a later one.
 */
static bool
ends_with_incarnation(const nm_sched_node_t *node, const nm_task_t *task)
{
    if (task->state == NM_RUN_STARTING || task->withdrawn ||
        (task->order_pending && task->state != NM_RUN_STOPPING))
    {
        return false;
    }
    char name[NM_TASK_NAME_MAX];
    nm_sched_task_name(task, name, sizeof(name));
    return !nm_orphans_contain(node, name, task->run);
}

bool
nm_sched_on_worker_ended(nm_sched_t *sched, const char *id,
                         int64_t incarnation, nm_ms_t sent_ms, nm_ms_t now_ms)
{
    assert(sched && id);
    nm_sched_node_t *node = nm_node_find(sched, id);
    /* An order of a former owner may still reach a later incarnation. */
    if (!node || !node->epoch_confirmed || node->reachable ||
        node->desc.incarnation != incarnation || node->alive_ms >= sent_ms)
    {
        return false;
    }
    nm_crashes_on_incarnation_end(sched, node, NM_CRASH_EVIDENCE_MACHINES,
                                  now_ms);
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        if (ends_with_incarnation(node, task)) {
            nm_task_detach(task);
            nm_task_requeue(sched, task);
        }
    }
    nm_timer_set_now(sched, node);
    return true;
}

void
nm_sched_visit_contacts(const nm_sched_t *sched,
                        void (*visit)(void *user,
                                      const nm_sched_contact_t *contact),
                        void *user)
{
    assert(sched && visit);
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (!node->described) {
            continue;
        }
        bool waits = false;
        for (guint t = 0; t < node->tasks->len && !waits; t++) {
            waits = node->epoch_confirmed && !node->reachable &&
                    ends_with_incarnation(node, node->tasks->pdata[t]);
        }
        nm_sched_contact_t contact = {
            .id = node->desc.id,
            .incarnation = node->desc.incarnation,
            .reachable = node->reachable && node->epoch_confirmed,
            .waits = waits,
            .known_ms = node->incarnation_seen_ms,
            .heard_ms = node->alive_ms,
            .reported_ms = node->reported_ms,
        };
        visit(user, &contact);
    }
}

/*
 * A new incarnation has the id but not the state of the old one.  An order
 * sent before the change was noticed may have reached either.  Running tasks
 * stay attached until the first report of the new incarnation; tasks that were
 * starting or stopping are stopped there.
 */
void
nm_node_begin_incarnation(nm_sched_t *sched, nm_sched_node_t *node,
                          int64_t incarnation, nm_ms_t now_ms)
{
    nm_crashes_on_incarnation_end(sched, node, NM_CRASH_EVIDENCE_INCARNATION,
                                  now_ms);
    GPtrArray *unconfirmed = g_ptr_array_new();
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        /* Its start may be in flight although it is listed. */
        if (task->state == NM_RUN_RUNNING && !task->order_pending) {
            task->tries = 0;
        }
        else {
            g_ptr_array_add(unconfirmed, task);
        }
    }
    sched->ids_reused = true;
    node->desc.incarnation = incarnation;
    node->incarnation_seen_ms = now_ms;
    advance_fence_seq(sched);
    node->fence_seq = sched->fence_seq;
    /* A start of a former owner may have reached this incarnation. */
    node->inherited = node->inherited && !node->epoch_confirmed;
    node->ends_truncated = false;
    nm_lease_on_restart(sched, node, now_ms);
    node->epoch_confirmed = false;
    node->clock_known = false;
    node->ends_processed = 0;
    node->end_unread = 0;
    node->ends_acked = 0;
    node->ends_acked_sent = 0;
    node->poll_due_ms = now_ms;
    node->consecutive_failures = 0;
    node->stalls = 0;
    node->avoid_until_ms = 0;
    nm_orphans_on_incarnation(sched, node, now_ms);
    g_queue_clear_full(&node->pending_acks, g_free);
    for (guint i = 0; i < unconfirmed->len; i++) {
        nm_sched_stop_task(sched, unconfirmed->pdata[i], now_ms);
    }
    g_ptr_array_free(unconfirmed, TRUE);
    sched->needs_placement = true;
}

void
nm_sched_on_watch_gap(nm_sched_t *sched, nm_ms_t now_ms)
{
    assert(sched);
    sched->watch_gap_ms = now_ms;
}

void
nm_sched_set_entries_age(nm_sched_t *sched, nm_ms_t age_ms)
{
    assert(sched && age_ms >= 0);
    sched->entries_age_ms = age_ms;
}

void
nm_sched_set_worker(nm_sched_t *sched, const nm_sched_worker_t *desc,
                    nm_ms_t now_ms)
{
    assert(sched && desc);
    nm_sched_node_t *node = nm_node_find(sched, desc->id);
    if (!node) {
        node = add_node(sched, desc->id, now_ms);
    }
    if (node->described && desc->incarnation < node->desc.incarnation) {
        /* Late, unless a report shows that it came after the other. */
        if (!node->held_desc ||
            node->held_desc->incarnation != desc->incarnation) {
            nm_lease_on_former_order(node, now_ms);
        }
        g_free(node->held_desc);
        node->held_desc = g_memdup2(desc, sizeof(*desc));
        return;
    }
    g_clear_pointer(&node->held_desc, g_free);
    if (node->described && desc->incarnation > node->desc.incarnation) {
        nm_node_begin_incarnation(sched, node, desc->incarnation, now_ms);
    }
    nm_timer_set_now(sched, node);
    if (node->announced) {
        leave_address(sched, node);
    }
    node->desc = *desc;
    node->announced_incarnation = desc->incarnation;
    node->announced_ms = now_ms;
    join_address(sched, node);
    node->service = g_intern_string(desc->service);
    nm_cold_on_announcement(sched, node, now_ms);
    if (!node->described) {
        node->incarnation_seen_ms = now_ms;
        node->described = true;
        node->poll_due_ms = now_ms;
        nm_lease_extend_by_former_owners(sched, node);
    }
    node->announced = true;
    sched->needs_placement = true;
}

void
nm_node_apply_held_desc(nm_sched_t *sched, nm_sched_node_t *node,
                        nm_ms_t now_ms)
{
    nm_sched_worker_t *held = node->held_desc;
    node->held_desc = NULL;
    if (held && held->incarnation == node->desc.incarnation) {
        nm_sched_set_worker(sched, held, now_ms);
    }
    g_free(held);
}

bool
nm_sched_deregister_worker(nm_sched_t *sched, const char *id)
{
    assert(sched && id);
    nm_sched_node_t *node = nm_node_find(sched, id);
    if (node) {
        g_clear_pointer(&node->held_desc, g_free);
    }
    if (!node || !node->announced) {
        return false;
    }
    node->announced = false;
    leave_address(sched, node);
    nm_timer_set_now(sched, node);
    return true;
}

bool
nm_sched_query_worker(const nm_sched_t *sched, const char *id,
                      nm_sched_worker_t *desc)
{
    assert(sched && id && desc);
    const nm_sched_node_t *node = g_hash_table_lookup(sched->nodes, id);
    if (!node || !node->announced) {
        return false;
    }
    *desc = node->desc;
    return true;
}

void
nm_sched_expect_worker(nm_sched_t *sched, const char *id, nm_ms_t now_ms)
{
    assert(sched && nm_sched_worker_id_is_valid(id));
    if (!nm_node_find(sched, id)) {
        add_node(sched, id, now_ms);
    }
    nm_sched_admit_worker(sched, id);
}

void
nm_sched_admit_worker(nm_sched_t *sched, const char *id)
{
    assert(sched && id);
    nm_sched_node_t *node = nm_node_find(sched, id);
    if (node && !node->admitted) {
        node->admitted = true;
        sched->needs_placement = true;
    }
}

char *
nm_sched_next_removed(nm_sched_t *sched)
{
    assert(sched);
    return g_queue_pop_head(&sched->removed);
}

bool
nm_node_waits_for_late_report(const nm_sched_t *sched,
                              const nm_sched_node_t *node, nm_ms_t now_ms)
{
    return nm_delay_is_behind(sched, now_ms) && node->announced &&
           now_ms - node->lease_lapse_ms < NM_SCHED_LATE_REPORT_MAX_MS;
}

bool
nm_node_is_unresolved(const nm_sched_t *sched, const nm_sched_node_t *node,
                      nm_ms_t now_ms)
{
    return node->inherited &&
           (now_ms < node->lease_lapse_ms ||
            (node->announced && !node->epoch_confirmed &&
             nm_node_waits_for_late_report(sched, node, now_ms)));
}

bool
nm_sched_has_unresolved_workers(const nm_sched_t *sched, nm_ms_t now_ms)
{
    for (guint i = 0; i < sched->node_list->len; i++) {
        if (nm_node_is_unresolved(sched, sched->node_list->pdata[i], now_ms)) {
            return true;
        }
    }
    return false;
}

bool
nm_node_is_removable(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    /* Under the same id it may come back and carry out a late start. */
    return !node->announced && node->tasks->len == 0 && !node->poll_pending &&
           node->starts_in_flight == 0 && now_ms >= node->lease_lapse_ms &&
           !nm_orphans_any(node);
}

void
nm_node_remove(nm_sched_t *sched, nm_sched_node_t *node)
{
    g_queue_push_tail(&sched->removed, g_strdup(node->desc.id));
    /* It may come back, as the same incarnation or as the next one. */
    advance_fence_seq(sched);
    nm_orphans_clear(sched, node);
    nm_timer_remove(sched, node);
    g_ptr_array_remove_fast(sched->node_list, node);
    gpointer key = GUINT_TO_POINTER(node->id_hash);
    if (g_hash_table_lookup(sched->nodes_by_hash, key) == node) {
        g_hash_table_remove(sched->nodes_by_hash, key);
    }
    g_hash_table_remove(sched->nodes, node->desc.id);
}
