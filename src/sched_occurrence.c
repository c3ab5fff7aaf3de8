/*
 * Occurrences of jobs: which of them are in memory.
 *
 * Load: jobs that repeat for weeks or many times a second, owners that take
 * all of them over, and backlogs while workers are away.
 *
 * An occurrence has tasks in memory from when it is due until some time after
 * its end; before and after that only a count of the job tells of it.
 * Occurrences begin in their order.  Each job may have one that is not
 * finished, and further ones as long as memory_max_bytes allows; the others
 * wait, and are due as before.
 */
#include "sched_state.h"

#include <assert.h>
#include <string.h>

/*
 * How long finished occurrences, and those of ended jobs, are kept: late
 * orders, and the leases that they give, are over by then.
 */
#define KEEP_FINISHED_MS                                                      \
    (NM_SCHED_LATE_ORDER_MAX_MS + NM_SCHED_LEASE_LIMIT_MS + 1000)
/*
 * A former owner may have started an occurrence that is not due yet by this
 * owner's wall clock; either may be set by seconds.
 */
#define EARLY_MAX_MS 60000
/* Memory for occurrences in addition to one of each job, in percent. */
#define FURTHER_PERCENT 50
/* Rounded up, for the blocks of the allocator. */
#define ALLOCATION_BYTES 16

static int64_t
due_unix_ms(const nm_sched_job_t *job, uint32_t number)
{
    return job->spec.first_unix_ms + number * job->spec.interval_ms;
}

static bool
has_unfinished(const nm_sched_job_t *job)
{
    for (guint i = 0; i < job->occurrences->len; i++) {
        const nm_occurrence_t *occurrence = job->occurrences->pdata[i];
        if (!occurrence->finished) {
            return true;
        }
    }
    return false;
}

/*
 * Updates what a job has in memory, and what it needs at least: the tasks of
 * an ended job are freed once the memory is wanted.
 */
static void
update_bytes(nm_sched_t *sched, nm_sched_job_t *job)
{
    uint64_t count = job->occurrences->len;
    uint64_t live = job->base_bytes + count * job->occurrence_bytes;
    uint64_t needed = job->state < NM_JOB_COMPLETED ? MAX(count, 1) : 0;
    uint64_t reserved = job->base_bytes + needed * job->occurrence_bytes;
    sched->live_bytes += live - job->live_bytes;
    sched->job_bytes += reserved - job->reserved_bytes;
    job->live_bytes = live;
    job->reserved_bytes = reserved;
}

uint64_t
nm_sched_job_bytes(const nm_job_spec_t *spec, uint64_t *occurrence_bytes)
{
    assert(spec && occurrence_bytes);
    uint64_t steps = spec->step_count;
    uint64_t tasks = 0;
    uint64_t base = sizeof(nm_sched_job_t) + strlen(spec->payload) +
                    steps * (sizeof(nm_step_t) + sizeof(nm_step_duration_t) +
                             sizeof(nm_swing_t *) + sizeof(uint32_t));
    for (uint32_t s = 0; s < spec->step_count; s++) {
        const nm_step_t *step = &spec->steps[s];
        tasks += step->task_count;
        base += step->after_count * sizeof(uint32_t) +
                (step->target_ms > 0 ? sizeof(nm_swing_t) : 0);
    }
    *occurrence_bytes =
        sizeof(nm_occurrence_t) + tasks * sizeof(nm_task_t) +
        steps * (sizeof(nm_task_t *) + 2 * sizeof(uint32_t) + sizeof(nm_ms_t) +
                 sizeof(nm_step_failure_t) + (uint64_t)ALLOCATION_BYTES);
    return base;
}

void
nm_occurrences_init_job(nm_sched_t *sched, nm_sched_job_t *job)
{
    job->occurrence_count = MAX(job->spec.occurrences, 1);
    job->occurrences = g_ptr_array_new();
    job->base_bytes = nm_sched_job_bytes(&job->spec, &job->occurrence_bytes);
    if (job->recovered) {
        sched->occurrences_due_unix_ms = 0;
    }
    update_bytes(sched, job);
}

