/*
 * Faults of --departures: most executors leave for good in series, others join
 * under new ids, and the ownership is lost again and again meanwhile.  After
 * the last fault jobs must go on within JOBS_RESUME_MS.
 */
#include "soak_state.h"

#include <signal.h>

/* Share of the executors that leaves at once, in percent. */
#define LEAVING_PERCENT_MIN 55
#define LEAVING_PERCENT_MAX 85
/* From the departure until another executor joins; its entry goes before. */
#define JOIN_MIN_MS 2000
#define JOIN_MAX_MS 8000
/* From the begin of a series to that of the next one. */
#define DEPARTURES_MIN_MS 8000
#define DEPARTURES_MAX_MS 20000
/* The ownership is lost so often in a series, at these intervals. */
#define OWNER_LOSSES_MIN 3
#define OWNER_LOSSES_MAX 5
#define FIRST_OWNER_LOSS_MAX_MS 2000
#define OWNER_LOSS_INTERVAL_MIN_MS 3000
#define OWNER_LOSS_INTERVAL_MAX_MS 5000
/* Longer than the lease of the owner key, 1.5 s. */
#define OWNER_AWAY_MIN_MS 2000
#define OWNER_AWAY_MAX_MS 6000
/* One host in so many may be gone for good. */
#define HOSTS_GONE_SHARE 3

/*
 * How long jobs may stand still after the last fault.  The lease of the owner
 * key runs out (1.5 s) and a host is elected (delays of up to 0.4 s for its
 * CPU, retries each 0.25 s: 1 s); leases of tasks on executors that are gone
 * lapse (7 s by a clock that is up to 2% slow, and 0.75 s from the last poll
 * to the lapse that the owner counts on: 7.9 s); and a job may be idle for 3 s
 * in calm time (LOST).
 */
#define OWNER_LEASE_MS 1500
#define ELECTION_MS 1000
#define TASK_LAPSE_MS 7900
#define IDLE_MAX_MS 3000
#define JOBS_RESUME_MS                                                        \
    (OWNER_LEASE_MS + ELECTION_MS + TASK_LAPSE_MS + IDLE_MAX_MS)
#define IDLE_CHECK_INTERVAL_MS 100
/*
 * The soak itself did not run for so long: hosts on the same machine may not
 * have run, either, so that the calm time of --fillers begins anew.
 */
#define SOAK_LATE_MS 300

typedef enum {
    OWNER_LOSS_REVOKED, /* the same host may win */
    OWNER_LOSS_GONE,    /* killed, and not started again */
    OWNER_LOSS_FROZEN,
    OWNER_LOSS_CUT_OFF, /* from the store */
    OWNER_LOSS_KIND_COUNT,
} owner_loss_t;

static nm_ms_t
draw_between(nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(&soak.departure_rng, (uint32_t)(max - min + 1));
}

static void
leave(nm_ms_t now_ms)
{
    executor_fleet_t *fleet = platform_fleet(soak.platform);
    uint32_t percent =
        (uint32_t)draw_between(LEAVING_PERCENT_MIN, LEAVING_PERCENT_MAX);
    uint32_t count = executor_fleet_size(fleet);
    uint32_t leaving = (count * percent + 99) / 100;
    /* Draws exactly so many, each set with the same probability. */
    for (uint32_t i = 0; i < count; i++) {
        if (nm_rng_below(&soak.departure_rng, count - i) < leaving) {
            leaving--;
            executor_leave(fleet, i,
                           now_ms + draw_between(JOIN_MIN_MS, JOIN_MAX_MS),
                           now_ms);
        }
    }
}

static void
lose_owner(nm_ms_t now_ms)
{
    int64_t epoch;
    host_t *owner = soak_find_owner(&epoch);
    owner_loss_t kind =
        soak.revokes_only ? OWNER_LOSS_REVOKED
                          : (owner_loss_t)nm_rng_below(&soak.departure_rng,
                                                       OWNER_LOSS_KIND_COUNT);
    if (kind == OWNER_LOSS_GONE && (soak.hosts_gone + 1) * HOSTS_GONE_SHARE >
                                       (uint32_t)soak_options.hosts)
    {
        kind = OWNER_LOSS_REVOKED;
    }
    nm_ms_t away_ms = draw_between(OWNER_AWAY_MIN_MS, OWNER_AWAY_MAX_MS);
    if (!owner || owner->stop_sent_ms > 0 || owner->resume_at_ms > 0) {
        return;
    }
    soak.owner_losses_left--;
    soak.owner_losses++;
    soak.faults++;
    if (kind == OWNER_LOSS_GONE) {
        soak_remove_host(owner, now_ms);
    }
    else if (kind == OWNER_LOSS_FROZEN) {
        soak_signal_host(owner, SIGSTOP);
        owner->resume_at_ms = now_ms + away_ms;
    }
    else if (kind == OWNER_LOSS_CUT_OFF) {
        proxy_set(soak.proxy, owner->proxy_path, PROXY_CUT);
        owner->path_heal_at_ms = now_ms + away_ms;
    }
    else {
        platform_revoke(soak.platform, "nutmegdeck/control/owner");
    }
    soak.next_owner_loss_ms =
        now_ms +
        draw_between(OWNER_LOSS_INTERVAL_MIN_MS, OWNER_LOSS_INTERVAL_MAX_MS);
}

