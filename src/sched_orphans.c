/*
 * Orphans: runs that a worker has, or may start late, and that are not the
 * current runs of their tasks there.
 *
 * Load: workers that leave orders unanswered and carry them out 2 to 12 s
 * later, and that crash in between and restart under the same id; runs that a
 * former owner has left, and runs that were taken for lapsed.
 *
 * An unanswered start is refused late by the incarnation that it was sent to,
 * since it has expired or its run is known there.  The next incarnation has
 * another clock and does not know the run, so it gets a stop for each run that
 * may still arrive, and then refuses it.  A run that a worker lists and that
 * is not the one of its task there gets a stop as well.
 *
 * A stop holds for the incarnation that has confirmed it, and a lapsed lease
 * says nothing of calls: the task starts again only once no call of it can be
 * carried out any more.  The start of a run is sent once, unless
 * nm_step_may_resend(), so that a report of the run shows that its call has
 * been carried out.
 *
 * Until a report shows that an orphan has ended, it counts on its worker: for
 * the limit per worker, CPU, memory and accelerators, and beside serving
 * tasks.  Its task starts nowhere else.  If the worker is not heard of any
 * more, the orphan counts until its lease has lapsed, also when the worker's
 * entry is gone.
 */
#include "sched_state.h"

#include <string.h>

/* A run that is listed for this long after its stop is stopped again. */
#define STOP_REPEAT_MS 1000

typedef enum {
    ORPHAN_REFUSED, /* an unanswered start that this incarnation refuses */
    ORPHAN_MAY_RUN, /* no stop is confirmed */
    ORPHAN_STOPPING /* until a report no longer lists it */
} orphan_state_t;

typedef struct {
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    orphan_state_t state;
    nm_ms_t answer_lost_ms; /* of its start; 0: of an unexpected run */
    /* Number of its node's newest report that listed it; 0: none. */
    uint64_t listed_in_report;
    nm_ms_t listed_ms;
    nm_ms_t stopped_ms;  /* when the stop was confirmed */
    nm_ms_t stop_due_ms; /* next stop */
    bool stop_pending;
    bool is_open;    /* counted in the open starts of its task */
    bool restarted;  /* its worker has, since the start was sent */
    bool is_known;   /* its job is known, and what it requests */
    bool takes_room; /* load is counted on its worker */
    nm_load_t load;
    const nm_occurrence_t *occurrence; /* only compared: it may be freed */
    uint32_t step;
} orphan_t;

static orphan_t *
orphan_at(const nm_sched_node_t *node, guint i)
{
    return &g_array_index(node->orphans, orphan_t, i);
}

static guint
count_orphans(const nm_sched_node_t *node)
{
    return node->orphans ? node->orphans->len : 0;
}

/*
 * Counts an orphan on its worker, or no longer.  While its task is attached
 * there with the same run, which a new incarnation is told to stop, the task
 * counts.
 */
static void
update_load(nm_sched_t *sched, nm_sched_node_t *node, orphan_t *orphan)
{
    bool takes_room = orphan->state != ORPHAN_REFUSED && orphan->is_known;
    if (takes_room) {
        const nm_task_t *task = nm_sched_find_task(sched, orphan->task);
        takes_room = !task || task->node != node || task->run != orphan->run;
    }
    if (takes_room != orphan->takes_room) {
        orphan->takes_room = takes_room;
        nm_node_add_load(node, &orphan->load, takes_room ? 1 : -1);
        sched->needs_placement = true;
    }
}

/* Also counts it for its task, so that it starts nowhere else. */
static void
set_state(nm_sched_t *sched, nm_sched_node_t *node, orphan_t *orphan,
          orphan_state_t state)
{
    bool counted = orphan->state != ORPHAN_REFUSED;
    bool counts = state != ORPHAN_REFUSED;
    orphan->state = state;
    update_load(sched, node, orphan);
    if (counted == counts) {
        return;
    }
    if (counts) {
        nm_sched_add_orphan_event(sched, node, orphan->task, orphan->run);
    }
    sched->needs_placement = true;
    if (!orphan->is_known) {
        node->unknown_orphans += counts ? 1 : -1;
        return;
    }
    nm_task_t *task = nm_sched_find_task(sched, orphan->task);
    if (task && counts) {
        task->orphans++;
    }
    else if (task && task->orphans > 0) { /* 0: its job was removed since */
        task->orphans--;
    }
}

/* Counts an unanswered start as one that may be carried out, or no longer. */
static void
set_open(nm_sched_t *sched, orphan_t *orphan, bool open)
{
    nm_task_t *task = nm_sched_find_task(sched, orphan->task);
    if (open == orphan->is_open || !task ||
        (open && nm_task_step(task)->copies_allowed))
    {
        return;
    }
    orphan->is_open = open;
    if (open) {
        task->open_starts++;
    }
    else if (task->open_starts > 0) { /* 0: its job was removed since */
        task->open_starts--;
        sched->needs_placement = true;
    }
}

static orphan_t *
find_orphan(const nm_sched_node_t *node, const char *task, int64_t run)
{
    for (guint i = 0; i < count_orphans(node); i++) {
        orphan_t *orphan = orphan_at(node, i);
        if (orphan->run == run && strcmp(orphan->task, task) == 0) {
            return orphan;
        }
    }
    return NULL;
}

