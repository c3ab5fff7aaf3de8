/*
 * nutmegctl: the operators' tool.
 *
 * Plans and applies declarations to the settings in the platform's store, and
 * shows the status, jobs and counters of entry hosts and the log lines of a
 * job.  See --help for the commands.
 */

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/random.h>

#include <curl/curl.h>
#include <glib.h>
#include <jansson.h>
#include <zmq.h>

#include <nutmegdeck/journal.h>
#include <nutmegdeck/settings.h>

#include "../src/settings_feed.h"

#define WAIT_POLL_INTERVAL_MS 200
#define STATUS_TIMEOUT_MS 2000L
/* A CURVE key as text: 40 characters and the terminating NUL. */
#define KEY_TEXT_BYTES 41

enum {
    EXIT_DONE = 0,
    EXIT_PROBLEM = 1, /* refused, conflict, or not in force on all hosts */
    EXIT_USAGE = 2,
    EXIT_UNREACHABLE = 3, /* the store or a host cannot be reached */
};

typedef struct {
    char *store;
    char *hosts; /* operators' addresses (IP:PORT), separated by commas */
    gboolean json;
    gboolean wait;
    gboolean version;
    int wait_s;
    gint64 revision; /* required current revision; -1: any */
} options_t;

typedef struct {
    nm_store_etcd_t store;
    nm_journal_t journal;
    nm_settings_t settings;
} session_t;

/* Prints "FILE: [SECTION] KEY: REASON"; user is the file's name or NULL. */
static void
print_problem(void *user, const char *section, const char *key,
              const char *reason)
{
    const char *file = user;
    fprintf(stderr, "%s%s%s%s%s%s%s: %s\n", file ? file : "",
            file && *section ? ": " : "", *section ? "[" : "", section,
            *section ? "]" : "", *key ? " " : "", key, reason);
}

/* Applies a record of the journal; a snapshot replaces all earlier ones. */
static int
apply_record(void *user, int64_t sequence, bool is_snapshot, const void *data,
             uint32_t bytes)
{
    session_t *session = user;
    json_t *delta = json_loadb(data, bytes, 0, NULL);
    if (is_snapshot) {
        nm_settings_finish(&session->settings);
        nm_settings_init(&session->settings);
    }
    /* A malformed record has no effect, here as on the entry hosts. */
    if (!delta || nm_settings_apply(&session->settings, delta, sequence) < 0) {
        session->settings.revision = sequence;
    }
    json_decref(delta);
    return NM_OK;
}

/* Loads the settings from the store; returns an exit status. */
static int
open_session(session_t *session, const options_t *options)
{
    if (!options->store) {
        fprintf(stderr, "nutmegctl: --store or NUTMEGCTL_STORE is needed\n");
        return EXIT_USAGE;
    }
    uint64_t seed = 0;
    if (getrandom(&seed, sizeof(seed), 0) < 0) {
        seed = (uint64_t)g_get_real_time();
    }
    nm_store_t *store = nm_store_etcd_init(
        &session->store, &(nm_store_etcd_desc_t){.url = options->store});
    nm_journal_init(&session->journal, store, NM_SETTINGS_PREFIX, seed);
    nm_settings_init(&session->settings);
    int rc = nm_journal_load(&session->journal, apply_record, session);
    if (rc < 0) {
        fprintf(stderr, "nutmegctl: reading %s: %s\n", options->store,
                nm_error_text(rc));
        return EXIT_UNREACHABLE;
    }
    return EXIT_DONE;
}

static void
close_session(session_t *session)
{
    if (session->settings.sections) {
        nm_settings_finish(&session->settings);
    }
}

