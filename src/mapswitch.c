#include "mapswitch.h"

#include <glib.h>
#include <string.h>

struct skh_mapswitch {
	size_t ranks;
	uint64_t fence;
	uint64_t version;
	skh_order_step_t step;
	size_t confirmed;
	size_t in_place;
	bool *confirmed_by; /* [ranks], of the present step */
	bool fenced;
};

skh_mapswitch_t *skh_mapswitch_new(size_t ranks, uint64_t fence, uint64_t version)
{
	skh_mapswitch_t *mapswitch = g_new0(skh_mapswitch_t, 1);

	mapswitch->ranks = ranks;
	mapswitch->fence = fence;
	mapswitch->version = version;
	mapswitch->step = SKH_STEP_PREPARE;
	mapswitch->confirmed_by = g_new0(bool, ranks);
	return mapswitch;
}

void skh_mapswitch_free(skh_mapswitch_t *mapswitch)
{
	if (!mapswitch)
		return;
	g_free(mapswitch->confirmed_by);
	g_free(mapswitch);
}

bool skh_mapswitch_is_done(const skh_mapswitch_t *mapswitch)
{
	return mapswitch->step == SKH_STEP_COUNT;
}

bool skh_mapswitch_is_fenced(const skh_mapswitch_t *mapswitch)
{
	return mapswitch->fenced;
}

uint64_t skh_mapswitch_version(const skh_mapswitch_t *mapswitch)
{
	return mapswitch->version;
}

bool skh_mapswitch_next_order(const skh_mapswitch_t *mapswitch, size_t rank, skh_order_t *order)
{
	/* A rank may have joined since the switch began; it is none of its ranks. */
	if (rank >= mapswitch->ranks || mapswitch->fenced || skh_mapswitch_is_done(mapswitch) ||
	    mapswitch->confirmed_by[rank])
		return false;
	*order = (skh_order_t){ mapswitch->fence, mapswitch->step, mapswitch->version };
	return true;
}

static void enter(skh_mapswitch_t *mapswitch, skh_order_step_t step)
{
	mapswitch->step = step;
	mapswitch->confirmed = 0;
	mapswitch->in_place = 0;
	memset(mapswitch->confirmed_by, 0, mapswitch->ranks * sizeof(bool));
}

void skh_mapswitch_record_reply(skh_mapswitch_t *mapswitch, size_t rank, const skh_order_t *order,
				skh_order_outcome_t outcome, bool in_place)
{
	if (outcome == SKH_ORDER_FENCED && order->fence == mapswitch->fence)
		mapswitch->fenced = true;
	/* Answers to earlier steps come late or twice; only the present one counts. */
	if (order->fence != mapswitch->fence || order->version != mapswitch->version ||
	    order->step != mapswitch->step || rank >= mapswitch->ranks || mapswitch->fenced)
		return;
	if (outcome == SKH_ORDER_OUT_OF_SEQUENCE) {
		enter(mapswitch, SKH_STEP_PREPARE);
		return;
	}
	if (outcome != SKH_ORDER_DONE || mapswitch->confirmed_by[rank])
		return;
	mapswitch->confirmed_by[rank] = true;
	mapswitch->confirmed++;
	mapswitch->in_place += in_place;
	if (mapswitch->confirmed < mapswitch->ranks)
		return;
	if (mapswitch->step == SKH_STEP_PREPARE && mapswitch->in_place == mapswitch->ranks)
		enter(mapswitch, SKH_STEP_COUNT);
	else
		enter(mapswitch, mapswitch->step + 1);
}
