/*
 * Which new jobs certainly cannot end within three times their objective.
 *
 * Load: bursts of two to three times what the workers can do, while capacity
 * is lost.  Only the work of the job itself counts, on all announced workers
 * of its service: what waits before it gives way once it is of no use, and a
 * size that gets less than its share goes first, so that no backlog is certain
 * to stay before a new job.
 */
#include <nutmegdeck/admission.h>

#include <assert.h>
#include <string.h>

#include "sched_state.h"

/* Part of a job's estimated work that it needs with certainty. */
#define CERTAIN_SHARE 0.5
/* Part of their CPU request that serving tasks use at their usual peak. */
#define SERVING_LOAD_SHARE 0.5
/* Bounds of the time after which a refused job may return, before jitter. */
#define RETRY_AFTER_MIN_MS 1000
#define RETRY_AFTER_MAX_MS 10000
/* Least number of recent arrivals of a class that has a row. */
#define ARRIVED_MIN 0.05

uint32_t
nm_admission_class(int64_t core_ms)
{
    uint32_t size_class = 0;
    for (int64_t left = core_ms; left > 0; left >>= 1) {
        size_class++;
    }
    return size_class;
}

static nm_ms_t
useful_limit_ms(const nm_queue_t *queue, nm_ms_t critical_path_ms)
{
    double objective_ms = queue->slack_factor * (double)critical_path_ms +
                          (double)queue->objective_ms;
    return (nm_ms_t)(NM_ADMISSION_LATE_FACTOR * objective_ms);
}

nm_admission_t
nm_admission_decide(const nm_admission_table_t *table, const nm_queue_t *queue,
                    int64_t core_ms, nm_ms_t critical_path_ms,
                    double random_unit)
{
    assert(table && queue);
    uint32_t size_class = nm_admission_class(core_ms);
    nm_admission_t admission = {.finish_ms = critical_path_ms,
                                .limit_ms =
                                    useful_limit_ms(queue, critical_path_ms)};
    for (uint32_t i = 0; i < table->row_count; i++) {
        const nm_admission_row_t *row = &table->rows[i];
        if (row->size_class == size_class &&
            strcmp(row->queue, queue->name) == 0) {
            admission.finish_ms = MAX(row->work_ms, critical_path_ms);
            admission.refuse = admission.finish_ms > admission.limit_ms;
        }
    }
    if (admission.refuse) {
        nm_ms_t excess_ms = CLAMP(admission.finish_ms - admission.limit_ms,
                                  RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
        admission.retry_after_ms =
            excess_ms + (nm_ms_t)(random_unit * (double)excess_ms);
    }
    return admission;
}

/*
 * Cores of a service that short tasks and fillers can use at most, or enough
 * if there are more.  Workers that are evacuated or silent count, as they may
 * be back in time.
 */
static double
usable_cores(const nm_sched_t *sched, const char *service, double enough)
{
    double cores = 0;
    for (guint i = 0; i < sched->node_list->len && cores < enough; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->service == service && node->announced && node->described) {
            double milli =
                (double)(node->desc.cpu_milli - node->long_running_cpu_milli) +
                (1 - SERVING_LOAD_SHARE) * (double)node->serving_cpu_milli;
            cores += MAX(milli, 0) / 1000;
        }
    }
    return MIN(cores, enough);
}

/* Work that any job of a class needs with certainty, in core milliseconds. */
static double
least_core_ms(uint32_t size_class)
{
    return CERTAIN_SHARE * (double)((int64_t)1 << (size_class - 1));
}

static bool
has_arrivals(const nm_sched_queue_t *queue, uint32_t size_class)
{
    return queue->share.groups[size_class].arrived >= ARRIVED_MIN;
}

static void
add_rows(const nm_sched_t *sched, const nm_sched_queue_t *queue,
         nm_admission_table_t *table)
{
    double limit_ms = (double)MAX(useful_limit_ms(&queue->desc, 0), 1);
    uint32_t largest = NM_SHARE_GROUPS - 1;
    while (largest > 0 && !has_arrivals(queue, largest)) {
        largest--;
    }
    if (largest == 0) {
        return;
    }
    /* Few workers have to be visited while there are enough. */
    double enough = least_core_ms(largest) / limit_ms;
    double cores = usable_cores(sched, queue->service, enough);
    if (cores <= 0 || cores >= enough) {
        return; /* without workers nothing is known */
    }
    for (uint32_t c = 1; c <= largest; c++) {
        double least_ms = MIN(least_core_ms(c) / cores, NM_JOB_CORE_MS_MAX);
        if (has_arrivals(queue, c) && least_ms > limit_ms &&
            table->row_count < NM_ADMISSION_ROWS_MAX)
        {
            nm_admission_row_t *row = &table->rows[table->row_count++];
            nm_strcopy(row->queue, sizeof(row->queue), queue->desc.name);
            row->size_class = c;
            row->work_ms = (nm_ms_t)least_ms;
            row->limit_ms = (nm_ms_t)limit_ms;
        }
    }
}

void
nm_sched_compute_admission(const nm_sched_t *sched,
                           nm_admission_table_t *table)
{
    assert(sched && table);
    memset(table, 0, sizeof(*table));
    GHashTableIter queues;
    const nm_sched_queue_t *queue;
    g_hash_table_iter_init(&queues, sched->queues);
    while (g_hash_table_iter_next(&queues, NULL, (gpointer *)&queue)) {
        add_rows(sched, queue, table);
    }
}

nm_admission_t
nm_sched_query_admission(const nm_sched_t *sched, const char *queue,
                         int64_t core_ms, nm_ms_t critical_path_ms)
{
    assert(sched && queue);
    const nm_sched_queue_t *known = g_hash_table_lookup(sched->queues, queue);
    if (!known) {
        return (nm_admission_t){.finish_ms = critical_path_ms};
    }
    nm_admission_table_t table;
    nm_sched_compute_admission(sched, &table);
    return nm_admission_decide(&table, &known->desc, core_ms, critical_path_ms,
                               0.5);
}
