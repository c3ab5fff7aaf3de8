/*
 * Responses of workers: results of orders, and reports of running and ended
 * tasks.
 *
 * Load: workers that leave orders unanswered and carry them out late,
 * responses that come late or overtake each other, and calls that get lost
 * whichever worker is called.
 */
#include "sched_state.h"

#include <assert.h>
#include <string.h>

/* A worker is avoided after this many failed starts or runs in a row. */
#define AVOID_FAILURES_MIN 2
/* Duration of avoidance; each further failure doubles it, up to 8-fold. */
#define AVOID_BASE_MS 1500
/*
 * A run that was at work for this long has worked, whatever its end: what it
 * ran on is no worker that fails all it starts.
 */
#define WORKED_MS 5000
/* Minimum duration of a sample of calls. */
#define LOSS_WINDOW_MS 250
/* Minimum calls in a sample; the share lost in fewer says little. */
#define LOSS_CALLS_MIN 60
/* An unanswered start is withdrawn if no complete report has come by then. */
#define START_REPORT_MAX_MS 6000
/* A filler whose CPU in use is less than a part of its request in so many. */
#define SLOWED_METRIC_MAX 4
/* Weight of the newest sample in the moving average. */
#define LOSS_EWMA_GAIN 0.5

static void
record_failure(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    node->consecutive_failures++;
    node->failed_ms = now_ms;
    if (node->consecutive_failures >= AVOID_FAILURES_MIN) {
        uint32_t doublings =
            MIN(node->consecutive_failures - AVOID_FAILURES_MIN, 3u);
        nm_ms_t avoid_ms = (nm_ms_t)AVOID_BASE_MS << doublings;
        node->avoid_until_ms = now_ms + avoid_ms;
        nm_sched_add_event(sched, NM_SCHED_EVENT_WORKER_AVOIDED, node->desc.id,
                           avoid_ms);
        nm_count_reason(NM_REASON_WORKER_FAILING);
    }
}

static bool
has_worked(const nm_task_t *task, nm_ms_t now_ms)
{
    return task->node && task->state != NM_RUN_STARTING &&
           now_ms - MAX(task->started_ms, task->begun_ms) >= WORKED_MS;
}

/* True if a task's run began after a time and has worked since. */
static bool
has_worked_since(const nm_task_t *task, nm_ms_t since_ms, nm_ms_t now_ms)
{
    return task->state == NM_RUN_RUNNING && task->started_ms > since_ms &&
           has_worked(task, now_ms);
}

static bool
worker_has_worked(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = 0; i < node->tasks->len; i++) {
        if (has_worked_since(node->tasks->pdata[i], node->failed_ms, now_ms)) {
            return true;
        }
    }
    return false;
}

static bool
step_has_worked(const nm_task_t *task, nm_ms_t since_ms, nm_ms_t now_ms)
{
    const nm_task_t *tasks = task->occurrence->tasks[task->step];
    for (uint32_t i = 0; i < nm_task_step(task)->task_count; i++) {
        if (has_worked_since(&tasks[i], since_ms, now_ms)) {
            return true;
        }
    }
    return false;
}

/* A run has worked: neither its worker nor its task fails always. */
static void
end_failures(nm_sched_node_t *node, nm_task_t *task)
{
    node->consecutive_failures = 0;
    node->stalls = 0;
    node->avoid_until_ms = 0;
    task->has_failed = false;
    task->occurrence->failures[task->step].node = NULL;
}

/*
 * Counts a failed run against its worker, unless it speaks against the task:
 * the task has failed before, or its step on another worker, and no run has
 * worked since.  Runs of a step that fail together do not prolong avoidance.
 */
static void
record_failed_run(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
                  nm_ms_t now_ms)
{
    if (has_worked(task, now_ms)) {
        end_failures(node, task);
        return;
    }
    nm_step_failure_t *first = &task->occurrence->failures[task->step];
    if (first->node && step_has_worked(task, first->failed_ms, now_ms)) {
        first->node = NULL;
    }
    if (node->consecutive_failures > 0 && worker_has_worked(node, now_ms)) {
        node->consecutive_failures = 0;
    }
    bool together = first->node == node &&
                    node->consecutive_failures >= AVOID_FAILURES_MIN;
    bool elsewhere = first->node && first->node != node;
    if (!task->has_failed && !together && !elsewhere) {
        record_failure(sched, node, now_ms);
    }
    task->has_failed = true;
    if (!first->node) {
        *first = (nm_step_failure_t){node, now_ms};
    }
}

