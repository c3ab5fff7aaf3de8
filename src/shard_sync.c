#include "shard_state.h"

#include <assert.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

/*
 * Large shards sync less often: the interval is at least 1 ms per worker, up
 * to this.
 */
#define SYNC_INTERVAL_MAX_MS 1000
/* Minimum time between two syncs with one worker. */
#define SYNC_INTERVAL_MIN_MS 20
/*
 * A worker is quarantined after this many consecutive failures, if several
 * jobs failed there or the job succeeds elsewhere.
 */
#define WORKER_FAILURES_MAX 3
/*
 * A job is quarantined after it failed on this many workers since its last
 * success.
 */
#define JOB_FAILED_WORKERS_MAX 3
/*
 * In a shard with fewer than JOB_FAILED_WORKERS_MAX workers, a job that never
 * succeeded is quarantined after this many failures.
 */
#define JOB_FAILURES_MAX 4
/*
 * While the cause of failures is unclear, a worker is closed for
 * BACKOFF_BASE_MS << failures, from this many consecutive failures on: 2 s
 * after two failures, at most 128 s.
 */
#define BACKOFF_FAILURES_MIN 2
#define BACKOFF_BASE_MS 500
/* Each consecutive quarantine lasts twice as long, up to the maximum. */
#define QUARANTINE_INITIAL_MS 30000
#define QUARANTINE_MAX_MS 480000

/* Building syncs */

static void
move_commands(GArray *from, GArray *to)
{
    g_array_set_size(to, 0);
    if (from->len > 0) {
        g_array_append_vals(to, from->data, from->len);
    }
    g_array_set_size(from, 0);
}

/*
 * Records which sync carries the starts, so that its reply shows whether the
 * worker accepted them.
 */
static void
mark_starts_sent(nm_shard_state_t *state, nm_shard_worker_state_t *worker)
{
    for (uint32_t i = 0; i < worker->sent_starts->len; i++) {
        const nm_start_t *start =
            &g_array_index(worker->sent_starts, nm_start_t, i);
        nm_job_t *job = nm_shard_find_job(state, start->id.job, NULL);
        nm_task_t *task = job ? &job->tasks[start->id.index] : NULL;
        if (task && task->attempt == start->id.attempt) {
            task->start_sequence = worker->sequence;
        }
    }
}

static nm_ms_t
sync_interval(const nm_shard_state_t *state)
{
    nm_ms_t scaled_ms = state->workers->len;
    if (scaled_ms > SYNC_INTERVAL_MAX_MS) {
        scaled_ms = SYNC_INTERVAL_MAX_MS;
    }
    return scaled_ms > state->sync_interval_ms ? scaled_ms
                                               : state->sync_interval_ms;
}

static const nm_sync_t *
build_sync(nm_shard_state_t *state, nm_shard_worker_state_t *worker,
           bool authority, nm_ms_t now_ms)
{
    worker->outstanding = true;
    worker->commands_pending = false;
    worker->sequence = ++state->sequence;
    worker->sent_ms = now_ms;
    worker->due_ms = now_ms + sync_interval(state);
    bool send_commands = authority && state->phase == NM_SHARD_ACTIVE &&
                         worker->acked_epoch == state->epoch;
    g_array_set_size(worker->sent_starts, 0);
    g_array_set_size(worker->sent_stops, 0);
    g_array_set_size(worker->sent_throttles, 0);
    g_array_set_size(worker->sent_acks, 0);
    if (send_commands) {
        move_commands(worker->starts, worker->sent_starts);
        move_commands(worker->stops, worker->sent_stops);
        move_commands(worker->throttles, worker->sent_throttles);
        move_commands(worker->acks, worker->sent_acks);
        mark_starts_sent(state, worker);
    }
    bool renew_lease = authority && worker->acked_epoch == state->epoch;
    worker->sync = (nm_sync_t){
        .worker = worker->desc.id,
        .address = worker->desc.address,
        .owner = state->owner_id,
        .epoch = state->epoch,
        .sequence = worker->sequence,
        .echo_ms = worker->clock_ms,
        .lease_ms = renew_lease ? NM_SHARD_LEASE_MS : 0,
        .starts = (nm_start_t *)worker->sent_starts->data,
        .start_count = worker->sent_starts->len,
        .stops = (nm_stop_t *)worker->sent_stops->data,
        .stop_count = worker->sent_stops->len,
        .throttles = (nm_throttle_t *)worker->sent_throttles->data,
        .throttle_count = worker->sent_throttles->len,
        .acks = (nm_attempt_id_t *)worker->sent_acks->data,
        .ack_count = worker->sent_acks->len,
    };
    return &worker->sync;
}

