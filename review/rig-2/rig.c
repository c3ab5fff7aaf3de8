/*
 * Stand-ins for the cases of the second review: the platform's store and list
 * of machines, an executor, and a caller.  Each is a process of its own, so
 * that the scripts can end it with a signal.
 *
 *     rig store PORT RECORD          store, /machines and expiry of entries
 *     rig worker ID PORT STORE_PORT RECORD SERVICE LABEL
 *     rig call METHOD URL HOST BODY RECORD   prints "STATUS BODY"
 *     rig put STORE_PORT KEY VALUE RECORD    as the operator
 *     rig ports COUNT                        prints free ports
 *     rig now                                prints the time of the records
 *
 * All addresses are on loopback.  RECORD is a file to which each process
 * appends what it was sent and what it did, one line each.
 *
 * A worker leaves an order unanswered if the file RECORD.ID.PATH.swallow is
 * there (PATH: hold, ...): it renames the file to RECORD.ID.PATH.call, with
 * the body of the order in it, and `rig late` carries it out later, at
 * whatever process is at the port then.  "acks" in the file chooses a hold
 * that acknowledges an end.
 *
 *     rig late ID PORT PATH CALL_FILE RECORD
 *
 * The payload ("spec") of a task tells the executor what to do, as words:
 * work=MS how long it works, saved=BYTES the length of its checkpoints; a task
 * whose data is in another rack (data=RACK) takes three times as long, one
 * with the word "lasts" works until it is stopped, and run 1 of one with the
 * words "fails once" ends `failed` when its work is over.
 */
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>
#include <unistd.h>

#include <arpa/inet.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <microhttpd.h>

/* Of the users' pages. */
#define HEARTBEAT_MS 1500
#define ENTRY_EXPIRY_MS (3 * HEARTBEAT_MS)
#define HOLD_MAX_MS 10000
#define STOP_MS 100
#define CHECKPOINT_MS 1000
#define ENDS_LISTED_MAX 500
#define LIST_MAX 500
#define ROOM_CPU_MILLI 64000
#define ROOM_MEMORY_MB 256000
#define SPREAD_FACTOR 3
/* Of each executor here. */
#define RACK "r1-1"

#define TICK_MS 5
#define TEXT_MAX 4096

static pthread_mutex_t mutex = PTHREAD_MUTEX_INITIALIZER;
static FILE *record_file;
static const char *record_path;
static volatile sig_atomic_t stop_requested;

static void
on_signal(int number)
{
    (void)number;
    stop_requested = 1;
}

static int64_t
steady_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static int64_t
unix_ms(void)
{
    return g_get_real_time() / 1000;
}

/* Steady clocks of all processes are the same: lines can be compared. */
static void
record(const char *format, ...)
{
    char text[TEXT_MAX];
    va_list arguments;
    va_start(arguments, format);
    vsnprintf(text, sizeof(text), format, arguments);
    va_end(arguments);
    fprintf(record_file, "%lld %s\n", (long long)steady_ms(), text);
    fflush(record_file);
}

static void
open_record(const char *path)
{
    record_path = path;
    record_file = fopen(path, "a");
    if (!record_file) {
        perror(path);
        exit(2);
    }
}

/* --- HTTP --- */

typedef struct {
    const char *method;
    const char *path;
    struct MHD_Connection *connection;
    json_t *body;
} call_t;

/* Returns the status; *response is freed by the caller, NULL: "{}". */
typedef int (*serve_fn)(const call_t *call, json_t **response);

static enum MHD_Result
on_request(void *user, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *data,
           size_t *data_size, void **context)
{
    (void)version;
    GString *body = *context;
    if (!body) {
        *context = g_string_new(NULL);
        return MHD_YES;
    }
    if (*data_size > 0) {
        g_string_append_len(body, data, (gssize)*data_size);
        *data_size = 0;
        return MHD_YES;
    }
    call_t call = {method, url, connection,
                   json_loadb(body->str, body->len, 0, NULL)};
    json_t *response = NULL;
    int status = ((serve_fn)user)(&call, &response);
    char *text = response ? json_dumps(response, JSON_COMPACT) : strdup("{}");
    struct MHD_Response *reply = MHD_create_response_from_buffer(
        strlen(text), text, MHD_RESPMEM_MUST_FREE);
    MHD_add_response_header(reply, "Content-Type", "application/json");
    enum MHD_Result result =
        MHD_queue_response(connection, (unsigned)status, reply);
    MHD_destroy_response(reply);
    json_decref(response);
    json_decref(call.body);
    return result;
}

