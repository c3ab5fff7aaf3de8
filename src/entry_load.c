/*
 * Load of the owner: how late it considers events, and its CPU time.
 *
 * Load: a fleet of a thousand workers on a host with a part of a core.  An
 * owner that lags still renews its lease and answers, but tasks wait.
 */
#include "entry_state.h"

#include <sys/resource.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

/* Time between two lines about the load in the log. */
#define LOAD_LOG_INTERVAL_MS 1000
/*
 * Bound of the time between an event and the end of the placement that
 * considers it.  Of the 3 s for which a job may be idle, the scheduler waits
 * 1 s before it prefers the job, and a start may be refused and repeated.
 */
#define EVENT_LAG_BOUND_MS 500
/*
 * The host is short of processor time from this use of its part, or if a pass
 * begins as late.  Otherwise tasks wait for responses to starts, for which a
 * host with more CPU would wait as long.
 */
#define CPU_SHORT_PERMILLE 750
#define PASS_LATE_MS 250

static nm_ms_t
read_cpu_time_ms(void)
{
    struct rusage usage = {0};
    getrusage(RUSAGE_SELF, &usage);
    return (nm_ms_t)(usage.ru_utime.tv_sec + usage.ru_stime.tv_sec) * 1000 +
           (usage.ru_utime.tv_usec + usage.ru_stime.tv_usec) / 1000;
}

void
nm_load_reset(nm_entry_t *entry, nm_ms_t now_ms)
{
    entry->load = (nm_owner_load_t){.since_ms = now_ms,
                                    .cpu_time_ms = read_cpu_time_ms(),
                                    .due_ms = now_ms};
}

void
nm_load_on_event(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->load.event_ms == 0 &&
        nm_sched_query_placement(entry->sched).wanted) {
        entry->load.event_ms = now_ms;
    }
}

void
nm_load_on_call(nm_entry_t *entry, nm_call_class_t call_class,
                nm_call_outcome_t outcome, nm_ms_t delay_ms)
{
    nm_call_stats_t *stats = &entry->load.calls[call_class];
    stats->counts[outcome]++;
    stats->delay_max_ms = MAX(stats->delay_max_ms, delay_ms);
}

nm_call_outcome_t
nm_load_order_outcome(nm_order_result_t result)
{
    switch (result) {
    case NM_ORDER_UNKNOWN:
    case NM_ORDER_NOT_SENT:
        return NM_CALL_LOST;
    case NM_ORDER_NOT_RUN:
        return NM_CALL_REFUSED;
    case NM_ORDER_WRONG_INCARNATION:
        return NM_CALL_REPLACED;
    default:
        return NM_CALL_ANSWERED;
    }
}

nm_call_outcome_t
nm_load_store_outcome(int rc)
{
    return rc == NM_ERR_LOST          ? NM_CALL_LOST
           : rc == NM_ERR_UNAVAILABLE ? NM_CALL_REFUSED
                                      : NM_CALL_ANSWERED;
}

void
nm_load_on_pass(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_owner_load_t *load = &entry->load;
    load->passes++;
    load->late_max_ms = MAX(load->late_max_ms, now_ms - load->due_ms);
}

void
nm_load_on_round(nm_entry_t *entry, nm_ms_t began_ms)
{
    nm_owner_load_t *load = &entry->load;
    nm_sched_placement_t placement = nm_sched_query_placement(entry->sched);
    if (placement.count == load->placement.count) {
        return;
    }
    nm_ms_t now_ms = nm_entry_now(entry);
    load->placement = placement;
    load->round_max_ms = MAX(load->round_max_ms, now_ms - began_ms);
    if (load->event_ms > 0) {
        load->lag_max_ms = MAX(load->lag_max_ms, now_ms - load->event_ms);
    }
    if (!placement.cut) {
        load->event_ms = 0;
    }
}

