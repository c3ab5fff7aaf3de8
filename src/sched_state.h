/*
 * State shared by the files of the scheduler.  A node is the state that the
 * scheduler keeps of one worker.  Calls go in one direction, except those of
 * sched_events.c and nm_job_state_name:
 * sched.c -> sched_place.c, sched_poll.c, sched_record.c, sched_wait.c ->
 * sched_order.c, sched_gang.c, sched_response.c, sched_lookahead.c ->
 * sched_room.c ->
 * sched_choice.c -> sched_node.c, sched_filler.c -> sched_cold.c,
 * sched_lease.c ->
 * sched_orphans.c -> sched_tails.c, sched_crashes.c -> sched_task.c ->
 * sched_occurrence.c ->
 * sched_estimate.c -> sched_delay.c, sched_timer.c.
 */
#ifndef NM_SCHED_STATE_H
#define NM_SCHED_STATE_H

#include <nutmegdeck/sched.h>

#include "durations.h"
#include "interference.h"
#include "load_swing.h"
#include "sched_delay.h"
#include "sched_share.h"

/*
 * Workers' clocks may run slow by this factor (the platform states 2%): what
 * they show is between the time that has passed for the owner and that time
 * divided by the factor.
 */
#define NM_SCHED_CLOCK_SLOW_FACTOR 1.021
/* Workers cut longer leases to this (the platform's maxHoldMs). */
#define NM_SCHED_LEASE_LIMIT_MS 10000
/* The platform carries out orders up to 12 s late; 2 s for transmission. */
#define NM_SCHED_LATE_ORDER_MAX_MS 14000
/* Added to each time after which a worker's lease is assumed lapsed. */
#define NM_SCHED_LAPSE_MARGIN_MS 250
/* How long a poll waits for an end (the platform's maximum). */
#define NM_SCHED_POLL_WAIT_MS 2000
/*
 * Wait of a poll of a worker that runs serving tasks beside fillers, whose
 * metrics cover half a second; and while the owner is behind, as each poll
 * renews a lease and the next one waits for its response.
 */
#define NM_SCHED_POLL_WAIT_SHORT_MS 500
/*
 * Wait of a poll while calls are lossy: the timeout of a lost poll includes
 * the wait, and delays the report of an end.
 */
#define NM_SCHED_POLL_WAIT_LOSSY_MS 150
/* Share of unanswered calls above which calls count as lossy. */
#define NM_SCHED_LOSSY_ENTER_SHARE 0.015
/* Share below which calls no longer count as lossy; lower against flapping. */
#define NM_SCHED_LOSSY_EXIT_SHARE 0.005
/*
 * Timeout of a response while calls are lossy.  It covers twice a round trip
 * between regions and the worker's processing time, and a pause of the owner.
 */
#define NM_SCHED_LOSSY_TIMEOUT_MS 180
/* Timeout of a response while the owner is behind: it may only be late. */
#define NM_SCHED_BEHIND_TIMEOUT_MS 3000
/* Pause before an unanswered start is repeated while the owner is behind. */
#define NM_SCHED_BEHIND_RETRY_MS 2000
/* A report may come this long after its poll has timed out. */
#define NM_SCHED_LATE_REPORT_MAX_MS 10000
/* Pause after a report, so that one poll fetches several ends. */
#define NM_SCHED_POLL_COALESCE_MS 130
/* Pause before an unanswered poll or order is repeated. */
#define NM_SCHED_RETRY_MS 300
/*
 * Pause before the first repetition, and before each one while calls are
 * lossy; short, as a lost call is then more likely than a lost worker.
 */
#define NM_SCHED_FIRST_RETRY_MS 20
/* Unanswered polls in a row after which a worker gets no new tasks. */
#define NM_SCHED_POLL_FAILURES_MAX 2
/*
 * Limit of unanswered polls while calls are lossy: with half of all calls
 * lost, 1 of 16 healthy workers is excluded at a time.
 */
#define NM_SCHED_POLL_FAILURES_MAX_LOSSY 3
/*
 * Limit of starts without a response: an owner that cannot keep up must not
 * fall further behind the workers' reports.  While responses are late the
 * limit is lower, see sched_delay.c.
 */
#define NM_SCHED_STARTING_MAX 400
/* Limit of the workers of a task that may have crashed; it waits from then. */
#define NM_SCHED_SILENCES_MAX 5
/* Tries of a start that may be sent again, after which it is withdrawn. */
#define NM_SCHED_START_TRIES_MAX 3
/*
 * Tries of a start while calls are lossy; with the shorter timeouts they
 * take as long as NM_SCHED_START_TRIES_MAX tries otherwise.
 */
#define NM_SCHED_START_TRIES_MAX_LOSSY 4

/*
 * A start without a response for this long is stored as open where ids are
 * reused, as its owner may be lost before the call times out.  Usual responses
 * take a round trip between regions; the same as NM_SCHED_LOSSY_TIMEOUT_MS.
 */
#define NM_SCHED_OPEN_STORED_MS 180

/* Limit of filler images counted on one worker; more are ignored. */
#define NM_SCHED_FILLER_LOADS_MAX 16
/* Limit of recently ended fillers remembered for one worker. */
#define NM_SCHED_ENDED_FILLERS_MAX 16
/* Speed of a task whose last throttle order may have been carried out. */
#define NM_SCHED_PERCENT_UNKNOWN UINT32_MAX
/* Speed of a filler that starts slowed, in percent of full speed. */
#define NM_SCHED_SLOWED_PERCENT 5
/*
 * Failed runs remembered per task, the newest ones: ends that a worker lists
 * again after a takeover are counted once.
 */
#define NM_SCHED_FAILED_RUNS_MAX 8

/* Durations of one step's tasks that are kept; the median of these is used. */
#define NM_ESTIMATE_ENDS_MAX 7

typedef struct nm_occurrence nm_occurrence_t;
typedef struct nm_sched_job nm_sched_job_t;
typedef struct nm_sched_node nm_sched_node_t;

/* A queue and the mean size of its jobs. */
typedef struct {
    nm_queue_t desc;
    const char *service; /* interned */
    double mean_core_ms; /* of one job, from estimates; 0: no job yet */
    nm_share_t share;    /* of its jobs that run to an end */
} nm_sched_queue_t;

/* Time in which a filler worked at one share. */
typedef struct {
    nm_filler_load_t load;
    nm_ms_t begin_ms;
    nm_ms_t end_ms;
} nm_filler_span_t;

/* Recent canary starts of one filler image beside serving tasks. */
typedef struct {
    nm_ms_t since_ms;
    uint32_t count;
} nm_canary_t;

typedef enum {
    NM_RUN_WAITING,
    NM_RUN_UNKNOWN,  /* an earlier owner may have started it */
    NM_RUN_STARTING, /* start sent, no response yet */
    NM_RUN_RUNNING,
    NM_RUN_STOPPING, /* waits until its end is reported */
    NM_RUN_DONE,
    NM_RUN_FAILED, /* out of attempts */
} nm_run_state_t;

/*
 * An incarnation of a worker that fell silent soon after a task's start there.
 * It has crashed, or is only out of reach.
 */
