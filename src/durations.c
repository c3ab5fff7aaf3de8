#include "durations.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include <jansson.h>

/* Steps after which an observation weighs 1/e of a new one. */
#define MEMORY_STEPS 200.0
/* Steps with the weight of the prior: the estimate is the duration. */
#define PRIOR_STEPS 4.0
/* The same for the slope, with the variance of a logarithm that it assumes. */
#define PRIOR_SLOPE_STEPS 10.0
#define PRIOR_SLOPE_VARIANCE 0.1
/* Steps of an image from which its own row is used. */
#define IMAGE_STEPS_MIN 20.0
/*
 * Limit of the deviation of one step from its prediction: estimates are wrong
 * by a factor of ten at most; a step whose median is a straggler counts less.
 */
#define DEVIATION_MAX 2.4
/*
 * Limit of the logarithm of prediction / estimate.  It also keeps sums of work
 * within int64_t, as those of estimates are (NM_JOB_CORE_MS_MAX).
 */
#define PREDICTED_RATIO_MAX 2.7
/*
 * Mean error, as a logarithm, up to which estimates are taken as they are:
 * tasks that deviate by 0.4 from a right estimate give less.
 */
#define ERROR_MIN 0.25
#define NAME_MAX_BYTES (2 * NM_NAME_MAX + 16)
#define RECORD_VERSION 1
/* Bound of stored logarithms: some 12 days in milliseconds. */
#define ENCODED_LOG_MAX 21

typedef struct {
    double steps; /* weight of all observations */
    double estimate_mean;
    double duration_mean;
    double estimate_variance;
    double covariance;
    double error_square; /* mean square of log(duration / estimate) */
    uint64_t observed;   /* number of its newest observation */
} row_t;

void
nm_durations_init(nm_durations_t *model)
{
    assert(model);
    *model = (nm_durations_t){.rows = g_hash_table_new_full(
                                  g_str_hash, g_str_equal, g_free, g_free)};
}

void
nm_durations_finish(nm_durations_t *model)
{
    assert(model);
    g_hash_table_destroy(model->rows);
}

/* Names that contain a line feed may share a row. */
static void
make_name(const nm_duration_key_t *key, bool with_image,
          char name[NAME_MAX_BYTES])
{
    if (with_image) {
        g_snprintf(name, NAME_MAX_BYTES, "%s\n%u\n%s", key->queue, key->step,
                   key->image);
    }
    else {
        g_snprintf(name, NAME_MAX_BYTES, "%s\n%u", key->queue, key->step);
    }
}

static void
remove_oldest(nm_durations_t *model)
{
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    gpointer oldest = NULL;
    uint64_t oldest_observed = UINT64_MAX;
    g_hash_table_iter_init(&iter, model->rows);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const row_t *row = value;
        if (row->observed < oldest_observed) {
            oldest_observed = row->observed;
            oldest = name;
        }
    }
    g_hash_table_remove(model->rows, oldest);
}

static row_t *
add_row(nm_durations_t *model, const char *name)
{
    row_t *row = g_hash_table_lookup(model->rows, name);
    if (!row) {
        if (g_hash_table_size(model->rows) >= NM_DURATIONS_ROWS_MAX) {
            remove_oldest(model);
        }
        row = g_new0(row_t, 1);
        g_hash_table_insert(model->rows, g_strdup(name), row);
    }
    return row;
}

/* Returns the expected logarithm of a duration. */
static double
predict_log(const row_t *row, double log_estimate)
{
    double prior = PRIOR_SLOPE_STEPS * PRIOR_SLOPE_VARIANCE;
    double slope = (row->steps * row->covariance + prior) /
                   (row->steps * row->estimate_variance + prior);
    slope = CLAMP(slope, 0, 1);
    double learned =
        row->duration_mean + slope * (log_estimate - row->estimate_mean);
    double weight = row->steps / (row->steps + PRIOR_STEPS);
    return log_estimate + weight * (learned - log_estimate);
}

static void
observe_row(row_t *row, double log_estimate, double log_duration)
{
    double expected = predict_log(row, log_estimate);
    log_duration = CLAMP(log_duration, expected - DEVIATION_MAX,
                         expected + DEVIATION_MAX);
    row->steps = row->steps * (1 - 1 / MEMORY_STEPS) + 1;
    double gain = 1 / row->steps;
    double estimate_error = log_estimate - row->estimate_mean;
    double duration_error = log_duration - row->duration_mean;
    double ratio = log_duration - log_estimate;
    row->estimate_mean += gain * estimate_error;
    row->duration_mean += gain * duration_error;
    row->estimate_variance +=
        gain * ((1 - gain) * estimate_error * estimate_error -
                row->estimate_variance);
    row->covariance += gain * ((1 - gain) * estimate_error * duration_error -
                               row->covariance);
    row->error_square += gain * (ratio * ratio - row->error_square);
}

