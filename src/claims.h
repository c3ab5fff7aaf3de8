/*
 * Idempotency claims: a repeat of a keyed request runs at most once.
 *
 * Before a request with an Idempotency-Key is sent, its key is claimed in
 * the store.  A thread groups the claims that arrive within an interval
 * into one transaction.  The outcome is recorded under the same key, so
 * that a repeat through any entry host gets the first answer.
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
    NM_CLAIM_RECORDED,    /* it ran before; response holds the first answer */
    NM_CLAIM_IN_PROGRESS, /* another claim holds the key, without outcome */
    NM_CLAIM_MISMATCH,    /* the key was used for a different request */
    NM_CLAIM_FAILED,      /* the store could not be asked in time */
} nm_claim_result_t;

typedef struct {
    uint64_t key;         /* hash of the service and the key */
    uint64_t fingerprint; /* hash of the request */
    uint64_t token;       /* of this claim */
    nm_ms_t deadline_ms;
    nm_ms_t retry_at_ms;
    nm_claim_result_t result;
    bool held;              /* made, and not yet recorded or released */
    nm_response_t response; /* to record, or as recorded */
    void *user;
} nm_claim_t;

typedef struct {
    nm_store_t *store;
    const nm_clock_t *clock;
    nm_ms_t interval_ms; /* least time between commits; 0: 40 */
    uint64_t seed;
    int64_t ttl_s;
    void (*wake)(void *user); /* called when results are ready */
    void *wake_user;
} nm_claims_desc_t;

typedef struct nm_claims nm_claims_t;

nm_claims_t *nm_claims_new(const nm_claims_desc_t *desc);
/* Writes what is queued, as far as the store answers, and ends. */
void nm_claims_free(nm_claims_t *claims);
nm_claim_t *nm_claim_new(void);
void nm_claim_free(nm_claim_t *claim);
/* Claims a key; the claim comes back through nm_claims_next(). */
void nm_claims_acquire(nm_claims_t *claims, nm_claim_t *claim);
nm_claim_t *nm_claims_next(nm_claims_t *claims);
/* Records the answer under a claim that was made, and frees the claim. */
void nm_claims_record(nm_claims_t *claims, nm_claim_t *claim);
/* Gives a claim back because its request did not run, and frees it. */
void nm_claims_release(nm_claims_t *claims, nm_claim_t *claim);

#endif
