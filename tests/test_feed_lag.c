/*
 * Feed of one large value that changes all the time, over a slow link with a
 * cut: what it costs to catch up, and how old the delivered value is.
 */
#include <string.h>

#include <glib.h>

#include "../src/feed.h"

#define TICK_MS 10
#define BEGIN_MS 10000
/* A value takes 1 s, less than the interval of changes. */
#define BYTES_PER_MS 100
#define VALUE_BYTES 100000
#define CHANGE_INTERVAL_MS 1200
#define CUT_AT_MS (BEGIN_MS + 6500)
/* A response that stops arriving, or a connection that does not open. */
#define FAILURE_MS 600
#define WAIT_MS 2000

/*
 * A store with one key, written at revision 1, 2 and so on.  Each response
 * takes the time that its values need on the link.
 */
typedef struct {
    nm_kv_t base;
    const nm_clock_t *clock;
    nm_ms_t change_interval_ms;
    nm_ms_t cut_until_ms;
    bool is_list;
    int64_t after; /* revision of the watch in flight */
    nm_ms_t sent_ms;
    nm_ms_t wait_ms;
    nm_kv_done_fn done; /* NULL: no call is in flight */
    void *user;
    nm_ms_t ends_ms;         /* of the response; 0: it has not begun */
    int64_t newest;          /* revision in the response */
    uint32_t items;          /* in the response */
    uint64_t received_bytes; /* in whole responses since the cut */
    uint64_t failed_bytes;   /* the same of responses that broke off */
} slow_kv_t;

typedef struct {
    slow_kv_t kv;
    nm_clock_t clock;
    int64_t delivered; /* revision */
    uint32_t deliveries;
} lag_test_t;

static bool
is_cut(const slow_kv_t *kv, nm_ms_t now_ms)
{
    return now_ms >= CUT_AT_MS && now_ms < kv->cut_until_ms;
}

static int64_t
revision_at(const slow_kv_t *kv, nm_ms_t now_ms)
{
    return 1 + (now_ms - BEGIN_MS) / kv->change_interval_ms;
}

static void
begin_call(nm_kv_t *base, bool is_list, int64_t after, nm_ms_t wait_ms,
           nm_kv_done_fn done, void *user)
{
    slow_kv_t *kv = (slow_kv_t *)base;
    g_assert_null(kv->done);
    kv->is_list = is_list;
    kv->after = after;
    kv->wait_ms = wait_ms;
    kv->sent_ms = nm_clock_now(kv->clock);
    kv->done = done;
    kv->user = user;
    kv->ends_ms = 0;
}

static void
kv_range(nm_kv_t *kv, const char *prefix, const char *after,
         nm_kv_done_fn done, void *user)
{
    (void)prefix;
    (void)after;
    begin_call(kv, true, 0, 0, done, user);
}

static void
kv_watch(nm_kv_t *kv, const char *prefix, int64_t after_revision,
         nm_ms_t wait_ms, nm_kv_done_fn done, void *user)
{
    (void)prefix;
    begin_call(kv, false, after_revision, wait_ms, done, user);
}

static const nm_kv_vtable_t vtable = {.range = kv_range, .watch = kv_watch};

static void
end_call(slow_kv_t *kv, int rc, nm_ms_t now_ms)
{
    enum { ITEMS_MAX = 64 };
    nm_store_kv_t items[ITEMS_MAX] = {0};
    static uint8_t value[VALUE_BYTES];
    nm_kv_result_t result = {.rc = rc, .revision = kv->newest};
    uint64_t bytes = (uint64_t)kv->items * VALUE_BYTES;
    bool began = kv->ends_ms > 0;
    if (rc == NM_OK) {
        g_assert_cmpuint(kv->items, <=, ITEMS_MAX);
        for (uint32_t i = 0; i < kv->items; i++) {
            items[i] = (nm_store_kv_t){.key = (char *)"p/a",
                                       .value = value,
                                       .value_bytes = VALUE_BYTES,
                                       .mod_revision =
                                           kv->newest - kv->items + 1 + i};
        }
        result.items = items;
        result.item_count = kv->items;
        result.transfer.bytes = bytes;
        result.transfer.first_byte_ms =
            kv->ends_ms - kv->sent_ms - (nm_ms_t)(bytes / BYTES_PER_MS);
        kv->received_bytes += now_ms > CUT_AT_MS ? bytes : 0;
    }
    result.transfer.total_bytes = began ? bytes : 0;
    kv->failed_bytes += rc != NM_OK && began ? bytes : 0;
    nm_kv_done_fn done = kv->done;
    kv->done = NULL;
    done(kv->user, &result);
}

