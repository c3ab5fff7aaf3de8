/*
 * Order of placement: decides which waiting step is considered next.
 *
 * Load: bursts of jobs with many tasks, beyond the capacity of the workers,
 * beside long-running tasks that take all capacity they get.  Jobs are ordered
 * by credit per unit of remaining work, so that many large jobs do not delay
 * the small ones; those that have started go first, and finish.  That order
 * alone would start no large job: jobs of a size that gets less than its share
 * (sched_share.h) go before it.  A job that can no longer meet its objective
 * comes after those that can.  No job waits without bound: after some time
 * with nothing at work, one task of it goes first.
 */
#include "sched_round.h"

/* Credit of a late job relative to one in time (the users' sheets). */
#define LATE_CREDIT_FACTOR 0.15
/*
 * Share of the credit that every job of a queue gets alike; the rest is in
 * proportion to the work of the job (rules).
 */
#define FIXED_CREDIT_SHARE 0.3
/*
 * Long-running tasks earn a quarter of what short ones earn per core-second
 * and hold their capacity for long.  With this rank they start after short
 * jobs that are in time and before those that are late.
 */
#define LONG_RUNNING_RANK 0.5
/*
 * A long-running task that has run before and has waited for this long is
 * overdue: it starts before all others, and a worker is reserved for it, as
 * short tasks would refill each gap that is too small for it.  The rules
 * allow 9 s after its last run, however full the service is; the short tasks
 * of a worker take up to 3 s to end.
 */
#define LONG_RUNNING_WAIT_MS 3000
/*
 * An idle job has work in turn and no task at work.  While tasks other
 * than fillers hold at most this share of a service's capacity, one task of a
 * job that has been idle for IDLE_WAIT_MS goes first; otherwise after
 * IDLE_WAIT_RESERVED_MS, and only one start in ten.  The rules allow 3 s below
 * half of the capacity; jobs that wait have to be at work by then.
 */
#define MOSTLY_UNRESERVED_SHARE 0.6
#define IDLE_WAIT_MS 1000
#define IDLE_WAIT_RESERVED_MS 10000
/*
 * A job that has been idle for this long goes before the jobs of a size that
 * is behind, too, so that it is at work by the 3 s of the rules.
 */
#define LONG_IDLE_MS 2000
/*
 * A filler of a job that has been idle for this long starts slowed, so that
 * it is at work by the 3 s of the rules; from then on at once.
 */
#define SLOWED_WAIT_MS 2000
/* The same from this number of waits of IDLE_WAIT_MS on. */
#define SLOWED_WAITS_MIN 2
/* A job later than this multiple of its objective earns nothing (rules). */
#define LATE_LIMIT_FACTOR 3
/*
 * Rank of a job that can only end later than that, relative to one in time.
 * It earns nothing; it gives way to all jobs that still earn, but must end.
 */
#define USELESS_CREDIT_FACTOR 0.001
/* The credit is divided by 1 plus the priority times this. */
#define PRIORITY_DISCOUNT 0.25

/*
 * True if a job has work in progress or done.  One whose runs have all crashed
 * or failed has not, and must not go before others again.
 */
static bool
has_begun(const nm_sched_job_t *job)
{
    return job->attached_count > 0 || job->core_ms_left < job->core_ms_total;
}

/* Credit for each unit of remaining work. */
static double
credit_rank(const nm_sched_job_t *job, double finish_ms)
{
    if (job->long_running) {
        return LONG_RUNNING_RANK;
    }
    double credit = (double)MAX(job->core_ms_total, 1);
    if (job->queue) {
        credit = FIXED_CREDIT_SHARE * job->queue->mean_core_ms +
                 (1 - FIXED_CREDIT_SHARE) * credit;
        credit /= 1 + PRIORITY_DISCOUNT * job->queue->desc.priority;
    }
    double objective_ms = (double)MAX(job->objective_ms, 1);
    if (finish_ms > LATE_LIMIT_FACTOR * objective_ms) {
        credit *= USELESS_CREDIT_FACTOR;
    }
    else if (finish_ms > objective_ms) {
        credit *= LATE_CREDIT_FACTOR;
    }
    return credit / (double)MAX(job->core_ms_left, 1);
}

