#ifndef SKH_CALLER_API_H
#define SKH_CALLER_API_H

/**
 * DOC: Callers' API
 *
 * The OpenAI shape for models and a path of their own for plain services.
 */

#include "entry.h"
#include "http.h"

#ifdef __cplusplus
extern "C" {
#endif

/** skh_caller_api_handle() - answer one request of a caller; @context is a &skh_entry_t */
void skh_caller_api_handle(void *context, skh_http_request_t *request);

#ifdef __cplusplus
}
#endif
#endif
