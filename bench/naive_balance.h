#ifndef NAIVE_BALANCE_H
#define NAIVE_BALANCE_H

/*
 * The naive rival of src/rebalance.h: places every expert anew, greedily, and
 * relabels the ranks so that fewer weights are loaded.
 */

#include "rebalance.h"

/* Fills @placement, [n_ranks][n_slots]; returns the weights that have to be loaded. */
uint32_t naive_balance(const skh_rebalance_input_t *view, uint32_t *placement);

/* Slots of @after whose expert did not stand on the same rank in @before. */
uint32_t naive_count_loads(const skh_rebalance_input_t *view, const uint32_t *before,
			   const uint32_t *after);

#endif
