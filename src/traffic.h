/*
 * The traffic thread: takes exchanges from the listener, routes them, sends
 * them to executors and returns the exchanges with their responses.
 *
 * Load: callers' requests from all listener threads, through a ring of 16384
 * entries; a request that finds it full is refused.
 *
 *     nm_traffic_t *traffic = nm_traffic_new(&desc);
 *     nm_traffic_publish(traffic, snapshot);
 *     nm_traffic_submit(traffic, exchange);
 *     nm_traffic_stop(traffic);
 *     nm_traffic_free(traffic);
 */
#ifndef NM_TRAFFIC_H
#define NM_TRAFFIC_H

#include "claims.h"
#include "upstream.h"
#include "traffic_snapshot.h"

typedef struct {
    const nm_clock_t *clock;
    nm_upstream_t *upstream;
    nm_claims_t *claims;
    uint64_t seed;
    nm_route_policy_t policy;
    void (*on_done)(nm_exchange_t *exchange); /* in the traffic thread */
} nm_traffic_desc_t;

typedef struct nm_traffic nm_traffic_t;

nm_traffic_t *nm_traffic_new(const nm_traffic_desc_t *desc);
/*
 * Sets the claims, whose wake function needs the traffic thread.  Call it
 * once, before the first submit.
 */
void nm_traffic_set_claims(nm_traffic_t *traffic, nm_claims_t *claims);
/* Ends the thread.  Call it after a stop, when no exchange is active. */
void nm_traffic_free(nm_traffic_t *traffic);
/* True if a service of the newest snapshot has the path.  Thread-safe. */
bool nm_traffic_has_service(nm_traffic_t *traffic, const char *target);
/* Takes ownership of a new snapshot.  For the control thread. */
void nm_traffic_publish(nm_traffic_t *traffic,
                        nm_traffic_snapshot_t *snapshot);
/* Newest report, or NULL; the caller frees it.  For the control thread. */
nm_traffic_report_t *nm_traffic_take_report(nm_traffic_t *traffic);
/* Takes ownership of an exchange, from any thread; false: ring full. */
bool nm_traffic_submit(nm_traffic_t *traffic, nm_exchange_t *exchange);
/* Refuses new requests from now on. */
void nm_traffic_stop(nm_traffic_t *traffic);
/* Number of exchanges that were not yet passed to on_done. */
uint32_t nm_traffic_query_active(nm_traffic_t *traffic);
/* Wakes the thread to process its inputs.  user is an nm_traffic_t. */
void nm_traffic_wake(void *user);

#endif
