#include <nutmegdeck/base.h>

#include <assert.h>
#include <string.h>
#include <time.h>

#include <xxhash.h>

const char *
nm_error_text(int error)
{
    switch (error) {
#define X(name, number, text)                                                 \
    case number:                                                              \
        return text;
        NM_ERROR_LIST(X)
#undef X
    default:
        return error < 0 ? "unknown error" : "success";
    }
}

const char *
nm_verdict_name(nm_verdict_t verdict)
{
    switch (verdict) {
    case NM_VERDICT_NOT_RUN:
        return "not-run";
    case NM_VERDICT_RAN:
        return "ran";
    default:
        return "unknown";
    }
}

static nm_ms_t
read_clock(clockid_t id)
{
    struct timespec ts;
    clock_gettime(id, &ts);
    return (nm_ms_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}

nm_ms_t
nm_now_monotonic(void)
{
    return read_clock(CLOCK_MONOTONIC);
}

static nm_ms_t
monotonic_now(const nm_clock_t *clock)
{
    (void)clock;
    return nm_now_monotonic();
}

static nm_ms_t
manual_now(const nm_clock_t *clock)
{
    return clock->manual_ms;
}

/* CLOCK_MONOTONIC stands still while the machine is suspended. */
static nm_ms_t
monotonic_suspended(const nm_clock_t *clock)
{
    (void)clock;
    return read_clock(CLOCK_BOOTTIME) - read_clock(CLOCK_MONOTONIC);
}

static nm_ms_t
manual_suspended(const nm_clock_t *clock)
{
    return clock->manual_suspended_ms;
}

static const nm_clock_vtable_t monotonic_vtable = {monotonic_now,
                                                   monotonic_suspended};
static const nm_clock_vtable_t manual_vtable = {manual_now, manual_suspended};

void
nm_clock_init_monotonic(nm_clock_t *clock)
{
    assert(clock);
    *clock = (nm_clock_t){.vtable = &monotonic_vtable};
}

void
nm_clock_init_manual(nm_clock_t *clock, nm_ms_t start_ms)
{
    assert(clock);
    *clock = (nm_clock_t){.vtable = &manual_vtable, .manual_ms = start_ms};
}

void
nm_rng_init(nm_rng_t *rng, uint64_t seed)
{
    assert(rng);
    /* Hashed, with bit 0 set, as zero is a fixed point of xorshift. */
    rng->state = XXH3_64bits(&seed, sizeof(seed)) | 1;
}

uint64_t
nm_rng_next(nm_rng_t *rng)
{
    uint64_t x = rng->state;
    x ^= x >> 12;
    x ^= x << 25;
    x ^= x >> 27;
    rng->state = x;
    return x * 0x2545F4914F6CDD1DULL;
}

uint32_t
nm_rng_below(nm_rng_t *rng, uint32_t bound)
{
    assert(bound > 0);
    return (uint32_t)((nm_rng_next(rng) >> 32) * bound >> 32);
}

double
nm_rng_unit(nm_rng_t *rng)
{
    return (double)(nm_rng_next(rng) >> 11) * 0x1.0p-53;
}

uint64_t
nm_hash(const void *data, size_t size)
{
    return XXH3_64bits(data, size);
}

bool
nm_strcopy(char *target, size_t size, const char *source)
{
    assert(target && size > 0 && source);
    size_t length = strnlen(source, size);
    bool fits = length < size;
    if (!fits) {
        length = size - 1;
    }
    memcpy(target, source, length);
    target[length] = '\0';
    return fits;
}
