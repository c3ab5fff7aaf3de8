/*
 * When the owner asks for the list of machines, and what it does with it.
 */
#include <string.h>

#include "lib_entry_host.h"

#define WORKERS 5
/* Five workers have room for twice as many. */
#define TASKS 10
#define RECORD_OF_TASKS                                                       \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":10,\"cpu_milli\":4000}]}"
/* Well before any lease has lapsed. */
#define SOON_MS 4000

/* An owner with tasks at work on its workers, one of which falls silent. */
typedef struct {
    fake_kv_t *kv;
    fake_machines_t machines;
    host_t host;
    char silent[NM_NAME_MAX];
    uint32_t lost; /* its tasks */
} lives_t;

static void
begin(lives_t *lives)
{
    *lives = (lives_t){.kv = configured_store()};
    fake_machines_init(&lives->machines);
    for (int w = 0; w < WORKERS; w++) {
        char key[32];
        g_snprintf(key, sizeof(key), "servers/w%d", w);
        fake_kv_put(lives->kv, key, WORKER);
        fake_machines_add(&lives->machines, key + strlen("servers/"));
    }
    host_init_with_machines(&lives->host, "a", lives->kv, &lives->machines);
    lives->host.orders.runs = g_ptr_array_new_with_free_func(g_free);
    lives->host.orders.out_of_reach =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    run_host(&lives->host, 1000);
    fake_kv_put(lives->kv, JOB_KEY, RECORD_OF_TASKS);
    run_host(&lives->host, 3000);
    g_assert_cmpuint(lives->host.orders.starts, ==, TASKS);
    g_assert_cmpuint(lives->machines.calls, ==, 0);
}

/* A worker with tasks is out of reach; its entry is gone if it has ended. */
static void
silence_worker(lives_t *lives, bool ended)
{
    GPtrArray *runs = lives->host.orders.runs;
    const fake_run_t *first = runs->pdata[0];
    nm_strcopy(lives->silent, sizeof(lives->silent), first->worker);
    for (guint i = 0; i < runs->len; i++) {
        const fake_run_t *run = runs->pdata[i];
        lives->lost += strcmp(run->worker, lives->silent) == 0;
    }
    g_hash_table_add(lives->host.orders.out_of_reach, g_strdup(lives->silent));
    if (ended) {
        fake_machines_remove(&lives->machines, lives->silent);
    }
}

static void
finish(lives_t *lives)
{
    fake_machines_respond(&lives->machines);
    g_hash_table_destroy(lives->host.orders.out_of_reach);
    GPtrArray *runs = lives->host.orders.runs;
    host_finish(&lives->host);
    g_ptr_array_free(runs, TRUE);
    fake_machines_finish(&lives->machines);
    fake_kv_free(lives->kv);
}

/* Calls are priced: none while all workers respond. */
static void
test_no_listing_without_silence(void)
{
    lives_t lives;
    begin(&lives);
    run_host(&lives.host, 20000);
    g_assert_cmpuint(lives.machines.calls, ==, 0);
    finish(&lives);
}

static void
test_listings(void)
{
    static const struct {
        const char *name;
        bool ended;
        int rc;
        uint32_t pages;
        bool empty; /* no worker is listed */
        bool restarts;
        nm_ms_t within_ms;
        uint32_t calls_min;
        uint32_t calls_max;
    } cases[] = {
        {"ended", true, NM_OK, 1, false, true, 2000, 1, 1},
        {"ended, several pages", true, NM_OK, 2, false, true, 2000, 2, 2},
        {"cut off", false, NM_OK, 1, false, false, SOON_MS, 1, 3},
        {"no response", true, NM_ERR_UNAVAILABLE, 1, false, false, SOON_MS, 1,
         3},
        {"malformed", true, NM_ERR_CORRUPT, 1, false, false, SOON_MS, 1, 3},
        {"empty", true, NM_OK, 1, true, false, SOON_MS, 1, 3},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        lives_t lives;
        begin(&lives);
        lives.machines.rc = cases[i].rc;
        lives.machines.pages = cases[i].pages;
        silence_worker(&lives, cases[i].ended);
        if (cases[i].empty) {
            g_ptr_array_set_size(lives.machines.living, 0);
        }
        run_host(&lives.host, cases[i].within_ms);
        g_assert_cmpuint(lives.host.orders.starts, ==,
                         TASKS + (cases[i].restarts ? lives.lost : 0));
        g_assert_cmpuint(lives.machines.calls, >=, cases[i].calls_min);
        g_assert_cmpuint(lives.machines.calls, <=, cases[i].calls_max);
        finish(&lives);
    }
}

/* Load: a platform that takes seconds, and a cut that heals meanwhile. */
static void
test_response_after_the_request_counts(void)
{
    for (int healed = 0; healed < 2; healed++) {
        lives_t lives;
        begin(&lives);
        lives.machines.holds = true;
        silence_worker(&lives, true);
        run_host(&lives.host, 2000);
        g_assert_cmpuint(lives.machines.calls, ==, 1);
        if (healed) {
            g_hash_table_remove_all(lives.host.orders.out_of_reach);
            run_host(&lives.host, 1000);
            g_hash_table_add(lives.host.orders.out_of_reach,
                             g_strdup(lives.silent));
        }
        run_host(&lives.host, 1000);
        g_assert_cmpuint(lives.machines.calls, ==, 1);
        fake_machines_respond(&lives.machines);
        run_host(&lives.host, 500);
        g_assert_cmpuint(lives.host.orders.starts, ==,
                         TASKS + (healed ? 0 : lives.lost));
        finish(&lives);
    }
}

