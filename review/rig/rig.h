/*
 * Rig of the review's cases: stand-ins of the users' platform (store and
 * operator), of their executors and of their clients, and the paths between
 * these and the entry hosts, in one process.  Entry hosts are separate
 * processes, started with the command of deploy/system.toml and with settings
 * from its template.
 *
 * Each entry host sees the store and each executor at an address of its own,
 * which is the path between the two; with `peer_paths` also the other entry
 * hosts.  A path that is cut loses all that is sent on it, without a reset;
 * a channel that lost something stays silent when the path is whole again.
 *
 * Executors follow PROTOCOL.md: epochs, leases on their own clock, run
 * numbers, ends that are listed until they are acknowledged.  What they see
 * is written to record.txt, as is what clients send and what they are told.
 *
 * Exit status of a case: 1 if the rule was broken, 0 if it held, 2 if the
 * case could not run.
 */
#ifndef REVIEW_RIG_H
#define REVIEW_RIG_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#define RIG_HOSTS_MAX 9
#define RIG_EXECUTORS_MAX 32

typedef struct {
    int hosts;
    int executors;
    int64_t cpu_milli;  /* of each executor */
    double clock_rate;  /* of the executors' steady clocks; 1: exact */
    bool peer_paths;    /* paths between entry hosts can be cut */
    const char *config; /* first manifest, JSON */
} rig_desc_t;

/* What a run of a task does; the default is to last until it is stopped. */
typedef struct {
    int64_t duration_ms; /* 0: lasts */
    const char *end;     /* "done" or "failed" */
} rig_work_t;

/* A run that an executor has begun. */
typedef struct {
    char task[64];
    int64_t run;
    int64_t epoch;
    int executor;
    int host; /* that ordered it */
    int64_t begun_ms;
    int64_t ended_ms; /* 0: at work */
    char end[16];     /* as listed, or "crash" */
    int64_t number;   /* of the end in its executor's list */
    bool noted;       /* the end was acknowledged */
    int64_t boot;     /* of the executor */
    int64_t due_ms;   /* 0: lasts */
    int64_t stop_ms;  /* 0: no stop was ordered */
    char due_end[16];
} rig_run_t;

/* Reads TROUBLE, opens record.txt in the folder, starts the stand-ins. */
void rig_begin(const rig_desc_t *desc, const char *folder);
/* False with TROUBLE=0: the case runs without its disruption. */
bool rig_trouble(void);
/* Ends all processes and exits: 1 if the rule was broken, else 0. */
void rig_end(bool broken) G_GNUC_NORETURN;
/* Ends all processes and exits with 2. */
void rig_fail(const char *format, ...) G_GNUC_PRINTF(1, 2) G_GNUC_NORETURN;
/* Time since the start of the case, in ms. */
int64_t rig_now(void);
void rig_sleep(int64_t ms);
/* Writes a line with the time to record.txt. */
void rig_note(const char *format, ...) G_GNUC_PRINTF(1, 2);

/* Entry hosts. */
void rig_start_host(int host);
void rig_kill_host(int host, int signal_number);
/* Waits until a host is ready; fails the case after 10 s. */
void rig_wait_ready(int host);

/* Operator: writes a manifest; returns once the store has it. */
void rig_put_config(const char *config);

/* Clients.  Returns the status, 0 if there was no answer in 3 s. */
int rig_call(int host, const char *method, const char *path, const char *name,
             const char *body, char *answer, size_t answer_size);

/* Paths. */
void rig_cut_store(int host, bool cut);
void rig_cut_executor(int host, int executor, bool cut);
void rig_cut_peers(int host, int other, bool cut);
/* The executor's own path to the store, on which it announces itself. */
void rig_cut_announcement(int executor, bool cut);

/* Executors. */
void rig_set_work(const char *job, rig_work_t work);
/* Ends all that it runs, refuses connections; starts again after a while. */
void rig_crash_executor(int executor, int64_t down_ms);
const char *rig_executor_id(int executor);
/* Copies the runs begun so far; the caller frees the array. */
GArray *rig_runs(void);
/*
 * Returns how long two runs of one task were at work at the same time, on
 * different executors; notes each such pair.
 */
int64_t rig_longest_overlap_ms(void);
/* Waits until a number of runs of a job have begun; fails after a time. */
void rig_wait_runs(const char *job, guint count, int64_t timeout_ms);

#endif
