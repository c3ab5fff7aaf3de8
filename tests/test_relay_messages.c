/*
 * Messages from the relay to a carrier, over a real connection: late starts
 * stay unsent, and what is urgent goes first.
 */
#include <string.h>
#include <unistd.h>

#include "../src/order_carrier.h"
#include "../src/order_relay.h"

#define RECEIVE_MAX_MS 5000
#define START_VALID_MS 1700
#define EPOCH 1

typedef struct {
    nm_order_port_t base;
    GArray *actions; /* of nm_sched_action_t, as received by the carrier */
} recorder_t;

typedef struct {
    nm_clock_t clock;
    nm_order_relay_t relay;
    nm_order_port_t *port;
    nm_order_carrier_t carrier;
    nm_peer_rpc_t *owner_peers;
    nm_peer_rpc_t *carrier_peers;
    recorder_t recorder;
    char addresses[2][64];
    uint32_t ended;
    nm_order_result_t result;
} line_t;

static void
record_order(nm_order_port_t *port, const nm_sched_action_t *action,
             int64_t epoch, nm_order_done_fn done, void *user)
{
    g_assert_cmpint(epoch, ==, EPOCH);
    nm_sched_action_t copy = *action;
    copy.payload = g_intern_string(action->payload);
    g_array_append_val(((recorder_t *)port)->actions, copy);
    done(user, action, NM_ORDER_DONE, NULL);
}

static const nm_order_port_vtable_t recorder_vtable = {record_order};

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    (void)action;
    (void)report;
    line_t *line = *(line_t **)user;
    g_free(user);
    line->ended++;
    line->result = result;
}

static void
line_init(line_t *line)
{
    *line = (line_t){.recorder = {.base = {&recorder_vtable}}};
    nm_clock_init_manual(&line->clock, 1000);
    line->recorder.actions =
        g_array_new(FALSE, FALSE, sizeof(nm_sched_action_t));
    for (int i = 0; i < 2; i++) {
        g_snprintf(line->addresses[i], sizeof(line->addresses[i]),
                   "ipc:///tmp/nutmeg-relay-%d-%d", getpid(), i);
    }
    line->owner_peers = nm_peer_rpc_new(line->addresses[0]);
    line->carrier_peers = nm_peer_rpc_new(line->addresses[1]);
    g_assert_nonnull(line->owner_peers);
    g_assert_nonnull(line->carrier_peers);
    nm_order_carrier_init(&line->carrier, &line->recorder.base,
                          line->carrier_peers);
    line->port = nm_order_relay_init(
        &line->relay, &(nm_order_relay_desc_t){.direct = &line->recorder.base,
                                               .peers = line->owner_peers,
                                               .clock = &line->clock,
                                               .name = "owner"});
    nm_relay_host_t host = {.name = "carrier", .zone = "z", .cpu_share = 0.5};
    nm_strcopy(host.address, sizeof(host.address), line->addresses[1]);
    nm_order_relay_set_host(&line->relay, &host);
    nm_order_relay_set_worker(&line->relay, "w", "z");
    nm_order_relay_flush(&line->relay, line->clock.manual_ms);
}

static void
line_finish(line_t *line)
{
    nm_order_relay_finish(&line->relay);
    nm_order_carrier_finish(&line->carrier);
    nm_peer_rpc_free(line->owner_peers);
    nm_peer_rpc_free(line->carrier_peers);
    g_array_free(line->recorder.actions, TRUE);
    for (int i = 0; i < 2; i++) {
        unlink(line->addresses[i] + strlen("ipc://"));
    }
}

static void
send_order(line_t *line, nm_sched_action_type_t type, int64_t run,
           const char *payload, nm_ms_t valid_ms)
{
    nm_sched_action_t action = {.type = type,
                                .worker = "w",
                                .run = run,
                                .payload = payload,
                                .checkpoint = "",
                                .valid_ms = valid_ms};
    line_t **user = g_new(line_t *, 1);
    *user = line;
    nm_order_port_send(line->port, &action, EPOCH, on_order, user);
}

