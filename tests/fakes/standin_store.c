/*
 * Stand-in for the platform's store: the etcd v3 JSON gateway over HTTP, on
 * the in-process store.
 *
 *     standin_store [PORT [CALLS_PER_S]]
 *
 * PORT is 2379 by default.  Calls beyond CALLS_PER_S in a second get status
 * 503; 0, the default, sets no limit.  POST /admin?mode=ok|down|slow|lose sets
 * the behaviour of all further calls; GET /admin prints the numbers of calls.
 */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <ck_pr.h>
#include <jansson.h>

#include <nutmegdeck/store.h>

#include "lib_http.h"

#define SLOW_US 400000
#define WATCH_STEP_MS 200
#define LOSE_EVERY 3

enum {
    MODE_OK,
    MODE_DOWN, /* responds 503 without effect */
    MODE_SLOW, /* delays every call by SLOW_US */
    MODE_LOSE, /* drops one response in LOSE_EVERY, after the call's effect */
};

static struct {
    nm_store_memory_t memory;
    nm_store_t *store;
    uint32_t mode;
    uint32_t writes;
    uint32_t reads;
    uint32_t watches;
    uint32_t rate_limit; /* calls per second; 0: no limit */
    uint32_t calls_in_second;
    int64_t second;
} self;

typedef struct {
    GString *body;
} request_t;

typedef struct {
    char *prefix;
    int64_t next_revision;
    GString *pending;
    size_t sent;
    int64_t last_write_ms;
} watch_t;

/* Decodes a base64 field; free it with g_free.  bytes may be NULL. */
static char *
decode_text(const json_t *object, const char *key, uint32_t *bytes)
{
    const char *text = json_string_value(json_object_get(object, key));
    gsize size = 0;
    guchar *decoded = g_base64_decode(text ? text : "", &size);
    char *copy = g_malloc(size + 1);
    memcpy(copy, decoded, size);
    copy[size] = '\0';
    g_free(decoded);
    if (bytes) {
        *bytes = (uint32_t)size;
    }
    return copy;
}

/* Decodes a number field; the gateway writes numbers as strings. */
static int64_t
decode_int(const json_t *object, const char *key)
{
    const json_t *value = json_object_get(object, key);
    if (json_is_string(value)) {
        return strtoll(json_string_value(value), NULL, 10);
    }
    return json_integer_value(value);
}

static json_t *
encode_int(int64_t value)
{
    char text[24];
    snprintf(text, sizeof(text), "%lld", (long long)value);
    return json_string(text);
}

static json_t *
encode_kv(const nm_store_kv_t *kv)
{
    char *key = g_base64_encode((guchar *)kv->key, strlen(kv->key));
    char *value = g_base64_encode(kv->value, kv->value_bytes);
    json_t *json = json_pack("{s:s,s:s,s:o}", "key", key, "value", value,
                             "mod_revision", encode_int(kv->mod_revision));
    g_free(key);
    g_free(value);
    return json;
}

static void
add_op(nm_store_txn_t *txn, const json_t *op, bool to_else)
{
    const json_t *put = json_object_get(op, "request_put");
    const json_t *range = json_object_get(op, "request_range");
    const json_t *deletion = json_object_get(op, "request_delete_range");
    const json_t *fields = put ? put : range ? range : deletion;
    char *key = decode_text(fields, "key", NULL);
    bool prefix = json_object_get(fields, "range_end") != NULL;
    if (put) {
        uint32_t bytes;
        char *value = decode_text(put, "value", &bytes);
        nm_store_txn_put(txn, key, value, bytes, decode_int(put, "lease"));
        g_free(value);
    }
    else if (range && to_else) {
        nm_store_txn_else_range(txn, key, prefix);
    }
    else if (range) {
        nm_store_txn_range(txn, key, prefix);
    }
    else {
        nm_store_txn_delete(txn, key, prefix);
    }
    g_free(key);
}

