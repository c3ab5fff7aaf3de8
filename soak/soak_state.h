/*
 * State of the fault soak, shared by its files: soak.c runs it, soak_hosts.c
 * has the host processes, soak_faults.c the faults, soak_departures.c those of
 * --departures and their check, soak_configs.c the changes of --configs and
 * theirs, soak_recuts.c the faults of --recuts and --reborn,
 * soak_evacuations.c the evacuated zones, soak_callers.c the callers.
 */
#ifndef SOAK_STATE_H
#define SOAK_STATE_H

#include <sys/types.h>

#include <curl/curl.h>
#include <glib.h>

#include "lib_platform.h"
#include "lib_proxy.h"

/*
 * Ports, from --base-port: 0 the platform, 10 + 4 * i those of host i, 400 + i
 * its path to the store, 450 + i its path to the executors, up to 499.
 */
#define STORE_PATHS_PORT 400
#define EXECUTOR_PATHS_PORT 450
#define HOSTS_MAX 48
#define EXECUTORS_MAX 4096
#define PORTS_PER_HOST 4
#define TICK_MS 5
#define ATTEMPTS_MAX 8 /* maxAttempts of the queue */
/* Bounds of the smaller users' site after its growth. */
#define HOST_GRACE_MS 6000 /* from SIGTERM to the end of the process */

typedef struct {
    pid_t pid; /* 0: not running */
    nm_ms_t start_at_ms;
    nm_ms_t resume_at_ms; /* 0: not paused */
    nm_ms_t stop_sent_ms; /* SIGTERM or SIGKILL; 0: must run */
    nm_ms_t kill_at_ms;   /* end of the grace time; 0: no SIGTERM pending */
    nm_ms_t path_heal_at_ms;
    nm_ms_t link_heal_at_ms; /* 0: its link is not limited */
    /* Short of processor until then: runs slice_run_ms of each slice. */
    nm_ms_t short_until_ms;
    nm_ms_t slice_run_ms;
    nm_ms_t slice_end_at_ms;
    bool slice_stopped;
    int proxy_path;    /* to the store */
    int executor_path; /* to all executors */
    uint16_t front_port;
    char *settings;
} host_t;

typedef struct {
    char id[32];
    uint32_t tasks;
    bool long_running;
    bool deadly; /* its tasks crash their executors */
    bool fills;
    bool serves;
    bool outcome_unknown; /* a failed attempt may have been stored */
    bool refused;         /* every attempt got 503 or 429 */
    bool wants_cancel;
    const char *queue;
    const char *label;       /* that its tasks require; NULL: any */
    uint32_t per_worker_max; /* tasks on one executor; 0: no limit */
    bool ended;
    bool failed; /* reported as failed, with cause */
    uint32_t attempts;
    uint32_t attempts_max;
    nm_ms_t accepted_ms;  /* 0: not accepted */
    nm_ms_t cancelled_ms; /* 0: no cancel acknowledged */
    nm_ms_t next_call_ms;
    bool call_in_flight;
    bool stood_still; /* for longer than JOBS_RESUME_MS */
} job_t;

typedef struct {
    gint hosts;
    gint executors;
    gint seconds;
    gint settle_s;
    gint base_port;
    gint64 seed;
    gdouble jobs_per_s;
    char *program;
    char *folder;
    gboolean drops_jobs;
    gboolean no_faults;
    gboolean deadly;
    gboolean cuts;
    gboolean shortages;
    gboolean restarts;
    gboolean departures;
    gboolean configs;
    gboolean recuts;
    gboolean reborn;
    gboolean evacuations;
    gboolean fillers;
} soak_options_t;

typedef struct {
    host_t hosts[HOSTS_MAX];
    platform_t *platform;
    proxy_t *proxy;
    GPtrArray *jobs; /* of job_t */
    CURLM *multi;
    nm_rng_t rng;
    nm_rng_t route_rng; /* apart, so that a seed draws what it drew before */
    nm_ms_t next_restart_ms;
    nm_ms_t store_heal_at_ms;
    nm_ms_t delays_heal_at_ms;
    nm_ms_t executor_path_heal_at_ms;
    nm_ms_t owner_kill_at_ms; /* not before */
    uint32_t owner_kills_left;
    nm_ms_t executor_heal_at_ms[EXECUTORS_MAX];
    nm_ms_t executor_restart_at_ms[EXECUTORS_MAX]; /* 0: no restart */
    nm_ms_t cuts_until_ms; /* end of a series of cuts */
    nm_ms_t next_fault_ms;
    /* Apart, so that a seed draws the same whatever callers do. */
    nm_rng_t departure_rng;
    nm_ms_t next_departures_ms;
    nm_ms_t next_owner_loss_ms;
    uint32_t owner_losses_left;
    uint32_t owner_losses;
    uint32_t hosts_gone;
    bool revokes_only; /* in the present series */
    nm_rng_t recut_rng;
    nm_ms_t next_recuts_ms;
    nm_ms_t recut_owner_loss_ms;                /* 0: none */
    nm_ms_t recut_restart_at_ms[EXECUTORS_MAX]; /* 0: no restart */
    nm_ms_t recut_at_ms[EXECUTORS_MAX];         /* 0: no cut */
    nm_rng_t reborn_rng;
    nm_ms_t reborn_outage_at_ms; /* 0: none */
    nm_ms_t reborn_outage_end_ms;
    nm_ms_t next_idle_check_ms;
    nm_ms_t longest_idle_ms;      /* of any job in calm time */
    nm_ms_t passed_ms;            /* last pass of the soak itself */
    nm_ms_t delayed_ms;           /* it was late: SOAK_LATE_MS */
    nm_ms_t longest_late_idle_ms; /* of it, from JOBS_RESUME_MS on */
    double pending_arrivals;
    nm_ms_t arrivals_until_ms;
    int64_t config_version;
    uint32_t faults;
    uint32_t evacuations;
    nm_ms_t reset_ms; /* connections were last reset or silenced */
    uint32_t status_counts[600];
    uint32_t probe_counts[600]; /* of soak_configs.c */
} soak_t;

