#include "layout.h"

#include <glib.h>
#include <math.h>
#include <string.h>

/*
 * Load ratios enter the norm to the power 2^4 = 16, so that ranks close to the most loaded
 * one weigh nearly as much as it does.
 */
#define NORM_SQUARINGS 4
/*
 * Root that converts the mean of the norm's terms into a skew. It is twice the power of the
 * terms, so the result is the square root of the power mean of the load ratios.
 */
#define SMOOTH_SKEW_ROOT 32.0

static double raise_to_norm_power(double value)
{
	for (int32_t i = 0; i < NORM_SQUARINGS; i++)
		value *= value;
	return value;
}

static double compute_norm_term(const skh_layout_t *layout, double load)
{
	return raise_to_norm_power(load * layout->inverse_mean_load);
}

void skh_layout_find_hosts(const skh_rebalance_input_t *input, const uint32_t *placement,
			   uint64_t *hosts)
{
	memset(hosts, 0, input->n_experts * sizeof(*hosts));
	for (uint32_t rank = 0; rank < input->n_ranks; rank++) {
		if (!skh_layout_is_rank_live(input, rank))
			continue;
		for (uint32_t slot = 0; slot < input->slots_per_rank; slot++)
			hosts[placement[rank * input->slots_per_rank + slot]] |= 1ULL << rank;
	}
}

/* The tokens of an expert are divided equally among its hosts. */
static void compute_loads(const skh_rebalance_input_t *input, const uint64_t *hosts,
			  const double *shares, double *load)
{
	memset(load, 0, input->n_ranks * sizeof(*load));
	for (uint32_t expert = 0; expert < input->n_experts; expert++) {
		uint64_t remaining = hosts[expert];
		double replica_work =
			shares[expert] / (double)MAX(__builtin_popcountll(remaining), 1);

		for (; remaining != 0; remaining &= remaining - 1) {
			uint32_t rank = (uint32_t)__builtin_ctzll(remaining);

			load[rank] += replica_work / input->speed[rank];
		}
	}
}

/* Returns the load of every rank if the tokens were divided in proportion to speed. */
static double compute_mean_load(const skh_rebalance_input_t *input, const double *shares)
{
	double work = 0.0;
	double speed = 0.0;

	for (uint32_t expert = 0; expert < input->n_experts; expert++)
		work += shares[expert];
	for (uint32_t rank = 0; rank < input->n_ranks; rank++)
		speed += input->speed[rank];
	return speed > 0.0 && work > 0.0 ? work / speed : 1.0;
}

double skh_layout_compute_skew(const skh_rebalance_input_t *input, const uint64_t *hosts,
			       const double *shares)
{
	g_autofree double *load = g_new(double, input->n_ranks);
	double max_load = 0.0;

	compute_loads(input, hosts, shares, load);
	for (uint32_t rank = 0; rank < input->n_ranks; rank++)
		max_load = MAX(max_load, load[rank]);
	return max_load / compute_mean_load(input, shares);
}

static void find_redundant_slots(skh_layout_t *layout)
{
	const skh_rebalance_input_t *input = layout->input;

	layout->n_redundant_slots = 0;
	for (uint32_t rank = 0; rank < input->n_ranks; rank++) {
		for (uint32_t slot = 0;
		     skh_layout_is_rank_live(input, rank) && slot < input->slots_per_rank; slot++) {
			if (skh_layout_replica_count(layout,
						     skh_layout_expert_at(layout, rank, slot)) >= 2)
				layout->redundant_slots[layout->n_redundant_slots++] =
					(skh_rank_slot_t){ rank, slot };
		}
	}
}

void skh_layout_recompute(skh_layout_t *layout)
{
	const skh_rebalance_input_t *input = layout->input;

	compute_loads(input, layout->hosts, input->forecast_shares, layout->load);
	layout->norm = 0.0;
	for (uint32_t expert = 0; expert < input->n_experts; expert++) {
		layout->replica_count[expert] =
			(uint32_t)__builtin_popcountll(layout->hosts[expert]);
		layout->replica_work[expert] =
			input->forecast_shares[expert] /
			(double)MAX(skh_layout_replica_count(layout, expert), 1);
	}
	find_redundant_slots(layout);
	for (uint32_t rank = 0; rank < input->n_ranks; rank++) {
		layout->norm_term[rank] = compute_norm_term(layout, layout->load[rank]);
		if (skh_layout_is_rank_live(input, rank))
			layout->norm += layout->norm_term[rank];
	}
}

double skh_layout_smooth_skew(const skh_layout_t *layout, double norm)
{
	return pow(norm / (double)layout->n_live_ranks, 1.0 / SMOOTH_SKEW_ROOT);
}

void skh_layout_trial_add_load(const skh_layout_t *layout, skh_layout_trial_t *trial, uint32_t rank,
			       double work)
{
	if ((trial->changed_ranks >> rank & 1) == 0) {
		trial->changed_ranks |= 1ULL << rank;
		trial->load[rank] = layout->load[rank];
	}
	trial->load[rank] += work * layout->inverse_speed[rank];
}

