/*
 * Takeover: loads what is stored before a new owner decides, and feeds later
 * changes of workers and jobs to the scheduler.
 *
 * The roster names workers that may run tasks of earlier owners.  Progress is
 * read before the jobs; from then on only this owner writes it.  A job that
 * the watch delivers later starts only after a further read of the owner key
 * has confirmed the ownership.
 */
#include "entry_state.h"

#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

#include "address.h"
#include "json_get.h"

/* Pause after a failed read of the owner key. */
#define VERIFY_RETRY_MS 100
/* Changes within this time share one watch call. */
#define JOBS_PAUSE_MS 15
#define WORKERS_PAUSE_MS 100
/*
 * A hung watch is only detected when it times out.  Cancels must reach the
 * workers within 3 s, and a draining worker must receive no new tasks.
 */
#define OWNER_WATCH_TIMEOUT_MS 800

static nm_store_kv_t *
copy_item(const nm_store_kv_t *item)
{
    nm_store_kv_t *copy = g_new0(nm_store_kv_t, 1);
    copy->key = g_strdup(item->key);
    copy->value = g_memdup2(item->value, item->value_bytes + 1);
    copy->value_bytes = item->value_bytes;
    return copy;
}

static void
add_to_roster(nm_entry_t *entry, const char *id)
{
    if (g_hash_table_add(entry->roster_wanted, g_strdup(id))) {
        entry->roster_dirty = true;
    }
}

static void
refuse(nm_entry_t *entry, nm_log_item_t item, const char *field,
       const char *name, const char *reason)
{
    nm_refusals_log(&entry->refusals, item, field, name, reason,
                    nm_entry_now(entry));
}

/* An entry that cannot be read names no worker, as if it were missing. */
static void
on_worker(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    const char *id = item->key + strlen(entry->desc.codec->workers_prefix);
    if (!item->value) {
        if (nm_sched_deregister_worker(entry->sched, id)) {
            nm_log(NM_LOG_INFO, NM_LOG_ITEM_WORKER_LOST, "{s:s}", "worker",
                   id);
        }
        return;
    }
    nm_sched_worker_t worker;
    const char *fault = NULL;
    if (entry->desc.codec->decode_worker(&worker, id, item->value,
                                         item->value_bytes, &fault) < 0)
    {
        refuse(entry, NM_LOG_ITEM_WORKER_REFUSED, "worker", id, fault);
        nm_sched_deregister_worker(entry->sched, id);
        return;
    }
    add_to_roster(entry, id);
    nm_order_relay_set_worker(&entry->relay, id, worker.zone);
    nm_authority_set_worker(entry, &worker);
    nm_sched_set_worker(entry->sched, &worker, nm_entry_now(entry));
    if (g_hash_table_contains(entry->roster, id)) {
        nm_sched_admit_worker(entry->sched, id);
    }
    entry->sched_due_ms = 0;
}

/* Returns false if the name of a cancel key names no job. */
static bool
cancelled_job(char *id, const char *name)
{
    size_t length = strlen(name) - strlen(NM_SUFFIX_CANCEL);
    if (length >= NM_JOB_ID_MAX) {
        return false;
    }
    memcpy(id, name, length);
    id[length] = '\0';
    return true;
}

static void
apply_cancel(nm_entry_t *entry, const char *name)
{
    char id[NM_JOB_ID_MAX];
    if (cancelled_job(id, name)) {
        g_hash_table_remove(entry->cancels_ahead, id);
        nm_sched_cancel_job(entry->sched, id, nm_entry_now(entry));
    }
}

void
nm_takeover_cancel(nm_entry_t *entry, const char *job)
{
    if (entry->role != NM_ROLE_OWNER) {
        g_ptr_array_add(entry->cancels,
                        g_strconcat(job, NM_SUFFIX_CANCEL, NULL));
    }
    else if (nm_sched_query_job(entry->sched, job) != NM_JOB_UNKNOWN) {
        nm_sched_cancel_job(entry->sched, job, nm_entry_now(entry));
        entry->sched_due_ms = 0;
    }
    else {
        g_hash_table_add(entry->cancels_ahead, g_strdup(job));
    }
}

