#ifndef SKH_CLAIM_H
#define SKH_CLAIM_H

/**
 * DOC: Claims
 *
 * A non-idempotent request with a key is claimed in the key-value service
 * before it may run. This part is pure: the record, and what a record found
 * means for a request that wants to run. A claim is never taken over, unless
 * it says itself that nothing ran.
 */

#include "buffer.h"
#include "error.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_CLAIM_MAX_KEY_AGE_MS     ((int64_t)24 * 3600 * 1000)
#define SKH_CLAIM_MAX_CLOCK_SKEW_MS  ((int64_t)5 * 60 * 1000)
#define SKH_CLAIM_MAX_RESPONSE_BYTES (64U << 10) /* longest answer that is recorded */

typedef enum skh_claim_state {
	SKH_CLAIM_CLAIMED, /* may be running, may have run */
	SKH_CLAIM_DONE,	   /* ran; the answer is recorded */
	SKH_CLAIM_NOT_RUN  /* its owner says that it did not run and won't */
} skh_claim_state_t;

/** struct skh_claim - one record; texts owned */
typedef struct skh_claim {
	skh_claim_state_t state;
	char *owner; /* attempt that wrote it */
	uint64_t body_hash;
	int32_t status;
	char *content_type;
	skh_buffer_t response;
	bool has_response; /* false when it was too long to record */
} skh_claim_t;

void skh_claim_clear(skh_claim_t *claim);
char *skh_claim_encode(const skh_claim_t *claim);
bool skh_claim_decode(const char *text, skh_claim_t *claim, skh_error_t *err);

/** enum skh_claim_decision - what a request may do */
typedef enum skh_claim_decision {
	SKH_CLAIM_DECISION_OWN_CLAIM,
	SKH_CLAIM_DECISION_REPLACE, /* the record says that nothing ran: it may be replaced */
	SKH_CLAIM_DECISION_REPLAY,  /* give the recorded answer again */
	SKH_CLAIM_DECISION_OUTCOME_UNKNOWN, /* another attempt may be running or have run */
	SKH_CLAIM_DECISION_KEY_REUSED	    /* the same key with another body */
} skh_claim_decision_t;

/** skh_claim_decide() - what @found means for a request of @owner with @body_hash */
skh_claim_decision_t skh_claim_decide(const skh_claim_t *found, const char *owner,
				      uint64_t body_hash);

/**
 * skh_claim_check_key() - whether @key may still be claimed
 * @key: a UUID of version 7, whose time tells its age
 * @now_unix_ms: wall clock
 *
 * A key older than the horizon is refused, because its record may be gone.
 */
bool skh_claim_check_key(const char *key, int64_t now_unix_ms, skh_error_t *err);

/** skh_claim_store_key() - where the record of @customer's @key stands; free with g_free() */
char *skh_claim_store_key(const char *prefix, const char *customer, const char *key);

#ifdef __cplusplus
}
#endif
#endif
