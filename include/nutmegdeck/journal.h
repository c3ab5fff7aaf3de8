/*
 * Append-only journal in the store.
 *
 * A journal is a head key, a log of numbered records and a snapshot that
 * replaces the older records.  Each append is one transaction that compares
 * the head's revision, so only one of several writers succeeds, and that
 * writes a random token into the head, so a writer whose answer was lost
 * finds out whether its append took effect.
 *
 *     nm_journal_t journal;
 *     nm_journal_init(&journal, store, "nutmegdeck/settings");
 *     nm_journal_load(&journal, on_record, user);
 *     nm_journal_append(&journal, bytes, size, 0);
 */
#ifndef NUTMEGDECK_JOURNAL_H
#define NUTMEGDECK_JOURNAL_H

#include <nutmegdeck/store.h>

/* Records in the log beyond which a snapshot is due. */
#define NM_JOURNAL_LOG_RECORDS_MAX 64
/* Size of one chunk of a snapshot. */
#define NM_JOURNAL_CHUNK_BYTES (256 * 1024)
/* Largest snapshot: what fits into the chunks of one transaction. */
#define NM_JOURNAL_SNAPSHOT_MAX_BYTES (32 * NM_JOURNAL_CHUNK_BYTES)

typedef struct {
    nm_store_t *store;
    char prefix[NM_NAME_MAX * 2];
    int64_t sequence;          /* of the last record; 0: empty */
    int64_t snapshot_sequence; /* sequence that the snapshot includes */
    int64_t head_revision;     /* store revision of the head key; 0: absent */
    int64_t store_revision;    /* newest store revision seen */
    int64_t epoch;             /* of the last writer */
    nm_rng_t rng;
} nm_journal_t;

/* Receives the snapshot (first, if there is one) and each later record. */
typedef int (*nm_journal_record_fn)(void *user, int64_t sequence,
                                    bool is_snapshot, const void *data,
                                    uint32_t bytes);

/* seed makes the append tokens; it must differ between processes. */
void nm_journal_init(nm_journal_t *journal, nm_store_t *store,
                     const char *prefix, uint64_t seed);
/* Reads everything.  Returns the first negative result of on_record. */
int nm_journal_load(nm_journal_t *journal, nm_journal_record_fn on_record,
                    void *user);
/*
 * Reads everything and then writes an empty record as the writer of an
 * epoch, so that no append of an earlier writer can follow what was read.
 * Returns NM_ERR_STALE if a writer of this or a newer epoch was there, and
 * NM_ERR_CONFLICT if another append came in between (read again).
 */
int nm_journal_load_as_writer(nm_journal_t *journal, int64_t epoch,
                              nm_journal_record_fn on_record, void *user);
/*
 * Appends a record as the writer of an epoch.  Returns NM_ERR_CONFLICT if
 * another writer was first and NM_ERR_LOST if the outcome could not be
 * found out; after either the journal must be loaded again.
 */
int nm_journal_append(nm_journal_t *journal, const void *data, uint32_t bytes,
                      int64_t epoch);
/* Like append, and replaces the log by a snapshot that includes the record. */
int nm_journal_append_snapshot(nm_journal_t *journal, const void *data,
                               uint32_t bytes, const void *snapshot,
                               uint32_t snapshot_bytes, int64_t epoch);
bool nm_journal_wants_snapshot(const nm_journal_t *journal);
/* Parses the sequence number of a log key; returns -1 for other keys. */
int64_t nm_journal_key_sequence(const nm_journal_t *journal, const char *key);

#endif
