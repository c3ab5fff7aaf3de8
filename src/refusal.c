#include "refusal.h"

#include <assert.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/reason.h>

/* Separates the two texts that are hashed together. */
#define REASON_MULTIPLIER UINT64_C(0x9e3779b97f4a7c15)

static bool
was_logged(const nm_refusals_t *refusals, uint64_t hash, nm_ms_t now_ms)
{
    size_t slot = hash % NM_REFUSAL_SLOTS;
    return refusals->slots[slot].hash == hash &&
           now_ms - refusals->slots[slot].logged_ms < NM_REFUSAL_REPEAT_MS;
}

static bool
admit_line(nm_refusals_t *refusals, nm_ms_t now_ms)
{
    if (now_ms - refusals->window_start_ms >= 1000) {
        refusals->window_start_ms = now_ms;
        refusals->lines = 0;
    }
    return refusals->lines < NM_REFUSAL_LINES_PER_S;
}

bool
nm_refusals_log(nm_refusals_t *refusals, nm_log_item_t item, const char *field,
                const char *name, const char *reason, nm_ms_t now_ms)
{
    assert(refusals && field && name && reason);
    nm_count_reason(NM_REASON_RECORD_REFUSED);
    uint64_t hash = nm_hash(name, strlen(name)) * REASON_MULTIPLIER +
                    nm_hash(reason, strlen(reason));
    if (was_logged(refusals, hash, now_ms) || !admit_line(refusals, now_ms)) {
        refusals->unlogged++;
        return false;
    }
    refusals->lines++;
    refusals->slots[hash % NM_REFUSAL_SLOTS].hash = hash;
    refusals->slots[hash % NM_REFUSAL_SLOTS].logged_ms = now_ms;
    nm_log(NM_LOG_WARN, item, "{s:s,s:s,s:I}", field, name, "reason", reason,
           "unlogged", (json_int_t)refusals->unlogged);
    refusals->unlogged = 0;
    return true;
}
