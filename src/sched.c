/*
 * Public functions of the scheduler: jobs and queues, the decision round,
 * records to store, and queries.
 */
#include "sched_state.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#define DEFAULT_LEASE_MS 7000
/* Every owner so far has used the default lease. */
#define DEFAULT_FORMER_LEASE_MAX_MS DEFAULT_LEASE_MS
#define DEFAULT_ANNOUNCE_INTERVAL_MS 1500
#define DEFAULT_RETAIN_MS 150000
/* Of the users' sheets. */
#define DEFAULT_SPREAD_FACTOR 3
/* Time between decision rounds when nothing happens. */
#define IDLE_INTERVAL_MS 100
/* Changes within this time share one round of placement. */
#define PLACEMENT_INTERVAL_MS 20
/*
 * A placement without an event before it: an occurrence may have become due,
 * or the time of an idle job or an avoided worker may have passed.
 */
#define PLACEMENT_INTERVAL_MAX_MS 250
/* Time between two checks of the tails of all workers. */
#define FILLER_CHECK_INTERVAL_MS 100
/*
 * Urgent saves in a row while others wait.  Until those are stored, no worker
 * may drop an end reported since, and a next owner does not know of it.
 */
#define URGENT_SAVES_MAX 4
/* Weight of a new job in its queue's moving average of CPU time. */
#define MEAN_CORE_MS_GAIN 0.1

static const char *const job_state_names[] = {
    "unknown", "queued", "running", "completed", "failed", "cancelled",
};

static const char *const end_names[NM_END_COUNT] = {
#define X(name, label) label,
    NM_END_LIST(X)
#undef X
};

static const char *const job_failure_names[NM_JOB_FAILURE_COUNT] = {
#define X(name, label) label,
    NM_JOB_FAILURE_LIST(X)
#undef X
};

static const char *const crash_evidence_names[NM_CRASH_EVIDENCE_COUNT] = {
#define X(name, label) label,
    NM_CRASH_EVIDENCE_LIST(X)
#undef X
};

const char *
nm_job_failure_name(nm_job_failure_t failure)
{
    assert(failure < NM_JOB_FAILURE_COUNT);
    return job_failure_names[failure];
}

const char *
nm_crash_evidence_name(nm_crash_evidence_t evidence)
{
    assert(evidence < NM_CRASH_EVIDENCE_COUNT);
    return crash_evidence_names[evidence];
}

const char *
nm_end_name(nm_end_t end)
{
    assert(end < NM_END_COUNT);
    return end_names[end];
}

const char *
nm_job_state_name(nm_job_state_t state)
{
    assert(state < NM_COUNT_OF(job_state_names));
    return job_state_names[state];
}

static void
free_job(gpointer data)
{
    nm_sched_job_t *job = data;
    nm_occurrences_free(NULL, job);
    for (uint32_t s = 0; job->swings && s < job->spec.step_count; s++) {
        g_free(job->swings[s]);
    }
    g_free(job->swings);
    g_free(job->images);
    g_free(job->durations);
    nm_job_spec_finish(&job->spec);
    g_free(job);
}

static void
free_node(gpointer data)
{
    nm_sched_node_t *node = data;
    g_ptr_array_free(node->tasks, TRUE);
    g_array_free(node->tails, TRUE);
    g_queue_clear_full(&node->pending_acks, g_free);
    nm_orphans_free(node);
    g_free(node->held_desc);
    g_free(node);
}

