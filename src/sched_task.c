/*
 * State of tasks and jobs: which worker a task is on, what the end of a run
 * changes, when a job has ended; and the start and stop orders of a task.
 */
#include "sched_state.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

/*
 * Run numbers of an owner begin at (epoch - 1) times this, so that they are
 * higher than those of earlier owners.
 */
#define RUNS_PER_EPOCH 1000000
/* Part of the memory for jobs that checkpoints take in addition. */
#define CHECKPOINTS_MEMORY_SHARE 4
/* A start has expired on its worker's clock this long after it was sent. */
#define START_EXPIRY_MAX_MS                                                   \
    ((nm_ms_t)(NM_SCHED_START_VALID_MS * NM_SCHED_CLOCK_SLOW_FACTOR) +        \
     NM_SCHED_LAPSE_MARGIN_MS)

void
nm_sched_task_name(const nm_task_t *task, char *name, size_t size)
{
    snprintf(name, size, "%s.%u.%u.%u", task->occurrence->job->spec.id,
             task->occurrence->number, (unsigned int)task->step, task->index);
}

bool
nm_sched_parse_task_name(const nm_sched_t *sched, const char *name,
                         nm_task_position_t *position)
{
    char id[NM_JOB_ID_MAX];
    const char *dot = strchr(name, '.');
    if (!dot || (size_t)(dot - name) >= sizeof(id)) {
        return false;
    }
    memcpy(id, name, (size_t)(dot - name));
    id[dot - name] = '\0';
    nm_sched_job_t *job = g_hash_table_lookup(sched->jobs, id);
    char *end;
    unsigned long occurrence = strtoul(dot + 1, &end, 10);
    if (!job || *end != '.' || occurrence >= job->occurrence_count) {
        return false;
    }
    unsigned long step = strtoul(end + 1, &end, 10);
    if (*end != '.' || step >= job->spec.step_count) {
        return false;
    }
    unsigned long index = strtoul(end + 1, &end, 10);
    if (*end != '\0' || index >= job->spec.steps[step].task_count) {
        return false;
    }
    *position = (nm_task_position_t){job, (uint32_t)occurrence, (uint32_t)step,
                                     (uint32_t)index};
    return true;
}

nm_task_t *
nm_sched_find_task(nm_sched_t *sched, const char *name)
{
    nm_task_position_t at;
    if (!nm_sched_parse_task_name(sched, name, &at)) {
        return NULL;
    }
    const nm_occurrence_t *occurrence =
        nm_occurrences_find(at.job, at.occurrence);
    return occurrence ? &occurrence->tasks[at.step][at.index] : NULL;
}

void
nm_task_set_checkpoint(nm_sched_t *sched, nm_task_t *task,
                       const char *checkpoint)
{
    uint64_t max_bytes =
        sched->desc.memory_max_bytes / CHECKPOINTS_MEMORY_SHARE;
    uint64_t known_bytes = task->checkpoint ? strlen(task->checkpoint) + 1 : 0;
    uint64_t bytes = checkpoint ? strlen(checkpoint) + 1 : 0;
    uint64_t others_bytes = sched->checkpoint_bytes - known_bytes;
    if (max_bytes > 0 && bytes > known_bytes &&
        others_bytes + bytes > max_bytes) {
        nm_count_reason(NM_REASON_CHECKPOINT_DROPPED);
        return;
    }
    sched->checkpoint_bytes = others_bytes + bytes;
    g_free(task->checkpoint);
    task->checkpoint = g_strdup(checkpoint);
}

nm_load_t
nm_step_load(const nm_step_t *step)
{
    return (nm_load_t){.cpu_milli = step->cpu_milli,
                       .memory_mb = step->memory_mb,
                       .accelerators = step->accelerators,
                       .is_filler = step->is_filler,
                       .long_running = step->long_running,
                       .is_serving = step->target_ms > 0};
}

