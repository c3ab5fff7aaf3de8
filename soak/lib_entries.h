/*
 * What executors say of themselves: their entries in the platform's store, and
 * the lists of their runs and ends.
 *
 * An executor writes its entry at each heartbeat.  The entry is removed after
 * ENTRY_HEARTBEATS heartbeats of silence, during an outage of the store only
 * if expire_in_outage is set; then it is back up to ENTRY_RETURN_MAX_MS after
 * the store's return, if the executor lives and reaches the store.
 *
 *     entries_init(&entries, &platform_desc);
 *     entries_update(&entries, platform, store_is_up, now_ms);
 */
#ifndef LIB_ENTRIES_H
#define LIB_ENTRIES_H

#include <jansson.h>

#include "lib_platform.h"

#define ENTRY_HEARTBEATS 3
#define ENTRY_RETURN_MAX_MS 2000

typedef struct {
    nm_ms_t heartbeat_ms;
    int64_t cpu_milli;
    nm_rng_t rng;
    bool store_is_up;      /* at the last update */
    bool expire_in_outage; /* until the end of the next outage */
} entries_t;

void entries_init(entries_t *entries, const platform_desc_t *desc);
/* Writes and removes the entries that are due; call it every few ms. */
void entries_update(entries_t *entries, platform_t *platform, bool store_is_up,
                    nm_ms_t now_ms);
/*
 * Sets the port in the executors' addresses in a response of the store: the
 * port that the caller has used, from its Host header, plus an offset.
 */
void entries_set_ports(json_t *response, const char *host, uint16_t offset);
/* The response to /hold: `running` and `finished`. */
json_t *entries_encode_lists(const executor_t *executor, nm_ms_t now_ms);

#endif