extern soak_options_t soak_options;
extern soak_t soak;

/* soak.c */
void soak_report_violation(const char *format, ...) G_GNUC_PRINTF(1, 2);
nm_ms_t soak_random_between(nm_ms_t min, nm_ms_t max);

/* soak_hosts.c */
void soak_write_settings(uint32_t index);
void soak_start_host(uint32_t index);
void soak_signal_host(host_t *host, int number);
/*
 * Collects ended processes, kills those that exceed their grace time, and
 * restarts, resumes and reconnects hosts when it is due.
 */
void soak_supervise_hosts(nm_ms_t now_ms);
void soak_kill_host(host_t *host, nm_ms_t now_ms);
/* Tells a host to stop; it is started again. */
void soak_stop_host(host_t *host, nm_ms_t now_ms);
/* Kills a host that is not started again. */
void soak_remove_host(host_t *host, nm_ms_t now_ms);
void soak_stop_hosts(void);
/* Reports each request that a stopping host has read and not answered. */
void soak_check_dropped_requests(void);

/* soak_faults.c */
/*
 * Writes a new version of the configuration; its content changes with
 * --configs only.
 */
void soak_put_configuration(void);
/*
 * Injects a random fault; network faults are drawn twice as often as others.
 * soak_heal_faults() and soak_supervise_hosts() end the lasting ones.
 */
void soak_inject_fault(nm_ms_t now_ms);
/* Ends the lasting faults that are due, or all of them. */
void soak_heal_faults(nm_ms_t now_ms, bool all);
/* Kills the owner while more are to be killed, each soon after its election.
 */
void soak_kill_owners(nm_ms_t now_ms);
/*
 * Cuts off executors soon after they started a task that has lapsed before,
 * during a series of cuts, and restarts those that are due behind their cut.
 */
void soak_cut_executors(nm_ms_t now_ms);

/* With --restarts: restarts executors and lets orders be late. */
void soak_restart_executors(nm_ms_t now_ms);

/* Reads the owner's record: returns its host, or NULL, and sets its epoch. */
host_t *soak_find_owner(int64_t *epoch);

/* soak_departures.c */
/*
 * With --departures: lets most executors leave for good in series, and takes
 * the ownership away again and again meanwhile.
 */
void soak_run_departures(nm_ms_t now_ms);
/*
 * With --departures and --fillers, after the faults: reports jobs that stand
 * still.
 */
void soak_check_idle_jobs(nm_ms_t faults_end_ms, nm_ms_t now_ms);

/* soak_recuts.c */
/*
 * With --recuts: executors restart and are cut off, and owners fall.  With
 * --reborn, also beside --restarts: entries expire and owners are replaced.
 */
void soak_run_recuts(nm_ms_t now_ms);

/* soak_evacuations.c */
/* With --evacuations: evacuates zones if changes, else takes all back. */
void soak_run_evacuations(nm_ms_t now_ms, bool changes);

/* soak_configs.c */
/* Appends the routes of --configs; route: the fields that all of them have. */
void soak_append_config_routes(GString *routes, const char *route);
/*
 * With --configs: writes versions in series if changes, and reports hosts that
 * refuse for good what they must know.
 */
void soak_run_configs(nm_ms_t now_ms, bool changes);
/*
 * Returns true if each host has served a queue of the newest version; after
 * the faults it reports those that have not done so in time.
 */
bool soak_configs_are_served(nm_ms_t faults_end_ms, nm_ms_t now_ms);

/* soak_callers.c */
void soak_handle_responses(nm_ms_t now_ms);
void soak_send_due_calls(nm_ms_t now_ms, bool submits_new);

#endif
