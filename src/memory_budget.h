/*
 * Budget of what clients make a process hold: connections with their heads
 * and unsent responses, and the bodies of requests and responses.
 *
 * Load: crowds that send bodies or heads and stop short of the end, or do not
 * read their responses.  What exceeds the budget is closed, longest without
 * progress first.  A single byte is no progress.  Part of the budget is kept
 * for small bodies, so that ordinary requests pass beside a crowd.
 *
 * Connections whose requests are with another thread are not closed, so that a
 * crowd of them leaves only the newest connection to close.  A new connection
 * therefore gets some time for its head, in an eighth of connections_max.
 *
 * A decision without I/O: the caller closes the connections that it names, and
 * serialises the calls.
 *
 *     nm_memory_budget_t budget;
 *     nm_memory_budget_init(&budget, &limits);
 *     nm_memory_budget_open(&budget, &holder, user, now_ms);
 *     bool kept = nm_memory_budget_charge(&budget, &holder, bytes);
 *     while ((user = nm_memory_budget_next_closing(&budget, now_ms))) {
 *         shutdown(...);
 *     }
 *     nm_memory_budget_close(&budget, &holder);
 */
#ifndef NM_MEMORY_BUDGET_H
#define NM_MEMORY_BUDGET_H

#include <glib.h>

#include <nutmegdeck/base.h>

/* Bytes of a body that count as a step of progress. */
#define NM_MEMORY_BUDGET_STEP_BYTES 4096
/* A body up to this size may use the whole reserve. */
#define NM_MEMORY_BUDGET_SMALL_BYTES 16384

/* 0: no limit. */
typedef struct {
    uint32_t connections_max;
    uint64_t body_max_bytes;
    uint64_t reserve_bytes; /* in addition to body_max_bytes */
    nm_ms_t stall_max_ms;   /* without a step, while not writing */
} nm_memory_limits_t;

/* One connection; zero-initialised. */
typedef struct {
    void *user;
    GList stall_link; /* in the list of connections that may be closed */
    GList body_link;  /* in the list of those of them that hold bodies */
    nm_ms_t stepped_ms;
    uint32_t step_bytes; /* received since the last step */
    uint64_t body_bytes;
    bool is_new; /* has sent no head yet */
    bool is_writing;
    bool is_waiting; /* its request is with another thread */
    bool is_closing; /* was named by next_closing() */
} nm_memory_holder_t;

typedef struct {
    nm_memory_limits_t limits;
    GQueue stalled; /* of nm_memory_holder_t, longest without a step first */
    GQueue bodies;  /* the same, of those with a body */
    uint32_t connections;
    uint32_t closing_connections;
    uint64_t body_bytes;
    uint64_t closing_body_bytes;
} nm_memory_budget_t;

/*
 * Limits of a process on a machine with this memory and this limit of
 * descriptors, of which each may be 0 for no limit.  connection_bytes is the
 * memory of one connection.
 */
nm_memory_limits_t nm_memory_limits_derive(uint32_t memory_mb,
                                           uint32_t max_fds,
                                           uint32_t connection_bytes);

void nm_memory_budget_init(nm_memory_budget_t *budget,
                           const nm_memory_limits_t *limits);
void nm_memory_budget_open(nm_memory_budget_t *budget,
                           nm_memory_holder_t *holder, void *user,
                           nm_ms_t now_ms);
void nm_memory_budget_close(nm_memory_budget_t *budget,
                            nm_memory_holder_t *holder);
/* A head has been read, or a response has been sent. */
void nm_memory_budget_step(nm_memory_budget_t *budget,
                           nm_memory_holder_t *holder, nm_ms_t now_ms);
/* Bytes of a body have been read. */
void nm_memory_budget_receive(nm_memory_budget_t *budget,
                              nm_memory_holder_t *holder, uint64_t bytes,
                              nm_ms_t now_ms);
/*
 * Counts bytes that are to be held; returns false if there is no room for
 * them.  force counts them in any case, for what is held already.
 */
bool nm_memory_budget_charge(nm_memory_budget_t *budget,
                             nm_memory_holder_t *holder, uint64_t bytes,
                             bool force);
/* All bytes that the holder was charged with have been freed. */
void nm_memory_budget_release(nm_memory_budget_t *budget,
                              nm_memory_holder_t *holder);
/* The request is with another thread; its connection must stay. */
void nm_memory_budget_wait(nm_memory_budget_t *budget,
                           nm_memory_holder_t *holder);
/* The response is being written, until the next step. */
void nm_memory_budget_write(nm_memory_budget_t *budget,
                            nm_memory_holder_t *holder, nm_ms_t now_ms);
/*
 * Returns the user of a connection that has to be closed, or NULL; call it
 * until it returns NULL.
 */
void *nm_memory_budget_next_closing(nm_memory_budget_t *budget,
                                    nm_ms_t now_ms);

#endif
