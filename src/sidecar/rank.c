#include "rank.h"

#include <string.h>

void skh_rank_init(skh_rank_t *rank, uint64_t fence)
{
	memset(rank, 0, sizeof(*rank));
	rank->highest_fence = fence;
	rank->may_be_held = true;
}

static bool is_already_done(const skh_rank_t *rank, const skh_mapswitch_order_t *order)
{
	switch (order->step) {
	case SKH_STEP_PREPARE:
		return rank->prepared_version == order->version;
	case SKH_STEP_HOLD:
		return rank->hold_fence == order->fence;
	case SKH_STEP_SET:
		return rank->hold_fence == order->fence && rank->version == order->version;
	default:
		return false;
	}
}

static bool is_in_sequence(const skh_rank_t *rank, const skh_mapswitch_order_t *order)
{
	bool is_held = rank->hold_fence == order->fence;

	switch (order->step) {
	case SKH_STEP_SET:
		return is_held && rank->prepared_version == order->version;
	case SKH_STEP_RELEASE:
		return is_held && rank->version == order->version;
	default:
		return true;
	}
}

/* A retried release order finds the engine already running with the map that was set. */
static bool is_retried_release(const skh_rank_t *rank, const skh_mapswitch_order_t *order)
{
	return order->step == SKH_STEP_RELEASE && rank->hold_fence == 0 &&
	       rank->engine_order.step == SKH_STEP_RELEASE &&
	       rank->engine_order.fence == order->fence && rank->version == order->version;
}

skh_mapswitch_order_outcome_t skh_rank_handle_order(skh_rank_t *rank,
						    const skh_mapswitch_order_t *order)
{
	if (order->fence < rank->highest_fence)
		return SKH_MAPSWITCH_ORDER_FENCED;
	rank->highest_fence = order->fence;
	if (rank->is_order_pending)
		return SKH_MAPSWITCH_ORDER_BUSY;
	if (is_already_done(rank, order) || is_retried_release(rank, order))
		return SKH_MAPSWITCH_ORDER_DONE;
	if (!is_in_sequence(rank, order))
		return SKH_MAPSWITCH_ORDER_OUT_OF_SEQUENCE;
	rank->is_order_pending = true;
	rank->engine_order = *order;
	return SKH_MAPSWITCH_ORDER_FORWARD;
}

bool skh_rank_is_running_version(const skh_rank_t *rank, uint64_t version)
{
	return !rank->is_order_pending && rank->hold_fence == 0 && !rank->may_be_held &&
	       rank->version == version;
}

void skh_rank_complete_order(skh_rank_t *rank, bool succeeded)
{
	const skh_mapswitch_order_t *order = &rank->engine_order;

	rank->is_order_pending = false;
	if (!succeeded) {
		/* The engine's state is unknown, so the switch can only continue with a new hold. */
		rank->hold_fence = 0;
		rank->may_be_held = true;
		if (order->step == SKH_STEP_SET)
			rank->version = 0;
		rank->engine_order = (skh_mapswitch_order_t){ 0 };
		return;
	}
	switch (order->step) {
	case SKH_STEP_PREPARE:
		rank->prepared_version = order->version;
		break;
	case SKH_STEP_HOLD:
		rank->hold_fence = order->fence;
		break;
	case SKH_STEP_SET:
		rank->version = order->version;
		break;
	default:
		rank->hold_fence = 0;
		rank->may_be_held = false;
		break;
	}
}
