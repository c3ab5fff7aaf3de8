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
    char *pages[NM_OPS_PAGE_COUNT];
};

static enum MHD_Result
reply(struct MHD_Connection *connection, unsigned int status, const char *type,
      const char *text, size_t bytes)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        bytes, (void *)text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", type);
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

static enum MHD_Result
reply_counters(struct MHD_Connection *connection)
{
    GString *text = g_string_new(NULL);
    nm_counters_write(append_line, text);
    nm_latency_write(append_line, text);
    enum MHD_Result result = reply(
        connection, 200, "text/plain; version=0.0.4", text->str, text->len);
    g_string_free(text, TRUE);
    return result;
}

static enum MHD_Result
reply_page(nm_ops_t *ops, struct MHD_Connection *connection,
           nm_ops_page_t page)
{
    pthread_mutex_lock(&ops->mutex);
    const char *text = ops->pages[page] ? ops->pages[page] : "{}";
    enum MHD_Result result =
        reply(connection, 200, "application/json", text, strlen(text));
    pthread_mutex_unlock(&ops->mutex);
    return result;
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
        return reply_counters(connection);
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
nm_ops_new(const char *address, uint16_t port)
{
    assert(address);
    char text[64];
    snprintf(text, sizeof(text), "%s:%u", address, (unsigned int)port);
    return nm_ops_new_at(text);
}

nm_ops_t *
nm_ops_new_at(const char *address_and_port)
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
        1u, MHD_OPTION_END);
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
        free(ops->pages[i]);
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
    free(ops->pages[page]);
    ops->pages[page] = text;
    pthread_mutex_unlock(&ops->mutex);
}
