/* Load of the owner, as it is logged and as it decides on a hand-over. */
#include <glib.h>

#include <nutmegdeck/limits.h>

#include "lib_entry_host.h"

#define OTHER_JOB_KEY "nutmegdeck/jobs/5c0e7a21d94b36f9"
/* A round of placement, the checks of the store, and the clock's steps. */
#define LAG_USUAL_MAX_MS 100
#define LOG_INTERVAL_MS 1000
/* More tasks than starts that may be in flight. */
#define MANY_TASKS                                                            \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":1000,\"cpu_milli\":1}]}"

/* Runs until an event waits for its placement. */
static void
run_until_event(host_t *host)
{
    for (int i = 0; i < 100 && host->entry->load.event_ms == 0; i++) {
        run_host(host, 10);
    }
    g_assert_cmpint(host->entry->load.event_ms, >, 0);
}

/*
 * A host that stalls between an event and its placement must show that as lag,
 * in one line of the log.
 */
static void
test_stall_shows_as_lag(void)
{
    enum { STALL_MS = 700 };
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, "servers/w1", WORKER);
    host_t host;
    host_init(&host, "a", kv);
    run_host(&host, 1500);
    const nm_owner_load_t *load = &host.entry->load;
    fake_kv_put(kv, JOB_KEY, RECORD);
    run_host(&host, 200);
    g_assert_cmpuint(host.orders.starts, ==, 2);
    g_assert_cmpint(load->lag_max_ms, <=, LAG_USUAL_MAX_MS);
    g_assert_cmpuint(load->late_lines, ==, 0);
    fake_kv_put(kv, OTHER_JOB_KEY, RECORD);
    run_until_event(&host);
    host.clock.manual_ms += STALL_MS;
    nm_entry_run(host.entry);
    bool logged = load->late_lines > 0;
    g_assert_true(logged || load->lag_max_ms >= STALL_MS);
    g_assert_true(logged || load->late_max_ms >= STALL_MS / 2);
    run_host(&host, logged ? 0 : LOG_INTERVAL_MS);
    g_assert_cmpuint(load->late_lines, ==, 1);
    run_host(&host, LOG_INTERVAL_MS + LAG_USUAL_MAX_MS);
    g_assert_cmpuint(load->late_lines, ==, 0);
    host_finish(&host);
    fake_kv_free(kv);
}

/*
 * Tasks wait for the responses to starts, while the host has time to spare:
 * that is lag, but a host with more CPU would have as much.
 */
static void
test_unanswered_starts_are_no_load(void)
{
    fake_kv_t *kv = configured_store();
    fake_kv_put(kv, "servers/w1", WORKER);
    host_t host;
    host_init(&host, "a", kv);
    host.entry->desc.cpu_share = NM_CPU_SHARE_MAX;
    run_host(&host, 1500);
    const nm_owner_load_t *load = &host.entry->load;
    host.orders.holds_starts = true;
    fake_kv_put(kv, JOB_KEY, MANY_TASKS);
    run_host(&host, 3 * LOG_INTERVAL_MS + LAG_USUAL_MAX_MS);
    g_assert_true(load->placement.cut);
    g_assert_cmpint(load->event_ms, >, 0);
    g_assert_cmpint(host.clock.manual_ms - load->event_ms, >, LOG_INTERVAL_MS);
    g_assert_cmpuint(load->late_lines, ==, 0);
    host_finish(&host);
    fake_kv_free(kv);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/entry/stall-shows-as-lag", test_stall_shows_as_lag);
    g_test_add_func("/entry/unanswered-starts-are-no-load",
                    test_unanswered_starts_are_no_load);
    return g_test_run();
}