void
soak_run_departures(nm_ms_t now_ms)
{
    if (!soak_options.departures || soak_options.no_faults) {
        return;
    }
    platform_lock(soak.platform);
    if (now_ms >= soak.next_departures_ms) {
        soak.faults++;
        leave(now_ms);
        soak.next_departures_ms =
            now_ms + draw_between(DEPARTURES_MIN_MS, DEPARTURES_MAX_MS);
        soak.owner_losses_left +=
            (uint32_t)draw_between(OWNER_LOSSES_MIN, OWNER_LOSSES_MAX);
        soak.revokes_only = nm_rng_below(&soak.departure_rng, 2) == 0;
        soak.next_owner_loss_ms =
            MAX(soak.next_owner_loss_ms,
                now_ms + draw_between(0, FIRST_OWNER_LOSS_MAX_MS));
    }
    if (soak.owner_losses_left > 0 && now_ms >= soak.next_owner_loss_ms) {
        lose_owner(now_ms);
    }
    platform_unlock(soak.platform);
}

/* Executors that have left in the last series are replaced by then. */
static nm_ms_t
find_calm_since(nm_ms_t faults_end_ms, nm_ms_t now_ms)
{
    nm_ms_t calm_since_ms = faults_end_ms;
    executor_fleet_t *fleet = platform_fleet(soak.platform);
    for (uint32_t i = 0; i < executor_fleet_size(fleet); i++) {
        const executor_t *executor = executor_at(fleet, i);
        calm_since_ms = MAX(calm_since_ms, executor->incarnation_start_ms);
        if (executor->joins_at_ms > 0) {
            return now_ms;
        }
    }
    return calm_since_ms;
}

void
soak_check_idle_jobs(nm_ms_t faults_end_ms, nm_ms_t now_ms)
{
    if (soak.passed_ms > 0 && now_ms - soak.passed_ms > SOAK_LATE_MS) {
        soak.delayed_ms = now_ms;
    }
    soak.passed_ms = now_ms;
    if (!(soak_options.departures || soak_options.fillers) ||
        now_ms < faults_end_ms || now_ms < soak.next_idle_check_ms)
    {
        return;
    }
    soak.next_idle_check_ms = now_ms + IDLE_CHECK_INTERVAL_MS;
    platform_lock(soak.platform);
    executor_fleet_t *fleet = platform_fleet(soak.platform);
    nm_ms_t calm_since_ms = find_calm_since(faults_end_ms, now_ms);
    if (soak_options.fillers) {
        calm_since_ms = MAX(calm_since_ms, soak.delayed_ms);
    }
    executor_fleet_note_idle_jobs(fleet, now_ms);
    for (guint i = 0; i < soak.jobs->len; i++) {
        job_t *job = soak.jobs->pdata[i];
        if (job->ended || job->accepted_ms == 0 || job->wants_cancel) {
            continue;
        }
        nm_ms_t idle_ms = MIN(executor_job_idle_ms(fleet, job->id),
                              now_ms - MAX(calm_since_ms, job->accepted_ms));
        soak.longest_idle_ms = MAX(soak.longest_idle_ms, idle_ms);
        nm_ms_t late_ms =
            MIN(idle_ms, now_ms - calm_since_ms - JOBS_RESUME_MS);
        soak.longest_late_idle_ms = MAX(soak.longest_late_idle_ms, late_ms);
        bool too_long = idle_ms > JOBS_RESUME_MS ||
                        (soak_options.fillers && late_ms > IDLE_MAX_MS);
        if (too_long && !job->stood_still) {
            job->stood_still = true;
            executor_fleet_add_violation(
                fleet, now_ms,
                "LOST job %s has had nothing running for %lld ms", job->id,
                (long long)idle_ms);
        }
    }
    platform_unlock(soak.platform);
}
