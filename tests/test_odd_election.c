/* Records of the election that another writer left. */
#include <glib.h>

#include "lib_entry_host.h"

/*
 * Odd records under the keys of the election, before a host starts and while
 * it is the owner.  Some host must own the workers again within the bound of
 * a takeover, and run new jobs.
 */
static void
test_odd_owner_record_stops_the_election(void)
{
    static const struct {
        const char *key;
        const char *value;
    } cases[] = {
        {OWNER_KEY, ""},
        {OWNER_KEY, "["},
        {OWNER_KEY, "{}"},
        {OWNER_KEY, "{\"name\":7,\"address\":\"tcp://10.0.0.1:1\"}"},
        {EPOCH_KEY, ""},
        {EPOCH_KEY, "odd"},
        {EPOCH_KEY, "-5"},
        {EPOCH_KEY, "9223372036854775807"},
        {EPOCH_KEY, "99999999999999999999"},
    };
    for (size_t i = 0; i < 2 * NM_COUNT_OF(cases); i++) {
        size_t c = i / 2;
        fake_kv_t *kv = configured_store();
        fake_kv_put(kv, "servers/i-1", WORKER);
        host_t host;
        host_init(&host, "a", kv);
        if (i % 2 == 1) {
            run_host(&host, 2000);
        }
        fake_kv_put(kv, cases[c].key, cases[c].value);
        run_host(&host, 12000);
        send_request(&host, NM_METHOD_POST, "/a/" JOB, BODY);
        run_host(&host, 12000);
        if (host.entry->role != NM_ROLE_OWNER ||
            host.entry->owned_epoch <= 0 || host.orders.starts < 2)
        {
            g_test_message("%s = %s, %s: epoch %" G_GINT64_FORMAT
                           ", role %d, %u starts, status %d",
                           cases[c].key, cases[c].value,
                           i % 2 ? "while owner" : "before the start",
                           host.entry->owned_epoch, host.entry->role,
                           host.orders.starts, last_status(&host));
            g_test_fail();
        }
        host_finish(&host);
        fake_kv_free(kv);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/odd/owner-record-stops-the-election",
                    test_odd_owner_record_stops_the_election);
    return g_test_run();
}
