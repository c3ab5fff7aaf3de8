#include "interference.h"

#include <assert.h>
#include <math.h>

#include <jansson.h>
#include <string.h>

/*
 * Coefficients are per this share of a worker.  Usual shares are near it,
 * which brings coefficients near 1.
 */
#define SHARE_UNIT 0.1
/* Prior of the log tail of a task without fillers beside it. */
#define BASE_MEAN (-0.7)
#define BASE_VARIANCE 0.1
/* Prior of an effect: low, so that an unknown filler is started at once. */
#define EFFECT_MEAN 0.05
#define EFFECT_VARIANCE 0.2
/* Variance of metrics from what the model leaves out: load and rounding. */
#define OBSERVATION_VARIANCE 0.1
/* Added to a variance with each metric, as effects change within seconds. */
#define PROCESS_NOISE_VARIANCE 0.0004
/* Spread of a log tail around its prediction over the next second. */
#define RISK_STANDARD_DEVIATION 0.35
/* A tail this close to its target, as a logarithm, counts as over it. */
#define RISK_MARGIN 0.1
/* Slope of the logistic curve that is closest to a normal distribution. */
#define LOGISTIC_SLOPE 1.702
#define IMAGE_CAPACITY_INITIAL 16
/* Pairs from this variance on have no usable estimate and are not stored. */
#define ENCODED_VARIANCE_MAX 0.19
/*
 * Up to this variance, after a few metrics, an effect counts as known, and
 * many fillers of the image may start.  With 0.14, one or two metrics, a burst
 * of an image started on a wrong estimate.
 */
#define KNOWN_VARIANCE_MAX 0.08
#define RECORD_VERSION 1
/* Further images share the last number; the table is of pairs of images. */
#define IMAGES_MAX 1023
/* Bounds of stored estimates: logarithms of tails, far beyond real ones. */
#define ENCODED_MEAN_MAX 20
#define ENCODED_VARIANCE_BOUND 1

static void
grow_tables(nm_interference_t *model, uint32_t capacity)
{
    nm_estimate_t *bases = g_new(nm_estimate_t, capacity);
    nm_estimate_t *effects = g_new(nm_estimate_t, (size_t)capacity * capacity);
    for (uint32_t s = 0; s < capacity; s++) {
        bool known = s < model->image_capacity;
        bases[s] = known ? model->bases[s]
                         : (nm_estimate_t){BASE_MEAN, BASE_VARIANCE};
        for (uint32_t f = 0; f < capacity; f++) {
            effects[s * capacity + f] =
                known && f < model->image_capacity
                    ? model->effects[s * model->image_capacity + f]
                    : (nm_estimate_t){EFFECT_MEAN, EFFECT_VARIANCE};
        }
    }
    g_free(model->bases);
    g_free(model->effects);
    model->bases = bases;
    model->effects = effects;
    model->image_capacity = capacity;
}

void
nm_interference_init(nm_interference_t *model)
{
    assert(model);
    *model = (nm_interference_t){0};
    model->images =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    grow_tables(model, IMAGE_CAPACITY_INITIAL);
}

void
nm_interference_finish(nm_interference_t *model)
{
    assert(model);
    g_hash_table_destroy(model->images);
    g_free(model->bases);
    g_free(model->effects);
}

uint32_t
nm_interference_image_number(nm_interference_t *model, const char *name)
{
    assert(model && name);
    uint32_t number =
        GPOINTER_TO_UINT(g_hash_table_lookup(model->images, name));
    if (number == 0 && model->image_count == IMAGES_MAX) {
        return IMAGES_MAX;
    }
    if (number == 0) {
        number = ++model->image_count;
        g_hash_table_insert(model->images, g_strdup(name),
                            GUINT_TO_POINTER(number));
        if (number >= model->image_capacity) {
            grow_tables(model, model->image_capacity * 2);
        }
    }
    return number;
}

static nm_estimate_t *
find_effect(const nm_interference_t *model, uint32_t serving, uint32_t filler)
{
    assert(serving < model->image_capacity && filler < model->image_capacity);
    return &model->effects[serving * model->image_capacity + filler];
}

double
nm_interference_effect(const nm_interference_t *model, uint32_t serving,
                       const nm_filler_load_t *load)
{
    double mean = find_effect(model, serving, load->image)->mean;
    return MAX(mean, 0) * load->share / SHARE_UNIT;
}

bool
nm_interference_is_unknown(const nm_interference_t *model, uint32_t serving,
                           uint32_t filler)
{
    assert(model);
    return find_effect(model, serving, filler)->variance > KNOWN_VARIANCE_MAX;
}

double
nm_interference_predict(const nm_interference_t *model, uint32_t serving,
                        const nm_filler_load_t *loads, uint32_t count)
{
    assert(model && serving < model->image_capacity);
    double sum = model->bases[serving].mean;
    for (uint32_t i = 0; i < count; i++) {
        sum += nm_interference_effect(model, serving, &loads[i]);
    }
    return sum;
}

