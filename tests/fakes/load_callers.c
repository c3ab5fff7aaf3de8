/*
 * Load generator: callers that send checks and orders to entry hosts.
 *
 *     load_callers --targets IP:PORT,... [--duration-s S] [--threads N]
 *                  [--rate N] [--orders PERCENT] [--repeats PERCENT]
 *                  [--seed N] [--log FILE] ...
 *
 * Each thread is one caller; --rate limits the requests per second of all of
 * them (default 0: no limit).  A check is a GET without a key, an order a POST
 * with an idempotency key.  --orders is the share of orders among the
 * requests, --repeats the share of orders that reuse an earlier key, both 0 by
 * default.  The load lasts 10 s with 16 threads and seed 1 unless given.
 *
 * The log gets one JSON line for each request; at the end a summary of all
 * requests is printed.  Requests whose connection is refused are in neither.
 */

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include <nutmegdeck/base.h>

#include "lib_history.h"
#include "lib_http.h"

#define KEYS_KEPT 64 /* keys of a caller's latest orders, for repeats */
#define CLIENT_TIMEOUT_MS 8000L

static struct {
    char *targets_text;
    char *mortal_text; /* targets that may be killed during the run */
    char *path;
    char *log_path;
    char *name;
    int duration_s;
    int threads;
    int rate; /* requests per second of all threads; 0: no limit */
    int orders_pct;
    int repeats_pct;
    int seed;
    gboolean json;
    char **targets;
    char **mortal_targets;
    uint32_t target_count;
    FILE *log;
    int64_t until_ms;
} self = {
    .path = "/buchung",
    .name = "c",
    .duration_s = 10,
    .threads = 16,
    .seed = 1,
};

typedef struct {
    uint32_t index;
    nm_rng_t rng;
    uint32_t count;
    uint32_t by_status[600];
    uint32_t not_run;
    uint32_t unknown;
    GArray *latencies_us; /* of requests with status 200 */
    char keys[KEYS_KEPT][64];
    uint32_t key_count;
} caller_t;

typedef struct {
    GString *body;
    char verdict[16];
    char reason[32];
} response_t;

static size_t
read_body(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(((response_t *)user)->body, data,
                        (gssize)(size * count));
    return size * count;
}

static void
copy_header_value(char *target, size_t size, const char *line, size_t bytes,
                  const char *name)
{
    size_t name_length = strlen(name);
    if (bytes > name_length &&
        g_ascii_strncasecmp(line, name, name_length) == 0) {
        char *value = g_strndup(line + name_length, bytes - name_length);
        g_strlcpy(target, g_strstrip(value), size);
        g_free(value);
    }
}

static size_t
read_header(char *data, size_t size, size_t count, void *user)
{
    response_t *response = user;
    size_t bytes = size * count;
    copy_header_value(response->verdict, sizeof(response->verdict), data,
                      bytes, "Nutmegdeck-Verdict:");
    copy_header_value(response->reason, sizeof(response->reason), data, bytes,
                      "Nutmegdeck-Reason:");
    return bytes;
}

static void
choose_key(caller_t *caller, char *key, size_t size)
{
    bool repeat = caller->key_count > 0 &&
                  nm_rng_below(&caller->rng, 100) < (uint32_t)self.repeats_pct;
    if (repeat) {
        uint32_t known = MIN(caller->key_count, KEYS_KEPT);
        g_strlcpy(key, caller->keys[nm_rng_below(&caller->rng, known)], size);
        return;
    }
    g_snprintf(key, (gulong)size, "%s%d-%u-k%u", self.name, self.seed,
               caller->index, caller->count);
    g_strlcpy(caller->keys[caller->key_count++ % KEYS_KEPT], key,
              sizeof(caller->keys[0]));
}

