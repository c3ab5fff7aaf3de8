/* Delta encoding of reports: the owner's view equals the worker's report. */
#include <string.h>

#include <nutmegdeck/reason.h>

#include "../src/report_delta.h"

#define RUNS_MAX 12
#define ENDS 4

static const nm_report_base_t no_base;

typedef struct {
    nm_worker_run_t rows[RUNS_MAX];
    uint32_t count;
    int64_t incarnation;
    uint32_t next_task;
} worker_t;

static void
worker_start_run(worker_t *worker)
{
    nm_worker_run_t row = {.run = 1 + worker->next_task % 3};
    g_snprintf(row.task, sizeof(row.task), "5c0e7a21d94b36f8.0.0.%u",
               worker->next_task++);
    worker->rows[worker->count++] = row;
}

/* Applies one random change between two polls. */
static void
worker_change(worker_t *worker, nm_rng_t *rng)
{
    uint32_t index =
        worker->count > 0 ? (uint32_t)nm_rng_below(rng, worker->count) : 0;
    nm_worker_run_t *row = &worker->rows[index];
    char text[20];
    switch (nm_rng_below(rng, 5)) {
    case 0:
        if (worker->count < RUNS_MAX) {
            worker_start_run(worker);
        }
        break;
    case 1:
        if (worker->count > 0) {
            /* Changes the order of the rows. */
            *row = worker->rows[--worker->count];
        }
        break;
    case 2:
        g_snprintf(text, sizeof(text), "%016x",
                   (unsigned int)nm_rng_below(rng, 1000));
        row->checkpoint = g_intern_string(text);
        row->checkpoint_hash = nm_rng_below(rng, 3);
        break;
    case 3:
        row->metric = (int64_t)nm_rng_below(rng, 90);
        break;
    default:
        if (nm_rng_below(rng, 20) == 0) {
            worker->incarnation++;
            worker->count = 0;
        }
        break;
    }
}

static nm_worker_report_t
worker_report(const worker_t *worker)
{
    return (nm_worker_report_t){.result = NM_ORDER_DONE,
                                .incarnation = worker->incarnation,
                                .clock_ms = 5,
                                .complete = true,
                                .running = worker->rows,
                                .running_count = worker->count};
}

static void
assert_view_matches(const worker_t *worker, const nm_report_view_t *view)
{
    g_assert_cmpuint(view->running->len, ==, worker->count);
    for (uint32_t i = 0; i < worker->count; i++) {
        const nm_worker_run_t *row = &worker->rows[i];
        bool found = false;
        for (guint v = 0; v < view->running->len && !found; v++) {
            const nm_worker_run_t *seen =
                &g_array_index(view->running, nm_worker_run_t, v);
            found = strcmp(seen->task, row->task) == 0 &&
                    seen->run == row->run && seen->metric == row->metric &&
                    seen->checkpoint_hash == row->checkpoint_hash &&
                    g_strcmp0(seen->checkpoint, row->checkpoint) == 0;
        }
        g_assert_true(found);
    }
}

/*
 * Passes a message through its encoded form, so that fields that are not
 * encoded are lost.
 */
static NmPb__WorkerReport *
encode_and_decode(NmPb__WorkerReport *message)
{
    size_t bytes = nm_pb__worker_report__get_packed_size(message);
    uint8_t *data = g_malloc(bytes + 1);
    nm_pb__worker_report__pack(message, data);
    nm_report_message_free(message);
    NmPb__WorkerReport *decoded =
        nm_pb__worker_report__unpack(NULL, bytes, data);
    g_free(data);
    g_assert_nonnull(decoded);
    return decoded;
}

/*
 * Load: polls whose responses are lost, workers that restart, and two carriers
 * that take turns, so that the report that a carrier has cached is often not
 * the one that the owner has.
 */
