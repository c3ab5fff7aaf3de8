/*
 * List of machines over HTTP: pages are joined, and a listing that is not
 * complete is an error.
 */
#include <string.h>

#include <glib.h>

#include "../platform/machines_http.h"
#include "lib_http.h"

/* A listing must complete within POLLS_MAX polls of POLL_MS each. */
#define POLLS_MAX 300
#define POLL_MS 10
#define PAGES 3

#define ROW(machine, state, id)                                               \
    "{\"machine\":\"" machine "\",\"pool\":\"s\",\"state\":\"" state          \
    "\",\"zone\":\"z\",\"labels\":[],\"capacity\":{}," id "}"
#define PAGE(rows, next) "{\"machines\":[" rows "],\"nextPageToken\":" next "}"

typedef struct {
    unsigned status;
    const char *pages[PAGES]; /* the last one is repeated */
    uint32_t calls;
    char tokens[256]; /* of all calls */
} server_t;

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **context)
{
    (void)method;
    (void)version;
    if (!fake_collect_body(context, data, data_size)) {
        return MHD_YES;
    }
    server_t *server = user;
    g_assert_cmpstr(url, ==, "/machines");
    g_strlcat(server->tokens,
              fake_query_argument(connection, "pageToken", "-"),
              sizeof(server->tokens));
    uint32_t page = MIN(server->calls, PAGES - 1);
    while (page > 0 && !server->pages[page]) {
        page--;
    }
    server->calls++;
    return fake_respond(connection, server->status, "application/json",
                        server->pages[page]);
}

typedef struct {
    bool done;
    int rc;
    uint32_t pages;
    char rows[256]; /* machine, state and worker of each */
} listing_t;

static void
on_machines(void *user, const nm_machine_list_t *list)
{
    listing_t *listing = user;
    listing->done = true;
    listing->rc = list->rc;
    listing->pages = list->pages;
    for (uint32_t i = 0; i < list->count; i++) {
        char row[192];
        g_snprintf(row, sizeof(row), "%s:%d:%s ", list->machines[i].machine,
                   (int)list->machines[i].state, list->machines[i].worker);
        g_strlcat(listing->rows, row, sizeof(listing->rows));
    }
}