void
nm_sched_withdraw_start(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    nm_count_reason(NM_REASON_START_REFUSED);
    nm_sched_stop_task(sched, task, now_ms);
}

/*
 * Updates the loss estimate once a sample is complete.  A sample has a minimum
 * duration, as a large fleet makes a hundred calls in 20 ms, in which a few
 * workers that become unresponsive together are a large share.
 */
static void
update_call_loss(nm_sched_t *sched, nm_ms_t now_ms)
{
    if (now_ms - sched->sample_since_ms < LOSS_WINDOW_MS ||
        sched->sampled_calls < LOSS_CALLS_MIN)
    {
        return;
    }
    double share = (double)sched->sampled_calls_lost / sched->sampled_calls;
    sched->call_loss_share +=
        LOSS_EWMA_GAIN * (share - sched->call_loss_share);
    sched->sampled_calls = 0;
    sched->sampled_calls_lost = 0;
    bool was_lossy = sched->lossy;
    sched->lossy =
        sched->call_loss_share >
        (was_lossy ? NM_SCHED_LOSSY_EXIT_SHARE : NM_SCHED_LOSSY_ENTER_SHARE);
    if (sched->lossy != was_lossy) {
        nm_sched_add_event(sched,
                           was_lossy ? NM_SCHED_EVENT_CALL_LOSS_ENDED
                                     : NM_SCHED_EVENT_CALL_LOSS_BEGAN,
                           "", (int64_t)(sched->call_loss_share * 1000));
    }
}

/*
 * Adds a call to the sample, except a repeated loss: that indicates a fault of
 * the worker, not of calls in general.
 */
static void
record_call(nm_sched_t *sched, nm_sched_node_t *node, bool responded,
            nm_ms_t now_ms)
{
    if (sched->sampled_calls == 0) {
        sched->sample_since_ms = now_ms;
    }
    if (responded || !node->last_call_lost) {
        sched->sampled_calls++;
        sched->sampled_calls_lost += !responded;
    }
    node->last_call_lost = !responded;
    if (!responded) {
        nm_delay_on_loss(sched, node, now_ms);
    }
    update_call_loss(sched, now_ms);
}

/*
 * Stops all decisions if a worker knows a newer owner.  One that has restarted
 * also refuses orders that were sent to its former incarnation.
 */
static void
check_fence(nm_sched_t *sched, const char *worker, int64_t fence_seq,
            nm_order_result_t result)
{
    if (result != NM_ORDER_FENCED) {
        return;
    }
    if (fence_seq < nm_sched_query_fence_seq(sched, worker)) {
        nm_count_reason(NM_REASON_ORDER_OUTDATED);
    }
    else {
        sched->fenced = true;
    }
}

/*
 * Returns the task of an order if the result still applies to it: same run,
 * same incarnation, and the state in which the order left it; else NULL.
 */
static nm_task_t *
find_ordered_task(nm_sched_t *sched, const nm_sched_action_t *action,
                  nm_order_result_t result, nm_run_state_t state,
                  nm_ms_t now_ms)
{
    nm_task_t *task = nm_sched_find_task(sched, action->task);
    check_fence(sched, action->worker, action->fence_seq, result);
    if (!task || !task->node || task->run != action->run ||
        task->state != state ||
        strcmp(task->node->desc.id, action->worker) != 0 ||
        task->node->desc.incarnation != action->incarnation)
    {
        return NULL;
    }
    task->order_pending = false;
    if (result == NM_ORDER_DONE) {
        task->node->alive_ms = now_ms;
        nm_delay_on_response(sched, task->node, now_ms - task->sent_ms,
                             now_ms);
    }
    if (result != NM_ORDER_NOT_SENT) {
        record_call(sched, task->node, result != NM_ORDER_UNKNOWN, now_ms);
    }
    return task;
}

