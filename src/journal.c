#include <nutmegdeck/journal.h>

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

/* Reads of the head after an append whose response was lost. */
#define READ_BACK_ATTEMPTS_MAX 3
/*
 * Records deleted by one transaction, which may also put the chunks of a
 * snapshot.  Records beyond it are deleted by later appends.
 */
#define DELETED_RECORDS_MAX 80

typedef struct {
    int64_t sequence;
    int64_t snapshot_sequence;
    int64_t epoch;
    char token[32];
} head_t;

void
nm_journal_init(nm_journal_t *journal, nm_store_t *store, const char *prefix,
                uint64_t seed)
{
    assert(journal && store && prefix);
    *journal = (nm_journal_t){.store = store, .log_first_sequence = 1};
    nm_strcopy(journal->prefix, sizeof(journal->prefix), prefix);
    nm_rng_init(&journal->rng, seed);
}

static void
make_key(const nm_journal_t *journal, const char *name, char *key)
{
    snprintf(key, NM_STORE_KEY_MAX_BYTES, "%s/%s", journal->prefix, name);
}

static void
make_log_key(const nm_journal_t *journal, int64_t sequence, char *key)
{
    snprintf(key, NM_STORE_KEY_MAX_BYTES, "%s/log/%012lld", journal->prefix,
             (long long)sequence);
}

static void
make_chunk_key(const nm_journal_t *journal, int64_t sequence, uint32_t chunk,
               char *key)
{
    snprintf(key, NM_STORE_KEY_MAX_BYTES, "%s/snap/%012lld/%04u",
             journal->prefix, (long long)sequence, chunk);
}

static bool
parse_head(const nm_store_kv_t *kv, head_t *head)
{
    json_t *json = json_loadb((char *)kv->value, kv->value_bytes, 0, NULL);
    json_int_t sequence = 0;
    json_int_t snapshot = 0;
    json_int_t epoch = 0;
    const char *token = NULL;
    int rc = json_unpack(json, "{s:I,s:I,s:I,s:s}", "seq", &sequence, "snap",
                         &snapshot, "epoch", &epoch, "token", &token);
    bool valid = rc == 0 && sequence >= snapshot && snapshot >= 0;
    if (valid) {
        head->sequence = sequence;
        head->snapshot_sequence = snapshot;
        head->epoch = epoch;
        nm_strcopy(head->token, sizeof(head->token), token);
    }
    json_decref(json);
    return valid;
}

static int
read_head(nm_journal_t *journal, head_t *head, int64_t *head_revision)
{
    char key[NM_STORE_KEY_MAX_BYTES];
    make_key(journal, "head", key);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_range(&txn, key, false);
    nm_store_result_t result;
    int rc = nm_store_commit(journal->store, &txn, &result);
    nm_store_txn_finish(&txn);
    *head = (head_t){0};
    *head_revision = 0;
    if (rc == NM_OK && result.kv_count > 0) {
        *head_revision = result.kvs[0].mod_revision;
        rc = parse_head(&result.kvs[0], head) ? NM_OK : NM_ERR_CORRUPT;
    }
    nm_store_result_finish(&result);
    return rc;
}

static int
deliver_snapshot(nm_journal_t *journal, const nm_store_result_t *result,
                 int64_t snapshot_sequence, nm_journal_record_fn on_record,
                 void *user)
{
    if (snapshot_sequence == 0) {
        return NM_OK;
    }
    GString *content = g_string_new(NULL);
    uint32_t chunk = 0;
    for (;; chunk++) {
        char key[NM_STORE_KEY_MAX_BYTES];
        make_chunk_key(journal, snapshot_sequence, chunk, key);
        const nm_store_kv_t *kv = nm_store_result_find(result, key);
        if (!kv) {
            break;
        }
        g_string_append_len(content, (char *)kv->value, kv->value_bytes);
    }
    int rc = NM_ERR_CORRUPT;
    if (chunk > 0) {
        rc = on_record(user, snapshot_sequence, true, content->str,
                       (uint32_t)content->len);
    }
    g_string_free(content, TRUE);
    return rc;
}

