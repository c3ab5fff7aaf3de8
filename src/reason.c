#include <nutmegdeck/reason.h>

#include <assert.h>
#include <stdio.h>

#include <ck_pr.h>

typedef struct {
    const char *name;
    int status;
    const char *text;
} reason_info_t;

static const reason_info_t reason_info[NM_REASON_COUNT] = {
#define X(name, label, status, text) {label, status, text},
    NM_REASON_LIST(X)
#undef X
};

static const char *const counter_info[NM_COUNTER_COUNT][2] = {
#define X(name, label, text) {label, text},
    NM_COUNTER_LIST(X)
#undef X
};

static struct {
    uint64_t reasons[NM_REASON_COUNT];
    uint64_t counters[NM_COUNTER_COUNT];
} state;

const char *
nm_reason_name(nm_reason_t reason)
{
    assert(reason < NM_REASON_COUNT);
    return reason_info[reason].name;
}

const char *
nm_reason_text(nm_reason_t reason)
{
    assert(reason < NM_REASON_COUNT);
    return reason_info[reason].text;
}

int
nm_reason_status(nm_reason_t reason)
{
    assert(reason < NM_REASON_COUNT);
    return reason_info[reason].status;
}

void
nm_count_reason(nm_reason_t reason)
{
    assert(reason < NM_REASON_COUNT);
    ck_pr_inc_64(&state.reasons[reason]);
}

void
nm_count(nm_counter_t counter, uint64_t amount)
{
    assert(counter < NM_COUNTER_COUNT);
    ck_pr_add_64(&state.counters[counter], amount);
}

uint64_t
nm_counter_value(nm_counter_t counter)
{
    assert(counter < NM_COUNTER_COUNT);
    return ck_pr_load_64(&state.counters[counter]);
}

uint64_t
nm_reason_value(nm_reason_t reason)
{
    assert(reason < NM_REASON_COUNT);
    return ck_pr_load_64(&state.reasons[reason]);
}

void
nm_counters_write(nm_line_fn write_line, void *user)
{
    assert(write_line);
    char line[256];
    for (int i = 0; i < NM_COUNTER_COUNT; i++) {
        const char *name = counter_info[i][0];
        snprintf(line, sizeof(line), "# HELP nutmegdeck_%s_total %s", name,
                 counter_info[i][1]);
        write_line(user, line);
        snprintf(line, sizeof(line), "# TYPE nutmegdeck_%s_total counter",
                 name);
        write_line(user, line);
        snprintf(line, sizeof(line), "nutmegdeck_%s_total %llu", name,
                 (unsigned long long)nm_counter_value((nm_counter_t)i));
        write_line(user, line);
    }
    write_line(user, "# HELP nutmegdeck_reasons_total refusals, retries and "
                     "evictions by reason");
    write_line(user, "# TYPE nutmegdeck_reasons_total counter");
    for (int i = 1; i < NM_REASON_COUNT; i++) {
        snprintf(line, sizeof(line),
                 "nutmegdeck_reasons_total{reason=\"%s\"} %llu",
                 reason_info[i].name,
                 (unsigned long long)nm_reason_value((nm_reason_t)i));
        write_line(user, line);
    }
}
