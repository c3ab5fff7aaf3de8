#include "lib_executor.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CLOCK_START_MS 1000 /* of platform_now() */
#define LEASE_MAX_MS 10000  /* maxHoldMs of the users' platform */
#define STOP_MS 50          /* up to 200 on the users' platform */
#define CLOCK_RATE_MIN 0.98 /* of every other executor; the users' bound */
/* A deadly task crashes its executor this long after its start. */
#define DEADLY_MS 10
/* The third start after three crashes is one too many. */
#define DEADLY_CRASHES_MAX 5
/* A task may be given up after this many crashes. */
#define CRASHES_MIN 2
/*
 * A run at work for longer survived its start: its lease was renewed by polls
 * whose responses showed it at work.
 */
#define SURVIVED_MS 15000
#define CHECKPOINT_INTERVAL_MS 1000 /* checkpointS of the users' platform */
/* A task may start until this long after its end `done` was acknowledged. */
#define ACK_GRACE_MS 1000
/* Share of runs that fail by themselves; the users' sheets: 0.005 to 0.05. */
#define FAILING_SHARE 0.03
/* The same of jobs that fail often; some reach the limit of attempts. */
#define FAILING_OFTEN_SHARE 0.7

/* With clocks_differ: one start in so many is by the true time. */
#define CLOCKS_TRUE 2
/* Wall clocks of the others are off by at most this, either way. */
#define CLOCK_OFFSET_MAX_MS 8000

/* An executor becomes of another kind only after a life of this length. */
#define KIND_LIFE_MIN_MS 12000
/* The rules call a job idle if there is room for it twice over. */
#define IDLE_ROOM_TASKS 2

/* One restart in so many of those is as another kind. */
#define KIND_CHANGES 2

/*
 * Tail of a serving task without fillers, and what fillers that use all of
 * its executor's CPU add.  With a target of 100 ms (soak_callers.c) a filler
 * of half of the CPU leaves no headroom, and two are one too many.
 */
#define SERVING_TAIL_MS 40
#define FILLERS_TAIL_MS 90

const executor_kind_t executor_kinds[EXECUTOR_KINDS] = {
    {"s", "a"},
    {"s", "b"},
    {"t", "a"},
};

typedef struct {
    uint32_t tasks;
    uint32_t done_tasks;
    int64_t cpu_milli;
    nm_ms_t duration_ms;
    bool long_running;
    bool fills;
    bool serves;
    bool deadly;
    bool fails_often;
    /* CRASHES_MIN executors have crashed under a task, or its attempts ended.
     */
    bool may_fail;
    bool refused;
    bool attempts_ended;   /* of a task */
    nm_ms_t cancelled_ms;  /* 0: not cancelled */
    nm_ms_t at_work_ms;    /* last note of a run */
    nm_ms_t idle_since_ms; /* first note of the present row; 0: not idle */
    nm_ms_t idle_noted_ms;
    const char *service; /* NULL: any */
    const char *label;   /* NULL: any */
    uint32_t per_worker_max;
} job_t;

typedef struct {
    bool done;
    bool started;
    uint32_t crashes;  /* of executors that ran it */
    uint32_t failures; /* runs that ended `failed` */
    uint32_t failures_acked;
    nm_ms_t done_acked_ms; /* first ack of an end `done`; 0: none */
} task_t;

struct executor_fleet {
    executor_fleet_desc_t desc;
    int64_t unix_offset_ms; /* wall clock minus that of the platform */
    executor_t *executors;
    GHashTable *by_id;
    GHashTable *left_ids;
    GHashTable *jobs;  /* id -> job_t */
    GHashTable *tasks; /* name -> task_t */
    nm_rng_t rng;
    nm_rng_t kind_rng; /* apart, so that a seed draws what it drew before */
    nm_rng_t clock_rng;
    FILE *event_log;
    nm_ms_t evacuated_ms[EXECUTOR_ZONES_MAX]; /* 0: is not */
    uint32_t zones;
    nm_ms_t contact_from_ms;
    executor_fleet_info_t info;
};