/* Sets the order and the rank of the steps of a job. */
static void
order_job(nm_sched_job_t *job, nm_ms_t now_ms, nm_candidate_t *candidate)
{
    nm_estimate_update(job, now_ms);
    double finish_ms = nm_estimate_finish_ms(job, now_ms);
    double objective_ms = (double)MAX(job->objective_ms, 1);
    bool in_time = finish_ms <= objective_ms;
    candidate->order = NM_ORDER_CREDIT;
    candidate->rank = credit_rank(job, finish_ms);
    if (!nm_job_has_share(job)) {
        return;
    }
    if (!job->admitted) {
        job->takes_share = in_time && nm_share_is_behind(&job->queue->share,
                                                         job->core_ms_total);
    }
    if (job->admitted && !has_begun(job)) {
        return;
    }
    if (job->takes_share && !job->admitted) {
        candidate->order = NM_ORDER_SHARE;
        /* the newest has most time left */
        candidate->rank = -(double)(now_ms - job->arrived_ms) / objective_ms;
    }
    else if (job->takes_share && finish_ms <= LATE_LIMIT_FACTOR * objective_ms)
    {
        candidate->order = NM_ORDER_SHARE_MORE;
    }
    else if (job->admitted && in_time) {
        candidate->order = NM_ORDER_ADMITTED;
    }
}

/*
 * Counts a job as admitted once it has more at work than the one task that
 * starts for its being idle, or has no more to start.
 */
static void
update_admitted(nm_sched_job_t *job, bool has_candidate, nm_ms_t now_ms)
{
    if (nm_job_has_share(job) && !job->admitted &&
        (job->attached_count > 1 ||
         (job->attached_count == 1 && !has_candidate)))
    {
        job->admitted = true;
        job->admitted_ms = now_ms;
        nm_share_count_admission(&job->queue->share, job->core_ms_total);
    }
}

static int
compare_candidates(gconstpointer a, gconstpointer b)
{
    const nm_candidate_t *left = a;
    const nm_candidate_t *right = b;
    if (left->order != right->order) {
        return left->order < right->order ? 1 : -1;
    }
    return left->rank < right->rank ? 1 : left->rank > right->rank ? -1 : 0;
}

static nm_round_service_t
make_service(const nm_sched_t *sched, const char *service, nm_ms_t now_ms)
{
    int64_t cpu_milli = 0;
    int64_t reserved_cpu_milli = 0;
    int64_t free_cpu_milli_max = 0;
    int64_t memory_mb = 0;
    int64_t reserved_memory_mb = 0;
    for (guint i = 0; i < sched->node_list->len; i++) {
        const nm_sched_node_t *node = sched->node_list->pdata[i];
        if (node->service == service && nm_node_is_usable(node, now_ms)) {
            cpu_milli += node->desc.cpu_milli;
            reserved_cpu_milli += node->cpu_used_milli;
            free_cpu_milli_max =
                MAX(free_cpu_milli_max,
                    node->desc.cpu_milli - node->cpu_used_milli);
            memory_mb += node->desc.memory_mb;
            reserved_memory_mb +=
                node->memory_used_mb - node->filler_memory_mb;
        }
    }
    return (nm_round_service_t){
        .service = service,
        .free_cpu_milli_max = free_cpu_milli_max,
        .mostly_unreserved = (double)reserved_cpu_milli <=
                                 MOSTLY_UNRESERVED_SHARE * (double)cpu_milli &&
                             (double)reserved_memory_mb <=
                                 MOSTLY_UNRESERVED_SHARE * (double)memory_mb};
}

