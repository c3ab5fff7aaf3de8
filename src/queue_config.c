#include "queue_config.h"

#include <assert.h>
#include <string.h>

void
nm_queue_config_free(nm_queue_config_t *queue_config)
{
    if (queue_config) {
        g_free(queue_config->rules);
        g_free(queue_config);
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

const nm_queue_rule_t *
nm_queue_config_find(const nm_queue_config_t *queue_config, const char *host,
                     const char *target)
{
    assert(queue_config && host && target);
    const nm_queue_rule_t *best = NULL;
    size_t best_length = 0;
    for (uint32_t i = 0; i < queue_config->rule_count; i++) {
        const nm_queue_rule_t *rule = &queue_config->rules[i];
        size_t length = strlen(rule->prefix);
        if (length >= best_length && host_matches(rule->host, host) &&
            strncmp(target, rule->prefix, length) == 0)
        {
            best = rule;
            best_length = length;
        }
    }
    return best;
}
