/*
 * State shared by the parts of the shard module.
 *
 * Internal.  shard.c holds settings and task states, shard_owner.c ownership
 * and leases, shard_sync.c the exchange with workers, shard_schedule.c the
 * start of waiting tasks, and shard_journal.c the journal records.
 */
#ifndef NM_SHARD_STATE_H
#define NM_SHARD_STATE_H

#include <glib.h>

#include <nutmegdeck/shard.h>

/* Tasks of this priority or a higher one are urgent and may evict others. */
#define NM_URGENT_PRIORITY_MIN 9
/* Maximum number of workers kept per failing job, and jobs per worker. */
#define NM_SUSPECTS_MAX 8

typedef struct {
    nm_task_state_t state;
    int32_t worker; /* index, or -1 */
    int64_t attempt;
    uint64_t checkpoint;
    uint32_t failures;
    nm_report_state_t outcome; /* while RECORDING */
    int32_t outcome_worker;    /* worker to acknowledge the outcome to */
    int64_t ended_attempt;     /* newest attempt whose outcome was accepted */
    uint64_t start_sequence;   /* sync that carried the start; 0: none yet */
    bool queued;               /* in the job's waiting queue */
    /*
     * Outcome that cannot be applied yet: it is of an older attempt and the
     * current one is unconfirmed, or the journal is not loaded.
     */
    int64_t deferred_attempt; /* 0: none */
    uint64_t deferred_checkpoint;
    nm_report_state_t deferred_state;
    int32_t deferred_worker;
    bool confirmed;       /* the worker reported the current attempt */
    bool stop_checkpoint; /* while ENDING: the stop requests a checkpoint */
    bool dirty;           /* differs from the last record taken */
    bool in_record;       /* part of the record being written */
} nm_task_t;

typedef struct {
    nm_shard_job_t desc;
    nm_task_t *tasks;
    GQueue waiting; /* of task indexes */
    uint32_t counts[NM_TASK_STATE_COUNT];
    int64_t accepted_unix_s; /* 0: not yet accepted */
    bool accepted_recorded;  /* the journal holds it, so tasks may start */
    bool dirty;
    bool in_record;
    bool removed;
    bool listed;
    nm_reason_t reason;
    /* Workers on which the job failed since its last success. */
    int32_t suspect_workers[NM_SUSPECTS_MAX];
    uint32_t suspect_worker_count;
    uint32_t failures;
    uint32_t successes;
    uint32_t quarantines;
    nm_ms_t quarantined_until_ms;
} nm_job_t;

/*
 * Worker of the shard: its description, commands, tasks, last report and
 * health.
 */
typedef struct {
    nm_shard_worker_t desc;
    int32_t place_index; /* index in the place module */
    bool listed;
    bool removed;
    nm_ms_t removed_ms; /* when it was removed */
    /* Synchronisation */
    bool outstanding;
    uint64_t sequence;
    nm_ms_t sent_ms;
    nm_ms_t due_ms;
    bool commands_pending;  /* commands wait for the next sync */
    int64_t acked_epoch;    /* of the newest sync acknowledged */
    nm_ms_t acked_sent_ms;  /* send time of the newest sync acknowledged */
    nm_ms_t clock_ms;       /* worker's clock in its last report */
    nm_ms_t reported_ms;    /* arrival of that report; 0: none */
    nm_ms_t failed_sent_ms; /* send time of the newest sync that failed */
    bool leases_expired;    /* its tasks were rescheduled */
    nm_sync_t sync;
    GArray *starts;
    GArray *stops;
    GArray *throttles;
    GArray *acks;
    GArray *sent_starts; /* contents of the outstanding sync */
    GArray *sent_stops;
    GArray *sent_throttles;
    GArray *sent_acks;
    GArray *tasks; /* of uint64_t, keys of the tasks assigned here */
    /*
     * Attempts (nm_attempt_id_t) that run here although they are not their
     * task's current one.
     */
    GArray *noncurrent_attempts;
    /* Health */
    uint32_t failures;                     /* consecutive */
    uint64_t failed_jobs[NM_SUSPECTS_MAX]; /* since the last success */
    uint32_t failed_job_count;
    uint32_t quarantines;
    nm_ms_t quarantined_until_ms;
} nm_shard_worker_state_t;

/* True if no lease renewed after the worker's last report can be left. */
static inline bool
nm_shard_leases_ended(const nm_shard_worker_state_t *worker, nm_ms_t now_ms)
{
    return now_ms >= worker->reported_ms + NM_SHARD_LEASE_MS +
                         NM_SHARD_CLOCK_DRIFT_MARGIN_MS;
}

typedef struct {
    nm_shard_team_t desc;
    nm_resources_t used;
} nm_team_t;

/* State of a task in the journal. */
typedef struct {
    uint32_t index;
    bool done;
    int64_t ended_attempt;
    uint64_t checkpoint;
    uint32_t failures;
} nm_recorded_task_t;

/* State in the journal of a job that the settings do not declare (yet). */
typedef struct {
    int64_t accepted_unix_s;
    GArray *tasks; /* of nm_recorded_task_t */
} nm_recorded_job_t;

void nm_recorded_job_free(void *data);

