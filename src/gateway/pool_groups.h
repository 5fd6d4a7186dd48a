#ifndef SKH_POOL_GROUPS_H
#define SKH_POOL_GROUPS_H

/**
 * DOC: Lock-step groups of a service's servers
 *
 * Keeps for each server of a lock-step service the group that it belongs to, by the members
 * notices that the groups' coordinators publish, and selects group and server for a request
 * (group_selection.h).
 *
 * A server that no notice names stands alone. A server instance inherits nothing from the
 * previous one at its address: it stands alone until a notice names it that arrived after the
 * instance was listed, that is of a later epoch than the notice that named the previous one, or
 * with which another group has named the address since. An instance that is listed again, because
 * its entry had expired, keeps its group.
 *
 * A server that stands alone and has not served a request since it was listed may be a rank of a
 * group that is forming. Such servers share a breaker, so that a service of one group that starts
 * again gets one probe at a time and not one for each rank. Servers that stand alone and have
 * served have none.
 *
 * Runs on the gateway's event loop thread.
 */

#include "backends.h"

#ifdef __cplusplus
extern "C" {
#endif

/** skh_pool_groups_init() - prepare the groups of a new pool */
void skh_pool_groups_init(skh_target_pool_t *pool);
void skh_pool_groups_clear(skh_target_pool_t *pool);

/** skh_pool_groups_on_listed() - a server instance has been added to its pool */
void skh_pool_groups_on_listed(skh_target_t *target, int64_t now_us);

/** skh_pool_groups_on_ended() - a server instance is no longer listed or has a successor */
void skh_pool_groups_on_ended(skh_target_t *target);

/** skh_pool_groups_on_reinstated() - a server instance has no successor any more */
void skh_pool_groups_on_reinstated(skh_target_t *target);

/**
 * skh_pool_groups_apply_notice() - apply a members notice
 * @group_name: name of the group
 * @text: the notice; if it is unreadable, the last members stay
 * @revision: store revision of the notice; a notice that is read again is ignored
 */
void skh_pool_groups_apply_notice(skh_target_pool_t *pool, const char *group_name, const char *text,
				  int64_t revision, int64_t now_us);

/** skh_target_group_name() - name of the server's group for logs; "-" if it stands alone */
const char *skh_target_group_name(const skh_target_t *target);

/**
 * skh_pool_groups_select() - select a server of a lock-step service
 * @servers: the pool's servers, in their order
 * @excluded_targets: skh_target_t at which attempts of the request have failed, or NULL
 * @probe_only: select only a server of an unhealthy group while another group is ready
 *
 * Return: index into the pool's servers, or SKH_SELECTION_NONE.
 */
int32_t skh_pool_groups_select(const skh_target_pool_t *pool, const skh_selection_input_t *servers,
			       const GPtrArray *excluded_targets, bool probe_only);

/** skh_pool_groups_publish_metrics() - set the metrics of the pool's known groups */
void skh_pool_groups_publish_metrics(const skh_target_pool_t *pool, int64_t now_us);

/** skh_pool_groups_free_slots() - slots of this gateway in ready groups other than @group */
uint32_t skh_pool_groups_free_slots(const skh_target_pool_t *pool, const skh_target_group_t *group,
				    uint32_t n_gateways, int64_t now_us);

/** skh_pool_groups_activity() - what this gateway has in @group now */
skh_group_activity_t skh_pool_groups_activity(const skh_target_pool_t *pool,
					      const skh_target_group_t *group);

/** skh_pool_groups_is_ready() - whether @group of the pool answers, as far as is known */
bool skh_pool_groups_is_ready(const skh_target_pool_t *pool, const skh_target_group_t *group,
			      int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
