/*
 * Slot grants: shares of executors' slots for the entry hosts.
 *
 * The owner of a data centre's shard divides each executor's slots among
 * the entry hosts.  A grant expires unless its holder renews it.  Each
 * holder requests its grants periodically and reports the slots that it
 * still uses.  The owner reclaims a slot only after the holder reported it
 * unused, or after the grant expired and all requests sent under it ended.
 *
 * A request renews grants only if it names the newest response sent to its
 * holder, so that late and repeated requests change no grants.  The response
 * to any other request is a probe, which the holder's next request names.
 *
 * Load: entry hosts that compete for the slots of the same executors,
 * messages that are lost, late or repeated, and changes of owner.
 *
 *     nm_grant_t grant;
 *     nm_grant_init(&grant, &(nm_grant_desc_t){.recovery_ms = 3000}, now_ms);
 *     nm_grant_set_executor(&grant, id, 8);
 *     bool renewed = nm_grant_renew(&grant, &request, now_ms, &number);
 *     uint16_t slots = nm_grant_query(&grant, request.holder, executor_id);
 */
#ifndef NUTMEGDECK_GRANT_H
#define NUTMEGDECK_GRANT_H

#include <nutmegdeck/base.h>

/* How long a grant is valid after its holder sent the request for it. */
#define NM_GRANT_TERM_MS 4000
/* Added by the owner against clock drift: 500 ms for a 4 s term. */
#define NM_GRANT_CLOCK_MARGIN_MS 500

typedef struct {
    int64_t epoch;          /* of the owner; makes response numbers unique */
    nm_ms_t request_max_ms; /* longest run of a request once sent */
    /*
     * Time after init in which grants of an earlier owner may be unknown, so
     * that holders are granted only what they report.  0: none (first owner).
     */
    nm_ms_t recovery_ms;
} nm_grant_desc_t;

/* A holder's report for one executor. */
typedef struct {
    uint64_t executor;
    uint16_t held; /* the greater of slots granted and slots in use */
} nm_grant_report_t;

/* A holder's periodic request. */
typedef struct {
    uint64_t holder;      /* identity of the process, new at each start */
    uint64_t last_number; /* of the newest response or probe; 0: none */
    uint32_t demand;      /* slots it could use in total */
    bool leaving;
    const nm_grant_report_t *reports;
    uint32_t report_count;
} nm_grant_request_t;

typedef struct nm_grant {
    struct nm_grant_state *state;
} nm_grant_t;

void nm_grant_init(nm_grant_t *grant, const nm_grant_desc_t *desc,
                   nm_ms_t now_ms);
void nm_grant_finish(nm_grant_t *grant);
/* Declares an executor, or changes its slots; 0 stops new grants for it. */
void nm_grant_set_executor(nm_grant_t *grant, uint64_t executor,
                           uint16_t slots);
/*
 * Applies a holder's report, renews its grants and sets number to that of
 * the response.  Returns false if the response is a probe, which leaves the
 * holder's grants unchanged.
 */
bool nm_grant_renew(nm_grant_t *grant, const nm_grant_request_t *request,
                    nm_ms_t now_ms, uint64_t *number);
/* Slots of an executor granted by the newest response to a holder. */
uint16_t nm_grant_query(const nm_grant_t *grant, uint64_t holder,
                        uint64_t executor);
/* Slots of an executor that all holders together may be using. */
uint16_t nm_grant_query_outstanding(const nm_grant_t *grant, uint64_t executor,
                                    nm_ms_t now_ms);
/* Ends the recovery time early: no grant is unknown any more. */
void nm_grant_end_recovery(nm_grant_t *grant, nm_ms_t now_ms);
/* Removes holders whose grants and requests have all ended. */
void nm_grant_tick(nm_grant_t *grant, nm_ms_t now_ms);

#endif
