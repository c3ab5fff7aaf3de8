/*
 * State of placement, shared by its two parts.  Calls go one way:
 * place_mitigation.c -> place.c.
 */
#ifndef NM_PLACE_STATE_H
#define NM_PLACE_STATE_H

#include <glib.h>

#include <nutmegdeck/place.h>

#include "place_worker.h"

/* Workers probed for one decision before giving up. */
#define NM_PLACE_PROBES_MAX 160

struct nm_place_state {
    nm_place_policy_t policy;
    float weight_latency; /* 0 to 1 */
    nm_rng_t rng;
    nm_worker_t *workers;
    uint32_t worker_count;
    uint32_t worker_capacity;
    GHashTable *worker_index;       /* id to index plus one */
    GHashTable *classes;            /* id to nm_class_t */
    GHashTable *rack_tasks;         /* job and rack to number of tasks */
    GQueue actions;                 /* of nm_place_action_t */
    uint32_t exploring_count;       /* workers with tasks that explore */
    nm_resources_t max_allocatable; /* room of the largest worker, by part */
};

typedef struct nm_place_state nm_place_state_t;

nm_class_t *nm_place_ensure_class(nm_place_state_t *state, uint64_t id);
/* Slowdown allowed on a worker with what runs there now. */
float nm_place_slowdown_bound(const nm_place_state_t *state,
                              const nm_worker_t *worker);
/* Load to plan for: between the newest and the recent peak. */
float nm_place_planning_load(const nm_place_state_t *state,
                             const nm_worker_t *worker);
/* Amount that a policy believes a task to need. */
nm_resources_t nm_place_task_reservation(const nm_place_state_t *state,
                                         nm_class_t *class_,
                                         const nm_place_task_spec_t *need,
                                         const nm_resources_t *limit);
/* What was explored is known by now, or safe. */
void nm_place_end_exploring(nm_place_state_t *state, nm_worker_t *worker);

#endif
