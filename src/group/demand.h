#ifndef SKH_DEMAND_H
#define SKH_DEMAND_H

/**
 * DOC: Expert demand of a group
 *
 * Aggregates the token counts of a group's ranks into the share of tokens that each
 * expert is expected to receive, and detects shifts of demand. Each assignment of a
 * token to an expert is one choice; the counts are numbers of choices. In a shift the
 * tokens of all ranks change to other experts from one pass to the next. A sample that
 * differs from the earlier counts and begins after the first pass counted in them
 * indicates a shift; the counts from before the shift are then discarded. Owns its
 * arrays; does no I/O and takes no locks, so the owner serialises access. Times are
 * monotonic, in microseconds.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_demand skh_demand_t;

/** struct skh_demand_sample - number of tokens of one rank routed to each expert */
typedef struct skh_demand_sample {
	const double *counts; /* [sets][experts]; borrowed */
	int64_t epoch;	      /* group epoch; pass numbers restart with each epoch */
	int64_t from_pass;    /* last pass before the counted ones */
	int64_t to_pass;      /* last counted pass */
} skh_demand_sample_t;

/** enum skh_demand_update - effect of a sample */
typedef enum skh_demand_update {
	SKH_DEMAND_IGNORED, /* empty, or with passes from before the last shift or epoch */
	SKH_DEMAND_UPDATED, /* counted; no shift detected */
	SKH_DEMAND_SHIFTED, /* shift detected; the shares reflect this sample only */
	SKH_DEMAND_SHIFTED_MID_SAMPLE /* shift within the sample; the shares are unknown */
} skh_demand_update_t;

/**
 * skh_demand_new() - create a demand estimate without samples
 * @engine_spec: numbers of sets and experts; copied
 *
 * Return: the estimate, to be freed with skh_demand_free().
 */
skh_demand_t *skh_demand_new(const skh_engine_spec_t *engine_spec);
void skh_demand_free(skh_demand_t *demand);

/**
 * skh_demand_add_sample() - add a sample and check it for a shift of demand
 * @demand: estimate to update
 * @sample: counts of one rank
 * @now_us: current monotonic time
 *
 * Return: the effect of the sample.
 */
skh_demand_update_t skh_demand_add_sample(skh_demand_t *demand, const skh_demand_sample_t *sample,
					  int64_t now_us);

/**
 * skh_demand_has_enough_counts() - check whether a map can be planned from the counts
 * @demand: estimate to check
 * @now_us: current monotonic time; some time after a shift fewer counts are enough
 *
 * Return: true when enough tokens were counted since the last shift.
 */
bool skh_demand_has_enough_counts(const skh_demand_t *demand, int64_t now_us);

/**
 * skh_demand_shares() - compute the expected share of tokens of each expert
 *
 * Return: shares, [sets][experts], sum 1 in each set; owned by @demand and valid
 * until the next call of this function.
 */
const double *skh_demand_shares(skh_demand_t *demand);

#ifdef __cplusplus
}
#endif
#endif
