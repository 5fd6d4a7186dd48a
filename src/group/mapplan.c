#include "mapplan.h"

#include "greedy_rebalance.h"
#include "rebalance.h"

#include <glib.h>
#include <string.h>

/* Input of the rebalancer for one set; owns its arrays. */
typedef struct set_input {
	const skh_engine_spec_t *engine_spec;
	uint32_t n_ranks;
	uint32_t n_filler_experts; /* experts without tokens that occupy the empty slots */
	uint32_t *placement;
	double *shares;
	double *speed;
	uint32_t *failure_domain;
} set_input_t;

/*
 * rebalance.h does not support empty slots, so each one gets a filler expert without tokens. All
 * ranks use the same fillers, so that a filler has several replicas and can be overwritten.
 */
static void fill_set_input(set_input_t *set_input, const double *shares, const double *slowdowns,
			   const uint32_t *map)
{
	uint32_t n_slots = set_input->engine_spec->slots_per_rank;

	for (uint32_t i = 0; i < set_input->engine_spec->experts_per_set; i++)
		set_input->shares[i] = shares[i];
	for (uint32_t i = 0; i < set_input->n_filler_experts; i++)
		set_input->shares[set_input->engine_spec->experts_per_set + i] = 0.0;
	for (uint32_t rank = 0; rank < set_input->n_ranks; rank++) {
		uint32_t filler = set_input->engine_spec->experts_per_set;

		set_input->speed[rank] = slowdowns ? 1.0 / slowdowns[rank] : 1.0;
		set_input->failure_domain[rank] = rank;
		for (uint32_t i = 0; i < n_slots; i++) {
			uint32_t slot_index = rank * n_slots + i;

			set_input->placement[slot_index] =
				map[slot_index] > 0 ? map[slot_index] - 1 : filler++;
		}
	}
}

static uint32_t find_max_empty_slots(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
				     const uint32_t *map)
{
	uint32_t max_empty = 0;

	for (uint32_t rank = 0; rank < n_ranks; rank++) {
		uint32_t empty = 0;

		for (uint32_t i = 0; i < engine_spec->slots_per_rank; i++)
			empty += map[rank * engine_spec->slots_per_rank + i] == 0;
		max_empty = MAX(max_empty, empty);
	}
	return max_empty;
}

static void init_set_input(set_input_t *set_input, const skh_engine_spec_t *engine_spec,
			   uint32_t n_ranks, const double *shares, const double *slowdowns,
			   const uint32_t *map)
{
	set_input->engine_spec = engine_spec;
	set_input->n_ranks = n_ranks;
	set_input->n_filler_experts = find_max_empty_slots(engine_spec, n_ranks, map);
	set_input->placement = g_new(uint32_t, n_ranks * engine_spec->slots_per_rank);
	set_input->speed = g_new(double, n_ranks);
	set_input->failure_domain = g_new(uint32_t, n_ranks);
	set_input->shares =
		g_new(double, engine_spec->experts_per_set + set_input->n_filler_experts);
	fill_set_input(set_input, shares, slowdowns, map);
}

static void free_set_input(set_input_t *set_input)
{
	g_free(set_input->placement);
	g_free(set_input->shares);
	g_free(set_input->speed);
	g_free(set_input->failure_domain);
}

static skh_rebalance_input_t make_rebalance_input(const set_input_t *set_input,
						  const skh_mapplan_options_t *options,
						  const uint32_t *max_rank_copies)
{
	return (skh_rebalance_input_t){
		.n_ranks = set_input->n_ranks,
		.slots_per_rank = set_input->engine_spec->slots_per_rank,
		.n_experts = set_input->engine_spec->experts_per_set + set_input->n_filler_experts,
		.placement = set_input->placement,
		.forecast_shares = set_input->shares,
		.speed = set_input->speed,
		.failure_domain = set_input->failure_domain,
		.skew_weight = options->skew_weight,
		.cost_weight = options->cost_weight,
		.copy_cost = options->copy_cost,
		.max_copies = SKH_REBALANCE_MAX_COPIES,
		.max_copies_per_rank = max_rank_copies,
	};
}

/* A row of a map has the slots of one rank in one set. */
static bool has_expert(const uint32_t *row, uint32_t n_slots, uint32_t expert)
{
	for (uint32_t i = 0; i < n_slots; i++) {
		if (row[i] == expert + 1)
			return true;
	}
	return false;
}

