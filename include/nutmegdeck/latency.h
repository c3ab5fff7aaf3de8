/*
 * Latency histograms of the process, in milliseconds, for Prometheus.
 *
 *     nm_latency_add(NM_LATENCY_CALL, 12);
 *     nm_latency_write(stdout_writer, user);
 */
#ifndef NUTMEGDECK_LATENCY_H
#define NUTMEGDECK_LATENCY_H

#include <nutmegdeck/reason.h>

#define NM_LATENCY_LIST(X)                                                    \
    X(CALL, "call", "from a caller's request to its answer")                  \
    X(ORDER, "order", "from an order to a worker to its answer")              \
    X(COMMIT, "commit", "from a commit of progress to its answer")            \
    X(FIRST_START, "first_start", "from a job's acceptance to its start")     \
    X(JOB, "job", "from a job's acceptance to its end")

typedef enum {
#define X(name, label, text) NM_LATENCY_##name,
    NM_LATENCY_LIST(X)
#undef X
        NM_LATENCY_COUNT,
} nm_latency_t;

/* Adds one observation.  Safe from any thread. */
void nm_latency_add(nm_latency_t latency, nm_ms_t value_ms);
/* Writes all histograms in Prometheus text format. */
void nm_latency_write(nm_line_fn write_line, void *user);

#endif
