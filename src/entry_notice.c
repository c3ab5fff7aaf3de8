/*
 * Notices between hosts, which need no response: who is the owner, and which
 * jobs are cancelled.
 *
 * Load: an owner whose links are behind.  Its watch of the jobs shows a cancel
 * seconds late, as each request of the watch waits behind other traffic; a
 * notice of the host that has stored the cancel waits for nothing that the
 * owner sends.  A notice may be lost: the watch still shows the cancel.
 */
#include "entry_state.h"

#include <string.h>

#include <jansson.h>

#include <nutmegdeck/log.h>
#include <nutmegdeck/reason.h>

/* Hosts notified of a new owner per round; each needs a connection. */
#define ANNOUNCEMENTS_PER_ROUND_MAX 8

const char *
nm_notice_owner_address(const nm_entry_t *entry)
{
    bool announced = entry->announced.epoch > entry->owner.epoch;
    const char *name = announced ? entry->announced.name : entry->owner.name;
    const char *address =
        announced ? entry->announced.address : entry->owner.address;
    return address[0] == '\0' || strcmp(name, entry->desc.name) == 0 ? NULL
                                                                     : address;
}

void
nm_notice_announce(nm_entry_t *entry)
{
    for (int i = 0; i < ANNOUNCEMENTS_PER_ROUND_MAX; i++) {
        char *address = g_queue_pop_head(&entry->announce_queue);
        if (!address) {
            return;
        }
        NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
        request.type = NM_PB__ENTRY_ASK__TYPE__OWNER;
        request.epoch = entry->owned_epoch;
        request.owner_name = (char *)entry->desc.name;
        request.owner_address = (char *)entry->desc.peer_address;
        nm_peer_rpc_notify(entry->desc.peers, address, &request);
        g_free(address);
    }
}

void
nm_notice_cancel(nm_entry_t *entry, const char *job)
{
    if (entry->owned_epoch > 0) {
        nm_takeover_cancel(entry, job);
        return;
    }
    const char *address = nm_notice_owner_address(entry);
    if (!address) {
        return;
    }
    NmPb__EntryAsk request = NM_PB__ENTRY_ASK__INIT;
    request.type = NM_PB__ENTRY_ASK__TYPE__CANCEL;
    request.job = (char *)job;
    request.epoch = MAX(entry->epoch, entry->announced.epoch);
    /* On the connection in use: a new one needs packets from the owner. */
    if (nm_peer_rpc_send(entry->desc.peers, address, &request) < 0) {
        nm_count_reason(NM_REASON_PEER_LOST);
    }
}

static void
handle_announcement(nm_entry_t *entry, const NmPb__EntryAsk *request)
{
    nm_owner_announcement_t announcement = {.epoch = request->epoch};
    if (announcement.epoch <= entry->announced.epoch ||
        request->owner_name[0] == '\0' ||
        !nm_strcopy(announcement.name, sizeof(announcement.name),
                    request->owner_name) ||
        !nm_strcopy(announcement.address, sizeof(announcement.address),
                    request->owner_address))
    {
        return;
    }
    entry->announced = announcement;
    nm_succession_fence(entry, announcement.epoch);
    if (entry->owned_epoch > 0 && announcement.epoch > entry->owned_epoch) {
        nm_term_step_down(entry, "another host announced a newer epoch");
    }
    nm_log(NM_LOG_INFO, NM_LOG_ITEM_OWNER_ANNOUNCED, "{s:s,s:I,s:b}", "owner",
           announcement.name, "epoch", (json_int_t)announcement.epoch,
           "store_lost", entry->store_lost);
}

bool
nm_notice_handle(nm_entry_t *entry, const NmPb__EntryAsk *request)
{
    if (request->type == NM_PB__ENTRY_ASK__TYPE__OWNER) {
        handle_announcement(entry, request);
        return true;
    }
    if (request->type == NM_PB__ENTRY_ASK__TYPE__ADMISSION) {
        nm_entry_admission_handle(entry, request);
        return true;
    }
    if (request->type != NM_PB__ENTRY_ASK__TYPE__CANCEL || request->epoch == 0)
    {
        return false;
    }
    /* A former owner has no term; the next one has read the cancel. */
    if (entry->owned_epoch > 0) {
        nm_takeover_cancel(entry, request->job);
    }
    return true;
}
