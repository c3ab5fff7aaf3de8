#include "lib_kv.h"

#include <string.h>

#include <glib.h>

/* The platform's client times out this long after a watch should respond. */
#define WATCH_MARGIN_MS 700

typedef enum {
    CALL_GET,
    CALL_RANGE,
    CALL_WATCH,
    CALL_COMMIT,
    CALL_GRANT,
    CALL_KEEPALIVE,
    CALL_REVOKE,
} call_type_t;

typedef struct {
    call_type_t type;
    char *key; /* or the prefix of a range or watch */
    int64_t revision;
    int64_t lease;
    nm_ms_t wait_ms;
    nm_ms_t sent_ms;       /* of a watch, if idle watches are answered */
    nm_ms_t timeout_at_ms; /* of a stalled watch; 0: not stalled */
    nm_store_txn_t txn;
    nm_kv_done_fn done;
    void *user;
} call_t;

struct fake_kv {
    nm_kv_t base;
    fake_kv_mode_t mode;
    const char *suppressed_prefix;
    const nm_clock_t *clock;      /* for the timeouts of stalled watches */
    const nm_clock_t *idle_clock; /* NULL: idle watches are not answered */
    int64_t revision;
    int64_t compacted; /* changes up to this revision are dropped */
    int64_t next_lease;
    GHashTable *leased; /* key -> lease */
    GTree *items;       /* key -> nm_store_kv_t */
    GPtrArray *events;  /* of nm_store_kv_t */
    GQueue calls;       /* open calls, of call_t */
    GQueue delayed;     /* commits that are not applied yet, of call_t */
};

static void
free_item(gpointer data)
{
    nm_store_kv_t *item = data;
    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static int
compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
    (void)user;
    return strcmp(a, b);
}

static nm_store_kv_t *
new_item(const char *key, const void *value, uint32_t bytes, int64_t revision)
{
    nm_store_kv_t *item = g_new0(nm_store_kv_t, 1);
    item->key = g_strdup(key);
    item->mod_revision = revision;
    if (value) {
        item->value = g_malloc(bytes + 1);
        memcpy(item->value, value, bytes);
        item->value[bytes] = '\0';
        item->value_bytes = bytes;
    }
    return item;
}

static void
apply_change(fake_kv_t *kv, const char *key, const void *value, uint32_t bytes)
{
    g_ptr_array_add(kv->events, new_item(key, value, bytes, kv->revision));
    if (value) {
        nm_store_kv_t *item = new_item(key, value, bytes, kv->revision);
        g_tree_replace(kv->items, item->key, item);
    }
    else {
        g_tree_remove(kv->items, key);
    }
}

static call_t *
add_call(nm_kv_t *base, call_type_t type, const char *key, nm_kv_done_fn done,
         void *user)
{
    fake_kv_t *kv = (fake_kv_t *)base;
    call_t *call = g_new0(call_t, 1);
    call->type = type;
    call->key = g_strdup(key);
    call->done = done;
    call->user = user;
    nm_store_txn_init(&call->txn);
    g_queue_push_tail(&kv->calls, call);
    return call;
}

static void
kv_get(nm_kv_t *kv, const char *key, nm_kv_done_fn done, void *user)
{
    add_call(kv, CALL_GET, key, done, user);
}

static void
kv_range(nm_kv_t *kv, const char *prefix, const char *after,
         nm_kv_done_fn done, void *user)
{
    (void)after;
    add_call(kv, CALL_RANGE, prefix, done, user);
}

static void
kv_watch(nm_kv_t *base, const char *prefix, int64_t after_revision,
         nm_ms_t wait_ms, nm_kv_done_fn done, void *user)
{
    fake_kv_t *kv = (fake_kv_t *)base;
    call_t *call = add_call(base, CALL_WATCH, prefix, done, user);
    call->revision = after_revision;
    call->wait_ms = wait_ms;
    call->sent_ms = kv->idle_clock ? nm_clock_now(kv->idle_clock) : 0;
}

static void
kv_commit(nm_kv_t *kv, const nm_store_txn_t *txn, nm_kv_done_fn done,
          void *user)
{
    call_t *call = add_call(kv, CALL_COMMIT, "", done, user);
    for (uint32_t i = 0; i < txn->compare_count; i++) {
        nm_store_txn_expect(&call->txn, txn->compares[i].key,
                            txn->compares[i].mod_revision);
    }
    for (uint32_t i = 0; i < txn->then_count; i++) {
        const nm_store_op_t *op = &txn->then_ops[i];
        if (op->type == NM_STORE_OP_PUT) {
            nm_store_txn_put(&call->txn, op->key, op->value, op->value_bytes,
                             op->lease_id);
        }
        else {
            nm_store_txn_delete(&call->txn, op->key, false);
        }
    }
}

static void
kv_lease_grant(nm_kv_t *kv, nm_ms_t ttl_ms, nm_kv_done_fn done, void *user)
{
    (void)ttl_ms;
    add_call(kv, CALL_GRANT, "", done, user);
}

