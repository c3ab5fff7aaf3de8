#include "rig.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <jansson.h>

/* Bounds and settings of a small site. */
#define HEARTBEAT_MS 1100
#define HEARTBEATS_MISSED_MAX 3
#define MAX_HOLD_MS 10000
#define STOP_MS 300 /* stopTimeoutMs is 400 */
#define GRACE_S 6
#define CPU_SHARE "0.25"
#define FRONT_PORT 8161
#define READY_PORT 8167
#define METRICS_PORT 9464
#define PEER_PORT 7720
#define RANGE_ITEMS_MAX 500
#define HISTORY_MAX 20000
#define ENDS_MAX 500 /* in one answer (PROTOCOL.md) */
#define TICK_US 4000
#define STORE_US 4000    /* answer time of the store */
#define EXECUTOR_US 1000 /* way between two zones, there and back */
#define CALL_TIMEOUT_MS 3000
#define READY_TIMEOUT_MS 10000
#define BODY_MAX (4 * 1024 * 1024)

typedef struct {
    char *key;
    char *value; /* base64; NULL: deleted */
    int64_t revision;
    int64_t created;
    int64_t lease;
} item_t;

typedef struct {
    int64_t ttl_ms;
    int64_t expiry_ms;
} lease_t;

typedef struct {
    char id[32];
    int64_t born;
    int64_t boot;     /* counts its starts */
    int64_t start_ms; /* on the rig's clock */
    int64_t back_ms;  /* down until then; 0: up */
    int64_t epoch;
    int64_t lease_ms; /* expiry, on its own clock */
    int64_t ends;     /* number of the newest end */
    int64_t acked;
    int64_t sequence;
    int64_t beat_ms; /* last announcement in the store; 0: none */
    bool announcement_cut;
    GHashTable *last_runs; /* task -> newest run that ended or was stopped */
} executor_t;

/* A path between an entry host and the store, an executor or a host. */
typedef struct {
    int host;
    int executor; /* -1: the store */
    int peer;     /* -1: none */
    int port;
    int listener; /* -1: closed, as the executor is down */
    bool cut;
} path_t;

typedef struct {
    path_t *path;
    int fd;
    int64_t boot; /* of the executor when the channel was opened */
    bool dead;    /* it has lost something */
} channel_t;

typedef struct {
    char method[8];
    char target[2048];
    char instance[64];
    char *body;
} request_t;

typedef struct {
    int from;
    int to;
    path_t *path;
} forward_t;

static struct {
    rig_desc_t desc;
    bool trouble;
    char folder[512];
    char work_folder[64];
    FILE *record;
    int64_t began_ms;
    int64_t began_unix_ms;
    char net[16]; /* first three numbers of the hosts' addresses */
    pid_t pids[RIG_HOSTS_MAX];
    pthread_mutex_t mutex;
    GTree *items;
    GPtrArray *events; /* of item_t */
    int64_t revision;
    int64_t last_lease;
    GHashTable *leases;
    executor_t executors[RIG_EXECUTORS_MAX];
    GArray *runs; /* of rig_run_t */
    GHashTable *works;
    path_t store_paths[RIG_HOSTS_MAX];
    path_t executor_paths[RIG_HOSTS_MAX][RIG_EXECUTORS_MAX];
    path_t peer_paths[RIG_HOSTS_MAX][RIG_HOSTS_MAX];
} self;

static int64_t
steady_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
rig_now(void)
{
    return steady_ms() - self.began_ms;
}

void
rig_sleep(int64_t ms)
{
    usleep((useconds_t)(ms * 1000));
}

static void
note_list(const char *format, va_list arguments)
{
    char text[2048];
    vsnprintf(text, sizeof(text), format, arguments);
    if (self.record) {
        fprintf(self.record, "%7.3f %s\n", (double)rig_now() / 1000, text);
        fflush(self.record);
    }
}

void
rig_note(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    note_list(format, arguments);
    va_end(arguments);
}

static void
end_processes(void)
{
    for (int i = 0; i < self.desc.hosts; i++) {
        if (self.pids[i] > 0) {
            kill(self.pids[i], SIGCONT);
            kill(self.pids[i], SIGKILL);
            waitpid(self.pids[i], NULL, 0);
        }
    }
}

/* Removes settings and logs, unless KEEP is set. */
static void
remove_work_folder(void)
{
    static const char *const types[] = {"json", "log"};
    for (int i = 0; i < 2 * self.desc.hosts && !getenv("KEEP"); i++) {
        char *path = g_strdup_printf("%s/h%d.%s", self.work_folder, i / 2,
                                     types[i % 2]);
        unlink(path);
        g_free(path);
    }
    rmdir(self.work_folder);
}

static void
finish(int status)
{
    end_processes();
    remove_work_folder();
    if (self.record) {
        fclose(self.record);
    }
    _exit(status);
}

void
rig_end(bool broken)
{
    rig_note("result: %s", broken ? "the rule was broken" : "the rule held");
    printf("%s\n", broken ? "broken" : "held");
    fflush(stdout);
    finish(broken ? 1 : 0);
    abort();
}

void
rig_fail(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    note_list(format, arguments);
    va_end(arguments);
    printf("could not run, see record.txt\n");
    fflush(stdout);
    finish(2);
    abort();
}

bool
rig_trouble(void)
{
    return self.trouble;
}

static void
lock(void)
{
    pthread_mutex_lock(&self.mutex);
}

static void
unlock(void)
{
    pthread_mutex_unlock(&self.mutex);
}

/* --- the store --- */

static item_t *
new_item(const char *key, const char *value, int64_t created, int64_t lease)
{
    item_t *item = g_new0(item_t, 1);
    item->key = g_strdup(key);
    item->value = g_strdup(value);
    item->revision = self.revision;
    item->created = created;
    item->lease = lease;
    return item;
}