nm_sched_t *
nm_sched_new(const nm_sched_desc_t *desc, nm_ms_t now_ms)
{
    assert(desc && desc->epoch > 0);
    nm_sched_t *sched = g_new0(nm_sched_t, 1);
    sched->desc = *desc;
    nm_sched_desc_t *d = &sched->desc;
    d->lease_ms = d->lease_ms ? d->lease_ms : DEFAULT_LEASE_MS;
    sched->ids_reused = !d->resends_starts;
    d->announce_interval_ms = d->announce_interval_ms
                                  ? d->announce_interval_ms
                                  : DEFAULT_ANNOUNCE_INTERVAL_MS;
    d->former_lease_max_ms = d->former_lease_max_ms
                                 ? d->former_lease_max_ms
                                 : DEFAULT_FORMER_LEASE_MAX_MS;
    d->spread_factor =
        d->spread_factor > 0 ? d->spread_factor : DEFAULT_SPREAD_FACTOR;
    d->retain_ms = d->retain_ms ? d->retain_ms : DEFAULT_RETAIN_MS;
    sched->jobs =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_job);
    sched->queues =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    sched->nodes =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_node);
    sched->nodes_by_hash = g_hash_table_new(NULL, NULL);
    sched->nodes_by_address = g_hash_table_new_full(
        NULL, NULL, NULL, (GDestroyNotify)g_ptr_array_unref);
    sched->awaited = g_hash_table_new_full(NULL, NULL, NULL, g_free);
    sched->node_list = g_ptr_array_new();
    sched->timers = g_ptr_array_new();
    sched->active = g_ptr_array_new();
    sched->actions = g_array_new(FALSE, FALSE, sizeof(nm_sched_action_t));
    sched->canaries = g_array_new(FALSE, TRUE, sizeof(nm_canary_t));
    sched->events = g_array_new(FALSE, FALSE, sizeof(nm_sched_event_t));
    g_queue_init(&sched->urgent);
    g_queue_init(&sched->dirty);
    g_queue_init(&sched->unsaved);
    g_queue_init(&sched->ended);
    g_queue_init(&sched->expired);
    g_queue_init(&sched->unreleased);
    g_queue_init(&sched->removed);
    sched->began_ms = now_ms;
    sched->watch_gap_ms = now_ms;
    sched->former_owner_until_ms = now_ms;
    sched->authority = true;
    sched->starts_allowed = true;
    sched->evacuated_zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    sched->small_steps = g_array_new(FALSE, FALSE, sizeof(nm_small_step_t));
    nm_delay_init(sched, now_ms);
    nm_interference_init(&sched->interference);
    nm_swing_model_init(&sched->swing_model);
    nm_durations_init(&sched->durations);
    nm_rng_init(&sched->rng, desc->seed);
    return sched;
}

void
nm_sched_free(nm_sched_t *sched)
{
    assert(sched);
    g_ptr_array_free(sched->active, TRUE);
    g_ptr_array_free(sched->node_list, TRUE);
    g_ptr_array_free(sched->timers, TRUE);
    g_array_free(sched->actions, TRUE);
    g_array_free(sched->canaries, TRUE);
    g_array_free(sched->events, TRUE);
    g_queue_clear_full(&sched->removed, g_free);
    g_queue_clear(&sched->ended);
    g_queue_clear(&sched->expired);
    g_queue_clear(&sched->unreleased);
    nm_interference_finish(&sched->interference);
    nm_durations_finish(&sched->durations);
    g_hash_table_destroy(sched->nodes_by_address);
    g_hash_table_destroy(sched->nodes_by_hash);
    g_hash_table_destroy(sched->awaited);
    g_hash_table_destroy(sched->nodes);
    g_hash_table_destroy(sched->jobs);
    g_hash_table_destroy(sched->queues);
    g_hash_table_destroy(sched->evacuated_zones);
    g_array_free(sched->small_steps, TRUE);
    g_free(sched);
}

void
nm_sched_set_queue(nm_sched_t *sched, const nm_queue_t *queue)
{
    assert(sched && queue);
    nm_sched_queue_t *known = g_hash_table_lookup(sched->queues, queue->name);
    if (known) {
        bool limit_changed = known->desc.attempts_max != queue->attempts_max;
        known->desc = *queue;
        known->service = g_intern_string(queue->service);
        for (guint i = 0; limit_changed && i < sched->active->len; i++) {
            nm_sched_job_t *job = sched->active->pdata[i];
            if (job->queue == known) {
                nm_sched_mark_changed(sched, job, false);
            }
        }
        return;
    }
    known = g_new0(nm_sched_queue_t, 1);
    known->desc = *queue;
    known->service = g_intern_string(queue->service);
    g_hash_table_insert(sched->queues, known->desc.name, known);
    for (guint i = 0; i < sched->active->len; i++) {
        nm_sched_job_t *job = sched->active->pdata[i];
        if (!job->queue && strcmp(job->spec.queue, known->desc.name) == 0) {
            job->queue = known;
            nm_estimate_set_objective(job);
        }
    }
}

