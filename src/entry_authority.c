/*
 * Authority of the owner: until when it may start tasks and renew leases.
 *
 * Load: an owner that is cut off from the store together with some workers,
 * while the next owner is elected; and an outage of the store for all hosts,
 * in which nobody can be elected and tasks have to go on.
 *
 * The owner has authority for NM_AUTHORITY_MS after each call that shows it as
 * the owner: to the store, or to a majority of the witnesses, which respond to
 * no epoch but the highest they have seen.  Without the store a majority is
 * enough for NM_FORMER_AUTHORITY_MAX_MS.  entry_succession.c finds out when
 * the authority of all former owners has ended.
 *
 * Times of the owner's own authority include those in which its machine was
 * suspended.
 */
#include "entry_state.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/limits.h>
#include <nutmegdeck/log.h>

#include "json_get.h"

/* Witnesses are called if the store has confirmed nothing for this long. */
#define PROBE_AFTER_MS 600
#define PROBE_INTERVAL_MS 250

typedef struct {
    nm_entry_t *entry;
    int64_t owned_epoch;
    nm_ms_t sent_ms; /* on the authority's clock */
} probe_t;

static nm_ms_t
authority_now(const nm_entry_t *entry)
{
    return nm_clock_now_with_suspend(entry->desc.clock);
}

void
nm_authority_init(nm_entry_t *entry)
{
    nm_quorum_init(&entry->authority.quorum);
}

void
nm_authority_finish(nm_entry_t *entry)
{
    nm_quorum_finish(&entry->authority.quorum);
}

void
nm_authority_begin(nm_entry_t *entry, nm_ms_t sent_ms)
{
    nm_authority_t *authority = &entry->authority;
    nm_quorum_clear(&authority->quorum);
    authority->confirmed_ms = sent_ms;
    authority->elected_ms = nm_entry_now(entry);
    authority->list_unreadable = false;
    authority->list_due = true;
    authority->held = true;
    authority->probe_due_ms = 0;
}

void
nm_authority_confirm(nm_entry_t *entry, nm_ms_t sent_ms)
{
    entry->authority.confirmed_ms =
        MAX(entry->authority.confirmed_ms, sent_ms);
}

void
nm_authority_load_witnesses(nm_entry_t *entry, const nm_store_kv_t *item)
{
    GPtrArray *list = nm_quorum_decode(item->value, item->value_bytes);
    if (list) {
        nm_quorum_set_stored(&entry->authority.quorum, list);
        return;
    }
    entry->authority.list_unreadable = true;
    nm_refusals_log(&entry->refusals, NM_LOG_ITEM_ROSTER_REFUSED, "key",
                    item->key, "not an array of workers", nm_entry_now(entry));
}

static nm_witness_life_t
make_life(const char *id, const char *address, int64_t incarnation)
{
    nm_witness_life_t life = {.incarnation = incarnation};
    nm_strcopy(life.id, sizeof(life.id), id);
    nm_strcopy(life.address, sizeof(life.address), address);
    return life;
}

void
nm_authority_set_worker(nm_entry_t *entry, const nm_sched_worker_t *worker)
{
    nm_authority_t *authority = &entry->authority;
    nm_witness_life_t life =
        make_life(worker->id, worker->address, worker->incarnation);
    if (nm_quorum_set_worker(&authority->quorum, &life, authority_now(entry)))
    {
        authority->list_due = true;
    }
}

void
nm_authority_on_response(nm_entry_t *entry, const char *worker)
{
    nm_witness_t *witness = nm_quorum_find(&entry->authority.quorum, worker);
    if (witness) {
        witness->responded = true;
    }
}

/* --- witnesses to store --- */

/* Describes a worker as announced, or as listed if its entry has expired. */
static bool
describe_worker(void *user, const char *id, nm_witness_life_t *life)
{
    const nm_entry_t *entry = user;
    nm_sched_worker_t desc;
    if (nm_sched_query_worker(entry->sched, id, &desc)) {
        *life = make_life(id, desc.address, desc.incarnation);
        return true;
    }
    const nm_witness_t *witness = nm_quorum_find(&entry->authority.quorum, id);
    if (witness) {
        *life = witness->life;
    }
    return witness && life->address[0] != '\0';
}

