/* Callers of the soak: what they send, and what they must see. */
#include "soak_state.h"

#include <stdio.h>
#include <string.h>

#define JOB_VISIBLE_MS 3000 /* from the ack of a submit to no more 410 */
/* Longer than an entry host works on a call: timeoutMs of the route, 3 s. */
#define CALL_TIMEOUT_MS 4000L
/* More than the users' callers make, so that most jobs are accepted. */
#define SUBMIT_ATTEMPTS_MAX 8
/* One caller in so many gives up after its first attempt. */
#define IMPATIENT_CALLERS 4
/* With --cuts many tasks are at work when their lease lapses. */
#define LONG_TASK_MAX_MS 6000
/* With --recuts some are at work for longer than a lease. */
#define RECUT_TASK_MAX_MS 14000
/* Otherwise they count as stalled before they end. */
#define RECUT_ESTIMATE_MS 6000
#define ESTIMATE_MS 600
/* With --short the starts of tasks need more than narrow links have. */
#define SHORTAGE_TASKS_MAX 20
#define SHORTAGE_TASK_MAX_MS 3000
#define SHORTAGE_PAYLOAD_BYTES 4000

/* One job in so many asks for the second service, a label, or has a limit. */
#define OTHER_QUEUE_JOBS 8
#define LABEL_JOBS 4
#define LIMITED_JOBS 2
#define PER_WORKER_MAX 2
/* A long-running job with a limit needs so many executors of its service. */
#define LIMITED_LONG_EXECUTORS 24

/*
 * With --fillers the first jobs serve, each on so many executors, with tails
 * as in lib_executor.c; all others fill.  An executor has room for two fillers
 * at full speed, and for four times as many slowed ones
 * (SLOWED_CPU_SHARE_MAX), so that some 30 and 130 may run at a time.
 */
#define SERVING_JOBS 2
#define SERVING_TASKS 4
#define SERVING_CPU_MILLI 6000
#define SERVING_STEP ",\"image\":\"serving\",\"targetMs\":100"
#define FILLER_JOBS 100
#define FILLER_TASKS_MIN 3
#define FILLER_TASKS_MAX 5
#define FILLER_TASK_MIN_MS 3000
#define FILLER_TASK_MAX_MS 8000
#define FILLER_CPU_MILLI 8000
#define FILLER_STEP ",\"image\":\"filler\",\"fills\":true"
#define TASK_CPU_MILLI 1000

typedef struct {
    job_t *job;
    CURL *easy;
    GString *body;
    struct curl_slist *headers;
    char type;            /* 'P': POST, 'G': GET, 'D': DELETE */
    uint32_t connections; /* on which it was, or is about to be, sent */
} call_t;

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

static int
query_cpu_milli(const job_t *job)
{
    return job->fills    ? FILLER_CPU_MILLI
           : job->serves ? SERVING_CPU_MILLI
                         : TASK_CPU_MILLI;
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
        &soak.hosts[nm_rng_below(&soak.rng, (uint32_t)soak_options.hosts)];
    char url[128];
    snprintf(url, sizeof(url), "http://127.0.0.1:%u/%s/%s", host->front_port,
             job->queue, job->id);
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
        char payload[SHORTAGE_PAYLOAD_BYTES + 1];
        size_t bytes = soak_options.shortages ? SHORTAGE_PAYLOAD_BYTES : 1;
        memset(payload, 'x', bytes);
        payload[bytes] = '\0';
        char label[64] = "";
        if (job->label) {
            snprintf(label, sizeof(label), ",\"requiredLabel\":\"%s\"",
                     job->label);
        }
        char limit[64] = "";
        if (job->per_worker_max > 0) {
            snprintf(limit, sizeof(limit), ",\"antiAffinity\":%u",
                     job->per_worker_max);
        }
        char body[SHORTAGE_PAYLOAD_BYTES + 256];
        snprintf(body, sizeof(body),
                 "{\"spec\":\"%s\",\"steps\":[{\"count\":%u,\"cpu\":%d,"
                 "\"memMb\":10,\"estimateMs\":%d%s%s%s%s}]}",
                 payload, job->tasks, query_cpu_milli(job),
                 soak_options.recuts || soak_options.fillers
                     ? RECUT_ESTIMATE_MS
                     : ESTIMATE_MS,
                 label, limit,
                 job->fills    ? FILLER_STEP
                 : job->serves ? SERVING_STEP
                               : "",
                 job->long_running ? ",\"longRunning\":true"
                                   : ",\"checkpoints\":true");
        curl_easy_setopt(call->easy, CURLOPT_COPYPOSTFIELDS, body);
    }
    else if (type == 'D') {
        curl_easy_setopt(call->easy, CURLOPT_CUSTOMREQUEST, "DELETE");
    }
    job->call_in_flight = true;
    curl_multi_add_handle(soak.multi, call->easy);
}

