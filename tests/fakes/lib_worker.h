/*
 * Stand-in for one of the platform's workers.
 *
 * It obeys the owner of the highest epoch that it has seen, accepts only
 * rising sequence numbers, runs tasks under leases, keeps outcomes until they
 * are acknowledged, and writes checkpoints on request.  It has no clock and no
 * connections: the caller passes the time and the messages.
 *
 *     fake_worker_t worker;
 *     fake_worker_init(&worker, id, on_event, user);
 *     fake_worker_tick(&worker, now_ms);
 *     fake_worker_sync(&worker, &sync, now_ms, &reply);
 *     fake_worker_finish(&worker);
 */
#ifndef FAKE_WORKER_H
#define FAKE_WORKER_H

#include <glib.h>

#include <nutmegdeck/shard.h>

typedef enum {
    FAKE_EVENT_START,
    FAKE_EVENT_DONE,
    FAKE_EVENT_FAILED,
    FAKE_EVENT_CHECKPOINTED,
    FAKE_EVENT_STOPPED,
    FAKE_EVENT_LAPSED,
    FAKE_EVENT_ACKED, /* its outcome was acknowledged */
} fake_event_t;

const char *fake_event_name(fake_event_t event);

typedef struct fake_worker fake_worker_t;

typedef void (*fake_event_fn)(void *user, const fake_worker_t *worker,
                              fake_event_t event, const nm_attempt_id_t *id,
                              uint64_t checkpoint, nm_ms_t now_ms);

typedef struct {
    nm_attempt_id_t id;
    nm_report_state_t state;
    uint64_t checkpoint; /* the task started from it, or wrote it */
    nm_resources_t resources;
    nm_ms_t run_ms;       /* processing time that the task needs */
    nm_ms_t done_ms;      /* processing time so far */
    uint8_t percent;      /* processor share left by throttling */
    nm_ms_t usage_due_ms; /* when its resource usage is reported next */
} fake_task_t;

struct fake_worker {
    uint64_t id;
    int64_t epoch;
    int64_t previous_epoch;
    uint64_t owner;
    uint64_t sequence;
    nm_ms_t lease_until_ms;
    nm_ms_t ticked_ms;
    GArray *tasks;            /* of fake_task_t */
    bool fails_all_tasks;     /* every task fails soon after its start */
    int64_t checkpoint_count; /* written so far */
    /* Processing time of a task per second of its declared duration. */
    uint32_t ms_per_declared_s; /* 0: 1000 */
    fake_event_fn on_event;
    void *user;
    nm_task_report_t *reports;
    nm_service_report_t service;
    bool has_service;
};

void fake_worker_init(fake_worker_t *worker, uint64_t id,
                      fake_event_fn on_event, void *user);
void fake_worker_finish(fake_worker_t *worker);
/* Runs the tasks until now_ms, and ends them if the lease has lapsed. */
void fake_worker_tick(fake_worker_t *worker, nm_ms_t now_ms);
/* Handles a sync; the reply is valid until the next call. */
void fake_worker_sync(fake_worker_t *worker, const nm_sync_t *sync,
                      nm_ms_t now_ms, nm_sync_reply_t *reply);
/* Returns the number of running tasks. */
uint32_t fake_worker_running(const fake_worker_t *worker);

#endif
