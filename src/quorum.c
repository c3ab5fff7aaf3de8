#include "quorum.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/limits.h>

#include "json_get.h"

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

static GPtrArray *
new_list(void)
{
    return g_ptr_array_new_with_free_func(g_free);
}

static void
add_to_list(GPtrArray *list, const nm_witness_life_t *life)
{
    g_ptr_array_add(list, g_memdup2(life, sizeof(*life)));
}

static bool
is_same_life(const nm_witness_life_t *a, const nm_witness_life_t *b)
{
    return a->incarnation == b->incarnation && strcmp(a->id, b->id) == 0 &&
           strcmp(a->address, b->address) == 0;
}

/* By a hash, so that a change of the workers changes few witnesses. */
GPtrArray *
nm_quorum_choose(GHashTable *workers, nm_quorum_describe_fn describe,
                 void *user)
{
    assert(workers && describe);
    GArray *ranked = g_array_new(FALSE, FALSE, sizeof(ranked_id_t));
    GHashTableIter iter;
    gpointer id;
    g_hash_table_iter_init(&iter, workers);
    while (g_hash_table_iter_next(&iter, &id, NULL)) {
        ranked_id_t row = {nm_hash(id, strlen(id)), id};
        g_array_append_val(ranked, row);
    }
    g_array_sort(ranked, compare_ranks);
    GPtrArray *list = new_list();
    for (guint i = 0; i < ranked->len && list->len < NM_QUORUM_WITNESSES_MAX;
         i++) {
        nm_witness_life_t life;
        if (describe(user, g_array_index(ranked, ranked_id_t, i).id, &life)) {
            add_to_list(list, &life);
        }
    }
    g_array_free(ranked, TRUE);
    return list;
}

char *
nm_quorum_encode(const GPtrArray *list)
{
    assert(list);
    json_t *rows = json_array();
    for (guint i = 0; i < list->len; i++) {
        const nm_witness_life_t *life = list->pdata[i];
        json_array_append_new(rows, json_pack("{s:s,s:s,s:I}", "id", life->id,
                                              "address", life->address,
                                              "incarnation",
                                              (json_int_t)life->incarnation));
    }
    char *text = json_dumps(rows, JSON_COMPACT);
    json_decref(rows);
    return text;
}

static bool
decode_life(nm_witness_life_t *life, const json_t *row)
{
    *life = (nm_witness_life_t){0};
    if (json_is_string(row)) {
        return nm_strcopy(life->id, sizeof(life->id), json_string_value(row));
    }
    return nm_json_copy_string(row, "id", life->id, sizeof(life->id)) &&
           nm_json_copy_string(row, "address", life->address,
                               sizeof(life->address)) &&
           nm_json_get_int(json_object_get(row, "incarnation"), NM_COUNT_MAX,
                           &life->incarnation);
}

GPtrArray *
nm_quorum_decode(const void *text, uint32_t bytes)
{
    assert(text);
    json_t *rows = json_loadb(text, bytes, 0, NULL);
    GPtrArray *list = new_list();
    bool valid = json_is_array(rows);
    size_t i;
    json_t *row;
    json_array_foreach(rows, i, row)
    {
        nm_witness_life_t life;
        valid = decode_life(&life, row) && valid;
        add_to_list(list, &life);
    }
    json_decref(rows);
    if (!valid) {
        g_ptr_array_free(list, TRUE);
        return NULL;
    }
    return list;
}

bool
nm_quorum_is_stored(const nm_quorum_t *quorum, const GPtrArray *list)
{
    assert(quorum && list);
    bool equal = list->len == quorum->stored->len;
    for (guint i = 0; equal && i < list->len; i++) {
        equal = is_same_life(list->pdata[i], quorum->stored->pdata[i]);
    }
    return equal;
}

static void
add_witnesses(nm_quorum_t *quorum, const GPtrArray *list)
{
    for (guint i = 0; i < list->len; i++) {
        const nm_witness_life_t *life = list->pdata[i];
        if (!nm_quorum_find(quorum, life->id)) {
            nm_witness_t *witness = g_new0(nm_witness_t, 1);
            witness->life = *life;
            g_hash_table_insert(quorum->witnesses, witness->life.id, witness);
        }
    }
}