/* Adds since when workers that are listed anew have been announced. */
static void
describe_witnesses(nm_entry_t *entry, const GPtrArray *list)
{
    for (guint i = 0; i < list->len; i++) {
        const nm_witness_life_t *life = list->pdata[i];
        nm_sched_worker_t desc;
        if (nm_sched_query_worker(entry->sched, life->id, &desc)) {
            nm_authority_set_worker(entry, &desc);
        }
    }
}

bool
nm_authority_put_witnesses(nm_entry_t *entry, nm_store_txn_t *txn)
{
    nm_authority_t *authority = &entry->authority;
    nm_quorum_t *quorum = &authority->quorum;
    /*
     * The list of a former owner stays until its authority is over, so that
     * the next owner compares with the same list.
     */
    if (nm_entry_now(entry) < authority->former_until_ms) {
        return false;
    }
    if (!quorum->pending) {
        if (!authority->list_due) {
            return false;
        }
        authority->list_due = false;
        GPtrArray *list =
            nm_quorum_choose(entry->roster_wanted, describe_worker, entry);
        if (nm_quorum_is_stored(quorum, list)) {
            g_ptr_array_free(list, TRUE);
            return false;
        }
        nm_quorum_set_pending(quorum, list);
        describe_witnesses(entry, list);
    }
    /* A list whose write got no response is written once more. */
    char *text = nm_quorum_encode(quorum->pending);
    nm_store_txn_put(txn, NM_KEY_WITNESSES, text, (uint32_t)strlen(text), 0);
    free(text);
    return true;
}

void
nm_authority_on_witnesses_stored(nm_entry_t *entry, int rc)
{
    nm_quorum_t *quorum = &entry->authority.quorum;
    if (rc == NM_OK) {
        nm_quorum_confirm_pending(quorum);
    }
    else if (rc == NM_ERR_UNAVAILABLE) {
        /* A write before this one may have got no response. */
        entry->authority.list_due = true;
    }
}

/* --- calls to witnesses --- */

static void
on_probe(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    probe_t *probe = user;
    nm_entry_t *entry = probe->entry;
    nm_ms_t sent_ms = probe->sent_ms;
    bool current = entry->owned_epoch == probe->owned_epoch;
    g_free(probe);
    if (!current) {
        return;
    }
    nm_call_outcome_t outcome = nm_load_order_outcome(result);
    nm_load_on_call(entry, NM_CALL_PROBE, outcome,
                    authority_now(entry) - sent_ms);
    nm_quorum_t *quorum = &entry->authority.quorum;
    nm_witness_t *witness = nm_quorum_find(quorum, action->worker);
    if (witness) {
        witness->probe_pending = false;
        witness->refused = outcome == NM_CALL_REFUSED;
    }
    if (result == NM_ORDER_FENCED &&
        action->fence_seq >=
            nm_sched_query_fence_seq(entry->sched, action->worker))
    {
        nm_term_step_down(entry, "a worker has seen a newer epoch");
    }
    else if (result == NM_ORDER_DONE) {
        nm_witness_life_t life =
            make_life(action->worker, action->address, report->incarnation);
        nm_quorum_on_accepted(quorum, &life, sent_ms,
                              entry->authority.confirmed_ms);
    }
    else if (result == NM_ORDER_WRONG_INCARNATION) {
        nm_witness_life_t life =
            make_life(action->worker, action->address, action->incarnation);
        nm_quorum_on_replaced(quorum, &life);
    }
}

/*
 * Calls each witness itself, not through carriers, and without a wait; such a
 * poll renews no lease and acknowledges no end.  A witness whose entry has
 * expired, as in an outage of the store, may still respond.
 */
