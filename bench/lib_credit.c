#include "lib_credit.h"

#include <math.h>

/*
 * Credit of one job, or of one serving task for a second, in credits of a
 * filler's job (the users' sheets); what a serving second over target costs
 * (their rules).
 */
#define FILLER_CREDIT 1.0
#define CHECK_CREDIT 0.34
#define SERVING_CREDIT_PER_S 0.023
#define OVER_TARGET_LOSS 4.0
/* The rules: credit of a job against the mean of its kind. */
#define FIXED_CREDIT_SHARE 0.3
#define CREDIT_MAX 4.0
/* A job later than this multiple of its objective earns nothing. */
#define LATE_LIMIT_FACTOR 3
/* Share of their CPU request that serving tasks use. */
#define SERVING_LOAD_SHARE 0.5
/* Tasks of a serving job, and their part of a worker's CPU. */
#define SERVING_TASKS 6
#define SERVING_CPU_SHARE 0.2

/* True for the jobs of a kind that earn credit when they end. */
static bool
is_owed(const job_t *job, bool is_check)
{
    return !job->long_running && !job->always_fails &&
           job->kind == (is_check ? JOB_CHECK : JOB_FILLER);
}

static double
mean_work(const fleet_t *fleet, bool is_check)
{
    GHashTableIter jobs;
    const job_t *job;
    double core_ms = 0;
    uint32_t count = 0;
    g_hash_table_iter_init(&jobs, fleet->jobs);
    while (g_hash_table_iter_next(&jobs, NULL, (gpointer *)&job)) {
        if (is_owed(job, is_check)) {
            core_ms += (double)job->core_ms;
            count++;
        }
    }
    return MAX(core_ms / MAX(count, 1), 1);
}

/* One part is the same for each job, the other in proportion to its work. */
static double
job_worth(const job_t *job, double mean_core_ms)
{
    double work = (double)job->core_ms / mean_core_ms;
    return MIN(FIXED_CREDIT_SHARE + (1 - FIXED_CREDIT_SHARE) * work,
               CREDIT_MAX);
}

/* Adds what the jobs of a kind owe and earn, in means of such a job. */
static void
add_credit(const fleet_t *fleet, bool is_check, double credit, double *owed,
           double *earned)
{
    GHashTableIter jobs;
    const job_t *job;
    double mean_core_ms = mean_work(fleet, is_check);
    g_hash_table_iter_init(&jobs, fleet->jobs);
    while (g_hash_table_iter_next(&jobs, NULL, (gpointer *)&job)) {
        if (is_owed(job, is_check)) {
            double worth = job_worth(job, mean_core_ms);
            *owed += credit * worth;
            *earned += credit * worth * job->credit_share;
        }
    }
}

static double
earned_share(const fleet_t *fleet)
{
    const fleet_info_t *info = &fleet->info;
    double owed = SERVING_CREDIT_PER_S * (info->serving_s + info->waiting_s);
    double earned = SERVING_CREDIT_PER_S *
                    (info->serving_s - OVER_TARGET_LOSS * info->over_target_s);
    add_credit(fleet, true, CHECK_CREDIT, &owed, &earned);
    add_credit(fleet, false, FILLER_CREDIT, &owed, &earned);
    return earned / MAX(owed, 1e-9);
}

static sizes_served_t
count_served(const fleet_t *fleet, bool is_check, double credit_share_min)
{
    GArray *sized = g_array_new(FALSE, FALSE, sizeof(sized_job_t));
    GHashTableIter jobs;
    const job_t *job;
    g_hash_table_iter_init(&jobs, fleet->jobs);
    while (g_hash_table_iter_next(&jobs, NULL, (gpointer *)&job)) {
        if (is_owed(job, is_check)) {
            sized_job_t entry = {job->core_ms,
                                 job->credit_share >= credit_share_min};
            g_array_append_val(sized, entry);
        }
    }
    sizes_served_t served =
        sizes_served((sized_job_t *)sized->data, sized->len);
    g_array_free(sized, TRUE);
    return served;
}

typedef struct {
    double work; /* in core milliseconds */
    double credit;
    nm_ms_t deadline_ms;
    double done; /* share of the work in the bound */
} bound_job_t;

static int
compare_deadline(gconstpointer a, gconstpointer b)
{
    const bound_job_t *left = a;
    const bound_job_t *right = b;
    return left->deadline_ms < right->deadline_ms   ? -1
           : left->deadline_ms > right->deadline_ms ? 1
                                                    : 0;
}

static int
compare_density(gconstpointer a, gconstpointer b)
{
    const bound_job_t *left = *(const bound_job_t *const *)a;
    const bound_job_t *right = *(const bound_job_t *const *)b;
    double left_density = left->credit / left->work;
    double right_density = right->credit / right->work;
    return left_density > right_density   ? -1
           : left_density < right_density ? 1
                                          : 0;
}

