/*
 * In-process key-value store for entry hosts, on a manual clock.
 *
 * Answers are given by fake_kv_run, so that a test decides what happens
 * while a call is in flight.
 */
#ifndef FAKE_KV_H
#define FAKE_KV_H

#include "../../src/kv.h"

typedef enum {
    FAKE_KV_AVAILABLE,
    FAKE_KV_REJECTS_CALLS,  /* refuses, nothing is done */
    FAKE_KV_UNRESPONSIVE,   /* holds calls until the mode changes */
    FAKE_KV_DELAYS_COMMITS, /* answers that it is unknown, and keeps changes
                               back */
    FAKE_KV_LOSES_COMMIT_RESULTS, /* carries changes out, and answers that it
                                     is unknown */
} fake_kv_mode_t;

typedef struct fake_kv fake_kv_t;

fake_kv_t *fake_kv_new(void);
void fake_kv_free(fake_kv_t *kv);
nm_kv_t *fake_kv_port(fake_kv_t *kv);
void fake_kv_set_mode(fake_kv_t *kv, fake_kv_mode_t mode);
/* Writes as the operator or a worker would. value NULL: deletes. */
void fake_kv_put(fake_kv_t *kv, const char *key, const char *value);
/* Value of a key, or NULL. */
const char *fake_kv_value(const fake_kv_t *kv, const char *key);
/* Answers the calls that can be answered now. */
void fake_kv_run(fake_kv_t *kv);
/* Ends all open calls without effect, before a caller is freed. */
void fake_kv_end_calls(fake_kv_t *kv);
/* Watches of this prefix hear nothing; NULL: none. */
void fake_kv_suppress_watches(fake_kv_t *kv, const char *prefix);
/*
 * The connections of waiting watches of this prefix go silent: each watch is
 * given up after its time and a margin by the clock.
 */
void fake_kv_stall_watches(fake_kv_t *kv, const char *prefix,
                           const nm_clock_t *clock);
/* Carries out what was kept back, if its conditions hold. */
void fake_kv_apply_delayed(fake_kv_t *kv);
/* Drops the history, so that watches have to list again. */
void fake_kv_compact(fake_kv_t *kv);

#endif
