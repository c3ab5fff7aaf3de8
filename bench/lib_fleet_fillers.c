#include "lib_fleet_fillers.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include "lib_fleet_state.h"

/* Time from an order to its effect. */
#define THROTTLE_DELAY_MS 100
#define STOP_DELAY_MIN_MS 200
#define STOP_DELAY_SPREAD_MS 200
/* Effect of a pair that is not heavy. */
#define LIGHT_EFFECT_MAX 0.15
/* Share of the serving images that a heavy filler image disturbs. */
#define HEAVY_PAIR_SHARE 0.8
/* A pair counts as known once its tasks were beside each other for so long. */
#define KNOWN_PAIR_S 6
/* Smaller contributions to a log tail are not looked for as a cause. */
#define CONTRIBUTION_MIN 0.05
/* Starts this close are of one round of decisions. */
#define ROUND_MS 100
#define STARTUP_MS 2000
#define LATE_MS 1000
#define BASE_TAIL_MS 8.0

uint32_t
fleet_serving_images(const fleet_t *fleet)
{
    const fleet_profile_t *profile = fleet->desc.profile;
    return profile ? (uint32_t)profile->serving_images : SERVING_IMAGES;
}

uint32_t
fleet_filler_images(const fleet_t *fleet)
{
    const fleet_profile_t *profile = fleet->desc.profile;
    return profile ? (uint32_t)profile->filler_images : FILLER_IMAGES;
}

double
fleet_base_log_tail(const fleet_t *fleet)
{
    const fleet_profile_t *profile = fleet->desc.profile;
    return profile ? profile->base_log_tail : log(BASE_TAIL_MS / TARGET_MS);
}

void
fleet_reveal_effects(fleet_t *fleet)
{
    json_t *bases = json_array();
    json_t *effects = json_array();
    for (int s = 0; s < (int)fleet_serving_images(fleet); s++) {
        char serving[16];
        snprintf(serving, sizeof(serving), "%d", s);
        json_array_append_new(
            bases,
            json_pack("[s,f,f]", serving, fleet_base_log_tail(fleet), 1e-6));
        for (int f = 0; f < (int)fleet_filler_images(fleet); f++) {
            char filler[16];
            snprintf(filler, sizeof(filler), "%d", f);
            json_array_append_new(effects,
                                  json_pack("[s,s,f,f]", serving, filler,
                                            fleet->effects[s][f], 1e-6));
        }
    }
    json_t *record = json_pack("{s:i,s:o,s:o}", "version", 1, "bases", bases,
                               "effects", effects);
    char *text = json_dumps(record, JSON_COMPACT);
    nm_sched_restore_learned(fleet->sched, text, (uint32_t)strlen(text));
    free(text);
    json_decref(record);
}

void
fillers_draw_effects(fleet_t *fleet)
{
    const fleet_profile_t *profile = fleet->desc.profile;
    for (int f = 0; f < profile->filler_images; f++) {
        bool heavy = nm_rng_unit(&fleet->rng) < profile->heavy_image_share;
        for (int s = 0; s < profile->serving_images; s++) {
            bool disturbs =
                heavy && nm_rng_unit(&fleet->rng) < HEAVY_PAIR_SHARE;
            double factor = nm_rng_unit(&fleet->rng);
            fleet->effects[s][f] = disturbs
                                       ? profile->heavy_effect * (0.5 + factor)
                                       : LIGHT_EFFECT_MAX * factor;
        }
    }
}

double
fillers_swing(const fleet_t *fleet, const run_t *run, nm_ms_t at_ms)
{
    if (fleet->desc.load_period_ms == 0) {
        return 0;
    }
    double angle =
        2 * G_PI * (double)at_ms / (double)fleet->desc.load_period_ms;
    return fleet->desc.load_swing * sin(angle + run->load_phase);
}

double
fillers_effect(const fleet_t *fleet, const run_t *run, const run_t *filler)
{
    double effect = fleet->effects[run->serving_image][filler->filler_image];
    const fleet_profile_t *profile = fleet->desc.profile;
    if (!profile || fleet->desc.load_swing <= 0) {
        return effect;
    }
    double phase =
        fillers_swing(fleet, run, fleet->now_ms) / fleet->desc.load_swing;
    return effect * (1 + profile->effect_swing * phase);
}

/* Adds a filler's share of its worker to a log tail. */
static double
contribution(const fleet_t *fleet, const run_t *run, const run_t *filler,
             uint32_t percent)
{
    double share = (double)filler->cpu_milli * percent / 100 /
                   (double)fleet->desc.cpu_milli;
    return fillers_effect(fleet, run, filler) * share / 0.1;
}

void
fillers_on_start(fleet_t *fleet, run_t *run)
{
    for (int s = 0; s < FLEET_SERVING_IMAGES_MAX; s++) {
        if (fleet->pair_s[s][run->filler_image] < KNOWN_PAIR_S) {
            run->unknown_images |= 1U << s;
        }
    }
}

void
fillers_throttle(fleet_t *fleet, run_t *run, uint32_t percent)
{
    fleet->info.fillers_beside.throttles++;
    run->wanted_percent = percent;
    run->throttled_ms = fleet->now_ms + THROTTLE_DELAY_MS;
}

