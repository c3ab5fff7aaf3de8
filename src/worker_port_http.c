#include "worker_port.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>

#include "worker_json.h"

/* A sync with a longer reply fails. */
#define REPLY_MAX_BYTES (4 * 1024 * 1024)
/* Connections to workers that are kept open between syncs. */
#define CONNECTION_CACHE_MAX 4096L
/* At shutdown, interval of the rounds that wait for the last replies. */
#define SHUTDOWN_WAIT_MS 50

typedef struct {
    nm_worker_port_t base;
    CURLM *multi;
    GQueue calls; /* of call_t, in the order of their timeouts */
    nm_clock_t clock;
    nm_ms_t round_ms;  /* time of the last round */
    nm_ms_t active_ms; /* time that this host was at work */
    nm_ms_t timeout_ms;
    nm_worker_reply_t decoded; /* reply of the last event */
    struct curl_slist *headers;
} http_port_t;

typedef struct {
    uint64_t worker;
    uint64_t sequence;
    CURL *easy;
    GList link;
    nm_ms_t fails_ms; /* of active_ms */
    char *request;
    GString *body;
} call_t;

static size_t
read_body(char *data, size_t size, size_t count, void *user)
{
    call_t *call = user;
    size_t bytes = size * count;
    if (call->body->len + bytes > REPLY_MAX_BYTES) {
        return 0;
    }
    g_string_append_len(call->body, data, (gssize)bytes);
    return bytes;
}

static int
http_sync(nm_worker_port_t *port, const nm_sync_t *sync)
{
    http_port_t *http = (http_port_t *)port;
    CURL *easy = curl_easy_init();
    if (!easy) {
        return NM_ERR_NO_MEMORY;
    }
    call_t *call = g_new0(call_t, 1);
    call->worker = sync->worker;
    call->sequence = sync->sequence;
    call->body = g_string_new(NULL);
    call->easy = easy;
    call->fails_ms = http->active_ms + http->timeout_ms;
    call->link.data = call;
    g_queue_push_tail_link(&http->calls, &call->link);
    json_t *json = nm_worker_sync_encode(sync);
    call->request = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    char url[320];
    snprintf(url, sizeof(url), "%s/v1/sync", sync->address);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(easy, CURLOPT_POSTFIELDS, call->request);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, http->headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, read_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_multi_add_handle(http->multi, easy);
    return NM_OK;
}

/*
 * Sends and receives without waiting, then advances the timeouts, of which a
 * stall of this host is no part.
 */
static void
perform(http_port_t *http)
{
    int running = 0;
    curl_multi_perform(http->multi, &running);
    nm_ms_t now_ms = nm_clock_now(&http->clock);
    http->active_ms += MIN(now_ms - http->round_ms, NM_LOCAL_STALL_MIN_MS);
    http->round_ms = now_ms;
}

static void
http_wait(nm_worker_port_t *port, nm_ms_t wait_ms, int extra_fd)
{
    http_port_t *http = (http_port_t *)port;
    struct curl_waitfd extra = {.fd = extra_fd, .events = CURL_WAIT_POLLIN};
    perform(http);
    curl_multi_poll(http->multi, &extra, extra_fd >= 0 ? 1 : 0, (int)wait_ms,
                    NULL);
    perform(http);
}

static void
http_wake(nm_worker_port_t *port)
{
    curl_multi_wakeup(((http_port_t *)port)->multi);
}

static bool
decode_response(http_port_t *http, CURL *easy, const call_t *call)
{
    long status = 0;
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    if (status != 200) {
        return false;
    }
    json_t *json = json_loadb(call->body->str, call->body->len, 0, NULL);
    int rc = nm_worker_reply_decode(json, &http->decoded);
    json_decref(json);
    return rc == NM_OK;
}

/* Returns the next call that has ended or timed out, or NULL. */
static call_t *
find_ended_call(http_port_t *http, CURLcode *code)
{
    int messages_left;
    CURLMsg *message = curl_multi_info_read(http->multi, &messages_left);
    if (message) {
        call_t *call = NULL;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &call);
        *code = message->data.result;
        return call;
    }
    call_t *oldest = g_queue_peek_head(&http->calls);
    *code = CURLE_OPERATION_TIMEDOUT;
    return oldest && http->active_ms >= oldest->fails_ms ? oldest : NULL;
}

static bool
http_next(nm_worker_port_t *port, nm_worker_event_t *event)
{
    http_port_t *http = (http_port_t *)port;
    nm_worker_reply_finish(&http->decoded);
    CURLcode code;
    call_t *call = find_ended_call(http, &code);
    if (!call) {
        return false;
    }
    *event = (nm_worker_event_t){
        .worker = call->worker,
        .sequence = call->sequence,
        .succeeded =
            code == CURLE_OK && decode_response(http, call->easy, call),
    };
    event->reply = http->decoded.reply;
    g_queue_unlink(&http->calls, &call->link);
    curl_multi_remove_handle(http->multi, call->easy);
    curl_easy_cleanup(call->easy);
    free(call->request);
    g_string_free(call->body, TRUE);
    g_free(call);
    return true;
}

static void
http_free(nm_worker_port_t *port)
{
    http_port_t *http = (http_port_t *)port;
    nm_worker_event_t event;
    while (http->calls.length > 0) {
        perform(http);
        while (http_next(port, &event)) {
        }
        curl_multi_poll(http->multi, NULL, 0,
                        http->calls.length > 0 ? SHUTDOWN_WAIT_MS : 0, NULL);
    }
    nm_worker_reply_finish(&http->decoded);
    curl_multi_cleanup(http->multi);
    curl_slist_free_all(http->headers);
    g_free(http);
}

static const nm_worker_port_vtable_t http_vtable = {
    .sync = http_sync,
    .wait = http_wait,
    .wake = http_wake,
    .next = http_next,
    .free = http_free,
};

nm_worker_port_t *
nm_worker_port_http_new(nm_ms_t timeout_ms)
{
    http_port_t *http = g_new0(http_port_t, 1);
    http->base.vtable = &http_vtable;
    http->multi = curl_multi_init();
    http->timeout_ms = timeout_ms;
    g_queue_init(&http->calls);
    nm_clock_init_monotonic(&http->clock);
    http->round_ms = nm_clock_now(&http->clock);
    curl_multi_setopt(http->multi, CURLMOPT_MAXCONNECTS, CONNECTION_CACHE_MAX);
    http->headers = curl_slist_append(NULL, "Content-Type: application/json");
    http->headers = curl_slist_append(http->headers, "Expect:");
    return &http->base;
}
