#ifndef SKH_RANK_POLLER_H
#define SKH_RANK_POLLER_H

/**
 * DOC: Watching one rank
 *
 * Reads the report, the counts and the map of the engine beside this process,
 * where that is fresh and free. Runs on the event loop's thread.
 */

#include "demand.h"
#include "engine_client.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_rank_snapshot - what is known of the rank */
typedef struct skh_rank_snapshot {
	bool has_report;
	int64_t reported_us;
	skh_engine_report_t report;
	bool has_map;
	int64_t map_version; /* that @map belongs to */
	int64_t map_epoch;
	uint32_t n_map;
	uint32_t *map; /* expert + 1, [sets][placements] */
} skh_rank_snapshot_t;

typedef struct skh_rank_poller skh_rank_poller_t;

/** struct skh_rank_poller_ops - who is told */
typedef struct skh_rank_poller_ops {
	/* The rank's state has changed. */
	void (*on_change)(void *context);
	/* What the passes since the last look have counted. */
	void (*on_counts)(void *context, const skh_demand_sample_t *sample);
} skh_rank_poller_ops_t;

skh_rank_poller_t *skh_rank_poller_new(skh_engine_client_t *client, const skh_dialect_t *dialect,
				       const skh_rank_poller_ops_t *ops, void *context);
void skh_rank_poller_free(skh_rank_poller_t *watch);

/** skh_rank_poller_set_engine_spec() - sets, experts and placements are known */
void skh_rank_poller_set_engine_spec(skh_rank_poller_t *watch, const skh_engine_spec_t *shape);

/** skh_rank_poller_set_report_period() - ask for the rank's state each @report_us */
void skh_rank_poller_set_report_period(skh_rank_poller_t *watch, int64_t report_us);

/** skh_rank_poller_tick() - ask what is due */
void skh_rank_poller_tick(skh_rank_poller_t *watch, int64_t now_us);
const skh_rank_snapshot_t *skh_rank_poller_snapshot(const skh_rank_poller_t *watch);

#ifdef __cplusplus
}
#endif
#endif
