/*
 * What workers answer: results of orders, and reports of what runs and ended.
 *
 * Answers this load: workers that leave orders unanswered and carry them out
 * late, answers that come late or overtake each other, and calls that get
 * lost whoever is called.
 */
#include "sched_state.h"

#include <assert.h>
#include <string.h>

/* A worker that failed this many starts in a row is avoided... */
#define FAILURES_AVOID 2
/* ...for so long, doubled with each further failure up to 8 times. */
#define AVOID_MS 1500
/* Calls are judged together by what was answered in this time... */
#define LOSS_PERIOD_MS 250
/* ...or until there are this many, fewer tell little. */
#define LOSS_CALLS_MIN 60
/* Part of the newest judgement. */
#define LOSS_GAIN 0.5

static void
note_failure(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    node->failures_in_row++;
    if (node->failures_in_row >= FAILURES_AVOID) {
        uint32_t doublings = MIN(node->failures_in_row - FAILURES_AVOID, 3u);
        nm_ms_t pause = (nm_ms_t)AVOID_MS << doublings;
        node->avoid_until_ms = now_ms + pause;
        nm_sched_note(sched, NM_NOTE_WORKER_AVOIDED, node->desc.id, pause);
        nm_count_reason(NM_REASON_WORKER_FAILING);
    }
}

void
nm_sched_withdraw_start(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    nm_count_reason(NM_REASON_START_REFUSED);
    nm_sched_stop_task(sched, task, now_ms);
}

/*
 * Judged by time, not by calls: a large fleet makes a hundred calls in 20 ms,
 * in which a few workers that went dark together are a large share.
 */
static void
judge_calls(nm_sched_t *sched, nm_ms_t now_ms)
{
    if (now_ms - sched->calls_since_ms < LOSS_PERIOD_MS ||
        sched->calls < LOSS_CALLS_MIN)
    {
        return;
    }
    double lost = (double)sched->calls_lost / sched->calls;
    sched->call_loss += LOSS_GAIN * (lost - sched->call_loss);
    sched->calls = 0;
    sched->calls_lost = 0;
    bool was_lossy = sched->lossy;
    sched->lossy =
        sched->call_loss > (was_lossy ? NM_SCHED_LOSSY_END : NM_SCHED_LOSSY);
    if (sched->lossy != was_lossy) {
        nm_sched_note(sched,
                      was_lossy ? NM_NOTE_CALLS_ANSWERED : NM_NOTE_CALLS_LOST,
                      "", (int64_t)(sched->call_loss * 1000));
    }
}

/* Repeated losses tell of the worker, not of calls in general. */
static void
note_call(nm_sched_t *sched, nm_sched_node_t *node, bool answered,
          nm_ms_t now_ms)
{
    if (sched->calls == 0) {
        sched->calls_since_ms = now_ms;
    }
    if (answered || !node->silent) {
        sched->calls++;
        sched->calls_lost += !answered;
    }
    node->silent = !answered;
    judge_calls(sched, now_ms);
}

/*
 * The task that an answered order was for, if the answer still concerns it:
 * the same run on the same incarnation, in the state the order left it in.
 */
static nm_task_t *
find_ordered(nm_sched_t *sched, const nm_sched_action_t *action,
             nm_order_result_t result, nm_run_state_t state, nm_ms_t now_ms)
{
    nm_task_t *task = nm_sched_find_task(sched, action->task);
    sched->fenced = sched->fenced || result == NM_ORDER_FENCED;
    if (!task || !task->node || task->run != action->run ||
        task->state != state ||
        strcmp(task->node->desc.id, action->worker) != 0 ||
        task->node->desc.incarnation != action->incarnation)
    {
        return NULL;
    }
    task->order_pending = false;
    note_call(sched, task->node, result != NM_ORDER_UNKNOWN, now_ms);
    return task;
}

static nm_ms_t
retry_pause(const nm_sched_t *sched, uint32_t tries)
{
    return tries == 1 || sched->lossy ? NM_SCHED_FIRST_RETRY_MS
                                      : NM_SCHED_RETRY_MS;
}

/* When an order without an answer is sent again. */
static void
repeat_order(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    nm_sched_node_t *node = task->node;
    task->order_due_ms = now_ms + retry_pause(sched, task->tries);
    node->repeat_due_ms = MIN(node->repeat_due_ms, task->order_due_ms);
}

