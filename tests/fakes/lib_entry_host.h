/*
 * Entry host in a test: an in-process store, a manual clock, and fakes of the
 * listener and of the workers.
 *
 *     fake_kv_t *kv = configured_store();
 *     host_t host;
 *     host_init(&host, "a", kv);
 *     run_host(&host, 1000);
 *     host_finish(&host);
 *     fake_kv_free(kv);
 */
#ifndef LIB_ENTRY_HOST_H
#define LIB_ENTRY_HOST_H

#include <glib.h>

#include "../../src/entry_state.h"
#include "lib_kv.h"
#include "lib_machines.h"

#define CONFIG_KEY "op/config"
#define JOB "5c0e7a21d94b36f8"
#define JOB_KEY "nutmegdeck/jobs/" JOB
#define ROSTER_KEY "nutmegdeck/owned/roster"
#define OWNER_KEY "nutmegdeck/control/owner"
#define EPOCH_KEY "nutmegdeck/control/epoch"
#define CONFIG(version, prefix)                                               \
    "{\"version\":" version ",\"routes\":[{\"name\":\"q\",\"host\":\"h\","    \
    "\"pathPrefix\":\"" prefix "\",\"service\":\"s\",\"maxAttempts\":2,"      \
    "\"slackFactor\":2,\"targetLatencyMs\":600,\"timeoutMs\":3000}],"         \
    "\"services\":[{\"name\":\"s\"}],\"limits\":{}}"
#define WORKER                                                                \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","          \
    "\"state\":\"ready\",\"capacity\":{\"cpu\":16000,\"memMb\":1000},"        \
    "\"labels\":[\"a\",\"r1\"],\"sequence\":100000,\"born\":1}"
#define RECORD                                                                \
    "{\"version\":1,\"queue\":\"q\",\"service\":\"s\",\"payload\":\"\","      \
    "\"steps\":[{\"tasks\":2,\"cpu_milli\":500}]}"
#define BODY "{\"spec\":\"x\",\"steps\":[{\"count\":2,\"cpu\":500}]}"

typedef struct {
    nm_api_listener_t base;
    GQueue waiting;
    GPtrArray *responses;
    uint32_t sent; /* requests */
    bool ready;
    bool refuses;
} fake_listener_t;

/* A run on a worker. */
typedef struct {
    char worker[NM_NAME_MAX];
    nm_worker_run_t run;
} fake_run_t;

/*
 * Workers that acknowledge every order at once, except those that are out of
 * reach or replaced.  Their reports list no runs, unless runs is set.
 */
typedef struct {
    nm_order_port_t base;
    const nm_clock_t *clock; /* of the host */
    uint32_t starts;
    uint32_t renewals;        /* accepted polls that extended a lease */
    GHashTable *out_of_reach; /* ids; NULL: none */
    GHashTable *replaced;     /* ids; another worker has the address */
    GPtrArray *runs;          /* of fake_run_t, of all hosts; NULL: none */
    bool holds_starts;        /* they get no response until host_finish */
    GQueue held_starts;
} fake_orders_t;

typedef struct {
    nm_clock_t clock;
    fake_kv_t *kv;
    fake_listener_t listener;
    fake_orders_t orders;
    nm_peer_rpc_t *peers;
    nm_entry_t *entry;
    char address[64];
} host_t;

/* Lets workers carry out and acknowledge the starts that are held. */
void fake_orders_release_starts(fake_orders_t *orders);
/* Returns a store that holds a configuration with one queue. */
fake_kv_t *configured_store(void);
void host_init_with_kv(host_t *host, const char *name, const char *address,
                       fake_kv_t *kv, nm_kv_t *kv_port);
void host_init_at(host_t *host, const char *name, const char *address,
                  fake_kv_t *kv);
void host_init(host_t *host, const char *name, fake_kv_t *kv);
/* The same with a list of machines, which must outlive the host. */
void host_init_with_machines(host_t *host, const char *name, fake_kv_t *kv,
                             fake_machines_t *machines);
/* The same with a bound for the evacuation of zones. */
void host_init_evacuating(host_t *host, const char *name, fake_kv_t *kv,
                          nm_ms_t evacuation_ms);
void host_finish(host_t *host);
void run_host(host_t *host, nm_ms_t duration_ms);
void send_request(host_t *host, nm_method_t method, const char *path,
                  const char *body);
/* Returns the status of the newest response, or 0 without one. */
int last_status(const host_t *host);
const char *last_response(const host_t *host);

#endif
