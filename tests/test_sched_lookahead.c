/*
 * Tests of placement that looks ahead: a large task or a gang must start
 * although smaller tasks refill each gap, and a reservation that is of no use
 * must leave its worker to others.
 */
#include <string.h>

#include "lib_sched_fleet.h"

/* Small tasks keep arriving; of a worker's 16 cores each takes two. */
#define SMALL_MILLI 2000
#define SMALL_MS 1000
#define LARGE_MILLI 12000
#define WORKERS 4
#define RATE 14
#define RATE_ENDLESS 6
#define WAIT_LIMIT_MS 20000
/* A job that waits this long counts as idle, and gets a worker without it. */
#define IDLE_WAIT_MS 10000

static nm_ms_t small_estimate_ms;
static uint32_t small_number;

/* Jobs in ten ticks: somewhat less than the fleet ends in the same time. */
static uint32_t small_rate;

static void
add_small(sched_fleet_t *fleet)
{
    static uint32_t tick;
    tick++;
    uint32_t jobs = tick * small_rate / 10 - (tick - 1) * small_rate / 10;
    for (uint32_t i = 0; i < jobs; i++) {
        sched_fleet_add_numbered_job(
            fleet, "cccc", small_number++, "batch",
            (nm_step_t){.task_count = 1,
                        .cpu_milli = SMALL_MILLI,
                        .memory_mb = 100,
                        .estimate_ms = small_estimate_ms});
    }
}

static void
begin_fleet(sched_fleet_t *fleet, bool looks_ahead)
{
    sched_fleet_init(fleet, 1);
    nm_sched_set_lookahead(fleet->sim.sched, looks_ahead);
    for (int w = 0; w < WORKERS; w++) {
        sched_fleet_add_worker(fleet, "press");
    }
    sched_fleet_begin(fleet);
}

static void
fill(sched_fleet_t *fleet, nm_ms_t duration_ms)
{
    for (nm_ms_t t = 0; t < duration_ms; t += SCHED_FLEET_TICK_MS) {
        add_small(fleet);
        sched_fleet_tick(fleet);
    }
}

static uint32_t
count_reserved(const sched_fleet_t *fleet)
{
    return nm_sched_query_capacity(fleet->sim.sched, fleet->sim.now_ms)
        .workers_reserved;
}

/* Without reservations the step waits until its job counts as idle. */
static void
test_large_step_starts(void)
{
    static const struct {
        const char *name;
        bool looks_ahead;
        nm_ms_t small_estimate_ms; /* they take SMALL_MS */
        bool endless;              /* one task on each worker but the last */
        nm_step_t step;
        nm_ms_t least_ms, most_ms; /* to its first start */
    } cases[] = {
        {"off",
         false,
         SMALL_MS,
         false,
         {.task_count = 1, .cpu_milli = LARGE_MILLI},
         IDLE_WAIT_MS / 2,
         WAIT_LIMIT_MS},
        {"mixed sizes",
         true,
         SMALL_MS,
         false,
         {.task_count = 1, .cpu_milli = LARGE_MILLI},
         0,
         2000},
        {"a gang",
         true,
         SMALL_MS,
         false,
         {.task_count = 2, .cpu_milli = 6000, .is_gang = true},
         0,
         2000},
        {"estimates too short",
         true,
         SMALL_MS / 10,
         false,
         {.task_count = 1, .cpu_milli = LARGE_MILLI},
         0,
         IDLE_WAIT_MS},
        {"estimates too long",
         true,
         2 * SMALL_MS,
         false,
         {.task_count = 1, .cpu_milli = LARGE_MILLI},
         0,
         3000},
        {"tasks that never end",
         true,
         SMALL_MS,
         true,
         {.task_count = 1, .cpu_milli = LARGE_MILLI},
         0,
         IDLE_WAIT_MS},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_fleet_t fleet;
        begin_fleet(&fleet, cases[i].looks_ahead);
        small_estimate_ms = cases[i].small_estimate_ms;
        small_rate = cases[i].endless ? RATE_ENDLESS : RATE;
        for (int w = 1; cases[i].endless && w < WORKERS; w++) {
            /* Short by its estimate. */
            sched_fleet_add_rule(&fleet,
                                 (sched_fleet_rule_t){.prefix = "dddd"});
            sched_fleet_add_numbered_job(&fleet, "dddd", (uint32_t)w, "batch",
                                         (nm_step_t){.task_count = 1,
                                                     .cpu_milli = LARGE_MILLI,
                                                     .memory_mb = 100,
                                                     .estimate_ms = SMALL_MS});
        }
        sched_fleet_tick(&fleet);
        fill(&fleet, 3000);
        nm_step_t step = cases[i].step;
        step.memory_mb = 100;
        step.estimate_ms = 8000;
        sched_fleet_add_job(&fleet, JOB, "batch", step);
        nm_ms_t wait_ms = sched_fleet_time_to_start(&fleet, JOB, 1,
                                                    WAIT_LIMIT_MS, add_small);
        g_test_message("%lld ms", (long long)wait_ms);
        g_assert_cmpint(wait_ms, >=, cases[i].least_ms);
        g_assert_cmpint(wait_ms, <=, cases[i].most_ms);
        sched_fleet_finish(&fleet);
    }
}

typedef enum {
    JOB_CANCELLED,
    FLEET_HALVED,
    RACK_JOINS, /* with more small tasks than it has room for */
} trouble_t;