static void
on_completed(void *user, struct MHD_Connection *connection, void **context,
             enum MHD_RequestTerminationCode code)
{
    (void)user;
    (void)connection;
    (void)code;
    if (*context) {
        g_string_free(*context, TRUE);
    }
    *context = NULL;
}

static void
listen_at(const char *port, serve_fn serve)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)atoi(port)),
                                  .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION, 0,
        NULL, NULL, on_request, (void *)serve, MHD_OPTION_SOCK_ADDR, &address,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, NULL, MHD_OPTION_END);
    if (!daemon) {
        fprintf(stderr, "rig: cannot listen on port %s\n", port);
        exit(2);
    }
}

static size_t
on_data(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

/* Returns the status, or 0 if there is no response. */
static long
send_call(const char *method, const char *url, const char *host,
          const char *instance, const char *body, GString *response)
{
    CURL *easy = curl_easy_init();
    char host_header[TEXT_MAX];
    snprintf(host_header, sizeof(host_header), "Host: %s", host);
    struct curl_slist *headers = curl_slist_append(NULL, host_header);
    headers = curl_slist_append(headers, "Content-Type: application/json");
    char instance_header[TEXT_MAX];
    snprintf(instance_header, sizeof(instance_header), "Expected-Instance: %s",
             instance ? instance : "");
    if (instance) {
        headers = curl_slist_append(headers, instance_header);
    }
    headers = curl_slist_append(headers, "Request-Deadline-Ms: 3000");
    headers = curl_slist_append(headers, "Expect:");
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, method);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, 3000L);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, response);
    if (body[0] != '\0') {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, body);
    }
    long status = 0;
    if (curl_easy_perform(easy) == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    curl_slist_free_all(headers);
    curl_easy_cleanup(easy);
    return status;
}

/* Writes a key of the operator or of an executor. */
static long
put_key(const char *store_port, const char *key, const char *value)
{
    char *encoded = g_base64_encode((const guchar *)value, strlen(value));
    json_t *body =
        json_pack("{s:[{s:s,s:s}]}", "puts", "key", key, "value", encoded);
    char *text = json_dumps(body, JSON_COMPACT);
    char url[128];
    snprintf(url, sizeof(url), "http://127.0.0.1:%s/kv-txn", store_port);
    GString *response = g_string_new(NULL);
    long status = send_call("POST", url, "store", NULL, text, response);
    g_string_free(response, TRUE);
    free(text);
    json_decref(body);
    g_free(encoded);
    return status;
}

/* --- the store --- */

typedef struct {
    char *key;
    char *value; /* base64; NULL: deleted */
    int64_t revision;
    int64_t lease;
    int64_t written_ms;
} item_t;

typedef struct {
    int64_t id;
    int64_t ttl_ms;
    int64_t expiry_ms;
} lease_t;

static GTree *items;
static GPtrArray *events; /* of item_t, by revision */
static GHashTable *leases;
static int64_t revision = 1;
static int64_t last_lease;

static int
compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
    (void)user;
    return strcmp(a, b);
}

static item_t *
new_item(const char *key, const char *value, int64_t lease)
{
    item_t *item = g_new0(item_t, 1);
    *item =
        (item_t){g_strdup(key), g_strdup(value), revision, lease, steady_ms()};
    return item;
}

static void
apply(const char *key, const char *value, int64_t lease)
{
    g_ptr_array_add(events, new_item(key, value, lease));
    if (value) {
        item_t *item = new_item(key, value, lease);
        g_tree_replace(items, item->key, item);
    }
    else {
        g_tree_remove(items, key);
    }
}

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

