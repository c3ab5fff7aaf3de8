#include "lib_platform.h"

#include "lib_entries.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <jansson.h>
#include <microhttpd.h>

#include <nutmegdeck/sched.h>

#include "../tests/fakes/lib_http.h"

#define TICK_US 5000
#define RANGE_ITEMS_MAX 500
#define ORDER_DELAY_MS 2000
#define CONNECTIONS_MAX 4000
/* From the end of a stalled request's wait time to its 503. */
#define STALLED_MAX_MS 4000

typedef struct {
    char *key;
    char *value; /* base64; NULL: deleted */
    int64_t revision;
    int64_t lease;
} item_t;

/* An HTTP request, or a delayed order: a copy for late execution. */
typedef struct {
    struct MHD_Connection *connection; /* NULL: delayed order */
    char *path;
    GString *body;
    char instance[NM_NAME_MAX];
    char *prefix;     /* or the key of /kv-key */
    char *after_name; /* last key of the page before; "": first page */
    int64_t after;
    nm_ms_t incarnation_start_ms; /* of the executor on arrival */
    nm_ms_t arrived_ms;
    nm_ms_t until_ms; /* end of the wait time; delayed order: when due */
    bool stalled;     /* gets only a 503, after STALLED_MAX_MS */
    json_t *response;
    int status; /* 0: not yet known */
} request_t;

struct platform {
    platform_desc_t desc;
    pthread_mutex_t mutex;
    pthread_t thread;
    bool stopping;
    struct MHD_Daemon *daemon;
    executor_fleet_t *fleet;
    nm_rng_t rng;
    nm_ms_t started_ms;
    GTree *items;      /* key -> item_t */
    GPtrArray *events; /* of item_t */
    int64_t revision;
    int64_t compacted_revision;
    int64_t last_lease;
    GHashTable *expiries_ms;   /* lease id -> expiry, ms */
    GHashTable *ttls_ms;       /* lease id -> TTL */
    GPtrArray *waiting;        /* of request_t; connections are suspended */
    GPtrArray *delayed_orders; /* of request_t */
    store_mode_t mode;
    double delayed_share;
    /* See platform_cut(). */
    int64_t cut_epoch;
    executor_t *cut_executor;
    nm_ms_t cut_until_ms;
    entries_t entries;
};

static void
free_item(gpointer data)
{
    item_t *item = data;
    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static item_t *
new_item(const char *key, const char *value, int64_t revision, int64_t lease)
{
    item_t *item = g_new0(item_t, 1);
    item->key = g_strdup(key);
    item->value = g_strdup(value);
    item->revision = revision;
    item->lease = lease;
    return item;
}

static int
compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
    (void)user;
    return strcmp(a, b);
}

nm_ms_t
platform_now(const platform_t *platform)
{
    return fake_now_ms() - platform->started_ms + 1000;
}

static void
apply(platform_t *platform, const char *key, const char *value, int64_t lease)
{
    item_t *item = new_item(key, value, platform->revision, lease);
    g_ptr_array_add(platform->events,
                    new_item(key, value, platform->revision, lease));
    if (value) {
        g_tree_replace(platform->items, item->key, item);
        return;
    }
    g_tree_remove(platform->items, key);
    free_item(item);
}

void
platform_put(platform_t *platform, const char *key, const char *value)
{
    char *text =
        value ? g_base64_encode((const guchar *)value, strlen(value)) : NULL;
    platform->revision++;
    apply(platform, key, text, 0);
    g_free(text);
}

void
platform_set_store(platform_t *platform, store_mode_t mode)
{
    platform->mode = mode;
}

void
platform_expire_entries(platform_t *platform)
{
    platform->entries.expire_in_outage = true;
}

void
platform_set_delayed_share(platform_t *platform, double share)
{
    platform->delayed_share = share;
}

void
platform_compact(platform_t *platform)
{
    platform->compacted_revision = platform->revision;
    g_ptr_array_set_size(platform->events, 0);
}

