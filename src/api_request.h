/*
 * A caller's request about a job, passed between the listener thread that
 * holds its connection and the control thread that handles it.
 */
#ifndef NM_API_REQUEST_H
#define NM_API_REQUEST_H

#include <glib.h>

#include <nutmegdeck/base.h>

#include "queue_config.h"

typedef enum {
    NM_METHOD_OTHER,
    NM_METHOD_POST,
    NM_METHOD_GET,
    NM_METHOD_DELETE,
} nm_method_t;

typedef struct {
    nm_method_t method;
    char *host_header;
    char *path; /* without query */
    GByteArray *body;
    bool too_large;
    bool body_discarded; /* no route was known when the body arrived */
    bool complete;       /* the listener has read all of it */
    nm_ms_t timeout_ms;  /* how long the caller waits; 0: not given */
    nm_ms_t received_ms; /* when the control thread took it */
    /* The response. */
    int status;
    char *response;         /* JSON text */
    uint32_t retry_after_s; /* 0: none */
    bool close_connection;  /* makes the caller use another one */
    void *connection;       /* of the listener */
} nm_api_request_t;

typedef struct nm_api_listener nm_api_listener_t;

typedef struct {
    /* Returns the next request, or NULL. */
    nm_api_request_t *(*next)(nm_api_listener_t *listener);
    /* Sends the response set in the request, and frees the request. */
    void (*reply)(nm_api_listener_t *listener, nm_api_request_t *request);
    /*
     * Descriptor that becomes readable when a request is queued.  next()
     * resets it even if more requests wait: call next() until it returns NULL.
     */
    int (*fd)(const nm_api_listener_t *listener);
    /* Sets whether the host reports itself as ready. */
    void (*set_ready)(nm_api_listener_t *listener, bool ready);
    /*
     * Further requests get 503 at once; those queued before are still to be
     * taken and answered.
     */
    void (*refuse)(nm_api_listener_t *listener);
    /*
     * Sets the routes whose bodies are kept, and the limit of bodies; the
     * listener copies them.  Until then, no body is kept.
     */
    void (*set_routes)(nm_api_listener_t *listener,
                       const nm_queue_config_t *queue_config);
    /* Number of requests whose response was not sent in full. */
    uint32_t (*open_requests)(const nm_api_listener_t *listener);
} nm_api_listener_vtable_t;

struct nm_api_listener {
    const nm_api_listener_vtable_t *vtable;
};

#endif
