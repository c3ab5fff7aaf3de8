#include "settings_feed.h"

#include <assert.h>
#include <pthread.h>

#include <ck_pr.h>
#include <glib.h>

#include <nutmegdeck/reason.h>

/* Wait of one watch call; it also delays a requested reload or exit. */
#define WATCH_WAIT_MS 2000
/* Pause after a failed load. */
#define RETRY_MS 500
/* Interval of checks for requests while watching is off. */
#define IDLE_SLEEP_MS 100

struct nm_settings_feed {
    nm_journal_t journal;
    pthread_t thread;
    GAsyncQueue *updates;
    void (*wake)(void *user);
    void *user;
    uint32_t watching;
    uint32_t reload_requested;
    uint32_t healthy;
    uint32_t exit_requested;
    int64_t revision; /* last delivered */
    bool needs_load;
};

void
nm_settings_update_free(nm_settings_update_t *update)
{
    if (update) {
        json_decref(update->delta);
        g_free(update);
    }
}

static void
deliver(nm_settings_feed_t *feed, int64_t from, int64_t to, const void *data,
        uint32_t bytes)
{
    nm_settings_update_t *update = g_new0(nm_settings_update_t, 1);
    update->from_revision = from;
    update->to_revision = to;
    update->delta = json_loadb(data, bytes, 0, NULL);
    feed->revision = to;
    g_async_queue_push(feed->updates, update);
    feed->wake(feed->user);
}

static int
on_record(void *user, int64_t sequence, bool is_snapshot, const void *data,
          uint32_t bytes)
{
    nm_settings_feed_t *feed = user;
    if (sequence <= feed->revision) {
        return NM_OK;
    }
    deliver(feed, is_snapshot ? 0 : sequence - 1, sequence, data, bytes);
    return NM_OK;
}

static void
load(nm_settings_feed_t *feed)
{
    int rc = nm_journal_load(&feed->journal, on_record, feed);
    bool store_reached = rc != NM_ERR_UNAVAILABLE && rc != NM_ERR_LOST;
    ck_pr_store_32(&feed->healthy, store_reached);
    feed->needs_load = rc < 0;
    if (rc == NM_ERR_CORRUPT) {
        nm_count_reason(NM_REASON_SETTINGS_CORRUPT);
    }
    else if (rc == NM_OK && feed->journal.sequence < feed->revision) {
        /* The store lost revisions; the delivered ones stay in force. */
        nm_count_reason(NM_REASON_SETTINGS_STALE);
    }
}

static bool
on_event(void *user, const nm_store_kv_t *kv)
{
    nm_settings_feed_t *feed = user;
    int64_t sequence = nm_journal_key_sequence(&feed->journal, kv->key);
    if (kv->mod_revision > feed->journal.store_revision) {
        feed->journal.store_revision = kv->mod_revision;
    }
    if (sequence < 0 || !kv->value) {
        return true;
    }
    if (sequence <= feed->revision) {
        nm_count_reason(NM_REASON_SETTINGS_STALE);
        return true;
    }
    if (sequence > feed->revision + 1) {
        nm_count_reason(NM_REASON_SETTINGS_GAP);
        feed->needs_load = true;
        return false;
    }
    deliver(feed, sequence - 1, sequence, kv->value, kv->value_bytes);
    return !ck_pr_load_32(&feed->exit_requested);
}

static void
watch(nm_settings_feed_t *feed)
{
    int rc = nm_store_watch(feed->journal.store, NM_SETTINGS_PREFIX "/log/",
                            feed->journal.store_revision + 1, WATCH_WAIT_MS,
                            on_event, feed);
    ck_pr_store_32(&feed->healthy, rc >= 0 || rc == NM_ERR_COMPACTED);
    if (rc < 0) {
        feed->needs_load = true;
    }
}

static void *
feed_thread(void *user)
{
    nm_settings_feed_t *feed = user;
    feed->needs_load = true;
    while (!ck_pr_load_32(&feed->exit_requested)) {
        if (ck_pr_fas_32(&feed->reload_requested, 0)) {
            feed->needs_load = true;
        }
        if (feed->needs_load) {
            load(feed);
            if (feed->needs_load) {
                g_usleep(RETRY_MS * 1000);
            }
        }
        else if (ck_pr_load_32(&feed->watching)) {
            watch(feed);
        }
        else {
            g_usleep(IDLE_SLEEP_MS * 1000);
        }
    }
    return NULL;
}

nm_settings_feed_t *
nm_settings_feed_new(nm_store_t *store, uint64_t seed,
                     void (*wake)(void *user), void *user)
{
    assert(store && wake);
    nm_settings_feed_t *feed = g_new0(nm_settings_feed_t, 1);
    nm_journal_init(&feed->journal, store, NM_SETTINGS_PREFIX, seed);
    feed->updates = g_async_queue_new();
    feed->wake = wake;
    feed->user = user;
    pthread_create(&feed->thread, NULL, feed_thread, feed);
    return feed;
}

void
nm_settings_feed_free(nm_settings_feed_t *feed)
{
    assert(feed);
    ck_pr_store_32(&feed->exit_requested, 1);
    pthread_join(feed->thread, NULL);
    nm_settings_update_t *update;
    while ((update = g_async_queue_try_pop(feed->updates))) {
        nm_settings_update_free(update);
    }
    g_async_queue_unref(feed->updates);
    g_free(feed);
}

void
nm_settings_feed_set_watching(nm_settings_feed_t *feed, bool watching)
{
    assert(feed);
    if (watching && !ck_pr_load_32(&feed->watching)) {
        /* Load the changes made while watching was off. */
        ck_pr_store_32(&feed->reload_requested, 1);
    }
    ck_pr_store_32(&feed->watching, watching);
}

void
nm_settings_feed_reload(nm_settings_feed_t *feed)
{
    assert(feed);
    ck_pr_store_32(&feed->reload_requested, 1);
}

nm_settings_update_t *
nm_settings_feed_next(nm_settings_feed_t *feed)
{
    assert(feed);
    return g_async_queue_try_pop(feed->updates);
}

bool
nm_settings_feed_is_healthy(nm_settings_feed_t *feed)
{
    assert(feed);
    return ck_pr_load_32(&feed->healthy);
}
