/*
 * Routing decisions on a manual clock, deterministic for a seed.
 *
 *     bench_route SEED
 *
 * Compares the routing policies by tail latency, and checks goodput under
 * overload and retry amplification during a brown-out.  Exit status: 0 if all
 * bounds are met, else 1.
 */

#include <math.h>
#include <stdlib.h>

#include <glib.h>

#include <nutmegdeck/route.h>

#include "lib_report.h"

#define EXECUTORS 50
#define SLOTS 8
#define MEAN_MS 20.0
#define TIMEOUT_MS 500
#define DURATION_MS 20000
#define WARMUP_MS 4000
/* One executor in five shares its worker with a noisy task. */
#define SLOW_EXECUTOR_INTERVAL 5
#define SLOW_FACTOR 2.0

typedef struct {
    nm_route_policy_t policy;
    double load;    /* arrivals as a share of the capacity */
    bool brown_out; /* half of the executors reset half of the requests */
    uint64_t seed;
} run_desc_t;

typedef struct {
    double p50_ms;
    double p99_ms;
    double goodput;       /* responses in time, as a share of the capacity */
    double amplification; /* attempts per arrival */
    uint32_t slot_violations;
} run_result_t;

typedef struct {
    nm_attempt_t attempt;
    uint32_t executor;
    nm_ms_t ends_ms;
    nm_outcome_t outcome;
} running_attempt_t;

typedef struct {
    const run_desc_t *desc;
    nm_rng_t rng;
    nm_route_t route;
    GArray *running; /* of running_attempt_t */
    uint32_t in_flight[EXECUTORS];
    GArray *latencies; /* of double */
    uint32_t arrivals;
    uint32_t attempts;
    nm_ms_t now_ms;
    run_result_t result;
} run_t;

static double
exponential(nm_rng_t *rng, double mean)
{
    return -mean * log(1 - nm_rng_unit(rng));
}

static bool
is_slow(uint32_t executor)
{
    return executor % SLOW_EXECUTOR_INTERVAL == 0;
}

static void
start_attempt(run_t *run, const nm_route_action_t *action)
{
    uint32_t executor = (uint32_t)action->target_id - 1;
    double mean_ms = MEAN_MS / 2 * (is_slow(executor) ? SLOW_FACTOR : 1);
    double service_ms = mean_ms + exponential(&run->rng, mean_ms);
    running_attempt_t running = {
        .attempt = action->attempt,
        .executor = executor,
        .ends_ms = run->now_ms + (nm_ms_t)ceil(service_ms),
        .outcome = NM_OUTCOME_RESPONDED,
    };
    if (run->desc->brown_out && executor % 2 == 0 &&
        nm_rng_below(&run->rng, 2) == 0)
    {
        running.outcome = NM_OUTCOME_RESET;
        running.ends_ms = run->now_ms + 2;
    }
    run->attempts++;
    run->in_flight[executor]++;
    run->result.slot_violations += run->in_flight[executor] > SLOTS;
    g_array_append_val(run->running, running);
}

static void
run_actions(run_t *run)
{
    nm_route_action_t action;
    while (nm_route_next_action(&run->route, &action)) {
        if (action.type == NM_ROUTE_SEND) {
            start_attempt(run, &action);
        }
        else if (action.type == NM_ROUTE_RESPOND && run->now_ms > WARMUP_MS) {
            double latency_ms =
                (double)(run->now_ms - (nm_ms_t)(intptr_t)action.user);
            g_array_append_val(run->latencies, latency_ms);
        }
    }
}

static void
end_attempts(run_t *run)
{
    for (uint32_t i = 0; i < run->running->len;) {
        running_attempt_t running =
            g_array_index(run->running, running_attempt_t, i);
        if (running.ends_ms > run->now_ms) {
            i++;
            continue;
        }
        g_array_remove_index_fast(run->running, i);
        run->in_flight[running.executor]--;
        nm_route_attempt_done(&run->route, running.attempt, running.outcome,
                              run->now_ms);
        run_actions(run);
    }
}

static int
compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a;
    double y = *(const double *)b;
    return (x > y) - (x < y);
}

static double
capacity_per_ms(void)
{
    double slow = EXECUTORS / SLOW_EXECUTOR_INTERVAL;
    return SLOTS *
           ((EXECUTORS - slow) / MEAN_MS + slow / (MEAN_MS * SLOW_FACTOR));
}