static void
free_item(gpointer data)
{
    item_t *item = data;
    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

static gint
compare_keys(gconstpointer a, gconstpointer b, gpointer user)
{
    (void)user;
    return strcmp(a, b);
}

static void
apply(const char *key, const char *value, int64_t lease)
{
    const item_t *known = g_tree_lookup(self.items, key);
    int64_t created = known ? known->created : self.revision;
    g_ptr_array_add(self.events, new_item(key, value, created, lease));
    if (self.events->len > HISTORY_MAX) {
        g_ptr_array_remove_range(self.events, 0, HISTORY_MAX / 2);
    }
    if (value) {
        item_t *item = new_item(key, value, created, lease);
        g_tree_replace(self.items, item->key, item);
    }
    else {
        g_tree_remove(self.items, key);
    }
}

static void
put_text(const char *key, const char *text)
{
    char *value =
        text ? g_base64_encode((const guchar *)text, strlen(text)) : NULL;
    self.revision++;
    apply(key, value, 0);
    g_free(value);
}

/*
 * The value as a host sees it: addresses of other hosts and of executors are
 * those of the host's paths to them.
 */
static char *
value_for_host(const item_t *item, int host)
{
    gsize bytes;
    guchar *data = g_base64_decode(item->value, &bytes);
    GString *text = g_string_new_len((const char *)data, (gssize)bytes);
    g_free(data);
    if (g_str_has_prefix(item->key, "servers/")) {
        for (int x = 0; x < self.desc.executors; x++) {
            if (strcmp(item->key + strlen("servers/"), self.executors[x].id) ==
                0) {
                char address[64];
                snprintf(address, sizeof(address), "127.0.0.1:%d",
                         self.executor_paths[host][x].port);
                g_string_replace(text, "ADDRESS", address, 1);
            }
        }
    }
    for (int other = 0; self.desc.peer_paths && other < self.desc.hosts;
         other++) {
        char own[64];
        char path[64];
        snprintf(own, sizeof(own), "tcp://%s.%d:%d", self.net, 11 + other,
                 PEER_PORT);
        snprintf(path, sizeof(path), "tcp://127.0.0.1:%d",
                 self.peer_paths[host][other].port);
        if (other != host && g_str_has_prefix(item->key, "nutmegdeck/") &&
            !g_str_has_prefix(item->key, "nutmegdeck/jobs/"))
        {
            g_string_replace(text, own, path, 0);
        }
    }
    char *value = g_base64_encode((const guchar *)text->str, text->len);
    g_string_free(text, TRUE);
    return value;
}

static json_t *
encode_item(const item_t *item, int host)
{
    if (!item->value) {
        return json_pack("{s:s,s:I,s:b}", "key", item->key, "revision",
                         (json_int_t)item->revision, "deleted", 1);
    }
    char *value = value_for_host(item, host);
    json_t *object =
        json_pack("{s:s,s:s,s:I,s:I,s:I}", "key", item->key, "value", value,
                  "revision", (json_int_t)item->revision, "createdAt",
                  (json_int_t)item->created, "lease", (json_int_t)item->lease);
    g_free(value);
    return object;
}

static char *
query(const char *target, const char *name)
{
    const char *at = strchr(target, '?');
    size_t length = strlen(name);
    while (at) {
        at++;
        if (strncmp(at, name, length) == 0 && at[length] == '=') {
            char *end =
                g_strndup(at + length + 1, strcspn(at + length + 1, "&"));
            char *text = g_uri_unescape_string(end, NULL);
            g_free(end);
            return text ? text : g_strdup("");
        }
        at = strchr(at, '&');
    }
    return g_strdup("");
}

typedef struct {
    const char *prefix;
    const char *after;
    json_t *items;
    int host;
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
    json_array_append_new(listing->items, encode_item(value, listing->host));
    return FALSE;
}

static int
serve_range(const request_t *request, int host, json_t **answer)
{
    char *prefix = query(request->target, "pathPrefix");
    char *after = query(request->target, "after");
    listing_t listing = {prefix, after, json_array(), host, false};
    g_tree_foreach(self.items, list_item, &listing);
    *answer = json_pack("{s:o,s:b,s:I}", "items", listing.items, "morePages",
                        listing.more, "asOf", (json_int_t)self.revision);
    g_free(prefix);
    g_free(after);
    return 200;
}

static int
serve_key(const request_t *request, int host, json_t **answer)
{
    char *key = query(request->target, "key");
    const item_t *item = g_tree_lookup(self.items, key);
    g_free(key);
    if (!item) {
        return 404;
    }
    *answer = encode_item(item, host);
    json_object_set_new(*answer, "asOf", json_integer(self.revision));
    return 200;
}

static int64_t
revision_of(const char *key)
{
    const item_t *item = key ? g_tree_lookup(self.items, key) : NULL;
    return item ? item->revision : 0;
}

static bool
may_write(const char *key)
{
    return key && !g_str_has_prefix(key, "op/") &&
           !g_str_has_prefix(key, "servers/");
}

/* Undoes value_for_host: the store keeps the hosts' own addresses. */
static char *
value_from_host(const char *value, int host)
{
    gsize bytes;
    guchar *data = g_base64_decode(value, &bytes);
    GString *text = g_string_new_len((const char *)data, (gssize)bytes);
    g_free(data);
    for (int other = 0; self.desc.peer_paths && other < self.desc.hosts;
         other++) {
        char own[64];
        char path[64];
        snprintf(own, sizeof(own), "tcp://%s.%d:%d", self.net, 11 + other,
                 PEER_PORT);
        snprintf(path, sizeof(path), "tcp://127.0.0.1:%d",
                 self.peer_paths[host][other].port);
        if (other != host) {
            g_string_replace(text, path, own, 0);
        }
    }
    char *encoded = g_base64_encode((const guchar *)text->str, text->len);
    g_string_free(text, TRUE);
    return encoded;
}

static int
serve_txn(const json_t *body, int host, json_t **answer)
{
    const json_t *expected = json_object_get(body, "expected");
    const json_t *puts = json_object_get(body, "puts");
    const json_t *removed = json_object_get(body, "remove");
    size_t i;
    json_t *row;
    bool matches = true;
    if (json_array_size(expected) + json_array_size(puts) +
            json_array_size(removed) >
        32)
    {
        return 400;
    }
    json_array_foreach(expected, i, row)
    {
        const char *key = json_string_value(json_object_get(row, "key"));
        matches = matches &&
                  revision_of(key) ==
                      json_integer_value(json_object_get(row, "revision"));
    }
    if (!matches) {
        json_t *items = json_array();
        json_array_foreach(expected, i, row)
        {
            const char *key = json_string_value(json_object_get(row, "key"));
            const item_t *item = g_tree_lookup(self.items, key);
            if (item) {
                json_array_append_new(items, encode_item(item, host));
            }
        }
        *answer = json_pack("{s:o}", "items", items);
        return 412;
    }
    json_array_foreach(puts, i, row)
    {
        int64_t lease = json_integer_value(json_object_get(row, "lease"));
        if (!may_write(json_string_value(json_object_get(row, "key")))) {
            return 403;
        }
        if (lease != 0 && !g_hash_table_contains(self.leases, &lease)) {
            return 404;
        }
    }
    json_array_foreach(removed, i, row)
    {
        if (!may_write(json_string_value(row))) {
            return 403;
        }
    }
    self.revision++;
    json_array_foreach(puts, i, row)
    {
        char *value = value_from_host(
            json_string_value(json_object_get(row, "value")), host);
        apply(json_string_value(json_object_get(row, "key")), value,
              json_integer_value(json_object_get(row, "lease")));
        g_free(value);
    }
    json_array_foreach(removed, i, row)
    {
        if (g_tree_lookup(self.items, json_string_value(row))) {
            apply(json_string_value(row), NULL, 0);
        }
    }
    *answer = json_pack("{s:I}", "revision", (json_int_t)self.revision);
    return 200;
}

static gboolean
collect_leased(gpointer key, gpointer value, gpointer user)
{
    void **context = user;
    if (((const item_t *)value)->lease == *(int64_t *)context[0]) {
        g_ptr_array_add(context[1], g_strdup(key));
    }
    return FALSE;
}

static void
end_lease(int64_t lease)
{
    GPtrArray *keys = g_ptr_array_new_with_free_func(g_free);
    void *context[] = {&lease, keys};
    g_tree_foreach(self.items, collect_leased, context);
    self.revision++;
    for (guint i = 0; i < keys->len; i++) {
        apply(keys->pdata[i], NULL, 0);
    }
    g_ptr_array_free(keys, TRUE);
    g_hash_table_remove(self.leases, &lease);
}

static int
serve_lease(const request_t *request, const json_t *body, json_t **answer)
{
    if (strcmp(request->target, "/kv-lease") == 0) {
        lease_t *lease = g_new0(lease_t, 1);
        int64_t *id = g_new(int64_t, 1);
        *id = ++self.last_lease;
        lease->ttl_ms = json_integer_value(json_object_get(body, "ttlMs"));
        lease->ttl_ms = CLAMP(lease->ttl_ms, 1000, 600000);
        lease->expiry_ms = rig_now() + lease->ttl_ms;
        g_hash_table_insert(self.leases, id, lease);
        *answer = json_pack("{s:I,s:I}", "lease", (json_int_t)*id, "ttlMs",
                            (json_int_t)lease->ttl_ms);
        return 200;
    }
    int64_t id = strtoll(strrchr(request->target, '/') + 1, NULL, 10);
    lease_t *lease = g_hash_table_lookup(self.leases, &id);
    if (!lease) {
        return 404;
    }
    if (strcmp(request->method, "DELETE") == 0) {
        end_lease(id);
        return 200;
    }
    lease->expiry_ms = rig_now() + lease->ttl_ms;
    *answer = json_pack("{s:I}", "ttlMs", (json_int_t)lease->ttl_ms);
    return 200;
}

/* Returns 0 if the watch has to wait. */
static int
serve_watch(const request_t *request, int host, int64_t until_ms,
            json_t **answer)
{
    char *prefix = query(request->target, "pathPrefix");
    char *after_text = query(request->target, "after");
    int64_t after = strtoll(after_text, NULL, 10);
    json_t *events = json_array();
    const item_t *oldest = self.events->len ? self.events->pdata[0] : NULL;
    bool gone = oldest && oldest->revision > after + 1 &&
                self.events->len > HISTORY_MAX / 2;
    for (guint i = 0; i < self.events->len; i++) {
        const item_t *item = self.events->pdata[i];
        if (item->revision > after && g_str_has_prefix(item->key, prefix)) {
            json_array_append_new(events, encode_item(item, host));
        }
    }
    g_free(prefix);
    g_free(after_text);
    if (gone) {
        json_decref(events);
        return 410;
    }
    if (json_array_size(events) == 0 && rig_now() < until_ms) {
        json_decref(events);
        return 0;
    }
    *answer = json_pack("{s:o,s:I}", "events", events, "asOf",
                        (json_int_t)self.revision);
    return 200;
}

static int
serve_store(const request_t *request, int host, int64_t until_ms,
            json_t **answer)
{
    if (g_str_has_prefix(request->target, "/kv-watch?")) {
        return serve_watch(request, host, until_ms, answer);
    }
    if (g_str_has_prefix(request->target, "/kv-range?")) {
        return serve_range(request, host, answer);
    }
    if (g_str_has_prefix(request->target, "/kv-key?")) {
        return serve_key(request, host, answer);
    }
    json_t *body = json_loads(request->body, 0, NULL);
    int status = 404;
    if (strcmp(request->target, "/kv-txn") == 0) {
        status = serve_txn(body, host, answer);
    }
    else if (g_str_has_prefix(request->target, "/kv-lease") ||
             g_str_has_prefix(request->target, "/kv-keep/"))
    {
        status = serve_lease(request, body, answer);
    }
    json_decref(body);
    return status;
}

/* --- executors --- */

static int64_t
executor_clock(const executor_t *executor)
{
    double rate = self.desc.clock_rate > 0 ? self.desc.clock_rate : 1.0;
    return 1 + (int64_t)((double)(rig_now() - executor->start_ms) * rate);
}

const char *
rig_executor_id(int executor)
{
    return self.executors[executor].id;
}

static int64_t
last_run(const executor_t *executor, const char *task)
{
    const int64_t *run = g_hash_table_lookup(executor->last_runs, task);
    return run ? *run : 0;
}

static void
record_last_run(executor_t *executor, const char *task, int64_t run)
{
    if (run > last_run(executor, task)) {
        g_hash_table_insert(executor->last_runs, g_strdup(task),
                            g_memdup2(&run, sizeof(run)));
    }
}

static void
end_run(rig_run_t *run, const char *end)
{
    executor_t *executor = &self.executors[run->executor];
    run->ended_ms = MAX(rig_now(), 1);
    g_strlcpy(run->end, end, sizeof(run->end));
    if (strcmp(end, "crash") != 0) {
        run->number = ++executor->ends;
        record_last_run(executor, run->task, run->run);
    }
    rig_note("executor %s: run %lld of %s ends: %s", executor->id,
             (long long)run->run, run->task, end);
}

static bool
is_live(const rig_run_t *run, int executor)
{
    return run->executor == executor && run->ended_ms == 0;
}

static void
update_executor(int x)
{
    executor_t *executor = &self.executors[x];
    bool lapsed = executor_clock(executor) >= executor->lease_ms;
    for (guint i = 0; i < self.runs->len; i++) {
        rig_run_t *run = &g_array_index(self.runs, rig_run_t, i);
        if (!is_live(run, x)) {
            continue;
        }
        if (run->stop_ms > 0 && rig_now() >= run->stop_ms) {
            end_run(run, "stopped");
        }
        else if (run->due_ms > 0 && rig_now() >= run->due_ms) {
            end_run(run, run->due_end);
        }
        else if (lapsed) {
            end_run(run, "lapsed");
        }
    }
}

static void
extend_lease(executor_t *executor, const json_t *body)
{
    int64_t expiry_ms =
        (int64_t)json_number_value(json_object_get(body, "expiryMs"));
    int64_t latest_ms = executor_clock(executor) + MAX_HOLD_MS;
    executor->lease_ms = MAX(executor->lease_ms, MIN(expiry_ms, latest_ms));
}

static rig_work_t
work_of(const char *task)
{
    char job[64] = "";
    g_strlcpy(job, task, MIN(strcspn(task, ".") + 1, sizeof(job)));
    const rig_work_t *work = g_hash_table_lookup(self.works, job);
    return work ? *work : (rig_work_t){0, "done"};
}

static const char *
serve_start(int x, int host, const json_t *body)
{
    executor_t *executor = &self.executors[x];
    const char *task = json_string_value(json_object_get(body, "task"));
    int64_t number = json_integer_value(json_object_get(body, "runId"));
    int64_t expiry_ms =
        (int64_t)json_number_value(json_object_get(body, "expiryMs"));
    for (guint i = 0; i < self.runs->len; i++) {
        const rig_run_t *run = &g_array_index(self.runs, rig_run_t, i);
        if (is_live(run, x) && strcmp(run->task, task) == 0) {
            return run->run == number ? NULL : "old";
        }
    }
    if (number <= last_run(executor, task)) {
        extend_lease(executor, body);
        return "old";
    }
    if (expiry_ms <= executor_clock(executor)) {
        return "late";
    }
    extend_lease(executor, body);
    rig_work_t work = work_of(task);
    rig_run_t run = {
        .run = number,
        .epoch = executor->epoch,
        .executor = x,
        .host = host,
        .begun_ms = rig_now(),
        .boot = executor->boot,
        .due_ms = work.duration_ms > 0 ? rig_now() + work.duration_ms : 0};
    g_strlcpy(run.task, task, sizeof(run.task));
    g_strlcpy(run.due_end, work.end, sizeof(run.due_end));
    g_array_append_val(self.runs, run);
    rig_note("executor %s: run %lld of %s begins, ordered by h%d with "
             "fencingToken %lld; expiryMs is %lld ms ahead of its clock",
             executor->id, (long long)number, task, host,
             (long long)executor->epoch,
             (long long)(expiry_ms - executor_clock(executor)));
    return NULL;
}

static void
serve_stop(int x, const json_t *body)
{
    executor_t *executor = &self.executors[x];
    const char *task = json_string_value(json_object_get(body, "task"));
    int64_t number = json_integer_value(json_object_get(body, "runId"));
    rig_note("executor %s: stop of run %lld of %s", executor->id,
             (long long)number, task);
    for (guint i = 0; i < self.runs->len; i++) {
        rig_run_t *run = &g_array_index(self.runs, rig_run_t, i);
        if (is_live(run, x) && strcmp(run->task, task) == 0 &&
            run->run <= number && run->stop_ms == 0)
        {
            run->stop_ms = rig_now() + STOP_MS;
        }
    }
    record_last_run(executor, task, number);
}

static json_t *
encode_lists(int x, bool *has_ends)
{
    executor_t *executor = &self.executors[x];
    json_t *running = json_array();
    json_t *finished = json_array();
    for (guint i = 0; i < self.runs->len; i++) {
        const rig_run_t *run = &g_array_index(self.runs, rig_run_t, i);
        if (is_live(run, x)) {
            json_array_append_new(running,
                                  json_pack("[s,I,s,i,i]", run->task,
                                            (json_int_t)run->run, "", 100, 0));
        }
    }
    /* The first 500 ends that are not acknowledged, by their numbers. */
    const rig_run_t *ended[ENDS_MAX] = {0};
    for (guint i = 0; i < self.runs->len; i++) {
        const rig_run_t *run = &g_array_index(self.runs, rig_run_t, i);
        int64_t position = run->number - executor->acked - 1;
        if (run->executor == x && run->boot == executor->boot &&
            run->number > 0 && position >= 0 && position < ENDS_MAX)
        {
            ended[position] = run;
        }
    }
    for (int i = 0; i < ENDS_MAX && ended[i]; i++) {
        json_array_append_new(
            finished, json_pack("[I,s,I,s,s]", (json_int_t)ended[i]->number,
                                ended[i]->task, (json_int_t)ended[i]->run,
                                ended[i]->end, ""));
    }
    *has_ends = json_array_size(finished) > 0;
    return json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
                     (json_int_t)executor_clock(executor), "born",
                     (json_int_t)executor->born, "running", running,
                     "finished", finished);
}

