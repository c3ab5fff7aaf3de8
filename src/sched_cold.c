/*
 * Cold workers: those that are slow for a time after their start, as a whole
 * zone may be when it is taken back.
 *
 * Load: a sixth of the fleet comes back cold while tasks wait.  Warm workers
 * go first; a cold one gets tasks as fast as it bears, so that it is warm
 * when it is full.
 */
#include <nutmegdeck/limits.h>

#include "sched_round.h"

/*
 * Score of a worker that is cold for longer than its task takes; more than the
 * scores for free CPU and image, less than that of a data rack.
 */
#define COLD_PENALTY 3
/*
 * Members of a gang that may start at once on a cold worker.  They are counted
 * before the next start there, so that a worker never gets more than this
 * beyond its rate; the platform allows 5 (coldSlack).
 */
#define GANG_MEMBERS_MAX 4

/* Time between two starts of a job's tasks on a cold worker; 0: no limit. */
static nm_ms_t
start_interval_ms(const nm_sched_job_t *job)
{
    if (!job->queue || job->queue->desc.cold_starts_per_s <= 0) {
        return 0;
    }
    double interval_ms = 1000 / job->queue->desc.cold_starts_per_s;
    return (nm_ms_t)MIN(interval_ms, (double)NM_DURATION_MAX_MS) + 1;
}

void
nm_cold_on_announcement(nm_sched_t *sched, nm_sched_node_t *node,
                        nm_ms_t now_ms)
{
    node->evacuated =
        g_hash_table_contains(sched->evacuated_zones, node->desc.zone);
    node->cold_until_ms =
        node->desc.cold_ms > 0 ? now_ms + node->desc.cold_ms : 0;
}

bool
nm_cold_may_start(nm_sched_t *sched, const nm_sched_node_t *node,
                  const nm_candidate_t *candidate, nm_ms_t now_ms)
{
    if (now_ms >= node->cold_until_ms) {
        return true;
    }
    const nm_sched_job_t *job = candidate->occurrence->job;
    nm_ms_t due_ms = node->cold_start_due_ms;
    if (job->spec.steps[candidate->step].is_gang) {
        due_ms -= (GANG_MEMBERS_MAX - 1) * start_interval_ms(job);
    }
    if (now_ms >= due_ms) {
        return true;
    }
    if (sched->cold_start_due_ms == 0 || due_ms < sched->cold_start_due_ms) {
        sched->cold_start_due_ms = due_ms;
    }
    return false;
}

double
nm_cold_penalty(const nm_sched_node_t *node, const nm_step_t *step,
                nm_ms_t now_ms)
{
    nm_ms_t cold_ms = node->cold_until_ms - now_ms;
    if (cold_ms <= 0) {
        return 0;
    }
    nm_ms_t run_ms = MAX(step->estimate_ms, 1);
    return COLD_PENALTY * MIN((double)cold_ms / (double)run_ms, 1);
}

void
nm_cold_on_start(nm_sched_node_t *node, const nm_sched_job_t *job,
                 nm_ms_t now_ms)
{
    nm_ms_t interval_ms = start_interval_ms(job);
    if (now_ms < node->cold_until_ms && interval_ms > 0) {
        node->cold_start_due_ms =
            MAX(node->cold_start_due_ms, now_ms) + interval_ms;
    }
}

void
nm_cold_undo_start(nm_sched_node_t *node, const nm_sched_job_t *job,
                   nm_ms_t now_ms)
{
    if (now_ms < node->cold_until_ms) {
        node->cold_start_due_ms -= start_interval_ms(job);
    }
}
