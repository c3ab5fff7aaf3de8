/*
 * Job scheduler: decides which task starts on which worker, and follows it
 * to its end.
 *
 * A decision module without I/O.  The owner of the workers feeds it jobs,
 * workers, reports and the time, and carries out the actions it returns.
 * Its invariants: no worker is over its capacity, no task runs on two workers,
 * no task starts after its outcome was recorded.  A worker's state is lost
 * with its incarnation; what must outlive the owner is returned as progress
 * records, which the owner stores.
 *
 * Load: thousands of workers that crash and restart under the same id, leave
 * orders unanswered or carry them out late, and owners that replace each
 * other.
 *
 *     nm_sched_t *sched =
 *         nm_sched_new(&(nm_sched_desc_t){.epoch = 3}, now_ms);
 *     nm_sched_set_queue(sched, &queue);
 *     nm_sched_set_worker(sched, &worker, now_ms);
 *     nm_sched_admit_worker(sched, worker.id);
 *     nm_sched_add_job(sched, &spec, false, now_ms);
 *     nm_sched_activate(sched, former_until_ms);
 *     nm_sched_run(sched, now_ms, unix_ms);
 *     nm_sched_action_t action;
 *     while (nm_sched_next_action(sched, &action)) {
 *         ... carry it out; its result goes to nm_sched_on_start,
 *         nm_sched_on_stop, nm_sched_on_throttle or nm_sched_on_report
 *     }
 *     nm_sched_free(sched);
 */
#ifndef NUTMEGDECK_SCHED_H
#define NUTMEGDECK_SCHED_H

#include <nutmegdeck/job.h>
#include <nutmegdeck/reason.h>

/*
 * Validity of a start.  A worker that leaves an order unanswered may carry it
 * out 2 s later or more; a start has expired by then and is refused.
 */
#define NM_SCHED_START_VALID_MS 1700
/*
 * Low bits of a fencing token: the newest restart of a worker that the owner
 * had noticed by then.  A worker that restarts under its id refuses orders to
 * its former incarnation, once it has had one of its own.
 */
#define NM_FENCE_SEQ_BITS 20
#define NM_FENCE_SEQ_MAX ((INT64_C(1) << NM_FENCE_SEQ_BITS) - 1)
/* Bytes of a task's name, with the terminating NUL. */
#define NM_TASK_NAME_MAX 64
/*
 * Longest checkpoint that is kept, as long as a payload may be.  A run with a
 * longer one counts as any other; its task resumes from an earlier one.
 */
#define NM_CHECKPOINT_BYTES_MAX 4096

typedef struct nm_sched nm_sched_t;

typedef struct {
    int64_t epoch;    /* fencing token of this owner */
    nm_ms_t lease_ms; /* lease of runs on a worker; 0: 7000 */
    /* Longest lease of any earlier owner; 0: 7000; 1: no earlier owner. */
    nm_ms_t former_lease_max_ms;
    nm_ms_t announce_interval_ms; /* of workers, usual one; 0: 1500 */
    /*
     * Send a start without a response again until a worker has come back under
     * its id; only then may a late one reach a later incarnation.
     */
    bool resends_starts;
    uint64_t seed;
    nm_ms_t retain_ms; /* how long ended jobs are kept; 0: 150000 */
    /* For jobs, with one occurrence of each; 0: no limit. */
    uint64_t memory_max_bytes;
    /*
     * How many times as long tasks take away from their data, or on several
     * racks; 0: 3.
     */
    double spread_factor;
} nm_sched_desc_t;

/*
 * A queue, from the configuration in force.  The time objective of a job is
 * slack_factor times its critical path, plus objective_ms.
 */
typedef struct {
    char name[NM_NAME_MAX];
    char service[NM_NAME_MAX];
    uint32_t priority;     /* 0 is the highest */
    uint32_t attempts_max; /* of a task; 0: no limit */
    double slack_factor;
    nm_ms_t objective_ms;
    /* Starts a second that a cold worker of the service bears; 0: no limit. */
    double cold_starts_per_s;
} nm_queue_t;

typedef enum {
    NM_WORKER_READY,
    NM_WORKER_DRAINING,
} nm_worker_state_t;

/* Description that a worker publishes of itself. */
typedef struct {
    /* Rises with each restart, unless the worker's time of day is set back. */
    int64_t incarnation;
    int64_t announcements; /* of this incarnation until now; 0: not known */
    int64_t cpu_milli;
    int64_t memory_mb;
    int32_t accelerators;
    nm_worker_state_t state;
    nm_ms_t remaining_ms; /* while draining: minimum time left */
    nm_ms_t cold_ms;      /* it is slow for this time after its start */
    char id[NM_NAME_MAX];
    char service[NM_NAME_MAX];
    char address[NM_NAME_MAX];
    char zone[NM_NAME_MAX];
    char rack[NM_NAME_MAX];
    char labels[4][NM_NAME_MAX];
    uint32_t label_count;
} nm_sched_worker_t;