static void
acknowledge(int x, int64_t cursor)
{
    executor_t *executor = &self.executors[x];
    cursor = MIN(cursor, executor->ends);
    for (guint i = 0; i < self.runs->len; i++) {
        rig_run_t *run = &g_array_index(self.runs, rig_run_t, i);
        if (run->executor == x && run->boot == executor->boot &&
            run->number > executor->acked && run->number <= cursor)
        {
            run->noted = true;
            rig_note("executor %s: the end of run %lld of %s (%s) is "
                     "acknowledged",
                     executor->id, (long long)run->run, run->task, run->end);
        }
    }
    executor->acked = MAX(executor->acked, cursor);
}

/* Returns 0 if a hold has to wait; first: it was not checked before. */
static int
serve_executor(const request_t *request, int x, int host, int64_t until_ms,
               bool first, json_t **answer)
{
    executor_t *executor = &self.executors[x];
    if (strcmp(request->instance, executor->id) != 0) {
        return 421;
    }
    json_t *body = json_loads(request->body, 0, NULL);
    int64_t epoch = json_integer_value(json_object_get(body, "fencingToken"));
    const char *reason = NULL;
    int status = 200;
    update_executor(x);
    if (epoch < executor->epoch) {
        reason = "fence";
    }
    else if (strcmp(request->target, "/run-start") == 0) {
        executor->epoch = epoch;
        reason = serve_start(x, host, body);
    }
    else if (strcmp(request->target, "/run-stop") == 0) {
        executor->epoch = epoch;
        serve_stop(x, body);
    }
    else if (strcmp(request->target, "/hold") == 0) {
        executor->epoch = epoch;
        if (first) {
            extend_lease(executor, body);
            acknowledge(
                x, json_integer_value(json_object_get(body, "ackCursor")));
        }
        bool has_ends;
        *answer = encode_lists(x, &has_ends);
        if (!has_ends && rig_now() < until_ms) {
            json_decref(*answer);
            *answer = NULL;
            status = 0;
        }
    }
    else if (strcmp(request->target, "/pace") != 0) {
        status = 404;
    }
    if (reason) {
        status = 409;
        *answer =
            json_pack("{s:I,s:s}", "clockMs",
                      (json_int_t)executor_clock(executor), "reason", reason);
    }
    else if (status == 200 && !*answer) {
        *answer = json_pack("{s:I}", "clockMs",
                            (json_int_t)executor_clock(executor));
    }
    json_decref(body);
    return status;
}

