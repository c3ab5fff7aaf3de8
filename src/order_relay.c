#include "order_relay.h"

#include <assert.h>
#include <math.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>

#include "order_queue.h"

/* Timeout of an order that names none, with the round trip to the carrier. */
#define ORDER_TIMEOUT_MS 900
/* Timeout of a poll that names none, after the time that it may wait. */
#define POLL_MARGIN_MS 1000
/* Round trip to the carrier, added to a timeout that the order names. */
#define ROUND_TRIP_MS 450
/* A carrier that has not responded for this long receives no orders. */
#define UNRESPONSIVE_MS 800
/*
 * If most carriers are late at once, it is this host or its link that is
 * behind; then those that have responded within this time are not silent.
 */
#define BEHIND_MAX_MS 5000
/* Late carriers from which on this host may be behind: one says nothing. */
#define BEHIND_LATE_MIN 2
/*
 * Time for which an unresponsive carrier receives no orders, doubled each time
 * that it does not respond to a probe either.
 */
#define DOWN_MIN_MS 2000
#define DOWN_MAX_MS 16000
/* A report is still accepted this long after its poll has timed out. */
#define LATE_RESPONSE_MAX_MS 10000
/*
 * Hosts with less than this part of the largest cpu_share of their data centre
 * carry nothing while a larger one responds: with few carriers, more orders
 * share a message of the owner.
 */
#define CARRIER_CPU_SHARE_MIN 0.5
/*
 * Workers per carrier.  At some 8 calls a second per worker, they take a tenth
 * of a core.  With more carriers the owner sends more messages, each with
 * fewer orders.
 */
#define WORKERS_PER_CARRIER 50
/* Minimum of carriers per data centre, so that one of them may fail. */
#define ZONE_CARRIERS_MIN 2
/*
 * Limit on the carriers of all data centres together, divided equally among
 * them, but each has ZONE_CARRIERS_MIN; peer_rpc.c keeps connections to 64
 * hosts.
 */
#define CARRIERS_TOTAL_MAX 48
/* Time between two checks for orders and carriers that time out. */
#define CHECK_INTERVAL_MS 100

typedef struct {
    nm_relay_host_t desc;
    GPtrArray *queued; /* see order_queue.h */
    uint32_t open;
    /* Oldest order since the last response; 0: none. */
    nm_ms_t oldest_unanswered_ms;
    nm_ms_t responded_ms;         /* last response; 0: none */
    nm_payload_form_t form;       /* that it has announced */
    nm_payload_table_t *payloads; /* that it keeps; NULL if none */
    nm_ms_t down_until_ms;        /* receives no orders before this time */
    nm_ms_t down_ms;              /* last time without orders; 0: responsive */
    double weight;                /* set while carriers are selected */
} carrier_t;

typedef struct {
    uint64_t number;
    nm_sched_action_t action;
    nm_order_done_fn done;
    void *user;
    nm_ms_t sent_ms;
    nm_ms_t deadline_ms;
    char carrier[NM_NAME_MAX];
} order_t;

/* A poll that timed out; its response may still arrive. */
typedef struct {
    uint64_t number;
    nm_sched_action_t action;
    nm_ms_t sent_ms;
    nm_ms_t deadline_ms;
} late_poll_t;

/* A data centre, and the hosts that carry orders to its workers. */
typedef struct {
    char name[NM_NAME_MAX];
    uint32_t workers;
    uint32_t workers_at_selection; /* when the carriers were selected */
    GPtrArray *carriers;
    uint64_t generation; /* of the relay, when the carriers were selected */
} zone_t;

/* Route to a worker: its data centre and carrier. */
typedef struct {
    zone_t *zone;
    carrier_t *carrier;
    uint64_t generation;       /* of the zone, when carrier was selected */
    nm_ms_t view_poll_sent_ms; /* when the poll behind the view was sent */
    nm_report_view_t view;     /* of the worker's runs, as last reported */
} route_t;

static void
free_carrier(gpointer data)
{
    carrier_t *carrier = data;
    g_ptr_array_free(carrier->queued, TRUE);
    nm_payload_table_free(carrier->payloads);
    g_free(carrier);
}

/* Discards an order and its user data without a callback. */
static void
free_order(gpointer data)
{
    order_t *order = data;
    g_free(order->user);
    g_free(order);
}

