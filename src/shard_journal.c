#include "shard_state.h"

#include <assert.h>

#include "peer.pb-c.h"

/* Task states in the journal. */
enum {
    RECORDED_WAITING = 1,
    RECORDED_DONE = 2,
};

typedef struct {
    GPtrArray *jobs;  /* of NmPb__JobState */
    GPtrArray *tasks; /* of NmPb__TaskState */
} record_t;

void
nm_recorded_job_free(void *data)
{
    nm_recorded_job_t *recorded_job = data;
    g_array_free(recorded_job->tasks, TRUE);
    g_free(recorded_job);
}

/* Building records */

static void
record_init(record_t *record)
{
    record->jobs = g_ptr_array_new_with_free_func(g_free);
    record->tasks = g_ptr_array_new_with_free_func(g_free);
}

static void
record_add_job(record_t *record, uint64_t id, int64_t accepted_unix_s,
               bool removed)
{
    NmPb__JobState *item = g_new(NmPb__JobState, 1);
    nm_pb__job_state__init(item);
    item->job = id;
    item->accepted_unix_s = accepted_unix_s;
    item->removed = removed;
    g_ptr_array_add(record->jobs, item);
}

static void
record_add_task(record_t *record, uint64_t job, const nm_recorded_task_t *task)
{
    NmPb__TaskState *item = g_new(NmPb__TaskState, 1);
    nm_pb__task_state__init(item);
    item->job = job;
    item->index = task->index;
    item->state = task->done ? RECORDED_DONE : RECORDED_WAITING;
    item->attempt = task->ended_attempt;
    item->checkpoint = task->checkpoint;
    item->failures = task->failures;
    g_ptr_array_add(record->tasks, item);
}

static uint8_t *
record_pack(record_t *record, uint32_t *bytes)
{
    NmPb__ShardRecord message = NM_PB__SHARD_RECORD__INIT;
    message.n_jobs = record->jobs->len;
    message.jobs = (NmPb__JobState **)record->jobs->pdata;
    message.n_tasks = record->tasks->len;
    message.tasks = (NmPb__TaskState **)record->tasks->pdata;
    *bytes = (uint32_t)nm_pb__shard_record__get_packed_size(&message);
    uint8_t *data = g_malloc(*bytes + 1);
    nm_pb__shard_record__pack(&message, data);
    g_ptr_array_free(record->jobs, TRUE);
    g_ptr_array_free(record->tasks, TRUE);
    return data;
}

static nm_recorded_task_t
recorded_task(const nm_job_t *job, uint32_t index)
{
    const nm_task_t *task = &job->tasks[index];
    bool done =
        task->state == NM_TASK_DONE ||
        (task->state == NM_TASK_RECORDING && task->outcome == NM_REPORT_DONE);
    return (nm_recorded_task_t){
        .index = index,
        .done = done && !job->desc.long_lived,
        .ended_attempt = task->ended_attempt,
        .checkpoint = task->checkpoint,
        .failures = task->failures,
    };
}

uint8_t *
nm_shard_journal_take_record(nm_shard_t *shard, uint32_t *bytes)
{
    assert(shard && bytes);
    nm_shard_state_t *state = shard->state;
    if (state->phase != NM_SHARD_ACTIVE || state->record_pending) {
        return NULL;
    }
    record_t record;
    record_init(&record);
    for (uint32_t j = 0; j < state->jobs->len; j++) {
        nm_job_t *job = state->jobs->pdata[j];
        if (!job->dirty) {
            continue;
        }
        job->dirty = false;
        job->in_record = true;
        record_add_job(&record, job->desc.id, job->accepted_unix_s,
                       job->removed);
        for (uint32_t i = 0; i < job->desc.tasks; i++) {
            nm_task_t *task = &job->tasks[i];
            if (!task->dirty) {
                continue;
            }
            task->dirty = false;
            task->in_record = true;
            nm_recorded_task_t recorded = recorded_task(job, i);
            record_add_task(&record, job->desc.id, &recorded);
        }
    }
    nm_count(NM_COUNTER_JOURNAL_RECORDS, record.jobs->len + record.tasks->len);
    bool empty = record.jobs->len == 0;
    uint8_t *data = record_pack(&record, bytes);
    if (empty) {
        g_free(data);
        return NULL;
    }
    state->record_pending = true;
    nm_count(NM_COUNTER_JOURNAL_WRITES, 1);
    return data;
}

uint8_t *
nm_shard_journal_snapshot(nm_shard_t *shard, uint32_t *bytes)
{
    assert(shard && bytes);
    nm_shard_state_t *state = shard->state;
    record_t record;
    record_init(&record);
    for (uint32_t j = 0; j < state->jobs->len; j++) {
        nm_job_t *job = state->jobs->pdata[j];
        if (job->removed || job->accepted_unix_s == 0) {
            continue;
        }
        record_add_job(&record, job->desc.id, job->accepted_unix_s, false);
        for (uint32_t i = 0; i < job->desc.tasks; i++) {
            nm_recorded_task_t recorded = recorded_task(job, i);
            if (recorded.done || recorded.ended_attempt > 0) {
                record_add_task(&record, job->desc.id, &recorded);
            }
        }
    }
    GHashTableIter iter;
    void *key;
    void *value;
    g_hash_table_iter_init(&iter, state->recorded_jobs);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        nm_recorded_job_t *recorded_job = value;
        uint64_t id = (uint64_t)(uintptr_t)key;
        record_add_job(&record, id, recorded_job->accepted_unix_s, false);
        for (uint32_t i = 0; i < recorded_job->tasks->len; i++) {
            record_add_task(
                &record, id,
                &g_array_index(recorded_job->tasks, nm_recorded_task_t, i));
        }
    }
    return record_pack(&record, bytes);
}

