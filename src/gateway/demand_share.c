#include "demand_share.h"

#include <glib.h>

#define US_PER_S 1000000.0
/*
 * Added to each gateway's demand, so that single requests don't move the shares of a service that
 * is hardly used.
 */
#define DEMAND_PRIOR 0.5

static double max_change(double value, double usual, double elapsed_s)
{
	return SKH_DEMAND_SHARE_MAX_CHANGE_PER_S * MAX(value, usual) * elapsed_s;
}

double skh_demand_share_idle_demand(double mean_demand)
{
	return DEMAND_PRIOR / (mean_demand + DEMAND_PRIOR);
}

static double find_relative_demand(const skh_demand_share_t *share, const skh_demand_view_t *view,
				   double elapsed_s)
{
	double mean = MAX(view->total_demand, view->demand) / (double)view->n_gateways;
	double wanted = (view->demand + DEMAND_PRIOR) / (mean + DEMAND_PRIOR);
	double change = max_change(share->relative_demand, 1.0, elapsed_s);

	return CLAMP(wanted, share->relative_demand - change, share->relative_demand + change);
}

static double find_target(const skh_demand_share_t *share, const skh_demand_view_t *view)
{
	double equal = 1.0 / (double)view->n_gateways;

	if (view->n_reports == 0)
		return equal;
	return SKH_DEMAND_SHARE_FLOOR * equal +
	       (1.0 - SKH_DEMAND_SHARE_FLOOR) * share->relative_demand /
		       (share->relative_demand + view->others_relative_demand);
}

void skh_demand_share_update(skh_demand_share_t *share, const skh_demand_view_t *view,
			     int64_t now_us)
{
	double equal = 1.0 / (double)view->n_gateways;
	double elapsed_s = (double)(now_us - share->updated_us) / US_PER_S;

	if (share->updated_us == 0) {
		share->relative_demand = 1.0;
		share->share = equal;
		elapsed_s = 0.0;
	}
	share->updated_us = now_us;
	share->relative_demand = find_relative_demand(share, view, elapsed_s);
	share->share = view->n_gateways == 1
			       ? 1.0
			       : MIN(find_target(share, view),
				     share->share + max_change(share->share, equal, elapsed_s));
}
