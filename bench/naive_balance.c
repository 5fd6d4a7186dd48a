#include "naive_balance.h"

#include <glib.h>
#include <string.h>

typedef struct replica {
	uint32_t expert;
	double load;
} replica_t;

static int compare_load_descending(const void *a, const void *b)
{
	double left = ((const replica_t *)a)->load;
	double right = ((const replica_t *)b)->load;

	return (left < right) - (left > right);
}

/* Gives each remaining slot to the expert with the highest load per replica. */
static void compute_replica_counts(const skh_rebalance_input_t *input, uint32_t *replica_counts)
{
	uint32_t n_remaining = input->n_ranks * input->slots_per_rank - input->n_experts;

	for (uint32_t i = 0; i < input->n_experts; i++)
		replica_counts[i] = 1;
	while (n_remaining-- > 0) {
		uint32_t busiest = 0;

		for (uint32_t i = 1; i < input->n_experts; i++) {
			if (input->forecast_shares[i] / replica_counts[i] >
			    input->forecast_shares[busiest] / replica_counts[busiest])
				busiest = i;
		}
		replica_counts[busiest]++;
	}
}

static bool row_has_expert(const uint32_t *row, uint32_t n, uint32_t expert)
{
	for (uint32_t i = 0; i < n; i++) {
		if (row[i] == expert)
			return true;
	}
	return false;
}

/*
 * Places each replica, heaviest first, on the least loaded rank that has a free slot
 * and no replica of the same expert. If every rank with a free slot holds a replica of
 * the expert, the least loaded of these ranks receives another one.
 */
static void place_replicas(const skh_rebalance_input_t *input, const replica_t *replicas,
			   uint32_t n_replicas, uint32_t *rows)
{
	g_autofree double *rank_loads = g_new0(double, input->n_ranks);
	g_autofree uint32_t *used_slots = g_new0(uint32_t, input->n_ranks);

	for (uint32_t i = 0; i < n_replicas; i++) {
		uint32_t best = UINT32_MAX;
		uint32_t fallback = UINT32_MAX;

		for (uint32_t rank = 0; rank < input->n_ranks; rank++) {
			if (used_slots[rank] == input->slots_per_rank)
				continue;
			if (fallback == UINT32_MAX || rank_loads[rank] < rank_loads[fallback])
				fallback = rank;
			if (row_has_expert(&rows[rank * input->slots_per_rank], used_slots[rank],
					   replicas[i].expert))
				continue;
			if (best == UINT32_MAX || rank_loads[rank] < rank_loads[best])
				best = rank;
		}
		if (best == UINT32_MAX)
			best = fallback;
		rows[best * input->slots_per_rank + used_slots[best]++] = replicas[i].expert;
		rank_loads[best] += replicas[i].load;
	}
}

static uint32_t count_shared_experts(const skh_rebalance_input_t *input, const uint32_t *old_row,
				     const uint32_t *row)
{
	uint32_t n_shared = 0;

	for (uint32_t i = 0; i < input->slots_per_rank; i++)
		n_shared += row_has_expert(old_row, input->slots_per_rank, row[i]);
	return n_shared;
}

/*
 * A row holds the experts that one rank is to hold; its index is not yet a rank number.
 * Assigns each row to the rank that now holds the most of its experts, best pairs first,
 * so that few experts are copied.
 */
static void match_rows_to_ranks(const skh_rebalance_input_t *input, const uint32_t *rows,
				uint32_t *placement)
{
	g_autofree bool *is_row_used = g_new0(bool, input->n_ranks);
	g_autofree bool *is_rank_used = g_new0(bool, input->n_ranks);
	size_t row_bytes = input->slots_per_rank * sizeof(uint32_t);

	for (uint32_t n = 0; n < input->n_ranks; n++) {
		uint32_t best_rank = 0;
		uint32_t best_row = 0;
		int64_t best = -1;

		for (uint32_t rank = 0; rank < input->n_ranks; rank++) {
			for (uint32_t row = 0; !is_rank_used[rank] && row < input->n_ranks; row++) {
				int64_t shared;

				if (is_row_used[row])
					continue;
				shared = count_shared_experts(
					input, &input->placement[rank * input->slots_per_rank],
					&rows[row * input->slots_per_rank]);
				if (shared > best) {
					best = shared;
					best_rank = rank;
					best_row = row;
				}
			}
		}
		is_rank_used[best_rank] = true;
		is_row_used[best_row] = true;
		memcpy(&placement[best_rank * input->slots_per_rank],
		       &rows[best_row * input->slots_per_rank], row_bytes);
	}
}

uint32_t naive_count_copies(const skh_rebalance_input_t *input, const uint32_t *before,
			    const uint32_t *after)
{
	uint32_t n_copies = 0;

	for (uint32_t rank = 0; rank < input->n_ranks; rank++)
		n_copies += input->slots_per_rank -
			    count_shared_experts(input, &before[rank * input->slots_per_rank],
						 &after[rank * input->slots_per_rank]);
	return n_copies;
}

uint32_t naive_balance(const skh_rebalance_input_t *input, uint32_t *placement)
{
	uint32_t n_total_slots = input->n_ranks * input->slots_per_rank;
	g_autofree uint32_t *replica_counts = g_new(uint32_t, input->n_experts);
	g_autofree replica_t *replicas = g_new(replica_t, n_total_slots);
	g_autofree uint32_t *rows = g_new0(uint32_t, n_total_slots);
	uint32_t n_replicas = 0;

	compute_replica_counts(input, replica_counts);
	for (uint32_t i = 0; i < input->n_experts; i++) {
		for (uint32_t k = 0; k < replica_counts[i]; k++)
			replicas[n_replicas++] =
				(replica_t){ i, input->forecast_shares[i] / replica_counts[i] };
	}
	qsort(replicas, n_replicas, sizeof(*replicas), compare_load_descending);
	place_replicas(input, replicas, n_replicas, rows);
	match_rows_to_ranks(input, rows, placement);
	return naive_count_copies(input, input->placement, placement);
}
