#include "rebalance.h"

#include "layout.h"
#include "stages.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MAX_CHANGE_COPIES 4 /* in one change; a swap through a scratch slot takes four */
/*
 * A relocation (see struct relocation) leaves a slot empty. Ways to refill it are evaluated
 * only for this many relocations, those with the lowest norm.
 */
#define MAX_RELOCATIONS 4

/* Copies that are accepted or rejected together; they are executed in the order listed. */
typedef struct change {
	uint32_t rank[MAX_CHANGE_COPIES];
	uint32_t slot[MAX_CHANGE_COPIES];
	uint32_t expert[MAX_CHANGE_COPIES];
	uint32_t n_copies;
	double norm; /* norm of the layout after the change */
} change_t;

/* The change with the lowest norm for each number of copies; best[i] takes i + 1 copies. */
typedef struct candidates {
	change_t best[MAX_CHANGE_COPIES];
	const uint32_t *copies_left; /* copies that each rank may still get */
} candidates_t;

double skh_rebalance_skew(const skh_rebalance_input_t *input, const uint32_t *placement,
			  const double *shares)
{
	g_autofree uint64_t *hosts = g_new(uint64_t, input->n_experts);

	skh_layout_find_hosts(input, placement, hosts);
	return skh_layout_compute_skew(input, hosts, shares);
}

static bool is_within_rank_limits(const change_t *change, const uint32_t *copies_left)
{
	for (uint32_t i = 0; i < change->n_copies; i++) {
		uint32_t copies = 0;

		for (uint32_t j = 0; j < change->n_copies; j++)
			copies += change->rank[j] == change->rank[i];
		if (copies > copies_left[change->rank[i]])
			return false;
	}
	return true;
}

static void keep_if_better(const change_t *change, candidates_t *candidates)
{
	change_t *best = &candidates->best[change->n_copies - 1];

	if (change->norm < best->norm && is_within_rank_limits(change, candidates->copies_left))
		*best = *change;
}

static void evaluate_change(const skh_layout_t *layout, const skh_layout_trial_t *trial,
			    change_t *change, candidates_t *candidates)
{
	change->norm = skh_layout_trial_norm(layout, trial);
	keep_if_better(change, candidates);
}

/* Improvement of the objective by @change, net of the copy cost, divided by its copies. */
static double compute_gain_per_copy(const skh_layout_t *layout, const change_t *change)
{
	const skh_rebalance_input_t *input = layout->input;
	double skew_reduction;

	if (change->n_copies == 0)
		return 0.0;
	skew_reduction = skh_layout_smooth_skew(layout, layout->norm) -
			 skh_layout_smooth_skew(layout, change->norm);
	return input->skew_weight * skew_reduction / (double)change->n_copies -
	       input->cost_weight * input->copy_cost;
}

static const change_t *select_change(const skh_layout_t *layout, const candidates_t *candidates,
				     uint32_t max_copies)
{
	const change_t *selected = NULL;
	double max_gain = 0.0;

	for (uint32_t i = 0; i < MIN(MAX_CHANGE_COPIES, max_copies); i++) {
		double gain = compute_gain_per_copy(layout, &candidates->best[i]);

		if (gain > max_gain) {
			max_gain = gain;
			selected = &candidates->best[i];
		}
	}
	return selected;
}

/* Evaluates a copy of @expert to a slot whose present expert has another replica. */
static void evaluate_replacement(const skh_layout_t *layout, uint32_t rank, uint32_t slot,
				 uint32_t expert, candidates_t *candidates)
{
	uint32_t dropped = skh_layout_expert_at(layout, rank, slot);
	uint64_t dropped_after = layout->hosts[dropped] & ~(1ULL << rank);
	uint64_t expert_after = layout->hosts[expert] | 1ULL << rank;
	change_t change = { { rank }, { slot }, { expert }, 1, 0.0 };
	skh_layout_trial_t trial = { .changed_ranks = 0 };

	if (skh_layout_replica_count(layout, dropped) < 2 ||
	    skh_layout_has_expert(layout, rank, expert) ||
	    !skh_layout_keeps_spread(layout, dropped, dropped_after) ||
	    !skh_layout_keeps_spread(layout, expert, expert_after))
		return;
	skh_layout_trial_change_hosts(layout, &trial, dropped, layout->hosts[dropped],
				      dropped_after);
	skh_layout_trial_change_hosts(layout, &trial, expert, layout->hosts[expert], expert_after);
	evaluate_change(layout, &trial, &change, candidates);
}

