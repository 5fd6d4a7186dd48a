#ifndef SKH_FENCE_H
#define SKH_FENCE_H

/**
 * DOC: Fencing tokens for the changes of one lease holder
 *
 * Derives increasing fencing tokens (fences) from the store revision of a lease. Each change needs
 * a fence higher than all earlier ones, including those of the same holder. This also applies if
 * the holder considers its lease lost and later finds that it still holds it. No I/O; the owner of
 * the struct serialises calls.
 */

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/*
 * Fences available under one lease. A change reserves SKH_MAPCHANGE_MAX_FENCES of them and takes at
 * least a quarter of a second, so they last for more than a day of continuous changes.
 */
#define SKH_FENCE_MAX_PER_LEASE ((int64_t)1 << 20)

/** struct skh_fence_counter - fences reserved under one lease; zeroed before its first use */
typedef struct skh_fence_counter {
	int64_t lease_revision;
	int64_t n_reserved;
} skh_fence_counter_t;

/**
 * skh_fence_reserve() - reserve @n_fences consecutive fences for a new change
 * @lease_revision: store revision at which the lease was acquired
 * Return: the first of the fences.
 */
static inline int64_t skh_fence_reserve(skh_fence_counter_t *fences, int64_t lease_revision,
					int64_t n_fences)
{
	int64_t first;

	if (lease_revision != fences->lease_revision)
		*fences = (skh_fence_counter_t){ lease_revision, 0 };
	first = lease_revision * SKH_FENCE_MAX_PER_LEASE + fences->n_reserved + 1;
	fences->n_reserved += n_fences;
	return first;
}

#ifdef __cplusplus
}
#endif
#endif