static void
announce(int x)
{
    executor_t *executor = &self.executors[x];
    char key[64];
    snprintf(key, sizeof(key), "servers/%s", executor->id);
    bool silent = executor->announcement_cut || executor->back_ms > 0;
    if (silent) {
        if (executor->beat_ms > 0 && rig_now() - executor->beat_ms >
                                         HEARTBEATS_MISSED_MAX * HEARTBEAT_MS)
        {
            executor->beat_ms = 0;
            put_text(key, NULL);
            rig_note("store: the entry of executor %s expires", executor->id);
        }
        return;
    }
    if (executor->beat_ms > 0 && rig_now() - executor->beat_ms < HEARTBEAT_MS)
    {
        return;
    }
    executor->beat_ms = MAX(rig_now(), 1);
    char value[512];
    snprintf(value, sizeof(value),
             "{\"service\":\"verkstad\",\"address\":\"ADDRESS\",\"zone\":"
             "\"z%d\",\"version\":\"v1\",\"slots\":8,\"state\":\"ready\","
             "\"coldRemainingMs\":0,\"capacity\":{\"cpu\":%lld,\"memMb\":"
             "62500,\"gpu\":0},\"labels\":[\"a\",\"r%d-%d\"],\"clockMs\":"
             "%lld,\"sequence\":%lld,\"born\":%lld}",
             x % 3, (long long)self.desc.cpu_milli, x % 3, x / 8,
             (long long)executor_clock(executor),
             (long long)++executor->sequence, (long long)executor->born);
    put_text(key, value);
}

