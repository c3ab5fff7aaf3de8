/*
 * Reasons and counters.
 *
 * NM_REASON_LIST gives each reason of a refusal, retry, eviction or error
 * its enumerator, its name in logs, responses and metrics, its HTTP status
 * (0: never sent to a caller) and its text for callers and operators.  Each
 * reason has one counter.  NM_COUNTER_LIST holds the counters of other
 * events, with their metric names and HELP texts.
 *
 *     nm_count_reason(NM_REASON_QUEUE_FULL);
 *     nm_count(NM_COUNTER_REQUESTS, 1);
 *     nm_counters_write(stdout_writer, user);
 */
#ifndef NUTMEGDECK_REASON_H
#define NUTMEGDECK_REASON_H

#include <nutmegdeck/base.h>

#define NM_REASON_LIST(X)                                                     \
    X(NONE, "none", 0, "no failure")                                          \
    /* Refusals: the response states that the request did not run. */         \
    X(NO_SERVICE, "no-service", 404, "no service has this path")              \
    X(QUEUE_FULL, "queue-full", 503, "the service's queue is full")           \
    X(TOO_LATE, "too-late", 503, "it cannot be answered before its deadline") \
    X(EXPIRED, "expired-in-queue", 504, "its deadline passed in the queue")   \
    X(NO_EXECUTOR, "no-executor", 503, "no executor can be reached")          \
    X(NO_GRANT, "no-grant", 503, "no slot is granted to this entry host")     \
    X(STOPPING, "stopping", 503, "this entry host is stopping")               \
    X(NOT_READY, "not-ready", 503, "no settings are in force yet")            \
    X(SETTINGS_OLD, "settings-old", 503, "the settings may have changed")     \
    X(TOO_LARGE, "body-too-large", 413, "the request body is too large")      \
    X(NO_MEMORY, "no-memory", 503, "requests use the memory kept for them")   \
    X(BAD_REQUEST, "bad-request", 400, "the request is malformed")            \
    X(KEY_INVALID, "key-invalid", 400, "the Idempotency-Key is malformed")    \
    X(CLAIM_STORE, "claim-store", 503, "the claim could not be written")      \
    X(LINK_BUDGET, "link-budget", 503, "the region link's budget is spent")   \
    X(CALLER_GONE, "caller-gone", 499, "the caller closed its connection")    \
    X(OVERLOAD, "overload", 503, "it cannot end in time under this load")     \
    X(JOB_MEMORY, "job-memory", 503, "the memory kept for jobs is in use")    \
    X(JOB_TOO_LARGE, "job-too-large", 400,                                    \
      "the job needs more memory than is kept for jobs")                      \
    X(HOP_LIMIT, "hop-limit", 503, "a forwarded request found no slot")       \
    /* Outcomes whose verdict may be ran or unknown. */                       \
    X(KEY_RUNNING, "key-running", 409, "the first request still runs")        \
    X(KEY_REUSED, "key-reused", 422, "the key was used for another request")  \
    X(UPSTREAM_TIMEOUT, "upstream-timeout", 504, "no answer before timeout")  \
    X(UPSTREAM_RESET, "upstream-reset", 502, "the connection broke")          \
    X(UPSTREAM_CUT, "upstream-cut", 502, "the answer was incomplete")         \
    X(UPSTREAM_LARGE, "upstream-large", 502, "the answer was too large")      \
    /* Retries, hedged attempts and executors taken out of use. */            \
    X(RETRY_REFUSED, "retry-refused", 0, "retry after a refused connection")  \
    X(RETRY_RESET, "retry-reset", 0, "retry after a broken connection")       \
    X(RETRY_CUT, "retry-cut", 0, "retry after an incomplete answer")          \
    X(RETRY_503, "retry-unavailable", 0, "retry after status 503")            \
    X(RETRY_TIMEOUT, "retry-timeout", 0, "retry after an attempt timeout")    \
    X(RETRY_NO_BUDGET, "retry-no-budget", 0, "retry budget spent")            \
    X(HEDGE, "hedge", 0, "second attempt of a slow idempotent request")       \
    X(HEDGE_NO_BUDGET, "hedge-no-budget", 0, "hedge budget spent")            \
    X(EJECTED, "ejected", 0, "executor ejected as an outlier")                \
    X(DRAINED, "drained", 0, "executor seen leaving")                         \
    /* Evictions, waiting tasks, failing jobs and workers. */                 \
    X(EVICT_LATENCY, "evict-latency", 0, "service latency over its bound")    \
    X(EVICT_MEMORY, "evict-memory", 0, "worker memory over its bound")        \
    X(EVICT_URGENT, "evict-urgent", 0, "urgent work needs the room")          \
    X(EVICT_LEAVING, "evict-leaving", 0, "the worker is leaving")             \
    X(EVICT_CANCELLED, "evict-cancelled", 0, "its job was cancelled")         \
    X(EVICT_DUPLICATE, "evict-duplicate", 0, "another attempt is current")    \
    X(WAIT_NO_FIT, "wait-no-fit", 0, "no worker has room now")                \
    X(WAIT_QUOTA, "wait-quota", 0, "the team's quota is used up")             \
    X(NEVER_FITS, "never-fits", 0, "no worker could ever hold it")            \
    X(JOB_FAILING, "job-failing", 0, "it fails on every worker")              \
    X(WORKER_FAILING, "worker-failing", 0, "the worker fails every task")     \
    X(START_REFUSED, "start-refused", 0, "the worker refused a start")        \
    X(START_OVERDUE, "start-overdue", 0, "a start was late and not sent")     \
    X(ZONE_EVACUATED, "zone-evacuated", 0,                                    \
      "an unanswered start was withdrawn")                                    \
    X(STARTS_HELD, "starts-held", 0,                                          \
      "the list of evacuated zones is too old")                               \
    X(RESERVED_AHEAD, "reserved-ahead", 0, "a worker was reserved")           \
    X(RESERVATION_MISSED, "reservation-missed", 0,                            \
      "a reserved worker was not free in time")                               \
    X(LEASE_LAPSED, "lease-lapsed", 0, "the worker's lease lapsed")           \
    X(ORDER_OUTDATED, "order-outdated", 0,                                    \
      "the worker has restarted since the order was sent")                    \
    X(LATE_REPORT, "late-report", 0, "a worker's answer came after its time") \
    /* Settings, store, worker reports and peers. */                          \
    X(SETTINGS_STALE, "settings-stale", 0, "older settings were ignored")     \
    X(SETTINGS_CORRUPT, "settings-corrupt", 0, "malformed settings refused")  \
    X(SETTINGS_GAP, "settings-gap", 0, "missing revisions were fetched")      \
    X(STORE_UNAVAILABLE, "store-unavailable", 0, "a store call failed")       \
    X(STORE_LOST, "store-lost", 0, "a store answer was lost")                 \
    X(STORE_CONFLICT, "store-conflict", 0, "a store compare failed")          \
    X(CHECKPOINT_DROPPED, "checkpoint-dropped", 0,                            \
      "a checkpoint was too long, or no memory was left for it")              \
    X(REPORT_MALFORMED, "report-malformed", 0, "a report row was unreadable") \
    X(RECORD_REFUSED, "record-refused", 0, "a stored record was unreadable")  \
    X(PEER_LOST, "peer-lost", 0, "a message to a peer was dropped")           \
    X(PEER_MALFORMED, "peer-malformed", 0, "a peer message was refused")

