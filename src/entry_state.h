/*
 * State shared by the files of an entry host.  Beside the helpers of entry.c,
 * a file calls only those to the right of it: entry.c -> entry_call.c,
 * entry_owner.c -> entry_election.c, entry_notice.c,
 * entry_lives.c -> entry_takeover.c,
 * entry_commit.c -> entry_authority.c -> entry_succession.c -> entry_load.c ->
 * entry_term.c -> entry_evacuation.c, entry_admission.c; and entry_term.c
 * calls entry_authority.c and entry_succession.c to set them up, and
 * entry_succession.c at the end of a term.
 */
#ifndef NM_ENTRY_STATE_H
#define NM_ENTRY_STATE_H

#include <nutmegdeck/admission.h>

#include "entry.h"
#include "evacuation.h"
#include "feed.h"
#include "former_terms.h"
#include "order_carrier.h"
#include "order_relay.h"
#include "quorum.h"
#include "refusal.h"

/* Keys in the platform's store. */
#define NM_KEY_CONTROL "nutmegdeck/control/"
#define NM_KEY_OWNER NM_KEY_CONTROL "owner"
#define NM_KEY_EPOCH NM_KEY_CONTROL "epoch"
/* Largest cpu_share of the hosts, in 1/1000. */
#define NM_KEY_CPU_SHARE NM_KEY_CONTROL "cpu-share"
/* Epoch of the newest planned hand-over by an owner that lagged. */
#define NM_KEY_YIELDED NM_KEY_CONTROL "yielded"
/* Terms of owners that are not proved over, see former_terms.h. */
#define NM_KEY_TERMS NM_KEY_CONTROL "terms"
#define NM_KEY_OWNED "nutmegdeck/owned/"
#define NM_KEY_ROSTER NM_KEY_OWNED "roster"
/* Ids of the workers that are witnesses, see entry_authority.c. */
#define NM_KEY_WITNESSES NM_KEY_OWNED "witnesses"
/* What the owner of an epoch left when it handed over. */
#define NM_KEY_HAND_OVER NM_KEY_OWNED "hand-over"
#define NM_KEY_INTERFERENCE NM_KEY_OWNED "learned"
/* Changed and compared by every commit, so that a late one fails. */
#define NM_KEY_COMMIT NM_KEY_OWNED "commit"
#define NM_KEY_HOSTS "nutmegdeck/hosts/"
#define NM_KEY_JOBS "nutmegdeck/jobs/"
#define NM_KEY_PROGRESS "nutmegdeck/progress/"
#define NM_SUFFIX_CANCEL ".cancel"

/* Owner record, as last read from the store. */
typedef struct {
    bool present;
    char name[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2];
    char token[NM_NAME_MAX]; /* unique to its election */
    int64_t epoch;
    int64_t revision; /* of the owner key */
} nm_owner_t;

/* Calls of the owner, by what waits for them, and their label in the log. */
#define NM_CALL_CLASS_LIST(X)                                                 \
    X(POLL, "poll")   /* renews the lease of a worker */                      \
    X(PROBE, "probe") /* of a witness, for the owner's authority */           \
    X(START, "start")                                                         \
    X(STOP, "stop")     /* and throttle */                                    \
    X(RENEW, "renew")   /* of the owner key's lease */                        \
    X(COMMIT, "commit") /* of progress */

typedef enum {
#define X(name, label) NM_CALL_##name,
    NM_CALL_CLASS_LIST(X)
#undef X
        NM_CALL_CLASS_COUNT,
} nm_call_class_t;

/* Counters of bytes in the log line on calls. */
#define NM_LOAD_BYTE_COUNTERS 7

/* How a call has ended, and its label in the log. */
#define NM_CALL_OUTCOME_LIST(X)                                               \
    X(ANSWERED, "answered")                                                   \
    X(REFUSED, "refused")   /* nothing serves there, or it is unhealthy */    \
    X(REPLACED, "replaced") /* another worker has responded */                \
    X(LOST, "lost")         /* no response in time */

