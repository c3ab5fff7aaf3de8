#include "lib_kv_path.h"

typedef struct {
    fake_path_t *path;
    nm_kv_done_fn done;
    void *user;
    nm_kv_result_t result; /* while it is held; without items */
} path_call_t;

static void
on_path_result(void *user, const nm_kv_result_t *result)
{
    path_call_t *call = user;
    nm_kv_result_t cut = {.rc = NM_ERR_UNAVAILABLE};
    call->done(call->user, call->path->cut ? &cut : result);
    g_free(call);
}

static path_call_t *
path_call(nm_kv_t *kv, nm_kv_done_fn done, void *user)
{
    path_call_t *call = g_new(path_call_t, 1);
    *call =
        (path_call_t){.path = (fake_path_t *)kv, .done = done, .user = user};
    return call;
}

static nm_kv_t *
path_store(nm_kv_t *kv)
{
    return ((fake_path_t *)kv)->store;
}

static void
path_get(nm_kv_t *kv, const char *key, nm_kv_done_fn done, void *user)
{
    nm_kv_get(path_store(kv), key, on_path_result, path_call(kv, done, user));
}

static void
path_range(nm_kv_t *kv, const char *prefix, const char *after,
           nm_kv_done_fn done, void *user)
{
    nm_kv_range(path_store(kv), prefix, after, on_path_result,
                path_call(kv, done, user));
}

static void
path_watch(nm_kv_t *kv, const char *prefix, int64_t after_revision,
           nm_ms_t wait_ms, nm_kv_done_fn done, void *user)
{
    nm_kv_watch(path_store(kv), prefix, after_revision, wait_ms,
                on_path_result, path_call(kv, done, user));
}

static void
on_path_committed(void *user, const nm_kv_result_t *result)
{
    path_call_t *call = user;
    if (!call->path->holds_commits) {
        on_path_result(user, result);
        return;
    }
    call->result = *result;
    call->result.items = NULL;
    call->result.item_count = 0;
    g_queue_push_tail(&call->path->held, call);
}

void
fake_path_release(fake_path_t *path)
{
    path->holds_commits = false;
    path_call_t *call;
    while ((call = g_queue_pop_head(&path->held))) {
        on_path_result(call, &call->result);
    }
}

static void
path_commit(nm_kv_t *kv, const nm_store_txn_t *txn, nm_kv_done_fn done,
            void *user)
{
    if (((fake_path_t *)kv)->cut) {
        done(user, &(nm_kv_result_t){.rc = NM_ERR_UNAVAILABLE});
        return;
    }
    nm_kv_commit(path_store(kv), txn, on_path_committed,
                 path_call(kv, done, user));
}

static void
path_lease_grant(nm_kv_t *kv, nm_ms_t ttl_ms, nm_kv_done_fn done, void *user)
{
    nm_kv_lease_grant(path_store(kv), ttl_ms, on_path_result,
                      path_call(kv, done, user));
}

static void
path_lease_renew(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done, void *user)
{
    nm_kv_lease_renew(path_store(kv), lease, on_path_result,
                      path_call(kv, done, user));
}

static void
path_lease_end(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done, void *user)
{
    nm_kv_lease_end(path_store(kv), lease, on_path_result,
                    path_call(kv, done, user));
}

static const nm_kv_vtable_t path_vtable = {
    path_get,         path_range,       path_watch,     path_commit,
    path_lease_grant, path_lease_renew, path_lease_end,
};

nm_kv_t *
fake_path_init(fake_path_t *path, nm_kv_t *store)
{
    *path = (fake_path_t){.base = {&path_vtable}, .store = store};
    g_queue_init(&path->held);
    return &path->base;
}
