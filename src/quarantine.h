#ifndef SKH_QUARANTINE_H
#define SKH_QUARANTINE_H

/**
 * DOC: Quarantine
 *
 * The suspects (suspect.h) as all entries share them through the key-value
 * service. Each crash held against a request is a key of its own, so that
 * writing it needs no comparison and may be repeated after a lost answer. While
 * the service is down an entry goes by what it knows and writes later.
 */

#include "store.h"
#include "suspect.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_quarantine skh_quarantine_t;

/** skh_quarantine_start() - follow the records under "@store_prefix/suspects/" */
skh_quarantine_t *skh_quarantine_start(skh_store_t *store, const char *store_prefix);
void skh_quarantine_stop(skh_quarantine_t *quarantine);

/* These three do not wait for the key-value service. */
skh_suspect_state_t skh_quarantine_get_state(skh_quarantine_t *quarantine, uint64_t request);
void skh_quarantine_record_crash(skh_quarantine_t *quarantine, uint64_t request, uint64_t crash);

/** skh_quarantine_clear() - true when something was held against @request */
bool skh_quarantine_clear(skh_quarantine_t *quarantine, uint64_t request);

/** skh_quarantine_list() - new JSON array of the requests that are not clear */
json_t *skh_quarantine_list(skh_quarantine_t *quarantine);

#ifdef __cplusplus
}
#endif
#endif
