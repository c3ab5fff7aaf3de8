/*
 * Delta encoding of worker reports between a carrier and the owner.
 *
 * Load: thousands of workers that are polled twice a second, each with a list
 * of runs of which few have changed.  The carrier caches the last report of
 * each worker.  A poll names the report that the owner has; if that is the
 * cached one, only the differences are sent.  Otherwise, after a lost
 * response, a restart of the worker or a change of the carrier or the owner,
 * the report is full.  A worker lists its ends until they are stored, which
 * takes seconds on a busy owner; those that the owner has processed are left
 * out.
 *
 *     nm_report_encoder_t encoder;              (at the carrier)
 *     nm_report_encoder_init(&encoder);
 *     NmPb__WorkerReport *message =
 *         nm_report_encode(&encoder, "w1", &report, &base, now_ms);
 *     nm_report_message_free(message);
 *     nm_report_encoder_finish(&encoder);
 *
 *     nm_report_view_t view;                  (at the owner, for a worker)
 *     nm_report_view_init(&view);
 *     if (nm_report_apply(&view, message) == NM_OK) { ... view.running ... }
 *     nm_report_view_finish(&view);
 */
#ifndef NM_REPORT_DELTA_H
#define NM_REPORT_DELTA_H

#include <glib.h>

#include <nutmegdeck/sched.h>

#include "entry.pb-c.h"

typedef struct {
    GHashTable *workers; /* worker id -> last report */
    uint64_t number;     /* of the newest report of any worker */
    nm_ms_t evicted_ms;  /* last time that unused reports were evicted */
} nm_report_encoder_t;

/* What the owner has of a worker, as its poll says. */
typedef struct {
    uint64_t number;     /* of the newest report; 0: none */
    int64_t incarnation; /* of the worker */
    int64_t ends_known;  /* newest end of the incarnation that is processed */
} nm_report_base_t;

/* Runs of one worker, as the owner knows them. */
typedef struct {
    uint64_t number; /* of the last report applied; 0: none */
    GArray *running; /* of nm_worker_run_t */
} nm_report_view_t;

void nm_report_encoder_init(nm_report_encoder_t *encoder);
void nm_report_encoder_finish(nm_report_encoder_t *encoder);
/*
 * Returns a message, which the caller frees with nm_report_message_free.
 * Leaves no end out if the worker may list more than the report has.
 */
NmPb__WorkerReport *nm_report_encode(nm_report_encoder_t *encoder,
                                     const char *worker,
                                     const nm_worker_report_t *report,
                                     const nm_report_base_t *base,
                                     nm_ms_t now_ms);
void nm_report_message_free(NmPb__WorkerReport *message);

void nm_report_view_init(nm_report_view_t *view);
void nm_report_view_finish(nm_report_view_t *view);
/*
 * Applies a message to the view.  Returns NM_ERR_CORRUPT, and clears the view,
 * if the message does not match it.
 */
int nm_report_apply(nm_report_view_t *view, const NmPb__WorkerReport *message);

/*
 * Replaces the contents of ends (nm_worker_end_t) by those of a report; their
 * checkpoints are those of the message.
 */
void nm_report_decode_ends(const NmPb__WorkerReport *message, GArray *ends);

#endif
