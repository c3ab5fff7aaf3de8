/* Store client for etcd v3 through its JSON gateway, using libcurl. */
#include <nutmegdeck/store.h>

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

/* The gateway encodes 64-bit integers as JSON strings. */
static int64_t
json_int64(const json_t *value)
{
    if (json_is_string(value)) {
        return strtoll(json_string_value(value), NULL, 10);
    }
    return json_is_integer(value) ? json_integer_value(value) : 0;
}

static json_t *
json_base64(const void *data, size_t size)
{
    char *text = g_base64_encode(data, size);
    json_t *value = json_string(text);
    g_free(text);
    return value;
}

/* Returns the exclusive end of the range of all keys with a prefix. */
static json_t *
range_end(const char *prefix)
{
    char *end = g_strdup(prefix);
    size_t length = strlen(end);
    end[length - 1]++;
    json_t *value = json_base64(end, length);
    g_free(end);
    return value;
}

static size_t
append_body(char *data, size_t size, size_t count, void *user)
{
    GString *body = user;
    g_string_append_len(body, data, (gssize)(size * count));
    return size * count;
}

/*
 * Maps a libcurl result to an error that tells whether the request can have
 * reached the store: without a connection it cannot.
 */
static int
transport_error(CURLcode code)
{
    switch (code) {
    case CURLE_OK:
        return NM_OK;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
    case CURLE_URL_MALFORMAT:
        return NM_ERR_UNAVAILABLE;
    default:
        return NM_ERR_LOST;
    }
}

static int
status_error(long status)
{
    if (status == 200) {
        return NM_OK;
    }
    /* 429 and 503 reject a request before it is processed. */
    if (status == 429 || status == 503) {
        return NM_ERR_UNAVAILABLE;
    }
    return status >= 500 ? NM_ERR_LOST : NM_ERR_INVAL;
}

static int
post(nm_store_etcd_t *etcd, const char *path, json_t *request,
     json_t **response)
{
    CURL *curl = curl_easy_init();
    if (!curl) {
        return NM_ERR_NO_MEMORY;
    }
    char url[320];
    snprintf(url, sizeof(url), "%s%s", etcd->url, path);
    char *text = json_dumps(request, JSON_COMPACT);
    GString *body = g_string_new(NULL);
    struct curl_slist *headers =
        curl_slist_append(NULL, "Content-Type: application/json");
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, body);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, (long)etcd->timeout_ms);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    /*
     * A new connection for each call: libcurl may resend a POST if a reused
     * connection turns out to be closed, which could apply a change twice.
     */
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, 1L);
    curl_easy_setopt(curl, CURLOPT_FORBID_REUSE, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    int rc = transport_error(curl_easy_perform(curl));
    if (rc == NM_OK) {
        long status = 0;
        curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &status);
        rc = status_error(status);
    }
    if (rc == NM_OK) {
        *response = json_loadb(body->str, body->len, 0, NULL);
        rc = *response ? NM_OK : NM_ERR_LOST;
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(curl);
    g_string_free(body, TRUE);
    free(text);
    return rc;
}

static json_t *
encode_op(const nm_store_op_t *op)
{
    json_t *body = json_object();
    json_object_set_new(body, "key", json_base64(op->key, strlen(op->key)));
    if (op->prefix) {
        json_object_set_new(body, "range_end", range_end(op->key));
    }
    const char *name = "request_range";
    if (op->type == NM_STORE_OP_PUT) {
        name = "request_put";
        json_object_set_new(body, "value",
                            json_base64(op->value, op->value_bytes));
        if (op->lease_id) {
            json_object_set_new(body, "lease", json_integer(op->lease_id));
        }
    }
    else if (op->type == NM_STORE_OP_DELETE) {
        name = "request_delete_range";
    }
    json_t *wrapper = json_object();
    json_object_set_new(wrapper, name, body);
    return wrapper;
}

static json_t *
encode_txn(const nm_store_txn_t *txn)
{
    json_t *compare = json_array();
    for (uint32_t i = 0; i < txn->compare_count; i++) {
        const nm_store_compare_t *item = &txn->compares[i];
        json_array_append_new(
            compare,
            json_pack("{s:o,s:s,s:s,s:I}", "key",
                      json_base64(item->key, strlen(item->key)), "target",
                      "MOD", "result", "EQUAL", "mod_revision",
                      (json_int_t)item->mod_revision));
    }
    json_t *success = json_array();
    for (uint32_t i = 0; i < txn->then_count; i++) {
        json_array_append_new(success, encode_op(&txn->then_ops[i]));
    }
    json_t *failure = json_array();
    for (uint32_t i = 0; i < txn->else_count; i++) {
        json_array_append_new(failure, encode_op(&txn->else_ops[i]));
    }
    return json_pack("{s:o,s:o,s:o}", "compare", compare, "success", success,
                     "failure", failure);
}

