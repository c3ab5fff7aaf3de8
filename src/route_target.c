#include "route_target.h"

#include <assert.h>

/* One choice compares at most this many available targets of a group. */
#define CANDIDATES_MAX 16
#define LATENCY_EWMA_WEIGHT 0.1f
/* Consecutive failures that eject a target. */
#define FAILURES_TO_EJECT 3
#define EJECT_INITIAL_MS 1000
#define EJECT_MAX_MS 16000
/* Share of a group that may be ejected at the same time. */
#define EJECTED_SHARE_MAX 0.5

void
nm_target_table_finish(nm_target_table_t *table)
{
    g_free(table->targets);
    if (table->index) {
        g_hash_table_unref(table->index);
    }
    *table = (nm_target_table_t){0};
}

void
nm_target_group_finish(nm_target_group_t *group)
{
    g_free(group->members);
    *group = (nm_target_group_t){0};
}

int32_t
nm_target_find(const nm_target_table_t *table, uint64_t id)
{
    if (!table->index) {
        return -1;
    }
    void *value = g_hash_table_lookup(table->index, (void *)(uintptr_t)id);
    return (int32_t)GPOINTER_TO_INT(value) - 1;
}

int32_t
nm_target_add(nm_target_table_t *table, const nm_route_target_t *desc)
{
    assert(desc->id != 0);
    if (table->count == table->capacity) {
        table->capacity = table->capacity ? table->capacity * 2 : 64;
        table->targets = g_renew(nm_target_t, table->targets, table->capacity);
    }
    if (!table->index) {
        table->index = g_hash_table_new(g_direct_hash, g_direct_equal);
    }
    table->targets[table->count] = (nm_target_t){.desc = *desc};
    table->count++;
    g_hash_table_insert(table->index, (void *)(uintptr_t)desc->id,
                        GINT_TO_POINTER((int)table->count));
    return (int32_t)table->count - 1;
}

void
nm_target_group_add(nm_target_group_t *group, uint32_t index)
{
    if (group->count == group->capacity) {
        group->capacity = group->capacity ? group->capacity * 2 : 64;
        group->members = g_renew(uint32_t, group->members, group->capacity);
    }
    group->members[group->count++] = index;
}

bool
nm_target_is_available(const nm_target_t *target, nm_ms_t now_ms)
{
    const nm_route_target_t *desc = &target->desc;
    if (desc->leaving || target->in_flight >= desc->granted_slots ||
        now_ms + NM_ROUTE_GRANT_GUARD_MS >= desc->grant_expires_ms)
    {
        return false;
    }
    if (target->consecutive_ejections == 0) {
        return true;
    }
    /* After an ejection one probe decides whether the target is used. */
    return now_ms >= target->ejected_until_ms && !target->probing;
}

/* Predicts the latency of one more request at a target. */
static float
predict_latency(const nm_target_t *target)
{
    float base_ms = target->latency_ms > 0 ? target->latency_ms : 1.0f;
    float slowdown = target->desc.slowdown > 1 ? target->desc.slowdown : 1;
    float load =
        (float)target->in_flight / (float)(target->desc.granted_slots + 1);
    return base_ms * slowdown * (1.0f + load);
}

static float
score_target(const nm_target_t *target, nm_route_policy_t policy,
             nm_rng_t *rng)
{
    switch (policy) {
    case NM_ROUTE_POLICY_PREDICTED:
        return predict_latency(target);
    case NM_ROUTE_POLICY_LEAST_OUTSTANDING:
        /* A random part below 1 chooses among equal targets. */
        return (float)target->in_flight + (float)nm_rng_unit(rng) * 0.5f;
    default:
        return (float)nm_rng_unit(rng);
    }
}

int32_t
nm_target_choose(const nm_target_table_t *table, nm_target_group_t *group,
                 nm_route_policy_t policy, nm_rng_t *rng, int32_t avoid,
                 nm_ms_t now_ms)
{
    if (group->count == 0) {
        return -1;
    }
    uint32_t start = policy == NM_ROUTE_POLICY_ROUND_ROBIN
                         ? group->cursor++
                         : nm_rng_below(rng, group->count);
    int32_t best = -1;
    float best_score = 0;
    uint32_t compared = 0;
    bool avoided_is_available = false;
    for (uint32_t i = 0; i < group->count && compared < CANDIDATES_MAX; i++) {
        uint32_t index = group->members[(start + i) % group->count];
        const nm_target_t *target = &table->targets[index];
        if (!nm_target_is_available(target, now_ms)) {
            continue;
        }
        if ((int32_t)index == avoid) {
            avoided_is_available = true;
            continue;
        }
        if (policy == NM_ROUTE_POLICY_ROUND_ROBIN) {
            return (int32_t)index;
        }
        float score = score_target(target, policy, rng);
        compared++;
        if (best < 0 || score < best_score) {
            best = (int32_t)index;
            best_score = score;
        }
    }
    return best < 0 && avoided_is_available ? avoid : best;
}

void
nm_target_record_success(nm_target_t *target, nm_ms_t latency_ms)
{
    float sample = latency_ms > 0 ? (float)latency_ms : 0.5f;
    if (target->latency_ms <= 0) {
        target->latency_ms = sample;
    }
    target->latency_ms += (sample - target->latency_ms) * LATENCY_EWMA_WEIGHT;
    target->consecutive_failures = 0;
    target->consecutive_ejections = 0;
    target->probing = false;
}

static bool
may_eject_another(const nm_target_table_t *table,
                  const nm_target_group_t *group)
{
    uint32_t ejected = 0;
    uint32_t total = 0;
    for (uint32_t i = 0; i < group->count; i++) {
        const nm_target_t *target = &table->targets[group->members[i]];
        if (target->desc.granted_slots == 0) {
            continue;
        }
        total++;
        ejected += target->consecutive_ejections > 0;
    }
    return ejected + 1 <= (uint32_t)(total * EJECTED_SHARE_MAX);
}

void
nm_target_record_failure(nm_target_table_t *table,
                         const nm_target_group_t *group, nm_target_t *target,
                         bool eject_now, nm_ms_t now_ms)
{
    target->consecutive_failures++;
    bool was_probing = target->probing;
    target->probing = false;
    if (target->consecutive_ejections == 0) {
        bool threshold_reached =
            target->consecutive_failures >= FAILURES_TO_EJECT;
        /*
         * A target that accepts no requests is ejected even if that exceeds
         * the ejected share.
         */
        if (!eject_now &&
            (!threshold_reached || !may_eject_another(table, group))) {
            return;
        }
        nm_count_reason(eject_now ? NM_REASON_DRAINED : NM_REASON_EJECTED);
    }
    else if (!was_probing) {
        return;
    }
    nm_ms_t backoff_ms =
        (nm_ms_t)EJECT_INITIAL_MS
        << (target->consecutive_ejections < 8 ? target->consecutive_ejections
                                              : 8);
    target->consecutive_ejections++;
    target->ejected_until_ms =
        now_ms + (backoff_ms < EJECT_MAX_MS ? backoff_ms : EJECT_MAX_MS);
}
