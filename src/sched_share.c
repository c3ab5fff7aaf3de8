/*
 * Load: bursts in which a queue asks for two or three times the room there is,
 * by jobs of which the largest have ten times the work of most.
 */
#include "sched_share.h"

#include <assert.h>
#include <math.h>

/*
 * A group is behind below this part of the share admitted of all jobs.  The
 * rules ask for half of the share that is served, and not all that is
 * admitted is served in time.
 */
#define ADMITTED_PART_MIN 0.75
/* Time constant with which earlier jobs are forgotten. */
#define DECAY_MS 15000

static uint32_t
group_of(int64_t core_ms)
{
    uint32_t group = 0;
    for (int64_t left = core_ms; left > 0; left >>= 1) {
        group++;
    }
    return group;
}

static void
decay(nm_share_t *share, nm_ms_t now_ms)
{
    nm_ms_t elapsed_ms = now_ms - share->decayed_ms;
    if (elapsed_ms <= 0) {
        return;
    }
    double factor = exp(-(double)elapsed_ms / DECAY_MS);
    for (uint32_t i = 0; i < NM_SHARE_GROUPS; i++) {
        share->groups[i].arrived *= factor;
        share->groups[i].admitted *= factor;
    }
    share->all.arrived *= factor;
    share->all.admitted *= factor;
    share->decayed_ms = now_ms;
}

void
nm_share_count_arrival(nm_share_t *share, int64_t core_ms, nm_ms_t now_ms)
{
    assert(share);
    decay(share, now_ms);
    share->groups[group_of(core_ms)].arrived++;
    share->all.arrived++;
}

void
nm_share_count_admission(nm_share_t *share, int64_t core_ms)
{
    assert(share);
    share->groups[group_of(core_ms)].admitted++;
    share->all.admitted++;
}

bool
nm_share_is_behind(const nm_share_t *share, int64_t core_ms)
{
    assert(share);
    const nm_share_count_t *group = &share->groups[group_of(core_ms)];
    /* admitted / arrived of both, without divisions by zero */
    return group->admitted * share->all.arrived <
           ADMITTED_PART_MIN * share->all.admitted * group->arrived;
}