void skh_layout_trial_change_hosts(const skh_layout_t *layout, skh_layout_trial_t *trial,
				   uint32_t expert, uint64_t before, uint64_t after)
{
	double share = layout->input->forecast_shares[expert];
	double work_before = share / (double)MAX(__builtin_popcountll(before), 1);
	double work_after = share / (double)MAX(__builtin_popcountll(after), 1);

	for (uint64_t remaining = before; remaining != 0; remaining &= remaining - 1)
		skh_layout_trial_add_load(layout, trial, (uint32_t)__builtin_ctzll(remaining),
					  -work_before);
	for (uint64_t remaining = after; remaining != 0; remaining &= remaining - 1)
		skh_layout_trial_add_load(layout, trial, (uint32_t)__builtin_ctzll(remaining),
					  work_after);
}

double skh_layout_trial_norm(const skh_layout_t *layout, const skh_layout_trial_t *trial)
{
	double norm = layout->norm;

	for (uint64_t remaining = trial->changed_ranks; remaining != 0;
	     remaining &= remaining - 1) {
		uint32_t rank = (uint32_t)__builtin_ctzll(remaining);

		norm += compute_norm_term(layout, trial->load[rank]) - layout->norm_term[rank];
	}
	return MAX(norm, 0.0);
}

static bool spans_failure_domains(const skh_layout_t *layout, uint64_t hosts)
{
	const uint32_t *domain = layout->input->failure_domain;
	uint32_t first_domain = domain[__builtin_ctzll(hosts)];

	for (; hosts != 0; hosts &= hosts - 1) {
		if (domain[__builtin_ctzll(hosts)] != first_domain)
			return true;
	}
	return false;
}

bool skh_layout_keeps_spread(const skh_layout_t *layout, uint32_t expert, uint64_t after)
{
	uint64_t before = layout->hosts[expert];

	return __builtin_popcountll(after) < 2 || spans_failure_domains(layout, after) ||
	       !spans_failure_domains(layout, before);
}

skh_layout_t *skh_layout_new(const skh_rebalance_input_t *input)
{
	skh_layout_t *layout = g_new0(skh_layout_t, 1);
	size_t total_slots = (size_t)input->n_ranks * input->slots_per_rank;

	layout->input = input;
	layout->placement = g_memdup2(input->placement, total_slots * sizeof(uint32_t));
	layout->hosts = g_new0(uint64_t, input->n_experts);
	layout->replica_work = g_new0(double, input->n_experts);
	layout->replica_count = g_new0(uint32_t, input->n_experts);
	layout->redundant_slots = g_new0(skh_rank_slot_t, total_slots);
	layout->inverse_speed = g_new0(double, input->n_ranks);
	layout->load = g_new0(double, input->n_ranks);
	layout->norm_term = g_new0(double, input->n_ranks);
	layout->copies_left = g_new0(uint32_t, input->n_ranks);
	layout->inverse_mean_load = 1.0 / compute_mean_load(input, input->forecast_shares);
	for (uint32_t rank = 0; rank < input->n_ranks; rank++) {
		layout->n_live_ranks += skh_layout_is_rank_live(input, rank);
		layout->copies_left[rank] =
			input->max_copies_per_rank ? input->max_copies_per_rank[rank] : UINT32_MAX;
		layout->inverse_speed[rank] =
			skh_layout_is_rank_live(input, rank) ? 1.0 / input->speed[rank] : 0.0;
	}
	skh_layout_find_hosts(input, layout->placement, layout->hosts);
	skh_layout_recompute(layout);
	return layout;
}

skh_layout_t *skh_layout_copy(const skh_layout_t *source)
{
	const skh_rebalance_input_t *input = source->input;
	skh_layout_t *layout = g_memdup2(source, sizeof(*source));

	layout->placement = g_memdup2(source->placement,
				      input->n_ranks * input->slots_per_rank * sizeof(uint32_t));
	layout->hosts = g_memdup2(source->hosts, input->n_experts * sizeof(uint64_t));
	layout->replica_work = g_memdup2(source->replica_work, input->n_experts * sizeof(double));
	layout->replica_count =
		g_memdup2(source->replica_count, input->n_experts * sizeof(uint32_t));
	layout->redundant_slots =
		g_memdup2(source->redundant_slots,
			  input->n_ranks * input->slots_per_rank * sizeof(skh_rank_slot_t));
	layout->inverse_speed = g_memdup2(source->inverse_speed, input->n_ranks * sizeof(double));
	layout->load = g_memdup2(source->load, input->n_ranks * sizeof(double));
	layout->norm_term = g_memdup2(source->norm_term, input->n_ranks * sizeof(double));
	layout->copies_left = g_memdup2(source->copies_left, input->n_ranks * sizeof(uint32_t));
	return layout;
}

void skh_layout_free(skh_layout_t *layout)
{
	g_free(layout->placement);
	g_free(layout->hosts);
	g_free(layout->replica_work);
	g_free(layout->replica_count);
	g_free(layout->redundant_slots);
	g_free(layout->inverse_speed);
	g_free(layout->load);
	g_free(layout->norm_term);
	g_free(layout->copies_left);
	g_free(layout);
}
