/*
 * Callers' requests: submit, state, cancel, and a queue's pending count.
 *
 * A job is accepted once it is stored.  A create whose response was lost is
 * sent again, since it can take effect only once; until its outcome is known
 * the caller receives neither success nor refusal.  If the call to the
 * store fails, the host forwards the request to the owner.  If that fails too
 * and the job is certainly not stored, the caller is refused, with a time
 * after which to retry: at once while the store is treated as lost, otherwise
 * after retries.
 *
 * Load: an outage of the store under full traffic.  A host that has seen
 * several store calls fail in a row sends no write that might still be
 * carried out, so that a refusal is certain and the caller may try another
 * host.
 *
 * "No such queue" is a final answer, so it needs a configuration that is known
 * to be recent: one that may be older than config_apply_ms, or than that of
 * another host, is confirmed by the store first, and the caller is refused for
 * a time if it does not respond.
 */
#include "entry_state.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/latency.h>
#include <nutmegdeck/log.h>

/* Deadline of a request that names none. */
#define DEFAULT_DEADLINE_MS 3000
/*
 * Part of the caller's deadline that is kept to deliver the response, at most
 * half of it.
 */
#define RESPONSE_MARGIN_MS 400
/*
 * Timeout of a query to another host, a round trip between regions; the store
 * is asked after that.
 */
#define FORWARD_TIMEOUT_MS 350
/*
 * Timeout of a query that only the owner can respond to, and no attempt
 * follows: an owner that is silent for longer has lost its key.
 */
#define FORWARD_COUNT_TIMEOUT_MS 1500
/*
 * Timeout of a write at another host, which has to store it.  A write that
 * times out leaves its outcome unknown, and a busy owner's rounds take up to
 * 190 ms.
 */
#define FORWARD_WRITE_TIMEOUT_MS 800
/*
 * The other host's deadline is earlier by this time, so that its response
 * arrives before the timeout.
 */
#define FORWARD_MARGIN_MS 150
/* Pause after a store call that failed. */
#define STORE_RETRY_MS 120
/* A job that is certainly not stored is refused once this has passed. */
#define REFUSE_WITHIN_MS 500
/*
 * Longest time that a request without a queue waits for the configuration to
 * be confirmed; another host may have a newer one.  Later requests for known
 * queues are served meanwhile: one that waited for longer, and is then served
 * by a newer version than they were, would show that this host went back.
 */
#define CONFIRM_WAIT_MS 200
/*
 * A job is refused for load within this time of its arrival, before the 500 ms
 * that a refusal may take; later it is stored.
 */
#define OVERLOAD_REFUSE_WITHIN_MS 400
/* Jobs end within seconds, and free their memory. */
#define MEMORY_RETRY_MS 5000
/* Refused callers return after the usual length of an outage. */
#define RETRY_AFTER_S 1
/* Time between two checks of the deadlines of open requests. */
#define OPEN_CHECK_INTERVAL_MS 20
/* Returned if no request is open. */
#define IDLE_WAIT_MS 1000

typedef enum {
    OP_SUBMIT,
    OP_STATE,
    OP_CANCEL,
    OP_PENDING,
    OP_UNROUTED, /* no queue is known for it, by a configuration too old */
} op_type_t;

typedef struct {
    nm_entry_t *entry;
    op_type_t type;
    nm_api_request_t *request; /* of a caller; NULL: of a peer, or finished */
    uint8_t peer_route[256];   /* route of the peer that sent the request */
    uint32_t peer_route_bytes;
    uint64_t peer_request_number; /* number of the peer's request */
    char job[NM_JOB_ID_MAX];
    char queue[NM_NAME_MAX];
    char *record;
    nm_ms_t began_ms;
    nm_ms_t deadline_ms;
    nm_ms_t retry_due_ms; /* next attempt; NM_MS_NEVER: none */
    nm_ms_t forward_deadline_ms;
    uint64_t forward_number; /* number of the forwarded request; 0: none */
    bool was_forwarded;
    bool store_in_flight;
    bool checking; /* reads whether the job is stored, to refuse it if not */
    uint32_t retry_after_s; /* of that refusal */
    nm_reason_t refusal;
    char *refusal_text; /* NULL: that of the reason */
    bool uncertain; /* a write whose response was lost may have been stored */
    bool absent;    /* CANCEL: no such job, but one may still be written */
    bool finished;
    GList link;
} nm_op_t;

static void run_op(nm_op_t *op);
static void run_unrouted(nm_op_t *op);

