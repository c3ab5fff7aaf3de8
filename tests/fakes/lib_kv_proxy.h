/*
 * A host's proxy to an in-process store: it can be disconnected, and answers
 * to commits can be held back while watches go on.
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
    bool holds_commit_results; /* their answers wait, while watches go on */
    GQueue held_results;       /* of calls */
} fake_kv_proxy_t;

nm_kv_t *fake_kv_proxy_init(fake_kv_proxy_t *proxy, nm_kv_t *store);
/* Gives the answers that were held back. */
void fake_kv_proxy_release_results(fake_kv_proxy_t *proxy);

#endif
