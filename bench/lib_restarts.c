#include "lib_restarts.h"

#include <math.h>
#include <string.h>

#define SERVICE "press"
#define OTHER_SERVICE "forge"
#define LABEL "kind-a"
/* Separates the random numbers of this part from those of lib_fleet. */
#define SEED_OFFSET 0x9e3779b97f4a7c15ULL
#define LIMIT_MAX 2
#define FIRST_RESTART_MS 3000
#define DOWN_MIN_MS 300
#define DOWN_MAX_MS 1500
/* From the first report of an incarnation to its announcement. */
#define ANNOUNCE_MIN_MS 50
#define ANNOUNCE_MAX_MS 800
/* Shares of the restarts after which the worker is of another kind. */
#define LABEL_CHANGE_SHARE 0.2
#define SERVICE_CHANGE_SHARE 0.05
/* Share of the calls of each kind that get no response. */
#define UNANSWERED_SHARE 0.2
/* Share of these: starts carried out late, stops never carried out. */
#define MISSED_SHARE 0.5
/* Timeouts of the HTTP client, the second one beside the wait of a poll. */
#define ORDER_TIMEOUT_MS 450
#define POLL_MARGIN_MS 350
/* PROTOCOL.md: an unanswered start may be carried out seconds later. */
#define LATE_MIN_MS 2000
#define LATE_MAX_MS 12000
#define STOP_MIN_MS 20
#define STOP_MAX_MS 400

typedef struct {
    nm_sched_action_t action; /* without payload */
    worker_t *worker;
    nm_ms_t timeout_ms; /* NM_MS_NEVER: has timed out */
    nm_ms_t arrives_ms; /* NM_MS_NEVER: not carried out any more */
} unanswered_t;

static bool
draw(fleet_t *fleet, double share)
{
    return nm_rng_unit(&fleet->restarts_rng) < share;
}

static nm_ms_t
draw_ms(fleet_t *fleet, nm_ms_t min_ms, nm_ms_t max_ms)
{
    double range_ms = (double)(max_ms - min_ms);
    return min_ms + (nm_ms_t)(nm_rng_unit(&fleet->restarts_rng) * range_ms);
}

static nm_ms_t
draw_next_restart(fleet_t *fleet)
{
    double mean_ms = (double)fleet->desc.restart_interval_ms;
    if (mean_ms <= 0) {
        return NM_MS_NEVER;
    }
    return MAX(fleet->now_ms, FIRST_RESTART_MS) +
           (nm_ms_t)(-mean_ms * log(1 - nm_rng_unit(&fleet->restarts_rng)));
}

void
restarts_init(fleet_t *fleet)
{
    nm_rng_init(&fleet->restarts_rng, fleet->desc.seed + SEED_OFFSET);
    fleet->unanswered = g_array_new(FALSE, FALSE, sizeof(unanswered_t));
}

void
restarts_init_worker(fleet_t *fleet, worker_t *worker)
{
    worker->incarnation = 1;
    worker->heard = true;
    worker->announce_ms = NM_MS_NEVER;
    worker->refused =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    worker->labelled = draw(fleet, fleet->desc.labelled_share);
    worker->restart_ms = draw_next_restart(fleet);
}

void
restarts_announce(const fleet_t *fleet, const worker_t *worker)
{
    nm_sched_worker_t announced = {.incarnation = worker->incarnation,
                                   .cpu_milli = fleet->desc.cpu_milli,
                                   .memory_mb = 1000000,
                                   .label_count = worker->labelled ? 1 : 0};
    nm_strcopy(announced.id, sizeof(announced.id), worker->id);
    nm_strcopy(announced.service, sizeof(announced.service),
               worker->other_service ? OTHER_SERVICE : SERVICE);
    g_snprintf(announced.address, sizeof(announced.address), "%s:80",
               worker->id);
    nm_strcopy(announced.zone, sizeof(announced.zone),
               worker->evacuated ? FLEET_EVACUATED_ZONE : "");
    nm_strcopy(announced.labels[0], sizeof(announced.labels[0]),
               worker->labelled ? LABEL : "");
    nm_sched_set_worker(fleet->sched, &announced, fleet->now_ms);
    nm_sched_admit_worker(fleet->sched, worker->id);
}

void
restarts_restrict_step(fleet_t *fleet, nm_step_t *step)
{
    if (draw(fleet, fleet->desc.limited_step_share)) {
        step->per_worker_max =
            1 + (uint32_t)nm_rng_below(&fleet->restarts_rng, LIMIT_MAX);
    }
    if (draw(fleet, fleet->desc.labelled_step_share)) {
        nm_strcopy(step->label, sizeof(step->label), LABEL);
    }
}

static void
lose_poll(worker_t *worker)
{
    if (!worker->poll_lost) {
        worker->poll_lost = true;
        worker->poll_until_ms += worker->poll_margin_ms;
    }
}