typedef struct {
    uint32_t worker_hash;
    uint32_t address_hash; /* 0: not known, or shared by several workers */
    int64_t incarnation;
    int64_t run;      /* 0: not known */
    nm_ms_t since_ms; /* when it was noticed; of an intent: made or restored */
    int64_t since_unix_ms; /* the same by the wall clock; 0: not stored */
    nm_ms_t heard_ms;      /* newest response before; 0: restored */
    nm_ms_t lapse_ms;      /* of the lease; 0: not lapsed, or restored */
    bool certain;          /* no other task can have caused a crash */
} nm_silence_t;

/* An incarnation that a task waits for, and what is shown of it. */
typedef struct {
    int64_t incarnation;
    nm_ms_t since_ms;   /* its silence was noticed */
    nm_ms_t awaited_ms; /* a task was last found to wait for it */
    nm_ms_t ended_ms;   /* a list requested then lacks it; 0: none does */
} nm_awaited_t;

typedef struct {
    nm_occurrence_t *occurrence;
    uint16_t step;
    uint32_t index;
    nm_run_state_t state;
    uint32_t crashes; /* runs in a row that were lost soon after their start */
    /* Worker of all these crashes; 0: several workers, or not known. */
    uint32_t crash_worker_hash;
    nm_silence_t *silences; /* up to NM_SCHED_SILENCES_MAX; NULL: none yet */
    uint32_t silence_count;
    /*
     * Start of a suspect; a next owner takes it for a silence.  worker_hash 0:
     * none.
     */
    nm_silence_t intent;
    uint64_t intent_seq; /* change of the job that stores it */
    /* Runs of it that may be at work besides its current one. */
    uint32_t orphans;
    /* Starts of it without a response that may still be carried out. */
    uint32_t open_starts;
    uint32_t starts_in_flight; /* calls that have not timed out */
    bool resent;               /* its run's start has been sent twice */
    bool awaits_report;        /* STARTING: the start got no response */
    int64_t shown_run;         /* newest run that a report has shown */
    /*
     * An unanswered start, of this owner or a former one, may be carried out
     * until then; 0: none.  Stored with the job, and for its run.
     */
    nm_ms_t open_until_ms;
    int64_t open_run;
    bool opened_by_former;    /* the next owner waits, without an orphan */
    nm_ms_t start_expires_ms; /* its worker refuses the start from then on */
    uint32_t stalls;          /* runs that were stopped as stalled */
    uint32_t failures;
    int64_t failed_runs[NM_SCHED_FAILED_RUNS_MAX]; /* counted in failures */
    nm_sched_node_t *node; /* where it starts, runs or stops; else NULL */
    int64_t run;
    nm_ms_t begun_ms;     /* first start order of its run; 0: not known */
    nm_ms_t sent_ms;      /* last order sent or confirmed */
    nm_ms_t started_ms;   /* start confirmed, or run first reported */
    nm_ms_t progress_ms;  /* last sign of progress */
    nm_ms_t order_due_ms; /* next repetition of an unanswered order */
    uint32_t tries;       /* of the current order; 0: it is confirmed */
    bool order_pending;   /* a call is in flight */
    bool withdrawn;       /* STOPPING before its start was confirmed */
    bool is_resumed;      /* its run began from a checkpoint */
    bool run_is_surplus;  /* an earlier run has ended as done: STOPPING */
    bool starts_slowed;   /* its run is slowed as soon as it has started */
    uint32_t percent;     /* confirmed share of full speed, or
                             NM_SCHED_PERCENT_UNKNOWN */
    uint32_t wanted_percent;
    int64_t metric;        /* newest one reported */
    bool observed;         /* this owner saw its start or a metric */
    nm_ms_t over_since_ms; /* its tail is over target since; 0: within */
    nm_ms_t throttled_ms;  /* last change of wanted_percent */
    bool has_failed;       /* a run failed soon; none has worked since */
    /* Where it last failed, stalled, was refused or was evicted. */
    nm_sched_node_t *avoided_node;
    /* Number of its node's newest report that listed its run. */
    uint64_t listed_in_report;
    char *checkpoint;         /* newest one that is kept; NULL: none */
    uint64_t checkpoint_hash; /* of a newer one that is not kept; else 0 */
} nm_task_t;

/* The first failure of a step's run soon after its start. */
typedef struct {
    const nm_sched_node_t *node; /* only compared; NULL: a run worked since */
    nm_ms_t failed_ms;
} nm_step_failure_t;

/* How long the tasks of a step take, see sched_estimate.c. */
typedef struct {
    nm_ms_t expected_ms; /* by the model when the job was added */
    nm_ms_t known_ms;    /* median of those that have ended, or expected_ms */
    nm_ms_t longest_ms;  /* of one that has ended */
    nm_ms_t ended_ms[NM_ESTIMATE_ENDS_MAX];
    uint32_t end_count; /* in ended_ms */
    bool is_learned;    /* the model has observed the step */
} nm_step_duration_t;

/* One occurrence of a job. */
struct nm_occurrence {
    nm_sched_job_t *job;
    uint32_t number;
    int64_t due_unix_ms;
    nm_task_t **tasks;    /* by step, then index */
    uint32_t *unfinished; /* by step: tasks that are not done */
    uint32_t *waiting;    /* by step: tasks in state NM_RUN_WAITING */
    /*
     * By step: since when an interrupted long-running task has been waiting,
     * whether or not a placement has considered it; 0: none has.
     */
    nm_ms_t *interrupted_since_ms;
    nm_step_failure_t *failures; /* by step */
    bool finished;
    nm_ms_t finished_ms; /* it was found to be; 0: not yet */
};

