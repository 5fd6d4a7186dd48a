#include "rebalance.h"

#include "layout.h"
#include "stages.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define MAX_CHANGE 4 /* loads that are decided together */
/* Of the ways to move an expert away this many are looked at closely. */
#define MAX_DEPARTURES 4

/* One or two slots that get another expert; the second only after the first. */
typedef struct change {
	uint32_t rank[MAX_CHANGE];
	uint32_t slot[MAX_CHANGE];
	uint32_t expert[MAX_CHANGE];
	uint32_t n;
	double norm; /* of the state after it */
} change_t;

/* For each number of loads, less one: the change that lowers the norm most. */
typedef struct choice {
	change_t best[MAX_CHANGE];
	const uint32_t *left; /* loads that each rank may still get */
} choice_t;

double skh_rebalance_skew(const skh_rebalance_input_t *view, const uint32_t *placement,
			  const double *shares)
{
	g_autofree uint64_t *hosts = g_new(uint64_t, view->n_experts);

	skh_layout_find_hosts(view, placement, hosts);
	return skh_layout_compute_skew(view, hosts, shares);
}

static bool has_room(const change_t *change, const uint32_t *left)
{
	for (uint32_t i = 0; i < change->n; i++) {
		uint32_t loads = 0;

		for (uint32_t j = 0; j < change->n; j++)
			loads += change->rank[j] == change->rank[i];
		if (loads > left[change->rank[i]])
			return false;
	}
	return true;
}

static void choose_better(const change_t *change, choice_t *choice)
{
	change_t *best = &choice->best[change->n - 1];

	if (change->norm < best->norm && has_room(change, choice->left))
		*best = *change;
}

static void consider(const skh_layout_t *state, const skh_layout_trial_t *trial, change_t *change,
		     choice_t *choice)
{
	change->norm = skh_layout_trial_norm(state, trial);
	choose_better(change, choice);
}

/* What @change brings in the objective, its cost taken off, for each of its loads. */
static double gain_per_load(const skh_layout_t *state, const change_t *change)
{
	const skh_rebalance_input_t *view = state->view;
	double relief;

	if (change->n == 0)
		return 0.0;
	relief = skh_layout_smooth_skew(state, state->norm) -
		 skh_layout_smooth_skew(state, change->norm);
	return view->skew_weight * relief / (double)change->n - view->cost_weight * view->copy_cost;
}

static const change_t *choose(const skh_layout_t *state, const choice_t *choice, uint32_t room)
{
	const change_t *chosen = NULL;
	double most = 0.0;

	for (uint32_t i = 0; i < MIN(MAX_CHANGE, room); i++) {
		double gain = gain_per_load(state, &choice->best[i]);

		if (gain > most) {
			most = gain;
			chosen = &choice->best[i];
		}
	}
	return chosen;
}

/* @expert replaces a replica of an expert that stands elsewhere, too. */
static void consider_replace(const skh_layout_t *state, uint32_t rank, uint32_t slot,
			     uint32_t expert, choice_t *choice)
{
	uint32_t dropped = skh_layout_expert_at(state, rank, slot);
	uint64_t dropped_after = state->hosts[dropped] & ~(1ULL << rank);
	uint64_t expert_after = state->hosts[expert] | 1ULL << rank;
	change_t change = { { rank }, { slot }, { expert }, 1, 0.0 };
	skh_layout_trial_t trial = { .changed_ranks = 0 };

	if (skh_layout_replica_count(state, dropped) < 2 ||
	    skh_layout_has_expert(state, rank, expert) ||
	    !skh_layout_keeps_spread(state, dropped, dropped_after) ||
	    !skh_layout_keeps_spread(state, expert, expert_after))
		return;
	skh_layout_trial_change_hosts(state, &trial, dropped, state->hosts[dropped], dropped_after);
	skh_layout_trial_change_hosts(state, &trial, expert, state->hosts[expert], expert_after);
	consider(state, &trial, &change, choice);
}

/* A slot whose expert also stands elsewhere, for a while taken by @expert. */
static bool find_scratch(const skh_layout_t *state, uint32_t expert, uint64_t not_on,
			 uint32_t *rank, uint32_t *slot)
{
	for (uint32_t i = 0; i < state->n_redundant_slots; i++) {
		*rank = state->redundant_slots[i].rank;
		*slot = state->redundant_slots[i].slot;
		if ((not_on >> *rank & 1) == 0 && !skh_layout_has_expert(state, *rank, expert))
			return true;
	}
	return false;
}

