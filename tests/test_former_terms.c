/* Terms of former owners: the stored list, and what proves them over. */
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "../src/former_terms.h"

#define LIMIT_MS NM_FORMER_AUTHORITY_MAX_MS

static nm_former_term_t *
term_at(const nm_former_terms_t *terms, guint i)
{
    g_assert_cmpuint(i, <, terms->terms->len);
    return terms->terms->pdata[i];
}

static nm_former_term_t
make_term(int64_t epoch, const char *host)
{
    nm_former_term_t term = {
        .since = epoch, .epoch = epoch, .until_ms = LIMIT_MS};
    nm_strcopy(term.host, sizeof(term.host), host);
    g_snprintf(term.address, sizeof(term.address), "ipc://%s", host);
    nm_strcopy(term.process, sizeof(term.process), "p");
    return term;
}

/* Adds a term as an election stores it; the next owner reads the list. */
static void
elect(nm_former_terms_t *terms, int64_t epoch, const char *host)
{
    nm_former_term_t term = make_term(epoch, host);
    nm_former_cover(terms, epoch);
    char *stored = nm_former_encode(terms, &term, 0);
    g_assert_true(nm_former_decode(terms, stored, (uint32_t)strlen(stored)));
    free(stored);
}

/*
 * Text of a list: its rows as SINCE-EPOCH:HOST, after the epoch that is over.
 */
static char *
describe(const nm_former_terms_t *terms)
{
    GString *text = g_string_new(NULL);
    g_string_append_printf(text, "%lld", (long long)terms->over);
    for (guint i = 0; i < terms->terms->len; i++) {
        const nm_former_term_t *term = term_at(terms, i);
        if (term->since < term->epoch) {
            g_string_append_printf(text, " %lld-%lld:%s",
                                   (long long)term->since,
                                   (long long)term->epoch, term->host);
        }
        else {
            g_string_append_printf(text, " %lld:%s", (long long)term->epoch,
                                   term->host);
        }
    }
    return g_string_free(text, FALSE);
}

/* A list that cannot be read must name no terms, and thus prove none. */
static void
test_unreadable_list_proves_nothing(void)
{
#define ROW_OF(since, epoch, address)                                         \
    "{\"since\":" since ",\"epoch\":" epoch                                   \
    ",\"host\":\"a\",\"address\":\"" address                                  \
    "\",\"process\":\"p\",\"remaining_ms\":5}"
#define ROW(epoch, address) ROW_OF(epoch, epoch, address)
#define A "tcp://10.0.0.1:7720"
    static const struct {
        const char *text;
        const char *terms; /* NULL: unreadable */
    } cases[] = {
        {"{\"over\":3,\"terms\":[]}", "3"},
        {"{\"over\":3,\"terms\":[" ROW("4", A) "," ROW("6", "") "]}",
         "3 4:a 6:"},
        {"{\"over\":3,\"terms\":[" ROW_OF("4", "6", A) "]}", "3 4-6:a"},
        {"{\"over\":3,\"terms\":[" ROW_OF("6", "4", A) "]}", NULL},
        {"{\"over\":3,\"terms\":[" ROW("4", "nowhere") "]}", NULL},
        {"{\"over\":3,\"terms\":[" ROW("3", A) "]}", NULL},
        {"{\"over\":3,\"terms\":[" ROW("5", A) "," ROW("5", A) "]}", NULL},
        {"{\"over\":3,\"terms\":[{\"epoch\":4,\"address\":\"" A "\"}]}", NULL},
        {"{\"over\":3,\"terms\":[{\"since\":4,\"epoch\":4,"
         "\"remaining_ms\":60001}]}",
         NULL},
        {"{\"over\":-1,\"terms\":[]}", NULL},
        {"{\"over\":3}", NULL},
        {"{\"terms\":[]}", NULL},
        {"7", NULL},
        {"", NULL},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].text);
        nm_former_terms_t terms;
        nm_former_init(&terms);
        bool valid = nm_former_decode(&terms, cases[i].text,
                                      (uint32_t)strlen(cases[i].text));
        g_assert_cmpint(valid, ==, cases[i].terms != NULL);
        char *text = describe(&terms);
        g_assert_cmpstr(text, ==, cases[i].terms ? cases[i].terms : "0");
        g_free(text);
        nm_former_finish(&terms);
    }
}

