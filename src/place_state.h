/*
 * State of the place module.
 *
 * Internal.  Shared by place.c and place_mitigation.c; place_mitigation.c
 * calls place.c, never the reverse.
 */
#ifndef NM_PLACE_STATE_H
#define NM_PLACE_STATE_H

#include <glib.h>

#include <nutmegdeck/place.h>

#include "place_worker.h"

/* Maximum number of workers examined for one decision. */
#define NM_PLACE_PROBES_MAX 160

struct nm_place_state {
    nm_place_policy_t policy;
    float weight_latency; /* 0 to 1 */
    nm_rng_t rng;
    nm_worker_t *workers;
    uint32_t worker_count;
    uint32_t worker_capacity;
    GHashTable *worker_indices; /* id to index plus one */
    GHashTable *classes;        /* id to nm_class_t */
    GHashTable *rack_tasks;     /* hash of job and rack to number of tasks */
    GQueue actions;             /* of nm_place_action_t */
    uint32_t exploring_count;   /* workers with exploring tasks */
    nm_resources_t max_allocatable; /* largest of any worker, by resource */
};

typedef struct nm_place_state nm_place_state_t;

/* Returns a class; creates it if it is new. */
nm_class_t *nm_place_ensure_class(nm_place_state_t *state, uint64_t id);
/*
 * Returns the slowdown allowed on a worker, which is larger while it runs
 * tasks at risk.
 */
float nm_place_slowdown_bound(const nm_place_state_t *state,
                              const nm_worker_t *worker);
/*
 * Returns the load to plan for, between the newest measurement (latency weight
 * 0) and the recent peak (weight 1).
 */
float nm_place_planning_load(const nm_place_state_t *state,
                             const nm_worker_t *worker);
/*
 * Returns what the policy reserves for a task; estimates are capped at limit.
 */
nm_resources_t nm_place_task_reservation(const nm_place_state_t *state,
                                         nm_class_t *class_,
                                         const nm_place_task_spec_t *spec,
                                         const nm_resources_t *limit);
/* Ends the exploration by tasks whose class has enough samples by now. */
void nm_place_end_exploring(nm_place_state_t *state, nm_worker_t *worker);

#endif
