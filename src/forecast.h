#ifndef SKH_FORECAST_H
#define SKH_FORECAST_H

/**
 * DOC: Forecast of expert popularity
 *
 * Smooths lagging, gappy counts of tokens per expert and foretells the shares
 * of the interval that is about to begin. Pure state.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

typedef struct skh_forecast skh_forecast_t;

skh_forecast_t *skh_forecast_new(uint32_t n_experts);
void skh_forecast_free(skh_forecast_t *forecast);

#define SKH_FORECAST_UNKNOWN_COUNT (-1.0)

/**
 * skh_forecast_observe() - the counts of one interval
 * @counts: tokens of each expert, [n_experts]; SKH_FORECAST_UNKNOWN_COUNT where unknown
 */
void skh_forecast_observe(skh_forecast_t *forecast, const double *counts);

/** skh_forecast_distance() - sum of the differences between @counts' shares and the expected */
double skh_forecast_distance(const skh_forecast_t *forecast, const double *counts);

/** skh_forecast_reset() - forget all: what was popular no longer tells what will be */
void skh_forecast_reset(skh_forecast_t *forecast);

/**
 * skh_forecast_extrapolate_shift() - where a shift that is under way will end
 *
 * Requests that began before a shift still ask for what was popular then, so
 * the counts are a mixture for a while. How far it has gone is told by how much
 * the most popular experts of before have lost.
 * @before: shares before the shift, [@n]
 * @now: shares of the newest counts, [@n]
 * @outcome: receives the expected shares after it, [@n]
 * Return: how far the shift has gone, 0 to 1.
 */
double skh_forecast_extrapolate_shift(const double *before, const double *now, uint32_t n,
				      double *outcome);

/** skh_forecast_set_gains() - of the level and of the trend, for intervals of another length */
void skh_forecast_set_gains(skh_forecast_t *forecast, double level, double trend);

/** skh_forecast_is_ready() - whether every expert has been reported at least once */
bool skh_forecast_is_ready(const skh_forecast_t *forecast);

/** skh_forecast_shares() - expected shares of the next interval, [n_experts], sum 1 */
const double *skh_forecast_shares(const skh_forecast_t *forecast);

#ifdef __cplusplus
}
#endif
#endif
