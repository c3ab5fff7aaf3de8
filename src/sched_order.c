/*
 * Order of placement: decides which waiting step is considered next.
 *
 * Load: bursts of jobs with many tasks, beyond the capacity of the workers,
 * beside long-running tasks that take all capacity they get.  Jobs are ordered
 * by credit per unit of remaining work, so that started jobs finish and many
 * large jobs do not delay the small ones.  A job that can no longer meet its
 * objective comes after those that can.
 */
#include "sched_round.h"

/* Credit of a late job relative to one in time (the users' sheets). */
#define LATE_CREDIT_FACTOR 0.15
/*
 * Share of the credit that every job of a queue gets alike; the rest is in
 * proportion to the work of the job (rules).
 */
#define FIXED_CREDIT_SHARE 0.3
/*
 * Long-running tasks earn a quarter of what short ones earn per core-second
 * and hold their capacity for long.  With this rank they start after short
 * jobs that are in time and before those that are late.
 */
#define LONG_RUNNING_RANK 0.5
/*
 * A long-running task that has run before and found no worker for this long
 * is overdue: it starts before all others, and a worker is reserved for it,
 * as short tasks would refill each gap that is too small for it.  The rules
 * allow 9 s after its last run, however full the service is; the short tasks
 * of a worker take up to 3 s to end.
 */
#define LONG_RUNNING_WAIT_MS 3000
/*
 * No task is overdue while long-running tasks hold this share of the CPU of
 * all workers: the remainder is for short tasks, which earn most.
 */
#define LONG_RUNNING_SHARE_MAX 0.95
/* The credit is divided by 1 plus the priority times this. */
#define PRIORITY_DISCOUNT 0.25

static double
job_rank(const nm_sched_job_t *job, nm_ms_t now_ms)
{
    if (job->long_running) {
        return LONG_RUNNING_RANK;
    }
    double core_ms = (double)MAX(job->core_ms_total, 1);
    double left_core_ms = (double)MAX(job->core_ms_left, 1);
    double credit = core_ms;
    if (job->queue) {
        credit = FIXED_CREDIT_SHARE * job->queue->mean_core_ms +
                 (1 - FIXED_CREDIT_SHARE) * core_ms;
        credit /= 1 + PRIORITY_DISCOUNT * job->queue->desc.priority;
    }
    nm_ms_t age_ms = now_ms - job->arrived_ms;
    double left_share = left_core_ms / core_ms;
    double finish_ms =
        (double)age_ms + (double)job->critical_path_ms * left_share;
    double objective_ms = (double)MAX(job->objective_ms, 1);
    if (finish_ms > objective_ms) {
        credit *= LATE_CREDIT_FACTOR;
    }
    return credit / left_core_ms;
}

static int
compare_candidates(gconstpointer a, gconstpointer b)
{
    double left = ((const nm_candidate_t *)a)->rank;
    double right = ((const nm_candidate_t *)b)->rank;
    return left < right ? 1 : left > right ? -1 : 0;
}

/* Returns the CPU that long-running tasks may take beyond what they hold. */
static double
overdue_cpu_left_milli(const nm_sched_t *sched, nm_ms_t now_ms)
{
    int64_t capacity = 0;
    int64_t held = 0;
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (nm_node_is_usable(node, now_ms)) {
            capacity += node->desc.cpu_milli;
            held += node->long_running_cpu_milli;
        }
    }
    return LONG_RUNNING_SHARE_MAX * (double)capacity - (double)held;
}

bool
nm_order_is_overdue(const nm_sched_t *sched, nm_round_t *round,
                    const nm_occurrence_t *occurrence, uint32_t step,
                    nm_ms_t now_ms)
{
    if (!occurrence->job->spec.steps[step].long_running ||
        occurrence->unplaced_since_ms[step] == 0 ||
        now_ms - occurrence->unplaced_since_ms[step] < LONG_RUNNING_WAIT_MS)
    {
        return false;
    }
    if (!round->overdue_known) {
        round->overdue_known = true;
        round->overdue_cpu_left_milli = overdue_cpu_left_milli(sched, now_ms);
    }
    return round->overdue_cpu_left_milli > 0;
}

/* Records since when a job has work in turn, but no task on a worker. */
static void
update_idle(nm_round_t *round, nm_sched_job_t *job, bool has_candidate,
            nm_ms_t now_ms)
{
    if (!has_candidate || job->attached_count > 0) {
        job->idle_since_ms = 0;
        return;
    }
    if (job->idle_since_ms == 0) {
        job->idle_since_ms = now_ms;
    }
    round->idle_jobs++;
    if (!round->longest_idle ||
        job->idle_since_ms < round->longest_idle->idle_since_ms)
    {
        round->longest_idle = job;
    }
}

static void
collect_candidates(nm_sched_t *sched, nm_round_t *round, nm_sched_job_t *job,
                   GArray *candidates, nm_ms_t now_ms)
{
    double rank = -1;
    for (uint32_t i = 0; i < job->occurrence_count; i++) {
        nm_occurrence_t *occurrence = &job->occurrences[i];
        if (job->state >= NM_JOB_COMPLETED || occurrence->finished ||
            occurrence->due_unix_ms > sched->unix_ms)
        {
            continue;
        }
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            if (occurrence->waiting[s] == 0 ||
                !nm_occurrence_step_is_ready(occurrence, s)) {
                continue;
            }
            if (rank < 0) {
                rank = job_rank(job, now_ms);
            }
            bool overdue =
                nm_order_is_overdue(sched, round, occurrence, s, now_ms);
            nm_candidate_t candidate = {
                occurrence, s, overdue ? NM_ORDER_OVERDUE_RANK : rank};
            g_array_append_val(candidates, candidate);
        }
    }
    update_idle(round, job, rank >= 0, now_ms);
}

GArray *
nm_order_candidates(nm_sched_t *sched, nm_round_t *round, nm_ms_t now_ms)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(nm_candidate_t));
    for (guint i = 0; i < sched->active->len; i++) {
        collect_candidates(sched, round, sched->active->pdata[i], candidates,
                           now_ms);
    }
    g_array_sort(candidates, compare_candidates);
    return candidates;
}