/* Reads and checks declarations; returns an exit status. */
static int
read_files(char **files, nm_settings_t *desired)
{
    nm_settings_init(desired);
    int problems = 0;
    if (!*files) {
        fprintf(stderr, "nutmegctl: no declaration file was given\n");
        return EXIT_USAGE;
    }
    for (char **file = files; *file; file++) {
        char *text = NULL;
        gsize bytes = 0;
        GError *error = NULL;
        if (!g_file_get_contents(*file, &text, &bytes, &error)) {
            fprintf(stderr, "nutmegctl: %s\n", error->message);
            g_error_free(error);
            problems++;
            continue;
        }
        if (nm_settings_parse(desired, text, bytes, print_problem, *file) < 0)
        {
            problems++;
        }
        g_free(text);
    }
    problems += nm_settings_check(desired, print_problem, NULL);
    return problems > 0 ? EXIT_PROBLEM : EXIT_DONE;
}

static void
print_section(const nm_settings_t *from, const char *path, json_t *section)
{
    json_t *before = json_object_get(from->sections, path);
    printf("%s [%s]\n", before ? "~" : "+", path);
    const char *key;
    json_t *value;
    json_object_foreach(section, key, value)
    {
        json_t *old = json_object_get(before, key);
        if (!old) {
            printf("    + %s = %s\n", key, json_string_value(value));
        }
        else if (!json_equal(old, value)) {
            printf("    ~ %s = %s (was %s)\n", key, json_string_value(value),
                   json_string_value(old));
        }
    }
    json_object_foreach(before, key, value)
    {
        if (!json_object_get(section, key)) {
            printf("    - %s (was %s)\n", key, json_string_value(value));
        }
    }
}

static void
print_delta(const nm_settings_t *from, const json_t *delta, bool as_json)
{
    if (as_json) {
        char *text = json_dumps(delta, JSON_INDENT(2));
        printf("%s\n", text);
        free(text);
        return;
    }
    const char *path;
    json_t *section;
    json_object_foreach(json_object_get(delta, "set"), path, section)
    {
        print_section(from, path, section);
    }
    size_t i;
    json_t *removed;
    json_array_foreach(json_object_get(delta, "unset"), i, removed)
    {
        printf("- [%s]\n", json_string_value(removed));
    }
}

static int
command_plan(const options_t *options, char **files)
{
    nm_settings_t desired;
    session_t session = {0};
    int status = read_files(files, &desired);
    if (status == EXIT_DONE) {
        status = open_session(&session, options);
    }
    if (status == EXIT_DONE) {
        if (nm_settings_check_change(&session.settings, &desired,
                                     print_problem, NULL) > 0)
        {
            status = EXIT_PROBLEM;
        }
        json_t *delta = nm_settings_diff(&session.settings, &desired);
        print_delta(&session.settings, delta, options->json);
        if (!options->json) {
            printf("revision %lld%s\n", (long long)session.settings.revision,
                   nm_settings_delta_is_empty(delta) ? ", nothing to change"
                                                     : "");
        }
        json_decref(delta);
    }
    nm_settings_finish(&desired);
    close_session(&session);
    return status;
}

static size_t
on_data(char *data, size_t size, size_t count, void *user)
{
    g_string_append_len(user, data, (gssize)(size * count));
    return size * count;
}

/*
 * Returns the response to a GET request, as a JSON string if it is plain text,
 * or NULL if the host cannot be reached.
 */
static json_t *
fetch_json(const char *host, const char *path)
{
    char *url = g_strdup_printf("http://%s%s", host, path);
    GString *body = g_string_new(NULL);
    CURL *easy = curl_easy_init();
    curl_easy_setopt(easy, CURLOPT_URL, url);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
    curl_easy_setopt(easy, CURLOPT_WRITEDATA, body);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, STATUS_TIMEOUT_MS);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    json_t *json = NULL;
    if (curl_easy_perform(easy) == CURLE_OK) {
        json = json_loadb(body->str, body->len, 0, NULL);
        if (!json) { /* the counters are plain text */
            json = json_string(body->str);
        }
    }
    curl_easy_cleanup(easy);
    g_string_free(body, TRUE);
    g_free(url);
    return json;
}

static char **
list_hosts(const options_t *options)
{
    return g_strsplit(options->hosts ? options->hosts : "", ",", 0);
}

