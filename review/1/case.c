/*
 * Three submissions of 220 small tasks each run on one executor.  Shortly
 * before they end, the entry host that gives the orders is killed and stays
 * down for 3 s; the next one finds more ends than an executor lists at a time.
 * Checks
 * TWICE: a start after a run has ended `done`, if that end is taken note of
 * then or later.
 */
#include <signal.h>
#include <stdio.h>
#include <string.h>

#include "../rig/rig.h"

#define HOSTS 3
#define EXECUTORS 6
#define JOBS 3
#define TASKS 220 /* of each submission; also in BODY */
#define GAP_MS 2000
#define RUN_MS 10000 /* of the first submission's tasks */
#define KILL_BEFORE_MS 400
#define DOWN_MS 3000
#define CONFIG                                                                \
    "{\"version\":7,\"routes\":[{\"name\":\"r-plan\",\"host\":"               \
    "\"nony24.example\",\"pathPrefix\":\"/bend-plan/\",\"type\":"             \
    "\"non_idempotent\",\"timeoutMs\":3000,\"targetLatencyMs\":1000,"         \
    "\"priority\":2,\"service\":\"verkstad\",\"maxAttempts\":2,"              \
    "\"slackFactor\":2.0}],\"services\":[{\"name\":\"verkstad\","             \
    "\"enforcesCapacity\":false}],\"limits\":{\"maxBodyBytes\":262144}}"
#define BODY                                                                  \
    "{\"spec\":\"bend plan 12\",\"steps\":[{\"count\":220,\"cpu\":20,"        \
    "\"memMb\":80,\"estimateMs\":8000}]}"

/* Starts of a task after an earlier run of it had ended, acknowledged. */
static guint
starts_after_done(void)
{
    GArray *runs = rig_runs();
    guint again = 0;
    for (guint i = 0; i < runs->len; i++) {
        const rig_run_t *run = &g_array_index(runs, rig_run_t, i);
        for (guint j = 0; j < i; j++) {
            const rig_run_t *done = &g_array_index(runs, rig_run_t, j);
            if (strcmp(done->task, run->task) == 0 && done->noted &&
                strcmp(done->end, "done") == 0 &&
                done->ended_ms < run->begun_ms)
            {
                again++;
                rig_note("TWICE: run %lld of %s begins at %.3f s, after run "
                         "%lld ended done at %.3f s, which was acknowledged",
                         (long long)run->run, run->task,
                         (double)run->begun_ms / 1000, (long long)done->run,
                         (double)done->ended_ms / 1000);
            }
        }
    }
    g_array_free(runs, TRUE);
    return again;
}

int
main(int argc, char **argv)
{
    char answer[256];
    char jobs[JOBS][20];
    char path[80];
    rig_begin(&(rig_desc_t){.hosts = HOSTS,
                            .executors = EXECUTORS,
                            .cpu_milli = 16000,
                            .config = CONFIG},
              argc > 1 ? argv[1] : ".");
    for (int i = 0; i < JOBS; i++) {
        snprintf(jobs[i], sizeof(jobs[i]), "c0e7a21d94b36f8%d", i);
        rig_set_work(jobs[i], (rig_work_t){RUN_MS - i * GAP_MS, "done"});
    }
    for (int host = 0; host < HOSTS; host++) {
        rig_start_host(host);
    }
    for (int host = 0; host < HOSTS; host++) {
        rig_wait_ready(host);
    }
    rig_sleep(4000);
    int64_t begun_ms = 0;
    for (int i = 0; i < JOBS; i++) {
        snprintf(path, sizeof(path), "/bend-plan/%s", jobs[i]);
        if (rig_call(1, "POST", path, "nony24.example", BODY, answer,
                     sizeof(answer)) != 200)
        {
            rig_fail("the submission is not accepted");
        }
        rig_wait_runs(jobs[i], 1, 8000);
        begun_ms = i == 0 ? rig_now() : begun_ms;
        rig_wait_runs(jobs[i], TASKS, GAP_MS - 100);
        rig_sleep(MAX(begun_ms + (i + 1) * GAP_MS - rig_now(), 0));
    }
    GArray *runs = rig_runs();
    int owner = g_array_index(runs, rig_run_t, 0).host;
    g_array_free(runs, TRUE);
    rig_note("h%d gives the orders", owner);
    rig_sleep(begun_ms + RUN_MS - KILL_BEFORE_MS - rig_now());
    if (rig_trouble()) {
        rig_kill_host(owner, SIGKILL);
        rig_sleep(DOWN_MS);
        rig_start_host(owner);
    }
    rig_sleep(15000);
    for (int i = 0; i < JOBS; i++) {
        snprintf(path, sizeof(path), "/bend-plan/%s", jobs[i]);
        rig_call((owner + 1) % HOSTS, "GET", path, "nony24.example", "",
                 answer, sizeof(answer));
    }
    guint again = starts_after_done();
    rig_note("%u starts after an acknowledged end", again);
    rig_end(again > 0);
}
