#include "place_worker.h"

#include <assert.h>
#include <math.h>

#include <glib.h>

/* Minimum time between two refreshes of a worker's reservations. */
#define REFRESH_INTERVAL_MS 1000

void
nm_worker_finish(nm_worker_t *worker)
{
    g_free(worker->allocations);
}

nm_resources_t
nm_worker_allocatable(const nm_worker_t *worker)
{
    const nm_place_worker_t *desc = &worker->desc;
    return (nm_resources_t){
        .cpu_milli = desc->capacity.cpu_milli - desc->executor.cpu_milli,
        .memory_mb = desc->capacity.memory_mb - desc->executor.memory_mb,
        .accelerators =
            desc->capacity.accelerators - desc->executor.accelerators,
    };
}

bool
nm_worker_fits(const nm_worker_t *worker, const nm_resources_t *amount)
{
    nm_resources_t allocatable = nm_worker_allocatable(worker);
    return worker->used.cpu_milli + amount->cpu_milli <=
               allocatable.cpu_milli &&
           worker->used.memory_mb + amount->memory_mb <=
               allocatable.memory_mb &&
           worker->used.accelerators + amount->accelerators <=
               allocatable.accelerators;
}

nm_allocation_t *
nm_worker_find_allocation(nm_worker_t *worker, uint64_t task)
{
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        if (worker->allocations[i].task == task) {
            return &worker->allocations[i];
        }
    }
    return NULL;
}

static float
processor_share(const nm_worker_t *worker, const nm_allocation_t *allocation)
{
    if (worker->desc.capacity.cpu_milli <= 0) {
        return 0;
    }
    return (float)allocation->reserved.cpu_milli /
           (float)worker->desc.capacity.cpu_milli * allocation->throttle_pct /
           100;
}

static void
record_share_change(nm_worker_t *worker, nm_class_t *class_, float delta,
                    nm_ms_t now_ms)
{
    uint32_t slot = worker->history_count++ % NM_SHARE_CHANGES_MAX;
    worker->history[slot] = (nm_share_change_t){now_ms, class_, delta};
}

static void
add_resources(nm_resources_t *sum, const nm_resources_t *amount, int sign)
{
    sum->cpu_milli += sign * amount->cpu_milli;
    sum->memory_mb += sign * amount->memory_mb;
    sum->accelerators += sign * amount->accelerators;
}

nm_allocation_t *
nm_worker_add_allocation(nm_worker_t *worker,
                         const nm_allocation_t *allocation, nm_ms_t now_ms)
{
    assert(!nm_worker_find_allocation(worker, allocation->task));
    if (worker->allocation_count == worker->allocation_capacity) {
        worker->allocation_capacity =
            worker->allocation_capacity ? worker->allocation_capacity * 2 : 8;
        worker->allocations = g_renew(nm_allocation_t, worker->allocations,
                                      worker->allocation_capacity);
    }
    nm_allocation_t *added = &worker->allocations[worker->allocation_count++];
    *added = *allocation;
    add_resources(&worker->used, &added->reserved, 1);
    record_share_change(worker, added->class_, processor_share(worker, added),
                        now_ms);
    return added;
}

void
nm_worker_remove_allocation(nm_worker_t *worker, nm_allocation_t *allocation,
                            nm_ms_t now_ms)
{
    add_resources(&worker->used, &allocation->reserved, -1);
    record_share_change(worker, allocation->class_,
                        -processor_share(worker, allocation), now_ms);
    *allocation = worker->allocations[--worker->allocation_count];
}

void
nm_worker_set_throttle(nm_worker_t *worker, nm_allocation_t *allocation,
                       uint8_t throttle_pct, nm_ms_t now_ms)
{
    float before = processor_share(worker, allocation);
    allocation->throttle_pct = throttle_pct;
    record_share_change(worker, allocation->class_,
                        processor_share(worker, allocation) - before, now_ms);
}

static int64_t
limit_growth(int64_t before, int64_t target, int64_t unreserved)
{
    int64_t limit = before + (unreserved > 0 ? unreserved : 0);
    return target < limit ? target : limit;
}

