/* Faults of the soak: what is drawn, how long it lasts, how it ends. */
#include "soak_state.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include <jansson.h>

/* Share of the executors that is cut off at once, in percent. */
#define CUT_PERCENT_MIN 20
#define CUT_PERCENT_MAX 60
/* The same for cuts that follow a task's second or later start. */
#define CUT_RETRIES_PERCENT_MAX 75
/* Longer than a lease, and than an entry stays without heartbeats. */
#define CUT_MIN_MS 9000
#define CUT_MAX_MS 14000
/* Tasks that are lost start again some 7 s after a cut. */
#define CUT_SERIES_MIN_MS 25000
#define CUT_SERIES_MAX_MS 45000
/* An executor is cut off this long after its start of a task, in a series. */
#define CUT_AFTER_START_MIN_MS 10
#define CUT_AFTER_START_MAX_MS 100
/* One such start in so many is not followed by a cut. */
#define CUT_SPARED_RETRIES 6
/* One first start in so many is followed, while few executors are cut off. */
#define CUT_STARTS 8
#define CUT_STARTS_PERCENT_MAX 35
/* One executor in so many restarts behind its cut. */
#define CUT_RESTARTS 10
/* Before its lease lapses, so that the tasks there are lost by a crash. */
#define CUT_RESTART_MAX_MS 3000
/* Longer than entries stay without heartbeats. */
#define EXPIRY_OUTAGE_MIN_MS 5000
#define EXPIRY_OUTAGE_MAX_MS 8000
/* Enough for polls, less than the starts of tasks need with --short. */
#define NARROW_MIN_BYTES_PER_S 30000
#define NARROW_MAX_BYTES_PER_S 100000
/* One narrow host in so many is narrow to the store as well. */
#define NARROW_STORE_PATHS 3
/* Up to longer than a lease. */
#define SHORTAGE_MIN_MS 4000
#define SHORTAGE_MAX_MS 20000
#define SLICE_RUN_MIN_MS 10
#define SLICE_RUN_MAX_MS 30
/* One shortage in so many has a host other than the owner. */
#define SHORTAGES_ELSEWHERE 3
/* One shortage in so many has all hosts. */
#define SHORTAGES_EVERYWHERE 6

/* With --restarts: between two restarts. */
#define RESTART_INTERVAL_MIN_MS 200
#define RESTART_INTERVAL_MAX_MS 1000
/* Share of the orders that are late meanwhile. */
#define RESTART_DELAYED_SHARE 0.25
/* One restarted executor in so many has no entry for a time. */
#define RESTARTS_UNANNOUNCED 3
#define UNANNOUNCED_MAX_MS 4000

void
soak_put_configuration(void)
{
    char route[256];
    snprintf(route, sizeof(route),
             "\"host\":\"callers\",\"maxAttempts\":%d,\"slackFactor\":2,"
             "\"targetLatencyMs\":600,\"timeoutMs\":3000",
             ATTEMPTS_MAX);
    GString *value = g_string_new(NULL);
    g_string_printf(value,
                    "{\"version\":%lld,\"routes\":[{\"name\":\"q\","
                    "\"pathPrefix\":\"/q/\",\"service\":\"s\",%s},{\"name\":"
                    "\"p\",\"pathPrefix\":\"/p/\",\"service\":\"t\",%s}",
                    (long long)++soak.config_version, route, route);
    soak_append_config_routes(value, route);
    g_string_append(value, "],\"services\":[{\"name\":\"s\"},{\"name\":"
                           "\"t\"}],\"limits\":{}}");
    platform_put(soak.platform, "op/config", value->str);
    g_string_free(value, TRUE);
}

static void
set_executor_paths(proxy_mode_t mode)
{
    for (gint i = 0; i < soak_options.hosts; i++) {
        proxy_set(soak.proxy, soak.hosts[i].executor_path, mode);
    }
}