int
nm_sched_add_job(nm_sched_t *sched, nm_job_spec_t *spec, bool recovered,
                 nm_ms_t now_ms)
{
    assert(sched && spec);
    if (g_hash_table_contains(sched->jobs, spec->id)) {
        return NM_ERR_CONFLICT;
    }
    if (spec->occurrences > NM_JOB_OCCURRENCES_MAX) {
        return NM_ERR_TOO_LARGE;
    }
    nm_sched_job_t *job = g_new0(nm_sched_job_t, 1);
    nm_job_spec_move(&job->spec, spec);
    job->state = NM_JOB_QUEUED;
    job->visible_state = NM_JOB_QUEUED;
    job->recovered = recovered;
    job->arrived_ms = now_ms;
    if (recovered && sched->unix_ms > job->spec.accepted_unix_ms) {
        job->arrived_ms =
            now_ms - (sched->unix_ms - job->spec.accepted_unix_ms);
    }
    sched->has_unknown_runs = sched->has_unknown_runs || recovered;
    job->queue = g_hash_table_lookup(sched->queues, job->spec.queue);
    job->service = g_intern_string(job->spec.service);
    nm_occurrences_init_job(sched, job);
    job->images = g_new0(uint32_t, job->spec.step_count);
    job->swings = g_new0(nm_swing_t *, job->spec.step_count);
    for (uint32_t s = 0; s < job->spec.step_count; s++) {
        if (job->spec.steps[s].target_ms > 0) {
            job->swings[s] = g_new(nm_swing_t, 1);
            nm_swing_init(job->swings[s], now_ms);
        }
        job->images[s] = nm_interference_image_number(
            &sched->interference, job->spec.steps[s].image);
        job->long_running =
            job->long_running || job->spec.steps[s].long_running;
        job->has_fillers = job->has_fillers || job->spec.steps[s].is_filler;
    }
    job->core_ms_total =
        nm_job_spec_core_ms(&job->spec) * job->occurrence_count;
    job->core_ms_left = job->core_ms_total;
    nm_estimate_init_job(sched, job);
    if (job->queue && !job->long_running) {
        double core_ms = (double)job->core_ms_total;
        double *mean = &job->queue->mean_core_ms;
        *mean = *mean > 0 ? *mean + MEAN_CORE_MS_GAIN * (core_ms - *mean)
                          : core_ms;
    }
    if (nm_job_has_share(job)) {
        nm_share_count_arrival(&job->queue->share, job->core_ms_total, now_ms);
    }
    g_hash_table_insert(sched->jobs, job->spec.id, job);
    g_ptr_array_add(sched->active, job);
    job->active = true;
    sched->needs_placement = true;
    if (!recovered) {
        nm_occurrences_begin_job(sched, job, now_ms);
    }
    return NM_OK;
}

/*
 * Adds an ended job for a cancel of an unknown one, so that its cancel key is
 * removed from the store after the retention time.
 */
static void
add_cancel_of_unknown_job(nm_sched_t *sched, const char *id, nm_ms_t now_ms)
{
    nm_sched_job_t *job = g_new0(nm_sched_job_t, 1);
    nm_job_spec_init(&job->spec, id, "", "");
    job->state = NM_JOB_CANCELLED;
    job->visible_state = NM_JOB_UNKNOWN;
    job->cancel_stored = true;
    job->ended_ms = now_ms;
    g_hash_table_insert(sched->jobs, job->spec.id, job);
    g_queue_push_tail(&sched->ended, job);
}

void
nm_sched_cancel_job(nm_sched_t *sched, const char *id, nm_ms_t now_ms)
{
    assert(sched && id);
    nm_sched_job_t *job = g_hash_table_lookup(sched->jobs, id);
    if (!job) {
        add_cancel_of_unknown_job(sched, id, now_ms);
        return;
    }
    job->cancel_stored = true;
    if (job->state < NM_JOB_COMPLETED) {
        job->cancelled = true;
        job->visible_state = NM_JOB_CANCELLED;
        nm_job_check_end(sched, job, now_ms);
        sched->needs_placement = true;
    }
}

static void
requeue_unknown_runs(nm_sched_t *sched, nm_sched_job_t *job, nm_ms_t now_ms)
{
    for (guint o = 0; o < job->occurrences->len; o++) {
        const nm_occurrence_t *occurrence = job->occurrences->pdata[o];
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                nm_task_t *task = &occurrence->tasks[s][i];
                if (task->state == NM_RUN_UNKNOWN) {
                    nm_task_requeue(sched, task);
                    nm_crashes_resolve(sched, task, now_ms);
                }
            }
        }
    }
}

/*
 * Requeues recovered tasks that no worker has reported, once each worker has
 * responded or its lease has lapsed: they are not running.
 */
