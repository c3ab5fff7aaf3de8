/*
 * State shared by the parts of the control thread.
 *
 * Internal.  control.c runs the thread, control_settings.c installs
 * settings revisions and the host list, control_member.c exchanges
 * heartbeats, elects the owner and runs the shard, control_grant.c requests
 * and issues grants, control_snapshot.c builds the traffic thread's snapshot
 * and control_status.c writes the operators' pages.
 */
#ifndef NM_CONTROL_STATE_H
#define NM_CONTROL_STATE_H

#include <pthread.h>

#include <glib.h>

#include <nutmegdeck/grant.h>
#include <nutmegdeck/log.h>
#include <nutmegdeck/settings.h>
#include <nutmegdeck/shard.h>

#include "control.h"
#include "peer.pb-c.h"

/* Settings updates retained for peers that are behind. */
#define NM_SETTINGS_PARTS_MAX 32

/* Another entry host, as its last heartbeat reported it. */
typedef struct {
    nm_config_peer_t config;
    bool same_datacentre;
    bool same_region;
    uint64_t incarnation;
    nm_ms_t last_heartbeat_ms; /* 0: none received yet */
    int64_t epoch;
    bool owner;
    bool active;
    bool leaving;
    bool ready;
    int64_t settings_revision;
    char caller_address[NM_NAME_MAX * 2];
    uint32_t free_slots;
    nm_ms_t settings_requested_ms;
} nm_peer_t;

/* An executor of this data centre and the slots granted to this host. */
typedef struct {
    nm_executor_host_t host;
    uint32_t service; /* index in the snapshot */
    uint16_t slots;   /* granted */
    float slowdown;
    bool listed; /* in the newest host list */
} nm_local_executor_t;

/* A settings update, retained for peers that are behind. */
typedef struct {
    int64_t from_revision; /* 0: the delta sets the whole tree */
    int64_t to_revision;
    char *delta_text;
} nm_settings_part_t;

struct nm_control {
    nm_control_desc_t desc;
    pthread_t thread;
    uint32_t exit_requested;
    uint32_t leaving;
    nm_rng_t rng;
    /* Settings */
    nm_settings_t settings;
    nm_settings_feed_t *feed;
    GQueue settings_parts; /* of nm_settings_part_t, oldest first */
    nm_ms_t settings_installed_ms;
    GPtrArray *services; /* section paths; their indexes are stable */
    /* Hosts and peers */
    nm_host_list_t *host_list;
    nm_peer_t *peers;
    uint32_t peer_count;
    nm_ms_t local_heartbeat_sent_ms;
    nm_ms_t remote_heartbeat_sent_ms;
    nm_ms_t started_ms;
    nm_ms_t iterated_ms;       /* start of the last iteration; 0: none */
    nm_ms_t follower_since_ms; /* follower without a known owner since then */
    nm_ms_t campaign_after_ms; /* until then a newer owner may exist */
    nm_shard_phase_t last_phase;
    nm_ms_t last_authority_ms; /* last time with authority as owner */
    /* Shard */
    nm_shard_t shard;
    nm_shard_store_t *shard_store;
    bool journal_busy;
    bool journal_needs_snapshot;
    nm_ms_t journal_written_ms;
    nm_ms_t journal_retry_ms;
    uint32_t syncs_in_flight;
    /* Grants issued, while owner */
    nm_grant_t grants;
    bool grants_active;
    int64_t grants_epoch;
    /* Grants held */
    GHashTable *executors; /* id to nm_local_executor_t */
    uint64_t grant_number; /* of the response whose slots are published */
    uint64_t grant_seen;   /* of the newest response, probes included */
    int64_t grant_epoch;
    nm_ms_t grant_expires_ms;
    nm_ms_t grant_requested_ms;
    nm_traffic_report_t *report;
    /* Snapshot and status */
    bool snapshot_dirty;
    bool ready;
    nm_ms_t status_written_ms;
    bool store_healthy;
};

/* control.c */
void nm_control_send(nm_control_t *control, nm_peer_t *peer,
                     NmPb__PeerMessage *message);
nm_peer_t *nm_control_find_peer(nm_control_t *control, const char *id);

/* control_settings.c */
/* Installs updates from the store and sends them to local peers. */
void nm_control_process_updates(nm_control_t *control, nm_ms_t now_ms);
void nm_control_handle_settings_part(nm_control_t *control,
                                     const NmPb__SettingsPart *part,
                                     nm_ms_t now_ms);
void nm_control_handle_settings_request(nm_control_t *control, nm_peer_t *peer,
                                        const NmPb__SettingsAsk *request);
/* Requests missing revisions from a live peer that is ahead. */
void nm_control_request_missing_settings(nm_control_t *control,
                                         nm_ms_t now_ms);
/* Applies the newest host list under the installed settings. */
void nm_control_apply_hosts(nm_control_t *control, nm_ms_t now_ms);
void nm_control_free_settings_parts(nm_control_t *control);

/* control_member.c */
void nm_control_send_heartbeats(nm_control_t *control, bool at_once,
                                nm_ms_t now_ms);
void nm_control_handle_heartbeat(nm_control_t *control, nm_peer_t *peer,
                                 uint64_t incarnation,
                                 const NmPb__Heartbeat *heartbeat,
                                 nm_ms_t now_ms);
/*
 * Extends the time limits of peers and workers by a stall of this host itself.
 * Called first in each iteration.
 */
void nm_control_extend_deadlines(nm_control_t *control, nm_ms_t now_ms);
bool nm_control_peer_is_live(const nm_peer_t *peer, nm_ms_t now_ms);
/* Takes part in the election: campaigns, resigns or waits. */
void nm_control_elect(nm_control_t *control, nm_ms_t now_ms);
/* Runs the shard, its journal and the syncs with its workers. */
void nm_control_run_shard(nm_control_t *control, nm_ms_t now_ms);

/* control_grant.c */
void nm_control_request_grants(nm_control_t *control, nm_ms_t now_ms);
void nm_control_handle_grant_request(nm_control_t *control, nm_peer_t *peer,
                                     uint64_t holder,
                                     const NmPb__GrantAsk *request,
                                     nm_ms_t now_ms);
void nm_control_handle_grant_response(nm_control_t *control,
                                      const NmPb__GrantAnswer *response,
                                      nm_ms_t now_ms);
/* Starts to issue grants as the owner; stops when ownership ends. */
void nm_control_update_grants(nm_control_t *control, nm_ms_t now_ms);

/* control_snapshot.c */
/* Updates readiness and, after changes, the traffic thread's snapshot. */
void nm_control_publish_snapshot(nm_control_t *control, nm_ms_t now_ms);
/* Returns the longest time that a request may occupy a slot. */
nm_ms_t nm_control_request_max_ms(const nm_control_t *control);

/* control_status.c */
void nm_control_write_status(nm_control_t *control, nm_ms_t now_ms);

#endif
