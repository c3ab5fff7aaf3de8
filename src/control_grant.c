#include "control_state.h"

#include <ck_pr.h>

/* Interval of grant renewals; a grant is valid for NM_GRANT_TERM_MS. */
#define GRANT_REQUEST_INTERVAL_MS 300
/* Limit of a reported slot count before its conversion to 16 bits. */
#define HELD_SLOTS_MAX 1024u

static void
set_grantable_slots(nm_control_t *control)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, control->executors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const nm_local_executor_t *executor = value;
        const char *path = executor->host.service;
        bool usable = executor->listed && !executor->host.leaving &&
                      nm_settings_has_section(&control->settings, path);
        int64_t slots =
            usable ? nm_settings_int(&control->settings, path, NM_KEY_SLOTS)
                   : 0;
        nm_grant_set_executor(&control->grants, executor->host.id,
                              (uint16_t)slots);
    }
}

void
nm_control_update_grants(nm_control_t *control, nm_ms_t now_ms)
{
    nm_shard_info_t info = nm_shard_query(&control->shard, now_ms);
    bool may_start =
        (info.phase == NM_SHARD_ACTIVE || info.phase == NM_SHARD_LOADING) &&
        info.authority;
    if (control->grants_active && (info.phase == NM_SHARD_FOLLOWER ||
                                   control->grants_epoch != info.epoch))
    {
        nm_grant_finish(&control->grants);
        control->grants_active = false;
    }
    if (may_start && !control->grants_active) {
        nm_ms_t request_max_ms = nm_control_request_max_ms(control);
        /*
         * An earlier owner may have issued grants until its authority
         * ended, and requests sent under those grants may still run.
         */
        nm_ms_t recovery_ms = NM_SHARD_AUTHORITY_MS + NM_GRANT_TERM_MS +
                              NM_GRANT_CLOCK_MARGIN_MS + request_max_ms;
        nm_grant_init(&control->grants,
                      &(nm_grant_desc_t){
                          .epoch = info.epoch,
                          .request_max_ms = request_max_ms,
                          .recovery_ms = recovery_ms,
                      },
                      now_ms);
        control->grants_active = true;
        control->grants_epoch = info.epoch;
    }
    if (control->grants_active && info.first_owner) {
        /* Without an earlier owner there are no earlier grants. */
        nm_grant_end_recovery(&control->grants, now_ms);
    }
    if (control->grants_active) {
        nm_grant_tick(&control->grants, now_ms);
    }
}

/* Returns the slots that the traffic thread holds; free with g_free. */
static nm_grant_report_t *
collect_reports(const nm_control_t *control, uint32_t *count)
{
    *count = control->report ? control->report->slot_usage_count : 0;
    nm_grant_report_t *reports = g_new0(nm_grant_report_t, *count + 1);
    for (uint32_t i = 0; i < *count; i++) {
        reports[i].executor = control->report->slot_usage[i].executor;
        reports[i].held = control->report->slot_usage[i].held;
    }
    return reports;
}

static bool
may_grant(const nm_control_t *control, nm_ms_t now_ms)
{
    return control->grants_active &&
           nm_shard_has_authority(&control->shard, now_ms);
}

static void
set_granted_slots(nm_control_t *control, uint64_t executor_id, uint16_t slots,
                  float slowdown)
{
    nm_local_executor_t *executor = g_hash_table_lookup(
        control->executors, (void *)(uintptr_t)executor_id);
    if (executor) {
        executor->slots = slots;
        executor->slowdown = slowdown;
    }
}

static void
clear_grants(nm_control_t *control)
{
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, control->executors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((nm_local_executor_t *)value)->slots = 0;
    }
}

static void
install_grants(nm_control_t *control, uint64_t number, int64_t epoch,
               nm_ms_t sent_ms)
{
    control->grant_number = number;
    control->grant_epoch = epoch;
    control->grant_expires_ms = sent_ms + NM_GRANT_TERM_MS;
    control->snapshot_dirty = true;
    nm_count(NM_COUNTER_GRANTS, 1);
}

/* Renews the grants of the owner's own host, which needs no message. */
static void
grant_to_self(nm_control_t *control, const nm_grant_request_t *request,
              nm_ms_t now_ms)
{
    set_grantable_slots(control);
    uint64_t number;
    bool renewed = nm_grant_renew(&control->grants, request, now_ms, &number);
    control->grant_seen = number;
    if (!renewed) {
        return;
    }
    clear_grants(control);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, control->executors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        nm_local_executor_t *executor = value;
        set_granted_slots(
            control, executor->host.id,
            nm_grant_query(&control->grants, request->holder,
                           executor->host.id),
            nm_shard_query_slowdown(&control->shard, executor->host.worker));
    }
    install_grants(control, number, control->grants_epoch, now_ms);
}

static nm_peer_t *
find_owner(nm_control_t *control, nm_ms_t now_ms)
{
    nm_peer_t *best = NULL;
    for (uint32_t i = 0; i < control->peer_count; i++) {
        nm_peer_t *peer = &control->peers[i];
        if (peer->same_datacentre && peer->owner &&
            nm_control_peer_is_live(peer, now_ms) &&
            (!best || peer->epoch > best->epoch))
        {
            best = peer;
        }
    }
    return best;
}

