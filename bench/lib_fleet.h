/*
 * Simulated workers for benchmarks of the job scheduler: durations, capacity,
 * polls and tails, with a manual clock and random numbers from a seed.  They
 * drive the real scheduler.
 *
 * The tail of a serving task is a base value times the effect of each filler
 * beside it; effects differ by pair of images.  Durations differ from
 * estimates.  A load pattern is a base rate for each queue and a burst.
 *
 *     fleet_info_t info = fleet_run(&(fleet_desc_t){.seed = 1});
 */
#ifndef LIB_FLEET_H
#define LIB_FLEET_H

#include <nutmegdeck/admission.h>

#include "lib_fleet_fillers.h"
#include "lib_sizes.h"

/* Jobs of mixed task sizes, see lib_mixes.c. */
enum {
    FLEET_MIX_SMALL, /* tasks of a twelfth of a worker */
    FLEET_MIX_LARGE, /* of two thirds */
    FLEET_MIX_GANG,  /* twelve of a quarter, all at once */
    FLEET_MIX_COUNT,
};

typedef struct {
    uint32_t jobs;
    double mean_wait_ms; /* until the first start */
    nm_ms_t p95_wait_ms;
    double in_time_share;
    double served_share; /* not later than three times the objective */
} fleet_mix_info_t;

typedef struct {
    uint64_t seed;
    uint32_t workers;      /* 0: 48 */
    int64_t cpu_milli;     /* of a worker; 0: 64000 */
    double checks_per_s;   /* short jobs of 6 tasks */
    double fillers_per_s;  /* jobs of two steps of 8 fillers */
    double services_per_s; /* jobs of 6 long-running tasks */
    uint32_t services;     /* long-running jobs at the start */
    double burst;          /* factor of fillers_per_s from 5 s on */
    nm_ms_t burst_end_ms;  /* 0: 11000 */
    /*
     * Durations that are drawn anew for each run: greatest deviation from the
     * estimate (0: 0.4), and share of runs that take seven times as long.
     */
    double run_error;
    double run_straggler_share;
    uint32_t evacuated; /* workers of a zone that is evacuated from 6 s */
    bool sizes_vary;    /* sizes of short jobs and fillers are spread */
    double disturbing_pair_share; /* share of pairs of images that disturb */
    double failing_job_share;     /* share of fillers' jobs that always fail */
    /*
     * Serving tasks: amplitude by which the load of their job raises and
     * lowers the log tail, and its period; each job has its own phase.
     */
    double load_swing;
    nm_ms_t load_period_ms;
    /* Mean time to the failure of a long-running task; 0: none fails. */
    nm_ms_t serving_lifetime_ms;
    uint32_t failing_workers; /* workers whose runs all fail */
    uint32_t unresponsive;    /* workers that are unresponsive from 8 s on */
    /*
     * Part of a core that the scheduler has: it decides again only once the
     * CPU time of its last decisions, at this speed, has passed.  0: at once.
     * The results of a seed are not deterministic then.
     */
    double owner_cores;
    nm_ms_t owner_pass_ms;      /* time that its decisions take besides that */
    double limited_step_share;  /* share of steps with a limit per worker */
    double labelled_step_share; /* share of steps that require a label */
    double labelled_share;      /* share of workers that have it */
    /*
     * Mean time to the restart of a worker under its id; 0: none restarts.
     * Calls may then get no response, and starts be carried out late.
     */
    nm_ms_t restart_interval_ms;
    /*
     * Greatest error of an estimate, as a share of the true duration, and
     * share of tasks that are stragglers, see lib_durations.h.
     */
    double checks_error;
    double fillers_error;
    double straggler_share;
    /* Work that arrives of each mix, as a share of the capacity. */
    double mix_load[FLEET_MIX_COUNT];
    uint32_t joining; /* workers that are announced at joins_ms only */
    nm_ms_t joins_ms;
    bool looks_ahead;        /* nm_sched_set_lookahead */
    bool informed;           /* all effects are known, metrics have no noise */
    nm_ms_t arrivals_end_ms; /* no job arrives from here on; 0: never */
    nm_ms_t duration_ms;     /* 0: 30000 */
    const fleet_profile_t *profile; /* NULL: that of bench_jobs */
} fleet_desc_t;

typedef struct {
    uint32_t checks;
    uint32_t checks_in_time;
    uint32_t checks_late; /* but not later than three times the objective */
    uint32_t fillers;
    uint32_t fillers_in_time;
    uint32_t fillers_late;
    uint32_t refusable; /* jobs that admission would refuse; all are added */
    uint32_t refusable_served;    /* of these, in time or late */
    sizes_served_t checks_served; /* not later than that */
    sizes_served_t fillers_served;
    sizes_served_t checks_timely; /* in time */
    sizes_served_t fillers_timely;
    /*
     * Credit earned by fillers as a share of an upper bound of what any
     * schedule earns, see lib_credit.c.
     */
    double fillers_bound_share;
    double worth;         /* credit earned as a share of the credit owed */
    double serving_s;     /* task-seconds of running serving tasks */
    double over_target_s; /* of these, with the tail over its target */
    double waiting_s;     /* task-seconds of long-running tasks not running */
    /*
     * Longest time in which a job that runs to an end had nothing at work,
     * after the end of arrivals.
     */
    nm_ms_t longest_idle_ms;
    nm_ms_t longest_over_ms; /* longest time of one task over its target */
    /* Longest time from a failed long-running run to the task's next start. */
    nm_ms_t longest_interrupted_ms;
    uint32_t starts;
    uint32_t stops;
    uint32_t polls;
    uint32_t over_capacity;  /* starts that put a worker over its capacity */
    uint32_t duplicate_runs; /* starts of a task that was running already */
    uint32_t wrong_service;  /* starts on a worker of another service */
    uint32_t label_missing;  /* starts on a worker without the label */
    uint32_t over_limit;     /* starts beyond the limit per worker */
    /*
     * Part of duplicate_runs: a report had shown the scheduler the restart of
     * the worker that carried out a late start, if any.
     */
    uint32_t known_duplicates;
    /* Part of over_capacity and over_limit: a late start beside others. */
    uint32_t late_over_capacity;
    uint32_t late_over_limit;
    uint32_t restarts;
    uint32_t late_starts;     /* carried out by a later incarnation */
    uint32_t limited_starts;  /* of steps with a limit per worker */
    uint32_t labelled_starts; /* of steps that require a label */
    double cpu_s;             /* CPU time of the scheduler */
    fleet_filler_info_t fillers_beside; /* of a profile */
    fleet_mix_info_t mixes[FLEET_MIX_COUNT];
} fleet_info_t;

fleet_info_t fleet_run(const fleet_desc_t *desc);

#endif
