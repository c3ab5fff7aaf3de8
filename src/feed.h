/*
 * Feed: the keys below a prefix, listed once and then watched.
 *
 * Each key's newest value is delivered once; keys that vanish are delivered
 * as deleted, also when they vanished while the watch was down or its
 * history was dropped.  A key never goes back to an older revision.
 *
 *     nm_feed_open(&feed, &(nm_feed_desc_t){.kv = kv, .clock = &clock,
 *                                           .prefix = "jobs/",
 *                                           .on_item = on_item});
 *     nm_feed_tick(&feed, now_ms);
 *     nm_feed_close(&feed);
 */
#ifndef NM_FEED_H
#define NM_FEED_H

#include <glib.h>

#include "kv.h"

typedef struct {
    nm_kv_t *kv;
    const nm_clock_t *clock;
    const char *prefix;
    /* item->value is NULL for a deleted key. */
    void (*on_item)(void *user, const nm_store_kv_t *item);
    /* Any call ended so; may be NULL. */
    void (*on_result)(void *user, int rc);
    /* A listing is complete. */
    void (*on_listed)(void *user);
    void *user;
    nm_ms_t wait_ms;  /* of one watch call; 0: 5000 */
    nm_ms_t pause_ms; /* between watch calls that brought changes */
} nm_feed_desc_t;

typedef struct {
    nm_feed_desc_t desc;
    char prefix[NM_NAME_MAX * 2];
    bool open;
    bool listed;  /* the first listing is complete */
    bool listing; /* the next call is a page of a listing */
    bool pending;
    uint64_t generation; /* answers of earlier ones are ignored */
    int64_t revision;    /* the watch goes on from here */
    int64_t page_revision;
    char after[NM_STORE_KEY_MAX_BYTES];
    GHashTable *known_revisions; /* key -> revision */
    GHashTable *listed_keys;     /* of the listing under way */
    nm_ms_t next_call_ms;
    nm_ms_t last_response_ms; /* last call that the store answered */
    nm_ms_t sent_ms;
    nm_ms_t min_list_latency_ms; /* fastest answer to a listing */
    int failures;                /* in a row */
} nm_feed_t;

/* A feed is zeroed before its first use; it may be opened again. */
void nm_feed_open(nm_feed_t *feed, const nm_feed_desc_t *desc);
void nm_feed_close(nm_feed_t *feed);
/* Sends the next call if one is due. */
void nm_feed_tick(nm_feed_t *feed, nm_ms_t now_ms);

#endif
