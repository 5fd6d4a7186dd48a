#include "greedy_rebalance.h"

#include <glib.h>
#include <stdbool.h>
#include <string.h>

struct skh_greedy_rebalance {
	skh_greedy_rebalance_input_t input;
	uint32_t *map;
	uint32_t *copies_left;	   /* per rank, for all sets together; borrowed */
	uint32_t *set_copies_left; /* per rank in this set */
	uint32_t *replica_count;   /* per expert: ranks that hold it */
	double *max_host_load;	   /* per expert: greatest load among those ranks */
	double *load;		   /* per rank */
	/* Derived from @load by update_totals(): */
	uint32_t bottleneck; /* the most loaded rank */
	/* sum of squared loads: also falls if one of several bottlenecks is relieved */
	double load_squares;
};

/* Copy of @expert to @slot of @rank; the replica in the slot is overwritten. */
typedef struct copy {
	uint32_t rank;
	uint32_t slot;
	uint32_t expert;
	double max_load; /* estimated greatest load among the ranks affected */
} copy_t;

static double get_slowdown(const skh_greedy_rebalance_t *state, uint32_t rank)
{
	return state->input.slowdowns ? state->input.slowdowns[rank] : 1.0;
}

static uint32_t *get_slots(const skh_greedy_rebalance_t *state, uint32_t rank)
{
	return state->map + (size_t)rank * state->input.slots_per_rank;
}

static double compute_replica_share(const skh_greedy_rebalance_t *state, uint32_t expert)
{
	return state->input.shares[expert] / (double)MAX(state->replica_count[expert], 1);
}

static bool has_expert(const skh_greedy_rebalance_t *state, uint32_t rank, uint32_t expert)
{
	const uint32_t *slots = get_slots(state, rank);

	for (uint32_t i = 0; i < state->input.slots_per_rank; i++) {
		if (slots[i] == expert + 1)
			return true;
	}
	return false;
}

static void count_replicas(skh_greedy_rebalance_t *state)
{
	uint32_t n = state->input.n_ranks * state->input.slots_per_rank;

	memset(state->replica_count, 0, sizeof(uint32_t) * state->input.n_experts);
	for (uint32_t i = 0; i < n; i++) {
		if (state->map[i] > 0)
			state->replica_count[state->map[i] - 1]++;
	}
}

static void update_max_host_loads(skh_greedy_rebalance_t *state)
{
	memset(state->max_host_load, 0, sizeof(double) * state->input.n_experts);
	for (uint32_t rank = 0; rank < state->input.n_ranks; rank++) {
		const uint32_t *slots = get_slots(state, rank);

		for (uint32_t i = 0; i < state->input.slots_per_rank; i++) {
			if (slots[i] > 0 && state->load[rank] > state->max_host_load[slots[i] - 1])
				state->max_host_load[slots[i] - 1] = state->load[rank];
		}
	}
}

static void update_totals(skh_greedy_rebalance_t *state)
{
	state->bottleneck = 0;
	state->load_squares = 0.0;
	for (uint32_t rank = 0; rank < state->input.n_ranks; rank++) {
		state->load_squares += state->load[rank] * state->load[rank];
		if (state->load[rank] > state->load[state->bottleneck])
			state->bottleneck = rank;
	}
}

static void compute_loads(skh_greedy_rebalance_t *state)
{
	count_replicas(state);
	for (uint32_t rank = 0; rank < state->input.n_ranks; rank++) {
		const uint32_t *slots = get_slots(state, rank);

		state->load[rank] = 0.0;
		for (uint32_t i = 0; i < state->input.slots_per_rank; i++) {
			if (slots[i] > 0)
				state->load[rank] += compute_replica_share(state, slots[i] - 1);
		}
		state->load[rank] *= get_slowdown(state, rank);
	}
	update_totals(state);
	update_max_host_loads(state);
}

/*
 * Updates the loads for a replica of @expert added to or removed from @rank. The
 * shares of its other replicas change, too, as tokens are spread evenly over them.
 */
static void update_replica(skh_greedy_rebalance_t *state, uint32_t rank, uint32_t expert,
			   bool is_added)
{
	double before = compute_replica_share(state, expert);
	double change;

	state->replica_count[expert] =
		is_added ? state->replica_count[expert] + 1 : state->replica_count[expert] - 1;
	change = compute_replica_share(state, expert) - before;
	for (uint32_t i = 0; i < state->input.n_ranks; i++) {
		if (i != rank && has_expert(state, i, expert))
			state->load[i] += change * get_slowdown(state, i);
	}
	state->load[rank] += (is_added ? before + change : -before) * get_slowdown(state, rank);
}

