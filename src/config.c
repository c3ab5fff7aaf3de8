#include "config.h"

#include <arpa/inet.h>
#include <assert.h>
#include <string.h>

#define DEFAULT_CALLER_PORT 8080
#define DEFAULT_OPS_PORT 9090
#define DEFAULT_PEER_PORT 7070
#define DEFAULT_DRAIN_MS 30000
/* Length of a CURVE key in text form. */
#define PEER_KEY_CHARS 40
/* Of memory_mb and max_fds. */
#define LIMIT_MAX 1048576
#define VARIABLE_PREFIX "NUTMEGD_"

static void
add_problem(GPtrArray *problems, const char *format, ...)
{
    va_list arguments;
    va_start(arguments, format);
    g_ptr_array_add(problems, g_strdup_vprintf(format, arguments));
    va_end(arguments);
}

/* Reads an environment variable unless its flag was given. */
static void
read_text(char **value, const char *variable)
{
    const char *text = g_getenv(variable);
    if (!*value && text) {
        *value = g_strdup(text);
    }
}

/*
 * Returns the name under which the user gave an option: its environment
 * variable NUTMEGD_SOME_NAME or its flag --some-name. Free with g_free().
 */
static char *
option_name(const char *variable, bool from_variable)
{
    if (from_variable) {
        return g_strdup(variable);
    }
    char *suffix = g_ascii_strdown(variable + strlen(VARIABLE_PREFIX), -1);
    char *flag = g_strconcat("--", g_strdelimit(suffix, "_", '-'), NULL);
    g_free(suffix);
    return flag;
}

/* Reports an invalid text and what is allowed, or that it is missing. */
static void
add_text_problem(GPtrArray *problems, const char *variable, const char *value,
                 const char *expected)
{
    bool from_variable = g_strcmp0(value, g_getenv(variable)) == 0;
    char *name = option_name(variable, value && from_variable);
    if (value) {
        add_problem(problems, "%s: '%.40s' must be %s", name, value, expected);
    }
    else {
        add_problem(problems, "%s is required and must be %s", name, expected);
    }
    g_free(name);
}

/* Like read_text(), for a number; G_MININT: the flag was not given. */
static void
read_number(int *value, const char *variable, int default_value, int min,
            int max, GPtrArray *problems)
{
    const char *text = g_getenv(variable);
    bool from_variable = *value == G_MININT && text;
    int given = *value;
    if (from_variable) {
        char *end = NULL;
        gint64 number = g_ascii_strtoll(text, &end, 10);
        if (*text == '\0' || *end != '\0') {
            add_problem(problems, "%s: '%s' is not a whole number", variable,
                        text);
            return;
        }
        /* Keeps a number out of range, even if it does not fit into int. */
        *value = number < min || number > max ? min - 1 : (int)number;
    }
    if (*value == G_MININT) {
        *value = default_value;
    }
    if (*value < min || *value > max) {
        char *name = option_name(variable, from_variable);
        char *shown =
            from_variable ? g_strdup(text) : g_strdup_printf("%d", given);
        add_problem(problems, "%s: '%.40s' must be from %d to %d", name, shown,
                    min, max);
        g_free(shown);
        g_free(name);
    }
}

static bool
is_ipv4(const char *text)
{
    struct in_addr address;
    return text && inet_pton(AF_INET, text, &address) == 1;
}

static bool
is_name(const char *text)
{
    size_t length = strlen(text);
    return length > 0 && length < NM_NAME_MAX &&
           strspn(text, "abcdefghijklmnopqrstuvwxyz0123456789-_.") == length;
}

static void
check_name(const char *variable, const char *value, GPtrArray *problems)
{
    if (!value || !is_name(value)) {
        add_text_problem(problems, variable, value,
                         "a name of 1 to 63 lower-case letters, digits, '-', "
                         "'_' and '.'");
    }
}

