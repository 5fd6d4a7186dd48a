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

/*
 * Distance between the fences of one revision in consecutive eras of the store. A copy that the
 * store comes back from is less than this many revisions old: at 3,200 writes/s, five minutes.
 * Small enough that fences stay below 2^53, which engines that read numbers as doubles need.
 */
#define SKH_FENCE_REVISIONS_PER_ERA ((int64_t)1 << 20)

/**
 * skh_fence_of_lease() - fence of a lease, higher than that of any lease acquired before
 * @era: era of the store (skh_store_era()) when the lease was acquired
 * @revision: store revision at which the lease was acquired
 *
 * A store that comes back from a copy gives out revisions again, so they are not enough.
 */
static inline int64_t skh_fence_of_lease(int64_t era, int64_t revision)
{
	return era * SKH_FENCE_REVISIONS_PER_ERA + revision;
}

/** struct skh_fence_counter - fences reserved under one lease; zeroed before its first use */
typedef struct skh_fence_counter {
	int64_t lease_fence;
	int64_t n_reserved;
} skh_fence_counter_t;

/**
 * skh_fence_reserve() - reserve @n_fences consecutive fences for a new change
 * @lease_fence: see skh_fence_of_lease()
 * Return: the first of the fences.
 */
static inline int64_t skh_fence_reserve(skh_fence_counter_t *fences, int64_t lease_fence,
					int64_t n_fences)
{
	int64_t first;

	if (lease_fence != fences->lease_fence)
		*fences = (skh_fence_counter_t){ lease_fence, 0 };
	first = lease_fence * SKH_FENCE_MAX_PER_LEASE + fences->n_reserved + 1;
	fences->n_reserved += n_fences;
	return first;
}

#ifdef __cplusplus
}
#endif
#endif