host_t *
soak_find_owner(int64_t *epoch)
{
    char *text = platform_get(soak.platform, "nutmegdeck/control/owner");
    json_t *record = text ? json_loads(text, 0, NULL) : NULL;
    const char *name = json_string_value(json_object_get(record, "name"));
    int index = name ? atoi(name + 1) : soak_options.hosts;
    *epoch = json_integer_value(json_object_get(record, "epoch"));
    json_decref(record);
    g_free(text);
    return index < soak_options.hosts ? &soak.hosts[index] : NULL;
}

/*
 * Cuts the owner off from the store, the other hosts and all executors but
 * one, which nobody else reaches, for longer than a lease.  Without its record
 * no other host calls it.
 */
static void
cut_owner(uint32_t executor_index, nm_ms_t now_ms)
{
    int64_t epoch;
    host_t *owner = soak_find_owner(&epoch);
    if (!owner || owner->stop_sent_ms > 0) {
        return;
    }
    char *key =
        g_strdup_printf("nutmegdeck/hosts/h%d", (int)(owner - soak.hosts));
    platform_put(soak.platform, key, NULL);
    g_free(key);
    proxy_set(soak.proxy, owner->proxy_path, PROXY_CUT);
    owner->path_heal_at_ms = now_ms + soak_random_between(8000, 14000);
    platform_cut(soak.platform, epoch, executor_index, owner->path_heal_at_ms);
}

/* Kills the owner while more are to be killed, each soon after its election.
 */
void
soak_kill_owners(nm_ms_t now_ms)
{
    int64_t epoch;
    if (soak.owner_kills_left == 0 || now_ms < soak.owner_kill_at_ms) {
        return;
    }
    platform_lock(soak.platform);
    host_t *owner = soak_find_owner(&epoch);
    platform_unlock(soak.platform);
    if (owner && owner->stop_sent_ms == 0) {
        soak_kill_host(owner, now_ms);
        soak.owner_kills_left--;
        soak.owner_kill_at_ms = now_ms + soak_random_between(200, 3000);
    }
}

static uint32_t
count_cut_executors(nm_ms_t now_ms)
{
    uint32_t count = 0;
    for (gint i = 0; i < soak_options.executors; i++) {
        count +=
            now_ms < executor_at(platform_fleet(soak.platform), (uint32_t)i)
                         ->cut_until_ms;
    }
    return count;
}

/* The executor lives on behind the cut, or restarts there. */
static void
cut_executor(uint32_t index, uint32_t percent_max, nm_ms_t now_ms)
{
    executor_t *executor = executor_at(platform_fleet(soak.platform), index);
    if (now_ms < executor->cut_until_ms ||
        count_cut_executors(now_ms) * 100 >=
            (uint32_t)soak_options.executors * percent_max)
    {
        return;
    }
    executor_cut(platform_fleet(soak.platform), index,
                 now_ms + soak_random_between(CUT_MIN_MS, CUT_MAX_MS), now_ms);
    soak.executor_restart_at_ms[index] =
        nm_rng_below(&soak.rng, CUT_RESTARTS) == 0
            ? now_ms + soak_random_between(1, CUT_RESTART_MAX_MS)
            : 0;
}

static void
begin_cuts(nm_ms_t now_ms)
{
    if (now_ms < soak.cuts_until_ms) {
        return;
    }
    gint percent = (gint)soak_random_between(CUT_PERCENT_MIN, CUT_PERCENT_MAX);
    for (gint i = 0; i < soak_options.executors; i++) {
        if ((gint)nm_rng_below(&soak.rng, 100) < percent) {
            cut_executor((uint32_t)i, CUT_PERCENT_MAX, now_ms);
        }
    }
    soak.cuts_until_ms =
        now_ms + soak_random_between(CUT_SERIES_MIN_MS, CUT_SERIES_MAX_MS);
}

/* True at a time that differs from start to start. */
static bool
is_cut_due(nm_ms_t started_ms, nm_ms_t now_ms)
{
    nm_ms_t delay_ms =
        CUT_AFTER_START_MIN_MS +
        started_ms % (CUT_AFTER_START_MAX_MS - CUT_AFTER_START_MIN_MS);
    return started_ms > 0 && now_ms >= started_ms + delay_ms;
}