typedef enum {
    NM_ACTION_START,
    NM_ACTION_STOP,
    NM_ACTION_POLL,
    NM_ACTION_THROTTLE,
} nm_sched_action_type_t;

typedef struct {
    nm_sched_action_type_t type;
    char worker[NM_NAME_MAX];
    char address[NM_NAME_MAX];
    int64_t incarnation;
    int64_t fence_seq; /* low bits of the fencing token */
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    int64_t expiry_ms;      /* on the worker's clock */
    int64_t acked;          /* POLL: the worker may drop ends up to it */
    int64_t ends_known;     /* POLL: newest end processed of incarnation */
    nm_ms_t wait_ms;        /* POLL: how long the worker waits for an end */
    nm_ms_t timeout_ms;     /* of the response, after wait_ms; 0: default */
    nm_ms_t valid_ms;       /* START: not sent after this time; 0: no limit */
    const char *payload;    /* START; valid until the next call */
    const char *checkpoint; /* START; "" if there is none */
    uint32_t percent;       /* THROTTLE: share of full speed */
} nm_sched_action_t;

/* Returns the fencing token of an order of an owner's epoch. */
static inline int64_t
nm_sched_fencing_token(int64_t epoch, const nm_sched_action_t *order)
{
    return (epoch << NM_FENCE_SEQ_BITS) | order->fence_seq;
}

typedef enum {
    NM_ORDER_DONE,
    NM_ORDER_NOT_RUN,    /* certain to have had no effect */
    NM_ORDER_UNKNOWN,    /* no response: may be carried out later */
    NM_ORDER_FENCED,     /* the worker knows a newer owner */
    NM_ORDER_SUPERSEDED, /* this run or a later one ended there */
    NM_ORDER_NO_CAPACITY,
    NM_ORDER_EXPIRED,
    NM_ORDER_WRONG_INCARNATION, /* another incarnation responded */
    NM_ORDER_INVALID,
    NM_ORDER_NOT_SENT, /* its time was over before; the worker has no part */
    /* START: a later incarnation under the same id has begun or refused it. */
    NM_ORDER_LATER_INCARNATION,
} nm_order_result_t;

/* How a run ended, and its label in logs. */
#define NM_END_LIST(X)                                                        \
    X(DONE, "done")                                                           \
    X(FAILED, "failed")         /* fault of the task or its worker */         \
    X(STOPPED, "stopped")       /* by a stop order */                         \
    X(LAPSED, "lapsed")         /* its lease was not renewed */               \
    X(GANG_BROKEN, "broken")    /* another member of its gang ended */        \
    X(GANG_INCOMPLETE, "alone") /* its other members did not start */

typedef enum {
#define X(name, label) NM_END_##name,
    NM_END_LIST(X)
#undef X
        NM_END_COUNT,
} nm_end_t;

const char *nm_end_name(nm_end_t end);

typedef struct {
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    const char *checkpoint;   /* NULL: there is none, or it is too long */
    uint64_t checkpoint_hash; /* of one that is too long; else 0 */
    int64_t metric; /* long-running: tail latency in ms; else CPU use */
} nm_worker_run_t;

typedef struct {
    int64_t number; /* rises with each end of an incarnation */
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    nm_end_t end;
    const char *checkpoint; /* NULL: there is none, or it is too long */
} nm_worker_end_t;

/*
 * A worker lists at most this many ends.  The next ones follow once these are
 * acknowledged.
 */
#define NM_WORKER_ENDS_LISTED_MAX 500

/* A worker's response to a poll. */
typedef struct {
    nm_order_result_t result;
    int64_t incarnation;
    int64_t clock_ms;
    nm_ms_t sent_ms; /* when the poll was sent, on the owner's clock */
    bool complete;   /* no end or run was left out */
    bool ends_only;  /* what runs is not known */
    /* Ends up to this number may be left out, also from a complete report. */
    int64_t ends_known;
    /*
     * Number of an end that could not be read; it and those after it are not
     * acknowledged.  0: there is none.
     */
    int64_t end_unread;
    const nm_worker_run_t *running; /* with ends valid during the call only */
    uint32_t running_count;
    const nm_worker_end_t *ends;
    uint32_t end_count;
} nm_worker_report_t;

