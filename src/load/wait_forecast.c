#include "wait_forecast.h"

#include "fair_order.h"

#include <glib.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Weight of the newest response in the moving averages. */
#define END_GAIN 0.1
/* Share of the recent requests that got their first event within the forecast. */
#define FIRST_EVENT_QUANTILE 0.8
/* Fewer samples than this are mostly from before a change. */
#define MIN_SAMPLES 6
/* Arrivals are averaged over about this time: waves of traffic take 10 s and longer. */
#define ARRIVALS_DECAY_US ((double)2000000)
/* Part of the rate that is left for any request, so that the wait stays finite. */
#define MIN_SPARE_RATIO 0.01
/* Of the rate, for requests that were rejected and return: some requests end early. */
#define MIN_RETURN_RATIO 0.1

static uint32_t priority_index(uint32_t priority)
{
	return MIN(priority, SKH_WAIT_FORECAST_PRIORITIES - 1);
}

static double decay(const skh_wait_forecast_t *forecast, int64_t now_us)
{
	return exp((double)(forecast->arrivals_us - now_us) / ARRIVALS_DECAY_US);
}

void skh_wait_forecast_record_arrival(skh_wait_forecast_t *forecast, uint32_t priority,
				      int64_t now_us)
{
	double factor = decay(forecast, now_us);

	for (uint32_t i = 0; i < SKH_WAIT_FORECAST_PRIORITIES; i++)
		forecast->arrivals_per_s[i] *= factor;
	if (forecast->arrivals_since_us == 0)
		forecast->arrivals_since_us = now_us;
	forecast->arrivals_us = now_us;
	forecast->arrivals_per_s[priority_index(priority)] += 1e6 / ARRIVALS_DECAY_US;
}

void skh_wait_forecast_record_first_event(skh_wait_forecast_t *forecast, int64_t duration_us)
{
	forecast->first_event_us[forecast->n_first_events++ % SKH_WAIT_FORECAST_FIRST_SAMPLES] =
		duration_us;
}

static double average(double mean, double value)
{
	return mean > 0.0 ? mean + END_GAIN * (value - mean) : value;
}

void skh_wait_forecast_record_end(skh_wait_forecast_t *forecast, int64_t passes, int64_t held_us)
{
	if (passes > 0)
		forecast->passes = average(forecast->passes, (double)passes);
	forecast->held_us = average(forecast->held_us, (double)held_us);
}

static int compare_times(const void *left, const void *right)
{
	const int64_t *a = left;
	const int64_t *b = right;

	return *a < *b ? -1 : *a > *b;
}

int64_t skh_wait_forecast_first_event_us(const skh_wait_forecast_t *forecast, int64_t typical_us)
{
	int64_t sorted[SKH_WAIT_FORECAST_FIRST_SAMPLES];
	uint32_t n = MIN(forecast->n_first_events, SKH_WAIT_FORECAST_FIRST_SAMPLES);

	if (n < MIN_SAMPLES)
		return typical_us;
	memcpy(sorted, forecast->first_event_us, n * sizeof(sorted[0]));
	qsort(sorted, n, sizeof(sorted[0]), compare_times);
	return MAX(sorted[(uint32_t)(FIRST_EVENT_QUANTILE * (n - 1))], typical_us);
}

/* For how long a typical request is at a server now; 0 if unknown. */
static double present_held_us(const skh_wait_forecast_t *forecast, int64_t pass_us)
{
	/* The first event takes about a pass more than the others. */
	return pass_us > 0 && forecast->passes > 0.0 ? (forecast->passes + 1.0) * (double)pass_us
						     : forecast->held_us;
}

double skh_wait_forecast_rate(const skh_wait_forecast_t *forecast, double running, int64_t pass_us)
{
	double held_us = present_held_us(forecast, pass_us);

	return held_us > 0.0 ? running / held_us * 1e6 : 0.0;
}

double skh_wait_forecast_running(const skh_wait_forecast_t *forecast, double starts_per_s,
				 int64_t pass_us)
{
	return starts_per_s * present_held_us(forecast, pass_us) / 1e6;
}

/* Requests a second of the priorities below @end. */
static double sum_arrivals(const skh_wait_forecast_t *forecast, uint32_t end, int64_t now_us)
{
	double sum = 0.0;

	for (uint32_t i = 0; i < MIN(end, SKH_WAIT_FORECAST_PRIORITIES); i++)
		sum += forecast->arrivals_per_s[i];
	return sum * decay(forecast, now_us);
}

int64_t skh_wait_forecast_wait_us(const skh_wait_forecast_t *forecast,
				  const skh_wait_position_t *position, int64_t now_us)
{
	uint32_t end = priority_index(position->priority) + position->is_behind_equal;
	double rate = position->rate - sum_arrivals(forecast, end, now_us);
	double behind = position->ahead + 1.0 - position->free;
	double wait_s;

	if (position->rate <= 0.0 || behind <= 0.0)
		return 0;
	wait_s = behind / MAX(rate, MIN_SPARE_RATIO * position->rate);
	if (position->has_floor)
		wait_s = MIN(wait_s, (position->ahead_equal + 1.0) /
					     (SKH_FAIR_ORDER_FLOOR_RATIO * position->rate));
	return (int64_t)(wait_s * 1e6);
}

double skh_wait_forecast_urgency(const skh_wait_forecast_t *forecast, uint32_t priority)
{
	double sum = 0.0;
	double balance = 0.0;

	for (uint32_t i = 0; i < SKH_WAIT_FORECAST_PRIORITIES; i++) {
		sum += forecast->arrivals_per_s[i];
		if (i < priority_index(priority))
			balance -= forecast->arrivals_per_s[i];
		else if (i > priority_index(priority))
			balance += forecast->arrivals_per_s[i];
	}
	return sum > 0.0 ? balance / sum : 0.0;
}

double skh_wait_forecast_spare_rate(const skh_wait_forecast_t *forecast, double rate,
				    int64_t now_us)
{
	double arrivals = sum_arrivals(forecast, SKH_WAIT_FORECAST_PRIORITIES, now_us);

	return MAX(rate - arrivals, MIN_RETURN_RATIO * rate);
}
