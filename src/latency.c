#include <nutmegdeck/latency.h>

#include <assert.h>
#include <stdio.h>

#include <ck_pr.h>

/* Upper bounds of the buckets; one more bucket holds longer values. */
static const nm_ms_t bucket_bounds_ms[] = {
    1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10000};

#define BUCKET_COUNT (NM_COUNT_OF(bucket_bounds_ms) + 1)

static const char *const metric_info[NM_LATENCY_COUNT][2] = {
#define X(name, label, text) {label, text},
    NM_LATENCY_LIST(X)
#undef X
};

static struct {
    uint64_t buckets[NM_LATENCY_COUNT][BUCKET_COUNT];
    uint64_t sums_ms[NM_LATENCY_COUNT];
} state;

void
nm_latency_add(nm_latency_t latency, nm_ms_t value_ms)
{
    assert(latency < NM_LATENCY_COUNT);
    size_t bucket = 0;
    while (bucket < NM_COUNT_OF(bucket_bounds_ms) &&
           value_ms > bucket_bounds_ms[bucket])
    {
        bucket++;
    }
    ck_pr_inc_64(&state.buckets[latency][bucket]);
    ck_pr_add_64(&state.sums_ms[latency],
                 (uint64_t)(value_ms > 0 ? value_ms : 0));
}

static void
write_histogram(nm_latency_t latency, nm_line_fn write_line, void *user)
{
    char line[256];
    const char *name = metric_info[latency][0];
    snprintf(line, sizeof(line), "# HELP nutmegdeck_%s_ms %s", name,
             metric_info[latency][1]);
    write_line(user, line);
    snprintf(line, sizeof(line), "# TYPE nutmegdeck_%s_ms histogram", name);
    write_line(user, line);
    unsigned long long count = 0;
    for (size_t i = 0; i < BUCKET_COUNT; i++) {
        count += ck_pr_load_64(&state.buckets[latency][i]);
        char bound[24] = "+Inf";
        if (i < NM_COUNT_OF(bucket_bounds_ms)) {
            snprintf(bound, sizeof(bound), "%lld",
                     (long long)bucket_bounds_ms[i]);
        }
        snprintf(line, sizeof(line), "nutmegdeck_%s_ms_bucket{le=\"%s\"} %llu",
                 name, bound, count);
        write_line(user, line);
    }
    snprintf(line, sizeof(line), "nutmegdeck_%s_ms_sum %llu", name,
             (unsigned long long)ck_pr_load_64(&state.sums_ms[latency]));
    write_line(user, line);
    snprintf(line, sizeof(line), "nutmegdeck_%s_ms_count %llu", name, count);
    write_line(user, line);
}

void
nm_latency_write(nm_line_fn write_line, void *user)
{
    assert(write_line);
    for (int i = 0; i < NM_LATENCY_COUNT; i++) {
        write_histogram((nm_latency_t)i, write_line, user);
    }
}
