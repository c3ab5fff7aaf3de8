/*
 * Payloads of starts that a carrier keeps, so that the owner sends each once.
 *
 * Load: hundreds of jobs whose tasks start again and again, as fillers that
 * take turns, through the same carriers; a payload is several times as large
 * as all else in a start.  The owner gives each payload an id, the carrier
 * keeps the newest ones.  A carrier that lacks one, as after its restart or a
 * lost message, returns its id; the owner then begins a new table.
 *
 *     nm_payload_table_t *table = nm_payload_table_new(table_id);  (the owner)
 *     bool is_new = nm_payload_table_add(table, payload, &id);
 *     nm_payload_table_free(table);
 *
 *     nm_payload_store_t *store = nm_payload_store_new();        (the carrier)
 *     nm_payload_store_put(store, epoch, id, payload);
 *     const char *payload = nm_payload_store_find(store, epoch, id);
 *     nm_payload_store_free(store);
 */
#ifndef NM_PAYLOAD_TABLE_H
#define NM_PAYLOAD_TABLE_H

#include <glib.h>

#include <nutmegdeck/base.h>

/* Payloads that a carrier keeps; with 4,000 bytes each they take 4 MB. */
#define NM_PAYLOADS_KEPT 1024
/* Payloads that one message may add. */
#define NM_PAYLOADS_ADDED_MAX 256

typedef struct nm_payload_table nm_payload_table_t;
typedef struct nm_payload_store nm_payload_store_t;

/*
 * table_id: unique among the tables of an epoch, so that a carrier never takes
 * a payload of one for that of another.
 */
nm_payload_table_t *nm_payload_table_new(uint32_t table_id);
void nm_payload_table_free(nm_payload_table_t *table);
/*
 * Sets the id of a payload.  Returns true if the carrier may lack it, so that
 * it has to be in the message.
 */
bool nm_payload_table_add(nm_payload_table_t *table, const char *payload,
                          uint64_t *id);
/* True if the table has given out the id. */
bool nm_payload_table_has_id(const nm_payload_table_t *table, uint64_t id);

nm_payload_store_t *nm_payload_store_new(void);
void nm_payload_store_free(nm_payload_store_t *store);
/* Ignored if the epoch is not the newest; a newer one drops all payloads. */
void nm_payload_store_put(nm_payload_store_t *store, int64_t epoch,
                          uint64_t id, const char *payload);
/* Returns NULL if the payload is not kept. */
const char *nm_payload_store_find(const nm_payload_store_t *store,
                                  int64_t epoch, uint64_t id);

#endif