static void
log_event(const executor_fleet_t *fleet, nm_ms_t now_ms, const char *kind,
          const executor_t *executor, const char *task, int64_t run)
{
    if (fleet->event_log) {
        fprintf(fleet->event_log, "%lld %s %s epoch %lld %s run %lld\n",
                (long long)now_ms, kind, executor->id,
                (long long)executor->epoch, task, (long long)run);
        fflush(fleet->event_log);
    }
}

/* A wall clock is set between two starts: `born` may go back. */
static int64_t
draw_clock_offset(executor_fleet_t *fleet)
{
    if (!fleet->desc.clocks_differ ||
        nm_rng_below(&fleet->clock_rng, CLOCKS_TRUE) == 0)
    {
        return 0;
    }
    return (int64_t)nm_rng_below(&fleet->clock_rng,
                                 2 * CLOCK_OFFSET_MAX_MS + 1) -
           CLOCK_OFFSET_MAX_MS;
}

static void
start_incarnation(executor_fleet_t *fleet, executor_t *executor,
                  nm_ms_t now_ms)
{
    int64_t offset_ms = draw_clock_offset(fleet);
    executor->incarnation_start_ms = now_ms;
    executor->incarnation = fleet->unix_offset_ms + now_ms + offset_ms;
    if (offset_ms != 0) {
        log_event(fleet, now_ms, "clock", executor, "-", offset_ms);
    }
    executor->epoch = 0;
    executor->lease_expiry_ms = 0;
    executor->last_end_number = 0;
    executor->sequence = 0;
    g_array_set_size(executor->runs, 0);
    g_array_set_size(executor->ends, 0);
    g_hash_table_remove_all(executor->last_finished_runs);
}

executor_fleet_t *
executor_fleet_new(const executor_fleet_desc_t *desc)
{
    executor_fleet_t *fleet = g_new0(executor_fleet_t, 1);
    fleet->desc = *desc;
    fleet->unix_offset_ms = g_get_real_time() / 1000 - CLOCK_START_MS;
    fleet->by_id = g_hash_table_new(g_str_hash, g_str_equal);
    fleet->left_ids =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fleet->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->tasks =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet->executors = g_new0(executor_t, desc->executors);
    nm_rng_init(&fleet->rng, desc->seed);
    nm_rng_init(&fleet->kind_rng, desc->seed + 3);
    nm_rng_init(&fleet->clock_rng, desc->seed + 7);
    fleet->event_log =
        desc->event_log_path ? fopen(desc->event_log_path, "w") : NULL;
    for (uint32_t i = 0; i < desc->executors; i++) {
        executor_t *executor = &fleet->executors[i];
        snprintf(executor->id, sizeof(executor->id), "x%u", i);
        executor->cpu_milli = desc->cpu_milli;
        executor->kind = i % EXECUTOR_KINDS;
        executor->clock_rate = i % 2 == 0 ? CLOCK_RATE_MIN : 1;
        executor->runs = g_array_new(FALSE, TRUE, sizeof(executor_run_t));
        executor->ends = g_array_new(FALSE, TRUE, sizeof(executor_end_t));
        executor->last_finished_runs =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        g_hash_table_insert(fleet->by_id, executor->id, executor);
        start_incarnation(fleet, executor, 1);
    }
    return fleet;
}

void
executor_fleet_free(executor_fleet_t *fleet)
{
    for (uint32_t i = 0; i < fleet->desc.executors; i++) {
        g_array_free(fleet->executors[i].runs, TRUE);
        g_array_free(fleet->executors[i].ends, TRUE);
        g_hash_table_destroy(fleet->executors[i].last_finished_runs);
    }
    if (fleet->event_log) {
        fclose(fleet->event_log);
    }
    g_free(fleet->executors);
    g_hash_table_destroy(fleet->by_id);
    g_hash_table_destroy(fleet->left_ids);
    g_hash_table_destroy(fleet->jobs);
    g_hash_table_destroy(fleet->tasks);
    g_free(fleet);
}

uint32_t
executor_fleet_size(const executor_fleet_t *fleet)
{
    return fleet->desc.executors;
}

