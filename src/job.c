#include <nutmegdeck/job.h>

#include <assert.h>
#include <string.h>

#include <jansson.h>

#include <nutmegdeck/limits.h>

#include "json_get.h"
#include "step_json.h"

void
nm_job_spec_init(nm_job_spec_t *spec, const char *id, const char *queue,
                 const char *service)
{
    assert(spec && id && queue && service);
    *spec = (nm_job_spec_t){.payload = g_strdup("")};
    nm_strcopy(spec->id, sizeof(spec->id), id);
    nm_strcopy(spec->queue, sizeof(spec->queue), queue);
    nm_strcopy(spec->service, sizeof(spec->service), service);
}

void
nm_job_spec_finish(nm_job_spec_t *spec)
{
    assert(spec);
    for (uint32_t i = 0; i < spec->step_count; i++) {
        g_free(spec->steps[i].after);
    }
    g_free(spec->steps);
    g_free(spec->payload);
    *spec = (nm_job_spec_t){0};
}

void
nm_job_spec_move(nm_job_spec_t *target, nm_job_spec_t *source)
{
    assert(target && source);
    *target = *source;
    *source = (nm_job_spec_t){0};
}

nm_step_t *
nm_job_spec_add_step(nm_job_spec_t *spec)
{
    assert(spec);
    spec->steps = g_renew(nm_step_t, spec->steps, spec->step_count + 1);
    nm_step_t *step = &spec->steps[spec->step_count++];
    *step = (nm_step_t){0};
    return step;
}

void
nm_step_add_dependency(nm_step_t *step, uint32_t earlier)
{
    assert(step);
    step->after = g_renew(uint32_t, step->after, step->after_count + 1);
    step->after[step->after_count++] = earlier;
}

static bool
amounts_are_valid(const nm_step_t *step)
{
    return step->cpu_milli >= 0 && step->cpu_milli <= NM_CPU_MAX_MILLI &&
           step->memory_mb >= 0 && step->memory_mb <= NM_MEMORY_MAX_MB &&
           step->accelerators >= 0 &&
           step->accelerators <= NM_ACCELERATORS_MAX &&
           step->estimate_ms >= 0 && step->estimate_ms <= NM_DURATION_MAX_MS &&
           step->target_ms >= 0 && step->target_ms <= NM_DURATION_MAX_MS;
}

/* As nm_job_spec_core_ms, without overflow. */
static double
estimated_core_ms(const nm_job_spec_t *spec)
{
    double core_ms = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        const nm_step_t *step = &spec->steps[i];
        core_ms += (double)step->cpu_milli * (double)step->estimate_ms / 1000 *
                   step->task_count;
    }
    return core_ms;
}

const char *
nm_job_spec_check(const nm_job_spec_t *spec)
{
    assert(spec);
    if (spec->step_count == 0 || spec->step_count > NM_JOB_STEPS_MAX) {
        return "a job needs 1 to 64 steps";
    }
    uint64_t tasks = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        const nm_step_t *step = &spec->steps[i];
        if (step->task_count == 0) {
            return "a step needs at least one task";
        }
        if (!amounts_are_valid(step)) {
            return "a step's amounts must not be negative or too large";
        }
        for (uint32_t j = 0; j < step->after_count; j++) {
            if (step->after[j] >= i) {
                return "a step may only follow earlier steps";
            }
        }
        tasks += step->task_count;
    }
    if (spec->occurrences > NM_JOB_OCCURRENCES_MAX) {
        return "a job has too many occurrences";
    }
    uint64_t occurrences = MAX(spec->occurrences, 1);
    if (tasks > NM_JOB_TASKS_MAX || tasks * occurrences > NM_JOB_RUNS_MAX) {
        return "a job has too many tasks";
    }
    if (estimated_core_ms(spec) * (double)occurrences > NM_JOB_CORE_MS_MAX) {
        return "a job needs too much processor time";
    }
    if (spec->occurrences > 1 && spec->interval_ms <= 0) {
        return "a repeated job needs a positive interval";
    }
    return NULL;
}

