#include "lib_shard_sim.h"

#include <stdio.h>
#include <string.h>

#include "../../src/worker_json.h"

#define STEP_MS 10
#define WORKER_CPU_MILLI 16000

typedef enum {
    MESSAGE_SYNC,
    MESSAGE_REPLY,
    MESSAGE_SYNC_FAILED,
    MESSAGE_JOURNAL,
} message_type_t;

/* A message, timeout or journal result to be delivered at arrival_ms. */
typedef struct {
    message_type_t type;
    nm_ms_t arrival_ms;
    nm_ms_t sent_ms;
    uint64_t send_number;
    uint32_t owner;
    uint32_t generation; /* of the owner when it was sent */
    uint32_t worker;
    uint64_t sequence;
    json_t *body;
    int rc;
    bool is_load;
} message_t;

typedef struct {
    nm_shard_t shard;
    nm_journal_t journal;
    bool alive;
    uint32_t generation; /* increases with each restart */
    nm_ms_t paused_until_ms;
    nm_ms_t restart_ms;
    bool journal_busy;
    nm_ms_t journal_retry_ms;
    bool disconnected[SHARD_SIM_WORKERS_MAX]; /* cannot reach the worker */
} owner_t;

typedef struct {
    nm_store_t base;
    nm_store_t *inner;
    bool down;
    bool loses_responses;
    nm_rng_t *rng;
} faulty_store_t;

typedef struct {
    uint64_t last_checkpoint;
    uint64_t acked_checkpoint; /* known to be in the journal */
    int64_t notified_epoch;    /* of the owner that received last_checkpoint */
    nm_ms_t notified_ms;       /* when that owner received it */
    int64_t done_attempt;
    bool acked;
} task_history_t;

struct shard_sim {
    shard_sim_desc_t desc;
    nm_rng_t rng;
    nm_ms_t now_ms;
    uint64_t send_number;
    owner_t owners[SHARD_SIM_OWNERS];
    fake_worker_t workers[SHARD_SIM_WORKERS_MAX];
    bool leaving[SHARD_SIM_WORKERS_MAX];
    uint32_t worker_count;
    GPtrArray *messages;
    GArray *jobs; /* of nm_shard_job_t */
    nm_store_memory_t memory;
    faulty_store_t store;
    GHashTable *histories; /* task name to task_history_t */
    nm_ms_t next_fault_ms;
    nm_ms_t sync_sent_ms;      /* send time of the sync being delivered */
    nm_ms_t authority_seen_ms; /* an owner last had authority or campaigned */
    bool faults_stopped;
    shard_sim_info_t info;
};

static int
faulty_commit(nm_store_t *base, const nm_store_txn_t *txn,
              nm_store_result_t *result)
{
    faulty_store_t *store = (faulty_store_t *)base;
    if (store->down) {
        return NM_ERR_UNAVAILABLE;
    }
    int rc = nm_store_commit(store->inner, txn, result);
    if (store->loses_responses && nm_rng_below(store->rng, 3) == 0) {
        nm_store_result_finish(result);
        return NM_ERR_LOST;
    }
    return rc;
}

static const nm_store_vtable_t faulty_vtable = {.commit = faulty_commit};

static task_history_t *
ensure_history(shard_sim_t *sim, const nm_attempt_id_t *id)
{
    char text[64];
    snprintf(text, sizeof(text), "%llx:%u", (unsigned long long)id->job,
             id->index);
    task_history_t *history = g_hash_table_lookup(sim->histories, text);
    if (!history) {
        history = g_new0(task_history_t, 1);
        g_hash_table_insert(sim->histories, g_strdup(text), history);
    }
    return history;
}

static const nm_shard_job_t *
find_job(const shard_sim_t *sim, uint64_t id)
{
    for (uint32_t i = 0; i < sim->jobs->len; i++) {
        const nm_shard_job_t *job =
            &g_array_index(sim->jobs, nm_shard_job_t, i);
        if (job->id == id) {
            return job;
        }
    }
    return NULL;
}

