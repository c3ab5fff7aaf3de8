/*
 * Loopback TCP proxy with faults: one listener for each path that can fail.
 *
 * A path forwards, delays, cuts either direction, keeps open connections
 * silent, or resets them.  One thread serves all paths.
 *
 *     proxy_t *proxy = proxy_new(target_port);
 *     int path = proxy_add(proxy, port);
 *     proxy_set(proxy, path, PROXY_CUT);
 *     proxy_free(proxy);
 */
#ifndef LIB_PROXY_H
#define LIB_PROXY_H

#include <stdbool.h>
#include <stdint.h>

typedef enum {
    PROXY_OPEN,
    PROXY_DELAY,         /* 60 ms each way */
    PROXY_CUT,           /* nothing passes */
    PROXY_CUT_REQUESTS,  /* only answers pass */
    PROXY_CUT_RESPONSES, /* requests arrive, answers do not */
    PROXY_MODE_COUNT,
} proxy_mode_t;

typedef struct proxy proxy_t;

proxy_t *proxy_new(uint16_t target_port);
void proxy_free(proxy_t *proxy);
/* Listens on a port; returns the path's number, or -1. */
int proxy_add(proxy_t *proxy, uint16_t port);
void proxy_set(proxy_t *proxy, int path, proxy_mode_t mode);
/* Open connections go silent for good; new ones work. */
void proxy_blackhole(proxy_t *proxy, int path);
void proxy_reset(proxy_t *proxy, int path);

#endif
