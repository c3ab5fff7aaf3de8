/*
 * The soak's proxy: a narrow path delays what passes it and drops nothing.
 *
 * Guards against a narrow path that loses the requests of callers that gave
 * up: late orders would then not reach the executors, unlike in a network.
 */
#include <glib.h>

#include <string.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include "../soak/lib_proxy.h"

/* By process id, as tests of several builds may run at once. */
#define TARGET_PORT ((uint16_t)(19000 + getpid() % 450 * 2))
#define PATH_PORT ((uint16_t)(TARGET_PORT + 1))
#define BYTES_MAX 20000
#define WAIT_MAX_S 5

static struct sockaddr_in
local_address(uint16_t port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(port)};
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

static int
listen_on(uint16_t port)
{
    struct sockaddr_in address = local_address(port);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    int enable = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    g_assert_cmpint(bind(fd, (struct sockaddr *)&address, sizeof(address)), ==,
                    0);
    g_assert_cmpint(listen(fd, 4), ==, 0);
    return fd;
}

static int
connect_to(uint16_t port)
{
    struct sockaddr_in address = local_address(port);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    struct timeval wait_max = {.tv_sec = WAIT_MAX_S};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &wait_max, sizeof(wait_max));
    return fd;
}

static const struct {
    const char *name;
    uint32_t bytes_per_s;      /* 0: no limit */
    uint32_t widened_after_ms; /* 0: stays as it is */
    size_t bytes;
    bool caller_closes;
    double min_s;
    double max_s;
} cases[] = {
    {"no limit", 0, 0, 20000, false, 0, 2},
    {"narrow", 20000, 0, 10000, false, 0.45, 2},
    {"narrow, caller gives up", 20000, 0, 10000, true, 0.45, 2},
    {"narrow, then wide", 2000, 200, 20000, false, 0.15, 2},
};

static void
test_narrow_path_drops_nothing(void)
{
    int listener = listen_on(TARGET_PORT);
    proxy_t *proxy = proxy_new(TARGET_PORT);
    int path = proxy_add(proxy, PATH_PORT);
    g_assert_cmpint(path, >=, 0);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].name);
        proxy_limit(proxy, path, cases[i].bytes_per_s);
        int caller = connect_to(PATH_PORT);
        int target = accept(listener, NULL, NULL);
        struct timeval wait_max = {.tv_sec = WAIT_MAX_S};
        setsockopt(target, SOL_SOCKET, SO_RCVTIMEO, &wait_max,
                   sizeof(wait_max));
        static char sent[BYTES_MAX];
        static char received[BYTES_MAX];
        memset(sent, 'a' + (int)i, cases[i].bytes);
        int64_t start_us = g_get_monotonic_time();
        g_assert_cmpint(send(caller, sent, cases[i].bytes, 0), ==,
                        cases[i].bytes);
        if (cases[i].caller_closes) {
            close(caller);
        }
        if (cases[i].widened_after_ms > 0) {
            g_usleep(cases[i].widened_after_ms * 1000);
            proxy_limit(proxy, path, 0);
        }
        g_assert_cmpint(recv(target, received, cases[i].bytes, MSG_WAITALL),
                        ==, cases[i].bytes);
        double elapsed_s =
            (double)(g_get_monotonic_time() - start_us) / G_USEC_PER_SEC;
        g_assert_cmpmem(received, cases[i].bytes, sent, cases[i].bytes);
        g_assert_cmpfloat(elapsed_s, >=, cases[i].min_s);
        g_assert_cmpfloat(elapsed_s, <=, cases[i].max_s);
        close(target);
        if (!cases[i].caller_closes) {
            close(caller);
        }
    }
    proxy_free(proxy);
    close(listener);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/soak-proxy/narrow-path-drops-nothing",
                    test_narrow_path_drops_nothing);
    return g_test_run();
}
