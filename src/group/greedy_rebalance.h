#ifndef SKH_GREEDY_REBALANCE_H
#define SKH_GREEDY_REBALANCE_H

/**
 * DOC: Greedy rebalancing
 *
 * Reduces the load of the most loaded rank of a group step by step, changing one
 * slot of the expert map per step. Pure computation on the caller's map; calls on
 * one object must be serialised, and so must those on objects that share the array
 * of copies left.
 *
 * It is meant for a sudden shift of demand, such as one expert that receives a
 * fifth of all tokens and has a single replica. Each step adds a replica of one of
 * the heaviest experts of the most loaded rank, on the rank for which the resulting
 * maximum load is lowest. A replica is dropped without a copy where the other ranks
 * can take its share. The search evaluates far fewer changes than rebalance.h, so
 * that planning for a group of a hundred ranks takes a small fraction of a core's time.
 *
 * It also handles a rank that becomes slow, which delays all others in lock-step:
 * the rank's load is multiplied by its slowdown, so that its experts move to
 * other ranks.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * struct skh_greedy_rebalance_input - input for one set of layers; arrays are borrowed
 * @n_ranks: ranks of the group
 * @slots_per_rank: slots of each rank
 * @n_experts: experts of the set
 * @shares: share of tokens of each expert, [@n_experts], sum 1
 * @slowdowns: time taken relative to normal (1) for each rank, [@n_ranks]; NULL for all 1
 * @min_gain: minimum reduction of the skew by a step; see skh_greedy_rebalance_step()
 */
typedef struct skh_greedy_rebalance_input {
	uint32_t n_ranks;
	uint32_t slots_per_rank;
	uint32_t n_experts;
	const double *shares;
	const double *slowdowns;
	double min_gain;
} skh_greedy_rebalance_input_t;

typedef struct skh_greedy_rebalance skh_greedy_rebalance_t;

/**
 * skh_greedy_rebalance_new() - start rebalancing one set of layers
 * @input: copied; its arrays must outlive the object
 * @map: expert + 1 in each slot, 0 for empty, [n_ranks][slots_per_rank]; borrowed,
 *	changed by each step
 * @max_set_copies: maximum copies to each rank in this set
 * @copies_left: copies to each rank still allowed in all sets together, [n_ranks]; borrowed,
 *	reduced by each copy
 *
 * Return: the object; free with skh_greedy_rebalance_free().
 */
skh_greedy_rebalance_t *skh_greedy_rebalance_new(const skh_greedy_rebalance_input_t *input,
						 uint32_t *map, uint32_t max_set_copies,
						 uint32_t *copies_left);
void skh_greedy_rebalance_free(skh_greedy_rebalance_t *state);

/**
 * skh_greedy_rebalance_step() - make one change that relieves the most loaded rank
 *
 * A change must reduce the skew by the minimum gain, or relieve one of several equally
 * loaded ranks without raising the skew.
 *
 * Return: false if there is no such change; the map is unchanged.
 */
bool skh_greedy_rebalance_step(skh_greedy_rebalance_t *state);

/**
 * skh_greedy_rebalance_skew() - compute the maximum rank load divided by the mean load
 *
 * The loads include the ranks' slowdowns; the mean is that of ranks at normal speed.
 */
double skh_greedy_rebalance_skew(const skh_greedy_rebalance_t *state);

#ifdef __cplusplus
}
#endif
#endif