void
nm_durations_observe(nm_durations_t *model, const nm_duration_key_t *key,
                     nm_ms_t estimate_ms, nm_ms_t median_ms)
{
    assert(model && key);
    if (estimate_ms < 1 || median_ms < 1) {
        return;
    }
    model->observations++;
    double log_estimate = log((double)estimate_ms);
    double log_duration = log((double)median_ms);
    for (int i = 0; i < (key->image[0] != '\0' ? 2 : 1); i++) {
        char name[NAME_MAX_BYTES];
        make_name(key, i == 1, name);
        row_t *row = add_row(model, name);
        row->observed = model->observations;
        observe_row(row, log_estimate, log_duration);
    }
}

static const row_t *
find_row(const nm_durations_t *model, const nm_duration_key_t *key)
{
    char name[NAME_MAX_BYTES];
    if (key->image[0] != '\0') {
        make_name(key, true, name);
        const row_t *row = g_hash_table_lookup(model->rows, name);
        if (row && row->steps >= IMAGE_STEPS_MIN) {
            return row;
        }
    }
    make_name(key, false, name);
    return g_hash_table_lookup(model->rows, name);
}

nm_ms_t
nm_durations_predict(const nm_durations_t *model, const nm_duration_key_t *key,
                     nm_ms_t estimate_ms)
{
    assert(model && key);
    const row_t *row = estimate_ms < 1 ? NULL : find_row(model, key);
    if (!row || row->error_square < ERROR_MIN * ERROR_MIN) {
        return estimate_ms;
    }
    double log_estimate = log((double)estimate_ms);
    double log_expected = predict_log(row, log_estimate);
    log_expected = CLAMP(log_expected, log_estimate - PREDICTED_RATIO_MAX,
                         log_estimate + PREDICTED_RATIO_MAX);
    return MAX((nm_ms_t)llround(exp(log_expected)), 1);
}

double
nm_durations_error(const nm_durations_t *model, const char *queue)
{
    assert(model && queue);
    char name[NAME_MAX_BYTES];
    make_name(&(nm_duration_key_t){queue, 0, ""}, false, name);
    const row_t *row = g_hash_table_lookup(model->rows, name);
    return row ? sqrt(row->error_square) : -1;
}

char *
nm_durations_encode(const nm_durations_t *model)
{
    assert(model);
    json_t *rows = json_array();
    GHashTableIter iter;
    gpointer name;
    gpointer value;
    g_hash_table_iter_init(&iter, model->rows);
    while (g_hash_table_iter_next(&iter, &name, &value)) {
        const row_t *row = value;
        json_array_append_new(
            rows, json_pack("[s,f,f,f,f,f,f]", (const char *)name, row->steps,
                            row->estimate_mean, row->duration_mean,
                            row->estimate_variance, row->covariance,
                            row->error_square));
    }
    json_t *record =
        json_pack("{s:i,s:o}", "version", RECORD_VERSION, "rows", rows);
    char *text = json_dumps(record, JSON_COMPACT | JSON_REAL_PRECISION(5));
    json_decref(record);
    return text;
}

static bool
row_is_valid(const char *name, const row_t *row)
{
    double log_square_max = ENCODED_LOG_MAX * ENCODED_LOG_MAX;
    return strlen(name) < NAME_MAX_BYTES && row->steps >= 1 &&
           row->steps <= MEMORY_STEPS && row->estimate_mean >= 0 &&
           row->estimate_mean <= ENCODED_LOG_MAX && row->duration_mean >= 0 &&
           row->duration_mean <= ENCODED_LOG_MAX &&
           row->estimate_variance >= 0 &&
           row->estimate_variance <= log_square_max &&
           fabs(row->covariance) <= log_square_max && row->error_square >= 0 &&
           row->error_square <= log_square_max;
}

int
nm_durations_decode(nm_durations_t *model, const void *data, uint32_t bytes)
{
    assert(model && data);
    json_t *record = json_loadb(data, bytes, 0, NULL);
    const json_t *member = json_object_get(record, "durations");
    const json_t *rows = json_object_get(member, "rows");
    if (json_integer_value(json_object_get(member, "version")) !=
            RECORD_VERSION ||
        !json_is_array(rows))
    {
        bool is_older = json_is_object(record) && !member;
        json_decref(record);
        return is_older ? NM_OK : NM_ERR_CORRUPT;
    }
    size_t i;
    json_t *entry;
    json_array_foreach(rows, i, entry)
    {
        const char *name;
        row_t row = {0};
        if (json_unpack(entry, "[s,F,F,F,F,F,F]", &name, &row.steps,
                        &row.estimate_mean, &row.duration_mean,
                        &row.estimate_variance, &row.covariance,
                        &row.error_square) == 0 &&
            row_is_valid(name, &row))
        {
            *add_row(model, name) = row;
        }
    }
    json_decref(record);
    return NM_OK;
}
