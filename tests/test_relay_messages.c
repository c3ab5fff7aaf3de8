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
    bool keeps_nothing; /* the carrier has not announced that it does */
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

static const nm_order_port_vtable_t recorder_vtable = {.send = record_order};

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

static bool
pass_messages(line_t *line)
{
    nm_peer_message_t message;
    bool any = false;
    while (nm_peer_rpc_next(line->carrier_peers, &message)) {
        g_assert_nonnull(message.request);
        nm_order_carrier_handle_request(&line->carrier, &message, EPOCH);
        nm_peer_message_finish(&message);
        any = true;
    }
    return any;
}

/* Passes messages on to the carrier until it has received some orders. */
static void
receive_orders(line_t *line, guint count)
{
    for (int ms = 0;
         ms < RECEIVE_MAX_MS && line->recorder.actions->len < count; ms++)
    {
        pass_messages(line);
        g_usleep(1000);
    }
    g_assert_cmpuint(line->recorder.actions->len, ==, count);
}

static const nm_sched_action_t *
received(const line_t *line, guint index)
{
    return &g_array_index(line->recorder.actions, nm_sched_action_t, index);
}

/* A carrier's orders have the fencing tokens that the owner gave them. */
static void
test_fencing_tokens_are_passed_on(void)
{
    static const int64_t cases[] = {0, 7, NM_FENCE_SEQ_MAX};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        line_t line;
        line_init(&line);
        nm_sched_action_t action = {.type = NM_ACTION_STOP,
                                    .worker = "w",
                                    .fence_seq = cases[i],
                                    .payload = "",
                                    .checkpoint = ""};
        line_t **user = g_new(line_t *, 1);
        *user = &line;
        nm_order_port_send(line.port, &action, EPOCH, on_order, user);
        flush_after(&line, 0);
        receive_orders(&line, 1);
        g_assert_cmpint(received(&line, 0)->fence_seq, ==, cases[i]);
        line_finish(&line);
    }
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

/* Passes the results of the carrier to the relay, until some orders ended. */
static void
return_results(line_t *line, uint32_t count)
{
    for (int ms = 0; ms < RECEIVE_MAX_MS && line->ended < count; ms++) {
        line->clock.manual_ms += NM_RELAY_BATCH_MS;
        nm_order_carrier_flush(&line->carrier, line->clock.manual_ms);
        nm_peer_message_t message;
        while (nm_peer_rpc_next(line->owner_peers, &message)) {
            g_assert_nonnull(message.response);
            if (line->keeps_nothing) {
                message.response->keeps_payloads = false;
            }
            nm_order_relay_handle_response(&line->relay, message.response);
            nm_peer_message_finish(&message);
        }
        g_usleep(1000);
    }
    g_assert_cmpuint(line->ended, ==, count);
}

/*
 * Tasks of one job have the same payload.  Guards against an owner whose link
 * carries it once per start, and against starts with another payload than
 * theirs.  A carrier that has not announced the table gets payloads in full.
 */
static void
test_payloads_are_sent_once(void)
{
    enum { STARTS = 100, PAYLOAD_BYTES = 2000, OTHER_BYTES = 60 };
    static const struct {
        bool announced;
        uint32_t jobs;
        uint64_t payloads_max; /* in the message */
        bool keeps_nothing;
    } cases[] = {
        {true, 1, 1, false}, {true, 7, 7, false},       {true, 1, 1, true},
        {true, 7, 7, true},  {false, 7, STARTS, false},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        line_t line;
        line_init(&line);
        line.keeps_nothing = cases[i].keeps_nothing;
        uint32_t earlier = cases[i].announced ? 1 : 0;
        if (cases[i].announced) {
            send_order(&line, NM_ACTION_STOP, 0, "", 0);
            flush_after(&line, NM_RELAY_BATCH_MS);
            receive_orders(&line, earlier);
            return_results(&line, earlier);
        }
        char *payloads[STARTS];
        uint64_t bytes = nm_counter_value(NM_COUNTER_PEER_BYTES);
        for (uint32_t n = 0; n < STARTS; n++) {
            payloads[n] =
                g_strnfill(PAYLOAD_BYTES, (gchar)('a' + n % cases[i].jobs));
            send_order(&line, NM_ACTION_START, n, payloads[n], 0);
        }
        send_order(&line, NM_ACTION_POLL, STARTS, "", 0);
        flush_after(&line, NM_RELAY_BATCH_MS);
        bytes = nm_counter_value(NM_COUNTER_PEER_BYTES) - bytes;
        g_assert_cmpuint(bytes, <=,
                         cases[i].payloads_max * PAYLOAD_BYTES +
                             STARTS * OTHER_BYTES);
        receive_orders(&line, earlier + STARTS + 1);
        g_assert_cmpint(received(&line, earlier)->type, ==, NM_ACTION_POLL);
        for (uint32_t n = 0; n < STARTS; n++) {
            const nm_sched_action_t *start = received(&line, earlier + 1 + n);
            g_assert_cmpint(start->run, ==, n);
            g_assert_cmpstr(start->payload, ==, payloads[n]);
            g_free(payloads[n]);
        }
        line_finish(&line);
    }
}

