/* In-process store with transactions, leases, watches and compaction. */
#include <nutmegdeck/store.h>

#include <assert.h>
#include <errno.h>
#include <string.h>
#include <time.h>

#include <glib.h>

/* Number of events kept; older ones are compacted. */
#define HISTORY_EVENTS_MAX 4096

typedef struct {
    uint8_t *value;
    uint32_t value_bytes;
    int64_t mod_revision;
    int64_t lease_id;
} entry_t;

typedef struct {
    char *key;
    uint8_t *value; /* NULL: deleted */
    uint32_t value_bytes;
    int64_t revision;
} event_t;

typedef struct {
    int64_t id;
    int64_t ttl_ms;
    nm_ms_t expires_ms;
} lease_t;

typedef struct {
    GTree *entries; /* key to entry_t */
    GQueue events;  /* of event_t, oldest first */
    GArray *leases; /* of lease_t */
    nm_clock_t clock;
} private_t;

static nm_store_memory_t *
as_memory(nm_store_t *store)
{
    return (nm_store_memory_t *)store;
}

static private_t *
get_private(nm_store_memory_t *memory)
{
    return memory->private_state;
}

static void
free_entry(void *data)
{
    entry_t *entry = data;
    g_free(entry->value);
    g_free(entry);
}

static void
free_event(void *data)
{
    event_t *event = data;
    g_free(event->key);
    g_free(event->value);
    g_free(event);
}

static int
compare_keys(const void *a, const void *b, void *user)
{
    (void)user;
    return strcmp(a, b);
}

static void
record_event(nm_store_memory_t *memory, const char *key, const uint8_t *value,
             uint32_t value_bytes)
{
    private_t *priv = get_private(memory);
    event_t *event = g_new0(event_t, 1);
    event->key = g_strdup(key);
    if (value) {
        event->value = g_malloc(value_bytes + 1);
        memcpy(event->value, value, value_bytes);
        event->value[value_bytes] = 0;
    }
    event->value_bytes = value_bytes;
    event->revision = memory->revision;
    g_queue_push_tail(&priv->events, event);
    while (g_queue_get_length(&priv->events) > HISTORY_EVENTS_MAX) {
        event_t *oldest = g_queue_pop_head(&priv->events);
        memory->compacted_revision = oldest->revision;
        free_event(oldest);
    }
}

/* Returns the keys that equal key or, with prefix set, start with it. */
static GPtrArray *
collect_keys(private_t *priv, const char *key, bool prefix)
{
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    GTreeNode *node = g_tree_lower_bound(priv->entries, key);
    for (; node; node = g_tree_node_next(node)) {
        const char *candidate = g_tree_node_key(node);
        bool match = prefix ? g_str_has_prefix(candidate, key)
                            : strcmp(candidate, key) == 0;
        if (!match) {
            break;
        }
        g_ptr_array_add(keys, g_strdup(candidate));
    }
    return keys;
}

static void
apply_op(nm_store_memory_t *memory, const nm_store_op_t *op,
         nm_store_result_t *result)
{
    private_t *priv = get_private(memory);
    if (op->type == NM_STORE_OP_PUT) {
        entry_t *entry = g_new0(entry_t, 1);
        entry->value = g_memdup2(op->value, op->value_bytes);
        entry->value_bytes = op->value_bytes;
        entry->mod_revision = memory->revision;
        entry->lease_id = op->lease_id;
        g_tree_replace(priv->entries, g_strdup(op->key), entry);
        record_event(memory, op->key,
                     op->value ? op->value : (const uint8_t *)"",
                     op->value_bytes);
        return;
    }
    GPtrArray *keys = collect_keys(priv, op->key, op->prefix);
    for (uint32_t i = 0; i < keys->len; i++) {
        const char *key = keys->pdata[i];
        if (op->type == NM_STORE_OP_DELETE) {
            g_tree_remove(priv->entries, key);
            record_event(memory, key, NULL, 0);
            continue;
        }
        entry_t *entry = g_tree_lookup(priv->entries, key);
        nm_store_result_add(result, key, entry->value, entry->value_bytes,
                            entry->mod_revision);
    }
    g_ptr_array_free(keys, TRUE);
}

static bool
compares_succeed(private_t *priv, const nm_store_txn_t *txn)
{
    for (uint32_t i = 0; i < txn->compare_count; i++) {
        const nm_store_compare_t *compare = &txn->compares[i];
        entry_t *entry = g_tree_lookup(priv->entries, compare->key);
        int64_t revision = entry ? entry->mod_revision : 0;
        if (revision != compare->mod_revision) {
            return false;
        }
    }
    return true;
}

static bool
has_write_op(const nm_store_op_t *ops, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        if (ops[i].type != NM_STORE_OP_RANGE) {
            return true;
        }
    }
    return false;
}

