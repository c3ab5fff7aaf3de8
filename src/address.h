/*
 * Socket addresses of the form HOST:PORT, with a port from 1 to 65535.
 *
 *     struct sockaddr_in address;
 *     if (!nm_address_parse("10.0.0.1:80", &address)) { ... }
 */
#ifndef NM_ADDRESS_H
#define NM_ADDRESS_H

#include <arpa/inet.h>
#include <stdbool.h>
#include <string.h>

/* Returns the port after the last colon, or 0 if it is malformed. */
static inline uint16_t
nm_address_port(const char *text)
{
    const char *colon = strrchr(text, ':');
    uint32_t port = 0;
    for (const char *c = colon ? colon + 1 : ""; *c != '\0'; c++) {
        port = port * 10 + (uint32_t)(*c - '0');
        if (*c < '0' || *c > '9' || port > UINT16_MAX) {
            return 0;
        }
    }
    return (uint16_t)port;
}

/* Returns true if the host is a name, an IPv4 or a bracketed IPv6 address. */
static inline bool
nm_address_is_valid(const char *text)
{
    static const char name_characters[] =
        "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789.-";
    if (nm_address_port(text) == 0) {
        return false;
    }
    size_t length = strspn(text, name_characters);
    if (text[0] == '[') {
        length = 1 + strspn(text + 1, "0123456789abcdefABCDEF:.");
        length = length > 1 && text[length] == ']' ? length + 1 : 0;
    }
    return length > 0 && text + length == strrchr(text, ':');
}

/*
 * True for tcp://HOST:PORT, as ZeroMQ needs it.  Addresses of its other
 * transports, within a machine, are not checked.
 */
static inline bool
nm_address_is_peer(const char *text)
{
    static const char tcp[] = "tcp://";
    bool is_tcp = strncmp(text, tcp, strlen(tcp)) == 0;
    return is_tcp ? nm_address_is_valid(text + strlen(tcp))
                  : strncmp(text, "ipc://", 6) == 0 ||
                        strncmp(text, "inproc://", 9) == 0;
}

/*
 * Parses IP:PORT with an IPv4 address.  Returns false if the text is
 * malformed; address may have changed then.
 */
static inline bool
nm_address_parse(const char *text, struct sockaddr_in *address)
{
    char ip[INET_ADDRSTRLEN];
    const char *colon = strrchr(text, ':');
    uint16_t port = nm_address_port(text);
    if (port == 0 || (size_t)(colon - text) >= sizeof(ip)) {
        return false;
    }
    memcpy(ip, text, (size_t)(colon - text));
    ip[colon - text] = '\0';
    *address = (struct sockaddr_in){
        .sin_family = AF_INET,
        .sin_port = htons(port),
    };
    return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}

#endif
