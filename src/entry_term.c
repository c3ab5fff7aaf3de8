/*
 * Term of a host as owner: its state, and the calls that belong to it.
 *
 * The result of a call that arrives after its term has ended is dropped.
 */
#include "entry_state.h"

#include <jansson.h>

#include <nutmegdeck/log.h>

nm_term_call_t *
nm_term_call_new(nm_entry_t *entry)
{
    nm_term_call_t *call = g_new(nm_term_call_t, 1);
    *call = (nm_term_call_t){entry, entry->owned_epoch,
                             nm_clock_now_with_suspend(entry->desc.clock)};
    return call;
}

nm_ms_t
nm_term_call_sent_ms(const void *user)
{
    return ((const nm_term_call_t *)user)->sent_ms;
}

nm_entry_t *
nm_term_call_end(void *user)
{
    nm_term_call_t *call = user;
    nm_entry_t *entry =
        call->owned_epoch == call->entry->owned_epoch ? call->entry : NULL;
    g_free(call);
    return entry;
}

void
nm_entry_open_feed(nm_entry_t *entry, nm_feed_t *feed, nm_feed_desc_t desc)
{
    desc.kv = entry->desc.kv;
    desc.clock = entry->desc.clock;
    desc.user = entry;
    nm_feed_open(feed, &desc);
}

void
nm_term_free_item(gpointer data)
{
    nm_store_kv_t *item = data;
    g_free(item->key);
    g_free(item->value);
    g_free(item);
}

void
nm_term_init(nm_entry_t *entry)
{
    entry->roster =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    entry->roster_wanted =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    entry->progress = g_ptr_array_new_with_free_func(nm_term_free_item);
    entry->cancels = g_ptr_array_new_with_free_func(g_free);
    entry->cancels_ahead =
        g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
    g_queue_init(&entry->unverified);
    g_queue_init(&entry->announce_queue);
    nm_entry_evacuation_init(entry);
    nm_authority_init(entry);
    nm_succession_init(entry);
}

void
nm_term_finish(nm_entry_t *entry)
{
    nm_term_step_down(entry, "stopped");
    g_hash_table_destroy(entry->roster);
    g_hash_table_destroy(entry->roster_wanted);
    g_ptr_array_free(entry->progress, TRUE);
    g_ptr_array_free(entry->cancels, TRUE);
    g_hash_table_destroy(entry->cancels_ahead);
    nm_authority_finish(entry);
    nm_succession_finish(entry);
    nm_lives_finish(entry);
    nm_entry_evacuation_finish(entry);
}

void
nm_term_step_down(nm_entry_t *entry, const char *cause)
{
    if (entry->role == NM_ROLE_OWNER || entry->role == NM_ROLE_LOADING) {
        nm_ms_t now_ms = nm_entry_now(entry);
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_OWNER_LOST, "{s:I,s:s,s:I,s:I,s:b}",
               "epoch", (json_int_t)entry->owned_epoch, "cause", cause,
               "after_ms", (json_int_t)(now_ms - entry->authority.elected_ms),
               "store_ms",
               (json_int_t)(nm_clock_now_with_suspend(entry->desc.clock) -
                            entry->authority.confirmed_ms),
               "loading", entry->role == NM_ROLE_LOADING);
    }
    int64_t ended_epoch = entry->owned_epoch;
    nm_succession_end(entry);
    entry->role = NM_ROLE_FOLLOWER;
    entry->owned_epoch = 0;
    entry->lease = 0;
    entry->renewals = 0;
    entry->owner_reads = 0;
    entry->yield_ms = 0;
    entry->committing = false;
    nm_entry_evacuation_end(entry);
    nm_feed_close(&entry->workers_feed);
    nm_feed_close(&entry->jobs_feed);
    nm_feed_close(&entry->progress_feed);
    nm_feed_close(&entry->owned_feed);
    nm_feed_close(&entry->hosts_feed);
    nm_order_relay_clear(&entry->relay);
    g_ptr_array_set_size(entry->progress, 0);
    g_ptr_array_set_size(entry->cancels, 0);
    g_hash_table_remove_all(entry->cancels_ahead);
    g_queue_clear_full(&entry->unverified, nm_term_free_item);
    g_queue_clear_full(&entry->announce_queue, g_free);
    entry->verifying_count = 0;
    entry->commit_revision = 0;
    entry->commit_unknown = false;
    g_hash_table_remove_all(entry->roster);
    g_hash_table_remove_all(entry->roster_wanted);
    if (entry->sched) {
        nm_sched_free(entry->sched);
        entry->sched = NULL;
    }
    /* A worker that restarts has seen no newer epoch, and would begin them. */
    nm_order_port_end_terms(entry->orders, ended_epoch);
}

bool
nm_term_check_owner_key(nm_entry_t *entry, const nm_kv_result_t *result,
                        nm_ms_t sent_ms)
{
    if (result->rc == NM_ERR_NOT_FOUND) {
        nm_term_step_down(entry, "the owner key was deleted");
        return false;
    }
    if (result->items[0].mod_revision != entry->owner_revision) {
        nm_term_step_down(entry, "another host is the owner");
        return false;
    }
    nm_authority_confirm(entry, sent_ms);
    return true;
}
