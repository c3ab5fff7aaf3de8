/*
 * Callers' requests: submit, state, cancel, and a queue's pending count.
 *
 * A job is accepted once it is stored.  A create that got no answer is sent
 * again, since it can take effect only once; while that is open the caller
 * is told neither success nor refusal.  A host that the store turns away
 * asks another one to store the job; where none can, the caller is refused
 * at once and told when to come back.
 *
 * Answers this load: an outage of the store under full traffic.  Who has seen
 * it fail several times sends no write that might still be carried out, so
 * that the refusal is certain and the caller may try another host.
 */
#include "entry_state.h"

#include <ctype.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/latency.h>
#include <nutmegdeck/log.h>

/* What a caller waits for if it does not say. */
#define DEFAULT_DEADLINE_MS 3000
/* Left of the caller's time for the answer's way back. */
#define RESPONSE_MARGIN_MS 400
/* A question to another host: a round trip between regions. */
#define FORWARD_TIMEOUT_MS 350
/*
 * ...or a change, which that host has to store: one without an answer leaves
 * the caller in doubt, and a busy owner's rounds take up to 190 ms.
 */
#define FORWARD_WRITE_TIMEOUT_MS 800
/* The host that was asked ends this long before, so that its answer counts. */
#define FORWARD_MARGIN_MS 150
#define STORE_RETRY_MS 120
/* A job that is certainly not stored is refused within this time. */
#define REFUSE_WITHIN_MS 500
/* Callers that are refused come back after an outage's usual pause. */
#define RETRY_AFTER_S 1

typedef enum {
    OP_SUBMIT,
    OP_STATE,
    OP_CANCEL,
    OP_PENDING,
} op_type_t;

typedef struct {
    nm_entry_t *entry;
    op_type_t type;
    nm_api_request_t *call; /* of a caller, or NULL */
    uint8_t from[256];      /* of a peer */
    uint32_t from_bytes;
    uint64_t peer_request_number; /* of the peer's question */
    char job[NM_JOB_ID_MAX];
    char queue[NM_NAME_MAX];
    char *record;
    nm_ms_t began_ms;
    nm_ms_t deadline_ms;
    nm_ms_t retry_due_ms; /* next try; NM_MS_NEVER: none */
    nm_ms_t forward_deadline_ms;
    uint64_t forward_number; /* number of our question; 0: none */
    bool was_forwarded;
    bool store_in_flight; /* a store call is in flight */
    bool uncertain;       /* it may be stored */
    bool absent; /* CANCEL: no such job, but one may still be written */
    bool finished;
    GList link;
} nm_op_t;

static void run_op(nm_op_t *op);

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

/* Sends an answer to a caller; takes over the text. */
static void
reply(nm_entry_t *entry, nm_api_request_t *call, int status, char *text,
      uint32_t retry_after_s)
{
    nm_latency_add(NM_LATENCY_CALL, nm_entry_now(entry) - call->received_ms);
    call->status = status;
    call->response = text;
    call->retry_after_s = retry_after_s;
    call->close_connection = entry->stopping;
    entry->desc.listener->vtable->reply(entry->desc.listener, call);
}

static void
refuse(nm_entry_t *entry, nm_api_request_t *call, nm_reason_t reason,
       int status, uint32_t retry_after_s)
{
    nm_count_reason(reason);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_REQUEST_REFUSED, "{s:s,s:i,s:s,s:i}",
           "request", call->path, "status", status, "reason",
           nm_reason_name(reason), "retry_after_s", (int)retry_after_s);
    char *text = g_strdup_printf("{\"error\":\"%s\"}", nm_reason_text(reason));
    reply(entry, call, status, text, retry_after_s);
}

static void
end_op(nm_op_t *op)
{
    op->finished = true;
    op->call = NULL;
    op->from_bytes = 0;
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
    NmPb__EntryAnswer answer = NM_PB__ENTRY_ANSWER__INIT;
    answer.number = op->peer_request_number;
    answer.rc = rc;
    answer.state = (uint32_t)state;
    answer.pending = pending;
    answer.is_owner = op->entry->role == NM_ROLE_OWNER;
    nm_peer_rpc_respond(op->entry->desc.peers, op->from, op->from_bytes,
                        &answer);
}

