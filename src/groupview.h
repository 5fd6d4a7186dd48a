#ifndef SKH_GROUPVIEW_H
#define SKH_GROUPVIEW_H

/**
 * DOC: What a coordinator knows of its group
 *
 * Gathers what the ranks' processes report, and asks engines whose process is
 * silent. Knows each rank's state and the map in use, and whether all of it fits
 * together. Runs on the event loop's thread.
 */

#include "enginecall.h"
#include "mapchange.h"
#include "wire.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_groupview_rank - one rank as it was last heard of */
typedef struct skh_groupview_rank {
	skh_engine_client_t *engine; /* NULL before its address is known */
	skh_engine_client_t *relay;  /* its process, which hands orders on */
	bool reported;
	int64_t heard_us; /* of its process */
	int64_t told_us;  /* of its state, by its process or itself */
	uint64_t sender;
	uint64_t number;
	skh_engine_report_t report;
	bool map_known;
	bool asking;
	int64_t asked_us;
	int64_t ask_us; /* not before */
	int64_t held_since_us;
} skh_groupview_rank_t;

/** struct skh_groupview_options - what it is made from */
typedef struct skh_groupview_options {
	uv_loop_t *loop;
	const skh_dialect_t *dialect;
	const skh_pool_options_t *pool_options;
	/* What @rank says of itself is newer; @asked_us is 0 unless its engine was asked. */
	void (*on_state)(void *context, uint32_t rank, int64_t asked_us, int64_t now_us);
	void *context;
} skh_groupview_options_t;

/** struct skh_groupview - read by the coordinator; written by groupview.c but for "next" */
typedef struct skh_groupview {
	skh_groupview_options_t options;
	skh_engine_shape_t shape;
	skh_groupview_rank_t ranks[SKH_MAPCHANGE_MAX_RANKS];
	uint32_t n_ranks;
	uint32_t own; /* the rank beside this process */
	bool has_own;
	int64_t pass_us; /* length of a pass under the map in use; 0 when unknown */
	uint32_t *map;	 /* in use, [sets][ranks][placements] */
	/* The coordinator's: a rank that says it uses this version has this map. */
	uint32_t *next;
	int64_t next_epoch;
	int64_t next_version;
	int64_t switched_pass; /* in which the group changed to it */
	/* Private: */
	int64_t pass_seen; /* own rank's, at pass_seen_us */
	int64_t pass_seen_us;
	skh_engine_client_t *offered; /* an engine that is asked for its rank, or NULL */
	int64_t offered_us;
	int64_t complained_us;
} skh_groupview_t;

void skh_groupview_init(skh_groupview_t *view, const skh_groupview_options_t *options,
			const skh_engine_shape_t *shape);
void skh_groupview_clear(skh_groupview_t *view);

/**
 * skh_groupview_report() - a rank's report; @own when it is the rank beside this process
 * Return: false when it is older than another, or can't be one.
 */
bool skh_groupview_report(skh_groupview_t *view, const Skh__RankReport *message, bool own,
			  int64_t now_us);

/** skh_groupview_lacks_ranks() - the address of some rank's engine is not known */
bool skh_groupview_lacks_ranks(const skh_groupview_t *view);

/** skh_groupview_offer() - as skh_coordinator_offer() */
bool skh_groupview_offer(skh_groupview_t *view, const char *address, int64_t now_us);

/** skh_groupview_ask_silent() - ask engines whose process was not heard of for long */
void skh_groupview_ask_silent(skh_groupview_t *view, int64_t now_us);

/** skh_groupview_ask() - ask the engine of @rank for its state, unless it is being asked */
void skh_groupview_ask(skh_groupview_t *view, uint32_t rank, int64_t now_us);

/** skh_groupview_switched() - the group has changed to the next map, all ranks in @pass */
void skh_groupview_switched(skh_groupview_t *view, int64_t pass, int64_t now_us);

/** skh_groupview_is_whole() - all that a decision needs is known of all ranks, and fits together */
bool skh_groupview_is_whole(skh_groupview_t *view, int64_t now_us);

/** skh_groupview_is_held() - some rank holds the group for longer than a change needs */
bool skh_groupview_is_held(const skh_groupview_t *view, int64_t now_us);

/** skh_groupview_map_size() - places of a whole map */
size_t skh_groupview_map_size(const skh_groupview_t *view);

#ifdef __cplusplus
}
#endif
#endif
