#include "shard_state.h"

#include <assert.h>
#include <stdlib.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

/* Minimum time between two counts of the majority. */
#define AUTHORITY_CHECK_INTERVAL_MS 20
/*
 * Removed workers count for the majority for this long: by then an authority
 * that relied on them and the leases renewed under it have ended.
 */
#define REMOVED_MAJORITY_MS (NM_SHARD_AUTHORITY_MS + NM_SHARD_LEASE_MS)
/* By then the leases of a removed worker, which nobody calls, have ended. */
#define REMOVED_LEASE_MS                                                      \
    (NM_SHARD_AUTHORITY_MS + NM_SHARD_LEASE_MS +                              \
     NM_SHARD_CLOCK_DRIFT_MARGIN_MS)

static const char *const phase_names[] = {"follower", "fencing", "loading",
                                          "active"};

const char *
nm_shard_phase_name(nm_shard_phase_t phase)
{
    return phase_names[phase];
}

static void
become_follower(nm_shard_state_t *state)
{
    if (state->phase != NM_SHARD_FOLLOWER) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_LOST, "{s:I}", "epoch",
               (json_int_t)state->epoch);
    }
    state->phase = NM_SHARD_FOLLOWER;
}

/* Clears all assignments; the workers' reports restore them. */
static void
clear_assignments(nm_shard_state_t *state, nm_ms_t now_ms)
{
    for (uint32_t j = 0; j < state->jobs->len; j++) {
        nm_job_t *job = state->jobs->pdata[j];
        g_queue_clear(&job->waiting);
        job->accepted_recorded = false;
        job->accepted_unix_s = 0;
        for (uint32_t i = 0; i < job->desc.tasks; i++) {
            nm_task_t *task = &job->tasks[i];
            nm_shard_unassign(state, j, i, now_ms);
            task->queued = false;
            task->in_record = false;
            task->dirty = false;
            task->attempt = 0;
            task->deferred_attempt = 0;
            task->ended_attempt = 0;
            nm_shard_set_task_state(job, i, NM_TASK_LEASE_WAIT);
        }
        job->in_record = false;
        job->dirty = false;
    }
    for (uint32_t i = 0; i < state->workers->len; i++) {
        nm_shard_worker_state_t *worker = state->workers->pdata[i];
        g_array_set_size(worker->starts, 0);
        g_array_set_size(worker->stops, 0);
        g_array_set_size(worker->throttles, 0);
        g_array_set_size(worker->acks, 0);
        nm_shard_release_noncurrent(state, worker, NULL, now_ms);
        worker->outstanding = false;
        worker->acked_epoch = 0;
        worker->reported_ms = 0;
        worker->failed_sent_ms = 0;
        worker->clock_ms = 0;
        worker->leases_expired = false;
        worker->due_ms = now_ms;
        nm_place_close_worker(&state->place, worker->place_index, true);
    }
    state->record_pending = false;
    g_hash_table_remove_all(state->recorded_jobs);
}

void
nm_shard_campaign(nm_shard_t *shard, nm_ms_t now_ms)
{
    assert(shard);
    nm_shard_state_t *state = shard->state;
    clear_assignments(state, now_ms);
    state->epoch = ++state->highest_epoch;
    state->authority_checked_ms = 0;
    state->authority_until_ms = 0;
    state->had_authority = false;
    state->previous_epoch = 0;
    state->phase = NM_SHARD_FENCING;
    state->takeover_complete = false;
    state->attempt_count = 0;
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_CANDIDATE, "{s:I}", "epoch",
           (json_int_t)state->epoch);
}

void
nm_shard_resign(nm_shard_t *shard)
{
    assert(shard);
    become_follower(shard->state);
}

void
nm_shard_observe_epoch(nm_shard_t *shard, int64_t epoch)
{
    assert(shard);
    nm_shard_state_t *state = shard->state;
    if (epoch > state->highest_epoch) {
        state->highest_epoch = epoch;
    }
}

static bool
counts_for_majority(const nm_shard_worker_state_t *worker, nm_ms_t now_ms)
{
    return !worker->removed ||
           now_ms - worker->removed_ms < REMOVED_MAJORITY_MS;
}

/* Sorts the latest time first. */
static int
compare_times(const void *a, const void *b)
{
    nm_ms_t x = *(const nm_ms_t *)a;
    nm_ms_t y = *(const nm_ms_t *)b;
    return (x < y) - (x > y);
}

/*
 * Computes until when a majority's acknowledgements give authority.  Later
 * acknowledgements can only extend it, so a cached result is safe.
 */