static void
run_kv(slow_kv_t *kv, nm_ms_t now_ms)
{
    if (!kv->done) {
        return;
    }
    if (is_cut(kv, now_ms)) {
        nm_ms_t since_ms = MAX(kv->sent_ms, CUT_AT_MS);
        if (now_ms - since_ms >= FAILURE_MS) {
            end_call(kv, kv->ends_ms > 0 ? NM_ERR_LOST : NM_ERR_UNAVAILABLE,
                     now_ms);
        }
        return;
    }
    if (kv->ends_ms == 0) {
        kv->newest = revision_at(kv, now_ms);
        kv->items = kv->is_list ? 1 : (uint32_t)(kv->newest - kv->after);
        bool waits = kv->items == 0 && now_ms - kv->sent_ms < kv->wait_ms;
        kv->ends_ms =
            waits ? 0
                  : now_ms + (nm_ms_t)kv->items * VALUE_BYTES / BYTES_PER_MS;
    }
    if (kv->ends_ms > 0 && now_ms >= kv->ends_ms) {
        end_call(kv, NM_OK, now_ms);
    }
}

static void
on_item(void *user, const nm_store_kv_t *item)
{
    lag_test_t *test = user;
    g_assert_cmpint(item->mod_revision, >, test->delivered);
    test->delivered = item->mod_revision;
    test->deliveries++;
}

static void
tick(lag_test_t *test, nm_feed_t *feed)
{
    test->clock.manual_ms += TICK_MS;
    run_kv(&test->kv, test->clock.manual_ms);
    nm_feed_tick(feed, test->clock.manual_ms);
}

static void
open_feed(lag_test_t *test, nm_feed_t *feed)
{
    nm_clock_init_manual(&test->clock, BEGIN_MS);
    test->kv.base.vtable = &vtable;
    test->kv.clock = &test->clock;
    nm_feed_open(feed, &(nm_feed_desc_t){.kv = &test->kv.base,
                                         .clock = &test->clock,
                                         .prefix = "p/",
                                         .on_item = on_item,
                                         .wait_ms = WAIT_MS,
                                         .confirms_changes = true,
                                         .user = test});
}

static void
close_feed(lag_test_t *test, nm_feed_t *feed)
{
    nm_feed_close(feed);
    if (test->kv.done) {
        end_call(&test->kv, NM_ERR_UNAVAILABLE, test->clock.manual_ms);
    }
}

/*
 * After a cut the feed receives the newest value at once, and not the longer
 * history that a watch from its last revision would return.
 */
static void
test_catching_up_costs_one_value(void)
{
    enum {
        /* A try that fails at the end of the cut, its pause, and the value. */
        CATCH_UP_MAX_MS =
            FAILURE_MS + 800 + VALUE_BYTES / BYTES_PER_MS + CHANGE_INTERVAL_MS,
        /* That value, and the one that came while it was transferred. */
        CATCH_UP_MAX_BYTES = 2 * VALUE_BYTES,
    };
    static const nm_ms_t cuts_ms[] = {700, 2000, 4000, 8000, 16000};
    for (size_t i = 0; i < NM_COUNT_OF(cuts_ms); i++) {
        g_test_message("cut of %d ms", (int)cuts_ms[i]);
        lag_test_t test = {.kv = {.change_interval_ms = CHANGE_INTERVAL_MS}};
        test.kv.cut_until_ms = CUT_AT_MS + cuts_ms[i];
        nm_feed_t feed = {0};
        open_feed(&test, &feed);
        while (test.clock.manual_ms < test.kv.cut_until_ms) {
            tick(&test, &feed);
        }
        int64_t newest = revision_at(&test.kv, test.clock.manual_ms);
        uint32_t deliveries = test.deliveries;
        test.kv.received_bytes = 0;
        while (test.delivered < newest &&
               test.clock.manual_ms < test.kv.cut_until_ms + 60000)
        {
            tick(&test, &feed);
        }
        g_assert_cmpint(test.clock.manual_ms - test.kv.cut_until_ms, <=,
                        CATCH_UP_MAX_MS);
        g_assert_cmpuint(test.kv.received_bytes, <=, CATCH_UP_MAX_BYTES);
        g_assert_cmpuint(test.kv.failed_bytes, <=, VALUE_BYTES);
        g_assert_cmpuint(test.deliveries - deliveries, <=, 2);
        close_feed(&test, &feed);
    }
}

/* The link takes fewer values than are written: each one read is the newest.
 */