/* Sets @slot of @rank to @content (expert + 1, or 0 for empty) and updates the loads. */
static void set_slot(skh_greedy_rebalance_t *state, uint32_t rank, uint32_t *slot, uint32_t content)
{
	uint32_t before = *slot;

	*slot = 0;
	if (before > 0)
		update_replica(state, rank, before - 1, false);
	*slot = content;
	if (content > 0)
		update_replica(state, rank, content - 1, true);
	update_totals(state);
}

/* Additional share of each remaining replica after one replica of @expert is removed. */
static double compute_share_increase(const skh_greedy_rebalance_t *state, uint32_t expert)
{
	uint32_t count = state->replica_count[expert];

	return state->input.shares[expert] / (double)(count - 1) -
	       compute_replica_share(state, expert);
}

/*
 * Finds the slot of @rank whose overwriting adds the least load to other ranks: an empty
 * slot, or one whose expert has another replica. Returns false if there is none.
 * @freed_share: share of tokens that the rank no longer serves
 * @others_load: estimated greatest load of the ranks that serve this share instead
 */
static bool find_slot_to_overwrite(const skh_greedy_rebalance_t *state, uint32_t rank,
				   uint32_t *slot, double *freed_share, double *others_load)
{
	const uint32_t *slots = get_slots(state, rank);
	bool found = false;

	for (uint32_t i = 0; i < state->input.slots_per_rank; i++) {
		double load;

		if (slots[i] == 0) {
			*slot = i;
			*freed_share = 0.0;
			*others_load = 0.0;
			return true;
		}
		if (state->replica_count[slots[i] - 1] < 2)
			continue;
		load = state->max_host_load[slots[i] - 1] +
		       compute_share_increase(state, slots[i] - 1);
		if (found && load >= *others_load)
			continue;
		found = true;
		*others_load = load;
		*slot = i;
		*freed_share = compute_replica_share(state, slots[i] - 1);
	}
	return found;
}

/* Finds the copy of @expert with the lowest estimated load; false if no rank can take one. */
static bool find_best_copy(const skh_greedy_rebalance_t *state, uint32_t expert, copy_t *best)
{
	double new_share = state->input.shares[expert] / (double)(state->replica_count[expert] + 1);
	bool found = false;

	for (uint32_t rank = 0; rank < state->input.n_ranks; rank++) {
		copy_t copy = { .rank = rank, .expert = expert };
		double freed_share = 0.0;
		double others_load = 0.0;

		if (state->copies_left[rank] == 0 || state->set_copies_left[rank] == 0 ||
		    has_expert(state, rank, expert) ||
		    !find_slot_to_overwrite(state, rank, &copy.slot, &freed_share, &others_load))
			continue;
		copy.max_load = MAX(state->load[rank] +
					    (new_share - freed_share) * get_slowdown(state, rank),
				    others_load);
		if (found && copy.max_load >= best->max_load)
			continue;
		*best = copy;
		found = true;
	}
	return found;
}

/* Finds the expert of @rank with the greatest replica share below @share_limit, or n_experts. */
static uint32_t find_heaviest_expert(const skh_greedy_rebalance_t *state, uint32_t rank,
				     double share_limit)
{
	const uint32_t *slots = get_slots(state, rank);
	uint32_t heaviest = state->input.n_experts;

	for (uint32_t i = 0; i < state->input.slots_per_rank; i++) {
		if (slots[i] == 0 || compute_replica_share(state, slots[i] - 1) >= share_limit)
			continue;
		if (heaviest == state->input.n_experts ||
		    compute_replica_share(state, slots[i] - 1) >
			    compute_replica_share(state, heaviest))
			heaviest = slots[i] - 1;
	}
	return heaviest;
}

static double get_max_load(const skh_greedy_rebalance_t *state)
{
	return state->load[state->bottleneck];
}

/*
 * Sets @slot to @content if the greatest load falls by the minimum gain, or if it does
 * not rise and the sum of squares falls: with several equally loaded ranks, relieving
 * one of them does not lower the greatest load yet.
 */
