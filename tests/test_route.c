/*
 * Routing decisions, on a manual clock.
 *
 * Guards against a request that is sent more often than its method, retry
 * budget, grants and link rate allow, and against a caller that receives no
 * response, two responses or a wrong verdict.
 */

#include <glib.h>

#include <nutmegdeck/route.h>

#define START_MS 1000
#define TIMEOUT_MS 500

typedef struct {
    nm_route_t route;
    nm_ms_t now_ms;
    uint32_t sent;
    nm_attempt_t last_attempt;
    uint64_t last_target;
    bool last_fresh_connection;
    uint32_t ended;
    nm_reason_t reason;
    nm_verdict_t verdict;
    bool responded;
    uint32_t closed;
} fixture_t;

static void
run_actions(fixture_t *fixture)
{
    nm_route_action_t action;
    while (nm_route_next_action(&fixture->route, &action)) {
        switch (action.type) {
        case NM_ROUTE_SEND:
            fixture->sent++;
            fixture->last_attempt = action.attempt;
            fixture->last_target = action.target_id;
            fixture->last_fresh_connection = action.fresh_connection;
            break;
        case NM_ROUTE_RESPOND:
            fixture->ended++;
            fixture->responded = true;
            break;
        case NM_ROUTE_REFUSE:
            fixture->ended++;
            fixture->reason = action.reason;
            fixture->verdict = action.verdict;
            break;
        case NM_ROUTE_CLOSE:
            fixture->closed++;
            break;
        }
    }
}

static void
advance(fixture_t *fixture, nm_ms_t duration_ms)
{
    for (nm_ms_t i = 0; i < duration_ms; i += 5) {
        fixture->now_ms += 5;
        nm_route_tick(&fixture->route, fixture->now_ms);
        run_actions(fixture);
    }
}

static void
add_target(fixture_t *fixture, uint64_t id, nm_target_type_t type,
           uint32_t slots, nm_ms_t expires_ms)
{
    nm_route_target_t target = {
        .id = id,
        .type = type,
        .granted_slots = slots,
        .grant_expires_ms = expires_ms,
    };
    nm_route_update_target(&fixture->route, &target, fixture->now_ms);
    run_actions(fixture);
}

static void
init(fixture_t *fixture, uint32_t executors, uint32_t slots,
     uint32_t retry_budget_pct)
{
    *fixture = (fixture_t){.now_ms = START_MS};
    nm_route_init(&fixture->route, &(nm_route_desc_t){.seed = 1});
    nm_route_update_service(&fixture->route, 0,
                            &(nm_route_service_t){
                                .timeout_ms = TIMEOUT_MS,
                                .queue_limit = 4,
                                .retry_budget_pct = retry_budget_pct,
                            });
    nm_route_set_link_rate(&fixture->route, 1000);
    for (uint32_t i = 0; i < executors; i++) {
        add_target(fixture, i + 1, NM_TARGET_EXECUTOR, slots, NM_MS_NEVER / 2);
    }
}

static nm_request_t
submit(fixture_t *fixture, bool idempotent, bool forwarded)
{
    nm_request_t request;
    nm_route_arrival_t arrival = {
        .idempotent = idempotent,
        .forwarded = forwarded,
        .request_bytes = 800,
    };
    g_assert_cmpint(
        nm_route_submit(&fixture->route, &arrival, fixture->now_ms, &request),
        ==, NM_OK);
    run_actions(fixture);
    return request;
}

static void
end_attempt(fixture_t *fixture, nm_outcome_t outcome)
{
    nm_route_attempt_done(&fixture->route, fixture->last_attempt, outcome,
                          fixture->now_ms);
    run_actions(fixture);
}

/* Every attempt has this outcome; the retry budget is 100%. */
typedef struct {
    const char *name;
    bool idempotent;
    nm_outcome_t outcome;
    uint32_t attempts; /* expected */
    bool responded;
    nm_verdict_t verdict;
    nm_reason_t reason;
} outcome_case_t;

