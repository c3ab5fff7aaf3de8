#include "shard_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

#define DEFAULT_SYNC_INTERVAL_MS 500

static void
free_worker(void *data)
{
    nm_shard_worker_state_t *worker = data;
    GArray *arrays[] = {worker->starts,         worker->stops,
                        worker->throttles,      worker->acks,
                        worker->sent_starts,    worker->sent_stops,
                        worker->sent_throttles, worker->sent_acks,
                        worker->tasks,          worker->noncurrent_attempts};
    for (size_t i = 0; i < NM_COUNT_OF(arrays); i++) {
        g_array_free(arrays[i], TRUE);
    }
    g_free(worker);
}

static void
free_job(void *data)
{
    nm_job_t *job = data;
    g_free(job->tasks);
    g_queue_clear(&job->waiting);
    g_free(job);
}

void
nm_shard_init(nm_shard_t *shard, const nm_shard_desc_t *desc)
{
    assert(shard && desc && desc->owner_id != 0);
    nm_shard_state_t *state = g_new0(nm_shard_state_t, 1);
    state->owner_id = desc->owner_id;
    state->sync_interval_ms = desc->sync_interval_ms
                                  ? desc->sync_interval_ms
                                  : DEFAULT_SYNC_INTERVAL_MS;
    state->workers = g_ptr_array_new_with_free_func(free_worker);
    state->worker_ids = g_hash_table_new(g_direct_hash, g_direct_equal);
    state->jobs = g_ptr_array_new_with_free_func(free_job);
    state->job_ids = g_hash_table_new(g_direct_hash, g_direct_equal);
    state->teams =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    state->recorded_jobs = g_hash_table_new_full(g_direct_hash, g_direct_equal,
                                                 NULL, nm_recorded_job_free);
    nm_place_init(&state->place, &(nm_place_desc_t){
                                     .seed = desc->seed,
                                     .policy = desc->policy,
                                 });
    shard->state = state;
}

void
nm_shard_finish(nm_shard_t *shard)
{
    assert(shard && shard->state);
    nm_shard_state_t *state = shard->state;
    g_ptr_array_free(state->workers, TRUE);
    g_hash_table_unref(state->worker_ids);
    g_ptr_array_free(state->jobs, TRUE);
    g_hash_table_unref(state->job_ids);
    g_hash_table_unref(state->teams);
    g_hash_table_unref(state->recorded_jobs);
    nm_place_finish(&state->place);
    g_free(state);
    shard->state = NULL;
}

/* Lookup */

nm_job_t *
nm_shard_find_job(const nm_shard_state_t *state, uint64_t id,
                  uint32_t *position)
{
    void *entry = g_hash_table_lookup(state->job_ids, (void *)(uintptr_t)id);
    if (!entry) {
        return NULL;
    }
    uint32_t found_position = GPOINTER_TO_UINT(entry) - 1;
    if (position) {
        *position = found_position;
    }
    return state->jobs->pdata[found_position];
}

nm_shard_worker_state_t *
nm_shard_find_worker(const nm_shard_state_t *state, uint64_t id,
                     int32_t *index)
{
    void *entry =
        g_hash_table_lookup(state->worker_ids, (void *)(uintptr_t)id);
    if (!entry) {
        return NULL;
    }
    int32_t found_index = GPOINTER_TO_INT(entry) - 1;
    if (index) {
        *index = found_index;
    }
    return state->workers->pdata[found_index];
}

/* Workers */

