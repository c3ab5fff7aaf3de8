/*
 * Asynchronous port to a key-value store with transactions, leases and
 * watches.  Calls are made on one thread, and their done callbacks run on
 * the same thread.  A result is valid during its callback only.
 *
 * Codes in nm_kv_result_t.rc:
 *
 *     NM_OK               the call succeeded
 *     NM_ERR_UNAVAILABLE  the call had no effect
 *     NM_ERR_LOST         no response: the change may have been applied, or
 *                         may still be applied later
 *     NM_ERR_CONFLICT     a compare failed; items holds the compared keys
 *     NM_ERR_NOT_FOUND    the key or the lease does not exist
 *     NM_ERR_COMPACTED    the store no longer has the requested history
 *     NM_ERR_CORRUPT      the response is malformed
 *     NM_ERR_INVAL        the store rejected the request as invalid
 *
 *     nm_kv_range(kv, "jobs/", "", on_jobs, user);
 */
#ifndef NM_KV_H
#define NM_KV_H

#include <nutmegdeck/store.h>

/* How a call went; zero if the store does not tell. */
typedef struct {
    const char *failure;   /* static text; NULL: there is a response */
    int status;            /* of the response; 0: none */
    uint64_t bytes;        /* received */
    uint64_t total_bytes;  /* of the whole response; 0: not known */
    nm_ms_t connect_ms;    /* until a new connection was open */
    nm_ms_t first_byte_ms; /* until the response began; 0: it did not */
    nm_ms_t decode_ms;
} nm_kv_transfer_t;

typedef struct {
    int rc;
    int64_t revision; /* of the store or, after a commit, of its change */
    /* Newest that a response had shown when the call was sent; 0: unknown. */
    int64_t known_revision;
    const nm_store_kv_t *items; /* value NULL: the key was deleted */
    uint32_t item_count;
    bool more;     /* the range has keys after the last item */
    int64_t lease; /* lease_grant: id of the new lease */
    nm_kv_transfer_t transfer;
} nm_kv_result_t;

typedef void (*nm_kv_done_fn)(void *user, const nm_kv_result_t *result);

typedef struct nm_kv nm_kv_t;

typedef struct {
    void (*get)(nm_kv_t *kv, const char *key, nm_kv_done_fn done, void *user);
    void (*range)(nm_kv_t *kv, const char *prefix, const char *after,
                  nm_kv_done_fn done, void *user);
    void (*watch)(nm_kv_t *kv, const char *prefix, int64_t after_revision,
                  nm_ms_t wait_ms, nm_kv_done_fn done, void *user);
    void (*commit)(nm_kv_t *kv, const nm_store_txn_t *txn, nm_kv_done_fn done,
                   void *user);
    void (*lease_grant)(nm_kv_t *kv, nm_ms_t ttl_ms, nm_kv_done_fn done,
                        void *user);
    void (*lease_keepalive)(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done,
                            void *user);
    void (*lease_revoke)(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done,
                         void *user);
} nm_kv_vtable_t;

struct nm_kv {
    const nm_kv_vtable_t *vtable;
};

/* Maximum number of operations in one transaction. */
#define NM_KV_TXN_MAX 32

static inline void
nm_kv_get(nm_kv_t *kv, const char *key, nm_kv_done_fn done, void *user)
{
    kv->vtable->get(kv, key, done, user);
}

/* Lists one page of the keys that start with prefix and sort after `after`. */
static inline void
nm_kv_range(nm_kv_t *kv, const char *prefix, const char *after,
            nm_kv_done_fn done, void *user)
{
    kv->vtable->range(kv, prefix, after, done, user);
}

/*
 * Completes with the first changes after a revision, not necessarily with all
 * that the store has, or without items once wait_ms passed without a change.
 */
static inline void
nm_kv_watch(nm_kv_t *kv, const char *prefix, int64_t after_revision,
            nm_ms_t wait_ms, nm_kv_done_fn done, void *user)
{
    kv->vtable->watch(kv, prefix, after_revision, wait_ms, done, user);
}

/* txn may contain compares, and puts and deletions of single keys, only. */
static inline void
nm_kv_commit(nm_kv_t *kv, const nm_store_txn_t *txn, nm_kv_done_fn done,
             void *user)
{
    kv->vtable->commit(kv, txn, done, user);
}

static inline void
nm_kv_lease_grant(nm_kv_t *kv, nm_ms_t ttl_ms, nm_kv_done_fn done, void *user)
{
    kv->vtable->lease_grant(kv, ttl_ms, done, user);
}

static inline void
nm_kv_lease_keepalive(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done,
                      void *user)
{
    kv->vtable->lease_keepalive(kv, lease, done, user);
}

static inline void
nm_kv_lease_revoke(nm_kv_t *kv, int64_t lease, nm_kv_done_fn done, void *user)
{
    kv->vtable->lease_revoke(kv, lease, done, user);
}

#endif
