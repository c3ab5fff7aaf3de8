#include "shard_store.h"

#include <assert.h>
#include <pthread.h>
#include <stdio.h>

typedef enum {
    OP_LOAD,
    OP_APPEND,
    OP_STOP,
} op_type_t;

typedef struct {
    op_type_t type;
    uint8_t *record;
    uint32_t bytes;
    uint8_t *snapshot;
    uint32_t snapshot_bytes;
    int64_t epoch;
} op_t;

struct nm_shard_store {
    nm_journal_t journal;
    pthread_t thread;
    GAsyncQueue *ops;
    GAsyncQueue *results;
    void (*wake)(void *user);
    void *user;
};

static int
collect_record(void *user, int64_t sequence, bool is_snapshot,
               const void *data, uint32_t bytes)
{
    (void)sequence;
    (void)is_snapshot;
    nm_shard_store_result_t *result = user;
    g_ptr_array_add(result->records, g_bytes_new(data, bytes));
    return NM_OK;
}

static void
unref_bytes(void *data)
{
    g_bytes_unref(data);
}

static void
run_op(nm_shard_store_t *store, op_t *op)
{
    nm_shard_store_result_t *result = g_new0(nm_shard_store_result_t, 1);
    result->is_load = op->type == OP_LOAD;
    result->records = g_ptr_array_new_with_free_func(unref_bytes);
    if (result->is_load) {
        result->rc = nm_journal_load_as_writer(&store->journal, op->epoch,
                                               collect_record, result);
    }
    else {
        result->rc = nm_journal_append_snapshot(&store->journal, op->record,
                                                op->bytes, op->snapshot,
                                                op->snapshot_bytes, op->epoch);
    }
    result->epoch = store->journal.epoch;
    result->request_epoch = op->epoch;
    result->needs_snapshot = nm_journal_needs_snapshot(&store->journal);
    g_async_queue_push(store->results, result);
    store->wake(store->user);
}

static void
free_op(op_t *op)
{
    g_free(op->record);
    g_free(op->snapshot);
    g_free(op);
}

static void *
run_ops(void *user)
{
    nm_shard_store_t *store = user;
    for (;;) {
        op_t *op = g_async_queue_pop(store->ops);
        bool stop = op->type == OP_STOP;
        if (!stop) {
            run_op(store, op);
        }
        free_op(op);
        if (stop) {
            return NULL;
        }
    }
}

static void
push_op(nm_shard_store_t *store, const op_t *op)
{
    g_async_queue_push(store->ops, g_memdup2(op, sizeof(*op)));
}

nm_shard_store_t *
nm_shard_store_new(nm_store_t *kv, const char *datacentre, uint64_t seed,
                   void (*wake)(void *user), void *user)
{
    assert(kv && datacentre && wake);
    nm_shard_store_t *store = g_new0(nm_shard_store_t, 1);
    char prefix[NM_NAME_MAX * 2];
    snprintf(prefix, sizeof(prefix), "nutmegdeck/shards/%s", datacentre);
    nm_journal_init(&store->journal, kv, prefix, seed);
    store->ops = g_async_queue_new();
    store->results = g_async_queue_new();
    store->wake = wake;
    store->user = user;
    pthread_create(&store->thread, NULL, run_ops, store);
    return store;
}

void
nm_shard_store_result_free(nm_shard_store_result_t *result)
{
    if (result) {
        g_ptr_array_free(result->records, TRUE);
        g_free(result);
    }
}

void
nm_shard_store_free(nm_shard_store_t *store)
{
    assert(store);
    push_op(store, &(op_t){.type = OP_STOP});
    pthread_join(store->thread, NULL);
    nm_shard_store_result_t *result;
    while ((result = g_async_queue_try_pop(store->results))) {
        nm_shard_store_result_free(result);
    }
    op_t *op;
    while ((op = g_async_queue_try_pop(store->ops))) {
        free_op(op);
    }
    g_async_queue_unref(store->ops);
    g_async_queue_unref(store->results);
    g_free(store);
}

void
nm_shard_store_load(nm_shard_store_t *store, int64_t epoch)
{
    assert(store);
    push_op(store, &(op_t){.type = OP_LOAD, .epoch = epoch});
}

void
nm_shard_store_append(nm_shard_store_t *store, uint8_t *record, uint32_t bytes,
                      uint8_t *snapshot, uint32_t snapshot_bytes,
                      int64_t epoch)
{
    assert(store && record);
    push_op(store, &(op_t){
                       .type = OP_APPEND,
                       .record = record,
                       .bytes = bytes,
                       .snapshot = snapshot,
                       .snapshot_bytes = snapshot_bytes,
                       .epoch = epoch,
                   });
}

nm_shard_store_result_t *
nm_shard_store_next(nm_shard_store_t *store)
{
    assert(store);
    return g_async_queue_try_pop(store->results);
}