void
nm_node_add_load(nm_sched_node_t *node, const nm_load_t *load, int32_t sign)
{
    int64_t cpu_milli = sign * load->cpu_milli;
    int64_t memory_mb = sign * load->memory_mb;
    node->interference_valid = false;
    node->memory_used_mb += memory_mb;
    node->accelerators_used += sign * load->accelerators;
    if (load->is_filler) {
        node->filler_count += (uint32_t)sign;
        node->filler_memory_mb += memory_mb;
        node->filler_cpu_milli += cpu_milli;
    }
    else {
        node->cpu_used_milli += cpu_milli;
    }
    if (load->long_running && !load->is_filler) {
        node->long_running_cpu_milli += cpu_milli;
    }
    if (load->is_serving) {
        node->serving_count += (uint32_t)sign;
        node->serving_cpu_milli += cpu_milli;
    }
}

/*
 * Counts a task for its job if it works or starts; sign -1: no longer.  One
 * that is paused or being stopped, or on a worker that is silent, does not
 * keep the job from being idle.
 */
static void
count_working(const nm_task_t *task, int32_t sign)
{
    nm_sched_job_t *job = task->occurrence->job;
    if (!task->node || !task->node->reachable || task->wanted_percent == 0 ||
        task->state == NM_RUN_STOPPING)
    {
        return;
    }
    job->working_count += (uint32_t)sign;
    if (sign > 0 && task->state == NM_RUN_RUNNING) {
        job->idle_since_ms = 0;
    }
}

void
nm_node_set_reachable(nm_sched_node_t *node, bool reachable)
{
    for (guint i = 0; i < node->tasks->len; i++) {
        count_working(node->tasks->pdata[i], -1);
    }
    node->reachable = reachable;
    for (guint i = 0; i < node->tasks->len; i++) {
        count_working(node->tasks->pdata[i], 1);
    }
}

/* Adds a slowed filler to the sums of its node; sign -1: removes it. */
static void
add_slowed(const nm_task_t *task, int32_t sign)
{
    if (!nm_task_step(task)->is_filler || !nm_task_is_slowed(task)) {
        return;
    }
    task->node->slowed_cpu_milli += sign * nm_task_step(task)->cpu_milli;
}

void
nm_task_set_speed(nm_task_t *task, uint32_t percent)
{
    add_slowed(task, -1);
    count_working(task, -1);
    task->starts_slowed = false;
    task->wanted_percent = percent;
    add_slowed(task, 1);
    count_working(task, 1);
}

void
nm_task_attach(nm_task_t *task, nm_sched_node_t *node)
{
    assert(!task->node);
    nm_load_t load = nm_step_load(nm_task_step(task));
    task->node = node;
    task->listed_in_report = 0;
    task->occurrence->job->attached_count++;
    g_ptr_array_add(node->tasks, task);
    nm_node_add_load(node, &load, 1);
    add_slowed(task, 1);
    count_working(task, 1);
}

void
nm_task_detach(nm_task_t *task)
{
    nm_sched_node_t *node = task->node;
    if (!node) {
        return;
    }
    nm_load_t load = nm_step_load(nm_task_step(task));
    count_working(task, -1);
    task->occurrence->job->attached_count--;
    g_ptr_array_remove_fast(node->tasks, task);
    nm_node_add_load(node, &load, -1);
    add_slowed(task, -1);
    task->node = NULL;
}

double
nm_task_filler_share(const nm_task_t *task)
{
    return (double)nm_task_step(task)->cpu_milli * task->wanted_percent /
           100.0 / (double)MAX(task->node->desc.cpu_milli, 1);
}

nm_ms_t
nm_task_filler_since_ms(const nm_task_t *task)
{
    return MAX(task->throttled_ms,
               task->started_ms > 0 ? task->started_ms : task->sent_ms);
}

void
nm_task_record_filler_span(const nm_task_t *task, nm_ms_t now_ms)
{
    nm_sched_node_t *node = task->node;
    uint32_t i = node->ended_filler_count++ % NM_SCHED_ENDED_FILLERS_MAX;
    node->ended_fillers[i] = (nm_filler_span_t){
        .load = {nm_task_image(task), nm_task_filler_share(task)},
        .begin_ms = nm_task_filler_since_ms(task),
        .end_ms = now_ms,
    };
}