static void
test_slow_link_skips_versions(void)
{
    enum {
        RUN_MS = 30000,
        /* The value in flight, and the next one. */
        LAG_MAX_MS = 2 * VALUE_BYTES / BYTES_PER_MS + 500,
    };
    static const nm_ms_t intervals_ms[] = {100, 400, 900};
    for (size_t i = 0; i < NM_COUNT_OF(intervals_ms); i++) {
        g_test_message("a change each %d ms", (int)intervals_ms[i]);
        lag_test_t test = {.kv = {.change_interval_ms = intervals_ms[i]}};
        nm_feed_t feed = {0};
        open_feed(&test, &feed);
        nm_ms_t lag_max_ms = 0;
        while (test.clock.manual_ms < BEGIN_MS + RUN_MS) {
            tick(&test, &feed);
            nm_ms_t since_ms = test.clock.manual_ms - BEGIN_MS -
                               test.delivered * intervals_ms[i];
            /* While the rate is learnt, a response may have more versions. */
            if (test.clock.manual_ms > BEGIN_MS + RUN_MS / 2) {
                lag_max_ms = MAX(lag_max_ms, since_ms);
            }
        }
        g_assert_cmpint(lag_max_ms, <=, LAG_MAX_MS);
        close_feed(&test, &feed);
    }
}

/*
 * The link is just fast enough: a listing that brings nothing new would take
 * the time that the next version needs.
 */
static void
test_steady_changes_are_received_once(void)
{
    enum {
        RUN_MS = 40000,
        /* The transfer, and a watch that confirms the value before. */
        LAG_MAX_MS = VALUE_BYTES / BYTES_PER_MS + 300,
    };
    static const nm_ms_t intervals_ms[] = {1100, 1150, 1250, 1500, 3000};
    for (size_t i = 0; i < NM_COUNT_OF(intervals_ms); i++) {
        g_test_message("a change each %d ms", (int)intervals_ms[i]);
        lag_test_t test = {.kv = {.change_interval_ms = intervals_ms[i]}};
        nm_feed_t feed = {0};
        open_feed(&test, &feed);
        nm_ms_t lag_max_ms = 0;
        while (test.clock.manual_ms < BEGIN_MS + RUN_MS) {
            tick(&test, &feed);
            if (test.clock.manual_ms > BEGIN_MS + RUN_MS / 2) {
                lag_max_ms =
                    MAX(lag_max_ms, test.clock.manual_ms - BEGIN_MS -
                                        test.delivered * intervals_ms[i]);
            }
        }
        g_assert_cmpint(lag_max_ms, <=, LAG_MAX_MS);
        close_feed(&test, &feed);
    }
}

/* A value that has not changed is not received again after a cut. */
static void
test_quiet_key_is_not_listed_again(void)
{
    lag_test_t test = {.kv = {.change_interval_ms = 100000,
                              .cut_until_ms = CUT_AT_MS + 3000}};
    nm_feed_t feed = {0};
    open_feed(&test, &feed);
    while (test.clock.manual_ms < test.kv.cut_until_ms + 10000) {
        tick(&test, &feed);
    }
    g_assert_cmpuint(test.kv.received_bytes, ==, 0);
    close_feed(&test, &feed);
}

/* The age is never less than the time since the newest undelivered change. */
static void
test_age_covers_undelivered_changes(void)
{
    static const nm_ms_t intervals_ms[] = {300, 1200, 4000, 9000};
    for (size_t i = 0; i < NM_COUNT_OF(intervals_ms); i++) {
        lag_test_t test = {.kv = {.change_interval_ms = intervals_ms[i],
                                  .cut_until_ms = CUT_AT_MS + 5000}};
        nm_feed_t feed = {0};
        open_feed(&test, &feed);
        g_assert_cmpint(nm_feed_age_ms(&feed), ==, NM_MS_NEVER);
        nm_ms_t quiet_age_max_ms = 0;
        while (test.clock.manual_ms < test.kv.cut_until_ms + 20000) {
            tick(&test, &feed);
            /* When the oldest change that is not delivered was made. */
            nm_ms_t missed_ms =
                BEGIN_MS + test.delivered * test.kv.change_interval_ms;
            if (test.delivered > 0 && missed_ms < test.clock.manual_ms) {
                g_assert_cmpint(nm_feed_age_ms(&feed), >=,
                                test.clock.manual_ms - missed_ms);
            }
            if (test.clock.manual_ms < CUT_AT_MS && test.delivered > 0) {
                quiet_age_max_ms =
                    MAX(quiet_age_max_ms, nm_feed_age_ms(&feed));
            }
        }
        if (intervals_ms[i] > CUT_AT_MS - BEGIN_MS) {
            g_assert_cmpint(quiet_age_max_ms, <=, WAIT_MS + 2 * TICK_MS);
        }
        close_feed(&test, &feed);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    g_test_add_func("/feed-lag/catching-up-costs-one-value",
                    test_catching_up_costs_one_value);
    g_test_add_func("/feed-lag/slow-link-skips-versions",
                    test_slow_link_skips_versions);
    g_test_add_func("/feed-lag/steady-changes-are-received-once",
                    test_steady_changes_are_received_once);
    g_test_add_func("/feed-lag/quiet-key-is-not-listed-again",
                    test_quiet_key_is_not_listed_again);
    g_test_add_func("/feed-lag/age-covers-undelivered-changes",
                    test_age_covers_undelivered_changes);
    return g_test_run();
}
