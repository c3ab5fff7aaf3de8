#include "lib_fleet_state.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "lib_credit.h"
#include "lib_durations.h"
#include "lib_mixes.h"
#include "lib_restarts.h"

/* Spreads the phases of successive jobs evenly over the circle. */
#define GOLDEN_ANGLE 2.39996
/* Added to a log tail by a disturbing filler with a tenth of the worker. */
#define DISTURBING_EFFECT 0.7
#define POLL_LATENCY_MS 5
#define METRIC_PERIOD_MS 500
/* Added to the duration of a run that resumes from a checkpoint. */
#define RESTORE_MS 600
/* The part of its credit that a late job gets (the users' sheets). */
#define LATE_CREDIT_SHARE FLEET_LATE_CREDIT_SHARE
/* A job later than this multiple of its objective earns nothing. */
#define LATE_LIMIT_FACTOR 3
/* How much longer than estimated a straggler takes. */
#define STRAGGLER_FACTOR 7
/* A filler that is stopped earlier has no checkpoint. */
#define SAVE_MS 1000

static double
random_unit(fleet_t *fleet)
{
    return nm_rng_unit(&fleet->rng);
}

/* Tasks of a step, steps, and estimate of a task; of checks and fillers. */
static const struct {
    size_dist_t tasks;
    size_dist_t steps;
    size_dist_t estimate_ms;
} job_sizes[] = {
    {{6, 0.8, 36}, {1.6, 0.4, 4}, {800, 0.5, 2000}},
    {{8, 0.6, 32}, {2, 0.4, 5}, {2200, 0.5, 5400}},
};

/* Returns the mean where sizes do not vary. */
static double
draw_size(fleet_t *fleet, int kind, const size_dist_t *dist, double mean)
{
    bool varies = fleet->desc.sizes_vary && kind != JOB_SERVICE;
    return varies ? round(sizes_draw(&fleet->rng, dist)) : mean;
}

/* Counts a job that admission would refuse; it is added all the same. */
static void
count_refusable(fleet_t *fleet, job_t *job, const char *queue, nm_ms_t path_ms)
{
    job->refusable =
        nm_sched_query_admission(fleet->sched, queue, job->core_ms, path_ms)
            .refuse;
    fleet->info.refusable += job->refusable;
}

