/*
 * Largest amounts that are accepted from documents of other programs.
 *
 * They are far above any real value, and a sum over 2^20 workers or tasks
 * still fits int64_t.
 */
#ifndef NUTMEGDECK_LIMITS_H
#define NUTMEGDECK_LIMITS_H

#include <stdint.h>

/* Of one worker or task: a million cores, a petabyte. */
#define NM_CPU_MAX_MILLI INT64_C(1000000000)
#define NM_MEMORY_MAX_MB INT64_C(1000000000)
#define NM_ACCELERATORS_MAX INT64_C(1000000)
/* Cores of one entry host */
#define NM_CPU_SHARE_MAX 1024
/* 366 days */
#define NM_DURATION_MAX_MS INT64_C(31622400000)
/* The year 2100 */
#define NM_UNIX_MAX_MS INT64_C(4102444800000)
/* Counts, revisions and versions: doubles represent integers up to 2^53. */
#define NM_COUNT_MAX (INT64_C(1) << 53)

#endif