void
nm_calls_init(nm_entry_t *entry)
{
    g_queue_init(&entry->open_ops);
    entry->forwarded_ops =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, g_free, NULL);
}

static void
free_op(nm_op_t *op)
{
    g_free(op->refusal_text);
    g_free(op->record);
    g_free(op);
}

void
nm_calls_finish(nm_entry_t *entry)
{
    GList *link;
    while ((link = g_queue_pop_head_link(&entry->open_ops))) {
        free_op(link->data);
    }
    g_hash_table_destroy(entry->forwarded_ops);
}

/* Sends the response to a caller; takes ownership of the text. */
static void
reply(nm_entry_t *entry, nm_api_request_t *request, int status, char *text,
      uint32_t retry_after_s)
{
    nm_latency_add(NM_LATENCY_CALL,
                   nm_entry_now(entry) - request->received_ms);
    request->status = status;
    request->response = text;
    request->retry_after_s = retry_after_s;
    request->close_connection = entry->stopping;
    entry->desc.listener->vtable->reply(entry->desc.listener, request);
}

static void
refuse_with_text(nm_entry_t *entry, nm_api_request_t *request,
                 nm_reason_t reason, const char *error, int status,
                 uint32_t retry_after_s)
{
    nm_count_reason(reason);
    /* The configuration decides some refusals: which one, and how old. */
    const nm_queue_config_t *queue_config = entry->queue_config;
    nm_log(
        NM_LOG_INFO, NM_LOG_ITEM_REQUEST_REFUSED, "{s:s,s:i,s:s,s:i,s:I,s:I}",
        "request", request->path, "status", status, "reason",
        nm_reason_name(reason), "retry_after_s", (int)retry_after_s,
        "settings_version",
        (json_int_t)(queue_config ? queue_config->version : 0),
        "settings_age_ms",
        (json_int_t)(queue_config ? nm_feed_age_ms(&entry->config_feed) : 0));
    char *text = g_strdup_printf("{\"error\":\"%s\"}", error);
    reply(entry, request, status, text, retry_after_s);
}

static void
refuse(nm_entry_t *entry, nm_api_request_t *request, nm_reason_t reason,
       int status, uint32_t retry_after_s)
{
    refuse_with_text(entry, request, reason, nm_reason_text(reason), status,
                     retry_after_s);
}

static void
end_op(nm_op_t *op)
{
    op->finished = true;
    op->request = NULL;
    op->peer_route_bytes = 0;
    if (!op->store_in_flight) {
        if (op->forward_number) {
            g_hash_table_remove(op->entry->forwarded_ops, &op->forward_number);
        }
        g_queue_unlink(&op->entry->open_ops, &op->link);
        free_op(op);
    }
}

static void
respond_to_peer(nm_op_t *op, int rc, nm_job_state_t state, uint32_t pending)
{
    NmPb__EntryAnswer response = NM_PB__ENTRY_ANSWER__INIT;
    response.number = op->peer_request_number;
    response.rc = rc;
    response.state = (uint32_t)state;
    response.pending = pending;
    response.is_owner = op->entry->role == NM_ROLE_OWNER;
    nm_peer_rpc_respond(op->entry->desc.peers, op->peer_route,
                        op->peer_route_bytes, &response);
}

static bool
op_is_write(const nm_op_t *op)
{
    return op->type == OP_SUBMIT || op->type == OP_CANCEL;
}

/* Ends a failed operation: 410 no such job, 504 outcome unknown, or 503. */
static void
fail_op(nm_op_t *op, int rc)
{
    nm_entry_t *entry = op->entry;
    if (op->peer_route_bytes > 0) {
        respond_to_peer(op, rc, NM_JOB_UNKNOWN, 0);
    }
    else if (op->request && rc == NM_ERR_NOT_FOUND) {
        reply(entry, op->request, 410, g_strdup("{}"), 0);
    }
    else if (op->request && op->type == OP_UNROUTED) {
        refuse(entry, op->request, NM_REASON_SETTINGS_OLD, 503, RETRY_AFTER_S);
    }
    else if (op->request && rc == NM_ERR_LOST) {
        refuse(entry, op->request, NM_REASON_STORE_LOST, 504, 0);
    }
    else if (op->request) {
        refuse(entry, op->request, NM_REASON_STORE_UNAVAILABLE, 503,
               RETRY_AFTER_S);
    }
    end_op(op);
}