char *
platform_get(const platform_t *platform, const char *key)
{
    const item_t *item = g_tree_lookup(platform->items, key);
    gsize bytes;
    guchar *value = item ? g_base64_decode(item->value, &bytes) : NULL;
    char *text = value ? g_strndup((const char *)value, bytes) : NULL;
    g_free(value);
    return text;
}

void
platform_cut(platform_t *platform, int64_t epoch, uint32_t executor,
             nm_ms_t until_ms)
{
    if (platform->cut_executor) {
        platform->cut_executor->unannounced_until_ms = 0;
    }
    platform->cut_epoch = epoch;
    platform->cut_executor = executor_at(platform->fleet, executor);
    platform->cut_executor->unannounced_until_ms = until_ms;
    platform->cut_until_ms = until_ms;
}

executor_fleet_t *
platform_fleet(platform_t *platform)
{
    return platform->fleet;
}

void
platform_lock(platform_t *platform)
{
    pthread_mutex_lock(&platform->mutex);
}

void
platform_unlock(platform_t *platform)
{
    pthread_mutex_unlock(&platform->mutex);
}

/* --- the store --- */

static json_t *
encode_item(const item_t *item)
{
    if (!item->value) {
        return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "deleted", 1);
    }
    return json_pack("{s:s,s:s,s:I,s:I}", "key", item->key, "value",
                     item->value, "revision", (json_int_t)item->revision,
                     "lease", (json_int_t)item->lease);
}

typedef struct {
    const char *prefix;
    const char *after;
    json_t *items;
    bool more;
} listing_t;

static gboolean
list_item(gpointer key, gpointer value, gpointer user)
{
    listing_t *listing = user;
    if (!g_str_has_prefix(key, listing->prefix) ||
        strcmp(key, listing->after) <= 0)
    {
        return FALSE;
    }
    if (json_array_size(listing->items) >= RANGE_ITEMS_MAX) {
        listing->more = true;
        return TRUE;
    }
    json_array_append_new(listing->items, encode_item(value));
    return FALSE;
}

static int
serve_range(platform_t *platform, const char *prefix, const char *after,
            json_t **response)
{
    listing_t listing = {prefix, after, json_array(), false};
    g_tree_foreach(platform->items, list_item, &listing);
    *response =
        json_pack("{s:o,s:b,s:I}", "items", listing.items, "morePages",
                  listing.more, "asOf", (json_int_t)platform->revision);
    return 200;
}

static int
serve_txn(platform_t *platform, const json_t *body, json_t **response)
{
    const json_t *expected = json_object_get(body, "expected");
    size_t i;
    json_t *op;
    bool matches = true;
    json_array_foreach(expected, i, op)
    {
        const item_t *item = g_tree_lookup(
            platform->items, json_string_value(json_object_get(op, "key")));
        matches =
            matches && (item ? item->revision : 0) ==
                           json_integer_value(json_object_get(op, "revision"));
    }
    if (!matches) {
        json_t *items = json_array();
        json_array_foreach(expected, i, op)
        {
            const item_t *item =
                g_tree_lookup(platform->items,
                              json_string_value(json_object_get(op, "key")));
            if (item) {
                json_array_append_new(items, encode_item(item));
            }
        }
        *response = json_pack("{s:o}", "items", items);
        return 412;
    }
    json_array_foreach(json_object_get(body, "puts"), i, op)
    {
        int64_t lease = json_integer_value(json_object_get(op, "lease"));
        if (lease && !g_hash_table_contains(platform->expiries_ms, &lease)) {
            return 404;
        }
    }
    platform->revision++;
    json_array_foreach(json_object_get(body, "puts"), i, op)
    {
        const char *key = json_string_value(json_object_get(op, "key"));
        if (platform->desc.drops_jobs && strstr(key, "/jobs/") &&
            nm_rng_unit(&platform->rng) < 0.2)
        {
            continue;
        }
        apply(platform, key, json_string_value(json_object_get(op, "value")),
              json_integer_value(json_object_get(op, "lease")));
    }
    json_array_foreach(json_object_get(body, "remove"), i, op)
    {
        apply(platform, json_string_value(op), NULL, 0);
    }
    *response = json_pack("{s:I}", "revision", (json_int_t)platform->revision);
    return 200;
}

