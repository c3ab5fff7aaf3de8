#include "lib_proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "../tests/fakes/lib_http.h"

#define PATHS_MAX 128
#define TICK_MS 5
#define DELAY_MS 60
#define CHUNK_BYTES 65536

/* Data to forward in one direction, from due_ms on. */
typedef struct {
    GByteArray *data;
    int64_t due_ms;
} chunk_t;

typedef struct {
    int path;
    int fds[2]; /* 0: caller, 1: target */
    bool blackholed;
    GByteArray
        *refused;     /* request read so far; NULL: requests are forwarded */
    GQueue queued[2]; /* of chunk_t; 0: from the caller, 1: from the target */
    bool ended[2];    /* the side has closed; its queued data is forwarded */
    bool closed;
} connection_t;

typedef struct {
    int listener;
    proxy_mode_t mode;
    uint32_t bytes_per_s;    /* 0: no limit */
    double busy_until_ms[2]; /* with what was read so far; as queued[] */
} path_t;

struct proxy {
    uint16_t target_port;
    path_t paths[PATHS_MAX];
    int path_count;
    GPtrArray *connections; /* of connection_t */
    pthread_mutex_t mutex;
    pthread_t thread;
    bool stopping;
};

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
free_chunk(gpointer data)
{
    g_byte_array_free(((chunk_t *)data)->data, TRUE);
    g_free(data);
}

static void
free_connection(gpointer data)
{
    connection_t *connection = data;
    for (int i = 0; i < 2; i++) {
        close(connection->fds[i]);
        g_queue_clear_full(&connection->queued[i], free_chunk);
    }
    if (connection->refused) {
        g_byte_array_free(connection->refused, TRUE);
    }
    g_free(connection);
}

static void
accept_caller(proxy_t *proxy, int path)
{
    int caller =
        accept4(proxy->paths[path].listener, NULL, NULL, SOCK_CLOEXEC);
    int target = caller < 0 ? -1 : connect_to(proxy->target_port);
    if (target < 0) {
        if (caller >= 0) {
            close(caller);
        }
        return;
    }
    connection_t *connection = g_new0(connection_t, 1);
    connection->path = path;
    connection->fds[0] = caller;
    connection->fds[1] = target;
    g_queue_init(&connection->queued[0]);
    g_queue_init(&connection->queued[1]);
    if (proxy->paths[path].mode == PROXY_RESET_THEN_REFUSE) {
        connection->refused = g_byte_array_new();
    }
    g_ptr_array_add(proxy->connections, connection);
}

static bool
is_cut(proxy_mode_t mode, int side)
{
    return mode == PROXY_CUT || (mode == PROXY_CUT_REQUESTS && side == 0) ||
           (mode == PROXY_CUT_RESPONSES && side == 1);
}

static void
queue_chunk(connection_t *connection, int side, const void *data, size_t bytes,
            int64_t due_ms)
{
    chunk_t *chunk = g_new(chunk_t, 1);
    chunk->data = g_byte_array_new();
    g_byte_array_append(chunk->data, data, (guint)bytes);
    chunk->due_ms = due_ms;
    g_queue_push_tail(&connection->queued[side], chunk);
}

/* Responds to each complete request, as if the target did. */
static void
refuse_requests(connection_t *connection, const uint8_t *data, size_t bytes,
                int64_t now_ms)
{
    static const char response[] =
        "HTTP/1.1 503 x\r\nContent-Length: 2\r\nConnection: close\r\n\r\n{}";
    GByteArray *read = connection->refused;
    g_byte_array_append(read, data, (guint)bytes);
    for (;;) {
        char *text = g_strndup((const char *)read->data, read->len);
        const char *end = strstr(text, "\r\n\r\n");
        const char *length = strcasestr(text, "\r\nContent-Length:");
        size_t size = end ? (size_t)(end - text) + 4 : 0;
        if (length && length < end) {
            size += strtoul(strchr(length, ':') + 1, NULL, 10);
        }
        g_free(text);
        if (size == 0 || read->len < size) {
            return;
        }
        g_byte_array_remove_range(read, 0, (guint)size);
        queue_chunk(connection, 1, response, strlen(response), now_ms);
    }
}

