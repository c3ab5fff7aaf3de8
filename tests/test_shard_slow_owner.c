/*
 * A shard whose owner is behind: replies of workers that live come late, or
 * not at all, as the owner or its links are slow.
 *
 * Guards against an owner that takes its own delay for lost workers, sends
 * orders of a time long gone, or forgets an end because a start is on its way.
 */
#include <glib.h>

#include "lib_worker.h"

#define WORKERS 3
#define STEP_MS 10
/* Longer than any test: such a reply never comes. */
#define LOST_MS 1000000

/* The sync in flight with a worker. */
typedef struct {
    uint64_t sequence; /* 0: none */
    nm_ms_t sent_ms;
    nm_ms_t arrival_ms; /* of the reply */
    nm_sync_reply_t reply;
    nm_service_report_t service;
} call_t;

typedef struct {
    nm_shard_t shard;
    nm_ms_t now_ms;
    nm_ms_t frozen_until_ms;
    fake_worker_t workers[WORKERS];
    call_t calls[WORKERS];
    nm_ms_t reply_delay_ms[WORKERS];
    GPtrArray *journal; /* of GBytes */
    uint32_t events[FAKE_EVENT_ACKED + 1];
    uint32_t started_on; /* worker of the newest start */
} fleet_t;

static void
count_event(void *user, const fake_worker_t *worker, fake_event_t event,
            const nm_attempt_id_t *id, uint64_t checkpoint, nm_ms_t now_ms)
{
    (void)id;
    (void)checkpoint;
    (void)now_ms;
    fleet_t *fleet = user;
    fleet->events[event]++;
    if (event == FAKE_EVENT_START) {
        fleet->started_on = (uint32_t)worker->id - 1;
    }
}

static void
begin(fleet_t *fleet, uint32_t duration_s)
{
    *fleet = (fleet_t){
        .now_ms = 1000,
        .journal =
            g_ptr_array_new_with_free_func((GDestroyNotify)g_bytes_unref),
    };
    nm_shard_init(&fleet->shard, &(nm_shard_desc_t){.owner_id = 1, .seed = 1});
    for (uint32_t i = 0; i < WORKERS; i++) {
        fake_worker_init(&fleet->workers[i], i + 1, count_event, fleet);
        fleet->reply_delay_ms[i] = STEP_MS;
        nm_shard_worker_t worker = {
            .id = i + 1,
            .capacity = {16000, 64000, 0},
            .service = 0,
        };
        nm_shard_set_worker(&fleet->shard, &worker, fleet->now_ms);
    }
    nm_shard_job_t job = {
        .id = 10,
        .path = "a/render",
        .class_id = 10,
        .tasks = 1,
        .gang = 1,
        .declared = {2000, 2000, 0},
        .duration_s = duration_s,
        .priority = 4,
    };
    nm_shard_set_job(&fleet->shard, &job);
    nm_shard_campaign(&fleet->shard, fleet->now_ms);
}

static void
end(fleet_t *fleet)
{
    nm_shard_finish(&fleet->shard);
    g_ptr_array_unref(fleet->journal);
    for (uint32_t i = 0; i < WORKERS; i++) {
        g_free((void *)fleet->calls[i].reply.tasks);
        fake_worker_finish(&fleet->workers[i]);
    }
}

static void
send_sync(fleet_t *fleet, const nm_sync_t *sync)
{
    uint32_t index = (uint32_t)sync->worker - 1;
    fake_worker_t *worker = &fleet->workers[index];
    call_t *call = &fleet->calls[index];
    g_free((void *)call->reply.tasks);
    *call = (call_t){
        .sequence = sync->sequence,
        .sent_ms = fleet->now_ms,
        .arrival_ms = fleet->now_ms + fleet->reply_delay_ms[index],
    };
    fake_worker_sync(worker, sync, fleet->now_ms, &call->reply);
    call->reply.tasks =
        g_memdup2(call->reply.tasks,
                  call->reply.task_count * sizeof(call->reply.tasks[0]));
    call->service = worker->service;
    call->reply.services = &call->service;
}

