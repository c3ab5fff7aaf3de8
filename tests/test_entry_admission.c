/*
 * Tests of refusals for load at an entry host: a job that is or may be stored
 * is never refused, nor one by a table that is over or of a former owner.
 */
#include <string.h>
#include <unistd.h>

#include "lib_entry_host.h"

#define VALID_MS 2000
#define OTHER_JOB "00000000000000aa"
/* 10,000 core seconds, of which 16 cores do half in 312 s; the limit is 62 s.
 */
#define LARGE_BODY                                                            \
    "{\"spec\":\"x\",\"steps\":[{\"count\":1000,\"cpu\":1000,"                \
    "\"estimateMs\":10000}]}"
#define LONG_RUNNING_BODY                                                     \
    "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500,\"longRunning\":"    \
    "true}]}"

static const struct {
    const char *name;
    int64_t epoch;       /* of a table that refuses the job */
    int64_t later_epoch; /* of an empty table that comes after it; 0: none */
    nm_ms_t wait_ms;
    const char *queue;
    bool stored; /* by an attempt at another host */
    bool long_running;
    fake_kv_mode_t mode;
    nm_ms_t mode_ms; /* the store is available after it */
    int status;
    bool overload;
} cases[] = {
    {"refused", 2, 0, 0, "q", false, false, FAKE_KV_AVAILABLE, 0, 503, true},
    {"repeated-in-time", 2, 0, 1500, "q", false, false, FAKE_KV_AVAILABLE, 0,
     503, true},
    {"expired", 2, 0, 2100, "q", false, false, FAKE_KV_AVAILABLE, 0, 200,
     false},
    {"other-queue", 2, 0, 0, "p", false, false, FAKE_KV_AVAILABLE, 0, 200,
     false},
    {"stored", 2, 0, 0, "q", true, false, FAKE_KV_AVAILABLE, 0, 200, false},
    {"long-running", 2, 0, 0, "q", false, true, FAKE_KV_AVAILABLE, 0, 200,
     false},
    {"revoked", 2, 2, 0, "q", false, false, FAKE_KV_AVAILABLE, 0, 200, false},
    {"former-owner", 2, 1, 0, "q", false, false, FAKE_KV_AVAILABLE, 0, 503,
     true},
    {"store-silent", 2, 0, 0, "q", false, false, FAKE_KV_UNRESPONSIVE, 4000,
     503, false},
    {"store-slow", 2, 0, 0, "q", false, false, FAKE_KV_UNRESPONSIVE, 600, 200,
     false},
    {"store-fails-once", 2, 0, 0, "q", false, false, FAKE_KV_REJECTS_CALLS, 50,
     200, false},
};

static void
tell(nm_entry_t *entry, int64_t epoch, const char *queue)
{
    NmPb__AdmissionRow row = NM_PB__ADMISSION_ROW__INIT;
    row.queue = (char *)queue;
    row.work_ms = 100000;
    NmPb__AdmissionRow *rows[] = {&row};
    NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
    request.type = NM_PB__ENTRY_ASK__TYPE__ADMISSION;
    request.epoch = epoch;
    request.admission = rows;
    request.n_admission = queue ? 1 : 0;
    request.admission_valid_ms = VALID_MS;
    g_assert_true(nm_notice_handle(entry, &request));
}

static void
test_cases(void)
{
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].name);
        fake_kv_t *kv = configured_store();
        host_t owner;
        host_t host;
        host_init(&owner, "a", kv);
        run_host(&owner, 1000);
        host_init(&host, "b", kv);
        run_host(&host, 100);
        g_assert_cmpint(host.entry->role, ==, NM_ROLE_FOLLOWER);
        tell(host.entry, cases[i].epoch, cases[i].queue);
        if (cases[i].later_epoch > 0) {
            tell(host.entry, cases[i].later_epoch, NULL);
        }
        if (cases[i].stored) {
            fake_kv_put(kv, JOB_KEY, RECORD);
        }
        run_host(&host, cases[i].wait_ms);
        fake_kv_set_mode(kv, cases[i].mode);
        send_request(&host, NM_METHOD_POST, "/a/" JOB,
                     cases[i].long_running ? LONG_RUNNING_BODY : BODY);
        run_host(&host, cases[i].mode_ms);
        fake_kv_set_mode(kv, FAKE_KV_AVAILABLE);
        run_host(&host,
                 1500); /* it may ask the owner first, which is silent */
        g_assert_cmpint(last_status(&host), ==, cases[i].status);
        g_assert_true((strstr(last_response(&host), "load") != NULL) ==
                      cases[i].overload);
        host_finish(&host);
        host_finish(&owner);
        fake_kv_free(kv);
    }
}

