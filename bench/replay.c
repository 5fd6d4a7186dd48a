#include "replay.h"

#include "clock.h"

#include <math.h>
#include <stdlib.h>

#define MIN_UNIFORM 1e-12 /* keeps the logarithms finite */

void replay_clock_init(replay_clock_t *clock)
{
	clock->events = g_sequence_new(g_free);
	clock->n_events = 0;
	clock->now_us = 0;
}

void replay_clock_clear(replay_clock_t *clock)
{
	g_sequence_free(clock->events);
}

static int compare_events(const void *a, const void *b, void *context)
{
	const replay_event_t *left = a;
	const replay_event_t *right = b;

	(void)context;
	if (left->at_us != right->at_us)
		return left->at_us < right->at_us ? -1 : 1;
	return (left->order > right->order) - (left->order < right->order);
}

void replay_schedule(replay_clock_t *clock, int64_t at_us, int32_t type, void *data)
{
	replay_event_t *event = g_new0(replay_event_t, 1);

	event->at_us = at_us;
	event->order = clock->n_events++;
	event->type = type;
	event->data = data;
	g_sequence_insert_sorted(clock->events, event, compare_events, NULL);
}

bool replay_next_event(replay_clock_t *clock, int64_t end_us, replay_event_t *event)
{
	GSequenceIter *first = g_sequence_get_begin_iter(clock->events);

	if (g_sequence_iter_is_end(first))
		return false;
	*event = *(replay_event_t *)g_sequence_get(first);
	if (event->at_us > end_us)
		return false;
	g_sequence_remove(first);
	clock->now_us = event->at_us;
	return true;
}

double replay_normal(GRand *random)
{
	double uniform = g_rand_double_range(random, MIN_UNIFORM, 1.0);

	return sqrt(-2.0 * log(uniform)) * cos(2.0 * G_PI * g_rand_double(random));
}

double replay_exponential(GRand *random, double rate)
{
	return -log(g_rand_double_range(random, MIN_UNIFORM, 1.0)) / rate;
}

double replay_lognormal(GRand *random, double mean, double sigma)
{
	return mean * exp(sigma * replay_normal(random) - sigma * sigma / 2.0);
}

static int compare_int64(const void *a, const void *b)
{
	int64_t left = *(const int64_t *)a;
	int64_t right = *(const int64_t *)b;

	return (left > right) - (left < right);
}

double replay_percentile_ms(GArray *values_us, uint32_t percent)
{
	if (values_us->len == 0)
		return 0.0;
	qsort(values_us->data, values_us->len, sizeof(int64_t), compare_int64);
	return (double)g_array_index(values_us, int64_t, (size_t)values_us->len * percent / 100) /
	       SKH_US_PER_MS;
}
