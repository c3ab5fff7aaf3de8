/*
 * Result lines of the benchmarks: bench NAME value=V bound=B pass|fail
 *
 * Each function prints one line and returns true if the bound is met.
 */
#ifndef BENCH_REPORT_H
#define BENCH_REPORT_H

#include <stdbool.h>
#include <stdio.h>

static inline bool
report_at_most(const char *name, double value, double bound)
{
    bool pass = value <= bound;
    printf("bench %s value=%.4g bound=<=%.4g %s\n", name, value, bound,
           pass ? "pass" : "fail");
    return pass;
}

static inline bool
report_at_least(const char *name, double value, double bound)
{
    bool pass = value >= bound;
    printf("bench %s value=%.4g bound=>=%.4g %s\n", name, value, bound,
           pass ? "pass" : "fail");
    return pass;
}

#endif
