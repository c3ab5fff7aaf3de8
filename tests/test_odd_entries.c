/*
 * Records of the store that another writer left: unreadable, with fields of
 * another type, or with values out of range.  Such a record must end no
 * process, stop no feed, and change nothing that other records say.
 */
#include <string.h>

#include <glib.h>

#include <nutmegdeck/reason.h>

#include "../platform/codec.h"
#include "../src/sched_state.h"
#include "lib_entry_host.h"

#define NESTED_LEVELS 100000
#define GOOD_CPU_MILLI 16000
#define BASE                                                                  \
    "\"service\":\"s\",\"zone\":\"z\",\"state\":\"ready\",\"sequence\":1,"
#define CAPACITY "\"capacity\":{\"cpu\":16000,\"memMb\":1000},"
#define REST "\"labels\":[\"a\",\"r1\"],\"born\":1}"
/* A worker entry with other text for its capacity or its address. */
#define WITH_CAPACITY(members)                                                \
    "{" BASE "\"address\":\"10.0.0.1:80\",\"capacity\":{" members "}," REST
#define WITH_ADDRESS(address)                                                 \
    "{" BASE CAPACITY "\"address\":\"" address "\"," REST
/* A worker entry with other text for its labels and what follows. */
#define WITH_TAIL(members)                                                    \
    "{" BASE CAPACITY "\"address\":\"10.0.0.1:80\"," members "}"

#define TEXT(literal) .text = (literal), .bytes = sizeof(literal) - 1

typedef struct {
    const char *name;
    const char *text; /* NULL: NESTED_LEVELS times the opening */
    uint32_t bytes;   /* of text; it may hold zero bytes */
    const char *opening;
} odd_value_t;

/* Each has to be refused as the entry of a worker. */
static const odd_value_t odd_workers[] = {
    {"empty", TEXT("")},
    {"no JSON", TEXT("{\"service\"")},
    {"nested arrays", .opening = "["},
    {"nested objects", .opening = "{\"a\":"},
    {"not UTF-8", TEXT("\xff\xfe{}")},
    {"not UTF-8 inside", TEXT(WITH_ADDRESS("10.0.0.1:8\xff"))},
    {"zero byte inside", TEXT("{\"service\":\"s\0\"}")},
    {"escaped zero inside", TEXT(WITH_ADDRESS("10.0.0.1:80\\u0000"))},
    {"text after the object", TEXT(WORKER "x")},
    {"duplicate key",
     TEXT(WITH_TAIL("\"labels\":[\"a\"],\"born\":1,\"state\":\"draining\""))},
    {"no object", TEXT("[1]")},
    {"cpu 2^63 - 1",
     TEXT(WITH_CAPACITY("\"cpu\":9223372036854775807,\"memMb\":1"))},
    {"cpu 2^63",
     TEXT(WITH_CAPACITY("\"cpu\":9223372036854775808,\"memMb\":1"))},
    {"cpu 2^62",
     TEXT(WITH_CAPACITY("\"cpu\":4611686018427387904,\"memMb\":1"))},
    {"cpu 1e999", TEXT(WITH_CAPACITY("\"cpu\":1e999,\"memMb\":1"))},
    {"cpu 1e300", TEXT(WITH_CAPACITY("\"cpu\":1e300,\"memMb\":1"))},
    {"cpu negative", TEXT(WITH_CAPACITY("\"cpu\":-1,\"memMb\":1"))},
    {"cpu fractional", TEXT(WITH_CAPACITY("\"cpu\":1.5,\"memMb\":1"))},
    {"cpu a string", TEXT(WITH_CAPACITY("\"cpu\":\"16\",\"memMb\":1"))},
    {"memory 2^63 - 1",
     TEXT(WITH_CAPACITY("\"cpu\":1,\"memMb\":9223372036854775807"))},
    {"gpu 2^32",
     TEXT(WITH_CAPACITY("\"cpu\":1,\"memMb\":1,\"gpu\":4294967296"))},
    {"gpu 2^31",
     TEXT(WITH_CAPACITY("\"cpu\":1,\"memMb\":1,\"gpu\":2147483648"))},
    {"gpu negative", TEXT(WITH_CAPACITY("\"cpu\":1,\"memMb\":1,\"gpu\":-1"))},
    {"gpu a string",
     TEXT(WITH_CAPACITY("\"cpu\":1,\"memMb\":1,\"gpu\":\"1\""))},
    {"no capacity", TEXT("{" BASE "\"address\":\"10.0.0.1:80\"," REST)},
    {"no port", TEXT(WITH_ADDRESS("10.0.0.1:"))},
    {"no colon", TEXT(WITH_ADDRESS("10.0.0.1"))},
    {"no host", TEXT(WITH_ADDRESS(":80"))},
    {"port 0", TEXT(WITH_ADDRESS("10.0.0.1:0"))},
    {"port 65536", TEXT(WITH_ADDRESS("10.0.0.1:65536"))},
    {"port over 2^64", TEXT(WITH_ADDRESS("10.0.0.1:99999999999999999999"))},
    {"port negative", TEXT(WITH_ADDRESS("10.0.0.1:-1"))},
    {"port with sign", TEXT(WITH_ADDRESS("10.0.0.1:+80"))},
    {"port with space", TEXT(WITH_ADDRESS("10.0.0.1: 80"))},
    {"port with path", TEXT(WITH_ADDRESS("10.0.0.1:80/a"))},
    {"address with user", TEXT(WITH_ADDRESS("a@10.0.0.1:80"))},
    {"address with line end", TEXT(WITH_ADDRESS("10.0.0.1\\r\\nX:80"))},
    {"born 2^63 - 1",
     TEXT(WITH_TAIL("\"labels\":[\"a\"],\"born\":9223372036854775807"))},
    {"born negative", TEXT(WITH_TAIL("\"labels\":[\"a\"],\"born\":-1"))},
    {"born fractional", TEXT(WITH_TAIL("\"labels\":[\"a\"],\"born\":1.5"))},
    {"born missing", TEXT(WITH_TAIL("\"labels\":[\"a\"]"))},
    {"remaining 1e300",
     TEXT(WITH_TAIL("\"labels\":[\"a\"],\"born\":1,\"remainingMs\":1e300"))},
    {"remaining negative",
     TEXT(WITH_TAIL("\"labels\":[\"a\"],\"born\":1,\"remainingMs\":-1"))},
    {"labels no array", TEXT(WITH_TAIL("\"labels\":\"a\",\"born\":1"))},
    {"label no string", TEXT(WITH_TAIL("\"labels\":[\"a\",7],\"born\":1"))},
    {"five labels",
     TEXT(WITH_TAIL("\"labels\":[\"a\",\"b\",\"c\",\"d\",\"e\"],\"born\":1"))},
};

