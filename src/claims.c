#include "claims.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/reason.h>

#define DEFAULT_INTERVAL_MS 40
/* Outcomes are not waited for, so they share larger commits. */
#define ENDING_INTERVALS 5
/* Keys in one transaction. */
#define BATCH_MAX 48
/* Larger answers are recorded by their status only. */
#define RECORDED_BODY_MAX_BYTES (16 * 1024)
/* A repeat asks again for the first one's outcome after this. */
#define POLL_MS 100
/* Claims share a lease; a new one is made after this part of its time. */
#define LEASE_RENEW_PART 0.1

typedef enum {
    JOB_MAKE,
    JOB_RECORD,
    JOB_RELEASE,
    JOB_STOP,
} job_type_t;

typedef struct {
    job_type_t type;
    nm_claim_t *claim;
} job_t;

struct nm_claims {
    nm_claims_desc_t desc;
    pthread_t thread;
    GAsyncQueue *jobs;
    GAsyncQueue *results;
    GQueue making; /* of nm_claim_t */
    GQueue ending; /* of job_t */
    nm_rng_t rng;
    nm_ms_t claimed_ms; /* last commit of claims */
    nm_ms_t ended_ms;   /* last commit of outcomes */
    int64_t lease_id;
    nm_ms_t lease_until_ms;
    bool stopping;
};

nm_claim_t *
nm_claim_new(void)
{
    return g_new0(nm_claim_t, 1);
}

void
nm_claim_free(nm_claim_t *claim)
{
    if (claim) {
        nm_answer_finish(&claim->answer);
        g_free(claim);
    }
}

static void
make_store_key(const nm_claim_t *claim, char *key)
{
    snprintf(key, NM_STORE_KEY_MAX, "nutmegdeck/claims/%016llx",
             (unsigned long long)claim->key);
}

