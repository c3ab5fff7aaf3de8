/*
 * Slot grants: shares of executors' slots for the entry hosts.
 *
 * The owner of a data centre's shard divides each executor's slots among
 * the entry hosts.  A grant is a contract with an expiry.  Each holder asks
 * for its grants periodically and reports what it still uses; the owner
 * takes a slot back only after the holder confirmed it, or after the grant
 * expired and any request sent under it has ended.
 *
 * An ask counts only if it names the newest answer sent to its holder, so
 * asks that are late or repeated are told apart.  Any other ask is answered
 * with a probe, which the holder's next ask names.
 *
 *     nm_grant_t grant;
 *     nm_grant_init(&grant, &(nm_grant_desc_t){.recovery_ms = 3000}, now_ms);
 *     nm_grant_set_executor(&grant, id, 8);
 *     bool renewed = nm_grant_renew(&grant, &ask, now_ms, &number);
 *     uint16_t slots = nm_grant_query(&grant, ask.holder, executor_id);
 */
#ifndef NUTMEGDECK_GRANT_H
#define NUTMEGDECK_GRANT_H

#include <nutmegdeck/base.h>

/* How long a holder may use a grant, from when it asked for it. */
#define NM_GRANT_TERM_MS 4000
/* Margin of the owner for clock drift: 500 ms of a 4 s term. */
#define NM_GRANT_CLOCK_MARGIN_MS 500

typedef struct {
    int64_t epoch;          /* of the owner; makes answer numbers unique */
    nm_ms_t request_max_ms; /* longest run of a request after its send */
    /*
     * Time after init in which grants of an earlier owner may be unknown:
     * nothing is granted but what holders report.  0: none (first owner).
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
    uint64_t last_number; /* number of the newest answer or probe; 0: none */
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
 * Takes in a holder's report and renews its grants.  Returns false if the
 * answer is a probe, which leaves the holder's grants as they are.
 */
bool nm_grant_renew(nm_grant_t *grant, const nm_grant_request_t *ask,
                    nm_ms_t now_ms, uint64_t *number);
/* Slots that the last answer to a holder grants for an executor. */
uint16_t nm_grant_query(const nm_grant_t *grant, uint64_t holder,
                        uint64_t executor);
/* Slots of an executor that may be in use by anyone. */
uint16_t nm_grant_query_outstanding(const nm_grant_t *grant, uint64_t executor,
                                    nm_ms_t now_ms);
/* Ends the recovery time: every grant that exists has been reported. */
void nm_grant_end_recovery(nm_grant_t *grant, nm_ms_t now_ms);
/* Forgets holders whose grants and requests have all ended. */
void nm_grant_tick(nm_grant_t *grant, nm_ms_t now_ms);

#endif
