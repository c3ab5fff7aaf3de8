/*
 * Fillers beside long-running tasks that have a latency target.
 *
 * Answers this load: workers on which every place beside a serving task is
 * wanted by fillers, whose effect on its tail differs by image and is seen
 * late.  A filler goes where it adds the least risk of missed targets, and
 * nowhere if that costs more than it earns.  Running fillers are paused
 * when their part in the risk grows too large, and go on when it is small.
 */
#include "sched_state.h"

#include <math.h>
#include <string.h>

/*
 * A serving task over its target costs as much as this many fillers earn:
 * four times its part of a job's credit, from the users' sheets (2.7 for
 * Kreidefeld, 2.6 for Hagg).
 */
#define TARGET_MISS_COST 2.6
/* A filler starts if the harm it adds costs less than this share of it. */
#define START_COST_MAX 0.5
/* A running filler is paused above this share... */
#define PAUSE_COST_MIN 0.9
/* ...and goes on below this one. */
#define RESUME_COST_MAX 0.35
/* Figures tell of the last half second; fillers must not have changed. */
#define SETTLE_MS 700
/* Figures of one worker that come closer say the same. */
#define OBSERVE_INTERVAL_MS 450
/*
 * Starts of an image of unknown effect until its first figures, as a share
 * of the workers, and at least: a burst of it would otherwise disturb all
 * workers at once.
 */
#define CANARY_SHARE 0.02
#define CANARY_COUNT_MIN 8
/* Part of the newest error that a task's own offset takes over. */
#define OFFSET_GAIN 0.5
#define OFFSET_MAX 1.0
#define LOG_TAIL_MAX 1.5
/* A paused or resumed filler stays so for this long at least. */
#define THROTTLE_HOLD_MIN_MS 800
/* A filler that stands still for so long starts anew on another worker. */
#define PAUSED_MAX_MS 1500
/* Part of its processor that a serving task uses at its usual peak. */
#define SERVING_LOAD_SHARE 0.5
/* Figures are rough: from this share of the target on a tail may be over. */
#define OVER_TARGET_SHARE 0.88
/* One rough figure below that proves nothing; one below this does. */
#define UNDER_TARGET_SHARE 0.7
/* A tail over its target for this long pauses the worst filler beside it... */
#define MITIGATE_AFTER_MS 900
/*
 * ...and the next one after this: a stop takes up to 400 ms, and only then
 * does a figure tell whether that was enough.
 */
#define MITIGATION_INTERVAL_MS 700
/* From here on all go: the rule allows 4 s, of which a stop takes 0.9. */
#define MITIGATE_ALL_AFTER_MS 1800
/* Share of the target below which a worker's tails are calm. */
#define HEADROOM_SHARE 0.8
/* Tail of a serving task from which on it counts as started up. */
#define STARTUP_MS 2000

static void
add_load(nm_sched_node_t *node, uint32_t image, double share)
{
    for (uint32_t i = 0; i < node->filler_load_count; i++) {
        if (node->filler_loads[i].image == image) {
            node->filler_loads[i].share += share;
            return;
        }
    }
    if (node->filler_load_count < NM_SCHED_FILLER_LOADS_MAX) {
        node->filler_loads[node->filler_load_count++] =
            (nm_filler_load_t){image, share};
    }
}

static double
filler_cpu_share(const nm_sched_node_t *node, const nm_step_t *step)
{
    return (double)step->cpu_milli / (double)MAX(node->desc.cpu_milli, 1);
}

/* Works out what a worker's fillers do to its serving tasks. */
static void
update_interference(nm_sched_t *sched, nm_sched_node_t *node)
{
    if (node->interference_valid) {
        return;
    }
    node->filler_load_count = 0;
    node->expected_misses = 0;
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (step->is_filler) {
            add_load(node, nm_task_image(task),
                     filler_cpu_share(node, step) * task->wanted_percent /
                         100.0);
        }
    }
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_step(task)->target_ms > 0) {
            task->log_tail = task->tail_offset +
                             nm_interference_predict(
                                 &sched->interference, nm_task_image(task),
                                 node->filler_loads, node->filler_load_count);
            node->expected_misses += nm_interference_risk(task->log_tail);
        }
    }
    node->interference_valid = true;
}

/* Expected number over target if a load were added (or, below 0, gone). */
static double
expected_misses_with(nm_sched_t *sched, const nm_sched_node_t *node,
                     const nm_filler_load_t *load)
{
    double harm = 0;
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_step(task)->target_ms > 0) {
            double effect = nm_interference_effect(&sched->interference,
                                                   nm_task_image(task), load);
            harm += nm_interference_risk(task->log_tail + effect);
        }
    }
    return harm;
}

