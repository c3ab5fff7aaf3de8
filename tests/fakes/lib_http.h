/* Small helpers for the stand-ins' HTTP listeners and options. */
#ifndef FAKE_HTTP_H
#define FAKE_HTTP_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>

#include <glib.h>
#include <microhttpd.h>

enum MHD_Result fake_reply(struct MHD_Connection *connection, unsigned status,
                           const char *type, const char *text);
/*
 * Collects a request's body in *context (a GString).  Returns true once it
 * is complete; until then the handler returns MHD_YES.
 */
bool fake_collect_body(void **context, const char *data, size_t *data_size);
/* For MHD_OPTION_NOTIFY_COMPLETED: frees what fake_collect_body made. */
void fake_free_body(void *user, struct MHD_Connection *connection,
                    void **context, enum MHD_RequestTerminationCode code);
/* Value of a query argument, or fallback. */
const char *fake_argument(struct MHD_Connection *connection, const char *name,
                          const char *fallback);
/* Blocks until SIGTERM or SIGINT. */
void fake_wait_for_signal(void);
/* Must be called before threads are started. */
void fake_block_signals(void);
/* Appends one line to a log and flushes it. */
void fake_log_line(FILE *log, const char *format, ...) G_GNUC_PRINTF(2, 3);
int64_t fake_now_ms(void);

#endif