static bool
op_is_write(const nm_op_t *op)
{
    return op->type == OP_SUBMIT || op->type == OP_CANCEL;
}

/* The product's status for an error, and whether to come back. */
static void
fail_op(nm_op_t *op, int rc)
{
    nm_entry_t *entry = op->entry;
    if (op->from_bytes > 0) {
        respond_to_peer(op, rc, NM_JOB_UNKNOWN, 0);
    }
    else if (op->call && rc == NM_ERR_NOT_FOUND) {
        reply(entry, op->call, 410, g_strdup("{}"), 0);
    }
    else if (op->call && rc == NM_ERR_LOST) {
        refuse(entry, op->call, NM_REASON_STORE_LOST, 504, 0);
    }
    else if (op->call) {
        refuse(entry, op->call, NM_REASON_STORE_UNAVAILABLE, 503,
               RETRY_AFTER_S);
    }
    end_op(op);
}

static void
succeed_op(nm_op_t *op, nm_job_state_t state, uint32_t pending)
{
    nm_entry_t *entry = op->entry;
    const nm_codec_t *codec = entry->desc.codec;
    if (op->from_bytes > 0) {
        respond_to_peer(op, NM_OK, state, pending);
    }
    else if (op->call) {
        char *text = op->type == OP_PENDING ? codec->encode_pending(pending)
                                            : codec->encode_state(state);
        if (op->type == OP_SUBMIT || op->type == OP_CANCEL) {
            nm_log(NM_LOG_INFO,
                   op->type == OP_SUBMIT ? NM_LOG_ITEM_JOB_ACCEPTED
                                         : NM_LOG_ITEM_JOB_CANCELLED,
                   "{s:s,s:s,s:I}", "job", op->job, "queue", op->queue,
                   "took_ms",
                   (json_int_t)(nm_entry_now(entry) - op->began_ms));
        }
        reply(entry, op->call, 200, text, 0);
    }
    end_op(op);
}

/* --- through another host --- */

/* The newest owner that is known, or NULL. */
static const char *
owner_address(const nm_entry_t *entry)
{
    bool announced = entry->announced.epoch > entry->owner.epoch;
    const char *name = announced ? entry->announced.name : entry->owner.name;
    const char *address =
        announced ? entry->announced.address : entry->owner.address;
    return address[0] == '\0' || strcmp(name, entry->desc.name) == 0 ? NULL
                                                                     : address;
}

static bool
forward_to_owner(nm_op_t *op)
{
    nm_entry_t *entry = op->entry;
    const char *address = owner_address(entry);
    static const NmPb__EntryAsk__Type types[] = {
        [OP_SUBMIT] = NM_PB__ENTRY_ASK__TYPE__SUBMIT,
        [OP_STATE] = NM_PB__ENTRY_ASK__TYPE__STATE,
        [OP_CANCEL] = NM_PB__ENTRY_ASK__TYPE__CANCEL,
        [OP_PENDING] = NM_PB__ENTRY_ASK__TYPE__PENDING,
    };
    if (op->from_bytes > 0 || op->was_forwarded || entry->owned_epoch > 0 ||
        !address)
    {
        return false;
    }
    NmPb__EntryAsk ask = NM_PB__ENTRY_ASK__INIT;
    ask.type = types[op->type];
    ask.job = op->job;
    ask.queue = op->queue;
    if (op->record) {
        ask.record.data = (uint8_t *)op->record;
        ask.record.len = strlen(op->record);
    }
    op->was_forwarded = true;
    if (nm_peer_rpc_send(entry->desc.peers, address, &ask) < 0) {
        return false;
    }
    op->forward_number = ask.number;
    op->forward_deadline_ms =
        nm_entry_now(entry) +
        (op_is_write(op) ? FORWARD_WRITE_TIMEOUT_MS : FORWARD_TIMEOUT_MS);
    g_hash_table_insert(
        entry->forwarded_ops,
        g_memdup2(&op->forward_number, sizeof(op->forward_number)), op);
    return true;
}