double
nm_sched_filler_cost(nm_sched_t *sched, nm_sched_node_t *node,
                     const nm_step_t *step, uint32_t image)
{
    if (node->serving_count == 0) {
        return 0;
    }
    update_interference(sched, node);
    nm_filler_load_t load = {image, filler_cpu_share(node, step)};
    return TARGET_MISS_COST *
           (expected_misses_with(sched, node, &load) - node->expected_misses);
}

static bool
is_canary(const nm_sched_t *sched, const nm_sched_node_t *node, uint32_t image)
{
    for (guint i = 0; node->serving_count > 0 && i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_step(task)->target_ms > 0 &&
            nm_interference_is_unknown(&sched->interference,
                                       nm_task_image(task), image))
        {
            return true;
        }
    }
    return false;
}

bool
nm_sched_filler_canaries_are_full(const nm_sched_t *sched,
                                  const nm_sched_node_t *node, uint32_t image,
                                  nm_ms_t now_ms)
{
    if (image >= sched->canaries->len) {
        return false;
    }
    const nm_canary_t *trial =
        &g_array_index(sched->canaries, nm_canary_t, image);
    double most = MAX(CANARY_COUNT_MIN, CANARY_SHARE * sched->node_list->len);
    return trial->count >= most &&
           now_ms - trial->since_ms < SETTLE_MS + OBSERVE_INTERVAL_MS &&
           is_canary(sched, node, image);
}

void
nm_sched_filler_count_canary(nm_sched_t *sched, const nm_sched_node_t *node,
                             uint32_t image, nm_ms_t now_ms)
{
    if (!is_canary(sched, node, image)) {
        return;
    }
    if (image >= sched->canaries->len) {
        g_array_set_size(sched->canaries, image + 1);
    }
    nm_canary_t *trial = &g_array_index(sched->canaries, nm_canary_t, image);
    if (now_ms - trial->since_ms >= SETTLE_MS + OBSERVE_INTERVAL_MS) {
        *trial = (nm_canary_t){.since_ms = now_ms};
    }
    trial->count++;
}

bool
nm_sched_filler_cost_is_acceptable(double cost)
{
    return cost < START_COST_MAX;
}

bool
nm_sched_filler_has_capacity(const nm_sched_node_t *node,
                             const nm_step_t *step)
{
    double unused = (double)node->desc.cpu_milli -
                    (double)(node->cpu_used_milli - node->serving_cpu_milli) -
                    SERVING_LOAD_SHARE * (double)node->serving_cpu_milli -
                    (double)node->filler_cpu_milli;
    return (node->serving_count == 0 || node->has_headroom) &&
           unused >= (double)step->cpu_milli;
}

/*
 * When a tail that is over its target now may have become so: the time for
 * which figures were overdue counts in full, as does that before a takeover
 * if the figure leaves no doubt.
 */
static nm_ms_t
earliest_over_target_ms(const nm_sched_node_t *node, const nm_task_t *task,
                        nm_ms_t now_ms)
{
    if (!task->observed) {
        bool certain = task->metric > nm_task_step(task)->target_ms;
        return certain ? now_ms - MITIGATE_AFTER_MS : now_ms;
    }
    return CLAMP(node->report_expected_ms, now_ms - MITIGATE_AFTER_MS, now_ms);
}

static void
update_over_target(nm_sched_node_t *node, nm_ms_t now_ms)
{
    node->has_headroom = true;
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        nm_ms_t target = nm_task_step(task)->target_ms;
        if (target <= 0) {
            continue;
        }
        double share = (double)task->metric / (double)target;
        if (share <= UNDER_TARGET_SHARE) {
            task->over_since_ms = 0;
        }
        else if (share > OVER_TARGET_SHARE && task->over_since_ms == 0) {
            task->over_since_ms = earliest_over_target_ms(node, task, now_ms);
        }
        task->observed = true;
        node->has_headroom =
            node->has_headroom &&
            (double)task->metric < HEADROOM_SHARE * (double)target;
    }
}

/* How long a serving task has been over its target. */
static nm_ms_t
over_target_ms(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    nm_ms_t longest = 0;
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (task->over_since_ms > 0) {
            longest = MAX(longest, now_ms - task->over_since_ms);
        }
    }
    return longest;
}