static bool
list_contains(const GPtrArray *list, const char *id)
{
    for (guint i = 0; list && i < list->len; i++) {
        const nm_witness_life_t *life = list->pdata[i];
        if (strcmp(life->id, id) == 0) {
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
nm_quorum_set_stored(nm_quorum_t *quorum, GPtrArray *list)
{
    assert(quorum && list);
    g_ptr_array_free(quorum->stored, TRUE);
    quorum->stored = list;
    add_witnesses(quorum, list);
    remove_unlisted(quorum);
}

void
nm_quorum_set_pending(nm_quorum_t *quorum, GPtrArray *list)
{
    assert(quorum && list && !quorum->pending);
    quorum->pending = list;
    add_witnesses(quorum, list);
}

void
nm_quorum_confirm_pending(nm_quorum_t *quorum)
{
    assert(quorum && quorum->pending);
    GPtrArray *list = quorum->pending;
    quorum->pending = NULL;
    nm_quorum_set_stored(quorum, list);
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

bool
nm_quorum_set_worker(nm_quorum_t *quorum, const nm_witness_life_t *life,
                     nm_ms_t now_ms)
{
    assert(quorum && life);
    nm_witness_t *witness = nm_quorum_find(quorum, life->id);
    if (!witness || life->incarnation < witness->life.incarnation) {
        return false;
    }
    bool known = is_same_life(life, &witness->life);
    if (!known) {
        witness->life.incarnation = life->incarnation;
        nm_strcopy(witness->life.address, sizeof(witness->life.address),
                   life->address);
        witness->replaced = false;
    }
    if (!known || !witness->announced) {
        witness->announced = true;
        witness->announced_ms = now_ms;
        witness->accepted_ms = 0;
    }
    return !known;
}

void
nm_quorum_on_accepted(nm_quorum_t *quorum, const nm_witness_life_t *life,
                      nm_ms_t sent_ms, nm_ms_t confirmed_ms)
{
    assert(quorum && life);
    nm_witness_t *witness = nm_quorum_find(quorum, life->id);
    if (!witness) {
        return;
    }
    witness->responded = true;
    if (witness->announced && is_same_life(life, &witness->life) &&
        witness->announced_ms <= confirmed_ms)
    {
        witness->accepted_ms = MAX(witness->accepted_ms, sent_ms);
    }
}

static bool
has_address_alone(const nm_quorum_t *quorum, const nm_witness_t *witness)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, quorum->witnesses);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const nm_witness_t *other = value;
        if (other != witness &&
            strcmp(other->life.address, witness->life.address) == 0)
        {
            return false;
        }
    }
    return true;
}

void
nm_quorum_on_replaced(nm_quorum_t *quorum, const nm_witness_life_t *life)
{
    assert(quorum && life);
    nm_witness_t *witness = nm_quorum_find(quorum, life->id);
    if (witness && is_same_life(life, &witness->life) &&
        has_address_alone(quorum, witness))
    {
        witness->replaced = true;
    }
}

void
nm_quorum_on_ended(nm_quorum_t *quorum, const nm_witness_life_t *life)
{
    assert(quorum && life);
    nm_witness_t *witness = nm_quorum_find(quorum, life->id);
    /* Without an incarnation, the id may stand for a later one. */
    if (witness && life->incarnation > 0) {
        witness->ended = *life;
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
list_accepted_ms(const nm_quorum_t *quorum, const GPtrArray *list)
{
    GArray *times_ms = g_array_new(FALSE, FALSE, sizeof(nm_ms_t));
    for (guint i = 0; i < list->len; i++) {
        const nm_witness_life_t *listed = list->pdata[i];
        const nm_witness_t *witness = nm_quorum_find(quorum, listed->id);
        nm_ms_t accepted_ms =
            is_same_life(listed, &witness->life) ? witness->accepted_ms : 0;
        guint votes = i == 0 && list->len % 2 == 0 ? 2 : 1;
        for (guint v = 0; v < votes; v++) {
            g_array_append_val(times_ms, accepted_ms);
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
nm_quorum_is_resolved(const nm_quorum_t *quorum,
                      const nm_witness_life_t *listed)
{
    assert(quorum && listed);
    const nm_witness_t *witness = nm_quorum_find(quorum, listed->id);
    return witness->responded || is_same_life(listed, &witness->ended) ||
           (witness->replaced && is_same_life(listed, &witness->life));
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
        votes += nm_quorum_is_resolved(quorum, quorum->stored->pdata[i])
                     ? weight
                     : 0;
    }
    return 2 * votes >= all_votes + (all_votes > 0);
}