static bool
decode_kv(const json_t *kv, nm_store_result_t *result)
{
    const char *key64 = json_string_value(json_object_get(kv, "key"));
    const char *value64 = json_string_value(json_object_get(kv, "value"));
    if (!key64) {
        return false;
    }
    gsize key_bytes = 0;
    gsize value_bytes = 0;
    guchar *raw_key = g_base64_decode(key64, &key_bytes);
    guchar *value = g_base64_decode(value64 ? value64 : "", &value_bytes);
    char *key = g_strndup((char *)raw_key, key_bytes);
    nm_store_result_add(result, key, value, (uint32_t)value_bytes,
                        json_int64(json_object_get(kv, "mod_revision")));
    g_free(key);
    g_free(raw_key);
    g_free(value);
    return true;
}

static int
etcd_commit(nm_store_t *store, const nm_store_txn_t *txn,
            nm_store_result_t *result)
{
    nm_store_etcd_t *etcd = (nm_store_etcd_t *)store;
    json_t *request = encode_txn(txn);
    json_t *response = NULL;
    int rc = post(etcd, "/v3/kv/txn", request, &response);
    json_decref(request);
    if (rc < 0) {
        return rc;
    }
    result->succeeded = json_is_true(json_object_get(response, "succeeded"));
    json_t *header = json_object_get(response, "header");
    result->revision = json_int64(json_object_get(header, "revision"));
    size_t i;
    json_t *op_response;
    json_array_foreach(json_object_get(response, "responses"), i, op_response)
    {
        json_t *range = json_object_get(op_response, "response_range");
        size_t j;
        json_t *kv;
        json_array_foreach(json_object_get(range, "kvs"), j, kv)
        {
            if (!decode_kv(kv, result)) {
                rc = NM_ERR_CORRUPT;
            }
        }
    }
    json_decref(response);
    return rc;
}

static int
etcd_lease_grant(nm_store_t *store, int64_t ttl_s, int64_t *lease_id)
{
    json_t *request = json_pack("{s:I}", "TTL", (json_int_t)ttl_s);
    json_t *response = NULL;
    int rc =
        post((nm_store_etcd_t *)store, "/v3/lease/grant", request, &response);
    json_decref(request);
    if (rc == NM_OK) {
        *lease_id = json_int64(json_object_get(response, "ID"));
        rc = *lease_id ? NM_OK : NM_ERR_CORRUPT;
    }
    json_decref(response);
    return rc;
}

static int
etcd_lease_keepalive(nm_store_t *store, int64_t lease_id)
{
    json_t *request = json_pack("{s:I}", "ID", (json_int_t)lease_id);
    json_t *response = NULL;
    int rc = post((nm_store_etcd_t *)store, "/v3/lease/keepalive", request,
                  &response);
    json_decref(request);
    if (rc == NM_OK) {
        json_t *result = json_object_get(response, "result");
        if (json_int64(json_object_get(result, "TTL")) <= 0) {
            rc = NM_ERR_NOT_FOUND;
        }
    }
    json_decref(response);
    return rc;
}

static int
etcd_lease_revoke(nm_store_t *store, int64_t lease_id)
{
    json_t *request = json_pack("{s:I}", "ID", (json_int_t)lease_id);
    json_t *response = NULL;
    int rc =
        post((nm_store_etcd_t *)store, "/v3/lease/revoke", request, &response);
    json_decref(request);
    json_decref(response);
    return rc;
}

typedef struct {
    GString *line;
    nm_store_event_fn on_event;
    void *user;
    int rc;
    bool stopped;
} watch_state_t;

static void
deliver_event(watch_state_t *watch, const json_t *event)
{
    nm_store_result_t decoded = {0};
    if (!decode_kv(json_object_get(event, "kv"), &decoded)) {
        return;
    }
    const char *type = json_string_value(json_object_get(event, "type"));
    nm_store_kv_t kv = decoded.kvs[0];
    if (type && strcmp(type, "DELETE") == 0) {
        kv.value = NULL;
        kv.value_bytes = 0;
    }
    if (!watch->on_event(watch->user, &kv)) {
        watch->stopped = true;
    }
    nm_store_result_finish(&decoded);
}

