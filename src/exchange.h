/*
 * A caller's request and its response, passed from thread to thread.
 *
 * A listener thread creates it, the traffic thread routes it, and the listener
 * thread sends the response and frees it.  Only one thread uses it at a time.
 */
#ifndef NM_EXCHANGE_H
#define NM_EXCHANGE_H

#include <glib.h>

#include <nutmegdeck/route.h>

struct MHD_Connection;

#define NM_REQUEST_BODY_MAX_BYTES (1024 * 1024)
#define NM_RESPONSE_MAX_BYTES (8 * 1024 * 1024)
#define NM_IDEMPOTENCY_KEY_MAX_BYTES 128

/* Headers exchanged with other entry hosts, executors and callers. */
#define NM_HEADER_VERDICT "Nutmegdeck-Verdict"
#define NM_HEADER_REASON "Nutmegdeck-Reason"
#define NM_HEADER_FORWARDED "Nutmegdeck-Forwarded"
#define NM_HEADER_TIMEOUT "Nutmegdeck-Timeout-Ms"

/* A complete response. */
typedef struct {
    int status;
    GPtrArray *headers; /* of "Name: value" */
    GByteArray *body;
    nm_verdict_t verdict;
} nm_response_t;

typedef struct nm_exchange {
    struct MHD_Connection *connection;
    int socket; /* of the connection; -1: not known */
    char *method;
    char *target;       /* path and query */
    GPtrArray *headers; /* of "Name: value" */
    GByteArray *body;
    char *idempotency_key; /* NULL: none */
    nm_ms_t timeout_ms;    /* 0: that of the service */
    bool forwarded;
    bool too_large;
    bool no_memory;      /* for its body, which was discarded */
    bool body_discarded; /* no service was known when the body arrived */
    bool keeps_body;
    uint64_t received_bytes; /* of the body */
    bool complete;           /* response and reason are set */
    nm_response_t response;
    nm_reason_t reason; /* of the refusal; NONE: response is sent */
    nm_ms_t retry_after_ms;
    /* Used by the traffic thread only. */
    nm_ms_t arrived_ms;
    uint32_t service;
    nm_request_t request;
    void *claim; /* nm_claim_t, or NULL */
} nm_exchange_t;

nm_exchange_t *nm_exchange_new(void);
void nm_exchange_free(nm_exchange_t *exchange);
void nm_response_init(nm_response_t *response);
void nm_response_finish(nm_response_t *response);
/* Moves the contents; source is zeroed. */
void nm_response_move(nm_response_t *target, nm_response_t *source);
/* True for methods that may be repeated without a further effect. */
bool nm_method_is_idempotent(const char *method);
/* True for headers that concern one connection or that each hop sets. */
bool nm_header_is_hop_by_hop(const char *name);
/* Value of a header in a list of "Name: value", or NULL. */
const char *nm_header_find(const GPtrArray *headers, const char *name);

#endif
