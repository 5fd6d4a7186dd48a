#ifndef SKH_REBALANCE_H
#define SKH_REBALANCE_H

/**
 * DOC: Expert rebalancing
 *
 * Plans which experts of an expert set are copied to which ranks of a group, by a local
 * search over placements. The functions are pure and keep no state between calls,
 * so they run on any thread.
 *
 * The input is the current placement, a forecast of each expert's share of tokens,
 * the speeds and failure domains of the ranks, and weights from the manifest. In
 * lock-step, a pass takes as long as its most loaded rank, so the search minimizes
 * skew: the maximum rank load divided by the mean load. Each copy of an expert's
 * weights counts as a cost.
 *
 * A plan lists copies in stages. Within a stage, a slot is overwritten only if
 * its expert has another replica, so that no rank needs memory for two maps and
 * every expert stays available.
 */

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Ranks that hold an expert are bits of one 64-bit word; greedy_rebalance.h has no such limit. */
#define SKH_REBALANCE_MAX_RANKS	 64
#define SKH_REBALANCE_MAX_COPIES 512

/**
 * struct skh_rebalance_input - input of one plan; all arrays are borrowed
 * @n_ranks: ranks of the group, at most SKH_REBALANCE_MAX_RANKS
 * @slots_per_rank: slots of each rank
 * @n_experts: experts of the expert set
 * @placement: expert number, from 0, in each slot, [@n_ranks][@slots_per_rank]; a rank holds an
 *	expert at most once. There are no empty slots, unlike in the maps of mapplan.h, which hold
 *	expert + 1, or 0 for an empty slot
 * @forecast_shares: expected share of tokens of each expert, [@n_experts], any unit
 * @speed: speed of each rank, [@n_ranks]; 1 is nominal, 0 marks a lost rank
 * @failure_domain: failure domain of each rank, [@n_ranks]
 * @skew_weight: weight of skew in the objective
 * @cost_weight: weight of copies in the objective
 * @copy_cost: time that one copy adds to a pass, as a fraction of the mean pass duration
 * @max_copies: maximum copies of the plan: what the source of the experts' weights delivers in one
 *	interval
 * @max_copies_per_rank: maximum copies to each rank, [@n_ranks]; NULL for no limit
 */
typedef struct skh_rebalance_input {
	uint32_t n_ranks;
	uint32_t slots_per_rank;
	uint32_t n_experts;
	const uint32_t *placement;
	const double *forecast_shares;
	const double *speed;
	const uint32_t *failure_domain;
	double skew_weight;
	double cost_weight;
	double copy_cost;
	uint32_t max_copies;
	const uint32_t *max_copies_per_rank;
} skh_rebalance_input_t;

/** struct skh_expert_copy - copy of the weights of @expert to a slot in @stage, counted from 0 */
typedef struct skh_expert_copy {
	uint32_t rank;
	uint32_t slot;
	uint32_t expert;
	uint32_t stage;
} skh_expert_copy_t;

/**
 * struct skh_rebalance_plan - copies to execute, sorted by stage
 * @n_copies: copies planned; 0 if none is worth its cost
 * @n_stages: stages that the copies take
 * @skew_before: skew of the current placement
 * @skew_after: skew after all copies
 */
typedef struct skh_rebalance_plan {
	skh_expert_copy_t copies[SKH_REBALANCE_MAX_COPIES];
	uint32_t n_copies;
	uint32_t n_stages;
	double skew_before;
	double skew_after;
} skh_rebalance_plan_t;

/**
 * skh_rebalance_compute_plan() - plan the copies that are worth their cost
 * @input: borrowed for the call
 * @plan: overwritten
 *
 * Experts without a live replica are restored first, regardless of cost. Often no
 * copy is worth its cost and the plan is empty.
 *
 * Return: false if there are too many ranks, or if an expert has no live replica
 * and can't be restored, because no slot can take it or a copy limit is reached. When
 * an expert can't be restored, @plan has the copies of those that could be.
 */
bool skh_rebalance_compute_plan(const skh_rebalance_input_t *input, skh_rebalance_plan_t *plan);

/**
 * skh_rebalance_skew() - compute the maximum rank load divided by the mean load
 * @input: dimensions and rank speeds; its placement is not read
 * @placement: placement to evaluate, [n_ranks][slots_per_rank]
 * @shares: share of tokens of each expert, [n_experts], any unit
 */
double skh_rebalance_skew(const skh_rebalance_input_t *input, const uint32_t *placement,
			  const double *shares);

#ifdef __cplusplus
}
#endif
#endif
