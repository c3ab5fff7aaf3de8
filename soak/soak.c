/*
 * Fault soak: runs entry host processes against a stand-in of the users'
 * platform and injects overlapping faults, drawn from a seed.
 *
 *     soak --program build/nutmegentry --seed 7 --seconds 20
 *
 * Callers submit, query and cancel jobs during the whole run.  Starts of tasks
 * are checked by lib_executor.h; this file checks what callers and the
 * operating system see:
 *
 *     LOST   an accepted job is unknown, is reported as failed though no two
 *            executors crashed under a task, or as cancelled without a cancel,
 *            or does not end in the settle time; or tasks of an accepted
 *            long-running job do not run at the end
 *     MIXED  a job is reported as completed before all of its tasks are done
 *     LOST   a host that was told to stop has read a request whole and ends
 *            without a response to it ("request-dropped" in its log)
 *     CRASH  a host process ends that the soak did not stop, or ends by a
 *            signal or an error after SIGTERM
 *     STOP   a host process does not end in its grace time after SIGTERM
 *
 * The last line of the output is "soak seed N: passed" or "soak seed N:
 * failed, first " with the first violation.  Exit status: 0 passed, 1 at
 * least one violation, 2 wrong usage or a port in use.
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

/*
 * Ports, from --base-port: 0 the platform, 10 + 4 * i those of host i, 399 the
 * path to the executors, 400 + i the path of host i to the store, up to 499.
 */
#define HOSTS_MAX 48
#define EXECUTORS_MAX 4096
#define PORTS_PER_HOST 4
#define TICK_MS 5
#define EXECUTOR_CPU_MILLI 16000 /* executors of the smaller users */
/* Bounds of the smaller users' site after its growth. */
#define HOST_GRACE_MS 6000   /* from SIGTERM to the end of the process */
#define CANCEL_GRACE_MS 4000 /* from the ack of a cancel to the last start */
#define JOB_VISIBLE_MS 3000  /* from the ack of a submit to no more 410 */
/* A host process must have ended this long after its grace time. */
#define HOST_GRACE_SLACK_MS 1500
/* Longer than an entry host works on a call: timeoutMs of the route, 3 s. */
#define CALL_TIMEOUT_MS 4000L
/* More than the users' callers make, so that most jobs are accepted. */
#define SUBMIT_ATTEMPTS_MAX 8
/* One caller in so many gives up after its first attempt. */
#define IMPATIENT_CALLERS 4

typedef struct {
    pid_t pid; /* 0: not running */
    nm_ms_t start_at_ms;
    nm_ms_t resume_at_ms; /* 0: not paused */
    nm_ms_t stop_sent_ms; /* SIGTERM or SIGKILL; 0: must run */
    nm_ms_t kill_at_ms;   /* end of the grace time; 0: no SIGTERM pending */
    nm_ms_t path_heal_at_ms;
    int proxy_path; /* to the store */
    uint16_t front_port;
    char *settings;
} host_t;

typedef struct {
    char id[32];
    uint32_t tasks;
    bool long_running;
    bool deadly;          /* its tasks crash their executors */
    bool outcome_unknown; /* a failed attempt may have been stored */
    bool refused;         /* every attempt got 503 or 429 */
    bool wants_cancel;
    bool ended;
    uint32_t attempts;
    uint32_t attempts_max;
    nm_ms_t accepted_ms;  /* 0: not accepted */
    nm_ms_t cancelled_ms; /* 0: no cancel acknowledged */
    nm_ms_t next_call_ms;
    bool call_in_flight;
} job_t;

