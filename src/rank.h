#ifndef SKH_RANK_H
#define SKH_RANK_H

/**
 * DOC: Rank
 *
 * The sidecar's side of a switch of its group's expert map, as pure state.
 * Orders reach the engine only through here, so an engine that ignores fences
 * is as safe as one that checks them.
 *
 * Rules: an order with a lower fence than one seen before is refused. The map
 * is set only while the engine is held under the same fence, and the engine is
 * released only with the map that this fence has set. One order is at the
 * engine at a time.
 */

#include <stdbool.h>
#include <stdint.h>

#ifdef __cplusplus
extern "C" {
#endif

/** enum skh_order_step - the steps of a switch, in order */
typedef enum skh_order_step {
	SKH_STEP_PREPARE, /* load what the new map needs */
	SKH_STEP_HOLD,	  /* begin no further step */
	SKH_STEP_SET,	  /* use the new map */
	SKH_STEP_GO,	  /* go on */
	SKH_STEP_COUNT
} skh_order_step_t;

typedef struct skh_order {
	uint64_t fence;
	skh_order_step_t step;
	uint64_t version;
} skh_order_t;

typedef enum skh_order_outcome {
	SKH_ORDER_DONE,		  /* it is so */
	SKH_ORDER_FORWARD,	  /* hand it to the engine, then call skh_rank_complete_order() */
	SKH_ORDER_BUSY,		  /* another order is at the engine: send it again */
	SKH_ORDER_FENCED,	  /* a later coordinator has spoken */
	SKH_ORDER_OUT_OF_SEQUENCE /* a step before it is missing: start again from the first */
} skh_order_outcome_t;

/** struct skh_rank - zero-initialised but for what skh_rank_init() is given */
typedef struct skh_rank {
	uint64_t highest_fence;	   /* highest seen */
	uint64_t prepared_version; /* map version that is loaded */
	uint64_t version;	   /* map version in use; 0 when not known */
	uint64_t hold_fence;	   /* fence under which the engine is held; 0 when it may run */
	bool may_be_held;	   /* an earlier order may have left the engine held */
	bool order_pending;
	skh_order_t engine_order;
} skh_rank_t;

/**
 * skh_rank_init() - state after the start of the sidecar
 * @fence: a number no lower than any fence given out before the start
 */
void skh_rank_init(skh_rank_t *rank, uint64_t fence);

/** skh_rank_handle_order() - what to do with @order */
skh_order_outcome_t skh_rank_handle_order(skh_rank_t *rank, const skh_order_t *order);

/** skh_rank_is_running_version() - the engine runs, and with map @version */
bool skh_rank_is_running_version(const skh_rank_t *rank, uint64_t version);

/** skh_rank_complete_order() - the engine has answered the order that it had */
void skh_rank_complete_order(skh_rank_t *rank, bool succeeded);

#ifdef __cplusplus
}
#endif
#endif