bool
executor_is_silent(const executor_t *executor, nm_ms_t now_ms)
{
    return executor->unresponsive || now_ms < executor->cut_until_ms ||
           executor->joins_at_ms > 0;
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
    double elapsed_ms = (double)(now_ms - executor->incarnation_start_ms);
    return (int64_t)(elapsed_ms * executor->clock_rate) + 1;
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
find_job_of_task(executor_fleet_t *fleet, const char *task)
{
    char id[64] = {0};
    memcpy(id, task, MIN(strcspn(task, "."), sizeof(id) - 1));
    return g_hash_table_lookup(fleet->jobs, id);
}

/* Creates the record if the task has none. */
static task_t *
get_task(executor_fleet_t *fleet, const char *name)
{
    task_t *task = g_hash_table_lookup(fleet->tasks, name);
    if (!task) {
        task = g_new0(task_t, 1);
        g_hash_table_insert(fleet->tasks, g_strdup(name), task);
    }
    return task;
}

static int64_t
find_last_finished_run(const executor_t *executor, const char *task)
{
    const int64_t *run =
        g_hash_table_lookup(executor->last_finished_runs, task);
    return run ? *run : 0;
}

static void
record_finished_run(executor_t *executor, const char *task, int64_t run)
{
    if (run > find_last_finished_run(executor, task)) {
        g_hash_table_insert(executor->last_finished_runs, g_strdup(task),
                            g_memdup2(&run, sizeof(run)));
    }
}

/* Work of a run since its start, at the shares that it was paced to. */
static nm_ms_t
query_worked_ms(const executor_run_t *run, nm_ms_t now_ms)
{
    return run->worked_ms + (now_ms - run->paced_ms) * run->percent / 100;
}

nm_ms_t
executor_run_checkpoint_ms(const executor_run_t *run, nm_ms_t now_ms)
{
    return run->checkpoint_ms + query_worked_ms(run, now_ms) /
                                    CHECKPOINT_INTERVAL_MS *
                                    CHECKPOINT_INTERVAL_MS;
}

static void
end_run(executor_fleet_t *fleet, executor_t *executor, guint index,
        const char *result, nm_ms_t now_ms)
{
    executor_run_t *run =
        &g_array_index(executor->runs, executor_run_t, index);
    executor_end_t end = {.number = ++executor->last_end_number,
                          .run = run->run,
                          .result = result};
    nm_strcopy(end.task, sizeof(end.task), run->task);
    if (strcmp(result, "stopped") == 0 && !run->long_running) {
        end.checkpoint_ms = executor_run_checkpoint_ms(run, now_ms);
    }
    if (strcmp(result, "done") == 0) {
        task_t *task = get_task(fleet, run->task);
        job_t *job = find_job_of_task(fleet, run->task);
        if (job && !task->done) {
            job->done_tasks++;
        }
        task->done = true;
    }
    if (strcmp(result, "failed") == 0) {
        task_t *task = get_task(fleet, run->task);
        job_t *job = find_job_of_task(fleet, run->task);
        task->failures++;
        if (job && fleet->desc.attempts_max > 0) {
            job->attempts_ended = job->attempts_ended ||
                                  task->failures >= fleet->desc.attempts_max;
            job->may_fail = job->may_fail || job->attempts_ended;
        }
    }
    record_finished_run(executor, run->task, run->run);
    log_event(fleet, now_ms, result, executor, run->task, run->run);
    g_array_append_val(executor->ends, end);
    g_array_remove_index(executor->runs, index);
    fleet->info.ends++;
}

static void
count_crashes(executor_fleet_t *fleet, const executor_t *executor,
              nm_ms_t now_ms)
{
    for (guint i = 0; i < executor->runs->len; i++) {
        const executor_run_t *run =
            &g_array_index(executor->runs, executor_run_t, i);
        task_t *task = get_task(fleet, run->task);
        job_t *job = find_job_of_task(fleet, run->task);
        bool survived = now_ms - run->started_ms > SURVIVED_MS;
        task->crashes = survived ? 0 : task->crashes + 1;
        if (job) {
            job->may_fail = job->may_fail || task->crashes >= CRASHES_MIN;
        }
    }
}

void
executor_crash(executor_fleet_t *fleet, uint32_t index, nm_ms_t now_ms)
{
    executor_t *executor = &fleet->executors[index];
    log_event(fleet, now_ms, "crash", executor, "-", 0);
    count_crashes(fleet, executor, now_ms);
    bool may_change = index >= EXECUTOR_KINDS_FIXED &&
                      executor_clock(executor, now_ms) > KIND_LIFE_MIN_MS;
    if (may_change && nm_rng_below(&fleet->kind_rng, KIND_CHANGES) == 0) {
        executor->kind = (executor->kind + 1 +
                          nm_rng_below(&fleet->kind_rng, EXECUTOR_KINDS - 1)) %
                         EXECUTOR_KINDS;
        fleet->info.kind_changes++;
        log_event(fleet, now_ms, "kind", executor, "-", executor->kind);
    }
    start_incarnation(fleet, executor, now_ms);
}

void
executor_leave(executor_fleet_t *fleet, uint32_t index, nm_ms_t joins_at_ms,
               nm_ms_t now_ms)
{
    executor_t *executor = &fleet->executors[index];
    if (executor->joins_at_ms > 0) {
        return;
    }
    log_event(fleet, now_ms, "leave", executor, "-", 0);
    count_crashes(fleet, executor, now_ms);
    start_incarnation(fleet, executor, now_ms);
    executor->joins_at_ms = joins_at_ms;
    g_hash_table_add(fleet->left_ids, g_strdup(executor->id));
    fleet->info.departures++;
}

bool
executor_has_left(const executor_fleet_t *fleet, const char *id)
{
    return g_hash_table_contains(fleet->left_ids, id);
}

/* Another executor takes the place of one that has left. */
static void
join(executor_fleet_t *fleet, executor_t *executor, nm_ms_t now_ms)
{
    g_hash_table_remove(fleet->by_id, executor->id);
    snprintf(executor->id, sizeof(executor->id), "x%u-%u",
             (unsigned)(executor - fleet->executors), ++executor->life);
    g_hash_table_insert(fleet->by_id, executor->id, executor);
    start_incarnation(fleet, executor, now_ms);
    executor->joins_at_ms = 0;
    log_event(fleet, now_ms, "join", executor, "-", 0);
}

void
executor_cut(executor_fleet_t *fleet, uint32_t index, nm_ms_t until_ms,
             nm_ms_t now_ms)
{
    executor_t *executor = &fleet->executors[index];
    executor->cut_until_ms = until_ms;
    log_event(fleet, now_ms, "cut", executor, "-", 0);
}

static bool
has_deadly_run(const executor_t *executor, nm_ms_t now_ms)
{
    for (guint i = 0; i < executor->runs->len; i++) {
        const executor_run_t *run =
            &g_array_index(executor->runs, executor_run_t, i);
        if (run->deadly && now_ms >= run->end_at_ms) {
            return true;
        }
    }
    return false;
}

void
executor_fleet_update(executor_fleet_t *fleet, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < fleet->desc.executors; i++) {
        executor_t *executor = &fleet->executors[i];
        if (executor->joins_at_ms > 0 && now_ms >= executor->joins_at_ms &&
            executor->entry_ms == 0)
        {
            join(fleet, executor, now_ms);
        }
        if (has_deadly_run(executor, now_ms)) {
            executor_crash(fleet, i, now_ms);
        }
        bool lease_expired =
            executor_clock(executor, now_ms) > executor->lease_expiry_ms;
        for (guint end = 0; lease_expired && end < executor->ends->len; end++)
        {
            g_array_index(executor->ends, executor_end_t, end).lease_lapsed =
                true;
        }
        for (guint run_index = executor->runs->len; run_index > 0; run_index--)
        {
            const executor_run_t *run =
                &g_array_index(executor->runs, executor_run_t, run_index - 1);
            if (run->stop_at_ms > 0 && now_ms >= run->stop_at_ms) {
                end_run(fleet, executor, run_index - 1, "stopped", now_ms);
            }
            else if (lease_expired) {
                end_run(fleet, executor, run_index - 1, "lapsed", now_ms);
            }
            else if (!run->long_running && now_ms >= run->end_at_ms) {
                end_run(fleet, executor, run_index - 1,
                        run->fails ? "failed" : "done", now_ms);
            }
        }
    }
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

/* Rejects orders below the highest epoch seen, and records higher epochs. */
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
    int64_t latest_ms = executor_clock(executor, now_ms) + LEASE_MAX_MS;
    executor->lease_expiry_ms =
        MAX(executor->lease_expiry_ms, MIN(expiry_ms, latest_ms));
}