typedef struct {
    job_t *job;
    CURL *easy;
    GString *body;
    struct curl_slist *headers;
    char type;            /* 'P': POST, 'G': GET, 'D': DELETE */
    uint32_t connections; /* on which it was, or is about to be, sent */
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
    gboolean drops_jobs;
    gboolean no_faults;
    gboolean deadly;
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
    nm_ms_t store_heal_at_ms;
    nm_ms_t delays_heal_at_ms;
    nm_ms_t executor_path_heal_at_ms;
    nm_ms_t owner_kill_at_ms; /* not before */
    uint32_t owner_kills_left;
    nm_ms_t executor_heal_at_ms[EXECUTORS_MAX];
    nm_ms_t next_fault_ms;
    double pending_arrivals;
    int64_t config_version;
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
random_between(nm_ms_t min, nm_ms_t max)
{
    return min + nm_rng_below(&self.rng, (uint32_t)(max - min + 1));
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
        options.base_port + 400 + (int)index, port + 3, HOST_GRACE_MS / 1000);
    g_file_set_contents(host->settings, text, -1, NULL);
    g_free(text);
    host->proxy_path = proxy_add(
        self.proxy, (uint16_t)(options.base_port + 400 + (int)index));
    if (host->proxy_path < 0) {
        fprintf(stderr, "soak: cannot listen on port %d\n",
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
        sigset_t empty;
        sigemptyset(&empty);
        sigprocmask(SIG_SETMASK, &empty, NULL);
        FILE *out = freopen(log, "a", stdout);
        FILE *err = freopen(log, "a", stderr);
        if (out && err) {
            execl(options.program, options.program, "--settings",
                  host->settings, (char *)NULL);
        }
        _exit(127);
    }
    host->stop_sent_ms = 0;
    host->kill_at_ms = 0;
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

/*
 * Collects ended processes, kills those that exceed their grace time, and
 * restarts, resumes and reconnects hosts when it is due.
 */
static void
supervise_hosts(nm_ms_t now_ms)
{
    for (gint i = 0; i < options.hosts; i++) {
        host_t *host = &self.hosts[i];
        int status;
        if (host->pid > 0 && waitpid(host->pid, &status, WNOHANG) > 0) {
            host->pid = 0;
            bool told_to_stop = host->kill_at_ms > 0;
            host->kill_at_ms = 0;
            if (told_to_stop && status != 0) {
                report_violation(
                    "CRASH host %d ended with wait status %d after SIGTERM", i,
                    status);
            }
            if (host->stop_sent_ms == 0) {
                report_violation(
                    "CRASH host %d ended unexpectedly, wait status %d", i,
                    status);
                host->start_at_ms = now_ms;
            }
        }
        if (host->resume_at_ms > 0 && now_ms >= host->resume_at_ms) {
            signal_host(host, SIGCONT);
            host->resume_at_ms = 0;
        }
        if (host->kill_at_ms > 0 && now_ms >= host->kill_at_ms &&
            host->pid > 0) {
            report_violation(
                "STOP host %d has not ended in its grace time after SIGTERM",
                i);
            signal_host(host, SIGKILL);
            host->kill_at_ms = 0;
        }
        if (host->pid == 0 && now_ms >= host->start_at_ms) {
            start_host((uint32_t)i);
        }
        if (host->path_heal_at_ms > 0 && now_ms >= host->path_heal_at_ms) {
            proxy_set(self.proxy, host->proxy_path, PROXY_OPEN);
            host->path_heal_at_ms = 0;
        }
    }
}

static void
kill_host(host_t *host, nm_ms_t now_ms)
{
    signal_host(host, SIGCONT);
    signal_host(host, SIGKILL);
    host->stop_sent_ms = now_ms;
    host->kill_at_ms = 0;
    host->resume_at_ms = 0;
    host->start_at_ms = now_ms + random_between(100, 2500);
}

/* --- faults --- */

/* Writes a new version of the configuration; its content never changes. */
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
             (long long)++self.config_version);
    platform_put(self.platform, "op/config", value);
}

/* Reads the owner's record: returns its host, or NULL, and sets its epoch. */
static host_t *
find_owner(int64_t *epoch)
{
    char *text = platform_get(self.platform, "nutmegdeck/control/owner");
    json_t *record = text ? json_loads(text, 0, NULL) : NULL;
    const char *name = json_string_value(json_object_get(record, "name"));
    int index = name ? atoi(name + 1) : options.hosts;
    *epoch = json_integer_value(json_object_get(record, "epoch"));
    json_decref(record);
    g_free(text);
    return index < options.hosts ? &self.hosts[index] : NULL;
}

/*
 * Cuts the owner off from the store, the other hosts and all executors but
 * one, which nobody else reaches, for longer than a lease.  Without its record
 * no other host calls it.
 */
static void
cut_owner(uint32_t executor_index, nm_ms_t now_ms)
{
    int64_t epoch;
    host_t *owner = find_owner(&epoch);
    if (!owner || owner->stop_sent_ms > 0) {
        return;
    }
    char *key =
        g_strdup_printf("nutmegdeck/hosts/h%d", (int)(owner - self.hosts));
    platform_put(self.platform, key, NULL);
    g_free(key);
    proxy_set(self.proxy, owner->proxy_path, PROXY_CUT);
    owner->path_heal_at_ms = now_ms + random_between(8000, 14000);
    platform_cut(self.platform, epoch, executor_index, owner->path_heal_at_ms);
}