static void
send_grant_request(nm_control_t *control, nm_peer_t *owner,
                   const nm_grant_request_t *request, nm_ms_t now_ms)
{
    NmPb__GrantAsk body = NM_PB__GRANT_ASK__INIT;
    body.seen = request->last_number;
    body.sent_ms = now_ms;
    body.demand = request->demand;
    body.leaving = request->leaving;
    body.executors = g_new(uint64_t, request->report_count + 1);
    body.held = g_new(uint32_t, request->report_count + 1);
    for (uint32_t i = 0; i < request->report_count; i++) {
        if (request->reports[i].held > 0) {
            body.executors[body.n_executors++] = request->reports[i].executor;
            body.held[body.n_held++] = request->reports[i].held;
        }
    }
    NmPb__PeerMessage message = NM_PB__PEER_MESSAGE__INIT;
    message.grant_ask = &body;
    nm_control_send(control, owner, &message);
    g_free(body.executors);
    g_free(body.held);
}

/*
 * Returns the number of the response that the next request confirms.  That
 * is the newest one only if the traffic thread already uses the published
 * slots: an older report would leave out slots that may be in use.
 */
static uint64_t
newest_response_in_use(const nm_control_t *control)
{
    uint64_t reported = control->report ? control->report->grant_number : 0;
    return reported == control->grant_number ? control->grant_seen : reported;
}

void
nm_control_request_grants(nm_control_t *control, nm_ms_t now_ms)
{
    if (now_ms - control->grant_requested_ms < GRANT_REQUEST_INTERVAL_MS) {
        return;
    }
    control->grant_requested_ms = now_ms;
    uint32_t count;
    nm_grant_report_t *reports = collect_reports(control, &count);
    nm_grant_request_t request = {
        .holder = control->desc.incarnation,
        .last_number = newest_response_in_use(control),
        .demand = control->report ? control->report->demand : 0,
        .leaving = ck_pr_load_32(&control->leaving),
        .reports = reports,
        .report_count = count,
    };
    if (may_grant(control, now_ms)) {
        grant_to_self(control, &request, now_ms);
    }
    else {
        nm_peer_t *owner = find_owner(control, now_ms);
        if (owner) {
            send_grant_request(control, owner, &request, now_ms);
        }
    }
    g_free(reports);
}

void
nm_control_handle_grant_request(nm_control_t *control, nm_peer_t *peer,
                                uint64_t holder, const NmPb__GrantAsk *request,
                                nm_ms_t now_ms)
{
    if (!may_grant(control, now_ms) || holder == 0 ||
        request->n_executors != request->n_held)
    {
        return;
    }
    set_grantable_slots(control);
    nm_grant_report_t *reports =
        g_new0(nm_grant_report_t, request->n_executors + 1);
    for (size_t i = 0; i < request->n_executors; i++) {
        reports[i].executor =
            request->executors[i] ? request->executors[i] : 1;
        reports[i].held = (uint16_t)MIN(request->held[i], HELD_SLOTS_MAX);
    }
    nm_grant_request_t renewal = {
        .holder = holder,
        .last_number = request->seen,
        .demand = request->demand,
        .leaving = request->leaving,
        .reports = reports,
        .report_count = (uint32_t)request->n_executors,
    };
    NmPb__GrantAnswer response = NM_PB__GRANT_ANSWER__INIT;
    response.probe =
        !nm_grant_renew(&control->grants, &renewal, now_ms, &response.number);
    response.sent_ms = request->sent_ms;
    response.epoch = control->grants_epoch;
    uint32_t executor_max = g_hash_table_size(control->executors);
    response.executors = g_new(uint64_t, executor_max + 1);
    response.slots = g_new(uint32_t, executor_max + 1);
    response.pressure = g_new(float, executor_max + 1);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, control->executors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const nm_local_executor_t *executor = value;
        uint16_t slots =
            nm_grant_query(&control->grants, holder, executor->host.id);
        if (slots > 0 && !response.probe) {
            response.executors[response.n_executors++] = executor->host.id;
            response.slots[response.n_slots++] = slots;
            response.pressure[response.n_pressure++] = nm_shard_query_slowdown(
                &control->shard, executor->host.worker);
        }
    }
    NmPb__PeerMessage message = NM_PB__PEER_MESSAGE__INIT;
    message.grant_answer = &response;
    nm_control_send(control, peer, &message);
    g_free(response.executors);
    g_free(response.slots);
    g_free(response.pressure);
    g_free(reports);
}

void
nm_control_handle_grant_response(nm_control_t *control,
                                 const NmPb__GrantAnswer *response,
                                 nm_ms_t now_ms)
{
    /* Late and duplicate responses must not restore older grants. */
    if (response->number <= control->grant_seen ||
        response->epoch < control->grant_epoch || response->sent_ms > now_ms ||
        response->n_executors != response->n_slots ||
        response->n_executors != response->n_pressure)
    {
        return;
    }
    control->grant_seen = response->number;
    if (response->probe) {
        return;
    }
    clear_grants(control);
    for (size_t i = 0; i < response->n_executors; i++) {
        set_granted_slots(control, response->executors[i],
                          (uint16_t)response->slots[i], response->pressure[i]);
    }
    install_grants(control, response->number, response->epoch,
                   response->sent_ms);
}
