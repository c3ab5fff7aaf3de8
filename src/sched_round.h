/*
 * State of one placement round, shared by sched_order.c, which orders the
 * waiting steps, sched_place.c and sched_gang.c, which place them,
 * sched_choice.c, which finds workers for their tasks, and sched_room.c, which
 * makes room for them.
 */
#ifndef NM_SCHED_ROUND_H
#define NM_SCHED_ROUND_H

#include "sched_state.h"

/* Limit of steps with reservations. */
#define NM_ROUND_AHEAD_MAX 64

/* Limit of requests remembered as unplaced in one round. */
#define NM_ROUND_UNPLACED_MAX 64

typedef enum {
    NM_CLASS_ORDINARY,
    NM_CLASS_IDLE,    /* one task of a job that has been idle for long */
    NM_CLASS_OVERDUE, /* an interrupted long-running step */
} nm_class_t;

/* Order in which candidates are considered, the last ones first. */
typedef enum {
    NM_ORDER_SLOWED, /* fillers that start slowed, if the job has no other */
    NM_ORDER_CREDIT,
    NM_ORDER_ADMITTED,   /* started jobs that can still be in time */
    NM_ORDER_IDLE,       /* NM_CLASS_IDLE */
    NM_ORDER_SHARE,      /* jobs of a size that is behind */
    NM_ORDER_SHARE_MORE, /* the same, once they are admitted */
    NM_ORDER_LONG_IDLE,  /* NM_CLASS_IDLE, before its bound is reached */
    NM_ORDER_OVERDUE,    /* NM_CLASS_OVERDUE */
} nm_order_t;

typedef struct {
    nm_occurrence_t *occurrence;
    uint32_t step;
    nm_class_t order_class;
    nm_order_t order;
    double rank;       /* within the order; higher starts first */
    bool takes_credit; /* starts only with credit for idle jobs */
    bool slowed;       /* NM_CLASS_IDLE: a filler that starts slowed */
} nm_candidate_t;

/* Requests of a task that found no worker of its service. */
typedef struct {
    const char *service; /* interned */
    const char *image;   /* of a filler; else NULL */
    int64_t cpu_milli;
    int64_t memory_mb;
} nm_unplaced_t;

/* None of them needs as much as another of the same service and image. */
typedef struct {
    nm_unplaced_t entries[NM_ROUND_UNPLACED_MAX];
    uint32_t count;
} nm_unplaced_list_t;

/* What a round knows of a service. */
typedef struct {
    const char *service; /* interned */
    bool mostly_unreserved;
    int64_t free_cpu_milli_max; /* of a worker, when the round began */
} nm_round_service_t;

/* A waiting step and the number of its tasks that workers are reserved for. */
typedef struct {
    nm_candidate_t candidate;
    uint32_t tasks;
} nm_ahead_t;

typedef struct {
    /*
     * Short tasks without a label, a limit per worker or an accelerator that
     * found no worker in this round.  Another one of the same service that
     * needs at least as much is skipped.
     */
    nm_unplaced_list_t unplaced;
    nm_unplaced_list_t unplaced_idle;   /* fillers of idle jobs */
    nm_unplaced_list_t unplaced_slowed; /* the same that start slowed */
    nm_unplaced_list_t without_room;    /* no worker will have room soon */
    /* Long-running tasks that no fillers can be stopped for, either. */
    nm_unplaced_list_t unplaced_long_running;
    nm_unplaced_list_t unplaced_overdue; /* the same, of overdue steps */
    nm_unplaced_list_t unreserved; /* no further worker to reserve for them */
    uint32_t reserved_nodes;       /* workers reserved for overdue steps */
    uint32_t held_nodes;           /* workers held for idle jobs */
    uint32_t gang_nodes;           /* workers held for gangs */
    nm_ahead_t ahead[NM_ROUND_AHEAD_MAX];
    uint32_t ahead_count;
    uint32_t ahead_steps; /* that looked for workers to reserve */
    uint32_t ahead_nodes; /* reserved for steps that are no gangs */
    bool ahead_gang;      /* workers are reserved for a gang */
    GArray *services;     /* of nm_round_service_t */
    /* Limit of starts in flight. */
    uint32_t starting_max;
    uint32_t idle_jobs;
    const nm_sched_job_t *longest_idle; /* NULL: none */
} nm_round_t;