static void
on_event(void *user, const fake_worker_t *worker, fake_event_t event,
         const nm_attempt_id_t *id, uint64_t checkpoint, nm_ms_t now_ms)
{
    (void)worker;
    (void)now_ms;
    shard_sim_t *sim = user;
    task_history_t *history = ensure_history(sim, id);
    const nm_shard_job_t *job = find_job(sim, id->job);
    if (event == FAKE_EVENT_START) {
        /*
         * A start may skip the newest checkpoint only if neither the journal
         * nor this owner had received it when the sync was sent.
         */
        bool notified = history->notified_epoch == id->attempt >> 24 &&
                        history->notified_ms <= sim->sync_sent_ms;
        if (checkpoint != history->last_checkpoint &&
            (notified || checkpoint != history->acked_checkpoint))
        {
            sim->info.bad_resumes++;
        }
        if (checkpoint == history->last_checkpoint) {
            /* Tasks start only from checkpoints in the journal. */
            history->acked_checkpoint = checkpoint;
        }
        if (history->acked && job && !job->long_lived) {
            sim->info.reruns++;
        }
    }
    else if (event == FAKE_EVENT_CHECKPOINTED) {
        history->last_checkpoint = checkpoint;
        history->notified_epoch = 0;
        sim->info.evictions++;
    }
    else if (event == FAKE_EVENT_DONE) {
        history->done_attempt = id->attempt;
    }
    else if (event == FAKE_EVENT_ACKED && history->done_attempt == id->attempt)
    {
        history->acked = true;
    }
}

static void
check_invariants(shard_sim_t *sim)
{
    GHashTable *running =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (uint32_t w = 0; w < sim->worker_count; w++) {
        const fake_worker_t *worker = &sim->workers[w];
        int64_t cpu_milli = 0;
        for (uint32_t i = 0; i < worker->tasks->len; i++) {
            const fake_task_t *task =
                &g_array_index(worker->tasks, fake_task_t, i);
            if (task->state != NM_REPORT_RUNNING) {
                continue;
            }
            cpu_milli += task->resources.cpu_milli;
            char *name = g_strdup_printf(
                "%llx:%u", (unsigned long long)task->id.job, task->id.index);
            if (g_hash_table_contains(running, name)) {
                sim->info.overlaps++;
                g_strlcpy(sim->info.example, name, sizeof(sim->info.example));
            }
            g_hash_table_add(running, name);
        }
        sim->info.over_capacity += cpu_milli > WORKER_CPU_MILLI;
    }
    g_hash_table_unref(running);
}

static message_t *
schedule_message(shard_sim_t *sim, message_type_t type, uint32_t owner,
                 nm_ms_t delay_ms)
{
    message_t *message = g_new0(message_t, 1);
    message->type = type;
    message->arrival_ms = sim->now_ms + delay_ms;
    message->sent_ms = sim->now_ms;
    message->send_number = sim->send_number++;
    message->owner = owner;
    message->generation = sim->owners[owner].generation;
    g_ptr_array_add(sim->messages, message);
    return message;
}

static void
free_message(void *data)
{
    message_t *message = data;
    json_decref(message->body);
    g_free(message);
}

static nm_ms_t
random_delay(shard_sim_t *sim)
{
    if (sim->desc.faults && !sim->faults_stopped &&
        nm_rng_below(&sim->rng, 50) == 0)
    {
        return 1000 + nm_rng_below(&sim->rng, 15000);
    }
    return 1 + nm_rng_below(&sim->rng, 40);
}

/* Counts a step of owner 0 before its restart; true if this step kills it. */
static bool
crashes_at_step(shard_sim_t *sim, uint32_t index)
{
    owner_t *owner = &sim->owners[index];
    if (index != 0 || owner->generation != 1) {
        return false;
    }
    sim->info.steps++;
    if (sim->desc.crash_at_step == 0 ||
        sim->info.steps != sim->desc.crash_at_step) {
        return false;
    }
    owner->alive = false;
    owner->restart_ms = sim->now_ms + 3000;
    sim->info.kills++;
    return true;
}

static void
send_sync(shard_sim_t *sim, uint32_t index, const nm_sync_t *sync)
{
    owner_t *owner = &sim->owners[index];
    uint32_t worker = (uint32_t)sync->worker - 1;
    schedule_message(sim, MESSAGE_SYNC_FAILED, index, NM_SHARD_SYNC_TIMEOUT_MS)
        ->worker = worker;
    message_t *failed = sim->messages->pdata[sim->messages->len - 1];
    failed->sequence = sync->sequence;
    if (owner->disconnected[worker]) {
        return;
    }
    uint32_t deliveries = 1;
    if (sim->desc.faults && !sim->faults_stopped) {
        uint32_t draw = nm_rng_below(&sim->rng, 40);
        deliveries = draw == 0 ? 0 : draw == 1 ? 2 : 1;
    }
    for (uint32_t i = 0; i < deliveries; i++) {
        message_t *message =
            schedule_message(sim, MESSAGE_SYNC, index, random_delay(sim));
        message->worker = worker;
        message->sequence = sync->sequence;
        message->body = nm_worker_sync_encode(sync);
    }
}

