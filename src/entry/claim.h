#ifndef SKH_CLAIM_H
#define SKH_CLAIM_H

/**
 * DOC: Claims
 *
 * Records in the key-value service that make a non-idempotent request with an
 * idempotency key run at most once: the request may run only after its key has
 * been claimed. Pure functions for encoding a record and for deciding what an
 * existing record means for a request; they access no store and may be called
 * from any thread. A claim is never taken over by another attempt unless the
 * record itself states that nothing ran.
 */

#include "buffer.h"
#include "error.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_CLAIM_MAX_KEY_AGE_MS     ((int64_t)24 * 3600 * 1000)
#define SKH_CLAIM_MAX_CLOCK_SKEW_MS  ((int64_t)5 * 60 * 1000) /* of a key's timestamp */
#define SKH_CLAIM_MAX_RESPONSE_BYTES (64U << 10) /* longest response that is recorded */

typedef enum skh_claim_state {
	SKH_CLAIM_CLAIMED, /* the request may be running or may have run */
	SKH_CLAIM_DONE,	   /* the request ran; its response is recorded unless it was too long */
	SKH_CLAIM_NOT_RUN  /* the owner states that the request did not and will not run */
} skh_claim_state_t;

/** struct skh_claim - one record; owns its texts, clear with skh_claim_clear() */
typedef struct skh_claim {
	skh_claim_state_t state;
	char *owner;	       /* attempt that wrote the record */
	uint64_t content_hash; /* skh_wire_hash_request() of the request */
	int32_t status;	       /* HTTP status of the response */
	char *content_type;
	skh_buffer_t response;
	bool has_response; /* false if the response was too long to record */
} skh_claim_t;

void skh_claim_clear(skh_claim_t *claim);

/** skh_claim_encode() - JSON text of @claim; free with g_free() */
char *skh_claim_encode(const skh_claim_t *claim);

/**
 * skh_claim_decode() - parse the JSON text of a record
 * @text: a stored value
 * @claim: overwritten; clear with skh_claim_clear()
 * @err: SKH_OUTCOME_UNKNOWN for a malformed record
 *
 * Return: false with @err when the record is malformed.
 */
bool skh_claim_decode(const char *text, skh_claim_t *claim, skh_error_t *err);

/** enum skh_claim_decision - what an attempt may do given an existing record */
typedef enum skh_claim_decision {
	SKH_CLAIM_DECISION_OWN_CLAIM,	    /* the attempt itself wrote the record */
	SKH_CLAIM_DECISION_REPLACE,	    /* nothing ran: the record may be replaced */
	SKH_CLAIM_DECISION_REPLAY,	    /* return the recorded response */
	SKH_CLAIM_DECISION_OUTCOME_UNKNOWN, /* another attempt may be running or have run */
	SKH_CLAIM_DECISION_KEY_REUSED	    /* the key was used with another request */
} skh_claim_decision_t;

/**
 * skh_claim_decide() - decide what an attempt may do
 * @found: existing record of the request's key
 * @owner: attempt that wants to run the request
 * @request_hash: skh_wire_hash_request() of the request
 */
skh_claim_decision_t skh_claim_decide(const skh_claim_t *found, const char *owner,
				      uint64_t request_hash);

/**
 * skh_claim_check_key() - check that an idempotency key may be claimed
 * @key: a version 7 UUID, which contains the time of its creation
 * @now_unix_ms: wall clock
 * @err: SKH_BAD_REQUEST or SKH_KEY_EXPIRED
 *
 * A key older than SKH_CLAIM_MAX_KEY_AGE_MS is rejected, because its record may
 * have expired and the request could run twice. A key whose timestamp is ahead
 * by more than SKH_CLAIM_MAX_CLOCK_SKEW_MS is rejected, too.
 * Return: false with @err when the key is rejected.
 */
bool skh_claim_check_key(const char *key, int64_t now_unix_ms, skh_error_t *err);

/**
 * skh_claim_store_key() - key in the key-value service for a claim record
 * @prefix: prepended to the result
 * @key: idempotency key of @customer
 *
 * Return: the key, to be freed with g_free().
 */
char *skh_claim_store_key(const char *prefix, const char *customer, const char *key);

#ifdef __cplusplus
}
#endif
#endif
