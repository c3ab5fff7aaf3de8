/*
 * A shard: one data centre's workers and the tasks homed to it.
 *
 * A decision module for the shard's owner.  It campaigns for ownership,
 * fences the workers with its epoch, takes over what they run, starts,
 * throttles, evicts and ends tasks, and yields journal records.  The
 * control thread carries out its syncs and appends.
 *
 * Ownership is settled by the workers: each remembers the highest epoch it
 * has seen and refuses older ones.  An owner may act only while a majority
 * of the shard's workers acknowledged its epoch within the authority term.
 *
 *     nm_shard_t shard;
 *     nm_shard_init(&shard, &(nm_shard_desc_t){.owner_id = id});
 *     nm_shard_set_worker(&shard, &worker, now_ms);
 *     nm_shard_campaign(&shard, now_ms);
 *     while ((sync = nm_shard_next_sync(&shard, now_ms))) { ... }
 *     nm_shard_sync_reply(&shard, worker_id, sequence, &reply, now_ms);
 *     nm_shard_tick(&shard, now_ms, unix_s);
 */
#ifndef NUTMEGDECK_SHARD_H
#define NUTMEGDECK_SHARD_H

#include <nutmegdeck/place.h>

/* An owner acts for this long on a majority's acknowledgements. */
#define NM_SHARD_AUTHORITY_MS 2000
/* A worker ends its tasks this long after its last renewed report. */
#define NM_SHARD_LEASE_MS 8000
/* Margin for clock drift between hosts: 500 ms of an 8 s lease. */
#define NM_SHARD_CLOCK_DRIFT_MARGIN_MS 500
/* A synchronisation without an answer fails after this. */
#define NM_SHARD_SYNC_TIMEOUT_MS 1500

typedef enum {
    NM_SHARD_FOLLOWER,
    NM_SHARD_FENCING, /* a majority of workers has not acknowledged yet */
    NM_SHARD_LOADING, /* waits for the journal */
    NM_SHARD_ACTIVE,
} nm_shard_phase_t;

const char *nm_shard_phase_name(nm_shard_phase_t phase);

typedef enum {
    NM_TASK_WAITING,    /* no attempt exists */
    NM_TASK_LEASE_WAIT, /* an unknown attempt may run; waits for its lease */
    NM_TASK_RUNNING,    /* started, or about to be */
    NM_TASK_ENDING,     /* told to checkpoint or stop */
    NM_TASK_RECORDING,  /* its outcome is being written to the journal */
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

/* Names one attempt of one task. */
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
    bool checkpoint; /* else end at once */
} nm_stop_t;

typedef struct {
    nm_attempt_id_t id;
    uint8_t percent;
} nm_throttle_t;

/* One synchronisation with a worker: fence, renewal and commands. */
typedef struct {
    uint64_t worker;
    const char *address;
    uint64_t owner;
    int64_t epoch;
    uint64_t sequence;
    nm_ms_t echo_ms;  /* the worker's clock in its last report; 0: none */
    nm_ms_t lease_ms; /* tasks may run until echo + lease; 0: no renewal */
    const nm_start_t *starts;
    uint32_t start_count;
    const nm_stop_t *stops;
    uint32_t stop_count;
    const nm_throttle_t *throttles;
    uint32_t throttle_count;
    const nm_attempt_id_t *acks; /* outcomes that the worker may forget */
    uint32_t ack_count;
} nm_sync_t;

typedef struct {
    nm_attempt_id_t id;
    nm_report_state_t state;
    uint64_t checkpoint;
    nm_resources_t usage; /* 0: not measured yet */
} nm_task_report_t;

typedef struct {
    nm_ms_t age_ms; /* of the measurement when it was sent */
    float load;
    float slowdown;
} nm_service_report_t;

typedef struct {
    bool accepted;          /* false: the worker knows a higher epoch */
    int64_t epoch;          /* highest epoch that the worker has seen */
    int64_t previous_epoch; /* highest before this owner's; 0: none */
    nm_ms_t clock_ms;
    const nm_task_report_t *tasks; /* all that the worker holds */
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
    bool leaving;
} nm_shard_worker_t;

