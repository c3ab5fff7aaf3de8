/*
 * Ownership of the workers: election, takeover, and the store of progress.
 *
 * The owner holds a key by a lease and an epoch that only rises.  Each of
 * its writes compares the key's revision, and each order carries the epoch,
 * so a former owner changes nothing, however late it notices.  A new owner
 * reads the stored jobs, then asks every worker what it runs.
 */
#include "entry_state.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#include <jansson.h>

#include <nutmegdeck/latency.h>
#include <nutmegdeck/log.h>

/* Progress that no caller waits for is stored this often at most... */
#define COMMIT_MS 250
/* ...and ends of jobs this often. */
#define COMMIT_URGENT_MS 30
#define VERIFY_RETRY_MS 100
/* A stopping owner waits this long for its last progress to be stored. */
#define HAND_OVER_MS 400
/* What was learned goes with a transaction this often. */
#define LEARNED_MS 2000
/* Records in one transaction, beside two compares and three other keys. */
#define COMMIT_RECORDS_MAX 26
/* Candidates wait up to this long, the ones with less processor longer. */
#define ELECTION_SPREAD_MS 120
/* ...and those far from the store longer, as a multiple of its answers. */
#define ELECTION_DISTANCE 3
#define ELECTION_RETRY_MS 250
/* Changes of workers and jobs that come together share a watch call. */
#define JOBS_PAUSE_MS 15
#define WORKERS_PAUSE_MS 100

typedef struct {
    nm_entry_t *entry;
    int64_t term;
} term_call_t;

typedef struct {
    nm_entry_t *entry;
    int64_t term;
    nm_sched_save_t saves[COMMIT_RECORDS_MAX];
    uint32_t count;
    nm_ms_t sent_ms;
    bool roster;
    GHashTable *roster_ids;
} commit_call_t;

int64_t
nm_entry_unix_ms(void)
{
    struct timeval tv;
    gettimeofday(&tv, NULL);
    return (int64_t)tv.tv_sec * 1000 + tv.tv_usec / 1000;
}

static nm_ms_t
now(const nm_entry_t *entry)
{
    return nm_clock_now(entry->desc.clock);
}

static term_call_t *
term_call(nm_entry_t *entry)
{
    term_call_t *call = g_new(term_call_t, 1);
    *call = (term_call_t){entry, entry->term};
    return call;
}

static void
free_item(gpointer data)
{
    nm_store_kv_t *item = data;
    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static nm_store_kv_t *
copy_item(const nm_store_kv_t *item)
{
    nm_store_kv_t *copy = g_new0(nm_store_kv_t, 1);
    copy->key = g_strdup(item->key);
    copy->value = g_memdup2(item->value, item->value_bytes + 1);
    copy->value_bytes = item->value_bytes;
    return copy;
}

void
nm_owner_init(nm_entry_t *entry)
{
    entry->roster =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    entry->roster_wanted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    entry->progress = g_ptr_array_new_with_free_func(free_item);
    g_queue_init(&entry->unverified);
}

static void
clear_progress(nm_entry_t *entry)
{
    g_ptr_array_set_size(entry->progress, 0);
}

void
nm_owner_finish(nm_entry_t *entry)
{
    nm_owner_step_down(entry, "stopped");
    g_hash_table_destroy(entry->roster);
    g_hash_table_destroy(entry->roster_wanted);
    g_ptr_array_free(entry->progress, TRUE);
}

void
nm_owner_step_down(nm_entry_t *entry, const char *cause)
{
    if (entry->role == NM_ROLE_OWNER || entry->role == NM_ROLE_LOADING) {
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_OWNER_LOST, "{s:I,s:s}", "epoch",
               (json_int_t)entry->term, "cause", cause);
    }
    entry->role = NM_ROLE_MEMBER;
    entry->term = 0;
    entry->lease = 0;
    entry->renewing = false;
    entry->committing = false;
    nm_feed_close(&entry->workers_feed);
    nm_feed_close(&entry->jobs_feed);
    nm_feed_close(&entry->progress_feed);
    nm_feed_close(&entry->owned_feed);
    nm_feed_close(&entry->hosts_feed);
    nm_order_relay_clear(&entry->relay);
    clear_progress(entry);
    g_queue_clear_full(&entry->unverified, free_item);
    entry->verifying = 0;
    entry->commit_revision = 0;
    entry->commit_unknown = false;
    g_hash_table_remove_all(entry->roster);
    g_hash_table_remove_all(entry->roster_wanted);
    if (entry->sched) {
        nm_sched_free(entry->sched);
        entry->sched = NULL;
    }
}