struct nm_shard_state {
    uint64_t owner_id;
    nm_ms_t sync_interval_ms;
    nm_shard_phase_t phase;
    int64_t epoch;          /* own epoch; unused by a follower */
    int64_t highest_epoch;  /* highest seen anywhere */
    int64_t previous_epoch; /* highest that a worker had seen before */
    nm_ms_t authority_checked_ms;
    nm_ms_t authority_until_ms; /* computed at that check */
    bool had_authority;         /* at the last tick */
    nm_ms_t authority_since_ms; /* when that began */
    uint64_t sequence;
    uint32_t attempt_count;
    nm_ms_t active_since_ms; /* when the journal was loaded */
    /* All leases of earlier owners have ended by then. */
    nm_ms_t earlier_leases_end_ms;
    bool takeover_complete; /* no unknown attempts can run any more */
    bool jobs_configured;   /* settings arrived: unknown jobs are cancelled */
    GPtrArray *workers;     /* of nm_shard_worker_state_t */
    GHashTable *worker_ids; /* id to index plus one */
    GPtrArray *jobs;        /* of nm_job_t; positions stay valid */
    GHashTable *job_ids;    /* id to position plus one */
    GHashTable *teams;      /* id to nm_team_t */
    nm_place_t place;
    bool record_pending;
    bool needs_scheduling; /* something changed since the last round */
    nm_ms_t scheduled_ms;
    nm_ms_t now_ms; /* of the newest call */
    int64_t unix_s;
    uint32_t next_sync_worker; /* first worker to check for a due sync */
    GHashTable *recorded_jobs; /* job id to nm_recorded_job_t */
};

typedef struct nm_shard_state nm_shard_state_t;

/* Task keys: job position in the high half, task index in the low half. */
static inline uint64_t
nm_task_key(uint32_t position, uint32_t index)
{
    return ((uint64_t)position << 32) | index;
}

/* Marks the place module's keys of attempts that are not current. */
#define NM_NONCURRENT_KEY_BIT (1ull << 63)

/* Reserves room for an attempt that runs although it is not current. */
void nm_shard_allocate_noncurrent(nm_shard_state_t *state,
                                  nm_shard_worker_state_t *worker,
                                  const nm_attempt_id_t *attempt_id,
                                  const nm_place_task_spec_t *spec,
                                  nm_ms_t now_ms);
/*
 * Releases the room of non-current attempts that a reply does not report as
 * running; of all of them if reply is NULL.
 */
void nm_shard_release_noncurrent(nm_shard_state_t *state,
                                 nm_shard_worker_state_t *worker,
                                 const nm_sync_reply_t *reply, nm_ms_t now_ms);
nm_job_t *nm_shard_find_job(const nm_shard_state_t *state, uint64_t id,
                            uint32_t *position);
nm_shard_worker_state_t *nm_shard_find_worker(const nm_shard_state_t *state,
                                              uint64_t id, int32_t *index);
nm_place_task_spec_t nm_shard_task_spec(const nm_job_t *job);
/*
 * Returns the time left until a task must start to meet the job's deadline;
 * INT64_MAX if it has none.
 */
int64_t nm_shard_slack_s(const nm_shard_state_t *state, const nm_job_t *job);
void nm_shard_set_task_state(nm_job_t *job, uint32_t index,
                             nm_task_state_t next);
/*
 * Appends a task to its job's queue, unless it is queued already or the job
 * was removed.
 */
void nm_shard_queue_task(nm_shard_state_t *state, nm_job_t *job,
                         uint32_t index);
/*
 * Queues a task without a current attempt.  Until the takeover is complete, a
 * newer attempt may run on a worker that has not reported, so the task goes to
 * NM_TASK_LEASE_WAIT instead.
 */
void nm_shard_reschedule_task(nm_shard_state_t *state, nm_job_t *job,
                              uint32_t index);
/*
 * Handles an attempt that is known to have ended without a report: applies the
 * deferred outcome if there is one, otherwise reschedules the task.
 */
void nm_shard_handle_lost_attempt(nm_shard_state_t *state, nm_job_t *job,
                                  uint32_t index);
/*
 * Stores an outcome until it is known whether a newer attempt exists; only one
 * with a result (done or checkpointed), and only the newest.
 */
void nm_shard_defer_outcome(nm_task_t *task, const nm_task_report_t *report,
                            int32_t worker);
/* Assigns an attempt to a worker and reserves its room. */
void nm_shard_assign(nm_shard_state_t *state, uint32_t position,
                     uint32_t index, int32_t worker, int64_t attempt,
                     nm_ms_t now_ms);
/* Releases the room of a task's attempt and clears its worker. */
void nm_shard_unassign(nm_shard_state_t *state, uint32_t position,
                       uint32_t index, nm_ms_t now_ms);

static inline bool
nm_attempt_equal(const nm_attempt_id_t *a, const nm_attempt_id_t *b)
{
    return a->job == b->job && a->index == b->index &&
           a->attempt == b->attempt;
}

/* Queues a stop, unless one is queued for the attempt. */
void nm_shard_queue_stop(nm_shard_worker_state_t *worker,
                         const nm_attempt_id_t *attempt_id, bool checkpoint);
/* Stops a task's attempt, or cancels its start if that was not sent yet. */
void nm_shard_stop_task(nm_shard_state_t *state, uint32_t position,
                        uint32_t index, bool checkpoint, nm_reason_t reason);
void nm_shard_mark_dirty(nm_job_t *job, uint32_t index);
/*
 * Moves all tasks out of NM_TASK_LEASE_WAIT.  Call it when no attempt unknown
 * to this owner can run any more.
 */
void nm_shard_end_lease_waits(nm_shard_state_t *state);
/*
 * Returns true if there are workers and each that was not removed has
 * acknowledged the own epoch.
 */
bool nm_shard_all_workers_acked(const nm_shard_state_t *state);
/* Starts waiting tasks if a scheduling round is due. */
void nm_shard_schedule(nm_shard_state_t *state, nm_ms_t now_ms);
/* Applies the replayed journal state of a job, if there is any. */
void nm_shard_apply_recorded_job(nm_shard_state_t *state, nm_job_t *job);

#endif
