/*
 * Asynchronous port to a key-value store with transactions, leases and
 * watches.  All calls are made from, and answered on, one thread.
 *
 * rc of a result: NM_OK; NM_ERR_UNAVAILABLE (certainly nothing was done);
 * NM_ERR_LOST (no answer; it may have been done or be done later);
 * NM_ERR_CONFLICT (a compare failed; items are those compared);
 * NM_ERR_NOT_FOUND (no such key or lease); NM_ERR_COMPACTED (that history
 * is gone); NM_ERR_CORRUPT (an answer that cannot be read).
 *
 *     nm_kv_range(kv, "jobs/", "", on_jobs, user);
 */
#ifndef NM_KV_H
#define NM_KV_H

#include <nutmegdeck/store.h>

typedef struct {
    int rc;
    int64_t revision;           /* of the store, or of the change */
    const nm_store_kv_t *items; /* value NULL: deleted */
    uint32_t item_count;
    bool more;     /* a range goes on after the last item */
    int64_t lease; /* of a grant */
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

/* Most operations in one transaction. */
#define NM_KV_TXN_MAX 32

static inline void
nm_kv_get(nm_kv_t *kv, const char *key, nm_kv_done_fn done, void *user)
{
    kv->vtable->get(kv, key, done, user);
}

/* Lists a page of the keys below a prefix that follow `after`. */
static inline void
nm_kv_range(nm_kv_t *kv, const char *prefix, const char *after,
            nm_kv_done_fn done, void *user)
{
    kv->vtable->range(kv, prefix, after, done, user);
}

/* Answers with the first changes after a revision, or after wait_ms. */
static inline void
nm_kv_watch(nm_kv_t *kv, const char *prefix, int64_t after_revision,
            nm_ms_t wait_ms, nm_kv_done_fn done, void *user)
{
    kv->vtable->watch(kv, prefix, after_revision, wait_ms, done, user);
}

/* Only compares, puts and deletions of single keys are taken. */
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
