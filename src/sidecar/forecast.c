#include "forecast.h"

#include <glib.h>
#include <math.h>

/* Gains of Holt's linear smoothing of the logarithm of each share. */
#define DEFAULT_LEVEL_GAIN 0.8
#define DEFAULT_TREND_GAIN 0.1
/*
 * A larger step of the logarithm is treated as a burst: it updates the level, but not the
 * trend.
 */
#define BURST_LOG_STEP 0.7
/* Only experts with a larger share are used to estimate the progress of a shift. */
#define POPULAR_SHARE 0.04
/* A shift with less progress is not extrapolated, because that would mostly amplify noise. */
#define MIN_SHIFT_PROGRESS 0.3
/*
 * Extrapolation also amplifies noise, so no predicted share, before normalization, is below
 * this fraction of the current share.
 */
#define MIN_REMAINING_RATIO 0.3
/* No expert is treated as unused, because it may receive a token at any time. */
#define MIN_SHARE 1e-6

struct skh_forecast {
	uint32_t n_experts;
	uint32_t n_reported;
	double level_gain;
	double trend_gain;
	bool *reported; /* true for experts with at least one count, [n_experts] */
	double *level;	/* smoothed logarithm of each share, [n_experts] */
	double *trend;	/* change of the level per interval, [n_experts] */
	double *shares; /* expected in the next interval, [n_experts], sum 1 */
};

skh_forecast_t *skh_forecast_new(uint32_t n_experts)
{
	skh_forecast_t *forecast = g_new0(skh_forecast_t, 1);

	forecast->n_experts = n_experts;
	forecast->reported = g_new0(bool, n_experts);
	forecast->level = g_new(double, n_experts);
	forecast->trend = g_new0(double, n_experts);
	forecast->shares = g_new(double, n_experts);
	skh_forecast_set_gains(forecast, DEFAULT_LEVEL_GAIN, DEFAULT_TREND_GAIN);
	skh_forecast_reset(forecast);
	return forecast;
}

void skh_forecast_set_gains(skh_forecast_t *forecast, double level_gain, double trend_gain)
{
	forecast->level_gain = level_gain;
	forecast->trend_gain = trend_gain;
}

void skh_forecast_reset(skh_forecast_t *forecast)
{
	forecast->n_reported = 0;
	for (uint32_t i = 0; i < forecast->n_experts; i++) {
		forecast->reported[i] = false;
		forecast->trend[i] = 0.0;
		forecast->shares[i] = 1.0 / (double)forecast->n_experts;
		forecast->level[i] = log(forecast->shares[i]);
	}
}

void skh_forecast_free(skh_forecast_t *forecast)
{
	g_free(forecast->reported);
	g_free(forecast->level);
	g_free(forecast->trend);
	g_free(forecast->shares);
	g_free(forecast);
}

/* Estimates the total tokens; experts without a count are assumed to have their forecast share. */
static double estimate_total(const skh_forecast_t *forecast, const double *counts)
{
	double known_tokens = 0.0;
	double known_share = 0.0;

	for (uint32_t i = 0; i < forecast->n_experts; i++) {
		if (counts[i] < 0.0)
			continue;
		known_tokens += counts[i];
		known_share += forecast->shares[i];
	}
	return known_share > 0.0 ? known_tokens / known_share : 0.0;
}

static void update_expert(skh_forecast_t *forecast, uint32_t i, double share)
{
	double log_share = log(MAX(share, MIN_SHARE));
	double expected = forecast->level[i] + forecast->trend[i];
	double step = log_share - expected;

	if (!forecast->reported[i]) {
		forecast->reported[i] = true;
		forecast->n_reported++;
		forecast->level[i] = log_share;
		return;
	}
	forecast->level[i] = expected + forecast->level_gain * step;
	if (fabs(step) < BURST_LOG_STEP)
		forecast->trend[i] += forecast->trend_gain * step;
}

static void update_shares(skh_forecast_t *forecast)
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
	double total = estimate_total(forecast, counts);

	if (total <= 0.0)
		return;
	for (uint32_t i = 0; i < forecast->n_experts; i++) {
		if (counts[i] >= 0.0)
			update_expert(forecast, i, counts[i] / total);
		else
			forecast->level[i] += forecast->trend[i];
	}
	update_shares(forecast);
}

double skh_forecast_distance(const skh_forecast_t *forecast, const double *counts)
{
	double total = estimate_total(forecast, counts);
	double distance = 0.0;

	for (uint32_t i = 0; i < forecast->n_experts && total > 0.0; i++) {
		if (counts[i] >= 0.0)
			distance += fabs(counts[i] / total - forecast->shares[i]);
	}
	return distance;
}

double skh_forecast_extrapolate_shift(const double *before, const double *current, uint32_t n,
				      double *predicted)
{
	double progress = 0.0;
	double sum = 0.0;
	double scale;

	for (uint32_t i = 0; i < n; i++) {
		if (before[i] > POPULAR_SHARE)
			progress = fmax(progress, (before[i] - current[i]) / before[i]);
	}
	scale = progress < MIN_SHIFT_PROGRESS ? 1.0 : 1.0 / progress;
	for (uint32_t i = 0; i < n; i++) {
		predicted[i] = fmax(before[i] + (current[i] - before[i]) * scale,
				    current[i] * MIN_REMAINING_RATIO);
		sum += predicted[i];
	}
	for (uint32_t i = 0; i < n; i++)
		predicted[i] /= sum;
	return fmin(progress, 1.0);
}

bool skh_forecast_is_ready(const skh_forecast_t *forecast)
{
	return forecast->n_reported == forecast->n_experts;
}

const double *skh_forecast_shares(const skh_forecast_t *forecast)
{
	return forecast->shares;
}
