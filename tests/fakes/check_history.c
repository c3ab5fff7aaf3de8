/*
 * Checks recorded histories: check_history FILE...
 *
 * Prints counts and one line an invariant.  Exit status: 0 if all are kept,
 * 1 if one is violated, 2 if a file cannot be read.
 */

#include <stdio.h>

#include "lib_history.h"

int
main(int argc, char **argv)
{
    history_t history;
    history_init(&history);
    for (int i = 1; i < argc; i++) {
        if (!history_add_file(&history, argv[i])) {
            fprintf(stderr, "check_history: cannot read %s\n", argv[i]);
            return 2;
        }
    }
    uint32_t violated = history_check(&history);
    printf("history: %u calls, %u runs, %u task starts, %u done, "
           "%u evictions\n",
           history.calls, history.runs, history.tasks_started,
           history.tasks_done, history.evictions);
    for (int i = 0; i < HISTORY_INVARIANT_COUNT; i++) {
        printf("%-6s %s", history.violations[i] ? "BROKEN" : "kept",
               history_invariant_text((history_invariant_t)i));
        if (history.violations[i]) {
            printf(" (%u times, such as %s)", history.violations[i],
                   history.example[i]);
        }
        printf("\n");
    }
    history_finish(&history);
    return violated > 0 ? 1 : 0;
}
