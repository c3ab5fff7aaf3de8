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
#define HARM_COST 2.6
/* A filler starts if the harm it adds costs less than this share of it. */
#define START_COST_MAX 0.5
/* A running filler is paused above this share... */
#define PAUSE_COST 0.9
/* ...and goes on below this one. */
#define RESUME_COST 0.35
/* Figures tell of the last half second; fillers must not have changed. */
#define SETTLE_MS 700
/* Figures of one worker that come closer say the same. */
#define OBSERVE_MS 450
/*
 * Starts of an image of unknown effect until its first figures, as a share
 * of the workers, and at least: a burst of it would otherwise disturb all
 * workers at once.
 */
#define TRIALS_SHARE 0.02
#define TRIALS_MIN 8
/* Part of the newest error that a task's own offset takes over. */
#define OFFSET_GAIN 0.5
#define OFFSET_MAX 1.0
#define LOG_TAIL_MAX 1.5
/* A paused or resumed filler stays so for this long at least. */
#define THROTTLE_KEEP_MS 800
/* A filler that stands still for so long starts anew on another worker. */
#define PAUSED_MAX_MS 1500
/* Part of its processor that a serving task uses at its usual peak. */
#define SERVING_LOAD 0.5
/* Figures are rough: from this share of the target on a tail may be over. */
#define OVER_SHARE 0.88
/* One rough figure below that proves nothing; one below this does. */
#define UNDER_SHARE 0.7
/* A tail over its target for this long pauses the worst filler beside it... */
#define OVER_MS 900
/*
 * ...and the next one after this: a stop takes up to 400 ms, and only then
 * does a figure tell whether that was enough.
 */
#define RELIEF_MS 700
/* From here on all go: the rule allows 4 s, of which a stop takes 0.9. */
#define OVER_ALL_MS 1800
/* Share of the target below which a worker's tails are calm. */
#define CALM_SHARE 0.8
/* Tail of a serving task from which on it counts as started up. */
#define STARTUP_MS 2000

static void
add_load(nm_sched_node_t *node, uint32_t image, double share)
{
    for (uint32_t i = 0; i < node->load_count; i++) {
        if (node->loads[i].image == image) {
            node->loads[i].share += share;
            return;
        }
    }
    if (node->load_count < NM_SCHED_LOADS_MAX) {
        node->loads[node->load_count++] = (nm_filler_load_t){image, share};
    }
}

static double
filler_share(const nm_sched_node_t *node, const nm_step_t *step)
{
    return (double)step->cpu_milli / (double)MAX(node->desc.cpu_milli, 1);
}

/* Works out what a worker's fillers do to its serving tasks. */
static void
update_loads(nm_sched_t *sched, nm_sched_node_t *node)
{
    if (node->loads_known) {
        return;
    }
    node->load_count = 0;
    node->harm = 0;
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (step->is_filler) {
            add_load(node, nm_task_image(task),
                     filler_share(node, step) * task->wanted_percent / 100.0);
        }
    }
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (nm_task_step(task)->target_ms > 0) {
            task->log_tail = task->tail_offset +
                             nm_interference_predict(
                                 &sched->interference, nm_task_image(task),
                                 node->loads, node->load_count);
            node->harm += nm_interference_risk(task->log_tail);
        }
    }
    node->loads_known = true;
}

/* Expected number over target if a load were added (or, below 0, gone). */
static double
harm_with(nm_sched_t *sched, const nm_sched_node_t *node,
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
    if (node->targets == 0) {
        return 0;
    }
    update_loads(sched, node);
    nm_filler_load_t load = {image, filler_share(node, step)};
    return HARM_COST * (harm_with(sched, node, &load) - node->harm);
}