static void
test_view_matches_worker_report(void)
{
    enum { SEEDS = 50, POLLS = 400 };
    for (uint64_t seed = 1; seed <= SEEDS; seed++) {
        nm_rng_t rng;
        nm_rng_init(&rng, seed);
        worker_t worker = {.incarnation = 1};
        nm_report_encoder_t carriers[2];
        nm_report_encoder_init(&carriers[0]);
        nm_report_encoder_init(&carriers[1]);
        nm_report_view_t view;
        nm_report_view_init(&view);
        uint32_t carrier = 0;
        uint32_t deltas = 0;
        for (nm_ms_t now_ms = 1000; now_ms < 1000 + POLLS; now_ms++) {
            memset(&worker.rows[worker.count], 0,
                   (RUNS_MAX - worker.count) * sizeof(worker.rows[0]));
            for (uint64_t n = nm_rng_below(&rng, 4); n > 0; n--) {
                worker_change(&worker, &rng);
            }
            if (nm_rng_below(&rng, 30) == 0) {
                carrier = 1 - carrier;
            }
            nm_worker_report_t report = worker_report(&worker);
            nm_report_base_t base = {.number = view.number};
            NmPb__WorkerReport *message = encode_and_decode(nm_report_encode(
                &carriers[carrier], "w", &report, &base, now_ms));
            if (nm_rng_below(&rng, 10) > 0) {
                deltas += message->base_number != 0;
                g_assert_cmpint(nm_report_apply(&view, message), ==, NM_OK);
                assert_view_matches(&worker, &view);
            }
            nm_pb__worker_report__free_unpacked(message, NULL);
        }
        g_assert_cmpuint(deltas, >, POLLS / 2);
        nm_report_view_finish(&view);
        nm_report_encoder_finish(&carriers[0]);
        nm_report_encoder_finish(&carriers[1]);
    }
}

/*
 * A delta that does not fit the view must be refused and clear the view, so
 * that the next poll requests a full report.
 */
static void
test_inconsistent_deltas_are_refused(void)
{
    static uint32_t out_of_range[] = {7};
    static int64_t metrics[] = {1, 2};
    static char task[] = "";
    static char checkpoint[] = "x";
    NmPb__WorkerRun row = NM_PB__WORKER_RUN__INIT;
    row.task = task;
    row.checkpoint = checkpoint;
    row.position = 9;
    NmPb__WorkerRun *rows[] = {&row};
    enum { BASE, GONE, METRICS, POSITION, CASES };
    for (int i = 0; i < CASES; i++) {
        g_test_message("case %d", i);
        worker_t worker = {.incarnation = 1};
        worker_start_run(&worker);
        nm_report_encoder_t encoder;
        nm_report_encoder_init(&encoder);
        nm_report_view_t view;
        nm_report_view_init(&view);
        nm_worker_report_t report = worker_report(&worker);
        NmPb__WorkerReport *full_report =
            nm_report_encode(&encoder, "w", &report, &no_base, 1000);
        g_assert_cmpint(nm_report_apply(&view, full_report), ==, NM_OK);
        NmPb__WorkerReport message = NM_PB__WORKER_REPORT__INIT;
        message.base_number = i == BASE ? view.number + 1 : view.number;
        message.figures = metrics;
        message.n_figures = i == METRICS ? 2 : 1;
        message.gone = out_of_range;
        message.n_gone = i == GONE ? 1 : 0;
        message.running = rows;
        message.n_running = i == POSITION ? 1 : 0;
        g_assert_cmpint(nm_report_apply(&view, &message), ==, NM_ERR_CORRUPT);
        g_assert_cmpuint(view.number, ==, 0);
        g_assert_cmpuint(view.running->len, ==, 0);
        nm_report_message_free(full_report);
        nm_report_view_finish(&view);
        nm_report_encoder_finish(&encoder);
    }
}

/*
 * Load: a worker lists its ends for seconds, until the owner has stored them;
 * each is to cross the owner's link once.  None may be left out that the owner
 * has not processed.
 */
