/*
 * Learned models of placement: task sizes and pairwise interference.
 *
 * Internal to the place module.  A class is a set of tasks that behave
 * alike.  Sizes are quantiles of reported use, with a margin that shrinks
 * as reports arrive.  The slowdown of a service is modelled as
 *
 *     1 + sum over classes of coefficient * processor share
 *
 * with one coefficient for each service, class and load band, estimated by
 * a Kalman filter whose covariance is kept diagonal.
 */
#ifndef NM_PLACE_MODEL_H
#define NM_PLACE_MODEL_H

#include <nutmegdeck/place.h>

/* Newest usage reports kept for each class. */
#define NM_USAGE_SAMPLES_MAX 32

typedef struct {
    float mean;
    float variance;
    uint32_t samples;
} nm_coefficient_t;

typedef struct {
    uint64_t id;
    int64_t cpu_samples[NM_USAGE_SAMPLES_MAX];
    int64_t memory_samples[NM_USAGE_SAMPLES_MAX];
    uint32_t usage_count;
    int64_t cpu_estimate;     /* cached quantile of the samples */
    int64_t memory_estimate;  /* cached maximum of the samples */
    nm_resources_t true_size; /* for the policy ORACLE */
    bool has_true_size;
    bool estimates_stale;
    uint32_t exploring_count; /* allocations that explore */
    nm_coefficient_t *coefficients[NM_PLACE_SERVICES_MAX];
} nm_class_t;

/* One class's share of a worker's processors. */
typedef struct {
    nm_class_t *class_;
    float share;
} nm_class_share_t;

/* Returns the index of a load's band. */
int nm_model_band(float load);
void nm_class_finish(nm_class_t *class_);
void nm_class_observe_usage(nm_class_t *class_, const nm_resources_t *usage);
/* Returns what to reserve for a task, at most limit. */
nm_resources_t nm_class_reservation(nm_class_t *class_,
                                    const nm_resources_t *declared,
                                    const nm_resources_t *limit);
const nm_coefficient_t *nm_class_coefficient(nm_class_t *class_,
                                             uint32_t service, int band);
/*
 * Updates the coefficients of the classes that ran when the sample was
 * measured; shares are those at that time.
 */
void nm_model_observe(const nm_class_share_t *shares, uint32_t count,
                      uint32_t service, const nm_place_sample_t *sample);

#endif
