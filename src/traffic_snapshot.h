/*
 * Immutable snapshot of control state for the traffic thread, and the
 * traffic thread's report to the control thread.
 */
#ifndef NM_TRAFFIC_SNAPSHOT_H
#define NM_TRAFFIC_SNAPSHOT_H

#include <glib.h>

#include <nutmegdeck/route.h>

typedef struct {
    char name[NM_NAME_MAX * 2];
    char prefix[NM_NAME_MAX * 4]; /* of the paths of its requests */
    nm_route_service_t limits;
    bool claim_strict; /* refuse a request if its claim fails */
} nm_traffic_service_t;

typedef struct {
    char address[NM_NAME_MAX * 2];
    nm_route_target_t target;
} nm_traffic_target_t;

typedef struct {
    bool ready;            /* settings are in force */
    uint64_t grant_number; /* of the owner's response that granted the slots */
    uint64_t link_bytes_per_s;
    uint32_t connections_per_host; /* maximum number of open connections */
    nm_traffic_service_t *services;
    uint32_t service_count;
    nm_traffic_target_t *targets;
    uint32_t target_count;
} nm_traffic_snapshot_t;

typedef struct {
    uint64_t executor;
    uint16_t held; /* the greater of slots granted and slots in use */
} nm_traffic_usage_t;

typedef struct {
    uint64_t grant_number; /* of the snapshot in use */
    uint32_t demand;       /* slots in use or wanted, of all services */
    uint32_t free_slots;   /* granted and not in use */
    uint32_t active;       /* exchanges that have not ended */
    nm_traffic_usage_t *slot_usage;
    uint32_t slot_usage_count;
    nm_route_info_t *services;
    uint32_t service_count;
} nm_traffic_report_t;

static inline void
nm_traffic_snapshot_free(nm_traffic_snapshot_t *snapshot)
{
    if (snapshot) {
        g_free(snapshot->services);
        g_free(snapshot->targets);
        g_free(snapshot);
    }
}

static inline void
nm_traffic_report_free(nm_traffic_report_t *report)
{
    if (report) {
        g_free(report->slot_usage);
        g_free(report->services);
        g_free(report);
    }
}

#endif
