#include "report_delta.h"

#include <assert.h>
#include <string.h>

#include <nutmegdeck/reason.h>

/* A report that was not used for this long is evicted; the next is full. */
#define CACHE_TTL_MS 30000
#define EVICT_INTERVAL_MS 10000

/* The last report of a worker that was encoded for the owner. */
typedef struct {
    uint64_t number;
    int64_t incarnation; /* of the worker */
    GArray *running;     /* of nm_worker_run_t */
    nm_ms_t used_ms;
} cached_report_t;

/* Rows that are kept own their checkpoints. */
static nm_worker_run_t
copy_run(const nm_worker_run_t *run)
{
    nm_worker_run_t copy = *run;
    copy.checkpoint = g_strdup(run->checkpoint);
    return copy;
}

static void
clear_run(nm_worker_run_t *run)
{
    g_free((char *)run->checkpoint);
    run->checkpoint = NULL;
}

static void
clear_runs(GArray *runs)
{
    for (guint i = 0; i < runs->len; i++) {
        clear_run(&g_array_index(runs, nm_worker_run_t, i));
    }
    g_array_set_size(runs, 0);
}

static void
free_cached_report(gpointer data)
{
    cached_report_t *cached = data;
    clear_runs(cached->running);
    g_array_free(cached->running, TRUE);
    g_free(cached);
}

void
nm_report_encoder_init(nm_report_encoder_t *encoder)
{
    assert(encoder);
    *encoder = (nm_report_encoder_t){0};
    encoder->workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             free_cached_report);
    /* A random start keeps an earlier incarnation's numbers from matching. */
    encoder->number = (uint64_t)g_random_int() << 32;
}

void
nm_report_encoder_finish(nm_report_encoder_t *encoder)
{
    assert(encoder);
    g_hash_table_destroy(encoder->workers);
}

static void
evict_unused(nm_report_encoder_t *encoder, nm_ms_t now_ms)
{
    if (now_ms - encoder->evicted_ms < EVICT_INTERVAL_MS) {
        return;
    }
    encoder->evicted_ms = now_ms;
    GHashTableIter iter;
    gpointer value;
    g_hash_table_iter_init(&iter, encoder->workers);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        if (now_ms - ((cached_report_t *)value)->used_ms > CACHE_TTL_MS) {
            g_hash_table_iter_remove(&iter);
        }
    }
}

static cached_report_t *
get_cached_report(nm_report_encoder_t *encoder, const char *worker,
                  nm_ms_t now_ms)
{
    cached_report_t *cached = g_hash_table_lookup(encoder->workers, worker);
    if (!cached) {
        cached = g_new0(cached_report_t, 1);
        cached->running = g_array_new(FALSE, FALSE, sizeof(nm_worker_run_t));
        g_hash_table_insert(encoder->workers, g_strdup(worker), cached);
    }
    cached->used_ms = now_ms;
    return cached;
}

static bool
same_run(const nm_worker_run_t *a, const nm_worker_run_t *b)
{
    return a->run == b->run && strcmp(a->task, b->task) == 0;
}

/*
 * Returns the position of a run in a report, or -1.  Starts at a hint, as
 * workers mostly list their runs in the same order.
 */
static int64_t
find_run(const nm_worker_report_t *report, const nm_worker_run_t *run,
         uint32_t hint)
{
    uint32_t count = report->running_count;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t position = (hint + i) % count;
        if (same_run(&report->running[position], run)) {
            return position;
        }
    }
    return -1;
}

static NmPb__WorkerRun *
encode_run(const nm_worker_run_t *run, bool in_base, uint32_t position)
{
    NmPb__WorkerRun *row = g_new(NmPb__WorkerRun, 1);
    nm_pb__worker_run__init(row);
    row->task = g_strdup(in_base ? "" : run->task);
    row->run = in_base ? 0 : run->run;
    row->checkpoint = g_strdup(run->checkpoint ? run->checkpoint : "");
    row->checkpoint_hash = run->checkpoint_hash;
    row->position = position;
    return row;
}