static void
test_listings(void)
{
    static const struct {
        const char *name;
        unsigned status;
        const char *pages[PAGES];
        int rc;
        const char *rows;
        const char *tokens;
    } cases[] = {
        {"one page",
         200,
         {PAGE(ROW("m1", "up", "\"id\":\"i1\""), "null")},
         NM_OK,
         "m1:0:i1 ",
         "-"},
        {"no further page",
         200,
         {PAGE(ROW("m1", "up", "\"id\":\"i1\""), "\"\"")},
         NM_OK,
         "m1:0:i1 ",
         "-"},
        {"states",
         200,
         {PAGE(ROW("m1", "moving", "\"id\":null") "," ROW(
                   "m2", "upkeep",
                   "\"id\":\"\"") "," ROW("m3", "down",
                                          "\"x\":1") "," ROW("m4", "down",
                                                             "\"id\":\"i4\""),
               "null")},
         NM_OK,
         "m1:1: m2:2: m3:3: m4:3:i4 ",
         "-"},
        {"pages",
         200,
         {PAGE(ROW("m1", "up", "\"id\":\"i1\""), "\"a&b\""),
          PAGE(ROW("m2", "up", "\"id\":\"i2\""), "\"c\""), PAGE("", "null")},
         NM_OK,
         "m1:0:i1 m2:0:i2 ",
         "-a&bc"},
        {"a machine twice",
         200,
         {PAGE(ROW("m1", "up", "\"id\":\"i1\""), "\"a\""),
          PAGE(ROW("m1", "up", "\"id\":\"i1\""), "null")},
         NM_ERR_CORRUPT,
         "",
         "-a"},
        {"up without a worker",
         200,
         {PAGE(ROW("m1", "up", "\"id\":null"), "null")},
         NM_ERR_CORRUPT,
         "",
         "-"},
        {"unknown state",
         200,
         {PAGE(ROW("m1", "gone", "\"id\":\"i1\""), "null")},
         NM_ERR_CORRUPT,
         "",
         "-"},
        {"id of another type",
         200,
         {PAGE(ROW("m1", "down", "\"id\":7"), "null")},
         NM_ERR_CORRUPT,
         "",
         "-"},
        {"token of another type",
         200,
         {PAGE(ROW("m1", "up", "\"id\":\"i1\""), "7")},
         NM_ERR_CORRUPT,
         "",
         "-"},
        {"no list", 200, {"{}"}, NM_ERR_CORRUPT, "", "-"},
        {"cut off", 200, {"{\"machines\":["}, NM_ERR_CORRUPT, "", "-"},
        {"too many calls", 429, {"{}"}, NM_ERR_UNAVAILABLE, "", "-"},
        {"unavailable", 503, {"{}"}, NM_ERR_UNAVAILABLE, "", "-"},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        server_t server = {.status = cases[i].status};
        memcpy(server.pages, cases[i].pages, sizeof(server.pages));
        struct MHD_Daemon *daemon = MHD_start_daemon(
            MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, on_request, &server,
            MHD_OPTION_NOTIFY_COMPLETED, fake_free_body, NULL, MHD_OPTION_END);
        g_assert_nonnull(daemon);
        char address[32];
        g_snprintf(
            address, sizeof(address), "127.0.0.1:%u",
            MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
        nm_http_t *http = nm_http_new();
        nm_machines_http_t machines;
        listing_t listing = {0};
        nm_machine_port_list(nm_machines_http_init(&machines, http, address),
                             on_machines, &listing);
        for (int p = 0; p < POLLS_MAX && !listing.done; p++) {
            nm_http_poll(http, NULL, 0, POLL_MS);
        }
        MHD_stop_daemon(daemon);
        nm_http_free(http);
        g_assert_true(listing.done);
        g_assert_cmpint(listing.rc, ==, cases[i].rc);
        g_assert_cmpstr(listing.rows, ==, cases[i].rows);
        g_assert_cmpstr(server.tokens, ==, cases[i].tokens);
        g_assert_cmpuint(listing.pages, ==, server.calls);
    }
}

/* Load: a platform whose pages never end. */
static void
test_pages_are_bounded(void)
{
    enum { CALLS_MAX = 100 };
    server_t server = {.status = 200, .pages = {PAGE("", "\"a\"")}};
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD, 0, NULL, NULL, on_request, &server,
        MHD_OPTION_NOTIFY_COMPLETED, fake_free_body, NULL, MHD_OPTION_END);
    g_assert_nonnull(daemon);
    char address[32];
    g_snprintf(address, sizeof(address), "127.0.0.1:%u",
               MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port);
    nm_http_t *http = nm_http_new();
    nm_machines_http_t machines;
    listing_t listing = {0};
    nm_machine_port_list(nm_machines_http_init(&machines, http, address),
                         on_machines, &listing);
    for (int p = 0; p < 10 * POLLS_MAX && !listing.done; p++) {
        nm_http_poll(http, NULL, 0, POLL_MS);
    }
    MHD_stop_daemon(daemon);
    nm_http_free(http);
    g_assert_cmpint(listing.rc, ==, NM_ERR_CORRUPT);
    g_assert_cmpuint(server.calls, <=, CALLS_MAX);
}

/* Nothing listens there. */
static void
test_no_response(void)
{
    nm_http_t *http = nm_http_new();
    nm_machines_http_t machines;
    listing_t listing = {0};
    nm_machine_port_list(nm_machines_http_init(&machines, http, "127.0.0.1:1"),
                         on_machines, &listing);
    for (int p = 0; p < POLLS_MAX && !listing.done; p++) {
        nm_http_poll(http, NULL, 0, POLL_MS);
    }
    nm_http_free(http);
    g_assert_true(listing.done);
    g_assert_cmpint(listing.rc, ==, NM_ERR_UNAVAILABLE);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions();
    g_test_add_func("/machines/listings", test_listings);
    g_test_add_func("/machines/pages-are-bounded", test_pages_are_bounded);
    g_test_add_func("/machines/no-response", test_no_response);
    return g_test_run();
}
