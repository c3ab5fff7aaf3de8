#include "route_state.h"

#include <assert.h>
#include <math.h>

#define DEFAULT_REQUESTS_MAX 16384
#define SERVICES_MAX 256
/* Retries, or hedges, that an unused budget accumulates at most. */
#define BUDGET_BURST_TOKENS 10.0
/* Minimum time after which a caller may repeat a refused request. */
#define RETRY_AFTER_MIN_MS 200
/* Unused link rate accumulates for at most this time. */
#define LINK_BURST_S 0.25

/* Actions */

nm_route_action_t *
nm_route_push_action(state_t *state, nm_route_action_type_t type)
{
    nm_route_action_t *action = g_new0(nm_route_action_t, 1);
    action->type = type;
    g_queue_push_tail(&state->actions, action);
    return action;
}

static nm_ms_t
retry_after(const service_t *service)
{
    nm_ms_t wait_ms = RETRY_AFTER_MIN_MS;
    if (service && service->completions_per_ms > 0) {
        wait_ms += (nm_ms_t)(service->queued / service->completions_per_ms);
    }
    return wait_ms;
}

/*
 * Detached attempts keep their slots until their executors have responded or
 * abandoned them.
 */
static void
detach_attempts(state_t *state, request_t *request)
{
    for (int i = 0; i < LIVE_ATTEMPTS_MAX; i++) {
        attempt_t *attempt =
            nm_route_find_attempt(state, request->live_attempts[i]);
        if (attempt) {
            attempt->request = 0;
        }
        request->live_attempts[i] = 0;
    }
}

static void unlink_queued(state_t *state, request_t *request);

void
nm_route_refuse(state_t *state, request_t *request, nm_reason_t reason)
{
    service_t *service = &state->services[request->arrival.service];
    if (request->state == REQUEST_QUEUED) {
        unlink_queued(state, request);
    }
    nm_route_action_t *action = nm_route_push_action(state, NM_ROUTE_REFUSE);
    action->request = nm_route_request_handle(state, request);
    action->user = request->arrival.user;
    action->reason = reason;
    action->verdict = request->verdict;
    action->retry_after_ms = retry_after(service);
    nm_count_reason(reason);
    service->refused_in_window++;
    detach_attempts(state, request);
    nm_route_free_request(state, request);
}

static void
respond(state_t *state, request_t *request, nm_attempt_t handle)
{
    for (int i = 0; i < LIVE_ATTEMPTS_MAX; i++) {
        if (request->live_attempts[i] == handle) {
            request->live_attempts[i] = 0;
        }
    }
    nm_route_action_t *action = nm_route_push_action(state, NM_ROUTE_RESPOND);
    action->request = nm_route_request_handle(state, request);
    action->attempt = handle;
    action->user = request->arrival.user;
    action->verdict = NM_VERDICT_RAN;
    nm_count(NM_COUNTER_ANSWERS, 1);
    detach_attempts(state, request);
    nm_route_free_request(state, request);
}

/* Queues */

static void
enqueue(state_t *state, request_t *request)
{
    service_t *service = &state->services[request->arrival.service];
    uint32_t index = (uint32_t)(request - state->requests);
    request->state = REQUEST_QUEUED;
    request->next = NO_INDEX;
    if (service->queued == 0) {
        service->queue_head = index;
    }
    else {
        state->requests[service->queue_tail].next = index;
    }
    service->queue_tail = index;
    service->queued++;
}

static void
unlink_queued(state_t *state, request_t *request)
{
    service_t *service = &state->services[request->arrival.service];
    uint32_t index = (uint32_t)(request - state->requests);
    uint32_t previous = NO_INDEX;
    uint32_t current = service->queue_head;
    while (current != index) {
        previous = current;
        current = state->requests[current].next;
    }
    if (previous == NO_INDEX) {
        service->queue_head = request->next;
    }
    else {
        state->requests[previous].next = request->next;
    }
    if (service->queue_tail == index) {
        service->queue_tail = previous;
    }
    service->queued--;
    request->next = NO_INDEX;
}

/* Sending */

