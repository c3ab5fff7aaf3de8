/*
 * Parser for IPv4 socket addresses of the form IP:PORT.
 *
 *     struct sockaddr_in address;
 *     if (!nm_address_parse("10.0.0.1:80", &address)) { ... }
 */
#ifndef NM_ADDRESS_H
#define NM_ADDRESS_H

#include <arpa/inet.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

/* Returns false if the text is malformed; address may have changed then. */
static inline bool
nm_address_parse(const char *text, struct sockaddr_in *address)
{
    char ip[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    if (!colon || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    char *end;
    unsigned long port = strtoul(colon + 1, &end, 10);
    if (colon[1] == '\0' || *end != '\0' || port > UINT16_MAX) {
        return false;
    }
    *address = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons((uint16_t)port),
    };
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

#endif
