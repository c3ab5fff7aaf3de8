#include "control_state.h"

#include <string.h>
#include <time.h>

#include <ck_pr.h>

/* Names with REMOTE apply to peers of other data centres. */
#define HEARTBEAT_INTERVAL_MS 200
#define REMOTE_HEARTBEAT_INTERVAL_MS 1000
/* A peer without a heartbeat for this long is treated as down. */
#define PEER_TIMEOUT_MS 1200
#define REMOTE_PEER_TIMEOUT_MS 5000
/*
 * After its start, a host waits at most this long for a first heartbeat of
 * each peer of its data centre before it campaigns.
 */
#define START_GRACE_MS 2500
/*
 * An owner that became a follower, such as after a worker reported a higher
 * epoch, waits this long for the newer owner's heartbeat before it campaigns.
 */
#define SUPERSEDED_WAIT_MS 2000
/* Entry hosts campaign in the order of their names, at this interval. */
#define CAMPAIGN_STAGGER_MS 400
/* An owner resigns after this long without a majority of the workers. */
#define AUTHORITY_TIMEOUT_MS 6000
#define SYNCS_IN_FLIGHT_MAX 256
/* Minimum interval between appends to the shard's journal. */
#define JOURNAL_INTERVAL_MS 100
/* Pause after a failed load or append. */
#define JOURNAL_RETRY_MS 500

bool
nm_control_peer_is_live(const nm_peer_t *peer, nm_ms_t now_ms)
{
    nm_ms_t timeout_ms =
        peer->same_datacentre ? PEER_TIMEOUT_MS : REMOTE_PEER_TIMEOUT_MS;
    return peer->last_heartbeat_ms > 0 &&
           now_ms - peer->last_heartbeat_ms < timeout_ms;
}

void
nm_control_extend_deadlines(nm_control_t *control, nm_ms_t now_ms)
{
    nm_ms_t pause_ms =
        control->iterated_ms > 0 ? now_ms - control->iterated_ms : 0;
    control->iterated_ms = now_ms;
    if (pause_ms < NM_LOCAL_STALL_MIN_MS) {
        return;
    }
    /* Messages of this time wait in the sockets. */
    for (uint32_t i = 0; i < control->peer_count; i++) {
        nm_peer_t *peer = &control->peers[i];
        peer->last_heartbeat_ms += peer->last_heartbeat_ms > 0 ? pause_ms : 0;
    }
    control->follower_since_ms += pause_ms;
    control->last_authority_ms += pause_ms;
}

void
nm_control_send_heartbeats(nm_control_t *control, bool at_once, nm_ms_t now_ms)
{
    bool local_due = at_once || now_ms - control->local_heartbeat_sent_ms >=
                                    HEARTBEAT_INTERVAL_MS;
    bool remote_due = at_once || now_ms - control->remote_heartbeat_sent_ms >=
                                     REMOTE_HEARTBEAT_INTERVAL_MS;
    if (!local_due && !remote_due) {
        return;
    }
    const nm_config_t *config = control->desc.config;
    nm_shard_info_t info = nm_shard_query(&control->shard, now_ms);
    char address[NM_NAME_MAX * 2];
    g_snprintf(address, sizeof(address), "http://%s:%d", config->address,
               config->caller_port);
    NmPb__Heartbeat heartbeat = NM_PB__HEARTBEAT__INIT;
    heartbeat.datacentre = config->datacentre;
    heartbeat.region = config->region;
    heartbeat.epoch = info.epoch;
    heartbeat.owner = info.phase != NM_SHARD_FOLLOWER;
    heartbeat.active = info.phase == NM_SHARD_ACTIVE && info.authority;
    heartbeat.leaving = ck_pr_load_32(&control->leaving);
    heartbeat.ready = control->ready;
    heartbeat.store_ok = control->store_healthy;
    heartbeat.settings_revision = control->settings.revision;
    heartbeat.caller_address = address;
    heartbeat.free_slots = control->report ? control->report->free_slots : 0;
    NmPb__PeerMessage message = NM_PB__PEER_MESSAGE__INIT;
    message.heartbeat = &heartbeat;
    for (uint32_t i = 0; i < control->peer_count; i++) {
        nm_peer_t *peer = &control->peers[i];
        if (peer->same_datacentre ? local_due : remote_due) {
            nm_control_send(control, peer, &message);
        }
    }
    control->local_heartbeat_sent_ms =
        local_due ? now_ms : control->local_heartbeat_sent_ms;
    control->remote_heartbeat_sent_ms =
        remote_due ? now_ms : control->remote_heartbeat_sent_ms;
}