static const char *
argument(const call_t *call, const char *name)
{
    const char *value = MHD_lookup_connection_value(
        call->connection, MHD_GET_ARGUMENT_KIND, name);
    return value ? value : "";
}

typedef struct {
    const char *prefix;
    const char *after;
    json_t *rows;
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
    listing->more = json_array_size(listing->rows) >= LIST_MAX;
    if (!listing->more) {
        json_array_append_new(listing->rows, encode_item(value));
    }
    return listing->more;
}

static int
serve_range(const call_t *call, json_t **response)
{
    listing_t listing = {argument(call, "pathPrefix"), argument(call, "after"),
                         json_array(), false};
    g_tree_foreach(items, list_item, &listing);
    *response = json_pack("{s:o,s:b,s:I}", "items", listing.rows, "morePages",
                          listing.more, "asOf", (json_int_t)revision);
    return 200;
}

/* Called with the mutex, which it leaves while it waits. */
static int
serve_watch(const call_t *call, json_t **response)
{
    char *prefix = g_strdup(argument(call, "pathPrefix"));
    int64_t after = strtoll(argument(call, "after"), NULL, 10);
    int64_t until_ms =
        steady_ms() + strtoll(argument(call, "waitMs"), NULL, 10);
    json_t *rows = json_array();
    for (;;) {
        for (guint i = 0; i < events->len; i++) {
            const item_t *event = events->pdata[i];
            if (event->revision > after &&
                g_str_has_prefix(event->key, prefix)) {
                json_array_append_new(rows, encode_item(event));
            }
        }
        if (json_array_size(rows) > 0 || steady_ms() >= until_ms) {
            break;
        }
        pthread_mutex_unlock(&mutex);
        g_usleep(TICK_MS * 1000);
        pthread_mutex_lock(&mutex);
    }
    *response =
        json_pack("{s:o,s:I}", "events", rows, "asOf", (json_int_t)revision);
    g_free(prefix);
    return 200;
}

static const item_t *
find_item(const json_t *row)
{
    return g_tree_lookup(items,
                         json_string_value(json_object_get(row, "key")));
}

static int
serve_txn(const call_t *call, json_t **response)
{
    size_t i;
    json_t *row;
    bool matches = true;
    json_t *current = json_array();
    json_array_foreach(json_object_get(call->body, "expected"), i, row)
    {
        const item_t *item = find_item(row);
        int64_t wanted = json_integer_value(json_object_get(row, "revision"));
        matches = matches && (item ? item->revision : 0) == wanted;
        if (item) {
            json_array_append_new(current, encode_item(item));
        }
    }
    if (!matches) {
        *response = json_pack("{s:o}", "items", current);
        return 412;
    }
    json_decref(current);
    json_array_foreach(json_object_get(call->body, "puts"), i, row)
    {
        int64_t lease = json_integer_value(json_object_get(row, "lease"));
        if (lease && !g_hash_table_contains(leases, &lease)) {
            return 404;
        }
    }
    revision++;
    json_array_foreach(json_object_get(call->body, "puts"), i, row)
    {
        apply(json_string_value(json_object_get(row, "key")),
              json_string_value(json_object_get(row, "value")),
              json_integer_value(json_object_get(row, "lease")));
    }
    json_array_foreach(json_object_get(call->body, "remove"), i, row)
    {
        apply(json_string_value(row), NULL, 0);
    }
    *response = json_pack("{s:I}", "revision", (json_int_t)revision);
    return 200;
}

typedef struct {
    int64_t lease;         /* keys of it; 0: entries that have expired */
    int64_t written_by_ms; /* before this */
    GPtrArray *keys;
} collection_t;

static gboolean
collect_item(gpointer key, gpointer value, gpointer user)
{
    collection_t *collection = user;
    const item_t *item = value;
    bool chosen = collection->lease
                      ? item->lease == collection->lease
                      : g_str_has_prefix(key, "servers/") &&
                            item->written_ms < collection->written_by_ms;
    if (chosen) {
        g_ptr_array_add(collection->keys, g_strdup(key));
    }
    return FALSE;
}

