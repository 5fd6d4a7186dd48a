#include "balance.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Ranks near the fullest count nearly as much as it does: the norm's power is 2^4. */
#define POWER_SQUARINGS 4
#define POWER		32.0
#define MAX_CHANGE	4 /* loads that are decided together */
/* Of the ways to move an expert away this many are looked at closely. */
#define MAX_DEPARTURES 4

typedef struct place {
	uint32_t rank;
	uint32_t slot;
} place_t;

/* The placement while it is being changed, and what follows from it. */
typedef struct state {
	const skh_balance_view_t *view;
	uint32_t *placement;
	uint64_t *hosts; /* of each expert: the live ranks that hold it */
	/* What recompute() derives from the hosts: */
	uint32_t *count; /* of each expert: its live ranks */
	double *part;	 /* of each expert: the work of one replica */
	place_t *spare;	 /* slots whose expert stands elsewhere, too */
	uint32_t n_spare;
	double per_speed[SKH_BALANCE_MAX_RANKS];
	double load[SKH_BALANCE_MAX_RANKS];
	double term[SKH_BALANCE_MAX_RANKS]; /* (load / mean)^POWER */
	double norm;			    /* sum of the terms of live ranks */
	double per_mean;		    /* 1 / mean load */
	uint32_t n_live;
} state_t;

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
} choice_t;

static bool is_live(const skh_balance_view_t *view, uint32_t rank)
{
	return view->speed[rank] > 0.0;
}

static uint32_t at(const state_t *state, uint32_t rank, uint32_t slot)
{
	return state->placement[rank * state->view->n_slots + slot];
}

/* The work that one replica of @expert takes. */
static double part_of(const state_t *state, uint32_t expert)
{
	return state->part[expert];
}

static uint32_t count(const state_t *state, uint32_t expert)
{
	return state->count[expert];
}

static bool holds(const state_t *state, uint32_t rank, uint32_t expert)
{
	return (state->hosts[expert] >> rank & 1) != 0;
}

static double to_power(double value)
{
	for (int32_t i = 0; i < POWER_SQUARINGS; i++)
		value *= value;
	return value;
}

static double term(const state_t *state, double load)
{
	return to_power(load * state->per_mean);
}

static void find_hosts(const skh_balance_view_t *view, const uint32_t *placement, uint64_t *hosts)
{
	memset(hosts, 0, view->n_experts * sizeof(*hosts));
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		if (!is_live(view, rank))
			continue;
		for (uint32_t slot = 0; slot < view->n_slots; slot++)
			hosts[placement[rank * view->n_slots + slot]] |= 1ULL << rank;
	}
}

/* Each host of an expert takes an equal part of its tokens. */
static void find_loads(const skh_balance_view_t *view, const uint64_t *hosts, const double *shares,
		       double *load)
{
	memset(load, 0, SKH_BALANCE_MAX_RANKS * sizeof(*load));
	for (uint32_t expert = 0; expert < view->n_experts; expert++) {
		uint64_t left = hosts[expert];
		double part = shares[expert] / (double)MAX(__builtin_popcountll(left), 1);

		for (; left != 0; left &= left - 1) {
			uint32_t rank = (uint32_t)__builtin_ctzll(left);

			load[rank] += part / view->speed[rank];
		}
	}
}

/* The load that every rank would have if all tokens could be spread at will. */
static double mean_load(const skh_balance_view_t *view, const double *shares)
{
	double work = 0.0;
	double speed = 0.0;

	for (uint32_t expert = 0; expert < view->n_experts; expert++)
		work += shares[expert];
	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		speed += view->speed[rank];
	return speed > 0.0 && work > 0.0 ? work / speed : 1.0;
}

static double skew_of(const skh_balance_view_t *view, const uint64_t *hosts, const double *shares)
{
	double load[SKH_BALANCE_MAX_RANKS];
	double greatest = 0.0;

	find_loads(view, hosts, shares, load);
	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		greatest = MAX(greatest, load[rank]);
	return greatest / mean_load(view, shares);
}