/* Long-running jobs must find room for all of their tasks at once. */
static void
draw_route(job_t *job)
{
    if (soak_options.fillers) {
        job->queue = "q";
        job->per_worker_max = job->serves ? 1 : 0;
        executor_job_routed(platform_fleet(soak.platform), job->id,
                            executor_kinds[0].service, NULL,
                            job->per_worker_max);
        return;
    }
    bool other_queue = nm_rng_below(&soak.route_rng, OTHER_QUEUE_JOBS) == 0;
    bool labelled = nm_rng_below(&soak.route_rng, LABEL_JOBS) == 0;
    bool limited = nm_rng_below(&soak.route_rng, LIMITED_JOBS) == 0;
    uint32_t limit = 1 + nm_rng_below(&soak.route_rng, PER_WORKER_MAX);
    uint32_t kind = nm_rng_below(&soak.route_rng, EXECUTOR_KINDS - 1);
    job->queue = "q";
    const char *service = executor_kinds[0].service;
    if (!job->long_running && soak_options.executors >= EXECUTOR_KINDS) {
        kind = other_queue ? EXECUTOR_KINDS - 1 : kind;
        job->queue = other_queue ? "p" : "q";
        job->label = labelled ? executor_kinds[kind].label : NULL;
        service = executor_kinds[kind].service;
    }
    if (limited && (!job->long_running ||
                    soak_options.executors >= LIMITED_LONG_EXECUTORS))
    {
        job->per_worker_max = job->long_running ? PER_WORKER_MAX : limit;
    }
    executor_job_routed(platform_fleet(soak.platform), job->id, service,
                        job->label, job->per_worker_max);
}

static void
submit_new_job(void)
{
    job_t *job = g_new0(job_t, 1);
    snprintf(job->id, sizeof(job->id), "%08x%08x",
             (unsigned)soak_options.seed & 0xffffffffu, soak.jobs->len);
    job->deadly = soak_options.deadly && soak.jobs->len % 40 == 25;
    job->long_running =
        !job->deadly && soak.jobs->len % (soak_options.cuts ? 10 : 40) == 5;
    nm_ms_t tasks_max = soak_options.shortages ? SHORTAGE_TASKS_MAX : 6;
    job->tasks = job->deadly ? 1 : (uint32_t)soak_random_between(1, tasks_max);
    job->wants_cancel = nm_rng_below(&soak.rng, 10) == 0;
    job->attempts_max = nm_rng_below(&soak.rng, IMPATIENT_CALLERS) == 0
                            ? 1
                            : SUBMIT_ATTEMPTS_MAX;
    g_ptr_array_add(soak.jobs, job);
    bool fails_often = soak.jobs->len % 40 == 17;
    if (soak_options.fillers) {
        job->serves = soak.jobs->len <= SERVING_JOBS;
        job->fills = !job->serves;
        job->long_running = job->serves;
        job->tasks = job->serves ? SERVING_TASKS
                                 : (uint32_t)soak_random_between(
                                       FILLER_TASKS_MIN, FILLER_TASKS_MAX);
        job->wants_cancel = job->wants_cancel && job->fills;
        job->attempts_max = SUBMIT_ATTEMPTS_MAX;
        fails_often = false;
    }
    nm_ms_t duration_max_ms = fails_often              ? 1500
                              : soak_options.cuts      ? LONG_TASK_MAX_MS
                              : soak_options.recuts    ? RECUT_TASK_MAX_MS
                              : soak_options.shortages ? SHORTAGE_TASK_MAX_MS
                              : soak_options.fillers   ? FILLER_TASK_MAX_MS
                                                       : 1500;
    nm_ms_t duration_min_ms = soak_options.fillers ? FILLER_TASK_MIN_MS : 100;
    platform_lock(soak.platform);
    executor_job_submitted(
        platform_fleet(soak.platform), job->id, job->tasks,
        query_cpu_milli(job),
        soak_random_between(duration_min_ms, duration_max_ms),
        job->long_running, job->deadly);
    executor_job_shares(platform_fleet(soak.platform), job->id, job->fills,
                        job->serves);
    if (fails_often) {
        executor_job_fails_often(platform_fleet(soak.platform), job->id);
    }
    draw_route(job);
    platform_unlock(soak.platform);
    send_call(job, 'P');
}

