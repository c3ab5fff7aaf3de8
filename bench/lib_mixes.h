/*
 * Jobs of mixed task sizes for benchmarks of the job scheduler, and what each
 * size gets: the time to its first start and the share of its jobs in time.
 */
#ifndef LIB_MIXES_H
#define LIB_MIXES_H

#include "lib_fleet_state.h"

/* True for the kinds of jobs that this module makes. */
bool mixes_is_mixed(int kind);
/* Sets the number of jobs of these kinds that arrive in one second. */
void mixes_set_rates(const fleet_desc_t *desc, double *rates_per_s);
/* Announces the workers that join, once it is time. */
void mixes_announce_joining(const fleet_t *fleet);
/* Sets the step of a job of such a kind; else no effect. */
void mixes_set_step(const fleet_t *fleet, int kind, nm_step_t *step);
/*
 * Draws the duration of a run relative to its estimate: within estimate_error
 * of it, or several times as long for a straggler.  It is the same for all
 * members of a gang, as the platform ends them together.
 */
double mixes_draw_duration(fleet_t *fleet, job_t *job, const nm_step_t *step);
/* Sums up what each size got, once the run is over. */
void mixes_measure(fleet_t *fleet);

#endif