/* The owner's table has to reach a host that is not the owner. */
static void
test_owner_tells_other_host(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, "servers/w1", WORKER);
    host_t owner;
    host_t host;
    host_init(&owner, "a", kv);
    run_host(&owner, 1000);
    nm_relay_host_t relay_host = {.name = "b", .zone = "z"};
    g_snprintf(relay_host.address, sizeof(relay_host.address),
               "ipc:///tmp/nutmeg-admission-%d", (int)getpid());
    host_init_at(&host, "b", relay_host.address, kv);
    run_host(&host, 100);
    /* a registered address is of TCP */
    nm_order_relay_set_host(&owner.entry->relay, &relay_host);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, LARGE_BODY);
    run_host(&host, 100);
    g_assert_cmpint(last_status(&host), ==, 200);
    for (int i = 0; i < 500 && host.entry->admission.table.row_count == 0; i++)
    {
        run_host(&owner, 10);
        run_host(&host, 10);
        g_usleep(1000); /* messages go through threads */
    }
    g_assert_cmpuint(owner.entry->admission.table.row_count, ==, 1);
    g_assert_cmpuint(host.entry->admission.table.row_count, ==, 1);
    send_request(&host, NM_METHOD_POST, "/a/" OTHER_JOB, LARGE_BODY);
    run_host(&host, 100);
    g_assert_cmpint(last_status(&host), ==, 503);
    /* the same job at the owner, and the first one again */
    send_request(&owner, NM_METHOD_POST, "/a/" OTHER_JOB, LARGE_BODY);
    run_host(&owner, 100);
    g_assert_cmpint(last_status(&owner), ==, 503);
    send_request(&host, NM_METHOD_POST, "/a/" JOB, LARGE_BODY);
    run_host(&host, 100);
    g_assert_cmpint(last_status(&host), ==, 200);
    host_finish(&host);
    host_finish(&owner);
    fake_kv_free(kv);
    unlink(relay_host.address + strlen("ipc://"));
}

#define SMALL_MEMORY_MB 12 /* 2 MB for jobs */
#define JOBS_THAT_FIT 5    /* of 1,000 tasks, 400 bytes each */
#define THOUSAND_TASKS "{\"spec\":\"x\",\"steps\":[{\"count\":1000}]%s}"

/* Sends jobs of 1,000 tasks until one is refused; returns the accepted. */
static uint32_t
fill(host_t *host, uint32_t first, const char *schedule)
{
    enum { JOBS_MAX = 40 };
    uint32_t number = first;
    for (; number < first + JOBS_MAX; number++) {
        char *path = g_strdup_printf("/a/%016x", number);
        char *body = g_strdup_printf(THOUSAND_TASKS, schedule);
        send_request(host, NM_METHOD_POST, path, body);
        run_host(host, 50);
        g_free(body);
        g_free(path);
        if (last_status(host) != 200) {
            break;
        }
    }
    return number - first;
}

/*
 * Guards against owners that end by the memory of the jobs that were accepted:
 * at one host or at several, due at once, later, or many times.
 */