static void
handle_response(nm_entry_t *entry, const NmPb__EntryAnswer *answer)
{
    uint64_t number = answer->number;
    nm_op_t *op = g_hash_table_lookup(entry->forwarded_ops, &number);
    if (!op) {
        return;
    }
    g_hash_table_remove(entry->forwarded_ops, &number);
    op->forward_number = 0;
    if (op->finished) {
        return;
    }
    bool stored = answer->rc == NM_OK && op_is_write(op);
    bool known = answer->rc == NM_OK && answer->is_owner &&
                 (op->type == OP_PENDING || answer->state != NM_JOB_UNKNOWN);
    if (stored || known) {
        succeed_op(op, stored ? NM_JOB_QUEUED : (nm_job_state_t)answer->state,
                   answer->pending);
        return;
    }
    op->uncertain = op->uncertain || answer->rc == NM_ERR_LOST;
    if (op_is_write(op) && entry->store_lost && !op->uncertain) {
        fail_op(op, NM_ERR_UNAVAILABLE);
        return;
    }
    run_op(op);
}

/* --- through the store --- */

static void
job_key(const nm_op_t *op, const char *suffix, char *key, size_t size)
{
    snprintf(key, size, "%s%s%s", NM_KEY_JOBS, op->job, suffix);
}

/* True if the operation ended while its call was in flight. */
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
    bool at_once = op->from_bytes > 0 || entry->store_lost;
    if (!op->uncertain &&
        (at_once || nm_entry_now(entry) - op->began_ms > REFUSE_WITHIN_MS))
    {
        fail_op(op, NM_ERR_UNAVAILABLE);
        return;
    }
    op->retry_due_ms = nm_entry_now(entry) + STORE_RETRY_MS;
}

static void
on_stored(void *user, const nm_kv_result_t *result)
{
    nm_op_t *op = user;
    nm_entry_record_store_result(op->entry, result->rc);
    if (end_store_call(op)) {
        return;
    }
    bool done = result->rc == NM_OK || result->rc == NM_ERR_CONFLICT;
    if (done && op->absent) {
        fail_op(op, NM_ERR_NOT_FOUND);
        return;
    }
    if (done) {
        succeed_op(
            op, op->type == OP_CANCEL ? NM_JOB_CANCELLED : NM_JOB_QUEUED, 0);
        return;
    }
    retry_store(op, result->rc);
}

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
    /* A create without an answer may be carried out after the cancel. */
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
       nm_ms_t budget_ms)
{
    nm_op_t *op = g_new0(nm_op_t, 1);
    op->entry = entry;
    op->type = type;
    nm_strcopy(op->job, sizeof(op->job), job);
    nm_strcopy(op->queue, sizeof(op->queue), queue);
    op->began_ms = nm_entry_now(entry);
    op->deadline_ms = op->began_ms + budget_ms;
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
parse_job(nm_entry_t *entry, const nm_api_request_t *call,
          const nm_queue_rule_t *path, const char *id, const char **fault)
{
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, id, path->queue.name, path->queue.service);
    spec.accepted_unix_ms = nm_entry_unix_ms();
    int rc = entry->desc.codec->decode_job(&spec, call->body->data,
                                           call->body->len, fault);
    char *record = NULL;
    if (rc == NM_OK) {
        char *text = nm_job_record_encode(&spec);
        record = g_strdup(text);
        free(text);
    }
    nm_job_spec_finish(&spec);
    return record;
}

static void
handle_submit(nm_entry_t *entry, nm_api_request_t *call,
              const nm_queue_rule_t *path, const char *id, nm_ms_t budget_ms)
{
    const char *fault = NULL;
    if (call->too_large ||
        call->body->len > entry->queue_config->body_max_bytes) {
        refuse(entry, call, NM_REASON_TOO_LARGE, 413, 0);
        return;
    }
    char *record = parse_job(entry, call, path, id, &fault);
    if (!record) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_JOB_REFUSED, "{s:s,s:s}", "job", id,
               "reason", fault ? fault : "the body is not valid JSON");
        refuse(entry, call, NM_REASON_BAD_REQUEST, 400, 0);
        return;
    }
    nm_op_t *op = new_op(entry, OP_SUBMIT, id, path->queue.name, budget_ms);
    op->call = call;
    op->record = record;
    run_op(op);
}

