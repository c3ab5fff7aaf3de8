/*
 * Fault soak: real entry hosts against the stand-in platform, with faults
 * that overlap, from a seed.
 *
 *     soak --program build/nutmegentry --seed 7 --seconds 20
 *
 * Callers submit, query and cancel all the while.  Promises are checked from
 * what callers and executors see (lib_executor.h, and here: answers that
 * claim too much, accepted jobs that do not end, processes that end by
 * themselves or not in their grace time).  The last line is "soak seed N:
 * passed" or "failed"; the exit status is 0, or 1 if a promise was
 * broken.
 */
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <jansson.h>

#include "lib_platform.h"
#include "lib_proxy.h"

#define HOSTS_MAX 48 /* ports of paths to the store begin at 400 of 500 */
#define PORTS_PER_HOST 4
#define TICK_MS 5
/* The smaller users' executors, and the bounds of their grown site. */
#define CPU_MILLI 16000
#define GRACE_MS 6000
#define CANCEL_MS 4000
#define VISIBLE_MS 3000
/* A process must have ended so long after its grace time. */
#define GRACE_SLACK_MS 1500
/* Longer than an entry host works on a call (3 s). */
#define CALL_TIMEOUT_MS 4000L
/* More tries than the users' callers have, so that most work is accepted. */
#define ATTEMPTS_MAX 8

typedef struct {
    pid_t pid; /* 0: it does not run */
    nm_ms_t start_at_ms;
    nm_ms_t resume_at_ms; /* 0: not paused */
    nm_ms_t killed_at_ms; /* 0: it should run */
    nm_ms_t kill_by_ms;   /* of a graceful stop; 0: none */
    nm_ms_t heal_at_ms;   /* of its path to the store */
    int path;
    uint16_t front_port;
    char *settings;
} host_t;

typedef struct {
    char id[32];
    uint32_t tasks;
    bool long_running;
    bool unknown; /* an attempt may have been stored */
    bool refused; /* given up, all attempts refused */
    bool wants_cancel;
    bool ended;
    uint32_t attempts;
    nm_ms_t accepted_ms;  /* 0: not */
    nm_ms_t cancelled_ms; /* acknowledged; 0: not */
    nm_ms_t due_ms;       /* next call */
    bool calling;
} job_t;

typedef struct {
    job_t *job;
    CURL *easy;
    GString *body;
    struct curl_slist *headers;
    char type; /* 'P'ost, 'G'et, 'D'elete */
} call_t;

static struct {
    gint hosts;
    gint executors;
    gint seconds;
    gint settle_s;
    gint base_port;
    gint64 seed;
    gdouble jobs_per_s;
    char *program;
    char *folder;
    gboolean forgets;
    gboolean calm;
} options = {.hosts = 6,
             .executors = 24,
             .seconds = 20,
             .settle_s = 45,
             .base_port = 31000,
             .seed = 1,
             .jobs_per_s = 12,
             .program = NULL};

static struct {
    host_t hosts[HOSTS_MAX];
    platform_t *platform;
    proxy_t *proxy;
    int executor_path;
    GPtrArray *jobs; /* of job_t */
    CURLM *multi;
    nm_rng_t rng;
    nm_ms_t store_heals_ms;
    nm_ms_t late_ends_ms;
    nm_ms_t executor_heals_ms[4096];
    nm_ms_t fault_due_ms;
    double pending_arrivals;
    int64_t version;
    uint32_t faults;
    uint32_t status_counts[600];
} self;

static void G_GNUC_PRINTF(1, 2) report_violation(const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    char *text = g_strdup_vprintf(format, arguments);
    va_end(arguments);
    platform_lock(self.platform);
    executor_fleet_add_violation(platform_fleet(self.platform),
                                 platform_now(self.platform), "%s", text);
    platform_unlock(self.platform);
    g_free(text);
}

static nm_ms_t
random_between(nm_ms_t least, nm_ms_t most)
{
    return least + nm_rng_below(&self.rng, (uint32_t)(most - least + 1));
}

/* --- processes --- */

