#ifndef SKH_DEMAND_H
#define SKH_DEMAND_H

/**
 * DOC: What a group's tokens ask of its experts
 *
 * Pure. The counts of all ranks become the shares that each expert is expected to
 * have. Answers a shift of demand: tokens turn to other experts within a pass, and
 * a forecast that only smooths would follow it for seconds. The interval in which
 * the shift is seen is stretched to where it ends; the next one stands alone.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_demand skh_demand_t;

/** enum skh_demand_news - what an observation has brought */
typedef enum skh_demand_news {
	SKH_DEMAND_NONE,  /* too few counts, or too soon */
	SKH_DEMAND_FRESH, /* the shares are newer */
	SKH_DEMAND_SHIFT  /* and demand has shifted */
} skh_demand_news_t;

skh_demand_t *skh_demand_new(const skh_engine_shape_t *shape);
void skh_demand_free(skh_demand_t *demand);

/** skh_demand_counts() - of the interval under way, [sets][experts]; reports are added here */
double *skh_demand_counts(skh_demand_t *demand);

/** skh_demand_observe() - end the interval if it is due and its counts say enough */
skh_demand_news_t skh_demand_observe(skh_demand_t *demand, int64_t now_us);

/** skh_demand_gone() - how far the last shift had gone when it was seen, 0 to 1 */
double skh_demand_gone(const skh_demand_t *demand);

/** skh_demand_shares() - expected, [sets][experts]; a set's sum is 1 */
const double *skh_demand_shares(const skh_demand_t *demand);

#ifdef __cplusplus
}
#endif
#endif
