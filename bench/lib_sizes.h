/*
 * Sizes of jobs for benchmarks: draws from a log-normal distribution, and the
 * share of the jobs of one kind that are served, by size.
 */
#ifndef LIB_SIZES_H
#define LIB_SIZES_H

#include <stdint.h>

#include <nutmegdeck/base.h>

typedef struct {
    double mean;
    double spread; /* standard deviation of the logarithm */
    double max;
} size_dist_t;

/* Returns a value of at least 1. */
double sizes_draw(nm_rng_t *rng, const size_dist_t *dist);

typedef struct {
    int64_t core_ms;
    bool served;
} sized_job_t;

typedef struct {
    uint32_t count;
    double all;           /* share of all jobs that are served */
    double largest_tenth; /* the same of the largest tenth */
    double next_fifth;    /* the same of the fifth below it */
} sizes_served_t;

/* Sorts the jobs by size. */
sizes_served_t sizes_served(sized_job_t *jobs, uint32_t count);

#endif
