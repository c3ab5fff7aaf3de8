/*
 * Simulation of workers that run an executor beside batch tasks, for comparing
 * placement policies.
 *
 * The true size and interference of task classes are hidden from the policy,
 * except the oracle; reports arrive 5 to 30 s late; bursts of tasks with a
 * high interference arrive every 900 s.  Runs in steps of one second,
 * deterministic for a seed.
 */
#ifndef BENCH_COLOCATION_H
#define BENCH_COLOCATION_H

#include <nutmegdeck/place.h>

typedef struct {
    uint32_t workers;
    int64_t cpu_milli;
    int64_t memory_mb;
    nm_resources_t executor;
    uint32_t weight_latency_pct;
    uint64_t seed;
    nm_place_policy_t policy;
    uint32_t duration_s;
} colocation_desc_t;

typedef struct {
    double p99_latency;  /* relative to the mean without batch tasks */
    double batch_core_s; /* core seconds that batch tasks ran */
    uint32_t evictions;
    uint32_t deadlines_missed;
    uint32_t deadlines;     /* length of missed */
    uint8_t *missed;        /* 1 for each job that missed; g_free it */
    uint32_t over_reserved; /* worker seconds with too much reserved */
    uint32_t over_memory;   /* worker seconds with too much memory in use */
    uint32_t over_cpu; /* the same for processors, executor at full load */
} colocation_result_t;

colocation_result_t colocation_run(const colocation_desc_t *desc);

#endif
