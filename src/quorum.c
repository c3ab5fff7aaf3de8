#include "quorum.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

typedef struct {
    uint64_t hash;
    const char *id;
} ranked_id_t;

void
nm_quorum_init(nm_quorum_t *quorum)
{
    assert(quorum);
    *quorum = (nm_quorum_t){0};
    quorum->witnesses =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
    quorum->stored = g_ptr_array_new_with_free_func(g_free);
}

void
nm_quorum_finish(nm_quorum_t *quorum)
{
    assert(quorum);
    nm_quorum_drop_pending(quorum);
    g_ptr_array_free(quorum->stored, TRUE);
    g_hash_table_destroy(quorum->witnesses);
}

void
nm_quorum_clear(nm_quorum_t *quorum)
{
    assert(quorum);
    nm_quorum_drop_pending(quorum);
    g_ptr_array_set_size(quorum->stored, 0);
    g_hash_table_remove_all(quorum->witnesses);
}

static gint
compare_ranks(gconstpointer a, gconstpointer b)
{
    const ranked_id_t *left = a;
    const ranked_id_t *right = b;
    if (left->hash != right->hash) {
        return left->hash < right->hash ? -1 : 1;
    }
    return strcmp(left->id, right->id);
}

/* By a hash, so that a change of the workers changes few witnesses. */
GPtrArray *
nm_quorum_choose(GHashTable *workers)
{
    assert(workers);
    GArray *ranked = g_array_new(FALSE, FALSE, sizeof(ranked_id_t));
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, workers);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        ranked_id_t row = {nm_hash(id, strlen(id)), id};
        g_array_append_val(ranked, row);
    }
    g_array_sort(ranked, compare_ranks);
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    for (guint i = 0; i < MIN(ranked->len, NM_QUORUM_WITNESSES_MAX); i++) {
        g_ptr_array_add(ids,
                        g_strdup(g_array_index(ranked, ranked_id_t, i).id));
    }
    g_array_free(ranked, TRUE);
    return ids;
}

char *
nm_quorum_encode(const GPtrArray *ids)
{
    assert(ids);
    json_t *rows = json_array();
    for (guint i = 0; i < ids->len; i++) {
        json_array_append_new(rows, json_string(ids->pdata[i]));
    }
    char *text = json_dumps(rows, JSON_COMPACT);
    json_decref(rows);
    return text;
}

GPtrArray *
nm_quorum_decode(const void *text, uint32_t bytes)
{
    assert(text);
    json_t *rows = json_loadb(text, bytes, 0, NULL);
    GPtrArray *ids = g_ptr_array_new_with_free_func(g_free);
    bool valid = json_is_array(rows);
    size_t i;
    json_t *row;
    json_array_foreach(rows, i, row)
    {
        const char *id = json_string_value(row);
        valid = valid && id && strlen(id) < NM_NAME_MAX;
        g_ptr_array_add(ids, g_strdup(id ? id : ""));
    }
    json_decref(rows);
    if (!valid) {
        g_ptr_array_free(ids, TRUE);
        return NULL;
    }
    return ids;
}

bool
nm_quorum_is_stored(const nm_quorum_t *quorum, const GPtrArray *ids)
{
    assert(quorum && ids);
    bool equal = ids->len == quorum->stored->len;
    for (guint i = 0; equal && i < ids->len; i++) {
        equal = strcmp(ids->pdata[i], quorum->stored->pdata[i]) == 0;
    }
    return equal;
}

static void
add_witnesses(nm_quorum_t *quorum, const GPtrArray *ids)
{
    for (guint i = 0; i < ids->len; i++) {
        if (!nm_quorum_find(quorum, ids->pdata[i])) {
            nm_witness_t *witness = g_new0(nm_witness_t, 1);
            nm_strcopy(witness->id, sizeof(witness->id), ids->pdata[i]);
            g_hash_table_insert(quorum->witnesses, witness->id, witness);
        }
    }
}

static bool
list_contains(const GPtrArray *ids, const char *id)
{
    for (guint i = 0; ids && i < ids->len; i++) {
        if (strcmp(ids->pdata[i], id) == 0) {
            return true;
        }
    }
    return false;
}

static void
remove_unlisted(nm_quorum_t *quorum)
{
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, quorum->witnesses);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        if (!list_contains(quorum->stored, id) &&
            !list_contains(quorum->pending, id)) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