static void
remove_keys(int64_t lease, int64_t written_by_ms)
{
    collection_t collection = {lease, written_by_ms,
                               g_ptr_array_new_with_free_func(g_free)};
    g_tree_foreach(items, collect_item, &collection);
    for (guint i = 0; i < collection.keys->len; i++) {
        revision++;
        record("store: removes %s", (char *)collection.keys->pdata[i]);
        apply(collection.keys->pdata[i], NULL, 0);
    }
    g_ptr_array_free(collection.keys, TRUE);
}

static void
end_lease(int64_t id)
{
    g_hash_table_remove(leases, &id);
    remove_keys(id, 0);
}

static int
serve_lease(const call_t *call, json_t **response)
{
    if (strcmp(call->path, "/kv-lease") == 0) {
        lease_t *lease = g_new0(lease_t, 1);
        lease->id = ++last_lease;
        lease->ttl_ms =
            json_integer_value(json_object_get(call->body, "ttlMs"));
        lease->expiry_ms = steady_ms() + lease->ttl_ms;
        g_hash_table_insert(leases, &lease->id, lease);
        *response = json_pack("{s:I,s:I}", "lease", (json_int_t)lease->id,
                              "ttlMs", (json_int_t)lease->ttl_ms);
        return 200;
    }
    int64_t id = strtoll(strrchr(call->path, '/') + 1, NULL, 10);
    lease_t *lease = g_hash_table_lookup(leases, &id);
    if (!lease) {
        return 404;
    }
    if (g_str_has_prefix(call->path, "/kv-keep/")) {
        lease->expiry_ms = steady_ms() + lease->ttl_ms;
    }
    else {
        end_lease(id);
    }
    return 200;
}

static int
serve_key(const call_t *call, json_t **response)
{
    const item_t *item = g_tree_lookup(items, argument(call, "key"));
    if (!item) {
        return 404;
    }
    *response = encode_item(item);
    json_object_set_new(*response, "asOf", json_integer(revision));
    return 200;
}

/* Each worker that has ever had an entry is one machine, which is up. */
static int
serve_machines(json_t **response)
{
    json_t *rows = json_array();
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    for (guint i = 0; i < events->len; i++) {
        const char *key = ((const item_t *)events->pdata[i])->key;
        if (g_str_has_prefix(key, "servers/") &&
            g_hash_table_add(listed, (gpointer)key))
        {
            const char *id = key + strlen("servers/");
            json_array_append_new(rows,
                                  json_pack("{s:s,s:s,s:s}", "machine", id,
                                            "state", "up", "id", id));
        }
    }
    g_hash_table_destroy(listed);
    *response = json_pack("{s:o,s:n}", "machines", rows, "nextPageToken");
    return 200;
}

static int
serve_store(const call_t *call, json_t **response)
{
    pthread_mutex_lock(&mutex);
    int status = 404;
    if (strcmp(call->path, "/machines") == 0) {
        status = serve_machines(response);
    }
    else if (strcmp(call->path, "/kv-key") == 0) {
        status = serve_key(call, response);
    }
    else if (strcmp(call->path, "/kv-range") == 0) {
        status = serve_range(call, response);
    }
    else if (strcmp(call->path, "/kv-watch") == 0) {
        status = serve_watch(call, response);
    }
    else if (strcmp(call->path, "/kv-txn") == 0) {
        status = serve_txn(call, response);
    }
    else if (g_str_has_prefix(call->path, "/kv-")) {
        status = serve_lease(call, response);
    }
    pthread_mutex_unlock(&mutex);
    return status;
}

static void
expire_leases(int64_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    int64_t expired = 0;
    g_hash_table_iter_init(&iter, leases);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const lease_t *lease = value;
        expired = now_ms >= lease->expiry_ms ? lease->id : expired;
    }
    if (expired) {
        end_lease(expired);
    }
}

