#include "claims.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/reason.h>

#define DEFAULT_INTERVAL_MS 40
/* Nothing waits for outcomes, so they are committed in larger batches. */
#define OUTCOME_COMMIT_INTERVALS 5
/* Maximum number of keys in one transaction. */
#define BATCH_KEYS_MAX 48
/*
 * Responses with a larger body are recorded without it.  A repeat is refused
 * then, as while the first request runs.
 */
#define RECORDED_BODY_MAX_BYTES (16 * 1024)
/* Interval at which a repeat polls the outcome of the first request. */
#define OUTCOME_POLL_MS 100
/* Claims share a lease, which is replaced after this share of ttl_s. */
#define LEASE_RENEW_SHARE 0.1

typedef enum {
    OP_ACQUIRE,
    OP_RECORD,
    OP_RELEASE,
    OP_STOP,
} op_type_t;

typedef struct {
    op_type_t type;
    nm_claim_t *claim;
} op_t;

struct nm_claims {
    nm_claims_desc_t desc;
    pthread_t thread;
    GAsyncQueue *ops;
    GAsyncQueue *results;
    GQueue pending_claims;   /* of nm_claim_t */
    GQueue pending_outcomes; /* of op_t */
    nm_rng_t rng;
    nm_ms_t last_claim_commit_ms;
    nm_ms_t last_outcome_commit_ms;
    int64_t lease_id;
    nm_ms_t lease_renew_ms;
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
        nm_response_finish(&claim->response);
        g_free(claim);
    }
}

static void
make_store_key(const nm_claim_t *claim, char *key)
{
    snprintf(key, NM_STORE_KEY_MAX_BYTES, "nutmegdeck/claims/%016llx",
             (unsigned long long)claim->key);
}

static char *
encode_claim(const nm_claim_t *claim, bool recorded)
{
    char token[32];
    char fingerprint[32];
    snprintf(token, sizeof(token), "%016llx",
             (unsigned long long)claim->token);
    snprintf(fingerprint, sizeof(fingerprint), "%016llx",
             (unsigned long long)claim->fingerprint);
    json_t *json =
        json_pack("{s:s,s:s}", "token", token, "print", fingerprint);
    if (recorded) {
        const nm_response_t *response = &claim->response;
        bool fits = response->body->len <= RECORDED_BODY_MAX_BYTES;
        json_object_set_new(json, "status", json_integer(response->status));
        char *body = g_base64_encode(response->body->data,
                                     fits ? response->body->len : 0);
        json_object_set_new(json, "body", json_string(body));
        json_object_set_new(json, "whole", json_boolean(fits));
        g_free(body);
        const char *type = nm_header_find(response->headers, "Content-Type");
        if (type) {
            json_object_set_new(json, "type", json_string(type));
        }
    }
    char *text = json_dumps(json, JSON_COMPACT);
    json_decref(json);
    return text;
}

static void
decode_response(nm_claim_t *claim, const json_t *json)
{
    nm_response_init(&claim->response);
    claim->response.status =
        (int)json_integer_value(json_object_get(json, "status"));
    claim->response.verdict = NM_VERDICT_RAN;
    const char *body = json_string_value(json_object_get(json, "body"));
    gsize size = 0;
    guchar *data = g_base64_decode(body ? body : "", &size);
    g_byte_array_append(claim->response.body, data, (guint)size);
    g_free(data);
    const char *type = json_string_value(json_object_get(json, "type"));
    if (type) {
        g_ptr_array_add(claim->response.headers,
                        g_strdup_printf("Content-Type: %s", type));
    }
}

static uint64_t
json_hex(const json_t *json, const char *name)
{
    const char *text = json_string_value(json_object_get(json, name));
    return text ? strtoull(text, NULL, 16) : 0;
}

/* Classifies what the store holds under a claim's key. */
static nm_claim_result_t
classify_existing(nm_claim_t *claim, const nm_store_kv_t *kv)
{
    json_t *json = json_loadb((char *)kv->value, kv->value_bytes, 0, NULL);
    nm_claim_result_t result = NM_CLAIM_IN_PROGRESS;
    if (json_hex(json, "token") == claim->token) {
        result = NM_CLAIM_ACQUIRED;
    }
    else if (json_hex(json, "print") != claim->fingerprint) {
        result = NM_CLAIM_MISMATCH;
    }
    else if (json_object_get(json, "status") &&
             json_is_true(json_object_get(json, "whole")))
    {
        decode_response(claim, json);
        result = NM_CLAIM_RECORDED;
    }
    json_decref(json);
    return result;
}

static void
deliver_result(nm_claims_t *claims, nm_claim_t *claim,
               nm_claim_result_t result)
{
    claim->result = result;
    if (result == NM_CLAIM_ACQUIRED) {
        claim->held = true;
        nm_count(NM_COUNTER_CLAIMS, 1);
    }
    g_async_queue_push(claims->results, claim);
    if (claims->desc.wake) {
        claims->desc.wake(claims->desc.wake_user);
    }
}

