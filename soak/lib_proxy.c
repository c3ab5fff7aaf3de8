#include "lib_proxy.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "../tests/fakes/lib_http.h"

#define PATHS_MAX 64
#define TICK_MS 5
#define DELAY_MS 60
#define CHUNK_BYTES 65536

/* Bytes on their way in one direction. */
typedef struct {
    GByteArray *data;
    int64_t due_ms;
} chunk_t;

typedef struct {
    int path;
    int fds[2]; /* caller, target */
    bool blackholed;
    GQueue queued[2]; /* of chunk_t; 0: to the target */
    bool ended;
} connection_t;

typedef struct {
    int listener;
    proxy_mode_t mode;
} path_t;

struct proxy {
    uint16_t target_port;
    path_t paths[PATHS_MAX];
    int path_count;
    GPtrArray *pairs; /* of connection_t */
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
    connection_t *pair = data;
    for (int i = 0; i < 2; i++) {
        close(pair->fds[i]);
        g_queue_clear_full(&pair->queued[i], free_chunk);
    }
    g_free(pair);
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
    connection_t *pair = g_new0(connection_t, 1);
    pair->path = path;
    pair->fds[0] = caller;
    pair->fds[1] = target;
    g_queue_init(&pair->queued[0]);
    g_queue_init(&pair->queued[1]);
    g_ptr_array_add(proxy->pairs, pair);
}

static bool
is_cut(proxy_mode_t mode, int side)
{
    return mode == PROXY_CUT || (mode == PROXY_CUT_REQUESTS && side == 0) ||
           (mode == PROXY_CUT_RESPONSES && side == 1);
}

/* Reads what one side sent; side 0 is the caller. */
static void
read_side(proxy_t *proxy, connection_t *pair, int side, int64_t now_ms)
{
    uint8_t buffer[CHUNK_BYTES];
    ssize_t count =
        recv(pair->fds[side], buffer, sizeof(buffer), MSG_DONTWAIT);
    if (count == 0 || (count < 0 && errno != EAGAIN)) {
        pair->ended = true;
        return;
    }
    proxy_mode_t mode = proxy->paths[pair->path].mode;
    if (count < 0) {
        return;
    }
    /* What was lost behind a partition makes the connection useless. */
    pair->blackholed = pair->blackholed || is_cut(mode, side);
    if (pair->blackholed) {
        return;
    }
    chunk_t *chunk = g_new(chunk_t, 1);
    chunk->data = g_byte_array_new();
    g_byte_array_append(chunk->data, buffer, (guint)count);
    chunk->due_ms = now_ms + (mode == PROXY_DELAY ? DELAY_MS : 0);
    g_queue_push_tail(&pair->queued[side], chunk);
}

static void
forward_queued(connection_t *pair, int side, int64_t now_ms)
{
    chunk_t *chunk;
    while ((chunk = g_queue_peek_head(&pair->queued[side])) &&
           now_ms >= chunk->due_ms)
    {
        ssize_t count = send(pair->fds[1 - side], chunk->data->data,
                             chunk->data->len, MSG_DONTWAIT | MSG_NOSIGNAL);
        if (count < 0) {
            pair->ended = pair->ended || errno != EAGAIN;
            return;
        }
        g_byte_array_remove_range(chunk->data, 0, (guint)count);
        if (chunk->data->len > 0) {
            return;
        }
        free_chunk(g_queue_pop_head(&pair->queued[side]));
    }
}

static void
serve(proxy_t *proxy, const GArray *polled, guint listeners)
{
    int64_t now_ms = fake_now_ms();
    for (guint i = 0; i < polled->len; i++) {
        const struct pollfd *fd = &g_array_index(polled, struct pollfd, i);
        if (!(fd->revents & (POLLIN | POLLHUP | POLLERR))) {
            continue;
        }
        if (i < listeners) {
            accept_caller(proxy, (int)i);
            continue;
        }
        for (guint p = 0; p < proxy->pairs->len; p++) {
            connection_t *pair = proxy->pairs->pdata[p];
            for (int side = 0; side < 2; side++) {
                if (pair->fds[side] == fd->fd) {
                    read_side(proxy, pair, side, now_ms);
                }
            }
        }
    }
    for (guint p = proxy->pairs->len; p > 0; p--) {
        connection_t *pair = proxy->pairs->pdata[p - 1];
        forward_queued(pair, 0, now_ms);
        forward_queued(pair, 1, now_ms);
        if (pair->ended) {
            g_ptr_array_remove_index_fast(proxy->pairs, p - 1);
        }
    }
}

static void *
run(void *user)
{
    proxy_t *proxy = user;
    GArray *polled = g_array_new(FALSE, TRUE, sizeof(struct pollfd));
    for (;;) {
        pthread_mutex_lock(&proxy->mutex);
        bool stopping = proxy->stopping;
        g_array_set_size(polled, 0);
        for (int i = 0; i < proxy->path_count; i++) {
            struct pollfd fd = {proxy->paths[i].listener, POLLIN, 0};
            g_array_append_val(polled, fd);
        }
        for (guint p = 0; p < proxy->pairs->len; p++) {
            const connection_t *pair = proxy->pairs->pdata[p];
            for (int side = 0; side < 2; side++) {
                struct pollfd fd = {pair->fds[side], POLLIN, 0};
                g_array_append_val(polled, fd);
            }
        }
        guint listeners = (guint)proxy->path_count;
        pthread_mutex_unlock(&proxy->mutex);
        if (stopping) {
            break;
        }
        poll((struct pollfd *)polled->data, polled->len, TICK_MS);
        pthread_mutex_lock(&proxy->mutex);
        serve(proxy, polled, listeners);
        pthread_mutex_unlock(&proxy->mutex);
    }
    g_array_free(polled, TRUE);
    return NULL;
}

proxy_t *
proxy_new(uint16_t target_port)
{
    proxy_t *proxy = g_new0(proxy_t, 1);
    proxy->target_port = target_port;
    proxy->pairs = g_ptr_array_new_with_free_func(free_connection);
    pthread_mutex_init(&proxy->mutex, NULL);
    pthread_create(&proxy->thread, NULL, run, proxy);
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
    g_ptr_array_free(proxy->pairs, TRUE);
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
    int on = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (proxy->path_count >= PATHS_MAX ||
        bind(fd, (struct sockaddr *)&address, sizeof(address)) < 0 ||
        listen(fd, 512) < 0)
    {
        close(fd);
        return -1;
    }
    pthread_mutex_lock(&proxy->mutex);
    int path = proxy->path_count;
    proxy->paths[path] = (path_t){fd, PROXY_OPEN};
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

void
proxy_blackhole(proxy_t *proxy, int path)
{
    pthread_mutex_lock(&proxy->mutex);
    for (guint p = 0; p < proxy->pairs->len; p++) {
        connection_t *pair = proxy->pairs->pdata[p];
        pair->blackholed = pair->blackholed || pair->path == path;
    }
    pthread_mutex_unlock(&proxy->mutex);
}

void
proxy_reset(proxy_t *proxy, int path)
{
    struct linger at_once = {1, 0};
    pthread_mutex_lock(&proxy->mutex);
    for (guint p = 0; p < proxy->pairs->len; p++) {
        connection_t *pair = proxy->pairs->pdata[p];
        if (pair->path == path) {
            setsockopt(pair->fds[0], SOL_SOCKET, SO_LINGER, &at_once,
                       sizeof(at_once));
            pair->ended = true;
        }
    }
    pthread_mutex_unlock(&proxy->mutex);
}