void
nm_worker_refresh_reservations(nm_worker_t *worker, nm_ms_t now_ms)
{
    if (now_ms - worker->refreshed_ms < REFRESH_INTERVAL_MS) {
        return;
    }
    worker->refreshed_ms = now_ms;
    nm_resources_t allocatable = nm_worker_allocatable(worker);
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        nm_allocation_t *allocation = &worker->allocations[i];
        nm_resources_t amount = nm_class_reservation(
            allocation->class_, &allocation->declared, &allocatable);
        /* A reservation grows only into unreserved resources. */
        amount.cpu_milli =
            limit_growth(allocation->reserved.cpu_milli, amount.cpu_milli,
                         allocatable.cpu_milli - worker->used.cpu_milli);
        amount.memory_mb =
            limit_growth(allocation->reserved.memory_mb, amount.memory_mb,
                         allocatable.memory_mb - worker->used.memory_mb);
        if (amount.cpu_milli == allocation->reserved.cpu_milli &&
            amount.memory_mb == allocation->reserved.memory_mb)
        {
            continue;
        }
        float before = processor_share(worker, allocation);
        add_resources(&worker->used, &allocation->reserved, -1);
        allocation->reserved = amount;
        add_resources(&worker->used, &allocation->reserved, 1);
        float delta = processor_share(worker, allocation) - before;
        if (fabsf(delta) > 0.005f) {
            record_share_change(worker, allocation->class_, delta, now_ms);
        }
    }
}

static int
add_class_share(nm_class_share_t *shares, int count, nm_class_t *class_,
                float share)
{
    for (int i = 0; i < count; i++) {
        if (shares[i].class_ == class_) {
            shares[i].share += share;
            return count;
        }
    }
    if (count < NM_CLASS_SHARES_MAX) {
        shares[count++] = (nm_class_share_t){class_, share};
    }
    return count;
}

int
nm_worker_class_shares_at(const nm_worker_t *worker, nm_ms_t at_ms,
                          nm_class_share_t *shares)
{
    int count = 0;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        count =
            add_class_share(shares, count, worker->allocations[i].class_,
                            processor_share(worker, &worker->allocations[i]));
    }
    uint32_t recorded = worker->history_count < NM_SHARE_CHANGES_MAX
                            ? worker->history_count
                            : NM_SHARE_CHANGES_MAX;
    uint32_t undone = 0;
    for (; undone < recorded; undone++) {
        uint32_t slot =
            (worker->history_count - 1 - undone) % NM_SHARE_CHANGES_MAX;
        const nm_share_change_t *change = &worker->history[slot];
        if (change->at_ms <= at_ms) {
            break;
        }
        count = add_class_share(shares, count, change->class_, -change->delta);
    }
    if (undone == NM_SHARE_CHANGES_MAX) {
        return -1;
    }
    /* Classes that did not run then are left with a rounding error. */
    int kept = 0;
    for (int i = 0; i < count; i++) {
        if (shares[i].share > 0.001f) {
            shares[kept++] = shares[i];
        }
    }
    return kept;
}

nm_estimate_t
nm_worker_predict(nm_worker_t *worker, float load, nm_class_t *added,
                  float added_share)
{
    if (worker->desc.service == NM_PLACE_NO_SERVICE) {
        return (nm_estimate_t){.mean = 1};
    }
    nm_class_share_t shares[NM_CLASS_SHARES_MAX];
    int count = 0;
    for (uint32_t i = 0; i < worker->allocation_count; i++) {
        count =
            add_class_share(shares, count, worker->allocations[i].class_,
                            processor_share(worker, &worker->allocations[i]));
    }
    if (added) {
        count = add_class_share(shares, count, added, added_share);
    }
    float mean = 1;
    float variance = 0;
    int band = nm_model_band(load);
    for (int i = 0; i < count; i++) {
        const nm_coefficient_t *coefficient =
            nm_class_coefficient(shares[i].class_, worker->desc.service, band);
        mean += coefficient->mean * shares[i].share;
        variance += coefficient->variance * shares[i].share * shares[i].share;
    }
    return (nm_estimate_t){.mean = mean, .deviation = sqrtf(variance)};
}