static const outcome_case_t outcome_cases[] = {
    {"non-idempotent-responded", false, NM_OUTCOME_RESPONDED, 1, true, 0, 0},
    {"non-idempotent-reset", false, NM_OUTCOME_RESET, 1, false,
     NM_VERDICT_UNKNOWN, NM_REASON_UPSTREAM_RESET},
    {"non-idempotent-truncated", false, NM_OUTCOME_TRUNCATED, 1, false,
     NM_VERDICT_RAN, NM_REASON_UPSTREAM_CUT},
    {"non-idempotent-unavailable", false, NM_OUTCOME_UNAVAILABLE, 1, true, 0,
     0},
    {"non-idempotent-refused", false, NM_OUTCOME_REFUSED, 4, false,
     NM_VERDICT_NOT_RUN, NM_REASON_NO_EXECUTOR},
    {"non-idempotent-not-run", false, NM_OUTCOME_NOT_RUN, 4, false,
     NM_VERDICT_NOT_RUN, NM_REASON_NO_EXECUTOR},
    {"idempotent-reset", true, NM_OUTCOME_RESET, 4, false, NM_VERDICT_UNKNOWN,
     NM_REASON_UPSTREAM_RESET},
    {"idempotent-truncated", true, NM_OUTCOME_TRUNCATED, 4, false,
     NM_VERDICT_RAN, NM_REASON_UPSTREAM_CUT},
    {"idempotent-too-large", true, NM_OUTCOME_TOO_LARGE, 4, false,
     NM_VERDICT_RAN, NM_REASON_UPSTREAM_LARGE},
};

static void
test_outcome(const void *data)
{
    const outcome_case_t *test = data;
    fixture_t fixture;
    init(&fixture, 8, 8, 100);
    /* Earlier requests fill the retry budget. */
    for (int i = 0; i < 10; i++) {
        submit(&fixture, true, false);
        end_attempt(&fixture, NM_OUTCOME_RESPONDED);
    }
    fixture.ended = 0;
    fixture.sent = 0;
    fixture.responded = false;
    submit(&fixture, test->idempotent, false);
    g_assert_cmpint(fixture.last_fresh_connection, ==, !test->idempotent);
    for (int i = 0; i < 60 && fixture.ended == 0; i++) {
        uint32_t before = fixture.sent;
        end_attempt(&fixture, test->outcome);
        while (fixture.ended == 0 && fixture.sent == before) {
            advance(&fixture, 5);
        }
    }
    g_assert_cmpuint(fixture.ended, ==, 1);
    g_assert_cmpuint(fixture.sent, ==, test->attempts);
    g_assert_cmpint(fixture.responded, ==, test->responded);
    if (!test->responded) {
        g_assert_cmpint(fixture.verdict, ==, test->verdict);
        g_assert_cmpint(fixture.reason, ==, test->reason);
    }
    nm_route_finish(&fixture.route);
}

/* Without a retry budget even an idempotent request is sent only once. */
static void
test_no_budget(void)
{
    fixture_t fixture;
    init(&fixture, 4, 8, 0);
    submit(&fixture, true, false);
    end_attempt(&fixture, NM_OUTCOME_RESET);
    g_assert_cmpuint(fixture.ended, ==, 1);
    g_assert_cmpuint(fixture.sent, ==, 1);
    nm_route_finish(&fixture.route);
}

/* Guards against an unbounded queue, and a request sent past its deadline. */
static void
test_queue_and_limits(void)
{
    fixture_t fixture;
    init(&fixture, 1, 2, 0);
    for (int i = 0; i < 6; i++) {
        submit(&fixture, true, false);
    }
    g_assert_cmpuint(fixture.sent, ==, 2);
    g_assert_cmpuint(nm_route_query_in_flight(&fixture.route, 1), ==, 2);
    g_assert_cmpuint(fixture.ended, ==, 0);
    submit(&fixture, true, false);
    g_assert_cmpint(fixture.reason, ==, NM_REASON_QUEUE_FULL);
    g_assert_cmpint(fixture.verdict, ==, NM_VERDICT_NOT_RUN);
    end_attempt(&fixture, NM_OUTCOME_RESPONDED);
    g_assert_cmpuint(fixture.sent, ==, 3);
    /* A queued request is never sent after its deadline. */
    advance(&fixture, TIMEOUT_MS);
    g_assert_cmpuint(fixture.sent, ==, 3);
    g_assert_cmpuint(fixture.ended, ==, 7);
    nm_route_finish(&fixture.route);
}

/*
 * After a timeout the executor may still run the request: its slot stays in
 * use until the detach margin has passed.
 */
static void
test_timeout_keeps_slot(void)
{
    fixture_t fixture;
    init(&fixture, 1, 1, 0);
    submit(&fixture, false, false);
    advance(&fixture, TIMEOUT_MS);
    g_assert_cmpuint(fixture.ended, ==, 1);
    g_assert_cmpint(fixture.reason, ==, NM_REASON_UPSTREAM_TIMEOUT);
    g_assert_cmpint(fixture.verdict, ==, NM_VERDICT_UNKNOWN);
    g_assert_cmpuint(nm_route_query_in_flight(&fixture.route, 1), ==, 1);
    advance(&fixture, NM_ROUTE_DETACH_MARGIN_MS);
    g_assert_cmpuint(nm_route_query_in_flight(&fixture.route, 1), ==, 0);
    g_assert_cmpuint(fixture.closed, ==, 1);
    nm_route_finish(&fixture.route);
}