static void
encode_ends(NmPb__WorkerReport *message, const nm_worker_report_t *report,
            const nm_report_base_t *base)
{
    bool known = report->complete && report->incarnation == base->incarnation;
    int64_t ends_known = known ? base->ends_known : 0;
    message->ends = g_new0(NmPb__WorkerEnd *, report->end_count + 1);
    for (uint32_t i = 0; i < report->end_count; i++) {
        if (report->ends[i].number <= ends_known) {
            continue;
        }
        NmPb__WorkerEnd *row = g_new(NmPb__WorkerEnd, 1);
        nm_pb__worker_end__init(row);
        row->number = report->ends[i].number;
        row->task = g_strdup(report->ends[i].task);
        row->run = report->ends[i].run;
        row->end = report->ends[i].end;
        const char *checkpoint = report->ends[i].checkpoint;
        row->checkpoint = g_strdup(checkpoint ? checkpoint : "");
        message->ends[message->n_ends++] = row;
    }
}

/*
 * Updates the cached list to the report, in the order that the owner's list
 * has: removed runs are taken out, and new runs are appended.
 */
static void
encode_running(NmPb__WorkerReport *message, cached_report_t *cached,
               const nm_worker_report_t *report)
{
    uint32_t previous_count = cached->running->len;
    bool *matched = g_new0(bool, report->running_count + 1);
    message->gone = g_new(uint32_t, previous_count + 1);
    message->running =
        g_new0(NmPb__WorkerRun *, previous_count + report->running_count + 1);
    guint kept = 0;
    for (uint32_t i = 0; i < previous_count; i++) {
        nm_worker_run_t *known =
            &g_array_index(cached->running, nm_worker_run_t, i);
        int64_t position = find_run(report, known, kept);
        if (position < 0 || matched[position]) {
            message->gone[message->n_gone++] = i;
            clear_run(known);
            continue;
        }
        matched[position] = true;
        const nm_worker_run_t *run = &report->running[position];
        if (known->checkpoint_hash != run->checkpoint_hash ||
            g_strcmp0(known->checkpoint, run->checkpoint) != 0)
        {
            message->running[message->n_running++] =
                encode_run(run, true, kept);
            clear_run(known);
            *known = copy_run(run);
        }
        known->metric = run->metric;
        g_array_index(cached->running, nm_worker_run_t, kept++) = *known;
    }
    g_array_set_size(cached->running, kept);
    for (uint32_t i = 0; i < report->running_count; i++) {
        if (!matched[i]) {
            message->running[message->n_running++] =
                encode_run(&report->running[i], false, cached->running->len);
            nm_worker_run_t copy = copy_run(&report->running[i]);
            g_array_append_val(cached->running, copy);
        }
    }
    g_free(matched);
    message->n_figures = cached->running->len;
    message->figures = g_new(int64_t, cached->running->len + 1);
    for (guint i = 0; i < cached->running->len; i++) {
        message->figures[i] =
            g_array_index(cached->running, nm_worker_run_t, i).metric;
    }
}

NmPb__WorkerReport *
nm_report_encode(nm_report_encoder_t *encoder, const char *worker,
                 const nm_worker_report_t *report,
                 const nm_report_base_t *base, nm_ms_t now_ms)
{
    assert(encoder && worker && report && base);
    evict_unused(encoder, now_ms);
    cached_report_t *cached = get_cached_report(encoder, worker, now_ms);
    NmPb__WorkerReport *message = g_new(NmPb__WorkerReport, 1);
    nm_pb__worker_report__init(message);
    message->incarnation = report->incarnation;
    message->clock_ms = report->clock_ms;
    message->complete = report->complete;
    message->end_unread = report->end_unread;
    bool is_delta = base->number != 0 && base->number == cached->number &&
                    report->incarnation == cached->incarnation;
    if (!is_delta) {
        clear_runs(cached->running);
    }
    message->base_number = is_delta ? base->number : 0;
    encode_running(message, cached, report);
    encode_ends(message, report, base);
    cached->number = ++encoder->number;
    cached->incarnation = report->incarnation;
    message->number = cached->number;
    return message;
}