static nm_ms_t
retry_delay_ms(const nm_sched_t *sched, uint32_t tries)
{
    return tries == 1 || sched->lossy ? NM_SCHED_FIRST_RETRY_MS
                                      : NM_SCHED_RETRY_MS;
}

/* Sets when an unanswered order is sent again. */
static void
schedule_retry(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    nm_sched_node_t *node = task->node;
    /* What is only late need not be sent again, to an owner's own harm. */
    bool behind =
        task->state == NM_RUN_STARTING && nm_delay_is_behind(sched, now_ms);
    task->order_due_ms =
        now_ms + (behind ? NM_SCHED_BEHIND_RETRY_MS
                         : retry_delay_ms(sched, task->tries));
    node->retry_due_ms = MIN(node->retry_due_ms, task->order_due_ms);
}

/*
 * A start has got its response, or will get none.  Returns true if it may
 * still be carried out: its run has not been shown, or was begun by another
 * call.
 */
static bool
end_call(nm_sched_t *sched, const nm_sched_action_t *start,
         nm_order_result_t result)
{
    nm_task_t *task = nm_sched_find_task(sched, start->task);
    if (task) {
        task->starts_in_flight -= task->starts_in_flight > 0;
        if (task->state == NM_RUN_RUNNING && task->run == start->run &&
            (!task->resent || task->starts_in_flight == 0))
        {
            task->order_pending = false; /* a report came before */
        }
        sched->needs_placement =
            sched->needs_placement || task->state == NM_RUN_WAITING;
    }
    bool is_shown = task && task->run == start->run &&
                    task->shown_run == start->run && !task->resent;
    return result == NM_ORDER_UNKNOWN && !is_shown;
}

void
nm_sched_store_open_start(nm_sched_t *sched, nm_task_t *task, int64_t run,
                          nm_ms_t now_ms)
{
    if (sched->ids_reused && !nm_task_is_done(task) &&
        !nm_task_step(task)->copies_allowed)
    {
        task->open_until_ms = nm_late_order_end_ms(now_ms);
        task->open_run = run;
        nm_sched_mark_changed(sched, task->occurrence->job, false);
    }
}

static void
store_starts_in_flight(nm_sched_t *sched, nm_occurrence_t *occurrence,
                       nm_ms_t now_ms)
{
    const nm_job_spec_t *spec = &occurrence->job->spec;
    for (uint32_t s = 0; s < spec->step_count; s++) {
        for (uint32_t i = 0; i < spec->steps[s].task_count; i++) {
            nm_task_t *task = &occurrence->tasks[s][i];
            if (task->starts_in_flight > 0 && task->open_run != task->run) {
                nm_sched_store_open_start(sched, task, task->run, now_ms);
            }
        }
    }
}

void
nm_sched_begin_hand_over(nm_sched_t *sched, nm_ms_t now_ms)
{
    assert(sched);
    if (sched->is_handing_over) {
        return;
    }
    sched->is_handing_over = true;
    for (guint i = 0; i < sched->active->len; i++) {
        nm_sched_job_t *job = sched->active->pdata[i];
        bool has_ended = job->state >= NM_JOB_COMPLETED;
        for (guint o = 0; !has_ended && o < job->occurrences->len; o++) {
            store_starts_in_flight(sched, job->occurrences->pdata[o], now_ms);
        }
    }
}

/*
 * A start got no response.  Unless it may be sent again, a report shows
 * whether the run has begun; one that was sent after the start has expired,
 * that it will not.
 */
static void
await_start(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    nm_sched_node_t *node = task->node;
    if (nm_step_may_resend(sched, nm_task_step(task))) {
        schedule_retry(sched, task, now_ms);
        return;
    }
    task->awaits_report = true;
    sched->awaiting_count++;
    task->order_due_ms = now_ms + START_REPORT_MAX_MS;
    node->retry_due_ms = MIN(node->retry_due_ms, task->order_due_ms);
    if (!node->poll_pending) {
        node->poll_due_ms = MIN(node->poll_due_ms, now_ms);
    }
}

