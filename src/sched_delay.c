/*
 * Delay of responses: shows whether the owner, or its links, are behind.
 *
 * Load: more starts than the owner's link carries.  Polls, which renew leases,
 * wait behind them, and time out, while all workers live.  A worker that is
 * late or silent alone, or with those of its data centre, is away; if most are
 * so at once, whichever calls they get, it is the owner that is behind, and
 * their silence is no sign that they are lost.
 *
 * The same delay bounds the starts in flight: the bound shrinks while
 * responses are late, and grows while they are not and it is reached.
 */
#include "sched_state.h"

/* A response that takes longer is late; the usual one between regions 150. */
#define LATE_MS 400
/*
 * Age from which the newest call of a worker shows nothing any more; the poll
 * of a worker with tasks ends within its wait and the timeout.
 */
#define CALL_AGE_MAX_MS 4500
/*
 * Share of the workers that are late from which the owner is behind; more than
 * two of three data centres.
 */
#define BEHIND_SHARE 0.7
/* With fewer workers called, their silence may well be their own. */
#define BEHIND_WORKERS_MIN 3
/* Each worker is heard of within this time once the owner has caught up. */
#define BEHIND_HOLD_MS 2000
#define CHECK_INTERVAL_MS 100
/* Calls in a sample, and share of late ones for the bound to shrink. */
#define SAMPLE_CALLS_MIN 10
#define SAMPLE_LATE_SHARE 0.5
/* Bounds of starts in flight, and how they change. */
#define STARTING_MIN 16
#define STARTING_CHANGE_INTERVAL_MS 200
#define STARTING_SHRINK_FACTOR 0.7
/* If most calls time out, the delay is several times the one aimed at. */
#define STARTING_LOSS_FACTOR 0.35
#define STARTING_GROWTH_FACTOR 1.3

void
nm_delay_init(nm_sched_t *sched, nm_ms_t now_ms)
{
    sched->delay = (nm_delay_t){.checked_ms = now_ms,
                                .starting_max = NM_SCHED_STARTING_MAX};
}

static void
record_call(nm_sched_node_t *node, bool late, nm_ms_t now_ms)
{
    node->called_ms = now_ms;
    node->call_was_late = late;
}

void
nm_delay_on_response(nm_sched_t *sched, nm_sched_node_t *node,
                     nm_ms_t delay_ms, nm_ms_t now_ms)
{
    record_call(node, delay_ms > LATE_MS, now_ms);
    sched->delay.calls++;
    sched->delay.late += delay_ms > LATE_MS;
}

void
nm_delay_on_loss(nm_sched_t *sched, nm_sched_node_t *node, nm_ms_t now_ms)
{
    record_call(node, true, now_ms);
    sched->delay.calls++;
    sched->delay.lost++;
}

static bool
most_workers_are_late(const nm_sched_t *sched, nm_ms_t now_ms)
{
    uint32_t called = 0;
    uint32_t late = 0;
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->called_ms > 0 && now_ms - node->called_ms < CALL_AGE_MAX_MS)
        {
            called++;
            late += node->call_was_late;
        }
    }
    return called >= BEHIND_WORKERS_MIN && late >= BEHIND_SHARE * called;
}

static void
change_starting_max(nm_delay_t *delay, double factor, nm_ms_t now_ms)
{
    if (now_ms - delay->starting_changed_ms < STARTING_CHANGE_INTERVAL_MS) {
        return;
    }
    delay->starting_changed_ms = now_ms;
    delay->starting_reached = false;
    delay->starting_max = CLAMP(delay->starting_max * factor, STARTING_MIN,
                                NM_SCHED_STARTING_MAX);
}

void
nm_delay_check(nm_sched_t *sched, nm_ms_t now_ms)
{
    nm_delay_t *delay = &sched->delay;
    if (now_ms - delay->checked_ms < CHECK_INTERVAL_MS) {
        return;
    }
    delay->checked_ms = now_ms;
    bool behind = most_workers_are_late(sched, now_ms);
    bool sampled = delay->calls >= SAMPLE_CALLS_MIN;
    if (behind) {
        delay->behind_until_ms = now_ms + BEHIND_HOLD_MS;
    }
    bool was_behind = delay->behind;
    delay->behind = nm_delay_is_behind(sched, now_ms);
    if (delay->behind != was_behind) {
        nm_sched_add_event(sched,
                           delay->behind ? NM_SCHED_EVENT_OWNER_BEHIND
                                         : NM_SCHED_EVENT_OWNER_CAUGHT_UP,
                           "", (int64_t)delay->starting_max);
    }
    double shrinks_from = SAMPLE_LATE_SHARE * delay->calls;
    if (sampled && delay->lost >= shrinks_from) {
        change_starting_max(delay, STARTING_LOSS_FACTOR, now_ms);
    }
    else if (behind || (sampled && delay->late + delay->lost >= shrinks_from))
    {
        change_starting_max(delay, STARTING_SHRINK_FACTOR, now_ms);
    }
    else if (sampled && delay->starting_reached) {
        change_starting_max(delay, STARTING_GROWTH_FACTOR, now_ms);
    }
    if (sampled) {
        delay->calls = 0;
        delay->late = 0;
        delay->lost = 0;
    }
}

bool
nm_delay_is_behind(const nm_sched_t *sched, nm_ms_t now_ms)
{
    return now_ms < sched->delay.behind_until_ms;
}
