/*
 * Delivers the keys with a prefix and their changes: lists them once, then
 * watches them.
 *
 * The newest value of each key is delivered once, and an older one never
 * after it.  If the store no longer has the history that a watch needs, the
 * feed lists the keys again.  A key that was deleted in the meantime is
 * missing from the listing and is then delivered as deleted.
 *
 * A watch returns every change since the last response, a listing each key
 * once.  The feed also lists if the changes that it has missed are likely to
 * be larger than the newest values of all keys, so that catching up costs no
 * more the longer a host is behind.
 *
 * The caller has to call nm_feed_tick regularly: each call sends at most one
 * store request, and none while one is pending.
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
    /* Receives the result code of each store call; may be NULL. */
    void (*on_result)(void *user, int rc);
    /* Called when a listing is complete; may be NULL. */
    void (*on_listed)(void *user);
    void *user;
    nm_ms_t wait_ms;  /* of one watch call; 0: 5000 */
    nm_ms_t pause_ms; /* before the next watch after one with changes */
    /*
     * After changes, the next watch does not wait: its response shows how old
     * the delivered values are, see nm_feed_age_ms.
     */
    bool confirms_changes;
} nm_feed_desc_t;

/* The newest response that was whole. */
typedef struct {
    nm_ms_t took_ms;   /* since the call was sent */
    nm_ms_t silent_ms; /* since the whole response before it; 0: none */
    uint32_t items;    /* in it; a watch may have several of one key */
    int64_t missed;    /* revisions of the store that were known, after it */
    nm_kv_transfer_t transfer;
} nm_feed_response_t;

typedef struct {
    nm_feed_desc_t desc;
    char prefix[NM_NAME_MAX * 2];
    bool open;
    bool listed;  /* the first listing is complete */
    bool listing; /* the next call is a page of a listing */
    bool behind;  /* the newest watch had not all changes before it */
    bool pending; /* a store call is in flight */
    /* Counts closes; responses to calls of earlier generations are ignored. */
    uint64_t generation;
    int64_t revision;      /* changes up to it are delivered */
    int64_t list_revision; /* store revision of the listing's first page */
    /* Last key of the previous page; empty: the next page is the first. */
    char last_key[NM_STORE_KEY_MAX_BYTES];
    GHashTable *known_keys;  /* key -> what was delivered of it */
    GHashTable *listed_keys; /* keys of the listing in progress */
    uint64_t known_bytes;    /* of the newest values of all known keys */
    uint64_t new_bytes;      /* of changes in the response in progress */
    uint64_t newest_bytes;   /* of changes in the newest response */
    double recent_bytes;     /* of changes, those of a few seconds ago less */
    nm_ms_t changes_recorded_ms;
    uint64_t missed_bytes; /* of a response that broke off; 0: unknown */
    /* The delivered values were the newest at this time, with suspension. */
    nm_ms_t current_ms;
    nm_ms_t call_sent_ms; /* the newest call, with suspension */
    nm_ms_t list_sent_ms; /* the first page of a listing, with suspension */
    nm_ms_t call_wait_ms; /* how long the newest watch may wait */
    bool confirming;      /* the next watch does not wait */
    bool listing_pays;    /* the newest response listed, and had changes */
    nm_ms_t next_call_ms;
    nm_ms_t last_response_ms; /* of the last successful or compacted call */
    nm_feed_response_t response;
    nm_ms_t sent_ms;
    nm_ms_t min_list_latency_ms; /* fastest listing call; 0: none yet */
    int failures;                /* consecutive failed calls */
} nm_feed_t;

/*
 * Opens a feed, and closes it first if it is open.  The caller zeroes
 * nm_feed_t before the first call.
 */
void nm_feed_open(nm_feed_t *feed, const nm_feed_desc_t *desc);
/* The response to a call in flight is ignored. */
void nm_feed_close(nm_feed_t *feed);
/* Sends the next call if one is due. */
void nm_feed_tick(nm_feed_t *feed, nm_ms_t now_ms);
/*
 * Returns the time since the delivered values were certainly the newest ones,
 * by the store's responses; NM_MS_NEVER before the first listing.
 */
nm_ms_t nm_feed_age_ms(const nm_feed_t *feed);

#endif
