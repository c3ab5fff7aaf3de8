/*
 * State shared by the parts of an entry host.  Calls go one way:
 * entry.c -> entry_call.c, entry_owner.c -> entry_election.c ->
 * entry_takeover.c, entry_commit.c -> entry_term.c.
 */
#ifndef NM_ENTRY_STATE_H
#define NM_ENTRY_STATE_H

#include "entry.h"
#include "feed.h"
#include "order_carrier.h"
#include "order_relay.h"

/* Keys of the product in the platform's store. */
#define NM_KEY_CONTROL "nutmegdeck/control/"
#define NM_KEY_OWNER NM_KEY_CONTROL "owner"
#define NM_KEY_EPOCH NM_KEY_CONTROL "epoch"
#define NM_KEY_OWNED "nutmegdeck/owned/"
#define NM_KEY_ROSTER NM_KEY_OWNED "roster"
#define NM_KEY_INTERFERENCE NM_KEY_OWNED "learned"
/* Changed by every commit, so that one that is carried out late fails. */
#define NM_KEY_COMMIT NM_KEY_OWNED "commit"
#define NM_KEY_HOSTS "nutmegdeck/hosts/"
#define NM_KEY_JOBS "nutmegdeck/jobs/"
#define NM_KEY_PROGRESS "nutmegdeck/progress/"
#define NM_SUFFIX_CANCEL ".cancel"

/* What the store says of the owner. */
typedef struct {
    bool present;
    char name[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2];
    char token[NM_NAME_MAX]; /* of its election; unique */
    int64_t epoch;
    int64_t revision; /* of the key */
} nm_owner_t;

/* An owner that announced itself; the store may not have shown it yet. */
typedef struct {
    char name[NM_NAME_MAX];
    char address[NM_NAME_MAX * 2];
    int64_t epoch; /* 0: none */
} nm_owner_announcement_t;

typedef enum {
    NM_ROLE_FOLLOWER,
    NM_ROLE_CANDIDATE, /* an election call is in flight */
    NM_ROLE_LOADING,   /* owner, reads what was stored */
    NM_ROLE_OWNER,
} nm_role_t;

struct nm_entry {
    nm_entry_desc_t desc;
    nm_queue_config_t *queue_config;
    bool stopping;
    bool stopped;
    nm_ms_t stop_ms;
    nm_ms_t last_call_open_ms; /* last time a call was open while stopping */
    bool ready;
    nm_rng_t rng;
    /* Control keys, and the configuration. */
    nm_feed_t config_feed;
    nm_feed_t control_feed;
    nm_owner_t owner;
    nm_owner_announcement_t announced;
    int64_t epoch; /* newest in the store */
    int64_t epoch_revision;
    nm_ms_t vacant_since_ms; /* no owner is known since; 0: there is one */
    bool store_lost;         /* belief: it does not answer us */
    uint32_t store_failures; /* calls in a row without an answer */
    nm_ms_t store_responded_ms;
    /* Orders through other hosts, and for them. */
    nm_order_relay_t relay;
    nm_order_port_t *orders;
    nm_order_carrier_t carrier;
    bool registered;
    bool registering;
    nm_ms_t register_due_ms;
    /* Ownership. */
    nm_role_t role;
    char token[NM_NAME_MAX];
    int64_t lease;
    nm_ms_t renew_due_ms;
    bool renewing;
    /* New jobs and cancels, until ownership after their writing is shown. */
    GQueue unverified;     /* of nm_store_kv_t */
    guint verifying_count; /* how many of them the read under way covers */
    nm_ms_t verify_due_ms;
    int64_t owned_epoch; /* epoch of our ownership; 0: none */
    int64_t owner_revision;
    int64_t replaced_owner_revision; /* of the key to be replaced */
    int64_t candidate_epoch;         /* that the election under way writes */
    nm_sched_t *sched;
    nm_feed_t workers_feed;
    nm_feed_t jobs_feed;
    nm_feed_t progress_feed;
    nm_feed_t owned_feed; /* roster and learned */
    nm_feed_t hosts_feed;
    GHashTable *roster; /* worker ids that are stored */
    GHashTable *roster_wanted;
    bool roster_dirty;
    GQueue announce_queue; /* addresses of hosts to tell of the ownership */
    GPtrArray *progress;   /* loaded records, until the jobs are listed */
    GPtrArray *cancels;    /* listed cancels, until progress is applied */
    bool committing;
    int64_t commit_revision; /* of the commit key */
    bool commit_unknown;     /* a commit got no answer: read the key first */
    nm_ms_t commit_due_ms;
    nm_ms_t interference_due_ms;
    nm_ms_t sched_due_ms;
    /* Calls. */
    GQueue open_ops;           /* of nm_op_t, open */
    GHashTable *forwarded_ops; /* question number -> nm_op_t */
};

/* A call of the current term; nm_term_call_end ends it. */
typedef struct {
    nm_entry_t *entry;
    int64_t owned_epoch; /* 0: not an owner's */
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
/* Ends a call; returns NULL if its term is over. */
nm_entry_t *nm_term_call_end(void *user);
void nm_term_step_down(nm_entry_t *entry, const char *cause);
/* For items that were copied from a feed. */
void nm_term_free_item(gpointer data);
/* Opens a feed with the host's store and clock; its user is the entry. */
void nm_entry_open_feed(nm_entry_t *entry, nm_feed_t *feed,
                        nm_feed_desc_t desc);

/* entry_commit.c */
void nm_commit_run(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_takeover.c */
void nm_takeover_begin(nm_entry_t *entry, int64_t epoch, int64_t revision);
void nm_takeover_verify(nm_entry_t *entry, nm_ms_t now_ms);
void nm_takeover_apply_queue_config(nm_entry_t *entry);

/* entry_election.c */
void nm_election_apply_control(nm_entry_t *entry, const nm_store_kv_t *item);
void nm_election_run(nm_entry_t *entry, nm_ms_t now_ms);
void nm_election_renew(nm_entry_t *entry, nm_ms_t now_ms);
void nm_election_hand_over(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_owner.c */
void nm_owner_on_late_report(void *user, const char *worker,
                             const nm_worker_report_t *report);
nm_ms_t nm_owner_run(nm_entry_t *entry, nm_ms_t now_ms);

/* entry_call.c */
void nm_calls_init(nm_entry_t *entry);
void nm_calls_finish(nm_entry_t *entry);
nm_ms_t nm_calls_run(nm_entry_t *entry, nm_ms_t now_ms);

int64_t nm_entry_unix_ms(void);
/* Takes the result of any store call as evidence of the store's health. */
void nm_entry_record_store_result(nm_entry_t *entry, int rc);

#endif
