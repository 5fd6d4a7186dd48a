#include "rank.h"

#include <string.h>

void skh_rank_init(skh_rank_t *rank, uint64_t fence)
{
	memset(rank, 0, sizeof(*rank));
	rank->fence = fence;
	rank->maybe_held = true;
}

static bool is_done(const skh_rank_t *rank, const skh_order_t *order)
{
	switch (order->step) {
	case SKH_STEP_PREPARE:
		return rank->prepared == order->version;
	case SKH_STEP_HOLD:
		return rank->held_by == order->fence;
	case SKH_STEP_SET:
		return rank->held_by == order->fence && rank->version == order->version;
	default:
		return false;
	}
}

static bool may_follow(const skh_rank_t *rank, const skh_order_t *order)
{
	bool held = rank->held_by == order->fence;

	switch (order->step) {
	case SKH_STEP_SET:
		return held && rank->prepared == order->version;
	case SKH_STEP_GO:
		return held && rank->version == order->version;
	default:
		return true;
	}
}

/* A repeated release finds the engine running with the map that was set. */
static bool is_repeated_go(const skh_rank_t *rank, const skh_order_t *order)
{
	return order->step == SKH_STEP_GO && rank->held_by == 0 &&
	       rank->at_engine.step == SKH_STEP_GO && rank->at_engine.fence == order->fence &&
	       rank->version == order->version;
}

skh_order_outcome_t skh_rank_order(skh_rank_t *rank, const skh_order_t *order)
{
	if (order->fence < rank->fence)
		return SKH_ORDER_FENCED;
	rank->fence = order->fence;
	if (rank->busy)
		return SKH_ORDER_BUSY;
	if (is_done(rank, order) || is_repeated_go(rank, order))
		return SKH_ORDER_DONE;
	if (!may_follow(rank, order))
		return SKH_ORDER_MISPLACED;
	rank->busy = true;
	rank->at_engine = *order;
	return SKH_ORDER_TO_ENGINE;
}

bool skh_rank_is_in_place(const skh_rank_t *rank, uint64_t version)
{
	return !rank->busy && rank->held_by == 0 && !rank->maybe_held && rank->version == version;
}

void skh_rank_engine_done(skh_rank_t *rank, bool succeeded)
{
	const skh_order_t *order = &rank->at_engine;

	rank->busy = false;
	if (!succeeded) {
		/* What the engine did is not known: only a fresh hold is safe. */
		rank->held_by = 0;
		rank->maybe_held = true;
		if (order->step == SKH_STEP_SET)
			rank->version = 0;
		rank->at_engine = (skh_order_t){ 0 };
		return;
	}
	switch (order->step) {
	case SKH_STEP_PREPARE:
		rank->prepared = order->version;
		break;
	case SKH_STEP_HOLD:
		rank->held_by = order->fence;
		break;
	case SKH_STEP_SET:
		rank->version = order->version;
		break;
	default:
		rank->held_by = 0;
		rank->maybe_held = false;
		break;
	}
}
