#include "prefix_share.h"

#include "clock.h"

#include <glib.h>
#include <math.h>
#include <string.h>

#define BUCKET_COUNT 4096
#define WINDOW_US    (30 * SKH_US_PER_S)

typedef struct window {
	uint16_t count[BUCKET_COUNT];
	uint32_t total;
} window_t;

struct skh_prefix_share {
	window_t *current;
	window_t *previous;
	int64_t current_end_us; /* end of the current window; 0 before the first request */
};

skh_prefix_share_t *skh_prefix_share_new(void)
{
	skh_prefix_share_t *share = g_new0(skh_prefix_share_t, 1);

	share->current = g_new0(window_t, 1);
	share->previous = g_new0(window_t, 1);
	return share;
}

void skh_prefix_share_free(skh_prefix_share_t *share)
{
	g_free(share->current);
	g_free(share->previous);
	g_free(share);
}

static void rotate_windows(skh_prefix_share_t *share, int64_t now_us)
{
	window_t *oldest = share->previous;

	if (now_us < share->current_end_us)
		return;
	share->previous = share->current;
	share->current = oldest;
	memset(oldest, 0, sizeof(*oldest));
	/* After a complete window without requests the previous counts are outdated, too. */
	if (now_us >= share->current_end_us + WINDOW_US)
		memset(share->previous, 0, sizeof(*share->previous));
	share->current_end_us = now_us + WINDOW_US;
}

/*
 * Subtracts one request and the standard deviation of a Poisson count, so that prefixes that
 * recur by chance do not count as frequent. The result is 0 for a prefix that was seen only once
 * or twice.
 */
static double subtract_chance_repeats(uint32_t count)
{
	return MAX((double)count - 1.0 - sqrt((double)count), 0.0);
}

double skh_prefix_share_record(skh_prefix_share_t *share, uint64_t prefix_hash, int64_t now_us)
{
	uint32_t bucket = (uint32_t)(prefix_hash >> 32) % BUCKET_COUNT;
	uint32_t count;
	uint32_t total;

	rotate_windows(share, now_us);
	if (share->current->count[bucket] < UINT16_MAX)
		share->current->count[bucket]++;
	share->current->total++;
	total = share->current->total + share->previous->total;
	count = (uint32_t)share->current->count[bucket] + share->previous->count[bucket];
	return subtract_chance_repeats(count) / (double)total;
}