/* Returns the value, to be freed, and sets its size. */
static char *
make_value(const odd_value_t *odd, uint32_t *bytes)
{
    if (odd->text) {
        *bytes = odd->bytes;
        return g_memdup2(odd->text, *bytes + 1);
    }
    GString *text = g_string_new(NULL);
    for (int i = 0; i < NESTED_LEVELS; i++) {
        g_string_append(text, odd->opening);
    }
    *bytes = (uint32_t)text->len;
    return g_string_free(text, FALSE);
}

/* Entries that name no worker to use must be refused. */
static void
test_odd_worker_is_used(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(odd_workers); i++) {
        uint32_t bytes;
        char *value = make_value(&odd_workers[i], &bytes);
        nm_sched_worker_t worker;
        g_test_message("%s", odd_workers[i].name);
        const char *fault = NULL;
        if (nm_platform_codec.decode_worker(&worker, "i-1", value, bytes,
                                            &fault) == NM_OK ||
            !fault)
        {
            g_test_message("%s: accepted", odd_workers[i].name);
            g_test_fail();
        }
        g_free(value);
    }
}

/* Ids of workers go into a header of each order and into names of tasks. */
static void
test_odd_worker_id_is_used(void)
{
    char long_id[NM_NAME_MAX + 1];
    memset(long_id, 'i', sizeof(long_id) - 1);
    long_id[sizeof(long_id) - 1] = '\0';
    const struct {
        const char *id;
        int rc;
    } cases[] = {
        {"i-1", NM_OK},
        {"I_1.a:b/c", NM_OK},
        {"", NM_ERR_CORRUPT},
        {long_id, NM_ERR_CORRUPT},
        {"i 1", NM_ERR_CORRUPT},
        {"i\r\nX: 1", NM_ERR_CORRUPT},
        {"i\x7f", NM_ERR_CORRUPT},
        {"i\xc3\xa9", NM_ERR_CORRUPT},
        {"i\xff", NM_ERR_CORRUPT},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        nm_sched_worker_t worker;
        const char *fault = NULL;
        int rc = nm_platform_codec.decode_worker(&worker, cases[i].id, WORKER,
                                                 strlen(WORKER), &fault);
        if (rc != cases[i].rc) {
            g_test_message("case %zu: %d", i, rc);
            g_test_fail();
        }
    }
}