static void
write_settings(uint32_t index)
{
    host_t *host = &self.hosts[index];
    int port = options.base_port + 10 + (int)index * PORTS_PER_HOST;
    host->front_port = (uint16_t)port;
    host->settings = g_strdup_printf("%s/host-%u.json", options.folder, index);
    char *text = g_strdup_printf(
        "{\"name\":\"h%u\",\"zone\":\"z%u\",\"front_address\":"
        "\"127.0.0.1:%d\",\"ready_address\":\"127.0.0.1:%d\","
        "\"peer_address\":\"tcp://127.0.0.1:%d\",\"store_address\":"
        "\"127.0.0.1:%d\",\"metrics_address\":\"127.0.0.1:%d\","
        "\"cpu_share\":0.5,\"grace_s\":%d}",
        index, index % 3, port, port + 1, port + 2,
        options.base_port + 400 + (int)index, port + 3, GRACE_MS / 1000);
    g_file_set_contents(host->settings, text, -1, NULL);
    g_free(text);
    host->path = proxy_add(self.proxy,
                           (uint16_t)(options.base_port + 400 + (int)index));
    if (host->path < 0) {
        fprintf(stderr, "soak: port %d is in use\n",
                options.base_port + 400 + (int)index);
        exit(2);
    }
}

static void
start_host(uint32_t index)
{
    host_t *host = &self.hosts[index];
    char *log = g_strdup_printf("%s/host-%u.log", options.folder, index);
    host->pid = fork();
    if (host->pid == 0) {
        sigset_t none;
        sigemptyset(&none);
        sigprocmask(SIG_SETMASK, &none, NULL);
        FILE *out = freopen(log, "a", stdout);
        FILE *err = freopen(log, "a", stderr);
        if (out && err) {
            execl(options.program, options.program, "--settings",
                  host->settings, (char *)NULL);
        }
        _exit(127);
    }
    host->killed_at_ms = 0;
    host->kill_by_ms = 0;
    host->resume_at_ms = 0;
    g_free(log);
}

static void
signal_host(host_t *host, int number)
{
    if (host->pid > 0) {
        kill(host->pid, number);
    }
}

static void
check_hosts(nm_ms_t now_ms)
{
    for (gint i = 0; i < options.hosts; i++) {
        host_t *host = &self.hosts[i];
        int status;
        if (host->pid > 0 && waitpid(host->pid, &status, WNOHANG) > 0) {
            host->pid = 0;
            if (host->killed_at_ms == 0) {
                report_violation("CRASH host %d ended by itself, status %d", i,
                                 status);
                host->start_at_ms = now_ms;
            }
        }
        if (host->resume_at_ms > 0 && now_ms >= host->resume_at_ms) {
            signal_host(host, SIGCONT);
            host->resume_at_ms = 0;
        }
        if (host->kill_by_ms > 0 && now_ms >= host->kill_by_ms &&
            host->pid > 0) {
            report_violation("STOP host %d has not ended in its grace time",
                             i);
            signal_host(host, SIGKILL);
            host->kill_by_ms = 0;
        }
        if (host->pid == 0 && now_ms >= host->start_at_ms) {
            start_host((uint32_t)i);
        }
        if (host->heal_at_ms > 0 && now_ms >= host->heal_at_ms) {
            proxy_set(self.proxy, host->path, PROXY_OPEN);
            host->heal_at_ms = 0;
        }
    }
}

static void
kill_host(host_t *host, nm_ms_t now_ms)
{
    signal_host(host, SIGCONT);
    signal_host(host, SIGKILL);
    host->killed_at_ms = now_ms;
    host->kill_by_ms = 0;
    host->resume_at_ms = 0;
    host->start_at_ms = now_ms + random_between(100, 2500);
}

/* --- faults --- */

static void
put_configuration(void)
{
    char value[512];
    snprintf(value, sizeof(value),
             "{\"version\":%lld,\"routes\":[{\"name\":\"q\",\"host\":"
             "\"callers\",\"pathPrefix\":\"/q/\",\"service\":\"s\","
             "\"maxAttempts\":8,\"slackFactor\":2,\"targetLatencyMs\":600,"
             "\"timeoutMs\":3000}],\"services\":[{\"name\":\"s\"}],"
             "\"limits\":{}}",
             (long long)++self.version);
    platform_put(self.platform, "op/config", value);
}

