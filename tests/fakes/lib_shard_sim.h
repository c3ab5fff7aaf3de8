/*
 * A small simulation for shards: owners, workers, journal and a network that
 * delays, loses, repeats and reorders, on a manual clock and from a seed.
 *
 * After each step it checks that no task runs in two places and that no
 * worker holds more than it has.
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
    bool faults;            /* kills, pauses, cuts, outages at random */
    uint32_t crash_at_step; /* kill the owner at its n-th step; 0: never */
} shard_sim_desc_t;

typedef struct {
    uint32_t overlaps;    /* tasks seen in two places */
    uint32_t overfull;    /* workers seen over their capacity */
    uint32_t bad_resumes; /* started from another than the last checkpoint */
    uint32_t reruns;      /* started after an acknowledged outcome */
    uint32_t takeovers;
    uint32_t kills;
    uint32_t evictions;
    uint32_t steps; /* of the owner that crash_at_step counts */
    char example[160];
} shard_sim_info_t;

typedef struct shard_sim shard_sim_t;

shard_sim_t *shard_sim_new(const shard_sim_desc_t *desc);
void shard_sim_free(shard_sim_t *sim);
void shard_sim_add_job(shard_sim_t *sim, const nm_shard_job_t *job);
void shard_sim_remove_job(shard_sim_t *sim, uint64_t job);
/* Marks a worker as leaving, so that its tasks are evicted. */
void shard_sim_set_leaving(shard_sim_t *sim, uint32_t worker, bool leaving);
void shard_sim_set_fails(shard_sim_t *sim, uint32_t worker, bool fails);
void shard_sim_run(shard_sim_t *sim, nm_ms_t duration_ms);
/* Ends all faults and lets leases lapse. */
void shard_sim_stop_faults(shard_sim_t *sim);
shard_sim_info_t shard_sim_query(const shard_sim_t *sim);
/* Tasks of a job in a state, as the current owner sees them. */
uint32_t shard_sim_count(const shard_sim_t *sim, nm_task_state_t state);
bool shard_sim_query_job(const shard_sim_t *sim, const char *path,
                         nm_shard_job_info_t *info);
nm_ms_t shard_sim_now(const shard_sim_t *sim);

#endif
