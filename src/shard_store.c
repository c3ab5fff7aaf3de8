#include "shard_store.h"

#include <assert.h>
#include <pthread.h>
#include <stdio.h>

typedef enum {
    OPERATION_LOAD,
    OPERATION_APPEND,
    OPERATION_STOP,
} operation_type_t;

typedef struct {
    operation_type_t type;
    uint8_t *record;
    uint32_t bytes;
    uint8_t *snapshot;
    uint32_t snapshot_bytes;
    int64_t epoch;
} operation_t;

struct nm_shard_store {
    nm_journal_t journal;
    pthread_t thread;
    GAsyncQueue *operations;
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
run_operation(nm_shard_store_t *store, operation_t *operation)
{
    nm_shard_store_result_t *result = g_new0(nm_shard_store_result_t, 1);
    result->is_load = operation->type == OPERATION_LOAD;
    result->records = g_ptr_array_new_with_free_func(unref_bytes);
    if (result->is_load) {
        result->rc = nm_journal_load_as_writer(
            &store->journal, operation->epoch, collect_record, result);
    }
    else {
        result->rc = nm_journal_append_snapshot(
            &store->journal, operation->record, operation->bytes,
            operation->snapshot, operation->snapshot_bytes, operation->epoch);
    }
    result->epoch = store->journal.epoch;
    result->request_epoch = operation->epoch;
    result->wants_snapshot = nm_journal_wants_snapshot(&store->journal);
    g_async_queue_push(store->results, result);
    store->wake(store->user);
}

static void
free_operation(operation_t *operation)
{
    g_free(operation->record);
    g_free(operation->snapshot);
    g_free(operation);
}

static void *
run_operations(void *user)
{
    nm_shard_store_t *store = user;
    for (;;) {
        operation_t *operation = g_async_queue_pop(store->operations);
        bool stop = operation->type == OPERATION_STOP;
        if (!stop) {
            run_operation(store, operation);
        }
        free_operation(operation);
        if (stop) {
            return NULL;
        }
    }
}

static void
push_operation(nm_shard_store_t *store, const operation_t *operation)
{
    g_async_queue_push(store->operations,
                       g_memdup2(operation, sizeof(*operation)));
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
    store->operations = g_async_queue_new();
    store->results = g_async_queue_new();
    store->wake = wake;
    store->user = user;
    pthread_create(&store->thread, NULL, run_operations, store);
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
    push_operation(store, &(operation_t){.type = OPERATION_STOP});
    pthread_join(store->thread, NULL);
    nm_shard_store_result_t *result;
    while ((result = g_async_queue_try_pop(store->results))) {
        nm_shard_store_result_free(result);
    }
    operation_t *operation;
    while ((operation = g_async_queue_try_pop(store->operations))) {
        free_operation(operation);
    }
    g_async_queue_unref(store->operations);
    g_async_queue_unref(store->results);
    g_free(store);
}

void
nm_shard_store_load(nm_shard_store_t *store, int64_t epoch)
{
    assert(store);
    push_operation(store,
                   &(operation_t){.type = OPERATION_LOAD, .epoch = epoch});
}

void
nm_shard_store_append(nm_shard_store_t *store, uint8_t *record, uint32_t bytes,
                      uint8_t *snapshot, uint32_t snapshot_bytes,
                      int64_t epoch)
{
    assert(store && record);
    push_operation(store, &(operation_t){
                              .type = OPERATION_APPEND,
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
