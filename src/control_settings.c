#include "control_state.h"

#include <stdlib.h>
#include <string.h>

/* Interval between requests for missing revisions to one peer. */
#define SETTINGS_REQUEST_INTERVAL_MS 500

static void
free_part(void *data)
{
    nm_settings_part_t *part = data;
    free(part->delta_text);
    g_free(part);
}

void
nm_control_free_settings_parts(nm_control_t *control)
{
    g_queue_clear_full(&control->settings_parts, free_part);
}

/* Returns the index of a service; a new path is added to the list. */
static uint32_t
intern_service(nm_control_t *control, const char *path)
{
    for (uint32_t i = 0; i < control->services->len; i++) {
        if (strcmp(control->services->pdata[i], path) == 0) {
            return i;
        }
    }
    g_ptr_array_add(control->services, g_strdup(path));
    return control->services->len - 1;
}

static nm_resources_t
declared_resources(const nm_settings_t *settings, const char *path)
{
    return (nm_resources_t){
        .cpu_milli = nm_settings_int(settings, path, NM_KEY_CPU),
        .memory_mb = nm_settings_int(settings, path, NM_KEY_MEMORY),
        .accelerators =
            (int32_t)nm_settings_int(settings, path, NM_KEY_ACCELERATORS),
    };
}

/* Returns an id; never 0, which stands for none. */
static uint64_t
hash_text(const char *text)
{
    uint64_t hash = nm_hash(text, strlen(text));
    return hash ? hash : 1;
}

static void
apply_job(nm_control_t *control, const char *path, nm_kind_t kind)
{
    const nm_settings_t *settings = &control->settings;
    const char *run = nm_settings_text(settings, path, NM_KEY_RUN, NULL);
    /* A new run name makes a new job of the same class. */
    char *identity = g_strdup_printf("%s\n%s", path, run);
    const char *team = nm_settings_text(settings, path, NM_KEY_TEAM, NULL);
    nm_shard_job_t job = {
        .id = hash_text(identity),
        .class_id = hash_text(path),
        .team = *team ? hash_text(team) : 0,
        .tasks = (uint32_t)nm_settings_int(settings, path, NM_KEY_TASKS),
        .gang = (uint32_t)nm_settings_int(settings, path, NM_KEY_GANG),
        .declared = declared_resources(settings, path),
        .duration_s =
            (uint32_t)nm_settings_int(settings, path, NM_KEY_DURATION_S),
        .finish_within_s =
            (uint32_t)nm_settings_int(settings, path, NM_KEY_FINISH_WITHIN_S),
        .priority = (uint8_t)nm_settings_int(settings, path, NM_KEY_PRIORITY),
        .long_lived = kind == NM_KIND_WATCHER,
    };
    nm_strcopy(job.path, sizeof(job.path), path);
    g_free(identity);
    if (job.tasks > 0) {
        nm_shard_set_job(&control->shard, &job);
    }
}

static void
apply_team(nm_control_t *control, const char *path)
{
    const nm_settings_t *settings = &control->settings;
    nm_shard_team_t team = {
        .id = hash_text(path),
        .quota =
            {
                .cpu_milli = nm_settings_int(settings, path, NM_KEY_QUOTA_CPU),
                .memory_mb =
                    nm_settings_int(settings, path, NM_KEY_QUOTA_MEMORY),
                .accelerators = (int32_t)nm_settings_int(settings, path,
                                                         NM_KEY_QUOTA_ACCEL),
            },
    };
    nm_shard_set_team(&control->shard, &team);
}

/* Applies services, teams, jobs and weights of the installed tree. */
static void
apply_tree(nm_control_t *control, nm_ms_t now_ms)
{
    const nm_settings_t *settings = &control->settings;
    const char *path;
    json_t *section;
    json_object_foreach(settings->sections, path, section)
    {
        nm_kind_t kind = nm_settings_kind(settings, path);
        if (kind == NM_KIND_SERVICE) {
            intern_service(control, path);
        }
        else if (kind == NM_KIND_TEAM) {
            apply_team(control, path);
        }
        else if (kind == NM_KIND_CUSTOMER) {
            nm_shard_set_weight(&control->shard,
                                (uint32_t)nm_settings_int(
                                    settings, path, NM_KEY_WEIGHT_LATENCY));
        }
        else if ((kind == NM_KIND_BATCH || kind == NM_KIND_WATCHER) &&
                 strcmp(nm_settings_home(settings, path),
                        control->desc.config->datacentre) == 0)
        {
            apply_job(control, path, kind);
        }
    }
    nm_shard_sweep_jobs(&control->shard, now_ms);
    nm_control_apply_hosts(control, now_ms);
    control->snapshot_dirty = true;
}

