/*
 * Faults of --recuts: executors in series fall silent, start again under their
 * ids and are cut off soon after that, while the ownership is lost.  Orders by
 * the clock of their former life give them the longest lease.  They register
 * before the cut: of one that does not, nothing shows the restart.
 */
#include "soak_state.h"

#include <signal.h>

/* Share of the executors of a series, in percent. */
#define SHARE_PERCENT_MIN 30
#define SHARE_PERCENT_MAX 80
/* From the begin of a series to that of the next one. */
#define SERIES_MIN_MS 13000
#define SERIES_MAX_MS 18000
/* An executor is silent before it starts again. */
#define SILENT_MAX_MS 800
/* From then until it is cut off, and for how long: longer than a lease. */
#define CUT_AFTER_MIN_MS 50
#define CUT_AFTER_MAX_MS 3000
#define CUT_MIN_MS 10500
#define CUT_MAX_MS 13000
/* When the ownership is lost, from the begin of a series. */
#define OWNER_LOSS_MAX_MS 4000

typedef enum {
    RECUT_OWNER_KILLED,
    RECUT_OWNER_KILLED_AGAIN, /* so that it is drawn twice as often */
    RECUT_OWNER_STOPPED,
    RECUT_OWNER_REVOKED, /* the same host may win */
    RECUT_OWNER_KEPT,
    RECUT_OWNER_KIND_COUNT,
} recut_owner_t;

static nm_ms_t
draw_between(nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(&soak.recut_rng, (uint32_t)(max - min + 1));
}

static void
begin_series(nm_ms_t now_ms)
{
    uint32_t percent =
        (uint32_t)draw_between(SHARE_PERCENT_MIN, SHARE_PERCENT_MAX);
    for (gint i = 0; i < soak_options.executors; i++) {
        if (nm_rng_below(&soak.recut_rng, 100) >= percent) {
            continue;
        }
        nm_ms_t restart_ms = now_ms + draw_between(0, SILENT_MAX_MS);
        executor_cut(platform_fleet(soak.platform), (uint32_t)i, restart_ms,
                     now_ms);
        soak.recut_restart_at_ms[i] = restart_ms;
        soak.recut_at_ms[i] =
            restart_ms + draw_between(CUT_AFTER_MIN_MS, CUT_AFTER_MAX_MS);
    }
    soak.next_recuts_ms = now_ms + draw_between(SERIES_MIN_MS, SERIES_MAX_MS);
    soak.recut_owner_loss_ms = now_ms + draw_between(0, OWNER_LOSS_MAX_MS);
    soak.faults++;
}

static void
lose_owner(nm_ms_t now_ms)
{
    int64_t epoch;
    host_t *owner = soak_find_owner(&epoch);
    recut_owner_t kind =
        (recut_owner_t)nm_rng_below(&soak.recut_rng, RECUT_OWNER_KIND_COUNT);
    if (!owner || owner->stop_sent_ms > 0) {
        return;
    }
    soak.faults++;
    switch (kind) {
    case RECUT_OWNER_KILLED:
    case RECUT_OWNER_KILLED_AGAIN:
        soak_kill_host(owner, now_ms);
        break;
    case RECUT_OWNER_STOPPED:
        soak_stop_host(owner, now_ms);
        break;
    case RECUT_OWNER_REVOKED:
        platform_revoke(soak.platform, "nutmegdeck/control/owner");
        break;
    case RECUT_OWNER_KEPT:
    default:
        break;
    }
}

static void
run_executor(uint32_t index, nm_ms_t now_ms)
{
    executor_fleet_t *fleet = platform_fleet(soak.platform);
    if (soak.recut_restart_at_ms[index] > 0 &&
        now_ms >= soak.recut_restart_at_ms[index])
    {
        soak.recut_restart_at_ms[index] = 0;
        executor_crash(fleet, index, now_ms);
    }
    const executor_t *executor = executor_at(fleet, index);
    bool registered = executor->entry_ms > executor->incarnation_start_ms;
    if (soak.recut_at_ms[index] > 0 && now_ms >= soak.recut_at_ms[index] &&
        registered)
    {
        soak.recut_at_ms[index] = 0;
        executor_cut(fleet, index,
                     now_ms + draw_between(CUT_MIN_MS, CUT_MAX_MS), now_ms);
    }
}

void
soak_run_recuts(nm_ms_t now_ms)
{
    if (!soak_options.recuts || soak_options.no_faults) {
        return;
    }
    platform_lock(soak.platform);
    if (now_ms >= soak.next_recuts_ms) {
        begin_series(now_ms);
    }
    if (soak.recut_owner_loss_ms > 0 && now_ms >= soak.recut_owner_loss_ms) {
        soak.recut_owner_loss_ms = 0;
        lose_owner(now_ms);
    }
    for (gint i = 0; i < soak_options.executors; i++) {
        run_executor((uint32_t)i, now_ms);
    }
    platform_unlock(soak.platform);
}
