#ifndef SKH_DEMAND_SHARE_H
#define SKH_DEMAND_SHARE_H

/**
 * DOC: Share of the capacity by demand
 *
 * Computes the share of a service's capacity that one gateway may use, from its own demand and
 * the demand of all gateways.
 *
 * Load pattern: the traffic of each failure domain swings by half within seconds, with a phase
 * of its own. With equal shares the gateways of one domain have no capacity left while those of
 * another use little of theirs.
 *
 * A gateway's demand is the requests that arrive in a second and those that wait. Each gateway
 * reports it, and its demand relative to the mean of all gateways, which it changes by at most a
 * quarter a second. A quarter of the capacity is divided equally, so that a gateway without
 * demand can begin at once, and the rest in proportion to the relative demand. The shares of all
 * gateways therefore sum to 1 as far as their views agree, while they change and when the traffic
 * of all grows at once; no gateway needs to know the others' shares. A share also rises by at
 * most a quarter a second when another gateway stops.
 *
 * Does no I/O. The caller owns the state and serialises calls. Times are in microseconds on one
 * monotonic clock.
 */

#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/* Smallest share of a gateway, relative to an equal share. */
#define SKH_DEMAND_SHARE_FLOOR 0.25
/* Largest change of a relative demand or rise of a share in a second, relative to its value. */
#define SKH_DEMAND_SHARE_MAX_CHANGE_PER_S 0.25

/** struct skh_demand_share - a gateway's share of one service; zero-initialised it is unset */
typedef struct skh_demand_share {
	double relative_demand; /* own demand over the mean, as reported; 1 before the first */
	double share;		/* 0 to 1 */
	int64_t updated_us;	/* 0 before the first update */
} skh_demand_share_t;

/** struct skh_demand_view - what is known of the gateways' demand */
typedef struct skh_demand_view {
	double demand;		       /* of this gateway */
	double total_demand;	       /* of all gateways, including this one */
	double others_relative_demand; /* of the other gateways, as they report it */
	uint32_t n_gateways;	       /* listed, including this one; at least 1 */
	uint32_t n_reports;	       /* other gateways whose reports are current */
} skh_demand_view_t;

/**
 * skh_demand_share_idle_demand() - relative demand of a gateway without any demand
 * @mean_demand: mean demand of a gateway
 */
double skh_demand_share_idle_demand(double mean_demand);

/** skh_demand_share_update() - compute relative demand and share; without reports the equal one */
void skh_demand_share_update(skh_demand_share_t *share, const skh_demand_view_t *view,
			     int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