void
nm_sched_on_start(nm_sched_t *sched, const nm_sched_action_t *action,
                  nm_order_result_t result, nm_ms_t now_ms)
{
    assert(sched && action);
    nm_sched_node_t *addressed = nm_node_find(sched, action->worker);
    if (addressed) {
        nm_timer_set_now(sched, addressed);
        addressed->starts_in_flight -= addressed->starts_in_flight > 0;
    }
    bool is_open = end_call(sched, action, result);
    if (result == NM_ORDER_UNKNOWN) {
        nm_sched_add_start_event(sched, NM_SCHED_EVENT_START_UNANSWERED,
                                 action);
    }
    nm_task_t *answered = result == NM_ORDER_UNKNOWN
                              ? NULL
                              : nm_sched_find_task(sched, action->task);
    if (answered && answered->open_run == action->run && !answered->resent) {
        answered->open_until_ms = 0;
    }
    if (addressed && is_open) {
        nm_orphans_add_unanswered(sched, addressed, action, now_ms);
        nm_task_t *opened = nm_sched_find_task(sched, action->task);
        if (opened) {
            nm_sched_store_open_start(sched, opened, action->run, now_ms);
        }
    }
    else if (addressed && result != NM_ORDER_UNKNOWN &&
             result != NM_ORDER_NOT_SENT &&
             (action->incarnation != addressed->desc.incarnation ||
              result == NM_ORDER_LATER_INCARNATION))
    {
        nm_lease_on_former_order(addressed, now_ms);
    }
    if (result == NM_ORDER_DONE) {
        nm_job_record_begun(nm_sched_find_task(sched, action->task));
    }
    nm_task_t *task =
        find_ordered_task(sched, action, result, NM_RUN_STARTING, now_ms);
    if (!task) {
        return;
    }
    nm_sched_node_t *node = task->node;
    switch (result) {
    case NM_ORDER_DONE:
        nm_task_set_started(sched, task, now_ms);
        nm_sched_slow_started(sched, task, now_ms);
        nm_count(NM_COUNTER_STARTS, 1);
        break;
    case NM_ORDER_NOT_RUN:
    case NM_ORDER_NO_CAPACITY:
        /* An earlier, unanswered try of the start may still be carried out. */
        if (task->tries > 1) {
            nm_sched_withdraw_start(sched, task, now_ms);
            break;
        }
        if (result == NM_ORDER_NOT_RUN) {
            record_failure(sched, node, now_ms);
        }
        task->avoided_node = node;
        nm_task_requeue(sched, task);
        node->poll_due_ms = now_ms;
        break;
    case NM_ORDER_NOT_SENT:
        if (task->tries > 1) {
            schedule_retry(sched, task, now_ms);
            break;
        }
        nm_task_requeue(sched, task);
        break;
    case NM_ORDER_LATER_INCARNATION:
        sched->ids_reused = true;

        nm_sched_add_run_event(sched, NM_SCHED_EVENT_START_MISDIRECTED, task,
                               action->incarnation);
        if (task->tries == 1) {
            /* The incarnation before has not begun it, nor crashed by it. */
            task->begun_ms = 0;
            nm_crashes_clear_silence(sched, task, node);
        }
        nm_sched_withdraw_start(sched, task, now_ms);
        break;
    case NM_ORDER_EXPIRED:
        /* An earlier try may run. */
    case NM_ORDER_SUPERSEDED:
    case NM_ORDER_INVALID:
        nm_sched_withdraw_start(sched, task, now_ms);
        break;
    case NM_ORDER_UNKNOWN:
        await_start(sched, task, now_ms);
        break;
    default:
        schedule_retry(sched, task, now_ms);
        break;
    }
}

void
nm_sched_on_stop(nm_sched_t *sched, const nm_sched_action_t *action,
                 nm_order_result_t result, nm_ms_t now_ms)
{
    assert(sched && action);
    nm_sched_node_t *addressed = nm_node_find(sched, action->worker);
    if (addressed) {
        nm_timer_set_now(sched, addressed);
        nm_orphans_on_stop(sched, addressed, action, result, now_ms);
    }
    nm_task_t *task =
        find_ordered_task(sched, action, result, NM_RUN_STOPPING, now_ms);
    if (!task) {
        return;
    }
    nm_sched_node_t *node = task->node;
    if (result == NM_ORDER_DONE || result == NM_ORDER_SUPERSEDED) {
        task->tries = 0;
        task->sent_ms = now_ms;
        if (!node->poll_pending) {
            node->poll_due_ms = MIN(node->poll_due_ms, now_ms);
        }
        return;
    }
    schedule_retry(sched, task, now_ms);
}