/* A term of which the list knows nothing must not count as over. */
static void
test_missing_terms_stay_open(void)
{
    static const struct {
        const char *name;
        int64_t over;
        int64_t epochs[3]; /* of elections; 0: no more */
        const char *hosts; /* a letter each */
        const char *terms;
    } cases[] = {
        {"first of all", 0, {1}, "a", "0 1:a"},
        {"without a list", 0, {8}, "a", "0 1-7: 8:a"},
        {"an older version was elected", 3, {4, 6}, "ab", "3 4:a 5: 6:b"},
        {"one after the other", 3, {4, 5, 6}, "aba", "3 4:a 5:b 6:a"},
        {"the same host again", 3, {4, 5, 6}, "abb", "3 4:a 5-6:b"},
        {"over without its term", 5, {6}, "a", "4 5: 6:a"},
        {"over beyond the election", 9, {6}, "a", "4 5: 6:a"},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_former_terms_t terms;
        nm_former_init(&terms);
        terms.over = cases[i].over;
        if (cases[i].epochs[0] == cases[i].over + 1 && cases[i].epochs[1]) {
            /* The list of the owner before, whose term is over. */
            nm_former_term_t last = make_term(cases[i].over, "z");
            last.proof = NM_TERM_PROOF_HOST;
            last.until_ms = 0;
            g_ptr_array_add(terms.terms, g_memdup2(&last, sizeof(last)));
        }
        for (size_t e = 0; e < 3 && cases[i].epochs[e]; e++) {
            char host[] = {cases[i].hosts[e], '\0'};
            elect(&terms, cases[i].epochs[e], host);
        }
        char *text = describe(&terms);
        g_assert_cmpstr(text, ==, cases[i].terms);
        g_free(text);
        nm_former_finish(&terms);
    }
}

/* Beyond the limit of rows the oldest stand for several terms. */
static void
test_full_list_forgets_no_term(void)
{
    static const struct {
        const char *name;
        int hosts; /* that win in turn */
        guint rows;
        const char *oldest;
        nm_ms_t oldest_left_ms;
    } cases[] = {
        {"two hosts", 2, NM_FORMER_TERMS_MAX, "", LIMIT_MS},
        {"one host", 1, 1, "a", LIMIT_MS},
    };
    enum { ELECTIONS = NM_FORMER_TERMS_MAX + 5 };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_former_terms_t terms;
        nm_former_init(&terms);
        for (int64_t epoch = 1; epoch <= ELECTIONS; epoch++) {
            elect(&terms, epoch,
                  cases[i].hosts == 2 && epoch % 2 == 0 ? "b" : "a");
        }
        g_assert_cmpuint(terms.terms->len, ==, cases[i].rows);
        g_assert_cmpint(term_at(&terms, 0)->since, ==, 1);
        g_assert_cmpstr(term_at(&terms, 0)->host, ==, cases[i].oldest);
        g_assert_cmpint(term_at(&terms, 0)->until_ms, ==,
                        cases[i].oldest_left_ms);
        g_assert_cmpint(term_at(&terms, cases[i].rows - 1)->epoch, ==,
                        ELECTIONS);
        g_assert_cmpint(terms.over, ==, 0);
        nm_former_finish(&terms);
    }
}

/* What is proved is stored as such, and what is left of the times of others.
 */
static void
test_proofs_last(void)
{
    enum { ELECTED_MS = 1000, PROVED_MS = 2000, STORED_MS = 21000 };
    /* Ends after its proof: its owner may have authority until then. */
    enum { ENDS_MS = 22000 };
    static const struct {
        const char *name;
        int proved[4]; /* rows; -1: no more */
        const char *terms;
        nm_ms_t oldest_left_ms;
        nm_ms_t over_ms; /* of proved terms */
    } cases[] = {
        {"none", {-1}, "3 4:a 5:b 6:c 7:d", 10000, PROVED_MS},
        {"oldest", {0, -1}, "4 5:b 6:c 7:d", 10000, PROVED_MS},
        {"middle", {1, -1}, "3 4:a 6:c 7:d", 10000, PROVED_MS},
        {"newest", {2, -1}, "3 4:a 5:b 7:d", 10000, PROVED_MS},
        {"all", {0, 1, 2, -1}, "6 7:d", LIMIT_MS, PROVED_MS},
        {"all, not over yet",
         {0, 1, 2, -1},
         "3 4:a 5:b 6:c 7:d",
         ENDS_MS - STORED_MS,
         ENDS_MS},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_former_terms_t terms;
        nm_former_init(&terms);
        terms.over = 3;
        for (int64_t epoch = 4; epoch <= 6; epoch++) {
            char host[] = {(char)('a' + epoch - 4), '\0'};
            nm_former_term_t term = make_term(epoch, host);
            term.until_ms = epoch < 6 ? 30000 : LIMIT_MS;
            g_ptr_array_add(terms.terms, g_memdup2(&term, sizeof(term)));
        }
        nm_former_begin(&terms, ELECTED_MS);
        g_assert_cmpint(term_at(&terms, 2)->until_ms, ==,
                        ELECTED_MS + LIMIT_MS);
        for (int p = 0; cases[i].proved[p] >= 0; p++) {
            nm_former_prove(term_at(&terms, (guint)cases[i].proved[p]),
                            NM_TERM_PROOF_HOST, cases[i].over_ms);
        }
        bool all = cases[i].proved[0] == 0 && cases[i].proved[1] == 1;
        g_assert_cmpint(nm_former_is_over(&terms), ==, all);
        g_assert_cmpint(nm_former_until_ms(&terms, ELECTED_MS), ==,
                        all                       ? cases[i].over_ms
                        : cases[i].proved[0] == 2 ? ELECTED_MS + 30000
                                                  : ELECTED_MS + LIMIT_MS);
        nm_former_term_t own = make_term(7, "d");
        own.until_ms = STORED_MS + LIMIT_MS;
        char *stored = nm_former_encode(&terms, &own, STORED_MS);
        g_assert_true(
            nm_former_decode(&terms, stored, (uint32_t)strlen(stored)));
        free(stored);
        char *text = describe(&terms);
        g_assert_cmpstr(text, ==, cases[i].terms);
        g_free(text);
        g_assert_cmpint(term_at(&terms, 0)->until_ms, ==,
                        cases[i].oldest_left_ms);
        nm_former_finish(&terms);
    }
}

