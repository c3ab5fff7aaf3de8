/*
 * nutmegd: an entry host that routes callers' requests to executors and, while
 * it is the owner, places the tasks of its data centre on workers.
 *
 * Takes its process settings from flags and NUTMEGD_* environment variables
 * (see --help), binds its addresses and starts the threads.  SIGTERM or SIGINT
 * begins a graceful shutdown.  Exit status: 0 after a shutdown, 1 if an
 * address could not be bound, 2 if a setting is wrong.
 */

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/random.h>
#include <unistd.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>

#include <nutmegdeck/log.h>
#include <nutmegdeck/reason.h>

#include "../src/config.h"
#include "../src/control.h"
#include "../src/listener.h"
#include "../src/ops.h"

#define HOSTS_POLL_INTERVAL_MS 500
#define CLAIM_TTL_S 86400 /* one day */
#define WORKER_TIMEOUT_MS NM_SHARD_SYNC_TIMEOUT_MS
#define DRAIN_POLL_INTERVAL_MS 10
/* Time for the load balancer to notice that this host is no longer ready. */
#define UNREADY_WAIT_MS 300

typedef struct {
    nm_config_t config;
    nm_clock_t clock;
    uint64_t incarnation;
    nm_store_memory_t memory;
    nm_store_etcd_t etcd;
    nm_store_t *store;
    nm_client_guard_t *guard;
    nm_ops_t *ops;
    nm_listener_t *listener;
    nm_upstream_t *upstream;
    nm_traffic_t *traffic;
    nm_claims_t *claims;
    nm_peer_port_t *peers;
    nm_worker_port_t *workers;
    nm_hosts_t *hosts;
    nm_control_t *control;
    const char **peer_addresses;
    const char **peer_ips;
} daemon_t;

static nm_log_level_t
parse_log_level(const char *name)
{
    switch (name[0]) {
    case 'e':
        return NM_LOG_ERROR;
    case 'w':
        return NM_LOG_WARN;
    case 'd':
        return NM_LOG_DEBUG;
    default:
        return NM_LOG_INFO;
    }
}

static void
open_store(daemon_t *self)
{
    const char *url = self->config.store;
    if (g_strcmp0(url, "memory:") == 0) {
        self->store = nm_store_memory_init(&self->memory);
        return;
    }
    self->store =
        nm_store_etcd_init(&self->etcd, &(nm_store_etcd_desc_t){.url = url});
}

static void
list_peer_addresses(daemon_t *self)
{
    uint32_t count = self->config.peer_count;
    self->peer_addresses = g_new0(const char *, count + 1);
    self->peer_ips = g_new0(const char *, count + 1);
    for (uint32_t i = 0; i < count; i++) {
        self->peer_addresses[i] = self->config.peers[i].address;
        self->peer_ips[i] = self->config.peers[i].ip;
    }
}

/* Returns false if an address cannot be bound, and logs it. */
static bool
open_listeners(daemon_t *self)
{
    const nm_config_t *config = &self->config;
    self->guard = nm_client_guard_new(&(nm_client_guard_desc_t){
        .memory_mb = (uint32_t)config->memory_mb,
        .max_fds = (uint32_t)config->max_fds,
        .connection_bytes = NM_LISTENER_CONNECTION_BYTES,
        .idle_timeout_ms = NM_LISTENER_IDLE_S * 1000,
    });
    self->ops = nm_ops_new(config->ops_address, (uint16_t)config->ops_port,
                           self->guard);
    if (!self->ops) {
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_LISTEN_FAILED, "{s:s,s:i}", "address",
               config->ops_address, "port", config->ops_port);
        return false;
    }
    char address[NM_NAME_MAX * 2];
    snprintf(address, sizeof(address), "tcp://%s:%d", config->address,
             config->peer_port);
    self->peers = nm_peer_port_zmq_new(&(nm_peer_port_desc_t){
        .bind_address = address,
        .peer_addresses = self->peer_addresses,
        .peer_count = config->peer_count,
        .public_key = config->peer_public_key,
        .secret_key = config->peer_secret_key,
    });
    if (!self->peers) {
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_LISTEN_FAILED, "{s:s}", "address",
               address);
        return false;
    }
    return true;
}

/* Returns false if an address cannot be bound; stop() frees what was opened.
 */
