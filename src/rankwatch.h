#ifndef SKH_RANKWATCH_H
#define SKH_RANKWATCH_H

/**
 * DOC: Watching one rank
 *
 * Reads the report, the counts and the map of the engine beside this process,
 * where that is fresh and free. Runs on the event loop's thread.
 */

#include "enginecall.h"
#include "dialect.h"

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
	uint32_t n_counts;
	uint32_t *counts; /* since skh_rankwatch_take_counts() */
} skh_rank_news_t;

typedef struct skh_rankwatch skh_rankwatch_t;

/** typedef skh_rankwatch_fn - the rank's state has changed */
typedef void (*skh_rankwatch_fn)(void *context);

skh_rankwatch_t *skh_rankwatch_new(skh_engine_client_t *client, const skh_dialect_t *dialect,
				   skh_rankwatch_fn fn, void *context);
void skh_rankwatch_free(skh_rankwatch_t *watch);

/** skh_rankwatch_set_shape() - sets, experts and placements are known */
void skh_rankwatch_set_shape(skh_rankwatch_t *watch, const skh_engine_shape_t *shape);

/** skh_rankwatch_set_pace() - ask for the counts each @counts_us, but not before @from_us */
void skh_rankwatch_set_pace(skh_rankwatch_t *watch, int64_t counts_us, int64_t from_us);

/** skh_rankwatch_tick() - ask what is due */
void skh_rankwatch_tick(skh_rankwatch_t *watch, int64_t now_us);
const skh_rank_news_t *skh_rankwatch_news(const skh_rankwatch_t *watch);

/** skh_rankwatch_take_counts() - forget the counts, which were passed on */
void skh_rankwatch_take_counts(skh_rankwatch_t *watch);

#ifdef __cplusplus
}
#endif
#endif
