#ifndef SKH_ADDRESS_H
#define SKH_ADDRESS_H

/**
 * DOC: Addresses
 *
 * Parses "address:port" texts from settings, the store and other processes.
 * Only numeric IPv4 addresses are supported; names are not resolved. The
 * functions keep no state and can be called from any thread.
 */

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_address_split() - split an "address:port" text at the last colon
 * @text: the address; may be NULL
 * @host: set to the part before the colon, to be freed with g_free(); NULL on failure
 * @port: set to a port from 0 to 65535; unchanged on failure
 *
 * The part before the colon is not checked.
 *
 * Return: true when @text has a valid port.
 */
bool skh_address_split(const char *text, char **host, uint16_t *port);

/**
 * skh_address_parse() - parse an IPv4 address and port into a socket address
 * @text: the address; may be NULL
 * @address: set to the socket address, in network byte order
 *
 * Return: true when @text is a numeric IPv4 address with a port.
 */
bool skh_address_parse(const char *text, struct sockaddr_in *address);

#ifdef __cplusplus
}
#endif
#endif
