/*
 * Slot grants, on a manual clock and with random faults from a seed.
 *
 * Guards against an executor that receives more requests at once than it has
 * slots, when holders crash, restart or pause, the owner changes, or messages
 * are lost, late or duplicated.
 */

#include <string.h>

#include <glib.h>

#include <nutmegdeck/grant.h>

#define EXECUTORS 6
#define SLOTS 8
#define HOLDERS 3
#define REQUEST_MAX_MS 3000
#define STEP_MS 20
/*
 * An earlier owner may issue grants for up to 2000 ms more; then the last one
 * expires and the requests sent under it end.
 */
#define RECOVERY_MS                                                           \
    (2000 + NM_GRANT_TERM_MS + NM_GRANT_CLOCK_MARGIN_MS + REQUEST_MAX_MS)

typedef struct {
    uint64_t id;
    uint64_t number; /* of the last response applied */
    int64_t epoch;
    nm_ms_t expires_ms;
    uint16_t granted[EXECUTORS];
    nm_ms_t paused_until_ms;
    nm_ms_t requested_ms;
    uint32_t demand;
} holder_t;

/* A request that an executor runs. */
typedef struct {
    uint32_t executor;
    uint64_t holder;
    nm_ms_t ends_ms;
} running_request_t;

/* A grant request or its response, to be delivered at arrival_ms. */
typedef struct {
    bool is_request;
    bool probe;
    nm_ms_t arrival_ms;
    uint32_t holder;
    uint64_t id;
    nm_ms_t sent_ms;
    uint64_t number;
    int64_t epoch;
    uint16_t slots[EXECUTORS];
    uint32_t demand;
} message_t;

typedef struct {
    nm_rng_t rng;
    nm_ms_t now_ms;
    nm_grant_t grant;
    int64_t epoch;
    nm_ms_t owner_ready_ms; /* requests that arrive earlier are dropped */
    holder_t holders[HOLDERS];
    uint64_t next_id;
    GArray *requests;
    GArray *messages;
    uint32_t overcommitted; /* executors over their slots, in all steps */
    uint32_t started_requests;
    uint32_t max_slots_in_use; /* of one executor */
} sim_t;

static void
start_holder(sim_t *sim, uint32_t i)
{
    sim->holders[i] = (holder_t){
        .id = sim->next_id++,
        .demand = nm_rng_below(&sim->rng, 60),
    };
}

static void
start_owner(sim_t *sim, nm_ms_t recovery_ms)
{
    sim->epoch++;
    nm_grant_init(&sim->grant,
                  &(nm_grant_desc_t){
                      .epoch = sim->epoch,
                      .request_max_ms = REQUEST_MAX_MS,
                      .recovery_ms = recovery_ms,
                  },
                  sim->now_ms);
    for (uint32_t e = 0; e < EXECUTORS; e++) {
        nm_grant_set_executor(&sim->grant, e + 1, SLOTS);
    }
}

static uint16_t
slots_in_use(const sim_t *sim, uint64_t holder, uint32_t executor)
{
    uint16_t count = 0;
    for (uint32_t i = 0; i < sim->requests->len; i++) {
        const running_request_t *request =
            &g_array_index(sim->requests, running_request_t, i);
        count += request->executor == executor &&
                 (holder == 0 || request->holder == holder);
    }
    return count;
}

static nm_ms_t
draw_delay_ms(sim_t *sim)
{
    return nm_rng_below(&sim->rng, 12) == 0
               ? 500 + nm_rng_below(&sim->rng, 9000)
               : 1 + nm_rng_below(&sim->rng, 30);
}

static void
send_request(sim_t *sim, uint32_t i)
{
    holder_t *holder = &sim->holders[i];
    holder->requested_ms = sim->now_ms;
    message_t message = {
        .is_request = true,
        .arrival_ms = sim->now_ms + draw_delay_ms(sim),
        .holder = i,
        .id = holder->id,
        .sent_ms = sim->now_ms,
        .number = holder->number,
        .demand = holder->demand,
    };
    bool expired = sim->now_ms >= holder->expires_ms;
    for (uint32_t e = 0; e < EXECUTORS; e++) {
        uint16_t used = slots_in_use(sim, holder->id, e);
        message.slots[e] = expired ? used : MAX(used, holder->granted[e]);
    }
    uint32_t draw = nm_rng_below(&sim->rng, 20);
    for (uint32_t deliveries = draw == 0   ? 0
                               : draw == 1 ? 2
                                           : 1;
         deliveries > 0; deliveries--)
    {
        g_array_append_val(sim->messages, message);
        message.arrival_ms += nm_rng_below(&sim->rng, 3000);
    }
}

