#ifndef SKH_RANK_H
#define SKH_RANK_H

/**
 * DOC: Rank side of an expert map switch
 *
 * State machine in a rank's sidecar that checks each order of a map switch before it is sent to
 * the engine. The orders come from the leader, the sidecar that holds the group's lease (leader.h).
 * All orders pass through this state machine, so an engine that ignores fencing tokens is as safe
 * as one that checks them. Does no I/O and cannot fail; the owner of the struct serialises calls.
 *
 * Rules:
 *
 * - An order with a lower fence than one received before is rejected.
 * - The map is set only while the engine is held under the same fence.
 * - The engine is released only with the map that was set under the same fence.
 * - One order at a time is pending at the engine.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_mapswitch_order_step - the steps of a switch, in sequence */
typedef enum skh_mapswitch_order_step {
	SKH_STEP_PREPARE, /* copy the experts that the new map needs to the rank */
	SKH_STEP_HOLD,	  /* start no further engine step */
	SKH_STEP_SET,	  /* use the new map */
	SKH_STEP_RELEASE, /* release the engine */
	SKH_STEP_COUNT
} skh_mapswitch_order_step_t;

/** struct skh_mapswitch_order - one order of the leader to one rank */
typedef struct skh_mapswitch_order {
	uint64_t fence; /* fencing token of the leader's lease */
	skh_mapswitch_order_step_t step;
	uint64_t version; /* version of the map to switch to */
} skh_mapswitch_order_t;

/** enum skh_mapswitch_order_outcome - result of checking an order */
typedef enum skh_mapswitch_order_outcome {
	SKH_MAPSWITCH_ORDER_DONE,    /* the rank is already in the ordered state */
	SKH_MAPSWITCH_ORDER_FORWARD, /* send it to the engine, then call skh_rank_complete_order() */
	SKH_MAPSWITCH_ORDER_BUSY,    /* another order is pending at the engine; retry */
	SKH_MAPSWITCH_ORDER_FENCED,  /* rejected: an order with a higher fence was received */
	SKH_MAPSWITCH_ORDER_OUT_OF_SEQUENCE /* an earlier step is missing; restart from the first */
} skh_mapswitch_order_outcome_t;

/** struct skh_rank - state of one rank; initialised by skh_rank_init() */
typedef struct skh_rank {
	uint64_t highest_fence;	   /* highest fence received */
	uint64_t prepared_version; /* map version whose experts have been copied */
	uint64_t version;	   /* map version in use; 0 when not known */
	uint64_t hold_fence; /* fence under which the engine is held; 0 if not held or unknown */
	bool may_be_held;    /* an earlier order may have left the engine held */
	bool is_order_pending;
	skh_mapswitch_order_t engine_order; /* order that was sent to the engine last */
} skh_rank_t;

/**
 * skh_rank_init() - set the state after the start of the sidecar
 * @fence: no lower than any fence issued before the start
 */
void skh_rank_init(skh_rank_t *rank, uint64_t fence);

/**
 * skh_rank_handle_order() - check an order and decide what to do with it
 * Return: what the caller must do; after SKH_MAPSWITCH_ORDER_FORWARD the order is pending.
 */
skh_mapswitch_order_outcome_t skh_rank_handle_order(skh_rank_t *rank,
						    const skh_mapswitch_order_t *order);

/** skh_rank_is_running_version() - whether the engine is known to run with map @version */
bool skh_rank_is_running_version(const skh_rank_t *rank, uint64_t version);

/**
 * skh_rank_complete_order() - record the engine's response to the pending order
 * @succeeded: false also if there was no response, when the engine's state is unknown
 */
void skh_rank_complete_order(skh_rank_t *rank, bool succeeded);

#ifdef __cplusplus
}
#endif
#endif
