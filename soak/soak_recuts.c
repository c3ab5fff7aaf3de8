/*
 * Faults of --recuts and --reborn.  --recuts: executors in series fall silent,
 * start again under their ids and are cut off soon after that, while the
 * ownership is lost.  Orders by the clock of their former life give them the
 * longest lease.  They register before the cut: of one that does not, nothing
 * shows the restart.
 *
 * --reborn adds to the series of --recuts, and to --restarts in series of its
 * own, what hides a restart from the next owner: wall clocks that are set
 * between two lives (lib_executor.c), entries that have expired when the
 * ownership is lost, and owners that live on as others replace them.
 */
#include "soak_state.h"

#include <signal.h>
#include <stdio.h>

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

/* With --reborn and without --recuts: as SERIES_MIN_MS. */
#define REPLACEMENT_MIN_MS 3000
#define REPLACEMENT_MAX_MS 9000
/* One series in so many has an outage in which all entries expire. */
#define OUTAGES 4
/* From the begin of the series: most of its executors have registered. */
#define OUTAGE_AFTER_MIN_MS 2500
#define OUTAGE_AFTER_MAX_MS 4000
/* Longer than three heartbeats of the entries. */
#define OUTAGE_MIN_MS 5000
#define OUTAGE_MAX_MS 8000
/* From the end of the outage to the loss of the ownership. */
#define LOSS_AFTER_OUTAGE_MIN_MS (-500)
#define LOSS_AFTER_OUTAGE_MAX_MS 1000
/* In one series of so many others the entries of those cut off expire first.
 */
#define LATE_LOSSES 3
#define LATE_LOSS_MIN_MS 5500
#define LATE_LOSS_MAX_MS 9500
/* Longer than a lease of an executor, and than one of the ownership. */
#define FREEZE_MIN_MS 10500
#define FREEZE_MAX_MS 13000
/* One loss in so many in --recuts is as without --reborn. */
#define LOSSES_AS_BEFORE 2

typedef enum {
    RECUT_OWNER_KILLED,
    RECUT_OWNER_KILLED_AGAIN, /* so that it is drawn twice as often */
    RECUT_OWNER_STOPPED,
    RECUT_OWNER_REVOKED, /* the same host may win */
    RECUT_OWNER_KEPT,
    RECUT_OWNER_KIND_COUNT,
    RECUT_OWNER_FROZEN, /* drawn with --reborn only */
} recut_owner_t;

/* What --reborn draws: the former owner lives on, or ends in order. */
static const recut_owner_t replacement_kinds[] = {
    RECUT_OWNER_STOPPED,
    RECUT_OWNER_REVOKED,
    RECUT_OWNER_FROZEN,
};

static nm_ms_t
draw_between(nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(&soak.recut_rng, (uint32_t)(max - min + 1));
}

static nm_ms_t
draw_reborn_between(nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(&soak.reborn_rng, (uint32_t)(max - min + 1));
}

static void
restart_and_cut(nm_ms_t now_ms)
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
}

/* Lets entries expire in a share of the series before the owner is lost. */
static void
draw_lapse(nm_ms_t now_ms)
{
    if (nm_rng_below(&soak.reborn_rng, OUTAGES) == 0) {
        soak.reborn_outage_at_ms =
            now_ms +
            draw_reborn_between(OUTAGE_AFTER_MIN_MS, OUTAGE_AFTER_MAX_MS);
        soak.reborn_outage_end_ms =
            soak.reborn_outage_at_ms +
            draw_reborn_between(OUTAGE_MIN_MS, OUTAGE_MAX_MS);
        soak.recut_owner_loss_ms =
            soak.reborn_outage_end_ms +
            draw_reborn_between(LOSS_AFTER_OUTAGE_MIN_MS,
                                LOSS_AFTER_OUTAGE_MAX_MS);
    }
    else if (nm_rng_below(&soak.reborn_rng, LATE_LOSSES) == 0) {
        soak.recut_owner_loss_ms =
            now_ms + draw_reborn_between(LATE_LOSS_MIN_MS, LATE_LOSS_MAX_MS);
    }
    soak.next_recuts_ms =
        MAX(soak.next_recuts_ms, soak.recut_owner_loss_ms + TICK_MS);
}

static void
begin_series(nm_ms_t now_ms)
{
    if (soak_options.recuts) {
        restart_and_cut(now_ms);
        soak.next_recuts_ms =
            now_ms + draw_between(SERIES_MIN_MS, SERIES_MAX_MS);
    }
    else {
        soak.next_recuts_ms =
            now_ms + draw_between(REPLACEMENT_MIN_MS, REPLACEMENT_MAX_MS);
    }
    soak.recut_owner_loss_ms = now_ms + draw_between(0, OWNER_LOSS_MAX_MS);
    if (soak_options.reborn) {
        draw_lapse(now_ms);
    }
    soak.faults++;
}

/* The store is away until all entries have expired. */
static void
begin_outage(nm_ms_t now_ms)
{
    platform_expire_entries(soak.platform);
    platform_set_store(soak.platform, (store_mode_t)draw_reborn_between(
                                          STORE_REFUSES, STORE_UNRESPONSIVE));
    soak.store_heal_at_ms = soak.reborn_outage_end_ms;
    soak.reborn_outage_at_ms = 0;
    soak.faults++;
    fprintf(stderr, "soak: %lld ms: outage until %lld ms\n", (long long)now_ms,
            (long long)soak.reborn_outage_end_ms);
}

static void
lose_owner(nm_ms_t now_ms)
{
    int64_t epoch;
    host_t *owner = soak_find_owner(&epoch);
    recut_owner_t kind =
        (recut_owner_t)nm_rng_below(&soak.recut_rng, RECUT_OWNER_KIND_COUNT);
    if (soak_options.reborn &&
        (!soak_options.recuts ||
         nm_rng_below(&soak.reborn_rng, LOSSES_AS_BEFORE) > 0))
    {
        kind = replacement_kinds[nm_rng_below(
            &soak.reborn_rng, G_N_ELEMENTS(replacement_kinds))];
    }
    if (!owner || owner->stop_sent_ms > 0 || owner->resume_at_ms > 0) {
        return;
    }
    soak.faults++;
    if (soak_options.reborn) {
        fprintf(stderr,
                "soak: %lld ms: owner h%d of epoch %lld lost, kind %d\n",
                (long long)now_ms, (int)(owner - soak.hosts), (long long)epoch,
                (int)kind);
    }
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
    case RECUT_OWNER_FROZEN:
        soak_signal_host(owner, SIGSTOP);
        owner->resume_at_ms =
            now_ms + draw_reborn_between(FREEZE_MIN_MS, FREEZE_MAX_MS);
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
    bool replaces = soak_options.restarts && soak_options.reborn;
    if (!(soak_options.recuts || replaces) || soak_options.no_faults) {
        return;
    }
    platform_lock(soak.platform);
    if (now_ms >= soak.next_recuts_ms) {
        begin_series(now_ms);
    }
    if (soak.reborn_outage_at_ms > 0 && now_ms >= soak.reborn_outage_at_ms) {
        begin_outage(now_ms);
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