static void
add_job(fleet_t *fleet, int kind)
{
    static const char *const queues[] = {"checks", "fillers", "services"};
    int sized = kind == JOB_FILLER ? JOB_FILLER : JOB_CHECK;
    char id[NM_JOB_ID_MAX];
    snprintf(id, sizeof(id), "%016llx",
             (unsigned long long)++fleet->job_number);
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, mixes_is_mixed(kind) ? "checks" : queues[kind],
                     "press");
    uint32_t steps = (uint32_t)draw_size(fleet, kind, &job_sizes[sized].steps,
                                         kind == JOB_FILLER ? 2 : 1);
    nm_ms_t estimate_ms =
        (nm_ms_t)draw_size(fleet, kind, &job_sizes[sized].estimate_ms,
                           kind == JOB_CHECK    ? 800
                           : kind == JOB_FILLER ? 2200
                                                : 0);
    const fleet_profile_t *profile = fleet->desc.profile;
    int image = (int)nm_rng_below(
        &fleet->rng, kind == JOB_FILLER ? fleet_filler_images(fleet)
                                        : fleet_serving_images(fleet));
    if (profile && kind == JOB_FILLER) {
        estimate_ms = profile->filler_estimate_ms;
    }
    for (uint32_t s = 0; s < steps; s++) {
        nm_step_t *step = nm_job_spec_add_step(&spec);
        step->task_count = (uint32_t)draw_size(
            fleet, kind, &job_sizes[sized].tasks, kind == JOB_FILLER ? 8 : 6);
        step->cpu_milli = (int64_t)((double)fleet->desc.cpu_milli *
                                    (kind == JOB_SERVICE ? 0.2 : 0.08));
        if (profile && kind != JOB_CHECK) {
            bool filler = kind == JOB_FILLER;
            step->task_count =
                filler ? profile->filler_tasks : profile->service_tasks;
            step->cpu_milli = filler ? profile->filler_cpu_milli
                                     : profile->service_cpu_milli;
        }
        step->memory_mb = 1000;
        step->estimate_ms = estimate_ms;
        step->long_running = kind == JOB_SERVICE;
        step->is_filler = kind == JOB_FILLER;
        /* With a profile half of the jobs are throttled instead of stopped. */
        step->saves_progress =
            kind == JOB_FILLER && !(profile && fleet->job_number % 2 == 0);
        step->target_ms = kind == JOB_SERVICE ? TARGET_MS : 0;
        snprintf(step->image, sizeof(step->image), "%d", image);
        restarts_restrict_step(fleet, step);
        mixes_set_step(fleet, kind, step);
        if (s > 0) {
            nm_step_add_dependency(step, s - 1);
        }
    }
    job_t *job = g_new0(job_t, 1);
    nm_strcopy(job->id, sizeof(job->id), id);
    job->arrived_ms = fleet->now_ms;
    job->at_work_ms = fleet->now_ms;
    job->kind = kind;
    job->is_check = kind == JOB_CHECK;
    job->long_running = kind == JOB_SERVICE;
    job->load_phase = GOLDEN_ANGLE * (double)fleet->job_number;
    job->always_fails = kind == JOB_FILLER &&
                        random_unit(fleet) < fleet->desc.failing_job_share;
    nm_ms_t path_ms = nm_job_spec_critical_path_ms(&spec);
    job->core_ms = nm_job_spec_core_ms(&spec);
    if (kind != JOB_SERVICE && durations_are_drawn(&fleet->desc)) {
        path_ms =
            durations_init_job(fleet, job, &spec,
                               kind == JOB_CHECK ? fleet->desc.checks_error
                                                 : fleet->desc.fillers_error);
    }
    job->objective_ms = kind == JOB_CHECK || mixes_is_mixed(kind)
                            ? path_ms * 3 / 2 + 600
                            : 2 * path_ms + 1000;
    g_hash_table_insert(fleet->jobs, job->id, job);
    if (!job->always_fails) {
        fleet->info.checks += kind == JOB_CHECK;
        fleet->info.fillers += kind == JOB_FILLER;
    }
    if (kind != JOB_SERVICE) {
        count_refusable(fleet, job, queues[kind], path_ms);
    }
    nm_sched_add_job(fleet->sched, &spec, false, fleet->now_ms);
    nm_job_spec_finish(&spec);
}

static void
add_arriving_jobs(fleet_t *fleet)
{
    const fleet_desc_t *desc = &fleet->desc;
    nm_ms_t t = fleet->now_ms;
    nm_ms_t end_ms = desc->burst_end_ms ? desc->burst_end_ms : 11000;
    double burst =
        t >= 5000 && t < end_ms && desc->burst > 0 ? desc->burst : 1;
    double rates_per_s[JOB_KIND_COUNT] = {
        desc->checks_per_s, desc->fillers_per_s * burst, desc->services_per_s};
    mixes_set_rates(desc, rates_per_s);
    for (int kind = 0; kind < JOB_KIND_COUNT; kind++) {
        if (rates_per_s[kind] <= 0 && mixes_is_mixed(kind)) {
            continue; /* without a draw: other patterns stay as they were */
        }
        fleet->pending_arrivals[kind] +=
            rates_per_s[kind] * TICK_MS / 1000 * random_unit(fleet) * 2;
        while (fleet->pending_arrivals[kind] >= 1) {
            fleet->pending_arrivals[kind] -= 1;
            add_job(fleet, kind);
        }
    }
}

run_t *
fleet_find_run(worker_t *worker, const char *task, int64_t number)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        run_t *run = &g_array_index(worker->runs, run_t, i);
        if (run->run == number && strcmp(run->task, task) == 0) {
            return run;
        }
    }
    return NULL;
}