static json_t *
run_txn(const json_t *request)
{
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    size_t i;
    json_t *item;
    json_array_foreach(json_object_get(request, "compare"), i, item)
    {
        char *key = decode_text(item, "key", NULL);
        nm_store_txn_expect(&txn, key, decode_int(item, "mod_revision"));
        g_free(key);
    }
    bool writes = false;
    json_array_foreach(json_object_get(request, "success"), i, item)
    {
        add_op(&txn, item, false);
        writes = writes || !json_object_get(item, "request_range");
    }
    json_array_foreach(json_object_get(request, "failure"), i, item)
    {
        add_op(&txn, item, true);
    }
    ck_pr_inc_32(writes ? &self.writes : &self.reads);
    nm_store_result_t result;
    int rc = nm_store_commit(self.store, &txn, &result);
    nm_store_txn_finish(&txn);
    if (rc < 0) {
        nm_store_result_finish(&result);
        return NULL;
    }
    json_t *kvs = json_array();
    for (uint32_t k = 0; k < result.kv_count; k++) {
        json_array_append_new(kvs, encode_kv(&result.kvs[k]));
    }
    json_t *response =
        json_pack("{s:{s:o},s:b,s:[{s:{s:o}}]}", "header", "revision",
                  encode_int(result.revision), "succeeded", result.succeeded,
                  "responses", "response_range", "kvs", kvs);
    nm_store_result_finish(&result);
    return response;
}

static json_t *
run_lease(const char *url, const json_t *request)
{
    int64_t id = decode_int(request, "ID");
    if (strcmp(url, "/v3/lease/grant") == 0) {
        nm_store_lease_grant(self.store, decode_int(request, "TTL"), &id);
        return json_pack("{s:o,s:o}", "ID", encode_int(id), "TTL",
                         encode_int(decode_int(request, "TTL")));
    }
    if (strcmp(url, "/v3/lease/keepalive") == 0) {
        int rc = nm_store_lease_keepalive(self.store, id);
        return json_pack("{s:{s:o,s:o}}", "result", "ID", encode_int(id),
                         "TTL", encode_int(rc == NM_OK ? 1 : 0));
    }
    nm_store_lease_revoke(self.store, id);
    return json_object();
}

/* Watches */

static bool
collect_event(void *user, const nm_store_kv_t *kv)
{
    watch_t *watch = user;
    json_t *event =
        json_pack("{s:{s:[{s:s,s:o}]}}", "result", "events", "type",
                  kv->value ? "PUT" : "DELETE", "kv", encode_kv(kv));
    char *text = json_dumps(event, JSON_COMPACT);
    g_string_append(watch->pending, text);
    g_string_append_c(watch->pending, '\n');
    free(text);
    json_decref(event);
    watch->next_revision = kv->mod_revision + 1;
    return true;
}

static ssize_t
read_watch(void *user, uint64_t position, char *buffer, size_t size)
{
    (void)position;
    watch_t *watch = user;
    if (watch->sent == watch->pending->len) {
        g_string_truncate(watch->pending, 0);
        watch->sent = 0;
        if (ck_pr_load_32(&self.mode) == MODE_DOWN) {
            return MHD_CONTENT_READER_END_OF_STREAM;
        }
        int rc =
            nm_store_watch(self.store, watch->prefix, watch->next_revision,
                           WATCH_STEP_MS, collect_event, watch);
        if (rc == NM_ERR_COMPACTED) {
            g_string_append(watch->pending,
                            "{\"result\":{\"compact_revision\":\"1\"}}\n");
        }
        if (watch->pending->len == 0) {
            /* Ends watches that were idle for 5 s: each one holds a thread,
             * also after its client has closed the connection. */
            if (fake_now_ms() - watch->last_write_ms > 5000) {
                return MHD_CONTENT_READER_END_OF_STREAM;
            }
            return 0;
        }
        watch->last_write_ms = fake_now_ms();
    }
    size_t left = watch->pending->len - watch->sent;
    size_t bytes = left < size ? left : size;
    memcpy(buffer, watch->pending->str + watch->sent, bytes);
    watch->sent += bytes;
    return (ssize_t)bytes;
}

static void
free_watch(void *user)
{
    watch_t *watch = user;
    g_free(watch->prefix);
    g_string_free(watch->pending, TRUE);
    g_free(watch);
}

