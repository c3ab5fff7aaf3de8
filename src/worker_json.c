#include "worker_json.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

/* By nm_report_state_t. */
static const char *const report_state_names[] = {"running", "done", "failed",
                                                 "checkpointed", "stopped"};

/*
 * 64-bit ids are hexadecimal strings: JSON numbers are commonly read as
 * doubles, which represent integers exactly up to 53 bits only.
 */
static json_t *
encode_id(uint64_t id)
{
    char text[24];
    snprintf(text, sizeof(text), "%llx", (unsigned long long)id);
    return json_string(text);
}

static uint64_t
decode_id(const json_t *object, const char *key)
{
    const char *text = json_string_value(json_object_get(object, key));
    return text ? strtoull(text, NULL, 16) : 0;
}

static int64_t
decode_int(const json_t *object, const char *key)
{
    return json_integer_value(json_object_get(object, key));
}

static json_t *
encode_attempt_id(const nm_attempt_id_t *id)
{
    return json_pack("{s:o,s:I,s:I}", "job", encode_id(id->job), "index",
                     (json_int_t)id->index, "attempt",
                     (json_int_t)id->attempt);
}

static bool
decode_attempt_id(const json_t *object, nm_attempt_id_t *id)
{
    id->job = decode_id(object, "job");
    id->index = (uint32_t)decode_int(object, "index");
    id->attempt = decode_int(object, "attempt");
    return id->job != 0 && id->attempt > 0;
}

static void
encode_resources(json_t *object, const nm_resources_t *resources)
{
    json_object_set_new(object, "cpu_milli",
                        json_integer(resources->cpu_milli));
    json_object_set_new(object, "memory_mb",
                        json_integer(resources->memory_mb));
    json_object_set_new(object, "accelerators",
                        json_integer(resources->accelerators));
}

static nm_resources_t
decode_resources(const json_t *object)
{
    return (nm_resources_t){
        .cpu_milli = decode_int(object, "cpu_milli"),
        .memory_mb = decode_int(object, "memory_mb"),
        .accelerators = (int32_t)decode_int(object, "accelerators"),
    };
}

json_t *
nm_worker_sync_encode(const nm_sync_t *sync)
{
    assert(sync);
    json_t *starts = json_array();
    for (uint32_t i = 0; i < sync->start_count; i++) {
        const nm_start_t *start = &sync->starts[i];
        json_t *item = encode_attempt_id(&start->id);
        json_object_set_new(item, "checkpoint", encode_id(start->checkpoint));
        json_object_set_new(item, "duration_s",
                            json_integer(start->duration_s));
        json_object_set_new(item, "path", json_string(start->path));
        encode_resources(item, &start->resources);
        json_array_append_new(starts, item);
    }
    json_t *stops = json_array();
    for (uint32_t i = 0; i < sync->stop_count; i++) {
        json_t *item = encode_attempt_id(&sync->stops[i].id);
        json_object_set_new(item, "checkpoint",
                            json_boolean(sync->stops[i].checkpoint));
        json_array_append_new(stops, item);
    }
    json_t *throttles = json_array();
    for (uint32_t i = 0; i < sync->throttle_count; i++) {
        json_t *item = encode_attempt_id(&sync->throttles[i].id);
        json_object_set_new(item, "percent",
                            json_integer(sync->throttles[i].throttle_pct));
        json_array_append_new(throttles, item);
    }
    json_t *acks = json_array();
    for (uint32_t i = 0; i < sync->ack_count; i++) {
        json_array_append_new(acks, encode_attempt_id(&sync->acks[i]));
    }
    return json_pack("{s:o,s:I,s:I,s:I,s:I,s:o,s:o,s:o,s:o}", "owner",
                     encode_id(sync->owner), "epoch", (json_int_t)sync->epoch,
                     "sequence", (json_int_t)sync->sequence, "echo_ms",
                     (json_int_t)sync->echo_ms, "lease_ms",
                     (json_int_t)sync->lease_ms, "start", starts, "stop",
                     stops, "throttle", throttles, "ack", acks);
}

int
nm_worker_sync_decode(const json_t *json, nm_worker_sync_t *sync)
{
    assert(sync);
    *sync = (nm_worker_sync_t){0};
    const json_t *starts = json_object_get(json, "start");
    const json_t *stops = json_object_get(json, "stop");
    const json_t *throttles = json_object_get(json, "throttle");
    const json_t *acks = json_object_get(json, "ack");
    sync->sync = (nm_sync_t){
        .owner = decode_id(json, "owner"),
        .epoch = decode_int(json, "epoch"),
        .sequence = (uint64_t)decode_int(json, "sequence"),
        .echo_ms = decode_int(json, "echo_ms"),
        .lease_ms = decode_int(json, "lease_ms"),
        .start_count = (uint32_t)json_array_size(starts),
        .stop_count = (uint32_t)json_array_size(stops),
        .throttle_count = (uint32_t)json_array_size(throttles),
        .ack_count = (uint32_t)json_array_size(acks),
    };
    bool valid = sync->sync.owner != 0 && sync->sync.epoch > 0;
    sync->starts = g_new0(nm_start_t, sync->sync.start_count);
    sync->stops = g_new0(nm_stop_t, sync->sync.stop_count);
    sync->throttles = g_new0(nm_throttle_t, sync->sync.throttle_count);
    sync->acks = g_new0(nm_attempt_id_t, sync->sync.ack_count);
    size_t i;
    json_t *item;
    json_array_foreach(starts, i, item)
    {
        nm_start_t *start = &sync->starts[i];
        valid = valid && decode_attempt_id(item, &start->id);
        start->checkpoint = decode_id(item, "checkpoint");
        start->resources = decode_resources(item);
        start->duration_s = (uint32_t)decode_int(item, "duration_s");
        const char *path = json_string_value(json_object_get(item, "path"));
        nm_strcopy(start->path, sizeof(start->path), path ? path : "");
    }
    json_array_foreach(stops, i, item)
    {
        valid = valid && decode_attempt_id(item, &sync->stops[i].id);
        sync->stops[i].checkpoint =
            json_is_true(json_object_get(item, "checkpoint"));
    }
    json_array_foreach(throttles, i, item)
    {
        valid = valid && decode_attempt_id(item, &sync->throttles[i].id);
        sync->throttles[i].throttle_pct = (uint8_t)decode_int(item, "percent");
    }
    json_array_foreach(acks, i, item)
    {
        valid = valid && decode_attempt_id(item, &sync->acks[i]);
    }
    sync->sync.starts = sync->starts;
    sync->sync.stops = sync->stops;
    sync->sync.throttles = sync->throttles;
    sync->sync.acks = sync->acks;
    return valid ? NM_OK : NM_ERR_CORRUPT;
}

