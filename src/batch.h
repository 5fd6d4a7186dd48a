#ifndef SKH_BATCH_H
#define SKH_BATCH_H

/**
 * DOC: Batches
 *
 * Many independent compare-and-swap writes in one transaction. A write that
 * loses its comparison does not take the others with it, and an answer lost on
 * the way is settled by reading back: each value is unique to its writer, so
 * finding it proves the write.
 */

#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_BATCH_MAX_WRITES 64

typedef enum skh_write_state {
	SKH_WRITE_PENDING,
	SKH_WRITE_DONE,	    /* stored at @mod_revision */
	SKH_WRITE_CONFLICT, /* @found is stored instead; NULL when the key is absent */
	SKH_WRITE_FAILED    /* @err tells whether it may have been stored */
} skh_write_state_t;

/** struct skh_write - one write of a batch; keys in a batch differ */
typedef struct skh_write {
	const char *key;
	const char *value;	   /* unique to this write */
	int64_t expected_revision; /* mod revision that must be stored; 0 for absent */
	int64_t lease_id;
	skh_write_state_t state;
	int64_t mod_revision;
	char *found_value; /* owned */
	skh_error_t err;
} skh_write_t;

/** skh_batch_run() - settle every write of @writes; blocks */
void skh_batch_run(skh_store_t *store, skh_write_t *writes, size_t n_writes);

#ifdef __cplusplus
}
#endif
#endif
