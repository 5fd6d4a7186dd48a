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

/* Up to this interval between reports few gateways start requests, and their counts are current. */
#define CURRENT_INTERVAL_US ((int64_t)300000)
/*
 * Reports that are further apart are used up to this interval where a server gets this many
 * requests or fewer from one report to the next. Replayed with 10 to 27 gateways: at 0.16 requests
 * the worst server has 4.6 requests by reports and 5.4 by shares, at 0.31 it has 5.5 and 5.4.
 */
#define MAX_REPORT_INTERVAL_US ((int64_t)1000000)
#define MAX_UNREPORTED_STARTS  0.15
/*
 * A server's statement of its load loses its weight over this time, about as long as a request
 * takes.
 */
#define STATEMENT_EXPIRY_US ((int64_t)2000000)
/*
 * Part of a stated difference from the mean load that a gateway makes up for. With all of it
 * gateways that heard of the same server together send it too much.
 */
#define STATEMENT_GAIN 0.7
/* A server that stated no free slot is asked again after about the time that one takes to free. */
#define FULL_STATEMENT_US ((int64_t)100000)
/*
 * Requests beyond the mean delay the group more at a slow rank, so it gets fewer than in proportion.
 * Replayed with 22 gateways and a slowdown of 1.5: at 1.0 the group is delayed as by 12.0 requests
 * at a rank and 0.6 in 100 arrivals are rejected, at 1.5 as by 10.9 (2.0), at 2.2 as by 11.0 (7.4).
 */
#define SLOW_RANK_MARGIN 1.5
/*
 * Requests by which a server of another failure domain counts as more loaded. Larger values leave
 * the waves of each domain's traffic to its own servers.
 */
#define OTHER_DOMAIN_PENALTY_REQUESTS 0.25

bool skh_server_share_contains(const skh_server_share_t *share, uint32_t position,
			       uint32_t n_servers)
{
	uint64_t begin = (uint64_t)share->index * n_servers;
	uint64_t end = begin + n_servers;

	/* Both in units of 1 / count of a server. */
	return ((uint64_t)position + 1) * share->count > begin &&
	       (uint64_t)position * share->count < end;
}

bool skh_selection_can_use_reports(int64_t interval_us, double starts_per_s, uint32_t n_servers)
{
	double unreported_starts =
		starts_per_s * (double)interval_us / 1e6 / (double)MAX(n_servers, 1);

	return interval_us < CURRENT_INTERVAL_US || (interval_us <= MAX_REPORT_INTERVAL_US &&
						     unreported_starts <= MAX_UNREPORTED_STARTS);
}

/* What the servers' statements and the own requests tell of all candidates. */
typedef struct known_load {
	bool has_statements;
	double mean_others; /* requests of other gateways at a server */
	double mean_total;  /* requests at a server */
} known_load_t;

/* Weight of a server's statement, 1 when it is new. */
static double get_statement_weight(const skh_selection_input_t *view,
				   const skh_candidate_t *candidate)
{
	int64_t age_us = view->now_us - candidate->others_us;

	if (candidate->others_us == 0 || age_us >= STATEMENT_EXPIRY_US)
		return 0.0;
	return 1.0 - (double)age_us / (double)STATEMENT_EXPIRY_US;
}

static known_load_t find_known_load(const skh_selection_input_t *view)
{
	known_load_t known = { .has_statements = false };
	double sum_weights = 0.0;
	double sum_running = 0.0;

	if (view->share.count == 0)
		return known;
	for (uint32_t i = 0; i < view->n_candidates; i++) {
		double weight = get_statement_weight(view, &view->candidates[i]);

		sum_weights += weight;
		known.mean_others += weight * view->candidates[i].others_running;
		sum_running += view->candidates[i].running;
	}
	sum_running /= view->n_candidates;
	known.has_statements = sum_weights > 0.0;
	if (known.has_statements)
		known.mean_others /= sum_weights;
	else
		known.mean_others = sum_running * (view->share.count - 1);
	known.mean_total = known.mean_others + sum_running;
	return known;
}

