#include "control_state.h"

#include <string.h>

#include <ck_pr.h>

/* Concurrent requests forwarded to one other entry host. */
#define FORWARDS_PER_PEER_MAX 32
/* Maximum of the key connections_per_executor. */
#define CONNECTIONS_MAX 1024
#define BYTES_PER_KBIT 125

static void
fill_service(const nm_control_t *control, uint32_t index,
             nm_traffic_service_t *service)
{
    const nm_settings_t *settings = &control->settings;
    const char *path = control->services->pdata[index];
    nm_strcopy(service->name, sizeof(service->name), path);
    if (!nm_settings_has_section(settings, path) ||
        nm_settings_kind(settings, path) != NM_KIND_SERVICE)
    {
        /* The service was deleted: no request path has this prefix. */
        nm_strcopy(service->prefix, sizeof(service->prefix), "\n");
        service->limits.timeout_ms =
            nm_settings_int(settings, path, NM_KEY_TIMEOUT_MS);
        return;
    }
    nm_strcopy(service->prefix, sizeof(service->prefix),
               nm_settings_text(settings, path, NM_KEY_PATH, NULL));
    service->claim_strict =
        nm_settings_bool(settings, path, NM_KEY_CLAIM_STRICT);
    service->limits = (nm_route_service_t){
        .timeout_ms = nm_settings_int(settings, path, NM_KEY_TIMEOUT_MS),
        .attempt_timeout_ms =
            nm_settings_int(settings, path, NM_KEY_ATTEMPT_TIMEOUT_MS),
        .queue_limit =
            (uint32_t)nm_settings_int(settings, path, NM_KEY_QUEUE_LIMIT),
        .retry_budget_pct =
            (uint32_t)nm_settings_int(settings, path, NM_KEY_RETRY_BUDGET),
        .hedge_budget_pct =
            (uint32_t)nm_settings_int(settings, path, NM_KEY_HEDGE_BUDGET),
    };
}

static uint32_t
fill_executors(const nm_control_t *control, nm_traffic_target_t *targets)
{
    uint32_t count = 0;
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, control->executors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const nm_local_executor_t *executor = value;
        nm_traffic_target_t *target = &targets[count++];
        nm_strcopy(target->address, sizeof(target->address),
                   executor->host.address);
        target->target = (nm_route_target_t){
            .id = executor->host.id,
            .type = NM_TARGET_EXECUTOR,
            .service = executor->service,
            .granted_slots = executor->slots,
            .grant_expires_ms = control->grant_expires_ms,
            .leaving = executor->host.leaving || !executor->listed,
            .slowdown = executor->slowdown,
        };
    }
    return count;
}

static uint32_t
fill_peers(const nm_control_t *control, nm_traffic_target_t *targets,
           nm_ms_t now_ms)
{
    uint32_t count = 0;
    for (uint32_t i = 0; i < control->peer_count; i++) {
        const nm_peer_t *peer = &control->peers[i];
        if (!peer->caller_address[0]) {
            continue;
        }
        bool usable = nm_control_peer_is_live(peer, now_ms) && peer->ready &&
                      !peer->leaving && peer->free_slots > 0;
        nm_traffic_target_t *target = &targets[count++];
        nm_strcopy(target->address, sizeof(target->address),
                   peer->caller_address);
        target->target = (nm_route_target_t){
            .id = nm_host_id(peer->config.id),
            .type = peer->same_region ? NM_TARGET_PEER_SAME_REGION
                                      : NM_TARGET_PEER_OTHER_REGION,
            .granted_slots = MIN(peer->free_slots, FORWARDS_PER_PEER_MAX),
            .grant_expires_ms = NM_MS_NEVER / 2,
            .leaving = !usable,
        };
    }
    return count;
}

/*
 * Returns this host's share of the rate at which forwarded requests may use
 * the links of its region.
 */
static uint64_t
link_budget_bytes_per_s(const nm_control_t *control)
{
    const nm_settings_t *settings = &control->settings;
    int64_t rate_kbit = 0;
    const char *path;
    json_t *section;
    json_object_foreach(settings->sections, path, section)
    {
        if (nm_settings_kind(settings, path) != NM_KIND_LINK) {
            continue;
        }
        const char *region = control->desc.config->region;
        const char *from =
            nm_settings_text(settings, path, NM_KEY_LINK_FROM, NULL);
        const char *to =
            nm_settings_text(settings, path, NM_KEY_LINK_TO, NULL);
        if (strcmp(from, region) == 0 || strcmp(to, region) == 0) {
            rate_kbit += nm_settings_int(settings, path, NM_KEY_LINK_RATE) *
                         nm_settings_int(settings, path, NM_KEY_LINK_SHARE) /
                         100;
        }
    }
    /* Unresponsive hosts keep their share: the sum stays in the budget. */
    uint32_t hosts = 1;
    for (uint32_t i = 0; i < control->peer_count; i++) {
        hosts += control->peers[i].same_region;
    }
    return (uint64_t)(rate_kbit * BYTES_PER_KBIT) / hosts;
}