/*
 * Waits until all hosts have a revision, for up to wait_s; then prints those
 * that do not have it.
 */
static int
wait_for_revision(const options_t *options, int64_t revision)
{
    char **hosts = list_hosts(options);
    uint32_t host_count = g_strv_length(hosts);
    gint64 deadline_us =
        g_get_monotonic_time() + (gint64)options->wait_s * G_USEC_PER_SEC;
    uint32_t pending = host_count;
    while (pending > 0) {
        pending = 0;
        bool timed_out = g_get_monotonic_time() > deadline_us;
        for (char **host = hosts; *host; host++) {
            json_t *status = fetch_json(*host, "/-/status");
            int64_t have =
                json_integer_value(json_object_get(status, "revision"));
            if (have < revision) {
                pending++;
                if (timed_out) {
                    printf("%s: %s\n", *host,
                           status ? "has an older revision"
                                  : "cannot be reached");
                }
            }
            json_decref(status);
        }
        if (timed_out || pending == 0) {
            break;
        }
        g_usleep(WAIT_POLL_INTERVAL_MS * 1000);
    }
    g_strfreev(hosts);
    if (pending == 0) {
        printf("in force on %u hosts\n", host_count);
    }
    return pending == 0 ? EXIT_DONE : EXIT_PROBLEM;
}

/* Appends a delta to the journal, with a snapshot when one is due. */
static int
write_delta(session_t *session, const json_t *delta,
            const nm_settings_t *desired)
{
    char *text = json_dumps(delta, JSON_COMPACT);
    char *snapshot = NULL;
    if (nm_journal_needs_snapshot(&session->journal)) {
        nm_settings_t empty;
        nm_settings_init(&empty);
        json_t *full_delta = nm_settings_diff(&empty, desired);
        snapshot = json_dumps(full_delta, JSON_COMPACT);
        json_decref(full_delta);
        nm_settings_finish(&empty);
    }
    int rc = nm_journal_append_snapshot(
        &session->journal, text, (uint32_t)strlen(text), snapshot,
        snapshot ? (uint32_t)strlen(snapshot) : 0, 0);
    free(text);
    free(snapshot);
    return rc;
}

/* Prints what another operator has changed since the planned revision. */
static void
explain_conflict(const options_t *options, const nm_settings_t *planned)
{
    session_t now = {0};
    if (open_session(&now, options) == EXIT_DONE) {
        printf("revision is now %lld; changed since %lld:\n",
               (long long)now.settings.revision, (long long)planned->revision);
        json_t *delta = nm_settings_diff(planned, &now.settings);
        print_delta(planned, delta, options->json);
        json_decref(delta);
    }
    close_session(&now);
}

static int
apply_desired(const options_t *options, session_t *session,
              const nm_settings_t *desired)
{
    if (options->revision >= 0 &&
        options->revision != session->settings.revision) {
        fprintf(stderr,
                "nutmegctl: planned on revision %lld, but the current "
                "revision is %lld\n",
                (long long)options->revision,
                (long long)session->settings.revision);
        return EXIT_PROBLEM;
    }
    if (nm_settings_check_change(&session->settings, desired, print_problem,
                                 NULL) > 0)
    {
        return EXIT_PROBLEM;
    }
    json_t *delta = nm_settings_diff(&session->settings, desired);
    int status = EXIT_DONE;
    if (nm_settings_delta_is_empty(delta)) {
        printf("revision %lld, nothing to change\n",
               (long long)session->settings.revision);
    }
    else {
        int rc = write_delta(session, delta, desired);
        if (rc == NM_ERR_CONFLICT) {
            fprintf(stderr,
                    "nutmegctl: nothing applied: the settings changed since "
                    "revision %lld; plan again on the current revision\n",
                    (long long)session->settings.revision);
            explain_conflict(options, &session->settings);
            status = EXIT_PROBLEM;
        }
        else if (rc < 0) {
            fprintf(stderr, "nutmegctl: writing the settings: %s\n",
                    nm_error_text(rc));
            status = EXIT_UNREACHABLE;
        }
        else {
            printf("applied revision %lld\n",
                   (long long)session->journal.sequence);
        }
    }
    json_decref(delta);
    return status;
}

