#include "listener.h"

#include <arpa/inet.h>
#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>
#include <jansson.h>
#include <microhttpd.h>

#define DEFAULT_THREADS 2
#define CONNECTIONS_MAX 8192
#define CONNECTION_MEMORY_BYTES (48 * 1024)
#define IDLE_TIMEOUT_S NM_LISTENER_IDLE_S
/*
 * Up to this multiple of the limit, a body is read and discarded, so that its
 * sender gets the response; the connection of a longer one is closed.
 */
#define DISCARDED_LIMITS_MAX 4
/* After a refusal for lack of memory. */
#define NO_MEMORY_RETRY_MS 1000
/* A caller's timeout of this or more is ignored. */
#define REQUEST_TIMEOUT_MAX_MS 600000

struct nm_listener {
    struct MHD_Daemon *daemon;
    nm_traffic_t *traffic;
    const char *const *peer_ips;
    uint32_t quiesced;
};

static enum MHD_Result
copy_header(void *user, enum MHD_ValueKind kind, const char *name,
            const char *value)
{
    (void)kind;
    nm_exchange_t *exchange = user;
    bool is_internal = g_ascii_strncasecmp(name, "Nutmegdeck-", 11) == 0;
    bool is_key = g_ascii_strcasecmp(name, "Idempotency-Key") == 0;
    if (is_key) {
        g_free(exchange->idempotency_key);
        exchange->idempotency_key = g_strdup(value ? value : "");
    }
    if (!is_internal && !is_key && !nm_header_is_hop_by_hop(name)) {
        g_ptr_array_add(exchange->headers,
                        g_strdup_printf("%s: %s", name, value ? value : ""));
    }
    return MHD_YES;
}

/* Keeps the path and query as sent; MHD splits the query into arguments. */
static void *
create_exchange(void *user, const char *uri, struct MHD_Connection *connection)
{
    (void)user;
    (void)connection;
    nm_exchange_t *exchange = nm_exchange_new();
    exchange->target = g_strdup(uri);
    return exchange;
}

static bool
is_peer(const nm_listener_t *listener, struct MHD_Connection *connection)
{
    const union MHD_ConnectionInfo *info = MHD_get_connection_info(
        connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
    if (!info || info->client_addr->sa_family != AF_INET) {
        return false;
    }
    char client_ip[INET_ADDRSTRLEN];
    const struct sockaddr_in *client =
        (const struct sockaddr_in *)info->client_addr;
    inet_ntop(AF_INET, &client->sin_addr, client_ip, sizeof(client_ip));
    for (const char *const *peer_ip = listener->peer_ips; peer_ip && *peer_ip;
         peer_ip++)
    {
        if (strcmp(*peer_ip, client_ip) == 0) {
            return true;
        }
    }
    return false;
}

static void
read_request_head(nm_listener_t *listener, nm_exchange_t *exchange,
                  struct MHD_Connection *connection, const char *method)
{
    exchange->connection = connection;
    exchange->method = g_strdup(method);
    MHD_get_connection_values(connection, MHD_HEADER_KIND, copy_header,
                              exchange);
    const char *timeout = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, NM_HEADER_TIMEOUT);
    if (timeout) {
        long value = strtol(timeout, NULL, 10);
        if (value > 0 && value < REQUEST_TIMEOUT_MAX_MS) {
            exchange->timeout_ms = value;
        }
    }
    exchange->forwarded =
        MHD_lookup_connection_value(connection, MHD_HEADER_KIND,
                                    NM_HEADER_FORWARDED) &&
        is_peer(listener, connection);
    const union MHD_ConnectionInfo *info =
        MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    exchange->socket = info ? info->connect_fd : -1;
}

static struct MHD_Response *
problem_response(const nm_exchange_t *exchange)
{
    nm_reason_t reason = exchange->reason;
    json_t *problem =
        json_pack("{s:s,s:s,s:i,s:s,s:s}", "type", "about:blank", "title",
                  nm_reason_text(reason), "status", nm_reason_status(reason),
                  "reason", nm_reason_name(reason), "verdict",
                  nm_verdict_name(exchange->response.verdict));
    char *text = json_dumps(problem, JSON_COMPACT);
    json_decref(problem);
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(response, "Content-Type",
                            "application/problem+json");
    MHD_add_response_header(response, NM_HEADER_REASON,
                            nm_reason_name(reason));
    if (exchange->retry_after_ms > 0 &&
        exchange->response.verdict == NM_VERDICT_NOT_RUN)
    {
        char seconds[24];
        snprintf(seconds, sizeof(seconds), "%lld",
                 (long long)(exchange->retry_after_ms + 999) / 1000);
        MHD_add_response_header(response, "Retry-After", seconds);
    }
    return response;
}