/* Replaces the lease in time, so that it outlives the claims under it. */
static void
ensure_lease(nm_claims_t *claims, nm_ms_t now_ms)
{
    if (now_ms < claims->lease_renew_ms) {
        return;
    }
    /* A claim attached just before the replacement must live for ttl_s. */
    int64_t ttl_s =
        (int64_t)((double)claims->desc.ttl_s * (1 + 2 * LEASE_RENEW_SHARE));
    int64_t lease_id;
    if (nm_store_lease_grant(claims->desc.store, ttl_s, &lease_id) == NM_OK) {
        claims->lease_id = lease_id;
        claims->lease_renew_ms =
            now_ms +
            (nm_ms_t)((double)claims->desc.ttl_s * 1000 * LEASE_RENEW_SHARE);
    }
}

/* Resolves a batch from what the store holds under its keys. */
static void
resolve_batch(nm_claims_t *claims, GPtrArray *batch,
              const nm_store_result_t *stored, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < batch->len; i++) {
        nm_claim_t *claim = batch->pdata[i];
        char key[NM_STORE_KEY_MAX_BYTES];
        make_store_key(claim, key);
        const nm_store_kv_t *kv = nm_store_result_find(stored, key);
        if (!kv) {
            /* Not written: the commit failed on another key or was lost. */
            g_queue_push_tail(&claims->pending_claims, claim);
            continue;
        }
        nm_claim_result_t result = classify_existing(claim, kv);
        if (result == NM_CLAIM_IN_PROGRESS &&
            now_ms + OUTCOME_POLL_MS < claim->deadline_ms)
        {
            claim->retry_at_ms = now_ms + OUTCOME_POLL_MS;
            g_queue_push_tail(&claims->pending_claims, claim);
            continue;
        }
        deliver_result(claims, claim, result);
    }
}

/* After a lost response, reads which claims of the batch took effect. */
static void
resolve_lost_commit(nm_claims_t *claims, GPtrArray *batch, nm_ms_t now_ms)
{
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    for (uint32_t i = 0; i < batch->len; i++) {
        char key[NM_STORE_KEY_MAX_BYTES];
        make_store_key(batch->pdata[i], key);
        nm_store_txn_range(&txn, key, false);
    }
    nm_store_result_t stored;
    int rc = nm_store_commit(claims->desc.store, &txn, &stored);
    nm_store_txn_finish(&txn);
    if (rc == NM_OK) {
        resolve_batch(claims, batch, &stored, now_ms);
    }
    else {
        /* The token makes it safe to retry until the deadline. */
        for (uint32_t i = 0; i < batch->len; i++) {
            g_queue_push_tail(&claims->pending_claims, batch->pdata[i]);
        }
    }
    nm_store_result_finish(&stored);
}

/* A transaction must not hold two claims of one key. */
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
    uint32_t count = claims->pending_claims.length;
    for (uint32_t i = 0; i < count; i++) {
        nm_claim_t *claim = g_queue_pop_head(&claims->pending_claims);
        if (now_ms >= claim->deadline_ms || claims->stopping) {
            deliver_result(claims, claim, NM_CLAIM_FAILED);
        }
        else if (batch->len == BATCH_KEYS_MAX || now_ms < claim->retry_at_ms ||
                 batch_has_key(batch, claim->key))
        {
            g_queue_push_tail(&claims->pending_claims, claim);
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
    ensure_lease(claims, now_ms);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    for (uint32_t i = 0; i < batch->len; i++) {
        nm_claim_t *claim = batch->pdata[i];
        char key[NM_STORE_KEY_MAX_BYTES];
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
            deliver_result(claims, batch->pdata[i], NM_CLAIM_ACQUIRED);
        }
    }
    else if (rc == NM_OK) {
        resolve_batch(claims, batch, &result, now_ms);
    }
    else if (rc == NM_ERR_LOST) {
        resolve_lost_commit(claims, batch, now_ms);
    }
    else {
        for (uint32_t i = 0; i < batch->len; i++) {
            deliver_result(claims, batch->pdata[i], NM_CLAIM_FAILED);
        }
    }
    nm_store_result_finish(&result);
    g_ptr_array_free(batch, TRUE);
}

/*
 * Commits outcomes and releases, without a comparison: only the host that
 * claimed a key writes it.
 */