static bool
send_attempt(state_t *state, request_t *request, int32_t target_index,
             nm_ms_t now_ms)
{
    attempt_t *attempt = nm_route_alloc_attempt(state);
    if (!attempt) {
        return false;
    }
    service_t *service = &state->services[request->arrival.service];
    nm_target_t *target = &state->target_table.targets[target_index];
    nm_ms_t remaining_ms = request->arrival.deadline_ms - now_ms;
    attempt->request = nm_route_request_handle(state, request);
    attempt->service = request->arrival.service;
    attempt->target = target_index;
    attempt->sent_ms = now_ms;
    attempt->slot_release_ms =
        request->arrival.deadline_ms + NM_ROUTE_DETACH_MARGIN_MS;
    target->in_flight++;
    if (target->consecutive_ejections > 0) {
        target->probing = true;
    }
    service->in_flight += target->desc.type == NM_TARGET_EXECUTOR;
    for (int i = 0; i < LIVE_ATTEMPTS_MAX; i++) {
        if (request->live_attempts[i] == 0) {
            request->live_attempts[i] =
                nm_route_attempt_handle(state, attempt);
            break;
        }
    }
    request->attempt_count++;
    request->last_target = target_index;
    request->state = REQUEST_RUNNING;

    nm_route_action_t *action = nm_route_push_action(state, NM_ROUTE_SEND);
    action->request = attempt->request;
    action->attempt = nm_route_attempt_handle(state, attempt);
    action->user = request->arrival.user;
    action->target_id = target->desc.id;
    action->target_type = target->desc.type;
    action->timeout_ms = remaining_ms;
    action->fresh_connection = !request->arrival.idempotent;
    nm_count(NM_COUNTER_ATTEMPTS, 1);
    return true;
}

bool
nm_route_send_to_executor(state_t *state, request_t *request, nm_ms_t now_ms)
{
    service_t *service = &state->services[request->arrival.service];
    int32_t target =
        nm_target_choose(&state->target_table, &service->group, state->policy,
                         &state->rng, request->last_target, now_ms);
    return target >= 0 && send_attempt(state, request, target, now_ms);
}

/* Forwards to another data centre, preferably in the same region. */
bool
nm_route_forward(state_t *state, request_t *request, nm_reason_t *reason,
                 nm_ms_t now_ms)
{
    if (request->arrival.forwarded) {
        *reason = NM_REASON_HOP_LIMIT;
        return false;
    }
    int32_t target = nm_target_choose(
        &state->target_table, &state->peers_same_region,
        NM_ROUTE_POLICY_PREDICTED, &state->rng, request->last_target, now_ms);
    if (target < 0) {
        target =
            nm_target_choose(&state->target_table, &state->peers_other_region,
                             NM_ROUTE_POLICY_PREDICTED, &state->rng,
                             request->last_target, now_ms);
        if (target < 0) {
            return false;
        }
        if (!nm_token_bucket_take(&state->link_budget,
                                  request->arrival.request_bytes)) {
            *reason = NM_REASON_LINK_BUDGET;
            return false;
        }
        nm_count(NM_COUNTER_LINK_BYTES, request->arrival.request_bytes);
    }
    nm_count(NM_COUNTER_FORWARDS, 1);
    return send_attempt(state, request, target, now_ms);
}

uint32_t
nm_route_granted_slots(const state_t *state, const service_t *service,
                       nm_ms_t now_ms)
{
    uint32_t granted = 0;
    for (uint32_t i = 0; i < service->group.count; i++) {
        const nm_target_t *target =
            &state->target_table.targets[service->group.members[i]];
        if (!target->desc.leaving &&
            target->desc.grant_expires_ms > now_ms + NM_ROUTE_GRANT_GUARD_MS)
        {
            granted += target->desc.granted_slots;
        }
    }
    return granted;
}

/* Estimates the wait of a queued request from the completion rate. */
static double
expected_wait_ms(const service_t *service)
{
    if (service->queued == 0 || service->completions_per_ms <= 0) {
        return 0;
    }
    return (service->queued + 1) / service->completions_per_ms;
}

bool
nm_route_can_meet_deadline(const service_t *service, const request_t *request,
                           double wait_ms, nm_ms_t now_ms)
{
    double remaining_ms = (double)(request->arrival.deadline_ms - now_ms);
    return wait_ms + service->latency_p50_ms < remaining_ms;
}