static void
free_zone(gpointer data)
{
    zone_t *zone = data;
    g_ptr_array_free(zone->carriers, TRUE);
    g_free(zone);
}

static void
free_route(gpointer data)
{
    route_t *route = data;
    nm_report_view_finish(&route->view);
    g_free(route);
}

/* Weighted rendezvous hashing: hosts win in proportion to their cpu_share. */
static double
rendezvous_weight(const carrier_t *carrier, const char *key)
{
    char text[NM_NAME_MAX * 2 + 2];
    g_snprintf(text, sizeof(text), "%s/%s", carrier->desc.name, key);
    uint64_t hash = nm_hash(text, strlen(text));
    double unit = ((double)(hash >> 11) + 1) * 0x1.0p-53;
    return -MAX(carrier->desc.cpu_share, 0.01) / log(unit);
}

static bool
is_in_zone(const nm_order_relay_t *relay, const carrier_t *carrier,
           const zone_t *zone)
{
    return strcmp(carrier->desc.zone, zone->name) == 0 &&
           strcmp(carrier->desc.name, relay->desc.name) != 0;
}

static gint
compare_carriers(gconstpointer a, gconstpointer b)
{
    const carrier_t *left = *(carrier_t *const *)a;
    const carrier_t *right = *(carrier_t *const *)b;
    return left->weight < right->weight ? 1 : left->weight > right->weight;
}

/* Selects the hosts that carry for a data centre, among those not down. */
static void
select_carriers(nm_order_relay_t *relay, zone_t *zone)
{
    GHashTableIter iter;
    gpointer value;
    double cpu_share_max = 0;
    g_ptr_array_set_size(zone->carriers, 0);
    g_hash_table_iter_init(&iter, relay->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        carrier_t *carrier = value;
        if (carrier->down_ms == 0 && is_in_zone(relay, carrier, zone)) {
            carrier->weight = rendezvous_weight(carrier, zone->name);
            cpu_share_max = MAX(cpu_share_max, carrier->desc.cpu_share);
            g_ptr_array_add(zone->carriers, carrier);
        }
    }
    for (guint i = zone->carriers->len; i > 0; i--) {
        const carrier_t *carrier = zone->carriers->pdata[i - 1];
        if (carrier->desc.cpu_share < cpu_share_max * CARRIER_CPU_SHARE_MIN) {
            g_ptr_array_remove_index_fast(zone->carriers, i - 1);
        }
    }
    g_ptr_array_sort(zone->carriers, compare_carriers);
    guint zones = MAX(g_hash_table_size(relay->zones), 1);
    guint wanted =
        (zone->workers + WORKERS_PER_CARRIER - 1) / WORKERS_PER_CARRIER;
    wanted = MAX(MIN(wanted, CARRIERS_TOTAL_MAX / zones), ZONE_CARRIERS_MIN);
    if (zone->carriers->len > wanted) {
        g_ptr_array_set_size(zone->carriers, (gint)wanted);
    }
    zone->generation = relay->generation;
    zone->workers_at_selection = zone->workers;
}

/*
 * Returns a carrier whose time without orders is over, to be probed by one
 * order at a time, or NULL.
 */
static carrier_t *
find_probe_carrier(nm_order_relay_t *relay, const zone_t *zone, nm_ms_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->hosts);
    while (relay->probe_due && g_hash_table_iter_next(&iter, NULL, &value)) {
        carrier_t *carrier = value;
        if (carrier->down_ms > 0 && carrier->oldest_unanswered_ms == 0 &&
            now_ms >= carrier->down_until_ms &&
            is_in_zone(relay, carrier, zone))
        {
            return carrier;
        }
    }
    return NULL;
}

static carrier_t *
select_worker_carrier(const zone_t *zone, const char *worker)
{
    carrier_t *best = NULL;
    double best_weight = 0;
    for (guint i = 0; i < zone->carriers->len; i++) {
        carrier_t *carrier = zone->carriers->pdata[i];
        double carrier_weight = rendezvous_weight(carrier, worker);
        if (carrier_weight > best_weight) {
            best = carrier;
            best_weight = carrier_weight;
        }
    }
    return best;
}

/*
 * Returns the carrier for an order, or NULL if this host sends it itself.  An
 * order that may wait at its worker is no probe, as a response that is late
 * says nothing about the carrier.
 */
