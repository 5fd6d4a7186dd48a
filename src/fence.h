#ifndef SKH_FENCE_H
#define SKH_FENCE_H

/**
 * DOC: Fences of one holder's changes
 *
 * Pure. A lease gives its holder one number from the store; each change that the
 * holder makes needs a fence higher than all before it, its own included, also
 * when the lease seemed lost for a while and was not.
 */

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Changes that one lease has room for; a change takes a quarter of a second at least. */
#define SKH_FENCE_MAX_PER_LEASE ((int64_t)1 << 20)

/** struct skh_fence - zeroed before its first use */
typedef struct skh_fence {
	int64_t lease_revision;
	int64_t n_reserved;
} skh_fence_t;

/**
 * skh_fence_reserve() - the first of @n fences for a new change under @lease
 * @lease: the store's number
 */
static inline int64_t skh_fence_reserve(skh_fence_t *fence, int64_t lease, int64_t n)
{
	int64_t first;

	if (lease != fence->lease_revision)
		*fence = (skh_fence_t){ lease, 0 };
	first = lease * SKH_FENCE_MAX_PER_LEASE + fence->n_reserved + 1;
	fence->n_reserved += n;
	return first;
}

#ifdef __cplusplus
}
#endif
#endif