static void
resolve_unknown_runs(nm_sched_t *sched, nm_ms_t now_ms)
{
    if (!sched->has_unknown_runs ||
        nm_sched_has_unresolved_workers(sched, now_ms)) {
        return;
    }
    sched->has_unknown_runs = false;
    for (guint i = 0; i < sched->active->len; i++) {
        nm_sched_job_t *job = sched->active->pdata[i];
        if (!job->progress_unreadable) {
            requeue_unknown_runs(sched, job, now_ms);
        }
    }
}

static void
remove_ended_from_active(nm_sched_t *sched)
{
    for (guint i = sched->active->len; i > 0; i--) {
        nm_sched_job_t *job = sched->active->pdata[i - 1];
        if (job->state >= NM_JOB_COMPLETED && job->attached_count == 0) {
            g_ptr_array_remove_index_fast(sched->active, i - 1);
            job->active = false;
        }
    }
}

/*
 * Expires ended jobs after their retention time; a job that still has tasks or
 * changes to store is kept for another retention time.
 */
static void
expire_ended(nm_sched_t *sched, nm_ms_t now_ms)
{
    nm_sched_job_t *job;
    while ((job = g_queue_peek_head(&sched->ended)) &&
           now_ms - job->ended_ms >= sched->desc.retain_ms)
    {
        g_queue_pop_head(&sched->ended);
        bool in_use =
            job->active || job->saving || job->change_seq > job->saved_seq;
        if (in_use) {
            job->ended_ms = now_ms;
            g_queue_push_tail(&sched->ended, job);
        }
        else {
            g_queue_push_tail(&sched->expired, job);
        }
    }
}

/* Sets saved_seq to the change before the oldest one that is not stored. */
static void
update_saved_seq(nm_sched_t *sched)
{
    uint64_t oldest_unsaved = sched->change_seq + 1;
    for (const GList *l = sched->unsaved.head; l; l = l->next) {
        const nm_sched_job_t *job = l->data;
        oldest_unsaved = MIN(oldest_unsaved, job->first_unsaved_seq);
    }
    sched->saved_seq = oldest_unsaved - 1;
    sched->saved_seq_stale = false;
}

nm_ms_t
nm_sched_run(nm_sched_t *sched, nm_ms_t now_ms, int64_t unix_ms)
{
    assert(sched);
    sched->unix_ms = unix_ms;
    sched->now_ms = now_ms;
    if (sched->has_saved || sched->unsaved.length == 0) {
        sched->has_saved = false;
        sched->store_ok_ms = now_ms;
    }
    if (sched->fenced) {
        return IDLE_INTERVAL_MS;
    }
    if (sched->saved_seq_stale) {
        update_saved_seq(sched);
    }
    nm_delay_check(sched, now_ms);
    resolve_unknown_runs(sched, now_ms);
    expire_ended(sched, now_ms);
    if (now_ms - sched->fillers_checked_ms >= FILLER_CHECK_INTERVAL_MS) {
        sched->fillers_checked_ms = now_ms;
        nm_sched_check_fillers(sched, now_ms);
    }
    if (sched->cold_start_due_ms > 0 && now_ms >= sched->cold_start_due_ms) {
        sched->cold_start_due_ms = 0;
        sched->needs_placement = true;
    }
    nm_ms_t interval_ms = sched->needs_placement ? PLACEMENT_INTERVAL_MS
                                                 : PLACEMENT_INTERVAL_MAX_MS;
    if (nm_sched_may_start(sched) && now_ms - sched->placed_ms >= interval_ms)
    {
        sched->needs_placement = false;
        remove_ended_from_active(sched);
        nm_occurrences_release(sched, now_ms);
        nm_occurrences_begin_due(sched, now_ms);
        nm_sched_place(sched, now_ms);
    }
    nm_sched_tick_nodes(sched, now_ms);
    return sched->needs_placement || sched->lossy ? PLACEMENT_INTERVAL_MS
                                                  : IDLE_INTERVAL_MS;
}

void
nm_sched_set_authority(nm_sched_t *sched, bool authority)
{
    assert(sched);
    sched->authority = authority;
}

void
nm_sched_set_starts_allowed(nm_sched_t *sched, bool allowed)
{
    assert(sched);
    sched->starts_allowed = allowed;
}

uint32_t
nm_sched_set_evacuated(nm_sched_t *sched, const char *zone, bool evacuated)
{
    assert(sched && zone);
    if (evacuated) {
        g_hash_table_add(sched->evacuated_zones, g_strdup(zone));
    }
    else {
        g_hash_table_remove(sched->evacuated_zones, zone);
    }
    uint32_t workers = 0;
    for (guint i = 0; i < sched->node_list->len; i++) {
        nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->described && strcmp(node->desc.zone, zone) == 0) {
            node->evacuated = evacuated;
            workers++;
        }
    }
    sched->needs_placement = true;
    return workers;
}

