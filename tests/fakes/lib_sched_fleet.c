#include "lib_sched_fleet.h"

#include <string.h>

#define DEFAULT_DURATION_MS 1000
#define DEFAULT_RESTART_MS 3000
#define DEFAULT_LOST_MS 1800
#define DEFAULT_STOP_MS 100
/* Duration of a run on a failing worker. */
#define FAILING_MS 100

static GHashTable *
new_counts(void)
{
    return g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

static void
count_name(GHashTable *counts, const char *name)
{
    int count = GPOINTER_TO_INT(g_hash_table_lookup(counts, name));
    g_hash_table_insert(counts, g_strdup(name), GINT_TO_POINTER(count + 1));
}

void
sched_fleet_init(sched_fleet_t *fleet, uint64_t seed)
{
    *fleet = (sched_fleet_t){.restart_ms = DEFAULT_RESTART_MS,
                             .lost_ms = DEFAULT_LOST_MS,
                             .stop_ms = DEFAULT_STOP_MS};
    fleet->runs = g_array_new(FALSE, TRUE, sizeof(sched_fleet_run_t));
    fleet->rules = g_array_new(FALSE, TRUE, sizeof(sched_fleet_rule_t));
    fleet->former_ids = g_ptr_array_new_with_free_func(g_free);
    fleet->starts_by_task = new_counts();
    fleet->crashes_by_task = new_counts();
    sched_sim_init_seeded(&fleet->sim, 1, seed);
    nm_sched_set_queue(fleet->sim.sched, &(nm_queue_t){.name = "batch",
                                                       .service = "press",
                                                       .slack_factor = 2,
                                                       .objective_ms = 1000});
}

void
sched_fleet_finish(sched_fleet_t *fleet)
{
    sched_sim_finish(&fleet->sim);
    g_array_free(fleet->runs, TRUE);
    g_array_free(fleet->rules, TRUE);
    g_ptr_array_free(fleet->former_ids, TRUE);
    g_hash_table_destroy(fleet->starts_by_task);
    g_hash_table_destroy(fleet->crashes_by_task);
}

int
sched_fleet_add_worker(sched_fleet_t *fleet, const char *service)
{
    g_assert_cmpint(fleet->worker_count, <, SCHED_FLEET_WORKERS_MAX);
    int number = fleet->worker_count++;
    nm_sched_worker_t *desc = &fleet->workers[number].desc;
    *desc = (nm_sched_worker_t){
        .incarnation = 1, .cpu_milli = CPU_MILLI, .memory_mb = MEMORY_MB};
    g_snprintf(desc->id, sizeof(desc->id), "w%d", number);
    nm_strcopy(desc->service, sizeof(desc->service), service);
    g_snprintf(desc->address, sizeof(desc->address), "10.0.0.1:%d",
               number + 1);
    return number;
}

static void
announce(sched_fleet_t *fleet, const nm_sched_worker_t *desc)
{
    nm_sched_set_worker(fleet->sim.sched, desc, fleet->sim.now_ms);
    nm_sched_admit_worker(fleet->sim.sched, desc->id);
}

void
sched_fleet_begin(sched_fleet_t *fleet)
{
    for (int w = 0; w < fleet->worker_count; w++) {
        announce(fleet, &fleet->workers[w].desc);
    }
    sched_sim_advance(&fleet->sim, 10);
    for (int w = 0; w < fleet->worker_count; w++) {
        sched_sim_report(&fleet->sim, fleet->workers[w].desc.id, 1, NULL, 0,
                         NULL, 0);
    }
}

void
sched_fleet_add_rule(sched_fleet_t *fleet, sched_fleet_rule_t rule)
{
    g_array_append_val(fleet->rules, rule);
}

void
sched_fleet_add_job(sched_fleet_t *fleet, const char *id, const char *queue,
                    nm_step_t step)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, queue, "press");
    *nm_job_spec_add_step(&spec) = step;
    g_assert_cmpint(
        nm_sched_add_job(fleet->sim.sched, &spec, false, fleet->sim.now_ms),
        ==, NM_OK);
    nm_job_spec_finish(&spec);
}