const nm_sync_t *
nm_shard_next_sync(nm_shard_t *shard, nm_ms_t now_ms)
{
    assert(shard);
    nm_shard_state_t *state = shard->state;
    if (state->phase == NM_SHARD_FOLLOWER) {
        return NULL;
    }
    uint32_t count = state->workers->len;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t index = (state->next_sync_worker + i) % count;
        nm_shard_worker_state_t *worker = state->workers->pdata[index];
        bool due = now_ms >= worker->due_ms ||
                   (worker->commands_pending &&
                    now_ms >= worker->sent_ms + SYNC_INTERVAL_MIN_MS);
        if (worker->outstanding || worker->removed || !due) {
            continue;
        }
        state->next_sync_worker = (index + 1) % count;
        bool authority = nm_shard_has_authority(shard, now_ms);
        return build_sync(state, worker, authority, now_ms);
    }
    return NULL;
}

/* Health: attributes failures to the worker or to the job */

static nm_ms_t
quarantine_duration(uint32_t previous_quarantines)
{
    nm_ms_t duration_ms =
        (nm_ms_t)QUARANTINE_INITIAL_MS
        << (previous_quarantines < 4 ? previous_quarantines : 4);
    return duration_ms < QUARANTINE_MAX_MS ? duration_ms : QUARANTINE_MAX_MS;
}

static void
remove_suspect_worker(nm_job_t *job, int32_t worker)
{
    for (uint32_t i = 0; i < job->suspect_worker_count; i++) {
        if (job->suspect_workers[i] == worker) {
            job->suspect_workers[i] =
                job->suspect_workers[--job->suspect_worker_count];
            return;
        }
    }
}

static void
quarantine_worker(nm_shard_state_t *state, int32_t worker_index,
                  nm_ms_t now_ms)
{
    nm_shard_worker_state_t *worker = state->workers->pdata[worker_index];
    worker->quarantined_until_ms =
        now_ms + quarantine_duration(worker->quarantines++);
    worker->failures = 0;
    worker->failed_job_count = 0;
    nm_place_close_worker(&state->place, worker->place_index, true);
    nm_count_reason(NM_REASON_WORKER_FAILING);
    for (uint32_t i = 0; i < state->jobs->len; i++) {
        remove_suspect_worker(state->jobs->pdata[i], worker_index);
    }
}

/*
 * Closes a worker for a time that doubles with each failure, while it is
 * unclear whether the worker or a job causes them.
 */
static void
back_off_worker(nm_shard_state_t *state, nm_shard_worker_state_t *worker,
                nm_ms_t now_ms)
{
    uint32_t doublings = worker->failures < 8 ? worker->failures : 8;
    nm_ms_t until_ms = now_ms + ((nm_ms_t)BACKOFF_BASE_MS << doublings);
    if (until_ms > worker->quarantined_until_ms) {
        worker->quarantined_until_ms = until_ms;
    }
    nm_place_close_worker(&state->place, worker->place_index, true);
}

/* Resets the failures and ends the back-off of workers where a job failed. */
static void
clear_suspect_workers(nm_shard_state_t *state, nm_job_t *job)
{
    for (uint32_t i = 0; i < job->suspect_worker_count; i++) {
        nm_shard_worker_state_t *worker =
            state->workers->pdata[job->suspect_workers[i]];
        worker->failures = 0;
        worker->failed_job_count = 0;
        worker->quarantined_until_ms = 0;
    }
}