static void
follow_starts(uint32_t index, nm_ms_t now_ms)
{
    executor_t *executor = executor_at(platform_fleet(soak.platform), index);
    bool follows = now_ms < soak.cuts_until_ms;
    if (is_cut_due(executor->retried_ms, now_ms)) {
        executor->retried_ms = 0;
        if (follows && nm_rng_below(&soak.rng, CUT_SPARED_RETRIES) > 0) {
            cut_executor(index, CUT_RETRIES_PERCENT_MAX, now_ms);
        }
    }
    if (is_cut_due(executor->started_ms, now_ms)) {
        executor->started_ms = 0;
        if (follows && nm_rng_below(&soak.rng, CUT_STARTS) == 0) {
            cut_executor(index, CUT_STARTS_PERCENT_MAX, now_ms);
        }
    }
}

void
soak_cut_executors(nm_ms_t now_ms)
{
    platform_lock(soak.platform);
    executor_fleet_t *fleet = platform_fleet(soak.platform);
    for (uint32_t i = 0; i < executor_fleet_size(fleet); i++) {
        follow_starts(i, now_ms);
        if (soak.executor_restart_at_ms[i] > 0 &&
            now_ms >= soak.executor_restart_at_ms[i])
        {
            soak.executor_restart_at_ms[i] = 0;
            executor_crash(fleet, i, now_ms);
        }
    }
    platform_unlock(soak.platform);
}

static nm_ms_t
draw_between(nm_rng_t *rng, nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(rng, (uint32_t)(max - min + 1));
}

void
soak_restart_executors(nm_ms_t now_ms)
{
    if (!soak_options.restarts || now_ms < soak.next_restart_ms) {
        return;
    }
    soak.next_restart_ms =
        now_ms + draw_between(&soak.route_rng, RESTART_INTERVAL_MIN_MS,
                              RESTART_INTERVAL_MAX_MS);
    platform_lock(soak.platform);
    platform_set_delayed_share(soak.platform, RESTART_DELAYED_SHARE);
    soak.delays_heal_at_ms = MAX(soak.delays_heal_at_ms, soak.next_restart_ms);
    uint32_t index =
        nm_rng_below(&soak.route_rng, (uint32_t)soak_options.executors);
    executor_t *executor = executor_at(platform_fleet(soak.platform), index);
    executor_crash(platform_fleet(soak.platform), index, now_ms);
    if (nm_rng_below(&soak.route_rng, RESTARTS_UNANNOUNCED) == 0) {
        executor->unannounced_until_ms =
            now_ms + draw_between(&soak.route_rng, 1, UNANNOUNCED_MAX_MS);
    }
    platform_unlock(soak.platform);
}

/*
 * The store is away until all entries have expired; half of the time it meets
 * cuts, or kills of owners.
 */
static void
expire_entries(nm_ms_t now_ms)
{
    platform_expire_entries(soak.platform);
    platform_set_store(soak.platform, (store_mode_t)soak_random_between(
                                          STORE_REFUSES, STORE_UNRESPONSIVE));
    soak.store_heal_at_ms = now_ms + soak_random_between(EXPIRY_OUTAGE_MIN_MS,
                                                         EXPIRY_OUTAGE_MAX_MS);
    if (nm_rng_below(&soak.rng, 2) == 0) {
        begin_cuts(now_ms);
    }
    if (nm_rng_below(&soak.rng, 2) == 0) {
        soak.owner_kills_left = (uint32_t)soak_random_between(1, 2);
    }
}

static void
narrow_link(host_t *host, nm_ms_t until_ms)
{
    if (host->link_heal_at_ms > 0) {
        return; /* links recover between two shortages */
    }
    host->link_heal_at_ms = until_ms;
    uint32_t bytes_per_s = (uint32_t)soak_random_between(
        NARROW_MIN_BYTES_PER_S, NARROW_MAX_BYTES_PER_S);
    proxy_limit(soak.proxy, host->executor_path, bytes_per_s);
    if (soak_options.configs ||
        nm_rng_below(&soak.rng, NARROW_STORE_PATHS) == 0) {
        proxy_limit(soak.proxy, host->proxy_path, bytes_per_s);
    }
}

