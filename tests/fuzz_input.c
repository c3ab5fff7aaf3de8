/*
 * Fuzz target for the decoders of external input: declarations, settings
 * deltas, messages of peers and stored shard records, responses of workers,
 * the list of hosts, and that of owners' terms.  The first byte selects the
 * decoder.  Guards against crashes on malformed input and against settings
 * that pass the checks but do not apply.
 */

#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <nutmegdeck/limits.h>
#include <nutmegdeck/settings.h>

#include "../src/former_terms.h"
#include "../src/hosts.h"
#include "../src/report_delta.h"
#include "../src/worker_json.h"
#include "peer.pb-c.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void
ignore_problem(void *user, const char *section, const char *key,
               const char *reason)
{
    (void)user;
    (void)section;
    (void)key;
    (void)reason;
}

static void
fuzz_declarations(const char *text, size_t size)
{
    nm_settings_t settings;
    nm_settings_init(&settings);
    if (nm_settings_parse(&settings, text, size, ignore_problem, NULL) ==
            NM_OK &&
        nm_settings_check(&settings, ignore_problem, NULL) == 0)
    {
        nm_settings_t empty;
        nm_settings_init(&empty);
        json_t *delta = nm_settings_diff(&empty, &settings);
        /* Settings that pass the checks must also apply. */
        if (nm_settings_apply(&empty, delta, 1) != NM_OK) {
            __builtin_trap();
        }
        json_decref(delta);
        nm_settings_finish(&empty);
    }
    nm_settings_finish(&settings);
}

static void
fuzz_settings_delta(const char *text, size_t size)
{
    json_t *delta = json_loadb(text, size, 0, NULL);
    nm_settings_t settings;
    nm_settings_init(&settings);
    if (nm_settings_apply(&settings, delta, 1) == NM_OK) {
        const char *path;
        json_t *section;
        json_object_foreach(settings.sections, path, section)
        {
            nm_settings_kind(&settings, path);
            nm_settings_home(&settings, path);
            nm_settings_int(&settings, path, NM_KEY_TIMEOUT_MS);
        }
    }
    nm_settings_finish(&settings);
    json_decref(delta);
}

static void
fuzz_protobuf(const uint8_t *data, size_t size)
{
    NmPb__PeerMessage *message = nm_pb__peer_message__unpack(NULL, size, data);
    if (message) {
        nm_pb__peer_message__free_unpacked(message, NULL);
    }
    NmPb__WorkerReport *report =
        nm_pb__worker_report__unpack(NULL, size, data);
    if (report) {
        nm_report_view_t view;
        nm_report_view_init(&view);
        nm_report_apply(&view, report);
        nm_report_view_finish(&view);
        nm_pb__worker_report__free_unpacked(report, NULL);
    }
    NmPb__ShardRecord *record = nm_pb__shard_record__unpack(NULL, size, data);
    if (record) {
        nm_pb__shard_record__free_unpacked(record, NULL);
    }
}

static void
fuzz_worker_response(const char *text, size_t size)
{
    json_t *json = json_loadb(text, size, 0, NULL);
    nm_worker_reply_t reply;
    nm_worker_reply_decode(json, &reply);
    nm_worker_reply_finish(&reply);
    nm_worker_sync_t sync;
    nm_worker_sync_decode(json, &sync);
    nm_worker_sync_finish(&sync);
    json_decref(json);
}

/* A list that can be read must be stored as it was, and again be read. */
static void
fuzz_terms(const char *text, size_t size)
{
    nm_former_terms_t terms;
    nm_former_init(&terms);
    if (nm_former_decode(&terms, text, (uint32_t)size)) {
        const nm_former_term_t own = {
            .epoch = nm_former_newest_epoch(&terms) + 1,
            .since = nm_former_newest_epoch(&terms) + 1};
        nm_former_cover(&terms, own.epoch);
        guint count = terms.terms->len;
        char *stored = nm_former_encode(&terms, &own, 0);
        if (own.epoch <= NM_COUNT_MAX &&
            (!nm_former_decode(&terms, stored, (uint32_t)strlen(stored)) ||
             terms.terms->len != count + 1))
        {
            abort();
        }
        free(stored);
    }
    nm_former_finish(&terms);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    if (size < 1) {
        return 0;
    }
    if (data[0] == 'T') {
        fuzz_terms((const char *)data + 1, size - 1);
        return 0;
    }
    const char *text = (const char *)data + 1;
    size_t length = size - 1;
    switch (data[0] % 5) {
    case 0:
        fuzz_declarations(text, length);
        break;
    case 1:
        fuzz_settings_delta(text, length);
        break;
    case 2:
        fuzz_protobuf(data + 1, length);
        break;
    case 3:
        fuzz_worker_response(text, length);
        break;
    default:
        nm_host_list_free(
            nm_host_list_parse(text, length, &(nm_refusals_t){0}));
    }
    return 0;
}
