/*
 * Relay of orders through carriers: unresponsive carriers, the selection of
 * carriers, and orders of a former owner.
 */
#include <glib.h>

#include "../src/order_carrier.h"
#include "../src/order_relay.h"

typedef struct {
    nm_order_port_t base;
    uint32_t sent;
} direct_t;

typedef struct {
    uint32_t ended;
    nm_order_result_t result;
} outcome_t;

static void
direct_send(nm_order_port_t *port, const nm_sched_action_t *action,
            int64_t epoch, nm_order_done_fn done, void *user)
{
    (void)action;
    (void)epoch;
    (void)done;
    g_free(user);
    ((direct_t *)port)->sent++;
}

static const nm_order_port_vtable_t direct_vtable = {.send = direct_send};

static outcome_t outcome;

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    (void)action;
    (void)report;
    g_free(user);
    outcome.ended++;
    outcome.result = result;
}

/*
 * Each case flushes the relay at an interval and expects the order to end as
 * unknown or to stay open.  Time in which this host itself stalled must not
 * count against the carrier.
 */
static const struct {
    const char *name;
    nm_ms_t round_ms;
    uint32_t rounds;
    uint32_t ended;
} cases[] = {
    {"unresponsive carrier", 50, 40, 1},
    {"short wait", 50, 10, 0},
    {"this host stalled once", 3000, 1, 0},
    {"this host stalled repeatedly", 2000, 5, 0},
};

static void
test_unresponsive_carrier(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        outcome = (outcome_t){0};
        nm_clock_t clock;
        nm_clock_init_manual(&clock, 1000);
        direct_t direct = {.base = {&direct_vtable}};
        nm_peer_rpc_t *peers = nm_peer_rpc_new("inproc://owner");
        nm_order_relay_t relay;
        nm_order_port_t *port = nm_order_relay_init(
            &relay, &(nm_order_relay_desc_t){.direct = &direct.base,
                                             .peers = peers,
                                             .clock = &clock,
                                             .name = "owner"});
        nm_relay_host_t host = {.name = "carrier",
                                .address = "inproc://carrier",
                                .zone = "z",
                                .cpu_share = 0.5};
        nm_order_relay_set_host(&relay, &host);
        nm_order_relay_set_worker(&relay, "w", "z");
        nm_order_relay_flush(&relay, clock.manual_ms);
        nm_sched_action_t action = {.type = NM_ACTION_START,
                                    .worker = "w",
                                    .payload = "",
                                    .checkpoint = ""};
        nm_order_port_send(port, &action, 1, on_order, g_malloc(1));
        for (uint32_t round = 0; round < cases[i].rounds; round++) {
            clock.manual_ms += cases[i].round_ms;
            nm_order_relay_flush(&relay, clock.manual_ms);
        }
        g_assert_cmpuint(outcome.ended, ==, cases[i].ended);
        g_assert_cmpuint(direct.sent, ==, 0);
        if (outcome.ended) {
            g_assert_cmpint(outcome.result, ==, NM_ORDER_UNKNOWN);
        }
        nm_order_relay_finish(&relay);
        nm_peer_rpc_free(peers);
    }
}

#define ZONE_HOSTS 100
#define ZONE_WORKERS 200

static nm_sched_action_t
start_on(const char *worker)
{
    nm_sched_action_t action = {
        .type = NM_ACTION_START, .payload = "", .checkpoint = ""};
    nm_strcopy(action.worker, sizeof(action.worker), worker);
    return action;
}

/* Sends one order to each worker of the data centre. */
static void
send_to_all_workers(nm_order_port_t *port)
{
    for (uint32_t w = 0; w < ZONE_WORKERS; w++) {
        char worker[16];
        g_snprintf(worker, sizeof(worker), "w%u", w);
        nm_sched_action_t action = start_on(worker);
        nm_order_port_send(port, &action, 1, on_order, g_malloc(1));
    }
}

/*
 * Load: far more hosts than are needed as carriers, some of which become
 * unresponsive or are removed.  A message costs the owner as much as ten
 * orders, so only few hosts may carry; others must replace those that fail,
 * and the rest must stay.
 */
