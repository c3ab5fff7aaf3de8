#include "peer_rpc.h"

#include <assert.h>
#include <string.h>

#include <glib.h>
#include <zmq.h>

#include <nutmegdeck/log.h>
#include <nutmegdeck/reason.h>

/* Messages that wait for one host; more requests fail, responses are lost. */
#define QUEUE_MESSAGES 512
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 400
/* A connection whose peer does not respond within the timeout is reopened. */
#define HEARTBEAT_INTERVAL_MS 1000
#define HEARTBEAT_TIMEOUT_MS 2000
/* At shutdown, responses that wait are still sent for this time. */
#define LINGER_MS 200
/* A message that needs no response is discarded after this time. */
#define NOTIFY_LINGER_MS 1000
/* Sockets to peers; the least recently used one is replaced. */
#define PEER_SOCKETS_MAX 64

typedef struct {
    char address[128];
    void *socket;
    uint64_t last_use;
} link_t;

struct nm_peer_rpc {
    void *context;
    void *inbound;
    link_t links[PEER_SOCKETS_MAX];
    int next_link; /* link that is read first */
    uint64_t use_count;
    uint64_t number;
    int64_t config_version;
};

static void
set_int(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

nm_peer_rpc_t *
nm_peer_rpc_new(const char *address)
{
    assert(address);
    nm_peer_rpc_t *peers = g_new0(nm_peer_rpc_t, 1);
    peers->context = zmq_ctx_new();
    peers->inbound = zmq_socket(peers->context, ZMQ_ROUTER);
    set_int(peers->inbound, ZMQ_LINGER, LINGER_MS);
    set_int(peers->inbound, ZMQ_SNDHWM, QUEUE_MESSAGES);
    if (zmq_bind(peers->inbound, address) < 0) {
        nm_peer_rpc_free(peers);
        return NULL;
    }
    /* A random start keeps an earlier incarnation's numbers from matching. */
    peers->number = (uint64_t)g_random_int() << 32;
    return peers;
}

void
nm_peer_rpc_free(nm_peer_rpc_t *peers)
{
    assert(peers);
    for (int i = 0; i < PEER_SOCKETS_MAX; i++) {
        if (peers->links[i].socket) {
            zmq_close(peers->links[i].socket);
        }
    }
    zmq_close(peers->inbound);
    zmq_ctx_term(peers->context);
    g_free(peers);
}

void
nm_peer_rpc_set_config_version(nm_peer_rpc_t *peers, int64_t version)
{
    assert(peers);
    peers->config_version = version;
}

static void *
get_socket(nm_peer_rpc_t *peers, const char *address)
{
    link_t *oldest = &peers->links[0];
    for (int i = 0; i < PEER_SOCKETS_MAX; i++) {
        link_t *link = &peers->links[i];
        if (link->socket && strcmp(link->address, address) == 0) {
            link->last_use = ++peers->use_count;
            return link->socket;
        }
        if (link->last_use < oldest->last_use) {
            oldest = link;
        }
    }
    if (oldest->socket) {
        zmq_close(oldest->socket);
    }
    oldest->socket = zmq_socket(peers->context, ZMQ_DEALER);
    set_int(oldest->socket, ZMQ_LINGER, 0);
    set_int(oldest->socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
    set_int(oldest->socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
    set_int(oldest->socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
    set_int(oldest->socket, ZMQ_HEARTBEAT_IVL, HEARTBEAT_INTERVAL_MS);
    set_int(oldest->socket, ZMQ_HEARTBEAT_TIMEOUT, HEARTBEAT_TIMEOUT_MS);
    if (zmq_connect(oldest->socket, address) < 0) {
        nm_log(NM_LOG_ERROR, NM_LOG_ITEM_PEER_SEND_FAILED, "{s:s,s:s}",
               "address", address, "reason", zmq_strerror(zmq_errno()));
    }
    nm_strcopy(oldest->address, sizeof(oldest->address), address);
    oldest->last_use = ++peers->use_count;
    return oldest->socket;
}

int
nm_peer_rpc_send(nm_peer_rpc_t *peers, const char *address,
                 NmPb__EntryAsk *request)
{
    assert(peers && address && request);
    request->number = ++peers->number;
    request->config_version = peers->config_version;
    size_t bytes = nm_pb__entry_ask__get_packed_size(request);
    uint8_t *data = g_malloc(bytes);
    nm_pb__entry_ask__pack(request, data);
    int sent = zmq_send(get_socket(peers, address), data, bytes, ZMQ_DONTWAIT);
    g_free(data);
    if (sent < 0) {
        return NM_ERR_FULL;
    }
    nm_count(NM_COUNTER_PEER_SENT, 1);
    nm_count(NM_COUNTER_PEER_BYTES, bytes);
    return NM_OK;
}

void
nm_peer_rpc_notify(nm_peer_rpc_t *peers, const char *address,
                   NmPb__EntryAsk *request)
{
    assert(peers && address && request);
    request->number = ++peers->number;
    request->config_version = peers->config_version;
    size_t bytes = nm_pb__entry_ask__get_packed_size(request);
    uint8_t *data = g_malloc(bytes);
    nm_pb__entry_ask__pack(request, data);
    void *socket = zmq_socket(peers->context, ZMQ_DEALER);
    set_int(socket, ZMQ_LINGER, NOTIFY_LINGER_MS);
    set_int(socket, ZMQ_RECONNECT_IVL, -1);
    if (zmq_connect(socket, address) < 0 ||
        zmq_send(socket, data, bytes, ZMQ_DONTWAIT) < 0)
    {
        nm_count_reason(NM_REASON_PEER_LOST);
    }
    zmq_close(socket);
    g_free(data);
}

void
nm_peer_rpc_respond(nm_peer_rpc_t *peers, const uint8_t *route,
                    uint32_t route_bytes, const NmPb__EntryAnswer *response)
{
    assert(peers && route && response);
    NmPb__EntryAnswer message = *response;
    message.config_version = peers->config_version;
    size_t bytes = nm_pb__entry_answer__get_packed_size(&message);
    uint8_t *data = g_malloc(bytes + 1);
    nm_pb__entry_answer__pack(&message, data);
    bool sent = zmq_send(peers->inbound, route, route_bytes,
                         ZMQ_SNDMORE | ZMQ_DONTWAIT) >= 0 &&
                zmq_send(peers->inbound, data, bytes, ZMQ_DONTWAIT) >= 0;
    if (sent) {
        nm_count(NM_COUNTER_PEER_SENT, 1);
        nm_count(NM_COUNTER_PEER_BYTES, bytes);
    }
    else {
        /* A lost response is covered by the requester's deadline. */
        nm_count_reason(NM_REASON_PEER_LOST);
    }
    g_free(data);
}

static bool
receive_part(void *socket, zmq_msg_t *part)
{
    zmq_msg_init(part);
    if (zmq_msg_recv(part, socket, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(part);
        return false;
    }
    nm_count(NM_COUNTER_PEER_BYTES_IN, zmq_msg_size(part));
    return true;
}

static bool
next_request(nm_peer_rpc_t *peers, nm_peer_message_t *message)
{
    zmq_msg_t route;
    zmq_msg_t body;
    if (!receive_part(peers->inbound, &route)) {
        return false;
    }
    if (!receive_part(peers->inbound, &body)) {
        zmq_msg_close(&route);
        return false;
    }
    message->sender_route_bytes =
        (uint32_t)MIN(zmq_msg_size(&route), sizeof(message->sender_route));
    memcpy(message->sender_route, zmq_msg_data(&route),
           message->sender_route_bytes);
    message->request = nm_pb__entry_ask__unpack(NULL, zmq_msg_size(&body),
                                                zmq_msg_data(&body));
    zmq_msg_close(&route);
    zmq_msg_close(&body);
    return true;
}

bool
nm_peer_rpc_next(nm_peer_rpc_t *peers, nm_peer_message_t *message)
{
    assert(peers && message);
    *message = (nm_peer_message_t){0};
    if (next_request(peers, message)) {
        return true;
    }
    /* Starts with the link of the last response; reads each link once. */
    for (int tried = 0; tried < PEER_SOCKETS_MAX; tried++) {
        void *socket = peers->links[peers->next_link].socket;
        zmq_msg_t body;
        if (!socket || !receive_part(socket, &body)) {
            peers->next_link = (peers->next_link + 1) % PEER_SOCKETS_MAX;
            continue;
        }
        message->response = nm_pb__entry_answer__unpack(
            NULL, zmq_msg_size(&body), zmq_msg_data(&body));
        zmq_msg_close(&body);
        return true;
    }
    return false;
}

void
nm_peer_message_finish(nm_peer_message_t *message)
{
    assert(message);
    if (message->request) {
        nm_pb__entry_ask__free_unpacked(message->request, NULL);
    }
    if (message->response) {
        nm_pb__entry_answer__free_unpacked(message->response, NULL);
    }
}

uint32_t
nm_peer_rpc_fds(nm_peer_rpc_t *peers, int *fds, uint32_t fds_max)
{
    assert(peers && fds);
    uint32_t count = 0;
    size_t size = sizeof(int);
    for (int i = -1; i < PEER_SOCKETS_MAX && count < fds_max; i++) {
        void *socket = i < 0 ? peers->inbound : peers->links[i].socket;
        if (socket && zmq_getsockopt(socket, ZMQ_FD, &fds[count], &size) == 0)
        {
            count++;
        }
    }
    return count;
}
