/*
 * Tests of jobs that repeat: only occurrences that are due, and have not ended
 * for long, take memory, and none is left out or runs again across owners.
 */
#include <string.h>

#include "lib_sched_sim.h"

#define START_UNIX_MS 1700000000000
#define HOUR_MS 3600000
#define MEMORY_MAX_BYTES (UINT64_C(40) * 1024 * 1024)
/* Half as much is for further occurrences of a job. */
#define LIVE_MAX_BYTES (MEMORY_MAX_BYTES / 2 * 3)

typedef struct {
    uint32_t jobs;
    uint32_t tasks; /* of each occurrence */
    uint32_t occurrences;
    nm_ms_t interval_ms;
    nm_ms_t first_ms; /* after the start of the test */
} schedule_t;

static void
add_job(sched_sim_t *sim, uint32_t number, const schedule_t *schedule,
        bool recovered)
{
    char id[NM_JOB_ID_MAX];
    g_snprintf(id, sizeof(id), "%016x", number);
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, "batch", "press");
    nm_step_t *step = nm_job_spec_add_step(&spec);
    step->task_count = schedule->tasks;
    step->cpu_milli = 10;
    step->memory_mb = 1;
    step->estimate_ms = 100;
    spec.occurrences = schedule->occurrences;
    spec.first_unix_ms = START_UNIX_MS + schedule->first_ms;
    spec.interval_ms = schedule->interval_ms;
    g_assert_null(nm_job_spec_check(&spec));
    g_assert_cmpint(
        nm_sched_add_job(sim->sched, &spec, recovered, sim->now_ms), ==,
        NM_OK);
    nm_job_spec_finish(&spec);
}

static void
init(sched_sim_t *sim, int64_t epoch, nm_ms_t now_ms)
{
    sched_sim_init(sim, epoch);
    nm_sched_free(sim->sched);
    sim->now_ms = now_ms;
    sim->unix_offset_ms = START_UNIX_MS;
    sim->sched = nm_sched_new(
        &(nm_sched_desc_t){.epoch = epoch,
                           .former_lease_max_ms = epoch > 1 ? 0 : 1,
                           .memory_max_bytes = MEMORY_MAX_BYTES},
        sim->now_ms);
    sched_sim_advance(sim, 1);
}

/*
 * Guards against owners that end by their memory, and each later one: jobs
 * that are not due, or that are all due without a worker, also under an owner
 * that takes them over.
 */
static void
test_memory_is_bounded(void)
{
    static const struct {
        const char *name;
        schedule_t schedule;
        uint32_t deferred_min; /* jobs with occurrences that wait for memory */
    } cases[] = {
        {"each minute for a week", {2, 20, 10080, 60000, HOUR_MS}, 0},
        {"the same in 40 jobs", {40, 20, 10080, 60000, HOUR_MS}, 0},
        {"each second for hours", {40, 20, 20000, 1000, HOUR_MS}, 0},
        {"all due at once", {40, 20, 10000, 1, 0}, 40},
        {"due once, many tasks", {40, 5000, 1, 0, 0}, 1},
        {"of an earlier version", {60, 20000, 1, 0, 0}, 1},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        for (int64_t epoch = 1; epoch <= 2; epoch++) {
            g_test_message("%s, epoch %d", cases[c].name, (int)epoch);
            sched_sim_t sim;
            init(&sim, epoch, 1000);
            for (uint32_t j = 0; j < cases[c].schedule.jobs; j++) {
                add_job(&sim, j, &cases[c].schedule, epoch > 1);
            }
            nm_sched_activate(sim.sched, sim.now_ms);
            for (int i = 0; i < 20; i++) {
                sched_sim_advance(&sim, 1000);
            }
            nm_sched_memory_t memory = nm_sched_query_memory(sim.sched);
            g_assert_cmpuint(memory.live_bytes, <=, LIVE_MAX_BYTES);
            g_assert_cmpuint(memory.jobs_deferred, >=, cases[c].deferred_min);
            g_assert_cmpuint(nm_sched_query_info(sim.sched).jobs_active, ==,
                             cases[c].schedule.jobs);
            sched_sim_finish(&sim);
        }
    }
}