static void
handle_request(sim_t *sim, const message_t *request)
{
    if (sim->now_ms < sim->owner_ready_ms) {
        return;
    }
    nm_grant_report_t reports[EXECUTORS];
    uint32_t count = 0;
    for (uint32_t e = 0; e < EXECUTORS; e++) {
        if (request->slots[e] > 0) {
            reports[count++] = (nm_grant_report_t){e + 1, request->slots[e]};
        }
    }
    message_t response = *request;
    response.is_request = false;
    response.arrival_ms = sim->now_ms + draw_delay_ms(sim);
    response.epoch = sim->epoch;
    response.probe = !nm_grant_renew(&sim->grant,
                                     &(nm_grant_request_t){
                                         .holder = request->id,
                                         .last_number = request->number,
                                         .demand = request->demand,
                                         .reports = reports,
                                         .report_count = count,
                                     },
                                     sim->now_ms, &response.number);
    for (uint32_t e = 0; e < EXECUTORS; e++) {
        response.slots[e] = nm_grant_query(&sim->grant, request->id, e + 1);
    }
    g_array_append_val(sim->messages, response);
}

static void
apply_response(sim_t *sim, const message_t *response)
{
    holder_t *holder = &sim->holders[response->holder];
    if (holder->id != response->id || response->number <= holder->number ||
        response->epoch < holder->epoch)
    {
        return;
    }
    holder->number = response->number;
    holder->epoch = response->epoch;
    if (response->probe) {
        return;
    }
    holder->expires_ms = response->sent_ms + NM_GRANT_TERM_MS;
    memcpy(holder->granted, response->slots, sizeof(holder->granted));
}

static void
deliver_messages(sim_t *sim)
{
    for (uint32_t i = 0; i < sim->messages->len;) {
        message_t message = g_array_index(sim->messages, message_t, i);
        bool not_due =
            message.arrival_ms > sim->now_ms ||
            (!message.is_request &&
             sim->now_ms < sim->holders[message.holder].paused_until_ms);
        if (not_due) {
            i++;
            continue;
        }
        g_array_remove_index_fast(sim->messages, i);
        if (message.is_request) {
            handle_request(sim, &message);
        }
        else {
            apply_response(sim, &message);
        }
    }
}

static void
use_slots(sim_t *sim, uint32_t i)
{
    holder_t *holder = &sim->holders[i];
    for (uint32_t e = 0; e < EXECUTORS; e++) {
        uint16_t used = slots_in_use(sim, holder->id, e);
        if (sim->now_ms < holder->expires_ms && used < holder->granted[e] &&
            nm_rng_below(&sim->rng, 3) == 0)
        {
            running_request_t request = {
                .executor = e,
                .holder = holder->id,
                .ends_ms =
                    sim->now_ms + nm_rng_below(&sim->rng, REQUEST_MAX_MS),
            };
            g_array_append_val(sim->requests, request);
            sim->started_requests++;
        }
    }
}

static void
end_requests(sim_t *sim)
{
    for (uint32_t i = 0; i < sim->requests->len;) {
        if (g_array_index(sim->requests, running_request_t, i).ends_ms <=
            sim->now_ms) {
            g_array_remove_index_fast(sim->requests, i);
        }
        else {
            i++;
        }
    }
}

static void
inject_fault(sim_t *sim)
{
    uint32_t i = nm_rng_below(&sim->rng, HOLDERS);
    switch (nm_rng_below(&sim->rng, 4)) {
    case 0:
        /* The holder restarts; executors still run its requests. */
        start_holder(sim, i);
        break;
    case 1:
        sim->holders[i].paused_until_ms =
            sim->now_ms + nm_rng_below(&sim->rng, 9000);
        break;
    case 2:
        nm_grant_finish(&sim->grant);
        start_owner(sim, RECOVERY_MS);
        sim->owner_ready_ms = sim->now_ms + 1500;
        break;
    default:
        sim->holders[i].demand = nm_rng_below(&sim->rng, 60);
        break;
    }
}

