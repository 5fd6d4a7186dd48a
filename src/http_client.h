#ifndef SKH_HTTP_CLIENT_H
#define SKH_HTTP_CLIENT_H

/**
 * DOC: HTTP client
 *
 * Single blocking requests, for the commands.
 */

#include "buffer.h"
#include "error.h"

#ifdef __cplusplus
extern "C" {
#endif

/** skh_http_client_get() - body of http://@address@path; any status but 200 is an error */
bool skh_http_client_get(const char *address, const char *path, skh_buffer_t *body,
			 skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
