#ifndef SKH_DECISIONS_H
#define SKH_DECISIONS_H

/**
 * DOC: Decisions on recent requests
 *
 * The outcome of each of the latest requests of this process and its cause, which an
 * operator can query by request id. One ring buffer of fixed size in memory, guarded
 * by a mutex; any thread may call the functions, and nothing is kept across a restart.
 */

#include "error.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_decisions_record() - record the outcome of a request; replaces the oldest one
 * @request_id: id of the request
 * @customer: name of the customer; "" when unknown
 * @service: name of the service; "" when unknown
 * @servers: ids of the servers that were tried, in order; NULL when @n_servers is 0
 * @n_servers: length of @servers
 * @err: cause of the failure; its kind is SKH_OK when the response was complete
 *
 * All texts are copied; long ones are truncated.
 */
void skh_decisions_record(const char *request_id, const char *customer, const char *service,
			  const char *const *servers, size_t n_servers, const skh_error_t *err);

/**
 * skh_decisions_find() - look up the outcome of a request
 * Return: new JSON object, or NULL when @request_id is empty or not recorded.
 */
json_t *skh_decisions_find(const char *request_id);

#ifdef __cplusplus
}
#endif
#endif