void
nm_quorum_set_stored(nm_quorum_t *quorum, GPtrArray *ids)
{
    assert(quorum && ids);
    g_ptr_array_free(quorum->stored, TRUE);
    quorum->stored = ids;
    add_witnesses(quorum, ids);
    remove_unlisted(quorum);
}

void
nm_quorum_set_pending(nm_quorum_t *quorum, GPtrArray *ids)
{
    assert(quorum && ids && !quorum->pending);
    quorum->pending = ids;
    add_witnesses(quorum, ids);
}

void
nm_quorum_confirm_pending(nm_quorum_t *quorum)
{
    assert(quorum && quorum->pending);
    GPtrArray *ids = quorum->pending;
    quorum->pending = NULL;
    nm_quorum_set_stored(quorum, ids);
}

void
nm_quorum_drop_pending(nm_quorum_t *quorum)
{
    assert(quorum);
    if (quorum->pending) {
        g_ptr_array_free(quorum->pending, TRUE);
        quorum->pending = NULL;
    }
    remove_unlisted(quorum);
}

nm_witness_t *
nm_quorum_find(const nm_quorum_t *quorum, const char *id)
{
    assert(quorum && id);
    return g_hash_table_lookup(quorum->witnesses, id);
}

void
nm_quorum_set_worker(nm_quorum_t *quorum, const char *id, int64_t incarnation,
                     nm_ms_t now_ms)
{
    nm_witness_t *witness = nm_quorum_find(quorum, id);
    if (witness && incarnation > witness->incarnation) {
        witness->incarnation = incarnation;
        witness->announced_ms = now_ms;
        witness->accepted_ms = 0;
    }
}

void
nm_quorum_on_accepted(nm_quorum_t *quorum, const char *id, int64_t incarnation,
                      nm_ms_t sent_ms, nm_ms_t confirmed_ms)
{
    nm_witness_t *witness = nm_quorum_find(quorum, id);
    if (!witness) {
        return;
    }
    witness->responded = true;
    if (incarnation == witness->incarnation &&
        witness->announced_ms <= confirmed_ms)
    {
        witness->accepted_ms = MAX(witness->accepted_ms, sent_ms);
    }
}

static gint
compare_times_descending(gconstpointer a, gconstpointer b)
{
    nm_ms_t left = *(const nm_ms_t *)a;
    nm_ms_t right = *(const nm_ms_t *)b;
    return left > right ? -1 : left < right;
}

/*
 * The first witness of a list of even length counts twice, so that one of two
 * halves has a majority.
 */
static nm_ms_t
list_accepted_ms(const nm_quorum_t *quorum, const GPtrArray *ids)
{
    GArray *times_ms = g_array_new(FALSE, FALSE, sizeof(nm_ms_t));
    for (guint i = 0; i < ids->len; i++) {
        const nm_witness_t *witness = nm_quorum_find(quorum, ids->pdata[i]);
        guint votes = i == 0 && ids->len % 2 == 0 ? 2 : 1;
        for (guint v = 0; v < votes; v++) {
            g_array_append_val(times_ms, witness->accepted_ms);
        }
    }
    g_array_sort(times_ms, compare_times_descending);
    nm_ms_t accepted_ms =
        times_ms->len > 0 ? g_array_index(times_ms, nm_ms_t, times_ms->len / 2)
                          : 0;
    g_array_free(times_ms, TRUE);
    return accepted_ms;
}

nm_ms_t
nm_quorum_accepted_ms(const nm_quorum_t *quorum)
{
    assert(quorum);
    nm_ms_t accepted_ms = list_accepted_ms(quorum, quorum->stored);
    if (quorum->pending) {
        accepted_ms =
            MIN(accepted_ms, list_accepted_ms(quorum, quorum->pending));
    }
    return accepted_ms;
}

bool
nm_quorum_has_responded(const nm_quorum_t *quorum)
{
    assert(quorum);
    guint votes = 0;
    guint all_votes = 0;
    for (guint i = 0; i < quorum->stored->len; i++) {
        guint weight = i == 0 && quorum->stored->len % 2 == 0 ? 2 : 1;
        all_votes += weight;
        votes += nm_quorum_find(quorum, quorum->stored->pdata[i])->responded
                     ? weight
                     : 0;
    }
    return 2 * votes >= all_votes + (all_votes > 0);
}
