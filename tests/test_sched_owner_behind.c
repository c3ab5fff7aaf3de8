/*
 * An owner that is behind, or only seems to be: few workers, long delays,
 * starts that time out, silence of all workers, slow or far workers; and what
 * a next owner knows of a run that is surplus.
 */
#include <string.h>

#include "lib_sched_sim.h"

#define WORKERS_MAX 24
#define TICK_MS 50
#define CALL_TIMEOUT_MS 900 /* of the owner, after the wait */
#define LEASE_LIMIT_MS 10000
#define SETTLE_MS 3000
/* Time in which an owner notices the delay, also by polls that wait. */
#define NOTICE_MS 8000
/* A run of a lost worker starts again within this time, from its last word. */
#define RESTART_MAX_MS 9000
/* Limit of starts in flight while responses are late, of 400 otherwise. */
#define STARTS_MAX_BEHIND 150
#define STARTS_MIN_UNBOUNDED 300 /* before the first late response */
#define SECOND_JOB "5c0e7a21d94b36f9"

/* An order on its way to a worker, or its response on its way back. */
typedef struct {
    nm_sched_action_t action;
    nm_ms_t sent_ms;
    nm_ms_t arrives_ms; /* at the worker */
    nm_ms_t due_ms;     /* of the response; NM_MS_NEVER: lost */
    nm_ms_t clock_ms;   /* of the worker as it responds */
    bool carried_out;
    bool timed_out;
} call_t;

typedef struct {
    char id[8];
    char task[NM_TASK_NAME_MAX]; /* "": runs nothing */
    int64_t run;
    nm_ms_t lease_ms; /* on its clock, which is that of the owner */
    nm_ms_t delay_ms; /* of its responses */
    uint32_t lapses;
    bool lost;
} worker_t;

typedef struct {
    sched_sim_t sim;
    worker_t workers[WORKERS_MAX];
    uint32_t worker_count;
    GArray *calls; /* of call_t */
    uint32_t call_count;
    uint32_t in_flight_max; /* starts without a response, since a reset */
    bool direct;            /* late responses are dropped */
    bool ends_polls;        /* workers respond to polls at once */
    uint32_t loss_interval; /* one in so many calls is lost; 0: none */
    nm_ms_t last_start_ms;  /* of a run after the first one of its task */
} fleet_t;

static void
fleet_init(fleet_t *fleet, uint32_t workers, uint32_t tasks)
{
    *fleet = (fleet_t){.worker_count = workers};
    sched_sim_init(&fleet->sim, 1);
    fleet->calls = g_array_new(FALSE, FALSE, sizeof(call_t));
    for (uint32_t i = 0; i < workers; i++) {
        worker_t *worker = &fleet->workers[i];
        worker->delay_ms = 100;
        g_snprintf(worker->id, sizeof(worker->id), "w%u", i);
        sched_sim_add_worker(&fleet->sim, worker->id);
    }
    sched_sim_add_job(&fleet->sim, JOB, true, tasks, CPU_MILLI, false);
}

static void
fleet_finish(fleet_t *fleet)
{
    g_array_free(fleet->calls, TRUE);
    sched_sim_finish(&fleet->sim);
}

static void
fleet_set_delay(fleet_t *fleet, uint32_t workers, nm_ms_t delay_ms)
{
    for (uint32_t i = 0; i < workers; i++) {
        fleet->workers[i].delay_ms = delay_ms;
    }
}

static uint32_t
fleet_count_lapses(const fleet_t *fleet)
{
    uint32_t lapses = 0;
    for (uint32_t i = 0; i < fleet->worker_count; i++) {
        lapses += fleet->workers[i].lapses;
    }
    return lapses;
}

static worker_t *
find_worker(fleet_t *fleet, const char *id)
{
    return &fleet->workers[atoi(id + 1)];
}

static void
carry_out(fleet_t *fleet, const nm_sched_action_t *action)
{
    worker_t *worker = find_worker(fleet, action->worker);
    nm_ms_t limit_ms = fleet->sim.now_ms + LEASE_LIMIT_MS;
    worker->lease_ms = MAX(worker->lease_ms, MIN(action->expiry_ms, limit_ms));
    if (action->type == NM_ACTION_START &&
        action->expiry_ms > fleet->sim.now_ms) {
        nm_strcopy(worker->task, sizeof(worker->task), action->task);
        worker->run = action->run;
    }
    if (action->type == NM_ACTION_STOP && worker->run == action->run &&
        strcmp(worker->task, action->task) == 0)
    {
        worker->run = 0;
    }
}

