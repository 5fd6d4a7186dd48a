#ifndef SKH_MAPSWITCH_H
#define SKH_MAPSWITCH_H

/**
 * DOC: Stepwise switch of an expert map
 *
 * Leader side of a switch in which every rank must confirm a step before any
 * rank is sent the next one; rank.h implements the side of the ranks. For engines that
 * switch at a pass given in advance, see mapchange.h instead. A leader that crashes
 * leaves the group running or held; its successor starts again from the first step
 * under a higher fencing token (fence). Sends nothing itself and takes no locks: the
 * caller sends the orders and serialises access.
 */

#include "rank.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_mapswitch skh_mapswitch_t;

/**
 * skh_mapswitch_new() - start a switch
 * @n_ranks: number of ranks in the group
 * @fence: fencing token; higher than that of any earlier switch
 * @version: version of the new map
 *
 * Return: the switch, to be freed with skh_mapswitch_free().
 */
skh_mapswitch_t *skh_mapswitch_new(size_t n_ranks, uint64_t fence, uint64_t version);
void skh_mapswitch_free(skh_mapswitch_t *mapswitch);

/**
 * skh_mapswitch_next_order() - get the order to send to a rank now
 * @mapswitch: switch in progress
 * @rank: rank to send the order to
 * @order: receives the order
 *
 * Return: false when there is no order to send.
 */
bool skh_mapswitch_next_order(const skh_mapswitch_t *mapswitch, size_t rank,
			      skh_mapswitch_order_t *order);

/**
 * skh_mapswitch_record_response() - process a rank's reply to an order
 * @mapswitch: switch in progress
 * @rank: rank that replied
 * @order: order that the reply is for; of the replies to earlier steps, only a fenced
 *	outcome counts
 * @outcome: outcome that the rank reported
 * @is_running_version: the rank's engine is not held and uses the new map. When this
 *	is so for all ranks in the first step, the switch is done and the group is not held.
 */
void skh_mapswitch_record_response(skh_mapswitch_t *mapswitch, size_t rank,
				   const skh_mapswitch_order_t *order,
				   skh_mapswitch_order_outcome_t outcome, bool is_running_version);

/** skh_mapswitch_is_done() - true when all ranks use the new map and may run */
bool skh_mapswitch_is_done(const skh_mapswitch_t *mapswitch);

/** skh_mapswitch_is_fenced() - true when a rank has seen a higher fence; the switch must stop */
bool skh_mapswitch_is_fenced(const skh_mapswitch_t *mapswitch);

uint64_t skh_mapswitch_version(const skh_mapswitch_t *mapswitch);

#ifdef __cplusplus
}
#endif
#endif
