/*
 * Simulation of one shard: its owners, workers, store and network.
 *
 * Runs the real shard and journal code on a manual clock, deterministic for a
 * seed.  Messages between an owner and a worker are delayed and reordered.
 * With faults, owners are killed, paused and compete, workers cannot be
 * reached or leave, syncs are lost and duplicated, and the store is down or
 * loses responses.  After each time step it checks that no task runs on two
 * workers and that no worker's running tasks exceed its processors.
 *
 *     shard_sim_t *sim = shard_sim_new(&(shard_sim_desc_t){.seed = 1});
 *     shard_sim_add_job(sim, &job);
 *     shard_sim_run(sim, 30000);
 *     uint32_t done = shard_sim_count(sim, NM_TASK_DONE);
 *     shard_sim_info_t info = shard_sim_query(sim);
 *     shard_sim_free(sim);
 */
#ifndef FAKE_LIB_SHARD_SIM_H
#define FAKE_LIB_SHARD_SIM_H

#include <nutmegdeck/journal.h>
#include <nutmegdeck/shard.h>

#include "lib_worker.h"

#define SHARD_SIM_OWNERS 3
#define SHARD_SIM_WORKERS_MAX 12

typedef struct {
    uint64_t seed;
    uint32_t workers;       /* 0: 5 */
    bool faults;            /* inject random faults */
    uint32_t crash_at_step; /* step at which owner 0 is killed; 0: never */
} shard_sim_desc_t;

typedef struct {
    uint32_t overlaps;      /* tasks seen running on two workers */
    uint32_t over_capacity; /* workers seen over their processors */
    uint32_t bad_resumes;   /* starts from an outdated checkpoint */
    uint32_t reruns;        /* starts after the outcome was acknowledged */
    uint32_t takeovers;
    uint32_t kills;
    uint32_t evictions;
    uint32_t steps; /* points before and after each write or sync of owner 0 */
    char example[160]; /* task of the last overlap */
} shard_sim_info_t;

typedef struct shard_sim shard_sim_t;

shard_sim_t *shard_sim_new(const shard_sim_desc_t *desc);
void shard_sim_free(shard_sim_t *sim);
void shard_sim_add_job(shard_sim_t *sim, const nm_shard_job_t *job);
void shard_sim_remove_job(shard_sim_t *sim, uint64_t job);
/* Sets whether a worker is leaving; the tasks of a leaving one are evicted. */
void shard_sim_set_leaving(shard_sim_t *sim, uint32_t worker, bool leaving);
/* Sets whether all tasks on a worker fail. */
void shard_sim_set_fails(shard_sim_t *sim, uint32_t worker, bool fails);
void shard_sim_run(shard_sim_t *sim, nm_ms_t duration_ms);
/* Ends all faults; killed owners still restart. */
void shard_sim_stop_faults(shard_sim_t *sim);
shard_sim_info_t shard_sim_query(const shard_sim_t *sim);
/* Number of tasks in a state at the current owner; 0 without an owner. */
uint32_t shard_sim_count(const shard_sim_t *sim, nm_task_state_t state);
bool shard_sim_query_job(const shard_sim_t *sim, const char *path,
                         nm_shard_job_info_t *info);
nm_ms_t shard_sim_now(const shard_sim_t *sim);

#endif
