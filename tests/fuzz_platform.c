/*
 * Fuzz target for the decoders of the users' platform's documents and of the
 * records in its store.  The first byte selects the decoder.  Guards against
 * crashes on malformed input and against accepted jobs whose stored record
 * cannot be read.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <nutmegdeck/limits.h>

#include "../platform/codec.h"
#include "../src/address.h"
#include "../src/interference.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

#define JOB "5c0e7a21d94b36f8"

static void
fuzz_configuration(const uint8_t *data, uint32_t bytes)
{
    nm_queue_config_t *queue_config =
        nm_platform_codec.decode_queue_config(data, bytes);
    if (queue_config) {
        nm_queue_config_find(queue_config, "host.example", "/orders/1");
    }
    nm_queue_config_free(queue_config);
}

/* The stored record of an accepted submission must be readable. */
static void
fuzz_submission(const uint8_t *data, uint32_t bytes)
{
    nm_job_spec_t spec;
    const char *fault = NULL;
    nm_job_spec_init(&spec, JOB, "queue", "service");
    if (nm_platform_codec.decode_job(&spec, data, bytes, &fault) == NM_OK) {
        char *record = nm_job_record_encode(&spec);
        nm_job_spec_t decoded;
        if (nm_job_record_decode(&decoded, JOB, record,
                                 (uint32_t)strlen(record)) != NM_OK)
        {
            __builtin_trap();
        }
        nm_job_spec_finish(&decoded);
        free(record);
    }
    nm_job_spec_finish(&spec);
}

static void
fuzz_progress(const uint8_t *data, uint32_t bytes)
{
    nm_sched_t *sched = nm_sched_new(&(nm_sched_desc_t){.epoch = 2}, 0);
    nm_job_spec_t spec;
    nm_job_spec_init(&spec, JOB, "queue", "service");
    nm_job_spec_add_step(&spec)->task_count = 3;
    nm_sched_add_job(sched, &spec, true, 0);
    nm_sched_restore(sched, JOB, data, bytes);
    nm_sched_restore_learned(sched, data, bytes);
    nm_sched_run(sched, 10, 1000);
    nm_sched_free(sched);
    nm_job_spec_finish(&spec);
}

/* An accepted worker must not make the sums over workers overflow. */
static void
fuzz_worker(const uint8_t *data, uint32_t bytes)
{
    nm_sched_worker_t worker;
    const char *fault = NULL;
    if (nm_platform_codec.decode_worker(&worker, "i-1", data, bytes, &fault) !=
        NM_OK)
    {
        if (!fault) {
            __builtin_trap();
        }
        return;
    }
    if (worker.cpu_milli < 0 || worker.cpu_milli > NM_CPU_MAX_MILLI ||
        worker.memory_mb < 0 || worker.memory_mb > NM_MEMORY_MAX_MB ||
        worker.accelerators < 0 || worker.accelerators > NM_ACCELERATORS_MAX ||
        worker.incarnation < 0 || worker.remaining_ms < 0 ||
        !nm_address_is_valid(worker.address))
    {
        __builtin_trap();
    }
    nm_sched_t *sched = nm_sched_new(&(nm_sched_desc_t){.epoch = 2}, 0);
    nm_sched_set_worker(sched, &worker, 0);
    nm_sched_admit_worker(sched, worker.id);
    nm_sched_run(sched, 10, 1000);
    nm_sched_free(sched);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 1) {
        return 0;
    }
    uint32_t bytes = (uint32_t)(size - 1);
    nm_job_spec_t spec;
    switch (data[0] % 5) {
    case 0:
        fuzz_configuration(data + 1, bytes);
        break;
    case 1:
        fuzz_worker(data + 1, bytes);
        break;
    case 2:
        fuzz_submission(data + 1, bytes);
        break;
    case 3:
        nm_job_record_decode(&spec, JOB, data + 1, bytes);
        nm_job_spec_finish(&spec);
        break;
    default:
        fuzz_progress(data + 1, bytes);
    }
    return 0;
}