static void
run_simulation(sim_t *sim, uint64_t seed, bool faults)
{
    *sim = (sim_t){.now_ms = 1000, .next_id = 100};
    nm_rng_init(&sim->rng, seed);
    sim->requests = g_array_new(FALSE, FALSE, sizeof(running_request_t));
    sim->messages = g_array_new(FALSE, FALSE, sizeof(message_t));
    start_owner(sim, 0);
    for (uint32_t i = 0; i < HOLDERS; i++) {
        start_holder(sim, i);
    }
    nm_ms_t next_fault_ms = 5000;
    while (sim->now_ms < 60000) {
        sim->now_ms += STEP_MS;
        if (faults && sim->now_ms >= next_fault_ms) {
            inject_fault(sim);
            next_fault_ms = sim->now_ms + nm_rng_below(&sim->rng, 6000);
        }
        end_requests(sim);
        deliver_messages(sim);
        nm_grant_tick(&sim->grant, sim->now_ms);
        for (uint32_t i = 0; i < HOLDERS; i++) {
            if (sim->now_ms < sim->holders[i].paused_until_ms) {
                continue;
            }
            if (sim->now_ms - sim->holders[i].requested_ms >= 300) {
                send_request(sim, i);
            }
            use_slots(sim, i);
        }
        for (uint32_t e = 0; e < EXECUTORS; e++) {
            uint16_t used = slots_in_use(sim, 0, e);
            sim->overcommitted += used > SLOTS;
            sim->max_slots_in_use = MAX(sim->max_slots_in_use, used);
        }
    }
    g_array_free(sim->requests, TRUE);
    g_array_free(sim->messages, TRUE);
    nm_grant_finish(&sim->grant);
}

/* No executor is overcommitted, whichever faults occur in which order. */
static void
test_random(void)
{
    for (uint64_t seed = 1; seed <= 60; seed++) {
        sim_t sim;
        run_simulation(&sim, seed, true);
        if (sim.overcommitted > 0) {
            g_test_message("seed %d: slots exceeded %u times", (int)seed,
                           sim.overcommitted);
            g_test_fail();
        }
        g_assert_cmpuint(sim.started_requests, >, 100);
    }
}

/* Without faults all slots of an executor are granted and used. */
static void
test_all_granted(void)
{
    sim_t sim;
    run_simulation(&sim, 1, false);
    g_assert_cmpuint(sim.overcommitted, ==, 0);
    g_assert_cmpuint(sim.max_slots_in_use, ==, SLOTS);
}

static void
renew_grant(nm_grant_t *grant, uint64_t holder, uint64_t *number,
            uint16_t *held, uint32_t demand, bool leaving, nm_ms_t now_ms)
{
    nm_grant_report_t report = {1, *held};
    if (nm_grant_renew(grant,
                       &(nm_grant_request_t){
                           .holder = holder,
                           .last_number = *number,
                           .demand = demand,
                           .leaving = leaving,
                           .reports = &report,
                           .report_count = 1,
                       },
                       now_ms, number))
    {
        *held = nm_grant_query(grant, holder, 1);
    }
}

/* Shares follow demand; a leaving holder's slots go to the other holder. */
static void
test_follows_demand(void)
{
    nm_grant_t grant;
    nm_grant_init(&grant, &(nm_grant_desc_t){.epoch = 1, .request_max_ms = 1},
                  0);
    nm_grant_set_executor(&grant, 1, SLOTS);
    uint64_t numbers[2] = {0};
    uint16_t held[2] = {0};
    nm_ms_t now_ms = 1000;
    for (int i = 0; i < 6; i++, now_ms += 300) {
        renew_grant(&grant, 7, &numbers[0], &held[0], 40, false, now_ms);
        renew_grant(&grant, 8, &numbers[1], &held[1], 0, false, now_ms);
    }
    g_assert_cmpuint(held[0], >=, 6);
    g_assert_cmpuint(held[1], >=, 1);
    for (int i = 0; i < 6; i++, now_ms += 300) {
        renew_grant(&grant, 7, &numbers[0], &held[0], 0, true, now_ms);
        renew_grant(&grant, 8, &numbers[1], &held[1], 10, false, now_ms);
    }
    g_assert_cmpuint(held[0], ==, 0);
    g_assert_cmpuint(held[1], ==, SLOTS);
    nm_grant_finish(&grant);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/grant/random-faults", test_random);
    g_test_add_func("/grant/all-granted", test_all_granted);
    g_test_add_func("/grant/follows-demand", test_follows_demand);
    return g_test_run();
}