static void add_load_step(change_t *change, uint32_t rank, uint32_t slot, uint32_t expert)
{
	change->rank[change->n] = rank;
	change->slot[change->n] = slot;
	change->expert[change->n] = expert;
	change->n++;
}

/* Whether @rank, given @work more, would be fuller than @full is now. */
static bool would_be_fuller(const skh_layout_t *state, uint32_t rank, double work, uint32_t full)
{
	return state->load[rank] + work * state->inverse_speed[rank] >= state->load[full];
}

/*
 * Two experts change places. If one stands elsewhere, too, its slot is
 * overwritten first: two loads. Else one waits in a scratch slot: four.
 */
static void consider_swap(const skh_layout_t *state, uint32_t rank_a, uint32_t slot_a,
			  uint32_t rank_b, uint32_t slot_b, choice_t *choice)
{
	uint32_t a = skh_layout_expert_at(state, rank_a, slot_a);
	uint32_t b = skh_layout_expert_at(state, rank_b, slot_b);
	uint64_t both = 1ULL << rank_a | 1ULL << rank_b;
	change_t change = { .n = 0 };
	skh_layout_trial_t trial = { .changed_ranks = 0 };

	if (skh_layout_replica_work(state, b) >= skh_layout_replica_work(state, a) ||
	    would_be_fuller(state, rank_b,
			    skh_layout_replica_work(state, a) - skh_layout_replica_work(state, b),
			    rank_a) ||
	    skh_layout_has_expert(state, rank_b, a) || skh_layout_has_expert(state, rank_a, b) ||
	    !skh_layout_keeps_spread(state, a, state->hosts[a] ^ both) ||
	    !skh_layout_keeps_spread(state, b, state->hosts[b] ^ both))
		return;
	skh_layout_trial_add_load(state, &trial, rank_a,
				  skh_layout_replica_work(state, b) -
					  skh_layout_replica_work(state, a));
	skh_layout_trial_add_load(state, &trial, rank_b,
				  skh_layout_replica_work(state, a) -
					  skh_layout_replica_work(state, b));
	change.norm = skh_layout_trial_norm(state, &trial);
	if (skh_layout_replica_count(state, b) >= 2 || skh_layout_replica_count(state, a) >= 2) {
		bool b_first = skh_layout_replica_count(state, b) >= 2;

		add_load_step(&change, b_first ? rank_b : rank_a, b_first ? slot_b : slot_a,
			      b_first ? a : b);
		add_load_step(&change, b_first ? rank_a : rank_b, b_first ? slot_a : slot_b,
			      b_first ? b : a);
	} else {
		uint32_t rank = 0;
		uint32_t slot = 0;

		if (change.norm >= choice->best[MAX_CHANGE - 1].norm ||
		    !find_scratch(state, a, both, &rank, &slot))
			return;
		add_load_step(&change, rank, slot, a);
		add_load_step(&change, rank_a, slot_a, b);
		add_load_step(&change, rank_b, slot_b, a);
		add_load_step(&change, rank, slot, skh_layout_expert_at(state, rank, slot));
	}
	choose_better(&change, choice);
}

/* An expert leaves a slot of the fullest rank for that of a replica elsewhere. */
typedef struct departure {
	uint32_t slot; /* that it leaves */
	uint32_t rank; /* to which it goes ... */
	uint32_t into; /* ... and the slot there */
	double norm;   /* with the slot that it leaves empty */
} departure_t;

/* Loads after @departure; false when the expert can't go there. */
static bool try_departure(const skh_layout_t *state, uint32_t full, const departure_t *departure,
			  skh_layout_trial_t *trial)
{
	uint32_t expert = skh_layout_expert_at(state, full, departure->slot);
	uint32_t dropped = skh_layout_expert_at(state, departure->rank, departure->into);
	uint64_t dropped_after = state->hosts[dropped] & ~(1ULL << departure->rank);
	uint64_t both = 1ULL << full | 1ULL << departure->rank;

	if (skh_layout_replica_count(state, dropped) < 2 ||
	    skh_layout_has_expert(state, departure->rank, expert) ||
	    !skh_layout_keeps_spread(state, expert, state->hosts[expert] ^ both))
		return false;
	trial->changed_ranks = 0;
	skh_layout_trial_change_hosts(state, trial, expert, state->hosts[expert],
				      state->hosts[expert] ^ both);
	skh_layout_trial_change_hosts(state, trial, dropped, state->hosts[dropped], dropped_after);
	return true;
}

