#include "lib_colocation.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#define CLASSES 12
#define REPORT_INTERVAL_S 5
#define REPORT_LAG_MIN_S 5
#define REPORT_LAG_RANGE_S 26
/* An eviction loses this much work; a start idles for half of it. */
#define RESTART_OVERHEAD_S 10
/* Latency samples of a worker per second at full load. */
#define SAMPLES_PER_S 6
#define BURST_INTERVAL_S 900
#define BURST_TASKS 40
#define DEADLINE_S 3600
/* A job's tasks are marked at risk when its deadline is nearer than this. */
#define AT_RISK_S 2400

typedef struct {
    nm_resources_t declared;
    nm_resources_t actual;
    double interference; /* added slowdown if its tasks fill a worker */
    double run_s;
} task_class_t;

typedef struct {
    uint32_t class_index;
    int32_t job; /* job with a deadline, or -1 */
    int64_t deadline_s;
    double remaining_core_s;
    int32_t worker;      /* -1: queued */
    uint8_t percent;     /* processor share left by throttling */
    uint32_t overhead_s; /* time until it makes progress after a start */
    bool done;
} task_t;

typedef struct {
    int64_t arrival_s;
    bool is_usage;
    int32_t worker;
    uint32_t class_index;
    nm_resources_t usage;
    nm_place_sample_t sample;
} report_t;

typedef struct {
    const colocation_desc_t *desc;
    nm_rng_t rng;
    nm_place_t place;
    task_class_t classes[CLASSES];
    GArray *tasks;      /* of task_t */
    GArray *queue;      /* of task index */
    GArray *reports;    /* of report_t */
    GArray **on_worker; /* of task index */
    double *load;
    GArray *latencies; /* of float */
    int64_t now_s;
    uint32_t *job_tasks_remaining; /* by job with a deadline */
    uint32_t job_count;
    colocation_result_t result;
} simulation_t;

static double
random_uniform(nm_rng_t *rng, double low, double high)
{
    return low + (high - low) * nm_rng_unit(rng);
}

static void
make_classes(simulation_t *sim)
{
    for (int i = 0; i < CLASSES; i++) {
        task_class_t *class_ = &sim->classes[i];
        int64_t cpu_unit = sim->desc->cpu_milli / 64;
        class_->declared.cpu_milli =
            cpu_unit * (1 + nm_rng_below(&sim->rng, 4));
        class_->declared.memory_mb =
            sim->desc->memory_mb / 128 * (1 + nm_rng_below(&sim->rng, 3));
        /* The declared size is wrong by up to a factor of 4 either way. */
        double cpu_error = pow(4, random_uniform(&sim->rng, -1, 1));
        double memory_error = pow(4, random_uniform(&sim->rng, -1, 1));
        class_->actual.cpu_milli =
            (int64_t)(class_->declared.cpu_milli * cpu_error);
        class_->actual.memory_mb =
            (int64_t)(class_->declared.memory_mb * memory_error);
        /* Interference is low in half of the classes, high in a quarter. */
        int group = i % 4;
        class_->interference =
            group < 2    ? random_uniform(&sim->rng, 0.01, 0.08)
            : group == 2 ? random_uniform(&sim->rng, 0.15, 0.5)
                         : random_uniform(&sim->rng, 0.8, 2.0);
        class_->run_s = random_uniform(&sim->rng, 120, 600);
    }
}

/* Factor on the interference of tasks: it grows with the service's load. */
static double
load_factor(double load)
{
    return 0.5 + load;
}

static void
add_task(simulation_t *sim, uint32_t class_index, int32_t job,
         int64_t deadline_s)
{
    const task_class_t *class_ = &sim->classes[class_index];
    task_t task = {
        .class_index = class_index,
        .job = job,
        .deadline_s = deadline_s,
        .remaining_core_s = class_->actual.cpu_milli / 1000.0 * class_->run_s *
                            random_uniform(&sim->rng, 0.7, 1.3),
        .worker = -1,
        .percent = 100,
    };
    g_array_append_val(sim->tasks, task);
    uint32_t index = sim->tasks->len - 1;
    g_array_append_val(sim->queue, index);
}

