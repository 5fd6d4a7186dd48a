#include "prefix_share.h"

#include "clock.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define BUCKETS	  4096
#define WINDOW_US (30 * SKH_US_PER_S)

typedef struct window {
	uint16_t count[BUCKETS];
	uint32_t total;
} window_t;

struct skh_prefix_share {
	window_t *now;
	window_t *before;
	int64_t ends_at_us; /* of the window under way; 0 before the first request */
};

skh_prefix_share_t *skh_prefix_share_new(void)
{
	skh_prefix_share_t *heat = g_new0(skh_prefix_share_t, 1);

	heat->now = g_new0(window_t, 1);
	heat->before = g_new0(window_t, 1);
	return heat;
}

void skh_prefix_share_free(skh_prefix_share_t *heat)
{
	g_free(heat->now);
	g_free(heat->before);
	g_free(heat);
}

static void turn_over(skh_prefix_share_t *heat, int64_t now_us)
{
	window_t *oldest = heat->before;

	if (now_us < heat->ends_at_us)
		return;
	heat->before = heat->now;
	heat->now = oldest;
	memset(oldest, 0, sizeof(*oldest));
	/* After a long silence the window before says nothing, either. */
	if (now_us >= heat->ends_at_us + WINDOW_US)
		memset(heat->before, 0, sizeof(*heat->before));
	heat->ends_at_us = now_us + WINDOW_US;
}

/* What of a count is no chance: a prefix seen once or twice is not hot. */
static double sure_part(uint32_t count)
{
	return MAX((double)count - 1.0 - sqrt((double)count), 0.0);
}

double skh_prefix_share_record(skh_prefix_share_t *heat, uint64_t prefix_hash, int64_t now_us)
{
	uint32_t bucket = (uint32_t)(prefix_hash >> 32) % BUCKETS;
	uint32_t count;
	uint32_t total;

	turn_over(heat, now_us);
	if (heat->now->count[bucket] < UINT16_MAX)
		heat->now->count[bucket]++;
	heat->now->total++;
	total = heat->now->total + heat->before->total;
	count = (uint32_t)heat->now->count[bucket] + heat->before->count[bucket];
	return sure_part(count) / (double)total;
}