/* Returns the sequence number of the oldest record in the log, or 1. */
static int64_t
find_log_start(const nm_journal_t *journal, const nm_store_result_t *result)
{
    int64_t first = 0;
    for (uint32_t i = 0; i < result->kv_count; i++) {
        int64_t sequence =
            nm_journal_key_sequence(journal, result->kvs[i].key);
        if (sequence > 0 && (first == 0 || sequence < first)) {
            first = sequence;
        }
    }
    return first > 0 ? first : 1;
}

int
nm_journal_load(nm_journal_t *journal, nm_journal_record_fn on_record,
                void *user)
{
    assert(journal && on_record);
    char prefix[NM_STORE_KEY_MAX_BYTES];
    char key[NM_STORE_KEY_MAX_BYTES];
    make_key(journal, "", prefix);
    make_key(journal, "head", key);
    /* One transaction, so that head, log and snapshot are consistent. */
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_range(&txn, prefix, true);
    nm_store_result_t result;
    int rc = nm_store_commit(journal->store, &txn, &result);
    nm_store_txn_finish(&txn);
    head_t head = {0};
    int64_t head_revision = 0;
    if (rc == NM_OK) {
        const nm_store_kv_t *kv = nm_store_result_find(&result, key);
        if (kv) {
            head_revision = kv->mod_revision;
            rc = parse_head(kv, &head) ? NM_OK : NM_ERR_CORRUPT;
        }
    }
    if (rc == NM_OK) {
        rc = deliver_snapshot(journal, &result, head.snapshot_sequence,
                              on_record, user);
    }
    for (int64_t i = head.snapshot_sequence + 1; rc >= 0 && i <= head.sequence;
         i++)
    {
        make_log_key(journal, i, key);
        const nm_store_kv_t *kv = nm_store_result_find(&result, key);
        rc = kv ? on_record(user, i, false, kv->value, kv->value_bytes)
                : NM_ERR_CORRUPT;
    }
    if (rc >= 0) {
        journal->log_first_sequence = find_log_start(journal, &result);
        journal->sequence = head.sequence;
        journal->snapshot_sequence = head.snapshot_sequence;
        journal->epoch = head.epoch;
        journal->head_revision = head_revision;
        journal->store_revision = result.revision;
        rc = NM_OK;
    }
    nm_store_result_finish(&result);
    return rc;
}

/* Reads the head to find out whether an unconfirmed append was applied. */
static int
resolve_append(nm_journal_t *journal, const char *token)
{
    for (int i = 0; i < READ_BACK_ATTEMPTS_MAX; i++) {
        head_t head;
        int64_t head_revision;
        if (read_head(journal, &head, &head_revision) < 0) {
            continue;
        }
        if (strcmp(head.token, token) == 0) {
            journal->head_revision = head_revision;
            return NM_OK;
        }
        if (head_revision != journal->head_revision) {
            return NM_ERR_CONFLICT;
        }
        /* The head is unchanged, but the append may still be applied. */
    }
    return NM_ERR_LOST;
}

/*
 * Deletes records up to last, at most DELETED_RECORDS_MAX.  Returns the number
 * of the first one that is left.
 *
 * Records are deleted one by one: etcd rejects a transaction that deletes a
 * range of keys and puts a key within it, and the key of the new record would
 * be within the range.
 */
static int64_t
delete_records(const nm_journal_t *journal, nm_store_txn_t *txn, int64_t last)
{
    int64_t end =
        MIN(last + 1, journal->log_first_sequence + DELETED_RECORDS_MAX);
    for (int64_t i = journal->log_first_sequence; i < end; i++) {
        char key[NM_STORE_KEY_MAX_BYTES];
        make_log_key(journal, i, key);
        nm_store_txn_delete(txn, key, false);
    }
    return MAX(end, journal->log_first_sequence);
}

static void
add_snapshot(nm_journal_t *journal, nm_store_txn_t *txn, int64_t sequence,
             const uint8_t *snapshot, uint32_t bytes)
{
    char key[NM_STORE_KEY_MAX_BYTES];
    if (journal->snapshot_sequence > 0) {
        snprintf(key, sizeof(key), "%s/snap/%012lld/", journal->prefix,
                 (long long)journal->snapshot_sequence);
        nm_store_txn_delete(txn, key, true);
    }
    uint32_t chunk = 0;
    uint32_t offset = 0;
    do {
        uint32_t chunk_bytes = bytes - offset;
        if (chunk_bytes > NM_JOURNAL_CHUNK_BYTES) {
            chunk_bytes = NM_JOURNAL_CHUNK_BYTES;
        }
        make_chunk_key(journal, sequence, chunk, key);
        nm_store_txn_put(txn, key, snapshot + offset, chunk_bytes, 0);
        offset += chunk_bytes;
        chunk++;
    } while (offset < bytes);
}