static uint32_t count_new_experts(const uint32_t *row_before, const uint32_t *row, uint32_t n_slots)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < n_slots; i++)
		n += row[i] > 0 && !has_expert(row_before, n_slots, row[i] - 1);
	return n;
}

/*
 * Checks whether the rank can receive one more new expert in this set; @n_new_so_far is the number
 * of its new experts in the sets before.
 */
static bool can_add_expert(const skh_engine_spec_t *engine_spec,
			   const skh_mapplan_options_t *options, const uint32_t *row_before,
			   const uint32_t *row, uint32_t n_new_so_far)
{
	uint32_t in_set = count_new_experts(row_before, row, engine_spec->slots_per_rank);

	return in_set < engine_spec->max_new_experts &&
	       n_new_so_far + in_set < options->max_copies_per_rank;
}

/*
 * Applies the copies of @plan up to the first one that exceeds the limits of its rank. After any
 * number of copies each expert still has a replica.
 */
static void apply_copies(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			 const skh_mapplan_options_t *options, const skh_rebalance_plan_t *plan,
			 const uint32_t *old_map, const uint32_t *n_new_so_far, uint32_t *map)
{
	uint32_t n_slots = engine_spec->slots_per_rank;

	(void)n_ranks;
	for (uint32_t i = 0; i < plan->n_copies; i++) {
		const skh_expert_copy_t *copy = &plan->copies[i];
		uint32_t *row = map + copy->rank * n_slots;
		const uint32_t *row_before = old_map + copy->rank * n_slots;

		if (copy->expert >= engine_spec->experts_per_set) {
			row[copy->slot] = 0;
			continue;
		}
		if (!has_expert(row_before, n_slots, copy->expert) &&
		    !can_add_expert(engine_spec, options, row_before, row,
				    n_new_so_far[copy->rank]))
			return;
		row[copy->slot] = copy->expert + 1;
	}
}

/* Minimum reduction of a set's skew by each step of a greedy plan. */
#define GREEDY_MIN_SKEW_GAIN 0.01

static skh_greedy_rebalance_input_t make_greedy_input(const skh_engine_spec_t *engine_spec,
						      uint32_t n_ranks, const double *shares,
						      const double *slowdowns)
{
	return (skh_greedy_rebalance_input_t){
		.n_ranks = n_ranks,
		.slots_per_rank = engine_spec->slots_per_rank,
		.n_experts = engine_spec->experts_per_set,
		.shares = shares,
		.slowdowns = slowdowns,
		.min_gain = GREEDY_MIN_SKEW_GAIN,
	};
}

/* Returns the set with the greatest skew above @target that can still be improved, or NULL. */
static skh_greedy_rebalance_t *find_most_skewed(skh_greedy_rebalance_t **rebalances,
						const bool *is_exhausted, uint32_t n_sets,
						double target, uint32_t *set_index)
{
	skh_greedy_rebalance_t *most_skewed = NULL;

	for (uint32_t set = 0; set < n_sets; set++) {
		if (is_exhausted[set] || skh_greedy_rebalance_skew(rebalances[set]) <= target ||
		    (most_skewed && skh_greedy_rebalance_skew(rebalances[set]) <=
					    skh_greedy_rebalance_skew(most_skewed)))
			continue;
		most_skewed = rebalances[set];
		*set_index = set;
	}
	return most_skewed;
}

/*
 * Each step changes the most skewed set, because the duration of a pass is the sum of the
 * durations of all sets.
 */
