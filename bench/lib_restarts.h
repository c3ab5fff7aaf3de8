/*
 * Parts of lib_fleet: workers that restart under their id, calls that get no
 * response, and the check of where a run starts.
 *
 * A restarted worker knows nothing of its former incarnation, and may be of
 * another kind: without the label, with it, or of a service to which no queue
 * is sent.  A start without a response is either carried out at once or late;
 * a late one is refused by the incarnation that it was sent to, and carried
 * out by a later one that has stopped or ended no such run.
 *
 * A start that the scheduler sent to the incarnation that carries it out is
 * judged by all rules; any other one only together with such starts, since
 * alone it was placed for an earlier incarnation.
 */
#ifndef LIB_RESTARTS_H
#define LIB_RESTARTS_H

#include "lib_fleet_state.h"

void restarts_init(fleet_t *fleet);
/* Sets the kind of a worker and the time of its first restart. */
void restarts_init_worker(fleet_t *fleet, worker_t *worker);
/* Tells the scheduler what the current incarnation announces. */
void restarts_announce(const fleet_t *fleet, const worker_t *worker);
/* Gives a step a limit per worker and a label, for shares of the steps. */
void restarts_restrict_step(fleet_t *fleet, nm_step_t *step);

/* Restarts a worker if it is time; announces it after its first report. */
void restarts_tick_worker(fleet_t *fleet, worker_t *worker);
/* To be called before a report of a worker is applied. */
void restarts_on_report(const fleet_t *fleet, worker_t *worker);
/* Carries out a start, or leaves it without a response. */
void restarts_start(fleet_t *fleet, worker_t *worker,
                    const nm_sched_action_t *action);
/* Carries out a stop, or not, if it gets no response. */
void restarts_stop(fleet_t *fleet, worker_t *worker,
                   const nm_sched_action_t *action);
/* Loses the response of a poll that has been sent, for a share of the polls.
 */
void restarts_poll(fleet_t *fleet, worker_t *worker,
                   const nm_sched_action_t *action);
/* Lets starts and stops time out, and carries out late starts. */
void restarts_deliver(fleet_t *fleet);
/* The worker refuses starts of a task up to this run from now on. */
void restarts_refuse(worker_t *worker, const char *task, int64_t run);

/* Counts a start of a task that has a run already. */
void restarts_count_duplicate(fleet_t *fleet, const worker_t *worker,
                              const nm_sched_action_t *action);
/* Counts what a run that has begun breaks on its worker. */
void restarts_check_start(fleet_t *fleet, const worker_t *worker,
                          const run_t *run, const nm_step_t *step);

#endif