static int
command_apply(const options_t *options, char **files)
{
    nm_settings_t desired;
    session_t session = {0};
    int status = read_files(files, &desired);
    if (status == EXIT_DONE) {
        status = open_session(&session, options);
    }
    if (status == EXIT_DONE) {
        status = apply_desired(options, &session, &desired);
    }
    if (status == EXIT_DONE && options->wait) {
        status = wait_for_revision(options, session.journal.sequence);
    }
    nm_settings_finish(&desired);
    close_session(&session);
    return status;
}

static int
command_get(const options_t *options, char **paths)
{
    session_t session = {0};
    int status = open_session(&session, options);
    if (status == EXIT_DONE) {
        const char *path;
        json_t *section;
        json_object_foreach(session.settings.sections, path, section)
        {
            if (*paths && !g_str_has_prefix(path, *paths)) {
                continue;
            }
            printf("[%s]\n", path);
            const char *key;
            json_t *value;
            json_object_foreach(section, key, value)
            {
                printf("%s = %s\n", key, json_string_value(value));
            }
            printf("\n");
        }
    }
    close_session(&session);
    return status;
}

static int
command_explain(const options_t *options, char **paths)
{
    if (!*paths) {
        fprintf(stderr, "nutmegctl: explain needs a path\n");
        return EXIT_USAGE;
    }
    session_t session = {0};
    int status = open_session(&session, options);
    if (status == EXIT_DONE &&
        !nm_settings_has_section(&session.settings, *paths)) {
        fprintf(stderr, "nutmegctl: there is no section [%s]\n", *paths);
        status = EXIT_PROBLEM;
    }
    json_t *values = json_object();
    for (int i = 0; status == EXIT_DONE && i < NM_KEY_COUNT; i++) {
        char origin[NM_NAME_MAX * 4];
        const nm_key_info_t *info = nm_key_info((nm_key_t)i);
        const char *value =
            nm_settings_text(&session.settings, *paths, (nm_key_t)i, origin);
        json_object_set_new(values, info->name,
                            json_pack("{s:s,s:s}", "value", value, "from",
                                      *origin ? origin : "default"));
        if (!options->json) {
            printf("%-26s %-16s %s%s%s\n", info->name, value,
                   *origin ? "from [" : "default", origin, *origin ? "]" : "");
        }
    }
    if (options->json && status == EXIT_DONE) {
        char *text = json_dumps(values, JSON_INDENT(2));
        printf("%s\n", text);
        free(text);
    }
    json_decref(values);
    close_session(&session);
    return status;
}

static void
print_status(const char *host, json_t *status)
{
    const char *id = json_string_value(json_object_get(status, "id"));
    const char *phase = json_string_value(json_object_get(status, "phase"));
    json_t *tasks = json_object_get(status, "tasks");
    printf("%-22s %-18s %-9s rev %-5lld store %-4s %-8s epoch %-3lld "
           "workers %lld/%lld running %lld waiting %lld done %lld\n",
           host, id ? id : "?",
           json_is_true(json_object_get(status, "ready")) ? "ready"
                                                          : "not-ready",
           (long long)json_integer_value(json_object_get(status, "revision")),
           json_is_true(json_object_get(status, "store_ok")) ? "ok" : "down",
           phase ? phase : "?",
           (long long)json_integer_value(json_object_get(status, "epoch")),
           (long long)json_integer_value(
               json_object_get(status, "workers_reached")),
           (long long)json_integer_value(json_object_get(status, "workers")),
           (long long)json_integer_value(json_object_get(tasks, "running")),
           (long long)json_integer_value(json_object_get(tasks, "waiting")),
           (long long)json_integer_value(json_object_get(tasks, "done")));
}

