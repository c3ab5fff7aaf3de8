#include "lib_sched_world.h"

#include <string.h>

static void
collect(sched_world_t *world)
{
    g_array_set_size(world->actions, 0);
    nm_sched_action_t action;
    while (nm_sched_next_action(world->sched, &action)) {
        g_array_append_val(world->actions, action);
    }
}

void
sched_world_step(sched_world_t *world, nm_ms_t elapsed_ms)
{
    world->now_ms += elapsed_ms;
    nm_sched_run(world->sched, world->now_ms, 1000000 + world->now_ms);
    collect(world);
}

void
sched_world_init(sched_world_t *world, int64_t epoch)
{
    *world = (sched_world_t){.now_ms = 1000};
    world->actions = g_array_new(FALSE, FALSE, sizeof(nm_sched_action_t));
    world->sched = nm_sched_new(
        &(nm_sched_desc_t){.epoch = epoch, .lease_max_ms = epoch > 1 ? 0 : 1},
        world->now_ms);
    nm_queue_t queue = {.name = "batch",
                        .service = "press",
                        .attempts_max = 2,
                        .slack_factor = 2,
                        .objective_ms = 600};
    nm_sched_set_queue(world->sched, &queue);
}

void
sched_world_finish(sched_world_t *world)
{
    g_array_free(world->actions, TRUE);
    nm_sched_free(world->sched);
}

void
sched_world_announce(sched_world_t *world, const char *id, int64_t incarnation)
{
    nm_sched_worker_t worker = {.incarnation = incarnation,
                                .cpu_milli = CPU_MILLI,
                                .memory_mb = MEMORY_MB};
    nm_strcopy(worker.id, sizeof(worker.id), id);
    nm_strcopy(worker.service, sizeof(worker.service), "press");
    nm_strcopy(worker.address, sizeof(worker.address), "10.0.0.1:80");
    nm_sched_set_worker(world->sched, &worker, world->now_ms);
    nm_sched_admit_worker(world->sched, id);
}

void
sched_world_report(sched_world_t *world, const char *id, int64_t incarnation,
                   const nm_worker_run_t *running, uint32_t running_count,
                   const nm_worker_end_t *ends, uint32_t end_count)
{
    nm_worker_report_t answer = {
        .result = NM_ORDER_DONE,
        .incarnation = incarnation,
        .clock_ms = world->now_ms,
        .sent_ms = world->now_ms,
        .complete = true,
        .running = running,
        .running_count = running_count,
        .ends = ends,
        .end_count = end_count,
    };
    nm_sched_on_report(world->sched, id, &answer, world->now_ms);
}

void
sched_world_lose_poll(sched_world_t *world, const char *id)
{
    nm_worker_report_t answer = {.result = NM_ORDER_UNKNOWN,
                                 .sent_ms = world->now_ms};
    nm_sched_on_report(world->sched, id, &answer, world->now_ms);
}

void
sched_world_join(sched_world_t *world, const char *id)
{
    sched_world_announce(world, id, 1);
    sched_world_step(world, 10);
    sched_world_report(world, id, 1, NULL, 0, NULL, 0);
}

const nm_sched_action_t *
sched_world_find(const sched_world_t *world, nm_sched_action_type_t type,
                 const char *worker)
{
    for (guint i = 0; i < world->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(world->actions, nm_sched_action_t, i);
        if (action->type == type &&
            (!worker || strcmp(action->worker, worker) == 0)) {
            return action;
        }
    }
    return NULL;
}

void
sched_world_add_job(sched_world_t *world, const char *id, bool long_running,
                    uint32_t tasks, int64_t cpu_milli, bool recovered)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    nm_step_t *step_desc = nm_job_spec_add_step(&spec);
    step_desc->task_count = tasks;
    step_desc->cpu_milli = cpu_milli;
    step_desc->memory_mb = 100;
    step_desc->estimate_ms = 1000;
    step_desc->long_running = long_running;
    g_assert_cmpint(
        nm_sched_add_job(world->sched, &spec, recovered, world->now_ms), ==,
        NM_OK);
    nm_job_spec_finish(&spec);
}

nm_worker_run_t
sched_world_run(const char *task, int64_t run)
{
    nm_worker_run_t row = {.run = run};
    nm_strcopy(row.task, sizeof(row.task), task);
    return row;
}

nm_worker_end_t
sched_world_end(int64_t number, const char *task, int64_t run, nm_end_t end)
{
    nm_worker_end_t row = {.number = number, .run = run, .end = end};
    nm_strcopy(row.task, sizeof(row.task), task);
    return row;
}

nm_sched_action_t
sched_world_confirm_starts(sched_world_t *world)
{
    nm_sched_action_t last = {.type = NM_ACTION_POLL};
    for (guint i = 0; i < world->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(world->actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_START) {
            nm_sched_on_start(world->sched, action, NM_ORDER_DONE,
                              world->now_ms);
            last = *action;
        }
    }
    return last;
}

void
sched_world_save_all(sched_world_t *world)
{
    nm_sched_save_t save;
    while (nm_sched_next_save(world->sched, &save)) {
        nm_sched_saved(world->sched, &save, true);
        g_free(save.record);
    }
}
