/*
 * A fleet of simulated workers around a scheduler: they carry out starts and
 * stops, end runs by rules, crash and come back, and report.  The same seed
 * and calls give the same results.
 *
 *     sched_fleet_t fleet;
 *     sched_fleet_init(&fleet, 1);
 *     sched_fleet_add_worker(&fleet, "press");
 *     sched_fleet_begin(&fleet);
 *     sched_fleet_add_rule(&fleet, (sched_fleet_rule_t){
 *         .prefix = JOB, .duration_ms = 3000, .end = NM_END_FAILED});
 *     sched_fleet_add_job(&fleet, JOB, "batch", step);
 *     nm_ms_t start_ms = sched_fleet_time_to_start(&fleet, JOB, 1, 9000,
 * NULL); sched_fleet_finish(&fleet);
 */
#ifndef NM_LIB_SCHED_FLEET_H
#define NM_LIB_SCHED_FLEET_H

#include "lib_sched_sim.h"

#define SCHED_FLEET_WORKERS_MAX 64
#define SCHED_FLEET_TICK_MS 50

/* How the runs of some tasks end; other tasks are done after 1 s. */
typedef struct {
    char prefix[NM_JOB_ID_MAX]; /* of the names of the tasks */
    nm_ms_t duration_ms;        /* 0: they run until they are stopped */
    nm_end_t end;
    bool deadly; /* they crash their worker after crash_ms */
    nm_ms_t crash_ms;
    int64_t metric; /* that their runs report */
} sched_fleet_rule_t;

typedef struct {
    nm_worker_run_t row;
    int worker;
    nm_ms_t begin_ms;
    nm_ms_t end_ms; /* NM_MS_NEVER while it is paused */
    nm_end_t end;
    uint32_t percent; /* of full speed */
    nm_ms_t left_ms;  /* at full speed, if it is paused */
} sched_fleet_run_t;

typedef struct {
    nm_sched_worker_t desc; /* may be changed before sched_fleet_begin */
    bool failing;           /* all runs that begin here fail after 100 ms */
    uint32_t starts;
    int64_t last_end;
    nm_ms_t down_until_ms; /* 0: up */
} sched_fleet_worker_t;

typedef struct {
    sched_sim_t sim;
    sched_fleet_worker_t workers[SCHED_FLEET_WORKERS_MAX];
    int worker_count;
    GPtrArray *former_ids; /* of workers that are back under another id */
    GArray *runs;          /* of sched_fleet_run_t */
    GArray *rules; /* of sched_fleet_rule_t; the first that fits counts */
    /* Settings; sched_fleet_init sets defaults. */
    nm_ms_t restart_ms; /* a crashed worker is back after this time */
    bool new_ids;       /* under another id at its address */
    nm_ms_t lost_ms;    /* and is deregistered after this time */
    nm_ms_t stop_ms;    /* from a stop to the end of the run */
    nm_ms_t report_ms;  /* interval of reports without an end; 0: each tick */
    /* True: the worker refuses the start for want of capacity; may be NULL. */
    bool (*refuses_start)(const nm_sched_action_t *action);
    /* Counted since sched_fleet_init. */
    uint32_t starts;
    uint32_t stops;
    uint32_t done;
    uint32_t crashes;
    GHashTable *starts_by_task;  /* name -> count */
    GHashTable *crashes_by_task; /* name -> runs lost */
} sched_fleet_t;

/* Creates a scheduler with a queue "batch" of the service "press". */
void sched_fleet_init(sched_fleet_t *fleet, uint64_t seed);
void sched_fleet_finish(sched_fleet_t *fleet);
/* Adds a worker, "w0", "w1" and so on; returns its number. */
int sched_fleet_add_worker(sched_fleet_t *fleet, const char *service);
/* Announces all workers, and delivers their first reports. */
void sched_fleet_begin(sched_fleet_t *fleet);
void sched_fleet_add_rule(sched_fleet_t *fleet, sched_fleet_rule_t rule);
/* Adds a job of one step. */
void sched_fleet_add_job(sched_fleet_t *fleet, const char *id,
                         const char *queue, nm_step_t step);
/* The same with the id "<4 characters><number, 12 digits>". */
void sched_fleet_add_numbered_job(sched_fleet_t *fleet, const char *prefix,
                                  uint32_t number, const char *queue,
                                  nm_step_t step);
/* Crashes a worker: its runs are lost, and it is down for restart_ms. */
void sched_fleet_crash(sched_fleet_t *fleet, int worker);
/* Advances the clock by a tick; workers carry out orders and report. */
void sched_fleet_tick(sched_fleet_t *fleet);
/* Number of runs of tasks with the prefix. */
uint32_t sched_fleet_count_running(const sched_fleet_t *fleet,
                                   const char *prefix);
/*
 * Ticks until so many tasks with the prefix run, for limit_ms at most; returns
 * the time that took.  before_tick may be NULL.
 */
nm_ms_t sched_fleet_time_to_start(sched_fleet_t *fleet, const char *prefix,
                                  uint32_t count, nm_ms_t limit_ms,
                                  void (*before_tick)(sched_fleet_t *fleet));

#endif
