#include "relief.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

typedef struct state {
	const skh_relief_view_t *view;
	uint32_t *map;
	uint32_t *loads_left;
	uint32_t *count; /* ranks that hold an expert */
	double *highest; /* load of the fullest of them */
	double load[SKH_RELIEF_MAX_RANKS];
} state_t;

/* One load: @expert comes to @place of @rank; what stood there leaves. */
typedef struct step {
	uint32_t rank;
	uint32_t place;
	uint32_t expert;
	double height; /* greatest load among the ranks that it touches */
} step_t;

static uint32_t *row_of(const state_t *state, uint32_t rank)
{
	return state->map + (size_t)rank * state->view->n_places;
}

static double part_of(const state_t *state, uint32_t expert)
{
	return state->view->shares[expert] / (double)MAX(state->count[expert], 1);
}

static bool holds(const state_t *state, uint32_t rank, uint32_t expert)
{
	const uint32_t *row = row_of(state, rank);

	for (uint32_t i = 0; i < state->view->n_places; i++) {
		if (row[i] == expert + 1)
			return true;
	}
	return false;
}

static void find_loads(state_t *state)
{
	uint32_t n = state->view->n_ranks * state->view->n_places;

	memset(state->count, 0, sizeof(uint32_t) * state->view->n_experts);
	for (uint32_t i = 0; i < n; i++) {
		if (state->map[i] > 0)
			state->count[state->map[i] - 1]++;
	}
	for (uint32_t rank = 0; rank < state->view->n_ranks; rank++) {
		const uint32_t *row = row_of(state, rank);

		state->load[rank] = 0.0;
		for (uint32_t i = 0; i < state->view->n_places; i++) {
			if (row[i] > 0)
				state->load[rank] += part_of(state, row[i] - 1);
		}
	}
	memset(state->highest, 0, sizeof(double) * state->view->n_experts);
	for (uint32_t rank = 0; rank < state->view->n_ranks; rank++) {
		const uint32_t *row = row_of(state, rank);

		for (uint32_t i = 0; i < state->view->n_places; i++) {
			if (row[i] > 0 && state->load[rank] > state->highest[row[i] - 1])
				state->highest[row[i] - 1] = state->load[rank];
		}
	}
}

static uint32_t fullest(const state_t *state)
{
	uint32_t best = 0;

	for (uint32_t rank = 1; rank < state->view->n_ranks; rank++) {
		if (state->load[rank] > state->load[best])
			best = rank;
	}
	return best;
}

/* What its other holders get when a replica of @expert goes. */
static double burden_of(const state_t *state, uint32_t expert)
{
	uint32_t count = state->count[expert];

	return state->view->shares[expert] / (double)(count - 1) - part_of(state, expert);
}

/*
 * The place of @rank that is given up most easily; false when there is none.
 * @others: load of the fullest rank that gets what the place gave up
 */
static bool find_place(const state_t *state, uint32_t rank, uint32_t *place, double *freed,
		       double *others)
{
	const uint32_t *row = row_of(state, rank);
	bool found = false;

	for (uint32_t i = 0; i < state->view->n_places; i++) {
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
static bool find_step(const state_t *state, uint32_t expert, step_t *best)
{
	double part = state->view->shares[expert] / (double)(state->count[expert] + 1);
	bool found = false;

	for (uint32_t rank = 0; rank < state->view->n_ranks; rank++) {
		step_t step = { .rank = rank, .expert = expert };
		double freed = 0.0;
		double others = 0.0;

		if (state->loads_left[rank] == 0 || holds(state, rank, expert) ||
		    !find_place(state, rank, &step.place, &freed, &others))
			continue;
		step.height = MAX(state->load[rank] - freed + part, others);
		if (found && step.height >= best->height)
			continue;
		*best = step;
		found = true;
	}
	return found;
}

static uint32_t heaviest_on(const state_t *state, uint32_t rank, double below)
{
	const uint32_t *row = row_of(state, rank);
	uint32_t heaviest = state->view->n_experts;

	for (uint32_t i = 0; i < state->view->n_places; i++) {
		if (row[i] == 0 || part_of(state, row[i] - 1) >= below)
			continue;
		if (heaviest == state->view->n_experts ||
		    part_of(state, row[i] - 1) > part_of(state, heaviest))
			heaviest = row[i] - 1;
	}
	return heaviest;
}

static double height(const state_t *state)
{
	return state->load[fullest(state)];
}

/* Sum of squares: falls when any full rank is relieved, though another is as full. */
static double roughness(const state_t *state)
{
	double sum = 0.0;

	for (uint32_t rank = 0; rank < state->view->n_ranks; rank++)
		sum += state->load[rank] * state->load[rank];
	return sum;
}

/* Does @step if that is for the better. */
static bool try_step(state_t *state, const step_t *step)
{
	uint32_t *cell = row_of(state, step->rank) + step->place;
	uint32_t before = *cell;
	double height_before = height(state);
	double rough_before = roughness(state);
	double least = state->view->least_gain / (double)state->view->n_ranks;

	*cell = step->expert + 1;
	find_loads(state);
	if (height(state) < height_before - least ||
	    (height(state) <= height_before && roughness(state) < rough_before - least * least)) {
		state->loads_left[step->rank]--;
		return true;
	}
	*cell = before;
	find_loads(state);
	return false;
}

/* One load that relieves the fullest rank, by its heaviest expert or the next. */
static bool relieve(state_t *state)
{
	uint32_t full = fullest(state);
	double below = 2.0;

	for (uint32_t i = 0; i < state->view->n_places; i++) {
		uint32_t expert = heaviest_on(state, full, below);
		step_t step;

		if (expert == state->view->n_experts)
			return false;
		if (find_step(state, expert, &step) && step.height < state->load[full] &&
		    try_step(state, &step))
			return true;
		below = part_of(state, expert);
	}
	return false;
}

static state_t open_state(const skh_relief_view_t *view, uint32_t *map, uint32_t *loads_left)
{
	state_t state = { .view = view, .map = map, .loads_left = loads_left };

	state.count = g_new(uint32_t, view->n_experts);
	state.highest = g_new(double, view->n_experts);
	find_loads(&state);
	return state;
}

uint32_t skh_relief_make(const skh_relief_view_t *view, uint32_t *map, uint32_t *loads_left)
{
	state_t state = open_state(view, map, loads_left);
	uint32_t most = view->n_ranks * view->n_places;
	uint32_t n = 0;

	while (n < most && height(&state) * (double)view->n_ranks > view->target && relieve(&state))
		n++;
	g_free(state.count);
	g_free(state.highest);
	return n;
}

double skh_relief_skew(const skh_relief_view_t *view, const uint32_t *map)
{
	state_t state = open_state(view, (uint32_t *)map, NULL);
	double skew = height(&state) * (double)view->n_ranks;

	g_free(state.count);
	g_free(state.highest);
	return skew;
}
