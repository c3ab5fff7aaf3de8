/*
 * Tests of the connections that starts are sent on, against a worker on
 * loopback that restarts under its id and at its address.
 *
 * They guard against a start that reaches a later incarnation than the one
 * that it was meant for, which the header of an order does not tell apart.
 */

#include <arpa/inet.h>
#include <pthread.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <ck_pr.h>
#include <glib.h>

#include "../platform/orders_http.h"

/* An order must complete within POLLS_MAX polls of POLL_MS each. */
#define POLLS_MAX 300
#define POLL_MS 10
#define FIRST_BORN 1000000
#define FIRST_CLOCK_MS 60000
#define NEXT_BORN 1061000
#define NEXT_CLOCK_MS 500
/* Shown by the first incarnation's clock as a start is ordered. */
#define ORDERED_CLOCK_MS 60000
#define VALID_MS 1700
#define REQUEST_MAX 4096

/*
 * The first incarnation responds on the first connections, the next one on the
 * others.  It ends after some responses, with its connection.
 */
typedef struct {
    int listener;
    uint16_t port;
    bool restarts;
    uint32_t first_responses; /* of the first connection, then it closes */
    bool has_no_clock;        /* its responses show nothing of it */
    uint32_t stopping;
    uint32_t ended; /* the first connection has been closed */
    uint32_t polls;
    uint32_t starts_of_first;
    uint32_t starts_of_next;
} worker_t;

static bool
respond(worker_t *worker, int connection, bool is_next, const char *request)
{
    bool is_poll = g_str_has_prefix(request, "POST /hold ");
    bool is_start = g_str_has_prefix(request, "POST /run-start ");
    ck_pr_add_32(&worker->polls, is_poll);
    ck_pr_add_32(&worker->starts_of_first, is_start && !is_next);
    ck_pr_add_32(&worker->starts_of_next, is_start && is_next);
    int64_t clock_ms = is_next ? NEXT_CLOCK_MS : FIRST_CLOCK_MS;
    char body[256] = "{}";
    if (is_poll) {
        g_snprintf(body, sizeof(body),
                   "{\"clockMs\":%" G_GINT64_FORMAT ",\"born\":%d,"
                   "\"running\":[],\"finished\":[]}",
                   clock_ms, is_next ? NEXT_BORN : FIRST_BORN);
    }
    else if (!worker->has_no_clock) {
        g_snprintf(body, sizeof(body), "{\"clockMs\":%" G_GINT64_FORMAT "}",
                   clock_ms);
    }
    char response[512];
    int bytes = g_snprintf(response, sizeof(response),
                           "HTTP/1.1 200 OK\r\nContent-Length: %zu\r\n\r\n%s",
                           strlen(body), body);
    return send(connection, response, (size_t)bytes, MSG_NOSIGNAL) == bytes;
}

static void *
serve(void *user)
{
    worker_t *worker = user;
    for (uint32_t number = 0; !ck_pr_load_32(&worker->stopping); number++) {
        int connection = accept(worker->listener, NULL, NULL);
        char request[REQUEST_MAX + 1];
        ssize_t bytes;
        uint32_t responses = 0;
        while ((number > 0 || responses < worker->first_responses) &&
               (bytes = recv(connection, request, REQUEST_MAX, 0)) > 0)
        {
            request[bytes] = '\0';
            bool is_next = worker->restarts && number > 0;
            responses += respond(worker, connection, is_next, request);
        }
        close(connection);
        ck_pr_store_32(&worker->ended, 1);
    }
    return NULL;
}

typedef struct {
    worker_t worker;
    pthread_t thread;
    nm_http_t *http;
    nm_orders_http_t orders;
    nm_order_port_t *port;
    uint32_t completions;
    nm_order_result_t result;
} rig_t;

static void
rig_start(rig_t *rig)
{
    worker_t *worker = &rig->worker;
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_addr.s_addr = htonl(INADDR_LOOPBACK),
    };
    socklen_t size = sizeof(address);
    worker->listener = socket(AF_INET, SOCK_STREAM, 0);
    g_assert_cmpint(bind(worker->listener, (struct sockaddr *)&address, size),
                    ==, 0);
    listen(worker->listener, 8);
    getsockname(worker->listener, (struct sockaddr *)&address, &size);
    worker->port = ntohs(address.sin_port);
    pthread_create(&rig->thread, NULL, serve, worker);
    rig->http = nm_http_new();
    rig->port = nm_orders_http_init(&rig->orders, rig->http);
}

static void
rig_finish(rig_t *rig)
{
    ck_pr_store_32(&rig->worker.stopping, 1);
    nm_http_free(rig->http);
    shutdown(rig->worker.listener, SHUT_RDWR);
    pthread_join(rig->thread, NULL);
    close(rig->worker.listener);
}

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    (void)action;
    (void)report;
    rig_t *rig = user;
    rig->completions++;
    rig->result = result;
}

