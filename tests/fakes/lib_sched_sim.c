#include "lib_sched_sim.h"

#include <string.h>

static void
collect_actions(sched_sim_t *sim)
{
    g_array_set_size(sim->actions, 0);
    nm_sched_action_t action;
    while (nm_sched_next_action(sim->sched, &action)) {
        g_array_append_val(sim->actions, action);
    }
}

void
sched_sim_advance(sched_sim_t *sim, nm_ms_t elapsed_ms)
{
    sim->now_ms += elapsed_ms;
    nm_sched_run(sim->sched, sim->now_ms, sim->unix_offset_ms + sim->now_ms);
    collect_actions(sim);
}

static void
init(sched_sim_t *sim, int64_t epoch, uint64_t seed, bool resends_starts)
{
    *sim = (sched_sim_t){.now_ms = 1000, .unix_offset_ms = 1000000};
    sim->actions = g_array_new(FALSE, FALSE, sizeof(nm_sched_action_t));
    sim->sched = nm_sched_new(
        &(nm_sched_desc_t){.epoch = epoch,
                           .former_lease_max_ms = epoch > 1 ? 0 : 1,
                           .resends_starts = resends_starts,
                           .seed = seed},
        sim->now_ms);
    /* As an owner does, so that the scheduler knows the wall clock. */
    nm_sched_run(sim->sched, sim->now_ms, sim->unix_offset_ms + sim->now_ms);
    nm_queue_t queue = {.name = "batch",
                        .service = "press",
                        .attempts_max = 2,
                        .slack_factor = 2,
                        .objective_ms = 600};
    nm_sched_set_queue(sim->sched, &queue);
}

void
sched_sim_init(sched_sim_t *sim, int64_t epoch)
{
    init(sim, epoch, 0, false);
}

void
sched_sim_init_seeded(sched_sim_t *sim, int64_t epoch, uint64_t seed)
{
    init(sim, epoch, seed, false);
}

void
sched_sim_init_resending(sched_sim_t *sim, int64_t epoch)
{
    init(sim, epoch, 0, true);
}

void
sched_sim_finish(sched_sim_t *sim)
{
    g_array_free(sim->actions, TRUE);
    nm_sched_free(sim->sched);
}

static void
announce(sched_sim_t *sim, const char *id, int64_t incarnation,
         const char *machine, int64_t announcements)
{
    nm_sched_worker_t worker = {.incarnation = incarnation,
                                .announcements = announcements,
                                .cpu_milli = CPU_MILLI,
                                .memory_mb = MEMORY_MB};
    nm_strcopy(worker.id, sizeof(worker.id), id);
    nm_strcopy(worker.service, sizeof(worker.service), "press");
    g_snprintf(worker.address, sizeof(worker.address), "%s:80", machine);
    nm_sched_set_worker(sim->sched, &worker, sim->now_ms);
    nm_sched_admit_worker(sim->sched, id);
}

void
sched_sim_announce(sched_sim_t *sim, const char *id, int64_t incarnation)
{
    sched_sim_announce_at(sim, id, incarnation, id);
}

void
sched_sim_announce_again(sched_sim_t *sim, const char *id, int64_t incarnation,
                         int64_t announcements)
{
    announce(sim, id, incarnation, id, announcements);
}

void
sched_sim_announce_at(sched_sim_t *sim, const char *id, int64_t incarnation,
                      const char *machine)
{
    announce(sim, id, incarnation, machine, 0);
}
void
sched_sim_report(sched_sim_t *sim, const char *id, int64_t incarnation,
                 const nm_worker_run_t *running, uint32_t running_count,
                 const nm_worker_end_t *ends, uint32_t end_count)
{
    nm_worker_report_t report = {
        .result = NM_ORDER_DONE,
        .incarnation = incarnation,
        .clock_ms = sim->now_ms,
        .sent_ms = sim->now_ms,
        .complete = true,
        .running = running,
        .running_count = running_count,
        .ends = ends,
        .end_count = end_count,
    };
    nm_sched_on_report(sim->sched, id, &report, sim->now_ms);
}

void
sched_sim_lose_poll(sched_sim_t *sim, const char *id)
{
    nm_worker_report_t report = {.result = NM_ORDER_UNKNOWN,
                                 .sent_ms = sim->now_ms};
    nm_sched_on_report(sim->sched, id, &report, sim->now_ms);
}

void
sched_sim_add_worker(sched_sim_t *sim, const char *id)
{
    sched_sim_announce(sim, id, 1);
    sched_sim_advance(sim, 10);
    sched_sim_report(sim, id, 1, NULL, 0, NULL, 0);
}

const nm_sched_action_t *
sched_sim_find_action(const sched_sim_t *sim, nm_sched_action_type_t type,
                      const char *worker)
{
    for (guint i = 0; i < sim->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(sim->actions, nm_sched_action_t, i);
        if (action->type == type &&
            (!worker || strcmp(action->worker, worker) == 0)) {
            return action;
        }
    }
    return NULL;
}

void
sched_sim_add_job(sched_sim_t *sim, const char *id, bool long_running,
                  uint32_t tasks, int64_t cpu_milli, bool recovered)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    nm_step_t *step = nm_job_spec_add_step(&spec);
    step->task_count = tasks;
    step->cpu_milli = cpu_milli;
    step->memory_mb = 100;
    step->estimate_ms = 1000;
    step->long_running = long_running;
    g_assert_cmpint(
        nm_sched_add_job(sim->sched, &spec, recovered, sim->now_ms), ==,
        NM_OK);
    nm_job_spec_finish(&spec);
}

nm_worker_run_t
sched_sim_make_run(const char *task, int64_t run)
{
    nm_worker_run_t row = {.run = run};
    nm_strcopy(row.task, sizeof(row.task), task);
    return row;
}

nm_worker_end_t
sched_sim_make_end(int64_t number, const char *task, int64_t run, nm_end_t end)
{
    nm_worker_end_t row = {.number = number, .run = run, .end = end};
    nm_strcopy(row.task, sizeof(row.task), task);
    return row;
}

nm_sched_action_t
sched_sim_confirm_starts(sched_sim_t *sim)
{
    nm_sched_action_t last = {.type = NM_ACTION_POLL};
    for (guint i = 0; i < sim->actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(sim->actions, nm_sched_action_t, i);
        if (action->type == NM_ACTION_START) {
            nm_sched_on_start(sim->sched, action, NM_ORDER_DONE, sim->now_ms);
            last = *action;
        }
    }
    return last;
}

void
sched_sim_save_all(sched_sim_t *sim)
{
    nm_sched_save_t save;
    while (nm_sched_next_save(sim->sched, &save)) {
        nm_sched_confirm_save(sim->sched, &save, true);
        g_free(save.record);
    }
}
