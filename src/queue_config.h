/*
 * Queue configuration in force: the queues, and the rules that map requests
 * to them by host and path.  The codec translates the platform's documents,
 * so that no field of theirs is known to other modules.
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

/* Maps the requests of a host below a path prefix to a queue. */
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
/*
 * Returns the rule for the host with the longest prefix of target, or NULL.
 * Host names are compared without regard to case or port.
 */
const nm_queue_rule_t *
nm_queue_config_find(const nm_queue_config_t *queue_config, const char *host,
                     const char *target);

/* Store keys and translation of the platform's documents. */
typedef struct {
    const char *config_key;     /* of the newest configuration */
    const char *config_prefix;  /* watched for the configuration */
    const char *workers_prefix; /* of one entry per worker */
    /* Of one key per evacuated zone, below config_prefix. */
    const char *evacuations_prefix;
    /* Returns NULL if the document is malformed. */
    nm_queue_config_t *(*decode_queue_config)(const void *data,
                                              uint32_t bytes);
    /*
     * decode_worker and decode_job return NM_OK or a negative number; then
     * *fault is a static text that names the problem and its bound.
     */
    int (*decode_worker)(nm_sched_worker_t *worker, const char *id,
                         const void *data, uint32_t bytes, const char **fault);
    /* Adds payload, steps and schedule to an initialised specification. */
    int (*decode_job)(nm_job_spec_t *spec, const void *data, uint32_t bytes,
                      const char **fault);
    /* Return a text to be freed with g_free. */
    char *(*encode_state)(nm_job_state_t state);
    char *(*encode_pending)(uint32_t pending);
} nm_codec_t;

#endif
