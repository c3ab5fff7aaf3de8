/*
 * Swing of a serving job's load, estimated from the tails of its tasks.
 *
 * Load: serving jobs whose own traffic rises and falls within seconds to
 * minutes, all tasks of a job alike, each job with its own phase.  A filler
 * that fits beside a job at its low would make it miss its target at its
 * peak, so placement needs the tail of the next second, not the average.
 *
 * The swing is what a log tail deviates from its mean, without the effect of
 * fillers.  Each job has a Kalman filter for each of a few hypotheses: a
 * random walk, and oscillators of different periods.  All jobs together
 * decide which hypothesis predicts best, as one job alone is observed too
 * rarely.  Nothing needs to be known about the period.
 *
 *     nm_swing_model_t model;
 *     nm_swing_model_init(&model);
 *     nm_swing_t swing;
 *     nm_swing_init(&swing, now_ms);
 *     nm_swing_observe(&model, &swing, now_ms, deviation);
 *     nm_estimate_t next =
 *         nm_swing_forecast(&model, &swing, now_ms + 1000);
 */
#ifndef NM_LOAD_SWING_H
#define NM_LOAD_SWING_H

#include <nutmegdeck/base.h>

#include "estimate.h"

/* A random walk, and oscillators of eleven periods from 4 to 55 s. */
#define NM_SWING_HYPOTHESES 12

typedef struct {
    /* Log likelihood of recent observations, by hypothesis. */
    double evidence[NM_SWING_HYPOTHESES];
    uint32_t best; /* hypothesis that forecasts are made with */
} nm_swing_model_t;

/* Deviation, its change per second, and their covariances. */
typedef struct {
    double level;
    double rate;
    double var_level;
    double var_rate;
    double covariance;
} nm_swing_state_t;

typedef struct {
    nm_swing_state_t states[NM_SWING_HYPOTHESES];
    nm_ms_t updated_ms;
} nm_swing_t;

void nm_swing_model_init(nm_swing_model_t *model);
/* A new job may be anywhere in its swing. */
void nm_swing_init(nm_swing_t *swing, nm_ms_t now_ms);
/* Returns the deviation of the log tail that is expected at a time. */
nm_estimate_t nm_swing_forecast(const nm_swing_model_t *model,
                                const nm_swing_t *swing, nm_ms_t at_ms);
/*
 * Corrects the estimates by a measured deviation of a log tail, with the
 * variance of the measurement and of all that was subtracted from it.
 */
void nm_swing_observe(nm_swing_model_t *model, nm_swing_t *swing,
                      nm_ms_t now_ms, nm_estimate_t deviation);

#endif
