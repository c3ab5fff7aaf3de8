/* Tests of the interference model: learning, storing and restoring. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../src/interference.h"

/* Share of the worker's CPU that the filler has. */
#define SHARE 0.1

typedef struct {
    const char *name;
    /* Tail divided by its target, beside a filler with SHARE of the CPU. */
    double tail;
    bool harmful;
} pair_case_t;

static const pair_case_t pair_cases[] = {
    {"harmless", 0.45, false},
    {"mild", 0.6, false},
    {"heavy", 2.0, true},
    {"severe", 8.0, true},
};

/* Log tail with noise within a factor of 1.2, as workers report metrics. */
static double
noisy_log_tail(nm_rng_t *rng, double tail)
{
    return log(tail) + 0.36 * (nm_rng_unit(rng) - 0.5);
}

static void
observe(nm_interference_t *model, uint32_t serving,
        const nm_filler_load_t *loads, uint32_t count, double log_tail)
{
    nm_interference_correct(
        model, serving, loads, count,
        nm_interference_error(model, serving, loads, count, log_tail));
}

/* Observes tails without and with a filler, count times each. */
static void
train(nm_interference_t *model, double tail, uint32_t count)
{
    nm_rng_t rng;
    nm_rng_init(&rng, 1);
    uint32_t serving = nm_interference_image_number(model, "serving");
    nm_filler_load_t load = {nm_interference_image_number(model, "filler"),
                             SHARE};
    for (uint32_t i = 0; i < count; i++) {
        observe(model, serving, NULL, 0, noisy_log_tail(&rng, 0.45));
        observe(model, serving, &load, 1, noisy_log_tail(&rng, tail));
    }
}

static double
predicted_risk(nm_interference_t *model)
{
    nm_filler_load_t load = {nm_interference_image_number(model, "filler"),
                             SHARE};
    return nm_interference_risk(nm_interference_predict(
        model, nm_interference_image_number(model, "serving"), &load, 1));
}

/*
 * Ten metrics, as one worker reports them in 5 s, must be enough to
 * distinguish harmful fillers from harmless ones.
 */
static void
test_pairs_are_distinguished(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(pair_cases); i++) {
        const pair_case_t *test = &pair_cases[i];
        g_test_message("%s", test->name);
        nm_interference_t model;
        nm_interference_init(&model);
        /* A filler of unknown effect must be allowed to start. */
        g_assert_cmpfloat(predicted_risk(&model), <, 0.2);
        train(&model, test->tail, 10);
        if (test->harmful) {
            g_assert_cmpfloat(predicted_risk(&model), >, 0.5);
        }
        else {
            g_assert_cmpfloat(predicted_risk(&model), <, 0.3);
        }
        nm_interference_finish(&model);
    }
}

/*
 * After a takeover the new owner must not have to learn effects again, at the
 * cost of serving tasks over their targets.
 */
static void
test_model_survives_takeover(void)
{
    nm_interference_t first;
    nm_interference_init(&first);
    train(&first, 8.0, 10);
    char *text = nm_interference_encode(&first);
    nm_interference_t second;
    nm_interference_init(&second);
    /* Owners number images differently; the record has their names. */
    nm_interference_image_number(&second, "another");
    g_assert_cmpint(
        nm_interference_decode(&second, text, (uint32_t)strlen(text)), ==,
        NM_OK);
    g_assert_cmpfloat(fabs(predicted_risk(&first) - predicted_risk(&second)),
                      <, 0.01);
    static const char *const invalid[] = {"", "{", "[]", "{\"version\":2}",
                                          "{\"version\":1,\"bases\":[[1]]}"};
    for (size_t i = 0; i < NM_COUNT_OF(invalid); i++) {
        nm_interference_decode(&second, invalid[i],
                               (uint32_t)strlen(invalid[i]));
        g_assert_cmpfloat(predicted_risk(&second), >, 0.5);
    }
    free(text);
    nm_interference_finish(&first);
    nm_interference_finish(&second);
}

/* Growing the table for more images must keep the estimates in it. */
static void
test_image_table_grows(void)
{
    nm_interference_t model;
    nm_interference_init(&model);
    train(&model, 8.0, 10);
    double before = predicted_risk(&model);
    for (int i = 0; i < 100; i++) {
        char name[16];
        g_snprintf(name, sizeof(name), "image-%d", i);
        g_assert_cmpuint(nm_interference_image_number(&model, name), >, 0);
    }
    g_assert_cmpfloat(fabs(predicted_risk(&model) - before), <, 1e-9);
    nm_interference_finish(&model);
}

