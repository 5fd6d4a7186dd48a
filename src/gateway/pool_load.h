#ifndef SKH_POOL_LOAD_H
#define SKH_POOL_LOAD_H

/**
 * DOC: Load of a service's servers
 *
 * Describes a service and its lock-step groups to load_control.h, and keeps the groups' limits of
 * concurrency. Servers that stand alone have no limit but their slots. Runs on the gateway's event
 * loop thread.
 */

#include "backends.h"

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_pool_load_get() - the load of the service as this gateway sees it
 * @share: of the capacity for this gateway, 0 to 1
 */
skh_load_view_t skh_pool_load_get(const skh_target_pool_t *pool, double share, int64_t now_us);

/**
 * skh_pool_load_update() - compute the limits of the groups anew and log their changes
 * @starts_per_s: requests of the service that all gateways start a second; 0 if unknown
 */
void skh_pool_load_update(skh_target_pool_t *pool, double share, double starts_per_s,
			  int64_t now_us);

/**
 * skh_pool_load_set_allowed() - let the groups take a request of @priority up to their limits
 * @is_late: the request can't be on time any more
 */
void skh_pool_load_set_allowed(skh_target_pool_t *pool, uint32_t priority, bool is_late);

/** skh_pool_load_lift_limits() - let the groups take any request, as one that is continued */
void skh_pool_load_lift_limits(skh_target_pool_t *pool);

#ifdef __cplusplus
}
#endif
#endif
