#include "upstream.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include <curl/curl.h>

#define DEFAULT_CONNECTIONS_PER_HOST 16
#define CONNECT_TIMEOUT_MS 1000
#define CONNECTION_CACHE_MAX 512
/* Kept-alive connections that were idle for longer are not reused. */
#define CONNECTION_IDLE_MAX_S 20L

typedef struct {
    nm_upstream_t base;
    CURLM *multi;
    GHashTable *transfers; /* attempt to transfer_t */
    nm_ms_t round_ms;      /* time of the last round */
    nm_ms_t stall_end_ms;  /* of the last stall of this host */
} http_t;

typedef struct {
    nm_attempt_t attempt;
    nm_ms_t sent_ms;
    CURL *easy;
    struct curl_slist *headers;
    GByteArray *body;
    nm_response_t response;
    bool to_peer;
    bool is_head;
    bool too_large;
    bool chunked;
    uint32_t transmissions; /* by libcurl, on one connection after the other */
} transfer_t;

static void
free_transfer(http_t *http, transfer_t *transfer)
{
    curl_multi_remove_handle(http->multi, transfer->easy);
    curl_easy_cleanup(transfer->easy);
    curl_slist_free_all(transfer->headers);
    g_byte_array_unref(transfer->body);
    nm_response_finish(&transfer->response);
    g_free(transfer);
}

/* Called before the request is sent on a connection, also for a repetition. */
static int
on_ready_to_send(void *user, char *remote_address, char *local_address,
                 int remote_port, int local_port)
{
    (void)remote_address;
    (void)local_address;
    (void)remote_port;
    (void)local_port;
    ((transfer_t *)user)->transmissions++;
    return CURL_PREREQFUNC_OK;
}

static size_t
read_body(char *data, size_t size, size_t count, void *user)
{
    transfer_t *transfer = user;
    size_t bytes = size * count;
    if (transfer->response.body->len + bytes > NM_RESPONSE_MAX_BYTES) {
        transfer->too_large = true;
        return 0;
    }
    g_byte_array_append(transfer->response.body, (guint8 *)data, (guint)bytes);
    return bytes;
}

static size_t
read_header(char *data, size_t size, size_t count, void *user)
{
    transfer_t *transfer = user;
    size_t bytes = size * count;
    char *line = g_strndup(data, bytes);
    g_strchomp(line);
    if (g_str_has_prefix(line, "HTTP/")) {
        /* A status line after an interim response starts a new head. */
        g_ptr_array_set_size(transfer->response.headers, 0);
        transfer->chunked = false;
    }
    else if (g_ascii_strncasecmp(line, "Transfer-Encoding:", 18) == 0) {
        transfer->chunked = strstr(line, "chunked") != NULL;
    }
    else if (strchr(line, ':')) {
        g_ptr_array_add(transfer->response.headers, line);
        return bytes;
    }
    g_free(line);
    return bytes;
}

static void
set_headers(transfer_t *transfer, const nm_upstream_request_t *request)
{
    const GPtrArray *source = request->exchange->headers;
    struct curl_slist *headers = NULL;
    for (uint32_t i = 0; i < source->len; i++) {
        headers = curl_slist_append(headers, source->pdata[i]);
    }
    headers = curl_slist_append(headers, "Expect:");
    char line[96];
    snprintf(line, sizeof(line), NM_HEADER_TIMEOUT ": %lld",
             (long long)request->timeout_ms);
    headers = curl_slist_append(headers, line);
    if (request->to_peer) {
        headers = curl_slist_append(headers, NM_HEADER_FORWARDED ": 1");
    }
    const char *key = request->exchange->idempotency_key;
    if (key) {
        char text[NM_IDEMPOTENCY_KEY_MAX_BYTES + 32];
        snprintf(text, sizeof(text), "Idempotency-Key: %s", key);
        headers = curl_slist_append(headers, text);
    }
    transfer->headers = headers;
    curl_easy_setopt(transfer->easy, CURLOPT_HTTPHEADER, headers);
}

