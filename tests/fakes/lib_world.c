#include "lib_world.h"

#include <stdio.h>
#include <string.h>

#include "../../src/worker_json.h"

#define STEP_MS 10
#define TASK_LIMIT 4096

typedef enum {
    LETTER_SYNC,
    LETTER_REPLY,
    LETTER_FAILED,
    LETTER_JOURNAL,
} letter_type_t;

/* Something that arrives later. */
typedef struct {
    letter_type_t type;
    nm_ms_t at_ms;
    nm_ms_t posted_ms;
    uint64_t order;
    uint32_t owner;
    uint32_t generation; /* of the owner's process */
    uint32_t worker;
    uint64_t sequence;
    json_t *body;
    int rc;
    bool is_load;
} letter_t;

typedef struct {
    nm_shard_t shard;
    nm_journal_t journal;
    bool alive;
    uint32_t generation;
    nm_ms_t paused_until_ms;
    nm_ms_t restart_ms;
    bool journal_busy;
    nm_ms_t journal_retry_ms;
    bool cut[WORLD_WORKERS_MAX]; /* cannot reach the worker */
} owner_t;

typedef struct {
    nm_store_t base;
    nm_store_t *inner;
    bool down;
    bool loses;
    nm_rng_t *rng;
} faulty_store_t;

typedef struct {
    uint64_t last_checkpoint;
    uint64_t acked_checkpoint; /* that the journal holds */
    int64_t known_epoch;       /* of an owner that was told the last one */
    nm_ms_t known_ms;          /* when it was told */
    int64_t done_attempt;
    bool acked;
} trace_t;

struct world {
    world_desc_t desc;
    nm_rng_t rng;
    nm_ms_t now_ms;
    uint64_t order;
    owner_t owners[WORLD_OWNERS];
    fake_worker_t workers[WORLD_WORKERS_MAX];
    bool leaving[WORLD_WORKERS_MAX];
    uint32_t worker_count;
    GPtrArray *letters;
    GArray *jobs; /* of nm_shard_job_t */
    nm_store_memory_t memory;
    faulty_store_t store;
    GHashTable *traces; /* task name to trace_t */
    nm_ms_t next_fault_ms;
    nm_ms_t command_ms; /* when the sync being delivered was sent */
    nm_ms_t follower_since_ms;
    bool calm;
    world_info_t info;
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
    if (store->loses && nm_rng_below(store->rng, 3) == 0) {
        nm_store_result_finish(result);
        return NM_ERR_LOST;
    }
    return rc;
}

static const nm_store_vtable_t faulty_vtable = {.commit = faulty_commit};

/* Observing the workers */

static trace_t *
trace_of(world_t *world, const nm_attempt_name_t *name)
{
    char text[64];
    snprintf(text, sizeof(text), "%llx:%u", (unsigned long long)name->job,
             name->index);
    trace_t *trace = g_hash_table_lookup(world->traces, text);
    if (!trace) {
        trace = g_new0(trace_t, 1);
        g_hash_table_insert(world->traces, g_strdup(text), trace);
    }
    return trace;
}

static const nm_shard_job_t *
job_of(const world_t *world, uint64_t id)
{
    for (uint32_t i = 0; i < world->jobs->len; i++) {
        const nm_shard_job_t *job =
            &g_array_index(world->jobs, nm_shard_job_t, i);
        if (job->id == id) {
            return job;
        }
    }
    return NULL;
}