/* Sends queued requests while slots are free. */
void
nm_route_dispatch_queue(state_t *state, service_t *service, nm_ms_t now_ms)
{
    while (service->queued > 0) {
        request_t *request = &state->requests[service->queue_head];
        if (now_ms >= request->arrival.deadline_ms) {
            nm_route_refuse(state, request, NM_REASON_EXPIRED);
            continue;
        }
        if (!nm_route_can_meet_deadline(service, request, 0, now_ms)) {
            nm_route_refuse(state, request, NM_REASON_TOO_LATE);
            continue;
        }
        unlink_queued(state, request);
        if (!nm_route_send_to_executor(state, request, now_ms)) {
            /* Put back at the front to keep the order of arrival. */
            request->next =
                service->queued > 0 ? service->queue_head : NO_INDEX;
            if (service->queued == 0) {
                service->queue_tail = (uint32_t)(request - state->requests);
            }
            service->queue_head = (uint32_t)(request - state->requests);
            service->queued++;
            request->state = REQUEST_QUEUED;
            return;
        }
    }
}

/* Sends, queues, forwards or refuses a request without live attempts. */
void
nm_route_dispatch(state_t *state, request_t *request, nm_ms_t now_ms)
{
    service_t *service = &state->services[request->arrival.service];
    if (service->queued == 0 &&
        nm_route_send_to_executor(state, request, now_ms)) {
        return;
    }
    nm_reason_t reason = NM_REASON_NONE;
    if (service->group.count == 0) {
        reason = NM_REASON_NO_EXECUTOR;
    }
    else if (nm_route_granted_slots(state, service, now_ms) == 0) {
        reason = NM_REASON_NO_GRANT;
    }
    else if (service->queued >= service->limits.queue_limit) {
        reason = NM_REASON_QUEUE_FULL;
    }
    else if (!nm_route_can_meet_deadline(service, request,
                                         expected_wait_ms(service), now_ms))
    {
        reason = NM_REASON_TOO_LATE;
    }
    if (reason == NM_REASON_NONE) {
        enqueue(state, request);
    }
    else if (!nm_route_forward(state, request, &reason, now_ms)) {
        nm_route_refuse(state, request, reason);
    }
}

/* Attempt outcomes */

static nm_reason_t
retry_reason(nm_outcome_t outcome)
{
    switch (outcome) {
    case NM_OUTCOME_RESET:
        return NM_REASON_RETRY_RESET;
    case NM_OUTCOME_TRUNCATED:
        return NM_REASON_RETRY_CUT;
    case NM_OUTCOME_UNAVAILABLE:
        return NM_REASON_RETRY_503;
    default:
        return NM_REASON_RETRY_REFUSED;
    }
}

static nm_verdict_t
outcome_verdict(nm_outcome_t outcome)
{
    switch (outcome) {
    case NM_OUTCOME_NOT_RUN:
    case NM_OUTCOME_REFUSED:
    case NM_OUTCOME_NOT_SENT:
        return NM_VERDICT_NOT_RUN;
    case NM_OUTCOME_TRUNCATED:
    case NM_OUTCOME_TOO_LARGE:
        return NM_VERDICT_RAN;
    default:
        return NM_VERDICT_UNKNOWN;
    }
}

static nm_reason_t
final_reason(nm_outcome_t outcome)
{
    switch (outcome) {
    case NM_OUTCOME_TRUNCATED:
        return NM_REASON_UPSTREAM_CUT;
    case NM_OUTCOME_TOO_LARGE:
        return NM_REASON_UPSTREAM_LARGE;
    case NM_OUTCOME_RESET:
    case NM_OUTCOME_UNAVAILABLE:
        return NM_REASON_UPSTREAM_RESET;
    default:
        return NM_REASON_NO_EXECUTOR;
    }
}

/* Schedules another attempt; returns false if none is allowed. */
bool
nm_route_schedule_retry(state_t *state, request_t *request, nm_reason_t reason,
                        nm_ms_t now_ms)
{
    service_t *service = &state->services[request->arrival.service];
    bool may_retry =
        request->verdict == NM_VERDICT_NOT_RUN || request->arrival.idempotent;
    if (!may_retry || request->attempt_count >= NM_ROUTE_ATTEMPTS_MAX ||
        !nm_route_can_meet_deadline(service, request, 0, now_ms))
    {
        return false;
    }
    /* Retrying a request that may have run must not add to an overload. */
    bool overloaded = service->queued > 0;
    if (request->verdict != NM_VERDICT_NOT_RUN && overloaded) {
        return false;
    }
    if (!nm_token_bucket_take(&service->retry_budget, 1.0)) {
        nm_count_reason(NM_REASON_RETRY_NO_BUDGET);
        return false;
    }
    nm_count_reason(reason);
    uint32_t backoff_max_ms = (uint32_t)BACKOFF_INITIAL_MS
                              << request->attempt_count;
    request->state = REQUEST_BACKOFF;
    request->retry_at_ms =
        now_ms + nm_rng_below(&state->rng, backoff_max_ms) + 1;
    return true;
}