static void
record_failure(nm_shard_state_t *state, nm_job_t *job, int32_t worker_index,
               nm_ms_t now_ms)
{
    nm_shard_worker_state_t *worker = state->workers->pdata[worker_index];
    worker->failures++;
    bool listed = false;
    for (uint32_t i = 0; i < worker->failed_job_count; i++) {
        listed = listed || worker->failed_jobs[i] == job->desc.id;
    }
    if (!listed && worker->failed_job_count < NM_SUSPECTS_MAX) {
        worker->failed_jobs[worker->failed_job_count++] = job->desc.id;
    }
    remove_suspect_worker(job, worker_index);
    if (job->suspect_worker_count < NM_SUSPECTS_MAX) {
        job->suspect_workers[job->suspect_worker_count++] = worker_index;
    }
    job->failures++;
    /*
     * The worker is at fault if several jobs fail there, or one that succeeds
     * elsewhere.
     */
    bool several_jobs_failed = worker->failed_job_count >= 2;
    bool job_succeeds_elsewhere =
        job->successes > 0 && job->suspect_worker_count < 2;
    bool probe_failed = worker->quarantines > 0 && worker->failures > 0;
    if ((worker->failures >= WORKER_FAILURES_MAX &&
         (several_jobs_failed || job_succeeds_elsewhere)) ||
        probe_failed)
    {
        quarantine_worker(state, worker_index, now_ms);
        return;
    }
    if (worker->failures >= BACKOFF_FAILURES_MIN) {
        back_off_worker(state, worker, now_ms);
    }
    if (job->suspect_worker_count >= JOB_FAILED_WORKERS_MAX ||
        (state->workers->len < JOB_FAILED_WORKERS_MAX &&
         job->failures >= JOB_FAILURES_MAX && job->successes == 0))
    {
        job->quarantined_until_ms =
            now_ms + quarantine_duration(job->quarantines++);
        job->reason = NM_REASON_JOB_FAILING;
        clear_suspect_workers(state, job);
        nm_count_reason(NM_REASON_JOB_FAILING);
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_JOB_REFUSED, "{s:s,s:s}", "job",
               job->desc.path, "reason", nm_reason_name(job->reason));
    }
}

static void
record_success(nm_shard_state_t *state, nm_job_t *job, int32_t worker_index)
{
    nm_shard_worker_state_t *worker = state->workers->pdata[worker_index];
    worker->failures = 0;
    worker->failed_job_count = 0;
    worker->quarantines = 0;
    job->suspect_worker_count = 0;
    job->successes++;
    job->quarantines = 0;
}

/* Non-current attempts */

static uint64_t
noncurrent_attempt_key(const nm_attempt_id_t *attempt_id)
{
    uint64_t parts[3] = {attempt_id->job, attempt_id->index,
                         (uint64_t)attempt_id->attempt};
    return NM_NONCURRENT_KEY_BIT | nm_hash(parts, sizeof(parts)) >> 1;
}

void
nm_shard_allocate_noncurrent(nm_shard_state_t *state,
                             nm_shard_worker_state_t *worker,
                             const nm_attempt_id_t *attempt_id,
                             const nm_place_task_spec_t *spec, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < worker->noncurrent_attempts->len; i++) {
        if (nm_attempt_equal(&g_array_index(worker->noncurrent_attempts,
                                            nm_attempt_id_t, i),
                             attempt_id))
        {
            return;
        }
    }
    g_array_append_val(worker->noncurrent_attempts, *attempt_id);
    nm_place_allocate(&state->place, worker->place_index,
                      noncurrent_attempt_key(attempt_id), spec, now_ms);
}

void
nm_shard_release_noncurrent(nm_shard_state_t *state,
                            nm_shard_worker_state_t *worker,
                            const nm_sync_reply_t *reply, nm_ms_t now_ms)
{
    for (uint32_t i = worker->noncurrent_attempts->len; i-- > 0;) {
        nm_attempt_id_t attempt_id =
            g_array_index(worker->noncurrent_attempts, nm_attempt_id_t, i);
        bool running = false;
        for (uint32_t j = 0; reply && j < reply->task_count && !running; j++) {
            running = reply->tasks[j].state == NM_REPORT_RUNNING &&
                      nm_attempt_equal(&reply->tasks[j].id, &attempt_id);
        }
        if (!running) {
            nm_place_release(&state->place, worker->place_index,
                             noncurrent_attempt_key(&attempt_id), now_ms);
            g_array_remove_index_fast(worker->noncurrent_attempts, i);
        }
    }
}

/* Replies */

static void
queue_ack(nm_shard_worker_state_t *worker, const nm_attempt_id_t *attempt_id)
{
    g_array_append_val(worker->acks, *attempt_id);
    worker->commands_pending = true;
}

static void
queue_stop_for_reason(nm_shard_worker_state_t *worker,
                      const nm_attempt_id_t *attempt_id, nm_reason_t reason)
{
    nm_shard_queue_stop(worker, attempt_id, false);
    nm_count_reason(reason);
}