/* The best departures, best first. */
static uint32_t find_departures(const skh_layout_t *state, uint32_t full,
				departure_t best[MAX_DEPARTURES])
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < state->view->n_slots * state->n_redundant_slots; i++) {
		skh_rank_slot_t spare = state->redundant_slots[i % state->n_redundant_slots];
		departure_t departure = { i / state->n_redundant_slots, spare.rank, spare.slot,
					  0.0 };
		uint32_t place;
		skh_layout_trial_t trial;

		if (departure.rank == full || !try_departure(state, full, &departure, &trial))
			continue;
		departure.norm = skh_layout_trial_norm(state, &trial);
		if (n == MAX_DEPARTURES && departure.norm >= best[n - 1].norm)
			continue;
		n = MIN(n + 1, MAX_DEPARTURES);
		for (place = n - 1; place > 0 && best[place - 1].norm > departure.norm; place--)
			best[place] = best[place - 1];
		best[place] = departure;
	}
	return n;
}

/* The slot that the expert left gets one more replica of another expert. */
static void consider_arrival(const skh_layout_t *state, uint32_t full, const departure_t *departure,
			     uint32_t arrival, choice_t *choice)
{
	uint32_t expert = skh_layout_expert_at(state, full, departure->slot);
	uint64_t before = state->hosts[arrival];
	change_t change = { .n = 0 };
	skh_layout_trial_t trial;

	if (arrival == skh_layout_expert_at(state, departure->rank, departure->into))
		before &= ~(1ULL << departure->rank);
	if (arrival == expert || skh_layout_has_expert(state, full, arrival) ||
	    !skh_layout_keeps_spread(state, arrival, before | 1ULL << full))
		return;
	(void)try_departure(state, full, departure, &trial);
	skh_layout_trial_change_hosts(state, &trial, arrival, before, before | 1ULL << full);
	add_load_step(&change, departure->rank, departure->into, expert);
	add_load_step(&change, full, departure->slot, arrival);
	consider(state, &trial, &change, choice);
}

/* It gets a lighter expert from a third rank, which takes the replica that was dropped. */
static void consider_rotation(const skh_layout_t *state, uint32_t full,
			      const departure_t *departure, uint32_t third, uint32_t slot,
			      choice_t *choice)
{
	uint32_t expert = skh_layout_expert_at(state, full, departure->slot);
	uint32_t dropped = skh_layout_expert_at(state, departure->rank, departure->into);
	uint32_t arrival = skh_layout_expert_at(state, third, slot);
	uint64_t arrival_after = state->hosts[arrival] ^ (1ULL << third | 1ULL << full);
	uint64_t dropped_after = state->hosts[dropped] ^ (1ULL << departure->rank | 1ULL << third);
	change_t change = { .n = 0 };
	skh_layout_trial_t trial = { .changed_ranks = 0 };

	if (arrival == dropped || skh_layout_has_expert(state, full, arrival) ||
	    skh_layout_has_expert(state, third, dropped) ||
	    skh_layout_replica_work(state, arrival) >= skh_layout_replica_work(state, expert) ||
	    would_be_fuller(state, third,
			    skh_layout_replica_work(state, dropped) -
				    skh_layout_replica_work(state, arrival),
			    full) ||
	    would_be_fuller(state, departure->rank,
			    skh_layout_replica_work(state, expert) -
				    skh_layout_replica_work(state, dropped),
			    full) ||
	    !skh_layout_keeps_spread(state, arrival, arrival_after) ||
	    !skh_layout_keeps_spread(state, dropped, dropped_after))
		return;
	skh_layout_trial_add_load(state, &trial, full,
				  skh_layout_replica_work(state, arrival) -
					  skh_layout_replica_work(state, expert));
	skh_layout_trial_add_load(state, &trial, departure->rank,
				  skh_layout_replica_work(state, expert) -
					  skh_layout_replica_work(state, dropped));
	skh_layout_trial_add_load(state, &trial, third,
				  skh_layout_replica_work(state, dropped) -
					  skh_layout_replica_work(state, arrival));
	add_load_step(&change, departure->rank, departure->into, expert);
	add_load_step(&change, full, departure->slot, arrival);
	add_load_step(&change, third, slot, dropped);
	consider(state, &trial, &change, choice);
}