/* Finds a redundant slot that can hold @expert for a while; @excluded_ranks is a bit mask. */
static bool find_scratch_slot(const skh_layout_t *layout, uint32_t expert, uint64_t excluded_ranks,
			      uint32_t *rank, uint32_t *slot)
{
	for (uint32_t i = 0; i < layout->n_redundant_slots; i++) {
		*rank = layout->redundant_slots[i].rank;
		*slot = layout->redundant_slots[i].slot;
		if ((excluded_ranks >> *rank & 1) == 0 &&
		    !skh_layout_has_expert(layout, *rank, expert))
			return true;
	}
	return false;
}

static void add_copy(change_t *change, uint32_t rank, uint32_t slot, uint32_t expert)
{
	change->rank[change->n_copies] = rank;
	change->slot[change->n_copies] = slot;
	change->expert[change->n_copies] = expert;
	change->n_copies++;
}

/* True if @added_work would raise the load of @rank to the present load of @bottleneck or above. */
static bool would_reach_load(const skh_layout_t *layout, uint32_t rank, double added_work,
			     uint32_t bottleneck)
{
	return layout->load[rank] + added_work * layout->inverse_speed[rank] >=
	       layout->load[bottleneck];
}

/*
 * Evaluates a swap of two experts between ranks. A swap takes two copies if one
 * of the experts has another replica, as its slot can be overwritten first.
 * Otherwise one expert is held in a scratch slot, which takes four copies.
 */
static void evaluate_swap(const skh_layout_t *layout, uint32_t rank_a, uint32_t slot_a,
			  uint32_t rank_b, uint32_t slot_b, candidates_t *candidates)
{
	uint32_t a = skh_layout_expert_at(layout, rank_a, slot_a);
	uint32_t b = skh_layout_expert_at(layout, rank_b, slot_b);
	uint64_t both_ranks = 1ULL << rank_a | 1ULL << rank_b;
	change_t change = { .n_copies = 0 };
	skh_layout_trial_t trial = { .changed_ranks = 0 };

	if (skh_layout_replica_work(layout, b) >= skh_layout_replica_work(layout, a) ||
	    would_reach_load(layout, rank_b,
			     skh_layout_replica_work(layout, a) -
				     skh_layout_replica_work(layout, b),
			     rank_a) ||
	    skh_layout_has_expert(layout, rank_b, a) || skh_layout_has_expert(layout, rank_a, b) ||
	    !skh_layout_keeps_spread(layout, a, layout->hosts[a] ^ both_ranks) ||
	    !skh_layout_keeps_spread(layout, b, layout->hosts[b] ^ both_ranks))
		return;
	skh_layout_trial_add_load(layout, &trial, rank_a,
				  skh_layout_replica_work(layout, b) -
					  skh_layout_replica_work(layout, a));
	skh_layout_trial_add_load(layout, &trial, rank_b,
				  skh_layout_replica_work(layout, a) -
					  skh_layout_replica_work(layout, b));
	change.norm = skh_layout_trial_norm(layout, &trial);
	if (skh_layout_replica_count(layout, b) >= 2 || skh_layout_replica_count(layout, a) >= 2) {
		bool b_first = skh_layout_replica_count(layout, b) >= 2;

		add_copy(&change, b_first ? rank_b : rank_a, b_first ? slot_b : slot_a,
			 b_first ? a : b);
		add_copy(&change, b_first ? rank_a : rank_b, b_first ? slot_a : slot_b,
			 b_first ? b : a);
	} else {
		uint32_t rank = 0;
		uint32_t slot = 0;

		if (change.norm >= candidates->best[MAX_CHANGE_COPIES - 1].norm ||
		    !find_scratch_slot(layout, a, both_ranks, &rank, &slot))
			return;
		add_copy(&change, rank, slot, a);
		add_copy(&change, rank_a, slot_a, b);
		add_copy(&change, rank_b, slot_b, a);
		add_copy(&change, rank, slot, skh_layout_expert_at(layout, rank, slot));
	}
	keep_if_better(&change, candidates);
}

