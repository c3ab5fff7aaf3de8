/*
 * Lives of workers: proves from the platform's list of machines that the
 * incarnation of a worker has ended.
 *
 * Load: workers that are gone for good, in tens at a time; calls to the
 * platform are priced and limited, and it may be slow, unavailable or refuse
 * calls.
 *
 * The list names the worker that lives on each machine, but not its
 * incarnation, and its pages are no snapshot.  A listing decides on
 * incarnations that were known before its first call was sent.  One that lives
 * on is on its machine all the time, so that the row of this machine shows its
 * id whenever it is read.  So a complete listing without the id shows that
 * the incarnation has ended.  If the id is listed, nothing is shown, as the
 * worker may have started again under it.
 *
 * Of a worker that fell silent soon after a start only the hash of the id is
 * stored.  Another worker with this hash hides its end, but shows none.
 *
 * Only the owner asks, only while a silent worker or witness holds up others,
 * and with one listing in flight.
 */
#include "entry_state.h"

#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

/* A worker or witness that is silent for longer is looked up. */
#define SILENT_MIN_MS 800
/*
 * A listing does not decide on incarnations that were first heard of shortly
 * before it was requested, as it may be served from a copy.
 */
#define KNOWN_MIN_MS 1000
/* Between checks for silent workers. */
#define CHECK_INTERVAL_MS 100
/* Workers that fall silent together are noticed within this time. */
#define GATHER_MS 300
/* Between listings; it doubles with each one that decides nothing. */
#define LIST_INTERVAL_MIN_MS 1000
#define LIST_INTERVAL_MAX_MS 8000
/* For this long, a response of an incarnation that has ended is looked for. */
#define CONTRADICTION_MAX_MS 60000
/* Of listings that the platform divides into pages, as rows may be skipped. */
#define PAGED_LISTINGS_MIN 2
/* A listing that lacks more of the workers that respond is not used. */
#define UNLISTED_SHARE_MAX 0.5

typedef struct {
    nm_witness_life_t life;
    bool is_witness;      /* a listed one that may confirm a former owner */
    uint32_t worker_hash; /* of a silence whose worker's id is unknown; or 0 */
    nm_ms_t ended_ms; /* when the listing that showed its end was complete */
} life_t;

typedef struct {
    nm_entry_t *entry;
    int64_t owned_epoch;
    nm_ms_t sent_ms;
} listing_t;

static void
add_life(GArray *lives, const char *id, const char *address,
         int64_t incarnation, bool is_witness)
{
    life_t row = {.life.incarnation = incarnation, .is_witness = is_witness};
    nm_strcopy(row.life.id, sizeof(row.life.id), id);
    nm_strcopy(row.life.address, sizeof(row.life.address), address);
    g_array_append_val(lives, row);
}

static void
reset(nm_lives_t *lives)
{
    if (lives->asked) {
        g_array_free(lives->asked, TRUE);
        g_array_free(lives->ended, TRUE);
        g_hash_table_destroy(lives->missing);
    }
    bool distrusted = lives->distrusted;
    *lives = (nm_lives_t){.distrusted = distrusted};
}

static void
begin_term(nm_entry_t *entry)
{
    nm_lives_t *lives = &entry->lives;
    reset(lives);
    lives->owned_epoch = entry->owned_epoch;
    lives->interval_ms = LIST_INTERVAL_MIN_MS;
    lives->asked = g_array_new(FALSE, FALSE, sizeof(life_t));
    lives->ended = g_array_new(FALSE, FALSE, sizeof(life_t));
    lives->missing =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
}

void
nm_lives_finish(nm_entry_t *entry)
{
    reset(&entry->lives);
}

/* --- silent workers --- */

static void
ask_for_worker(void *user, const nm_sched_contact_t *contact)
{
    nm_entry_t *entry = user;
    nm_ms_t now_ms = nm_entry_now(entry);
    if (contact->waits && now_ms - contact->heard_ms >= SILENT_MIN_MS &&
        now_ms - contact->known_ms >= KNOWN_MIN_MS)
    {
        add_life(entry->lives.asked, contact->id, "", contact->incarnation,
                 false);
    }
}

static void
ask_for_witness(void *user, const nm_witness_life_t *life)
{
    nm_entry_t *entry = user;
    if (life->incarnation > 0) {
        add_life(entry->lives.asked, life->id, life->address,
                 life->incarnation, true);
    }
}

/* Unlike the others, it holds tasks up also once its lease has lapsed. */
static void
ask_for_silence(void *user, const nm_sched_silence_t *silence)
{
    nm_entry_t *entry = user;
    if (nm_entry_now(entry) - silence->known_ms >= KNOWN_MIN_MS) {
        life_t row = {.life.incarnation = silence->incarnation,
                      .worker_hash = silence->worker_hash};
        g_array_append_val(entry->lives.asked, row);
    }
}

static bool
is_life_of(const life_t *row, const char *worker, int64_t incarnation)
{
    return row->life.incarnation == incarnation &&
           (row->worker_hash != 0
                ? row->worker_hash == nm_sched_hash_worker(worker)
                : strcmp(row->life.id, worker) == 0);
}