static nm_shard_worker_state_t *
add_worker(nm_shard_state_t *state, uint64_t id)
{
    nm_shard_worker_state_t *worker = g_new0(nm_shard_worker_state_t, 1);
    worker->starts = g_array_new(FALSE, TRUE, sizeof(nm_start_t));
    worker->stops = g_array_new(FALSE, TRUE, sizeof(nm_stop_t));
    worker->throttles = g_array_new(FALSE, TRUE, sizeof(nm_throttle_t));
    worker->acks = g_array_new(FALSE, TRUE, sizeof(nm_attempt_id_t));
    worker->sent_starts = g_array_new(FALSE, TRUE, sizeof(nm_start_t));
    worker->sent_stops = g_array_new(FALSE, TRUE, sizeof(nm_stop_t));
    worker->sent_throttles = g_array_new(FALSE, TRUE, sizeof(nm_throttle_t));
    worker->sent_acks = g_array_new(FALSE, TRUE, sizeof(nm_attempt_id_t));
    worker->tasks = g_array_new(FALSE, TRUE, sizeof(uint64_t));
    worker->noncurrent_attempts =
        g_array_new(FALSE, TRUE, sizeof(nm_attempt_id_t));
    g_ptr_array_add(state->workers, worker);
    g_hash_table_insert(state->worker_ids, (void *)(uintptr_t)id,
                        GINT_TO_POINTER((int)state->workers->len));
    return worker;
}

void
nm_shard_set_worker(nm_shard_t *shard, const nm_shard_worker_t *desc,
                    nm_ms_t now_ms)
{
    assert(shard && desc && desc->id != 0);
    nm_shard_state_t *state = shard->state;
    nm_shard_worker_state_t *worker =
        nm_shard_find_worker(state, desc->id, NULL);
    if (!worker) {
        worker = add_worker(state, desc->id);
        state->authority_checked_ms = 0;
        worker->due_ms = now_ms;
    }
    bool was_leaving = worker->desc.leaving;
    worker->desc = *desc;
    worker->listed = true;
    worker->removed = false;
    worker->place_index = nm_place_set_worker(
        &state->place, &(nm_place_worker_t){
                           .id = desc->id,
                           .rack = desc->rack,
                           .capacity = desc->capacity,
                           .service = desc->service,
                           .executor = desc->executor,
                           /* Closed until its next report. */
                           .closed = true,
                       });
    state->needs_scheduling = true;
    if (!desc->leaving || was_leaving) {
        return;
    }
    for (uint32_t i = 0; i < worker->tasks->len; i++) {
        uint64_t key = g_array_index(worker->tasks, uint64_t, i);
        nm_shard_stop_task(state, (uint32_t)(key >> 32), (uint32_t)key, true,
                           NM_REASON_EVICT_LEAVING);
    }
}

void
nm_shard_sweep_workers(nm_shard_t *shard, nm_ms_t now_ms)
{
    assert(shard);
    nm_shard_state_t *state = shard->state;
    for (uint32_t i = 0; i < state->workers->len; i++) {
        nm_shard_worker_state_t *worker = state->workers->pdata[i];
        if (!worker->listed && !worker->removed) {
            worker->removed = true;
            worker->removed_ms = now_ms;
            nm_place_close_worker(&state->place, worker->place_index, true);
        }
        worker->listed = false;
    }
}

/* Jobs and teams */

void
nm_shard_set_team(nm_shard_t *shard, const nm_shard_team_t *desc)
{
    assert(shard && desc);
    void *key = (void *)(uintptr_t)desc->id;
    nm_team_t *team = g_hash_table_lookup(shard->state->teams, key);
    if (!team) {
        team = g_new0(nm_team_t, 1);
        g_hash_table_insert(shard->state->teams, key, team);
    }
    team->desc = *desc;
    shard->state->needs_scheduling = true;
}

void
nm_shard_set_weight(nm_shard_t *shard, uint32_t weight_latency_pct)
{
    assert(shard);
    nm_place_set_weight(&shard->state->place, weight_latency_pct);
}

static void
resize_tasks(nm_shard_state_t *state, nm_job_t *job, uint32_t old_count,
             uint32_t count)
{
    job->tasks = g_renew(nm_task_t, job->tasks, count);
    for (uint32_t i = old_count; i < count; i++) {
        job->tasks[i] = (nm_task_t){.worker = -1};
        job->counts[NM_TASK_WAITING]++;
        nm_shard_queue_task(state, job, i);
    }
}

