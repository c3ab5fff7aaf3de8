/*
 * Shares of the room by size of job: which sizes of a queue's jobs get less
 * than their share, where an order by credit alone would start them last.
 *
 * Sizes are grouped by powers of two of the estimated work.  A group is behind
 * while the share of its jobs that have been admitted is below three quarters
 * of that of all jobs of the queue.  Within a group the caller decides.  Older
 * jobs count less with each new one.
 *
 *     nm_share_t share = {0};
 *     nm_share_count_arrival(&share, core_ms, now_ms);
 *     if (nm_share_is_behind(&share, core_ms)) ...
 *     nm_share_count_admission(&share, core_ms);
 */
#ifndef NM_SCHED_SHARE_H
#define NM_SCHED_SHARE_H

#include <nutmegdeck/base.h>

/* Groups of sizes: one for each power of two, and one for no work. */
#define NM_SHARE_GROUPS 64

typedef struct {
    double arrived;
    double admitted;
} nm_share_count_t;

/* Zero-initialized: no job yet. */
typedef struct {
    nm_share_count_t groups[NM_SHARE_GROUPS];
    nm_share_count_t all;
    nm_ms_t decayed_ms;
} nm_share_t;

/* Work of a job, from estimates, in core milliseconds. */
void nm_share_count_arrival(nm_share_t *share, int64_t core_ms,
                            nm_ms_t now_ms);
/* Counts the admission of a job that has been counted as arrived. */
void nm_share_count_admission(nm_share_t *share, int64_t core_ms);
/* True if jobs of this size get less than their share. */
bool nm_share_is_behind(const nm_share_t *share, int64_t core_ms);

#endif