/* Checks all invariants of a start except for the executor's capacity. */
static bool
lists_done(const executor_t *executor, const char *task)
{
    for (guint i = 0; i < executor->ends->len; i++) {
        const executor_end_t *end =
            &g_array_index(executor->ends, executor_end_t, i);
        if (strcmp(end->result, "done") == 0 && strcmp(end->task, task) == 0) {
            return true;
        }
    }
    return false;
}

static void
check_start(executor_fleet_t *fleet, const executor_t *executor,
            const char *name, const job_t *job, nm_ms_t now_ms)
{
    if (!job) {
        executor_fleet_add_violation(
            fleet, now_ms, "UNASKED task %s starts, its job was not submitted",
            name);
        return;
    }
    if (job->refused) {
        executor_fleet_add_violation(fleet, now_ms,
                                     "REFUSED task %s starts, all submit "
                                     "attempts of its job were refused",
                                     name);
    }
    if (job->cancelled_ms > 0 &&
        now_ms - job->cancelled_ms > fleet->desc.cancel_grace_ms)
    {
        executor_fleet_add_violation(
            fleet, now_ms,
            "UNASKED task %s starts %lld ms after its job's cancel", name,
            (long long)(now_ms - job->cancelled_ms));
    }
    const task_t *task = get_task(fleet, name);
    if (task->done_acked_ms > 0 && now_ms - task->done_acked_ms > ACK_GRACE_MS)
    {
        executor_fleet_add_violation(
            fleet, now_ms,
            "TWICE task %s starts again, its end was acknowledged", name);
    }
    if (job->deadly && task->crashes >= DEADLY_CRASHES_MAX) {
        executor_fleet_add_violation(fleet, now_ms,
                                     "BUDGET task %s starts after %u crashes",
                                     name, task->crashes);
    }
    if (fleet->desc.attempts_max > 0 &&
        task->failures_acked >= fleet->desc.attempts_max)
    {
        executor_fleet_add_violation(fleet, now_ms,
                                     "BUDGET task %s starts, %u runs failed",
                                     name, task->failures_acked);
    }
    for (uint32_t i = 0; i < fleet->desc.executors; i++) {
        executor_t *other = &fleet->executors[i];
        fleet->info.repeats += lists_done(other, name);
        if (other != executor && find_run(other, name)) {
            executor_fleet_add_violation(
                fleet, now_ms, "TWICE task %s runs on executors %s and %s",
                name, executor->id, other->id);
        }
    }
}