static void
reset_caller(connection_t *connection)
{
    struct linger reset_linger = {1, 0};
    setsockopt(connection->fds[0], SOL_SOCKET, SO_LINGER, &reset_linger,
               sizeof(reset_linger));
    connection->closed = true;
}

static int64_t
find_due_ms(path_t *path, int side, size_t bytes, int64_t now_ms)
{
    int64_t delay_ms = path->mode == PROXY_DELAY ? DELAY_MS : 0;
    if (path->bytes_per_s == 0) {
        return now_ms + delay_ms;
    }
    double *busy_until_ms = &path->busy_until_ms[side];
    *busy_until_ms = MAX(*busy_until_ms, (double)now_ms) +
                     (double)bytes * 1000 / path->bytes_per_s;
    return (int64_t)*busy_until_ms + delay_ms;
}

/* Reads and queues data of one side; 0: caller, 1: target. */
static void
read_side(proxy_t *proxy, connection_t *connection, int side, int64_t now_ms)
{
    uint8_t buffer[CHUNK_BYTES];
    ssize_t count =
        recv(connection->fds[side], buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count == 0) {
        connection->ended[side] = true;
        return;
    }
    if (count < 0 && errno != EAGAIN) {
        connection->closed = true;
        return;
    }
    proxy_mode_t mode = proxy->paths[connection->path].mode;
    if (count < 0) {
        return;
    }
    /* Dropped data leaves a gap in the stream: forwards nothing after it. */
    connection->blackholed = connection->blackholed || is_cut(mode, side);
    if (connection->blackholed) {
        return;
    }
    if (connection->refused) {
        if (side == 0) {
            refuse_requests(connection, buffer, (size_t)count, now_ms);
        }
        return;
    }
    if (mode == PROXY_RESET_THEN_REFUSE && side == 1) {
        reset_caller(connection);
        return;
    }
    queue_chunk(connection, side, buffer, (size_t)count,
                find_due_ms(&proxy->paths[connection->path], side,
                            (size_t)count, now_ms));
}

static void
forward_queued(connection_t *connection, int side, int64_t now_ms)
{
    chunk_t *chunk;
    while ((chunk = g_queue_peek_head(&connection->queued[side])) &&
           now_ms >= chunk->due_ms)
    {
        ssize_t count = send(connection->fds[1 - side], chunk->data->data,
                             chunk->data->len, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0) {
            connection->closed = connection->closed || errno != EAGAIN;
            return;
        }
        g_byte_array_remove_range(chunk->data, 0, (guint)count);
        if (chunk->data->len > 0) {
            return;
        }
        free_chunk(g_queue_pop_head(&connection->queued[side]));
    }
    if (connection->ended[side] && !chunk) {
        connection->closed = true;
    }
}

static void
handle_events(proxy_t *proxy, const GArray *poll_fds, guint listener_count)
{
    int64_t now_ms = fake_now_ms();
    for (guint i = 0; i < poll_fds->len; i++) {
        const struct pollfd *fd = &g_array_index(poll_fds, struct pollfd, i);
        if (!(fd->revents & (POLLIN | POLLHUP | POLLERR))) {
            continue;
        }
        if (i < listener_count) {
            accept_caller(proxy, (int)i);
            continue;
        }
        for (guint index = 0; index < proxy->connections->len; index++) {
            connection_t *connection = proxy->connections->pdata[index];
            for (int side = 0; side < 2; side++) {
                if (connection->fds[side] == fd->fd) {
                    read_side(proxy, connection, side, now_ms);
                }
            }
        }
    }
    for (guint index = proxy->connections->len; index > 0; index--) {
        connection_t *connection = proxy->connections->pdata[index - 1];
        forward_queued(connection, 0, now_ms);
        forward_queued(connection, 1, now_ms);
        if (connection->closed) {
            g_ptr_array_remove_index_fast(proxy->connections, index - 1);
        }
    }
}