nm_round_service_t *
nm_order_service(const nm_sched_t *sched, nm_round_t *round,
                 const char *service, nm_ms_t now_ms)
{
    for (guint i = 0; i < round->services->len; i++) {
        nm_round_service_t *entry =
            &g_array_index(round->services, nm_round_service_t, i);
        if (entry->service == service) {
            return entry;
        }
    }
    nm_round_service_t entry = make_service(sched, service, now_ms);
    g_array_append_val(round->services, entry);
    return &g_array_index(round->services, nm_round_service_t,
                          round->services->len - 1);
}

bool
nm_step_is_overdue(const nm_occurrence_t *occurrence, uint32_t step,
                   nm_ms_t now_ms)
{
    nm_ms_t since_ms = occurrence->interrupted_since_ms[step];
    return occurrence->job->spec.steps[step].long_running && since_ms > 0 &&
           now_ms - since_ms >= LONG_RUNNING_WAIT_MS;
}

/*
 * Records since when a job has work in turn, but no task at work.  A start
 * that is refused does not end that time.
 */
static void
update_idle(nm_round_t *round, nm_sched_job_t *job, bool has_candidate,
            nm_ms_t now_ms)
{
    if (job->working_count > 0) {
        return; /* a start may still be refused */
    }
    if (!has_candidate) {
        if (job->attached_count == 0) {
            job->idle_since_ms = 0;
        }
        return;
    }
    if (job->idle_since_ms == 0) {
        job->idle_since_ms = now_ms;
    }
    nm_ms_t idle_ms = now_ms - job->idle_since_ms;
    if (idle_ms >= IDLE_WAIT_MS && job->wait_counted_ms != job->idle_since_ms)
    {
        job->wait_counted_ms = job->idle_since_ms;
        job->waits++;
    }
    job->has_waited = job->has_waited || job->waits >= SLOWED_WAITS_MIN ||
                      idle_ms >= SLOWED_WAIT_MS;
    round->idle_jobs++;
    if (!round->longest_idle ||
        job->idle_since_ms < round->longest_idle->idle_since_ms)
    {
        round->longest_idle = job;
    }
}

/* Adds the steps of a job that wait in turn; returns their number. */
static guint
collect_candidates(const nm_sched_t *sched, nm_sched_job_t *job,
                   GArray *candidates, nm_ms_t now_ms)
{
    guint count_before = candidates->len;
    nm_candidate_t candidate = {0};
    order_job(job, now_ms, &candidate);
    nm_order_t order = candidate.order;
    for (guint i = 0; i < job->occurrences->len; i++) {
        nm_occurrence_t *occurrence = job->occurrences->pdata[i];
        if (occurrence->finished || occurrence->due_unix_ms > sched->unix_ms) {
            continue;
        }
        for (uint32_t s = 0; s < job->spec.step_count; s++) {
            if (occurrence->waiting[s] == 0 ||
                !nm_occurrence_step_is_ready(occurrence, s)) {
                continue;
            }
            nm_occurrence_record_interrupted(occurrence, s, now_ms);
            bool overdue = nm_step_is_overdue(occurrence, s, now_ms);
            candidate.occurrence = occurrence;
            candidate.step = s;
            candidate.order_class =
                overdue ? NM_CLASS_OVERDUE : NM_CLASS_ORDINARY;
            candidate.order = overdue ? NM_ORDER_OVERDUE : order;
            g_array_append_val(candidates, candidate);
            if (overdue && !job->spec.steps[s].is_gang) {
                /* For the tasks that have never run. */
                candidate.order_class = NM_CLASS_ORDINARY;
                candidate.order = order;
                g_array_append_val(candidates, candidate);
            }
        }
    }
    return candidates->len - count_before;
}

/*
 * True if one task of a job may start before the ordinary order; takes_credit
 * is set if that needs credit.
 */
