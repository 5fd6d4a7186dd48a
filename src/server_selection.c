#include "server_selection.h"

#include <glib.h>

/* Requests added to the load of a server with a failure ratio of 1; proportional below. */
#define FAILURE_PENALTY_REQUESTS 12.0
/*
 * Duration of a rank's step without requests, expressed as the number of generating requests
 * that add about the same duration to a step. A rank with n requests and a slowdown of 2 is
 * therefore as loaded as a normal rank with 2 * (n + IDLE_STEP_REQUESTS) - IDLE_STEP_REQUESTS
 * requests.
 */
#define IDLE_STEP_REQUESTS 4.0
/*
 * Requests that a gateway puts on a server of its own share before it uses others: about half of
 * the requests that a server runs at a usual load, so that shares even out.
 */
#define OTHER_SHARE_PENALTY_REQUESTS 2.0
/*
 * Assumed mean response time of a server without completed requests; that of typical servers is
 * close to it.
 */
#define DEFAULT_RESPONSE_MS 60.0

bool skh_server_share_contains(const skh_server_share_t *share, uint32_t position,
			       uint32_t n_servers)
{
	uint64_t begin = (uint64_t)share->index * n_servers;
	uint64_t end = begin + n_servers;

	/* Both in units of 1 / count of a server. */
	return ((uint64_t)position + 1) * share->count > begin &&
	       (uint64_t)position * share->count < end;
}

static bool is_full(const skh_selection_input_t *view, const skh_candidate_t *candidate)
{
	return candidate->running >= candidate->slots + view->overcommit ||
	       view->now_us < candidate->full_until_us;
}

static bool is_avoided(const skh_selection_input_t *view, const skh_candidate_t *candidate)
{
	return view->now_us < candidate->avoid_until_us;
}

static double estimate_cost(const skh_selection_input_t *view, uint32_t position)
{
	const skh_candidate_t *candidate = &view->candidates[position];
	bool is_in_share = view->share.count == 0 ||
			   skh_server_share_contains(&view->share, position, view->n_candidates);
	double mean_ms =
		candidate->mean_latency_ms > 0.0 ? candidate->mean_latency_ms : DEFAULT_RESPONSE_MS;
	double load = (double)candidate->running + candidate->warmup_requests +
		      FAILURE_PENALTY_REQUESTS * candidate->failure_ratio +
		      (is_in_share ? 0.0 : OTHER_SHARE_PENALTY_REQUESTS);

	/* The small factor makes expected_tokens break ties between equally loaded ranks only. */
	if (view->is_lock_step)
		return (load + IDLE_STEP_REQUESTS) * MAX(candidate->slowdown, 1.0) +
		       candidate->expected_tokens * 1e-6;
	return (load + 1.0) / (double)candidate->slots * mean_ms;
}

static int32_t select_cheapest(const skh_selection_input_t *view, bool from_avoided)
{
	int32_t best = SKH_SELECTION_NONE;
	double best_cost = 0.0;

	for (uint32_t i = 0; i < view->n_candidates; i++) {
		uint32_t position = (uint32_t)((view->random + i) % view->n_candidates);
		const skh_candidate_t *candidate = &view->candidates[position];
		double cost;

		if (candidate->is_excluded || is_full(view, candidate) ||
		    is_avoided(view, candidate) != from_avoided)
			continue;
		cost = estimate_cost(view, position);
		if (best == SKH_SELECTION_NONE || cost < best_cost) {
			best = (int32_t)position;
			best_cost = cost;
		}
	}
	return best;
}

int32_t skh_select_server(const skh_selection_input_t *view)
{
	bool has_unavoided = false;

	if (view->n_candidates == 0)
		return SKH_SELECTION_NONE;
	for (uint32_t i = 0; i < view->n_candidates; i++)
		has_unavoided = has_unavoided || (!view->candidates[i].is_excluded &&
						  !is_avoided(view, &view->candidates[i]));
	return select_cheapest(view, !has_unavoided);
}

bool skh_selection_has_candidate(const skh_selection_input_t *view)
{
	for (uint32_t i = 0; i < view->n_candidates; i++) {
		if (!view->candidates[i].is_excluded)
			return true;
	}
	return false;
}
