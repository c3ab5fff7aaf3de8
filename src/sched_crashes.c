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
 * A crash is proved by a later incarnation of the worker, or one at its
 * address, or by a list of machines in which no machine has the worker while
 * its tasks are attached or a task waits for it.  A worker that is silent and
 * whose entry is gone may be cut off from the owner and the store: an
 * unresolved silence, stored with its tasks in case the owner changes.  The
 * tasks start elsewhere when its lease has lapsed.  Only crashes that are
 * proved fail a job.  Once known and possible crashes are as many as that
 * takes, the task waits for the workers to be heard of, for a limited time, as
 * some are lost for good.
 *
 * A suspect's start is stored with its worker, so that a next owner knows of a
 * crash that this one could not store any more; before it is sent, if the
 * store does not keep up or the job is recovered.  One crash may be unknown to
 * a next owner even so.
 *
 * sched_node.c calls nm_crashes_on_incarnation_end before it requeues the
 * tasks of a worker, sched_task.c calls nm_crashes_on_start, sched_response.c
 * calls nm_crashes_on_running and nm_crashes_on_silence, sched.c and
 * sched_choice.c call nm_crashes_resolve, and sched_choice.c asks for
 * conflicts and penalties.
 *
 * Load: workers that crash with tens of tasks each, many at a time, also
 * without any task's fault.
 */
#include "sched_state.h"

#include <assert.h>

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
/*
 * The store removes the entry of a worker that is gone within this time,
 * counted from the end of an outage of the store.
 */
#define ENTRY_EXPIRY_MAX_MS 6000
/*
 * A worker that crashed is back within this time, in general; 3 s more than
 * the lapse of its lease at most, as a task must not be idle for longer.
 */
#define RESTART_WAIT_MS 10000
/* Limit of that wait if the store is away again and again. */
#define RESTART_WAIT_MAX_MS 30000
/*
 * A task waits for this long rather than exceed the starts that the users'
 * rules allow; then the worker is taken for lost, whether it crashed or not.
 */
#define SILENCE_MAX_MS 900000
/* A worker counts as awaited for so long, as each round may find it anew. */
#define AWAITED_MS 5000
/* Limit of the workers that are awaited at a time; others wait their turn. */
#define AWAITED_MAX 1024
/*
 * A task with one crash starts again after this time, even if its start could
 * not be stored; one with more crashes waits for the store.
 */
#define INTENT_WAIT_MAX_MS 10000
/* A store that has stored nothing for longer does not keep up. */
#define STORE_DELAY_MAX_MS 1000
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

