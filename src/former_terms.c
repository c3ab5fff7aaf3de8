#include "former_terms.h"

#include <assert.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/limits.h>

#include "address.h"
#include "json_get.h"

static nm_former_term_t *
term_at(const nm_former_terms_t *terms, guint i)
{
    return terms->terms->pdata[i];
}

const char *
nm_term_proof_name(nm_term_proof_t proof)
{
    static const char *const names[NM_TERM_PROOF_COUNT] = {
#define X(name, label) label,
        NM_TERM_PROOF_LIST(X)
#undef X
    };
    assert(proof < NM_TERM_PROOF_COUNT);
    return names[proof];
}

nm_term_end_t *
nm_term_end_new(int64_t epoch, bool complete)
{
    nm_term_end_t *end = g_new(nm_term_end_t, 1);
    *end = (nm_term_end_t){
        epoch, complete,
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, g_free)};
    return end;
}

void
nm_term_end_free(nm_term_end_t *end)
{
    if (end) {
        g_hash_table_destroy(end->silent);
        g_free(end);
    }
}

void
nm_term_end_add_silent(nm_term_end_t *end, const char *worker,
                       nm_ms_t lapse_ms)
{
    assert(end && worker);
    g_hash_table_insert(end->silent, g_strdup(worker),
                        g_memdup2(&lapse_ms, sizeof(lapse_ms)));
}

static void
free_term(gpointer data)
{
    nm_former_term_t *term = data;
    nm_term_end_free(term->end);
    g_free(term);
}

void
nm_former_init(nm_former_terms_t *terms)
{
    assert(terms);
    *terms = (nm_former_terms_t){
        .terms = g_ptr_array_new_with_free_func(free_term)};
}

void
nm_former_finish(nm_former_terms_t *terms)
{
    assert(terms);
    g_ptr_array_free(terms->terms, TRUE);
}

void
nm_former_clear(nm_former_terms_t *terms)
{
    assert(terms);
    g_ptr_array_set_size(terms->terms, 0);
    terms->over = 0;
}

void
nm_former_copy(nm_former_terms_t *terms, const nm_former_terms_t *from)
{
    assert(terms && from && terms != from);
    nm_former_clear(terms);
    terms->over = from->over;
    for (guint i = 0; i < from->terms->len; i++) {
        nm_former_term_t *copy = g_memdup2(term_at(from, i), sizeof(*copy));
        copy->end = NULL;
        g_ptr_array_add(terms->terms, copy);
    }
}

static bool
is_same_process(const nm_former_term_t *a, const nm_former_term_t *b)
{
    return a->address[0] != '\0' && strcmp(a->address, b->address) == 0 &&
           strcmp(a->process, b->process) == 0;
}

void
nm_former_inherit(nm_former_terms_t *terms, nm_former_terms_t *from)
{
    assert(terms && from && terms != from);
    for (guint i = 0; i < terms->terms->len; i++) {
        nm_former_term_t *term = term_at(terms, i);
        for (guint j = 0; j < from->terms->len; j++) {
            nm_former_term_t *known = term_at(from, j);
            if (known->since != term->since || known->epoch != term->epoch) {
                continue;
            }
            term->until_ms = MIN(term->until_ms, known->until_ms);
            term->proof = known->proof;
            term->host_responded = known->host_responded;
            term->end = known->end;
            known->end = NULL;
        }
    }
    nm_former_clear(from);
}

static bool
decode_term(nm_former_term_t *term, const json_t *row)
{
    *term = (nm_former_term_t){0};
    const char *address = json_string_value(json_object_get(row, "address"));
    bool named = address && address[0] != '\0';
    return nm_json_get_int(json_object_get(row, "since"), NM_COUNT_MAX,
                           &term->since) &&
           nm_json_get_int(json_object_get(row, "epoch"), NM_COUNT_MAX,
                           &term->epoch) &&
           term->since <= term->epoch &&
           nm_json_get_int(json_object_get(row, "remaining_ms"),
                           NM_FORMER_AUTHORITY_MAX_MS, &term->until_ms) &&
           (!named ||
            (nm_address_is_peer(address) &&
             nm_strcopy(term->address, sizeof(term->address), address) &&
             nm_json_copy_string(row, "host", term->host,
                                 sizeof(term->host)) &&
             nm_json_copy_string(row, "process", term->process,
                                 sizeof(term->process))));
}

bool
nm_former_decode(nm_former_terms_t *terms, const void *text, uint32_t bytes)
{
    assert(terms);
    nm_former_clear(terms);
    json_t *record = text ? json_loadb(text, bytes, 0, NULL) : NULL;
    const json_t *rows = json_object_get(record, "terms");
    bool valid = nm_json_get_int(json_object_get(record, "over"), NM_COUNT_MAX,
                                 &terms->over) &&
                 json_is_array(rows);
    int64_t newest = terms->over;
    for (size_t i = 0; valid && i < json_array_size(rows); i++) {
        nm_former_term_t term;
        valid =
            decode_term(&term, json_array_get(rows, i)) && term.since > newest;
        if (valid) {
            newest = term.epoch;
            g_ptr_array_add(terms->terms, g_memdup2(&term, sizeof(term)));
        }
    }
    if (!valid) {
        nm_former_clear(terms);
    }
    json_decref(record);
    return valid;
}

