#include "lib_executor.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/* The platform's limits: maxHoldMs, checkpointS; a stop takes up to 200. */
#define LEASE_MAX_MS 10000
#define STOP_MS 50
#define CHECKPOINT_INTERVAL_MS 1000
/* An end counts as taken note of this long after it was acknowledged. */
#define ACK_GRACE_MS 1000
/* Runs that fail by themselves, as on the users' sheets (0.005 to 0.05). */
#define FAIL_SHARE 0.03

typedef struct {
    uint32_t tasks;
    uint32_t done; /* tasks of it */
    int64_t cpu_milli;
    nm_ms_t work_ms;
    bool long_running;
    bool refused;
    nm_ms_t cancelled_ms; /* 0: it was not */
} job_t;

typedef struct {
    bool done;
    nm_ms_t acked_ms; /* when an end `done` was acknowledged; 0: not */
} task_t;

struct executor_fleet {
    executor_fleet_desc_t desc;
    executor_t *executors;
    GHashTable *by_id;
    GHashTable *jobs;  /* id -> job_t */
    GHashTable *tasks; /* name -> task_t */
    nm_rng_t rng;
    FILE *events;
    executor_fleet_info_t info;
};

static void
log_event(const executor_fleet_t *fleet, nm_ms_t now_ms, const char *kind,
          const executor_t *executor, const char *task, int64_t run)
{
    if (fleet->events) {
        fprintf(fleet->events, "%lld %s %s epoch %lld %s run %lld\n",
                (long long)now_ms, kind, executor->id,
                (long long)executor->epoch, task, (long long)run);
        fflush(fleet->events);
    }
}

static void
begin_incarnation(executor_t *executor, nm_ms_t now_ms)
{
    executor->born_ms = now_ms;
    executor->born_unix_ms = 1700000000000 + now_ms;
    executor->epoch = 0;
    executor->lease_until_ms = 0;
    executor->last_end = 0;
    executor->sequence = 0;
    g_array_set_size(executor->runs, 0);
    g_array_set_size(executor->ends, 0);
    g_hash_table_remove_all(executor->finished_runs);
}

executor_fleet_t *
executor_fleet_new(const executor_fleet_desc_t *desc)
{
    executor_fleet_t *fleet = g_new0(executor_fleet_t, 1);
    fleet->desc = *desc;
    fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->executors = g_new0(executor_t, desc->executors);
    nm_rng_init(&fleet->rng, desc->seed);
    fleet->events = desc->events ? fopen(desc->events, "w") : NULL;
    for (uint32_t i = 0; i < desc->executors; i++) {
        executor_t *executor = &fleet->executors[i];
        snprintf(executor->id, sizeof(executor->id), "x%u", i);
        executor->runs = g_array_new(FALSE, TRUE, sizeof(executor_run_t));
        executor->ends = g_array_new(FALSE, TRUE, sizeof(executor_end_t));
        executor->finished_runs =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(fleet->by_id, executor->id, executor);
        begin_incarnation(executor, 1);
    }
    return fleet;
}

void
executor_fleet_free(executor_fleet_t *fleet)
{
    for (uint32_t i = 0; i < fleet->desc.executors; i++) {
        g_array_free(fleet->executors[i].runs, TRUE);
        g_array_free(fleet->executors[i].ends, TRUE);
        g_hash_table_destroy(fleet->executors[i].finished_runs);
    }
    if (fleet->events) {
        fclose(fleet->events);
    }
    g_free(fleet->executors);
    g_hash_table_destroy(fleet->by_id);
    g_hash_table_destroy(fleet->jobs);
    g_hash_table_destroy(fleet->tasks);
    g_free(fleet);
}

executor_t *
executor_at(executor_fleet_t *fleet, uint32_t index)
{
    return &fleet->executors[index];
}

executor_t *
executor_find(executor_fleet_t *fleet, const char *id)
{
    return g_hash_table_lookup(fleet->by_id, id);
}

int64_t
executor_clock(const executor_t *executor, nm_ms_t now_ms)
{
    return now_ms - executor->born_ms + 1;
}

void
executor_fleet_add_violation(executor_fleet_t *fleet, nm_ms_t now_ms,
                             const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char text[768];
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    fleet->info.violations++;
    fprintf(stderr, "soak: %lld ms: BROKEN %s\n", (long long)now_ms, text);
    if (fleet->info.first_violation[0] == '\0') {
        snprintf(fleet->info.first_violation,
                 sizeof(fleet->info.first_violation), "%lld ms: %s",
                 (long long)now_ms, text);
    }
}

static job_t *
job_of(executor_fleet_t *fleet, const char *task)
{
    char id[64] = {0};
    memcpy(id, task, MIN(strcspn(task, "."), sizeof(id) - 1));
    return g_hash_table_lookup(fleet->jobs, id);
}

static task_t *
task_of(executor_fleet_t *fleet, const char *name)
{
    task_t *task = g_hash_table_lookup(fleet->tasks, name);
    if (!task) {
        task = g_new0(task_t, 1);
        g_hash_table_insert(fleet->tasks, g_strdup(name), task);
    }
    return task;
}