void
nm_sched_queue_save(nm_sched_t *sched, nm_sched_job_t *job)
{
    GQueue *queue = job->urgent ? &sched->urgent : &sched->dirty;
    if (job->save_queue == queue) {
        return;
    }
    if (job->save_queue) {
        g_queue_unlink(job->save_queue, &job->save_link);
    }
    job->save_queue = queue;
    job->save_link.data = job;
    g_queue_push_tail_link(queue, &job->save_link);
}

void
nm_sched_mark_changed(nm_sched_t *sched, nm_sched_job_t *job, bool urgent)
{
    job->change_seq = ++sched->change_seq;
    if (!job->save_queue && !job->saving) {
        job->first_unsaved_seq = job->change_seq;
    }
    job->urgent = job->urgent || urgent;
    if (!job->unsaved_link.data) {
        job->unsaved_link.data = job;
        g_queue_push_tail_link(&sched->unsaved, &job->unsaved_link);
    }
    if (!job->saving) {
        nm_sched_queue_save(sched, job);
    }
}

bool
nm_occurrence_step_is_ready(const nm_occurrence_t *occurrence, uint32_t step)
{
    const nm_step_t *desc = &occurrence->job->spec.steps[step];
    for (uint32_t i = 0; i < desc->after_count; i++) {
        if (occurrence->unfinished[desc->after[i]] > 0) {
            return false;
        }
    }
    return true;
}

bool
nm_task_is_interrupted(const nm_task_t *task)
{
    return task->state == NM_RUN_WAITING && nm_task_step(task)->long_running &&
           (task->run > 0 || task->occurrence->job->recovered);
}

uint32_t
nm_occurrence_count_interrupted(const nm_occurrence_t *occurrence,
                                uint32_t step)
{
    uint32_t interrupted = 0;
    uint32_t count = occurrence->job->spec.steps[step].task_count;
    for (uint32_t i = 0; i < count; i++) {
        interrupted += nm_task_is_interrupted(&occurrence->tasks[step][i]);
    }
    return interrupted;
}

void
nm_occurrence_record_interrupted(nm_occurrence_t *occurrence, uint32_t step,
                                 nm_ms_t now_ms)
{
    if (occurrence->interrupted_since_ms[step] == 0 &&
        occurrence->job->spec.steps[step].long_running &&
        nm_occurrence_count_interrupted(occurrence, step) > 0)
    {
        occurrence->interrupted_since_ms[step] = now_ms;
    }
}

/*
 * Ends the wait of a step once all interrupted tasks run: a start that is
 * refused does not begin a new wait.
 */
static void
end_wait_if_all_run(const nm_task_t *task)
{
    nm_occurrence_t *occurrence = task->occurrence;
    uint32_t step = task->step;
    if (occurrence->interrupted_since_ms[step] == 0 ||
        nm_occurrence_count_interrupted(occurrence, step) > 0)
    {
        return;
    }
    for (uint32_t i = 0; i < nm_task_step(task)->task_count; i++) {
        const nm_task_t *other = &occurrence->tasks[step][i];
        if (other->state == NM_RUN_STARTING ||
            (other->state == NM_RUN_STOPPING && other->withdrawn))
        {
            return;
        }
    }
    occurrence->interrupted_since_ms[step] = 0;
}

void
nm_task_set_state(nm_sched_t *sched, nm_task_t *task, nm_run_state_t state)
{
    sched->starting_count -= task->state == NM_RUN_STARTING;
    sched->starting_count += state == NM_RUN_STARTING;
    sched->awaiting_count -= task->awaits_report;
    task->awaits_report = false;
    count_working(task, -1);
    task->state = state;
    count_working(task, 1);
    if (state == NM_RUN_RUNNING) {
        end_wait_if_all_run(task);
    }
}

static void
end_surplus_run(nm_sched_t *sched, nm_task_t *task)
{
    task->run_is_surplus = false;
    nm_task_set_state(sched, task, NM_RUN_DONE);
    sched->needs_placement = true;
}

