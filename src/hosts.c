#include "hosts.h"

#include <assert.h>
#include <pthread.h>
#include <string.h>

#include <ck_pr.h>
#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include "json_get.h"
#include "mailbox.h"

#define FETCH_TIMEOUT_MS 2000L
/* Interval of checks for the end between two polls. */
#define SLEEP_STEP_MS 50

struct nm_hosts {
    char *source;
    nm_ms_t interval_ms;
    pthread_t thread;
    nm_mailbox_t lists;
    uint32_t exit_requested;
    uint64_t text_hash; /* of the newest valid list */
    nm_refusals_t refusals;
};

uint64_t
nm_host_id(const char *name)
{
    uint64_t id = nm_hash(name, strlen(name));
    return id ? id : 1;
}

static bool
parse_state(const json_t *object, bool *leaving)
{
    const char *state = json_string_value(json_object_get(object, "state"));
    *leaving = state && strcmp(state, "leaving") == 0;
    return *leaving || (state && strcmp(state, "live") == 0);
}

static bool
parse_worker(const json_t *object, nm_worker_host_t *worker)
{
    int64_t rack;
    int64_t accelerators;
    bool valid = nm_json_read_int(object, "rack", UINT32_MAX, &rack) &&
                 nm_json_read_int(object, "cpu_milli", NM_CPU_MAX_MILLI,
                                  &worker->capacity.cpu_milli) &&
                 nm_json_read_int(object, "memory_mb", NM_MEMORY_MAX_MB,
                                  &worker->capacity.memory_mb) &&
                 nm_json_read_int(object, "accelerators", NM_ACCELERATORS_MAX,
                                  &accelerators) &&
                 worker->capacity.cpu_milli > 0 &&
                 worker->capacity.memory_mb > 0 &&
                 nm_json_copy_string(object, "name", worker->name,
                                     sizeof(worker->name)) &&
                 nm_json_copy_string(object, "address", worker->address,
                                     sizeof(worker->address)) &&
                 nm_json_copy_string(object, "datacentre", worker->datacentre,
                                     sizeof(worker->datacentre)) &&
                 parse_state(object, &worker->leaving);
    if (valid) {
        worker->rack = (uint32_t)rack;
        worker->capacity.accelerators = (int32_t)accelerators;
        worker->id = nm_host_id(worker->name);
    }
    return valid;
}

static bool
parse_executor(const json_t *object, nm_executor_host_t *executor)
{
    bool valid =
        nm_json_copy_string(object, "address", executor->address,
                            sizeof(executor->address)) &&
        nm_json_copy_string(object, "datacentre", executor->datacentre,
                            sizeof(executor->datacentre)) &&
        nm_json_copy_string(object, "service", executor->service,
                            sizeof(executor->service)) &&
        parse_state(object, &executor->leaving);
    const char *worker = json_string_value(json_object_get(object, "worker"));
    executor->worker = worker ? nm_host_id(worker) : 0;
    executor->id = nm_host_id(executor->address);
    return valid;
}

/* Names an entry in the log. */
static const char *
entry_name(const json_t *object, const char *field)
{
    const char *name = json_string_value(json_object_get(object, field));
    return name ? name : "unnamed";
}

/* Adds the entries that can be read, and logs the others. */
static void
parse_entries(nm_host_list_t *list, const json_t *workers,
              const json_t *executors, nm_refusals_t *refusals)
{
    size_t i;
    json_t *item;
    json_array_foreach(workers, i, item)
    {
        nm_worker_host_t worker = {0};
        if (parse_worker(item, &worker)) {
            list->workers[list->worker_count++] = worker;
            continue;
        }
        nm_refusals_log(refusals, NM_LOG_ITEM_HOST_REFUSED, "name",
                        entry_name(item, "name"),
                        "a field is missing or out of range",
                        nm_now_monotonic());
    }
    json_array_foreach(executors, i, item)
    {
        nm_executor_host_t executor = {0};
        if (parse_executor(item, &executor)) {
            list->executors[list->executor_count++] = executor;
            continue;
        }
        nm_refusals_log(refusals, NM_LOG_ITEM_HOST_REFUSED, "address",
                        entry_name(item, "address"), "a field is missing",
                        nm_now_monotonic());
    }
}