static void
succeed_op(nm_op_t *op, nm_job_state_t state, uint32_t pending)
{
    nm_entry_t *entry = op->entry;
    const nm_codec_t *codec = entry->desc.codec;
    if (op->peer_route_bytes > 0) {
        respond_to_peer(op, NM_OK, state, pending);
    }
    else if (op->request) {
        char *text = op->type == OP_PENDING ? codec->encode_pending(pending)
                                            : codec->encode_state(state);
        if (op->type == OP_SUBMIT || op->type == OP_CANCEL) {
            nm_log(NM_LOG_INFO,
                   state == NM_JOB_CANCELLED ? NM_LOG_ITEM_JOB_CANCELLED
                                             : NM_LOG_ITEM_JOB_ACCEPTED,
                   "{s:s,s:s,s:I}", "job", op->job, "queue", op->queue,
                   "took_ms",
                   (json_int_t)(nm_entry_now(entry) - op->began_ms));
        }
        reply(entry, op->request, 200, text, 0);
    }
    end_op(op);
}

/* --- forwarding to the owner --- */

/* Only the owner knows the count, and may be behind: no attempt would follow.
 */
static nm_ms_t
forward_deadline_ms(const nm_op_t *op)
{
    nm_ms_t timeout_ms = op->type == OP_PENDING ? FORWARD_COUNT_TIMEOUT_MS
                         : op_is_write(op)      ? FORWARD_WRITE_TIMEOUT_MS
                                                : FORWARD_TIMEOUT_MS;
    return nm_entry_now(op->entry) + timeout_ms;
}

/*
 * Forwards a caller's request, once; a peer's request is not forwarded again.
 * Returns false if it was not sent.
 */
static bool
forward_to_owner(nm_op_t *op)
{
    nm_entry_t *entry = op->entry;
    const char *address = nm_notice_owner_address(entry);
    static const NmPb__EntryAsk__Type types[] = {
        [OP_SUBMIT] = NM_PB__ENTRY_ASK__TYPE__SUBMIT,
        [OP_STATE] = NM_PB__ENTRY_ASK__TYPE__STATE,
        [OP_CANCEL] = NM_PB__ENTRY_ASK__TYPE__CANCEL,
        [OP_PENDING] = NM_PB__ENTRY_ASK__TYPE__PENDING,
    };
    if (op->peer_route_bytes > 0 || op->was_forwarded ||
        entry->owned_epoch > 0 || !address)
    {
        return false;
    }
    NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
    request.type = types[op->type];
    request.job = op->job;
    request.queue = op->queue;
    if (op->record) {
        request.record.data = (uint8_t *)op->record;
        request.record.len = strlen(op->record);
    }
    op->was_forwarded = true;
    if (nm_peer_rpc_send(entry->desc.peers, address, &request) < 0) {
        return false;
    }
    op->forward_number = request.number;
    op->forward_deadline_ms = forward_deadline_ms(op);
    g_hash_table_insert(
        entry->forwarded_ops,
        g_memdup2(&op->forward_number, sizeof(op->forward_number)), op);
    return true;
}

static void
handle_peer_response(nm_entry_t *entry, const NmPb__EntryAnswer *response)
{
    uint64_t number = response->number;
    nm_op_t *op = g_hash_table_lookup(entry->forwarded_ops, &number);
    if (!op) {
        return;
    }
    g_hash_table_remove(entry->forwarded_ops, &number);
    op->forward_number = 0;
    if (op->finished) {
        return;
    }
    bool stored = response->rc == NM_OK && op_is_write(op);
    bool known = response->rc == NM_OK && response->is_owner &&
                 (op->type == OP_PENDING || response->state != NM_JOB_UNKNOWN);
    if (stored || known) {
        succeed_op(op, (nm_job_state_t)response->state, response->pending);
        return;
    }
    op->uncertain = op->uncertain || response->rc == NM_ERR_LOST;
    if (op_is_write(op) && entry->store_lost && !op->uncertain) {
        fail_op(op, NM_ERR_UNAVAILABLE);
        return;
    }
    run_op(op);
}

/* --- calls to the store --- */

static void
job_key(const nm_op_t *op, const char *suffix, char *key, size_t size)
{
    snprintf(key, size, "%s%s%s", NM_KEY_JOBS, op->job, suffix);
}

/* Returns true if the operation ended while its store call was in flight. */
static bool
end_store_call(nm_op_t *op)
{
    op->store_in_flight = false;
    if (op->finished) {
        end_op(op);
        return true;
    }
    return false;
}

