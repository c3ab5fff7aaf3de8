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
 *     uint32_t api = nm_interference_image(&model, "api");
 *     nm_interference_observe(&model, api, loads, 2, log(tail / target));
 *     double log_tail = nm_interference_predict(&model, api, loads, 2);
 *     nm_interference_finish(&model);
 */
#ifndef NM_INTERFERENCE_H
#define NM_INTERFERENCE_H

#include <glib.h>

#include <nutmegdeck/base.h>

/* Processor of one filler image on a worker, as a share of its capacity. */
typedef struct {
    uint32_t image;
    double share;
} nm_filler_load_t;

typedef struct {
    double mean;
    double variance;
} nm_effect_t;

typedef struct {
    GHashTable *images; /* name -> number, from 1 */
    uint32_t image_count;
    uint32_t image_capacity; /* side of the table of effects */
    nm_effect_t *bases;      /* by serving image */
    nm_effect_t *effects;    /* by serving image, then filler image */
} nm_interference_t;

void nm_interference_init(nm_interference_t *model);
void nm_interference_finish(nm_interference_t *model);
/* Number of an image, which stays valid. */
uint32_t nm_interference_image(nm_interference_t *model, const char *name);
/* Natural logarithm of the tail against its target. */
double nm_interference_predict(const nm_interference_t *model,
                               uint32_t serving, const nm_filler_load_t *loads,
                               uint32_t count);
/* What one filler adds to that. */
double nm_interference_effect(const nm_interference_t *model, uint32_t serving,
                              const nm_filler_load_t *load);
/* True while too few figures told of that pair of images. */
bool nm_interference_is_unknown(const nm_interference_t *model,
                                uint32_t serving, uint32_t filler);
/* Corrects the model by a figure; returns the error of the prediction. */
double nm_interference_observe(nm_interference_t *model, uint32_t serving,
                               const nm_filler_load_t *loads, uint32_t count,
                               double log_tail);
/* Probability that a tail with this expected logarithm misses its target. */
double nm_interference_risk(double log_tail);

/* JSON text of what was learned, to be freed with free(). */
char *nm_interference_encode(const nm_interference_t *model);
/* Takes over what was learned earlier; ignores what cannot be read. */
int nm_interference_decode(nm_interference_t *model, const void *data,
                           uint32_t bytes);

#endif
