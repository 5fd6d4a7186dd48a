#ifndef SKH_MAPCHANGE_H
#define SKH_MAPCHANGE_H

/**
 * DOC: Changing a group's expert map, order by order
 *
 * The coordinator's decisions as pure state, for engines whose ranks begin each
 * pass together and switch at a pass that they were told. All ranks must use
 * one map in every pass, although an order without an answer may be carried out
 * seconds later and coordinators may die, overlap, or wake up late.
 *
 * The order of things is what keeps the promise:
 *
 * 1. Prepare at every rank, under a fence higher than any before. A rank that
 *    is armed refuses to prepare and is disarmed, but not before every rank has
 *    answered and so knows the fence: else an earlier coordinator that wakes up
 *    could still release the group. The rank that holds it comes first. Once
 *    every rank has accepted, none is armed and whatever an earlier coordinator
 *    still has under way is fenced off.
 * 2. Only then a hold that was left behind is released.
 * 3. When every rank has its copies, the group is held at a pass to come.
 * 4. Only under a confirmed hold is any rank armed for that pass.
 * 5. Only when every rank has confirmed is the hold released, mostly long
 *    before the pass.
 *
 * A coordinator that fails at any point leaves the group running, or held; the
 * next starts again at 1.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_MAPCHANGE_MAX_RANKS 64

/** enum skh_mapchange_phase - see above */
typedef enum skh_mapchange_phase {
	SKH_CHANGE_PREPARE,
	SKH_CHANGE_RELEASE,
	SKH_CHANGE_COPY,
	SKH_CHANGE_HOLD,
	SKH_CHANGE_ARM,
	SKH_CHANGE_GO,
	SKH_CHANGE_SETTLE,
	SKH_CHANGE_DONE,
	SKH_CHANGE_FAILED
} skh_mapchange_phase_t;

/** enum skh_order_answer - what an engine says to an order */
typedef enum skh_order_answer {
	SKH_ORDER_ACCEPTED, /* begun, done, or so already */
	SKH_ORDER_CONFLICT, /* does not fit the rank's state */
	SKH_ORDER_OUTDATED, /* a higher fence was seen there */
	SKH_ORDER_NO_ANSWER /* it may be carried out, now or later */
} skh_order_answer_t;

/** struct skh_mapchange_rank - what is known of one rank */
typedef struct skh_mapchange_rank {
	bool reported;
	skh_engine_report_t report; /* the newest */
	int64_t reported_us;
	bool answered;	    /* it has answered some order of this change: it knows the fence */
	bool prepared;	    /* it has accepted this change's prepare */
	bool armed;	    /* it is armed for this change */
	bool ordered;	    /* an order is under way */
	skh_engine_op_t op; /* of that order */
	int64_t ordered_us;
	int64_t not_before_us; /* of the next order, after one without an answer */
} skh_mapchange_rank_t;

/** struct skh_mapchange - one change; filled by skh_mapchange_init() */
typedef struct skh_mapchange {
	skh_mapchange_phase_t phase;
	uint32_t n_ranks;
	uint32_t own; /* the rank beside this process: it holds the group */
	int64_t epoch;
	int64_t version;
	int64_t fence;
	int64_t pass; /* at which the map changes */
	int64_t phase_since_us;
	int64_t held_since_us;
	const char *why; /* it failed */
	skh_mapchange_rank_t ranks[SKH_MAPCHANGE_MAX_RANKS];
} skh_mapchange_t;

/** skh_mapchange_init() - begin to bring @n_ranks ranks to map @version */
void skh_mapchange_init(skh_mapchange_t *change, uint32_t n_ranks, uint32_t own, int64_t epoch,
			int64_t version, int64_t fence, int64_t now_us);

/** skh_mapchange_report() - a newer report of @rank */
void skh_mapchange_report(skh_mapchange_t *change, uint32_t rank, const skh_engine_report_t *report,
			  int64_t now_us);

/**
 * skh_mapchange_next() - the order that @rank is to be sent now
 * Return: false when there is none; else it counts as under way.
 */
bool skh_mapchange_next(skh_mapchange_t *change, uint32_t rank, int64_t now_us,
			skh_engine_order_t *order);

/** skh_mapchange_answer() - the answer to the order under way at @rank */
void skh_mapchange_answer(skh_mapchange_t *change, uint32_t rank, skh_order_answer_t answer,
			  int64_t now_us);

/** skh_mapchange_tick() - time has passed */
void skh_mapchange_tick(skh_mapchange_t *change, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
