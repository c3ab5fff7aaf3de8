/*
 * Limit of the orders in flight to one worker: further orders wait, and none
 * is lost or altered.  Starts that wait for too long are not sent.
 */
#include <string.h>

#include <glib.h>

#include "../src/order_limiter.h"

typedef struct {
    nm_order_port_t base;
    GArray *users; /* user pointers of the orders in flight */
    GPtrArray *payloads;
    nm_order_done_fn done;
} inner_t;

static void
inner_send(nm_order_port_t *port, const nm_sched_action_t *action,
           int64_t epoch, nm_order_done_fn done, void *user)
{
    inner_t *inner = (inner_t *)port;
    g_assert_cmpint(epoch, ==, 7);
    inner->done = done;
    g_array_append_val(inner->users, user);
    g_ptr_array_add(inner->payloads, g_strdup(action->payload));
}

static const nm_order_port_vtable_t inner_vtable = {.send = inner_send};

static void
on_order(void *user, const nm_sched_action_t *action, nm_order_result_t result,
         const nm_worker_report_t *report)
{
    (void)action;
    (void)report;
    g_assert_cmpint(result, ==, NM_ORDER_DONE);
    (*(uint32_t *)user)++;
}

static const struct {
    const char *name;
    nm_sched_action_type_t type;
    const char *workers[4];
    uint32_t in_flight; /* expected before any order has ended */
} cases[] = {
    {"one worker", NM_ACTION_START, {"a", "a", "a", "a"}, 2},
    {"two workers", NM_ACTION_START, {"a", "b", "a", "b"}, 4},
    {"three to one worker, one to another",
     NM_ACTION_STOP,
     {"a", "a", "a", "b"},
     3},
    {"polls are not limited", NM_ACTION_POLL, {"a", "a", "a", "a"}, 4},
};

/* Guards against orders above the limit, and orders lost while they wait. */
static void
test_limit(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        inner_t inner = {.base = {&inner_vtable},
                         .users = g_array_new(FALSE, FALSE, sizeof(void *)),
                         .payloads = g_ptr_array_new_with_free_func(g_free)};
        nm_order_limiter_t limiter;
        nm_clock_t clock;
        nm_clock_init_manual(&clock, 1000);
        nm_order_port_t *port =
            nm_order_limiter_init(&limiter, &inner.base, &clock);
        uint32_t ended_count = 0;
        for (uint32_t order = 0; order < NM_COUNT_OF(cases[i].workers);
             order++) {
            char payload[8];
            g_snprintf(payload, sizeof(payload), "%u", order);
            nm_sched_action_t action = {
                .type = cases[i].type, .payload = payload, .checkpoint = ""};
            nm_strcopy(action.worker, sizeof(action.worker),
                       cases[i].workers[order]);
            nm_order_port_send(port, &action, 7, on_order, &ended_count);
        }
        g_assert_cmpuint(inner.users->len, ==, cases[i].in_flight);
        for (uint32_t sent = 0; sent < inner.users->len; sent++) {
            nm_sched_action_t action = {.type = cases[i].type};
            inner.done(g_array_index(inner.users, void *, sent), &action,
                       NM_ORDER_DONE, NULL);
        }
        g_assert_cmpuint(ended_count, ==, 4);
        g_assert_cmpuint(inner.payloads->len, ==, 4);
        for (uint32_t p = 0; p < 4; p++) {
            char payload[8];
            g_snprintf(payload, sizeof(payload), "%u", p);
            bool found = false;
            for (uint32_t q = 0; q < 4; q++) {
                found =
                    found || strcmp(inner.payloads->pdata[q], payload) == 0;
            }
            g_assert_true(found);
        }
        nm_order_limiter_finish(&limiter);
        g_array_free(inner.users, TRUE);
        g_ptr_array_free(inner.payloads, TRUE);
    }
}

static void
count_unsent(void *user, const nm_sched_action_t *action,
             nm_order_result_t result, const nm_worker_report_t *report)
{
    (void)action;
    (void)report;
    ((uint32_t *)user)[0] += result == NM_ORDER_NOT_SENT;
    ((uint32_t *)user)[1]++;
}

/*
 * Guards against starts that are sent when they are late, as their worker's
 * calls take long, and against orders behind them that are never sent.
 */
static void
test_late_starts_are_not_sent(void)
{
    static const struct {
        nm_ms_t valid_ms;
        nm_ms_t waited_ms;
        uint32_t unsent; /* of four, two of which wait */
    } late_cases[] = {{1700, 1699, 0}, {1700, 1700, 2}, {0, 60000, 0}};
    for (size_t i = 0; i < NM_COUNT_OF(late_cases); i++) {
        inner_t inner = {.base = {&inner_vtable},
                         .users = g_array_new(FALSE, FALSE, sizeof(void *)),
                         .payloads = g_ptr_array_new_with_free_func(g_free)};
        nm_clock_t clock;
        nm_clock_init_manual(&clock, 1000);
        nm_order_limiter_t limiter;
        nm_order_port_t *port =
            nm_order_limiter_init(&limiter, &inner.base, &clock);
        nm_sched_action_t start = {.worker = "w",
                                   .payload = "",
                                   .checkpoint = "",
                                   .valid_ms = late_cases[i].valid_ms};
        nm_sched_action_t stop = start;
        stop.type = NM_ACTION_STOP;
        stop.valid_ms = 0;
        uint32_t counts[2] = {0};
        for (int order = 0; order < 4; order++) {
            nm_order_port_send(port, &start, 7, count_unsent, counts);
        }
        nm_order_port_send(port, &stop, 7, count_unsent, counts);
        clock.manual_ms += late_cases[i].waited_ms;
        for (uint32_t sent = 0; sent < inner.users->len; sent++) {
            inner.done(g_array_index(inner.users, void *, sent), &start,
                       NM_ORDER_DONE, NULL);
        }
        g_assert_cmpuint(counts[0], ==, late_cases[i].unsent);
        g_assert_cmpuint(counts[1], ==, 5);
        g_assert_cmpuint(inner.users->len, ==, 5 - late_cases[i].unsent);
        nm_order_limiter_finish(&limiter);
        g_array_free(inner.users, TRUE);
        g_ptr_array_free(inner.payloads, TRUE);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/order-limiter/limit", test_limit);
    g_test_add_func("/order-limiter/late-starts-are-not-sent",
                    test_late_starts_are_not_sent);
    return g_test_run();
}
