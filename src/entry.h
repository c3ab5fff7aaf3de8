/*
 * Entry host for jobs: accepts jobs from callers, stores them and, while it
 * owns the workers, schedules their tasks.
 *
 * One control thread drives it; the ports do the I/O.  Any number of entry
 * hosts run at once; one of them is the owner, by a lease in the store.
 *
 *     nm_entry_t *entry = nm_entry_new(&desc);
 *     while (!nm_entry_is_stopped(entry)) {
 *         nm_ms_t wait_ms = nm_entry_run(entry);
 *         ... wait for the ports' descriptors ...
 *     }
 *     nm_entry_free(entry);
 */
#ifndef NM_ENTRY_H
#define NM_ENTRY_H

#include "api_request.h"
#include "queue_config.h"
#include "kv.h"
#include "machine_port.h"
#include "order_port.h"
#include "peer_rpc.h"

typedef struct nm_entry nm_entry_t;

typedef struct {
    const char *name;
    const char *zone;
    const char *peer_address; /* tcp://IP:PORT for other entry hosts */
    /* In cores; up to one core, hosts with more are elected first. */
    double cpu_share;
    uint32_t memory_mb; /* of this process; 0: no limit */
    nm_ms_t grace_ms;   /* from the stop signal to the forced kill */
    /*
     * Longest time from the store's confirmation of a configuration until a
     * host serves by it; 0: 3 s.
     */
    nm_ms_t config_apply_ms;
    nm_ms_t announce_interval_ms; /* of workers; 0: 1.5 s */
    /*
     * Longest time from the store's acknowledgement of a zone's evacuation
     * until the last start there; 0: zones are not evacuated.
     */
    nm_ms_t evacuation_ms;
    /* How many times as long tasks take away from their data; 0: 3. */
    double spread_factor;
    bool looks_ahead; /* placement reserves workers, see sched_lookahead.c */
    const nm_clock_t *clock;
    nm_kv_t *kv;
    nm_order_port_t *orders;
    nm_machine_port_t *machines; /* NULL: there is no list of machines */
    nm_api_listener_t *listener;
    nm_peer_rpc_t *peers;
    const nm_codec_t *codec;
} nm_entry_desc_t;

/* What desc points to must outlive the entry host. */
nm_entry_t *nm_entry_new(const nm_entry_desc_t *desc);
void nm_entry_free(nm_entry_t *entry);
/* Does all work that is due; returns the time until the next call. */
nm_ms_t nm_entry_run(nm_entry_t *entry);
/*
 * Begins a graceful shutdown: the host becomes unready, hands ownership over
 * and finishes open requests, within grace_ms.
 */
void nm_entry_stop(nm_entry_t *entry);
bool nm_entry_is_stopped(const nm_entry_t *entry);
/* Returns the status page as JSON text, to be freed with free(). */
char *nm_entry_encode_status(const nm_entry_t *entry);

#endif