typedef enum {
    NM_JOB_UNKNOWN,
    NM_JOB_QUEUED,
    NM_JOB_RUNNING,
    NM_JOB_COMPLETED,
    NM_JOB_FAILED,
    NM_JOB_CANCELLED,
} nm_job_state_t;

const char *nm_job_state_name(nm_job_state_t state);

/* A progress record for the owner to store, or a job to remove. */
typedef struct {
    char job[NM_JOB_ID_MAX];
    uint64_t change_seq; /* newest change in the record */
    char *record;        /* to be freed with g_free; NULL: remove the job */
    bool has_cancel_key; /* removal: the job also has a cancel key */
} nm_sched_save_t;

typedef struct {
    uint32_t jobs_active;
    uint32_t tasks_waiting;
    uint32_t tasks_running;
    uint32_t long_running_waiting; /* part of tasks_waiting */
    uint32_t workers_usable;
    uint32_t workers_unresolved; /* may run tasks this owner does not know */
    uint32_t workers_evacuated;
    uint32_t workers_cold; /* part of workers_usable */
} nm_sched_info_t;

/* Reasons for which a worker takes no further filler. */
#define NM_FILLER_REFUSAL_LIST(X)                                             \
    X(CAPACITY, "no_capacity") /* memory or unused CPU */                     \
    X(HEADROOM, "no_headroom") /* a serving task is near its target */        \
    X(CANARY, "canary_limit")  /* the image's effect is unknown */            \
    X(COST, "cost")            /* it would make serving tasks miss */         \
    X(HELD, "held")            /* what is free is kept for another step */

typedef enum {
#define X(name, label) NM_FILLER_REFUSAL_##name,
    NM_FILLER_REFUSAL_LIST(X)
#undef X
        NM_FILLER_REFUSAL_COUNT,
} nm_filler_refusal_t;

const char *nm_filler_refusal_name(nm_filler_refusal_t refusal);

/*
 * An idle job has a task that waits in turn, and none on a worker.  Here the
 * one that has been idle for longest, as the newest placement treated it.
 */
typedef struct {
    char job[NM_JOB_ID_MAX]; /* "": no job is idle */
    uint32_t step;
    nm_ms_t idle_ms;
    uint32_t ahead; /* steps that were considered before it */
    bool tried;     /* false: no worker was looked for */
    /* Workers that refused it, if it is a filler. */
    uint64_t refusals[NM_FILLER_REFUSAL_COUNT];
} nm_sched_idle_job_t;

/* Why a worker does not take a task. */
#define NM_EXCLUSION_LIST(X)                                                  \
    X(NONE, "none")             /* it could */                                \
    X(SERVICE, "other_service") /* it is of another service */                \
    X(UNUSABLE, "unusable")     /* e.g. silent, draining or avoided */        \
    X(CONSTRAINT, "constraint") /* a label, or the limit per worker */        \
    X(ROOM, "no_room")          /* CPU, memory or accelerators */             \
    X(TRIAL, "trial")           /* a suspect beside it has just started */    \
    X(COLD, "cold")             /* it has had as many starts as it bears */   \
    X(HELD, "held")             /* what is free is kept for another step */   \
    X(CAPACITY, "no_capacity")  /* unused CPU, for a filler */                \
    X(HEADROOM, "no_headroom")  /* a serving task is near its target */       \
    X(CANARY, "canary_limit")   /* the image's effect is unknown */           \
    X(COST, "cost")             /* it would make serving tasks miss */

typedef enum {
#define X(name, label) NM_EXCLUSION_##name,
    NM_EXCLUSION_LIST(X)
#undef X
        NM_EXCLUSION_COUNT,
} nm_exclusion_t;

const char *nm_exclusion_name(nm_exclusion_t exclusion);

/* Why an idle job has nothing at work. */
#define NM_WAIT_CAUSE_LIST(X)                                                 \
    X(RUN_ELSEWHERE, "run_elsewhere") /* an earlier run may be at work */     \
    X(OPEN_START, "open_start")       /* a start may still be carried out */  \
    X(SILENT_WORKERS, "silent_workers") /* they may have crashed by it */     \
    X(INTENT, "intent")       /* its start has to be stored first */          \
    X(PLACEMENT, "placement") /* no worker takes it, or others go first */

typedef enum {
#define X(name, label) NM_WAIT_##name,
    NM_WAIT_CAUSE_LIST(X)
#undef X
        NM_WAIT_CAUSE_COUNT,
} nm_wait_cause_t;

const char *nm_wait_cause_name(nm_wait_cause_t cause);

