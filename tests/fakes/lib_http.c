#include "lib_http.h"

#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <string.h>
#include <time.h>

static pthread_mutex_t log_mutex = PTHREAD_MUTEX_INITIALIZER;

enum MHD_Result
fake_respond(struct MHD_Connection *connection, unsigned status,
             const char *type, const char *text)
{
    struct MHD_Response *response = MHD_create_response_from_buffer(
        strlen(text), (void *)text, MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(response, "Content-Type", type);
    enum MHD_Result result = MHD_queue_response(connection, status, response);
    MHD_destroy_response(response);
    return result;
}

bool
fake_collect_body(void **context, const char *data, size_t *data_size)
{
    if (!*context) {
        *context = g_string_new(NULL);
        return false;
    }
    if (*data_size > 0) {
        g_string_append_len(*context, data, (gssize)*data_size);
        *data_size = 0;
        return false;
    }
    return true;
}

void
fake_free_body(void *user, struct MHD_Connection *connection, void **context,
               enum MHD_RequestTerminationCode code)
{
    (void)user;
    (void)connection;
    (void)code;
    if (*context) {
        g_string_free(*context, TRUE);
    }
    *context = NULL;
}

const char *
fake_query_argument(struct MHD_Connection *connection, const char *name,
                    const char *fallback)
{
    const char *value =
        MHD_lookup_connection_value(connection, MHD_GET_ARGUMENT_KIND, name);
    return value ? value : fallback;
}

static sigset_t
termination_signals(void)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

void
fake_block_signals(void)
{
    sigset_t signals = termination_signals();
    pthread_sigmask(SIG_BLOCK, &signals, NULL);
    signal(SIGPIPE, SIG_IGN);
}

void
fake_wait_for_signal(void)
{
    sigset_t signals = termination_signals();
    int number;
    sigwait(&signals, &number);
}

void
fake_log_line(FILE *log, const char *format, ...)
{
    if (!log) {
        return;
    }
    va_list arguments;
    va_start(arguments, format);
    pthread_mutex_lock(&log_mutex);
    vfprintf(log, format, arguments);
    fputc('\n', log);
    fflush(log);
    pthread_mutex_unlock(&log_mutex);
    va_end(arguments);
}

int64_t
fake_now_ms(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_MONOTONIC, &ts);
    return (int64_t)ts.tv_sec * 1000 + ts.tv_nsec / 1000000;
}
