#include "route_state.h"

static uint64_t
make_handle(uint32_t index, uint32_t generation)
{
    return ((uint64_t)generation << 32) | (index + 1);
}

static uint32_t
handle_index(uint64_t handle)
{
    return (uint32_t)handle - 1;
}

request_t *
nm_route_find_request(state_t *state, nm_request_t handle)
{
    uint32_t index = handle_index(handle);
    if (handle == 0 || index >= state->request_count) {
        return NULL;
    }
    request_t *request = &state->requests[index];
    bool current = request->generation == (uint32_t)(handle >> 32);
    return current && request->state != REQUEST_FREE ? request : NULL;
}

attempt_t *
nm_route_find_attempt(const state_t *state, nm_attempt_t handle)
{
    uint32_t index = handle_index(handle);
    if (handle == 0 || index >= state->attempt_count) {
        return NULL;
    }
    attempt_t *attempt = &state->attempts[index];
    bool current = attempt->generation == (uint32_t)(handle >> 32);
    return current && attempt->in_use ? attempt : NULL;
}

nm_request_t
nm_route_request_handle(const state_t *state, const request_t *request)
{
    return make_handle((uint32_t)(request - state->requests),
                       request->generation);
}

nm_attempt_t
nm_route_attempt_handle(const state_t *state, const attempt_t *attempt)
{
    return make_handle((uint32_t)(attempt - state->attempts),
                       attempt->generation);
}

request_t *
nm_route_alloc_request(state_t *state)
{
    uint32_t index = state->free_request;
    if (index == NO_INDEX) {
        return NULL;
    }
    request_t *request = &state->requests[index];
    state->free_request = request->next;
    uint32_t generation = request->generation + 1;
    *request = (request_t){
        .generation = generation,
        .last_target = -1,
        .verdict = NM_VERDICT_NOT_RUN,
        .next = NO_INDEX,
        .active_position = state->active_requests.count,
    };
    state->active_requests.items[state->active_requests.count++] = index;
    return request;
}

void
nm_route_free_request(state_t *state, request_t *request)
{
    active_set_t *active = &state->active_requests;
    uint32_t last = active->items[--active->count];
    active->items[request->active_position] = last;
    state->requests[last].active_position = request->active_position;
    request->state = REQUEST_FREE;
    request->next = state->free_request;
    state->free_request = (uint32_t)(request - state->requests);
}

attempt_t *
nm_route_alloc_attempt(state_t *state)
{
    uint32_t index = state->free_attempt;
    if (index == NO_INDEX) {
        return NULL;
    }
    attempt_t *attempt = &state->attempts[index];
    state->free_attempt = attempt->next_free;
    uint32_t generation = attempt->generation + 1;
    *attempt = (attempt_t){
        .generation = generation,
        .in_use = true,
        .active_position = state->active_attempts.count,
    };
    state->active_attempts.items[state->active_attempts.count++] = index;
    return attempt;
}

void
nm_route_free_attempt(state_t *state, attempt_t *attempt)
{
    active_set_t *active = &state->active_attempts;
    uint32_t last = active->items[--active->count];
    active->items[attempt->active_position] = last;
    state->attempts[last].active_position = attempt->active_position;
    attempt->in_use = false;
    attempt->next_free = state->free_attempt;
    state->free_attempt = (uint32_t)(attempt - state->attempts);
}
