#include "client_guard.h"

#include <assert.h>
#include <pthread.h>
#include <sys/socket.h>

#include <jansson.h>

#include <nutmegdeck/log.h>
#include <nutmegdeck/reason.h>

#include "memory_budget.h"

/* Of the idle timeout: a connection that moves single bytes stays longer. */
#define STALL_TIMEOUTS 2
/* Between two log lines of the same kind. */
#define LOG_INTERVAL_MS 1000

typedef enum {
    EVENT_CLOSED,
    EVENT_REFUSED,
    EVENT_COUNT,
} event_t;

struct nm_client_guard {
    pthread_mutex_t mutex; /* guards all below */
    nm_memory_budget_t budget;
    struct {
        nm_ms_t logged_ms;
        uint64_t unlogged;
    } events[EVENT_COUNT];
};

struct nm_client {
    nm_client_guard_t *guard;
    nm_memory_holder_t holder;
    int fd;
};

nm_client_guard_t *
nm_client_guard_new(const nm_client_guard_desc_t *desc)
{
    assert(desc);
    nm_client_guard_t *guard = g_new0(nm_client_guard_t, 1);
    pthread_mutex_init(&guard->mutex, NULL);
    nm_memory_limits_t limits = nm_memory_limits_derive(
        desc->memory_mb, desc->max_fds, desc->connection_bytes);
    limits.stall_max_ms = STALL_TIMEOUTS * desc->idle_timeout_ms;
    nm_memory_budget_init(&guard->budget, &limits);
    for (event_t event = 0; event < EVENT_COUNT; event++) {
        guard->events[event].logged_ms = -LOG_INTERVAL_MS;
    }
    return guard;
}

void
nm_client_guard_free(nm_client_guard_t *guard)
{
    if (guard) {
        assert(guard->budget.connections == 0);
        pthread_mutex_destroy(&guard->mutex);
        g_free(guard);
    }
}

/* Writes at most one line of a kind per interval, with the number of events.
 */
static void
log_event(nm_client_guard_t *guard, event_t event, nm_ms_t now_ms)
{
    static const nm_log_item_t items[EVENT_COUNT] = {
        NM_LOG_ITEM_CLIENTS_CLOSED, NM_LOG_ITEM_BODIES_REFUSED};
    const nm_memory_budget_t *budget = &guard->budget;
    guard->events[event].unlogged++;
    if (now_ms - guard->events[event].logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    nm_log(NM_LOG_WARN, items[event], "{s:I,s:I,s:I,s:I,s:I}", "count",
           (json_int_t)guard->events[event].unlogged, "connections",
           (json_int_t)budget->connections, "connections_max",
           (json_int_t)budget->limits.connections_max, "body_bytes",
           (json_int_t)budget->body_bytes, "body_max_bytes",
           (json_int_t)budget->limits.body_max_bytes);
    guard->events[event].logged_ms = now_ms;
    guard->events[event].unlogged = 0;
}

/* The sockets are open: a client leaves the budget before its socket closes.
 */
static void
close_exceeding(nm_client_guard_t *guard, nm_ms_t now_ms)
{
    nm_client_t *client;
    while ((client = nm_memory_budget_next_closing(&guard->budget, now_ms))) {
        (void)shutdown(client->fd, SHUT_RDWR);
        nm_count(NM_COUNTER_CLIENTS_CLOSED, 1);
        log_event(guard, EVENT_CLOSED, now_ms);
    }
}

static void
open_client(nm_client_guard_t *guard, struct MHD_Connection *connection,
            void **socket_context)
{
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    nm_client_t *client = g_new0(nm_client_t, 1);
    client->guard = guard;
    client->fd = info ? info->connect_fd : -1;
    *socket_context = client;
    nm_ms_t now_ms = nm_now_monotonic();
    pthread_mutex_lock(&guard->mutex);
    nm_memory_budget_open(&guard->budget, &client->holder, client, now_ms);
    close_exceeding(guard, now_ms);
    pthread_mutex_unlock(&guard->mutex);
}

void
nm_client_guard_on_connection(void *user, struct MHD_Connection *connection,
                              void **socket_context,
                              enum MHD_ConnectionNotificationCode code)
{
    nm_client_guard_t *guard = user;
    if (!guard) {
        return;
    }
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        open_client(guard, connection, socket_context);
        return;
    }
    nm_client_t *client = *socket_context;
    if (client) {
        pthread_mutex_lock(&guard->mutex);
        nm_memory_budget_close(&guard->budget, &client->holder);
        pthread_mutex_unlock(&guard->mutex);
        g_free(client);
        *socket_context = NULL;
    }
}

