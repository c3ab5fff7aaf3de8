/*
 * Loads and appends a shard's journal on a thread of its own.
 *
 * Operations are queued and run in order; each yields one result.  wake()
 * is called on that thread for every result.
 *
 *     nm_shard_store_t *store = nm_shard_store_new(kv, datacentre, seed,
 *                                                  wake, user);
 *     nm_shard_store_load(store, epoch);
 *     nm_shard_store_append(store, record, bytes, snapshot, size, epoch);
 *     while ((result = nm_shard_store_next(store))) {
 *         ...
 *         nm_shard_store_result_free(result);
 *     }
 *     nm_shard_store_free(store);
 */
#ifndef NM_SHARD_STORE_H
#define NM_SHARD_STORE_H

#include <glib.h>

#include <nutmegdeck/journal.h>

typedef struct {
    bool is_load;
    int rc;
    int64_t epoch;         /* of the last writer */
    int64_t request_epoch; /* of the owner that requested the operation */
    bool needs_snapshot;   /* the next append should carry one */
    GPtrArray *records;    /* of GBytes, oldest first; loads only */
} nm_shard_store_result_t;

typedef struct nm_shard_store nm_shard_store_t;

nm_shard_store_t *nm_shard_store_new(nm_store_t *kv, const char *datacentre,
                                     uint64_t seed, void (*wake)(void *user),
                                     void *user);
/* Runs the queued operations, then ends the thread and discards results. */
void nm_shard_store_free(nm_shard_store_t *store);
/* Loads as the writer of an epoch, see nm_journal_load_as_writer(). */
void nm_shard_store_load(nm_shard_store_t *store, int64_t epoch);
/*
 * Takes ownership of record and of snapshot (may be NULL); frees both with
 * g_free.
 */
void nm_shard_store_append(nm_shard_store_t *store, uint8_t *record,
                           uint32_t bytes, uint8_t *snapshot,
                           uint32_t snapshot_bytes, int64_t epoch);
/*
 * Returns the next result, or NULL; free it with nm_shard_store_result_free().
 */
nm_shard_store_result_t *nm_shard_store_next(nm_shard_store_t *store);
void nm_shard_store_result_free(nm_shard_store_result_t *result);

#endif
