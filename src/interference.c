#include "interference.h"

#include <assert.h>
#include <math.h>

/* Shares are near 0.1 of a worker; this brings coefficients near 1. */
#define SHARE_UNIT 0.1
/* Before any figure: tail of an undisturbed task, and its spread. */
#define BASE_MEAN (-0.7)
#define BASE_VARIANCE 0.1
/* Before any figure: low, so that an unknown filler is tried at once. */
#define EFFECT_MEAN 0.05
#define EFFECT_VARIANCE 0.2
/* Variance of a figure that the model cannot explain: load and rounding. */
#define FIGURE_VARIANCE 0.25
/* Added with each figure, as effects change within seconds. */
#define DRIFT_VARIANCE 0.0004
/* Spread of a tail around its prediction over the next second. */
#define RISK_DEVIATION 0.35
/* A tail within this of its target is taken as over it. */
#define RISK_MARGIN 0.1

typedef struct {
    double mean;
    double variance;
} coefficient_t;

typedef struct {
    coefficient_t base;
    GHashTable *effects; /* filler image -> coefficient_t */
} serving_t;

static void
free_serving(gpointer data)
{
    serving_t *serving = data;
    g_hash_table_destroy(serving->effects);
    g_free(serving);
}

void
nm_interference_init(nm_interference_t *model)
{
    assert(model);
    model->serving = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                           free_serving);
}

void
nm_interference_finish(nm_interference_t *model)
{
    assert(model);
    g_hash_table_destroy(model->serving);
}

static serving_t *
find_serving(nm_interference_t *model, const char *image)
{
    serving_t *serving = g_hash_table_lookup(model->serving, image);
    if (!serving) {
        serving = g_new0(serving_t, 1);
        serving->base = (coefficient_t){BASE_MEAN, BASE_VARIANCE};
        serving->effects = g_hash_table_new_full(g_str_hash, g_str_equal,
                                                 g_free, g_free);
        g_hash_table_insert(model->serving, g_strdup(image), serving);
    }
    return serving;
}

static coefficient_t *
find_effect(serving_t *serving, const char *image)
{
    coefficient_t *effect = g_hash_table_lookup(serving->effects, image);
    if (!effect) {
        effect = g_new(coefficient_t, 1);
        *effect = (coefficient_t){EFFECT_MEAN, EFFECT_VARIANCE};
        g_hash_table_insert(serving->effects, g_strdup(image), effect);
    }
    return effect;
}

double
nm_interference_predict(nm_interference_t *model, const char *image,
                        const nm_filler_load_t *loads, uint32_t count)
{
    assert(model && image);
    serving_t *serving = find_serving(model, image);
    double sum = serving->base.mean;
    for (uint32_t i = 0; i < count; i++) {
        double effect = find_effect(serving, loads[i].image)->mean;
        sum += MAX(effect, 0) * loads[i].share / SHARE_UNIT;
    }
    return sum;
}

static void
correct(coefficient_t *coefficient, double input, double error, double total)
{
    double gain = coefficient->variance * input / total;
    coefficient->mean += gain * error;
    coefficient->variance *= 1 - gain * input;
    coefficient->variance += DRIFT_VARIANCE;
}

double
nm_interference_observe(nm_interference_t *model, const char *image,
                        const nm_filler_load_t *loads, uint32_t count,
                        double log_tail)
{
    assert(model && image);
    serving_t *serving = find_serving(model, image);
    double error = log_tail - serving->base.mean;
    double total = FIGURE_VARIANCE + serving->base.variance;
    for (uint32_t i = 0; i < count; i++) {
        const coefficient_t *effect = find_effect(serving, loads[i].image);
        double input = loads[i].share / SHARE_UNIT;
        error -= effect->mean * input;
        total += effect->variance * input * input;
    }
    correct(&serving->base, 1, error, total);
    for (uint32_t i = 0; i < count; i++) {
        correct(find_effect(serving, loads[i].image),
                loads[i].share / SHARE_UNIT, error, total);
    }
    return error;
}

double
nm_interference_risk(double log_tail)
{
    return 0.5 * erfc(-(log_tail + RISK_MARGIN) / RISK_DEVIATION / sqrt(2));
}