static bool is_full(const skh_selection_input_t *view, const skh_candidate_t *candidate)
{
	uint32_t limit = candidate->slots + view->overcommit;
	bool is_stated_full = view->share.count > 0 && candidate->others_us != 0 &&
			      view->now_us - candidate->others_us < FULL_STATEMENT_US &&
			      candidate->running + candidate->others_running >= limit;

	return candidate->running >= limit || is_stated_full ||
	       view->now_us < candidate->full_until_us || candidate->is_cache_full;
}

static bool is_avoided(const skh_selection_input_t *view, const skh_candidate_t *candidate)
{
	return view->now_us < candidate->avoid_until_us;
}

/* Without current counts or statements the gateways of a busy domain would fill its servers. */
static double get_domain_penalty(const skh_selection_input_t *view, const known_load_t *known,
				 const skh_candidate_t *candidate)
{
	bool knows_loads = view->share.count == 0 || known->has_statements;

	return candidate->is_in_other_domain && knows_loads ? OTHER_DOMAIN_PENALTY_REQUESTS : 0.0;
}

/*
 * Part of a penalty for the requests of all gateways that this one adds to its own count. What the
 * others leave out because of the penalty is missing in a statement, so the statement's weight
 * counts in full.
 */
static double scale_penalty(const skh_selection_input_t *view, const known_load_t *known,
			    const skh_candidate_t *candidate, double penalty)
{
	double known_part = STATEMENT_GAIN * get_statement_weight(view, candidate);

	if (view->share.count == 0 || penalty >= known->mean_total)
		return penalty;
	return penalty * (known_part + (1.0 - known_part) / view->share.count);
}

/* Requests by which a slow rank should have fewer than a normal one. */
static double get_slowdown_penalty(const known_load_t *known, const skh_candidate_t *candidate)
{
	double slowdown = MAX(candidate->slowdown, 1.0);

	return SLOW_RANK_MARGIN * (known->mean_total + IDLE_STEP_REQUESTS) * (1.0 - 1.0 / slowdown);
}

static double estimate_load(const skh_selection_input_t *view, const known_load_t *known,
			    uint32_t position)
{
	const skh_candidate_t *candidate = &view->candidates[position];
	bool is_in_share = view->share.count == 0 ||
			   skh_server_share_contains(&view->share, position, view->n_candidates);
	double load = (double)candidate->running + candidate->warmup_requests +
		      (is_in_share ? 0.0 : OTHER_SHARE_PENALTY_REQUESTS) +
		      get_domain_penalty(view, known, candidate) +
		      scale_penalty(view, known, candidate,
				    FAILURE_PENALTY_REQUESTS * candidate->failure_ratio);

	if (view->share.count > 0)
		load += STATEMENT_GAIN * get_statement_weight(view, candidate) *
			((double)candidate->others_running - known->mean_others);
	return load;
}

static double estimate_cost(const skh_selection_input_t *view, const known_load_t *known,
			    uint32_t position)
{
	const skh_candidate_t *candidate = &view->candidates[position];
	double load = estimate_load(view, known, position);
	double mean_ms =
		candidate->mean_latency_ms > 0.0 ? candidate->mean_latency_ms : DEFAULT_RESPONSE_MS;

	if (!view->is_lock_step)
		return (MAX(load, 0.0) + 1.0) / (double)candidate->slots * mean_ms;
	if (view->share.count == 0)
		load = (load + IDLE_STEP_REQUESTS) * MAX(candidate->slowdown, 1.0);
	else
		load += scale_penalty(view, known, candidate,
				      get_slowdown_penalty(known, candidate));
	/* The small factor makes expected_tokens break ties between equally loaded ranks only. */
	return load + candidate->expected_tokens * 1e-6;
}

static int32_t select_cheapest(const skh_selection_input_t *view, bool from_avoided)
{
	const known_load_t known = find_known_load(view);
	int32_t best = SKH_SELECTION_NONE;
	double best_cost = 0.0;

	for (uint32_t i = 0; i < view->n_candidates; i++) {
		uint32_t position = (uint32_t)((view->random + i) % view->n_candidates);
		const skh_candidate_t *candidate = &view->candidates[position];
		double cost;

		if (candidate->is_excluded || is_full(view, candidate) ||
		    is_avoided(view, candidate) != from_avoided)
			continue;
		cost = estimate_cost(view, &known, position);
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