void
nm_shard_set_job(nm_shard_t *shard, const nm_shard_job_t *desc)
{
    assert(shard && desc && desc->id != 0 && desc->tasks > 0);
    nm_shard_state_t *state = shard->state;
    nm_job_t *job = nm_shard_find_job(state, desc->id, NULL);
    uint32_t old_count = 0;
    if (!job) {
        job = g_new0(nm_job_t, 1);
        g_queue_init(&job->waiting);
        g_ptr_array_add(state->jobs, job);
        g_hash_table_insert(state->job_ids, (void *)(uintptr_t)desc->id,
                            GUINT_TO_POINTER(state->jobs->len));
    }
    else {
        old_count = job->desc.tasks;
    }
    uint32_t tasks = desc->tasks > old_count ? desc->tasks : old_count;
    job->desc = *desc;
    job->desc.tasks = tasks;
    job->listed = true;
    if (job->removed) {
        /* A removed job that is declared again starts over. */
        job->removed = false;
        job->accepted_unix_s = 0;
        job->accepted_recorded = false;
        for (uint32_t i = 0; i < old_count; i++) {
            nm_task_t *task = &job->tasks[i];
            task->checkpoint = 0;
            if (task->state == NM_TASK_DONE) {
                nm_shard_set_task_state(job, i, NM_TASK_WAITING);
            }
            if (task->state == NM_TASK_WAITING) {
                nm_shard_queue_task(state, job, i);
            }
        }
    }
    resize_tasks(state, job, old_count, tasks);
    nm_shard_apply_recorded_job(state, job);
    state->needs_scheduling = true;
    state->jobs_configured = true;
}

static void
cancel_job(nm_shard_state_t *state, uint32_t position)
{
    nm_job_t *job = state->jobs->pdata[position];
    job->removed = true;
    job->dirty = true;
    g_queue_clear(&job->waiting);
    for (uint32_t i = 0; i < job->desc.tasks; i++) {
        nm_task_t *task = &job->tasks[i];
        task->queued = false;
        if (task->state == NM_TASK_RUNNING) {
            nm_shard_stop_task(state, position, i, false,
                               NM_REASON_EVICT_CANCELLED);
        }
    }
}

void
nm_shard_sweep_jobs(nm_shard_t *shard, nm_ms_t now_ms)
{
    assert(shard);
    (void)now_ms;
    nm_shard_state_t *state = shard->state;
    state->jobs_configured = true;
    for (uint32_t i = 0; i < state->jobs->len; i++) {
        nm_job_t *job = state->jobs->pdata[i];
        if (!job->listed && !job->removed) {
            cancel_job(state, i);
        }
        job->listed = false;
    }
}

/* Tasks */

nm_place_task_spec_t
nm_shard_task_spec(const nm_job_t *job)
{
    return (nm_place_task_spec_t){
        .class_id = job->desc.class_id,
        .job = job->desc.id,
        .declared = job->desc.declared,
        .priority = job->desc.priority,
        .urgent = job->desc.priority >= NM_URGENT_PRIORITY_MIN,
    };
}

void
nm_shard_mark_dirty(nm_job_t *job, uint32_t index)
{
    job->tasks[index].dirty = true;
    job->dirty = true;
}

void
nm_shard_set_task_state(nm_job_t *job, uint32_t index, nm_task_state_t next)
{
    nm_task_t *task = &job->tasks[index];
    job->counts[task->state]--;
    task->state = next;
    job->counts[next]++;
}

void
nm_shard_queue_task(nm_shard_state_t *state, nm_job_t *job, uint32_t index)
{
    nm_task_t *task = &job->tasks[index];
    if (!task->queued && !job->removed) {
        task->queued = true;
        g_queue_push_tail(&job->waiting, GUINT_TO_POINTER(index));
    }
    state->needs_scheduling = true;
}

void
nm_shard_reschedule_task(nm_shard_state_t *state, nm_job_t *job,
                         uint32_t index)
{
    if (!state->takeover_complete) {
        nm_shard_set_task_state(job, index, NM_TASK_LEASE_WAIT);
        return;
    }
    nm_shard_set_task_state(job, index, NM_TASK_WAITING);
    nm_shard_queue_task(state, job, index);
}

