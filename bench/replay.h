#ifndef REPLAY_H
#define REPLAY_H

/* What the replays in virtual time share: events in their order, draws, percentiles. */

#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

typedef struct replay_event {
	int64_t at_us;
	uint64_t order; /* of scheduling, for events at the same moment */
	int32_t type;
	void *data;
} replay_event_t;

typedef struct replay_clock {
	GSequence *events;
	uint64_t n_events;
	int64_t now_us;
} replay_clock_t;

void replay_open(replay_clock_t *clock);
void replay_close(replay_clock_t *clock);
void replay_schedule(replay_clock_t *clock, int64_t at_us, int32_t type, void *data);

/* Moves the clock to the next event; false when none is left up to @until_us. */
bool replay_next(replay_clock_t *clock, int64_t until_us, replay_event_t *event);

double replay_normal(GRand *random);
double replay_exponential(GRand *random, double rate);
/* Log-normal with this mean. */
double replay_lognormal(GRand *random, double mean, double sigma);

/* Sorts @values_us; 0 when there are none. */
double replay_percentile_ms(GArray *values_us, uint32_t percent);

#endif
