/*
 * The configuration in force: queues and the paths that lead to them.
 *
 *     nm_queue_config_t *queue_config =
 *         codec->decode_queue_config(data, bytes);
 *     const nm_queue_rule_t *rule =
 *         nm_queue_config_find(queue_config, "host.example", "/orders/1");
 *     nm_queue_config_free(queue_config);
 */
#ifndef NM_QUEUE_CONFIG_H
#define NM_QUEUE_CONFIG_H

#include <nutmegdeck/sched.h>

/* A queue and the requests that belong to it. */
typedef struct {
    char host[NM_NAME_MAX * 2];
    char prefix[NM_NAME_MAX * 2];
    nm_queue_t queue;
} nm_queue_rule_t;

typedef struct {
    int64_t version;
    nm_queue_rule_t *rules;
    uint32_t rule_count;
    uint32_t body_max_bytes;
} nm_queue_config_t;

void nm_queue_config_free(nm_queue_config_t *queue_config);
/* The path with the longest prefix, or NULL. */
const nm_queue_rule_t *
nm_queue_config_find(const nm_queue_config_t *queue_config, const char *host,
                     const char *target);

/* Reads the platform's documents; the product knows no field of theirs. */
typedef struct {
    const char *config_key;     /* of the newest configuration */
    const char *config_prefix;  /* to be watched for it */
    const char *workers_prefix; /* one entry a worker */
    /* Returns NULL for what cannot be read. */
    nm_queue_config_t *(*decode_queue_config)(const void *data,
                                              uint32_t bytes);
    int (*decode_worker)(nm_sched_worker_t *worker, const char *id,
                         const void *data, uint32_t bytes);
    /* Adds payload and steps to an initialised specification. */
    int (*decode_job)(nm_job_spec_t *spec, const void *data, uint32_t bytes,
                      const char **fault);
    /* Texts to be freed with g_free. */
    char *(*encode_state)(nm_job_state_t state);
    char *(*encode_pending)(uint32_t pending);
} nm_codec_t;

#endif