/* Returns true if the lag is over its bound for want of processor time. */
static bool
log_load(nm_entry_t *entry, nm_ms_t now_ms)
{
    const nm_owner_load_t *load = &entry->load;
    nm_sched_placement_t placement = load->placement;
    nm_ms_t lag_max_ms = load->lag_max_ms;
    if (load->event_ms > 0) {
        lag_max_ms = MAX(lag_max_ms, now_ms - load->event_ms);
    }
    double granted_ms =
        entry->desc.cpu_share * (double)MAX(now_ms - load->since_ms, 1);
    double cpu_ms = (double)(read_cpu_time_ms() - load->cpu_time_ms);
    int cpu_used_permille = (int)(1000 * cpu_ms / MAX(granted_ms, 0.001));
    nm_ms_t entries_age_ms = nm_feed_age_ms(&entry->workers_feed);
    nm_log(lag_max_ms > EVENT_LAG_BOUND_MS ? NM_LOG_WARN : NM_LOG_INFO,
           NM_LOG_ITEM_OWNER_LOAD,
           "{s:I,s:I,s:i,s:I,s:I,s:I,s:i,s:i,s:i,s:i,s:i,s:I,s:I,s:i,s:I}",
           "lag_ms", (json_int_t)lag_max_ms, "lag_bound_ms",
           (json_int_t)EVENT_LAG_BOUND_MS, "placements",
           (int)(placement.count - load->logged.count), "round_max_ms",
           (json_int_t)load->round_max_ms, "late_max_ms",
           (json_int_t)load->late_max_ms, "interval_ms",
           (json_int_t)(now_ms - load->since_ms), "passes", (int)load->passes,
           "cpu_used_permille", cpu_used_permille, "cpu_share_permille",
           (int)(1000 * entry->desc.cpu_share), "starting",
           (int)placement.starting, "placements_cut",
           (int)(placement.cut_count - load->logged.cut_count),
           "entries_age_ms",
           (json_int_t)(entries_age_ms == NM_MS_NEVER ? -1 : entries_age_ms),
           "entries_took_ms", (json_int_t)entry->workers_feed.response.took_ms,
           "entries_read", (int)entry->workers_feed.response.items,
           "entries_missed", (json_int_t)entry->workers_feed.response.missed);
    return lag_max_ms > EVENT_LAG_BOUND_MS &&
           (cpu_used_permille >= CPU_SHORT_PERMILLE ||
            load->late_max_ms >= PASS_LATE_MS);
}

/* Logs how long calls of each class took, and the bytes on the links. */
static void
log_calls(nm_entry_t *entry, nm_ms_t interval_ms)
{
    static const char *const labels[NM_CALL_CLASS_COUNT] = {
#define X(name, label) label,
        NM_CALL_CLASS_LIST(X)
#undef X
    };
    static const char *const outcomes[NM_CALL_OUTCOME_COUNT] = {
#define X(name, label) label,
        NM_CALL_OUTCOME_LIST(X)
#undef X
    };
    static const struct {
        const char *key;
        nm_counter_t counter;
    } bytes[NM_LOAD_BYTE_COUNTERS] = {
        {"peer_bytes_sent", NM_COUNTER_PEER_BYTES},
        {"peer_bytes_received", NM_COUNTER_PEER_BYTES_IN},
        {"http_bytes_sent", NM_COUNTER_HTTP_BYTES},
        {"http_bytes_received", NM_COUNTER_HTTP_BYTES_IN},
        {"payload_bytes_sent", NM_COUNTER_PAYLOAD_BYTES},
        {"end_bytes_received", NM_COUNTER_END_BYTES_IN},
        {"watch_bytes_received", NM_COUNTER_WATCH_BYTES_IN},
    };
    json_t *calls = json_object();
    for (int i = 0; i < NM_CALL_CLASS_COUNT; i++) {
        const nm_call_stats_t *stats = &entry->load.calls[i];
        json_t *row = json_pack("{s:I}", "delay_max_ms",
                                (json_int_t)stats->delay_max_ms);
        for (int o = 0; o < NM_CALL_OUTCOME_COUNT; o++) {
            json_object_set_new(row, outcomes[o],
                                json_integer(stats->counts[o]));
        }
        json_object_set_new(calls, labels[i], row);
    }
    json_t *sums = json_object();
    for (int i = 0; i < NM_LOAD_BYTE_COUNTERS; i++) {
        uint64_t value = nm_counter_value(bytes[i].counter);
        json_object_set_new(
            sums, bytes[i].key,
            json_integer((json_int_t)(value - entry->logged_bytes[i])));
        entry->logged_bytes[i] = value;
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_CALLS, "{s:I,s:o,s:o}",
           "interval_ms", (json_int_t)interval_ms, "calls", calls, "bytes",
           sums);
}

void
nm_load_end_pass(nm_entry_t *entry, nm_ms_t now_ms, nm_ms_t due_ms)
{
    nm_owner_load_t *load = &entry->load;
    if (now_ms - load->since_ms >= LOAD_LOG_INTERVAL_MS) {
        bool overloaded = log_load(entry, now_ms);
        log_calls(entry, now_ms - load->since_ms);
        nm_owner_load_t next = {.since_ms = now_ms,
                                .late_lines =
                                    overloaded ? load->late_lines + 1 : 0,
                                .cpu_time_ms = read_cpu_time_ms(),
                                .event_ms = load->event_ms,
                                .placement = load->placement,
                                .logged = load->placement};
        *load = next;
    }
    load->due_ms = due_ms;
}