/* Of an entry host for jobs; evacuated zones are known to the owner. */
static void
print_job_host_status(const char *host, json_t *status)
{
    printf("%-22s %-18s %-9s rev %-5lld store %-4s %-8s epoch %-3lld owner "
           "%s",
           host, json_string_value(json_object_get(status, "id")),
           json_is_true(json_object_get(status, "ready")) ? "ready"
                                                          : "not-ready",
           (long long)json_integer_value(json_object_get(status, "revision")),
           json_is_true(json_object_get(status, "store_ok")) ? "ok" : "down",
           json_string_value(json_object_get(status, "role")),
           (long long)json_integer_value(json_object_get(status, "epoch")),
           json_string_value(json_object_get(status, "owner")));
    size_t i;
    json_t *zone;
    json_array_foreach(json_object_get(status, "evacuated"), i, zone)
    {
        printf("%s %s (%lld s)", i == 0 ? " evacuated" : ",",
               json_string_value(json_object_get(zone, "zone")),
               (long long)json_integer_value(json_object_get(zone, "for_ms")) /
                   1000);
    }
    if (json_is_true(json_object_get(status, "starts_held"))) {
        printf(" starts-held");
    }
    printf("\n");
}

static int
command_fetch(const options_t *options, const char *path)
{
    char **hosts = list_hosts(options);
    if (!*hosts) {
        fprintf(stderr, "nutmegctl: --hosts or NUTMEGCTL_HOSTS is needed\n");
        g_strfreev(hosts);
        return EXIT_USAGE;
    }
    int result = EXIT_DONE;
    for (char **host = hosts; *host; host++) {
        json_t *json = fetch_json(*host, path);
        bool is_status = strcmp(path, "/-/status") == 0;
        if (!json) {
            printf("%-22s cannot be reached\n", *host);
            result = EXIT_UNREACHABLE;
        }
        else if (json_is_string(json)) {
            printf("# %s\n%s", *host, json_string_value(json));
        }
        else if (is_status && !options->json && json_object_get(json, "role"))
        {
            print_job_host_status(*host, json);
        }
        else if (is_status && !options->json) {
            print_status(*host, json);
        }
        else {
            char *text = json_dumps(json, options->json ? JSON_COMPACT
                                                        : JSON_INDENT(2));
            printf("%s\n", text);
            free(text);
        }
        json_decref(json);
    }
    g_strfreev(hosts);
    return result;
}

static int
command_keys(void)
{
    static const char *const types[] = {"whole number", "text", "path", "kind",
                                        "true or false"};
    printf("| key | type | unit | least | greatest | default | meaning |\n");
    printf("| --- | --- | --- | --- | --- | --- | --- |\n");
    for (int i = 0; i < NM_KEY_COUNT; i++) {
        const nm_key_info_t *info = nm_key_info((nm_key_t)i);
        printf("| %s | %s | %s | %lld | %lld | %s | %s |\n", info->name,
               types[info->type], info->unit, (long long)info->min,
               (long long)info->max, info->default_value, info->description);
    }
    return EXIT_DONE;
}

/* Prints a new key pair in the format of nutmegd's --peer-key-file. */
static int
command_peer_keys(void)
{
    char public_key[KEY_TEXT_BYTES];
    char secret_key[KEY_TEXT_BYTES];
    if (zmq_curve_keypair(public_key, secret_key) != 0) {
        fprintf(stderr, "nutmegctl: ZeroMQ was built without CURVE\n");
        return EXIT_PROBLEM;
    }
    printf("%s\n%s\n", public_key, secret_key);
    return EXIT_DONE;
}

typedef struct {
    int64_t time_ms;
    json_t *line;
} trace_line_t;

static int
compare_trace_lines(gconstpointer a, gconstpointer b)
{
    int64_t left = ((const trace_line_t *)a)->time_ms;
    int64_t right = ((const trace_line_t *)b)->time_ms;
    return left < right ? -1 : left > right;
}