static orphan_t *
find_or_add_orphan(nm_sched_node_t *node, const char *task, int64_t run)
{
    orphan_t *found = find_orphan(node, task, run);
    if (found) {
        return found;
    }
    if (!node->orphans) {
        node->orphans = g_array_new(FALSE, FALSE, sizeof(orphan_t));
    }
    orphan_t orphan = {.run = run};
    nm_strcopy(orphan.task, sizeof(orphan.task), task);
    g_array_append_val(node->orphans, orphan);
    return orphan_at(node, node->orphans->len - 1);
}

/* Looks up what an orphan requests; its job may have come after it. */
static void
resolve_task(nm_sched_t *sched, nm_sched_node_t *node, orphan_t *orphan)
{
    const nm_task_t *task = nm_sched_find_task(sched, orphan->task);
    if (!task || orphan->is_known) {
        return;
    }
    set_state(sched, node, orphan, ORPHAN_REFUSED);
    orphan->is_known = true;
    orphan->load = nm_step_load(nm_task_step(task));
    orphan->occurrence = task->occurrence;
    orphan->step = task->step;
}

/* When an unanswered start can no longer be carried out. */
static nm_ms_t
late_until_ms(const orphan_t *orphan)
{
    return nm_late_order_end_ms(orphan->answer_lost_ms);
}

/*
 * The next incarnation may carry it out, or refuse it as old: either way it
 * takes the expiry of the order.
 */
static void
extend_lease(nm_sched_node_t *node, const orphan_t *orphan)
{
    node->lease_lapse_ms = MAX(node->lease_lapse_ms,
                               nm_longest_lease_end_ms(late_until_ms(orphan)));
}

void
nm_orphans_add_unanswered(nm_sched_t *sched, nm_sched_node_t *node,
                          const nm_sched_action_t *action, nm_ms_t now_ms)
{
    orphan_t *orphan = find_or_add_orphan(node, action->task, action->run);
    resolve_task(sched, node, orphan);
    orphan->answer_lost_ms = now_ms;
    set_open(sched, orphan, true);
    /* The start may time out after a newer incarnation was noticed. */
    if (action->incarnation != node->desc.incarnation) {
        orphan->restarted = true;
        set_state(sched, node, orphan, ORPHAN_MAY_RUN);
        extend_lease(node, orphan);
    }
}

void
nm_orphans_add_listed(nm_sched_t *sched, nm_sched_node_t *node,
                      const nm_worker_run_t *row, nm_ms_t now_ms)
{
    orphan_t *orphan = find_or_add_orphan(node, row->task, row->run);
    resolve_task(sched, node, orphan);
    orphan->listed_in_report = node->reports;
    orphan->listed_ms = now_ms;
    if (orphan->state == ORPHAN_REFUSED ||
        (orphan->state == ORPHAN_STOPPING &&
         now_ms - orphan->stopped_ms >= STOP_REPEAT_MS))
    {
        orphan->stop_due_ms = now_ms;
        set_state(sched, node, orphan, ORPHAN_MAY_RUN);
    }
}

bool
nm_orphans_any(const nm_sched_node_t *node)
{
    return count_orphans(node) > 0;
}

bool
nm_orphans_contain(const nm_sched_node_t *node, const char *task, int64_t run)
{
    return find_orphan(node, task, run) != NULL;
}

bool
nm_orphans_need_report(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = 0; i < count_orphans(node); i++) {
        const orphan_t *orphan = orphan_at(node, i);
        if (orphan->state != ORPHAN_REFUSED ||
            (orphan->is_open && now_ms > late_until_ms(orphan)))
        {
            return true;
        }
    }
    return false;
}

uint32_t
nm_orphans_count_step(const nm_sched_node_t *node,
                      const nm_occurrence_t *occurrence, uint32_t step)
{
    uint32_t count = 0;
    for (guint i = 0; i < count_orphans(node); i++) {
        const orphan_t *orphan = orphan_at(node, i);
        count += orphan->takes_room && orphan->occurrence == occurrence &&
                 orphan->step == step;
    }
    return count;
}

void
nm_orphans_free(nm_sched_node_t *node)
{
    if (node->orphans) {
        g_array_free(node->orphans, TRUE);
        node->orphans = NULL;
    }
}

void
nm_orphans_clear(nm_sched_t *sched, nm_sched_node_t *node)
{
    for (guint i = 0; i < count_orphans(node); i++) {
        set_open(sched, orphan_at(node, i), false);
        set_state(sched, node, orphan_at(node, i), ORPHAN_REFUSED);
    }
    nm_orphans_free(node);
}

static void
remove_orphan(nm_sched_t *sched, nm_sched_node_t *node, guint i)
{
    set_open(sched, orphan_at(node, i), false);
    set_state(sched, node, orphan_at(node, i), ORPHAN_REFUSED);
    g_array_remove_index_fast(node->orphans, i);
}

