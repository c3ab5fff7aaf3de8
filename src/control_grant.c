#include "control_state.h"

#include <ck_pr.h>

#define REQUEST_INTERVAL_MS 300

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
    bool gives =
        (info.phase == NM_SHARD_ACTIVE || info.phase == NM_SHARD_LOADING) &&
        info.authority;
    if (control->grants_active && (info.phase == NM_SHARD_FOLLOWER ||
                                   control->grants_epoch != info.epoch))
    {
        nm_grant_finish(&control->grants);
        control->grants_active = false;
    }
    if (gives && !control->grants_active) {
        nm_ms_t request_max_ms = nm_control_request_max_ms(control);
        /*
         * An earlier owner may have granted until its authority ended, and
         * requests sent under those grants may still run.
         */
        nm_ms_t settle_ms = NM_SHARD_AUTHORITY_MS + NM_GRANT_TERM_MS +
                            NM_GRANT_CLOCK_MARGIN_MS + request_max_ms;
        nm_grant_init(&control->grants,
                      &(nm_grant_desc_t){
                          .epoch = info.epoch,
                          .request_max_ms = request_max_ms,
                          .recovery_ms = settle_ms,
                      },
                      now_ms);
        control->grants_active = true;
        control->grants_epoch = info.epoch;
    }
    if (control->grants_active && info.first_owner) {
        nm_grant_end_recovery(&control->grants, now_ms);
    }
    if (control->grants_active) {
        nm_grant_tick(&control->grants, now_ms);
    }
}

/* Fills an ask with what the traffic thread holds. */
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
    control->view_dirty = true;
    nm_count(NM_COUNTER_GRANTS, 1);
}

/* The owner's entry host grants to itself without a message. */
static void
grant_to_self(nm_control_t *control, const nm_grant_request_t *ask,
              nm_ms_t now_ms)
{
    set_grantable_slots(control);
    uint64_t number;
    bool renewed = nm_grant_renew(&control->grants, ask, now_ms, &number);
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
            nm_grant_query(&control->grants, ask->holder, executor->host.id),
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
                   const nm_grant_request_t *ask, nm_ms_t now_ms)
{
    NmPb__GrantAsk body = NM_PB__GRANT_ASK__INIT;
    body.seen = ask->last_number;
    body.sent_ms = now_ms;
    body.demand = ask->demand;
    body.leaving = ask->leaving;
    body.executors = g_new(uint64_t, ask->report_count + 1);
    body.held = g_new(uint32_t, ask->report_count + 1);
    for (uint32_t i = 0; i < ask->report_count; i++) {
        if (ask->reports[i].held > 0) {
            body.executors[body.n_executors++] = ask->reports[i].executor;
            body.held[body.n_held++] = ask->reports[i].held;
        }
    }
    NmPb__PeerMessage message = NM_PB__PEER_MESSAGE__INIT;
    message.grant_ask = &body;
    nm_control_send(control, owner, &message);
    g_free(body.executors);
    g_free(body.held);
}

/*
 * The newest answer, if the traffic thread uses its slots by now: reports
 * from before that would not show all that may be used.
 */
static uint64_t
newest_response_in_use(const nm_control_t *control)
{
    uint64_t used = control->report ? control->report->grant_number : 0;
    return used == control->grant_number ? control->grant_seen : used;
}

void
nm_control_request_grants(nm_control_t *control, nm_ms_t now_ms)
{
    if (now_ms - control->grant_requested_ms < REQUEST_INTERVAL_MS) {
        return;
    }
    control->grant_requested_ms = now_ms;
    uint32_t count;
    nm_grant_report_t *reports = collect_reports(control, &count);
    nm_grant_request_t ask = {
        .holder = control->desc.incarnation,
        .last_number = newest_response_in_use(control),
        .demand = control->report ? control->report->demand : 0,
        .leaving = ck_pr_load_32(&control->leaving),
        .reports = reports,
        .report_count = count,
    };
    if (may_grant(control, now_ms)) {
        grant_to_self(control, &ask, now_ms);
    }
    else {
        nm_peer_t *owner = find_owner(control, now_ms);
        if (owner) {
            send_grant_request(control, owner, &ask, now_ms);
        }
    }
    g_free(reports);
}

void
nm_control_handle_grant_request(nm_control_t *control, nm_peer_t *peer,
                                uint64_t holder, const NmPb__GrantAsk *ask,
                                nm_ms_t now_ms)
{
    if (!may_grant(control, now_ms) || holder == 0 ||
        ask->n_executors != ask->n_held)
    {
        return;
    }
    set_grantable_slots(control);
    nm_grant_report_t *reports =
        g_new0(nm_grant_report_t, ask->n_executors + 1);
    for (size_t i = 0; i < ask->n_executors; i++) {
        reports[i].executor = ask->executors[i] ? ask->executors[i] : 1;
        reports[i].held = (uint16_t)MIN(ask->held[i], 1024u);
    }
    nm_grant_request_t taken = {
        .holder = holder,
        .last_number = ask->seen,
        .demand = ask->demand,
        .leaving = ask->leaving,
        .reports = reports,
        .report_count = (uint32_t)ask->n_executors,
    };
    NmPb__GrantAnswer answer = NM_PB__GRANT_ANSWER__INIT;
    answer.probe =
        !nm_grant_renew(&control->grants, &taken, now_ms, &answer.number);
    answer.sent_ms = ask->sent_ms;
    answer.epoch = control->grants_epoch;
    uint32_t most = g_hash_table_size(control->executors);
    answer.executors = g_new(uint64_t, most + 1);
    answer.slots = g_new(uint32_t, most + 1);
    answer.pressure = g_new(float, most + 1);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, control->executors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        const nm_local_executor_t *executor = value;
        uint16_t slots =
            nm_grant_query(&control->grants, holder, executor->host.id);
        if (slots > 0 && !answer.probe) {
            answer.executors[answer.n_executors++] = executor->host.id;
            answer.slots[answer.n_slots++] = slots;
            answer.pressure[answer.n_pressure++] = nm_shard_query_slowdown(
                &control->shard, executor->host.worker);
        }
    }
    NmPb__PeerMessage message = NM_PB__PEER_MESSAGE__INIT;
    message.grant_answer = &answer;
    nm_control_send(control, peer, &message);
    g_free(answer.executors);
    g_free(answer.slots);
    g_free(answer.pressure);
    g_free(reports);
}

void
nm_control_handle_grant_response(nm_control_t *control,
                                 const NmPb__GrantAnswer *answer,
                                 nm_ms_t now_ms)
{
    /* Late and repeated answers must not bring older grants back. */
    if (answer->number <= control->grant_seen ||
        answer->epoch < control->grant_epoch || answer->sent_ms > now_ms ||
        answer->n_executors != answer->n_slots ||
        answer->n_executors != answer->n_pressure)
    {
        return;
    }
    control->grant_seen = answer->number;
    if (answer->probe) {
        return;
    }
    clear_grants(control);
    for (size_t i = 0; i < answer->n_executors; i++) {
        set_granted_slots(control, answer->executors[i],
                          (uint16_t)answer->slots[i], answer->pressure[i]);
    }
    install_grants(control, answer->number, answer->epoch, answer->sent_ms);
}