/* Move of an expert from a slot of the most loaded rank to a redundant slot of another rank. */
typedef struct relocation {
	uint32_t from_slot; /* slot of the most loaded rank */
	uint32_t to_rank;
	uint32_t to_slot;
	double norm; /* norm of the layout with @from_slot empty */
} relocation_t;

/* Sets @trial to the loads after @relocation; false if the expert can't move there. */
static bool try_relocation(const skh_layout_t *layout, uint32_t bottleneck,
			   const relocation_t *relocation, skh_layout_trial_t *trial)
{
	uint32_t expert = skh_layout_expert_at(layout, bottleneck, relocation->from_slot);
	uint32_t dropped = skh_layout_expert_at(layout, relocation->to_rank, relocation->to_slot);
	uint64_t dropped_after = layout->hosts[dropped] & ~(1ULL << relocation->to_rank);
	uint64_t both_ranks = 1ULL << bottleneck | 1ULL << relocation->to_rank;

	if (skh_layout_replica_count(layout, dropped) < 2 ||
	    skh_layout_has_expert(layout, relocation->to_rank, expert) ||
	    !skh_layout_keeps_spread(layout, expert, layout->hosts[expert] ^ both_ranks))
		return false;
	trial->changed_ranks = 0;
	skh_layout_trial_change_hosts(layout, trial, expert, layout->hosts[expert],
				      layout->hosts[expert] ^ both_ranks);
	skh_layout_trial_change_hosts(layout, trial, dropped, layout->hosts[dropped],
				      dropped_after);
	return true;
}

/* Returns the number of relocations found; @best is sorted by norm, lowest first. */
static uint32_t find_relocations(const skh_layout_t *layout, uint32_t bottleneck,
				 relocation_t best[MAX_RELOCATIONS])
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < layout->input->slots_per_rank * layout->n_redundant_slots; i++) {
		skh_rank_slot_t redundant = layout->redundant_slots[i % layout->n_redundant_slots];
		relocation_t relocation = { i / layout->n_redundant_slots, redundant.rank,
					    redundant.slot, 0.0 };
		uint32_t position;
		skh_layout_trial_t trial;

		if (relocation.to_rank == bottleneck ||
		    !try_relocation(layout, bottleneck, &relocation, &trial))
			continue;
		relocation.norm = skh_layout_trial_norm(layout, &trial);
		if (n == MAX_RELOCATIONS && relocation.norm >= best[n - 1].norm)
			continue;
		n = MIN(n + 1, MAX_RELOCATIONS);
		for (position = n - 1; position > 0 && best[position - 1].norm > relocation.norm;
		     position--)
			best[position] = best[position - 1];
		best[position] = relocation;
	}
	return n;
}

/* Evaluates @relocation with an additional replica of @incoming in the vacated slot. */
static void evaluate_refill(const skh_layout_t *layout, uint32_t bottleneck,
			    const relocation_t *relocation, uint32_t incoming,
			    candidates_t *candidates)
{
	uint32_t expert = skh_layout_expert_at(layout, bottleneck, relocation->from_slot);
	uint64_t before = layout->hosts[incoming];
	change_t change = { .n_copies = 0 };
	skh_layout_trial_t trial;

	if (incoming == skh_layout_expert_at(layout, relocation->to_rank, relocation->to_slot))
		before &= ~(1ULL << relocation->to_rank);
	if (incoming == expert || skh_layout_has_expert(layout, bottleneck, incoming) ||
	    !skh_layout_keeps_spread(layout, incoming, before | 1ULL << bottleneck))
		return;
	(void)try_relocation(layout, bottleneck, relocation, &trial);
	skh_layout_trial_change_hosts(layout, &trial, incoming, before,
				      before | 1ULL << bottleneck);
	add_copy(&change, relocation->to_rank, relocation->to_slot, expert);
	add_copy(&change, bottleneck, relocation->from_slot, incoming);
	evaluate_change(layout, &trial, &change, candidates);
}

/*
 * Evaluates @relocation with a lighter expert of @third_rank in the vacated slot.
 * The expert that the relocation overwrites moves to @slot of @third_rank.
 */
