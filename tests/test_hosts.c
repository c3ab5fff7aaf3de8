/* The platform's list of hosts: entries that cannot be read. */
#include <string.h>

#include <glib.h>

#include "../src/hosts.h"

/* An odd entry of the platform's list of hosts must not hide the others. */
static void
test_odd_host_hides_the_others(void)
{
    static const struct {
        const char *name;
        const char *members; /* of a worker between two good ones */
    } cases[] = {
        {"number", NULL},
        {"empty", ""},
        {"cpu 2^63 - 1", "\"cpu_milli\":9223372036854775807,\"memory_mb\":1"},
        {"cpu 1e300", "\"cpu_milli\":1e300,\"memory_mb\":1"},
        {"cpu -1", "\"cpu_milli\":-1,\"memory_mb\":1"},
        {"cpu 1.5", "\"cpu_milli\":1.5,\"memory_mb\":1"},
        {"memory 2^62", "\"cpu_milli\":1,\"memory_mb\":4611686018427387904"},
        {"accelerators 2^32",
         "\"cpu_milli\":1,\"memory_mb\":1,\"accelerators\":4294967296"},
        {"rack -1", "\"cpu_milli\":1,\"memory_mb\":1,\"rack\":-1"},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        char *odd = g_strdup_printf(
            "{\"name\":\"o\",\"address\":\"http://h\",\"datacentre\":\"d\","
            "\"state\":\"live\"%s%s}",
            cases[i].members && cases[i].members[0] ? "," : "",
            cases[i].members ? cases[i].members : "");
        const char *good =
            "{\"name\":\"w\",\"address\":\"http://h\",\"datacentre\":\"d\","
            "\"state\":\"live\",\"cpu_milli\":1,\"memory_mb\":1}";
        char *text = g_strdup_printf(
            "{\"workers\":[%s,%s,%s],\"executors\":[7,{\"address\":\"h\","
            "\"datacentre\":\"d\",\"service\":\"s\",\"state\":\"live\"},{}]}",
            good, cases[i].members ? odd : "7", good);
        nm_refusals_t refusals = {0};
        nm_host_list_t *list =
            nm_host_list_parse(text, strlen(text), &refusals);
        if (!list || list->worker_count != 2 || list->executor_count != 1) {
            g_test_message("%s", cases[i].name);
            g_test_fail();
        }
        nm_host_list_free(list);
        g_free(text);
        g_free(odd);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/hosts/odd-entry-hides-the-others",
                    test_odd_host_hides_the_others);
    return g_test_run();
}
