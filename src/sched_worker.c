/*
 * Workers: fencing, leases, reports and orders without an answer.
 *
 * Answers this load: workers that crash, restart under the same id, are cut
 * off, leave orders unanswered and carry them out late, or drain.  A worker
 * holds a task until an end is listed, its incarnation has ended, or its lease
 * has lapsed for certain; until then the task starts nowhere else.
 */
#include "sched_state.h"

#include <assert.h>
#include <string.h>

/* A worker that failed this many starts in a row is avoided... */
#define FAILURES_AVOID 2
/* ...for so long, doubled with each further failure up to 8 times. */
#define AVOID_MS 1500
/* A worker on which nothing moves for this long stands still... */
#define STALL_MS 3500
/* ...plus this multiple of the estimate, for work that shows no progress. */
#define STALL_ESTIMATES 2.5
/* It gets no new tasks for this long. */
#define STALL_AVOID_MS 4000
#define STALL_CHECK_MS 250
/* A poll's way there and back between regions, and a round of the owner. */
#define REPORT_USUAL_MS 250
/* Calls are judged together by what was answered in this time... */
#define LOSS_PERIOD_MS 250
/* ...or until there are this many, fewer tell little. */
#define LOSS_CALLS_MIN 60
/* Part of the newest judgement. */
#define LOSS_GAIN 0.5
/* Time between two looks at a worker of which something is open. */
#define ATTENTION_MS 100
/* Least time left at which a draining worker's saved work is moved. */
#define DRAIN_MOVE_MS 600

static nm_sched_node_t *
find_node(nm_sched_t *sched, const char *id)
{
    return g_hash_table_lookup(sched->nodes, id);
}

/* When every lease that a former owner gave has lapsed for certain. */
static nm_ms_t
former_lapse(const nm_sched_t *sched)
{
    return sched->former_ms +
           (nm_ms_t)((double)sched->desc.lease_max_ms * NM_SCHED_CLOCK_SLOW) +
           NM_SCHED_LAPSE_MARGIN_MS;
}

static nm_sched_node_t *
add_node(nm_sched_t *sched, const char *id, nm_ms_t now_ms)
{
    nm_sched_node_t *node = g_new0(nm_sched_node_t, 1);
    nm_strcopy(node->desc.id, sizeof(node->desc.id), id);
    node->tasks = g_ptr_array_new();
    g_queue_init(&node->marks);
    node->lapse_ms = former_lapse(sched);
    node->poll_due_ms = now_ms;
    node->reachable = true;
    g_hash_table_insert(sched->nodes, node->desc.id, node);
    g_ptr_array_add(sched->node_list, node);
    nm_due_add(sched, node);
    return node;
}

/* Tasks on an incarnation that has ended, or whose lease lapsed, have no run.
 */
static void
lose_tasks(nm_sched_t *sched, nm_sched_node_t *node)
{
    while (node->tasks->len > 0) {
        nm_task_t *task = node->tasks->pdata[node->tasks->len - 1];
        nm_count_reason(NM_REASON_LEASE_LAPSED);
        nm_task_requeue(sched, task);
    }
}

/*
 * A new incarnation knows nothing of the old one, but it has the same id: an
 * order that was sent before the change was noticed may have reached either.
 * What is confirmed stays until the first report of the new incarnation; what
 * is not, or is being stopped, is stopped there.
 */