static job_t *
find_job(fleet_t *fleet, const char *task)
{
    char id[NM_JOB_ID_MAX] = {0};
    memcpy(id, task, MIN(strcspn(task, "."), sizeof(id) - 1));
    return g_hash_table_lookup(fleet->jobs, id);
}

/* Counts a run that begins (1) or ends (-1); returns those left before. */
static int
add_running(fleet_t *fleet, const char *task, int change)
{
    int count = GPOINTER_TO_INT(g_hash_table_lookup(fleet->running, task));
    g_hash_table_insert(fleet->running, g_strdup(task),
                        GINT_TO_POINTER(count + change));
    return count;
}

/* Adds the time for which a long-running task has been interrupted, if any. */
static void
measure_interrupted(fleet_t *fleet, const nm_ms_t *failed_ms)
{
    if (failed_ms) {
        fleet->info.longest_interrupted_ms = MAX(
            fleet->info.longest_interrupted_ms, fleet->now_ms - *failed_ms);
    }
}

static nm_ms_t
draw_duration_ms(fleet_t *fleet, nm_ms_t estimate_ms)
{
    const fleet_desc_t *desc = &fleet->desc;
    double error = desc->run_error > 0 ? desc->run_error : 0.4;
    double factor = 1 - error + 2 * error * random_unit(fleet);
    if (desc->run_straggler_share > 0 &&
        random_unit(fleet) < desc->run_straggler_share)
    {
        factor *= STRAGGLER_FACTOR;
    }
    return (nm_ms_t)((double)estimate_ms * factor);
}

void
fleet_start_run(fleet_t *fleet, worker_t *worker,
                const nm_sched_action_t *action)
{
    job_t *job = find_job(fleet, action->task);
    unsigned int occurrence;
    unsigned int step;
    unsigned int index;
    if (sscanf(action->task + 16, ".%u.%u.%u", &occurrence, &step, &index) !=
        3) {
        return;
    }
    if (add_running(fleet, action->task, 1) > 0) {
        restarts_count_duplicate(fleet, worker, action);
    }
    measure_interrupted(fleet,
                        g_hash_table_lookup(fleet->interrupted, action->task));
    g_hash_table_remove(fleet->interrupted, action->task);
    nm_step_t desc;
    if (!nm_sched_query_step(fleet->sched, job->id, step, &desc)) {
        return;
    }
    run_t run = {.run = action->run,
                 .began_ms = fleet->now_ms,
                 .ends_ms = NM_MS_NEVER,
                 .serving_image = desc.target_ms > 0 ? atoi(desc.image) : -1,
                 .filler_image = desc.is_filler ? atoi(desc.image) : -1,
                 .cpu_milli = desc.cpu_milli,
                 .reserves_cpu = !desc.is_filler,
                 .percent = 100,
                 .wanted_percent = 100,
                 .unaddressed = action->incarnation != worker->incarnation};
    nm_strcopy(run.task, sizeof(run.task), action->task);
    run.load_phase = job->load_phase;
    job->first_start_ms =
        job->first_start_ms ? job->first_start_ms : fleet->now_ms;
    if (!desc.long_running) {
        const int64_t *left_ms =
            g_hash_table_lookup(fleet->saved_left_ms, action->task);
        run.duration_left_ms =
            left_ms && action->checkpoint[0] ? (nm_ms_t)*left_ms + RESTORE_MS
            : durations_are_drawn(&fleet->desc)
                ? durations_of_task(fleet, job, step, index)
            : mixes_is_mixed(job->kind)
                ? (nm_ms_t)((double)desc.estimate_ms *
                            mixes_draw_duration(fleet, job, &desc))
                : draw_duration_ms(fleet, desc.estimate_ms);
        run.fails = worker->failing || job->always_fails;
        run.ends_ms = fleet->now_ms + (run.fails ? 300 : run.duration_left_ms);
    }
    if (run.filler_image >= 0) {
        fillers_on_start(fleet, &run);
    }
    g_array_append_val(worker->runs, run);
    fleet->info.starts++;
    restarts_check_start(fleet, worker, &run, &desc);
}