/* Keeps tasks queued; adds a deadline job and a burst in each interval. */
static void
add_waiting_tasks(simulation_t *sim)
{
    if (sim->now_s % BURST_INTERVAL_S == 300) {
        uint32_t class_index = nm_rng_below(&sim->rng, CLASSES);
        int32_t job = (int32_t)sim->job_count++;
        uint32_t tasks = BURST_TASKS / 2;
        sim->job_tasks_remaining[job] = tasks;
        /* Jobs due after the end of the run do not count as missed. */
        sim->result.missed[job] =
            sim->now_s + DEADLINE_S <= sim->desc->duration_s;
        int64_t deadline_s = sim->now_s + DEADLINE_S;
        for (uint32_t i = 0; i < tasks; i++) {
            add_task(sim, class_index, job, deadline_s);
        }
        /* One of the classes of high interference. */
        uint32_t noisy_class = 3 + 4 * nm_rng_below(&sim->rng, CLASSES / 4);
        for (uint32_t i = 0; i < BURST_TASKS; i++) {
            add_task(sim, noisy_class, -1, INT64_MAX);
        }
    }
    while (sim->queue->len < sim->desc->workers * 4) {
        add_task(sim, nm_rng_below(&sim->rng, CLASSES), -1, INT64_MAX);
    }
}

static task_t *
task_at(const simulation_t *sim, uint32_t index)
{
    return &g_array_index(sim->tasks, task_t, index);
}

static nm_place_task_spec_t
task_spec(const simulation_t *sim, const task_t *task)
{
    return (nm_place_task_spec_t){
        .class_id = task->class_index + 1,
        .job = task->class_index + 1,
        .declared = sim->classes[task->class_index].declared,
        .priority = 4,
        .at_risk = task->job >= 0 && task->deadline_s - sim->now_s < AT_RISK_S,
    };
}

static void
remove_from_worker(simulation_t *sim, uint32_t index)
{
    task_t *task = task_at(sim, index);
    GArray *list = sim->on_worker[task->worker];
    nm_place_release(&sim->place, task->worker, index + 1, sim->now_s * 1000);
    for (uint32_t i = 0; i < list->len; i++) {
        if (g_array_index(list, uint32_t, i) == index) {
            g_array_remove_index_fast(list, i);
            break;
        }
    }
    task->worker = -1;
    task->percent = 100;
}

/* Places queued tasks in order of arrival, those with a deadline first. */
static void
place_tasks(simulation_t *sim)
{
    bool does_not_fit[CLASSES] = {false};
    for (int pass = 0; pass < 2; pass++) {
        for (uint32_t i = 0; i < sim->queue->len;) {
            uint32_t index = g_array_index(sim->queue, uint32_t, i);
            task_t *task = task_at(sim, index);
            /* If one task of a class does not fit, no other does. */
            if ((task->job >= 0) != (pass == 0) ||
                does_not_fit[task->class_index]) {
                i++;
                continue;
            }
            nm_place_task_spec_t spec = task_spec(sim, task);
            nm_reason_t reason;
            int32_t worker = nm_place_choose(&sim->place, &spec,
                                             sim->now_s * 1000, &reason);
            if (worker < 0) {
                does_not_fit[task->class_index] = true;
                i++;
                continue;
            }
            nm_place_allocate(&sim->place, worker, index + 1, &spec,
                              sim->now_s * 1000);
            task->worker = worker;
            task->overhead_s = RESTART_OVERHEAD_S / 2;
            g_array_append_val(sim->on_worker[worker], index);
            g_array_remove_index(sim->queue, i);
        }
    }
}

static void
apply_place_actions(simulation_t *sim)
{
    nm_place_action_t action;
    while (nm_place_next_action(&sim->place, &action)) {
        uint32_t index = (uint32_t)action.task - 1;
        task_t *task = task_at(sim, index);
        if (task->worker < 0) {
            continue;
        }
        if (action.type != NM_PLACE_ACTION_EVICT) {
            task->percent = action.throttle_pct;
            continue;
        }
        remove_from_worker(sim, index);
        task->remaining_core_s +=
            RESTART_OVERHEAD_S *
            sim->classes[task->class_index].actual.cpu_milli / 1000.0;
        g_array_append_val(sim->queue, index);
        sim->result.evictions++;
    }
}

/*
 * Returns the slowdown of a worker's service; task_speed becomes the speed of
 * its tasks as a share of full speed.
 */
