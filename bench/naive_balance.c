#include "naive_balance.h"

#include <glib.h>
#include <string.h>

typedef struct piece {
	uint32_t expert;
	double load;
} piece_t;

static int by_load(const void *a, const void *b)
{
	double left = ((const piece_t *)a)->load;
	double right = ((const piece_t *)b)->load;

	return (left < right) - (left > right);
}

/* Every further replica goes to the expert with the greatest load for each replica. */
static void choose_replicas(const skh_rebalance_input_t *view, uint32_t *replicas)
{
	uint32_t left = view->n_ranks * view->n_slots - view->n_experts;

	for (uint32_t i = 0; i < view->n_experts; i++)
		replicas[i] = 1;
	while (left-- > 0) {
		uint32_t best = 0;

		for (uint32_t i = 1; i < view->n_experts; i++) {
			if (view->forecast_shares[i] / replicas[i] >
			    view->forecast_shares[best] / replicas[best])
				best = i;
		}
		replicas[best]++;
	}
}

static bool row_holds(const uint32_t *row, uint32_t n, uint32_t expert)
{
	for (uint32_t i = 0; i < n; i++) {
		if (row[i] == expert)
			return true;
	}
	return false;
}

/* The heaviest piece goes to the emptiest rank with room that does not hold it. */
static void pack(const skh_rebalance_input_t *view, const piece_t *pieces, uint32_t n,
		 uint32_t *rows)
{
	g_autofree double *load = g_new0(double, view->n_ranks);
	g_autofree uint32_t *used = g_new0(uint32_t, view->n_ranks);

	for (uint32_t i = 0; i < n; i++) {
		uint32_t best = UINT32_MAX;
		uint32_t fallback = UINT32_MAX;

		for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
			if (used[rank] == view->n_slots)
				continue;
			if (fallback == UINT32_MAX || load[rank] < load[fallback])
				fallback = rank;
			if (row_holds(&rows[rank * view->n_slots], used[rank], pieces[i].expert))
				continue;
			if (best == UINT32_MAX || load[rank] < load[best])
				best = rank;
		}
		if (best == UINT32_MAX)
			best = fallback;
		rows[best * view->n_slots + used[best]++] = pieces[i].expert;
		load[best] += pieces[i].load;
	}
}

static uint32_t overlap(const skh_rebalance_input_t *view, const uint32_t *old, const uint32_t *row)
{
	uint32_t n = 0;

	for (uint32_t i = 0; i < view->n_slots; i++)
		n += row_holds(old, view->n_slots, row[i]);
	return n;
}

/* Gives each old rank the new row that shares most with it, best pairs first. */
static void relabel(const skh_rebalance_input_t *view, const uint32_t *rows, uint32_t *placement)
{
	g_autofree bool *row_used = g_new0(bool, view->n_ranks);
	g_autofree bool *rank_used = g_new0(bool, view->n_ranks);
	size_t row_bytes = view->n_slots * sizeof(uint32_t);

	for (uint32_t n = 0; n < view->n_ranks; n++) {
		uint32_t best_rank = 0;
		uint32_t best_row = 0;
		int64_t best = -1;

		for (uint32_t rank = 0; rank < view->n_ranks; rank++) {
			for (uint32_t row = 0; !rank_used[rank] && row < view->n_ranks; row++) {
				int64_t shared;

				if (row_used[row])
					continue;
				shared = overlap(view, &view->placement[rank * view->n_slots],
						 &rows[row * view->n_slots]);
				if (shared > best) {
					best = shared;
					best_rank = rank;
					best_row = row;
				}
			}
		}
		rank_used[best_rank] = true;
		row_used[best_row] = true;
		memcpy(&placement[best_rank * view->n_slots], &rows[best_row * view->n_slots],
		       row_bytes);
	}
}

uint32_t naive_count_loads(const skh_rebalance_input_t *view, const uint32_t *before,
			   const uint32_t *after)
{
	uint32_t loads = 0;

	for (uint32_t rank = 0; rank < view->n_ranks; rank++)
		loads += view->n_slots -
			 overlap(view, &before[rank * view->n_slots], &after[rank * view->n_slots]);
	return loads;
}

uint32_t naive_balance(const skh_rebalance_input_t *view, uint32_t *placement)
{
	uint32_t n_slots = view->n_ranks * view->n_slots;
	g_autofree uint32_t *replicas = g_new(uint32_t, view->n_experts);
	g_autofree piece_t *pieces = g_new(piece_t, n_slots);
	g_autofree uint32_t *rows = g_new0(uint32_t, n_slots);
	uint32_t n = 0;

	choose_replicas(view, replicas);
	for (uint32_t i = 0; i < view->n_experts; i++) {
		for (uint32_t k = 0; k < replicas[i]; k++)
			pieces[n++] = (piece_t){ i, view->forecast_shares[i] / replicas[i] };
	}
	qsort(pieces, n, sizeof(*pieces), by_load);
	pack(view, pieces, n, rows);
	relabel(view, rows, placement);
	return naive_count_loads(view, view->placement, placement);
}