int
nm_journal_append_snapshot(nm_journal_t *journal, const void *data,
                           uint32_t bytes, const void *snapshot,
                           uint32_t snapshot_bytes, int64_t epoch)
{
    assert(journal && data);
    if (epoch < journal->epoch) {
        return NM_ERR_STALE;
    }
    if (bytes > NM_STORE_VALUE_MAX_BYTES ||
        snapshot_bytes > NM_JOURNAL_SNAPSHOT_MAX_BYTES)
    {
        return NM_ERR_TOO_LARGE;
    }
    int64_t sequence = journal->sequence + 1;
    char token[32];
    snprintf(token, sizeof(token), "%016llx",
             (unsigned long long)nm_rng_next(&journal->rng));
    char key[NM_STORE_KEY_MAX_BYTES];
    make_key(journal, "head", key);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_expect(&txn, key, journal->head_revision);
    json_t *head = json_pack(
        "{s:I,s:I,s:I,s:s}", "seq", (json_int_t)sequence, "snap",
        (json_int_t)(snapshot ? sequence : journal->snapshot_sequence),
        "epoch", (json_int_t)epoch, "token", token);
    char *text = json_dumps(head, JSON_COMPACT);
    nm_store_txn_put(&txn, key, text, (uint32_t)strlen(text), 0);
    free(text);
    json_decref(head);
    /* The log keeps the record that was appended with the last snapshot. */
    int64_t log_first_sequence = delete_records(
        journal, &txn,
        snapshot ? journal->sequence : journal->snapshot_sequence - 1);
    if (snapshot) {
        add_snapshot(journal, &txn, sequence, snapshot, snapshot_bytes);
    }
    /* Watches read the log only, so it needs the record despite a snapshot. */
    make_log_key(journal, sequence, key);
    nm_store_txn_put(&txn, key, data, bytes, 0);
    nm_store_result_t result;
    int rc = nm_store_commit(journal->store, &txn, &result);
    if (rc == NM_OK && !result.succeeded) {
        rc = NM_ERR_CONFLICT;
    }
    if (rc == NM_OK) {
        journal->head_revision = result.revision;
        journal->store_revision = result.revision;
    }
    nm_store_result_finish(&result);
    nm_store_txn_finish(&txn);
    if (rc == NM_ERR_LOST) {
        rc = resolve_append(journal, token);
    }
    if (rc == NM_OK) {
        journal->sequence = sequence;
        journal->log_first_sequence = log_first_sequence;
        journal->epoch = epoch;
        if (snapshot) {
            journal->snapshot_sequence = sequence;
        }
    }
    return rc;
}

int
nm_journal_append(nm_journal_t *journal, const void *data, uint32_t bytes,
                  int64_t epoch)
{
    return nm_journal_append_snapshot(journal, data, bytes, NULL, 0, epoch);
}

bool
nm_journal_needs_snapshot(const nm_journal_t *journal)
{
    assert(journal);
    return journal->sequence - journal->snapshot_sequence >=
           NM_JOURNAL_LOG_RECORDS_MAX;
}

int64_t
nm_journal_key_sequence(const nm_journal_t *journal, const char *key)
{
    assert(journal && key);
    char prefix[NM_STORE_KEY_MAX_BYTES];
    make_key(journal, "log/", prefix);
    size_t length = strlen(prefix);
    if (strncmp(key, prefix, length) != 0) {
        return -1;
    }
    return strtoll(key + length, NULL, 10);
}

int
nm_journal_load_as_writer(nm_journal_t *journal, int64_t epoch,
                          nm_journal_record_fn on_record, void *user)
{
    int rc = nm_journal_load(journal, on_record, user);
    if (rc < 0) {
        return rc;
    }
    if (journal->epoch >= epoch) {
        return NM_ERR_STALE;
    }
    return nm_journal_append(journal, "", 0, epoch);
}