static void
apply_job(nm_entry_t *entry, const nm_store_kv_t *item, bool recovered)
{
    const char *name = item->key + strlen(NM_KEY_JOBS);
    if (g_str_has_suffix(name, NM_SUFFIX_CANCEL)) {
        apply_cancel(entry, name);
        return;
    }
    nm_job_spec_t spec;
    int rc = nm_job_record_decode(&spec, name, item->value, item->value_bytes);
    if (rc == NM_OK) {
        rc = nm_sched_add_job(entry->sched, &spec, recovered,
                              nm_entry_now(entry));
    }
    if (rc < 0 && rc != NM_ERR_CONFLICT) {
        refuse(entry, NM_LOG_ITEM_JOB_REFUSED, "job", name, nm_error_text(rc));
    }
    if (rc == NM_OK && g_hash_table_remove(entry->cancels_ahead, name)) {
        nm_sched_cancel_job(entry->sched, name, nm_entry_now(entry));
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
    const char *name = item->key + strlen(NM_KEY_JOBS);
    char id[NM_JOB_ID_MAX];
    if (entry->jobs_feed.listed) {
        /* A cancel needs no confirmation; its item follows that of the job. */
        if (g_str_has_suffix(name, NM_SUFFIX_CANCEL) &&
            cancelled_job(id, name)) {
            nm_takeover_cancel(entry, id);
        }
        g_queue_push_tail(&entry->unverified, copy_item(item));
    }
    else if (g_str_has_suffix(item->key, NM_SUFFIX_CANCEL)) {
        g_ptr_array_add(entry->cancels, g_strdup(name));
    }
    else {
        apply_job(entry, item, entry->owned_epoch > 1);
    }
}

static void
on_verified(void *user, const nm_kv_result_t *result)
{
    nm_ms_t sent_ms = nm_term_call_sent_ms(user);
    nm_entry_t *entry = nm_term_call_end(user);
    if (!entry) {
        return;
    }
    guint covered = entry->verifying_count;
    entry->verifying_count = 0;
    nm_entry_record_store_result(entry, result->rc);
    bool answered = result->rc == NM_ERR_NOT_FOUND ||
                    (result->rc == NM_OK && result->item_count > 0);
    if (!answered) {
        entry->verify_due_ms = nm_entry_now(entry) + VERIFY_RETRY_MS;
        return;
    }
    if (!nm_term_check_owner_key(entry, result, sent_ms)) {
        return;
    }
    for (guint i = 0; i < covered; i++) {
        nm_store_kv_t *item = g_queue_pop_head(&entry->unverified);
        apply_job(entry, item, false);
        nm_term_free_item(item);
    }
    nm_load_on_event(entry, nm_entry_now(entry));
    entry->sched_due_ms = 0;
}

/*
 * Confirms that this host still owned the workers after new jobs were
 * written; only then may it start them at once.  A later owner is elected
 * after that: it finds the jobs in its first listing, and so polls the
 * workers before it starts any of their tasks.
 */
void
nm_takeover_verify(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->verifying_count > 0 || entry->unverified.length == 0 ||
        now_ms < entry->verify_due_ms)
    {
        return;
    }
    entry->verifying_count = entry->unverified.length;
    nm_kv_get(entry->desc.kv, NM_KEY_OWNER, on_verified,
              nm_term_call_new(entry));
}

static void
on_progress(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    if (item->value) {
        g_ptr_array_add(entry->progress, copy_item(item));
    }
}