/* Jobs that are idle for one cause, and a task of the longest idle of them. */
typedef struct {
    uint32_t jobs;
    char task[NM_TASK_NAME_MAX]; /* "": there are none */
    nm_ms_t idle_ms;
    uint32_t crashes;      /* of the task, in a row */
    uint32_t silences;     /* workers that may have crashed by it */
    nm_ms_t silent_ms;     /* for how long the first of them has been silent */
    nm_ms_t open_start_ms; /* until an unanswered start has expired; 0: none */
    /* PLACEMENT: the workers, by what excludes them. */
    uint32_t workers[NM_EXCLUSION_COUNT];
} nm_sched_wait_t;

/* Why an interrupted long-running task is not at work again. */
#define NM_INTERRUPTED_CAUSE_LIST(X)                                          \
    X(SUSPECT, "suspect") /* it may crash workers, and waits for a trial */   \
    X(NO_ROOM, "no_room") /* long-running tasks hold all its workers */       \
    X(BUSY, "busy")       /* its workers have room once short tasks end */    \
    X(HELD, "held") /* there is room, on workers held for other steps */      \
    X(PENDING, "pending") /* there is room on other workers, too */           \
    X(UNKNOWN, "not_examined")

typedef enum {
#define X(name, label) NM_INTERRUPTED_##name,
    NM_INTERRUPTED_CAUSE_LIST(X)
#undef X
        NM_INTERRUPTED_CAUSE_COUNT,
} nm_interrupted_cause_t;

const char *nm_interrupted_cause_name(nm_interrupted_cause_t cause);

/* Why work waits: use of the workers that may get tasks.  CPU in 1/1000. */
typedef struct {
    uint32_t workers;
    uint32_t workers_held;      /* what becomes free is kept for one step */
    uint32_t workers_reserved;  /* part of it: by the placement ahead */
    int64_t cpu_milli;          /* of all of them */
    int64_t reserved_cpu_milli; /* requested by tasks other than fillers */
    int64_t serving_cpu_milli;  /* part of it: tasks with a latency target */
    int64_t long_running_cpu_milli; /* part of reserved_cpu_milli */
    int64_t filler_cpu_milli;       /* requested by fillers, at their speed */
    uint32_t short_waiting;         /* tasks in turn that wait for a worker */
    uint32_t fillers_waiting;
    uint32_t long_running_waiting;
    uint32_t interrupted_waiting; /* part of it: tasks that have run before */
    /* For how long the oldest such step has been waiting. */
    nm_ms_t interrupted_wait_ms;
    /* Interrupted tasks, by cause. */
    uint32_t interrupted[NM_INTERRUPTED_CAUSE_COUNT];
    /* Those of them that would fit at least twice on the workers now. */
    uint32_t interrupted_fit_twice;
    int64_t interrupted_cpu_milli; /* requested by all of them */
    nm_ms_t oldest_waiting_ms;     /* age of the oldest job with such a task */
    uint32_t serving_over_target;
    uint32_t fillers_paused;
    uint32_t fillers_slowed;
    uint32_t idle_jobs;
    nm_sched_idle_job_t longest_idle;
    uint32_t jobs_behind;  /* of a size that gets less than its share */
    uint32_t jobs_pending; /* none of their tasks has begun */
    /* Since the scheduler began: workers refused for a filler, by reason. */
    uint64_t filler_refusals[NM_FILLER_REFUSAL_COUNT];
} nm_sched_capacity_t;

/* Memory for jobs, in bytes. */
typedef struct {
    uint64_t max_bytes;      /* 0: no limit */
    uint64_t reserved_bytes; /* by all jobs, with one occurrence of each */
    uint64_t live_bytes;     /* of jobs and occurrences that are in memory */
    uint64_t checkpoint_bytes;
    uint32_t jobs_deferred; /* with an occurrence that waits for memory */
} nm_sched_memory_t;

/* Placements since the scheduler began, and what is left to do. */
typedef struct {
    uint64_t count;
    uint64_t cut_count; /* part of count: ended at the limit of starts */
    uint32_t starting;  /* tasks whose start is not confirmed */
    bool wanted;        /* something changed since the newest placement */
    bool cut;           /* the newest placement did not consider all steps */
} nm_sched_placement_t;

/* What ended a job as failed. */
#define NM_JOB_FAILURE_LIST(X)                                                \
    X(NONE, "none")         /* it has not failed, or under a former owner */  \
    X(ATTEMPTS, "attempts") /* a task is out of attempts */                   \
    X(CRASHES, "crashes")   /* a task has crashed too many workers */

