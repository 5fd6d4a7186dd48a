#ifndef SKH_MAPSWITCH_H
#define SKH_MAPSWITCH_H

/**
 * DOC: Switching an expert map
 *
 * The coordinator's side, as pure state: every rank must confirm a step before
 * any rank is given the next. A coordinator that dies leaves the group running
 * or held; its successor, under a higher fence, starts from the first step.
 */

#include "rank.h"

#include <stddef.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_mapswitch skh_mapswitch_t;

/** skh_mapswitch_new() - bring @ranks ranks to map @version under @fence */
skh_mapswitch_t *skh_mapswitch_new(size_t ranks, uint64_t fence, uint64_t version);
void skh_mapswitch_free(skh_mapswitch_t *mapswitch);

/** skh_mapswitch_next_order() - whether @rank is to be sent an order now, and which */
bool skh_mapswitch_next_order(const skh_mapswitch_t *mapswitch, size_t rank, skh_order_t *order);

/**
 * skh_mapswitch_record_reply() - @rank's answer to @order
 * @in_place: its engine runs, and with the wanted map. When all do so at the
 *	first step there is nothing to switch and the group is not held.
 */
void skh_mapswitch_record_reply(skh_mapswitch_t *mapswitch, size_t rank, const skh_order_t *order,
				skh_order_outcome_t outcome, bool in_place);

bool skh_mapswitch_is_done(const skh_mapswitch_t *mapswitch);

/** skh_mapswitch_is_fenced() - a later coordinator exists: this one must stop */
bool skh_mapswitch_is_fenced(const skh_mapswitch_t *mapswitch);
uint64_t skh_mapswitch_version(const skh_mapswitch_t *mapswitch);

#ifdef __cplusplus
}
#endif
#endif
