#include "entry_settings.h"

#include <assert.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include <nutmegdeck/limits.h>

#include "address.h"

#define PEER_SCHEME "tcp://"
/* A response of the store alone takes up to 300 ms. */
#define CONFIG_APPLY_MIN_MS 500
/* The validity of a start, and the time to hear of the evacuation. */
#define EVACUATION_MIN_MS 2500
/* An idle process takes 14 MB, of which this must be a multiple. */
#define MEMORY_MIN_MB 32
#define FDS_MIN 500
#define LIMIT_MAX 1048576

typedef struct {
    const char *name;
    size_t offset;
    bool is_address;
    bool is_optional; /* may be missing or null */
} text_field_t;

static const text_field_t text_fields[] = {
    {"name", offsetof(nm_entry_settings_t, name), false, false},
    {"zone", offsetof(nm_entry_settings_t, zone), false, false},
    {"front_address", offsetof(nm_entry_settings_t, front_address), true,
     false},
    {"ready_address", offsetof(nm_entry_settings_t, ready_address), true,
     false},
    {"peer_address", offsetof(nm_entry_settings_t, peer_address), true, false},
    {"store_address", offsetof(nm_entry_settings_t, store_address), true,
     false},
    {"metrics_address", offsetof(nm_entry_settings_t, metrics_address), true,
     false},
    {"cloud_address", offsetof(nm_entry_settings_t, cloud_address), true,
     true},
};

/* The format says what is allowed; the value is NULL if it is missing. */
G_GNUC_PRINTF(4, 5)
static void
add_fault(GString *faults, const char *name, const json_t *value,
          const char *format, ...)
{
    /* ASCII, as the value is cut below and the fault must stay valid UTF-8. */
    char *found = value
                      ? json_dumps(value, JSON_ENCODE_ANY | JSON_ENSURE_ASCII |
                                              JSON_REAL_PRECISION(6))
                      : NULL;
    g_string_append_printf(faults, "%s%s must be ",
                           faults->len > 0 ? "; " : "", name);
    va_list arguments;
    va_start(arguments, format);
    g_string_append_vprintf(faults, format, arguments);
    va_end(arguments);
    g_string_append_printf(faults, ", but is %.40s",
                           found ? found : "missing");
    free(found);
}

static double
get_number(const json_t *document, const char *name, double min, double max,
           GString *faults)
{
    const json_t *value = json_object_get(document, name);
    double number = json_number_value(value);
    if (!json_is_number(value) || number < min || number > max) {
        add_fault(faults, name, value, "a number from %g to %g", min, max);
    }
    return number;
}

/* Accepts IP:PORT, and tcp://IP:PORT as ZeroMQ needs it. */
static bool
is_address(const char *text)
{
    struct sockaddr_in address;
    bool has_scheme = g_str_has_prefix(text, PEER_SCHEME);
    return nm_address_parse(text + (has_scheme ? strlen(PEER_SCHEME) : 0),
                            &address);
}

static void
get_texts(nm_entry_settings_t *settings, const json_t *document,
          GString *faults)
{
    for (size_t i = 0; i < NM_COUNT_OF(text_fields); i++) {
        const text_field_t *field = &text_fields[i];
        const json_t *value = json_object_get(document, field->name);
        const char *text = json_string_value(value);
        char *target = (char *)settings + field->offset;
        if (field->is_optional && (!value || json_is_null(value))) {
            continue;
        }
        if (!text || text[0] == '\0' || !nm_strcopy(target, NM_NAME_MAX, text))
        {
            add_fault(faults, field->name, value, "a string of 1 to %d bytes",
                      NM_NAME_MAX - 1);
        }
        else if (field->is_address && !is_address(text)) {
            add_fault(faults, field->name, value,
                      "IP:PORT or " PEER_SCHEME "IP:PORT");
        }
    }
}

int
nm_entry_settings_parse(nm_entry_settings_t *settings, const char *text,
                        char **fault)
{
    assert(settings && text && fault);
    *settings = (nm_entry_settings_t){0};
    json_error_t error;
    json_t *document = json_loads(text, 0, &error);
    if (!json_is_object(document)) {
        *fault = g_strdup_printf("line %d: %s", error.line,
                                 document ? "not an object" : error.text);
        json_decref(document);
        return NM_ERR_INVAL;
    }
    GString *faults = g_string_new(NULL);
    get_texts(settings, document, faults);
    settings->cpu_share =
        get_number(document, "cpu_share", 0, NM_CPU_SHARE_MAX, faults);
    settings->grace_ms =
        (nm_ms_t)(get_number(document, "grace_s", 0, 3600, faults) * 1000);
    if (json_object_get(document, "config_apply_ms")) {
        settings->config_apply_ms = (nm_ms_t)get_number(
            document, "config_apply_ms", CONFIG_APPLY_MIN_MS, 3600000, faults);
    }
    if (json_object_get(document, "announce_interval_ms")) {
        settings->announce_interval_ms = (nm_ms_t)get_number(
            document, "announce_interval_ms", 1, 3600000, faults);
    }
    if (json_object_get(document, "evacuation_ms")) {
        settings->evacuation_ms = (nm_ms_t)get_number(
            document, "evacuation_ms", EVACUATION_MIN_MS, 3600000, faults);
    }
    if (json_object_get(document, "spread_factor")) {
        settings->spread_factor =
            get_number(document, "spread_factor", 1, 1000, faults);
    }
    if (json_object_get(document, "memory_mb")) {
        settings->memory_mb = (uint32_t)get_number(
            document, "memory_mb", MEMORY_MIN_MB, LIMIT_MAX, faults);
    }
    if (json_object_get(document, "max_fds")) {
        settings->max_fds = (uint32_t)get_number(document, "max_fds", FDS_MIN,
                                                 LIMIT_MAX, faults);
    }
    const json_t *looks_ahead = json_object_get(document, "looks_ahead");
    if (looks_ahead && !json_is_boolean(looks_ahead)) {
        add_fault(faults, "looks_ahead", looks_ahead, "true or false");
    }
    settings->looks_ahead = json_is_true(looks_ahead);
    json_decref(document);
    if (faults->len > 0) {
        *fault = g_string_free(faults, FALSE);
        return NM_ERR_INVAL;
    }
    g_string_free(faults, TRUE);
    return NM_OK;
}

int
nm_entry_settings_load(nm_entry_settings_t *settings, const char *path,
                       char **fault)
{
    assert(settings && path && fault);
    char *text = NULL;
    GError *error = NULL;
    if (!g_file_get_contents(path, &text, NULL, &error)) {
        *fault = g_strdup(error->message);
        g_error_free(error);
        return NM_ERR_IO;
    }
    int rc = nm_entry_settings_parse(settings, text, fault);
    g_free(text);
    return rc;
}