void
nm_sched_on_throttle(nm_sched_t *sched, const nm_sched_action_t *action,
                     nm_order_result_t result, nm_ms_t now_ms)
{
    assert(sched && action);
    (void)now_ms;
    nm_task_t *task = nm_sched_find_task(sched, action->task);
    check_fence(sched, action->worker, action->fence_seq, result);
    if (task && task->node && task->run == action->run) {
        task->order_pending = false;
        task->percent = result == NM_ORDER_DONE ? action->percent
                                                : NM_SCHED_PERCENT_UNKNOWN;
    }
}

/* Takes over a run that an earlier owner started. */
static void
adopt_run(nm_sched_t *sched, nm_task_t *task, nm_sched_node_t *node,
          const nm_worker_run_t *row, nm_ms_t now_ms)
{
    task->run = row->run;
    nm_task_set_state(sched, task, NM_RUN_RUNNING);
    task->begun_ms = 0;
    task->sent_ms = now_ms;
    task->started_ms = now_ms;
    task->progress_ms = now_ms;
    /*
     * A filler that uses no CPU may be paused, and is sent a resume; one that
     * uses little may be slowed, and is slowed until there is room for it.
     */
    const nm_step_t *step = nm_task_step(task);
    bool full_speed =
        !step->is_filler || SLOWED_METRIC_MAX * row->metric >= step->cpu_milli;
    task->percent = full_speed ? 100 : NM_SCHED_PERCENT_UNKNOWN;
    task->wanted_percent =
        full_speed || row->metric == 0 ? 100 : NM_SCHED_SLOWED_PERCENT;
    task->starts_slowed = false;
    task->throttled_ms = 0;
    task->order_due_ms = 0;
    task->observed = false;
    nm_crashes_clear_silence(sched, task, node);
    nm_task_attach(task, node);
}

/*
 * A run of a task that is done is surplus, as one that a former owner has
 * left; it takes room until it has ended.
 */
static void
adopt_surplus_run(nm_sched_t *sched, nm_task_t *task, nm_sched_node_t *node,
                  const nm_worker_run_t *row, nm_ms_t now_ms)
{
    task->run = row->run;
    nm_task_set_state(sched, task, NM_RUN_RUNNING);
    task->begun_ms = 0;
    task->started_ms = now_ms;
    nm_task_attach(task, node);
    nm_sched_stop_task(sched, task, now_ms);
    task->run_is_surplus = true;
}

/* A report shows a run that has begun, and whether it has ended. */
static void
show_run(nm_sched_t *sched, nm_sched_node_t *node, const char *name,
         int64_t run, bool ended, nm_ms_t now_ms)
{
    nm_task_t *task = nm_sched_find_task(sched, name);
    if (task) {
        task->shown_run = MAX(task->shown_run, run);
        if (run >= task->open_run &&
            !nm_step_may_resend(sched, nm_task_step(task))) {
            task->open_until_ms = 0;
        }
        nm_orphans_close_start(sched, node, name, run, ended, now_ms);
    }
}

/* A new checkpoint is a sign of progress, whether or not it is kept. */
static void
record_checkpoint(nm_sched_t *sched, nm_task_t *task,
                  const nm_worker_run_t *row, nm_ms_t now_ms)
{
    bool is_new = row->checkpoint_hash > 0
                      ? row->checkpoint_hash != task->checkpoint_hash
                      : g_strcmp0(row->checkpoint, task->checkpoint) != 0;
    if (!is_new) {
        return;
    }
    task->checkpoint_hash = row->checkpoint_hash;
    task->progress_ms = now_ms;
    task->node->progress_ms = now_ms;
    if (row->checkpoint_hash == 0) {
        nm_task_set_checkpoint(sched, task, row->checkpoint);
    }
}