static carrier_t *
choose_carrier(nm_order_relay_t *relay, const char *worker, nm_ms_t wait_ms,
               nm_ms_t now_ms)
{
    route_t *route = g_hash_table_lookup(relay->routes, worker);
    if (!route ||
        g_hash_table_size(relay->routes) <= relay->desc.direct_workers_max)
    {
        return NULL;
    }
    zone_t *zone = route->zone;
    bool outgrown = zone->workers >= 2 * zone->workers_at_selection;
    if (zone->generation != relay->generation || outgrown) {
        relay->generation += outgrown;
        select_carriers(relay, zone);
    }
    carrier_t *probe =
        wait_ms == 0 ? find_probe_carrier(relay, zone, now_ms) : NULL;
    if (probe) {
        return probe;
    }
    if (route->generation != zone->generation) {
        route->carrier = select_worker_carrier(zone, worker);
        route->generation = zone->generation;
    }
    return route->carrier;
}

/* Number of the newest report that the owner has of a worker. */
static uint64_t
report_number(const nm_order_relay_t *relay, const char *worker)
{
    const route_t *route = g_hash_table_lookup(relay->routes, worker);
    return route ? route->view.number : 0;
}

static void
flush_carrier(nm_order_relay_t *relay, carrier_t *carrier, nm_ms_t now_ms)
{
    nm_order_queue_remove_overdue(carrier->queued, now_ms, relay->overdue);
    if (carrier->queued->len == 0) {
        /* Nothing was sent that the carrier could respond to. */
        carrier->oldest_unanswered_ms = 0;
        return;
    }
    nm_order_queue_send(carrier->queued, relay->desc.peers,
                        carrier->desc.address, relay->epoch, now_ms,
                        carrier->form, carrier->payloads);
}

static nm_ms_t
order_timeout_ms(const nm_sched_action_t *action)
{
    if (action->timeout_ms > 0) {
        return action->wait_ms + action->timeout_ms + ROUND_TRIP_MS;
    }
    return action->type == NM_ACTION_POLL ? action->wait_ms + POLL_MARGIN_MS
                                          : ORDER_TIMEOUT_MS;
}

static void
relay_send(nm_order_port_t *port, const nm_sched_action_t *action,
           int64_t epoch, nm_order_done_fn done, void *user)
{
    nm_order_relay_t *relay = (nm_order_relay_t *)port;
    nm_ms_t now_ms = nm_clock_now(relay->desc.clock);
    carrier_t *carrier =
        choose_carrier(relay, action->worker, action->wait_ms, now_ms);
    if (!carrier) {
        nm_order_port_send(relay->desc.direct, action, epoch, done, user);
        return;
    }
    order_t *order = g_new0(order_t, 1);
    order->number = ++relay->number;
    order->action = *action;
    order->action.payload = "";
    order->action.checkpoint = "";
    order->done = done;
    order->user = user;
    order->sent_ms = now_ms;
    order->deadline_ms = now_ms + order_timeout_ms(action);
    nm_strcopy(order->carrier, sizeof(order->carrier), carrier->desc.name);
    g_hash_table_insert(relay->in_flight, &order->number, order);
    if (carrier->oldest_unanswered_ms == 0 && action->wait_ms == 0) {
        carrier->oldest_unanswered_ms = now_ms;
    }
    uint64_t base_number = action->type == NM_ACTION_POLL
                               ? report_number(relay, action->worker)
                               : 0;
    nm_order_queue_add(carrier->queued, action, order->number, base_number,
                       now_ms);
    relay->queued_count++;
    relay->epoch = epoch;
}

static void
relay_end_terms(nm_order_port_t *port, int64_t epoch)
{
    const nm_order_relay_t *relay = (nm_order_relay_t *)port;
    nm_order_port_end_terms(relay->desc.direct, epoch);
}

static const nm_order_port_vtable_t relay_vtable = {
    .send = relay_send,
    .end_terms = relay_end_terms,
};