typedef enum {
#define X(name, label) NM_CALL_##name,
    NM_CALL_OUTCOME_LIST(X)
#undef X
        NM_CALL_OUTCOME_COUNT,
} nm_call_outcome_t;

/* Calls of one class that have ended. */
typedef struct {
    uint32_t counts[NM_CALL_OUTCOME_COUNT];
    nm_ms_t delay_max_ms; /* beyond the time a poll may wait */
} nm_call_stats_t;

/* Load of the owner since the newest line about it in the log. */
typedef struct {
    nm_call_stats_t calls[NM_CALL_CLASS_COUNT];
    nm_ms_t since_ms;
    nm_ms_t cpu_time_ms; /* of the process at that time */
    nm_ms_t due_ms;      /* when the next pass of the control loop is due */
    uint32_t passes;
    nm_ms_t late_max_ms;  /* longest time by which a pass began late */
    nm_ms_t round_max_ms; /* longest round with a placement */
    nm_ms_t lag_max_ms;   /* longest time from an event to its placement */
    nm_ms_t event_ms;     /* oldest event not considered yet; 0: none */
    /* Consecutive lines with too much lag, for want of processor time. */
    uint32_t late_lines;
    nm_sched_placement_t placement; /* as of the newest round */
    nm_sched_placement_t logged;    /* as of the newest line */
} nm_owner_load_t;

/* Longer than a renewal of the owner key takes while the store is slow. */
#define NM_AUTHORITY_MS 1000

/* What shows that no newer owner gives orders, see entry_authority.c. */
typedef struct {
    nm_quorum_t quorum;
    /*
     * When the newest call to the store was sent that showed this host as the
     * owner; on a clock that includes time in suspension.
     */
    nm_ms_t confirmed_ms;
    nm_ms_t elected_ms;
    nm_former_terms_t former;
    nm_ms_t former_until_ms; /* former owners have no authority from then on */
    bool former_over;        /* that is proved */
    nm_ms_t ask_due_ms;      /* when their hosts are asked next */
    nm_ms_t ask_interval_ms;
    bool proofs_due;      /* what is proved is not stored yet */
    nm_ms_t times_due_ms; /* when the times that are left are stored next */
    nm_ms_t unresolved_due_ms; /* next line in the log that it is not proved */
    bool list_unreadable;      /* the stored list of witnesses */
    bool list_due;             /* the workers may have changed since */
    nm_term_end_t *handed_over; /* by the former owner; NULL: it did not */
    bool held;                  /* as last logged */
    nm_ms_t probe_due_ms;
} nm_authority_t;

/* What lists of machines have shown of workers, see entry_lives.c. */
typedef struct {
    int64_t owned_epoch; /* term that the rest belongs to; 0: none */
    bool pending;        /* a listing is in flight */
    bool silent;         /* an incarnation to ask for is known */
    bool distrusted;     /* an incarnation has responded after its end */
    nm_ms_t check_due_ms;
    nm_ms_t list_due_ms;
    nm_ms_t interval_ms; /* between listings */
    GArray *asked;       /* of incarnations the listing in flight decides on */
    GArray *ended;       /* of incarnations that were shown to have ended */
    GHashTable *missing; /* incarnations not in the newest listing; NULL */
} nm_lives_t;

/* Owner that announced itself; the store may not have shown it yet. */
typedef struct {
    char name[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2];
    int64_t epoch; /* 0: none */
} nm_owner_announcement_t;

/* Which new jobs are refused, see entry_admission.c. */
typedef struct {
    nm_admission_table_t table; /* the newest, of this owner or another */
    int64_t epoch;              /* of that owner; 0: none */
    uint64_t job_bytes_max;     /* memory for jobs; 0: not known */
    uint64_t job_bytes_left;    /* of it, less what was accepted here since */
    nm_ms_t expires_ms;
    nm_ms_t compute_due_ms; /* the rest is of the owner */
    /* Bytes of jobs accepted here in the newest intervals, newest first. */
    uint64_t accepted_bytes[2];
    bool memory_is_scarce;
    nm_ms_t send_due_ms;
} nm_entry_admission_t;