void
nm_route_release_slot(state_t *state, attempt_t *attempt)
{
    nm_target_t *target = &state->target_table.targets[attempt->target];
    assert(target->in_flight > 0);
    target->in_flight--;
    if (target->desc.type == NM_TARGET_EXECUTOR) {
        state->services[attempt->service].in_flight--;
    }
}

nm_target_group_t *
nm_route_target_group(state_t *state, const attempt_t *attempt)
{
    switch (state->target_table.targets[attempt->target].desc.type) {
    case NM_TARGET_PEER_SAME_REGION:
        return &state->peers_same_region;
    case NM_TARGET_PEER_OTHER_REGION:
        return &state->peers_other_region;
    default:
        return &state->services[attempt->service].group;
    }
}

static void
record_outcome(state_t *state, attempt_t *attempt, nm_outcome_t outcome,
               nm_ms_t now_ms)
{
    service_t *service = &state->services[attempt->service];
    nm_target_t *target = &state->target_table.targets[attempt->target];
    if (outcome == NM_OUTCOME_NOT_SENT) {
        target->probing = false;
        return;
    }
    bool success =
        outcome == NM_OUTCOME_RESPONDED || outcome == NM_OUTCOME_TOO_LARGE;
    if (!success) {
        /*
         * The verdict not-run of an executor means that it is leaving, that of
         * a peer only that it has no free slot.
         */
        bool eject_now = outcome == NM_OUTCOME_REFUSED ||
                         (outcome == NM_OUTCOME_NOT_RUN &&
                          target->desc.type == NM_TARGET_EXECUTOR);
        nm_target_record_failure(&state->target_table,
                                 nm_route_target_group(state, attempt), target,
                                 eject_now, now_ms);
        return;
    }
    nm_ms_t latency_ms = now_ms - attempt->sent_ms;
    nm_target_record_success(target, latency_ms);
    if (target->desc.type == NM_TARGET_EXECUTOR) {
        service->completed_in_window++;
        nm_histogram_add(&service->latency, (double)latency_ms);
    }
}

static void
remove_live_attempt(request_t *request, nm_attempt_t handle)
{
    for (int i = 0; i < LIVE_ATTEMPTS_MAX; i++) {
        if (request->live_attempts[i] == handle) {
            request->live_attempts[i] = 0;
        }
    }
}

bool
nm_route_has_live_attempt(const request_t *request)
{
    return request->live_attempts[0] != 0 || request->live_attempts[1] != 0;
}

static void
handle_failure(state_t *state, request_t *request, nm_attempt_t handle,
               nm_outcome_t outcome, nm_ms_t now_ms)
{
    nm_verdict_t verdict = outcome_verdict(outcome);
    if (verdict != NM_VERDICT_NOT_RUN && request->verdict != NM_VERDICT_RAN) {
        request->verdict = verdict;
    }
    if (nm_route_has_live_attempt(request) ||
        nm_route_schedule_retry(state, request, retry_reason(outcome), now_ms))
    {
        return;
    }
    if (outcome == NM_OUTCOME_UNAVAILABLE) {
        respond(state, request, handle);
        return;
    }
    nm_reason_t reason = final_reason(outcome);
    if (request->verdict == NM_VERDICT_NOT_RUN &&
        nm_route_forward(state, request, &reason, now_ms))
    {
        return;
    }
    if (request->verdict != NM_VERDICT_NOT_RUN &&
        outcome_verdict(outcome) == NM_VERDICT_NOT_RUN)
    {
        reason = NM_REASON_UPSTREAM_RESET;
    }
    nm_route_refuse(state, request, reason);
}

void
nm_route_charge_response(nm_route_t *route, nm_attempt_t handle,
                         uint32_t bytes)
{
    assert(route && route->state);
    state_t *state = route->state;
    const attempt_t *attempt = nm_route_find_attempt(state, handle);
    if (!attempt || state->target_table.targets[attempt->target].desc.type !=
                        NM_TARGET_PEER_OTHER_REGION)
    {
        return;
    }
    nm_token_bucket_charge(&state->link_budget, bytes);
    nm_count(NM_COUNTER_LINK_BYTES, bytes);
}