nm_order_port_t *
nm_order_relay_init(nm_order_relay_t *relay, const nm_order_relay_desc_t *desc)
{
    assert(relay && desc && desc->direct && desc->peers && desc->clock);
    *relay = (nm_order_relay_t){.base = {&relay_vtable}, .desc = *desc};
    relay->hosts =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_carrier);
    relay->in_flight =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, free_order);
    relay->late_polls =
        g_hash_table_new_full(g_int64_hash, g_int64_equal, NULL, g_free);
    relay->routes =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, free_route);
    relay->zones =
        g_hash_table_new_full(g_str_hash, g_str_equal, NULL, free_zone);
    relay->overdue = g_array_new(FALSE, FALSE, sizeof(uint64_t));
    relay->generation = 1;
    /* Random start: responses to an earlier incarnation must not match. */
    relay->number = (uint64_t)g_random_int() << 32;
    relay->payload_table_id = g_random_int();
    return &relay->base;
}

void
nm_order_relay_finish(nm_order_relay_t *relay)
{
    assert(relay);
    g_hash_table_destroy(relay->in_flight);
    g_hash_table_destroy(relay->late_polls);
    g_hash_table_destroy(relay->hosts);
    g_hash_table_destroy(relay->routes);
    g_hash_table_destroy(relay->zones);
    g_array_free(relay->overdue, TRUE);
}

double
nm_order_relay_query_cpu_share_max(const nm_order_relay_t *relay)
{
    assert(relay);
    double largest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const carrier_t *carrier = value;
        largest = MAX(largest, carrier->desc.cpu_share);
    }
    return largest;
}

uint32_t
nm_order_relay_query_memory_mb_min(const nm_order_relay_t *relay)
{
    assert(relay);
    uint32_t least_mb = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        uint32_t memory_mb = ((const carrier_t *)value)->desc.memory_mb;
        if (memory_mb > 0 && (least_mb == 0 || memory_mb < least_mb)) {
            least_mb = memory_mb;
        }
    }
    return least_mb;
}

double
nm_order_relay_query_carrier_share_max(const nm_order_relay_t *relay)
{
    assert(relay);
    double largest = 0;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->zones);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const zone_t *zone = value;
        bool current = zone->generation == relay->generation;
        for (guint i = 0; current && i < zone->carriers->len; i++) {
            const carrier_t *carrier = zone->carriers->pdata[i];
            largest = MAX(largest, carrier->desc.cpu_share);
        }
    }
    return largest;
}

void
nm_order_relay_clear(nm_order_relay_t *relay)
{
    assert(relay);
    g_hash_table_remove_all(relay->in_flight);
    g_hash_table_remove_all(relay->late_polls);
    g_hash_table_remove_all(relay->hosts);
    g_hash_table_remove_all(relay->routes);
    g_hash_table_remove_all(relay->zones);
    g_array_set_size(relay->overdue, 0);
    relay->generation++;
}

void
nm_order_relay_set_host(nm_order_relay_t *relay, const nm_relay_host_t *host)
{
    assert(relay && host);
    carrier_t *carrier = g_hash_table_lookup(relay->hosts, host->name);
    if (!carrier) {
        carrier = g_new0(carrier_t, 1);
        carrier->queued = nm_order_queue_new();
        carrier->desc = *host;
        g_hash_table_insert(relay->hosts, carrier->desc.name, carrier);
    }
    carrier->desc = *host;
    carrier->down_until_ms = 0;
    carrier->down_ms = 0;
    relay->generation++;
}

void
nm_order_relay_remove_host(nm_order_relay_t *relay, const char *name)
{
    assert(relay && name);
    g_hash_table_remove(relay->hosts, name);
    relay->generation++;
}

void
nm_order_relay_visit_hosts(const nm_order_relay_t *relay,
                           nm_relay_visit_fn *visit, void *user)
{
    GHashTableIter hosts;
    const carrier_t *host;
    g_hash_table_iter_init(&hosts, relay->hosts);
    while (g_hash_table_iter_next(&hosts, NULL, (gpointer *)&host)) {
        visit(user, &host->desc);
    }
}

static zone_t *
find_zone(nm_order_relay_t *relay, const char *name)
{
    zone_t *zone = g_hash_table_lookup(relay->zones, name);
    if (!zone) {
        zone = g_new0(zone_t, 1);
        nm_strcopy(zone->name, sizeof(zone->name), name);
        zone->carriers = g_ptr_array_new();
        g_hash_table_insert(relay->zones, zone->name, zone);
    }
    return zone;
}