static void
parse_peer(nm_config_t *config, const char *text, GPtrArray *problems)
{
    char **parts = g_strsplit(text, ",", 0);
    nm_config_peer_t peer = {0};
    bool valid = g_strv_length(parts) == 4 && is_name(parts[0]) &&
                 is_name(parts[1]) && is_name(parts[2]);
    if (valid) {
        nm_strcopy(peer.id, sizeof(peer.id), parts[0]);
        nm_strcopy(peer.datacentre, sizeof(peer.datacentre), parts[1]);
        nm_strcopy(peer.region, sizeof(peer.region), parts[2]);
        char **address = g_strsplit(parts[3], ":", 2);
        valid = g_strv_length(address) == 2 && is_ipv4(address[0]) &&
                g_ascii_strtoll(address[1], NULL, 10) > 0;
        if (valid) {
            nm_strcopy(peer.ip, sizeof(peer.ip), address[0]);
            char *url = g_strdup_printf("tcp://%s", parts[3]);
            valid = nm_strcopy(peer.address, sizeof(peer.address), url);
            g_free(url);
        }
        g_strfreev(address);
    }
    g_strfreev(parts);
    if (!valid) {
        add_problem(problems,
                    "--peer: '%s' is not ID,DATACENTRE,REGION,IP:PORT", text);
        return;
    }
    if (config->id && strcmp(peer.id, config->id) == 0) {
        return;
    }
    config->peers =
        g_renew(nm_config_peer_t, config->peers, config->peer_count + 1);
    config->peers[config->peer_count++] = peer;
}

static void
read_keys(nm_config_t *config, GPtrArray *problems)
{
    char *text = NULL;
    if (!g_file_get_contents(config->peer_key_file, &text, NULL, NULL)) {
        add_problem(problems, "--peer-key-file: cannot read '%s'",
                    config->peer_key_file);
        return;
    }
    char **lines = g_strsplit(text, "\n", 0);
    bool valid = g_strv_length(lines) >= 2 &&
                 strlen(g_strstrip(lines[0])) == PEER_KEY_CHARS &&
                 strlen(g_strstrip(lines[1])) == PEER_KEY_CHARS;
    if (valid) {
        config->peer_public_key = g_strdup(lines[0]);
        config->peer_secret_key = g_strdup(lines[1]);
    }
    else {
        add_problem(problems,
                    "--peer-key-file: '%s' must contain a public and "
                    "a secret key of 40 characters each, one per line",
                    config->peer_key_file);
    }
    g_strfreev(lines);
    g_free(text);
}

static void
check_config(nm_config_t *config, GPtrArray *problems)
{
    check_name("NUTMEGD_ID", config->id, problems);
    check_name("NUTMEGD_DATACENTRE", config->datacentre, problems);
    check_name("NUTMEGD_REGION", config->region, problems);
    if (!is_ipv4(config->address)) {
        add_text_problem(problems, "NUTMEGD_ADDRESS", config->address,
                         "an IPv4 address");
    }
    if (!config->ops_address) {
        config->ops_address = g_strdup("127.0.0.1");
    }
    if (!is_ipv4(config->ops_address)) {
        add_text_problem(problems, "NUTMEGD_OPS_ADDRESS", config->ops_address,
                         "an IPv4 address");
    }
    if (!config->store) {
        config->store = g_strdup("memory:");
    }
    if (strcmp(config->store, "memory:") != 0 &&
        !g_str_has_prefix(config->store, "http://"))
    {
        add_text_problem(problems, "NUTMEGD_STORE", config->store,
                         "memory: or http://IP:PORT");
    }
    if (!config->hosts || (!g_str_has_prefix(config->hosts, "http://") &&
                           !g_str_has_prefix(config->hosts, "file:")))
    {
        add_text_problem(problems, "NUTMEGD_HOSTS", config->hosts,
                         "http://... or file:PATH");
    }
    static const char *const levels[] = {"error", "warn", "info", "debug",
                                         NULL};
    if (!config->log_level) {
        config->log_level = g_strdup("info");
    }
    if (!g_strv_contains(levels, config->log_level)) {
        add_text_problem(problems, "NUTMEGD_LOG_LEVEL", config->log_level,
                         "error, warn, info or debug");
    }
    for (char **peer = config->peer_specs; peer && *peer; peer++) {
        parse_peer(config, *peer, problems);
    }
    if (config->peer_key_file) {
        read_keys(config, problems);
    }
}