/* Faults; each leaves when it heals to check_faults or check_hosts. */
static void
inject(nm_ms_t now_ms)
{
    host_t *host =
        &self.hosts[nm_rng_below(&self.rng, (uint32_t)options.hosts)];
    uint32_t x = nm_rng_below(&self.rng, (uint32_t)options.executors);
    uint32_t kind = nm_rng_below(&self.rng, 13);
    self.faults++;
    platform_lock(self.platform);
    executor_fleet_t *fleet = platform_fleet(self.platform);
    switch (kind) {
    case 0:
        kill_host(host, now_ms);
        break;
    case 1:
        if (host->killed_at_ms == 0) {
            signal_host(host, SIGSTOP);
            host->resume_at_ms = now_ms + random_between(300, 4000);
        }
        break;
    case 2:
        if (host->killed_at_ms == 0 && host->resume_at_ms == 0) {
            signal_host(host, SIGTERM);
            host->killed_at_ms = now_ms;
            host->kill_by_ms = now_ms + GRACE_MS + GRACE_SLACK_MS;
            host->start_at_ms = now_ms + random_between(100, 500);
        }
        break;
    case 3:
    case 4:
        proxy_set(
            self.proxy, host->path,
            (proxy_mode_t)random_between(PROXY_DELAY, PROXY_CUT_RESPONSES));
        host->heal_at_ms = now_ms + random_between(500, 6000);
        break;
    case 5:
        platform_set_store(self.platform,
                           (store_mode_t)random_between(
                               STORE_REFUSES, STORE_LOSES_RESPONSES));
        self.store_heals_ms = now_ms + random_between(300, 4000);
        break;
    case 6:
        executor_crash(fleet, x, platform_now(self.platform));
        break;
    case 7:
        executor_at(fleet, x)->unresponsive = true;
        self.executor_heals_ms[x] = now_ms + random_between(500, 9000);
        break;
    case 8:
        platform_set_delayed_share(self.platform, 0.25);
        self.late_ends_ms = now_ms + random_between(1000, 4000);
        break;
    case 9:
        proxy_blackhole(self.proxy, host->path);
        break;
    case 10:
        proxy_reset(self.proxy, host->path);
        proxy_reset(self.proxy, self.executor_path);
        break;
    case 11:
        platform_compact(self.platform);
        put_configuration();
        break;
    default:
        for (gint i = 0; i < options.hosts; i++) {
            kill_host(&self.hosts[i], now_ms);
        }
        break;
    }
    platform_unlock(self.platform);
}

static void
heal(nm_ms_t now_ms, bool all)
{
    platform_lock(self.platform);
    if (all || now_ms >= self.store_heals_ms) {
        platform_set_store(self.platform, STORE_UP);
    }
    if (all || now_ms >= self.late_ends_ms) {
        platform_set_delayed_share(self.platform, 0);
    }
    for (gint i = 0; i < options.executors; i++) {
        if (all || now_ms >= self.executor_heals_ms[i]) {
            executor_at(platform_fleet(self.platform), (uint32_t)i)
                ->unresponsive = false;
        }
    }
    platform_unlock(self.platform);
    for (gint i = 0; all && i < options.hosts; i++) {
        self.hosts[i].heal_at_ms = MIN(self.hosts[i].heal_at_ms, now_ms);
        self.hosts[i].resume_at_ms = MIN(self.hosts[i].resume_at_ms, now_ms);
    }
}

/* --- callers --- */

static size_t
on_data(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

static void
send_call(job_t *job, char type)
{
    call_t *call = g_new0(call_t, 1);
    call->job = job;
    call->type = type;
    call->body = g_string_new(NULL);
    call->easy = curl_easy_init();
    call->headers = curl_slist_append(NULL, "Host: callers");
    call->headers = curl_slist_append(call->headers, "Expect:");
    const host_t *host =
        &self.hosts[nm_rng_below(&self.rng, (uint32_t)options.hosts)];
    char url[128];
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/q/%s", host->front_port,
             job->id);
    curl_easy_setopt(call->easy, CURLOPT_URL, url);
    curl_easy_setopt(call->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(call->easy, CURLOPT_TIMEOUT_MS, CALL_TIMEOUT_MS);
    curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->headers);
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call->body);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    if (type == 'P') {
        char body[256];
        snprintf(body, sizeof(body),
                 "{\"spec\":\"x\",\"steps\":[{\"count\":%u,\"cpu\":1000,"
                 "\"memMb\":10,\"estimateMs\":600%s}]}",
                 job->tasks,
                 job->long_running ? ",\"longRunning\":true"
                                   : ",\"checkpoints\":true");
        curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS, body);
    }
    else if (type == 'D') {
        curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, "DELETE");
    }
    job->calling = true;
    curl_multi_add_handle(self.multi, call->easy);
}

