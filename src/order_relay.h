/*
 * Sends orders to workers through other entry hosts, the carriers.
 *
 * Load: hundreds of workers and a thousand starts a second, whose calls one
 * small host cannot make.  The owner decides; hosts in the workers' data
 * centres carry its orders and return the results in batches.  Each data
 * centre has as many carriers as its workers need.  Weighted rendezvous
 * hashing selects them among the larger responsive hosts, in proportion to
 * their cpu_share, so that connections to workers are kept.  They are selected
 * again when a host is added, removed, stops responding or recovers, or when
 * the workers have doubled, not for each order.  Carriers hold no scheduling
 * state: an order names its epoch and its expiry, and a lost order is treated
 * as one that timed out.
 *
 *     nm_order_relay_t relay;
 *     nm_order_port_t *port = nm_order_relay_init(&relay, &desc);
 *     nm_order_relay_set_host(&relay, &host);
 *     nm_order_relay_flush(&relay, now_ms);   (at the end of each round)
 *     nm_order_relay_finish(&relay);
 */
#ifndef NM_ORDER_RELAY_H
#define NM_ORDER_RELAY_H

#include <glib.h>

#include "order_overdue.h"
#include "order_port.h"
#include "peer_rpc.h"
#include "report_delta.h"

/*
 * Orders, and results, that arrive within this time share a message; a message
 * costs the owner as much as ten orders.
 */
#define NM_RELAY_BATCH_MS 12

typedef struct {
    nm_order_port_t *direct; /* calls to workers from this host */
    nm_peer_rpc_t *peers;
    const nm_clock_t *clock;
    const char *name;            /* of this host */
    uint32_t direct_workers_max; /* with more workers, carriers are used */
    /* A report whose poll has timed out; may be NULL. */
    void (*on_late_report)(void *user, const char *worker,
                           const nm_worker_report_t *report);
    void *user;
} nm_order_relay_desc_t;

/* An entry host that can be a carrier. */
typedef struct {
    char name[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2];
    char zone[NM_NAME_MAX];
    double cpu_share;
    uint32_t memory_mb; /* 0: not known, or no limit */
} nm_relay_host_t;

typedef struct {
    nm_order_port_t base;
    nm_order_relay_desc_t desc;
    GHashTable *hosts;      /* name -> host that can be a carrier */
    GHashTable *in_flight;  /* number -> order in flight */
    GHashTable *late_polls; /* number -> poll that timed out */
    GArray *overdue;        /* numbers of starts that were not sent */
    nm_overdue_t overdue_log;
    GHashTable *routes;        /* worker -> its zone and carrier */
    GHashTable *zones;         /* name -> its workers and carriers */
    uint64_t generation;       /* of the hosts and their states */
    bool probe_due;            /* a carrier's time without orders is over */
    uint32_t payload_table_id; /* of the newest table of any carrier */
    uint64_t number;           /* of the newest order */
    int64_t epoch;             /* of the newest order */
    nm_ms_t checked_ms;
    nm_ms_t flush_called_ms; /* last call of flush */
    nm_ms_t flushed_ms;
    uint32_t queued_count;
} nm_order_relay_t;

nm_order_port_t *nm_order_relay_init(nm_order_relay_t *relay,
                                     const nm_order_relay_desc_t *desc);
void nm_order_relay_finish(nm_order_relay_t *relay);
void nm_order_relay_set_host(nm_order_relay_t *relay,
                             const nm_relay_host_t *host);
void nm_order_relay_remove_host(nm_order_relay_t *relay, const char *name);
typedef void nm_relay_visit_fn(void *user, const nm_relay_host_t *host);
/* Calls visit for each host that is set. */
void nm_order_relay_visit_hosts(const nm_order_relay_t *relay,
                                nm_relay_visit_fn *visit, void *user);
/* Sets the data centre of a worker; its carriers are in the same one. */
void nm_order_relay_set_worker(nm_order_relay_t *relay, const char *worker,
                               const char *zone);
/*
 * Sends queued orders to the carriers, and ends those that timed out.
 * Returns the time until the next call.
 */
nm_ms_t nm_order_relay_flush(nm_order_relay_t *relay, nm_ms_t now_ms);
void nm_order_relay_handle_response(nm_order_relay_t *relay,
                                    const NmPb__EntryAnswer *response);
/*
 * Stores up to names_max names of a data centre's carriers, and returns how
 * many it stored.
 */
uint32_t nm_order_relay_query_carriers(const nm_order_relay_t *relay,
                                       const char *zone, const char **names,
                                       uint32_t names_max);
/* Largest cpu_share of all hosts; 0 without hosts. */
double nm_order_relay_query_cpu_share_max(const nm_order_relay_t *relay);
/* Least memory of all hosts that tell theirs; 0: none does. */
uint32_t nm_order_relay_query_memory_mb_min(const nm_order_relay_t *relay);
/* Largest cpu_share of the responsive carriers. */
double nm_order_relay_query_carrier_share_max(const nm_order_relay_t *relay);
/*
 * Removes all hosts and workers, and discards orders in flight; their
 * callbacks are not called.
 */
void nm_order_relay_clear(nm_order_relay_t *relay);

#endif