static void evaluate_rotation(const skh_layout_t *layout, uint32_t bottleneck,
			      const relocation_t *relocation, uint32_t third_rank, uint32_t slot,
			      candidates_t *candidates)
{
	uint32_t expert = skh_layout_expert_at(layout, bottleneck, relocation->from_slot);
	uint32_t dropped = skh_layout_expert_at(layout, relocation->to_rank, relocation->to_slot);
	uint32_t incoming = skh_layout_expert_at(layout, third_rank, slot);
	uint64_t incoming_after =
		layout->hosts[incoming] ^ (1ULL << third_rank | 1ULL << bottleneck);
	uint64_t dropped_after =
		layout->hosts[dropped] ^ (1ULL << relocation->to_rank | 1ULL << third_rank);
	change_t change = { .n_copies = 0 };
	skh_layout_trial_t trial = { .changed_ranks = 0 };

	if (incoming == dropped || skh_layout_has_expert(layout, bottleneck, incoming) ||
	    skh_layout_has_expert(layout, third_rank, dropped) ||
	    skh_layout_replica_work(layout, incoming) >= skh_layout_replica_work(layout, expert) ||
	    would_reach_load(layout, third_rank,
			     skh_layout_replica_work(layout, dropped) -
				     skh_layout_replica_work(layout, incoming),
			     bottleneck) ||
	    would_reach_load(layout, relocation->to_rank,
			     skh_layout_replica_work(layout, expert) -
				     skh_layout_replica_work(layout, dropped),
			     bottleneck) ||
	    !skh_layout_keeps_spread(layout, incoming, incoming_after) ||
	    !skh_layout_keeps_spread(layout, dropped, dropped_after))
		return;
	skh_layout_trial_add_load(layout, &trial, bottleneck,
				  skh_layout_replica_work(layout, incoming) -
					  skh_layout_replica_work(layout, expert));
	skh_layout_trial_add_load(layout, &trial, relocation->to_rank,
				  skh_layout_replica_work(layout, expert) -
					  skh_layout_replica_work(layout, dropped));
	skh_layout_trial_add_load(layout, &trial, third_rank,
				  skh_layout_replica_work(layout, dropped) -
					  skh_layout_replica_work(layout, incoming));
	add_copy(&change, relocation->to_rank, relocation->to_slot, expert);
	add_copy(&change, bottleneck, relocation->from_slot, incoming);
	add_copy(&change, third_rank, slot, dropped);
	evaluate_change(layout, &trial, &change, candidates);
}

static void evaluate_refills(const skh_layout_t *layout, uint32_t bottleneck,
			     const relocation_t *relocation, candidates_t *candidates)
{
	const skh_rebalance_input_t *input = layout->input;

	for (uint32_t rank = 0; rank < input->n_ranks; rank++) {
		if (rank == bottleneck || !skh_layout_is_rank_live(input, rank))
			continue;
		for (uint32_t slot = 0; slot < input->slots_per_rank; slot++) {
			uint32_t incoming = skh_layout_expert_at(layout, rank, slot);

			/*
			 * An additional replica helps only if it relieves a rank with more than
			 * the mean load, or the rank that the relocation moves an expert to.
			 */
			if (layout->load[rank] * layout->inverse_mean_load > 1.0 ||
			    rank == relocation->to_rank)
				evaluate_refill(layout, bottleneck, relocation, incoming,
						candidates);
			if (rank != relocation->to_rank)
				evaluate_rotation(layout, bottleneck, relocation, rank, slot,
						  candidates);
		}
	}
}

static void evaluate_relocations(const skh_layout_t *layout, uint32_t bottleneck,
				 candidates_t *candidates)
{
	relocation_t relocations[MAX_RELOCATIONS];
	uint32_t n = find_relocations(layout, bottleneck, relocations);

	for (uint32_t i = 0; i < n; i++)
		evaluate_refills(layout, bottleneck, &relocations[i], candidates);
}

/* Evaluates all changes that lower the load of @bottleneck: replicas, swaps and relocations. */
static void evaluate_changes(const skh_layout_t *layout, uint32_t bottleneck,
			     candidates_t *candidates)
{
	const skh_rebalance_input_t *input = layout->input;

	for (uint32_t own_slot = 0; own_slot < input->slots_per_rank; own_slot++) {
		uint32_t expert = skh_layout_expert_at(layout, bottleneck, own_slot);

		for (uint32_t rank = 0; rank < input->n_ranks; rank++) {
			if (rank == bottleneck || !skh_layout_is_rank_live(input, rank))
				continue;
			for (uint32_t slot = 0; slot < input->slots_per_rank; slot++)
				evaluate_swap(layout, bottleneck, own_slot, rank, slot, candidates);
		}
		for (uint32_t i = 0; i < layout->n_redundant_slots; i++)
			evaluate_replacement(layout, layout->redundant_slots[i].rank,
					     layout->redundant_slots[i].slot, expert, candidates);
		/* Overwriting a replica on @bottleneck with a lighter expert lowers its load, too. */
		for (uint32_t other = 0;
		     skh_layout_replica_count(layout, expert) >= 2 && other < input->n_experts;
		     other++)
			evaluate_replacement(layout, bottleneck, own_slot, other, candidates);
	}
	evaluate_relocations(layout, bottleneck, candidates);
}