/* Of several proofs of a term the earliest end counts. */
static void
test_earliest_proof_counts(void)
{
    static const struct {
        const char *name;
        nm_ms_t restarted_ms;
        nm_ms_t witnesses_ms;
        nm_term_proof_t proof;
        nm_ms_t until_ms;
    } cases[] = {
        {"process first", 500, 900, NM_TERM_PROOF_RESTARTED, 500},
        {"witnesses first", 900, 500, NM_TERM_PROOF_WITNESSES, 500},
        {"witnesses only", LIMIT_MS, 900, NM_TERM_PROOF_WITNESSES, 900},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_former_terms_t terms;
        nm_former_init(&terms);
        elect(&terms, 1, "a");
        nm_former_begin(&terms, 0);
        nm_former_expire(&terms, LIMIT_MS - 1);
        g_assert_false(nm_former_is_over(&terms));
        nm_former_prove(term_at(&terms, 0), NM_TERM_PROOF_RESTARTED,
                        cases[i].restarted_ms);
        nm_former_prove_all(&terms, NM_TERM_PROOF_WITNESSES,
                            cases[i].witnesses_ms);
        nm_former_expire(&terms, LIMIT_MS);
        g_assert_cmpint(term_at(&terms, 0)->proof, ==, cases[i].proof);
        g_assert_cmpint(nm_former_until_ms(&terms, 0), ==, cases[i].until_ms);
        nm_former_finish(&terms);
    }
}

/*
 * The leases that a host tells of bound those of all former owners only if it
 * knew that the earlier ones were over, and if nobody gave orders since.
 */
static void
test_leases_of_the_newest_term_count(void)
{
    static const struct {
        const char *name;
        struct {
            int64_t told; /* newest term with orders; -1: not told */
            bool complete;
        } ends[2];     /* of terms 1 and 2 */
        int64_t epoch; /* of the leases that count; 0: none */
    } cases[] = {
        {"both told", {{1, true}, {2, true}}, 2},
        {"newest not told", {{1, true}, {-1, false}}, 0},
        {"newest incomplete", {{1, true}, {2, false}}, 0},
        {"newest without orders", {{1, true}, {0, false}}, 1},
        {"newest without orders, older not told",
         {{-1, false}, {0, false}},
         0},
        {"one host, newer orders", {{2, true}, {2, true}}, 2},
    };
    for (size_t i = 0; i < NM_COUNT_OF(cases); i++) {
        g_test_message("%s", cases[i].name);
        nm_former_terms_t terms;
        nm_former_init(&terms);
        for (guint t = 0; t < 2; t++) {
            elect(&terms, t + 1, t == 0 ? "a" : "b");
        }
        for (guint t = 0; t < 2; t++) {
            if (cases[i].ends[t].told >= 0) {
                term_at(&terms, t)->end = nm_term_end_new(
                    cases[i].ends[t].told, cases[i].ends[t].complete);
            }
        }
        const nm_term_end_t *end = nm_former_newest_end(&terms);
        g_assert_cmpint(end ? end->epoch : 0, ==, cases[i].epoch);
        nm_former_finish(&terms);
    }
}

int
main(int argc, char **argv)
{
    g_test_init(&argc, &argv, NULL);
    g_test_add_func("/former-terms/unreadable-list-proves-nothing",
                    test_unreadable_list_proves_nothing);
    g_test_add_func("/former-terms/missing-terms-stay-open",
                    test_missing_terms_stay_open);
    g_test_add_func("/former-terms/full-list-forgets-no-term",
                    test_full_list_forgets_no_term);
    g_test_add_func("/former-terms/proofs-last", test_proofs_last);
    g_test_add_func("/former-terms/earliest-proof-counts",
                    test_earliest_proof_counts);
    g_test_add_func("/former-terms/leases-of-the-newest-term-count",
                    test_leases_of_the_newest_term_count);
    return g_test_run();
}