static void
set_body(transfer_t *transfer, const nm_exchange_t *exchange)
{
    CURL *easy = transfer->easy;
    const char *method = exchange->method;
    transfer->body = g_byte_array_ref(exchange->body);
    transfer->is_head = strcmp(method, "HEAD") == 0;
    if (transfer->is_head) {
        curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
        return;
    }
    if (exchange->body->len > 0 || strcmp(method, "POST") == 0) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)exchange->body->len);
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS,
                         exchange->body->len ? (char *)exchange->body->data
                                             : "");
    }
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
}

static int
http_send(nm_upstream_t *upstream, const nm_upstream_request_t *request)
{
    http_t *http = (http_t *)upstream;
    CURL *easy = curl_easy_init();
    if (!easy) {
        return NM_ERR_NO_MEMORY;
    }
    transfer_t *transfer = g_new0(transfer_t, 1);
    transfer->attempt = request->attempt;
    transfer->sent_ms = nm_now_monotonic();
    transfer->easy = easy;
    transfer->to_peer = request->to_peer;
    nm_response_init(&transfer->response);
    char *url =
        g_strdup_printf("%s%s", request->address, request->exchange->target);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    g_free(url);
    curl_easy_setopt(easy, CURLOPT_PRIVATE, transfer);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, read_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, transfer);
    curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
                     (long)CONNECT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN, CONNECTION_IDLE_MAX_S);
    curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_ready_to_send);
    curl_easy_setopt(easy, CURLOPT_PREREQDATA, transfer);
    if (request->fresh_connection) {
        /* libcurl resends a request if a reused connection was closed. */
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    set_body(transfer, request->exchange);
    set_headers(transfer, request);
    g_hash_table_insert(http->transfers, (void *)(uintptr_t)request->attempt,
                        transfer);
    curl_multi_add_handle(http->multi, easy);
    return NM_OK;
}

static void
http_close(nm_upstream_t *upstream, nm_attempt_t attempt)
{
    http_t *http = (http_t *)upstream;
    void *key = (void *)(uintptr_t)attempt;
    transfer_t *transfer = g_hash_table_lookup(http->transfers, key);
    if (transfer) {
        g_hash_table_remove(http->transfers, key);
        free_transfer(http, transfer);
    }
}

/* Sends and receives, after a wait of at most wait_ms. */
static void
perform(http_t *http, nm_ms_t wait_ms)
{
    nm_ms_t now_ms = nm_now_monotonic();
    if (now_ms - http->round_ms >= wait_ms + NM_LOCAL_STALL_MIN_MS) {
        http->stall_end_ms = now_ms;
    }
    http->round_ms = now_ms;
    int running = 0;
    curl_multi_perform(http->multi, &running);
}

static void
http_wait(nm_upstream_t *upstream, nm_ms_t wait_ms)
{
    http_t *http = (http_t *)upstream;
    perform(http, 0);
    curl_multi_poll(http->multi, NULL, 0, (int)wait_ms, NULL);
    perform(http, wait_ms);
}

static void
http_set_connection_limit(nm_upstream_t *upstream, uint32_t connections)
{
    curl_multi_setopt(((http_t *)upstream)->multi,
                      CURLMOPT_MAX_HOST_CONNECTIONS, (long)connections);
}

static void
http_wake(nm_upstream_t *upstream)
{
    curl_multi_wakeup(((http_t *)upstream)->multi);
}

/* True if the response marks its end, so that truncation is detected. */
static bool
is_delimited(const transfer_t *transfer, long status)
{
    curl_off_t length = -1;
    curl_easy_getinfo(transfer->easy, CURLINFO_CONTENT_LENGTH_DOWNLOAD_T,
                      &length);
    return length >= 0 || transfer->chunked || transfer->is_head ||
           status == 204 || status == 304;
}

