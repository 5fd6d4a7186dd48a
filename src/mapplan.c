#include "mapplan.h"

#include "rebalance.h"
#include "greedy_rebalance.h"

#include <glib.h>
#include <string.h>

/* One set as the balancer sees it. */
typedef struct set_view {
	const skh_engine_spec_t *shape;
	uint32_t ranks;
	uint32_t padding; /* experts without work that fill empty places */
	uint32_t *placement;
	double *shares;
	double speed[SKH_REBALANCE_MAX_RANKS];
	uint32_t domain[SKH_REBALANCE_MAX_RANKS];
} set_view_t;

/*
 * Empty places hold experts without work, each of them on every rank that needs
 * it, so that any of them may give its place up.
 */
static void fill_set(set_view_t *view, const double *shares, const double *paces,
		     const uint32_t *map)
{
	uint32_t places = view->shape->expert_slots;

	for (uint32_t i = 0; i < view->shape->experts_per_set; i++)
		view->shares[i] = shares[i];
	for (uint32_t i = 0; i < view->padding; i++)
		view->shares[view->shape->experts_per_set + i] = 0.0;
	for (uint32_t rank = 0; rank < view->ranks; rank++) {
		uint32_t pad = view->shape->experts_per_set;

		view->speed[rank] = paces ? 1.0 / paces[rank] : 1.0;
		view->domain[rank] = rank;
		for (uint32_t i = 0; i < places; i++) {
			uint32_t at = rank * places + i;

			view->placement[at] = map[at] > 0 ? map[at] - 1 : pad++;
		}
	}
}

static uint32_t most_empty(const skh_engine_spec_t *shape, uint32_t ranks, const uint32_t *map)
{
	uint32_t most = 0;

	for (uint32_t rank = 0; rank < ranks; rank++) {
		uint32_t empty = 0;

		for (uint32_t i = 0; i < shape->expert_slots; i++)
			empty += map[rank * shape->expert_slots + i] == 0;
		most = MAX(most, empty);
	}
	return most;
}

static void open_set(set_view_t *view, const skh_engine_spec_t *shape, uint32_t ranks,
		     const double *shares, const double *paces, const uint32_t *map)
{
	view->shape = shape;
	view->ranks = ranks;
	view->padding = most_empty(shape, ranks, map);
	view->placement = g_new(uint32_t, ranks * shape->expert_slots);
	view->shares = g_new(double, shape->experts_per_set + view->padding);
	fill_set(view, shares, paces, map);
}

static void close_set(set_view_t *view)
{
	g_free(view->placement);
	g_free(view->shares);
}

static skh_rebalance_input_t balance_view(const set_view_t *view,
					  const skh_mapplan_options_t *weights,
					  const uint32_t *rank_loads)
{
	return (skh_rebalance_input_t){
		.n_ranks = view->ranks,
		.n_slots = view->shape->expert_slots,
		.n_experts = view->shape->experts_per_set + view->padding,
		.placement = view->placement,
		.forecast_shares = view->shares,
		.speed = view->speed,
		.failure_domain = view->domain,
		.skew_weight = weights->skew_weight,
		.cost_weight = weights->cost_weight,
		.copy_cost = weights->copy_cost,
		.max_copies = SKH_REBALANCE_MAX_COPIES,
		.max_rank_copies = rank_loads,
	};
}

static bool holds(const uint32_t *row, uint32_t places, uint32_t expert)
{
	for (uint32_t i = 0; i < places; i++) {
		if (row[i] == expert + 1)
			return true;
	}
	return false;
}

static uint32_t count_new(const uint32_t *before, const uint32_t *row, uint32_t places)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < places; i++)
		n += row[i] > 0 && !holds(before, places, row[i] - 1);
	return n;
}

/* Whether the rank may take one more new expert in this set. */
static bool has_room(const skh_engine_spec_t *shape, const skh_mapplan_options_t *weights,
		     const uint32_t *before, const uint32_t *row, uint32_t new_so_far)
{
	uint32_t in_set = count_new(before, row, shape->expert_slots);

	return in_set < shape->spare_slots && new_so_far + in_set < weights->max_new_per_rank;
}

/* Loads up to the first that a rank has no room for; any such beginning is a whole map. */
static void apply_moves(const skh_engine_spec_t *shape, uint32_t ranks,
			const skh_mapplan_options_t *weights, const skh_rebalance_plan_t *plan,
			const uint32_t *before, const uint32_t *new_so_far, uint32_t *map)
{
	uint32_t places = shape->expert_slots;

	(void)ranks;
	for (uint32_t i = 0; i < plan->n_copies; i++) {
		const skh_expert_copy_t *move = &plan->copies[i];
		uint32_t *row = map + move->rank * places;
		const uint32_t *row_before = before + move->rank * places;

		if (move->expert >= shape->experts_per_set) {
			row[move->slot] = 0;
			continue;
		}
		if (!holds(row_before, places, move->expert) &&
		    !has_room(shape, weights, row_before, row, new_so_far[move->rank]))
			return;
		row[move->slot] = move->expert + 1;
	}
}

