#ifndef SKH_CALLER_API_H
#define SKH_CALLER_API_H

/**
 * DOC: API for callers
 *
 * HTTP handler of the entry for callers' requests: the OpenAI-compatible
 * endpoints for models, and /services/NAME/... for plain services. Runs on the
 * HTTP server's request threads, any number at once, and blocks until the response
 * is sent. Errors are sent to the caller as problem+json; once a streamed response has
 * begun, as an error event before the connection is closed.
 */

#include "entry.h"
#include "http.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_caller_api_handle() - authenticate, serve and respond to one request of a caller
 * @context: the &skh_entry_t; must outlive the call
 * @http: the request, borrowed for the call; the response is sent through it
 */
void skh_caller_api_handle(void *context, skh_http_request_t *http);

#ifdef __cplusplus
}
#endif
#endif