void
nm_control_handle_heartbeat(nm_control_t *control, nm_peer_t *peer,
                            uint64_t incarnation,
                            const NmPb__Heartbeat *heartbeat, nm_ms_t now_ms)
{
    bool was_ready = peer->ready;
    peer->incarnation = incarnation;
    peer->last_heartbeat_ms = now_ms;
    peer->epoch = heartbeat->epoch;
    peer->owner = heartbeat->owner;
    peer->active = heartbeat->active;
    peer->leaving = heartbeat->leaving;
    peer->ready = heartbeat->ready;
    peer->settings_revision = heartbeat->settings_revision;
    peer->free_slots = heartbeat->free_slots;
    nm_strcopy(peer->caller_address, sizeof(peer->caller_address),
               heartbeat->caller_address ? heartbeat->caller_address : "");
    if (was_ready != peer->ready || !peer->same_datacentre) {
        control->snapshot_dirty = true;
    }
    if (!peer->same_datacentre) {
        return;
    }
    nm_shard_observe_epoch(&control->shard, peer->epoch);
    nm_shard_info_t info = nm_shard_query(&control->shard, now_ms);
    if (info.phase != NM_SHARD_FOLLOWER && peer->owner &&
        peer->epoch > info.epoch) {
        nm_shard_resign(&control->shard);
        control->follower_since_ms = now_ms;
    }
}

/* Returns this host's position in the campaign order of the live hosts. */
static uint32_t
campaign_rank(const nm_control_t *control, nm_ms_t now_ms)
{
    uint32_t rank = 0;
    for (uint32_t i = 0; i < control->peer_count; i++) {
        const nm_peer_t *peer = &control->peers[i];
        if (peer->same_datacentre && !peer->leaving &&
            nm_control_peer_is_live(peer, now_ms) &&
            strcmp(peer->config.id, control->desc.config->id) < 0)
        {
            rank++;
        }
    }
    return rank;
}

static bool
owner_is_known(const nm_control_t *control, nm_ms_t now_ms)
{
    for (uint32_t i = 0; i < control->peer_count; i++) {
        const nm_peer_t *peer = &control->peers[i];
        if (peer->same_datacentre && peer->owner && !peer->leaving &&
            nm_control_peer_is_live(peer, now_ms))
        {
            return true;
        }
    }
    return false;
}

static void
step_down(nm_control_t *control, nm_ms_t now_ms)
{
    nm_shard_resign(&control->shard);
    control->follower_since_ms = now_ms;
    nm_control_send_heartbeats(control, true, now_ms);
}

void
nm_control_elect(nm_control_t *control, nm_ms_t now_ms)
{
    nm_shard_info_t info = nm_shard_query(&control->shard, now_ms);
    bool leaving = ck_pr_load_32(&control->leaving);
    nm_settings_feed_set_watching(
        control->feed, !leaving && (info.phase != NM_SHARD_FOLLOWER ||
                                    !owner_is_known(control, now_ms)));
    if (info.phase == NM_SHARD_FOLLOWER &&
        control->last_phase != NM_SHARD_FOLLOWER)
    {
        /* Superseded: wait for a heartbeat of the newer owner. */
        control->campaign_after_ms = now_ms + SUPERSEDED_WAIT_MS;
        control->follower_since_ms = now_ms;
    }
    control->last_phase = info.phase;
    if (info.phase != NM_SHARD_FOLLOWER) {
        if (info.authority) {
            control->last_authority_ms = now_ms;
        }
        if (leaving ||
            now_ms - control->last_authority_ms > AUTHORITY_TIMEOUT_MS) {
            step_down(control, now_ms);
        }
        return;
    }
    bool inputs_loaded = control->settings.revision > 0 &&
                         control->host_list && info.workers > 0;
    if (leaving || !inputs_loaded || owner_is_known(control, now_ms)) {
        control->follower_since_ms = now_ms;
        return;
    }
    nm_ms_t wait_ms = CAMPAIGN_STAGGER_MS * campaign_rank(control, now_ms);
    bool all_peers_seen = true;
    for (uint32_t i = 0; i < control->peer_count; i++) {
        all_peers_seen =
            all_peers_seen && (!control->peers[i].same_datacentre ||
                               control->peers[i].last_heartbeat_ms > 0);
    }
    if (!all_peers_seen && now_ms - control->started_ms < START_GRACE_MS) {
        return;
    }
    if (now_ms < control->campaign_after_ms ||
        now_ms - control->follower_since_ms < wait_ms)
    {
        return;
    }
    control->last_authority_ms = now_ms;
    control->journal_busy = false;
    nm_shard_campaign(&control->shard, now_ms);
    nm_control_send_heartbeats(control, true, now_ms);
}