double skh_balance_skew(const skh_balance_view_t *view, const uint32_t *placement,
			const double *shares)
{
	g_autofree uint64_t *hosts = g_new(uint64_t, view->n_experts);

	find_hosts(view, placement, hosts);
	return skew_of(view, hosts, shares);
}

static void find_spares(state_t *state)
{
	const skh_balance_view_t *view = state->view;

	state->n_spare = 0;
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		for (uint32_t slot = 0; is_live(view, rank) && slot < view->n_slots; slot++) {
			if (count(state, at(state, rank, slot)) >= 2)
				state->spare[state->n_spare++] = (place_t){ rank, slot };
		}
	}
}

static void recompute(state_t *state)
{
	const skh_balance_view_t *view = state->view;

	find_loads(view, state->hosts, view->forecast, state->load);
	state->norm = 0.0;
	for (uint32_t expert = 0; expert < view->n_experts; expert++) {
		state->count[expert] = (uint32_t)__builtin_popcountll(state->hosts[expert]);
		state->part[expert] = view->forecast[expert] / (double)MAX(count(state, expert), 1);
	}
	find_spares(state);
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		state->term[rank] = term(state, state->load[rank]);
		if (is_live(view, rank))
			state->norm += state->term[rank];
	}
}

static double smooth_skew(const state_t *state, double norm)
{
	return pow(norm / (double)state->n_live, 1.0 / POWER);
}

/* Loads that differ from state->load, by rank. */
typedef struct trial {
	double load[SKH_BALANCE_MAX_RANKS];
	uint64_t touched;
} trial_t;

static void add_load(const state_t *state, trial_t *trial, uint32_t rank, double work)
{
	if ((trial->touched >> rank & 1) == 0) {
		trial->touched |= 1ULL << rank;
		trial->load[rank] = state->load[rank];
	}
	trial->load[rank] += work * state->per_speed[rank];
}

/* The load that @expert puts on its hosts changes from @before to @after. */
static void move_hosts(const state_t *state, trial_t *trial, uint32_t expert, uint64_t before,
		       uint64_t after)
{
	double share = state->view->forecast[expert];
	double part_before = share / (double)MAX(__builtin_popcountll(before), 1);
	double part_after = share / (double)MAX(__builtin_popcountll(after), 1);

	for (uint64_t left = before; left != 0; left &= left - 1)
		add_load(state, trial, (uint32_t)__builtin_ctzll(left), -part_before);
	for (uint64_t left = after; left != 0; left &= left - 1)
		add_load(state, trial, (uint32_t)__builtin_ctzll(left), part_after);
}

static double norm_of(const state_t *state, const trial_t *trial)
{
	double norm = state->norm;

	for (uint64_t left = trial->touched; left != 0; left &= left - 1) {
		uint32_t rank = (uint32_t)__builtin_ctzll(left);

		norm += term(state, trial->load[rank]) - state->term[rank];
	}
	return MAX(norm, 0.0);
}

/* Replicas that stand in different failure domains are not brought into one. */
static bool is_spread(const state_t *state, uint64_t hosts)
{
	const uint32_t *domain = state->view->domain;
	uint32_t first = domain[__builtin_ctzll(hosts)];

	for (; hosts != 0; hosts &= hosts - 1) {
		if (domain[__builtin_ctzll(hosts)] != first)
			return true;
	}
	return false;
}

static bool keeps_spread(const state_t *state, uint32_t expert, uint64_t after)
{
	uint64_t before = state->hosts[expert];

	return __builtin_popcountll(after) < 2 || is_spread(state, after) ||
	       !is_spread(state, before);
}

static void choose_better(const change_t *change, choice_t *choice)
{
	change_t *best = &choice->best[change->n - 1];

	if (change->norm < best->norm)
		*best = *change;
}

static void consider(const state_t *state, const trial_t *trial, change_t *change, choice_t *choice)
{
	change->norm = norm_of(state, trial);
	choose_better(change, choice);
}

