#include "lease.h"

#include "clock.h"

bool skh_period_lease_ensure(skh_period_lease_t *lease, skh_store_t *store, int64_t now_us,
			     skh_error_t *err)
{
	if (lease->id != 0 && now_us < lease->reuse_deadline_us)
		return true;
	if (!store->ops->lease_grant(store, lease->period_s + lease->min_ttl_s, &lease->id, err)) {
		lease->id = 0;
		return false;
	}
	lease->reuse_deadline_us = now_us + lease->period_s * SKH_US_PER_S;
	return true;
}