static void
send_probes(nm_entry_t *entry)
{
    int64_t owned_epoch = entry->owned_epoch;
    GPtrArray *due = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, entry->authority.quorum.witnesses);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        nm_witness_t *witness = value;
        if (!witness->probe_pending && witness->life.address[0] != '\0') {
            witness->probe_pending = true;
            g_ptr_array_add(due, g_strdup(witness->life.id));
        }
    }
    /* A result may come at once and end the term. */
    for (guint i = 0; i < due->len && entry->owned_epoch == owned_epoch; i++) {
        nm_witness_t *witness =
            nm_quorum_find(&entry->authority.quorum, due->pdata[i]);
        if (!witness) {
            continue;
        }
        nm_sched_action_t action = {.type = NM_ACTION_POLL,
                                    .incarnation = witness->life.incarnation,
                                    .fence_seq = nm_sched_query_fence_seq(
                                        entry->sched, witness->life.id),
                                    .payload = "",
                                    .checkpoint = ""};
        nm_strcopy(action.worker, sizeof(action.worker), witness->life.id);
        nm_strcopy(action.address, sizeof(action.address),
                   witness->life.address);
        probe_t *probe = g_new(probe_t, 1);
        *probe = (probe_t){entry, owned_epoch, authority_now(entry)};
        nm_order_port_send(entry->desc.orders, &action, owned_epoch, on_probe,
                           probe);
    }
    g_ptr_array_set_free_func(due, g_free);
    g_ptr_array_free(due, TRUE);
}

/* --- lives of witnesses --- */

void
nm_authority_visit_unresolved(const nm_entry_t *entry,
                              nm_authority_visit_fn visit, void *user)
{
    const nm_authority_t *authority = &entry->authority;
    const nm_quorum_t *quorum = &authority->quorum;
    if (authority->former_over) {
        return;
    }
    for (guint i = 0; i < quorum->stored->len; i++) {
        const nm_witness_life_t *listed = quorum->stored->pdata[i];
        if (!nm_quorum_is_resolved(quorum, listed)) {
            visit(user, listed);
        }
    }
}

void
nm_authority_on_life_ended(nm_entry_t *entry, const nm_witness_life_t *life)
{
    nm_quorum_on_ended(&entry->authority.quorum, life);
}

/* --- decisions --- */

static bool
has_authority(const nm_authority_t *authority, nm_ms_t now_ms)
{
    nm_ms_t accepted_ms = nm_quorum_accepted_ms(&authority->quorum);
    bool by_store = now_ms < authority->confirmed_ms + NM_AUTHORITY_MS;
    bool by_majority =
        accepted_ms > 0 && now_ms < accepted_ms + NM_AUTHORITY_MS &&
        now_ms < authority->confirmed_ms + NM_FORMER_AUTHORITY_MAX_MS;
    return by_store || by_majority;
}

static void
update_authority(nm_entry_t *entry)
{
    nm_authority_t *authority = &entry->authority;
    nm_ms_t now_ms = authority_now(entry);
    bool held = has_authority(authority, now_ms);
    if (held != authority->held) {
        nm_ms_t accepted_ms = nm_quorum_accepted_ms(&authority->quorum);
        nm_log(held ? NM_LOG_INFO : NM_LOG_WARN,
               held ? NM_LOG_ITEM_AUTHORITY_BACK : NM_LOG_ITEM_AUTHORITY_LOST,
               "{s:I,s:I,s:I,s:i}", "epoch", (json_int_t)entry->owned_epoch,
               "store_ms", (json_int_t)(now_ms - authority->confirmed_ms),
               "majority_ms",
               (json_int_t)(accepted_ms > 0 ? now_ms - accepted_ms : -1),
               "bound_ms", NM_AUTHORITY_MS);
        authority->held = held;
    }
    nm_sched_set_authority(entry->sched, held);
}

void
nm_authority_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_authority_t *authority = &entry->authority;
    nm_succession_run(entry, now_ms);
    bool stale =
        authority_now(entry) - authority->confirmed_ms >= PROBE_AFTER_MS;
    if ((stale || !authority->former_over) &&
        now_ms >= authority->probe_due_ms) {
        authority->probe_due_ms = now_ms + PROBE_INTERVAL_MS;
        send_probes(entry);
    }
    if (entry->role == NM_ROLE_OWNER) {
        update_authority(entry);
    }
}