static void
boot_executor(int x)
{
    executor_t *executor = &self.executors[x];
    executor->start_ms = rig_now();
    executor->born = self.began_unix_ms + rig_now();
    executor->boot++;
    executor->back_ms = 0;
    executor->epoch = 0;
    executor->lease_ms = 0;
    executor->ends = 0;
    executor->acked = 0;
    executor->sequence = 0;
    executor->beat_ms = 0;
    g_hash_table_remove_all(executor->last_runs);
}

/* --- channels --- */

static bool
send_all(int fd, const char *data, size_t bytes)
{
    while (bytes > 0) {
        ssize_t sent = send(fd, data, bytes, MSG_NOSIGNAL);
        if (sent <= 0) {
            return false;
        }
        data += sent;
        bytes -= (size_t)sent;
    }
    return true;
}

static void
read_header(request_t *request, const char *line)
{
    static const char name[] = "Expected-Instance:";
    if (g_ascii_strncasecmp(line, name, strlen(name)) == 0) {
        const char *value = line + strlen(name);
        value += strspn(value, " ");
        g_strlcpy(request->instance, value,
                  MIN(strcspn(value, "\r\n") + 1, sizeof(request->instance)));
    }
}

/* Reads one request; returns false at the end of the channel. */
static bool
read_request(int fd, GString *buffer, request_t *request)
{
    char chunk[16384];
    memset(request, 0, sizeof(*request));
    char *end;
    while (!(end = strstr(buffer->str, "\r\n\r\n"))) {
        ssize_t count = recv(fd, chunk, sizeof(chunk), 0);
        if (count <= 0) {
            return false;
        }
        g_string_append_len(buffer, chunk, count);
    }
    size_t head = (size_t)(end - buffer->str) + 4;
    if (sscanf(buffer->str, "%7s %2047s", request->method, request->target) !=
        2) {
        return false;
    }
    size_t length = 0;
    for (const char *line = strstr(buffer->str, "\r\n"); line && line < end;
         line = strstr(line + 2, "\r\n"))
    {
        read_header(request, line + 2);
        if (g_ascii_strncasecmp(line + 2, "Content-Length:", 15) == 0) {
            length = strtoul(line + 17, NULL, 10);
        }
    }
    while (length <= BODY_MAX && buffer->len < head + length) {
        ssize_t count = recv(fd, chunk, sizeof(chunk), 0);
        if (count <= 0) {
            return false;
        }
        g_string_append_len(buffer, chunk, count);
    }
    request->body = g_strndup(buffer->str + head, length);
    g_string_erase(buffer, 0, (gssize)(head + length));
    return true;
}

/* A channel that has lost something: reads on until the caller closes it. */
static void
drain(int fd)
{
    char chunk[4096];
    while (recv(fd, chunk, sizeof(chunk), 0) > 0) {
    }
}

static bool
is_gone(const channel_t *channel)
{
    const path_t *path = channel->path;
    return path->executor >= 0 &&
           (self.executors[path->executor].boot != channel->boot ||
            self.executors[path->executor].back_ms > 0);
}

static int64_t
wait_of(const request_t *request)
{
    if (g_str_has_prefix(request->target, "/kv-watch?")) {
        char *text = query(request->target, "waitMs");
        int64_t wait_ms = strtoll(text, NULL, 10);
        g_free(text);
        return MIN(wait_ms, 30000);
    }
    json_t *body = json_loads(request->body, 0, NULL);
    int64_t wait_ms =
        (int64_t)json_number_value(json_object_get(body, "waitMs"));
    json_decref(body);
    return MIN(wait_ms, 2000);
}

