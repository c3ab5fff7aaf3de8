/*
 * JSON form of worker synchronisations.
 *
 * Used by the worker adapter and by workers that are written in C.  A
 * sync carries the fence, the lease renewal and the commands for one worker;
 * its reply lists all tasks of the worker.
 *
 *     nm_worker_sync_t sync;
 *     int rc = nm_worker_sync_decode(json, &sync);
 *     json_t *reply_json = nm_worker_reply_encode(&reply);
 *     nm_worker_sync_finish(&sync);
 */
#ifndef NM_WORKER_JSON_H
#define NM_WORKER_JSON_H

#include <jansson.h>

#include <nutmegdeck/shard.h>

/* A decoded reply and the arrays that it refers to. */
typedef struct {
    nm_sync_reply_t reply;
    nm_task_report_t *tasks;
    nm_service_report_t *services;
} nm_worker_reply_t;

/* A decoded sync and the arrays that it refers to. */
typedef struct {
    nm_sync_t sync;
    nm_start_t *starts;
    nm_stop_t *stops;
    nm_throttle_t *throttles;
    nm_attempt_id_t *acks;
} nm_worker_sync_t;

/*
 * encode returns a new reference.  decode returns NM_ERR_CORRUPT for a
 * malformed document; finish must be called in this case as well.
 */
json_t *nm_worker_sync_encode(const nm_sync_t *sync);
int nm_worker_sync_decode(const json_t *json, nm_worker_sync_t *sync);
void nm_worker_sync_finish(nm_worker_sync_t *sync);

json_t *nm_worker_reply_encode(const nm_sync_reply_t *reply);
int nm_worker_reply_decode(const json_t *json, nm_worker_reply_t *reply);
void nm_worker_reply_finish(nm_worker_reply_t *reply);

#endif