static void
update_authority(nm_shard_state_t *state, nm_ms_t now_ms)
{
    state->authority_checked_ms = now_ms;
    state->authority_until_ms = 0;
    nm_ms_t *acked_ms = g_new(nm_ms_t, state->workers->len + 1);
    uint32_t members = 0;
    uint32_t count = 0;
    for (uint32_t i = 0; i < state->workers->len; i++) {
        const nm_shard_worker_state_t *worker = state->workers->pdata[i];
        if (!counts_for_majority(worker, now_ms)) {
            continue;
        }
        members++;
        if (worker->acked_epoch == state->epoch) {
            acked_ms[count++] = worker->acked_sent_ms;
        }
    }
    uint32_t majority = members / 2 + 1;
    if (members > 0 && count >= majority) {
        qsort(acked_ms, count, sizeof(acked_ms[0]), compare_times);
        state->authority_until_ms =
            acked_ms[majority - 1] + NM_SHARD_AUTHORITY_MS;
    }
    g_free(acked_ms);
}

bool
nm_shard_has_authority(const nm_shard_t *shard, nm_ms_t now_ms)
{
    assert(shard);
    nm_shard_state_t *state = shard->state;
    if (state->phase == NM_SHARD_FOLLOWER) {
        return false;
    }
    if (now_ms >= state->authority_checked_ms + AUTHORITY_CHECK_INTERVAL_MS) {
        update_authority(state, now_ms);
    }
    return now_ms < state->authority_until_ms;
}

bool
nm_shard_all_workers_acked(const nm_shard_state_t *state)
{
    for (uint32_t i = 0; i < state->workers->len; i++) {
        const nm_shard_worker_state_t *worker = state->workers->pdata[i];
        if (!worker->removed && worker->acked_epoch != state->epoch) {
            return false;
        }
    }
    return state->workers->len > 0;
}

static void
end_job_lease_waits(nm_shard_state_t *state, nm_job_t *job)
{
    for (uint32_t i = 0; i < job->desc.tasks; i++) {
        if (job->tasks[i].state == NM_TASK_LEASE_WAIT) {
            nm_shard_set_task_state(job, i, NM_TASK_WAITING);
            if (job->tasks[i].deferred_attempt > 0) {
                nm_shard_handle_lost_attempt(state, job, i);
            }
            else {
                nm_shard_queue_task(state, job, i);
            }
        }
    }
}

/*
 * True if a worker may run tasks of earlier owners.  That it was removed from
 * the list of hosts does not show that its tasks have ended.
 */
static bool
may_hold_leases(const nm_shard_worker_state_t *worker, nm_ms_t now_ms)
{
    return !worker->removed || now_ms - worker->removed_ms < REMOVED_LEASE_MS;
}

/*
 * Returns true if every worker has replied to a sync sent after the journal
 * was loaded.  Outcomes reported before that were deferred or ignored.
 */
static bool
all_workers_reported(const nm_shard_state_t *state, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < state->workers->len; i++) {
        const nm_shard_worker_state_t *worker = state->workers->pdata[i];
        if (may_hold_leases(worker, now_ms) &&
            (worker->acked_epoch != state->epoch ||
             worker->acked_sent_ms < state->active_since_ms))
        {
            return false;
        }
    }
    return state->workers->len > 0;
}

/*
 * True if a worker did not respond while the owner had a majority.  Without a
 * majority it is the owner that was cut off, late or stopped: the silence of a
 * worker shows nothing, and it may report ends of tasks as soon as it is
 * called again.
 */
static bool
is_unresponsive(const nm_shard_state_t *state,
                const nm_shard_worker_state_t *worker)
{
    return worker->removed ||
           (state->had_authority &&
            worker->failed_sent_ms >= state->authority_since_ms);
}

/*
 * True if all leases of earlier owners have ended, and each worker has
 * reported or is unresponsive.  Another one may still report ends of tasks.
 */
static bool
earlier_leases_ended(const nm_shard_state_t *state, nm_ms_t now_ms)
{
    if (now_ms < state->earlier_leases_end_ms) {
        return false;
    }
    for (uint32_t i = 0; i < state->workers->len; i++) {
        const nm_shard_worker_state_t *worker = state->workers->pdata[i];
        if (worker->acked_epoch != state->epoch &&
            !is_unresponsive(state, worker)) {
            return false;
        }
    }
    return true;
}

void
nm_shard_end_lease_waits(nm_shard_state_t *state)
{
    for (uint32_t i = 0; i < state->jobs->len; i++) {
        end_job_lease_waits(state, state->jobs->pdata[i]);
    }
}

void
nm_shard_journal_loaded(nm_shard_t *shard, nm_ms_t now_ms)
{
    assert(shard);
    nm_shard_state_t *state = shard->state;
    if (state->phase != NM_SHARD_LOADING) {
        return;
    }
    state->phase = NM_SHARD_ACTIVE;
    state->needs_scheduling = true;
    state->active_since_ms = now_ms;
    for (uint32_t i = 0; i < state->workers->len; i++) {
        ((nm_shard_worker_state_t *)state->workers->pdata[i])->due_ms = now_ms;
    }
    for (uint32_t i = 0; i < state->jobs->len; i++) {
        nm_job_t *job = state->jobs->pdata[i];
        nm_shard_apply_recorded_job(state, job);
        if (job->accepted_unix_s == 0) {
            /* A job that the journal does not hold was never started. */
            end_job_lease_waits(state, job);
        }
    }
    nm_count(NM_COUNTER_TAKEOVERS, 1);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_ACTIVE, "{s:I}", "epoch",
           (json_int_t)state->epoch);
}

