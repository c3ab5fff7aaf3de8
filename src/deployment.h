/*
 * The configuration in force: queues and the paths that lead to them.
 *
 *     nm_deployment_t *deployment = codec->decode_deployment(data, bytes);
 *     const nm_path_t *path =
 *         nm_deployment_find(deployment, "host.example", "/orders/1");
 *     nm_deployment_free(deployment);
 */
#ifndef NM_DEPLOYMENT_H
#define NM_DEPLOYMENT_H

#include <nutmegdeck/sched.h>

/* A queue and the requests that belong to it. */
typedef struct {
    char host[NM_NAME_MAX * 2];
    char prefix[NM_NAME_MAX * 2];
    nm_queue_t queue;
} nm_path_t;

typedef struct {
    int64_t version;
    nm_path_t *paths;
    uint32_t path_count;
    uint32_t body_max_bytes;
} nm_deployment_t;

void nm_deployment_free(nm_deployment_t *deployment);
/* The path with the longest prefix, or NULL. */
const nm_path_t *nm_deployment_find(const nm_deployment_t *deployment,
                                    const char *host, const char *target);

/* Reads the platform's documents; the product knows no field of theirs. */
typedef struct {
    const char *config_key;     /* of the newest configuration */
    const char *config_prefix;  /* to be watched for it */
    const char *workers_prefix; /* one entry a worker */
    /* Returns NULL for what cannot be read. */
    nm_deployment_t *(*decode_deployment)(const void *data, uint32_t bytes);
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
