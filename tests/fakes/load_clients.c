/*
 * Load generator: a crowd of clients that misbehave in one way, and a check
 * of the process that they send to.
 *
 *     load_clients --platform PORT
 *     load_clients --list
 *     load_clients --case NAME --target IP:PORT --path PATH --pid PID
 *                  --crowd N --max-kib N --max-fds N
 *                  --ordinary IP:PORT/PATH ...
 *
 * --platform serves a store and two executors for nutmegentry, with a route
 * /q/ of host "callers", until it is terminated.  --list prints the cases.
 * The third form plays one case.  While the crowd is connected, and again
 * once it has left, each ordinary request must be answered with 200; the
 * process must be alive, and its peak of memory and of open descriptors must
 * not exceed the bounds.  An ordinary request is a GET, or the submission of a
 * job if PATH is /q/.  Prints one line; exit status: 0 if all checks passed, 1
 * otherwise, 2 for wrong arguments.
 */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <glib.h>

#include "../../soak/lib_platform.h"
#include "../../src/address.h"
#include "lib_http.h"

#define BODY_BYTES 262144
#define MISSING_BYTES 8
#define PIECE_BYTES 4096
#define FAR_OVER_BYTES (4 * 1024 * 1024)
#define HEAD_BYTES 16000
#define PIPELINED_REQUESTS 2000
#define HEADER_FIELDS 2000
#define TRICKLE_BYTES 200
#define ROUND_MS 2
/* Ends a case whose process neither reads nor closes. */
#define QUIET_ROUNDS 100
#define ROUNDS_MAX 4000
#define SAMPLE_ROUNDS 20
#define ORDINARY_ATTEMPTS 40
#define ORDINARY_TIMEOUT_S 5
#define RETRY_US 250000

typedef enum {
    BODY_NONE,
    BODY_SHORT,
    BODY_CHUNKED,
    BODY_FAR_OVER,
    BODY_FAR_OVER_CHUNKED,
    BODY_JSON_STEPS,
    BODY_JSON_VALUES,
    HEAD_ENDLESS,
    HEAD_FIELDS,
    HEAD_STARTED,
    PIPELINE,
} content_t;

typedef struct {
    const char *name;
    content_t content;
    size_t piece_bytes;   /* per write; 0: as much as is accepted */
    size_t trickle_bytes; /* the last bytes, one in each round */
    bool stops_halfway;   /* resets the connection after half of it */
    bool reads_slowly;    /* one byte in each round */
    uint32_t crowd_pct;   /* of --crowd */
} load_case_t;

static const load_case_t cases[] = {
    {"short-whole", BODY_SHORT, 0, 0, false, false, 100},
    {"short-pieces", BODY_SHORT, PIECE_BYTES, 0, false, false, 100},
    {"short-chunked", BODY_CHUNKED, PIECE_BYTES, 0, false, false, 100},
    {"far-over", BODY_FAR_OVER, 0, 0, false, false, 50},
    {"far-over-chunked", BODY_FAR_OVER_CHUNKED, 0, 0, false, false, 50},
    {"json-steps", BODY_JSON_STEPS, 0, 0, false, false, 20},
    {"json-values", BODY_JSON_VALUES, 0, 0, false, false, 20},
    {"endless-head", HEAD_ENDLESS, 0, 0, false, false, 100},
    {"many-fields", HEAD_FIELDS, 0, 0, false, false, 100},
    {"pipeline", PIPELINE, 0, 0, false, false, 100},
    {"slow-senders", BODY_SHORT, 0, TRICKLE_BYTES, false, false, 100},
    {"slow-readers", PIPELINE, 0, 0, false, true, 100},
    {"halfway", BODY_SHORT, 0, 0, true, false, 100},
    {"many-connections", HEAD_STARTED, 0, 0, false, false, 250},
};

typedef struct {
    int fd; /* -1: closed */
    size_t sent_bytes;
} client_t;

static struct {
    char *case_name;
    char *target;
    char *path;
    char **ordinary;
    int platform_port;
    int pid;
    int crowd;
    int max_kib;
    int max_fds;
    gboolean list;
    const load_case_t *load_case;
    GString *wire;
    client_t *clients;
    uint32_t client_count;
    uint32_t fds_peak;
    uint32_t job_number;
} self;

static volatile sig_atomic_t stop_requested;

static void
on_signal(int number)
{
    (void)number;
    stop_requested = 1;
}

/* --- what a client sends --- */

