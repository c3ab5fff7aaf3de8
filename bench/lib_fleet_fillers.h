/*
 * Profiles of fleets whose fillers disturb serving tasks, and an account of
 * the time over target that they cause.
 *
 * Load: serving tasks that hold most of the CPU of small workers, tails far
 * below the target at rest, and fillers of many images of which most have a
 * heavy effect.  Throttle and stop orders take effect with a delay, and a
 * metric is the mean of a window.
 */
#ifndef LIB_FLEET_FILLERS_H
#define LIB_FLEET_FILLERS_H

#include <stdint.h>

#include <nutmegdeck/base.h>

#define FLEET_SERVING_IMAGES_MAX 10
#define FLEET_FILLER_IMAGES_MAX 18
/* Until then most pairs of images are met for the first time. */
#define FLEET_EARLY_MS 20000

/* Why a serving task was over its target because of fillers. */
#define FLEET_CAUSE_LIST(X)                                                   \
    X(TRANSIT, "order-in-transit") /* a stop or throttle has no effect yet */ \
    X(UNKNOWN, "unknown-pair")     /* of the filler with the most effect */   \
    X(ROUND, "same-round")         /* a second start within 100 ms */         \
    X(SINGLE, "known-pair") /* one filler alone, its effect is known */       \
    X(SUM, "sum")           /* only all together */                           \
    X(SWING, "swing")       /* the load has risen since the start */

typedef enum {
#define X(name, label) FLEET_CAUSE_##name,
    FLEET_CAUSE_LIST(X)
#undef X
        FLEET_CAUSE_COUNT,
} fleet_cause_t;

/* NULL in a description: as in bench_jobs. */
typedef struct {
    int serving_images;
    int filler_images;
    uint32_t service_tasks;
    int64_t service_cpu_milli;
    uint32_t filler_tasks;
    int64_t filler_cpu_milli;
    nm_ms_t filler_estimate_ms;
    double base_log_tail;     /* at the mean load */
    double heavy_image_share; /* share of filler images with such an effect */
    double heavy_effect;      /* mean, for a tenth of the worker */
    /* Amplitude by which the load of a job changes the effects on it. */
    double effect_swing;
} fleet_profile_t;

typedef struct {
    double over_s;                      /* caused by fillers */
    double causes_s[FLEET_CAUSE_COUNT]; /* parts of over_s */
    /* Parts of over_s in the begin of a pattern, and after it. */
    double early_s;
    double settled_s;
    double late_s;    /* part of over_s, 1 s or more after its begin */
    double startup_s; /* part of over_s, in the first 2 s of a serving task */
    double work_core_s; /* of filler runs that ended or were saved */
    double lost_core_s; /* of runs that were stopped without a checkpoint */
    uint32_t throttles;
} fleet_filler_info_t;

#endif
