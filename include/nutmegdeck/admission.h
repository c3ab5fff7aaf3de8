/*
 * Admission of jobs under overload: which new jobs certainly cannot end within
 * three times their objective.
 *
 * The owner computes a table from the capacity that is left, by queue and
 * size class (the power of two of the job's estimated work).  Any host may
 * decide on a job by that table.  A queue and class without a row accept.
 *
 *     nm_admission_table_t table;
 *     nm_sched_compute_admission(sched, &table);
 *     if (nm_admission_decide(&table, &queue, core_ms, path_ms, 0.5).refuse)
 */
#ifndef NUTMEGDECK_ADMISSION_H
#define NUTMEGDECK_ADMISSION_H

#include <nutmegdeck/sched.h>

#define NM_ADMISSION_ROWS_MAX 128
/* A job that ends later than this multiple of its objective is of no use. */
#define NM_ADMISSION_LATE_FACTOR 3

typedef struct {
    char queue[NM_NAME_MAX];
    uint32_t size_class; /* that of nm_admission_class */
    nm_ms_t work_ms;     /* least time in which all workers do a job of it */
    nm_ms_t limit_ms; /* least limit of the queue's jobs; not sent to hosts */
} nm_admission_row_t;

typedef struct {
    nm_admission_row_t rows[NM_ADMISSION_ROWS_MAX];
    uint32_t row_count;
} nm_admission_table_t;

typedef struct {
    bool refuse;
    nm_ms_t finish_ms;      /* least time to the job's end */
    nm_ms_t limit_ms;       /* a job that ends later is of no use */
    nm_ms_t retry_after_ms; /* 0: accepted */
} nm_admission_t;

/* Class of a job's work; jobs of a class differ by less than a factor of 2. */
uint32_t nm_admission_class(int64_t core_ms);
/*
 * Decides on a job.  random_unit, from 0 to 1, spreads the retries of jobs
 * that are refused together.
 */
nm_admission_t nm_admission_decide(const nm_admission_table_t *table,
                                   const nm_queue_t *queue, int64_t core_ms,
                                   nm_ms_t critical_path_ms,
                                   double random_unit);
/*
 * Computes the table; it has rows only for classes in which a job may have to
 * be refused.  Visits workers until they suffice for the largest jobs that
 * have arrived lately: meant to be called a few times a second.
 */
void nm_sched_compute_admission(const nm_sched_t *sched,
                                nm_admission_table_t *table);
/* Decides on a job by a table that is computed now; for single queries. */
nm_admission_t nm_sched_query_admission(const nm_sched_t *sched,
                                        const char *queue, int64_t core_ms,
                                        nm_ms_t critical_path_ms);

#endif
