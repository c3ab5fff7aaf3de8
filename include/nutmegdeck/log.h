/*
 * Log of JSON lines, written through log4c.
 *
 * Each line has the fields time_ms, level, host and item.  The item is one of
 * a fixed list; further fields are passed in jansson's pack format.
 *
 *     nm_log_init("graz-nord-1", NM_LOG_INFO);
 *     nm_log(NM_LOG_INFO, NM_LOG_ITEM_STARTED, "{s:s}", "address", text);
 *     nm_log_finish();
 */
#ifndef NUTMEGDECK_LOG_H
#define NUTMEGDECK_LOG_H

#include <nutmegdeck/base.h>

/* Enumerator of each item, and its name in the field item. */
#define NM_LOG_ITEM_LIST(X)                                                   \
    X(STARTED, "started")                                                     \
    X(READY, "ready")                                                         \
    X(STOPPING, "stopping")                                                   \
    X(STOPPED, "stopped")                                                     \
    X(CONFIG_ERROR, "config-error")                                           \
    X(SETTINGS_INSTALLED, "settings-installed")                               \
    X(SETTINGS_REFUSED, "settings-refused")                                   \
    X(FEED_FAILED, "feed-failed")                                             \
    X(STORE_FAILED, "store-failed")                                           \
    X(STORE_RECOVERED, "store-recovered")                                     \
    X(OWNER_ANNOUNCED, "owner-announced")                                     \
    X(OWNER_CANDIDATE, "owner-candidate")                                     \
    X(OWNER_ACTIVE, "owner-active")                                           \
    X(REQUEST_DROPPED, "request-dropped")                                     \
    X(OWNER_LOST, "owner-lost")                                               \
    X(AUTHORITY_LOST, "authority-lost")                                       \
    X(AUTHORITY_BACK, "authority-back")                                       \
    X(FORMER_OVER, "former-owner-over")                                       \
    X(FORMER_UNRESOLVED, "former-owner-unresolved")                           \
    X(WORKER_LOST, "worker-lost")                                             \
    X(TASK_STARTED, "task-started")                                           \
    X(TASK_ENDED, "task-ended")                                               \
    X(TASK_EVICTED, "task-evicted")                                           \
    X(JOB_REFUSED, "job-refused")                                             \
    X(PEER_REFUSED, "peer-refused")                                           \
    X(LISTEN_FAILED, "listen-failed")                                         \
    X(RELOADED, "reloaded")                                                   \
    X(WORKER_REFUSED, "worker-refused")                                       \
    X(WAKE_FAILED, "wake-failed")                                             \
    X(PEER_SEND_FAILED, "peer-send-failed")                                   \
    X(REPORT_MALFORMED, "report-malformed")                                   \
    X(ROSTER_REFUSED, "roster-refused")                                       \
    X(BELIEFS_DROPPED, "beliefs-dropped")                                     \
    X(REPORT_REFUSED, "report-refused")                                       \
    X(OWNER_REFUSED, "owner-refused")                                         \
    X(HOST_REFUSED, "host-refused")                                           \
    X(ELECTION_FAILED, "election-failed")                                     \
    X(REQUEST_REFUSED, "request-refused")                                     \
    X(JOB_ACCEPTED, "job-accepted")                                           \
    X(JOB_CANCELLED, "job-cancelled")                                         \
    X(TASK_FAILED, "task-failed")                                             \
    X(RUN_LOST, "run-lost")                                                   \
    X(TASK_GIVEN_UP, "task-given-up")                                         \
    X(RUN_UNRESOLVED, "run-unresolved")                                       \
    X(CRASH_RESOLVED, "crash-resolved")                                       \
    X(CRASH_UNPROVED, "crash-unproved")                                       \
    X(JOB_ENDED, "job-ended")                                                 \
    X(LEARNED_REFUSED, "learned-refused")                                     \
    X(WORKER_SILENT, "worker-silent")                                         \
    X(WORKER_BACK, "worker-back")                                             \
    X(WORKER_AVOIDED, "worker-avoided")                                       \
    X(RUN_STALLED, "run-stalled")                                             \
    X(CALLS_LOST, "calls-lost")                                               \
    X(CALLS_ANSWERED, "calls-answered")                                       \
    X(CAPACITY, "capacity")                                                   \
    X(JOB_MEMORY, "job-memory")                                               \
    X(JOB_IDLE, "job-idle")                                                   \
    X(JOBS_WAIT, "jobs-wait")                                                 \
    X(OWNER_LOAD, "owner-load")                                               \
    X(OWNER_CALLS, "owner-calls")                                             \
    X(WORKER_LAPSED, "worker-lapsed")                                         \
    X(START_MISDIRECTED, "start-misdirected")                                 \
    X(START_UNANSWERED, "start-unanswered")                                   \
    X(START_RESENT, "start-resent")                                           \
    X(FORMER_LEASE_LAPSED, "former-lease-lapsed")                             \
    X(LATE_END, "late-end")                                                   \
    X(ORPHAN_RUN, "orphan-run")                                               \
    X(WORKER_UNDESCRIBED, "worker-undescribed")                               \
    X(OWNER_BEHIND, "owner-behind")                                           \
    X(OWNER_CAUGHT_UP, "owner-caught-up")                                     \
    X(CARRIER_SILENT, "carrier-silent")                                       \
    X(START_OVERDUE, "start-overdue")                                         \
    X(ORDER_REFUSED, "order-refused")                                         \
    X(CARRIER_BACK, "carrier-back")                                           \
    X(LIFE_ENDED, "life-ended")                                               \
    X(LIFE_CONTRADICTED, "life-contradicted")                                 \
    X(MACHINES_UNKNOWN, "machines-unknown")                                   \
    X(MACHINES_MALFORMED, "machines-malformed")                               \
    X(ZONE_EVACUATED, "zone-evacuated")                                       \
    X(EVACUATION_REFUSED, "evacuation-refused")                               \
    X(CLIENTS_CLOSED, "clients-closed")                                       \
    X(BODIES_REFUSED, "bodies-refused")                                       \
    X(STARTS_HELD, "starts-held")                                             \
    X(ADMISSION_CHANGED, "admission-changed")                                 \
    X(LINES_DROPPED, "lines-dropped")

typedef enum {
#define X(name, label) NM_LOG_ITEM_##name,
    NM_LOG_ITEM_LIST(X)
#undef X
        NM_LOG_ITEM_COUNT,
} nm_log_item_t;

/*
 * Maximum number of lines per second on standard output.  They are counted in
 * windows of one second, and all lines of a window may come at once.
 */
#define NM_LOG_LINES_PER_S 200

typedef enum {
    NM_LOG_ERROR,
    NM_LOG_WARN,
    NM_LOG_INFO,
    NM_LOG_DEBUG,
} nm_log_level_t;

/* Opens the log on standard error.  Each line has host in its field host. */
int nm_log_init(const char *host, nm_log_level_t level);
/*
 * Opens the log on standard output without ever waiting for its reader.
 * Lines beyond NM_LOG_LINES_PER_S, and lines that standard output does not
 * accept at once, are dropped; a later line, lines-dropped, reports how many.
 * A line longer than 4095 bytes, newline included, is dropped uncounted.
 */
int nm_log_init_stdout(const char *host, nm_log_level_t level);
void nm_log_finish(void);

/*
 * Writes one line.  fields is a jansson pack format of an object, with its
 * arguments following, or NULL.  Thread-safe.
 */
void nm_log(nm_log_level_t level, nm_log_item_t item, const char *fields, ...);

#endif
