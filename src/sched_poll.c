/*
 * Timed actions on workers: polls, repeated orders, moving tasks away from
 * draining or stalled workers.
 *
 * Load: thousands of workers of which a few are due at a time; some drain,
 * some accept tasks that then make no progress.
 */
#include "sched_state.h"

#include <assert.h>
#include <string.h>

#include "sched_round.h"

/* A task is stalled if it and its worker show no progress for this long. */
#define STALL_MS 3500
/*
 * Multiple of the estimated duration added to STALL_MS for tasks that save no
 * progress: they show none before their end.
 */
#define STALL_ESTIMATE_FACTOR 2.5
/* The bound of a task doubles with each stall of it, up to this often. */
#define STALL_DOUBLINGS_MAX 10
/*
 * Multiple of the bound for a task that no other worker may run: a restart
 * helps only if the run itself has come to a halt.
 */
#define STALL_ONLY_WORKER_FACTOR 4
/*
 * How long a worker with a stalled task gets no new ones; each further stall
 * without an end in between doubles it.  Less than 3 s at first, as the worker
 * may be the only one for some tasks.
 */
#define STALL_AVOID_MS 2000
#define STALL_AVOID_DOUBLINGS_MAX 2
#define STALL_CHECK_INTERVAL_MS 250
/* Round trip of a poll between regions, and a decision round. */
#define REPORT_LATENCY_USUAL_MS 250
/*
 * Age of a worker's clock from which an idle worker is polled.  A start
 * expires earlier on a worker with a fast clock, by 2% of this time.
 */
#define CLOCK_REFRESH_MS 20000
/* Time between two checks of a worker that waits for something. */
#define NODE_CHECK_INTERVAL_MS 100
/* Remaining time of a draining worker below which tasks with progress move. */
#define DRAIN_MOVE_REMAINING_MS 600

/*
 * Silence after which the lease of a worker with an unanswered start is not
 * renewed; its first unanswered poll is sent within less.
 */
#define UNCERTAIN_RENEWAL_MS 4000

/* Permits the worker to drop ends whose changes are stored. */
static void
release_acks(const nm_sched_t *sched, nm_sched_node_t *node)
{
    nm_pending_ack_t *ack;
    while ((ack = g_queue_peek_head(&node->pending_acks)) &&
           ack->change_seq <= sched->saved_seq &&
           (node->end_unread == 0 || ack->number < node->end_unread))
    {
        node->ends_acked = ack->number;
        g_free(g_queue_pop_head(&node->pending_acks));
    }
}

/*
 * Repeated polls of an unresponsive worker do not extend its lease, so that
 * its tasks can start elsewhere; unless it is the owner that is behind.  With
 * an unanswered start, a restart that is not noticed may have begun a late run
 * there, whose lease must end.
 */
static bool
lease_is_renewed(const nm_sched_t *sched, const nm_sched_node_t *node,
                 nm_ms_t now_ms)
{
    nm_ms_t silent_max_ms = nm_orphans_any(node) ? UNCERTAIN_RENEWAL_MS
                                                 : NM_SCHED_LATE_REPORT_MAX_MS;
    return node->poll_failures == 0 ||
           (nm_delay_is_behind(sched, now_ms) && node->announced &&
            now_ms - node->alive_ms < silent_max_ms);
}

/* True while a report is to show whether a run has begun. */
static bool
awaits_start(const nm_sched_node_t *node)
{
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (task->awaits_report) {
            return true;
        }
    }
    return false;
}