static uint32_t find_bottleneck(const skh_layout_t *layout)
{
	uint32_t bottleneck = 0;

	for (uint32_t rank = 1; rank < layout->input->n_ranks; rank++) {
		if (layout->load[rank] > layout->load[bottleneck])
			bottleneck = rank;
	}
	return bottleneck;
}

/* Copies that can still be added to @plan. */
static uint32_t compute_copies_left(const skh_layout_t *layout, const skh_rebalance_plan_t *plan)
{
	return MIN(layout->input->max_copies, SKH_REBALANCE_MAX_COPIES) - plan->n_copies;
}

static bool plan_copy(skh_layout_t *layout, skh_rebalance_plan_t *plan, uint32_t rank,
		      uint32_t slot, uint32_t expert)
{
	uint32_t *slot_expert = &layout->placement[rank * layout->input->slots_per_rank + slot];

	if (compute_copies_left(layout, plan) == 0 || layout->copies_left[rank] == 0)
		return false;
	layout->copies_left[rank]--;
	plan->copies[plan->n_copies++] = (skh_expert_copy_t){ rank, slot, expert, 0 };
	layout->hosts[*slot_expert] &= ~(1ULL << rank);
	layout->hosts[expert] |= 1ULL << rank;
	*slot_expert = expert;
	return true;
}

/*
 * Finds the redundant slot with the lowest cost: the load of its rank plus the share of the
 * expert in the slot, over all its replicas, divided by the speed of that rank.
 */
static bool find_cheapest_redundant_slot(const skh_layout_t *layout, uint32_t expert,
					 uint32_t *rank, uint32_t *slot)
{
	const skh_rebalance_input_t *input = layout->input;
	double min_cost = INFINITY;

	for (uint32_t i = 0; i < layout->n_redundant_slots; i++) {
		skh_rank_slot_t redundant = layout->redundant_slots[i];
		uint32_t held = skh_layout_expert_at(layout, redundant.rank, redundant.slot);
		double cost = layout->load[redundant.rank] +
			      input->forecast_shares[held] * layout->inverse_speed[redundant.rank];

		if (skh_layout_has_expert(layout, redundant.rank, expert) || cost >= min_cost ||
		    layout->copies_left[redundant.rank] == 0)
			continue;
		min_cost = cost;
		*rank = redundant.rank;
		*slot = redundant.slot;
	}
	return min_cost < INFINITY;
}

/* Plans a copy for each expert without a live replica, in descending order of forecast share. */
static bool restore_missing_experts(skh_layout_t *layout, skh_rebalance_plan_t *plan)
{
	const skh_rebalance_input_t *input = layout->input;

	for (;;) {
		uint32_t missing = input->n_experts;
		uint32_t rank = 0;
		uint32_t slot = 0;

		for (uint32_t expert = 0; expert < input->n_experts; expert++) {
			if (layout->hosts[expert] == 0 &&
			    (missing == input->n_experts ||
			     input->forecast_shares[expert] > input->forecast_shares[missing]))
				missing = expert;
		}
		if (missing == input->n_experts)
			return true;
		if (!find_cheapest_redundant_slot(layout, missing, &rank, &slot) ||
		    !plan_copy(layout, plan, rank, slot, missing))
			return false;
		skh_layout_recompute(layout);
	}
}

static void apply_change(skh_layout_t *layout, skh_rebalance_plan_t *plan, const change_t *change)
{
	for (uint32_t i = 0; i < change->n_copies; i++)
		(void)plan_copy(layout, plan, change->rank[i], change->slot[i], change->expert[i]);
	skh_layout_recompute(layout);
}