bool
nm_sched_next_action(nm_sched_t *sched, nm_sched_action_t *action)
{
    assert(sched && action);
    if (sched->action_next >= sched->actions->len) {
        g_array_set_size(sched->actions, 0);
        sched->action_next = 0;
        return false;
    }
    *action =
        g_array_index(sched->actions, nm_sched_action_t, sched->action_next++);
    return true;
}

bool
nm_sched_has_saves(const nm_sched_t *sched)
{
    assert(sched);
    return sched->urgent.length > 0 || sched->dirty.length > 0 ||
           sched->expired.length > 0;
}

static bool
next_expired_job(nm_sched_t *sched, nm_sched_save_t *save)
{
    const nm_sched_job_t *job = g_queue_pop_head(&sched->expired);
    if (!job) {
        return false;
    }
    *save = (nm_sched_save_t){.has_cancel_key = job->cancel_stored};
    nm_strcopy(save->job, sizeof(save->job), job->spec.id);
    return true;
}

bool
nm_sched_next_save(nm_sched_t *sched, nm_sched_save_t *save)
{
    assert(sched && save);
    bool urgent =
        sched->urgent.length > 0 &&
        (sched->dirty.length == 0 || sched->urgent_saves < URGENT_SAVES_MAX);
    GQueue *queue = urgent ? &sched->urgent : &sched->dirty;
    sched->urgent_saves =
        urgent && sched->dirty.length > 0 ? sched->urgent_saves + 1 : 0;
    GList *link = g_queue_pop_head_link(queue);
    if (!link) {
        return next_expired_job(sched, save);
    }
    nm_sched_job_t *job = link->data;
    *save = (nm_sched_save_t){0};
    job->save_queue = NULL;
    job->saving = true;
    job->urgent = false;
    nm_strcopy(save->job, sizeof(save->job), job->spec.id);
    save->change_seq = job->change_seq;
    save->record = nm_sched_encode_progress(sched, job);
    return true;
}

void
nm_sched_confirm_save(nm_sched_t *sched, const nm_sched_save_t *save,
                      bool stored)
{
    assert(sched && save);
    nm_sched_job_t *job = g_hash_table_lookup(sched->jobs, save->job);
    if (!job) {
        return;
    }
    if (!save->record) {
        if (stored) {
            nm_occurrences_forget_job(sched, job);
            g_hash_table_remove(sched->jobs, save->job);
        }
        else {
            g_queue_push_head(&sched->expired, job);
        }
        return;
    }
    job->saving = false;
    if (stored) {
        job->saved_seq = save->change_seq;
        sched->has_saved = true;
        job->first_unsaved_seq = save->change_seq + 1;
        sched->needs_placement = sched->needs_placement || job->has_intents;
        job->has_intents =
            job->has_intents && job->change_seq > job->saved_seq;
        if (job->state >= NM_JOB_COMPLETED &&
            job->change_seq == job->saved_seq) {
            job->visible_state = job->state;
        }
    }
    else {
        job->urgent = true;
    }
    if (job->change_seq > job->saved_seq) {
        nm_sched_queue_save(sched, job);
    }
    else if (job->unsaved_link.data) {
        g_queue_unlink(&sched->unsaved, &job->unsaved_link);
        job->unsaved_link.data = NULL;
    }
    sched->saved_seq_stale = true;
}

char *
nm_sched_encode_learned(const nm_sched_t *sched)
{
    assert(sched);
    char *interference = nm_interference_encode(&sched->interference);
    char *durations = nm_durations_encode(&sched->durations);
    /* One object; the durations become its last member. */
    char *record = g_strdup_printf("%.*s,\"durations\":%s}",
                                   (int)strlen(interference) - 1, interference,
                                   durations);
    free(interference);
    free(durations);
    return record;
}

int
nm_sched_restore_learned(nm_sched_t *sched, const void *record, uint32_t bytes)
{
    assert(sched && record);
    int rc = nm_interference_decode(&sched->interference, record, bytes);
    int durations_rc = nm_durations_decode(&sched->durations, record, bytes);
    return rc < 0 ? rc : durations_rc;
}

bool
nm_sched_save_is_urgent(const nm_sched_t *sched)
{
    assert(sched);
    return sched->urgent.length > 0;
}

