/*
 * Fillers beside serving tasks (long-running tasks with a latency target):
 * where they start, and when they are paused or evicted.
 *
 * Placement queries this module for the cost of a filler on a worker, which
 * sched_tails.c predicts.  Reports of workers update the times over target,
 * and nm_sched_check_fillers pauses, evicts and resumes fillers accordingly.
 *
 * A job that no worker takes a filler of at full speed gets one that is
 * slowed: it holds memory, but uses and disturbs little, until its worker can
 * take it whole.  So each job goes on, however many there are.
 *
 * Load: more fillers than fit beside the serving tasks, with an effect on tail
 * latencies that differs by image and is measured late.  A filler goes where
 * it adds the least risk of missed targets, and nowhere if that costs more
 * than it earns, but for trials.  Running fillers are paused or evicted only
 * once a tail was measured over its target for some time, as a stop loses work
 * for certain; paused ones resume when the risk is small.
 */
#include "sched_state.h"

/*
 * A serving task over its target costs as much as this many fillers earn: four
 * times its part of a job's credit (rules and users' sheets).  All costs below
 * are in earnings of one filler.
 */
#define TARGET_MISS_COST 2.6
/* A filler starts only if the target misses that it would add cost less. */
#define START_COST_MAX 0.5
/* A paused filler resumes if the target misses that it would add cost less. */
#define RESUME_COST_MAX 0.35
/*
 * Limit of canaries (starts of an image of unknown effect) until its first
 * metrics: this share of the workers, but not less than the minimum.  A burst
 * of the image would otherwise disturb all workers at once.
 */
#define CANARY_SHARE 0.02
#define CANARY_COUNT_MIN 8
/* Time from a start until a metric shows its effect. */
#define CANARY_RESULT_MS 1150
/*
 * A filler whose cost is acceptable on no worker is tried beside tails with
 * headroom once its job has been idle for this long, as the rules allow 3 s;
 * so often at most.  It is paused or evicted like any other, before the
 * serving tasks are over their target for too long.
 */
#define TRIAL_WAIT_MS 2000
#define TRIAL_INTERVAL_MS 500
/* Limit of the CPU that slowed fillers use, as a share of their worker's. */
#define SLOWED_CPU_SHARE_MAX 0.2
/* A filler stays paused or resumed for at least this long. */
#define THROTTLE_HOLD_MIN_MS 800
/* A filler that is paused for longer is evicted, to run on another worker. */
#define PAUSED_MAX_MS 1500
/* Share of its CPU request that a serving task uses at its usual peak. */
#define SERVING_LOAD_SHARE 0.5
/* Metrics are noisy: above this share of its target a tail may be over it. */
#define OVER_TARGET_SHARE 0.88
/*
 * A metric at or below this share of the target ends the time over target; a
 * single noisy metric between the two shares does not.
 */
#define UNDER_TARGET_SHARE 0.7
/*
 * Once a tail is over its target for this long, the most costly filler on the
 * worker is paused or evicted.
 */
#define MITIGATE_AFTER_MS 900
/*
 * Time until the next filler is paused or evicted: a stop takes up to 400 ms,
 * and only then does a metric show whether it was enough.
 */
#define MITIGATION_INTERVAL_MS 700
/*
 * After this time over the target the fillers are paused or evicted without
 * waiting in between: the rules allow 4 s, of which a stop takes 0.9 s.
 */
#define MITIGATE_ALL_AFTER_MS 1800
/* A worker has headroom if its tails are below this share of the target. */
#define HEADROOM_SHARE 0.8