static void
check_capacity(executor_fleet_t *fleet, const executor_t *executor,
               nm_ms_t now_ms)
{
    int64_t used = 0;
    for (guint i = 0; i < executor->runs->len; i++) {
        const executor_run_t *run =
            &g_array_index(executor->runs, executor_run_t, i);
        used += run->fills ? 0 : run->cpu_milli;
    }
    if (used > fleet->desc.cpu_milli) {
        executor_fleet_add_violation(
            fleet, now_ms,
            "LIMIT executor %s runs %lld milli-CPU, capacity %lld",
            executor->id, (long long)used, (long long)fleet->desc.cpu_milli);
    }
}

/* True if the order was sent to this incarnation; see the header. */
static bool
is_own_order(const executor_t *executor, const executor_order_t *order,
             nm_ms_t now_ms)
{
    nm_ms_t arrived_ms = order->arrived_ms > 0 ? order->arrived_ms : now_ms;
    return arrived_ms >= executor->incarnation_start_ms &&
           order->expiry_ms <= executor_clock(executor, now_ms) + LEASE_MAX_MS;
}

/* The length of ID.OCCURRENCE.STEP. in ID.OCCURRENCE.STEP.INDEX. */
static size_t
step_length(const char *task)
{
    const char *dot = strrchr(task, '.');
    return dot ? (size_t)(dot - task) + 1 : strlen(task);
}

