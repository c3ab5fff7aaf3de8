/*
 * One caller's request about a job, between the front thread that holds its
 * connection and the control thread that answers it.
 */
#ifndef NM_CALL_H
#define NM_CALL_H

#include <glib.h>

#include <nutmegdeck/base.h>

typedef enum {
    NM_METHOD_OTHER,
    NM_METHOD_POST,
    NM_METHOD_GET,
    NM_METHOD_DELETE,
} nm_method_t;

typedef struct {
    nm_method_t method;
    char *host;
    char *target; /* path, without query */
    GByteArray *body;
    bool too_large;
    nm_ms_t deadline_ms; /* how long the caller waits; 0: not said */
    nm_ms_t received_ms; /* by the control thread */
    /* The answer. */
    int status;
    char *answer;           /* JSON text */
    uint32_t retry_after_s; /* 0: none */
    bool close;             /* ask the caller to use another connection */
    void *connection;       /* of the front */
} nm_call_t;

typedef struct nm_call_front nm_call_front_t;

typedef struct {
    /* Returns the next request, or NULL. */
    nm_call_t *(*next)(nm_call_front_t *front);
    /* Sends the answer set in the call, and frees the call. */
    void (*reply)(nm_call_front_t *front, nm_call_t *call);
    int (*fd)(const nm_call_front_t *front); /* readable when calls wait */
    void (*set_ready)(nm_call_front_t *front, bool ready);
} nm_call_front_vtable_t;

struct nm_call_front {
    const nm_call_front_vtable_t *vtable;
};

#endif
