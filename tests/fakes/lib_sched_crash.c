#include "lib_sched_crash.h"

#include <string.h>

void
crash_sim_init(crash_sim_t *crash, int64_t epoch)
{
    *crash = (crash_sim_t){0};
    sched_sim_init(&crash->sim, epoch);
    crash->running = g_array_new(FALSE, TRUE, sizeof(nm_sched_action_t));
    for (char w = 0; w < CRASH_SIM_WORKERS; w++) {
        crash->incarnations[(int)w] = 1;
        g_snprintf(crash->ids[(int)w], NM_NAME_MAX, "%c", 'a' + w);
        sched_sim_add_worker(&crash->sim, crash->ids[(int)w]);
    }
}

void
crash_sim_finish(crash_sim_t *crash)
{
    g_array_free(crash->running, TRUE);
    g_free(crash->record);
    sched_sim_finish(&crash->sim);
}

void
crash_sim_save(crash_sim_t *crash)
{
    nm_sched_save_t save;
    while (nm_sched_next_save(crash->sim.sched, &save)) {
        nm_sched_confirm_save(crash->sim.sched, &save, true);
        if (strcmp(save.job, JOB) == 0) {
            g_free(crash->record);
            crash->record = save.record;
        }
        else {
            g_free(save.record);
        }
    }
}

void
crash_sim_crash(crash_sim_t *crash, const char *worker)
{
    crash->silent[worker[0] - 'a'] = true;
    crash->crashed_ms[worker[0] - 'a'] = crash->sim.now_ms;
    for (guint i = crash->running->len; i > 0; i--) {
        if (strcmp(
                g_array_index(crash->running, nm_sched_action_t, i - 1).worker,
                worker) == 0)
        {
            g_array_remove_index(crash->running, i - 1);
        }
    }
    nm_sched_deregister_worker(crash->sim.sched, worker);
}

void
crash_sim_apply_starts(crash_sim_t *crash, const char *deadly)
{
    GPtrArray *crashed = g_ptr_array_new_with_free_func(g_free);
    sched_sim_confirm_starts(&crash->sim);
    for (guint i = 0; i < crash->sim.actions->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(crash->sim.actions, nm_sched_action_t, i);
        if (action->type != NM_ACTION_START) {
            continue;
        }
        g_array_append_val(crash->running, *action);
        if (strcmp(action->task, deadly) == 0) {
            crash->starts_of_deadly++;
            g_ptr_array_add(crashed, g_strdup(action->worker));
        }
    }
    for (guint i = 0; i < crashed->len; i++) {
        crash_sim_crash(crash, crashed->pdata[i]);
    }
    g_ptr_array_free(crashed, TRUE);
}

void
crash_sim_report(crash_sim_t *crash, char worker)
{
    const char *id = crash->ids[worker - 'a'];
    nm_worker_run_t runs[64];
    uint32_t count = 0;
    for (guint i = 0; i < crash->running->len; i++) {
        const nm_sched_action_t *action =
            &g_array_index(crash->running, nm_sched_action_t, i);
        if (strcmp(action->worker, id) == 0) {
            g_assert_cmpuint(count, <, G_N_ELEMENTS(runs));
            runs[count++] = sched_sim_make_run(action->task, action->run);
        }
    }
    sched_sim_report(&crash->sim, id, crash->incarnations[worker - 'a'], runs,
                     count, NULL, 0);
}

/* A poll is answered after its wait, as no task ends. */
static bool
report_is_due(crash_sim_t *crash, char worker)
{
    nm_ms_t *due_ms = &crash->report_due_ms[worker - 'a'];
    const nm_sched_action_t *poll = sched_sim_find_action(
        &crash->sim, NM_ACTION_POLL, crash->ids[worker - 'a']);
    if (poll) {
        *due_ms = crash->sim.now_ms + poll->wait_ms;
    }
    bool due = !crash->reports_when_polled ||
               (*due_ms > 0 && crash->sim.now_ms >= *due_ms);
    *due_ms = due ? 0 : *due_ms;
    return due;
}

static void
announce(crash_sim_t *crash, char worker)
{
    crash->silent[worker - 'a'] = false;
    sched_sim_announce_at(&crash->sim, crash->ids[worker - 'a'],
                          crash->incarnations[worker - 'a'],
                          (char[]){worker, '\0'});
}

static void
restart(crash_sim_t *crash, char worker)
{
    int64_t incarnation = ++crash->incarnations[worker - 'a'];
    if (crash->new_ids) {
        g_snprintf(crash->ids[worker - 'a'], NM_NAME_MAX, "%c%d", worker,
                   (int)incarnation);
    }
    announce(crash, worker);
}

void
crash_sim_restart(crash_sim_t *crash)
{
    for (char w = 'a'; w < 'a' + CRASH_SIM_WORKERS; w++) {
        if (crash->silent[w - 'a']) {
            restart(crash, w);
        }
    }
}

void
crash_sim_reconnect(crash_sim_t *crash)
{
    for (char w = 'a'; w < 'a' + CRASH_SIM_WORKERS; w++) {
        if (crash->silent[w - 'a']) {
            announce(crash, w);
        }
    }
}

void
crash_sim_run(crash_sim_t *crash, const char *deadly, nm_ms_t duration_ms)
{
    for (nm_ms_t t = 0; t < duration_ms; t += CRASH_SIM_STEP_MS) {
        sched_sim_advance(&crash->sim, CRASH_SIM_STEP_MS);
        crash_sim_apply_starts(crash, deadly);
        for (char w = 'a'; w < 'a' + CRASH_SIM_WORKERS; w++) {
            nm_ms_t down_ms = crash->sim.now_ms - crash->crashed_ms[w - 'a'];
            if (crash->silent[w - 'a'] && crash->restart_ms > 0 &&
                down_ms >= crash->restart_ms)
            {
                restart(crash, w);
            }
            else if (crash->silent[w - 'a']) {
                sched_sim_lose_poll(&crash->sim, crash->ids[w - 'a']);
                crash->report_due_ms[w - 'a'] = 0;
            }
            else if (report_is_due(crash, w)) {
                crash_sim_report(crash, w);
            }
        }
        crash_sim_save(crash);
    }
}

void
crash_sim_replace_owner(crash_sim_t *crash, int64_t epoch)
{
    nm_ms_t former_now_ms = crash->sim.now_ms;
    int64_t unix_ms = former_now_ms + crash->sim.unix_offset_ms;
    sched_sim_finish(&crash->sim);
    sched_sim_init(&crash->sim, epoch);
    crash->sim.unix_offset_ms = unix_ms - crash->sim.now_ms;
    sched_sim_advance(&crash->sim, 0);
    sched_sim_add_job(&crash->sim, JOB, false, 1, 1000, true);
    if (crash->record) {
        g_assert_cmpint(nm_sched_restore(crash->sim.sched, JOB, crash->record,
                                         (uint32_t)strlen(crash->record)),
                        ==, NM_OK);
    }
    for (char w = 'a'; w < 'a' + CRASH_SIM_WORKERS; w++) {
        nm_sched_expect_worker(crash->sim.sched, crash->ids[w - 'a'],
                               crash->sim.now_ms);
        /* The clock of the sim begins anew. */
        crash->crashed_ms[w - 'a'] += crash->sim.now_ms - former_now_ms;
        if (!crash->silent[w - 'a']) {
            announce(crash, w);
        }
    }
}