void
nm_task_requeue(nm_sched_t *sched, nm_task_t *task)
{
    assert(task->state != NM_RUN_DONE);
    if (task->node) {
        nm_timer_set_now(sched, task->node);
        nm_crashes_clear_silence(sched, task, task->node);
    }
    nm_task_detach(task);
    if (task->run_is_surplus) {
        end_surplus_run(sched, task);
        return;
    }
    if (task->state != NM_RUN_WAITING) {
        task->occurrence->waiting[task->step]++;
    }
    nm_task_set_state(sched, task, NM_RUN_WAITING);
    task->order_pending = false;
    task->withdrawn = false;
    task->tries = 0;
    task->percent = 100;
    task->wanted_percent = 100;
    task->starts_slowed = false;
    task->over_since_ms = 0;
    task->throttled_ms = 0;
    task->metric = 0;
    sched->needs_placement = true;
}

void
nm_task_set_unknown(nm_sched_t *sched, nm_task_t *task)
{
    assert(task->state == NM_RUN_WAITING);
    task->occurrence->waiting[task->step]--;
    nm_task_set_state(sched, task, NM_RUN_UNKNOWN);
    sched->has_unknown_runs = true;
}

/*
 * Marks a task done by the end of a run.  A later run of it, started when the
 * first one was taken for lost, is surplus: it is stopped, and holds its room
 * until its end is known.
 */
static void
mark_task_done(nm_sched_t *sched, nm_task_t *task, int64_t run, nm_ms_t now_ms)
{
    if (nm_task_is_done(task)) {
        if (task->run_is_surplus && task->run == run) {
            nm_task_requeue(sched, task);
        }
        return;
    }
    nm_sched_job_t *job = task->occurrence->job;
    nm_estimate_on_done(sched, task, run, now_ms);
    if (task->node) {
        nm_timer_set_now(sched, task->node);
    }
    if (task->state == NM_RUN_WAITING) {
        task->occurrence->waiting[task->step]--;
    }
    if (task->node && task->run != run) {
        if (task->state != NM_RUN_STOPPING) {
            nm_sched_stop_task(sched, task, now_ms);
        }
        task->run_is_surplus = true;
    }
    else {
        nm_task_detach(task);
        nm_task_set_state(sched, task, NM_RUN_DONE);
    }
    task->occurrence->unfinished[task->step]--;
    const nm_step_t *step = nm_task_step(task);
    job->core_ms_left -= step->cpu_milli * step->estimate_ms / 1000;
    sched->needs_placement = true;
    nm_sched_mark_changed(sched, job, false);
}

static bool
occurrence_is_finished(const nm_occurrence_t *occurrence)
{
    for (uint32_t i = 0; i < occurrence->job->spec.step_count; i++) {
        if (occurrence->unfinished[i] > 0) {
            return false;
        }
    }
    return true;
}

static void
stop_all_tasks(nm_sched_t *sched, nm_sched_job_t *job, nm_ms_t now_ms)
{
    for (guint o = 0; o < job->occurrences->len; o++) {
        const nm_occurrence_t *occurrence = job->occurrences->pdata[o];
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            for (uint32_t i = 0; i < job->spec.steps[s].task_count; i++) {
                nm_sched_stop_task(sched, &occurrence->tasks[s][i], now_ms);
            }
        }
    }
}

static void
end_job(nm_sched_t *sched, nm_sched_job_t *job, nm_job_state_t state,
        nm_ms_t now_ms)
{
    if (job->state >= NM_JOB_COMPLETED) {
        return;
    }
    job->state = state;
    job->ended_ms = now_ms;
    g_queue_push_tail(&sched->ended, job);
    nm_occurrences_on_job_end(sched, job);
    nm_sched_mark_changed(sched, job, true);
    if (state != NM_JOB_COMPLETED) {
        stop_all_tasks(sched, job, now_ms);
    }
}

void
nm_job_check_end(nm_sched_t *sched, nm_sched_job_t *job, nm_ms_t now_ms)
{
    if (job->state >= NM_JOB_COMPLETED) {
        return;
    }
    if (job->cancelled) {
        end_job(sched, job, NM_JOB_CANCELLED, now_ms);
        return;
    }
    bool finished = job->begun_count == job->occurrence_count;
    for (guint o = 0; o < job->occurrences->len; o++) {
        nm_occurrence_t *occurrence = job->occurrences->pdata[o];
        if (!occurrence->finished && occurrence_is_finished(occurrence)) {
            occurrence->finished = true;
            occurrence->finished_ms = now_ms;
        }
        finished = finished && occurrence->finished;
    }
    if (finished) {
        end_job(sched, job, NM_JOB_COMPLETED, now_ms);
    }
}