static nm_sched_capacity_t
query_capacity(const host_t *host)
{
    return nm_sched_query_capacity(host->entry->sched, host->clock.manual_ms);
}

/*
 * Another writer leaves an odd entry among those of the workers, then in place
 * of a good one.  The other workers stay in use, and later ones are found.
 */
static void
test_odd_worker_hides_the_others(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(odd_workers); i++) {
        g_test_message("%s", odd_workers[i].name);
        uint32_t bytes;
        char *value = make_value(&odd_workers[i], &bytes);
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "servers/i-1", WORKER);
        fake_kv_put_bytes(kv, "servers/i-2", value, bytes);
        fake_kv_put(kv, "servers/i-3", WORKER);
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 2000);
        g_assert_cmpint(query_capacity(&host).cpu_milli, ==,
                        2 * GOOD_CPU_MILLI);
        fake_kv_put_bytes(kv, "servers/i-3", value, bytes);
        run_host(&host, 1000);
        g_assert_cmpint(query_capacity(&host).cpu_milli, ==, GOOD_CPU_MILLI);
        fake_kv_put(kv, "servers/i-3", WORKER);
        fake_kv_put(kv, "servers/i-4", WORKER);
        run_host(&host, 1000);
        g_assert_cmpint(query_capacity(&host).cpu_milli, ==,
                        3 * GOOD_CPU_MILLI);
        host_finish(&host);
        fake_kv_free(kv);
        g_free(value);
    }
}

/* Steps and schedules whose sums or tables would be too large. */
static const struct {
    const char *name;
    const char *step;     /* members of the step, as submitted */
    const char *schedule; /* members of the submission */
} odd_jobs[] = {
    {"cpu 2^63 - 1", "\"count\":1,\"cpu\":9223372036854775807", ""},
    {"cpu 1e300", "\"count\":1,\"cpu\":1e300", ""},
    {"memory 2^62", "\"count\":2,\"memMb\":4611686018427387904", ""},
    {"gpu 2^32", "\"count\":1,\"gpu\":4294967296", ""},
    {"estimate 2^62", "\"count\":1,\"estimateMs\":4611686018427387904", ""},
    {"target 2^62", "\"count\":1,\"targetMs\":4611686018427387904", ""},
    {"CPU time", "\"count\":20000,\"cpu\":1e9,\"estimateMs\":3e10", ""},
    {"count 2^32 + 1", "\"count\":4294967297", ""},
    {"after 2^32", "\"count\":1,\"after\":[4294967296]", ""},
    {"2^32 - 1 occurrences", "\"count\":1",
     ",\"repeatCount\":4294967295,\"intervalMs\":1"},
    {"1000001 occurrences", "\"count\":1",
     ",\"repeatCount\":1000001,\"intervalMs\":1"},
    {"200 million tasks", "\"count\":20000",
     ",\"repeatCount\":10000,\"intervalMs\":1"},
    {"2^32 + 1 occurrences", "\"count\":1",
     ",\"repeatCount\":4294967297,\"intervalMs\":1"},
    {"negative occurrences", "\"count\":1", ",\"repeatCount\":-1"},
    {"interval 2^63 - 1", "\"count\":1",
     ",\"repeatCount\":3,\"intervalMs\":9223372036854775807"},
    {"start 1e300", "\"count\":1", ",\"startAtMs\":1e300"},
};

/* Such a job would end its owner, and then each later one. */
static void
test_odd_job_is_accepted(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(odd_jobs); i++) {
        char *body = g_strdup_printf("{\"spec\":\"x\",\"steps\":[{%s}]%s}",
                                     odd_jobs[i].step, odd_jobs[i].schedule);
        nm_job_spec_t spec;
        const char *fault = NULL;
        nm_job_spec_init(&spec, JOB, "q", "s");
        if (nm_platform_codec.decode_job(&spec, body, (uint32_t)strlen(body),
                                         &fault) == NM_OK ||
            !fault)
        {
            g_test_message("%s: accepted", odd_jobs[i].name);
            g_test_fail();
        }
        nm_job_spec_finish(&spec);
        g_free(body);
    }
}

/*
 * Bodies of very many short values: they would take up to 100 times their size
 * when decoded.  A job of 64 steps that name all earlier ones is accepted.
 */
