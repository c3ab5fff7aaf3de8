/*
 * Tasks that crash the workers that start them.
 *
 * A worker that crashes does not say which task did it.  A crash counts
 * against each task that has just started there; one that stays at work is
 * cleared.  From the second crash in a row on, a task starts apart from other
 * suspects, and nothing else starts beside it until it has survived its trial.
 * So its next crash tells it from the tasks that were there by chance: if it
 * was the only one known to be starting up, and crashed on several workers, it
 * is given up with its job.  Otherwise it is given up after as many crashes as
 * the users' rules allow; its start may never have arrived.  Tasks of one job
 * need not be told apart, as it fails with any of them.
 *
 * A crash is certain once the worker's lease has lapsed, seconds after it fell
 * silent.  In case the owner changes in between, the tasks that may have
 * caused it are stored at once; if none of the workers runs such a task, and
 * its worker is gone, the next owner counts the crash.
 *
 * sched_node.c calls nm_crashes_on_incarnation_end before it requeues the
 * tasks of a worker, sched_task.c calls nm_crashes_on_start, sched_response.c
 * calls nm_crashes_on_running and nm_crashes_on_silence, sched.c calls
 * nm_crashes_on_inherited, and sched_choice.c asks for conflicts and
 * penalties.
 *
 * Load: workers that crash with tens of tasks each, many at a time, also
 * without any task's fault.
 */
#include "sched_state.h"

/* A run at work for longer on a worker that responds survived its start. */
#define SURVIVAL_MS 1000
/*
 * A trial ends once the worker was heard of this long after the start.
 * Shorter, as many may wait for their turn on few workers.
 */
#define TRIAL_MS 500
/*
 * Two may still be chance: the task started beside one that crashes workers,
 * then on a worker that crashed by itself.
 */
#define ISOLATED_CRASHES_MIN 2
/* Crashes, the last one certain, after which a task is given up. */
#define CRASHES_MAX 3
/* The same if it is uncertain; the users' rules bound the starts. */
#define CRASHES_UNCERTAIN_MAX 5
/* A worker that crashed in this time may crash again. */
#define CRASHED_LATELY_MS 10000
/* Crashes, each soon after the one before, from which a worker is flapping. */
#define FLAPPING_CRASHES_MIN 2
/* Score penalty of such a worker: outweighs the rack of a task's data. */
#define CRASHED_PENALTY 50
/* Score penalty of a worker that may crash soon: outweighs free CPU. */
#define TRIAL_PENALTY 2

static bool
is_confirmed(const nm_task_t *task)
{
    return task->state != NM_RUN_STARTING && !task->withdrawn;
}

/*
 * True if the worker was not heard of SURVIVAL_MS after the task's start,
 * which may be carried out late until it is confirmed.
 */
static bool
is_starting_up(const nm_task_t *task)
{
    return task->begun_ms > 0 &&
           (!is_confirmed(task) ||
            task->node->alive_ms - task->started_ms < SURVIVAL_MS);
}

static void
count_crash(nm_sched_t *sched, nm_task_t *task, uint32_t worker_hash)
{
    if (task->crashes == 0) {
        task->crash_worker_hash = worker_hash;
    }
    else if (task->crash_worker_hash != worker_hash) {
        task->crash_worker_hash = 0;
    }
    task->crashes++;
    nm_sched_mark_changed(sched, task->occurrence->job, false);
}

/*
 * Gives up a task that has crashed too many workers; its job fails.  certain:
 * no other task can have caused the last crash.
 */
static void
check_given_up(nm_sched_t *sched, const nm_task_t *task, bool certain,
               nm_ms_t now_ms)
{
    nm_sched_job_t *job = task->occurrence->job;
    uint32_t crashes_max = certain && task->crash_worker_hash == 0
                               ? CRASHES_MAX
                               : CRASHES_UNCERTAIN_MAX;
    if (task->crashes >= crashes_max && job->state < NM_JOB_COMPLETED) {
        nm_sched_add_run_event(sched, NM_SCHED_EVENT_TASK_GIVEN_UP, task,
                               task->crashes);
        nm_job_fail(sched, job, now_ms);
    }
}

/*
 * Returns a task that is known to have just started on a worker; NULL if there
 * is none, or one of another job.
 */
