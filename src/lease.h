#ifndef SKH_LEASE_H
#define SKH_LEASE_H

/**
 * DOC: Period leases
 *
 * A lease that is granted once for a period and never renewed. Keys written
 * under it vanish together, without a write each.
 */

#include "store.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct skh_period_lease - zeroed before its first use
 * @period_s: a new lease is granted this often
 * @hold_s: how long a key written under it is kept at the least
 */
typedef struct skh_period_lease {
	int64_t period_s;
	int64_t min_ttl_s;
	int64_t id;
	int64_t reuse_deadline_us;
} skh_period_lease_t;

/** skh_period_lease_ensure() - have a lease whose period is not over; blocks */
bool skh_period_lease_ensure(skh_period_lease_t *lease, skh_store_t *store, int64_t now_us,
			     skh_error_t *err);

#ifdef __cplusplus
}
#endif
#endif