void
nm_report_message_free(NmPb__WorkerReport *message)
{
    if (!message) {
        return;
    }
    for (size_t i = 0; i < message->n_running; i++) {
        g_free(message->running[i]->task);
        g_free(message->running[i]->checkpoint);
        g_free(message->running[i]);
    }
    for (size_t i = 0; i < message->n_ends; i++) {
        g_free(message->ends[i]->task);
        g_free(message->ends[i]->checkpoint);
        g_free(message->ends[i]);
    }
    g_free(message->running);
    g_free(message->ends);
    g_free(message->gone);
    g_free(message->figures);
    g_free(message);
}

void
nm_report_view_init(nm_report_view_t *view)
{
    assert(view);
    *view = (nm_report_view_t){0};
    view->running = g_array_new(FALSE, TRUE, sizeof(nm_worker_run_t));
}

void
nm_report_view_finish(nm_report_view_t *view)
{
    assert(view);
    clear_runs(view->running);
    g_array_free(view->running, TRUE);
}

/* Returns false if the positions in `gone` are not rising or not in range. */
static bool
remove_runs(nm_report_view_t *view, const NmPb__WorkerReport *message)
{
    guint kept = 0;
    size_t removed_index = 0;
    for (guint i = 0; i < view->running->len; i++) {
        if (removed_index < message->n_gone &&
            message->gone[removed_index] == i) {
            removed_index++;
            clear_run(&g_array_index(view->running, nm_worker_run_t, i));
            continue;
        }
        if (kept != i) {
            g_array_index(view->running, nm_worker_run_t, kept) =
                g_array_index(view->running, nm_worker_run_t, i);
        }
        kept++;
    }
    g_array_set_size(view->running, kept);
    return removed_index == message->n_gone;
}

static bool
apply_run(nm_report_view_t *view, const NmPb__WorkerRun *row)
{
    nm_worker_run_t *known = NULL;
    nm_worker_run_t run = {.run = row->run};
    bool valid = nm_strcopy(run.task, sizeof(run.task), row->task);
    if (row->task[0] != '\0') {
        g_array_append_val(view->running, run);
        known = &g_array_index(view->running, nm_worker_run_t,
                               view->running->len - 1);
    }
    else if (row->position < view->running->len) {
        known = &g_array_index(view->running, nm_worker_run_t, row->position);
    }
    if (!known) {
        return false;
    }
    clear_run(known);
    known->checkpoint =
        row->checkpoint[0] != '\0' ? g_strdup(row->checkpoint) : NULL;
    known->checkpoint_hash = row->checkpoint_hash;
    return valid;
}

int
nm_report_apply(nm_report_view_t *view, const NmPb__WorkerReport *message)
{
    assert(view && message);
    bool valid =
        message->base_number == 0 || message->base_number == view->number;
    if (message->base_number == 0) {
        clear_runs(view->running);
    }
    valid = valid && remove_runs(view, message);
    for (size_t i = 0; i < message->n_running && valid; i++) {
        valid = apply_run(view, message->running[i]);
    }
    if (!valid || message->n_figures != view->running->len) {
        clear_runs(view->running);
        view->number = 0;
        return NM_ERR_CORRUPT;
    }
    for (guint i = 0; i < view->running->len; i++) {
        g_array_index(view->running, nm_worker_run_t, i).metric =
            message->figures[i];
    }
    view->number = message->number;
    return NM_OK;
}

void
nm_report_decode_ends(const NmPb__WorkerReport *message, GArray *ends)
{
    assert(message && ends);
    g_array_set_size(ends, 0);
    for (size_t i = 0; i < message->n_ends; i++) {
        const NmPb__WorkerEnd *row = message->ends[i];
        nm_count(NM_COUNTER_END_BYTES_IN,
                 nm_pb__worker_end__get_packed_size(row));
        nm_worker_end_t end = {.number = row->number,
                               .run = row->run,
                               .end =
                                   (nm_end_t)MIN(row->end, NM_END_COUNT - 1)};
        nm_strcopy(end.task, sizeof(end.task), row->task);
        end.checkpoint = row->checkpoint[0] != '\0' ? row->checkpoint : NULL;
        g_array_append_val(ends, end);
    }
}
