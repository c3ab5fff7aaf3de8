#include "order_overdue.h"

#include <assert.h>

#include <jansson.h>

#include <nutmegdeck/log.h>
#include <nutmegdeck/reason.h>

#define LOG_INTERVAL_MS 1000

void
nm_overdue_add(nm_overdue_t *overdue, const char *worker, nm_ms_t now_ms)
{
    assert(overdue && worker);
    nm_count_reason(NM_REASON_START_OVERDUE);
    overdue->unlogged++;
    if (overdue->logged_ms > 0 &&
        now_ms - overdue->logged_ms < LOG_INTERVAL_MS) {
        return;
    }
    nm_log(NM_LOG_WARN, NM_LOG_ITEM_START_OVERDUE, "{s:s,s:I}", "worker",
           worker, "count", (json_int_t)overdue->unlogged);
    overdue->logged_ms = now_ms;
    overdue->unlogged = 0;
}