/* Skew that a load of a quick plan must bring. */
#define RELIEF_LEAST_GAIN 0.01

static skh_greedy_rebalance_input_t relief_view(const skh_engine_spec_t *shape, uint32_t ranks,
						const double *shares, const double *paces)
{
	return (skh_greedy_rebalance_input_t){
		.n_ranks = ranks,
		.n_slots = shape->expert_slots,
		.n_experts = shape->experts_per_set,
		.shares = shares,
		.slowdowns = paces,
		.min_gain = RELIEF_LEAST_GAIN,
	};
}

/* The set with most skew that something can still be done about; NULL when none is left. */
static skh_greedy_rebalance_t *most_skewed(skh_greedy_rebalance_t **reliefs, const bool *done,
					   uint32_t sets, double target, uint32_t *at)
{
	skh_greedy_rebalance_t *most = NULL;

	for (uint32_t set = 0; set < sets; set++) {
		if (done[set] || skh_greedy_rebalance_skew(reliefs[set]) <= target ||
		    (most &&
		     skh_greedy_rebalance_skew(reliefs[set]) <= skh_greedy_rebalance_skew(most)))
			continue;
		most = reliefs[set];
		*at = set;
	}
	return most;
}

/* Loads go to the set that needs them most: a pass lasts as long as all sets together. */
static void relieve_sets(const skh_engine_spec_t *shape, uint32_t ranks,
			 const skh_mapplan_options_t *weights, const double *shares, uint32_t *map)
{
	skh_greedy_rebalance_t **reliefs = g_new0(skh_greedy_rebalance_t *, shape->expert_sets);
	bool *done = g_new0(bool, shape->expert_sets);
	uint32_t loads_left[SKH_REBALANCE_MAX_RANKS];
	skh_greedy_rebalance_t *next;
	uint32_t at = 0;

	for (uint32_t rank = 0; rank < ranks; rank++)
		loads_left[rank] = weights->max_new_per_rank;
	for (uint32_t set = 0; set < shape->expert_sets; set++) {
		skh_greedy_rebalance_input_t view =
			relief_view(shape, ranks, shares + (size_t)set * shape->experts_per_set,
				    weights->slowdowns);

		reliefs[set] = skh_greedy_rebalance_new(
			&view, map + (size_t)set * ranks * shape->expert_slots, shape->spare_slots,
			loads_left);
	}
	while ((next = most_skewed(reliefs, done, shape->expert_sets, weights->greedy_target_skew,
				   &at)) != NULL)
		done[at] = !skh_greedy_rebalance_step(next);
	for (uint32_t set = 0; set < shape->expert_sets; set++)
		skh_greedy_rebalance_free(reliefs[set]);
	g_free(reliefs);
	g_free(done);
}

static void search_set(const skh_engine_spec_t *shape, uint32_t ranks,
		       const skh_mapplan_options_t *weights, const double *shares, uint32_t *map,
		       const uint32_t *new_so_far)
{
	size_t places = (size_t)ranks * shape->expert_slots;
	g_autofree uint32_t *before = g_memdup2(map, places * sizeof(*map));
	g_autofree skh_rebalance_plan_t *plan = g_new0(skh_rebalance_plan_t, 1);
	set_view_t view;
	skh_rebalance_input_t balance;
	uint32_t rank_loads[SKH_REBALANCE_MAX_RANKS];

	for (uint32_t rank = 0; rank < ranks; rank++)
		rank_loads[rank] =
			MIN(shape->spare_slots, weights->max_new_per_rank - new_so_far[rank]);
	open_set(&view, shape, ranks, shares, weights->slowdowns, map);
	balance = balance_view(&view, weights, rank_loads);
	if (skh_rebalance_compute_plan(&balance, plan))
		apply_moves(shape, ranks, weights, plan, before, new_so_far, map);
	close_set(&view);
}

