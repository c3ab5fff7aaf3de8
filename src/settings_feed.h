/*
 * Feed of settings revisions from the store.
 *
 * A thread loads the settings journal and, while watching is on, watches for
 * new records.  It delivers revisions in ascending order, each at most once,
 * as updates in a queue, and calls wake (on the feed's thread) for each.
 *
 *     nm_settings_feed_t *feed;
 *     feed = nm_settings_feed_new(store, seed, wake, user);
 *     nm_settings_feed_set_watching(feed, true);
 *     while ((update = nm_settings_feed_next(feed))) { ... }
 *     nm_settings_feed_free(feed);
 */
#ifndef NM_SETTINGS_FEED_H
#define NM_SETTINGS_FEED_H

#include <jansson.h>

#include <nutmegdeck/journal.h>

/* Store prefix of the settings journal. */
#define NM_SETTINGS_PREFIX "nutmegdeck/settings"

typedef struct {
    int64_t from_revision; /* 0: delta holds the whole tree */
    int64_t to_revision;
    json_t *delta; /* NULL: malformed record, which has no effect */
} nm_settings_update_t;

typedef struct nm_settings_feed nm_settings_feed_t;

/* seed: as for nm_journal_init(). */
nm_settings_feed_t *nm_settings_feed_new(nm_store_t *store, uint64_t seed,
                                         void (*wake)(void *user), void *user);
void nm_settings_feed_free(nm_settings_feed_t *feed);
/*
 * Turns watching on or off.  Turning it on loads the journal first.  While it
 * is off, the feed loads at its start and after nm_settings_feed_reload only.
 */
void nm_settings_feed_set_watching(nm_settings_feed_t *feed, bool watching);
/* Requests one more load, for example if a peer has a newer revision. */
void nm_settings_feed_reload(nm_settings_feed_t *feed);
/* Returns the next update, which the caller frees, or NULL. */
nm_settings_update_t *nm_settings_feed_next(nm_settings_feed_t *feed);
void nm_settings_update_free(nm_settings_update_t *update);
/*
 * True if the store responded to the last call, which may be long ago while
 * watching is off.
 */
bool nm_settings_feed_is_healthy(nm_settings_feed_t *feed);

#endif