static void expire_leases(nm_store_memory_t *memory, nm_ms_t now_ms);

static int
memory_commit(nm_store_t *store, const nm_store_txn_t *txn,
              nm_store_result_t *result)
{
    nm_store_memory_t *memory = as_memory(store);
    private_t *priv = get_private(memory);
    pthread_mutex_lock(&memory->mutex);
    expire_leases(memory, nm_clock_now(&priv->clock));
    result->succeeded = compares_succeed(priv, txn);
    const nm_store_op_t *ops =
        result->succeeded ? txn->then_ops : txn->else_ops;
    uint32_t count = result->succeeded ? txn->then_count : txn->else_count;
    bool writes = has_write_op(ops, count);
    if (writes) {
        memory->revision++;
    }
    for (uint32_t i = 0; i < count; i++) {
        apply_op(memory, &ops[i], result);
    }
    result->revision = memory->revision;
    if (writes) {
        pthread_cond_broadcast(&memory->changed);
    }
    pthread_mutex_unlock(&memory->mutex);
    return NM_OK;
}

static lease_t *
find_lease(private_t *priv, int64_t lease_id)
{
    for (uint32_t i = 0; i < priv->leases->len; i++) {
        lease_t *lease = &g_array_index(priv->leases, lease_t, i);
        if (lease->id == lease_id) {
            return lease;
        }
    }
    return NULL;
}

static int
memory_lease_grant(nm_store_t *store, int64_t ttl_s, int64_t *lease_id)
{
    nm_store_memory_t *memory = as_memory(store);
    private_t *priv = get_private(memory);
    pthread_mutex_lock(&memory->mutex);
    lease_t lease = {
        .id = ++memory->next_lease_id,
        .ttl_ms = ttl_s * 1000,
        .expires_ms = nm_clock_now(&priv->clock) + ttl_s * 1000,
    };
    g_array_append_val(priv->leases, lease);
    *lease_id = lease.id;
    pthread_mutex_unlock(&memory->mutex);
    return NM_OK;
}

static int
memory_lease_keepalive(nm_store_t *store, int64_t lease_id)
{
    nm_store_memory_t *memory = as_memory(store);
    private_t *priv = get_private(memory);
    pthread_mutex_lock(&memory->mutex);
    lease_t *lease = find_lease(priv, lease_id);
    if (lease) {
        lease->expires_ms = nm_clock_now(&priv->clock) + lease->ttl_ms;
    }
    pthread_mutex_unlock(&memory->mutex);
    return lease ? NM_OK : NM_ERR_NOT_FOUND;
}

static int
collect_leased(void *key, void *value, void *user)
{
    void **context = user;
    entry_t *entry = value;
    if (entry->lease_id == *(int64_t *)context[0]) {
        g_ptr_array_add(context[1], g_strdup(key));
    }
    return FALSE;
}

static void
remove_leased_keys(nm_store_memory_t *memory, int64_t lease_id)
{
    private_t *priv = get_private(memory);
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    void *context[] = {&lease_id, keys};
    g_tree_foreach(priv->entries, collect_leased, context);
    memory->revision++;
    for (uint32_t i = 0; i < keys->len; i++) {
        g_tree_remove(priv->entries, keys->pdata[i]);
        record_event(memory, keys->pdata[i], NULL, 0);
    }
    g_ptr_array_free(keys, TRUE);
    pthread_cond_broadcast(&memory->changed);
}

/* Removes expired leases and their keys.  The caller holds the mutex. */
static void
expire_leases(nm_store_memory_t *memory, nm_ms_t now_ms)
{
    private_t *priv = get_private(memory);
    for (uint32_t i = 0; i < priv->leases->len;) {
        lease_t lease = g_array_index(priv->leases, lease_t, i);
        if (lease.expires_ms > now_ms) {
            i++;
            continue;
        }
        remove_leased_keys(memory, lease.id);
        g_array_remove_index_fast(priv->leases, i);
    }
}

void
nm_store_memory_expire(nm_store_memory_t *memory, nm_ms_t now_ms)
{
    assert(memory);
    pthread_mutex_lock(&memory->mutex);
    expire_leases(memory, now_ms);
    pthread_mutex_unlock(&memory->mutex);
}

static int
memory_lease_revoke(nm_store_t *store, int64_t lease_id)
{
    nm_store_memory_t *memory = as_memory(store);
    private_t *priv = get_private(memory);
    int rc = NM_ERR_NOT_FOUND;
    pthread_mutex_lock(&memory->mutex);
    for (uint32_t i = 0; i < priv->leases->len; i++) {
        if (g_array_index(priv->leases, lease_t, i).id == lease_id) {
            remove_leased_keys(memory, lease_id);
            g_array_remove_index_fast(priv->leases, i);
            rc = NM_OK;
            break;
        }
    }
    pthread_mutex_unlock(&memory->mutex);
    return rc;
}