static double
service_slowdown(const simulation_t *sim, uint32_t worker, double *task_speed)
{
    double cpu_milli = sim->desc->executor.cpu_milli * sim->load[worker];
    double slowdown = 1;
    GArray *list = sim->on_worker[worker];
    for (uint32_t i = 0; i < list->len; i++) {
        const task_t *task = task_at(sim, g_array_index(list, uint32_t, i));
        const task_class_t *class_ = &sim->classes[task->class_index];
        double used_milli = class_->actual.cpu_milli * task->percent / 100.0;
        cpu_milli += used_milli;
        slowdown += class_->interference * used_milli / sim->desc->cpu_milli *
                    load_factor(sim->load[worker]);
    }
    double cpu_demand = cpu_milli / sim->desc->cpu_milli;
    *task_speed = cpu_demand > 1 ? 1 / cpu_demand : 1;
    return cpu_demand > 1 ? slowdown * cpu_demand * cpu_demand : slowdown;
}

static void
finish_task(simulation_t *sim, uint32_t index)
{
    task_t *task = task_at(sim, index);
    remove_from_worker(sim, index);
    task->done = true;
    if (task->job >= 0 && --sim->job_tasks_remaining[task->job] == 0 &&
        sim->now_s <= task->deadline_s)
    {
        sim->result.missed[task->job] = 0;
    }
}

static void
step_worker(simulation_t *sim, uint32_t worker)
{
    double task_speed;
    double slowdown = service_slowdown(sim, worker, &task_speed);
    uint32_t samples =
        (uint32_t)(SAMPLES_PER_S * sim->load[worker] + nm_rng_unit(&sim->rng));
    for (uint32_t i = 0; i < samples; i++) {
        float latency =
            (float)(slowdown * (0.6 - 0.4 * log(1 - nm_rng_unit(&sim->rng))));
        g_array_append_val(sim->latencies, latency);
    }
    int64_t memory_mb = sim->desc->executor.memory_mb;
    double cpu_milli = (double)sim->desc->executor.cpu_milli;
    GArray *list = sim->on_worker[worker];
    bool report_due = (sim->now_s + worker) % REPORT_INTERVAL_S == 0;
    int64_t report_arrival_s = sim->now_s + REPORT_LAG_MIN_S +
                               nm_rng_below(&sim->rng, REPORT_LAG_RANGE_S);
    for (uint32_t i = list->len; i-- > 0;) {
        uint32_t index = g_array_index(list, uint32_t, i);
        task_t *task = task_at(sim, index);
        const task_class_t *class_ = &sim->classes[task->class_index];
        memory_mb += class_->actual.memory_mb;
        cpu_milli += class_->actual.cpu_milli * task->percent / 100.0;
        if (report_due) {
            report_t report = {
                .arrival_s = report_arrival_s,
                .is_usage = true,
                .class_index = task->class_index,
                .usage = class_->actual,
            };
            double noise = random_uniform(&sim->rng, 0.95, 1.05);
            report.usage.cpu_milli = (int64_t)(report.usage.cpu_milli * noise);
            g_array_append_val(sim->reports, report);
        }
        if (task->overhead_s > 0) {
            task->overhead_s--;
            continue;
        }
        double core_s = class_->actual.cpu_milli / 1000.0 * task_speed *
                        task->percent / 100;
        task->remaining_core_s -= core_s;
        sim->result.batch_core_s += core_s;
        if (task->remaining_core_s <= 0) {
            finish_task(sim, index);
        }
    }
    if (report_due) {
        report_t report = {
            .arrival_s = report_arrival_s,
            .worker = (int32_t)worker,
            .sample =
                {
                    .measured_ms = sim->now_s * 1000,
                    .load = (float)sim->load[worker],
                    .slowdown = (float)(slowdown *
                                        random_uniform(&sim->rng, 0.97, 1.03)),
                },
        };
        g_array_append_val(sim->reports, report);
    }
    sim->result.over_cpu += cpu_milli > sim->desc->cpu_milli;
    sim->result.over_memory += memory_mb > sim->desc->memory_mb;
    nm_place_info_t info = nm_place_query_worker(&sim->place, (int32_t)worker);
    sim->result.over_reserved += info.used.cpu_milli > sim->desc->cpu_milli ||
                                 info.used.memory_mb > sim->desc->memory_mb;
}

static void
deliver_reports(simulation_t *sim)
{
    for (uint32_t i = 0; i < sim->reports->len;) {
        report_t report = g_array_index(sim->reports, report_t, i);
        if (report.arrival_s > sim->now_s) {
            i++;
            continue;
        }
        g_array_remove_index_fast(sim->reports, i);
        if (report.is_usage) {
            nm_place_observe_usage(&sim->place, report.class_index + 1,
                                   &report.usage);
        }
        else {
            nm_place_observe_service(&sim->place, report.worker,
                                     &report.sample, sim->now_s * 1000);
        }
    }
}

