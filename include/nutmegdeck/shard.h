/*
 * A shard: the workers of one data centre and the tasks assigned to it.
 *
 * A decision module for the shard's owner.  It campaigns for ownership,
 * fences the workers with its epoch, takes over the tasks that they run,
 * starts, throttles, evicts and ends tasks, and produces journal records.
 * The control thread sends its syncs and appends its records.  Each worker
 * is synced every 500 ms by default; shards of more than 500 workers take
 * 1 ms for each worker, up to 1 s.
 *
 * The workers decide ownership: each remembers the highest epoch it has
 * seen and rejects lower ones.  An owner may act only while a majority of
 * the shard's workers has acknowledged its epoch within the last
 * NM_SHARD_AUTHORITY_MS.
 *
 *     nm_shard_t shard;
 *     nm_shard_init(&shard, &(nm_shard_desc_t){.owner_id = id});
 *     nm_shard_set_worker(&shard, &worker, now_ms);
 *     nm_shard_set_job(&shard, &job);
 *     nm_shard_campaign(&shard, now_ms);
 *     while ((sync = nm_shard_next_sync(&shard, now_ms))) { ... }
 *     nm_shard_sync_reply(&shard, worker_id, sequence, &reply, now_ms);
 *     nm_shard_tick(&shard, now_ms, unix_s);
 */
#ifndef NUTMEGDECK_SHARD_H
#define NUTMEGDECK_SHARD_H

#include <nutmegdeck/place.h>

/*
 * An owner may act for this long after it sent the syncs that a majority
 * acknowledged.
 */
#define NM_SHARD_AUTHORITY_MS 2000
/*
 * A worker ends its tasks this long after the last of its reports that the
 * owner has echoed in a renewal.
 */
#define NM_SHARD_LEASE_MS 8000
/* Margin for clock drift between hosts: 500 ms for a lease of 8 s. */
#define NM_SHARD_CLOCK_DRIFT_MARGIN_MS 500
/* A worker gets no new tasks while a reply takes longer. */
#define NM_SHARD_SYNC_SLOW_MS 1500
/*
 * A sync without a reply fails after this time.  A lease ends at most two
 * syncs after the report that it is based on, so that it outlives replies
 * that take as long.
 */
#define NM_SHARD_SYNC_TIMEOUT_MS (NM_SHARD_LEASE_MS / 2 - 100)

typedef enum {
    NM_SHARD_FOLLOWER,
    NM_SHARD_FENCING, /* waits for a majority of workers to acknowledge */
    NM_SHARD_LOADING, /* waits for the journal */
    NM_SHARD_ACTIVE,
} nm_shard_phase_t;

const char *nm_shard_phase_name(nm_shard_phase_t phase);

typedef enum {
    NM_TASK_WAITING,    /* no attempt exists */
    NM_TASK_LEASE_WAIT, /* an unknown attempt may run until its lease ends */
    NM_TASK_RUNNING,    /* an attempt was started, or its start is queued */
    NM_TASK_ENDING,     /* a stop was queued or sent */
    NM_TASK_RECORDING,  /* the outcome is being written to the journal */
    NM_TASK_DONE,
    NM_TASK_STATE_COUNT,
} nm_task_state_t;

typedef enum {
    NM_REPORT_RUNNING,
    NM_REPORT_DONE,
    NM_REPORT_FAILED,
    NM_REPORT_CHECKPOINTED, /* evicted; resumes from the checkpoint */
    NM_REPORT_STOPPED,      /* evicted without a checkpoint */
} nm_report_state_t;

/* Identifies one attempt of one task. */
typedef struct {
    uint64_t job;
    uint32_t index;
    int64_t attempt;
} nm_attempt_id_t;

typedef struct {
    nm_attempt_id_t id;
    uint64_t checkpoint; /* 0: from the beginning */
    nm_resources_t resources;
    uint32_t duration_s; /* declared */
    char path[NM_NAME_MAX * 2];
} nm_start_t;

typedef struct {
    nm_attempt_id_t id;
    bool checkpoint; /* save a checkpoint first; false: end at once */
} nm_stop_t;