typedef struct {
    sched_sim_t sim;
    GHashTable *ended; /* names of tasks whose end was reported */
    GArray *runs;      /* of nm_worker_run_t, at work on "a" */
    int64_t end_number;
    uint32_t repeated; /* tasks that started after their end */
} line_t;

/* Carries out starts on "a"; each run ends with the next report. */
static void
work(line_t *line, nm_ms_t duration_ms)
{
    sched_sim_t *sim = &line->sim;
    nm_ms_t until_ms = sim->now_ms + duration_ms;
    while (sim->now_ms < until_ms) {
        sched_sim_advance(sim, 100);
        for (guint i = 0; i < sim->actions->len; i++) {
            const nm_sched_action_t *action =
                &g_array_index(sim->actions, nm_sched_action_t, i);
            if (action->type == NM_ACTION_START) {
                line->repeated +=
                    g_hash_table_contains(line->ended, action->task);
                nm_worker_run_t run =
                    sched_sim_make_run(action->task, action->run);
                g_array_append_val(line->runs, run);
            }
        }
        sched_sim_confirm_starts(sim);
        GArray *ends = g_array_new(FALSE, FALSE, sizeof(nm_worker_end_t));
        for (guint i = 0; i < line->runs->len; i++) {
            const nm_worker_run_t *run =
                &g_array_index(line->runs, nm_worker_run_t, i);
            nm_worker_end_t end = sched_sim_make_end(
                ++line->end_number, run->task, run->run, NM_END_DONE);
            g_array_append_val(ends, end);
            g_hash_table_add(line->ended, g_strdup(run->task));
        }
        g_array_set_size(line->runs, 0);
        sched_sim_report(sim, "a", 1, NULL, 0,
                         (const nm_worker_end_t *)ends->data, ends->len);
        g_array_free(ends, TRUE);
    }
}

/* Stores what is to be stored; returns the newest record, or NULL. */
static char *
store(line_t *line)
{
    char *record = NULL;
    nm_sched_save_t save;
    while (nm_sched_next_save(line->sim.sched, &save)) {
        g_free(record);
        record = save.record;
        nm_sched_confirm_save(line->sim.sched, &save, true);
    }
    return record;
}

/* A next owner has the record, which may be NULL, and hears from "a". */
static void
take_over(line_t *line, const schedule_t *schedule, const char *record,
          int64_t epoch)
{
    nm_ms_t now_ms = line->sim.now_ms;
    sched_sim_finish(&line->sim);
    init(&line->sim, epoch, now_ms);
    nm_sched_expect_worker(line->sim.sched, "a", line->sim.now_ms);
    add_job(&line->sim, 0, schedule, true);
    if (record) {
        g_assert_cmpint(nm_sched_restore(line->sim.sched, "0000000000000000",
                                         record, (uint32_t)strlen(record)),
                        ==, NM_OK);
    }
    nm_sched_activate(line->sim.sched, line->sim.now_ms);
    sched_sim_announce(&line->sim, "a", 1);
}

static void
line_init(line_t *line)
{
    *line = (line_t){
        .ended = g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL),
        .runs = g_array_new(FALSE, FALSE, sizeof(nm_worker_run_t))};
    init(&line->sim, 1, 1000);
    sched_sim_add_worker(&line->sim, "a");
}

static void
line_finish(line_t *line)
{
    sched_sim_finish(&line->sim);
    g_hash_table_destroy(line->ended);
    g_array_free(line->runs, TRUE);
}

/*
 * Guards against occurrences that are lost or run twice as they are freed and
 * taken over.
 */