static bool
is_due_for_being_idle(const nm_sched_t *sched, nm_round_t *round,
                      const nm_sched_job_t *job, nm_ms_t now_ms,
                      bool *takes_credit)
{
    if (job->working_count > 0 || job->idle_since_ms == 0 ||
        now_ms - job->idle_since_ms < IDLE_WAIT_MS)
    {
        return false;
    }
    nm_ms_t idle_ms = now_ms - job->idle_since_ms;
    *takes_credit =
        !nm_order_service(sched, round, nm_job_service(job), now_ms)
             ->mostly_unreserved;
    return !*takes_credit || idle_ms >= IDLE_WAIT_RESERVED_MS;
}

/*
 * Lets a filler of a job that waits again start slowed if the job starts
 * nothing in this round, so that it is at work without gaps.
 */
static void
add_slowed_candidates(const nm_sched_t *sched, nm_round_t *round,
                      const nm_sched_job_t *job, guint first,
                      GArray *candidates, nm_ms_t now_ms)
{
    if (!job->has_waited || job->working_count > 0 || !job->has_fillers ||
        !nm_order_service(sched, round, nm_job_service(job), now_ms)
             ->mostly_unreserved)
    {
        return;
    }
    guint end = candidates->len;
    for (guint i = first; i < end; i++) {
        nm_candidate_t candidate =
            g_array_index(candidates, nm_candidate_t, i);
        const nm_step_t *step = &job->spec.steps[candidate.step];
        if (candidate.order_class == NM_CLASS_ORDINARY && step->is_filler &&
            !step->long_running && !step->is_gang)
        {
            candidate.order_class = NM_CLASS_IDLE;
            candidate.order = NM_ORDER_SLOWED;
            candidate.rank = (double)(now_ms - job->idle_since_ms);
            candidate.slowed = true;
            g_array_append_val(candidates, candidate);
        }
    }
}

/*
 * Lets one task of an idle job go before the ordinary order.  Its candidates
 * of the ordinary order are those from the first on.
 */
static void
add_idle_candidates(const nm_sched_t *sched, nm_round_t *round,
                    const nm_sched_job_t *job, guint first, GArray *candidates,
                    nm_ms_t now_ms)
{
    bool takes_credit = false;
    if (!is_due_for_being_idle(sched, round, job, now_ms, &takes_credit)) {
        add_slowed_candidates(sched, round, job, first, candidates, now_ms);
        return;
    }
    guint end = candidates->len;
    for (guint i = first; i < end; i++) {
        nm_candidate_t candidate =
            g_array_index(candidates, nm_candidate_t, i);
        if (candidate.order_class != NM_CLASS_ORDINARY ||
            (takes_credit && job->spec.steps[candidate.step].long_running))
        {
            continue;
        }
        candidate.order_class = NM_CLASS_IDLE;
        nm_ms_t idle_ms = now_ms - job->idle_since_ms;
        candidate.order =
            idle_ms >= LONG_IDLE_MS ? NM_ORDER_LONG_IDLE : NM_ORDER_IDLE;
        candidate.rank = (double)idle_ms;
        candidate.takes_credit = takes_credit;
        g_array_append_val(candidates, candidate);
    }
}

GArray *
nm_order_candidates(nm_sched_t *sched, nm_round_t *round, nm_ms_t now_ms)
{
    GArray *candidates = g_array_new(FALSE, FALSE, sizeof(nm_candidate_t));
    for (guint i = 0; i < sched->active->len; i++) {
        nm_sched_job_t *job = sched->active->pdata[i];
        if (job->state >= NM_JOB_COMPLETED) {
            continue;
        }
        guint first = candidates->len;
        guint count = collect_candidates(sched, job, candidates, now_ms);
        update_admitted(job, count > 0, now_ms);
        update_idle(round, job, count > 0, now_ms);
        if (count > 0) {
            add_idle_candidates(sched, round, job, first, candidates, now_ms);
        }
    }
    g_array_sort(candidates, compare_candidates);
    return candidates;
}
