#include <nutmegdeck/store.h>

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include <nutmegdeck/reason.h>

void
nm_store_txn_init(nm_store_txn_t *txn)
{
    assert(txn);
    *txn = (nm_store_txn_t){0};
}

static void
finish_ops(nm_store_op_t *ops, uint32_t count)
{
    for (uint32_t i = 0; i < count; i++) {
        g_free(ops[i].key);
        g_free(ops[i].value);
    }
    g_free(ops);
}

void
nm_store_txn_finish(nm_store_txn_t *txn)
{
    assert(txn);
    for (uint32_t i = 0; i < txn->compare_count; i++) {
        g_free(txn->compares[i].key);
    }
    g_free(txn->compares);
    finish_ops(txn->then_ops, txn->then_count);
    finish_ops(txn->else_ops, txn->else_count);
    *txn = (nm_store_txn_t){0};
}

static nm_store_op_t *
add_op(nm_store_op_t **ops, uint32_t *count, nm_store_op_type_t type,
       const char *key, bool prefix)
{
    *ops = g_renew(nm_store_op_t, *ops, *count + 1);
    nm_store_op_t *op = &(*ops)[(*count)++];
    *op = (nm_store_op_t){
        .type = type,
        .prefix = prefix,
        .key = g_strdup(key),
    };
    return op;
}

void
nm_store_txn_expect(nm_store_txn_t *txn, const char *key, int64_t mod_revision)
{
    assert(txn && key);
    txn->compares =
        g_renew(nm_store_compare_t, txn->compares, txn->compare_count + 1);
    txn->compares[txn->compare_count++] = (nm_store_compare_t){
        .key = g_strdup(key),
        .mod_revision = mod_revision,
    };
}

void
nm_store_txn_put(nm_store_txn_t *txn, const char *key, const void *value,
                 uint32_t value_bytes, int64_t lease_id)
{
    assert(txn && key && (value || value_bytes == 0));
    nm_store_op_t *op =
        add_op(&txn->then_ops, &txn->then_count, NM_STORE_OP_PUT, key, false);
    op->value = g_memdup2(value, value_bytes);
    op->value_bytes = value_bytes;
    op->lease_id = lease_id;
}

void
nm_store_txn_delete(nm_store_txn_t *txn, const char *key, bool prefix)
{
    assert(txn && key);
    add_op(&txn->then_ops, &txn->then_count, NM_STORE_OP_DELETE, key, prefix);
}

void
nm_store_txn_range(nm_store_txn_t *txn, const char *key, bool prefix)
{
    assert(txn && key);
    add_op(&txn->then_ops, &txn->then_count, NM_STORE_OP_RANGE, key, prefix);
}

void
nm_store_txn_else_range(nm_store_txn_t *txn, const char *key, bool prefix)
{
    assert(txn && key);
    add_op(&txn->else_ops, &txn->else_count, NM_STORE_OP_RANGE, key, prefix);
}

void
nm_store_result_add(nm_store_result_t *result, const char *key,
                    const void *value, uint32_t value_bytes,
                    int64_t mod_revision)
{
    assert(result && key);
    result->kvs = g_renew(nm_store_kv_t, result->kvs, result->kv_count + 1);
    uint8_t *copy = g_malloc(value_bytes + 1);
    if (value_bytes > 0) {
        memcpy(copy, value, value_bytes);
    }
    copy[value_bytes] = 0;
    result->kvs[result->kv_count++] = (nm_store_kv_t){
        .key = g_strdup(key),
        .value = copy,
        .value_bytes = value_bytes,
        .mod_revision = mod_revision,
    };
}

void
nm_store_result_finish(nm_store_result_t *result)
{
    assert(result);
    for (uint32_t i = 0; i < result->kv_count; i++) {
        g_free(result->kvs[i].key);
        g_free(result->kvs[i].value);
    }
    g_free(result->kvs);
    *result = (nm_store_result_t){0};
}

const nm_store_kv_t *
nm_store_result_find(const nm_store_result_t *result, const char *key)
{
    assert(result && key);
    for (uint32_t i = 0; i < result->kv_count; i++) {
        if (strcmp(result->kvs[i].key, key) == 0) {
            return &result->kvs[i];
        }
    }
    return NULL;
}

static int
check_txn(const nm_store_txn_t *txn)
{
    if (txn->compare_count > NM_STORE_TXN_OPS_MAX ||
        txn->then_count > NM_STORE_TXN_OPS_MAX ||
        txn->else_count > NM_STORE_TXN_OPS_MAX)
    {
        return NM_ERR_TOO_LARGE;
    }
    for (uint32_t i = 0; i < txn->then_count; i++) {
        if (txn->then_ops[i].value_bytes > NM_STORE_VALUE_MAX_BYTES) {
            return NM_ERR_TOO_LARGE;
        }
    }
    return NM_OK;
}

static int
count_result(int rc)
{
    nm_count(NM_COUNTER_STORE_CALLS, 1);
    if (rc == NM_ERR_UNAVAILABLE) {
        nm_count_reason(NM_REASON_STORE_UNAVAILABLE);
    }
    else if (rc == NM_ERR_LOST) {
        nm_count_reason(NM_REASON_STORE_LOST);
    }
    return rc;
}

int
nm_store_commit(nm_store_t *store, const nm_store_txn_t *txn,
                nm_store_result_t *result)
{
    assert(store && txn && result);
    *result = (nm_store_result_t){0};
    int rc = check_txn(txn);
    if (rc < 0) {
        return rc;
    }
    rc = count_result(store->vtable->commit(store, txn, result));
    if (rc == NM_OK && !result->succeeded) {
        nm_count_reason(NM_REASON_STORE_CONFLICT);
    }
    return rc;
}

int
nm_store_lease_grant(nm_store_t *store, int64_t ttl_s, int64_t *lease_id)
{
    assert(store && ttl_s > 0 && lease_id);
    return count_result(store->vtable->lease_grant(store, ttl_s, lease_id));
}

int
nm_store_lease_keepalive(nm_store_t *store, int64_t lease_id)
{
    assert(store && lease_id);
    return count_result(store->vtable->lease_keepalive(store, lease_id));
}

int
nm_store_lease_revoke(nm_store_t *store, int64_t lease_id)
{
    assert(store && lease_id);
    return count_result(store->vtable->lease_revoke(store, lease_id));
}

int
nm_store_watch(nm_store_t *store, const char *prefix, int64_t from_revision,
               nm_ms_t wait_ms, nm_store_event_fn on_event, void *user)
{
    assert(store && prefix && on_event);
    return count_result(store->vtable->watch(store, prefix, from_revision,
                                             wait_ms, on_event, user));
}