static void
respond(fleet_t *fleet, const call_t *call)
{
    nm_sched_t *sched = fleet->sim.sched;
    nm_ms_t now_ms = fleet->sim.now_ms;
    const nm_sched_action_t *action = &call->action;
    if (action->type == NM_ACTION_START && !call->timed_out) {
        nm_sched_on_start(sched, action, NM_ORDER_DONE, now_ms);
    }
    else if (action->type == NM_ACTION_STOP && !call->timed_out) {
        nm_sched_on_stop(sched, action, NM_ORDER_DONE, now_ms);
    }
    else if (action->type == NM_ACTION_POLL) {
        const worker_t *worker = find_worker(fleet, action->worker);
        nm_worker_run_t run = sched_sim_make_run(worker->task, worker->run);
        nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                     .incarnation = 1,
                                     .clock_ms = call->clock_ms,
                                     .sent_ms = call->sent_ms,
                                     .complete = true,
                                     .running = &run,
                                     .running_count = worker->run > 0};
        if (call->timed_out && fleet->direct) {
            return;
        }
        if (call->timed_out) {
            nm_sched_on_late_report(sched, action->worker, &report, now_ms);
        }
        else {
            nm_sched_on_report(sched, action->worker, &report, now_ms);
        }
    }
}

static void
time_out(fleet_t *fleet, call_t *call)
{
    const nm_sched_action_t *action = &call->action;
    call->timed_out = true;
    if (action->type == NM_ACTION_START) {
        nm_sched_on_start(fleet->sim.sched, action, NM_ORDER_UNKNOWN,
                          fleet->sim.now_ms);
    }
    else if (action->type == NM_ACTION_STOP) {
        nm_sched_on_stop(fleet->sim.sched, action, NM_ORDER_UNKNOWN,
                         fleet->sim.now_ms);
    }
    else if (action->type == NM_ACTION_POLL) {
        sched_sim_lose_poll(&fleet->sim, action->worker);
    }
}

static void
handle_calls(fleet_t *fleet)
{
    nm_ms_t now_ms = fleet->sim.now_ms;
    uint32_t starts = 0;
    for (guint i = 0; i < fleet->calls->len; i++) {
        call_t call = g_array_index(fleet->calls, call_t, i);
        starts += call.action.type == NM_ACTION_START && !call.timed_out;
        if (!call.carried_out && now_ms >= call.arrives_ms) {
            carry_out(fleet, &call.action);
            call.carried_out = true;
        }
        nm_ms_t timeout_ms = call.action.timeout_ms > 0
                                 ? call.action.timeout_ms
                                 : CALL_TIMEOUT_MS;
        if (!call.timed_out && now_ms < call.due_ms &&
            now_ms - call.sent_ms >= call.action.wait_ms + timeout_ms)
        {
            time_out(fleet, &call);
        }
        g_array_index(fleet->calls, call_t, i) = call;
        if (now_ms >= call.due_ms) {
            respond(fleet, &call);
        }
        if (now_ms >= call.due_ms ||
            (call.timed_out && call.due_ms == NM_MS_NEVER)) {
            g_array_remove_index(fleet->calls, i--);
        }
    }
    fleet->in_flight_max = MAX(fleet->in_flight_max, starts);
}

static void
send_action(fleet_t *fleet, const nm_sched_action_t *action)
{
    const worker_t *worker = find_worker(fleet, action->worker);
    call_t call = {.action = *action, .sent_ms = fleet->sim.now_ms};
    call.arrives_ms = call.sent_ms + worker->delay_ms / 2;
    call.due_ms = call.sent_ms + worker->delay_ms +
                  (fleet->ends_polls ? 0 : action->wait_ms);
    call.clock_ms = call.due_ms - worker->delay_ms / 2;
    fleet->call_count++;
    if (worker->lost || (fleet->loss_interval > 0 &&
                         fleet->call_count % fleet->loss_interval == 0))
    {
        call.arrives_ms = NM_MS_NEVER;
        call.due_ms = NM_MS_NEVER;
    }
    if (action->type == NM_ACTION_START && action->run > 1 &&
        g_str_has_prefix(action->task, JOB))
    {
        fleet->last_start_ms = call.sent_ms;
    }
    g_array_append_val(fleet->calls, call);
}