/* A worker with room for a task of a step, and how well it suits it. */
typedef struct {
    nm_sched_node_t *node;
    double score;
    uint32_t starts; /* of tasks of the step, in this search */
} nm_found_node_t;

/*
 * Search of workers for all waiting tasks of a step.  The workers that fit are
 * scored once, and again only before they are used, so that a wide step does
 * not cost the comparison of many workers for each of its tasks.
 *
 *     nm_search_t search;
 *     nm_search_init(&search, sched, candidate);
 *     nm_sched_node_t *node = nm_search_find_node(&search, task, now_ms);
 *     nm_search_finish(&search);
 */
typedef struct {
    nm_sched_t *sched;
    const nm_candidate_t *candidate;
    GArray *found; /* of nm_found_node_t; a heap, the best first */
    guint found_max;
    guint position;  /* in the list of workers: the next one to visit */
    guint unvisited; /* workers */
} nm_search_t;

/* sched_order.c */
/*
 * Returns the waiting steps in the order in which they start, as an array of
 * nm_candidate_t to be freed with g_array_free.
 */
GArray *nm_order_candidates(nm_sched_t *sched, nm_round_t *round,
                            nm_ms_t now_ms);
/* Returns the entry of a service, valid until the next call. */
nm_round_service_t *nm_order_service(const nm_sched_t *sched,
                                     nm_round_t *round, const char *service,
                                     nm_ms_t now_ms);
/* True if an interrupted long-running step has waited too long. */
bool nm_step_is_overdue(const nm_occurrence_t *occurrence, uint32_t step,
                        nm_ms_t now_ms);

/* sched_cold.c */
/*
 * True unless a worker is cold and has had as many starts as it bears;
 * placement is repeated once it may take the next one.
 */
bool nm_cold_may_start(nm_sched_t *sched, const nm_sched_node_t *node,
                       const nm_candidate_t *candidate, nm_ms_t now_ms);

/* sched_choice.c */
/* True if a worker has room for a task of a step. */
bool nm_choice_fits(const nm_sched_node_t *node, const nm_step_t *step);
/* True if a worker may run tasks of a step, whether they fit or not. */
bool nm_choice_is_eligible(const nm_sched_node_t *node,
                           const nm_candidate_t *candidate,
                           const char *service, nm_ms_t now_ms);
bool nm_choice_is_held_for_other(const nm_sched_node_t *node,
                                 const nm_candidate_t *candidate,
                                 nm_ms_t now_ms);
/*
 * Returns NM_EXCLUSION_NONE and sets the score, higher is better, if a worker
 * can take a task; else the first reason for which it cannot.
 */
nm_exclusion_t nm_choice_score_node(nm_sched_t *sched,
                                    const nm_candidate_t *candidate,
                                    const nm_task_t *task,
                                    nm_sched_node_t *node, nm_ms_t now_ms,
                                    double *score);
/*
 * True if a worker has room for a suspect but the trial of another one; with
 * avoid_flapping, only workers that are not flapping count.
 */
bool nm_choice_waits_for_trial(const nm_sched_t *sched,
                               const nm_candidate_t *candidate,
                               const nm_task_t *task, bool avoid_flapping,
                               nm_ms_t now_ms);
/*
 * Returns the best of the first workers that a task fits on, from a random
 * position in the list; NULL if it fits nowhere.  A suspect rather waits for
 * another worker than to start on one that is flapping.
 */
nm_sched_node_t *nm_choice_find_node(nm_sched_t *sched,
                                     const nm_candidate_t *candidate,
                                     nm_task_t *task, nm_ms_t now_ms);