/* --- what the store says of the owner --- */

static void
take_owner(nm_entry_t *entry, const nm_store_kv_t *item)
{
    nm_owner_t *owner = &entry->owner;
    if (!item->value) {
        owner->present = false;
        entry->vacant_ms = now(entry);
        if (entry->term > 0) {
            nm_owner_step_down(entry, "its key is gone");
        }
        return;
    }
    json_t *record =
        json_loadb((const char *)item->value, item->value_bytes, 0, NULL);
    const char *name = json_string_value(json_object_get(record, "name"));
    const char *address =
        json_string_value(json_object_get(record, "address"));
    const char *token = json_string_value(json_object_get(record, "token"));
    if (name && address && token) {
        *owner = (nm_owner_t){.present = true, .revision = item->mod_revision};
        nm_strcopy(owner->name, sizeof(owner->name), name);
        nm_strcopy(owner->address, sizeof(owner->address), address);
        nm_strcopy(owner->token, sizeof(owner->token), token);
        owner->epoch = json_integer_value(json_object_get(record, "epoch"));
        entry->vacant_ms = 0;
        if (entry->term > 0 && strcmp(token, entry->token) != 0) {
            nm_owner_step_down(entry, "another host is the owner");
        }
    }
    json_decref(record);
}

void
nm_owner_take_control(nm_entry_t *entry, const nm_store_kv_t *item)
{
    if (strcmp(item->key, NM_KEY_OWNER) == 0) {
        take_owner(entry, item);
    }
    else if (strcmp(item->key, NM_KEY_EPOCH) == 0 && item->value) {
        int64_t epoch = strtoll((const char *)item->value, NULL, 10);
        if (epoch > entry->epoch) {
            entry->epoch = epoch;
            entry->epoch_revision = item->mod_revision;
        }
    }
}

/* --- workers and jobs --- */

static void
want_roster(nm_entry_t *entry, const char *id)
{
    if (g_hash_table_add(entry->roster_wanted, g_strdup(id))) {
        entry->roster_dirty = true;
    }
}

static void
on_worker(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    const char *id = item->key + strlen(entry->desc.codec->workers_prefix);
    if (!item->value) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_WORKER_LOST, "{s:s}", "worker", id);
        nm_sched_remove_worker(entry->sched, id);
        return;
    }
    nm_sched_worker_t worker;
    int rc = entry->desc.codec->decode_worker(&worker, id, item->value,
                                              item->value_bytes);
    if (rc < 0) {
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_WORKER_REFUSED, "{s:s,s:s}", "worker",
               id, "reason", nm_error_text(rc));
        nm_sched_remove_worker(entry->sched, id);
        return;
    }
    want_roster(entry, id);
    nm_order_relay_set_worker(&entry->relay, id, worker.zone);
    nm_sched_set_worker(entry->sched, &worker, now(entry));
    if (g_hash_table_contains(entry->roster, id)) {
        nm_sched_admit_worker(entry->sched, id);
    }
    entry->sched_due_ms = 0;
}

static void
take_cancel(nm_entry_t *entry, const char *name)
{
    char id[NM_JOB_ID_MAX];
    size_t length = strlen(name) - strlen(NM_SUFFIX_CANCEL);
    if (length < sizeof(id)) {
        memcpy(id, name, length);
        id[length] = '\0';
        nm_sched_cancel_job(entry->sched, id, now(entry));
    }
}

static void
take_job(nm_entry_t *entry, const nm_store_kv_t *item, bool recovered)
{
    const char *name = item->key + strlen(NM_KEY_JOBS);
    if (g_str_has_suffix(name, NM_SUFFIX_CANCEL)) {
        take_cancel(entry, name);
        return;
    }
    nm_job_spec_t spec;
    int rc = nm_job_record_decode(&spec, name, item->value, item->value_bytes);
    if (rc == NM_OK) {
        rc = nm_sched_add_job(entry->sched, &spec, recovered, now(entry));
    }
    if (rc < 0 && rc != NM_ERR_CONFLICT) {
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_JOB_REFUSED, "{s:s,s:s}", "job", name,
               "reason", nm_error_text(rc));
    }
    nm_job_spec_finish(&spec);
}