/*
 * Returns this host's share of an executor's connections.  One share is
 * spare, for connections that a replaced host has not closed yet.
 */
static uint32_t
connection_limit(const nm_control_t *control)
{
    uint32_t shares = 2;
    for (uint32_t i = 0; i < control->peer_count; i++) {
        shares += control->peers[i].same_datacentre;
    }
    int64_t connection_min = CONNECTIONS_MAX;
    for (uint32_t i = 0; i < control->services->len; i++) {
        const char *path = control->services->pdata[i];
        int64_t connections =
            nm_settings_int(&control->settings, path, NM_KEY_CONNECTIONS);
        connection_min = MIN(connection_min, connections);
    }
    return (uint32_t)MAX(connection_min / shares, 1);
}

nm_ms_t
nm_control_request_max_ms(const nm_control_t *control)
{
    nm_ms_t longest_ms = 0;
    for (uint32_t i = 0; i < control->services->len; i++) {
        const char *path = control->services->pdata[i];
        nm_ms_t timeout_ms =
            nm_settings_int(&control->settings, path, NM_KEY_TIMEOUT_MS);
        if (timeout_ms > longest_ms) {
            longest_ms = timeout_ms;
        }
    }
    return longest_ms + NM_ROUTE_DETACH_MARGIN_MS;
}

static bool
has_slots(const nm_control_t *control, nm_ms_t now_ms)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, control->executors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const nm_local_executor_t *executor = value;
        if (executor->slots > 0 && now_ms < control->grant_expires_ms) {
            return true;
        }
    }
    return false;
}

/* Returns true if a peer can serve requests that lack slots here. */
static bool
can_forward(const nm_control_t *control, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < control->peer_count; i++) {
        const nm_peer_t *peer = &control->peers[i];
        if (nm_control_peer_is_live(peer, now_ms) && peer->ready &&
            !peer->leaving && peer->free_slots > 0)
        {
            return true;
        }
    }
    return false;
}

/*
 * Returns true if settings and the host list are loaded and there are slots
 * here or at another entry host.  A data centre without executors needs no
 * slots, and a host that is ready stays so while slots are missing.
 */
static bool
is_ready(const nm_control_t *control, nm_ms_t now_ms)
{
    if (control->settings.revision == 0 || !control->host_list ||
        ck_pr_load_32((uint32_t *)&control->leaving))
    {
        return false;
    }
    return g_hash_table_size(control->executors) == 0 || control->ready ||
           has_slots(control, now_ms) || can_forward(control, now_ms);
}

void
nm_control_publish_snapshot(nm_control_t *control, nm_ms_t now_ms)
{
    bool ready = is_ready(control, now_ms);
    if (ready != control->ready) {
        control->ready = ready;
        /*
         * The status is written first, so that a client that sees the host
         * ready does not read an older status.
         */
        nm_control_write_status(control, now_ms);
        nm_ops_set_ready(control->desc.ops, ready);
        nm_log(NM_LOG_INFO, ready ? NM_LOG_ITEM_READY : NM_LOG_ITEM_STOPPING,
               NULL);
        control->snapshot_dirty = true;
    }
    if (!control->snapshot_dirty) {
        return;
    }
    control->snapshot_dirty = false;
    nm_traffic_snapshot_t *snapshot = g_new0(nm_traffic_snapshot_t, 1);
    snapshot->ready = control->settings.revision > 0;
    snapshot->grant_number = control->grant_number;
    snapshot->link_bytes_per_s = link_budget_bytes_per_s(control);
    snapshot->connections_per_host = connection_limit(control);
    snapshot->service_count = control->services->len;
    snapshot->services =
        g_new0(nm_traffic_service_t, snapshot->service_count + 1);
    for (uint32_t i = 0; i < snapshot->service_count; i++) {
        fill_service(control, i, &snapshot->services[i]);
    }
    uint32_t target_max =
        g_hash_table_size(control->executors) + control->peer_count;
    snapshot->targets = g_new0(nm_traffic_target_t, target_max + 1);
    snapshot->target_count = fill_executors(control, snapshot->targets);
    snapshot->target_count += fill_peers(
        control, snapshot->targets + snapshot->target_count, now_ms);
    nm_traffic_publish(control->desc.traffic, snapshot);
}
