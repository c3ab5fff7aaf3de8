/*
 * State of the simulated workers, shared by the parts of lib_fleet.
 */
#ifndef LIB_FLEET_STATE_H
#define LIB_FLEET_STATE_H

#include <glib.h>

#include "lib_fleet.h"

#define TICK_MS 10
#define SERVING_IMAGES 5
#define FILLER_IMAGES 9

/* Kinds of jobs; the queue of a kind has the same index. */
enum {
    JOB_CHECK,
    JOB_FILLER,
    JOB_SERVICE,
    JOB_MIXED, /* the first of the mixes; they use the queue of checks */
    JOB_KIND_COUNT = JOB_MIXED + FLEET_MIX_COUNT,
};

typedef struct {
    char task[NM_TASK_NAME_MAX];
    int64_t run;
    nm_ms_t ends_ms; /* NM_MS_NEVER: long-running */
    nm_ms_t began_ms;
    nm_ms_t duration_left_ms; /* left at began_ms */
    bool fails;
    bool stopping;
    nm_ms_t stopped_ms; /* a run that is stopping ends then */
    bool unaddressed;   /* its start was sent to an earlier incarnation */
    int serving_image;  /* -1: not a serving task */
    double load_phase;  /* of its job, in radians */
    int filler_image;   /* -1: not a filler */
    int64_t cpu_milli;
    bool reserves_cpu;
    uint32_t percent;
    int64_t metric;
    nm_ms_t over_since_ms;
} run_t;

typedef struct {
    char id[NM_NAME_MAX];
    GArray *runs; /* of run_t */
    GArray *ends; /* of nm_worker_end_t, not acknowledged */
    int64_t last_end;
    bool poll_pending;
    nm_ms_t poll_until_ms;
    nm_ms_t poll_sent_ms;
    nm_ms_t poll_margin_ms; /* from poll_until_ms to its timeout */
    bool failing;
    bool unresponsive;
    nm_ms_t unresponsive_since_ms;
    int64_t incarnation;
    nm_ms_t born_ms; /* its clock began */
    bool labelled;
    bool other_service;        /* no queue is sent to its service */
    bool heard;                /* a report has shown this incarnation */
    bool poll_lost;            /* the pending poll gets no response */
    nm_ms_t restart_ms;        /* the next one; NM_MS_NEVER: none */
    nm_ms_t up_ms;             /* not at work until then */
    nm_ms_t announce_delay_ms; /* after its first report */
    nm_ms_t announce_ms;       /* NM_MS_NEVER: not due */
    GHashTable *refused;       /* task -> newest run stopped or ended here */
} worker_t;

typedef struct {
    char id[NM_JOB_ID_MAX];
    nm_ms_t arrived_ms;
    nm_ms_t objective_ms;
    int kind;
    nm_ms_t first_start_ms; /* 0: none */
    double duration_share;  /* of a gang: all its members end together */
    bool is_check;
    bool always_fails;
    bool ended;
    bool long_running;
    double credit_share; /* earned; 0: not ended, or later than the limit */
    int64_t core_ms;
    nm_ms_t at_work_ms; /* a task of it was last running */
    double load_phase;
} job_t;

typedef struct {
    fleet_desc_t desc;
    fleet_info_t info;
    nm_sched_t *sched;
    nm_ms_t now_ms;
    nm_rng_t rng;
    worker_t *workers;
    GHashTable *workers_by_id;
    GHashTable *jobs;
    GHashTable *saved_left_ms; /* task -> duration left after its checkpoint */
    double effects[SERVING_IMAGES][FILLER_IMAGES];
    uint64_t job_number;
    double pending_arrivals[JOB_KIND_COUNT];
    GHashTable *running;     /* task -> number of its runs */
    GHashTable *interrupted; /* long-running task -> when its run failed */
    nm_rng_t restarts_rng;
    GArray *unanswered; /* calls, see lib_restarts.c */
    double owner_cpu_s; /* info.cpu_s after the newest decisions */
    nm_ms_t owner_busy_until_ms;
} fleet_t;

run_t *fleet_find_run(worker_t *worker, const char *task, int64_t number);
/* Begins a run, also if its start arrives late. */
void fleet_start_run(fleet_t *fleet, worker_t *worker,
                     const nm_sched_action_t *action);
/* Ends all runs of a worker without a trace. */
void fleet_drop_runs(fleet_t *fleet, worker_t *worker);

#endif