static gboolean
collect_leased_key(gpointer key, gpointer value, gpointer user)
{
    void **context = user;
    if (((const item_t *)value)->lease == *(int64_t *)context[0]) {
        g_ptr_array_add(context[1], g_strdup(key));
    }
    return FALSE;
}

static void
end_lease(platform_t *platform, int64_t lease)
{
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    void *context[] = {&lease, keys};
    g_tree_foreach(platform->items, collect_leased_key, context);
    platform->revision++;
    for (guint i = 0; i < keys->len; i++) {
        apply(platform, keys->pdata[i], NULL, 0);
    }
    g_ptr_array_free(keys, TRUE);
    g_hash_table_remove(platform->expiries_ms, &lease);
    g_hash_table_remove(platform->ttls_ms, &lease);
}

void
platform_revoke(platform_t *platform, const char *key)
{
    const item_t *item = g_tree_lookup(platform->items, key);
    if (item && item->lease > 0) {
        end_lease(platform, item->lease);
    }
}

static void
renew_lease(platform_t *platform, int64_t lease, int64_t ttl_ms)
{
    int64_t expiry_ms = platform_now(platform) + ttl_ms;
    g_hash_table_insert(platform->expiries_ms,
                        g_memdup2(&lease, sizeof(lease)),
                        g_memdup2(&expiry_ms, sizeof(expiry_ms)));
    g_hash_table_insert(platform->ttls_ms, g_memdup2(&lease, sizeof(lease)),
                        g_memdup2(&ttl_ms, sizeof(ttl_ms)));
}

static int
serve_lease(platform_t *platform, const char *path, const json_t *body,
            json_t **response)
{
    if (strcmp(path, "/kv-lease") == 0) {
        int64_t ttl_ms = json_integer_value(json_object_get(body, "ttlMs"));
        renew_lease(platform, ++platform->last_lease, ttl_ms);
        *response =
            json_pack("{s:I,s:I}", "lease", (json_int_t)platform->last_lease,
                      "ttlMs", (json_int_t)ttl_ms);
        return 200;
    }
    int64_t lease = strtoll(strrchr(path, '/') + 1, NULL, 10);
    const int64_t *ttl_ms = g_hash_table_lookup(platform->ttls_ms, &lease);
    if (!ttl_ms) {
        return 404;
    }
    if (g_str_has_prefix(path, "/kv-keep/")) {
        renew_lease(platform, lease, *ttl_ms);
    }
    else {
        end_lease(platform, lease);
    }
    return 200;
}

/* Returns the status, or 0 if the watch stays open. */
static int
serve_watch(platform_t *platform, const request_t *request, nm_ms_t now_ms,
            json_t **response)
{
    if (request->after < platform->compacted_revision) {
        return 410;
    }
    json_t *events = json_array();
    for (guint i = 0; i < platform->events->len; i++) {
        const item_t *item = platform->events->pdata[i];
        if (item->revision > request->after &&
            g_str_has_prefix(item->key, request->prefix))
        {
            json_array_append_new(events, encode_item(item));
        }
    }
    if (json_array_size(events) == 0 && now_ms < request->until_ms) {
        json_decref(events);
        return 0;
    }
    *response = json_pack("{s:o,s:I}", "events", events, "asOf",
                          (json_int_t)platform->revision);
    return 200;
}

/* --- executors --- */

