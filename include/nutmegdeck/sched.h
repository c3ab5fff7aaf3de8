/*
 * Job scheduler: which task starts where, and what becomes of it.
 *
 * A decision module without I/O.  The owner of the workers feeds it jobs,
 * workers, reports and the time, and carries out the actions it returns.
 * It keeps the promises that hold at every moment: no worker over its
 * capacity, no task in two places, no start after an outcome was recorded.
 * A worker's memory ends with its incarnation; what must outlive the owner
 * is handed out as progress records.
 *
 *     nm_sched_t *sched = nm_sched_new(&(nm_sched_desc_t){.epoch = 3});
 *     nm_sched_set_worker(sched, &worker, now_ms);
 *     nm_sched_add_job(sched, &spec, false, now_ms);
 *     nm_sched_run(sched, now_ms, unix_ms);
 *     nm_sched_action_t action;
 *     while (nm_sched_next_action(sched, &action)) { ... }
 *     nm_sched_free(sched);
 */
#ifndef NUTMEGDECK_SCHED_H
#define NUTMEGDECK_SCHED_H

#include <nutmegdeck/job.h>
#include <nutmegdeck/reason.h>

#define NM_TASK_NAME_MAX 64
#define NM_CHECKPOINT_MAX 128

typedef struct nm_sched nm_sched_t;

typedef struct {
    int64_t epoch;    /* fencing token of this owner */
    nm_ms_t lease_ms; /* of what runs on a worker; 0: 7000 */
    /* Longest lease of any earlier owner; 0: 7000; 1: there was none. */
    nm_ms_t lease_max_ms;
    uint64_t seed;
    nm_ms_t retain_ms; /* how long ended jobs are known; 0: 150000 */
} nm_sched_desc_t;

/* A queue's promises, from the configuration in force. */
typedef struct {
    char name[NM_NAME_MAX];
    char service[NM_NAME_MAX];
    uint32_t priority; /* 0 comes first */
    uint32_t attempts_max;
    double slack_factor;
    nm_ms_t objective_ms;
} nm_queue_t;

typedef enum {
    NM_WORKER_READY,
    NM_WORKER_DRAINING,
} nm_worker_state_t;

/* What a worker says of itself. */
typedef struct {
    int64_t incarnation; /* start of this incarnation */
    int64_t cpu_milli;
    int64_t memory_mb;
    int32_t accelerators;
    nm_worker_state_t state;
    nm_ms_t remaining_ms; /* while draining: least time left */
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
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    int64_t expiry_ms;      /* on the worker's clock */
    int64_t acked;          /* POLL: ends up to here may be forgotten */
    nm_ms_t wait_ms;        /* POLL: how long to wait for an end */
    nm_ms_t timeout_ms;     /* for the answer, after wait_ms; 0: usual */
    const char *payload;    /* START; valid until the next call */
    const char *checkpoint; /* START; "" if there is none */
    uint32_t percent;       /* THROTTLE */
} nm_sched_action_t;

typedef enum {
    NM_ORDER_DONE,
    NM_ORDER_NOT_RUN,    /* certain to have done nothing */
    NM_ORDER_UNKNOWN,    /* no answer: may be carried out later */
    NM_ORDER_FENCED,     /* a newer owner was there */
    NM_ORDER_SUPERSEDED, /* this run or a later one ended there */
    NM_ORDER_NO_CAPACITY,
    NM_ORDER_EXPIRED,
    NM_ORDER_WRONG_INCARNATION, /* another incarnation answered */
    NM_ORDER_INVALID,
} nm_order_result_t;

/* How a run ended, with its name in logs. */
#define NM_END_LIST(X)                                                        \
    X(DONE, "done")                                                           \
    X(FAILED, "failed")         /* by its own fault or its worker's */        \
    X(STOPPED, "stopped")       /* on our order */                            \
    X(LAPSED, "lapsed")         /* its lease was not renewed */               \
    X(GANG_BROKEN, "broken")    /* another member of its gang ended */        \
    X(GANG_INCOMPLETE, "alone") /* the other members did not come */

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
    char checkpoint[NM_CHECKPOINT_MAX];
    int64_t metric; /* long-running: tail in ms; else cpu in use */
} nm_worker_run_t;

