/*
 * Job scheduling under load patterns: bench_jobs [SEED] [PATTERN].
 *
 * Each line gives what callers and serving tasks got; the last ones give
 * the cost of a decision at growing numbers of workers.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "lib_fleet.h"

static const struct {
    const char *name;
    fleet_desc_t desc;
} patterns[] = {
    {"calm",
     {.checks_per_s = 5,
      .fillers_per_s = 5,
      .services = 36,
      .services_per_s = 0.2,
      .heavy = 0.5}},
    {"burst",
     {.checks_per_s = 5,
      .fillers_per_s = 5,
      .services = 36,
      .services_per_s = 0.2,
      .heavy = 0.5,
      .burst = 2.6}},
    {"poison",
     {.checks_per_s = 5,
      .fillers_per_s = 5,
      .services = 36,
      .heavy = 0.5,
      .poison = 0.2}},
    {"failing-workers",
     {.checks_per_s = 5,
      .fillers_per_s = 5,
      .services = 36,
      .heavy = 0.5,
      .failing = 4}},
    {"dark-workers",
     {.checks_per_s = 5,
      .fillers_per_s = 5,
      .services = 36,
      .heavy = 0.5,
      .dark = 6}},
};

static void
report(const char *name, const fleet_info_t *info)
{
    printf("jobs %-16s checks %3u%% fillers %3u%% harmed %5.1f%% waiting "
           "%5.0f s over %5lld ms starts %u stops %u looks %u overfull %u "
           "doubled %u, %.0f us a start\n",
           name, 100 * info->checks_in_time / MAX(info->checks, 1),
           100 * info->fillers_in_time / MAX(info->fillers, 1),
           100 * info->harmed_s / MAX(info->serving_s, 1), info->waiting_s,
           (long long)info->longest_over_ms, info->starts, info->stops,
           info->looks, info->overfull, info->doubled,
           info->processor_s * 1e6 / MAX(info->starts, 1));
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    const char *only = argc > 2 ? argv[2] : NULL;
    for (size_t i = 0; i < NM_COUNT_OF(patterns); i++) {
        if (!only || strcmp(only, patterns[i].name) == 0) {
            fleet_desc_t desc = patterns[i].desc;
            desc.seed = seed;
            fleet_info_t info = fleet_run(&desc);
            report(patterns[i].name, &info);
        }
    }
    static const uint32_t sizes[] = {50, 500, 2000};
    for (size_t i = 0; i < NM_COUNT_OF(sizes); i++) {
        char name[32];
        snprintf(name, sizeof(name), "workers-%u", sizes[i]);
        if (only && strcmp(only, name) != 0) {
            continue;
        }
        double scale = sizes[i] / 48.0;
        fleet_info_t info = fleet_run(&(fleet_desc_t){
            .seed = seed,
            .workers = sizes[i],
            .checks_per_s = 5 * scale,
            .fillers_per_s = 5 * scale,
            .services = (uint32_t)(36 * scale),
            .heavy = 0.5,
            .duration_ms = 10000,
        });
        report(name, &info);
    }
    return 0;
}