static void
on_job(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    if (!item->value) {
        return;
    }
    entry->sched_due_ms = 0;
    if (entry->jobs_feed.listed) {
        g_queue_push_tail(&entry->unverified, copy_item(item));
    }
    else {
        take_job(entry, item, entry->term > 1);
    }
}

static void
on_verified(void *user, const nm_kv_result_t *result)
{
    term_call_t *call = user;
    nm_entry_t *entry = call->entry;
    bool current = entry->term == call->term && entry->sched;
    g_free(call);
    if (!current) {
        return;
    }
    guint covered = entry->verifying;
    entry->verifying = 0;
    nm_entry_note_store(entry, result->rc);
    if (result->rc == NM_ERR_NOT_FOUND) {
        nm_owner_step_down(entry, "its key is gone");
        return;
    }
    if (result->rc != NM_OK || result->item_count == 0) {
        entry->verify_due_ms = now(entry) + VERIFY_RETRY_MS;
        return;
    }
    if (result->items[0].mod_revision != entry->owner_revision) {
        nm_owner_step_down(entry, "another host is the owner");
        return;
    }
    for (guint i = 0; i < covered; i++) {
        nm_store_kv_t *item = g_queue_pop_head(&entry->unverified);
        take_job(entry, item, false);
        free_item(item);
    }
    entry->sched_due_ms = 0;
}

/*
 * A new job may start at once only on its owner's orders.  Whoever still
 * owns the workers after it was written is the one that a later owner will
 * look for: that one lists the job, and asks the workers first.
 */
static void
verify_jobs(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->verifying > 0 || entry->unverified.length == 0 ||
        now_ms < entry->verify_due_ms)
    {
        return;
    }
    entry->verifying = entry->unverified.length;
    nm_kv_get(entry->desc.kv, NM_KEY_OWNER, on_verified, term_call(entry));
}

static void
on_progress(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    if (item->value) {
        g_ptr_array_add(entry->progress, copy_item(item));
    }
}

/* Jobs and their progress are known: from now on it decides. */
static void
on_jobs_listed(void *user)
{
    nm_entry_t *entry = user;
    if (entry->role != NM_ROLE_LOADING) {
        return;
    }
    for (guint i = 0; i < entry->progress->len; i++) {
        const nm_store_kv_t *item = entry->progress->pdata[i];
        const char *job = item->key + strlen(NM_KEY_PROGRESS);
        int rc = nm_sched_restore(entry->sched, job, item->value,
                                  item->value_bytes);
        if (rc < 0 && rc != NM_ERR_NOT_FOUND) {
            nm_log(NM_LOG_ERROR, NM_LOG_ITEM_JOB_REFUSED, "{s:s,s:s}", "job",
                   job, "reason", "its progress cannot be read");
        }
    }
    clear_progress(entry);
    entry->role = NM_ROLE_OWNER;
    entry->sched_due_ms = 0;
    nm_count(NM_COUNTER_TAKEOVERS, 1);
    nm_sched_info_t info = nm_sched_query_info(entry->sched);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_ACTIVE, "{s:I,s:i,s:i}", "epoch",
           (json_int_t)entry->term, "jobs", info.jobs_active,
           "workers_unresolved", info.workers_unresolved);
}

static void
on_progress_listed(void *user)
{
    nm_entry_t *entry = user;
    /* Later progress is our own. */
    nm_feed_close(&entry->progress_feed);
    nm_feed_open(&entry->jobs_feed,
                 &(nm_feed_desc_t){.kv = entry->desc.kv,
                                   .clock = entry->desc.clock,
                                   .prefix = NM_KEY_JOBS,
                                   .on_item = on_job,
                                   .on_listed = on_jobs_listed,
                                   .user = entry,
                                   .pause_ms = JOBS_PAUSE_MS});
}