static void
on_event(void *user, const fake_worker_t *worker, fake_event_t event,
         const nm_attempt_name_t *name, uint64_t checkpoint, nm_ms_t now_ms)
{
    (void)worker;
    (void)now_ms;
    world_t *world = user;
    trace_t *trace = trace_of(world, name);
    const nm_shard_job_t *job = job_of(world, name->job);
    if (event == FAKE_EVENT_START) {
        /*
         * The newest checkpoint may be passed over only if neither the
         * journal nor this owner was told of it.
         */
        bool told = trace->known_epoch == name->attempt >> 24 &&
                    trace->known_ms <= world->command_ms;
        if (checkpoint != trace->last_checkpoint &&
            (told || checkpoint != trace->acked_checkpoint))
        {
            world->info.bad_resumes++;
        }
        if (checkpoint == trace->last_checkpoint) {
            /* Started from, so the journal holds it. */
            trace->acked_checkpoint = checkpoint;
        }
        if (trace->acked && job && !job->long_lived) {
            world->info.reruns++;
        }
    }
    else if (event == FAKE_EVENT_CHECKPOINTED) {
        trace->last_checkpoint = checkpoint;
        trace->known_epoch = 0;
        world->info.evictions++;
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
check_overlaps(world_t *world)
{
    GHashTable *seen =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    for (uint32_t w = 0; w < world->worker_count; w++) {
        const fake_worker_t *worker = &world->workers[w];
        int64_t cpu_milli = 0;
        for (uint32_t i = 0; i < worker->tasks->len; i++) {
            const fake_task_t *task =
                &g_array_index(worker->tasks, fake_task_t, i);
            if (task->state != NM_REPORT_RUNNING) {
                continue;
            }
            cpu_milli += task->amount.cpu_milli;
            char *name =
                g_strdup_printf("%llx:%u", (unsigned long long)task->name.job,
                                task->name.index);
            if (g_hash_table_contains(seen, name)) {
                world->info.overlaps++;
                g_strlcpy(world->info.example, name,
                          sizeof(world->info.example));
            }
            g_hash_table_add(seen, name);
        }
        world->info.overfull += cpu_milli > 16000;
    }
    g_hash_table_unref(seen);
}

/* Letters */

static letter_t *
post(world_t *world, letter_type_t type, uint32_t owner, nm_ms_t delay_ms)
{
    letter_t *letter = g_new0(letter_t, 1);
    letter->type = type;
    letter->at_ms = world->now_ms + delay_ms;
    letter->posted_ms = world->now_ms;
    letter->order = world->order++;
    letter->owner = owner;
    letter->generation = world->owners[owner].generation;
    g_ptr_array_add(world->letters, letter);
    return letter;
}

static void
free_letter(void *data)
{
    letter_t *letter = data;
    json_decref(letter->body);
    g_free(letter);
}

static nm_ms_t
random_delay(world_t *world)
{
    if (world->desc.faults && !world->calm &&
        nm_rng_below(&world->rng, 50) == 0) {
        return 1000 + nm_rng_below(&world->rng, 15000);
    }
    return 1 + nm_rng_below(&world->rng, 40);
}

/* Counts a step of the owner; true if it dies here. */
static bool
crashes_here(world_t *world, uint32_t index)
{
    owner_t *owner = &world->owners[index];
    if (index != 0 || owner->generation != 1) {
        return false;
    }
    world->info.steps++;
    if (world->desc.crash_after == 0 ||
        world->info.steps != world->desc.crash_after)
    {
        return false;
    }
    owner->alive = false;
    owner->restart_ms = world->now_ms + 3000;
    world->info.kills++;
    return true;
}

static void
send_sync(world_t *world, uint32_t index, const nm_sync_t *sync)
{
    owner_t *owner = &world->owners[index];
    uint32_t worker = (uint32_t)sync->worker - 1;
    post(world, LETTER_FAILED, index, NM_SHARD_SYNC_TIMEOUT_MS)->worker =
        worker;
    letter_t *failed = world->letters->pdata[world->letters->len - 1];
    failed->sequence = sync->sequence;
    if (owner->cut[worker]) {
        return;
    }
    uint32_t copies = 1;
    if (world->desc.faults && !world->calm) {
        uint32_t draw = nm_rng_below(&world->rng, 40);
        copies = draw == 0 ? 0 : draw == 1 ? 2 : 1;
    }
    for (uint32_t i = 0; i < copies; i++) {
        letter_t *letter =
            post(world, LETTER_SYNC, index, random_delay(world));
        letter->worker = worker;
        letter->sequence = sync->sequence;
        letter->body = nm_worker_sync_encode(sync);
    }
}

static void
deliver_sync(world_t *world, const letter_t *letter)
{
    nm_worker_sync_t sync;
    if (nm_worker_sync_decode(letter->body, &sync) == NM_OK) {
        nm_sync_reply_t reply;
        world->command_ms = letter->posted_ms;
        fake_worker_sync(&world->workers[letter->worker], &sync.sync,
                         world->now_ms, &reply);
        letter_t *answer =
            post(world, LETTER_REPLY, letter->owner, random_delay(world));
        answer->worker = letter->worker;
        answer->sequence = letter->sequence;
        answer->generation = letter->generation;
        answer->body = nm_worker_reply_encode(&reply);
    }
    nm_worker_sync_finish(&sync);
}

/* Notes which checkpoints an owner or candidate has been told of. */
static void
note_reports(world_t *world, const owner_t *owner,
             const nm_sync_reply_t *reply)
{
    nm_shard_info_t info = nm_shard_query(&owner->shard, world->now_ms);
    for (uint32_t i = 0; i < reply->task_count; i++) {
        const nm_task_report_t *report = &reply->tasks[i];
        trace_t *trace = trace_of(world, &report->name);
        if (info.phase != NM_SHARD_FOLLOWER &&
            report->state == NM_REPORT_CHECKPOINTED &&
            report->checkpoint == trace->last_checkpoint)
        {
            if (trace->known_epoch != info.epoch) {
                trace->known_ms = world->now_ms;
            }
            trace->known_epoch = info.epoch;
        }
    }
}

static void
deliver_to_owner(world_t *world, const letter_t *letter)
{
    owner_t *owner = &world->owners[letter->owner];
    uint64_t worker = letter->worker + 1;
    if (letter->type == LETTER_REPLY) {
        nm_worker_reply_t reply;
        if (nm_worker_reply_decode(letter->body, &reply) == NM_OK) {
            uint64_t before = nm_counter_value(NM_COUNTER_SYNCS);
            nm_shard_sync_reply(&owner->shard, worker, letter->sequence,
                                &reply.reply, world->now_ms);
            /* Replies that come after their timeout are not taken in. */
            if (nm_counter_value(NM_COUNTER_SYNCS) > before) {
                note_reports(world, owner, &reply.reply);
            }
        }
        nm_worker_reply_finish(&reply);
    }
    else if (letter->type == LETTER_FAILED) {
        nm_shard_sync_failed(&owner->shard, worker, letter->sequence,
                             world->now_ms);
    }
    else {
        owner->journal_busy = false;
        if (letter->is_load && letter->rc == NM_ERR_STALE) {
            nm_shard_resign(&owner->shard);
        }
        else if (letter->is_load && letter->rc == NM_OK) {
            nm_shard_journal_loaded(&owner->shard, world->now_ms);
        }
        else if (!letter->is_load) {
            nm_shard_journal_done(&owner->shard, letter->rc == NM_OK,
                                  world->now_ms);
            if (letter->rc == NM_ERR_CONFLICT || letter->rc == NM_ERR_STALE) {
                nm_shard_resign(&owner->shard);
            }
        }
        if (letter->rc < 0) {
            owner->journal_retry_ms = world->now_ms + 300;
        }
    }
}

static bool
owner_runs(const world_t *world, const owner_t *owner)
{
    return owner->alive && world->now_ms >= owner->paused_until_ms;
}

static void
deliver_due(world_t *world)
{
    for (uint32_t i = 0; i < world->letters->len;) {
        letter_t *letter = world->letters->pdata[i];
        owner_t *owner = &world->owners[letter->owner];
        bool to_worker = letter->type == LETTER_SYNC;
        bool lost = !to_worker &&
                    (!owner->alive || letter->generation != owner->generation);
        bool waits = letter->at_ms > world->now_ms ||
                     (!to_worker && !lost && !owner_runs(world, owner));
        if (waits) {
            i++;
            continue;
        }
        g_ptr_array_steal_index_fast(world->letters, i);
        if (to_worker) {
            deliver_sync(world, letter);
        }
        else if (!lost) {
            deliver_to_owner(world, letter);
        }
        free_letter(letter);
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
set_workers(world_t *world, owner_t *owner)
{
    for (uint32_t i = 0; i < world->worker_count; i++) {
        nm_shard_worker_t worker = {
            .id = i + 1,
            .rack = i / 4,
            .capacity = {16000, 64000, 0},
            .service = NM_PLACE_NO_SERVICE,
            .leaving = world->leaving[i],
        };
        nm_shard_set_worker(&owner->shard, &worker, world->now_ms);
    }
}

static void
set_jobs(world_t *world, owner_t *owner)
{
    for (uint32_t i = 0; i < world->jobs->len; i++) {
        nm_shard_set_job(&owner->shard,
                         &g_array_index(world->jobs, nm_shard_job_t, i));
    }
    nm_shard_sweep_jobs(&owner->shard, world->now_ms);
}

static void
start_owner(world_t *world, uint32_t index)
{
    owner_t *owner = &world->owners[index];
    owner->alive = true;
    owner->generation++;
    owner->journal_busy = false;
    nm_shard_init(&owner->shard,
                  &(nm_shard_desc_t){
                      .owner_id = index + 1 + owner->generation * 16ull,
                      .seed = world->desc.seed + index,
                  });
    nm_journal_init(&owner->journal, &world->store.base, "shard",
                    world->desc.seed * 97 + index * 13 + owner->generation);
    set_workers(world, owner);
    set_jobs(world, owner);
}

static void
end_owner(owner_t *owner)
{
    nm_shard_finish(&owner->shard);
}

static void
run_journal(world_t *world, uint32_t index)
{
    owner_t *owner = &world->owners[index];
    nm_shard_info_t info = nm_shard_query(&owner->shard, world->now_ms);
    if (owner->journal_busy || world->now_ms < owner->journal_retry_ms) {
        return;
    }
    if (info.phase == NM_SHARD_LOADING) {
        nm_shard_journal_reset(&owner->shard);
        int rc = nm_journal_load_as_writer(&owner->journal, info.epoch, replay,
                                           &owner->shard);
        letter_t *letter = post(world, LETTER_JOURNAL, index, 5);
        letter->is_load = true;
        letter->rc = rc;
        owner->journal_busy = true;
        nm_shard_saw_epoch(&owner->shard, owner->journal.epoch);
        return;
    }
    uint32_t bytes;
    uint8_t *record = nm_shard_journal_take(&owner->shard, &bytes);
    if (!record || crashes_here(world, index)) {
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
    letter_t *letter =
        post(world, LETTER_JOURNAL, index, 5 + random_delay(world));
    letter->rc = rc;
    owner->journal_busy = true;
    crashes_here(world, index);
}

static void
run_owner(world_t *world, uint32_t index)
{
    owner_t *owner = &world->owners[index];
    if (!owner_runs(world, owner)) {
        return;
    }
    nm_shard_tick(&owner->shard, world->now_ms,
                  1000000 + world->now_ms / 1000);
    run_journal(world, index);
    const nm_sync_t *sync;
    while (owner->alive &&
           (sync = nm_shard_next_sync(&owner->shard, world->now_ms)))
    {
        if (crashes_here(world, index)) {
            return;
        }
        send_sync(world, index, sync);
        if (crashes_here(world, index)) {
            return;
        }
    }
}

static owner_t *
current_owner(const world_t *world)
{
    owner_t *best = NULL;
    int64_t best_epoch = 0;
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        owner_t *owner = (owner_t *)&world->owners[i];
        if (!owner->alive) {
            continue;
        }
        nm_shard_info_t info = nm_shard_query(&owner->shard, world->now_ms);
        if (info.phase != NM_SHARD_FOLLOWER && info.epoch > best_epoch) {
            best = owner;
            best_epoch = info.epoch;
        }
    }
    return best;
}

/* A new candidate arises when no running owner has authority for a time. */
static void
elect(world_t *world)
{
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        const owner_t *owner = &world->owners[i];
        if (owner_runs(world, owner) &&
            nm_shard_has_authority(&owner->shard, world->now_ms))
        {
            world->follower_since_ms = world->now_ms;
        }
    }
    if (world->now_ms - world->follower_since_ms < 1500) {
        return;
    }
    uint32_t first = world->calm ? 0 : nm_rng_below(&world->rng, WORLD_OWNERS);
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        owner_t *owner = &world->owners[(first + i) % WORLD_OWNERS];
        if (owner_runs(world, owner)) {
            nm_shard_campaign(&owner->shard, world->now_ms);
            world->follower_since_ms = world->now_ms + 1500;
            world->info.takeovers++;
            owner->journal_busy = false;
            return;
        }
    }
}

/* Faults */

static void
cause_fault(world_t *world)
{
    uint32_t index = nm_rng_below(&world->rng, WORLD_OWNERS);
    owner_t *owner = &world->owners[index];
    uint32_t worker = nm_rng_below(&world->rng, world->worker_count);
    switch (nm_rng_below(&world->rng, 9)) {
    case 0:
        if (owner->alive) {
            owner->alive = false;
            owner->restart_ms =
                world->now_ms + 500 + nm_rng_below(&world->rng, 6000);
            world->info.kills++;
        }
        break;
    case 1:
        owner->paused_until_ms =
            world->now_ms + nm_rng_below(&world->rng, 15000);
        break;
    case 2:
    case 3:
        owner->cut[worker] = !owner->cut[worker];
        break;
    case 4:
        for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
            world->owners[i].cut[worker] = true;
        }
        break;
    case 5:
        world->store.down = !world->store.down;
        break;
    case 6:
        world->store.loses = !world->store.loses;
        break;
    case 7:
        /* A rival that ignores the owner. */
        if (owner_runs(world, owner)) {
            nm_shard_campaign(&owner->shard, world->now_ms);
            owner->journal_busy = false;
            world->info.takeovers++;
        }
        break;
    default:
        world_set_leaving(world, worker, !world->leaving[worker]);
        break;
    }
}

static void
restart_owners(world_t *world)
{
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        owner_t *owner = &world->owners[i];
        if (!owner->alive && world->now_ms >= owner->restart_ms) {
            end_owner(owner);
            start_owner(world, i);
        }
    }
}