static nm_outcome_t
classify_error(const http_t *http, const transfer_t *transfer, CURLcode code)
{
    curl_off_t connect_us = 0;
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    if (transfer->too_large) {
        return NM_OUTCOME_TOO_LARGE;
    }
    /* A request that was never sent cannot have run. */
    if (transfer->transmissions == 0 && code == CURLE_OPERATION_TIMEDOUT &&
        connect_us == 0 && transfer->sent_ms <= http->stall_end_ms)
    {
        /* libcurl's timeout includes a stall of this host itself. */
        return NM_OUTCOME_NOT_SENT;
    }
    if (transfer->transmissions == 0 &&
        (code == CURLE_COULDNT_CONNECT ||
         (code == CURLE_OPERATION_TIMEDOUT && connect_us == 0)))
    {
        return NM_OUTCOME_REFUSED;
    }
    return status > 0 ? NM_OUTCOME_TRUNCATED : NM_OUTCOME_RESET;
}

static nm_outcome_t
classify_response(transfer_t *transfer)
{
    long status = 0;
    curl_easy_getinfo(transfer->easy, CURLINFO_RESPONSE_CODE, &status);
    transfer->response.status = (int)status;
    if (!is_delimited(transfer, status)) {
        return NM_OUTCOME_TRUNCATED;
    }
    const char *verdict =
        nm_header_find(transfer->response.headers, NM_HEADER_VERDICT);
    bool not_run = verdict && strcmp(verdict, "not-run") == 0;
    bool unknown = verdict && strcmp(verdict, "unknown") == 0;
    transfer->response.verdict = unknown ? NM_VERDICT_UNKNOWN : NM_VERDICT_RAN;
    if (not_run && status >= 500) {
        /* Says nothing about a transmission before the last one. */
        return transfer->transmissions > 1 ? NM_OUTCOME_RESET
                                           : NM_OUTCOME_NOT_RUN;
    }
    if (status == 503 && !transfer->to_peer) {
        transfer->response.verdict = NM_VERDICT_UNKNOWN;
        return NM_OUTCOME_UNAVAILABLE;
    }
    return NM_OUTCOME_RESPONDED;
}

static bool
http_next(nm_upstream_t *upstream, nm_upstream_result_t *result)
{
    http_t *http = (http_t *)upstream;
    int remaining;
    CURLMsg *message;
    while ((message = curl_multi_info_read(http->multi, &remaining))) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        transfer_t *transfer = NULL;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &transfer);
        CURLcode code = message->data.result;
        *result = (nm_upstream_result_t){.attempt = transfer->attempt};
        result->outcome = code == CURLE_OK
                              ? classify_response(transfer)
                              : classify_error(http, transfer, code);
        nm_response_move(&result->response, &transfer->response);
        http_close(upstream, transfer->attempt);
        return true;
    }
    return false;
}

static void
http_free(nm_upstream_t *upstream)
{
    http_t *http = (http_t *)upstream;
    GList *transfers = g_hash_table_get_values(http->transfers);
    for (GList *link = transfers; link; link = link->next) {
        free_transfer(http, link->data);
    }
    g_list_free(transfers);
    g_hash_table_unref(http->transfers);
    curl_multi_cleanup(http->multi);
    g_free(http);
}

static const nm_upstream_vtable_t http_vtable = {
    .send = http_send,
    .close = http_close,
    .wait = http_wait,
    .set_connection_limit = http_set_connection_limit,
    .wake = http_wake,
    .next = http_next,
    .free = http_free,
};

nm_upstream_t *
nm_upstream_http_new(const nm_upstream_http_desc_t *desc)
{
    assert(desc);
    http_t *http = g_new0(http_t, 1);
    http->base.vtable = &http_vtable;
    http->multi = curl_multi_init();
    long per_host = desc->connections_per_host
                        ? (long)desc->connections_per_host
                        : DEFAULT_CONNECTIONS_PER_HOST;
    curl_multi_setopt(http->multi, CURLMOPT_MAX_HOST_CONNECTIONS, per_host);
    curl_multi_setopt(http->multi, CURLMOPT_MAXCONNECTS,
                      (long)CONNECTION_CACHE_MAX);
    http->transfers = g_hash_table_new(g_direct_hash, g_direct_equal);
    http->round_ms = nm_now_monotonic();
    return &http->base;
}
