/*
 * The HTTP adapter against a server on raw sockets.
 *
 * Guards against a non-idempotent request that is sent twice when its
 * connection breaks, and against an incomplete response that is taken for a
 * complete one.  Each case makes two calls: the first succeeds and leaves an
 * idle connection, the second meets the case's response.
 */

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ck_pr.h>
#include <glib.h>

#include "../src/upstream.h"

typedef struct {
    const char *name;
    const char *response; /* to the second call; NULL: close without one */
    const char *method;
    nm_outcome_t outcome; /* expected, of the second call */
    uint32_t received;    /* expected requests during the second call */
    /* To further requests of the second call; NULL: no further connection. */
    const char *repetition_response;
} server_case_t;

#define OK_RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

#define NOT_RUN_RESPONSE                                                      \
    "HTTP/1.1 503 Busy\r\nNutmegdeck-Verdict: not-run\r\n"                    \
    "Content-Length: 0\r\n\r\n"

static const server_case_t cases[] = {
    /* A refusal of libcurl's repetition must not hide the first request. */
    {"repetition-not-run", NULL, "GET", NM_OUTCOME_RESET, 2, NOT_RUN_RESPONSE},
    {"repetition-refused", NULL, "GET", NM_OUTCOME_RESET, 1, NULL},
    {"repetition-complete", NULL, "GET", NM_OUTCOME_RESPONDED, 2, OK_RESPONSE},
    /* On a reused connection, libcurl would send the request again. */
    {"post-closed-after-read", NULL, "POST", NM_OUTCOME_RESET, 1, NULL},
    {"complete", OK_RESPONSE, "GET", NM_OUTCOME_RESPONDED, 1, NULL},
    {"truncated-body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", "GET",
     NM_OUTCOME_TRUNCATED, 1, NULL},
    {"truncated-chunks",
     "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", "GET",
     NM_OUTCOME_TRUNCATED, 1, NULL},
    {"close-delimited", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
     "GET", NM_OUTCOME_TRUNCATED, 1, NULL},
    {"unavailable", "HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", "GET",
     NM_OUTCOME_UNAVAILABLE, 1, NULL},
    {"not-run", NOT_RUN_RESPONSE, "POST", NM_OUTCOME_NOT_RUN, 1, NULL},
    {"not-http", "hello\r\n\r\n", "GET", NM_OUTCOME_RESET, 1, NULL},
};

typedef struct {
    const server_case_t *test;
    int listener;
    int backlog;
    uint16_t port;
    uint32_t second_call; /* 1 during the second call */
    uint32_t received;
} server_t;

typedef struct {
    server_t *server;
    int socket;
} connection_t;

static void *
serve_connection(void *user)
{
    connection_t *connection = user;
    server_t *server = connection->server;
    char buffer[4096];
    while (recv(connection->socket, buffer, sizeof(buffer), 0) > 0) {
        const char *response = OK_RESPONSE;
        bool is_second_call = ck_pr_load_32(&server->second_call);
        if (is_second_call) {
            response = ck_pr_faa_32(&server->received, 1) == 0
                           ? server->test->response
                           : server->test->repetition_response;
            if (!response && !server->test->repetition_response) {
                shutdown(server->listener, SHUT_RDWR);
            }
        }
        if (response) {
            send(connection->socket, response, strlen(response), MSG_NOSIGNAL);
        }
        if (is_second_call &&
            (!response || strcmp(response, OK_RESPONSE) != 0)) {
            break;
        }
    }
    close(connection->socket);
    g_free(connection);
    return NULL;
}

static void *
serve(void *user)
{
    server_t *server = user;
    for (;;) {
        int socket = accept(server->listener, NULL, NULL);
        if (socket < 0) {
            return NULL;
        }
        connection_t *connection = g_new0(connection_t, 1);
        connection->server = server;
        connection->socket = socket;
        pthread_t thread;
        pthread_create(&thread, NULL, serve_connection, connection);
        pthread_detach(thread);
    }
}

static void
listen_on_loopback(server_t *server)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    server->listener = socket(AF_INET, SOCK_STREAM, 0);
    bind(server->listener, (struct sockaddr *)&address, size);
    listen(server->listener, server->backlog);
    getsockname(server->listener, (struct sockaddr *)&address, &size);
    server->port = ntohs(address.sin_port);
}

