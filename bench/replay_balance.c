/*
 * Replays drifting expert popularity against the balancer (src/rebalance.h), a
 * static placement and full recomputation. Virtual time, fixed seeds. Prints a
 * row for each trace and policy: mean and 95th percentile skew over the seeds,
 * weights loaded, and the time of a decision.
 *
 * Usage: replay-balance [LOAD_COST]
 */
#include "rebalance.h"
#include "forecast.h"
#include "naive_balance.h"
#include "replay.h"

#include <glib.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define RANKS	    32
#define SLOTS	    9
#define EXPERTS	    256
#define INTERVALS   48
#define SEEDS	    4
#define SIGMA	    0.9	      /* of the logarithm of a popularity */
#define WALK	    0.055     /* its random step in an interval */
#define HITS	    2500000.0 /* expert hits of a layer in an interval */
#define GAP_PERCENT 5
#define DOMAINS	    4

typedef struct trace {
	const char *name;
	double season;	   /* how far popularity moves to the other season */
	double hour;	   /* amplitude of the daily wave of each expert */
	bool walks;	   /* each expert wanders, too */
	bool burst;	   /* flash crowds */
	int32_t lost_from; /* interval from which a rank is lost; -1 for never */
	double slow;	   /* speed of one rank */
} trace_t;

static const trace_t traces[] = {
	{ "season", 1.0, 0.0, true, false, -1, 1.0 },
	{ "hour", 0.0, 0.3, true, false, -1, 1.0 },
	{ "burst", 0.5, 0.0, true, true, -1, 1.0 },
	{ "still", 0.0, 0.0, false, false, -1, 1.0 },
	{ "lost rank", 1.0, 0.0, true, false, 24, 1.0 },
	{ "slow rank", 1.0, 0.0, true, false, -1, 0.85 },
};

typedef enum policy {
	POLICY_STATIC,
	POLICY_FULL,
	POLICY_FULL_FORECAST,
	POLICY_TEMBO,
	POLICY_SARANA,
	POLICY_COUNT
} policy_t;

typedef struct policy_row {
	const char *name;
	double skew_weight;
	double cost_weight;
} policy_row_t;

static const policy_row_t policies[POLICY_COUNT] = {
	[POLICY_STATIC] = { "static", 0.0, 0.0 },
	[POLICY_FULL] = { "full, last counts", 0.0, 0.0 },
	[POLICY_FULL_FORECAST] = { "full, forecast", 0.0, 0.0 },
	[POLICY_TEMBO] = { "balance, Tembo 0.8/0.2", 0.8, 0.2 },
	[POLICY_SARANA] = { "balance, Sarana 0.2/0.8", 0.2, 0.8 },
};

/* One run's popularity, interval by interval; the same for every policy. */
typedef struct workload {
	double shares[INTERVALS + 1][EXPERTS];
	double counts[INTERVALS + 1][EXPERTS];
} workload_t;

typedef struct result {
	double skews[SEEDS * INTERVALS];
	uint32_t n;
	uint64_t loads;
	uint64_t late_loads; /* in the second half */
	uint64_t stages;
	int64_t worst_us;
	int64_t total_us;
	uint32_t decisions;
} result_t;

static void make_workload(const trace_t *trace, uint32_t seed, workload_t *workload)
{
	GRand *random = g_rand_new_with_seed(seed);
	double first[EXPERTS];
	double second[EXPERTS];
	double phase[EXPERTS];
	double walk[EXPERTS] = { 0.0 };

	for (int32_t e = 0; e < EXPERTS; e++) {
		first[e] = SIGMA * replay_normal(random);
		second[e] = SIGMA * replay_normal(random);
		phase[e] = g_rand_double_range(random, 0.0, 2.0 * G_PI);
	}
	for (int32_t t = 0; t <= INTERVALS; t++) {
		double turn = trace->season * (double)t / INTERVALS;
		int32_t crowd = g_rand_int_range(random, 0, EXPERTS);
		bool has_crowd = trace->burst && g_rand_int_range(random, 0, 6) == 0;
		double sum = 0.0;

		for (int32_t e = 0; e < EXPERTS; e++) {
			double level = (1.0 - turn) * first[e] + turn * second[e] +
				       trace->hour * sin(2.0 * G_PI * t / 24.0 + phase[e]);

			if (trace->walks)
				walk[e] += WALK * replay_normal(random);
			level += walk[e];

			if (has_crowd && e == crowd)
				level += 1.2;
			workload->shares[t][e] = exp(level);
			sum += workload->shares[t][e];
		}
		for (int32_t e = 0; e < EXPERTS; e++) {
			double mean = HITS * workload->shares[t][e] / sum;

			workload->shares[t][e] /= sum;
			workload->counts[t][e] =
				MAX(0.0, mean + sqrt(mean) * replay_normal(random));
			if (g_rand_int_range(random, 0, 100) < GAP_PERCENT)
				workload->counts[t][e] = SKH_FORECAST_UNKNOWN_COUNT;
		}
	}
	g_rand_free(random);
}

static void note(result_t *result, int32_t interval, const skh_rebalance_plan_t *plan, int64_t us)
{
	result->loads += plan->n_copies;
	if (interval > INTERVALS / 2)
		result->late_loads += plan->n_copies;
	result->stages += plan->n_stages;
	result->worst_us = MAX(result->worst_us, us);
	result->total_us += us;
	result->decisions++;
}