static void
end_run(fleet_t *fleet, worker_t *worker, guint index, nm_end_t end_type)
{
    run_t *run = &g_array_index(worker->runs, run_t, index);
    nm_worker_end_t end = {
        .number = ++worker->last_end, .run = run->run, .end = end_type};
    nm_strcopy(end.task, sizeof(end.task), run->task);
    nm_ms_t elapsed_ms = fleet->now_ms - run->began_ms;
    if (end_type == NM_END_STOPPED && run->filler_image >= 0 &&
        elapsed_ms >= SAVE_MS)
    {
        int64_t left_ms = MAX(run->ends_ms - fleet->now_ms, 50);
        g_hash_table_insert(fleet->saved_left_ms, g_strdup(run->task),
                            g_memdup2(&left_ms, sizeof(left_ms)));
        char checkpoint[24];
        snprintf(checkpoint, sizeof(checkpoint), "%lld", (long long)left_ms);
        end.checkpoint = g_intern_string(checkpoint);
    }
    if (run->serving_image >= 0 && end_type == NM_END_FAILED) {
        g_hash_table_insert(fleet->interrupted, g_strdup(run->task),
                            g_memdup2(&fleet->now_ms, sizeof(fleet->now_ms)));
    }
    if (run->filler_image >= 0) {
        fillers_on_end(fleet, run,
                       end_type == NM_END_DONE || end.checkpoint != NULL);
    }
    add_running(fleet, run->task, -1);
    restarts_refuse(worker, run->task, run->run);
    g_array_append_val(worker->ends, end);
    g_array_remove_index(worker->runs, index);
}

void
fleet_drop_runs(fleet_t *fleet, worker_t *worker)
{
    for (guint i = 0; i < worker->runs->len; i++) {
        add_running(fleet, g_array_index(worker->runs, run_t, i).task, -1);
    }
    g_array_set_size(worker->runs, 0);
}

static double
log_tail(const fleet_t *fleet, const worker_t *worker, const run_t *run)
{
    double sum =
        fleet_base_log_tail(fleet) + fillers_swing(fleet, run, fleet->now_ms);
    for (guint i = 0; i < worker->runs->len; i++) {
        const run_t *other = &g_array_index(worker->runs, run_t, i);
        if (other->filler_image >= 0) {
            double share = (double)other->cpu_milli * other->percent / 100 /
                           (double)fleet->desc.cpu_milli;
            sum += fillers_effect(fleet, run, other) * share / 0.1;
        }
    }
    return sum;
}

static void
measure_tails(fleet_t *fleet, worker_t *worker)
{
    bool metrics_due = fleet->now_ms % METRIC_PERIOD_MS == 0;
    for (guint i = 0; i < worker->runs->len; i++) {
        run_t *run = &g_array_index(worker->runs, run_t, i);
        if (run->serving_image < 0) {
            continue;
        }
        double tail = log_tail(fleet, worker, run);
        fleet->info.serving_s += TICK_MS / 1000.0;
        if (tail > 0) {
            fleet->info.over_target_s += TICK_MS / 1000.0;
            run->over_since_ms =
                run->over_since_ms ? run->over_since_ms : fleet->now_ms;
            fleet->info.longest_over_ms =
                MAX(fleet->info.longest_over_ms,
                    fleet->now_ms - run->over_since_ms);
        }
        else {
            run->over_since_ms = 0;
        }
        if (fleet->desc.profile) {
            fillers_account(fleet, worker, run);
            run->tail_sum += tail * TICK_MS / METRIC_PERIOD_MS;
        }
        if (metrics_due) {
            double noise = 0.3 * (random_unit(fleet) - 0.5);
            tail = fleet->desc.profile ? run->tail_sum : tail;
            run->tail_sum = 0;
            double noisy_tail = exp(tail + (fleet->desc.informed ? 0 : noise));
            run->metric = (int64_t)(noisy_tail * TARGET_MS);
        }
    }
}

