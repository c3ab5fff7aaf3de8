#include "lib_shard_sim.h"

#include <stdio.h>
#include <string.h>

#include "../../src/worker_json.h"

#define STEP_MS 10
#define TASK_LIMIT 4096

typedef enum {
    MESSAGE_SYNC,
    MESSAGE_REPLY,
    MESSAGE_SYNC_FAILED,
    MESSAGE_JOURNAL,
} message_type_t;

/* Something that arrives later. */
typedef struct {
    message_type_t type;
    nm_ms_t at_ms;
    nm_ms_t sent_ms;
    uint64_t order;
    uint32_t owner;
    uint32_t generation; /* of the owner's process */
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
    uint32_t generation;
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
    uint64_t acked_checkpoint; /* that the journal holds */
    int64_t notified_epoch;    /* of an owner that was told the last one */
    nm_ms_t notified_ms;       /* when it was told */
    int64_t done_attempt;
    bool acked;
} task_history_t;

struct shard_sim {
    shard_sim_desc_t desc;
    nm_rng_t rng;
    nm_ms_t now_ms;
    uint64_t order;
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
    nm_ms_t sync_sent_ms; /* when the sync being delivered was sent */
    nm_ms_t follower_since_ms;
    bool faults_stopped;
    shard_sim_info_t info;
};

/* Store with faults */

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

/* Observing the workers */

static task_history_t *
ensure_history(shard_sim_t *sim, const nm_attempt_id_t *name)
{
    char text[64];
    snprintf(text, sizeof(text), "%llx:%u", (unsigned long long)name->job,
             name->index);
    task_history_t *trace = g_hash_table_lookup(sim->histories, text);
    if (!trace) {
        trace = g_new0(task_history_t, 1);
        g_hash_table_insert(sim->histories, g_strdup(text), trace);
    }
    return trace;
}

static const nm_shard_job_t *
job_of(const shard_sim_t *sim, uint64_t id)
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
         const nm_attempt_id_t *name, uint64_t checkpoint, nm_ms_t now_ms)
{
    (void)worker;
    (void)now_ms;
    shard_sim_t *sim = user;
    task_history_t *trace = ensure_history(sim, name);
    const nm_shard_job_t *job = job_of(sim, name->job);
    if (event == FAKE_EVENT_START) {
        /*
         * The newest checkpoint may be passed over only if neither the
         * journal nor this owner was told of it.
         */
        bool told = trace->notified_epoch == name->attempt >> 24 &&
                    trace->notified_ms <= sim->sync_sent_ms;
        if (checkpoint != trace->last_checkpoint &&
            (told || checkpoint != trace->acked_checkpoint))
        {
            sim->info.bad_resumes++;
        }
        if (checkpoint == trace->last_checkpoint) {
            /* Started from, so the journal holds it. */
            trace->acked_checkpoint = checkpoint;
        }
        if (trace->acked && job && !job->long_lived) {
            sim->info.reruns++;
        }
    }
    else if (event == FAKE_EVENT_CHECKPOINTED) {
        trace->last_checkpoint = checkpoint;
        trace->notified_epoch = 0;
        sim->info.evictions++;
    }
    else if (event == FAKE_EVENT_DONE) {
        trace->done_attempt = name->attempt;
    }
    else if (event == FAKE_EVENT_ACKED && trace->done_attempt == name->attempt)
    {
        trace->acked = true;
    }
}

static void
check_invariants(shard_sim_t *sim)
{
    GHashTable *seen =
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
            if (g_hash_table_contains(seen, name)) {
                sim->info.overlaps++;
                g_strlcpy(sim->info.example, name, sizeof(sim->info.example));
            }
            g_hash_table_add(seen, name);
        }
        sim->info.overfull += cpu_milli > 16000;
    }
    g_hash_table_unref(seen);
}

/* Messages */

static message_t *
schedule_message(shard_sim_t *sim, message_type_t type, uint32_t owner,
                 nm_ms_t delay_ms)
{
    message_t *letter = g_new0(message_t, 1);
    letter->type = type;
    letter->at_ms = sim->now_ms + delay_ms;
    letter->sent_ms = sim->now_ms;
    letter->order = sim->order++;
    letter->owner = owner;
    letter->generation = sim->owners[owner].generation;
    g_ptr_array_add(sim->messages, letter);
    return letter;
}