static void
on_host(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    const char *name = item->key + strlen(NM_KEY_HOSTS);
    json_t *record = item->value ? json_loadb((const char *)item->value,
                                              item->value_bytes, 0, NULL)
                                 : NULL;
    const char *address =
        json_string_value(json_object_get(record, "address"));
    const char *zone = json_string_value(json_object_get(record, "zone"));
    if (address && zone) {
        nm_relay_host_t host = {.cpu_share = json_number_value(
                                    json_object_get(record, "cpu_share"))};
        nm_strcopy(host.name, sizeof(host.name), name);
        nm_strcopy(host.address, sizeof(host.address), address);
        nm_strcopy(host.zone, sizeof(host.zone), zone);
        nm_order_relay_set_host(&entry->relay, &host);
    }
    else {
        nm_order_relay_remove_host(&entry->relay, name);
        if (item->value) {
            nm_log(NM_LOG_WARN, NM_LOG_ITEM_HOST_REFUSED, "{s:s}", "name",
                   name);
        }
    }
    json_decref(record);
}

static void
take_roster_record(nm_entry_t *entry, const nm_store_kv_t *item)
{
    json_t *ids =
        json_loadb((const char *)item->value, item->value_bytes, 0, NULL);
    if (!json_is_array(ids)) {
        /* Stands for all that it may have named, until their leases lapse. */
        nm_sched_expect_worker(entry->sched, "unreadable roster", now(entry));
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_ROSTER_REFUSED, NULL);
    }
    size_t i;
    json_t *id;
    json_array_foreach(ids, i, id)
    {
        const char *text = json_string_value(id);
        if (text) {
            g_hash_table_add(entry->roster, g_strdup(text));
            g_hash_table_add(entry->roster_wanted, g_strdup(text));
            nm_sched_expect_worker(entry->sched, text, now(entry));
        }
    }
    json_decref(ids);
}

/* What the last owner left beside jobs and their progress. */
static void
on_owned(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    if (item->value && strcmp(item->key, NM_KEY_COMMIT) == 0) {
        entry->commit_revision = item->mod_revision;
    }
    else if (item->value && strcmp(item->key, NM_KEY_ROSTER) == 0) {
        take_roster_record(entry, item);
    }
    else if (item->value && strcmp(item->key, NM_KEY_LEARNED) == 0) {
        int rc = nm_sched_restore_learned(entry->sched, item->value,
                                          item->value_bytes);
        if (rc < 0) {
            nm_log(NM_LOG_WARN, NM_LOG_ITEM_LEARNED_REFUSED, "{s:s}", "reason",
                   nm_error_text(rc));
        }
    }
}

static void
on_owned_listed(void *user)
{
    nm_entry_t *entry = user;
    nm_feed_close(&entry->owned_feed);
    nm_feed_open(&entry->workers_feed,
                 &(nm_feed_desc_t){.kv = entry->desc.kv,
                                   .clock = entry->desc.clock,
                                   .prefix = entry->desc.codec->workers_prefix,
                                   .on_item = on_worker,
                                   .user = entry,
                                   .pause_ms = WORKERS_PAUSE_MS});
    nm_feed_open(&entry->progress_feed,
                 &(nm_feed_desc_t){.kv = entry->desc.kv,
                                   .clock = entry->desc.clock,
                                   .prefix = NM_KEY_PROGRESS,
                                   .on_item = on_progress,
                                   .on_listed = on_progress_listed,
                                   .user = entry});
}

/* --- election --- */

static void
begin_term(nm_entry_t *entry, int64_t epoch, int64_t revision)
{
    entry->term = epoch;
    entry->owner_revision = revision;
    entry->role = NM_ROLE_LOADING;
    entry->renew_due_ms = now(entry) + NM_OWNER_RENEW_MS;
    entry->sched =
        nm_sched_new(&(nm_sched_desc_t){.epoch = epoch,
                                        .lease_max_ms = epoch > 1 ? 0 : 1,
                                        .seed = nm_rng_next(&entry->rng)},
                     now(entry));
    nm_sched_run(entry->sched, now(entry), nm_entry_unix_ms());
    nm_owner_apply_deployment(entry);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_CANDIDATE, "{s:I}", "epoch",
           (json_int_t)epoch);
    nm_feed_open(&entry->hosts_feed,
                 &(nm_feed_desc_t){.kv = entry->desc.kv,
                                   .clock = entry->desc.clock,
                                   .prefix = NM_KEY_HOSTS,
                                   .on_item = on_host,
                                   .user = entry});
    nm_feed_open(&entry->owned_feed,
                 &(nm_feed_desc_t){.kv = entry->desc.kv,
                                   .clock = entry->desc.clock,
                                   .prefix = NM_KEY_OWNED,
                                   .on_item = on_owned,
                                   .on_listed = on_owned_listed,
                                   .user = entry});
}

