#ifndef SKH_HTTP_CLIENT_H
#define SKH_HTTP_CLIENT_H

/**
 * DOC: HTTP client
 *
 * Blocking HTTP GET requests over libcurl, for the command line tools. Each
 * call opens a connection of its own on the calling thread and times out after
 * 2 s.
 */

#include "buffer.h"
#include "error.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_http_client_get() - request http://@address@path
 * @address: host and port
 * @path: path and query, from the leading slash on
 * @body: receives the response body, appended; also that of an error response
 * @err: set on failure: SKH_NO_BACKEND when the transfer failed, SKH_BACKEND_FAILED when
 *       the status is not 200
 * Return: true when the complete response was received with status 200.
 */
bool skh_http_client_get(const char *address, const char *path, skh_buffer_t *body,
			 skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
