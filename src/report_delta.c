#include "report_delta.h"

#include <assert.h>
#include <string.h>

/* What was not asked for that long is forgotten; its next report is whole. */
#define CACHE_TTL_MS 30000
#define EVICT_INTERVAL_MS 10000

/* The last report of a worker. */
typedef struct {
    uint64_t number;
    int64_t incarnation;
    GArray *running; /* of nm_worker_run_t */
    nm_ms_t used_ms;
} cached_report_t;

static void
free_cached_report(gpointer data)
{
    cached_report_t *last = data;
    g_array_free(last->running, TRUE);
    g_free(last);
}

void
nm_report_encoder_init(nm_report_encoder_t *encoder)
{
    assert(encoder);
    *encoder = (nm_report_encoder_t){0};
    encoder->workers = g_hash_table_new_full(g_str_hash, g_str_equal, g_free,
                                             free_cached_report);
    /* Numbers of an earlier incarnation of this host must not meet ours. */
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
    cached_report_t *last = g_hash_table_lookup(encoder->workers, worker);
    if (!last) {
        last = g_new0(cached_report_t, 1);
        last->running = g_array_new(FALSE, FALSE, sizeof(nm_worker_run_t));
        g_hash_table_insert(encoder->workers, g_strdup(worker), last);
    }
    last->used_ms = now_ms;
    return last;
}

static bool
same_run(const nm_worker_run_t *a, const nm_worker_run_t *b)
{
    return a->run == b->run && strcmp(a->task, b->task) == 0;
}

/* Position of a run in a report, or -1; workers mostly keep their order. */
static int64_t
find_run(const nm_worker_report_t *report, const nm_worker_run_t *run,
         uint32_t hint)
{
    uint32_t count = report->running_count;
    for (uint32_t i = 0; i < count; i++) {
        uint32_t at = (hint + i) % count;
        if (same_run(&report->running[at], run)) {
            return at;
        }
    }
    return -1;
}

static NmPb__WorkerRun *
encode_run(const nm_worker_run_t *run, bool known, uint32_t position)
{
    NmPb__WorkerRun *row = g_new(NmPb__WorkerRun, 1);
    nm_pb__worker_run__init(row);
    row->task = g_strdup(known ? "" : run->task);
    row->run = known ? 0 : run->run;
    row->checkpoint = g_strdup(run->checkpoint);
    row->position = position;
    return row;
}

static void
encode_ends(NmPb__WorkerReport *message, const nm_worker_report_t *report)
{
    message->n_ends = report->end_count;
    message->ends = g_new0(NmPb__WorkerEnd *, report->end_count + 1);
    for (uint32_t i = 0; i < report->end_count; i++) {
        NmPb__WorkerEnd *row = g_new(NmPb__WorkerEnd, 1);
        nm_pb__worker_end__init(row);
        row->number = report->ends[i].number;
        row->task = g_strdup(report->ends[i].task);
        row->run = report->ends[i].run;
        row->end = report->ends[i].end;
        row->checkpoint = g_strdup(report->ends[i].checkpoint);
        message->ends[i] = row;
    }
}

/*
 * Brings the remembered list to the report's state, in an order that the
 * owner's list has too: what is gone is taken out, what is new is appended.
 */
static void
encode_running(NmPb__WorkerReport *message, cached_report_t *last,
               const nm_worker_report_t *report)
{
    uint32_t before = last->running->len;
    bool *matched = g_new0(bool, report->running_count + 1);
    message->gone = g_new(uint32_t, before + 1);
    message->running =
        g_new0(NmPb__WorkerRun *, before + report->running_count + 1);
    guint kept = 0;
    for (uint32_t i = 0; i < before; i++) {
        nm_worker_run_t *known =
            &g_array_index(last->running, nm_worker_run_t, i);
        int64_t at = find_run(report, known, kept);
        if (at < 0 || matched[at]) {
            message->gone[message->n_gone++] = i;
            continue;
        }
        matched[at] = true;
        const nm_worker_run_t *run = &report->running[at];
        if (strcmp(known->checkpoint, run->checkpoint) != 0) {
            message->running[message->n_running++] =
                encode_run(run, true, kept);
        }
        g_array_index(last->running, nm_worker_run_t, kept++) = *run;
    }
    g_array_set_size(last->running, kept);
    for (uint32_t i = 0; i < report->running_count; i++) {
        if (!matched[i]) {
            message->running[message->n_running++] =
                encode_run(&report->running[i], false, last->running->len);
            g_array_append_val(last->running, report->running[i]);
        }
    }
    g_free(matched);
    message->n_figures = last->running->len;
    message->figures = g_new(int64_t, last->running->len + 1);
    for (guint i = 0; i < last->running->len; i++) {
        message->figures[i] =
            g_array_index(last->running, nm_worker_run_t, i).metric;
    }
}

NmPb__WorkerReport *
nm_report_encode(nm_report_encoder_t *encoder, const char *worker,
                 const nm_worker_report_t *report, uint64_t base,
                 nm_ms_t now_ms)
{
    assert(encoder && worker && report);
    evict_unused(encoder, now_ms);
    cached_report_t *last = get_cached_report(encoder, worker, now_ms);
    NmPb__WorkerReport *message = g_new(NmPb__WorkerReport, 1);
    nm_pb__worker_report__init(message);
    message->incarnation = report->incarnation;
    message->clock_ms = report->clock_ms;
    message->complete = report->complete;
    bool known = base != 0 && base == last->number &&
                 report->incarnation == last->incarnation;
    if (!known) {
        g_array_set_size(last->running, 0);
    }
    message->base_number = known ? base : 0;
    encode_running(message, last, report);
    encode_ends(message, report);
    last->number = ++encoder->number;
    last->incarnation = report->incarnation;
    message->number = last->number;
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
    g_array_free(view->running, TRUE);
}

/* Returns false if the positions do not fit. */
static bool
remove_runs(nm_report_view_t *view, const NmPb__WorkerReport *message)
{
    guint kept = 0;
    size_t next = 0;
    for (guint i = 0; i < view->running->len; i++) {
        if (next < message->n_gone && message->gone[next] == i) {
            next++;
            continue;
        }
        if (kept != i) {
            g_array_index(view->running, nm_worker_run_t, kept) =
                g_array_index(view->running, nm_worker_run_t, i);
        }
        kept++;
    }
    g_array_set_size(view->running, kept);
    return next == message->n_gone;
}

static bool
apply_run(nm_report_view_t *view, const NmPb__WorkerRun *row)
{
    nm_worker_run_t run = {.run = row->run};
    bool fits =
        nm_strcopy(run.task, sizeof(run.task), row->task) &&
        nm_strcopy(run.checkpoint, sizeof(run.checkpoint), row->checkpoint);
    if (row->task[0] != '\0') {
        g_array_append_val(view->running, run);
        return fits;
    }
    if (row->position >= view->running->len) {
        return false;
    }
    nm_worker_run_t *known =
        &g_array_index(view->running, nm_worker_run_t, row->position);
    memcpy(known->checkpoint, run.checkpoint, sizeof(known->checkpoint));
    return fits;
}

int
nm_report_apply(nm_report_view_t *view, const NmPb__WorkerReport *message)
{
    assert(view && message);
    bool fits =
        message->base_number == 0 || message->base_number == view->number;
    if (message->base_number == 0) {
        g_array_set_size(view->running, 0);
    }
    fits = fits && remove_runs(view, message);
    for (size_t i = 0; i < message->n_running && fits; i++) {
        fits = apply_run(view, message->running[i]);
    }
    if (!fits || message->n_figures != view->running->len) {
        g_array_set_size(view->running, 0);
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