static void
deliver_sync(shard_sim_t *sim, const message_t *message)
{
    nm_worker_sync_t sync;
    if (nm_worker_sync_decode(message->body, &sync) == NM_OK) {
        nm_sync_reply_t reply;
        sim->sync_sent_ms = message->sent_ms;
        fake_worker_sync(&sim->workers[message->worker], &sync.sync,
                         sim->now_ms, &reply);
        message_t *response = schedule_message(
            sim, MESSAGE_REPLY, message->owner, random_delay(sim));
        response->worker = message->worker;
        response->sequence = message->sequence;
        response->generation = message->generation;
        response->body = nm_worker_reply_encode(&reply);
    }
    nm_worker_sync_finish(&sync);
}

/* Records which newest checkpoints an owner or candidate has received. */
static void
record_notified_checkpoints(shard_sim_t *sim, const owner_t *owner,
                            const nm_sync_reply_t *reply)
{
    nm_shard_info_t info = nm_shard_query(&owner->shard, sim->now_ms);
    for (uint32_t i = 0; i < reply->task_count; i++) {
        const nm_task_report_t *report = &reply->tasks[i];
        task_history_t *history = ensure_history(sim, &report->id);
        if (info.phase != NM_SHARD_FOLLOWER &&
            report->state == NM_REPORT_CHECKPOINTED &&
            report->checkpoint == history->last_checkpoint)
        {
            if (history->notified_epoch != info.epoch) {
                history->notified_ms = sim->now_ms;
            }
            history->notified_epoch = info.epoch;
        }
    }
}

static void
deliver_to_owner(shard_sim_t *sim, const message_t *message)
{
    owner_t *owner = &sim->owners[message->owner];
    uint64_t worker = message->worker + 1;
    if (message->type == MESSAGE_REPLY) {
        nm_worker_reply_t reply;
        if (nm_worker_reply_decode(message->body, &reply) == NM_OK) {
            uint64_t before = nm_counter_value(NM_COUNTER_SYNCS);
            nm_shard_sync_reply(&owner->shard, worker, message->sequence,
                                &reply.reply, sim->now_ms);
            /* The shard ignores replies that arrive after their timeout. */
            if (nm_counter_value(NM_COUNTER_SYNCS) > before) {
                record_notified_checkpoints(sim, owner, &reply.reply);
            }
        }
        nm_worker_reply_finish(&reply);
    }
    else if (message->type == MESSAGE_SYNC_FAILED) {
        nm_shard_sync_failed(&owner->shard, worker, message->sequence,
                             sim->now_ms);
    }
    else {
        owner->journal_busy = false;
        if (message->is_load && message->rc == NM_ERR_STALE) {
            nm_shard_resign(&owner->shard);
        }
        else if (message->is_load && message->rc == NM_OK) {
            nm_shard_journal_loaded(&owner->shard, sim->now_ms);
        }
        else if (!message->is_load) {
            nm_shard_journal_append_done(&owner->shard, message->rc == NM_OK,
                                         sim->now_ms);
            if (message->rc == NM_ERR_CONFLICT || message->rc == NM_ERR_STALE)
            {
                nm_shard_resign(&owner->shard);
            }
        }
        if (message->rc < 0) {
            owner->journal_retry_ms = sim->now_ms + 300;
        }
    }
}

static bool
owner_runs(const shard_sim_t *sim, const owner_t *owner)
{
    return owner->alive && sim->now_ms >= owner->paused_until_ms;
}

static void
deliver_due(shard_sim_t *sim)
{
    for (uint32_t i = 0; i < sim->messages->len;) {
        message_t *message = sim->messages->pdata[i];
        owner_t *owner = &sim->owners[message->owner];
        bool to_worker = message->type == MESSAGE_SYNC;
        bool owner_ended =
            !to_worker &&
            (!owner->alive || message->generation != owner->generation);
        bool not_due = message->arrival_ms > sim->now_ms ||
                       (!to_worker && !owner_ended && !owner_runs(sim, owner));
        if (not_due) {
            i++;
            continue;
        }
        g_ptr_array_steal_index_fast(sim->messages, i);
        if (to_worker) {
            deliver_sync(sim, message);
        }
        else if (!owner_ended) {
            deliver_to_owner(sim, message);
        }
        free_message(message);
    }
}

