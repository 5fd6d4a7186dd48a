#ifndef SKH_DEMAND_H
#define SKH_DEMAND_H

/**
 * DOC: What a group's tokens ask of its experts
 *
 * Pure. Counts of ranks become the share that each expert is expected to have.
 * Answers a shift of demand: from one pass to the next all tokens of a group turn
 * to other experts, those of every rank alike. Samples are told apart by the first
 * pass that they count: one that differs from what was counted before and begins
 * later means a shift, and nothing of before says anything any more.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_demand skh_demand_t;

/** struct skh_demand_sample - tokens of one rank that chose each expert */
typedef struct skh_demand_sample {
	const double *counts; /* [sets][experts] */
	int64_t epoch;	      /* of the group; passes count from its beginning */
	int64_t from_pass;    /* the passes counted lie between these: after the first, ... */
	int64_t to_pass;      /* ... up to the second */
} skh_demand_sample_t;

/** enum skh_demand_update - what a sample has brought */
typedef enum skh_demand_update {
	SKH_DEMAND_IGNORED,	      /* it says nothing, or of before the last shift */
	SKH_DEMAND_UPDATED,	      /* the shares are newer */
	SKH_DEMAND_SHIFTED,	      /* demand has shifted, and the shares are of after it */
	SKH_DEMAND_SHIFTED_MID_SAMPLE /* demand has shifted amid the sample, and the shares are unknown */
} skh_demand_update_t;

skh_demand_t *skh_demand_new(const skh_engine_spec_t *shape);
void skh_demand_free(skh_demand_t *demand);

/** skh_demand_add_sample() - take in a sample */
skh_demand_update_t skh_demand_add_sample(skh_demand_t *demand, const skh_demand_sample_t *sample,
					  int64_t now_us);

/** skh_demand_has_enough_counts() - enough was counted since the last shift to plan a map by it */
bool skh_demand_has_enough_counts(const skh_demand_t *demand, int64_t now_us);

/** skh_demand_shares() - expected, [sets][experts]; a set's sum is 1 */
const double *skh_demand_shares(skh_demand_t *demand);

#ifdef __cplusplus
}
#endif
#endif
