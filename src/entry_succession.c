/*
 * Terms of former owners: what proves that they are over, and what a host
 * tells of its own.
 *
 * Load: elections in series, which the same host may win, while most of the
 * workers that were witnesses leave for good; hosts that crash, are paused or
 * cut off, and whose name is used again.
 *
 * A new owner asks the hosts of the terms that are not proved over.  A host
 * that is asked gives no order of an epoch below the asking one from then on,
 * and says so; a host that wins again knows it of its own terms.  If another
 * process responds at a host's address, the one that held the term has ended.
 * What either has sent is on its way as after a crash, and its leases lapse as
 * those of a silent worker do.  A paused host responds once it goes on, and a
 * host that is cut off does not respond: then a majority of the witnesses
 * shows that its calls count for nothing, or the new owner waits for as long
 * as any owner has authority without the store.
 *
 * A host also tells of workers that were silent when its term ended, so that
 * their leases lapse no later for an election.
 */
#include "entry_state.h"

#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/limits.h>
#include <nutmegdeck/log.h>

#include "json_get.h"

/*
 * Interval of requests to hosts that have not responded, doubled each time: a
 * request waits for the connection, and is lost only with it.
 */
#define ASK_INTERVAL_MIN_MS 250
#define ASK_INTERVAL_MAX_MS 2000
/*
 * A host whose terms are proved over is asked for this long after the election
 * for the workers that were silent at their end.
 */
#define ASK_AFTER_PROOF_MS 5000
/* Interval of writes of what is proved and of the times that are left. */
#define STORE_INTERVAL_MS 1000
/* Interval of lines in the log while a term is not proved over. */
#define UNRESOLVED_LOG_INTERVAL_MS 3000

static nm_former_term_t *
former_at(const nm_entry_t *entry, guint i)
{
    return entry->authority.former.terms->pdata[i];
}

static guint
former_count(const nm_entry_t *entry)
{
    return entry->authority.former.terms->len;
}

void
nm_succession_init(nm_entry_t *entry)
{
    g_snprintf(entry->process, sizeof(entry->process), "%08x%08x",
               g_random_int(), g_random_int());
    nm_former_init(&entry->terms);
    nm_former_init(&entry->candidate_terms);
    nm_former_init(&entry->authority.former);
}

void
nm_succession_finish(nm_entry_t *entry)
{
    nm_former_finish(&entry->terms);
    nm_former_finish(&entry->candidate_terms);
    nm_former_finish(&entry->authority.former);
    nm_term_end_free(entry->authority.handed_over);
    nm_term_end_free(entry->term_end);
}

/* --- the stored list --- */

void
nm_succession_apply(nm_entry_t *entry, const nm_store_kv_t *item)
{
    if (item->value && item->mod_revision < entry->terms_revision) {
        return; /* the feed lags behind the conflict of an election */
    }
    entry->terms_revision = item->value ? item->mod_revision : 0;
    if (item->value &&
        !nm_former_decode(&entry->terms, item->value, item->value_bytes))
    {
        /* The next election stores a row that stands for all terms. */
        nm_refusals_log(&entry->refusals, NM_LOG_ITEM_OWNER_REFUSED, "key",
                        item->key, "not a list of terms", nm_entry_now(entry));
    }
    else if (!item->value) {
        nm_former_clear(&entry->terms);
    }
}

/* Adds a list to a transaction; times are those that are left at now_ms. */
static void
put_terms(nm_entry_t *entry, nm_store_txn_t *txn,
          const nm_former_terms_t *terms, int64_t epoch, nm_ms_t remaining_ms,
          nm_ms_t now_ms)
{
    nm_former_term_t own = {
        .since = epoch, .epoch = epoch, .until_ms = now_ms + remaining_ms};
    nm_strcopy(own.host, sizeof(own.host), entry->desc.name);
    nm_strcopy(own.address, sizeof(own.address), entry->desc.peer_address);
    nm_strcopy(own.process, sizeof(own.process), entry->process);
    char *text = nm_former_encode(terms, &own, now_ms);
    nm_store_txn_put(txn, NM_KEY_TERMS, text, (uint32_t)strlen(text), 0);
    free(text);
}

