#ifndef REPLAY_H
#define REPLAY_H

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

/**
 * DOC: Discrete-event simulation
 *
 * Shared by the replay benches: an event queue with a virtual clock, random distributions
 * and percentiles. Not safe for concurrent use.
 */

typedef struct replay_event {
	int64_t at_us;
	uint64_t order; /* order of scheduling; breaks ties at the same @at_us */
	int32_t type;
	void *data;
} replay_event_t;

typedef struct replay_clock {
	GSequence *events;
	uint64_t n_events; /* scheduled so far; the order of the next event */
	int64_t now_us;
} replay_clock_t;

/** replay_clock_init() - initialize @clock at time 0 with no events */
void replay_clock_init(replay_clock_t *clock);

/** replay_clock_clear() - free all pending events, but not their data */
void replay_clock_clear(replay_clock_t *clock);

/**
 * replay_schedule() - add an event
 * @clock: the event queue
 * @at_us: virtual time of the event
 * @type: type of the event, defined by the caller
 * @data: data of the event, not owned by @clock; may be NULL
 */
void replay_schedule(replay_clock_t *clock, int64_t at_us, int32_t type, void *data);

/**
 * replay_next_event() - remove the next event and advance the clock to its time
 * @clock: the event queue
 * @end_us: virtual time after which events stay in the queue
 * @event: receives the event
 *
 * Return: false if no event is due by @end_us.
 */
bool replay_next_event(replay_clock_t *clock, int64_t end_us, replay_event_t *event);

/** replay_normal() - random value of the standard normal distribution */
double replay_normal(GRand *random);

/** replay_exponential() - random value of the exponential distribution with mean 1 / @rate */
double replay_exponential(GRand *random, double rate);

/**
 * replay_lognormal() - random value of a log-normal distribution
 * @random: random number generator
 * @mean: mean of the distribution
 * @sigma: standard deviation of the logarithm
 */
double replay_lognormal(GRand *random, double mean, double sigma);

/**
 * replay_percentile_ms() - percentile of a list of times
 * @values_us: int64_t values in microseconds, sorted by the call
 * @percent: percentile, less than 100
 *
 * Return: the percentile in milliseconds, 0 for an empty list.
 */
double replay_percentile_ms(GArray *values_us, uint32_t percent);

#endif