/*
 * Returns true for lines about a job, and for events of a host that explain
 * them: changes of the owner, its authority and the store, shutdown, lost
 * lines.
 */
static bool
is_traced(const json_t *line, const char *id)
{
    static const char *const id_fields[] = {"job", "task", "request"};
    static const char *const context_items[] = {
        "owner-active",      "owner-lost",
        "former-owner-over", "former-owner-unresolved",
        "authority-lost",    "authority-back",
        "store-failed",      "store-recovered",
        "stopping",          "lines-dropped"};
    for (size_t i = 0; i < NM_COUNT_OF(id_fields); i++) {
        const char *value =
            json_string_value(json_object_get(line, id_fields[i]));
        if (value && strstr(value, id)) {
            return true;
        }
    }
    const char *item = json_string_value(json_object_get(line, "item"));
    for (size_t i = 0; item && i < NM_COUNT_OF(context_items); i++) {
        if (strcmp(context_items[i], item) == 0) {
            return true;
        }
    }
    return false;
}

static void
read_trace(FILE *file, const char *id, GArray *lines)
{
    char *text = NULL;
    size_t size = 0;
    while (getline(&text, &size, file) >= 0) {
        /* Log collectors may prepend a time and a host to the object. */
        const char *object = strchr(text, '{');
        json_t *line = object ? json_loads(object, 0, NULL) : NULL;
        if (json_is_object(line) && is_traced(line, id)) {
            trace_line_t entry = {
                json_integer_value(json_object_get(line, "time_ms")), line};
            g_array_append_val(lines, entry);
        }
        else {
            json_decref(line);
        }
    }
    free(text);
}

static void
print_trace(const options_t *options, const trace_line_t *entry,
            int64_t first_ms)
{
    if (options->json) {
        char *text = json_dumps(entry->line, JSON_COMPACT);
        puts(text);
        free(text);
        return;
    }
    printf("%+9.3f s  %-22s %-18s", (double)(entry->time_ms - first_ms) / 1000,
           json_string_value(json_object_get(entry->line, "host")),
           json_string_value(json_object_get(entry->line, "item")));
    const char *name;
    json_t *value;
    json_object_foreach(entry->line, name, value)
    {
        static const char *const prefix_fields[] = {"time_ms", "level", "host",
                                                    "item"};
        bool in_prefix = false;
        for (size_t i = 0; i < NM_COUNT_OF(prefix_fields); i++) {
            in_prefix = in_prefix || strcmp(prefix_fields[i], name) == 0;
        }
        if (!in_prefix) {
            char *text = json_dumps(value, JSON_ENCODE_ANY);
            printf(" %s=%s", name, text);
            free(text);
        }
    }
    printf("\n");
}

static int
command_trace(const options_t *options, char **arguments)
{
    if (!arguments[0]) {
        fprintf(stderr, "nutmegctl: trace needs a job's ID\n");
        return EXIT_USAGE;
    }
    GArray *lines = g_array_new(FALSE, FALSE, sizeof(trace_line_t));
    int status = EXIT_DONE;
    if (!arguments[1]) {
        read_trace(stdin, arguments[0], lines);
    }
    for (char **path = arguments + 1; arguments[1] && *path; path++) {
        FILE *file = fopen(*path, "r");
        if (!file) {
            fprintf(stderr, "nutmegctl: %s: %s\n", *path, g_strerror(errno));
            status = EXIT_USAGE;
            continue;
        }
        read_trace(file, arguments[0], lines);
        fclose(file);
    }
    g_array_sort(lines, compare_trace_lines);
    for (guint i = 0; i < lines->len; i++) {
        trace_line_t *entry = &g_array_index(lines, trace_line_t, i);
        print_trace(options, entry,
                    g_array_index(lines, trace_line_t, 0).time_ms);
        json_decref(entry->line);
    }
    g_array_free(lines, TRUE);
    return status;
}