/* Kills the owner while more are to be killed, each soon after its election.
 */
static void
kill_owners(nm_ms_t now_ms)
{
    int64_t epoch;
    if (self.owner_kills_left == 0 || now_ms < self.owner_kill_at_ms) {
        return;
    }
    platform_lock(self.platform);
    host_t *owner = find_owner(&epoch);
    platform_unlock(self.platform);
    if (owner && owner->stop_sent_ms == 0) {
        kill_host(owner, now_ms);
        self.owner_kills_left--;
        self.owner_kill_at_ms = now_ms + random_between(200, 3000);
    }
}

/* Kinds of faults in the order of the numbers drawn. */
typedef enum {
    FAULT_KILL_HOST,
    FAULT_PAUSE_HOST,
    FAULT_STOP_HOST,
    FAULT_STORE_PATH,
    FAULT_STORE_PATH_AGAIN, /* so that it is drawn twice as often */
    FAULT_STORE,
    FAULT_CRASH_EXECUTOR,
    FAULT_UNRESPONSIVE_EXECUTOR,
    FAULT_DELAYED_ORDERS,
    FAULT_BLACKHOLE,
    FAULT_RESET_CONNECTIONS,
    FAULT_RESET_THEN_REFUSE_STORE,
    FAULT_RESET_THEN_REFUSE_EXECUTORS,
    FAULT_CUT_OWNER,
    FAULT_KILL_OWNERS,
    FAULT_COMPACT_STORE,
    FAULT_KILL_ALL_HOSTS,
    FAULT_KIND_COUNT
} fault_kind_t;

/*
 * Injects a random fault; network faults are drawn twice as often as others.
 * heal_faults() and supervise_hosts() end the lasting ones.
 */
static void
inject_fault(nm_ms_t now_ms)
{
    host_t *host =
        &self.hosts[nm_rng_below(&self.rng, (uint32_t)options.hosts)];
    uint32_t executor_index =
        nm_rng_below(&self.rng, (uint32_t)options.executors);
    fault_kind_t kind =
        (fault_kind_t)nm_rng_below(&self.rng, FAULT_KIND_COUNT);
    self.faults++;
    platform_lock(self.platform);
    executor_fleet_t *fleet = platform_fleet(self.platform);
    switch (kind) {
    case FAULT_KILL_HOST:
        kill_host(host, now_ms);
        break;
    case FAULT_PAUSE_HOST:
        if (host->stop_sent_ms == 0) {
            signal_host(host, SIGSTOP);
            host->resume_at_ms = now_ms + random_between(300, 4000);
        }
        break;
    case FAULT_STOP_HOST:
        if (host->stop_sent_ms == 0 && host->resume_at_ms == 0) {
            signal_host(host, SIGTERM);
            host->stop_sent_ms = now_ms;
            host->kill_at_ms = now_ms + HOST_GRACE_MS + HOST_GRACE_SLACK_MS;
            host->start_at_ms = now_ms + random_between(100, 500);
        }
        break;
    case FAULT_STORE_PATH:
    case FAULT_STORE_PATH_AGAIN:
        proxy_set(
            self.proxy, host->proxy_path,
            (proxy_mode_t)random_between(PROXY_DELAY, PROXY_CUT_RESPONSES));
        host->path_heal_at_ms = now_ms + random_between(500, 6000);
        break;
    case FAULT_STORE:
        platform_set_store(self.platform,
                           (store_mode_t)random_between(
                               STORE_REFUSES, STORE_LOSES_RESPONSES));
        self.store_heal_at_ms = now_ms + random_between(300, 4000);
        break;
    case FAULT_CRASH_EXECUTOR:
        executor_crash(fleet, executor_index, platform_now(self.platform));
        break;
    case FAULT_UNRESPONSIVE_EXECUTOR:
        executor_at(fleet, executor_index)->unresponsive = true;
        self.executor_heal_at_ms[executor_index] =
            now_ms + random_between(500, 9000);
        break;
    case FAULT_DELAYED_ORDERS:
        platform_set_delayed_share(self.platform, 0.25);
        self.delays_heal_at_ms = now_ms + random_between(1000, 4000);
        break;
    case FAULT_BLACKHOLE:
        proxy_blackhole(self.proxy, host->proxy_path);
        break;
    case FAULT_RESET_CONNECTIONS:
        proxy_reset(self.proxy, host->proxy_path);
        proxy_reset(self.proxy, self.executor_path);
        break;
    case FAULT_RESET_THEN_REFUSE_STORE:
        for (gint i = 0; i < options.hosts; i++) {
            proxy_set(self.proxy, self.hosts[i].proxy_path,
                      PROXY_RESET_THEN_REFUSE);
            self.hosts[i].path_heal_at_ms = now_ms + random_between(300, 2000);
        }
        break;
    case FAULT_RESET_THEN_REFUSE_EXECUTORS:
        proxy_set(self.proxy, self.executor_path, PROXY_RESET_THEN_REFUSE);
        self.executor_path_heal_at_ms = now_ms + random_between(100, 1000);
        break;
    case FAULT_CUT_OWNER:
        cut_owner(executor_index, now_ms);
        break;
    case FAULT_KILL_OWNERS:
        self.owner_kills_left = (uint32_t)random_between(2, 4);
        break;
    case FAULT_COMPACT_STORE:
        platform_compact(self.platform);
        put_configuration();
        break;
    case FAULT_KILL_ALL_HOSTS:
    default:
        for (gint i = 0; i < options.hosts; i++) {
            kill_host(&self.hosts[i], now_ms);
        }
        break;
    }
    platform_unlock(self.platform);
}

