#include "entry_settings.h"

#include <assert.h>
#include <stddef.h>
#include <string.h>

#include <glib.h>
#include <jansson.h>

#include "address.h"

#define PEER_SCHEME "tcp://"

typedef struct {
    const char *name;
    size_t offset;
    bool is_address;
} text_field_t;

static const text_field_t text_fields[] = {
    {"name", offsetof(nm_entry_settings_t, name), false},
    {"zone", offsetof(nm_entry_settings_t, zone), false},
    {"front_address", offsetof(nm_entry_settings_t, front_address), true},
    {"ready_address", offsetof(nm_entry_settings_t, ready_address), true},
    {"peer_address", offsetof(nm_entry_settings_t, peer_address), true},
    {"store_address", offsetof(nm_entry_settings_t, store_address), true},
    {"metrics_address", offsetof(nm_entry_settings_t, metrics_address), true},
};

static void
add_fault(GString *faults, const char *name, const char *problem)
{
    g_string_append_printf(faults, "%s%s %s", faults->len > 0 ? "; " : "",
                           name, problem);
}

static double
get_number(const json_t *document, const char *name, double min, double max,
           GString *faults)
{
    const json_t *value = json_object_get(document, name);
    double number = json_number_value(value);
    if (!json_is_number(value)) {
        add_fault(faults, name, "must be a number");
    }
    else if (number < min || number > max) {
        add_fault(faults, name, "is out of range");
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
        const char *text =
            json_string_value(json_object_get(document, field->name));
        char *target = (char *)settings + field->offset;
        if (!text || text[0] == '\0') {
            add_fault(faults, field->name, "is missing");
        }
        else if (!nm_strcopy(target, NM_NAME_MAX, text)) {
            add_fault(faults, field->name, "is too long");
        }
        else if (field->is_address && !is_address(text)) {
            add_fault(faults, field->name, "must be IP:PORT");
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
    settings->cpu_share = get_number(document, "cpu_share", 0, 1024, faults);
    settings->grace_ms =
        (nm_ms_t)(get_number(document, "grace_s", 0, 3600, faults) * 1000);
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
