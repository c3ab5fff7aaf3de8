/*
 * Model of durations: how long the tasks of a step take, given their estimate.
 *
 * Load: estimates that are wrong by up to 0.9 of the value, for some kinds of
 * request more than for others.  For each queue and step, and for each image
 * of these, the model keeps the means and covariance of the logarithms of
 * estimates and durations, in which newer steps weigh more.  Where estimates
 * say little, the prediction is close to what the tasks of that step usually
 * take; where they are right, it is the estimate.
 *
 *     nm_durations_t model;
 *     nm_durations_init(&model);
 *     nm_durations_observe(&model, &key, estimate_ms, median_ms);
 *     nm_ms_t expected_ms = nm_durations_predict(&model, &key, estimate_ms);
 *     nm_durations_finish(&model);
 */
#ifndef NM_DURATIONS_H
#define NM_DURATIONS_H

#include <glib.h>

#include <nutmegdeck/base.h>

/* Limit of rows; the one that was observed longest ago is replaced. */
#define NM_DURATIONS_ROWS_MAX 256

/* Names a step of the jobs of a queue. */
typedef struct {
    const char *queue;
    uint32_t step;
    const char *image; /* empty: none */
} nm_duration_key_t;

typedef struct {
    GHashTable *rows; /* name -> row */
    uint64_t observations;
} nm_durations_t;

void nm_durations_init(nm_durations_t *model);
void nm_durations_finish(nm_durations_t *model);
/*
 * Learns from a step: the median duration of its tasks, so that stragglers
 * among them have no weight.  Times below 1 ms are ignored.
 */
void nm_durations_observe(nm_durations_t *model, const nm_duration_key_t *key,
                          nm_ms_t estimate_ms, nm_ms_t median_ms);
/* Returns the expected duration; the estimate while nothing is known. */
nm_ms_t nm_durations_predict(const nm_durations_t *model,
                             const nm_duration_key_t *key,
                             nm_ms_t estimate_ms);
/*
 * Mean error of the estimates of a queue's first step: the standard deviation
 * of the logarithm of duration / estimate; negative if nothing is known.
 */
double nm_durations_error(const nm_durations_t *model, const char *queue);

/* Returns the model as JSON text, to be freed with free(). */
char *nm_durations_encode(const nm_durations_t *model);
/*
 * Adds the rows of an encoded model, which is the member `durations` of a JSON
 * object; skips invalid ones.  Without the member there are none.  Returns
 * NM_ERR_CORRUPT for anything but JSON of the current version.
 */
int nm_durations_decode(nm_durations_t *model, const void *data,
                        uint32_t bytes);

#endif