void
nm_succession_put_candidate(nm_entry_t *entry, nm_store_txn_t *txn)
{
    nm_former_terms_t *terms = &entry->candidate_terms;
    nm_former_copy(terms, &entry->terms);
    nm_former_cover(terms, entry->candidate_epoch);
    nm_store_txn_expect(txn, NM_KEY_TERMS, entry->terms_revision);
    put_terms(entry, txn, terms, entry->candidate_epoch,
              NM_FORMER_AUTHORITY_MAX_MS, 0);
}

bool
nm_succession_put(nm_entry_t *entry, nm_store_txn_t *txn, nm_ms_t now_ms)
{
    nm_authority_t *authority = &entry->authority;
    bool times_due =
        !authority->former_over && now_ms >= authority->times_due_ms;
    /* Not before its end may a term that is proved over be stored so. */
    bool proofs_due =
        authority->proofs_due && now_ms >= authority->former_until_ms;
    if (!proofs_due && !times_due) {
        return false;
    }
    authority->proofs_due = false;
    authority->times_due_ms = now_ms + STORE_INTERVAL_MS;
    put_terms(entry, txn, &authority->former, entry->owned_epoch,
              NM_FORMER_AUTHORITY_MAX_MS, now_ms);
    return true;
}

void
nm_succession_on_stored(nm_entry_t *entry, int rc)
{
    entry->authority.proofs_due |= rc != NM_OK;
}

/* --- this host's terms --- */

void
nm_succession_begin(nm_entry_t *entry)
{
    nm_authority_t *authority = &entry->authority;
    nm_former_begin(&entry->candidate_terms, authority->elected_ms);
    nm_former_inherit(&entry->candidate_terms, &authority->former);
    nm_former_terms_t earlier = authority->former;
    authority->former = entry->candidate_terms;
    entry->candidate_terms = earlier;
    authority->former_until_ms =
        nm_former_until_ms(&authority->former, authority->elected_ms);
    authority->former_over = false;
    authority->ask_due_ms = 0;
    authority->ask_interval_ms = ASK_INTERVAL_MIN_MS;
    authority->proofs_due = false;
    authority->times_due_ms = authority->elected_ms;
    authority->unresolved_due_ms =
        authority->elected_ms + UNRESOLVED_LOG_INTERVAL_MS;
    nm_term_end_free(authority->handed_over);
    authority->handed_over = NULL;
}

static void
add_silent_worker(void *user, const char *worker, nm_ms_t lapse_ms)
{
    nm_term_end_add_silent(user, worker, lapse_ms);
}

void
nm_succession_end(nm_entry_t *entry)
{
    if (entry->role != NM_ROLE_OWNER) {
        return;
    }
    nm_ms_t now_ms = nm_entry_now(entry);
    bool complete = now_ms >= entry->authority.former_until_ms;
    nm_term_end_free(entry->term_end);
    entry->term_end = nm_term_end_new(entry->owned_epoch, complete);
    if (complete) {
        nm_sched_visit_silent_workers(entry->sched, now_ms, add_silent_worker,
                                      entry->term_end);
    }
}

void
nm_succession_put_hand_over(nm_entry_t *entry, nm_store_txn_t *txn,
                            nm_ms_t now_ms)
{
    put_terms(entry, txn, &entry->authority.former, entry->owned_epoch, 0,
              now_ms);
    /* Until former_until_ms an earlier owner may renew leases. */
    if (entry->role != NM_ROLE_OWNER ||
        now_ms < entry->authority.former_until_ms) {
        return;
    }
    nm_term_end_t *end = nm_term_end_new(entry->owned_epoch, true);
    nm_sched_visit_silent_workers(entry->sched, now_ms, add_silent_worker,
                                  end);
    json_t *silent = json_object();
    GHashTableIter iter;
    gpointer worker;
    gpointer lapse_ms;
    g_hash_table_iter_init(&iter, end->silent);
    while (g_hash_table_iter_next(&iter, &worker, &lapse_ms)) {
        json_object_set_new(silent, worker,
                            json_integer(*(nm_ms_t *)lapse_ms - now_ms));
    }
    json_t *record = json_pack("{s:I,s:o}", "epoch", (json_int_t)end->epoch,
                               "silent", silent);
    char *text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    nm_store_txn_put(txn, NM_KEY_HAND_OVER, text, (uint32_t)strlen(text), 0);
    free(text);
    nm_term_end_free(end);
}

