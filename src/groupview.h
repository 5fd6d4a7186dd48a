#ifndef SKH_GROUPVIEW_H
#define SKH_GROUPVIEW_H

/**
 * DOC: What a coordinator knows of its group
 *
 * Gathers what the ranks' processes report, and asks engines whose process is
 * silent. Knows each rank's state and the map in use, and whether all of it fits
 * together. Runs on the event loop's thread.
 */

#include "engine_client.h"
#include "mapchange.h"
#include "wire.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_groupview_rank - one rank as it was last heard of */
typedef struct skh_groupview_rank {
	skh_engine_client_t *engine; /* NULL before its address is known */
	skh_engine_client_t *relay;  /* its process, which hands orders on */
	bool has_report;
	int64_t last_received_us; /* of its process */
	int64_t state_updated_us; /* of its state, by its process or itself */
	uint64_t sender_id;
	uint64_t sequence;
	skh_engine_report_t report;
	bool map_known;
	bool poll_pending;
	int64_t poll_started_us;
	int64_t next_poll_us; /* not before */
	int64_t held_since_us;
} skh_groupview_rank_t;

/** struct skh_groupview_options - what it is made from */
typedef struct skh_groupview_options {
	uv_loop_t *loop;
	const skh_dialect_t *dialect;
	const skh_upstream_pool_options_t *pool_options;
	/* What @rank says of itself is newer; @asked_us is 0 unless its engine was asked. */
	void (*on_state)(void *context, uint32_t rank, int64_t asked_us, int64_t now_us);
	void *context;
} skh_groupview_options_t;

/** struct skh_groupview - read by the coordinator; written by groupview.c but for "next" */
typedef struct skh_groupview {
	skh_groupview_options_t options;
	skh_engine_spec_t engine_spec;
	skh_groupview_rank_t ranks[SKH_MAPCHANGE_MAX_RANKS];
	uint32_t n_ranks;
	uint32_t own_rank; /* the rank beside this process */
	bool has_own_rank;
	int64_t pass_us; /* length of a pass under the map in use; 0 when unknown */
	uint32_t *map;	 /* in use, [sets][ranks][placements] */
	/* The coordinator's: a rank that says it uses this version has this map. */
	uint32_t *next_map;
	int64_t next_epoch;
	int64_t next_version;
	int64_t switch_pass; /* in which the group changed to it */
	/* Private: */
	int64_t last_pass; /* own rank's, at pass_seen_us */
	int64_t last_pass_us;
	skh_engine_client_t *probe_client; /* an engine that is asked for its rank, or NULL */
	int64_t probe_started_us;
	int64_t last_logged_us;
} skh_groupview_t;

void skh_groupview_init(skh_groupview_t *view, const skh_groupview_options_t *options,
			const skh_engine_spec_t *shape);
void skh_groupview_clear(skh_groupview_t *view);

/**
 * skh_groupview_handle_report() - a rank's report; @own when it is the rank beside this process
 * Return: false when it is older than another, or can't be one.
 */
bool skh_groupview_handle_report(skh_groupview_t *view, const Skh__RankReport *message, bool own,
				 int64_t now_us);

/** skh_groupview_has_unknown_ranks() - the address of some rank's engine is not known */
bool skh_groupview_has_unknown_ranks(const skh_groupview_t *view);

/** skh_groupview_probe_engine() - as skh_coordinator_probe_engine() */
bool skh_groupview_probe_engine(skh_groupview_t *view, const char *address, int64_t now_us);

/** skh_groupview_poll_silent_ranks() - ask engines whose process was not heard of for long */
void skh_groupview_poll_silent_ranks(skh_groupview_t *view, int64_t now_us);

/** skh_groupview_poll_rank() - ask the engine of @rank for its state, unless it is being asked */
void skh_groupview_poll_rank(skh_groupview_t *view, uint32_t rank, int64_t now_us);

/** skh_groupview_adopt_next_map() - the group has changed to the next map, all ranks in @pass */
void skh_groupview_adopt_next_map(skh_groupview_t *view, int64_t pass, int64_t now_us);

/** skh_groupview_is_complete() - all that a decision needs is known of all ranks, and fits together */
bool skh_groupview_is_complete(skh_groupview_t *view, int64_t now_us);

/** skh_groupview_is_held_too_long() - some rank holds the group for longer than a change needs */
bool skh_groupview_is_held_too_long(const skh_groupview_t *view, int64_t now_us);

/** skh_groupview_map_size() - places of a whole map */
size_t skh_groupview_map_size(const skh_groupview_t *view);

#ifdef __cplusplus
}
#endif
#endif
