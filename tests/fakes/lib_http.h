/*
 * Helpers for programs with a libmicrohttpd listener: responses, request
 * bodies, query arguments, termination signals and log lines.
 *
 *     fake_block_signals();
 *     daemon = MHD_start_daemon(..., on_request, NULL,
 *                               MHD_OPTION_NOTIFY_COMPLETED, fake_free_body,
 *                               NULL, MHD_OPTION_END);
 *     fake_wait_for_signal();
 *
 * on_request returns MHD_YES until fake_collect_body returns true, then
 * responds with fake_respond.
 */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <microhttpd.h>

/* Queues a response with a copy of the text. */
enum MHD_Result fake_respond(struct MHD_Connection *connection,
                             unsigned status, const char *type,
                             const char *text);
/*
 * Collects a request's body in *context (a GString).  Returns true once the
 * body is complete; until then the handler must return MHD_YES.
 */
bool fake_collect_body(void **context, const char *data, size_t *data_size);
/* For MHD_OPTION_NOTIFY_COMPLETED: frees the body of fake_collect_body. */
void fake_free_body(void *user, struct MHD_Connection *connection,
                    void **context, enum MHD_RequestTerminationCode code);
/* Returns the value of a query argument, or fallback without one. */
const char *fake_query_argument(struct MHD_Connection *connection,
                                const char *name, const char *fallback);
/* Blocks until SIGTERM or SIGINT. */
void fake_wait_for_signal(void);
/* Blocks SIGTERM and SIGINT, ignores SIGPIPE; call it before threads start. */
void fake_block_signals(void);
/* Appends one line to a log and flushes it; log NULL: does nothing. */
void fake_log_line(FILE *log, const char *format, ...) G_GNUC_PRINTF(2, 3);
/* Monotonic time. */
int64_t fake_now_ms(void);

#endif
