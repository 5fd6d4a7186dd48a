#ifndef SKH_RANK_POLLER_H
#define SKH_RANK_POLLER_H

/**
 * DOC: Rank poller
 *
 * Polls one engine over HTTP for its report, its token counts per expert and its
 * expert map, and keeps the newest report and map in a snapshot. The engine runs
 * beside this process, so its values are fresh and polling costs no network
 * traffic. All functions and callbacks run on the event loop's thread. Times are
 * in microseconds of skh_clock_boot_us(). The first of consecutive failed requests
 * and each unreadable response are logged; the next poll is sent as usual.
 */

#include "demand.h"
#include "engine_client.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_rank_snapshot - newest state of the rank */
typedef struct skh_rank_snapshot {
	bool has_report;
	int64_t requested_us; /* when the request was sent to which @report is the response */
	skh_engine_report_t report;
	bool has_map;	     /* @map matches the version and epoch of @report */
	int64_t map_version; /* version of @map */
	int64_t map_epoch;   /* epoch of the group for which @map was read */
	uint32_t n_map;	     /* entries of @map */
	uint32_t *map;	     /* [sets][slots]: expert index + 1; 0 for an empty slot */
} skh_rank_snapshot_t;

typedef struct skh_rank_poller skh_rank_poller_t;

/** struct skh_rank_poller_ops - callbacks */
typedef struct skh_rank_poller_ops {
	/* The engine's state in the report has changed, or a new map was read. */
	void (*on_change)(void *context);
	/*
	 * The engine is in another group than before, in none, or its group has another size. Called
	 * before on_change; map and counts of the snapshot start anew.
	 */
	void (*on_group_change)(void *context);
	/*
	 * The engine has counted more tokens since the previous sample. @sample and its
	 * counts are valid during the call.
	 */
	void (*on_counts)(void *context, const skh_demand_sample_t *sample);
} skh_rank_poller_ops_t;

/**
 * skh_rank_poller_new() - new poller without an engine spec; it sends nothing before a tick
 * @client: client of the engine; borrowed
 * @dialect: paths and parsers of the engine's responses; borrowed
 * @ops: callbacks; borrowed
 * @context: first argument of the callbacks
 *
 * Return: a new poller, to be freed with skh_rank_poller_free().
 */
skh_rank_poller_t *skh_rank_poller_new(skh_engine_client_t *client, const skh_dialect_t *dialect,
				       const skh_rank_poller_ops_t *ops, void *context);

/** skh_rank_poller_free() - free @poller; its client must have no request in flight */
void skh_rank_poller_free(skh_rank_poller_t *poller);

/**
 * skh_rank_poller_set_engine_spec() - set the numbers of expert sets, experts and slots
 * @engine_spec: copied; ignored if it has no expert sets or if a spec was set before
 *
 * Counts and map are polled only after this call.
 */
void skh_rank_poller_set_engine_spec(skh_rank_poller_t *poller,
				     const skh_engine_spec_t *engine_spec);

/** skh_rank_poller_set_report_period() - poll the report every @period_us */
void skh_rank_poller_set_report_period(skh_rank_poller_t *poller, int64_t period_us);

/** skh_rank_poller_poll_now() - poll the report at the next tick */
void skh_rank_poller_poll_now(skh_rank_poller_t *poller);

/** skh_rank_poller_tick() - send the requests that are due at @now_us */
void skh_rank_poller_tick(skh_rank_poller_t *poller, int64_t now_us);

/** skh_rank_poller_snapshot() - newest snapshot; owned by @poller, which updates it in place */
const skh_rank_snapshot_t *skh_rank_poller_snapshot(const skh_rank_poller_t *poller);

#ifdef __cplusplus
}
#endif
#endif
