#include "retry_share.h"

/* A process that restarts has forgotten what it repeated: half is kept in hand. */
#define KEPT_TO 0.5

static int64_t slot_us(const skh_retry_share_limits_t *bounds)
{
	/* The oldest slot is half forgotten: one slot more than the window keeps it whole. */
	return bounds->window_us / (SKH_RETRY_SHARE_SLOTS - 1);
}

static void advance(skh_retry_share_t *share, const skh_retry_share_limits_t *bounds,
		    int64_t now_us)
{
	int64_t steps = (now_us - share->slot_begin_us) / slot_us(bounds);

	if (steps <= 0)
		return;
	for (int64_t i = 0; i < steps && i < SKH_RETRY_SHARE_SLOTS; i++) {
		share->newest_slot = (share->newest_slot + 1) % SKH_RETRY_SHARE_SLOTS;
		share->requests[share->newest_slot] = 0;
		share->retries[share->newest_slot] = 0;
	}
	share->slot_begin_us += steps * slot_us(bounds);
}

void skh_retry_share_record_request(skh_retry_share_t *share,
				    const skh_retry_share_limits_t *bounds, int64_t now_us)
{
	advance(share, bounds, now_us);
	share->requests[share->newest_slot]++;
}

void skh_retry_share_record_retry(skh_retry_share_t *share, const skh_retry_share_limits_t *bounds,
				  int64_t now_us)
{
	advance(share, bounds, now_us);
	share->retries[share->newest_slot]++;
}

bool skh_retry_share_has_room(skh_retry_share_t *share, const skh_retry_share_limits_t *bounds,
			      int64_t now_us)
{
	uint64_t requests = 0;
	uint64_t repeats = 0;
	double allowed;

	advance(share, bounds, now_us);
	for (uint32_t i = 0; i < SKH_RETRY_SHARE_SLOTS; i++) {
		requests += share->requests[i];
		repeats += share->retries[i];
	}
	allowed =
		KEPT_TO * (bounds->retry_ratio * (double)requests +
			   bounds->min_retries / (double)(bounds->gateways ? bounds->gateways : 1));
	return (double)(repeats + 1) <= allowed;
}