/* A response of an incarnation that is listed as ended stops the use. */
static void
test_contradicted_list_is_not_used(void)
{
    lives_t lives;
    begin(&lives);
    silence_worker(&lives, true);
    run_host(&lives.host, SOON_MS);
    g_assert_false(lives.host.entry->lives.distrusted);
    g_hash_table_remove_all(lives.host.orders.out_of_reach);
    run_host(&lives.host, 2000);
    g_assert_true(lives.host.entry->lives.distrusted);
    uint32_t calls = lives.machines.calls;
    g_hash_table_add(lives.host.orders.out_of_reach, g_strdup("w0"));
    g_hash_table_add(lives.host.orders.out_of_reach, g_strdup("w1"));
    run_host(&lives.host, SOON_MS);
    g_assert_cmpuint(lives.machines.calls, ==, calls);
    finish(&lives);
}

/* The response to a listing of an earlier term is dropped. */
static void
test_listing_ends_with_the_term(void)
{
    lives_t lives;
    begin(&lives);
    lives.machines.holds = true;
    silence_worker(&lives, true);
    run_host(&lives.host, 2000);
    g_assert_cmpuint(lives.machines.calls, ==, 1);
    nm_term_step_down(lives.host.entry, "test");
    fake_machines_respond(&lives.machines);
    run_host(&lives.host, 100);
    g_assert_cmpuint(lives.host.orders.starts, ==, TASKS);
    finish(&lives);
}

/*
 * A job whose only task a former owner has started on four workers, each of
 * which fell silent at once; the owner has only hashes of their ids.
 */
#define STORED_SILENCES 4
#define RECORD_OF_ONE_TASK                                                    \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":1,\"cpu_milli\":4000}]}"

static char *
make_progress(void)
{
    GString *progress =
        g_string_new("{\"version\":1,\"state\":\"running\","
                     "\"done\":[[\".\"]],\"attempts_max\":2,"
                     "\"failures\":[],\"ids_reused\":false,\"silences\":[");
    for (int i = 0; i < STORED_SILENCES; i++) {
        char id[NM_NAME_MAX];
        g_snprintf(id, sizeof(id), "x%d", i);
        g_string_append_printf(progress, "%s[0,0,0,%u,1,false,0,0]",
                               i > 0 ? "," : "", nm_sched_hash_worker(id));
    }
    g_string_append(progress, "]}");
    return g_string_free(progress, FALSE);
}

static void
test_stored_silences(void)
{
    static const struct {
        const char *name;
        bool listed;
        int rc;
        uint32_t pages;
        bool fails;
        uint32_t calls_max; /* in 40 s: 1, 2, 4, then 8 s apart */
    } cases[] = {
        {"ended", false, NM_OK, 1, true, 1},
        {"ended, several pages", false, NM_OK, 2, true, 2},
        {"listed", true, NM_OK, 1, false, 7},
        {"no response", false, NM_ERR_UNAVAILABLE, 1, false, 7},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        lives_t lives = {.kv = configured_store()};
        fake_machines_init(&lives.machines);
        lives.machines.rc = cases[i].rc;
        lives.machines.pages = cases[i].pages;
        for (int w = 0; w < WORKERS; w++) {
            char key[32];
            g_snprintf(key, sizeof(key), "servers/w%d", w);
            fake_kv_put(lives.kv, key, WORKER);
            fake_machines_add(&lives.machines, key + strlen("servers/"));
        }
        for (int s = 0; cases[i].listed && s < STORED_SILENCES; s++) {
            char id[NM_NAME_MAX];
            g_snprintf(id, sizeof(id), "x%d", s);
            fake_machines_add(&lives.machines, id);
        }
        char *progress = make_progress();
        fake_kv_put(lives.kv, EPOCH_KEY, "1"); /* a former owner's */
        fake_kv_put(lives.kv, JOB_KEY, RECORD_OF_ONE_TASK);
        fake_kv_put(lives.kv, "nutmegdeck/progress/" JOB, progress);
        g_free(progress);
        host_init_with_machines(&lives.host, "a", lives.kv, &lives.machines);
        run_host(&lives.host, 40000);
        nm_sched_job_info_t info;
        g_assert_true(
            nm_sched_query_job_info(lives.host.entry->sched, JOB, &info));
        g_assert_cmpint(info.state, ==,
                        cases[i].fails ? NM_JOB_FAILED : NM_JOB_RUNNING);
        g_assert_cmpuint(lives.host.orders.starts, ==, 0);
        g_assert_cmpuint(lives.machines.calls, >=, 1);
        g_assert_cmpuint(lives.machines.calls, <=, cases[i].calls_max);
        fake_machines_respond(&lives.machines);
        host_finish(&lives.host);
        fake_machines_finish(&lives.machines);
        fake_kv_free(lives.kv);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    static const struct {
        const char *name;
        void (*run)(void);
    } cases[] = {
        {"/lives/no-listing-without-silence", test_no_listing_without_silence},
        {"/lives/listings", test_listings},
        {"/lives/response-after-the-request-counts",
         test_response_after_the_request_counts},
        {"/lives/contradicted-list-is-not-used",
         test_contradicted_list_is_not_used},
        {"/lives/stored-silences", test_stored_silences},
        {"/lives/listing-ends-with-the-term", test_listing_ends_with_the_term},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_add_func(cases[i].name, cases[i].run);
    }
    return g_test_run();
}