static nm_outcome_t
call_with_stall(nm_upstream_t *upstream, const server_t *server,
                const char *method, nm_attempt_t attempt, nm_ms_t stall_ms)
{
    nm_exchange_t *exchange = nm_exchange_new();
    exchange->method = g_strdup(method);
    exchange->target = g_strdup("/x");
    char address[64];
    g_snprintf(address, sizeof(address), "http://127.0.0.1:%u", server->port);
    nm_upstream_send(upstream,
                     &(nm_upstream_request_t){
                         .attempt = attempt,
                         .address = address,
                         .fresh_connection = !nm_method_is_idempotent(method),
                         .timeout_ms = 2000,
                         .exchange = exchange,
                     });
    nm_upstream_result_t result;
    nm_upstream_wait(upstream, 20);
    g_usleep((gulong)stall_ms * 1000);
    while (!nm_upstream_next(upstream, &result)) {
        nm_upstream_wait(upstream, 20);
    }
    g_assert_cmpuint(result.attempt, ==, attempt);
    nm_outcome_t outcome = result.outcome;
    nm_response_finish(&result.response);
    nm_exchange_free(exchange);
    return outcome;
}

static nm_outcome_t
call(nm_upstream_t *upstream, const server_t *server, const char *method,
     nm_attempt_t attempt)
{
    return call_with_stall(upstream, server, method, attempt, 0);
}

static void
test_case(const void *data)
{
    server_t server = {.test = data, .backlog = 8};
    listen_on_loopback(&server);
    pthread_t thread;
    pthread_create(&thread, NULL, serve, &server);
    nm_upstream_t *upstream =
        nm_upstream_http_new(&(nm_upstream_http_desc_t){0});
    g_assert_cmpint(call(upstream, &server, "GET", 1), ==,
                    NM_OUTCOME_RESPONDED);
    ck_pr_store_32(&server.second_call, 1);
    g_assert_cmpint(call(upstream, &server, server.test->method, 2), ==,
                    server.test->outcome);
    g_assert_cmpuint(ck_pr_load_32(&server.received), ==,
                     server.test->received);
    nm_upstream_free(upstream);
    shutdown(server.listener, SHUT_RDWR);
    close(server.listener);
    pthread_join(thread, NULL);
    /* Lets the connection threads notice that the client has closed. */
    g_usleep(20000);
}

/* A refused connection is told from a reset one: the request did not run. */
static void
test_refused(void)
{
    server_t server = {0};
    listen_on_loopback(&server);
    close(server.listener);
    nm_upstream_t *upstream =
        nm_upstream_http_new(&(nm_upstream_http_desc_t){0});
    g_assert_cmpint(call(upstream, &server, "POST", 1), ==,
                    NM_OUTCOME_REFUSED);
    nm_upstream_free(upstream);
}

/*
 * A connection that is not yet accepted when its time is over: if this host
 * stalled meanwhile, the executor is not known to refuse requests.
 */
static void
test_own_stall_is_no_refusal(void)
{
    static const struct {
        nm_ms_t stall_ms;
        nm_outcome_t outcome;
    } stalls[] = {{0, NM_OUTCOME_REFUSED}, {1200, NM_OUTCOME_NOT_SENT}};
    for (size_t i = 0; i < NM_COUNT_OF(stalls); i++) {
        server_t server = {.backlog = 0};
        listen_on_loopback(&server);
        struct sockaddr_in address = {
            .sin_family = AF_INET,
            .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
            .sin_port = htons(server.port),
        };
        /* Fills the backlog. */
        int first = socket(AF_INET, SOCK_STREAM, 0);
        connect(first, (struct sockaddr *)&address, sizeof(address));
        nm_upstream_t *upstream =
            nm_upstream_http_new(&(nm_upstream_http_desc_t){0});
        g_assert_cmpint(
            call_with_stall(upstream, &server, "POST", 1, stalls[i].stall_ms),
            ==, stalls[i].outcome);
        nm_upstream_free(upstream);
        close(first);
        close(server.listener);
    }
}

/* An attempt keeps the body that it sends after the request has ended. */
static void
test_body_outlives_exchange(void)
{
    nm_exchange_t *exchange = nm_exchange_new();
    g_byte_array_append(exchange->body, (const guint8 *)"body", 4);
    GByteArray *body = g_byte_array_ref(exchange->body);
    nm_exchange_free(exchange);
    g_assert_cmpmem(body->data, body->len, "body", 4);
    g_byte_array_unref(body);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/upstream/body-outlives-exchange",
                    test_body_outlives_exchange);
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        char *path = g_strdup_printf("/upstream/%s", cases[i].name);
        g_test_add_data_func(path, &cases[i], test_case);
        g_free(path);
    }
    g_test_add_func("/upstream/refused", test_refused);
    g_test_add_func("/upstream/own-stall-is-no-refusal",
                    test_own_stall_is_no_refusal);
    return g_test_run();
}
