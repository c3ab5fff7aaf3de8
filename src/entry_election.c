/*
 * Election of the owner, by a key with a lease and an epoch that only rises.
 *
 * Candidates with less CPU than the largest host, and those further from the
 * store, wait longer before they try: a host with a small part of a core falls
 * behind on a large fleet, wherever it is.  A restarted process of the owner
 * takes over at once; a stopping owner stores its progress, revokes its lease
 * and steps down.
 *
 * An owner that lags yields to a host with clearly more CPU that carries its
 * orders: it may have been elected while the large hosts were away.  The owner
 * elected after that does not yield in turn, so that the ownership cannot move
 * on and on among small hosts, while no large one reaches the store.
 */
#include "entry_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

#include "address.h"
#include "json_get.h"

/* Lease of the owner key; the platform's minimum is 1000 ms. */
#define OWNER_LEASE_MS 1500
/* Three renewals fit into a lease. */
#define OWNER_RENEW_INTERVAL_MS 400
/*
 * As many renewals, and reads of the owner key, are in flight as fit into the
 * timeout of a call, so that one is sent at each interval: if they waited for
 * responses that cannot come, as on connections that have gone silent, the
 * lease would expire.
 */
#define RENEWALS_IN_FLIGHT_MAX 4
/* Longest time for which a stopping owner waits to store its progress. */
#define HAND_OVER_TIMEOUT_MS 400
/*
 * Delay of a candidate whose cpu_share is 0; the largest host has none.  One
 * with half of the CPU waits for as long as the largest in another region.
 */
#define ELECTION_CPU_DELAY_MAX_MS 400
/* Delay of a candidate as a multiple of its fastest listing of the store. */
#define ELECTION_LATENCY_FACTOR 3
/* An owner yields after this many lines in the log that it is overloaded. */
#define YIELD_LATE_LINES_MIN 5
/* A host to yield to has at least this multiple of the owner's CPU. */
#define YIELD_CPU_FACTOR 2
/* An owner that has yielded is no candidate for this long. */
#define YIELD_PAUSE_MS 5000
/* Pause after a failed election. */
#define ELECTION_RETRY_MS 250
/* Random delay that separates candidates with equal CPU and latency. */
#define ELECTION_JITTER_MAX_MS 20

/* No host is known to be the owner; revision: of the owner key, or 0. */
static void
set_vacant(nm_entry_t *entry, int64_t revision, const char *reason)
{
    entry->owner = (nm_owner_t){.revision = revision};
    entry->vacant_since_ms = nm_entry_now(entry);
    if (entry->owned_epoch > 0) {
        nm_term_step_down(entry, reason);
    }
}

static void
refuse_control(nm_entry_t *entry, const nm_store_kv_t *item, const char *fault)
{
    nm_refusals_log(&entry->refusals, NM_LOG_ITEM_OWNER_REFUSED, "key",
                    item->key, fault, nm_entry_now(entry));
}

static void
apply_owner_record(nm_entry_t *entry, const nm_store_kv_t *item)
{
    if (!item->value) {
        set_vacant(entry, 0, "the owner key was deleted");
        return;
    }
    nm_owner_t owner = {.present = true, .revision = item->mod_revision};
    json_t *record =
        json_loadb((const char *)item->value, item->value_bytes, 0, NULL);
    bool valid =
        nm_json_copy_string(record, "name", owner.name, sizeof(owner.name)) &&
        nm_json_copy_string(record, "address", owner.address,
                            sizeof(owner.address)) &&
        nm_address_is_peer(owner.address) &&
        nm_json_copy_string(record, "token", owner.token,
                            sizeof(owner.token)) &&
        nm_json_get_int(json_object_get(record, "epoch"), NM_COUNT_MAX,
                        &owner.epoch);
    json_decref(record);
    if (!valid) {
        /* It names no owner; the next election replaces it. */
        refuse_control(entry, item,
                       "name, address, token or epoch is missing");
        set_vacant(entry, item->mod_revision, "the owner key is unreadable");
        return;
    }
    entry->owner = owner;
    entry->epoch = MAX(entry->epoch, owner.epoch);
    entry->vacant_since_ms = 0;
    if (entry->owned_epoch > 0 && strcmp(owner.token, entry->token) != 0) {
        nm_term_step_down(entry, "another host is the owner");
    }
}

