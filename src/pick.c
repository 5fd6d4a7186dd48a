#include "pick.h"

#include <glib.h>

/* Requests that a server with a failing part of 1 seems to have more than it has. */
#define FAILING_WEIGHT 12.0
/*
 * A step of a rank without writers takes as long as about so many writers do. What a slow
 * rank does at a pace of 2 counts as twice its writers and these, less these.
 */
#define IDLE_STEP_WRITERS 4.0
/* Time of an answer before one was seen; ordinary servers are near it. */
#define DEFAULT_MEAN_MS 60.0

static bool is_full(const skh_pick_view_t *view, const skh_candidate_t *candidate)
{
	return candidate->running >= candidate->slots + view->overcommit ||
	       view->now_us < candidate->full_till_us;
}

static bool is_avoided(const skh_pick_view_t *view, const skh_candidate_t *candidate)
{
	return view->now_us < candidate->avoid_till_us;
}

static double cost_of(const skh_pick_view_t *view, const skh_candidate_t *candidate)
{
	double mean_ms = candidate->mean_ms > 0.0 ? candidate->mean_ms : DEFAULT_MEAN_MS;
	double load = (double)candidate->running + FAILING_WEIGHT * candidate->failing;

	/* Work only tells servers with as many requests apart. */
	if (view->lock_step)
		return (load + IDLE_STEP_WRITERS) * MAX(candidate->pace, 1.0) +
		       candidate->work * 1e-6;
	return (load + 1.0) / (double)candidate->slots * mean_ms;
}

static int32_t pick_among(const skh_pick_view_t *view, bool avoided)
{
	int32_t best = SKH_PICK_NONE;
	double best_cost = 0.0;

	for (uint32_t i = 0; i < view->n; i++) {
		uint32_t at = (uint32_t)((view->draw + i) % view->n);
		const skh_candidate_t *candidate = &view->list[at];
		double cost;

		if (candidate->excluded || is_full(view, candidate) ||
		    is_avoided(view, candidate) != avoided)
			continue;
		cost = cost_of(view, candidate);
		if (best == SKH_PICK_NONE || cost < best_cost) {
			best = (int32_t)at;
			best_cost = cost;
		}
	}
	return best;
}

int32_t skh_pick_server(const skh_pick_view_t *view)
{
	bool any_sound = false;

	if (view->n == 0)
		return SKH_PICK_NONE;
	for (uint32_t i = 0; i < view->n; i++)
		any_sound =
			any_sound || (!view->list[i].excluded && !is_avoided(view, &view->list[i]));
	return pick_among(view, !any_sound);
}

bool skh_pick_has_any(const skh_pick_view_t *view)
{
	for (uint32_t i = 0; i < view->n; i++) {
		if (!view->list[i].excluded)
			return true;
	}
	return false;
}
