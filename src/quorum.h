/*
 * Witnesses: a few workers whose majority shows whether a newer owner has
 * begun to give orders.
 *
 * A worker refuses orders of an epoch lower than the highest it has seen.  So
 * an owner whose calls a majority of the witnesses accepts has no successor
 * that a majority has responded to, and the other way round.  All owners use
 * the list that is stored; while a new list is being stored, a majority of
 * both is needed.
 *
 * The list names an incarnation of each worker at its address, and no other
 * one accepts calls for it.  So a listed incarnation that has ended accepts
 * none, as if it had responded to the successor.  That it has ended is shown
 * by a response of another worker at its address, or by a list of machines
 * that no longer has it, not by a silence.
 *
 *     nm_quorum_t quorum;
 *     nm_quorum_init(&quorum);
 *     nm_quorum_set_stored(&quorum, list);
 *     nm_quorum_on_accepted(&quorum, &accepted, sent_ms, confirmed_ms);
 *     nm_ms_t since_ms = nm_quorum_accepted_ms(&quorum);
 *     nm_quorum_finish(&quorum);
 */
#ifndef NM_QUORUM_H
#define NM_QUORUM_H

#include <glib.h>

#include <nutmegdeck/base.h>

/* With a fifth of the workers lost, the majority is lost in 1 of 200 cases. */
#define NM_QUORUM_WITNESSES_MAX 15

/* An incarnation of a worker. */
typedef struct {
    char id[NM_NAME_MAX];
    char address[NM_NAME_MAX]; /* empty: not known */
    int64_t incarnation;       /* 0: not known */
} nm_witness_life_t;

typedef struct {
    nm_witness_life_t life; /* the newest that is known */
    bool announced;         /* in this term */
    nm_ms_t announced_ms;   /* when it was first announced */
    nm_ms_t accepted_ms; /* its newest accepted call was sent then; 0: none */
    bool responded;      /* to any call of this term */
    bool replaced;       /* another worker has responded at its address */
    nm_witness_life_t ended; /* no machine has it any more; id empty: none */
    bool probe_pending;
    bool refused; /* its newest probe, by whatever is at its address */
} nm_witness_t;

typedef struct {
    GHashTable *witnesses; /* id -> nm_witness_t, of both lists */
    GPtrArray *stored;     /* of nm_witness_life_t */
    GPtrArray *pending; /* the same, as a write in flight stores; NULL: none */
} nm_quorum_t;

/* Returns false if no incarnation of a worker is known. */
typedef bool (*nm_quorum_describe_fn)(void *user, const char *id,
                                      nm_witness_life_t *life);

void nm_quorum_init(nm_quorum_t *quorum);
void nm_quorum_finish(nm_quorum_t *quorum);
/* Forgets all witnesses. */
void nm_quorum_clear(nm_quorum_t *quorum);

/* Chooses witnesses from a set of ids; the caller frees the array. */
GPtrArray *nm_quorum_choose(GHashTable *workers,
                            nm_quorum_describe_fn describe, void *user);
/* JSON of a list, to be freed with free(). */
char *nm_quorum_encode(const GPtrArray *list);
/*
 * Returns NULL if the text is no list.  Earlier versions stored ids only;
 * their incarnations are not known.
 */
GPtrArray *nm_quorum_decode(const void *text, uint32_t bytes);
bool nm_quorum_is_stored(const nm_quorum_t *quorum, const GPtrArray *list);

/* Replaces the stored list.  Takes list over. */
void nm_quorum_set_stored(nm_quorum_t *quorum, GPtrArray *list);
/*
 * A write in flight, or one without a response, stores list.  Takes it over.
 */
void nm_quorum_set_pending(nm_quorum_t *quorum, GPtrArray *list);
/* The pending list is stored. */
void nm_quorum_confirm_pending(nm_quorum_t *quorum);
/* The write had no effect. */
void nm_quorum_drop_pending(nm_quorum_t *quorum);

/*
 * A worker has announced an incarnation.  Returns true if it is a witness and
 * this was not known, so that a list that names it is due.
 */
bool nm_quorum_set_worker(nm_quorum_t *quorum, const nm_witness_life_t *life,
                          nm_ms_t now_ms);
nm_witness_t *nm_quorum_find(const nm_quorum_t *quorum, const char *id);
/*
 * A witness has accepted a call sent at a time.  confirmed_ms: when the store
 * last confirmed the ownership; an incarnation that was announced later counts
 * for nothing, as a worker that restarts forgets the epochs it has seen.
 */
void nm_quorum_on_accepted(nm_quorum_t *quorum, const nm_witness_life_t *life,
                           nm_ms_t sent_ms, nm_ms_t confirmed_ms);
/*
 * Another worker has responded to a call to a witness.  Without effect if its
 * address is that of a further witness too.
 */
void nm_quorum_on_replaced(nm_quorum_t *quorum, const nm_witness_life_t *life);
/*
 * A list of machines, requested after life was known, shows that it has ended.
 */
void nm_quorum_on_ended(nm_quorum_t *quorum, const nm_witness_life_t *life);
/* Latest time since which a majority has accepted a call; 0: none. */
nm_ms_t nm_quorum_accepted_ms(const nm_quorum_t *quorum);
/* True if a witness of the stored list can accept no former owner's call. */
bool nm_quorum_is_resolved(const nm_quorum_t *quorum,
                           const nm_witness_life_t *listed);
/* True once a majority is resolved in this term, or if there is no list. */
bool nm_quorum_has_responded(const nm_quorum_t *quorum);

#endif
