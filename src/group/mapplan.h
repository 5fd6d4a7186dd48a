#ifndef SKH_MAPPLAN_H
#define SKH_MAPPLAN_H

/**
 * DOC: Planning of a group's next expert map
 *
 * Computes the next expert map of a group from the map in use and the expected share
 * of tokens of each expert, set by set, with rebalance.h or greedy_rebalance.h; groups of
 * more than SKH_REBALANCE_MAX_RANKS ranks always get a greedy plan. The
 * number of new experts per rank is limited, because passes take longer while
 * experts are copied. Keeps no state and does no I/O; safe to call from any thread
 * as long as nobody else uses the arguments. A skew is the maximum rank load, with
 * each load multiplied by the rank's slowdown, divided by the mean load at normal
 * speed; 1 is perfectly balanced when no rank is slow. A map holds expert + 1 in each
 * slot, or 0 for an empty slot, [sets][ranks][slots]; a placement (rebalance.h) holds
 * expert numbers from 0 instead and has no empty slots. Plans and skews need a valid map.
 */

#include "dialect.h"
#include "forecast.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_mapplan_options - weights and limits of a plan; see rebalance.h for the weights */
typedef struct skh_mapplan_options {
	double skew_weight;
	double cost_weight;
	double copy_cost; /* cost of one new expert at a rank, in units of a set's skew */
	uint32_t max_copies_per_rank; /* limit of new experts per rank, over all sets */
	bool greedy_only; /* use only greedy_rebalance.h, without the search of rebalance.h */
	double greedy_target_skew; /* a greedy plan leaves sets up to this skew unchanged */
	const double *slowdowns;   /* slowdown of each rank, 1 is normal; NULL when all are */
} skh_mapplan_options_t;

/** struct skh_mapplan_result - effect of a plan */
typedef struct skh_mapplan_result {
	double skew_before;	      /* mean of the sets' skew under the map in use */
	double skew_after;	      /* same, under the next map */
	uint32_t n_copies;	      /* experts to copy */
	uint32_t max_copies_per_rank; /* largest number of experts to copy to one rank */
} skh_mapplan_result_t;

/**
 * skh_mapplan_compute() - compute the next map
 * @engine_spec: numbers of sets, experts per set and slots, and limit of new experts
 * @n_ranks: number of ranks in the group
 * @options: weights and limits
 * @shares: expected share of tokens of each expert, [sets][experts], sum 1 in each set
 * @map: map in use; replaced by the next map
 * @result: receives the effect of the plan
 */
void skh_mapplan_compute(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			 const skh_mapplan_options_t *options, const double *shares, uint32_t *map,
			 skh_mapplan_result_t *result);

/**
 * skh_mapplan_skew() - compute the mean of the sets' skew
 * @engine_spec: as for skh_mapplan_compute()
 * @n_ranks: number of ranks in the group
 * @shares: expected share of tokens of each expert, [sets][experts], sum 1 in each set
 * @slowdowns: slowdown of each rank, [@n_ranks], 1 is normal; NULL when all are normal
 * @map: map to evaluate
 *
 * Return: the mean skew.
 */
double skh_mapplan_skew(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			const double *shares, const double *slowdowns, const uint32_t *map);

/**
 * skh_mapplan_is_rank_map_valid() - check one rank's part of a map
 * @rank_map: [sets][slots]
 *
 * Return: true when the rank holds no expert twice in a set and no slot has an unknown expert.
 */
bool skh_mapplan_is_rank_map_valid(const skh_engine_spec_t *engine_spec, const uint32_t *rank_map);

/**
 * skh_mapplan_is_valid() - check a map
 *
 * Return: true when every expert of each set is on at least one rank, no rank holds
 * an expert twice in a set, and no slot has an unknown expert.
 */
bool skh_mapplan_is_valid(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			  const uint32_t *map);

#ifdef __cplusplus
}
#endif
#endif
