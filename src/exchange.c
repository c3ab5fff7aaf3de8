#include "exchange.h"

#include <assert.h>
#include <string.h>

nm_exchange_t *
nm_exchange_new(void)
{
    nm_exchange_t *exchange = g_new0(nm_exchange_t, 1);
    exchange->headers = g_ptr_array_new_with_free_func(g_free);
    exchange->body = g_byte_array_new();
    nm_response_init(&exchange->response);
    return exchange;
}

void
nm_exchange_free(nm_exchange_t *exchange)
{
    if (!exchange) {
        return;
    }
    g_free(exchange->method);
    g_free(exchange->target);
    g_free(exchange->idempotency_key);
    g_ptr_array_free(exchange->headers, TRUE);
    /* An attempt that is still open has its own reference to the body. */
    g_byte_array_unref(exchange->body);
    nm_response_finish(&exchange->response);
    g_free(exchange);
}

void
nm_response_init(nm_response_t *response)
{
    assert(response);
    *response = (nm_response_t){
        .headers = g_ptr_array_new_with_free_func(g_free),
        .body = g_byte_array_new(),
        .verdict = NM_VERDICT_UNKNOWN,
    };
}

void
nm_response_finish(nm_response_t *response)
{
    assert(response);
    if (response->headers) {
        g_ptr_array_free(response->headers, TRUE);
        g_byte_array_free(response->body, TRUE);
    }
    *response = (nm_response_t){0};
}

void
nm_response_move(nm_response_t *target, nm_response_t *source)
{
    assert(target && source);
    nm_response_finish(target);
    *target = *source;
    *source = (nm_response_t){0};
}

bool
nm_method_is_idempotent(const char *method)
{
    static const char *const methods[] = {"GET", "HEAD", "OPTIONS", "PUT",
                                          "DELETE"};
    for (size_t i = 0; i < NM_COUNT_OF(methods); i++) {
        if (strcmp(method, methods[i]) == 0) {
            return true;
        }
    }
    return false;
}

bool
nm_header_is_hop_by_hop(const char *name)
{
    static const char *const names[] = {
        "Connection", "Keep-Alive",     "Proxy-Connection",
        "TE",         "Trailer",        "Transfer-Encoding",
        "Upgrade",    "Content-Length", "Host",
        "Expect"};
    for (size_t i = 0; i < NM_COUNT_OF(names); i++) {
        if (g_ascii_strcasecmp(name, names[i]) == 0) {
            return true;
        }
    }
    return false;
}

const char *
nm_header_find(const GPtrArray *headers, const char *name)
{
    size_t length = strlen(name);
    for (uint32_t i = 0; i < headers->len; i++) {
        const char *line = headers->pdata[i];
        if (g_ascii_strncasecmp(line, name, length) == 0 &&
            line[length] == ':') {
            const char *value = line + length + 1;
            return value + strspn(value, " \t");
        }
    }
    return NULL;
}
