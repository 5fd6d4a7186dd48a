#ifndef SKH_CLAIM_WRITER_H
#define SKH_CLAIM_WRITER_H

/**
 * DOC: Claimer
 *
 * The thread of a sidecar that writes claims. Writes gather while a
 * transaction is under way and for a set time between two, so that several
 * hundred transactions a second carry thousands of claims. Records live under
 * leases that are granted once for a period and never renewed: they vanish
 * without a write each.
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
	int64_t mod_revision;
	char *found_value;
	skh_error_t err;
} skh_claim_result_t;

/** skh_claim_writer_start() - @interval_us between two transactions */
skh_claim_writer_t *skh_claim_writer_start(skh_store_t *store, int64_t interval_us);
void skh_claim_writer_stop(skh_claim_writer_t *claimer);

/** skh_claim_writer_submit() - write @value at @key when its mod revision is @expected */
void skh_claim_writer_submit(skh_claim_writer_t *claimer, uint64_t id, const char *key,
			     const char *value, int64_t expected);

/** skh_claim_writer_fd() - readable when there are results */
int skh_claim_writer_fd(const skh_claim_writer_t *claimer);

/** skh_claim_writer_poll_result() - next result, or NULL */
skh_claim_result_t *skh_claim_writer_poll_result(skh_claim_writer_t *claimer);
void skh_claim_result_free(skh_claim_result_t *done);

#ifdef __cplusplus
}
#endif
#endif