static void
step(world_t *world)
{
    world->now_ms += STEP_MS;
    if (world->desc.faults && !world->calm &&
        world->now_ms >= world->next_fault_ms)
    {
        cause_fault(world);
        world->next_fault_ms =
            world->now_ms + 200 + nm_rng_below(&world->rng, 3000);
    }
    restart_owners(world);
    for (uint32_t i = 0; i < world->worker_count; i++) {
        fake_worker_tick(&world->workers[i], world->now_ms);
    }
    deliver_due(world);
    elect(world);
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        run_owner(world, i);
    }
    check_overlaps(world);
}

/* Interface */

world_t *
world_new(const world_desc_t *desc)
{
    world_t *world = g_new0(world_t, 1);
    world->desc = *desc;
    world->worker_count = desc->workers ? desc->workers : 5;
    nm_rng_init(&world->rng, desc->seed);
    world->now_ms = 100000;
    world->letters = g_ptr_array_new();
    world->jobs = g_array_new(FALSE, TRUE, sizeof(nm_shard_job_t));
    world->traces =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    world->store = (faulty_store_t){
        .base.vtable = &faulty_vtable,
        .inner = nm_store_memory_init(&world->memory),
        .rng = &world->rng,
    };
    for (uint32_t i = 0; i < world->worker_count; i++) {
        fake_worker_init(&world->workers[i], i + 1, on_event, world);
        world->workers[i].ticked_ms = world->now_ms;
    }
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        start_owner(world, i);
    }
    /* The first owner is known, so that crash points can be counted. */
    nm_shard_campaign(&world->owners[0].shard, world->now_ms);
    world->follower_since_ms = world->now_ms;
    world->next_fault_ms = world->now_ms + 1000;
    return world;
}