static void
handle_submit_response(job_t *job, long status, nm_ms_t now_ms)
{
    job->attempts++;
    if (status == 200) {
        job->accepted_ms = now_ms;
        job->next_call_ms = now_ms + soak_random_between(300, 2000);
        return;
    }
    if (status != 503 && status != 429) {
        job->outcome_unknown = true;
    }
    job->next_call_ms = now_ms + soak_random_between(200, 900);
    if (job->attempts >= job->attempts_max) {
        job->ended = true;
        job->refused = !job->outcome_unknown;
    }
    if (job->refused) {
        platform_lock(soak.platform);
        executor_job_refused(platform_fleet(soak.platform), job->id);
        platform_unlock(soak.platform);
    }
}

static void
handle_state_response(job_t *job, long status, const char *text,
                      nm_ms_t now_ms)
{
    job->next_call_ms = now_ms + soak_random_between(400, 2000);
    if (status == 410 && job->cancelled_ms == 0 &&
        now_ms - job->accepted_ms > JOB_VISIBLE_MS)
    {
        soak_report_violation("LOST job %s was accepted, its query got 410",
                              job->id);
        job->ended = true;
        return;
    }
    if (status != 200) {
        return;
    }
    platform_lock(soak.platform);
    bool done = executor_job_is_done(platform_fleet(soak.platform), job->id);
    bool may_fail =
        executor_job_may_fail(platform_fleet(soak.platform), job->id);
    platform_unlock(soak.platform);
    if (strstr(text, "completed")) {
        job->ended = true;
        if (!done) {
            soak_report_violation("MIXED job %s is reported as completed, its "
                                  "tasks are not done",
                                  job->id);
        }
    }
    else if (strstr(text, "failed")) {
        job->ended = true;
        job->failed = may_fail;
        if (!may_fail) {
            soak_report_violation("LOST job %s is reported as failed",
                                  job->id);
        }
    }
    else if (strstr(text, "cancelled")) {
        job->ended = true;
        if (!job->wants_cancel) {
            soak_report_violation(
                "LOST job %s is reported as cancelled without a cancel",
                job->id);
        }
    }
}

static void
handle_cancel_response(job_t *job, long status, nm_ms_t now_ms)
{
    job->next_call_ms = now_ms + soak_random_between(300, 1500);
    if (status != 200 && status != 410) {
        return;
    }
    job->cancelled_ms = now_ms;
    platform_lock(soak.platform);
    executor_job_cancelled(platform_fleet(soak.platform), job->id,
                           platform_now(soak.platform));
    platform_unlock(soak.platform);
}

void
soak_handle_responses(nm_ms_t now_ms)
{
    int running;
    curl_multi_perform(soak.multi, &running);
    CURLMsg *message;
    int messages_left;
    while ((message = curl_multi_info_read(soak.multi, &messages_left))) {
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
        soak.status_counts[MIN(status, 599)]++;
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
        curl_multi_remove_handle(soak.multi, call->easy);
        curl_easy_cleanup(call->easy);
        curl_slist_free_all(call->headers);
        g_string_free(call->body, TRUE);
        g_free(call);
    }
}

void
soak_send_due_calls(nm_ms_t now_ms, bool submits_new)
{
    /* By time: on a busy machine a pass takes longer than a tick. */
    nm_ms_t elapsed_ms = now_ms - soak.arrivals_until_ms;
    soak.arrivals_until_ms = now_ms;
    soak.pending_arrivals +=
        submits_new ? soak_options.jobs_per_s * (double)elapsed_ms / 1000.0
                    : 0;
    for (; soak.pending_arrivals >= 1; soak.pending_arrivals--) {
        if (soak_options.fillers &&
            soak.jobs->len >= SERVING_JOBS + FILLER_JOBS) {
            continue;
        }
        submit_new_job();
    }
    for (guint i = 0; i < soak.jobs->len; i++) {
        job_t *job = soak.jobs->pdata[i];
        if (job->ended || job->call_in_flight || now_ms < job->next_call_ms) {
            continue;
        }
        bool cancels = job->wants_cancel && job->cancelled_ms == 0;
        send_call(job, job->accepted_ms == 0 ? 'P' : cancels ? 'D' : 'G');
    }
}
