/*
 * Model of the users' executors that checks the scheduler's invariants.
 *
 * An executor accepts orders of the highest epoch only, runs its tasks under
 * one lease, lists the ends of runs until they are acknowledged, and loses
 * all of its state when it crashes.  The fleet checks each start:
 *
 *     TWICE    a task runs on one executor at a time, and not again after its
 *              end `done` was acknowledged before the executor's lease lapsed
 *     LIMIT    an executor's runs fit its CPU capacity
 *     UNASKED  the task's job was submitted, and was not cancelled more than
 *              cancel_grace_ms ago
 *     BUDGET   a task that crashes its executors is not started for the third
 *              time after three of them have crashed under it, nor any task
 *              after attempts_max ends `failed` that were acknowledged
 *     REFUSED  not all submit attempts of the task's job were refused
 *     ROUTE    the executor has the service of the job's queue and the label
 *              that the job requires, and runs at most per_worker_max tasks of
 *              one step, runs that are being stopped included
 *
 *     EVAC     the executor's zone was evacuated at most
 * EXECUTOR_EVACUATION_MS ago, or is not, or the hosts were not in contact with
 * the store
 *
 * A start that was sent to an earlier incarnation breaks no ROUTE, but its run
 * counts for the limit of later starts.  It arrived at the platform before the
 * incarnation began, or its lease ends later than maxHoldMs from now on the
 * incarnation's clock: `expiryMs` is on the executor's clock, which starts
 * anew (PROTOCOL.md), so that a sender that still counts on the clock of a
 * long life is beyond that.  A sender that knows the new clock knows of the
 * restart, and the entry with the new `born` tells service and labels.
 * Therefore executors become of another kind only after a life of more than
 * maxHoldMs.
 *
 * The model does no I/O except for reports on stderr and the event log: the
 * caller passes the time and transports the orders.
 *
 *     executor_fleet_t *fleet = executor_fleet_new(&desc);
 *     executor_t *executor = executor_at(fleet, index);
 *     executor_start(fleet, executor, &order, now_ms, &reason);
 *     executor_fleet_update(fleet, now_ms);
 *     executor_fleet_free(fleet);
 */
#ifndef LIB_EXECUTOR_H
#define LIB_EXECUTOR_H

#include <glib.h>

#include <nutmegdeck/base.h>

#define EXECUTOR_KINDS_FIXED 6
/* From the acknowledgement of a zone's evacuation to the last start there. */
#define EXECUTOR_EVACUATION_MS 5000
#define EXECUTOR_ZONES_MAX 8
#define EXECUTOR_STATUS_OK 200
#define EXECUTOR_STATUS_CONFLICT 409
#define EXECUTOR_STATUS_WRONG_INCARNATION 421

typedef struct {
    uint32_t executors;
    int64_t cpu_milli; /* capacity of each executor */
    uint64_t seed;
    uint32_t attempts_max; /* maxAttempts of the queue; 0: no limit */
    /* Tasks may start until this long after the ack of their job's cancel. */
    nm_ms_t cancel_grace_ms;
    bool clocks_differ; /* wall clocks of a share of the executors */
    /* File for starts, stops, ends and crashes; NULL: no log. */
    const char *event_log_path;
} executor_fleet_desc_t;

/* What an executor is: its service, and a label beside that of its rack. */
typedef struct {
    const char *service;
    const char *label;
} executor_kind_t;

#define EXECUTOR_KINDS 3
extern const executor_kind_t executor_kinds[EXECUTOR_KINDS];

typedef struct {
    char task[64];
    int64_t run;
    nm_ms_t started_ms;
    nm_ms_t end_at_ms;
    nm_ms_t duration_ms;   /* of the whole task, without a checkpoint */
    nm_ms_t checkpoint_ms; /* progress in the checkpoint it started from */
    int64_t cpu_milli;
    bool long_running;
    bool fills;        /* its CPU is not counted against the capacity */
    bool serves;       /* it has a tail, which fillers beside it raise */
    uint32_t percent;  /* share at which it works: /pace */
    nm_ms_t worked_ms; /* until paced_ms */
    nm_ms_t paced_ms;  /* newest change of percent, or the start */
    bool deadly;       /* crashes its executor at end_at_ms */
    bool fails;
    nm_ms_t stop_at_ms; /* 0: no stop was ordered */
} executor_run_t;