static void
test_known_ends_are_left_out(void)
{
    static const struct {
        const char *name;
        int64_t incarnation; /* in the poll; the worker's is 2 */
        int64_t ends_known;
        bool complete;
        uint32_t count; /* of ends 3 to 6 */
    } cases[] = {
        {"first poll", 2, 0, true, 4},
        {"before the listed ones", 2, 2, true, 4},
        {"two processed", 2, 4, true, 2},
        {"all processed", 2, 6, true, 0},
        {"of an incarnation before", 1, 4, true, 4},
        {"of a later incarnation", 3, 4, true, 4},
        {"more ends than are listed", 2, 4, false, 4},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_worker_end_t ends[ENDS];
        for (uint32_t n = 0; n < ENDS; n++) {
            ends[n] = (nm_worker_end_t){
                .number = 3 + n, .task = "5c0e7a21d94b36f8.0.0.0", .run = n};
        }
        nm_report_encoder_t encoder;
        nm_report_encoder_init(&encoder);
        nm_worker_report_t report = {.incarnation = 2,
                                     .complete = cases[i].complete,
                                     .ends = ends,
                                     .end_count = ENDS};
        nm_report_base_t base = {.incarnation = cases[i].incarnation,
                                 .ends_known = cases[i].ends_known};
        NmPb__WorkerReport *message = encode_and_decode(
            nm_report_encode(&encoder, "w", &report, &base, 1000));
        GArray *decoded = g_array_new(FALSE, FALSE, sizeof(nm_worker_end_t));
        uint64_t bytes = nm_counter_value(NM_COUNTER_END_BYTES_IN);
        nm_report_decode_ends(message, decoded);
        bytes = nm_counter_value(NM_COUNTER_END_BYTES_IN) - bytes;
        size_t list_bytes = nm_pb__worker_report__get_packed_size(message);
        g_assert_cmpuint(bytes, <=, list_bytes);
        g_assert_true((bytes > 0) == (cases[i].count > 0));
        g_assert_cmpuint(decoded->len, ==, cases[i].count);
        for (guint n = 0; n < decoded->len; n++) {
            g_assert_cmpint(g_array_index(decoded, nm_worker_end_t, n).number,
                            ==, 3 + ENDS - (int64_t)decoded->len + n);
        }
        g_assert_cmpint(message->complete, ==, cases[i].complete);
        g_array_free(decoded, TRUE);
        nm_pb__worker_report__free_unpacked(message, NULL);
        nm_report_encoder_finish(&encoder);
    }
}

/* A carrier must evict the reports of workers that are no longer polled. */
static void
test_encoder_cache_is_bounded(void)
{
    nm_report_encoder_t encoder;
    nm_report_encoder_init(&encoder);
    worker_t worker = {.incarnation = 1};
    worker_start_run(&worker);
    nm_worker_report_t report = worker_report(&worker);
    for (uint32_t i = 0; i < 1000; i++) {
        char id[16];
        g_snprintf(id, sizeof(id), "w%u", i);
        nm_report_message_free(
            nm_report_encode(&encoder, id, &report, &no_base, 1000 + i * 100));
    }
    /*
     * One worker every 100 ms, over the 30 s that a report is kept and the
     * 10 s between two evictions.
     */
    g_assert_cmpuint(g_hash_table_size(encoder.workers), <=, 401);
    nm_report_encoder_finish(&encoder);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/report-delta/view-matches-worker-report",
                    test_view_matches_worker_report);
    g_test_add_func("/report-delta/inconsistent-deltas-are-refused",
                    test_inconsistent_deltas_are_refused);
    g_test_add_func("/report-delta/known-ends-are-left-out",
                    test_known_ends_are_left_out);
    g_test_add_func("/report-delta/encoder-cache-is-bounded",
                    test_encoder_cache_is_bounded);
    return g_test_run();
}