static void
record(caller_t *caller, const char *id, const char *key, const char *target,
       long status, const response_t *response, int64_t latency_us)
{
    char *expected = history_response_text(id, key);
    bool complete = strcmp(expected, response->body->str) == 0;
    g_free(expected);
    bool mortal =
        g_strv_contains((const char *const *)self.mortal_targets, target);
    caller->count++;
    caller->by_status[status < 600 ? status : 599]++;
    caller->not_run += strcmp(response->verdict, "not-run") == 0;
    caller->unknown += strcmp(response->verdict, "unknown") == 0;
    if (status == 200) {
        g_array_append_val(caller->latencies_us, latency_us);
    }
    fake_log_line(self.log,
                  "{\"kind\":\"call\",\"t\":%lld,\"id\":\"%s\",\"key\":\"%s\","
                  "\"target\":\"%s\",\"status\":%ld,\"verdict\":\"%s\","
                  "\"reason\":\"%s\",\"whole\":%s,\"host_died\":%s,"
                  "\"latency_us\":%lld}",
                  (long long)fake_now_ms(), id, key, target, status,
                  response->verdict, response->reason,
                  complete ? "true" : "false", mortal ? "true" : "false",
                  (long long)latency_us);
}

static void
call_once(caller_t *caller, CURL *easy)
{
    bool order = nm_rng_below(&caller->rng, 100) < (uint32_t)self.orders_pct;
    const char *target =
        self.targets[nm_rng_below(&caller->rng, self.target_count)];
    char id[64];
    char key[64] = "";
    g_snprintf(id, sizeof(id), "%s%d-%u-r%u", self.name, self.seed,
               caller->index, caller->count);
    if (order) {
        choose_key(caller, key, sizeof(key));
    }
    char url[256];
    g_snprintf(url, sizeof(url), "http://%s%s/%s", target, self.path,
               order ? "order" : "check");
    char line[128];
    g_snprintf(line, sizeof(line), "X-Request-Id: %s", id);
    struct curl_slist *headers = curl_slist_append(NULL, line);
    if (order) {
        g_snprintf(line, sizeof(line), "Idempotency-Key: %s", key);
        headers = curl_slist_append(headers, line);
    }
    response_t response = {.body = g_string_new(NULL)};
    curl_easy_reset(easy);
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, read_body);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, &response);
    curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, read_header);
    curl_easy_setopt(easy, CURLOPT_HEADERDATA, &response);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, CLIENT_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    if (order) {
        curl_easy_setopt(easy, CURLOPT_POSTFIELDS, key);
        curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(easy, CURLOPT_FORBID_REUSE, 1L);
    }
    int64_t start_us = g_get_monotonic_time();
    long status = 0;
    CURLcode code = curl_easy_perform(easy);
    if (code == CURLE_OK) {
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
    }
    /*
     * A refused connection carries no request and is not recorded: as behind
     * a load balancer, the next call goes to another entry host.
     */
    if (code != CURLE_COULDNT_CONNECT) {
        record(caller, id, key, target, status, &response,
               g_get_monotonic_time() - start_us);
    }
    curl_slist_free_all(headers);
    g_string_free(response.body, TRUE);
}

static void *
run_caller(void *user)
{
    caller_t *caller = user;
    CURL *easy = curl_easy_init();
    double gap_us = self.rate > 0 ? 1e6 * self.threads / self.rate : 0;
    double next_us =
        (double)g_get_monotonic_time() + gap_us * nm_rng_unit(&caller->rng);
    while (fake_now_ms() < self.until_ms) {
        int64_t wait_us = (int64_t)next_us - g_get_monotonic_time();
        if (wait_us > 0) {
            g_usleep((gulong)wait_us);
        }
        next_us += gap_us * (0.5 + nm_rng_unit(&caller->rng));
        call_once(caller, easy);
    }
    curl_easy_cleanup(easy);
    return NULL;
}

static int
compare_int64(const void *a, const void *b)
{
    int64_t x = *(const int64_t *)a;
    int64_t y = *(const int64_t *)b;
    return (x > y) - (x < y);
}

static double
quantile_ms(const GArray *sorted, double fraction)
{
    if (sorted->len == 0) {
        return 0;
    }
    uint32_t index = (uint32_t)(fraction * (sorted->len - 1));
    return (double)g_array_index(sorted, int64_t, index) / 1000;
}