static int
replay_record(void *user, int64_t sequence, bool is_snapshot, const void *data,
              uint32_t bytes)
{
    (void)sequence;
    (void)is_snapshot;
    return nm_shard_journal_replay(user, data, bytes);
}

static void
set_workers(shard_sim_t *sim, owner_t *owner)
{
    for (uint32_t i = 0; i < sim->worker_count; i++) {
        nm_shard_worker_t worker = {
            .id = i + 1,
            .rack = i / 4,
            .capacity = {WORKER_CPU_MILLI, 64000, 0},
            .service = NM_PLACE_NO_SERVICE,
            .leaving = sim->leaving[i],
        };
        nm_shard_set_worker(&owner->shard, &worker, sim->now_ms);
    }
}

static void
set_jobs(shard_sim_t *sim, owner_t *owner)
{
    for (uint32_t i = 0; i < sim->jobs->len; i++) {
        nm_shard_set_job(&owner->shard,
                         &g_array_index(sim->jobs, nm_shard_job_t, i));
    }
    nm_shard_sweep_jobs(&owner->shard, sim->now_ms);
}

static void
start_owner(shard_sim_t *sim, uint32_t index)
{
    owner_t *owner = &sim->owners[index];
    owner->alive = true;
    owner->generation++;
    owner->journal_busy = false;
    nm_shard_init(&owner->shard,
                  &(nm_shard_desc_t){
                      .owner_id = index + 1 + owner->generation * 16ull,
                      .seed = sim->desc.seed + index,
                  });
    nm_journal_init(&owner->journal, &sim->store.base, "shard",
                    sim->desc.seed * 97 + index * 13 + owner->generation);
    set_workers(sim, owner);
    set_jobs(sim, owner);
}

static void
finish_owner(owner_t *owner)
{
    nm_shard_finish(&owner->shard);
}

static void
run_journal(shard_sim_t *sim, uint32_t index)
{
    owner_t *owner = &sim->owners[index];
    nm_shard_info_t info = nm_shard_query(&owner->shard, sim->now_ms);
    if (owner->journal_busy || sim->now_ms < owner->journal_retry_ms) {
        return;
    }
    if (info.phase == NM_SHARD_LOADING) {
        nm_shard_journal_reset(&owner->shard);
        int rc = nm_journal_load_as_writer(&owner->journal, info.epoch,
                                           replay_record, &owner->shard);
        message_t *message = schedule_message(sim, MESSAGE_JOURNAL, index, 5);
        message->is_load = true;
        message->rc = rc;
        owner->journal_busy = true;
        nm_shard_observe_epoch(&owner->shard, owner->journal.epoch);
        return;
    }
    uint32_t bytes;
    uint8_t *record = nm_shard_journal_take_record(&owner->shard, &bytes);
    if (!record || crashes_at_step(sim, index)) {
        g_free(record);
        return;
    }
    uint32_t snapshot_bytes = 0;
    uint8_t *snapshot = NULL;
    if (nm_journal_needs_snapshot(&owner->journal)) {
        snapshot = nm_shard_journal_snapshot(&owner->shard, &snapshot_bytes);
    }
    int rc = nm_journal_append_snapshot(&owner->journal, record, bytes,
                                        snapshot, snapshot_bytes, info.epoch);
    g_free(record);
    g_free(snapshot);
    message_t *message =
        schedule_message(sim, MESSAGE_JOURNAL, index, 5 + random_delay(sim));
    message->rc = rc;
    owner->journal_busy = true;
    crashes_at_step(sim, index);
}

static void
run_owner(shard_sim_t *sim, uint32_t index)
{
    owner_t *owner = &sim->owners[index];
    if (!owner_runs(sim, owner)) {
        return;
    }
    nm_shard_tick(&owner->shard, sim->now_ms, 1000000 + sim->now_ms / 1000);
    run_journal(sim, index);
    const nm_sync_t *sync;
    while (owner->alive &&
           (sync = nm_shard_next_sync(&owner->shard, sim->now_ms))) {
        if (crashes_at_step(sim, index)) {
            return;
        }
        send_sync(sim, index, sync);
        if (crashes_at_step(sim, index)) {
            return;
        }
    }
}