void
nm_shard_defer_outcome(nm_task_t *task, const nm_task_report_t *report,
                       int32_t worker)
{
    bool has_result = report->state == NM_REPORT_CHECKPOINTED ||
                      report->state == NM_REPORT_DONE;
    if (has_result && report->id.attempt > task->deferred_attempt) {
        task->deferred_attempt = report->id.attempt;
        task->deferred_checkpoint = report->checkpoint;
        task->deferred_state = report->state;
        task->deferred_worker = worker;
    }
}

void
nm_shard_handle_lost_attempt(nm_shard_state_t *state, nm_job_t *job,
                             uint32_t index)
{
    nm_task_t *task = &job->tasks[index];
    if (task->deferred_attempt > task->ended_attempt) {
        task->attempt = task->deferred_attempt;
        task->ended_attempt = MAX(task->ended_attempt, task->deferred_attempt);
        task->outcome = task->deferred_state;
        if (task->deferred_state == NM_REPORT_CHECKPOINTED) {
            task->checkpoint = task->deferred_checkpoint;
        }
        task->outcome_worker = task->deferred_worker;
        task->deferred_attempt = 0;
        nm_shard_set_task_state(job, index, NM_TASK_RECORDING);
        nm_shard_mark_dirty(job, index);
        return;
    }
    nm_shard_reschedule_task(state, job, index);
}

static void
charge_team(nm_shard_state_t *state, const nm_job_t *job, int sign)
{
    nm_team_t *team =
        g_hash_table_lookup(state->teams, (void *)(uintptr_t)job->desc.team);
    if (team) {
        team->used.cpu_milli += sign * job->desc.declared.cpu_milli;
        team->used.memory_mb += sign * job->desc.declared.memory_mb;
        team->used.accelerators += sign * job->desc.declared.accelerators;
    }
}

void
nm_shard_assign(nm_shard_state_t *state, uint32_t position, uint32_t index,
                int32_t worker_index, int64_t attempt, nm_ms_t now_ms)
{
    nm_job_t *job = state->jobs->pdata[position];
    nm_shard_worker_state_t *worker = state->workers->pdata[worker_index];
    nm_task_t *task = &job->tasks[index];
    uint64_t key = nm_task_key(position, index);
    nm_place_task_spec_t spec = nm_shard_task_spec(job);
    task->worker = worker_index;
    task->attempt = attempt;
    task->start_sequence = 0;
    task->confirmed = false;
    task->deferred_attempt = 0;
    nm_shard_set_task_state(job, index, NM_TASK_RUNNING);
    nm_place_allocate(&state->place, worker->place_index, key, &spec, now_ms);
    g_array_append_val(worker->tasks, key);
    charge_team(state, job, 1);
}

void
nm_shard_unassign(nm_shard_state_t *state, uint32_t position, uint32_t index,
                  nm_ms_t now_ms)
{
    nm_job_t *job = state->jobs->pdata[position];
    nm_task_t *task = &job->tasks[index];
    if (task->worker < 0) {
        return;
    }
    nm_shard_worker_state_t *worker = state->workers->pdata[task->worker];
    uint64_t key = nm_task_key(position, index);
    nm_place_release(&state->place, worker->place_index, key, now_ms);
    for (uint32_t i = 0; i < worker->tasks->len; i++) {
        if (g_array_index(worker->tasks, uint64_t, i) == key) {
            g_array_remove_index_fast(worker->tasks, i);
            break;
        }
    }
    task->worker = -1;
    charge_team(state, job, -1);
    state->needs_scheduling = true;
}

/* Cancels a start that was not sent yet; returns false if there is none. */
static bool
drop_unsent_start(nm_shard_worker_state_t *worker,
                  const nm_attempt_id_t *attempt_id)
{
    for (uint32_t i = 0; i < worker->starts->len; i++) {
        const nm_start_t *start =
            &g_array_index(worker->starts, nm_start_t, i);
        if (nm_attempt_equal(&start->id, attempt_id)) {
            g_array_remove_index(worker->starts, i);
            return true;
        }
    }
    return false;
}