static void *
run_thread(void *user)
{
    proxy_t *proxy = user;
    GArray *poll_fds = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
    for (;;) {
        pthread_mutex_lock(&proxy->mutex);
        bool stopping = proxy->stopping;
        g_array_set_size(poll_fds, 0);
        for (int i = 0; i < proxy->path_count; i++) {
            struct pollfd fd = {proxy->paths[i].listener, POLLIN, 0};
            g_array_append_val(poll_fds, fd);
        }
        for (guint index = 0; index < proxy->connections->len; index++) {
            const connection_t *connection = proxy->connections->pdata[index];
            for (int side = 0; side < 2; side++) {
                /* poll() ignores negative descriptors. */
                struct pollfd fd = {
                    connection->ended[side] ? -1 : connection->fds[side],
                    POLLIN, 0};
                g_array_append_val(poll_fds, fd);
            }
        }
        guint listener_count = (guint)proxy->path_count;
        pthread_mutex_unlock(&proxy->mutex);
        if (stopping) {
            break;
        }
        poll((struct pollfd *)poll_fds->data, poll_fds->len, TICK_MS);
        pthread_mutex_lock(&proxy->mutex);
        handle_events(proxy, poll_fds, listener_count);
        pthread_mutex_unlock(&proxy->mutex);
    }
    g_array_free(poll_fds, TRUE);
    return NULL;
}

proxy_t *
proxy_new(uint16_t target_port)
{
    proxy_t *proxy = g_new0(proxy_t, 1);
    proxy->target_port = target_port;
    proxy->connections = g_ptr_array_new_with_free_func(free_connection);
    pthread_mutex_init(&proxy->mutex, NULL);
    pthread_create(&proxy->thread, NULL, run_thread, proxy);
    return proxy;
}

void
proxy_free(proxy_t *proxy)
{
    pthread_mutex_lock(&proxy->mutex);
    proxy->stopping = true;
    pthread_mutex_unlock(&proxy->mutex);
    pthread_join(proxy->thread, NULL);
    for (int i = 0; i < proxy->path_count; i++) {
        close(proxy->paths[i].listener);
    }
    g_ptr_array_free(proxy->connections, TRUE);
    pthread_mutex_destroy(&proxy->mutex);
    g_free(proxy);
}

int
proxy_add(proxy_t *proxy, uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enable = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    if (proxy->path_count >= PATHS_MAX ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
        listen(fd, 512) < 0)
    {
        close(fd);
        return -1;
    }
    pthread_mutex_lock(&proxy->mutex);
    int path = proxy->path_count;
    proxy->paths[path] = (path_t){.listener = fd, .mode = PROXY_OPEN};
    proxy->path_count++;
    pthread_mutex_unlock(&proxy->mutex);
    return path;
}

void
proxy_set(proxy_t *proxy, int path, proxy_mode_t mode)
{
    pthread_mutex_lock(&proxy->mutex);
    proxy->paths[path].mode = mode;
    pthread_mutex_unlock(&proxy->mutex);
}

static void
forward_now(connection_t *connection, int64_t now_ms)
{
    for (int side = 0; side < 2; side++) {
        for (GList *item = connection->queued[side].head; item;
             item = item->next) {
            chunk_t *chunk = item->data;
            chunk->due_ms = MIN(chunk->due_ms, now_ms);
        }
    }
}

void
proxy_limit(proxy_t *proxy, int path_index, uint32_t bytes_per_s)
{
    pthread_mutex_lock(&proxy->mutex);
    path_t *path = &proxy->paths[path_index];
    path->bytes_per_s = bytes_per_s;
    if (bytes_per_s == 0) {
        for (guint index = 0; index < proxy->connections->len; index++) {
            connection_t *connection = proxy->connections->pdata[index];
            if (connection->path == path_index) {
                forward_now(connection, fake_now_ms());
            }
        }
        path->busy_until_ms[0] = 0;
        path->busy_until_ms[1] = 0;
    }
    pthread_mutex_unlock(&proxy->mutex);
}

void
proxy_blackhole(proxy_t *proxy, int path)
{
    pthread_mutex_lock(&proxy->mutex);
    for (guint index = 0; index < proxy->connections->len; index++) {
        connection_t *connection = proxy->connections->pdata[index];
        connection->blackholed =
            connection->blackholed || connection->path == path;
    }
    pthread_mutex_unlock(&proxy->mutex);
}

void
proxy_reset(proxy_t *proxy, int path)
{
    pthread_mutex_lock(&proxy->mutex);
    for (guint index = 0; index < proxy->connections->len; index++) {
        connection_t *connection = proxy->connections->pdata[index];
        if (connection->path == path) {
            reset_caller(connection);
        }
    }
    pthread_mutex_unlock(&proxy->mutex);
}