static void
restart(fleet_t *fleet, worker_t *worker)
{
    fleet_drop_runs(fleet, worker);
    g_array_set_size(worker->ends, 0);
    g_hash_table_remove_all(worker->refused);
    worker->last_end = 0;
    if (worker->poll_pending) {
        lose_poll(worker);
    }
    worker->incarnation++;
    worker->heard = false;
    worker->announce_ms = NM_MS_NEVER;
    worker->announce_delay_ms =
        draw_ms(fleet, ANNOUNCE_MIN_MS, ANNOUNCE_MAX_MS);
    worker->up_ms = fleet->now_ms + draw_ms(fleet, DOWN_MIN_MS, DOWN_MAX_MS);
    worker->born_ms = worker->up_ms;
    worker->restart_ms = MAX(draw_next_restart(fleet), worker->up_ms);
    if (worker->other_service || draw(fleet, SERVICE_CHANGE_SHARE)) {
        worker->other_service = !worker->other_service;
    }
    if (draw(fleet, LABEL_CHANGE_SHARE)) {
        worker->labelled = draw(fleet, fleet->desc.labelled_share);
    }
    fleet->info.restarts++;
}

void
restarts_tick_worker(fleet_t *fleet, worker_t *worker)
{
    if (fleet->now_ms >= worker->restart_ms) {
        restart(fleet, worker);
    }
    if (fleet->now_ms >= worker->announce_ms) {
        worker->announce_ms = NM_MS_NEVER;
        restarts_announce(fleet, worker);
    }
}

void
restarts_on_report(const fleet_t *fleet, worker_t *worker)
{
    if (!worker->heard) {
        worker->heard = true;
        worker->announce_ms = fleet->now_ms + worker->announce_delay_ms;
    }
}

static bool
is_refused(const worker_t *worker, const char *task, int64_t run)
{
    const int64_t *newest = g_hash_table_lookup(worker->refused, task);
    return newest && run <= *newest;
}

void
restarts_refuse(worker_t *worker, const char *task, int64_t run)
{
    if (!is_refused(worker, task, run)) {
        g_hash_table_insert(worker->refused, g_strdup(task),
                            g_memdup2(&run, sizeof(run)));
    }
}

static nm_order_result_t
carry_out(fleet_t *fleet, worker_t *worker, const nm_sched_action_t *action)
{
    if (is_refused(worker, action->task, action->run)) {
        return NM_ORDER_SUPERSEDED;
    }
    if (!fleet_find_run(worker, action->task, action->run)) {
        fleet_start_run(fleet, worker, action);
    }
    return NM_ORDER_DONE;
}

static void
add_unanswered(fleet_t *fleet, worker_t *worker,
               const nm_sched_action_t *action, nm_ms_t arrives_ms)
{
    nm_ms_t timeout_ms =
        action->timeout_ms > 0 ? action->timeout_ms : ORDER_TIMEOUT_MS;
    unanswered_t call = {.action = *action,
                         .worker = worker,
                         .timeout_ms = fleet->now_ms + timeout_ms,
                         .arrives_ms = arrives_ms};
    call.action.payload = "";
    /* Only whether there is one counts: what is left is kept by task. */
    call.action.checkpoint = action->checkpoint[0] ? "saved" : "";
    g_array_append_val(fleet->unanswered, call);
}

void
restarts_start(fleet_t *fleet, worker_t *worker,
               const nm_sched_action_t *action)
{
    bool down = fleet->now_ms < worker->up_ms;
    if (!down && !draw(fleet, UNANSWERED_SHARE)) {
        nm_order_result_t result = carry_out(fleet, worker, action);
        nm_sched_on_start(fleet->sched, action, result, fleet->now_ms);
        return;
    }
    if (down || draw(fleet, MISSED_SHARE)) {
        nm_ms_t late_ms = draw_ms(fleet, LATE_MIN_MS, LATE_MAX_MS);
        add_unanswered(fleet, worker, action, fleet->now_ms + late_ms);
        return;
    }
    carry_out(fleet, worker, action);
    add_unanswered(fleet, worker, action, NM_MS_NEVER);
}

static void
stop_run(fleet_t *fleet, worker_t *worker, const nm_sched_action_t *action)
{
    run_t *run = fleet_find_run(worker, action->task, action->run);
    if (run && !run->stopping) {
        run->stopping = true;
        run->stopped_ms =
            fleet->now_ms + draw_ms(fleet, STOP_MIN_MS, STOP_MAX_MS);
    }
    restarts_refuse(worker, action->task, action->run);
}

void
restarts_stop(fleet_t *fleet, worker_t *worker,
              const nm_sched_action_t *action)
{
    bool down = fleet->now_ms < worker->up_ms;
    bool answered = !down && !draw(fleet, UNANSWERED_SHARE);
    if (answered || (!down && !draw(fleet, MISSED_SHARE))) {
        stop_run(fleet, worker, action);
    }
    if (answered) {
        nm_sched_on_stop(fleet->sched, action, NM_ORDER_DONE, fleet->now_ms);
        return;
    }
    add_unanswered(fleet, worker, action, NM_MS_NEVER);
}

