/*
 * Writes the progress of jobs to the store.
 *
 * One commit is in flight at a time.  Ends that a caller waits for are due
 * after 30 ms (entry_owner.c), other progress is collected into batches.  Each
 * commit compares the owner key and a key that every commit changes, so that a
 * commit that is carried out late, or that a former owner sent, overwrites
 * nothing.
 */
#include "entry_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/latency.h>
#include <nutmegdeck/log.h>

/* Minimum time between commits of progress that no caller waits for. */
#define COMMIT_INTERVAL_MS 250
/* Minimum time between writes of the learned models with a commit. */
#define INTERFERENCE_STORE_INTERVAL_MS 2000
/*
 * Keys of jobs in one transaction.  With two compares and the commit, roster,
 * witnesses, terms, interference and CPU keys they reach the limit,
 * NM_KV_TXN_MAX.
 */
#define COMMIT_KEYS_MAX 24
/* Keys deleted with a job: the job, its progress and its cancel key. */
#define REMOVE_JOB_KEYS_MAX 3

typedef struct {
    nm_entry_t *entry;
    int64_t owned_epoch;
    nm_sched_save_t saves[COMMIT_KEYS_MAX];
    uint32_t count;
    nm_ms_t sent_ms;
    nm_ms_t authority_sent_ms; /* the same on the clock of the authority */
    bool has_roster;
    bool has_cpu_share;
    bool has_witnesses;
    bool has_terms;
    GHashTable *roster_ids;
} commit_call_t;

/* Logs a summary of a job whose end has been stored. */
static void
log_job_end(nm_entry_t *entry, const char *job)
{
    nm_sched_job_info_t info;
    if (nm_sched_query_job(entry->sched, job) < NM_JOB_COMPLETED ||
        !nm_sched_query_job_info(entry->sched, job, &info))
    {
        return;
    }
    nm_log(
        NM_LOG_INFO, NM_LOG_ITEM_JOB_ENDED,
        "{s:s,s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:i,s:i,s:b,s:I}", "job", job,
        "state", nm_job_state_name(info.state), "failure",
        nm_job_failure_name(info.failure), "took_ms", (json_int_t)info.took_ms,
        "objective_ms", (json_int_t)info.objective_ms, "first_start_ms",
        (json_int_t)info.first_start_ms, "admitted_ms",
        (json_int_t)info.admitted_ms, "core_ms", (json_int_t)info.core_ms,
        "failures", (int)info.failures, "crashes", (int)info.crashes,
        "recovered", info.recovered, "epoch", (json_int_t)entry->owned_epoch);
    if (!info.long_running) {
        nm_latency_add(NM_LATENCY_JOB, info.took_ms);
        if (info.first_start_ms >= 0) {
            nm_latency_add(NM_LATENCY_FIRST_START, info.first_start_ms);
        }
    }
}

static void
apply_roster(nm_entry_t *entry, commit_call_t *call)
{
    GHashTable *previous = entry->roster;
    entry->roster = call->roster_ids;
    call->roster_ids = previous;
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, entry->roster);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        nm_sched_admit_worker(entry->sched, id);
    }
}

/*
 * Reads the current revisions of the compared keys from the conflict; ends the
 * term if the owner key has changed.
 */
static void
handle_commit_conflict(nm_entry_t *entry, const nm_kv_result_t *result)
{
    bool still_owner = false;
    entry->commit_revision = 0;
    for (uint32_t i = 0; i < result->item_count; i++) {
        const nm_store_kv_t *item = &result->items[i];
        if (strcmp(item->key, NM_KEY_OWNER) == 0) {
            still_owner = item->mod_revision == entry->owner_revision;
        }
        else if (strcmp(item->key, NM_KEY_COMMIT) == 0) {
            entry->commit_revision = item->mod_revision;
        }
    }
    if (!still_owner) {
        nm_term_step_down(entry, "a commit found the owner key changed");
    }
}

