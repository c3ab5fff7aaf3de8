#include "entry_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

/* After a stop signal the balancer needs two checks to route elsewhere. */
#define DRAIN_MS 2500
/* A stopping host exits once no request has been open for this long. */
#define STOP_IDLE_MS 300
/* Part of the grace time that is kept for the last responses and the exit. */
#define GRACE_MARGIN_MS 600
/* Part of it that is kept for the exit of the process. */
#define EXIT_MARGIN_MS 300
#define DEFAULT_CONFIG_APPLY_MS 3000
/*
 * Part of config_apply_ms that a watch of the configuration waits.  The rest
 * is for the response, or to detect that the watch hangs and to list instead.
 */
#define CONFIG_WATCH_SHARE (2.0 / 3)
/*
 * A hung watch is only detected when it times out.  With the lease of the
 * owner key, the next owner is elected before tasks have been idle for 6 s.
 */
#define CONTROL_WATCH_TIMEOUT_MS 3000

/* With at most this many workers the owner uses no carriers. */
#define DIRECT_WORKERS_MAX 100
#define REGISTER_RETRY_MS 500
/* Consecutive failed calls after which the store is treated as lost. */
#define STORE_LOST_FAILURES 3
/* Longest time between two rounds of the control thread. */
#define ROUND_INTERVAL_MAX_MS 200

int64_t
nm_entry_unix_ms(void)
{
    struct timeval tv;
    gettimeofday(&tv, NULL);
    return (int64_t)tv.tv_sec * 1000 + tv.tv_usec / 1000;
}

void
nm_entry_record_store_result(nm_entry_t *entry, int rc)
{
    nm_ms_t now_ms = nm_entry_now(entry);
    bool unresponsive = rc == NM_ERR_UNAVAILABLE || rc == NM_ERR_LOST;
    nm_ms_t unresponsive_ms = now_ms - entry->store_responded_ms;
    entry->store_failures = unresponsive ? entry->store_failures + 1 : 0;
    if (!unresponsive) {
        entry->store_responded_ms = now_ms;
    }
    bool lost = entry->store_failures >= STORE_LOST_FAILURES;
    if (lost != entry->store_lost) {
        entry->store_lost = lost;
        nm_log(lost ? NM_LOG_WARN : NM_LOG_INFO,
               lost ? NM_LOG_ITEM_STORE_FAILED : NM_LOG_ITEM_STORE_RECOVERED,
               "{s:I}", "silent_ms", (json_int_t)unresponsive_ms);
    }
}

static void
on_feed_result(void *user, int rc)
{
    nm_entry_record_store_result(user, rc);
}

static void
on_config(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    const nm_codec_t *codec = entry->desc.codec;
    if (g_str_has_prefix(item->key, codec->evacuations_prefix)) {
        nm_entry_evacuation_ignore(entry, item);
        return;
    }
    if (strcmp(item->key, codec->config_key) != 0 || !item->value) {
        return;
    }
    nm_ms_t began_ms = nm_entry_now(entry);
    nm_queue_config_t *queue_config =
        entry->desc.codec->decode_queue_config(item->value, item->value_bytes);
    if (!queue_config) {
        nm_count_reason(NM_REASON_SETTINGS_CORRUPT);
        nm_refusals_log(
            &entry->refusals, NM_LOG_ITEM_SETTINGS_REFUSED, "key", item->key,
            "the configuration record cannot be decoded", nm_entry_now(entry));
        return;
    }
    if (entry->queue_config &&
        queue_config->version <= entry->queue_config->version)
    {
        nm_count_reason(NM_REASON_SETTINGS_STALE);
        nm_queue_config_free(queue_config);
        return;
    }
    nm_queue_config_free(entry->queue_config);
    entry->queue_config = queue_config;
    entry->desc.listener->vtable->set_routes(entry->desc.listener,
                                             queue_config);
    nm_count(NM_COUNTER_SETTINGS_INSTALLED, 1);
    const nm_feed_response_t *response = &entry->config_feed.response;
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_SETTINGS_INSTALLED,
           "{s:I,s:i,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I}", "version",
           (json_int_t)queue_config->version, "queues",
           (int)queue_config->rule_count, "value_bytes",
           (int)item->value_bytes, "items", (int)response->items, "bytes",
           (json_int_t)response->transfer.bytes, "first_byte_ms",
           (json_int_t)response->transfer.first_byte_ms, "took_ms",
           (json_int_t)response->took_ms, "response_decode_ms",
           (json_int_t)response->transfer.decode_ms, "decode_ms",
           (json_int_t)(nm_entry_now(entry) - began_ms), "silent_ms",
           (json_int_t)response->silent_ms);
    nm_peer_rpc_set_config_version(entry->desc.peers, queue_config->version);
    nm_takeover_apply_queue_config(entry);
}

static void
on_control(void *user, const nm_store_kv_t *item)
{
    nm_election_apply_control(user, item);
}

/* --- this host's record, by which the owner finds it as a carrier --- */

static void
on_registered(void *user, const nm_kv_result_t *result)
{
    nm_entry_t *entry = user;
    nm_entry_record_store_result(entry, result->rc);
    entry->registering = false;
    entry->registered = result->rc == NM_OK;
    entry->register_due_ms = nm_entry_now(entry) + REGISTER_RETRY_MS;
}

static void
register_host(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->registered || entry->registering || entry->stopping ||
        now_ms < entry->register_due_ms)
    {
        return;
    }
    char key[NM_NAME_MAX * 2];
    g_snprintf(key, sizeof(key), "%s%s", NM_KEY_HOSTS, entry->desc.name);
    json_t *record =
        json_pack("{s:s,s:s,s:f,s:i}", "address", entry->desc.peer_address,
                  "zone", entry->desc.zone, "cpu_share", entry->desc.cpu_share,
                  "memory_mb", (int)entry->desc.memory_mb);
    char *text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_put(&txn, key, text, (uint32_t)strlen(text), 0);
    entry->registering = true;
    nm_kv_commit(entry->desc.kv, &txn, on_registered, entry);
    nm_store_txn_finish(&txn);
    free(text);
}