static char *
encode_claim(const nm_claim_t *claim, bool recorded)
{
    char token[32];
    char print[32];
    snprintf(token, sizeof(token), "%016llx",
             (unsigned long long)claim->token);
    snprintf(print, sizeof(print), "%016llx",
             (unsigned long long)claim->fingerprint);
    json_t *json = json_pack("{s:s,s:s}", "token", token, "print", print);
    if (recorded) {
        const nm_answer_t *answer = &claim->answer;
        bool fits = answer->body->len <= RECORDED_BODY_MAX_BYTES;
        json_object_set_new(json, "status", json_integer(answer->status));
        char *body =
            g_base64_encode(answer->body->data, fits ? answer->body->len : 0);
        json_object_set_new(json, "body", json_string(body));
        json_object_set_new(json, "whole", json_boolean(fits));
        g_free(body);
        const char *type = nm_header_find(answer->headers, "Content-Type");
        if (type) {
            json_object_set_new(json, "type", json_string(type));
        }
    }
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

static void
decode_answer(nm_claim_t *claim, const json_t *json)
{
    nm_answer_init(&claim->answer);
    claim->answer.status =
        (int)json_integer_value(json_object_get(json, "status"));
    claim->answer.verdict = NM_VERDICT_RAN;
    const char *body = json_string_value(json_object_get(json, "body"));
    gsize size = 0;
    guchar *data = g_base64_decode(body ? body : "", &size);
    g_byte_array_append(claim->answer.body, data, (guint)size);
    g_free(data);
    const char *type = json_string_value(json_object_get(json, "type"));
    if (type) {
        g_ptr_array_add(claim->answer.headers,
                        g_strdup_printf("Content-Type: %s", type));
    }
}

static uint64_t
json_hex(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text ? strtoull(text, NULL, 16) : 0;
}

/* Judges what the store holds under a claim's key. */
static nm_claim_result_t
judge_existing(nm_claim_t *claim, const nm_store_kv_t *kv)
{
    json_t *json = json_loadb((char *)kv->value, kv->value_bytes, 0, NULL);
    nm_claim_result_t result = NM_CLAIM_RUNNING;
    if (json_hex(json, "token") == claim->token) {
        result = NM_CLAIM_MADE;
    }
    else if (json_hex(json, "print") != claim->fingerprint) {
        result = NM_CLAIM_MISMATCH;
    }
    else if (json_object_get(json, "status") &&
             json_is_true(json_object_get(json, "whole")))
    {
        decode_answer(claim, json);
        result = NM_CLAIM_RECORDED;
    }
    json_decref(json);
    return result;
}

static void
finish_claim(nm_claims_t *claims, nm_claim_t *claim, nm_claim_result_t result)
{
    claim->result = result;
    if (result == NM_CLAIM_MADE) {
        claim->held = true;
        nm_count(NM_COUNTER_CLAIMS, 1);
    }
    g_async_queue_push(claims->results, claim);
    if (claims->desc.wake) {
        claims->desc.wake(claims->desc.wake_user);
    }
}

/* Makes sure that the lease outlives the claims that are attached to it. */
static void
keep_lease(nm_claims_t *claims, nm_ms_t now_ms)
{
    if (now_ms < claims->lease_until_ms) {
        return;
    }
    /* The lease lives longer than the claims have to. */
    int64_t ttl_s =
        (int64_t)((double)claims->desc.ttl_s * (1 + 2 * LEASE_RENEW_PART));
    int64_t lease_id;
    if (nm_store_lease_grant(claims->desc.store, ttl_s, &lease_id) == NM_OK) {
        claims->lease_id = lease_id;
        claims->lease_until_ms =
            now_ms +
            (nm_ms_t)((double)claims->desc.ttl_s * 1000 * LEASE_RENEW_PART);
    }
}

/* Handles the claims of a batch that the store already knows. */
static void
settle_batch(nm_claims_t *claims, GPtrArray *batch,
             const nm_store_result_t *found, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < batch->len; i++) {
        nm_claim_t *claim = batch->pdata[i];
        char key[NM_STORE_KEY_MAX];
        make_store_key(claim, key);
        const nm_store_kv_t *kv = nm_store_result_find(found, key);
        if (!kv) {
            /* Another key of the batch existed; this one is tried again. */
            g_queue_push_tail(&claims->making, claim);
            continue;
        }
        nm_claim_result_t result = judge_existing(claim, kv);
        if (result == NM_CLAIM_RUNNING &&
            now_ms + POLL_MS < claim->deadline_ms) {
            claim->retry_at_ms = now_ms + POLL_MS;
            g_queue_push_tail(&claims->making, claim);
            continue;
        }
        finish_claim(claims, claim, result);
    }
}

/* After a lost answer, looks which claims of the batch took effect. */
static void
read_back(nm_claims_t *claims, GPtrArray *batch, nm_ms_t now_ms)
{
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    for (uint32_t i = 0; i < batch->len; i++) {
        char key[NM_STORE_KEY_MAX];
        make_store_key(batch->pdata[i], key);
        nm_store_txn_range(&txn, key, false);
    }
    nm_store_result_t found;
    int rc = nm_store_commit(claims->desc.store, &txn, &found);
    nm_store_txn_finish(&txn);
    if (rc == NM_OK) {
        settle_batch(claims, batch, &found, now_ms);
    }
    else {
        /* The token makes it safe to try again until the deadline. */
        for (uint32_t i = 0; i < batch->len; i++) {
            g_queue_push_tail(&claims->making, batch->pdata[i]);
        }
    }
    nm_store_result_finish(&found);
}

/* Two claims of one key must not share a transaction. */
static bool
batch_has_key(const GPtrArray *batch, uint64_t key)
{
    for (uint32_t i = 0; i < batch->len; i++) {
        if (((nm_claim_t *)batch->pdata[i])->key == key) {
            return true;
        }
    }
    return false;
}

