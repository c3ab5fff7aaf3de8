/*
 * Stand-in for a service's executors.
 *
 *     standin_executor FIRST_PORT COUNT LOG [MEAN_MS]
 *
 * Each port is one executor.  It responds with a body that is derived from the
 * X-Request-Id and the Idempotency-Key, so that callers can check it, and
 * writes one JSON line for each request that it runs to LOG ("-": no log).
 * POST /admin?mode=ok|reset-before|reset-after|cut|unavailable|slow|gone&
 * percent=N sets the behaviour of one executor for a share of its requests;
 * GET /admin prints its number of runs and its highest numbers of requests in
 * flight and of connections.
 */

#include <math.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>

#include "lib_history.h"
#include "lib_http.h"

#define EXECUTORS_MAX 128
#define SLOW_FACTOR 20

typedef enum {
    MODE_OK,
    MODE_RESET_BEFORE, /* closes the connection without running the request */
    MODE_RESET_AFTER,  /* runs the request, then closes the connection */
    MODE_CUT,          /* runs the request, sends half of the response */
    MODE_UNAVAILABLE,  /* responds 503 without running the request */
    MODE_SLOW,         /* takes SLOW_FACTOR times as long */
    MODE_GONE,         /* as if its process had ended: stops listening */
    MODE_COUNT,
} executor_mode_t;

static const char *const mode_names[MODE_COUNT] = {
    "ok", "reset-before", "reset-after", "cut", "unavailable", "slow", "gone"};

typedef struct {
    uint16_t port;
    uint32_t in_flight;
    uint32_t in_flight_max;
    uint32_t connections;
    uint32_t connections_max;
    uint32_t mode;
    uint32_t percent;
    uint32_t runs;
    struct MHD_Daemon *daemon;
} executor_t;

static struct {
    executor_t executors[EXECUTORS_MAX];
    uint32_t count;
    double mean_ms;
    uint32_t seed;
    FILE *log;
} self;

static void
raise_max(uint32_t *max, uint32_t value)
{
    uint32_t current = ck_pr_load_32(max);
    while (value > current) {
        if (ck_pr_cas_32_value(max, current, value, &current)) {
            return;
        }
    }
}

static uint32_t
random_below(uint32_t bound)
{
    uint32_t x = ck_pr_faa_32(&self.seed, 0x9e3779b9u);
    x ^= x >> 16;
    x *= 0x85ebca6bu;
    x ^= x >> 13;
    x *= 0xc2b2ae35u;
    x ^= x >> 16;
    return x % bound;
}

/*
 * Sleeps for half of the mean time, scaled by the factor, plus an
 * exponentially distributed time with the other half as its mean; four times
 * the scaled mean at most.
 */
static void
simulate_processing(double factor)
{
    double uniform = (random_below(1000000) + 1) / 1000000.0;
    double duration_ms = self.mean_ms * factor * (0.5 - 0.5 * log(uniform));
    if (duration_ms > self.mean_ms * factor * 4) {
        duration_ms = self.mean_ms * factor * 4;
    }
    g_usleep((gulong)(duration_ms * 1000));
}

static ssize_t
read_first_half(void *user, uint64_t position, char *buffer, size_t size)
{
    const char *text = user;
    size_t half = strlen(text) / 2;
    if (position >= half) {
        return MHD_CONTENT_READER_END_WITH_ERROR;
    }
    size_t bytes = half - position < size ? half - position : size;
    memcpy(buffer, text + position, bytes);
    return (ssize_t)bytes;
}

