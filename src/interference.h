/*
 * Interference model: how much fillers raise the tail latency of serving
 * tasks (long-running tasks with a latency target).
 *
 * Load: fillers and serving tasks of many images share workers.  The effect of
 * a filler differs by pair of images, changes over time, and shows only in
 * late and noisy metrics.  For each pair the model keeps a coefficient with
 * its variance, and corrects both with every metric (a Kalman filter without
 * covariances between coefficients).
 *
 *     nm_interference_t model;
 *     nm_interference_init(&model);
 *     uint32_t api = nm_interference_image_number(&model, "api");
 *     nm_estimate_t error =
 *         nm_interference_error(&model, api, loads, 2, log(tail / target));
 *     nm_interference_correct(&model, api, loads, 2, error);
 *     double log_tail = nm_interference_predict(&model, api, loads, 2);
 *     nm_interference_finish(&model);
 */
#ifndef NM_INTERFERENCE_H
#define NM_INTERFERENCE_H

#include <glib.h>

#include <nutmegdeck/base.h>

#include "estimate.h"

/* CPU of one filler image on a worker, as a share of the worker's CPU. */
typedef struct {
    uint32_t image;
    double share;
} nm_filler_load_t;

typedef struct {
    GHashTable *images; /* name -> number, from 1 */
    uint32_t image_count;
    uint32_t image_capacity; /* rows of both tables; numbers are below it */
    /* Coefficients, which add up to a log tail. */
    nm_estimate_t *bases;   /* without fillers, by serving image */
    nm_estimate_t *effects; /* by serving image, then filler image */
} nm_interference_t;

void nm_interference_init(nm_interference_t *model);
void nm_interference_finish(nm_interference_t *model);
/* Returns the number of an image, from 1 on, which never changes. */
uint32_t nm_interference_image_number(nm_interference_t *model,
                                      const char *name);
/* Predicts a log tail: the natural logarithm of tail divided by target. */
double nm_interference_predict(const nm_interference_t *model,
                               uint32_t serving, const nm_filler_load_t *loads,
                               uint32_t count);
/* Returns what one filler load adds to the predicted log tail. */
double nm_interference_effect(const nm_interference_t *model, uint32_t serving,
                              const nm_filler_load_t *load);
/* True while too few metrics of this pair of images were observed. */
bool nm_interference_is_unknown(const nm_interference_t *model,
                                uint32_t serving, uint32_t filler);
/* Returns the prediction error of a measured log tail, and its variance. */
nm_estimate_t nm_interference_error(const nm_interference_t *model,
                                    uint32_t serving,
                                    const nm_filler_load_t *loads,
                                    uint32_t count, double log_tail);
/*
 * Corrects the model by a prediction error.  variance: of the error, with all
 * that was subtracted from the log tail.
 */
void nm_interference_correct(nm_interference_t *model, uint32_t serving,
                             const nm_filler_load_t *loads, uint32_t count,
                             nm_estimate_t error);
/* Probability that a task with this predicted log tail misses its target. */
double nm_interference_risk(double log_tail);

/* Returns the model as JSON text, to be freed with free(). */
char *nm_interference_encode(const nm_interference_t *model);
/*
 * Replaces estimates by those of an encoded model; skips invalid entries.
 * Returns NM_ERR_CORRUPT for anything but JSON of the current version.
 */
int nm_interference_decode(nm_interference_t *model, const void *data,
                           uint32_t bytes);

#endif
