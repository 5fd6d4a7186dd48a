#ifndef SKH_COPY_LIMIT_H
#define SKH_COPY_LIMIT_H

/**
 * DOC: Limit of the expert copies in one map change
 *
 * Load pattern: a demand shift makes the passes of a loaded group nearly as long as the gap
 * objective of its streams. A rank that copies experts takes longer for its part of a pass, and all
 * ranks wait for it. With five or six copies in one pass the pass exceeds the objective, and every
 * stream that runs then is late. With two copies at a time the passes stay below it, and the map
 * that fits the demand is complete one or two changes later.
 *
 * The first change after a shift is a relief change: it copies what removes the worst imbalance.
 *
 * Pure functions without state; any thread may call them.
 */

#include "dialect.h"

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/**
 * skh_copy_limit_per_rank() - new experts that a rank may get in one map change
 * @spec: size of an expert and the rate at which ranks copy
 * @is_relief: the change is the first one after a demand shift
 *
 * Return: 1 or more.
 */
uint32_t skh_copy_limit_per_rank(const skh_engine_spec_t *spec, bool is_relief);

#ifdef __cplusplus
}
#endif
#endif