static void
on_commit_read(void *user, const nm_kv_result_t *result)
{
    nm_entry_t *entry = nm_term_call_end(user);
    if (!entry) {
        return;
    }
    entry->committing = false;
    nm_entry_record_store_result(entry, result->rc);
    if (result->rc == NM_OK && result->item_count > 0) {
        entry->commit_revision = result->items[0].mod_revision;
        entry->commit_unknown = false;
    }
    else if (result->rc == NM_ERR_NOT_FOUND) {
        entry->commit_revision = 0;
        entry->commit_unknown = false;
    }
    else {
        entry->commit_due_ms = nm_entry_now(entry) + COMMIT_INTERVAL_MS;
    }
}

static void
on_committed(void *user, const nm_kv_result_t *result)
{
    commit_call_t *call = user;
    nm_entry_t *entry = call->entry;
    bool same_term = entry->owned_epoch == call->owned_epoch && entry->sched;
    bool stored = result->rc == NM_OK;
    nm_entry_record_store_result(entry, result->rc);
    nm_latency_add(NM_LATENCY_COMMIT, nm_entry_now(entry) - call->sent_ms);
    for (uint32_t i = 0; i < call->count; i++) {
        if (same_term) {
            nm_sched_confirm_save(entry->sched, &call->saves[i], stored);
            if (stored && call->saves[i].record) {
                log_job_end(entry, call->saves[i].job);
            }
        }
        g_free(call->saves[i].record);
    }
    if (same_term) {
        nm_load_on_call(entry, NM_CALL_COMMIT,
                        nm_load_store_outcome(result->rc),
                        nm_clock_now_with_suspend(entry->desc.clock) -
                            call->authority_sent_ms);
        if (stored) {
            nm_authority_confirm(entry, call->authority_sent_ms);
        }
        if (call->has_witnesses) {
            nm_authority_on_witnesses_stored(entry, result->rc);
        }
        if (call->has_terms) {
            nm_succession_on_stored(entry, result->rc);
        }
        entry->committing = false;
        entry->sched_due_ms = 0;
        if (call->has_roster && stored) {
            apply_roster(entry, call);
        }
        else if (call->has_roster) {
            entry->roster_dirty = true;
        }
        entry->hosts_changed |= call->has_cpu_share && !stored;
        if (stored) {
            entry->commit_revision = result->revision;
        }
        else if (result->rc == NM_ERR_CONFLICT) {
            handle_commit_conflict(entry, result);
        }
        else {
            entry->commit_unknown = result->rc != NM_ERR_UNAVAILABLE;
            nm_count_reason(NM_REASON_STORE_UNAVAILABLE);
            entry->commit_due_ms = nm_entry_now(entry) + COMMIT_INTERVAL_MS;
        }
    }
    if (call->roster_ids) {
        g_hash_table_destroy(call->roster_ids);
    }
    g_free(call);
}

static void
put_roster(nm_entry_t *entry, nm_store_txn_t *txn, commit_call_t *call)
{
    json_t *ids = json_array();
    call->has_roster = true;
    call->roster_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, entry->roster_wanted);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        json_array_append_new(ids, json_string(id));
        g_hash_table_add(call->roster_ids, g_strdup(id));
    }
    char *text = json_dumps(ids, JSON_COMPACT);
    nm_store_txn_put(txn, NM_KEY_ROSTER, text, (uint32_t)strlen(text), 0);
    free(text);
    json_decref(ids);
    entry->roster_dirty = false;
}

/* Stores the largest cpu_share, by which candidates of elections wait. */
static bool
put_cpu_share_max(nm_entry_t *entry, nm_store_txn_t *txn)
{
    if (!entry->hosts_changed || !entry->hosts_feed.listed) {
        return false;
    }
    entry->hosts_changed = false;
    double largest = MAX(nm_order_relay_query_cpu_share_max(&entry->relay),
                         entry->desc.cpu_share);
    int64_t permille = (int64_t)(1000 * largest + 0.5);
    if (permille == entry->cpu_share_max_permille) {
        return false;
    }
    char text[24];
    snprintf(text, sizeof(text), "%lld", (long long)permille);
    nm_store_txn_put(txn, NM_KEY_CPU_SHARE, text, (uint32_t)strlen(text), 0);
    return true;
}