static void
update_load(simulation_t *sim)
{
    for (uint32_t i = 0; i < sim->desc->workers; i++) {
        double shared_load =
            0.45 + 0.3 * sin((double)sim->now_s / 900 + i * 0.02);
        double own_load = 0.08 * sin((double)sim->now_s / 37 + i * 1.7);
        sim->load[i] = shared_load + own_load;
    }
}

static void
set_ground_truth(simulation_t *sim)
{
    static const float band_limits[NM_PLACE_LOAD_BANDS] =
        NM_PLACE_LOAD_BAND_LIMITS;
    for (uint32_t i = 0; i < CLASSES; i++) {
        float slowdowns[NM_PLACE_LOAD_BANDS];
        for (int b = 0; b < NM_PLACE_LOAD_BANDS; b++) {
            /* update_load() yields at most 0.83. */
            slowdowns[b] = (float)(sim->classes[i].interference *
                                   load_factor(MIN(band_limits[b], 0.83f)));
        }
        nm_place_set_ground_truth(&sim->place, i + 1, &sim->classes[i].actual,
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
simulation_init(simulation_t *sim, const colocation_desc_t *desc)
{
    sim->desc = desc;
    nm_rng_init(&sim->rng, desc->seed);
    nm_place_init(&sim->place,
                  &(nm_place_desc_t){
                      .seed = desc->seed,
                      .policy = desc->policy,
                      .weight_latency_pct = desc->weight_latency_pct,
                  });
    sim->tasks = g_array_new(FALSE, TRUE, sizeof(task_t));
    sim->queue = g_array_new(FALSE, TRUE, sizeof(uint32_t));
    sim->reports = g_array_new(FALSE, TRUE, sizeof(report_t));
    sim->latencies = g_array_new(FALSE, TRUE, sizeof(float));
    sim->on_worker = g_new0(GArray *, desc->workers);
    sim->load = g_new0(double, desc->workers);
    sim->result.deadlines = desc->duration_s / BURST_INTERVAL_S + 1;
    sim->job_tasks_remaining = g_new0(uint32_t, sim->result.deadlines);
    sim->result.missed = g_malloc(sim->result.deadlines);
    memset(sim->result.missed, 0, sim->result.deadlines);
    make_classes(sim);
    for (uint32_t i = 0; i < desc->workers; i++) {
        sim->on_worker[i] = g_array_new(FALSE, TRUE, sizeof(uint32_t));
        nm_place_set_worker(
            &sim->place, &(nm_place_worker_t){
                             .id = i + 1,
                             .rack = i / 8,
                             .capacity = {desc->cpu_milli, desc->memory_mb, 0},
                             .service = 0,
                             .executor = desc->executor,
                         });
    }
    if (desc->policy == NM_PLACE_POLICY_ORACLE) {
        set_ground_truth(sim);
    }
}

static void
simulation_finish(simulation_t *sim)
{
    g_array_sort(sim->latencies, compare_floats);
    uint32_t index = (uint32_t)(0.99 * (sim->latencies->len - 1));
    sim->result.p99_latency = g_array_index(sim->latencies, float, index);
    for (uint32_t i = 0; i < sim->job_count; i++) {
        sim->result.deadlines_missed += sim->result.missed[i];
    }
    for (uint32_t i = 0; i < sim->desc->workers; i++) {
        g_array_free(sim->on_worker[i], TRUE);
    }
    g_array_free(sim->tasks, TRUE);
    g_array_free(sim->queue, TRUE);
    g_array_free(sim->reports, TRUE);
    g_array_free(sim->latencies, TRUE);
    g_free(sim->on_worker);
    g_free(sim->load);
    g_free(sim->job_tasks_remaining);
    nm_place_finish(&sim->place);
}

colocation_result_t
colocation_run(const colocation_desc_t *desc)
{
    simulation_t sim = {0};
    simulation_init(&sim, desc);
    for (sim.now_s = 1; sim.now_s <= desc->duration_s; sim.now_s++) {
        update_load(&sim);
        add_waiting_tasks(&sim);
        deliver_reports(&sim);
        apply_place_actions(&sim);
        place_tasks(&sim);
        for (uint32_t i = 0; i < desc->workers; i++) {
            step_worker(&sim, i);
        }
    }
    simulation_finish(&sim);
    return sim.result;
}
