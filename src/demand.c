#include "demand.h"

#include "clock.h"
#include "forecast.h"

#include <glib.h>
#include <string.h>

/* Counts are judged this often; less says little, more comes too late. */
#define OBSERVE_US (70 * SKH_US_PER_MS)
/* At so short steps a trend is noise; shifts are seen by their distance. */
#define LEVEL_GAIN 0.4
#define TREND_GAIN 0.0
/* Tokens that the ranks of a group must have chosen experts for, by set. */
#define LEAST_TOKENS 3000.0
/*
 * Shares that differ by more from what was expected, in all sets together, mean
 * that other experts are in demand: what was counted before says nothing now.
 */
#define SHIFT_DISTANCE 0.6

struct skh_demand {
	skh_engine_shape_t shape;
	skh_forecast_t **forecasts; /* one a set */
	double *counts;		    /* of the interval, [sets][experts] */
	double *shares;		    /* expected, [sets][experts] */
	double *before;		    /* shares before the shift that is under way */
	double gone;
	int64_t observe_us;
	bool shifting; /* a shift was seen in the interval before */
};

static size_t size_of(const skh_demand_t *demand)
{
	return (size_t)demand->shape.sets * demand->shape.experts;
}

skh_demand_t *skh_demand_new(const skh_engine_shape_t *shape)
{
	skh_demand_t *demand = g_new0(skh_demand_t, 1);

	demand->shape = *shape;
	demand->counts = g_new0(double, size_of(demand));
	demand->before = g_new0(double, size_of(demand));
	demand->shares = g_new0(double, size_of(demand));
	demand->forecasts = g_new0(skh_forecast_t *, shape->sets);
	for (uint32_t set = 0; set < shape->sets; set++) {
		demand->forecasts[set] = skh_forecast_new(shape->experts);
		skh_forecast_set_gains(demand->forecasts[set], LEVEL_GAIN, TREND_GAIN);
	}
	return demand;
}

void skh_demand_free(skh_demand_t *demand)
{
	for (uint32_t set = 0; set < demand->shape.sets; set++)
		skh_forecast_free(demand->forecasts[set]);
	g_free(demand->forecasts);
	g_free(demand->counts);
	g_free(demand->shares);
	g_free(demand->before);
	g_free(demand);
}

double *skh_demand_counts(skh_demand_t *demand)
{
	return demand->counts;
}

static bool has_counts(const skh_demand_t *demand)
{
	double tokens = 0.0;

	for (uint32_t i = 0; i < demand->shape.experts; i++)
		tokens += demand->counts[i];
	return tokens >= LEAST_TOKENS;
}

static bool has_shifted(const skh_demand_t *demand)
{
	uint32_t experts = demand->shape.experts;
	double distance = 0.0;

	for (uint32_t set = 0; set < demand->shape.sets; set++)
		distance += skh_forecast_distance(demand->forecasts[set],
						  demand->counts + (size_t)set * experts);
	return distance > SHIFT_DISTANCE * (double)demand->shape.sets;
}

/* Counts of one set as shares. */
static void share_out(const double *counts, uint32_t n, double *shares)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < n; i++)
		sum += counts[i];
	for (uint32_t i = 0; i < n; i++)
		shares[i] = sum > 0.0 ? counts[i] / sum : 1.0 / (double)n;
}

/* During a shift the counts are a mixture: they are replaced by where it will end. */
static double stretch_counts(skh_demand_t *demand)
{
	uint32_t experts = demand->shape.experts;
	double *now = g_new(double, experts);
	double gone = 0.0;

	for (uint32_t set = 0; set < demand->shape.sets; set++) {
		double *counts = demand->counts + (size_t)set * experts;

		share_out(counts, experts, now);
		gone += skh_forecast_outcome(demand->before + (size_t)set * experts, now, experts,
					     counts);
		skh_forecast_restart(demand->forecasts[set]);
	}
	g_free(now);
	return gone / (double)demand->shape.sets;
}

/*
 * The interval in which a shift is seen began before it: its counts are stretched
 * to where the shift ends. The next interval lies behind it and stands alone.
 */
static bool follow_shift(skh_demand_t *demand)
{
	if (demand->shifting) {
		demand->shifting = false;
		for (uint32_t set = 0; set < demand->shape.sets; set++)
			skh_forecast_restart(demand->forecasts[set]);
		return false;
	}
	if (!has_shifted(demand))
		return false;
	demand->shifting = true;
	memcpy(demand->before, demand->shares, size_of(demand) * sizeof(double));
	demand->gone = stretch_counts(demand);
	return true;
}

/* Takes the counts of the interval into the forecasts; writes the expected shares. */
static void foretell(skh_demand_t *demand)
{
	uint32_t experts = demand->shape.experts;

	for (uint32_t set = 0; set < demand->shape.sets; set++) {
		skh_forecast_t *forecast = demand->forecasts[set];

		skh_forecast_observe(forecast, demand->counts + (size_t)set * experts);
		memcpy(demand->shares + (size_t)set * experts, skh_forecast_shares(forecast),
		       experts * sizeof(double));
	}
	memset(demand->counts, 0, size_of(demand) * sizeof(double));
}

skh_demand_news_t skh_demand_observe(skh_demand_t *demand, int64_t now_us)
{
	bool shifts;

	if (now_us < demand->observe_us || !has_counts(demand))
		return SKH_DEMAND_NONE;
	demand->observe_us = now_us + OBSERVE_US;
	shifts = follow_shift(demand);
	foretell(demand);
	return shifts ? SKH_DEMAND_SHIFT : SKH_DEMAND_FRESH;
}

double skh_demand_gone(const skh_demand_t *demand)
{
	return demand->gone;
}

const double *skh_demand_shares(const skh_demand_t *demand)
{
	return demand->shares;
}
