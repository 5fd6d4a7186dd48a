#include "address.h"

#include <arpa/inet.h>
#include <glib.h>
#include <string.h>

bool skh_address_split(const char *text, char **host, uint16_t *port)
{
	const char *colon = text ? strrchr(text, ':') : NULL;
	char *end = NULL;
	gint64 number;

	*host = NULL;
	if (!colon || !g_ascii_isdigit(colon[1]))
		return false;
	number = g_ascii_strtoll(colon + 1, &end, 10);
	if (*end != '\0' || number > UINT16_MAX)
		return false;
	*host = g_strndup(text, (gsize)(colon - text));
	*port = (uint16_t)number;
	return true;
}

bool skh_address_parse(const char *text, struct sockaddr_in *address)
{
	g_autofree char *host = NULL;
	uint16_t port;

	*address = (struct sockaddr_in){ .sin_family = AF_INET };
	if (!skh_address_split(text, &host, &port) ||
	    inet_pton(AF_INET, host, &address->sin_addr) != 1)
		return false;
	address->sin_port = htons(port);
	return true;
}
