/* The interference model: learning, keeping and handing over. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../src/interference.h"

#define SHARE 0.1

typedef struct {
    const char *name;
    double tail; /* against its target, beside a tenth of the filler */
    bool harmful;
} pair_case_t;

static const pair_case_t pair_cases[] = {
    {"harmless", 0.45, false},
    {"mild", 0.6, false},
    {"heavy", 2.0, true},
    {"crushing", 8.0, true},
};

/* Figures within a factor of 1.2, as workers report them. */
static double
noisy_log_tail(nm_rng_t *rng, double tail)
{
    return log(tail) + 0.36 * (nm_rng_unit(rng) - 0.5);
}

static void
train(nm_interference_t *model, double tail, uint32_t figures)
{
    nm_rng_t rng;
    nm_rng_init(&rng, 1);
    uint32_t serving = nm_interference_image(model, "serving");
    nm_filler_load_t load = {nm_interference_image(model, "filler"), SHARE};
    for (uint32_t i = 0; i < figures; i++) {
        nm_interference_observe(model, serving, NULL, 0,
                                noisy_log_tail(&rng, 0.45));
        nm_interference_observe(model, serving, &load, 1,
                                noisy_log_tail(&rng, tail));
    }
}

static double
predicted_risk(nm_interference_t *model)
{
    nm_filler_load_t load = {nm_interference_image(model, "filler"), SHARE};
    return nm_interference_risk(nm_interference_predict(
        model, nm_interference_image(model, "serving"), &load, 1));
}

/* Ten figures, five seconds of one worker, tell harm from no harm. */
static void
test_pairs_are_distinguished(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(pair_cases); i++) {
        const pair_case_t *test = &pair_cases[i];
        g_test_message("%s", test->name);
        nm_interference_t model;
        nm_interference_init(&model);
        g_assert_cmpfloat(predicted_risk(&model), <, 0.2); /* unknown: tried */
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

/* A takeover must not have to learn again at the serving tasks' cost. */
static void
test_model_survives_takeover(void)
{
    nm_interference_t first;
    nm_interference_init(&first);
    train(&first, 8.0, 10);
    char *text = nm_interference_encode(&first);
    nm_interference_t second;
    nm_interference_init(&second);
    /* Numbers of images differ between owners; names do not. */
    nm_interference_image(&second, "another");
    g_assert_cmpint(
        nm_interference_decode(&second, text, (uint32_t)strlen(text)), ==,
        NM_OK);
    g_assert_cmpfloat(fabs(predicted_risk(&first) - predicted_risk(&second)),
                      <, 0.01);
    static const char *const broken[] = {"", "{", "[]", "{\"version\":2}",
                                         "{\"version\":1,\"bases\":[[1]]}"};
    for (size_t i = 0; i < NM_COUNT_OF(broken); i++) {
        nm_interference_decode(&second, broken[i],
                               (uint32_t)strlen(broken[i]));
        g_assert_cmpfloat(predicted_risk(&second), >, 0.5);
    }
    free(text);
    nm_interference_finish(&first);
    nm_interference_finish(&second);
}

/* More images than the table has room for at first. */
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
        g_assert_cmpuint(nm_interference_image(&model, name), >, 0);
    }
    g_assert_cmpfloat(fabs(predicted_risk(&model) - before), <, 1e-9);
    nm_interference_finish(&model);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/interference/pairs-are-told-apart",
                    test_pairs_are_distinguished);
    g_test_add_func("/interference/learned-is-handed-over",
                    test_model_survives_takeover);
    g_test_add_func("/interference/images-grow", test_image_table_grows);
    return g_test_run();
}
