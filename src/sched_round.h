/*
 * State of one placement round, shared by sched_order.c, which orders the
 * waiting steps, and sched_place.c, which places them.
 */
#ifndef NM_SCHED_ROUND_H
#define NM_SCHED_ROUND_H

#include "sched_state.h"

/* Rank of an overdue long-running step: it starts before all others. */
#define NM_ORDER_OVERDUE_RANK 1e6

/* Limit of filler images remembered as unplaced in one round. */
#define NM_ROUND_UNPLACED_IMAGES_MAX 32

typedef struct {
    nm_occurrence_t *occurrence;
    uint32_t step;
    double rank; /* higher starts first */
} nm_candidate_t;

typedef struct {
    /*
     * Smallest requests of short tasks, without a label or a limit per worker,
     * that found no worker in this round.  Another such task that needs at
     * least as much of both is skipped.
     */
    int64_t unplaced_cpu_milli;
    int64_t unplaced_memory_mb;
    /* Images of fillers that found no worker. */
    const char *unplaced_images[NM_ROUND_UNPLACED_IMAGES_MAX];
    uint32_t unplaced_image_count;
    uint32_t reserved_nodes; /* workers reserved for overdue tasks */
    bool overdue_known;      /* overdue_cpu_left_milli is computed */
    /* CPU that overdue tasks may still take. */
    double overdue_cpu_left_milli;
    uint32_t idle_jobs;
    const nm_sched_job_t *longest_idle; /* NULL: none */
} nm_round_t;

/*
 * Returns the waiting steps in the order in which they start, as an array of
 * nm_candidate_t to be freed with g_array_free.
 */
GArray *nm_order_candidates(nm_sched_t *sched, nm_round_t *round,
                            nm_ms_t now_ms);
/* True if an interrupted long-running step has waited too long. */
bool nm_order_is_overdue(const nm_sched_t *sched, nm_round_t *round,
                         const nm_occurrence_t *occurrence, uint32_t step,
                         nm_ms_t now_ms);

#endif