/* Called once the task's run is among those of the executor. */
static void
check_route(executor_fleet_t *fleet, const executor_t *executor,
            const char *task, const job_t *job, nm_ms_t now_ms)
{
    const executor_kind_t *kind = &executor_kinds[executor->kind];
    if (job->service && strcmp(job->service, kind->service) != 0) {
        executor_fleet_add_violation(
            fleet, now_ms,
            "ROUTE task %s starts on executor %s of service %s, not %s", task,
            executor->id, kind->service, job->service);
    }
    if (job->label && strcmp(job->label, kind->label) != 0) {
        executor_fleet_add_violation(
            fleet, now_ms,
            "ROUTE task %s starts on executor %s of label %s, not %s", task,
            executor->id, kind->label, job->label);
    }
    uint32_t count = 0;
    size_t length = step_length(task);
    for (guint i = 0; i < executor->runs->len; i++) {
        const char *other =
            g_array_index(executor->runs, executor_run_t, i).task;
        count += strncmp(other, task, length) == 0;
    }
    if (job->per_worker_max > 0 && count > job->per_worker_max) {
        executor_fleet_add_violation(
            fleet, now_ms,
            "ROUTE task %s starts on executor %s, %u tasks of its step are "
            "there, limit %u",
            task, executor->id, count, job->per_worker_max);
    }
}

/* An order that is carried out late counts as of the time it arrived. */
static void
check_evacuation(executor_fleet_t *fleet, const executor_t *executor,
                 const executor_order_t *order, nm_ms_t now_ms)
{
    nm_ms_t arrived_ms = order->arrived_ms > 0 ? order->arrived_ms : now_ms;
    uint32_t zone =
        fleet->zones > 0
            ? (uint32_t)(executor - fleet->executors) % fleet->zones
            : 0;
    nm_ms_t since_ms = fleet->evacuated_ms[zone];
    if (since_ms > 0 && arrived_ms > since_ms + EXECUTOR_EVACUATION_MS &&
        arrived_ms >= fleet->contact_from_ms)
    {
        executor_fleet_add_violation(
            fleet, now_ms,
            "EVAC task %s starts on executor %s, its zone is evacuated since "
            "%lld ms, bound %d ms",
            order->task, executor->id, (long long)(arrived_ms - since_ms),
            EXECUTOR_EVACUATION_MS);
    }
}

void
executor_fleet_set_evacuated(executor_fleet_t *fleet, uint32_t zone,
                             uint32_t zones, nm_ms_t since_ms)
{
    fleet->zones = zones;
    fleet->evacuated_ms[zone] = since_ms;
}

void
executor_fleet_set_contact(executor_fleet_t *fleet, nm_ms_t from_ms)
{
    fleet->contact_from_ms = from_ms;
}

