#include "feed.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>
#include <nutmegdeck/reason.h>

#define DEFAULT_WAIT_MS 5000
/* Pause after a failed call; doubles per failure up to RETRY_MAX_MS. */
#define RETRY_MS 100
#define RETRY_MAX_MS 800
/* Wait of a watch after a failure: short, to detect a recovery early. */
#define PROBE_WAIT_MS 50
/*
 * Part of the newest values from which on missed changes are listed.  Below it
 * a listing is likely to bring nothing new, and takes the time that the next
 * change needs.  While listings bring changes it is lower: a listing shows one
 * change of a key at most, so the rate is estimated too low.
 */
#define MISSED_SHARE_MAX 1.0
#define MISSED_SHARE_LISTING_MAX 0.75
/* Changes up to this size are watched, however old they are. */
#define LIST_MIN_BYTES 16384
/* Changes count for their rate for about this long. */
#define RATE_WINDOW_MS 5000

typedef struct {
    nm_feed_t *feed;
    uint64_t generation;
} call_t;

typedef struct {
    int64_t revision;
    uint32_t value_bytes;
} known_key_t;

static nm_ms_t
now(const nm_feed_t *feed)
{
    return nm_clock_now(feed->desc.clock);
}

static void
restart_listing(nm_feed_t *feed)
{
    feed->listing = true;
    feed->last_key[0] = '\0';
    g_hash_table_remove_all(feed->listed_keys);
}

void
nm_feed_open(nm_feed_t *feed, const nm_feed_desc_t *desc)
{
    assert(feed && desc && desc->kv && desc->clock && desc->prefix);
    assert(desc->on_item);
    nm_feed_close(feed);
    feed->desc = *desc;
    nm_strcopy(feed->prefix, sizeof(feed->prefix), desc->prefix);
    feed->known_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    feed->listed_keys =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    feed->open = true;
    feed->listed = false;
    feed->pending = false;
    feed->revision = 0;
    feed->next_call_ms = 0;
    feed->failures = 0;
    feed->known_bytes = 0;
    feed->new_bytes = 0;
    feed->newest_bytes = 0;
    feed->recent_bytes = 0;
    feed->changes_recorded_ms = now(feed);
    feed->missed_bytes = 0;
    feed->confirming = false;
    feed->listing_pays = false;
    feed->behind = false;
    restart_listing(feed);
}

void
nm_feed_close(nm_feed_t *feed)
{
    assert(feed);
    feed->generation++;
    if (feed->open) {
        g_hash_table_destroy(feed->known_keys);
        g_hash_table_destroy(feed->listed_keys);
        feed->open = false;
    }
}

static void
deliver(nm_feed_t *feed, const nm_store_kv_t *item)
{
    const known_key_t *known =
        g_hash_table_lookup(feed->known_keys, item->key);
    if (known && known->revision >= item->mod_revision) {
        return;
    }
    if (!known && !item->value) {
        return;
    }
    feed->known_bytes -= known ? known->value_bytes : 0;
    if (item->value) {
        known_key_t delivered = {item->mod_revision, item->value_bytes};
        feed->known_bytes += item->value_bytes;
        feed->new_bytes += item->value_bytes;
        g_hash_table_insert(feed->known_keys, g_strdup(item->key),
                            g_memdup2(&delivered, sizeof(delivered)));
    }
    else {
        g_hash_table_remove(feed->known_keys, item->key);
    }
    feed->desc.on_item(feed->desc.user, item);
}

/*
 * Delivers as deleted the known keys that a complete listing lacks, except
 * those changed after the listing began.
 */
static void
deliver_deletions(nm_feed_t *feed)
{
    GPtrArray *deleted_keys = g_ptr_array_new_with_free_func(g_free);
    GHashTableIter iter;
    gpointer key;
    gpointer known;
    g_hash_table_iter_init(&iter, feed->known_keys);
    while (g_hash_table_iter_next(&iter, &key, &known)) {
        if (!g_hash_table_contains(feed->listed_keys, key) &&
            ((const known_key_t *)known)->revision <= feed->list_revision)
        {
            g_ptr_array_add(deleted_keys, g_strdup(key));
        }
    }
    for (guint i = 0; i < deleted_keys->len; i++) {
        /* Newer than the known revision, so that deliver() accepts it. */
        nm_store_kv_t item = {.key = deleted_keys->pdata[i],
                              .mod_revision = feed->list_revision + 1};
        deliver(feed, &item);
        if (!feed->open) {
            break;
        }
    }
    g_ptr_array_free(deleted_keys, TRUE);
}

