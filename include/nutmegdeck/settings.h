/*
 * The operators' settings tree.
 *
 * A tree holds sections named by paths such as "kreidefeld/buchung".  A
 * section that does not set a key has the value of its nearest ancestor that
 * sets it, or else the key's default.  Operators write GLib key files; the
 * store holds the differences between revisions as JSON.
 *
 *     nm_settings_t settings;
 *     nm_settings_init(&settings);
 *     nm_settings_parse(&settings, text, bytes, on_error, user);
 *     nm_settings_check(&settings, on_error, user);
 *     int64_t ms = nm_settings_int(&settings, path, NM_KEY_TIMEOUT_MS);
 *     nm_settings_finish(&settings);
 */
#ifndef NUTMEGDECK_SETTINGS_H
#define NUTMEGDECK_SETTINGS_H

#include <jansson.h>

#include <nutmegdeck/base.h>

typedef enum {
    NM_TYPE_INT,
    NM_TYPE_TEXT,
    NM_TYPE_PATH, /* path of another section */
    NM_TYPE_KIND,
    NM_TYPE_BOOL,
} nm_key_type_t;

#define NM_KIND_LIST(X)                                                       \
    X(FOLDER, "folder")                                                       \
    X(CUSTOMER, "customer")                                                   \
    X(REGION, "region")                                                       \
    X(DATACENTRE, "datacentre")                                               \
    X(LINK, "link")                                                           \
    X(SERVICE, "service")                                                     \
    X(BATCH, "batch")                                                         \
    X(WATCHER, "watcher")                                                     \
    X(TEAM, "team")

typedef enum {
#define X(name, label) NM_KIND_##name,
    NM_KIND_LIST(X)
#undef X
        NM_KIND_COUNT,
} nm_kind_t;

const char *nm_kind_name(nm_kind_t kind);

/*
 * All keys: enumerator, name, type, unit, minimum, maximum, default value
 * and description.  The maximum of a text is its length in bytes.  The
 * checks, `nutmegctl explain` and `nutmegctl keys`, which prints the table of
 * the operators' page, use this list.
 */
#define NM_KEY_LIST(X)                                                        \
    X(KIND, "kind", KIND, "", 0, 16, "folder",                                \
      "what the section declares; never inherited")                           \
    X(PATH, "path", TEXT, "", 0, 200, "",                                     \
      "request path prefix that a service handles; never inherited")          \
    X(HOME, "home", TEXT, "", 0, 63, "",                                      \
      "data centre that runs the tasks; empty: chosen by hash of the path")   \
    X(WEIGHT_LATENCY, "weight_latency_pct", INT, "%", 0, 100, "50",           \
      "weight of tail latency against batch throughput")                      \
    X(TIMEOUT_MS, "timeout_ms", INT, "ms", 10, 60000, "2000",                 \
      "longest time from a request's arrival to its response")                \
    X(ATTEMPT_TIMEOUT_MS, "attempt_timeout_ms", INT, "ms", 0, 60000, "0",     \
      "longest time of one attempt of an idempotent request; 0: time left")   \
    X(SLOTS, "slots_per_executor", INT, "", 1, 64, "8",                       \
      "requests that one executor runs at once")                              \
    X(CONNECTIONS, "connections_per_executor", INT, "", 4, 1024, "64",        \
      "connections that one executor accepts")                                \
    X(QUEUE_LIMIT, "queue_limit", INT, "", 0, 100000, "400",                  \
      "requests that may wait for a slot on one entry host")                  \
    X(RETRY_BUDGET, "retry_budget_pct", INT, "%", 0, 100, "8",                \
      "retries as a share of requests")                                       \
    X(HEDGE_BUDGET, "hedge_budget_pct", INT, "%", 0, 100, "2",                \
      "hedged attempts of idempotent requests as a share of requests")        \
    X(CLAIM_STRICT, "claim_strict", BOOL, "", 0, 1, "true",                   \
      "refuse a request with Idempotency-Key when the store is down")         \
    X(CLAIM_TTL_S, "claim_ttl_s", INT, "s", 60, 604800, "86400",              \
      "time that an Idempotency-Key is remembered")                           \
    X(EXECUTOR_CPU, "executor_cpu_milli", INT, "mCPU", 0, 1000000, "8000",    \
      "processors reserved for one executor on its worker")                   \
    X(EXECUTOR_MEMORY, "executor_memory_mb", INT, "MB", 0, 8388608, "8192",   \
      "memory reserved for one executor on its worker")                       \
    X(TASKS, "tasks", INT, "", 0, 100000, "1", "tasks of the job")            \
    X(RUN, "run", TEXT, "", 0, 63, "",                                        \
      "name of the run; a new name runs a finished job again")                \
    X(CPU, "cpu_milli", INT, "mCPU", 1, 1000000, "1000",                      \
      "processors that a task is declared to use")                            \
    X(MEMORY, "memory_mb", INT, "MB", 1, 8388608, "1024",                     \
      "memory that a task is declared to use")                                \
    X(ACCELERATORS, "accelerators", INT, "", 0, 64, "0",                      \
      "accelerators that a task holds")                                       \
    X(GANG, "gang", INT, "", 1, 1024, "1", "tasks that must start together")  \
    X(DURATION_S, "duration_s", INT, "s", 1, 604800, "600",                   \
      "declared run time of a task")                                          \
    X(FINISH_WITHIN_S, "finish_within_s", INT, "s", 0, 2592000, "0",          \
      "time from acceptance to the job's deadline; 0: none")                  \
    X(PRIORITY, "priority", INT, "", 0, 9, "4",                               \
      "rank in the queue; 9 is urgent and may evict")                         \
    X(TEAM, "team", PATH, "", 0, 200, "",                                     \
      "section of the team whose quota is charged")                           \
    X(QUOTA_CPU, "quota_cpu_milli", INT, "mCPU", 0, 1000000000, "0",          \
      "processors that a team may use in a data centre; 0: no limit")         \
    X(QUOTA_MEMORY, "quota_memory_mb", INT, "MB", 0, 2000000000, "0",         \
      "memory that a team may use in a data centre; 0: no limit")             \
    X(QUOTA_ACCEL, "quota_accelerators", INT, "", 0, 100000, "0",             \
      "accelerators that a team may hold in a data centre; 0: no limit")      \
    X(LINK_FROM, "from", TEXT, "", 0, 63, "", "region at one end of a link")  \
    X(LINK_TO, "to", TEXT, "", 0, 63, "", "region at the other end")          \
    X(LINK_RATE, "rate_kbit", INT, "kbit/s", 0, 100000000, "30000",           \
      "capacity of a link in each direction")                                 \
    X(LINK_SHARE, "request_share_pct", INT, "%", 0, 100, "30",                \
      "share of a link that forwarded requests may use")