static enum MHD_Result
start_watch(struct MHD_Connection *connection, const json_t *request)
{
    const json_t *create = json_object_get(request, "create_request");
    watch_t *watch = g_new0(watch_t, 1);
    watch->prefix = decode_text(create, "key", NULL);
    watch->next_revision = decode_int(create, "start_revision");
    watch->pending = g_string_new("{\"result\":{\"created\":true}}\n");
    watch->last_write_ms = fake_now_ms();
    ck_pr_inc_32(&self.watches);
    struct MHD_Response *response = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 4096, read_watch, watch, free_watch);
    enum MHD_Result result = MHD_queue_response(connection, 200, response);
    MHD_destroy_response(response);
    return result;
}

/* Administration */

static enum MHD_Result
handle_admin(struct MHD_Connection *connection, const char *method)
{
    if (strcmp(method, "POST") == 0) {
        const char *mode = fake_query_argument(connection, "mode", "ok");
        uint32_t value = strcmp(mode, "down") == 0   ? MODE_DOWN
                         : strcmp(mode, "slow") == 0 ? MODE_SLOW
                         : strcmp(mode, "lose") == 0 ? MODE_LOSE
                                                     : MODE_OK;
        ck_pr_store_32(&self.mode, value);
    }
    char text[160];
    snprintf(text, sizeof(text),
             "{\"writes\":%u,\"reads\":%u,\"watches\":%u}\n", self.writes,
             self.reads, self.watches);
    return fake_respond(connection, 200, "application/json", text);
}

static bool
exceeds_rate(void)
{
    int64_t second = fake_now_ms() / 1000;
    if (second != self.second) {
        self.second = second;
        self.calls_in_second = 0;
    }
    return self.rate_limit > 0 && ++self.calls_in_second > self.rate_limit;
}

static enum MHD_Result
handle_call(struct MHD_Connection *connection, const char *url,
            const GString *body)
{
    uint32_t mode = ck_pr_load_32(&self.mode);
    if (mode == MODE_DOWN || exceeds_rate()) {
        return fake_respond(connection, 503, "text/plain", "unavailable\n");
    }
    if (mode == MODE_SLOW) {
        g_usleep(SLOW_US);
    }
    json_t *request = json_loadb(body->str, body->len, 0, NULL);
    if (!request) {
        return fake_respond(connection, 400, "text/plain", "not JSON\n");
    }
    if (strcmp(url, "/v3/watch") == 0) {
        enum MHD_Result result = start_watch(connection, request);
        json_decref(request);
        return result;
    }
    json_t *response = g_str_has_prefix(url, "/v3/lease/")
                           ? run_lease(url, request)
                           : run_txn(request);
    json_decref(request);
    if (!response) {
        return fake_respond(connection, 400, "text/plain", "refused\n");
    }
    char *text = json_dumps(response, JSON_COMPACT);
    json_decref(response);
    enum MHD_Result result = MHD_NO;
    static uint32_t lost;
    if (mode != MODE_LOSE || ck_pr_faa_32(&lost, 1) % LOSE_EVERY != 0) {
        result = fake_respond(connection, 200, "application/json", text);
    }
    free(text);
    return result;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **context)
{
    (void)user;
    (void)version;
    if (!fake_collect_body(context, data, data_size)) {
        return MHD_YES;
    }
    const GString *body = *context;
    if (strcmp(url, "/admin") == 0) {
        return handle_admin(connection, method);
    }
    return handle_call(connection, url, body);
}

int
main(int argc, char **argv)
{
    uint16_t port = argc > 1 ? (uint16_t)atoi(argv[1]) : 2379;
    self.rate_limit = argc > 2 ? (uint32_t)atoi(argv[2]) : 0;
    fake_block_signals();
    self.store = nm_store_memory_init(&self.memory);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION |
            MHD_USE_POLL,
        port, NULL, NULL, on_request, NULL, MHD_OPTION_NOTIFY_COMPLETED,
        fake_free_body, NULL, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u,
        MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)65536, MHD_OPTION_END);
    if (!daemon) {
        fprintf(stderr, "standin_store: cannot bind port %u\n", port);
        return 1;
    }
    fake_wait_for_signal();
    _exit(0);
}
