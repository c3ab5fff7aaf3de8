/* Status page of an entry host, for operators. */
#include "entry_state.h"

#include <assert.h>

#include <jansson.h>

static const char *
role_name(nm_role_t role)
{
    static const char *const names[] = {
        [NM_ROLE_FOLLOWER] = "follower",
        [NM_ROLE_CANDIDATE] = "candidate",
        [NM_ROLE_LOADING] = "loading",
        [NM_ROLE_OWNER] = "owner",
    };
    return names[role];
}

/* The store may not have shown an owner yet that announced itself. */
static const char *
owner_name(const nm_entry_t *entry)
{
    return entry->announced.epoch > entry->owner.epoch ? entry->announced.name
                                                       : entry->owner.name;
}

static json_t *
encode_evacuated(const nm_entry_t *entry)
{
    json_t *rows = json_array();
    const GArray *zones = entry->evacuation.zones;
    for (guint i = 0; i < zones->len; i++) {
        const nm_evacuated_zone_t *zone =
            &g_array_index(zones, nm_evacuated_zone_t, i);
        json_array_append_new(
            rows,
            json_pack("{s:s,s:I}", "zone", zone->zone, "for_ms",
                      (json_int_t)(nm_entry_now(entry) - zone->since_ms)));
    }
    return rows;
}

/* Adds what only the owner knows. */
static void
add_owner_fields(const nm_entry_t *entry, json_t *status)
{
    nm_sched_info_t info = nm_sched_query_info(entry->sched);
    json_t *fields = json_pack(
        "{s:i,s:i,s:i,s:i,s:i,s:i,s:b,s:o}", "jobs", (int)info.jobs_active,
        "tasks_waiting", (int)info.tasks_waiting, "tasks_running",
        (int)info.tasks_running, "workers_usable", (int)info.workers_usable,
        "workers_evacuated", (int)info.workers_evacuated, "workers_cold",
        (int)info.workers_cold, "starts_held", (int)entry->starts_held,
        "evacuated", encode_evacuated(entry));
    json_object_update(status, fields);
    json_decref(fields);
}

char *
nm_entry_encode_status(const nm_entry_t *entry)
{
    assert(entry);
    const nm_queue_config_t *queue_config = entry->queue_config;
    nm_ms_t age_ms = nm_feed_age_ms(&entry->config_feed);
    json_t *status = json_pack(
        "{s:s,s:s,s:s,s:b,s:b,s:s,s:I,s:I,s:I}", "id", entry->desc.name,
        "zone", entry->desc.zone, "role", role_name(entry->role), "ready",
        (int)entry->ready, "store_ok", (int)!entry->store_lost, "owner",
        owner_name(entry), "epoch", (json_int_t)entry->epoch, "revision",
        (json_int_t)(queue_config ? queue_config->version : 0),
        "revision_age_ms", (json_int_t)(age_ms == NM_MS_NEVER ? -1 : age_ms));
    if (entry->role == NM_ROLE_OWNER) {
        add_owner_fields(entry, status);
    }
    char *text = json_dumps(status, JSON_COMPACT);
    json_decref(status);
    return text;
}