/* What @change brings in the objective, its cost taken off, for each of its loads. */
static double gain_per_load(const state_t *state, const change_t *change)
{
	const skh_balance_view_t *view = state->view;
	double relief;

	if (change->n == 0)
		return 0.0;
	relief = smooth_skew(state, state->norm) - smooth_skew(state, change->norm);
	return view->skew_weight * relief / (double)change->n - view->cost_weight * view->load_cost;
}

static const change_t *choose(const state_t *state, const choice_t *choice, uint32_t room)
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
static void consider_replace(const state_t *state, uint32_t rank, uint32_t slot, uint32_t expert,
			     choice_t *choice)
{
	uint32_t dropped = at(state, rank, slot);
	uint64_t dropped_after = state->hosts[dropped] & ~(1ULL << rank);
	uint64_t expert_after = state->hosts[expert] | 1ULL << rank;
	change_t change = { { rank }, { slot }, { expert }, 1, 0.0 };
	trial_t trial = { .touched = 0 };

	if (count(state, dropped) < 2 || holds(state, rank, expert) ||
	    !keeps_spread(state, dropped, dropped_after) ||
	    !keeps_spread(state, expert, expert_after))
		return;
	move_hosts(state, &trial, dropped, state->hosts[dropped], dropped_after);
	move_hosts(state, &trial, expert, state->hosts[expert], expert_after);
	consider(state, &trial, &change, choice);
}