/* Stops the current attempt, which keeps its room until it has ended. */
static void
supersede_attempt(nm_shard_state_t *state, uint32_t position, uint32_t index,
                  nm_ms_t now_ms)
{
    nm_job_t *job = state->jobs->pdata[position];
    nm_task_t *task = &job->tasks[index];
    if (task->worker < 0) {
        return;
    }
    nm_shard_worker_state_t *worker = state->workers->pdata[task->worker];
    nm_attempt_id_t attempt_id = {job->desc.id, index, task->attempt};
    nm_place_task_spec_t spec = nm_shard_task_spec(job);
    nm_shard_stop_task(state, position, index, false,
                       NM_REASON_EVICT_DUPLICATE);
    if (task->worker >= 0) {
        nm_shard_unassign(state, position, index, now_ms);
        nm_shard_allocate_noncurrent(state, worker, &attempt_id, &spec,
                                     now_ms);
    }
}

/*
 * Ends a task of which an older attempt was reported done while the start of
 * the current one was on its way.  The report may not come again: its worker
 * may be lost.
 */
static bool
apply_deferred_end(nm_shard_state_t *state, uint32_t position, uint32_t index,
                   nm_ms_t now_ms)
{
    nm_job_t *job = state->jobs->pdata[position];
    nm_task_t *task = &job->tasks[index];
    if (task->state != NM_TASK_RUNNING || job->desc.long_lived ||
        task->deferred_attempt <= task->ended_attempt ||
        task->deferred_state != NM_REPORT_DONE)
    {
        return false;
    }
    record_success(state, job, task->deferred_worker);
    supersede_attempt(state, position, index, now_ms);
    nm_shard_handle_lost_attempt(state, job, index);
    return true;
}

static void
process_running_report(nm_shard_state_t *state, int32_t worker_index,
                       uint32_t position, const nm_task_report_t *report,
                       nm_ms_t now_ms)
{
    nm_shard_worker_state_t *worker = state->workers->pdata[worker_index];
    nm_job_t *job = state->jobs->pdata[position];
    nm_task_t *task = &job->tasks[report->id.index];
    if (task->state == NM_TASK_RECORDING && task->outcome != NM_REPORT_DONE &&
        report->id.attempt > task->attempt)
    {
        /* The outcome being written belongs to an older attempt. */
        nm_shard_set_task_state(job, report->id.index, NM_TASK_LEASE_WAIT);
    }
    bool has_attempt = task->state == NM_TASK_RUNNING ||
                       task->state == NM_TASK_ENDING ||
                       task->state == NM_TASK_RECORDING;
    if (has_attempt && task->attempt == report->id.attempt) {
        task->confirmed = true;
        if (apply_deferred_end(state, position, report->id.index, now_ms)) {
            return;
        }
        task->deferred_attempt = 0;
        if (report->usage.cpu_milli > 0) {
            nm_place_observe_usage(&state->place, job->desc.class_id,
                                   &report->usage);
        }
        if (task->state == NM_TASK_ENDING) {
            /* The stop may have been lost; it is idempotent and sent again. */
            nm_shard_queue_stop(worker, &report->id, task->stop_checkpoint);
        }
        return;
    }
    if (task->state == NM_TASK_DONE || has_attempt || job->removed) {
        nm_place_task_spec_t spec = nm_shard_task_spec(job);
        nm_shard_allocate_noncurrent(state, worker, &report->id, &spec,
                                     now_ms);
        queue_stop_for_reason(worker, &report->id,
                              job->removed ? NM_REASON_EVICT_CANCELLED
                                           : NM_REASON_EVICT_DUPLICATE);
        return;
    }
    /* An earlier owner started this attempt: take it over. */
    if (task->queued) {
        g_queue_remove(&job->waiting, GUINT_TO_POINTER(report->id.index));
        task->queued = false;
    }
    nm_shard_assign(state, position, report->id.index, worker_index,
                    report->id.attempt, now_ms);
    task->start_sequence = worker->sequence;
    task->confirmed = true;
}

