/*
 * True durations of the tasks of simulated jobs, where estimates are wrong and
 * some tasks are stragglers.
 *
 * The duration of a task depends on the seed, its job, step and index only, so
 * that it is the same on each worker and in each variant of the scheduler.
 */
#ifndef LIB_DURATIONS_H
#define LIB_DURATIONS_H

#include "lib_fleet_state.h"

/* True if a fleet's durations are drawn here. */
bool durations_are_drawn(const fleet_desc_t *desc);
/*
 * Takes the estimates of a specification for the true durations of its steps,
 * and replaces them by wrong ones.  Returns the true longest chain.
 */
nm_ms_t durations_init_job(const fleet_t *fleet, job_t *job,
                           nm_job_spec_t *spec, double error);
nm_ms_t durations_of_task(const fleet_t *fleet, const job_t *job,
                          uint32_t step, uint32_t index);

#endif
