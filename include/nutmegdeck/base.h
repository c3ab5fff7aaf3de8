/*
 * Base types: error numbers, the verdict type, the millisecond clock, a
 * random number generator and small helpers.
 *
 * A function that returns an error number returns 0 or a positive count on
 * success and a negative NM_ERR_* number on failure.  Modules that make
 * decisions (routing, scheduling, placement) never read a clock: their
 * callers pass the time as nm_ms_t.
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

/* Error name, number and the text for logs and command-line output. */
#define NM_ERROR_LIST(X)                                                      \
    X(INVAL, -1, "invalid argument")                                          \
    X(UNAVAILABLE, -2, "service unavailable, nothing was applied")            \
    X(LOST, -3, "response lost, the change may have been applied")            \
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

/* Returns a static description of an error number. */
const char *nm_error_text(int error);

/* Whether a request ran on a back end. */
typedef enum {
    NM_VERDICT_NOT_RUN, /* it certainly did not run */
    NM_VERDICT_RAN,     /* it certainly ran */
    NM_VERDICT_UNKNOWN, /* it may have run */
} nm_verdict_t;

/* Returns "not-run", "ran" or "unknown". */
const char *nm_verdict_name(nm_verdict_t verdict);

/* Milliseconds on a monotonic clock of unspecified origin. */
typedef int64_t nm_ms_t;

#define NM_MS_NEVER INT64_MAX
/*
 * A longer pause between two rounds of a thread is a stall of this host
 * itself: responses wait in its sockets meanwhile.
 */
#define NM_LOCAL_STALL_MIN_MS 250

typedef struct nm_clock nm_clock_t;

typedef struct {
    nm_ms_t (*now)(const nm_clock_t *clock);
    nm_ms_t (*suspended)(const nm_clock_t *clock);
} nm_clock_vtable_t;

/*
 * Time source.  Daemons use the monotonic clock; tests set manual_ms and
 * manual_suspended_ms.
 */
struct nm_clock {
    const nm_clock_vtable_t *vtable;
    nm_ms_t manual_ms;
    nm_ms_t manual_suspended_ms;
};

void nm_clock_init_monotonic(nm_clock_t *clock);
void nm_clock_init_manual(nm_clock_t *clock, nm_ms_t start_ms);

static inline nm_ms_t
nm_clock_now(const nm_clock_t *clock)
{
    return clock->vtable->now(clock);
}

/*
 * Returns a time that also advances while the machine is suspended, for what
 * must not outlast a real time.
 */
static inline nm_ms_t
nm_clock_now_with_suspend(const nm_clock_t *clock)
{
    return clock->vtable->now(clock) + clock->vtable->suspended(clock);
}

/* Reads the monotonic clock, for code that has no nm_clock_t. */
nm_ms_t nm_now_monotonic(void);

/* Deterministic xorshift generator: equal seeds give equal sequences. */
typedef struct {
    uint64_t state;
} nm_rng_t;

void nm_rng_init(nm_rng_t *rng, uint64_t seed);
uint64_t nm_rng_next(nm_rng_t *rng);
/* Returns a value in [0, bound).  bound must be positive. */
uint32_t nm_rng_below(nm_rng_t *rng, uint32_t bound);
/* Returns a value in [0, 1). */
double nm_rng_unit(nm_rng_t *rng);

/* Returns the 64-bit XXH3 hash of a byte string. */
uint64_t nm_hash(const void *data, size_t size);

/* Copies a string into a fixed buffer; returns false if truncated. */
bool nm_strcopy(char *target, size_t size, const char *source);

#define NM_COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))
/* Size in bytes of a buffer for a name, with its terminating zero. */
#define NM_NAME_MAX 64

#endif