static int64_t
last_finished_run(const executor_t *executor, const char *task)
{
    const int64_t *run = g_hash_table_lookup(executor->finished_runs, task);
    return run ? *run : 0;
}

static void
record_finished(executor_t *executor, const char *task, int64_t run)
{
    if (run > last_finished_run(executor, task)) {
        g_hash_table_insert(executor->finished_runs, g_strdup(task),
                            g_memdup2(&run, sizeof(run)));
    }
}

static void
end_run(executor_fleet_t *fleet, executor_t *executor, guint index,
        const char *how, nm_ms_t now_ms)
{
    executor_run_t *run =
        &g_array_index(executor->runs, executor_run_t, index);
    executor_end_t end = {
        .number = ++executor->last_end, .run = run->run, .result = how};
    nm_strcopy(end.task, sizeof(end.task), run->task);
    if (strcmp(how, "stopped") == 0 && !run->long_running) {
        nm_ms_t worked = now_ms - run->started_ms;
        end.saved_ms = run->saved_ms + worked / CHECKPOINT_INTERVAL_MS *
                                           CHECKPOINT_INTERVAL_MS;
    }
    if (strcmp(how, "done") == 0) {
        task_t *task = task_of(fleet, run->task);
        job_t *job = job_of(fleet, run->task);
        if (job && !task->done) {
            job->done++;
        }
        task->done = true;
    }
    record_finished(executor, run->task, run->run);
    log_event(fleet, now_ms, how, executor, run->task, run->run);
    g_array_append_val(executor->ends, end);
    g_array_remove_index(executor->runs, index);
    fleet->info.ends++;
}

void
executor_fleet_tick(executor_fleet_t *fleet, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < fleet->desc.executors; i++) {
        executor_t *executor = &fleet->executors[i];
        bool lapsed =
            executor_clock(executor, now_ms) > executor->lease_until_ms;
        for (guint r = executor->runs->len; r > 0; r--) {
            const executor_run_t *run =
                &g_array_index(executor->runs, executor_run_t, r - 1);
            if (run->stop_at_ms > 0 && now_ms >= run->stop_at_ms) {
                end_run(fleet, executor, r - 1, "stopped", now_ms);
            }
            else if (lapsed) {
                end_run(fleet, executor, r - 1, "lapsed", now_ms);
            }
            else if (!run->long_running && now_ms >= run->ends_ms) {
                end_run(fleet, executor, r - 1, run->fails ? "failed" : "done",
                        now_ms);
            }
        }
    }
}

void
executor_crash(executor_fleet_t *fleet, uint32_t index, nm_ms_t now_ms)
{
    log_event(fleet, now_ms, "crash", &fleet->executors[index], "-", 0);
    begin_incarnation(&fleet->executors[index], now_ms);
}

static executor_run_t *
find_run(executor_t *executor, const char *task)
{
    for (guint i = 0; i < executor->runs->len; i++) {
        executor_run_t *run =
            &g_array_index(executor->runs, executor_run_t, i);
        if (strcmp(run->task, task) == 0) {
            return run;
        }
    }
    return NULL;
}

static bool
is_fenced(executor_t *executor, int64_t epoch)
{
    if (epoch < executor->epoch) {
        return true;
    }
    executor->epoch = epoch;
    return false;
}

static void
extend_lease(executor_t *executor, int64_t expiry_ms, nm_ms_t now_ms)
{
    int64_t most = executor_clock(executor, now_ms) + LEASE_MAX_MS;
    executor->lease_until_ms =
        MAX(executor->lease_until_ms, MIN(expiry_ms, most));
}

/* The promises that a start can break. */
static void
check_start(executor_fleet_t *fleet, const executor_t *executor,
            const char *name, const job_t *job, nm_ms_t now_ms)
{
    if (!job) {
        executor_fleet_add_violation(fleet, now_ms, "UNASKED %s", name);
        return;
    }
    if (job->refused) {
        executor_fleet_add_violation(fleet, now_ms, "REFUSED %s starts", name);
    }
    if (job->cancelled_ms > 0 &&
        now_ms - job->cancelled_ms > fleet->desc.cancel_grace_ms)
    {
        executor_fleet_add_violation(
            fleet, now_ms, "UNASKED %s starts %lld ms after its cancel", name,
            (long long)(now_ms - job->cancelled_ms));
    }
    const task_t *task = task_of(fleet, name);
    if (task->acked_ms > 0 && now_ms - task->acked_ms > ACK_GRACE_MS) {
        executor_fleet_add_violation(fleet, now_ms,
                                     "TWICE %s starts after its end", name);
    }
    for (uint32_t i = 0; i < fleet->desc.executors; i++) {
        executor_t *other = &fleet->executors[i];
        if (other != executor && find_run(other, name)) {
            executor_fleet_add_violation(fleet, now_ms,
                                         "TWICE %s on %s and %s", name,
                                         executor->id, other->id);
        }
    }
}

