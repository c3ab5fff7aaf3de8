/*
 * Reports of workers between a carrier and the owner, as differences.
 *
 * Answers this load: thousands of workers that are asked twice a second, each
 * with a list of runs of which few have changed.  The carrier remembers the
 * last report of each worker; a poll names the report that the owner has, and
 * if that is the one remembered, only what differs is sent.  Otherwise, after
 * a lost answer, another carrier or another owner, the report is whole.
 *
 *     nm_report_encoder_t encoder;              (at the carrier)
 *     nm_report_encoder_init(&encoder);
 *     NmPb__WorkerReport *message =
 *         nm_report_encode(&encoder, "w1", &report, base, now_ms);
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
    GHashTable *workers; /* id -> the last report */
    uint64_t number;     /* of the newest report */
    nm_ms_t evicted_ms;
} nm_report_encoder_t;

/* What the owner knows of one worker's runs. */
typedef struct {
    uint64_t number; /* of the report; 0: none */
    GArray *running; /* of nm_worker_run_t */
} nm_report_view_t;

void nm_report_encoder_init(nm_report_encoder_t *encoder);
void nm_report_encoder_finish(nm_report_encoder_t *encoder);
/* base: the report that the owner has, or 0. */
NmPb__WorkerReport *nm_report_encode(nm_report_encoder_t *encoder,
                                     const char *worker,
                                     const nm_worker_report_t *report,
                                     uint64_t base, nm_ms_t now_ms);
void nm_report_message_free(NmPb__WorkerReport *message);

void nm_report_view_init(nm_report_view_t *view);
void nm_report_view_finish(nm_report_view_t *view);
/* Returns NM_ERR_CORRUPT, and forgets all, if the message does not fit. */
int nm_report_apply(nm_report_view_t *view, const NmPb__WorkerReport *message);

#endif