/* True if the sender of an order does not reach an executor. */
static bool
is_cut_off(const platform_t *platform, const executor_t *executor,
           const request_t *request, nm_ms_t now_ms)
{
    if (now_ms >= platform->cut_until_ms) {
        return false;
    }
    json_t *body = json_loadb(request->body->str, request->body->len, 0, NULL);
    int64_t epoch =
        json_integer_value(json_object_get(body, "fencingToken")) >>
        NM_FENCE_SEQ_BITS;
    json_decref(body);
    return (executor == platform->cut_executor) !=
           (epoch <= platform->cut_epoch);
}

/* Returns the status, or 0 if a hold stays open; !is_new: checks it again. */
static int
serve_order(platform_t *platform, const request_t *request, nm_ms_t now_ms,
            bool is_new, json_t **response)
{
    executor_t *executor = executor_find(platform->fleet, request->instance);
    if (!executor) {
        return EXECUTOR_STATUS_WRONG_INCARNATION;
    }
    if (!is_new &&
        request->incarnation_start_ms != executor->incarnation_start_ms) {
        return 503; /* after a crash, where a real one closes the connection */
    }
    json_t *body = json_loadb(request->body->str, request->body->len, 0, NULL);
    const char *task = json_string_value(json_object_get(body, "task"));
    const char *checkpoint =
        json_string_value(json_object_get(body, "checkpoint"));
    executor_order_t order = {
        .task = task ? task : "",
        .run = json_integer_value(json_object_get(body, "runId")),
        .epoch = json_integer_value(json_object_get(body, "fencingToken")),
        .expiry_ms = json_integer_value(json_object_get(body, "expiryMs")),
        .checkpoint = checkpoint ? checkpoint : "",
        .arrived_ms = request->arrived_ms,
    };
    int64_t acked = json_integer_value(json_object_get(body, "ackCursor"));
    const char *reason = NULL;
    int status = 200;
    if (strcmp(request->path, "/run-start") == 0) {
        status =
            executor_start(platform->fleet, executor, &order, now_ms, &reason);
    }
    else if (strcmp(request->path, "/run-stop") == 0) {
        status =
            executor_stop(platform->fleet, executor, &order, now_ms, &reason);
    }
    else if (strcmp(request->path, "/pace") == 0) {
        json_t *percent = json_object_get(body, "percent");
        status = executor_pace(platform->fleet, executor, &order,
                               (uint32_t)json_integer_value(percent), now_ms,
                               &reason);
    }
    else if (strcmp(request->path, "/hold") == 0) {
        if (is_new) {
            status = executor_hold(platform->fleet, executor, &order, acked,
                                   now_ms, &reason);
        }
        if (status == 200 && executor->ends->len == 0 &&
            now_ms < request->until_ms) {
            status = 0;
        }
        else if (status == 200) {
            *response = entries_encode_lists(executor, now_ms);
        }
    }
    if (status == EXECUTOR_STATUS_CONFLICT) {
        *response = json_pack("{s:I,s:s}", "clockMs",
                              (json_int_t)executor_clock(executor, now_ms),
                              "reason", reason);
    }
    else if (status == 200 && !*response) {
        *response = json_pack("{s:I}", "clockMs",
                              (json_int_t)executor_clock(executor, now_ms));
    }
    json_decref(body);
    return status;
}

/* --- HTTP --- */

static void
free_request(gpointer data)
{
    request_t *request = data;
    g_free(request->path);
    g_free(request->prefix);
    g_free(request->after_name);
    if (request->body) {
        g_string_free(request->body, TRUE);
    }
    json_decref(request->response);
    g_free(request);
}

#define MACHINES_PATH "/machines"

static bool
is_store_path(const char *path)
{
    return g_str_has_prefix(path, "/kv-");
}

/* The list of machines: the place of an executor is one. */
static json_t *
list_machines(platform_t *platform)
{
    json_t *rows = json_array();
    for (uint32_t i = 0; i < executor_fleet_size(platform->fleet); i++) {
        const executor_t *executor = executor_at(platform->fleet, i);
        bool up = executor->joins_at_ms == 0;
        char name[NM_NAME_MAX];
        snprintf(name, sizeof(name), "m%u", (unsigned)i);
        json_t *row = json_pack("{s:s,s:s}", "machine", name, "state",
                                up ? "up" : "down");
        if (up) {
            json_object_set_new(row, "id", json_string(executor->id));
        }
        json_array_append_new(rows, row);
    }
    return json_pack("{s:o,s:n}", "machines", rows, "nextPageToken");
}