typedef enum {
    NM_ROLE_FOLLOWER,
    NM_ROLE_CANDIDATE, /* an election is in flight */
    NM_ROLE_LOADING,   /* owner; reads the stored state */
    NM_ROLE_OWNER,
} nm_role_t;

struct nm_entry {
    nm_entry_desc_t desc;
    nm_queue_config_t *queue_config;
    bool stopping;
    bool refusing; /* the listener refuses requests, as the host exits */
    bool stopped;
    nm_ms_t stop_ms;
    nm_ms_t last_call_open_ms; /* while stopping: a request was open then */
    bool ready;
    nm_rng_t rng;
    /* Newest version of the configuration that another host has named. */
    int64_t peer_config_version;
    nm_ms_t peer_config_ms; /* when it was first named, with suspension */
    /* Control keys and the queue configuration. */
    nm_feed_t config_feed;
    nm_feed_t control_feed;
    nm_owner_t owner;
    nm_owner_announcement_t announced;
    nm_refusals_t refusals; /* of records that others may have written */
    int64_t epoch;          /* newest epoch in the store */
    int64_t epoch_revision;
    nm_former_terms_t terms; /* as stored */
    int64_t terms_revision;
    int64_t cpu_share_max_permille; /* as stored; 0: not known */
    int64_t yielded_epoch;          /* as stored; 0: none */
    /*
     * Start of the election delay: since when no owner is known, or the end of
     * the pause after a failed election.  0: an owner is known, or not
     * checked.
     */
    nm_ms_t vacant_since_ms;
    bool store_lost;         /* too many calls in a row have failed */
    uint32_t store_failures; /* consecutive failed calls */
    nm_ms_t store_responded_ms;
    /* Orders sent through other hosts, and carried for another owner. */
    nm_order_relay_t relay;
    nm_order_port_t *orders;
    nm_order_carrier_t carrier;
    bool registered;
    bool registering;
    nm_ms_t register_due_ms;
    /* Role of this host, and its lease of the owner key. */
    nm_role_t role;
    char token[NM_NAME_MAX];
    int64_t lease;
    nm_ms_t renew_due_ms;
    uint32_t renewals;    /* in flight */
    uint32_t owner_reads; /* of the owner key, in flight */
    nm_ms_t yield_ms; /* began to hand over to a larger host; 0: does not */
    nm_ms_t candidate_after_ms; /* no candidate before, as it has yielded */
    /* New jobs and cancels, until a later read confirms the ownership. */
    GQueue unverified;     /* of nm_store_kv_t */
    guint verifying_count; /* items covered by the read in flight */
    nm_ms_t verify_due_ms;
    int64_t owned_epoch; /* epoch of this host's ownership; 0: none */
    int64_t owner_revision;
    /* Revision of the owner key that the election replaces; 0: none. */
    int64_t replaced_owner_revision;
    int64_t candidate_epoch;           /* written by the election in flight */
    nm_former_terms_t candidate_terms; /* the same, without its own term */
    char process[NM_NAME_MAX];         /* unique to this process */
    int64_t fenced_epoch;    /* a newer owner has told: no term below it */
    nm_term_end_t *term_end; /* of the newest term with orders; NULL: none */
    nm_authority_t authority;
    nm_lives_t lives;
    nm_sched_t *sched;
    nm_feed_t workers_feed;
    nm_feed_t jobs_feed;
    nm_feed_t progress_feed;
    nm_feed_t owned_feed; /* roster, interference model, commit key */
    nm_feed_t hosts_feed;
    /* Evacuated zones; the feed is open during a term. */
    nm_feed_t evacuation_feed;
    nm_evacuation_t evacuation;
    bool starts_held; /* as last logged */
    nm_entry_admission_t admission;
    GHashTable *roster;        /* ids of workers, as stored */
    GHashTable *roster_wanted; /* ids that the next commit stores */
    bool roster_dirty;
    bool hosts_changed;    /* since cpu_share_max_permille was compared */
    GQueue announce_queue; /* addresses of hosts to be notified of the owner */
    GPtrArray *progress;   /* loaded records, until the jobs are listed */
    GPtrArray *cancels;    /* keys of cancels, until progress is applied */
    GHashTable *cancels_ahead; /* jobs cancelled by a notice, not known yet */
    bool committing;
    int64_t commit_revision; /* of the commit key */
    bool commit_unknown;     /* a commit's outcome is unknown: read the key */
    nm_ms_t commit_due_ms;
    nm_ms_t interference_due_ms;
    nm_ms_t sched_due_ms;
    nm_ms_t capacity_log_due_ms;
    nm_sched_capacity_t logged_capacity; /* newest one in the log */
    nm_owner_load_t load;
    uint64_t logged_bytes[NM_LOAD_BYTE_COUNTERS]; /* counters, newest line */
    /* Requests of callers and peers. */
    GQueue open_ops;           /* of nm_op_t */
    GHashTable *forwarded_ops; /* request number -> nm_op_t */
};