void
nm_order_relay_set_worker(nm_order_relay_t *relay, const char *worker,
                          const char *zone)
{
    assert(relay && worker && zone);
    route_t *route = g_hash_table_lookup(relay->routes, worker);
    if (!route) {
        route = g_new0(route_t, 1);
        nm_report_view_init(&route->view);
        g_hash_table_insert(relay->routes, g_strdup(worker), route);
    }
    if (!route->zone || strcmp(route->zone->name, zone) != 0) {
        if (route->zone) {
            route->zone->workers--;
        }
        route->zone = find_zone(relay, zone);
        route->zone->workers++;
        route->generation = 0;
    }
}

uint32_t
nm_order_relay_query_carriers(const nm_order_relay_t *relay, const char *zone,
                              const char **names, uint32_t names_max)
{
    assert(relay && zone && names);
    const zone_t *found = g_hash_table_lookup(relay->zones, zone);
    uint32_t count = found ? MIN(found->carriers->len, names_max) : 0;
    for (uint32_t i = 0; i < count; i++) {
        names[i] = ((const carrier_t *)found->carriers->pdata[i])->desc.name;
    }
    return count;
}

static void
end_order(nm_order_relay_t *relay, order_t *order, nm_order_result_t result,
          nm_worker_report_t *report)
{
    g_hash_table_steal(relay->in_flight, &order->number);
    nm_worker_report_t empty = {.result = result, .sent_ms = order->sent_ms};
    bool is_poll = order->action.type == NM_ACTION_POLL;
    order->done(order->user, &order->action, result,
                is_poll ? (report ? report : &empty) : NULL);
    g_free(order);
}

static void
track_late_poll(nm_order_relay_t *relay, const order_t *order)
{
    if (order->action.type == NM_ACTION_POLL && relay->desc.on_late_report) {
        late_poll_t *late = g_new0(late_poll_t, 1);
        late->number = order->number;
        late->action = order->action;
        late->sent_ms = order->sent_ms;
        late->deadline_ms = order->deadline_ms + LATE_RESPONSE_MAX_MS;
        g_hash_table_insert(relay->late_polls, &late->number, late);
    }
}

static gboolean
late_poll_expired(gpointer key, gpointer value, gpointer user)
{
    (void)key;
    return *(nm_ms_t *)user >= ((late_poll_t *)value)->deadline_ms;
}

static void
expire_orders(nm_order_relay_t *relay, nm_ms_t now_ms)
{
    g_hash_table_foreach_remove(relay->late_polls, late_poll_expired, &now_ms);
    GPtrArray *expired = g_ptr_array_new();
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->in_flight);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_ms >= ((order_t *)value)->deadline_ms) {
            g_ptr_array_add(expired, value);
        }
    }
    for (guint i = 0; i < expired->len; i++) {
        track_late_poll(relay, expired->pdata[i]);
        end_order(relay, expired->pdata[i], NM_ORDER_UNKNOWN, NULL);
    }
    g_ptr_array_free(expired, TRUE);
}

/*
 * Extends the timeouts of orders in flight and of carriers by the time for
 * which this host itself stalled.
 */
static void
extend_deadlines(nm_order_relay_t *relay, nm_ms_t lag_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->in_flight);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((order_t *)value)->deadline_ms += lag_ms;
    }
    g_hash_table_iter_init(&iter, relay->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        carrier_t *carrier = value;
        carrier->oldest_unanswered_ms +=
            carrier->oldest_unanswered_ms > 0 ? lag_ms : 0;
        carrier->responded_ms += carrier->responded_ms > 0 ? lag_ms : 0;
    }
}

static bool
is_late(const carrier_t *carrier, nm_ms_t now_ms)
{
    return carrier->oldest_unanswered_ms > 0 &&
           now_ms - carrier->oldest_unanswered_ms > UNRESPONSIVE_MS;
}

static bool
has_responded_lately(const carrier_t *carrier, nm_ms_t now_ms)
{
    return carrier->down_ms == 0 && carrier->responded_ms > 0 &&
           now_ms - carrier->responded_ms < BEHIND_MAX_MS;
}

/* True if most of the carriers that have responded lately are late. */
static bool
is_behind(const nm_order_relay_t *relay, nm_ms_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    uint32_t known = 0;
    uint32_t late = 0;
    g_hash_table_iter_init(&iter, relay->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        bool counts = has_responded_lately(value, now_ms);
        known += counts;
        late += counts && is_late(value, now_ms);
    }
    return late >= BEHIND_LATE_MIN && 2 * late > known;
}