static void
send_poll(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    nm_sched_action_t *action =
        nm_sched_add_action(sched, node, NM_ACTION_POLL);
    /* Ends of a later incarnation have other numbers, and would be lost. */
    action->acked = node->poll_failures == 0 ? node->ends_acked : 0;
    node->ends_acked_sent = action->acked;
    action->ends_known = node->ends_processed;
    bool no_wait = !node->epoch_confirmed || node->poll_failures > 0 ||
                   node->tasks->len == 0 ||
                   nm_orphans_need_report(node, now_ms) || awaits_start(node);
    /* A filler may start here while the poll waits. */
    bool fillers_start =
        now_ms - sched->filler_started_ms < NM_SCHED_POLL_WAIT_MS;
    bool colocated =
        node->serving_count > 0 && (node->filler_count > 0 || fillers_start);
    bool behind = nm_delay_is_behind(sched, now_ms);
    action->wait_ms = no_wait               ? 0
                      : sched->lossy        ? NM_SCHED_POLL_WAIT_LOSSY_MS
                      : colocated || behind ? NM_SCHED_POLL_WAIT_SHORT_MS
                                            : NM_SCHED_POLL_WAIT_MS;
    /* Other suspects may wait for the end of a trial here. */
    nm_ms_t trial_end_ms = nm_crashes_trial_end_ms(node);
    action->wait_ms = MIN(action->wait_ms, MAX(trial_end_ms - now_ms, 0));
    if (sched->authority && node->clock_known &&
        lease_is_renewed(sched, node, now_ms) &&
        !nm_node_may_run_unknown(node))
    {
        action->expiry_ms =
            nm_node_clock_ms(node, now_ms) + sched->desc.lease_ms;
        nm_ms_t lapse_ms = now_ms +
                           (nm_ms_t)((double)sched->desc.lease_ms *
                                     NM_SCHED_CLOCK_SLOW_FACTOR) +
                           NM_SCHED_LAPSE_MARGIN_MS;
        node->lease_lapse_ms = MAX(node->lease_lapse_ms, lapse_ms);
    }
    node->report_expected_ms =
        now_ms + action->wait_ms + REPORT_LATENCY_USUAL_MS;
    node->poll_wait_ms = action->wait_ms;
    node->poll_pending = true;
    node->poll_has_expiry = action->expiry_ms > 0;
    node->poll_incarnation = action->incarnation;
    node->poll_fence_seq = action->fence_seq;
}

/* A response that takes long may never come, nor this owner time it out. */
static void
store_if_overdue(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    if (task->state == NM_RUN_STARTING && task->open_run != task->run &&
        now_ms - task->sent_ms >= NM_SCHED_OPEN_STORED_MS)
    {
        nm_sched_store_open_start(sched, task, task->run, now_ms);
    }
}

/* Repeats unanswered orders that are due; sets retry_due_ms to the next. */
static void
retry_orders(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    uint32_t tries_max = sched->lossy ? NM_SCHED_START_TRIES_MAX_LOSSY
                                      : NM_SCHED_START_TRIES_MAX;
    node->retry_due_ms = NM_MS_NEVER;
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        if (task->tries == 0) {
            continue;
        }
        if (task->order_pending || !node->reachable) {
            node->retry_due_ms =
                MIN(node->retry_due_ms, now_ms + NM_SCHED_RETRY_MS / 3);
        }
        if (task->order_pending) {
            store_if_overdue(sched, task, now_ms);
            continue;
        }
        if (now_ms < task->order_due_ms) {
            node->retry_due_ms = MIN(node->retry_due_ms, task->order_due_ms);
            continue;
        }
        if (task->state == NM_RUN_STOPPING) {
            nm_sched_stop_task(sched, task, now_ms);
        }
        else if (task->state == NM_RUN_STARTING && node->evacuated &&
                 node->reachable) {
            nm_count_reason(NM_REASON_ZONE_EVACUATED);
            nm_sched_withdraw_start(sched, task, now_ms);
        }
        else if (task->state == NM_RUN_STARTING && !nm_sched_may_start(sched))
        {
            node->retry_due_ms =
                MIN(node->retry_due_ms, now_ms + NM_SCHED_RETRY_MS);
        }
        else if (task->state == NM_RUN_STARTING && node->reachable) {
            if (task->tries >= tries_max ||
                !nm_step_may_resend(sched, nm_task_step(task))) {
                nm_sched_withdraw_start(sched, task, now_ms);
            }
            else {
                nm_sched_start_task(sched, task, node, task->run, now_ms);
            }
        }
    }
}

/*
 * Stops tasks that would be lost with a draining worker, so that they start
 * elsewhere: long-running ones at once, those that save progress shortly
 * before its end.
 */
static void
move_from_draining(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        const nm_step_t *step = nm_task_step(task);
        bool move_now = step->saves_progress &&
                        node->desc.remaining_ms < DRAIN_MOVE_REMAINING_MS;
        if (task->state == NM_RUN_RUNNING && (step->long_running || move_now))
        {
            nm_count_reason(NM_REASON_EVICT_LEAVING);
            nm_sched_stop_task(sched, task, now_ms);
        }
    }
}