static void
process_page(nm_feed_t *feed, const nm_kv_result_t *result)
{
    uint64_t generation = feed->generation;
    if (feed->last_key[0] == '\0') {
        feed->list_revision = result->revision;
    }
    for (uint32_t i = 0; i < result->item_count; i++) {
        g_hash_table_add(feed->listed_keys, g_strdup(result->items[i].key));
        nm_strcopy(feed->last_key, sizeof(feed->last_key),
                   result->items[i].key);
        deliver(feed, &result->items[i]);
        if (feed->generation != generation) {
            return;
        }
    }
    if (result->more) {
        return;
    }
    feed->listing = false;
    feed->behind = false;
    feed->current_ms = feed->list_sent_ms;
    feed->confirming = feed->desc.confirms_changes;
    /* The watch also covers changes made after the first page. */
    feed->revision = feed->list_revision;
    deliver_deletions(feed);
    if (feed->generation != generation) {
        return;
    }
    g_hash_table_remove_all(feed->listed_keys);
    feed->listed = true;
    if (feed->desc.on_listed) {
        feed->desc.on_listed(feed->desc.user);
    }
}

/*
 * Delivers the newest change of each key: the same key may have been written
 * again since.
 */
static void
deliver_newest(nm_feed_t *feed, const nm_kv_result_t *result)
{
    uint64_t generation = feed->generation;
    GHashTable *newest = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < result->item_count; i++) {
        const nm_store_kv_t *item = &result->items[i];
        const nm_store_kv_t *known = g_hash_table_lookup(newest, item->key);
        if (!known || known->mod_revision < item->mod_revision) {
            g_hash_table_insert(newest, item->key, (gpointer)item);
        }
    }
    for (uint32_t i = 0;
         i < result->item_count && feed->generation == generation; i++)
    {
        const nm_store_kv_t *item = &result->items[i];
        if (g_hash_table_lookup(newest, item->key) == item) {
            deliver(feed, item);
        }
        else {
            feed->new_bytes += item->value_bytes;
        }
    }
    g_hash_table_destroy(newest);
}

static void
process_events(nm_feed_t *feed, const nm_kv_result_t *result)
{
    uint64_t generation = feed->generation;
    /* An empty response is sent when the wait is over, not before. */
    bool waited = result->item_count == 0 &&
                  feed->response.took_ms >= feed->call_wait_ms;
    feed->behind = result->item_count > 0 && feed->response.missed > 0;
    if (!feed->behind) {
        feed->current_ms =
            feed->call_sent_ms + (waited ? feed->call_wait_ms : 0);
    }
    feed->confirming = feed->desc.confirms_changes && result->item_count > 0;
    deliver_newest(feed, result);
    if (feed->generation != generation) {
        return;
    }
    if (result->revision > feed->revision) {
        feed->revision = result->revision;
    }
    if (result->item_count > 0 && !feed->behind) {
        feed->next_call_ms = now(feed) + feed->desc.pause_ms;
    }
}

/* Adds the changes of the newest response to the recent ones. */
static void
record_changes(nm_feed_t *feed)
{
    nm_ms_t now_ms = now(feed);
    double elapsed = (double)(now_ms - feed->changes_recorded_ms);
    feed->recent_bytes =
        feed->recent_bytes * exp(-elapsed / RATE_WINDOW_MS) + feed->new_bytes;
    feed->changes_recorded_ms = now_ms;
    feed->newest_bytes = feed->new_bytes;
    feed->new_bytes = 0;
}

/*
 * True if the changes since the store's last response are likely to be larger
 * than the newest values of all keys together.
 */
static bool
listing_is_cheaper(const nm_feed_t *feed, nm_ms_t now_ms)
{
    const nm_feed_response_t *response = &feed->response;
    nm_ms_t behind_ms = now_ms - feed->last_response_ms;
    if (response->transfer.first_byte_ms > 0) {
        behind_ms += response->took_ms - response->transfer.first_byte_ms;
    }
    if (feed->behind) {
        behind_ms = MAX(behind_ms, nm_feed_age_ms(feed));
    }
    /* recent_bytes is highest right after a change: the mean of both sides. */
    double rate =
        (feed->recent_bytes - (double)feed->newest_bytes / 2) / RATE_WINDOW_MS;
    double share =
        feed->listing_pays ? MISSED_SHARE_LISTING_MAX : MISSED_SHARE_MAX;
    double missed_bytes =
        MAX(rate * (double)behind_ms, (double)feed->missed_bytes);
    return missed_bytes > LIST_MIN_BYTES &&
           missed_bytes > share * (double)feed->known_bytes;
}

static void
record_response(nm_feed_t *feed, const nm_kv_result_t *result, nm_ms_t now_ms)
{
    feed->response = (nm_feed_response_t){
        .took_ms = now_ms - feed->sent_ms,
        .silent_ms =
            feed->last_response_ms ? now_ms - feed->last_response_ms : 0,
        .items = result->item_count,
        .missed = MAX(result->known_revision - result->revision, 0),
        .transfer = result->transfer,
    };
    feed->last_response_ms = now_ms;
}