static void
check_carriers(nm_order_relay_t *relay, nm_ms_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->hosts);
    relay->probe_due = false;
    bool behind = is_behind(relay, now_ms);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        carrier_t *carrier = value;
        if (is_late(carrier, now_ms) &&
            !(behind && has_responded_lately(carrier, now_ms)))
        {
            nm_ms_t doubled_ms = MIN(carrier->down_ms * 2, DOWN_MAX_MS);
            carrier->down_ms = doubled_ms > 0 ? doubled_ms : DOWN_MIN_MS;
            carrier->down_until_ms = now_ms + carrier->down_ms;
            carrier->oldest_unanswered_ms = 0;
            relay->generation++;
            nm_count_reason(NM_REASON_RETRY_TIMEOUT);
            nm_log(NM_LOG_WARN, NM_LOG_ITEM_CARRIER_SILENT, "{s:s,s:I}",
                   "host", carrier->desc.name, "for_ms",
                   (json_int_t)carrier->down_ms);
        }
        relay->probe_due =
            relay->probe_due ||
            (carrier->down_ms > 0 && carrier->oldest_unanswered_ms == 0 &&
             now_ms >= carrier->down_until_ms);
    }
}

/* Ends starts that were late; callbacks may send further orders. */
static void
end_overdue(nm_order_relay_t *relay, nm_ms_t now_ms)
{
    while (relay->overdue->len > 0) {
        guint last = relay->overdue->len - 1;
        uint64_t number = g_array_index(relay->overdue, uint64_t, last);
        g_array_set_size(relay->overdue, last);
        order_t *order = g_hash_table_lookup(relay->in_flight, &number);
        if (order) {
            nm_overdue_add(&relay->overdue_log, order->action.worker, now_ms);
            end_order(relay, order, NM_ORDER_NOT_SENT, NULL);
        }
    }
}

static void
flush_all(nm_order_relay_t *relay, nm_ms_t now_ms)
{
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, relay->hosts);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        carrier_t *carrier = value;
        if (carrier->queued->len > 0) {
            flush_carrier(relay, carrier, now_ms);
        }
    }
    relay->queued_count = 0;
    end_overdue(relay, now_ms);
}

nm_ms_t
nm_order_relay_flush(nm_order_relay_t *relay, nm_ms_t now_ms)
{
    assert(relay);
    nm_ms_t lag_ms = now_ms - relay->flush_called_ms;
    relay->flush_called_ms = now_ms;
    if (lag_ms > NM_LOCAL_STALL_MIN_MS) {
        extend_deadlines(relay, lag_ms);
    }
    nm_ms_t remaining_ms = relay->flushed_ms + NM_RELAY_BATCH_MS - now_ms;
    if (relay->queued_count > 0 && remaining_ms <= 0) {
        relay->flushed_ms = now_ms;
        flush_all(relay, now_ms);
    }
    if (now_ms - relay->checked_ms >= CHECK_INTERVAL_MS) {
        relay->checked_ms = now_ms;
        check_carriers(relay, now_ms);
        expire_orders(relay, now_ms);
    }
    return relay->queued_count > 0 ? MAX(remaining_ms, 1) : CHECK_INTERVAL_MS;
}

static nm_worker_report_t
fill_report(const route_t *route, const NmPb__WorkerReport *message,
            const GArray *ends, const nm_sched_action_t *poll, nm_ms_t sent_ms)
{
    bool same_incarnation = message->incarnation == poll->incarnation;
    return (nm_worker_report_t){
        .result = NM_ORDER_DONE,
        .sent_ms = sent_ms,
        .incarnation = message->incarnation,
        .clock_ms = message->clock_ms,
        .complete = message->complete,
        .end_unread = message->end_unread,
        .running = (const nm_worker_run_t *)route->view.running->data,
        .running_count = route->view.running->len,
        .ends = (const nm_worker_end_t *)ends->data,
        .end_count = ends->len,
        .ends_known = same_incarnation ? poll->ends_known : 0,
    };
}

/*
 * Passes on a report that arrives after its poll timed out, as on a busy link.
 * Its runs count only if it is newer than the view and its base matches;
 * its ends count in any case.
 */