static void
on_elected(void *user, const nm_kv_result_t *result)
{
    term_call_t *call = user;
    nm_entry_t *entry = call->entry;
    g_free(call);
    if (entry->role != NM_ROLE_CANDIDATE) {
        return;
    }
    nm_entry_note_store(entry, result->rc);
    entry->role = NM_ROLE_MEMBER;
    entry->vacant_ms = now(entry) + ELECTION_RETRY_MS;
    if (result->rc == NM_OK) {
        entry->epoch++;
        entry->epoch_revision = result->revision;
        begin_term(entry, entry->epoch, result->revision);
        return;
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_ELECTION_FAILED, "{s:I,s:s}", "epoch",
           (json_int_t)entry->epoch + 1, "reason", nm_error_text(result->rc));
    if (result->rc != NM_ERR_CONFLICT) {
        return;
    }
    for (uint32_t i = 0; i < result->item_count; i++) {
        nm_owner_take_control(entry, &result->items[i]);
    }
}

static void
stand_for_election(nm_entry_t *entry)
{
    char epoch[24];
    snprintf(epoch, sizeof(epoch), "%lld", (long long)entry->epoch + 1);
    snprintf(entry->token, sizeof(entry->token), "%016llx",
             (unsigned long long)nm_rng_next(&entry->rng));
    json_t *record =
        json_pack("{s:s,s:s,s:s,s:I}", "name", entry->desc.name, "address",
                  entry->desc.peer_address, "token", entry->token, "epoch",
                  (json_int_t)entry->epoch + 1);
    char *text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    /* An owner that was elected meanwhile must not be replaced. */
    nm_store_txn_expect(&txn, NM_KEY_OWNER, entry->rival_revision);
    nm_store_txn_expect(&txn, NM_KEY_EPOCH, entry->epoch_revision);
    nm_store_txn_put(&txn, NM_KEY_OWNER, text, (uint32_t)strlen(text),
                     entry->lease);
    nm_store_txn_put(&txn, NM_KEY_EPOCH, epoch, (uint32_t)strlen(epoch), 0);
    nm_kv_commit(entry->desc.kv, &txn, on_elected, term_call(entry));
    nm_store_txn_finish(&txn);
    free(text);
}

static void
on_lease(void *user, const nm_kv_result_t *result)
{
    term_call_t *call = user;
    nm_entry_t *entry = call->entry;
    g_free(call);
    if (entry->role != NM_ROLE_CANDIDATE) {
        return;
    }
    nm_entry_note_store(entry, result->rc);
    if (result->rc != NM_OK || result->lease == 0) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_ELECTION_FAILED, "{s:I,s:s}", "epoch",
               (json_int_t)entry->epoch + 1, "reason",
               nm_error_text(result->rc));
        entry->role = NM_ROLE_MEMBER;
        entry->vacant_ms = now(entry) + ELECTION_RETRY_MS;
        return;
    }
    entry->lease = result->lease;
    stand_for_election(entry);
}

/* A restarted process need not wait for the lease of its last life. */
static bool
owner_is_my_last_life(const nm_entry_t *entry)
{
    return entry->owner.present && entry->term == 0 &&
           strcmp(entry->owner.name, entry->desc.name) == 0 &&
           strcmp(entry->owner.token, entry->token) != 0;
}