static void
begin_incarnation(nm_sched_t *sched, nm_sched_node_t *node,
                  int64_t incarnation, nm_ms_t now_ms)
{
    GPtrArray *open = g_ptr_array_new();
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (task->state == NM_RUN_RUNNING) {
            task->order_pending = false;
            task->tries = 0;
        }
        else {
            g_ptr_array_add(open, task);
        }
    }
    node->desc.incarnation = incarnation;
    node->fenced = false;
    node->clock_known = false;
    /* An expiry of the old clock gives the longest lease on the new one. */
    node->lapse_ms = now_ms;
    if (node->tasks->len > 0) {
        node->lapse_ms +=
            (nm_ms_t)(NM_SCHED_LEASE_LIMIT_MS * NM_SCHED_CLOCK_SLOW) +
            NM_SCHED_LAPSE_MARGIN_MS;
    }
    node->ends_seen = 0;
    node->ends_acked = 0;
    node->ends_acked_sent = 0;
    node->poll_due_ms = now_ms;
    node->failures_in_row = 0;
    node->avoid_until_ms = 0;
    nm_copies_withdraw(node, now_ms);
    g_queue_clear_full(&node->marks, g_free);
    for (guint i = 0; i < open->len; i++) {
        nm_sched_stop_task(sched, open->pdata[i], now_ms);
    }
    g_ptr_array_free(open, TRUE);
    sched->stale = true;
}

void
nm_sched_set_worker(nm_sched_t *sched, const nm_sched_worker_t *desc,
                    nm_ms_t now_ms)
{
    assert(sched && desc);
    nm_sched_node_t *node = find_node(sched, desc->id);
    if (!node) {
        node = add_node(sched, desc->id, now_ms);
    }
    if (node->known && desc->incarnation < node->desc.incarnation) {
        return; /* a late report of an earlier incarnation */
    }
    if (node->known && desc->incarnation > node->desc.incarnation) {
        begin_incarnation(sched, node, desc->incarnation, now_ms);
    }
    nm_due_touch(sched, node);
    node->desc = *desc;
    node->service = g_intern_string(desc->service);
    if (!node->known) {
        node->known = true;
        node->poll_due_ms = now_ms;
    }
    node->announced = true;
    sched->stale = true;
}

void
nm_sched_remove_worker(nm_sched_t *sched, const char *id)
{
    assert(sched && id);
    nm_sched_node_t *node = find_node(sched, id);
    if (node) {
        node->announced = false;
        nm_due_touch(sched, node);
    }
}

void
nm_sched_activate(nm_sched_t *sched, nm_ms_t now_ms)
{
    assert(sched);
    if (sched->desc.lease_max_ms <= 1) {
        return;
    }
    sched->former_ms = now_ms + NM_SCHED_FORMER_OWNER_MS;
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        if (!node->fenced) {
            node->lapse_ms = MAX(node->lapse_ms, former_lapse(sched));
        }
    }
}

void
nm_sched_expect_worker(nm_sched_t *sched, const char *id, nm_ms_t now_ms)
{
    assert(sched && id);
    if (!find_node(sched, id)) {
        add_node(sched, id, now_ms);
    }
    nm_sched_admit_worker(sched, id);
}

void
nm_sched_admit_worker(nm_sched_t *sched, const char *id)
{
    assert(sched && id);
    nm_sched_node_t *node = find_node(sched, id);
    if (node && !node->admitted) {
        node->admitted = true;
        sched->stale = true;
    }
}

char *
nm_sched_next_gone(nm_sched_t *sched)
{
    assert(sched);
    return g_queue_pop_head(&sched->gone);
}

bool
nm_sched_has_unresolved(const nm_sched_t *sched, nm_ms_t now_ms)
{
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (!node->fenced && now_ms < node->lapse_ms) {
            return true;
        }
    }
    return false;
}

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

static void
withdraw_start(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
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
    nm_sched_node_t *addressed = find_node(sched, action->worker);
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
            withdraw_start(sched, task, now_ms);
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
        withdraw_start(sched, task, now_ms);
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
    nm_sched_node_t *addressed = find_node(sched, action->worker);
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
    nm_sched_node_t *node = find_node(sched, worker);
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
        begin_incarnation(sched, node, report->incarnation, now_ms);
    }
    take_report(sched, node, report, now_ms);
}