typedef struct {
    nm_attempt_id_t id;
    uint8_t throttle_pct; /* processor share that the task keeps */
} nm_throttle_t;

/*
 * One synchronisation with a worker: its epoch fences the worker, and it
 * renews leases and carries commands.
 */
typedef struct {
    uint64_t worker;
    const char *address;
    uint64_t owner;
    int64_t epoch;
    uint64_t sequence;
    nm_ms_t echo_ms;  /* worker's clock in its last report; 0: none */
    nm_ms_t lease_ms; /* tasks run until echo_ms + lease_ms; 0: no renewal */
    const nm_start_t *starts;
    uint32_t start_count;
    const nm_stop_t *stops;
    uint32_t stop_count;
    const nm_throttle_t *throttles;
    uint32_t throttle_count;
    const nm_attempt_id_t *acks; /* outcomes that the worker may discard */
    uint32_t ack_count;
} nm_sync_t;

typedef struct {
    nm_attempt_id_t id;
    nm_report_state_t state;
    uint64_t checkpoint;
    nm_resources_t usage; /* 0: not measured yet */
} nm_task_report_t;

typedef struct {
    nm_ms_t age_ms; /* of the measurement when the reply was sent */
    float load;
    float slowdown;
} nm_service_report_t;

typedef struct {
    bool accepted;          /* false: the epoch or the sequence is outdated */
    int64_t epoch;          /* highest that the worker has seen */
    int64_t previous_epoch; /* highest before the current one; 0: none */
    nm_ms_t clock_ms;
    const nm_task_report_t *tasks; /* running, or ended but not acked */
    uint32_t task_count;
    const nm_service_report_t *services;
    uint32_t service_count;
} nm_sync_reply_t;

typedef struct {
    uint64_t owner_id; /* of this process; not 0 */
    uint64_t seed;
    nm_place_policy_t policy;
    nm_ms_t sync_interval_ms; /* 0: 500 */
} nm_shard_desc_t;

typedef struct {
    uint64_t id;
    char address[NM_NAME_MAX * 2];
    uint32_t rack;
    nm_resources_t capacity;
    uint32_t service; /* or NM_PLACE_NO_SERVICE */
    nm_resources_t executor;
    bool leaving; /* its tasks are evicted with a checkpoint */
} nm_shard_worker_t;

typedef struct {
    uint64_t id; /* hash of path and run */
    char path[NM_NAME_MAX * 2];
    uint64_t class_id;
    uint64_t team; /* 0: none */
    uint32_t tasks;
    uint32_t gang; /* tasks that start together; 0: 1 */
    nm_resources_t declared;
    uint32_t duration_s;
    uint32_t finish_within_s; /* 0: no deadline */
    uint8_t priority;
    bool long_lived; /* completed tasks start again */
} nm_shard_job_t;

typedef struct {
    uint64_t id;
    nm_resources_t quota; /* 0 in a field: no limit */
} nm_shard_team_t;

typedef struct {
    char path[NM_NAME_MAX * 2];
    uint32_t counts[NM_TASK_STATE_COUNT];
    uint32_t failures;
    nm_reason_t reason; /* why tasks wait */
    bool long_lived;
} nm_shard_job_info_t;

typedef struct {
    nm_shard_phase_t phase;
    int64_t epoch;
    bool authority;
    bool first_owner; /* no worker has seen an earlier epoch */
    uint32_t workers;
    uint32_t workers_reached; /* reported within the lease term */
    uint32_t jobs;
    uint32_t counts[NM_TASK_STATE_COUNT];
} nm_shard_info_t;

typedef struct nm_shard {
    struct nm_shard_state *state;
} nm_shard_t;

void nm_shard_init(nm_shard_t *shard, const nm_shard_desc_t *desc);
void nm_shard_finish(nm_shard_t *shard);

/*
 * Settings and host list.  The caller sets all workers and jobs and then calls
 * the sweep functions, which drop those that were not set since the last
 * sweep.
 */