static void search_sets(const skh_engine_spec_t *shape, uint32_t ranks,
			const skh_mapplan_options_t *weights, const double *shares, uint32_t *map)
{
	size_t places = (size_t)ranks * shape->expert_slots;
	uint32_t new_so_far[SKH_REBALANCE_MAX_RANKS] = { 0 };

	for (uint32_t set = 0; set < shape->expert_sets; set++) {
		uint32_t *set_map = map + set * places;
		g_autofree uint32_t *before = g_memdup2(set_map, places * sizeof(*map));

		search_set(shape, ranks, weights, shares + (size_t)set * shape->experts_per_set,
			   set_map, new_so_far);
		for (uint32_t rank = 0; rank < ranks; rank++)
			new_so_far[rank] += count_new(before + rank * shape->expert_slots,
						      set_map + rank * shape->expert_slots,
						      shape->expert_slots);
	}
}

double skh_mapplan_skew(const skh_engine_spec_t *shape, uint32_t ranks, const double *shares,
			const double *paces, const uint32_t *map)
{
	uint32_t none[SKH_REBALANCE_MAX_RANKS] = { 0 };
	double sum = 0.0;

	for (uint32_t set = 0; set < shape->expert_sets; set++) {
		skh_greedy_rebalance_input_t view = relief_view(
			shape, ranks, shares + (size_t)set * shape->experts_per_set, paces);
		skh_greedy_rebalance_t *relief = skh_greedy_rebalance_new(
			&view, (uint32_t *)map + (size_t)set * ranks * shape->expert_slots, 0,
			none);

		sum += skh_greedy_rebalance_skew(relief);
		skh_greedy_rebalance_free(relief);
	}
	return sum / (double)shape->expert_sets;
}

static void count_loads(const skh_engine_spec_t *shape, uint32_t ranks, const uint32_t *before,
			const uint32_t *map, skh_mapplan_result_t *result)
{
	uint32_t places = shape->expert_slots;

	for (uint32_t rank = 0; rank < ranks; rank++) {
		uint32_t n = 0;

		for (uint32_t set = 0; set < shape->expert_sets; set++) {
			size_t at = ((size_t)set * ranks + rank) * places;

			n += count_new(before + at, map + at, places);
		}
		result->n_copies += n;
		result->max_copies_per_rank = MAX(result->max_copies_per_rank, n);
	}
}

/* Engines tell a rank's experts without gaps: a map that comes back must be the same. */
static void close_gaps(const skh_engine_spec_t *shape, uint32_t ranks, uint32_t *map)
{
	for (size_t row = 0; row < (size_t)shape->expert_sets * ranks; row++) {
		uint32_t *places = map + row * shape->expert_slots;
		uint32_t n = 0;

		for (uint32_t i = 0; i < shape->expert_slots; i++) {
			if (places[i] > 0)
				places[n++] = places[i];
		}
		memset(places + n, 0, (shape->expert_slots - n) * sizeof(*places));
	}
}

void skh_mapplan_make(const skh_engine_spec_t *shape, uint32_t ranks,
		      const skh_mapplan_options_t *weights, const double *shares, uint32_t *map,
		      skh_mapplan_result_t *result)
{
	size_t size = (size_t)shape->expert_sets * ranks * shape->expert_slots;
	g_autofree uint32_t *before = g_memdup2(map, size * sizeof(*map));

	*result = (skh_mapplan_result_t){
		.skew_before = skh_mapplan_skew(shape, ranks, shares, weights->slowdowns, map),
	};
	if (weights->greedy_only)
		relieve_sets(shape, ranks, weights, shares, map);
	else
		search_sets(shape, ranks, weights, shares, map);
	close_gaps(shape, ranks, map);
	count_loads(shape, ranks, before, map, result);
	result->skew_after = skh_mapplan_skew(shape, ranks, shares, weights->slowdowns, map);
}

static bool is_row_valid(const skh_engine_spec_t *shape, const uint32_t *row, uint64_t *seen)
{
	for (uint32_t i = 0; i < shape->expert_slots; i++) {
		if (row[i] > shape->experts_per_set)
			return false;
		for (uint32_t j = 0; row[i] > 0 && j < i; j++) {
			if (row[j] == row[i])
				return false;
		}
		if (row[i] > 0)
			seen[row[i] - 1]++;
	}
	return true;
}

bool skh_mapplan_is_valid(const skh_engine_spec_t *shape, uint32_t ranks, const uint32_t *map)
{
	uint64_t *seen = g_new(uint64_t, shape->experts_per_set);
	bool valid = true;

	for (uint32_t set = 0; valid && set < shape->expert_sets; set++) {
		memset(seen, 0, sizeof(*seen) * shape->experts_per_set);
		for (uint32_t rank = 0; valid && rank < ranks; rank++)
			valid = is_row_valid(
				shape, map + ((size_t)set * ranks + rank) * shape->expert_slots,
				seen);
		for (uint32_t i = 0; i < shape->experts_per_set; i++)
			valid = valid && seen[i] > 0;
	}
	g_free(seen);
	return valid;
}