void
nm_sched_on_late_report(nm_sched_t *sched, const char *worker,
                        const nm_worker_report_t *report, nm_ms_t now_ms)
{
    assert(sched && worker && report);
    nm_sched_node_t *node = find_node(sched, worker);
    if (!node || report->sent_ms <= node->reported_ms ||
        report->incarnation != node->desc.incarnation)
    {
        return;
    }
    nm_due_touch(sched, node);
    nm_count_reason(NM_REASON_LATE_REPORT);
    take_report(sched, node, report, now_ms);
}
static void
pop_marks(const nm_sched_t *sched, nm_sched_node_t *node)
{
    nm_end_mark_t *mark;
    while ((mark = g_queue_peek_head(&node->marks)) &&
           mark->change <= sched->saved)
    {
        node->ends_acked = mark->number;
        g_free(g_queue_pop_head(&node->marks));
    }
}

static void
send_poll(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    nm_sched_action_t *action = nm_sched_act(sched, node, NM_ACTION_POLL);
    action->acked = node->ends_acked;
    node->ends_acked_sent = node->ends_acked;
    bool quick =
        !node->fenced || node->poll_failures > 0 || node->tasks->len == 0;
    bool shared = node->fillers > 0 && node->targets > 0;
    action->wait_ms = quick          ? 0
                      : sched->lossy ? NM_SCHED_POLL_LOSSY_MS
                      : shared       ? NM_SCHED_POLL_SHARED_MS
                                     : NM_SCHED_POLL_WAIT_MS;
    /* What may never answer gets no longer lease by being asked again. */
    if (node->clock_known && node->poll_failures == 0) {
        action->expiry_ms = nm_node_clock(node, now_ms) + sched->desc.lease_ms;
        nm_ms_t lapse =
            now_ms +
            (nm_ms_t)((double)sched->desc.lease_ms * NM_SCHED_CLOCK_SLOW) +
            NM_SCHED_LAPSE_MARGIN_MS;
        node->lapse_ms = MAX(node->lapse_ms, lapse);
    }
    node->report_due_ms = now_ms + action->wait_ms + REPORT_USUAL_MS;
    node->poll_pending = true;
}

/* Sends what is due again; the next is due at node->repeat_due_ms. */
static void
repeat_orders(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    uint32_t tries_max =
        sched->lossy ? NM_SCHED_START_TRIES_LOSSY : NM_SCHED_START_TRIES_MAX;
    node->repeat_due_ms = NM_MS_NEVER;
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        if (task->tries == 0) {
            continue;
        }
        if (task->order_pending || !node->reachable) {
            node->repeat_due_ms =
                MIN(node->repeat_due_ms, now_ms + NM_SCHED_RETRY_MS / 3);
        }
        if (task->order_pending) {
            continue;
        }
        if (now_ms < task->order_due_ms) {
            node->repeat_due_ms = MIN(node->repeat_due_ms, task->order_due_ms);
            continue;
        }
        if (task->state == NM_RUN_STOPPING) {
            nm_sched_stop_task(sched, task, now_ms);
        }
        else if (task->state == NM_RUN_STARTING && node->reachable) {
            if (task->tries >= tries_max) {
                withdraw_start(sched, task, now_ms);
            }
            else {
                nm_sched_start_task(sched, task, node, task->run, now_ms);
            }
        }
    }
}

/* Moves what would die with a worker that is leaving. */
static void
move_from_draining(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        const nm_step_t *step = nm_task_step(task);
        bool saved =
            step->saves_progress && node->desc.remaining_ms < DRAIN_MOVE_MS;
        if (task->state == NM_RUN_RUNNING && (step->long_running || saved)) {
            nm_count_reason(NM_REASON_EVICT_LEAVING);
            nm_sched_stop_task(sched, task, now_ms);
        }
    }
}

static bool
is_stalled(const nm_sched_node_t *node, const nm_task_t *task, nm_ms_t now_ms)
{
    const nm_step_t *step = nm_task_step(task);
    if (task->state != NM_RUN_RUNNING || step->long_running ||
        task->wanted_percent == 0)
    {
        return false;
    }
    nm_ms_t limit = STALL_MS;
    if (!step->saves_progress) {
        limit += (nm_ms_t)(STALL_ESTIMATES * (double)step->estimate_ms);
    }
    nm_ms_t since = MAX(task->progress_ms, node->progress_ms);
    return now_ms - since > limit;
}