static void
retry_store(nm_op_t *op, int rc)
{
    nm_entry_t *entry = op->entry;
    nm_count_reason(rc == NM_ERR_LOST ? NM_REASON_STORE_LOST
                                      : NM_REASON_STORE_UNAVAILABLE);
    op->uncertain = op->uncertain || (op_is_write(op) && rc == NM_ERR_LOST);
    if (forward_to_owner(op)) {
        op->retry_due_ms = NM_MS_NEVER;
        return;
    }
    bool refuse_at_once = op->peer_route_bytes > 0 || entry->store_lost;
    if (!op->uncertain &&
        (refuse_at_once ||
         nm_entry_now(entry) - op->began_ms > REFUSE_WITHIN_MS))
    {
        fail_op(op, NM_ERR_UNAVAILABLE);
        return;
    }
    op->retry_due_ms = nm_entry_now(entry) + STORE_RETRY_MS;
}

/* True if a request of this host may store the same job. */
static bool
has_other_submit(const nm_op_t *op)
{
    for (GList *link = op->entry->open_ops.head; link; link = link->next) {
        const nm_op_t *other = link->data;
        if (other != op && other->type == OP_SUBMIT &&
            strcmp(other->job, op->job) == 0)
        {
            return true;
        }
    }
    return false;
}

static void
on_absence_checked(void *user, const nm_kv_result_t *result)
{
    nm_op_t *op = user;
    nm_entry_t *entry = op->entry;
    nm_entry_record_store_result(entry, result->rc);
    op->checking = false;
    if (end_store_call(op)) {
        return;
    }
    bool in_time =
        op->request && nm_entry_now(entry) - op->request->received_ms <=
                           OVERLOAD_REFUSE_WITHIN_MS;
    if (result->rc == NM_ERR_NOT_FOUND && in_time && !has_other_submit(op)) {
        refuse_with_text(entry, op->request, op->refusal,
                         op->refusal_text ? op->refusal_text
                                          : nm_reason_text(op->refusal),
                         nm_reason_status(op->refusal), op->retry_after_s);
        end_op(op);
        return;
    }
    run_op(op);
}

/*
 * Refuses a job for load or memory if it is not stored: an earlier attempt, at
 * any host, may have stored it, and a refusal would deny that.  In doubt it is
 * stored.
 */
static void
refuse_if_absent(nm_op_t *op, nm_reason_t reason, nm_ms_t retry_after_ms)
{
    if (op->entry->store_lost || has_other_submit(op)) {
        run_op(op);
        return;
    }
    op->refusal = reason;
    op->retry_after_s = (uint32_t)((retry_after_ms + 999) / 1000);
    op->checking = true;
    char key[NM_NAME_MAX * 2];
    job_key(op, "", key, sizeof(key));
    op->store_in_flight = true;
    nm_kv_get(op->entry->desc.kv, key, on_absence_checked, op);
}

/* True if a create was not carried out because the job was cancelled. */
static bool
conflicts_with_cancel(const nm_op_t *op, const nm_kv_result_t *result)
{
    char cancel[NM_NAME_MAX * 2];
    job_key(op, NM_SUFFIX_CANCEL, cancel, sizeof(cancel));
    for (uint32_t i = 0;
         result->rc == NM_ERR_CONFLICT && i < result->item_count; i++)
    {
        if (strcmp(result->items[i].key, cancel) == 0 &&
            result->items[i].value) {
            return true;
        }
    }
    return false;
}

static void
on_stored(void *user, const nm_kv_result_t *result)
{
    nm_op_t *op = user;
    nm_entry_record_store_result(op->entry, result->rc);
    if (end_store_call(op)) {
        return;
    }
    bool settled = result->rc == NM_OK || result->rc == NM_ERR_CONFLICT;
    if (settled && op->absent) {
        fail_op(op, NM_ERR_NOT_FOUND);
        return;
    }
    if (settled && op->type == OP_CANCEL) {
        nm_notice_cancel(op->entry, op->job);
    }
    if (settled) {
        bool cancelled =
            op->type == OP_CANCEL || conflicts_with_cancel(op, result);
        succeed_op(op, cancelled ? NM_JOB_CANCELLED : NM_JOB_QUEUED, 0);
        return;
    }
    retry_store(op, result->rc);
}