/* Restores progress, applies cancels, and lets the scheduler decide. */
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
            refuse(entry, NM_LOG_ITEM_JOB_REFUSED, "job", job,
                   "its progress record cannot be decoded");
        }
    }
    g_ptr_array_set_size(entry->progress, 0);
    /* Applied after progress, so that a job that has ended stays as it is. */
    for (guint i = 0; i < entry->cancels->len; i++) {
        apply_cancel(entry, entry->cancels->pdata[i]);
    }
    g_ptr_array_set_size(entry->cancels, 0);
    entry->role = NM_ROLE_OWNER;
    nm_succession_activate(entry);
    nm_load_reset(entry, nm_entry_now(entry));
    entry->sched_due_ms = 0;
    nm_count(NM_COUNTER_TAKEOVERS, 1);
    nm_sched_info_t info = nm_sched_query_info(entry->sched);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_ACTIVE, "{s:I,s:i,s:i,s:i}", "epoch",
           (json_int_t)entry->owned_epoch, "jobs", info.jobs_active,
           "workers_unresolved", info.workers_unresolved, "cpu_share_permille",
           (int)(1000 * entry->desc.cpu_share));
}

static void
on_progress_listed(void *user)
{
    nm_entry_t *entry = user;
    /* From here on only this owner writes progress. */
    nm_feed_close(&entry->progress_feed);
    nm_entry_open_feed(entry, &entry->jobs_feed,
                       (nm_feed_desc_t){.prefix = NM_KEY_JOBS,
                                        .on_item = on_job,
                                        .on_listed = on_jobs_listed,
                                        .wait_ms = OWNER_WATCH_TIMEOUT_MS,
                                        .pause_ms = JOBS_PAUSE_MS});
}

/* Returns NULL, or a text that names the fault of a record. */
static const char *
decode_host(nm_relay_host_t *host, const char *name, const nm_store_kv_t *item)
{
    json_t *record =
        json_loadb((const char *)item->value, item->value_bytes, 0, NULL);
    const char *fault = NULL;
    *host = (nm_relay_host_t){
        .cpu_share = json_number_value(json_object_get(record, "cpu_share"))};
    /* Absent in records of earlier versions, and without a limit. */
    int64_t memory_mb;
    if (nm_json_get_int(json_object_get(record, "memory_mb"), UINT32_MAX,
                        &memory_mb))
    {
        host->memory_mb = (uint32_t)memory_mb;
    }
    if (name[0] == '\0' || !nm_strcopy(host->name, sizeof(host->name), name) ||
        !nm_json_copy_string(record, "zone", host->zone, sizeof(host->zone)))
    {
        fault = "its name or zone is not a string of 1 to 63 bytes";
    }
    else if (!nm_json_copy_string(record, "address", host->address,
                                  sizeof(host->address)) ||
             !nm_address_is_peer(host->address))
    {
        fault = "address is not tcp://HOST:PORT with a port from 1 to 65535";
    }
    else if (!(host->cpu_share >= 0 && host->cpu_share <= NM_CPU_SHARE_MAX)) {
        fault = "cpu_share is not a number from 0 to 1024";
    }
    json_decref(record);
    return fault;
}

static void
on_host(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    const char *name = item->key + strlen(NM_KEY_HOSTS);
    entry->hosts_changed = true;
    nm_relay_host_t host;
    const char *fault = item->value ? decode_host(&host, name, item) : NULL;
    if (!item->value || fault) {
        nm_order_relay_remove_host(&entry->relay, name);
    }
    if (fault) {
        refuse(entry, NM_LOG_ITEM_HOST_REFUSED, "name", name, fault);
    }
    else if (item->value) {
        nm_order_relay_set_host(&entry->relay, &host);
        if (strcmp(name, entry->desc.name) != 0) {
            g_queue_push_tail(&entry->announce_queue, g_strdup(host.address));
        }
    }
}

static void
load_roster(nm_entry_t *entry, const nm_store_kv_t *item)
{
    json_t *ids =
        json_loadb((const char *)item->value, item->value_bytes, 0, NULL);
    bool readable = json_is_array(ids);
    size_t i;
    json_t *id;
    json_array_foreach(ids, i, id)
    {
        const char *text = json_string_value(id);
        if (!text || !nm_sched_worker_id_is_valid(text)) {
            readable = false;
        }
        else {
            g_hash_table_add(entry->roster, g_strdup(text));
            g_hash_table_add(entry->roster_wanted, g_strdup(text));
            nm_sched_expect_worker(entry->sched, text, nm_entry_now(entry));
        }
    }
    json_decref(ids);
    if (!readable) {
        /*
         * Stands for every worker that the roster may have named, until the
         * leases of earlier owners have lapsed.
         */
        nm_sched_expect_worker(entry->sched, "unreadable-roster",
                               nm_entry_now(entry));
        refuse(entry, NM_LOG_ITEM_ROSTER_REFUSED, "key", item->key,
               "not an array of ids of workers");
    }
}