void
nm_orphans_close_start(nm_sched_t *sched, nm_sched_node_t *node,
                       const char *name, int64_t run, bool ended,
                       nm_ms_t now_ms)
{
    orphan_t *orphan = find_orphan(node, name, run);
    const nm_task_t *task = nm_sched_find_task(sched, name);
    if (!orphan || orphan->answer_lost_ms == 0 || !task || task->run != run ||
        task->resent)
    {
        return;
    }
    if (ended || orphan->state == ORPHAN_REFUSED) {
        remove_orphan(
            sched, node,
            (guint)(orphan - &g_array_index(node->orphans, orphan_t, 0)));
        return;
    }
    orphan->answer_lost_ms = 0;
    orphan->listed_ms = now_ms;
    set_open(sched, orphan, false);
}

void
nm_orphans_on_incarnation(nm_sched_t *sched, nm_sched_node_t *node,
                          nm_ms_t now_ms)
{
    for (guint i = count_orphans(node); i > 0; i--) {
        orphan_t *orphan = orphan_at(node, i - 1);
        if (orphan->answer_lost_ms == 0) {
            remove_orphan(sched, node, i - 1);
            continue;
        }
        orphan->restarted = true;
        set_state(sched, node, orphan, ORPHAN_MAY_RUN);
        extend_lease(node, orphan);
        orphan->listed_in_report = 0;
        orphan->stop_pending = false;
        orphan->stop_due_ms = now_ms;
    }
}

void
nm_orphans_on_stop(nm_sched_t *sched, nm_sched_node_t *node,
                   const nm_sched_action_t *action, nm_order_result_t result,
                   nm_ms_t now_ms)
{
    orphan_t *orphan = find_orphan(node, action->task, action->run);
    if (!orphan || action->incarnation != node->desc.incarnation) {
        return;
    }
    orphan->stop_pending = false;
    orphan->stop_due_ms = now_ms + NM_SCHED_FIRST_RETRY_MS;
    if (orphan->state == ORPHAN_MAY_RUN &&
        (result == NM_ORDER_DONE || result == NM_ORDER_SUPERSEDED))
    {
        orphan->stopped_ms = now_ms;
        set_state(sched, node, orphan, ORPHAN_STOPPING);
        if (!node->poll_pending) {
            node->poll_due_ms = MIN(node->poll_due_ms, now_ms);
        }
    }
}

/* An orphan has ended, or its worker refuses it from now on. */
static void
end_orphan(nm_sched_t *sched, nm_sched_node_t *node, guint i)
{
    if (orphan_at(node, i)->answer_lost_ms > 0) {
        set_state(sched, node, orphan_at(node, i), ORPHAN_REFUSED);
    }
    else {
        remove_orphan(sched, node, i);
    }
}

void
nm_orphans_on_report(nm_sched_t *sched, nm_sched_node_t *node,
                     const nm_worker_report_t *report)
{
    for (guint i = count_orphans(node); i > 0; i--) {
        orphan_t *orphan = orphan_at(node, i - 1);
        update_load(sched, node, orphan);
        bool was_listed = orphan->listed_in_report > 0;
        bool stopped_before = orphan->state == ORPHAN_STOPPING &&
                              orphan->stopped_ms < report->sent_ms;
        /* A start that is not there by then does not come any more. */
        bool too_late = orphan->answer_lost_ms > 0 &&
                        report->sent_ms > late_until_ms(orphan);
        if (!report->complete || orphan->listed_in_report == node->reports) {
            continue;
        }
        if (too_late) {
            remove_orphan(sched, node, i - 1);
        }
        else if (orphan->state != ORPHAN_REFUSED &&
                 (was_listed || stopped_before)) {
            end_orphan(sched, node, i - 1);
        }
    }
}

/* True if an orphan can neither be at work nor be started any more. */
static bool
has_expired(const nm_sched_node_t *node, const orphan_t *orphan,
            nm_ms_t now_ms)
{
    nm_ms_t begun_ms =
        orphan->answer_lost_ms > 0 ? late_until_ms(orphan) : orphan->listed_ms;
    if (orphan->state == ORPHAN_REFUSED) {
        /* A worker that restarts again and again may not be heard of. */
        bool may_run = orphan->is_open && orphan->restarted;
        return now_ms >
               (may_run ? nm_longest_lease_end_ms(begun_ms) : begun_ms);
    }
    return now_ms >
           MAX(nm_longest_lease_end_ms(begun_ms), node->lease_lapse_ms);
}

void
nm_orphans_send_stops(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = count_orphans(node); i > 0; i--) {
        orphan_t *orphan = orphan_at(node, i - 1);
        if (has_expired(node, orphan, now_ms)) {
            remove_orphan(sched, node, i - 1);
            continue;
        }
        update_load(sched, node, orphan);
        if (node->epoch_confirmed && orphan->state == ORPHAN_MAY_RUN &&
            !orphan->stop_pending && now_ms >= orphan->stop_due_ms)
        {
            nm_sched_action_t *action =
                nm_sched_add_action(sched, node, NM_ACTION_STOP);
            nm_strcopy(action->task, sizeof(action->task), orphan->task);
            action->run = orphan->run;
            orphan->stop_pending = true;
        }
    }
}
