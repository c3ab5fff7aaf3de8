#include "shard_state.h"

#include <assert.h>
#include <stdlib.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

/* Minimum time between two scheduling rounds. */
#define SCHEDULE_INTERVAL_MIN_MS 20
/* Time between rounds without a change, for retries and deadlines. */
#define SCHEDULE_INTERVAL_MAX_MS 500
#define STARTS_PER_ROUND 512
/*
 * A round ends after this many jobs that could not be placed, each of which
 * costs the examination of up to 160 workers.
 */
#define UNPLACED_JOBS_PER_ROUND 64
#define NO_DEADLINE_S INT64_MAX
/*
 * An attempt number is the epoch, followed by a count within the epoch of this
 * many bits.
 */
#define ATTEMPT_COUNT_BITS 24

typedef struct {
    uint32_t position;
    bool urgent;
    bool at_risk;
    uint8_t priority;
    int64_t slack_s;
} candidate_t;

static int
compare_candidates(const void *a, const void *b)
{
    const candidate_t *x = a;
    const candidate_t *y = b;
    if (x->urgent != y->urgent) {
        return x->urgent ? -1 : 1;
    }
    if (x->at_risk != y->at_risk) {
        return x->at_risk ? -1 : 1;
    }
    if (x->at_risk && x->slack_s != y->slack_s) {
        return x->slack_s < y->slack_s ? -1 : 1;
    }
    if (x->priority != y->priority) {
        return x->priority > y->priority ? -1 : 1;
    }
    if (x->slack_s != y->slack_s) {
        return x->slack_s < y->slack_s ? -1 : 1;
    }
    return x->position < y->position ? -1 : 1;
}

int64_t
nm_shard_slack_s(const nm_shard_state_t *state, const nm_job_t *job)
{
    if (job->desc.finish_within_s == 0) {
        return NO_DEADLINE_S;
    }
    int64_t remaining_s =
        job->accepted_unix_s + job->desc.finish_within_s - state->unix_s;
    return remaining_s - job->desc.duration_s;
}

static bool
may_start(const nm_job_t *job, nm_ms_t now_ms)
{
    if (job->removed || job->waiting.length == 0 ||
        now_ms < job->quarantined_until_ms)
    {
        return false;
    }
    /* After a quarantine one task at a time runs, until one succeeds. */
    return job->quarantines == 0 || job->counts[NM_TASK_RUNNING] == 0;
}

/*
 * Accepts a job.  Returns true once the acceptance is in the journal; only
 * then may its first task start.
 */
static bool
accept_job(nm_shard_state_t *state, nm_job_t *job)
{
    if (job->accepted_unix_s == 0) {
        job->accepted_unix_s = state->unix_s;
        job->dirty = true;
    }
    return job->accepted_recorded;
}

static GArray *
collect_candidates(nm_shard_state_t *state, nm_ms_t now_ms)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(candidate_t));
    for (uint32_t i = 0; i < state->jobs->len; i++) {
        nm_job_t *job = state->jobs->pdata[i];
        if (job->waiting.length == 0 || !accept_job(state, job) ||
            !may_start(job, now_ms))
        {
            continue;
        }
        candidate_t candidate = {
            .position = i,
            .urgent = job->desc.priority >= NM_URGENT_PRIORITY_MIN,
            .priority = job->desc.priority,
            .slack_s = nm_shard_slack_s(state, job),
        };
        candidate.at_risk = candidate.slack_s != NO_DEADLINE_S &&
                            candidate.slack_s < job->desc.duration_s;
        g_array_append_val(candidates, candidate);
    }
    g_array_sort(candidates, compare_candidates);
    return candidates;
}

static bool
within_quota(int64_t used, int64_t added, int64_t quota)
{
    return quota == 0 || used + added <= quota;
}

static bool
quota_allows(const nm_shard_state_t *state, const nm_job_t *job,
             uint32_t tasks)
{
    const nm_team_t *team =
        g_hash_table_lookup(state->teams, (void *)(uintptr_t)job->desc.team);
    if (!team) {
        return true;
    }
    const nm_resources_t *quota = &team->desc.quota;
    const nm_resources_t *declared = &job->desc.declared;
    return within_quota(team->used.cpu_milli, declared->cpu_milli * tasks,
                        quota->cpu_milli) &&
           within_quota(team->used.memory_mb, declared->memory_mb * tasks,
                        quota->memory_mb) &&
           within_quota(team->used.accelerators,
                        (int64_t)declared->accelerators * tasks,
                        quota->accelerators);
}

