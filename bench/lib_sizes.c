#include "lib_sizes.h"

#include <math.h>
#include <stdlib.h>

#include <glib.h>

double
sizes_draw(nm_rng_t *rng, const size_dist_t *dist)
{
    double radius = sqrt(-2 * log(1 - nm_rng_unit(rng)));
    double normal = radius * cos(2 * G_PI * nm_rng_unit(rng));
    double value = dist->mean * exp(dist->spread * normal -
                                    dist->spread * dist->spread / 2);
    return CLAMP(value, 1, dist->max);
}

static int
compare_descending(const void *a, const void *b)
{
    const sized_job_t *left = a;
    const sized_job_t *right = b;
    return (left->core_ms < right->core_ms) - (left->core_ms > right->core_ms);
}

static double
served_share(const sized_job_t *jobs, uint32_t begin, uint32_t end)
{
    uint32_t served = 0;
    for (uint32_t i = begin; i < end; i++) {
        served += jobs[i].served;
    }
    return (double)served / MAX(end - begin, 1);
}

sizes_served_t
sizes_served(sized_job_t *jobs, uint32_t count)
{
    if (count == 0) {
        return (sizes_served_t){0};
    }
    qsort(jobs, count, sizeof(*jobs), compare_descending);
    uint32_t tenth = MAX(count / 10, 1);
    uint32_t three_tenths = MAX(3 * count / 10, tenth);
    return (sizes_served_t){
        .count = count,
        .all = served_share(jobs, 0, count),
        .largest_tenth = served_share(jobs, 0, tenth),
        .next_fifth = served_share(jobs, tenth, three_tenths),
    };
}
