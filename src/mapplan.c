#include "mapplan.h"

#include "balance.h"
#include "relief.h"

#include <glib.h>
#include <string.h>

/* One set as the balancer sees it. */
typedef struct set_view {
	const skh_engine_shape_t *shape;
	uint32_t ranks;
	uint32_t padding; /* experts without work that fill empty places */
	uint32_t *placement;
	double *shares;
	double speed[SKH_BALANCE_MAX_RANKS];
	uint32_t domain[SKH_BALANCE_MAX_RANKS];
} set_view_t;

/*
 * Empty places hold experts without work, each of them on every rank that needs
 * it, so that any of them may give its place up.
 */
static void fill_set(set_view_t *view, const double *shares, const double *paces,
		     const uint32_t *map)
{
	uint32_t places = view->shape->placements;

	for (uint32_t i = 0; i < view->shape->experts; i++)
		view->shares[i] = shares[i];
	for (uint32_t i = 0; i < view->padding; i++)
		view->shares[view->shape->experts + i] = 0.0;
	for (uint32_t rank = 0; rank < view->ranks; rank++) {
		uint32_t pad = view->shape->experts;

		view->speed[rank] = paces ? 1.0 / paces[rank] : 1.0;
		view->domain[rank] = rank;
		for (uint32_t i = 0; i < places; i++) {
			uint32_t at = rank * places + i;

			view->placement[at] = map[at] > 0 ? map[at] - 1 : pad++;
		}
	}
}

static uint32_t most_empty(const skh_engine_shape_t *shape, uint32_t ranks, const uint32_t *map)
{
	uint32_t most = 0;

	for (uint32_t rank = 0; rank < ranks; rank++) {
		uint32_t empty = 0;

		for (uint32_t i = 0; i < shape->placements; i++)
			empty += map[rank * shape->placements + i] == 0;
		most = MAX(most, empty);
	}
	return most;
}

static void open_set(set_view_t *view, const skh_engine_shape_t *shape, uint32_t ranks,
		     const double *shares, const double *paces, const uint32_t *map)
{
	view->shape = shape;
	view->ranks = ranks;
	view->padding = most_empty(shape, ranks, map);
	view->placement = g_new(uint32_t, ranks * shape->placements);
	view->shares = g_new(double, shape->experts + view->padding);
	fill_set(view, shares, paces, map);
}

static void close_set(set_view_t *view)
{
	g_free(view->placement);
	g_free(view->shares);
}

