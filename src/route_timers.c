#include "route_state.h"

#include <assert.h>
#include <math.h>

#define RATE_WINDOW_MS 100
#define RATE_EWMA_WEIGHT 0.2
/* A hedge follows after the 95th percentile of latency, or this if longer. */
#define HEDGE_DELAY_MIN_MS 5.0
/* Share of the granted slots that must be free for a hedge. */
#define HEDGE_FREE_SLOTS_SHARE_MIN 0.25

static void
expire_request(state_t *state, request_t *request)
{
    bool may_have_run = nm_route_has_live_attempt(request);
    if (may_have_run && request->verdict == NM_VERDICT_NOT_RUN) {
        request->verdict = NM_VERDICT_UNKNOWN;
    }
    nm_route_refuse(state, request,
                    request->verdict == NM_VERDICT_NOT_RUN
                        ? NM_REASON_EXPIRED
                        : NM_REASON_UPSTREAM_TIMEOUT);
}

static void
retry_now(state_t *state, request_t *request, nm_ms_t now_ms)
{
    if (nm_route_send_to_executor(state, request, now_ms)) {
        return;
    }
    nm_reason_t reason = NM_REASON_NO_EXECUTOR;
    if (request->verdict == NM_VERDICT_NOT_RUN) {
        nm_route_dispatch(state, request, now_ms);
    }
    else if (!nm_route_forward(state, request, &reason, now_ms)) {
        /* Stays in backoff until a slot is free or the deadline passes. */
        request->retry_at_ms = now_ms + BACKOFF_INITIAL_MS;
    }
}

static void
hedge_if_slow(state_t *state, request_t *request, nm_ms_t now_ms)
{
    service_t *service = &state->services[request->arrival.service];
    attempt_t *attempt =
        nm_route_find_attempt(state, request->live_attempts[0]);
    double hedge_delay_ms = fmax(service->latency_p95_ms, HEDGE_DELAY_MIN_MS);
    if (!attempt || request->hedged || request->live_attempts[1] ||
        service->limits.hedge_budget_pct == 0 ||
        service->latency_p95_ms <= 0 ||
        (double)(now_ms - attempt->sent_ms) < hedge_delay_ms ||
        !nm_route_can_meet_deadline(service, request, 0, now_ms))
    {
        return;
    }
    double granted = nm_route_granted_slots(state, service, now_ms);
    if (service->queued > 0 ||
        service->in_flight > granted * (1 - HEDGE_FREE_SLOTS_SHARE_MIN))
    {
        return;
    }
    request->hedged = true;
    if (!nm_token_bucket_take(&service->hedge_budget, 1.0)) {
        nm_count_reason(NM_REASON_HEDGE_NO_BUDGET);
        return;
    }
    if (nm_route_send_to_executor(state, request, now_ms)) {
        nm_count_reason(NM_REASON_HEDGE);
    }
}

/*
 * Times out a slow attempt and schedules a retry, if one is allowed.  The
 * attempt keeps its slot, and its response is still used if it comes before
 * the retry's.
 */
static void
expire_attempt(state_t *state, request_t *request, nm_ms_t now_ms)
{
    service_t *service = &state->services[request->arrival.service];
    attempt_t *attempt =
        nm_route_find_attempt(state, request->live_attempts[0]);
    nm_ms_t limit_ms = service->limits.attempt_timeout_ms;
    if (!attempt || limit_ms == 0 || attempt->timed_out ||
        request->live_attempts[1] || now_ms - attempt->sent_ms < limit_ms)
    {
        return;
    }
    attempt->timed_out = true;
    if (request->verdict == NM_VERDICT_NOT_RUN) {
        request->verdict = NM_VERDICT_UNKNOWN;
    }
    nm_target_record_failure(
        &state->target_table, nm_route_target_group(state, attempt),
        &state->target_table.targets[attempt->target], false, now_ms);
    nm_route_schedule_retry(state, request, NM_REASON_RETRY_TIMEOUT, now_ms);
}

