/* Tests of the budget of what clients make a process hold. */
#include "../src/memory_budget.h"

#define HOLDERS 9
#define KIB 1024

/* --- limits of a process --- */

static void
test_limits_follow_the_machine(void)
{
    static const struct {
        const char *name;
        uint32_t memory_mb;
        uint32_t max_fds;
        uint32_t connections_max;
        uint64_t body_max_bytes;
        uint64_t reserve_bytes;
    } cases[] = {
        {"no limits", 0, 0, 0, 0, 0},
        {"descriptors only", 0, 4100, 2400, 0, 0},
        {"memory only", 160, 0, 2409, 35 << 20, 5 << 20},
        {"small machine", 160, 4100, 2400, 35 << 20, 5 << 20},
        {"large machine", 512, 8192, 6492, 112 << 20, 16 << 20},
        {"few descriptors", 512, 700, 167, 112 << 20, 16 << 20},
        {"fewer than are reserved", 160, 100, 1, 35 << 20, 5 << 20},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_memory_limits_t limits = nm_memory_limits_derive(
            cases[i].memory_mb, cases[i].max_fds, 34 * KIB);
        g_assert_cmpuint(limits.connections_max, ==, cases[i].connections_max);
        g_assert_cmpuint(limits.body_max_bytes, ==, cases[i].body_max_bytes);
        g_assert_cmpuint(limits.reserve_bytes, ==, cases[i].reserve_bytes);
    }
}

/* --- what is closed, and what is refused --- */

typedef enum {
    OPEN,
    CLOSE,
    STEP,
    RECEIVE, /* bytes that are not kept */
    CHARGE,  /* bytes that are kept; refused or not */
    RELEASE,
    WAIT,
    WRITE,
} event_t;

typedef struct {
    event_t event;
    int holder;
    uint64_t bytes;
    nm_ms_t at_ms;
    const char *closing; /* holders that are named after it, in order */
    bool refused;
} step_t;

typedef struct {
    const char *name;
    nm_memory_limits_t limits;
    step_t steps[12]; /* ends with an empty one */
} play_t;

static bool
run_step(nm_memory_budget_t *budget, nm_memory_holder_t *holder,
         const step_t *step)
{
    switch (step->event) {
    case OPEN:
        nm_memory_budget_open(budget, holder, holder, step->at_ms);
        return true;
    case CLOSE:
        nm_memory_budget_close(budget, holder);
        return true;
    case STEP:
        nm_memory_budget_step(budget, holder, step->at_ms);
        return true;
    case RECEIVE:
        nm_memory_budget_receive(budget, holder, step->bytes, step->at_ms);
        return true;
    case CHARGE:
        return nm_memory_budget_charge(budget, holder, step->bytes, false);
    case RELEASE:
        nm_memory_budget_release(budget, holder);
        return true;
    case WAIT:
        nm_memory_budget_wait(budget, holder);
        return true;
    default:
        nm_memory_budget_write(budget, holder, step->at_ms);
        return true;
    }
}

static void
run_play(const play_t *play)
{
    nm_memory_budget_t budget;
    nm_memory_holder_t holders[HOLDERS];
    nm_memory_budget_init(&budget, &play->limits);
    for (const step_t *step = play->steps; step->closing; step++) {
        bool kept = run_step(&budget, &holders[step->holder], step);
        GString *closing = g_string_new(NULL);
        nm_memory_holder_t *holder;
        while ((holder = nm_memory_budget_next_closing(&budget, step->at_ms)))
        {
            g_string_append_printf(closing, "%d", (int)(holder - holders));
        }
        g_test_message("%s, step %d", play->name, (int)(step - play->steps));
        g_assert_cmpstr(closing->str, ==, step->closing);
        g_assert_cmpint(kept, ==, !step->refused);
        g_string_free(closing, TRUE);
    }
}