double
nm_sched_filler_cost(nm_sched_t *sched, nm_sched_node_t *node,
                     int64_t cpu_milli, uint32_t image, nm_ms_t now_ms)
{
    if (node->serving_count == 0) {
        return 0;
    }
    nm_tails_predict(sched, node, now_ms);
    nm_filler_cost_t *known = &node->cost;
    if (known->at_ms != now_ms || known->image != image ||
        known->cpu_milli != cpu_milli)
    {
        nm_filler_load_t load = {
            image, (double)cpu_milli / (double)MAX(node->desc.cpu_milli, 1)};
        double misses = nm_tails_expected_misses(sched, node, &load);
        double cost = TARGET_MISS_COST * (misses - node->expected_misses);
        *known = (nm_filler_cost_t){now_ms, image, cpu_milli, cost};
    }
    return known->cost;
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
nm_sched_filler_canary_limit_reached(const nm_sched_t *sched,
                                     const nm_sched_node_t *node,
                                     uint32_t image, nm_ms_t now_ms)
{
    if (image >= sched->canaries->len) {
        return false;
    }
    const nm_canary_t *canary =
        &g_array_index(sched->canaries, nm_canary_t, image);
    double count_max =
        MAX(CANARY_COUNT_MIN, CANARY_SHARE * sched->node_list->len);
    return canary->count >= count_max &&
           now_ms - canary->since_ms < CANARY_RESULT_MS &&
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
    nm_canary_t *canary = &g_array_index(sched->canaries, nm_canary_t, image);
    if (now_ms - canary->since_ms >= CANARY_RESULT_MS) {
        *canary = (nm_canary_t){.since_ms = now_ms};
    }
    canary->count++;
}

bool
nm_sched_filler_cost_is_acceptable(double cost)
{
    return cost < START_COST_MAX;
}

bool
nm_sched_filler_may_be_tried(const nm_sched_t *sched, nm_ms_t idle_ms,
                             nm_ms_t now_ms)
{
    return idle_ms >= TRIAL_WAIT_MS &&
           now_ms - sched->filler_tried_ms >= TRIAL_INTERVAL_MS;
}

void
nm_sched_filler_count_trial(nm_sched_t *sched, nm_sched_node_t *node,
                            const nm_step_t *step, uint32_t image,
                            nm_ms_t now_ms)
{
    double cost =
        nm_sched_filler_cost(sched, node, step->cpu_milli, image, now_ms);
    if (!nm_sched_filler_cost_is_acceptable(cost)) {
        sched->filler_tried_ms = now_ms;
    }
}

double
nm_sched_filler_unused_cpu_milli(const nm_sched_node_t *node)
{
    return (double)node->desc.cpu_milli -
           (double)(node->cpu_used_milli - node->serving_cpu_milli) -
           SERVING_LOAD_SHARE * (double)node->serving_cpu_milli -
           (double)(node->filler_cpu_milli - node->slowed_cpu_milli);
}

double
nm_sched_filler_cpu_milli(const nm_sched_node_t *node)
{
    return nm_sched_filler_unused_cpu_milli(node) +
           (double)(node->filler_cpu_milli - node->slowed_cpu_milli);
}

bool
nm_sched_filler_may_be_slowed(const nm_sched_node_t *node,
                              const nm_step_t *step)
{
    double slowed_cpu_milli =
        (double)(node->slowed_cpu_milli + step->cpu_milli);
    return slowed_cpu_milli * NM_SCHED_SLOWED_PERCENT / 100 <=
           SLOWED_CPU_SHARE_MAX * (double)node->desc.cpu_milli;
}

bool
nm_sched_filler_has_capacity(const nm_sched_node_t *node,
                             const nm_step_t *step)
{
    return nm_sched_filler_unused_cpu_milli(node) >= (double)step->cpu_milli;
}

/*
 * Earliest time at which a tail that is over its target now may have exceeded
 * it, at most MITIGATE_AFTER_MS ago.  The tail may have been over it while the
 * report was overdue, and, if the metric is above the target itself, before
 * this owner took over.
 */
static nm_ms_t
earliest_over_target_ms(const nm_sched_node_t *node, const nm_task_t *task,
                        nm_ms_t now_ms)
{
    if (!task->observed) {
        bool is_certain = task->metric > nm_task_step(task)->target_ms;
        return is_certain ? now_ms - MITIGATE_AFTER_MS : now_ms;
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
        double target_share = (double)task->metric / (double)target;
        if (target_share <= UNDER_TARGET_SHARE) {
            task->over_since_ms = 0;
        }
        else if (target_share > OVER_TARGET_SHARE && task->over_since_ms == 0)
        {
            task->over_since_ms = earliest_over_target_ms(node, task, now_ms);
        }
        task->observed = true;
        node->has_headroom =
            node->has_headroom &&
            (double)task->metric < HEADROOM_SHARE * (double)target;
    }
}

void
nm_sched_record_tails(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    update_over_target(node, now_ms);
    if (node->serving_count > 0) {
        nm_tails_learn(sched, node, now_ms);
    }
}

/* Longest time that a serving task of a worker has been over its target. */
static nm_ms_t
longest_over_target_ms(const nm_sched_node_t *node, nm_ms_t now_ms)
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

/* The next filler of its job would go on to disturb another worker. */
static void
end_turns(const nm_task_t *task)
{
    task->occurrence->job->has_waited = false;
    task->occurrence->job->waits = 0;
}

/* Stops a filler; one that saves its progress resumes on another worker. */
static void
evict(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
      nm_ms_t now_ms)
{
    task->avoided_node = node;
    end_turns(task);
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
    nm_task_record_filler_span(task, now_ms);
    nm_task_set_speed(task, percent);
    task->progress_ms = now_ms;
    send_throttle(sched, node, task, now_ms);
    task->throttled_ms = now_ms;
    node->interference_valid = false;
    nm_count(NM_COUNTER_THROTTLES, 1);
}

/* Repeats an unconfirmed throttle order that is due; true if it was sent. */
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
 * Pauses or evicts one filler at a time, the most costly one first, and waits
 * for the effect on the tails while their time over the target allows it.
 */
static void
check_node_fillers(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    nm_ms_t over_ms = longest_over_target_ms(node, now_ms);
    bool over_target = over_ms >= MITIGATE_AFTER_MS;
    bool mitigate =
        over_ms >= MITIGATE_ALL_AFTER_MS ||
        (over_target && now_ms - node->mitigated_ms >= MITIGATION_INTERVAL_MS);
    if (mitigate) {
        nm_tails_predict(sched, node, now_ms);
    }
    nm_task_t *worst = NULL;
    nm_task_t *paused = NULL;
    double worst_cost = 0;
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (!step->is_filler || task->state != NM_RUN_RUNNING ||
            task->order_pending || retry_throttle(sched, node, task, now_ms))
        {
            continue;
        }
        if (task->starts_slowed) {
            nm_sched_slow_started(sched, task, now_ms);
            continue;
        }
        if (now_ms - task->throttled_ms < THROTTLE_HOLD_MIN_MS) {
            continue;
        }
        if (task->wanted_percent == 0) {
            paused = task;
            continue;
        }
        if (!mitigate) {
            continue;
        }
        nm_filler_load_t removed = {nm_task_image(task),
                                    -nm_task_filler_share(task)};
        double cost = TARGET_MISS_COST *
                      (node->expected_misses -
                       nm_tails_expected_misses(sched, node, &removed));
        if (!worst || cost > worst_cost) {
            worst = task;
            worst_cost = cost;
        }
    }
    if (worst) {
        node->mitigated_ms = now_ms;
        if (nm_task_step(worst)->saves_progress) {
            evict(sched, node, worst, now_ms);
        }
        else {
            end_turns(worst);
            throttle(sched, node, worst, 0, now_ms);
        }
    }
    else if (paused && !over_target && node->has_headroom &&
             nm_sched_filler_cost(sched, node, nm_task_step(paused)->cpu_milli,
                                  nm_task_image(paused),
                                  now_ms) < RESUME_COST_MAX)
    {
        bool has_capacity = nm_sched_filler_unused_cpu_milli(node) >= 0;
        throttle(sched, node, paused,
                 has_capacity ? 100 : NM_SCHED_SLOWED_PERCENT, now_ms);
    }
    else if (paused && now_ms - paused->throttled_ms > PAUSED_MAX_MS) {
        evict(sched, node, paused, now_ms);
    }
}

