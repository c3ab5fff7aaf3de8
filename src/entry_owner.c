/*
 * Rounds of the owner: sends orders to workers and applies their results.
 *
 * The owner holds a key by a lease and an epoch that only rises.  Each of its
 * writes compares the key's revision, and each order carries the epoch, so a
 * former owner changes nothing, however late it notices its loss.
 */
#include "entry_state.h"

#include <jansson.h>

#include <nutmegdeck/log.h>

/* Longest delay of a commit that holds an end a caller waits for. */
#define URGENT_COMMIT_DELAY_MS 30
/* Time between two pictures of the capacity in the log. */
#define CAPACITY_LOG_INTERVAL_MS 1000
/* A job that is idle for longer is logged beside the capacity. */
#define IDLE_LOG_MIN_MS 3000
/* Minimum time between two rounds of scheduling decisions. */
#define ROUND_INTERVAL_MIN_MS 5
/* A watch of the workers that is silent for longer has missed its answer. */
#define WATCH_GAP_MS 2000
/* Time between two checks for a missing owner. */
#define VACANCY_CHECK_INTERVAL_MS 20

/* Reports repeat an end until it is acknowledged; it is logged once. */
static void
log_failures(const nm_entry_t *entry, const char *worker,
             const nm_worker_report_t *report)
{
    int64_t last_end = nm_sched_query_last_end(entry->sched, worker);
    for (uint32_t i = 0; i < report->end_count; i++) {
        const nm_worker_end_t *end = &report->ends[i];
        if (end->number > last_end && end->end != NM_END_DONE &&
            end->end != NM_END_STOPPED)
        {
            nm_log(NM_LOG_INFO, NM_LOG_ITEM_TASK_FAILED, "{s:s,s:I,s:s,s:s}",
                   "task", end->task, "run", (json_int_t)end->run, "worker",
                   worker, "end", nm_end_name(end->end));
        }
    }
}

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    nm_ms_t sent_ms = nm_term_call_sent_ms(user);
    nm_entry_t *entry = nm_term_call_end(user);
    if (!entry) {
        return;
    }
    nm_ms_t now_ms = nm_entry_now(entry);
    nm_call_class_t call_class =
        action->type == NM_ACTION_START  ? NM_CALL_START
        : action->type == NM_ACTION_POLL ? NM_CALL_POLL
                                         : NM_CALL_STOP;
    nm_ms_t took_ms = nm_clock_now_with_suspend(entry->desc.clock) - sent_ms;
    nm_load_on_call(entry, call_class, nm_load_order_outcome(result),
                    MAX(took_ms - action->wait_ms, 0));
    switch (action->type) {
    case NM_ACTION_START:
        nm_sched_on_start(entry->sched, action, result, now_ms);
        break;
    case NM_ACTION_STOP:
        nm_sched_on_stop(entry->sched, action, result, now_ms);
        break;
    case NM_ACTION_THROTTLE:
        nm_sched_on_throttle(entry->sched, action, result, now_ms);
        break;
    default:
        log_failures(entry, action->worker, report);
        if (result == NM_ORDER_DONE) {
            nm_authority_on_response(entry, action->worker);
        }
        nm_sched_on_report(entry->sched, action->worker, report, now_ms);
        break;
    }
    nm_load_on_event(entry, now_ms);
    entry->sched_due_ms = 0;
}

void
nm_owner_on_late_report(void *user, const char *worker,
                        const nm_worker_report_t *report)
{
    nm_entry_t *entry = user;
    if (entry->role == NM_ROLE_OWNER) {
        log_failures(entry, worker, report);
        nm_sched_on_late_report(entry->sched, worker, report,
                                nm_entry_now(entry));
        nm_load_on_event(entry, nm_entry_now(entry));
        entry->sched_due_ms = 0;
    }
}