static void
test_each_occurrence_runs_once(void)
{
    enum { BEGUN_MS = 200000 };
    static const schedule_t schedule = {1, 4, 200, 1000, 2000};
    static const nm_ms_t terms_ms[] = {300000, 15000, 2000};
    for (size_t c = 0; c < NM_COUNT_OF(terms_ms); c++) {
        g_test_message("terms of %d ms", (int)terms_ms[c]);
        line_t line;
        line_init(&line);
        add_job(&line.sim, 0, &schedule, false);
        uint64_t live_max_bytes = 0;
        char *record = NULL;
        for (int64_t epoch = 2; line.sim.now_ms < BEGUN_MS; epoch++) {
            nm_ms_t left_ms = BEGUN_MS + 10000 - line.sim.now_ms;
            work(&line, MIN(terms_ms[c], left_ms));
            char *newest = store(&line);
            g_free(newest ? record : NULL);
            record = newest ? newest : record;
            nm_sched_memory_t memory = nm_sched_query_memory(line.sim.sched);
            live_max_bytes = MAX(live_max_bytes, memory.live_bytes);
            if (line.sim.now_ms < BEGUN_MS) {
                take_over(&line, &schedule, record, epoch);
            }
        }
        g_assert_cmpint(nm_sched_query_job(line.sim.sched, "0000000000000000"),
                        ==, NM_JOB_COMPLETED);
        g_assert_cmpuint(g_hash_table_size(line.ended), ==,
                         schedule.tasks * schedule.occurrences);
        g_assert_cmpuint(line.repeated, ==, 0);
        /* Those of 40 s of 200 s. */
        g_assert_cmpuint(live_max_bytes, <, 120 * 1024);
        g_free(record);
        line_finish(&line);
    }
}

/*
 * Records of earlier versions list all occurrences.  What the former owner has
 * started since its record is known from the worker only.
 */
static void
test_started_occurrences_are_taken_over(void)
{
    enum { OCCURRENCES = 10 };
    static const schedule_t schedule = {1, 1, OCCURRENCES, 1000, 0};
    static const struct {
        const char *name;
        const char *record; /* of the progress; NULL: none is stored */
        uint32_t done;      /* occurrences, by the record */
        uint32_t ended;     /* the next ones, listed by the worker */
        uint32_t running;   /* the next ones */
        int rc;
    } cases[] = {
        {"no record", NULL, 0, 2, 2, NM_OK},
        {"version 1",
         "{\"version\":1,\"state\":\"running\",\"done\":[[\"D\"],[\"D\"],[\"."
         "\"]"
         ",[\"D\"],[\".\"],[\".\"],[\".\"],[\".\"],[\".\"],[\".\"]]}",
         4, 2, 1, NM_OK},
        {"version 2",
         "{\"version\":2,\"state\":\"running\",\"begun\":4,\"unfinished\":[[2,"
         "[\".\"]]]}",
         4, 0, 3, NM_OK},
        {"version 2, without rows",
         "{\"version\":2,\"state\":\"running\",\"begun\":4}", 4, 0, 0,
         NM_ERR_CORRUPT},
        {"version 2, too many",
         "{\"version\":2,\"state\":\"running\",\"begun\":11,\"unfinished\":[]"
         "}",
         4, 0, 0, NM_ERR_CORRUPT},
        {"version 2, falling numbers",
         "{\"version\":2,\"state\":\"running\",\"begun\":4,\"unfinished\":[[2,"
         "[\".\"]],[1,[\".\"]]]}",
         4, 0, 0, NM_ERR_CORRUPT},
    };
    for (size_t c = 0; c < NM_COUNT_OF(cases); c++) {
        g_test_message("%s", cases[c].name);
        line_t line;
        line_init(&line);
        sched_sim_finish(&line.sim);
        init(&line.sim, 2, 20000);
        nm_sched_expect_worker(line.sim.sched, "a", line.sim.now_ms);
        add_job(&line.sim, 0, &schedule, true);
        if (cases[c].record) {
            g_assert_cmpint(
                nm_sched_restore(line.sim.sched, "0000000000000000",
                                 cases[c].record,
                                 (uint32_t)strlen(cases[c].record)),
                ==, cases[c].rc);
        }
        nm_sched_activate(line.sim.sched, line.sim.now_ms);
        sched_sim_announce(&line.sim, "a", 1);
        nm_worker_end_t ends[OCCURRENCES];
        nm_worker_run_t runs[OCCURRENCES];
        char name[NM_TASK_NAME_MAX];
        uint32_t next = cases[c].done;
        for (uint32_t i = 0; i < cases[c].ended; i++, next++) {
            g_snprintf(name, sizeof(name), "0000000000000000.%u.0.0", next);
            ends[i] = sched_sim_make_end(i + 1, name, 1, NM_END_DONE);
            g_hash_table_add(line.ended, g_strdup(name));
        }
        for (uint32_t i = 0; i < cases[c].running; i++, next++) {
            g_snprintf(name, sizeof(name), "0000000000000000.%u.0.0", next);
            runs[i] = sched_sim_make_run(name, 1);
        }
        sched_sim_advance(&line.sim, 10);
        sched_sim_report(&line.sim, "a", 1, runs, cases[c].running, ends,
                         cases[c].ended);
        line.end_number = cases[c].ended;
        g_array_append_vals(line.runs, runs, cases[c].running);
        work(&line, 20000);
        if (cases[c].rc != NM_OK) {
            g_assert_cmpuint(g_hash_table_size(line.ended), ==, 0);
        }
        else {
            bool has_gap = cases[c].record != NULL; /* number 2 */
            g_assert_cmpuint(g_hash_table_size(line.ended) + cases[c].done, ==,
                             OCCURRENCES + has_gap);
            g_free(store(&line));
            g_assert_cmpint(
                nm_sched_query_job(line.sim.sched, "0000000000000000"), ==,
                NM_JOB_COMPLETED);
        }
        g_assert_cmpuint(line.repeated, ==, 0);
        line_finish(&line);
    }
}