static int
serve_store(platform_t *platform, request_t *request, nm_ms_t now_ms,
            json_t **response)
{
    json_t *body = json_loadb(request->body->str, request->body->len, 0, NULL);
    int status = 404;
    if (strcmp(request->path, "/kv-key") == 0) {
        const item_t *item = g_tree_lookup(platform->items, request->prefix);
        status = item ? 200 : 404;
        *response = item ? encode_item(item) : NULL;
        if (item) {
            json_object_set_new(*response, "asOf",
                                json_integer(platform->revision));
        }
    }
    else if (strcmp(request->path, "/kv-range") == 0) {
        status = serve_range(platform, request->prefix, request->after_name,
                             response);
    }
    else if (strcmp(request->path, "/kv-txn") == 0) {
        status = serve_txn(platform, body, response);
    }
    else if (strcmp(request->path, "/kv-watch") == 0) {
        status = serve_watch(platform, request, now_ms, response);
    }
    else if (g_str_has_prefix(request->path, "/kv-")) {
        status = serve_lease(platform, request->path, body, response);
    }
    entries_set_ports(*response,
                      MHD_lookup_connection_value(request->connection,
                                                  MHD_HEADER_KIND, "Host"),
                      platform->desc.executor_port_offset);
    json_decref(body);
    return status;
}

/* Returns the status, or 0 if the request stays open. */
static int
serve(platform_t *platform, request_t *request, nm_ms_t now_ms, bool is_new)
{
    executor_t *executor = executor_find(platform->fleet, request->instance);
    bool store = is_store_path(request->path);
    if (strcmp(request->path, MACHINES_PATH) == 0) {
        request->response = list_machines(platform);
        return 200;
    }
    if (request->stalled ||
        (!store && executor_has_left(platform->fleet, request->instance)) ||
        (!store && executor &&
         (executor_is_silent(executor, now_ms) ||
          is_cut_off(platform, executor, request, now_ms))))
    {
        request->stalled = true;
        return 0;
    }
    if (!store) {
        return serve_order(platform, request, now_ms, is_new,
                           &request->response);
    }
    if (platform->mode == STORE_REFUSES) {
        return 503;
    }
    if (platform->mode == STORE_UNRESPONSIVE) {
        request->stalled = is_new;
        return 0;
    }
    int status = serve_store(platform, request, now_ms, &request->response);
    if (platform->mode == STORE_LOSES_RESPONSES &&
        (strcmp(request->path, "/kv-txn") == 0 ||
         strcmp(request->path, "/kv-range") == 0))
    {
        request->stalled = true;
        return 0;
    }
    return status;
}

static enum MHD_Result
send_response(struct MHD_Connection *connection, request_t *request)
{
    char *text = request->response
                     ? json_dumps(request->response, JSON_COMPACT)
                     : strdup("{}");
    enum MHD_Result result = fake_respond(
        connection, (unsigned)request->status, "application/json", text);
    free(text);
    return result;
}

