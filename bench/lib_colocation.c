#include "lib_colocation.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define CLASSES 12
#define REPORT_INTERVAL_S 5
#define REPORT_LAG_MIN_S 5
#define REPORT_LAG_RANGE_S 26
#define RESTART_OVERHEAD_S 10
#define SAMPLES_PER_S 6
#define BURST_INTERVAL_S 900
#define BURST_TASKS 40
#define DEADLINE_S 3600
/* Deadline jobs count as at risk when this little time is left. */
#define AT_RISK_S 2400

typedef struct {
    nm_resources_t declared;
    nm_resources_t actual;
    double interference; /* slowdown by tasks that fill the processors */
    double run_s;
} class_t;

typedef struct {
    uint32_t class_;
    int32_t job; /* deadline group, or -1 */
    int64_t deadline_s;
    double remaining_core_s;
    int32_t worker; /* -1: queued */
    uint8_t percent;
    uint32_t overhead_s;
    bool done;
} task_t;

typedef struct {
    int64_t at_s;
    bool is_use;
    int32_t worker;
    uint32_t class_;
    nm_resources_t use;
    nm_place_sample_t sample;
} report_t;

typedef struct {
    const colocation_desc_t *desc;
    nm_rng_t rng;
    nm_place_t place;
    class_t classes[CLASSES];
    GArray *tasks;      /* of task_t */
    GArray *queue;      /* of task index */
    GArray *reports;    /* of report_t */
    GArray **on_worker; /* of task index */
    double *load;
    GArray *latencies; /* of float */
    int64_t now_s;
    uint32_t *job_tasks_remaining; /* tasks left, by deadline job */
    uint32_t job_count;
    colocation_result_t result;
} simulation_t;

static double
random_uniform(nm_rng_t *rng, double least, double most)
{
    return least + (most - least) * nm_rng_unit(rng);
}

static void
make_classes(simulation_t *run)
{
    for (int i = 0; i < CLASSES; i++) {
        class_t *class_ = &run->classes[i];
        int64_t unit = run->desc->cpu_milli / 64;
        class_->declared.cpu_milli = unit * (1 + nm_rng_below(&run->rng, 4));
        class_->declared.memory_mb =
            run->desc->memory_mb / 128 * (1 + nm_rng_below(&run->rng, 3));
        /* Wrong by up to four times either way. */
        double cpu_error = pow(4, random_uniform(&run->rng, -1, 1));
        double memory_error = pow(4, random_uniform(&run->rng, -1, 1));
        class_->actual.cpu_milli =
            (int64_t)(class_->declared.cpu_milli * cpu_error);
        class_->actual.memory_mb =
            (int64_t)(class_->declared.memory_mb * memory_error);
        /* Half of the classes are tame, a quarter disturbs a lot. */
        int kind = i % 4;
        class_->interference = kind < 2 ? random_uniform(&run->rng, 0.01, 0.08)
                               : kind == 2
                                   ? random_uniform(&run->rng, 0.15, 0.5)
                                   : random_uniform(&run->rng, 0.8, 2.0);
        class_->run_s = random_uniform(&run->rng, 120, 600);
    }
}

static double
load_factor(double load)
{
    return 0.5 + load;
}

static void
add_task(simulation_t *run, uint32_t class_, int32_t job, int64_t deadline_s)
{
    const class_t *kind = &run->classes[class_];
    task_t task = {
        .class_ = class_,
        .job = job,
        .deadline_s = deadline_s,
        .remaining_core_s = kind->actual.cpu_milli / 1000.0 * kind->run_s *
                            random_uniform(&run->rng, 0.7, 1.3),
        .worker = -1,
        .percent = 100,
    };
    g_array_append_val(run->tasks, task);
    uint32_t index = run->tasks->len - 1;
    g_array_append_val(run->queue, index);
}

