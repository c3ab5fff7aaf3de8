/*
 * A scheduler with a manual clock; the test acts as its workers.
 *
 *     sched_sim_t sim;
 *     sched_sim_init(&sim, 1);
 *     sched_sim_add_worker(&sim, "a");
 *     sched_sim_add_job(&sim, JOB, false, 1, 1000, false);
 *     sched_sim_advance(&sim, 30);
 *     sched_sim_confirm_starts(&sim);
 *     sched_sim_finish(&sim);
 */
#ifndef NM_LIB_SCHED_SIM_H
#define NM_LIB_SCHED_SIM_H

#include <glib.h>

#include <nutmegdeck/sched.h>

/* Capacity of each worker. */
#define CPU_MILLI 16000
#define MEMORY_MB 64000
#define JOB "5c0e7a21d94b36f8"
#define TASK JOB ".0.0.0"

typedef struct {
    nm_sched_t *sched;
    nm_ms_t now_ms;
    int64_t unix_offset_ms; /* wall clock minus now_ms */
    GArray *actions;        /* of the newest call of sched_sim_advance */
} sched_sim_t;

/* Advances the clock, runs the scheduler once and collects its actions. */
void sched_sim_advance(sched_sim_t *sim, nm_ms_t elapsed_ms);
/* Creates the scheduler of an owner; from epoch 2 on it succeeds others. */
void sched_sim_init(sched_sim_t *sim, int64_t epoch);
/* The same with a seed of the scheduler's random choices; otherwise 0. */
void sched_sim_init_seeded(sched_sim_t *sim, int64_t epoch, uint64_t seed);
/* The same of one that sends starts again until ids are reused. */
void sched_sim_init_resending(sched_sim_t *sim, int64_t epoch);
void sched_sim_finish(sched_sim_t *sim);
/* Announces and admits a worker; it has not reported yet. */
void sched_sim_announce(sched_sim_t *sim, const char *id, int64_t incarnation);
/* The same, with the number of announcements until now; otherwise not known.
 */
void sched_sim_announce_again(sched_sim_t *sim, const char *id,
                              int64_t incarnation, int64_t announcements);
/* The same at the address of a machine; otherwise it has the worker's id. */
void sched_sim_announce_at(sched_sim_t *sim, const char *id,
                           int64_t incarnation, const char *machine);
/* Delivers a worker's report, the response to a poll sent now. */
void sched_sim_report(sched_sim_t *sim, const char *id, int64_t incarnation,
                      const nm_worker_run_t *running, uint32_t running_count,
                      const nm_worker_end_t *ends, uint32_t end_count);
/* Reports that a poll of the worker timed out. */
void sched_sim_lose_poll(sched_sim_t *sim, const char *id);
/* Announces a worker, and delivers its first report: it runs nothing. */
void sched_sim_add_worker(sched_sim_t *sim, const char *id);
/*
 * Returns the first collected action of a type, or NULL; worker NULL: of any
 * worker.
 */
const nm_sched_action_t *sched_sim_find_action(const sched_sim_t *sim,
                                               nm_sched_action_type_t type,
                                               const char *worker);
/* Adds a job of one step, the tasks of which need 100 MB and 1 s. */
void sched_sim_add_job(sched_sim_t *sim, const char *id, bool long_running,
                       uint32_t tasks, int64_t cpu_milli, bool recovered);
nm_worker_run_t sched_sim_make_run(const char *task, int64_t run);
nm_worker_end_t sched_sim_make_end(int64_t number, const char *task,
                                   int64_t run, nm_end_t end);
/* Confirms all starts, and returns the last one. */
nm_sched_action_t sched_sim_confirm_starts(sched_sim_t *sim);
/* Confirms that all records are stored. */
void sched_sim_save_all(sched_sim_t *sim);

#endif