void
sched_fleet_add_numbered_job(sched_fleet_t *fleet, const char *prefix,
                             uint32_t number, const char *queue,
                             nm_step_t step)
{
    char id[NM_JOB_ID_MAX];
    g_snprintf(id, sizeof(id), "%.4s%012u", prefix, number);
    sched_fleet_add_job(fleet, id, queue, step);
}

/* Returns NULL if there is none. */
static const sched_fleet_rule_t *
find_rule(const sched_fleet_t *fleet, const char *task)
{
    for (guint i = 0; i < fleet->rules->len; i++) {
        const sched_fleet_rule_t *rule =
            &g_array_index(fleet->rules, sched_fleet_rule_t, i);
        if (g_str_has_prefix(task, rule->prefix)) {
            return rule;
        }
    }
    return NULL;
}

/* Returns -1 for a former id. */
static int
find_worker(const sched_fleet_t *fleet, const char *id)
{
    for (int w = 0; w < fleet->worker_count; w++) {
        if (strcmp(fleet->workers[w].desc.id, id) == 0) {
            return w;
        }
    }
    g_assert_true(g_ptr_array_find_with_equal_func(fleet->former_ids, id,
                                                   g_str_equal, NULL));
    return -1;
}

void
sched_fleet_crash(sched_fleet_t *fleet, int worker)
{
    fleet->crashes++;
    fleet->workers[worker].down_until_ms =
        fleet->sim.now_ms + fleet->restart_ms;
    for (guint i = fleet->runs->len; i > 0; i--) {
        const sched_fleet_run_t *run =
            &g_array_index(fleet->runs, sched_fleet_run_t, i - 1);
        if (run->worker == worker) {
            count_name(fleet->crashes_by_task, run->row.task);
            g_array_remove_index(fleet->runs, i - 1);
        }
    }
}

static void
begin_run(sched_fleet_t *fleet, const nm_sched_action_t *action, int worker)
{
    nm_ms_t now_ms = fleet->sim.now_ms;
    const sched_fleet_rule_t *rule = find_rule(fleet, action->task);
    nm_ms_t duration_ms = rule ? rule->duration_ms : DEFAULT_DURATION_MS;
    sched_fleet_run_t run = {
        .row = sched_sim_make_run(action->task, action->run),
        .worker = worker,
        .begin_ms = now_ms,
        .end_ms = duration_ms > 0 ? now_ms + duration_ms : NM_MS_NEVER,
        .end = rule ? rule->end : NM_END_DONE,
        .percent = 100,
        .left_ms = NM_MS_NEVER};
    run.row.metric = rule ? rule->metric : 0;
    if (fleet->workers[worker].failing) {
        run.end_ms = now_ms + FAILING_MS;
        run.end = NM_END_FAILED;
    }
    g_array_append_val(fleet->runs, run);
    fleet->starts++;
    fleet->workers[worker].starts++;
    count_name(fleet->starts_by_task, action->task);
}

static void
carry_out_start(sched_fleet_t *fleet, const nm_sched_action_t *action)
{
    int worker = find_worker(fleet, action->worker);
    nm_order_result_t result = NM_ORDER_DONE;
    if (worker < 0 || fleet->workers[worker].down_until_ms > 0) {
        result = NM_ORDER_UNKNOWN;
    }
    else if (fleet->refuses_start && fleet->refuses_start(action)) {
        result = NM_ORDER_NO_CAPACITY;
    }
    else {
        begin_run(fleet, action, worker);
    }
    nm_sched_on_start(fleet->sim.sched, action, result, fleet->sim.now_ms);
}

static void
carry_out_stop(sched_fleet_t *fleet, const nm_sched_action_t *action)
{
    nm_ms_t now_ms = fleet->sim.now_ms;
    int worker = find_worker(fleet, action->worker);
    if (worker < 0 || fleet->workers[worker].down_until_ms > 0) {
        nm_sched_on_stop(fleet->sim.sched, action, NM_ORDER_UNKNOWN, now_ms);
        return;
    }
    for (guint i = 0; i < fleet->runs->len; i++) {
        sched_fleet_run_t *run =
            &g_array_index(fleet->runs, sched_fleet_run_t, i);
        if (run->worker == worker && run->row.run == action->run &&
            run->end != NM_END_STOPPED &&
            strcmp(run->row.task, action->task) == 0)
        {
            fleet->stops++;
            run->end_ms = MIN(run->end_ms, now_ms + fleet->stop_ms);
            run->end = NM_END_STOPPED;
        }
    }
    nm_sched_on_stop(fleet->sim.sched, action, NM_ORDER_DONE, now_ms);
}

