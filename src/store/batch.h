#ifndef SKH_BATCH_H
#define SKH_BATCH_H

/**
 * DOC: Batches
 *
 * Commits many independent compare-and-swap writes in one transaction of the
 * key-value service. A write whose comparison fails does not fail the others.
 * When the response to a transaction is lost, the keys are read back: no other
 * writer stores the same value, so a stored value that equals a write's value
 * proves that the write was done. The caller owns the writes; calls block the
 * calling thread.
 */

#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_BATCH_MAX_WRITES 64

typedef enum skh_write_state {
	SKH_WRITE_PENDING,
	SKH_WRITE_DONE,	    /* stored at @mod_revision */
	SKH_WRITE_CONFLICT, /* another value is stored, see @found_value */
	SKH_WRITE_FAILED    /* not done, or unknown whether it was: see the kind of @err */
} skh_write_state_t;

/** struct skh_write - one write of a batch; the keys of a batch are distinct */
typedef struct skh_write {
	const char *key;
	const char *value;	   /* stored by no other writer */
	int64_t expected_revision; /* required mod revision of the key; 0 if it must be absent */
	int64_t lease_id;
	skh_write_state_t state;
	int64_t mod_revision; /* of the stored value; 0 if the key is absent */
	char *found_value;    /* after a conflict, value of the key, NULL if it is absent; owned */
	skh_error_t err;
} skh_write_t;

/**
 * skh_batch_run() - carry out every pending write of @writes; blocks
 * @store: borrowed
 * @writes: at most SKH_BATCH_MAX_WRITES, with distinct keys; their results are filled in
 * @n_writes: length of @writes
 *
 * No write is pending afterwards. A write fails with SKH_STORE_UNKNOWN when it
 * may have been stored; other error kinds mean that it was not.
 */
void skh_batch_run(skh_store_t *store, skh_write_t *writes, size_t n_writes);

#ifdef __cplusplus
}
#endif
#endif
