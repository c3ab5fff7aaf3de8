/*
 * Requests and responses between entry hosts, over ZeroMQ.
 *
 * A request is sent to one host, which responds once or not at all; the
 * requester keeps the deadline.  Sending and receiving never block.
 *
 *     nm_peer_rpc_t *peers = nm_peer_rpc_new("tcp://10.1.0.13:7720");
 *     int rc = nm_peer_rpc_send(peers, "tcp://10.2.0.1:7720", &request);
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

/* A received request or response; at most one of the two is set. */
typedef struct {
    NmPb__EntryAsk *request;
    NmPb__EntryAnswer *response;
    uint8_t sender_route[256]; /* of a request: route for the response */
    uint32_t sender_route_bytes;
} nm_peer_message_t;

/* Returns NULL if the address cannot be bound. */
nm_peer_rpc_t *nm_peer_rpc_new(const char *address);
void nm_peer_rpc_free(nm_peer_rpc_t *peers);
/* Sends a request and sets its number; returns NM_ERR_FULL if it cannot. */
int nm_peer_rpc_send(nm_peer_rpc_t *peers, const char *address,
                     NmPb__EntryAsk *request);
/*
 * Sends a message that needs no response, on a connection of its own that is
 * closed afterwards.  The message is lost if the host cannot be reached within
 * a second.
 */
void nm_peer_rpc_notify(nm_peer_rpc_t *peers, const char *address,
                        NmPb__EntryAsk *request);
void nm_peer_rpc_respond(nm_peer_rpc_t *peers, const uint8_t *route,
                         uint32_t route_bytes,
                         const NmPb__EntryAnswer *response);
bool nm_peer_rpc_next(nm_peer_rpc_t *peers, nm_peer_message_t *message);
void nm_peer_message_finish(nm_peer_message_t *message);
/* Descriptors that become readable when messages may have arrived. */
uint32_t nm_peer_rpc_fds(nm_peer_rpc_t *peers, int *fds, uint32_t fds_max);

#endif