static void
retain_part(nm_control_t *control, int64_t from, int64_t to,
            const json_t *delta)
{
    nm_settings_part_t *part = g_new0(nm_settings_part_t, 1);
    part->from_revision = from;
    part->to_revision = to;
    part->delta_text = json_dumps(delta, JSON_COMPACT);
    g_queue_push_tail(&control->settings_parts, part);
    if (control->settings_parts.length > NM_SETTINGS_PARTS_MAX) {
        free_part(g_queue_pop_head(&control->settings_parts));
    }
}

static void
send_part(nm_control_t *control, nm_peer_t *peer, int64_t from, int64_t to,
          char *delta_text)
{
    NmPb__SettingsPart part = NM_PB__SETTINGS_PART__INIT;
    part.from_revision = from;
    part.to_revision = to;
    part.delta_json = delta_text;
    NmPb__PeerMessage message = NM_PB__PEER_MESSAGE__INIT;
    message.settings = &part;
    nm_control_send(control, peer, &message);
}

/*
 * Installs an update; returns false if it was not installed.  The
 * revision in force never decreases: older and duplicate updates are
 * ignored.  An update that leaves a gap is ignored as well; the missing
 * revisions are requested from a peer or loaded from the store.
 */
static bool
install_update(nm_control_t *control, int64_t from, int64_t to, json_t *delta,
               nm_ms_t now_ms)
{
    nm_settings_t *settings = &control->settings;
    if (to <= settings->revision) {
        nm_count_reason(NM_REASON_SETTINGS_STALE);
        return false;
    }
    if (from != 0 && from != settings->revision) {
        nm_count_reason(NM_REASON_SETTINGS_GAP);
        return false;
    }
    int rc = NM_ERR_CORRUPT;
    if (delta && from == 0) {
        nm_settings_t tree;
        nm_settings_init(&tree);
        rc = nm_settings_apply(&tree, delta, to);
        if (rc == NM_OK) {
            nm_settings_finish(settings);
            *settings = tree;
        }
        else {
            nm_settings_finish(&tree);
        }
    }
    else if (delta) {
        rc = nm_settings_apply(settings, delta, to);
    }
    if (rc < 0) {
        /*
         * Every host skips a malformed record.  The revision of a malformed
         * delta counts as installed, so that the next delta applies.
         */
        nm_count_reason(NM_REASON_SETTINGS_CORRUPT);
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_SETTINGS_REFUSED, "{s:I}", "revision",
               (json_int_t)to);
        if (from == 0) {
            return false;
        }
        settings->revision = to;
        return false;
    }
    control->settings_installed_ms = now_ms;
    nm_count(NM_COUNTER_SETTINGS_INSTALLED, 1);
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_SETTINGS_INSTALLED, "{s:I}", "revision",
           (json_int_t)to);
    retain_part(control, from, to, delta);
    apply_tree(control, now_ms);
    return true;
}

void
nm_control_process_updates(nm_control_t *control, nm_ms_t now_ms)
{
    nm_settings_update_t *update;
    while ((update = nm_settings_feed_next(control->feed))) {
        bool installed =
            install_update(control, update->from_revision, update->to_revision,
                           update->delta, now_ms);
        if (installed) {
            nm_settings_part_t *part =
                g_queue_peek_tail(&control->settings_parts);
            for (uint32_t i = 0; i < control->peer_count; i++) {
                if (control->peers[i].same_datacentre) {
                    send_part(control, &control->peers[i], part->from_revision,
                              part->to_revision, part->delta_text);
                }
            }
        }
        else if (update->from_revision > control->settings.revision) {
            nm_settings_feed_reload(control->feed);
        }
        nm_settings_update_free(update);
    }
}

void
nm_control_handle_settings_part(nm_control_t *control,
                                const NmPb__SettingsPart *part, nm_ms_t now_ms)
{
    if (part->to_revision <= control->settings.revision) {
        return;
    }
    json_t *delta =
        json_loads(part->delta_json ? part->delta_json : "", 0, NULL);
    if (!delta) {
        nm_count_reason(NM_REASON_PEER_MALFORMED);
        return;
    }
    install_update(control, part->from_revision, part->to_revision, delta,
                   now_ms);
    json_decref(delta);
}

/* Returns the retained part that starts at a revision, or NULL. */
static GList *
find_part(nm_control_t *control, int64_t revision)
{
    for (GList *link = control->settings_parts.head; link; link = link->next) {
        const nm_settings_part_t *part = link->data;
        if (part->from_revision == revision && revision > 0) {
            return link;
        }
    }
    return NULL;
}

