/*
 * Questions and answers between entry hosts, by ZeroMQ.
 *
 * A question is sent to one host and answered once or not at all; who asks
 * keeps the deadline.
 *
 *     nm_peer_rpc_t *peers = nm_peer_rpc_new("tcp://10.1.0.13:7720");
 *     uint64_t number = nm_peer_rpc_send(peers, "tcp://10.2.0.1:7720", &ask);
 *     while (nm_peer_rpc_next(peers, &message)) {
 *         ... nm_peer_message_finish(&message);
 *     }
 *     nm_peer_rpc_free(peers);
 */
#ifndef NM_PEER_RPC_H
#define NM_PEER_RPC_H

#include "../proto/entry.pb-c.h"

#include <nutmegdeck/base.h>

typedef struct nm_peer_rpc nm_peer_rpc_t;

/* A received question (ask) or answer; one of the two is set. */
typedef struct {
    NmPb__EntryAsk *request;
    NmPb__EntryAnswer *response;
    uint8_t from[256]; /* route of the answer to a question */
    uint32_t from_bytes;
} nm_peer_message_t;

/* Returns NULL if the address cannot be bound. */
nm_peer_rpc_t *nm_peer_rpc_new(const char *address);
void nm_peer_rpc_free(nm_peer_rpc_t *peers);
/* Sends a question and sets its number; returns NM_ERR_FULL if it cannot. */
int nm_peer_rpc_send(nm_peer_rpc_t *peers, const char *address,
                     NmPb__EntryAsk *ask);
/*
 * Sends a message that needs no answer, on a connection of its own that is
 * not kept.  It is lost if the host does not answer within a second.
 */
void nm_peer_rpc_notify(nm_peer_rpc_t *peers, const char *address,
                        NmPb__EntryAsk *ask);
void nm_peer_rpc_respond(nm_peer_rpc_t *peers, const uint8_t *from,
                         uint32_t from_bytes, const NmPb__EntryAnswer *answer);
bool nm_peer_rpc_next(nm_peer_rpc_t *peers, nm_peer_message_t *message);
void nm_peer_message_finish(nm_peer_message_t *message);
/* Descriptors that become readable when messages may have arrived. */
uint32_t nm_peer_rpc_fds(nm_peer_rpc_t *peers, int *fds, uint32_t fds_max);

#endif
