/*
 * A scheduler with a manual clock; the test plays its workers.
 *
 *     sched_world_t world;
 *     sched_world_init(&world, 1);
 *     sched_world_join(&world, "a");
 *     sched_world_add_job(&world, JOB, false, 1, 1000, false);
 *     sched_world_step(&world, 30);
 *     sched_world_confirm_starts(&world);
 *     sched_world_finish(&world);
 */
#ifndef NM_LIB_SCHED_WORLD_H
#define NM_LIB_SCHED_WORLD_H

#include <glib.h>

#include <nutmegdeck/sched.h>

#define CPU_MILLI 16000
#define MEMORY_MB 64000
#define JOB "5c0e7a21d94b36f8"
#define TASK JOB ".0.0.0"

typedef struct {
    nm_sched_t *sched;
    nm_ms_t now_ms;
    GArray *actions; /* of the newest step */
} sched_world_t;

void sched_world_step(sched_world_t *world, nm_ms_t elapsed_ms);
void sched_world_init(sched_world_t *world, int64_t epoch);
void sched_world_finish(sched_world_t *world);
void sched_world_announce(sched_world_t *world, const char *id,
                          int64_t incarnation);
/* A worker's answer to a poll. */
void sched_world_report(sched_world_t *world, const char *id,
                        int64_t incarnation, const nm_worker_run_t *running,
                        uint32_t running_count, const nm_worker_end_t *ends,
                        uint32_t end_count);
void sched_world_lose_poll(sched_world_t *world, const char *id);
/* Announces a worker that runs nothing, and answers the first poll. */
void sched_world_join(sched_world_t *world, const char *id);
const nm_sched_action_t *sched_world_find(const sched_world_t *world,
                                          nm_sched_action_type_t type,
                                          const char *worker);
void sched_world_add_job(sched_world_t *world, const char *id,
                         bool long_running, uint32_t tasks, int64_t cpu_milli,
                         bool recovered);
nm_worker_run_t sched_world_run(const char *task, int64_t run);
nm_worker_end_t sched_world_end(int64_t number, const char *task, int64_t run,
                                nm_end_t end);
/* Confirms all starts, and returns the last one. */
nm_sched_action_t sched_world_confirm_starts(sched_world_t *world);
void sched_world_save_all(sched_world_t *world);

#endif
