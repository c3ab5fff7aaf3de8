/*
 * Terms of former owners whose end is not proved yet.
 *
 * Each election stores the list with a row for its own term.  A new owner
 * waits until each row is proved over, by one of several facts: its host has
 * told, another process responds at its host's address, it was handed over, a
 * majority of the witnesses can accept no call of it, or the longest time has
 * passed for which an owner has authority without the store.  What is proved
 * is stored, so that no later owner has to prove it again.
 *
 *     nm_former_terms_t terms;
 *     nm_former_init(&terms);
 *     nm_former_decode(&terms, text, bytes);
 *     nm_former_cover(&terms, epoch);
 *     char *stored = nm_former_encode(&terms, &own_term, now_ms);
 *     ...
 *     nm_former_finish(&terms);
 */
#ifndef NM_FORMER_TERMS_H
#define NM_FORMER_TERMS_H

#include <glib.h>

#include <nutmegdeck/base.h>

/*
 * An owner has authority without the store for this long at most.  So that of
 * a term has ended this long after the next election.
 */
#define NM_FORMER_AUTHORITY_MAX_MS 60000
/* Rows of a list; beyond them, the oldest are stored as one. */
#define NM_FORMER_TERMS_MAX 16

/* What proves that a term is over, and its label in the log. */
#define NM_TERM_PROOF_LIST(X)                                                 \
    X(NONE, "none")                                                           \
    X(HOST, "host")           /* its host has told */                         \
    X(RESTARTED, "restarted") /* another process is at its address */         \
    X(HANDED_OVER, "handed-over")                                             \
    X(WITNESSES, "witnesses") /* a majority accepts no call of it */          \
    X(EXPIRED, "expired")     /* its longest time has passed */

typedef enum {
#define X(name, label) NM_TERM_PROOF_##name,
    NM_TERM_PROOF_LIST(X)
#undef X
        NM_TERM_PROOF_COUNT,
} nm_term_proof_t;

/*
 * What a host tells of its newest term in which it gave orders.  The leases of
 * silent workers are those that any owner up to that term gave.
 */
typedef struct {
    int64_t epoch;      /* 0: there is none */
    bool complete;      /* at its end no former owner had authority */
    GHashTable *silent; /* worker -> nm_ms_t when its lease has lapsed */
} nm_term_end_t;

typedef struct {
    /* Terms of one process, or without a host of unknown ones. */
    int64_t since; /* epoch of the first */
    int64_t epoch; /* of the last */
    char host[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2]; /* for peers; empty: not known */
    char process[NM_NAME_MAX];     /* unique to a process of a host */
    nm_ms_t until_ms;              /* they have no authority from then on */
    nm_term_proof_t proof;         /* of until_ms; NONE: the longest time */
    bool host_responded;           /* in the present term */
    nm_term_end_t *end;            /* as its host has told; may be NULL */
} nm_former_term_t;

typedef struct {
    int64_t over;     /* no term up to this epoch has authority */
    GPtrArray *terms; /* of nm_former_term_t, by rising epoch */
} nm_former_terms_t;

const char *nm_term_proof_name(nm_term_proof_t proof);

nm_term_end_t *nm_term_end_new(int64_t epoch, bool complete);
void nm_term_end_free(nm_term_end_t *end);
/* The lease of a worker that was silent at the end lapses at a time. */
void nm_term_end_add_silent(nm_term_end_t *end, const char *worker,
                            nm_ms_t lapse_ms);

void nm_former_init(nm_former_terms_t *terms);
void nm_former_finish(nm_former_terms_t *terms);
void nm_former_clear(nm_former_terms_t *terms);
/* Replaces the list by a copy, without what hosts have told. */
void nm_former_copy(nm_former_terms_t *terms, const nm_former_terms_t *from);
/*
 * Takes from an earlier list of the same process, which is empty then, what is
 * known of the terms that are in both.
 */
void nm_former_inherit(nm_former_terms_t *terms, nm_former_terms_t *from);

/*
 * Replaces the list by a stored one.  until_ms of its terms is what was left
 * of their longest time when they were stored.  Returns false, and an empty
 * list, if the text is none.
 */
bool nm_former_decode(nm_former_terms_t *terms, const void *text,
                      uint32_t bytes);
/*
 * JSON of the terms that are not over, or not proved so, and of the newest one
 * that follows them; to be freed with free().
 */
char *nm_former_encode(const nm_former_terms_t *terms,
                       const nm_former_term_t *newest, nm_ms_t now_ms);

/* Returns the epoch of the newest term, over or not; 0: there is none. */
int64_t nm_former_newest_epoch(const nm_former_terms_t *terms);
/*
 * Before a term of an epoch is stored: if the list lacks the term before it, a
 * row without a host stands for all that are missing.
 */
void nm_former_cover(nm_former_terms_t *terms, int64_t epoch);
/* A later owner is elected at a time: what was left of the times counts on. */
void nm_former_begin(nm_former_terms_t *terms, nm_ms_t elected_ms);
/* Proves a term over at a time; of several proofs the earliest end counts. */
void nm_former_prove(nm_former_term_t *term, nm_term_proof_t proof,
                     nm_ms_t over_ms);
void nm_former_prove_all(nm_former_terms_t *terms, nm_term_proof_t proof,
                         nm_ms_t over_ms);
/* Proves terms whose longest time has passed. */
void nm_former_expire(nm_former_terms_t *terms, nm_ms_t now_ms);
bool nm_former_is_over(const nm_former_terms_t *terms);
/* Time from which on no term has authority; at least from_ms. */
nm_ms_t nm_former_until_ms(const nm_former_terms_t *terms, nm_ms_t from_ms);
/*
 * Returns what the host of the newest term that gave orders has told of it, if
 * that bounds the leases of all former owners; else NULL.
 */
const nm_term_end_t *nm_former_newest_end(const nm_former_terms_t *terms);

#endif
