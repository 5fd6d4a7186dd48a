#ifndef SKH_CLAIM_WRITER_H
#define SKH_CLAIM_WRITER_H

/**
 * DOC: Claim writer
 *
 * A thread of a sidecar that writes claim records in batches. Writes queue up
 * while a batch is being written and during a fixed interval after it. In this
 * way, several hundred transactions per second, summed over all sidecars, write
 * thousands of claims per second. Records are attached to leases that are granted once per
 * period and never renewed, so that they expire without a delete for each. The
 * functions below are called from the sidecar's event loop thread.
 */

#include "batch.h"
#include "claim.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_claim_writer skh_claim_writer_t;

/** struct skh_claim_result - result of one submitted write; free with skh_claim_result_free() */
typedef struct skh_claim_result {
	uint64_t id;
	skh_write_state_t state;
	int64_t mod_revision; /* of the stored value; 0 if the key is absent */
	char *found_value;    /* after a conflict, value of the key, NULL if it is absent; owned */
	skh_error_t err;      /* set if @state is SKH_WRITE_FAILED */
} skh_claim_result_t;

/**
 * skh_claim_writer_start() - start the thread
 * @store: borrowed until skh_claim_writer_stop()
 * @interval_us: pause after each batch
 */
skh_claim_writer_t *skh_claim_writer_start(skh_store_t *store, int64_t interval_us);

/** skh_claim_writer_stop() - run the queued writes, stop the thread and drop unread results */
void skh_claim_writer_stop(skh_claim_writer_t *writer);

/**
 * skh_claim_writer_submit() - queue one compare-and-swap write
 * @id: returned in the result
 * @key: key in the key-value service; copied
 * @value: stored by no other writer; copied
 * @expected_revision: required mod revision of @key; 0 if it must be absent
 */
void skh_claim_writer_submit(skh_claim_writer_t *writer, uint64_t id, const char *key,
			     const char *value, int64_t expected_revision);

/** skh_claim_writer_fd() - descriptor that is readable while results may be available */
int skh_claim_writer_fd(const skh_claim_writer_t *writer);

/**
 * skh_claim_writer_poll_result() - next result; does not block
 *
 * Return: a result that the caller frees, or NULL when there is none. In that
 * case the descriptor is also reset, so that it is not readable.
 */
skh_claim_result_t *skh_claim_writer_poll_result(skh_claim_writer_t *writer);
void skh_claim_result_free(skh_claim_result_t *result);

#ifdef __cplusplus
}
#endif
#endif