/* Reports unknown variables, so that a misspelt one is not ignored. */
static void
check_variables(GPtrArray *problems)
{
    static const char *const known[] = {
        "NUTMEGD_ID",
        "NUTMEGD_DATACENTRE",
        "NUTMEGD_REGION",
        "NUTMEGD_ADDRESS",
        "NUTMEGD_CALLER_PORT",
        "NUTMEGD_OPS_ADDRESS",
        "NUTMEGD_OPS_PORT",
        "NUTMEGD_PEER_PORT",
        "NUTMEGD_PEER",
        "NUTMEGD_PEER_KEY_FILE",
        "NUTMEGD_STORE",
        "NUTMEGD_HOSTS",
        "NUTMEGD_THREADS",
        "NUTMEGD_CLAIM_INTERVAL_MS",
        "NUTMEGD_DRAIN_MS",
        "NUTMEGD_MEMORY_MB",
        "NUTMEGD_MAX_FDS",
        "NUTMEGD_LOG_LEVEL",
        NULL,
    };
    char **names = g_listenv();
    for (char **name = names; name && *name; name++) {
        if (g_str_has_prefix(*name, "NUTMEGD_") &&
            !g_strv_contains(known, *name)) {
            add_problem(problems, "unknown environment variable %s", *name);
        }
    }
    g_strfreev(names);
}

static void
read_environment(nm_config_t *config, GPtrArray *problems)
{
    read_text(&config->id, "NUTMEGD_ID");
    read_text(&config->datacentre, "NUTMEGD_DATACENTRE");
    read_text(&config->region, "NUTMEGD_REGION");
    read_text(&config->address, "NUTMEGD_ADDRESS");
    read_text(&config->ops_address, "NUTMEGD_OPS_ADDRESS");
    read_text(&config->store, "NUTMEGD_STORE");
    read_text(&config->hosts, "NUTMEGD_HOSTS");
    read_text(&config->peer_key_file, "NUTMEGD_PEER_KEY_FILE");
    read_text(&config->log_level, "NUTMEGD_LOG_LEVEL");
    const char *peers = g_getenv("NUTMEGD_PEER");
    if (!config->peer_specs && peers) {
        config->peer_specs = g_strsplit(peers, " ", 0);
    }
    read_number(&config->caller_port, "NUTMEGD_CALLER_PORT",
                DEFAULT_CALLER_PORT, 1, 65535, problems);
    read_number(&config->ops_port, "NUTMEGD_OPS_PORT", DEFAULT_OPS_PORT, 1,
                65535, problems);
    read_number(&config->peer_port, "NUTMEGD_PEER_PORT", DEFAULT_PEER_PORT, 1,
                65535, problems);
    read_number(&config->threads, "NUTMEGD_THREADS", 2, 1, 64, problems);
    read_number(&config->claim_interval_ms, "NUTMEGD_CLAIM_INTERVAL_MS", 40, 1,
                1000, problems);
    read_number(&config->drain_ms, "NUTMEGD_DRAIN_MS", DEFAULT_DRAIN_MS, 0,
                600000, problems);
    read_number(&config->memory_mb, "NUTMEGD_MEMORY_MB", 0, 0, LIMIT_MAX,
                problems);
    read_number(&config->max_fds, "NUTMEGD_MAX_FDS", 0, 0, LIMIT_MAX,
                problems);
}

