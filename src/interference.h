/*
 * Interference: how much fillers raise the tail of serving tasks.
 *
 * Answers this load: images of fillers and of serving tasks that meet on
 * one worker, with effects that differ by pair, change, and show only in
 * late and rough figures.  For each pair the model keeps a coefficient with
 * its variance, and corrects it with every figure (a Kalman filter whose
 * covariances between coefficients are left out).
 *
 *     nm_interference_t model;
 *     nm_interference_init(&model);
 *     nm_interference_observe(&model, "api", loads, 2, log(tail / target));
 *     double log_tail = nm_interference_predict(&model, "api", loads, 2);
 *     nm_interference_finish(&model);
 */
#ifndef NM_INTERFERENCE_H
#define NM_INTERFERENCE_H

#include <glib.h>

#include <nutmegdeck/base.h>

/* Processor of one filler image on a worker, as a share of its capacity. */
typedef struct {
    const char *image;
    double share;
} nm_filler_load_t;

typedef struct {
    GHashTable *serving; /* image -> coefficients */
} nm_interference_t;

void nm_interference_init(nm_interference_t *model);
void nm_interference_finish(nm_interference_t *model);
/* Natural logarithm of the tail against its target. */
double nm_interference_predict(nm_interference_t *model, const char *serving,
                               const nm_filler_load_t *loads, uint32_t count);
/* Corrects the model by a figure; returns the error of the prediction. */
double nm_interference_observe(nm_interference_t *model, const char *serving,
                               const nm_filler_load_t *loads, uint32_t count,
                               double log_tail);
/* Probability that a tail with this expected logarithm misses its target. */
double nm_interference_risk(double log_tail);

#endif