/* Context of a call that belongs to the current term. */
typedef struct {
    nm_entry_t *entry;
    int64_t owned_epoch; /* 0: this host was not the owner */
    nm_ms_t sent_ms;     /* on the clock of its authority */
} nm_term_call_t;

static inline nm_ms_t
nm_entry_now(const nm_entry_t *entry)
{
    return nm_clock_now(entry->desc.clock);
}

/* entry_term.c */
void nm_term_init(nm_entry_t *entry);
void nm_term_finish(nm_entry_t *entry);
nm_term_call_t *nm_term_call_new(nm_entry_t *entry);
/* Time at which a call was sent, on the clock of the authority. */
nm_ms_t nm_term_call_sent_ms(const void *user);
/* Ends and frees a call; returns NULL if its term is over. */
nm_entry_t *nm_term_call_end(void *user);
void nm_term_step_down(nm_entry_t *entry, const char *cause);
/*
 * Takes the result of a read of the owner key that was sent at a time and that
 * the store has answered: confirms the ownership and returns true, or ends the
 * term.
 */
bool nm_term_check_owner_key(nm_entry_t *entry, const nm_kv_result_t *result,
                             nm_ms_t sent_ms);
/* Frees an nm_store_kv_t that was copied from a feed. */
void nm_term_free_item(gpointer data);
/* Opens a feed with the host's store and clock, and the entry as user. */
void nm_entry_open_feed(nm_entry_t *entry, nm_feed_t *feed,
                        nm_feed_desc_t desc);

