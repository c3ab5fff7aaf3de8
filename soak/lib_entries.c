#include "lib_entries.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define HEARTBEAT_MS 1500
/* Of all executors in the store; entries_set_ports() replaces it. */
#define ADDRESS "127.0.0.1:0"

void
entries_init(entries_t *entries, const platform_desc_t *desc)
{
    *entries =
        (entries_t){.heartbeat_ms = desc->heartbeat_ms > 0 ? desc->heartbeat_ms
                                                           : HEARTBEAT_MS,
                    .cpu_milli = desc->fleet.cpu_milli,
                    .store_is_up = true};
    nm_rng_init(&entries->rng, desc->fleet.seed + 2);
}

static void
write_entry(const entries_t *entries, platform_t *platform, uint32_t index,
            nm_ms_t now_ms)
{
    executor_t *executor = executor_at(platform_fleet(platform), index);
    char key[NM_NAME_MAX * 2];
    snprintf(key, sizeof(key), "servers/%s", executor->id);
    const executor_kind_t *kind = &executor_kinds[executor->kind];
    char value[512];
    snprintf(value, sizeof(value),
             "{\"service\":\"%s\",\"address\":\"" ADDRESS "\","
             "\"zone\":\"z%u\",\"state\":\"ready\",\"capacity\":{"
             "\"cpu\":%lld,\"memMb\":1000000},\"labels\":[\"%s\",\"r%u\"],"
             "\"sequence\":%llu,\"born\":%lld}",
             kind->service, index % 3, (long long)entries->cpu_milli,
             kind->label, index / 8, (unsigned long long)++executor->sequence,
             (long long)executor->incarnation);
    platform_put(platform, key, value);
    executor->entry_ms = now_ms;
}

static void
remove_entry(platform_t *platform, executor_t *executor)
{
    if (executor->entry_ms > 0) {
        char key[NM_NAME_MAX * 2];
        snprintf(key, sizeof(key), "servers/%s", executor->id);
        platform_put(platform, key, NULL);
        executor->entry_ms = 0;
    }
}

static nm_ms_t
random_until(entries_t *entries, nm_ms_t now_ms, nm_ms_t max_ms)
{
    return now_ms + nm_rng_below(&entries->rng, (uint32_t)max_ms + 1);
}

/* True if no heartbeat of the executor reaches the store. */
static bool
is_away(const executor_t *executor, nm_ms_t now_ms)
{
    return now_ms < executor->cut_until_ms || executor->joins_at_ms > 0;
}

/* The store is up. */
static void
update_entry(entries_t *entries, platform_t *platform, uint32_t index,
             nm_ms_t now_ms)
{
    executor_t *executor = executor_at(platform_fleet(platform), index);
    if (is_away(executor, now_ms)) {
        executor->was_cut = true;
        return;
    }
    if (executor->was_cut) {
        executor->was_cut = false;
        executor->heartbeat_due_ms =
            random_until(entries, now_ms, entries->heartbeat_ms);
    }
    if (now_ms < executor->heartbeat_due_ms) {
        return;
    }
    executor->heartbeat_due_ms = now_ms + entries->heartbeat_ms;
    if (executor->unresponsive || now_ms < executor->unannounced_until_ms) {
        remove_entry(platform, executor);
    }
    else {
        write_entry(entries, platform, index, now_ms);
    }
}

void
entries_update(entries_t *entries, platform_t *platform, bool store_is_up,
               nm_ms_t now_ms)
{
    bool returned = store_is_up && !entries->store_is_up;
    entries->store_is_up = store_is_up;
    executor_fleet_t *fleet = platform_fleet(platform);
    for (uint32_t i = 0; i < executor_fleet_size(fleet); i++) {
        executor_t *executor = executor_at(fleet, i);
        nm_ms_t expiry_ms =
            executor->entry_ms + ENTRY_HEARTBEATS * entries->heartbeat_ms;
        bool may_expire = store_is_up ? is_away(executor, now_ms)
                                      : entries->expire_in_outage;
        if (may_expire && now_ms >= expiry_ms) {
            remove_entry(platform, executor);
        }
        if (returned && executor->entry_ms == 0) {
            executor->heartbeat_due_ms =
                random_until(entries, now_ms, ENTRY_RETURN_MAX_MS);
        }
        if (store_is_up) {
            update_entry(entries, platform, i, now_ms);
        }
    }
    if (returned) {
        entries->expire_in_outage = false;
    }
}

static void
set_port(json_t *item, unsigned port)
{
    const char *key = json_string_value(json_object_get(item, "key"));
    const char *value = json_string_value(json_object_get(item, "value"));
    if (!key || !value || !g_str_has_prefix(key, "servers/")) {
        return;
    }
    gsize bytes;
    guchar *data = g_base64_decode(value, &bytes);
    char *text = g_strndup((const char *)data, bytes);
    char **parts = g_strsplit(text, ADDRESS, 2);
    char *address = g_strdup_printf("127.0.0.1:%u", port);
    char *changed = g_strjoinv(address, parts);
    char *encoded = g_base64_encode((const guchar *)changed, strlen(changed));
    json_object_set_new(item, "value", json_string(encoded));
    g_free(encoded);
    g_free(changed);
    g_free(address);
    g_strfreev(parts);
    g_free(text);
    g_free(data);
}

void
entries_set_ports(json_t *response, const char *host, uint16_t offset)
{
    const char *colon = host ? strrchr(host, ':') : NULL;
    unsigned port = colon ? (unsigned)atoi(colon + 1) + offset : 0;
    set_port(response, port);
    const char *name;
    json_t *list;
    json_object_foreach(response, name, list)
    {
        size_t i;
        json_t *item;
        json_array_foreach(list, i, item)
        {
            set_port(item, port);
        }
    }
}

static void
format_checkpoint(char *text, size_t bytes, nm_ms_t checkpoint_ms)
{
    text[0] = '\0';
    if (checkpoint_ms > 0) {
        snprintf(text, bytes, "%lld", (long long)checkpoint_ms);
    }
}

json_t *
entries_encode_lists(const executor_t *executor, nm_ms_t now_ms)
{
    json_t *running = json_array();
    for (guint i = 0; i < executor->runs->len; i++) {
        const executor_run_t *run =
            &g_array_index(executor->runs, executor_run_t, i);
        char checkpoint[32] = "";
        /* Only fillers list them: KNOWN-RED.txt, soak --recuts. */
        if (run->fills) {
            format_checkpoint(checkpoint, sizeof(checkpoint),
                              executor_run_checkpoint_ms(run, now_ms));
        }
        json_array_append_new(
            running,
            json_pack("[s,I,s,i,I]", run->task, (json_int_t)run->run,
                      checkpoint, 100,
                      (json_int_t)executor_run_figure(executor, run)));
    }
    json_t *finished = json_array();
    for (guint i = 0; i < executor->ends->len; i++) {
        const executor_end_t *end =
            &g_array_index(executor->ends, executor_end_t, i);
        char checkpoint[32];
        format_checkpoint(checkpoint, sizeof(checkpoint), end->checkpoint_ms);
        json_array_append_new(finished,
                              json_pack("[I,s,I,s,s]", (json_int_t)end->number,
                                        end->task, (json_int_t)end->run,
                                        end->result, checkpoint));
    }
    return json_pack("{s:I,s:I,s:o,s:o}", "clockMs",
                     (json_int_t)executor_clock(executor, now_ms), "born",
                     (json_int_t)executor->incarnation, "running", running,
                     "finished", finished);
}