static void
join_rack(sched_fleet_t *fleet)
{
    for (uint32_t i = 0; i < 10; i++) {
        add_small(fleet);
    }
    int w = sched_fleet_add_worker(fleet, "press");
    const nm_sched_worker_t *desc = &fleet->workers[w].desc;
    nm_sched_set_worker(fleet->sim.sched, desc, fleet->sim.now_ms);
    nm_sched_admit_worker(fleet->sim.sched, desc->id);
    sched_sim_report(&fleet->sim, desc->id, 1, NULL, 0, NULL, 0);
}

/* A reservation that outlives its cause keeps a worker from other tasks. */
static void
test_reservation_ends_with_its_cause(void)
{
    static const struct {
        const char *name;
        trouble_t trouble;
    } cases[] = {
        {"the job is cancelled", JOB_CANCELLED},
        {"half of the workers leave", FLEET_HALVED},
        {"a rack joins", RACK_JOINS},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        sched_fleet_t fleet;
        begin_fleet(&fleet, true);
        small_estimate_ms = SMALL_MS;
        small_rate = RATE;
        fill(&fleet, 3000);
        sched_fleet_add_job(&fleet, JOB, "batch",
                            (nm_step_t){.task_count = 1,
                                        .cpu_milli = LARGE_MILLI,
                                        .memory_mb = 100,
                                        .estimate_ms = 8000});
        for (int t = 0; t < 40 && count_reserved(&fleet) == 0; t++) {
            add_small(&fleet);
            sched_fleet_tick(&fleet);
        }
        g_assert_cmpuint(count_reserved(&fleet), ==, 1);
        if (cases[i].trouble == JOB_CANCELLED) {
            nm_sched_cancel_job(fleet.sim.sched, JOB, fleet.sim.now_ms);
            sched_fleet_tick(&fleet);
            g_assert_cmpuint(count_reserved(&fleet), ==, 0);
        }
        else if (cases[i].trouble == RACK_JOINS) {
            join_rack(&fleet);
            g_assert_cmpint(
                sched_fleet_time_to_start(&fleet, JOB, 1, WAIT_LIMIT_MS, NULL),
                <=, 2 * SCHED_FLEET_TICK_MS);
        }
        else {
            for (int w = 0; w < WORKERS / 2; w++) {
                nm_sched_deregister_worker(fleet.sim.sched,
                                           fleet.workers[w].desc.id);
            }
            g_assert_cmpint(
                sched_fleet_time_to_start(&fleet, JOB, 1, WAIT_LIMIT_MS, NULL),
                <=, IDLE_WAIT_MS);
        }
        sched_fleet_finish(&fleet);
    }
}

/* Adds a job that a former owner has accepted just now. */
static void
add_recovered(sched_sim_t *sim, const char *id, uint32_t tasks,
              int64_t cpu_milli)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    spec.accepted_unix_ms = sim->unix_offset_ms + sim->now_ms;
    *nm_job_spec_add_step(&spec) = (nm_step_t){.task_count = tasks,
                                               .cpu_milli = cpu_milli,
                                               .memory_mb = 100,
                                               .estimate_ms = SMALL_MS};
    g_assert_cmpint(nm_sched_add_job(sim->sched, &spec, true, sim->now_ms), ==,
                    NM_OK);
    nm_job_spec_finish(&spec);
}

/* Nothing is stored: the next owner reserves in its first placements. */
static void
test_next_owner_reserves_anew(void)
{
    static const char *const small = "0123456789abcdef";
    sched_sim_t sim;
    sched_sim_init(&sim, 2);
    nm_sched_set_lookahead(sim.sched, true);
    sched_sim_announce(&sim, "a", 1);
    add_recovered(&sim, small, 8, SMALL_MILLI);
    add_recovered(&sim, JOB, 1, CPU_MILLI);
    sched_sim_advance(&sim, 10);
    nm_worker_run_t running[8];
    nm_worker_end_t ends[8];
    for (int i = 0; i < 8; i++) {
        char name[NM_TASK_NAME_MAX];
        g_snprintf(name, sizeof(name), "%s.0.0.%d", small, i);
        running[i] = sched_sim_make_run(name, 1);
        ends[i] = sched_sim_make_end(i + 1, name, 1, NM_END_DONE);
    }
    sched_sim_report(&sim, "a", 1, running, 8, NULL, 0);
    nm_sched_activate(sim.sched, sim.now_ms);
    /* One more small job shows that smaller tasks want the gaps. */
    sched_sim_add_job(&sim, "fedcba9876543210", false, 1, SMALL_MILLI, false);
    sched_sim_advance(&sim, 100);
    sched_sim_advance(&sim, 100);
    g_assert_cmpuint(
        nm_sched_query_capacity(sim.sched, sim.now_ms).workers_reserved, ==,
        1);
    /* Seven ends leave room for the small job only. */
    sched_sim_report(&sim, "a", 1, running + 7, 1, ends, 7);
    sched_sim_advance(&sim, 100);
    g_assert_null(sched_sim_find_action(&sim, NM_ACTION_START, NULL));
    sched_sim_report(&sim, "a", 1, NULL, 0, ends, 8);
    sched_sim_advance(&sim, 100);
    const nm_sched_action_t *start =
        sched_sim_find_action(&sim, NM_ACTION_START, "a");
    g_assert_nonnull(start);
    g_assert_cmpstr(start ? start->task : "", ==, TASK);
    sched_sim_finish(&sim);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/sched/large-step-starts-among-small-ones",
                    test_large_step_starts);
    g_test_add_func("/sched/reservation-ends-with-its-cause",
                    test_reservation_ends_with_its_cause);
    g_test_add_func("/sched/next-owner-reserves-anew",
                    test_next_owner_reserves_anew);
    return g_test_run();
}
