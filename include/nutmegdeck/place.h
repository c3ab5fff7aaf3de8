/*
 * Task placement: estimates, interference and the choice of workers.
 *
 * A decision module.  It counts what every worker holds, learns from late
 * reports how much tasks use and how much they slow the services that share
 * their worker, chooses workers for tasks, and proposes throttling and
 * eviction.
 *
 *     nm_place_t place;
 *     nm_place_init(&place, &(nm_place_desc_t){.seed = 1});
 *     int32_t worker = nm_place_set_worker(&place, &desc);
 *     int32_t chosen = nm_place_choose(&place, &need, now_ms, &reason);
 *     nm_place_allocate(&place, chosen, task, &need, now_ms);
 *     nm_place_finish(&place);
 */
#ifndef NUTMEGDECK_PLACE_H
#define NUTMEGDECK_PLACE_H

#include <nutmegdeck/reason.h>

#define NM_PLACE_NO_SERVICE UINT32_MAX
#define NM_PLACE_SERVICES_MAX 64
/* Interference is learned by load band; the bands end at these loads. */
#define NM_PLACE_LOAD_BANDS 3
#define NM_PLACE_LOAD_BAND_LIMITS                                             \
    {                                                                         \
        0.4f, 0.7f, 1.0f                                                      \
    }

typedef enum {
    NM_PLACE_POLICY_LEARNED,
    NM_PLACE_POLICY_RANDOM,
    NM_PLACE_POLICY_BEST_FIT, /* by declared size */
    NM_PLACE_POLICY_REACTIVE, /* best fit, evicts over a threshold */
    NM_PLACE_POLICY_SEPARATE, /* never beside a service */
    NM_PLACE_POLICY_ORACLE,   /* needs nm_place_set_ground_truth() */
} nm_place_policy_t;

typedef struct {
    uint64_t seed;
    nm_place_policy_t policy;
    uint32_t weight_latency_pct; /* against throughput; 0: 50 */
} nm_place_desc_t;

/* An amount of what a worker offers or a task takes. */
typedef struct {
    int64_t cpu_milli;
    int64_t memory_mb;
    int32_t accelerators;
} nm_resources_t;

typedef struct {
    uint64_t id; /* not 0 */
    uint32_t rack;
    nm_resources_t capacity;
    uint32_t service; /* whose executor runs here, or NM_PLACE_NO_SERVICE */
    nm_resources_t executor; /* reserved for that executor */
    bool closed;             /* takes no new tasks */
} nm_place_worker_t;

typedef struct {
    uint64_t class_id; /* tasks of one class behave alike */
    uint64_t job;      /* for spreading over racks */
    nm_resources_t declared;
    uint8_t priority;
    bool urgent;
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
    uint8_t throttle_pct; /* processor share that is left */
} nm_place_action_t;

/* One measurement of a service beside tasks, made in the past. */
typedef struct {
    nm_ms_t measured_ms;
    float load;     /* share of the executor's slots in use, 0 to 1 */
    float slowdown; /* latency against that without tasks, from 1 */
} nm_place_sample_t;

typedef struct {
    nm_resources_t used; /* reserved, executor included */
    uint32_t tasks;
    float slowdown; /* predicted slowdown of the service, from 1 */
} nm_place_info_t;

typedef struct {
    float mean;
    float deviation;
} nm_estimate_t;

typedef struct nm_place {
    struct nm_place_state *state;
} nm_place_t;

void nm_place_init(nm_place_t *place, const nm_place_desc_t *desc);
void nm_place_finish(nm_place_t *place);
void nm_place_set_weight(nm_place_t *place, uint32_t weight_latency_pct);

/* Adds or changes a worker; returns its index, which stays valid. */
int32_t nm_place_set_worker(nm_place_t *place, const nm_place_worker_t *desc);
int32_t nm_place_find_worker(const nm_place_t *place, uint64_t id);
void nm_place_close_worker(nm_place_t *place, int32_t worker, bool closed);

/* Returns a worker with room, or -1 and the reason why there is none. */
int32_t nm_place_choose(nm_place_t *place, const nm_place_task_spec_t *need,
                        nm_ms_t now_ms, nm_reason_t *reason);
/* True if some worker could hold the need when empty. */
bool nm_place_can_ever_fit(const nm_place_t *place,
                           const nm_place_task_spec_t *need);
/*
 * Reserves room for a task.  Also accepts a task that no longer fits,
 * because it was found running there.
 */
void nm_place_allocate(nm_place_t *place, int32_t worker, uint64_t task,
                       const nm_place_task_spec_t *need, nm_ms_t now_ms);
void nm_place_release(nm_place_t *place, int32_t worker, uint64_t task,
                      nm_ms_t now_ms);
/* Proposes evictions that make room for an urgent need. */
bool nm_place_preempt(nm_place_t *place, const nm_place_task_spec_t *need,
                      nm_ms_t now_ms);

/* Reports what one task of a class uses. */
void nm_place_observe_usage(nm_place_t *place, uint64_t class_id,
                            const nm_resources_t *use);
/* Reports a measurement of the service on a worker. */
void nm_place_observe_service(nm_place_t *place, int32_t worker,
                              const nm_place_sample_t *sample, nm_ms_t now_ms);
/* Gives true size and interference by load band to the policy ORACLE. */
void nm_place_set_ground_truth(nm_place_t *place, uint64_t class_id,
                               const nm_resources_t *size, uint32_t service,
                               const float slowdowns[NM_PLACE_LOAD_BANDS]);
/* Proposes an eviction if the tasks of a worker outgrew its memory. */
void nm_place_check_memory(nm_place_t *place, int32_t worker, nm_ms_t now_ms);
bool nm_place_next_action(nm_place_t *place, nm_place_action_t *reaction);

nm_place_info_t nm_place_query_worker(const nm_place_t *place, int32_t worker);
/* Amount reserved for one task of a class. */
nm_resources_t nm_place_query_reservation(const nm_place_t *place,
                                          const nm_place_task_spec_t *need);
/* Slowdown of a service by tasks that fill its worker's processors. */
nm_estimate_t nm_place_query_interference(const nm_place_t *place,
                                          uint64_t class_id, uint32_t service,
                                          float load);

#endif