static void
add_executors(run_t *run)
{
    nm_route_update_service(&run->route, 0,
                            &(nm_route_service_t){
                                .timeout_ms = TIMEOUT_MS,
                                .queue_limit = 400,
                                .retry_budget_pct = 8,
                                .hedge_budget_pct = 2,
                            });
    for (uint32_t i = 0; i < EXECUTORS; i++) {
        nm_route_target_t target = {
            .id = i + 1,
            .granted_slots = SLOTS,
            .grant_expires_ms = NM_MS_NEVER / 2,
            .slowdown = is_slow(i) ? 1.5f : 1.0f,
        };
        nm_route_update_target(&run->route, &target, run->now_ms);
    }
}

static run_result_t
simulate_route(const run_desc_t *desc)
{
    run_t run = {.desc = desc, .now_ms = 1000};
    nm_rng_init(&run.rng, desc->seed);
    nm_route_init(&run.route, &(nm_route_desc_t){.seed = desc->seed,
                                                 .policy = desc->policy});
    run.running = g_array_new(FALSE, FALSE, sizeof(running_attempt_t));
    run.latencies = g_array_new(FALSE, FALSE, sizeof(double));
    add_executors(&run);
    double rate = capacity_per_ms() * desc->load;
    double next_ms = (double)run.now_ms;
    for (; run.now_ms < DURATION_MS; run.now_ms++) {
        end_attempts(&run);
        while (next_ms <= (double)run.now_ms) {
            next_ms += exponential(&run.rng, 1 / rate);
            nm_request_t request;
            nm_route_arrival_t arrival = {
                .idempotent = true,
                .user = (void *)(intptr_t)run.now_ms,
            };
            run.arrivals++;
            nm_route_submit(&run.route, &arrival, run.now_ms, &request);
            run_actions(&run);
        }
        if (run.now_ms % 5 == 0) {
            nm_route_tick(&run.route, run.now_ms);
            run_actions(&run);
        }
    }
    g_array_sort(run.latencies, compare_doubles);
    uint32_t count = run.latencies->len;
    run.result.p50_ms = g_array_index(run.latencies, double, count / 2);
    run.result.p99_ms =
        g_array_index(run.latencies, double, (uint32_t)(count * 0.99));
    run.result.goodput =
        count / (capacity_per_ms() * (DURATION_MS - WARMUP_MS));
    run.result.amplification = (double)run.attempts / run.arrivals;
    g_array_free(run.running, TRUE);
    g_array_free(run.latencies, TRUE);
    nm_route_finish(&run.route);
    return run.result;
}

static bool
compare_policies(uint64_t seed)
{
    static const char *const names[] = {"predicted", "least-outstanding",
                                        "round-robin", "random"};
    run_result_t results[4];
    for (int p = 0; p < 4; p++) {
        results[p] = simulate_route(&(run_desc_t){
            .policy = (nm_route_policy_t)p, .load = 0.6, .seed = seed});
        printf("# route %-17s at 0.6: p50 %.1f ms, p99 %.1f ms\n", names[p],
               results[p].p50_ms, results[p].p99_ms);
    }
    double best = results[1].p99_ms;
    for (int p = 2; p < 4; p++) {
        best = MIN(best, results[p].p99_ms);
    }
    return report_at_most("route-p99-against-best-baseline",
                          results[0].p99_ms / best, 1.0);
}

static bool
check_overload(uint64_t seed)
{
    bool pass = true;
    static const double loads[] = {0.5, 1, 2, 4};
    double peak = 0;
    double goodput[4];
    for (int i = 0; i < 4; i++) {
        run_result_t result =
            simulate_route(&(run_desc_t){.load = loads[i], .seed = seed});
        goodput[i] = result.goodput;
        peak = MAX(peak, result.goodput);
        printf("# route at %.1fx: goodput %.3f, p99 %.1f ms\n", loads[i],
               result.goodput, result.p99_ms);
        pass &= result.slot_violations == 0;
    }
    pass &=
        report_at_least("route-goodput-2x-of-peak", goodput[2] / peak, 0.95);
    pass &=
        report_at_least("route-goodput-4x-of-peak", goodput[3] / peak, 0.95);
    return pass;
}

static bool
check_brown_out(uint64_t seed)
{
    run_result_t result = simulate_route(
        &(run_desc_t){.load = 0.6, .brown_out = true, .seed = seed});
    printf("# route brown-out: goodput %.3f, p99 %.1f ms\n", result.goodput,
           result.p99_ms);
    /* The budgets allow 8% of retries and 2% of hedges. */
    return report_at_most("route-brown-out-amplification",
                          result.amplification, 1.1);
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    bool pass = compare_policies(seed);
    pass &= check_overload(seed);
    pass &= check_brown_out(seed);
    return pass ? 0 : 1;
}