static void
test_body_of_many_values(void)
{
    static const struct {
        const char *name;
        const char *begin;
        const char *item; /* repeated */
        uint32_t items;
        const char *end;
        bool accepted;
    } cases[] = {
        {"unknown fields", "{\"steps\":[{\"count\":1,\"x\":[0", ",0", 6000,
         "]}]}", true},
        {"very many numbers", "{\"steps\":[{\"count\":1,\"x\":[0", ",0", 12288,
         "]}]}", false},
        {"very many arrays", "{\"steps\":[{\"count\":1}],\"x\":[[]", ",[]",
         7000, "]}", false},
        {"nested arrays", "{\"steps\":[{\"count\":1}],\"x\":", "[", 12300,
         "]}", false},
        {"commas in a string", "{\"steps\":[{\"count\":1}],\"x\":\"\\\"", ",",
         20000, "\"}", true},
        {"very many steps", "{\"steps\":[{}", ",{}", 87000, "]}", false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        GString *body = g_string_new(cases[i].begin);
        for (uint32_t j = 0; j < cases[i].items; j++) {
            g_string_append(body, cases[i].item);
        }
        g_string_append(body, cases[i].end);
        nm_job_spec_t spec;
        const char *fault = NULL;
        nm_job_spec_init(&spec, JOB, "q", "s");
        int rc = nm_platform_codec.decode_job(&spec, body->str,
                                              (uint32_t)body->len, &fault);
        g_assert_cmpint(rc, ==, cases[i].accepted ? NM_OK : NM_ERR_INVAL);
        g_assert_cmpuint(spec.step_count, ==, cases[i].accepted);
        nm_job_spec_finish(&spec);
        g_string_free(body, TRUE);
    }
}

/* The same in records: a job that cannot be held must end no owner. */
static void
test_odd_job_record_ends_the_owner(void)
{
    static const char *const records[] = {
        "\"steps\":[{\"tasks\":2000,\"cpu_milli\":9223372036854775807,"
        "\"estimate_ms\":9223372036854775807}]",
        "\"steps\":[{\"tasks\":1,\"cpu_milli\":1e300}]",
        "\"steps\":[{\"tasks\":4294967297}]",
        "\"steps\":[{\"tasks\":1},{\"tasks\":1,\"after\":[4294967296]}]",
        "\"steps\":[{\"tasks\":1}],\"interval_ms\":9223372036854775807,"
        "\"occurrences\":3",
        "\"steps\":[{\"tasks\":1}],\"interval_ms\":1,"
        "\"occurrences\":4294967295",
        "\"steps\":[{\"tasks\":20000}],\"interval_ms\":1,"
        "\"occurrences\":10000",
    };
    for (size_t i = 0; i < NM_COUNT_OF(records); i++) {
        g_test_message("%s", records[i]);
        char *record =
            g_strdup_printf("{\"version\":1,\"queue\":\"q\","
                            "\"service\":\"s\",\"payload\":\"\",%s}",
                            records[i]);
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "servers/i-1", WORKER);
        fake_kv_put(kv, "nutmegdeck/jobs/0123456789abcdef", record);
        fake_kv_put(kv, JOB_KEY, RECORD);
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 2000);
        g_assert_cmpint(host.entry->role, ==, NM_ROLE_OWNER);
        g_assert_cmpint(nm_sched_query_info(host.entry->sched).jobs_active, ==,
                        1);
        g_assert_cmpuint(host.orders.starts, ==, 2);
        host_finish(&host);
        fake_kv_free(kv);
        g_free(record);
    }
}

/* Ids that no worker can have, beside a good one. */
static void
test_odd_roster_ends_the_owner(void)
{
    char long_id[NM_NAME_MAX + 1];
    memset(long_id, 'i', sizeof(long_id) - 1);
    long_id[sizeof(long_id) - 1] = '\0';
    char *rosters[] = {
        g_strdup_printf("[\"%s\",\"i-1\",\"%s\",\"%s2\"]", long_id, long_id,
                        long_id),
        g_strdup("[\"\",\"i-1\",7,null,[[]],\"i 1\"]"),
    };
    for (size_t i = 0; i < NM_COUNT_OF(rosters); i++) {
        g_test_message("%s", rosters[i]);
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, EPOCH_KEY, "3");
        fake_kv_put(kv, ROSTER_KEY, rosters[i]);
        fake_kv_put(kv, "servers/i-1", WORKER);
        fake_kv_put(kv, JOB_KEY, RECORD);
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 2000);
        g_assert_cmpint(host.entry->role, ==, NM_ROLE_OWNER);
        /* The worker, and one that stands for all unreadable ids. */
        g_assert_cmpuint(host.entry->sched->node_list->len, ==, 2);
        g_assert_cmpuint(host.orders.starts, ==, 0);
        run_host(&host, 20000);
        g_assert_cmpuint(host.orders.starts, >=, 2);
        g_assert_cmpuint(host.entry->sched->node_list->len, ==, 1);
        host_finish(&host);
        fake_kv_free(kv);
        g_free(rosters[i]);
    }
}

