/*
 * A fake of colocated workers for comparing placement policies: hidden task
 * sizes and interference, late reports, noisy waves.  Steps of one second.
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
    double p99;  /* of request latency, base time 1 */
    double work; /* core seconds of finished batch work */
    uint32_t evictions;
    uint32_t deadlines_missed;
    uint32_t deadlines;
    uint8_t *missed;        /* by job with a deadline; g_free it */
    uint32_t over_reserved; /* worker seconds with too much reserved */
    uint32_t over_memory;   /* worker seconds with too much in use */
    uint32_t over_cpu;      /* the same for processors */
} colocation_result_t;

colocation_result_t colocation_run(const colocation_desc_t *desc);

#endif