static void
commit_outcomes(nm_claims_t *claims)
{
    if (claims->pending_outcomes.length == 0) {
        return;
    }
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    GPtrArray *batch = g_ptr_array_new();
    while (batch->len < BATCH_KEYS_MAX && claims->pending_outcomes.length > 0)
    {
        op_t *op = g_queue_pop_head(&claims->pending_outcomes);
        char key[NM_STORE_KEY_MAX_BYTES];
        make_store_key(op->claim, key);
        if (op->type == OP_RECORD) {
            char *text = encode_claim(op->claim, true);
            nm_store_txn_put(&txn, key, text, (uint32_t)strlen(text),
                             claims->lease_id);
            free(text);
        }
        else {
            nm_store_txn_delete(&txn, key, false);
        }
        g_ptr_array_add(batch, op);
    }
    nm_store_result_t result;
    int rc = nm_store_commit(claims->desc.store, &txn, &result);
    nm_store_result_finish(&result);
    nm_store_txn_finish(&txn);
    nm_count(NM_COUNTER_CLAIM_COMMITS, 1);
    bool retry = rc < 0 && !claims->stopping;
    for (uint32_t i = 0; i < batch->len; i++) {
        op_t *op = batch->pdata[i];
        /*
         * A release whose response was lost is not repeated: the key may have
         * been claimed again by then.
         */
        if (retry && !(rc == NM_ERR_LOST && op->type == OP_RELEASE)) {
            g_queue_push_tail(&claims->pending_outcomes, op);
            continue;
        }
        nm_claim_free(op->claim);
        g_free(op);
    }
    g_ptr_array_free(batch, TRUE);
}

static void
accept_op(nm_claims_t *claims, op_t *op)
{
    switch (op->type) {
    case OP_ACQUIRE:
        g_queue_push_tail(&claims->pending_claims, op->claim);
        g_free(op);
        break;
    case OP_STOP:
        claims->stopping = true;
        g_free(op);
        break;
    default:
        g_queue_push_tail(&claims->pending_outcomes, op);
    }
}

/* Commits pending claims and outcomes, each at its own interval. */
static void
commit_due(nm_claims_t *claims)
{
    nm_ms_t now_ms = nm_clock_now(claims->desc.clock);
    nm_ms_t interval_ms = claims->desc.interval_ms;
    if (claims->pending_claims.length > 0 &&
        (claims->stopping ||
         now_ms - claims->last_claim_commit_ms >= interval_ms))
    {
        claims->last_claim_commit_ms = now_ms;
        commit_claims(claims, now_ms);
    }
    if (claims->pending_outcomes.length > 0 &&
        (claims->stopping || now_ms - claims->last_outcome_commit_ms >=
                                 interval_ms * OUTCOME_COMMIT_INTERVALS))
    {
        claims->last_outcome_commit_ms = now_ms;
        commit_outcomes(claims);
    }
}

static void *
run_claims(void *user)
{
    nm_claims_t *claims = user;
    while (!claims->stopping || claims->pending_claims.length > 0 ||
           claims->pending_outcomes.length > 0)
    {
        bool busy = claims->pending_claims.length > 0 ||
                    claims->pending_outcomes.length > 0;
        nm_ms_t wait_ms = busy ? claims->desc.interval_ms / 4 + 1 : 1000;
        op_t *op =
            g_async_queue_timeout_pop(claims->ops, (guint64)wait_ms * 1000);
        if (op && !busy) {
            /* Waits for other claims to share the commit. */
            g_usleep((gulong)claims->desc.interval_ms * 1000 / 4);
        }
        for (; op; op = g_async_queue_try_pop(claims->ops)) {
            accept_op(claims, op);
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
    claims->ops = g_async_queue_new();
    claims->results = g_async_queue_new();
    g_queue_init(&claims->pending_claims);
    g_queue_init(&claims->pending_outcomes);
    nm_rng_init(&claims->rng, desc->seed);
    pthread_create(&claims->thread, NULL, run_claims, claims);
    return claims;
}

static void
push_op(nm_claims_t *claims, op_type_t type, nm_claim_t *claim)
{
    op_t *op = g_new0(op_t, 1);
    op->type = type;
    op->claim = claim;
    g_async_queue_push(claims->ops, op);
}

void
nm_claims_free(nm_claims_t *claims)
{
    assert(claims);
    push_op(claims, OP_STOP, NULL);
    pthread_join(claims->thread, NULL);
    nm_claim_t *claim;
    while ((claim = g_async_queue_try_pop(claims->results))) {
        nm_claim_free(claim);
    }
    g_async_queue_unref(claims->ops);
    g_async_queue_unref(claims->results);
    g_free(claims);
}

void
nm_claims_acquire(nm_claims_t *claims, nm_claim_t *claim)
{
    assert(claims && claim);
    claim->token = nm_rng_next(&claims->rng);
    push_op(claims, OP_ACQUIRE, claim);
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
    push_op(claims, OP_RECORD, claim);
}

void
nm_claims_release(nm_claims_t *claims, nm_claim_t *claim)
{
    assert(claims && claim && claim->held);
    push_op(claims, OP_RELEASE, claim);
}