static void
free_message(void *data)
{
    message_t *letter = data;
    json_decref(letter->body);
    g_free(letter);
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

/* Counts a step of the owner; true if it dies here. */
static bool
crashes_here(shard_sim_t *sim, uint32_t index)
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
    uint32_t copies = 1;
    if (sim->desc.faults && !sim->faults_stopped) {
        uint32_t draw = nm_rng_below(&sim->rng, 40);
        copies = draw == 0 ? 0 : draw == 1 ? 2 : 1;
    }
    for (uint32_t i = 0; i < copies; i++) {
        message_t *letter =
            schedule_message(sim, MESSAGE_SYNC, index, random_delay(sim));
        letter->worker = worker;
        letter->sequence = sync->sequence;
        letter->body = nm_worker_sync_encode(sync);
    }
}

static void
deliver_sync(shard_sim_t *sim, const message_t *letter)
{
    nm_worker_sync_t sync;
    if (nm_worker_sync_decode(letter->body, &sync) == NM_OK) {
        nm_sync_reply_t reply;
        sim->sync_sent_ms = letter->sent_ms;
        fake_worker_sync(&sim->workers[letter->worker], &sync.sync,
                         sim->now_ms, &reply);
        message_t *answer = schedule_message(sim, MESSAGE_REPLY, letter->owner,
                                             random_delay(sim));
        answer->worker = letter->worker;
        answer->sequence = letter->sequence;
        answer->generation = letter->generation;
        answer->body = nm_worker_reply_encode(&reply);
    }
    nm_worker_sync_finish(&sync);
}

/* Notes which checkpoints an owner or candidate has been told of. */
static void
record_notified_checkpoints(shard_sim_t *sim, const owner_t *owner,
                            const nm_sync_reply_t *reply)
{
    nm_shard_info_t info = nm_shard_query(&owner->shard, sim->now_ms);
    for (uint32_t i = 0; i < reply->task_count; i++) {
        const nm_task_report_t *report = &reply->tasks[i];
        task_history_t *trace = ensure_history(sim, &report->id);
        if (info.phase != NM_SHARD_FOLLOWER &&
            report->state == NM_REPORT_CHECKPOINTED &&
            report->checkpoint == trace->last_checkpoint)
        {
            if (trace->notified_epoch != info.epoch) {
                trace->notified_ms = sim->now_ms;
            }
            trace->notified_epoch = info.epoch;
        }
    }
}

static void
deliver_to_owner(shard_sim_t *sim, const message_t *letter)
{
    owner_t *owner = &sim->owners[letter->owner];
    uint64_t worker = letter->worker + 1;
    if (letter->type == MESSAGE_REPLY) {
        nm_worker_reply_t reply;
        if (nm_worker_reply_decode(letter->body, &reply) == NM_OK) {
            uint64_t before = nm_counter_value(NM_COUNTER_SYNCS);
            nm_shard_sync_reply(&owner->shard, worker, letter->sequence,
                                &reply.reply, sim->now_ms);
            /* Replies that come after their timeout are not taken in. */
            if (nm_counter_value(NM_COUNTER_SYNCS) > before) {
                record_notified_checkpoints(sim, owner, &reply.reply);
            }
        }
        nm_worker_reply_finish(&reply);
    }
    else if (letter->type == MESSAGE_SYNC_FAILED) {
        nm_shard_sync_failed(&owner->shard, worker, letter->sequence,
                             sim->now_ms);
    }
    else {
        owner->journal_busy = false;
        if (letter->is_load && letter->rc == NM_ERR_STALE) {
            nm_shard_resign(&owner->shard);
        }
        else if (letter->is_load && letter->rc == NM_OK) {
            nm_shard_journal_loaded(&owner->shard, sim->now_ms);
        }
        else if (!letter->is_load) {
            nm_shard_journal_append_done(&owner->shard, letter->rc == NM_OK,
                                         sim->now_ms);
            if (letter->rc == NM_ERR_CONFLICT || letter->rc == NM_ERR_STALE) {
                nm_shard_resign(&owner->shard);
            }
        }
        if (letter->rc < 0) {
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
        message_t *letter = sim->messages->pdata[i];
        owner_t *owner = &sim->owners[letter->owner];
        bool to_worker = letter->type == MESSAGE_SYNC;
        bool lost = !to_worker &&
                    (!owner->alive || letter->generation != owner->generation);
        bool waits = letter->at_ms > sim->now_ms ||
                     (!to_worker && !lost && !owner_runs(sim, owner));
        if (waits) {
            i++;
            continue;
        }
        g_ptr_array_steal_index_fast(sim->messages, i);
        if (to_worker) {
            deliver_sync(sim, letter);
        }
        else if (!lost) {
            deliver_to_owner(sim, letter);
        }
        free_message(letter);
    }
}

/* Owners */

static int
replay(void *user, int64_t sequence, bool is_snapshot, const void *data,
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
            .capacity = {16000, 64000, 0},
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
end_owner(owner_t *owner)
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
        int rc = nm_journal_load_as_writer(&owner->journal, info.epoch, replay,
                                           &owner->shard);
        message_t *letter = schedule_message(sim, MESSAGE_JOURNAL, index, 5);
        letter->is_load = true;
        letter->rc = rc;
        owner->journal_busy = true;
        nm_shard_observe_epoch(&owner->shard, owner->journal.epoch);
        return;
    }
    uint32_t bytes;
    uint8_t *record = nm_shard_journal_take_record(&owner->shard, &bytes);
    if (!record || crashes_here(sim, index)) {
        g_free(record);
        return;
    }
    uint32_t snapshot_bytes = 0;
    uint8_t *snapshot = NULL;
    if (nm_journal_wants_snapshot(&owner->journal)) {
        snapshot = nm_shard_journal_snapshot(&owner->shard, &snapshot_bytes);
    }
    int rc = nm_journal_append_snapshot(&owner->journal, record, bytes,
                                        snapshot, snapshot_bytes, info.epoch);
    g_free(record);
    g_free(snapshot);
    message_t *letter =
        schedule_message(sim, MESSAGE_JOURNAL, index, 5 + random_delay(sim));
    letter->rc = rc;
    owner->journal_busy = true;
    crashes_here(sim, index);
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
        if (crashes_here(sim, index)) {
            return;
        }
        send_sync(sim, index, sync);
        if (crashes_here(sim, index)) {
            return;
        }
    }
}