static bool
start(daemon_t *self)
{
    const nm_config_t *config = &self->config;
    open_store(self);
    list_peer_addresses(self);
    if (!open_listeners(self)) {
        return false;
    }
    self->upstream = nm_upstream_http_new(&(nm_upstream_http_desc_t){0});
    self->traffic = nm_traffic_new(&(nm_traffic_desc_t){
        .clock = &self->clock,
        .upstream = self->upstream,
        .seed = self->incarnation,
        .on_done = nm_listener_send_response,
    });
    self->claims = nm_claims_new(&(nm_claims_desc_t){
        .store = self->store,
        .clock = &self->clock,
        .interval_ms = config->claim_interval_ms,
        .seed = self->incarnation ^ 3,
        .ttl_s = CLAIM_TTL_S,
        .wake = nm_traffic_wake,
        .wake_user = self->traffic,
    });
    nm_traffic_set_claims(self->traffic, self->claims);
    self->workers = nm_worker_port_http_new(WORKER_TIMEOUT_MS);
    self->hosts = nm_hosts_new(config->hosts, HOSTS_POLL_INTERVAL_MS);
    self->control = nm_control_new(&(nm_control_desc_t){
        .config = config,
        .clock = &self->clock,
        .incarnation = self->incarnation,
        .store = self->store,
        .peers = self->peers,
        .workers = self->workers,
        .hosts = self->hosts,
        .traffic = self->traffic,
        .ops = self->ops,
    });
    self->listener = nm_listener_new(&(nm_listener_desc_t){
        .address = config->address,
        .port = (uint16_t)config->caller_port,
        .threads = (uint32_t)config->threads,
        .traffic = self->traffic,
        .peer_ips = self->peer_ips,
        .guard = self->guard,
    });
    if (!self->listener) {
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_LISTEN_FAILED, "{s:s,s:i}", "address",
               config->address, "port", config->caller_port);
        return false;
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_STARTED, "{s:s,s:i}", "address",
           config->address, "port", config->caller_port);
    return true;
}

static void
sleep_ms(nm_ms_t wait_ms)
{
    g_usleep((gulong)wait_ms * 1000);
}

/*
 * Resigns as owner and serves requests until none is open, for up to drain_ms.
 * Then refuses new ones, waits until the open ones have ended, and frees
 * everything.
 */
static void
stop(daemon_t *self)
{
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_STOPPING, NULL);
    if (self->control) {
        nm_control_leave(self->control);
    }
    if (self->listener) {
        /* Requests that the load balancer still sends are served meanwhile. */
        sleep_ms(UNREADY_WAIT_MS);
        nm_listener_quiesce(self->listener);
        nm_ms_t drain_end_ms =
            nm_clock_now(&self->clock) + self->config.drain_ms;
        while (nm_traffic_query_active(self->traffic) > 0 &&
               nm_clock_now(&self->clock) < drain_end_ms)
        {
            sleep_ms(DRAIN_POLL_INTERVAL_MS);
        }
        nm_traffic_stop(self->traffic);
        while (nm_traffic_query_active(self->traffic) > 0) {
            sleep_ms(DRAIN_POLL_INTERVAL_MS);
        }
        nm_listener_free(self->listener);
    }
    if (self->control) {
        nm_control_free(self->control);
        nm_hosts_free(self->hosts);
        nm_worker_port_free(self->workers);
    }
    if (self->traffic) {
        nm_traffic_free(self->traffic);
        nm_claims_free(self->claims);
        nm_upstream_free(self->upstream);
    }
    if (self->peers) {
        nm_peer_port_free(self->peers);
    }
    if (self->ops) {
        nm_ops_free(self->ops);
    }
    nm_client_guard_free(self->guard);
    if (self->store == &self->memory.base) {
        nm_store_memory_finish(&self->memory);
    }
    g_free(self->peer_addresses);
    g_free(self->peer_ips);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_STOPPED, NULL);
}

static int
print_problems(GPtrArray *problems)
{
    for (uint32_t i = 0; i < problems->len; i++) {
        fprintf(stderr, "nutmegd: %s\n", (char *)problems->pdata[i]);
    }
    fprintf(stderr, "nutmegd: see nutmegd --help\n");
    return 2;
}

int
main(int argc, char **argv)
{
    static daemon_t self;
    GPtrArray *problems = NULL;
    int rc = nm_config_read(&self.config, argc, argv, &problems);
    int status = rc < 0 ? print_problems(problems) : 0;
    g_ptr_array_free(problems, TRUE);
    if (rc < 0 || self.config.show_version) {
        if (rc >= 0) {
            printf("nutmegd %s\n", NM_VERSION);
        }
        nm_config_finish(&self.config);
        return status;
    }
    /* Blocked in all threads; sigwait() below receives them. */
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    nm_clock_init_monotonic(&self.clock);
    nm_log_init(self.config.id, parse_log_level(self.config.log_level));
    if (getrandom(&self.incarnation, sizeof(self.incarnation), 0) < 0 ||
        self.incarnation == 0)
    {
        self.incarnation = (uint64_t)getpid() << 32 | 1;
    }
    bool started = start(&self);
    if (started) {
        int signal_number;
        sigwait(&signals, &signal_number);
    }
    stop(&self);
    nm_log_finish();
    curl_global_cleanup();
    nm_config_finish(&self.config);
    return started ? 0 : 1;
}
