/* What a successor of the owner makes of running work. */
#include <string.h>

#include "lib_sched_world.h"

static void
test_failure_counts_after_takeover(void)
{
    sched_world_t world;
    sched_world_init(&world, 2);
    sched_world_announce(&world, "a", 1);
    sched_world_announce(&world, "b", 1);
    sched_world_add_job(&world, JOB, false, 1, 1000, true);
    sched_world_step(&world, 10);
    nm_worker_run_t running = sched_world_run(TASK, 2);
    sched_world_report(&world, "b", 1, &running, 1, NULL, 0);
    nm_worker_end_t failed = sched_world_end(1, TASK, 1, NM_END_FAILED);
    sched_world_report(&world, "a", 1, NULL, 0, &failed, 1);
    sched_world_step(&world, 100);
    g_assert_cmpint(nm_sched_query_info(world.sched).jobs_active, ==, 1);
    nm_worker_end_t again = sched_world_end(1, TASK, 2, NM_END_FAILED);
    sched_world_report(&world, "b", 1, NULL, 0, &again, 1);
    sched_world_step(&world, 100);
    sched_world_step(&world, 100);
    g_assert_null(sched_world_find(&world, NM_ACTION_START, NULL));
    sched_world_save_all(&world);
    g_assert_cmpint(nm_sched_query_job(world.sched, JOB), ==, NM_JOB_FAILED);
    sched_world_finish(&world);
}

static void
test_failure_counts_once(void)
{
    sched_world_t first;
    sched_world_init(&first, 1);
    sched_world_join(&first, "a");
    sched_world_add_job(&first, JOB, false, 1, 1000, false);
    sched_world_step(&first, 30);
    sched_world_confirm_starts(&first);
    nm_worker_end_t failed = sched_world_end(1, TASK, 1, NM_END_FAILED);
    sched_world_report(&first, "a", 1, NULL, 0, &failed, 1);
    nm_sched_save_t save;
    g_assert_true(nm_sched_next_save(first.sched, &save));

    sched_world_t second;
    sched_world_init(&second, 2);
    sched_world_announce(&second, "a", 1);
    sched_world_add_job(&second, JOB, false, 1, 1000, true);
    g_assert_cmpint(nm_sched_restore(second.sched, JOB, save.record,
                                     (uint32_t)strlen(save.record)),
                    ==, NM_OK);
    sched_world_step(&second, 10);
    sched_world_report(&second, "a", 1, NULL, 0, &failed, 1);
    sched_world_step(&second, 100);
    g_assert_nonnull(sched_world_find(&second, NM_ACTION_START, "a"));
    g_free(save.record);
    sched_world_finish(&first);
    sched_world_finish(&second);
}

static void
test_unreadable_progress_starts_nothing(void)
{
    static const struct {
        const char *record;
        bool starts;
    } cases[] = {
        {"{\"version\":1,\"state\":\"running\"}", true},
        {"{\"version\":2,\"state\":\"running\"}", false},
        {"{broken", false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        sched_world_t world;
        sched_world_init(&world, 2);
        sched_world_announce(&world, "a", 1);
        sched_world_add_job(&world, JOB, false, 1, 1000, true);
        nm_sched_restore(world.sched, JOB, cases[i].record,
                         (uint32_t)strlen(cases[i].record));
        sched_world_step(&world, 10);
        sched_world_report(&world, "a", 1, NULL, 0, NULL, 0);
        sched_world_step(&world, 10000);
        bool started = sched_world_find(&world, NM_ACTION_START, "a") != NULL;
        g_assert_cmpint(started, ==, cases[i].starts);
        sched_world_finish(&world);
    }
}

static void
test_recovered_task_waits_for_all_workers(void)
{
    sched_world_t world;
    sched_world_init(&world, 2);
    nm_sched_expect_worker(world.sched, "b", world.now_ms);
    sched_world_announce(&world, "a", 1);
    sched_world_add_job(&world, JOB, false, 1, 1000, true);
    sched_world_step(&world, 10);
    sched_world_report(&world, "a", 1, NULL, 0, NULL, 0);
    nm_ms_t begin_ms = world.now_ms;
    while (!sched_world_find(&world, NM_ACTION_START, "a")) {
        sched_world_step(&world, 100);
        if (sched_world_find(&world, NM_ACTION_POLL, "a")) {
            sched_world_report(&world, "a", 1, NULL, 0, NULL, 0);
        }
        g_assert_cmpint(world.now_ms - begin_ms, <, 12000);
    }
    g_assert_cmpint(world.now_ms - begin_ms, >=, 7000);
    sched_world_finish(&world);
}

/*
 * Load: the store turns the owner away; another one is elected, and is busy
 * with what it has to read for 3 s.  Until it gives orders the former owner
 * renews leases, so that they count from then.
 */
static void
test_leases_count_from_the_first_orders(void)
{
    enum { READING_MS = 3000, LEASE_MS = 7000 };
    sched_world_t world;
    sched_world_init(&world, 2);
    nm_sched_expect_worker(world.sched, "b", world.now_ms);
    world.now_ms += READING_MS;
    sched_world_announce(&world, "a", 1);
    sched_world_add_job(&world, JOB, false, 1, 1000, true);
    nm_sched_activate(world.sched, world.now_ms);
    nm_ms_t active_ms = world.now_ms;
    sched_world_step(&world, 10);
    sched_world_report(&world, "a", 1, NULL, 0, NULL, 0);
    while (!sched_world_find(&world, NM_ACTION_START, "a")) {
        sched_world_step(&world, 100);
        if (sched_world_find(&world, NM_ACTION_POLL, "a")) {
            sched_world_report(&world, "a", 1, NULL, 0, NULL, 0);
        }
        g_assert_cmpint(world.now_ms - active_ms, <, 9000);
    }
    g_assert_cmpint(world.now_ms - active_ms, >=, LEASE_MS);
    sched_world_finish(&world);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    static const struct {
        const char *name;
        void (*run)(void);
    } cases[] = {
        {"/sched/failure-counts-after-takeover",
         test_failure_counts_after_takeover},
        {"/sched/failure-counts-once", test_failure_counts_once},
        {"/sched/recovered-task-waits",
         test_recovered_task_waits_for_all_workers},
        {"/sched/unreadable-progress-starts-nothing",
         test_unreadable_progress_starts_nothing},
        {"/sched/leases-count-from-the-first-orders",
         test_leases_count_from_the_first_orders},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