static void
queue_start(nm_shard_state_t *state, const nm_job_t *job, uint32_t index)
{
    const nm_task_t *task = &job->tasks[index];
    nm_shard_worker_state_t *worker = state->workers->pdata[task->worker];
    nm_start_t start = {
        .id = {job->desc.id, index, task->attempt},
        .checkpoint = task->checkpoint,
        .resources = job->desc.declared,
        .duration_s = job->desc.duration_s,
    };
    nm_strcopy(start.path, sizeof(start.path), job->desc.path);
    g_array_append_val(worker->starts, start);
    worker->commands_pending = true;
    if (worker->quarantines > 0) {
        /* One task at a time runs there, until one succeeds. */
        nm_place_close_worker(&state->place, worker->place_index, true);
    }
    nm_count(NM_COUNTER_STARTS, 1);
}

/* Starts the next gang of a job: all of its tasks, or none. */
static bool
start_gang(nm_shard_state_t *state, uint32_t position, nm_ms_t now_ms)
{
    nm_job_t *job = state->jobs->pdata[position];
    uint32_t gang = job->desc.gang > 0 ? job->desc.gang : 1;
    if (gang > job->waiting.length) {
        gang = job->waiting.length;
    }
    if (!quota_allows(state, job, gang)) {
        job->reason = NM_REASON_WAIT_QUOTA;
        return false;
    }
    nm_place_task_spec_t spec = nm_shard_task_spec(job);
    spec.at_risk = nm_shard_slack_s(state, job) < job->desc.duration_s;
    uint32_t placed = 0;
    for (; placed < gang; placed++) {
        nm_reason_t reason;
        int32_t worker =
            nm_place_choose(&state->place, &spec, now_ms, &reason);
        if (worker < 0) {
            job->reason = reason;
            break;
        }
        uint32_t index = GPOINTER_TO_UINT(g_queue_pop_head(&job->waiting));
        job->tasks[index].queued = false;
        int64_t attempt =
            (state->epoch << ATTEMPT_COUNT_BITS) | ++state->attempt_count;
        /* A worker has the same index here and in the place module. */
        assert((uint32_t)worker < state->workers->len);
        nm_shard_assign(state, position, index, worker, attempt, now_ms);
        /* Placed tasks are kept at the tail until the whole gang has room. */
        g_queue_push_tail(&job->waiting, GUINT_TO_POINTER(index));
    }
    bool complete = placed == gang;
    for (uint32_t i = 0; i < placed; i++) {
        uint32_t index = GPOINTER_TO_UINT(g_queue_pop_tail(&job->waiting));
        if (complete) {
            queue_start(state, job, index);
            continue;
        }
        nm_shard_unassign(state, position, index, now_ms);
        nm_shard_set_task_state(job, index, NM_TASK_WAITING);
        job->tasks[index].queued = true;
        g_queue_push_head(&job->waiting, GUINT_TO_POINTER(index));
    }
    if (complete) {
        job->reason = NM_REASON_NONE;
    }
    return complete;
}

static void
handle_unplaced_job(nm_shard_state_t *state, nm_job_t *job, nm_ms_t now_ms)
{
    nm_count_reason(job->reason);
    if (job->reason == NM_REASON_NEVER_FITS) {
        /* Retried later: a larger worker may have joined. */
        job->quarantined_until_ms = now_ms + NM_SHARD_LEASE_MS;
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_JOB_REFUSED, "{s:s,s:s}", "job",
               job->desc.path, "reason", nm_reason_name(job->reason));
    }
    if (job->desc.priority >= NM_URGENT_PRIORITY_MIN &&
        job->reason == NM_REASON_WAIT_NO_FIT &&
        job->counts[NM_TASK_ENDING] == 0)
    {
        nm_place_task_spec_t spec = nm_shard_task_spec(job);
        nm_place_preempt(&state->place, &spec, now_ms);
    }
}

void
nm_shard_schedule(nm_shard_state_t *state, nm_ms_t now_ms)
{
    nm_ms_t interval_ms = state->needs_scheduling ? SCHEDULE_INTERVAL_MIN_MS
                                                  : SCHEDULE_INTERVAL_MAX_MS;
    if (now_ms - state->scheduled_ms < interval_ms) {
        return;
    }
    state->scheduled_ms = now_ms;
    state->needs_scheduling = false;
    GArray *candidates = collect_candidates(state, now_ms);
    uint32_t starts = 0;
    uint32_t unplaced = 0;
    for (uint32_t i = 0; i < candidates->len && starts < STARTS_PER_ROUND &&
                         unplaced < UNPLACED_JOBS_PER_ROUND;
         i++)
    {
        const candidate_t *candidate =
            &g_array_index(candidates, candidate_t, i);
        nm_job_t *job = state->jobs->pdata[candidate->position];
        while (may_start(job, now_ms) && starts < STARTS_PER_ROUND) {
            if (!start_gang(state, candidate->position, now_ms)) {
                handle_unplaced_job(state, job, now_ms);
                unplaced++;
                break;
            }
            starts += job->desc.gang > 0 ? job->desc.gang : 1;
        }
    }
    if (starts >= STARTS_PER_ROUND) {
        state->needs_scheduling = true;
    }
    g_array_free(candidates, TRUE);
}
