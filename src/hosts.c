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
    worker->rack =
        (uint32_t)json_integer_value(json_object_get(object, "rack"));
    worker->capacity = (nm_resources_t){
        .cpu_milli = json_integer_value(json_object_get(object, "cpu_milli")),
        .memory_mb = json_integer_value(json_object_get(object, "memory_mb")),
        .accelerators = (int32_t)json_integer_value(
            json_object_get(object, "accelerators")),
    };
    bool valid = nm_json_copy_string(object, "name", worker->name,
                                     sizeof(worker->name)) &&
                 nm_json_copy_string(object, "address", worker->address,
                                     sizeof(worker->address)) &&
                 nm_json_copy_string(object, "datacentre", worker->datacentre,
                                     sizeof(worker->datacentre)) &&
                 parse_state(object, &worker->leaving) &&
                 worker->capacity.cpu_milli > 0 &&
                 worker->capacity.memory_mb > 0 &&
                 worker->capacity.accelerators >= 0;
    worker->id = nm_host_id(worker->name);
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

nm_host_list_t *
nm_host_list_parse(const char *text, size_t bytes)
{
    json_t *json = json_loadb(text, bytes, 0, NULL);
    json_t *workers = json_object_get(json, "workers");
    json_t *executors = json_object_get(json, "executors");
    if (!json_is_array(workers) || !json_is_array(executors)) {
        json_decref(json);
        return NULL;
    }
    nm_host_list_t *list = g_new0(nm_host_list_t, 1);
    list->worker_count = (uint32_t)json_array_size(workers);
    list->executor_count = (uint32_t)json_array_size(executors);
    list->workers = g_new0(nm_worker_host_t, list->worker_count);
    list->executors = g_new0(nm_executor_host_t, list->executor_count);
    bool valid = true;
    size_t i;
    json_t *item;
    json_array_foreach(workers, i, item)
    {
        valid = valid && parse_worker(item, &list->workers[i]);
    }
    json_array_foreach(executors, i, item)
    {
        valid = valid && parse_executor(item, &list->executors[i]);
    }
    json_decref(json);
    if (!valid) {
        nm_host_list_free(list);
        return NULL;
    }
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
        nm_host_list_t *list = hash != hosts->text_hash
                                   ? nm_host_list_parse(text->str, text->len)
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
