/*
 * Tests of admission: a job that may still end within three times its
 * objective is never refused, whatever the backlog; one that all workers
 * together cannot do in that time is.
 */
#include <stdio.h>

#include <glib.h>

#include <nutmegdeck/admission.h>

#define QUEUE "press"

static nm_sched_t *
new_sched(uint32_t workers, int64_t cpu_milli)
{
    nm_sched_t *sched = nm_sched_new(
        &(nm_sched_desc_t){.epoch = 1, .former_lease_max_ms = 1}, 0);
    nm_sched_set_queue(sched, &(nm_queue_t){QUEUE, "press", 0, 4, 2, 1000, 0});
    for (uint32_t i = 0; i < workers; i++) {
        nm_sched_worker_t worker = {
            .incarnation = 1, .cpu_milli = cpu_milli, .memory_mb = 1000};
        snprintf(worker.id, sizeof(worker.id), "w%u", i);
        nm_strcopy(worker.service, sizeof(worker.service), "press");
        nm_strcopy(worker.zone, sizeof(worker.zone), "a");
        nm_sched_set_worker(sched, &worker, 0);
    }
    return sched;
}

static void
add_jobs(nm_sched_t *sched, uint32_t count, uint32_t tasks, nm_ms_t estimate)
{
    for (uint32_t i = 0; i < count; i++) {
        char id[NM_JOB_ID_MAX];
        snprintf(id, sizeof(id), "%016x", i);
        nm_job_spec_t spec;
        nm_job_spec_init(&spec, id, QUEUE, "press");
        nm_step_t *step = nm_job_spec_add_step(&spec);
        step->task_count = tasks;
        step->cpu_milli = 1000;
        step->estimate_ms = estimate;
        g_assert_cmpint(nm_sched_add_job(sched, &spec, false, 1), ==, NM_OK);
        nm_job_spec_finish(&spec);
    }
}

/* The objective is 3000 ms, and 9000 ms the limit; half of the work counts. */
static const struct {
    const char *name;
    uint32_t workers;
    uint32_t jobs; /* of the size that is asked for */
    uint32_t tasks;
    bool evacuated;
    bool deregistered;
    bool refuse;
} cases[] = {
    {"fits", 4, 1, 16, false, false, false},
    {"backlog", 4, 400, 16, false, false, false},
    {"too-large", 4, 1, 600, false, false, true},
    {"no-arrival", 4, 0, 600, false, false, false},
    {"evacuated", 4, 1, 64, true, false, false},
    {"capacity-lost", 40, 1, 600, false, true, true},
    {"no-worker", 0, 1, 600, false, false, false},
};

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_sched_t *sched = new_sched(cases[i].workers, 4000);
        add_jobs(sched, cases[i].jobs, cases[i].tasks, 1000);
        nm_sched_set_evacuated(sched, "a", cases[i].evacuated);
        for (uint32_t w = 4; cases[i].deregistered && w < cases[i].workers;
             w++) {
            char id[NM_NAME_MAX];
            snprintf(id, sizeof(id), "w%u", w);
            nm_sched_deregister_worker(sched, id);
        }
        nm_admission_t admission = nm_sched_query_admission(
            sched, QUEUE, (int64_t)cases[i].tasks * 1000, 1000);
        g_assert_cmpint(admission.refuse, ==, cases[i].refuse);
        g_assert_cmpint(admission.retry_after_ms > 0, ==, cases[i].refuse);
        nm_sched_free(sched);
    }
}

/* Retries of jobs that are refused together must not come back together. */
static void
test_retries_spread(void)
{
    nm_queue_t queue = {QUEUE, "press", 0, 4, 2, 1000, 0};
    nm_admission_table_t table = {.row_count = 1};
    table.rows[0] = (nm_admission_row_t){QUEUE, 9, 12000, 3000};
    g_assert_cmpuint(nm_admission_class(256), ==, 9);
    nm_ms_t first =
        nm_admission_decide(&table, &queue, 256, 1000, 0).retry_after_ms;
    nm_ms_t last =
        nm_admission_decide(&table, &queue, 511, 1000, 1).retry_after_ms;
    g_assert_cmpint(first, >=, 1000);
    g_assert_cmpint(last, ==, 2 * first);
    g_assert_false(nm_admission_decide(&table, &queue, 512, 1000, 0).refuse);
    /* a longer chain has a later limit */
    g_assert_false(nm_admission_decide(&table, &queue, 256, 5000, 0).refuse);
}

/*
 * A small job that is of no use any more must not start before larger ones
 * that still are.
 */
static void
test_job_of_no_use_gives_way(void)
{
    nm_sched_t *sched = new_sched(1, 1000);
    nm_sched_admit_worker(sched, "w0");
    nm_sched_run(sched, 1, 1000000);
    nm_worker_report_t report = {.result = NM_ORDER_DONE,
                                 .incarnation = 1,
                                 .clock_ms = 1000,
                                 .sent_ms = 1,
                                 .complete = true};
    nm_sched_on_report(sched, "w0", &report, 10);
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, "ffffffffffffffff", QUEUE, "press");
    nm_step_t *step = nm_job_spec_add_step(&spec);
    step->task_count = 1;
    step->cpu_milli = 1000;
    step->estimate_ms = 1000;
    /* its limit of 9 s has passed */
    g_assert_cmpint(nm_sched_add_job(sched, &spec, false, -10000), ==, NM_OK);
    nm_job_spec_finish(&spec);
    add_jobs(sched, 10, 40, 1000);
    nm_sched_run(sched, 20, 1000020);
    char started[NM_TASK_NAME_MAX] = "";
    nm_sched_action_t action;
    while (nm_sched_next_action(sched, &action)) {
        if (action.type == NM_ACTION_START) {
            g_assert_cmpstr(started, ==, "");
            nm_strcopy(started, sizeof(started), action.task);
        }
    }
    g_assert_true(g_str_has_prefix(started, "0000"));
    nm_sched_free(sched);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/admission/cases", test_cases);
    g_test_add_func("/admission/retries-spread", test_retries_spread);
    g_test_add_func("/admission/job-of-no-use-gives-way",
                    test_job_of_no_use_gives_way);
    return g_test_run();
}
