/*
 * Stand-in for the platform's workers and host list of one data centre.
 *
 *     standin_platform PORT DATACENTRE WORKERS EXECUTOR_PORT EXECUTORS
 *                      SERVICE LOG [MS_PER_S]
 *
 * Serves worker N at /w/N/v1/sync and the host list at /hosts.  The executors
 * at EXECUTOR_PORT and the following ports are assigned to the workers in
 * turn, from the first one.  MS_PER_S is the run time of a declared second of
 * a task (default 1000).  LOG receives one JSON line for each task event.
 *
 * POST /admin?worker=N&mode=ok|dead|fails|leaving sets the state of a worker:
 * a dead one does not respond, on a failing one every task fails.  POST
 * /admin?executor=N&mode=live|leaving|gone sets the state of an executor in
 * the host list.  LOG receives a line whenever the state of a worker is set or
 * an executor begins to leave.
 */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>

#include "../../src/worker_json.h"
#include "lib_http.h"
#include "lib_worker.h"

#define WORKERS_MAX 512 /* also of executors */
#define RACK_SIZE 8
#define TICK_US 20000

enum {
    EXECUTOR_LIVE,
    EXECUTOR_LEAVING,
    EXECUTOR_GONE,
};

static struct {
    fake_worker_t workers[WORKERS_MAX];
    bool dead[WORKERS_MAX];
    bool leaving[WORKERS_MAX];
    int executor_states[WORKERS_MAX];
    uint32_t worker_count;
    uint32_t executor_count;
    uint16_t port;
    uint16_t executor_port;
    const char *datacentre;
    const char *service;
    pthread_mutex_t mutex;
    FILE *log;
} self;

static void
log_event(void *user, const fake_worker_t *worker, fake_event_t event,
          const nm_attempt_id_t *id, uint64_t checkpoint, nm_ms_t now_ms)
{
    (void)user;
    fake_log_line(self.log,
                  "{\"kind\":\"task\",\"t\":%lld,\"worker\":\"%s-%llu\","
                  "\"task\":\"%llx:%u\",\"attempt\":%lld,\"event\":\"%s\","
                  "\"checkpoint\":\"%llx\"}",
                  (long long)now_ms, self.datacentre,
                  (unsigned long long)worker->id, (unsigned long long)id->job,
                  id->index, (long long)id->attempt, fake_event_name(event),
                  (unsigned long long)checkpoint);
}

static char *
hosts_text(void)
{
    json_t *workers = json_array();
    for (uint32_t i = 0; i < self.worker_count; i++) {
        char name[64];
        char address[96];
        snprintf(name, sizeof(name), "%s-w%u", self.datacentre, i);
        snprintf(address, sizeof(address), "http://127.0.0.1:%u/w/%u",
                 self.port, i);
        json_array_append_new(
            workers,
            json_pack("{s:s,s:s,s:s,s:i,s:i,s:i,s:i,s:s}", "name", name,
                      "address", address, "datacentre", self.datacentre,
                      "rack", (int)(i / RACK_SIZE), "cpu_milli", 64000,
                      "memory_mb", 250000, "accelerators", i % 4 == 0 ? 4 : 0,
                      "state", self.leaving[i] ? "leaving" : "live"));
    }
    json_t *executors = json_array();
    for (uint32_t i = 0; i < self.executor_count; i++) {
        if (self.executor_states[i] == EXECUTOR_GONE) {
            continue;
        }
        char worker[64];
        char address[64];
        snprintf(worker, sizeof(worker), "%s-w%u", self.datacentre,
                 i % self.worker_count);
        snprintf(address, sizeof(address), "http://127.0.0.1:%u",
                 self.executor_port + i);
        json_array_append_new(
            executors,
            json_pack("{s:s,s:s,s:s,s:s,s:s}", "address", address,
                      "datacentre", self.datacentre, "service", self.service,
                      "worker", worker, "state",
                      self.executor_states[i] == EXECUTOR_LEAVING ? "leaving"
                                                                  : "live"));
    }
    json_t *hosts =
        json_pack("{s:o,s:o}", "workers", workers, "executors", executors);
    char *text = json_dumps(hosts, JSON_COMPACT);
    json_decref(hosts);
    return text;
}

static enum MHD_Result
handle_sync(struct MHD_Connection *connection, uint32_t index,
            const GString *body)
{
    json_t *json = json_loadb(body->str, body->len, 0, NULL);
    nm_worker_sync_t sync;
    int rc = nm_worker_sync_decode(json, &sync);
    json_decref(json);
    if (rc < 0 || self.dead[index]) {
        nm_worker_sync_finish(&sync);
        return rc < 0 ? fake_respond(connection, 400, "text/plain", "bad\n")
                      : MHD_NO;
    }
    nm_sync_reply_t reply;
    pthread_mutex_lock(&self.mutex);
    fake_worker_t *worker = &self.workers[index];
    /* A worker with an executor reports 0.5 % slowdown per running task. */
    if (index < self.executor_count) {
        uint32_t running = fake_worker_running(worker);
        worker->service = (nm_service_report_t){
            .age_ms = 500,
            .load = 0.4f,
            .slowdown = 1.0f + 0.005f * (float)running,
        };
        worker->has_service = true;
    }
    fake_worker_sync(worker, &sync.sync, fake_now_ms(), &reply);
    json_t *encoded = nm_worker_reply_encode(&reply);
    pthread_mutex_unlock(&self.mutex);
    nm_worker_sync_finish(&sync);
    char *text = json_dumps(encoded, JSON_COMPACT);
    json_decref(encoded);
    enum MHD_Result result =
        fake_respond(connection, 200, "application/json", text);
    free(text);
    return result;
}

