/*
 * Requests and responses between entry hosts for jobs, over ZeroMQ.
 *
 * A request is sent to one host, which responds once or not at all; the
 * requester keeps the deadline.  Only orders differ: a carrier responds with
 * their results in batches of its own.  Sending and receiving never block.
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

/*
 * A received request or response; one of the two is set, or neither if the
 * message is malformed.
 */
typedef struct {
    NmPb__EntryAsk *request;
    NmPb__EntryAnswer *response;
    uint8_t sender_route[256]; /* of a request: route for the response */
    uint32_t sender_route_bytes;
} nm_peer_message_t;

/* Returns NULL if the address cannot be bound. */
nm_peer_rpc_t *nm_peer_rpc_new(const char *address);
void nm_peer_rpc_free(nm_peer_rpc_t *peers);
/*
 * Sets the version of this host's queue configuration, which all messages
 * sent from then on carry.
 */
void nm_peer_rpc_set_config_version(nm_peer_rpc_t *peers, int64_t version);
/*
 * Sends a request and sets its number.  Returns NM_ERR_FULL if it cannot be
 * queued for the host.
 */
int nm_peer_rpc_send(nm_peer_rpc_t *peers, const char *address,
                     NmPb__EntryAsk *request);
/*
 * Sends a message that needs no response, on a connection of its own that is
 * closed afterwards.  The message is lost if the host cannot be reached within
 * a second.
 */
void nm_peer_rpc_notify(nm_peer_rpc_t *peers, const char *address,
                        NmPb__EntryAsk *request);
/* Sends a response on the route of its request; it may be lost. */
void nm_peer_rpc_respond(nm_peer_rpc_t *peers, const uint8_t *route,
                         uint32_t route_bytes,
                         const NmPb__EntryAnswer *response);
/*
 * Returns true and a received message, which the caller passes to
 * nm_peer_message_finish, or false if none has arrived.
 */
bool nm_peer_rpc_next(nm_peer_rpc_t *peers, nm_peer_message_t *message);
void nm_peer_message_finish(nm_peer_message_t *message);
/*
 * Stores up to fds_max descriptors that become readable when messages may have
 * arrived, and returns how many it stored.
 */
uint32_t nm_peer_rpc_fds(nm_peer_rpc_t *peers, int *fds, uint32_t fds_max);

#endif