static bool try_slot_content(skh_greedy_rebalance_t *state, uint32_t rank, uint32_t *slot,
			     uint32_t content)
{
	uint32_t before = *slot;
	double load_before = get_max_load(state);
	double squares_before = state->load_squares;
	double min_reduction = state->input.min_gain / (double)state->input.n_ranks;

	set_slot(state, rank, slot, content);
	if (get_max_load(state) < load_before - min_reduction ||
	    (get_max_load(state) <= load_before &&
	     state->load_squares < squares_before - min_reduction * min_reduction)) {
		update_max_host_loads(state);
		return true;
	}
	set_slot(state, rank, slot, before);
	return false;
}

static bool try_copy(skh_greedy_rebalance_t *state, const copy_t *copy)
{
	if (!try_slot_content(state, copy->rank, get_slots(state, copy->rank) + copy->slot,
			      copy->expert + 1))
		return false;
	state->copies_left[copy->rank]--;
	state->set_copies_left[copy->rank]--;
	return true;
}

/*
 * Drops a replica on the most loaded rank; the expert's other replicas take its share.
 * As max_host_load includes the load of @bottleneck itself, the estimate usually leaves out
 * the load of the other ranks; try_slot_content() rejects the drop if the greatest load rises.
 */
static bool try_drop_replica(skh_greedy_rebalance_t *state, uint32_t bottleneck)
{
	uint32_t *slots = get_slots(state, bottleneck);
	double best_load = state->load[bottleneck];
	uint32_t best = state->input.slots_per_rank;

	for (uint32_t i = 0; i < state->input.slots_per_rank; i++) {
		double own_load;
		double others_load;

		if (slots[i] == 0 || state->replica_count[slots[i] - 1] < 2)
			continue;
		own_load = state->load[bottleneck] - compute_replica_share(state, slots[i] - 1) *
							     get_slowdown(state, bottleneck);
		others_load = state->max_host_load[slots[i] - 1] < state->load[bottleneck]
				      ? state->max_host_load[slots[i] - 1] +
						compute_share_increase(state, slots[i] - 1)
				      : 0.0;
		if (MAX(own_load, others_load) < best_load) {
			best_load = MAX(own_load, others_load);
			best = i;
		}
	}
	return best < state->input.slots_per_rank &&
	       try_slot_content(state, bottleneck, slots + best, 0);
}

/*
 * Tries to drop a replica first, as that needs no copy. Otherwise tries to copy an expert of
 * the most loaded rank to another rank, the heaviest expert first.
 */
bool skh_greedy_rebalance_step(skh_greedy_rebalance_t *state)
{
	uint32_t bottleneck = state->bottleneck;
	double share_limit = 2.0; /* above any share */

	if (try_drop_replica(state, bottleneck))
		return true;
	for (uint32_t i = 0; i < state->input.slots_per_rank; i++) {
		uint32_t expert = find_heaviest_expert(state, bottleneck, share_limit);
		copy_t copy;

		if (expert == state->input.n_experts)
			return false;
		if (find_best_copy(state, expert, &copy) &&
		    copy.max_load < state->load[bottleneck] && try_copy(state, &copy))
			return true;
		share_limit = compute_replica_share(state, expert);
	}
	return false;
}

skh_greedy_rebalance_t *skh_greedy_rebalance_new(const skh_greedy_rebalance_input_t *input,
						 uint32_t *map, uint32_t max_set_copies,
						 uint32_t *copies_left)
{
	skh_greedy_rebalance_t *state = g_new0(skh_greedy_rebalance_t, 1);

	state->input = *input;
	state->map = map;
	state->copies_left = copies_left;
	state->set_copies_left = g_new(uint32_t, input->n_ranks);
	state->load = g_new(double, input->n_ranks);
	for (uint32_t rank = 0; rank < input->n_ranks; rank++)
		state->set_copies_left[rank] = max_set_copies;
	state->replica_count = g_new(uint32_t, input->n_experts);
	state->max_host_load = g_new(double, input->n_experts);
	compute_loads(state);
	return state;
}

void skh_greedy_rebalance_free(skh_greedy_rebalance_t *state)
{
	g_free(state->set_copies_left);
	g_free(state->load);
	g_free(state->replica_count);
	g_free(state->max_host_load);
	g_free(state);
}

double skh_greedy_rebalance_skew(const skh_greedy_rebalance_t *state)
{
	return get_max_load(state) * (double)state->input.n_ranks;
}
