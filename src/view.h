/*
 * Immutable snapshot of control state for the traffic thread, and the
 * traffic thread's report to the control thread.
 */
#ifndef NM_VIEW_H
#define NM_VIEW_H

#include <glib.h>

#include <nutmegdeck/route.h>

typedef struct {
    char name[NM_NAME_MAX * 2];
    char prefix[NM_NAME_MAX * 4];
    nm_route_service_t limits;
    bool claim_strict;
} nm_view_service_t;

typedef struct {
    char address[NM_NAME_MAX * 2];
    nm_route_target_t target;
} nm_view_target_t;

typedef struct {
    bool ready;            /* settings are in force */
    uint64_t grant_number; /* answer of the owner that the slots come from */
    uint64_t link_bytes_per_s;
    uint32_t connections_per_host; /* that may be open to one executor */
    nm_view_service_t *services;
    uint32_t service_count;
    nm_view_target_t *targets;
    uint32_t target_count;
} nm_view_t;

typedef struct {
    uint64_t executor;
    uint16_t held; /* the greater of slots granted and slots in use */
} nm_view_use_t;

typedef struct {
    uint64_t grant_number; /* of the view in use */
    uint32_t demand;
    uint32_t free_slots;
    uint32_t active;
    nm_view_use_t *uses;
    uint32_t use_count;
    nm_route_info_t *services;
    uint32_t service_count;
} nm_traffic_report_t;

static inline void
nm_view_free(nm_view_t *view)
{
    if (view) {
        g_free(view->services);
        g_free(view->targets);
        g_free(view);
    }
}

static inline void
nm_traffic_report_free(nm_traffic_report_t *report)
{
    if (report) {
        g_free(report->uses);
        g_free(report->services);
        g_free(report);
    }
}

#endif