static request_t *
new_request(platform_t *platform, struct MHD_Connection *connection,
            const char *path, GString *body, nm_ms_t now_ms)
{
    request_t *request = g_new0(request_t, 1);
    request->connection = connection;
    request->path = g_strdup(path);
    request->body = g_string_new_len(body->str, (gssize)body->len);
    const char *name = strcmp(path, "/kv-key") == 0 ? "key" : "pathPrefix";
    request->prefix = g_strdup(fake_query_argument(connection, name, ""));
    const char *after = fake_query_argument(connection, "after", "");
    request->after_name = g_strdup(after);
    request->after = strtoll(after, NULL, 10);
    nm_ms_t wait_ms =
        strtoll(fake_query_argument(connection, "waitMs", "0"), NULL, 10);
    const char *instance = MHD_lookup_connection_value(
        connection, MHD_HEADER_KIND, "Expected-Instance");
    nm_strcopy(request->instance, sizeof(request->instance),
               instance ? instance : "");
    if (strcmp(path, "/hold") == 0) {
        json_t *order = json_loadb(body->str, body->len, 0, NULL);
        wait_ms = json_integer_value(json_object_get(order, "waitMs"));
        json_decref(order);
    }
    request->until_ms = now_ms + wait_ms;
    request->arrived_ms = now_ms;
    const executor_t *executor =
        executor_find(platform->fleet, request->instance);
    request->incarnation_start_ms =
        executor ? executor->incarnation_start_ms : 0;
    return request;
}

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **context)
{
    (void)method;
    (void)version;
    platform_t *platform = user;
    request_t *request = *context;
    if (!request) {
        request = g_new0(request_t, 1);
        request->body = g_string_new(NULL);
        *context = request;
        return MHD_YES;
    }
    if (*data_size > 0) {
        g_string_append_len(request->body, data, (gssize)*data_size);
        *data_size = 0;
        return MHD_YES;
    }
    if (request->status > 0) { /* called again by MHD_resume_connection */
        return send_response(connection, request);
    }
    pthread_mutex_lock(&platform->mutex);
    nm_ms_t now_ms = platform_now(platform);
    request_t *parsed =
        new_request(platform, connection, url, request->body, now_ms);
    free_request(request);
    *context = request = parsed;
    enum MHD_Result result = MHD_YES;
    if (!is_store_path(url) && strcmp(url, "/hold") != 0 &&
        nm_rng_unit(&platform->rng) < platform->delayed_share)
    {
        request_t *delayed_order =
            new_request(platform, connection, url, request->body, now_ms);
        delayed_order->connection = NULL;
        delayed_order->until_ms = now_ms + ORDER_DELAY_MS;
        g_ptr_array_add(platform->delayed_orders, delayed_order);
        request->stalled = true;
    }
    else {
        request->status = serve(platform, request, now_ms, true);
    }
    if (request->status > 0) {
        result = send_response(connection, request);
    }
    else {
        g_ptr_array_add(platform->waiting, request);
        MHD_suspend_connection(connection);
    }
    pthread_mutex_unlock(&platform->mutex);
    return result;
}

/* Called by libmicrohttpd when a request has ended or was aborted. */
static void
on_request_completed(void *user, struct MHD_Connection *connection,
                     void **context, enum MHD_RequestTerminationCode code)
{
    (void)connection;
    (void)code;
    platform_t *platform = user;
    if (*context) {
        pthread_mutex_lock(&platform->mutex);
        g_ptr_array_remove_fast(platform->waiting, *context);
        pthread_mutex_unlock(&platform->mutex);
        free_request(*context);
    }
    *context = NULL;
}

static void
serve_waiting(platform_t *platform, nm_ms_t now_ms)
{
    for (guint i = platform->waiting->len; i > 0; i--) {
        request_t *request = platform->waiting->pdata[i - 1];
        if (request->stalled && now_ms < request->until_ms + STALLED_MAX_MS) {
            continue;
        }
        request->status =
            request->stalled ? 503 : serve(platform, request, now_ms, false);
        if (request->status > 0) {
            g_ptr_array_remove_index_fast(platform->waiting, i - 1);
            MHD_resume_connection(request->connection);
        }
    }
    for (guint i = platform->delayed_orders->len; i > 0; i--) {
        request_t *delayed_order = platform->delayed_orders->pdata[i - 1];
        if (now_ms >= delayed_order->until_ms) {
            executor_t *executor =
                executor_find(platform->fleet, delayed_order->instance);
            if (executor && !executor_is_silent(executor, now_ms)) {
                json_t *response = NULL;
                serve_order(platform, delayed_order, now_ms, true, &response);
                json_decref(response);
            }
            free_request(delayed_order);
            g_ptr_array_remove_index_fast(platform->delayed_orders, i - 1);
        }
    }
}

