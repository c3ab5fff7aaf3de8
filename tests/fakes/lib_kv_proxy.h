/*
 * A host's proxy to an in-process store.  It can be disconnected, so that all
 * calls fail and commits have no effect, and it can hold back the results of
 * commits, or renewals of leases for a time, while other calls continue.
 * Renewals can also be sent on connections that have gone silent.
 *
 *     fake_kv_proxy_t proxy;
 *     host.kv = fake_kv_proxy_init(&proxy, fake_kv_port(kv));
 *     proxy.disconnected = true;
 */
#ifndef FAKE_LIB_KV_PROXY_H
#define FAKE_LIB_KV_PROXY_H

#include <glib.h>

#include "../../src/kv.h"

typedef struct {
    nm_kv_t base;
    nm_kv_t *store;
    bool disconnected;
    bool holds_commit_results;
    GQueue held_results;     /* of calls whose commit has ended */
    const nm_clock_t *clock; /* of the host; for renewals */
    nm_ms_t renewal_delay_ms;
    GQueue held_renewals;        /* of calls, oldest first */
    uint32_t silent_connections; /* each takes one renewal, which times out */
    GQueue silent_renewals;      /* of calls, oldest first */
    nm_ms_t renewed_ms;          /* newest renewal that was passed on */
} fake_kv_proxy_t;

nm_kv_t *fake_kv_proxy_init(fake_kv_proxy_t *proxy, nm_kv_t *store);
/* Delivers the results that were held back, and holds back no more. */
void fake_kv_proxy_release_results(fake_kv_proxy_t *proxy);
/* Passes on renewals that were held back for long enough, or fails them. */
void fake_kv_proxy_run(fake_kv_proxy_t *proxy);

#endif
