/*
 * With --configs: a large configuration that changes in series.  Each version
 * adds a queue and drops an old one, and callers ask hosts for the pending
 * jobs of queues that all hosts must know.
 */
#include "soak_state.h"

#include <stdio.h>
#include <string.h>

/* The hosts' default: they serve by a version this long after its write. */
#define CONFIG_APPLY_MS 3000
/* Routes that nobody calls; a version then has some 200 KB. */
#define UNUSED_ROUTES 1500
#define CHANGE_INTERVAL_MIN_MS 200
#define CHANGE_INTERVAL_MAX_MS 700
/* Queues of the newest versions; some stay for longer than CONFIG_APPLY_MS. */
#define QUEUES_MAX 24
#define PROBE_INTERVAL_MS 25
#define PROBE_TIMEOUT_MS 4000L
/* From the end of the faults until each host serves the newest version. */
#define CATCH_UP_MAX_MS 15000

typedef struct {
    int64_t version; /* that added the queue */
    nm_ms_t put_ms;
} queue_t;

typedef struct {
    CURL *easy;
    struct curl_slist *headers;
    gint host;
    int64_t version;
} probe_t;

static struct {
    CURLM *multi;
    nm_rng_t rng; /* apart, so that a seed draws the same faults */
    queue_t queues[QUEUES_MAX];
    uint32_t queue_count;
    nm_ms_t next_change_ms;
    nm_ms_t next_probe_ms;
    int64_t served[HOSTS_MAX]; /* newest version that each host has served */
    bool reported;
} configs;

static size_t
ignore_data(char *data, size_t size, size_t count, void *user)
{
    (void)data;
    (void)user;
    return size * count;
}

static nm_ms_t
draw_between(nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(&configs.rng, (uint32_t)(max - min + 1));
}

void
soak_append_config_routes(GString *routes, const char *route)
{
    if (!soak_options.configs) {
        return;
    }
    for (int i = 0; i < UNUSED_ROUTES; i++) {
        g_string_append_printf(
            routes, ",{\"name\":\"u%d\",\"pathPrefix\":\"/u%d/\",%s}", i, i,
            route);
    }
    for (uint32_t i = 0; i < configs.queue_count; i++) {
        g_string_append_printf(routes,
                               ",{\"name\":\"n%lld\",\"pathPrefix\":"
                               "\"/n%lld/\",\"service\":\"s\",%s}",
                               (long long)configs.queues[i].version,
                               (long long)configs.queues[i].version, route);
    }
}

static const queue_t *
find_queue(int64_t version)
{
    for (uint32_t i = 0; i < configs.queue_count; i++) {
        if (configs.queues[i].version == version) {
            return &configs.queues[i];
        }
    }
    return NULL;
}

static void
add_queue(nm_ms_t now_ms)
{
    if (configs.queue_count == QUEUES_MAX) {
        configs.queue_count--;
        memmove(configs.queues, configs.queues + 1,
                configs.queue_count * sizeof(queue_t));
    }
    configs.queues[configs.queue_count++] =
        (queue_t){soak.config_version + 1, now_ms};
    platform_lock(soak.platform);
    soak_put_configuration();
    platform_unlock(soak.platform);
    configs.next_change_ms =
        now_ms + draw_between(CHANGE_INTERVAL_MIN_MS, CHANGE_INTERVAL_MAX_MS);
}

static void
send_probe(gint host, int64_t version)
{
    probe_t *probe = g_new0(probe_t, 1);
    probe->host = host;
    probe->version = version;
    probe->easy = curl_easy_init();
    probe->headers = curl_slist_append(NULL, "Host: callers");
    char url[128];
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/n%lld/",
             soak.hosts[host].front_port, (long long)version);
    curl_easy_setopt(probe->easy, CURLOPT_URL, url);
    curl_easy_setopt(probe->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(probe->easy, CURLOPT_TIMEOUT_MS, PROBE_TIMEOUT_MS);
    curl_easy_setopt(probe->easy, CURLOPT_HTTPHEADER, probe->headers);
    curl_easy_setopt(probe->easy, CURLOPT_WRITEFUNCTION, ignore_data);
    curl_easy_setopt(probe->easy, CURLOPT_PRIVATE, probe);
    curl_multi_add_handle(configs.multi, probe->easy);
}