typedef enum {
#define X(name, ...) NM_KEY_##name,
    NM_KEY_LIST(X)
#undef X
        NM_KEY_COUNT,
} nm_key_t;

typedef struct {
    const char *name;
    nm_key_type_t type;
    const char *unit;
    int64_t min;
    int64_t max;
    const char *default_value;
    const char *description;
} nm_key_info_t;

const nm_key_info_t *nm_key_info(nm_key_t key);

typedef struct {
    json_t *sections; /* path -> {key: value}, values as strings */
    int64_t revision; /* 0: no settings installed */
} nm_settings_t;

/*
 * Receives one problem.  section or key is "" if the problem does not concern
 * a single section or key.
 */
typedef void (*nm_settings_error_fn)(void *user, const char *section,
                                     const char *key, const char *message);

void nm_settings_init(nm_settings_t *settings);
void nm_settings_finish(nm_settings_t *settings);
/* Initialises target as a copy of source. */
void nm_settings_copy(nm_settings_t *target, const nm_settings_t *source);

/*
 * Adds the sections of a key file.  Reports each error to on_error; returns
 * NM_ERR_CORRUPT if there was one.
 */
int nm_settings_parse(nm_settings_t *settings, const char *text, size_t bytes,
                      nm_settings_error_fn on_error, void *user);
/*
 * Checks names, types, ranges and references.  Returns the number of
 * problems.
 */
int nm_settings_check(const nm_settings_t *settings,
                      nm_settings_error_fn on_error, void *user);
/*
 * Checks a change of the tree in force.  The home data centre of a batch job
 * or watcher, set or chosen by hash, must not change while its run name stays
 * the same: tasks of the run could start twice, in the old and in the new
 * data centre.  Returns the number of problems.
 */
int nm_settings_check_change(const nm_settings_t *from,
                             const nm_settings_t *to,
                             nm_settings_error_fn on_error, void *user);

/* Returns a new delta: {"set": {path: section}, "unset": [path]}. */
json_t *nm_settings_diff(const nm_settings_t *from, const nm_settings_t *to);
bool nm_settings_delta_is_empty(const json_t *delta);
/*
 * Applies a delta and sets the revision.  Returns NM_ERR_CORRUPT and leaves
 * the tree unchanged if the delta is malformed or its result is invalid.
 */
int nm_settings_apply(nm_settings_t *settings, const json_t *delta,
                      int64_t revision);

/*
 * Returns a value as text that stays valid until the tree changes.  origin
 * receives the path of the section that sets the value, or "" for the
 * default; it is NULL or a buffer of NM_NAME_MAX * 4 bytes.
 */
const char *nm_settings_text(const nm_settings_t *settings, const char *path,
                             nm_key_t key, char *origin);
int64_t nm_settings_int(const nm_settings_t *settings, const char *path,
                        nm_key_t key);
bool nm_settings_bool(const nm_settings_t *settings, const char *path,
                      nm_key_t key);
nm_kind_t nm_settings_kind(const nm_settings_t *settings, const char *path);
/* True if the tree has a section with this path. */
bool nm_settings_has_section(const nm_settings_t *settings, const char *path);
/*
 * Returns the data centre that runs a job's tasks: its home or, if that is
 * not set, one chosen by hash of the path; "" if none is declared.
 */
const char *nm_settings_home(const nm_settings_t *settings, const char *path);

#endif
