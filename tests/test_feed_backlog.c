/*
 * Feed of many keys that change faster than watches bring the changes, as each
 * response has a limited number of them: the feed must not fall behind without
 * end, and must not claim to be current.
 */
#include <string.h>

#include <glib.h>

#include "../src/feed.h"

#define TICK_MS 10
#define BEGIN_MS 10000
#define RUN_MS 60000
#define KEYS 600
#define VALUE_BYTES 300
#define PAUSE_MS 100
/* In one page of a listing, or one response to a watch. */
#define ITEMS_MAX 400
/* Each call takes this, and a time for each item on the link. */
#define LATENCY_MS 200
/* How old the newest revision is that other calls have shown. */
#define KNOWN_AFTER_MS 500

typedef struct {
    const char *name;
    uint32_t changes_per_s;
    nm_ms_t items_per_ms;
    nm_ms_t lag_max_ms;
} backlog_t;

/* A store the keys of which are written in turn; revision n is change n. */
typedef struct {
    nm_kv_t base;
    const backlog_t *backlog;
    nm_clock_t *clock;
    bool is_list;
    uint32_t list_from;
    int64_t after;
    nm_ms_t sent_ms;
    nm_ms_t ends_ms;
    int64_t known_revision;
    nm_store_kv_t items[ITEMS_MAX];
    char keys[ITEMS_MAX][16];
    nm_kv_result_t result;
    nm_kv_done_fn done; /* NULL: no call is in flight */
    void *user;
} backlog_kv_t;

typedef struct {
    backlog_kv_t kv;
    nm_clock_t clock;
    int64_t delivered[KEYS]; /* revisions */
} backlog_test_t;

/* All keys are written once before the beginning. */
static int64_t
revision_at(const backlog_kv_t *kv, nm_ms_t now_ms)
{
    return KEYS +
           MAX(now_ms - BEGIN_MS, 0) * kv->backlog->changes_per_s / 1000;
}

static uint32_t
key_of(int64_t revision)
{
    return (uint32_t)((revision - 1) % KEYS);
}

/* Newest change of a key up to a revision. */
static int64_t
newest_of(uint32_t key, int64_t revision)
{
    return revision - (revision - 1 - key) % KEYS;
}

static void
add_item(backlog_kv_t *kv, int64_t revision)
{
    static uint8_t value[VALUE_BYTES];
    uint32_t i = kv->result.item_count++;
    g_snprintf(kv->keys[i], sizeof(kv->keys[i]), "p/%03u", key_of(revision));
    kv->items[i] = (nm_store_kv_t){.key = kv->keys[i],
                                   .value = value,
                                   .value_bytes = VALUE_BYTES,
                                   .mod_revision = revision};
}

/* The store composes the response when the call arrives. */
static void
begin_call(backlog_kv_t *kv, nm_kv_done_fn done, void *user)
{
    g_assert_null(kv->done);
    nm_ms_t now_ms = kv->clock->manual_ms;
    int64_t newest = revision_at(kv, now_ms);
    kv->done = done;
    kv->user = user;
    kv->sent_ms = now_ms;
    kv->result = (nm_kv_result_t){
        .rc = NM_OK,
        .items = kv->items,
        .revision = newest,
        .known_revision = revision_at(kv, now_ms - KNOWN_AFTER_MS)};
    if (kv->is_list) {
        uint32_t end = MIN(kv->list_from + ITEMS_MAX, KEYS);
        for (uint32_t key = kv->list_from; key < end; key++) {
            add_item(kv, newest_of(key, newest));
        }
        kv->result.more = end < KEYS;
    }
    else {
        int64_t end = MIN(kv->after + ITEMS_MAX, newest);
        for (int64_t r = kv->after + 1; r <= end; r++) {
            add_item(kv, r);
        }
        kv->result.revision = end;
    }
    kv->ends_ms = now_ms + LATENCY_MS +
                  kv->result.item_count / kv->backlog->items_per_ms;
}

static void
kv_range(nm_kv_t *base, const char *prefix, const char *after,
         nm_kv_done_fn done, void *user)
{
    (void)prefix;
    backlog_kv_t *kv = (backlog_kv_t *)base;
    kv->is_list = true;
    kv->list_from = after[0] ? (uint32_t)strtoul(after + 2, NULL, 10) + 1 : 0;
    begin_call(kv, done, user);
}