/* The response to a timed-out request must not reach the next caller. */
static void
test_late_response(void)
{
    fixture_t fixture;
    init(&fixture, 1, 1, 0);
    submit(&fixture, false, false);
    advance(&fixture, TIMEOUT_MS);
    nm_attempt_t late_attempt = fixture.last_attempt;
    submit(&fixture, true, false);
    fixture.ended = 0;
    nm_route_attempt_done(&fixture.route, late_attempt, NM_OUTCOME_RESPONDED,
                          fixture.now_ms);
    run_actions(&fixture);
    /* A late response frees the slot but reaches no caller. */
    g_assert_false(fixture.responded);
    g_assert_cmpuint(fixture.ended, ==, 0);
    nm_route_finish(&fixture.route);
}

/* Nothing is sent under a grant that has expired. */
static void
test_expired_grant(void)
{
    fixture_t fixture;
    init(&fixture, 0, 0, 0);
    nm_ms_t expires_ms = START_MS + 1000;
    add_target(&fixture, 1, NM_TARGET_EXECUTOR, 8, expires_ms);
    submit(&fixture, true, false);
    g_assert_cmpuint(fixture.sent, ==, 1);
    /* After a pause between decision and send, the grant may have expired. */
    g_assert_true(nm_route_may_send(&fixture.route, fixture.last_attempt,
                                    START_MS + 100));
    g_assert_false(
        nm_route_may_send(&fixture.route, fixture.last_attempt, expires_ms));
    fixture.now_ms = expires_ms;
    submit(&fixture, true, false);
    g_assert_cmpuint(fixture.sent, ==, 1);
    g_assert_cmpint(fixture.reason, ==, NM_REASON_NO_GRANT);
    nm_route_finish(&fixture.route);
}

/* A leaving executor receives no request, although its grant is valid. */
static void
test_leaving(void)
{
    fixture_t fixture;
    init(&fixture, 2, 8, 100);
    nm_route_target_t leaving = {
        .id = 1,
        .granted_slots = 8,
        .grant_expires_ms = NM_MS_NEVER / 2,
        .leaving = true,
    };
    nm_route_update_target(&fixture.route, &leaving, fixture.now_ms);
    for (int i = 0; i < 8; i++) {
        submit(&fixture, true, false);
        g_assert_cmpuint(fixture.last_target, ==, 2);
    }
    nm_route_finish(&fixture.route);
}

/*
 * A refused connection ejects an executor at once; later at most one request
 * probes it.
 */
static void
test_refused_executor(void)
{
    fixture_t fixture;
    init(&fixture, 2, 8, 100);
    for (int i = 0; i < 10; i++) {
        submit(&fixture, true, false);
        end_attempt(&fixture, NM_OUTCOME_RESPONDED);
    }
    uint64_t refused;
    submit(&fixture, true, false);
    refused = fixture.last_target;
    end_attempt(&fixture, NM_OUTCOME_REFUSED);
    advance(&fixture, 50);
    for (int i = 0; i < 5; i++) {
        submit(&fixture, true, false);
        g_assert_cmpuint(fixture.last_target, !=, refused);
    }
    advance(&fixture, 1200);
    uint32_t probes = 0;
    for (int i = 0; i < 6; i++) {
        submit(&fixture, true, false);
        probes += fixture.last_target == refused;
    }
    g_assert_cmpuint(probes, <=, 1);
    nm_route_finish(&fixture.route);
}

/*
 * A request is forwarded only once, preferably in the same region, and to
 * another region only within the link rate.
 */
static void
test_forward(void)
{
    fixture_t fixture;
    init(&fixture, 0, 0, 100);
    add_target(&fixture, 50, NM_TARGET_PEER_OTHER_REGION, 8, NM_MS_NEVER / 2);
    advance(&fixture, 1000);
    /* A burst of 250 bytes does not cover a request of 800. */
    submit(&fixture, true, false);
    g_assert_cmpint(fixture.reason, ==, NM_REASON_LINK_BUDGET);
    nm_route_set_link_rate(&fixture.route, 100000);
    advance(&fixture, 100);
    submit(&fixture, true, false);
    g_assert_cmpuint(fixture.last_target, ==, 50);
    add_target(&fixture, 51, NM_TARGET_PEER_SAME_REGION, 8, NM_MS_NEVER / 2);
    submit(&fixture, false, false);
    g_assert_cmpuint(fixture.last_target, ==, 51);
    /* A forwarded request is not forwarded again. */
    fixture.ended = 0;
    submit(&fixture, true, true);
    g_assert_cmpuint(fixture.ended, ==, 1);
    g_assert_cmpint(fixture.reason, ==, NM_REASON_HOP_LIMIT);
    nm_route_finish(&fixture.route);
}

