#include <nutmegdeck/grant.h>

#include <assert.h>

#include <glib.h>

typedef struct {
    uint16_t outstanding; /* slots the holder may use, in the worst case */
    uint16_t granted;     /* slots in the newest response */
} share_t;

typedef struct {
    uint64_t id;
    uint64_t response_number; /* of the newest response */
    uint32_t demand;
    bool leaving;
    nm_ms_t expires_ms;      /* of the grants */
    nm_ms_t requests_end_ms; /* requests under the grants end by then */
    GArray *shares;          /* of share_t, by executor position */
} holder_t;

typedef struct {
    uint64_t id;
    uint16_t slots;
} executor_t;

struct nm_grant_state {
    nm_ms_t request_max_ms;
    nm_ms_t recovery_end_ms;
    uint64_t last_number;
    GArray *executors;     /* of executor_t */
    GHashTable *positions; /* executor id to position plus one */
    GPtrArray *holders;    /* of holder_t */
};

typedef struct nm_grant_state state_t;

static void
free_holder(void *data)
{
    holder_t *holder = data;
    g_array_free(holder->shares, TRUE);
    g_free(holder);
}

void
nm_grant_init(nm_grant_t *grant, const nm_grant_desc_t *desc, nm_ms_t now_ms)
{
    assert(grant && desc && desc->request_max_ms > 0);
    state_t *state = g_new0(state_t, 1);
    state->request_max_ms = desc->request_max_ms;
    state->last_number = (uint64_t)desc->epoch << 32;
    state->recovery_end_ms = now_ms + desc->recovery_ms;
    state->executors = g_array_new(FALSE, TRUE, sizeof(executor_t));
    state->positions = g_hash_table_new(g_direct_hash, g_direct_equal);
    state->holders = g_ptr_array_new_with_free_func(free_holder);
    grant->state = state;
}

void
nm_grant_finish(nm_grant_t *grant)
{
    assert(grant && grant->state);
    g_array_free(grant->state->executors, TRUE);
    g_hash_table_unref(grant->state->positions);
    g_ptr_array_free(grant->state->holders, TRUE);
    g_free(grant->state);
    grant->state = NULL;
}

static int32_t
find_executor(const state_t *state, uint64_t id)
{
    void *value = g_hash_table_lookup(state->positions, (void *)(uintptr_t)id);
    return GPOINTER_TO_INT(value) - 1;
}

void
nm_grant_set_executor(nm_grant_t *grant, uint64_t id, uint16_t slots)
{
    assert(grant && id != 0);
    state_t *state = grant->state;
    int32_t position = find_executor(state, id);
    if (position < 0) {
        executor_t executor = {.id = id};
        g_array_append_val(state->executors, executor);
        position = (int32_t)state->executors->len - 1;
        g_hash_table_insert(state->positions, (void *)(uintptr_t)id,
                            GINT_TO_POINTER(position + 1));
    }
    g_array_index(state->executors, executor_t, position).slots = slots;
}

static holder_t *
find_holder(const state_t *state, uint64_t id)
{
    for (uint32_t i = 0; i < state->holders->len; i++) {
        holder_t *holder = state->holders->pdata[i];
        if (holder->id == id) {
            return holder;
        }
    }
    return NULL;
}

static share_t *
share_at(holder_t *holder, uint32_t position)
{
    if (position >= holder->shares->len) {
        g_array_set_size(holder->shares, position + 1);
    }
    return &g_array_index(holder->shares, share_t, position);
}

static bool
may_hold_slots(const holder_t *holder, nm_ms_t now_ms)
{
    return now_ms < holder->requests_end_ms;
}

static uint16_t
sum_outstanding(const state_t *state, uint32_t position, nm_ms_t now_ms)
{
    uint32_t sum = 0;
    for (uint32_t i = 0; i < state->holders->len; i++) {
        holder_t *holder = state->holders->pdata[i];
        if (may_hold_slots(holder, now_ms) && position < holder->shares->len) {
            sum += share_at(holder, position)->outstanding;
        }
    }
    return (uint16_t)sum;
}

/*
 * Sets the outstanding slots to those reported: the greater of the slots
 * granted and in use.  The holder knows the newest response, so it uses no
 * other slots.
 */
static void
apply_reports(state_t *state, holder_t *holder,
              const nm_grant_request_t *request)
{
    for (uint32_t i = 0; i < holder->shares->len; i++) {
        share_at(holder, i)->outstanding = 0;
    }
    for (uint32_t i = 0; i < request->report_count; i++) {
        int32_t position = find_executor(state, request->reports[i].executor);
        if (position < 0) {
            /* Known only to an earlier owner: counted, not granted. */
            nm_grant_t grant = {state};
            nm_grant_set_executor(&grant, request->reports[i].executor, 0);
            position = find_executor(state, request->reports[i].executor);
        }
        share_at(holder, (uint32_t)position)->outstanding =
            request->reports[i].held;
    }
}

/*
 * Counts the holders with a valid grant that are not leaving, and sums up
 * their demand, plus one for each.
 */
static uint32_t
count_active_holders(const state_t *state, nm_ms_t now_ms, uint32_t *demand)
{
    uint32_t count = 0;
    *demand = 0;
    for (uint32_t i = 0; i < state->holders->len; i++) {
        const holder_t *holder = state->holders->pdata[i];
        if (now_ms < holder->expires_ms && !holder->leaving) {
            count++;
            *demand += holder->demand + 1;
        }
    }
    return count;
}