static void
update_effect(nm_estimate_t *effect, double input, double error,
              double total_variance)
{
    double gain = effect->variance * input / total_variance;
    effect->mean += gain * error;
    effect->variance *= 1 - gain * input;
    effect->variance += PROCESS_NOISE_VARIANCE;
}

nm_estimate_t
nm_interference_error(const nm_interference_t *model, uint32_t serving,
                      const nm_filler_load_t *loads, uint32_t count,
                      double log_tail)
{
    assert(model && serving < model->image_capacity);
    const nm_estimate_t *base = &model->bases[serving];
    nm_estimate_t error = {log_tail - base->mean,
                           OBSERVATION_VARIANCE + base->variance};
    for (uint32_t i = 0; i < count; i++) {
        const nm_estimate_t *effect =
            find_effect(model, serving, loads[i].image);
        double input = loads[i].share / SHARE_UNIT;
        error.mean -= effect->mean * input;
        error.variance += effect->variance * input * input;
    }
    return error;
}

void
nm_interference_correct(nm_interference_t *model, uint32_t serving,
                        const nm_filler_load_t *loads, uint32_t count,
                        nm_estimate_t error)
{
    assert(model && serving < model->image_capacity);
    update_effect(&model->bases[serving], 1, error.mean, error.variance);
    for (uint32_t i = 0; i < count; i++) {
        update_effect(find_effect(model, serving, loads[i].image),
                      loads[i].share / SHARE_UNIT, error.mean, error.variance);
    }
}

double
nm_interference_risk(double log_tail)
{
    double z = (log_tail + RISK_MARGIN) / RISK_STANDARD_DEVIATION;
    return 1 / (1 + exp(-LOGISTIC_SLOPE * z));
}

static const char **
image_names(const nm_interference_t *model)
{
    const char **names = g_new0(const char *, model->image_capacity);
    GHashTableIter iter;
    gpointer name;
    gpointer number;
    g_hash_table_iter_init(&iter, model->images);
    while (g_hash_table_iter_next(&iter, &name, &number)) {
        names[GPOINTER_TO_UINT(number)] = name;
    }
    return names;
}

char *
nm_interference_encode(const nm_interference_t *model)
{
    assert(model);
    const char **names = image_names(model);
    json_t *bases = json_array();
    json_t *effects = json_array();
    for (uint32_t s = 1; s <= model->image_count; s++) {
        const nm_estimate_t *base = &model->bases[s];
        json_array_append_new(
            bases, json_pack("[s,f,f]", names[s], base->mean, base->variance));
        for (uint32_t f = 1; f <= model->image_count; f++) {
            const nm_estimate_t *effect = find_effect(model, s, f);
            if (effect->variance < ENCODED_VARIANCE_MAX) {
                json_array_append_new(
                    effects, json_pack("[s,s,f,f]", names[s], names[f],
                                       effect->mean, effect->variance));
            }
        }
    }
    json_t *record = json_pack("{s:i,s:o,s:o}", "version", RECORD_VERSION,
                               "bases", bases, "effects", effects);
    char *text = json_dumps(record, JSON_COMPACT | JSON_REAL_PRECISION(4));
    json_decref(record);
    g_free(names);
    return text;
}

static bool
estimate_is_valid(const nm_estimate_t *estimate)
{
    return fabs(estimate->mean) <= ENCODED_MEAN_MAX &&
           estimate->variance >= 0 &&
           estimate->variance <= ENCODED_VARIANCE_BOUND;
}

int
nm_interference_decode(nm_interference_t *model, const void *data,
                       uint32_t bytes)
{
    assert(model && data);
    json_t *record = json_loadb(data, bytes, 0, NULL);
    if (json_integer_value(json_object_get(record, "version")) !=
        RECORD_VERSION) {
        json_decref(record);
        return NM_ERR_CORRUPT;
    }
    size_t i;
    json_t *row;
    const char *serving;
    const char *filler;
    nm_estimate_t effect;
    json_array_foreach(json_object_get(record, "bases"), i, row)
    {
        if (json_unpack(row, "[s,F,F]", &serving, &effect.mean,
                        &effect.variance) == 0 &&
            estimate_is_valid(&effect))
        {
            uint32_t s = nm_interference_image_number(model, serving);
            model->bases[s] = effect;
        }
    }
    json_array_foreach(json_object_get(record, "effects"), i, row)
    {
        if (json_unpack(row, "[s,s,F,F]", &serving, &filler, &effect.mean,
                        &effect.variance) == 0 &&
            estimate_is_valid(&effect))
        {
            uint32_t s = nm_interference_image_number(model, serving);
            uint32_t f = nm_interference_image_number(model, filler);
            *find_effect(model, s, f) = effect;
        }
    }
    json_decref(record);
    return NM_OK;
}