/* Sends an order for the first incarnation and returns its result. */
static nm_order_result_t
order(rig_t *rig, nm_sched_action_type_t type)
{
    nm_sched_action_t action = {.type = type,
                                .worker = "w",
                                .incarnation = FIRST_BORN,
                                .task = "5c0e7a21d94b36f8.0.0.0",
                                .run = 1,
                                .payload = "",
                                .checkpoint = ""};
    if (type == NM_ACTION_START) {
        action.expiry_ms = ORDERED_CLOCK_MS + VALID_MS;
        action.valid_ms = VALID_MS;
    }
    g_snprintf(action.address, sizeof(action.address), "127.0.0.1:%u",
               rig->worker.port);
    uint32_t completions = rig->completions + 1;
    nm_order_port_send(rig->port, &action, 1, on_order, rig);
    for (int i = 0; i < POLLS_MAX && rig->completions < completions; i++) {
        nm_http_poll(rig->http, NULL, 0, POLL_MS);
    }
    g_assert_cmpuint(rig->completions, ==, completions);
    return rig->result;
}

static void
wait_for_end_of_first_connection(rig_t *rig)
{
    for (int i = 0; i < POLLS_MAX && !ck_pr_load_32(&rig->worker.ended); i++) {
        g_usleep(POLL_MS * 1000);
    }
    g_assert_true(ck_pr_load_32(&rig->worker.ended));
}

/*
 * What was sent before a start.  The worker ends afterwards if it restarts, or
 * closes the connection as idle.
 */
static const struct {
    const char *name;
    bool restarts;
    bool has_no_clock;
    uint32_t responses; /* on the first connection; 0: it is kept */
    nm_sched_action_type_t before;
    nm_order_result_t result;
    uint32_t proofs; /* polls that were sent for the start */
} cases[] = {
    {"restart-after-a-poll", true, false, 1, NM_ACTION_POLL, NM_ORDER_NOT_RUN,
     1},
    {"restart-after-a-stop", true, false, 1, NM_ACTION_STOP, NM_ORDER_NOT_RUN,
     1},
    {"kept-connection-after-a-poll", false, false, 0, NM_ACTION_POLL,
     NM_ORDER_DONE, 0},
    {"kept-connection-after-a-stop", false, false, 0, NM_ACTION_STOP,
     NM_ORDER_DONE, 0},
    {"kept-connection-that-shows-nothing", false, true, 0, NM_ACTION_STOP,
     NM_ORDER_DONE, 1},
    {"idle-connection-closed", false, false, 1, NM_ACTION_POLL, NM_ORDER_DONE,
     1},
};

static void
test_start_does_not_reach_a_later_incarnation(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        bool closes = cases[i].responses > 0;
        rig_t rig = {.worker = {.restarts = cases[i].restarts,
                                .has_no_clock = cases[i].has_no_clock,
                                .first_responses =
                                    closes ? cases[i].responses : UINT32_MAX}};
        rig_start(&rig);
        g_assert_cmpint(order(&rig, cases[i].before), ==, NM_ORDER_DONE);
        if (closes) {
            wait_for_end_of_first_connection(&rig);
        }
        uint32_t polls = ck_pr_load_32(&rig.worker.polls);
        nm_order_result_t result = order(&rig, NM_ACTION_START);
        g_assert_cmpuint(ck_pr_load_32(&rig.worker.starts_of_next), ==, 0);
        g_assert_cmpint(result, ==, cases[i].result);
        g_assert_cmpuint(ck_pr_load_32(&rig.worker.starts_of_first), ==,
                         cases[i].result == NM_ORDER_DONE);
        g_assert_cmpuint(ck_pr_load_32(&rig.worker.polls) - polls, ==,
                         cases[i].proofs);
        rig_finish(&rig);
    }
}

/* The next incarnation has been heard of on the connection that is kept. */
static void
test_connection_to_a_later_incarnation(void)
{
    static const nm_sched_action_type_t heard[] = {NM_ACTION_POLL,
                                                   NM_ACTION_STOP};
    for (size_t i = 0; i < NM_COUNT_OF(heard); i++) {
        rig_t rig = {.worker = {.restarts = true, .first_responses = 1}};
        rig_start(&rig);
        order(&rig, NM_ACTION_POLL);
        wait_for_end_of_first_connection(&rig);
        order(&rig, heard[i]);
        nm_order_result_t result = order(&rig, NM_ACTION_START);
        g_assert_cmpuint(ck_pr_load_32(&rig.worker.starts_of_next), ==, 0);
        g_assert_cmpint(result, ==, NM_ORDER_NOT_RUN);
        rig_finish(&rig);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/connections/start-does-not-reach-a-later-incarnation",
                    test_start_does_not_reach_a_later_incarnation);
    g_test_add_func("/connections/connection-to-a-later-incarnation",
                    test_connection_to_a_later_incarnation);
    return g_test_run();
}