static void consider_arrivals(const skh_layout_t *state, uint32_t full,
			      const departure_t *departure, choice_t *choice)
{
	const skh_rebalance_input_t *view = state->view;

	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		if (rank == full || !skh_layout_is_rank_live(view, rank))
			continue;
		for (uint32_t slot = 0; slot < view->n_slots; slot++) {
			uint32_t arrival = skh_layout_expert_at(state, rank, slot);

			/* One more replica is worth having where ranks are full. */
			if (state->load[rank] * state->inverse_mean_load > 1.0 ||
			    rank == departure->rank)
				consider_arrival(state, full, departure, arrival, choice);
			if (rank != departure->rank)
				consider_rotation(state, full, departure, rank, slot, choice);
		}
	}
}

static void consider_moves(const skh_layout_t *state, uint32_t full, choice_t *choice)
{
	departure_t departures[MAX_DEPARTURES];
	uint32_t n = find_departures(state, full, departures);

	for (uint32_t i = 0; i < n; i++)
		consider_arrivals(state, full, &departures[i], choice);
}

/* What relieves @full: another replica of one of its experts, or a swap. */
static void consider_rank(const skh_layout_t *state, uint32_t full, choice_t *choice)
{
	const skh_rebalance_input_t *view = state->view;

	for (uint32_t mine = 0; mine < view->n_slots; mine++) {
		uint32_t expert = skh_layout_expert_at(state, full, mine);

		for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
			if (rank == full || !skh_layout_is_rank_live(view, rank))
				continue;
			for (uint32_t slot = 0; slot < view->n_slots; slot++)
				consider_swap(state, full, mine, rank, slot, choice);
		}
		for (uint32_t i = 0; i < state->n_redundant_slots; i++)
			consider_replace(state, state->redundant_slots[i].rank,
					 state->redundant_slots[i].slot, expert, choice);
		/* Dropping a replica here for a colder expert may relieve it, too. */
		for (uint32_t other = 0;
		     skh_layout_replica_count(state, expert) >= 2 && other < view->n_experts;
		     other++)
			consider_replace(state, full, mine, other, choice);
	}
	consider_moves(state, full, choice);
}

static uint32_t fullest(const skh_layout_t *state)
{
	uint32_t best = 0;

	for (uint32_t rank = 1; rank < state->view->n_ranks; rank++) {
		if (state->load[rank] > state->load[best])
			best = rank;
	}
	return best;
}

/* Loads that may still be added. */
static uint32_t room_in(const skh_layout_t *state, const skh_rebalance_plan_t *plan)
{
	return MIN(state->view->max_copies, SKH_REBALANCE_MAX_COPIES) - plan->n_copies;
}

static bool plan_load(skh_layout_t *state, skh_rebalance_plan_t *plan, uint32_t rank, uint32_t slot,
		      uint32_t expert)
{
	uint32_t *cell = &state->placement[rank * state->view->n_slots + slot];

	if (room_in(state, plan) == 0 || state->copies_left[rank] == 0)
		return false;
	state->copies_left[rank]--;
	plan->copies[plan->n_copies++] = (skh_expert_copy_t){ rank, slot, expert, 0 };
	state->hosts[*cell] &= ~(1ULL << rank);
	state->hosts[expert] |= 1ULL << rank;
	*cell = expert;
	return true;
}

/* The slot whose replica is missed least, on the emptiest rank that has one. */
static bool find_spare(const skh_layout_t *state, uint32_t expert, uint32_t *rank, uint32_t *slot)
{
	const skh_rebalance_input_t *view = state->view;
	double least = INFINITY;

	for (uint32_t i = 0; i < state->n_redundant_slots; i++) {
		skh_rank_slot_t spare = state->redundant_slots[i];
		uint32_t held = skh_layout_expert_at(state, spare.rank, spare.slot);
		double cost = state->load[spare.rank] +
			      view->forecast_shares[held] * state->inverse_speed[spare.rank];

		if (skh_layout_has_expert(state, spare.rank, expert) || cost >= least ||
		    state->copies_left[spare.rank] == 0)
			continue;
		least = cost;
		*rank = spare.rank;
		*slot = spare.slot;
	}
	return least < INFINITY;
}

/* Experts whose last rank is lost come back first, the most used before others. */
static bool restore_missing(skh_layout_t *state, skh_rebalance_plan_t *plan)
{
	const skh_rebalance_input_t *view = state->view;

	for (;;) {
		uint32_t missing = view->n_experts;
		uint32_t rank = 0;
		uint32_t slot = 0;

		for (uint32_t expert = 0; expert < view->n_experts; expert++) {
			if (state->hosts[expert] == 0 &&
			    (missing == view->n_experts ||
			     view->forecast_shares[expert] > view->forecast_shares[missing]))
				missing = expert;
		}
		if (missing == view->n_experts)
			return true;
		if (!find_spare(state, missing, &rank, &slot) ||
		    !plan_load(state, plan, rank, slot, missing))
			return false;
		skh_layout_recompute(state);
	}
}

