#include "greedy_rebalance.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct skh_greedy_rebalance {
	skh_greedy_rebalance_input_t view;
	uint32_t *map;
	uint32_t *loads_left;				     /* of all sets */
	uint32_t spare_left[SKH_GREEDY_REBALANCE_MAX_RANKS]; /* of this one */
	uint32_t *count;				     /* ranks that hold an expert */
	double *highest;				     /* load of the fullest of them */
	double load[SKH_GREEDY_REBALANCE_MAX_RANKS];
	/* These follow from the above: */
	uint32_t full;	  /* the fullest rank */
	double roughness; /* sum of squares: falls when any full rank is relieved */
};

/* One load: @expert comes to @place of @rank; what stood there leaves. */
typedef struct step {
	uint32_t rank;
	uint32_t place;
	uint32_t expert;
	double height; /* greatest load among the ranks that it touches */
} step_t;

static double pace_of(const skh_greedy_rebalance_t *state, uint32_t rank)
{
	return state->view.slowdowns ? state->view.slowdowns[rank] : 1.0;
}

static uint32_t *row_of(const skh_greedy_rebalance_t *state, uint32_t rank)
{
	return state->map + (size_t)rank * state->view.n_slots;
}

static double part_of(const skh_greedy_rebalance_t *state, uint32_t expert)
{
	return state->view.shares[expert] / (double)MAX(state->count[expert], 1);
}

static bool holds(const skh_greedy_rebalance_t *state, uint32_t rank, uint32_t expert)
{
	const uint32_t *row = row_of(state, rank);

	for (uint32_t i = 0; i < state->view.n_slots; i++) {
		if (row[i] == expert + 1)
			return true;
	}
	return false;
}

static void count_holders(skh_greedy_rebalance_t *state)
{
	uint32_t n = state->view.n_ranks * state->view.n_slots;

	memset(state->count, 0, sizeof(uint32_t) * state->view.n_experts);
	for (uint32_t i = 0; i < n; i++) {
		if (state->map[i] > 0)
			state->count[state->map[i] - 1]++;
	}
}

static void find_highest(skh_greedy_rebalance_t *state)
{
	memset(state->highest, 0, sizeof(double) * state->view.n_experts);
	for (uint32_t rank = 0; rank < state->view.n_ranks; rank++) {
		const uint32_t *row = row_of(state, rank);

		for (uint32_t i = 0; i < state->view.n_slots; i++) {
			if (row[i] > 0 && state->load[rank] > state->highest[row[i] - 1])
				state->highest[row[i] - 1] = state->load[rank];
		}
	}
}

static void sum_up(skh_greedy_rebalance_t *state)
{
	state->full = 0;
	state->roughness = 0.0;
	for (uint32_t rank = 0; rank < state->view.n_ranks; rank++) {
		state->roughness += state->load[rank] * state->load[rank];
		if (state->load[rank] > state->load[state->full])
			state->full = rank;
	}
}

static void find_loads(skh_greedy_rebalance_t *state)
{
	count_holders(state);
	for (uint32_t rank = 0; rank < state->view.n_ranks; rank++) {
		const uint32_t *row = row_of(state, rank);

		state->load[rank] = 0.0;
		for (uint32_t i = 0; i < state->view.n_slots; i++) {
			if (row[i] > 0)
				state->load[rank] += part_of(state, row[i] - 1);
		}
		state->load[rank] *= pace_of(state, rank);
	}
	sum_up(state);
	find_highest(state);
}

/* One more holder of @expert, @rank, or one less: the others' parts change. */
static void change_holders(skh_greedy_rebalance_t *state, uint32_t rank, uint32_t expert, bool more)
{
	double before = part_of(state, expert);
	double change;

	state->count[expert] = more ? state->count[expert] + 1 : state->count[expert] - 1;
	change = part_of(state, expert) - before;
	for (uint32_t i = 0; i < state->view.n_ranks; i++) {
		if (i != rank && holds(state, i, expert))
			state->load[i] += change * pace_of(state, i);
	}
	state->load[rank] += (more ? before + change : -before) * pace_of(state, rank);
}

/* Puts @content into @cell of @rank. */
static void put(skh_greedy_rebalance_t *state, uint32_t rank, uint32_t *cell, uint32_t content)
{
	uint32_t before = *cell;

	*cell = 0;
	if (before > 0)
		change_holders(state, rank, before - 1, false);
	*cell = content;
	if (content > 0)
		change_holders(state, rank, content - 1, true);
	sum_up(state);
}

/* What its other holders get when a replica of @expert goes. */
static double burden_of(const skh_greedy_rebalance_t *state, uint32_t expert)
{
	uint32_t count = state->count[expert];

	return state->view.shares[expert] / (double)(count - 1) - part_of(state, expert);
}

/*
 * The place of @rank that is given up most easily; false when there is none.
 * @others: load of the fullest rank that gets what the place gave up
 */