/* Applies the best change until none is worth its cost. */
static void run_descent(skh_layout_t *layout, skh_rebalance_plan_t *plan)
{
	for (;;) {
		candidates_t candidates = { .copies_left = layout->copies_left };
		const change_t *best;
		uint32_t bottleneck = find_bottleneck(layout);

		for (uint32_t i = 0; i < MAX_CHANGE_COPIES; i++)
			candidates.best[i].norm = layout->norm;
		evaluate_changes(layout, bottleneck, &candidates);
		best = select_change(layout, &candidates, compute_copies_left(layout, plan));
		if (!best)
			return;
		apply_change(layout, plan, best);
	}
}

static uint32_t find_heaviest_expert(const skh_layout_t *layout, uint32_t rank)
{
	uint32_t heaviest = skh_layout_expert_at(layout, rank, 0);

	for (uint32_t slot = 1; slot < layout->input->slots_per_rank; slot++) {
		if (skh_layout_replica_work(layout, skh_layout_expert_at(layout, rank, slot)) >
		    skh_layout_replica_work(layout, heaviest))
			heaviest = skh_layout_expert_at(layout, rank, slot);
	}
	return heaviest;
}

/*
 * Finds the additional replica of @expert that gives the lowest norm, even if it
 * raises the norm or makes another rank the most loaded one.
 */
static bool find_perturbation(const skh_layout_t *layout, uint32_t expert, change_t *perturbation)
{
	candidates_t candidates = { .best = { { .norm = INFINITY } },
				    .copies_left = layout->copies_left };

	for (uint32_t i = 0; i < layout->n_redundant_slots; i++)
		evaluate_replacement(layout, layout->redundant_slots[i].rank,
				     layout->redundant_slots[i].slot, expert, &candidates);
	*perturbation = candidates.best[0];
	return perturbation->n_copies > 0;
}

/*
 * Escapes a local minimum: adds a replica of the heaviest expert, runs the descent
 * from there and keeps the result if the objective improves, net of copy costs.
 *
 * A rank that is overloaded by a single expert can only be relieved by another replica of
 * that expert, on a rank that other experts leave first. The intermediate layout is worse,
 * so the descent alone doesn't reach it.
 */
static bool try_perturbation(skh_layout_t **layout, skh_rebalance_plan_t *plan)
{
	const skh_rebalance_input_t *input = (*layout)->input;
	skh_rebalance_plan_t *candidate_plan;
	skh_layout_t *candidate;
	change_t change;
	double gain;

	if (compute_copies_left(*layout, plan) == 0 ||
	    !find_perturbation(*layout, find_heaviest_expert(*layout, find_bottleneck(*layout)),
			       &change))
		return false;
	candidate = skh_layout_copy(*layout);
	candidate_plan = g_memdup2(plan, sizeof(*plan));
	apply_change(candidate, candidate_plan, &change);
	run_descent(candidate, candidate_plan);
	gain = input->skew_weight * (skh_layout_smooth_skew(*layout, (*layout)->norm) -
				     skh_layout_smooth_skew(candidate, candidate->norm)) -
	       input->cost_weight * input->copy_cost *
		       (double)(candidate_plan->n_copies - plan->n_copies);
	if (gain > 0.0) {
		skh_layout_t *previous = *layout;

		*layout = candidate;
		*plan = *candidate_plan;
		candidate = previous;
	}
	skh_layout_free(candidate);
	g_free(candidate_plan);
	return gain > 0.0;
}

static void run_local_search(skh_layout_t **layout, skh_rebalance_plan_t *plan)
{
	do
		run_descent(*layout, plan);
	while (try_perturbation(layout, plan));
}

bool skh_rebalance_compute_plan(const skh_rebalance_input_t *input, skh_rebalance_plan_t *plan)
{
	skh_layout_t *layout;
	bool is_complete;

	memset(plan, 0, sizeof(*plan));
	if (input->n_ranks > SKH_REBALANCE_MAX_RANKS)
		return false;
	layout = skh_layout_new(input);
	plan->skew_before = skh_layout_compute_skew(input, layout->hosts, input->forecast_shares);
	is_complete = layout->n_live_ranks > 0 && restore_missing_experts(layout, plan);
	if (is_complete)
		run_local_search(&layout, plan);
	plan->skew_after = skh_layout_compute_skew(input, layout->hosts, input->forecast_shares);
	skh_stages_assign(input, plan);
	skh_layout_free(layout);
	return is_complete;
}
