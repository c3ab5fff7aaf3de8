/*
 * The listener for callers, over HTTP on loopback: what a caller on a kept
 * connection sees while the host stops.
 */
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>
#include <netinet/in.h>

#include "../platform/api_listener_http.h"

#define FRONT_PORT 18741
#define READY_PORT 18742
#define REQUEST                                                               \
    "POST /a/0000000000000001 HTTP/1.1\r\nHost: h\r\nContent-Length: "        \
    "2\r\n\r\n{}"
#define RESPONSE_TIMEOUT_S 2
#define POLLS_MAX 200
#define POLL_US 5000

static nm_api_listener_t *
start_listener(void)
{
    char front[32];
    char ready[32];
    g_snprintf(front, sizeof(front), "127.0.0.1:%d", FRONT_PORT);
    g_snprintf(ready, sizeof(ready), "127.0.0.1:%d", READY_PORT);
    nm_api_listener_t *listener = nm_api_listener_http_new(front, ready, NULL);
    g_assert_nonnull(listener);
    return listener;
}

static int
open_connection(void)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons(FRONT_PORT),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct timeval timeout = {.tv_sec = RESPONSE_TIMEOUT_S};
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    g_assert_cmpint(connect(fd, (struct sockaddr *)&address, sizeof(address)),
                    ==, 0);
    return fd;
}

static void
send_request(int fd)
{
    g_assert_cmpint(send(fd, REQUEST, strlen(REQUEST), MSG_NOSIGNAL), ==,
                    strlen(REQUEST));
}

/* Reads a response, which arrives in one piece; "" if there is none. */
static const char *
read_response(int fd)
{
    static char text[4096];
    ssize_t count = recv(fd, text, sizeof(text) - 1, 0);
    text[MAX(count, 0)] = '\0';
    return text;
}

static nm_api_request_t *
take_request(nm_api_listener_t *listener)
{
    nm_api_request_t *request = NULL;
    for (int i = 0; i < POLLS_MAX && !request; i++) {
        request = listener->vtable->next(listener);
        g_usleep(request ? 0 : POLL_US);
    }
    g_assert_nonnull(request);
    return request;
}

static void
answer(nm_api_listener_t *listener, nm_api_request_t *request)
{
    request->status = 200;
    request->response = g_strdup("{}");
    listener->vtable->reply(listener, request);
}

/* What the host has taken is answered; what comes later is refused at once. */
static void
test_refusal_on_a_kept_connection(void)
{
    nm_api_listener_t *listener = start_listener();
    int first = open_connection();
    int second = open_connection();
    send_request(first);
    nm_api_request_t *request = take_request(listener);
    g_assert_cmpuint(listener->vtable->open_requests(listener), ==, 1);
    listener->vtable->refuse(listener);
    send_request(second);
    const char *refused = read_response(second);
    g_assert_true(g_str_has_prefix(refused, "HTTP/1.1 503"));
    g_assert_nonnull(strstr(refused, "Connection: close"));
    g_assert_nonnull(strstr(refused, "Retry-After: 1"));
    answer(listener, request);
    g_assert_true(g_str_has_prefix(read_response(first), "HTTP/1.1 200"));
    for (int i = 0;
         i < POLLS_MAX && listener->vtable->open_requests(listener) > 0; i++)
    {
        g_usleep(POLL_US);
    }
    g_assert_cmpuint(listener->vtable->open_requests(listener), ==, 0);
    nm_api_listener_http_free(listener);
    close(first);
    close(second);
}

/*
 * A request that was read, but not taken when the listener is freed, is
 * refused: libmicrohttpd aborts if it is stopped with a suspended connection.
 */
static void
test_queued_request_is_refused_at_the_end(void)
{
    nm_api_listener_t *listener = start_listener();
    int fd = open_connection();
    send_request(fd);
    for (int i = 0;
         i < POLLS_MAX && listener->vtable->open_requests(listener) == 0; i++)
    {
        g_usleep(POLL_US);
    }
    nm_api_listener_http_free(listener);
    g_assert_true(g_str_has_prefix(read_response(fd), "HTTP/1.1 503"));
    close(fd);
}

