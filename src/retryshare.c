#include "retryshare.h"

/* A process that restarts has forgotten what it repeated: half is kept in hand. */
#define KEPT_TO 0.5

static int64_t slot_us(const skh_retryshare_bounds_t *bounds)
{
	/* The oldest slot is half forgotten: one slot more than the window keeps it whole. */
	return bounds->window_us / (SKH_RETRYSHARE_SLOTS - 1);
}

static void advance(skh_retryshare_t *share, const skh_retryshare_bounds_t *bounds, int64_t now_us)
{
	int64_t steps = (now_us - share->slot_begin_us) / slot_us(bounds);

	if (steps <= 0)
		return;
	for (int64_t i = 0; i < steps && i < SKH_RETRYSHARE_SLOTS; i++) {
		share->newest = (share->newest + 1) % SKH_RETRYSHARE_SLOTS;
		share->requests[share->newest] = 0;
		share->repeats[share->newest] = 0;
	}
	share->slot_begin_us += steps * slot_us(bounds);
}

void skh_retryshare_request(skh_retryshare_t *share, const skh_retryshare_bounds_t *bounds,
			    int64_t now_us)
{
	advance(share, bounds, now_us);
	share->requests[share->newest]++;
}

void skh_retryshare_repeat(skh_retryshare_t *share, const skh_retryshare_bounds_t *bounds,
			   int64_t now_us)
{
	advance(share, bounds, now_us);
	share->repeats[share->newest]++;
}

bool skh_retryshare_has_room(skh_retryshare_t *share, const skh_retryshare_bounds_t *bounds,
			     int64_t now_us)
{
	uint64_t requests = 0;
	uint64_t repeats = 0;
	double allowed;

	advance(share, bounds, now_us);
	for (uint32_t i = 0; i < SKH_RETRYSHARE_SLOTS; i++) {
		requests += share->requests[i];
		repeats += share->repeats[i];
	}
	allowed = KEPT_TO * (bounds->ratio * (double)requests +
			     bounds->least / (double)(bounds->gateways ? bounds->gateways : 1));
	return (double)(repeats + 1) <= allowed;
}
