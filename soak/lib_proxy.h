/*
 * Loopback TCP proxy that injects network faults.
 *
 * Each path has a listener of its own and forwards to the proxy's target port.
 * A path can delay data, drop it in one or both directions, stop forwarding on
 * its open connections without closing them, or reset them.  A connection of
 * which data was dropped forwards nothing more, in any mode: its stream has a
 * gap.  One thread of the proxy serves all paths.
 *
 * A path can be narrow: in each direction data waits in one queue for what was
 * read before it, and nothing is dropped.  What a side has sent before it
 * closed its connection is still forwarded.
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
    PROXY_CUT,           /* drops both directions */
    PROXY_CUT_REQUESTS,  /* drops what callers send */
    PROXY_CUT_RESPONSES, /* drops what the target sends */
    /*
     * Forwards requests on open connections, and resets these instead of
     * forwarding a response.  Responds to each request on a new connection
     * with 503, without forwarding it.
     */
    PROXY_RESET_THEN_REFUSE,
    PROXY_MODE_COUNT,
} proxy_mode_t;

typedef struct proxy proxy_t;

proxy_t *proxy_new(uint16_t target_port);
void proxy_free(proxy_t *proxy);
/* Listens on a port.  Returns the path's index, or -1. */
int proxy_add(proxy_t *proxy, uint16_t port);
void proxy_set(proxy_t *proxy, int path, proxy_mode_t mode);
/*
 * Limits the path, each way and in all modes.  0: no limit, and queued data is
 * due.
 */
void proxy_limit(proxy_t *proxy, int path, uint32_t bytes_per_s);
/*
 * Stops forwarding on the path's open connections for good, without closing
 * them.  New connections work.
 */
void proxy_blackhole(proxy_t *proxy, int path);
/* Closes the path's open connections with a TCP reset to the callers. */
void proxy_reset(proxy_t *proxy, int path);

#endif