void
nm_job_fail(nm_sched_t *sched, nm_sched_job_t *job, nm_job_failure_t failure,
            nm_ms_t now_ms)
{
    if (job->state < NM_JOB_COMPLETED) {
        job->failure = failure;
    }
    end_job(sched, job, NM_JOB_FAILED, now_ms);
}

void
nm_job_record_begun(const nm_task_t *task)
{
    if (task && task->occurrence->job->state == NM_JOB_QUEUED) {
        task->occurrence->job->state = NM_JOB_RUNNING;
        task->occurrence->job->visible_state = NM_JOB_RUNNING;
    }
}

void
nm_task_set_started(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    nm_sched_job_t *job = task->occurrence->job;
    nm_task_set_state(sched, task, NM_RUN_RUNNING);
    task->tries = 0;
    task->sent_ms = now_ms;
    task->started_ms = now_ms;
    task->observed = true;
    task->progress_ms = now_ms;
    if (job->first_start_ms == 0) {
        job->first_start_ms = now_ms;
    }
}

static bool
failure_is_counted(const nm_task_t *task, int64_t run)
{
    for (uint32_t i = 0; i < NM_SCHED_FAILED_RUNS_MAX; i++) {
        if (task->failed_runs[i] == run) {
            return true;
        }
    }
    return false;
}

void
nm_task_count_failure(nm_sched_t *sched, nm_task_t *task, int64_t run,
                      nm_ms_t now_ms)
{
    nm_sched_job_t *job = task->occurrence->job;
    if (nm_task_is_done(task) || nm_task_step(task)->long_running ||
        failure_is_counted(task, run))
    {
        return;
    }
    task->failed_runs[task->failures % NM_SCHED_FAILED_RUNS_MAX] = run;
    task->failures++;
    nm_sched_mark_changed(sched, job, false);
    uint32_t attempts_max = nm_job_attempts_max(job);
    if (attempts_max > 0 && task->failures >= attempts_max) {
        nm_job_fail(sched, job, NM_JOB_FAILURE_ATTEMPTS, now_ms);
    }
}

/* Marks all members of a gang done, as its run is done once one of them is. */
static void
mark_gang_done(nm_sched_t *sched, nm_task_t *task, int64_t run, nm_ms_t now_ms)
{
    nm_occurrence_t *occurrence = task->occurrence;
    for (uint32_t i = 0; i < nm_task_step(task)->task_count; i++) {
        mark_task_done(sched, &occurrence->tasks[task->step][i], run, now_ms);
    }
}

void
nm_task_apply_end(nm_sched_t *sched, nm_task_t *task, nm_end_t end,
                  int64_t run, nm_ms_t now_ms)
{
    bool was_unknown = task->state == NM_RUN_UNKNOWN;
    if (task->node && nm_task_step(task)->is_filler) {
        nm_task_record_filler_span(task, now_ms);
    }
    if (end == NM_END_DONE) {
        if (nm_task_step(task)->is_gang) {
            mark_gang_done(sched, task, run, now_ms);
        }
        mark_task_done(sched, task, run, now_ms);
        nm_job_check_end(sched, task->occurrence->job, now_ms);
        return;
    }
    if (!was_unknown) {
        nm_task_requeue(sched, task);
    }
}

int64_t
nm_node_clock_ms(const nm_sched_node_t *node, nm_ms_t now_ms)
{
    double elapsed_ms = (double)(now_ms - node->clock_at_ms);
    return node->clock_ms + (int64_t)(elapsed_ms / NM_SCHED_CLOCK_SLOW_FACTOR);
}

static nm_ms_t
order_timeout_ms(const nm_sched_t *sched)
{
    if (nm_delay_is_behind(sched, sched->now_ms)) {
        return NM_SCHED_BEHIND_TIMEOUT_MS;
    }
    return sched->lossy ? NM_SCHED_LOSSY_TIMEOUT_MS : 0;
}

