#ifndef SKH_MAPPLAN_H
#define SKH_MAPPLAN_H

/**
 * DOC: Planning a group's next expert map
 *
 * Pure. Turns the counts of all ranks into forecasts, and the forecasts and the
 * map in use into the next map, set by set, with the balancer (rebalance.h). A
 * map may bring only so many new experts to a rank: what they cost is that
 * passes take longer while they are copied.
 */

#include "dialect.h"
#include "forecast.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_mapplan_options - what matters; see rebalance.h */
typedef struct skh_mapplan_options {
	double skew_weight;
	double cost_weight;
	double copy_cost;	   /* of one new expert at a rank, in parts of a set's skew */
	uint32_t max_new_per_rank; /* experts that are new to a rank in all sets */
	bool greedy_only; /* relieve the fullest ranks (greedy_rebalance.h) and search no further */
	double greedy_target_skew; /* skew of a set that such a plan leaves alone */
	const double *slowdowns;   /* time that each rank takes, 1 is usual; NULL for all 1 */
} skh_mapplan_options_t;

/** struct skh_mapplan_result - what the plan brings */
typedef struct skh_mapplan_result {
	double skew_before; /* greatest rank load over the mean, mean of the sets */
	double skew_after;
	uint32_t n_copies;	      /* experts copied */
	uint32_t max_copies_per_rank; /* by one rank */
} skh_mapplan_result_t;

/**
 * skh_mapplan_make() - plan the next map
 * @shape: sets, experts, placements and spare
 * @ranks: of the group
 * @map: in use, expert + 1 or 0, [sets][ranks][placements]; replaced by the next map
 * @shares: expected part of each expert of its set, [sets][experts]
 */
void skh_mapplan_make(const skh_engine_spec_t *shape, uint32_t ranks,
		      const skh_mapplan_options_t *weights, const double *shares, uint32_t *map,
		      skh_mapplan_result_t *result);

/** skh_mapplan_skew() - mean of the sets' skew under @map and @shares; @paces as above */
double skh_mapplan_skew(const skh_engine_spec_t *shape, uint32_t ranks, const double *shares,
			const double *paces, const uint32_t *map);

/** skh_mapplan_is_valid() - every expert stands somewhere, no rank holds one twice */
bool skh_mapplan_is_valid(const skh_engine_spec_t *shape, uint32_t ranks, const uint32_t *map);

#ifdef __cplusplus
}
#endif
#endif
