/*
 * In-process key-value store for tests of entry hosts.
 *
 * Responses are delivered only in fake_kv_run, so that a test decides what
 * happens while a call is in flight.  Leases do not expire by themselves.
 *
 *     fake_kv_t *kv = fake_kv_new();
 *     nm_kv_get(fake_kv_port(kv), "key", on_value, user);
 *     fake_kv_run(kv);
 *     fake_kv_free(kv);
 */
#ifndef FAKE_KV_H
#define FAKE_KV_H

#include "../../src/kv.h"

typedef enum {
    FAKE_KV_AVAILABLE,
    /* Calls fail with NM_ERR_UNAVAILABLE and have no effect. */
    FAKE_KV_REJECTS_CALLS,
    /* Calls stay open until the mode changes. */
    FAKE_KV_UNRESPONSIVE,
    /* Commits fail with NM_ERR_LOST and wait for fake_kv_apply_delayed. */
    FAKE_KV_DELAYS_COMMITS,
    /* Commits are applied, but fail with NM_ERR_LOST. */
    FAKE_KV_LOSES_COMMIT_RESULTS,
} fake_kv_mode_t;

typedef struct fake_kv fake_kv_t;

fake_kv_t *fake_kv_new(void);
void fake_kv_free(fake_kv_t *kv);
nm_kv_t *fake_kv_port(fake_kv_t *kv);
void fake_kv_set_mode(fake_kv_t *kv, fake_kv_mode_t mode);
/* Writes a key as the operator or a worker would; value NULL deletes it. */
void fake_kv_put(fake_kv_t *kv, const char *key, const char *value);
/* As fake_kv_put, for values with any bytes; value must not be NULL. */
void fake_kv_put_bytes(fake_kv_t *kv, const char *key, const void *value,
                       uint32_t bytes);
/* Returns the value of a key, or NULL without one. */
const char *fake_kv_value(const fake_kv_t *kv, const char *key);
/* Responds to all open calls that need not wait any longer. */
void fake_kv_run(fake_kv_t *kv);
/* Fails all open calls without effect; needed before a caller is freed. */
void fake_kv_end_calls(fake_kv_t *kv);
/* Watches of this prefix report no changes any more; NULL: no prefix. */
void fake_kv_suppress_watches(fake_kv_t *kv, const char *prefix);
/*
 * Responds to watches without a change once their waiting time is over, by a
 * clock.  Until this is called they wait for a change.
 */
void fake_kv_answer_idle_watches(fake_kv_t *kv, const nm_clock_t *clock);
/*
 * Stalls the connections of the open watches of this prefix: each watch times
 * out after its waiting time and a margin, measured by the clock.
 */
void fake_kv_stall_watches(fake_kv_t *kv, const char *prefix,
                           const nm_clock_t *clock);
/* Applies the delayed commits whose comparisons hold. */
void fake_kv_apply_delayed(fake_kv_t *kv);
/* Drops the history, so that watches of earlier revisions must list again. */
void fake_kv_compact(fake_kv_t *kv);

#endif