static GPtrArray *
collect_batch(nm_claims_t *claims, nm_ms_t now_ms)
{
    GPtrArray *batch = g_ptr_array_new();
    uint32_t waiting = claims->making.length;
    for (uint32_t i = 0; i < waiting; i++) {
        nm_claim_t *claim = g_queue_pop_head(&claims->making);
        if (now_ms >= claim->deadline_ms || claims->stopping) {
            finish_claim(claims, claim, NM_CLAIM_FAILED);
        }
        else if (batch->len == BATCH_MAX || now_ms < claim->retry_at_ms ||
                 batch_has_key(batch, claim->key))
        {
            g_queue_push_tail(&claims->making, claim);
        }
        else {
            g_ptr_array_add(batch, claim);
        }
    }
    return batch;
}

static void
commit_claims(nm_claims_t *claims, nm_ms_t now_ms)
{
    GPtrArray *batch = collect_batch(claims, now_ms);
    if (batch->len == 0) {
        g_ptr_array_free(batch, TRUE);
        return;
    }
    keep_lease(claims, now_ms);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    for (uint32_t i = 0; i < batch->len; i++) {
        nm_claim_t *claim = batch->pdata[i];
        char key[NM_STORE_KEY_MAX];
        make_store_key(claim, key);
        nm_store_txn_expect(&txn, key, 0);
        char *text = encode_claim(claim, false);
        nm_store_txn_put(&txn, key, text, (uint32_t)strlen(text),
                         claims->lease_id);
        free(text);
        nm_store_txn_else_range(&txn, key, false);
    }
    nm_store_result_t result;
    int rc = nm_store_commit(claims->desc.store, &txn, &result);
    nm_store_txn_finish(&txn);
    nm_count(NM_COUNTER_CLAIM_COMMITS, 1);
    if (rc == NM_OK && result.succeeded) {
        for (uint32_t i = 0; i < batch->len; i++) {
            finish_claim(claims, batch->pdata[i], NM_CLAIM_MADE);
        }
    }
    else if (rc == NM_OK) {
        settle_batch(claims, batch, &result, now_ms);
    }
    else if (rc == NM_ERR_LOST) {
        read_back(claims, batch, now_ms);
    }
    else {
        for (uint32_t i = 0; i < batch->len; i++) {
            finish_claim(claims, batch->pdata[i], NM_CLAIM_FAILED);
        }
    }
    nm_store_result_finish(&result);
    g_ptr_array_free(batch, TRUE);
}

/* Writes outcomes and releases.  Their claims are this host's alone. */
static void
commit_endings(nm_claims_t *claims)
{
    if (claims->ending.length == 0) {
        return;
    }
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    GPtrArray *batch = g_ptr_array_new();
    while (batch->len < BATCH_MAX && claims->ending.length > 0) {
        job_t *job = g_queue_pop_head(&claims->ending);
        char key[NM_STORE_KEY_MAX];
        make_store_key(job->claim, key);
        if (job->type == JOB_RECORD) {
            char *text = encode_claim(job->claim, true);
            nm_store_txn_put(&txn, key, text, (uint32_t)strlen(text),
                             claims->lease_id);
            free(text);
        }
        else {
            nm_store_txn_delete(&txn, key, false);
        }
        g_ptr_array_add(batch, job);
    }
    nm_store_result_t result;
    int rc = nm_store_commit(claims->desc.store, &txn, &result);
    nm_store_result_finish(&result);
    nm_store_txn_finish(&txn);
    nm_count(NM_COUNTER_CLAIM_COMMITS, 1);
    bool again = rc < 0 && !claims->stopping;
    for (uint32_t i = 0; i < batch->len; i++) {
        job_t *job = batch->pdata[i];
        /*
         * A release whose answer was lost is not repeated: the key may have
         * been claimed again by then.
         */
        if (again && !(rc == NM_ERR_LOST && job->type == JOB_RELEASE)) {
            g_queue_push_tail(&claims->ending, job);
            continue;
        }
        nm_claim_free(job->claim);
        g_free(job);
    }
    g_ptr_array_free(batch, TRUE);
}