static void
test_few_hosts_carry(void)
{
    enum { CARRIERS_MAX = 8, ROUNDS = 30, CONNECTIONS_KEPT = 64 };
    nm_clock_t clock;
    nm_clock_init_manual(&clock, 1000);
    direct_t direct = {.base = {&direct_vtable}};
    nm_peer_rpc_t *peers = nm_peer_rpc_new("inproc://owner");
    nm_order_relay_t relay;
    nm_order_port_t *port = nm_order_relay_init(
        &relay, &(nm_order_relay_desc_t){.direct = &direct.base,
                                         .peers = peers,
                                         .clock = &clock,
                                         .name = "owner",
                                         .direct_workers_max = 10});
    for (uint32_t h = 0; h < ZONE_HOSTS; h++) {
        nm_relay_host_t host = {.zone = "z", .cpu_share = 0.5};
        g_snprintf(host.name, sizeof(host.name), "host-%u", h);
        g_snprintf(host.address, sizeof(host.address), "inproc://host-%u", h);
        nm_order_relay_set_host(&relay, &host);
    }
    for (uint32_t w = 0; w < ZONE_WORKERS; w++) {
        char worker[16];
        g_snprintf(worker, sizeof(worker), "w%u", w);
        nm_order_relay_set_worker(&relay, worker, "z");
    }
    nm_order_relay_flush(&relay, clock.manual_ms);
    send_to_all_workers(port);
    g_assert_cmpuint(direct.sent, ==, 0);
    const char *before[CARRIERS_MAX];
    uint32_t count =
        nm_order_relay_query_carriers(&relay, "z", before, CARRIERS_MAX);
    g_assert_cmpuint(count, >=, 2);
    g_assert_cmpuint(count, <, CARRIERS_MAX);
    /* All of them are unresponsive: as many others must replace them. */
    for (uint32_t round = 0; round < ROUNDS; round++) {
        clock.manual_ms += 50;
        nm_order_relay_flush(&relay, clock.manual_ms);
    }
    send_to_all_workers(port);
    const char *after[CARRIERS_MAX];
    g_assert_cmpuint(
        nm_order_relay_query_carriers(&relay, "z", after, CARRIERS_MAX), ==,
        count);
    for (uint32_t i = 0; i < count; i++) {
        for (uint32_t j = 0; j < count; j++) {
            g_assert_cmpstr(before[i], !=, after[j]);
        }
    }
    /* Removing one carrier must leave the others in place. */
    char removed[NM_NAME_MAX];
    nm_strcopy(removed, sizeof(removed), after[0]);
    nm_order_relay_remove_host(&relay, removed);
    send_to_all_workers(port);
    const char *remaining[CARRIERS_MAX];
    g_assert_cmpuint(
        nm_order_relay_query_carriers(&relay, "z", remaining, CARRIERS_MAX),
        ==, count);
    for (uint32_t i = 1; i < count; i++) {
        bool kept = false;
        for (uint32_t j = 0; j < count; j++) {
            kept = kept || g_strcmp0(after[i], remaining[j]) == 0;
        }
        g_assert_true(kept);
    }
    g_assert_cmpuint(direct.sent, ==, 0);
    /*
     * Even with 100 times as many workers, the carriers must not exceed the
     * connections that are kept (peer_rpc.c).
     */
    for (uint32_t w = ZONE_WORKERS; w < 100 * ZONE_WORKERS; w++) {
        char worker[16];
        g_snprintf(worker, sizeof(worker), "w%u", w);
        nm_order_relay_set_worker(&relay, worker, "z");
    }
    send_to_all_workers(port);
    const char *carriers[ZONE_HOSTS];
    count = nm_order_relay_query_carriers(&relay, "z", carriers, ZONE_HOSTS);
    g_assert_cmpuint(count, >, CARRIERS_MAX);
    g_assert_cmpuint(count, <, CONNECTIONS_KEPT);
    nm_order_relay_finish(&relay);
    nm_peer_rpc_free(peers);
}

static void
responding_send(nm_order_port_t *port, const nm_sched_action_t *action,
                int64_t epoch, nm_order_done_fn done, void *user)
{
    (void)epoch;
    ((direct_t *)port)->sent++;
    done(user, action, NM_ORDER_UNKNOWN, NULL);
}

static const nm_order_port_vtable_t responding_vtable = {.send =
                                                             responding_send};

/* A carrier must not send orders of an owner that it knows to be replaced. */
static void
test_orders_of_former_owner_are_refused(void)
{
    static const struct {
        int64_t epoch;
        int64_t newest_epoch;
        uint32_t sent;
    } carry_cases[] = {{3, 4, 0}, {3, 3, 1}, {4, 3, 1}};
    for (size_t i = 0; i < NM_COUNT_OF(carry_cases); i++) {
        direct_t direct = {.base = {&responding_vtable}};
        nm_peer_rpc_t *peers = nm_peer_rpc_new("inproc://carrier");
        nm_order_carrier_t carrier;
        nm_order_carrier_init(&carrier, &direct.base, peers);
        char text[] = "";
        NmPb__Order order = NM_PB__ORDER__INIT;
        order.type = NM_ACTION_POLL;
        order.worker = order.address = order.task = text;
        order.payload = order.checkpoint = text;
        NmPb__Order *orders[] = {&order};
        NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
        request.type = NM_PB__ENTRY_ASK__TYPE__ORDERS;
        request.epoch = carry_cases[i].epoch;
        request.orders = orders;
        request.n_orders = 1;
        nm_peer_message_t message = {.request = &request,
                                     .sender_route = "owner",
                                     .sender_route_bytes = 5};
        nm_order_carrier_handle_request(&carrier, &message,
                                        carry_cases[i].newest_epoch);
        g_assert_cmpuint(direct.sent, ==, carry_cases[i].sent);
        /* The refusal is sent back, so that the former owner learns of it. */
        g_assert_cmpuint(carrier.queued_count, ==, 1);
        nm_order_carrier_flush(&carrier, 1000);
        nm_order_carrier_finish(&carrier);
        nm_peer_rpc_free(peers);
    }
}