void
fillers_stop(fleet_t *fleet, run_t *run)
{
    if (!run->stopping) {
        run->stopping = true;
        run->stopped_ms =
            fleet->now_ms + STOP_DELAY_MIN_MS +
            (nm_ms_t)nm_rng_below(&fleet->rng, STOP_DELAY_SPREAD_MS);
    }
}

/* What the tail of a serving task consists of at one time. */
typedef struct {
    double sum;     /* log tail */
    double decided; /* the same once all orders have their effect */
    double largest; /* contribution of one filler */
    double recent;  /* of the fillers started with the youngest */
    uint32_t recent_count;
    const run_t *worst;    /* filler of the largest contribution */
    const run_t *youngest; /* filler that contributes and began last */
} tail_parts_t;

static tail_parts_t
split_tail(const fleet_t *fleet, const worker_t *worker, const run_t *run)
{
    double own = fleet->desc.profile->base_log_tail +
                 fillers_swing(fleet, run, fleet->now_ms);
    tail_parts_t parts = {.sum = own, .decided = own};
    for (guint i = 0; i < worker->runs->len; i++) {
        const run_t *other = &g_array_index(worker->runs, run_t, i);
        if (other->filler_image < 0) {
            continue;
        }
        double part = contribution(fleet, run, other, other->percent);
        parts.sum += part;
        parts.decided += other->stopping ? 0
                                         : contribution(fleet, run, other,
                                                        other->wanted_percent);
        if (part < CONTRIBUTION_MIN) {
            continue;
        }
        if (part > parts.largest) {
            parts.largest = part;
            parts.worst = other;
        }
        if (!parts.youngest || other->began_ms > parts.youngest->began_ms) {
            parts.youngest = other;
        }
    }
    for (guint i = 0; parts.youngest && i < worker->runs->len; i++) {
        const run_t *other = &g_array_index(worker->runs, run_t, i);
        double part = other->filler_image < 0
                          ? 0
                          : contribution(fleet, run, other, other->percent);
        if (part >= CONTRIBUTION_MIN &&
            other->began_ms + ROUND_MS >= parts.youngest->began_ms)
        {
            parts.recent += part;
            parts.recent_count++;
        }
    }
    return parts;
}

static fleet_cause_t
find_cause(const fleet_t *fleet, const run_t *run, const tail_parts_t *parts)
{
    if (parts->decided <= 0) {
        return FLEET_CAUSE_TRANSIT;
    }
    if (!parts->worst) {
        return FLEET_CAUSE_SUM;
    }
    double own = fillers_swing(fleet, run, fleet->now_ms);
    double own_at_start = fillers_swing(fleet, run, parts->youngest->began_ms);
    if (parts->sum - own + own_at_start <= 0) {
        return FLEET_CAUSE_SWING;
    }
    if (parts->worst->unknown_images & (1U << run->serving_image)) {
        return FLEET_CAUSE_UNKNOWN;
    }
    double without_others = parts->sum - parts->recent +
                            parts->recent / MAX(parts->recent_count, 1);
    if (parts->recent_count > 1 && without_others <= 0) {
        return FLEET_CAUSE_ROUND;
    }
    double alone = fleet->desc.profile->base_log_tail + own + parts->largest;
    return alone > 0 ? FLEET_CAUSE_SINGLE : FLEET_CAUSE_SUM;
}

void
fillers_account(fleet_t *fleet, const worker_t *worker, const run_t *run)
{
    fleet_filler_info_t *info = &fleet->info.fillers_beside;
    double own = fleet->desc.profile->base_log_tail +
                 fillers_swing(fleet, run, fleet->now_ms);
    for (guint i = 0; i < worker->runs->len; i++) {
        const run_t *other = &g_array_index(worker->runs, run_t, i);
        if (other->filler_image >= 0) {
            fleet->pair_s[run->serving_image][other->filler_image] +=
                TICK_MS / 1000.0;
        }
    }
    if (run->over_since_ms == 0 || own > 0) {
        return;
    }
    tail_parts_t parts = split_tail(fleet, worker, run);
    info->over_s += TICK_MS / 1000.0;
    *(fleet->now_ms < FLEET_EARLY_MS ? &info->early_s : &info->settled_s) +=
        TICK_MS / 1000.0;
    info->causes_s[find_cause(fleet, run, &parts)] += TICK_MS / 1000.0;
    if (fleet->now_ms - run->over_since_ms >= LATE_MS) {
        info->late_s += TICK_MS / 1000.0;
    }
    if (fleet->now_ms - run->began_ms < STARTUP_MS) {
        info->startup_s += TICK_MS / 1000.0;
    }
}

void
fillers_tick_run(fleet_t *fleet, run_t *run)
{
    if (run->wanted_percent != run->percent &&
        fleet->now_ms >= run->throttled_ms) {
        run->percent = run->wanted_percent;
    }
    if (run->filler_image >= 0) {
        run->work_core_s +=
            (double)(run->cpu_milli * run->percent) * TICK_MS / 1e8;
    }
}

void
fillers_on_end(fleet_t *fleet, const run_t *run, bool kept)
{
    fleet_filler_info_t *info = &fleet->info.fillers_beside;
    *(kept ? &info->work_core_s : &info->lost_core_s) += run->work_core_s;
}