static void
process_outcome_report(nm_shard_state_t *state, int32_t worker_index,
                       uint32_t position, const nm_task_report_t *report,
                       nm_ms_t now_ms)
{
    nm_shard_worker_state_t *worker = state->workers->pdata[worker_index];
    nm_job_t *job = state->jobs->pdata[position];
    uint32_t task_index = report->id.index;
    nm_task_t *task = &job->tasks[task_index];
    if (task->state == NM_TASK_RECORDING &&
        task->attempt == report->id.attempt) {
        return;
    }
    if (task->state == NM_TASK_RECORDING && report->id.attempt > task->attempt)
    {
        /* Processed when reported again after the older outcome is written. */
        return;
    }
    bool current = task->attempt == report->id.attempt;
    bool unassigned =
        task->state == NM_TASK_WAITING || task->state == NM_TASK_LEASE_WAIT;
    bool recorded =
        task->state == NM_TASK_DONE ||
        (report->id.attempt <= task->ended_attempt &&
         (report->state != NM_REPORT_DONE || job->desc.long_lived));
    if (!recorded && !unassigned && !current &&
        task->state == NM_TASK_RUNNING && task->start_sequence == 0)
    {
        /* The start of the current attempt was not sent yet: cancel it. */
        nm_shard_stop_task(state, position, task_index, false,
                           NM_REASON_EVICT_DUPLICATE);
        unassigned = task->state == NM_TASK_WAITING ||
                     task->state == NM_TASK_LEASE_WAIT;
    }
    if (!recorded && !unassigned && !current && !task->confirmed &&
        task->state == NM_TASK_RUNNING)
    {
        /* If the current attempt has not started, this outcome will apply. */
        nm_shard_defer_outcome(task, report, worker_index);
        return;
    }
    if (recorded ||
        (!unassigned && !current && report->state != NM_REPORT_DONE)) {
        queue_ack(worker, &report->id);
        return;
    }
    if (!unassigned && !current) {
        /* An older attempt completed the task: stop the newer one. */
        supersede_attempt(state, position, task_index, now_ms);
    }
    if (task->queued) {
        g_queue_remove(&job->waiting, GUINT_TO_POINTER(task_index));
        task->queued = false;
    }
    if (report->state == NM_REPORT_FAILED) {
        task->failures++;
        record_failure(state, job, worker_index, now_ms);
    }
    else if (report->state == NM_REPORT_DONE) {
        record_success(state, job, worker_index);
    }
    nm_shard_unassign(state, position, task_index, now_ms);
    task->attempt = report->id.attempt;
    task->ended_attempt = MAX(task->ended_attempt, report->id.attempt);
    task->outcome = report->state;
    if (report->state == NM_REPORT_CHECKPOINTED) {
        task->checkpoint = report->checkpoint;
    }
    nm_shard_set_task_state(job, task_index, NM_TASK_RECORDING);
    /* The outcome is acknowledged once the journal holds it. */
    task->outcome_worker = worker_index;
    nm_shard_mark_dirty(job, task_index);
    nm_log(NM_LOG_DEBUG, NM_LOG_ITEM_TASK_ENDED, "{s:s,s:i,s:i}", "job",
           job->desc.path, "index", (int)task_index, "state",
           (int)report->state);
}

/* Reschedules tasks whose attempt the worker should report but does not. */
static void
reschedule_missing_attempts(nm_shard_state_t *state,
                            nm_shard_worker_state_t *worker,
                            const nm_sync_reply_t *reply, uint64_t sequence,
                            nm_ms_t now_ms)
{
    for (uint32_t i = worker->tasks->len; i-- > 0;) {
        uint64_t key = g_array_index(worker->tasks, uint64_t, i);
        uint32_t position = (uint32_t)(key >> 32);
        uint32_t index = (uint32_t)key;
        nm_job_t *job = state->jobs->pdata[position];
        nm_task_t *task = &job->tasks[index];
        if (task->start_sequence == 0 || task->start_sequence > sequence) {
            continue;
        }
        bool reported = false;
        for (uint32_t j = 0; j < reply->task_count && !reported; j++) {
            const nm_attempt_id_t *attempt_id = &reply->tasks[j].id;
            reported = attempt_id->job == job->desc.id &&
                       attempt_id->index == index &&
                       attempt_id->attempt == task->attempt;
        }
        if (reported) {
            continue;
        }
        nm_count_reason(task->start_sequence == sequence
                            ? NM_REASON_START_REFUSED
                            : NM_REASON_LEASE_LAPSED);
        nm_shard_unassign(state, position, index, now_ms);
        nm_shard_handle_lost_attempt(state, job, index);
    }
}