struct nm_sched_job {
    nm_job_spec_t spec;
    nm_job_state_t state; /* queued until a run is known to have begun */
    nm_job_state_t visible_state; /* shows an end once it is stored */
    /* Of nm_occurrence_t, by number; see sched_occurrence.c. */
    GPtrArray *occurrences;
    uint32_t occurrence_count; /* of all */
    uint32_t begun_count;    /* the next ones have not begun; one that has and
                                is not in occurrences is finished */
    uint64_t live_bytes;     /* its part of sched.live_bytes */
    uint64_t reserved_bytes; /* its part of sched.job_bytes */
    uint64_t base_bytes;     /* without its occurrences */
    uint64_t occurrence_bytes;  /* of one */
    uint32_t released_failures; /* of occurrences that were freed */
    uint32_t released_crashes;  /* the same: of the task with most of them */
    nm_ms_t arrived_ms;
    nm_ms_t ended_ms;
    nm_job_failure_t failure;
    nm_ms_t first_start_ms; /* confirmed or listed; 0: none by this owner */
    bool recovered;
    bool progress_unreadable; /* no task of it may start */
    bool cancelled;
    bool cancel_stored; /* the store has a cancel key for it */
    bool active;        /* in sched.active */
    bool long_running;
    bool has_fillers;
    bool admitted; /* started in its turn, not only for being idle */
    nm_ms_t admitted_ms;
    bool takes_share;        /* its size was behind when it could start */
    uint32_t attached_count; /* tasks on workers */
    /* Part of it: they work or start, as far as is known. */
    uint32_t working_count;
    nm_ms_t idle_since_ms; /* a task waits in turn, none works; 0: works */
    /*
     * It takes turns with others: a filler of it starts slowed meanwhile.  Set
     * by its waits, ended by a filler that is paused or evicted.
     */
    bool has_waited;
    uint32_t waits;             /* times idle for IDLE_WAIT_MS or longer */
    nm_ms_t wait_counted_ms;    /* idle_since_ms of the newest of them */
    nm_ms_t held_until_ms;      /* workers may be held for it until then */
    nm_ms_t evicting_until_ms;  /* the same where fillers are evicted for it */
    nm_ms_t ahead_until_ms;     /* workers may be reserved for it */
    nm_ms_t ahead_searched_ms;  /* it last looked for workers to reserve */
    uint64_t change_seq;        /* newest change to store */
    uint64_t first_unsaved_seq; /* oldest change not stored */
    uint64_t saved_seq;         /* newest change stored */
    bool saving;
    bool has_intents;   /* a task waits for an intent to be stored */
    bool urgent;        /* a caller waits for its record */
    GList unsaved_link; /* in sched.unsaved while it has changes */
    GQueue *save_queue; /* queue that holds save_link, or NULL */
    GList save_link;
    uint32_t *images;     /* by step: number in the interference model */
    nm_swing_t **swings;  /* by step; NULL: its tasks have no target */
    int64_t core_ms_left; /* from estimates */
    int64_t core_ms_total;
    nm_ms_t objective_ms;     /* after arrival, by critical_path_ms */
    nm_ms_t critical_path_ms; /* longest chain of tasks, as known now */
    nm_ms_t path_left_ms;     /* part of a chain that is left */
    nm_ms_t estimated_ms;     /* when the two were updated; 0: on arrival */
    bool estimate_outdated;   /* a task has ended since */
    /* A step takes other than expected, so that path_left_ms is used. */
    bool has_overrun;
    nm_step_duration_t *durations; /* by step */
    nm_sched_queue_t *queue;
    const char *service; /* interned; used while the queue is unknown */
};

/* An end that may be acknowledged once its job's change is stored. */
typedef struct {
    int64_t number;
    uint64_t change_seq; /* of the scheduler; 0: nothing to store */
} nm_pending_ack_t;

typedef enum {
    NM_HOLD_EVICTION, /* fillers are evicted for a task */
    NM_HOLD_IDLE,     /* for a task of an idle job */
    NM_HOLD_GANG,     /* for tasks of a gang */
    NM_HOLD_AHEAD,    /* reserved, see sched_lookahead.c */
} nm_hold_reason_t;

/*
 * Keeps what becomes free on a worker for one step until a time.  The
 * occurrence and the job are only compared, as they may have been freed.
 */
typedef struct {
    const nm_occurrence_t *occurrence;
    uint32_t step;
    nm_ms_t until_ms;
    nm_hold_reason_t reason;
    const nm_sched_job_t *job;
    /* The rest is set for NM_HOLD_AHEAD. */
    nm_ms_t begin_ms; /* the step is expected to start then */
    nm_ms_t due_ms;   /* the hold is given up then */
    uint32_t tasks;
    int64_t cpu_milli; /* of all these tasks */
    int64_t memory_mb;
    int64_t accelerators;
} nm_hold_t;

/* Least that a short step of a service asked for lately. */
typedef struct {
    const char *service; /* interned */
    int64_t cpu_milli;
    int64_t memory_mb;
    nm_ms_t cpu_until_ms;
    nm_ms_t memory_until_ms;
    nm_ms_t pressed_ms; /* smaller jobs last waited for long */
} nm_small_step_t;

/* Predicted tail of a serving task; placement compares many of them. */
typedef struct {
    double log_tail; /* log(tail / target) */
    uint32_t image;
} nm_tail_t;

/* Cost of a filler on a worker; tasks of a step ask for it in a row. */
typedef struct {
    nm_ms_t at_ms; /* 0: none, or the prediction has changed since */
    uint32_t image;
    int64_t cpu_milli;
    double cost;
} nm_filler_cost_t;

/* What a run takes of its worker. */
typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
    int32_t accelerators;
    bool is_filler;
    bool long_running;
    bool is_serving; /* it has a latency target */
} nm_load_t;