typedef enum {
#define X(name, label) NM_JOB_FAILURE_##name,
    NM_JOB_FAILURE_LIST(X)
#undef X
        NM_JOB_FAILURE_COUNT
} nm_job_failure_t;

const char *nm_job_failure_name(nm_job_failure_t failure);

/* Outcome of a job, for its last log line. */
typedef struct {
    nm_job_state_t state;
    nm_job_failure_t failure;
    bool long_running;
    bool recovered;         /* accepted under an earlier owner */
    nm_ms_t took_ms;        /* acceptance to end; 0 while it runs */
    nm_ms_t objective_ms;   /* after its acceptance */
    nm_ms_t first_start_ms; /* after its acceptance; -1: never started */
    nm_ms_t admitted_ms;    /* same; -1: none but its first task started */
    int64_t core_ms;        /* from estimates */
    uint32_t failures;      /* failed runs of all its tasks */
    uint32_t crashes;       /* known crashes of the task with most of them */
} nm_sched_job_info_t;

nm_sched_t *nm_sched_new(const nm_sched_desc_t *desc, nm_ms_t now_ms);
void nm_sched_free(nm_sched_t *sched);

/* Adds a queue, or replaces its settings. */
void nm_sched_set_queue(nm_sched_t *sched, const nm_queue_t *queue);
/*
 * Adds a job and moves its specification out of spec.  recovered: an earlier
 * owner may have started tasks of it; its age is known only after a first
 * nm_sched_run, which sets the wall clock.  Returns NM_ERR_CONFLICT if the id
 * is known, NM_ERR_TOO_LARGE for more than NM_JOB_OCCURRENCES_MAX occurrences.
 */
int nm_sched_add_job(nm_sched_t *sched, nm_job_spec_t *spec, bool recovered,
                     nm_ms_t now_ms);
/*
 * Returns the memory that a job needs, and sets that of each of its
 * occurrences.
 */
uint64_t nm_sched_job_bytes(const nm_job_spec_t *spec,
                            uint64_t *occurrence_bytes);
/*
 * Applies a stored progress record to a recovered job.  Returns
 * NM_ERR_NOT_FOUND for an unknown job, NM_ERR_CORRUPT for an unreadable
 * record, after which no task of the job starts.
 */
int nm_sched_restore(nm_sched_t *sched, const char *job, const void *record,
                     uint32_t bytes);
/*
 * Cancels a job for which the store has a cancel key; a job that has ended
 * keeps its state.  The key of an unknown job is removed from the store after
 * the retention time.
 */
void nm_sched_cancel_job(nm_sched_t *sched, const char *job, nm_ms_t now_ms);

/*
 * Announcements and deregistrations of workers may be outdated now, as the
 * store does not respond.
 */
void nm_sched_on_watch_gap(nm_sched_t *sched, nm_ms_t now_ms);

/*
 * The announcements and deregistrations that have been passed on are those of
 * so long ago; 0 in the beginning.
 */
void nm_sched_set_entries_age(nm_sched_t *sched, nm_ms_t age_ms);

/* Adds or updates an announced worker. */
void nm_sched_set_worker(nm_sched_t *sched, const nm_sched_worker_t *desc,
                         nm_ms_t now_ms);
/*
 * The worker is no longer announced; its tasks may continue to run.  Returns
 * false if it was not announced.
 */
bool nm_sched_deregister_worker(nm_sched_t *sched, const char *id);
/*
 * Permits starts on a worker.  To be called once the worker's id is in the
 * stored roster, so that a new owner expects it.
 */
void nm_sched_admit_worker(nm_sched_t *sched, const char *id);
/*
 * Workers of an evacuated zone get no new tasks; what they run goes on.  Holds
 * for workers that are announced later, too.  Returns the number of known
 * workers of the zone.
 */
uint32_t nm_sched_set_evacuated(nm_sched_t *sched, const char *zone,
                                bool evacuated);
/*
 * May tasks start?  True until the first call.  Unlike without authority,
 * leases are renewed meanwhile.
 */
void nm_sched_set_starts_allowed(nm_sched_t *sched, bool allowed);
/*
 * This owner gives its term up once all changes are stored: it sends no more
 * starts, and stores those that are in flight, as the next owner must wait for
 * them.  Further calls do nothing.
 */
void nm_sched_begin_hand_over(nm_sched_t *sched, nm_ms_t now_ms);
/*
 * Reserves workers for short tasks that are too large for the gaps which
 * smaller ones leave, and for gangs.  Off until the first call: on an overfull
 * fleet the smaller tasks lose by it (docs/design/lookahead.md).
 */
