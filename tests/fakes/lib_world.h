/*
 * A small world for shards: owners, workers, journal and a network that
 * delays, loses, repeats and reorders, on a manual clock and from a seed.
 *
 * After each step it checks that no task runs in two places and that no
 * worker holds more than it has.
 */
#ifndef FAKE_WORLD_H
#define FAKE_WORLD_H

#include <nutmegdeck/journal.h>
#include <nutmegdeck/shard.h>

#include "lib_worker.h"

#define WORLD_OWNERS 3
#define WORLD_WORKERS_MAX 12

typedef struct {
    uint64_t seed;
    uint32_t workers;     /* 0: 5 */
    bool faults;          /* kills, pauses, cuts, outages at random */
    uint32_t crash_after; /* kill the owner at its n-th step; 0: never */
} world_desc_t;

typedef struct {
    uint32_t overlaps;    /* tasks seen in two places */
    uint32_t overfull;    /* workers seen over their capacity */
    uint32_t bad_resumes; /* started from another than the last checkpoint */
    uint32_t reruns;      /* started after an acknowledged outcome */
    uint32_t takeovers;
    uint32_t kills;
    uint32_t evictions;
    uint32_t steps; /* of the owner that crash_after counts */
    char example[160];
} world_info_t;

typedef struct world world_t;

world_t *world_new(const world_desc_t *desc);
void world_free(world_t *world);
void world_add_job(world_t *world, const nm_shard_job_t *job);
void world_remove_job(world_t *world, uint64_t job);
/* Marks a worker as leaving, so that its tasks are evicted. */
void world_set_leaving(world_t *world, uint32_t worker, bool leaving);
void world_set_fails(world_t *world, uint32_t worker, bool fails);
void world_run(world_t *world, nm_ms_t duration_ms);
/* Ends all faults and lets leases lapse. */
void world_calm(world_t *world);
world_info_t world_query(const world_t *world);
/* Tasks of a job in a state, as the current owner sees them. */
uint32_t world_count(const world_t *world, nm_task_state_t state);
bool world_query_job(const world_t *world, const char *path,
                     nm_shard_job_info_t *info);
nm_ms_t world_now(const world_t *world);

#endif
