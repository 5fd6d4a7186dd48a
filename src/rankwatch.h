#ifndef SKH_RANKWATCH_H
#define SKH_RANKWATCH_H

/**
 * DOC: Watching one rank
 *
 * Reads the report, the counts and the map of the engine beside this process,
 * where that is fresh and free. Runs on the event loop's thread.
 */

#include "demand.h"
#include "enginecall.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_rank_news - what is known of the rank */
typedef struct skh_rank_news {
	bool has_report;
	int64_t reported_us;
	skh_engine_report_t report;
	bool has_map;
	int64_t map_version; /* that @map belongs to */
	int64_t map_epoch;
	uint32_t n_map;
	uint32_t *map; /* expert + 1, [sets][placements] */
} skh_rank_news_t;

typedef struct skh_rankwatch skh_rankwatch_t;

/** struct skh_rankwatch_ops - who is told */
typedef struct skh_rankwatch_ops {
	/* The rank's state has changed. */
	void (*on_change)(void *context);
	/* What the passes since the last look have counted. */
	void (*on_look)(void *context, const skh_demand_sample_t *sample);
} skh_rankwatch_ops_t;

skh_rankwatch_t *skh_rankwatch_new(skh_engine_client_t *client, const skh_dialect_t *dialect,
				   const skh_rankwatch_ops_t *ops, void *context);
void skh_rankwatch_free(skh_rankwatch_t *watch);

/** skh_rankwatch_set_shape() - sets, experts and placements are known */
void skh_rankwatch_set_shape(skh_rankwatch_t *watch, const skh_engine_shape_t *shape);

/** skh_rankwatch_set_pace() - ask for the rank's state each @report_us */
void skh_rankwatch_set_pace(skh_rankwatch_t *watch, int64_t report_us);

/** skh_rankwatch_tick() - ask what is due */
void skh_rankwatch_tick(skh_rankwatch_t *watch, int64_t now_us);
const skh_rank_news_t *skh_rankwatch_news(const skh_rankwatch_t *watch);

#ifdef __cplusplus
}
#endif
#endif