typedef struct {
    int64_t number;
    char task[64];
    int64_t run;
    const char *result;
    nm_ms_t checkpoint_ms;
    bool
        lease_lapsed; /* since the end; an ack does not take note of it then */
} executor_end_t;

typedef struct {
    char id[NM_NAME_MAX];
    nm_ms_t incarnation_start_ms;
    int64_t cpu_milli;   /* capacity */
    uint32_t kind;       /* index of executor_kinds, of this incarnation */
    double clock_rate;   /* 1, or less as the users' platform allows */
    int64_t incarnation; /* start time, Unix ms on its wall clock: `born` */
    int64_t epoch;
    int64_t lease_expiry_ms; /* on executor_clock */
    GArray *runs;            /* of executor_run_t */
    GArray *ends;            /* of executor_end_t, unacknowledged */
    int64_t last_end_number;
    bool unresponsive; /* orders have no effect and get no response */
    /* The same until then; its entry in the store expires meanwhile. */
    nm_ms_t cut_until_ms;
    /* Has left for good; another one joins in its place then.  0: present. */
    nm_ms_t joins_at_ms;
    uint32_t life; /* number of executors that have left this place */
    nm_ms_t unannounced_until_ms; /* has no entry until then */
    bool was_cut;                 /* has written no entry since its last cut */
    nm_ms_t started_ms;           /* last start of a task */
    nm_ms_t retried_ms; /* last start of a task that had started before */
    nm_ms_t entry_ms;   /* last heartbeat in the store; 0: no entry */
    nm_ms_t heartbeat_due_ms;
    uint64_t sequence;
    /* Task -> highest run that was stopped or ended in this incarnation. */
    GHashTable *last_finished_runs;
} executor_t;

typedef struct {
    const char *task;
    int64_t run;
    int64_t epoch;
    int64_t expiry_ms; /* of the lease, on executor_clock */
    const char *checkpoint;
    nm_ms_t arrived_ms; /* at the platform; 0: now */
} executor_order_t;

typedef struct executor_fleet executor_fleet_t;

executor_fleet_t *executor_fleet_new(const executor_fleet_desc_t *desc);
void executor_fleet_free(executor_fleet_t *fleet);
uint32_t executor_fleet_size(const executor_fleet_t *fleet);
executor_t *executor_at(executor_fleet_t *fleet, uint32_t index);
executor_t *executor_find(executor_fleet_t *fleet, const char *id);
/*
 * Time since the start of the executor's incarnation on its own clock, in ms,
 * from 1.
 */
int64_t executor_clock(const executor_t *executor, nm_ms_t now_ms);
/* True if orders do not reach the executor: unresponsive, cut off, or gone. */
bool executor_is_silent(const executor_t *executor, nm_ms_t now_ms);
/* Ends runs that are due, were stopped, or whose executor's lease expired. */
void executor_fleet_update(executor_fleet_t *fleet, nm_ms_t now_ms);
/*
 * Cuts an executor off from all hosts and the store; it lives on.  Once its
 * lease has expired, its runs end `lapsed`.
 */
void executor_cut(executor_fleet_t *fleet, uint32_t index, nm_ms_t until_ms,
                  nm_ms_t now_ms);
/*
 * Starts a new incarnation with no runs, ends, lease or epoch; at times it is
 * of another kind.  The first EXECUTOR_KINDS_FIXED executors keep theirs.
 */
void executor_crash(executor_fleet_t *fleet, uint32_t index, nm_ms_t now_ms);

/*
 * Ends an executor with its runs, as a crash.  It never comes back: once its
 * entry is gone, but not before joins_at_ms, an executor with another id takes
 * its place.
 */
void executor_leave(executor_fleet_t *fleet, uint32_t index,
                    nm_ms_t joins_at_ms, nm_ms_t now_ms);
/* True if the id is of an executor that has left: nothing is at its address.
 */
bool executor_has_left(const executor_fleet_t *fleet, const char *id);

/*
 * Orders.  Each returns EXECUTOR_STATUS_OK, or EXECUTOR_STATUS_CONFLICT with
 * *reason: "fence" for a lower epoch than an earlier order's; for starts also
 * "old" if the run has ended or another run of the task is running, and "late"
 * if the lease in the order has expired.
 */
