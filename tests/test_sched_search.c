/*
 * Tests of the search for workers for all tasks of a step: no task waits while
 * a worker has room for it, on more workers than are compared at a time.
 */
#include <string.h>

#include "lib_sched_sim.h"

#define WORKERS 240
/* A worker with an odd number has it. */
#define LABEL "ssd"

typedef struct {
    const char *name;
    nm_step_t step;
    bool has_label;
    uint32_t removed; /* workers that are deregistered before */
    uint32_t started; /* tasks that start in one placement */
} search_case_t;

static const search_case_t CASES[] = {
    {.name = "two-for-each-worker",
     .step = {.task_count = 300, .cpu_milli = CPU_MILLI / 2},
     .started = 300},
    {.name = "one-for-each-worker",
     .step = {.task_count = 300, .cpu_milli = CPU_MILLI},
     .started = WORKERS},
    {.name = "memory",
     .step = {.task_count = 300, .memory_mb = MEMORY_MB},
     .started = WORKERS},
    {.name = "no-requests", .step = {.task_count = 300}, .started = 300},
    {.name = "limit-per-worker",
     .step = {.task_count = 300, .cpu_milli = 100, .per_worker_max = 1},
     .started = WORKERS},
    {.name = "label",
     .step = {.task_count = 300, .cpu_milli = CPU_MILLI / 2},
     .has_label = true,
     .started = WORKERS},
    {.name = "serving",
     .step = {.task_count = 300,
              .cpu_milli = CPU_MILLI,
              .long_running = true,
              .target_ms = 100},
     .started = WORKERS},
    {.name = "filler",
     .step = {.task_count = 300, .cpu_milli = CPU_MILLI, .is_filler = true},
     .started = WORKERS},
    {.name = "gang-that-fits",
     .step = {.task_count = WORKERS, .cpu_milli = CPU_MILLI, .is_gang = true},
     .started = WORKERS},
    {.name = "gang-that-is-too-large",
     .step = {.task_count = WORKERS + 1,
              .cpu_milli = CPU_MILLI,
              .is_gang = true},
     .started = 0},
    {.name = "removed-workers",
     .step = {.task_count = 300, .cpu_milli = CPU_MILLI},
     .removed = WORKERS / 2,
     .started = WORKERS - WORKERS / 2},
};

static void
set_worker(sched_sim_t *sim, uint32_t number)
{
    nm_sched_worker_t worker = {
        .incarnation = 1, .cpu_milli = CPU_MILLI, .memory_mb = MEMORY_MB};
    g_snprintf(worker.id, sizeof(worker.id), "w%u", number);
    nm_strcopy(worker.service, sizeof(worker.service), "press");
    nm_strcopy(worker.address, sizeof(worker.address), "10.0.0.1:80");
    if (number % 2 == 1) {
        nm_strcopy(worker.labels[0], sizeof(worker.labels[0]), LABEL);
        worker.label_count = 1;
    }
    nm_sched_set_worker(sim->sched, &worker, sim->now_ms);
    nm_sched_admit_worker(sim->sched, worker.id);
}

static void
add_workers(sched_sim_t *sim, uint32_t removed)
{
    for (uint32_t w = 0; w < WORKERS; w++) {
        set_worker(sim, w);
    }
    sched_sim_advance(sim, 10);
    for (uint32_t w = 0; w < WORKERS; w++) {
        char id[NM_NAME_MAX];
        g_snprintf(id, sizeof(id), "w%u", w);
        sched_sim_report(sim, id, 1, NULL, 0, NULL, 0);
        if (w < removed) {
            nm_sched_deregister_worker(sim->sched, id);
        }
    }
}

/* Number of starts of the newest placement. */
static uint32_t
count_starts(const sched_sim_t *sim)
{
    uint32_t count = 0;
    for (guint i = 0; i < sim->actions->len; i++) {
        count += g_array_index(sim->actions, nm_sched_action_t, i).type ==
                 NM_ACTION_START;
    }
    return count;
}

static void
test_no_task_waits_beside_room(gconstpointer data)
{
    const search_case_t *c = data;
    for (uint64_t seed = 1; seed <= 5; seed++) {
        sched_sim_t sim;
        sched_sim_init_seeded(&sim, 1, seed);
        add_workers(&sim, c->removed);
        nm_job_spec_t spec;
        nm_job_spec_init(&spec, JOB, "batch", "press");
        nm_step_t *step = nm_job_spec_add_step(&spec);
        *step = c->step;
        step->estimate_ms = 1000;
        nm_strcopy(step->image, sizeof(step->image), "press");
        if (c->has_label) {
            nm_strcopy(step->label, sizeof(step->label), LABEL);
        }
        g_assert_cmpint(nm_sched_add_job(sim.sched, &spec, false, sim.now_ms),
                        ==, NM_OK);
        nm_job_spec_finish(&spec);
        sched_sim_advance(&sim, 20);
        g_assert_cmpint(count_starts(&sim), ==, c->started);
        sched_sim_finish(&sim);
    }
}

static uint32_t
count_workers(const sched_sim_t *sim)
{
    GHashTable *ids = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < sim->actions->len; i++) {
        nm_sched_action_t *action =
            &g_array_index(sim->actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_START) {
            g_hash_table_add(ids, action->worker);
        }
    }
    uint32_t count = g_hash_table_size(ids);
    g_hash_table_destroy(ids);
    return count;
}

/* All of them went to the same worker of many that suit them as well. */
static void
test_fillers_are_spread(void)
{
    sched_sim_t sim;
    sched_sim_init_seeded(&sim, 1, 1);
    add_workers(&sim, 0);
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "batch", "press");
    *nm_job_spec_add_step(&spec) = (nm_step_t){.task_count = 16,
                                               .cpu_milli = CPU_MILLI / 16,
                                               .memory_mb = 100,
                                               .estimate_ms = 1000,
                                               .is_filler = true,
                                               .image = "sieve"};
    g_assert_cmpint(nm_sched_add_job(sim.sched, &spec, false, sim.now_ms), ==,
                    NM_OK);
    nm_job_spec_finish(&spec);
    sched_sim_advance(&sim, 20);
    g_assert_cmpint(count_starts(&sim), ==, 16);
    g_assert_cmpint(count_workers(&sim), >=, 8);
    sched_sim_finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    for (size_t i = 0; i < G_N_ELEMENTS(CASES); i++) {
        char *path = g_strdup_printf("/sched/no-task-waits-beside-room/%s",
                                     CASES[i].name);
        g_test_add_data_func(path, &CASES[i], test_no_task_waits_beside_room);
        g_free(path);
    }
    g_test_add_func("/sched/fillers-are-spread", test_fillers_are_spread);
    return g_test_run();
}
