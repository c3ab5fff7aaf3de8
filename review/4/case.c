/*
 * A queue is removed from the manifest while a submission of it is at work,
 * whose only task always fails.  Then the entry host that gives the orders is
 * killed and started again.  Checks BUDGET: a start after maxAttempts runs of
 * the task have ended `failed`, if these ends are taken note of.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../rig/rig.h"

#define HOSTS 3
#define EXECUTORS 6
#define MAX_ATTEMPTS 2
#define RUN_MS 3000
#define JOB "36f85c0e7a21d94b"
#define ROUTE_KEPT                                                            \
    "{\"name\":\"r-check\",\"host\":\"ficu95.example\",\"pathPrefix\":"       \
    "\"/fault-check/\",\"type\":\"non_idempotent\",\"timeoutMs\":3000,"       \
    "\"targetLatencyMs\":600,\"priority\":0,\"service\":\"verkstad\","        \
    "\"maxAttempts\":4,\"slackFactor\":1.5}"
#define ROUTE_REMOVED                                                         \
    "{\"name\":\"r-plan\",\"host\":\"nony24.example\",\"pathPrefix\":"        \
    "\"/bend-plan/\",\"type\":\"non_idempotent\",\"timeoutMs\":3000,"         \
    "\"targetLatencyMs\":1000,\"priority\":2,\"service\":\"verkstad\","       \
    "\"maxAttempts\":2,\"slackFactor\":2.0}"
#define REST                                                                  \
    "],\"services\":[{\"name\":\"verkstad\",\"enforcesCapacity\":false}],"    \
    "\"limits\":{\"maxBodyBytes\":262144}}"
#define BODY                                                                  \
    "{\"spec\":\"bend plan 12\",\"steps\":[{\"count\":1,\"cpu\":1800,"        \
    "\"memMb\":3200,\"estimateMs\":2700}]}"

/* Starts after MAX_ATTEMPTS runs had ended `failed`, all of them noted. */
static guint
starts_beyond_budget(void)
{
    GArray *runs = rig_runs();
    guint beyond = 0;
    for (guint i = 0; i < runs->len; i++) {
        const rig_run_t *run = &g_array_index(runs, rig_run_t, i);
        guint failed = 0;
        for (guint j = 0; j < runs->len; j++) {
            const rig_run_t *other = &g_array_index(runs, rig_run_t, j);
            failed += strcmp(other->end, "failed") == 0 && other->noted &&
                      other->ended_ms > 0 && other->ended_ms <= run->begun_ms;
        }
        if (failed >= MAX_ATTEMPTS) {
            beyond++;
            rig_note("BUDGET: run %lld of %s begins at %.3f s, after %u runs "
                     "ended failed; maxAttempts is %d",
                     (long long)run->run, run->task,
                     (double)run->begun_ms / 1000, failed, MAX_ATTEMPTS);
        }
    }
    g_array_free(runs, TRUE);
    return beyond;
}

int
main(int argc, char **argv)
{
    char answer[256];
    rig_begin(&(rig_desc_t){.hosts = HOSTS,
                            .executors = EXECUTORS,
                            .cpu_milli = 16000,
                            .config = "{\"version\":7,\"routes\":[" ROUTE_KEPT
                                      "," ROUTE_REMOVED REST},
              argc > 1 ? argv[1] : ".");
    rig_set_work(JOB, (rig_work_t){RUN_MS, "failed"});
    for (int host = 0; host < HOSTS; host++) {
        rig_start_host(host);
    }
    for (int host = 0; host < HOSTS; host++) {
        rig_wait_ready(host);
    }
    rig_sleep(4000);
    if (rig_call(1, "POST", "/bend-plan/" JOB, "nony24.example", BODY, answer,
                 sizeof(answer)) != 200)
    {
        rig_fail("the submission is not accepted");
    }
    rig_wait_runs(JOB, 1, 8000);
    rig_put_config("{\"version\":9,\"routes\":[" ROUTE_KEPT REST);
    rig_sleep(1000);
    GArray *runs = rig_runs();
    int owner = g_array_index(runs, rig_run_t, 0).host;
    g_array_free(runs, TRUE);
    rig_note("h%d gives the orders", owner);
    if (rig_trouble()) {
        rig_kill_host(owner, SIGKILL);
        rig_sleep(500);
        rig_start_host(owner);
    }
    rig_sleep(40000);
    rig_end(starts_beyond_budget() > 0);
}