static void
apply_running(nm_sched_t *sched, nm_sched_node_t *node,
              const nm_worker_run_t *row, nm_ms_t now_ms)
{
    nm_occurrences_begin_reported(sched, row->task);
    nm_task_t *task = nm_sched_find_task(sched, row->task);
    nm_job_record_begun(task);
    show_run(sched, node, row->task, row->run, false, now_ms);
    if (task && task->state == NM_RUN_UNKNOWN) {
        adopt_run(sched, task, node, row, now_ms);
    }
    if (task && task->state == NM_RUN_DONE) {
        adopt_surplus_run(sched, task, node, row, now_ms);
    }
    if (!task || task->node != node || task->run != row->run) {
        nm_orphans_add_listed(sched, node, row, now_ms);
        return;
    }
    if (task->occurrence->job->state >= NM_JOB_COMPLETED &&
        task->state == NM_RUN_RUNNING)
    {
        nm_sched_stop_task(sched, task, now_ms);
    }
    if (task->state == NM_RUN_STARTING) {
        nm_task_set_started(sched, task, now_ms);
    }
    task->withdrawn = false;
    record_checkpoint(sched, task, row, now_ms);
    task->metric = row->metric;
    task->listed_in_report = node->reports;
    if (task->crashes > 0 || task->silence_count > 0 ||
        task->intent.worker_hash != 0)
    {
        nm_crashes_on_running(sched, task);
    }
}

/*
 * True if a task may have failed on workers that the new owner has not heard
 * of yet, so that one more start may be one too many.
 */
static bool
has_unknown_failures(const nm_sched_t *sched, const nm_task_t *task,
                     nm_ms_t now_ms)
{
    return task->occurrence->job->recovered &&
           !nm_task_step(task)->long_running &&
           nm_sched_has_unresolved_workers(sched, now_ms);
}

/*
 * True if a run that was taken for lapsed has ended as done, whether or not
 * its task has started again.  The worker drops the end once it is
 * acknowledged.
 */
static bool
is_late_end(const nm_task_t *task, const nm_worker_end_t *row)
{
    return row->end == NM_END_DONE && task->state != NM_RUN_UNKNOWN &&
           !nm_task_is_done(task);
}

static void
report_late_end(nm_sched_t *sched, const nm_sched_node_t *node,
                const nm_task_t *task, const nm_worker_end_t *row)
{
    int64_t newer_run = task->node ? task->run : 0;
    nm_sched_add_crash_event(
        sched, task, node,
        &(nm_sched_event_t){.type = NM_SCHED_EVENT_LATE_END,
                            .value = newer_run,
                            .run = row->run});
}

static void
apply_end(nm_sched_t *sched, nm_sched_node_t *node, const nm_worker_end_t *row,
          nm_ms_t now_ms)
{
    if (row->number <= node->ends_processed) {
        return;
    }
    node->ends_processed = row->number;
    nm_occurrences_begin_reported(sched, row->task);
    nm_task_t *task = nm_sched_find_task(sched, row->task);
    nm_job_record_begun(task);
    show_run(sched, node, row->task, row->run, true, now_ms);
    uint64_t seq_before = sched->change_seq;
    bool current = task && task->node == node && task->run == row->run;
    bool late = task && !current && is_late_end(task, row);
    if (late) {
        report_late_end(sched, node, task, row);
    }
    if (current || late || (task && task->state == NM_RUN_UNKNOWN)) {
        if (row->checkpoint) {
            nm_task_set_checkpoint(sched, task, row->checkpoint);
        }
        if (row->end == NM_END_FAILED) {
            task->avoided_node = node;
            record_failed_run(sched, node, task, now_ms);
        }
        node->progress_ms = now_ms;
        if (row->end == NM_END_DONE) {
            end_failures(node, task);
        }
        nm_task_apply_end(sched, task, row->end, row->run, now_ms);
        if (row->end == NM_END_FAILED && task->state == NM_RUN_WAITING &&
            has_unknown_failures(sched, task, now_ms))
        {
            nm_task_set_unknown(sched, task);
        }
        nm_count(NM_COUNTER_FINISHES, 1);
    }
    if (task) {
        nm_crashes_clear_silence(sched, task, node);
    }
    if (task && row->end == NM_END_FAILED) {
        nm_task_count_failure(sched, task, row->run, now_ms);
    }
    nm_pending_ack_t *ack = g_new(nm_pending_ack_t, 1);
    *ack = (nm_pending_ack_t){
        .number = row->number,
        .change_seq = sched->change_seq != seq_before ? sched->change_seq : 0,
    };
    g_queue_push_tail(&node->pending_acks, ack);
}