static void decide(const skh_rebalance_input_t *view, uint32_t *placement, int32_t interval,
		   result_t *result)
{
	static skh_rebalance_plan_t plan;
	int64_t began_us = g_get_monotonic_time();

	if (!skh_rebalance_compute_plan(view, &plan))
		printf("  (interval %d: an expert can't be placed)\n", interval);
	note(result, interval, &plan, g_get_monotonic_time() - began_us);
	for (uint32_t i = 0; i < plan.n_copies; i++)
		placement[plan.copies[i].rank * SLOTS + plan.copies[i].slot] =
			plan.copies[i].expert;
}

static void recompute(const skh_rebalance_input_t *view, uint32_t *placement, result_t *result)
{
	uint32_t next[RANKS * SLOTS];

	result->loads += naive_balance(view, next);
	memcpy(placement, next, sizeof(next));
}

/* Where an interval's count is missing the one before stands. */
static void fill_gaps(const double *counts, double *last)
{
	for (int32_t e = 0; e < EXPERTS; e++) {
		if (counts[e] >= 0.0)
			last[e] = counts[e];
	}
}

/* The counts of interval t decide the placement of interval t + 1. */
static void replay(const trace_t *trace, policy_t policy, const workload_t *workload,
		   double load_cost, result_t *result)
{
	uint32_t placement[RANKS * SLOTS] = { 0 };
	uint32_t first[RANKS * SLOTS];
	double speed[RANKS];
	uint32_t domain[RANKS];
	double last[EXPERTS] = { 0.0 };
	skh_forecast_t *forecast = skh_forecast_new(EXPERTS);
	skh_rebalance_input_t view = {
		.n_ranks = RANKS,
		.n_slots = SLOTS,
		.n_experts = EXPERTS,
		.placement = placement,
		.forecast_shares = workload->shares[0],
		.speed = speed,
		.failure_domain = domain,
		.skew_weight = policies[policy].skew_weight,
		.cost_weight = policies[policy].cost_weight,
		.copy_cost = load_cost,
		.max_copies = 16,
	};

	for (int32_t r = 0; r < RANKS; r++) {
		speed[r] = r == 3 ? trace->slow : 1.0;
		domain[r] = (uint32_t)r / (RANKS / DOMAINS);
	}
	(void)naive_balance(&view, first);
	memcpy(placement, first, sizeof(first));
	for (int32_t t = 0; t < INTERVALS; t++) {
		if (t == trace->lost_from)
			speed[7] = 0.0;
		skh_forecast_observe(forecast, workload->counts[t]);
		view.forecast_shares = skh_forecast_shares(forecast);
		if (policy == POLICY_FULL)
			fill_gaps(workload->counts[t], last);
		if (policy == POLICY_FULL)
			view.forecast_shares = last;
		if (policy == POLICY_FULL || policy == POLICY_FULL_FORECAST)
			recompute(&view, placement, result);
		else if (policy != POLICY_STATIC && skh_forecast_is_ready(forecast))
			decide(&view, placement, t, result);
		result->skews[result->n++] =
			skh_rebalance_skew(&view, placement, workload->shares[t + 1]);
	}
	skh_forecast_free(forecast);
}

static int by_value(const void *a, const void *b)
{
	double left = *(const double *)a;
	double right = *(const double *)b;

	return (left > right) - (left < right);
}

static void print_row(const trace_t *trace, policy_t policy, result_t *result, uint64_t full_loads)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < result->n; i++)
		sum += result->skews[i];
	qsort(result->skews, result->n, sizeof(double), by_value);
	printf("| %-9s | %-23s | %.3f | %.3f | %6.0f | %5.1f%% | %6.1f | %4.2f | %5.2f | %5.2f |\n",
	       trace->name, policies[policy].name, sum / result->n,
	       result->skews[result->n * 95 / 100], (double)result->loads / SEEDS,
	       full_loads ? 100.0 * (double)result->loads / (double)full_loads : 0.0,
	       (double)result->late_loads / SEEDS,
	       result->decisions ? (double)result->stages / result->decisions : 0.0,
	       result->decisions ? (double)result->total_us / result->decisions / 1000.0 : 0.0,
	       (double)result->worst_us / 1000.0);
}

int main(int argc, char **argv)
{
	double load_cost = argc > 1 ? atof(argv[1]) : 0.0002;
	g_autofree workload_t *workload = g_new(workload_t, 1);

	printf("Experts: %d ranks x %d slots, %d experts, %d intervals, %d seeds, load cost %g\n\n",
	       RANKS, SLOTS, EXPERTS, INTERVALS, SEEDS, load_cost);
	printf("| trace | policy | mean skew | p95 | loads a run | of full | loads, 2nd half | "
	       "stages | mean ms | worst ms |\n|---|---|---|---|---|---|---|---|---|---|\n");
	for (size_t i = 0; i < G_N_ELEMENTS(traces); i++) {
		result_t results[POLICY_COUNT];

		memset(results, 0, sizeof(results));
		for (uint32_t seed = 1; seed <= SEEDS; seed++) {
			make_workload(&traces[i], seed, workload);
			for (policy_t p = POLICY_STATIC; p < POLICY_COUNT; p++) {
				/* Full recomputation does not know of lost or slow ranks. */
				if (p < POLICY_TEMBO && traces[i].lost_from >= 0)
					continue;
				replay(&traces[i], p, workload, load_cost, &results[p]);
			}
		}
		for (policy_t p = POLICY_STATIC; p < POLICY_COUNT; p++) {
			if (results[p].n > 0)
				print_row(&traces[i], p, &results[p], results[POLICY_FULL].loads);
		}
	}
	return 0;
}