int
nm_config_read(nm_config_t *config, int argc, char **argv,
               GPtrArray **problems)
{
    assert(config && problems);
    *config = (nm_config_t){
        .caller_port = G_MININT,
        .ops_port = G_MININT,
        .peer_port = G_MININT,
        .threads = G_MININT,
        .claim_interval_ms = G_MININT,
        .drain_ms = G_MININT,
        .memory_mb = G_MININT,
        .max_fds = G_MININT,
    };
    *problems = g_ptr_array_new_with_free_func(g_free);
    gboolean version = FALSE;
    GOptionEntry entries[] = {
        {"id", 0, 0, G_OPTION_ARG_STRING, &config->id,
         "name of this entry host", "NAME"},
        {"datacentre", 0, 0, G_OPTION_ARG_STRING, &config->datacentre,
         "data centre of this entry host", "NAME"},
        {"region", 0, 0, G_OPTION_ARG_STRING, &config->region,
         "region of this entry host", "NAME"},
        {"address", 0, 0, G_OPTION_ARG_STRING, &config->address,
         "IPv4 address for callers and peers", "IP"},
        {"caller-port", 0, 0, G_OPTION_ARG_INT, &config->caller_port,
         "port for callers (8080)", "PORT"},
        {"ops-address", 0, 0, G_OPTION_ARG_STRING, &config->ops_address,
         "IPv4 address for operators (127.0.0.1)", "IP"},
        {"ops-port", 0, 0, G_OPTION_ARG_INT, &config->ops_port,
         "port for operators (9090)", "PORT"},
        {"peer-port", 0, 0, G_OPTION_ARG_INT, &config->peer_port,
         "port for the other entry hosts (7070)", "PORT"},
        {"peer", 0, 0, G_OPTION_ARG_STRING_ARRAY, &config->peer_specs,
         "another entry host; may be repeated",
         "ID,DATACENTRE,REGION,IP:PORT"},
        {"peer-key-file", 0, 0, G_OPTION_ARG_FILENAME, &config->peer_key_file,
         "file with the CURVE key pair of all entry hosts", "PATH"},
        {"store", 0, 0, G_OPTION_ARG_STRING, &config->store,
         "memory: or http://IP:PORT of the platform's store (memory:)", "URL"},
        {"hosts", 0, 0, G_OPTION_ARG_STRING, &config->hosts,
         "list of workers and executors: http://... or file:PATH", "URL"},
        {"threads", 0, 0, G_OPTION_ARG_INT, &config->threads,
         "threads for callers' connections (2)", "N"},
        {"claim-interval-ms", 0, 0, G_OPTION_ARG_INT,
         &config->claim_interval_ms,
         "minimum interval between commits of claims (40)", "MS"},
        {"drain-ms", 0, 0, G_OPTION_ARG_INT, &config->drain_ms,
         "time limit of a graceful shutdown (30000)", "MS"},
        {"memory-mb", 0, 0, G_OPTION_ARG_INT, &config->memory_mb,
         "memory of the machine; 0: no limit (0)", "MB"},
        {"max-fds", 0, 0, G_OPTION_ARG_INT, &config->max_fds,
         "limit of descriptors of the process; 0: no limit (0)", "N"},
        {"log-level", 0, 0, G_OPTION_ARG_STRING, &config->log_level,
         "error, warn, info or debug (info)", "LEVEL"},
        {"version", 0, 0, G_OPTION_ARG_NONE, &version,
         "print the version and exit", NULL},
        {0},
    };
    GOptionContext *context =
        g_option_context_new("- entry host of nutmegdeck");
    g_option_context_set_description(
        context, "Each flag --some-name can also be given as the environment "
                 "variable\nNUTMEGD_SOME_NAME; the flag takes precedence.\n"
                 "NUTMEGD_PEER holds all peers, separated by spaces.\n"
                 "Defaults are in parentheses.\n");
    g_option_context_add_main_entries(context, entries, NULL);
    GError *error = NULL;
    if (!g_option_context_parse(context, &argc, &argv, &error)) {
        /* GLib stops at the first invalid flag; the rest is not checked. */
        add_problem(*problems, "%s", error->message);
        g_error_free(error);
        g_option_context_free(context);
        check_variables(*problems);
        return NM_ERR_INVAL;
    }
    g_option_context_free(context);
    for (int i = 1; i < argc; i++) {
        add_problem(*problems, "unknown argument '%s'", argv[i]);
    }
    config->show_version = version;
    if (version && (*problems)->len == 0) {
        return NM_OK;
    }
    check_variables(*problems);
    read_environment(config, *problems);
    check_config(config, *problems);
    return (*problems)->len > 0 ? NM_ERR_INVAL : NM_OK;
}

void
nm_config_finish(nm_config_t *config)
{
    assert(config);
    g_free(config->id);
    g_free(config->datacentre);
    g_free(config->region);
    g_free(config->address);
    g_free(config->ops_address);
    g_free(config->store);
    g_free(config->hosts);
    g_strfreev(config->peer_specs);
    g_free(config->peer_key_file);
    g_free(config->log_level);
    g_free(config->peers);
    g_free(config->peer_public_key);
    g_free(config->peer_secret_key);
    *config = (nm_config_t){0};
}
