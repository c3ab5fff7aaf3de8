/*
 * Tests of the platform's HTTP adapters against servers on loopback.
 *
 * They guard against wrong conclusions from a response, or from none: an order
 * or commit that may have taken effect must not be reported as not run, and an
 * incomplete report of a worker not as complete.
 */

#include <arpa/inet.h>
#include <poll.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ck_pr.h>
#include <glib.h>

#include "../platform/kv_http.h"
#include "../platform/orders_http.h"

#define KEEPALIVE_RESPONSE                                                    \
    "HTTP/1.1 200 OK\r\nContent-Length: 15\r\n\r\n{\"clockMs\":500}"
/* A request must complete within POLLS_MAX polls of POLL_MS each. */
#define POLLS_MAX 300
#define POLL_MS 10

/*
 * Accepts one connection and sends the next response for each request.  NULL
 * ends the list: the connection is closed without a response.
 */
typedef struct {
    int listener;
    uint16_t port;
    const char *const *responses;
    bool close_listener; /* at the end, before closing the connection */
    char request[8192];  /* the newest one */
} server_t;

static void *
serve(void *user)
{
    server_t *server = user;
    int connection = accept(server->listener, NULL, NULL);
    for (const char *const *response = server->responses; connection >= 0;
         response++)
    {
        ssize_t bytes =
            recv(connection, server->request, sizeof(server->request) - 1, 0);
        if (bytes <= 0) {
            break;
        }
        server->request[bytes] = '\0';
        if (!*response) {
            if (server->close_listener) {
                close(server->listener);
            }
            break;
        }
        send(connection, *response, strlen(*response), MSG_NOSIGNAL);
    }
    close(connection);
    return NULL;
}

/* Returns a listening socket and sets its port. */
static int
listen_on_loopback(uint16_t *port)
{
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    int listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(bind(listener, (struct sockaddr *)&address, size), ==, 0);
    listen(listener, 8);
    getsockname(listener, (struct sockaddr *)&address, &size);
    *port = ntohs(address.sin_port);
    return listener;
}

static void
server_start(server_t *server, pthread_t *thread)
{
    server->listener = listen_on_loopback(&server->port);
    pthread_create(thread, NULL, serve, server);
}

typedef struct {
    uint32_t completions;
    nm_order_result_t result;
    bool report_complete;
    int64_t end_unread;
    size_t checkpoint_bytes;  /* of the first run and end */
    uint64_t checkpoint_hash; /* of the first run */
    uint32_t running;
    uint32_t ends;
} outcome_t;

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    (void)action;
    outcome_t *outcome = user;
    outcome->completions++;
    outcome->result = result;
    if (report) {
        outcome->report_complete = report->complete;
        outcome->end_unread = report->end_unread;
        if (report->running_count > 0) {
            const char *checkpoint = report->running[0].checkpoint;
            outcome->checkpoint_bytes += checkpoint ? strlen(checkpoint) : 0;
            outcome->checkpoint_hash = report->running[0].checkpoint_hash;
        }
        if (report->end_count > 0) {
            const char *checkpoint = report->ends[0].checkpoint;
            outcome->checkpoint_bytes += checkpoint ? strlen(checkpoint) : 0;
        }
        outcome->running = report->running_count;
        outcome->ends = report->end_count;
    }
}

static void
wait_for_completions(nm_http_t *http, const uint32_t *completions,
                     uint32_t count)
{
    for (int i = 0; i < POLLS_MAX && *completions < count; i++) {
        nm_http_poll(http, NULL, 0, POLL_MS);
    }
    g_assert_cmpuint(*completions, ==, count);
}

static void
send_order(nm_order_port_t *port, const server_t *server,
           nm_sched_action_type_t type, outcome_t *outcome)
{
    nm_sched_action_t action = {.type = type,
                                .worker = "w",
                                .task = "5c0e7a21d94b36f8.0.0.0",
                                .run = 1,
                                .payload = "",
                                .checkpoint = ""};
    g_snprintf(action.address, sizeof(action.address), "127.0.0.1:%u",
               server->port);
    nm_order_port_send(port, &action, 1, on_order, outcome);
}

/*
 * When a kept connection closes during a request, libcurl sends the request
 * again on a new one.  If that is refused, the order must not count as not
 * run: the worker may have processed the first transmission.
 */
static void
test_request_resent_by_libcurl(void)
{
    static const char *const responses[] = {KEEPALIVE_RESPONSE, NULL};
    server_t server = {.responses = responses, .close_listener = true};
    pthread_t thread;
    server_start(&server, &thread);
    nm_http_t *http = nm_http_new();
    nm_orders_http_t orders;
    nm_order_port_t *port = nm_orders_http_init(&orders, http);
    outcome_t outcome = {0};
    send_order(port, &server, NM_ACTION_START, &outcome);
    wait_for_completions(http, &outcome.completions, 1);
    g_assert_cmpint(outcome.result, ==, NM_ORDER_DONE);
    send_order(port, &server, NM_ACTION_START, &outcome);
    wait_for_completions(http, &outcome.completions, 2);
    g_assert_cmpint(outcome.result, ==, NM_ORDER_UNKNOWN);
    pthread_join(thread, NULL);
    nm_http_free(http);
}