static void
append_head(GString *wire, const char *method, const char *rest)
{
    bool is_job = strcmp(self.path, "/q/") == 0;
    g_string_append_printf(wire, "%s %s%s HTTP/1.1\r\nHost: callers\r\n%s",
                           method, self.path, is_job ? "00000000000000ff" : "",
                           rest);
}

static void
append_body_head(GString *wire, size_t bytes)
{
    char rest[64];
    snprintf(rest, sizeof(rest), "Content-Length: %zu\r\n\r\n", bytes);
    append_head(wire, "POST", rest);
}

static void
append_repeated(GString *wire, const char *text, size_t count)
{
    for (size_t i = 0; i < count; i++) {
        g_string_append(wire, text);
    }
}

static void
append_chunks(GString *wire, size_t bytes)
{
    append_head(wire, "POST", "Transfer-Encoding: chunked\r\n\r\n");
    for (size_t sent = 0; sent < bytes; sent += PIECE_BYTES) {
        g_string_append_printf(wire, "%x\r\n", PIECE_BYTES);
        append_repeated(wire, "x", PIECE_BYTES);
        g_string_append(wire, "\r\n");
    }
    g_string_truncate(wire, wire->len - MISSING_BYTES);
}

/* A complete body of legal size that consists of very many short items. */
static void
append_json(GString *wire, const char *begin, const char *item,
            const char *end)
{
    size_t count = (BODY_BYTES - strlen(begin) - strlen(end)) / strlen(item);
    append_body_head(wire, strlen(begin) + strlen(end) + count * strlen(item));
    g_string_append(wire, begin);
    append_repeated(wire, item, count);
    g_string_append(wire, end);
}

static void
append_content(GString *wire, content_t content)
{
    switch (content) {
    case BODY_SHORT:
        append_body_head(wire, BODY_BYTES);
        append_repeated(wire, "x", BODY_BYTES - MISSING_BYTES);
        return;
    case BODY_CHUNKED:
        append_chunks(wire, BODY_BYTES);
        return;
    case BODY_FAR_OVER:
        append_body_head(wire, (size_t)FAR_OVER_BYTES * 16);
        append_repeated(wire, "x", FAR_OVER_BYTES);
        return;
    case BODY_FAR_OVER_CHUNKED:
        append_chunks(wire, FAR_OVER_BYTES);
        return;
    case BODY_JSON_STEPS:
        append_json(wire, "{\"steps\":[", "{},", "{}]}");
        return;
    case BODY_JSON_VALUES:
        append_json(wire, "{\"steps\":[],\"x\":[", "[],", "[]]}");
        return;
    case HEAD_ENDLESS:
        append_head(wire, "GET", "");
        append_repeated(wire, "a:b\r\n", HEAD_BYTES / 5);
        return;
    case HEAD_FIELDS:
        append_head(wire, "GET", "");
        append_repeated(wire, "a:b\r\n", HEADER_FIELDS);
        g_string_append(wire, "\r\n");
        return;
    case HEAD_STARTED:
        append_head(wire, "GET", "");
        return;
    default:
        for (int i = 0; i < PIPELINED_REQUESTS; i++) {
            append_head(wire, "GET", "\r\n");
        }
        return;
    }
}

/* --- the crowd --- */

static int
connect_to(const char *text, bool blocks)
{
    struct sockaddr_in address;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    if (fd < 0 || !nm_address_parse(text, &address)) {
        return -1;
    }
    if (blocks) {
        struct timeval timeout = {.tv_sec = ORDINARY_TIMEOUT_S};
        setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
        setsockopt(fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof(timeout));
    }
    else {
        /* Small, so that unread responses fill the process, not the kernel. */
        int bytes = 4096;
        setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    }
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
        close(fd);
        return -1;
    }
    return fd;
}

static void
close_client(client_t *client, bool resets)
{
    if (client->fd >= 0) {
        struct linger linger = {.l_onoff = resets};
        setsockopt(client->fd, SOL_SOCKET, SO_LINGER, &linger, sizeof(linger));
        close(client->fd);
        client->fd = -1;
    }
}

static size_t
next_bytes(const client_t *client)
{
    const load_case_t *load_case = self.load_case;
    size_t total = self.wire->len / (load_case->stops_halfway ? 2 : 1);
    size_t left = total - client->sent_bytes;
    if (left <= load_case->trickle_bytes) {
        return left > 0 ? 1 : 0;
    }
    left -= load_case->trickle_bytes;
    return load_case->piece_bytes > 0 ? MIN(left, load_case->piece_bytes)
                                      : left;
}