/*
 * Reschedules the tasks of workers that have been unresponsive for the lease
 * term and the clock drift margin.
 */
static void
expire_worker_leases(nm_shard_state_t *state, nm_ms_t now_ms)
{
    for (uint32_t w = 0; w < state->workers->len; w++) {
        nm_shard_worker_state_t *worker = state->workers->pdata[w];
        if (worker->leases_expired || worker->reported_ms == 0 ||
            !nm_shard_leases_ended(worker, now_ms) ||
            !is_unresponsive(state, worker))
        {
            continue;
        }
        worker->leases_expired = true;
        nm_place_close_worker(&state->place, worker->place_index, true);
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_WORKER_LOST, "{s:s,s:i}", "address",
               worker->desc.address, "tasks", (int)worker->tasks->len);
        g_array_set_size(worker->starts, 0);
        g_array_set_size(worker->stops, 0);
        g_array_set_size(worker->throttles, 0);
        nm_shard_release_noncurrent(state, worker, NULL, now_ms);
        while (worker->tasks->len > 0) {
            uint64_t key = g_array_index(worker->tasks, uint64_t, 0);
            nm_job_t *job = state->jobs->pdata[key >> 32];
            uint32_t index = (uint32_t)key;
            nm_shard_unassign(state, (uint32_t)(key >> 32), index, now_ms);
            nm_shard_handle_lost_attempt(state, job, index);
            nm_count_reason(NM_REASON_LEASE_LAPSED);
        }
    }
}

/* Places nothing on workers that are slow to reply. */
static void
close_slow_workers(nm_shard_state_t *state, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < state->workers->len; i++) {
        const nm_shard_worker_state_t *worker = state->workers->pdata[i];
        if (worker->outstanding &&
            now_ms - worker->sent_ms >= NM_SHARD_SYNC_SLOW_MS) {
            nm_place_close_worker(&state->place, worker->place_index, true);
        }
    }
}

static void
apply_place_actions(nm_shard_state_t *state)
{
    nm_place_action_t action;
    while (nm_place_next_action(&state->place, &action)) {
        if (action.task & NM_NONCURRENT_KEY_BIT) {
            /* A stop is already queued for a non-current attempt. */
            continue;
        }
        uint32_t position = (uint32_t)(action.task >> 32);
        uint32_t index = (uint32_t)action.task;
        nm_job_t *job = state->jobs->pdata[position];
        nm_task_t *task = &job->tasks[index];
        if (task->state != NM_TASK_RUNNING) {
            continue;
        }
        if (action.type == NM_PLACE_ACTION_EVICT) {
            nm_shard_stop_task(state, position, index, true, action.reason);
            continue;
        }
        nm_shard_worker_state_t *worker = state->workers->pdata[task->worker];
        nm_throttle_t throttle = {
            .id = {job->desc.id, index, task->attempt},
            .throttle_pct = action.throttle_pct,
        };
        g_array_append_val(worker->throttles, throttle);
        worker->commands_pending = true;
        nm_count(NM_COUNTER_THROTTLES, 1);
    }
}

void
nm_shard_tick(nm_shard_t *shard, nm_ms_t now_ms, int64_t unix_s)
{
    assert(shard);
    nm_shard_state_t *state = shard->state;
    state->now_ms = now_ms;
    state->unix_s = unix_s;
    if (state->phase == NM_SHARD_FOLLOWER) {
        return;
    }
    bool authority = nm_shard_has_authority(shard, now_ms);
    if (authority && !state->had_authority) {
        state->authority_since_ms = now_ms;
    }
    state->had_authority = authority;
    if (state->phase == NM_SHARD_FENCING && authority) {
        state->phase = NM_SHARD_LOADING;
        /* An earlier owner may renew leases until its authority ends. */
        state->earlier_leases_end_ms = now_ms + NM_SHARD_AUTHORITY_MS +
                                       NM_SHARD_LEASE_MS +
                                       NM_SHARD_CLOCK_DRIFT_MARGIN_MS;
    }
    if (state->phase != NM_SHARD_ACTIVE) {
        return;
    }
    if (!state->takeover_complete && (all_workers_reported(state, now_ms) ||
                                      earlier_leases_ended(state, now_ms)))
    {
        state->takeover_complete = true;
        nm_shard_end_lease_waits(state);
    }
    expire_worker_leases(state, now_ms);
    close_slow_workers(state, now_ms);
    apply_place_actions(state);
    if (authority) {
        nm_shard_schedule(state, now_ms);
    }
}