static void
fleet_run(fleet_t *fleet, nm_ms_t duration_ms)
{
    for (nm_ms_t passed_ms = 0; passed_ms < duration_ms; passed_ms += TICK_MS)
    {
        sched_sim_advance(&fleet->sim, TICK_MS);
        sched_sim_save_all(&fleet->sim);
        for (guint i = 0; i < fleet->sim.actions->len; i++) {
            send_action(fleet, &g_array_index(fleet->sim.actions,
                                              nm_sched_action_t, i));
        }
        handle_calls(fleet);
        for (uint32_t i = 0; i < fleet->worker_count; i++) {
            worker_t *worker = &fleet->workers[i];
            if (worker->run > 0 && fleet->sim.now_ms >= worker->lease_ms) {
                worker->lapses++;
                worker->run = 0;
            }
        }
    }
}

/* --- the owner is behind: no lease of a worker that lives may lapse --- */

static const struct {
    const char *name;
    uint32_t workers;
    uint32_t tasks;
    uint32_t later_tasks; /* of a job that comes while the owner is behind */
    nm_ms_t delay_ms;
    bool direct; /* the owner itself calls: a late response is dropped */
} delays[] = {
    {"/sched/healthy-leases-outlive-a-slow-owner", 24, 12, 0, 2500, false},
    {"/sched/healthy-leases-of-few-workers-lapse", 6, 3, 0, 2500, false},
    {"/sched/healthy-leases-lapse-at-4-s", 24, 12, 0, 4000, false},
    {"/sched/healthy-leases-lapse-after-starts-time-out", 24, 12, 12, 2500,
     false},
    {"/sched/healthy-leases-of-direct-calls-lapse", 24, 12, 0, 2500, true},
};

static void
test_delay(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    fleet_t fleet;
    fleet_init(&fleet, delays[index].workers, delays[index].tasks);
    fleet_run(&fleet, SETTLE_MS);
    fleet.direct = delays[index].direct;
    fleet_set_delay(&fleet, fleet.worker_count, delays[index].delay_ms);
    if (delays[index].later_tasks > 0) {
        fleet_run(&fleet, SETTLE_MS);
        sched_sim_add_job(&fleet.sim, SECOND_JOB, true,
                          delays[index].later_tasks, CPU_MILLI, false);
    }
    fleet_run(&fleet, 30000);
    fleet_set_delay(&fleet, fleet.worker_count, 100);
    fleet_run(&fleet, 10000);
    g_assert_cmpuint(fleet_count_lapses(&fleet), ==, 0);
    g_assert_cmpint(fleet.last_start_ms, ==, 0);
    fleet_finish(&fleet);
}

/* --- the owner is not behind: a lost worker's task starts again --- */

static const struct {
    const char *name;
    uint32_t slow_workers;
    nm_ms_t slow_ms;
    uint32_t loss_interval;
} losses[] = {
    {"/sched/lost-worker-beside-prompt-ones", 0, 100, 0},
    {"/sched/lost-worker-beside-slow-ones", 8, 600, 0},
    {"/sched/lost-worker-beside-far-ones-and-lost-calls", 8, 300, 20},
};

static void
test_lost_worker(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    fleet_t fleet;
    fleet_init(&fleet, WORKERS_MAX, WORKERS_MAX - 4);
    fleet_run(&fleet, SETTLE_MS);
    fleet_set_delay(&fleet, losses[index].slow_workers, losses[index].slow_ms);
    fleet.loss_interval = losses[index].loss_interval;
    fleet_run(&fleet, 10000);
    fleet.last_start_ms = 0;
    worker_t *lost = NULL;
    for (uint32_t i = WORKERS_MAX; i > 0 && !lost; i--) {
        lost = fleet.workers[i - 1].run > 0 ? &fleet.workers[i - 1] : NULL;
    }
    g_assert_nonnull(lost);
    lost->lost = true;
    nm_ms_t lost_ms = fleet.sim.now_ms;
    while (fleet.last_start_ms == 0 && fleet.sim.now_ms - lost_ms < 40000) {
        fleet_run(&fleet, TICK_MS);
    }
    g_assert_cmpint(fleet.last_start_ms, >, 0);
    g_assert_cmpint(fleet.last_start_ms - lost_ms, <=, RESTART_MAX_MS);
    fleet_finish(&fleet);
}