static owner_t *
current_owner(const shard_sim_t *sim)
{
    owner_t *newest = NULL;
    int64_t newest_epoch = 0;
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        owner_t *owner = (owner_t *)&sim->owners[i];
        if (!owner->alive) {
            continue;
        }
        nm_shard_info_t info = nm_shard_query(&owner->shard, sim->now_ms);
        if (info.phase != NM_SHARD_FOLLOWER && info.epoch > newest_epoch) {
            newest = owner;
            newest_epoch = info.epoch;
        }
    }
    return newest;
}

/* Makes an owner campaign when none has had authority for 1500 ms. */
static void
elect_owner(shard_sim_t *sim)
{
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        const owner_t *owner = &sim->owners[i];
        if (owner_runs(sim, owner) &&
            nm_shard_has_authority(&owner->shard, sim->now_ms))
        {
            sim->authority_seen_ms = sim->now_ms;
        }
    }
    if (sim->now_ms - sim->authority_seen_ms < 1500) {
        return;
    }
    uint32_t first =
        sim->faults_stopped ? 0 : nm_rng_below(&sim->rng, SHARD_SIM_OWNERS);
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        owner_t *owner = &sim->owners[(first + i) % SHARD_SIM_OWNERS];
        if (owner_runs(sim, owner)) {
            nm_shard_campaign(&owner->shard, sim->now_ms);
            sim->authority_seen_ms = sim->now_ms + 1500;
            sim->info.takeovers++;
            owner->journal_busy = false;
            return;
        }
    }
}

static void
inject_fault(shard_sim_t *sim)
{
    uint32_t index = nm_rng_below(&sim->rng, SHARD_SIM_OWNERS);
    owner_t *owner = &sim->owners[index];
    uint32_t worker = nm_rng_below(&sim->rng, sim->worker_count);
    switch (nm_rng_below(&sim->rng, 9)) {
    case 0:
        if (owner->alive) {
            owner->alive = false;
            owner->restart_ms =
                sim->now_ms + 500 + nm_rng_below(&sim->rng, 6000);
            sim->info.kills++;
        }
        break;
    case 1:
        owner->paused_until_ms = sim->now_ms + nm_rng_below(&sim->rng, 15000);
        break;
    case 2:
    case 3:
        owner->disconnected[worker] = !owner->disconnected[worker];
        break;
    case 4:
        for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
            sim->owners[i].disconnected[worker] = true;
        }
        break;
    case 5:
        sim->store.down = !sim->store.down;
        break;
    case 6:
        sim->store.loses_responses = !sim->store.loses_responses;
        break;
    case 7:
        /* Campaigns even if another owner has authority. */
        if (owner_runs(sim, owner)) {
            nm_shard_campaign(&owner->shard, sim->now_ms);
            owner->journal_busy = false;
            sim->info.takeovers++;
        }
        break;
    default:
        shard_sim_set_leaving(sim, worker, !sim->leaving[worker]);
        break;
    }
}

static void
restart_owners(shard_sim_t *sim)
{
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        owner_t *owner = &sim->owners[i];
        if (!owner->alive && sim->now_ms >= owner->restart_ms) {
            finish_owner(owner);
            start_owner(sim, i);
        }
    }
}

static void
step(shard_sim_t *sim)
{
    sim->now_ms += STEP_MS;
    if (sim->desc.faults && !sim->faults_stopped &&
        sim->now_ms >= sim->next_fault_ms)
    {
        inject_fault(sim);
        sim->next_fault_ms = sim->now_ms + 200 + nm_rng_below(&sim->rng, 3000);
    }
    restart_owners(sim);
    for (uint32_t i = 0; i < sim->worker_count; i++) {
        fake_worker_tick(&sim->workers[i], sim->now_ms);
    }
    deliver_due(sim);
    elect_owner(sim);
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        run_owner(sim, i);
    }
    check_invariants(sim);
}

