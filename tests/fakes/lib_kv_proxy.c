#include "lib_kv_proxy.h"

/* Timeout of the platform's client. */
#define CALL_TIMEOUT_MS 1500

typedef struct {
    fake_kv_proxy_t *proxy;
    nm_kv_done_fn done;
    void *user;
    nm_kv_result_t result; /* of a commit that is held back; without items */
    int64_t lease;         /* of a renewal that is held back */
    nm_ms_t due_ms;
} proxy_call_t;

static void
on_proxy_result(void *user, const nm_kv_result_t *result)
{
    proxy_call_t *call = user;
    nm_kv_result_t unavailable = {.rc = NM_ERR_UNAVAILABLE};
    call->done(call->user, call->proxy->disconnected ? &unavailable : result);
    g_free(call);
}

static proxy_call_t *
new_proxy_call(nm_kv_t *kv, nm_kv_done_fn done, void *user)
{
    proxy_call_t *call = g_new(proxy_call_t, 1);
    *call = (proxy_call_t){
        .proxy = (fake_kv_proxy_t *)kv, .done = done, .user = user};
    return call;
}

static nm_kv_t *
proxy_store(nm_kv_t *kv)
{
    return ((fake_kv_proxy_t *)kv)->store;
}

static void
proxy_get(nm_kv_t *kv, const char *key, nm_kv_done_fn done, void *user)
{
    nm_kv_get(proxy_store(kv), key, on_proxy_result,
              new_proxy_call(kv, done, user));
}

static void
proxy_range(nm_kv_t *kv, const char *prefix, const char *after,
            nm_kv_done_fn done, void *user)
{
    nm_kv_range(proxy_store(kv), prefix, after, on_proxy_result,
                new_proxy_call(kv, done, user));
}

static void
proxy_watch(nm_kv_t *kv, const char *prefix, int64_t after_revision,
            nm_ms_t wait_ms, nm_kv_done_fn done, void *user)
{
    nm_kv_watch(proxy_store(kv), prefix, after_revision, wait_ms,
                on_proxy_result, new_proxy_call(kv, done, user));
}

static void
on_proxy_committed(void *user, const nm_kv_result_t *result)
{
    proxy_call_t *call = user;
    if (!call->proxy->holds_commit_results) {
        on_proxy_result(user, result);
        return;
    }
    call->result = *result;
    call->result.items = NULL;
    call->result.item_count = 0;
    g_queue_push_tail(&call->proxy->held_results, call);
}

void
fake_kv_proxy_release_results(fake_kv_proxy_t *proxy)
{
    proxy->holds_commit_results = false;
    proxy_call_t *call;
    while ((call = g_queue_pop_head(&proxy->held_results))) {
        on_proxy_result(call, &call->result);
    }
}

static void
proxy_commit(nm_kv_t *kv, const nm_store_txn_t *txn, nm_kv_done_fn done,
             void *user)
{
    if (((fake_kv_proxy_t *)kv)->disconnected) {
        done(user, &(nm_kv_result_t){.rc = NM_ERR_UNAVAILABLE});
        return;
    }
    nm_kv_commit(proxy_store(kv), txn, on_proxy_committed,
                 new_proxy_call(kv, done, user));
}

static void
proxy_lease_grant(nm_kv_t *kv, nm_ms_t ttl_ms, nm_kv_done_fn done, void *user)
{
    nm_kv_lease_grant(proxy_store(kv), ttl_ms, on_proxy_result,
                      new_proxy_call(kv, done, user));
}

static void
proxy_lease_keepalive(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done,
                      void *user)
{
    fake_kv_proxy_t *proxy = (fake_kv_proxy_t *)kv;
    proxy_call_t *call = new_proxy_call(kv, done, user);
    if (proxy->silent_connections > 0) {
        proxy->silent_connections--;
        call->due_ms = nm_clock_now(proxy->clock) + CALL_TIMEOUT_MS;
        g_queue_push_tail(&proxy->silent_renewals, call);
        return;
    }
    if (proxy->renewal_delay_ms == 0) {
        if (proxy->clock) {
            proxy->renewed_ms = nm_clock_now(proxy->clock);
        }
        nm_kv_lease_keepalive(proxy->store, lease, on_proxy_result, call);
        return;
    }
    call->lease = lease;
    call->due_ms = nm_clock_now(proxy->clock) + proxy->renewal_delay_ms;
    g_queue_push_tail(&proxy->held_renewals, call);
}

void
fake_kv_proxy_run(fake_kv_proxy_t *proxy)
{
    proxy_call_t *call;
    while ((call = g_queue_peek_head(&proxy->silent_renewals)) &&
           nm_clock_now(proxy->clock) >= call->due_ms)
    {
        g_queue_pop_head(&proxy->silent_renewals);
        on_proxy_result(call, &(nm_kv_result_t){.rc = NM_ERR_LOST});
    }
    while ((call = g_queue_peek_head(&proxy->held_renewals)) &&
           nm_clock_now(proxy->clock) >= call->due_ms)
    {
        g_queue_pop_head(&proxy->held_renewals);
        nm_kv_lease_keepalive(proxy->store, call->lease, on_proxy_result,
                              call);
    }
}

static void
proxy_lease_revoke(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done, void *user)
{
    nm_kv_lease_revoke(proxy_store(kv), lease, on_proxy_result,
                       new_proxy_call(kv, done, user));
}

static const nm_kv_vtable_t proxy_vtable = {
    proxy_get,         proxy_range,           proxy_watch,        proxy_commit,
    proxy_lease_grant, proxy_lease_keepalive, proxy_lease_revoke,
};

nm_kv_t *
fake_kv_proxy_init(fake_kv_proxy_t *proxy, nm_kv_t *store)
{
    *proxy = (fake_kv_proxy_t){.base = {&proxy_vtable}, .store = store};
    g_queue_init(&proxy->held_results);
    g_queue_init(&proxy->held_renewals);
    g_queue_init(&proxy->silent_renewals);
    return &proxy->base;
}
