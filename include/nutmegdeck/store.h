/*
 * Blocking client of the platform's key-value store.
 *
 * A store offers transactions with compare-and-swap, leases and watches.
 * All calls block, so they are made from I/O threads only; src/kv.h declares
 * an asynchronous port.  A call that returns NM_ERR_UNAVAILABLE had no
 * effect.  After NM_ERR_LOST the change may have been applied: a caller that
 * has to know writes a token in the transaction and reads it back.
 *
 *     nm_store_memory_t memory;
 *     nm_store_t *store = nm_store_memory_init(&memory);
 *     nm_store_txn_t txn;
 *     nm_store_txn_init(&txn);
 *     nm_store_txn_expect(&txn, "a", 0);
 *     nm_store_txn_put(&txn, "a", "1", 1, 0);
 *     nm_store_result_t result;
 *     int rc = nm_store_commit(store, &txn, &result);
 *     nm_store_result_finish(&result);
 *     nm_store_txn_finish(&txn);
 *     nm_store_memory_finish(&memory);
 */
#ifndef NUTMEGDECK_STORE_H
#define NUTMEGDECK_STORE_H

#include <pthread.h>

#include <nutmegdeck/base.h>

/* Largest value that a transaction may put. */
#define NM_STORE_VALUE_MAX_BYTES (1024 * 1024)
/* Maximum length of each of a transaction's three lists. */
#define NM_STORE_TXN_OPS_MAX 128
/* Size of a buffer for a key, with its terminating zero. */
#define NM_STORE_KEY_MAX_BYTES 256

typedef enum {
    NM_STORE_OP_PUT,
    NM_STORE_OP_DELETE,
    NM_STORE_OP_RANGE,
} nm_store_op_type_t;

typedef struct {
    nm_store_op_type_t type;
    bool prefix; /* delete and range: all keys that start with key */
    char *key;
    uint8_t *value;
    uint32_t value_bytes;
    int64_t lease_id; /* 0: none */
} nm_store_op_t;

/* Condition of a transaction: a key's current modification revision. */
typedef struct {
    char *key;
    int64_t mod_revision; /* 0: the key must be absent */
} nm_store_compare_t;

/*
 * A transaction: then_ops are executed if all compares succeed, else_ops
 * otherwise.  Owns its memory.
 */
typedef struct {
    nm_store_compare_t *compares;
    uint32_t compare_count;
    nm_store_op_t *then_ops;
    uint32_t then_count;
    nm_store_op_t *else_ops;
    uint32_t else_count;
} nm_store_txn_t;

typedef struct {
    char *key;
    uint8_t *value; /* terminated by an extra zero byte; NULL if deleted */
    uint32_t value_bytes;
    int64_t mod_revision;
} nm_store_kv_t;

/* Keys and values that the executed range operations read, in order. */
typedef struct {
    bool succeeded;   /* all compares succeeded */
    int64_t revision; /* of the store after the transaction */
    nm_store_kv_t *kvs;
    uint32_t kv_count;
} nm_store_result_t;

/* Receives each change of a watch; returns false to end the watch. */
typedef bool (*nm_store_event_fn)(void *user, const nm_store_kv_t *kv);

typedef struct nm_store nm_store_t;

typedef struct {
    int (*commit)(nm_store_t *store, const nm_store_txn_t *txn,
                  nm_store_result_t *result);
    int (*lease_grant)(nm_store_t *store, int64_t ttl_s, int64_t *lease_id);
    int (*lease_keepalive)(nm_store_t *store, int64_t lease_id);
    int (*lease_revoke)(nm_store_t *store, int64_t lease_id);
    int (*watch)(nm_store_t *store, const char *prefix, int64_t from_revision,
                 nm_ms_t wait_ms, nm_store_event_fn on_event, void *user);
} nm_store_vtable_t;

struct nm_store {
    const nm_store_vtable_t *vtable;
};

void nm_store_txn_init(nm_store_txn_t *txn);
void nm_store_txn_finish(nm_store_txn_t *txn);
void nm_store_txn_expect(nm_store_txn_t *txn, const char *key,
                         int64_t mod_revision);
void nm_store_txn_put(nm_store_txn_t *txn, const char *key, const void *value,
                      uint32_t value_bytes, int64_t lease_id);
void nm_store_txn_delete(nm_store_txn_t *txn, const char *key, bool prefix);
void nm_store_txn_range(nm_store_txn_t *txn, const char *key, bool prefix);
/* Adds a read that is executed if a compare fails. */
void nm_store_txn_else_range(nm_store_txn_t *txn, const char *key,
                             bool prefix);

/* Appends copies of a key and its value to a result. */
void nm_store_result_add(nm_store_result_t *result, const char *key,
                         const void *value, uint32_t value_bytes,
                         int64_t mod_revision);
void nm_store_result_finish(nm_store_result_t *result);
/* Returns the entry for a key, or NULL. */
const nm_store_kv_t *nm_store_result_find(const nm_store_result_t *result,
                                          const char *key);

/*
 * Commits a transaction.  Returns NM_OK also if a compare failed: see
 * result->succeeded.  Returns NM_ERR_TOO_LARGE if a list exceeds
 * NM_STORE_TXN_OPS_MAX or a value NM_STORE_VALUE_MAX_BYTES.  The caller
 * calls nm_store_result_finish after an error as well.
 */
int nm_store_commit(nm_store_t *store, const nm_store_txn_t *txn,
                    nm_store_result_t *result);
int nm_store_lease_grant(nm_store_t *store, int64_t ttl_s, int64_t *lease_id);
/* Returns NM_ERR_NOT_FOUND if the lease has expired. */
int nm_store_lease_keepalive(nm_store_t *store, int64_t lease_id);
int nm_store_lease_revoke(nm_store_t *store, int64_t lease_id);
/*
 * Delivers the changes of keys that start with prefix, from from_revision
 * on.  Returns NM_OK once wait_ms passed without a change or on_event
 * returned false, and NM_ERR_COMPACTED if the store no longer has the
 * changes since from_revision.
 */
int nm_store_watch(nm_store_t *store, const char *prefix,
                   int64_t from_revision, nm_ms_t wait_ms,
                   nm_store_event_fn on_event, void *user);

/* In-process store, for tests and for --store=memory:. */
typedef struct nm_store_memory {
    nm_store_t base;
    pthread_mutex_t mutex;
    pthread_cond_t changed;
    int64_t revision;
    int64_t compacted_revision;
    int64_t next_lease_id;
    void *private_state;
} nm_store_memory_t;

nm_store_t *nm_store_memory_init(nm_store_memory_t *memory);
void nm_store_memory_finish(nm_store_memory_t *memory);
/*
 * Discards the history up to and including a revision, as the platform's
 * store does after some time.
 */
void nm_store_memory_compact(nm_store_memory_t *memory, int64_t revision);
/*
 * Removes the leases that expire by now_ms, and their keys.  Each commit
 * does so for the current time.
 */
void nm_store_memory_expire(nm_store_memory_t *memory, nm_ms_t now_ms);

/* etcd v3 JSON gateway client. */
typedef struct {
    const char *url;    /* such as http://10.0.0.5:2379 */
    nm_ms_t timeout_ms; /* of one call; 0: 2000 */
} nm_store_etcd_desc_t;

typedef struct {
    nm_store_t base;
    char url[256];
    nm_ms_t timeout_ms;
} nm_store_etcd_t;

nm_store_t *nm_store_etcd_init(nm_store_etcd_t *etcd,
                               const nm_store_etcd_desc_t *desc);
void nm_store_etcd_finish(nm_store_etcd_t *etcd);

#endif