/*
 * Requeues tasks that a complete report does not list, if their last order was
 * confirmed before the poll was sent: they do not run any more.  Unanswered
 * starts that had expired before are withdrawn.
 */
static void
requeue_unlisted(nm_sched_t *sched, nm_sched_node_t *node,
                 const nm_worker_report_t *report, nm_ms_t now_ms)
{
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        if (task->order_pending || task->sent_ms >= report->sent_ms ||
            task->listed_in_report == node->reports)
        {
            continue;
        }
        if (task->state == NM_RUN_STARTING) {
            if (!nm_step_may_resend(sched, nm_task_step(task)) &&
                report->sent_ms >= task->start_expires_ms)
            {
                nm_sched_withdraw_start(sched, task, now_ms);
            }
        }
        else if (task->tries == 0) {
            nm_task_requeue(sched, task);
        }
    }
}

/*
 * A report that comes late shows the clock as it was then.  What an earlier
 * one showed may be closer; it is wrong if it is beyond the time since the
 * poll.
 */
static void
update_clock(nm_sched_node_t *node, const nm_worker_report_t *report,
             nm_ms_t now_ms)
{
    int64_t known_ms = node->clock_known ? nm_node_clock_ms(node, now_ms) : 0;
    int64_t latest_ms = report->clock_ms + (now_ms - report->sent_ms);
    node->clock_ms = MAX(report->clock_ms, MIN(known_ms, latest_ms));
    node->clock_at_ms = now_ms;
    node->clock_known = true;
}

/*
 * True if ends were left out that were processed before the worker was
 * forgotten; what is later must wait for them.
 */
static bool
lacks_ends(const nm_sched_node_t *node, const nm_worker_report_t *report)
{
    return report->ends_known > node->ends_processed;
}

/* Applies a report, which may have come late. */
static void
apply_report(nm_sched_t *sched, nm_sched_node_t *node,
             const nm_worker_report_t *received, nm_ms_t now_ms)
{
    nm_worker_report_t usable = *received;
    const nm_worker_report_t *report = &usable;
    if (lacks_ends(node, received)) {
        usable.complete = false;
        usable.end_count = 0;
    }
    bool first_report = !node->reachable || !node->epoch_confirmed;
    if (!node->reachable) {
        nm_sched_add_event(sched, NM_SCHED_EVENT_WORKER_RECOVERED,
                           node->desc.id, node->poll_failures);
        for (guint i = 0; i < node->tasks->len; i++) {
            nm_crashes_clear_silence(sched, node->tasks->pdata[i], node);
        }
    }
    if (nm_lease_is_former(node)) {
        /* It refuses calls of former owners from now on. */
        nm_lease_limit(sched, node, now_ms);
    }
    if (node->restarted && report->sent_ms <= node->incarnation_seen_ms) {
        nm_lease_on_former_order(node, now_ms);
    }
    node->reported_ms = report->sent_ms;
    nm_node_set_reachable(node, true);
    node->poll_failures = 0;
    node->epoch_confirmed = node->epoch_confirmed || !report->ends_only;
    node->inherited = node->inherited && !report->complete;
    node->ends_truncated =
        !report->complete && (report->end_count >= NM_WORKER_ENDS_LISTED_MAX ||
                              lacks_ends(node, report));
    node->end_unread = report->end_unread;
    node->reports++;
    update_clock(node, report, now_ms);
    for (uint32_t i = 0; i < report->end_count; i++) {
        apply_end(sched, node, &report->ends[i], now_ms);
    }
    for (uint32_t i = 0; i < report->running_count; i++) {
        apply_running(sched, node, &report->running[i], now_ms);
    }
    if (report->complete) {
        requeue_unlisted(sched, node, report, now_ms);
    }
    nm_orphans_on_report(sched, node, report);
    nm_sched_record_tails(sched, node, now_ms);
    nm_count(NM_COUNTER_SYNCS, 1);
    node->poll_due_ms =
        first_report ? now_ms : now_ms + NM_SCHED_POLL_COALESCE_MS;
    sched->needs_placement = true;
}

