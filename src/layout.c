#include "layout.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/* Ranks near the fullest count nearly as much as it does: the norm's power is 2^4. */
#define POWER_SQUARINGS 4
#define POWER		32.0

static double to_power(double value)
{
	for (int32_t i = 0; i < POWER_SQUARINGS; i++)
		value *= value;
	return value;
}

static double term(const skh_layout_t *state, double load)
{
	return to_power(load * state->inverse_mean_load);
}

void skh_layout_find_hosts(const skh_rebalance_input_t *view, const uint32_t *placement,
			   uint64_t *hosts)
{
	memset(hosts, 0, view->n_experts * sizeof(*hosts));
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		if (!skh_layout_is_rank_live(view, rank))
			continue;
		for (uint32_t slot = 0; slot < view->n_slots; slot++)
			hosts[placement[rank * view->n_slots + slot]] |= 1ULL << rank;
	}
}

/* Each host of an expert takes an equal part of its tokens. */
static void find_loads(const skh_rebalance_input_t *view, const uint64_t *hosts,
		       const double *shares, double *load)
{
	memset(load, 0, SKH_REBALANCE_MAX_RANKS * sizeof(*load));
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
static double mean_load(const skh_rebalance_input_t *view, const double *shares)
{
	double work = 0.0;
	double speed = 0.0;

	for (uint32_t expert = 0; expert < view->n_experts; expert++)
		work += shares[expert];
	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		speed += view->speed[rank];
	return speed > 0.0 && work > 0.0 ? work / speed : 1.0;
}

double skh_layout_compute_skew(const skh_rebalance_input_t *view, const uint64_t *hosts,
			       const double *shares)
{
	double load[SKH_REBALANCE_MAX_RANKS];
	double greatest = 0.0;

	find_loads(view, hosts, shares, load);
	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		greatest = MAX(greatest, load[rank]);
	return greatest / mean_load(view, shares);
}

static void find_spares(skh_layout_t *state)
{
	const skh_rebalance_input_t *view = state->view;

	state->n_redundant_slots = 0;
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		for (uint32_t slot = 0; skh_layout_is_rank_live(view, rank) && slot < view->n_slots;
		     slot++) {
			if (skh_layout_replica_count(state,
						     skh_layout_expert_at(state, rank, slot)) >= 2)
				state->redundant_slots[state->n_redundant_slots++] =
					(skh_rank_slot_t){ rank, slot };
		}
	}
}

void skh_layout_recompute(skh_layout_t *state)
{
	const skh_rebalance_input_t *view = state->view;

	find_loads(view, state->hosts, view->forecast_shares, state->load);
	state->norm = 0.0;
	for (uint32_t expert = 0; expert < view->n_experts; expert++) {
		state->replica_count[expert] = (uint32_t)__builtin_popcountll(state->hosts[expert]);
		state->replica_work[expert] =
			view->forecast_shares[expert] /
			(double)MAX(skh_layout_replica_count(state, expert), 1);
	}
	find_spares(state);
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		state->norm_term[rank] = term(state, state->load[rank]);
		if (skh_layout_is_rank_live(view, rank))
			state->norm += state->norm_term[rank];
	}
}

double skh_layout_smooth_skew(const skh_layout_t *state, double norm)
{
	return pow(norm / (double)state->n_live_ranks, 1.0 / POWER);
}

void skh_layout_trial_add_load(const skh_layout_t *state, skh_layout_trial_t *trial, uint32_t rank,
			       double work)
{
	if ((trial->changed_ranks >> rank & 1) == 0) {
		trial->changed_ranks |= 1ULL << rank;
		trial->load[rank] = state->load[rank];
	}
	trial->load[rank] += work * state->inverse_speed[rank];
}