static void
check_capacity(executor_fleet_t *fleet, const executor_t *executor,
               nm_ms_t now_ms)
{
    int64_t used = 0;
    for (guint i = 0; i < executor->runs->len; i++) {
        used += g_array_index(executor->runs, executor_run_t, i).cpu_milli;
    }
    if (used > fleet->desc.cpu_milli) {
        executor_fleet_add_violation(
            fleet, now_ms, "LIMIT %s holds %lld of %lld", executor->id,
            (long long)used, (long long)fleet->desc.cpu_milli);
    }
}

int
executor_start(executor_fleet_t *fleet, executor_t *executor,
               const executor_order_t *order, nm_ms_t now_ms,
               const char **reason)
{
    if (is_fenced(executor, order->epoch)) {
        *reason = "fence";
        return EXECUTOR_STATUS_CONFLICT;
    }
    executor_run_t *present = find_run(executor, order->task);
    if (present && present->run == order->run) {
        return EXECUTOR_STATUS_DONE;
    }
    if (order->run <= last_finished_run(executor, order->task) || present) {
        extend_lease(executor, order->expiry_ms, now_ms);
        *reason = "old";
        return EXECUTOR_STATUS_CONFLICT;
    }
    if (order->expiry_ms <= executor_clock(executor, now_ms)) {
        *reason = "late";
        return EXECUTOR_STATUS_CONFLICT;
    }
    const job_t *job = job_of(fleet, order->task);
    check_start(fleet, executor, order->task, job, now_ms);
    executor_run_t run = {.run = order->run, .started_ms = now_ms};
    nm_strcopy(run.task, sizeof(run.task), order->task);
    if (job) {
        run.saved_ms = strtoll(order->checkpoint, NULL, 10);
        run.work_ms = job->work_ms;
        run.cpu_milli = job->cpu_milli;
        run.long_running = job->long_running;
        run.fails =
            !job->long_running && nm_rng_unit(&fleet->rng) < FAIL_SHARE;
        run.ends_ms = now_ms + MAX(run.work_ms - run.saved_ms, 20);
    }
    extend_lease(executor, order->expiry_ms, now_ms);
    g_array_append_val(executor->runs, run);
    log_event(fleet, now_ms, "start", executor, order->task, order->run);
    check_capacity(fleet, executor, now_ms);
    fleet->info.starts++;
    return EXECUTOR_STATUS_DONE;
}

int
executor_stop(executor_fleet_t *fleet, executor_t *executor,
              const executor_order_t *order, nm_ms_t now_ms,
              const char **reason)
{
    if (is_fenced(executor, order->epoch)) {
        *reason = "fence";
        return EXECUTOR_STATUS_CONFLICT;
    }
    log_event(fleet, now_ms, "stop", executor, order->task, order->run);
    executor_run_t *run = find_run(executor, order->task);
    if (run && run->run <= order->run && run->stop_at_ms == 0) {
        run->stop_at_ms = now_ms + STOP_MS;
    }
    record_finished(executor, order->task, order->run);
    return EXECUTOR_STATUS_DONE;
}

int
executor_hold(executor_fleet_t *fleet, executor_t *executor,
              const executor_order_t *order, int64_t acked, nm_ms_t now_ms,
              const char **reason)
{
    if (is_fenced(executor, order->epoch)) {
        *reason = "fence";
        return EXECUTOR_STATUS_CONFLICT;
    }
    if (order->expiry_ms > 0) {
        extend_lease(executor, order->expiry_ms, now_ms);
    }
    while (executor->ends->len > 0) {
        const executor_end_t *end =
            &g_array_index(executor->ends, executor_end_t, 0);
        if (end->number > acked) {
            break;
        }
        task_t *task = task_of(fleet, end->task);
        if (strcmp(end->result, "done") == 0 && task->acked_ms == 0) {
            task->acked_ms = now_ms;
        }
        g_array_remove_index(executor->ends, 0);
    }
    return EXECUTOR_STATUS_DONE;
}

void
executor_job_sent(executor_fleet_t *fleet, const char *id, uint32_t tasks,
                  int64_t cpu_milli, nm_ms_t work_ms, bool long_running)
{
    job_t *job = g_new0(job_t, 1);
    *job = (job_t){.tasks = tasks,
                   .cpu_milli = cpu_milli,
                   .work_ms = work_ms,
                   .long_running = long_running};
    g_hash_table_insert(fleet->jobs, g_strdup(id), job);
}

void
executor_job_cancelled(executor_fleet_t *fleet, const char *id, nm_ms_t now_ms)
{
    job_t *job = g_hash_table_lookup(fleet->jobs, id);
    if (job && job->cancelled_ms == 0) {
        job->cancelled_ms = now_ms;
    }
}

void
executor_job_refused(executor_fleet_t *fleet, const char *id)
{
    job_t *job = g_hash_table_lookup(fleet->jobs, id);
    if (job) {
        job->refused = true;
    }
}

bool
executor_job_is_done(const executor_fleet_t *fleet, const char *id)
{
    const job_t *job = g_hash_table_lookup(fleet->jobs, id);
    return job && job->done >= job->tasks;
}

executor_fleet_info_t
executor_fleet_query_info(const executor_fleet_t *fleet)
{
    return fleet->info;
}