/* Keeps work waiting, and lets waves of one class arrive. */
static void
add_waiting_tasks(simulation_t *run)
{
    if (run->now_s % BURST_INTERVAL_S == 300) {
        uint32_t class_ = nm_rng_below(&run->rng, CLASSES);
        int32_t job = (int32_t)run->job_count++;
        uint32_t tasks = BURST_TASKS / 2;
        run->job_tasks_remaining[job] = tasks;
        /* Jobs that are due after the end are not judged. */
        run->result.missed[job] =
            run->now_s + DEADLINE_S <= run->desc->duration_s;
        int64_t deadline_s = run->now_s + DEADLINE_S;
        for (uint32_t i = 0; i < tasks; i++) {
            add_task(run, class_, job, deadline_s);
        }
        uint32_t noisy = 3 + 4 * nm_rng_below(&run->rng, CLASSES / 4);
        for (uint32_t i = 0; i < BURST_TASKS; i++) {
            add_task(run, noisy, -1, INT64_MAX);
        }
    }
    while (run->queue->len < run->desc->workers * 4) {
        add_task(run, nm_rng_below(&run->rng, CLASSES), -1, INT64_MAX);
    }
}

static task_t *
task_at(const simulation_t *run, uint32_t index)
{
    return &g_array_index(run->tasks, task_t, index);
}

static nm_place_task_spec_t
task_spec(const simulation_t *run, const task_t *task)
{
    return (nm_place_task_spec_t){
        .class_id = task->class_ + 1,
        .job = task->class_ + 1,
        .declared = run->classes[task->class_].declared,
        .priority = 4,
        .at_risk = task->job >= 0 && task->deadline_s - run->now_s < AT_RISK_S,
    };
}

static void
remove_from_worker(simulation_t *run, uint32_t index)
{
    task_t *task = task_at(run, index);
    GArray *list = run->on_worker[task->worker];
    nm_place_release(&run->place, task->worker, index + 1, run->now_s * 1000);
    for (uint32_t i = 0; i < list->len; i++) {
        if (g_array_index(list, uint32_t, i) == index) {
            g_array_remove_index_fast(list, i);
            break;
        }
    }
    task->worker = -1;
    task->percent = 100;
}

/* Tries the queue in order of deadline, then of arrival. */
static void
place_tasks(simulation_t *run)
{
    bool misfit[CLASSES] = {false};
    for (int pass = 0; pass < 2; pass++) {
        for (uint32_t i = 0; i < run->queue->len;) {
            uint32_t index = g_array_index(run->queue, uint32_t, i);
            task_t *task = task_at(run, index);
            /* Tasks of one class need the same room. */
            if ((task->job >= 0) != (pass == 0) || misfit[task->class_]) {
                i++;
                continue;
            }
            nm_place_task_spec_t need = task_spec(run, task);
            nm_reason_t reason;
            int32_t worker = nm_place_choose(&run->place, &need,
                                             run->now_s * 1000, &reason);
            if (worker < 0) {
                misfit[task->class_] = true;
                i++;
                continue;
            }
            nm_place_allocate(&run->place, worker, index + 1, &need,
                              run->now_s * 1000);
            task->worker = worker;
            task->overhead_s = RESTART_OVERHEAD_S / 2;
            g_array_append_val(run->on_worker[worker], index);
            g_array_remove_index(run->queue, i);
        }
    }
}

static void
apply_place_actions(simulation_t *run)
{
    nm_place_action_t reaction;
    while (nm_place_next_action(&run->place, &reaction)) {
        uint32_t index = (uint32_t)reaction.task - 1;
        task_t *task = task_at(run, index);
        if (task->worker < 0) {
            continue;
        }
        if (reaction.type != NM_PLACE_ACTION_EVICT) {
            task->percent = reaction.throttle_pct;
            continue;
        }
        remove_from_worker(run, index);
        task->remaining_core_s += RESTART_OVERHEAD_S *
                                  run->classes[task->class_].actual.cpu_milli /
                                  1000.0;
        g_array_append_val(run->queue, index);
        run->result.evictions++;
    }
}

static double
service_slowdown(const simulation_t *run, uint32_t worker, double *progress)
{
    double cpu = run->desc->executor.cpu_milli * run->load[worker];
    double slowdown = 1;
    GArray *list = run->on_worker[worker];
    for (uint32_t i = 0; i < list->len; i++) {
        const task_t *task = task_at(run, g_array_index(list, uint32_t, i));
        const class_t *kind = &run->classes[task->class_];
        double used = kind->actual.cpu_milli * task->percent / 100.0;
        cpu += used;
        slowdown += kind->interference * used / run->desc->cpu_milli *
                    load_factor(run->load[worker]);
    }
    double crowding = cpu / run->desc->cpu_milli;
    *progress = crowding > 1 ? 1 / crowding : 1;
    return crowding > 1 ? slowdown * crowding * crowding : slowdown;
}

