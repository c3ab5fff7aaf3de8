/*
 * The HTTP adapter to workers.
 *
 * Guards against a host that counts its own stall as silence of the workers:
 * their responses wait in its sockets.
 */
#include <string.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <glib.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include "../src/worker_json.h"
#include "../src/worker_port.h"

#define TIMEOUT_MS 300

/* Sends a valid reply to the request of the next connection. */
static int
respond(int listener)
{
    int fd = accept(listener, NULL, NULL);
    char request[4096];
    g_assert_cmpint(recv(fd, request, sizeof(request), 0), >, 0);
    json_t *json = nm_worker_reply_encode(
        &(nm_sync_reply_t){.accepted = true, .epoch = 1});
    char *body = json_dumps(json, JSON_COMPACT);
    char *response =
        g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                        strlen(body), body);
    g_assert_cmpint(send(fd, response, strlen(response), 0), >, 0);
    g_free(response);
    free(body);
    json_decref(json);
    return fd;
}

static void
test_own_stall_is_no_timeout(void)
{
    static const struct {
        nm_ms_t stall_ms;
        bool responds;
    } cases[] = {{0, true}, {400, true}, {2000, true}, {0, false}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        int listener = socket(AF_INET, SOCK_STREAM, 0);
        struct sockaddr_in name = {.sin_family = AF_INET,
                                   .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        socklen_t bytes = sizeof(name);
        g_assert_cmpint(bind(listener, (void *)&name, bytes), ==, 0);
        g_assert_cmpint(listen(listener, 1), ==, 0);
        getsockname(listener, (void *)&name, &bytes);
        char *address =
            g_strdup_printf("http://127.0.0.1:%d", ntohs(name.sin_port));
        nm_worker_port_t *port = nm_worker_port_http_new(TIMEOUT_MS);
        nm_sync_t sync = {.worker = 7, .address = address, .sequence = 3};
        g_assert_cmpint(nm_worker_port_sync(port, &sync), ==, NM_OK);
        for (int round = 0; round < 10; round++) {
            nm_worker_port_wait(port, 5, -1);
        }
        int fd = cases[i].responds ? respond(listener) : -1;
        g_usleep((gulong)cases[i].stall_ms * 1000);
        nm_worker_event_t event = {0};
        gint64 until_us = g_get_monotonic_time() + 2 * TIMEOUT_MS * 1000;
        while (!nm_worker_port_next(port, &event)) {
            g_assert_cmpint(g_get_monotonic_time(), <, until_us);
            nm_worker_port_wait(port, 5, -1);
        }
        g_test_message("stall of %lld ms: succeeded %d",
                       (long long)cases[i].stall_ms, event.succeeded);
        g_assert_cmpuint(event.sequence, ==, 3);
        g_assert_cmpint(event.succeeded, ==, cases[i].responds);
        nm_worker_port_free(port);
        g_free(address);
        close(fd);
        close(listener);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/worker-port/own-stall-is-no-timeout",
                    test_own_stall_is_no_timeout);
    return g_test_run();
}