/* sched is NULL while the scheduler itself is freed. */
static void
free_occurrence(nm_sched_t *sched, nm_occurrence_t *occurrence)
{
    const nm_job_spec_t *spec = &occurrence->job->spec;
    for (uint32_t s = 0; s < spec->step_count; s++) {
        for (uint32_t i = 0; i < spec->steps[s].task_count; i++) {
            nm_task_t *task = &occurrence->tasks[s][i];
            g_free(task->silences);
            if (sched) {
                nm_task_set_checkpoint(sched, task, NULL);
            }
            g_free(task->checkpoint);
        }
        g_free(occurrence->tasks[s]);
    }
    g_free(occurrence->tasks);
    g_free(occurrence->unfinished);
    g_free(occurrence->waiting);
    g_free(occurrence->interrupted_since_ms);
    g_free(occurrence->failures);
    g_free(occurrence);
}

void
nm_occurrences_free(nm_sched_t *sched, nm_sched_job_t *job)
{
    for (guint i = 0; job->occurrences && i < job->occurrences->len; i++) {
        free_occurrence(sched, job->occurrences->pdata[i]);
    }
    if (job->occurrences) {
        g_ptr_array_free(job->occurrences, TRUE);
        job->occurrences = NULL;
    }
}

void
nm_occurrences_forget_job(nm_sched_t *sched, nm_sched_job_t *job)
{
    if (job->occurrences) {
        sched->live_bytes -= job->live_bytes;
        sched->job_bytes -= job->reserved_bytes;
        sched->live_occurrences -= job->occurrences->len;
        g_queue_remove(&sched->unreleased, job);
        nm_occurrences_free(sched, job);
    }
}

nm_occurrence_t *
nm_occurrences_find(const nm_sched_job_t *job, uint32_t number)
{
    guint low = 0;
    guint high = job->occurrences->len;
    while (low < high) {
        guint middle = low + (high - low) / 2;
        nm_occurrence_t *occurrence = job->occurrences->pdata[middle];
        if (occurrence->number == number) {
            return occurrence;
        }
        if (occurrence->number < number) {
            low = middle + 1;
        }
        else {
            high = middle;
        }
    }
    return NULL;
}

nm_occurrence_t *
nm_occurrences_begin_next(nm_sched_t *sched, nm_sched_job_t *job, bool unknown)
{
    assert(job->begun_count < job->occurrence_count);
    const nm_job_spec_t *spec = &job->spec;
    nm_occurrence_t *occurrence = g_new0(nm_occurrence_t, 1);
    occurrence->job = job;
    occurrence->number = job->begun_count;
    occurrence->due_unix_ms = due_unix_ms(job, occurrence->number);
    occurrence->tasks = g_new0(nm_task_t *, spec->step_count);
    occurrence->unfinished = g_new0(uint32_t, spec->step_count);
    occurrence->waiting = g_new0(uint32_t, spec->step_count);
    occurrence->interrupted_since_ms = g_new0(nm_ms_t, spec->step_count);
    occurrence->failures = g_new0(nm_step_failure_t, spec->step_count);
    for (uint32_t s = 0; s < spec->step_count; s++) {
        uint32_t count = spec->steps[s].task_count;
        occurrence->tasks[s] = g_new0(nm_task_t, count);
        occurrence->unfinished[s] = count;
        occurrence->waiting[s] = unknown ? 0 : count;
        for (uint32_t i = 0; i < count; i++) {
            nm_task_t *task = &occurrence->tasks[s][i];
            task->occurrence = occurrence;
            task->step = (uint16_t)s;
            task->index = i;
            task->state = unknown ? NM_RUN_UNKNOWN : NM_RUN_WAITING;
            task->percent = 100;
        }
    }
    sched->has_unknown_runs = sched->has_unknown_runs || unknown;
    sched->needs_placement = true;
    job->begun_count++;
    g_ptr_array_add(job->occurrences, occurrence);
    sched->live_occurrences++;
    update_bytes(sched, job);
    return occurrence;
}