/* True if another worker that is in use could run a task, now or later. */
static bool
has_other_worker(const nm_sched_t *sched, const nm_task_t *task,
                 nm_ms_t now_ms)
{
    const nm_step_t *step = nm_task_step(task);
    nm_candidate_t candidate = {.occurrence = task->occurrence,
                                .step = task->step};
    const char *service = nm_job_service(task->occurrence->job);
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node != task->node && node->desc.cpu_milli >= step->cpu_milli &&
            node->desc.memory_mb >= step->memory_mb &&
            node->desc.accelerators >= step->accelerators &&
            nm_choice_is_eligible(node, &candidate, service, now_ms))
        {
            return true;
        }
    }
    return false;
}

/*
 * Time without progress after which a task counts as stalled.  An estimate is
 * rough, so that each stall of the task speaks for a longer duration, too.
 */
static nm_ms_t
stall_limit_ms(const nm_sched_t *sched, const nm_sched_node_t *node,
               const nm_task_t *task)
{
    const nm_step_t *step = nm_task_step(task);
    const nm_step_duration_t *duration =
        &task->occurrence->job->durations[task->step];
    bool is_spread =
        step->same_rack || (step->data_rack[0] != '\0' &&
                            strcmp(step->data_rack, node->desc.rack) != 0);
    double factor = is_spread ? sched->desc.spread_factor : 1;
    double limit_ms = STALL_MS;
    if (!step->saves_progress) {
        nm_ms_t expected_ms = MAX(step->estimate_ms, duration->known_ms);
        limit_ms += STALL_ESTIMATE_FACTOR * (double)expected_ms;
    }
    uint32_t doublings = MIN(task->stalls, STALL_DOUBLINGS_MAX);
    return (nm_ms_t)(limit_ms * factor * (double)(1u << doublings));
}

static bool
is_stalled(const nm_sched_t *sched, const nm_sched_node_t *node,
           const nm_task_t *task, nm_ms_t now_ms)
{
    if (task->state != NM_RUN_RUNNING || nm_task_step(task)->long_running ||
        task->wanted_percent < 100)
    {
        return false;
    }
    nm_ms_t limit_ms = stall_limit_ms(sched, node, task);
    nm_ms_t stood_ms = now_ms - MAX(task->progress_ms, node->progress_ms);
    return stood_ms > limit_ms &&
           (stood_ms > STALL_ONLY_WORKER_FACTOR * limit_ms ||
            has_other_worker(sched, task, now_ms));
}

static void
stop_stalled(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    task->stalls++;
    task->avoided_node = task->node;
    nm_sched_add_run_event(sched, NM_SCHED_EVENT_RUN_STALLED, task,
                           task->stalls);
    nm_sched_mark_changed(sched, task->occurrence->job, false);
    nm_sched_stop_task(sched, task, now_ms);
}

/* Keeps new tasks from a worker on which nothing shows progress. */
static void
avoid_stalled(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    nm_ms_t avoid_ms = (nm_ms_t)STALL_AVOID_MS
                       << MIN(node->stalls, STALL_AVOID_DOUBLINGS_MAX);
    node->stalls++;
    node->avoid_until_ms = now_ms + avoid_ms;
    node->progress_ms = now_ms;
    nm_sched_add_event(sched, NM_SCHED_EVENT_WORKER_AVOIDED, node->desc.id,
                       avoid_ms);
    nm_count_reason(NM_REASON_WORKER_FAILING);
}

/*
 * Detects a worker that accepts tasks without running them, or runs them many
 * times too slowly.  Stops its short tasks, which start elsewhere from their
 * checkpoints.  A task that has stalled before is stopped alone: that speaks
 * against its estimate.
 */
static void
check_stall(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    bool worker_stalled = false;
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        if (!is_stalled(sched, node, task, now_ms)) {
            continue;
        }
        worker_stalled = worker_stalled || task->stalls == 0;
        stop_stalled(sched, task, now_ms);
    }
    if (!worker_stalled) {
        return;
    }
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        if (task->state == NM_RUN_RUNNING &&
            !nm_task_step(task)->long_running &&
            has_other_worker(sched, task, now_ms))
        {
            task->avoided_node = node;
            nm_sched_stop_task(sched, task, now_ms);
        }
    }
    avoid_stalled(sched, node, now_ms);
}

