/*
 * Delay of responses: shows whether the owner, or its links, are behind.
 *
 * Load: more starts than the owner's link carries.  Polls, which renew leases,
 * wait behind them, and time out, while all workers live.  A call that is lost
 * says nothing here, as its worker may be away; a response that comes late
 * shows a worker that lives.  If many come late, from whichever workers, it is
 * the owner that is behind: silence is no sign of a lost worker then.
 *
 * The same delay bounds the starts in flight: the bound shrinks while
 * responses are late, and grows while they are not and it is reached.
 */
#include "sched_state.h"

/* A response that takes longer is late; the usual one between regions 150. */
#define LATE_MS 400
/*
 * Responses in a sample: so many at least, and a share of the workers, so that
 * one slow carrier is no sample.  An older sample is discarded.
 */
#define SAMPLE_RESPONSES_MIN 10
#define SAMPLE_WORKERS_SHARE 0.1
#define SAMPLE_MS_MAX 1000
/* Share of late responses in a sample from which the owner is behind. */
#define BEHIND_SHARE 0.25
/* The owner counts as behind for this long after the last such sample. */
#define BEHIND_MS 5000
/* Bounds of starts in flight, and how they change. */
#define STARTING_MIN 16
#define STARTING_CHANGE_INTERVAL_MS 200
#define STARTING_SHRINK_FACTOR 0.7
#define STARTING_GROWTH_FACTOR 1.15

void
nm_delay_init(nm_sched_t *sched, nm_ms_t now_ms)
{
    sched->delay = (nm_delay_t){.sample_since_ms = now_ms,
                                .starting_max = NM_SCHED_STARTING_MAX};
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

static void
begin_sample(nm_delay_t *delay, nm_ms_t now_ms)
{
    delay->sample_since_ms = now_ms;
    delay->responses = 0;
    delay->late = 0;
}

void
nm_delay_on_response(nm_sched_t *sched, nm_ms_t delay_ms, nm_ms_t now_ms)
{
    nm_delay_t *delay = &sched->delay;
    if (now_ms - delay->sample_since_ms > SAMPLE_MS_MAX) {
        begin_sample(delay, now_ms);
    }
    delay->responses++;
    delay->late += delay_ms > LATE_MS;
    if (delay->responses < SAMPLE_RESPONSES_MIN ||
        delay->responses < SAMPLE_WORKERS_SHARE * sched->node_list->len)
    {
        return;
    }
    if (delay->late >= BEHIND_SHARE * delay->responses) {
        delay->behind_until_ms = now_ms + BEHIND_MS;
        change_starting_max(delay, STARTING_SHRINK_FACTOR, now_ms);
    }
    else if (delay->starting_reached) {
        change_starting_max(delay, STARTING_GROWTH_FACTOR, now_ms);
    }
    begin_sample(delay, now_ms);
}

bool
nm_delay_is_behind(const nm_sched_t *sched, nm_ms_t now_ms)
{
    return now_ms < sched->delay.behind_until_ms;
}
