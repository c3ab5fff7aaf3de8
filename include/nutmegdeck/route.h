/*
 * Request routing: queues, executor choice, retries, hedges and limits.
 *
 * A decision module without I/O: the traffic thread reports arrivals and
 * attempt outcomes with the time, and carries out the actions returned.
 *
 * Load: more requests than the granted slots can run, and executors that
 * are slow, leave or fail.  Requests without a free slot are queued up to a
 * limit, forwarded to another data centre or refused.  Failing targets are
 * ejected for a time.  Retries and hedges draw on budgets, so that they do
 * not add to an overload.
 *
 *     nm_route_t route;
 *     nm_route_init(&route, &(nm_route_desc_t){.seed = 1});
 *     nm_route_update_service(&route, 0, &service);
 *     nm_route_update_target(&route, &target, now_ms);
 *     nm_request_t request;
 *     nm_route_submit(&route, &arrival, now_ms, &request);
 *     nm_route_action_t action;
 *     while (nm_route_next_action(&route, &action)) { ... }
 *     nm_route_finish(&route);
 */
#ifndef NUTMEGDECK_ROUTE_H
#define NUTMEGDECK_ROUTE_H

#include <nutmegdeck/reason.h>

/* Handles: index + 1 in the low half, generation in the high half; 0: none. */
typedef uint64_t nm_request_t;
typedef uint64_t nm_attempt_t;

/*
 * Nothing is sent in the last milliseconds of a grant, because the send itself
 * takes time.
 */
#define NM_ROUTE_GRANT_GUARD_MS 200
/* A request with this many attempts, hedges included, is not retried. */
#define NM_ROUTE_ATTEMPTS_MAX 4
/*
 * An executor abandons a request at the latest this long after the request's
 * deadline.  The slot of an attempt without an outcome is free then.
 */
#define NM_ROUTE_DETACH_MARGIN_MS 1000

/* Rules for choosing an executor; PREDICTED is the default. */
typedef enum {
    NM_ROUTE_POLICY_PREDICTED, /* least predicted latency */
    /* Baselines for comparison. */
    NM_ROUTE_POLICY_LEAST_OUTSTANDING,
    NM_ROUTE_POLICY_ROUND_ROBIN,
    NM_ROUTE_POLICY_RANDOM,
} nm_route_policy_t;

typedef struct {
    uint64_t seed;
    nm_route_policy_t policy;
    uint32_t requests_max; /* requests held at once; 0: 16384 */
} nm_route_desc_t;

/* A service's limits, from the settings tree. */
typedef struct {
    nm_ms_t timeout_ms;
    nm_ms_t attempt_timeout_ms; /* 0: only the deadline counts */
    uint32_t queue_limit;
    uint32_t retry_budget_pct;
    uint32_t hedge_budget_pct;
} nm_route_service_t;

typedef enum {
    NM_TARGET_EXECUTOR,
    NM_TARGET_PEER_SAME_REGION, /* entry host of another data centre */
    NM_TARGET_PEER_OTHER_REGION,
} nm_target_type_t;

/*
 * An executor with the slots granted to this entry host, or an entry host of
 * another data centre.
 */
typedef struct {
    uint64_t id; /* stable identity, not 0 */
    nm_target_type_t type;
    uint32_t service;       /* executors only */
    uint32_t granted_slots; /* for peers: concurrent forwards */
    nm_ms_t grant_expires_ms;
    bool leaving;
    float slowdown; /* predicted slowdown by batch work; 1.0: none */
} nm_route_target_t;

typedef struct {
    uint32_t service;
    bool idempotent;
    bool forwarded;         /* by another entry host; not forwarded again */
    nm_ms_t deadline_ms;    /* 0, or later than the service's timeout: that */
    uint32_t request_bytes; /* request size, charged to a region link */
    void *user;             /* returned in actions */
} nm_route_arrival_t;

typedef enum {
    NM_OUTCOME_RESPONDED,   /* a complete response, none of the cases below */
    NM_OUTCOME_NOT_RUN,     /* refused with the verdict not-run */
    NM_OUTCOME_REFUSED,     /* the connection was refused */
    NM_OUTCOME_UNAVAILABLE, /* status 503; it may have run */
    NM_OUTCOME_RESET,       /* the connection broke; it may have run */
    NM_OUTCOME_TRUNCATED,   /* the response was incomplete */
    NM_OUTCOME_TOO_LARGE,   /* the response exceeded the size limit */
    NM_OUTCOME_NOT_SENT,    /* nothing was sent, for a cause on this host */
} nm_outcome_t;