int executor_start(executor_fleet_t *fleet, executor_t *executor,
                   const executor_order_t *order, nm_ms_t now_ms,
                   const char **reason);
int executor_stop(executor_fleet_t *fleet, executor_t *executor,
                  const executor_order_t *order, nm_ms_t now_ms,
                  const char **reason);
/* A known run goes on at this share of its speed; others are ignored. */
int executor_pace(executor_fleet_t *fleet, executor_t *executor,
                  const executor_order_t *order, uint32_t percent,
                  nm_ms_t now_ms, const char **reason);
/* Progress in the newest checkpoint of a run. */
nm_ms_t executor_run_checkpoint_ms(const executor_run_t *run, nm_ms_t now_ms);
/* Figure of a run in lists: a tail in ms, or the CPU that a filler uses. */
int64_t executor_run_figure(const executor_t *executor,
                            const executor_run_t *run);
/* A poll: extends the lease and removes the ends with numbers up to acked. */
int executor_hold(executor_fleet_t *fleet, executor_t *executor,
                  const executor_order_t *order, int64_t acked, nm_ms_t now_ms,
                  const char **reason);

/* Records what callers did with a job; the checks of starts use it. */
void executor_job_submitted(executor_fleet_t *fleet, const char *job,
                            uint32_t tasks, int64_t cpu_milli,
                            nm_ms_t duration_ms, bool long_running,
                            bool deadly);
/*
 * What the job asks of its executors: the service of its queue, a label (NULL:
 * any) and the tasks of a step on one executor (0: no limit).
 */
void executor_job_routed(executor_fleet_t *fleet, const char *job,
                         const char *service, const char *label,
                         uint32_t per_worker_max);
/* The job's tasks fill, or serve, or neither. */
void executor_job_shares(executor_fleet_t *fleet, const char *job, bool fills,
                         bool serves);
/* Most runs of the job's tasks fail. */
void executor_job_fails_often(executor_fleet_t *fleet, const char *job);
/*
 * True if executors have crashed so often under a task, or its runs have
 * failed so often, that it may be failed.
 */
bool executor_job_may_fail(const executor_fleet_t *fleet, const char *job);
void executor_job_cancelled(executor_fleet_t *fleet, const char *job,
                            nm_ms_t now_ms);
/* Every submit attempt was refused, so no task of the job may start. */
void executor_job_refused(executor_fleet_t *fleet, const char *job);
/*
 * A zone, of which executor `index` is one if index % zones is its number, is
 * evacuated since a time; 0: it is not.
 */
void executor_fleet_set_evacuated(executor_fleet_t *fleet, uint32_t zone,
                                  uint32_t zones, nm_ms_t since_ms);
/* The hosts are in contact with the store from a time on. */
void executor_fleet_set_contact(executor_fleet_t *fleet, nm_ms_t from_ms);
/* Returns true once all tasks of a job have ended `done`. */
bool executor_job_is_done(const executor_fleet_t *fleet, const char *job);
/*
 * Notes which jobs are idle: they have a task to run and nothing running,
 * while an executor that may run it has room for IDLE_ROOM_TASKS of them, and
 * under half of its service's CPU capacity is in use.  Fillers need no CPU
 * and use none of it.
 */
void executor_fleet_note_idle_jobs(executor_fleet_t *fleet, nm_ms_t now_ms);
/* How long the job has been idle in each note up to the last; 0: it is not. */
nm_ms_t executor_job_idle_ms(const executor_fleet_t *fleet, const char *job);

typedef struct {
    uint32_t starts;
    uint32_t ends;
    /* Starts of tasks of which a live executor lists an end `done`. */
    uint32_t repeats;
    uint32_t late_starts; /* of orders sent to an earlier incarnation */
    uint32_t kind_changes;
    uint32_t departures;
    uint32_t violations;
    char first_violation[1024]; /* time and text; empty: none */
} executor_fleet_info_t;

executor_fleet_info_t executor_fleet_query_info(const executor_fleet_t *fleet);
/* Counts and prints a violation; the text begins with the rule's name. */
void executor_fleet_add_violation(executor_fleet_t *fleet, nm_ms_t now_ms,
                                  const char *format, ...) G_GNUC_PRINTF(3, 4);

#endif