static void
slow_host(host_t *host, nm_ms_t until_ms)
{
    host->short_until_ms = until_ms;
    host->slice_run_ms =
        soak_random_between(SLICE_RUN_MIN_MS, SLICE_RUN_MAX_MS);
}

/* Makes hosts too small for their work: the owner, another one or all. */
static void
begin_shortage(host_t *host, bool link, bool processor, nm_ms_t now_ms)
{
    int64_t epoch;
    host_t *owner = soak_find_owner(&epoch);
    if (owner && nm_rng_below(&soak.rng, SHORTAGES_ELSEWHERE) > 0) {
        host = owner;
    }
    bool all = nm_rng_below(&soak.rng, SHORTAGES_EVERYWHERE) == 0;
    nm_ms_t until_ms =
        now_ms + soak_random_between(SHORTAGE_MIN_MS, SHORTAGE_MAX_MS);
    for (gint i = 0; i < soak_options.hosts; i++) {
        if (!all && host != &soak.hosts[i]) {
            continue;
        }
        if (link) {
            narrow_link(&soak.hosts[i], until_ms);
        }
        if (processor) {
            slow_host(&soak.hosts[i], until_ms);
        }
    }
}

/* Kinds of faults in the order of the numbers drawn. */
typedef enum {
    FAULT_KILL_HOST,
    FAULT_PAUSE_HOST,
    FAULT_STOP_HOST,
    FAULT_STORE_PATH,
    FAULT_STORE_PATH_AGAIN, /* so that it is drawn twice as often */
    FAULT_STORE,
    FAULT_CRASH_EXECUTOR,
    FAULT_UNRESPONSIVE_EXECUTOR,
    FAULT_DELAYED_ORDERS,
    FAULT_BLACKHOLE,
    FAULT_RESET_CONNECTIONS,
    FAULT_RESET_THEN_REFUSE_STORE,
    FAULT_RESET_THEN_REFUSE_EXECUTORS,
    FAULT_CUT_OWNER,
    FAULT_KILL_OWNERS,
    FAULT_COMPACT_STORE,
    FAULT_CUT_EXECUTORS,
    FAULT_EXPIRE_ENTRIES,
    FAULT_KILL_ALL_HOSTS,
    FAULT_NARROW_LINK,
    FAULT_SHORT_PROCESSOR,
    FAULT_KIND_COUNT,
    FAULT_SHORT_BOTH, /* drawn with --short only */
} fault_kind_t;

/* What is drawn with --cuts. */
static const fault_kind_t cut_kinds[] = {
    FAULT_CUT_EXECUTORS, FAULT_EXPIRE_ENTRIES, FAULT_KILL_OWNERS,
    FAULT_STORE_PATH,    FAULT_CRASH_EXECUTOR,
};

/* What is drawn with --short. */
static const fault_kind_t shortage_kinds[] = {
    FAULT_NARROW_LINK,     FAULT_NARROW_LINK,    FAULT_NARROW_LINK,
    FAULT_NARROW_LINK,     FAULT_SHORT_BOTH,     FAULT_SHORT_BOTH,
    FAULT_SHORT_PROCESSOR, FAULT_DELAYED_ORDERS, FAULT_COMPACT_STORE,
    FAULT_STOP_HOST,       FAULT_PAUSE_HOST,     FAULT_KILL_OWNERS,
};