/* --- one worker, with the others' responses as given --- */

/* Delivers the response to a poll that has timed out. */
static void
report_late(sched_sim_t *sim, const char *worker, const nm_worker_end_t *end)
{
    nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                 .incarnation = 1,
                                 .clock_ms = sim->now_ms - 1000,
                                 .sent_ms = sim->now_ms - 1000,
                                 .complete = true,
                                 .ends = end,
                                 .end_count = end != NULL};
    nm_sched_on_late_report(sim->sched, worker, &report, sim->now_ms);
}

/*
 * The owner's link is blocked until all leases have lapsed.  The first
 * responses are those of others; the end of the run comes 200 ms later.  The
 * worker had listed it in time, so that its task must not start again.
 */
static void
test_end_after_silence_of_all(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    nm_sched_action_t first = sched_sim_confirm_starts(&sim);
    for (int i = 0; i < WORKERS_MAX; i++) {
        sched_sim_add_worker(&sim, (char[]){'b', (char)('a' + i), '\0'});
    }
    sched_sim_lose_poll(&sim, "a");
    for (nm_ms_t passed_ms = 0; passed_ms < RESTART_MAX_MS;
         passed_ms += TICK_MS) {
        sched_sim_advance(&sim, TICK_MS);
        for (guint i = 0; i < sim.actions->len; i++) {
            nm_sched_action_t action =
                g_array_index(sim.actions, nm_sched_action_t, i);
            if (action.type == NM_ACTION_POLL) {
                sched_sim_lose_poll(&sim, action.worker);
            }
            g_assert_cmpint(action.type, !=, NM_ACTION_START);
        }
        if (passed_ms == 0) { /* idle workers are not polled: lost as well */
            for (int i = 0; i < WORKERS_MAX; i++) {
                const char id[] = {'b', (char)('a' + i), '\0'};
                sched_sim_lose_poll(&sim, id);
                sched_sim_lose_poll(&sim, id);
            }
        }
    }
    for (int i = 0; i < 4; i++) {
        report_late(&sim, (char[]){'b', (char)('a' + i), '\0'}, NULL);
        sched_sim_advance(&sim, TICK_MS);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    }
    nm_worker_end_t end = sched_sim_make_end(1, TASK, first.run, NM_END_DONE);
    report_late(&sim, "a", &end);
    sched_sim_advance(&sim, TICK_MS);
    sched_sim_save_all(&sim);
    g_assert_cmpint(nm_sched_query_job(sim.sched, JOB), ==, NM_JOB_COMPLETED);
    sched_sim_finish(&sim);
}

/*
 * The owner is behind, and a worker has crashed: its entry is gone, and
 * another worker has taken its address.  No report of it is on its way, so
 * that its task need not wait for one.
 */
static void
test_proved_crash(void)
{
    sched_sim_t sim;
    sched_sim_init(&sim, 1);
    sched_sim_add_worker(&sim, "a");
    sched_sim_add_job(&sim, JOB, true, 1, 1000, false);
    sched_sim_advance(&sim, 30);
    sched_sim_confirm_starts(&sim);
    for (int i = 0; i < WORKERS_MAX; i++) {
        sched_sim_add_worker(&sim, (char[]){'b', (char)('a' + i), '\0'});
    }
    nm_ms_t heard_ms = sim.now_ms;
    nm_sched_deregister_worker(sim.sched, "a");
    sched_sim_announce_at(&sim, "c", 2, "a");
    sched_sim_lose_poll(&sim, "a");
    nm_ms_t started_ms = 0;
    while (started_ms == 0 && sim.now_ms - heard_ms < 30000) {
        sched_sim_advance(&sim, TICK_MS);
        sched_sim_save_all(&sim);
        if (sched_sim_find_action(&sim, NM_ACTION_START, NULL)) {
            started_ms = sim.now_ms - heard_ms;
        }
        if (sched_sim_find_action(&sim, NM_ACTION_POLL, "a")) {
            sched_sim_lose_poll(&sim, "a");
        }
        for (int i = 0; i < WORKERS_MAX; i++) {
            report_late(&sim, (char[]){'b', (char)('a' + i), '\0'}, NULL);
        }
    }
    g_assert_cmpint(started_ms, >, 0);
    g_assert_cmpint(started_ms, <=, RESTART_MAX_MS);
    sched_sim_finish(&sim);
}