static void
set_percent(sched_fleet_run_t *run, uint32_t percent, nm_ms_t now_ms)
{
    if (run->percent > 0 && run->end_ms != NM_MS_NEVER) {
        run->left_ms = (run->end_ms - now_ms) * run->percent / 100;
    }
    run->percent = percent;
    run->end_ms = percent > 0 && run->left_ms != NM_MS_NEVER
                      ? now_ms + run->left_ms * 100 / percent
                      : NM_MS_NEVER;
}

static void
carry_out_throttle(sched_fleet_t *fleet, const nm_sched_action_t *action)
{
    nm_ms_t now_ms = fleet->sim.now_ms;
    int worker = find_worker(fleet, action->worker);
    if (worker < 0 || fleet->workers[worker].down_until_ms > 0) {
        nm_sched_on_throttle(fleet->sim.sched, action, NM_ORDER_UNKNOWN,
                             now_ms);
        return;
    }
    for (guint i = 0; i < fleet->runs->len; i++) {
        sched_fleet_run_t *run =
            &g_array_index(fleet->runs, sched_fleet_run_t, i);
        if (run->worker == worker && run->row.run == action->run &&
            strcmp(run->row.task, action->task) == 0)
        {
            set_percent(run, action->percent, now_ms);
        }
    }
    nm_sched_on_throttle(fleet->sim.sched, action, NM_ORDER_DONE, now_ms);
}

static void
carry_out_orders(sched_fleet_t *fleet)
{
    for (guint i = 0; i < fleet->sim.actions->len; i++) {
        nm_sched_action_t action =
            g_array_index(fleet->sim.actions, nm_sched_action_t, i);
        if (action.type == NM_ACTION_START) {
            carry_out_start(fleet, &action);
        }
        else if (action.type == NM_ACTION_STOP) {
            carry_out_stop(fleet, &action);
        }
        else if (action.type == NM_ACTION_THROTTLE) {
            carry_out_throttle(fleet, &action);
        }
    }
}

/* Crashes each worker with a deadly task that has worked for long enough. */
static void
crash_by_rules(sched_fleet_t *fleet)
{
    bool crashes[SCHED_FLEET_WORKERS_MAX] = {false};
    for (guint i = 0; i < fleet->runs->len; i++) {
        const sched_fleet_run_t *run =
            &g_array_index(fleet->runs, sched_fleet_run_t, i);
        const sched_fleet_rule_t *rule = find_rule(fleet, run->row.task);
        if (rule && rule->deadly &&
            fleet->sim.now_ms >= run->begin_ms + rule->crash_ms)
        {
            crashes[run->worker] = true;
        }
    }
    for (int w = 0; w < fleet->worker_count; w++) {
        if (crashes[w]) {
            sched_fleet_crash(fleet, w);
        }
    }
}

/* A worker that is down does not respond, and is deregistered in the end. */
static void
report_down(sched_fleet_t *fleet, const sched_fleet_worker_t *worker)
{
    sched_sim_lose_poll(&fleet->sim, worker->desc.id);
    nm_ms_t down_ms =
        fleet->restart_ms - (worker->down_until_ms - fleet->sim.now_ms);
    if (down_ms > fleet->lost_ms) {
        nm_sched_deregister_worker(fleet->sim.sched, worker->desc.id);
    }
}

static void
restart(sched_fleet_t *fleet, sched_fleet_worker_t *worker)
{
    worker->down_until_ms = 0;
    worker->desc.incarnation++;
    worker->last_end = 0;
    if (fleet->new_ids) {
        nm_sched_deregister_worker(fleet->sim.sched, worker->desc.id);
        g_ptr_array_add(fleet->former_ids, g_strdup(worker->desc.id));
        g_snprintf(worker->desc.id, sizeof(worker->desc.id), "w%d-%lld",
                   (int)(worker - fleet->workers),
                   (long long)worker->desc.incarnation);
    }
    announce(fleet, &worker->desc);
}