/* What is drawn with --configs: hosts that hear of a version late. */
static const fault_kind_t config_kinds[] = {
    FAULT_NARROW_LINK,     FAULT_NARROW_LINK, FAULT_STORE_PATH,
    FAULT_STORE_PATH,      FAULT_STORE_PATH,  FAULT_STORE,
    FAULT_BLACKHOLE,       FAULT_BLACKHOLE,   FAULT_RESET_CONNECTIONS,
    FAULT_SHORT_PROCESSOR, FAULT_PAUSE_HOST,  FAULT_KILL_HOST,
    FAULT_STOP_HOST,       FAULT_KILL_OWNERS, FAULT_COMPACT_STORE,
};

/* What is drawn with --fillers: owners are lost, and executors restart. */
static const fault_kind_t filler_kinds[] = {
    FAULT_KILL_OWNERS,    FAULT_KILL_HOST,      FAULT_STOP_HOST,
    FAULT_CRASH_EXECUTOR, FAULT_CRASH_EXECUTOR, FAULT_CRASH_EXECUTOR,
};

static fault_kind_t
draw_kind(void)
{
    if (soak_options.fillers) {
        return filler_kinds[nm_rng_below(&soak.rng,
                                         G_N_ELEMENTS(filler_kinds))];
    }
    if (soak_options.configs) {
        return config_kinds[nm_rng_below(&soak.rng,
                                         G_N_ELEMENTS(config_kinds))];
    }
    if (soak_options.cuts) {
        return soak.faults == 0 ? FAULT_CUT_EXECUTORS
                                : cut_kinds[nm_rng_below(
                                      &soak.rng, G_N_ELEMENTS(cut_kinds))];
    }
    if (soak_options.shortages && soak.faults == 0) {
        return FAULT_NARROW_LINK;
    }
    if (soak_options.shortages) {
        return shortage_kinds[nm_rng_below(&soak.rng,
                                           G_N_ELEMENTS(shortage_kinds))];
    }
    return (fault_kind_t)nm_rng_below(&soak.rng, FAULT_KIND_COUNT);
}