nm_host_list_t *
nm_host_list_parse(const char *text, size_t bytes, nm_refusals_t *refusals)
{
    json_t *json = json_loadb(text, bytes, 0, NULL);
    const json_t *workers = json_object_get(json, "workers");
    const json_t *executors = json_object_get(json, "executors");
    if (!json_is_array(workers) || !json_is_array(executors)) {
        nm_refusals_log(refusals, NM_LOG_ITEM_HOST_REFUSED, "name", "list",
                        "the list has no workers or no executors",
                        nm_now_monotonic());
        json_decref(json);
        return NULL;
    }
    nm_host_list_t *list = g_new0(nm_host_list_t, 1);
    list->workers = g_new0(nm_worker_host_t, json_array_size(workers));
    list->executors = g_new0(nm_executor_host_t, json_array_size(executors));
    parse_entries(list, workers, executors, refusals);
    json_decref(json);
    return list;
}

void
nm_host_list_free(nm_host_list_t *list)
{
    if (list) {
        g_free(list->workers);
        g_free(list->executors);
        g_free(list);
    }
}

static size_t
append_body(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

static bool
fetch(const nm_hosts_t *hosts, GString *text)
{
    if (g_str_has_prefix(hosts->source, "file:")) {
        char *contents = NULL;
        gsize length = 0;
        bool success =
            g_file_get_contents(hosts->source + 5, &contents, &length, NULL);
        if (success) {
            g_string_append_len(text, contents, (gssize)length);
        }
        g_free(contents);
        return success;
    }
    CURL *easy = curl_easy_init();
    long status = 0;
    curl_easy_setopt(easy, CURLOPT_URL, hosts->source);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, text);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, FETCH_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    CURLcode code = curl_easy_perform(easy);
    curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    curl_easy_cleanup(easy);
    return code == CURLE_OK && status == 200;
}

static void
poll_list(nm_hosts_t *hosts)
{
    GString *text = g_string_new(NULL);
    if (fetch(hosts, text)) {
        uint64_t hash = nm_hash(text->str, text->len);
        nm_host_list_t *list =
            hash != hosts->text_hash
                ? nm_host_list_parse(text->str, text->len, &hosts->refusals)
                : NULL;
        if (list) {
            hosts->text_hash = hash;
            nm_host_list_free(nm_mailbox_put(&hosts->lists, list));
        }
    }
    g_string_free(text, TRUE);
}

static void *
run_hosts(void *user)
{
    nm_hosts_t *hosts = user;
    while (!ck_pr_load_32(&hosts->exit_requested)) {
        poll_list(hosts);
        nm_ms_t slept_ms = 0;
        while (slept_ms < hosts->interval_ms &&
               !ck_pr_load_32(&hosts->exit_requested)) {
            g_usleep(SLEEP_STEP_MS * 1000);
            slept_ms += SLEEP_STEP_MS;
        }
    }
    return NULL;
}

nm_hosts_t *
nm_hosts_new(const char *source, nm_ms_t interval_ms)
{
    assert(source && interval_ms > 0);
    nm_hosts_t *hosts = g_new0(nm_hosts_t, 1);
    hosts->source = g_strdup(source);
    hosts->interval_ms = interval_ms;
    pthread_create(&hosts->thread, NULL, run_hosts, hosts);
    return hosts;
}

void
nm_hosts_free(nm_hosts_t *hosts)
{
    assert(hosts);
    ck_pr_store_32(&hosts->exit_requested, 1);
    pthread_join(hosts->thread, NULL);
    nm_host_list_free(nm_mailbox_take(&hosts->lists));
    g_free(hosts->source);
    g_free(hosts);
}

nm_host_list_t *
nm_hosts_take(nm_hosts_t *hosts)
{
    assert(hosts);
    return nm_mailbox_take(&hosts->lists);
}