void
nm_sched_on_start(nm_sched_t *sched, const nm_sched_action_t *action,
                  nm_order_result_t result, nm_ms_t now_ms)
{
    assert(sched && action);
    nm_sched_node_t *addressed = nm_node_find(sched, action->worker);
    if (addressed) {
        nm_due_touch(sched, addressed);
    }
    if (addressed && result == NM_ORDER_UNKNOWN) {
        nm_copies_note(addressed, action, now_ms);
    }
    nm_task_t *task =
        find_ordered(sched, action, result, NM_RUN_STARTING, now_ms);
    if (!task) {
        return;
    }
    nm_sched_node_t *node = task->node;
    switch (result) {
    case NM_ORDER_DONE:
        nm_task_set_state(sched, task, NM_RUN_RUNNING);
        task->tries = 0;
        task->sent_ms = now_ms;
        task->started_ms = now_ms;
        task->watched = true;
        task->progress_ms = now_ms;
        nm_count(NM_COUNTER_STARTS, 1);
        break;
    case NM_ORDER_NOT_RUN:
    case NM_ORDER_NO_ROOM:
        /* An earlier copy without an answer may still arrive. */
        if (task->tries > 1) {
            nm_sched_withdraw_start(sched, task, now_ms);
            break;
        }
        if (result == NM_ORDER_NOT_RUN) {
            note_failure(sched, node, now_ms);
        }
        task->avoid = node;
        nm_task_requeue(sched, task);
        node->poll_due_ms = now_ms;
        break;
    case NM_ORDER_LATE:
        /* The HTTP client may have sent it twice; the first copy may run. */
    case NM_ORDER_SUPERSEDED:
    case NM_ORDER_INVALID:
        nm_sched_withdraw_start(sched, task, now_ms);
        break;
    default:
        repeat_order(sched, task, now_ms);
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
        nm_due_touch(sched, addressed);
        nm_copies_take_stop(addressed, action, result, now_ms);
    }
    nm_task_t *task =
        find_ordered(sched, action, result, NM_RUN_STOPPING, now_ms);
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
    repeat_order(sched, task, now_ms);
}

void
nm_sched_on_throttle(nm_sched_t *sched, const nm_sched_action_t *action,
                     nm_order_result_t result, nm_ms_t now_ms)
{
    assert(sched && action);
    (void)now_ms;
    nm_task_t *task = nm_sched_find_task(sched, action->task);
    if (result == NM_ORDER_FENCED) {
        sched->fenced = true;
    }
    if (task && task->node && task->run == action->run) {
        task->order_pending = false;
        task->percent = result == NM_ORDER_DONE ? action->percent
                                                : NM_SCHED_PERCENT_UNKNOWN;
    }
}

static void
stop_stray(nm_sched_t *sched, nm_sched_node_t *node,
           const nm_worker_run_t *row)
{
    nm_sched_action_t *action = nm_sched_act(sched, node, NM_ACTION_STOP);
    nm_strcopy(action->task, sizeof(action->task), row->task);
    action->run = row->run;
}

/* Takes a run over that an earlier owner started. */
static void
adopt_run(nm_sched_t *sched, nm_task_t *task, nm_sched_node_t *node,
          const nm_worker_run_t *row, nm_ms_t now_ms)
{
    task->run = row->run;
    nm_task_set_state(sched, task, NM_RUN_RUNNING);
    task->sent_ms = now_ms;
    task->started_ms = now_ms;
    task->progress_ms = now_ms;
    /* What uses no processor may be paused: it is told to go on. */
    bool works = !nm_task_step(task)->is_filler || row->figure > 0;
    task->percent = works ? 100 : NM_SCHED_PERCENT_UNKNOWN;
    task->wanted_percent = 100;
    task->throttled_ms = 0;
    task->order_due_ms = 0;
    task->watched = false;
    nm_task_attach(task, node);
    nm_sched_job_t *job = task->work->job;
    job->started = true;
    if (job->state == NM_JOB_QUEUED) {
        job->state = NM_JOB_RUNNING;
        job->shown = NM_JOB_RUNNING;
    }
}

static void
take_run(nm_sched_t *sched, nm_sched_node_t *node, const nm_worker_run_t *row,
         nm_ms_t now_ms)
{
    nm_task_t *task = nm_sched_find_task(sched, row->task);
    if (task && task->state == NM_RUN_UNSEEN) {
        adopt_run(sched, task, node, row, now_ms);
    }
    if (!task || task->node != node || task->run != row->run) {
        stop_stray(sched, node, row);
        return;
    }
    if (task->work->job->state >= NM_JOB_COMPLETED &&
        task->state == NM_RUN_RUNNING)
    {
        nm_sched_stop_task(sched, task, now_ms);
    }
    if (task->state == NM_RUN_STARTING) {
        nm_task_set_state(sched, task, NM_RUN_RUNNING);
        task->started_ms = now_ms;
        task->watched = true;
        task->progress_ms = now_ms;
        task->sent_ms = now_ms;
        task->tries = 0;
    }
    task->withdrawn = false;
    if (strcmp(task->checkpoint, row->checkpoint) != 0) {
        nm_strcopy(task->checkpoint, sizeof(task->checkpoint),
                   row->checkpoint);
        task->progress_ms = now_ms;
        node->progress_ms = now_ms;
    }
    task->figure = row->figure;
    task->listed_in = node->reports;
}

