#include <nutmegdeck/log.h>

#include <assert.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/time.h>

#include <jansson.h>
#include <log4c.h>

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
} state;

/* The message already is a JSON object; the layout adds the line end. */
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

/* Writes the whole line at once, so that lines of threads do not mix. */
static int
stderr_append(log4c_appender_t *appender, const log4c_logging_event_t *event)
{
    (void)appender;
    return fprintf(stderr, "%s\n", event->evt_rendered_msg);
}

static const log4c_appender_type_t stderr_appender = {
    .name = "json_stderr",
    .append = stderr_append,
};

int
nm_log_init(const char *host, nm_log_level_t level)
{
    assert(host);
    /* The daemons take their settings from flags only, not log4crc files. */
    if (log4c_init() != 0 && !log4c_category_get("nutmegdeck")) {
        return NM_ERR_IO;
    }
    log4c_layout_type_set(&json_lines_layout);
    log4c_appender_type_set(&stderr_appender);
    log4c_layout_t *layout = log4c_layout_get("nutmegdeck");
    log4c_layout_set_type(layout, &json_lines_layout);
    log4c_appender_t *appender = log4c_appender_get("nutmegdeck");
    log4c_appender_set_type(appender, &stderr_appender);
    log4c_appender_set_layout(appender, layout);
    nm_strcopy(state.host, sizeof(state.host), host);
    state.category = log4c_category_get("nutmegdeck");
    log4c_category_set_appender(state.category, appender);
    log4c_category_set_additivity(state.category, 0);
    log4c_category_set_priority(state.category, priorities[level]);
    return NM_OK;
}

void
nm_log_finish(void)
{
    if (state.category) {
        state.category = NULL;
        log4c_fini();
    }
}

void
nm_log(nm_log_level_t level, nm_log_item_t item, const char *fields, ...)
{
    assert(item < NM_LOG_ITEM_COUNT);
    if (!state.category ||
        !log4c_category_is_priority_enabled(state.category, priorities[level]))
    {
        return;
    }
    struct timeval tv;
    gettimeofday(&tv, NULL);
    json_t *line =
        json_pack("{s:I,s:s,s:s,s:s}", "time_ms",
                  (json_int_t)tv.tv_sec * 1000 + tv.tv_usec / 1000, "level",
                  log4c_priority_to_string(priorities[level]), "host",
                  state.host, "item", item_names[item]);
    if (fields) {
        va_list arguments;
        va_start(arguments, fields);
        json_t *extra = json_vpack_ex(NULL, 0, fields, arguments);
        va_end(arguments);
        if (extra) {
            json_object_update(line, extra);
            json_decref(extra);
        }
    }
    char *text = json_dumps(line, JSON_COMPACT);
    json_decref(line);
    if (text) {
        log4c_category_log(state.category, priorities[level], "%s", text);
        free(text);
    }
}
