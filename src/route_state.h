/*
 * State shared by the parts of the route module.
 *
 * Internal to the route module.  route.c queues requests and sends and ends
 * attempts, route_pool.c allocates requests and attempts and resolves their
 * handles, route_target.c chooses and ejects targets, route_timers.c runs
 * timeouts, backoffs and hedges.
 */
#ifndef NM_ROUTE_STATE_H
#define NM_ROUTE_STATE_H

#include <glib.h>

#include <nutmegdeck/route.h>

#include "token_bucket.h"
#include "histogram.h"
#include "route_target.h"

#define NO_INDEX UINT32_MAX
#define LIVE_ATTEMPTS_MAX 2 /* concurrent attempts of one request */
/*
 * After n attempts, a retry waits for a random time of at most 2^n times this.
 * A retry that then finds no free slot and must not be queued waits this long.
 */
#define BACKOFF_INITIAL_MS 4

typedef enum {
    REQUEST_FREE,
    REQUEST_QUEUED,
    REQUEST_RUNNING,
    REQUEST_BACKOFF,
} request_state_t;

typedef struct {
    uint32_t generation;
    request_state_t state;
    nm_route_arrival_t arrival;
    nm_ms_t arrived_ms;
    nm_ms_t retry_at_ms;
    uint32_t attempt_count;
    nm_attempt_t live_attempts[LIVE_ATTEMPTS_MAX];
    int32_t last_target;
    bool hedged;          /* a hedge was tried; there is at most one */
    nm_verdict_t verdict; /* worst case over the attempts so far */
    uint32_t next;        /* in the service's queue, or the free list */
    uint32_t active_position;
} request_t;

typedef struct {
    uint32_t generation;
    nm_request_t request; /* 0: the request ended first */
    uint32_t service;
    int32_t target;
    nm_ms_t sent_ms;
    nm_ms_t slot_release_ms; /* executor abandoned the request by then */
    bool timed_out;
    bool in_use;
    uint32_t next_free;
    uint32_t active_position;
} attempt_t;

typedef struct {
    nm_route_service_t limits;
    nm_target_group_t group;
    uint32_t queue_head;
    uint32_t queue_tail;
    uint32_t queued;
    uint32_t in_flight;
    nm_token_bucket_t retry_budget;
    nm_token_bucket_t hedge_budget;
    nm_histogram_t latency;
    double latency_p50_ms;
    double latency_p95_ms;
    double completions_per_ms; /* smoothed */
    uint32_t completed_in_window;
    uint32_t refused_in_window;
    double demand; /* slots in use or wanted, smoothed */
} service_t;

/* Indexes of the pool entries in use, in any order. */
typedef struct {
    uint32_t *items;
    uint32_t count;
} active_set_t;

struct nm_route_state {
    nm_route_policy_t policy;
    nm_rng_t rng;
    bool stopping;
    request_t *requests;
    uint32_t request_count;
    uint32_t free_request;
    active_set_t active_requests;
    attempt_t *attempts;
    uint32_t attempt_count;
    uint32_t free_attempt;
    active_set_t active_attempts;
    service_t *services;
    uint32_t service_count;
    nm_target_table_t target_table;
    nm_target_group_t peers_same_region;
    nm_target_group_t peers_other_region;
    nm_token_bucket_t link_budget;
    double link_bytes_per_ms;
    nm_ms_t window_start_ms;
    nm_ms_t last_tick_ms;
    GQueue actions; /* of nm_route_action_t */
};

typedef struct nm_route_state state_t;

/* Pools; an alloc function returns NULL if every entry is in use. */
request_t *nm_route_find_request(state_t *state, nm_request_t handle);
attempt_t *nm_route_find_attempt(const state_t *state, nm_attempt_t handle);
nm_request_t nm_route_request_handle(const state_t *state,
                                     const request_t *request);
nm_attempt_t nm_route_attempt_handle(const state_t *state,
                                     const attempt_t *attempt);
request_t *nm_route_alloc_request(state_t *state);
void nm_route_free_request(state_t *state, request_t *request);
attempt_t *nm_route_alloc_attempt(state_t *state);
void nm_route_free_attempt(state_t *state, attempt_t *attempt);

/* Functions shared by the source files */
nm_route_action_t *nm_route_push_action(state_t *state,
                                        nm_route_action_type_t type);
void nm_route_refuse(state_t *state, request_t *request, nm_reason_t reason);
bool nm_route_send_to_executor(state_t *state, request_t *request,
                               nm_ms_t now_ms);
bool nm_route_forward(state_t *state, request_t *request, nm_reason_t *reason,
                      nm_ms_t now_ms);
uint32_t nm_route_granted_slots(const state_t *state, const service_t *service,
                                nm_ms_t now_ms);
bool nm_route_can_meet_deadline(const service_t *service,
                                const request_t *request, double wait_ms,
                                nm_ms_t now_ms);
void nm_route_dispatch_queue(state_t *state, service_t *service,
                             nm_ms_t now_ms);
void nm_route_dispatch(state_t *state, request_t *request, nm_ms_t now_ms);
bool nm_route_schedule_retry(state_t *state, request_t *request,
                             nm_reason_t reason, nm_ms_t now_ms);
void nm_route_release_slot(state_t *state, attempt_t *attempt);
nm_target_group_t *nm_route_target_group(state_t *state,
                                         const attempt_t *attempt);
bool nm_route_has_live_attempt(const request_t *request);

#endif
