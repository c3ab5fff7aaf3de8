/*
 * Tasks that crash the workers that start them.
 *
 * A worker that crashes does not say which task did it.  Each task that has
 * just started there is suspected; the suspects then start on different
 * workers, if possible on those that have not crashed lately.  A suspect that
 * stays at work is cleared; one of which CRASHES_MAX runs in a row were lost
 * soon after their start is given up, with its job, or after more if all of
 * them were on one worker, which may crash by itself.  If a suspect was among
 * the tasks lost, the others are not suspected for that.  Tasks of one job
 * need not be told apart, as it fails with any of them.
 *
 * sched_node.c calls nm_crashes_on_incarnation_end before it requeues the
 * tasks of a worker, sched_response.c calls nm_crashes_on_running, and
 * sched_choice.c asks for conflicts and penalties.
 *
 * Load: workers that crash with tens of tasks each, many at a time, also
 * without any task's fault.
 */
#include "sched_state.h"

/* A run at work for longer on a worker that responds survived its start. */
#define SURVIVAL_MS 1000
/*
 * A task is given up after this many.  Two may still be chance: it started
 * beside a task that crashes workers, then on a worker that crashed by itself.
 */
#define CRASHES_MAX 3
/* The same if all were on one worker; the users' rules bound the starts. */
#define CRASHES_ON_ONE_WORKER_MAX 5
/* A worker that crashed in this time may crash again. */
#define CRASHED_LATELY_MS 10000
/* Crashes, each soon after the one before, from which a worker is flapping. */
#define FLAPPING_CRASHES_MIN 2
/* Score penalty of such a worker: outweighs the rack of a task's data. */
#define CRASHED_PENALTY 50
/* Score penalty of a worker that may crash soon: outweighs free CPU. */
#define TRIAL_PENALTY 2

/* True if the worker was not heard of SURVIVAL_MS after the task's start. */
static bool
is_starting_up(const nm_task_t *task)
{
    return task->begun_ms > 0 &&
           task->node->alive_ms - task->begun_ms < SURVIVAL_MS;
}

static void
record_lost_run(nm_sched_t *sched, nm_task_t *task, uint32_t crashes_min)
{
    nm_sched_add_run_event(sched, NM_SCHED_EVENT_RUN_LOST, task,
                           MAX(task->node->alive_ms - task->begun_ms, 0));
    if (task->crashes < crashes_min) {
        return; /* another task is more likely to be the cause */
    }
    if (task->crashes == 0) {
        task->crash_worker_hash = task->node->id_hash;
    }
    else if (task->crash_worker_hash != task->node->id_hash) {
        task->crash_worker_hash = 0;
    }
    task->crashes++;
    nm_sched_mark_changed(sched, task->occurrence->job, false);
}

static uint32_t
crashes_max(const nm_task_t *task)
{
    return task->crash_worker_hash == 0 ? CRASHES_MAX
                                        : CRASHES_ON_ONE_WORKER_MAX;
}

/* Gives up tasks that have crashed too many workers; their jobs fail. */
static void
give_up_tasks(nm_sched_t *sched, const nm_sched_node_t *node, nm_ms_t now_ms)
{
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        nm_sched_job_t *job = task->occurrence->job;
        if (task->crashes >= crashes_max(task) &&
            job->state < NM_JOB_COMPLETED) {
            nm_sched_add_run_event(sched, NM_SCHED_EVENT_TASK_GIVEN_UP, task,
                                   task->crashes);
            nm_job_fail(sched, job, now_ms);
        }
    }
}

static bool
has_crashed_lately(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    return node->crashed_ms > 0 &&
           now_ms - node->crashed_ms < CRASHED_LATELY_MS;
}

void
nm_crashes_on_incarnation_end(nm_sched_t *sched, nm_sched_node_t *node,
                              nm_ms_t now_ms)
{
    bool by_surprise = node->desc.state != NM_WORKER_DRAINING;
    uint32_t crashes_min = 0;
    if (by_surprise && node->desc.incarnation != node->crashed_incarnation) {
        node->crashed_incarnation = node->desc.incarnation;
        node->crashes =
            has_crashed_lately(node, now_ms) ? node->crashes + 1 : 1;
        node->crashed_ms = now_ms;
    }
    for (guint i = 0; i < node->tasks->len && by_surprise; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (is_starting_up(task)) {
            crashes_min = MAX(crashes_min, task->crashes);
        }
    }
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (by_surprise && is_starting_up(task)) {
            record_lost_run(sched, task, crashes_min);
        }
        task->begun_ms = 0; /* each run is recorded once */
    }
    give_up_tasks(sched, node, now_ms);
}

void
nm_crashes_on_running(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    if (now_ms - task->started_ms >= SURVIVAL_MS) {
        task->crashes = 0;
        nm_sched_mark_changed(sched, task->occurrence->job, false);
    }
}

/* Returns a suspect that has just started on a worker, or NULL. */
static const nm_task_t *
find_trial(const nm_sched_node_t *node)
{
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (task->crashes > 0 && is_starting_up(task)) {
            return task;
        }
    }
    return NULL;
}

bool
nm_crashes_conflict(const nm_sched_node_t *node, const nm_task_t *task)
{
    if (task->crashes == 0) {
        return false;
    }
    const nm_task_t *trial = find_trial(node);
    return trial && trial->occurrence->job != task->occurrence->job;
}

bool
nm_crashes_is_flapping(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    return node->crashes >= FLAPPING_CRASHES_MIN &&
           has_crashed_lately(node, now_ms);
}

double
nm_crashes_penalty(const nm_sched_node_t *node, const nm_task_t *task,
                   nm_ms_t now_ms)
{
    if (task->crashes == 0) {
        return find_trial(node) ? TRIAL_PENALTY : 0;
    }
    double used_share =
        (double)node->cpu_used_milli / (double)MAX(node->desc.cpu_milli, 1);
    double penalty = TRIAL_PENALTY * MIN(used_share, 1.0);
    if (has_crashed_lately(node, now_ms) ||
        task->crash_worker_hash == node->id_hash)
    {
        penalty += CRASHED_PENALTY;
    }
    return penalty;
}