static owner_t *
current_owner(const shard_sim_t *sim)
{
    owner_t *best = NULL;
    int64_t best_epoch = 0;
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        owner_t *owner = (owner_t *)&sim->owners[i];
        if (!owner->alive) {
            continue;
        }
        nm_shard_info_t info = nm_shard_query(&owner->shard, sim->now_ms);
        if (info.phase != NM_SHARD_FOLLOWER && info.epoch > best_epoch) {
            best = owner;
            best_epoch = info.epoch;
        }
    }
    return best;
}

/* A new candidate arises when no running owner has authority for a time. */
static void
elect(shard_sim_t *sim)
{
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        const owner_t *owner = &sim->owners[i];
        if (owner_runs(sim, owner) &&
            nm_shard_has_authority(&owner->shard, sim->now_ms))
        {
            sim->follower_since_ms = sim->now_ms;
        }
    }
    if (sim->now_ms - sim->follower_since_ms < 1500) {
        return;
    }
    uint32_t first =
        sim->faults_stopped ? 0 : nm_rng_below(&sim->rng, SHARD_SIM_OWNERS);
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        owner_t *owner = &sim->owners[(first + i) % SHARD_SIM_OWNERS];
        if (owner_runs(sim, owner)) {
            nm_shard_campaign(&owner->shard, sim->now_ms);
            sim->follower_since_ms = sim->now_ms + 1500;
            sim->info.takeovers++;
            owner->journal_busy = false;
            return;
        }
    }
}

/* Faults */

static void
cause_fault(shard_sim_t *sim)
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
        /* A rival that ignores the owner. */
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
            end_owner(owner);
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
        cause_fault(sim);
        sim->next_fault_ms = sim->now_ms + 200 + nm_rng_below(&sim->rng, 3000);
    }
    restart_owners(sim);
    for (uint32_t i = 0; i < sim->worker_count; i++) {
        fake_worker_tick(&sim->workers[i], sim->now_ms);
    }
    deliver_due(sim);
    elect(sim);
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        run_owner(sim, i);
    }
    check_invariants(sim);
}

/* Interface */

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
    /* The first owner is known, so that crash points can be counted. */
    nm_shard_campaign(&sim->owners[0].shard, sim->now_ms);
    sim->follower_since_ms = sim->now_ms;
    sim->next_fault_ms = sim->now_ms + 1000;
    return sim;
}

void
shard_sim_free(shard_sim_t *sim)
{
    for (uint32_t i = 0; i < SHARD_SIM_OWNERS; i++) {
        end_owner(&sim->owners[i]);
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
    sim->workers[worker].fails_all = fails;
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
