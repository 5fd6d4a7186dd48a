#include "mapswitch.h"

#include <glib.h>
#include <string.h>

struct skh_mapswitch {
	size_t n_ranks;
	uint64_t fence;
	uint64_t version;
	skh_mapswitch_order_step_t step;
	size_t n_confirmed;	  /* ranks that have confirmed the current step */
	size_t n_running_version; /* of those, ranks that already run the new map */
	bool *has_confirmed;	  /* for the current step, [n_ranks] */
	bool is_fenced;
};

skh_mapswitch_t *skh_mapswitch_new(size_t n_ranks, uint64_t fence, uint64_t version)
{
	skh_mapswitch_t *mapswitch = g_new0(skh_mapswitch_t, 1);

	mapswitch->n_ranks = n_ranks;
	mapswitch->fence = fence;
	mapswitch->version = version;
	mapswitch->step = SKH_STEP_PREPARE;
	mapswitch->has_confirmed = g_new0(bool, n_ranks);
	return mapswitch;
}

void skh_mapswitch_free(skh_mapswitch_t *mapswitch)
{
	if (!mapswitch)
		return;
	g_free(mapswitch->has_confirmed);
	g_free(mapswitch);
}

bool skh_mapswitch_is_done(const skh_mapswitch_t *mapswitch)
{
	return mapswitch->step == SKH_STEP_COUNT;
}

bool skh_mapswitch_is_fenced(const skh_mapswitch_t *mapswitch)
{
	return mapswitch->is_fenced;
}

uint64_t skh_mapswitch_version(const skh_mapswitch_t *mapswitch)
{
	return mapswitch->version;
}

bool skh_mapswitch_next_order(const skh_mapswitch_t *mapswitch, size_t rank,
			      skh_mapswitch_order_t *order)
{
	/* A rank that joined after the switch started is not part of it. */
	if (rank >= mapswitch->n_ranks || mapswitch->is_fenced ||
	    skh_mapswitch_is_done(mapswitch) || mapswitch->has_confirmed[rank])
		return false;
	*order = (skh_mapswitch_order_t){ mapswitch->fence, mapswitch->step, mapswitch->version };
	return true;
}

static void enter_step(skh_mapswitch_t *mapswitch, skh_mapswitch_order_step_t step)
{
	mapswitch->step = step;
	mapswitch->n_confirmed = 0;
	mapswitch->n_running_version = 0;
	memset(mapswitch->has_confirmed, 0, mapswitch->n_ranks * sizeof(bool));
}

void skh_mapswitch_record_response(skh_mapswitch_t *mapswitch, size_t rank,
				   const skh_mapswitch_order_t *order,
				   skh_mapswitch_order_outcome_t outcome, bool is_running_version)
{
	if (outcome == SKH_MAPSWITCH_ORDER_FENCED && order->fence == mapswitch->fence)
		mapswitch->is_fenced = true;
	/* Replies to earlier steps can arrive late or twice; only the current step counts. */
	if (order->fence != mapswitch->fence || order->version != mapswitch->version ||
	    order->step != mapswitch->step || rank >= mapswitch->n_ranks || mapswitch->is_fenced)
		return;
	if (outcome == SKH_MAPSWITCH_ORDER_OUT_OF_SEQUENCE) {
		enter_step(mapswitch, SKH_STEP_PREPARE);
		return;
	}
	if (outcome != SKH_MAPSWITCH_ORDER_DONE || mapswitch->has_confirmed[rank])
		return;
	mapswitch->has_confirmed[rank] = true;
	mapswitch->n_confirmed++;
	mapswitch->n_running_version += is_running_version;
	if (mapswitch->n_confirmed < mapswitch->n_ranks)
		return;
	if (mapswitch->step == SKH_STEP_PREPARE &&
	    mapswitch->n_running_version == mapswitch->n_ranks)
		enter_step(mapswitch, SKH_STEP_COUNT);
	else
		enter_step(mapswitch, mapswitch->step + 1);
}
