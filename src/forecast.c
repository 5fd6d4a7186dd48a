#include "forecast.h"

#include <glib.h>
#include <math.h>

/* Holt's linear smoothing of the logarithm of each share. */
#define LEVEL_GAIN 0.8
#define TREND_GAIN 0.1
/* A step beyond this is taken for a burst: its level counts, its trend does not. */
#define BURST_STEP 0.7
/* Experts with such a share tell how far a shift has gone. */
#define POPULAR_SHARE 0.04
/* A shift that has gone less far is not stretched: that would be mostly noise. */
#define LEAST_GONE 0.3
#define LEAST_LEFT 0.3
/* No expert is taken for unused: its next token may come any moment. */
#define LEAST_SHARE 1e-6

struct skh_forecast {
	uint32_t n_experts;
	uint32_t n_seen;
	double level_gain;
	double trend_gain;
	bool *seen;    /* reported at least once */
	double *level; /* logarithm of the share */
	double *trend; /* its change an interval */
	double *shares;
};

skh_forecast_t *skh_forecast_new(uint32_t n_experts)
{
	skh_forecast_t *forecast = g_new0(skh_forecast_t, 1);

	forecast->n_experts = n_experts;
	forecast->seen = g_new0(bool, n_experts);
	forecast->level = g_new(double, n_experts);
	forecast->trend = g_new0(double, n_experts);
	forecast->shares = g_new(double, n_experts);
	skh_forecast_set_gains(forecast, LEVEL_GAIN, TREND_GAIN);
	skh_forecast_reset(forecast);
	return forecast;
}

void skh_forecast_set_gains(skh_forecast_t *forecast, double level, double trend)
{
	forecast->level_gain = level;
	forecast->trend_gain = trend;
}

void skh_forecast_reset(skh_forecast_t *forecast)
{
	forecast->n_seen = 0;
	for (uint32_t i = 0; i < forecast->n_experts; i++) {
		forecast->seen[i] = false;
		forecast->trend[i] = 0.0;
		forecast->shares[i] = 1.0 / (double)forecast->n_experts;
		forecast->level[i] = log(forecast->shares[i]);
	}
}

void skh_forecast_free(skh_forecast_t *forecast)
{
	g_free(forecast->seen);
	g_free(forecast->level);
	g_free(forecast->trend);
	g_free(forecast->shares);
	g_free(forecast);
}

/* The tokens of experts that were not reported are taken to be as foretold. */
static double total_of(const skh_forecast_t *forecast, const double *counts)
{
	double known = 0.0;
	double share = 0.0;

	for (uint32_t i = 0; i < forecast->n_experts; i++) {
		if (counts[i] < 0.0)
			continue;
		known += counts[i];
		share += forecast->shares[i];
	}
	return share > 0.0 ? known / share : 0.0;
}

static void follow(skh_forecast_t *forecast, uint32_t i, double share)
{
	double seen = log(MAX(share, LEAST_SHARE));
	double expected = forecast->level[i] + forecast->trend[i];
	double step = seen - expected;

	if (!forecast->seen[i]) {
		forecast->seen[i] = true;
		forecast->n_seen++;
		forecast->level[i] = seen;
		return;
	}
	forecast->level[i] = expected + forecast->level_gain * step;
	if (fabs(step) < BURST_STEP)
		forecast->trend[i] += forecast->trend_gain * step;
}

static void foretell(skh_forecast_t *forecast)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < forecast->n_experts; i++) {
		forecast->shares[i] = exp(forecast->level[i] + forecast->trend[i]);
		sum += forecast->shares[i];
	}
	for (uint32_t i = 0; i < forecast->n_experts; i++)
		forecast->shares[i] /= sum;
}

void skh_forecast_observe(skh_forecast_t *forecast, const double *counts)
{
	double total = total_of(forecast, counts);

	if (total <= 0.0)
		return;
	for (uint32_t i = 0; i < forecast->n_experts; i++) {
		if (counts[i] >= 0.0)
			follow(forecast, i, counts[i] / total);
		else
			forecast->level[i] += forecast->trend[i];
	}
	foretell(forecast);
}

double skh_forecast_distance(const skh_forecast_t *forecast, const double *counts)
{
	double total = total_of(forecast, counts);
	double distance = 0.0;

	for (uint32_t i = 0; i < forecast->n_experts && total > 0.0; i++) {
		if (counts[i] >= 0.0)
			distance += fabs(counts[i] / total - forecast->shares[i]);
	}
	return distance;
}

double skh_forecast_extrapolate_shift(const double *before, const double *now, uint32_t n,
				      double *outcome)
{
	double gone = 0.0;
	double sum = 0.0;
	double scale;

	for (uint32_t i = 0; i < n; i++) {
		if (before[i] > POPULAR_SHARE)
			gone = fmax(gone, (before[i] - now[i]) / before[i]);
	}
	scale = gone < LEAST_GONE ? 1.0 : 1.0 / gone;
	for (uint32_t i = 0; i < n; i++) {
		/* Noise is stretched, too: nothing falls below a part of what it is now. */
		outcome[i] = fmax(before[i] + (now[i] - before[i]) * scale, now[i] * LEAST_LEFT);
		sum += outcome[i];
	}
	for (uint32_t i = 0; i < n; i++)
		outcome[i] /= sum;
	return fmin(gone, 1.0);
}

bool skh_forecast_is_ready(const skh_forecast_t *forecast)
{
	return forecast->n_seen == forecast->n_experts;
}

const double *skh_forecast_shares(const skh_forecast_t *forecast)
{
	return forecast->shares;
}
