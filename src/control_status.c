#include "control_state.h"

#include <ck_pr.h>

/* Jobs listed on the page /-/jobs. */
#define JOBS_LISTED_MAX 2000

/* Keys on the operators' pages, by nm_task_state_t. */
static const char *const state_names[NM_TASK_STATE_COUNT] = {
    "waiting", "held", "running", "ending", "recording", "done"};

static json_t *
peers_json(const nm_control_t *control, nm_ms_t now_ms)
{
    json_t *peers = json_array();
    for (uint32_t i = 0; i < control->peer_count; i++) {
        const nm_peer_t *peer = &control->peers[i];
        json_array_append_new(
            peers,
            json_pack("{s:s,s:s,s:b,s:b,s:b,s:I}", "id", peer->config.id,
                      "datacentre", peer->config.datacentre, "live",
                      nm_control_peer_is_live(peer, now_ms), "ready",
                      peer->ready, "owner", peer->owner, "revision",
                      (json_int_t)peer->settings_revision));
    }
    return peers;
}

static json_t *
services_json(const nm_control_t *control)
{
    json_t *services = json_array();
    const nm_traffic_report_t *report = control->report;
    for (uint32_t i = 0; report && i < report->service_count; i++) {
        const nm_route_info_t *info = &report->services[i];
        json_array_append_new(
            services,
            json_pack("{s:s,s:i,s:i,s:i,s:i,s:f,s:f}", "path",
                      i < control->services->len
                          ? (const char *)control->services->pdata[i]
                          : "",
                      "granted", (int)info->granted, "in_flight",
                      (int)info->in_flight, "queued", (int)info->queued,
                      "demand", (int)info->demand, "p50_ms",
                      info->latency_p50_ms, "p99_ms", info->latency_p99_ms));
    }
    return services;
}

static json_t *
jobs_json(const nm_control_t *control)
{
    json_t *jobs = json_array();
    nm_shard_job_info_t info;
    for (uint32_t i = 0;
         i < JOBS_LISTED_MAX && nm_shard_query_job(&control->shard, i, &info);
         i++)
    {
        json_t *job =
            json_pack("{s:s,s:s,s:i,s:b}", "path", info.path, "reason",
                      nm_reason_name(info.reason), "failures",
                      (int)info.failures, "long_lived", info.long_lived);
        for (int s = 0; s < NM_TASK_STATE_COUNT; s++) {
            json_object_set_new(job, state_names[s],
                                json_integer(info.counts[s]));
        }
        json_array_append_new(jobs, job);
    }
    return jobs;
}

void
nm_control_write_status(nm_control_t *control, nm_ms_t now_ms)
{
    const nm_config_t *config = control->desc.config;
    nm_shard_info_t shard = nm_shard_query(&control->shard, now_ms);
    json_t *tasks = json_object();
    for (int s = 0; s < NM_TASK_STATE_COUNT; s++) {
        json_object_set_new(tasks, state_names[s],
                            json_integer(shard.counts[s]));
    }
    json_t *status = json_pack(
        "{s:s,s:s,s:s,s:b,s:b,s:b,s:I,s:I,s:s,s:I,s:b,s:i,s:i,s:i,s:I,s:i}",
        "id", config->id, "datacentre", config->datacentre, "region",
        config->region, "ready", control->ready, "leaving",
        ck_pr_load_32(&control->leaving) != 0, "store_ok",
        control->store_healthy, "revision",
        (json_int_t)control->settings.revision, "revision_age_ms",
        (json_int_t)(now_ms - control->settings_installed_ms), "phase",
        nm_shard_phase_name(shard.phase), "epoch", (json_int_t)shard.epoch,
        "authority", shard.authority, "workers", (int)shard.workers,
        "workers_reached", (int)shard.workers_reached, "jobs", (int)shard.jobs,
        "grant_left_ms", (json_int_t)(control->grant_expires_ms - now_ms),
        "active", control->report ? (int)control->report->active : 0);
    json_object_set_new(status, "tasks", tasks);
    json_object_set_new(status, "services", services_json(control));
    json_object_set_new(status, "peers", peers_json(control, now_ms));
    nm_ops_set_page(control->desc.ops, NM_OPS_PAGE_STATUS,
                    json_dumps(status, JSON_COMPACT));
    json_decref(status);
    json_t *jobs =
        json_pack("{s:b,s:o}", "owner", shard.phase == NM_SHARD_ACTIVE, "jobs",
                  jobs_json(control));
    nm_ops_set_page(control->desc.ops, NM_OPS_PAGE_JOBS,
                    json_dumps(jobs, JSON_COMPACT));
    json_decref(jobs);
}