/* The shard's journal */

static void
handle_load_result(nm_control_t *control,
                   const nm_shard_store_result_t *result, nm_ms_t now_ms)
{
    nm_shard_observe_epoch(&control->shard, result->epoch);
    if (result->rc == NM_ERR_STALE) {
        /*
         * The journal has this or a newer epoch, which the workers no
         * longer know.  It was observed above, so the next campaign exceeds
         * it.
         */
        step_down(control, now_ms);
        return;
    }
    if (result->rc < 0) {
        control->journal_retry_ms = now_ms + JOURNAL_RETRY_MS;
        return;
    }
    nm_shard_journal_reset(&control->shard);
    for (uint32_t i = 0; i < result->records->len; i++) {
        gsize bytes = 0;
        const void *data = g_bytes_get_data(result->records->pdata[i], &bytes);
        if (nm_shard_journal_replay(&control->shard, data, (uint32_t)bytes) <
            0) {
            nm_log(NM_LOG_ERROR, NM_LOG_ITEM_STORE_FAILED, "{s:s}", "reason",
                   "malformed journal record");
        }
    }
    nm_shard_journal_loaded(&control->shard, now_ms);
}

static void
handle_append_result(nm_control_t *control,
                     const nm_shard_store_result_t *result, nm_ms_t now_ms)
{
    bool committed = result->rc == NM_OK;
    nm_shard_journal_append_done(&control->shard, committed, now_ms);
    if (committed) {
        return;
    }
    if (result->rc == NM_ERR_CONFLICT || result->rc == NM_ERR_STALE) {
        /* Another owner wrote to the journal and supersedes this one. */
        step_down(control, now_ms);
        return;
    }
    control->journal_retry_ms = now_ms + JOURNAL_RETRY_MS;
}

static void
handle_journal_results(nm_control_t *control, nm_ms_t now_ms)
{
    nm_shard_store_result_t *result;
    while ((result = nm_shard_store_next(control->shard_store))) {
        nm_shard_info_t info = nm_shard_query(&control->shard, now_ms);
        bool current = result->request_epoch == info.epoch &&
                       info.phase != NM_SHARD_FOLLOWER;
        if (!current) {
            /* Requested in an earlier term of this host as owner. */
            nm_shard_store_result_free(result);
            continue;
        }
        control->journal_busy = false;
        control->journal_needs_snapshot = result->needs_snapshot;
        if (result->is_load) {
            handle_load_result(control, result, now_ms);
        }
        else {
            handle_append_result(control, result, now_ms);
        }
        nm_shard_store_result_free(result);
    }
}

static void
run_journal(nm_control_t *control, nm_shard_phase_t phase, nm_ms_t now_ms)
{
    if (control->journal_busy || now_ms < control->journal_retry_ms) {
        return;
    }
    if (phase == NM_SHARD_LOADING) {
        control->journal_busy = true;
        nm_shard_info_t info = nm_shard_query(&control->shard, now_ms);
        nm_shard_store_load(control->shard_store, info.epoch);
        return;
    }
    if (phase != NM_SHARD_ACTIVE ||
        now_ms - control->journal_written_ms < JOURNAL_INTERVAL_MS)
    {
        return;
    }
    uint32_t bytes = 0;
    uint8_t *record = nm_shard_journal_take_record(&control->shard, &bytes);
    if (!record) {
        return;
    }
    uint32_t snapshot_bytes = 0;
    uint8_t *snapshot = NULL;
    if (control->journal_needs_snapshot) {
        snapshot = nm_shard_journal_snapshot(&control->shard, &snapshot_bytes);
    }
    control->journal_busy = true;
    control->journal_written_ms = now_ms;
    nm_shard_info_t info = nm_shard_query(&control->shard, now_ms);
    nm_shard_store_append(control->shard_store, record, bytes, snapshot,
                          snapshot_bytes, info.epoch);
}

void
nm_control_run_shard(nm_control_t *control, nm_ms_t now_ms)
{
    handle_journal_results(control, now_ms);
    nm_shard_tick(&control->shard, now_ms, (int64_t)time(NULL));
    nm_shard_phase_t phase = nm_shard_query(&control->shard, now_ms).phase;
    run_journal(control, phase, now_ms);
    const nm_sync_t *sync;
    while (control->syncs_in_flight < SYNCS_IN_FLIGHT_MAX &&
           (sync = nm_shard_next_sync(&control->shard, now_ms)))
    {
        if (nm_worker_port_sync(control->desc.workers, sync) < 0) {
            nm_shard_sync_failed(&control->shard, sync->worker, sync->sequence,
                                 now_ms);
            break;
        }
        control->syncs_in_flight++;
    }
}