/*
 * Accepts connections one after the other.  On the first one it responds to
 * the first request, reads the second one and closes, with a reset or without;
 * on further ones it responds to each request with a refusal.
 */
typedef struct {
    int listener;
    uint16_t port;
    bool resets;
    const char *refusal;
    uint32_t requests; /* read so far */
    uint32_t stopping;
} closing_server_t;

static void *
serve_and_close(void *user)
{
    closing_server_t *server = user;
    char buffer[8192];
    for (int number = 0; !ck_pr_load_32(&server->stopping); number++) {
        int connection = accept(server->listener, NULL, NULL);
        while (recv(connection, buffer, sizeof(buffer), 0) > 0) {
            ck_pr_inc_32(&server->requests);
            bool closes = ck_pr_load_32(&server->requests) == 2;
            if (closes) {
                struct linger reset_linger = {server->resets, 0};
                setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset_linger,
                           sizeof(reset_linger));
                break;
            }
            const char *response =
                number == 0 ? KEEPALIVE_RESPONSE : server->refusal;
            send(connection, response, strlen(response), MSG_NOSIGNAL);
        }
        close(connection);
    }
    return NULL;
}

static void
start_closing_server(closing_server_t *server, pthread_t *thread)
{
    server->listener = listen_on_loopback(&server->port);
    pthread_create(thread, NULL, serve_and_close, server);
}

static void
stop_closing_server(closing_server_t *server, pthread_t thread)
{
    ck_pr_store_32(&server->stopping, 1);
    shutdown(server->listener, SHUT_RDWR);
    pthread_join(thread, NULL);
    close(server->listener);
}

#define REFUSAL(status) "HTTP/1.1 " status " x\r\nContent-Length: 2\r\n\r\n{}"
#define CONFLICT(reason)                                                      \
    "HTTP/1.1 409 x\r\nContent-Length: 18\r\n\r\n{\"reason\":\"" reason "\"}"

/*
 * Refusals of a second transmission, of a request whose first one was read and
 * may have been carried out.
 */
static const struct {
    const char *refusal;
    bool resets;
} resend_cases[] = {
    {REFUSAL("503"), false}, {REFUSAL("503"), true},
    {REFUSAL("429"), false}, {REFUSAL("429"), true},
    {REFUSAL("421"), true},  {REFUSAL("412"), true},
    {REFUSAL("404"), true},  {CONFLICT("fence"), true},
};