void
nm_route_attempt_done(nm_route_t *route, nm_attempt_t handle,
                      nm_outcome_t outcome, nm_ms_t now_ms)
{
    assert(route && route->state);
    state_t *state = route->state;
    attempt_t *attempt = nm_route_find_attempt(state, handle);
    if (!attempt) {
        return;
    }
    nm_route_release_slot(state, attempt);
    record_outcome(state, attempt, outcome, now_ms);
    request_t *request = nm_route_find_request(state, attempt->request);
    bool timed_out = attempt->timed_out;
    uint32_t service = attempt->service;
    nm_route_free_attempt(state, attempt);
    if (request) {
        remove_live_attempt(request, handle);
        if (outcome == NM_OUTCOME_RESPONDED) {
            if (request->state == REQUEST_QUEUED) {
                unlink_queued(state, request);
            }
            respond(state, request, handle);
        }
        else if (!timed_out) {
            handle_failure(state, request, handle, outcome, now_ms);
        }
    }
    nm_route_dispatch_queue(state, &state->services[service], now_ms);
}

/* Public functions */

int
nm_route_init(nm_route_t *route, const nm_route_desc_t *desc)
{
    assert(route && desc);
    state_t *state = g_new0(state_t, 1);
    state->policy = desc->policy;
    nm_rng_init(&state->rng, desc->seed);
    state->request_count =
        desc->requests_max ? desc->requests_max : DEFAULT_REQUESTS_MAX;
    state->attempt_count = state->request_count * 2;
    state->requests = g_new0(request_t, state->request_count);
    state->attempts = g_new0(attempt_t, state->attempt_count);
    state->active_requests.items = g_new0(uint32_t, state->request_count);
    state->active_attempts.items = g_new0(uint32_t, state->attempt_count);
    for (uint32_t i = 0; i < state->request_count; i++) {
        state->requests[i].next =
            i + 1 < state->request_count ? i + 1 : NO_INDEX;
    }
    for (uint32_t i = 0; i < state->attempt_count; i++) {
        state->attempts[i].next_free =
            i + 1 < state->attempt_count ? i + 1 : NO_INDEX;
    }
    g_queue_init(&state->actions);
    route->state = state;
    return NM_OK;
}

void
nm_route_finish(nm_route_t *route)
{
    assert(route && route->state);
    state_t *state = route->state;
    for (uint32_t i = 0; i < state->service_count; i++) {
        nm_target_group_finish(&state->services[i].group);
    }
    nm_target_group_finish(&state->peers_same_region);
    nm_target_group_finish(&state->peers_other_region);
    nm_target_table_finish(&state->target_table);
    g_queue_clear_full(&state->actions, g_free);
    g_free(state->services);
    g_free(state->requests);
    g_free(state->attempts);
    g_free(state->active_requests.items);
    g_free(state->active_attempts.items);
    g_free(state);
    route->state = NULL;
}

void
nm_route_update_service(nm_route_t *route, uint32_t service,
                        const nm_route_service_t *limits)
{
    assert(route && limits && service < SERVICES_MAX);
    state_t *state = route->state;
    if (service >= state->service_count) {
        state->services = g_renew(service_t, state->services, service + 1);
        for (uint32_t i = state->service_count; i <= service; i++) {
            state->services[i] = (service_t){0};
            nm_token_bucket_init(&state->services[i].retry_budget,
                                 BUDGET_BURST_TOKENS);
            nm_token_bucket_init(&state->services[i].hedge_budget,
                                 BUDGET_BURST_TOKENS);
        }
        state->service_count = service + 1;
    }
    state->services[service].limits = *limits;
}

void
nm_route_update_target(nm_route_t *route, const nm_route_target_t *desc,
                       nm_ms_t now_ms)
{
    assert(route && desc);
    state_t *state = route->state;
    assert(desc->type != NM_TARGET_EXECUTOR ||
           desc->service < state->service_count);
    int32_t index = nm_target_find(&state->target_table, desc->id);
    if (index < 0) {
        index = nm_target_add(&state->target_table, desc);
        nm_target_group_t *group = &state->peers_same_region;
        if (desc->type == NM_TARGET_EXECUTOR) {
            group = &state->services[desc->service].group;
        }
        else if (desc->type == NM_TARGET_PEER_OTHER_REGION) {
            group = &state->peers_other_region;
        }
        nm_target_group_add(group, (uint32_t)index);
    }
    nm_target_t *target = &state->target_table.targets[index];
    target->desc = *desc;
    target->refreshed = true;
    if (desc->type == NM_TARGET_EXECUTOR) {
        nm_route_dispatch_queue(state, &state->services[desc->service],
                                now_ms);
    }
}

