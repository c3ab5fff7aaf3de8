/*
 * Stand-in for the users' platform: its store, its list of machines and its
 * executors, over HTTP.
 *
 * One port serves all.  The store keeps all that it acknowledged, unless
 * drops_jobs is set; it can refuse requests, leave them without a response,
 * or apply changes without a response.  Executors are the model of
 * lib_executor.h, registered in the store unless they are unresponsive or cut
 * off (lib_entries.h); orders to one that has left for good get no response; a
 * share of the orders gets no response and is executed
 * late.
 *
 * "No response" is a 503 that arrives 4 s after the request's wait time, when
 * the caller's timeout has passed: it releases the suspended connection.
 *
 *     platform_t *platform = platform_new(&desc);
 *     platform_lock(platform);
 *     executor_crash(platform_fleet(platform), index, platform_now(platform));
 *     platform_unlock(platform);
 *     platform_free(platform);
 */
#ifndef LIB_PLATFORM_H
#define LIB_PLATFORM_H

#include "lib_executor.h"

typedef enum {
    STORE_UP,
    STORE_REFUSES,      /* responds 503, applies nothing */
    STORE_UNRESPONSIVE, /* sends no response, applies nothing */
    /* Applies transactions, but they and range reads get no response. */
    STORE_LOSES_RESPONSES,
    STORE_MODE_COUNT,
} store_mode_t;

typedef struct {
    uint16_t port; /* listener for store and executors */
    /*
     * In the executors' registrations: added to the port through which the
     * caller reaches the store.
     */
    uint16_t executor_port_offset;
    executor_fleet_desc_t fleet;
    nm_ms_t heartbeat_ms; /* of the executors' entries; 0: 1500 */
    /* The store drops a fifth of the job records that it acknowledges. */
    bool drops_jobs;
} platform_desc_t;

typedef struct platform platform_t;

platform_t *platform_new(const platform_desc_t *desc);
void platform_free(platform_t *platform);
void platform_lock(platform_t *platform);
void platform_unlock(platform_t *platform);
/* The functions below, except platform_now, need the lock. */
/* Returns the value of a key, to be freed with g_free, or NULL. */
char *platform_get(const platform_t *platform, const char *key);
/*
 * Cuts an executor off together with the owner of an epoch until a time: it
 * hears no later epoch and is not announced, and all others hear none up to
 * that epoch.
 */
void platform_cut(platform_t *platform, int64_t epoch, uint32_t executor,
                  nm_ms_t until_ms);
/* Ends the lease of a key: the key is deleted, its renewals get 404. */
void platform_revoke(platform_t *platform, const char *key);
/*
 * Lets the entries of all executors expire in the store's next outage, or in
 * the present one.
 */
void platform_expire_entries(platform_t *platform);
executor_fleet_t *platform_fleet(platform_t *platform);
void platform_put(platform_t *platform, const char *key, const char *value);
void platform_set_store(platform_t *platform, store_mode_t mode);
/* Share of orders other than polls that are executed 2 s late, unanswered. */
void platform_set_delayed_share(platform_t *platform, double share);
/* Drops the store's event history: watches from older revisions get 410. */
void platform_compact(platform_t *platform);
/* Time since the platform's start, in ms, from 1000. */
nm_ms_t platform_now(const platform_t *platform);

#endif