/* entry_evacuation.c */
void nm_entry_evacuation_init(nm_entry_t *entry);
void nm_entry_evacuation_finish(nm_entry_t *entry);
/* A term begins; its scheduler exists. */
void nm_entry_evacuation_begin(nm_entry_t *entry);
void nm_entry_evacuation_end(nm_entry_t *entry);
/* The store has answered a renewal of the owner key's lease, or has not. */
void nm_entry_evacuation_on_renewal(nm_entry_t *entry, int rc);
/* Logs the key of an evacuation that this host is not set up for. */
void nm_entry_evacuation_ignore(nm_entry_t *entry, const nm_store_kv_t *item);
/* Tells the scheduler whether tasks may start. */
void nm_entry_evacuation_run(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_admission.c */
/* Computes the table of the owner, and sends it to the other hosts. */
void nm_entry_admission_run(nm_entry_t *entry, nm_ms_t now_ms);
/* Takes the table of an owner. */
void nm_entry_admission_handle(nm_entry_t *entry,
                               const NmPb__EntryAsk *request);
/* Returns the memory for jobs of a host with so much memory; 0: no limit. */
uint64_t nm_entry_job_bytes_max(uint32_t memory_mb);
/* How much memory a job needs that is not accepted. */
typedef struct {
    nm_reason_t refusal; /* NM_REASON_NONE: it is accepted */
    uint64_t needed_bytes;
    uint64_t left_bytes;
    uint64_t max_bytes;
} nm_job_memory_t;
/* Decides on a job by its memory, and counts it if it is accepted. */
nm_job_memory_t nm_entry_admission_check_memory(nm_entry_t *entry,
                                                const nm_job_spec_t *spec);
/* Decides on a job whose id is not known to be stored. */
nm_admission_t nm_entry_admission_query(nm_entry_t *entry,
                                        const nm_queue_t *queue,
                                        const nm_job_spec_t *spec);

/* entry_authority.c */
void nm_authority_init(nm_entry_t *entry);
void nm_authority_finish(nm_entry_t *entry);
/* A term begins with an election that was sent at a time. */
void nm_authority_begin(nm_entry_t *entry, nm_ms_t sent_ms);
/* A call to the store, sent at a time, has shown this host as the owner. */
void nm_authority_confirm(nm_entry_t *entry, nm_ms_t sent_ms);
void nm_authority_load_witnesses(nm_entry_t *entry, const nm_store_kv_t *item);
/* Keeps the incarnation and address of a witness that is announced. */
void nm_authority_set_worker(nm_entry_t *entry,
                             const nm_sched_worker_t *worker);
/* A worker has responded to this epoch. */
void nm_authority_on_response(nm_entry_t *entry, const char *worker);
/* Adds the list of witnesses to a commit if it has changed. */
bool nm_authority_put_witnesses(nm_entry_t *entry, nm_store_txn_t *txn);
/* Takes the result of that commit. */
void nm_authority_on_witnesses_stored(nm_entry_t *entry, int rc);
/*
 * Calls visit for each witness that may confirm a former owner, unless the
 * authority of all is over.
 */
typedef void (*nm_authority_visit_fn)(void *user,
                                      const nm_witness_life_t *life);
void nm_authority_visit_unresolved(const nm_entry_t *entry,
                                   nm_authority_visit_fn visit, void *user);
/* See nm_quorum_on_ended. */
void nm_authority_on_life_ended(nm_entry_t *entry,
                                const nm_witness_life_t *life);
/* Calls witnesses if needed, and tells the scheduler what it may do. */
void nm_authority_run(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_succession.c */
void nm_succession_init(nm_entry_t *entry);
void nm_succession_finish(nm_entry_t *entry);
/* A term begins; the former ones are moved from candidate_terms. */
void nm_succession_begin(nm_entry_t *entry);
/* A term ends: keeps what later owners will ask for. */
void nm_succession_end(nm_entry_t *entry);
/* Applies the list of terms as stored. */
void nm_succession_apply(nm_entry_t *entry, const nm_store_kv_t *item);
/*
 * Adds to the transaction of an election the list with the candidate's term.
 */
void nm_succession_put_candidate(nm_entry_t *entry, nm_store_txn_t *txn);
/* Adds the list to a commit if more is known than is stored. */
bool nm_succession_put(nm_entry_t *entry, nm_store_txn_t *txn, nm_ms_t now_ms);
/* Takes the result of that commit. */
void nm_succession_on_stored(nm_entry_t *entry, int rc);
/*
 * Adds to a transaction that ends the ownership what the next owner need not
 * find out by waiting; the owner gives no orders after this.
 */
void nm_succession_put_hand_over(nm_entry_t *entry, nm_store_txn_t *txn,
                                 nm_ms_t now_ms);
void nm_succession_load_hand_over(nm_entry_t *entry,
                                  const nm_store_kv_t *item);
/*
 * A host has told of a newer epoch: no term below it begins.  The caller ends
 * the one that is held.
 */
void nm_succession_fence(nm_entry_t *entry, int64_t epoch);
/* Answers a newer owner. */
void nm_succession_handle_request(nm_entry_t *entry,
                                  const nm_peer_message_t *message);
/* Takes the answer of a host of former owners. */
void nm_succession_handle_response(nm_entry_t *entry,
                                   const NmPb__TermEnd *response);
/* Before the scheduler begins: what is known without asking. */
void nm_succession_activate(nm_entry_t *entry);
/* Proves former terms over, and tells the scheduler once all are. */
void nm_succession_run(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_commit.c */
/* Sends the next commit if it is due and none is in flight. */
void nm_commit_run(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_takeover.c */
/* Begins a term as owner; revision is that of the owner key. */
void nm_takeover_begin(nm_entry_t *entry, int64_t epoch, int64_t revision);
void nm_takeover_verify(nm_entry_t *entry, nm_ms_t now_ms);
void nm_takeover_apply_queue_config(nm_entry_t *entry);
/*
 * Cancels a job for which the store has a cancel key, whether or not the feed
 * has delivered the key, or the job.
 */
void nm_takeover_cancel(nm_entry_t *entry, const char *job);

/* entry_election.c */
/* Applies a change of the owner or epoch key. */
void nm_election_apply_control(nm_entry_t *entry, const nm_store_kv_t *item);
void nm_election_run(nm_entry_t *entry, nm_ms_t now_ms);
void nm_election_renew(nm_entry_t *entry, nm_ms_t now_ms);
/*
 * Ends a term: of a host that stops, or of an owner that lags for want of
 * processor time while a larger host could take over.
 */
void nm_election_check_hand_over(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_load.c */
/* Begins to measure, when a term begins. */
void nm_load_reset(nm_entry_t *entry, nm_ms_t now_ms);
/* A response, a worker or a job has changed what can be placed. */
void nm_load_on_event(nm_entry_t *entry, nm_ms_t now_ms);
/*
 * A call has ended, delay_ms after it was sent, less the time it was to wait.
 */
void nm_load_on_call(nm_entry_t *entry, nm_call_class_t call_class,
                     nm_call_outcome_t outcome, nm_ms_t delay_ms);
/* How a call to a worker or to the store has ended. */
nm_call_outcome_t nm_load_order_outcome(nm_order_result_t result);
nm_call_outcome_t nm_load_store_outcome(int rc);
/* A pass of the control loop begins. */
void nm_load_on_pass(nm_entry_t *entry, nm_ms_t now_ms);
/* A round of the scheduler, which began at a time, has ended. */
void nm_load_on_round(nm_entry_t *entry, nm_ms_t began_ms);
/* Ends a pass: logs the load if that is due; due_ms: of the next pass. */
void nm_load_end_pass(nm_entry_t *entry, nm_ms_t now_ms, nm_ms_t due_ms);

/* entry_notice.c */
/* Address of the newest known owner; NULL: none, or this host. */
const char *nm_notice_owner_address(const nm_entry_t *entry);
/*
 * Notifies hosts of the new owner.  A host that is cut off from the store
 * cannot read the owner key, but has to forward its callers' jobs.
 */
void nm_notice_announce(nm_entry_t *entry);
/* Notifies the owner of a cancel that is stored. */
void nm_notice_cancel(nm_entry_t *entry, const char *job);
/* Returns false if a peer's request is no notice. */
bool nm_notice_handle(nm_entry_t *entry, const NmPb__EntryAsk *request);

/* entry_lives.c */
void nm_lives_finish(nm_entry_t *entry);
/* Asks for the list of machines if a worker's silence calls for it. */
void nm_lives_run(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_owner.c */
void nm_owner_on_late_report(void *user, const char *worker,
                             const nm_worker_report_t *report);
nm_ms_t nm_owner_run(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_call.c */
void nm_calls_init(nm_entry_t *entry);
void nm_calls_finish(nm_entry_t *entry);
nm_ms_t nm_calls_run(nm_entry_t *entry, nm_ms_t now_ms);
/*
 * Lets the next call of nm_calls_run answer all open requests: 504 if the
 * outcome is unknown, else 503.
 */
void nm_calls_end_open(nm_entry_t *entry);

int64_t nm_entry_unix_ms(void);
/*
 * Records the result of a store call; logs when the store is lost, and when it
 * has recovered.
 */
void nm_entry_record_store_result(nm_entry_t *entry, int rc);

#endif
