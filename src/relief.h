#ifndef SKH_RELIEF_H
#define SKH_RELIEF_H

/**
 * DOC: Quick relief of the fullest ranks
 *
 * Pure. Answers a sudden shift of demand: one expert draws a fifth of all
 * tokens and stands on a single rank. Adds replicas of the heaviest experts of
 * the fullest rank where they help most, one load at a time, until nothing more
 * is gained. It looks at far less than balance.h and costs a small part of it,
 * so that it fits a group of 63 ranks into a small share of a core.
 */

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_RELIEF_MAX_RANKS 64

/** struct skh_relief_view - one set of layers; all borrowed */
typedef struct skh_relief_view {
	uint32_t n_ranks;
	uint32_t n_places;
	uint32_t n_experts;
	const double *shares; /* of tokens, [@n_experts], sum 1 */
	double target;	      /* skew that is good enough */
	double least_gain;    /* skew that a load must bring */
} skh_relief_view_t;

/**
 * skh_relief_make() - change @map for the better
 * @map: expert + 1 in each place, 0 for none, [ranks][places]
 * @loads_left: loads that each rank may still get; lowered by those made
 * Return: number of loads.
 */
uint32_t skh_relief_make(const skh_relief_view_t *view, uint32_t *map, uint32_t *loads_left);

/** skh_relief_skew() - greatest rank load over the mean */
double skh_relief_skew(const skh_relief_view_t *view, const uint32_t *map);

#ifdef __cplusplus
}
#endif
#endif