/* Unreadable for every kind of record of the system's own. */
static const odd_value_t odd_records[] = {
    {"empty", TEXT("")},
    {"null", TEXT("null")},
    {"no JSON", TEXT("{\"a\"")},
    {"nested arrays", .opening = "["},
    {"nested objects", .opening = "{\"a\":"},
    {"not UTF-8", TEXT("\xff\xfe{}")},
    {"zero byte", TEXT("\0\0")},
    {"number 2^63", TEXT("9223372036854775808")},
    {"number 2^63 - 1", TEXT("9223372036854775807")},
    {"number 1e999", TEXT("1e999")},
    {"number -1", TEXT("-1")},
    {"empty object", TEXT("{}")},
    {"empty array", TEXT("[]")},
    {"odd array", TEXT("[7,null,[],\"\",-1]")},
    {"version only", TEXT("{\"version\":1}")},
    {"version 2^63 - 1", TEXT("{\"version\":9223372036854775807}")},
    {"odd record",
     TEXT("{\"version\":1,\"state\":\"running\",\"done\":[7,[7],[[7]]],"
          "\"failures\":[7,[-1,0,0],[9e9,0,0],[0,0,9223372036854775807]],"
          "\"proved_crashes\":[7,[0,0,0,9223372036854775807,-1]],\"silences\":"
          "[[0]],"
          "\"steps\":[7,null,{}],\"bases\":[[\"\",1e308,-1e308]],"
          "\"effects\":[[\"\",\"\",1e308,-1]],\"address\":\"\",\"zone\":\"\","
          "\"cpu_share\":-1e308}")},
    {"odd host", TEXT("{\"address\":\"tcp://10.0.0.1:99999\",\"zone\":\"z\","
                      "\"cpu_share\":1e308}")},
    {"odd job",
     TEXT("{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"steps\":[{"
          "\"tasks\":2000,\"cpu_milli\":9223372036854775807,"
          "\"memory_mb\":9223372036854775807,\"estimate_ms\":"
          "9223372036854775807"
          "}]}")},
};

/*
 * An odd record under any of the keys that a host follows: before the host
 * starts, and again while it is the owner.  The host must keep following its
 * configuration and the workers, and run new jobs.
 */
static void
test_odd_record_stops_the_host(void)
{
    static const char *const keys[] = {
        "op/other",
        "nutmegdeck/hosts/b",
        "nutmegdeck/hosts/",
        "nutmegdeck/owned/learned",
        "nutmegdeck/owned/commit",
        "nutmegdeck/owned/other",
        "nutmegdeck/jobs/0123456789abcdef",
        "nutmegdeck/jobs/",
        "nutmegdeck/jobs//cancel",
        "nutmegdeck/progress/0123456789abcdef",
        "nutmegdeck/progress/",
        "nutmegdeck/control/other",
        "servers/",
        ROSTER_KEY,
    };
    for (size_t k = 0; k < NM_COUNT_OF(keys); k++) {
        for (size_t i = 0; i < NM_COUNT_OF(odd_records); i++) {
            g_test_message("%s: %s", keys[k], odd_records[i].name);
            uint32_t bytes;
            char *value = make_value(&odd_records[i], &bytes);
            fake_kv_t *kv = configured_store();
            fake_kv_put(kv, "servers/i-1", WORKER);
            /* What an odd progress record would belong to. */
            fake_kv_put(kv, "nutmegdeck/jobs/0123456789abcdef", RECORD);
            fake_kv_put_bytes(kv, keys[k], value, bytes);
            host_t host;
            host_init(&host, "a", kv);
            run_host(&host, 1000);
            fake_kv_put_bytes(kv, keys[k], value, bytes);
            run_host(&host, 1000);
            fake_kv_put(kv, CONFIG_KEY, CONFIG("5", "/c/"));
            fake_kv_put(kv, "servers/i-2", WORKER);
            run_host(&host, 12000);
            g_assert_cmpint(host.entry->role, ==, NM_ROLE_OWNER);
            g_assert_cmpint(host.entry->queue_config->version, ==, 5);
            g_assert_cmpint(query_capacity(&host).cpu_milli, ==,
                            2 * GOOD_CPU_MILLI);
            uint32_t starts_before = host.orders.starts;
            send_request(&host, NM_METHOD_POST, "/c/" JOB, BODY);
            run_host(&host, 2000);
            g_assert_cmpint(last_status(&host), ==, 200);
            g_assert_cmpuint(host.orders.starts, >, starts_before);
            host_finish(&host);
            fake_kv_free(kv);
            g_free(value);
        }
    }
}