/* Takes effect only once, and not after a cancel of the job. */
static void
store_job(nm_op_t *op)
{
    char key[NM_NAME_MAX * 2];
    char cancel[NM_NAME_MAX * 2];
    job_key(op, "", key, sizeof(key));
    job_key(op, NM_SUFFIX_CANCEL, cancel, sizeof(cancel));
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_expect(&txn, key, 0);
    nm_store_txn_expect(&txn, cancel, 0);
    nm_store_txn_put(&txn, key, op->record, (uint32_t)strlen(op->record), 0);
    op->store_in_flight = true;
    nm_kv_commit(op->entry->desc.kv, &txn, on_stored, op);
    nm_store_txn_finish(&txn);
}

static void
on_job_found(void *user, const nm_kv_result_t *result)
{
    nm_op_t *op = user;
    nm_entry_record_store_result(op->entry, result->rc);
    if (end_store_call(op)) {
        return;
    }
    bool absent = result->rc == NM_ERR_NOT_FOUND;
    if (absent && op->type == OP_STATE) {
        fail_op(op, NM_ERR_NOT_FOUND);
        return;
    }
    if (result->rc != NM_OK && !absent) {
        retry_store(op, result->rc);
        return;
    }
    /*
     * The cancel key is written for an absent job too: a create whose
     * response was lost may be carried out after the cancel.
     */
    op->absent = absent;
    if (op->type == OP_STATE) {
        succeed_op(op, NM_JOB_QUEUED, 0);
        return;
    }
    char key[NM_NAME_MAX * 2];
    job_key(op, NM_SUFFIX_CANCEL, key, sizeof(key));
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_put(&txn, key, "1", 1, 0);
    op->store_in_flight = true;
    nm_kv_commit(op->entry->desc.kv, &txn, on_stored, op);
    nm_store_txn_finish(&txn);
}

static void
find_job(nm_op_t *op)
{
    char key[NM_NAME_MAX * 2];
    job_key(op, "", key, sizeof(key));
    op->store_in_flight = true;
    nm_kv_get(op->entry->desc.kv, key, on_job_found, op);
}

static nm_job_state_t
stored_state(const nm_store_kv_t *item)
{
    json_t *record =
        json_loadb((const char *)item->value, item->value_bytes, 0, NULL);
    const char *state = json_string_value(json_object_get(record, "state"));
    nm_job_state_t found = NM_JOB_RUNNING;
    for (nm_job_state_t s = NM_JOB_QUEUED; state && s <= NM_JOB_CANCELLED; s++)
    {
        if (strcmp(state, nm_job_state_name(s)) == 0) {
            found = s;
        }
    }
    json_decref(record);
    return found;
}

static void
on_progress_found(void *user, const nm_kv_result_t *result)
{
    nm_op_t *op = user;
    nm_entry_record_store_result(op->entry, result->rc);
    if (end_store_call(op)) {
        return;
    }
    if (result->rc == NM_OK && result->item_count > 0 &&
        result->items[0].value) {
        succeed_op(op, stored_state(&result->items[0]), 0);
    }
    else if (result->rc == NM_ERR_NOT_FOUND) {
        find_job(op);
    }
    else {
        retry_store(op, result->rc);
    }
}

static void
find_progress(nm_op_t *op)
{
    char key[NM_NAME_MAX * 2];
    snprintf(key, sizeof(key), "%s%s", NM_KEY_PROGRESS, op->job);
    op->store_in_flight = true;
    nm_kv_get(op->entry->desc.kv, key, on_progress_found, op);
}

/* --- operations --- */

static bool
serve_as_owner(nm_op_t *op)
{
    nm_entry_t *entry = op->entry;
    if (entry->role != NM_ROLE_OWNER) {
        return false;
    }
    if (op->type == OP_PENDING) {
        succeed_op(op, NM_JOB_UNKNOWN,
                   nm_sched_query_pending(entry->sched, op->queue));
        return true;
    }
    nm_job_state_t state = nm_sched_query_job(entry->sched, op->job);
    if (op->type == OP_STATE && state != NM_JOB_UNKNOWN) {
        succeed_op(op, state, 0);
        return true;
    }
    return false;
}

static void
run_op(nm_op_t *op)
{
    op->retry_due_ms = NM_MS_NEVER;
    if (serve_as_owner(op)) {
        return;
    }
    switch (op->type) {
    case OP_SUBMIT:
        if (!op->entry->store_lost || op->uncertain) {
            store_job(op);
        }
        else if (!forward_to_owner(op)) {
            fail_op(op, NM_ERR_UNAVAILABLE);
        }
        return;
    case OP_CANCEL:
        find_job(op);
        return;
    case OP_UNROUTED:
        run_unrouted(op);
        return;
    case OP_STATE:
        if (!forward_to_owner(op)) {
            find_progress(op);
        }
        return;
    default:
        if (!forward_to_owner(op)) {
            fail_op(op, NM_ERR_UNAVAILABLE);
        }
        return;
    }
}

