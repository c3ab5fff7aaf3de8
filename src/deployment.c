#include "deployment.h"

#include <assert.h>
#include <string.h>

void
nm_deployment_free(nm_deployment_t *deployment)
{
    if (deployment) {
        g_free(deployment->paths);
        g_free(deployment);
    }
}

/* Compares host names without regard to case or port. */
static bool
host_matches(const char *pattern, const char *host)
{
    size_t length = strcspn(host, ":");
    return strlen(pattern) == length &&
           g_ascii_strncasecmp(pattern, host, length) == 0;
}

const nm_path_t *
nm_deployment_find(const nm_deployment_t *deployment, const char *host,
                   const char *target)
{
    assert(deployment && host && target);
    const nm_path_t *best = NULL;
    size_t best_length = 0;
    for (uint32_t i = 0; i < deployment->path_count; i++) {
        const nm_path_t *path = &deployment->paths[i];
        size_t length = strlen(path->prefix);
        if (length >= best_length && host_matches(path->host, host) &&
            strncmp(target, path->prefix, length) == 0)
        {
            best = path;
            best_length = length;
        }
    }
    return best;
}