static int
run_store(char **arguments)
{
    open_record(arguments[1]);
    items = g_tree_new_full(compare_keys, NULL, NULL, NULL);
    events = g_ptr_array_new();
    leases = g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    listen_at(arguments[0], serve_store);
    while (!stop_requested) {
        pthread_mutex_lock(&mutex);
        expire_leases(steady_ms());
        remove_keys(0, steady_ms() - ENTRY_EXPIRY_MS);
        pthread_mutex_unlock(&mutex);
        g_usleep(TICK_MS * 1000);
    }
    return 0;
}

/* --- an executor --- */

typedef struct {
    char task[64];
    int64_t run;
    int64_t started_ms;
    int64_t work_ms; /* of this run */
    int64_t stop_ms; /* 0: no stop was ordered */
    size_t saved_bytes;
    bool lasts;
    bool fails; /* when its work is over */
} run_t;

typedef struct {
    int64_t number;
    char task[64];
    int64_t run;
    const char *how;
    char *saved;
} end_t;

static struct {
    const char *id;
    int64_t born;
    int64_t began_ms;
    int64_t epoch;
    int64_t expiry_ms; /* on its own clock */
    int64_t last_end;
    GArray *runs;
    GArray *ends;
    GHashTable *finished; /* task -> highest run that ended or was stopped */
} worker;

static int64_t
worker_clock(void)
{
    return steady_ms() - worker.began_ms + 1;
}

static int64_t
finished_run(const char *task)
{
    const int64_t *run = g_hash_table_lookup(worker.finished, task);
    return run ? *run : 0;
}

static void
note_finished(const char *task, int64_t run)
{
    if (run > finished_run(task)) {
        g_hash_table_insert(worker.finished, g_strdup(task),
                            g_memdup2(&run, sizeof(run)));
    }
}

static run_t *
find_run(const char *task)
{
    for (guint i = 0; i < worker.runs->len; i++) {
        run_t *run = &g_array_index(worker.runs, run_t, i);
        if (strcmp(run->task, task) == 0) {
            return run;
        }
    }
    return NULL;
}

/* Digits of the seconds worked, as long as the payload asks. */
static char *
encode_checkpoint(const run_t *run)
{
    int64_t saved = (steady_ms() - run->started_ms) / CHECKPOINT_MS;
    return saved > 0 && run->saved_bytes > 0
               ? g_strdup_printf("%0*lld", (int)run->saved_bytes,
                                 (long long)saved)
               : g_strdup("");
}

static void
end_run(guint index, const char *how)
{
    const run_t *run = &g_array_index(worker.runs, run_t, index);
    bool is_done = strcmp(how, "done") == 0;
    end_t end = {.number = ++worker.last_end,
                 .run = run->run,
                 .how = how,
                 .saved = is_done ? g_strdup("") : encode_checkpoint(run)};
    g_strlcpy(end.task, run->task, sizeof(end.task));
    note_finished(run->task, run->run);
    record("%s: %s run %lld ends %s", worker.id, run->task,
           (long long)run->run, how);
    g_array_append_val(worker.ends, end);
    g_array_remove_index(worker.runs, index);
}

static void
update_runs(void)
{
    bool lapsed = worker_clock() > worker.expiry_ms;
    int64_t now_ms = steady_ms();
    for (guint i = worker.runs->len; i > 0; i--) {
        const run_t *run = &g_array_index(worker.runs, run_t, i - 1);
        if (run->stop_ms > 0 && now_ms >= run->stop_ms) {
            end_run(i - 1, "stopped");
        }
        else if (lapsed) {
            end_run(i - 1, "lapsed");
        }
        else if (!run->lasts && now_ms >= run->started_ms + run->work_ms) {
            end_run(i - 1, run->fails ? "failed" : "done");
        }
    }
}

static void
extend_worker_lease(const json_t *body)
{
    int64_t expiry_ms = json_integer_value(json_object_get(body, "expiryMs"));
    worker.expiry_ms =
        MAX(worker.expiry_ms, MIN(expiry_ms, worker_clock() + HOLD_MAX_MS));
}

static int64_t
find_number(const char *payload, const char *word, int64_t otherwise)
{
    const char *found = strstr(payload, word);
    return found ? strtoll(found + strlen(word), NULL, 10) : otherwise;
}