/* Returns true if the client has sent or read something. */
static bool
run_client(client_t *client)
{
    bool moved = false;
    char byte;
    size_t bytes = next_bytes(client);
    if (bytes > 0) {
        ssize_t sent = send(client->fd, self.wire->str + client->sent_bytes,
                            bytes, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (sent < 0 && errno != EAGAIN) {
            close_client(client, false);
            return true;
        }
        moved = sent > 0;
        client->sent_bytes += sent > 0 ? (size_t)sent : 0;
    }
    else if (self.load_case->stops_halfway) {
        close_client(client, true);
        return true;
    }
    if (self.load_case->reads_slowly &&
        recv(client->fd, &byte, 1, MSG_DONTWAIT) == 0)
    {
        close_client(client, false);
    }
    return moved;
}

static uint32_t
count_fds(void)
{
    char *path = g_strdup_printf("/proc/%d/fd", self.pid);
    GDir *folder = g_dir_open(path, 0, NULL);
    uint32_t count = 0;
    while (folder && g_dir_read_name(folder)) {
        count++;
    }
    if (folder) {
        g_dir_close(folder);
    }
    g_free(path);
    return count;
}

static void
play_crowd(void)
{
    uint32_t quiet_rounds = 0;
    for (uint32_t round = 0; round < ROUNDS_MAX && quiet_rounds < QUIET_ROUNDS;
         round++)
    {
        bool moved = false;
        for (uint32_t i = 0; i < self.client_count; i++) {
            if (self.clients[i].fd >= 0) {
                moved = run_client(&self.clients[i]) || moved;
            }
        }
        quiet_rounds = moved ? 0 : quiet_rounds + 1;
        if (round % SAMPLE_ROUNDS == 0) {
            self.fds_peak = MAX(self.fds_peak, count_fds());
        }
        g_usleep(ROUND_MS * 1000);
    }
}

/* --- the checks --- */

/* Returns the status of the response, or 0. */
static int
send_ordinary(const char *address, const char *path)
{
    int fd = connect_to(address, true);
    if (fd < 0) {
        return 0;
    }
    static const char job[] = "{\"steps\":[{\"count\":1,\"cpu\":100,"
                              "\"memMb\":10,\"estimateMs\":50}]}";
    GString *text = g_string_new(NULL);
    if (strcmp(path, "/q/") == 0) {
        g_string_printf(text,
                        "POST /q/%08x%08x HTTP/1.1\r\nHost: callers\r\n"
                        "Content-Length: %zu\r\n\r\n%s",
                        (unsigned)getpid(), ++self.job_number, strlen(job),
                        job);
    }
    else {
        g_string_printf(text, "GET %s HTTP/1.1\r\nHost: callers\r\n\r\n",
                        path);
    }
    char response[64] = "";
    int status = 0;
    if (send(fd, text->str, text->len, MSG_NOSIGNAL) == (ssize_t)text->len &&
        recv(fd, response, sizeof(response) - 1, 0) > 0)
    {
        sscanf(response, "HTTP/1.1 %d", &status);
    }
    g_string_free(text, TRUE);
    close(fd);
    return status;
}

/* A client may be refused and try again, so only the last status counts. */
static bool
check_ordinary(const char *when)
{
    for (char **url = self.ordinary; url && *url; url++) {
        const char *path = strchr(*url, '/');
        char *address = g_strndup(*url, (gsize)(path - *url));
        int status = 0;
        for (int i = 0; i < ORDINARY_ATTEMPTS && status != 200; i++) {
            if (i > 0) {
                g_usleep(RETRY_US);
            }
            status = send_ordinary(address, path);
        }
        g_free(address);
        if (status != 200) {
            printf("ordinary request %s %s: status %d; ", *url, when, status);
            return false;
        }
    }
    return true;
}

/* Returns a number of /proc/PID/status, or -1 if the process has ended. */
static int
read_status(const char *name)
{
    char *path = g_strdup_printf("/proc/%d/status", self.pid);
    char *text = NULL;
    int value = -1;
    if (g_file_get_contents(path, &text, NULL, NULL) &&
        !strstr(text, "State:\tZ")) {
        const char *line = strstr(text, name);
        value = line ? atoi(line + strlen(name)) : -1;
    }
    g_free(text);
    g_free(path);
    return value;
}

/* Begins a new peak of memory; without it the peak is that of the start. */
static void
reset_peak(void)
{
    char *path = g_strdup_printf("/proc/%d/clear_refs", self.pid);
    FILE *file = fopen(path, "w");
    if (file) {
        fputs("5", file);
        fclose(file);
    }
    g_free(path);
}

static int
run_case(void)
{
    self.wire = g_string_new(NULL);
    append_content(self.wire, self.load_case->content);
    self.client_count = (uint32_t)self.crowd * self.load_case->crowd_pct / 100;
    self.clients = g_new0(client_t, self.client_count);
    reset_peak();
    for (uint32_t i = 0; i < self.client_count; i++) {
        self.clients[i].fd = connect_to(self.target, false);
    }
    play_crowd();
    bool passed = check_ordinary("with the crowd");
    self.fds_peak = MAX(self.fds_peak, count_fds());
    for (uint32_t i = 0; i < self.client_count; i++) {
        close_client(&self.clients[i], false);
    }
    passed = check_ordinary("after the crowd") && passed;
    int peak_kib = read_status("VmHWM:");
    bool bounded = peak_kib >= 0 && peak_kib <= self.max_kib &&
                   self.fds_peak <= (uint32_t)self.max_fds;
    printf("%s at %s%s: peak %d KiB (bound %d), %u descriptors (bound %d): "
           "%s\n",
           self.load_case->name, self.target, self.path, peak_kib,
           self.max_kib, self.fds_peak, self.max_fds,
           passed && bounded ? "ok" : "FAILED");
    g_free(self.clients);
    g_string_free(self.wire, TRUE);
    return passed && bounded ? 0 : 1;
}

/* --- the platform --- */

static int
serve_platform(void)
{
    struct sigaction action = {.sa_handler = on_signal};
    sigaction(SIGTERM, &action, NULL);
    sigaction(SIGINT, &action, NULL);
    platform_t *platform = platform_new(&(platform_desc_t){
        .port = (uint16_t)self.platform_port,
        .fleet = {.executors = 2, .cpu_milli = 16000, .seed = 1},
    });
    platform_lock(platform);
    platform_put(platform, "op/config",
                 "{\"version\":1,\"routes\":[{\"name\":\"q\",\"pathPrefix\":"
                 "\"/q/\",\"service\":\"s\",\"host\":\"callers\","
                 "\"maxAttempts\":3,\"slackFactor\":2,\"targetLatencyMs\":"
                 "600,\"timeoutMs\":3000}],\"services\":[{\"name\":\"s\"}],"
                 "\"limits\":{\"maxBodyBytes\":262144}}");
    platform_unlock(platform);
    while (!stop_requested) {
        pause();
    }
    platform_free(platform);
    return 0;
}

int
main(int argc, char **argv)
{
    const GOptionEntry options[] = {
        {"platform", 0, 0, G_OPTION_ARG_INT, &self.platform_port, "", "PORT"},
        {"list", 0, 0, G_OPTION_ARG_NONE, &self.list, "", NULL},
        {"case", 0, 0, G_OPTION_ARG_STRING, &self.case_name, "", "NAME"},
        {"target", 0, 0, G_OPTION_ARG_STRING, &self.target, "", "IP:PORT"},
        {"path", 0, 0, G_OPTION_ARG_STRING, &self.path, "", "PATH"},
        {"ordinary", 0, 0, G_OPTION_ARG_STRING_ARRAY, &self.ordinary, "",
         "IP:PORT/PATH"},
        {"pid", 0, 0, G_OPTION_ARG_INT, &self.pid, "", "PID"},
        {"crowd", 0, 0, G_OPTION_ARG_INT, &self.crowd, "", "N"},
        {"max-kib", 0, 0, G_OPTION_ARG_INT, &self.max_kib, "", "N"},
        {"max-fds", 0, 0, G_OPTION_ARG_INT, &self.max_fds, "", "N"},
        {0},
    };
    GOptionContext *context = g_option_context_new("- clients that misbehave");
    g_option_context_add_main_entries(context, options, NULL);
    if (!g_option_context_parse(context, &argc, &argv, NULL)) {
        return 2;
    }
    g_option_context_free(context);
    if (self.platform_port > 0) {
        return serve_platform();
    }
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        if (self.list) {
            printf("%s\n", cases[i].name);
        }
        else if (g_strcmp0(self.case_name, cases[i].name) == 0) {
            self.load_case = &cases[i];
        }
    }
    if (self.list) {
        return 0;
    }
    if (!self.load_case || !self.target || !self.path || self.pid <= 0) {
        fprintf(stderr, "load_clients: unknown case or missing argument\n");
        return 2;
    }
    return run_case();
}