static enum MHD_Result
handle_admin(struct MHD_Connection *connection)
{
    const char *mode = fake_query_argument(connection, "mode", "ok");
    int worker = atoi(fake_query_argument(connection, "worker", "-1"));
    int executor = atoi(fake_query_argument(connection, "executor", "-1"));
    pthread_mutex_lock(&self.mutex);
    if (worker >= 0 && (uint32_t)worker < self.worker_count) {
        fake_log_line(self.log,
                      "{\"kind\":\"task\",\"t\":%lld,\"worker\":\"%s-%d\","
                      "\"task\":\"\",\"event\":\"%s\"}",
                      (long long)fake_now_ms(), self.datacentre, worker,
                      strcmp(mode, "dead") == 0 ? "cut-off" : "in-reach");
        self.dead[worker] = strcmp(mode, "dead") == 0;
        self.leaving[worker] = strcmp(mode, "leaving") == 0;
        self.workers[worker].fails_all_tasks = strcmp(mode, "fails") == 0;
    }
    if (executor >= 0 && (uint32_t)executor < self.executor_count) {
        if (strcmp(mode, "leaving") == 0) {
            fake_log_line(self.log,
                          "{\"kind\":\"mark\",\"event\":\"leaving\","
                          "\"t\":%lld,\"executor\":%d}",
                          (long long)fake_now_ms(),
                          self.executor_port + executor);
        }
        self.executor_states[executor] =
            strcmp(mode, "leaving") == 0 ? EXECUTOR_LEAVING
            : strcmp(mode, "gone") == 0  ? EXECUTOR_GONE
                                         : EXECUTOR_LIVE;
    }
    pthread_mutex_unlock(&self.mutex);
    return fake_respond(connection, 200, "text/plain", "done\n");
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **context)
{
    (void)user;
    (void)method;
    (void)version;
    if (!fake_collect_body(context, data, data_size)) {
        return MHD_YES;
    }
    const GString *body = *context;
    uint32_t index = 0;
    if (strcmp(url, "/hosts") == 0) {
        char *text = hosts_text();
        enum MHD_Result result =
            fake_respond(connection, 200, "application/json", text);
        free(text);
        return result;
    }
    if (strcmp(url, "/admin") == 0) {
        return handle_admin(connection);
    }
    if (sscanf(url, "/w/%u/v1/sync", &index) == 1 && index < self.worker_count)
    {
        return handle_sync(connection, index, body);
    }
    return fake_respond(connection, 404, "text/plain", "not found\n");
}

static void *
run_workers(void *user)
{
    (void)user;
    for (;;) {
        pthread_mutex_lock(&self.mutex);
        int64_t now_ms = fake_now_ms();
        for (uint32_t i = 0; i < self.worker_count; i++) {
            fake_worker_tick(&self.workers[i], now_ms);
        }
        pthread_mutex_unlock(&self.mutex);
        g_usleep(TICK_US);
    }
    return NULL;
}

int
main(int argc, char **argv)
{
    if (argc < 8) {
        fprintf(stderr, "usage: standin_platform PORT DATACENTRE WORKERS "
                        "EXECUTOR_PORT EXECUTORS SERVICE LOG [MS_PER_S]\n");
        return 2;
    }
    self.port = (uint16_t)atoi(argv[1]);
    self.datacentre = argv[2];
    self.worker_count = (uint32_t)atoi(argv[3]);
    self.executor_port = (uint16_t)atoi(argv[4]);
    self.executor_count = (uint32_t)atoi(argv[5]);
    self.service = argv[6];
    self.log = fopen(argv[7], "a");
    if (self.worker_count == 0 || self.worker_count > WORKERS_MAX ||
        self.executor_count > WORKERS_MAX || !self.log)
    {
        fprintf(stderr,
                "standin_platform: WORKERS '%.40s' must be from 1 to %d, "
                "EXECUTORS '%.40s' from 0 to %d, and LOG '%s' a file that "
                "can be written\n",
                argv[3], WORKERS_MAX, argv[5], WORKERS_MAX, argv[7]);
        return 2;
    }
    fake_block_signals();
    pthread_mutex_init(&self.mutex, NULL);
    int64_t now_ms = fake_now_ms();
    for (uint32_t i = 0; i < self.worker_count; i++) {
        fake_worker_init(&self.workers[i], i, log_event, NULL);
        self.workers[i].ticked_ms = now_ms;
        self.workers[i].ms_per_declared_s =
            argc > 8 ? (uint32_t)atoi(argv[8]) : 1000;
    }
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD, self.port, NULL, NULL, on_request, NULL,
        MHD_OPTION_NOTIFY_COMPLETED, fake_free_body, NULL,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (!daemon) {
        fprintf(stderr, "standin_platform: cannot bind port %u\n", self.port);
        return 1;
    }
    pthread_t thread;
    pthread_create(&thread, NULL, run_workers, NULL);
    fake_wait_for_signal();
    _exit(0);
}
