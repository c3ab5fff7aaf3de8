/*
 * Amounts of a step in JSON, under the names of a document.
 *
 *     static const nm_step_names_t names = {.task_count = "count", ...};
 *     if (!nm_step_decode_amounts(step, row, &names)) { ... }
 */
#ifndef NM_STEP_JSON_H
#define NM_STEP_JSON_H

#include <jansson.h>

#include <nutmegdeck/job.h>

typedef struct {
    const char *task_count;
    const char *cpu;
    const char *memory;
    const char *accelerators;
    const char *estimate;
    const char *per_worker_max;
    const char *target;
    const char *unavailable_max;
} nm_step_names_t;

/*
 * A missing amount is 0, and fractions are truncated.  Returns false if an
 * amount is negative, too large or no number.
 */
bool nm_step_decode_amounts(nm_step_t *step, const json_t *object,
                            const nm_step_names_t *names);

#endif