/* Returns false if the channel has ended. */
static bool
serve_request(channel_t *channel, const request_t *request)
{
    const path_t *path = channel->path;
    usleep(path->executor < 0 ? STORE_US : EXECUTOR_US);
    int64_t until_ms = rig_now() + wait_of(request);
    json_t *answer = NULL;
    int status = 0;
    bool gone = false;
    for (bool first = true; status == 0; first = false) {
        lock();
        gone = is_gone(channel);
        channel->dead = channel->dead || path->cut;
        if (!gone && !channel->dead) {
            status = path->executor < 0
                         ? serve_store(request, path->host, until_ms, &answer)
                         : serve_executor(request, path->executor, path->host,
                                          until_ms, first, &answer);
        }
        unlock();
        if (gone || channel->dead) {
            break;
        }
        if (status == 0) {
            usleep(TICK_US);
        }
    }
    if (gone || channel->dead) {
        json_decref(answer);
        if (!gone) {
            drain(channel->fd);
        }
        return false;
    }
    char *text = answer ? json_dumps(answer, JSON_COMPACT) : strdup("{}");
    /* One segment, as far as it fits. */
    char *head = g_strdup_printf("HTTP/1.1 %d X\r\nContent-Type: application/"
                                 "json\r\nContent-Length: %zu\r\n\r\n%s",
                                 status, strlen(text), text);
    bool sent = send_all(channel->fd, head, strlen(head));
    g_free(head);
    free(text);
    json_decref(answer);
    return sent;
}

static void *
run_channel(void *user)
{
    channel_t *channel = user;
    GString *buffer = g_string_new(NULL);
    request_t request;
    while (read_request(channel->fd, buffer, &request)) {
        bool open = serve_request(channel, &request);
        g_free(request.body);
        if (!open) {
            break;
        }
    }
    g_string_free(buffer, TRUE);
    close(channel->fd);
    g_free(channel);
    return NULL;
}

static void
start_thread(void *(*function)(void *), void *user)
{
    pthread_t thread;
    pthread_attr_t attributes;
    pthread_attr_init(&attributes);
    pthread_attr_setstacksize(&attributes, 256 * 1024);
    if (pthread_create(&thread, &attributes, function, user) != 0) {
        rig_fail("cannot start a thread");
    }
    pthread_detach(thread);
    pthread_attr_destroy(&attributes);
}

static int
listen_at(const char *ip, int *port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)*port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int enable = 1;
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &enable, sizeof(enable));
    socklen_t size = sizeof(address);
    if (bind(fd, (struct sockaddr *)&address, size) < 0 ||
        listen(fd, 256) < 0 ||
        getsockname(fd, (struct sockaddr *)&address, &size) < 0)
    {
        close(fd);
        return -1;
    }
    *port = ntohs(address.sin_port);
    return fd;
}

static int
connect_to(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

/* Forwards one direction of a channel between entry hosts. */
static void *
run_forward(void *user)
{
    forward_t *forward = user;
    char chunk[16384];
    ssize_t count;
    bool dead = false;
    while ((count = recv(forward->from, chunk, sizeof(chunk), 0)) > 0) {
        lock();
        dead = dead || forward->path->cut;
        unlock();
        if (!dead && !send_all(forward->to, chunk, (size_t)count)) {
            break;
        }
    }
    shutdown(forward->to, SHUT_RDWR);
    shutdown(forward->from, SHUT_RDWR);
    g_free(forward);
    return NULL;
}

static void
open_forward(path_t *path, int fd)
{
    char ip[32];
    snprintf(ip, sizeof(ip), "%s.%d", self.net, 11 + path->peer);
    lock();
    bool cut = path->cut;
    unlock();
    int target = cut ? -1 : connect_to(ip, PEER_PORT);
    if (target < 0 && !cut) {
        close(fd);
        return;
    }
    if (cut) {
        /* The other side is not reached: the channel stays silent. */
        int ends[2];
        if (socketpair(AF_UNIX, SOCK_STREAM | SOCK_CLOEXEC, 0, ends) < 0) {
            close(fd);
            return;
        }
        target = ends[0];
    }
    forward_t *there = g_new0(forward_t, 1);
    forward_t *back = g_new0(forward_t, 1);
    *there = (forward_t){fd, target, path};
    *back = (forward_t){target, fd, path};
    start_thread(run_forward, there);
    start_thread(run_forward, back);
}

static void *
run_listener(void *user)
{
    path_t *path = user;
    for (;;) {
        lock();
        int listener = path->listener;
        unlock();
        struct pollfd ready = {listener, POLLIN, 0};
        if (listener < 0 || poll(&ready, 1, 20) <= 0) {
            usleep(listener < 0 ? TICK_US : 0);
            continue;
        }
        int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
        if (fd < 0) {
            continue;
        }
        int enable = 1;
        setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &enable, sizeof(enable));
        if (path->peer >= 0) {
            open_forward(path, fd);
            continue;
        }
        channel_t *channel = g_new0(channel_t, 1);
        channel->path = path;
        channel->fd = fd;
        lock();
        channel->boot =
            path->executor < 0 ? 0 : self.executors[path->executor].boot;
        unlock();
        start_thread(run_channel, channel);
    }
    return NULL;
}

static void
open_path(path_t *path, int host, int executor, int peer)
{
    *path = (path_t){.host = host, .executor = executor, .peer = peer};
    path->listener = listen_at("127.0.0.1", &path->port);
    if (path->listener < 0) {
        rig_fail("cannot listen: %s", g_strerror(errno));
    }
    start_thread(run_listener, path);
}

static void
set_executor_listening(int x, bool listening)
{
    for (int host = 0; host < self.desc.hosts; host++) {
        path_t *path = &self.executor_paths[host][x];
        if (!listening && path->listener >= 0) {
            shutdown(path->listener, SHUT_RDWR);
            close(path->listener);
            path->listener = -1;
        }
        else if (listening && path->listener < 0) {
            path->listener = listen_at("127.0.0.1", &path->port);
            if (path->listener < 0) {
                rig_fail("cannot listen again: %s", g_strerror(errno));
            }
        }
    }
}

/* --- time --- */