/* A worker; the fields that placement reads come first. */
struct nm_sched_node {
    const char *service; /* interned */
    int64_t cpu_used_milli;
    int64_t memory_used_mb;
    int32_t accelerators_used;
    uint32_t filler_count;
    uint32_t serving_count; /* long-running tasks with a latency target */
    bool announced;
    /* Former owners may have started tasks there that are not known yet. */
    bool inherited;
    bool ends_truncated;  /* more ends than its newest report lists */
    bool admitted;        /* in the stored roster; a new owner expects it */
    bool described;       /* desc is complete; else only its id is known */
    bool restarted;       /* this owner has heard of two incarnations */
    bool epoch_confirmed; /* this incarnation responded to our epoch */
    bool reachable;       /* responded to one of its last polls */
    bool clock_known;
    bool has_headroom; /* no serving task is near its target */
    bool evacuated;    /* its zone is */
    /* expected_misses and tails are current. */
    bool interference_valid;
    nm_ms_t avoid_until_ms;
    nm_ms_t cold_until_ms;     /* it is slow until then */
    nm_ms_t cold_start_due_ms; /* no start before, while it is cold */
    nm_ms_t moved_to_ms;       /* a slowed filler was stopped to run here */
    int64_t filler_cpu_milli;
    /* Part of it: slowed fillers, which use what the others leave. */
    int64_t slowed_cpu_milli;
    int64_t serving_cpu_milli;   /* of tasks with a latency target */
    uint64_t reserved_placement; /* placement that last reserved it */
    nm_hold_t hold;
    nm_ms_t ahead_avoid_until_ms; /* a reservation was not met */
    int64_t filler_memory_mb;     /* part of memory_used_mb */
    double expected_misses; /* expected number of serving tasks over target */
    GArray *tails;          /* of nm_tail_t: of its serving tasks */
    nm_ms_t predicted_ms;   /* when tails and their misses were computed */
    nm_filler_cost_t cost;  /* newest computed one */
    nm_sched_worker_t desc;
    /*
     * Incarnation that was last announced.  The next one may be of another
     * kind, so that the rest of desc does not hold for it.
     */
    int64_t announced_incarnation;
    nm_ms_t announced_ms;         /* newest announcement */
    nm_sched_worker_t *held_desc; /* announced, but born earlier; or NULL */
    uint64_t reports;             /* number of reports applied */
    uint32_t poll_failures;       /* unanswered polls in a row */
    bool last_call_lost;          /* its last call got no response */
    bool poll_pending;
    bool poll_has_expiry;     /* the poll in flight renews the lease */
    int64_t poll_incarnation; /* that the newest poll was sent to */
    int64_t poll_fence_seq;   /* of the newest poll */
    int64_t fence_seq;        /* of orders to this incarnation */
    /* When such a poll got no response; it may be carried out.  0: none. */
    nm_ms_t expiry_lost_ms;
    nm_ms_t poll_wait_ms; /* of the newest poll */
    nm_ms_t poll_due_ms;
    nm_ms_t alive_ms;   /* when its newest response came */
    nm_ms_t called_ms;  /* its newest call ended; 0: none, see sched_delay.c */
    bool call_was_late; /* that call, or without a response */
    uint32_t id_hash;   /* never 0 */
    uint32_t address_hash;       /* 0: not described */
    nm_ms_t incarnation_seen_ms; /* its incarnation was first heard of */
    nm_ms_t suspect_begun_ms;    /* newest start of a task that has crashes */
    nm_ms_t crashed_ms; /* an incarnation last ended by surprise; 0: none */
    int64_t crashed_incarnation; /* the one that did */
    uint32_t crashes;    /* such ends, each soon after the one before */
    nm_ms_t reported_ms; /* when the newest poll with a response was sent */
    nm_ms_t report_expected_ms; /* usual latest time of the next report */
    /* Its clock shows clock_ms or more at clock_at_ms of the owner's. */
    int64_t clock_ms;
    nm_ms_t clock_at_ms;
    nm_ms_t lease_lapse_ms;  /* its lease is sure to have lapsed */
    int64_t ends_processed;  /* number of the newest end processed */
    int64_t end_unread;      /* in its newest report; see nm_worker_report_t */
    int64_t ends_acked;      /* newest end the worker may drop */
    int64_t ends_acked_sent; /* ends_acked in the last poll; 0: was lost */
    GQueue pending_acks;     /* of nm_pending_ack_t */
    GPtrArray *tasks;        /* starting, running or stopping here */
    int64_t long_running_cpu_milli; /* part of cpu_used_milli */
    uint32_t stalls;                /* in a row, without an end in between */
    uint32_t consecutive_failures;  /* of starts and runs */
    nm_ms_t failed_ms;              /* newest one counted */
    nm_ms_t progress_ms;    /* last end or new checkpoint of any task */
    nm_ms_t stall_check_ms; /* when the next one is due */
    nm_ms_t mitigated_ms;   /* a filler was last paused or evicted */
    nm_ms_t observed_ms;    /* the model last learned from its tails */
    /* Newest ended fillers; a ring. */
    nm_filler_span_t ended_fillers[NM_SCHED_ENDED_FILLERS_MAX];
    uint32_t ended_filler_count; /* of all, also those overwritten */
    nm_ms_t retry_due_ms;        /* next check of unanswered orders */
    uint32_t starts_in_flight;   /* sent, the result is not known */
    GArray *orphans;             /* see sched_orphans.c; NULL: none yet */
    uint32_t unknown_orphans;    /* of jobs that are not known */
    nm_ms_t wake_ms;   /* when it is checked next; 0: in the next round */
    guint timer_index; /* in sched.timers */
};

struct nm_sched {
    nm_sched_desc_t desc;
    GHashTable *jobs;          /* id -> nm_sched_job_t */
    GHashTable *queues;        /* name -> nm_sched_queue_t */
    GHashTable *nodes;         /* id -> nm_sched_node_t */
    GHashTable *nodes_by_hash; /* id_hash -> nm_sched_node_t */
    /* address_hash -> GPtrArray of the nodes that are announced there */
    GHashTable *nodes_by_address;
    /* Silent workers that tasks wait for; id_hash -> nm_awaited_t */
    GHashTable *awaited;
    GPtrArray *node_list; /* all nodes; placement samples them */
    GPtrArray *timers;    /* all nodes; a heap by wake_ms */
    GPtrArray *active;    /* jobs not ended, or with tasks on workers */
    GArray *actions;
    guint action_next;
    GArray *events; /* of nm_sched_event_t */
    uint32_t events_dropped;
    GQueue removed;      /* ids of removed workers */
    GQueue urgent;       /* jobs with changes to store that callers wait for */
    GQueue dirty;        /* other jobs with changes to store */
    GQueue ended;        /* jobs that have ended, oldest first */
    GQueue expired;      /* ended jobs past their retention, to be removed */
    GQueue unsaved;      /* jobs with changes that are not stored */
    uint64_t change_seq; /* newest change of any job */
    uint64_t saved_seq;  /* all changes up to it are stored */
    uint64_t live_bytes; /* of jobs and their occurrences in memory */
    uint64_t job_bytes;  /* the same, with one occurrence of each at least */
    uint64_t checkpoint_bytes;
    GQueue unreleased; /* ended jobs that may have occurrences in memory */
    int64_t occurrences_due_unix_ms; /* the next one; 0: not known */
    uint32_t live_occurrences;
    uint32_t deferred_jobs;    /* with an occurrence that has no memory */
    uint64_t placement_number; /* counts placements */
    uint64_t cut_placements;   /* ended at NM_SCHED_STARTING_MAX */
    bool placement_cut;        /* the newest one ended there */
    bool saved_seq_stale;      /* saved_seq has to be recomputed */
    uint32_t urgent_saves;     /* in a row, while others were waiting */
    bool has_saved;            /* a change was stored since the last round */
    nm_ms_t
        store_ok_ms;  /* newest round with nothing to store, or one stored */
    nm_ms_t began_ms; /* when this scheduler was created */
    nm_ms_t watch_gap_ms; /* newest time at which entries may be outdated */
    nm_ms_t entries_age_ms;
    /* Latest time at which a former owner may have renewed a lease. */
    nm_ms_t former_owner_until_ms;
    bool taken_over;             /* what a former owner has stored is loaded */
    bool authority;              /* may start tasks and renew leases */
    bool starts_allowed;         /* may start tasks */
    bool is_handing_over;        /* starts no tasks */
    GHashTable *evacuated_zones; /* names */
    /* When a cold worker that was refused may take a start; 0: none was. */
    nm_ms_t cold_start_due_ms;
    bool looks_ahead;       /* see sched_lookahead.c */
    GArray *small_steps;    /* of nm_small_step_t, by service */
    nm_ms_t ahead_until_ms; /* workers may be reserved */
    guint ahead_position;   /* in node_list: where the next search begins */
    bool fenced;
    int64_t fence_seq;       /* restarts of workers that were noticed */
    uint32_t starting_count; /* tasks in state NM_RUN_STARTING */
    uint32_t awaiting_count; /* part of it: tasks that await a report */
    /*
     * Workers come back under their ids: one has, in the time of this owner or
     * of a former one, or nothing is known (nm_sched_desc_t.resends_starts).
     */
    bool ids_reused;
    bool has_unknown_runs;  /* tasks may be in state NM_RUN_UNKNOWN */
    uint32_t sampled_calls; /* in the sample since sample_since_ms */
    uint32_t sampled_calls_lost;
    nm_ms_t sample_since_ms;
    nm_delay_t delay;
    double call_loss_share; /* moving average of unanswered calls */
    bool lossy; /* estimate: calls get lost whichever worker is called */
    bool needs_placement; /* something changed since the last placement */
    uint32_t idle_jobs;   /* of the newest placement */
    nm_sched_idle_job_t longest_idle; /* of the newest placement */
    double idle_start_credit; /* starts of idle jobs on a reserved service */
    nm_ms_t placed_ms;        /* newest placement */
    nm_ms_t fillers_checked_ms;
    nm_ms_t filler_tried_ms;   /* newest trial, see sched_filler.c */
    nm_ms_t filler_started_ms; /* newest start of a filler */
    int64_t unix_ms;           /* wall clock of the newest round */
    nm_ms_t now_ms;            /* time of the newest round */
    nm_interference_t interference;
    nm_swing_model_t swing_model;
    nm_durations_t durations;
    GArray *canaries; /* of nm_canary_t, by filler image */
    uint64_t filler_refusals[NM_FILLER_REFUSAL_COUNT];
    nm_rng_t rng;
};