/* Returns a holder's position among the active holders by id. */
static uint32_t
holder_rank(const state_t *state, const holder_t *holder, nm_ms_t now_ms)
{
    uint32_t rank = 0;
    for (uint32_t i = 0; i < state->holders->len; i++) {
        const holder_t *other = state->holders->pdata[i];
        if (now_ms < other->expires_ms && !other->leaving &&
            other->id < holder->id) {
            rank++;
        }
    }
    return rank;
}

/*
 * Returns the fair share of one executor: one slot for each active holder,
 * the others in proportion to demand.  Rounding differs by executor, so that
 * it evens out over all executors.
 */
static uint16_t
fair_share(uint16_t slots, uint32_t count, uint32_t rank, uint32_t demand,
           uint32_t total_demand, uint32_t position)
{
    if (count == 0 || slots == 0) {
        return 0;
    }
    if (slots < count) {
        return (rank + position) % count < slots;
    }
    uint32_t spare = slots - count;
    uint64_t scaled = (uint64_t)spare * (demand + 1);
    uint32_t share = (uint32_t)(scaled / total_demand);
    uint64_t remainder = scaled % total_demand;
    /*
     * Multiples of 2^32 / golden ratio spread the rounding evenly over the
     * executors.
     */
    uint32_t threshold = (position * 2654435769u) >> 16;
    threshold = (threshold + rank * 0x10000u / count) & 0xffff;
    if (remainder * 0x10000 / total_demand > threshold) {
        share++;
    }
    return (uint16_t)(1 + share);
}

static holder_t *
add_holder(state_t *state, uint64_t id)
{
    holder_t *holder = g_new0(holder_t, 1);
    holder->id = id;
    holder->shares = g_array_new(FALSE, TRUE, sizeof(share_t));
    g_ptr_array_add(state->holders, holder);
    return holder;
}

/* Grants the fair share, limited to slots that no other holder may use. */
static void
grant_slots(state_t *state, holder_t *holder, uint32_t position, uint16_t fair,
            nm_ms_t now_ms)
{
    uint16_t slots =
        g_array_index(state->executors, executor_t, position).slots;
    share_t *share = share_at(holder, position);
    uint16_t total = sum_outstanding(state, position, now_ms);
    uint16_t others = total - share->outstanding;
    uint16_t available = slots > others ? slots - others : 0;
    share->granted = fair < available ? fair : available;
    if (now_ms < state->recovery_end_ms) {
        /* Unknown grants of an earlier owner may exist: no share grows. */
        share->granted = holder->leaving ? 0 : share->outstanding;
    }
    if (share->granted > share->outstanding) {
        share->outstanding = share->granted;
    }
}

bool
nm_grant_renew(nm_grant_t *grant, const nm_grant_request_t *request,
               nm_ms_t now_ms, uint64_t *number)
{
    assert(grant && request && request->holder != 0 && number);
    state_t *state = grant->state;
    holder_t *holder = find_holder(state, request->holder);
    if (!holder) {
        holder = add_holder(state, request->holder);
        /* Kept until its next request, although nothing is granted yet. */
        holder->requests_end_ms = now_ms + NM_GRANT_TERM_MS;
    }
    bool current = request->last_number == holder->response_number &&
                   request->last_number != 0;
    holder->response_number = ++state->last_number;
    *number = holder->response_number;
    if (!current) {
        return false;
    }
    holder->demand = request->demand;
    holder->leaving = request->leaving;
    holder->expires_ms = now_ms + NM_GRANT_TERM_MS + NM_GRANT_CLOCK_MARGIN_MS;
    holder->requests_end_ms = holder->expires_ms + state->request_max_ms;
    apply_reports(state, holder, request);
    uint32_t demand = 0;
    uint32_t count = count_active_holders(state, now_ms, &demand);
    uint32_t rank = holder_rank(state, holder, now_ms);
    for (uint32_t i = 0; i < state->executors->len; i++) {
        const executor_t *executor =
            &g_array_index(state->executors, executor_t, i);
        uint16_t fair = holder->leaving
                            ? 0
                            : fair_share(executor->slots, count, rank,
                                         holder->demand, demand, i);
        grant_slots(state, holder, i, fair, now_ms);
    }
    return true;
}

uint16_t
nm_grant_query(const nm_grant_t *grant, uint64_t holder_id, uint64_t executor)
{
    assert(grant);
    holder_t *holder = find_holder(grant->state, holder_id);
    int32_t position = find_executor(grant->state, executor);
    if (!holder || position < 0) {
        return 0;
    }
    return share_at(holder, (uint32_t)position)->granted;
}

uint16_t
nm_grant_query_outstanding(const nm_grant_t *grant, uint64_t executor,
                           nm_ms_t now_ms)
{
    assert(grant);
    int32_t position = find_executor(grant->state, executor);
    if (position < 0) {
        return 0;
    }
    return sum_outstanding(grant->state, (uint32_t)position, now_ms);
}

void
nm_grant_end_recovery(nm_grant_t *grant, nm_ms_t now_ms)
{
    assert(grant);
    if (now_ms < grant->state->recovery_end_ms) {
        grant->state->recovery_end_ms = now_ms;
    }
}

void
nm_grant_tick(nm_grant_t *grant, nm_ms_t now_ms)
{
    assert(grant);
    GPtrArray *holders = grant->state->holders;
    for (uint32_t i = 0; i < holders->len;) {
        if (may_hold_slots(holders->pdata[i], now_ms)) {
            i++;
        }
        else {
            g_ptr_array_remove_index_fast(holders, i);
        }
    }
}