void
world_free(world_t *world)
{
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        end_owner(&world->owners[i]);
    }
    for (uint32_t i = 0; i < world->worker_count; i++) {
        fake_worker_finish(&world->workers[i]);
    }
    for (uint32_t i = 0; i < world->letters->len; i++) {
        free_letter(world->letters->pdata[i]);
    }
    g_ptr_array_free(world->letters, TRUE);
    g_array_free(world->jobs, TRUE);
    g_hash_table_unref(world->traces);
    nm_store_memory_finish(&world->memory);
    g_free(world);
}

static void
tell_owners(world_t *world)
{
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        if (world->owners[i].alive) {
            set_jobs(world, &world->owners[i]);
        }
    }
}

void
world_add_job(world_t *world, const nm_shard_job_t *job)
{
    g_array_append_val(world->jobs, *job);
    tell_owners(world);
}

void
world_remove_job(world_t *world, uint64_t id)
{
    for (uint32_t i = 0; i < world->jobs->len; i++) {
        if (g_array_index(world->jobs, nm_shard_job_t, i).id == id) {
            g_array_remove_index(world->jobs, i);
            break;
        }
    }
    tell_owners(world);
}

void
world_set_leaving(world_t *world, uint32_t worker, bool leaving)
{
    world->leaving[worker] = leaving;
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        if (world->owners[i].alive) {
            set_workers(world, &world->owners[i]);
        }
    }
}