/* sched_occurrence.c */
/* Sets what a job with its specification needs, and counts it. */
void nm_occurrences_init_job(nm_sched_t *sched, nm_sched_job_t *job);
/* Frees the occurrences of a job; sched is NULL while it is freed itself. */
void nm_occurrences_free(nm_sched_t *sched, nm_sched_job_t *job);
/* A job is about to be freed; it no longer counts, nor do its occurrences. */
void nm_occurrences_forget_job(nm_sched_t *sched, nm_sched_job_t *job);
/* A job has ended; its occurrences are freed later. */
void nm_occurrences_on_job_end(nm_sched_t *sched, nm_sched_job_t *job);
/* Returns an occurrence that has begun and is not freed, or NULL. */
nm_occurrence_t *nm_occurrences_find(const nm_sched_job_t *job,
                                     uint32_t number);
/* Begins the next occurrence; unknown: a former owner may have started it. */
nm_occurrence_t *nm_occurrences_begin_next(nm_sched_t *sched,
                                           nm_sched_job_t *job, bool unknown);
/* The next occurrence was finished under a former owner. */
void nm_occurrences_skip_next(nm_sched_job_t *job);
/* Begins those of a new job that are due. */
void nm_occurrences_begin_job(nm_sched_t *sched, nm_sched_job_t *job,
                              nm_ms_t now_ms);
/* Begins occurrences that are due, as far as there is memory for them. */
void nm_occurrences_begin_due(nm_sched_t *sched, nm_ms_t now_ms);
/* Frees those that have been finished, or whose job has ended, for long. */
void nm_occurrences_release(nm_sched_t *sched, nm_ms_t now_ms);
/*
 * Begins the occurrence of a task that a worker has reported, if a former
 * owner can have started it.
 */
void nm_occurrences_begin_reported(nm_sched_t *sched, const char *task);

/* sched_task.c */
/*
 * Keeps a checkpoint, unless the memory for checkpoints is in use: then the
 * task keeps the one that it has.  NULL: removes it.
 */
void nm_task_set_checkpoint(nm_sched_t *sched, nm_task_t *task,
                            const char *checkpoint);
/* Position of a task, as its name tells it. */
typedef struct {
    nm_sched_job_t *job;
    uint32_t occurrence;
    uint32_t step;
    uint32_t index;
} nm_task_position_t;

/* Returns false if no job has such a task. */
bool nm_sched_parse_task_name(const nm_sched_t *sched, const char *name,
                              nm_task_position_t *position);
nm_task_t *nm_sched_find_task(nm_sched_t *sched, const char *name);
void nm_sched_task_name(const nm_task_t *task, char *name, size_t size);
static inline const nm_step_t *
nm_task_step(const nm_task_t *task)
{
    return &task->occurrence->job->spec.steps[task->step];
}

static inline uint32_t
nm_task_image(const nm_task_t *task)
{
    return task->occurrence->job->images[task->step];
}

/* Interned name of the service that runs a job's tasks. */
static inline const char *
nm_job_service(const nm_sched_job_t *job)
{
    return job->queue ? job->queue->service : job->service;
}

/* Failed runs of a task that end a job, also if its queue was removed. */
static inline uint32_t
nm_job_attempts_max(const nm_sched_job_t *job)
{
    return job->queue ? job->queue->desc.attempts_max : job->spec.attempts_max;
}

/* True if a job counts in the shares by size: it is due and runs to an end. */
static inline bool
nm_job_has_share(const nm_sched_job_t *job)
{
    return job->queue && !job->long_running && job->spec.first_unix_ms == 0;
}

/* True if a run has ended as done, whether or not a surplus run is left. */
static inline bool
nm_task_is_done(const nm_task_t *task)
{
    return task->state == NM_RUN_DONE || task->run_is_surplus;
}

/* True for a filler that is at work below full speed, or starts so. */
static inline bool
nm_task_is_slowed(const nm_task_t *task)
{
    return task->starts_slowed ||
           (task->wanted_percent > 0 && task->wanted_percent < 100);
}

nm_load_t nm_step_load(const nm_step_t *step);
/* Adds a load to the sums of a node; sign -1: removes it. */
void nm_node_add_load(nm_sched_node_t *node, const nm_load_t *load,
                      int32_t sign);
/* Attaches a task to a node, or detaches it; updates the node's sums. */
void nm_task_attach(nm_task_t *task, nm_sched_node_t *node);
void nm_task_detach(nm_task_t *task);
/* Sets whether a worker responds; its tasks work only if it does. */
void nm_node_set_reachable(nm_sched_node_t *node, bool reachable);
/* Sets the speed of an attached filler; updates its node's sums. */
void nm_task_set_speed(nm_task_t *task, uint32_t percent);
/* CPU that a filler uses, as a share of its worker's. */
double nm_task_filler_share(const nm_task_t *task);
/* Time since which a filler has that share. */
nm_ms_t nm_task_filler_since_ms(const nm_task_t *task);
/* Records that a filler's present share ends, for the tails measured next. */
void nm_task_record_filler_span(const nm_task_t *task, nm_ms_t now_ms);
void nm_task_set_state(nm_sched_t *sched, nm_task_t *task,
                       nm_run_state_t state);
/* Sets a task running whose start is confirmed, or whose run is listed. */
void nm_task_set_started(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms);
/* Detaches a task that has no run any more, so that it waits again. */
void nm_task_requeue(nm_sched_t *sched, nm_task_t *task);
/* Lets a waiting task wait until the workers of former owners are resolved. */
void nm_task_set_unknown(nm_sched_t *sched, nm_task_t *task);
/* Counts a failed run once, whatever state the task is in now. */
void nm_task_count_failure(nm_sched_t *sched, nm_task_t *task, int64_t run,
                           nm_ms_t now_ms);
/*
 * Applies the end of a run: the task is done or waits again.  If it is in
 * state NM_RUN_UNKNOWN and not done, it stays so, as another worker may run
 * it.
 */
void nm_task_apply_end(nm_sched_t *sched, nm_task_t *task, nm_end_t end,
                       int64_t run, nm_ms_t now_ms);
/* Records a change to be stored; urgent: a caller waits for it. */
void nm_sched_mark_changed(nm_sched_t *sched, nm_sched_job_t *job,
                           bool urgent);
