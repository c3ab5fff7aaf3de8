/*
 * The traffic thread: takes exchanges from the listener, routes them, talks to
 * executors and hands the exchanges back with their answers.
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
    void (*on_done)(nm_exchange_t *exchange); /* from the traffic thread */
} nm_traffic_desc_t;

typedef struct nm_traffic nm_traffic_t;

nm_traffic_t *nm_traffic_new(const nm_traffic_desc_t *desc);
/* Sets the claims; call it once, before the first submit. */
void nm_traffic_set_claims(nm_traffic_t *traffic, nm_claims_t *claims);
/* Ends the thread.  Call it after a stop has completed. */
void nm_traffic_free(nm_traffic_t *traffic);
/* Takes over a new snapshot.  From the control thread. */
void nm_traffic_publish(nm_traffic_t *traffic,
                        nm_traffic_snapshot_t *snapshot);
/* Newest report, or NULL; the caller frees it.  From the control thread. */
nm_traffic_report_t *nm_traffic_take_report(nm_traffic_t *traffic);
/* Takes over an exchange.  From any thread; false if there is no room. */
bool nm_traffic_submit(nm_traffic_t *traffic, nm_exchange_t *exchange);
/* Refuses new requests from now on. */
void nm_traffic_stop(nm_traffic_t *traffic);
/* Exchanges that have not been handed back. */
uint32_t nm_traffic_query_active(nm_traffic_t *traffic);
/* Makes the thread look at its inputs.  user is the traffic thread. */
void nm_traffic_wake(void *user);

#endif