static void
handle_probe(probe_t *probe, CURLcode result)
{
    long status = 0;
    if (result == CURLE_OK) {
        curl_easy_getinfo(probe->easy, CURLINFO_RESPONSE_CODE, &status);
    }
    soak.probe_counts[MIN(status, 599)]++;
    if (status == 404 && find_queue(probe->version)) {
        soak_report_violation("CONFIG host %d refused queue n%lld with 404, "
                              "added more than %d ms before the request",
                              probe->host, (long long)probe->version,
                              CONFIG_APPLY_MS);
    }
    if (status == 200 && probe->version > configs.served[probe->host]) {
        configs.served[probe->host] = probe->version;
    }
    curl_multi_remove_handle(configs.multi, probe->easy);
    curl_easy_cleanup(probe->easy);
    curl_slist_free_all(probe->headers);
    g_free(probe);
}

static void
handle_probes(void)
{
    int running;
    curl_multi_perform(configs.multi, &running);
    CURLMsg *message;
    int messages_left;
    while ((message = curl_multi_info_read(configs.multi, &messages_left))) {
        char *user_data = NULL;
        if (message->msg == CURLMSG_DONE) {
            curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE,
                              &user_data);
            handle_probe((probe_t *)user_data, message->data.result);
        }
    }
}

/*
 * Asks a random host for a random queue that every host must know, or, once
 * the changes are over, a host for the newest one that it has not served.
 */
static void
probe_host(nm_ms_t now_ms)
{
    uint32_t known = 0;
    while (known < configs.queue_count &&
           configs.queues[known].put_ms <= now_ms - CONFIG_APPLY_MS)
    {
        known++;
    }
    gint behind = -1;
    for (gint i = 0; i < soak_options.hosts && known == configs.queue_count;
         i++) {
        bool served = known == 0 ||
                      configs.served[i] >= configs.queues[known - 1].version;
        behind = served ? behind : i;
    }
    if (behind >= 0) {
        send_probe(behind, configs.queues[known - 1].version);
    }
    else if (known > 0) {
        gint host =
            (gint)nm_rng_below(&configs.rng, (uint32_t)soak_options.hosts);
        send_probe(host,
                   configs.queues[nm_rng_below(&configs.rng, known)].version);
    }
    configs.next_probe_ms = now_ms + PROBE_INTERVAL_MS;
}

void
soak_run_configs(nm_ms_t now_ms, bool changes)
{
    if (!soak_options.configs) {
        return;
    }
    if (!configs.multi) {
        configs.multi = curl_multi_init();
        nm_rng_init(&configs.rng, (uint64_t)soak_options.seed + 6);
    }
    handle_probes();
    if (changes && now_ms >= configs.next_change_ms) {
        add_queue(now_ms);
    }
    if (now_ms >= configs.next_probe_ms) {
        probe_host(now_ms);
    }
}

bool
soak_configs_are_served(nm_ms_t faults_end_ms, nm_ms_t now_ms)
{
    if (!soak_options.configs || configs.queue_count == 0) {
        return true;
    }
    int64_t newest = configs.queues[configs.queue_count - 1].version;
    bool served = true;
    for (gint i = 0; i < soak_options.hosts; i++) {
        served = served && configs.served[i] >= newest;
        if (configs.served[i] < newest && !configs.reported &&
            now_ms > faults_end_ms + CATCH_UP_MAX_MS)
        {
            configs.reported = true;
            soak_report_violation("CONFIG host %d has served version %lld, "
                                  "not %lld, %d ms after the last fault",
                                  i, (long long)configs.served[i],
                                  (long long)newest, CATCH_UP_MAX_MS);
        }
    }
    return served;
}