static void
handle_call(nm_entry_t *entry, nm_api_request_t *call)
{
    nm_count(NM_COUNTER_REQUESTS, 1);
    call->received_ms = nm_entry_now(entry);
    if (!entry->queue_config) {
        refuse(entry, call, NM_REASON_NOT_READY, 503, RETRY_AFTER_S);
        return;
    }
    const nm_queue_rule_t *path = nm_queue_config_find(
        entry->queue_config, call->host_header, call->path);
    if (!path) {
        refuse(entry, call, NM_REASON_NO_SERVICE, 404, 0);
        return;
    }
    nm_ms_t wait =
        call->deadline_ms > 0 ? call->deadline_ms : DEFAULT_DEADLINE_MS;
    nm_ms_t budget = MAX(wait - RESPONSE_MARGIN_MS, wait / 2);
    const char *id = call->path + strlen(path->prefix);
    if (call->method == NM_METHOD_GET && id[0] == '\0') {
        nm_op_t *op = new_op(entry, OP_PENDING, "", path->queue.name, budget);
        op->call = call;
        run_op(op);
        return;
    }
    if (!job_id_is_valid(id)) {
        refuse(entry, call, NM_REASON_BAD_REQUEST, 400, 0);
        return;
    }
    if (call->method == NM_METHOD_POST) {
        handle_submit(entry, call, path, id, budget);
        return;
    }
    if (call->method == NM_METHOD_OTHER) {
        refuse(entry, call, NM_REASON_BAD_REQUEST, 405, 0);
        return;
    }
    nm_op_t *op =
        new_op(entry, call->method == NM_METHOD_GET ? OP_STATE : OP_CANCEL, id,
               path->queue.name, budget);
    op->call = call;
    run_op(op);
}

static void
handle_announcement(nm_entry_t *entry, const NmPb__EntryAsk *ask)
{
    nm_owner_announcement_t hint = {.epoch = ask->epoch};
    if (hint.epoch <= entry->announced.epoch || ask->owner_name[0] == '\0' ||
        !nm_strcopy(hint.name, sizeof(hint.name), ask->owner_name) ||
        !nm_strcopy(hint.address, sizeof(hint.address), ask->owner_address))
    {
        return;
    }
    entry->announced = hint;
    if (entry->owned_epoch > 0 && hint.epoch > entry->owned_epoch) {
        nm_term_step_down(entry, "another host has announced itself");
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_ANNOUNCED, "{s:s,s:I,s:b}", "owner",
           hint.name, "epoch", (json_int_t)hint.epoch, "store_lost",
           entry->store_lost);
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
    const NmPb__EntryAsk *ask = message->request;
    if (ask && ask->type == NM_PB__ENTRY_ASK__TYPE__ORDERS) {
        nm_order_carrier_handle_request(
            &entry->carrier, message,
            MAX(entry->epoch, entry->announced.epoch));
        return;
    }
    if (ask && ask->type == NM_PB__ENTRY_ASK__TYPE__OWNER) {
        handle_announcement(entry, ask);
        return;
    }
    if (!ask || (size_t)ask->type >= NM_COUNT_OF(types)) {
        nm_count_reason(NM_REASON_PEER_MALFORMED);
        return;
    }
    op_type_t type = types[ask->type];
    nm_ms_t budget =
        (type == OP_SUBMIT || type == OP_CANCEL ? FORWARD_WRITE_TIMEOUT_MS
                                                : FORWARD_TIMEOUT_MS) -
        FORWARD_MARGIN_MS;
    nm_op_t *op = new_op(entry, type, ask->job, ask->queue, budget);
    memcpy(op->from, message->from, message->from_bytes);
    op->from_bytes = message->from_bytes;
    op->peer_request_number = ask->number;
    if (type == OP_SUBMIT) {
        op->record =
            g_strndup((const char *)ask->record.data, ask->record.len);
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
        bool in_flight =
            op_is_write(op) && (op->store_in_flight || op->forward_number);
        bool open = op->uncertain || in_flight;
        fail_op(op, open ? NM_ERR_LOST : NM_ERR_UNAVAILABLE);
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
    nm_api_request_t *call;
    while ((call = entry->desc.listener->vtable->next(entry->desc.listener))) {
        handle_call(entry, call);
    }
    nm_peer_message_t message;
    while (nm_peer_rpc_next(entry->desc.peers, &message)) {
        if (message.response && message.response->n_results > 0) {
            nm_order_relay_handle_response(&entry->relay, message.response);
        }
        else if (message.response) {
            handle_response(entry, message.response);
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
    return entry->open_ops.head ? 20 : 1000;
}