/* Ends the lasting faults that are due, or all of them. */
static void
heal_faults(nm_ms_t now_ms, bool all)
{
    platform_lock(self.platform);
    if (all) {
        platform_cut(self.platform, 0, 0, 0);
    }
    if (all || now_ms >= self.store_heal_at_ms) {
        platform_set_store(self.platform, STORE_UP);
    }
    if (all || now_ms >= self.delays_heal_at_ms) {
        platform_set_delayed_share(self.platform, 0);
    }
    for (gint i = 0; i < options.executors; i++) {
        if (all || now_ms >= self.executor_heal_at_ms[i]) {
            executor_at(platform_fleet(self.platform), (uint32_t)i)
                ->unresponsive = false;
        }
    }
    platform_unlock(self.platform);
    if (all || now_ms >= self.executor_path_heal_at_ms) {
        proxy_set(self.proxy, self.executor_path, PROXY_OPEN);
    }
    for (gint i = 0; all && i < options.hosts; i++) {
        self.hosts[i].path_heal_at_ms =
            MIN(self.hosts[i].path_heal_at_ms, now_ms);
        self.hosts[i].resume_at_ms = MIN(self.hosts[i].resume_at_ms, now_ms);
    }
}

/* --- callers --- */

static size_t
on_response_data(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

/*
 * libcurl sends a request again by itself if a kept connection closes.  The
 * response to the second transmission says nothing about the first one.
 */
static int
on_ready_to_send(void *user, char *remote_address, char *local_address,
                 int remote_port, int local_port)
{
    (void)remote_address;
    (void)local_address;
    (void)remote_port;
    (void)local_port;
    call_t *call = user;
    return call->connections++ > 0 ? CURL_PREREQFUNC_ABORT
                                   : CURL_PREREQFUNC_OK;
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
    curl_easy_setopt(call->easy, CURLOPT_WRITEFUNCTION, on_response_data);
    curl_easy_setopt(call->easy, CURLOPT_WRITEDATA, call->body);
    curl_easy_setopt(call->easy, CURLOPT_PRIVATE, call);
    curl_easy_setopt(call->easy, CURLOPT_PREREQFUNCTION, on_ready_to_send);
    curl_easy_setopt(call->easy, CURLOPT_PREREQDATA, call);
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
    job->call_in_flight = true;
    curl_multi_add_handle(self.multi, call->easy);
}

static void
submit_new_job(void)
{
    job_t *job = g_new0(job_t, 1);
    snprintf(job->id, sizeof(job->id), "%08x%08x",
             (unsigned)options.seed & 0xffffffffu, self.jobs->len);
    job->long_running = self.jobs->len % 40 == 5;
    job->deadly = options.deadly && self.jobs->len % 40 == 25;
    job->tasks = job->deadly ? 1 : (uint32_t)random_between(1, 6);
    job->wants_cancel = nm_rng_below(&self.rng, 10) == 0;
    job->attempts_max = nm_rng_below(&self.rng, IMPATIENT_CALLERS) == 0
                            ? 1
                            : SUBMIT_ATTEMPTS_MAX;
    g_ptr_array_add(self.jobs, job);
    platform_lock(self.platform);
    executor_job_submitted(platform_fleet(self.platform), job->id, job->tasks,
                           1000, random_between(100, 1500), job->long_running,
                           job->deadly);
    platform_unlock(self.platform);
    send_call(job, 'P');
}

static void
handle_submit_response(job_t *job, long status, nm_ms_t now_ms)
{
    job->attempts++;
    if (status == 200) {
        job->accepted_ms = now_ms;
        job->next_call_ms = now_ms + random_between(300, 2000);
        return;
    }
    if (status != 503 && status != 429) {
        job->outcome_unknown = true;
    }
    job->next_call_ms = now_ms + random_between(200, 900);
    if (job->attempts >= job->attempts_max) {
        job->ended = true;
        job->refused = !job->outcome_unknown;
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
    job->next_call_ms = now_ms + random_between(400, 2000);
    if (status == 410 && job->cancelled_ms == 0 &&
        now_ms - job->accepted_ms > JOB_VISIBLE_MS)
    {
        report_violation("LOST job %s was accepted, its query got 410",
                         job->id);
        job->ended = true;
        return;
    }
    if (status != 200) {
        return;
    }
    platform_lock(self.platform);
    bool done = executor_job_is_done(platform_fleet(self.platform), job->id);
    bool may_fail =
        executor_job_may_fail(platform_fleet(self.platform), job->id);
    platform_unlock(self.platform);
    if (strstr(text, "completed")) {
        job->ended = true;
        if (!done) {
            report_violation("MIXED job %s is reported as completed, its "
                             "tasks are not done",
                             job->id);
        }
    }
    else if (strstr(text, "failed")) {
        job->ended = true;
        if (!may_fail) {
            report_violation("LOST job %s is reported as failed", job->id);
        }
    }
    else if (strstr(text, "cancelled")) {
        job->ended = true;
        if (!job->wants_cancel) {
            report_violation(
                "LOST job %s is reported as cancelled without a cancel",
                job->id);
        }
    }
}

static void
handle_cancel_response(job_t *job, long status, nm_ms_t now_ms)
{
    job->next_call_ms = now_ms + random_between(300, 1500);
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
    int messages_left;
    while ((message = curl_multi_info_read(self.multi, &messages_left))) {
        if (message->msg != CURLMSG_DONE) {
            continue;
        }
        char *user_data = NULL;
        curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &user_data);
        call_t *call = (call_t *)user_data;
        long status = 0;
        if (message->data.result == CURLE_OK) {
            curl_easy_getinfo(call->easy, CURLINFO_RESPONSE_CODE, &status);
        }
        self.status_counts[MIN(status, 599)]++;
        job_t *job = call->job;
        job->call_in_flight = false;
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
send_due_calls(nm_ms_t now_ms, bool submits_new)
{
    self.pending_arrivals +=
        submits_new ? options.jobs_per_s * TICK_MS / 1000.0 : 0;
    for (; self.pending_arrivals >= 1; self.pending_arrivals--) {
        submit_new_job();
    }
    for (guint i = 0; i < self.jobs->len; i++) {
        job_t *job = self.jobs->pdata[i];
        if (job->ended || job->call_in_flight || now_ms < job->next_call_ms) {
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

/* Counts tasks of accepted long-running jobs that no executor runs. */
static uint32_t
count_missing_runs(void)
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
        for (gint index = 0; index < options.executors; index++) {
            const GArray *runs = executor_at(fleet, (uint32_t)index)->runs;
            for (guint run = 0; run < runs->len; run++) {
                running += g_str_has_prefix(
                    g_array_index(runs, executor_run_t, run).task, job->id);
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
        {"seed", 0, 0, G_OPTION_ARG_INT64, &options.seed,
         "Seed of all random draws", "N"},
        {"seconds", 0, 0, G_OPTION_ARG_INT, &options.seconds,
         "Duration of the faults", "S"},
        {"settle", 0, 0, G_OPTION_ARG_INT, &options.settle_s,
         "Time limit for accepted jobs to end after the last fault", "S"},
        {"hosts", 0, 0, G_OPTION_ARG_INT, &options.hosts,
         "Number of entry hosts", "N"},
        {"executors", 0, 0, G_OPTION_ARG_INT, &options.executors,
         "Number of executors", "N"},
        {"jobs", 0, 0, G_OPTION_ARG_DOUBLE, &options.jobs_per_s,
         "Submitted jobs per second", "N"},
        {"base-port", 0, 0, G_OPTION_ARG_INT, &options.base_port,
         "First of 500 consecutive ports", "PORT"},
        {"folder", 0, 0, G_OPTION_ARG_FILENAME, &options.folder,
         "Folder for settings, logs and events", "PATH"},
        {"forget", 0, 0, G_OPTION_ARG_NONE, &options.drops_jobs,
         "Let the store drop jobs: the run must fail", NULL},
        {"deadly", 0, 0, G_OPTION_ARG_NONE, &options.deadly,
         "Submit jobs that crash each executor that starts them", NULL},
        {"calm", 0, 0, G_OPTION_ARG_NONE, &options.no_faults,
         "Inject no faults", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GOptionContext *context = g_option_context_new("- fault soak");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    bool parsed = g_option_context_parse(context, &argc, &argv, &error);
    g_option_context_free(context);
    if (!parsed || !options.program || options.hosts < 1 ||
        options.hosts > HOSTS_MAX || options.executors < 1 ||
        options.executors > EXECUTORS_MAX)
    {
        fprintf(stderr, "soak: %s\n",
                error ? error->message
                      : "needs --program, --hosts of 1 to 48, --executors of "
                        "1 to 4096");
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
    char *event_log_path = g_strdup_printf("%s/events", options.folder);
    self.platform = platform_new(&(platform_desc_t){
        .port = port,
        .executor_port = (uint16_t)(port + 399),
        .fleet = {.executors = (uint32_t)options.executors,
                  .cpu_milli = EXECUTOR_CPU_MILLI,
                  .seed = (uint64_t)options.seed,
                  .cancel_grace_ms = CANCEL_GRACE_MS,
                  .event_log_path = event_log_path},
        .drops_jobs = options.drops_jobs,
    });
    g_free(event_log_path);
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

/* Reports each request that a stopping host has read and not answered. */
static void
check_dropped_requests(void)
{
    for (gint i = 0; i < options.hosts; i++) {
        char *path = g_strdup_printf("%s/host-%d.log", options.folder, i);
        char *text = NULL;
        if (g_file_get_contents(path, &text, NULL, NULL) &&
            strstr(text, "\"request-dropped\""))
        {
            report_violation("LOST host %d ended without a response to a "
                             "request that it had read",
                             i);
        }
        g_free(text);
        g_free(path);
    }
}

static void
stop_all(void)
{
    for (gint i = 0; i < options.hosts; i++) {
        self.hosts[i].stop_sent_ms = 1;
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
    const nm_ms_t warmup_ms = 3000;
    /* platform_now() starts at 1000. */
    nm_ms_t faults_end_ms = 1000 + warmup_ms + options.seconds * 1000;
    nm_ms_t end_ms = faults_end_ms + options.settle_s * 1000;
    nm_ms_t now_ms = platform_now(self.platform);
    nm_ms_t settled_ms = 0;
    while (now_ms < end_ms) {
        now_ms = platform_now(self.platform);
        bool faults = now_ms > 1000 + warmup_ms && now_ms < faults_end_ms;
        if (faults && !options.no_faults && now_ms >= self.next_fault_ms) {
            inject_fault(now_ms);
            self.next_fault_ms = now_ms + random_between(300, 2000);
        }
        heal_faults(now_ms, !faults);
        if (faults) {
            kill_owners(now_ms);
        }
        supervise_hosts(now_ms);
        handle_responses(now_ms);
        send_due_calls(now_ms, now_ms > 1000 + warmup_ms / 2 &&
                                   now_ms < faults_end_ms);
        bool settled = now_ms > faults_end_ms && is_settled() &&
                       count_missing_runs() == 0;
        settled_ms = !settled ? 0 : settled_ms > 0 ? settled_ms : now_ms;
        if (settled && now_ms - settled_ms > 500) {
            break;
        }
        curl_multi_poll(self.multi, NULL, 0, TICK_MS, NULL);
    }
    for (guint i = 0; i < self.jobs->len; i++) {
        const job_t *job = self.jobs->pdata[i];
        if (!job->ended && !job->long_running && job->accepted_ms > 0) {
            report_violation("LOST job %s was accepted and has not ended",
                             job->id);
        }
    }
    uint32_t missing = count_missing_runs();
    if (missing > 0) {
        report_violation("LOST %u accepted long-running tasks are not running",
                         missing);
    }
    stop_all();
    check_dropped_requests();
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
