/*
 * State shared by the parts of the scheduler.  Calls go one way:
 * sched.c -> sched_place.c, sched_poll.c -> sched_response.c ->
 * sched_node.c, sched_filler.c, sched_duplicates.c -> sched_task.c ->
 * sched_timer.c.
 */
#ifndef NM_SCHED_STATE_H
#define NM_SCHED_STATE_H

#include <nutmegdeck/sched.h>

#include "interference.h"

/* Clocks of workers may be this much slow (platform's statement: 2%). */
#define NM_SCHED_CLOCK_SLOW_FACTOR 1.021
/* Workers shorten any lease to this (platform's statement: maxHoldMs). */
#define NM_SCHED_LEASE_LIMIT_MS 10000
/*
 * A former owner that lives on, turned away by the store, hears of us from
 * the carriers, from a worker, or from us, within this time.
 */
#define NM_SCHED_FORMER_OWNER_GRACE_MS 500
/* Added to every time after which a worker's lease is taken as lapsed. */
#define NM_SCHED_LAPSE_MARGIN_MS 250
/*
 * Validity of a start: orders without an answer are carried out 2 s later
 * or more, and are then refused as late.
 */
#define NM_SCHED_START_VALID_MS 1700
/* A poll waits this long for an end (the platform's maximum). */
#define NM_SCHED_POLL_WAIT_MS 2000
/* ...or this long where serving tasks stand beside fillers. */
#define NM_SCHED_POLL_WAIT_COLOCATED_MS 500
/*
 * ...or this long while many polls get no answer: an end is then seen late
 * by the time that a lost poll takes to be given up.
 */
#define NM_SCHED_POLL_WAIT_LOSSY_MS 150
/* Share of calls without an answer from which on that is so. */
#define NM_SCHED_LOSSY_ENTER_SHARE 0.015
/* ...and below which it is over, so that the belief does not flap. */
#define NM_SCHED_LOSSY_EXIT_SHARE 0.005
/*
 * While that is so, an answer is waited for this long: twice a round trip
 * between regions and the worker's time, with a pause of the owner.
 */
#define NM_SCHED_LOSSY_TIMEOUT_MS 180
/* Ends that come close together are fetched by one poll. */
#define NM_SCHED_POLL_COALESCE_MS 130
/* Pause before a poll or an order without an answer is repeated... */
#define NM_SCHED_RETRY_MS 300
/* ...the first time: one order in many is lost, a worker seldom. */
#define NM_SCHED_FIRST_RETRY_MS 20
/* Polls without an answer after which a worker gets no new tasks... */
#define NM_SCHED_POLL_FAILURES_MAX 2
/* ...while half of all calls get none: 1 of 16 sound workers is left out. */
#define NM_SCHED_POLL_FAILURES_MAX_LOSSY 3
/*
 * Starts without an answer beyond which none is sent: an owner that cannot
 * keep up must not fall further behind what workers say of themselves.
 */
#define NM_SCHED_STARTING_MAX 400
/* A start that got no answer this often is withdrawn by a stop... */
#define NM_SCHED_START_TRIES_MAX 3
/* ...or this often while calls get lost: as long with shorter time-outs. */
#define NM_SCHED_START_TRIES_MAX_LOSSY 4

/* Filler images told apart on one worker. */
#define NM_SCHED_FILLER_LOADS_MAX 16
/* A throttle order may have been carried out or not. */
#define NM_SCHED_PERCENT_UNKNOWN UINT32_MAX
/* Failed runs of a task that are told apart; attempts are fewer. */
#define NM_SCHED_FAILED_RUNS_MAX 8

typedef struct nm_occurrence nm_occurrence_t;
typedef struct nm_sched_job nm_sched_job_t;
typedef struct nm_sched_node nm_sched_node_t;

/* A queue and what its jobs taught. */
typedef struct {
    nm_queue_t desc;
    const char *service; /* interned */
    double mean_core_ms; /* of a job, core-ms by estimates; 0: none seen */
} nm_sched_queue_t;

/* Workers that try an image out beside serving tasks. */
typedef struct {
    nm_ms_t since_ms;
    uint32_t count;
} nm_canary_t;

typedef enum {
    NM_RUN_WAITING,
    NM_RUN_UNKNOWN,  /* an earlier owner may have started it */
    NM_RUN_STARTING, /* start sent, no answer yet */
    NM_RUN_RUNNING,
    NM_RUN_STOPPING, /* waits for its end to be listed */
    NM_RUN_DONE,
    NM_RUN_FAILED, /* out of attempts */
} nm_run_state_t;