static uint32_t
crashes_uncertain_max(const nm_sched_job_t *job)
{
    /* A former owner may have known of one more. */
    return CRASHES_UNCERTAIN_MAX - job->recovered;
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
                               : crashes_uncertain_max(job);
    if (task->crashes >= crashes_max && !nm_task_is_done(task) &&
        job->state < NM_JOB_COMPLETED)
    {
        nm_sched_add_run_event(sched, NM_SCHED_EVENT_TASK_GIVEN_UP, task,
                               task->crashes);
        nm_job_fail(sched, job, NM_JOB_FAILURE_CRASHES, now_ms);
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

static void
add_silence(nm_sched_t *sched, nm_task_t *task, const nm_silence_t *silence)
{
    if (task->silence_count < NM_SCHED_SILENCES_MAX) {
        nm_task_add_silence(task, silence);
        nm_sched_mark_changed(sched, task->occurrence->job, false);
    }
}

static void
clear_intent(nm_sched_t *sched, nm_task_t *task)
{
    if (task->intent.worker_hash != 0) {
        task->intent.worker_hash = 0;
        nm_sched_mark_changed(sched, task->occurrence->job, false);
    }
}

static void
remove_silence(nm_sched_t *sched, nm_task_t *task, uint32_t i)
{
    task->silences[i] = task->silences[--task->silence_count];
    nm_sched_mark_changed(sched, task->occurrence->job, false);
}

/* Returns the hash of a worker's address; 0 if others are known there. */
static uint32_t
own_address_hash(const nm_sched_t *sched, const nm_sched_node_t *node)
{
    const GPtrArray *at_address = g_hash_table_lookup(
        sched->nodes_by_address, GUINT_TO_POINTER(node->address_hash));
    for (guint i = 0; at_address && i < at_address->len; i++) {
        const nm_sched_node_t *other = at_address->pdata[i];
        /* One that came later may be the next incarnation. */
        if (other != node && other->incarnation_seen_ms <= node->alive_ms) {
            return 0;
        }
    }
    return node->address_hash;
}

void
nm_crashes_on_silence(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    bool leaves = node->desc.state == NM_WORKER_DRAINING;
    const nm_task_t *culprit = find_culprit(node);
    for (guint i = 0; i < node->tasks->len && !leaves; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (is_starting_up(task)) {
            nm_silence_t silence = {
                .worker_hash = node->id_hash,
                .address_hash = own_address_hash(sched, node),
                .incarnation = node->desc.incarnation,
                .run = task->run,
                .since_ms = now_ms,
                .since_unix_ms = sched->unix_ms,
                .heard_ms = node->alive_ms,
                .certain = culprit && is_confirmed(task) &&
                           task->occurrence->job == culprit->occurrence->job};
            add_silence(sched, task, &silence);
            clear_intent(sched, task);
        }
    }
}

static bool
is_silence_of(const nm_silence_t *silence, const nm_sched_node_t *node)
{
    return silence->worker_hash == node->id_hash &&
           silence->incarnation == node->desc.incarnation;
}

void
nm_crashes_clear_silence(nm_sched_t *sched, nm_task_t *task,
                         const nm_sched_node_t *node)
{
    for (uint32_t i = task->silence_count; i > 0; i--) {
        if (is_silence_of(&task->silences[i - 1], node)) {
            remove_silence(sched, task, i - 1);
        }
    }
    if (is_silence_of(&task->intent, node)) {
        clear_intent(sched, task);
    }
}

void
nm_crashes_on_lapse(nm_sched_t *sched, nm_sched_node_t *node)
{
    bool leaves = node->desc.state == NM_WORKER_DRAINING;
    for (guint i = 0; i < node->tasks->len; i++) {
        nm_task_t *task = node->tasks->pdata[i];
        if (leaves) {
            nm_crashes_clear_silence(sched, task, node);
        }
        for (uint32_t s = 0; s < task->silence_count; s++) {
            if (is_silence_of(&task->silences[s], node)) {
                task->silences[s].lapse_ms = node->lease_lapse_ms;
                nm_sched_add_run_event(sched, NM_SCHED_EVENT_RUN_UNRESOLVED,
                                       task, task->silence_count);
            }
        }
    }
}

/*
 * Returns for how long the worker was silent and its entry watched, by the age
 * of the entries that are known.
 */
static nm_ms_t
watched_ms(const nm_sched_t *sched, const nm_silence_t *silence,
           nm_ms_t now_ms)
{
    return now_ms - sched->entries_age_ms -
           MAX(silence->since_ms, sched->watch_gap_ms);
}

/*
 * True if a worker has been heard of, is leaving as planned, or its entry
 * would have expired.
 */
static bool
has_survived(const nm_sched_t *sched, const nm_silence_t *silence,
             const nm_sched_node_t *node, nm_ms_t now_ms)
{
    return node && ((node->reachable && node->epoch_confirmed) ||
                    node->desc.state == NM_WORKER_DRAINING ||
                    (node->announced && watched_ms(sched, silence, now_ms) >=
                                            ENTRY_EXPIRY_MAX_MS));
}

/* What is known of a worker that fell silent. */
typedef struct {
    const nm_sched_node_t *node; /* that shows it; NULL: none */
    nm_crash_evidence_t evidence;
} silence_state_t;

/* Returns the worker that has taken the address of a silent one, or NULL. */
static const nm_sched_node_t *
find_successor(const nm_sched_t *sched, const nm_silence_t *silence)
{
    const GPtrArray *at_address = g_hash_table_lookup(
        sched->nodes_by_address, GUINT_TO_POINTER(silence->address_hash));
    const nm_sched_node_t *node =
        at_address && at_address->len == 1 ? at_address->pdata[0] : NULL;
    if (!node || node->id_hash == silence->worker_hash) {
        return NULL;
    }
    /* A worker's clock may be set back; a next owner knows nothing else. */
    bool came_later = silence->heard_ms > 0
                          ? node->incarnation_seen_ms > silence->heard_ms
                          : node->desc.incarnation > silence->incarnation;
    return came_later ? node : NULL;
}

/*
 * True if a list of machines that was requested after the silence lacks the
 * worker, which has neither responded nor announced itself since, nor was it
 * about to leave as planned.
 */
static bool
has_ended(const nm_sched_t *sched, const nm_silence_t *silence,
          const nm_sched_node_t *same)
{
    const nm_awaited_t *awaited = g_hash_table_lookup(
        sched->awaited, GUINT_TO_POINTER(silence->worker_hash));
    if (!awaited || awaited->ended_ms == 0 ||
        awaited->incarnation != silence->incarnation ||
        silence->since_ms > awaited->ended_ms)
    {
        return false;
    }
    return !same ||
           (!same->announced && same->announced_ms < awaited->ended_ms &&
            same->alive_ms < awaited->ended_ms &&
            !(same->reachable && same->epoch_confirmed) &&
            same->desc.state != NM_WORKER_DRAINING);
}

static silence_state_t
find_silence_state(const nm_sched_t *sched, const nm_silence_t *silence)
{
    const nm_sched_node_t *node = g_hash_table_lookup(
        sched->nodes_by_hash, GUINT_TO_POINTER(silence->worker_hash));
    if (node && node->desc.incarnation > silence->incarnation) {
        return (silence_state_t){node, NM_CRASH_EVIDENCE_INCARNATION};
    }
    const nm_sched_node_t *successor = find_successor(sched, silence);
    if (successor) {
        return (silence_state_t){successor, NM_CRASH_EVIDENCE_ADDRESS};
    }
    const nm_sched_node_t *same =
        node && is_silence_of(silence, node) ? node : NULL;
    return (silence_state_t){same, has_ended(sched, silence, same)
                                       ? NM_CRASH_EVIDENCE_MACHINES
                                       : NM_CRASH_EVIDENCE_NONE};
}

static void
add_silence_event(nm_sched_t *sched, nm_sched_event_type_t type,
                  const nm_task_t *task, const nm_silence_t *silence,
                  const silence_state_t *state, int64_t value)
{
    nm_sched_add_crash_event(sched, task, state->node,
                             &(nm_sched_event_t){.type = type,
                                                 .value = value,
                                                 .run = silence->run,
                                                 .evidence = state->evidence});
}

/*
 * A run that was cut off has ended with its lease; a restart after that may
 * have any cause, and so may an end that a list shows.
 */
static bool
is_certain(const nm_silence_t *silence, const silence_state_t *state)
{
    return silence->certain && state->evidence != NM_CRASH_EVIDENCE_MACHINES &&
           state->node->incarnation_seen_ms <= silence->lapse_ms;
}

/*
 * Crashes of workers that ran the task before, known or possible; a crash of
 * the worker that it is on is none yet.
 */
static uint32_t
count_suspicions(const nm_task_t *task)
{
    uint32_t count = task->crashes;
    for (uint32_t i = 0; i < task->silence_count; i++) {
        count += !task->node || !is_silence_of(&task->silences[i], task->node);
    }
    return count;
}

static bool
store_keeps_up(const nm_sched_t *sched, nm_ms_t now_ms)
{
    return now_ms - sched->store_ok_ms < STORE_DELAY_MAX_MS;
}

static bool
intent_is_stored(const nm_task_t *task)
{
    return task->occurrence->job->saved_seq >= task->intent_seq;
}

/*
 * True if a task should start only once more is known of its silent workers:
 * one that has crashed may be back soon, and as many starts as the users'
 * rules allow are the limit until each silence is resolved.
 */
static bool
waits_for_silent_workers(const nm_sched_t *sched, const nm_task_t *task,
                         uint32_t suspicions, nm_ms_t now_ms)
{
    bool may_be_back = false;
    for (uint32_t i = 0; i < task->silence_count; i++) {
        const nm_silence_t *silence = &task->silences[i];
        may_be_back = may_be_back ||
                      (watched_ms(sched, silence, now_ms) < RESTART_WAIT_MS &&
                       now_ms - silence->since_ms < RESTART_WAIT_MAX_MS);
    }
    return (may_be_back && suspicions >= CRASHES_MAX) ||
           (task->silence_count > 0 &&
            suspicions >= crashes_uncertain_max(task->occurrence->job));
}

static void
note_awaited(nm_sched_t *sched, const nm_task_t *task, nm_ms_t now_ms)
{
    if (task->silence_count == 0 ||
        !waits_for_silent_workers(sched, task, count_suspicions(task), now_ms))
    {
        return;
    }
    for (uint32_t i = 0; i < task->silence_count; i++) {
        const nm_silence_t *silence = &task->silences[i];
        gpointer key = GUINT_TO_POINTER(silence->worker_hash);
        nm_awaited_t *awaited = g_hash_table_lookup(sched->awaited, key);
        if (!awaited && g_hash_table_size(sched->awaited) >= AWAITED_MAX) {
            continue;
        }
        if (!awaited || silence->incarnation > awaited->incarnation) {
            awaited = g_new0(nm_awaited_t, 1);
            awaited->incarnation = silence->incarnation;
            awaited->since_ms = silence->since_ms;
            g_hash_table_replace(sched->awaited, key, awaited);
        }
        if (silence->incarnation == awaited->incarnation) {
            awaited->since_ms = MAX(awaited->since_ms, silence->since_ms);
            awaited->awaited_ms = now_ms;
            /* It was heard of after all, and is silent again. */
            if (awaited->since_ms > awaited->ended_ms) {
                awaited->ended_ms = 0;
            }
        }
    }
}

uint32_t
nm_sched_hash_worker(const char *id)
{
    assert(id);
    return MAX(g_str_hash(id), 1);
}

void
nm_sched_visit_silences(nm_sched_t *sched, nm_ms_t now_ms,
                        void (*visit)(void *user,
                                      const nm_sched_silence_t *silence),
                        void *user)
{
    assert(sched && visit);
    GHashTableIter iter;
    gpointer key;
    gpointer value;
    g_hash_table_iter_init(&iter, sched->awaited);
    while (g_hash_table_iter_next(&iter, &key, &value)) {
        const nm_awaited_t *awaited = value;
        if (now_ms - awaited->awaited_ms >= AWAITED_MS) {
            g_hash_table_iter_remove(&iter);
        }
        else if (awaited->ended_ms == 0) {
            nm_sched_silence_t silence = {
                .worker_hash = GPOINTER_TO_UINT(key),
                .incarnation = awaited->incarnation,
                .known_ms = MAX(awaited->since_ms, sched->began_ms)};
            visit(user, &silence);
        }
    }
}

void
nm_sched_on_silent_worker_ended(nm_sched_t *sched, uint32_t worker_hash,
                                int64_t incarnation, nm_ms_t sent_ms,
                                nm_ms_t now_ms)
{
    assert(sched);
    nm_awaited_t *awaited =
        g_hash_table_lookup(sched->awaited, GUINT_TO_POINTER(worker_hash));
    if (awaited && awaited->incarnation == incarnation) {
        awaited->ended_ms = sent_ms;
        awaited->awaited_ms = now_ms;
        sched->needs_placement = true;
    }
}

void
nm_crashes_resolve(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    for (uint32_t i = task->silence_count; i > 0; i--) {
        nm_silence_t silence = task->silences[i - 1];
        silence_state_t state = find_silence_state(sched, &silence);
        if (state.evidence != NM_CRASH_EVIDENCE_NONE) {
            remove_silence(sched, task, i - 1);
            count_crash(sched, task, silence.worker_hash);
            add_silence_event(sched, NM_SCHED_EVENT_CRASH_RESOLVED, task,
                              &silence, &state, task->crashes);
            check_given_up(sched, task, is_certain(&silence, &state), now_ms);
        }
        else if (has_survived(sched, &silence, state.node, now_ms) ||
                 now_ms - silence.since_ms >= SILENCE_MAX_MS)
        {
            remove_silence(sched, task, i - 1);
            add_silence_event(sched, NM_SCHED_EVENT_CRASH_UNPROVED, task,
                              &silence, &state, task->silence_count);
        }
    }
    check_given_up(sched, task, false, now_ms);
    note_awaited(sched, task, now_ms);
}

bool
nm_crashes_waits_for_workers(const nm_sched_t *sched, const nm_task_t *task,
                             nm_ms_t now_ms)
{
    return waits_for_silent_workers(sched, task, count_suspicions(task),
                                    now_ms);
}

bool
nm_crashes_must_wait(const nm_sched_t *sched, const nm_task_t *task,
                     nm_ms_t now_ms)
{
    uint32_t suspicions = count_suspicions(task);
    bool overdue = suspicions == 1 &&
                   now_ms - task->intent.since_ms >= INTENT_WAIT_MAX_MS;
    return task->occurrence->job->state >= NM_JOB_COMPLETED ||
           waits_for_silent_workers(sched, task, suspicions, now_ms) ||
           (task->intent.worker_hash != 0 && !intent_is_stored(task) &&
            !overdue);
}

nm_sched_node_t *
nm_crashes_intended_node(const nm_sched_t *sched, const nm_task_t *task)
{
    nm_sched_node_t *node = g_hash_table_lookup(
        sched->nodes_by_hash, GUINT_TO_POINTER(task->intent.worker_hash));
    return node && is_silence_of(&task->intent, node) ? node : NULL;
}

bool
nm_crashes_may_start(nm_sched_t *sched, nm_task_t *task,
                     const nm_sched_node_t *node, nm_ms_t now_ms)
{
    if (count_suspicions(task) == 0) {
        return true;
    }
    /*
     * What has waited once waits no more, if its worker is not free any more;
     * tasks of a gang would wait one after the other.  At most one start is
     * ahead of its record, as the intent before has to be stored; none in a
     * recovered job, as a former owner may have sent that one.
     */
    nm_sched_job_t *job = task->occurrence->job;
    bool starts = task->intent.worker_hash != 0 ||
                  nm_task_step(task)->is_gang ||
                  (!job->recovered && intent_is_stored(task) &&
                   store_keeps_up(sched, now_ms));
    nm_sched_mark_changed(sched, job, true);
    task->intent =
        (nm_silence_t){.worker_hash = node->id_hash,
                       .address_hash = own_address_hash(sched, node),
                       .incarnation = node->desc.incarnation,
                       .since_ms = now_ms};
    task->intent_seq = job->change_seq;
    job->has_intents = job->has_intents || !starts;
    return starts;
}

static bool
has_crashed_lately(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    return node->crashed_ms > 0 &&
           now_ms - node->crashed_ms < CRASHED_LATELY_MS;
}

void
nm_crashes_on_incarnation_end(nm_sched_t *sched, nm_sched_node_t *node,
                              nm_crash_evidence_t evidence, nm_ms_t now_ms)
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
            nm_sched_add_crash_event(
                sched, task, node,
                &(nm_sched_event_t){
                    .type = NM_SCHED_EVENT_RUN_LOST,
                    .value = MAX(node->alive_ms - task->begun_ms, 0),
                    .run = task->run,
                    .evidence = evidence});
            count_crash(sched, task, node->id_hash);
        }
        nm_crashes_clear_silence(sched, task, node);
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
        task->silence_count = 0;
        task->intent.worker_hash = 0;
        nm_sched_mark_changed(sched, task->occurrence->job, false);
    }
}

void
nm_crashes_on_start(nm_sched_node_t *node, const nm_task_t *task)
{
    if (count_suspicions(task) > 0) {
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
        uint32_t crashes = count_suspicions(task);
        if (crashes > crashes_max && task->begun_ms > 0 &&
            node->alive_ms - task->begun_ms < TRIAL_MS)
        {
            trial = task;
            crashes_max = crashes;
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
           MAX(count_suspicions(task), count_suspicions(trial)) >=
               ISOLATED_CRASHES_MIN;
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
    if (count_suspicions(task) == 0) {
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