static bool find_place(const skh_greedy_rebalance_t *state, uint32_t rank, uint32_t *place,
		       double *freed, double *others)
{
	const uint32_t *row = row_of(state, rank);
	bool found = false;

	for (uint32_t i = 0; i < state->view.n_slots; i++) {
		double load;

		if (row[i] == 0) {
			*place = i;
			*freed = 0.0;
			*others = 0.0;
			return true;
		}
		if (state->count[row[i] - 1] < 2)
			continue;
		load = state->highest[row[i] - 1] + burden_of(state, row[i] - 1);
		if (found && load >= *others)
			continue;
		found = true;
		*others = load;
		*place = i;
		*freed = part_of(state, row[i] - 1);
	}
	return found;
}

/* Where one more replica of @expert weighs least. */
static bool find_step(const skh_greedy_rebalance_t *state, uint32_t expert, step_t *best)
{
	double part = state->view.shares[expert] / (double)(state->count[expert] + 1);
	bool found = false;

	for (uint32_t rank = 0; rank < state->view.n_ranks; rank++) {
		step_t step = { .rank = rank, .expert = expert };
		double freed = 0.0;
		double others = 0.0;

		if (state->loads_left[rank] == 0 || state->spare_left[rank] == 0 ||
		    holds(state, rank, expert) ||
		    !find_place(state, rank, &step.place, &freed, &others))
			continue;
		step.height =
			MAX(state->load[rank] + (part - freed) * pace_of(state, rank), others);
		if (found && step.height >= best->height)
			continue;
		*best = step;
		found = true;
	}
	return found;
}

static uint32_t heaviest_on(const skh_greedy_rebalance_t *state, uint32_t rank, double below)
{
	const uint32_t *row = row_of(state, rank);
	uint32_t heaviest = state->view.n_experts;

	for (uint32_t i = 0; i < state->view.n_slots; i++) {
		if (row[i] == 0 || part_of(state, row[i] - 1) >= below)
			continue;
		if (heaviest == state->view.n_experts ||
		    part_of(state, row[i] - 1) > part_of(state, heaviest))
			heaviest = row[i] - 1;
	}
	return heaviest;
}

static double height(const skh_greedy_rebalance_t *state)
{
	return state->load[state->full];
}

/* Puts @content into @cell if that is for the better. */
static bool try_content(skh_greedy_rebalance_t *state, uint32_t rank, uint32_t *cell,
			uint32_t content)
{
	uint32_t before = *cell;
	double height_before = height(state);
	double rough_before = state->roughness;
	double least = state->view.min_gain / (double)state->view.n_ranks;

	put(state, rank, cell, content);
	if (height(state) < height_before - least ||
	    (height(state) <= height_before && state->roughness < rough_before - least * least)) {
		find_highest(state);
		return true;
	}
	put(state, rank, cell, before);
	return false;
}

static bool try_step(skh_greedy_rebalance_t *state, const step_t *step)
{
	if (!try_content(state, step->rank, row_of(state, step->rank) + step->place,
			 step->expert + 1))
		return false;
	state->loads_left[step->rank]--;
	state->spare_left[step->rank]--;
	return true;
}

/* A replica on the fullest rank is given up: its other holders take its part. */
static bool give_up(skh_greedy_rebalance_t *state, uint32_t full)
{
	uint32_t *row = row_of(state, full);
	double best_height = state->load[full];
	uint32_t best = state->view.n_slots;

	for (uint32_t i = 0; i < state->view.n_slots; i++) {
		double left;
		double others;

		if (row[i] == 0 || state->count[row[i] - 1] < 2)
			continue;
		left = state->load[full] - part_of(state, row[i] - 1) * pace_of(state, full);
		others = state->highest[row[i] - 1] < state->load[full]
				 ? state->highest[row[i] - 1] + burden_of(state, row[i] - 1)
				 : 0.0;
		if (MAX(left, others) < best_height) {
			best_height = MAX(left, others);
			best = i;
		}
	}
	return best < state->view.n_slots && try_content(state, full, row + best, 0);
}

/* Relieves the fullest rank: without a load, or by one of its heaviest expert or the next. */
bool skh_greedy_rebalance_step(skh_greedy_rebalance_t *state)
{
	uint32_t full = state->full;
	double below = 2.0;

	if (give_up(state, full))
		return true;
	for (uint32_t i = 0; i < state->view.n_slots; i++) {
		uint32_t expert = heaviest_on(state, full, below);
		step_t step;

		if (expert == state->view.n_experts)
			return false;
		if (find_step(state, expert, &step) && step.height < state->load[full] &&
		    try_step(state, &step))
			return true;
		below = part_of(state, expert);
	}
	return false;
}

skh_greedy_rebalance_t *skh_greedy_rebalance_new(const skh_greedy_rebalance_input_t *view,
						 uint32_t *map, uint32_t spare,
						 uint32_t *loads_left)
{
	skh_greedy_rebalance_t *relief = g_new0(skh_greedy_rebalance_t, 1);

	relief->view = *view;
	relief->map = map;
	relief->loads_left = loads_left;
	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		relief->spare_left[rank] = spare;
	relief->count = g_new(uint32_t, view->n_experts);
	relief->highest = g_new(double, view->n_experts);
	find_loads(relief);
	return relief;
}

void skh_greedy_rebalance_free(skh_greedy_rebalance_t *relief)
{
	g_free(relief->count);
	g_free(relief->highest);
	g_free(relief);
}

double skh_greedy_rebalance_skew(const skh_greedy_rebalance_t *relief)
{
	return height(relief) * (double)relief->view.n_ranks;
}