static int
refuse(json_t **response, const char *reason)
{
    *response = json_pack("{s:I,s:s}", "clockMs", (json_int_t)worker_clock(),
                          "reason", reason);
    return 409;
}

static int
start_run(const call_t *call, const char *task, int64_t run, json_t **response)
{
    const char *payload =
        json_string_value(json_object_get(call->body, "spec"));
    const run_t *current = find_run(task);
    if (current && current->run == run) {
        return 200;
    }
    if (current || run <= finished_run(task)) {
        extend_worker_lease(call->body);
        return refuse(response, "old");
    }
    if (json_integer_value(json_object_get(call->body, "expiryMs")) <=
        worker_clock())
    {
        return refuse(response, "late");
    }
    const char *checkpoint =
        json_string_value(json_object_get(call->body, "checkpoint"));
    bool is_first = run == 1;
    const char *data_rack = strstr(payload, "data=");
    bool is_far =
        data_rack && !g_str_has_prefix(data_rack + strlen("data="), RACK);
    run_t begun = {.run = run,
                   .started_ms = steady_ms(),
                   .work_ms = find_number(payload, "work=", 1000) *
                              (is_far ? SPREAD_FACTOR : 1),
                   .saved_bytes = (size_t)find_number(payload, "saved=", 0),
                   .lasts = strstr(payload, "lasts") != NULL,
                   .fails = is_first && strstr(payload, "fails once") != NULL};
    g_strlcpy(begun.task, task, sizeof(begun.task));
    extend_worker_lease(call->body);
    g_array_append_val(worker.runs, begun);
    record("%s: %s run %lld starts, checkpoint of %zu bytes", worker.id, task,
           (long long)run, checkpoint ? strlen(checkpoint) : 0);
    return 200;
}

static void
stop_run(const char *task, int64_t run)
{
    run_t *current = find_run(task);
    record("%s: %s run %lld is to stop", worker.id, task, (long long)run);
    if (current && current->run <= run && current->stop_ms == 0) {
        current->stop_ms = steady_ms() + STOP_MS;
    }
    note_finished(task, run);
}

static json_t *
encode_lists(void)
{
    json_t *running = json_array();
    json_t *finished = json_array();
    for (guint i = 0; i < worker.runs->len; i++) {
        const run_t *run = &g_array_index(worker.runs, run_t, i);
        char *checkpoint = encode_checkpoint(run);
        json_array_append_new(running, json_pack("[s,I,s,i,i]", run->task,
                                                 (json_int_t)run->run,
                                                 checkpoint, 100, 0));
        g_free(checkpoint);
    }
    for (guint i = 0; i < MIN(worker.ends->len, ENDS_LISTED_MAX); i++) {
        const end_t *end = &g_array_index(worker.ends, end_t, i);
        json_array_append_new(finished,
                              json_pack("[I,s,I,s,s]", (json_int_t)end->number,
                                        end->task, (json_int_t)end->run,
                                        end->how, end->saved));
    }
    return json_pack(
        "{s:I,s:I,s:o,s:o}", "clockMs", (json_int_t)worker_clock(), "born",
        (json_int_t)worker.born, "running", running, "finished", finished);
}

/* Called with the mutex, which it leaves while it waits. */
static void
hold(const call_t *call, json_t **response)
{
    int64_t acked =
        json_integer_value(json_object_get(call->body, "ackCursor"));
    int64_t wait_ms =
        json_integer_value(json_object_get(call->body, "waitMs"));
    int64_t until_ms = steady_ms() + wait_ms;
    record("%s: hold, ackCursor %lld, epoch %lld", worker.id, (long long)acked,
           (long long)worker.epoch);
    extend_worker_lease(call->body);
    while (worker.ends->len > 0 &&
           g_array_index(worker.ends, end_t, 0).number <= acked)
    {
        const end_t *end = &g_array_index(worker.ends, end_t, 0);
        record("%s: end of %s run %lld is acknowledged", worker.id, end->task,
               (long long)end->run);
        g_free(end->saved);
        g_array_remove_index(worker.ends, 0);
    }
    while (worker.ends->len == 0 && steady_ms() < until_ms) {
        pthread_mutex_unlock(&mutex);
        g_usleep(TICK_MS * 1000);
        pthread_mutex_lock(&mutex);
    }
    *response = encode_lists();
}

