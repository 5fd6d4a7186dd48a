#ifndef SKH_DECISIONS_H
#define SKH_DECISIONS_H

/**
 * DOC: Decisions
 *
 * Why the latest requests of this process were placed or refused, for the
 * operator who asks. A ring of fixed size; nothing of it lasts.
 */

#include "error.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_decisions_record() - what became of a request
 * @servers: ids that were tried, in their order; their texts are copied
 * @err: why it failed; SKH_OK when its answer was whole
 */
void skh_decisions_record(const char *request_id, const char *customer, const char *service,
			  const char *const *servers, size_t n_servers, const skh_error_t *err);

/** skh_decisions_find() - new JSON object about @request_id, or NULL when it is not known */
json_t *skh_decisions_find(const char *request_id);

#ifdef __cplusplus
}
#endif
#endif