typedef enum {
#define X(name, label, status, text) NM_REASON_##name,
    NM_REASON_LIST(X)
#undef X
        NM_REASON_COUNT,
} nm_reason_t;

const char *nm_reason_name(nm_reason_t reason);
const char *nm_reason_text(nm_reason_t reason);
/* Returns the HTTP status, or 0 if the reason is never sent to a caller. */
int nm_reason_status(nm_reason_t reason);

#define NM_COUNTER_LIST(X)                                                    \
    X(REQUESTS, "requests", "caller requests accepted")                       \
    X(ANSWERS, "answers", "caller requests answered by an executor")          \
    X(ATTEMPTS, "attempts", "attempts sent to executors")                     \
    X(FORWARDS, "forwards", "requests forwarded to another data centre")      \
    X(LINK_BYTES, "link_bytes",                                               \
      "bytes of forwarded requests on region links")                          \
    X(CLAIMS, "claims", "idempotency claims made")                            \
    X(CLAIM_COMMITS, "claim_commits", "store writes that carried claims")     \
    X(REPLAYS, "replays", "repeats answered from a recorded outcome")         \
    X(GRANTS, "grants", "grants received from the owner")                     \
    X(TAKEOVERS, "takeovers", "times this host became owner")                 \
    X(SYNCS, "worker_syncs", "worker synchronisations answered")              \
    X(SYNC_ERRORS, "worker_sync_errors", "worker synchronisations failed")    \
    X(STARTS, "task_starts", "task attempts started")                         \
    X(FINISHES, "task_finishes", "task outcomes recorded")                    \
    X(EVICTIONS, "task_evictions", "task attempts evicted")                   \
    X(THROTTLES, "task_throttles", "throttle commands issued")                \
    X(JOURNAL_WRITES, "journal_writes", "journal commits")                    \
    X(JOURNAL_RECORDS, "journal_records", "records in journal commits")       \
    X(STORE_CALLS, "store_calls", "calls made to the store")                  \
    X(SETTINGS_INSTALLED, "settings_installed", "settings revisions in use")  \
    X(PEER_SENT, "peer_messages_sent", "messages sent to peers")              \
    X(PEER_BYTES, "peer_bytes_sent", "bytes sent to peers")                   \
    X(PEER_BYTES_IN, "peer_bytes_received", "bytes received from peers")      \
    X(HTTP_BYTES, "http_bytes_sent",                                          \
      "bytes of request bodies sent to the store and to workers")             \
    X(HTTP_BYTES_IN, "http_bytes_received",                                   \
      "bytes of response bodies of the store and of workers")                 \
    X(PAYLOAD_BYTES, "payload_bytes_sent",                                    \
      "bytes of payloads of starts in messages to carriers")                  \
    X(END_BYTES_IN, "end_bytes_received",                                     \
      "bytes of ends of runs in reports from carriers")                       \
    X(WATCH_BYTES_IN, "watch_bytes_received",                                 \
      "bytes of lists and watches of the store")                              \
    X(CLIENTS_CLOSED, "clients_closed",                                       \
      "connections of clients closed for the limits of the process")          \
    X(BODIES_REFUSED, "bodies_refused",                                       \
      "request bodies for which there was no memory")                         \
    X(PROOFS, "connection_proofs",                                            \
      "polls that show which incarnation a connection leads to")

typedef enum {
#define X(name, label, text) NM_COUNTER_##name,
    NM_COUNTER_LIST(X)
#undef X
        NM_COUNTER_COUNT,
} nm_counter_t;

/* Adds one to a reason's counter.  Thread-safe. */
void nm_count_reason(nm_reason_t reason);
/* Adds an amount to a counter.  Thread-safe. */
void nm_count(nm_counter_t counter, uint64_t amount);
uint64_t nm_counter_value(nm_counter_t counter);
uint64_t nm_reason_value(nm_reason_t reason);

/* Receives one line of text without its newline. */
typedef void (*nm_line_fn)(void *user, const char *line);

/* Writes all counters, by reason too, in the Prometheus text format. */
void nm_counters_write(nm_line_fn write_line, void *user);

#endif