static int
serve_order(const call_t *call, json_t **response)
{
    const char *task = json_string_value(json_object_get(call->body, "task"));
    int64_t run = json_integer_value(json_object_get(call->body, "runId"));
    int64_t epoch =
        json_integer_value(json_object_get(call->body, "fencingToken"));
    const char *wanted = MHD_lookup_connection_value(
        call->connection, MHD_HEADER_KIND, "Expected-Instance");
    if (wanted && strcmp(wanted, worker.id) != 0) {
        return 421;
    }
    if (epoch < worker.epoch) {
        return refuse(response, "fence");
    }
    worker.epoch = epoch;
    update_runs();
    int status = 200;
    if (strcmp(call->path, "/run-start") == 0) {
        status = start_run(call, task, run, response);
    }
    else if (strcmp(call->path, "/run-stop") == 0) {
        stop_run(task, run);
    }
    else if (strcmp(call->path, "/hold") == 0) {
        hold(call, response);
    }
    if (!*response) {
        *response = json_pack("{s:I}", "clockMs", (json_int_t)worker_clock());
    }
    return status;
}

/* Longer than any timeout of the system's calls. */
#define SWALLOWED_S 20

/* Returns true if the order is left unanswered: it is kept for `rig late`. */
static bool
is_swallowed(const call_t *call)
{
    char *trigger = g_strdup_printf("%s.%s.%s.swallow", record_path, worker.id,
                                    call->path + 1);
    char *kept = g_strdup_printf("%s.%s.%s.call", record_path, worker.id,
                                 call->path + 1);
    char *condition = NULL;
    int64_t acked =
        json_integer_value(json_object_get(call->body, "ackCursor"));
    pthread_mutex_lock(&mutex);
    bool swallowed = g_file_get_contents(trigger, &condition, NULL, NULL) &&
                     (acked > 0 || !g_str_has_prefix(condition, "acks"));
    if (swallowed) {
        char *text = json_dumps(call->body, JSON_COMPACT);
        g_file_set_contents(kept, text, -1, NULL);
        unlink(trigger);
        record("%s: %s %s is left unanswered", worker.id, call->path, text);
        free(text);
    }
    pthread_mutex_unlock(&mutex);
    g_free(condition);
    g_free(trigger);
    g_free(kept);
    return swallowed;
}

static int
serve_worker(const call_t *call, json_t **response)
{
    if (is_swallowed(call)) {
        g_usleep(SWALLOWED_S * G_USEC_PER_SEC);
        return 503;
    }
    pthread_mutex_lock(&mutex);
    int status = serve_order(call, response);
    pthread_mutex_unlock(&mutex);
    return status;
}

static void
announce(const char *port, const char *store_port, const char *service,
         const char *label, int64_t sequence)
{
    char key[128];
    char address[64];
    snprintf(key, sizeof(key), "servers/%s", worker.id);
    snprintf(address, sizeof(address), "127.0.0.1:%s", port);
    json_t *entry = json_pack(
        "{s:s,s:s,s:s,s:s,s:i,s:s,s:i,s:{s:i,s:i,s:i},s:[s,s],s:I,s:I,s:I}",
        "service", service, "address", address, "zone", "z0", "version", "v1",
        "slots", 8, "state", "ready", "coldRemainingMs", 0, "capacity", "cpu",
        ROOM_CPU_MILLI, "memMb", ROOM_MEMORY_MB, "gpu", 0, "labels", label,
        RACK, "clockMs", (json_int_t)worker_clock(), "sequence",
        (json_int_t)sequence, "born", (json_int_t)worker.born);
    char *text = json_dumps(entry, JSON_COMPACT);
    put_key(store_port, key, text);
    free(text);
    json_decref(entry);
}