static void
print_summary(const caller_t *callers)
{
    GArray *all = g_array_new(FALSE, FALSE, sizeof(int64_t));
    uint32_t total = 0;
    uint32_t by_status[600] = {0};
    uint32_t not_run = 0;
    uint32_t unknown = 0;
    for (int i = 0; i < self.threads; i++) {
        total += callers[i].count;
        not_run += callers[i].not_run;
        unknown += callers[i].unknown;
        g_array_append_vals(all, callers[i].latencies_us->data,
                            callers[i].latencies_us->len);
        for (int s = 0; s < 600; s++) {
            by_status[s] += callers[i].by_status[s];
        }
    }
    g_array_sort(all, compare_int64);
    printf("requests %u ok %u not-run %u unknown %u p50_ms %.1f p99_ms %.1f "
           "p999_ms %.1f rate %.0f statuses",
           total, by_status[200], not_run, unknown, quantile_ms(all, 0.5),
           quantile_ms(all, 0.99), quantile_ms(all, 0.999),
           (double)by_status[200] / self.duration_s);
    for (int s = 0; s < 600; s++) {
        if (by_status[s] > 0) {
            printf(" %d:%u", s, by_status[s]);
        }
    }
    printf("\n");
    g_array_free(all, TRUE);
}

int
main(int argc, char **argv)
{
    GOptionEntry entries[] = {
        {"targets", 0, 0, G_OPTION_ARG_STRING, &self.targets_text,
         "entry hosts", "IP:PORT,..."},
        {"mortal", 0, 0, G_OPTION_ARG_STRING, &self.mortal_text,
         "targets that may be killed", "IP:PORT,..."},
        {"path", 0, 0, G_OPTION_ARG_STRING, &self.path, "path of the service",
         NULL},
        {"log", 0, 0, G_OPTION_ARG_STRING, &self.log_path,
         "file of recorded requests", NULL},
        {"name", 0, 0, G_OPTION_ARG_STRING, &self.name,
         "prefix of request ids and keys", NULL},
        {"duration-s", 0, 0, G_OPTION_ARG_INT, &self.duration_s,
         "duration of the load (10)", "S"},
        {"threads", 0, 0, G_OPTION_ARG_INT, &self.threads,
         "threads, each one caller (16)", "N"},
        {"rate", 0, 0, G_OPTION_ARG_INT, &self.rate,
         "requests per second of all threads; 0: no limit (0)", "N"},
        {"orders", 0, 0, G_OPTION_ARG_INT, &self.orders_pct,
         "share of orders among the requests (0)", "PERCENT"},
        {"repeats", 0, 0, G_OPTION_ARG_INT, &self.repeats_pct,
         "share of orders that reuse an earlier key (0)", "PERCENT"},
        {"seed", 0, 0, G_OPTION_ARG_INT, &self.seed,
         "seed of the random numbers (1)", "N"},
        {0},
    };
    GOptionContext *context = g_option_context_new(NULL);
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "load_callers: %s\n", error->message);
        return 2;
    }
    if (!self.targets_text) {
        fprintf(stderr, "load_callers: --targets IP:PORT,... is required\n");
        return 2;
    }
    if (self.threads < 1) {
        fprintf(stderr, "load_callers: --threads: '%d' must be at least 1\n",
                self.threads);
        return 2;
    }
    g_option_context_free(context);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    self.targets = g_strsplit(self.targets_text, ",", 0);
    self.target_count = g_strv_length(self.targets);
    self.mortal_targets =
        g_strsplit(self.mortal_text ? self.mortal_text : "", ",", 0);
    self.log = self.log_path ? fopen(self.log_path, "a") : NULL;
    self.until_ms = fake_now_ms() + self.duration_s * 1000;
    caller_t *callers = g_new0(caller_t, self.threads);
    pthread_t *threads = g_new0(pthread_t, self.threads);
    for (int i = 0; i < self.threads; i++) {
        callers[i].index = (uint32_t)i;
        nm_rng_init(&callers[i].rng, (uint64_t)self.seed * 1000 + (uint64_t)i);
        callers[i].latencies_us = g_array_new(FALSE, FALSE, sizeof(int64_t));
        pthread_create(&threads[i], NULL, run_caller, &callers[i]);
    }
    for (int i = 0; i < self.threads; i++) {
        pthread_join(threads[i], NULL);
    }
    print_summary(callers);
    return 0;
}
