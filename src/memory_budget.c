#include "memory_budget.h"

#include <assert.h>

/* Of a process; the platform requires it. */
#define FILES_FDS 200
/* Connections to the store, to workers and to peers: 1,200 are kept. */
#define OWN_FDS 1500
/* The rest of the memory is for the process itself. */
#define CONNECTIONS_SHARE 2
#define BODIES_SHARE 4
#define RESERVE_SHARE 8
/* Of connections_max, for new connections. */
#define NEW_CONNECTIONS_SHARE 8
/* The time that the platform gives a client for its head. */
#define NEW_MAX_MS 3000
#define BYTES_PER_MB UINT64_C(1048576)

nm_memory_limits_t
nm_memory_limits_derive(uint32_t memory_mb, uint32_t max_fds,
                        uint32_t connection_bytes)
{
    assert(connection_bytes > 0);
    nm_memory_limits_t limits = {0};
    uint64_t memory_bytes = memory_mb * BYTES_PER_MB;
    uint64_t connections = memory_bytes / CONNECTIONS_SHARE / connection_bytes;
    if (memory_mb > 0) {
        uint64_t bodies = memory_bytes / BODIES_SHARE;
        limits.reserve_bytes = bodies / RESERVE_SHARE;
        limits.body_max_bytes = bodies - limits.reserve_bytes;
    }
    if (max_fds > 0) {
        uint64_t fds = max_fds > FILES_FDS ? max_fds - FILES_FDS : 1;
        uint64_t own = MIN(OWN_FDS, fds * 2 / 3);
        connections = memory_mb > 0 ? MIN(connections, fds - own) : fds - own;
    }
    limits.connections_max = (uint32_t)MIN(connections, UINT32_MAX);
    return limits;
}

void
nm_memory_budget_init(nm_memory_budget_t *budget,
                      const nm_memory_limits_t *limits)
{
    assert(budget && limits);
    *budget = (nm_memory_budget_t){.limits = *limits};
    g_queue_init(&budget->stalled);
    g_queue_init(&budget->bodies);
}

static bool
may_be_closed(const nm_memory_holder_t *holder)
{
    return !holder->is_waiting && !holder->is_closing;
}

static void
leave_lists(nm_memory_budget_t *budget, nm_memory_holder_t *holder)
{
    if (may_be_closed(holder)) {
        g_queue_unlink(&budget->stalled, &holder->stall_link);
        if (holder->body_bytes > 0) {
            g_queue_unlink(&budget->bodies, &holder->body_link);
        }
    }
}

static void
enter_lists(nm_memory_budget_t *budget, nm_memory_holder_t *holder)
{
    if (may_be_closed(holder)) {
        g_queue_push_tail_link(&budget->stalled, &holder->stall_link);
        if (holder->body_bytes > 0) {
            g_queue_push_tail_link(&budget->bodies, &holder->body_link);
        }
    }
}

void
nm_memory_budget_open(nm_memory_budget_t *budget, nm_memory_holder_t *holder,
                      void *user, nm_ms_t now_ms)
{
    assert(budget && holder && user);
    *holder = (nm_memory_holder_t){
        .user = user, .stepped_ms = now_ms, .is_new = true};
    holder->stall_link.data = holder;
    holder->body_link.data = holder;
    budget->connections++;
    enter_lists(budget, holder);
}

void
nm_memory_budget_close(nm_memory_budget_t *budget, nm_memory_holder_t *holder)
{
    assert(budget && holder);
    nm_memory_budget_release(budget, holder);
    leave_lists(budget, holder);
    budget->connections--;
    budget->closing_connections -= holder->is_closing;
}

void
nm_memory_budget_step(nm_memory_budget_t *budget, nm_memory_holder_t *holder,
                      nm_ms_t now_ms)
{
    assert(budget && holder);
    leave_lists(budget, holder);
    holder->is_waiting = false;
    holder->is_writing = false;
    holder->is_new = false;
    holder->step_bytes = 0;
    holder->stepped_ms = now_ms;
    enter_lists(budget, holder);
}

void
nm_memory_budget_receive(nm_memory_budget_t *budget,
                         nm_memory_holder_t *holder, uint64_t bytes,
                         nm_ms_t now_ms)
{
    assert(budget && holder);
    uint64_t received = holder->step_bytes + bytes;
    if (received >= NM_MEMORY_BUDGET_STEP_BYTES) {
        nm_memory_budget_step(budget, holder, now_ms);
    }
    else {
        holder->step_bytes = (uint32_t)received;
    }
}

