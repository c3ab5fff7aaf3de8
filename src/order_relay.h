/*
 * Orders through other entry hosts.
 *
 * Answers this load: hundreds of workers and a thousand starts a second,
 * whose calls one small host cannot make.  The owner decides; hosts of the
 * workers' data centres carry its orders and bring the answers back in
 * batches.  Each data centre has as many carriers as its workers need, drawn
 * by identity among the larger hosts that answer, in proportion to their
 * processors, so that connections to workers are kept; they are drawn again
 * when a host comes, goes silent or answers again, not for each order.  A
 * carrier knows nothing: an order holds its epoch and its expiry, and one that
 * is lost is like one without an answer.
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

#include "order_port.h"
#include "peer_rpc.h"
#include "report_delta.h"

/*
 * Orders, and answers, that come within this time share a message; a message
 * costs the owner as much as ten orders.
 */
#define NM_RELAY_BATCH_MS 12

typedef struct {
    nm_order_port_t *direct; /* own calls to workers */
    nm_peer_rpc_t *peers;
    const nm_clock_t *clock;
    const char *name;            /* of this host */
    uint32_t direct_workers_max; /* workers up to which it needs no carriers */
    /* A worker's answer to a poll that was given up; may be NULL. */
    void (*on_late_report)(void *user, const char *worker,
                           const nm_worker_report_t *report);
    void *user;
} nm_order_relay_desc_t;

/* An entry host that carries. */
typedef struct {
    char name[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2];
    char zone[NM_NAME_MAX];
    double cpu_share;
} nm_relay_host_t;

typedef struct {
    nm_order_port_t base;
    nm_order_relay_desc_t desc;
    GHashTable *hosts;      /* name -> carrier */
    GHashTable *in_flight;  /* number -> order under way */
    GHashTable *late_polls; /* number -> poll that was given up */
    GHashTable *routes;     /* worker -> its zone and carrier */
    GHashTable *zones;      /* name -> its workers and carriers */
    uint64_t generation;    /* of the set of hosts */
    bool probe_due;         /* a carrier that was silent may be tried out */
    uint64_t number;
    int64_t epoch; /* of the newest order */
    nm_ms_t checked_ms;
    nm_ms_t flush_called_ms; /* last flush */
    nm_ms_t flushed_ms;
    uint32_t queued_count;
} nm_order_relay_t;

nm_order_port_t *nm_order_relay_init(nm_order_relay_t *relay,
                                     const nm_order_relay_desc_t *desc);
void nm_order_relay_finish(nm_order_relay_t *relay);
void nm_order_relay_set_host(nm_order_relay_t *relay,
                             const nm_relay_host_t *host);
void nm_order_relay_remove_host(nm_order_relay_t *relay, const char *name);
/* The data centre of a worker; its carriers are there. */
void nm_order_relay_set_worker(nm_order_relay_t *relay, const char *worker,
                               const char *zone);
/*
 * Sends what is queued for carriers, and gives up what they do not answer.
 * Returns the time until it is to be called again.
 */
nm_ms_t nm_order_relay_flush(nm_order_relay_t *relay, nm_ms_t now_ms);
void nm_order_relay_handle_response(nm_order_relay_t *relay,
                                    const NmPb__EntryAnswer *answer);
/* Names of the hosts that carry for a data centre; returns how many. */
uint32_t nm_order_relay_query_carriers(const nm_order_relay_t *relay,
                                       const char *zone, const char **names,
                                       uint32_t names_max);
/* Orders under way are forgotten without calling back. */
void nm_order_relay_clear(nm_order_relay_t *relay);

#endif
