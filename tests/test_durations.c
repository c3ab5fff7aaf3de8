/*
 * Model of durations.
 *
 * Guards against orders of placement that follow wrong estimates: the model
 * has to keep estimates that are right, replace those that say little, and
 * give stragglers and records of other writers no weight.
 */
#include <math.h>
#include <string.h>

#include "../src/durations.h"

#define STEPS 300
#define MEAN_MS 1000

typedef struct {
    const char *name;
    double error;           /* greatest error of an estimate */
    double bias;            /* factor of all durations */
    double spread;          /* of true durations, as a logarithm */
    double straggler_share; /* of steps whose median is seven times as long */
    double gain_min; /* least reduction of the mean error by the model */
} learning_case_t;

static const learning_case_t cases[] = {
    {"estimates-are-right", 0.02, 1, 0.7, 0, 0.9},
    {"estimates-are-right-but-too-short", 0.02, 4, 0.7, 0, 10},
    {"estimates-are-off-by-half", 0.5, 1, 0.3, 0, 1.05},
    {"estimates-are-off-by-nearly-all", 0.9, 1, 0.3, 0, 1.8},
    {"nearly-all-with-stragglers", 0.9, 1, 0.3, 0.03, 1.5},
};

static const nm_duration_key_t key = {"checks", 1, "image"};

/* Mean error of the last third of the steps, as a logarithm. */
static void
test_learning(const void *data)
{
    const learning_case_t *test = data;
    nm_rng_t rng;
    nm_rng_init(&rng, 1);
    nm_durations_t model;
    nm_durations_init(&model);
    double expected_error = 0;
    double estimate_error = 0;
    for (int i = 0; i < STEPS; i++) {
        double size = exp(test->spread * (2 * nm_rng_unit(&rng) - 1));
        double true_ms = MEAN_MS * size * test->bias;
        double error = 1 + test->error * (2 * nm_rng_unit(&rng) - 1);
        nm_ms_t estimate_ms = (nm_ms_t)(MEAN_MS * size * error);
        if (i >= 2 * STEPS / 3) {
            nm_ms_t expected_ms =
                nm_durations_predict(&model, &key, estimate_ms);
            expected_error += fabs(log((double)expected_ms / true_ms));
            estimate_error += fabs(log((double)estimate_ms / true_ms));
        }
        bool straggles = nm_rng_unit(&rng) < test->straggler_share;
        nm_durations_observe(&model, &key, estimate_ms,
                             (nm_ms_t)(true_ms * (straggles ? 7 : 1)));
    }
    g_test_message("error %.3f, of estimates %.3f", expected_error,
                   estimate_error);
    g_assert_cmpfloat(estimate_error, >=, test->gain_min * expected_error);
    nm_durations_finish(&model);
}

static nm_durations_t
make_learned(void)
{
    nm_durations_t model;
    nm_durations_init(&model);
    for (int i = 0; i < 50; i++) {
        nm_durations_observe(&model, &key, 100 + 10 * i, 3000);
    }
    return model;
}

static void
test_model_survives_takeover(void)
{
    nm_durations_t model = make_learned();
    char *member = nm_durations_encode(&model);
    char *text = g_strdup_printf("{\"durations\":%s}", member);
    nm_durations_t next;
    nm_durations_init(&next);
    g_assert_cmpint(nm_durations_decode(&next, text, (uint32_t)strlen(text)),
                    ==, NM_OK);
    nm_ms_t before_ms = nm_durations_predict(&model, &key, 500);
    nm_ms_t after_ms = nm_durations_predict(&next, &key, 500);
    g_assert_cmpint(before_ms, >, 1500);
    g_assert_cmpint(ABS(before_ms - after_ms), <=, before_ms / 100);
    free(member);
    g_free(text);
    nm_durations_finish(&model);
    nm_durations_finish(&next);
}

#define ROW(text) "{\"durations\":{\"version\":1,\"rows\":[" text "]}}"

static const struct {
    const char *record;
    int result;
    bool is_used;
} records[] = {
    {"", NM_ERR_CORRUPT, false},
    {"[]", NM_ERR_CORRUPT, false},
    {"{\"version\":1}", NM_OK, false},
    {"{\"durations\":7}", NM_ERR_CORRUPT, false},
    {"{\"durations\":{\"version\":2,\"rows\":[]}}", NM_ERR_CORRUPT, false},
    {"{\"durations\":{\"version\":1}}", NM_ERR_CORRUPT, false},
    {ROW("[\"checks\\n1\",50,7,8,0.5,0.5,1]"), NM_OK, true},
    {ROW("7,[],[\"checks\\n1\"]"), NM_OK, false},
    {ROW("[\"checks\\n1\",0,7,8,0,0,0]"), NM_OK, false},
    {ROW("[\"checks\\n1\",1e9,7,8,0,0,0]"), NM_OK, false},
    {ROW("[\"checks\\n1\",50,7,99,0,0,0]"), NM_OK, false},
    {ROW("[\"checks\\n1\",50,7,8,-1,0,0]"), NM_OK, false},
    {ROW("[\"checks\\n1\",50,7,8,1,1e6,0]"), NM_OK, false},
};

/* Records that another writer left must not change any prediction. */
static void
test_odd_record_is_used(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(records); i++) {
        g_test_message("%s", records[i].record);
        nm_durations_t model;
        nm_durations_init(&model);
        g_assert_cmpint(
            nm_durations_decode(&model, records[i].record,
                                (uint32_t)strlen(records[i].record)),
            ==, records[i].result);
        bool is_used = nm_durations_predict(&model, &key, 500) != 500;
        g_assert_cmpint(is_used, ==, records[i].is_used);
        nm_durations_finish(&model);
    }
}

static void
test_many_images_take_all_memory(void)
{
    nm_durations_t model;
    nm_durations_init(&model);
    for (uint32_t i = 0; i < 3 * NM_DURATIONS_ROWS_MAX; i++) {
        char image[32];
        g_snprintf(image, sizeof(image), "image-%u", i);
        nm_durations_observe(&model, &(nm_duration_key_t){"q", 0, image}, 100,
                             1000);
    }
    g_assert_cmpuint(g_hash_table_size(model.rows), <=, NM_DURATIONS_ROWS_MAX);
    /* The row of the queue is observed with each of them, and is kept. */
    g_assert_cmpint(
        nm_durations_predict(&model, &(nm_duration_key_t){"q", 0, ""}, 100), >,
        900);
    nm_durations_finish(&model);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        char *path = g_strdup_printf("/durations/learn/%s", cases[i].name);
        g_test_add_data_func(path, &cases[i], test_learning);
        g_free(path);
    }
    g_test_add_func("/durations/model-survives-takeover",
                    test_model_survives_takeover);
    g_test_add_func("/durations/odd-record-is-used", test_odd_record_is_used);
    g_test_add_func("/durations/many-images-take-all-memory",
                    test_many_images_take_all_memory);
    return g_test_run();
}