static void
receive(fleet_t *fleet)
{
    for (uint32_t i = 0; i < WORKERS; i++) {
        call_t *call = &fleet->calls[i];
        uint64_t sequence = call->sequence;
        bool late = fleet->now_ms >= call->sent_ms + NM_SHARD_SYNC_TIMEOUT_MS;
        if (sequence == 0 || (!late && fleet->now_ms < call->arrival_ms)) {
            continue;
        }
        call->sequence = 0;
        if (late) {
            nm_shard_sync_failed(&fleet->shard, i + 1, sequence,
                                 fleet->now_ms);
        }
        else {
            nm_shard_sync_reply(&fleet->shard, i + 1, sequence, &call->reply,
                                fleet->now_ms);
        }
    }
}

static void
load_journal(fleet_t *fleet)
{
    nm_shard_journal_reset(&fleet->shard);
    for (guint i = 0; i < fleet->journal->len; i++) {
        gsize bytes;
        const void *data = g_bytes_get_data(fleet->journal->pdata[i], &bytes);
        g_assert_cmpint(
            nm_shard_journal_replay(&fleet->shard, data, (uint32_t)bytes), ==,
            NM_OK);
    }
    nm_shard_journal_loaded(&fleet->shard, fleet->now_ms);
}

static void
run(fleet_t *fleet, nm_ms_t duration_ms)
{
    nm_shard_t *shard = &fleet->shard;
    for (nm_ms_t i = 0; i < duration_ms; i += STEP_MS) {
        fleet->now_ms += STEP_MS;
        for (uint32_t w = 0; w < WORKERS; w++) {
            fake_worker_tick(&fleet->workers[w], fleet->now_ms);
        }
        if (fleet->now_ms < fleet->frozen_until_ms) {
            continue;
        }
        receive(fleet);
        nm_shard_tick(shard, fleet->now_ms, 1000000);
        if (nm_shard_query(shard, fleet->now_ms).phase == NM_SHARD_LOADING) {
            load_journal(fleet);
        }
        uint32_t bytes;
        uint8_t *record = nm_shard_journal_take_record(shard, &bytes);
        if (record) {
            nm_shard_journal_append_done(shard, true, fleet->now_ms);
            g_ptr_array_add(fleet->journal, g_bytes_new_take(record, bytes));
        }
        const nm_sync_t *sync;
        while ((sync = nm_shard_next_sync(shard, fleet->now_ms))) {
            send_sync(fleet, sync);
        }
    }
}

/* Runs until the task's first attempt is reported; returns its worker. */
static uint32_t
start_first_attempt(fleet_t *fleet)
{
    run(fleet, 3000);
    g_assert_cmpuint(fleet->events[FAKE_EVENT_START], ==, 1);
    return fleet->started_on;
}

static uint32_t
tasks_done(const fleet_t *fleet)
{
    return nm_shard_query(&fleet->shard, fleet->now_ms).counts[NM_TASK_DONE];
}

/*
 * The owner stops for longer than the leases while a task ends.  Its worker
 * responds after the others, by which time the owner has a majority again: the
 * task must not start elsewhere.
 */
static void
test_end_during_the_owners_stall(void)
{
    static const struct {
        nm_ms_t stall_ms;
        nm_ms_t reply_delay_ms;
        bool takeover; /* of a new owner, which the worker has not heard of */
    } cases[] = {{9000, 300, false},  {9000, 1200, false},
                 {20000, 600, false}, {60000, 1400, false},
                 {15000, 300, true},  {60000, 1200, true}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        fleet_t fleet;
        begin(&fleet, 5);
        uint32_t worker = start_first_attempt(&fleet);
        if (cases[i].takeover) {
            fleet.reply_delay_ms[worker] = LOST_MS;
            nm_shard_campaign(&fleet.shard, fleet.now_ms);
            for (uint32_t w = 0; w < WORKERS; w++) {
                fleet.calls[w].sequence = 0;
            }
            run(&fleet, 1000);
        }
        fleet.frozen_until_ms = fleet.now_ms + cases[i].stall_ms;
        fleet.reply_delay_ms[worker] = cases[i].reply_delay_ms;
        run(&fleet, cases[i].stall_ms + 15000);
        g_assert_cmpuint(fleet.events[FAKE_EVENT_START], ==, 1);
        g_assert_cmpuint(tasks_done(&fleet), ==, 1);
        end(&fleet);
    }
}