void
nm_control_handle_settings_request(nm_control_t *control, nm_peer_t *peer,
                                   const NmPb__SettingsAsk *request)
{
    if (control->settings.revision <= request->have_revision) {
        return;
    }
    GList *link = find_part(control, request->have_revision);
    for (; link; link = link->next) {
        nm_settings_part_t *part = link->data;
        send_part(control, peer, part->from_revision, part->to_revision,
                  part->delta_text);
        if (part->to_revision == control->settings.revision) {
            return;
        }
    }
    /* The retained parts do not bridge the gap: send the whole tree. */
    nm_settings_t empty;
    nm_settings_init(&empty);
    json_t *full_delta = nm_settings_diff(&empty, &control->settings);
    char *text = json_dumps(full_delta, JSON_COMPACT);
    send_part(control, peer, 0, control->settings.revision, text);
    free(text);
    json_decref(full_delta);
    nm_settings_finish(&empty);
}

void
nm_control_request_missing_settings(nm_control_t *control, nm_ms_t now_ms)
{
    nm_peer_t *best = NULL;
    for (uint32_t i = 0; i < control->peer_count; i++) {
        nm_peer_t *peer = &control->peers[i];
        if (!nm_control_peer_is_live(peer, now_ms) ||
            peer->settings_revision <= control->settings.revision)
        {
            continue;
        }
        bool nearer = best && peer->same_datacentre && !best->same_datacentre;
        if (!best || nearer) {
            best = peer;
        }
    }
    if (!best ||
        now_ms - best->settings_requested_ms < SETTINGS_REQUEST_INTERVAL_MS)
    {
        return;
    }
    best->settings_requested_ms = now_ms;
    nm_count_reason(NM_REASON_SETTINGS_GAP);
    NmPb__SettingsAsk request = NM_PB__SETTINGS_ASK__INIT;
    request.have_revision = control->settings.revision;
    NmPb__PeerMessage message = NM_PB__PEER_MESSAGE__INIT;
    message.settings_ask = &request;
    nm_control_send(control, best, &message);
}

/* Hosts */

static const nm_executor_host_t *
executor_on_worker(const nm_control_t *control, uint64_t worker)
{
    for (uint32_t i = 0; i < control->host_list->executor_count; i++) {
        if (control->host_list->executors[i].worker == worker) {
            return &control->host_list->executors[i];
        }
    }
    return NULL;
}

static void
apply_worker(nm_control_t *control, const nm_worker_host_t *host,
             nm_ms_t now_ms)
{
    nm_shard_worker_t worker = {
        .id = host->id,
        .rack = host->rack,
        .capacity = host->capacity,
        .service = NM_PLACE_NO_SERVICE,
        .leaving = host->leaving,
    };
    nm_strcopy(worker.address, sizeof(worker.address), host->address);
    const nm_executor_host_t *executor = executor_on_worker(control, host->id);
    const nm_settings_t *settings = &control->settings;
    if (executor && nm_settings_has_section(settings, executor->service)) {
        /* Services beyond NM_PLACE_SERVICES_MAX share an index. */
        worker.service =
            intern_service(control, executor->service) % NM_PLACE_SERVICES_MAX;
        worker.executor.cpu_milli =
            nm_settings_int(settings, executor->service, NM_KEY_EXECUTOR_CPU);
        worker.executor.memory_mb = nm_settings_int(
            settings, executor->service, NM_KEY_EXECUTOR_MEMORY);
    }
    nm_shard_set_worker(&control->shard, &worker, now_ms);
}

void
nm_control_apply_hosts(nm_control_t *control, nm_ms_t now_ms)
{
    if (!control->host_list) {
        return;
    }
    const char *datacentre = control->desc.config->datacentre;
    for (uint32_t i = 0; i < control->host_list->worker_count; i++) {
        if (strcmp(control->host_list->workers[i].datacentre, datacentre) == 0)
        {
            apply_worker(control, &control->host_list->workers[i], now_ms);
        }
    }
    nm_shard_sweep_workers(&control->shard, now_ms);
    GHashTableIter iter;
    void *value;
    g_hash_table_iter_init(&iter, control->executors);
    while (g_hash_table_iter_next(&iter, NULL, &value)) {
        ((nm_local_executor_t *)value)->listed = false;
    }
    for (uint32_t i = 0; i < control->host_list->executor_count; i++) {
        const nm_executor_host_t *host = &control->host_list->executors[i];
        if (strcmp(host->datacentre, datacentre) != 0) {
            continue;
        }
        void *key = (void *)(uintptr_t)host->id;
        nm_local_executor_t *executor =
            g_hash_table_lookup(control->executors, key);
        if (!executor) {
            executor = g_new0(nm_local_executor_t, 1);
            executor->slowdown = 1;
            g_hash_table_insert(control->executors, key, executor);
        }
        executor->host = *host;
        executor->service = intern_service(control, host->service);
        executor->listed = true;
    }
    control->snapshot_dirty = true;
}
