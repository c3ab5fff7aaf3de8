/* Fillers beside serving tasks, with a manual clock. */
#include <string.h>

#include "lib_sched_world.h"

static void
test_unknown_image_is_tried_on_few(void)
{
    enum { WORKERS = 24, TRIED_MAX = WORKERS / 2 };
    sched_world_t world;
    sched_world_init(&world, 1);
    char ids[WORKERS][8];
    for (uint32_t w = 0; w < WORKERS; w++) {
        g_snprintf(ids[w], sizeof(ids[w]), "w%u", w);
        sched_world_join(&world, ids[w]);
    }
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "batch", "press");
    nm_step_t *serving = nm_job_spec_add_step(&spec);
    *serving = (nm_step_t){.task_count = WORKERS,
                           .cpu_milli = 2000,
                           .memory_mb = 100,
                           .long_running = true,
                           .per_worker_max = 1,
                           .target_ms = 20,
                           .image = "web"};
    nm_sched_add_job(world.sched, &spec, false, world.now_ms);
    nm_job_spec_finish(&spec);
    sched_world_step(&world, 30);
    sched_world_confirm_starts(&world);
    for (uint32_t i = 0; i < world.actions->len; i++) {
        nm_sched_action_t action =
            g_array_index(world.actions, nm_sched_action_t, i);
        if (action.type == NM_ACTION_START) {
            nm_worker_run_t run = sched_world_run(action.task, action.run);
            run.figure = 8;
            world.now_ms += 1;
            sched_world_report(&world, action.worker, 1, &run, 1, NULL, 0);
        }
    }
    nm_job_spec_init(&spec, "1111111111111111", "batch", "press");
    nm_step_t *filler = nm_job_spec_add_step(&spec);
    *filler = (nm_step_t){.task_count = 3 * WORKERS,
                          .cpu_milli = 500,
                          .memory_mb = 100,
                          .estimate_ms = 2000,
                          .is_filler = true,
                          .image = "new"};
    nm_sched_add_job(world.sched, &spec, false, world.now_ms);
    nm_job_spec_finish(&spec);
    uint32_t tried = 0;
    for (uint32_t round = 0; round < 5; round++) {
        sched_world_step(&world, 100);
        for (uint32_t i = 0; i < world.actions->len; i++) {
            tried += g_array_index(world.actions, nm_sched_action_t, i).type ==
                     NM_ACTION_START;
        }
        sched_world_confirm_starts(&world);
    }
    g_assert_cmpuint(tried, >, 0);
    g_assert_cmpuint(tried, <=, TRIED_MAX);
    sched_world_finish(&world);
}

static void
add_colocated(sched_world_t *world, const char *id, bool serving)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    nm_step_t *desc = nm_job_spec_add_step(&spec);
    desc->task_count = 1;
    desc->cpu_milli = 1000;
    desc->memory_mb = 100;
    desc->estimate_ms = serving ? 0 : 9000;
    desc->long_running = serving;
    desc->target_ms = serving ? 18 : 0;
    desc->is_filler = !serving;
    desc->saves_progress = !serving;
    nm_strcopy(desc->image, sizeof(desc->image), serving ? "api" : "press");
    nm_sched_add_job(world->sched, &spec, false, world->now_ms);
    nm_job_spec_finish(&spec);
}

static void
test_rough_tail_evicts_fillers(void)
{
    static const int64_t figures[] = {20, 15, 21, 15, 19, 14};
    sched_world_t world;
    sched_world_init(&world, 1);
    sched_world_join(&world, "a");
    add_colocated(&world, JOB, true);
    add_colocated(&world, "1111111111111111", false);
    sched_world_step(&world, 30);
    sched_world_confirm_starts(&world);
    nm_ms_t begin_ms = world.now_ms;
    nm_worker_run_t rows[] = {sched_world_run(TASK, 1),
                              sched_world_run("1111111111111111.0.0.0", 1)};
    for (uint32_t i = 0; !sched_world_find(&world, NM_ACTION_STOP, "a"); i++) {
        rows[0].figure = figures[i % NM_COUNT_OF(figures)];
        world.now_ms += 250;
        sched_world_report(&world, "a", 1, rows, 2, NULL, 0);
        sched_world_step(&world, 250);
        /* The rule allows 4 s; a stop and the figures' lag need their part. */
        g_assert_cmpint(world.now_ms - begin_ms, <, 3000);
    }
    sched_world_finish(&world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    static const struct {
        const char *name;
        void (*run)(void);
    } cases[] = {
        {"/sched/unknown-image-is-tried-on-few",
         test_unknown_image_is_tried_on_few},
        {"/sched/rough-tail-evicts-fillers", test_rough_tail_evicts_fillers},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
