#ifndef SKH_REBALANCE_H
#define SKH_REBALANCE_H

/**
 * DOC: Expert balance
 *
 * Decides which experts of a layer stand on which ranks of a group. Pure
 * functions of a view: the placement in force, a forecast of each expert's
 * share of tokens, the ranks' speeds and failure domains, and the weights of
 * the manifest. In lock-step the fullest rank sets the pace, so skew is the
 * greatest rank load over the mean; a move costs the loading of weights.
 *
 * A plan is a list of loads in stages. Within a stage a slot is overwritten
 * only while its expert stands somewhere else, so that no rank needs memory
 * for two maps and no expert is ever missing.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_REBALANCE_MAX_RANKS	 64
#define SKH_REBALANCE_MAX_COPIES 512

/**
 * struct skh_rebalance_input - what one decision is made from; all borrowed
 * @placement: expert in each slot, [@n_ranks][@n_slots]; a rank holds an expert once
 * @forecast: expected share of tokens, [@n_experts], any unit
 * @speed: of each rank, [@n_ranks]; 1 is nominal, 0 is lost
 * @domain: failure domain of each rank, [@n_ranks]
 * @skew_weight: of step-time skew in the objective
 * @cost_weight: of moves in the objective
 * @load_cost: step time that one load costs, as a part of a mean step
 * @max_loads: the weight store's rate over one interval
 * @rank_loads: most loads of each rank, [@n_ranks]; NULL for no limit
 */
typedef struct skh_rebalance_input {
	uint32_t n_ranks;
	uint32_t n_slots;
	uint32_t n_experts;
	const uint32_t *placement;
	const double *forecast_shares;
	const double *speed;
	const uint32_t *failure_domain;
	double skew_weight;
	double cost_weight;
	double copy_cost;
	uint32_t max_copies;
	const uint32_t *max_rank_copies;
} skh_rebalance_input_t;

/** struct skh_expert_copy - load @expert into a slot during @stage, counted from 0 */
typedef struct skh_expert_copy {
	uint32_t rank;
	uint32_t slot;
	uint32_t expert;
	uint32_t stage;
} skh_expert_copy_t;

/** struct skh_rebalance_plan - the decision; moves in the order of their stages */
typedef struct skh_rebalance_plan {
	skh_expert_copy_t copies[SKH_REBALANCE_MAX_COPIES];
	uint32_t n_copies;
	uint32_t n_stages;
	double skew_before;
	double skew_after;
} skh_rebalance_plan_t;

/**
 * skh_rebalance_compute_plan() - the moves that are worth their cost; often none
 * Return: false when some expert stands on no rank that is left and none of
 * the loads allowed can mend that.
 */
bool skh_rebalance_compute_plan(const skh_rebalance_input_t *view, skh_rebalance_plan_t *plan);

/** skh_rebalance_skew() - greatest rank load over the mean, for a placement and shares */
double skh_rebalance_skew(const skh_rebalance_input_t *view, const uint32_t *placement,
			  const double *shares);

#ifdef __cplusplus
}
#endif
#endif
