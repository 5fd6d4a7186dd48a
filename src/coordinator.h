#ifndef SKH_COORDINATOR_H
#define SKH_COORDINATOR_H

/**
 * DOC: Coordinator of a group
 *
 * Gathers what the ranks report, decides when another expert map pays
 * (mapplan.h) and brings the group to it (mapchange.h), while this process holds
 * the lease. Runs on the event loop's thread.
 */

#include "demand.h"
#include "engine_client.h"
#include "wire.pb-c.h"

#ifdef __cplusplus
extern "C" {
#endif

/** struct skh_coordinator_options - what it is made from */
typedef struct skh_coordinator_options {
	uv_loop_t *loop;
	const skh_dialect_t *dialect;
	const skh_upstream_pool_options_t *pool_options;
	double skew_weight;
	double cost_weight;
} skh_coordinator_options_t;

typedef struct skh_coordinator skh_coordinator_t;

skh_coordinator_t *skh_coordinator_new(const skh_coordinator_options_t *options,
				       const skh_engine_spec_t *shape);
void skh_coordinator_free(skh_coordinator_t *coordinator);

/** skh_coordinator_set_weights() - for the plans to come */
void skh_coordinator_set_weights(skh_coordinator_t *coordinator, double skew_weight,
				 double cost_weight);

/** skh_coordinator_handle_report() - a rank's report, @message; @own when it is the rank beside this process */
void skh_coordinator_handle_report(skh_coordinator_t *coordinator, const Skh__RankReport *message,
				   bool own, int64_t now_us);

/** skh_coordinator_handle_sample() - what the rank beside this process has counted */
void skh_coordinator_handle_sample(skh_coordinator_t *coordinator,
				   const skh_demand_sample_t *sample, int64_t now_us);

/** skh_coordinator_is_changing_map() - a change of the map is under way */
bool skh_coordinator_is_changing_map(const skh_coordinator_t *coordinator);

/** skh_coordinator_slow_ranks() - "address pace" of each, a line each; free with g_free() */
char *skh_coordinator_slow_ranks(const skh_coordinator_t *coordinator);

/** skh_coordinator_has_unknown_ranks() - the address of some rank's engine is not known */
bool skh_coordinator_has_unknown_ranks(const skh_coordinator_t *coordinator);

/**
 * skh_coordinator_probe_engine() - an engine of the service is at @address: ask it who it is
 * Return: true when @address needs no asking or is being asked now; false to offer it again.
 */
bool skh_coordinator_probe_engine(skh_coordinator_t *coordinator, const char *address,
				  int64_t now_us);

/**
 * skh_coordinator_tick() - decide and order
 * @fence: of the lease; 0 while it is not held
 * Return: false when a later holder has spoken.
 */
bool skh_coordinator_tick(skh_coordinator_t *coordinator, int64_t fence, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