/* Queues a job with changes to be stored. */
void nm_sched_queue_save(nm_sched_t *sched, nm_sched_job_t *job);
/* True if all steps that it comes after are done. */
bool nm_occurrence_step_is_ready(const nm_occurrence_t *occurrence,
                                 uint32_t step);
/*
 * True if a long-running task waits that has run before; each one of a
 * recovered job counts as such.  Tasks that have never run do not become
 * overdue, as they would take the capacity of short tasks that are still in
 * time.
 */
bool nm_task_is_interrupted(const nm_task_t *task);
uint32_t nm_occurrence_count_interrupted(const nm_occurrence_t *occurrence,
                                         uint32_t step);
/* Records since when an interrupted long-running task of a step waits. */
void nm_occurrence_record_interrupted(nm_occurrence_t *occurrence,
                                      uint32_t step, nm_ms_t now_ms);
nm_sched_action_t *nm_sched_add_action(nm_sched_t *sched,
                                       nm_sched_node_t *node,
                                       nm_sched_action_type_t type);
/*
 * Starts a waiting task, with a run number of at least run; repeats the start
 * of any other task.
 */
void nm_sched_start_task(nm_sched_t *sched, nm_task_t *task,
                         nm_sched_node_t *node, int64_t run, nm_ms_t now_ms);
/* Stops a starting or running task, or repeats a stop; else no effect. */
void nm_sched_stop_task(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms);
/* Returns the least that a worker's clock shows now. */
int64_t nm_node_clock_ms(const nm_sched_node_t *node, nm_ms_t now_ms);
/* Ends a job as failed; stops its tasks. */
void nm_job_fail(nm_sched_t *sched, nm_sched_job_t *job,
                 nm_job_failure_t failure, nm_ms_t now_ms);
/* Ends a job that is cancelled, or of which all tasks are done. */
void nm_job_check_end(nm_sched_t *sched, nm_sched_job_t *job, nm_ms_t now_ms);
/*
 * Records that a run of a task has begun on a worker, as an order alone does
 * not show.  NULL: the task is unknown.
 */
void nm_job_record_begun(const nm_task_t *task);

/* sched_timer.c */
void nm_timer_add(nm_sched_t *sched, nm_sched_node_t *node);
void nm_timer_set(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t due_ms);
void nm_timer_remove(nm_sched_t *sched, nm_sched_node_t *node);
/* Returns the worker that is due first, or NULL if none is due yet. */
nm_sched_node_t *nm_timer_first_due(const nm_sched_t *sched, nm_ms_t now_ms);

/* Makes the next round check a worker to which something happened. */
static inline void
nm_timer_set_now(nm_sched_t *sched, nm_sched_node_t *node)
{
    if (node->wake_ms > 0) {
        nm_timer_set(sched, node, 0);
    }
}

/* sched_orphans.c */
/* Records an unanswered start; it may be carried out late. */
void nm_orphans_add_unanswered(nm_sched_t *sched, nm_sched_node_t *node,
                               const nm_sched_action_t *action,
                               nm_ms_t now_ms);
/* Records a run in the newest report that is not the one of its task there. */
void nm_orphans_add_listed(nm_sched_t *sched, nm_sched_node_t *node,
                           const nm_worker_run_t *row, nm_ms_t now_ms);
/*
 * A report shows that a run has begun, and whether it has ended.  If its start
 * was sent once, that call cannot be carried out any more.
 */
void nm_orphans_close_start(nm_sched_t *sched, nm_sched_node_t *node,
                            const char *task, int64_t run, bool ended,
                            nm_ms_t now_ms);
/* Schedules a stop of each unanswered start for a new incarnation. */
void nm_orphans_on_incarnation(nm_sched_t *sched, nm_sched_node_t *node,
                               nm_ms_t now_ms);
void nm_orphans_on_stop(nm_sched_t *sched, nm_sched_node_t *node,
                        const nm_sched_action_t *action,
                        nm_order_result_t result, nm_ms_t now_ms);
/* Ends those that a report no longer lists; after its rows are applied. */
void nm_orphans_on_report(nm_sched_t *sched, nm_sched_node_t *node,
                          const nm_worker_report_t *report);
/* Sends the stops that are due, and forgets orphans that are too old. */
void nm_orphans_send_stops(nm_sched_t *sched, nm_sched_node_t *node,
                           nm_ms_t now_ms);
/* True while a late start may be carried out, or an orphan be at work. */
bool nm_orphans_any(const nm_sched_node_t *node);
/* True if one of them is this run. */
bool nm_orphans_contain(const nm_sched_node_t *node, const char *task,
                        int64_t run);
/*
 * True while one may be at work, or a task waits for the report that shows
 * that it is not, so that the next report is needed soon.
 */
bool nm_orphans_need_report(const nm_sched_node_t *node, nm_ms_t now_ms);
/* Number of a step's tasks that may be at work there as orphans. */
uint32_t nm_orphans_count_step(const nm_sched_node_t *node,
                               const nm_occurrence_t *occurrence,
                               uint32_t step);
/* Forgets the orphans of a worker that is removed. */
void nm_orphans_clear(nm_sched_t *sched, nm_sched_node_t *node);
void nm_orphans_free(nm_sched_node_t *node);

/* sched_crashes.c */
/*
 * Records the runs that a worker loses soon after their start.  To be called
 * before a later incarnation takes the place of the one that ran the tasks,
 * and once the end of that one is proved.
 */
void nm_crashes_on_incarnation_end(nm_sched_t *sched, nm_sched_node_t *node,
                                   nm_crash_evidence_t evidence,
                                   nm_ms_t now_ms);
/*
 * Records which tasks may have crashed a worker that does not respond any
 * more, so that a next owner knows of them.
 */
void nm_crashes_on_silence(nm_sched_t *sched, nm_sched_node_t *node,
                           nm_ms_t now_ms);
/*
 * To be called before the tasks of a silent worker whose lease has lapsed are
 * requeued: it may have crashed, or be cut off.
 */
void nm_crashes_on_lapse(nm_sched_t *sched, nm_sched_node_t *node);
/* To be called when a worker is heard of, for a task that was there. */
void nm_crashes_clear_silence(nm_sched_t *sched, nm_task_t *task,
                              const nm_sched_node_t *node);
/*
 * Counts the crashes that have become known since the task was on the worker,
 * of this owner or a former one.  Its job may fail.
 */
void nm_crashes_resolve(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms);
/* True while a task waits to hear of workers that it may have crashed. */
bool nm_crashes_waits_for_workers(const nm_sched_t *sched,
                                  const nm_task_t *task, nm_ms_t now_ms);
/* True while a waiting task must not start, whichever workers are free. */
bool nm_crashes_must_wait(const nm_sched_t *sched, const nm_task_t *task,
                          nm_ms_t now_ms);

static inline bool
nm_sched_may_start(const nm_sched_t *sched)
{
    return sched->authority && sched->starts_allowed &&
           !sched->is_handing_over;
}

/*
 * True if an unanswered start of a step's task may be sent again while the
 * first call may still be carried out: no worker comes back under its id, a
 * second run is allowed, or the task does not end by itself, so that its
 * worker refuses the other call for as long as it has the run.
 */