/* Returns when a worker that needs no other poll is asked for its clock. */
static nm_ms_t
clock_due_ms(const nm_sched_node_t *node)
{
    return node->announced ? node->clock_at_ms + CLOCK_REFRESH_MS
                           : NM_MS_NEVER;
}

static bool
needs_poll(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    bool busy = node->tasks->len > 0 || nm_orphans_need_report(node, now_ms);
    bool has_acks = node->ends_acked > node->ends_acked_sent;
    return (node->announced || busy) &&
           (!node->epoch_confirmed || busy || has_acks || !node->reachable ||
            node->ends_truncated || now_ms >= clock_due_ms(node));
}

static void
tick_node(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    release_acks(sched, node);
    nm_orphans_send_stops(sched, node, now_ms);
    if (!node->described) {
        return;
    }
    if (now_ms >= node->lease_lapse_ms) {
        /* All runs of former owners have ended. */
        bool was_inherited = node->inherited;
        node->inherited = nm_node_is_unresolved(sched, node, now_ms);
        if (was_inherited && !node->inherited && !node->epoch_confirmed &&
            nm_lease_has_former_owners(sched))
        {
            nm_sched_add_event(sched, NM_SCHED_EVENT_FORMER_LEASE_LAPSED,
                               node->desc.id,
                               nm_lease_age_at_takeover_ms(sched, node));
        }
        if (!node->reachable && node->tasks->len > 0 &&
            !nm_node_waits_for_late_report(sched, node, now_ms))
        {
            nm_node_requeue_tasks(sched, node, now_ms);
        }
    }
    if (node->desc.state == NM_WORKER_DRAINING && node->reachable) {
        move_from_draining(sched, node, now_ms);
    }
    if (node->reachable && now_ms >= node->stall_check_ms) {
        node->stall_check_ms = now_ms + STALL_CHECK_INTERVAL_MS;
        check_stall(sched, node, now_ms);
    }
    if (now_ms >= node->retry_due_ms) {
        retry_orders(sched, node, now_ms);
    }
    if (!node->poll_pending && now_ms >= node->poll_due_ms &&
        needs_poll(node, now_ms))
    {
        send_poll(sched, node, now_ms);
    }
}

/* Returns when a worker is checked next, if no event comes before. */
static nm_ms_t
next_wake_ms(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    bool busy = node->tasks->len > 0;
    bool acks_pending = node->pending_acks.length > 0;
    bool waits = acks_pending || nm_orphans_any(node) || !node->reachable ||
                 (busy && node->desc.state == NM_WORKER_DRAINING);
    nm_ms_t due_ms = waits ? now_ms + NODE_CHECK_INTERVAL_MS : NM_MS_NEVER;
    if (node->inherited) {
        bool lapsed = now_ms >= node->lease_lapse_ms;
        due_ms = MIN(due_ms, lapsed ? now_ms + NODE_CHECK_INTERVAL_MS
                                    : node->lease_lapse_ms);
    }
    if (node->described && !node->poll_pending) {
        due_ms = MIN(due_ms, needs_poll(node, now_ms) ? node->poll_due_ms
                                                      : clock_due_ms(node));
    }
    if (busy) {
        due_ms = MIN(due_ms, node->retry_due_ms);
        due_ms = node->reachable ? MIN(due_ms, node->stall_check_ms) : due_ms;
    }
    else if (!node->announced && !node->poll_pending &&
             node->starts_in_flight == 0 && !nm_orphans_any(node))
    {
        due_ms = MIN(due_ms, node->lease_lapse_ms);
    }
    return MAX(due_ms, now_ms + 1);
}

void
nm_sched_tick_nodes(nm_sched_t *sched, nm_ms_t now_ms)
{
    nm_sched_node_t *node;
    while ((node = nm_timer_first_due(sched, now_ms))) {
        tick_node(sched, node, now_ms);
        if (nm_node_is_removable(node, now_ms)) {
            nm_node_remove(sched, node);
        }
        else {
            nm_timer_set(sched, node, next_wake_ms(node, now_ms));
        }
    }
}