/* A start that was read must not be taken for not run. */
static void
test_refused_second_start_is_unknown(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(resend_cases); i++) {
        g_test_message("case %zu", i);
        closing_server_t server = {.refusal = resend_cases[i].refusal,
                                   .resets = resend_cases[i].resets};
        pthread_t thread;
        start_closing_server(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_orders_http_t orders;
        nm_order_port_t *port = nm_orders_http_init(&orders, http);
        outcome_t outcome = {0};
        server_t target = {.port = server.port};
        send_order(port, &target, NM_ACTION_START, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        send_order(port, &target, NM_ACTION_START, &outcome);
        wait_for_completions(http, &outcome.completions, 2);
        g_assert_cmpint(outcome.result, ==, NM_ORDER_UNKNOWN);
        g_assert_cmpuint(ck_pr_load_32(&server.requests), ==, 2);
        nm_http_free(http);
        stop_closing_server(&server, thread);
    }
}

#define CLOCK_RESPONSE(status, bytes, fields)                                 \
    "HTTP/1.1 " status " \r\nContent-Length: " bytes                          \
    "\r\n\r\n{\"clockMs\":" fields "}"
/* The worker's clock shows 3300 or more when the start is sent. */
static const struct {
    const char *name;
    const char *response;
    nm_ms_t valid_ms;
    nm_order_result_t result;
} clock_cases[] = {
    {"begun", CLOCK_RESPONSE("200", "16", "3300"), 1700, NM_ORDER_DONE},
    {"begun-by-a-rounded-clock", CLOCK_RESPONSE("200", "16", "3201"), 1700,
     NM_ORDER_DONE},
    {"begun-after-a-restart", CLOCK_RESPONSE("200", "15", "500"), 1700,
     NM_ORDER_LATER_INCARNATION},
    {"no-room-after-a-restart",
     CLOCK_RESPONSE("409", "31", "500,\"reason\":\"room\""), 1700,
     NM_ORDER_LATER_INCARNATION},
    {"fenced-after-a-restart",
     CLOCK_RESPONSE("409", "32", "500,\"reason\":\"fence\""), 1700,
     NM_ORDER_FENCED},
    {"by-an-older-owner", CLOCK_RESPONSE("200", "15", "500"), 0,
     NM_ORDER_DONE},
};

/* The header of an order does not tell two incarnations of one id apart. */
static void
test_start_that_a_restarted_worker_answers(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(clock_cases); i++) {
        g_test_message("%s", clock_cases[i].name);
        const char *responses[] = {clock_cases[i].response, NULL};
        server_t server = {.responses = responses};
        pthread_t thread;
        server_start(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_orders_http_t orders;
        nm_order_port_t *port = nm_orders_http_init(&orders, http);
        outcome_t outcome = {0};
        nm_sched_action_t start = {.type = NM_ACTION_START,
                                   .worker = "w",
                                   .task = "5c0e7a21d94b36f8.0.0.0",
                                   .run = 1,
                                   .expiry_ms = 5000,
                                   .valid_ms = clock_cases[i].valid_ms,
                                   .payload = "",
                                   .checkpoint = ""};
        g_snprintf(start.address, sizeof(start.address), "127.0.0.1:%u",
                   server.port);
        nm_order_port_send(port, &start, 1, on_order, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        g_assert_cmpint(outcome.result, ==, clock_cases[i].result);
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
    }
}

/*
 * Responses to a poll, and the reports decoded from them.  A malformed row
 * must make the report incomplete: tasks that are missing from a complete
 * report are scheduled again.
 */
static const struct {
    const char *name;
    const char *body;
    nm_order_result_t result;
    bool complete;
    uint32_t running;
    uint32_t ends;
    int64_t end_unread; /* the first one that has to stay with the worker */
} report_cases[] = {
    {"whole",
     "{\"born\":1,\"clockMs\":5,\"running\":[[\"a.0.0.0\",1,\"\",100,3]],"
     "\"finished\":[[1,\"b.0.0.0\",1,\"done\",\"\"]]}",
     NM_ORDER_DONE, true, 1, 1, 0},
    {"run-without-name",
     "{\"born\":1,\"clockMs\":5,\"running\":[[7,1,\"\",100],"
     "[\"a.0.0.0\",1,\"\",100]],\"finished\":[]}",
     NM_ORDER_DONE, false, 1, 0, 0},
    {"run-not-a-row",
     "{\"born\":1,\"clockMs\":5,\"running\":[\"a.0.0.0\"],\"finished\":[]}",
     NM_ORDER_DONE, false, 0, 0, 0},
    {"end-of-unknown-kind",
     "{\"born\":1,\"clockMs\":5,\"running\":[],"
     "\"finished\":[[1,\"b.0.0.0\",1,\"vanished\",\"\"]]}",
     NM_ORDER_DONE, false, 0, 1, 0},
    {"end-without-task",
     "{\"born\":1,\"clockMs\":5,\"running\":[],"
     "\"finished\":[[1,7,1,\"done\",\"\"],[2,\"b.0.0.0\",1,\"done\",\"\"]]}",
     NM_ORDER_DONE, false, 0, 1, 1},
    {"end-without-run",
     "{\"born\":1,\"clockMs\":5,\"running\":[],\"finished\":["
     "[4,\"b.0.0.0\",1,\"done\",\"\"],[5,\"b.0.0.1\",-1,\"done\",\"\"],"
     "[6,\"b.0.0.2\",1,\"failed\",\"\"],[\"x\",\"b.0.0.3\",1,\"done\",\"\"]]}",
     NM_ORDER_DONE, false, 0, 2, 5},
    {"no-lists", "{\"born\":1,\"clockMs\":5}", NM_ORDER_UNKNOWN, true, 0, 0,
     0},
    {"not-json", "hello", NM_ORDER_UNKNOWN, true, 0, 0, 0},
    {"run-over-int64",
     "{\"born\":1,\"clockMs\":5,\"running\":[[\"a.0.0.0\",1e300,\"\",100,3],"
     "[\"b.0.0.0\",1,\"\",100,3]],\"finished\":[]}",
     NM_ORDER_DONE, false, 1, 0, 0},
    {"run-negative",
     "{\"born\":1,\"clockMs\":5,\"running\":[[\"a.0.0.0\",-1,\"\",100,3]],"
     "\"finished\":[]}",
     NM_ORDER_DONE, false, 0, 0, 0},
    {"figure-over-int64",
     "{\"born\":1,\"clockMs\":5,"
     "\"running\":[[\"a.0.0.0\",1,\"\",100,1e300]],\"finished\":[]}",
     NM_ORDER_DONE, true, 1, 0, 0},
    {"end-number-2^63-1",
     "{\"born\":1,\"clockMs\":5,\"running\":[],\"finished\":["
     "[1,\"b.0.0.0\",1,\"done\",\"\"],"
     "[9223372036854775807,\"b.0.0.1\",1,\"done\",\"\"]]}",
     NM_ORDER_DONE, false, 0, 1, 2},
    {"end-number-fractional",
     "{\"born\":1,\"clockMs\":5,\"running\":[],"
     "\"finished\":[[1.5,\"b.0.0.0\",1,\"done\",\"\"]]}",
     NM_ORDER_DONE, false, 0, 0, 1},
    {"end-not-a-row",
     "{\"born\":1,\"clockMs\":5,\"running\":[],\"finished\":[7]}",
     NM_ORDER_DONE, false, 0, 0, 1},
    {"clock-2^63-1",
     "{\"born\":1,\"clockMs\":9223372036854775807,\"running\":[],"
     "\"finished\":[]}",
     NM_ORDER_UNKNOWN, true, 0, 0, 0},
    {"clock-negative",
     "{\"born\":1,\"clockMs\":-1,\"running\":[],\"finished\":[]}",
     NM_ORDER_UNKNOWN, true, 0, 0, 0},
    {"clock-missing", "{\"born\":1,\"running\":[],\"finished\":[]}",
     NM_ORDER_UNKNOWN, true, 0, 0, 0},
    {"born-2^63-1",
     "{\"born\":9223372036854775807,\"clockMs\":5,\"running\":[],"
     "\"finished\":[]}",
     NM_ORDER_UNKNOWN, true, 0, 0, 0},
    {"born-missing", "{\"clockMs\":5,\"running\":[],\"finished\":[]}",
     NM_ORDER_UNKNOWN, true, 0, 0, 0},
    {"number-over-int64",
     "{\"born\":1,\"clockMs\":9223372036854775808,\"running\":[],"
     "\"finished\":[]}",
     NM_ORDER_UNKNOWN, true, 0, 0, 0},
    {"duplicate-lists",
     "{\"born\":1,\"clockMs\":5,\"running\":[],\"finished\":[],"
     "\"running\":[[\"a.0.0.0\",1,\"\",100,3]]}",
     NM_ORDER_UNKNOWN, true, 0, 0, 0},
};

/* The worker compares tokens, so that each order has to carry its own. */
static void
test_orders_carry_their_fencing_token(void)
{
    static const char *const responses[] = {KEEPALIVE_RESPONSE, NULL};
    for (int type = NM_ACTION_START; type <= NM_ACTION_THROTTLE; type++) {
        server_t server = {.responses = responses};
        pthread_t thread;
        server_start(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_orders_http_t orders;
        nm_order_port_t *port = nm_orders_http_init(&orders, http);
        nm_sched_action_t action = {.type = (nm_sched_action_type_t)type,
                                    .worker = "w",
                                    .fence_seq = 5,
                                    .payload = "",
                                    .checkpoint = ""};
        g_snprintf(action.address, sizeof(action.address), "127.0.0.1:%u",
                   server.port);
        outcome_t outcome = {0};
        nm_order_port_send(port, &action, 3, on_order, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
        g_assert_nonnull(strstr(server.request, "\"fencingToken\":3145733"));
    }
}

static void
test_reports(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(report_cases); i++) {
        g_test_message("%s", report_cases[i].name);
        char *response = g_strdup_printf(
            "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
            strlen(report_cases[i].body), report_cases[i].body);
        const char *const responses[] = {response, NULL};
        server_t server = {.responses = responses};
        pthread_t thread;
        server_start(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_orders_http_t orders;
        nm_order_port_t *port = nm_orders_http_init(&orders, http);
        outcome_t outcome = {0};
        send_order(port, &server, NM_ACTION_POLL, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        g_assert_cmpint(outcome.result, ==, report_cases[i].result);
        g_assert_cmpint(outcome.report_complete, ==, report_cases[i].complete);
        g_assert_cmpuint(outcome.running, ==, report_cases[i].running);
        g_assert_cmpuint(outcome.ends, ==, report_cases[i].ends);
        g_assert_cmpint(outcome.end_unread, ==, report_cases[i].end_unread);
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
        g_free(response);
    }
}

/*
 * Responses of a worker to an order.  An order may count as without effect
 * only if the response says so; after other failures its outcome is unknown.
 */
static const struct {
    const char *response;
    nm_order_result_t result;
} status_cases[] = {
    {KEEPALIVE_RESPONSE, NM_ORDER_DONE},
    {"HTTP/1.1 409 x\r\nContent-Length: 18\r\n\r\n{\"reason\":\"fence\"}",
     NM_ORDER_FENCED},
    {"HTTP/1.1 409 x\r\nContent-Length: 16\r\n\r\n{\"reason\":\"old\"}",
     NM_ORDER_SUPERSEDED},
    {"HTTP/1.1 409 x\r\nContent-Length: 17\r\n\r\n{\"reason\":\"late\"}",
     NM_ORDER_EXPIRED},
    {"HTTP/1.1 409 x\r\nContent-Length: 17\r\n\r\n{\"reason\":\"room\"}",
     NM_ORDER_NO_CAPACITY},
    {"HTTP/1.1 409 x\r\nContent-Length: 2\r\n\r\n{}", NM_ORDER_UNKNOWN},
    {"HTTP/1.1 421 x\r\nContent-Length: 0\r\n\r\n",
     NM_ORDER_WRONG_INCARNATION},
    {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", NM_ORDER_NOT_RUN},
    {"HTTP/1.1 400 x\r\nContent-Length: 0\r\n\r\n", NM_ORDER_INVALID},
    {"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", NM_ORDER_UNKNOWN},
};

/*
 * Guards against LOST: ends whose checkpoints are long, and all later ones,
 * were left out of reports, so that their tasks and jobs stood still.
 */
static void
test_long_checkpoints_hide_no_rows(void)
{
    enum { ROW_COUNT = 2 };
    static const uint32_t lengths[] = {0,    1,    127,  128, 160,
                                       3000, 4096, 4097, 6000};
    for (size_t i = 0; i < NM_COUNT_OF(lengths); i++) {
        g_test_message("%u bytes", lengths[i]);
        char *text = g_strnfill(lengths[i], 'x');
        char *body = g_strdup_printf(
            "{\"born\":1,\"clockMs\":5,\"running\":[[\"a.0.0.0\",1,\"%s\",100,"
            "3],"
            "[\"a.0.0.1\",1,\"\",100,3]],\"finished\":[[1,\"b.0.0.0\",1,"
            "\"failed\",\"%s\"],[2,\"b.0.0.1\",1,\"done\",\"\"]]}",
            text, text);
        char *response =
            g_strdup_printf("HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                            strlen(body), body);
        const char *const responses[] = {response, NULL};
        server_t server = {.responses = responses};
        pthread_t thread;
        server_start(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_orders_http_t orders;
        nm_order_port_t *port = nm_orders_http_init(&orders, http);
        outcome_t outcome = {0};
        send_order(port, &server, NM_ACTION_POLL, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        bool is_kept = lengths[i] <= NM_CHECKPOINT_BYTES_MAX;
        uint32_t kept_bytes = is_kept ? lengths[i] : 0;
        g_assert_cmpint(outcome.result, ==, NM_ORDER_DONE);
        g_assert_true(outcome.report_complete);
        g_assert_cmpuint(outcome.running, ==, ROW_COUNT);
        g_assert_cmpuint(outcome.ends, ==, ROW_COUNT);
        g_assert_cmpuint(outcome.checkpoint_bytes, ==, 2 * kept_bytes);
        g_assert_true((outcome.checkpoint_hash > 0) == !is_kept);
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
        g_free(response);
        g_free(body);
        g_free(text);
    }
}

static void
test_statuses(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(status_cases); i++) {
        g_test_message("case %zu", i);
        const char *const responses[] = {status_cases[i].response, NULL};
        server_t server = {.responses = responses};
        pthread_t thread;
        server_start(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_orders_http_t orders;
        nm_order_port_t *port = nm_orders_http_init(&orders, http);
        outcome_t outcome = {0};
        send_order(port, &server, NM_ACTION_START, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        g_assert_cmpint(outcome.result, ==, status_cases[i].result);
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
    }
}

typedef struct {
    uint32_t completions;
    int rc;
    uint32_t items;
    int64_t revision;
} kv_outcome_t;

static void
on_kv(void *user, const nm_kv_result_t *result)
{
    kv_outcome_t *outcome = user;
    outcome->completions++;
    outcome->rc = result->rc;
    outcome->items = result->item_count;
    outcome->revision = result->revision;
}

/*
 * Responses of the store to a commit.  A commit whose response is lost or
 * malformed may have taken effect.
 */
static const struct {
    const char *response; /* NULL: the connection closes */
    int rc;
    uint32_t items;
} kv_cases[] = {
    {"HTTP/1.1 200 x\r\nContent-Length: 16\r\n\r\n{\"revision\":412}", NM_OK,
     0},
    {"HTTP/1.1 200 x\r\nContent-Length: 2\r\n\r\nno", NM_ERR_LOST, 0},
    {"HTTP/1.1 412 x\r\nContent-Length: 39\r\n\r\n"
     "{\"items\":[{\"key\":\"a\",\"revision\":3},{}]}",
     NM_ERR_CONFLICT, 1},
    {"HTTP/1.1 404 x\r\nContent-Length: 0\r\n\r\n", NM_ERR_NOT_FOUND, 0},
    {"HTTP/1.1 429 x\r\nContent-Length: 0\r\n\r\n", NM_ERR_UNAVAILABLE, 0},
    {"HTTP/1.1 503 x\r\nContent-Length: 0\r\n\r\n", NM_ERR_UNAVAILABLE, 0},
    {"HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n", NM_ERR_LOST, 0},
    {NULL, NM_ERR_LOST, 0},
};

static void
test_store(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(kv_cases); i++) {
        g_test_message("case %zu", i);
        const char *const responses[] = {kv_cases[i].response, NULL};
        server_t server = {.responses = responses};
        pthread_t thread;
        server_start(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_kv_http_t store;
        char address[NM_NAME_MAX];
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", server.port);
        nm_kv_t *kv = nm_kv_http_init(&store, http, address);
        nm_store_txn_t txn;
        nm_store_txn_init(&txn);
        nm_store_txn_put(&txn, "a", "1", 1, 0);
        kv_outcome_t outcome = {0};
        nm_kv_commit(kv, &txn, on_kv, &outcome);
        nm_store_txn_finish(&txn);
        wait_for_completions(http, &outcome.completions, 1);
        g_assert_cmpint(outcome.rc, ==, kv_cases[i].rc);
        g_assert_cmpuint(outcome.items, ==, kv_cases[i].items);
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
    }
}

/* A commit that was read must not be taken for without effect. */
static void
test_refused_second_commit_is_lost(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(resend_cases); i++) {
        g_test_message("case %zu", i);
        closing_server_t server = {.refusal = resend_cases[i].refusal,
                                   .resets = resend_cases[i].resets};
        pthread_t thread;
        start_closing_server(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_kv_http_t store;
        char address[NM_NAME_MAX];
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", server.port);
        nm_kv_t *kv = nm_kv_http_init(&store, http, address);
        kv_outcome_t outcome = {0};
        for (uint32_t call = 1; call <= 2; call++) {
            nm_store_txn_t txn;
            nm_store_txn_init(&txn);
            nm_store_txn_put(&txn, "a", "1", 1, 0);
            nm_kv_commit(kv, &txn, on_kv, &outcome);
            nm_store_txn_finish(&txn);
            wait_for_completions(http, &outcome.completions, call);
        }
        g_assert_cmpint(outcome.rc, ==, NM_ERR_LOST);
        g_assert_cmpuint(ck_pr_load_32(&server.requests), ==, 2);
        nm_http_free(http);
        stop_closing_server(&server, thread);
    }
}

#define GOOD_ITEM "{\"key\":\"servers/a\",\"value\":\"e30=\",\"revision\":3}"
#define OTHER_ITEM "{\"key\":\"servers/z\",\"value\":\"e30=\",\"revision\":4}"

/* Items beside two good ones in a listing; bytes as the store may send them.
 */
static const struct {
    const char *name;
    const char *item;
    uint32_t items; /* delivered */
} odd_item_cases[] = {
    {"no item", "{}", 2},
    {"not an object", "7", 2},
    {"key no string", "{\"key\":7,\"value\":\"e30=\",\"revision\":3}", 2},
    {"key with zero",
     "{\"key\":\"servers/b\\u0000c\",\"value\":\"e30=\",\"revision\":3}", 2},
    {"key not UTF-8",
     "{\"key\":\"servers/b\xff\",\"value\":\"e30=\",\"revision\":3}", 3},
    {"value not base64",
     "{\"key\":\"servers/b\",\"value\":\"\xc3\xa9!\",\"revision\":3}", 3},
    {"value empty", "{\"key\":\"servers/b\",\"value\":\"\",\"revision\":3}",
     3},
    {"value no string", "{\"key\":\"servers/b\",\"value\":[],\"revision\":3}",
     3},
};

/* One odd item must not hide the others of its page. */
static void
test_odd_item_hides_its_page(void)
{
    char *long_key = g_strnfill(NM_STORE_KEY_MAX_BYTES, 'k');
    char *long_item = g_strdup_printf(
        "{\"key\":\"%s\",\"value\":\"e30=\",\"revision\":3}", long_key);
    for (size_t i = 0; i <= NM_COUNT_OF(odd_item_cases); i++) {
        bool is_long = i == NM_COUNT_OF(odd_item_cases);
        const char *item = is_long ? long_item : odd_item_cases[i].item;
        char *body = g_strdup_printf(
            "{\"items\":[" GOOD_ITEM ",%s," OTHER_ITEM "],\"asOf\":9}", item);
        char *response =
            g_strdup_printf("HTTP/1.1 200 x\r\nContent-Length: %zu\r\n\r\n%s",
                            strlen(body), body);
        g_test_message("%s", is_long ? "long key" : odd_item_cases[i].name);
        const char *const responses[] = {response, NULL};
        server_t server = {.responses = responses};
        pthread_t thread;
        server_start(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_kv_http_t store;
        char address[NM_NAME_MAX];
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", server.port);
        kv_outcome_t outcome = {0};
        nm_kv_range(nm_kv_http_init(&store, http, address), "servers/", "",
                    on_kv, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        g_assert_cmpint(outcome.rc, ==, NM_OK);
        g_assert_cmpint(outcome.revision, ==, 9);
        g_assert_cmpuint(outcome.items, ==,
                         is_long ? 2 : odd_item_cases[i].items);
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
        g_free(response);
        g_free(body);
    }
    g_free(long_item);
    g_free(long_key);
}

/*
 * A list without the store's revision is none: taken for an empty one, it
 * would say that all keys are deleted.
 */
static void
test_list_without_revision_is_no_list(void)
{
    static const struct {
        const char *body;
        int rc;
    } cases[] = {
        {"{}", NM_ERR_CORRUPT},
        {"{\"items\":[]}", NM_ERR_CORRUPT},
        {"{\"items\":[],\"asOf\":0}", NM_ERR_CORRUPT},
        {"{\"items\":[],\"asOf\":\"9\"}", NM_ERR_CORRUPT},
        {"{\"items\":[],\"asOf\":9}", NM_OK},
        {"{\"asOf\":9}", NM_OK},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].body);
        char *response =
            g_strdup_printf("HTTP/1.1 200 x\r\nContent-Length: %zu\r\n\r\n%s",
                            strlen(cases[i].body), cases[i].body);
        const char *const responses[] = {response, NULL};
        server_t server = {.responses = responses};
        pthread_t thread;
        server_start(&server, &thread);
        nm_http_t *http = nm_http_new();
        nm_kv_http_t store;
        char address[NM_NAME_MAX];
        g_snprintf(address, sizeof(address), "127.0.0.1:%u", server.port);
        kv_outcome_t outcome = {0};
        nm_kv_range(nm_kv_http_init(&store, http, address), "servers/", "",
                    on_kv, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        if (outcome.rc != cases[i].rc) {
            g_test_message("result %d, not %d", outcome.rc, cases[i].rc);
            g_test_fail();
        }
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
        g_free(response);
    }
}

/* Sends a response in pieces, with a pause after each. */
typedef struct {
    int listener;
    uint16_t port;
    uint32_t pieces;   /* sent, of the PIECES of the whole response */
    uint32_t delay_ms; /* before the response */
} slow_server_t;

#define PIECES 8
#define PIECE_BYTES 4096
#define PIECE_PAUSE_MS 250

static void *
serve_slowly(void *user)
{
    slow_server_t *server = user;
    int connection = accept(server->listener, NULL, NULL);
    char buffer[8192];
    if (recv(connection, buffer, sizeof(buffer), 0) > 0) {
        char head[64];
        g_usleep(server->delay_ms * 1000);
        g_snprintf(head, sizeof(head),
                   "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n",
                   PIECES * PIECE_BYTES);
        send(connection, head, strlen(head), MSG_NOSIGNAL);
        memset(buffer, 'x', sizeof(buffer));
        for (uint32_t i = 0; i < server->pieces; i++) {
            send(connection, buffer, PIECE_BYTES, MSG_NOSIGNAL);
            g_usleep(PIECE_PAUSE_MS * 1000);
        }
        /* Sends nothing more until the client closes the connection. */
        recv(connection, buffer, sizeof(buffer), 0);
    }
    close(connection);
    return NULL;
}

typedef struct {
    uint32_t completions;
    int status;
    size_t bytes;
} slow_outcome_t;

static void
on_slow_response(void *user, const nm_http_response_t *response)
{
    slow_outcome_t *outcome = user;
    outcome->completions++;
    outcome->status = response->status;
    outcome->bytes = response->bytes;
}

/*
 * Load: a large configuration that is read over a slow link with a short
 * timeout, as after an outage.  The response takes longer than the timeout but
 * arrives steadily, so the request must succeed; one that stalls must fail.
 */
static void
test_large_response_on_a_slow_link(void)
{
    static const struct {
        const char *name;
        uint32_t pieces;
        int status;
    } slow_cases[] = {{"whole", PIECES, 200}, {"stalls", 3, 0}};
    for (size_t i = 0; i < NM_COUNT_OF(slow_cases); i++) {
        g_test_message("%s", slow_cases[i].name);
        slow_server_t server = {.pieces = slow_cases[i].pieces};
        server.listener = listen_on_loopback(&server.port);
        pthread_t thread;
        pthread_create(&thread, NULL, serve_slowly, &server);
        nm_http_t *http = nm_http_new();
        char url[64];
        g_snprintf(url, sizeof(url), "http://127.0.0.1:%u/", server.port);
        slow_outcome_t outcome = {0};
        nm_http_send(
            http,
            &(nm_http_request_t){.url = url,
                                 .timeout_ms = 3 * PIECE_PAUSE_MS,
                                 .idle_timeout_ms = 4 * PIECE_PAUSE_MS},
            on_slow_response, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        g_assert_cmpint(outcome.status, ==, slow_cases[i].status);
        if (outcome.status == 200) {
            g_assert_cmpuint(outcome.bytes, ==, PIECES * PIECE_BYTES);
        }
        nm_http_free(http);
        pthread_join(thread, NULL);
        close(server.listener);
    }
}

/*
 * A watch after a failure waits for 50 ms only, but the link may be as slow as
 * it was for the one that failed.
 */
static void
test_short_watch_has_time_for_its_response(void)
{
    slow_server_t server = {.pieces = PIECES, .delay_ms = 1000};
    server.listener = listen_on_loopback(&server.port);
    pthread_t thread;
    pthread_create(&thread, NULL, serve_slowly, &server);
    nm_http_t *http = nm_http_new();
    nm_kv_http_t store;
    char address[NM_NAME_MAX];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", server.port);
    kv_outcome_t outcome = {0};
    nm_kv_watch(nm_kv_http_init(&store, http, address), "op/", 1, 50, on_kv,
                &outcome);
    wait_for_completions(http, &outcome.completions, 1);
    /* All of the response has arrived; it is no JSON. */
    g_assert_cmpint(outcome.rc, ==, NM_ERR_CORRUPT);
    nm_http_free(http);
    pthread_join(thread, NULL);
    close(server.listener);
}

/*
 * Connections do not open, as behind a filled link: a try after a failure is
 * given more time, not the same over and over.
 */
static void
test_connection_is_given_more_time(void)
{
    enum { PENDING = 4, FIRST_MS = 600, SLACK_MS = 100 };
    uint16_t port;
    int listener = listen_on_loopback(&port);
    /* Connections beyond the backlog are not accepted by the system either. */
    listen(listener, 0);
    struct sockaddr_in target = {.sin_family = AF_INET,
                                 .sin_port = htons(port),
                                 .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    int pending[PENDING];
    for (int i = 0; i < PENDING; i++) {
        pending[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        connect(pending[i], (struct sockaddr *)&target, sizeof(target));
    }
    nm_http_t *http = nm_http_new();
    nm_kv_http_t store;
    char address[NM_NAME_MAX];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", port);
    nm_kv_t *kv = nm_kv_http_init(&store, http, address);
    for (int try = 0; try < 2; try++) {
        nm_ms_t began_ms = nm_now_monotonic();
        kv_outcome_t outcome = {0};
        nm_kv_watch(kv, "op/", 1, 50, on_kv, &outcome);
        wait_for_completions(http, &outcome.completions, 1);
        nm_ms_t took_ms = nm_now_monotonic() - began_ms;
        g_assert_cmpint(outcome.rc, ==, NM_ERR_UNAVAILABLE);
        g_assert_cmpint(took_ms, >=, (FIRST_MS << try) - SLACK_MS);
    }
    nm_http_free(http);
    for (int i = 0; i < PENDING; i++) {
        close(pending[i]);
    }
    close(listener);
}

#define CONNECTIONS_MAX 16

/* Accepts connections, and responds on those from a number on. */
typedef struct {
    int listener;
    uint16_t port;
    uint32_t silent; /* the first ones, which have gone silent */
    uint32_t accepted;
    uint32_t stopped;
} silent_server_t;

static void *
serve_unless_silent(void *user)
{
    static const char response[] =
        "HTTP/1.1 200 OK\r\nContent-Length: 11\r\n\r\n{\"lease\":1}";
    silent_server_t *server = user;
    struct pollfd fds[CONNECTIONS_MAX + 1] = {
        {.fd = server->listener, .events = POLLIN}};
    nfds_t count = 1;
    while (!ck_pr_load_32(&server->stopped)) {
        poll(fds, count, POLL_MS);
        for (nfds_t i = 1; i < count; i++) {
            char buffer[4096];
            if (fds[i].fd < 0 || !(fds[i].revents & (POLLIN | POLLHUP))) {
                continue;
            }
            if (recv(fds[i].fd, buffer, sizeof(buffer), 0) <= 0) {
                close(fds[i].fd);
                fds[i].fd = -1;
            }
            else if (i > ck_pr_load_32(&server->silent)) {
                send(fds[i].fd, response, strlen(response), MSG_NOSIGNAL);
            }
        }
        if ((fds[0].revents & POLLIN) && count <= CONNECTIONS_MAX) {
            fds[count++] = (struct pollfd){
                .fd = accept(server->listener, NULL, NULL), .events = POLLIN};
            ck_pr_inc_32(&server->accepted);
        }
    }
    for (nfds_t i = 1; i < count; i++) {
        if (fds[i].fd >= 0) {
            close(fds[i].fd);
        }
    }
    return NULL;
}

static void
poll_for(nm_http_t *http, nm_ms_t duration_ms)
{
    nm_ms_t end_ms = nm_now_monotonic() + duration_ms;
    while (nm_now_monotonic() < end_ms) {
        nm_http_poll(http, NULL, 0, POLL_MS);
    }
}

/*
 * Kept connections to the store go silent for good, and new ones work.  The
 * first renewal has to wait; the next one must not wait on another of them.
 */
static void
test_silent_connections_are_not_used_again(void)
{
    enum {
        KEPT = 4,
        AGE_MS = 2500,
        RENEW_INTERVAL_MS = 400,
        RESPONSE_MAX_MS = 500
    };
    silent_server_t server = {0};
    server.listener = listen_on_loopback(&server.port);
    pthread_t thread;
    pthread_create(&thread, NULL, serve_unless_silent, &server);
    nm_http_t *http = nm_http_new();
    nm_kv_http_t store;
    char address[NM_NAME_MAX];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u", server.port);
    nm_kv_t *kv = nm_kv_http_init(&store, http, address);
    kv_outcome_t kept = {0};
    for (int i = 0; i < KEPT; i++) {
        nm_kv_lease_keepalive(kv, 1, on_kv, &kept);
    }
    wait_for_completions(http, &kept.completions, KEPT);
    g_assert_cmpuint(ck_pr_load_32(&server.accepted), ==, KEPT);
    poll_for(http, AGE_MS);
    ck_pr_store_32(&server.silent, KEPT);
    kv_outcome_t first = {0};
    nm_kv_lease_keepalive(kv, 1, on_kv, &first);
    poll_for(http, RENEW_INTERVAL_MS);
    g_assert_cmpuint(first.completions, ==, 0);
    kv_outcome_t next[2] = {0};
    for (size_t i = 0; i < NM_COUNT_OF(next); i++) {
        nm_kv_lease_keepalive(kv, 1, on_kv, &next[i]);
        poll_for(http, RESPONSE_MAX_MS);
        g_assert_cmpuint(next[i].completions, ==, 1);
        g_assert_cmpint(next[i].rc, ==, NM_OK);
    }
    wait_for_completions(http, &first.completions, 1);
    g_assert_cmpint(first.rc, ==, NM_ERR_LOST);
    nm_http_free(http);
    ck_pr_store_32(&server.stopped, 1);
    pthread_join(thread, NULL);
    close(server.listener);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/platform/start-that-a-restarted-worker-answers",
                    test_start_that_a_restarted_worker_answers);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/platform/refused-second-start-is-unknown",
                    test_refused_second_start_is_unknown);
    g_test_add_func("/platform/refused-second-commit-is-lost",
                    test_refused_second_commit_is_lost);
    g_test_add_func("/platform/request-resent-by-libcurl",
                    test_request_resent_by_libcurl);
    g_test_add_func("/platform/reports", test_reports);
    g_test_add_func("/platform/statuses", test_statuses);
    g_test_add_func("/platform/store", test_store);
    g_test_add_func("/platform/odd-item-hides-its-page",
                    test_odd_item_hides_its_page);
    g_test_add_func("/platform/long-checkpoints-hide-no-rows",
                    test_long_checkpoints_hide_no_rows);
    g_test_add_func("/platform/orders-carry-their-fencing-token",
                    test_orders_carry_their_fencing_token);
    g_test_add_func("/platform/list-without-revision-is-no-list",
                    test_list_without_revision_is_no_list);
    g_test_add_func("/platform/large-response-on-a-slow-link",
                    test_large_response_on_a_slow_link);
    g_test_add_func("/platform/short-watch-has-time-for-its-response",
                    test_short_watch_has_time_for_its_response);
    g_test_add_func("/platform/connection-is-given-more-time",
                    test_connection_is_given_more_time);
    g_test_add_func("/platform/silent-connections-are-not-used-again",
                    test_silent_connections_are_not_used_again);
    return g_test_run();
}