static void
consider_election(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->role != NM_ROLE_MEMBER || entry->stopping ||
        !entry->control_feed.listed || !entry->deployment)
    {
        return;
    }
    if (!owner_is_my_last_life(entry)) {
        if (entry->owner.present) {
            return;
        }
        if (entry->vacant_ms == 0) {
            entry->vacant_ms = now_ms;
        }
        double share = MIN(entry->desc.cpu_share, 1.0);
        nm_ms_t wait = (nm_ms_t)(ELECTION_SPREAD_MS * (1 - share)) +
                       ELECTION_DISTANCE * entry->control_feed.answer_ms +
                       nm_rng_below(&entry->rng, 20);
        if (now_ms < entry->vacant_ms + wait) {
            return;
        }
    }
    entry->role = NM_ROLE_CANDIDATE;
    entry->rival_revision = entry->owner.present ? entry->owner.revision : 0;
    nm_kv_lease_grant(entry->desc.kv, NM_OWNER_LEASE_MS, on_lease,
                      term_call(entry));
}

static void
on_renewed(void *user, const nm_kv_result_t *result)
{
    term_call_t *call = user;
    nm_entry_t *entry = call->entry;
    bool current = entry->term == call->term && entry->term > 0;
    g_free(call);
    if (!current) {
        return;
    }
    entry->renewing = false;
    nm_entry_note_store(entry, result->rc);
    if (result->rc == NM_ERR_NOT_FOUND) {
        nm_owner_step_down(entry, "its lease has ended");
    }
}

static void
renew_lease(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (!entry->renewing && now_ms >= entry->renew_due_ms) {
        entry->renewing = true;
        entry->renew_due_ms = now_ms + NM_OWNER_RENEW_MS;
        nm_kv_lease_renew(entry->desc.kv, entry->lease, on_renewed,
                          term_call(entry));
    }
}

/* --- storing progress --- */

/* One line tells how a job went, once its end is stored. */
static void
log_end(nm_entry_t *entry, const char *job)
{
    nm_sched_job_info_t info;
    if (nm_sched_query_job(entry->sched, job) < NM_JOB_COMPLETED ||
        !nm_sched_query_job_info(entry->sched, job, &info))
    {
        return;
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_JOB_ENDED,
           "{s:s,s:s,s:I,s:I,s:I,s:i,s:b,s:I}", "job", job, "state",
           nm_job_state_name(info.state), "took_ms", (json_int_t)info.took_ms,
           "objective_ms", (json_int_t)info.objective_ms, "first_start_ms",
           (json_int_t)info.first_start_ms, "failures", (int)info.failures,
           "recovered", info.recovered, "epoch", (json_int_t)entry->term);
    if (!info.lasts) {
        nm_latency_add(NM_LATENCY_JOB, info.took_ms);
        nm_latency_add(NM_LATENCY_FIRST_START, info.first_start_ms);
    }
}

static void
take_roster(nm_entry_t *entry, commit_call_t *call)
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

/* The current state of the keys that a commit compared. */
static void
take_commit_conflict(nm_entry_t *entry, const nm_kv_result_t *result)
{
    bool owner = false;
    entry->commit_revision = 0;
    for (uint32_t i = 0; i < result->item_count; i++) {
        const nm_store_kv_t *item = &result->items[i];
        if (strcmp(item->key, NM_KEY_OWNER) == 0) {
            owner = item->mod_revision == entry->owner_revision;
        }
        else if (strcmp(item->key, NM_KEY_COMMIT) == 0) {
            entry->commit_revision = item->mod_revision;
        }
    }
    if (!owner) {
        nm_owner_step_down(entry, "a newer owner writes");
    }
}

static void
on_commit_read(void *user, const nm_kv_result_t *result)
{
    term_call_t *call = user;
    nm_entry_t *entry = call->entry;
    bool current = entry->term == call->term && entry->sched;
    g_free(call);
    if (!current) {
        return;
    }
    entry->committing = false;
    nm_entry_note_store(entry, result->rc);
    if (result->rc == NM_OK && result->item_count > 0) {
        entry->commit_revision = result->items[0].mod_revision;
        entry->commit_unknown = false;
    }
    else if (result->rc == NM_ERR_NOT_FOUND) {
        entry->commit_revision = 0;
        entry->commit_unknown = false;
    }
}