static void rebalance_sets_greedily(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
				    const skh_mapplan_options_t *options, const double *shares,
				    uint32_t *map)
{
	skh_greedy_rebalance_t **rebalances =
		g_new0(skh_greedy_rebalance_t *, engine_spec->expert_sets);
	bool *is_exhausted = g_new0(bool, engine_spec->expert_sets);
	uint32_t *copies_left = g_new(uint32_t, n_ranks);
	skh_greedy_rebalance_t *next;
	uint32_t set_index = 0;

	for (uint32_t rank = 0; rank < n_ranks; rank++)
		copies_left[rank] = options->max_copies_per_rank;
	for (uint32_t set = 0; set < engine_spec->expert_sets; set++) {
		skh_greedy_rebalance_input_t input = make_greedy_input(
			engine_spec, n_ranks, shares + (size_t)set * engine_spec->experts_per_set,
			options->slowdowns);

		rebalances[set] = skh_greedy_rebalance_new(
			&input, map + (size_t)set * n_ranks * engine_spec->slots_per_rank,
			engine_spec->max_new_experts, copies_left);
	}
	while ((next = find_most_skewed(rebalances, is_exhausted, engine_spec->expert_sets,
					options->greedy_target_skew, &set_index)) != NULL)
		is_exhausted[set_index] = !skh_greedy_rebalance_step(next);
	for (uint32_t set = 0; set < engine_spec->expert_sets; set++)
		skh_greedy_rebalance_free(rebalances[set]);
	g_free(rebalances);
	g_free(is_exhausted);
	g_free(copies_left);
}

static void rebalance_set(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			  const skh_mapplan_options_t *options, const double *shares, uint32_t *map,
			  const uint32_t *n_new_so_far)
{
	size_t set_size = (size_t)n_ranks * engine_spec->slots_per_rank;
	g_autofree uint32_t *old_map = g_memdup2(map, set_size * sizeof(*map));
	g_autofree skh_rebalance_plan_t *plan = g_new0(skh_rebalance_plan_t, 1);
	set_input_t set_input;
	skh_rebalance_input_t input;
	g_autofree uint32_t *max_rank_copies = g_new(uint32_t, n_ranks);

	for (uint32_t rank = 0; rank < n_ranks; rank++)
		max_rank_copies[rank] = MIN(engine_spec->max_new_experts,
					    options->max_copies_per_rank - n_new_so_far[rank]);
	init_set_input(&set_input, engine_spec, n_ranks, shares, options->slowdowns, map);
	input = make_rebalance_input(&set_input, options, max_rank_copies);
	if (skh_rebalance_compute_plan(&input, plan))
		apply_copies(engine_spec, n_ranks, options, plan, old_map, n_new_so_far, map);
	free_set_input(&set_input);
}

static void rebalance_sets(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			   const skh_mapplan_options_t *options, const double *shares,
			   uint32_t *map)
{
	size_t set_size = (size_t)n_ranks * engine_spec->slots_per_rank;
	uint32_t *n_new_so_far = g_new0(uint32_t, n_ranks);

	for (uint32_t set = 0; set < engine_spec->expert_sets; set++) {
		uint32_t *set_map = map + set * set_size;
		g_autofree uint32_t *old_map = g_memdup2(set_map, set_size * sizeof(*map));

		rebalance_set(engine_spec, n_ranks, options,
			      shares + (size_t)set * engine_spec->experts_per_set, set_map,
			      n_new_so_far);
		for (uint32_t rank = 0; rank < n_ranks; rank++)
			n_new_so_far[rank] +=
				count_new_experts(old_map + rank * engine_spec->slots_per_rank,
						  set_map + rank * engine_spec->slots_per_rank,
						  engine_spec->slots_per_rank);
	}
	g_free(n_new_so_far);
}

double skh_mapplan_skew(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			const double *shares, const double *slowdowns, const uint32_t *map)
{
	uint32_t *no_copies = g_new0(uint32_t, n_ranks);
	double sum = 0.0;

	for (uint32_t set = 0; set < engine_spec->expert_sets; set++) {
		skh_greedy_rebalance_input_t input = make_greedy_input(
			engine_spec, n_ranks, shares + (size_t)set * engine_spec->experts_per_set,
			slowdowns);
		skh_greedy_rebalance_t *rebalance = skh_greedy_rebalance_new(
			&input,
			(uint32_t *)map + (size_t)set * n_ranks * engine_spec->slots_per_rank, 0,
			no_copies);

		sum += skh_greedy_rebalance_skew(rebalance);
		skh_greedy_rebalance_free(rebalance);
	}
	g_free(no_copies);
	return sum / (double)engine_spec->expert_sets;
}