static skh_balance_view_t balance_view(const set_view_t *view, const skh_mapplan_weights_t *weights,
				       const uint32_t *rank_loads)
{
	return (skh_balance_view_t){
		.n_ranks = view->ranks,
		.n_slots = view->shape->placements,
		.n_experts = view->shape->experts + view->padding,
		.placement = view->placement,
		.forecast = view->shares,
		.speed = view->speed,
		.domain = view->domain,
		.skew_weight = weights->skew_weight,
		.cost_weight = weights->cost_weight,
		.load_cost = weights->load_cost,
		.max_loads = SKH_BALANCE_MAX_MOVES,
		.rank_loads = rank_loads,
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
static bool has_room(const skh_engine_shape_t *shape, const skh_mapplan_weights_t *weights,
		     const uint32_t *before, const uint32_t *row, uint32_t new_so_far)
{
	uint32_t in_set = count_new(before, row, shape->placements);

	return in_set < shape->spare && new_so_far + in_set < weights->most_new;
}

/* Loads up to the first that a rank has no room for; any such beginning is a whole map. */
static void apply_moves(const skh_engine_shape_t *shape, uint32_t ranks,
			const skh_mapplan_weights_t *weights, const skh_balance_plan_t *plan,
			const uint32_t *before, const uint32_t *new_so_far, uint32_t *map)
{
	uint32_t places = shape->placements;

	(void)ranks;
	for (uint32_t i = 0; i < plan->n_moves; i++) {
		const skh_move_t *move = &plan->moves[i];
		uint32_t *row = map + move->rank * places;
		const uint32_t *row_before = before + move->rank * places;

		if (move->expert >= shape->experts) {
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

static skh_relief_view_t relief_view(const skh_engine_shape_t *shape, uint32_t ranks,
				     const double *shares, const double *paces)
{
	return (skh_relief_view_t){
		.n_ranks = ranks,
		.n_places = shape->placements,
		.n_experts = shape->experts,
		.shares = shares,
		.paces = paces,
		.least_gain = RELIEF_LEAST_GAIN,
	};
}

/* The set with most skew that something can still be done about; NULL when none is left. */
static skh_relief_t *most_skewed(skh_relief_t **reliefs, const bool *done, uint32_t sets,
				 double target, uint32_t *at)
{
	skh_relief_t *most = NULL;

	for (uint32_t set = 0; set < sets; set++) {
		if (done[set] || skh_relief_skew(reliefs[set]) <= target ||
		    (most && skh_relief_skew(reliefs[set]) <= skh_relief_skew(most)))
			continue;
		most = reliefs[set];
		*at = set;
	}
	return most;
}

/* Loads go to the set that needs them most: a pass lasts as long as all sets together. */
static void relieve_sets(const skh_engine_shape_t *shape, uint32_t ranks,
			 const skh_mapplan_weights_t *weights, const double *shares, uint32_t *map)
{
	skh_relief_t **reliefs = g_new0(skh_relief_t *, shape->sets);
	bool *done = g_new0(bool, shape->sets);
	uint32_t loads_left[SKH_BALANCE_MAX_RANKS];
	skh_relief_t *next;
	uint32_t at = 0;

	for (uint32_t rank = 0; rank < ranks; rank++)
		loads_left[rank] = weights->most_new;
	for (uint32_t set = 0; set < shape->sets; set++) {
		skh_relief_view_t view = relief_view(
			shape, ranks, shares + (size_t)set * shape->experts, weights->paces);

		reliefs[set] = skh_relief_new(&view, map + (size_t)set * ranks * shape->placements,
					      shape->spare, loads_left);
	}
	while ((next = most_skewed(reliefs, done, shape->sets, weights->quick_target, &at)) != NULL)
		done[at] = !skh_relief_step(next);
	for (uint32_t set = 0; set < shape->sets; set++)
		skh_relief_free(reliefs[set]);
	g_free(reliefs);
	g_free(done);
}

static void search_set(const skh_engine_shape_t *shape, uint32_t ranks,
		       const skh_mapplan_weights_t *weights, const double *shares, uint32_t *map,
		       const uint32_t *new_so_far)
{
	size_t places = (size_t)ranks * shape->placements;
	g_autofree uint32_t *before = g_memdup2(map, places * sizeof(*map));
	g_autofree skh_balance_plan_t *plan = g_new0(skh_balance_plan_t, 1);
	set_view_t view;
	skh_balance_view_t balance;
	uint32_t rank_loads[SKH_BALANCE_MAX_RANKS];

	for (uint32_t rank = 0; rank < ranks; rank++)
		rank_loads[rank] = MIN(shape->spare, weights->most_new - new_so_far[rank]);
	open_set(&view, shape, ranks, shares, weights->paces, map);
	balance = balance_view(&view, weights, rank_loads);
	if (skh_balance_decide(&balance, plan))
		apply_moves(shape, ranks, weights, plan, before, new_so_far, map);
	close_set(&view);
}

static void search_sets(const skh_engine_shape_t *shape, uint32_t ranks,
			const skh_mapplan_weights_t *weights, const double *shares, uint32_t *map)
{
	size_t places = (size_t)ranks * shape->placements;
	uint32_t new_so_far[SKH_BALANCE_MAX_RANKS] = { 0 };

	for (uint32_t set = 0; set < shape->sets; set++) {
		uint32_t *set_map = map + set * places;
		g_autofree uint32_t *before = g_memdup2(set_map, places * sizeof(*map));

		search_set(shape, ranks, weights, shares + (size_t)set * shape->experts, set_map,
			   new_so_far);
		for (uint32_t rank = 0; rank < ranks; rank++)
			new_so_far[rank] +=
				count_new(before + rank * shape->placements,
					  set_map + rank * shape->placements, shape->placements);
	}
}

double skh_mapplan_skew(const skh_engine_shape_t *shape, uint32_t ranks, const double *shares,
			const double *paces, const uint32_t *map)
{
	uint32_t none[SKH_BALANCE_MAX_RANKS] = { 0 };
	double sum = 0.0;

	for (uint32_t set = 0; set < shape->sets; set++) {
		skh_relief_view_t view =
			relief_view(shape, ranks, shares + (size_t)set * shape->experts, paces);
		skh_relief_t *relief = skh_relief_new(
			&view, (uint32_t *)map + (size_t)set * ranks * shape->placements, 0, none);

		sum += skh_relief_skew(relief);
		skh_relief_free(relief);
	}
	return sum / (double)shape->sets;
}

static void count_loads(const skh_engine_shape_t *shape, uint32_t ranks, const uint32_t *before,
			const uint32_t *map, skh_mapplan_result_t *result)
{
	uint32_t places = shape->placements;

	for (uint32_t rank = 0; rank < ranks; rank++) {
		uint32_t n = 0;

		for (uint32_t set = 0; set < shape->sets; set++) {
			size_t at = ((size_t)set * ranks + rank) * places;

			n += count_new(before + at, map + at, places);
		}
		result->n_new += n;
		result->most_new = MAX(result->most_new, n);
	}
}

/* Engines tell a rank's experts without gaps: a map that comes back must be the same. */
static void close_gaps(const skh_engine_shape_t *shape, uint32_t ranks, uint32_t *map)
{
	for (size_t row = 0; row < (size_t)shape->sets * ranks; row++) {
		uint32_t *places = map + row * shape->placements;
		uint32_t n = 0;

		for (uint32_t i = 0; i < shape->placements; i++) {
			if (places[i] > 0)
				places[n++] = places[i];
		}
		memset(places + n, 0, (shape->placements - n) * sizeof(*places));
	}
}

void skh_mapplan_make(const skh_engine_shape_t *shape, uint32_t ranks,
		      const skh_mapplan_weights_t *weights, const double *shares, uint32_t *map,
		      skh_mapplan_result_t *result)
{
	size_t size = (size_t)shape->sets * ranks * shape->placements;
	g_autofree uint32_t *before = g_memdup2(map, size * sizeof(*map));

	*result = (skh_mapplan_result_t){
		.skew_before = skh_mapplan_skew(shape, ranks, shares, weights->paces, map),
	};
	if (weights->quick)
		relieve_sets(shape, ranks, weights, shares, map);
	else
		search_sets(shape, ranks, weights, shares, map);
	close_gaps(shape, ranks, map);
	count_loads(shape, ranks, before, map, result);
	result->skew_after = skh_mapplan_skew(shape, ranks, shares, weights->paces, map);
}

static bool is_row_valid(const skh_engine_shape_t *shape, const uint32_t *row, uint64_t *seen)
{
	for (uint32_t i = 0; i < shape->placements; i++) {
		if (row[i] > shape->experts)
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

bool skh_mapplan_is_valid(const skh_engine_shape_t *shape, uint32_t ranks, const uint32_t *map)
{
	uint64_t *seen = g_new(uint64_t, shape->experts);
	bool valid = true;

	for (uint32_t set = 0; valid && set < shape->sets; set++) {
		memset(seen, 0, sizeof(*seen) * shape->experts);
		for (uint32_t rank = 0; valid && rank < ranks; rank++)
			valid = is_row_valid(shape,
					     map + ((size_t)set * ranks + rank) * shape->placements,
					     seen);
		for (uint32_t i = 0; i < shape->experts; i++)
			valid = valid && seen[i] > 0;
	}
	g_free(seen);
	return valid;
}
