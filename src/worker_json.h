/*
 * JSON form of worker synchronisations.
 *
 * Used by the worker adapter and by workers that are written in C.
 */
#ifndef NM_WORKER_JSON_H
#define NM_WORKER_JSON_H

#include <jansson.h>

#include <nutmegdeck/shard.h>

/* Decoded messages with the arrays that they refer to. */
typedef struct {
    nm_sync_reply_t reply;
    nm_task_report_t *tasks;
    nm_service_report_t *services;
} nm_worker_reply_t;

typedef struct {
    nm_sync_t sync;
    nm_start_t *starts;
    nm_stop_t *stops;
    nm_throttle_t *throttles;
    nm_attempt_id_t *acks;
} nm_worker_sync_t;

json_t *nm_worker_sync_encode(const nm_sync_t *sync);
int nm_worker_sync_decode(const json_t *json, nm_worker_sync_t *sync);
void nm_worker_sync_finish(nm_worker_sync_t *sync);

json_t *nm_worker_reply_encode(const nm_sync_reply_t *reply);
int nm_worker_reply_decode(const json_t *json, nm_worker_reply_t *reply);
void nm_worker_reply_finish(nm_worker_reply_t *reply);

#endif