static nm_op_t *
new_op(nm_entry_t *entry, op_type_t type, const char *job, const char *queue,
       nm_ms_t timeout_ms)
{
    nm_op_t *op = g_new0(nm_op_t, 1);
    op->entry = entry;
    op->type = type;
    nm_strcopy(op->job, sizeof(op->job), job);
    nm_strcopy(op->queue, sizeof(op->queue), queue);
    op->began_ms = nm_entry_now(entry);
    op->deadline_ms = op->began_ms + timeout_ms;
    op->retry_due_ms = NM_MS_NEVER;
    op->link.data = op;
    g_queue_push_tail_link(&entry->open_ops, &op->link);
    return op;
}

static bool
job_id_is_valid(const char *id)
{
    size_t length = 0;
    for (; id[length] != '\0'; length++) {
        if (!isxdigit((unsigned char)id[length]) || length >= 16) {
            return false;
        }
    }
    return length == 16;
}

static char *
parse_job(nm_entry_t *entry, const nm_api_request_t *request,
          const nm_queue_rule_t *rule, const char *id, const char **fault,
          nm_admission_t *admission, nm_job_memory_t *memory)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, rule->queue.name, rule->queue.service);
    spec.accepted_unix_ms = nm_entry_unix_ms();
    spec.attempts_max = rule->queue.attempts_max;
    int rc = entry->desc.codec->decode_job(&spec, request->body->data,
                                           request->body->len, fault);
    char *record = NULL;
    if (rc == NM_OK) {
        char *text = nm_job_record_encode(&spec);
        record = g_strdup(text);
        *admission = nm_entry_admission_query(entry, &rule->queue, &spec);
        if (!admission->refuse) {
            *memory = nm_entry_admission_check_memory(entry, &spec);
        }
        free(text);
    }
    nm_job_spec_finish(&spec);
    return record;
}

/* Logs a refusal, and returns its text for the caller. */
static char *
describe_memory(const char *id, const nm_job_memory_t *memory)
{
    nm_log(NM_LOG_WARN, NM_LOG_ITEM_JOB_REFUSED, "{s:s,s:s,s:I,s:I,s:I}",
           "job", id, "reason", nm_reason_name(memory->refusal),
           "needed_bytes", (json_int_t)memory->needed_bytes, "left_bytes",
           (json_int_t)memory->left_bytes, "bound_bytes",
           (json_int_t)memory->max_bytes);
    return g_strdup_printf(
        "%s: it needs %" G_GUINT64_FORMAT " bytes, %" G_GUINT64_FORMAT
        " of %" G_GUINT64_FORMAT " are left",
        nm_reason_text(memory->refusal), memory->needed_bytes,
        memory->left_bytes, memory->max_bytes);
}

static void
handle_submit(nm_entry_t *entry, nm_api_request_t *request,
              const nm_queue_rule_t *rule, const char *id, nm_ms_t timeout_ms)
{
    const char *fault = NULL;
    if (request->too_large ||
        request->body->len > entry->queue_config->body_max_bytes)
    {
        refuse(entry, request, NM_REASON_TOO_LARGE, 413, 0);
        return;
    }
    if (request->body_discarded) {
        refuse(entry, request, NM_REASON_SETTINGS_OLD, 503, RETRY_AFTER_S);
        return;
    }
    nm_admission_t admission = {0};
    nm_job_memory_t memory = {0};
    char *record =
        parse_job(entry, request, rule, id, &fault, &admission, &memory);
    if (!record) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_JOB_REFUSED, "{s:s,s:s}", "job", id,
               "reason", fault ? fault : "the body is not valid JSON");
        refuse(entry, request, NM_REASON_BAD_REQUEST, 400, 0);
        return;
    }
    nm_op_t *op = new_op(entry, OP_SUBMIT, id, rule->queue.name, timeout_ms);
    op->request = request;
    op->record = record;
    if (admission.refuse) {
        refuse_if_absent(op, NM_REASON_OVERLOAD, admission.retry_after_ms);
    }
    else if (memory.refusal != NM_REASON_NONE) {
        op->refusal_text = describe_memory(id, &memory);
        refuse_if_absent(
            op, memory.refusal,
            memory.refusal == NM_REASON_JOB_MEMORY ? MEMORY_RETRY_MS : 0);
    }
    else {
        run_op(op);
    }
}