static void
kv_lease_keepalive(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done, void *user)
{
    add_call(kv, CALL_KEEPALIVE, "", done, user)->lease = lease;
}

static void
kv_lease_revoke(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done, void *user)
{
    add_call(kv, CALL_REVOKE, "", done, user)->lease = lease;
}

static const nm_kv_vtable_t vtable = {
    .get = kv_get,
    .range = kv_range,
    .watch = kv_watch,
    .commit = kv_commit,
    .lease_grant = kv_lease_grant,
    .lease_keepalive = kv_lease_keepalive,
    .lease_revoke = kv_lease_revoke,
};

fake_kv_t *
fake_kv_new(void)
{
    fake_kv_t *kv = g_new0(fake_kv_t, 1);
    kv->base.vtable = &vtable;
    kv->revision = 1;
    kv->leased =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    kv->items = g_tree_new_full(compare_keys, NULL, NULL, free_item);
    kv->events = g_ptr_array_new_with_free_func(free_item);
    g_queue_init(&kv->calls);
    g_queue_init(&kv->delayed);
    return kv;
}

static void
free_call(call_t *call)
{
    nm_store_txn_finish(&call->txn);
    g_free(call->key);
    g_free(call);
}

void
fake_kv_free(fake_kv_t *kv)
{
    g_queue_clear_full(&kv->calls, (GDestroyNotify)free_call);
    g_queue_clear_full(&kv->delayed, (GDestroyNotify)free_call);
    g_hash_table_destroy(kv->leased);
    g_tree_destroy(kv->items);
    g_ptr_array_free(kv->events, TRUE);
    g_free(kv);
}

nm_kv_t *
fake_kv_port(fake_kv_t *kv)
{
    return &kv->base;
}

void
fake_kv_set_mode(fake_kv_t *kv, fake_kv_mode_t mode)
{
    kv->mode = mode;
}

void
fake_kv_put(fake_kv_t *kv, const char *key, const char *value)
{
    kv->revision++;
    apply_change(kv, key, value, value ? (uint32_t)strlen(value) : 0);
}

void
fake_kv_put_bytes(fake_kv_t *kv, const char *key, const void *value,
                  uint32_t bytes)
{
    kv->revision++;
    apply_change(kv, key, value, bytes);
}

const char *
fake_kv_value(const fake_kv_t *kv, const char *key)
{
    const nm_store_kv_t *item = g_tree_lookup(kv->items, key);
    return item ? (const char *)item->value : NULL;
}

void
fake_kv_end_calls(fake_kv_t *kv)
{
    nm_kv_result_t unavailable = {.rc = NM_ERR_UNAVAILABLE};
    for (guint remaining = kv->calls.length; remaining > 0; remaining--) {
        call_t *call = g_queue_pop_head(&kv->calls);
        call->done(call->user, &unavailable);
        free_call(call);
    }
}

void
fake_kv_suppress_watches(fake_kv_t *kv, const char *prefix)
{
    kv->suppressed_prefix = prefix;
}

void
fake_kv_answer_idle_watches(fake_kv_t *kv, const nm_clock_t *clock)
{
    kv->idle_clock = clock;
}

void
fake_kv_stall_watches(fake_kv_t *kv, const char *prefix,
                      const nm_clock_t *clock)
{
    kv->clock = clock;
    for (GList *l = kv->calls.head; l; l = l->next) {
        call_t *call = l->data;
        if (call->type == CALL_WATCH && strcmp(call->key, prefix) == 0) {
            call->timeout_at_ms =
                nm_clock_now(clock) + call->wait_ms + WATCH_MARGIN_MS;
        }
    }
}

static int apply_txn(fake_kv_t *kv, const nm_store_txn_t *txn);

void
fake_kv_apply_delayed(fake_kv_t *kv)
{
    call_t *call;
    while ((call = g_queue_pop_head(&kv->delayed))) {
        apply_txn(kv, &call->txn);
        free_call(call);
    }
}

void
fake_kv_compact(fake_kv_t *kv)
{
    kv->compacted = kv->revision;
}

typedef struct {
    const char *prefix;
    GArray *items;
} listing_t;

static gboolean
list_item(gpointer key, gpointer value, gpointer user)
{
    listing_t *listing = user;
    if (g_str_has_prefix(key, listing->prefix)) {
        g_array_append_vals(listing->items, value, 1);
    }
    return FALSE;
}

static int64_t
key_revision(const fake_kv_t *kv, const char *key)
{
    const nm_store_kv_t *item = g_tree_lookup(kv->items, key);
    return item ? item->mod_revision : 0;
}