static void
test_memory_for_jobs(void)
{
    static const char *const schedules[] = {
        "",
        ",\"startAtMs\":4000000000000,\"repeatCount\":1",
        ",\"startAtMs\":4000000000000,\"repeatCount\":10080,"
        "\"intervalMs\":60000",
        ",\"startAtMs\":1000,\"repeatCount\":10080,\"intervalMs\":1",
    };
    for (size_t i = 0; i < G_N_ELEMENTS(schedules); i++) {
        g_test_message("%s", schedules[i]);
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "servers/w1", WORKER);
        host_t owner;
        host_t host;
        host_init(&owner, "a", kv);
        owner.entry->desc.memory_mb = SMALL_MEMORY_MB;
        run_host(&owner, 1000);
        host_init(&host, "b", kv);
        run_host(&host, 100);
        uint32_t accepted = 0;
        /* what was accepted in the last half second counts twice */
        for (int n = 0; n < 3; n++) {
            accepted += fill(&owner, 0x10 + accepted, schedules[i]);
            run_host(&owner, 1000);
        }
        /* occurrences that are all due take some of it */
        g_assert_cmpuint(accepted, >=, JOBS_THAT_FIT - 1);
        g_assert_cmpuint(accepted, <=, JOBS_THAT_FIT);
        g_assert_cmpint(last_status(&owner), ==, 503);
        g_assert_nonnull(strstr(last_response(&owner), "of 2097152 are left"));
        /* what is accepted is kept, and counts under a next owner, too */
        host_t next;
        host_finish(&owner);
        fake_kv_put(kv, NM_KEY_OWNER, NULL);
        host_init(&next, "c", kv);
        next.entry->desc.memory_mb = SMALL_MEMORY_MB;
        run_host(&next, 4000);
        g_assert_cmpint(next.entry->role, ==, NM_ROLE_OWNER);
        g_assert_cmpuint(nm_sched_query_info(next.entry->sched).jobs_active,
                         ==, accepted);
        uint32_t total = accepted + fill(&next, 0x100, schedules[i]);
        g_assert_cmpuint(total, <=, JOBS_THAT_FIT);
        g_assert_cmpint(last_status(&next), ==, 503);
        /* another host is told, and may not have heard of its own limit */
        NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
        request.type = NM_PB__ENTRY_ASK__TYPE__ADMISSION;
        request.epoch = next.entry->owned_epoch;
        request.admission_valid_ms = VALID_MS;
        request.job_bytes_max = next.entry->admission.job_bytes_max;
        request.job_bytes_left = next.entry->admission.job_bytes_left;
        g_assert_true(nm_notice_handle(host.entry, &request));
        total += fill(&host, 0x200, schedules[i]);
        g_assert_cmpuint(total, <=, JOBS_THAT_FIT);
        g_assert_cmpint(last_status(&host), ==, 503);
        /* jobs that are stored are not refused */
        fill(&next, 0x10, schedules[i]);
        send_request(&next, NM_METHOD_POST, "/a/0000000000000010", BODY);
        run_host(&next, 50);
        g_assert_cmpint(last_status(&next), ==, 200);
        for (uint32_t j = 0; j < accepted; j++) {
            char *path = g_strdup_printf("/a/%016x", 0x10 + j);
            send_request(&next, NM_METHOD_DELETE, path, "");
            run_host(&next, 300);
            g_free(path);
        }
        g_assert_cmpuint(fill(&next, 0x300, schedules[i]), >=, 2);
        host_finish(&next);
        host_finish(&host);
        fake_kv_free(kv);
    }
}

/* A job that can never fit is refused at once, with what it needs. */
static void
test_job_too_large_for_memory(void)
{
    fake_kv_t *kv = configured_store();
    host_t host;
    host_init(&host, "a", kv);
    host.entry->desc.memory_mb = SMALL_MEMORY_MB;
    run_host(&host, 1000);
    send_request(&host, NM_METHOD_POST, "/a/" JOB,
                 "{\"spec\":\"x\",\"steps\":[{\"count\":19000}]}");
    run_host(&host, 100);
    g_assert_cmpint(last_status(&host), ==, 400);
    g_assert_nonnull(strstr(last_response(&host), "of 2097152 are left"));
    host_finish(&host);
    fake_kv_free(kv);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/entry/admission/cases", test_cases);
    g_test_add_func("/entry/admission/owner-tells-other-host",
                    test_owner_tells_other_host);
    g_test_add_func("/entry/admission/memory-for-jobs", test_memory_for_jobs);
    g_test_add_func("/entry/admission/job-too-large-for-memory",
                    test_job_too_large_for_memory);
    return g_test_run();
}
