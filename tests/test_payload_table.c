/*
 * Payloads that a carrier keeps: a start gets its own payload or none, however
 * many there are and whatever is lost.
 */
#include <glib.h>

#include "../src/payload_table.h"

#define TABLE_ID 7
#define EPOCH 3

static void
make_payload(char text[32], uint64_t index)
{
    g_snprintf(text, 32, "payload %llu", (unsigned long long)index);
}

/*
 * Load: messages with up to 256 starts, of few jobs or of far more than are
 * kept; some messages are lost, and the carrier restarts.  A new table begins
 * once a payload is missing.
 */
static void
test_starts_get_their_payload(void)
{
    static const struct {
        const char *name;
        uint64_t payloads;
        uint64_t loss_interval;    /* one in so many messages; 0: none */
        uint64_t restart_interval; /* of the carrier; 0: none */
        double added_max;          /* share of starts with their payload */
        bool any_missing;
    } cases[] = {
        {"one job", 1, 0, 0, 0.001, false},
        {"jobs that take turns", 600, 0, 0, 0.05, false},
        {"as many as are kept", NM_PAYLOADS_KEPT, 0, 0, 0.4, false},
        {"more than are kept", 10 * NM_PAYLOADS_KEPT, 0, 0, 1, false},
        {"lost messages", 600, 20, 0, 0.5, true},
        {"carrier that restarts", 600, 0, 50, 0.5, true},
    };
    enum { MESSAGES = 500 };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_rng_t rng;
        nm_rng_init(&rng, 1 + i);
        uint32_t table_id = TABLE_ID;
        nm_payload_table_t *table = nm_payload_table_new(table_id);
        nm_payload_store_t *store = nm_payload_store_new();
        uint32_t starts = 0;
        uint32_t added = 0;
        uint32_t missing = 0;
        for (uint32_t m = 0; m < MESSAGES; m++) {
            if (cases[i].restart_interval > 0 &&
                nm_rng_below(&rng, cases[i].restart_interval) == 0)
            {
                nm_payload_store_free(store);
                store = nm_payload_store_new();
            }
            uint64_t ids[NM_PAYLOADS_ADDED_MAX];
            uint64_t indices[NM_PAYLOADS_ADDED_MAX];
            bool is_new[NM_PAYLOADS_ADDED_MAX];
            uint64_t count = 1 + nm_rng_below(&rng, NM_PAYLOADS_ADDED_MAX);
            char text[32];
            for (uint64_t s = 0; s < count; s++) {
                indices[s] = nm_rng_below(&rng, cases[i].payloads);
                make_payload(text, indices[s]);
                is_new[s] = nm_payload_table_add(table, text, &ids[s]);
                g_assert_true(nm_payload_table_has_id(table, ids[s]));
                added += is_new[s];
            }
            starts += (uint32_t)count;
            if (cases[i].loss_interval > 0 &&
                nm_rng_below(&rng, cases[i].loss_interval) == 0)
            {
                continue;
            }
            for (uint64_t s = 0; s < count; s++) {
                make_payload(text, indices[s]);
                if (is_new[s]) {
                    nm_payload_store_put(store, EPOCH, ids[s], text);
                }
            }
            bool all_found = true;
            for (uint64_t s = 0; s < count; s++) {
                const char *found =
                    nm_payload_store_find(store, EPOCH, ids[s]);
                make_payload(text, indices[s]);
                if (found) {
                    g_assert_cmpstr(found, ==, text);
                }
                missing += !found;
                all_found = all_found && found;
            }
            if (!all_found) {
                nm_payload_table_free(table);
                table = nm_payload_table_new(++table_id);
            }
        }
        g_assert_cmpfloat(added, <=, cases[i].added_max * starts);
        g_assert_true((missing > 0) == cases[i].any_missing);
        nm_payload_table_free(table);
        nm_payload_store_free(store);
    }
}

/* An id of another owner, table or time must not lead to a payload. */
static void
test_unknown_ids_lead_to_no_payload(void)
{
    static const struct {
        const char *name;
        int64_t put_epoch; /* of a second payload; 0: none */
        int64_t epoch;     /* of the start */
        uint64_t offset;   /* added to the id of the first payload */
        const char *payload;
    } cases[] = {
        {"same", 0, EPOCH, 0, "first"},
        {"no id", 0, EPOCH, UINT64_MAX, NULL}, /* the id is 1 */
        {"not sent", 0, EPOCH, 1, NULL},
        {"same place", 0, EPOCH, NM_PAYLOADS_KEPT, NULL},
        {"former owner", 0, EPOCH - 1, 0, NULL},
        {"next owner", 0, EPOCH + 1, 0, NULL},
        {"late message of a former owner", EPOCH - 1, EPOCH, 0, "first"},
        {"payload of the next owner", EPOCH + 1, EPOCH, 0, NULL},
        {"payload of the next owner, its start", EPOCH + 1, EPOCH + 1, 0,
         "second"},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_payload_store_t *store = nm_payload_store_new();
        nm_payload_store_put(store, EPOCH, 1, "first");
        if (cases[i].put_epoch > 0) {
            nm_payload_store_put(store, cases[i].put_epoch, 1, "second");
        }
        g_assert_cmpstr(
            nm_payload_store_find(store, cases[i].epoch, 1 + cases[i].offset),
            ==, cases[i].payload);
        nm_payload_store_free(store);
    }
    nm_payload_table_t *table = nm_payload_table_new(TABLE_ID);
    uint64_t id;
    g_assert_true(nm_payload_table_add(table, "p", &id));
    g_assert_false(nm_payload_table_has_id(table, 0));
    g_assert_false(nm_payload_table_has_id(table, id + 1));
    nm_payload_table_free(table);
    table = nm_payload_table_new(TABLE_ID + 1);
    uint64_t other_id;
    g_assert_true(nm_payload_table_add(table, "p", &other_id));
    g_assert_cmpuint(other_id, !=, id);
    g_assert_false(nm_payload_table_has_id(table, id));
    nm_payload_table_free(table);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/payload-table/starts-get-their-payload",
                    test_starts_get_their_payload);
    g_test_add_func("/payload-table/unknown-ids-lead-to-no-payload",
                    test_unknown_ids_lead_to_no_payload);
    return g_test_run();
}
