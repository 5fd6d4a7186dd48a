#include "server_selection.h"

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

static bool is_full(const skh_selection_view_t *view, const skh_candidate_t *candidate)
{
	return candidate->running >= candidate->slots + view->overcommit ||
	       view->now_us < candidate->full_until_us;
}

static bool is_avoided(const skh_selection_view_t *view, const skh_candidate_t *candidate)
{
	return view->now_us < candidate->avoid_until_us;
}

static double cost_of(const skh_selection_view_t *view, const skh_candidate_t *candidate)
{
	double mean_ms = candidate->mean_ms > 0.0 ? candidate->mean_ms : DEFAULT_MEAN_MS;
	double load = (double)candidate->running + FAILING_WEIGHT * candidate->failure_ratio;

	/* Work only tells servers with as many requests apart. */
	if (view->lock_step)
		return (load + IDLE_STEP_WRITERS) * MAX(candidate->slowdown, 1.0) +
		       candidate->expected_tokens * 1e-6;
	return (load + 1.0) / (double)candidate->slots * mean_ms;
}

static int32_t pick_among(const skh_selection_view_t *view, bool avoided)
{
	int32_t best = SKH_SELECTION_NONE;
	double best_cost = 0.0;

	for (uint32_t i = 0; i < view->n_candidates; i++) {
		uint32_t at = (uint32_t)((view->random + i) % view->n_candidates);
		const skh_candidate_t *candidate = &view->candidates[at];
		double cost;

		if (candidate->excluded || is_full(view, candidate) ||
		    is_avoided(view, candidate) != avoided)
			continue;
		cost = cost_of(view, candidate);
		if (best == SKH_SELECTION_NONE || cost < best_cost) {
			best = (int32_t)at;
			best_cost = cost;
		}
	}
	return best;
}

int32_t skh_select_server(const skh_selection_view_t *view)
{
	bool any_sound = false;

	if (view->n_candidates == 0)
		return SKH_SELECTION_NONE;
	for (uint32_t i = 0; i < view->n_candidates; i++)
		any_sound = any_sound || (!view->candidates[i].excluded &&
					  !is_avoided(view, &view->candidates[i]));
	return pick_among(view, !any_sound);
}

bool skh_selection_has_candidate(const skh_selection_view_t *view)
{
	for (uint32_t i = 0; i < view->n_candidates; i++) {
		if (!view->candidates[i].excluded)
			return true;
	}
	return false;
}