static void
append_row(json_t *rows, const nm_former_term_t *term, int64_t since,
           nm_ms_t now_ms)
{
    nm_ms_t remaining_ms =
        CLAMP(term->until_ms - now_ms, 0, NM_FORMER_AUTHORITY_MAX_MS);
    json_array_append_new(
        rows,
        json_pack("{s:I,s:I,s:s,s:s,s:s,s:I}", "since", (json_int_t)since,
                  "epoch", (json_int_t)term->epoch, "host", term->host,
                  "address", term->address, "process", term->process,
                  "remaining_ms", (json_int_t)remaining_ms));
}

char *
nm_former_encode(const nm_former_terms_t *terms,
                 const nm_former_term_t *newest, nm_ms_t now_ms)
{
    assert(terms && newest);
    json_t *rows = json_array();
    int64_t over = terms->over;
    int64_t since = newest->since;
    for (guint i = 0; i < terms->terms->len; i++) {
        const nm_former_term_t *term = term_at(terms, i);
        if (term->proof != NM_TERM_PROOF_NONE && now_ms >= term->until_ms) {
            over = json_array_size(rows) == 0 ? term->epoch : over;
        }
        else if (i + 1 == terms->terms->len && is_same_process(term, newest)) {
            since = term->since;
        }
        else {
            append_row(rows, term, term->since, now_ms);
        }
    }
    append_row(rows, newest, since, now_ms);
    json_t *record =
        json_pack("{s:I,s:o}", "over", (json_int_t)over, "terms", rows);
    char *text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    return text;
}

int64_t
nm_former_newest_epoch(const nm_former_terms_t *terms)
{
    assert(terms);
    guint count = terms->terms->len;
    return count > 0 ? term_at(terms, count - 1)->epoch : terms->over;
}

/* Lets the second row stand for the first, too. */
static void
merge_oldest(nm_former_terms_t *terms)
{
    const nm_former_term_t *oldest = term_at(terms, 0);
    nm_former_term_t *next = term_at(terms, 1);
    nm_ms_t until_ms = MAX(oldest->until_ms, next->until_ms);
    if (is_same_process(oldest, next)) {
        next->since = oldest->since;
        next->until_ms = until_ms;
    }
    else {
        *next = (nm_former_term_t){.since = oldest->since,
                                   .epoch = next->epoch,
                                   .until_ms = until_ms};
    }
    g_ptr_array_remove_index(terms->terms, 0);
}

void
nm_former_cover(nm_former_terms_t *terms, int64_t epoch)
{
    assert(terms && epoch > 0);
    guint count = terms->terms->len;
    int64_t newest = count > 0 ? term_at(terms, count - 1)->epoch : 0;
    if (newest + 1 < epoch) {
        terms->over = MIN(terms->over, epoch - 2);
        nm_former_term_t unknown = {.since = MAX(newest, terms->over) + 1,
                                    .epoch = epoch - 1,
                                    .until_ms = NM_FORMER_AUTHORITY_MAX_MS};
        g_ptr_array_add(terms->terms, g_memdup2(&unknown, sizeof(unknown)));
    }
    /* With the term of that epoch. */
    while (terms->terms->len + 1 > NM_FORMER_TERMS_MAX) {
        merge_oldest(terms);
    }
}

void
nm_former_begin(nm_former_terms_t *terms, nm_ms_t elected_ms)
{
    assert(terms);
    for (guint i = 0; i < terms->terms->len; i++) {
        term_at(terms, i)->until_ms += elected_ms;
    }
}

void
nm_former_prove(nm_former_term_t *term, nm_term_proof_t proof, nm_ms_t over_ms)
{
    assert(term && proof != NM_TERM_PROOF_NONE);
    if (term->proof == NM_TERM_PROOF_NONE || over_ms < term->until_ms) {
        term->proof = proof;
        term->until_ms = MIN(term->until_ms, over_ms);
    }
}

void
nm_former_prove_all(nm_former_terms_t *terms, nm_term_proof_t proof,
                    nm_ms_t over_ms)
{
    assert(terms);
    for (guint i = 0; i < terms->terms->len; i++) {
        nm_former_prove(term_at(terms, i), proof, over_ms);
    }
}

void
nm_former_expire(nm_former_terms_t *terms, nm_ms_t now_ms)
{
    assert(terms);
    for (guint i = 0; i < terms->terms->len; i++) {
        nm_former_term_t *term = term_at(terms, i);
        if (now_ms >= term->until_ms) {
            nm_former_prove(term, NM_TERM_PROOF_EXPIRED, term->until_ms);
        }
    }
}

bool
nm_former_is_over(const nm_former_terms_t *terms)
{
    assert(terms);
    for (guint i = 0; i < terms->terms->len; i++) {
        if (term_at(terms, i)->proof == NM_TERM_PROOF_NONE) {
            return false;
        }
    }
    return true;
}

nm_ms_t
nm_former_until_ms(const nm_former_terms_t *terms, nm_ms_t from_ms)
{
    assert(terms);
    nm_ms_t until_ms = from_ms;
    for (guint i = 0; i < terms->terms->len; i++) {
        until_ms = MAX(until_ms, term_at(terms, i)->until_ms);
    }
    return until_ms;
}

const nm_term_end_t *
nm_former_newest_end(const nm_former_terms_t *terms)
{
    assert(terms);
    for (guint i = terms->terms->len; i > 0; i--) {
        const nm_former_term_t *term = term_at(terms, i - 1);
        if (!term->end) {
            return NULL;
        }
        if (term->end->epoch >= term->since) {
            return term->end->complete ? term->end : NULL;
        }
        /* Its host gave no orders in these terms. */
    }
    return NULL;
}