static const nm_task_t *
find_culprit(const nm_sched_node_t *node)
{
    const nm_task_t *culprit = NULL;
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (!is_confirmed(task) || !is_starting_up(task)) {
            continue;
        }
        if (culprit && task->occurrence->job != culprit->occurrence->job) {
            return NULL;
        }
        culprit = task;
    }
    return culprit;
}

void
nm_crashes_on_silence(nm_sched_t *sched, nm_sched_node_t *node)
{
    bool leaves = node->desc.state == NM_WORKER_DRAINING;
    for (guint i = 0; i < node->tasks->len && !leaves; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (is_starting_up(task)) {
            task->silent_worker_hash = node->id_hash;
            task->silent_incarnation = node->desc.incarnation;
            nm_sched_mark_changed(sched, task->occurrence->job, false);
        }
    }
}

void
nm_crashes_clear_silence(nm_sched_t *sched, nm_task_t *task)
{
    if (task->silent_worker_hash != 0) {
        task->silent_worker_hash = 0;
        nm_sched_mark_changed(sched, task->occurrence->job, false);
    }
}

/* True if the worker that a task started on is still the same one. */
static bool
silent_worker_is_up(const nm_sched_t *sched, const nm_task_t *task)
{
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->id_hash == task->silent_worker_hash && node->announced &&
            node->desc.incarnation == task->silent_incarnation)
        {
            return true;
        }
    }
    return false;
}

void
nm_crashes_on_inherited(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    if (task->silent_worker_hash != 0 && !silent_worker_is_up(sched, task)) {
        count_crash(sched, task, task->silent_worker_hash);
        check_given_up(sched, task, true, now_ms);
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
    const nm_task_t *culprit = by_surprise ? find_culprit(node) : NULL;
    if (by_surprise && node->desc.incarnation != node->crashed_incarnation) {
        node->crashed_incarnation = node->desc.incarnation;
        node->crashes =
            has_crashed_lately(node, now_ms) ? node->crashes + 1 : 1;
        node->crashed_ms = now_ms;
    }
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (by_surprise && is_starting_up(task)) {
            nm_sched_add_run_event(sched, NM_SCHED_EVENT_RUN_LOST, task,
                                   MAX(node->alive_ms - task->begun_ms, 0));
            count_crash(sched, task, node->id_hash);
        }
        nm_crashes_clear_silence(sched, task);
        task->begun_ms = 0; /* each run is recorded once */
    }
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        bool certain = culprit && is_confirmed(task) &&
                       task->occurrence->job == culprit->occurrence->job;
        check_given_up(sched, task, certain, now_ms);
    }
}

void
nm_crashes_on_running(nm_sched_t *sched, nm_task_t *task)
{
    /* A late report may list a task that has crashed its worker since. */
    if (task->node->alive_ms - task->started_ms >= SURVIVAL_MS) {
        task->crashes = 0;
        nm_sched_mark_changed(sched, task->occurrence->job, false);
    }
}

void
nm_crashes_on_start(nm_sched_node_t *node, const nm_task_t *task)
{
    if (task->crashes > 0) {
        node->suspect_begun_ms = task->begun_ms;
    }
}

/* Returns the suspect with most crashes of those just started, or NULL. */
static const nm_task_t *
find_trial(const nm_sched_node_t *node)
{
    const nm_task_t *trial = NULL;
    uint32_t crashes_max = 0;
    /* Placement asks for every waiting task and worker. */
    if (node->suspect_begun_ms == 0 ||
        node->alive_ms - node->suspect_begun_ms >= TRIAL_MS)
    {
        return NULL;
    }
    for (guint i = 0; i < node->tasks->len; i++) {
        const nm_task_t *task = node->tasks->pdata[i];
        if (task->crashes > crashes_max && task->begun_ms > 0 &&
            node->alive_ms - task->begun_ms < TRIAL_MS)
        {
            trial = task;
            crashes_max = task->crashes;
        }
    }
    return trial;
}

nm_ms_t
nm_crashes_trial_end_ms(const nm_sched_node_t *node)
{
    const nm_task_t *trial = find_trial(node);
    return trial ? trial->begun_ms + TRIAL_MS : NM_MS_NEVER;
}

bool
nm_crashes_conflict(const nm_sched_node_t *node, const nm_task_t *task)
{
    const nm_task_t *trial = find_trial(node);
    return trial && trial->occurrence->job != task->occurrence->job &&
           MAX(task->crashes, trial->crashes) >= ISOLATED_CRASHES_MIN;
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
