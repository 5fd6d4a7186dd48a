#ifndef SKH_CLAIMER_H
#define SKH_CLAIMER_H

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

typedef struct skh_claimer skh_claimer_t;

/** struct skh_claim_done - result of one submitted write; free with skh_claim_done_free() */
typedef struct skh_claim_done {
	uint64_t id;
	skh_write_state_t state;
	int64_t mod_revision;
	char *found;
	skh_error_t err;
} skh_claim_done_t;

/** skh_claimer_start() - @interval_us between two transactions */
skh_claimer_t *skh_claimer_start(skh_store_t *store, int64_t interval_us);
void skh_claimer_stop(skh_claimer_t *claimer);

/** skh_claimer_submit() - write @value at @key when its mod revision is @expected */
void skh_claimer_submit(skh_claimer_t *claimer, uint64_t id, const char *key, const char *value,
			int64_t expected);

/** skh_claimer_fd() - readable when there are results */
int skh_claimer_fd(const skh_claimer_t *claimer);

/** skh_claimer_take() - next result, or NULL */
skh_claim_done_t *skh_claimer_take(skh_claimer_t *claimer);
void skh_claim_done_free(skh_claim_done_t *done);

#ifdef __cplusplus
}
#endif
#endif