/* Logs changes in the state of workers and calls, each with its value. */
static void
log_events(nm_entry_t *entry)
{
    static const struct {
        nm_log_item_t item;
        const char *value_key;
    } event_logs[] = {
        [NM_SCHED_EVENT_WORKER_UNRESPONSIVE] = {NM_LOG_ITEM_WORKER_SILENT,
                                                "polls_lost"},
        [NM_SCHED_EVENT_WORKER_RECOVERED] = {NM_LOG_ITEM_WORKER_BACK,
                                             "polls_lost"},
        [NM_SCHED_EVENT_RUN_STALLED] = {NM_LOG_ITEM_RUN_STALLED, "stalls"},
        [NM_SCHED_EVENT_WORKER_AVOIDED] = {NM_LOG_ITEM_WORKER_AVOIDED,
                                           "for_ms"},
        [NM_SCHED_EVENT_CALL_LOSS_BEGAN] = {NM_LOG_ITEM_CALLS_LOST,
                                            "lost_permille"},
        [NM_SCHED_EVENT_CALL_LOSS_ENDED] = {NM_LOG_ITEM_CALLS_ANSWERED,
                                            "lost_permille"},
        [NM_SCHED_EVENT_RUN_LOST] = {NM_LOG_ITEM_RUN_LOST, "alive_ms"},
        [NM_SCHED_EVENT_TASK_GIVEN_UP] = {NM_LOG_ITEM_TASK_GIVEN_UP,
                                          "crashes"},
        [NM_SCHED_EVENT_RUN_UNRESOLVED] = {NM_LOG_ITEM_RUN_UNRESOLVED,
                                           "silences"},
        [NM_SCHED_EVENT_CRASH_RESOLVED] = {NM_LOG_ITEM_CRASH_RESOLVED,
                                           "crashes"},
        [NM_SCHED_EVENT_CRASH_UNPROVED] = {NM_LOG_ITEM_CRASH_UNPROVED,
                                           "silences"},
        [NM_SCHED_EVENT_WORKER_LAPSED] = {NM_LOG_ITEM_WORKER_LAPSED,
                                          "heard_ms"},
        [NM_SCHED_EVENT_FORMER_LEASE_LAPSED] =
            {NM_LOG_ITEM_FORMER_LEASE_LAPSED, "age_ms"},
        [NM_SCHED_EVENT_LATE_END] = {NM_LOG_ITEM_LATE_END, "newer_run"},
        [NM_SCHED_EVENT_ORPHAN_RUN] = {NM_LOG_ITEM_ORPHAN_RUN, "task_run"},
        [NM_SCHED_EVENT_WORKER_UNDESCRIBED] = {NM_LOG_ITEM_WORKER_UNDESCRIBED,
                                               "incarnation"},
        [NM_SCHED_EVENT_OWNER_BEHIND] = {NM_LOG_ITEM_OWNER_BEHIND,
                                         "starting_max"},
        [NM_SCHED_EVENT_OWNER_CAUGHT_UP] = {NM_LOG_ITEM_OWNER_CAUGHT_UP,
                                            "starting_max"},
        [NM_SCHED_EVENT_START_MISDIRECTED] = {NM_LOG_ITEM_START_MISDIRECTED,
                                              "incarnation"},
        [NM_SCHED_EVENT_START_UNANSWERED] = {NM_LOG_ITEM_START_UNANSWERED,
                                             "tries"},
        [NM_SCHED_EVENT_START_RESENT] = {NM_LOG_ITEM_START_RESENT, "tries"},
        [NM_SCHED_EVENT_EVENTS_DROPPED] = {NM_LOG_ITEM_BELIEFS_DROPPED,
                                           "changes"},
    };
    nm_sched_event_t event;
    while (nm_sched_next_event(entry->sched, &event)) {
        if (event.task[0] != '\0') {
            nm_log(NM_LOG_INFO, event_logs[event.type].item,
                   "{s:s,s:I,s:s,s:I,s:I,s:s,s:I}", "task", event.task, "run",
                   (json_int_t)event.run, "worker", event.worker,
                   "worker_incarnation", (json_int_t)event.incarnation,
                   event_logs[event.type].value_key, (json_int_t)event.value,
                   "evidence", nm_crash_evidence_name(event.evidence), "epoch",
                   (json_int_t)entry->owned_epoch);
            continue;
        }
        nm_log(NM_LOG_INFO, event_logs[event.type].item, "{s:s,s:I,s:I}",
               "worker", event.worker, event_logs[event.type].value_key,
               (json_int_t)event.value, "epoch",
               (json_int_t)entry->owned_epoch);
    }
}

static json_t *
encode_refusals(const uint64_t *counts, const uint64_t *counts_before)
{
    json_t *refusals = json_object();
    for (nm_filler_refusal_t r = 0; r < NM_FILLER_REFUSAL_COUNT; r++) {
        uint64_t count = counts[r] - (counts_before ? counts_before[r] : 0);
        json_object_set_new(refusals, nm_filler_refusal_name(r),
                            json_integer((json_int_t)count));
    }
    return refusals;
}