static struct MHD_Response *
executor_response(const nm_exchange_t *exchange)
{
    const nm_response_t *source = &exchange->response;
    guint bytes = source->body->len;
    struct MHD_Response *response =
        MHD_create_response_from_buffer_with_free_callback(
            bytes, g_byte_array_steal(source->body, NULL), g_free);
    for (uint32_t i = 0; i < source->headers->len; i++) {
        char *line = g_strdup(source->headers->pdata[i]);
        char *colon = strchr(line, ':');
        if (colon) {
            *colon = '\0';
            char *value = g_strstrip(colon + 1);
            bool is_internal =
                g_ascii_strncasecmp(line, "Nutmegdeck-", 11) == 0;
            bool is_date = g_ascii_strcasecmp(line, "Date") == 0;
            if (!is_internal && !is_date && !nm_header_is_hop_by_hop(line)) {
                MHD_add_response_header(response, line, value);
            }
        }
        g_free(line);
    }
    return response;
}

static enum MHD_Result
send_response(const nm_listener_t *listener, nm_exchange_t *exchange)
{
    bool refused = exchange->reason != NM_REASON_NONE;
    int status = refused ? nm_reason_status(exchange->reason)
                         : exchange->response.status;
    uint64_t body_bytes = exchange->response.body->len;
    struct MHD_Response *response =
        refused ? problem_response(exchange) : executor_response(exchange);
    MHD_add_response_header(response, NM_HEADER_VERDICT,
                            nm_verdict_name(exchange->response.verdict));
    nm_client_guard_write(nm_client_guard_find(exchange->connection),
                          refused ? 0 : body_bytes);
    if (exchange->too_large || exchange->no_memory ||
        ck_pr_load_32(&listener->quiesced))
    {
        /* Makes the caller send its next request to another entry host. */
        MHD_add_response_header(response, "Connection", "close");
    }
    enum MHD_Result result = MHD_queue_response(
        exchange->connection, (unsigned int)status, response);
    MHD_destroy_response(response);
    return result;
}

/* Refuses a request without submitting it to the traffic thread. */
static enum MHD_Result
refuse_unrouted(const nm_listener_t *listener, nm_exchange_t *exchange,
                nm_reason_t reason)
{
    nm_count_reason(reason);
    exchange->complete = true;
    exchange->reason = reason;
    exchange->response.verdict = NM_VERDICT_NOT_RUN;
    return send_response(listener, exchange);
}

static bool
key_is_valid(const char *key)
{
    size_t length = strlen(key);
    if (length == 0 || length > NM_IDEMPOTENCY_KEY_MAX_BYTES) {
        return false;
    }
    for (size_t i = 0; i < length; i++) {
        if (key[i] < 0x21 || key[i] > 0x7e) {
            return false;
        }
    }
    return true;
}

/* Returns MHD_NO, which closes the connection, for a body far too long. */
static enum MHD_Result
receive_body(nm_exchange_t *exchange, struct MHD_Connection *connection,
             const char *data, size_t bytes)
{
    nm_client_t *client = nm_client_guard_find(connection);
    exchange->received_bytes += bytes;
    if (exchange->received_bytes >
        (uint64_t)DISCARDED_LIMITS_MAX * NM_REQUEST_BODY_MAX_BYTES)
    {
        nm_count_reason(NM_REASON_TOO_LARGE);
        return MHD_NO;
    }
    if (exchange->received_bytes > NM_REQUEST_BODY_MAX_BYTES &&
        !exchange->too_large)
    {
        exchange->too_large = true;
        g_free(g_byte_array_steal(exchange->body, NULL));
        nm_client_guard_release(client);
    }
    if (exchange->too_large || exchange->no_memory || !exchange->keeps_body) {
        exchange->body_discarded = true;
        nm_client_guard_discard(client, bytes);
        return MHD_YES;
    }
    exchange->no_memory =
        !nm_client_guard_append(client, exchange->body, data, bytes);
    return MHD_YES;
}