bool
nm_memory_budget_charge(nm_memory_budget_t *budget, nm_memory_holder_t *holder,
                        uint64_t bytes, bool force)
{
    assert(budget && holder);
    const nm_memory_limits_t *limits = &budget->limits;
    bool is_small = holder->body_bytes + bytes <= NM_MEMORY_BUDGET_SMALL_BYTES;
    uint64_t max_bytes =
        limits->body_max_bytes + limits->reserve_bytes / (is_small ? 1 : 2);
    if (!force && limits->body_max_bytes > 0 &&
        budget->body_bytes + bytes > max_bytes)
    {
        return false;
    }
    if (holder->body_bytes == 0 && bytes > 0 && may_be_closed(holder)) {
        g_queue_push_tail_link(&budget->bodies, &holder->body_link);
    }
    holder->body_bytes += bytes;
    budget->body_bytes += bytes;
    budget->closing_body_bytes += holder->is_closing ? bytes : 0;
    return true;
}

void
nm_memory_budget_release(nm_memory_budget_t *budget,
                         nm_memory_holder_t *holder)
{
    assert(budget && holder);
    if (holder->body_bytes > 0 && may_be_closed(holder)) {
        g_queue_unlink(&budget->bodies, &holder->body_link);
    }
    budget->body_bytes -= holder->body_bytes;
    budget->closing_body_bytes -= holder->is_closing ? holder->body_bytes : 0;
    holder->body_bytes = 0;
}

void
nm_memory_budget_wait(nm_memory_budget_t *budget, nm_memory_holder_t *holder)
{
    assert(budget && holder);
    leave_lists(budget, holder);
    holder->is_waiting = true;
}

void
nm_memory_budget_write(nm_memory_budget_t *budget, nm_memory_holder_t *holder,
                       nm_ms_t now_ms)
{
    nm_memory_budget_step(budget, holder, now_ms);
    holder->is_writing = true;
}

/*
 * Returns the connection to close for others.  Up to connections_max, this is
 * none that is new.
 */
static nm_memory_holder_t *
choose_connection(nm_memory_budget_t *budget, uint32_t connections,
                  nm_ms_t now_ms)
{
    if (connections > budget->limits.connections_max) {
        return g_queue_peek_head(&budget->stalled);
    }
    for (GList *link = budget->stalled.head; link; link = link->next) {
        nm_memory_holder_t *holder = link->data;
        if (!holder->is_new || now_ms - holder->stepped_ms >= NEW_MAX_MS) {
            return holder;
        }
    }
    return NULL;
}

static nm_memory_holder_t *
choose(nm_memory_budget_t *budget, nm_ms_t now_ms)
{
    const nm_memory_limits_t *limits = &budget->limits;
    nm_memory_holder_t *longest = g_queue_peek_head(&budget->stalled);
    uint32_t connections = budget->connections - budget->closing_connections;
    uint32_t new_max = limits->connections_max / NEW_CONNECTIONS_SHARE;
    nm_memory_holder_t *exceeding = NULL;
    if (limits->connections_max > 0 &&
        connections > limits->connections_max - new_max)
    {
        exceeding = choose_connection(budget, connections, now_ms);
    }
    if (exceeding) {
        return exceeding;
    }
    uint64_t body_bytes = budget->body_bytes - budget->closing_body_bytes;
    if (limits->body_max_bytes > 0 && body_bytes > limits->body_max_bytes) {
        return g_queue_peek_head(&budget->bodies);
    }
    bool is_late = limits->stall_max_ms > 0 && longest &&
                   !longest->is_writing &&
                   now_ms - longest->stepped_ms > limits->stall_max_ms;
    return is_late ? longest : NULL;
}

void *
nm_memory_budget_next_closing(nm_memory_budget_t *budget, nm_ms_t now_ms)
{
    assert(budget);
    nm_memory_holder_t *holder = choose(budget, now_ms);
    if (!holder) {
        return NULL;
    }
    leave_lists(budget, holder);
    holder->is_closing = true;
    budget->closing_connections++;
    budget->closing_body_bytes += holder->body_bytes;
    return holder->user;
}