static void count_copies(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			 const uint32_t *old_map, const uint32_t *map, skh_mapplan_result_t *result)
{
	uint32_t n_slots = engine_spec->slots_per_rank;

	for (uint32_t rank = 0; rank < n_ranks; rank++) {
		uint32_t n = 0;

		for (uint32_t set = 0; set < engine_spec->expert_sets; set++) {
			size_t row = ((size_t)set * n_ranks + rank) * n_slots;

			n += count_new_experts(old_map + row, map + row, n_slots);
		}
		result->n_copies += n;
		result->max_copies_per_rank = MAX(result->max_copies_per_rank, n);
	}
}

/*
 * Moves the empty slots of each row to its end. Engines report
 * a rank's experts without gaps, and a reported map must equal the one that was sent.
 */
static void compact_rows(const skh_engine_spec_t *engine_spec, uint32_t n_ranks, uint32_t *map)
{
	for (size_t row = 0; row < (size_t)engine_spec->expert_sets * n_ranks; row++) {
		uint32_t *slots = map + row * engine_spec->slots_per_rank;
		uint32_t n = 0;

		for (uint32_t i = 0; i < engine_spec->slots_per_rank; i++) {
			if (slots[i] > 0)
				slots[n++] = slots[i];
		}
		memset(slots + n, 0, (engine_spec->slots_per_rank - n) * sizeof(*slots));
	}
}

void skh_mapplan_compute(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			 const skh_mapplan_options_t *options, const double *shares, uint32_t *map,
			 skh_mapplan_result_t *result)
{
	size_t size = (size_t)engine_spec->expert_sets * n_ranks * engine_spec->slots_per_rank;
	g_autofree uint32_t *old_map = g_memdup2(map, size * sizeof(*map));

	*result = (skh_mapplan_result_t){
		.skew_before =
			skh_mapplan_skew(engine_spec, n_ranks, shares, options->slowdowns, map),
	};
	if (options->greedy_only || n_ranks > SKH_REBALANCE_MAX_RANKS)
		rebalance_sets_greedily(engine_spec, n_ranks, options, shares, map);
	else
		rebalance_sets(engine_spec, n_ranks, options, shares, map);
	compact_rows(engine_spec, n_ranks, map);
	count_copies(engine_spec, n_ranks, old_map, map, result);
	result->skew_after =
		skh_mapplan_skew(engine_spec, n_ranks, shares, options->slowdowns, map);
}

static bool is_row_valid(const skh_engine_spec_t *engine_spec, const uint32_t *row)
{
	for (uint32_t i = 0; i < engine_spec->slots_per_rank; i++) {
		if (row[i] > engine_spec->experts_per_set)
			return false;
		for (uint32_t j = 0; row[i] > 0 && j < i; j++) {
			if (row[j] == row[i])
				return false;
		}
	}
	return true;
}

bool skh_mapplan_is_rank_map_valid(const skh_engine_spec_t *engine_spec, const uint32_t *rank_map)
{
	for (uint32_t set = 0; set < engine_spec->expert_sets; set++) {
		if (!is_row_valid(engine_spec,
				  rank_map + (size_t)set * engine_spec->slots_per_rank))
			return false;
	}
	return true;
}

static void add_replicas(const skh_engine_spec_t *engine_spec, const uint32_t *row,
			 uint64_t *n_replicas)
{
	for (uint32_t i = 0; i < engine_spec->slots_per_rank; i++) {
		if (row[i] > 0)
			n_replicas[row[i] - 1]++;
	}
}

bool skh_mapplan_is_valid(const skh_engine_spec_t *engine_spec, uint32_t n_ranks,
			  const uint32_t *map)
{
	uint64_t *n_replicas = g_new(uint64_t, engine_spec->experts_per_set);
	bool is_valid = true;

	for (uint32_t set = 0; is_valid && set < engine_spec->expert_sets; set++) {
		memset(n_replicas, 0, sizeof(*n_replicas) * engine_spec->experts_per_set);
		for (uint32_t rank = 0; is_valid && rank < n_ranks; rank++) {
			const uint32_t *row =
				map + ((size_t)set * n_ranks + rank) * engine_spec->slots_per_rank;

			is_valid = is_row_valid(engine_spec, row);
			if (is_valid)
				add_replicas(engine_spec, row, n_replicas);
		}
		for (uint32_t i = 0; i < engine_spec->experts_per_set; i++)
			is_valid = is_valid && n_replicas[i] > 0;
	}
	g_free(n_replicas);
	return is_valid;
}