void
nm_succession_load_hand_over(nm_entry_t *entry, const nm_store_kv_t *item)
{
    nm_authority_t *authority = &entry->authority;
    json_t *record =
        json_loadb((const char *)item->value, item->value_bytes, 0, NULL);
    int64_t epoch;
    bool valid = nm_json_get_int(json_object_get(record, "epoch"),
                                 NM_COUNT_MAX, &epoch);
    if (!valid) {
        nm_refusals_log(&entry->refusals, NM_LOG_ITEM_OWNER_REFUSED, "key",
                        item->key, "epoch is missing", nm_entry_now(entry));
    }
    nm_term_end_free(authority->handed_over);
    authority->handed_over = NULL;
    /* One of an earlier owner says nothing about the last one. */
    if (valid && epoch == entry->owned_epoch - 1) {
        authority->handed_over = nm_term_end_new(epoch, true);
        const char *worker;
        json_t *value;
        json_object_foreach(json_object_get(record, "silent"), worker, value)
        {
            int64_t remaining_ms;
            if (nm_json_get_int(value, NM_DURATION_MAX_MS, &remaining_ms)) {
                nm_term_end_add_silent(authority->handed_over, worker,
                                       authority->elected_ms + remaining_ms);
            }
        }
    }
    json_decref(record);
}

void
nm_succession_fence(nm_entry_t *entry, int64_t epoch)
{
    entry->fenced_epoch = MAX(entry->fenced_epoch, epoch);
}

void
nm_succession_handle_request(nm_entry_t *entry,
                             const nm_peer_message_t *message)
{
    int64_t asked_epoch = message->request->epoch;
    nm_succession_fence(entry, asked_epoch);
    if (entry->owned_epoch > 0 && entry->owned_epoch < asked_epoch) {
        nm_term_step_down(entry, "a newer owner has asked for this term");
    }
    nm_ms_t now_ms = nm_entry_now(entry);
    const nm_term_end_t *end = entry->term_end;
    guint count = end ? g_hash_table_size(end->silent) : 0;
    NmPb__SilentWorker *rows = g_new(NmPb__SilentWorker, count);
    NmPb__SilentWorker **silent = g_new(NmPb__SilentWorker *, count);
    GHashTableIter iter;
    gpointer worker;
    gpointer lapse_ms;
    if (end) {
        g_hash_table_iter_init(&iter, end->silent);
    }
    for (guint i = 0;
         i < count && g_hash_table_iter_next(&iter, &worker, &lapse_ms); i++)
    {
        silent[i] = &rows[i];
        nm_pb__silent_worker__init(&rows[i]);
        rows[i].worker = worker;
        rows[i].remaining_ms = MAX(*(nm_ms_t *)lapse_ms - now_ms, 0);
    }
    NmPb__TermEnd term_end = NM_PB__TERM_END__INIT;
    term_end.asked_epoch = asked_epoch;
    term_end.process = entry->process;
    term_end.address = (char *)entry->desc.peer_address;
    term_end.epoch = end ? end->epoch : 0;
    term_end.complete = end && end->complete;
    term_end.n_silent = count;
    term_end.silent = silent;
    NmPb__EntryAnswer response = NM_PB__ENTRY_ANSWER__INIT;
    response.number = message->request->number;
    response.term_end = &term_end;
    nm_peer_rpc_respond(entry->desc.peers, message->sender_route,
                        message->sender_route_bytes, &response);
    g_free(rows);
    g_free(silent);
}

/* --- proofs --- */

static nm_term_end_t *
copy_end(const nm_term_end_t *end)
{
    if (!end) {
        return nm_term_end_new(0, false);
    }
    nm_term_end_t *copy = nm_term_end_new(end->epoch, end->complete);
    GHashTableIter iter;
    gpointer worker;
    gpointer lapse_ms;
    g_hash_table_iter_init(&iter, end->silent);
    while (g_hash_table_iter_next(&iter, &worker, &lapse_ms)) {
        nm_term_end_add_silent(copy, worker, *(nm_ms_t *)lapse_ms);
    }
    return copy;
}