/* --- bodies --- */

static void
set_routes(nm_api_listener_t *listener)
{
    nm_queue_rule_t rule = {.host = "h", .prefix = "/a/"};
    nm_queue_config_t queue_config = {
        .rules = &rule, .rule_count = 1, .body_max_bytes = 1000};
    listener->vtable->set_routes(listener, &queue_config);
}

static void
send_body(int fd, const char *path, size_t bytes, bool chunked)
{
    GString *text = g_string_new(NULL);
    g_string_printf(text, "POST %s HTTP/1.1\r\nHost: h\r\n", path);
    if (chunked) {
        g_string_append(text, "Transfer-Encoding: chunked\r\n\r\n");
        g_string_append_printf(text, "%zx\r\n", bytes);
    }
    else {
        g_string_append_printf(text, "Content-Length: %zu\r\n\r\n", bytes);
    }
    for (size_t i = 0; i < bytes; i++) {
        g_string_append_c(text, 'x');
    }
    g_string_append(text, chunked ? "\r\n0\r\n\r\n" : "");
    (void)send(fd, text->str, text->len, MSG_NOSIGNAL);
    g_string_free(text, TRUE);
}

/*
 * A body is kept for a route within the limit only.  Guards against memory
 * that is taken for paths without a route, and against a job whose body was
 * discarded and that is then taken for an empty one.
 */
static void
test_bodies_are_kept_for_routes(void)
{
    static const struct {
        const char *name;
        const char *path;
        bool has_routes;
        bool chunked;
        size_t bytes;
        /* 0: the request reaches the control thread, with this result. */
        int status;
        size_t kept_bytes;
        bool discarded;
        bool too_large;
    } cases[] = {
        {"with a route", "/a/1", true, false, 1000, 0, 1000, false, false},
        {"in chunks", "/a/1", true, true, 1000, 0, 1000, false, false},
        {"without a route", "/b/1", true, false, 1000, 0, 0, true, false},
        {"no configuration", "/a/1", false, false, 1000, 0, 0, true, false},
        {"no body, no route", "/b/1", true, false, 0, 0, 0, false, false},
        {"over the limit", "/a/1", true, false, 1001, 0, 0, true, true},
        {"over it in chunks", "/a/1", true, true, 4000, 0, 0, true, true},
        {"far over the limit", "/a/1", true, false, 4001, 413, 0, false,
         false},
        {"far over it in chunks", "/a/1", true, true, 4001, -1, 0, false,
         false},
    };
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_api_listener_t *listener = start_listener();
        if (cases[i].has_routes) {
            set_routes(listener);
        }
        int fd = open_connection();
        send_body(fd, cases[i].path, cases[i].bytes, cases[i].chunked);
        if (cases[i].status == 0) {
            nm_api_request_t *request = take_request(listener);
            g_assert_cmpuint(request->body->len, ==, cases[i].kept_bytes);
            g_assert_cmpint(request->body_discarded, ==, cases[i].discarded);
            g_assert_cmpint(request->too_large, ==, cases[i].too_large);
            answer(listener, request);
        }
        const char *response = read_response(fd);
        g_assert_cmpint(strstr(response, "Connection: close") != NULL, ==,
                        cases[i].too_large || cases[i].status == 413);
        if (cases[i].status > 0) {
            g_assert_true(g_str_has_prefix(response, "HTTP/1.1 413"));
        }
        else if (cases[i].status < 0) {
            g_assert_cmpstr(response, ==, "");
        }
        close(fd);
        nm_api_listener_http_free(listener);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/listener/refusal-on-a-kept-connection",
                    test_refusal_on_a_kept_connection);
    g_test_add_func("/listener/queued-request-is-refused-at-the-end",
                    test_queued_request_is_refused_at_the_end);
    g_test_add_func("/listener/bodies-are-kept-for-routes",
                    test_bodies_are_kept_for_routes);
    return g_test_run();
}
