/*
 * Append-only journal in the store.
 *
 * A journal is a head key, a log of numbered records and a snapshot that
 * replaces older records.  Each append is one transaction that compares the
 * head's revision, so that only one of several concurrent writers succeeds.
 * It also writes a random token into the head, so that a writer that got no
 * response can read back whether its append took effect.  All calls block.
 *
 *     nm_journal_t journal;
 *     nm_journal_init(&journal, store, "nutmegdeck/settings", seed);
 *     nm_journal_load(&journal, on_record, user);
 *     nm_journal_append(&journal, bytes, size, 0);
 */
#ifndef NUTMEGDECK_JOURNAL_H
#define NUTMEGDECK_JOURNAL_H

#include <nutmegdeck/store.h>

/* Number of records after a snapshot at which the next one is due. */
#define NM_JOURNAL_LOG_RECORDS_MAX 64
/* Size of one chunk of a snapshot. */
#define NM_JOURNAL_CHUNK_BYTES (256 * 1024)
/*
 * Largest snapshot: 32 chunks.  One transaction puts them and deletes replaced
 * records one by one; it is limited to NM_STORE_TXN_OPS_MAX operations.
 */
#define NM_JOURNAL_SNAPSHOT_MAX_BYTES (32 * NM_JOURNAL_CHUNK_BYTES)

typedef struct {
    nm_store_t *store;
    char prefix[NM_NAME_MAX * 2];
    int64_t sequence;          /* of the last record; 0: empty */
    int64_t snapshot_sequence; /* last record in the snapshot; 0: none */
    /* No record before it is left; a snapshot may leave records to delete. */
    int64_t log_first_sequence;
    int64_t head_revision;  /* store revision of the head key; 0: absent */
    int64_t store_revision; /* newest store revision seen */
    int64_t epoch;          /* of the last writer */
    nm_rng_t rng;
} nm_journal_t;

/*
 * Receives the snapshot, if there is one, and then each later record.
 * Returns a negative error number to stop the load.
 */
typedef int (*nm_journal_record_fn)(void *user, int64_t sequence,
                                    bool is_snapshot, const void *data,
                                    uint32_t bytes);

/* seed seeds the append tokens and must differ between processes. */
void nm_journal_init(nm_journal_t *journal, nm_store_t *store,
                     const char *prefix, uint64_t seed);
/*
 * Passes the snapshot and the later records to on_record.  Returns its first
 * negative result, NM_ERR_CORRUPT if the head is malformed or a record or
 * snapshot is missing, or the error of the store.
 */
int nm_journal_load(nm_journal_t *journal, nm_journal_record_fn on_record,
                    void *user);
/*
 * Loads the journal and then appends an empty record as the writer of an
 * epoch, so that no earlier writer can append after what was loaded.
 * Returns NM_ERR_STALE if the journal has a writer of this or a newer epoch,
 * and NM_ERR_CONFLICT if another append came in between: load it again.
 */
int nm_journal_load_as_writer(nm_journal_t *journal, int64_t epoch,
                              nm_journal_record_fn on_record, void *user);
/*
 * Appends a record as the writer of an epoch.  Returns NM_ERR_CONFLICT if
 * another writer appended first, and NM_ERR_LOST if it remains unknown
 * whether the record was appended; after either, the journal must be loaded
 * again.  Returns NM_ERR_STALE if the journal has a writer of a newer epoch,
 * and NM_ERR_TOO_LARGE if the record exceeds NM_STORE_VALUE_MAX_BYTES.
 */
int nm_journal_append(nm_journal_t *journal, const void *data, uint32_t bytes,
                      int64_t epoch);
/*
 * Appends a record and replaces the earlier log by a snapshot that includes
 * the record.  snapshot may be NULL: the record is only appended.  Returns
 * the errors of nm_journal_append, and NM_ERR_TOO_LARGE if the snapshot
 * exceeds NM_JOURNAL_SNAPSHOT_MAX_BYTES.
 */
int nm_journal_append_snapshot(nm_journal_t *journal, const void *data,
                               uint32_t bytes, const void *snapshot,
                               uint32_t snapshot_bytes, int64_t epoch);
/* True if NM_JOURNAL_LOG_RECORDS_MAX or more records follow the snapshot. */
bool nm_journal_needs_snapshot(const nm_journal_t *journal);
/* Parses the sequence number of a log key; returns -1 for other keys. */
int64_t nm_journal_key_sequence(const nm_journal_t *journal, const char *key);

#endif
