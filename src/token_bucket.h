/*
 * Token bucket.
 *
 *     nm_token_bucket_t budget;
 *     nm_token_bucket_init(&budget, 10.0);
 *     nm_token_bucket_add(&budget, 0.1);
 *     if (nm_token_bucket_take(&budget, 1.0)) { ... }
 */
#ifndef NM_TOKEN_BUCKET_H
#define NM_TOKEN_BUCKET_H

#include <nutmegdeck/base.h>

typedef struct {
    double tokens;
    double tokens_max;
} nm_token_bucket_t;

static inline void
nm_token_bucket_init(nm_token_bucket_t *budget, double tokens_max)
{
    *budget = (nm_token_bucket_t){.tokens_max = tokens_max};
}

static inline void
nm_token_bucket_add(nm_token_bucket_t *budget, double tokens)
{
    budget->tokens += tokens;
    if (budget->tokens > budget->tokens_max) {
        budget->tokens = budget->tokens_max;
    }
}

/* Takes tokens that were spent already; the rest may become negative. */
static inline void
nm_token_bucket_charge(nm_token_bucket_t *budget, double tokens)
{
    budget->tokens -= tokens;
}

static inline bool
nm_token_bucket_take(nm_token_bucket_t *budget, double tokens)
{
    if (budget->tokens < tokens) {
        return false;
    }
    budget->tokens -= tokens;
    return true;
}

#endif