static int
run_command(const options_t *options, const char *command, char **arguments)
{
    if (strcmp(command, "plan") == 0) {
        return command_plan(options, arguments);
    }
    if (strcmp(command, "apply") == 0) {
        return command_apply(options, arguments);
    }
    if (strcmp(command, "get") == 0) {
        return command_get(options, arguments);
    }
    if (strcmp(command, "explain") == 0) {
        return command_explain(options, arguments);
    }
    if (strcmp(command, "status") == 0) {
        return command_fetch(options, "/-/status");
    }
    if (strcmp(command, "jobs") == 0) {
        return command_fetch(options, "/-/jobs");
    }
    if (strcmp(command, "counters") == 0) {
        return command_fetch(options, "/-/counters");
    }
    if (strcmp(command, "trace") == 0) {
        return command_trace(options, arguments);
    }
    if (strcmp(command, "keys") == 0) {
        return command_keys();
    }
    if (strcmp(command, "peer-keys") == 0) {
        return command_peer_keys();
    }
    fprintf(stderr, "nutmegctl: unknown command '%s'\n", command);
    return EXIT_USAGE;
}

int
main(int argc, char **argv)
{
    options_t options = {
        .store = g_strdup(g_getenv("NUTMEGCTL_STORE")),
        .hosts = g_strdup(g_getenv("NUTMEGCTL_HOSTS")),
        .wait_s = 15,
        .revision = -1,
    };
    GOptionEntry entries[] = {
        {"store", 0, 0, G_OPTION_ARG_STRING, &options.store,
         "URL of the platform's store (or NUTMEGCTL_STORE)", "URL"},
        {"hosts", 0, 0, G_OPTION_ARG_STRING, &options.hosts,
         "operators' addresses of the entry hosts (or NUTMEGCTL_HOSTS)",
         "IP:PORT,..."},
        {"json", 0, 0, G_OPTION_ARG_NONE, &options.json,
         "print JSON for scripts", NULL},
        {"wait", 0, 0, G_OPTION_ARG_NONE, &options.wait,
         "apply: wait until all hosts have the revision", NULL},
        {"wait-s", 0, 0, G_OPTION_ARG_INT, &options.wait_s,
         "apply: longest time to wait in seconds (15)", "S"},
        {"revision", 0, 0, G_OPTION_ARG_INT64, &options.revision,
         "apply: fail unless N is the current revision", "N"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &options.version,
         "print the version and exit", NULL},
        {0},
    };
    GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT...]");
    g_option_context_set_summary(
        context,
        "Commands:\n"
        "  plan FILE...     show what apply would change\n"
        "  apply FILE...    check and apply declarations\n"
        "  get [PREFIX]     print the sections in the store\n"
        "  explain PATH     print a section's values and their origins\n"
        "  status           one line for each entry host\n"
        "  jobs             jobs and their tasks\n"
        "  counters         counters of the entry hosts\n"
        "  trace ID [LOG...] history of a job from the entry hosts' log\n"
        "                   lines (standard input without LOG)\n"
        "  keys             table of all settings keys\n"
        "  peer-keys        new key pair for --peer-key-file\n\n"
        "Exit status: 0 done, 1 refused or not in force on all hosts,\n"
        "2 wrong usage, 3 the store or a host cannot be reached.");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    int status = EXIT_USAGE;
    curl_global_init(CURL_GLOBAL_DEFAULT);
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        fprintf(stderr, "nutmegctl: %s\n", error->message);
        g_error_free(error);
    }
    else if (options.version) {
        printf("nutmegctl %s\n", NM_VERSION);
        status = EXIT_DONE;
    }
    else if (argc < 2) {
        char *help = g_option_context_get_help(context, TRUE, NULL);
        fputs(help, stderr);
        g_free(help);
    }
    else {
        status = run_command(&options, argv[1], argv + 2);
    }
    g_option_context_free(context);
    g_free(options.store);
    g_free(options.hosts);
    curl_global_cleanup();
    return status;
}