/*
 * An incarnation has responded to a call that was sent after its end was
 * shown: the list is no proof here.
 */
static void
check_contradiction(void *user, const nm_sched_contact_t *contact)
{
    nm_entry_t *entry = user;
    const GArray *ended = entry->lives.ended;
    for (guint i = 0; i < ended->len; i++) {
        const life_t *row = &g_array_index(ended, life_t, i);
        if (contact->reported_ms > row->ended_ms &&
            is_life_of(row, contact->id, contact->incarnation))
        {
            if (!entry->lives.distrusted) {
                nm_log(NM_LOG_WARN, NM_LOG_ITEM_LIFE_CONTRADICTED,
                       "{s:s,s:I,s:I,s:I}", "worker", contact->id,
                       "incarnation", (json_int_t)contact->incarnation,
                       "after_ms",
                       (json_int_t)(contact->reported_ms - row->ended_ms),
                       "epoch", (json_int_t)entry->owned_epoch);
            }
            entry->lives.distrusted = true;
        }
    }
}

static void
check_ended(nm_entry_t *entry, nm_ms_t now_ms)
{
    GArray *ended = entry->lives.ended;
    if (ended->len > 0) {
        nm_sched_visit_contacts(entry->sched, check_contradiction, entry);
    }
    for (guint i = ended->len; i > 0; i--) {
        const life_t *row = &g_array_index(ended, life_t, i - 1);
        if (now_ms - row->ended_ms >= CONTRADICTION_MAX_MS) {
            g_array_remove_index_fast(ended, i - 1);
        }
    }
}

/* --- listings --- */

typedef struct {
    GHashTable *listed; /* ids of workers */
    nm_ms_t sent_ms;
    uint32_t known_listed;
    uint32_t responded; /* since then */
    uint32_t unlisted;  /* of these */
} plausibility_t;

static void
check_listed(void *user, const nm_sched_contact_t *contact)
{
    plausibility_t *check = user;
    bool listed = g_hash_table_contains(check->listed, contact->id);
    check->known_listed += listed;
    if (contact->reachable && contact->heard_ms >= check->sent_ms) {
        check->responded++;
        check->unlisted += !listed;
    }
}

/* Returns why a listing shows nothing; NULL: it is used. */
static const char *
find_fault(const nm_entry_t *entry, const nm_machine_list_t *list,
           GHashTable *listed, nm_ms_t sent_ms)
{
    if (list->rc != NM_OK) {
        return list->rc == NM_ERR_CORRUPT ? "malformed" : "unavailable";
    }
    plausibility_t check = {.listed = listed, .sent_ms = sent_ms};
    nm_sched_visit_contacts(entry->sched, check_listed, &check);
    if (check.known_listed == 0) {
        return "no known worker is listed";
    }
    return check.unlisted > UNLISTED_SHARE_MAX * check.responded
               ? "workers that respond are not listed"
               : NULL;
}

/* Counts listings in a row that lack an incarnation. */
static uint32_t
count_missing(nm_lives_t *lives, GHashTable *missing, const life_t *row)
{
    char *key = row->worker_hash != 0
                    ? g_strdup_printf("#%u %lld", row->worker_hash,
                                      (long long)row->life.incarnation)
                    : g_strdup_printf("%s %lld", row->life.id,
                                      (long long)row->life.incarnation);
    uint32_t count =
        1 + GPOINTER_TO_UINT(g_hash_table_lookup(lives->missing, key));
    g_hash_table_replace(missing, key, GUINT_TO_POINTER(count));
    return count;
}

static bool
apply_end(nm_entry_t *entry, const life_t *row, nm_ms_t sent_ms,
          nm_ms_t now_ms)
{
    if (row->worker_hash != 0) {
        nm_sched_on_silent_worker_ended(entry->sched, row->worker_hash,
                                        row->life.incarnation, sent_ms,
                                        now_ms);
    }
    else if (row->is_witness) {
        nm_authority_on_life_ended(entry, &row->life);
    }
    else if (!nm_sched_on_worker_ended(entry->sched, row->life.id,
                                       row->life.incarnation, sent_ms, now_ms))
    {
        return false;
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_LIFE_ENDED,
           "{s:s,s:I,s:b,s:b,s:s,s:I,s:I}", "worker", row->life.id,
           "incarnation", (json_int_t)row->life.incarnation, "witness",
           row->is_witness, "silence", row->worker_hash != 0, "evidence",
           nm_crash_evidence_name(NM_CRASH_EVIDENCE_MACHINES), "listing_ms",
           (json_int_t)(now_ms - sent_ms), "epoch",
           (json_int_t)entry->owned_epoch);
    life_t ended = *row;
    ended.ended_ms = now_ms;
    g_array_append_val(entry->lives.ended, ended);
    return true;
}

/* What a listing has shown of the incarnations that were asked for. */
typedef struct {
    uint32_t ended;
    uint32_t unconfirmed; /* not listed, but another listing has to show it */
} findings_t;

