/*
 * Memory eviction by the placement module, on a manual clock.
 *
 * Guards against a worker that stays over its memory because its tasks use
 * more than they declared, and against evicting more tasks than needed or a
 * task of a higher priority.
 */

#include <glib.h>

#include <nutmegdeck/place.h>

#define TASKS 4
#define START_MS 10000

typedef struct {
    const char *name;
    int64_t usage_mb;   /* reported for each task */
    uint32_t evictions; /* expected, for the rest to fit into 8000 MB */
} memory_case_t;

static const memory_case_t memory_cases[] = {
    {"as-declared", 1000, 0},
    {"fits", 2000, 0},
    {"outgrown", 2400, 1},
    {"far-outgrown", 4000, 2},
};

static void
test_memory(const void *data)
{
    const memory_case_t *test = data;
    nm_place_t place;
    nm_place_init(&place, &(nm_place_desc_t){.seed = 1});
    int32_t worker =
        nm_place_set_worker(&place, &(nm_place_worker_t){
                                        .id = 1,
                                        .capacity = {64000, 8000, 0},
                                        .service = NM_PLACE_NO_SERVICE,
                                    });
    nm_resources_t usage = {1000, 1000, 0};
    nm_place_observe_usage(&place, 1, &usage);
    for (uint64_t task = 1; task <= TASKS; task++) {
        nm_place_task_spec_t spec = {
            .class_id = 1,
            .job = 1,
            .declared = usage,
            /* Only the newest task has a higher priority. */
            .priority = task == TASKS ? 6 : 4,
        };
        nm_place_allocate(&place, worker, task, &spec, (nm_ms_t)task);
    }
    usage.memory_mb = test->usage_mb;
    nm_place_observe_usage(&place, 1, &usage);
    uint32_t evictions = 0;
    for (int round = 0; round < 6; round++) {
        nm_ms_t now_ms = START_MS + round * 2000;
        nm_place_check_memory(&place, worker, now_ms);
        nm_place_action_t action;
        while (nm_place_next_action(&place, &action)) {
            g_assert_cmpint(action.type, ==, NM_PLACE_ACTION_EVICT);
            g_assert_cmpint(action.reason, ==, NM_REASON_EVICT_MEMORY);
            /* Evicts the newest task of the lowest priority. */
            g_assert_cmpuint(action.task, ==, TASKS - 1 - evictions);
            nm_place_release(&place, worker, action.task, now_ms);
            evictions++;
        }
    }
    g_assert_cmpuint(evictions, ==, test->evictions);
    nm_place_finish(&place);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(memory_cases); i++) {
        char *path = g_strdup_printf("/place/memory/%s", memory_cases[i].name);
        g_test_add_data_func(path, &memory_cases[i], test_memory);
        g_free(path);
    }
    return g_test_run();
}
