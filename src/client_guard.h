/*
 * Applies the budget of a process (memory_budget.h) to the connections of its
 * HTTP listeners, which share one guard.  Thread-safe.
 *
 * Load: as for the budget.  Connections are closed by a shutdown of their
 * sockets, after which libmicrohttpd ends them on their own threads.
 *
 *     nm_client_guard_t *guard = nm_client_guard_new(&desc);
 *     MHD_start_daemon(..., MHD_OPTION_NOTIFY_CONNECTION,
 *                      nm_client_guard_on_connection, guard, ...);
 *     nm_client_t *client = nm_client_guard_find(connection);
 *     nm_client_guard_begin(client);
 *     bool kept = nm_client_guard_append(client, body, data, bytes);
 *     nm_client_guard_end(client);
 *     nm_client_guard_free(guard);
 *
 * A client may be NULL, as without a guard: nothing is limited then.
 */
#ifndef NM_CLIENT_GUARD_H
#define NM_CLIENT_GUARD_H

#include <glib.h>
#include <microhttpd.h>

#include <nutmegdeck/base.h>

typedef struct nm_client_guard nm_client_guard_t;
typedef struct nm_client nm_client_t;

typedef struct {
    uint32_t memory_mb;        /* 0: no limit of memory */
    uint32_t max_fds;          /* 0: no limit of descriptors */
    uint32_t connection_bytes; /* memory of a connection */
    nm_ms_t idle_timeout_ms;   /* of the listeners */
} nm_client_guard_desc_t;

nm_client_guard_t *nm_client_guard_new(const nm_client_guard_desc_t *desc);
/* All listeners have been stopped before. */
void nm_client_guard_free(nm_client_guard_t *guard);

/* For MHD_OPTION_NOTIFY_CONNECTION; the user is the guard, or NULL. */
void nm_client_guard_on_connection(void *user,
                                   struct MHD_Connection *connection,
                                   void **socket_context,
                                   enum MHD_ConnectionNotificationCode code);
nm_client_t *nm_client_guard_find(struct MHD_Connection *connection);

/* The head of a request has been read. */
void nm_client_guard_begin(nm_client_t *client);
/* Bytes of a body have been read and are not kept. */
void nm_client_guard_discard(nm_client_t *client, size_t bytes);
/*
 * Appends a part of a body.  If there is no room for it, frees what the body
 * holds and returns false; the rest of it must be discarded.
 */
bool nm_client_guard_append(nm_client_t *client, GByteArray *body,
                            const char *data, size_t bytes);
/* The body that the client was charged with has been freed. */
void nm_client_guard_release(nm_client_t *client);
/* A complete request is handed to another thread. */
void nm_client_guard_wait(nm_client_t *client, uint64_t record_bytes);
/* The response is being written; its body is held in addition. */
void nm_client_guard_write(nm_client_t *client, uint64_t response_bytes);
/* The response has been sent, and all that the request held is freed. */
void nm_client_guard_end(nm_client_t *client);

#endif