static void
new_job(void)
{
    job_t *job = g_new0(job_t, 1);
    snprintf(job->id, sizeof(job->id), "%08x%08x",
             (unsigned)options.seed & 0xffffffffu, self.jobs->len);
    job->long_running = self.jobs->len % 40 == 5;
    job->tasks = (uint32_t)random_between(1, 6);
    job->wants_cancel = nm_rng_below(&self.rng, 10) == 0;
    g_ptr_array_add(self.jobs, job);
    platform_lock(self.platform);
    executor_job_sent(platform_fleet(self.platform), job->id, job->tasks, 1000,
                      random_between(100, 1500), job->long_running);
    platform_unlock(self.platform);
    send_call(job, 'P');
}

static void
handle_submit_response(job_t *job, long status, nm_ms_t now_ms)
{
    job->attempts++;
    if (status == 200) {
        job->accepted_ms = now_ms;
        job->due_ms = now_ms + random_between(300, 2000);
        return;
    }
    if (status != 503 && status != 429) {
        job->unknown = true;
    }
    job->due_ms = now_ms + random_between(200, 900);
    if (job->attempts >= ATTEMPTS_MAX) {
        job->ended = true;
        job->refused = !job->unknown;
    }
    if (job->refused) {
        platform_lock(self.platform);
        executor_job_refused(platform_fleet(self.platform), job->id);
        platform_unlock(self.platform);
    }
}

static void
handle_state_response(job_t *job, long status, const char *text,
                      nm_ms_t now_ms)
{
    job->due_ms = now_ms + random_between(400, 2000);
    if (status == 410 && job->cancelled_ms == 0 &&
        now_ms - job->accepted_ms > VISIBLE_MS)
    {
        report_violation("LOST %s is not known", job->id);
        job->ended = true;
        return;
    }
    if (status != 200) {
        return;
    }
    platform_lock(self.platform);
    bool done = executor_job_is_done(platform_fleet(self.platform), job->id);
    platform_unlock(self.platform);
    if (strstr(text, "completed")) {
        job->ended = true;
        if (!done) {
            report_violation("MIXED %s is shown as completed and is not",
                             job->id);
        }
    }
    else if (strstr(text, "failed")) {
        job->ended = true;
        report_violation("LOST %s is shown as failed", job->id);
    }
    else if (strstr(text, "cancelled")) {
        job->ended = true;
        if (!job->wants_cancel) {
            report_violation("LOST %s is shown as cancelled", job->id);
        }
    }
}

static void
handle_cancel_response(job_t *job, long status, nm_ms_t now_ms)
{
    job->due_ms = now_ms + random_between(300, 1500);
    if (status != 200 && status != 410) {
        return;
    }
    job->cancelled_ms = now_ms;
    platform_lock(self.platform);
    executor_job_cancelled(platform_fleet(self.platform), job->id,
                           platform_now(self.platform));
    platform_unlock(self.platform);
}

static void
handle_responses(nm_ms_t now_ms)
{
    int running;
    curl_multi_perform(self.multi, &running);
    CURLMsg *message;
    int left;
    while ((message = curl_multi_info_read(self.multi, &left))) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        char *private = NULL;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &private);
        call_t *call = (call_t *)private;
        long status = 0;
        if (message->data.result == CURLE_OK) {
            curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
        }
        self.status_counts[MIN(status, 599)]++;
        job_t *job = call->job;
        job->calling = false;
        if (call->type == 'P') {
            handle_submit_response(job, status, now_ms);
        }
        else if (call->type == 'G') {
            handle_state_response(job, status, call->body->str, now_ms);
        }
        else {
            handle_cancel_response(job, status, now_ms);
        }
        curl_multi_remove_handle(self.multi, call->easy);
        curl_easy_cleanup(call->easy);
        curl_slist_free_all(call->headers);
        g_string_free(call->body, TRUE);
        g_free(call);
    }
}

