/*
 * Token bucket, filled by the caller for each event or elapsed time.  It is
 * empty after init.
 *
 *     nm_token_bucket_t bucket;
 *     nm_token_bucket_init(&bucket, 10.0);
 *     nm_token_bucket_add(&bucket, 0.1);
 *     if (nm_token_bucket_take(&bucket, 1.0)) { ... }
 */
#ifndef NM_TOKEN_BUCKET_H
#define NM_TOKEN_BUCKET_H

#include <nutmegdeck/base.h>

typedef struct {
    double tokens;
    double tokens_max;
} nm_token_bucket_t;

static inline void
nm_token_bucket_init(nm_token_bucket_t *bucket, double tokens_max)
{
    *bucket = (nm_token_bucket_t){.tokens_max = tokens_max};
}

static inline void
nm_token_bucket_add(nm_token_bucket_t *bucket, double tokens)
{
    bucket->tokens += tokens;
    if (bucket->tokens > bucket->tokens_max) {
        bucket->tokens = bucket->tokens_max;
    }
}

/* Takes tokens for use already made; the balance may become negative. */
static inline void
nm_token_bucket_charge(nm_token_bucket_t *bucket, double tokens)
{
    bucket->tokens -= tokens;
}

static inline bool
nm_token_bucket_take(nm_token_bucket_t *bucket, double tokens)
{
    if (bucket->tokens < tokens) {
        return false;
    }
    bucket->tokens -= tokens;
    return true;
}

#endif
