/*
 * State of the simulated workers, shared by the parts of lib_fleet.
 */
#ifndef LIB_FLEET_STATE_H
#define LIB_FLEET_STATE_H

#include <glib.h>

#include "lib_fleet.h"

#define TICK_MS 10
#define TARGET_MS 18
#define SERVING_IMAGES 5
#define FILLER_IMAGES 9
#define JOB_STEPS_MAX 8
/* The part of its credit that a late job gets (the users' sheets). */
#define FLEET_LATE_CREDIT_SHARE 0.15
/* A zone is evacuated, and workers become unresponsive, from these times. */
#define FLEET_EVACUATION_MS 6000
#define FLEET_CUT_MS 8000
#define FLEET_EVACUATED_ZONE "evacuated"

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
    /* Of a profile: order that takes effect later, see lib_fleet_fillers.c. */
    uint32_t wanted_percent;
    nm_ms_t throttled_ms;
    uint32_t unknown_images; /* mask of serving images, at its start */
    double work_core_s;
    double tail_sum; /* in the window of the next metric */
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
    bool evacuated;
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
    bool refusable; /* admission would refuse it */
    bool ended;
    bool long_running;
    double credit_share; /* earned; 0: not ended, or later than the limit */
    int64_t core_ms;
    nm_ms_t at_work_ms; /* a task of it was last running */
    double load_phase;
    nm_ms_t step_ms[JOB_STEPS_MAX]; /* true ones, see lib_durations.c */
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
    double effects[FLEET_SERVING_IMAGES_MAX][FLEET_FILLER_IMAGES_MAX];
    /* By pair of images: seconds beside each other. */
    double pair_s[FLEET_SERVING_IMAGES_MAX][FLEET_FILLER_IMAGES_MAX];
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

/* lib_fleet_fillers.c */
uint32_t fleet_serving_images(const fleet_t *fleet);
uint32_t fleet_filler_images(const fleet_t *fleet);
double fleet_base_log_tail(const fleet_t *fleet);
/* Gives the scheduler the effects of all pairs of images, as certain. */
void fleet_reveal_effects(fleet_t *fleet);
/* The same file: for fleets with a profile. */
void fillers_draw_effects(fleet_t *fleet);
/* What the load of a serving task's job adds to its log tail. */
double fillers_swing(const fleet_t *fleet, const run_t *run, nm_ms_t at_ms);
/* Effect of a filler at the present load of the serving task's job. */
double fillers_effect(const fleet_t *fleet, const run_t *run,
                      const run_t *filler);
void fillers_on_start(fleet_t *fleet, run_t *run);
void fillers_throttle(fleet_t *fleet, run_t *run, uint32_t percent);
void fillers_stop(fleet_t *fleet, run_t *run);
void fillers_tick_run(fleet_t *fleet, run_t *run);
/* kept: its work is not lost. */
void fillers_on_end(fleet_t *fleet, const run_t *run, bool kept);
/* Accounts for a tick of a serving task that may be over its target. */
void fillers_account(fleet_t *fleet, const worker_t *worker, const run_t *run);

#endif