static void
send_due_calls(nm_ms_t now_ms, bool submits)
{
    self.pending_arrivals +=
        submits ? options.jobs_per_s * TICK_MS / 1000.0 : 0;
    for (; self.pending_arrivals >= 1; self.pending_arrivals--) {
        new_job();
    }
    for (guint i = 0; i < self.jobs->len; i++) {
        job_t *job = self.jobs->pdata[i];
        if (job->ended || job->calling || now_ms < job->due_ms) {
            continue;
        }
        bool cancels = job->wants_cancel && job->cancelled_ms == 0;
        send_call(job, job->accepted_ms == 0 ? 'P' : cancels ? 'D' : 'G');
    }
}

static bool
is_settled(void)
{
    for (guint i = 0; i < self.jobs->len; i++) {
        const job_t *job = self.jobs->pdata[i];
        if (!job->ended &&
            !(job->long_running && !job->wants_cancel && job->accepted_ms > 0))
        {
            return false;
        }
    }
    return true;
}

/* Long-running tasks that should be at work, and are not. */
static uint32_t
count_missing(void)
{
    uint32_t missing = 0;
    platform_lock(self.platform);
    executor_fleet_t *fleet = platform_fleet(self.platform);
    for (guint i = 0; i < self.jobs->len; i++) {
        const job_t *job = self.jobs->pdata[i];
        if (!job->long_running || job->wants_cancel || job->accepted_ms == 0) {
            continue;
        }
        uint32_t running = 0;
        for (gint x = 0; x < options.executors; x++) {
            const GArray *runs = executor_at(fleet, (uint32_t)x)->runs;
            for (guint r = 0; r < runs->len; r++) {
                running += g_str_has_prefix(
                    g_array_index(runs, executor_run_t, r).task, job->id);
            }
        }
        missing += job->tasks - MIN(running, job->tasks);
    }
    platform_unlock(self.platform);
    return missing;
}

static bool
parse_options(int argc, char **argv)
{
    GOptionEntry entries[] = {
        {"program", 0, 0, G_OPTION_ARG_FILENAME, &options.program,
         "The nutmegentry to run", "PATH"},
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options.seed, "Of all choices",
         "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds,
         "Time with faults", "S"},
        {"settle", 0, 0, G_OPTION_ARG_INT, &options.settle_s,
         "Time for accepted work to end after the last fault", "S"},
        {"hosts", 0, 0, G_OPTION_ARG_INT, &options.hosts, "Entry hosts", "N"},
        {"executors", 0, 0, G_OPTION_ARG_INT, &options.executors, "Executors",
         "N"},
        {"jobs", 0, 0, G_OPTION_ARG_DOUBLE, &options.jobs_per_s,
         "Jobs a second", "N"},
        {"base-port", 0, 0, G_OPTION_ARG_INT, &options.base_port,
         "First of 500 ports", "PORT"},
        {"folder", 0, 0, G_OPTION_ARG_FILENAME, &options.folder,
         "For settings and logs", "PATH"},
        {"forget", 0, 0, G_OPTION_ARG_NONE, &options.forgets,
         "The store drops jobs: the run must fail", NULL},
        {"calm", 0, 0, G_OPTION_ARG_NONE, &options.calm, "No faults", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("- fault soak");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed || !options.program || options.hosts < 1 ||
        options.hosts > HOSTS_MAX || options.executors < 1 ||
        options.executors > 4096)
    {
        fprintf(stderr, "soak: %s\n",
                error ? error->message
                      : "--program, 1 to 48 hosts, 1 to 4096 executors");
        return false;
    }
    if (!options.folder) {
        options.folder = g_dir_make_tmp("nutmeg-soak-XXXXXX", NULL);
    }
    return options.folder != NULL;
}