/*
 * Another writer puts an odd entry back every 20 ms, deletes it in between,
 * and touches the entry of a good worker that runs tasks as often.  The good
 * worker keeps its tasks, and the log stays within its bound.
 */
static void
test_odd_entry_put_back_floods_the_log(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, "servers/i-1", WORKER);
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 2000);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run_host(&host, 1000);
    g_assert_cmpuint(host.orders.starts, ==, 2);
    uint64_t refused = nm_reason_value(NM_REASON_RECORD_REFUSED);
    for (uint32_t i = 0; i < 500; i++) {
        fake_kv_put(kv, "servers/i-2", i % 2 ? "[" : "{}");
        fake_kv_put(kv, "servers/i-3", i % 2 ? "[" : NULL);
        run_host(&host, 20);
    }
    refused = nm_reason_value(NM_REASON_RECORD_REFUSED) - refused;
    g_assert_cmpuint(refused, >=, 100);
    g_assert_cmpuint(host.entry->refusals.unlogged, >=, refused - 10);
    g_assert_cmpuint(host.orders.starts, ==, 2);
    g_assert_cmpint(query_capacity(&host).reserved_cpu_milli, ==, 1000);
    host_finish(&host);
    fake_kv_free(kv);
}

#define ROUTE                                                                 \
    "{\"name\":\"q\",\"host\":\"h\",\"pathPrefix\":\"/a/"                     \
    "\",\"service\":\"s\"}"
#define ODD_ROUTE(members)                                                    \
    "{\"name\":\"o\",\"host\":\"h\",\"pathPrefix\":\"/o/"                     \
    "\",\"service\":\"s\"," members "}"

/*
 * Odd configurations: the host keeps the one in force, or uses its other
 * queues, and follows the next one.
 */