static void
take_end(nm_sched_t *sched, nm_sched_node_t *node, const nm_worker_end_t *row,
         nm_ms_t now_ms)
{
    if (row->number <= node->ends_seen) {
        return;
    }
    node->ends_seen = row->number;
    nm_task_t *task = nm_sched_find_task(sched, row->task);
    uint64_t before = sched->change;
    bool current = task && task->node == node && task->run == row->run;
    if (current || (task && task->state == NM_RUN_UNSEEN)) {
        if (row->checkpoint[0] != '\0') {
            nm_strcopy(task->checkpoint, sizeof(task->checkpoint),
                       row->checkpoint);
        }
        if (row->end == NM_END_FAILED) {
            task->avoid = node;
            note_failure(sched, node, now_ms);
        }
        node->progress_ms = now_ms;
        if (row->end == NM_END_DONE) {
            node->failures_in_row = 0;
            node->avoid_until_ms = 0;
        }
        nm_task_end(sched, task, row->end, row->run, now_ms);
        nm_count(NM_COUNTER_FINISHES, 1);
    }
    if (task && row->end == NM_END_FAILED) {
        nm_task_count_failure(sched, task, row->run, now_ms);
    }
    nm_end_mark_t *mark = g_new(nm_end_mark_t, 1);
    *mark = (nm_end_mark_t){
        .number = row->number,
        .change = sched->change != before ? sched->change : 0,
    };
    g_queue_push_tail(&node->marks, mark);
}

/* What was settled before the poll was sent and is not listed is gone. */
static void
drop_absent(nm_sched_t *sched, nm_sched_node_t *node,
            const nm_worker_report_t *report)
{
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        if (task->order_pending || task->tries > 0 ||
            task->state == NM_RUN_STARTING || task->sent_ms >= report->sent_ms)
        {
            continue;
        }
        if (task->listed_in != node->reports) {
            nm_task_requeue(sched, task);
        }
    }
}

/* What a worker said, now or a while ago. */
static void
take_report(nm_sched_t *sched, nm_sched_node_t *node,
            const nm_worker_report_t *report, nm_ms_t now_ms)
{
    bool refreshed = !node->reachable || !node->fenced;
    if (!node->reachable) {
        nm_sched_note(sched, NM_NOTE_WORKER_BACK, node->desc.id,
                      node->poll_failures);
    }
    node->reported_ms = report->sent_ms;
    node->reachable = true;
    node->poll_failures = 0;
    node->fenced = true;
    node->reports++;
    node->clock_ms = report->clock_ms;
    node->clock_at_ms = now_ms;
    node->clock_known = true;
    for (uint32_t i = 0; i < report->end_count; i++) {
        take_end(sched, node, &report->ends[i], now_ms);
    }
    for (uint32_t i = 0; i < report->running_count; i++) {
        take_run(sched, node, &report->running[i], now_ms);
    }
    if (report->complete) {
        drop_absent(sched, node, report);
    }
    nm_sched_observe_tails(sched, node, now_ms);
    nm_count(NM_COUNTER_SYNCS, 1);
    node->poll_due_ms = refreshed ? now_ms : now_ms + NM_SCHED_POLL_PAUSE_MS;
    sched->stale = true;
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
    nm_due_touch(sched, node);
    node->poll_pending = false;
    if (report->result == NM_ORDER_FENCED) {
        sched->fenced = true;
        return;
    }
    note_call(sched, node, report->result != NM_ORDER_UNKNOWN, now_ms);
    if (report->result != NM_ORDER_DONE) {
        node->poll_failures++;
        uint32_t failures_max = sched->lossy ? NM_SCHED_POLL_FAILURES_LOSSY
                                             : NM_SCHED_POLL_FAILURES;
        bool was_reachable = node->reachable;
        node->reachable = node->reachable && node->fenced &&
                          node->poll_failures < failures_max;
        if (was_reachable && !node->reachable) {
            nm_sched_note(sched, NM_NOTE_WORKER_SILENT, worker,
                          node->poll_failures);
        }
        node->ends_acked_sent = 0;
        node->poll_due_ms = now_ms + retry_pause(sched, node->poll_failures);
        return;
    }
    if (report->incarnation < node->desc.incarnation) {
        node->poll_due_ms = now_ms + NM_SCHED_RETRY_MS;
        return;
    }
    if (report->incarnation > node->desc.incarnation) {
        nm_node_begin_incarnation(sched, node, report->incarnation, now_ms);
    }
    take_report(sched, node, report, now_ms);
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
    nm_due_touch(sched, node);
    nm_count_reason(NM_REASON_LATE_REPORT);
    take_report(sched, node, report, now_ms);
}