/* Adds a record or a job's removal; returns the number of keys it takes. */
static uint32_t
put_save(nm_store_txn_t *txn, const nm_sched_save_t *save)
{
    char progress[NM_NAME_MAX * 2];
    char job[NM_NAME_MAX * 2];
    char cancel[NM_NAME_MAX * 2];
    snprintf(progress, sizeof(progress), "%s%s", NM_KEY_PROGRESS, save->job);
    if (save->record) {
        nm_store_txn_put(txn, progress, save->record,
                         (uint32_t)strlen(save->record), 0);
        return 1;
    }
    snprintf(job, sizeof(job), "%s%s", NM_KEY_JOBS, save->job);
    nm_store_txn_delete(txn, progress, false);
    nm_store_txn_delete(txn, job, false);
    if (!save->has_cancel_key) {
        return 2;
    }
    snprintf(cancel, sizeof(cancel), "%s%s%s", NM_KEY_JOBS, save->job,
             NM_SUFFIX_CANCEL);
    nm_store_txn_delete(txn, cancel, false);
    return REMOVE_JOB_KEYS_MAX;
}

void
nm_commit_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->committing || now_ms < entry->commit_due_ms) {
        return;
    }
    if (entry->commit_unknown) {
        entry->committing = true;
        nm_kv_get(entry->desc.kv, NM_KEY_COMMIT, on_commit_read,
                  nm_term_call_new(entry));
        return;
    }
    commit_call_t *call = g_new0(commit_call_t, 1);
    call->entry = entry;
    call->owned_epoch = entry->owned_epoch;
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_expect(&txn, NM_KEY_OWNER, entry->owner_revision);
    nm_store_txn_expect(&txn, NM_KEY_COMMIT, entry->commit_revision);
    nm_store_txn_put(&txn, NM_KEY_COMMIT, "1", 1, 0);
    uint32_t keys = 0;
    while (keys + REMOVE_JOB_KEYS_MAX <= COMMIT_KEYS_MAX &&
           nm_sched_next_save(entry->sched, &call->saves[call->count]))
    {
        keys += put_save(&txn, &call->saves[call->count++]);
    }
    if (entry->roster_dirty) {
        put_roster(entry, &txn, call);
        entry->authority.list_due = true;
    }
    call->has_witnesses = nm_authority_put_witnesses(entry, &txn);
    call->has_terms = nm_succession_put(entry, &txn, now_ms);
    call->has_cpu_share = put_cpu_share_max(entry, &txn);
    bool store_interference = now_ms >= entry->interference_due_ms &&
                              (call->count > 0 || call->has_roster);
    if (store_interference) {
        entry->interference_due_ms = now_ms + INTERFERENCE_STORE_INTERVAL_MS;
        char *text = nm_sched_encode_learned(entry->sched);
        nm_store_txn_put(&txn, NM_KEY_INTERFERENCE, text,
                         (uint32_t)strlen(text), 0);
        g_free(text);
    }
    if (call->count == 0 && !call->has_roster && !call->has_witnesses &&
        !call->has_terms && !call->has_cpu_share)
    {
        nm_store_txn_finish(&txn);
        g_free(call);
        return;
    }
    entry->committing = true;
    call->sent_ms = now_ms;
    call->authority_sent_ms = nm_clock_now_with_suspend(entry->desc.clock);
    nm_count(NM_COUNTER_JOURNAL_WRITES, 1);
    nm_count(NM_COUNTER_JOURNAL_RECORDS, call->count);
    nm_kv_commit(entry->desc.kv, &txn, on_committed, call);
    nm_store_txn_finish(&txn);
    entry->commit_due_ms = now_ms + COMMIT_INTERVAL_MS;
}