nm_client_t *
nm_client_guard_find(struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    return info ? info->socket_context : NULL;
}

void
nm_client_guard_begin(nm_client_t *client)
{
    if (client) {
        pthread_mutex_lock(&client->guard->mutex);
        nm_memory_budget_step(&client->guard->budget, &client->holder,
                              nm_now_monotonic());
        pthread_mutex_unlock(&client->guard->mutex);
    }
}

void
nm_client_guard_discard(nm_client_t *client, size_t bytes)
{
    if (client) {
        nm_ms_t now_ms = nm_now_monotonic();
        pthread_mutex_lock(&client->guard->mutex);
        nm_memory_budget_receive(&client->guard->budget, &client->holder,
                                 bytes, now_ms);
        close_exceeding(client->guard, now_ms);
        pthread_mutex_unlock(&client->guard->mutex);
    }
}

/* GByteArray doubles its size. */
static uint64_t
allocated_bytes(size_t bytes)
{
    uint64_t size = bytes > 0 ? 16 : 0;
    while (size < bytes) {
        size *= 2;
    }
    return size;
}

static bool
charge_body(nm_client_t *client, uint64_t growth_bytes, size_t received_bytes)
{
    nm_client_guard_t *guard = client->guard;
    nm_ms_t now_ms = nm_now_monotonic();
    pthread_mutex_lock(&guard->mutex);
    nm_memory_budget_receive(&guard->budget, &client->holder, received_bytes,
                             now_ms);
    bool has_room = nm_memory_budget_charge(&guard->budget, &client->holder,
                                            growth_bytes, false);
    if (!has_room) {
        nm_memory_budget_release(&guard->budget, &client->holder);
        nm_count(NM_COUNTER_BODIES_REFUSED, 1);
        log_event(guard, EVENT_REFUSED, now_ms);
    }
    close_exceeding(guard, now_ms);
    pthread_mutex_unlock(&guard->mutex);
    return has_room;
}

bool
nm_client_guard_append(nm_client_t *client, GByteArray *body, const char *data,
                       size_t bytes)
{
    uint64_t growth_bytes =
        allocated_bytes(body->len + bytes) - allocated_bytes(body->len);
    if (client && !charge_body(client, growth_bytes, bytes)) {
        /* A smaller length would keep the memory. */
        g_free(g_byte_array_steal(body, NULL));
        return false;
    }
    g_byte_array_append(body, (const guint8 *)data, (guint)bytes);
    return true;
}

void
nm_client_guard_release(nm_client_t *client)
{
    if (client) {
        pthread_mutex_lock(&client->guard->mutex);
        nm_memory_budget_release(&client->guard->budget, &client->holder);
        pthread_mutex_unlock(&client->guard->mutex);
    }
}

void
nm_client_guard_wait(nm_client_t *client, uint64_t record_bytes)
{
    if (client) {
        pthread_mutex_lock(&client->guard->mutex);
        nm_memory_budget_wait(&client->guard->budget, &client->holder);
        (void)nm_memory_budget_charge(&client->guard->budget, &client->holder,
                                      record_bytes, true);
        pthread_mutex_unlock(&client->guard->mutex);
    }
}

void
nm_client_guard_write(nm_client_t *client, uint64_t response_bytes)
{
    if (client) {
        nm_ms_t now_ms = nm_now_monotonic();
        pthread_mutex_lock(&client->guard->mutex);
        nm_memory_budget_write(&client->guard->budget, &client->holder,
                               now_ms);
        (void)nm_memory_budget_charge(&client->guard->budget, &client->holder,
                                      response_bytes, true);
        close_exceeding(client->guard, now_ms);
        pthread_mutex_unlock(&client->guard->mutex);
    }
}

void
nm_client_guard_end(nm_client_t *client)
{
    if (client) {
        nm_ms_t now_ms = nm_now_monotonic();
        pthread_mutex_lock(&client->guard->mutex);
        nm_memory_budget_release(&client->guard->budget, &client->holder);
        nm_memory_budget_step(&client->guard->budget, &client->holder, now_ms);
        close_exceeding(client->guard, now_ms);
        pthread_mutex_unlock(&client->guard->mutex);
    }
}