void
restarts_poll(fleet_t *fleet, worker_t *worker,
              const nm_sched_action_t *action)
{
    if (fleet->desc.restart_interval_ms == 0) {
        return;
    }
    worker->poll_margin_ms =
        action->timeout_ms > 0 ? action->timeout_ms : POLL_MARGIN_MS;
    if (fleet->now_ms < worker->up_ms || draw(fleet, UNANSWERED_SHARE)) {
        lose_poll(worker);
    }
}

static void
arrive_late(fleet_t *fleet, const unanswered_t *start)
{
    worker_t *worker = start->worker;
    nm_ms_t clock_ms = fleet->now_ms - worker->born_ms;
    if (fleet->now_ms >= worker->up_ms &&
        start->action.incarnation < worker->incarnation &&
        start->action.expiry_ms > clock_ms)
    {
        uint32_t starts = fleet->info.starts;
        carry_out(fleet, worker, &start->action);
        fleet->info.late_starts += fleet->info.starts - starts;
    }
}

void
restarts_deliver(fleet_t *fleet)
{
    for (guint i = fleet->unanswered->len; i > 0; i--) {
        unanswered_t *call =
            &g_array_index(fleet->unanswered, unanswered_t, i - 1);
        if (fleet->now_ms >= call->timeout_ms) {
            call->timeout_ms = NM_MS_NEVER;
            if (call->action.type == NM_ACTION_START) {
                nm_sched_on_start(fleet->sched, &call->action,
                                  NM_ORDER_UNKNOWN, fleet->now_ms);
            }
            else {
                nm_sched_on_stop(fleet->sched, &call->action, NM_ORDER_UNKNOWN,
                                 fleet->now_ms);
            }
        }
        if (fleet->now_ms >= call->arrives_ms) {
            arrive_late(fleet, call);
            call->arrives_ms = NM_MS_NEVER;
        }
        if (call->timeout_ms == NM_MS_NEVER && call->arrives_ms == NM_MS_NEVER)
        {
            g_array_remove_index(fleet->unanswered, i - 1);
        }
    }
}

/*
 * True if the scheduler started a run of the task knowingly, or has heard of
 * the incarnation that carried it out late, and had to stop it there first.
 */
static bool
has_known_run(const fleet_t *fleet, const char *task)
{
    for (uint32_t w = 0; w < fleet->desc.workers; w++) {
        const worker_t *worker = &fleet->workers[w];
        for (guint i = 0; i < worker->runs->len; i++) {
            const run_t *run = &g_array_index(worker->runs, run_t, i);
            if (strcmp(run->task, task) == 0 &&
                (!run->unaddressed || worker->heard)) {
                return true;
            }
        }
    }
    return false;
}

void
restarts_count_duplicate(fleet_t *fleet, const worker_t *worker,
                         const nm_sched_action_t *action)
{
    fleet->info.duplicate_runs++;
    bool late = action->incarnation != worker->incarnation;
    fleet->info.known_duplicates +=
        late ? worker->heard : has_known_run(fleet, action->task);
}

/* True for tasks of one step, in one occurrence: only the index differs. */
static bool
is_same_step(const char *task, const char *other)
{
    size_t length = (size_t)(strrchr(task, '.') - task) + 1;
    return strncmp(task, other, length) == 0;
}

static void
check_capacity(fleet_t *fleet, const worker_t *worker, const run_t *run)
{
    int64_t used = 0;
    bool addressed = false;
    for (guint i = 0; i < worker->runs->len; i++) {
        const run_t *other = &g_array_index(worker->runs, run_t, i);
        if (other->reserves_cpu) {
            used += other->cpu_milli;
            addressed = addressed || !other->unaddressed;
        }
    }
    if (run->reserves_cpu && used > fleet->desc.cpu_milli && addressed) {
        fleet->info.over_capacity++;
        fleet->info.late_over_capacity += run->unaddressed;
    }
}

static void
check_limit(fleet_t *fleet, const worker_t *worker, const run_t *run,
            uint32_t limit)
{
    uint32_t count = 0;
    bool addressed = false;
    for (guint i = 0; i < worker->runs->len; i++) {
        const run_t *other = &g_array_index(worker->runs, run_t, i);
        if (is_same_step(run->task, other->task)) {
            count++;
            addressed = addressed || !other->unaddressed;
        }
    }
    fleet->info.limited_starts += limit > 0;
    if (limit > 0 && count > limit && addressed) {
        fleet->info.over_limit++;
        fleet->info.late_over_limit += run->unaddressed;
    }
}

void
restarts_check_start(fleet_t *fleet, const worker_t *worker, const run_t *run,
                     const nm_step_t *step)
{
    check_capacity(fleet, worker, run);
    check_limit(fleet, worker, run, step->per_worker_max);
    bool needs_label = step->label[0] != '\0';
    fleet->info.labelled_starts += needs_label;
    if (!run->unaddressed) {
        fleet->info.wrong_service += worker->other_service;
        fleet->info.label_missing += needs_label && !worker->labelled;
    }
}
