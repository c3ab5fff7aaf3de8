/*
 * nutmegentry: an entry host for jobs on the users' platform.
 *
 * Reads its settings from a JSON file, whose path is given by --settings or
 * NUTMEGDECK_CONFIG.  SIGTERM or SIGINT begins a graceful shutdown; SIGHUP
 * checks the settings file again.  Exit status: 0 after a shutdown, 1 if an
 * address cannot be bound, 2 if the settings are missing or wrong.
 */
#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include <nutmegdeck/log.h>

#include "../platform/codec.h"
#include "../platform/api_listener_http.h"
#include "../platform/kv_http.h"
#include "../platform/machines_http.h"
#include "../platform/orders_http.h"
#include "../src/entry.h"
#include "../src/entry_settings.h"
#include "../src/order_limiter.h"
#include "../src/ops.h"

#define FDS_MAX 80 /* the bound of nm_http_poll() */
/* Time between two updates of the status page. */
#define STATUS_INTERVAL_MS 1000

static volatile sig_atomic_t stop_requested;
static volatile sig_atomic_t reload_requested;

static void
on_signal(int number)
{
    if (number == SIGHUP) {
        reload_requested = 1;
    }
    else {
        stop_requested = 1;
    }
}

static void
install_signals(void)
{
    struct sigaction action = {.sa_handler = on_signal};
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    sigaction(SIGHUP, &action, NULL);
    signal(SIGPIPE, SIG_IGN);
}

/*
 * Checks the settings file and logs the result, but applies nothing: settings
 * that may change at run time come from the store.
 */
static void
reload(const char *path)
{
    nm_entry_settings_t settings;
    char *fault = NULL;
    int rc = nm_entry_settings_load(&settings, path, &fault);
    if (rc == NM_OK) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_RELOADED, "{s:s}", "path", path);
    }
    else {
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_CONFIG_ERROR, "{s:s}", "reason",
               fault);
    }
    g_free(fault);
}

/* Serves until a signal has requested the shutdown and it is complete. */
static void
run_loop(nm_entry_t *entry, nm_http_t *http, nm_api_listener_t *listener,
         nm_peer_rpc_t *peers, nm_ops_t *ops, const char *path)
{
    nm_ms_t status_due_ms = 0;
    while (!nm_entry_is_stopped(entry)) {
        if (stop_requested) {
            nm_entry_stop(entry);
        }
        if (reload_requested) {
            reload_requested = 0;
            reload(path);
        }
        nm_ms_t wait_ms = nm_entry_run(entry);
        if (nm_now_monotonic() >= status_due_ms) {
            status_due_ms = nm_now_monotonic() + STATUS_INTERVAL_MS;
            nm_ops_set_page(ops, NM_OPS_PAGE_STATUS,
                            nm_entry_encode_status(entry));
        }
        int fds[FDS_MAX];
        fds[0] = listener->vtable->fd(listener);
        uint32_t count = 1 + nm_peer_rpc_fds(peers, fds + 1, FDS_MAX - 1);
        nm_http_poll(http, fds, count, wait_ms);
    }
}