/*
 * True if a report is one of an incarnation before: the poll was sent before
 * the newest one was seen or reported.  A process that responds to a later
 * poll has replaced it, although it is born earlier: the time of day may have
 * been set back.
 */
static bool
is_of_former_incarnation(const nm_sched_node_t *node,
                         const nm_worker_report_t *report)
{
    nm_ms_t reported_ms = node->clock_known ? node->clock_at_ms : 0;
    return report->incarnation < node->desc.incarnation &&
           report->sent_ms <= MAX(reported_ms, node->incarnation_seen_ms);
}

void
nm_sched_on_report(nm_sched_t *sched, const char *worker,
                   const nm_worker_report_t *report, nm_ms_t now_ms)
{
    assert(sched && worker && report);
    nm_sched_node_t *node = nm_node_find(sched, worker);
    if (!node) {
        return;
    }
    nm_timer_set_now(sched, node);
    node->poll_pending = false;
    check_fence(sched, worker, node->poll_fence_seq, report->result);
    if (report->result == NM_ORDER_FENCED) {
        node->poll_due_ms = now_ms + NM_SCHED_FIRST_RETRY_MS;
        return;
    }
    record_call(sched, node, report->result != NM_ORDER_UNKNOWN, now_ms);
    if (report->result != NM_ORDER_DONE) {
        nm_lease_on_unanswered_poll(node, now_ms);
        node->poll_failures++;
        uint32_t failures_max = sched->lossy ? NM_SCHED_POLL_FAILURES_MAX_LOSSY
                                             : NM_SCHED_POLL_FAILURES_MAX;
        bool was_reachable = node->reachable;
        nm_node_set_reachable(node, was_reachable && node->epoch_confirmed &&
                                        node->poll_failures < failures_max);
        if (was_reachable && !node->reachable) {
            nm_sched_add_event(sched, NM_SCHED_EVENT_WORKER_UNRESPONSIVE,
                               worker, node->poll_failures);
            nm_crashes_on_silence(sched, node, now_ms);
        }
        node->ends_acked_sent = 0;
        node->poll_due_ms =
            now_ms + retry_delay_ms(sched, node->poll_failures);
        return;
    }
    node->poll_has_expiry = false;
    if (is_of_former_incarnation(node, report)) {
        node->poll_due_ms = now_ms + NM_SCHED_RETRY_MS;
        return;
    }
    if (report->incarnation != node->desc.incarnation) {
        nm_sched_add_event(sched, NM_SCHED_EVENT_WORKER_UNDESCRIBED, worker,
                           report->incarnation);
        nm_node_begin_incarnation(sched, node, report->incarnation, now_ms);
        nm_node_apply_held_desc(sched, node, now_ms);
    }
    node->alive_ms = now_ms;
    /* A worker may respond before the end of a wait: that shows no delay. */
    nm_ms_t delay_ms = now_ms - report->sent_ms - node->poll_wait_ms;
    if (delay_ms >= 0) {
        nm_delay_on_response(sched, node, delay_ms, now_ms);
    }
    apply_report(sched, node, report, now_ms);
}

void
nm_sched_on_late_report(nm_sched_t *sched, const char *worker,
                        const nm_worker_report_t *report, nm_ms_t now_ms)
{
    assert(sched && worker && report);
    nm_sched_node_t *node = nm_node_find(sched, worker);
    if (!node || report->sent_ms <= node->reported_ms ||
        report->incarnation != node->desc.incarnation)
    {
        return;
    }
    nm_timer_set_now(sched, node);
    nm_count_reason(NM_REASON_LATE_REPORT);
    node->alive_ms = MAX(node->alive_ms, report->sent_ms);
    nm_delay_on_response(
        sched, node, now_ms - report->sent_ms - node->poll_wait_ms, now_ms);
    apply_report(sched, node, report, now_ms);
}