nm_ms_t
nm_job_spec_critical_path_ms(const nm_job_spec_t *spec)
{
    assert(spec);
    nm_ms_t ends[NM_JOB_STEPS_MAX] = {0};
    nm_ms_t longest = 0;
    for (uint32_t i = 0; i < spec->step_count && i < NM_JOB_STEPS_MAX; i++) {
        const nm_step_t *step = &spec->steps[i];
        nm_ms_t begin = 0;
        for (uint32_t j = 0; j < step->after_count; j++) {
            begin = MAX(begin, ends[step->after[j]]);
        }
        ends[i] = begin + step->estimate_ms;
        longest = MAX(longest, ends[i]);
    }
    return longest;
}

int64_t
nm_job_spec_core_ms(const nm_job_spec_t *spec)
{
    assert(spec);
    int64_t core_ms = 0;
    for (uint32_t i = 0; i < spec->step_count; i++) {
        const nm_step_t *step = &spec->steps[i];
        core_ms +=
            step->cpu_milli * step->estimate_ms / 1000 * step->task_count;
    }
    return core_ms;
}

static void
put_flag(json_t *object, const char *name, bool value)
{
    if (value) {
        json_object_set_new(object, name, json_true());
    }
}

static void
put_number(json_t *object, const char *name, int64_t value)
{
    if (value != 0) {
        json_object_set_new(object, name, json_integer(value));
    }
}

static void
put_text(json_t *object, const char *name, const char *value)
{
    if (value[0] != '\0') {
        json_object_set_new(object, name, json_string(value));
    }
}

static json_t *
encode_step(const nm_step_t *step)
{
    json_t *object = json_object();
    put_number(object, "tasks", step->task_count);
    put_number(object, "cpu_milli", step->cpu_milli);
    put_number(object, "memory_mb", step->memory_mb);
    put_number(object, "accelerators", step->accelerators);
    put_number(object, "estimate_ms", step->estimate_ms);
    put_number(object, "per_worker_max", step->per_worker_max);
    put_number(object, "target_ms", step->target_ms);
    put_number(object, "unavailable_max", step->unavailable_max);
    put_flag(object, "has_budget", step->has_unavailable_max);
    put_flag(object, "saves_progress", step->saves_progress);
    put_flag(object, "gang", step->is_gang);
    put_flag(object, "same_rack", step->same_rack);
    put_flag(object, "copies_allowed", step->copies_allowed);
    put_flag(object, "long_running", step->long_running);
    put_flag(object, "filler", step->is_filler);
    put_text(object, "label", step->label);
    put_text(object, "data_rack", step->data_rack);
    put_text(object, "image", step->image);
    if (step->after_count > 0) {
        json_t *after = json_array();
        for (uint32_t i = 0; i < step->after_count; i++) {
            json_array_append_new(after, json_integer(step->after[i]));
        }
        json_object_set_new(object, "after", after);
    }
    return object;
}

char *
nm_job_record_encode(const nm_job_spec_t *spec)
{
    assert(spec);
    json_t *steps = json_array();
    for (uint32_t i = 0; i < spec->step_count; i++) {
        json_array_append_new(steps, encode_step(&spec->steps[i]));
    }
    json_t *record = json_object();
    json_object_set_new(record, "version",
                        json_integer(NM_JOB_RECORD_VERSION));
    put_text(record, "queue", spec->queue);
    put_text(record, "service", spec->service);
    put_text(record, "payload", spec->payload);
    put_number(record, "accepted_unix_ms", spec->accepted_unix_ms);
    put_number(record, "attempts_max", spec->attempts_max);
    put_number(record, "occurrences", spec->occurrences);
    put_number(record, "first_unix_ms", spec->first_unix_ms);
    put_number(record, "interval_ms", spec->interval_ms);
    json_object_set_new(record, "steps", steps);
    char *text = json_dumps(record, JSON_COMPACT);
    json_decref(record);
    return text;
}

bool
nm_step_decode_amounts(nm_step_t *step, const json_t *object,
                       const nm_step_names_t *names)
{
    int64_t task_count;
    int64_t accelerators;
    int64_t per_worker_max;
    int64_t unavailable_max;
    if (!nm_json_read_number(object, names->task_count, UINT32_MAX,
                             &task_count) ||
        !nm_json_read_number(object, names->cpu, NM_CPU_MAX_MILLI,
                             &step->cpu_milli) ||
        !nm_json_read_number(object, names->memory, NM_MEMORY_MAX_MB,
                             &step->memory_mb) ||
        !nm_json_read_number(object, names->accelerators, NM_ACCELERATORS_MAX,
                             &accelerators) ||
        !nm_json_read_number(object, names->estimate, NM_DURATION_MAX_MS,
                             &step->estimate_ms) ||
        !nm_json_read_number(object, names->per_worker_max, UINT32_MAX,
                             &per_worker_max) ||
        !nm_json_read_number(object, names->target, NM_DURATION_MAX_MS,
                             &step->target_ms) ||
        !nm_json_read_number(object, names->unavailable_max, UINT32_MAX,
                             &unavailable_max))
    {
        return false;
    }
    step->task_count = (uint32_t)task_count;
    step->accelerators = (int32_t)accelerators;
    step->per_worker_max = (uint32_t)per_worker_max;
    step->unavailable_max = (uint32_t)unavailable_max;
    return true;
}

