#ifndef SKH_LEASE_H
#define SKH_LEASE_H

/**
 * DOC: Store leases shared by all keys that are written in one period
 *
 * A lease is granted once per period and never renewed, so that the keys written under it expire
 * together without a delete for each. The owner of the struct serialises calls.
 */

#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct skh_period_lease - zeroed before its first use, except for @period_s and @min_ttl_s
 * @period_s: time for which one lease is used for new keys
 * @min_ttl_s: minimum time to live of a key written under the lease
 * @id: lease ID in the store; 0 before the first grant and after a failed one
 * @reuse_deadline_us: time, on the caller's clock, after which a new lease is granted
 */
typedef struct skh_period_lease {
	int64_t period_s;
	int64_t min_ttl_s;
	int64_t id;
	int64_t reuse_deadline_us;
} skh_period_lease_t;

/**
 * skh_period_lease_ensure() - grant a new lease if the period of the current one is over
 * @now_us: time in microseconds on any clock that is the same for all calls
 *
 * Blocks for one store request when a lease is granted.
 *
 * Return: true if @lease->id is usable; false with @err set if the request failed.
 */
bool skh_period_lease_ensure(skh_period_lease_t *lease, skh_store_t *store, int64_t now_us,
			     skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