/*
 * Effects change within seconds (the platform's words).  After minutes with a
 * harmless filler, a harmful one of the same image must be noticed within the
 * twenty metrics that ten workers report in a second.
 */
static void
test_changed_effect_is_noticed(void)
{
    nm_interference_t model;
    nm_interference_init(&model);
    train(&model, 0.45, 2000);
    g_assert_cmpfloat(predicted_risk(&model), <, 0.2);
    train(&model, 4.0, 20);
    g_assert_cmpfloat(predicted_risk(&model), >, 0.5);
    nm_interference_finish(&model);
}

/* An odd estimate must not make every filler harmful, or none. */
static void
test_odd_estimate_is_used(void)
{
    static const char *const estimates[] = {
        "1e308,0.1",
        "-1e308,0.1",
        "0.1,-1",
        "0.1,1e308",
        "9223372036854775807,0.1",
        "\"a\",0.1",
    };
    nm_filler_load_t load = {2, SHARE};
    for (size_t i = 0; i < NM_COUNT_OF(estimates); i++) {
        g_test_message("%s", estimates[i]);
        char *record =
            g_strdup_printf("{\"version\":1,\"bases\":[[\"s\",%s],7],"
                            "\"effects\":[[\"s\",\"f\",%s],[\"s\",\"f\"]]}",
                            estimates[i], estimates[i]);
        nm_interference_t model;
        nm_interference_init(&model);
        uint32_t serving = nm_interference_image_number(&model, "s");
        load.image = nm_interference_image_number(&model, "f");
        double effect = nm_interference_effect(&model, serving, &load);
        double log_tail = nm_interference_predict(&model, serving, &load, 1);
        g_assert_cmpint(
            nm_interference_decode(&model, record, (uint32_t)strlen(record)),
            ==, NM_OK);
        g_assert_cmpfloat(nm_interference_effect(&model, serving, &load), ==,
                          effect);
        g_assert_cmpfloat(nm_interference_predict(&model, serving, &load, 1),
                          ==, log_tail);
        nm_interference_finish(&model);
        g_free(record);
    }
}

/* The tables grow with the square of the number of images. */
static void
test_many_images_take_all_memory(void)
{
    nm_interference_t model;
    nm_interference_init(&model);
    for (uint32_t i = 0; i < 100000; i++) {
        char name[32];
        g_snprintf(name, sizeof(name), "image-%u", i);
        nm_interference_image_number(&model, name);
    }
    g_assert_cmpuint(model.image_capacity, <=, 1024);
    nm_interference_finish(&model);
}

/*
 * Guards against an effect that counts as known after one metric, which let
 * bursts of heavy images start, and against one that never does.
 */
static void
test_one_metric_leaves_effect_unknown(void)
{
    static const struct {
        uint32_t metrics;
        bool unknown;
    } cases[] = {{0, true}, {1, true}, {8, false}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        nm_interference_t model;
        nm_interference_init(&model);
        train(&model, 2.0, cases[i].metrics);
        uint32_t serving = nm_interference_image_number(&model, "serving");
        uint32_t filler = nm_interference_image_number(&model, "filler");
        g_assert_true(nm_interference_is_unknown(&model, serving, filler) ==
                      cases[i].unknown);
        nm_interference_finish(&model);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/interference/pairs-are-distinguished",
                    test_pairs_are_distinguished);
    g_test_add_func("/interference/model-survives-takeover",
                    test_model_survives_takeover);
    g_test_add_func("/interference/image-table-grows", test_image_table_grows);
    g_test_add_func("/interference/changed-effect-is-noticed",
                    test_changed_effect_is_noticed);
    g_test_add_func("/interference/odd-estimate-is-used",
                    test_odd_estimate_is_used);
    g_test_add_func("/interference/many-images-take-all-memory",
                    test_many_images_take_all_memory);
    g_test_add_func("/interference/one-metric-leaves-effect-unknown",
                    test_one_metric_leaves_effect_unknown);
    return g_test_run();
}