static void
test_odd_configuration_stops_the_host(void)
{
    static const struct {
        const char *name;
        const char *text;
        int64_t version; /* in force afterwards */
        uint32_t rules;
    } cases[] = {
        {"version 2^63 - 1",
         "{\"version\":9223372036854775807,\"routes\":[" ROUTE "]}", 4, 1},
        {"version 1e300", "{\"version\":1e300,\"routes\":[" ROUTE "]}", 4, 1},
        {"version -1", "{\"version\":-1,\"routes\":[" ROUTE "]}", 4, 1},
        {"version a string", "{\"version\":\"5\",\"routes\":[" ROUTE "]}", 4,
         1},
        {"no routes", "{\"version\":5}", 4, 1},
        {"routes no array", "{\"version\":5,\"routes\":{}}", 4, 1},
        {"no JSON", "{\"version\":5,", 4, 1},
        {"odd rows", "{\"version\":5,\"routes\":[7,null,[]," ROUTE "]}", 5, 1},
        {"priority 2^32",
         "{\"version\":5,\"routes\":[" ODD_ROUTE(
             "\"priority\":4294967296") "," ROUTE "]}",
         5, 1},
        {"priority -1",
         "{\"version\":5,\"routes\":[" ODD_ROUTE("\"priority\":-1") "," ROUTE
                                                                    "]}",
         5, 1},
        {"attempts 1e300",
         "{\"version\":5,\"routes\":[" ODD_ROUTE(
             "\"maxAttempts\":1e300") "," ROUTE "]}",
         5, 1},
        {"objective 2^62",
         "{\"version\":5,\"routes\":[" ODD_ROUTE(
             "\"targetLatencyMs\":4611686018427387904") "," ROUTE "]}",
         5, 1},
        {"slack 1e308",
         "{\"version\":5,\"routes\":[" ODD_ROUTE(
             "\"slackFactor\":1e308") "," ROUTE "]}",
         5, 1},
        {"body limit 2^32",
         "{\"version\":5,\"routes\":[" ROUTE "],"
         "\"limits\":{\"maxBodyBytes\":4294967296}}",
         5, 1},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        fake_kv_t *kv = configured_store();
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 1000);
        fake_kv_put(kv, CONFIG_KEY, cases[i].text);
        run_host(&host, 200);
        const nm_queue_config_t *config = host.entry->queue_config;
        bool as_expected =
            config->version == cases[i].version &&
            config->rule_count == cases[i].rules &&
            config->body_max_bytes == NM_PLATFORM_BODY_MAX_BYTES;
        fake_kv_put(kv, CONFIG_KEY, CONFIG("6", "/c/"));
        run_host(&host, 200);
        if (!as_expected || host.entry->queue_config->version != 6) {
            g_test_message("%s", cases[i].name);
            g_test_fail();
        }
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/*
 * Odd records of entry hosts: none may carry orders, and the good one beside
 * them stays a carrier.
 */
static void
test_odd_host_record_carries_orders(void)
{
    static const char *const records[] = {
        "[",
        "7",
        "{\"address\":\"tcp://10.0.0.1:1\"}",
        "{\"zone\":\"z\"}",
        "{\"address\":\"\",\"zone\":\"z\",\"cpu_share\":1}",
        "{\"address\":\"tcp://10.0.0.1\",\"zone\":\"z\",\"cpu_share\":1}",
        "{\"address\":\"tcp://10.0.0.1:0\",\"zone\":\"z\",\"cpu_share\":1}",
        "{\"address\":\"tcp://"
        "10.0.0.1:65536\",\"zone\":\"z\",\"cpu_share\":1}",
        "{\"address\":\"udp://10.0.0.1:1\",\"zone\":\"z\",\"cpu_share\":1}",
        "{\"address\":\"tcp://10.0.0.1:1\",\"zone\":\"\",\"cpu_share\":1}",
        "{\"address\":\"tcp://"
        "10.0.0.1:1\",\"zone\":\"z\",\"cpu_share\":1e308}",
        "{\"address\":\"tcp://10.0.0.1:1\",\"zone\":\"z\",\"cpu_share\":-1}",
    };
    for (size_t i = 0; i < NM_COUNT_OF(records); i++) {
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "nutmegdeck/hosts/good",
                    "{\"address\":\"tcp://127.0.0.1:1\",\"zone\":\"z\","
                    "\"cpu_share\":0.5}");
        fake_kv_put(kv, "nutmegdeck/hosts/odd", records[i]);
        host_t host;
        host_init(&host, "a", kv);
        run_host(&host, 1000);
        GHashTable *hosts = host.entry->relay.hosts;
        if (g_hash_table_contains(hosts, "odd") ||
            !g_hash_table_contains(hosts, "good"))
        {
            g_test_message("%s", records[i]);
            g_test_fail();
        }
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/* Rows that name no task must not count as failures or crashes of one. */
static void
test_odd_progress_row_fails_a_task(void)
{
    static const char *const rows[] = {
        "7",
        "[]",
        "[0,0]",
        "[0,0,0]",
        "{}",
        "[9e9,0,0,1,1]",
        "[0,1e300,0,1,1]",
        "[-1,0,0,1,1]",
        "[0,4294967296,0,1,1]",
        "[\"\",\"\",\"\",1,1]",
        "[0,0,0,-1,-1]",
        "[0,0,0,\"a\",\"a\"]",
        "[0,0,0,9223372036854775807,9223372036854775807]",
    };
    for (size_t i = 0; i < NM_COUNT_OF(rows); i++) {
        char *record = g_strdup_printf(
            "{\"version\":1,\"state\":\"running\",\"failures\":[%s],"
            "\"proved_crashes\":[%s],\"silences\":[%s]}",
            rows[i], rows[i], rows[i]);
        nm_sched_t *sched = nm_sched_new(&(nm_sched_desc_t){.epoch = 2}, 0);
        nm_job_spec_t spec;
        nm_job_spec_init(&spec, JOB, "q", "s");
        nm_job_spec_add_step(&spec)->task_count = 1;
        nm_sched_add_job(sched, &spec, true, 0);
        g_assert_cmpint(
            nm_sched_restore(sched, JOB, record, (uint32_t)strlen(record)), ==,
            NM_OK);
        const nm_sched_job_t *job = g_hash_table_lookup(sched->jobs, JOB);
        const nm_task_t *task = &nm_occurrences_find(job, 0)->tasks[0][0];
        if (task->failures + task->crashes + task->silence_count != 0) {
            g_test_message("%s: %u failures, %u crashes, %u silences", rows[i],
                           task->failures, task->crashes, task->silence_count);
            g_test_fail();
        }
        nm_job_spec_finish(&spec);
        nm_sched_free(sched);
        g_free(record);
    }
}

/*
 * An odd entry takes the place of a worker that runs tasks: it gets no new
 * tasks, keeps its lease and those it runs, and a good entry takes it back.
 */
static void
test_odd_entry_loses_running_tasks(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, "servers/i-1", WORKER);
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 2000);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
    run_host(&host, 1000);
    g_assert_cmpuint(host.orders.starts, ==, 2);
    fake_kv_put(kv, "servers/i-1", "[");
    run_host(&host, 30000);
    const nm_sched_node_t *node =
        g_hash_table_lookup(host.entry->sched->nodes, "i-1");
    g_assert_nonnull(node);
    g_assert_cmpuint(node->tasks->len, ==, 2);
    g_assert_cmpint(node->lease_lapse_ms, >, host.clock.manual_ms);
    g_assert_cmpuint(query_capacity(&host).workers, ==, 0);
    send_request(&host, NM_METHOD_POST, "/a/0123456789abcdef", BODY);
    run_host(&host, 2000);
    g_assert_cmpuint(host.orders.starts, ==, 2);
    fake_kv_put(kv, "servers/i-1", WORKER);
    run_host(&host, 2000);
    g_assert_cmpuint(host.orders.starts, ==, 4);
    g_assert_cmpint(query_capacity(&host).reserved_cpu_milli, ==, 2000);
    host_finish(&host);
    fake_kv_free(kv);
}