static void
on_committed(void *user, const nm_kv_result_t *result)
{
    commit_call_t *call = user;
    nm_entry_t *entry = call->entry;
    bool current = entry->term == call->term && entry->sched;
    bool stored = result->rc == NM_OK;
    nm_entry_note_store(entry, result->rc);
    nm_latency_add(NM_LATENCY_COMMIT, now(entry) - call->sent_ms);
    for (uint32_t i = 0; i < call->count; i++) {
        if (current) {
            nm_sched_saved(entry->sched, &call->saves[i], stored);
            if (stored) {
                log_end(entry, call->saves[i].job);
            }
        }
        g_free(call->saves[i].record);
    }
    if (current) {
        entry->committing = false;
        entry->sched_due_ms = 0;
        if (call->roster && stored) {
            take_roster(entry, call);
        }
        else if (call->roster) {
            entry->roster_dirty = true;
        }
        if (stored) {
            entry->commit_revision = result->revision;
        }
        else if (result->rc == NM_ERR_CONFLICT) {
            take_commit_conflict(entry, result);
        }
        else {
            entry->commit_unknown = result->rc != NM_ERR_UNAVAILABLE;
            nm_count_reason(NM_REASON_STORE_UNAVAILABLE);
            entry->commit_due_ms = now(entry) + COMMIT_MS;
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
    call->roster = true;
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

static void
commit(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->committing || now_ms < entry->commit_due_ms) {
        return;
    }
    if (entry->commit_unknown) {
        entry->committing = true;
        nm_kv_get(entry->desc.kv, NM_KEY_COMMIT, on_commit_read,
                  term_call(entry));
        return;
    }
    commit_call_t *call = g_new0(commit_call_t, 1);
    call->entry = entry;
    call->term = entry->term;
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_expect(&txn, NM_KEY_OWNER, entry->owner_revision);
    nm_store_txn_expect(&txn, NM_KEY_COMMIT, entry->commit_revision);
    nm_store_txn_put(&txn, NM_KEY_COMMIT, "1", 1, 0);
    while (call->count < COMMIT_RECORDS_MAX &&
           nm_sched_next_save(entry->sched, &call->saves[call->count]))
    {
        nm_sched_save_t *save = &call->saves[call->count++];
        char key[NM_NAME_MAX * 2];
        snprintf(key, sizeof(key), "%s%s", NM_KEY_PROGRESS, save->job);
        nm_store_txn_put(&txn, key, save->record,
                         (uint32_t)strlen(save->record), 0);
    }
    if (entry->roster_dirty) {
        put_roster(entry, &txn, call);
    }
    bool learned =
        now_ms >= entry->learned_due_ms && (call->count > 0 || call->roster);
    if (learned) {
        entry->learned_due_ms = now_ms + LEARNED_MS;
        char *text = nm_sched_encode_learned(entry->sched);
        nm_store_txn_put(&txn, NM_KEY_LEARNED, text, (uint32_t)strlen(text),
                         0);
        free(text);
    }
    if (call->count == 0 && !call->roster) {
        nm_store_txn_finish(&txn);
        g_free(call);
        return;
    }
    entry->committing = true;
    call->sent_ms = now_ms;
    nm_count(NM_COUNTER_JOURNAL_WRITES, 1);
    nm_count(NM_COUNTER_JOURNAL_RECORDS, call->count);
    nm_kv_commit(entry->desc.kv, &txn, on_committed, call);
    nm_store_txn_finish(&txn);
    entry->commit_due_ms = now_ms + COMMIT_MS;
}

/* --- orders --- */

/* Ends are listed until they are acknowledged, and told once. */
static void
log_failures(const nm_entry_t *entry, const char *worker,
             const nm_worker_report_t *report)
{
    int64_t seen = nm_sched_query_end(entry->sched, worker);
    static const char *const names[] = {
        [NM_END_DONE] = "done",       [NM_END_FAILED] = "failed",
        [NM_END_STOPPED] = "stopped", [NM_END_LAPSED] = "lapsed",
        [NM_END_BROKEN] = "broken",   [NM_END_ALONE] = "alone",
    };
    for (uint32_t i = 0; i < report->end_count; i++) {
        const nm_worker_end_t *end = &report->ends[i];
        if (end->number > seen && end->end != NM_END_DONE &&
            end->end != NM_END_STOPPED)
        {
            nm_log(NM_LOG_INFO, NM_LOG_ITEM_TASK_FAILED, "{s:s,s:I,s:s,s:s}",
                   "task", end->task, "run", (json_int_t)end->run, "worker",
                   worker, "end", names[end->end]);
        }
    }
}

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    term_call_t *call = user;
    nm_entry_t *entry = call->entry;
    bool current = entry->term == call->term && entry->sched;
    g_free(call);
    if (!current) {
        return;
    }
    nm_ms_t now_ms = now(entry);
    switch (action->type) {
    case NM_ACTION_START:
        nm_sched_on_start(entry->sched, action, result, now_ms);
        break;
    case NM_ACTION_STOP:
        nm_sched_on_stop(entry->sched, action, result, now_ms);
        break;
    case NM_ACTION_PACE:
        nm_sched_on_pace(entry->sched, action, result, now_ms);
        break;
    default:
        log_failures(entry, action->worker, report);
        nm_sched_on_report(entry->sched, action->worker, report, now_ms);
        break;
    }
    entry->sched_due_ms = 0;
}

void
nm_owner_apply_deployment(nm_entry_t *entry)
{
    if (!entry->sched || !entry->deployment) {
        return;
    }
    for (uint32_t i = 0; i < entry->deployment->path_count; i++) {
        nm_sched_set_queue(entry->sched, &entry->deployment->paths[i].queue);
    }
}

static void
run_sched(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (now_ms < entry->sched_due_ms) {
        return;
    }
    nm_ms_t wait = nm_sched_run(entry->sched, now_ms, nm_entry_unix_ms());
    entry->sched_due_ms = now_ms + MAX(wait, 5);
    nm_sched_action_t action;
    while (nm_sched_next_action(entry->sched, &action)) {
        nm_order_port_send(entry->orders, &action, entry->term, on_order,
                           term_call(entry));
    }
    char *gone;
    while ((gone = nm_sched_next_gone(entry->sched))) {
        entry->roster_dirty =
            g_hash_table_remove(entry->roster_wanted, gone) ||
            entry->roster_dirty;
        g_free(gone);
    }
    if (nm_sched_save_is_urgent(entry->sched)) {
        entry->commit_due_ms =
            MIN(entry->commit_due_ms, now_ms + COMMIT_URGENT_MS);
    }
    if (nm_sched_query_fenced(entry->sched)) {
        nm_owner_step_down(entry, "a worker has seen a newer epoch");
    }
}

static void
on_lease_ended(void *user, const nm_kv_result_t *result)
{
    nm_entry_t *entry = user;
    if (result->rc != NM_OK) {
        /* It ends by itself. */
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_STORE_FAILED, "{s:s,s:s,s:s}", "host",
               entry->desc.name, "call", "lease end", "reason",
               nm_error_text(result->rc));
    }
}

