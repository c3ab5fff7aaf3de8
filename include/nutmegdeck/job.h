/*
 * Job specifications, and the record that the store keeps of each.
 *
 * A job is a list of steps, each with a number of equal tasks.  A step
 * starts when all steps that it names in `after` are done.  A job may be
 * scheduled to repeat; each repetition is an occurrence.
 *
 *     nm_job_spec_t spec;
 *     nm_job_spec_init(&spec, "5c0e7a21d94b36f8", "orders", "booking");
 *     nm_step_t *step = nm_job_spec_add_step(&spec);
 *     step->task_count = 4;
 *     const char *fault = nm_job_spec_check(&spec);
 *     char *record = nm_job_record_encode(&spec);
 *     nm_job_spec_finish(&spec);
 */
#ifndef NUTMEGDECK_JOB_H
#define NUTMEGDECK_JOB_H

#include <glib.h>

#include <nutmegdeck/base.h>

/* Bytes of a job's id, with the terminating NUL. */
#define NM_JOB_ID_MAX 32
#define NM_JOB_STEPS_MAX 64
#define NM_JOB_TASKS_MAX 20000
/* Each second for 11 days, or each minute for almost two years. */
#define NM_JOB_OCCURRENCES_MAX 1000000
/* Tasks of all occurrences of a job; only those that are due need memory. */
#define NM_JOB_RUNS_MAX 100000000
/* A week of a million cores, and so few that sums over tasks fit int64_t. */
#define NM_JOB_CORE_MS_MAX 1e15
/* Version of the stored record; any other version is refused. */
#define NM_JOB_RECORD_VERSION 1

/*
 * Declaration of a step.  Zero or empty: the step does not request it.
 * same_rack, copies_allowed and unavailable_max are stored with the job, but
 * the scheduler does not use them.
 */
typedef struct {
    uint32_t task_count;
    int64_t cpu_milli;
    int64_t memory_mb;
    int32_t accelerators;
    nm_ms_t estimate_ms; /* estimated duration of one task */
    uint32_t *after;     /* numbers of steps that must be done first */
    uint32_t after_count;
    bool saves_progress; /* its tasks can resume from a checkpoint */
    bool is_gang;        /* its tasks run all together or not at all */
    bool same_rack;
    bool copies_allowed;
    bool long_running;       /* runs until the job is cancelled */
    bool is_filler;          /* uses only CPU that other tasks leave unused */
    char label[NM_NAME_MAX]; /* a worker must have it */
    char data_rack[NM_NAME_MAX]; /* preferred rack */
    char image[NM_NAME_MAX];     /* program; interference depends on it */
    uint32_t per_worker_max; /* tasks of the step on one worker; 0: no limit */
    nm_ms_t target_ms;       /* upper bound of its tail latency; 0: none */
    /* Limit of tasks that the scheduler makes unavailable. */
    uint32_t unavailable_max;
    bool has_unavailable_max; /* unavailable_max is set */
} nm_step_t;

typedef struct {
    char id[NM_JOB_ID_MAX];
    char queue[NM_NAME_MAX];
    char service[NM_NAME_MAX]; /* its workers run the job */
    char *payload;             /* passed to each task unchanged */
    nm_step_t *steps;
    uint32_t step_count;
    uint32_t occurrences; /* 0: once, immediately */
    int64_t first_unix_ms;
    nm_ms_t interval_ms;
    int64_t accepted_unix_ms;
    /* Failed runs of a task that end the job, as last known; 0: no limit. */
    uint32_t attempts_max;
} nm_job_spec_t;

void nm_job_spec_init(nm_job_spec_t *spec, const char *id, const char *queue,
                      const char *service);
void nm_job_spec_finish(nm_job_spec_t *spec);
/* Moves the contents of source to target; source is empty afterwards. */
void nm_job_spec_move(nm_job_spec_t *target, nm_job_spec_t *source);
/* Appends a zeroed step; pointers to earlier steps become invalid. */
nm_step_t *nm_job_spec_add_step(nm_job_spec_t *spec);
void nm_step_add_dependency(nm_step_t *step, uint32_t earlier);
/* Returns a text that states the first fault of spec, or NULL. */
const char *nm_job_spec_check(const nm_job_spec_t *spec);
/* Longest sum of estimated durations along a chain of dependent steps. */
nm_ms_t nm_job_spec_critical_path_ms(const nm_job_spec_t *spec);
/* Estimated CPU time of one occurrence, in core-milliseconds. */
int64_t nm_job_spec_core_ms(const nm_job_spec_t *spec);

/* Returns the JSON text of a specification, to be freed with free(). */
char *nm_job_record_encode(const nm_job_spec_t *spec);
/*
 * Initialises spec from a record; spec has to be finished also on failure.
 * Returns NM_ERR_CORRUPT for anything but a valid record.
 */
int nm_job_record_decode(nm_job_spec_t *spec, const char *id, const void *data,
                         uint32_t bytes);

#endif