void
nm_occurrences_skip_next(nm_sched_job_t *job)
{
    assert(job->begun_count < job->occurrence_count);
    job->begun_count++;
    job->core_ms_left -= nm_job_spec_core_ms(&job->spec);
}

/* True if a former owner may have started the next occurrence of a job. */
static bool
may_be_started(const nm_sched_t *sched, const nm_sched_job_t *job,
               nm_ms_t now_ms)
{
    return job->recovered && (!sched->taken_over || job->progress_unreadable ||
                              nm_sched_has_unresolved_workers(sched, now_ms));
}

/*
 * True if there is memory for one more occurrence of a job.  The first one of
 * a job that has none may use all of it, a further one only the part for
 * those; one that alone is larger begins when no other is in memory.
 */
static bool
has_room(const nm_sched_t *sched, const nm_sched_job_t *job)
{
    uint64_t max_bytes = sched->desc.memory_max_bytes;
    uint64_t further_bytes = max_bytes / 100 * FURTHER_PERCENT;
    uint64_t needed_bytes = sched->live_bytes + job->occurrence_bytes;
    return max_bytes == 0 || needed_bytes <= further_bytes ||
           sched->live_occurrences == 0 ||
           (!has_unfinished(job) && needed_bytes <= max_bytes + further_bytes);
}

/*
 * Begins the occurrences of a job that are due.  Returns when the next one is;
 * 0: it waits for memory, NM_MS_NEVER: there is none.
 */
static int64_t
begin_due(nm_sched_t *sched, nm_sched_job_t *job, nm_ms_t now_ms)
{
    if (job->state >= NM_JOB_COMPLETED || job->progress_unreadable) {
        return NM_MS_NEVER;
    }
    while (job->begun_count < job->occurrence_count) {
        int64_t due_ms = due_unix_ms(job, job->begun_count);
        if (due_ms > sched->unix_ms) {
            return due_ms;
        }
        if (!has_room(sched, job)) {
            sched->deferred_jobs++;
            return 0;
        }
        nm_occurrences_begin_next(sched, job,
                                  may_be_started(sched, job, now_ms));
    }
    return NM_MS_NEVER;
}

void
nm_occurrences_begin_job(nm_sched_t *sched, nm_sched_job_t *job,
                         nm_ms_t now_ms)
{
    int64_t due_ms = begin_due(sched, job, now_ms);
    sched->occurrences_due_unix_ms =
        MIN(sched->occurrences_due_unix_ms, due_ms);
}

void
nm_occurrences_begin_due(nm_sched_t *sched, nm_ms_t now_ms)
{
    if (sched->unix_ms < sched->occurrences_due_unix_ms) {
        return;
    }
    sched->deferred_jobs = 0;
    int64_t next_due_ms = NM_MS_NEVER;
    for (guint i = 0; i < sched->active->len; i++) {
        int64_t due_ms = begin_due(sched, sched->active->pdata[i], now_ms);
        next_due_ms = MIN(next_due_ms, due_ms);
    }
    sched->occurrences_due_unix_ms = next_due_ms;
}

void
nm_occurrences_begin_reported(nm_sched_t *sched, const char *task)
{
    nm_task_position_t at;
    if (!nm_sched_parse_task_name(sched, task, &at) || !at.job->recovered ||
        at.job->state >= NM_JOB_COMPLETED ||
        due_unix_ms(at.job, at.occurrence) > sched->unix_ms + EARLY_MAX_MS)
    {
        return;
    }
    while (at.job->begun_count <= at.occurrence) {
        nm_occurrences_begin_next(sched, at.job, true);
    }
}