shard_sim_t *
shard_sim_new(const shard_sim_desc_t *desc)
{
    shard_sim_t *sim = g_new0(shard_sim_t, 1);
    sim->desc = *desc;
    sim->worker_count = desc->workers ? desc->workers : 5;
    nm_rng_init(&sim->rng, desc->seed);
    sim->now_ms = 100000;
    sim->messages = g_ptr_array_new();
    sim->jobs = g_array_new(FALSE, TRUE, sizeof(nm_shard_job_t));
    sim->histories =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    sim->store = (faulty_store_t){
        .base.vtable = &faulty_vtable,
        .inner = nm_store_memory_init(&sim->memory),
        .rng = &sim->rng,
    };
    for (uint32_t i = 0; i < sim->worker_count; i++) {
        fake_worker_init(&sim->workers[i], i + 1, on_event, sim);
        sim->workers[i].ticked_ms = sim->now_ms;
    }
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        start_owner(sim, i);
    }
    /* Owner 0 always campaigns first: its steps are the crash points. */
    nm_shard_campaign(&sim->owners[0].shard, sim->now_ms);
    sim->authority_seen_ms = sim->now_ms;
    sim->next_fault_ms = sim->now_ms + 1000;
    return sim;
}

void
shard_sim_free(shard_sim_t *sim)
{
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        finish_owner(&sim->owners[i]);
    }
    for (uint32_t i = 0; i < sim->worker_count; i++) {
        fake_worker_finish(&sim->workers[i]);
    }
    for (uint32_t i = 0; i < sim->messages->len; i++) {
        free_message(sim->messages->pdata[i]);
    }
    g_ptr_array_free(sim->messages, TRUE);
    g_array_free(sim->jobs, TRUE);
    g_hash_table_unref(sim->histories);
    nm_store_memory_finish(&sim->memory);
    g_free(sim);
}

static void
update_owner_jobs(shard_sim_t *sim)
{
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        if (sim->owners[i].alive) {
            set_jobs(sim, &sim->owners[i]);
        }
    }
}

void
shard_sim_add_job(shard_sim_t *sim, const nm_shard_job_t *job)
{
    g_array_append_val(sim->jobs, *job);
    update_owner_jobs(sim);
}

void
shard_sim_remove_job(shard_sim_t *sim, uint64_t id)
{
    for (uint32_t i = 0; i < sim->jobs->len; i++) {
        if (g_array_index(sim->jobs, nm_shard_job_t, i).id == id) {
            g_array_remove_index(sim->jobs, i);
            break;
        }
    }
    update_owner_jobs(sim);
}

void
shard_sim_set_leaving(shard_sim_t *sim, uint32_t worker, bool leaving)
{
    sim->leaving[worker] = leaving;
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        if (sim->owners[i].alive) {
            set_workers(sim, &sim->owners[i]);
        }
    }
}

void
shard_sim_set_fails(shard_sim_t *sim, uint32_t worker, bool fails)
{
    sim->workers[worker].fails_all_tasks = fails;
}

void
shard_sim_run(shard_sim_t *sim, nm_ms_t duration_ms)
{
    nm_ms_t until_ms = sim->now_ms + duration_ms;
    while (sim->now_ms < until_ms) {
        step(sim);
    }
}

void
shard_sim_stop_faults(shard_sim_t *sim)
{
    sim->faults_stopped = true;
    sim->store.down = false;
    sim->store.loses_responses = false;
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        sim->owners[i].paused_until_ms = 0;
        memset(sim->owners[i].disconnected, 0,
               sizeof(sim->owners[i].disconnected));
    }
    for (uint32_t i = 0; i < sim->worker_count; i++) {
        shard_sim_set_leaving(sim, i, false);
        shard_sim_set_fails(sim, i, false);
    }
}

shard_sim_info_t
shard_sim_query(const shard_sim_t *sim)
{
    return sim->info;
}

uint32_t
shard_sim_count(const shard_sim_t *sim, nm_task_state_t state)
{
    owner_t *owner = current_owner(sim);
    return owner ? nm_shard_query(&owner->shard, sim->now_ms).counts[state]
                 : 0;
}

bool
shard_sim_query_job(const shard_sim_t *sim, const char *path,
                    nm_shard_job_info_t *info)
{
    owner_t *owner = current_owner(sim);
    for (uint32_t i = 0; owner && nm_shard_query_job(&owner->shard, i, info);
         i++) {
        if (strcmp(info->path, path) == 0) {
            return true;
        }
    }
    return false;
}

nm_ms_t
shard_sim_now(const shard_sim_t *sim)
{
    return sim->now_ms;
}
