/*
 * Task placement: estimates of task size and interference, and the choice
 * of workers.
 *
 * A decision module.  It tracks what is reserved on every worker, learns
 * from delayed reports how much tasks use and how much they slow down the
 * service that shares their worker, chooses workers for tasks, and proposes
 * throttling and eviction.  A decision examines at most 160 workers, so its
 * cost does not grow with their number.
 *
 *     nm_place_t place;
 *     nm_place_init(&place, &(nm_place_desc_t){.seed = 1});
 *     int32_t worker = nm_place_set_worker(&place, &desc);
 *     int32_t chosen = nm_place_choose(&place, &spec, now_ms, &reason);
 *     nm_place_allocate(&place, chosen, task, &spec, now_ms);
 *     nm_place_observe_usage(&place, spec.class_id, &usage);
 *     nm_place_observe_service(&place, worker, &sample, now_ms);
 *     while (nm_place_next_action(&place, &action)) { ... }
 *     nm_place_release(&place, chosen, task, now_ms);
 *     nm_place_finish(&place);
 */
#ifndef NUTMEGDECK_PLACE_H
#define NUTMEGDECK_PLACE_H

#include <nutmegdeck/reason.h>

#define NM_PLACE_NO_SERVICE UINT32_MAX
#define NM_PLACE_SERVICES_MAX 64
/*
 * Load bands of the interference model.  Each limit is the exclusive end of a
 * band; loads beyond the last limit belong to the last band.
 */
#define NM_PLACE_LOAD_BANDS 3
#define NM_PLACE_LOAD_BAND_LIMITS                                             \
    {                                                                         \
        0.4f, 0.7f, 1.0f                                                      \
    }

typedef enum {
    NM_PLACE_POLICY_LEARNED, /* learned sizes and interference */
    NM_PLACE_POLICY_RANDOM,
    NM_PLACE_POLICY_BEST_FIT, /* fullest worker, by declared size */
    NM_PLACE_POLICY_REACTIVE, /* BEST_FIT; evicts above a slowdown of 1.1 */
    NM_PLACE_POLICY_SEPARATE, /* never on a worker with a service */
    NM_PLACE_POLICY_ORACLE,   /* true values: nm_place_set_ground_truth() */
} nm_place_policy_t;

typedef struct {
    uint64_t seed;
    nm_place_policy_t policy;
    uint32_t weight_latency_pct; /* latency over throughput; 0: 50 */
} nm_place_desc_t;

/* Resources that a worker offers or a task uses. */
typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
    int32_t accelerators;
} nm_resources_t;

typedef struct {
    uint64_t id; /* not 0 */
    uint32_t rack;
    nm_resources_t capacity;
    uint32_t service;        /* of the executor here, or NM_PLACE_NO_SERVICE */
    nm_resources_t executor; /* reserved for that executor */
    bool closed;             /* takes no new tasks */
} nm_place_worker_t;

typedef struct {
    uint64_t class_id; /* tasks of one class share estimates */
    uint64_t job;      /* its tasks are spread over racks */
    nm_resources_t declared;
    uint8_t priority;
    bool urgent;  /* any slowdown of the service is accepted */
    bool at_risk; /* its deadline is near: more slowdown is accepted */
} nm_place_task_spec_t;

typedef enum {
    NM_PLACE_ACTION_THROTTLE,
    NM_PLACE_ACTION_UNTHROTTLE, /* end a throttle */
    NM_PLACE_ACTION_EVICT,
} nm_place_action_type_t;

typedef struct {
    nm_place_action_type_t type;
    int32_t worker;
    uint64_t task;
    nm_reason_t reason;
    uint8_t throttle_pct; /* processor share that the task keeps */
} nm_place_action_t;

/*
 * Measurement of a service that shares its worker with tasks, reported with a
 * delay.
 */
typedef struct {
    nm_ms_t measured_ms;
    float load;     /* share of the executor's slots in use, 0 to 1 */
    float slowdown; /* latency relative to that without tasks, from 1 */
} nm_place_sample_t;

typedef struct {
    nm_resources_t used; /* reserved, executor included */
    uint32_t tasks;
    float slowdown; /* predicted for the service, from 1 */
} nm_place_info_t;