/* A slot whose expert also stands elsewhere, for a while taken by @expert. */
static bool find_scratch(const state_t *state, uint32_t expert, uint64_t not_on, uint32_t *rank,
			 uint32_t *slot)
{
	for (uint32_t i = 0; i < state->n_spare; i++) {
		*rank = state->spare[i].rank;
		*slot = state->spare[i].slot;
		if ((not_on >> *rank & 1) == 0 && !holds(state, *rank, expert))
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
static bool would_be_fuller(const state_t *state, uint32_t rank, double work, uint32_t full)
{
	return state->load[rank] + work * state->per_speed[rank] >= state->load[full];
}

/*
 * Two experts change places. If one stands elsewhere, too, its slot is
 * overwritten first: two loads. Else one waits in a scratch slot: four.
 */
static void consider_swap(const state_t *state, uint32_t rank_a, uint32_t slot_a, uint32_t rank_b,
			  uint32_t slot_b, choice_t *choice)
{
	uint32_t a = at(state, rank_a, slot_a);
	uint32_t b = at(state, rank_b, slot_b);
	uint64_t both = 1ULL << rank_a | 1ULL << rank_b;
	change_t change = { .n = 0 };
	trial_t trial = { .touched = 0 };

	if (part_of(state, b) >= part_of(state, a) ||
	    would_be_fuller(state, rank_b, part_of(state, a) - part_of(state, b), rank_a) ||
	    holds(state, rank_b, a) || holds(state, rank_a, b) ||
	    !keeps_spread(state, a, state->hosts[a] ^ both) ||
	    !keeps_spread(state, b, state->hosts[b] ^ both))
		return;
	add_load(state, &trial, rank_a, part_of(state, b) - part_of(state, a));
	add_load(state, &trial, rank_b, part_of(state, a) - part_of(state, b));
	change.norm = norm_of(state, &trial);
	if (count(state, b) >= 2 || count(state, a) >= 2) {
		bool b_first = count(state, b) >= 2;

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
		add_load_step(&change, rank, slot, at(state, rank, slot));
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
static bool try_departure(const state_t *state, uint32_t full, const departure_t *departure,
			  trial_t *trial)
{
	uint32_t expert = at(state, full, departure->slot);
	uint32_t dropped = at(state, departure->rank, departure->into);
	uint64_t dropped_after = state->hosts[dropped] & ~(1ULL << departure->rank);
	uint64_t both = 1ULL << full | 1ULL << departure->rank;

	if (count(state, dropped) < 2 || holds(state, departure->rank, expert) ||
	    !keeps_spread(state, expert, state->hosts[expert] ^ both))
		return false;
	trial->touched = 0;
	move_hosts(state, trial, expert, state->hosts[expert], state->hosts[expert] ^ both);
	move_hosts(state, trial, dropped, state->hosts[dropped], dropped_after);
	return true;
}

/* The best departures, best first. */
static uint32_t find_departures(const state_t *state, uint32_t full,
				departure_t best[MAX_DEPARTURES])
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < state->view->n_slots * state->n_spare; i++) {
		place_t spare = state->spare[i % state->n_spare];
		departure_t departure = { i / state->n_spare, spare.rank, spare.slot, 0.0 };
		uint32_t place;
		trial_t trial;

		if (departure.rank == full || !try_departure(state, full, &departure, &trial))
			continue;
		departure.norm = norm_of(state, &trial);
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
static void consider_arrival(const state_t *state, uint32_t full, const departure_t *departure,
			     uint32_t arrival, choice_t *choice)
{
	uint32_t expert = at(state, full, departure->slot);
	uint64_t before = state->hosts[arrival];
	change_t change = { .n = 0 };
	trial_t trial;

	if (arrival == at(state, departure->rank, departure->into))
		before &= ~(1ULL << departure->rank);
	if (arrival == expert || holds(state, full, arrival) ||
	    !keeps_spread(state, arrival, before | 1ULL << full))
		return;
	(void)try_departure(state, full, departure, &trial);
	move_hosts(state, &trial, arrival, before, before | 1ULL << full);
	add_load_step(&change, departure->rank, departure->into, expert);
	add_load_step(&change, full, departure->slot, arrival);
	consider(state, &trial, &change, choice);
}

/* It gets a lighter expert from a third rank, which takes the replica that was dropped. */
static void consider_rotation(const state_t *state, uint32_t full, const departure_t *departure,
			      uint32_t third, uint32_t slot, choice_t *choice)
{
	uint32_t expert = at(state, full, departure->slot);
	uint32_t dropped = at(state, departure->rank, departure->into);
	uint32_t arrival = at(state, third, slot);
	uint64_t arrival_after = state->hosts[arrival] ^ (1ULL << third | 1ULL << full);
	uint64_t dropped_after = state->hosts[dropped] ^ (1ULL << departure->rank | 1ULL << third);
	change_t change = { .n = 0 };
	trial_t trial = { .touched = 0 };

	if (arrival == dropped || holds(state, full, arrival) || holds(state, third, dropped) ||
	    part_of(state, arrival) >= part_of(state, expert) ||
	    would_be_fuller(state, third, part_of(state, dropped) - part_of(state, arrival),
			    full) ||
	    would_be_fuller(state, departure->rank,
			    part_of(state, expert) - part_of(state, dropped), full) ||
	    !keeps_spread(state, arrival, arrival_after) ||
	    !keeps_spread(state, dropped, dropped_after))
		return;
	add_load(state, &trial, full, part_of(state, arrival) - part_of(state, expert));
	add_load(state, &trial, departure->rank, part_of(state, expert) - part_of(state, dropped));
	add_load(state, &trial, third, part_of(state, dropped) - part_of(state, arrival));
	add_load_step(&change, departure->rank, departure->into, expert);
	add_load_step(&change, full, departure->slot, arrival);
	add_load_step(&change, third, slot, dropped);
	consider(state, &trial, &change, choice);
}

static void consider_arrivals(const state_t *state, uint32_t full, const departure_t *departure,
			      choice_t *choice)
{
	const skh_balance_view_t *view = state->view;

	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		if (rank == full || !is_live(view, rank))
			continue;
		for (uint32_t slot = 0; slot < view->n_slots; slot++) {
			uint32_t arrival = at(state, rank, slot);

			/* One more replica is worth having where ranks are full. */
			if (state->load[rank] * state->per_mean > 1.0 || rank == departure->rank)
				consider_arrival(state, full, departure, arrival, choice);
			if (rank != departure->rank)
				consider_rotation(state, full, departure, rank, slot, choice);
		}
	}
}

static void consider_moves(const state_t *state, uint32_t full, choice_t *choice)
{
	departure_t departures[MAX_DEPARTURES];
	uint32_t n = find_departures(state, full, departures);

	for (uint32_t i = 0; i < n; i++)
		consider_arrivals(state, full, &departures[i], choice);
}

/* What relieves @full: another replica of one of its experts, or a swap. */
static void consider_rank(const state_t *state, uint32_t full, choice_t *choice)
{
	const skh_balance_view_t *view = state->view;

	for (uint32_t mine = 0; mine < view->n_slots; mine++) {
		uint32_t expert = at(state, full, mine);

		for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
			if (rank == full || !is_live(view, rank))
				continue;
			for (uint32_t slot = 0; slot < view->n_slots; slot++)
				consider_swap(state, full, mine, rank, slot, choice);
		}
		for (uint32_t i = 0; i < state->n_spare; i++)
			consider_replace(state, state->spare[i].rank, state->spare[i].slot, expert,
					 choice);
		/* Dropping a replica here for a colder expert may relieve it, too. */
		for (uint32_t other = 0; count(state, expert) >= 2 && other < view->n_experts;
		     other++)
			consider_replace(state, full, mine, other, choice);
	}
	consider_moves(state, full, choice);
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

/* Loads that may still be added. */
static uint32_t room_in(const state_t *state, const skh_balance_plan_t *plan)
{
	return MIN(state->view->max_loads, SKH_BALANCE_MAX_MOVES) - plan->n_moves;
}

static bool plan_load(state_t *state, skh_balance_plan_t *plan, uint32_t rank, uint32_t slot,
		      uint32_t expert)
{
	uint32_t *cell = &state->placement[rank * state->view->n_slots + slot];

	if (room_in(state, plan) == 0)
		return false;
	plan->moves[plan->n_moves++] = (skh_move_t){ rank, slot, expert, 0 };
	state->hosts[*cell] &= ~(1ULL << rank);
	state->hosts[expert] |= 1ULL << rank;
	*cell = expert;
	return true;
}

/* The slot whose replica is missed least, on the emptiest rank that has one. */
static bool find_spare(const state_t *state, uint32_t expert, uint32_t *rank, uint32_t *slot)
{
	const skh_balance_view_t *view = state->view;
	double least = INFINITY;

	for (uint32_t i = 0; i < state->n_spare; i++) {
		place_t spare = state->spare[i];
		uint32_t held = at(state, spare.rank, spare.slot);
		double cost = state->load[spare.rank] +
			      view->forecast[held] * state->per_speed[spare.rank];

		if (holds(state, spare.rank, expert) || cost >= least)
			continue;
		least = cost;
		*rank = spare.rank;
		*slot = spare.slot;
	}
	return least < INFINITY;
}

/* Experts whose last rank is lost come back first, the most used before others. */
static bool restore_missing(state_t *state, skh_balance_plan_t *plan)
{
	const skh_balance_view_t *view = state->view;

	for (;;) {
		uint32_t missing = view->n_experts;
		uint32_t rank = 0;
		uint32_t slot = 0;

		for (uint32_t expert = 0; expert < view->n_experts; expert++) {
			if (state->hosts[expert] == 0 &&
			    (missing == view->n_experts ||
			     view->forecast[expert] > view->forecast[missing]))
				missing = expert;
		}
		if (missing == view->n_experts)
			return true;
		if (!find_spare(state, missing, &rank, &slot) ||
		    !plan_load(state, plan, rank, slot, missing))
			return false;
		recompute(state);
	}
}

static void apply(state_t *state, skh_balance_plan_t *plan, const change_t *change)
{
	for (uint32_t i = 0; i < change->n; i++)
		(void)plan_load(state, plan, change->rank[i], change->slot[i], change->expert[i]);
	recompute(state);
}

/* Takes the best change as long as one is worth its cost. */
static void descend(state_t *state, skh_balance_plan_t *plan)
{
	for (;;) {
		choice_t choice = { 0 };
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

static uint32_t heaviest_on(const state_t *state, uint32_t rank)
{
	uint32_t heaviest = at(state, rank, 0);

	for (uint32_t slot = 1; slot < state->view->n_slots; slot++) {
		if (part_of(state, at(state, rank, slot)) > part_of(state, heaviest))
			heaviest = at(state, rank, slot);
	}
	return heaviest;
}

/* One more replica of @expert where it does least harm, though that be a new fullest rank. */
static bool find_kick(const state_t *state, uint32_t expert, change_t *kick)
{
	choice_t choice = { .best = { { .norm = INFINITY } } };

	for (uint32_t i = 0; i < state->n_spare; i++)
		consider_replace(state, state->spare[i].rank, state->spare[i].slot, expert,
				 &choice);
	*kick = choice.best[0];
	return kick->n > 0;
}

static state_t *copy_state(const state_t *from)
{
	const skh_balance_view_t *view = from->view;
	state_t *state = g_memdup2(from, sizeof(*from));

	state->placement =
		g_memdup2(from->placement, view->n_ranks * view->n_slots * sizeof(uint32_t));
	state->hosts = g_memdup2(from->hosts, view->n_experts * sizeof(uint64_t));
	state->part = g_memdup2(from->part, view->n_experts * sizeof(double));
	state->count = g_memdup2(from->count, view->n_experts * sizeof(uint32_t));
	state->spare = g_memdup2(from->spare, view->n_ranks * view->n_slots * sizeof(place_t));
	return state;
}

static void free_state(state_t *state)
{
	g_free(state->placement);
	g_free(state->hosts);
	g_free(state->part);
	g_free(state->count);
	g_free(state->spare);
	g_free(state);
}

/*
 * An expert that fills a rank alone can only be relieved by one more replica,
 * and that needs a rank which is emptied first: worse before it gets better.
 */
static bool kick(state_t **state, skh_balance_plan_t *plan)
{
	const skh_balance_view_t *view = (*state)->view;
	skh_balance_plan_t *trial_plan;
	state_t *trial;
	change_t change;
	double gain;

	if (room_in(*state, plan) == 0 ||
	    !find_kick(*state, heaviest_on(*state, fullest(*state)), &change))
		return false;
	trial = copy_state(*state);
	trial_plan = g_memdup2(plan, sizeof(*plan));
	apply(trial, trial_plan, &change);
	descend(trial, trial_plan);
	gain = view->skew_weight *
		       (smooth_skew(*state, (*state)->norm) - smooth_skew(trial, trial->norm)) -
	       view->cost_weight * view->load_cost * (double)(trial_plan->n_moves - plan->n_moves);
	if (gain > 0.0) {
		state_t *old = *state;

		*state = trial;
		*plan = *trial_plan;
		trial = old;
	}
	free_state(trial);
	g_free(trial_plan);
	return gain > 0.0;
}

static void improve(state_t **state, skh_balance_plan_t *plan)
{
	do
		descend(*state, plan);
	while (kick(state, plan));
}

/* For each stage: the ranks that hold an expert during all of it. */
typedef struct schedule {
	uint32_t n_experts;
	uint32_t n_stages; /* rows of @hosts, one more than the plan may use */
	uint64_t *hosts;   /* [n_stages][n_experts] */
} schedule_t;

static uint64_t *hosts_at(const schedule_t *schedule, uint32_t stage, uint32_t expert)
{
	return &schedule->hosts[(size_t)stage * schedule->n_experts + expert];
}

/* From @stage on, @old is gone from the rank and always stands somewhere else. */
static bool fits(const schedule_t *schedule, const skh_move_t *move, uint32_t old, uint32_t stage)
{
	uint64_t bit = 1ULL << move->rank;

	if ((*hosts_at(schedule, stage, old) & bit) == 0)
		return false;
	for (uint32_t t = stage; t < schedule->n_stages; t++) {
		if ((*hosts_at(schedule, t, old) & ~bit) == 0 ||
		    (*hosts_at(schedule, t, move->expert) & bit) != 0)
			return false;
	}
	return true;
}

static void enter(schedule_t *schedule, const skh_move_t *move, uint32_t old)
{
	uint64_t bit = 1ULL << move->rank;

	for (uint32_t t = move->stage; t < schedule->n_stages; t++) {
		*hosts_at(schedule, t, old) &= ~bit;
		/* It serves from the stage after the one that loads it. */
		if (t > move->stage)
			*hosts_at(schedule, t, move->expert) |= bit;
	}
}

static int by_stage(const void *a, const void *b)
{
	const skh_move_t *left = a;
	const skh_move_t *right = b;

	if (left->stage != right->stage)
		return left->stage < right->stage ? -1 : 1;
	if (left->rank != right->rank)
		return left->rank < right->rank ? -1 : 1;
	return (left->slot > right->slot) - (left->slot < right->slot);
}

/*
 * Puts each load into the first stage during which its slot's old expert stands
 * elsewhere. The order of the decisions, one load a stage, always works.
 */
static void find_stages(const skh_balance_view_t *view, skh_balance_plan_t *plan)
{
	g_autofree uint32_t *placement =
		g_memdup2(view->placement, view->n_ranks * view->n_slots * sizeof(uint32_t));
	schedule_t schedule = { view->n_experts, plan->n_moves + 1, NULL };

	schedule.hosts = g_new(uint64_t, (size_t)schedule.n_stages * view->n_experts);
	for (uint32_t t = 0; t < schedule.n_stages; t++)
		find_hosts(view, placement, hosts_at(&schedule, t, 0));
	for (uint32_t i = 0; i < plan->n_moves; i++) {
		skh_move_t *move = &plan->moves[i];
		uint32_t *cell = &placement[move->rank * view->n_slots + move->slot];

		while (move->stage + 1 < schedule.n_stages &&
		       !fits(&schedule, move, *cell, move->stage))
			move->stage++;
		enter(&schedule, move, *cell);
		*cell = move->expert;
		plan->n_stages = MAX(plan->n_stages, move->stage + 1);
	}
	g_free(schedule.hosts);
	qsort(plan->moves, plan->n_moves, sizeof(skh_move_t), by_stage);
}

static state_t *new_state(const skh_balance_view_t *view)
{
	state_t *state = g_new0(state_t, 1);
	size_t n_places = (size_t)view->n_ranks * view->n_slots;

	state->view = view;
	state->placement = g_memdup2(view->placement, n_places * sizeof(uint32_t));
	state->hosts = g_new0(uint64_t, view->n_experts);
	state->part = g_new0(double, view->n_experts);
	state->count = g_new0(uint32_t, view->n_experts);
	state->spare = g_new0(place_t, n_places);
	state->per_mean = 1.0 / mean_load(view, view->forecast);
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		state->n_live += is_live(view, rank);
		state->per_speed[rank] = is_live(view, rank) ? 1.0 / view->speed[rank] : 0.0;
	}
	find_hosts(view, state->placement, state->hosts);
	recompute(state);
	return state;
}

bool skh_balance_decide(const skh_balance_view_t *view, skh_balance_plan_t *plan)
{
	state_t *state;
	bool complete;

	memset(plan, 0, sizeof(*plan));
	if (view->n_ranks > SKH_BALANCE_MAX_RANKS)
		return false;
	state = new_state(view);
	plan->skew_before = skew_of(view, state->hosts, view->forecast);
	complete = state->n_live > 0 && restore_missing(state, plan);
	if (complete)
		improve(&state, plan);
	plan->skew_after = skew_of(view, state->hosts, view->forecast);
	find_stages(view, plan);
	free_state(state);
	return complete;
}