static void
process_reports(nm_shard_state_t *state, int32_t worker_index,
                const nm_sync_reply_t *reply, nm_ms_t now_ms)
{
    nm_shard_worker_state_t *worker = state->workers->pdata[worker_index];
    for (uint32_t i = 0; i < reply->task_count; i++) {
        const nm_task_report_t *report = &reply->tasks[i];
        uint32_t position;
        nm_job_t *job = nm_shard_find_job(state, report->id.job, &position);
        bool running = report->state == NM_REPORT_RUNNING;
        if (!job || report->id.index >= job->desc.tasks) {
            /*
             * Before the settings arrive, an unknown job may still be
             * declared.
             */
            if (state->jobs_configured && state->phase == NM_SHARD_ACTIVE) {
                if (running) {
                    nm_place_task_spec_t spec = {
                        .class_id = report->id.job,
                        .job = report->id.job,
                        .declared = report->usage,
                    };
                    nm_shard_allocate_noncurrent(state, worker, &report->id,
                                                 &spec, now_ms);
                    queue_stop_for_reason(worker, &report->id,
                                          NM_REASON_EVICT_CANCELLED);
                }
                else {
                    queue_ack(worker, &report->id);
                }
            }
        }
        else if (running) {
            process_running_report(state, worker_index, position, report,
                                   now_ms);
        }
        else if (state->phase == NM_SHARD_ACTIVE) {
            process_outcome_report(state, worker_index, position, report,
                                   now_ms);
        }
        else if (job->tasks[report->id.index].state == NM_TASK_LEASE_WAIT) {
            /*
             * The journal is not loaded yet and may already hold this outcome.
             */
            nm_shard_defer_outcome(&job->tasks[report->id.index], report,
                                   worker_index);
        }
    }
    for (uint32_t i = 0; i < reply->service_count; i++) {
        const nm_service_report_t *service = &reply->services[i];
        nm_place_sample_t sample = {
            .measured_ms = now_ms - service->age_ms,
            .load = service->load,
            .slowdown = service->slowdown,
        };
        nm_place_observe_service(&state->place, worker->place_index, &sample,
                                 now_ms);
    }
}

void
nm_shard_sync_reply(nm_shard_t *shard, uint64_t worker_id, uint64_t sequence,
                    const nm_sync_reply_t *reply, nm_ms_t now_ms)
{
    assert(shard && reply);
    nm_shard_state_t *state = shard->state;
    int32_t worker_index;
    nm_shard_worker_state_t *worker =
        nm_shard_find_worker(state, worker_id, &worker_index);
    if (!worker || !worker->outstanding || worker->sequence != sequence) {
        return;
    }
    worker->outstanding = false;
    state->now_ms = now_ms;
    nm_count(NM_COUNTER_SYNCS, 1);
    nm_shard_observe_epoch(shard, reply->epoch);
    if (!reply->accepted) {
        if (reply->epoch > state->epoch ||
            (reply->epoch == state->epoch && worker->acked_epoch == 0))
        {
            /* Another owner has a higher epoch, or took the same one. */
            nm_shard_resign(shard);
        }
        return;
    }
    worker->acked_epoch = state->epoch;
    if (reply->previous_epoch > state->previous_epoch) {
        state->previous_epoch = reply->previous_epoch;
    }
    worker->acked_sent_ms = worker->sent_ms;
    worker->clock_ms = reply->clock_ms;
    worker->reported_ms = now_ms;
    worker->leases_expired = false;
    bool quarantined = now_ms < worker->quarantined_until_ms;
    /* After a quarantine one task at a time runs, until one succeeds. */
    bool probing = worker->quarantines > 0 && worker->tasks->len > 0;
    nm_place_close_worker(&state->place, worker->place_index,
                          worker->desc.leaving || quarantined || probing);
    process_reports(state, worker_index, reply, now_ms);
    reschedule_missing_attempts(state, worker, reply, sequence, now_ms);
    nm_shard_release_noncurrent(state, worker, reply, now_ms);
    nm_place_check_memory(&state->place, worker->place_index, now_ms);
}

void
nm_shard_sync_failed(nm_shard_t *shard, uint64_t worker_id, uint64_t sequence,
                     nm_ms_t now_ms)
{
    assert(shard);
    (void)now_ms;
    nm_shard_worker_state_t *worker =
        nm_shard_find_worker(shard->state, worker_id, NULL);
    if (!worker || !worker->outstanding || worker->sequence != sequence) {
        return;
    }
    worker->outstanding = false;
    worker->failed_sent_ms = worker->sent_ms;
    nm_count(NM_COUNTER_SYNC_ERRORS, 1);
    nm_place_close_worker(&shard->state->place, worker->place_index, true);
    /*
     * Commands other than starts are idempotent and are sent again.  The next
     * report shows whether a start arrived.
     */
    g_array_append_vals(worker->stops, worker->sent_stops->data,
                        worker->sent_stops->len);
    g_array_append_vals(worker->acks, worker->sent_acks->data,
                        worker->sent_acks->len);
    g_array_append_vals(worker->throttles, worker->sent_throttles->data,
                        worker->sent_throttles->len);
}