static void
expire_leases(void)
{
    GArray *expired = g_array_new(FALSE, FALSE, sizeof(int64_t));
    GHashTableIter iter;
    gpointer id;
    gpointer value;
    g_hash_table_iter_init(&iter, self.leases);
    while (g_hash_table_iter_next(&iter, &id, &value)) {
        if (rig_now() >= ((lease_t *)value)->expiry_ms) {
            g_array_append_val(expired, *(int64_t *)id);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        end_lease(g_array_index(expired, int64_t, i));
    }
    g_array_free(expired, TRUE);
}

static void *
run_time(void *user)
{
    (void)user;
    for (;;) {
        lock();
        expire_leases();
        for (int x = 0; x < self.desc.executors; x++) {
            executor_t *executor = &self.executors[x];
            if (executor->back_ms > 0 && rig_now() >= executor->back_ms) {
                boot_executor(x);
                set_executor_listening(x, true);
                rig_note("executor %s is back, born %lld", executor->id,
                         (long long)executor->born);
            }
            announce(x);
            update_executor(x);
        }
        unlock();
        usleep(TICK_US);
    }
    return NULL;
}

/* --- entry hosts --- */

static void
replace_field(GString *text, const char *field, const char *value)
{
    char *placeholder = g_strdup_printf("{{%s}}", field);
    g_string_replace(text, placeholder, value, 0);
    g_free(placeholder);
}

static char *
write_settings(int host)
{
    char *template_text = NULL;
    if (!g_file_get_contents("deploy/settings.json.template", &template_text,
                             NULL, NULL))
    {
        rig_fail("cannot read the template of the settings");
    }
    GString *text = g_string_new(template_text);
    g_free(template_text);
    char value[128];
    snprintf(value, sizeof(value), "\"h%d\"", host);
    replace_field(text, "nodeName|json", value);
    snprintf(value, sizeof(value), "\"z%d\"", host % 3);
    replace_field(text, "zone|json", value);
    snprintf(value, sizeof(value), "\"%s.%d:%d\"", self.net, 11 + host,
             FRONT_PORT);
    replace_field(text, "listenAddrs.front|json", value);
    snprintf(value, sizeof(value), "\"%s.%d:%d\"", self.net, 11 + host,
             READY_PORT);
    replace_field(text, "listenAddrs.ready|json", value);
    snprintf(value, sizeof(value), "%s.%d", self.net, 11 + host);
    replace_field(text, "ip", value);
    snprintf(value, sizeof(value), "%d", PEER_PORT);
    replace_field(text, "internalPortRange.0", value);
    snprintf(value, sizeof(value), "\"127.0.0.1:%d\"",
             self.store_paths[host].port);
    replace_field(text, "platform.address|json", value);
    replace_field(text, "limits.cpuShare|json", CPU_SHARE);
    snprintf(value, sizeof(value), "%d", GRACE_S);
    replace_field(text, "bounds.graceS|json", value);
    if (strstr(text->str, "{{")) {
        rig_fail("unknown fields in the template of the settings");
    }
    char *path = g_strdup_printf("%s/h%d.json", self.work_folder, host);
    if (!g_file_set_contents(path, text->str, -1, NULL)) {
        rig_fail("cannot write the settings");
    }
    g_string_free(text, TRUE);
    return path;
}

/* Starts the command that deploy/system.toml names for the role. */
void
rig_start_host(int host)
{
    char *settings = write_settings(host);
    char *log = g_strdup_printf("%s/h%d.log", self.work_folder, host);
    pid_t pid = fork();
    if (pid == 0) {
        setenv("NUTMEGDECK_CONFIG", settings, 1);
        FILE *out = freopen(log, "a", stdout);
        FILE *err = freopen(log, "a", stderr);
        if (out && err) {
            execl("target/nutmegentry", "target/nutmegentry", (char *)NULL);
        }
        _exit(127);
    }
    if (pid < 0) {
        rig_fail("cannot start an entry host");
    }
    lock();
    self.pids[host] = pid;
    unlock();
    rig_note("platform: entry host h%d is started", host);
    g_free(settings);
    g_free(log);
}

void
rig_kill_host(int host, int signal_number)
{
    rig_note("platform: entry host h%d gets signal %d", host, signal_number);
    kill(self.pids[host], signal_number);
    if (signal_number == SIGKILL) {
        waitpid(self.pids[host], NULL, 0);
        self.pids[host] = 0;
    }
}

static int
call_at(const char *ip, int port, const char *request, char *answer,
        size_t answer_size)
{
    int fd = connect_to(ip, port);
    if (fd < 0) {
        return 0;
    }
    struct timeval timeout = {CALL_TIMEOUT_MS / 1000, 0};
    setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
    GString *text = g_string_new(NULL);
    int status = 0;
    if (send_all(fd, request, strlen(request))) {
        char chunk[4096];
        ssize_t count;
        while ((count = recv(fd, chunk, sizeof(chunk), 0)) > 0) {
            g_string_append_len(text, chunk, count);
            const char *body = strstr(text->str, "\r\n\r\n");
            const char *length = strcasestr(text->str, "Content-Length:");
            if (body && length && length < body &&
                strlen(body + 4) >= strtoul(length + 15, NULL, 10))
            {
                sscanf(text->str, "HTTP/1.%*d %d", &status);
                g_strlcpy(answer, body + 4, answer_size);
                break;
            }
        }
    }
    g_string_free(text, TRUE);
    close(fd);
    return status;
}

int
rig_call(int host, const char *method, const char *path, const char *name,
         const char *body, char *answer, size_t answer_size)
{
    char ip[32];
    snprintf(ip, sizeof(ip), "%s.%d", self.net, 11 + host);
    char *request = g_strdup_printf(
        "%s %s HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\n"
        "Request-Deadline-Ms: %d\r\nConnection: close\r\nContent-Length: "
        "%zu\r\n\r\n%s",
        method, path, name, CALL_TIMEOUT_MS, strlen(body), body);
    answer[0] = '\0';
    int status = call_at(ip, FRONT_PORT, request, answer, answer_size);
    g_free(request);
    rig_note("client: %s %s %s at h%d -> %d %s", method, path, body, host,
             status, answer);
    return status;
}

void
rig_wait_ready(int host)
{
    char ip[32];
    char answer[256];
    snprintf(ip, sizeof(ip), "%s.%d", self.net, 11 + host);
    int64_t until_ms = rig_now() + READY_TIMEOUT_MS;
    while (call_at(ip, READY_PORT,
                   "GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                   "\r\n",
                   answer, sizeof(answer)) != 200)
    {
        if (rig_now() > until_ms) {
            rig_fail("entry host h%d does not become ready", host);
        }
        rig_sleep(50);
    }
    rig_note("entry host h%d is ready", host);
}

/* --- what a case does --- */

void
rig_put_config(const char *config)
{
    lock();
    put_text("op/config", config);
    unlock();
    rig_note("operator: op/config = %s", config);
}

static void
set_cut(path_t *path, bool cut)
{
    lock();
    path->cut = cut;
    unlock();
}

void
rig_cut_store(int host, bool cut)
{
    set_cut(&self.store_paths[host], cut);
    rig_note("path h%d - store: %s", host, cut ? "cut" : "whole");
}

void
rig_cut_executor(int host, int executor, bool cut)
{
    set_cut(&self.executor_paths[host][executor], cut);
    rig_note("path h%d - executor %s: %s", host, self.executors[executor].id,
             cut ? "cut" : "whole");
}

void
rig_cut_peers(int host, int other, bool cut)
{
    set_cut(&self.peer_paths[host][other], cut);
    set_cut(&self.peer_paths[other][host], cut);
    rig_note("path h%d - h%d: %s", host, other, cut ? "cut" : "whole");
}

void
rig_cut_announcement(int executor, bool cut)
{
    lock();
    self.executors[executor].announcement_cut = cut;
    unlock();
    rig_note("path executor %s - store: %s", self.executors[executor].id,
             cut ? "cut" : "whole");
}

void
rig_set_work(const char *job, rig_work_t work)
{
    lock();
    g_hash_table_insert(self.works, g_strdup(job),
                        g_memdup2(&work, sizeof(work)));
    unlock();
}

void
rig_crash_executor(int executor, int64_t down_ms)
{
    lock();
    rig_note("executor %s crashes", self.executors[executor].id);
    for (guint i = 0; i < self.runs->len; i++) {
        rig_run_t *run = &g_array_index(self.runs, rig_run_t, i);
        if (is_live(run, executor)) {
            end_run(run, "crash");
        }
    }
    self.executors[executor].back_ms = rig_now() + down_ms;
    set_executor_listening(executor, false);
    unlock();
}

GArray *
rig_runs(void)
{
    GArray *copy = g_array_new(FALSE, FALSE, sizeof(rig_run_t));
    lock();
    g_array_append_vals(copy, self.runs->data, self.runs->len);
    unlock();
    return copy;
}

int64_t
rig_longest_overlap_ms(void)
{
    int64_t now_ms = rig_now();
    GArray *runs = rig_runs();
    int64_t longest_ms = 0;
    for (guint i = 0; i < runs->len; i++) {
        for (guint j = 0; j < i; j++) {
            const rig_run_t *a = &g_array_index(runs, rig_run_t, i);
            const rig_run_t *b = &g_array_index(runs, rig_run_t, j);
            if (strcmp(a->task, b->task) != 0 || a->executor == b->executor) {
                continue;
            }
            int64_t begin_ms = MAX(a->begun_ms, b->begun_ms);
            int64_t end_ms = MIN(a->ended_ms ? a->ended_ms : now_ms,
                                 b->ended_ms ? b->ended_ms : now_ms);
            if (end_ms > begin_ms) {
                rig_note("TWICE: runs %lld and %lld of %s are at work at the "
                         "same time for %lld ms, on %s and %s",
                         (long long)b->run, (long long)a->run, a->task,
                         (long long)(end_ms - begin_ms),
                         rig_executor_id(b->executor),
                         rig_executor_id(a->executor));
                longest_ms = MAX(longest_ms, end_ms - begin_ms);
            }
        }
    }
    g_array_free(runs, TRUE);
    return longest_ms;
}

void
rig_wait_runs(const char *job, guint count, int64_t timeout_ms)
{
    int64_t until_ms = rig_now() + timeout_ms;
    for (;;) {
        guint found = 0;
        GArray *runs = rig_runs();
        for (guint i = 0; i < runs->len; i++) {
            found +=
                g_str_has_prefix(g_array_index(runs, rig_run_t, i).task, job);
        }
        g_array_free(runs, TRUE);
        if (found >= count) {
            return;
        }
        if (rig_now() > until_ms) {
            rig_fail("%u of %u runs of %s have begun", found, count, job);
        }
        rig_sleep(10);
    }
}

/* Finds a loopback network on which the hosts' ports are free. */
static void
choose_net(void)
{
    static const int ports[] = {FRONT_PORT, READY_PORT, METRICS_PORT,
                                PEER_PORT};
    for (int i = 0; i < 100; i++) {
        snprintf(self.net, sizeof(self.net), "127.%d.%d",
                 1 + (getpid() + i * 7) % 250, 1 + (getpid() / 250 + i) % 250);
        bool free_net = true;
        for (int host = 0; host < self.desc.hosts && free_net; host++) {
            for (size_t p = 0; p < sizeof(ports) / sizeof(ports[0]); p++) {
                char ip[32];
                int port = ports[p];
                snprintf(ip, sizeof(ip), "%s.%d", self.net, 11 + host);
                int fd = listen_at(ip, &port);
                free_net = free_net && fd >= 0;
                if (fd >= 0) {
                    close(fd);
                }
            }
        }
        if (free_net) {
            return;
        }
    }
    rig_fail("no loopback addresses with free ports");
}

static void
on_alarm(int number)
{
    (void)number;
    end_processes();
    remove_work_folder();
    _exit(2);
}

void
rig_begin(const rig_desc_t *desc, const char *folder)
{
    struct timespec now;
    const char *trouble = getenv("TROUBLE");
    self.desc = *desc;
    self.trouble = !trouble || strcmp(trouble, "0") != 0;
    self.began_ms = steady_ms();
    clock_gettime(CLOCK_REALTIME, &now);
    self.began_unix_ms = (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
    signal(SIGPIPE, SIG_IGN);
    signal(SIGALRM, on_alarm);
    signal(SIGTERM, on_alarm);
    signal(SIGINT, on_alarm);
    alarm(118);
    g_strlcpy(self.work_folder, "/tmp/review-XXXXXX",
              sizeof(self.work_folder));
    char *path = g_strdup_printf("%s/record.txt", folder);
    self.record = fopen(path, "w");
    g_free(path);
    if (!self.record || !mkdtemp(self.work_folder)) {
        rig_fail("cannot write");
    }
    pthread_mutex_init(&self.mutex, NULL);
    self.items = g_tree_new_full(compare_keys, NULL, NULL, free_item);
    self.events = g_ptr_array_new_with_free_func(free_item);
    self.leases =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, g_free);
    self.runs = g_array_new(FALSE, TRUE, sizeof(rig_run_t));
    self.works =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
    self.revision = 100;
    choose_net();
    rig_note("trouble: %s", self.trouble ? "yes" : "no");
    for (int x = 0; x < desc->executors; x++) {
        executor_t *executor = &self.executors[x];
        snprintf(executor->id, sizeof(executor->id), "i-%04x%d",
                 0x7f30 + x * 37, x);
        executor->last_runs =
            g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free);
        boot_executor(x);
    }
    for (int host = 0; host < desc->hosts; host++) {
        open_path(&self.store_paths[host], host, -1, -1);
        for (int x = 0; x < desc->executors; x++) {
            open_path(&self.executor_paths[host][x], host, x, -1);
        }
        for (int other = 0; desc->peer_paths && other < desc->hosts; other++) {
            if (other != host) {
                open_path(&self.peer_paths[host][other], host, -1, other);
            }
        }
    }
    rig_put_config(desc->config);
    start_thread(run_time, NULL);
}