static void
finish_task(simulation_t *run, uint32_t index)
{
    task_t *task = task_at(run, index);
    remove_from_worker(run, index);
    task->done = true;
    if (task->job >= 0 && --run->job_tasks_remaining[task->job] == 0 &&
        run->now_s <= task->deadline_s)
    {
        run->result.missed[task->job] = 0;
    }
}

static void
step_worker(simulation_t *run, uint32_t worker)
{
    double progress;
    double slowdown = service_slowdown(run, worker, &progress);
    uint32_t samples =
        (uint32_t)(SAMPLES_PER_S * run->load[worker] + nm_rng_unit(&run->rng));
    for (uint32_t i = 0; i < samples; i++) {
        float latency =
            (float)(slowdown * (0.6 - 0.4 * log(1 - nm_rng_unit(&run->rng))));
        g_array_append_val(run->latencies, latency);
    }
    int64_t memory_mb = run->desc->executor.memory_mb;
    double cpu_milli = (double)run->desc->executor.cpu_milli;
    GArray *list = run->on_worker[worker];
    bool reports = (run->now_s + worker) % REPORT_INTERVAL_S == 0;
    int64_t arrives_s = run->now_s + REPORT_LAG_MIN_S +
                        nm_rng_below(&run->rng, REPORT_LAG_RANGE_S);
    for (uint32_t i = list->len; i-- > 0;) {
        uint32_t index = g_array_index(list, uint32_t, i);
        task_t *task = task_at(run, index);
        const class_t *kind = &run->classes[task->class_];
        memory_mb += kind->actual.memory_mb;
        cpu_milli += kind->actual.cpu_milli * task->percent / 100.0;
        if (reports) {
            report_t report = {
                .at_s = arrives_s,
                .is_use = true,
                .class_ = task->class_,
                .use = kind->actual,
            };
            double noise = random_uniform(&run->rng, 0.95, 1.05);
            report.use.cpu_milli = (int64_t)(report.use.cpu_milli * noise);
            g_array_append_val(run->reports, report);
        }
        if (task->overhead_s > 0) {
            task->overhead_s--;
            continue;
        }
        double work =
            kind->actual.cpu_milli / 1000.0 * progress * task->percent / 100;
        task->remaining_core_s -= work;
        run->result.work += work;
        if (task->remaining_core_s <= 0) {
            finish_task(run, index);
        }
    }
    if (reports) {
        report_t report = {
            .at_s = arrives_s,
            .worker = (int32_t)worker,
            .sample =
                {
                    .measured_ms = run->now_s * 1000,
                    .load = (float)run->load[worker],
                    .slowdown = (float)(slowdown *
                                        random_uniform(&run->rng, 0.97, 1.03)),
                },
        };
        g_array_append_val(run->reports, report);
    }
    run->result.over_cpu += cpu_milli > run->desc->cpu_milli;
    run->result.over_memory += memory_mb > run->desc->memory_mb;
    nm_place_info_t info = nm_place_query_worker(&run->place, (int32_t)worker);
    run->result.over_reserved += info.used.cpu_milli > run->desc->cpu_milli ||
                                 info.used.memory_mb > run->desc->memory_mb;
}

static void
deliver_reports(simulation_t *run)
{
    for (uint32_t i = 0; i < run->reports->len;) {
        report_t report = g_array_index(run->reports, report_t, i);
        if (report.at_s > run->now_s) {
            i++;
            continue;
        }
        g_array_remove_index_fast(run->reports, i);
        if (report.is_use) {
            nm_place_observe_usage(&run->place, report.class_ + 1,
                                   &report.use);
        }
        else {
            nm_place_observe_service(&run->place, report.worker,
                                     &report.sample, run->now_s * 1000);
        }
    }
}

