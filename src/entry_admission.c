/*
 * Admission at the entry hosts: the owner computes which new jobs are refused
 * and tells the other hosts, as requests arrive at any of them.
 *
 * Load: bursts while capacity is lost.  A message may be lost or late: what it
 * says holds for VALID_MS only, and a host that has none accepts.
 */
#include "entry_state.h"

#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>
#include <nutmegdeck/reason.h>

#define COMPUTE_INTERVAL_MS 250
/* Repetition while anything is refused; several fit into VALID_MS. */
#define SEND_INTERVAL_MS 1000
#define VALID_MS 2000
/*
 * Part of a host's memory for the jobs that are accepted, with one occurrence
 * of each; further occurrences take up to half as much (sched_occurrence.c).
 */
#define JOBS_SHARE 6
#define BYTES_PER_MB (UINT64_C(1024) * 1024)
/* Hosts are told of what is left once it is below this part of the whole. */
#define SCARCE_SHARE 2
/* Lines in the log for one change. */
#define LOGGED_ROWS_MAX 8

/* True if both tables refuse the same queues and classes. */
static bool
has_same_classes(const nm_admission_table_t *left,
                 const nm_admission_table_t *right)
{
    for (uint32_t i = 0; i < left->row_count; i++) {
        if (i >= right->row_count ||
            left->rows[i].size_class != right->rows[i].size_class ||
            strcmp(left->rows[i].queue, right->rows[i].queue) != 0)
        {
            return false;
        }
    }
    return left->row_count == right->row_count;
}

static void
log_change(const nm_entry_t *entry, const nm_admission_table_t *table)
{
    json_int_t epoch = (json_int_t)entry->owned_epoch;
    if (table->row_count == 0) {
        nm_log(NM_LOG_INFO, NM_LOG_ITEM_ADMISSION_CHANGED, "{s:i,s:I}", "rows",
               0, "epoch", epoch);
    }
    for (uint32_t i = 0; i < MIN(table->row_count, LOGGED_ROWS_MAX); i++) {
        const nm_admission_row_t *row = &table->rows[i];
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_ADMISSION_CHANGED,
               "{s:i,s:s,s:i,s:I,s:I,s:I}", "rows", (int)table->row_count,
               "queue", row->queue, "size_class", (int)row->size_class,
               "work_ms", (json_int_t)row->work_ms, "bound_ms",
               (json_int_t)row->limit_ms, "epoch", epoch);
    }
}

static void
send_to_host(void *user, const nm_relay_host_t *host)
{
    nm_entry_t *entry = user;
    const nm_admission_table_t *table = &entry->admission.table;
    if (strcmp(host->name, entry->desc.name) == 0) {
        return;
    }
    NmPb__AdmissionRow rows[NM_ADMISSION_ROWS_MAX];
    NmPb__AdmissionRow *pointers[NM_ADMISSION_ROWS_MAX];
    for (uint32_t i = 0; i < table->row_count; i++) {
        nm_pb__admission_row__init(&rows[i]);
        rows[i].queue = (char *)table->rows[i].queue;
        rows[i].size_class = table->rows[i].size_class;
        rows[i].work_ms = table->rows[i].work_ms;
        pointers[i] = &rows[i];
    }
    NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
    request.type = NM_PB__ENTRY_ASK__TYPE__ADMISSION;
    request.epoch = entry->owned_epoch;
    request.admission = pointers;
    request.n_admission = table->row_count;
    request.admission_valid_ms = VALID_MS;
    request.job_bytes_max = entry->admission.job_bytes_max;
    request.job_bytes_left = entry->admission.job_bytes_left;
    if (nm_peer_rpc_send(entry->desc.peers, host->address, &request) < 0) {
        nm_count_reason(NM_REASON_PEER_LOST);
    }
}

uint64_t
nm_entry_job_bytes_max(uint32_t memory_mb)
{
    return memory_mb * BYTES_PER_MB / JOBS_SHARE;
}

/* Sets what is left; any host may be the next owner, and has to load it. */
static void
update_memory(nm_entry_t *entry)
{
    nm_entry_admission_t *admission = &entry->admission;
    nm_sched_memory_t memory = nm_sched_query_memory(entry->sched);
    uint64_t max_bytes = memory.max_bytes;
    uint32_t least_mb = nm_order_relay_query_memory_mb_min(&entry->relay);
    if (least_mb > 0 && max_bytes > 0) {
        max_bytes = MIN(max_bytes, nm_entry_job_bytes_max(least_mb));
    }
    /* The scheduler may not have heard of the newest jobs yet. */
    uint64_t used_bytes = memory.reserved_bytes +
                          admission->accepted_bytes[0] +
                          admission->accepted_bytes[1];
    admission->accepted_bytes[1] = admission->accepted_bytes[0];
    admission->accepted_bytes[0] = 0;
    admission->job_bytes_max = max_bytes;
    admission->job_bytes_left = max_bytes - MIN(max_bytes, used_bytes);
    admission->memory_is_scarce =
        admission->job_bytes_left < max_bytes / SCARCE_SHARE;
}

