/*
 * Tails of serving tasks beside fillers: what reports show, and what is to be
 * expected.
 *
 * A log tail is the sum of what the serving image has without fillers, the
 * swing of its job's load (load_swing.h) and the effects of the fillers beside
 * it (interference.h).
 *
 * Load: fillers of many images that run for a second or two beside serving
 * tasks whose own load swings.  No worker's fillers stay unchanged for long,
 * so each metric is explained by the mean load of the fillers in its window.
 */
#include "sched_state.h"

#include <math.h>

/* Time that a metric covers (the platform's). */
#define METRIC_WINDOW_MS 500
/* Metrics of one worker that come closer repeat the same measurement. */
#define OBSERVE_INTERVAL_MS 450
/* The model ignores a serving task's tails for this long after its start. */
#define STARTUP_MS 2000
/* Greater log tails, from 4.5 times the target on, are cut to this. */
#define LOG_TAIL_MAX 1.5
/* Tails are predicted for this time ahead. */
#define FORECAST_MS 1000
/* Predictions are renewed after this time, as loads swing. */
#define PREDICTION_VALID_MS 200

/* Filler loads on one worker, by image. */
typedef struct {
    nm_filler_load_t items[NM_SCHED_FILLER_LOADS_MAX];
    uint32_t count;
} filler_loads_t;

static void
add_load(filler_loads_t *loads, uint32_t image, double share)
{
    for (uint32_t i = 0; i < loads->count; i++) {
        if (loads->items[i].image == image) {
            loads->items[i].share += share;
            return;
        }
    }
    if (loads->count < NM_SCHED_FILLER_LOADS_MAX) {
        loads->items[loads->count++] = (nm_filler_load_t){image, share};
    }
}

/* Part of the window of a metric that a span covers. */
static double
window_share(nm_ms_t begin_ms, nm_ms_t end_ms, nm_ms_t now_ms)
{
    nm_ms_t overlap_ms =
        MIN(end_ms, now_ms) - MAX(begin_ms, now_ms - METRIC_WINDOW_MS);
    return (double)MAX(overlap_ms, 0) / METRIC_WINDOW_MS;
}

/* Mean loads of the fillers on a worker in the window of its metrics. */
static void
measured_loads(const nm_sched_node_t *node, nm_ms_t now_ms,
               filler_loads_t *loads)
{
    loads->count = 0;
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_step(task)->is_filler) {
            add_load(loads, nm_task_image(task),
                     nm_task_filler_share(task) *
                         window_share(nm_task_filler_since_ms(task), now_ms,
                                      now_ms));
        }
    }
    uint32_t kept = MIN(node->ended_filler_count, NM_SCHED_ENDED_FILLERS_MAX);
    for (uint32_t i = 0; i < kept; i++) {
        const nm_filler_span_t *span = &node->ended_fillers[i];
        double share = window_share(span->begin_ms, span->end_ms, now_ms);
        if (share > 0) {
            add_load(loads, span->load.image, span->load.share * share);
        }
    }
}

static double
swing_level(const nm_sched_t *sched, const nm_task_t *task, nm_ms_t at_ms)
{
    const nm_swing_t *swing = task->occurrence->job->swings[task->step];
    return nm_swing_forecast(&sched->swing_model, swing, at_ms).mean;
}

void
nm_tails_predict(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    if (node->interference_valid &&
        now_ms - node->predicted_ms < PREDICTION_VALID_MS)
    {
        return;
    }
    filler_loads_t loads = {.count = 0};
    node->expected_misses = 0;
    g_array_set_size(node->tails, 0);
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_step(task)->is_filler) {
            add_load(&loads, nm_task_image(task), nm_task_filler_share(task));
        }
    }
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_step(task)->target_ms > 0) {
            nm_tail_t tail = {.image = nm_task_image(task)};
            tail.log_tail =
                swing_level(sched, task, now_ms + FORECAST_MS) +
                nm_interference_predict(&sched->interference, tail.image,
                                        loads.items, loads.count);
            node->expected_misses += nm_interference_risk(tail.log_tail);
            g_array_append_val(node->tails, tail);
        }
    }
    node->interference_valid = true;
    node->predicted_ms = now_ms;
    node->cost.at_ms = 0;
}

double
nm_tails_expected_misses(nm_sched_t *sched, const nm_sched_node_t *node,
                         const nm_filler_load_t *load)
{
    double misses = 0;
    for (guint i = 0; i < node->tails->len; i++) {
        const nm_tail_t *tail = &g_array_index(node->tails, nm_tail_t, i);
        double effect =
            nm_interference_effect(&sched->interference, tail->image, load);
        misses += nm_interference_risk(tail->log_tail + effect);
    }
    return misses;
}

/* Corrects the model and the job's swing by a task's metric. */
static void
learn_from_tail(nm_sched_t *sched, nm_task_t *task,
                const filler_loads_t *loads, nm_ms_t now_ms)
{
    uint32_t image = nm_task_image(task);
    nm_swing_t *swing = task->occurrence->job->swings[task->step];
    double tail =
        log((double)task->metric / (double)nm_task_step(task)->target_ms);
    /* Far over the target, a metric does not show by how much. */
    tail = MIN(tail, LOG_TAIL_MAX);
    nm_ms_t measured_ms = now_ms - METRIC_WINDOW_MS / 2;
    nm_estimate_t level =
        nm_swing_forecast(&sched->swing_model, swing, measured_ms);
    nm_estimate_t deviation = nm_interference_error(
        &sched->interference, image, loads->items, loads->count, tail);
    nm_estimate_t error = {deviation.mean - level.mean,
                           deviation.variance + level.variance};
    nm_interference_correct(&sched->interference, image, loads->items,
                            loads->count, error);
    nm_swing_observe(&sched->swing_model, swing, measured_ms, deviation);
}

void
nm_tails_learn(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    if (now_ms - node->observed_ms < OBSERVE_INTERVAL_MS) {
        return;
    }
    node->observed_ms = now_ms;
    filler_loads_t loads;
    measured_loads(node, now_ms, &loads);
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (step->target_ms > 0 && task->state == NM_RUN_RUNNING &&
            task->metric > 0 && now_ms - task->started_ms >= STARTUP_MS)
        {
            learn_from_tail(sched, task, &loads, now_ms);
        }
    }
    node->interference_valid = false;
}