/*
 * A large response overdraws the link budget; no request is forwarded until
 * the budget is positive again.
 */
static void
test_link_response_bytes(void)
{
    fixture_t fixture;
    init(&fixture, 0, 0, 100);
    add_target(&fixture, 50, NM_TARGET_PEER_OTHER_REGION, 8, NM_MS_NEVER / 2);
    nm_route_set_link_rate(&fixture.route, 10000);
    advance(&fixture, 500);
    submit(&fixture, true, false);
    g_assert_cmpuint(fixture.sent, ==, 1);
    nm_route_charge_response(&fixture.route, fixture.last_attempt, 20000);
    end_attempt(&fixture, NM_OUTCOME_RESPONDED);
    advance(&fixture, 1000);
    submit(&fixture, true, false);
    g_assert_cmpint(fixture.reason, ==, NM_REASON_LINK_BUDGET);
    advance(&fixture, 1500);
    submit(&fixture, true, false);
    g_assert_cmpuint(fixture.sent, ==, 2);
    nm_route_finish(&fixture.route);
}

/* A stop refuses new requests, but must not lose those that run. */
static void
test_stop(void)
{
    fixture_t fixture;
    init(&fixture, 1, 8, 0);
    submit(&fixture, true, false);
    nm_route_stop(&fixture.route);
    submit(&fixture, true, false);
    g_assert_cmpint(fixture.reason, ==, NM_REASON_STOPPING);
    g_assert_cmpuint(nm_route_query_active(&fixture.route), ==, 1);
    end_attempt(&fixture, NM_OUTCOME_RESPONDED);
    g_assert_true(fixture.responded);
    nm_route_finish(&fixture.route);
}

/*
 * Responses wait in this host's sockets while it stalls.  Their executors must
 * not be ejected, nor their requests be sent again.
 */
static void
test_own_stall_times_out_no_attempts(void)
{
    static const struct {
        nm_ms_t stall_ms;
        nm_ms_t elapsed_ms; /* after the stall, before the responses */
        bool retries;
    } cases[] = {
        {0, 50, false}, {0, 150, true}, {1000, 50, false}, {1000, 150, true}};
    for (size_t i = 0; i < G_N_ELEMENTS(cases); i++) {
        fixture_t fixture;
        init(&fixture, 2, 8, 100);
        nm_route_update_service(&fixture.route, 0,
                                &(nm_route_service_t){
                                    .timeout_ms = 5000,
                                    .attempt_timeout_ms = 100,
                                    .queue_limit = 4,
                                    .retry_budget_pct = 100,
                                });
        for (int j = 0; j < 10; j++) {
            submit(&fixture, true, false);
            end_attempt(&fixture, NM_OUTCOME_RESPONDED);
        }
        fixture.sent = 0;
        for (int j = 0; j < 8; j++) {
            submit(&fixture, true, false);
        }
        advance(&fixture, 5);
        fixture.now_ms += cases[i].stall_ms;
        nm_route_begin_round(&fixture.route, fixture.now_ms);
        advance(&fixture, cases[i].elapsed_ms);
        g_assert_cmpint(fixture.sent > 8, ==, cases[i].retries);
        nm_route_finish(&fixture.route);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    for (size_t i = 0; i < G_N_ELEMENTS(outcome_cases); i++) {
        char *path =
            g_strdup_printf("/route/outcome/%s", outcome_cases[i].name);
        g_test_add_data_func(path, &outcome_cases[i], test_outcome);
        g_free(path);
    }
    g_test_add_func("/route/no-retry-budget", test_no_budget);
    g_test_add_func("/route/queue-and-limits", test_queue_and_limits);
    g_test_add_func("/route/timeout-keeps-slot", test_timeout_keeps_slot);
    g_test_add_func("/route/late-response", test_late_response);
    g_test_add_func("/route/expired-grant", test_expired_grant);
    g_test_add_func("/route/leaving", test_leaving);
    g_test_add_func("/route/refused-executor", test_refused_executor);
    g_test_add_func("/route/forward", test_forward);
    g_test_add_func("/route/link-response-bytes", test_link_response_bytes);
    g_test_add_func("/route/stop", test_stop);
    g_test_add_func("/route/own-stall-times-out-no-attempts",
                    test_own_stall_times_out_no_attempts);
    return g_test_run();
}