/* Core milliseconds that fillers may use until a time. */
static double
filler_core_ms(const fleet_t *fleet, nm_ms_t until_ms)
{
    const fleet_desc_t *desc = &fleet->desc;
    double cpu = (double)desc->cpu_milli / 1000;
    double sum = 0;
    nm_ms_t at_ms = 1500;
    static const nm_ms_t changes_ms[] = {FLEET_EVACUATION_MS, FLEET_CUT_MS,
                                         NM_MS_NEVER};
    double workers = desc->workers;
    for (size_t i = 0; i < NM_COUNT_OF(changes_ms) && at_ms < until_ms; i++) {
        double serving = MIN(desc->services * SERVING_TASKS *
                                 SERVING_CPU_SHARE * workers / desc->workers,
                             workers);
        if (desc->unresponsive > 0 && at_ms >= FLEET_CUT_MS) {
            serving = MIN(desc->services * SERVING_TASKS * SERVING_CPU_SHARE,
                          workers);
        }
        nm_ms_t end_ms = MIN(until_ms, changes_ms[i]);
        sum += (workers - SERVING_LOAD_SHARE * serving) * cpu *
               (double)(end_ms - at_ms);
        workers -= i == 0 ? desc->evacuated : desc->unresponsive;
        at_ms = end_ms;
    }
    return sum;
}

/*
 * The greedy choice by credit per work is optimal for jobs that may be done in
 * part, where only the work due by each deadline is limited.
 */
static double
bound_credit(const fleet_t *fleet, GArray *jobs)
{
    g_array_sort(jobs, compare_deadline);
    GPtrArray *order = g_ptr_array_new();
    double *room = g_new(double, MAX(jobs->len, 1));
    for (guint i = 0; i < jobs->len; i++) {
        bound_job_t *job = &g_array_index(jobs, bound_job_t, i);
        room[i] = filler_core_ms(fleet, job->deadline_ms);
        g_ptr_array_add(order, job);
    }
    g_ptr_array_sort(order, compare_density);
    double credit = 0;
    for (guint k = 0; k < order->len; k++) {
        bound_job_t *job = order->pdata[k];
        guint first = (guint)(job - (bound_job_t *)jobs->data);
        double done = job->work;
        for (guint i = first; i < jobs->len; i++) {
            done = MIN(done, room[i]);
        }
        for (guint i = first; i < jobs->len; i++) {
            room[i] -= done;
        }
        credit += job->credit * done / job->work;
    }
    g_free(room);
    g_ptr_array_free(order, TRUE);
    return credit;
}

/*
 * Credit of the fillers against an upper bound: that of a schedule that knows
 * all jobs in advance, may begin them before they arrive, has their work done
 * in parallel without limit, and takes the whole and the late part of a job's
 * credit from different schedules.
 */
static double
fillers_bound_share(const fleet_t *fleet)
{
    double bound = 0;
    double owed = 0;
    double earned = 0;
    add_credit(fleet, false, 1, &owed, &earned);
    double mean_core_ms = mean_work(fleet, false);
    for (int late = 0; late < 2; late++) {
        GArray *list = g_array_new(FALSE, FALSE, sizeof(bound_job_t));
        GHashTableIter jobs;
        const job_t *job;
        g_hash_table_iter_init(&jobs, fleet->jobs);
        while (g_hash_table_iter_next(&jobs, NULL, (gpointer *)&job)) {
            if (is_owed(job, false)) {
                double part = late ? FLEET_LATE_CREDIT_SHARE
                                   : 1 - FLEET_LATE_CREDIT_SHARE;
                bound_job_t entry = {
                    .work = (double)MAX(job->core_ms, 1),
                    .credit = part * job_worth(job, mean_core_ms),
                    .deadline_ms =
                        job->arrived_ms +
                        job->objective_ms * (late ? LATE_LIMIT_FACTOR : 1)};
                g_array_append_val(list, entry);
            }
        }
        bound += bound_credit(fleet, list);
        g_array_free(list, TRUE);
    }
    return earned / MAX(bound, 1e-9);
}

void
credit_measure(fleet_t *fleet)
{
    fleet->info.worth = earned_share(fleet);
    fleet->info.checks_served =
        count_served(fleet, true, FLEET_LATE_CREDIT_SHARE);
    fleet->info.fillers_served =
        count_served(fleet, false, FLEET_LATE_CREDIT_SHARE);
    fleet->info.checks_timely = count_served(fleet, true, 1);
    fleet->info.fillers_timely = count_served(fleet, false, 1);
    fleet->info.fillers_bound_share = fillers_bound_share(fleet);
}