static void
accept_job(nm_claims_t *claims, job_t *job)
{
    switch (job->type) {
    case JOB_MAKE:
        g_queue_push_tail(&claims->making, job->claim);
        g_free(job);
        break;
    case JOB_STOP:
        claims->stopping = true;
        g_free(job);
        break;
    default:
        g_queue_push_tail(&claims->ending, job);
    }
}

/* Commits what is due; commits of each kind keep their interval. */
static void
commit_due(nm_claims_t *claims)
{
    nm_ms_t now_ms = nm_clock_now(claims->desc.clock);
    nm_ms_t interval_ms = claims->desc.interval_ms;
    if (claims->making.length > 0 &&
        (claims->stopping || now_ms - claims->claimed_ms >= interval_ms))
    {
        claims->claimed_ms = now_ms;
        commit_claims(claims, now_ms);
    }
    if (claims->ending.length > 0 &&
        (claims->stopping ||
         now_ms - claims->ended_ms >= interval_ms * ENDING_INTERVALS))
    {
        claims->ended_ms = now_ms;
        commit_endings(claims);
    }
}

static void *
run_claims(void *user)
{
    nm_claims_t *claims = user;
    while (!claims->stopping || claims->making.length > 0 ||
           claims->ending.length > 0)
    {
        bool busy = claims->making.length > 0 || claims->ending.length > 0;
        nm_ms_t wait_ms = busy ? claims->desc.interval_ms / 4 + 1 : 1000;
        job_t *job =
            g_async_queue_timeout_pop(claims->jobs, (guint64)wait_ms * 1000);
        if (job && !busy) {
            /* The first claim waits for others to share its commit. */
            g_usleep((gulong)claims->desc.interval_ms * 1000 / 4);
        }
        for (; job; job = g_async_queue_try_pop(claims->jobs)) {
            accept_job(claims, job);
        }
        commit_due(claims);
    }
    return NULL;
}

nm_claims_t *
nm_claims_new(const nm_claims_desc_t *desc)
{
    assert(desc && desc->store && desc->clock && desc->ttl_s > 0);
    nm_claims_t *claims = g_new0(nm_claims_t, 1);
    claims->desc = *desc;
    if (claims->desc.interval_ms == 0) {
        claims->desc.interval_ms = DEFAULT_INTERVAL_MS;
    }
    claims->jobs = g_async_queue_new();
    claims->results = g_async_queue_new();
    g_queue_init(&claims->making);
    g_queue_init(&claims->ending);
    nm_rng_init(&claims->rng, desc->seed);
    pthread_create(&claims->thread, NULL, run_claims, claims);
    return claims;
}

static void
push_job(nm_claims_t *claims, job_type_t type, nm_claim_t *claim)
{
    job_t *job = g_new0(job_t, 1);
    job->type = type;
    job->claim = claim;
    g_async_queue_push(claims->jobs, job);
}

void
nm_claims_free(nm_claims_t *claims)
{
    assert(claims);
    push_job(claims, JOB_STOP, NULL);
    pthread_join(claims->thread, NULL);
    nm_claim_t *claim;
    while ((claim = g_async_queue_try_pop(claims->results))) {
        nm_claim_free(claim);
    }
    g_async_queue_unref(claims->jobs);
    g_async_queue_unref(claims->results);
    g_free(claims);
}

void
nm_claims_make(nm_claims_t *claims, nm_claim_t *claim)
{
    assert(claims && claim);
    claim->token = nm_rng_next(&claims->rng);
    push_job(claims, JOB_MAKE, claim);
}

nm_claim_t *
nm_claims_next(nm_claims_t *claims)
{
    assert(claims);
    return g_async_queue_try_pop(claims->results);
}

void
nm_claims_record(nm_claims_t *claims, nm_claim_t *claim)
{
    assert(claims && claim && claim->held);
    push_job(claims, JOB_RECORD, claim);
}

void
nm_claims_release(nm_claims_t *claims, nm_claim_t *claim)
{
    assert(claims && claim && claim->held);
    push_job(claims, JOB_RELEASE, claim);
}