static int
serve(const nm_entry_settings_t *settings, const char *path)
{
    nm_clock_t clock;
    nm_clock_init_monotonic(&clock);
    nm_http_t *http = nm_http_new();
    nm_kv_http_t store;
    nm_orders_http_t orders;
    nm_kv_t *kv = nm_kv_http_init(&store, http, settings->store_address);
    nm_order_limiter_t limiter;
    nm_order_port_t *limited_orders = nm_order_limiter_init(
        &limiter, nm_orders_http_init(&orders, http), &clock);
    nm_machines_http_t cloud;
    nm_machine_port_t *machines =
        settings->cloud_address[0] != '\0'
            ? nm_machines_http_init(&cloud, http, settings->cloud_address)
            : NULL;
    nm_client_guard_t *guard = nm_client_guard_new(&(nm_client_guard_desc_t){
        .memory_mb = settings->memory_mb,
        .max_fds = settings->max_fds,
        .connection_bytes = NM_API_LISTENER_CONNECTION_BYTES,
        .idle_timeout_ms = NM_API_LISTENER_IDLE_S * 1000,
    });
    nm_api_listener_t *listener = nm_api_listener_http_new(
        settings->front_address, settings->ready_address, guard);
    nm_peer_rpc_t *peers = nm_peer_rpc_new(settings->peer_address);
    nm_ops_t *ops = nm_ops_new_at(settings->metrics_address, guard);
    if (!listener || !peers || !ops) {
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_LISTEN_FAILED, "{s:s,s:s,s:s,s:s}",
               "front", settings->front_address, "ready",
               settings->ready_address, "peer", settings->peer_address,
               "metrics", settings->metrics_address);
        return 1;
    }
    nm_entry_t *entry = nm_entry_new(&(nm_entry_desc_t){
        .name = settings->name,
        .zone = settings->zone,
        .peer_address = settings->peer_address,
        .cpu_share = settings->cpu_share,
        .memory_mb = settings->memory_mb,
        .spread_factor = settings->spread_factor,
        .grace_ms = settings->grace_ms,
        .config_apply_ms = settings->config_apply_ms,
        .announce_interval_ms = settings->announce_interval_ms,
        .evacuation_ms = settings->evacuation_ms,
        .looks_ahead = settings->looks_ahead,
        .clock = &clock,
        .kv = kv,
        .orders = limited_orders,
        .machines = machines,
        .listener = listener,
        .peers = peers,
        .codec = &nm_platform_codec,
    });
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_STARTED, "{s:s,s:s,s:s}", "version",
           NM_VERSION, "zone", settings->zone, "front",
           settings->front_address);
    run_loop(entry, http, listener, peers, ops, path);
    nm_entry_free(entry);
    nm_api_listener_http_free(listener);
    nm_ops_free(ops);
    nm_client_guard_free(guard);
    nm_http_free(http);
    nm_order_limiter_finish(&limiter);
    nm_peer_rpc_free(peers);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_STOPPED, NULL);
    return 0;
}

int
main(int argc, char **argv)
{
    char *path = NULL;
    gboolean show_version = FALSE;
    GOptionEntry options[] = {
        {"settings", 's', 0, G_OPTION_ARG_FILENAME, &path,
         "Settings file (default: NUTMEGDECK_CONFIG)", "PATH"},
        {"version", 'V', 0, G_OPTION_ARG_NONE, &show_version,
         "Print the version", NULL},
        {NULL, 0, 0, 0, NULL, NULL, NULL},
    };
    GError *error = NULL;
    GOptionContext *context = g_option_context_new("- entry host for jobs");
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "nutmegentry: %s\n", error->message);
        return 2;
    }
    g_option_context_free(context);
    if (show_version) {
        printf("nutmegentry %s\n", NM_VERSION);
        return 0;
    }
    if (!path) {
        path = g_strdup(g_getenv("NUTMEGDECK_CONFIG"));
    }
    if (!path) {
        fprintf(stderr, "nutmegentry: no settings file: give its path "
                        "with --settings PATH or in NUTMEGDECK_CONFIG\n");
        return 2;
    }
    nm_entry_settings_t settings;
    char *fault = NULL;
    if (nm_entry_settings_load(&settings, path, &fault) < 0) {
        fprintf(stderr, "nutmegentry: %s: %s\n", path, fault);
        return 2;
    }
    install_signals();
    /*
     * Disables the fast bins of malloc: with them, each free() of a large
     * response would merge all small free blocks.
     */
    mallopt(M_MXFAST, 0);
    nm_log_init_stdout(settings.name, NM_LOG_INFO);
    int status = serve(&settings, path);
    nm_log_finish();
    g_free(path);
    return status;
}