void
nm_shard_queue_stop(nm_shard_worker_state_t *worker,
                    const nm_attempt_id_t *attempt_id, bool checkpoint)
{
    for (uint32_t i = 0; i < worker->stops->len; i++) {
        if (nm_attempt_equal(&g_array_index(worker->stops, nm_stop_t, i).id,
                             attempt_id))
        {
            return;
        }
    }
    nm_stop_t stop = {.id = *attempt_id, .checkpoint = checkpoint};
    g_array_append_val(worker->stops, stop);
    worker->commands_pending = true;
}

void
nm_shard_stop_task(nm_shard_state_t *state, uint32_t position, uint32_t index,
                   bool checkpoint, nm_reason_t reason)
{
    nm_job_t *job = state->jobs->pdata[position];
    nm_task_t *task = &job->tasks[index];
    if (task->state != NM_TASK_RUNNING) {
        return;
    }
    nm_shard_worker_state_t *worker = state->workers->pdata[task->worker];
    nm_attempt_id_t attempt_id = {job->desc.id, index, task->attempt};
    if (drop_unsent_start(worker, &attempt_id)) {
        nm_shard_unassign(state, position, index, state->now_ms);
        nm_shard_reschedule_task(state, job, index);
        return;
    }
    task->stop_checkpoint = checkpoint;
    nm_shard_queue_stop(worker, &attempt_id, checkpoint);
    nm_shard_set_task_state(job, index, NM_TASK_ENDING);
    nm_count_reason(reason);
    nm_count(NM_COUNTER_EVICTIONS, 1);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_TASK_EVICTED, "{s:s,s:i,s:s}", "job",
           job->desc.path, "index", (int)index, "reason",
           nm_reason_name(reason));
}

/* Queries */

nm_shard_info_t
nm_shard_query(const nm_shard_t *shard, nm_ms_t now_ms)
{
    assert(shard);
    const nm_shard_state_t *state = shard->state;
    nm_shard_info_t info = {
        .phase = state->phase,
        .epoch = state->phase == NM_SHARD_FOLLOWER ? state->highest_epoch
                                                   : state->epoch,
        .authority = nm_shard_has_authority(shard, now_ms),
        .first_owner =
            state->previous_epoch == 0 && nm_shard_all_workers_acked(state),
    };
    for (uint32_t i = 0; i < state->workers->len; i++) {
        const nm_shard_worker_state_t *worker = state->workers->pdata[i];
        info.workers += !worker->removed;
        info.workers_reached += !worker->removed && worker->reported_ms > 0 &&
                                !nm_shard_leases_ended(worker, now_ms);
    }
    for (uint32_t i = 0; i < state->jobs->len; i++) {
        const nm_job_t *job = state->jobs->pdata[i];
        info.jobs += !job->removed;
        for (int s = 0; s < NM_TASK_STATE_COUNT; s++) {
            info.counts[s] += job->counts[s];
        }
    }
    return info;
}

bool
nm_shard_query_job(const nm_shard_t *shard, uint32_t position,
                   nm_shard_job_info_t *info)
{
    assert(shard && info);
    if (position >= shard->state->jobs->len) {
        return false;
    }
    const nm_job_t *job = shard->state->jobs->pdata[position];
    *info = (nm_shard_job_info_t){
        .failures = job->failures,
        .reason = job->reason,
        .long_lived = job->desc.long_lived,
    };
    nm_strcopy(info->path, sizeof(info->path), job->desc.path);
    memcpy(info->counts, job->counts, sizeof(info->counts));
    return true;
}

float
nm_shard_query_slowdown(const nm_shard_t *shard, uint64_t worker_id)
{
    assert(shard);
    nm_shard_worker_state_t *worker =
        nm_shard_find_worker(shard->state, worker_id, NULL);
    if (!worker) {
        return 1;
    }
    return nm_place_query_worker(&shard->state->place, worker->place_index)
        .slowdown;
}

nm_place_info_t
nm_shard_query_worker(const nm_shard_t *shard, uint64_t worker_id)
{
    assert(shard);
    nm_shard_worker_state_t *worker =
        nm_shard_find_worker(shard->state, worker_id, NULL);
    if (!worker) {
        return (nm_place_info_t){.slowdown = 1};
    }
    return nm_place_query_worker(&shard->state->place, worker->place_index);
}
