/*
 * Token bucket.
 *
 *     nm_budget_t budget;
 *     nm_budget_init(&budget, 10.0);
 *     nm_budget_add(&budget, 0.1);
 *     if (nm_budget_take(&budget, 1.0)) { ... }
 */
#ifndef NM_BUDGET_H
#define NM_BUDGET_H

#include <nutmegdeck/base.h>

typedef struct {
    double tokens;
    double tokens_max;
} nm_budget_t;

static inline void
nm_budget_init(nm_budget_t *budget, double tokens_max)
{
    *budget = (nm_budget_t){.tokens_max = tokens_max};
}

static inline void
nm_budget_add(nm_budget_t *budget, double tokens)
{
    budget->tokens += tokens;
    if (budget->tokens > budget->tokens_max) {
        budget->tokens = budget->tokens_max;
    }
}

/* Takes tokens that were spent already; the rest may become negative. */
static inline void
nm_budget_charge(nm_budget_t *budget, double tokens)
{
    budget->tokens -= tokens;
}

static inline bool
nm_budget_take(nm_budget_t *budget, double tokens)
{
    if (budget->tokens < tokens) {
        return false;
    }
    budget->tokens -= tokens;
    return true;
}

#endif