/* True if no order or run of its tasks is left, as far as is known. */
static bool
is_settled(const nm_occurrence_t *occurrence)
{
    const nm_job_spec_t *spec = &occurrence->job->spec;
    for (uint32_t s = 0; s < spec->step_count; s++) {
        for (uint32_t i = 0; i < spec->steps[s].task_count; i++) {
            const nm_task_t *task = &occurrence->tasks[s][i];
            if (task->node || task->starts_in_flight > 0 ||
                task->open_starts > 0 || task->orphans > 0)
            {
                return false;
            }
        }
    }
    return true;
}

/* Keeps what the last log line of the job tells. */
static void
keep_totals(nm_sched_job_t *job, const nm_occurrence_t *occurrence)
{
    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
            const nm_task_t *task = &occurrence->tasks[s][i];
            job->released_failures += task->failures;
            job->released_crashes = MAX(job->released_crashes, task->crashes);
        }
    }
}

static void
release(nm_sched_t *sched, nm_sched_job_t *job, guint position)
{
    nm_occurrence_t *occurrence = job->occurrences->pdata[position];
    keep_totals(job, occurrence);
    g_ptr_array_remove_index(job->occurrences, position);
    sched->live_occurrences--;
    free_occurrence(sched, occurrence);
    update_bytes(sched, job);
}

static void
release_finished(nm_sched_t *sched, nm_sched_job_t *job, nm_ms_t now_ms)
{
    for (guint i = job->occurrences->len; i > 0; i--) {
        const nm_occurrence_t *occurrence = job->occurrences->pdata[i - 1];
        bool is_old = now_ms - occurrence->finished_ms >= KEEP_FINISHED_MS;
        if (occurrence->finished && (is_old || !has_room(sched, job)) &&
            is_settled(occurrence))
        {
            release(sched, job, i - 1);
        }
    }
}

static bool
is_releasable(const nm_sched_t *sched, const nm_sched_job_t *job,
              nm_ms_t now_ms)
{
    for (guint i = 0; i < job->occurrences->len; i++) {
        if (!is_settled(job->occurrences->pdata[i])) {
            return false;
        }
    }
    return !job->active && (now_ms - job->ended_ms >= KEEP_FINISHED_MS ||
                            !has_room(sched, job));
}

void
nm_occurrences_release(nm_sched_t *sched, nm_ms_t now_ms)
{
    for (guint i = 0; i < sched->active->len; i++) {
        nm_sched_job_t *job = sched->active->pdata[i];
        if (job->occurrence_count > 1 && job->occurrences->len > 0) {
            release_finished(sched, job, now_ms);
        }
    }
    for (guint left = sched->unreleased.length; left > 0; left--) {
        nm_sched_job_t *job = g_queue_peek_head(&sched->unreleased);
        if (now_ms - job->ended_ms < KEEP_FINISHED_MS && has_room(sched, job))
        {
            return;
        }
        g_queue_pop_head(&sched->unreleased);
        if (!is_releasable(sched, job, now_ms)) {
            g_queue_push_tail(&sched->unreleased, job);
            continue;
        }
        while (job->occurrences->len > 0) {
            release(sched, job, job->occurrences->len - 1);
        }
    }
}

void
nm_occurrences_on_job_end(nm_sched_t *sched, nm_sched_job_t *job)
{
    g_queue_push_tail(&sched->unreleased, job);
    update_bytes(sched, job);
}

nm_sched_memory_t
nm_sched_query_memory(const nm_sched_t *sched)
{
    assert(sched);
    return (nm_sched_memory_t){.max_bytes = sched->desc.memory_max_bytes,
                               .reserved_bytes = sched->job_bytes,
                               .live_bytes = sched->live_bytes,
                               .checkpoint_bytes = sched->checkpoint_bytes,
                               .jobs_deferred = sched->deferred_jobs};
}