nm_job_memory_t
nm_entry_admission_check_memory(nm_entry_t *entry, const nm_job_spec_t *spec)
{
    nm_entry_admission_t *admission = &entry->admission;
    uint64_t occurrence_bytes;
    uint64_t base_bytes = nm_sched_job_bytes(spec, &occurrence_bytes);
    nm_job_memory_t memory = {
        .needed_bytes = base_bytes + occurrence_bytes,
        .max_bytes = nm_entry_job_bytes_max(entry->desc.memory_mb)};
    memory.left_bytes = memory.max_bytes;
    if (admission->job_bytes_max > 0 &&
        nm_entry_now(entry) < admission->expires_ms)
    {
        memory.max_bytes = admission->job_bytes_max;
        memory.left_bytes = admission->job_bytes_left;
    }
    if (memory.max_bytes == 0 || memory.needed_bytes <= memory.left_bytes) {
        admission->job_bytes_left -=
            MIN(admission->job_bytes_left, memory.needed_bytes);
        admission->accepted_bytes[0] += memory.needed_bytes;
    }
    else {
        memory.refusal = memory.needed_bytes > memory.max_bytes
                             ? NM_REASON_JOB_TOO_LARGE
                             : NM_REASON_JOB_MEMORY;
    }
    return memory;
}

void
nm_entry_admission_run(nm_entry_t *entry, nm_ms_t now_ms)
{
    nm_entry_admission_t *admission = &entry->admission;
    if (now_ms < admission->compute_due_ms) {
        return;
    }
    admission->compute_due_ms = now_ms + COMPUTE_INTERVAL_MS;
    nm_admission_table_t table;
    nm_sched_compute_admission(entry->sched, &table);
    /* What a former owner has told ends with its time. */
    bool is_new_term = admission->epoch != entry->owned_epoch;
    if (is_new_term) {
        admission->table.row_count = 0;
        admission->epoch = entry->owned_epoch;
    }
    bool changed = !has_same_classes(&table, &admission->table);
    if (changed) {
        log_change(entry, &table);
    }
    bool was_scarce = admission->memory_is_scarce;
    update_memory(entry);
    changed = changed || was_scarce != admission->memory_is_scarce;
    bool repeats = (table.row_count > 0 || admission->memory_is_scarce) &&
                   now_ms >= admission->send_due_ms;
    admission->table = table;
    admission->expires_ms = now_ms + VALID_MS;
    if (changed || repeats) {
        admission->send_due_ms = now_ms + SEND_INTERVAL_MS;
        nm_order_relay_visit_hosts(&entry->relay, send_to_host, entry);
    }
}

void
nm_entry_admission_handle(nm_entry_t *entry, const NmPb__EntryAsk *request)
{
    nm_entry_admission_t *admission = &entry->admission;
    if (request->epoch < admission->epoch ||
        request->epoch < entry->owned_epoch) {
        return; /* of a former owner */
    }
    admission->epoch = request->epoch;
    admission->job_bytes_max = request->job_bytes_max;
    admission->job_bytes_left = request->job_bytes_left;
    admission->table.row_count = 0;
    admission->expires_ms =
        nm_entry_now(entry) + CLAMP(request->admission_valid_ms, 0, VALID_MS);
    for (size_t i = 0; i < request->n_admission &&
                       admission->table.row_count < NM_ADMISSION_ROWS_MAX;
         i++)
    {
        const NmPb__AdmissionRow *row = request->admission[i];
        nm_admission_row_t *kept =
            &admission->table.rows[admission->table.row_count];
        *kept = (nm_admission_row_t){.size_class = row->size_class,
                                     .work_ms = row->work_ms};
        if (nm_strcopy(kept->queue, sizeof(kept->queue), row->queue)) {
            admission->table.row_count++;
        }
        else {
            nm_count_reason(NM_REASON_PEER_MALFORMED);
        }
    }
}

nm_admission_t
nm_entry_admission_query(nm_entry_t *entry, const nm_queue_t *queue,
                         const nm_job_spec_t *spec)
{
    nm_admission_t accepted = {0};
    bool has_end = spec->first_unix_ms == 0 && spec->occurrences == 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        has_end = has_end && !spec->steps[i].long_running;
    }
    if (!has_end || entry->admission.table.row_count == 0 ||
        nm_entry_now(entry) >= entry->admission.expires_ms)
    {
        return accepted;
    }
    return nm_admission_decide(
        &entry->admission.table, queue, nm_job_spec_core_ms(spec),
        nm_job_spec_critical_path_ms(spec), nm_rng_unit(&entry->rng));
}
