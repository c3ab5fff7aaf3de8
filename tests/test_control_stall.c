/*
 * The election of a data centre's owner by a host that stalls.
 *
 * Guards against a host that takes its own stall for the silence of the owner
 * or of the workers, and takes over from a healthy owner, or resigns.
 */
#include <glib.h>

#include "../src/control_state.h"

#define STEP_MS 5
#define HEARTBEAT_MS 200

static int
discard(nm_peer_port_t *port, uint32_t peer, const void *data, uint32_t bytes)
{
    (void)port;
    (void)peer;
    (void)data;
    (void)bytes;
    return NM_OK;
}

static void
ignore_wake(void *user)
{
    (void)user;
}

/* Iterates; with heartbeats, the peer is the owner. */
static void
run(nm_control_t *control, nm_ms_t *now_ms, nm_ms_t duration_ms,
    bool heartbeats)
{
    for (nm_ms_t end_ms = *now_ms + duration_ms; *now_ms < end_ms;) {
        *now_ms += STEP_MS;
        nm_control_extend_deadlines(control, *now_ms);
        if (heartbeats && *now_ms % HEARTBEAT_MS == 0) {
            NmPb__Heartbeat heartbeat = NM_PB__HEARTBEAT__INIT;
            heartbeat.owner = true;
            heartbeat.epoch = 1;
            nm_control_handle_heartbeat(control, &control->peers[0], 2,
                                        &heartbeat, *now_ms);
        }
        nm_control_elect(control, *now_ms);
    }
}

static void
test_own_stall_is_no_absence(void)
{
    static const struct {
        const char *name;
        bool owner;      /* this host owns the shard; else the peer does */
        bool heartbeats; /* the peer lives after the stall */
        nm_ms_t stall_ms;
        nm_ms_t run_ms; /* after the stall */
        bool owner_after;
    } cases[] = {
        {"owner lives", false, true, 1500, 100, false},
        {"owner lives, long stall", false, true, 30000, 100, false},
        {"owner is gone", false, false, 1500, 1500, true},
        {"no stall, owner is gone", false, false, 0, 1500, true},
        {"owner stalls", true, false, 10000, 1500, true},
        {"owner stalls, workers are gone", true, false, 10000, 6500, false},
    };
    static const nm_peer_port_vtable_t vtable = {.send = discard};
    nm_peer_port_t port = {.vtable = &vtable};
    nm_config_t config = {.id = "a", .datacentre = "x", .address = "::1"};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        nm_ms_t now_ms = 10000;
        nm_store_memory_t memory;
        nm_store_t *store = nm_store_memory_init(&memory);
        nm_peer_t peer = {.config.id = "b", .same_datacentre = true};
        nm_host_list_t hosts = {0};
        nm_control_t control = {
            .desc = {.config = &config, .incarnation = 1, .peers = &port},
            .host_list = &hosts,
            .settings.revision = 1,
            .peers = &peer,
            .peer_count = 1,
            .started_ms = now_ms,
            .follower_since_ms = now_ms,
        };
        control.feed = nm_settings_feed_new(store, 1, ignore_wake, NULL);
        nm_shard_init(&control.shard, &(nm_shard_desc_t){.owner_id = 1});
        nm_shard_set_worker(&control.shard, &(nm_shard_worker_t){.id = 1},
                            now_ms);
        run(&control, &now_ms, 1000, !cases[i].owner);
        if (cases[i].owner) {
            nm_shard_campaign(&control.shard, now_ms);
            control.last_authority_ms = now_ms;
        }
        run(&control, &now_ms, STEP_MS, false);
        now_ms += cases[i].stall_ms;
        run(&control, &now_ms, cases[i].run_ms, cases[i].heartbeats);
        g_test_message("%s", cases[i].name);
        g_assert_cmpint(nm_shard_query(&control.shard, now_ms).phase !=
                            NM_SHARD_FOLLOWER,
                        ==, cases[i].owner_after);
        nm_settings_feed_free(control.feed);
        nm_shard_finish(&control.shard);
        nm_store_memory_finish(&memory);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/control/own-stall-is-no-absence",
                    test_own_stall_is_no_absence);
    return g_test_run();
}