/*
 * Answers workers that take work and let it stand, or are many times too
 * slow: what they hold starts elsewhere, from its checkpoint.
 */
static void
check_stall(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    bool stalled = false;
    for (guint i = 0; i < node->tasks->len && !stalled; i++) {
        stalled = is_stalled(node, node->tasks->pdata[i], now_ms);
    }
    if (!stalled) {
        return;
    }
    node->avoid_until_ms = now_ms + STALL_AVOID_MS;
    nm_sched_note(sched, NM_NOTE_WORKER_AVOIDED, node->desc.id,
                  STALL_AVOID_MS);
    node->progress_ms = now_ms;
    nm_count_reason(NM_REASON_WORKER_FAILING);
    for (guint i = node->tasks->len; i > 0; i--) {
        nm_task_t *task = node->tasks->pdata[i - 1];
        if (task->state == NM_RUN_RUNNING && !nm_task_step(task)->long_running)
        {
            task->avoid = node;
            nm_sched_stop_task(sched, task, now_ms);
        }
    }
}

static bool
poll_is_wanted(const nm_sched_node_t *node)
{
    bool busy = node->tasks->len > 0;
    bool acks = node->ends_acked > node->ends_acked_sent;
    return (node->announced || busy) &&
           (!node->fenced || busy || acks || !node->reachable);
}

static void
run_node(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    pop_marks(sched, node);
    if (!node->known) {
        return;
    }
    if (now_ms >= node->lapse_ms && !node->reachable && node->tasks->len > 0) {
        lose_tasks(sched, node);
    }
    if (node->desc.state == NM_WORKER_DRAINING && node->reachable) {
        move_from_draining(sched, node, now_ms);
    }
    if (node->reachable && now_ms >= node->stall_check_ms) {
        node->stall_check_ms = now_ms + STALL_CHECK_MS;
        check_stall(sched, node, now_ms);
    }
    if (node->fenced) {
        nm_copies_run(sched, node, now_ms);
    }
    if (now_ms >= node->repeat_due_ms) {
        repeat_orders(sched, node, now_ms);
    }
    if (!node->poll_pending && now_ms >= node->poll_due_ms &&
        poll_is_wanted(node)) {
        send_poll(sched, node, now_ms);
    }
}

/* When a worker needs attention next, if nothing happens to it before. */
static nm_ms_t
next_due(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    bool busy = node->tasks->len > 0;
    bool marked = node->marks.length > 0;
    bool watched = marked || node->copies || !node->reachable ||
                   (busy && node->desc.state == NM_WORKER_DRAINING);
    nm_ms_t due_ms = watched ? now_ms + ATTENTION_MS : NM_MS_NEVER;
    if (node->known && !node->poll_pending && poll_is_wanted(node)) {
        due_ms = MIN(due_ms, node->poll_due_ms);
    }
    if (busy) {
        due_ms = MIN(due_ms, node->repeat_due_ms);
        due_ms = node->reachable ? MIN(due_ms, node->stall_check_ms) : due_ms;
    }
    else if (!node->announced && !node->poll_pending) {
        due_ms = MIN(due_ms, node->lapse_ms);
    }
    return MAX(due_ms, now_ms + 1);
}

static bool
is_gone(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    return !node->announced && node->tasks->len == 0 && !node->poll_pending &&
           now_ms >= node->lapse_ms;
}

static void
forget_node(nm_sched_t *sched, nm_sched_node_t *node)
{
    g_queue_push_tail(&sched->gone, g_strdup(node->desc.id));
    nm_due_remove(sched, node);
    g_ptr_array_remove_fast(sched->node_list, node);
    g_hash_table_remove(sched->nodes, node->desc.id);
}

void
nm_sched_workers_run(nm_sched_t *sched, nm_ms_t now_ms)
{
    nm_sched_node_t *node;
    while ((node = nm_due_first(sched, now_ms))) {
        run_node(sched, node, now_ms);
        if (is_gone(node, now_ms)) {
            forget_node(sched, node);
        }
        else {
            nm_due_set(sched, node, next_due(node, now_ms));
        }
    }
}