/*
 * A process responds at the address of hosts of former owners: it has told of
 * its own terms, and those of other processes at the address are over.
 */
static void
apply_host(nm_entry_t *entry, const char *address, const char *process,
           const nm_term_end_t *end, nm_ms_t over_ms)
{
    for (guint i = 0; i < former_count(entry); i++) {
        nm_former_term_t *term = former_at(entry, i);
        if (term->address[0] == '\0' || strcmp(term->address, address) != 0) {
            continue;
        }
        bool same = strcmp(term->process, process) == 0;
        nm_former_prove(term,
                        same ? NM_TERM_PROOF_HOST : NM_TERM_PROOF_RESTARTED,
                        over_ms);
        term->host_responded = true;
        if (same && !term->end) {
            term->end = copy_end(end);
        }
    }
}

static bool
needs_response(const nm_authority_t *authority, const nm_former_term_t *term,
               nm_ms_t now_ms)
{
    return term->address[0] != '\0' && !term->host_responded &&
           term->proof != NM_TERM_PROOF_HANDED_OVER &&
           (term->proof == NM_TERM_PROOF_NONE ||
            now_ms < authority->elected_ms + ASK_AFTER_PROOF_MS);
}

/* Asks each host once, however many terms it has held. */
static void
ask_hosts(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_authority_t *authority = &entry->authority;
    if (now_ms < authority->ask_due_ms) {
        return;
    }
    authority->ask_due_ms = now_ms + authority->ask_interval_ms;
    authority->ask_interval_ms =
        MIN(2 * authority->ask_interval_ms, ASK_INTERVAL_MAX_MS);
    for (guint i = 0; i < former_count(entry); i++) {
        const nm_former_term_t *term = former_at(entry, i);
        bool due = needs_response(authority, term, now_ms);
        for (guint j = 0; j < i && due; j++) {
            const nm_former_term_t *other = former_at(entry, j);
            due = !needs_response(authority, other, now_ms) ||
                  strcmp(other->address, term->address) != 0;
        }
        if (!due) {
            continue;
        }
        NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
        request.type = NM_PB__ENTRY_ASK__TYPE__TERMS;
        request.epoch = entry->owned_epoch;
        if (nm_peer_rpc_send(entry->desc.peers, term->address, &request) < 0) {
            nm_count_reason(NM_REASON_PEER_LOST);
        }
    }
}

/* A majority of the witnesses accepts no call of any former owner. */
static void
check_witnesses(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_authority_t *authority = &entry->authority;
    if (authority->list_unreadable ||
        !nm_quorum_has_responded(&authority->quorum)) {
        return;
    }
    /* Without witnesses, none had authority by their majority. */
    bool no_witnesses = authority->quorum.stored->len == 0;
    nm_ms_t since_ms = no_witnesses ? authority->elected_ms : now_ms;
    nm_former_prove_all(&authority->former, NM_TERM_PROOF_WITNESSES,
                        since_ms + NM_AUTHORITY_MS);
}

static json_t *
encode_proofs(const nm_entry_t *entry)
{
    json_t *proofs = json_object();
    for (guint i = 0; i < former_count(entry); i++) {
        const nm_former_term_t *term = former_at(entry, i);
        char epoch[24];
        g_snprintf(epoch, sizeof(epoch), "%lld", (long long)term->epoch);
        json_object_set_new(proofs, epoch,
                            json_pack("{s:s,s:s}", "host", term->host, "proof",
                                      nm_term_proof_name(term->proof)));
    }
    return proofs;
}

