#ifndef SKH_FORECAST_H
#define SKH_FORECAST_H

/**
 * DOC: Forecast of expert demand
 *
 * Smooths token counts per expert, which arrive late and with gaps, and predicts
 * each expert's share of the tokens of the next interval. Owns its arrays; does no
 * I/O and takes no locks, so the owner serialises access. A share is a fraction
 * of all tokens.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_forecast skh_forecast_t;

/**
 * skh_forecast_new() - create a forecast with equal shares
 * @n_experts: number of experts
 *
 * Return: the forecast, to be freed with skh_forecast_free().
 */
skh_forecast_t *skh_forecast_new(uint32_t n_experts);
void skh_forecast_free(skh_forecast_t *forecast);

/* Count of an expert that was not reported in an interval. */
#define SKH_FORECAST_UNKNOWN_COUNT (-1.0)

/**
 * skh_forecast_observe() - update the forecast with the counts of one interval
 * @forecast: forecast to update; unchanged when @counts has no tokens
 * @counts: tokens of each expert, [n_experts]; SKH_FORECAST_UNKNOWN_COUNT where unknown
 */
void skh_forecast_observe(skh_forecast_t *forecast, const double *counts);

/**
 * skh_forecast_distance() - compare counts with the forecast
 * @forecast: expected shares
 * @counts: as for skh_forecast_observe()
 *
 * Return: sum of the absolute differences between the shares in @counts and the
 * expected ones, over the experts that were reported.
 */
double skh_forecast_distance(const skh_forecast_t *forecast, const double *counts);

/** skh_forecast_reset() - discard all observations, for use after a shift of demand */
void skh_forecast_reset(skh_forecast_t *forecast);

/**
 * skh_forecast_extrapolate_shift() - predict the shares after a shift in progress
 * @before: shares before the shift, [@n]
 * @current: shares of the newest counts, [@n]
 * @n: number of experts
 * @predicted: receives the expected shares after the shift, [@n]
 *
 * Requests that began before a shift still use the experts in demand before it,
 * so the counts are a mixture for a while. The progress of the shift is estimated
 * from the largest relative loss among those experts.
 *
 * Return: progress of the shift, 0 to 1.
 */
double skh_forecast_extrapolate_shift(const double *before, const double *current, uint32_t n,
				      double *predicted);

/**
 * skh_forecast_set_gains() - set the smoothing gains
 * @forecast: forecast to change
 * @level_gain: weight of a new observation in the level, 0 to 1
 * @trend_gain: weight of a new observation in the trend, 0 to 1
 *
 * Suitable gains depend on the interval between observations; the defaults suit only one.
 */
void skh_forecast_set_gains(skh_forecast_t *forecast, double level_gain, double trend_gain);

/** skh_forecast_is_ready() - true when every expert has been reported since the last reset */
bool skh_forecast_is_ready(const skh_forecast_t *forecast);

/**
 * skh_forecast_shares() - get the expected shares of the next interval
 *
 * Return: shares, [n_experts], sum 1; owned by @forecast and valid until it
 * changes.
 */
const double *skh_forecast_shares(const skh_forecast_t *forecast);

#ifdef __cplusplus
}
#endif
#endif