/* Returns the time from now in which a caller has to get its response. */
static nm_ms_t
response_timeout_ms(const nm_entry_t *entry, const nm_api_request_t *request)
{
    nm_ms_t caller_wait_ms =
        request->timeout_ms > 0 ? request->timeout_ms : DEFAULT_DEADLINE_MS;
    return MAX(caller_wait_ms - RESPONSE_MARGIN_MS, caller_wait_ms / 2) -
           (nm_entry_now(entry) - request->received_ms);
}

static void
handle_queue_request(nm_entry_t *entry, nm_api_request_t *request,
                     const nm_queue_rule_t *rule)
{
    nm_ms_t timeout_ms = response_timeout_ms(entry, request);
    const char *id = request->path + strlen(rule->prefix);
    if (request->method == NM_METHOD_GET && id[0] == '\0') {
        nm_op_t *op =
            new_op(entry, OP_PENDING, "", rule->queue.name, timeout_ms);
        op->request = request;
        run_op(op);
        return;
    }
    if (!job_id_is_valid(id)) {
        refuse(entry, request, NM_REASON_BAD_REQUEST, 400, 0);
        return;
    }
    if (request->method == NM_METHOD_POST) {
        handle_submit(entry, request, rule, id, timeout_ms);
        return;
    }
    if (request->method == NM_METHOD_OTHER) {
        refuse(entry, request, NM_REASON_BAD_REQUEST, 405, 0);
        return;
    }
    nm_op_t *op =
        new_op(entry, request->method == NM_METHOD_GET ? OP_STATE : OP_CANCEL,
               id, rule->queue.name, timeout_ms);
    op->request = request;
    run_op(op);
}

static const nm_queue_rule_t *
find_rule(const nm_entry_t *entry, const nm_api_request_t *request)
{
    return nm_queue_config_find(entry->queue_config, request->host_header,
                                request->path);
}

/*
 * True if the store has shown the configuration as the newest within the time
 * that a change may take, and since another host named a newer version.
 */
static bool
config_is_recent(const nm_entry_t *entry)
{
    nm_ms_t age_ms = nm_feed_age_ms(&entry->config_feed);
    nm_ms_t named_ago_ms =
        nm_clock_now_with_suspend(entry->desc.clock) - entry->peer_config_ms;
    bool newer_named =
        entry->peer_config_version > entry->queue_config->version;
    return age_ms <= entry->desc.config_apply_ms &&
           (!newer_named || age_ms < named_ago_ms);
}

/* Keeps the version of the configuration that a message of a host names. */
static void
record_peer_config(nm_entry_t *entry, const nm_peer_message_t *message)
{
    int64_t version = message->request    ? message->request->config_version
                      : message->response ? message->response->config_version
                                          : 0;
    if (version > entry->peer_config_version) {
        entry->peer_config_version = version;
        entry->peer_config_ms = nm_clock_now_with_suspend(entry->desc.clock);
    }
}

/* Checks again whether a queue is known, or certainly none. */
static void
run_unrouted(nm_op_t *op)
{
    nm_entry_t *entry = op->entry;
    nm_api_request_t *request = op->request;
    const nm_queue_rule_t *rule = find_rule(entry, request);
    if (rule) {
        end_op(op);
        handle_queue_request(entry, request, rule);
    }
    else if (config_is_recent(entry)) {
        end_op(op);
        refuse(entry, request, NM_REASON_NO_SERVICE, 404, 0);
    }
    else if (entry->store_lost) {
        fail_op(op, NM_ERR_UNAVAILABLE);
    }
    else {
        op->retry_due_ms = nm_entry_now(entry) + OPEN_CHECK_INTERVAL_MS;
    }
}

static void
handle_request(nm_entry_t *entry, nm_api_request_t *request)
{
    nm_count(NM_COUNTER_REQUESTS, 1);
    request->received_ms = nm_entry_now(entry);
    if (!entry->queue_config) {
        refuse(entry, request, NM_REASON_NOT_READY, 503, RETRY_AFTER_S);
        return;
    }
    const nm_queue_rule_t *rule = find_rule(entry, request);
    if (rule) {
        handle_queue_request(entry, request, rule);
        return;
    }
    nm_op_t *op =
        new_op(entry, OP_UNROUTED, "", "",
               MIN(CONFIRM_WAIT_MS, response_timeout_ms(entry, request)));
    op->request = request;
    run_op(op);
}

