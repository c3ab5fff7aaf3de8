/* Settings of an entry host for jobs: parsing reports all faults at once. */
#include <string.h>

#include <glib.h>

#include "../src/entry_settings.h"

#define VALID                                                                 \
    "{\"name\":\"a\",\"zone\":\"z\",\"front_address\":\"10.0.0.1:80\","       \
    "\"ready_address\":\"10.0.0.1:81\",\"store_address\":\"10.0.0.2:90\","    \
    "\"peer_address\":\"tcp://10.0.0.1:82\","                                 \
    "\"metrics_address\":\"10.0.0.1:83\",\"cpu_share\":0.1,\"grace_s\":6}"

/*
 * Each case replaces a part of the valid document and lists texts that the
 * fault must contain; without one the document is valid.
 */
static const struct {
    const char *part;
    const char *replacement;
    const char *faults[2];
} cases[] = {
    {"", "", {NULL, NULL}},
    {"\"zone\":\"z\",",
     "",
     {"zone must be a string of 1 to 63 bytes, but is missing", NULL}},
    {"\"zone\":\"z\"",
     "\"zone\":7",
     {"zone must be a string of 1 to 63 bytes, but is 7", NULL}},
    {"10.0.0.2:90", "10.0.0.2", {"store_address must be IP:PORT", NULL}},
    {"10.0.0.2:90", "10.0.0.2:", {"store_address must be IP:PORT", NULL}},
    {"10.0.0.2:90", "10.0.0.2:70000", {"store_address must be", NULL}},
    {"10.0.0.2:90", "store:90", {"store_address must be IP:PORT", NULL}},
    {"tcp://10.0.0.1:82", "udp://10.0.0.1:82", {"peer_address must", NULL}},
    {"\"zone\"", "\"cloud_address\":\"10.0.0.3:90\",\"zone\"", {NULL, NULL}},
    {"\"zone\"", "\"cloud_address\":null,\"zone\"", {NULL, NULL}},
    {"\"zone\"",
     "\"cloud_address\":\"cloud\",\"zone\"",
     {"cloud_address must be IP:PORT", NULL}},
    {"\"zone\"",
     "\"cloud_address\":\"\",\"zone\"",
     {"cloud_address must be a string of 1 to 63 bytes", NULL}},
    {"\"zone\"",
     "\"cloud_address\":7,\"zone\"",
     {"cloud_address must be a string of 1 to 63 bytes, but is 7", NULL}},
    {"\"grace_s\":6",
     "\"grace_s\":-1",
     {"grace_s must be a number from 0 to 3600, but is -1", NULL}},
    {"\"grace_s\"", "\"config_apply_ms\":4000,\"grace_s\"", {NULL, NULL}},
    {"\"grace_s\"", "\"evacuation_ms\":5000,\"grace_s\"", {NULL, NULL}},
    {"\"grace_s\"",
     "\"memory_mb\":160,\"max_fds\":4100,\"grace_s\"",
     {NULL, NULL}},
    {"\"grace_s\"",
     "\"memory_mb\":31,\"max_fds\":499,\"grace_s\"",
     {"memory_mb must be a number from 32", "max_fds must be a number from"}},
    {"\"grace_s\"",
     "\"evacuation_ms\":2000,\"grace_s\"",
     {"evacuation_ms must be a number from 2500", NULL}},
    {"\"grace_s\"", "\"looks_ahead\":true,\"grace_s\"", {NULL, NULL}},
    {"\"grace_s\"",
     "\"looks_ahead\":1,\"grace_s\"",
     {"looks_ahead must be true or false, but is 1", NULL}},
    {"\"grace_s\"", "\"announce_interval_ms\":1500,\"grace_s\"", {NULL, NULL}},
    {"\"grace_s\"",
     "\"announce_interval_ms\":0,\"grace_s\"",
     {"announce_interval_ms must be a number from 1", NULL}},
    {"\"grace_s\"",
     "\"config_apply_ms\":\"4 s\",\"grace_s\"",
     {"config_apply_ms must be a number from 500 to 3.6e+06, but is \"4 s\"",
      NULL}},
    {"\"grace_s\"",
     "\"config_apply_ms\":0,\"grace_s\"",
     {"config_apply_ms must be a number from 500", NULL}},
    {"0.1,\"grace_s\":6",
     "\"x\"",
     {"cpu_share must be a number from 0 to 1024, but is \"x\"",
      "grace_s must be a number from 0 to 3600, but is missing"}},
    {"{\"name\"", "\"name\"", {"line 1", NULL}},
};

static char *
replace(const char *text, const char *part, const char *replacement)
{
    if (part[0] == '\0') {
        return g_strdup(text);
    }
    char **pieces = g_strsplit(text, part, 2);
    char *result = g_strjoinv(replacement, pieces);
    g_strfreev(pieces);
    return result;
}

static void
test_faults(void)
{
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("case %zu", i);
        char *text = replace(VALID, cases[i].part, cases[i].replacement);
        nm_entry_settings_t settings;
        char *fault = NULL;
        int rc = nm_entry_settings_parse(&settings, text, &fault);
        g_assert_cmpint(rc, ==, cases[i].faults[0] ? NM_ERR_INVAL : NM_OK);
        for (int f = 0; f < 2 && cases[i].faults[f]; f++) {
            g_assert_nonnull(strstr(fault, cases[i].faults[f]));
        }
        g_free(fault);
        g_free(text);
    }
}

/*
 * The fault shows the start of the value. A cut within a character of several
 * bytes would make it invalid UTF-8, which a JSON log line cannot hold. One
 * and two ASCII characters in front: one of them puts the cut within one.
 */
static void
test_fault_is_utf8(void)
{
    for (int ascii_chars = 1; ascii_chars <= 2; ascii_chars++) {
        GString *zone = g_string_new("\"zone\":\"");
        g_string_append_len(zone, "xx", ascii_chars);
        for (int i = 0; i < NM_NAME_MAX / 2; i++) {
            g_string_append(zone, "\xc3\xa9");
        }
        g_string_append_c(zone, '"');
        char *text = replace(VALID, "\"zone\":\"z\"", zone->str);
        nm_entry_settings_t settings;
        char *fault = NULL;
        g_assert_cmpint(nm_entry_settings_parse(&settings, text, &fault), ==,
                        NM_ERR_INVAL);
        g_test_message("%d ASCII characters in front", ascii_chars);
        g_assert_nonnull(strstr(
            fault, "zone must be a string of 1 to 63 bytes, but is \"x"));
        g_assert_true(g_utf8_validate(fault, -1, NULL));
        g_free(fault);
        g_free(text);
        g_string_free(zone, TRUE);
    }
}

static void
test_missing_file(void)
{
    nm_entry_settings_t settings;
    char *fault = NULL;
    g_assert_cmpint(
        nm_entry_settings_load(&settings, "/nonexistent/settings", &fault), ==,
        NM_ERR_IO);
    g_assert_nonnull(fault);
    g_free(fault);
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/entry-settings/faults", test_faults);
    g_test_add_func("/entry-settings/fault-is-utf8", test_fault_is_utf8);
    g_test_add_func("/entry-settings/missing-file", test_missing_file);
    return g_test_run();
}