static void
deliver_line(watch_state_t *watch)
{
    json_t *message = json_loadb(watch->line->str, watch->line->len, 0, NULL);
    json_t *result = json_object_get(message, "result");
    if (json_int64(json_object_get(result, "compact_revision")) > 0) {
        watch->rc = NM_ERR_COMPACTED;
        watch->stopped = true;
    }
    size_t i;
    json_t *event;
    json_array_foreach(json_object_get(result, "events"), i, event)
    {
        if (!watch->stopped) {
            deliver_event(watch, event);
        }
    }
    json_decref(message);
}

/*
 * Splits the response stream of a watch into lines of one JSON message each.
 * Returning fewer bytes than received makes libcurl end the transfer.
 */
static size_t
read_watch(char *data, size_t size, size_t count, void *user)
{
    watch_state_t *watch = user;
    size_t bytes = size * count;
    for (size_t i = 0; i < bytes && !watch->stopped; i++) {
        if (data[i] != '\n') {
            g_string_append_c(watch->line, data[i]);
            continue;
        }
        deliver_line(watch);
        g_string_truncate(watch->line, 0);
    }
    return watch->stopped ? 0 : bytes;
}

static int
etcd_watch(nm_store_t *store, const char *prefix, int64_t from_revision,
           nm_ms_t wait_ms, nm_store_event_fn on_event, void *user)
{
    nm_store_etcd_t *etcd = (nm_store_etcd_t *)store;
    CURL *curl = curl_easy_init();
    if (!curl) {
        return NM_ERR_NO_MEMORY;
    }
    json_t *request = json_pack("{s:{s:o,s:o,s:I}}", "create_request", "key",
                                json_base64(prefix, strlen(prefix)),
                                "range_end", range_end(prefix),
                                "start_revision", (json_int_t)from_revision);
    char *text = json_dumps(request, JSON_COMPACT);
    json_decref(request);
    char url[320];
    snprintf(url, sizeof(url), "%s/v3/watch", etcd->url);
    watch_state_t watch = {
        .line = g_string_new(NULL),
        .on_event = on_event,
        .user = user,
    };
    long wait_s = (long)((wait_ms + 999) / 1000);
    curl_easy_setopt(curl, CURLOPT_URL, url);
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, text);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, read_watch);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &watch);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, (long)etcd->timeout_ms);
    /* Time out after wait_s without data; libcurl counts whole seconds. */
    curl_easy_setopt(curl, CURLOPT_LOW_SPEED_LIMIT, 1L);
    curl_easy_setopt(curl, CURLOPT_LOW_SPEED_TIME, wait_s > 0 ? wait_s : 1L);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    CURLcode code = curl_easy_perform(curl);
    int rc = watch.rc;
    /* A timeout ends an idle watch and is no error once connected. */
    if (rc == NM_OK && !watch.stopped && code != CURLE_OPERATION_TIMEDOUT) {
        rc = NM_ERR_UNAVAILABLE;
    }
    if (rc == NM_OK && code == CURLE_OPERATION_TIMEDOUT) {
        double connect_time_s = 0;
        curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME, &connect_time_s);
        if (connect_time_s <= 0) {
            rc = NM_ERR_UNAVAILABLE;
        }
    }
    curl_easy_cleanup(curl);
    g_string_free(watch.line, TRUE);
    free(text);
    return rc;
}

static const nm_store_vtable_t etcd_vtable = {
    .commit = etcd_commit,
    .lease_grant = etcd_lease_grant,
    .lease_keepalive = etcd_lease_keepalive,
    .lease_revoke = etcd_lease_revoke,
    .watch = etcd_watch,
};

nm_store_t *
nm_store_etcd_init(nm_store_etcd_t *etcd, const nm_store_etcd_desc_t *desc)
{
    assert(etcd && desc && desc->url);
    *etcd = (nm_store_etcd_t){
        .base.vtable = &etcd_vtable,
        .timeout_ms = desc->timeout_ms ? desc->timeout_ms : 2000,
    };
    nm_strcopy(etcd->url, sizeof(etcd->url), desc->url);
    return &etcd->base;
}

void
nm_store_etcd_finish(nm_store_etcd_t *etcd)
{
    assert(etcd);
    *etcd = (nm_store_etcd_t){0};
}
