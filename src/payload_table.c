#include "payload_table.h"

#include <assert.h>

/* Bits of an id that count the payloads of a table; the others name it. */
#define COUNT_BITS 32

struct nm_payload_table {
    uint64_t table_id;
    uint32_t count;                   /* ids given out; the first one is 1 */
    char *payloads[NM_PAYLOADS_KEPT]; /* by slot; interned */
    GHashTable *numbers; /* interned payload -> the newest of its numbers */
};

struct nm_payload_store {
    int64_t epoch;
    uint64_t ids[NM_PAYLOADS_KEPT]; /* by slot; 0: none */
    char *payloads[NM_PAYLOADS_KEPT];
};

static uint32_t
slot_of(uint64_t id)
{
    return (uint32_t)(id % NM_PAYLOADS_KEPT);
}

nm_payload_table_t *
nm_payload_table_new(uint32_t table_id)
{
    nm_payload_table_t *table = g_new0(nm_payload_table_t, 1);
    table->table_id = table_id;
    table->numbers = g_hash_table_new(g_direct_hash, g_direct_equal);
    return table;
}

void
nm_payload_table_free(nm_payload_table_t *table)
{
    if (!table) {
        return;
    }
    for (uint32_t i = 0; i < NM_PAYLOADS_KEPT; i++) {
        if (table->payloads[i]) {
            g_ref_string_release(table->payloads[i]);
        }
    }
    g_hash_table_destroy(table->numbers);
    g_free(table);
}

static uint64_t
make_id(const nm_payload_table_t *table, uint32_t number)
{
    return (table->table_id << COUNT_BITS) | number;
}

/* Takes over the reference to the payload. */
static uint32_t
append(nm_payload_table_t *table, char *payload)
{
    uint32_t number = ++table->count;
    char **slot = &table->payloads[slot_of(number)];
    if (*slot) {
        uint32_t newest =
            GPOINTER_TO_UINT(g_hash_table_lookup(table->numbers, *slot));
        if (slot_of(newest) == slot_of(number)) {
            g_hash_table_remove(table->numbers, *slot);
        }
        g_ref_string_release(*slot);
    }
    *slot = payload;
    g_hash_table_insert(table->numbers, payload, GUINT_TO_POINTER(number));
    return number;
}

bool
nm_payload_table_add(nm_payload_table_t *table, const char *payload,
                     uint64_t *id)
{
    assert(table && payload && id);
    char *interned = g_ref_string_new_intern(payload);
    uint32_t number =
        GPOINTER_TO_UINT(g_hash_table_lookup(table->numbers, interned));
    /* The payloads after it in a message may take the oldest slots. */
    bool is_kept = number > 0 && table->count - number <
                                     NM_PAYLOADS_KEPT - NM_PAYLOADS_ADDED_MAX;
    if (is_kept) {
        g_ref_string_release(interned);
    }
    else {
        number = append(table, interned);
    }
    *id = make_id(table, number);
    return !is_kept;
}

bool
nm_payload_table_has_id(const nm_payload_table_t *table, uint64_t id)
{
    assert(table);
    uint32_t number = (uint32_t)id;
    return id >> COUNT_BITS == table->table_id && number > 0 &&
           number <= table->count;
}

nm_payload_store_t *
nm_payload_store_new(void)
{
    return g_new0(nm_payload_store_t, 1);
}

static void
drop_payloads(nm_payload_store_t *store)
{
    for (uint32_t i = 0; i < NM_PAYLOADS_KEPT; i++) {
        g_free(store->payloads[i]);
        store->payloads[i] = NULL;
        store->ids[i] = 0;
    }
}

void
nm_payload_store_free(nm_payload_store_t *store)
{
    if (store) {
        drop_payloads(store);
        g_free(store);
    }
}

void
nm_payload_store_put(nm_payload_store_t *store, int64_t epoch, uint64_t id,
                     const char *payload)
{
    assert(store && payload);
    if (epoch < store->epoch || id == 0) {
        return;
    }
    if (epoch > store->epoch) {
        drop_payloads(store);
        store->epoch = epoch;
    }
    uint32_t slot = slot_of(id);
    g_free(store->payloads[slot]);
    store->payloads[slot] = g_strdup(payload);
    store->ids[slot] = id;
}

const char *
nm_payload_store_find(const nm_payload_store_t *store, int64_t epoch,
                      uint64_t id)
{
    assert(store);
    uint32_t slot = slot_of(id);
    return epoch == store->epoch && id != 0 && store->ids[slot] == id
               ? store->payloads[slot]
               : NULL;
}