/*
 * An owner whose own link is late: taking most carriers for silent would
 * select others and open new connections, which is more load.  Carriers that
 * never respond are left after a time all the same, and a few of many at once.
 */
static void
test_late_owner_keeps_its_carriers(void)
{
    enum { CARRIERS = 4, FLUSH_MS = 50 };
    static const struct {
        const char *name;
        uint32_t unresponsive;
        nm_ms_t silent_ms;
        uint32_t kept;
    } late_cases[] = {
        {"all are late", 4, 4500, 4},   {"most are late", 3, 4500, 4},
        {"half are late", 2, 1500, 2},  {"one is late", 1, 1500, 3},
        {"all are silent", 4, 6500, 0}, {"most are silent", 3, 6500, 1},
    };
    for (size_t i = 0; i < NM_COUNT_OF(late_cases); i++) {
        g_test_message("%s", late_cases[i].name);
        nm_clock_t clock;
        nm_clock_init_manual(&clock, 1000);
        direct_t direct = {.base = {&direct_vtable}};
        nm_peer_rpc_t *peers = nm_peer_rpc_new("inproc://owner");
        nm_order_relay_t relay;
        nm_order_port_t *port = nm_order_relay_init(
            &relay, &(nm_order_relay_desc_t){.direct = &direct.base,
                                             .peers = peers,
                                             .clock = &clock,
                                             .name = "owner"});
        for (uint32_t h = 0; h < CARRIERS; h++) {
            /* One carrier for the only worker of each data centre. */
            nm_relay_host_t host = {.cpu_share = 0.5};
            g_snprintf(host.name, sizeof(host.name), "host-%u", h);
            g_snprintf(host.zone, sizeof(host.zone), "z%u", h);
            g_snprintf(host.address, sizeof(host.address), "inproc://h%u", h);
            nm_order_relay_set_host(&relay, &host);
            nm_order_relay_set_worker(&relay, host.name, host.zone);
        }
        nm_order_relay_flush(&relay, clock.manual_ms);
        nm_ms_t last_ms = clock.manual_ms + late_cases[i].silent_ms;
        for (bool first = true; clock.manual_ms <= last_ms; first = false) {
            for (uint32_t h = 0; h < CARRIERS; h++) {
                char worker[16];
                g_snprintf(worker, sizeof(worker), "host-%u", h);
                nm_sched_action_t action = start_on(worker);
                nm_order_port_send(port, &action, 1, on_order, g_malloc(1));
                if (first || h >= late_cases[i].unresponsive) {
                    NmPb__OrderResult result = NM_PB__ORDER_RESULT__INIT;
                    result.number = relay.number;
                    NmPb__OrderResult *results[] = {&result};
                    NmPb__EntryAnswer response = NM_PB__ENTRY_ANSWER__INIT;
                    response.n_results = 1;
                    response.results = results;
                    nm_order_relay_handle_response(&relay, &response);
                }
            }
            clock.manual_ms += FLUSH_MS;
            nm_order_relay_flush(&relay, clock.manual_ms);
        }
        uint32_t kept = 0;
        for (uint32_t h = 0; h < CARRIERS; h++) {
            char worker[16];
            char zone[16];
            const char *names[1];
            g_snprintf(worker, sizeof(worker), "host-%u", h);
            g_snprintf(zone, sizeof(zone), "z%u", h);
            nm_sched_action_t action = start_on(worker);
            nm_order_port_send(port, &action, 1, on_order, g_malloc(1));
            kept += nm_order_relay_query_carriers(&relay, zone, names, 1);
        }
        g_assert_cmpuint(kept, ==, late_cases[i].kept);
        nm_order_relay_finish(&relay);
        nm_peer_rpc_free(peers);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay/unresponsive-carrier", test_unresponsive_carrier);
    g_test_add_func("/relay/few-hosts-carry", test_few_hosts_carry);
    g_test_add_func("/relay/orders-of-former-owner-are-refused",
                    test_orders_of_former_owner_are_refused);
    g_test_add_func("/relay/late-owner-keeps-its-carriers",
                    test_late_owner_keeps_its_carriers);
    return g_test_run();
}
