#include "control_state.h"

#include <assert.h>
#include <string.h>
#include <time.h>

#include <ck_pr.h>

/* Longest wait for events between two iterations. */
#define LOOP_WAIT_MS 5
/* Interval between updates of the operators' pages. */
#define STATUS_INTERVAL_MS 250

nm_peer_t *
nm_control_find_peer(nm_control_t *control, const char *id)
{
    for (uint32_t i = 0; i < control->peer_count; i++) {
        if (strcmp(control->peers[i].config.id, id) == 0) {
            return &control->peers[i];
        }
    }
    return NULL;
}

void
nm_control_send(nm_control_t *control, nm_peer_t *peer,
                NmPb__PeerMessage *message)
{
    message->sender = control->desc.config->id;
    message->incarnation = control->desc.incarnation;
    size_t bytes = nm_pb__peer_message__get_packed_size(message);
    uint8_t *data = g_malloc(bytes);
    nm_pb__peer_message__pack(message, data);
    nm_peer_port_send(control->desc.peers, (uint32_t)(peer - control->peers),
                      data, (uint32_t)bytes);
    g_free(data);
}

static void
handle_message(nm_control_t *control, const uint8_t *data, uint32_t bytes,
               nm_ms_t now_ms)
{
    NmPb__PeerMessage *message =
        nm_pb__peer_message__unpack(NULL, bytes, data);
    nm_peer_t *peer =
        message ? nm_control_find_peer(control, message->sender) : NULL;
    if (!peer) {
        nm_count_reason(NM_REASON_PEER_MALFORMED);
        if (message) {
            nm_pb__peer_message__free_unpacked(message, NULL);
        }
        return;
    }
    if (message->heartbeat) {
        nm_control_handle_heartbeat(control, peer, message->incarnation,
                                    message->heartbeat, now_ms);
    }
    if (message->grant_ask && peer->same_datacentre) {
        nm_control_handle_grant_request(control, peer, message->incarnation,
                                        message->grant_ask, now_ms);
    }
    if (message->grant_answer && peer->same_datacentre) {
        nm_control_handle_grant_response(control, message->grant_answer,
                                         now_ms);
    }
    if (message->settings_ask) {
        nm_control_handle_settings_request(control, peer,
                                           message->settings_ask);
    }
    if (message->settings) {
        nm_control_handle_settings_part(control, message->settings, now_ms);
    }
    nm_pb__peer_message__free_unpacked(message, NULL);
}

static void
handle_messages(nm_control_t *control, nm_ms_t now_ms)
{
    uint8_t *data;
    uint32_t bytes;
    while (nm_peer_port_next(control->desc.peers, &data, &bytes)) {
        handle_message(control, data, bytes, now_ms);
        g_free(data);
    }
}

static void
update_host_list(nm_control_t *control, nm_ms_t now_ms)
{
    nm_host_list_t *list = nm_hosts_take(control->desc.hosts);
    if (list) {
        nm_host_list_free(control->host_list);
        control->host_list = list;
        nm_control_apply_hosts(control, now_ms);
    }
}

static void
handle_worker_events(nm_control_t *control, nm_ms_t now_ms)
{
    nm_worker_event_t event;
    while (nm_worker_port_next(control->desc.workers, &event)) {
        control->syncs_in_flight--;
        if (event.succeeded) {
            nm_shard_sync_reply(&control->shard, event.worker, event.sequence,
                                &event.reply, now_ms);
        }
        else {
            nm_shard_sync_failed(&control->shard, event.worker, event.sequence,
                                 now_ms);
        }
    }
}

static void
update_report(nm_control_t *control)
{
    nm_traffic_report_t *report =
        nm_traffic_take_report(control->desc.traffic);
    if (report) {
        nm_traffic_report_free(control->report);
        control->report = report;
    }
}

static void
update_store_health(nm_control_t *control)
{
    bool healthy = nm_settings_feed_is_healthy(control->feed);
    if (healthy != control->store_healthy) {
        control->store_healthy = healthy;
        nm_log(healthy ? NM_LOG_INFO : NM_LOG_WARN,
               healthy ? NM_LOG_ITEM_STORE_RECOVERED
                       : NM_LOG_ITEM_STORE_FAILED,
               NULL);
    }
}