/* Returns 0 for a value that is no whole number from 1 to 2^53. */
static int64_t
read_number(nm_entry_t *entry, const nm_store_kv_t *item)
{
    guint64 number = 0;
    if (!g_ascii_string_to_unsigned((const char *)item->value, 10, 1,
                                    NM_COUNT_MAX, &number, NULL))
    {
        refuse_control(entry, item, "not a whole number from 1 to 2^53");
    }
    return (int64_t)number;
}

/* An unreadable epoch is replaced by the next election. */
static void
apply_epoch_record(nm_entry_t *entry, const nm_store_kv_t *item)
{
    int64_t epoch = read_number(entry, item);
    if (item->mod_revision > entry->epoch_revision) {
        entry->epoch = MAX(entry->epoch, epoch);
        entry->epoch_revision = item->mod_revision;
    }
}

void
nm_election_apply_control(nm_entry_t *entry, const nm_store_kv_t *item)
{
    if (strcmp(item->key, NM_KEY_OWNER) == 0) {
        apply_owner_record(entry, item);
    }
    else if (strcmp(item->key, NM_KEY_CPU_SHARE) == 0 && item->value) {
        entry->cpu_share_max_permille =
            MIN(read_number(entry, item), 1000 * NM_CPU_SHARE_MAX);
    }
    else if (strcmp(item->key, NM_KEY_YIELDED) == 0 && item->value) {
        entry->yielded_epoch = read_number(entry, item);
    }
    else if (strcmp(item->key, NM_KEY_EPOCH) == 0 && item->value) {
        apply_epoch_record(entry, item);
    }
    else if (strcmp(item->key, NM_KEY_TERMS) == 0) {
        nm_succession_apply(entry, item);
    }
}

static void
on_elected(void *user, const nm_kv_result_t *result)
{
    nm_ms_t sent_ms = nm_term_call_sent_ms(user);
    nm_entry_t *entry = nm_term_call_end(user);
    if (!entry || entry->role != NM_ROLE_CANDIDATE) {
        return;
    }
    nm_entry_record_store_result(entry, result->rc);
    entry->role = NM_ROLE_FOLLOWER;
    entry->vacant_since_ms = nm_entry_now(entry) + ELECTION_RETRY_MS;
    if (result->rc == NM_OK && entry->candidate_epoch < entry->fenced_epoch) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_ELECTION_FAILED, "{s:I,s:s}", "epoch",
               (json_int_t)entry->candidate_epoch, "reason",
               "a newer owner is known");
        return;
    }
    if (result->rc == NM_OK) {
        /* The feed may have delivered this epoch before the response. */
        if (entry->epoch <= entry->candidate_epoch) {
            entry->epoch = entry->candidate_epoch;
            entry->epoch_revision = result->revision;
        }
        entry->renew_due_ms = nm_entry_now(entry) + OWNER_RENEW_INTERVAL_MS;
        nm_authority_begin(entry, sent_ms);
        nm_succession_begin(entry);
        nm_takeover_begin(entry, entry->candidate_epoch, result->revision);
        return;
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_ELECTION_FAILED, "{s:I,s:s}", "epoch",
           (json_int_t)entry->candidate_epoch, "reason",
           nm_error_text(result->rc));
    if (result->rc != NM_ERR_CONFLICT) {
        return;
    }
    for (uint32_t i = 0; i < result->item_count; i++) {
        nm_election_apply_control(entry, &result->items[i]);
    }
}

static void
campaign(nm_entry_t *entry)
{
    char epoch[24];
    entry->candidate_epoch =
        MAX(entry->epoch, nm_former_newest_epoch(&entry->terms)) + 1;
    snprintf(epoch, sizeof(epoch), "%lld", (long long)entry->candidate_epoch);
    snprintf(entry->token, sizeof(entry->token), "%016llx",
             (unsigned long long)nm_rng_next(&entry->rng));
    json_t *record =
        json_pack("{s:s,s:s,s:s,s:I}", "name", entry->desc.name, "address",
                  entry->desc.peer_address, "token", entry->token, "epoch",
                  (json_int_t)entry->candidate_epoch);
    char *text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    /* Fails if another owner was elected in the meantime. */
    nm_store_txn_expect(&txn, NM_KEY_OWNER, entry->replaced_owner_revision);
    nm_store_txn_expect(&txn, NM_KEY_EPOCH, entry->epoch_revision);
    nm_store_txn_put(&txn, NM_KEY_OWNER, text, (uint32_t)strlen(text),
                     entry->lease);
    nm_store_txn_put(&txn, NM_KEY_EPOCH, epoch, (uint32_t)strlen(epoch), 0);
    nm_succession_put_candidate(entry, &txn);
    nm_kv_commit(entry->desc.kv, &txn, on_elected, nm_term_call_new(entry));
    nm_store_txn_finish(&txn);
    free(text);
}