typedef struct {
    nm_occurrence_t *occurrence;
    uint16_t step;
    uint32_t index;
    nm_run_state_t state;
    uint32_t failures;
    int64_t failed_runs[NM_SCHED_FAILED_RUNS_MAX]; /* those that are counted */
    nm_sched_node_t *node; /* where it is starting, running or stopping */
    int64_t run;
    nm_ms_t sent_ms;      /* last order for it */
    nm_ms_t started_ms;   /* confirmed */
    nm_ms_t progress_ms;  /* last sign of progress */
    nm_ms_t order_due_ms; /* next repetition of an unanswered order */
    uint32_t tries;
    bool order_pending; /* a call is in flight */
    bool withdrawn;     /* STOPPING before its start was confirmed */
    uint32_t percent;   /* confirmed share of its speed, or unknown */
    uint32_t wanted_percent;
    int64_t metric;
    bool observed;         /* by this owner: its start, or a figure */
    nm_ms_t over_since_ms; /* tail over its target since; 0: it is not */
    double log_tail;       /* predicted, with its own offset */
    double tail_offset;    /* of its tail's logarithm against the model */
    nm_ms_t throttled_ms;
    nm_sched_node_t *avoided_node; /* where its last run failed */
    /* Newest report of its node that listed its run. */
    uint64_t listed_in_report;
    char checkpoint[NM_CHECKPOINT_MAX];
} nm_task_t;

/* One occurrence of a job. */
struct nm_occurrence {
    nm_sched_job_t *job;
    uint32_t number;
    int64_t due_unix_ms;
    nm_task_t **tasks;    /* by step, then index */
    uint32_t *unfinished; /* by step: tasks that are not done */
    uint32_t *waiting;    /* by step */
    /* By step: found no worker since; 0: all did. */
    nm_ms_t *unplaced_since_ms;
    bool finished;
};

struct nm_sched_job {
    nm_job_spec_t spec;
    nm_job_state_t state;
    nm_job_state_t visible_state; /* the newest stored end, or live state */
    nm_occurrence_t *occurrences;
    uint32_t occurrence_count;
    nm_ms_t arrived_ms;
    nm_ms_t ended_ms;
    nm_ms_t first_start_ms; /* 0: none seen by this owner */
    bool recovered;
    bool progress_unreadable; /* its progress; nothing of it may start */
    bool cancelled;
    bool cancel_stored; /* a cancel of it is stored */
    bool active;        /* in the scheduler's list of active jobs */
    bool started;       /* any task was ever started */
    bool long_running;
    uint64_t change_seq;        /* newest change to store */
    uint64_t first_unsaved_seq; /* oldest change that is not stored */
    uint64_t saved_seq;         /* newest change stored */
    bool saving;
    bool urgent;        /* a caller waits for its record to be stored */
    GList unsaved_link; /* in the scheduler's list while it has changes */
    GQueue *save_queue; /* where save_link is, or NULL */
    GList save_link;
    uint32_t *images;     /* by step: number in the interference model */
    int64_t core_ms_left; /* core-ms by estimates */
    int64_t core_ms_total;
    nm_ms_t objective_ms;     /* after arrival */
    nm_ms_t critical_path_ms; /* longest chain of estimates */
    nm_sched_queue_t *queue;
    const char *service; /* interned; used while the queue is unknown */
};

/* An end that may be acknowledged once a job's change is stored. */
typedef struct {
    int64_t number;
    uint64_t change_seq; /* of the scheduler; 0: nothing to store */
} nm_pending_ack_t;

/* One incarnation of a worker; what each placement reads comes first. */
struct nm_sched_node {
    const char *service; /* interned */
    int64_t cpu_used_milli;
    int64_t memory_used_mb;
    int32_t accelerators_used;
    uint32_t filler_count;
    uint32_t serving_count; /* long-running tasks with a latency target */
    bool announced;
    bool admitted;        /* stored, so that a new owner looks for it */
    bool described;       /* otherwise only expected */
    bool epoch_confirmed; /* answered to our epoch in this incarnation */
    bool reachable;       /* one of its last polls was answered */
    bool clock_known;
    bool has_headroom; /* no serving task is near its target */
    /* filler_loads, expected_misses and the tasks' log_tail are current. */
    bool interference_valid;
    nm_ms_t avoid_until_ms;
    int64_t filler_cpu_milli;
    int64_t serving_cpu_milli;   /* of tasks with a latency target */
    uint64_t reserved_placement; /* placement that last kept it for one task */
    double expected_misses; /* expected number of serving tasks over target */
    nm_sched_worker_t desc;
    uint64_t reports;       /* number of the newest one */
    uint32_t poll_failures; /* in a row */
    bool last_call_lost;    /* its last call got no answer */
    bool poll_pending;
    nm_ms_t poll_due_ms;
    nm_ms_t reported_ms;        /* when the newest answered poll was sent */
    nm_ms_t report_expected_ms; /* latest usual answer of the last poll */
    int64_t clock_ms;           /* at clock_at_ms or later */
    nm_ms_t clock_at_ms;
    nm_ms_t lease_lapse_ms;  /* when that has lapsed for certain, our clock */
    int64_t ends_processed;  /* newest end processed */
    int64_t ends_acked;      /* newest end that may be forgotten */
    int64_t ends_acked_sent; /* newest one that a poll carried */
    GQueue pending_acks;     /* of nm_pending_ack_t */
    GPtrArray *tasks;        /* starting, running or stopping here */
    int64_t long_running_cpu_milli; /* part of it */
    uint32_t consecutive_failures;
    nm_ms_t progress_ms; /* last end or newer checkpoint of any task */
    nm_ms_t stall_check_ms;
    nm_ms_t fillers_changed_ms;
    nm_ms_t mitigated_ms; /* a filler was last paused or evicted */
    nm_ms_t observed_ms;
    /* By filler image. */
    nm_filler_load_t filler_loads[NM_SCHED_FILLER_LOADS_MAX];
    uint32_t filler_load_count;
    nm_ms_t retry_due_ms;
    GArray *duplicates; /* of starts whose answer was lost; NULL: none yet */
    nm_ms_t wake_ms;    /* when it needs attention */
    guint timer_index;
};