static double
process_cpu_s(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

static void
send_report(fleet_t *fleet, worker_t *worker)
{
    GArray *rows = g_array_new(FALSE, TRUE, sizeof(nm_worker_run_t));
    for (guint i = 0; i < worker->runs->len; i++) {
        const run_t *run = &g_array_index(worker->runs, run_t, i);
        nm_worker_run_t row = {.run = run->run, .metric = run->metric};
        nm_strcopy(row.task, sizeof(row.task), run->task);
        g_array_append_val(rows, row);
    }
    nm_worker_report_t report = {
        .result = NM_ORDER_DONE,
        .incarnation = worker->incarnation,
        .clock_ms = fleet->now_ms - worker->born_ms,
        .sent_ms = worker->poll_sent_ms,
        .complete = true,
        .running = (const nm_worker_run_t *)rows->data,
        .running_count = rows->len,
        .ends = (const nm_worker_end_t *)worker->ends->data,
        .end_count = worker->ends->len,
    };
    worker->poll_pending = false;
    restarts_on_report(fleet, worker);
    double begin_s = fleet->desc.owner_cores > 0 ? process_cpu_s() : 0;
    nm_sched_on_report(fleet->sched, worker->id, &report, fleet->now_ms);
    if (fleet->desc.owner_cores > 0) {
        fleet->info.cpu_s += process_cpu_s() - begin_s;
    }
    g_array_free(rows, TRUE);
}

static void
time_out_poll(fleet_t *fleet, worker_t *worker)
{
    if (worker->poll_pending && fleet->now_ms >= worker->poll_until_ms) {
        nm_worker_report_t report = {.result = NM_ORDER_UNKNOWN,
                                     .sent_ms = worker->poll_sent_ms};
        worker->poll_pending = false;
        worker->poll_lost = false;
        nm_sched_on_report(fleet->sched, worker->id, &report, fleet->now_ms);
    }
}

static void
tick_worker(fleet_t *fleet, worker_t *worker)
{
    for (guint i = worker->runs->len; i > 0; i--) {
        run_t *run = &g_array_index(worker->runs, run_t, i - 1);
        fillers_tick_run(fleet, run);
        if (run->stopping && fleet->now_ms >= run->stopped_ms) {
            end_run(fleet, worker, i - 1, NM_END_STOPPED);
        }
        else if (run->serving_image >= 0 &&
                 fleet->desc.serving_lifetime_ms > 0 &&
                 random_unit(fleet) * (double)fleet->desc.serving_lifetime_ms <
                     TICK_MS)
        {
            end_run(fleet, worker, i - 1, NM_END_FAILED);
        }
        else if (fleet->now_ms >= run->ends_ms) {
            end_run(fleet, worker, i - 1,
                    run->fails ? NM_END_FAILED : NM_END_DONE);
        }
        else if (run->percent < 100 && run->ends_ms != NM_MS_NEVER) {
            run->ends_ms += TICK_MS * (100 - (nm_ms_t)run->percent) / 100;
        }
    }
    measure_tails(fleet, worker);
    if (worker->poll_lost || fleet->now_ms < worker->up_ms) {
        time_out_poll(fleet, worker);
    }
    else if (worker->poll_pending &&
             (worker->ends->len > 0 || fleet->now_ms >= worker->poll_until_ms))
    {
        send_report(fleet, worker);
    }
}

/* Drops the runs of an unresponsive worker, and lets its polls time out. */
static void
tick_unresponsive_worker(fleet_t *fleet, worker_t *worker)
{
    if (worker->unresponsive_since_ms == 0) {
        worker->unresponsive_since_ms = fleet->now_ms;
        fleet_drop_runs(fleet, worker);
        nm_sched_deregister_worker(fleet->sched, worker->id);
    }
    time_out_poll(fleet, worker);
}

static void
execute_action(fleet_t *fleet, const nm_sched_action_t *action)
{
    worker_t *worker =
        g_hash_table_lookup(fleet->workers_by_id, action->worker);
    bool unresponsive =
        (worker->unresponsive && worker->unresponsive_since_ms > 0) ||
        fleet->now_ms < worker->up_ms;
    nm_order_result_t result = unresponsive ? NM_ORDER_UNKNOWN : NM_ORDER_DONE;
    run_t *run = unresponsive
                     ? NULL
                     : fleet_find_run(worker, action->task, action->run);
    switch (action->type) {
    case NM_ACTION_START:
        if (fleet->desc.restart_interval_ms > 0) {
            restarts_start(fleet, worker, action);
            break;
        }
        if (!unresponsive && !run) {
            fleet_start_run(fleet, worker, action);
        }
        nm_sched_on_start(fleet->sched, action, result, fleet->now_ms);
        break;
    case NM_ACTION_STOP:
        fleet->info.stops++;
        if (fleet->desc.restart_interval_ms > 0) {
            restarts_stop(fleet, worker, action);
            break;
        }
        if (run && fleet->desc.profile) {
            fillers_stop(fleet, run);
        }
        else if (run) {
            run->stopping = true;
        }
        nm_sched_on_stop(fleet->sched, action, result, fleet->now_ms);
        break;
    case NM_ACTION_THROTTLE:
        if (run && fleet->desc.profile) {
            fillers_throttle(fleet, run, action->percent);
        }
        else if (run) {
            run->percent = action->percent;
            run->wanted_percent = action->percent;
        }
        nm_sched_on_throttle(fleet->sched, action, result, fleet->now_ms);
        break;
    default:
        fleet->info.polls++;
        while (action->incarnation == worker->incarnation &&
               worker->ends->len > 0 &&
               g_array_index(worker->ends, nm_worker_end_t, 0).number <=
                   action->acked)
        {
            g_array_remove_index(worker->ends, 0);
        }
        worker->poll_pending = true;
        worker->poll_sent_ms = fleet->now_ms;
        worker->poll_until_ms =
            fleet->now_ms + POLL_LATENCY_MS + action->wait_ms;
        restarts_poll(fleet, worker, action);
        break;
    }
}

static void
measure_idle_jobs(fleet_t *fleet)
{
    for (uint32_t w = 0; w < fleet->desc.workers; w++) {
        GArray *runs = fleet->workers[w].runs;
        for (guint i = 0; i < runs->len; i++) {
            const run_t *run = &g_array_index(runs, run_t, i);
            find_job(fleet, run->task)->at_work_ms = fleet->now_ms;
        }
    }
    nm_ms_t arrivals_end_ms = fleet->desc.arrivals_end_ms;
    if (arrivals_end_ms == 0 || fleet->now_ms < arrivals_end_ms) {
        return;
    }
    GHashTableIter jobs;
    job_t *job;
    g_hash_table_iter_init(&jobs, fleet->jobs);
    while (g_hash_table_iter_next(&jobs, NULL, (gpointer *)&job)) {
        nm_ms_t since_ms = MAX(job->at_work_ms, arrivals_end_ms);
        if (!job->long_running && !job->ended && !job->always_fails) {
            fleet->info.longest_idle_ms =
                MAX(fleet->info.longest_idle_ms, fleet->now_ms - since_ms);
        }
    }
}

static void
run_scheduler(fleet_t *fleet)
{
    double begin = process_cpu_s();
    nm_sched_run(fleet->sched, fleet->now_ms, 1000000 + fleet->now_ms);
    nm_sched_save_t save;
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    while (nm_sched_next_save(fleet->sched, &save)) {
        nm_sched_confirm_save(fleet->sched, &save, true);
        g_ptr_array_add(ids, g_strdup(save.job));
        g_free(save.record);
    }
    fleet->info.cpu_s += process_cpu_s() - begin;
    for (guint i = 0; i < ids->len; i++) {
        job_t *job = g_hash_table_lookup(fleet->jobs, ids->pdata[i]);
        if (!job->ended && !job->always_fails &&
            nm_sched_query_job(fleet->sched, job->id) == NM_JOB_COMPLETED)
        {
            job->ended = true;
            nm_ms_t took_ms = fleet->now_ms - job->arrived_ms;
            bool in_time = took_ms <= job->objective_ms;
            bool late =
                !in_time && took_ms <= LATE_LIMIT_FACTOR * job->objective_ms;
            job->credit_share = in_time ? 1 : late ? LATE_CREDIT_SHARE : 0;
            fleet->info.checks_in_time += job->is_check && in_time;
            bool is_filler = job->kind == JOB_FILLER;
            fleet->info.fillers_in_time += is_filler && in_time;
            fleet->info.refusable_served +=
                job->refusable && job->credit_share > 0;
            fleet->info.checks_late += job->is_check && late;
            fleet->info.fillers_late += is_filler && late;
        }
    }
    g_ptr_array_free(ids, TRUE);
    GArray *actions = g_array_new(FALSE, FALSE, sizeof(nm_sched_action_t));
    nm_sched_action_t action;
    while (nm_sched_next_action(fleet->sched, &action)) {
        g_array_append_val(actions, action);
    }
    for (guint i = 0; i < actions->len; i++) {
        execute_action(fleet, &g_array_index(actions, nm_sched_action_t, i));
    }
    g_array_free(actions, TRUE);
}

/* The same as an owner for which the decisions take some time. */
static void
run_owner(fleet_t *fleet)
{
    run_scheduler(fleet);
    double used_s = fleet->info.cpu_s - fleet->owner_cpu_s;
    fleet->owner_cpu_s = fleet->info.cpu_s;
    double cores = fleet->desc.owner_cores;
    nm_ms_t used_ms = cores > 0 ? (nm_ms_t)(used_s * 1000 / cores) : 0;
    fleet->owner_busy_until_ms =
        fleet->now_ms + fleet->desc.owner_pass_ms + used_ms;
}

static void
init_workers(fleet_t *fleet)
{
    const fleet_desc_t *desc = &fleet->desc;
    fleet->workers = g_new0(worker_t, desc->workers);
    for (uint32_t w = 0; w < desc->workers; w++) {
        worker_t *worker = &fleet->workers[w];
        snprintf(worker->id, sizeof(worker->id), "w%u", w);
        worker->runs = g_array_new(FALSE, TRUE, sizeof(run_t));
        worker->ends = g_array_new(FALSE, TRUE, sizeof(nm_worker_end_t));
        worker->failing = w < desc->failing_workers;
        worker->evacuated = w + desc->evacuated >= desc->workers;
        worker->unresponsive = w >= desc->failing_workers &&
                               w < desc->failing_workers + desc->unresponsive;
        g_hash_table_insert(fleet->workers_by_id, worker->id, worker);
        restarts_init_worker(fleet, worker);
        if (w + desc->joining < desc->workers) {
            restarts_announce(fleet, worker);
        }
    }
}

static void
init_queues(fleet_t *fleet)
{
    static const nm_queue_t queues[] = {
        {"checks", "press", 0, 4, 1.5, 600, 0},
        {"fillers", "press", 2, 3, 2.0, 1000, 0},
        {"services", "press", 0, 4, 2.0, 3000, 0},
    };
    for (size_t i = 0; i < NM_COUNT_OF(queues); i++) {
        nm_sched_set_queue(fleet->sched, &queues[i]);
    }
    if (fleet->desc.profile) {
        fillers_draw_effects(fleet);
        return;
    }
    for (int s = 0; s < SERVING_IMAGES; s++) {
        for (int f = 0; f < FILLER_IMAGES; f++) {
            fleet->effects[s][f] =
                random_unit(fleet) < fleet->desc.disturbing_pair_share
                    ? DISTURBING_EFFECT
                    : 0;
        }
    }
}

static void
free_fleet(fleet_t *fleet)
{
    for (uint32_t w = 0; w < fleet->desc.workers; w++) {
        g_array_free(fleet->workers[w].runs, TRUE);
        g_array_free(fleet->workers[w].ends, TRUE);
        g_hash_table_destroy(fleet->workers[w].refused);
    }
    g_free(fleet->workers);
    g_hash_table_destroy(fleet->workers_by_id);
    g_hash_table_destroy(fleet->jobs);
    g_hash_table_destroy(fleet->saved_left_ms);
    g_hash_table_destroy(fleet->running);
    g_hash_table_destroy(fleet->interrupted);
    g_array_free(fleet->unanswered, TRUE);
    nm_sched_free(fleet->sched);
}

fleet_info_t
fleet_run(const fleet_desc_t *desc)
{
    fleet_t fleet = {.desc = *desc};
    fleet.desc.workers = desc->workers ? desc->workers : 48;
    fleet.desc.cpu_milli = desc->cpu_milli ? desc->cpu_milli : 64000;
    nm_ms_t duration_ms = desc->duration_ms ? desc->duration_ms : 30000;
    nm_rng_init(&fleet.rng, desc->seed);
    fleet.workers_by_id = g_hash_table_new(g_str_hash, g_str_equal);
    fleet.jobs = g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    fleet.running =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    fleet.interrupted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet.saved_left_ms =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    fleet.sched = nm_sched_new(&(nm_sched_desc_t){.epoch = 1,
                                                  .former_lease_max_ms = 1,
                                                  .seed = desc->seed},
                               0);
    nm_sched_set_lookahead(fleet.sched, desc->looks_ahead);
    init_queues(&fleet);
    if (desc->informed) {
        fleet_reveal_effects(&fleet);
    }
    restarts_init(&fleet);
    init_workers(&fleet);
    for (fleet.now_ms = TICK_MS; fleet.now_ms < duration_ms;
         fleet.now_ms += TICK_MS)
    {
        if (fleet.now_ms == 500) {
            for (uint32_t i = 0; i < desc->services; i++) {
                add_job(&fleet, JOB_SERVICE);
            }
        }
        if (fleet.now_ms == FLEET_EVACUATION_MS && desc->evacuated > 0) {
            nm_sched_set_evacuated(fleet.sched, FLEET_EVACUATED_ZONE, true);
        }
        mixes_announce_joining(&fleet);
        bool arrivals_ended =
            desc->arrivals_end_ms > 0 && fleet.now_ms >= desc->arrivals_end_ms;
        if (fleet.now_ms > 1500 && !arrivals_ended) {
            add_arriving_jobs(&fleet);
        }
        for (uint32_t w = 0; w < fleet.desc.workers; w++) {
            worker_t *worker = &fleet.workers[w];
            restarts_tick_worker(&fleet, worker);
            if (worker->unresponsive && fleet.now_ms >= FLEET_CUT_MS) {
                tick_unresponsive_worker(&fleet, worker);
            }
            else {
                tick_worker(&fleet, worker);
            }
        }
        restarts_deliver(&fleet);
        if (fleet.now_ms >= fleet.owner_busy_until_ms) {
            run_owner(&fleet);
        }
        measure_idle_jobs(&fleet);
        fleet.info.waiting_s +=
            nm_sched_query_info(fleet.sched).long_running_waiting * TICK_MS /
            1000.0;
    }
    GHashTableIter interrupted;
    gpointer failed_ms;
    g_hash_table_iter_init(&interrupted, fleet.interrupted);
    while (g_hash_table_iter_next(&interrupted, NULL, &failed_ms)) {
        measure_interrupted(&fleet, failed_ms);
    }
    credit_measure(&fleet);
    mixes_measure(&fleet);
    free_fleet(&fleet);
    return fleet.info;
}