void
world_set_fails(world_t *world, uint32_t worker, bool fails)
{
    world->workers[worker].fails_all = fails;
}

void
world_run(world_t *world, nm_ms_t duration_ms)
{
    nm_ms_t until_ms = world->now_ms + duration_ms;
    while (world->now_ms < until_ms) {
        step(world);
    }
}

void
world_calm(world_t *world)
{
    world->calm = true;
    world->store.down = false;
    world->store.loses = false;
    for (uint32_t i = 0; i < WORLD_OWNERS; i++) {
        world->owners[i].paused_until_ms = 0;
        memset(world->owners[i].cut, 0, sizeof(world->owners[i].cut));
    }
    for (uint32_t i = 0; i < world->worker_count; i++) {
        world_set_leaving(world, i, false);
        world_set_fails(world, i, false);
    }
}

world_info_t
world_query(const world_t *world)
{
    return world->info;
}

uint32_t
world_count(const world_t *world, nm_task_state_t state)
{
    owner_t *owner = current_owner(world);
    return owner ? nm_shard_query(&owner->shard, world->now_ms).counts[state]
                 : 0;
}

bool
world_query_job(const world_t *world, const char *path,
                nm_shard_job_info_t *info)
{
    owner_t *owner = current_owner(world);
    for (uint32_t i = 0; owner && nm_shard_query_job(&owner->shard, i, info);
         i++) {
        if (strcmp(info->path, path) == 0) {
            return true;
        }
    }
    return false;
}

nm_ms_t
world_now(const world_t *world)
{
    return world->now_ms;
}