typedef struct {
    float mean;
    float deviation; /* standard deviation */
} nm_estimate_t;

typedef struct nm_place {
    struct nm_place_state *state;
} nm_place_t;

void nm_place_init(nm_place_t *place, const nm_place_desc_t *desc);
void nm_place_finish(nm_place_t *place);
/* Sets the weight of latency over throughput in percent; 0 means 0 here. */
void nm_place_set_weight(nm_place_t *place, uint32_t weight_latency_pct);

/* Adds or changes a worker; returns its index, which stays valid. */
int32_t nm_place_set_worker(nm_place_t *place, const nm_place_worker_t *desc);
/* Returns the index of a worker, or -1. */
int32_t nm_place_find_worker(const nm_place_t *place, uint64_t id);
/* Sets whether a worker is closed to new tasks. */
void nm_place_close_worker(nm_place_t *place, int32_t worker_index,
                           bool closed);

/*
 * Examines up to 160 workers and returns the one of the lowest cost among the
 * first 24 that have room and that the policy permits.  Returns -1 and sets
 * *reason to NM_REASON_NEVER_FITS if no worker is large enough, or to
 * NM_REASON_WAIT_NO_FIT if none of those examined is suitable now.
 */
int32_t nm_place_choose(nm_place_t *place, const nm_place_task_spec_t *spec,
                        nm_ms_t now_ms, nm_reason_t *reason);
/*
 * Returns false if a task declares more of a resource than any worker has
 * offered to tasks when empty, or if there are no workers.
 */
bool nm_place_can_ever_fit(const nm_place_t *place,
                           const nm_place_task_spec_t *spec);
/*
 * Reserves room for a task, even if it does not fit: the task may have been
 * found running there.  Does nothing if the worker already has an allocation
 * for the task.
 */
void nm_place_allocate(nm_place_t *place, int32_t worker_index, uint64_t task,
                       const nm_place_task_spec_t *spec, nm_ms_t now_ms);
/* Releases a task's allocation; does nothing if there is none. */
void nm_place_release(nm_place_t *place, int32_t worker_index, uint64_t task,
                      nm_ms_t now_ms);
/*
 * Proposes evictions of tasks of lower priority that make room for an urgent
 * task.  Returns false if they would not free enough on any worker examined.
 */
bool nm_place_preempt(nm_place_t *place, const nm_place_task_spec_t *spec,
                      nm_ms_t now_ms);

/* Reports the usage of one task of a class. */
void nm_place_observe_usage(nm_place_t *place, uint64_t class_id,
                            const nm_resources_t *usage);
/*
 * Reports a measurement of the service on a worker.  The policy LEARNED
 * proposes throttles or an eviction if tasks slow the service down too much,
 * and the end of throttles once they no longer do; REACTIVE only evicts.
 */
void nm_place_observe_service(nm_place_t *place, int32_t worker_index,
                              const nm_place_sample_t *sample, nm_ms_t now_ms);
/*
 * Sets a class's true size and, by load band, its true interference with a
 * service, for the policy ORACLE.
 */
void nm_place_set_ground_truth(nm_place_t *place, uint64_t class_id,
                               const nm_resources_t *size, uint32_t service,
                               const float slowdowns[NM_PLACE_LOAD_BANDS]);
/*
 * The policy LEARNED proposes one eviction if the tasks on a worker are
 * estimated to use more memory than it offers them.
 */
void nm_place_check_memory(nm_place_t *place, int32_t worker_index,
                           nm_ms_t now_ms);
/* Takes the next proposed action; returns false if there is none. */
bool nm_place_next_action(nm_place_t *place, nm_place_action_t *action);

nm_place_info_t nm_place_query_worker(const nm_place_t *place,
                                      int32_t worker_index);
/* Returns what would be reserved for a task on the largest worker. */
nm_resources_t nm_place_query_reservation(const nm_place_t *place,
                                          const nm_place_task_spec_t *spec);
/*
 * Returns the estimated slowdown that tasks of a class add to a service if
 * they use all processors of its worker.
 */
nm_estimate_t nm_place_query_interference(const nm_place_t *place,
                                          uint64_t class_id, uint32_t service,
                                          float load);

#endif
