#include "peer_port.h"

#include <assert.h>
#include <string.h>

#include <glib.h>
#include <zmq.h>

#include <nutmegdeck/reason.h>

/* Messages that wait for one peer; further ones are refused. */
#define QUEUE_MESSAGES 256
/* Received messages of one peer that wait to be read. */
#define RECEIVE_QUEUE_MESSAGES (QUEUE_MESSAGES * 16)
#define MESSAGE_MAX_BYTES (16 * 1024 * 1024)
/* At shutdown, messages that wait are still sent for this time. */
#define LINGER_MS 200
#define RECONNECT_MS 100
#define RECONNECT_MAX_MS 400

typedef struct {
    nm_peer_port_t base;
    void *context;
    void *inbound;
    void **outbound;
    uint32_t peer_count;
} zmq_port_t;

static void
set_int(void *socket, int option, int value)
{
    zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void
set_common_options(void *socket)
{
    set_int(socket, ZMQ_LINGER, LINGER_MS);
    set_int(socket, ZMQ_SNDHWM, QUEUE_MESSAGES);
    set_int(socket, ZMQ_RCVHWM, RECEIVE_QUEUE_MESSAGES);
    int64_t message_max_bytes = MESSAGE_MAX_BYTES;
    zmq_setsockopt(socket, ZMQ_MAXMSGSIZE, &message_max_bytes,
                   sizeof(message_max_bytes));
}

static void
set_curve_keys(void *socket, const nm_peer_port_desc_t *desc, bool server)
{
    if (!desc->secret_key) {
        return;
    }
    zmq_setsockopt(socket, ZMQ_CURVE_SECRETKEY, desc->secret_key,
                   strlen(desc->secret_key));
    zmq_setsockopt(socket, ZMQ_CURVE_PUBLICKEY, desc->public_key,
                   strlen(desc->public_key));
    if (server) {
        set_int(socket, ZMQ_CURVE_SERVER, 1);
    }
    else {
        zmq_setsockopt(socket, ZMQ_CURVE_SERVERKEY, desc->public_key,
                       strlen(desc->public_key));
    }
}

static int
zmq_port_send(nm_peer_port_t *base, uint32_t peer, const void *data,
              uint32_t bytes)
{
    zmq_port_t *port = (zmq_port_t *)base;
    assert(peer < port->peer_count);
    if (zmq_send(port->outbound[peer], data, bytes, ZMQ_DONTWAIT) < 0) {
        return NM_ERR_FULL;
    }
    nm_count(NM_COUNTER_PEER_SENT, 1);
    nm_count(NM_COUNTER_PEER_BYTES, bytes);
    return NM_OK;
}

static bool
zmq_port_next(nm_peer_port_t *base, uint8_t **data, uint32_t *bytes)
{
    zmq_port_t *port = (zmq_port_t *)base;
    zmq_msg_t message;
    zmq_msg_init(&message);
    if (zmq_msg_recv(&message, port->inbound, ZMQ_DONTWAIT) < 0) {
        zmq_msg_close(&message);
        return false;
    }
    *bytes = (uint32_t)zmq_msg_size(&message);
    *data = g_malloc(*bytes + 1);
    memcpy(*data, zmq_msg_data(&message), *bytes);
    zmq_msg_close(&message);
    return true;
}

static int
zmq_port_fd(const nm_peer_port_t *base)
{
    const zmq_port_t *port = (const zmq_port_t *)base;
    int fd = -1;
    size_t size = sizeof(fd);
    zmq_getsockopt(port->inbound, ZMQ_FD, &fd, &size);
    return fd;
}

static void
zmq_port_free(nm_peer_port_t *base)
{
    zmq_port_t *port = (zmq_port_t *)base;
    for (uint32_t i = 0; i < port->peer_count; i++) {
        if (port->outbound[i]) {
            zmq_close(port->outbound[i]);
        }
    }
    if (port->inbound) {
        zmq_close(port->inbound);
    }
    zmq_ctx_term(port->context);
    g_free(port->outbound);
    g_free(port);
}

static const nm_peer_port_vtable_t zmq_vtable = {
    .send = zmq_port_send,
    .next = zmq_port_next,
    .fd = zmq_port_fd,
    .free = zmq_port_free,
};

nm_peer_port_t *
nm_peer_port_zmq_new(const nm_peer_port_desc_t *desc)
{
    assert(desc && desc->bind_address);
    zmq_port_t *port = g_new0(zmq_port_t, 1);
    port->base.vtable = &zmq_vtable;
    port->context = zmq_ctx_new();
    port->inbound = zmq_socket(port->context, ZMQ_PULL);
    set_common_options(port->inbound);
    set_curve_keys(port->inbound, desc, true);
    if (zmq_bind(port->inbound, desc->bind_address) < 0) {
        zmq_port_free(&port->base);
        return NULL;
    }
    port->peer_count = desc->peer_count;
    port->outbound = g_new0(void *, desc->peer_count);
    for (uint32_t i = 0; i < desc->peer_count; i++) {
        void *socket = zmq_socket(port->context, ZMQ_PUSH);
        port->outbound[i] = socket;
        set_common_options(socket);
        set_curve_keys(socket, desc, false);
        /* Queues nothing for a peer that is not connected. */
        set_int(socket, ZMQ_IMMEDIATE, 1);
        set_int(socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
        set_int(socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
        if (zmq_connect(socket, desc->peer_addresses[i]) < 0) {
            zmq_port_free(&port->base);
            return NULL;
        }
    }
    return &port->base;
}
