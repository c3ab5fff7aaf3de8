#include <nutmegdeck/log.h>

#include <assert.h>
#include <poll.h>
#include <pthread.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>
#include <unistd.h>

#include <jansson.h>
#include <log4c.h>

/*
 * Buffer for a line on standard output with its terminating zero; longer
 * lines are dropped and not counted.  A pipe accepts a write of up to this
 * size (PIPE_BUF on Linux) atomically.
 */
#define LINE_MAX_BYTES 4096

static const char *const item_names[NM_LOG_ITEM_COUNT] = {
#define X(name, label) label,
    NM_LOG_ITEM_LIST(X)
#undef X
};

static const int priorities[] = {
    LOG4C_PRIORITY_ERROR,
    LOG4C_PRIORITY_WARN,
    LOG4C_PRIORITY_INFO,
    LOG4C_PRIORITY_DEBUG,
};

static struct {
    log4c_category_t *category;
    char host[NM_NAME_MAX];
    bool rate_limited; /* standard output: at most NM_LOG_LINES_PER_S */
    pthread_mutex_t mutex;
    nm_ms_t window_start_ms;
    uint32_t lines;   /* in the window of one second */
    uint64_t dropped; /* since last reported */
} state = {.mutex = PTHREAD_MUTEX_INITIALIZER};

/* The message is a JSON object already; the appender adds the newline. */
static const char *
json_lines_format(const log4c_layout_t *layout,
                  const log4c_logging_event_t *event)
{
    (void)layout;
    return event->evt_msg;
}

static const log4c_layout_type_t json_lines_layout = {
    .name = "json_lines",
    .format = json_lines_format,
};

/* One call per line, so that lines of several threads do not interleave. */
static int
stderr_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    return fprintf(stderr, "%s\n", event->evt_rendered_msg);
}

/* Drops and counts a line that standard output does not accept at once. */
static int
stdout_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    char line[LINE_MAX_BYTES];
    int length = snprintf(line, sizeof(line), "%s\n", event->evt_rendered_msg);
    if (length >= (int)sizeof(line)) {
        return 0;
    }
    struct pollfd output = {.fd = STDOUT_FILENO, .events = POLLOUT};
    if (poll(&output, 1, 0) != 1 || !(output.revents & POLLOUT) ||
        write(STDOUT_FILENO, line, (size_t)length) < 0)
    {
        pthread_mutex_lock(&state.mutex);
        state.dropped++;
        pthread_mutex_unlock(&state.mutex);
    }
    return length;
}

static const log4c_appender_type_t stdout_appender = {
    .name = "json_stdout",
    .append = stdout_append,
};

static const log4c_appender_type_t stderr_appender = {
    .name = "json_stderr",
    .append = stderr_append,
};

static int
open_log(const char *host, nm_log_level_t level,
         const log4c_appender_type_t *appender_type)
{
    assert(host);
    /*
     * A failure to load a log4crc file is ignored: the daemons take their
     * settings from flags and environment variables only.
     */
    if (log4c_init() != 0 && !log4c_category_get("nutmegdeck")) {
        return NM_ERR_IO;
    }
    log4c_layout_type_set(&json_lines_layout);
    log4c_appender_type_set(appender_type);
    log4c_layout_t *layout = log4c_layout_get("nutmegdeck");
    log4c_layout_set_type(layout, &json_lines_layout);
    log4c_appender_t *appender = log4c_appender_get("nutmegdeck");
    log4c_appender_set_type(appender, appender_type);
    log4c_appender_set_layout(appender, layout);
    nm_strcopy(state.host, sizeof(state.host), host);
    state.category = log4c_category_get("nutmegdeck");
    log4c_category_set_appender(state.category, appender);
    log4c_category_set_additivity(state.category, 0);
    log4c_category_set_priority(state.category, priorities[level]);
    return NM_OK;
}

int
nm_log_init(const char *host, nm_log_level_t level)
{
    return open_log(host, level, &stderr_appender);
}

int
nm_log_init_stdout(const char *host, nm_log_level_t level)
{
    state.rate_limited = true;
    return open_log(host, level, &stdout_appender);
}

/*
 * Counts a line; returns false if it exceeds the limit of its window.  With
 * the first line of a window, dropped receives the number of lines dropped
 * since it was last reported.
 */
static bool
admit_line(uint64_t *dropped)
{
    nm_ms_t now_ms = nm_now_monotonic();
    pthread_mutex_lock(&state.mutex);
    *dropped = 0;
    if (now_ms - state.window_start_ms >= 1000) {
        state.window_start_ms = now_ms;
        state.lines = 0;
        *dropped = state.dropped;
        state.dropped = 0;
    }
    bool admitted = state.lines < NM_LOG_LINES_PER_S;
    state.lines += admitted;
    state.dropped += !admitted;
    pthread_mutex_unlock(&state.mutex);
    return admitted;
}

void
nm_log_finish(void)
{
    if (state.category) {
        state.category = NULL;
        log4c_fini();
    }
}

/* Returns false if the line is not to be written. */
static bool
admit(nm_log_level_t level)
{
    if (!state.category ||
        !log4c_category_is_priority_enabled(state.category, priorities[level]))
    {
        return false;
    }
    uint64_t dropped = 0;
    if (state.rate_limited && !admit_line(&dropped)) {
        return false;
    }
    if (dropped > 0) {
        nm_log(NM_LOG_WARN, NM_LOG_ITEM_LINES_DROPPED, "{s:I}", "lines",
               (json_int_t)dropped);
    }
    return true;
}

void
nm_log(nm_log_level_t level, nm_log_item_t item, const char *fields, ...)
{
    assert(item < NM_LOG_ITEM_COUNT);
    json_t *packed_fields = NULL;
    if (fields) {
        /* Also if the line is dropped: packing releases the arguments. */
        va_list arguments;
        va_start(arguments, fields);
        packed_fields = json_vpack_ex(NULL, 0, fields, arguments);
        va_end(arguments);
    }
    if (!admit(level)) {
        json_decref(packed_fields);
        return;
    }
    struct timeval tv;
    gettimeofday(&tv, NULL);
    json_t *line =
        json_pack("{s:I,s:s,s:s,s:s}", "time_ms",
                  (json_int_t)tv.tv_sec * 1000 + tv.tv_usec / 1000, "level",
                  log4c_priority_to_string(priorities[level]), "host",
                  state.host, "item", item_names[item]);
    json_object_update(line, packed_fields);
    json_decref(packed_fields);
    char *text = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    if (text) {
        log4c_category_log(state.category, priorities[level], "%s", text);
        free(text);
    }
}