static int
run_worker(char **arguments)
{
    open_record(arguments[3]);
    worker.id = arguments[0];
    worker.born = unix_ms();
    worker.began_ms = steady_ms();
    worker.runs = g_array_new(FALSE, TRUE, sizeof(run_t));
    worker.ends = g_array_new(FALSE, TRUE, sizeof(end_t));
    worker.finished =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    listen_at(arguments[1], serve_worker);
    record("%s: is up, born %lld", worker.id, (long long)worker.born);
    int64_t due_ms = 0;
    int64_t sequence = 1;
    while (!stop_requested) {
        if (steady_ms() >= due_ms) {
            due_ms = steady_ms() + HEARTBEAT_MS;
            announce(arguments[1], arguments[2], arguments[4], arguments[5],
                     sequence++);
        }
        pthread_mutex_lock(&mutex);
        update_runs();
        pthread_mutex_unlock(&mutex);
        g_usleep(TICK_MS * 1000);
    }
    return 0;
}

/* --- callers and the operator --- */

static int
run_call(char **arguments)
{
    open_record(arguments[4]);
    record("caller: %s %s host %s %.1000s", arguments[0], arguments[1],
           arguments[2], arguments[3]);
    GString *response = g_string_new(NULL);
    long status = send_call(arguments[0], arguments[1], arguments[2], NULL,
                            arguments[3], response);
    record("caller: gets %ld %s", status, response->str);
    printf("%ld %s\n", status, response->str);
    g_string_free(response, TRUE);
    return 0;
}

/* Carries out an order that was left unanswered; nobody gets the response. */
static int
run_late(char **arguments)
{
    open_record(arguments[4]);
    char *body = NULL;
    if (!g_file_get_contents(arguments[3], &body, NULL, NULL)) {
        return 2;
    }
    char url[128];
    snprintf(url, sizeof(url), "http://127.0.0.1:%s%s", arguments[1],
             arguments[2]);
    record("platform: %s of %s %s is carried out late", arguments[2],
           arguments[0], body);
    GString *response = g_string_new(NULL);
    long status =
        send_call("POST", url, "worker", arguments[0], body, response);
    record("platform: %s answers %ld %s", arguments[0], status, response->str);
    g_string_free(response, TRUE);
    g_free(body);
    return status == 200 ? 0 : 1;
}

static int
run_put(char **arguments)
{
    open_record(arguments[3]);
    long status = put_key(arguments[0], arguments[1], arguments[2]);
    record("operator: %s = %.3000s: %ld", arguments[1], arguments[2], status);
    return status == 200 ? 0 : 2;
}

/* Prints ports that are free, one a line. */
static int
run_ports(char **arguments)
{
    for (int i = 0; i < atoi(arguments[0]); i++) {
        struct sockaddr_in address = {
            .sin_family = AF_INET, .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
        socklen_t bytes = sizeof(address);
        /* Stays open until the end, so that no port is printed twice. */
        int fd = socket(AF_INET, SOCK_STREAM, 0);
        if (bind(fd, (struct sockaddr *)&address, bytes) < 0 ||
            getsockname(fd, (struct sockaddr *)&address, &bytes) < 0)
        {
            return 2;
        }
        printf("%u\n", ntohs(address.sin_port));
    }
    return 0;
}

/* Prints the time of the lines of a record. */
static int
run_now(char **arguments)
{
    (void)arguments;
    printf("%lld\n", (long long)steady_ms());
    return 0;
}

int
main(int argc, char **argv)
{
    static const struct {
        const char *name;
        int arguments;
        int (*run)(char **arguments);
    } modes[] = {
        {"store", 2, run_store}, {"worker", 6, run_worker},
        {"call", 5, run_call},   {"put", 4, run_put},
        {"late", 5, run_late},   {"ports", 1, run_ports},
        {"now", 0, run_now},
    };
    signal(SIGTERM, on_signal);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_ALL);
    for (size_t i = 0; i < sizeof(modes) / sizeof(modes[0]); i++) {
        if (argc == modes[i].arguments + 2 &&
            strcmp(argv[1], modes[i].name) == 0) {
            return modes[i].run(argv + 2);
        }
    }
    fprintf(stderr, "usage: rig store|worker|call|put ..., see rig.c\n");
    return 2;
}
