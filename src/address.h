#ifndef SKH_ADDRESS_H
#define SKH_ADDRESS_H

/**
 * DOC: Addresses
 *
 * "address:port" as settings, the store and other processes write it. IPv4 only,
 * no names.
 */

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_address_split() - take @text apart
 * @host: set to an owned text, free with g_free(); NULL when @text can't be read
 * @port: 0 to 65535
 */
bool skh_address_split(const char *text, char **host, uint16_t *port);

/** skh_address_parse() - @text as a socket takes it */
bool skh_address_parse(const char *text, struct sockaddr_in *address);

#ifdef __cplusplus
}
#endif
#endif