static void
tick_request(state_t *state, request_t *request, nm_ms_t now_ms)
{
    if (now_ms >= request->arrival.deadline_ms) {
        expire_request(state, request);
    }
    else if (request->state == REQUEST_BACKOFF) {
        if (now_ms >= request->retry_at_ms) {
            retry_now(state, request, now_ms);
        }
    }
    else if (request->state == REQUEST_RUNNING && request->arrival.idempotent)
    {
        expire_attempt(state, request, now_ms);
        if (request->state == REQUEST_RUNNING) {
            hedge_if_slow(state, request, now_ms);
        }
    }
}

/* Ends attempts that their executors must have abandoned. */
static void
tick_attempts(state_t *state, nm_ms_t now_ms)
{
    active_set_t *active = &state->active_attempts;
    for (uint32_t i = active->count; i-- > 0;) {
        attempt_t *attempt = &state->attempts[active->items[i]];
        if (now_ms < attempt->slot_release_ms) {
            continue;
        }
        nm_route_action_t *action =
            nm_route_push_action(state, NM_ROUTE_CLOSE);
        action->attempt = nm_route_attempt_handle(state, attempt);
        nm_route_release_slot(state, attempt);
        nm_target_record_failure(
            &state->target_table, nm_route_target_group(state, attempt),
            &state->target_table.targets[attempt->target], false, now_ms);
        nm_route_free_attempt(state, attempt);
    }
}

static void
update_rates(state_t *state, nm_ms_t now_ms)
{
    double elapsed_ms = (double)(now_ms - state->window_start_ms);
    state->window_start_ms = now_ms;
    for (uint32_t i = 0; i < state->service_count; i++) {
        service_t *service = &state->services[i];
        double rate = service->completed_in_window / elapsed_ms;
        service->completions_per_ms +=
            (rate - service->completions_per_ms) * RATE_EWMA_WEIGHT;
        double slots_wanted =
            service->in_flight + service->queued + service->refused_in_window;
        /* Demand follows an increase faster than a decrease. */
        double gain = slots_wanted > service->demand ? 0.5 : 0.05;
        service->demand += (slots_wanted - service->demand) * gain;
        service->completed_in_window = 0;
        service->refused_in_window = 0;
        service->latency_p50_ms =
            nm_histogram_quantile(&service->latency, 0.5);
        service->latency_p95_ms =
            nm_histogram_quantile(&service->latency, 0.95);
    }
}

void
nm_route_begin_round(nm_route_t *route, nm_ms_t now_ms)
{
    assert(route);
    state_t *state = route->state;
    nm_ms_t pause_ms = now_ms - state->last_tick_ms;
    if (pause_ms < NM_LOCAL_STALL_MIN_MS) {
        return;
    }
    const active_set_t *active = &state->active_attempts;
    for (uint32_t i = 0; i < active->count; i++) {
        state->attempts[active->items[i]].sent_ms += pause_ms;
    }
}

void
nm_route_tick(nm_route_t *route, nm_ms_t now_ms)
{
    assert(route);
    state_t *state = route->state;
    nm_token_bucket_add(&state->link_budget,
                        state->link_bytes_per_ms *
                            (double)(now_ms - state->last_tick_ms));
    state->last_tick_ms = now_ms;
    /* Backwards: ending a request moves the last one to its place. */
    for (uint32_t i = state->active_requests.count; i-- > 0;) {
        uint32_t index = state->active_requests.items[i];
        tick_request(state, &state->requests[index], now_ms);
    }
    tick_attempts(state, now_ms);
    if (now_ms - state->window_start_ms >= RATE_WINDOW_MS) {
        update_rates(state, now_ms);
    }
    for (uint32_t i = 0; i < state->service_count; i++) {
        nm_route_dispatch_queue(state, &state->services[i], now_ms);
    }
}