/* Lines of refusals: one for each decision, and a bounded number. */
static void
test_refusals_flood_the_log(void)
{
    nm_refusals_t refusals = {0};
    uint32_t lines = 0;
    for (nm_ms_t now_ms = 1000; now_ms < 31000; now_ms++) {
        lines += nm_refusals_log(&refusals, NM_LOG_ITEM_WORKER_REFUSED,
                                 "worker", "i-1", "odd", now_ms);
    }
    g_assert_cmpuint(lines, ==, 1);
    g_assert_true(nm_refusals_log(&refusals, NM_LOG_ITEM_WORKER_REFUSED,
                                  "worker", "i-1", "other", 40000));
    g_assert_true(nm_refusals_log(&refusals, NM_LOG_ITEM_WORKER_REFUSED,
                                  "worker", "i-1", "odd", 62000));
    lines = 0;
    for (uint32_t i = 0; i < 30000; i++) {
        char id[32];
        g_snprintf(id, sizeof(id), "i-%u", i);
        lines += nm_refusals_log(&refusals, NM_LOG_ITEM_WORKER_REFUSED,
                                 "worker", id, "odd", 70000 + i / 10);
    }
    g_assert_cmpuint(lines, <=, 3 * NM_REFUSAL_LINES_PER_S);
    g_assert_cmpuint(lines, >=, 2 * NM_REFUSAL_LINES_PER_S);
    g_assert_cmpuint(refusals.unlogged, <=, 30000 - lines);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd/worker-is-used", test_odd_worker_is_used);
    g_test_add_func("/odd/worker-id-is-used", test_odd_worker_id_is_used);
    g_test_add_func("/odd/worker-hides-the-others",
                    test_odd_worker_hides_the_others);
    g_test_add_func("/odd/job-is-accepted", test_odd_job_is_accepted);
    g_test_add_func("/odd/body-of-many-values", test_body_of_many_values);
    g_test_add_func("/odd/job-record-ends-the-owner",
                    test_odd_job_record_ends_the_owner);
    g_test_add_func("/odd/roster-ends-the-owner",
                    test_odd_roster_ends_the_owner);
    g_test_add_func("/odd/record-stops-the-host",
                    test_odd_record_stops_the_host);
    g_test_add_func("/odd/entry-put-back-floods-the-log",
                    test_odd_entry_put_back_floods_the_log);
    g_test_add_func("/odd/configuration-stops-the-host",
                    test_odd_configuration_stops_the_host);
    g_test_add_func("/odd/host-record-carries-orders",
                    test_odd_host_record_carries_orders);
    g_test_add_func("/odd/entry-loses-running-tasks",
                    test_odd_entry_loses_running_tasks);
    g_test_add_func("/odd/progress-row-fails-a-task",
                    test_odd_progress_row_fails_a_task);
    g_test_add_func("/odd/refusals-flood-the-log",
                    test_refusals_flood_the_log);
    return g_test_run();
}
