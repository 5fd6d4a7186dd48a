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
 * 3. When every rank has its copies, the group is held at a pass to come. The
 *    hold is at the coordinator's own rank, where it can be released without the
 *    network, but a *deputy*, the process of another rank, places it.
 * 4. Only under a confirmed hold is any rank armed for that pass, the deputy's
 *    last, and only just after it has answered a question.
 * 5. Only when every rank has confirmed is the hold released, mostly long
 *    before the pass. All ranks then switch in that pass, and the coordinator's
 *    own tells when.
 *
 * The instance that places a hold is the one whose loss in that moment costs most.
 * When the deputy falls silent its rank was never armed: the others are disarmed
 * under the next fence, which outdates orders that are still under way, and the
 * group goes on with the map it had.
 *
 * A coordinator that fails at any point leaves the group running, or held; the
 * next starts again at 1.
 */

#include "dialect.h"

#ifdef __cplusplus
extern "C" {
#endif

#define SKH_MAPCHANGE_MAX_RANKS 64
/* Fences that one change may use: its own, and the next to undo it. */
#define SKH_MAPCHANGE_MAX_FENCES 2

/** enum skh_mapchange_phase - see above */
typedef enum skh_mapchange_phase {
	SKH_MAPCHANGE_PREPARE,
	SKH_MAPCHANGE_RELEASE_STALE_HOLD,
	SKH_MAPCHANGE_COPY,
	SKH_MAPCHANGE_HOLD,
	SKH_MAPCHANGE_ARM,
	SKH_MAPCHANGE_DISARM,	 /* undo: the deputy is silent */
	SKH_MAPCHANGE_UNDO_HOLD, /* undo: nobody is armed */
	SKH_MAPCHANGE_GO,
	SKH_MAPCHANGE_SETTLE,
	SKH_MAPCHANGE_DONE,
	SKH_MAPCHANGE_FAILED
} skh_mapchange_phase_t;

/** enum skh_engine_order_result - what an engine says to an order */
typedef enum skh_engine_order_result {
	SKH_ENGINE_ORDER_ACCEPTED, /* begun, done, or so already */
	SKH_ENGINE_ORDER_CONFLICT, /* does not fit the rank's state */
	SKH_ENGINE_ORDER_FENCED,   /* a higher fence was seen there */
	SKH_ENGINE_ORDER_NO_ANSWER /* it may be carried out, now or later */
} skh_engine_order_result_t;

/** struct skh_mapchange_rank - what is known of one rank */
typedef struct skh_mapchange_rank {
	bool reported;
	skh_engine_report_t report; /* the newest */
	int64_t reported_us;
	bool answered;	    /* it has answered some order of this change: it knows the fence */
	bool prepared;	    /* it has accepted this change's prepare */
	bool armed;	    /* it is armed for this change */
	bool may_be_armed;  /* it may be, now or later */
	bool order_pending; /* an order is under way */
	skh_engine_op_t order_op; /* of that order */
	int64_t order_sent_us;
	int64_t not_before_us; /* of the next order, after one without an answer */
} skh_mapchange_rank_t;

/** struct skh_mapchange - one change; filled by skh_mapchange_init() */
typedef struct skh_mapchange {
	skh_mapchange_phase_t phase;
	uint32_t n_ranks;
	uint32_t own_rank;   /* the rank beside this process: it holds the group */
	uint32_t proxy_rank; /* the rank whose process places the hold; @own without one */
	int64_t epoch;
	int64_t version;
	int64_t fence;
	int64_t switch_pass; /* at which the map changes */
	int64_t phase_since_us;
	int64_t spent_us[SKH_MAPCHANGE_FAILED + 1]; /* in each phase */
	int64_t held_since_us;			    /* 0 when nothing is left behind */
	int64_t proxy_probe_us;	       /* the deputy has answered a question of this time */
	int64_t others_armed_since_us; /* since then all ranks but the deputy's are armed */
	const char *cause;	       /* it failed */
	skh_mapchange_rank_t ranks[SKH_MAPCHANGE_MAX_RANKS];
} skh_mapchange_t;

/** struct skh_mapchange_options - what a change is about */
typedef struct skh_mapchange_options {
	uint32_t n_ranks;
	uint32_t own_rank;
	uint32_t proxy_rank;
	int64_t epoch;
	int64_t version;
	int64_t fence;
} skh_mapchange_options_t;

/** skh_mapchange_init() - begin to bring the ranks of a group to another map */
void skh_mapchange_init(skh_mapchange_t *change, const skh_mapchange_options_t *options,
			int64_t now_us);

/** skh_mapchange_record_report() - a newer report of @rank */
void skh_mapchange_record_report(skh_mapchange_t *change, uint32_t rank,
				 const skh_engine_report_t *report, int64_t now_us);

/**
 * skh_mapchange_next_order() - the order that @rank is to be sent now
 * Return: false when there is none; else it counts as under way.
 */
bool skh_mapchange_next_order(skh_mapchange_t *change, uint32_t rank, int64_t now_us,
			      skh_engine_order_t *order);

/** skh_mapchange_record_result() - the answer to the order under way at @rank */
void skh_mapchange_record_result(skh_mapchange_t *change, uint32_t rank,
				 skh_engine_order_result_t answer, int64_t now_us);

/** skh_mapchange_is_proxy_probe_due() - the deputy's engine should be asked for anything now */
bool skh_mapchange_is_proxy_probe_due(const skh_mapchange_t *change);

/** skh_mapchange_record_proxy_probe() - the deputy's engine has answered what was asked at @asked_us */
void skh_mapchange_record_proxy_probe(skh_mapchange_t *change, int64_t asked_us);

/** skh_mapchange_can_withdraw() - ranks copy at most: another change may begin instead */
bool skh_mapchange_can_withdraw(const skh_mapchange_t *change);

/** skh_mapchange_tick() - time has passed */
void skh_mapchange_tick(skh_mapchange_t *change, int64_t now_us);

#ifdef __cplusplus
}
#endif
#endif
