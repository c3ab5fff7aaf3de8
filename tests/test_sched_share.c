/*
 * Tests of shares by size: in an overload, no size of job may be admitted less
 * than half as often as all jobs.
 */
#include <glib.h>

#include "../src/sched_share.h"

/* The rules, for the largest tenth of the jobs and the fifth below it. */
#define ADMITTED_PART_MIN 0.5
#define SIZE_COUNT 4
/* An idle job waits for this long at most while the room is reserved. */
#define SIZE_WAIT_MS_MAX 10000

typedef struct {
    const char *name;
    int64_t core_ms[SIZE_COUNT];
    uint32_t arrivals[SIZE_COUNT]; /* in 100 ms */
    double room;                   /* as a part of the work that arrives */
} load_t;

static const load_t loads[] = {
    {"even", {1000, 2000, 4000, 8000}, {2, 2, 2, 2}, 0.5},
    {"few-large", {1000, 3000, 20000, 100000}, {6, 4, 2, 1}, 0.5},
    {"scarce", {1000, 3000, 20000, 100000}, {6, 4, 2, 1}, 0.3},
    {"very-large", {500, 600, 700, 5000000}, {4, 4, 4, 1}, 0.7},
    {"very-large-scarce", {500, 1200, 2600, 5000000}, {4, 4, 4, 1}, 0.3},
};

typedef struct {
    uint32_t waiting[SIZE_COUNT];
    uint32_t arrived[SIZE_COUNT];
    uint32_t admitted[SIZE_COUNT];
    nm_ms_t waiting_since_ms[SIZE_COUNT]; /* with none admitted */
} counts_t;

/* Returns the size that starts next: one that is behind, else the smallest. */
static int
next_size(const nm_share_t *share, const load_t *load, const counts_t *counts)
{
    int smallest = -1;
    for (int i = SIZE_COUNT - 1; i >= 0; i--) {
        if (counts->waiting[i] > 0) {
            if (nm_share_is_behind(share, load->core_ms[i])) {
                return i;
            }
            smallest = i;
        }
    }
    return smallest;
}

static void
test_overload_admits_each_size(gconstpointer data)
{
    const load_t *load = data;
    nm_share_t share = {0};
    counts_t counts = {0};
    double room_core_ms = 0;
    for (nm_ms_t now_ms = 0; now_ms < 60000; now_ms += 100) {
        for (int i = 0; i < SIZE_COUNT; i++) {
            for (uint32_t n = 0; n < load->arrivals[i]; n++) {
                nm_share_count_arrival(&share, load->core_ms[i], now_ms);
                counts.waiting[i]++;
                counts.arrived[i]++;
                room_core_ms += load->room * (double)load->core_ms[i];
            }
        }
        int size = next_size(&share, load, &counts);
        while (size >= 0 && room_core_ms > 0) {
            nm_share_count_admission(&share, load->core_ms[size]);
            room_core_ms -= (double)load->core_ms[size];
            counts.waiting[size]--;
            counts.admitted[size]++;
            counts.waiting_since_ms[size] = now_ms;
            size = next_size(&share, load, &counts);
        }
        for (int i = 0; i < SIZE_COUNT; i++) {
            g_assert_cmpint(now_ms - counts.waiting_since_ms[i], <=,
                            SIZE_WAIT_MS_MAX);
        }
    }
    double arrived = 0;
    double admitted = 0;
    for (int i = 0; i < SIZE_COUNT; i++) {
        arrived += counts.arrived[i];
        admitted += counts.admitted[i];
    }
    for (int i = 0; i < SIZE_COUNT; i++) {
        double part = (double)counts.admitted[i] / counts.arrived[i];
        g_assert_cmpfloat(part, >=, ADMITTED_PART_MIN * admitted / arrived);
    }
}

/* A burst that is long past says nothing about the jobs of now. */
static void
test_old_jobs_are_forgotten(void)
{
    nm_share_t share = {0};
    for (int i = 0; i < 1000; i++) {
        nm_share_count_arrival(&share, 1000, 0);
        nm_share_count_admission(&share, 1000);
        nm_share_count_arrival(&share, 100000, 0);
    }
    g_assert_true(nm_share_is_behind(&share, 100000));
    for (int i = 0; i < 10; i++) {
        nm_share_count_arrival(&share, 1000, 600000);
        nm_share_count_admission(&share, 1000);
        nm_share_count_arrival(&share, 100000, 600000);
        nm_share_count_admission(&share, 100000);
    }
    g_assert_false(nm_share_is_behind(&share, 100000));
}

static void
test_sizes_at_the_limits(void)
{
    static const int64_t sizes[] = {INT64_MIN, -1, 0, 1, INT64_MAX};
    for (size_t i = 0; i < G_N_ELEMENTS(sizes); i++) {
        nm_share_t share = {0};
        g_assert_false(nm_share_is_behind(&share, sizes[i]));
        nm_share_count_arrival(&share, sizes[i], 0);
        g_assert_false(nm_share_is_behind(&share, sizes[i]));
        nm_share_count_admission(&share, sizes[i]);
        g_assert_false(nm_share_is_behind(&share, sizes[i]));
        nm_share_count_arrival(&share, 5000, 0);
        g_assert_true(nm_share_is_behind(&share, 5000));
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_set_nonfatal_assertions(); /* the next tests still run */
    for (size_t i = 0; i < G_N_ELEMENTS(loads); i++) {
        char path[64];
        g_snprintf(path, sizeof(path), "/share/overload-admits-each-size/%s",
                   loads[i].name);
        g_test_add_data_func(path, &loads[i], test_overload_admits_each_size);
    }
    g_test_add_func("/share/old-jobs-are-forgotten",
                    test_old_jobs_are_forgotten);
    g_test_add_func("/share/sizes-at-the-limits", test_sizes_at_the_limits);
    return g_test_run();
}
