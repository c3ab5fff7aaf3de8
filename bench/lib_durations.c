#include "lib_durations.h"

#include <string.h>

/* Greatest deviation of a task's duration from that of its step. */
#define TASK_DEVIATION 0.1
/* A straggler takes this multiple of what the rest of its step takes. */
#define STRAGGLER_FACTOR 7
/* Index of the draws that belong to a step instead of a task. */
#define STEP_INDEX UINT32_MAX

bool
durations_are_drawn(const fleet_desc_t *desc)
{
    return desc->checks_error > 0 || desc->fillers_error > 0 ||
           desc->straggler_share > 0;
}

static void
init_rng(const fleet_t *fleet, const job_t *job, uint32_t step, uint32_t index,
         nm_rng_t *rng)
{
    uint64_t key = fleet->desc.seed * 0x9e3779b97f4a7c15u;
    key = (key ^ g_str_hash(job->id)) * 0xbf58476d1ce4e5b9u;
    nm_rng_init(rng, (key ^ step) * 0x94d049bb133111ebu ^ index);
}

nm_ms_t
durations_of_task(const fleet_t *fleet, const job_t *job, uint32_t step,
                  uint32_t index)
{
    nm_rng_t rng;
    init_rng(fleet, job, step, index, &rng);
    double factor = 1 + TASK_DEVIATION * (2 * nm_rng_unit(&rng) - 1);
    if (nm_rng_unit(&rng) < fleet->desc.straggler_share) {
        factor *= STRAGGLER_FACTOR;
    }
    return (nm_ms_t)((double)job->step_ms[step] * factor);
}

nm_ms_t
durations_init_job(const fleet_t *fleet, job_t *job, nm_job_spec_t *spec,
                   double error)
{
    nm_ms_t path_ms = 0;
    job->core_ms = 0;
    for (uint32_t s = 0; s < spec->step_count; s++) {
        nm_step_t *step = &spec->steps[s];
        job->step_ms[s] = step->estimate_ms;
        nm_ms_t longest_ms = 0;
        for (uint32_t i = 0; i < step->task_count; i++) {
            nm_ms_t task_ms = durations_of_task(fleet, job, s, i);
            longest_ms = MAX(longest_ms, task_ms);
            job->core_ms += step->cpu_milli * task_ms / 1000;
        }
        path_ms += longest_ms; /* each step follows the one before */
        nm_rng_t rng;
        init_rng(fleet, job, s, STEP_INDEX, &rng);
        double factor = 1 + error * (2 * nm_rng_unit(&rng) - 1);
        step->estimate_ms =
            MAX((nm_ms_t)((double)step->estimate_ms * factor), 1);
    }
    return path_ms;
}