void
nm_route_sweep_targets(nm_route_t *route)
{
    assert(route);
    for (uint32_t i = 0; i < route->state->target_table.count; i++) {
        nm_target_t *target = &route->state->target_table.targets[i];
        if (!target->refreshed) {
            target->desc.leaving = true;
            target->desc.granted_slots = 0;
        }
        target->refreshed = false;
    }
}

void
nm_route_set_link_rate(nm_route_t *route, uint64_t bytes_per_s)
{
    assert(route);
    state_t *state = route->state;
    state->link_bytes_per_ms = (double)bytes_per_s / 1000.0;
    state->link_budget.tokens_max = (double)bytes_per_s * LINK_BURST_S;
}

void
nm_route_stop(nm_route_t *route)
{
    assert(route);
    route->state->stopping = true;
}

int
nm_route_submit(nm_route_t *route, const nm_route_arrival_t *arrival,
                nm_ms_t now_ms, nm_request_t *handle)
{
    assert(route && arrival && handle);
    state_t *state = route->state;
    assert(arrival->service < state->service_count);
    *handle = 0;
    request_t *request = nm_route_alloc_request(state);
    if (!request) {
        nm_count_reason(NM_REASON_QUEUE_FULL);
        return NM_ERR_FULL;
    }
    service_t *service = &state->services[arrival->service];
    request->arrival = *arrival;
    request->arrived_ms = now_ms;
    request->state = REQUEST_RUNNING;
    nm_ms_t longest_ms = now_ms + service->limits.timeout_ms;
    if (arrival->deadline_ms == 0 || arrival->deadline_ms > longest_ms) {
        request->arrival.deadline_ms = longest_ms;
    }
    *handle = nm_route_request_handle(state, request);
    nm_count(NM_COUNTER_REQUESTS, 1);
    if (state->stopping) {
        nm_route_refuse(state, request, NM_REASON_STOPPING);
        return NM_OK;
    }
    nm_token_bucket_add(&service->retry_budget,
                        service->limits.retry_budget_pct / 100.0);
    nm_token_bucket_add(&service->hedge_budget,
                        service->limits.hedge_budget_pct / 100.0);
    nm_route_dispatch(state, request, now_ms);
    return NM_OK;
}

void
nm_route_cancel(nm_route_t *route, nm_request_t handle, nm_ms_t now_ms)
{
    assert(route);
    (void)now_ms;
    request_t *request = nm_route_find_request(route->state, handle);
    if (request) {
        nm_route_refuse(route->state, request, NM_REASON_CALLER_GONE);
    }
}

bool
nm_route_next_action(nm_route_t *route, nm_route_action_t *action)
{
    assert(route && action);
    nm_route_action_t *next = g_queue_pop_head(&route->state->actions);
    if (!next) {
        return false;
    }
    *action = *next;
    g_free(next);
    return true;
}

bool
nm_route_may_send(const nm_route_t *route, nm_attempt_t handle, nm_ms_t now_ms)
{
    assert(route);
    const attempt_t *attempt = nm_route_find_attempt(route->state, handle);
    if (!attempt) {
        return false;
    }
    const nm_target_t *target =
        &route->state->target_table.targets[attempt->target];
    return now_ms + NM_ROUTE_GRANT_GUARD_MS < target->desc.grant_expires_ms;
}

nm_route_info_t
nm_route_query_service(const nm_route_t *route, uint32_t index)
{
    assert(route && index < route->state->service_count);
    const service_t *service = &route->state->services[index];
    return (nm_route_info_t){
        .queued = service->queued,
        .in_flight = service->in_flight,
        .demand = (uint32_t)ceil(service->demand),
        .granted = nm_route_granted_slots(route->state, service,
                                          route->state->last_tick_ms),
        .latency_p50_ms = service->latency_p50_ms,
        .latency_p95_ms = service->latency_p95_ms,
        .latency_p99_ms = nm_histogram_quantile(&service->latency, 0.99),
    };
}

uint32_t
nm_route_query_in_flight(const nm_route_t *route, uint64_t target_id)
{
    assert(route);
    int32_t index = nm_target_find(&route->state->target_table, target_id);
    return index < 0 ? 0 : route->state->target_table.targets[index].in_flight;
}

uint32_t
nm_route_query_active(const nm_route_t *route)
{
    assert(route);
    return route->state->active_requests.count;
}