/* Loads what the last owner stored beside jobs and their progress. */
static void
on_owned(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    if (item->value && strcmp(item->key, NM_KEY_COMMIT) == 0) {
        entry->commit_revision = item->mod_revision;
    }
    else if (item->value && strcmp(item->key, NM_KEY_ROSTER) == 0) {
        load_roster(entry, item);
    }
    else if (item->value && strcmp(item->key, NM_KEY_WITNESSES) == 0) {
        nm_authority_load_witnesses(entry, item);
    }
    else if (item->value && strcmp(item->key, NM_KEY_HAND_OVER) == 0) {
        nm_succession_load_hand_over(entry, item);
    }
    else if (item->value && strcmp(item->key, NM_KEY_INTERFERENCE) == 0) {
        int rc = nm_sched_restore_learned(entry->sched, item->value,
                                          item->value_bytes);
        if (rc < 0) {
            refuse(entry, NM_LOG_ITEM_LEARNED_REFUSED, "key", item->key,
                   nm_error_text(rc));
        }
    }
}

static void
on_owned_listed(void *user)
{
    nm_entry_t *entry = user;
    nm_feed_close(&entry->owned_feed);
    nm_entry_open_feed(
        entry, &entry->workers_feed,
        (nm_feed_desc_t){.prefix = entry->desc.codec->workers_prefix,
                         .on_item = on_worker,
                         .wait_ms = OWNER_WATCH_TIMEOUT_MS,
                         .pause_ms = WORKERS_PAUSE_MS});
    nm_entry_open_feed(entry, &entry->progress_feed,
                       (nm_feed_desc_t){.prefix = NM_KEY_PROGRESS,
                                        .on_item = on_progress,
                                        .on_listed = on_progress_listed});
}

void
nm_takeover_apply_queue_config(nm_entry_t *entry)
{
    if (!entry->sched || !entry->queue_config) {
        return;
    }
    for (uint32_t i = 0; i < entry->queue_config->rule_count; i++) {
        nm_sched_set_queue(entry->sched, &entry->queue_config->rules[i].queue);
    }
}

void
nm_takeover_begin(nm_entry_t *entry, int64_t epoch, int64_t revision)
{
    entry->owned_epoch = epoch;
    entry->owner_revision = revision;
    entry->role = NM_ROLE_LOADING;
    entry->sched = nm_sched_new(
        &(nm_sched_desc_t){
            .epoch = epoch,
            /* Before epoch 1 no owner has given leases. */
            .former_lease_max_ms = epoch > 1 ? 0 : 1,
            .announce_interval_ms = entry->desc.announce_interval_ms,
            .resends_starts = true,
            .spread_factor = entry->desc.spread_factor,
            .memory_max_bytes = nm_entry_job_bytes_max(entry->desc.memory_mb),
            .seed = nm_rng_next(&entry->rng)},
        nm_entry_now(entry));
    nm_sched_set_lookahead(entry->sched, entry->desc.looks_ahead);
    entry->logged_capacity = (nm_sched_capacity_t){0};
    nm_sched_run(entry->sched, nm_entry_now(entry), nm_entry_unix_ms());
    nm_takeover_apply_queue_config(entry);
    nm_entry_evacuation_begin(entry);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_CANDIDATE, "{s:I}", "epoch",
           (json_int_t)epoch);
    nm_entry_open_feed(
        entry, &entry->hosts_feed,
        (nm_feed_desc_t){.prefix = NM_KEY_HOSTS, .on_item = on_host});
    nm_entry_open_feed(entry, &entry->owned_feed,
                       (nm_feed_desc_t){.prefix = NM_KEY_OWNED,
                                        .on_item = on_owned,
                                        .on_listed = on_owned_listed});
}