static enum MHD_Result
reply_first_half(struct MHD_Connection *connection, const char *text)
{
    struct MHD_Response *response = MHD_create_response_from_callback(
        strlen(text), 512, read_first_half, g_strdup(text), g_free);
    enum MHD_Result result = MHD_queue_response(connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

static enum MHD_Result
handle_admin(executor_t *executor, struct MHD_Connection *connection,
             const char *method)
{
    if (strcmp(method, "POST") == 0) {
        const char *mode = fake_query_argument(connection, "mode", "ok");
        for (uint32_t i = 0; i < MODE_COUNT; i++) {
            if (strcmp(mode, mode_names[i]) == 0) {
                ck_pr_store_32(&executor->mode, i);
            }
        }
        if (ck_pr_load_32(&executor->mode) == MODE_GONE) {
            MHD_socket listener = MHD_quiesce_daemon(executor->daemon);
            if (listener != MHD_INVALID_SOCKET) {
                close(listener);
            }
        }
        ck_pr_store_32(&executor->percent, (uint32_t)atoi(fake_query_argument(
                                               connection, "percent", "100")));
    }
    char text[200];
    snprintf(text, sizeof(text),
             "{\"port\":%u,\"in_flight_max\":%u,\"connections_max\":%u,"
             "\"runs\":%u}\n",
             executor->port, executor->in_flight_max,
             executor->connections_max, executor->runs);
    return fake_respond(connection, 200, "application/json", text);
}

static enum MHD_Result
run_request(executor_t *executor, struct MHD_Connection *connection,
            const char *method)
{
    const char *id = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                                 "X-Request-Id");
    const char *key = MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                                  "Idempotency-Key");
    executor_mode_t mode = ck_pr_load_32(&executor->mode);
    if (mode != MODE_OK &&
        random_below(100) >= ck_pr_load_32(&executor->percent)) {
        mode = MODE_OK;
    }
    if (mode == MODE_RESET_BEFORE || mode == MODE_GONE) {
        return MHD_NO;
    }
    if (mode == MODE_UNAVAILABLE) {
        return fake_respond(connection, 503, "text/plain", "busy\n");
    }
    uint32_t in_flight = ck_pr_faa_32(&executor->in_flight, 1) + 1;
    raise_max(&executor->in_flight_max, in_flight);
    ck_pr_inc_32(&executor->runs);
    if (self.log) {
        fake_log_line(self.log,
                      "{\"kind\":\"run\",\"t\":%lld,\"executor\":%u,"
                      "\"id\":\"%s\",\"key\":\"%s\",\"method\":\"%s\","
                      "\"in_flight\":%u,\"connections\":%u}",
                      (long long)fake_now_ms(), executor->port, id ? id : "",
                      key ? key : "", method, in_flight,
                      ck_pr_load_32(&executor->connections));
    }
    simulate_processing(mode == MODE_SLOW ? SLOW_FACTOR : 1);
    ck_pr_dec_32(&executor->in_flight);
    char *text = history_response_text(id ? id : "", key ? key : "");
    enum MHD_Result result = MHD_NO;
    if (mode == MODE_CUT) {
        result = reply_first_half(connection, text);
    }
    else if (mode != MODE_RESET_AFTER) {
        result = fake_respond(connection, 200, "text/plain", text);
    }
    g_free(text);
    return result;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **context)
{
    (void)version;
    (void)data;
    executor_t *executor = user;
    if (!*context) {
        *context = executor;
        return MHD_YES;
    }
    if (*data_size > 0) {
        *data_size = 0;
        return MHD_YES;
    }
    if (strcmp(url, "/admin") == 0) {
        return handle_admin(executor, connection, method);
    }
    return run_request(executor, connection, method);
}

static void
on_connection(void *user, struct MHD_Connection *connection, void **context,
              enum MHD_ConnectionNotificationCode code)
{
    (void)connection;
    (void)context;
    executor_t *executor = user;
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        uint32_t count = ck_pr_faa_32(&executor->connections, 1) + 1;
        raise_max(&executor->connections_max, count);
    }
    else {
        ck_pr_dec_32(&executor->connections);
    }
}

int
main(int argc, char **argv)
{
    if (argc < 4 || atoi(argv[2]) < 1 || atoi(argv[2]) > EXECUTORS_MAX) {
        fprintf(stderr,
                "usage: standin_executor FIRST_PORT COUNT LOG [MEAN_MS]\n");
        return 2;
    }
    self.count = (uint32_t)atoi(argv[2]);
    self.log = strcmp(argv[3], "-") == 0 ? NULL : fopen(argv[3], "a");
    self.mean_ms = argc > 4 ? atof(argv[4]) : 10;
    fake_block_signals();
    for (uint32_t i = 0; i < self.count; i++) {
        executor_t *executor = &self.executors[i];
        executor->port = (uint16_t)(atoi(argv[1]) + (int)i);
        executor->daemon = MHD_start_daemon(
            MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION |
                MHD_USE_POLL,
            executor->port, NULL, NULL, on_request, executor,
            MHD_OPTION_NOTIFY_CONNECTION, on_connection, executor,
            MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
        if (!executor->daemon) {
            fprintf(stderr, "standin_executor: cannot bind port %u\n",
                    executor->port);
            return 1;
        }
    }
    fake_wait_for_signal();
    _exit(0);
}