void
nm_sched_observe_tails(nm_sched_t *sched, nm_sched_node_t *node,
                       nm_ms_t now_ms)
{
    update_over_target(node, now_ms);
    if (node->serving_count == 0 ||
        now_ms - node->fillers_changed_ms < SETTLE_MS ||
        now_ms - node->observed_ms < OBSERVE_INTERVAL_MS)
    {
        return;
    }
    node->observed_ms = now_ms;
    update_interference(sched, node);
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (step->target_ms <= 0 || task->state != NM_RUN_RUNNING ||
            task->metric <= 0 || now_ms - task->started_ms < STARTUP_MS)
        {
            continue;
        }
        double tail = log((double)task->metric / (double)step->target_ms);
        /* Far over its target, the figure says little about how far. */
        tail = MIN(tail, LOG_TAIL_MAX);
        double error = nm_interference_observe(
            &sched->interference, nm_task_image(task), node->filler_loads,
            node->filler_load_count, tail);
        task->tail_offset += OFFSET_GAIN * (error - task->tail_offset);
        task->tail_offset = CLAMP(task->tail_offset, -OFFSET_MAX, OFFSET_MAX);
    }
    node->interference_valid = false;
}

/* Ends a filler's run here; one that saves its progress resumes elsewhere. */
static void
evict(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
      nm_ms_t now_ms)
{
    task->avoided_node = node;
    node->fillers_changed_ms = now_ms;
    nm_count_reason(NM_REASON_EVICT_LATENCY);
    nm_sched_stop_task(sched, task, now_ms);
}

static void
send_throttle(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
              nm_ms_t now_ms)
{
    nm_sched_action_t *action =
        nm_sched_add_action(sched, node, NM_ACTION_THROTTLE);
    nm_sched_task_name(task, action->task, sizeof(action->task));
    action->run = task->run;
    action->percent = task->wanted_percent;
    task->order_pending = true;
    task->order_due_ms = now_ms + NM_SCHED_RETRY_MS;
}

static void
throttle(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
         uint32_t percent, nm_ms_t now_ms)
{
    task->wanted_percent = percent;
    send_throttle(sched, node, task, now_ms);
    task->throttled_ms = now_ms;
    node->interference_valid = false;
    node->fillers_changed_ms = now_ms;
    nm_count(NM_COUNTER_THROTTLES, 1);
}

/* An order that got no answer is sent until it does. */
static bool
retry_throttle(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
               nm_ms_t now_ms)
{
    if (task->percent == task->wanted_percent || now_ms < task->order_due_ms) {
        return false;
    }
    nm_count_reason(NM_REASON_RETRY_TIMEOUT);
    send_throttle(sched, node, task, now_ms);
    return true;
}

/*
 * Relieves one filler at a time, the most costly one first, and waits for what
 * that does to the tails, as long as their time over the target allows.
 */
static void
check_node_fillers(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    update_interference(sched, node);
    nm_task_t *worst = NULL;
    nm_task_t *paused = NULL;
    double worst_cost = 0;
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (!step->is_filler || task->state != NM_RUN_RUNNING ||
            task->order_pending || retry_throttle(sched, node, task, now_ms) ||
            now_ms - task->throttled_ms < THROTTLE_HOLD_MIN_MS)
        {
            continue;
        }
        if (task->wanted_percent == 0) {
            paused = task;
            continue;
        }
        nm_filler_load_t gone = {nm_task_image(task),
                                 -filler_cpu_share(node, step)};
        double cost =
            TARGET_MISS_COST *
            (node->expected_misses - expected_misses_with(sched, node, &gone));
        if (!worst || cost > worst_cost) {
            worst = task;
            worst_cost = cost;
        }
    }
    nm_ms_t lasted_ms = over_target_ms(node, now_ms);
    bool over = lasted_ms >= MITIGATE_AFTER_MS;
    bool relieve =
        lasted_ms >= MITIGATE_ALL_AFTER_MS ||
        (over && now_ms - node->mitigated_ms >= MITIGATION_INTERVAL_MS);
    if (worst && (relieve || worst_cost > PAUSE_COST_MIN)) {
        node->mitigated_ms = now_ms;
        if (nm_task_step(worst)->saves_progress) {
            evict(sched, node, worst, now_ms);
        }
        else {
            throttle(sched, node, worst, 0, now_ms);
        }
    }
    else if (paused && !over && node->has_headroom &&
             nm_sched_filler_cost(sched, node, nm_task_step(paused),
                                  nm_task_image(paused)) < RESUME_COST_MAX)
    {
        throttle(sched, node, paused, 100, now_ms);
    }
    else if (paused && now_ms - paused->throttled_ms > PAUSED_MAX_MS) {
        evict(sched, node, paused, now_ms);
    }
}

void
nm_sched_check_fillers(nm_sched_t *sched, nm_ms_t now_ms)
{
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        /* Without serving tasks what was paused goes on. */
        if (node->filler_count > 0 && node->reachable) {
            check_node_fillers(sched, node, now_ms);
        }
    }
}