static void
handle_peer_request(nm_entry_t *entry, const nm_peer_message_t *message)
{
    static const op_type_t types[] = {
        [NM_PB__ENTRY_ASK__TYPE__STATE] = OP_STATE,
        [NM_PB__ENTRY_ASK__TYPE__PENDING] = OP_PENDING,
        [NM_PB__ENTRY_ASK__TYPE__SUBMIT] = OP_SUBMIT,
        [NM_PB__ENTRY_ASK__TYPE__CANCEL] = OP_CANCEL,
    };
    const NmPb__EntryAsk *request = message->request;
    if (request && request->type == NM_PB__ENTRY_ASK__TYPE__ORDERS) {
        nm_order_carrier_handle_request(
            &entry->carrier, message,
            MAX(entry->epoch,
                MAX(entry->announced.epoch, entry->fenced_epoch)));
        return;
    }
    if (request && request->type == NM_PB__ENTRY_ASK__TYPE__TERMS) {
        nm_succession_handle_request(entry, message);
        return;
    }
    if (request && nm_notice_handle(entry, request)) {
        return;
    }
    if (!request || (size_t)request->type >= NM_COUNT_OF(types)) {
        nm_count_reason(NM_REASON_PEER_MALFORMED);
        return;
    }
    op_type_t type = types[request->type];
    nm_ms_t timeout_ms =
        (type == OP_SUBMIT || type == OP_CANCEL ? FORWARD_WRITE_TIMEOUT_MS
                                                : FORWARD_TIMEOUT_MS) -
        FORWARD_MARGIN_MS;
    nm_op_t *op =
        new_op(entry, type, request->job, request->queue, timeout_ms);
    memcpy(op->peer_route, message->sender_route, message->sender_route_bytes);
    op->peer_route_bytes = message->sender_route_bytes;
    op->peer_request_number = request->number;
    if (type == OP_SUBMIT) {
        op->record =
            g_strndup((const char *)request->record.data, request->record.len);
        run_op(op);
    }
    else if (type == OP_CANCEL) {
        run_op(op);
    }
    else if (!serve_as_owner(op)) {
        fail_op(op, entry->role == NM_ROLE_OWNER ? NM_ERR_NOT_FOUND
                                                 : NM_ERR_UNAVAILABLE);
    }
}

static void
tick_op(nm_op_t *op, nm_ms_t now_ms)
{
    if (now_ms >= op->deadline_ms) {
        bool in_flight = op_is_write(op) && !op->checking &&
                         (op->store_in_flight || op->forward_number);
        bool uncertain = op->uncertain || in_flight;
        fail_op(op, uncertain ? NM_ERR_LOST : NM_ERR_UNAVAILABLE);
        return;
    }
    if (op->forward_number && now_ms >= op->forward_deadline_ms) {
        g_hash_table_remove(op->entry->forwarded_ops, &op->forward_number);
        op->forward_number = 0;
        op->uncertain = op->uncertain || op_is_write(op);
        run_op(op);
        return;
    }
    if (!op->store_in_flight && !op->forward_number &&
        now_ms >= op->retry_due_ms) {
        run_op(op);
    }
}

nm_ms_t
nm_calls_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_api_request_t *request;
    while (
        (request = entry->desc.listener->vtable->next(entry->desc.listener))) {
        handle_request(entry, request);
    }
    nm_peer_message_t message;
    while (nm_peer_rpc_next(entry->desc.peers, &message)) {
        record_peer_config(entry, &message);
        if (message.response && message.response->n_results > 0) {
            nm_order_relay_handle_response(&entry->relay, message.response);
        }
        else if (message.response && message.response->term_end) {
            nm_succession_handle_response(entry, message.response->term_end);
        }
        else if (message.response) {
            handle_peer_response(entry, message.response);
        }
        else {
            handle_peer_request(entry, &message);
        }
        nm_peer_message_finish(&message);
    }
    GList *link = entry->open_ops.head;
    while (link) {
        nm_op_t *op = link->data;
        link = link->next;
        if (!op->finished) {
            tick_op(op, now_ms);
        }
    }
    return entry->open_ops.head ? OPEN_CHECK_INTERVAL_MS : IDLE_WAIT_MS;
}

void
nm_calls_end_open(nm_entry_t *entry)
{
    for (GList *link = entry->open_ops.head; link; link = link->next) {
        ((nm_op_t *)link->data)->deadline_ms = 0;
    }
}