nm_job_state_t
nm_sched_query_job(const nm_sched_t *sched, const char *id)
{
    assert(sched && id);
    const nm_sched_job_t *job = g_hash_table_lookup(sched->jobs, id);
    return job ? job->visible_state : NM_JOB_UNKNOWN;
}

int64_t
nm_sched_query_last_end(const nm_sched_t *sched, const char *worker)
{
    assert(sched && worker);
    const nm_sched_node_t *node = g_hash_table_lookup(sched->nodes, worker);
    return node ? node->ends_processed : 0;
}

int64_t
nm_sched_query_fence_seq(const nm_sched_t *sched, const char *worker)
{
    assert(sched && worker);
    const nm_sched_node_t *node = g_hash_table_lookup(sched->nodes, worker);
    return node ? node->fence_seq : sched->fence_seq;
}

bool
nm_sched_query_job_info(const nm_sched_t *sched, const char *id,
                        nm_sched_job_info_t *info)
{
    assert(sched && id && info);
    const nm_sched_job_t *job = g_hash_table_lookup(sched->jobs, id);
    if (!job) {
        return false;
    }
    *info = (nm_sched_job_info_t){
        .state = job->state,
        .failure = job->failure,
        .long_running = job->long_running,
        .recovered = job->recovered,
        .took_ms = job->ended_ms > 0 ? job->ended_ms - job->arrived_ms : 0,
        .objective_ms = job->objective_ms,
        .first_start_ms = job->first_start_ms > 0
                              ? job->first_start_ms - job->arrived_ms
                              : -1,
        .admitted_ms = job->admitted ? job->admitted_ms - job->arrived_ms : -1,
        .core_ms = job->core_ms_total,
    };
    info->failures = job->released_failures;
    info->crashes = job->released_crashes;
    for (guint o = 0; job->occurrences && o < job->occurrences->len; o++) {
        const nm_occurrence_t *occurrence = job->occurrences->pdata[o];
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                const nm_task_t *task = &occurrence->tasks[s][i];
                info->failures += task->failures;
                info->crashes = MAX(info->crashes, task->crashes);
            }
        }
    }
    return true;
}

bool
nm_sched_query_step(const nm_sched_t *sched, const char *id, uint32_t step,
                    nm_step_t *desc)
{
    assert(sched && id && desc);
    const nm_sched_job_t *job = g_hash_table_lookup(sched->jobs, id);
    if (!job || step >= job->spec.step_count) {
        return false;
    }
    *desc = job->spec.steps[step];
    return true;
}

uint32_t
nm_sched_query_pending(const nm_sched_t *sched, const char *queue)
{
    assert(sched && queue);
    uint32_t pending = 0;
    for (guint i = 0; i < sched->active->len; i++) {
        const nm_sched_job_t *job = sched->active->pdata[i];
        pending +=
            job->state == NM_JOB_QUEUED && strcmp(job->spec.queue, queue) == 0;
    }
    return pending;
}

nm_sched_info_t
nm_sched_query_info(const nm_sched_t *sched)
{
    assert(sched);
    nm_sched_info_t info = {.jobs_active = sched->active->len};
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, sched->nodes);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const nm_sched_node_t *node = value;
        info.tasks_running += node->tasks->len;
        if (node->announced && node->epoch_confirmed && node->reachable) {
            info.workers_usable++;
            info.workers_cold += sched->now_ms < node->cold_until_ms;
        }
        info.workers_evacuated += node->evacuated;
        info.workers_unresolved += !node->epoch_confirmed;
    }
    for (guint i = 0; i < sched->active->len; i++) {
        const nm_sched_job_t *job = sched->active->pdata[i];
        for (guint o = 0; o < job->occurrences->len; o++) {
            const nm_occurrence_t *occurrence = job->occurrences->pdata[o];
            for (uint32_t s = 0; s < job->spec.step_count; s++) {
                uint32_t waiting = occurrence->waiting[s];
                info.tasks_waiting += waiting;
                info.long_running_waiting +=
                    job->spec.steps[s].long_running ? waiting : 0;
            }
        }
    }
    return info;
}

nm_sched_placement_t
nm_sched_query_placement(const nm_sched_t *sched)
{
    assert(sched);
    return (nm_sched_placement_t){.count = sched->placement_number,
                                  .cut_count = sched->cut_placements,
                                  .starting = sched->starting_count,
                                  .wanted = sched->needs_placement,
                                  .cut = sched->placement_cut};
}

bool
nm_sched_query_fenced(const nm_sched_t *sched)
{
    assert(sched);
    return sched->fenced;
}