/* Replay */

static void
apply_recorded_task(nm_shard_state_t *state, uint32_t position,
                    const nm_recorded_task_t *recorded)
{
    nm_job_t *job = state->jobs->pdata[position];
    if (recorded->index >= job->desc.tasks) {
        return;
    }
    nm_task_t *task = &job->tasks[recorded->index];
    task->ended_attempt = recorded->ended_attempt;
    task->checkpoint = recorded->checkpoint;
    task->failures = recorded->failures;
    if (!recorded->done) {
        return;
    }
    /* The task is done, so an attempt that was taken over is not current. */
    if (task->worker >= 0) {
        nm_shard_unassign(state, position, recorded->index, 0);
    }
    if (task->queued) {
        g_queue_remove(&job->waiting, GUINT_TO_POINTER(recorded->index));
        task->queued = false;
    }
    nm_shard_set_task_state(job, recorded->index, NM_TASK_DONE);
}

void
nm_shard_apply_recorded_job(nm_shard_state_t *state, nm_job_t *job)
{
    void *key = (void *)(uintptr_t)job->desc.id;
    nm_recorded_job_t *recorded_job =
        g_hash_table_lookup(state->recorded_jobs, key);
    if (!recorded_job) {
        return;
    }
    uint32_t position = 0;
    nm_shard_find_job(state, job->desc.id, &position);
    job->accepted_unix_s = recorded_job->accepted_unix_s;
    job->accepted_recorded = true;
    for (uint32_t i = 0; i < recorded_job->tasks->len; i++) {
        apply_recorded_task(
            state, position,
            &g_array_index(recorded_job->tasks, nm_recorded_task_t, i));
    }
    g_hash_table_remove(state->recorded_jobs, key);
}

static nm_recorded_job_t *
ensure_recorded_job(nm_shard_state_t *state, uint64_t job)
{
    void *key = (void *)(uintptr_t)job;
    nm_recorded_job_t *recorded_job =
        g_hash_table_lookup(state->recorded_jobs, key);
    if (!recorded_job) {
        recorded_job = g_new0(nm_recorded_job_t, 1);
        recorded_job->tasks =
            g_array_new(FALSE, TRUE, sizeof(nm_recorded_task_t));
        g_hash_table_insert(state->recorded_jobs, key, recorded_job);
    }
    return recorded_job;
}

static void
replay_job(nm_shard_state_t *state, const NmPb__JobState *item)
{
    if (item->removed) {
        g_hash_table_remove(state->recorded_jobs,
                            (void *)(uintptr_t)item->job);
        return;
    }
    ensure_recorded_job(state, item->job)->accepted_unix_s =
        item->accepted_unix_s;
}

static void
replay_task(nm_shard_state_t *state, const NmPb__TaskState *item)
{
    nm_recorded_job_t *recorded_job = ensure_recorded_job(state, item->job);
    nm_recorded_task_t recorded = {
        .index = item->index,
        .done = item->state == RECORDED_DONE,
        .ended_attempt = item->attempt,
        .checkpoint = item->checkpoint,
        .failures = item->failures,
    };
    /* Records are applied in order, so later ones override earlier ones. */
    g_array_append_val(recorded_job->tasks, recorded);
}

void
nm_shard_journal_reset(nm_shard_t *shard)
{
    assert(shard);
    g_hash_table_remove_all(shard->state->recorded_jobs);
}

int
nm_shard_journal_replay(nm_shard_t *shard, const void *data, uint32_t bytes)
{
    assert(shard);
    NmPb__ShardRecord *message =
        nm_pb__shard_record__unpack(NULL, bytes, data);
    if (!message) {
        return NM_ERR_CORRUPT;
    }
    for (size_t i = 0; i < message->n_jobs; i++) {
        replay_job(shard->state, message->jobs[i]);
    }
    for (size_t i = 0; i < message->n_tasks; i++) {
        replay_task(shard->state, message->tasks[i]);
    }
    nm_pb__shard_record__free_unpacked(message, NULL);
    return NM_OK;
}

/* Results of appends */

static void
apply_committed_outcome(nm_shard_state_t *state, nm_job_t *job, uint32_t index)
{
    nm_task_t *task = &job->tasks[index];
    nm_shard_worker_state_t *worker =
        state->workers->pdata[task->outcome_worker];
    nm_attempt_id_t attempt_id = {job->desc.id, index, task->attempt};
    g_array_append_val(worker->acks, attempt_id);
    worker->commands_pending = true;
    nm_count(NM_COUNTER_FINISHES, 1);
    if (task->outcome == NM_REPORT_DONE && !job->desc.long_lived) {
        nm_shard_set_task_state(job, index, NM_TASK_DONE);
        return;
    }
    nm_shard_reschedule_task(state, job, index);
}

void
nm_shard_journal_append_done(nm_shard_t *shard, bool committed, nm_ms_t now_ms)
{
    assert(shard);
    (void)now_ms;
    nm_shard_state_t *state = shard->state;
    state->record_pending = false;
    for (uint32_t j = 0; j < state->jobs->len; j++) {
        nm_job_t *job = state->jobs->pdata[j];
        if (!job->in_record) {
            continue;
        }
        job->in_record = false;
        if (!committed) {
            job->dirty = true;
        }
        else if (job->accepted_unix_s > 0) {
            job->accepted_recorded = true;
            state->needs_scheduling = true;
        }
        for (uint32_t i = 0; i < job->desc.tasks; i++) {
            nm_task_t *task = &job->tasks[i];
            if (!task->in_record) {
                continue;
            }
            task->in_record = false;
            if (!committed) {
                task->dirty = true;
            }
            else if (task->state == NM_TASK_RECORDING && !task->dirty) {
                apply_committed_outcome(state, job, i);
            }
        }
    }
}