static enum MHD_Result
begin_request(nm_listener_t *listener, nm_exchange_t *exchange,
              struct MHD_Connection *connection, const char *method)
{
    nm_client_guard_begin(nm_client_guard_find(connection));
    read_request_head(listener, exchange, connection, method);
    exchange->keeps_body =
        nm_traffic_has_service(listener->traffic, exchange->target);
    const char *length = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Content-Length");
    uint64_t bytes = length ? strtoull(length, NULL, 10) : 0;
    if (bytes <= (uint64_t)DISCARDED_LIMITS_MAX * NM_REQUEST_BODY_MAX_BYTES) {
        return MHD_YES;
    }
    exchange->too_large = true;
    return refuse_unrouted(listener, exchange, NM_REASON_TOO_LARGE);
}

/*
 * Called by libmicrohttpd with the head of a request, with each part of its
 * body, at its end and after a resume.
 */
static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **context)
{
    (void)url;
    (void)version;
    nm_listener_t *listener = user;
    nm_exchange_t *exchange = *context;
    if (!exchange->method) {
        return begin_request(listener, exchange, connection, method);
    }
    if (exchange->complete) {
        return send_response(listener, exchange);
    }
    if (*data_size > 0) {
        size_t bytes = *data_size;
        *data_size = 0;
        return receive_body(exchange, connection, data, bytes);
    }
    if (exchange->too_large) {
        return refuse_unrouted(listener, exchange, NM_REASON_TOO_LARGE);
    }
    if (exchange->no_memory) {
        exchange->retry_after_ms = NO_MEMORY_RETRY_MS;
        return refuse_unrouted(listener, exchange, NM_REASON_NO_MEMORY);
    }
    if (exchange->target[0] != '/') {
        return refuse_unrouted(listener, exchange, NM_REASON_BAD_REQUEST);
    }
    if (exchange->idempotency_key && !key_is_valid(exchange->idempotency_key))
    {
        return refuse_unrouted(listener, exchange, NM_REASON_KEY_INVALID);
    }
    nm_client_guard_wait(nm_client_guard_find(connection), 0);
    /* Suspended first: the response may come during the submit. */
    MHD_suspend_connection(connection);
    if (!nm_traffic_submit(listener->traffic, exchange)) {
        nm_count_reason(NM_REASON_QUEUE_FULL);
        exchange->reason = NM_REASON_QUEUE_FULL;
        exchange->response.verdict = NM_VERDICT_NOT_RUN;
        exchange->complete = true;
        MHD_resume_connection(connection);
    }
    return MHD_YES;
}

static void
on_completed(void *user, struct MHD_Connection *connection, void **context,
             enum MHD_RequestTerminationCode code)
{
    (void)user;
    (void)code;
    nm_exchange_free(*context);
    *context = NULL;
    nm_client_guard_end(nm_client_guard_find(connection));
}

void
nm_listener_send_response(nm_exchange_t *exchange)
{
    MHD_resume_connection(exchange->connection);
}

nm_listener_t *
nm_listener_new(const nm_listener_desc_t *desc)
{
    assert(desc && desc->address && desc->traffic);
    struct sockaddr_in address = {
        .sin_family = AF_INET,
        .sin_port = htons(desc->port),
    };
    if (inet_pton(AF_INET, desc->address, &address.sin_addr) != 1) {
        return NULL;
    }
    nm_listener_t *listener = g_new0(nm_listener_t, 1);
    listener->traffic = desc->traffic;
    listener->peer_ips = desc->peer_ips;
    uint32_t threads = desc->threads ? desc->threads : DEFAULT_THREADS;
    listener->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, desc->port,
        NULL, NULL, on_request, listener, MHD_OPTION_SOCK_ADDR,
        (struct sockaddr *)&address, MHD_OPTION_THREAD_POOL_SIZE,
        (unsigned int)threads, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_CONNECTION_TIMEOUT,
        (unsigned int)IDLE_TIMEOUT_S, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_URI_LOG_CALLBACK, create_exchange, NULL,
        MHD_OPTION_NOTIFY_CONNECTION, nm_client_guard_on_connection,
        desc->guard, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
    if (!listener->daemon) {
        g_free(listener);
        return NULL;
    }
    return listener;
}

void
nm_listener_quiesce(nm_listener_t *listener)
{
    assert(listener);
    if (!ck_pr_fas_32(&listener->quiesced, 1)) {
        MHD_socket listen_socket = MHD_quiesce_daemon(listener->daemon);
        if (listen_socket != MHD_INVALID_SOCKET) {
            close(listen_socket);
        }
    }
}

void
nm_listener_free(nm_listener_t *listener)
{
    assert(listener);
    MHD_stop_daemon(listener->daemon);
    g_free(listener);
}