static void
log_unresolved(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_authority_t *authority = &entry->authority;
    if (now_ms < authority->unresolved_due_ms) {
        return;
    }
    authority->unresolved_due_ms = now_ms + UNRESOLVED_LOG_INTERVAL_MS;
    int responded = 0;
    int replaced = 0;
    int refused = 0;
    int silent = 0;
    int unannounced = 0;
    const GPtrArray *stored = authority->quorum.stored;
    for (guint i = 0; i < stored->len; i++) {
        const nm_witness_life_t *listed = stored->pdata[i];
        const nm_witness_t *witness =
            nm_quorum_find(&authority->quorum, listed->id);
        if (witness->responded) {
            responded++;
        }
        else if (nm_quorum_is_resolved(&authority->quorum, listed)) {
            replaced++;
        }
        else {
            refused += witness->refused;
            silent += !witness->refused;
            unannounced += !witness->announced;
        }
    }
    nm_log(NM_LOG_WARN, NM_LOG_ITEM_FORMER_UNRESOLVED,
           "{s:I,s:I,s:o,s:i,s:i,s:i,s:i,s:i,s:i,s:b}", "epoch",
           (json_int_t)entry->owned_epoch, "waited_ms",
           (json_int_t)(now_ms - authority->elected_ms), "terms",
           encode_proofs(entry), "witnesses", (int)stored->len, "responded",
           responded, "replaced", replaced, "refused", refused, "silent",
           silent, "unannounced", unannounced, "list_unreadable",
           authority->list_unreadable);
}

/* Bounds the leases of workers that were silent when the last term ended. */
static void
limit_leases(nm_entry_t *entry)
{
    const nm_term_end_t *end = nm_former_newest_end(&entry->authority.former);
    if (!end) {
        return;
    }
    GHashTableIter iter;
    gpointer worker;
    gpointer lapse_ms;
    g_hash_table_iter_init(&iter, end->silent);
    while (g_hash_table_iter_next(&iter, &worker, &lapse_ms)) {
        nm_sched_limit_former_lease(entry->sched, worker,
                                    *(nm_ms_t *)lapse_ms);
    }
}

/* Tells the scheduler until when former owners may have renewed leases. */
static void
apply_end(nm_entry_t *entry)
{
    nm_authority_t *authority = &entry->authority;
    authority->former_until_ms =
        nm_former_until_ms(&authority->former, authority->elected_ms);
    nm_sched_set_former_until(entry->sched, authority->former_until_ms);
    limit_leases(entry);
}

void
nm_succession_handle_response(nm_entry_t *entry, const NmPb__TermEnd *response)
{
    if (entry->role != NM_ROLE_OWNER ||
        response->asked_epoch != entry->owned_epoch)
    {
        return;
    }
    nm_ms_t now_ms = nm_entry_now(entry);
    nm_term_end_t *end = nm_term_end_new(response->epoch, response->complete);
    for (size_t i = 0; i < response->n_silent; i++) {
        const NmPb__SilentWorker *row = response->silent[i];
        if (row->remaining_ms >= 0 && row->remaining_ms <= NM_DURATION_MAX_MS)
        {
            nm_term_end_add_silent(end, row->worker,
                                   now_ms + row->remaining_ms);
        }
    }
    apply_host(entry, response->address, response->process, end, now_ms);
    nm_term_end_free(end);
    if (entry->authority.former_over) {
        apply_end(entry);
    }
}

void
nm_succession_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_authority_t *authority = &entry->authority;
    if (!authority->former_over) {
        check_witnesses(entry, now_ms);
        nm_former_expire(&authority->former, now_ms);
    }
    ask_hosts(entry, now_ms);
    if (authority->former_over) {
        return;
    }
    if (!nm_former_is_over(&authority->former)) {
        log_unresolved(entry, now_ms);
        return;
    }
    authority->former_over = true;
    authority->proofs_due = former_count(entry) > 0;
    apply_end(entry);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_FORMER_OVER, "{s:I,s:I,s:o,s:i}", "epoch",
           (json_int_t)entry->owned_epoch, "after_ms",
           (json_int_t)(authority->former_until_ms - authority->elected_ms),
           "terms", encode_proofs(entry), "witnesses",
           (int)authority->quorum.stored->len);
}

void
nm_succession_activate(nm_entry_t *entry)
{
    nm_authority_t *authority = &entry->authority;
    if (authority->handed_over && former_count(entry) > 0) {
        nm_former_prove_all(&authority->former, NM_TERM_PROOF_HANDED_OVER,
                            authority->elected_ms);
        former_at(entry, former_count(entry) - 1)->end =
            authority->handed_over;
        authority->handed_over = NULL;
    }
    apply_host(entry, entry->desc.peer_address, entry->process,
               entry->term_end, authority->elected_ms);
    nm_sched_activate(entry->sched, authority->former_until_ms);
    nm_succession_run(entry, nm_entry_now(entry));
}
