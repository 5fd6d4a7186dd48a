#ifndef SKH_GREEDY_REBALANCE_H
#define SKH_GREEDY_REBALANCE_H

/**
 * DOC: Quick relief of the fullest ranks
 *
 * Pure. Answers a sudden shift of demand: one expert draws a fifth of all
 * tokens and stands on a single rank. Adds replicas of the heaviest experts of
 * the fullest rank where they help most, one load at a time, until nothing more
 * is gained. It looks at far less than rebalance.h and costs a small part of it,
 * so that it fits a group of 63 ranks into a small share of a core.
 *
 * And a rank that turns slow, for which all others wait: its work counts as many
 * times as it takes longer, so that its experts come to stand elsewhere. A replica
 * is given up without a load where the other ranks can bear its part.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_GREEDY_REBALANCE_MAX_RANKS 64

/** struct skh_greedy_rebalance_input - one set of layers; all borrowed */
typedef struct skh_greedy_rebalance_input {
	uint32_t n_ranks;
	uint32_t n_slots;
	uint32_t n_experts;
	const double *shares; /* of tokens, [@n_experts], sum 1 */
	const double
		*slowdowns; /* time that a rank takes, 1 is usual, [@n_ranks]; NULL for all 1 */
	double min_gain;    /* skew that a load must bring */
} skh_greedy_rebalance_input_t;

typedef struct skh_greedy_rebalance skh_greedy_rebalance_t;

/**
 * skh_greedy_rebalance_new() - work on one set
 * @view: copied; what it points to must outlive the relief
 * @map: changed for the better; expert + 1 in each place, 0 for none, [ranks][places]
 * @spare: loads that each rank may get in this set
 * @loads_left: loads that each rank may still get in all sets; lowered by those made
 */
skh_greedy_rebalance_t *skh_greedy_rebalance_new(const skh_greedy_rebalance_input_t *view,
						 uint32_t *map, uint32_t spare,
						 uint32_t *loads_left);
void skh_greedy_rebalance_free(skh_greedy_rebalance_t *relief);

/** skh_greedy_rebalance_step() - relieve the fullest rank once; false when nothing more is gained */
bool skh_greedy_rebalance_step(skh_greedy_rebalance_t *relief);

/** skh_greedy_rebalance_skew() - greatest rank load, in its own time, over the mean at usual pace */
double skh_greedy_rebalance_skew(const skh_greedy_rebalance_t *relief);

#ifdef __cplusplus
}
#endif
#endif