/* The load that @expert puts on its hosts changes from @before to @after. */
void skh_layout_trial_change_hosts(const skh_layout_t *state, skh_layout_trial_t *trial,
				   uint32_t expert, uint64_t before, uint64_t after)
{
	double share = state->view->forecast_shares[expert];
	double part_before = share / (double)MAX(__builtin_popcountll(before), 1);
	double part_after = share / (double)MAX(__builtin_popcountll(after), 1);

	for (uint64_t left = before; left != 0; left &= left - 1)
		skh_layout_trial_add_load(state, trial, (uint32_t)__builtin_ctzll(left),
					  -part_before);
	for (uint64_t left = after; left != 0; left &= left - 1)
		skh_layout_trial_add_load(state, trial, (uint32_t)__builtin_ctzll(left),
					  part_after);
}

double skh_layout_trial_norm(const skh_layout_t *state, const skh_layout_trial_t *trial)
{
	double norm = state->norm;

	for (uint64_t left = trial->changed_ranks; left != 0; left &= left - 1) {
		uint32_t rank = (uint32_t)__builtin_ctzll(left);

		norm += term(state, trial->load[rank]) - state->norm_term[rank];
	}
	return MAX(norm, 0.0);
}

/* Replicas that stand in different failure domains are not brought into one. */
static bool is_spread(const skh_layout_t *state, uint64_t hosts)
{
	const uint32_t *domain = state->view->failure_domain;
	uint32_t first = domain[__builtin_ctzll(hosts)];

	for (; hosts != 0; hosts &= hosts - 1) {
		if (domain[__builtin_ctzll(hosts)] != first)
			return true;
	}
	return false;
}

bool skh_layout_keeps_spread(const skh_layout_t *state, uint32_t expert, uint64_t after)
{
	uint64_t before = state->hosts[expert];

	return __builtin_popcountll(after) < 2 || is_spread(state, after) ||
	       !is_spread(state, before);
}

skh_layout_t *skh_layout_new(const skh_rebalance_input_t *view)
{
	skh_layout_t *state = g_new0(skh_layout_t, 1);
	size_t n_places = (size_t)view->n_ranks * view->n_slots;

	state->view = view;
	state->placement = g_memdup2(view->placement, n_places * sizeof(uint32_t));
	state->hosts = g_new0(uint64_t, view->n_experts);
	state->replica_work = g_new0(double, view->n_experts);
	state->replica_count = g_new0(uint32_t, view->n_experts);
	state->redundant_slots = g_new0(skh_rank_slot_t, n_places);
	state->inverse_mean_load = 1.0 / mean_load(view, view->forecast_shares);
	for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
		state->n_live_ranks += skh_layout_is_rank_live(view, rank);
		state->copies_left[rank] =
			view->max_rank_copies ? view->max_rank_copies[rank] : UINT32_MAX;
		state->inverse_speed[rank] =
			skh_layout_is_rank_live(view, rank) ? 1.0 / view->speed[rank] : 0.0;
	}
	skh_layout_find_hosts(view, state->placement, state->hosts);
	skh_layout_recompute(state);
	return state;
}

skh_layout_t *skh_layout_copy(const skh_layout_t *from)
{
	const skh_rebalance_input_t *view = from->view;
	skh_layout_t *state = g_memdup2(from, sizeof(*from));

	state->placement =
		g_memdup2(from->placement, view->n_ranks * view->n_slots * sizeof(uint32_t));
	state->hosts = g_memdup2(from->hosts, view->n_experts * sizeof(uint64_t));
	state->replica_work = g_memdup2(from->replica_work, view->n_experts * sizeof(double));
	state->replica_count = g_memdup2(from->replica_count, view->n_experts * sizeof(uint32_t));
	state->redundant_slots = g_memdup2(from->redundant_slots,
					   view->n_ranks * view->n_slots * sizeof(skh_rank_slot_t));
	return state;
}

void skh_layout_free(skh_layout_t *state)
{
	g_free(state->placement);
	g_free(state->hosts);
	g_free(state->replica_work);
	g_free(state->replica_count);
	g_free(state->redundant_slots);
	g_free(state);
}