static void
on_lease_granted(void *user, const nm_kv_result_t *result)
{
    nm_entry_t *entry = nm_term_call_end(user);
    if (!entry || entry->role != NM_ROLE_CANDIDATE) {
        return;
    }
    nm_entry_record_store_result(entry, result->rc);
    if (result->rc != NM_OK || result->lease == 0) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_ELECTION_FAILED, "{s:I,s:s}", "epoch",
               (json_int_t)entry->epoch + 1, "reason",
               nm_error_text(result->rc));
        entry->role = NM_ROLE_FOLLOWER;
        entry->vacant_since_ms = nm_entry_now(entry) + ELECTION_RETRY_MS;
        return;
    }
    entry->lease = result->lease;
    campaign(entry);
}

/* A restarted process need not wait for its earlier lease to expire. */
static bool
owner_is_previous_incarnation(const nm_entry_t *entry)
{
    return entry->owner.present && entry->owned_epoch == 0 &&
           strcmp(entry->owner.name, entry->desc.name) == 0 &&
           strcmp(entry->owner.token, entry->token) != 0;
}

/* Delay of a candidate that has less CPU than the largest host. */
static nm_ms_t
cpu_delay_ms(const nm_entry_t *entry)
{
    double largest = (double)entry->cpu_share_max_permille / 1000;
    largest = largest > 0 ? MAX(largest, entry->desc.cpu_share) : 1.0;
    double share = MIN(entry->desc.cpu_share / largest, 1.0);
    return (nm_ms_t)(ELECTION_CPU_DELAY_MAX_MS * (1 - share));
}

void
nm_election_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (entry->role != NM_ROLE_FOLLOWER || entry->stopping ||
        !entry->control_feed.listed || !entry->queue_config)
    {
        return;
    }
    if (!owner_is_previous_incarnation(entry)) {
        if (entry->owner.present || now_ms < entry->candidate_after_ms) {
            return;
        }
        if (entry->vacant_since_ms == 0) {
            entry->vacant_since_ms = now_ms;
        }
        nm_ms_t delay_ms =
            cpu_delay_ms(entry) +
            ELECTION_LATENCY_FACTOR * entry->control_feed.min_list_latency_ms +
            nm_rng_below(&entry->rng, ELECTION_JITTER_MAX_MS);
        if (now_ms < entry->vacant_since_ms + delay_ms) {
            return;
        }
    }
    entry->role = NM_ROLE_CANDIDATE;
    entry->replaced_owner_revision = entry->owner.revision;
    nm_kv_lease_grant(entry->desc.kv, OWNER_LEASE_MS, on_lease_granted,
                      nm_term_call_new(entry));
}

static void
on_renewed(void *user, const nm_kv_result_t *result)
{
    nm_ms_t sent_ms = nm_term_call_sent_ms(user);
    nm_entry_t *entry = nm_term_call_end(user);
    if (!entry) {
        return;
    }
    entry->renewals--;
    nm_load_on_call(entry, NM_CALL_RENEW, nm_load_store_outcome(result->rc),
                    nm_clock_now_with_suspend(entry->desc.clock) - sent_ms);
    nm_entry_record_store_result(entry, result->rc);
    nm_entry_evacuation_on_renewal(entry, result->rc);
    if (result->rc == NM_ERR_NOT_FOUND) {
        nm_term_step_down(entry, "the lease of the owner key has expired");
    }
}

static void
on_owner_read(void *user, const nm_kv_result_t *result)
{
    nm_ms_t sent_ms = nm_term_call_sent_ms(user);
    nm_entry_t *entry = nm_term_call_end(user);
    if (!entry) {
        return;
    }
    entry->owner_reads--;
    /* The renewals sent at the same time tell whether the store responds. */
    if (result->rc == NM_ERR_NOT_FOUND ||
        (result->rc == NM_OK && result->item_count > 0))
    {
        nm_term_check_owner_key(entry, result, sent_ms);
    }
}

/*
 * A renewed lease shows no ownership, as the key may have been taken away. The
 * key is read unless another call has shown it since the last interval.
 */
