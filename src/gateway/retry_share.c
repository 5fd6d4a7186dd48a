#include "retry_share.h"

/*
 * A gateway that restarts has lost its counts and could use its budget a second time, so
 * only half of the budget is ever used.
 */
#define USABLE_BUDGET_RATIO 0.5

static int64_t slot_length_us(const skh_retry_share_limits_t *limits)
{
	/* The newest slot is incomplete; one extra slot makes the slots cover the full window. */
	return limits->window_us / (SKH_RETRY_SHARE_SLOTS - 1);
}

static void advance_slots(skh_retry_share_t *share, const skh_retry_share_limits_t *limits,
			  int64_t now_us)
{
	int64_t elapsed_slots = (now_us - share->slot_begin_us) / slot_length_us(limits);

	if (elapsed_slots <= 0)
		return;
	for (int64_t i = 0; i < elapsed_slots && i < SKH_RETRY_SHARE_SLOTS; i++) {
		share->newest_slot = (share->newest_slot + 1) % SKH_RETRY_SHARE_SLOTS;
		share->requests[share->newest_slot] = 0;
		share->retries[share->newest_slot] = 0;
	}
	share->slot_begin_us += elapsed_slots * slot_length_us(limits);
}

void skh_retry_share_record_request(skh_retry_share_t *share,
				    const skh_retry_share_limits_t *limits, int64_t now_us)
{
	advance_slots(share, limits, now_us);
	share->requests[share->newest_slot]++;
}

void skh_retry_share_record_retry(skh_retry_share_t *share, const skh_retry_share_limits_t *limits,
				  int64_t now_us)
{
	advance_slots(share, limits, now_us);
	share->retries[share->newest_slot]++;
}

bool skh_retry_share_has_room(skh_retry_share_t *share, const skh_retry_share_limits_t *limits,
			      int64_t now_us)
{
	uint64_t requests = 0;
	uint64_t retries = 0;
	double max_retries;

	advance_slots(share, limits, now_us);
	for (uint32_t i = 0; i < SKH_RETRY_SHARE_SLOTS; i++) {
		requests += share->requests[i];
		retries += share->retries[i];
	}
	max_retries = USABLE_BUDGET_RATIO *
		      (limits->retry_ratio * (double)requests +
		       limits->min_retries / (double)(limits->gateways ? limits->gateways : 1));
	return (double)(retries + 1) <= max_retries;
}
