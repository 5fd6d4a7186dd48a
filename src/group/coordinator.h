#ifndef SKH_COORDINATOR_H
#define SKH_COORDINATOR_H

/**
 * DOC: Expert map coordinator of a group
 *
 * Collects the reports of all ranks, decides when a new expert map is worth its cost
 * (mapplan.h) and switches the group to it (mapchange.h) while this process holds the
 * group's lease. Owns the clients of the ranks' engines and relays. All calls are made on
 * the event loop's thread; times are microseconds of the boot clock.
 */

#include "demand.h"
#include "engine_client.h"
#include "members_notice.h"
#include "wire.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_coordinator_options - copied, but what it points to must outlive the coordinator */
typedef struct skh_coordinator_options {
	uv_loop_t *loop;
	const skh_dialect_t *dialect;
	const skh_upstream_pool_options_t *pool_options;
	const char *group; /* name of the group; copied */
	uint32_t n_ranks;  /* size of the group, by the engine beside this process */
	double skew_weight;
	double cost_weight;
} skh_coordinator_options_t;

/** struct skh_coordinator_change - how a map change ended */
typedef struct skh_coordinator_change {
	int64_t version; /* 0 if there was no such change */
	int64_t ended_us;
	bool succeeded;
	char reason[32]; /* why it did not succeed, "" if it did */
} skh_coordinator_change_t;

typedef struct skh_coordinator skh_coordinator_t;

/**
 * skh_coordinator_new() - create a coordinator that does not hold the lease
 * @engine_spec: sets, experts and slots of the group's engines; copied
 * Return: owned by the caller; free with skh_coordinator_free().
 */
skh_coordinator_t *skh_coordinator_new(const skh_coordinator_options_t *options,
				       const skh_engine_spec_t *engine_spec);
void skh_coordinator_free(skh_coordinator_t *coordinator);

/** skh_coordinator_set_weights() - replace the weights that later plans use */
void skh_coordinator_set_weights(skh_coordinator_t *coordinator, double skew_weight,
				 double cost_weight);

/**
 * skh_coordinator_record_report() - record a rank's state, map and token counts
 * @message: borrowed; ignored if it is invalid or not newer than the last one from its sender
 * @is_own_rank: the report is from the rank beside this process
 */
void skh_coordinator_record_report(skh_coordinator_t *coordinator, const Skh__RankReport *message,
				   bool is_own_rank, int64_t now_us);

/**
 * skh_coordinator_record_sample() - add token counts to the demand estimate
 * @sample: counts of any rank; borrowed
 *
 * Plans and starts a map change if one is due and the lease is held.
 */
void skh_coordinator_record_sample(skh_coordinator_t *coordinator,
				   const skh_demand_sample_t *sample, int64_t now_us);

/**
 * skh_coordinator_get_last_changes() - get how the last changes of this process ended
 * @last: the last change
 * @last_abandoned: the last one that did not succeed
 */
void skh_coordinator_get_last_changes(const skh_coordinator_t *coordinator,
				      skh_coordinator_change_t *last,
				      skh_coordinator_change_t *last_abandoned);

/** skh_coordinator_is_changing_map() - whether a map change is in progress */
bool skh_coordinator_is_changing_map(const skh_coordinator_t *coordinator);

/**
 * skh_coordinator_may_hold_group() - whether the map change in progress may have armed or held ranks
 *
 * Such a change should end before this process does.
 */
bool skh_coordinator_may_hold_group(const skh_coordinator_t *coordinator);

/**
 * skh_coordinator_format_slow_ranks() - list the ranks that take longer than usual for a pass
 * Return: one line "address:port slowdown" for each slow rank, "" if there is none; free with
 *	g_free().
 */
char *skh_coordinator_format_slow_ranks(const skh_coordinator_t *coordinator);

/** skh_coordinator_format_members() - see skh_groupview_format_members() */
char *skh_coordinator_format_members(const skh_coordinator_t *coordinator);

/** skh_coordinator_adopt_members() - see skh_groupview_adopt_members() */
void skh_coordinator_adopt_members(skh_coordinator_t *coordinator,
				   const skh_members_notice_t *notice, int64_t now_us);

/** skh_coordinator_has_unknown_ranks() - whether the engine address of some rank is unknown */
bool skh_coordinator_has_unknown_ranks(const skh_coordinator_t *coordinator);

/**
 * skh_coordinator_probe_engine() - ask an engine of the service for its rank
 * @address: "address:port"
 *
 * One probe runs at a time.
 *
 * Return: true if the engine is already known or the probe was sent; false if another probe
 * is in progress and the caller should retry later.
 */
bool skh_coordinator_probe_engine(skh_coordinator_t *coordinator, const char *address,
				  int64_t now_us);

/**
 * skh_coordinator_tick() - poll silent ranks, advance the map change and decide on a new one
 * @fence: fencing token of the lease; 0 while the lease is not held
 * Return: false if a rank has rejected an order because a later lease holder exists.
 */
bool skh_coordinator_tick(skh_coordinator_t *coordinator, int64_t fence, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