/* Deletes the record, so that a stopping host is no longer a carrier. */
static void
unregister_host(nm_entry_t *entry)
{
    char key[NM_NAME_MAX * 2];
    g_snprintf(key, sizeof(key), "%s%s", NM_KEY_HOSTS, entry->desc.name);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_delete(&txn, key, false);
    nm_kv_commit(entry->desc.kv, &txn, on_registered, entry);
    nm_store_txn_finish(&txn);
}

nm_entry_t *
nm_entry_new(const nm_entry_desc_t *desc)
{
    assert(desc && desc->kv && desc->orders && desc->listener && desc->codec);
    nm_entry_t *entry = g_new0(nm_entry_t, 1);
    entry->desc = *desc;
    if (entry->desc.config_apply_ms == 0) {
        entry->desc.config_apply_ms = DEFAULT_CONFIG_APPLY_MS;
    }
    nm_rng_init(&entry->rng, (uint64_t)nm_entry_unix_ms() ^
                                 nm_hash(desc->name, strlen(desc->name)));
    entry->orders = nm_order_relay_init(
        &entry->relay,
        &(nm_order_relay_desc_t){.direct = desc->orders,
                                 .peers = desc->peers,
                                 .clock = desc->clock,
                                 .name = desc->name,
                                 .direct_workers_max = DIRECT_WORKERS_MAX,
                                 .on_late_report = nm_owner_on_late_report,
                                 .user = entry});
    nm_order_carrier_init(&entry->carrier, desc->orders, desc->peers);
    nm_calls_init(entry);
    nm_term_init(entry);
    nm_ms_t config_wait_ms =
        (nm_ms_t)((double)entry->desc.config_apply_ms * CONFIG_WATCH_SHARE);
    nm_entry_open_feed(entry, &entry->config_feed,
                       (nm_feed_desc_t){.prefix = desc->codec->config_prefix,
                                        .on_item = on_config,
                                        .on_result = on_feed_result,
                                        .wait_ms = config_wait_ms,
                                        .confirms_changes = true});
    nm_entry_open_feed(entry, &entry->control_feed,
                       (nm_feed_desc_t){.prefix = NM_KEY_CONTROL,
                                        .on_item = on_control,
                                        .on_result = on_feed_result,
                                        .wait_ms = CONTROL_WATCH_TIMEOUT_MS});
    return entry;
}

void
nm_entry_free(nm_entry_t *entry)
{
    assert(entry);
    nm_term_finish(entry);
    nm_calls_finish(entry);
    nm_order_relay_finish(&entry->relay);
    nm_order_carrier_finish(&entry->carrier);
    nm_feed_close(&entry->config_feed);
    nm_feed_close(&entry->control_feed);
    nm_queue_config_free(entry->queue_config);
    g_free(entry);
}

static void
set_ready(nm_entry_t *entry)
{
    bool ready = entry->queue_config && !entry->stopping;
    if (ready != entry->ready) {
        entry->ready = ready;
        entry->desc.listener->vtable->set_ready(entry->desc.listener, ready);
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_READY, "{s:b}", "ready", ready);
    }
}

static void
check_stopped(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->open_ops.length > 0) {
        entry->last_call_open_ms = now_ms;
    }
    nm_ms_t stopping_ms = now_ms - entry->stop_ms;
    bool idle = stopping_ms >= DRAIN_MS &&
                now_ms - entry->last_call_open_ms >= STOP_IDLE_MS;
    bool expired = stopping_ms >= entry->desc.grace_ms - GRACE_MARGIN_MS;
    nm_api_listener_t *listener = entry->desc.listener;
    if ((idle || expired) && !entry->refusing) {
        entry->refusing = true;
        listener->vtable->refuse(listener);
    }
    if (expired) {
        nm_calls_end_open(entry);
    }
    bool answered = entry->refusing &&
                    (expired || entry->open_ops.length == 0) &&
                    listener->vtable->open_requests(listener) == 0;
    entry->stopped =
        answered || stopping_ms >= entry->desc.grace_ms - EXIT_MARGIN_MS;
}

nm_ms_t
nm_entry_run(nm_entry_t *entry)
{
    assert(entry);
    nm_ms_t now_ms = nm_entry_now(entry);
    nm_feed_tick(&entry->config_feed, now_ms);
    nm_feed_tick(&entry->control_feed, now_ms);
    nm_ms_t wait_ms = nm_calls_run(entry, now_ms);
    nm_ms_t owner_wait_ms = nm_owner_run(entry, now_ms);
    register_host(entry, now_ms);
    wait_ms = MIN(wait_ms, nm_order_relay_flush(&entry->relay, now_ms));
    wait_ms = MIN(wait_ms, nm_order_carrier_flush(&entry->carrier, now_ms));
    set_ready(entry);
    if (entry->stopping) {
        check_stopped(entry, now_ms);
    }
    return MIN(MIN(wait_ms, owner_wait_ms), ROUND_INTERVAL_MAX_MS);
}

void
nm_entry_stop(nm_entry_t *entry)
{
    assert(entry);
    if (entry->stopping) {
        return;
    }
    entry->stopping = true;
    entry->stop_ms = nm_entry_now(entry);
    entry->last_call_open_ms = entry->stop_ms;
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_STOPPING, NULL);
    unregister_host(entry);
}

bool
nm_entry_is_stopped(const nm_entry_t *entry)
{
    assert(entry);
    return entry->stopped;
}