nm_sched_action_t *
nm_sched_add_action(nm_sched_t *sched, nm_sched_node_t *node,
                    nm_sched_action_type_t type)
{
    nm_sched_action_t action = {.type = type,
                                .incarnation = node->desc.incarnation,
                                .fence_seq = node->fence_seq,
                                .timeout_ms = order_timeout_ms(sched),
                                .payload = "",
                                .checkpoint = ""};
    nm_strcopy(action.worker, sizeof(action.worker), node->desc.id);
    nm_strcopy(action.address, sizeof(action.address), node->desc.address);
    g_array_append_val(sched->actions, action);
    return &g_array_index(sched->actions, nm_sched_action_t,
                          sched->actions->len - 1);
}

/*
 * Extends the time at which a worker's lease is sure to have lapsed.  A lease
 * counts once it is sent, whether or not the worker responds.
 */
static void
extend_lease(nm_sched_node_t *node, int64_t expiry_ms, nm_ms_t now_ms)
{
    int64_t remaining_ms = expiry_ms - nm_node_clock_ms(node, now_ms);
    nm_ms_t lapse_ms =
        now_ms + (nm_ms_t)((double)remaining_ms * NM_SCHED_CLOCK_SLOW_FACTOR) +
        NM_SCHED_LAPSE_MARGIN_MS;
    node->lease_lapse_ms = MAX(node->lease_lapse_ms, lapse_ms);
}

static void
send_start(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    nm_sched_node_t *node = task->node;
    nm_sched_action_t *action =
        nm_sched_add_action(sched, node, NM_ACTION_START);
    nm_sched_task_name(task, action->task, sizeof(action->task));
    action->run = task->run;
    action->payload = task->occurrence->job->spec.payload;
    action->checkpoint = task->checkpoint ? task->checkpoint : "";
    action->expiry_ms =
        nm_node_clock_ms(node, now_ms) + NM_SCHED_START_VALID_MS;
    action->valid_ms = NM_SCHED_START_VALID_MS;
    extend_lease(node, action->expiry_ms, now_ms);
    node->starts_in_flight++;
    task->starts_in_flight++;
    task->start_expires_ms = now_ms + START_EXPIRY_MAX_MS;
    task->sent_ms = now_ms;
    task->order_pending = true;
    task->tries++;
    if (sched->ids_reused) {
        node->retry_due_ms =
            MIN(node->retry_due_ms, now_ms + NM_SCHED_OPEN_STORED_MS);
    }
    if (task->tries > 1) {
        nm_sched_add_start_event(sched, NM_SCHED_EVENT_START_RESENT, action);
    }
}

void
nm_sched_start_task(nm_sched_t *sched, nm_task_t *task, nm_sched_node_t *node,
                    int64_t run, nm_ms_t now_ms)
{
    if (task->state == NM_RUN_WAITING) {
        int64_t run_min = (sched->desc.epoch - 1) * RUNS_PER_EPOCH + 1;
        task->run = MAX(MAX(task->run + 1, run), run_min);
        task->occurrence->waiting[task->step]--;
        nm_task_set_state(sched, task, NM_RUN_STARTING);
        task->tries = 0;
        task->resent = false;
        task->is_resumed = task->checkpoint != NULL;
        task->begun_ms = now_ms;
        nm_crashes_on_start(node, task);
        task->percent = 100;
        task->wanted_percent = 100;
        nm_task_attach(task, node);
        if (nm_task_step(task)->is_filler) {
            sched->filler_started_ms = now_ms;
        }
    }
    else {
        task->resent = true;
    }
    nm_timer_set_now(sched, node);
    send_start(sched, task, now_ms);
}

void
nm_sched_stop_task(nm_sched_t *sched, nm_task_t *task, nm_ms_t now_ms)
{
    if (task->state == NM_RUN_STARTING) {
        task->withdrawn = true;
    }
    else if (task->state != NM_RUN_RUNNING && task->state != NM_RUN_STOPPING) {
        return;
    }
    nm_task_set_state(sched, task, NM_RUN_STOPPING);
    nm_sched_action_t *action =
        nm_sched_add_action(sched, task->node, NM_ACTION_STOP);
    nm_sched_task_name(task, action->task, sizeof(action->task));
    action->run = task->run;
    task->sent_ms = now_ms;
    task->order_pending = true;
    task->tries++;
}
