#include "ops.h"

#include <assert.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <microhttpd.h>

#include <nutmegdeck/latency.h>

#include "address.h"

struct nm_ops {
    struct MHD_Daemon *daemon;
    pthread_mutex_t mutex;
    bool ready;
    /* Guarded by the mutex; NULL: not set. */
    struct MHD_Response *pages[NM_OPS_PAGE_COUNT];
    struct MHD_Response *counters;
    nm_ms_t counters_ms; /* time of the counters */
};

#define IDLE_TIMEOUT_S 15
/* Within this time, readers of the counters share one copy. */
#define COUNTERS_INTERVAL_MS 100

static enum MHD_Result
reply(struct MHD_Connection *connection, unsigned int status, const char *type,
      const char *text, size_t bytes)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        bytes, (void *)text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", type);
    nm_client_guard_write(nm_client_guard_find(connection), 0);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

static void
append_line(void *user, const char *line)
{
    g_string_append(user, line);
    g_string_append_c(user, '\n');
}

/* Replaces a shared response; text was allocated with malloc. */
static void
set_shared(struct MHD_Response **shared, const char *type, char *text)
{
    if (*shared) {
        MHD_destroy_response(*shared);
    }
    *shared = MHD_create_response_from_buffer(strlen(text), text,
                                              MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(*shared, "Content-Type", type);
}

/* Only the thread of the listener calls this. */
static enum MHD_Result
reply_counters(nm_ops_t *ops, struct MHD_Connection *connection)
{
    nm_ms_t now_ms = nm_now_monotonic();
    if (!ops->counters || now_ms - ops->counters_ms >= COUNTERS_INTERVAL_MS) {
        GString *text = g_string_new(NULL);
        nm_counters_write(append_line, text);
        nm_latency_write(append_line, text);
        set_shared(&ops->counters, "text/plain; version=0.0.4",
                   g_string_free(text, FALSE));
        ops->counters_ms = now_ms;
    }
    nm_client_guard_write(nm_client_guard_find(connection), 0);
    return MHD_queue_response(connection, 200, ops->counters);
}

static enum MHD_Result
reply_page(nm_ops_t *ops, struct MHD_Connection *connection,
           nm_ops_page_t page)
{
    pthread_mutex_lock(&ops->mutex);
    struct MHD_Response *response = ops->pages[page];
    enum MHD_Result result = MHD_NO;
    if (response) {
        nm_client_guard_write(nm_client_guard_find(connection), 0);
        result = MHD_queue_response(connection, 200, response);
    }
    pthread_mutex_unlock(&ops->mutex);
    return response ? result
                    : reply(connection, 200, "application/json", "{}", 2);
}

static void
on_completed(void *user, struct MHD_Connection *connection, void **context,
             enum MHD_RequestTerminationCode code)
{
    (void)user;
    (void)context;
    (void)code;
    nm_client_guard_end(nm_client_guard_find(connection));
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **context)
{
    (void)version;
    (void)data;
    (void)context;
    nm_ops_t *ops = user;
    *data_size = 0;
    if (strcmp(method, "GET") != 0) {
        return reply(connection, 405, "text/plain", "use GET\n", 8);
    }
    if (strcmp(url, "/-/live") == 0) {
        return reply(connection, 200, "text/plain", "live\n", 5);
    }
    if (strcmp(url, "/-/ready") == 0) {
        pthread_mutex_lock(&ops->mutex);
        bool ready = ops->ready;
        pthread_mutex_unlock(&ops->mutex);
        return ready ? reply(connection, 200, "text/plain", "ready\n", 6)
                     : reply(connection, 503, "text/plain", "not ready\n", 10);
    }
    if (strcmp(url, "/-/counters") == 0) {
        return reply_counters(ops, connection);
    }
    if (strcmp(url, "/-/status") == 0) {
        return reply_page(ops, connection, NM_OPS_PAGE_STATUS);
    }
    if (strcmp(url, "/-/jobs") == 0) {
        return reply_page(ops, connection, NM_OPS_PAGE_JOBS);
    }
    return reply(connection, 404, "text/plain", "not found\n", 10);
}

nm_ops_t *
nm_ops_new(const char *address, uint16_t port, nm_client_guard_t *guard)
{
    assert(address);
    char text[64];
    snprintf(text, sizeof(text), "%s:%u", address, (unsigned int)port);
    return nm_ops_new_at(text, guard);
}

nm_ops_t *
nm_ops_new_at(const char *address_and_port, nm_client_guard_t *guard)
{
    assert(address_and_port);
    struct sockaddr_in socket_address;
    if (!nm_address_parse(address_and_port, &socket_address)) {
        return NULL;
    }
    nm_ops_t *ops = g_new0(nm_ops_t, 1);
    pthread_mutex_init(&ops->mutex, NULL);
    ops->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD, ntohs(socket_address.sin_port), NULL,
        NULL, on_request, ops, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&socket_address, MHD_OPTION_LISTENING_ADDRESS_REUSE,
        1u, MHD_OPTION_CONNECTION_TIMEOUT, (unsigned int)IDLE_TIMEOUT_S,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, nm_client_guard_on_connection, guard,
        MHD_OPTION_END);
    if (!ops->daemon) {
        pthread_mutex_destroy(&ops->mutex);
        g_free(ops);
        return NULL;
    }
    return ops;
}

void
nm_ops_free(nm_ops_t *ops)
{
    assert(ops);
    MHD_stop_daemon(ops->daemon);
    for (int i = 0; i < NM_OPS_PAGE_COUNT; i++) {
        if (ops->pages[i]) {
            MHD_destroy_response(ops->pages[i]);
        }
    }
    if (ops->counters) {
        MHD_destroy_response(ops->counters);
    }
    pthread_mutex_destroy(&ops->mutex);
    g_free(ops);
}

void
nm_ops_set_ready(nm_ops_t *ops, bool ready)
{
    assert(ops);
    pthread_mutex_lock(&ops->mutex);
    ops->ready = ready;
    pthread_mutex_unlock(&ops->mutex);
}

void
nm_ops_set_page(nm_ops_t *ops, nm_ops_page_t page, char *text)
{
    assert(ops && page < NM_OPS_PAGE_COUNT);
    pthread_mutex_lock(&ops->mutex);
    set_shared(&ops->pages[page], "application/json", text);
    pthread_mutex_unlock(&ops->mutex);
}