typedef struct {
    int64_t number;
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    nm_end_t end;
    char checkpoint[NM_CHECKPOINT_MAX];
} nm_worker_end_t;

/* A worker's answer to a poll. */
typedef struct {
    nm_order_result_t result;
    int64_t incarnation;
    int64_t clock_ms;
    nm_ms_t sent_ms; /* when the poll was sent, on our clock */
    bool complete;   /* the list of ends was not cut off */
    const nm_worker_run_t *running;
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

/* A progress record that the owner has to store. */
typedef struct {
    char job[NM_JOB_ID_MAX];
    uint64_t change_seq; /* to be confirmed by nm_sched_confirm_save */
    char *record;        /* to be freed with g_free; NULL: forget the job */
    bool cancelled;      /* to be forgotten: it has a cancel mark */
} nm_sched_save_t;

typedef struct {
    uint32_t jobs_active;
    uint32_t tasks_waiting;
    uint32_t tasks_running;
    uint32_t
        long_running_waiting; /* long-running tasks that are not at work */
    uint32_t workers_usable;
    uint32_t workers_unresolved; /* may run tasks that we do not know of */
} nm_sched_info_t;

/* What became of a job, for its last log line. */
typedef struct {
    nm_job_state_t state;
    bool long_running;
    bool recovered;         /* accepted under an earlier owner */
    nm_ms_t took_ms;        /* acceptance to end; 0 while it runs */
    nm_ms_t objective_ms;   /* after its acceptance */
    nm_ms_t first_start_ms; /* after its acceptance; -1: never started */
    uint32_t failures;      /* runs that failed, of all its tasks */
} nm_sched_job_info_t;

nm_sched_t *nm_sched_new(const nm_sched_desc_t *desc, nm_ms_t now_ms);
void nm_sched_free(nm_sched_t *sched);

void nm_sched_set_queue(nm_sched_t *sched, const nm_queue_t *queue);
/*
 * Adds a job and takes over its specification.  recovered: an earlier owner
 * may have started tasks of it.  Returns NM_ERR_CONFLICT if it is known.
 */
int nm_sched_add_job(nm_sched_t *sched, nm_job_spec_t *spec, bool recovered,
                     nm_ms_t now_ms);
/* Applies a stored progress record to a recovered job. */
int nm_sched_restore(nm_sched_t *sched, const char *job, const void *record,
                     uint32_t bytes);
/* Cancels a job; a job that has ended stays as it is. */
void nm_sched_cancel_job(nm_sched_t *sched, const char *job, nm_ms_t now_ms);

/* Announces or changes a worker. */
void nm_sched_set_worker(nm_sched_t *sched, const nm_sched_worker_t *desc,
                         nm_ms_t now_ms);
/* The worker is no longer announced; what it runs may run on. */
void nm_sched_deregister_worker(nm_sched_t *sched, const char *id);
/* A worker is used only once a new owner would look for it. */
void nm_sched_admit_worker(nm_sched_t *sched, const char *id);
/* Returns the next worker that was forgotten, to be freed, or NULL. */
char *nm_sched_next_removed(nm_sched_t *sched);
/*
 * What was stored is known, and the scheduler begins to give orders.  Until
 * now the former owner may have renewed leases of workers.
 */
void nm_sched_activate(nm_sched_t *sched, nm_ms_t now_ms);
/* A worker that an earlier owner used; it may run tasks unseen. */
void nm_sched_expect_worker(nm_sched_t *sched, const char *id, nm_ms_t now_ms);

void nm_sched_on_start(nm_sched_t *sched, const nm_sched_action_t *action,
                       nm_order_result_t result, nm_ms_t now_ms);
void nm_sched_on_stop(nm_sched_t *sched, const nm_sched_action_t *action,
                      nm_order_result_t result, nm_ms_t now_ms);
void nm_sched_on_report(nm_sched_t *sched, const char *worker,
                        const nm_worker_report_t *report, nm_ms_t now_ms);
/*
 * The answer to a poll that was given up.  It tells of ends that the worker
 * has listed, and that it lives; an answer to a newer poll goes before it.
 */
void nm_sched_on_late_report(nm_sched_t *sched, const char *worker,
                             const nm_worker_report_t *report, nm_ms_t now_ms);
void nm_sched_on_throttle(nm_sched_t *sched, const nm_sched_action_t *action,
                          nm_order_result_t result, nm_ms_t now_ms);

/* A change of what is believed of a worker, or of calls in general. */
typedef enum {
    /* Value: polls without an answer, in a row. */
    NM_SCHED_EVENT_WORKER_UNRESPONSIVE,
    /* Value: polls that had no answer before. */
    NM_SCHED_EVENT_WORKER_RECOVERED,
    NM_SCHED_EVENT_WORKER_AVOIDED, /* value: for how long, ms */
    /* Value: share without an answer, in 1/1000. */
    NM_SCHED_EVENT_CALL_LOSS_BEGAN,
    NM_SCHED_EVENT_CALL_LOSS_ENDED, /* the same */
    NM_SCHED_EVENT_EVENTS_DROPPED,  /* value: changes that were not kept */
} nm_sched_event_type_t;

typedef struct {
    nm_sched_event_type_t type;
    char worker[NM_NAME_MAX]; /* "" for calls in general */
    int64_t value;
} nm_sched_event_t;

/*
 * Returns the next change; at most 64 are kept between two rounds, the last
 * one tells how many more there were.
 */
bool nm_sched_next_event(nm_sched_t *sched, nm_sched_event_t *note);

/* Decides; returns the time until the next call is due. */
nm_ms_t nm_sched_run(nm_sched_t *sched, nm_ms_t now_ms, int64_t unix_ms);
bool nm_sched_next_action(nm_sched_t *sched, nm_sched_action_t *action);
bool nm_sched_has_saves(const nm_sched_t *sched);
/* Returns the next record to store; see nm_sched_confirm_save. */
bool nm_sched_next_save(nm_sched_t *sched, nm_sched_save_t *save);
/* Confirms that a record is stored, or gives it back (stored: false). */
void nm_sched_confirm_save(nm_sched_t *sched, const nm_sched_save_t *save,
                           bool stored);
/*
 * What was learned of interference, as JSON text, to be freed with free();
 * an owner stores it for the next one, which restores it before it starts.
 */
char *nm_sched_encode_interference(const nm_sched_t *sched);
int nm_sched_restore_interference(nm_sched_t *sched, const void *record,
                                  uint32_t bytes);
/* True if a record waits whose loss a caller would notice. */
bool nm_sched_save_is_urgent(const nm_sched_t *sched);

nm_job_state_t nm_sched_query_job(const nm_sched_t *sched, const char *job);
/* Number of the newest end of a worker that was processed. */
int64_t nm_sched_query_last_end(const nm_sched_t *sched, const char *worker);
/* Returns false for an unknown job. */
bool nm_sched_query_job_info(const nm_sched_t *sched, const char *job,
                             nm_sched_job_info_t *info);
/* Copies a step's declaration; returns false if there is none. */
bool nm_sched_query_step(const nm_sched_t *sched, const char *job,
                         uint32_t step, nm_step_t *desc);
/* Accepted jobs of a queue of which no task has started. */
uint32_t nm_sched_query_pending(const nm_sched_t *sched, const char *queue);
nm_sched_info_t nm_sched_query_info(const nm_sched_t *sched);
/* True once a worker showed that a newer owner exists. */
bool nm_sched_query_fenced(const nm_sched_t *sched);

#endif