void
nm_sched_slow_started(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    if (task->starts_slowed && !task->order_pending) {
        throttle(sched, task->node, task, NM_SCHED_SLOWED_PERCENT, now_ms);
    }
}

/* Returns the slowed filler of a worker that began first, or NULL. */
static nm_task_t *
find_oldest_slowed(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    nm_task_t *oldest = NULL;
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_is_slowed(task) && !task->starts_slowed &&
            task->state == NM_RUN_RUNNING && !task->order_pending &&
            task->percent == task->wanted_percent &&
            now_ms - task->throttled_ms >= THROTTLE_HOLD_MIN_MS &&
            (!oldest || task->started_ms < oldest->started_ms))
        {
            oldest = task;
        }
    }
    return oldest;
}

void
nm_sched_resume_slowed(nm_sched_t *sched, nm_ms_t now_ms)
{
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->slowed_cpu_milli == 0 || !node->reachable ||
            now_ms < node->hold.until_ms ||
            (node->serving_count > 0 && !node->has_headroom))
        {
            continue;
        }
        nm_task_t *task = find_oldest_slowed(node, now_ms);
        if (!task) {
            continue;
        }
        const nm_step_t *step = nm_task_step(task);
        int64_t added_milli =
            step->cpu_milli * (100 - task->wanted_percent) / 100;
        if (nm_sched_filler_has_capacity(node, step) &&
            nm_sched_filler_cost(sched, node, added_milli, nm_task_image(task),
                                 now_ms) < RESUME_COST_MAX)
        {
            throttle(sched, node, task, 100, now_ms);
        }
    }
}

void
nm_sched_check_fillers(nm_sched_t *sched, nm_ms_t now_ms)
{
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        /* Paused fillers resume where no serving tasks are left. */
        if (node->filler_count > 0 && node->reachable) {
            check_node_fillers(sched, node, now_ms);
        }
    }
}