typedef enum {
    NM_ROUTE_SEND,    /* send the request to the target */
    NM_ROUTE_RESPOND, /* pass the attempt's response on; ends the request */
    NM_ROUTE_REFUSE,  /* respond with reason and verdict; ends the request */
    NM_ROUTE_CLOSE,   /* close the attempt's connection; ends the attempt */
} nm_route_action_type_t;

typedef struct {
    nm_route_action_type_t type;
    nm_request_t request;
    nm_attempt_t attempt;
    uint64_t target_id;
    nm_target_type_t target_type;
    bool fresh_connection; /* a reused one could send the request twice */
    nm_ms_t timeout_ms;    /* time left for the response */
    nm_reason_t reason;
    nm_verdict_t verdict;
    nm_ms_t retry_after_ms;
    void *user;
} nm_route_action_t;

typedef struct {
    uint32_t queued;
    uint32_t in_flight; /* executors' attempts, also of ended requests */
    uint32_t demand;    /* slots in use or wanted, smoothed */
    uint32_t granted;   /* slots */
    double latency_p50_ms;
    double latency_p95_ms;
    double latency_p99_ms;
} nm_route_info_t;

typedef struct nm_route {
    struct nm_route_state *state;
} nm_route_t;

int nm_route_init(nm_route_t *route, const nm_route_desc_t *desc);
void nm_route_finish(nm_route_t *route);

/* Sets a service's limits.  The caller assigns the indexes, from 0. */
void nm_route_update_service(nm_route_t *route, uint32_t service,
                             const nm_route_service_t *limits);
/* Adds a target, or changes the one with its id. */
void nm_route_update_target(nm_route_t *route, const nm_route_target_t *target,
                            nm_ms_t now_ms);
/* Stops new attempts at targets not updated since the last call. */
void nm_route_sweep_targets(nm_route_t *route);
/*
 * Sets the bytes a second that requests to other regions, and their responses,
 * may use.
 */
void nm_route_set_link_rate(nm_route_t *route, uint64_t bytes_per_s);
/* Refuses all later arrivals with the reason stopping. */
void nm_route_stop(nm_route_t *route);

/*
 * Accepts a request; its end is always reported by a RESPOND or REFUSE
 * action.  Returns NM_ERR_FULL, without an action, if requests_max requests
 * are held.
 */
int nm_route_submit(nm_route_t *route, const nm_route_arrival_t *arrival,
                    nm_ms_t now_ms, nm_request_t *request);
/*
 * Charges an attempt's response to the region link if it came over one.
 * Call it before nm_route_attempt_done().
 */
void nm_route_charge_response(nm_route_t *route, nm_attempt_t attempt,
                              uint32_t bytes);
/*
 * Reports that an attempt ended and its connection is idle or closed.
 * An outcome for a request that has already ended causes no action for it.
 */
void nm_route_attempt_done(nm_route_t *route, nm_attempt_t attempt,
                           nm_outcome_t outcome, nm_ms_t now_ms);
/*
 * Reports that the caller disconnected.  A REFUSE action ends the request
 * immediately; its attempts keep their slots.
 */
void nm_route_cancel(nm_route_t *route, nm_request_t request, nm_ms_t now_ms);
/*
 * Begins a round, which a tick ends: a stall of this host itself since then is
 * no part of the age of attempts.  Their slots and deadlines stay as they are.
 */
void nm_route_begin_round(nm_route_t *route, nm_ms_t now_ms);
/* Runs timeouts, backoffs, hedges and queues; call it every 5 to 20 ms. */
void nm_route_tick(nm_route_t *route, nm_ms_t now_ms);
bool nm_route_next_action(nm_route_t *route, nm_route_action_t *action);
/* Checks, directly before a send, that the grant covers the attempt. */
bool nm_route_may_send(const nm_route_t *route, nm_attempt_t attempt,
                       nm_ms_t now_ms);

nm_route_info_t nm_route_query_service(const nm_route_t *route,
                                       uint32_t service);
/* Attempts in flight at a target, including those of ended requests. */
uint32_t nm_route_query_in_flight(const nm_route_t *route, uint64_t target_id);
/* Number of requests that have not ended. */
uint32_t nm_route_query_active(const nm_route_t *route);

#endif