void
soak_inject_fault(nm_ms_t now_ms)
{
    host_t *host =
        &soak.hosts[nm_rng_below(&soak.rng, (uint32_t)soak_options.hosts)];
    uint32_t executor_index =
        nm_rng_below(&soak.rng, (uint32_t)soak_options.executors);
    fault_kind_t kind = draw_kind();
    soak.faults++;
    platform_lock(soak.platform);
    executor_fleet_t *fleet = platform_fleet(soak.platform);
    switch (kind) {
    case FAULT_KILL_HOST:
        soak_kill_host(host, now_ms);
        break;
    case FAULT_PAUSE_HOST:
        if (host->stop_sent_ms == 0) {
            soak_signal_host(host, SIGSTOP);
            host->resume_at_ms = now_ms + soak_random_between(300, 4000);
        }
        break;
    case FAULT_STOP_HOST:
        if (host->stop_sent_ms == 0 && host->resume_at_ms == 0) {
            soak_stop_host(host, now_ms);
        }
        break;
    case FAULT_STORE_PATH:
    case FAULT_STORE_PATH_AGAIN:
        proxy_set(soak.proxy, host->proxy_path,
                  (proxy_mode_t)soak_random_between(PROXY_DELAY,
                                                    PROXY_CUT_RESPONSES));
        host->path_heal_at_ms = now_ms + soak_random_between(500, 6000);
        break;
    case FAULT_STORE:
        platform_set_store(soak.platform,
                           (store_mode_t)soak_random_between(
                               STORE_REFUSES, STORE_LOSES_RESPONSES));
        soak.store_heal_at_ms = now_ms + soak_random_between(300, 4000);
        break;
    case FAULT_CRASH_EXECUTOR:
        executor_crash(fleet, executor_index, platform_now(soak.platform));
        break;
    case FAULT_UNRESPONSIVE_EXECUTOR:
        executor_at(fleet, executor_index)->unresponsive = true;
        soak.executor_heal_at_ms[executor_index] =
            now_ms + soak_random_between(500, 9000);
        break;
    case FAULT_DELAYED_ORDERS:
        platform_set_delayed_share(soak.platform, 0.25);
        soak.delays_heal_at_ms = now_ms + soak_random_between(1000, 4000);
        break;
    case FAULT_BLACKHOLE:
        soak.reset_ms = now_ms;
        proxy_blackhole(soak.proxy, host->proxy_path);
        break;
    case FAULT_RESET_CONNECTIONS:
        soak.reset_ms = now_ms;
        proxy_reset(soak.proxy, host->proxy_path);
        for (gint i = 0; i < soak_options.hosts; i++) {
            proxy_reset(soak.proxy, soak.hosts[i].executor_path);
        }
        break;
    case FAULT_RESET_THEN_REFUSE_STORE:
        for (gint i = 0; i < soak_options.hosts; i++) {
            proxy_set(soak.proxy, soak.hosts[i].proxy_path,
                      PROXY_RESET_THEN_REFUSE);
            soak.hosts[i].path_heal_at_ms =
                now_ms + soak_random_between(300, 2000);
        }
        break;
    case FAULT_RESET_THEN_REFUSE_EXECUTORS:
        soak.reset_ms = now_ms;
        set_executor_paths(PROXY_RESET_THEN_REFUSE);
        soak.executor_path_heal_at_ms =
            now_ms + soak_random_between(100, 1000);
        break;
    case FAULT_CUT_OWNER:
        cut_owner(executor_index, now_ms);
        break;
    case FAULT_KILL_OWNERS:
        soak.owner_kills_left = (uint32_t)soak_random_between(2, 4);
        break;
    case FAULT_COMPACT_STORE:
        soak.reset_ms = now_ms;
        platform_compact(soak.platform);
        soak_put_configuration();
        break;
    case FAULT_CUT_EXECUTORS:
        begin_cuts(now_ms);
        break;
    case FAULT_EXPIRE_ENTRIES:
        expire_entries(now_ms);
        break;
    case FAULT_NARROW_LINK:
    case FAULT_SHORT_PROCESSOR:
    case FAULT_SHORT_BOTH:
        begin_shortage(host, kind != FAULT_SHORT_PROCESSOR,
                       kind != FAULT_NARROW_LINK, now_ms);
        break;
    case FAULT_KILL_ALL_HOSTS:
    default:
        for (gint i = 0; i < soak_options.hosts; i++) {
            soak_kill_host(&soak.hosts[i], now_ms);
        }
        break;
    }
    platform_unlock(soak.platform);
}

void
soak_heal_faults(nm_ms_t now_ms, bool all)
{
    platform_lock(soak.platform);
    if (all) {
        platform_cut(soak.platform, 0, 0, 0);
        soak.cuts_until_ms = 0;
    }
    if (all || now_ms >= soak.store_heal_at_ms) {
        platform_set_store(soak.platform, STORE_UP);
    }
    if (all || now_ms >= soak.delays_heal_at_ms) {
        platform_set_delayed_share(soak.platform, 0);
    }
    for (gint i = 0; i < soak_options.executors; i++) {
        if (all || now_ms >= soak.executor_heal_at_ms[i]) {
            executor_at(platform_fleet(soak.platform), (uint32_t)i)
                ->unresponsive = false;
        }
        if (all) {
            executor_at(platform_fleet(soak.platform), (uint32_t)i)
                ->cut_until_ms = 0;
            soak.executor_restart_at_ms[i] = 0;
        }
    }
    platform_unlock(soak.platform);
    if (all || now_ms >= soak.executor_path_heal_at_ms) {
        set_executor_paths(PROXY_OPEN);
    }
    for (gint i = 0; all && i < soak_options.hosts; i++) {
        soak.hosts[i].path_heal_at_ms =
            MIN(soak.hosts[i].path_heal_at_ms, now_ms);
        soak.hosts[i].link_heal_at_ms =
            MIN(soak.hosts[i].link_heal_at_ms, now_ms);
        soak.hosts[i].short_until_ms =
            MIN(soak.hosts[i].short_until_ms, now_ms);
        soak.hosts[i].resume_at_ms = MIN(soak.hosts[i].resume_at_ms, now_ms);
    }
}
