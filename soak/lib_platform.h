/*
 * Stand-in for the users' platform: its store and its executors, over HTTP.
 *
 * One port serves both.  The store loses nothing that it acknowledged; it can
 * be down, silent, or carry changes out without an answer.  Executors are the
 * model of lib_executor.h; calls to them can be lost, and carried out late.
 *
 *     platform_t *platform = platform_new(&desc);
 *     platform_lock(platform);  ... platform_fleet(platform) ...
 *     platform_free(platform);
 */
#ifndef LIB_PLATFORM_H
#define LIB_PLATFORM_H

#include "lib_executor.h"

typedef enum {
    STORE_UP,
    STORE_REFUSES,         /* 503, nothing is done */
    STORE_UNRESPONSIVE,    /* no answer, nothing is done */
    STORE_LOSES_RESPONSES, /* changes are made and not answered */
    STORE_MODE_COUNT,
} store_mode_t;

typedef struct {
    uint16_t port;          /* of store and executors */
    uint16_t executor_port; /* that executors announce */
    executor_fleet_desc_t fleet;
    bool drops_jobs; /* acknowledges jobs and drops some: checks must tell */
} platform_desc_t;

typedef struct platform platform_t;

platform_t *platform_new(const platform_desc_t *desc);
void platform_free(platform_t *platform);
void platform_lock(platform_t *platform);
void platform_unlock(platform_t *platform);
/* The rest is called with the lock held. */
executor_fleet_t *platform_fleet(platform_t *platform);
void platform_put(platform_t *platform, const char *key, const char *value);
void platform_set_store(platform_t *platform, store_mode_t mode);
/* Share of orders that get no answer and are carried out 2 s later. */
void platform_set_delayed_share(platform_t *platform, double share);
void platform_compact(platform_t *platform);
nm_ms_t platform_now(const platform_t *platform);

#endif
