/*
 * The platform's list of live and leaving hosts.
 *
 * A thread polls the list (an HTTP URL, or file:PATH) and keeps the newest
 * valid version for the control thread.  The list may be out of date: a host
 * that is missing may still run, and a listed host may be down.
 *
 *     nm_hosts_t *hosts = nm_hosts_new("http://10.0.0.9:8500/hosts", 1000);
 *     nm_host_list_t *list = nm_hosts_take(hosts);
 *     nm_host_list_free(list);
 *     nm_hosts_free(hosts);
 */
#ifndef NM_HOSTS_H
#define NM_HOSTS_H

#include <nutmegdeck/place.h>

#include "refusal.h"

typedef struct {
    uint64_t id;
    char name[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2];
    char datacentre[NM_NAME_MAX];
    uint32_t rack;
    nm_resources_t capacity;
    bool leaving;
} nm_worker_host_t;

typedef struct {
    uint64_t id;
    char address[NM_NAME_MAX * 2];
    char datacentre[NM_NAME_MAX];
    char service[NM_NAME_MAX * 2]; /* section path */
    uint64_t worker;               /* id of its worker; 0: unknown */
    bool leaving;
} nm_executor_host_t;

typedef struct {
    nm_worker_host_t *workers;
    uint32_t worker_count;
    nm_executor_host_t *executors;
    uint32_t executor_count;
} nm_host_list_t;

typedef struct nm_hosts nm_hosts_t;

/* source is an HTTP URL or file:PATH; it is polled every interval_ms. */
nm_hosts_t *nm_hosts_new(const char *source, nm_ms_t interval_ms);
void nm_hosts_free(nm_hosts_t *hosts);
/*
 * Returns the newest list, or NULL if it has not changed since the last call.
 * The caller frees it.
 */
nm_host_list_t *nm_hosts_take(nm_hosts_t *hosts);
/*
 * Parses a list without its malformed entries, which are logged; returns NULL
 * if it is no list of hosts.
 */
nm_host_list_t *nm_host_list_parse(const char *text, size_t bytes,
                                   nm_refusals_t *refusals);
void nm_host_list_free(nm_host_list_t *list);
/* Returns the id of a host: a hash of its name or address, never 0. */
uint64_t nm_host_id(const char *name);

#endif