struct nm_sched {
    nm_sched_desc_t desc;
    GHashTable *jobs;     /* id -> nm_sched_job_t */
    GHashTable *queues;   /* name -> nm_sched_queue_t */
    GHashTable *nodes;    /* id -> nm_sched_node_t */
    GPtrArray *node_list; /* the same, to be drawn from */
    GPtrArray *timers;    /* the same, a heap by wake_ms */
    GPtrArray *active;    /* jobs that have not ended */
    GArray *actions;
    guint action_next;
    GArray *events; /* of nm_sched_event_t */
    uint32_t events_dropped;
    GQueue removed; /* ids of workers that were forgotten */
    GQueue urgent;  /* jobs with changes to store that callers wait for */
    GQueue dirty;   /* other jobs with changes to store */
    GQueue ended;   /* jobs that have ended, oldest first */
    GQueue expired; /* of these, past their retention: to be forgotten */
    GQueue unsaved; /* jobs with changes that are not stored */
    uint64_t change_seq;
    uint64_t saved_seq;
    uint64_t placement_number; /* number of the current one */
    bool saved_seq_stale;      /* saved_seq has to be worked out again */
    nm_ms_t began_ms;
    nm_ms_t former_owner_until_ms; /* the former owner gave leases until here
                                      at most */
    bool fenced;
    uint32_t starting_count; /* starts without an answer */
    bool has_unknown_runs;   /* recovered tasks wait for workers to answer */
    uint32_t sampled_calls;  /* that are judged next, since sample_since_ms */
    uint32_t sampled_calls_lost;
    nm_ms_t sample_since_ms;
    double call_loss_share; /* share of calls without an answer */
    bool lossy;             /* belief: answers get lost, whoever is called */
    bool needs_placement;   /* something changed since the last placement */
    nm_ms_t placed_ms;
    nm_ms_t fillers_checked_ms;
    int64_t unix_ms;
    nm_interference_t interference;
    GArray *canaries; /* of nm_canary_t, by filler image */
    nm_rng_t rng;
};

/* sched_task.c */
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

/* Puts a task on a node, or takes it off; keeps the node's sums. */
void nm_task_attach(nm_task_t *task, nm_sched_node_t *node);
void nm_task_detach(nm_task_t *task);
void nm_task_set_state(nm_sched_t *sched, nm_task_t *task,
                       nm_run_state_t state);
/* The task has no run any more and waits to be started. */
void nm_task_requeue(nm_sched_t *sched, nm_task_t *task);
/* Counts a run that failed, once, wherever the task is now. */
void nm_task_count_failure(nm_sched_t *sched, nm_task_t *task, int64_t run,
                           nm_ms_t now_ms);
/* Applies the end of the task's current run. */
void nm_task_apply_end(nm_sched_t *sched, nm_task_t *task, nm_end_t end,
                       int64_t run, nm_ms_t now_ms);
void nm_sched_mark_changed(nm_sched_t *sched, nm_sched_job_t *job,
                           bool urgent);
/* Puts a job with changes where they are stored from. */
void nm_sched_queue_save(nm_sched_t *sched, nm_sched_job_t *job);
bool nm_occurrence_step_is_ready(const nm_occurrence_t *work, uint32_t step);
nm_sched_action_t *nm_sched_add_action(nm_sched_t *sched,
                                       nm_sched_node_t *node,
                                       nm_sched_action_type_t type);