static void
run_iteration(nm_control_t *control)
{
    nm_ms_t now_ms = nm_clock_now(control->desc.clock);
    nm_control_extend_deadlines(control, now_ms);
    nm_control_process_updates(control, now_ms);
    update_host_list(control, now_ms);
    handle_messages(control, now_ms);
    handle_worker_events(control, now_ms);
    update_report(control);
    update_store_health(control);
    nm_control_elect(control, now_ms);
    nm_control_run_shard(control, now_ms);
    nm_control_update_grants(control, now_ms);
    nm_control_request_grants(control, now_ms);
    nm_control_request_missing_settings(control, now_ms);
    nm_control_send_heartbeats(control, false, now_ms);
    nm_control_publish_snapshot(control, now_ms);
    if (now_ms - control->status_written_ms >= STATUS_INTERVAL_MS) {
        control->status_written_ms = now_ms;
        nm_control_write_status(control, now_ms);
    }
}

static void *
run_control(void *user)
{
    nm_control_t *control = user;
    int fd = nm_peer_port_fd(control->desc.peers);
    while (!ck_pr_load_32(&control->exit_requested)) {
        run_iteration(control);
        nm_worker_port_wait(control->desc.workers, LOOP_WAIT_MS, fd);
    }
    return NULL;
}

static void
wake_control(void *user)
{
    nm_control_t *control = user;
    nm_worker_port_wake(control->desc.workers);
}

static void
add_peers(nm_control_t *control)
{
    const nm_config_t *config = control->desc.config;
    control->peer_count = config->peer_count;
    control->peers = g_new0(nm_peer_t, config->peer_count);
    for (uint32_t i = 0; i < config->peer_count; i++) {
        nm_peer_t *peer = &control->peers[i];
        peer->config = config->peers[i];
        peer->same_datacentre =
            strcmp(peer->config.datacentre, config->datacentre) == 0;
        peer->same_region = strcmp(peer->config.region, config->region) == 0;
    }
}

nm_control_t *
nm_control_new(const nm_control_desc_t *desc)
{
    assert(desc && desc->config && desc->clock && desc->incarnation != 0);
    nm_control_t *control = g_new0(nm_control_t, 1);
    control->desc = *desc;
    nm_rng_init(&control->rng, desc->incarnation);
    nm_settings_init(&control->settings);
    g_queue_init(&control->settings_parts);
    control->services = g_ptr_array_new_with_free_func(g_free);
    control->executors =
        g_hash_table_new_full(g_direct_hash, g_direct_equal, NULL, g_free);
    control->store_healthy = true;
    control->started_ms = nm_clock_now(desc->clock);
    control->follower_since_ms = control->started_ms;
    add_peers(control);
    nm_shard_init(&control->shard, &(nm_shard_desc_t){
                                       .owner_id = desc->incarnation,
                                       .seed = desc->incarnation,
                                   });
    /* The seeds differ, so that the journals' append tokens do. */
    control->shard_store =
        nm_shard_store_new(desc->store, desc->config->datacentre,
                           desc->incarnation ^ 1, wake_control, control);
    control->feed = nm_settings_feed_new(desc->store, desc->incarnation ^ 2,
                                         wake_control, control);
    pthread_create(&control->thread, NULL, run_control, control);
    return control;
}

void
nm_control_leave(nm_control_t *control)
{
    assert(control);
    nm_ops_set_ready(control->desc.ops, false);
    ck_pr_store_32(&control->leaving, 1);
    wake_control(control);
}

void
nm_control_free(nm_control_t *control)
{
    assert(control);
    ck_pr_store_32(&control->exit_requested, 1);
    wake_control(control);
    pthread_join(control->thread, NULL);
    nm_settings_feed_free(control->feed);
    nm_shard_store_free(control->shard_store);
    nm_shard_finish(&control->shard);
    if (control->grants_active) {
        nm_grant_finish(&control->grants);
    }
    nm_settings_finish(&control->settings);
    nm_control_free_settings_parts(control);
    nm_traffic_report_free(control->report);
    nm_host_list_free(control->host_list);
    g_ptr_array_free(control->services, TRUE);
    g_hash_table_unref(control->executors);
    g_free(control->peers);
    g_free(control);
}