void nm_shard_set_worker(nm_shard_t *shard, const nm_shard_worker_t *desc,
                         nm_ms_t now_ms);
/* Removes the workers that were not set since the last sweep. */
void nm_shard_sweep_workers(nm_shard_t *shard, nm_ms_t now_ms);
void nm_shard_set_team(nm_shard_t *shard, const nm_shard_team_t *desc);
/* Sets the weight of latency over throughput, see nm_place_set_weight(). */
void nm_shard_set_weight(nm_shard_t *shard, uint32_t weight_latency_pct);
void nm_shard_set_job(nm_shard_t *shard, const nm_shard_job_t *desc);
/* Cancels the jobs that were not set since the last sweep. */
void nm_shard_sweep_jobs(nm_shard_t *shard, nm_ms_t now_ms);

/* Ownership */
/* Campaigns for ownership with a new epoch; drops all assignments. */
void nm_shard_campaign(nm_shard_t *shard, nm_ms_t now_ms);
/* Becomes a follower. */
void nm_shard_resign(nm_shard_t *shard);
/* Records an epoch seen elsewhere, so that the next campaign exceeds it. */
void nm_shard_observe_epoch(nm_shard_t *shard, int64_t epoch);
/* Returns true while a majority's acknowledgements let the owner act. */
bool nm_shard_has_authority(const nm_shard_t *shard, nm_ms_t now_ms);

/*
 * Journal.  The caller takes a record, appends it to the journal and reports
 * the result.  One record is outstanding at a time.
 */
/* Discards replayed records; call it before the journal is loaded again. */
void nm_shard_journal_reset(nm_shard_t *shard);
/* Replays a record; returns NM_ERR_CORRUPT if it cannot be decoded. */
int nm_shard_journal_replay(nm_shard_t *shard, const void *data,
                            uint32_t bytes);
/* Reports that replay is complete. */
void nm_shard_journal_loaded(nm_shard_t *shard, nm_ms_t now_ms);
/*
 * Returns a new record (g_free it); NULL if nothing changed, a record is
 * outstanding or the phase is not NM_SHARD_ACTIVE.
 */
uint8_t *nm_shard_journal_take_record(nm_shard_t *shard, uint32_t *bytes);
/* Returns the whole state, including the record last taken (g_free it). */
uint8_t *nm_shard_journal_snapshot(nm_shard_t *shard, uint32_t *bytes);
/* Reports whether the record last taken was committed. */
void nm_shard_journal_append_done(nm_shard_t *shard, bool committed,
                                  nm_ms_t now_ms);

/* Workers */
/*
 * Returns a sync that is due, or NULL.  It is valid until its reply or failure
 * is reported.
 */
const nm_sync_t *nm_shard_next_sync(nm_shard_t *shard, nm_ms_t now_ms);
/* Reports the reply to a sync; replies to other syncs are ignored. */
void nm_shard_sync_reply(nm_shard_t *shard, uint64_t worker_id,
                         uint64_t sequence, const nm_sync_reply_t *reply,
                         nm_ms_t now_ms);
/* Reports that a sync failed or timed out. */
void nm_shard_sync_failed(nm_shard_t *shard, uint64_t worker_id,
                          uint64_t sequence, nm_ms_t now_ms);
/*
 * Completes takeovers, expires leases, applies the actions of the place module
 * and starts waiting tasks.
 */
void nm_shard_tick(nm_shard_t *shard, nm_ms_t now_ms, int64_t unix_s);

nm_shard_info_t nm_shard_query(const nm_shard_t *shard, nm_ms_t now_ms);
/* Returns false if there is no job at the position. */
bool nm_shard_query_job(const nm_shard_t *shard, uint32_t position,
                        nm_shard_job_info_t *info);
/*
 * Returns the predicted slowdown of a worker's service; 1 for unknown workers.
 */
float nm_shard_query_slowdown(const nm_shard_t *shard, uint64_t worker_id);
nm_place_info_t nm_shard_query_worker(const nm_shard_t *shard,
                                      uint64_t worker_id);

#endif