static void
start_all(void)
{
    nm_rng_init(&self.rng, (uint64_t)options.seed);
    self.jobs = g_ptr_array_new_with_free_func(g_free);
    curl_global_init(CURL_GLOBAL_ALL);
    self.multi = curl_multi_init();
    uint16_t port = (uint16_t)options.base_port;
    char *events = g_strdup_printf("%s/events", options.folder);
    self.platform = platform_new(&(platform_desc_t){
        .port = port,
        .executor_port = (uint16_t)(port + 399),
        .fleet = {.executors = (uint32_t)options.executors,
                  .cpu_milli = CPU_MILLI,
                  .seed = (uint64_t)options.seed,
                  .cancel_grace_ms = CANCEL_MS,
                  .events = events},
        .drops_jobs = options.forgets,
    });
    g_free(events);
    self.proxy = proxy_new(port);
    self.executor_path = proxy_add(self.proxy, (uint16_t)(port + 399));
    platform_lock(self.platform);
    put_configuration();
    platform_unlock(self.platform);
    for (gint i = 0; i < options.hosts; i++) {
        write_settings((uint32_t)i);
        start_host((uint32_t)i);
    }
}

static void
stop_all(void)
{
    for (gint i = 0; i < options.hosts; i++) {
        self.hosts[i].killed_at_ms = 1;
        signal_host(&self.hosts[i], SIGCONT);
        signal_host(&self.hosts[i], SIGKILL);
        if (self.hosts[i].pid > 0) {
            waitpid(self.hosts[i].pid, NULL, 0);
        }
    }
}

int
main(int argc, char **argv)
{
    if (!parse_options(argc, argv)) {
        return 2;
    }
    signal(SIGPIPE, SIG_IGN);
    start_all();
    const nm_ms_t lead_ms = 3000;
    nm_ms_t faults_end_ms = 1000 + lead_ms + options.seconds * 1000;
    nm_ms_t end_ms = faults_end_ms + options.settle_s * 1000;
    nm_ms_t now_ms = platform_now(self.platform);
    nm_ms_t settled_ms = 0;
    while (now_ms < end_ms) {
        now_ms = platform_now(self.platform);
        bool faults = now_ms > 1000 + lead_ms && now_ms < faults_end_ms;
        if (faults && !options.calm && now_ms >= self.fault_due_ms) {
            inject(now_ms);
            self.fault_due_ms = now_ms + random_between(300, 2000);
        }
        heal(now_ms, !faults);
        check_hosts(now_ms);
        handle_responses(now_ms);
        send_due_calls(now_ms,
                       now_ms > 1000 + lead_ms / 2 && now_ms < faults_end_ms);
        bool settled =
            now_ms > faults_end_ms && is_settled() && count_missing() == 0;
        settled_ms = !settled ? 0 : settled_ms > 0 ? settled_ms : now_ms;
        if (settled && now_ms - settled_ms > 500) {
            break;
        }
        curl_multi_poll(self.multi, NULL, 0, TICK_MS, NULL);
    }
    for (guint i = 0; i < self.jobs->len; i++) {
        const job_t *job = self.jobs->pdata[i];
        if (!job->ended && !job->long_running && job->accepted_ms > 0) {
            report_violation("LOST %s has not ended", job->id);
        }
    }
    uint32_t missing = count_missing();
    if (missing > 0) {
        report_violation("LOST %u long-running tasks are not at work",
                         missing);
    }
    stop_all();
    platform_lock(self.platform);
    executor_fleet_info_t info =
        executor_fleet_query_info(platform_fleet(self.platform));
    platform_unlock(self.platform);
    printf("soak seed %lld: hosts %d executors %d faults %u jobs %u starts %u "
           "ends %u answers 200 %u 503 %u 504 %u none %u settled in %lld ms\n",
           (long long)options.seed, options.hosts, options.executors,
           self.faults, self.jobs->len, info.starts, info.ends,
           self.status_counts[200], self.status_counts[503],
           self.status_counts[504], self.status_counts[0],
           (long long)(now_ms - faults_end_ms));
    printf("soak seed %lld: %s%s%s, logs in %s\n", (long long)options.seed,
           info.violations > 0 ? "failed, first " : "passed",
           info.first_violation, "", options.folder);
    return info.violations > 0 ? 1 : 0;
}
