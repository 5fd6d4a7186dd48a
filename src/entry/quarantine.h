#ifndef SKH_QUARANTINE_H
#define SKH_QUARANTINE_H

/**
 * DOC: Quarantine
 *
 * The table of crash suspects (suspect.h) of one entry, shared with all entries
 * through the key-value service. Each crash of a request is a key of its own, so
 * that a write needs no compare-and-swap and is safe to retry after a lost response.
 * While the service is unavailable an entry uses the records it has and writes
 * new ones later.
 *
 * A mirror thread reads the shared records and a writer thread writes changes;
 * a mutex guards the table. Any thread may call the functions other than
 * skh_quarantine_start() and skh_quarantine_stop().
 */

#include "store.h"
#include "suspect.h"

#include <jansson.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_quarantine skh_quarantine_t;

/**
 * skh_quarantine_start() - start to read and write the shared records
 * @store: key-value service; borrowed until skh_quarantine_stop()
 * @store_prefix: prefix of all keys, ending in a slash; copied, "suspects/" is appended
 * Return: the quarantine; stop and free it with skh_quarantine_stop().
 */
skh_quarantine_t *skh_quarantine_start(skh_store_t *store, const char *store_prefix);

/** skh_quarantine_stop() - stop both threads and free @quarantine; pending writes may be lost */
void skh_quarantine_stop(skh_quarantine_t *quarantine);

/**
 * skh_quarantine_get_state() - state of the request with @content_hash
 *
 * Does not wait for the key-value service.
 */
skh_suspect_state_t skh_quarantine_get_state(skh_quarantine_t *quarantine, uint64_t content_hash);

/**
 * skh_quarantine_record_crash() - record that a backend server crashed while a request was running
 * @content_hash: hash of the request's content
 * @crash_id: id of the crash, the same for all requests that were running there
 *
 * Does not wait for the key-value service; the write is queued.
 */
void skh_quarantine_record_crash(skh_quarantine_t *quarantine, uint64_t content_hash,
				 uint64_t crash_id);

/**
 * skh_quarantine_clear() - remove the crashes recorded for a request
 *
 * Called after a complete response, or for an operator. Does not wait for the key-value
 * service; the deletions are queued.
 * Return: true when crashes were recorded for @content_hash.
 */
bool skh_quarantine_clear(skh_quarantine_t *quarantine, uint64_t content_hash);

/** skh_quarantine_list() - new JSON array of the requests that are not clear */
json_t *skh_quarantine_list(skh_quarantine_t *quarantine);

#ifdef __cplusplus
}
#endif
#endif