void nm_sched_start_task(nm_sched_t *sched, nm_task_t *task,
                         nm_sched_node_t *node, int64_t run, nm_ms_t now_ms);
void nm_sched_stop_task(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms);
int64_t nm_node_clock_ms(const nm_sched_node_t *node, nm_ms_t now_ms);
void nm_job_check_end(nm_sched_t *sched, nm_sched_job_t *job, nm_ms_t now_ms);

/* sched_timer.c */
void nm_timer_add(nm_sched_t *sched, nm_sched_node_t *node);
void nm_timer_set(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t due_ms);
void nm_timer_remove(nm_sched_t *sched, nm_sched_node_t *node);
/* The worker that is due first, or NULL if none is due yet. */
nm_sched_node_t *nm_timer_first_due(const nm_sched_t *sched, nm_ms_t now_ms);

/* Something happened to a worker: the next round looks at it. */
static inline void
nm_timer_set_now(nm_sched_t *sched, nm_sched_node_t *node)
{
    if (node->wake_ms > 0) {
        nm_timer_set(sched, node, 0);
    }
}

/* sched_duplicates.c */
/* A start got no answer; its copy may be carried out later. */
void nm_duplicates_add(nm_sched_node_t *node, const nm_sched_action_t *action,
                       nm_ms_t now_ms);
/* A new incarnation has to be told to refuse them. */
void nm_duplicates_on_incarnation(nm_sched_node_t *node, nm_ms_t now_ms);
void nm_duplicates_on_stop(nm_sched_node_t *node,
                           const nm_sched_action_t *action,
                           nm_order_result_t result, nm_ms_t now_ms);
void nm_duplicates_send_stops(nm_sched_t *sched, nm_sched_node_t *node,
                              nm_ms_t now_ms);
void nm_duplicates_free(nm_sched_node_t *node);

/* sched_record.c */
/* To be freed with g_free. */
char *nm_sched_encode_progress(const nm_sched_job_t *job);

/* sched.c */
void nm_sched_add_event(nm_sched_t *sched, nm_sched_event_type_t type,
                        const char *worker, int64_t value);

/* sched_node.c */
nm_sched_node_t *nm_node_find(nm_sched_t *sched, const char *id);
/* Tasks of an incarnation that has ended, or whose lease lapsed: no run. */
void nm_node_requeue_tasks(nm_sched_t *sched, nm_sched_node_t *node);
void nm_node_begin_incarnation(nm_sched_t *sched, nm_sched_node_t *node,
                               int64_t incarnation, nm_ms_t now_ms);
/* It is announced no more, and nothing of it is open. */
bool nm_node_is_removable(const nm_sched_node_t *node, nm_ms_t now_ms);
void nm_node_remove(nm_sched_t *sched, nm_sched_node_t *node);

/* sched_response.c */
/* Stops a start that may or may not have been carried out. */
void nm_sched_withdraw_start(nm_sched_t *sched, nm_task_t *task,
                             nm_ms_t now_ms);

/* sched_poll.c */
void nm_sched_tick_nodes(nm_sched_t *sched, nm_ms_t now_ms);
/* True while a worker may run tasks that this owner has not seen. */
bool nm_sched_has_unresolved_workers(const nm_sched_t *sched, nm_ms_t now_ms);

/* sched_place.c */
void nm_sched_place(nm_sched_t *sched, nm_ms_t now_ms);
bool nm_node_is_usable(const nm_sched_node_t *node, nm_ms_t now_ms);

/* sched_filler.c */
void nm_sched_check_fillers(nm_sched_t *sched, nm_ms_t now_ms);
/* Learns from the figures of a worker's newest report. */
void nm_sched_observe_tails(nm_sched_t *sched, nm_sched_node_t *node,
                            nm_ms_t now_ms);
/* Cost of one more filler on a worker, against what it earns there. */
double nm_sched_filler_cost(nm_sched_t *sched, nm_sched_node_t *node,
                            const nm_step_t *step, uint32_t image);
/* True if serving tasks are calm and processor is unused for a filler. */
bool nm_sched_filler_has_capacity(const nm_sched_node_t *node,
                                  const nm_step_t *step);
bool nm_sched_filler_cost_is_acceptable(double cost);
/*
 * True if it is not known what an image does to the serving tasks of a
 * worker, and enough workers already try it.
 */
bool nm_sched_filler_canaries_are_full(const nm_sched_t *sched,
                                       const nm_sched_node_t *node,
                                       uint32_t image, nm_ms_t now_ms);
/* Counts a start that tries an image out. */
void nm_sched_filler_count_canary(nm_sched_t *sched,
                                  const nm_sched_node_t *node, uint32_t image,
                                  nm_ms_t now_ms);

#endif