static void
expire_leases(platform_t *platform, nm_ms_t now_ms)
{
    GArray *expired = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GHashTableIter iter;
    gpointer lease, expiry_ms;
    g_hash_table_iter_init(&iter, platform->expiries_ms);
    while (g_hash_table_iter_next(&iter, &lease, &expiry_ms)) {
        if (now_ms >= *(int64_t *)expiry_ms) {
            g_array_append_val(expired, *(int64_t *)lease);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        end_lease(platform, g_array_index(expired, int64_t, i));
    }
    g_array_free(expired, TRUE);
}

static void *
run_thread(void *user)
{
    platform_t *platform = user;
    for (;;) {
        pthread_mutex_lock(&platform->mutex);
        bool stopping = platform->stopping;
        nm_ms_t now_ms = platform_now(platform);
        entries_update(&platform->entries, platform,
                       platform->mode == STORE_UP, now_ms);
        executor_fleet_update(platform->fleet, now_ms);
        expire_leases(platform, now_ms);
        serve_waiting(platform, now_ms);
        pthread_mutex_unlock(&platform->mutex);
        if (stopping) {
            return NULL;
        }
        usleep(TICK_US);
    }
}

platform_t *
platform_new(const platform_desc_t *desc)
{
    platform_t *platform = g_new0(platform_t, 1);
    platform->desc = *desc;
    platform->started_ms = fake_now_ms();
    entries_init(&platform->entries, desc);
    platform->revision = 1;
    platform->fleet = executor_fleet_new(&desc->fleet);
    nm_rng_init(&platform->rng, desc->fleet.seed + 1);
    platform->items = g_tree_new_full(compare_keys, NULL, NULL, free_item);
    platform->events = g_ptr_array_new_with_free_func(free_item);
    platform->expiries_ms =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    platform->ttls_ms =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    platform->waiting = g_ptr_array_new();
    platform->delayed_orders = g_ptr_array_new();
    pthread_mutex_init(&platform->mutex, NULL);
    platform->daemon = MHD_start_daemon(
        MHD_USE_EPOLL_INTERNAL_THREAD | MHD_ALLOW_SUSPEND_RESUME, desc->port,
        NULL, NULL, on_request, platform, MHD_OPTION_NOTIFY_COMPLETED,
        on_request_completed, platform, MHD_OPTION_CONNECTION_LIMIT,
        (unsigned)CONNECTIONS_MAX, MHD_OPTION_END);
    if (!platform->daemon) {
        fprintf(stderr, "soak: cannot listen on port %u\n", desc->port);
        exit(2);
    }
    pthread_create(&platform->thread, NULL, run_thread, platform);
    return platform;
}

void
platform_free(platform_t *platform)
{
    platform_lock(platform);
    platform->stopping = true;
    platform_unlock(platform);
    pthread_join(platform->thread, NULL);
    for (guint i = platform->waiting->len; i > 0; i--) {
        request_t *request = platform->waiting->pdata[i - 1];
        request->status = 503;
        MHD_resume_connection(request->connection);
    }
    g_ptr_array_set_size(platform->waiting, 0);
    MHD_stop_daemon(platform->daemon);
    executor_fleet_free(platform->fleet);
    g_tree_destroy(platform->items);
    g_ptr_array_free(platform->events, TRUE);
    g_hash_table_destroy(platform->expiries_ms);
    g_hash_table_destroy(platform->ttls_ms);
    g_ptr_array_free(platform->waiting, TRUE);
    g_ptr_array_set_free_func(platform->delayed_orders, free_request);
    g_ptr_array_free(platform->delayed_orders, TRUE);
    pthread_mutex_destroy(&platform->mutex);
    g_free(platform);
}