static void
log_longest_idle(const nm_sched_capacity_t *capacity)
{
    const nm_sched_idle_job_t *idle = &capacity->longest_idle;
    if (idle->idle_ms < IDLE_LOG_MIN_MS) {
        return;
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_JOB_IDLE, "{s:s,s:i,s:I,s:i,s:b,s:i,s:o}",
           "job", idle->job, "step", (int)idle->step, "idle_ms",
           (json_int_t)idle->idle_ms, "ahead", (int)idle->ahead, "tried",
           (int)idle->tried, "idle_jobs", (int)capacity->idle_jobs, "refusals",
           encode_refusals(idle->refusals, NULL));
}

static json_t *
encode_exclusions(const uint32_t workers[NM_EXCLUSION_COUNT])
{
    json_t *object = json_object();
    for (nm_exclusion_t e = 0; e < NM_EXCLUSION_COUNT; e++) {
        if (workers[e] > 0) {
            json_object_set_new(object, nm_exclusion_name(e),
                                json_integer(workers[e]));
        }
    }
    return object;
}

/* Logs for each cause which job has been idle for longest. */
static void
log_waits(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_sched_wait_t waits[NM_WAIT_CAUSE_COUNT];
    nm_sched_query_waits(entry->sched, IDLE_LOG_MIN_MS, now_ms, waits);
    for (nm_wait_cause_t c = 0; c < NM_WAIT_CAUSE_COUNT; c++) {
        const nm_sched_wait_t *wait = &waits[c];
        if (wait->jobs == 0) {
            continue;
        }
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_JOBS_WAIT,
               "{s:s,s:i,s:s,s:I,s:i,s:i,s:I,s:I,s:o}", "cause",
               nm_wait_cause_name(c), "jobs", (int)wait->jobs, "task",
               wait->task, "idle_ms", (json_int_t)wait->idle_ms, "crashes",
               (int)wait->crashes, "silences", (int)wait->silences,
               "silent_ms", (json_int_t)wait->silent_ms, "open_start_ms",
               (json_int_t)wait->open_start_ms, "workers",
               encode_exclusions(wait->workers));
    }
}

static json_t *
encode_interrupted(const nm_sched_capacity_t *capacity)
{
    json_t *object = json_object();
    for (uint32_t c = 0; c < NM_INTERRUPTED_CAUSE_COUNT; c++) {
        json_object_set_new(
            object, nm_interrupted_cause_name((nm_interrupted_cause_t)c),
            json_integer(capacity->interrupted[c]));
    }
    return object;
}

static void
log_job_memory(const nm_entry_t *entry)
{
    nm_sched_memory_t memory = nm_sched_query_memory(entry->sched);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_JOB_MEMORY, "{s:I,s:I,s:I,s:I,s:i,s:I}",
           "checkpoint_bytes", (json_int_t)memory.checkpoint_bytes,
           "live_bytes", (json_int_t)memory.live_bytes, "reserved_bytes",
           (json_int_t)memory.reserved_bytes, "bound_bytes",
           (json_int_t)memory.max_bytes, "jobs_deferred",
           (int)memory.jobs_deferred, "epoch", (json_int_t)entry->owned_epoch);
}

static void
log_capacity(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (now_ms < entry->capacity_log_due_ms) {
        return;
    }
    entry->capacity_log_due_ms = now_ms + CAPACITY_LOG_INTERVAL_MS;
    nm_sched_capacity_t capacity =
        nm_sched_query_capacity(entry->sched, now_ms);
    json_t *refusals = encode_refusals(capacity.filler_refusals,
                                       entry->logged_capacity.filler_refusals);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_CAPACITY,
           "{s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:i,s:i,s:I,s:o,s:i,s:I,"
           "s:I,s:i,s:i,s:i,s:i,s:i,s:o}",
           "workers", (int)capacity.workers, "workers_held",
           (int)capacity.workers_held, "workers_reserved",
           (int)capacity.workers_reserved, "cpu_milli",
           (json_int_t)capacity.cpu_milli, "reserved_cpu_milli",
           (json_int_t)capacity.reserved_cpu_milli, "serving_cpu_milli",
           (json_int_t)capacity.serving_cpu_milli, "long_running_cpu_milli",
           (json_int_t)capacity.long_running_cpu_milli, "filler_cpu_milli",
           (json_int_t)capacity.filler_cpu_milli, "short_waiting",
           (int)capacity.short_waiting, "fillers_waiting",
           (int)capacity.fillers_waiting, "long_running_waiting",
           (int)capacity.long_running_waiting, "interrupted_waiting",
           (int)capacity.interrupted_waiting, "interrupted_wait_ms",
           (json_int_t)capacity.interrupted_wait_ms, "interrupted",
           encode_interrupted(&capacity), "interrupted_fit_twice",
           (int)capacity.interrupted_fit_twice, "interrupted_cpu_milli",
           (json_int_t)capacity.interrupted_cpu_milli, "oldest_waiting_ms",
           (json_int_t)capacity.oldest_waiting_ms, "serving_over_target",
           (int)capacity.serving_over_target, "fillers_paused",
           (int)capacity.fillers_paused, "fillers_slowed",
           (int)capacity.fillers_slowed, "jobs_behind",
           (int)capacity.jobs_behind, "jobs_pending",
           (int)capacity.jobs_pending, "filler_refusals", refusals);
    log_longest_idle(&capacity);
    log_waits(entry, now_ms);
    log_job_memory(entry);
    entry->logged_capacity = capacity;
}

