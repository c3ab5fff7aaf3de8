/*
 * Compares the placement policies at the sizes of both customers,
 * deterministic for a seed.
 *
 *     bench_place SEED
 *
 * Checks the learned policy: tail latency against workers without batch tasks
 * (kreidefeld), batch throughput against the oracle (hagg), and for both
 * evictions, deadlines and resources over capacity.  Exit status: 0 if all
 * bounds are met, else 1.
 */

#include <stdlib.h>

#include <glib.h>

#include "lib_colocation.h"
#include "lib_report.h"

/* Simulated time of each run. */
#define DURATION_S 7200

typedef struct {
    const char *name;
    colocation_desc_t desc;
} customer_t;

static const customer_t customers[] = {
    {"kreidefeld",
     {.workers = 50,
      .cpu_milli = 64000,
      .memory_mb = 250000,
      .executor = {16000, 32000, 0},
      .weight_latency_pct = 80}},
    {"hagg",
     {.workers = 65,
      .cpu_milli = 16000,
      .memory_mb = 60000,
      .executor = {4000, 8000, 0},
      .weight_latency_pct = 20}},
};

static const char *const policy_names[] = {"learned",  "random",   "best-fit",
                                           "reactive", "separate", "oracle"};

static bool
check_results(const char *customer, const colocation_result_t *results)
{
    const colocation_result_t *learned = &results[NM_PLACE_POLICY_LEARNED];
    const colocation_result_t *oracle = &results[NM_PLACE_POLICY_ORACLE];
    const colocation_result_t *separate = &results[NM_PLACE_POLICY_SEPARATE];
    const colocation_result_t *reactive = &results[NM_PLACE_POLICY_REACTIVE];
    char name[96];
    bool pass = true;
    if (g_str_equal(customer, "kreidefeld")) {
        pass &=
            report_at_most("place-kreidefeld-p99-ratio",
                           learned->p99_latency / separate->p99_latency, 1.10);
    }
    else {
        pass &= report_at_least("place-hagg-work-ratio",
                                learned->batch_core_s / oracle->batch_core_s,
                                0.85);
    }
    g_snprintf(name, sizeof(name), "place-%s-evictions", customer);
    pass &=
        report_at_most(name, learned->evictions, reactive->evictions * 0.25);
    uint32_t extra_missed = 0;
    for (uint32_t i = 0; i < learned->deadlines; i++) {
        extra_missed += learned->missed[i] && !oracle->missed[i];
    }
    g_snprintf(name, sizeof(name), "place-%s-deadlines", customer);
    pass &= report_at_most(name, extra_missed, 0);
    g_snprintf(name, sizeof(name), "place-%s-over-reserved", customer);
    pass &= report_at_most(name, learned->over_reserved, 0);
    g_snprintf(name, sizeof(name), "place-%s-over-memory", customer);
    pass &= report_at_most(name, learned->over_memory, 0);
    g_snprintf(name, sizeof(name), "place-%s-over-cpu", customer);
    pass &= report_at_most(name, learned->over_cpu, 0);
    return pass;
}

int
main(int argc, char **argv)
{
    uint64_t seed = argc > 1 ? strtoull(argv[1], NULL, 10) : 1;
    bool pass = true;
    for (size_t c = 0; c < G_N_ELEMENTS(customers); c++) {
        colocation_result_t results[G_N_ELEMENTS(policy_names)];
        for (uint32_t p = 0; p < G_N_ELEMENTS(policy_names); p++) {
            colocation_desc_t desc = customers[c].desc;
            desc.seed = seed;
            desc.policy = (nm_place_policy_t)p;
            desc.duration_s = DURATION_S;
            results[p] = colocation_run(&desc);
        }
        const colocation_result_t *separate =
            &results[NM_PLACE_POLICY_SEPARATE];
        const colocation_result_t *oracle = &results[NM_PLACE_POLICY_ORACLE];
        for (uint32_t p = 0; p < G_N_ELEMENTS(policy_names); p++) {
            printf("# %s %-9s p99 %.3f of alone, work %.3f of oracle, "
                   "evictions %u, deadlines missed %u, over memory %u s\n",
                   customers[c].name, policy_names[p],
                   results[p].p99_latency / separate->p99_latency,
                   results[p].batch_core_s / oracle->batch_core_s,
                   results[p].evictions, results[p].deadlines_missed,
                   results[p].over_memory);
        }
        pass &= check_results(customers[c].name, results);
        for (uint32_t p = 0; p < G_N_ELEMENTS(policy_names); p++) {
            g_free(results[p].missed);
        }
    }
    return pass ? 0 : 1;
}