static inline bool
nm_step_may_resend(const nm_sched_t *sched, const nm_step_t *step)
{
    return !sched->ids_reused || step->copies_allowed || step->long_running;
}

/* Adds a silence to a task that has less than NM_SCHED_SILENCES_MAX. */
static inline void
nm_task_add_silence(nm_task_t *task, const nm_silence_t *silence)
{
    if (!task->silences) {
        task->silences = g_new(nm_silence_t, NM_SCHED_SILENCES_MAX);
    }
    task->silences[task->silence_count++] = *silence;
}

/* True if a task must not start yet, wherever there is capacity for it. */
static inline bool
nm_task_must_wait(const nm_sched_t *sched, const nm_task_t *task,
                  nm_ms_t now_ms)
{
    bool is_open = task->open_starts > 0 || task->starts_in_flight > 0 ||
                   (task->opened_by_former && now_ms < task->open_until_ms);
    return task->orphans > 0 || (sched->ids_reused && is_open) ||
           nm_crashes_must_wait(sched, task, now_ms);
}
/* Returns the worker of the task's stored intent, or NULL. */
nm_sched_node_t *nm_crashes_intended_node(const nm_sched_t *sched,
                                          const nm_task_t *task);
/*
 * True if a task may start on a worker now.  The start of a suspect is stored,
 * and before it is sent if the store does not keep up; it may be asked for
 * again once nm_crashes_must_wait is false.
 */
bool nm_crashes_may_start(nm_sched_t *sched, nm_task_t *task,
                          const nm_sched_node_t *node, nm_ms_t now_ms);
/* To be called when a run of a task begins, by its first start order. */
void nm_crashes_on_start(nm_sched_node_t *node, const nm_task_t *task);
/* Clears the count of a task that its worker reports to be at work. */
void nm_crashes_on_running(nm_sched_t *sched, nm_task_t *task);
/*
 * True if a worker must not take the task, as a crash would not tell whether
 * the task caused it or one of another job that has just started there.
 */
bool nm_crashes_conflict(const nm_sched_node_t *node, const nm_task_t *task);
/* When a report would end the trial of a suspect; NM_MS_NEVER: none. */
nm_ms_t nm_crashes_trial_end_ms(const nm_sched_node_t *node);
/*
 * True if a worker has crashed again and again, by itself or by its tasks, so
 * that the next crash would say little about a task.
 */
bool nm_crashes_is_flapping(const nm_sched_node_t *node, nm_ms_t now_ms);
/* Penalty in the score of a worker, for what a crash there would cost. */
double nm_crashes_penalty(const nm_sched_node_t *node, const nm_task_t *task,
                          nm_ms_t now_ms);

/* sched_record.c */
/* Returns a job's progress as JSON text, to be freed with g_free. */
char *nm_sched_encode_progress(const nm_sched_t *sched,
                               const nm_sched_job_t *job);

/* sched_estimate.c */
/* Sets the expected durations, longest chain and objective of a job. */
void nm_estimate_init_job(const nm_sched_t *sched, nm_sched_job_t *job);
/* To be called when the queue of a job has changed. */
void nm_estimate_set_objective(nm_sched_job_t *job);
/* Updates the longest chain and the objective, if they are outdated. */
void nm_estimate_update(nm_sched_job_t *job, nm_ms_t now_ms);
/* When a job will have ended, after arrival, if all its tasks find room. */
double nm_estimate_finish_ms(const nm_sched_job_t *job, nm_ms_t now_ms);
/* To be called for a run that ends as done, before its task is detached. */
void nm_estimate_on_done(nm_sched_t *sched, const nm_task_t *task, int64_t run,
                         nm_ms_t now_ms);
/* True if a run that is not long-running is expected to have ended then. */
bool nm_estimate_ends_by(const nm_task_t *task, nm_ms_t end_ms);
/* sched_events.c */
void nm_sched_add_event(nm_sched_t *sched, nm_sched_event_type_t type,
                        const char *worker, int64_t value);
/* Adds an event of a start that was sent. */
void nm_sched_add_start_event(nm_sched_t *sched, nm_sched_event_type_t type,
                              const nm_sched_action_t *start);
/* Adds an event of a task's current run. */
void nm_sched_add_run_event(nm_sched_t *sched, nm_sched_event_type_t type,
                            const nm_task_t *task, int64_t value);
/* Adds the event of a run that is not the one of its task on a worker. */
void nm_sched_add_orphan_event(nm_sched_t *sched, const nm_sched_node_t *node,
                               const char *task, int64_t run);
/* Adds an event of a run of a task, with what is known of its worker. */
void nm_sched_add_crash_event(nm_sched_t *sched, const nm_task_t *task,
                              const nm_sched_node_t *node,
                              const nm_sched_event_t *details);

/* sched_node.c */
nm_sched_node_t *nm_node_find(nm_sched_t *sched, const char *id);
/* Requeues all tasks of a node whose lease has lapsed. */
void nm_node_requeue_tasks(nm_sched_t *sched, nm_sched_node_t *node,
                           nm_ms_t now_ms);
void nm_node_begin_incarnation(nm_sched_t *sched, nm_sched_node_t *node,
                               int64_t incarnation, nm_ms_t now_ms);
/* Applies the description that was announced for the present incarnation. */
void nm_node_apply_held_desc(nm_sched_t *sched, nm_sched_node_t *node,
                             nm_ms_t now_ms);
/*
 * True while a worker may run, or have run, tasks of a former owner that this
 * one does not know.  A worker that is announced later got none from it, as a
 * start requires that the worker is in the stored roster.
 */
bool nm_sched_has_unresolved_workers(const nm_sched_t *sched, nm_ms_t now_ms);
/*
 * The same of one worker.  Once the leases of former owners have lapsed, only
 * its first report counts, which is on its way if this owner is behind; a
 * worker without an entry is not polled, and sends none.
 */
bool nm_node_is_unresolved(const nm_sched_t *sched,
                           const nm_sched_node_t *node, nm_ms_t now_ms);
/*
 * True if a worker whose lease has lapsed may have reported in time the ends
 * of its runs: the report is still on its way to an owner that is behind.
 */
bool nm_node_waits_for_late_report(const nm_sched_t *sched,
                                   const nm_sched_node_t *node,
                                   nm_ms_t now_ms);
/* True if it is not announced and no task, poll or lease of it is open. */
bool nm_node_is_removable(const nm_sched_node_t *node, nm_ms_t now_ms);
/*
 * True for a worker that has responded with a list in which a run of a former
 * owner may be missing.  Its lease is not renewed, so that the run ends.
 */
static inline bool
nm_node_may_run_unknown(const nm_sched_node_t *node)
{
    return node->inherited && node->epoch_confirmed && !node->ends_truncated;
}

void nm_node_remove(nm_sched_t *sched, nm_sched_node_t *node);

/* When an order without a response can no longer be carried out. */
static inline nm_ms_t
nm_late_order_end_ms(nm_ms_t answer_lost_ms)
{
    return answer_lost_ms + NM_SCHED_LATE_ORDER_MAX_MS;
}