/* At most one line per failed call: the pauses between calls bound them. */
static void
log_failure(const nm_feed_t *feed, const nm_kv_result_t *result)
{
    const nm_kv_transfer_t *transfer = &result->transfer;
    nm_ms_t now_ms = now(feed);
    nm_log(NM_LOG_WARN, NM_LOG_ITEM_FEED_FAILED,
           "{s:s,s:s,s:s,s:i,s:i,s:I,s:I,s:I,s:I,s:I,s:I,s:i}", "prefix",
           feed->prefix, "call", feed->listing ? "list" : "watch", "failure",
           transfer->failure ? transfer->failure : "refused", "status",
           transfer->status, "rc", result->rc, "bytes",
           (json_int_t)transfer->bytes, "connect_ms",
           (json_int_t)transfer->connect_ms, "first_byte_ms",
           (json_int_t)transfer->first_byte_ms, "after_ms",
           (json_int_t)(now_ms - feed->sent_ms), "silent_ms",
           (json_int_t)(now_ms - feed->last_response_ms), "revision",
           (json_int_t)feed->revision, "failures", feed->failures);
}

static void
on_result(void *user, const nm_kv_result_t *result)
{
    call_t *call = user;
    nm_feed_t *feed = call->feed;
    bool current = feed->open && call->generation == feed->generation;
    g_free(call);
    if (!current) {
        return;
    }
    nm_count(NM_COUNTER_WATCH_BYTES_IN, result->transfer.bytes);
    feed->pending = false;
    feed->next_call_ms = 0;
    if (feed->desc.on_result) {
        feed->desc.on_result(feed->desc.user, result->rc);
    }
    /* No item tells where the next page begins; the keys are not absent. */
    bool ends_early = feed->listing && result->more && result->item_count == 0;
    uint64_t generation = feed->generation;
    bool was_listed = feed->listed;
    bool was_listing = feed->listing;
    if (result->rc == NM_OK && !ends_early) {
        feed->failures = 0;
        feed->missed_bytes = 0;
        record_response(feed, result, now(feed));
        if (feed->listing) {
            nm_ms_t latency_ms = feed->response.took_ms;
            if (feed->min_list_latency_ms == 0 ||
                latency_ms < feed->min_list_latency_ms) {
                feed->min_list_latency_ms = latency_ms;
            }
            process_page(feed, result);
        }
        else {
            process_events(feed, result);
        }
        /* The first listing is no change. */
        if (feed->generation == generation && !feed->listing) {
            feed->listing_pays =
                was_listing && was_listed && feed->new_bytes > 0;
            feed->new_bytes = was_listed ? feed->new_bytes : 0;
            record_changes(feed);
        }
        return;
    }
    if (result->rc == NM_ERR_COMPACTED) {
        record_response(feed, result, now(feed));
        restart_listing(feed);
        return;
    }
    log_failure(feed, result);
    nm_ms_t pause_ms = (nm_ms_t)RETRY_MS << MIN(feed->failures, 3);
    feed->failures++;
    feed->missed_bytes = result->transfer.total_bytes;
    feed->next_call_ms = now(feed) + MIN(pause_ms, RETRY_MAX_MS);
    if (feed->listing) {
        restart_listing(feed);
    }
}

void
nm_feed_tick(nm_feed_t *feed, nm_ms_t now_ms)
{
    assert(feed);
    if (!feed->open || feed->pending || now_ms < feed->next_call_ms) {
        return;
    }
    if (!feed->listing && listing_is_cheaper(feed, now_ms)) {
        restart_listing(feed);
    }
    feed->pending = true;
    feed->sent_ms = now_ms;
    feed->call_sent_ms = nm_clock_now_with_suspend(feed->desc.clock);
    call_t *call = g_new(call_t, 1);
    *call = (call_t){feed, feed->generation};
    if (feed->listing) {
        if (feed->last_key[0] == '\0') {
            feed->list_sent_ms = feed->call_sent_ms;
        }
        nm_kv_range(feed->desc.kv, feed->prefix, feed->last_key, on_result,
                    call);
        return;
    }
    feed->call_wait_ms =
        feed->desc.wait_ms ? feed->desc.wait_ms : DEFAULT_WAIT_MS;
    if (feed->failures > 0 || feed->confirming) {
        feed->call_wait_ms = PROBE_WAIT_MS;
    }
    nm_kv_watch(feed->desc.kv, feed->prefix, feed->revision,
                feed->call_wait_ms, on_result, call);
}

nm_ms_t
nm_feed_age_ms(const nm_feed_t *feed)
{
    assert(feed);
    return feed->open && feed->listed
               ? nm_clock_now_with_suspend(feed->desc.clock) - feed->current_ms
               : NM_MS_NEVER;
}