/* Work from the start to the end. */
static nm_ms_t
query_work_ms(const executor_run_t *run)
{
    return MAX(run->duration_ms - run->checkpoint_ms, 20);
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
    executor_run_t *current = find_run(executor, order->task);
    if (current && current->run == order->run) {
        return EXECUTOR_STATUS_OK;
    }
    if (order->run <= find_last_finished_run(executor, order->task) || current)
    {
        extend_lease(executor, order->expiry_ms, now_ms);
        *reason = "old";
        return EXECUTOR_STATUS_CONFLICT;
    }
    if (order->expiry_ms <= executor_clock(executor, now_ms)) {
        *reason = "late";
        return EXECUTOR_STATUS_CONFLICT;
    }
    const job_t *job = find_job_of_task(fleet, order->task);
    check_start(fleet, executor, order->task, job, now_ms);
    check_evacuation(fleet, executor, order, now_ms);
    executor_run_t run = {.run = order->run,
                          .started_ms = now_ms,
                          .percent = 100,
                          .paced_ms = now_ms};
    nm_strcopy(run.task, sizeof(run.task), order->task);
    if (job) {
        run.checkpoint_ms = strtoll(order->checkpoint, NULL, 10);
        run.duration_ms = job->duration_ms;
        run.cpu_milli = job->cpu_milli;
        run.long_running = job->long_running;
        run.fills = job->fills;
        run.serves = job->serves;
        run.deadly = job->deadly;
        run.fails =
            !job->long_running &&
            nm_rng_unit(&fleet->rng) <
                (job->fails_often ? FAILING_OFTEN_SHARE : FAILING_SHARE);
        run.end_at_ms = now_ms + query_work_ms(&run);
        if (run.deadly) {
            run.end_at_ms = now_ms + DEADLY_MS;
        }
    }
    extend_lease(executor, order->expiry_ms, now_ms);
    g_array_append_val(executor->runs, run);
    task_t *task = get_task(fleet, order->task);
    executor->started_ms = now_ms;
    if (task->started) {
        executor->retried_ms = now_ms;
    }
    task->started = true;
    log_event(fleet, now_ms, "start", executor, order->task, order->run);
    check_capacity(fleet, executor, now_ms);
    if (!is_own_order(executor, order, now_ms)) {
        fleet->info.late_starts++;
        log_event(fleet, now_ms, "late", executor, order->task, order->run);
    }
    else if (job) {
        check_route(fleet, executor, order->task, job, now_ms);
    }
    fleet->info.starts++;
    return EXECUTOR_STATUS_OK;
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
    record_finished_run(executor, order->task, order->run);
    return EXECUTOR_STATUS_OK;
}

int
executor_pace(executor_fleet_t *fleet, executor_t *executor,
              const executor_order_t *order, uint32_t percent, nm_ms_t now_ms,
              const char **reason)
{
    if (is_fenced(executor, order->epoch)) {
        *reason = "fence";
        return EXECUTOR_STATUS_CONFLICT;
    }
    log_event(fleet, now_ms, percent < 100 ? "slow" : "full", executor,
              order->task, order->run);
    executor_run_t *run = find_run(executor, order->task);
    if (run && run->run == order->run) {
        run->worked_ms = query_worked_ms(run, now_ms);
        run->paced_ms = now_ms;
        run->percent = percent;
        nm_ms_t left_ms = query_work_ms(run) - run->worked_ms;
        run->end_at_ms =
            percent > 0 ? now_ms + left_ms * 100 / percent : NM_MS_NEVER;
    }
    return EXECUTOR_STATUS_OK;
}

int64_t
executor_run_figure(const executor_t *executor, const executor_run_t *run)
{
    if (!run->serves) {
        return run->fills ? run->cpu_milli * run->percent / 100 : 0;
    }
    int64_t fillers_milli = 0;
    for (guint i = 0; i < executor->runs->len; i++) {
        const executor_run_t *other =
            &g_array_index(executor->runs, executor_run_t, i);
        fillers_milli +=
            other->fills ? other->cpu_milli * other->percent / 100 : 0;
    }
    return SERVING_TAIL_MS +
           FILLERS_TAIL_MS * fillers_milli / executor->cpu_milli;
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
        task_t *task = get_task(fleet, end->task);
        if (strcmp(end->result, "done") == 0 && !end->lease_lapsed &&
            task->done_acked_ms == 0)
        {
            task->done_acked_ms = now_ms;
        }
        if (strcmp(end->result, "failed") == 0 && !end->lease_lapsed) {
            task->failures_acked++;
        }
        g_array_remove_index(executor->ends, 0);
    }
    return EXECUTOR_STATUS_OK;
}