/* Returns a set of the hashes of listed workers. */
static GHashTable *
hash_listed(GHashTable *listed)
{
    GHashTable *hashes = g_hash_table_new(NULL, NULL);
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, listed);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        g_hash_table_add(hashes, GUINT_TO_POINTER(nm_sched_hash_worker(id)));
    }
    return hashes;
}

static findings_t
apply_listing(nm_entry_t *entry, const nm_machine_list_t *list,
              GHashTable *listed, nm_ms_t sent_ms, nm_ms_t now_ms)
{
    nm_lives_t *lives = &entry->lives;
    GHashTable *missing =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    GHashTable *hashes = hash_listed(listed);
    uint32_t listings_min = list->pages > 1 ? PAGED_LISTINGS_MIN : 1;
    findings_t findings = {0};
    for (guint i = 0; i < lives->asked->len; i++) {
        const life_t *row = &g_array_index(lives->asked, life_t, i);
        bool is_listed = row->worker_hash != 0
                             ? g_hash_table_contains(
                                   hashes, GUINT_TO_POINTER(row->worker_hash))
                             : g_hash_table_contains(listed, row->life.id);
        if (is_listed) {
            continue;
        }
        if (count_missing(lives, missing, row) < listings_min) {
            findings.unconfirmed++;
        }
        else if (apply_end(entry, row, sent_ms, now_ms)) {
            findings.ended++;
        }
    }
    g_hash_table_destroy(hashes);
    g_hash_table_destroy(lives->missing);
    lives->missing = missing;
    return findings;
}

static void
on_machines(void *user, const nm_machine_list_t *list)
{
    listing_t *listing = user;
    nm_entry_t *entry = listing->entry;
    nm_ms_t sent_ms = listing->sent_ms;
    nm_lives_t *lives = &entry->lives;
    bool current = listing->owned_epoch == entry->owned_epoch &&
                   listing->owned_epoch == lives->owned_epoch;
    g_free(listing);
    if (!current || entry->role != NM_ROLE_OWNER) {
        return;
    }
    lives->pending = false;
    nm_ms_t now_ms = nm_entry_now(entry);
    GHashTable *listed = g_hash_table_new(g_str_hash, g_str_equal);
    for (uint32_t i = 0; i < list->count; i++) {
        if (list->machines[i].worker[0] != '\0') {
            g_hash_table_add(listed, (gpointer)list->machines[i].worker);
        }
    }
    const char *fault = find_fault(entry, list, listed, sent_ms);
    findings_t findings = {0};
    if (!fault) {
        findings = apply_listing(entry, list, listed, sent_ms, now_ms);
    }
    if (fault) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_MACHINES_UNKNOWN,
               "{s:s,s:i,s:i,s:I,s:I}", "reason", fault, "asked",
               (int)lives->asked->len, "pages", (int)list->pages, "listing_ms",
               (json_int_t)(now_ms - sent_ms), "epoch",
               (json_int_t)entry->owned_epoch);
    }
    if (findings.ended > 0 || findings.unconfirmed > 0) {
        lives->interval_ms = LIST_INTERVAL_MIN_MS;
    }
    else {
        lives->interval_ms =
            MIN(2 * lives->interval_ms, (nm_ms_t)LIST_INTERVAL_MAX_MS);
    }
    lives->list_due_ms =
        findings.unconfirmed > 0 ? now_ms : now_ms + lives->interval_ms;
    g_hash_table_destroy(listed);
    entry->sched_due_ms = 0;
}

void
nm_lives_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_lives_t *lives = &entry->lives;
    if (!entry->desc.machines) {
        return;
    }
    if (lives->owned_epoch != entry->owned_epoch) {
        begin_term(entry);
    }
    if (now_ms < lives->check_due_ms) {
        return;
    }
    lives->check_due_ms = now_ms + CHECK_INTERVAL_MS;
    check_ended(entry, now_ms);
    if (lives->distrusted || lives->pending) {
        return;
    }
    g_array_set_size(lives->asked, 0);
    nm_sched_visit_contacts(entry->sched, ask_for_worker, entry);
    nm_sched_visit_silences(entry->sched, now_ms, ask_for_silence, entry);
    if (now_ms - entry->authority.elected_ms >= KNOWN_MIN_MS) {
        nm_authority_visit_unresolved(entry, ask_for_witness, entry);
    }
    if (lives->asked->len == 0) {
        lives->silent = false;
        lives->interval_ms = LIST_INTERVAL_MIN_MS;
        return;
    }
    if (!lives->silent) {
        lives->silent = true;
        lives->list_due_ms = MAX(lives->list_due_ms, now_ms + GATHER_MS);
    }
    if (now_ms >= lives->list_due_ms) {
        lives->pending = true;
        listing_t *listing = g_new(listing_t, 1);
        *listing = (listing_t){entry, entry->owned_epoch, now_ms};
        nm_machine_port_list(entry->desc.machines, on_machines, listing);
    }
}