void nm_search_init(nm_search_t *search, nm_sched_t *sched,
                    const nm_candidate_t *candidate);
void nm_search_finish(nm_search_t *search);
/*
 * Returns the best worker found for a task of the step; NULL if it fits
 * nowhere.  The task is to be started there, or attached, before the next
 * call.
 */
nm_sched_node_t *nm_search_find_node(nm_search_t *search, nm_task_t *task,
                                     nm_ms_t now_ms);
/*
 * Starts a waiting task, with a run number of at least run; ends the holds for
 * its job, except for those of evictions.
 */
void nm_choice_start(nm_sched_t *sched, const nm_candidate_t *candidate,
                     nm_task_t *task, nm_sched_node_t *node, int64_t run,
                     nm_ms_t now_ms);

/* sched_room.c */
/*
 * Number of a step's tasks that fit once the short tasks that are expected to
 * end by a time have ended; NM_MS_NEVER for all short tasks.
 */
uint32_t nm_room_by(const nm_sched_node_t *node, const nm_step_t *step,
                    nm_ms_t end_ms);
/* Number of a step's tasks that fit once the fillers are stopped. */
uint32_t nm_room_after_fillers(const nm_sched_node_t *node,
                               const nm_step_t *step);
/*
 * Share of a task's requests that a worker has free, limited by the scarcest
 * of CPU and memory; negative if the task does not fit by end_ms.
 */
double nm_room_free_share(const nm_sched_node_t *node, const nm_step_t *step,
                          nm_ms_t end_ms);
/* True if a worker may be held for a step, whether tasks will fit or not. */
bool nm_room_may_hold(nm_sched_t *sched, const nm_candidate_t *candidate,
                      nm_sched_node_t *node, nm_ms_t now_ms);
/* Keeps what becomes free on a worker for a step. */
void nm_room_hold(nm_sched_node_t *node, const nm_candidate_t *candidate,
                  nm_hold_reason_t reason, nm_ms_t now_ms);
/* Number of workers that are held for a reason. */
uint32_t nm_room_count_held(const nm_sched_t *sched, nm_hold_reason_t reason,
                            nm_ms_t now_ms);
/*
 * Stops fillers whose memory so many tasks of a long-running step need, and
 * holds the worker for the step.  Returns false, and stops none, if that is
 * not enough.
 */
bool nm_room_evict_fillers(nm_sched_t *sched, const nm_candidate_t *candidate,
                           nm_sched_node_t *node, uint32_t count,
                           nm_ms_t now_ms);

/* sched_lookahead.c */
/*
 * Begins a round: renews the reservations of the steps that still wait, and
 * ends the others.
 */
void nm_lookahead_begin(nm_sched_t *sched, const GArray *candidates,
                        nm_round_t *round, nm_ms_t now_ms);
/* Number of a step's tasks that have reservations, as the round began. */
uint32_t nm_lookahead_count(const nm_round_t *round,
                            const nm_candidate_t *candidate);
/* Reserves workers for a step that fits nowhere now, if it qualifies. */
void nm_lookahead_reserve(nm_sched_t *sched, const nm_candidate_t *candidate,
                          nm_round_t *round, nm_ms_t now_ms);
/*
 * True if a task may start on a worker that is reserved for another step: it
 * leaves the room that is reserved, or is expected to end before.
 */
bool nm_lookahead_admits(const nm_sched_node_t *node,
                         const nm_candidate_t *candidate, nm_ms_t now_ms);

/* sched_gang.c */
/* Starts all tasks of a gang; returns false if there is no room for all. */
bool nm_gang_start(nm_sched_t *sched, const nm_candidate_t *candidate,
                   nm_ms_t now_ms);
/*
 * Makes room for all tasks of a gang: fillers are stopped for a long-running
 * one; workers are held for one that is overdue or of an idle job.
 */
void nm_gang_make_room(nm_sched_t *sched, const nm_candidate_t *candidate,
                       nm_round_t *round, nm_ms_t now_ms);

#endif