static const struct {
    const char *name;
    const char *done; /* as stored */
} records[] = {
    {"/sched/run-holds-room-after-takeover", ".."},
    {"/sched/surplus-run-holds-room-after-takeover", "D."},
};

/*
 * The former owner has stored a task as done while a surplus run of it was
 * being stopped.  The run still fills its worker for the next owner.
 */
static void
test_takeover(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    sched_sim_announce(&sim, "a", 1);
    sched_sim_add_job(&sim, JOB, false, 2, CPU_MILLI, true);
    char *record = g_strdup_printf(
        "{\"version\":1,\"state\":\"running\",\"done\":[[\"%s\"]]}",
        records[index].done);
    g_assert_cmpint(
        nm_sched_restore(sim.sched, JOB, record, (uint32_t)strlen(record)), ==,
        NM_OK);
    g_free(record);
    nm_sched_activate(sim.sched, sim.now_ms);
    sched_sim_advance(&sim, 10);
    nm_worker_run_t run = sched_sim_make_run(TASK, 2);
    for (nm_ms_t passed_ms = 0; passed_ms < 2000; passed_ms += TICK_MS) {
        sched_sim_report(&sim, "a", 1, &run, 1, NULL, 0);
        sched_sim_advance(&sim, TICK_MS);
        sched_sim_save_all(&sim);
        g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, "a"));
    }
    sched_sim_finish(&sim);
}

/* --- starts in flight, where polls show no delay --- */

static const struct {
    const char *name;
    nm_ms_t delay_ms;
    bool ends_polls; /* an end on each worker before a poll has waited */
} bounds[] = {
    {"/sched/starts-in-flight-follow-the-delay", 800, false},
    {"/sched/starts-are-bounded-at-1500-ms-while-polls-wait", 1500, false},
    {"/sched/starts-are-bounded-at-1500-ms-while-runs-end", 1500, true},
};

static void
test_bound(gconstpointer data)
{
    size_t index = GPOINTER_TO_SIZE(data);
    fleet_t fleet;
    fleet_init(&fleet, WORKERS_MAX, 1);
    sched_sim_add_job(&fleet.sim, SECOND_JOB, true, 2000, 16, false);
    fleet_set_delay(&fleet, WORKERS_MAX, bounds[index].delay_ms);
    fleet.ends_polls = bounds[index].ends_polls;
    fleet_run(&fleet, 500);
    g_assert_cmpuint(fleet.in_flight_max, >, STARTS_MIN_UNBOUNDED);
    fleet_run(&fleet, NOTICE_MS);
    fleet.in_flight_max = 0;
    fleet_run(&fleet, 1000);
    g_assert_cmpuint(fleet.in_flight_max, <, STARTS_MAX_BEHIND);
    fleet_finish(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    for (size_t i = 0; i < NM_COUNT_OF(delays); i++) {
        g_test_add_data_func(delays[i].name, GSIZE_TO_POINTER(i), test_delay);
    }
    for (size_t i = 0; i < NM_COUNT_OF(losses); i++) {
        g_test_add_data_func(losses[i].name, GSIZE_TO_POINTER(i),
                             test_lost_worker);
    }
    g_test_add_func("/sched/end-after-a-silence-of-all-workers",
                    test_end_after_silence_of_all);
    g_test_add_func("/sched/proved-crash-is-not-waited-for",
                    test_proved_crash);
    for (size_t i = 0; i < NM_COUNT_OF(records); i++) {
        g_test_add_data_func(records[i].name, GSIZE_TO_POINTER(i),
                             test_takeover);
    }
    for (size_t i = 0; i < NM_COUNT_OF(bounds); i++) {
        g_test_add_data_func(bounds[i].name, GSIZE_TO_POINTER(i), test_bound);
    }
    return g_test_run();
}