void
nm_worker_sync_finish(nm_worker_sync_t *sync)
{
    g_free(sync->starts);
    g_free(sync->stops);
    g_free(sync->throttles);
    g_free(sync->acks);
    *sync = (nm_worker_sync_t){0};
}

json_t *
nm_worker_reply_encode(const nm_sync_reply_t *reply)
{
    assert(reply);
    json_t *tasks = json_array();
    for (uint32_t i = 0; i < reply->task_count; i++) {
        const nm_task_report_t *report = &reply->tasks[i];
        json_t *item = encode_attempt_id(&report->id);
        if (report->state != NM_REPORT_RUNNING) {
            json_object_set_new(
                item, "state", json_string(report_state_names[report->state]));
        }
        if (report->checkpoint) {
            json_object_set_new(item, "checkpoint",
                                encode_id(report->checkpoint));
        }
        if (report->usage.cpu_milli > 0) {
            encode_resources(item, &report->usage);
        }
        json_array_append_new(tasks, item);
    }
    json_t *services = json_array();
    for (uint32_t i = 0; i < reply->service_count; i++) {
        const nm_service_report_t *service = &reply->services[i];
        json_array_append_new(services,
                              json_pack("{s:I,s:f,s:f}", "age_ms",
                                        (json_int_t)service->age_ms, "load",
                                        (double)service->load, "slowdown",
                                        (double)service->slowdown));
    }
    return json_pack("{s:b,s:I,s:I,s:I,s:o,s:o}", "accepted", reply->accepted,
                     "epoch", (json_int_t)reply->epoch, "previous_epoch",
                     (json_int_t)reply->previous_epoch, "clock_ms",
                     (json_int_t)reply->clock_ms, "tasks", tasks, "services",
                     services);
}

static bool
decode_state(const json_t *item, nm_report_state_t *state)
{
    const json_t *value = json_object_get(item, "state");
    if (!value) {
        /* The encoder omits this most frequent state to save bytes. */
        *state = NM_REPORT_RUNNING;
        return true;
    }
    const char *name = json_string_value(value);
    for (size_t i = 0; name && i < NM_COUNT_OF(report_state_names); i++) {
        if (strcmp(name, report_state_names[i]) == 0) {
            *state = (nm_report_state_t)i;
            return true;
        }
    }
    return false;
}

int
nm_worker_reply_decode(const json_t *json, nm_worker_reply_t *reply)
{
    assert(reply);
    *reply = (nm_worker_reply_t){0};
    const json_t *tasks = json_object_get(json, "tasks");
    const json_t *services = json_object_get(json, "services");
    reply->reply = (nm_sync_reply_t){
        .accepted = json_is_true(json_object_get(json, "accepted")),
        .epoch = decode_int(json, "epoch"),
        .previous_epoch = decode_int(json, "previous_epoch"),
        .clock_ms = decode_int(json, "clock_ms"),
        .task_count = (uint32_t)json_array_size(tasks),
        .service_count = (uint32_t)json_array_size(services),
    };
    bool valid = json_is_boolean(json_object_get(json, "accepted")) &&
                 json_is_array(tasks);
    reply->tasks = g_new0(nm_task_report_t, reply->reply.task_count);
    reply->services = g_new0(nm_service_report_t, reply->reply.service_count);
    size_t i;
    json_t *item;
    json_array_foreach(tasks, i, item)
    {
        nm_task_report_t *report = &reply->tasks[i];
        valid = valid && decode_attempt_id(item, &report->id) &&
                decode_state(item, &report->state);
        report->checkpoint = decode_id(item, "checkpoint");
        report->usage = decode_resources(item);
    }
    json_array_foreach(services, i, item)
    {
        nm_service_report_t *service = &reply->services[i];
        service->age_ms = decode_int(item, "age_ms");
        service->load =
            (float)json_number_value(json_object_get(item, "load"));
        service->slowdown =
            (float)json_number_value(json_object_get(item, "slowdown"));
        valid = valid && service->age_ms >= 0 && service->slowdown > 0;
    }
    reply->reply.tasks = reply->tasks;
    reply->reply.services = reply->services;
    return valid ? NM_OK : NM_ERR_CORRUPT;
}

void
nm_worker_reply_finish(nm_worker_reply_t *reply)
{
    g_free(reply->tasks);
    g_free(reply->services);
    *reply = (nm_worker_reply_t){0};
}
