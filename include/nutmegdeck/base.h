/*
 * Base types: error numbers, the verdict type and the millisecond clock.
 *
 * Every function that can fail returns 0 or a positive count on success and
 * a negative NM_ERR_* number on failure.  Decision modules never read a
 * clock; they are given the time as nm_ms_t.
 *
 *     nm_clock_t clock;
 *     nm_clock_init_monotonic(&clock);
 *     nm_ms_t now_ms = nm_clock_now(&clock);
 */
#ifndef NUTMEGDECK_BASE_H
#define NUTMEGDECK_BASE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* Error numbers with the text shown to operators. */
#define NM_ERROR_LIST(X)                                                      \
    X(INVAL, -1, "invalid argument")                                          \
    X(UNAVAILABLE, -2, "service unavailable, nothing was applied")            \
    X(LOST, -3, "answer lost, the change may have been applied")              \
    X(CONFLICT, -4, "conflicting change")                                     \
    X(NOT_FOUND, -5, "not found")                                             \
    X(TOO_LARGE, -6, "value too large")                                       \
    X(CORRUPT, -7, "malformed data")                                          \
    X(COMPACTED, -8, "history already compacted")                             \
    X(FULL, -9, "capacity exhausted")                                         \
    X(STALE, -10, "superseded by a newer epoch or revision")                  \
    X(NO_MEMORY, -11, "out of memory")                                        \
    X(IO, -12, "input/output error")

enum nm_error {
    NM_OK = 0,
#define X(name, number, text) NM_ERR_##name = number,
    NM_ERROR_LIST(X)
#undef X
};

/* Returns a static description of a negative error number. */
const char *nm_error_text(int error);

/* Tells whether a request may have run on a back end. */
typedef enum {
    NM_VERDICT_NOT_RUN, /* certain not to have run */
    NM_VERDICT_RAN,     /* certain to have run */
    NM_VERDICT_UNKNOWN, /* may or may not have run */
} nm_verdict_t;

/* Returns "not-run", "ran" or "unknown". */
const char *nm_verdict_name(nm_verdict_t verdict);

/* Milliseconds on a monotonic clock of unspecified origin. */
typedef int64_t nm_ms_t;

#define NM_MS_NEVER INT64_MAX

typedef struct nm_clock nm_clock_t;

typedef struct {
    nm_ms_t (*now)(const nm_clock_t *clock);
} nm_clock_vtable_t;

/* A time source.  Tests set manual_ms; daemons use the monotonic clock. */
struct nm_clock {
    const nm_clock_vtable_t *vtable;
    nm_ms_t manual_ms;
};

void nm_clock_init_monotonic(nm_clock_t *clock);
void nm_clock_init_manual(nm_clock_t *clock, nm_ms_t start_ms);

static inline nm_ms_t
nm_clock_now(const nm_clock_t *clock)
{
    return clock->vtable->now(clock);
}

/* The monotonic clock, where no clock can be handed in. */
nm_ms_t nm_now_monotonic(void);

/* Deterministic xorshift generator, seeded by the caller. */
typedef struct {
    uint64_t state;
} nm_rng_t;

void nm_rng_init(nm_rng_t *rng, uint64_t seed);
uint64_t nm_rng_next(nm_rng_t *rng);
/* Returns a value in [0, bound). bound must be positive. */
uint32_t nm_rng_below(nm_rng_t *rng, uint32_t bound);
/* Returns a value in [0, 1). */
double nm_rng_unit(nm_rng_t *rng);

/* 64-bit hash of a byte string. */
uint64_t nm_hash(const void *data, size_t size);

/* Copies a string into a fixed buffer; returns false if it was cut. */
bool nm_strcopy(char *target, size_t size, const char *source);

#define NM_COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))
#define NM_NAME_MAX 64

#endif