void nm_sched_set_lookahead(nm_sched_t *sched, bool looks_ahead);
/*
 * Returns the id of the next removed worker, to be freed with g_free, or NULL.
 */
char *nm_sched_next_removed(nm_sched_t *sched);
/*
 * To be called when all stored state is loaded and the scheduler begins to
 * give orders.  Former owners may renew leases of workers that have not
 * responded yet until former_until_ms.
 */
void nm_sched_activate(nm_sched_t *sched, nm_ms_t former_until_ms);
/* Replaces that time by an earlier one, once more is known. */
void nm_sched_set_former_until(nm_sched_t *sched, nm_ms_t former_until_ms);
/*
 * Leases of a worker that former owners gave lapse by a time, as the former
 * owner has told.
 */
void nm_sched_limit_former_lease(nm_sched_t *sched, const char *worker,
                                 nm_ms_t lapse_ms);
/* What is known of the incarnation of a worker. */
typedef struct {
    const char *id;
    int64_t incarnation;
    bool reachable;      /* responded to one of its last polls */
    bool waits;          /* tasks wait for its response or its end */
    nm_ms_t known_ms;    /* it was first heard of */
    nm_ms_t heard_ms;    /* its newest response came; 0: none */
    nm_ms_t reported_ms; /* when the newest poll with a response was sent */
} nm_sched_contact_t;

void nm_sched_visit_contacts(const nm_sched_t *sched,
                             void (*visit)(void *user,
                                           const nm_sched_contact_t *contact),
                             void *user);
/*
 * A list of machines that was requested at a time shows that the incarnation
 * of a worker has ended.  Returns false, and changes nothing, if that decides
 * nothing: another incarnation is known, this one has responded since, or its
 * runs are not all known.  A run with an unanswered start still waits until
 * the lease has lapsed, as a later incarnation may carry it out.
 */
bool nm_sched_on_worker_ended(nm_sched_t *sched, const char *id,
                              int64_t incarnation, nm_ms_t sent_ms,
                              nm_ms_t now_ms);
/*
 * The incarnation of a worker that fell silent soon after a start, and that a
 * task waits for: it counts as a crash if it has ended.
 */
typedef struct {
    uint32_t worker_hash; /* as of nm_sched_hash_worker */
    int64_t incarnation;
    nm_ms_t known_ms; /* this owner has known of the silence since then */
} nm_sched_silence_t;

/* What is stored of a worker that fell silent; never 0. */
uint32_t nm_sched_hash_worker(const char *id);
/* Calls visit for each of them that a task was found to wait for lately. */
void nm_sched_visit_silences(nm_sched_t *sched, nm_ms_t now_ms,
                             void (*visit)(void *user,
                                           const nm_sched_silence_t *silence),
                             void *user);
/*
 * A list of machines that was requested at a time has no worker with the hash,
 * so that the incarnation has ended.  It counts for silences that were known
 * by then, if the worker has not been heard of since.
 */
void nm_sched_on_silent_worker_ended(nm_sched_t *sched, uint32_t worker_hash,
                                     int64_t incarnation, nm_ms_t sent_ms,
                                     nm_ms_t now_ms);
/* Calls visit for each worker that does not respond but may hold a lease. */
void nm_sched_visit_silent_workers(const nm_sched_t *sched, nm_ms_t now_ms,
                                   void (*visit)(void *user,
                                                 const char *worker,
                                                 nm_ms_t lapse_ms),
                                   void *user);
/*
 * May this owner start tasks and renew leases?  True until the first call.
 * While it may not, leases lapse, and tasks that end do not start again.
 */
void nm_sched_set_authority(nm_sched_t *sched, bool authority);
/*
 * Copies what a worker has announced of itself.  Returns false if it is not
 * announced.
 */
bool nm_sched_query_worker(const nm_sched_t *sched, const char *id,
                           nm_sched_worker_t *desc);
/*
 * True for 1 to NM_NAME_MAX - 1 bytes of printable ASCII without spaces: an id
 * is part of a header of each order.
 */
bool nm_sched_worker_id_is_valid(const char *id);
/*
 * Adds a worker that an earlier owner used; it may run unknown tasks.  Its id
 * must be valid.
 */
void nm_sched_expect_worker(nm_sched_t *sched, const char *id, nm_ms_t now_ms);

void nm_sched_on_start(nm_sched_t *sched, const nm_sched_action_t *action,
                       nm_order_result_t result, nm_ms_t now_ms);
void nm_sched_on_stop(nm_sched_t *sched, const nm_sched_action_t *action,
                      nm_order_result_t result, nm_ms_t now_ms);