static void
handle_late_report(nm_order_relay_t *relay, uint64_t number,
                   const NmPb__WorkerReport *message, GArray *ends)
{
    const late_poll_t *late = g_hash_table_lookup(relay->late_polls, &number);
    route_t *route =
        late ? g_hash_table_lookup(relay->routes, late->action.worker) : NULL;
    if (!route) {
        return;
    }
    nm_report_decode_ends(message, ends);
    bool base_matches = message->base_number == 0 ||
                        message->base_number == route->view.number;
    bool applied = late->sent_ms > route->view_poll_sent_ms && base_matches &&
                   nm_report_apply(&route->view, message) == NM_OK;
    nm_worker_report_t report =
        fill_report(route, message, ends, &late->action, late->sent_ms);
    if (!applied) {
        report.complete = false;
        report.ends_only = true;
        report.running_count = 0;
    }
    else {
        route->view_poll_sent_ms = late->sent_ms;
    }
    relay->desc.on_late_report(relay->desc.user, late->action.worker, &report);
    g_hash_table_remove(relay->late_polls, &number);
}

/* A report that does not match the view is treated as lost. */
static void
handle_report(nm_order_relay_t *relay, order_t *order,
              const NmPb__WorkerReport *message, GArray *ends)
{
    route_t *route = g_hash_table_lookup(relay->routes, order->action.worker);
    if (!route || nm_report_apply(&route->view, message) < 0) {
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_REPORT_REFUSED, "{s:s,s:s}", "worker",
               order->action.worker, "host", order->carrier);
        end_order(relay, order, NM_ORDER_UNKNOWN, NULL);
        return;
    }
    nm_report_decode_ends(message, ends);
    route->view_poll_sent_ms = MAX(route->view_poll_sent_ms, order->sent_ms);
    nm_worker_report_t report =
        fill_report(route, message, ends, &order->action, order->sent_ms);
    end_order(relay, order, report.result, &report);
}

/* Starts with none of the payloads that the carrier may have. */
static void
begin_payload_table(nm_order_relay_t *relay, carrier_t *carrier)
{
    nm_payload_table_free(carrier->payloads);
    carrier->payloads = nm_payload_table_new(++relay->payload_table_id);
}

static void
set_payload_form(nm_order_relay_t *relay, carrier_t *carrier,
                 const NmPb__EntryAnswer *response)
{
    carrier->form = response->keeps_payloads  ? NM_PAYLOADS_KEPT_BY_ID
                    : response->payload_table ? NM_PAYLOADS_ONCE
                                              : NM_PAYLOADS_INLINE;
    if (carrier->form != NM_PAYLOADS_KEPT_BY_ID) {
        nm_payload_table_free(carrier->payloads);
        carrier->payloads = NULL;
    }
    else if (!carrier->payloads) {
        begin_payload_table(relay, carrier);
    }
}

void
nm_order_relay_handle_response(nm_order_relay_t *relay,
                               const NmPb__EntryAnswer *response)
{
    assert(relay && response);
    GArray *ends = g_array_new(FALSE, FALSE, sizeof(nm_worker_end_t));
    for (size_t i = 0; i < response->n_results; i++) {
        const NmPb__OrderResult *result = response->results[i];
        uint64_t number = result->number;
        order_t *order = g_hash_table_lookup(relay->in_flight, &number);
        if (!order) {
            if (result->report) {
                handle_late_report(relay, number, result->report, ends);
            }
            continue;
        }
        carrier_t *carrier = g_hash_table_lookup(relay->hosts, order->carrier);
        if (carrier) {
            if (carrier->down_ms > 0) {
                relay->generation++;
                nm_log(NM_LOG_INFO, NM_LOG_ITEM_CARRIER_BACK, "{s:s}", "host",
                       carrier->desc.name);
            }
            carrier->oldest_unanswered_ms = 0;
            carrier->responded_ms = nm_clock_now(relay->desc.clock);
            carrier->down_ms = 0;
            set_payload_form(relay, carrier, response);
        }
        if (carrier && carrier->payloads &&
            nm_payload_table_has_id(carrier->payloads,
                                    result->missing_payload_id))
        {
            begin_payload_table(relay, carrier);
        }
        if (result->report) {
            handle_report(relay, order, result->report, ends);
        }
        else {
            end_order(relay, order, (nm_order_result_t)result->result, NULL);
        }
    }
    g_array_free(ends, TRUE);
}