static const play_t plays[] = {
    {"the longest stalled connection makes room",
     {.connections_max = 2},
     {{OPEN, 0, 0, 0, "", false},
      {OPEN, 1, 0, 1, "", false},
      {STEP, 0, 0, 2, "", false},
      {OPEN, 2, 0, 3, "1", false},
      {OPEN, 3, 0, 4, "0", false},
      {CLOSE, 1, 0, 5, "", false},
      {CLOSE, 0, 0, 5, "", false}}},
    {"a connection that waits for its response stays",
     {.connections_max = 1},
     {{OPEN, 0, 0, 0, "", false},
      {WAIT, 0, 0, 1, "", false},
      {OPEN, 1, 0, 2, "1", false},
      {CLOSE, 1, 0, 3, "", false},
      {WRITE, 0, 0, 4, "", false},
      {OPEN, 2, 0, 5, "0", false}}},
    {"a new connection has time for its head while others wait",
     {.connections_max = 8}, /* one of them for new connections */
     {{OPEN, 0, 0, 0, "", false},
      {OPEN, 1, 0, 0, "", false},
      {OPEN, 2, 0, 0, "", false},
      {OPEN, 3, 0, 0, "", false},
      {OPEN, 4, 0, 0, "", false},
      {OPEN, 5, 0, 0, "", false},
      {OPEN, 6, 0, 0, "", false},
      {WAIT, 0, 0, 1, "", false},
      {OPEN, 7, 0, 2000, "", false},
      {WRITE, 0, 0, 2001, "0", false},
      {OPEN, 8, 0, 3000, "1", false}}},
    {"only a connection with a body is closed for bodies",
     {.body_max_bytes = 100 * KIB, .reserve_bytes = 40 * KIB},
     {{OPEN, 0, 0, 0, "", false},
      {OPEN, 1, 0, 0, "", false},
      {CHARGE, 1, 90 * KIB, 1, "", false},
      {OPEN, 2, 0, 2, "", false},
      {CHARGE, 2, 20 * KIB, 3, "1", false},
      {CLOSE, 1, 0, 4, "", false},
      {CHARGE, 2, 20 * KIB, 5, "", false}}},
    {"the reserve is for small bodies until others are closed",
     {.body_max_bytes = 100 * KIB, .reserve_bytes = 40 * KIB},
     {{OPEN, 0, 0, 0, "", false},
      {OPEN, 1, 0, 0, "", false},
      {OPEN, 2, 0, 0, "", false},
      {CHARGE, 0, 100 * KIB, 1, "", false},
      {CHARGE, 1, 32 * KIB, 2, "", true},
      {CHARGE, 2, 12 * KIB, 3, "0", false},
      {CHARGE, 1, 12 * KIB, 4, "", false},
      {RELEASE, 0, 0, 5, "", false},
      {CHARGE, 1, 32 * KIB, 6, "", false}}},
    {"single bytes are no progress, a step is",
     {.stall_max_ms = 100},
     {{OPEN, 0, 0, 0, "", false},
      {OPEN, 1, 0, 0, "", false},
      {RECEIVE, 0, 1, 50, "", false},
      {RECEIVE, 1, 4096, 60, "", false},
      {RECEIVE, 0, 1, 101, "0", false},
      {RECEIVE, 1, 4095, 150, "", false},
      {RECEIVE, 1, 1, 155, "", false},
      {RECEIVE, 1, 1, 255, "", false},
      {RECEIVE, 1, 1, 256, "1", false}}},
    {"a response may be read slowly while there is room",
     {.stall_max_ms = 100},
     {{OPEN, 0, 0, 0, "", false},
      {WRITE, 0, 0, 1, "", false},
      {OPEN, 1, 0, 500, "", false},
      {STEP, 0, 0, 501, "", false},
      {OPEN, 2, 0, 600, "", false},
      {OPEN, 3, 0, 602, "10", false}}},
};

static void
test_plays(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(plays); i++) {
        run_play(&plays[i]);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/memory_budget/limits_follow_the_machine",
                    test_limits_follow_the_machine);
    g_test_add_func("/memory_budget/plays", test_plays);
    return g_test_run();
}