void nm_sched_on_report(nm_sched_t *sched, const char *worker,
                        const nm_worker_report_t *report, nm_ms_t now_ms);
/*
 * Applies a report that came after its poll had timed out: its ends count,
 * and it shows that the worker is alive.  Ignored if a report of a newer poll
 * was applied before, or if it is of another incarnation.
 */
void nm_sched_on_late_report(nm_sched_t *sched, const char *worker,
                             const nm_worker_report_t *report, nm_ms_t now_ms);
void nm_sched_on_throttle(nm_sched_t *sched, const nm_sched_action_t *action,
                          nm_order_result_t result, nm_ms_t now_ms);

/* What showed that a worker has crashed. */
#define NM_CRASH_EVIDENCE_LIST(X)                                             \
    X(NONE, "")                                                               \
    X(INCARNATION, "incarnation") /* a later incarnation has its id */        \
    X(ADDRESS, "address")         /* another worker has its address */        \
    X(MACHINES, "machines")       /* no machine has it any more */

typedef enum {
#define X(name, label) NM_CRASH_EVIDENCE_##name,
    NM_CRASH_EVIDENCE_LIST(X)
#undef X
        NM_CRASH_EVIDENCE_COUNT
} nm_crash_evidence_t;

const char *nm_crash_evidence_name(nm_crash_evidence_t evidence);

/* Changes in the estimated state of a worker, or of calls in general. */
typedef enum {
    /* Value: unanswered polls in a row. */
    NM_SCHED_EVENT_WORKER_UNRESPONSIVE,
    /* Value: unanswered polls in a row until then. */
    NM_SCHED_EVENT_WORKER_RECOVERED,
    NM_SCHED_EVENT_WORKER_AVOIDED, /* value: duration in ms */
    /* A run showed no progress and is stopped.  Value: such runs so far. */
    NM_SCHED_EVENT_RUN_STALLED,
    /* Value of both: share of unanswered calls, in 1/1000. */
    NM_SCHED_EVENT_CALL_LOSS_BEGAN,
    NM_SCHED_EVENT_CALL_LOSS_ENDED,
    /*
     * A run whose worker's incarnation ended soon after its start.  Value: how
     * long after the start the worker still responded, in ms; 0: it did not.
     */
    NM_SCHED_EVENT_RUN_LOST,
    /* A task is given up.  Value: runs that were lost soon after starting. */
    NM_SCHED_EVENT_TASK_GIVEN_UP,
    /*
     * A run's worker fell silent soon after its start, and its lease has
     * lapsed: it has crashed, or is cut off.  Value: such workers of the task.
     */
    NM_SCHED_EVENT_RUN_UNRESOLVED,
    /* Such a worker has crashed.  Value: crashes of the task so far. */
    NM_SCHED_EVENT_CRASH_RESOLVED,
    /*
     * Such a worker lives, or is taken for lost.  Value: such workers of the
     * task that are left.
     */
    NM_SCHED_EVENT_CRASH_UNPROVED,
    /*
     * The lease of a silent worker has lapsed, so that its tasks wait again.
     * Value: how long ago it was last heard of, in ms.
     */
    NM_SCHED_EVENT_WORKER_LAPSED,
    /*
     * Leases that former owners gave a silent worker count as lapsed, so that
     * tasks of recovered jobs no longer wait for it.  Value: age of its
     * incarnation at the end of the former terms, in ms, by its own wall
     * clock or the number of its announcements, whichever is less; negative
     * if it began later.
     */
    NM_SCHED_EVENT_FORMER_LEASE_LAPSED,
    /*
     * A run had ended as done before it was counted as lapsed.  Value: the run
     * of its task that has been started since, 0: none.
     */
    NM_SCHED_EVENT_LATE_END,
    /*
     * A worker has, or may start late, a run other than the one that its task
     * has there.  Value: the current run of the task, 0: none.
     */
    NM_SCHED_EVENT_ORPHAN_RUN,
    /* A new incarnation has been heard of, but not its announcement. */
    NM_SCHED_EVENT_WORKER_UNDESCRIBED, /* value: the incarnation */
    /* Value of both: the bound of starts in flight. */
    NM_SCHED_EVENT_OWNER_BEHIND, /* silence is no sign of lost workers */
    NM_SCHED_EVENT_OWNER_CAUGHT_UP,
    /*
     * A start was answered by the clock of a later incarnation, which has not
     * been heard of otherwise.  Value: the incarnation that it was sent to.
     */
    NM_SCHED_EVENT_START_MISDIRECTED,
    /*
     * A start got no response: it may be carried out later.  Value: how often
     * the start of the run has been sent; 0: the task has another run.
     */
    NM_SCHED_EVENT_START_UNANSWERED,
    /* A start is sent again.  Value: as before, this time included. */
    NM_SCHED_EVENT_START_RESENT,
    NM_SCHED_EVENT_EVENTS_DROPPED, /* value: number of events */
} nm_sched_event_type_t;

