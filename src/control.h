/*
 * The control thread of an entry host.
 *
 * It installs settings revisions, exchanges heartbeats with the other entry
 * hosts, takes part in the election of its data centre's owner, obtains slot
 * grants and publishes the snapshot by which the traffic thread routes.
 * While its host is the owner, it also runs the shard and issues the grants.
 *
 * Worker replies, peer messages and results from the store wake the thread,
 * which otherwise waits 5 ms between iterations.  Up to 256 synchronisations
 * with workers are in flight at once.
 *
 *     nm_control_t *control = nm_control_new(&desc);
 *     nm_control_leave(control);
 *     nm_control_free(control);
 */
#ifndef NM_CONTROL_H
#define NM_CONTROL_H

#include "config.h"
#include "hosts.h"
#include "ops.h"
#include "peer_port.h"
#include "settings_feed.h"
#include "shard_store.h"
#include "traffic.h"
#include "worker_port.h"

/* Every pointer must stay valid until nm_control_free(). */
typedef struct {
    const nm_config_t *config;
    const nm_clock_t *clock;
    uint64_t incarnation; /* identity of this process; not 0 */
    nm_store_t *store;
    nm_peer_port_t *peers;
    nm_worker_port_t *workers;
    nm_hosts_t *hosts;
    nm_traffic_t *traffic;
    nm_ops_t *ops;
} nm_control_desc_t;

typedef struct nm_control nm_control_t;

nm_control_t *nm_control_new(const nm_control_desc_t *desc);
/*
 * Begins the shutdown: the host reports not ready, resigns as owner and
 * releases its grants.
 */
void nm_control_leave(nm_control_t *control);
void nm_control_free(nm_control_t *control);

#endif