static void
flush_after(line_t *line, nm_ms_t wait_ms)
{
    line->clock.manual_ms += wait_ms;
    nm_order_relay_flush(&line->relay, line->clock.manual_ms);
}

/* Passes messages on to the carrier until it has received some orders. */
static void
receive_orders(line_t *line, guint count)
{
    for (int ms = 0;
         ms < RECEIVE_MAX_MS && line->recorder.actions->len < count; ms++)
    {
        nm_peer_message_t message;
        while (nm_peer_rpc_next(line->carrier_peers, &message)) {
            g_assert_nonnull(message.request);
            nm_order_carrier_handle_request(&line->carrier, &message, EPOCH);
            nm_peer_message_finish(&message);
        }
        g_usleep(1000);
    }
    g_assert_cmpuint(line->recorder.actions->len, ==, count);
}

static const nm_sched_action_t *
received(const line_t *line, guint index)
{
    return &g_array_index(line->recorder.actions, nm_sched_action_t, index);
}

/*
 * Guards against starts that the worker refuses as late, or carries out as
 * its clock is behind, after they have waited in a stalled owner.  A stop that
 * follows shows what has been sent.
 */
static void
test_late_starts_stay_unsent(void)
{
    static const struct {
        nm_ms_t valid_ms;
        nm_ms_t waited_ms;
        nm_ms_t left_ms; /* at the carrier; -1: not sent */
    } cases[] = {
        {START_VALID_MS, 12, START_VALID_MS - 12},
        {START_VALID_MS, START_VALID_MS - 1, 1},
        {START_VALID_MS, START_VALID_MS, -1},
        {START_VALID_MS, 60000, -1},
        {0, 60000, 0}, /* no limit */
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        line_t line;
        line_init(&line);
        bool sent = cases[i].left_ms >= 0;
        send_order(&line, NM_ACTION_START, 1, "p", cases[i].valid_ms);
        flush_after(&line, cases[i].waited_ms);
        g_assert_cmpuint(line.ended, ==, sent ? 0 : 1);
        if (!sent) {
            g_assert_cmpint(line.result, ==, NM_ORDER_NOT_SENT);
        }
        send_order(&line, NM_ACTION_STOP, 2, "", 0);
        flush_after(&line, NM_RELAY_BATCH_MS);
        receive_orders(&line, sent ? 2 : 1);
        g_assert_cmpint(received(&line, 0)->run, ==, sent ? 1 : 2);
        g_assert_cmpint(received(&line, 0)->valid_ms, ==,
                        MAX(cases[i].left_ms, 0));
        line_finish(&line);
    }
}

/*
 * Guards against polls, which renew leases, behind a burst of starts: also if
 * the burst is cut into several messages.
 */
static void
test_urgent_orders_go_first(void)
{
    static const nm_sched_action_type_t precedence[] = {
        NM_ACTION_POLL, NM_ACTION_STOP, NM_ACTION_THROTTLE, NM_ACTION_START};
    static const uint32_t counts[] = {1, 10, 256, 300};
    for (size_t i = 0; i < NM_COUNT_OF(counts); i++) {
        line_t line;
        line_init(&line);
        int64_t run = 0;
        for (size_t type = NM_COUNT_OF(precedence); type > 0; type--) {
            for (uint32_t n = 0; n < counts[i]; n++) {
                send_order(&line, precedence[type - 1], ++run, "", 0);
            }
        }
        flush_after(&line, NM_RELAY_BATCH_MS);
        receive_orders(&line, (guint)run);
        for (guint n = 0; n < (guint)run; n++) {
            g_assert_cmpint(received(&line, n)->type, ==,
                            precedence[n / counts[i]]);
            g_assert_true(n % counts[i] == 0 ||
                          received(&line, n)->run >
                              received(&line, n - 1)->run);
        }
        line_finish(&line);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/relay/late-starts-stay-unsent",
                    test_late_starts_stay_unsent);
    g_test_add_func("/relay/urgent-orders-go-first",
                    test_urgent_orders_go_first);
    return g_test_run();
}
