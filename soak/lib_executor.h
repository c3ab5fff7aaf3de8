/*
 * Model of the users' executors and of the promises that they can see broken.
 *
 * An executor obeys the highest epoch, runs tasks under one lease, lists ends
 * until they are acknowledged, and forgets all of it when it crashes.  The
 * fleet watches every start and end: one run of a task at a time, no start
 * after an end `done` that was acknowledged, no executor over its capacity,
 * no start of what was never submitted, or long after its cancel.  Pure: the
 * caller gives the time and carries the messages.
 *
 *     executor_fleet_t *fleet = executor_fleet_new(&desc);
 *     executor_start(fleet, index, &order, now_ms);
 *     executor_fleet_tick(fleet, now_ms);
 *     executor_fleet_free(fleet);
 */
#ifndef LIB_EXECUTOR_H
#define LIB_EXECUTOR_H

#include <glib.h>

#include <nutmegdeck/base.h>

#define EXECUTOR_STATUS_DONE 200
#define EXECUTOR_STATUS_CONFLICT 409
#define EXECUTOR_STATUS_WRONG_INCARNATION 421

typedef struct {
    uint32_t executors;
    int64_t cpu_milli; /* of each */
    uint64_t seed;
    /* A task may start so long after a cancel's ack. */
    nm_ms_t cancel_grace_ms;
    const char *events; /* file that tells each start and end; or NULL */
} executor_fleet_desc_t;

typedef struct {
    char task[64];
    int64_t run;
    nm_ms_t started_ms;
    nm_ms_t ends_ms;
    nm_ms_t work_ms;  /* needed in all, from zero */
    nm_ms_t saved_ms; /* work that its checkpoint holds */
    int64_t cpu_milli;
    bool long_running;
    bool fails;
    nm_ms_t stop_at_ms; /* 0: it was not told to stop */
} executor_run_t;

typedef struct {
    int64_t number;
    char task[64];
    int64_t run;
    const char *result;
    nm_ms_t saved_ms;
} executor_end_t;

typedef struct {
    char id[NM_NAME_MAX];
    nm_ms_t born_ms;
    int64_t born_unix_ms;
    int64_t epoch;
    int64_t lease_until_ms; /* on its own clock */
    GArray *runs;           /* of executor_run_t */
    GArray *ends;           /* of executor_end_t, not acknowledged */
    int64_t last_end;
    bool unresponsive; /* answers nothing */
    uint64_t sequence;
    GHashTable *finished_runs; /* task -> highest run stopped or ended here */
} executor_t;

typedef struct {
    const char *task;
    int64_t run;
    int64_t epoch;
    int64_t expiry_ms;
    const char *checkpoint;
} executor_order_t;

typedef struct executor_fleet executor_fleet_t;

executor_fleet_t *executor_fleet_new(const executor_fleet_desc_t *desc);
void executor_fleet_free(executor_fleet_t *fleet);
executor_t *executor_at(executor_fleet_t *fleet, uint32_t index);
executor_t *executor_find(executor_fleet_t *fleet, const char *id);
int64_t executor_clock(const executor_t *executor, nm_ms_t now_ms);
/* Ends leases and runs that are due. */
void executor_fleet_tick(executor_fleet_t *fleet, nm_ms_t now_ms);
/* All that runs is lost, and the next life knows nothing of it. */
void executor_crash(executor_fleet_t *fleet, uint32_t index, nm_ms_t now_ms);

/* Orders; each returns a status, and a reason for a conflict. */
int executor_start(executor_fleet_t *fleet, executor_t *executor,
                   const executor_order_t *order, nm_ms_t now_ms,
                   const char **reason);
int executor_stop(executor_fleet_t *fleet, executor_t *executor,
                  const executor_order_t *order, nm_ms_t now_ms,
                  const char **reason);
int executor_hold(executor_fleet_t *fleet, executor_t *executor,
                  const executor_order_t *order, int64_t acked, nm_ms_t now_ms,
                  const char **reason);

/* What callers did, for the promises. */
void executor_job_sent(executor_fleet_t *fleet, const char *job,
                       uint32_t tasks, int64_t cpu_milli, nm_ms_t work_ms,
                       bool long_running);
void executor_job_cancelled(executor_fleet_t *fleet, const char *job,
                            nm_ms_t now_ms);
/* Every attempt of the caller was refused, so none of it may start. */
void executor_job_refused(executor_fleet_t *fleet, const char *job);
/* True once all tasks of a job have ended `done`. */
bool executor_job_is_done(const executor_fleet_t *fleet, const char *job);

typedef struct {
    uint32_t starts;
    uint32_t ends;
    uint32_t violations;        /* of promises */
    char first_violation[1024]; /* what broke first */
} executor_fleet_info_t;

executor_fleet_info_t executor_fleet_query_info(const executor_fleet_t *fleet);
/* Reports a broken promise that the caller of the model saw. */
void executor_fleet_add_violation(executor_fleet_t *fleet, nm_ms_t now_ms,
                                  const char *format, ...) G_GNUC_PRINTF(3, 4);

#endif