static void
update_load(simulation_t *run)
{
    for (uint32_t i = 0; i < run->desc->workers; i++) {
        double wave = 0.45 + 0.3 * sin((double)run->now_s / 900 + i * 0.02);
        double own = 0.08 * sin((double)run->now_s / 37 + i * 1.7);
        run->load[i] = wave + own;
    }
}

static void
set_ground_truth(simulation_t *run)
{
    static const float ends[NM_PLACE_LOAD_BANDS] = NM_PLACE_LOAD_BAND_LIMITS;
    for (uint32_t i = 0; i < CLASSES; i++) {
        float slowdowns[NM_PLACE_LOAD_BANDS];
        for (int b = 0; b < NM_PLACE_LOAD_BANDS; b++) {
            slowdowns[b] = (float)(run->classes[i].interference *
                                   load_factor(MIN(ends[b], 0.83f)));
        }
        nm_place_set_ground_truth(&run->place, i + 1, &run->classes[i].actual,
                                  0, slowdowns);
    }
}

static int
compare_floats(const void *a, const void *b)
{
    float x = *(const float *)a;
    float y = *(const float *)b;
    return (x > y) - (x < y);
}

static void
simulation_init(simulation_t *run, const colocation_desc_t *desc)
{
    run->desc = desc;
    nm_rng_init(&run->rng, desc->seed);
    nm_place_init(&run->place,
                  &(nm_place_desc_t){
                      .seed = desc->seed,
                      .policy = desc->policy,
                      .weight_latency_pct = desc->weight_latency_pct,
                  });
    run->tasks = g_array_new(FALSE, TRUE, sizeof(task_t));
    run->queue = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    run->reports = g_array_new(FALSE, TRUE, sizeof(report_t));
    run->latencies = g_array_new(FALSE, TRUE, sizeof(float));
    run->on_worker = g_new0(GArray *, desc->workers);
    run->load = g_new0(double, desc->workers);
    run->result.deadlines = desc->duration_s / BURST_INTERVAL_S + 1;
    run->job_tasks_remaining = g_new0(uint32_t, run->result.deadlines);
    run->result.missed = g_malloc(run->result.deadlines);
    memset(run->result.missed, 0, run->result.deadlines);
    make_classes(run);
    for (uint32_t i = 0; i < desc->workers; i++) {
        run->on_worker[i] = g_array_new(FALSE, TRUE, sizeof(uint32_t));
        nm_place_set_worker(
            &run->place, &(nm_place_worker_t){
                             .id = i + 1,
                             .rack = i / 8,
                             .capacity = {desc->cpu_milli, desc->memory_mb, 0},
                             .service = 0,
                             .executor = desc->executor,
                         });
    }
    if (desc->policy == NM_PLACE_POLICY_ORACLE) {
        set_ground_truth(run);
    }
}

static void
simulation_finish(simulation_t *run)
{
    g_array_sort(run->latencies, compare_floats);
    uint32_t at = (uint32_t)(0.99 * (run->latencies->len - 1));
    run->result.p99 = g_array_index(run->latencies, float, at);
    for (uint32_t i = 0; i < run->job_count; i++) {
        run->result.deadlines_missed += run->result.missed[i];
    }
    for (uint32_t i = 0; i < run->desc->workers; i++) {
        g_array_free(run->on_worker[i], TRUE);
    }
    g_array_free(run->tasks, TRUE);
    g_array_free(run->queue, TRUE);
    g_array_free(run->reports, TRUE);
    g_array_free(run->latencies, TRUE);
    g_free(run->on_worker);
    g_free(run->load);
    g_free(run->job_tasks_remaining);
    nm_place_finish(&run->place);
}

colocation_result_t
colocation_run(const colocation_desc_t *desc)
{
    simulation_t run = {0};
    simulation_init(&run, desc);
    for (run.now_s = 1; run.now_s <= desc->duration_s; run.now_s++) {
        update_load(&run);
        add_waiting_tasks(&run);
        deliver_reports(&run);
        apply_place_actions(&run);
        place_tasks(&run);
        for (uint32_t i = 0; i < desc->workers; i++) {
            step_worker(&run, i);
        }
    }
    simulation_finish(&run);
    return run.result;
}