static bool
is_trial(const nm_sched_t *sched, const nm_sched_node_t *node, uint32_t image)
{
    for (guint i = 0; node->targets > 0 && i < node->tasks->len; i++) {
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
nm_sched_filler_is_tried(const nm_sched_t *sched, const nm_sched_node_t *node,
                         uint32_t image, nm_ms_t now_ms)
{
    if (image >= sched->trials->len) {
        return false;
    }
    const nm_trial_t *trial = &g_array_index(sched->trials, nm_trial_t, image);
    double most = MAX(TRIALS_MIN, TRIALS_SHARE * sched->node_list->len);
    return trial->count >= most &&
           now_ms - trial->since_ms < SETTLE_MS + OBSERVE_MS &&
           is_trial(sched, node, image);
}

void
nm_sched_filler_note_start(nm_sched_t *sched, const nm_sched_node_t *node,
                           uint32_t image, nm_ms_t now_ms)
{
    if (!is_trial(sched, node, image)) {
        return;
    }
    if (image >= sched->trials->len) {
        g_array_set_size(sched->trials, image + 1);
    }
    nm_trial_t *trial = &g_array_index(sched->trials, nm_trial_t, image);
    if (now_ms - trial->since_ms >= SETTLE_MS + OBSERVE_MS) {
        *trial = (nm_trial_t){.since_ms = now_ms};
    }
    trial->count++;
}

bool
nm_sched_filler_is_worth(double cost)
{
    return cost < START_COST_MAX;
}

bool
nm_sched_filler_has_room(const nm_sched_node_t *node, const nm_step_t *step)
{
    double unused = (double)node->desc.cpu_milli -
                    (double)(node->cpu_used - node->serving_cpu) -
                    SERVING_LOAD * (double)node->serving_cpu -
                    (double)node->filler_cpu;
    return (node->targets == 0 || node->calm) &&
           unused >= (double)step->cpu_milli;
}

/*
 * When a tail that is over its target now may have become so: the time for
 * which figures were overdue counts in full, as does that before a takeover
 * if the figure leaves no doubt.
 */
static nm_ms_t
earliest_over(const nm_sched_node_t *node, const nm_task_t *task,
              nm_ms_t now_ms)
{
    if (!task->watched) {
        bool certain = task->figure > nm_task_step(task)->target_ms;
        return certain ? now_ms - OVER_MS : now_ms;
    }
    return CLAMP(node->report_due_ms, now_ms - OVER_MS, now_ms);
}

static void
note_over(nm_sched_node_t *node, nm_ms_t now_ms)
{
    node->calm = true;
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        nm_ms_t target = nm_task_step(task)->target_ms;
        if (target <= 0) {
            continue;
        }
        double share = (double)task->figure / (double)target;
        if (share <= UNDER_SHARE) {
            task->over_since_ms = 0;
        }
        else if (share > OVER_SHARE && task->over_since_ms == 0) {
            task->over_since_ms = earliest_over(node, task, now_ms);
        }
        task->watched = true;
        node->calm =
            node->calm && (double)task->figure < CALM_SHARE * (double)target;
    }
}

/* How long a serving task has been over its target. */
static nm_ms_t
over_ms(const nm_sched_node_t *node, nm_ms_t now_ms)
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
    note_over(node, now_ms);
    if (node->targets == 0 || now_ms - node->fillers_changed_ms < SETTLE_MS ||
        now_ms - node->observed_ms < OBSERVE_MS)
    {
        return;
    }
    node->observed_ms = now_ms;
    update_loads(sched, node);
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (step->target_ms <= 0 || task->state != NM_RUN_RUNNING ||
            task->figure <= 0 || now_ms - task->started_ms < STARTUP_MS)
        {
            continue;
        }
        double tail = log((double)task->figure / (double)step->target_ms);
        /* Far over its target, the figure says little about how far. */
        tail = MIN(tail, LOG_TAIL_MAX);
        double error =
            nm_interference_observe(&sched->interference, nm_task_image(task),
                                    node->loads, node->load_count, tail);
        task->tail_offset += OFFSET_GAIN * (error - task->tail_offset);
        task->tail_offset = CLAMP(task->tail_offset, -OFFSET_MAX, OFFSET_MAX);
    }
    node->loads_known = false;
}

/* Ends a filler's run here; one that saves its progress resumes elsewhere. */
static void
evict(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
      nm_ms_t now_ms)
{
    task->avoid = node;
    node->fillers_changed_ms = now_ms;
    nm_count_reason(NM_REASON_EVICT_LATENCY);
    nm_sched_stop_task(sched, task, now_ms);
}

static void
send_throttle(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
              nm_ms_t now_ms)
{
    nm_sched_action_t *action = nm_sched_act(sched, node, NM_ACTION_THROTTLE);
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
    node->loads_known = false;
    node->fillers_changed_ms = now_ms;
    nm_count(NM_COUNTER_THROTTLES, 1);
}

/* An order that got no answer is sent until it does. */
static bool
repeat_throttle(nm_sched_t *sched, nm_sched_node_t *node, nm_task_t *task,
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
check_node(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    update_loads(sched, node);
    nm_task_t *worst = NULL;
    nm_task_t *paused = NULL;
    double worst_cost = 0;
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        const nm_step_t *step = nm_task_step(task);
        if (!step->is_filler || task->state != NM_RUN_RUNNING ||
            task->order_pending ||
            repeat_throttle(sched, node, task, now_ms) ||
            now_ms - task->throttled_ms < THROTTLE_KEEP_MS)
        {
            continue;
        }
        if (task->wanted_percent == 0) {
            paused = task;
            continue;
        }
        nm_filler_load_t gone = {nm_task_image(task),
                                 -filler_share(node, step)};
        double cost = HARM_COST * (node->harm - harm_with(sched, node, &gone));
        if (!worst || cost > worst_cost) {
            worst = task;
            worst_cost = cost;
        }
    }
    nm_ms_t lasted_ms = over_ms(node, now_ms);
    bool over = lasted_ms >= OVER_MS;
    bool relieve = lasted_ms >= OVER_ALL_MS ||
                   (over && now_ms - node->relieved_ms >= RELIEF_MS);
    if (worst && (relieve || worst_cost > PAUSE_COST)) {
        node->relieved_ms = now_ms;
        if (nm_task_step(worst)->saves_progress) {
            evict(sched, node, worst, now_ms);
        }
        else {
            throttle(sched, node, worst, 0, now_ms);
        }
    }
    else if (paused && !over && node->calm &&
             nm_sched_filler_cost(sched, node, nm_task_step(paused),
                                  nm_task_image(paused)) < RESUME_COST)
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
        if (node->fillers > 0 && node->reachable) {
            check_node(sched, node, now_ms);
        }
    }
}
