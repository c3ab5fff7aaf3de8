/*
 * Stand-in for one of the platform's workers.
 *
 * Obeys the highest epoch seen, accepts only rising sequences, runs tasks
 * under leases, keeps outcomes until they are acknowledged, and checkpoints
 * on demand.  Pure: the caller gives the time and carries the messages.
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
    FAKE_EVENT_ACKED, /* the outcome was acknowledged */
} fake_event_t;

const char *fake_event_name(fake_event_t event);

typedef struct fake_worker fake_worker_t;

typedef void (*fake_event_fn)(void *user, const fake_worker_t *worker,
                              fake_event_t event, const nm_attempt_id_t *name,
                              uint64_t checkpoint, nm_ms_t now_ms);

typedef struct {
    nm_attempt_id_t id;
    nm_report_state_t state;
    uint64_t checkpoint; /* started from, or written */
    nm_resources_t resources;
    nm_ms_t run_ms;     /* work in the task */
    nm_ms_t done_ms;    /* work done so far */
    uint8_t percent;    /* processor share left by throttling */
    nm_ms_t use_due_ms; /* when its use is reported next */
} fake_task_t;

struct fake_worker {
    uint64_t id;
    int64_t epoch;
    int64_t previous_epoch;
    uint64_t owner;
    uint64_t sequence;
    nm_ms_t lease_until_ms;
    nm_ms_t ticked_ms;
    GArray *tasks;  /* of fake_task_t */
    bool fails_all; /* every task fails soon after its start */
    nm_ms_t checkpoint_seed;
    uint32_t ms_per_s; /* run time of one declared second; 0: 1000 */
    fake_event_fn on_event;
    void *user;
    nm_task_report_t *reports;
    nm_service_report_t service;
    bool has_service;
};

void fake_worker_init(fake_worker_t *worker, uint64_t id,
                      fake_event_fn on_event, void *user);
void fake_worker_finish(fake_worker_t *worker);
/* Runs tasks until now; lapsed leases end them. */
void fake_worker_tick(fake_worker_t *worker, nm_ms_t now_ms);
/* Answers a sync; the reply is valid until the next call. */
void fake_worker_sync(fake_worker_t *worker, const nm_sync_t *sync,
                      nm_ms_t now_ms, nm_sync_reply_t *reply);
uint32_t fake_worker_running(const fake_worker_t *worker);

#endif
