/*
 * Idempotency claims: a request with an idempotency key runs at most once.
 *
 * Before a request with an Idempotency-Key is sent, its key is claimed in
 * the store.  A thread groups the claims that arrive within an interval
 * into one transaction.  The outcome is recorded under the same key, so
 * that a repeat through any entry host gets the first response.
 *
 * Load: callers that repeat requests, possibly while the first one runs and
 * through another entry host, and store calls whose response is lost.
 *
 *     nm_claims_t *claims = nm_claims_new(&desc);
 *     nm_claims_acquire(claims, claim);
 *     while ((claim = nm_claims_next(claims))) { ... }
 *     nm_claims_record(claims, claim);
 *     nm_claims_free(claims);
 */
#ifndef NM_CLAIMS_H
#define NM_CLAIMS_H

#include <nutmegdeck/store.h>

#include "exchange.h"

typedef enum {
    NM_CLAIM_ACQUIRED,    /* the request may be sent */
    NM_CLAIM_RECORDED,    /* it ran before; response holds the outcome */
    NM_CLAIM_IN_PROGRESS, /* another claim holds it, no response recorded */
    NM_CLAIM_MISMATCH,    /* the key was used for a different request */
    NM_CLAIM_FAILED,      /* not written: store error, deadline or stop */
} nm_claim_result_t;

typedef struct {
    uint64_t key;         /* hash of service name and idempotency key */
    uint64_t fingerprint; /* hash of the request */
    uint64_t token;       /* random; identifies this claim in the store */
    nm_ms_t deadline_ms;  /* the claim fails if it is not resolved by then */
    nm_ms_t retry_at_ms;  /* next check for a recorded response */
    nm_claim_result_t result;
    bool held;              /* acquired, not yet recorded or released */
    nm_response_t response; /* to be recorded, or as recorded */
    void *user;
} nm_claim_t;

typedef struct {
    nm_store_t *store;
    const nm_clock_t *clock;
    nm_ms_t interval_ms; /* minimum time between commits; 0: 40 */
    uint64_t seed;
    int64_t ttl_s;            /* minimum lifetime of a claim in the store */
    void (*wake)(void *user); /* called when results are ready */
    void *wake_user;
} nm_claims_desc_t;

typedef struct nm_claims nm_claims_t;

nm_claims_t *nm_claims_new(const nm_claims_desc_t *desc);
/* Writes queued outcomes if the store is available; ends the thread. */
void nm_claims_free(nm_claims_t *claims);
nm_claim_t *nm_claim_new(void);
void nm_claim_free(nm_claim_t *claim);
/* Claims a key; nm_claims_next() returns the claim with its result. */
void nm_claims_acquire(nm_claims_t *claims, nm_claim_t *claim);
/* Next claim with a result, or NULL.  The caller owns it. */
nm_claim_t *nm_claims_next(nm_claims_t *claims);
/* Records the response under an acquired claim, and frees the claim. */
void nm_claims_record(nm_claims_t *claims, nm_claim_t *claim);
/* Releases a claim whose request did not run, and frees it. */
void nm_claims_release(nm_claims_t *claims, nm_claim_t *claim);

#endif