/*
 * Load: jobs whose tasks start again and again through one carrier.  Guards
 * against an owner whose link carries their payloads each time, and against a
 * start that stays without its payload after the carrier has restarted, or
 * without the payload of its own job.
 */
static void
test_payloads_are_kept(void)
{
    enum { STARTS = 100, PAYLOAD_BYTES = 2000, OTHER_BYTES = 70 };
    static const struct {
        const char *name;
        bool restarts; /* the carrier, before the last round but one */
    } cases[] = {{"kept", false}, {"carrier restarts", true}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        enum { JOBS = 7, ROUNDS = 3 };
        line_t line;
        line_init(&line);
        send_order(&line, NM_ACTION_STOP, 0, "", 0);
        flush_after(&line, NM_RELAY_BATCH_MS);
        receive_orders(&line, 1);
        return_results(&line, 1);
        uint32_t ended = 1;
        for (uint32_t round = 0; round <= ROUNDS; round++) {
            bool repeats = round == ROUNDS;
            bool restarts = cases[i].restarts && round == ROUNDS - 1;
            guint before = line.recorder.actions->len;
            if (restarts) {
                nm_order_carrier_finish(&line.carrier);
                nm_order_carrier_init(&line.carrier, &line.recorder.base,
                                      line.carrier_peers);
            }
            char *payloads[STARTS];
            uint64_t bytes = nm_counter_value(NM_COUNTER_PEER_BYTES);
            uint64_t counted = nm_counter_value(NM_COUNTER_PAYLOAD_BYTES);
            for (uint32_t n = 0; n < STARTS; n++) {
                payloads[n] =
                    g_strnfill(PAYLOAD_BYTES, (gchar)('a' + n % JOBS));
                send_order(&line, NM_ACTION_START, n, payloads[n], 0);
            }
            flush_after(&line, NM_RELAY_BATCH_MS);
            bytes = nm_counter_value(NM_COUNTER_PEER_BYTES) - bytes;
            bool is_new = round == 0 || (repeats && cases[i].restarts);
            g_assert_cmpuint(bytes, <=,
                             (is_new ? JOBS * PAYLOAD_BYTES : 0) +
                                 STARTS * OTHER_BYTES);
            counted = nm_counter_value(NM_COUNTER_PAYLOAD_BYTES) - counted;
            g_assert_cmpuint(counted, ==, is_new ? JOBS * PAYLOAD_BYTES : 0);
            ended += STARTS;
            if (restarts) {
                for (int ms = 0; ms < RECEIVE_MAX_MS && !pass_messages(&line);
                     ms++) {
                    g_usleep(1000);
                }
                return_results(&line, ended);
                g_assert_cmpint(line.result, ==, NM_ORDER_NOT_SENT);
                g_assert_cmpuint(line.recorder.actions->len, ==, before);
            }
            else {
                receive_orders(&line, before + STARTS);
                return_results(&line, ended);
                g_assert_cmpint(line.result, ==, NM_ORDER_DONE);
            }
            for (uint32_t n = 0; n < STARTS; n++) {
                if (!restarts) {
                    g_assert_cmpstr(received(&line, before + n)->payload, ==,
                                    payloads[n]);
                }
                g_free(payloads[n]);
            }
        }
        line_finish(&line);
    }
}

/* A start must not run with a payload that is not its own, or none. */
static void
test_missing_payload_is_refused(void)
{
    static const struct {
        uint32_t index;
        uint32_t sent;
    } cases[] = {{0, 1}, {1, 1}, {2, 0}, {UINT32_MAX, 0}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        line_t line;
        line_init(&line);
        char text[] = "";
        char *payloads[] = {text, text};
        NmPb__Order start = NM_PB__ORDER__INIT;
        start.payload_index = cases[i].index;
        NmPb__Order *starts[] = {&start};
        NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
        request.epoch = EPOCH;
        request.payloads = payloads;
        request.n_payloads = NM_COUNT_OF(payloads);
        request.starts = starts;
        request.n_starts = NM_COUNT_OF(starts);
        nm_peer_message_t message = {.request = &request,
                                     .sender_route = "owner",
                                     .sender_route_bytes = 5};
        uint64_t refused = nm_reason_value(NM_REASON_PEER_MALFORMED);
        nm_order_carrier_handle_request(&line.carrier, &message, EPOCH);
        refused = nm_reason_value(NM_REASON_PEER_MALFORMED) - refused;
        g_assert_cmpuint(line.recorder.actions->len, ==, cases[i].sent);
        g_assert_cmpuint(refused, ==, 1 - cases[i].sent);
        g_assert_cmpuint(line.carrier.queued_count, ==, 1);
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
    g_test_add_func("/relay/payloads-are-sent-once",
                    test_payloads_are_sent_once);
    g_test_add_func("/relay/payloads-are-kept", test_payloads_are_kept);
    g_test_add_func("/relay/fencing-tokens-are-passed-on",
                    test_fencing_tokens_are_passed_on);
    g_test_add_func("/relay/missing-payload-is-refused",
                    test_missing_payload_is_refused);
    return g_test_run();
}