static void
run_sched(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (now_ms < entry->sched_due_ms) {
        return;
    }
    if (now_ms - entry->workers_feed.last_response_ms >= WATCH_GAP_MS) {
        nm_sched_on_watch_gap(entry->sched, now_ms);
    }
    nm_ms_t entries_age_ms = nm_feed_age_ms(&entry->workers_feed);
    nm_sched_set_entries_age(entry->sched, MIN(entries_age_ms, now_ms));
    nm_ms_t wait_ms = nm_sched_run(entry->sched, now_ms, nm_entry_unix_ms());
    nm_load_on_round(entry, now_ms);
    entry->sched_due_ms = now_ms + MAX(wait_ms, ROUND_INTERVAL_MIN_MS);
    nm_sched_action_t action;
    while (nm_sched_next_action(entry->sched, &action)) {
        nm_order_port_send(entry->orders, &action, entry->owned_epoch,
                           on_order, nm_term_call_new(entry));
    }
    log_events(entry);
    log_capacity(entry, now_ms);
    char *removed;
    while ((removed = nm_sched_next_removed(entry->sched))) {
        entry->roster_dirty =
            g_hash_table_remove(entry->roster_wanted, removed) ||
            entry->roster_dirty;
        g_free(removed);
    }
    if (nm_sched_save_is_urgent(entry->sched)) {
        entry->commit_due_ms =
            MIN(entry->commit_due_ms, now_ms + URGENT_COMMIT_DELAY_MS);
    }
    if (nm_sched_query_fenced(entry->sched)) {
        nm_term_step_down(entry, "a worker has seen a newer epoch");
    }
}

nm_ms_t
nm_owner_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_election_run(entry, now_ms);
    if (entry->owned_epoch == 0) {
        return VACANCY_CHECK_INTERVAL_MS;
    }
    nm_election_renew(entry, now_ms);
    nm_feed_tick(&entry->hosts_feed, now_ms);
    nm_feed_tick(&entry->owned_feed, now_ms);
    nm_entry_evacuation_run(entry, now_ms);
    nm_feed_tick(&entry->workers_feed, now_ms);
    nm_feed_tick(&entry->progress_feed, now_ms);
    nm_feed_tick(&entry->jobs_feed, now_ms);
    nm_takeover_verify(entry, now_ms);
    if (entry->role == NM_ROLE_OWNER) {
        nm_authority_run(entry, now_ms);
    }
    if (entry->role == NM_ROLE_OWNER) {
        nm_lives_run(entry, now_ms);
    }
    if (entry->role == NM_ROLE_OWNER) {
        nm_load_on_pass(entry, now_ms);
        run_sched(entry, now_ms);
        nm_notice_announce(entry);
        nm_entry_admission_run(entry, now_ms);
    }
    if (entry->role == NM_ROLE_OWNER) {
        nm_commit_run(entry, now_ms);
    }
    if (entry->owned_epoch > 0) {
        nm_election_check_hand_over(entry, now_ms);
    }
    nm_ms_t due_ms =
        MAX(MIN(entry->sched_due_ms, entry->renew_due_ms), now_ms + 1);
    if (entry->role == NM_ROLE_OWNER) {
        nm_load_end_pass(entry, now_ms, due_ms);
    }
    return due_ms - now_ms;
}