static void
read_owner_key(nm_entry_t *entry)
{
    nm_ms_t confirmed_ago_ms = nm_clock_now_with_suspend(entry->desc.clock) -
                               entry->authority.confirmed_ms;
    if (confirmed_ago_ms >= OWNER_RENEW_INTERVAL_MS &&
        entry->owner_reads < RENEWALS_IN_FLIGHT_MAX)
    {
        entry->owner_reads++;
        nm_kv_get(entry->desc.kv, NM_KEY_OWNER, on_owner_read,
                  nm_term_call_new(entry));
    }
}

void
nm_election_renew(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (now_ms < entry->renew_due_ms) {
        return;
    }
    entry->renew_due_ms = now_ms + OWNER_RENEW_INTERVAL_MS;
    if (entry->renewals < RENEWALS_IN_FLIGHT_MAX) {
        entry->renewals++;
        nm_kv_lease_keepalive(entry->desc.kv, entry->lease, on_renewed,
                              nm_term_call_new(entry));
    }
    read_owner_key(entry);
}

typedef struct {
    nm_entry_t *entry;
    int64_t lease; /* of the owner key */
} hand_over_t;

static void
on_lease_revoked(void *user, const nm_kv_result_t *result)
{
    nm_entry_t *entry = user;
    if (result->rc != NM_OK) {
        /* The lease expires by itself. */
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_STORE_FAILED, "{s:s,s:s,s:s}", "host",
               entry->desc.name, "call", "lease end", "reason",
               nm_error_text(result->rc));
    }
}

static bool
should_yield(const nm_entry_t *entry)
{
    return entry->role == NM_ROLE_OWNER && !entry->store_lost &&
           entry->load.late_lines >= YIELD_LATE_LINES_MIN &&
           entry->yielded_epoch != entry->owned_epoch - 1 &&
           nm_order_relay_query_carrier_share_max(&entry->relay) >=
               YIELD_CPU_FACTOR * entry->desc.cpu_share;
}

/* If the key was not deleted, the lease is revoked, or expires by itself. */
static void
on_handed_over(void *user, const nm_kv_result_t *result)
{
    hand_over_t *hand_over = user;
    nm_entry_t *entry = hand_over->entry;
    if (result->rc != NM_OK) {
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_STORE_FAILED, "{s:s,s:s,s:s}", "host",
               entry->desc.name, "call", "hand-over", "reason",
               nm_error_text(result->rc));
        nm_kv_lease_revoke(entry->desc.kv, hand_over->lease, on_lease_revoked,
                           entry);
    }
    g_free(hand_over);
}

/*
 * Deletes the owner key, in one transaction with what the next owner needs to
 * know; the caller steps down.
 */
static void
hand_over(nm_entry_t *entry, nm_ms_t now_ms)
{
    char epoch[24];
    snprintf(epoch, sizeof(epoch), "%lld", (long long)entry->owned_epoch);
    nm_store_txn_t txn;
    nm_store_txn_init(&txn);
    nm_store_txn_expect(&txn, NM_KEY_OWNER, entry->owner_revision);
    if (!entry->stopping) {
        nm_store_txn_put(&txn, NM_KEY_YIELDED, epoch, (uint32_t)strlen(epoch),
                         0);
    }
    nm_succession_put_hand_over(entry, &txn, now_ms);
    nm_store_txn_delete(&txn, NM_KEY_OWNER, false);
    hand_over_t *call = g_new(hand_over_t, 1);
    *call = (hand_over_t){entry, entry->lease};
    nm_kv_commit(entry->desc.kv, &txn, on_handed_over, call);
    nm_store_txn_finish(&txn);
}

void
nm_election_check_hand_over(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (!entry->stopping && entry->yield_ms == 0) {
        if (!should_yield(entry)) {
            return;
        }
        entry->yield_ms = now_ms;
    }
    entry->commit_due_ms = now_ms;
    if (entry->role == NM_ROLE_OWNER) {
        nm_sched_begin_hand_over(entry->sched, now_ms);
    }
    bool stored = entry->role != NM_ROLE_OWNER ||
                  (!entry->committing && !nm_sched_has_saves(entry->sched));
    nm_ms_t since_ms = entry->stopping ? entry->stop_ms : entry->yield_ms;
    if (!stored && now_ms - since_ms <= HAND_OVER_TIMEOUT_MS) {
        return;
    }
    hand_over(entry, now_ms);
    if (!entry->stopping) {
        entry->candidate_after_ms = now_ms + YIELD_PAUSE_MS;
    }
    nm_term_step_down(entry, entry->stopping ? "handed over"
                                             : "handed over, as it lagged");
}