/* Reports the runs of a worker; those that have ended are removed. */
static void
report_runs(sched_fleet_t *fleet, int number)
{
    sched_fleet_worker_t *worker = &fleet->workers[number];
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(nm_worker_run_t));
    GArray *ends = g_array_new(FALSE, TRUE, sizeof(nm_worker_end_t));
    for (guint i = fleet->runs->len; i > 0; i--) {
        sched_fleet_run_t run =
            g_array_index(fleet->runs, sched_fleet_run_t, i - 1);
        if (run.worker != number) {
            continue;
        }
        if (run.end_ms > fleet->sim.now_ms) {
            g_array_append_val(rows, run.row);
            continue;
        }
        nm_worker_end_t end = sched_sim_make_end(
            ++worker->last_end, run.row.task, run.row.run, run.end);
        g_array_append_val(ends, end);
        fleet->done += run.end == NM_END_DONE;
        g_array_remove_index(fleet->runs, i - 1);
    }
    sched_sim_report(&fleet->sim, worker->desc.id, worker->desc.incarnation,
                     (const nm_worker_run_t *)rows->data, rows->len,
                     (const nm_worker_end_t *)ends->data, ends->len);
    g_array_free(rows, TRUE);
    g_array_free(ends, TRUE);
}

/* True if a worker reports in this tick. */
static bool
report_is_due(const sched_fleet_t *fleet, int number)
{
    nm_ms_t interval = fleet->report_ms / SCHED_FLEET_TICK_MS;
    nm_ms_t tick = fleet->sim.now_ms / SCHED_FLEET_TICK_MS;
    bool due = interval <= 1 || (tick + number) % interval == 0 ||
               fleet->workers[number].down_until_ms > 0;
    for (guint i = 0; i < fleet->runs->len && !due; i++) {
        const sched_fleet_run_t *run =
            &g_array_index(fleet->runs, sched_fleet_run_t, i);
        due = run->worker == number && run->end_ms <= fleet->sim.now_ms;
    }
    return due;
}

void
sched_fleet_tick(sched_fleet_t *fleet)
{
    sched_sim_advance(&fleet->sim, SCHED_FLEET_TICK_MS);
    carry_out_orders(fleet);
    crash_by_rules(fleet);
    for (guint i = 0; i < fleet->former_ids->len; i++) {
        sched_sim_lose_poll(&fleet->sim, fleet->former_ids->pdata[i]);
    }
    for (int w = 0; w < fleet->worker_count; w++) {
        sched_fleet_worker_t *worker = &fleet->workers[w];
        if (!report_is_due(fleet, w)) {
            continue;
        }
        if (fleet->sim.now_ms < worker->down_until_ms) {
            report_down(fleet, worker);
            continue;
        }
        if (worker->down_until_ms > 0) {
            restart(fleet, worker);
        }
        report_runs(fleet, w);
    }
    sched_sim_save_all(&fleet->sim);
}

uint32_t
sched_fleet_count_running(const sched_fleet_t *fleet, const char *prefix)
{
    uint32_t count = 0;
    for (guint i = 0; i < fleet->runs->len; i++) {
        const sched_fleet_run_t *run =
            &g_array_index(fleet->runs, sched_fleet_run_t, i);
        count += g_str_has_prefix(run->row.task, prefix);
    }
    return count;
}

nm_ms_t
sched_fleet_time_to_start(sched_fleet_t *fleet, const char *prefix,
                          uint32_t count, nm_ms_t limit_ms,
                          void (*before_tick)(sched_fleet_t *fleet))
{
    nm_ms_t begin_ms = fleet->sim.now_ms;
    while (sched_fleet_count_running(fleet, prefix) < count &&
           fleet->sim.now_ms - begin_ms < limit_ms)
    {
        if (before_tick) {
            before_tick(fleet);
        }
        sched_fleet_tick(fleet);
    }
    return fleet->sim.now_ms - begin_ms;
}
