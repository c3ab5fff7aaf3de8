/*
 * State of placement, shared by its two parts.  Calls go one way:
 * place_react.c -> place.c.
 */
#ifndef NM_PLACE_STATE_H
#define NM_PLACE_STATE_H

#include <glib.h>

#include <nutmegdeck/place.h>

#include "place_worker.h"

/* Workers probed for one decision before giving up. */
#define NM_PLACE_PROBE_COUNT 160

struct nm_place_state {
    nm_place_policy_t policy;
    float weight_latency; /* 0 to 1 */
    nm_rng_t rng;
    nm_worker_t *workers;
    uint32_t worker_count;
    uint32_t worker_capacity;
    GHashTable *worker_index; /* id to index plus one */
    GHashTable *classes;      /* id to nm_class_t */
    GHashTable *rack_tasks;   /* job and rack to number of holds */
    GQueue reactions;         /* of nm_reaction_t */
    uint32_t exploring;       /* workers with tasks that explore */
    nm_amount_t largest;      /* room of the largest worker, by part */
};

typedef struct nm_place_state nm_place_state_t;

nm_class_t *nm_place_class_of(nm_place_state_t *state, uint64_t id);
/* Slowdown allowed on a worker with what runs there now. */
float nm_place_allowed_on(const nm_place_state_t *state,
                          const nm_worker_t *worker);
/* Load to plan for: between the newest and the recent peak. */
float nm_place_planning_load(const nm_place_state_t *state,
                             const nm_worker_t *worker);
/* Amount that a policy believes a task to need. */
nm_amount_t nm_place_believed_amount(const nm_place_state_t *state,
                                     nm_class_t *class_,
                                     const nm_place_need_t *need,
                                     const nm_amount_t *limit);
/* What was explored is known by now, or safe. */
void nm_place_end_exploring(nm_place_state_t *state, nm_worker_t *worker);

#endif