void
executor_job_submitted(executor_fleet_t *fleet, const char *id, uint32_t tasks,
                       int64_t cpu_milli, nm_ms_t duration_ms,
                       bool long_running, bool deadly)
{
    job_t *job = g_new0(job_t, 1);
    *job = (job_t){.tasks = tasks,
                   .cpu_milli = cpu_milli,
                   .duration_ms = duration_ms,
                   .long_running = long_running,
                   .deadly = deadly};
    g_hash_table_insert(fleet->jobs, g_strdup(id), job);
}

void
executor_job_routed(executor_fleet_t *fleet, const char *id,
                    const char *service, const char *label,
                    uint32_t per_worker_max)
{
    job_t *job = g_hash_table_lookup(fleet->jobs, id);
    if (job) {
        job->service = service;
        job->label = label;
        job->per_worker_max = per_worker_max;
    }
}

void
executor_job_shares(executor_fleet_t *fleet, const char *id, bool fills,
                    bool serves)
{
    job_t *job = g_hash_table_lookup(fleet->jobs, id);
    if (job) {
        job->fills = fills;
        job->serves = serves;
    }
}

void
executor_job_fails_often(executor_fleet_t *fleet, const char *id)
{
    job_t *job = g_hash_table_lookup(fleet->jobs, id);
    if (job) {
        job->fails_often = true;
    }
}

bool
executor_job_may_fail(const executor_fleet_t *fleet, const char *id)
{
    const job_t *job = g_hash_table_lookup(fleet->jobs, id);
    return job && job->may_fail;
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
    return job && job->done_tasks >= job->tasks;
}

/* True if an executor that may run the job's tasks has room for it. */
static bool
has_room(const executor_fleet_t *fleet, const job_t *job,
         const int64_t *used_milli, nm_ms_t now_ms)
{
    bool found = false;
    int64_t used = 0, capacity = 0;
    int64_t needed_milli = job->fills ? 0 : job->cpu_milli;
    for (uint32_t i = 0; i < fleet->desc.executors; i++) {
        const executor_t *executor = &fleet->executors[i];
        const executor_kind_t *kind = &executor_kinds[executor->kind];
        if (executor_is_silent(executor, now_ms) || executor->entry_ms == 0 ||
            (job->service && strcmp(job->service, kind->service) != 0))
        {
            continue;
        }
        used += used_milli[i];
        capacity += fleet->desc.cpu_milli;
        found =
            found || ((!job->label || strcmp(job->label, kind->label) == 0) &&
                      used_milli[i] + IDLE_ROOM_TASKS * needed_milli <=
                          fleet->desc.cpu_milli);
    }
    return found && used * 2 < capacity;
}

void
executor_fleet_note_idle_jobs(executor_fleet_t *fleet, nm_ms_t now_ms)
{
    int64_t *used_milli = g_new0(int64_t, fleet->desc.executors);
    for (uint32_t i = 0; i < fleet->desc.executors; i++) {
        const GArray *runs = fleet->executors[i].runs;
        for (guint k = 0; k < runs->len; k++) {
            const executor_run_t *run =
                &g_array_index(runs, executor_run_t, k);
            job_t *job = find_job_of_task(fleet, run->task);
            used_milli[i] += run->fills ? 0 : run->cpu_milli;
            if (job) {
                job->at_work_ms = now_ms;
            }
        }
    }
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, fleet->jobs);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        job_t *job = value;
        bool is_idle = job->done_tasks < job->tasks && !job->attempts_ended &&
                       job->at_work_ms < now_ms &&
                       has_room(fleet, job, used_milli, now_ms);
        job->idle_since_ms = !is_idle                 ? 0
                             : job->idle_since_ms > 0 ? job->idle_since_ms
                                                      : now_ms;
        job->idle_noted_ms = now_ms;
    }
    g_free(used_milli);
}

nm_ms_t
executor_job_idle_ms(const executor_fleet_t *fleet, const char *id)
{
    const job_t *job = g_hash_table_lookup(fleet->jobs, id);
    return job && job->idle_since_ms > 0
               ? job->idle_noted_ms - job->idle_since_ms
               : 0;
}

executor_fleet_info_t
executor_fleet_query_info(const executor_fleet_t *fleet)
{
    return fleet->info;
}