/* When the longest lease that an order may give at a time has lapsed. */
static inline nm_ms_t
nm_longest_lease_end_ms(nm_ms_t given_ms)
{
    return given_ms +
           (nm_ms_t)(NM_SCHED_LEASE_LIMIT_MS * NM_SCHED_CLOCK_SLOW_FACTOR) +
           NM_SCHED_LAPSE_MARGIN_MS;
}

/* sched_lease.c */
/* False in the first epoch. */
bool nm_lease_has_former_owners(const nm_sched_t *sched);
/*
 * Extends the time at which a worker's lease is sure to have lapsed to that
 * of leases which former owners may have given it.
 */
void nm_lease_extend_by_former_owners(const nm_sched_t *sched,
                                      nm_sched_node_t *node);
/* A new incarnation was noticed; sets when its lease is sure to have lapsed.
 */
void nm_lease_on_restart(const nm_sched_t *sched, nm_sched_node_t *node,
                         nm_ms_t now_ms);
/*
 * A poll that renews the lease got no response: the next incarnation, if there
 * is one, may take its expiry late.
 */
void nm_lease_on_unanswered_poll(nm_sched_node_t *node, nm_ms_t now_ms);
/*
 * The response of a restarted worker to an order of its former incarnation
 * has come, or an entry of what may be its next one: it has taken the expiry
 * of such an order at the latest now.
 */
void nm_lease_on_former_order(nm_sched_node_t *node, nm_ms_t now_ms);
/*
 * True if a lease of a worker that has not confirmed this epoch can only be
 * that of a former owner: it has no run of this one, as a new incarnation may,
 * and no poll of it may still be carried out.
 */
bool nm_lease_is_former(const nm_sched_node_t *node);
/* No former owner renews a worker's lease after until_ms. */
void nm_lease_limit(const nm_sched_t *sched, nm_sched_node_t *node,
                    nm_ms_t until_ms);
/*
 * Age of a worker's incarnation at the end of the former terms, by its own
 * wall clock or its announcements, whichever is less; negative if it began
 * later.
 */
nm_ms_t nm_lease_age_at_takeover_ms(const nm_sched_t *sched,
                                    const nm_sched_node_t *node);

/* sched_response.c */
/*
 * Records that a start of a task's run may still be carried out, so that a
 * next owner waits for it as well.
 */
void nm_sched_store_open_start(nm_sched_t *sched, nm_task_t *task, int64_t run,
                               nm_ms_t now_ms);
/* Sends a stop for a start that may or may not have been carried out. */
void nm_sched_withdraw_start(nm_sched_t *sched, nm_task_t *task,
                             nm_ms_t now_ms);

/* sched_poll.c */
/* Checks the workers that are due, and removes those no longer needed. */
void nm_sched_tick_nodes(nm_sched_t *sched, nm_ms_t now_ms);

/* sched_place.c */
void nm_sched_place(nm_sched_t *sched, nm_ms_t now_ms);

/* sched_choice.c */
/* True if tasks may start on a worker. */
bool nm_node_is_usable(const nm_sched_node_t *node, nm_ms_t now_ms);

/* sched_cold.c */
/*
 * Applies what a worker has announced of itself: how long it is cold, and the
 * zone, which may be evacuated.
 */
void nm_cold_on_announcement(nm_sched_t *sched, nm_sched_node_t *node,
                             nm_ms_t now_ms);
/* Penalty in the score of a worker for the time for which it is cold. */
double nm_cold_penalty(const nm_sched_node_t *node, const nm_step_t *step,
                       nm_ms_t now_ms);
void nm_cold_on_start(nm_sched_node_t *node, const nm_sched_job_t *job,
                      nm_ms_t now_ms);
/* Takes back a start that was counted at the same time. */
void nm_cold_undo_start(nm_sched_node_t *node, const nm_sched_job_t *job,
                        nm_ms_t now_ms);

/* sched_tails.c */
/*
 * Updates the tails that are expected in the next second on a worker, if the
 * prediction is outdated.
 */
void nm_tails_predict(nm_sched_t *sched, nm_sched_node_t *node,
                      nm_ms_t now_ms);
/*
 * Expected number of serving tasks over target, by a current prediction, if a
 * load were added, or removed if its share is negative.
 */
double nm_tails_expected_misses(nm_sched_t *sched, const nm_sched_node_t *node,
                                const nm_filler_load_t *load);
/* Learns from the metrics of a worker's newest report. */
void nm_tails_learn(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms);

/* sched_filler.c */
void nm_sched_check_fillers(nm_sched_t *sched, nm_ms_t now_ms);
/* To be called when a run's start is confirmed: slows it if it is to be. */
void nm_sched_slow_started(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms);
/*
 * Brings slowed fillers to full speed where their workers have become able to
 * take them, the oldest one of each first.
 */
void nm_sched_resume_slowed(nm_sched_t *sched, nm_ms_t now_ms);
/*
 * Updates headroom, times over target and the interference model from the
 * tails in a worker's newest report.
 */
void nm_sched_record_tails(nm_sched_t *sched, nm_sched_node_t *node,
                           nm_ms_t now_ms);
/*
 * Cost of a filler of so much CPU on a worker, as a multiple of what one
 * earns.
 */
double nm_sched_filler_cost(nm_sched_t *sched, nm_sched_node_t *node,
                            int64_t cpu_milli, uint32_t image, nm_ms_t now_ms);
/* CPU that neither other tasks nor the usual load of serving tasks use. */
double nm_sched_filler_unused_cpu_milli(const nm_sched_node_t *node);
/* CPU for all fillers together that work at full speed. */
double nm_sched_filler_cpu_milli(const nm_sched_node_t *node);
/* True if a filler finds unused CPU. */
bool nm_sched_filler_has_capacity(const nm_sched_node_t *node,
                                  const nm_step_t *step);
/* True if a worker may take one more slowed filler, by its CPU. */
bool nm_sched_filler_may_be_slowed(const nm_sched_node_t *node,
                                   const nm_step_t *step);
bool nm_sched_filler_cost_is_acceptable(double cost);
/*
 * True if a filler of a job that has been idle for so long may start where its
 * cost is not acceptable, as a trial.
 */
bool nm_sched_filler_may_be_tried(const nm_sched_t *sched, nm_ms_t idle_ms,
                                  nm_ms_t now_ms);
/* Counts a start if its cost is not acceptable. */
void nm_sched_filler_count_trial(nm_sched_t *sched, nm_sched_node_t *node,
                                 const nm_step_t *step, uint32_t image,
                                 nm_ms_t now_ms);
/*
 * True if the effect of an image on a worker's serving tasks is unknown and
 * enough canaries of the image were started already.
 */
bool nm_sched_filler_canary_limit_reached(const nm_sched_t *sched,
                                          const nm_sched_node_t *node,
                                          uint32_t image, nm_ms_t now_ms);
/* Counts a start if it is a canary of its image. */
void nm_sched_filler_count_canary(nm_sched_t *sched,
                                  const nm_sched_node_t *node, uint32_t image,
                                  nm_ms_t now_ms);

#endif