static bool
decode_step(nm_step_t *step, const json_t *object)
{
    static const nm_step_names_t names = {
        .task_count = "tasks",
        .cpu = "cpu_milli",
        .memory = "memory_mb",
        .accelerators = "accelerators",
        .estimate = "estimate_ms",
        .per_worker_max = "per_worker_max",
        .target = "target_ms",
        .unavailable_max = "unavailable_max",
    };
    if (!nm_step_decode_amounts(step, object, &names)) {
        return false;
    }
    step->has_unavailable_max = nm_json_bool(object, "has_budget");
    step->saves_progress = nm_json_bool(object, "saves_progress");
    step->is_gang = nm_json_bool(object, "gang");
    step->same_rack = nm_json_bool(object, "same_rack");
    step->copies_allowed = nm_json_bool(object, "copies_allowed");
    step->long_running = nm_json_bool(object, "long_running");
    step->is_filler = nm_json_bool(object, "filler");
    nm_json_copy_string(object, "label", step->label, sizeof(step->label));
    nm_json_copy_string(object, "data_rack", step->data_rack,
                        sizeof(step->data_rack));
    nm_json_copy_string(object, "image", step->image, sizeof(step->image));
    size_t i;
    json_t *earlier;
    json_array_foreach(json_object_get(object, "after"), i, earlier)
    {
        int64_t number;
        if (!nm_json_get_int(earlier, NM_JOB_STEPS_MAX, &number)) {
            return false;
        }
        nm_step_add_dependency(step, (uint32_t)number);
    }
    return true;
}

static bool
decode_schedule(nm_job_spec_t *spec, const json_t *record)
{
    int64_t occurrences;
    int64_t attempts_max;
    bool valid =
        nm_json_read_int(record, "attempts_max", UINT32_MAX, &attempts_max) &&
        nm_json_read_int(record, "accepted_unix_ms", NM_UNIX_MAX_MS,
                         &spec->accepted_unix_ms) &&
        nm_json_read_int(record, "occurrences", UINT32_MAX, &occurrences) &&
        nm_json_read_int(record, "first_unix_ms", NM_UNIX_MAX_MS,
                         &spec->first_unix_ms) &&
        nm_json_read_int(record, "interval_ms", NM_DURATION_MAX_MS,
                         &spec->interval_ms);
    spec->attempts_max = valid ? (uint32_t)attempts_max : 0;
    spec->occurrences = valid ? (uint32_t)occurrences : 0;
    return valid;
}

int
nm_job_record_decode(nm_job_spec_t *spec, const char *id, const void *data,
                     uint32_t bytes)
{
    assert(spec && id && data);
    json_t *record = json_loadb(data, bytes, 0, NULL);
    if (json_integer_value(json_object_get(record, "version")) !=
        NM_JOB_RECORD_VERSION)
    {
        json_decref(record);
        nm_job_spec_init(spec, id, "", "");
        return NM_ERR_CORRUPT;
    }
    nm_job_spec_init(spec, id, "", "");
    nm_json_copy_string(record, "queue", spec->queue, sizeof(spec->queue));
    nm_json_copy_string(record, "service", spec->service,
                        sizeof(spec->service));
    const char *payload =
        json_string_value(json_object_get(record, "payload"));
    if (payload) {
        g_free(spec->payload);
        spec->payload = g_strdup(payload);
    }
    bool valid = decode_schedule(spec, record);
    size_t i;
    json_t *step;
    json_array_foreach(json_object_get(record, "steps"), i, step)
    {
        valid = decode_step(nm_job_spec_add_step(spec), step) && valid;
    }
    json_decref(record);
    return !valid || nm_job_spec_check(spec) ? NM_ERR_CORRUPT : NM_OK;
}