/* Once its progress is stored, a stopping owner makes room for the next. */
static void
hand_over(nm_entry_t *entry, nm_ms_t now_ms)
{
    bool stored = entry->role != NM_ROLE_OWNER ||
                  (!entry->committing && !nm_sched_has_saves(entry->sched));
    if (stored || now_ms - entry->stop_ms > HAND_OVER_MS) {
        nm_kv_lease_end(entry->desc.kv, entry->lease, on_lease_ended, entry);
        nm_owner_step_down(entry, "handed over");
    }
}

nm_ms_t
nm_owner_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    consider_election(entry, now_ms);
    if (entry->term == 0) {
        return 20;
    }
    renew_lease(entry, now_ms);
    nm_feed_tick(&entry->hosts_feed, now_ms);
    nm_feed_tick(&entry->owned_feed, now_ms);
    nm_feed_tick(&entry->workers_feed, now_ms);
    nm_feed_tick(&entry->progress_feed, now_ms);
    nm_feed_tick(&entry->jobs_feed, now_ms);
    verify_jobs(entry, now_ms);
    if (entry->role == NM_ROLE_OWNER) {
        run_sched(entry, now_ms);
    }
    if (entry->role == NM_ROLE_OWNER) {
        commit(entry, now_ms);
    }
    if (entry->stopping && entry->term > 0) {
        entry->commit_due_ms = now_ms;
        hand_over(entry, now_ms);
    }
    nm_ms_t due = MIN(entry->sched_due_ms, entry->renew_due_ms);
    return MAX(due - now_ms, 1);
}