static void apply(skh_layout_t *state, skh_rebalance_plan_t *plan, const change_t *change)
{
	for (uint32_t i = 0; i < change->n; i++)
		(void)plan_load(state, plan, change->rank[i], change->slot[i], change->expert[i]);
	skh_layout_recompute(state);
}

/* Takes the best change as long as one is worth its cost. */
static void descend(skh_layout_t *state, skh_rebalance_plan_t *plan)
{
	for (;;) {
		choice_t choice = { .left = state->copies_left };
		const change_t *best;
		uint32_t full = fullest(state);

		for (uint32_t i = 0; i < MAX_CHANGE; i++)
			choice.best[i].norm = state->norm;
		consider_rank(state, full, &choice);
		best = choose(state, &choice, room_in(state, plan));
		if (!best)
			return;
		apply(state, plan, best);
	}
}

static uint32_t heaviest_on(const skh_layout_t *state, uint32_t rank)
{
	uint32_t heaviest = skh_layout_expert_at(state, rank, 0);

	for (uint32_t slot = 1; slot < state->view->n_slots; slot++) {
		if (skh_layout_replica_work(state, skh_layout_expert_at(state, rank, slot)) >
		    skh_layout_replica_work(state, heaviest))
			heaviest = skh_layout_expert_at(state, rank, slot);
	}
	return heaviest;
}

/* One more replica of @expert where it does least harm, though that be a new fullest rank. */
static bool find_kick(const skh_layout_t *state, uint32_t expert, change_t *kick)
{
	choice_t choice = { .best = { { .norm = INFINITY } }, .left = state->copies_left };

	for (uint32_t i = 0; i < state->n_redundant_slots; i++)
		consider_replace(state, state->redundant_slots[i].rank,
				 state->redundant_slots[i].slot, expert, &choice);
	*kick = choice.best[0];
	return kick->n > 0;
}

/*
 * An expert that fills a rank alone can only be relieved by one more replica,
 * and that needs a rank which is emptied first: worse before it gets better.
 */
static bool kick(skh_layout_t **state, skh_rebalance_plan_t *plan)
{
	const skh_rebalance_input_t *view = (*state)->view;
	skh_rebalance_plan_t *trial_plan;
	skh_layout_t *trial;
	change_t change;
	double gain;

	if (room_in(*state, plan) == 0 ||
	    !find_kick(*state, heaviest_on(*state, fullest(*state)), &change))
		return false;
	trial = skh_layout_copy(*state);
	trial_plan = g_memdup2(plan, sizeof(*plan));
	apply(trial, trial_plan, &change);
	descend(trial, trial_plan);
	gain = view->skew_weight * (skh_layout_smooth_skew(*state, (*state)->norm) -
				    skh_layout_smooth_skew(trial, trial->norm)) -
	       view->cost_weight * view->copy_cost *
		       (double)(trial_plan->n_copies - plan->n_copies);
	if (gain > 0.0) {
		skh_layout_t *old = *state;

		*state = trial;
		*plan = *trial_plan;
		trial = old;
	}
	skh_layout_free(trial);
	g_free(trial_plan);
	return gain > 0.0;
}

static void improve(skh_layout_t **state, skh_rebalance_plan_t *plan)
{
	do
		descend(*state, plan);
	while (kick(state, plan));
}

bool skh_rebalance_compute_plan(const skh_rebalance_input_t *view, skh_rebalance_plan_t *plan)
{
	skh_layout_t *state;
	bool complete;

	memset(plan, 0, sizeof(*plan));
	if (view->n_ranks > SKH_REBALANCE_MAX_RANKS)
		return false;
	state = skh_layout_new(view);
	plan->skew_before = skh_layout_compute_skew(view, state->hosts, view->forecast_shares);
	complete = state->n_live_ranks > 0 && restore_missing(state, plan);
	if (complete)
		improve(&state, plan);
	plan->skew_after = skh_layout_compute_skew(view, state->hosts, view->forecast_shares);
	skh_stages_assign(view, plan);
	skh_layout_free(state);
	return complete;
}