/*
 * Copies the first event at or after a revision whose key starts with a
 * prefix, leaving out the first skip_count such events.
 */
static event_t *
next_event(private_t *priv, const char *prefix, int64_t from_revision,
           uint32_t skip_count)
{
    for (GList *link = priv->events.head; link; link = link->next) {
        event_t *event = link->data;
        if (event->revision < from_revision ||
            !g_str_has_prefix(event->key, prefix)) {
            continue;
        }
        if (skip_count > 0) {
            skip_count--;
            continue;
        }
        event_t *copy = g_new0(event_t, 1);
        *copy = *event;
        copy->key = g_strdup(event->key);
        copy->value = event->value
                          ? g_memdup2(event->value, event->value_bytes + 1)
                          : NULL;
        return copy;
    }
    return NULL;
}

static bool
wait_for_change(nm_store_memory_t *memory, nm_ms_t wait_ms)
{
    struct timespec deadline;
    clock_gettime(CLOCK_REALTIME, &deadline);
    deadline.tv_sec += wait_ms / 1000;
    deadline.tv_nsec += (wait_ms % 1000) * 1000000;
    if (deadline.tv_nsec >= 1000000000) {
        deadline.tv_sec++;
        deadline.tv_nsec -= 1000000000;
    }
    return pthread_cond_timedwait(&memory->changed, &memory->mutex,
                                  &deadline) != ETIMEDOUT;
}

static int
memory_watch(nm_store_t *store, const char *prefix, int64_t from_revision,
             nm_ms_t wait_ms, nm_store_event_fn on_event, void *user)
{
    nm_store_memory_t *memory = as_memory(store);
    private_t *priv = get_private(memory);
    int64_t cursor = from_revision;
    uint32_t delivered_at_cursor = 0;
    pthread_mutex_lock(&memory->mutex);
    if (from_revision <= memory->compacted_revision) {
        pthread_mutex_unlock(&memory->mutex);
        return NM_ERR_COMPACTED;
    }
    for (;;) {
        event_t *event = next_event(priv, prefix, cursor, delivered_at_cursor);
        if (!event) {
            if (wait_ms <= 0 || !wait_for_change(memory, wait_ms)) {
                break;
            }
            continue;
        }
        if (event->revision > cursor) {
            cursor = event->revision;
            delivered_at_cursor = 0;
        }
        delivered_at_cursor++;
        pthread_mutex_unlock(&memory->mutex);
        nm_store_kv_t kv = {
            .key = event->key,
            .value = event->value,
            .value_bytes = event->value_bytes,
            .mod_revision = event->revision,
        };
        bool keep_watching = on_event(user, &kv);
        free_event(event);
        pthread_mutex_lock(&memory->mutex);
        if (!keep_watching) {
            break;
        }
    }
    pthread_mutex_unlock(&memory->mutex);
    return NM_OK;
}

static const nm_store_vtable_t memory_vtable = {
    .commit = memory_commit,
    .lease_grant = memory_lease_grant,
    .lease_keepalive = memory_lease_keepalive,
    .lease_revoke = memory_lease_revoke,
    .watch = memory_watch,
};

nm_store_t *
nm_store_memory_init(nm_store_memory_t *memory)
{
    assert(memory);
    *memory = (nm_store_memory_t){.base.vtable = &memory_vtable};
    pthread_mutex_init(&memory->mutex, NULL);
    pthread_cond_init(&memory->changed, NULL);
    private_t *priv = g_new0(private_t, 1);
    priv->entries = g_tree_new_full(compare_keys, NULL, g_free, free_entry);
    g_queue_init(&priv->events);
    priv->leases = g_array_new(FALSE, FALSE, sizeof(lease_t));
    nm_clock_init_monotonic(&priv->clock);
    memory->private_state = priv;
    return &memory->base;
}

void
nm_store_memory_finish(nm_store_memory_t *memory)
{
    assert(memory);
    private_t *priv = get_private(memory);
    g_tree_unref(priv->entries);
    g_queue_clear_full(&priv->events, free_event);
    g_array_free(priv->leases, TRUE);
    g_free(priv);
    pthread_cond_destroy(&memory->changed);
    pthread_mutex_destroy(&memory->mutex);
}

void
nm_store_memory_compact(nm_store_memory_t *memory, int64_t revision)
{
    assert(memory);
    private_t *priv = get_private(memory);
    pthread_mutex_lock(&memory->mutex);
    event_t *event;
    while ((event = g_queue_peek_head(&priv->events)) &&
           event->revision <= revision)
    {
        free_event(g_queue_pop_head(&priv->events));
    }
    if (revision > memory->compacted_revision) {
        memory->compacted_revision = revision;
    }
    pthread_mutex_unlock(&memory->mutex);
}
