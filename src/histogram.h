/*
 * Latency histogram with logarithmic buckets and decaying weights.
 *
 *     nm_histogram_t histogram = {0};
 *     nm_histogram_add(&histogram, 12.5);
 *     double p99 = nm_histogram_quantile(&histogram, 0.99);
 */
#ifndef NM_HISTOGRAM_H
#define NM_HISTOGRAM_H

#include <math.h>

#include <nutmegdeck/base.h>

/* Bucket bounds grow by a factor of 2^(1/8), from 0.1 ms to 400 s. */
#define NM_HISTOGRAM_BUCKETS 176
#define NM_HISTOGRAM_MIN_MS 0.1
#define NM_HISTOGRAM_BUCKETS_PER_OCTAVE 8.0
/* When the total weight reaches this, all weights are halved. */
#define NM_HISTOGRAM_WEIGHT_MAX 4096.0

typedef struct {
    float weights[NM_HISTOGRAM_BUCKETS];
    double total;
} nm_histogram_t;

static inline void
nm_histogram_add(nm_histogram_t *histogram, double value_ms)
{
    int bucket = 0;
    if (value_ms > NM_HISTOGRAM_MIN_MS) {
        bucket = (int)(log2(value_ms / NM_HISTOGRAM_MIN_MS) *
                       NM_HISTOGRAM_BUCKETS_PER_OCTAVE);
    }
    if (bucket >= NM_HISTOGRAM_BUCKETS) {
        bucket = NM_HISTOGRAM_BUCKETS - 1;
    }
    histogram->weights[bucket] += 1;
    histogram->total += 1;
    if (histogram->total < NM_HISTOGRAM_WEIGHT_MAX) {
        return;
    }
    histogram->total = 0;
    for (int i = 0; i < NM_HISTOGRAM_BUCKETS; i++) {
        histogram->weights[i] /= 2;
        histogram->total += histogram->weights[i];
    }
}

/* Upper bound of the bucket that holds a quantile; 0: no data. */
static inline double
nm_histogram_quantile(const nm_histogram_t *histogram, double quantile)
{
    double target_weight = histogram->total * quantile;
    double sum = 0;
    for (int i = 0; i < NM_HISTOGRAM_BUCKETS && histogram->total > 0; i++) {
        sum += histogram->weights[i];
        if (sum >= target_weight) {
            return NM_HISTOGRAM_MIN_MS *
                   exp2((i + 1) / NM_HISTOGRAM_BUCKETS_PER_OCTAVE);
        }
    }
    return 0;
}

#endif