static int
apply_txn(fake_kv_t *kv, const nm_store_txn_t *txn)
{
    for (uint32_t i = 0; i < txn->compare_count; i++) {
        if (key_revision(kv, txn->compares[i].key) !=
            txn->compares[i].mod_revision) {
            return NM_ERR_CONFLICT;
        }
    }
    kv->revision++;
    for (uint32_t i = 0; i < txn->then_count; i++) {
        const nm_store_op_t *op = &txn->then_ops[i];
        bool put = op->type == NM_STORE_OP_PUT;
        apply_change(kv, op->key, put ? op->value : NULL, op->value_bytes);
        g_hash_table_remove(kv->leased, op->key);
        if (put && op->lease_id != 0) {
            g_hash_table_insert(
                kv->leased, g_strdup(op->key),
                g_memdup2(&op->lease_id, sizeof(op->lease_id)));
        }
    }
    return NM_OK;
}

static void
list_compared_keys(const fake_kv_t *kv, const nm_store_txn_t *txn,
                   GArray *items)
{
    for (uint32_t i = 0; i < txn->compare_count; i++) {
        const nm_store_kv_t *item =
            g_tree_lookup(kv->items, txn->compares[i].key);
        if (item) {
            g_array_append_vals(items, item, 1);
        }
    }
}

static void
revoke_lease(fake_kv_t *kv, int64_t lease)
{
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, kv->leased);
    kv->revision++;
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        if (*(int64_t *)value == lease) {
            apply_change(kv, key, NULL, 0);
            g_hash_table_iter_remove(&iter);
        }
    }
}

/* Responds to a call; returns false if it has to wait. */
static bool
respond(fake_kv_t *kv, call_t *call)
{
    nm_kv_result_t result = {.revision = kv->revision};
    GArray *items = g_array_new(FALSE, FALSE, sizeof(nm_store_kv_t));
    listing_t listing = {call->key, items};
    bool waits = false;
    if (kv->mode == FAKE_KV_REJECTS_CALLS) {
        result.rc = NM_ERR_UNAVAILABLE;
    }
    else if (call->timeout_at_ms > 0) {
        waits = nm_clock_now(kv->clock) < call->timeout_at_ms;
        result.rc = NM_ERR_UNAVAILABLE;
    }
    else if (call->type == CALL_GET) {
        const nm_store_kv_t *item = g_tree_lookup(kv->items, call->key);
        result.rc = item ? NM_OK : NM_ERR_NOT_FOUND;
        if (item) {
            g_array_append_vals(items, item, 1);
        }
    }
    else if (call->type == CALL_RANGE) {
        g_tree_foreach(kv->items, list_item, &listing);
    }
    else if (call->type == CALL_WATCH && call->revision < kv->compacted) {
        result.rc = NM_ERR_COMPACTED;
    }
    else if (call->type == CALL_WATCH) {
        for (guint i = 0; i < kv->events->len; i++) {
            const nm_store_kv_t *event = kv->events->pdata[i];
            if (event->mod_revision > call->revision &&
                g_str_has_prefix(event->key, call->key))
            {
                g_array_append_vals(items, event, 1);
            }
        }
        bool suppressed = kv->suppressed_prefix &&
                          strcmp(kv->suppressed_prefix, call->key) == 0;
        bool idle =
            kv->idle_clock &&
            nm_clock_now(kv->idle_clock) - call->sent_ms >= call->wait_ms;
        waits = suppressed || (items->len == 0 && !idle);
    }
    else if (call->type == CALL_COMMIT && kv->mode == FAKE_KV_DELAYS_COMMITS) {
        result.rc = NM_ERR_LOST;
    }
    else if (call->type == CALL_COMMIT) {
        result.rc = apply_txn(kv, &call->txn);
        result.revision = kv->revision;
        if (result.rc == NM_ERR_CONFLICT) {
            list_compared_keys(kv, &call->txn, items);
        }
        if (kv->mode == FAKE_KV_LOSES_COMMIT_RESULTS) {
            result.rc = NM_ERR_LOST;
        }
    }
    else if (call->type == CALL_REVOKE) {
        revoke_lease(kv, call->lease);
    }
    else if (call->type == CALL_GRANT) {
        result.lease = ++kv->next_lease;
    }
    result.items = (const nm_store_kv_t *)items->data;
    result.item_count = items->len;
    if (!waits) {
        call->done(call->user, &result);
    }
    g_array_free(items, TRUE);
    return !waits;
}

void
fake_kv_run(fake_kv_t *kv)
{
    if (kv->mode == FAKE_KV_UNRESPONSIVE) {
        return;
    }
    GQueue calls = kv->calls;
    g_queue_init(&kv->calls);
    call_t *call;
    while ((call = g_queue_pop_head(&calls))) {
        bool delayed =
            kv->mode == FAKE_KV_DELAYS_COMMITS && call->type == CALL_COMMIT;
        if (respond(kv, call)) {
            if (delayed) {
                g_queue_push_tail(&kv->delayed, call);
            }
            else {
                free_call(call);
            }
        }
        else {
            g_queue_push_tail(&kv->calls, call);
        }
    }
}
