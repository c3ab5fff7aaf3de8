#include "lib_mixes.h"

#include "lib_restarts.h"

/* A straggler takes this many times its estimate. */
#define STRAGGLER_FACTOR 7
/* Jobs of the last seconds are left out: they had no time to end. */
#define UNMEASURED_END_MS 4000

static const struct {
    uint32_t tasks;
    double cpu_share; /* of a worker */
    nm_ms_t estimate_ms;
    bool is_gang;
} shapes[FLEET_MIX_COUNT] = {
    [FLEET_MIX_SMALL] = {6, 0.08, 800, false},
    [FLEET_MIX_LARGE] = {2, 0.67, 1500, false},
    [FLEET_MIX_GANG] = {12, 0.25, 1500, true},
};

bool
mixes_is_mixed(int kind)
{
    return kind >= JOB_MIXED;
}

void
mixes_set_rates(const fleet_desc_t *desc, double *rates_per_s)
{
    for (int mix = 0; mix < FLEET_MIX_COUNT; mix++) {
        double worker_ms = shapes[mix].tasks * shapes[mix].cpu_share *
                           (double)shapes[mix].estimate_ms;
        rates_per_s[JOB_MIXED + mix] =
            desc->mix_load[mix] * desc->workers * 1000 / worker_ms;
    }
}

void
mixes_set_step(const fleet_t *fleet, int kind, nm_step_t *step)
{
    if (!mixes_is_mixed(kind)) {
        return;
    }
    int mix = kind - JOB_MIXED;
    step->task_count = shapes[mix].tasks;
    step->cpu_milli =
        (int64_t)((double)fleet->desc.cpu_milli * shapes[mix].cpu_share);
    step->estimate_ms = shapes[mix].estimate_ms;
    step->is_gang = shapes[mix].is_gang;
}

void
mixes_announce_joining(const fleet_t *fleet)
{
    const fleet_desc_t *desc = &fleet->desc;
    uint32_t first = desc->workers - desc->joining;
    for (uint32_t w = first;
         fleet->now_ms == desc->joins_ms && w < desc->workers; w++)
    {
        restarts_announce(fleet, &fleet->workers[w]);
    }
}

static double
draw_duration(fleet_t *fleet)
{
    double error_max = fleet->desc.run_error;
    if (error_max <= 0) {
        return 0.6 + 0.8 * nm_rng_unit(&fleet->rng);
    }
    double straggler = nm_rng_unit(&fleet->rng);
    double error = 2 * nm_rng_unit(&fleet->rng) - 1;
    return straggler < fleet->desc.run_straggler_share ? STRAGGLER_FACTOR
                                                       : 1 + error_max * error;
}

double
mixes_draw_duration(fleet_t *fleet, job_t *job, const nm_step_t *step)
{
    if (!step->is_gang) {
        return draw_duration(fleet);
    }
    if (job->duration_share <= 0) {
        job->duration_share = draw_duration(fleet);
    }
    return job->duration_share;
}

static int
compare_ms(gconstpointer a, gconstpointer b)
{
    nm_ms_t left = *(const nm_ms_t *)a;
    nm_ms_t right = *(const nm_ms_t *)b;
    return (left > right) - (left < right);
}

static fleet_mix_info_t
measure_mix(const fleet_t *fleet, int kind)
{
    fleet_mix_info_t info = {0};
    GArray *waits = g_array_new(FALSE, FALSE, sizeof(nm_ms_t));
    GHashTableIter jobs;
    job_t *job;
    g_hash_table_iter_init(&jobs, fleet->jobs);
    while (g_hash_table_iter_next(&jobs, NULL, (gpointer *)&job)) {
        if (job->kind != kind ||
            job->arrived_ms > fleet->now_ms - UNMEASURED_END_MS) {
            continue;
        }
        /* One that has not started has waited until now. */
        nm_ms_t started_ms =
            job->first_start_ms > 0 ? job->first_start_ms : fleet->now_ms;
        nm_ms_t wait_ms = started_ms - job->arrived_ms;
        g_array_append_val(waits, wait_ms);
        info.mean_wait_ms += (double)wait_ms;
        info.in_time_share += job->credit_share >= 1;
        info.served_share += job->credit_share > 0;
    }
    info.jobs = waits->len;
    if (info.jobs > 0) {
        g_array_sort(waits, compare_ms);
        info.p95_wait_ms =
            g_array_index(waits, nm_ms_t, (info.jobs - 1) * 95 / 100);
        info.mean_wait_ms /= info.jobs;
        info.in_time_share /= info.jobs;
        info.served_share /= info.jobs;
    }
    g_array_free(waits, TRUE);
    return info;
}

void
mixes_measure(fleet_t *fleet)
{
    for (int mix = 0; mix < FLEET_MIX_COUNT; mix++) {
        fleet->info.mixes[mix] = measure_mix(fleet, JOB_MIXED + mix);
    }
}
