/*
 * Evacuated zones at the owner: the feed that delivers them, and the hold of
 * starts while the feed is behind.
 *
 * The feed is one of its own, as that of the configuration may need seconds
 * for a large value on a slow link.
 */
#include "entry_state.h"

#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>
#include <nutmegdeck/reason.h>

/* Several of these waits fit into the age that a copy may have. */
#define WATCH_TIMEOUT_MS 1000

void
nm_entry_evacuation_init(nm_entry_t *entry)
{
    nm_evacuation_init(&entry->evacuation, entry->desc.evacuation_ms,
                       NM_SCHED_START_VALID_MS);
}

void
nm_entry_evacuation_finish(nm_entry_t *entry)
{
    nm_evacuation_finish(&entry->evacuation);
}

static void
refuse(nm_entry_t *entry, const nm_store_kv_t *item, const char *reason)
{
    nm_refusals_log(&entry->refusals, NM_LOG_ITEM_EVACUATION_REFUSED, "key",
                    item->key, reason, nm_entry_now(entry));
}

void
nm_entry_evacuation_ignore(nm_entry_t *entry, const nm_store_kv_t *item)
{
    if (item->value && entry->desc.evacuation_ms == 0) {
        refuse(entry, item, "evacuation_ms is not set on this host");
    }
}

/* The key is the request; its value is not needed. */
static void
check_value(nm_entry_t *entry, const nm_store_kv_t *item)
{
    json_t *value =
        json_loadb((const char *)item->value, item->value_bytes, 0, NULL);
    if (!json_is_object(value)) {
        refuse(entry, item,
               "its value is not a JSON object; the zone is evacuated");
    }
    json_decref(value);
}

static void
log_zone(const nm_entry_t *entry, const char *zone, bool evacuated,
         uint32_t workers)
{
    bool unknown = workers == 0 && entry->role == NM_ROLE_OWNER;
    nm_log(unknown ? NM_LOG_WARN : NM_LOG_INFO, NM_LOG_ITEM_ZONE_EVACUATED,
           "{s:s,s:b,s:i,s:I,s:I}", "zone", zone, "evacuated", (int)evacuated,
           "workers", (int)workers, "copy_age_ms",
           (json_int_t)entry->evacuation_feed.response.took_ms, "epoch",
           (json_int_t)entry->owned_epoch);
}

static void
on_zone(void *user, const nm_store_kv_t *item)
{
    nm_entry_t *entry = user;
    const char *zone =
        item->key + strlen(entry->desc.codec->evacuations_prefix);
    bool evacuated = item->value != NULL;
    if (evacuated) {
        check_value(entry, item);
    }
    int rc = nm_evacuation_set(&entry->evacuation, zone, evacuated,
                               nm_entry_now(entry));
    if (rc == NM_OK) {
        log_zone(entry, zone, evacuated,
                 nm_sched_set_evacuated(entry->sched, zone, evacuated));
        entry->sched_due_ms = 0;
    }
    else if (evacuated && rc == NM_ERR_INVAL) {
        refuse(entry, item,
               "its zone is not 1 to 63 printable characters "
               "without spaces and slashes");
    }
    else if (evacuated && rc == NM_ERR_FULL) {
        refuse(entry, item, "more than 1024 zones are evacuated");
    }
}

void
nm_entry_evacuation_begin(nm_entry_t *entry)
{
    if (entry->desc.evacuation_ms > 0) {
        nm_entry_open_feed(
            entry, &entry->evacuation_feed,
            (nm_feed_desc_t){.prefix = entry->desc.codec->evacuations_prefix,
                             .on_item = on_zone,
                             .wait_ms = WATCH_TIMEOUT_MS});
    }
}

void
nm_entry_evacuation_end(nm_entry_t *entry)
{
    nm_feed_close(&entry->evacuation_feed);
    nm_entry_evacuation_finish(entry);
    nm_entry_evacuation_init(entry);
    entry->starts_held = false;
}

void
nm_entry_evacuation_on_renewal(nm_entry_t *entry, int rc)
{
    bool answered = rc != NM_ERR_UNAVAILABLE && rc != NM_ERR_LOST;
    nm_evacuation_on_store_result(&entry->evacuation, answered,
                                  nm_entry_now(entry));
}

void
nm_entry_evacuation_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    if (!entry->evacuation_feed.open) {
        return;
    }
    nm_feed_tick(&entry->evacuation_feed, now_ms);
    nm_ms_t age_ms = nm_feed_age_ms(&entry->evacuation_feed);
    bool held = nm_evacuation_holds_starts(&entry->evacuation, age_ms, now_ms);
    nm_sched_set_starts_allowed(entry->sched, !held);
    if (held == entry->starts_held || entry->role != NM_ROLE_OWNER) {
        return;
    }
    entry->starts_held = held;
    if (held) {
        nm_count_reason(NM_REASON_STARTS_HELD);
    }
    nm_log(held ? NM_LOG_WARN : NM_LOG_INFO, NM_LOG_ITEM_STARTS_HELD,
           "{s:b,s:I,s:I,s:I}", "held", (int)held, "copy_age_ms",
           (json_int_t)(age_ms == NM_MS_NEVER ? -1 : age_ms), "bound_ms",
           (json_int_t)entry->evacuation.copy_age_max_ms, "epoch",
           (json_int_t)entry->owned_epoch);
}