typedef struct {
    nm_sched_event_type_t type;
    char worker[NM_NAME_MAX]; /* "" for calls in general */
    int64_t value;
    char task[NM_TASK_NAME_MAX]; /* "" for workers and calls */
    int64_t run;
    int64_t incarnation; /* of the worker, that a start was sent to; 0: none */
    nm_crash_evidence_t evidence; /* of RUN_LOST and CRASH_RESOLVED */
} nm_sched_event_t;

/*
 * Returns the next event.  At most 64 are kept until they are fetched; the
 * last one, NM_SCHED_EVENT_EVENTS_DROPPED, then counts those beyond.
 */
bool nm_sched_next_event(nm_sched_t *sched, nm_sched_event_t *event);

/*
 * Runs one decision round; returns the time until the next one is due.  No
 * decisions are made once nm_sched_query_fenced returns true.
 */
nm_ms_t nm_sched_run(nm_sched_t *sched, nm_ms_t now_ms, int64_t unix_ms);
/* Returns the next action to carry out; false: there are no more. */
bool nm_sched_next_action(nm_sched_t *sched, nm_sched_action_t *action);
bool nm_sched_has_saves(const nm_sched_t *sched);
/* Returns the next save; its result goes to nm_sched_confirm_save. */
bool nm_sched_next_save(nm_sched_t *sched, nm_sched_save_t *save);
/* Confirms a save, or queues it again (stored: false). */
void nm_sched_confirm_save(nm_sched_t *sched, const nm_sched_save_t *save,
                           bool stored);
/*
 * Returns the models of interference and durations as JSON text, to be freed
 * with g_free().  An owner stores it; the next owner restores it before its
 * first round.
 */
char *nm_sched_encode_learned(const nm_sched_t *sched);
/*
 * Returns NM_ERR_CORRUPT if one of the models is anything but JSON of the
 * current version; the other one is restored.  A record without durations is
 * that of an older version.
 */
int nm_sched_restore_learned(nm_sched_t *sched, const void *record,
                             uint32_t bytes);
/* True if a record waits to be stored that callers wait for: a job's end. */
bool nm_sched_save_is_urgent(const nm_sched_t *sched);

/* Returns the state for callers: an end is shown only once it is stored. */
nm_job_state_t nm_sched_query_job(const nm_sched_t *sched, const char *job);
/* Returns the number of a worker's newest processed end; 0: none. */
int64_t nm_sched_query_last_end(const nm_sched_t *sched, const char *worker);
/*
 * Returns the least fence_seq of an order that no incarnation of a worker
 * refuses for an earlier order of this owner.
 */
int64_t nm_sched_query_fence_seq(const nm_sched_t *sched, const char *worker);
/* Returns false for an unknown job. */
bool nm_sched_query_job_info(const nm_sched_t *sched, const char *job,
                             nm_sched_job_info_t *info);
/* Copies a step's declaration; returns false if there is none. */
bool nm_sched_query_step(const nm_sched_t *sched, const char *job,
                         uint32_t step, nm_step_t *desc);
/*
 * Counts accepted jobs of a queue of which no task is known to have begun on a
 * worker; an order that has not been answered does not count.
 */
uint32_t nm_sched_query_pending(const nm_sched_t *sched, const char *queue);
nm_sched_info_t nm_sched_query_info(const nm_sched_t *sched);
nm_sched_memory_t nm_sched_query_memory(const nm_sched_t *sched);
nm_sched_placement_t nm_sched_query_placement(const nm_sched_t *sched);
/* Visits all workers and waiting jobs; meant to be called once a second. */
nm_sched_capacity_t nm_sched_query_capacity(const nm_sched_t *sched,
                                            nm_ms_t now_ms);
/*
 * Sets for each cause which jobs have been idle for idle_min_ms or longer.
 * Visits all active jobs and, for one of them, all workers.
 */
void nm_sched_query_waits(nm_sched_t *sched, nm_ms_t idle_min_ms,
                          nm_ms_t now_ms,
                          nm_sched_wait_t waits[NM_WAIT_CAUSE_COUNT]);
/* True once a worker has refused an order because of a newer owner. */
bool nm_sched_query_fenced(const nm_sched_t *sched);

#endif