/*
 * The links between the owner and one worker are slow.  Its leases last, and
 * no other worker receives its task.
 */
static void
test_late_replies_renew_leases(void)
{
    static const nm_ms_t delays_ms[] = {1000, 1600, 2500, 3500};
    for (size_t i = 0; i < NM_COUNT_OF(delays_ms); i++) {
        fleet_t fleet;
        begin(&fleet, 40);
        uint32_t worker = start_first_attempt(&fleet);
        fleet.reply_delay_ms[worker] = delays_ms[i];
        run(&fleet, 60000);
        g_assert_cmpuint(fleet.events[FAKE_EVENT_LAPSED], ==, 0);
        g_assert_cmpuint(fleet.events[FAKE_EVENT_START], ==, 1);
        g_assert_cmpuint(tasks_done(&fleet), ==, 1);
        end(&fleet);
    }
}

/*
 * A worker is lost while the owner has a majority, or the owner stops and the
 * worker is lost for good: its task starts elsewhere within this time.
 */
static void
test_lost_worker_after_a_stall(void)
{
    static const struct {
        nm_ms_t stall_ms;
        nm_ms_t start_within_ms;
    } cases[] = {{0, NM_SHARD_LEASE_MS + 1500}, {20000, 20000 + 10000}};
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        fleet_t fleet;
        begin(&fleet, 60);
        uint32_t worker = start_first_attempt(&fleet);
        fleet.frozen_until_ms = fleet.now_ms + cases[i].stall_ms;
        fleet.reply_delay_ms[worker] = LOST_MS;
        run(&fleet, cases[i].start_within_ms);
        g_assert_cmpuint(fleet.events[FAKE_EVENT_START], ==, 2);
        end(&fleet);
    }
}

/*
 * A task has lapsed and its start elsewhere is on its way when its first
 * worker reports its end, and is lost right after.  The end must not be
 * forgotten once the start is confirmed.
 */
static void
test_end_weighed_against_a_start_on_its_way(void)
{
    fleet_t fleet;
    begin(&fleet, 60);
    uint32_t first = start_first_attempt(&fleet);
    fake_task_t *task =
        &g_array_index(fleet.workers[first].tasks, fake_task_t, 0);
    task->state = NM_REPORT_DONE;
    for (uint32_t i = 0; i < WORKERS; i++) {
        fleet.reply_delay_ms[i] = i == first ? LOST_MS : 1000;
    }
    while (fleet.events[FAKE_EVENT_START] < 2) {
        run(&fleet, STEP_MS);
        g_assert_cmpint(fleet.now_ms, <, 30000);
    }
    /* One report arrives before the start is confirmed, then none. */
    call_t *call = &fleet.calls[first];
    call->arrival_ms = fleet.now_ms + 100;
    if (call->sequence == 0 ||
        fleet.now_ms + 100 >= call->sent_ms + NM_SHARD_SYNC_TIMEOUT_MS)
    {
        call->sent_ms = fleet.now_ms;
    }
    run(&fleet, 15000);
    g_assert_cmpuint(tasks_done(&fleet), ==, 1);
    g_assert_cmpuint(fleet.events[FAKE_EVENT_STOPPED], ==, 1);
    end(&fleet);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/shard/end-during-the-owners-stall",
                    test_end_during_the_owners_stall);
    g_test_add_func("/shard/late-replies-renew-leases",
                    test_late_replies_renew_leases);
    g_test_add_func("/shard/lost-worker-after-a-stall",
                    test_lost_worker_after_a_stall);
    g_test_add_func("/shard/end-weighed-against-a-start-on-its-way",
                    test_end_weighed_against_a_start_on_its_way);
    return g_test_run();
}