static void
kv_watch(nm_kv_t *base, const char *prefix, int64_t after_revision,
         nm_ms_t wait_ms, nm_kv_done_fn done, void *user)
{
    (void)prefix;
    (void)wait_ms;
    backlog_kv_t *kv = (backlog_kv_t *)base;
    kv->is_list = false;
    kv->after = after_revision;
    begin_call(kv, done, user);
}

static const nm_kv_vtable_t vtable = {.range = kv_range, .watch = kv_watch};

static void
on_item(void *user, const nm_store_kv_t *item)
{
    backlog_test_t *test = user;
    test->delivered[key_of(item->mod_revision)] = item->mod_revision;
}

static void
run_kv(backlog_kv_t *kv)
{
    if (kv->done && kv->clock->manual_ms >= kv->ends_ms) {
        nm_kv_done_fn done = kv->done;
        kv->done = NULL;
        done(kv->user, &kv->result);
    }
}

/* Returns since when the oldest change is not delivered that the store has. */
static nm_ms_t
query_lag_ms(const backlog_test_t *test)
{
    nm_ms_t now_ms = test->clock.manual_ms;
    int64_t newest = revision_at(&test->kv, now_ms);
    int64_t oldest = newest + 1;
    for (uint32_t key = 0; key < KEYS; key++) {
        if (test->delivered[key] < newest_of(key, newest)) {
            oldest = MIN(oldest, test->delivered[key] + KEYS);
        }
    }
    nm_ms_t made_ms =
        BEGIN_MS + (oldest - KEYS) * 1000 / test->kv.backlog->changes_per_s;
    return oldest > newest ? 0 : now_ms - made_ms;
}

static const backlog_t backlogs[] = {
    /* As many as a link brings with ease. */
    {"/feed-backlog/fast-link", 500, 4, 1000},
    /* 400 changes take 0.7 s, and more than 400 are made in that time. */
    {"/feed-backlog/slightly-too-slow-link", 700, 1, 6000},
    {"/feed-backlog/much-too-slow-link", 3000, 1, 6000},
};

static void
test_backlog(gconstpointer data)
{
    backlog_test_t test = {
        .kv = {.base = {.vtable = &vtable}, .backlog = data}};
    nm_clock_init_manual(&test.clock, BEGIN_MS);
    test.kv.clock = &test.clock;
    nm_feed_t feed = {0};
    nm_feed_open(&feed, &(nm_feed_desc_t){.kv = &test.kv.base,
                                          .clock = &test.clock,
                                          .prefix = "p/",
                                          .on_item = on_item,
                                          .pause_ms = PAUSE_MS,
                                          .user = &test});
    nm_ms_t lag_max_ms = 0;
    nm_ms_t error_max_ms = 0; /* of the age that the feed tells */
    while (test.clock.manual_ms < BEGIN_MS + RUN_MS) {
        test.clock.manual_ms += TICK_MS;
        run_kv(&test.kv);
        nm_feed_tick(&feed, test.clock.manual_ms);
        if (feed.listed) {
            nm_ms_t lag_ms = query_lag_ms(&test);
            lag_max_ms = MAX(lag_max_ms, lag_ms);
            error_max_ms = MAX(error_max_ms, lag_ms - nm_feed_age_ms(&feed));
        }
    }
    g_test_message("changes are known after %d ms at most, the age is wrong "
                   "by %d ms",
                   (int)lag_max_ms, (int)error_max_ms);
    g_assert_cmpint(lag_max_ms, <=, test.kv.backlog->lag_max_ms);
    g_assert_cmpint(error_max_ms, <=, KNOWN_AFTER_MS + TICK_MS);
    nm_feed_close(&feed);
    if (test.kv.done) {
        test.kv.done(test.kv.user, &test.kv.result);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    for (size_t i = 0; i < NM_COUNT_OF(backlogs); i++) {
        g_test_add_data_func(backlogs[i].name, &backlogs[i], test_backlog);
    }
    return g_test_run();
}