/* A row that names what cannot have begun takes no memory. */
static void
test_odd_rows_begin_nothing(void)
{
    static const schedule_t schedule = {1, 20, 100000, 1000, HOUR_MS};
    static const char *const names[] = {
        "0000000000000000.0.0.0", "0000000000000000.99999.0.0",
        "0000000000000000.100000.0.0", "0000000000000000.-1.0.0",
        "0000000000000000.18446744073709551616.0.0"};
    for (size_t c = 0; c < NM_COUNT_OF(names); c++) {
        sched_sim_t sim;
        init(&sim, 2, 1000);
        add_job(&sim, 0, &schedule, true);
        nm_sched_activate(sim.sched, sim.now_ms);
        sched_sim_announce(&sim, "a", 1);
        sched_sim_advance(&sim, 10);
        uint64_t before = nm_sched_query_memory(sim.sched).live_bytes;
        nm_worker_run_t run = sched_sim_make_run(names[c], 1);
        nm_worker_end_t end = sched_sim_make_end(1, names[c], 1, NM_END_DONE);
        sched_sim_report(&sim, "a", 1, &run, 1, &end, 1);
        sched_sim_advance(&sim, 1000);
        g_assert_cmpuint(nm_sched_query_memory(sim.sched).live_bytes, ==,
                         before);
        sched_sim_finish(&sim);
    }
}

/* Jobs that waited for memory run once others have ended. */
static void
test_deferred_jobs_run(void)
{
    static const schedule_t schedule = {1, 2000, 1, 0, 0};
    enum { JOBS = 80 };
    line_t line;
    line_init(&line);
    for (uint32_t j = 0; j < JOBS; j++) {
        add_job(&line.sim, j, &schedule, false);
    }
    work(&line, 100);
    nm_sched_memory_t memory = nm_sched_query_memory(line.sim.sched);
    g_assert_cmpuint(memory.jobs_deferred, >, 0);
    g_assert_cmpuint(memory.live_bytes, <=, LIVE_MAX_BYTES);
    for (int i = 0; i < 60; i++) {
        work(&line, 1000);
        g_free(store(&line));
        memory = nm_sched_query_memory(line.sim.sched);
        g_assert_cmpuint(memory.live_bytes, <=, LIVE_MAX_BYTES);
    }
    g_assert_cmpuint(g_hash_table_size(line.ended), ==, JOBS * schedule.tasks);
    line_finish(&line);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/occurrence/memory-is-bounded", test_memory_is_bounded);
    g_test_add_func("/occurrence/each-occurrence-runs-once",
                    test_each_occurrence_runs_once);
    g_test_add_func("/occurrence/started-occurrences-are-taken-over",
                    test_started_occurrences_are_taken_over);
    g_test_add_func("/occurrence/odd-rows-begin-nothing",
                    test_odd_rows_begin_nothing);
    g_test_add_func("/occurrence/deferred-jobs-run", test_deferred_jobs_run);
    return g_test_run();
}
