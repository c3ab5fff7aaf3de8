#include "place_model.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/*
 * A task may use this many times its declared size.  That much is reserved
 * until its class has a usage report.
 */
#define UNKNOWN_SIZE_FACTOR 4
#define CPU_QUANTILE 0.95
/* Added to an estimate, as a fraction of it. */
#define MEMORY_MARGIN 0.15
#define CPU_MARGIN 0.03
/* Coefficient (slowdown per share) of a class and service without samples. */
#define PRIOR_MEAN 0.4f
#define PRIOR_VARIANCE 0.25f
/* Variance of one measurement. */
#define MEASUREMENT_NOISE_VARIANCE 0.0025f
/*
 * Added to a coefficient's variance by each sample, so that the model follows
 * changes.
 */
#define PROCESS_NOISE_VARIANCE 0.00002f
/* Lower limit of a coefficient's variance: it keeps adapting to samples. */
#define VARIANCE_MIN 0.0004f

int
nm_model_band(float load)
{
    static const float limits[NM_PLACE_LOAD_BANDS] = NM_PLACE_LOAD_BAND_LIMITS;
    int band = 0;
    while (band + 1 < NM_PLACE_LOAD_BANDS && load >= limits[band]) {
        band++;
    }
    return band;
}

void
nm_class_finish(nm_class_t *class_)
{
    for (int i = 0; i < NM_PLACE_SERVICES_MAX; i++) {
        g_free(class_->coefficients[i]);
    }
}

static int
compare_int64(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

static int64_t
quantile(const int64_t *samples, uint32_t count, double fraction)
{
    int64_t sorted[NM_USAGE_SAMPLES_MAX];
    memcpy(sorted, samples, count * sizeof(sorted[0]));
    qsort(sorted, count, sizeof(sorted[0]), compare_int64);
    return sorted[(uint32_t)(fraction * (count - 1) + 0.5)];
}

void
nm_class_observe_usage(nm_class_t *class_, const nm_resources_t *usage)
{
    uint32_t slot = class_->usage_count % NM_USAGE_SAMPLES_MAX;
    class_->cpu_samples[slot] = usage->cpu_milli;
    class_->memory_samples[slot] = usage->memory_mb;
    class_->usage_count++;
    class_->estimates_stale = true;
}

/*
 * Recomputes the estimates if usage was reported since the last call.  Done
 * only when an estimate is needed, because reports are more frequent.
 */
static void
update_estimates(nm_class_t *class_)
{
    if (!class_->estimates_stale) {
        return;
    }
    class_->estimates_stale = false;
    uint32_t count = class_->usage_count < NM_USAGE_SAMPLES_MAX
                         ? class_->usage_count
                         : NM_USAGE_SAMPLES_MAX;
    class_->cpu_estimate = quantile(class_->cpu_samples, count, CPU_QUANTILE);
    class_->memory_estimate = quantile(class_->memory_samples, count, 1.0);
}

static int64_t
clamp_amount(int64_t value, int64_t limit)
{
    return value < limit ? value : limit;
}

nm_resources_t
nm_class_reservation(nm_class_t *class_, const nm_resources_t *declared,
                     const nm_resources_t *limit)
{
    update_estimates(class_);
    nm_resources_t amount = *declared;
    if (class_->has_true_size) {
        amount.cpu_milli = class_->true_size.cpu_milli;
        amount.memory_mb = class_->true_size.memory_mb;
    }
    else if (class_->usage_count == 0) {
        amount.cpu_milli *= UNKNOWN_SIZE_FACTOR;
        amount.memory_mb *= UNKNOWN_SIZE_FACTOR;
    }
    else {
        /* An extra margin: 50 % with one sample, less with each further. */
        double uncertainty = 0.5 / class_->usage_count;
        amount.cpu_milli = (int64_t)((double)class_->cpu_estimate *
                                     (1 + CPU_MARGIN + uncertainty));
        amount.memory_mb = (int64_t)((double)class_->memory_estimate *
                                     (1 + MEMORY_MARGIN + uncertainty));
    }
    amount.cpu_milli = clamp_amount(amount.cpu_milli, limit->cpu_milli);
    amount.memory_mb = clamp_amount(amount.memory_mb, limit->memory_mb);
    if (amount.cpu_milli < 1) {
        amount.cpu_milli = 1;
    }
    if (amount.memory_mb < 1) {
        amount.memory_mb = 1;
    }
    return amount;
}

static nm_coefficient_t *
ensure_coefficients(nm_class_t *class_, uint32_t service)
{
    assert(service < NM_PLACE_SERVICES_MAX);
    if (!class_->coefficients[service]) {
        nm_coefficient_t *created =
            g_new0(nm_coefficient_t, NM_PLACE_LOAD_BANDS);
        for (int i = 0; i < NM_PLACE_LOAD_BANDS; i++) {
            created[i].mean = PRIOR_MEAN;
            created[i].variance = PRIOR_VARIANCE;
        }
        class_->coefficients[service] = created;
    }
    return class_->coefficients[service];
}

const nm_coefficient_t *
nm_class_coefficient(nm_class_t *class_, uint32_t service, int band)
{
    return &ensure_coefficients(class_, service)[band];
}

/*
 * Initialises the bands without samples from the given band, and adds the
 * variance of a standard deviation of 0.3 * mean + 0.05 between bands.
 */
static void
init_unsampled_bands(nm_coefficient_t *bands, int band)
{
    for (int i = 0; i < NM_PLACE_LOAD_BANDS; i++) {
        if (i == band || bands[i].samples > 0) {
            continue;
        }
        bands[i].mean = bands[band].mean;
        float spread = 0.3f * bands[band].mean + 0.05f;
        bands[i].variance = bands[band].variance + spread * spread;
        if (bands[i].variance > PRIOR_VARIANCE) {
            bands[i].variance = PRIOR_VARIANCE;
        }
    }
}

void
nm_model_observe(const nm_class_share_t *shares, uint32_t count,
                 uint32_t service, const nm_place_sample_t *sample)
{
    int band = nm_model_band(sample->load);
    float predicted = 0;
    float total_variance = MEASUREMENT_NOISE_VARIANCE;
    for (uint32_t i = 0; i < count; i++) {
        nm_coefficient_t *coefficient =
            &ensure_coefficients(shares[i].class_, service)[band];
        coefficient->variance += PROCESS_NOISE_VARIANCE;
        predicted += coefficient->mean * shares[i].share;
        total_variance +=
            coefficient->variance * shares[i].share * shares[i].share;
    }
    float error = sample->slowdown - 1.0f - predicted;
    for (uint32_t i = 0; i < count; i++) {
        nm_coefficient_t *bands =
            ensure_coefficients(shares[i].class_, service);
        nm_coefficient_t *coefficient = &bands[band];
        float gain = coefficient->variance * shares[i].share / total_variance;
        coefficient->mean += gain * error;
        if (coefficient->mean < 0) {
            coefficient->mean = 0;
        }
        coefficient->variance *= 1.0f - gain * shares[i].share;
        if (coefficient->variance < VARIANCE_MIN) {
            coefficient->variance = VARIANCE_MIN;
        }
        coefficient->samples++;
        init_unsampled_bands(bands, band);
    }
}
