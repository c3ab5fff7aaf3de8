#include "load_swing.h"

#include <assert.h>
#include <math.h>

#include <glib.h>

/* Variance of a job's deviation that was never observed, and of its rate. */
#define LEVEL_VARIANCE 0.12
#define RATE_VARIANCE 0.03
/* Added to the variances per second. */
#define WALK_NOISE_PER_S 0.1
#define LEVEL_NOISE_PER_S 0.005
#define RATE_NOISE_PER_S 0.005
/* Weight of the evidence that each further observation leaves. */
#define EVIDENCE_DECAY 0.9998
/* Evidence by which another hypothesis must exceed the best one so far. */
#define EVIDENCE_MARGIN 3.0
/* The estimates of a job that was not observed for longer are discarded. */
#define STALE_MS 10000

/*
 * Periods by hypothesis; 0: the random walk.  Neighbours differ by a factor of
 * 1.3, so that one is within 14% of any period between them.
 */
static const double periods_ms[NM_SWING_HYPOTHESES] = {
    0, 4000, 5200, 6800, 8800, 11400, 14800, 19300, 25100, 32600, 42400, 55100,
};

void
nm_swing_model_init(nm_swing_model_t *model)
{
    assert(model);
    *model = (nm_swing_model_t){0};
}

void
nm_swing_init(nm_swing_t *swing, nm_ms_t now_ms)
{
    assert(swing);
    swing->updated_ms = now_ms;
    for (uint32_t i = 0; i < NM_SWING_HYPOTHESES; i++) {
        swing->states[i] = (nm_swing_state_t){.var_level = LEVEL_VARIANCE,
                                              .var_rate = RATE_VARIANCE};
    }
}

/* Advances a state by a time, without an observation. */
static nm_swing_state_t
advance(const nm_swing_state_t *state, uint32_t hypothesis, nm_ms_t elapsed_ms)
{
    double elapsed_s = (double)elapsed_ms / 1000;
    nm_swing_state_t next = *state;
    if (hypothesis == 0) {
        next.var_level = MIN(state->var_level + WALK_NOISE_PER_S * elapsed_s,
                             LEVEL_VARIANCE);
        return next;
    }
    double omega = 2 * G_PI * 1000 / periods_ms[hypothesis];
    double c = cos(omega * elapsed_s);
    double s = sin(omega * elapsed_s);
    double a = s / omega;
    double b = -omega * s;
    next.level = c * state->level + a * state->rate;
    next.rate = b * state->level + c * state->rate;
    next.var_level = c * c * state->var_level + 2 * a * c * state->covariance +
                     a * a * state->var_rate + LEVEL_NOISE_PER_S * elapsed_s;
    next.var_rate = b * b * state->var_level + 2 * b * c * state->covariance +
                    c * c * state->var_rate + RATE_NOISE_PER_S * elapsed_s;
    next.covariance = b * c * state->var_level +
                      (c * c + a * b) * state->covariance +
                      a * c * state->var_rate;
    return next;
}

nm_estimate_t
nm_swing_forecast(const nm_swing_model_t *model, const nm_swing_t *swing,
                  nm_ms_t at_ms)
{
    assert(model && swing);
    nm_ms_t elapsed_ms = at_ms - swing->updated_ms;
    if (elapsed_ms > STALE_MS) {
        return (nm_estimate_t){0, LEVEL_VARIANCE};
    }
    nm_swing_state_t state =
        advance(&swing->states[model->best], model->best, MAX(elapsed_ms, 0));
    return (nm_estimate_t){state.level, state.var_level};
}

void
nm_swing_observe(nm_swing_model_t *model, nm_swing_t *swing, nm_ms_t now_ms,
                 nm_estimate_t deviation)
{
    assert(model && swing && deviation.variance > 0);
    nm_ms_t elapsed_ms = now_ms - swing->updated_ms;
    if (elapsed_ms > STALE_MS) {
        nm_swing_init(swing, now_ms);
        elapsed_ms = 0;
    }
    swing->updated_ms = now_ms;
    uint32_t best = 0;
    for (uint32_t i = 0; i < NM_SWING_HYPOTHESES; i++) {
        nm_swing_state_t next =
            advance(&swing->states[i], i, MAX(elapsed_ms, 0));
        double error = deviation.mean - next.level;
        double total = deviation.variance + next.var_level;
        double level_gain = next.var_level / total;
        double rate_gain = next.covariance / total;
        next.level += level_gain * error;
        next.rate += rate_gain * error;
        next.var_rate -= rate_gain * next.covariance;
        next.covariance -= level_gain * next.covariance;
        next.var_level -= level_gain * next.var_level;
        swing->states[i] = next;
        model->evidence[i] = EVIDENCE_DECAY * model->evidence[i] -
                             0.5 * (log(total) + error * error / total);
        if (model->evidence[i] > model->evidence[best]) {
            best = i;
        }
    }
    if (model->evidence[best] > model->evidence[model->best] + EVIDENCE_MARGIN)
    {
        model->best = best;
    }
}