typedef struct {
    uint64_t id; /* hash of path and run */
    char path[NM_NAME_MAX * 2];
    uint64_t class_id;
    uint64_t team; /* 0: none */
    uint32_t tasks;
    uint32_t gang;
    nm_resources_t declared;
    uint32_t duration_s;
    uint32_t finish_within_s; /* 0: no deadline */
    uint8_t priority;
    bool long_lived; /* ended tasks start again */
} nm_shard_job_t;

typedef struct {
    uint64_t id;
    nm_resources_t quota; /* 0 in a part: no limit */
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
    bool first_owner; /* no worker was ever commanded before */
    uint32_t workers;
    uint32_t workers_reached;
    uint32_t jobs;
    uint32_t counts[NM_TASK_STATE_COUNT];
} nm_shard_info_t;

typedef struct nm_shard {
    struct nm_shard_state *state;
} nm_shard_t;

void nm_shard_init(nm_shard_t *shard, const nm_shard_desc_t *desc);
void nm_shard_finish(nm_shard_t *shard);

/* Settings and host list.  sweep removes what was not named since. */
void nm_shard_set_worker(nm_shard_t *shard, const nm_shard_worker_t *worker,
                         nm_ms_t now_ms);
void nm_shard_sweep_workers(nm_shard_t *shard, nm_ms_t now_ms);
void nm_shard_set_team(nm_shard_t *shard, const nm_shard_team_t *team);
void nm_shard_set_weight(nm_shard_t *shard, uint32_t weight_latency_pct);
void nm_shard_set_job(nm_shard_t *shard, const nm_shard_job_t *job);
/* Cancels the jobs that no set_job named since the last sweep. */
void nm_shard_sweep_jobs(nm_shard_t *shard, nm_ms_t now_ms);

/* Ownership */
void nm_shard_campaign(nm_shard_t *shard, nm_ms_t now_ms);
void nm_shard_resign(nm_shard_t *shard);
/* Notes an epoch seen elsewhere, so that a campaign exceeds it. */
void nm_shard_observe_epoch(nm_shard_t *shard, int64_t epoch);
bool nm_shard_has_authority(const nm_shard_t *shard, nm_ms_t now_ms);

/* Journal.  A record is taken, appended, and its end reported. */
/* Forgets what was replayed; call it before a journal is loaded again. */
void nm_shard_journal_reset(nm_shard_t *shard);
int nm_shard_journal_replay(nm_shard_t *shard, const void *data,
                            uint32_t bytes);
/* Reports that replay is complete. */
void nm_shard_journal_loaded(nm_shard_t *shard, nm_ms_t now_ms);
/* Returns a new record (g_free it), or NULL if nothing changed. */
uint8_t *nm_shard_journal_take_record(nm_shard_t *shard, uint32_t *bytes);
/* Returns the whole state, including the record taken (g_free it). */
uint8_t *nm_shard_journal_snapshot(nm_shard_t *shard, uint32_t *bytes);
void nm_shard_journal_append_done(nm_shard_t *shard, bool committed,
                                  nm_ms_t now_ms);

/* Workers */
/* Returns a sync that is due; valid until its reply or failure. */
const nm_sync_t *nm_shard_next_sync(nm_shard_t *shard, nm_ms_t now_ms);
void nm_shard_sync_reply(nm_shard_t *shard, uint64_t worker, uint64_t sequence,
                         const nm_sync_reply_t *reply, nm_ms_t now_ms);
void nm_shard_sync_failed(nm_shard_t *shard, uint64_t worker,
                          uint64_t sequence, nm_ms_t now_ms);
void nm_shard_tick(nm_shard_t *shard, nm_ms_t now_ms, int64_t unix_s);

nm_shard_info_t nm_shard_query(const nm_shard_t *shard, nm_ms_t now_ms);
/* Returns false if there is no such job. */
bool nm_shard_query_job(const nm_shard_t *shard, uint32_t position,
                        nm_shard_job_info_t *info);
/* Predicted slowdown of the service on a worker; 1 if not known. */
float nm_shard_query_slowdown(const nm_shard_t *shard, uint64_t worker);
nm_place_info_t nm_shard_query_worker(const nm_shard_t *shard,
                                      uint64_t worker);

#endif
